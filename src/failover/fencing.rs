//! Fencing a lost primary: its leases are revoked, and once they are over the replicas are paused, so
//! that nothing is passed on to clients that the next primary lacks.

use super::actions::{DatabaseRequest, DatabaseResponse, FailoverAction};
use super::selection::answers_cover_commits;
use super::state::{FailoverState, PrimaryLeadership};
use super::timing::{PRIMARY_RECHECK_AFTER_MS, REQUEST_RETRY_MS};
use super::{Failover, ServiceSnapshot};
use crate::base::ids::{DbTerm, InstanceId, Position};
use crate::base::time::Tick;
use crate::leases::passed_on::UnreportedCommits;
use crate::net::statement_protocol::ServerDescription;
use crate::state_machine::{Command, PrimaryRecord};
use std::collections::{BTreeMap, BTreeSet};

/// The progress of fencing a lost primary.
#[derive(Clone, Debug, PartialEq)]
pub struct Fencing {
    pub(super) since: Tick,
    requested_at: Tick,
    /// What the replicas answered since the primary was found lost.
    descriptions: BTreeMap<InstanceId, ServerDescription>,
    /// The replicas are asked again since every lease has ended.
    asks_after_leases: bool,
    /// Those that have answered since then: they had by then all that was passed on because of them.
    answered_after_leases: BTreeSet<InstanceId>,
}

impl Fencing {
    fn new(leases_expired: bool, now: Tick) -> Self {
        Self {
            since: now,
            requested_at: now,
            descriptions: BTreeMap::new(),
            asks_after_leases: leases_expired,
            answered_after_leases: BTreeSet::new(),
        }
    }

    /// The highest position of all that answered.
    pub(super) fn furthest(&self) -> Option<Position> {
        self.descriptions.values().map(|d| d.received).max()
    }

    /// How far a replica was when it answered.
    pub(super) fn position_of(&self, id: &InstanceId) -> Option<Position> {
        self.descriptions.get(id).map(|description| description.received)
    }

    /// How many of the possible holders have answered. One that did and left since is counted: what
    /// it had is known.
    pub(super) fn answers(&self, snapshot: &ServiceSnapshot) -> usize {
        snapshot.possible_commit_holders().filter(|id| self.descriptions.contains_key(*id)).count()
    }

    /// Whether all listed replicas that live have answered.
    pub(super) fn all_living_answered(&self, snapshot: &ServiceSnapshot) -> bool {
        let mut living = snapshot.replica_ids().filter(|id| snapshot.alive.contains(*id));
        living.all(|id| self.descriptions.contains_key(id))
    }

    /// How many of the possible holders have answered since every lease had ended.
    pub(super) fn answers_after_leases(&self, snapshot: &ServiceSnapshot) -> usize {
        let answered = &self.answered_after_leases;
        snapshot.possible_commit_holders().filter(|id| answered.contains(*id)).count()
    }

    fn record_answer(&mut self, id: &InstanceId, description: &ServerDescription) {
        self.descriptions.insert(id.clone(), description.clone());
        if self.asks_after_leases {
            self.answered_after_leases.insert(id.clone());
        }
    }

    /// Whether an answer of this replica is waited for.
    pub(super) fn needs_answer_of(&self, id: &InstanceId) -> bool {
        match self.asks_after_leases {
            true => !self.answered_after_leases.contains(id),
            false => !self.descriptions.contains_key(id),
        }
    }

    /// Whether the replicas have to be asked again now that every lease has ended: what the poolers
    /// reported leaves something open, or is more than the replicas had before.
    fn must_ask_again(&self, snapshot: &ServiceSnapshot) -> bool {
        snapshot.leases_expired
            && !self.asks_after_leases
            && (snapshot.passed_on.unreported == UnreportedCommits::Unknown
                || answers_cover_commits(self.answers(snapshot), snapshot))
    }
}

impl Failover {
    /// Begins to replace a lost primary: revokes its leases and pauses all replicas.
    pub(super) fn fence(&mut self, snapshot: &ServiceSnapshot, now: Tick) -> Vec<FailoverAction> {
        let Some(record) = &snapshot.primary_record else {
            return Vec::new();
        };
        // A suspicion paused nothing, and an answer of the primary to it still counts.
        if !matches!(self.state, FailoverState::Suspected { .. }) {
            self.begin_attempt();
        }
        self.revoking = true;
        self.handover = None;
        self.suspicion.clear_reporters();
        self.state = FailoverState::Fencing(Fencing::new(snapshot.leases_expired, now));
        let mut actions = vec![FailoverAction::RevokeLeases(record.term)];
        actions.extend(self.ask_holders(snapshot, record.term, now));
        actions
    }

    /// Asks the possible holders whose answers are waited for how far they are. The listed ones are
    /// paused for that, but not while a lease is in use: what is acknowledged then has to reach them.
    /// One that departed may still run, and is only asked.
    fn ask_holders(
        &mut self,
        snapshot: &ServiceSnapshot,
        term: DbTerm,
        now: Tick,
    ) -> Vec<FailoverAction> {
        let FailoverState::Fencing(fencing) = &mut self.state else { return Vec::new() };
        fencing.requested_at = now;
        let unanswered = |id: &&InstanceId| fencing.needs_answer_of(id);
        let departed: Vec<_> = snapshot.departed.keys().filter(unanswered).cloned().collect();
        let listed: Vec<_> = snapshot.replica_ids().filter(unanswered).cloned().collect();
        let describe = |id| FailoverAction::SendRequest(id, DatabaseRequest::Describe);
        let mut actions = match fencing.asks_after_leases {
            true => self.replicas.pause(listed, term, now),
            false => listed.into_iter().map(describe).collect(),
        };
        actions.extend(departed.into_iter().map(describe));
        actions
    }

    /// Pauses replicas that were listed after the others were paused, so that the old primary commits
    /// little that the target lacks.
    pub(super) fn pause_new_replicas(
        &mut self,
        snapshot: &ServiceSnapshot,
        target: &InstanceId,
        now: Tick,
    ) -> Vec<FailoverAction> {
        let Some(record) = &snapshot.primary_record else { return Vec::new() };
        let new = |id: &&InstanceId| *id != target && !self.replicas.is_paused(id);
        let new_replicas = snapshot.replica_ids().filter(new).cloned().collect();
        self.replicas.pause(new_replicas, record.term, now)
    }

    /// Ends the change and resumes the replicas, while nothing can have been promoted.
    pub(super) fn call_off(&mut self, now: Tick) -> Vec<FailoverAction> {
        self.return_to_steady(now);
        self.cancelled_at = Some(now);
        self.resume_replicas(now)
    }

    /// The primary's own answer, or none, while the replicas are being paused.
    pub(super) fn handle_fenced_primary(
        &mut self,
        snapshot: &ServiceSnapshot,
        response: &DatabaseResponse,
        now: Tick,
    ) -> Vec<FailoverAction> {
        let Some(record) = &snapshot.primary_record else { return Vec::new() };
        match PrimaryLeadership::of(response, record) {
            // Nothing was promoted yet, and the alarm was false.
            PrimaryLeadership::Leads => self.call_off(now),
            PrimaryLeadership::DoesNotLead => Vec::new(),
        }
    }

    /// A replica answered a pause while a lost primary is fenced.
    pub(super) fn handle_fenced_replica(
        &mut self,
        snapshot: &ServiceSnapshot,
        database: &InstanceId,
        description: &ServerDescription,
        now: Tick,
    ) -> Vec<FailoverAction> {
        // A pause has no effect on a primary, so its answer says nothing about a paused replica.
        if description.primary {
            return self.handle_unexpected_primary(snapshot, database, description.term, now);
        }
        let FailoverState::Fencing(fencing) = &mut self.state else { return Vec::new() };
        fencing.record_answer(database, description);
        self.choose_successor(snapshot, now)
    }

    /// A database that was to be paused says that it is a primary of this term.
    pub(super) fn handle_unexpected_primary(
        &mut self,
        snapshot: &ServiceSnapshot,
        database: &InstanceId,
        term: DbTerm,
        now: Tick,
    ) -> Vec<FailoverAction> {
        let Some(record) = &snapshot.primary_record else { return Vec::new() };
        let recorded = record.term;
        let (service, primary) = (snapshot.service.clone(), database.clone());
        if term == recorded {
            // It is the recorded primary itself, back under another id.
            return vec![FailoverAction::Propose(Command::PrimaryReturned {
                service,
                term,
                primary,
            })];
        }
        if term > recorded {
            // A promotion by an earlier leader has taken effect.
            return self.await_lease_expiry(snapshot, primary, term, now);
        }
        vec![FailoverAction::SendRequest(primary, DatabaseRequest::StepDown(recorded))]
    }

    /// The tick while a lost primary is fenced.
    pub(super) fn tick_fencing(
        &mut self,
        snapshot: &ServiceSnapshot,
        record: &PrimaryRecord,
        now: Tick,
    ) -> Vec<FailoverAction> {
        let chosen = self.choose_successor(snapshot, now);
        if !chosen.is_empty() {
            return chosen;
        }
        let FailoverState::Fencing(fencing) = &mut self.state else { return Vec::new() };
        if fencing.must_ask_again(snapshot) {
            fencing.asks_after_leases = true;
            // Answers that are still under way may be from before the leases ended.
            self.begin_attempt();
            return self.ask_holders(snapshot, record.term, now);
        }
        if now.since(fencing.requested_at) <= REQUEST_RETRY_MS {
            return Vec::new();
        }
        let recheck = now.since(fencing.since) > PRIMARY_RECHECK_AFTER_MS;
        let mut actions = self.ask_holders(snapshot, record.term, now);
        if recheck && snapshot.database(&record.primary).is_some() {
            let primary = record.primary.clone();
            actions.push(FailoverAction::SendRequest(primary, DatabaseRequest::Describe));
        }
        actions
    }
}
