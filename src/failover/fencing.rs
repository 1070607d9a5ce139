//! Fencing of a lost primary. Its leases are revoked, and once they have expired the replicas are
//! paused, so that poolers forward no commit to clients that the next primary lacks.

use super::actions::{DatabaseRequest, DatabaseResponse, FailoverAction};
use super::selection::responses_cover_commits;
use super::state::{FailoverState, PrimaryLeadership};
use super::timing::{PRIMARY_RECHECK_AFTER_MS, REQUEST_RETRY_MS};
use super::{Failover, ServiceSnapshot};
use crate::base::ids::{DbTerm, InstanceId, Position};
use crate::base::time::Tick;
use crate::leases::acknowledged_commits::UnreportedCommits;
use crate::net::statement_protocol::ServerDescription;
use crate::state_machine::{Command, PrimaryRecord};
use std::collections::{BTreeMap, BTreeSet};

/// The progress of fencing a lost primary.
#[derive(Clone, Debug, PartialEq)]
pub struct Fencing {
    pub(super) since: Tick,
    /// When the replicas were last asked for their positions.
    requested_at: Tick,
    /// The latest description of each replica since the primary was found lost.
    descriptions: BTreeMap<InstanceId, ServerDescription>,
    /// Whether the current requests were sent after every lease had expired.
    requested_after_lease_expiry: bool,
    /// The replicas that responded to those requests. Each of them had received by then every
    /// commit that was acknowledged because of its receipt.
    responded_after_lease_expiry: BTreeSet<InstanceId>,
}

impl Fencing {
    fn new(leases_expired: bool, now: Tick) -> Self {
        Self {
            since: now,
            requested_at: now,
            descriptions: BTreeMap::new(),
            requested_after_lease_expiry: leases_expired,
            responded_after_lease_expiry: BTreeSet::new(),
        }
    }

    /// The highest position among the replicas that responded.
    pub(super) fn highest_position(&self) -> Option<Position> {
        self.descriptions.values().map(|description| description.received).max()
    }

    /// The position of a replica when it responded.
    pub(super) fn position_of(&self, id: &InstanceId) -> Option<Position> {
        self.descriptions.get(id).map(|description| description.received)
    }

    /// How many of the possible commit holders have responded. A replica that departed after its
    /// response is counted, because its position is known.
    pub(super) fn response_count(&self, snapshot: &ServiceSnapshot) -> usize {
        snapshot.possible_commit_holders().filter(|id| self.descriptions.contains_key(*id)).count()
    }

    /// Whether all registered replicas that are alive have responded.
    pub(super) fn all_live_replicas_responded(&self, snapshot: &ServiceSnapshot) -> bool {
        let mut alive = snapshot.replica_ids().filter(|id| snapshot.alive.contains(*id));
        alive.all(|id| self.descriptions.contains_key(id))
    }

    /// How many of the possible commit holders have responded to requests that were sent after
    /// every lease had expired.
    pub(super) fn response_count_after_lease_expiry(&self, snapshot: &ServiceSnapshot) -> usize {
        let responded = &self.responded_after_lease_expiry;
        snapshot.possible_commit_holders().filter(|id| responded.contains(*id)).count()
    }

    fn record_description(&mut self, id: &InstanceId, description: &ServerDescription) {
        self.descriptions.insert(id.clone(), description.clone());
        if self.requested_after_lease_expiry {
            self.responded_after_lease_expiry.insert(id.clone());
        }
    }

    /// Whether a response of this replica is still missing.
    pub(super) fn needs_response_from(&self, id: &InstanceId) -> bool {
        match self.requested_after_lease_expiry {
            true => !self.responded_after_lease_expiry.contains(id),
            false => !self.descriptions.contains_key(id),
        }
    }

    /// Whether the replicas have to be asked again now that every lease has expired. That is so if
    /// the poolers' reports are incomplete, or if enough replicas responded but none could be
    /// chosen, as the poolers may have reported a higher position than the replicas had.
    fn must_repeat_requests(&self, snapshot: &ServiceSnapshot) -> bool {
        snapshot.leases_expired
            && !self.requested_after_lease_expiry
            && (snapshot.acknowledged_commits.unreported == UnreportedCommits::Unknown
                || responses_cover_commits(self.response_count(snapshot), snapshot))
    }
}

impl Failover {
    /// Starts to replace a lost primary: revokes its leases, and asks the replicas for their
    /// positions or pauses them.
    pub(super) fn fence(&mut self, snapshot: &ServiceSnapshot, now: Tick) -> Vec<FailoverAction> {
        let Some(record) = &snapshot.primary_record else {
            return Vec::new();
        };
        // During a suspicion no replica was paused, and a late response of the primary to it is
        // still accepted.
        if !matches!(self.state, FailoverState::Suspected { .. }) {
            self.begin_attempt();
        }
        self.revoking = true;
        self.handover = None;
        self.suspicion.clear_no_response_reports();
        self.state = FailoverState::Fencing(Fencing::new(snapshot.leases_expired, now));
        let mut actions = vec![FailoverAction::RevokeLeases(record.term)];
        actions.extend(self.request_positions(snapshot, record.term, now));
        actions
    }

    /// Asks the possible commit holders whose responses are missing for their positions. Registered
    /// replicas are paused by the same request, but not while a lease is in use: commits that are
    /// acknowledged then have to reach them. A departed replica may still run, but is not paused.
    fn request_positions(
        &mut self,
        snapshot: &ServiceSnapshot,
        term: DbTerm,
        now: Tick,
    ) -> Vec<FailoverAction> {
        let FailoverState::Fencing(fencing) = &mut self.state else { return Vec::new() };
        fencing.requested_at = now;
        let missing = |id: &&InstanceId| fencing.needs_response_from(id);
        let departed: Vec<_> = snapshot.departed.keys().filter(missing).cloned().collect();
        let registered: Vec<_> = snapshot.replica_ids().filter(missing).cloned().collect();
        let describe = |id| FailoverAction::SendRequest(id, DatabaseRequest::Describe);
        let mut actions = match fencing.requested_after_lease_expiry {
            true => self.replicas.pause(registered, term, now),
            false => registered.into_iter().map(describe).collect(),
        };
        actions.extend(departed.into_iter().map(describe));
        actions
    }

    /// Pauses replicas that were registered after the others had been paused, so that the old
    /// primary commits little that the target lacks.
    pub(super) fn pause_new_replicas(
        &mut self,
        snapshot: &ServiceSnapshot,
        target: &InstanceId,
        now: Tick,
    ) -> Vec<FailoverAction> {
        let Some(record) = &snapshot.primary_record else { return Vec::new() };
        let is_new = |id: &&InstanceId| *id != target && !self.replicas.is_paused(id);
        let new_replicas = snapshot.replica_ids().filter(is_new).cloned().collect();
        self.replicas.pause(new_replicas, record.term, now)
    }

    /// Ends the failover or handover and resumes the paused replicas. Must not be called while a
    /// promotion may still take effect.
    pub(super) fn cancel(&mut self, now: Tick) -> Vec<FailoverAction> {
        self.return_to_steady(now);
        self.cancelled_at = Some(now);
        self.resume_replicas(now)
    }

    /// Handles the response of the primary, or its absence, while the primary is being fenced.
    pub(super) fn handle_fenced_primary(
        &mut self,
        snapshot: &ServiceSnapshot,
        response: &DatabaseResponse,
        now: Tick,
    ) -> Vec<FailoverAction> {
        let Some(record) = &snapshot.primary_record else { return Vec::new() };
        match PrimaryLeadership::of(response, record) {
            // The primary was not lost, and nothing has been promoted yet.
            PrimaryLeadership::Leads => self.cancel(now),
            PrimaryLeadership::DoesNotLead => Vec::new(),
        }
    }

    /// Handles the description of a replica while a lost primary is being fenced.
    pub(super) fn handle_fenced_replica(
        &mut self,
        snapshot: &ServiceSnapshot,
        database: &InstanceId,
        description: &ServerDescription,
        now: Tick,
    ) -> Vec<FailoverAction> {
        // A pause has no effect on a primary, so its position does not count as that of a paused
        // replica.
        if description.primary {
            return self.handle_unexpected_primary(snapshot, database, description.term, now);
        }
        let FailoverState::Fencing(fencing) = &mut self.state else { return Vec::new() };
        fencing.record_description(database, description);
        self.choose_target(snapshot, now)
    }

    /// Handles a response in which a database that should be a replica reports to be the primary of
    /// this term.
    pub(super) fn handle_unexpected_primary(
        &mut self,
        snapshot: &ServiceSnapshot,
        database: &InstanceId,
        term: DbTerm,
        now: Tick,
    ) -> Vec<FailoverAction> {
        let Some(record) = &snapshot.primary_record else { return Vec::new() };
        let recorded_term = record.term;
        let (service, primary) = (snapshot.service.clone(), database.clone());
        if term == recorded_term {
            // It is the recorded primary, which has returned under another id.
            return vec![FailoverAction::Propose(Command::PrimaryReturned {
                service,
                term,
                primary,
            })];
        }
        if term > recorded_term {
            // A promotion by an earlier leader has taken effect.
            return self.await_lease_expiry(snapshot, primary, term, now);
        }
        vec![FailoverAction::SendRequest(primary, DatabaseRequest::StepDown(recorded_term))]
    }

    /// Chooses a replica if enough is known. Otherwise repeats requests that are due.
    pub(super) fn tick_fencing(
        &mut self,
        snapshot: &ServiceSnapshot,
        record: &PrimaryRecord,
        now: Tick,
    ) -> Vec<FailoverAction> {
        let chosen = self.choose_target(snapshot, now);
        if !chosen.is_empty() {
            return chosen;
        }
        let FailoverState::Fencing(fencing) = &mut self.state else { return Vec::new() };
        if fencing.must_repeat_requests(snapshot) {
            fencing.requested_after_lease_expiry = true;
            // Responses that are still in flight may have been sent before the leases expired.
            self.begin_attempt();
            return self.request_positions(snapshot, record.term, now);
        }
        if now.since(fencing.requested_at) <= REQUEST_RETRY_MS {
            return Vec::new();
        }
        let recheck = now.since(fencing.since) > PRIMARY_RECHECK_AFTER_MS;
        let mut actions = self.request_positions(snapshot, record.term, now);
        if recheck && snapshot.database(&record.primary).is_some() {
            let primary = record.primary.clone();
            actions.push(FailoverAction::SendRequest(primary, DatabaseRequest::Describe));
        }
        actions
    }
}
