//! Fencing: pausing replicas so that the old primary can acknowledge no more commits than the
//! leader gets to know of. This is done when the primary was lost, and for a planned change.

use super::actions::{DatabaseRequest, DatabaseResponse, FailoverAction};
use super::selection::planned_target;
use super::state::{FailoverState, PrimaryAnswer};
use super::timing::{
    PAUSE_TIMEOUT_MS, PLANNED_CHANGE_TIMEOUT_MS, PRIMARY_RECHECK_AFTER_MS, REQUEST_RETRY_MS,
    TARGET_POLL_MS,
};
use super::{Failover, ServiceSnapshot};
use crate::base::ids::{DbTerm, InstanceId, Position};
use crate::base::time::Tick;
use crate::net::statement_protocol::ServerDescription;
use crate::state_machine::{Command, PrimaryRecord};
use std::collections::BTreeMap;

/// Why a change of primary is planned.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PlannedCause {
    /// The primary is draining.
    Draining,
    /// The primary is slow or breaks connections. The change is called off at the first obstacle,
    /// as the primary still serves.
    Slow,
}

/// A change away from a primary that still serves.
#[derive(Clone, Debug, PartialEq)]
pub struct PlannedChange {
    /// The replica that is to become the primary. It isn't paused.
    pub target: InstanceId,
    /// Why the primary is to change.
    pub cause: PlannedCause,
}

/// The progress of pausing the replicas.
#[derive(Clone, Debug, PartialEq)]
pub struct Fencing {
    /// The planned change; none when the primary was lost.
    pub planned: Option<PlannedChange>,
    pub(super) since: Tick,
    pub(super) requested_at: Tick,
    /// What the replicas answered in this attempt. Answers of earlier attempts don't count: a
    /// replica may have received more after it was resumed.
    pub(super) descriptions: BTreeMap<InstanceId, ServerDescription>,
}

impl Fencing {
    fn new(planned: Option<PlannedChange>, now: Tick) -> Self {
        Self { planned, since: now, requested_at: now, descriptions: BTreeMap::new() }
    }

    /// The target of a planned change.
    pub(super) fn target(&self) -> Option<&InstanceId> {
        self.planned.as_ref().map(|change| &change.target)
    }

    /// The highest position of all that answered.
    pub(super) fn furthest(&self) -> Option<Position> {
        self.descriptions.values().map(|d| d.received).max()
    }

    /// Whether this replica has to be paused and hasn't answered that it is.
    pub(super) fn needs_answer_of(&self, id: &InstanceId) -> bool {
        self.target() != Some(id) && !self.descriptions.contains_key(id)
    }

    /// The listed replicas that have to be paused and haven't answered that they are.
    fn unanswered(&self, snapshot: &ServiceSnapshot) -> Vec<InstanceId> {
        snapshot.replica_ids().filter(|id| self.needs_answer_of(id)).cloned().collect()
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
        self.suspicion.clear_reporters();
        self.state = FailoverState::Fencing(Fencing::new(None, now));
        let mut actions = vec![FailoverAction::RevokeLeases(record.term)];
        let replicas = snapshot.replica_ids().cloned().collect();
        actions.extend(self.replicas.pause(replicas, record.term, now));
        actions
    }

    /// Begins a planned change: all replicas but the target are paused, so that from then on every
    /// acknowledged commit is on the target. The primary serves until the target is promoted.
    pub(super) fn plan_change(
        &mut self,
        snapshot: &ServiceSnapshot,
        term: DbTerm,
        cause: PlannedCause,
        now: Tick,
    ) -> Vec<FailoverAction> {
        // A departed replica may hold the only copy of a commit, and no pause tells how far it
        // was. The target could lack that commit, so the others must have it first.
        if !snapshot.departed.is_empty() {
            return Vec::new();
        }
        let Some(target) = planned_target(snapshot) else { return Vec::new() };
        let others: Vec<_> = snapshot.replica_ids().filter(|id| **id != target).cloned().collect();
        self.begin_attempt();
        let mut actions = Vec::new();
        if others.is_empty() {
            let describe = DatabaseRequest::Describe;
            actions.push(FailoverAction::SendRequest(target.clone(), describe));
        }
        actions.extend(self.replicas.pause(others, term, now));
        self.state =
            FailoverState::Fencing(Fencing::new(Some(PlannedChange { target, cause }), now));
        actions
    }

    /// Pauses replicas that were listed after the others were paused. A commit that only they and
    /// the old primary receive would be acknowledged, and be missing at the target.
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
        self.called_off_at = Some(now);
        self.resume_replicas(now)
    }

    /// The primary's own answer, or none, while the replicas are being paused.
    pub(super) fn handle_fenced_primary(
        &mut self,
        snapshot: &ServiceSnapshot,
        response: &DatabaseResponse,
        now: Tick,
    ) -> Vec<FailoverAction> {
        let (FailoverState::Fencing(fencing), Some(record)) =
            (&self.state, &snapshot.primary_record)
        else {
            return Vec::new();
        };
        match (&fencing.planned, PrimaryAnswer::of(response, record)) {
            // Nothing was promoted yet, and the alarm was false.
            (None, PrimaryAnswer::Leads) => self.call_off(now),
            (Some(_), PrimaryAnswer::DoesNotLead) => self.fence(snapshot, now),
            (None, PrimaryAnswer::DoesNotLead) | (Some(_), PrimaryAnswer::Leads) => Vec::new(),
        }
    }

    /// A database answered a pause or described itself while the replicas are being paused.
    pub(super) fn handle_fenced_replica(
        &mut self,
        snapshot: &ServiceSnapshot,
        database: &InstanceId,
        response: &DatabaseResponse,
        now: Tick,
    ) -> Vec<FailoverAction> {
        let DatabaseResponse::Description(description) = response else { return Vec::new() };
        // A pause has no effect on a primary, so its answer says nothing about a paused replica.
        if description.primary {
            return self.handle_unexpected_primary(snapshot, database, description.term, now);
        }
        let FailoverState::Fencing(fencing) = &mut self.state else { return Vec::new() };
        fencing.descriptions.insert(database.clone(), description.clone());
        let actions = self.choose_successor(snapshot, now);
        if !actions.is_empty() {
            return actions;
        }
        // Once the others are paused, the target is asked how far it is.
        match &self.state {
            FailoverState::Fencing(fencing) => match fencing.target() {
                Some(target)
                    if !fencing.descriptions.contains_key(target)
                        && fencing.unanswered(snapshot).is_empty() =>
                {
                    let describe = DatabaseRequest::Describe;
                    vec![FailoverAction::SendRequest(target.clone(), describe)]
                }
                _ => Vec::new(),
            },
            _ => Vec::new(),
        }
    }

    /// A database that was to be paused says that it is a primary of this term.
    fn handle_unexpected_primary(
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

    /// The tick of a planned change.
    pub(super) fn tick_planned_change(
        &mut self,
        snapshot: &ServiceSnapshot,
        record: &PrimaryRecord,
        now: Tick,
    ) -> Vec<FailoverAction> {
        let FailoverState::Fencing(fencing) = &mut self.state else { return Vec::new() };
        let Some(change) = &fencing.planned else { return Vec::new() };
        let waited = now.since(fencing.since);
        let timeout = match change.cause {
            PlannedCause::Slow => PAUSE_TIMEOUT_MS,
            PlannedCause::Draining => PLANNED_CHANGE_TIMEOUT_MS,
        };
        if waited > timeout {
            return self.call_off(now);
        }
        let all_paused = fencing.unanswered(snapshot).is_empty();
        if (all_paused || snapshot.released_up_to.is_some())
            && now.since(fencing.requested_at) >= TARGET_POLL_MS
        {
            let target = change.target.clone();
            fencing.requested_at = now;
            return vec![FailoverAction::SendRequest(target, DatabaseRequest::Describe)];
        }
        // A replica that doesn't answer its pause may be acknowledged for. With the leases
        // released, no pooler uses the primary, and the change can go on without that replica.
        let blocked = !all_paused && waited > PAUSE_TIMEOUT_MS;
        if blocked && change.cause == PlannedCause::Draining && !self.revoking {
            self.revoking = true;
            return vec![FailoverAction::RevokeLeases(record.term)];
        }
        Vec::new()
    }

    /// The tick while a lost primary is fenced.
    pub(super) fn tick_fencing(
        &mut self,
        snapshot: &ServiceSnapshot,
        record: &PrimaryRecord,
        now: Tick,
    ) -> Vec<FailoverAction> {
        let FailoverState::Fencing(fencing) = &mut self.state else { return Vec::new() };
        let mut actions = Vec::new();
        if now.since(fencing.requested_at) > REQUEST_RETRY_MS {
            fencing.requested_at = now;
            let recheck = now.since(fencing.since) > PRIMARY_RECHECK_AFTER_MS;
            let unanswered = fencing.unanswered(snapshot);
            actions = self.replicas.pause(unanswered, record.term, now);
            if recheck && snapshot.database(&record.primary).is_some() {
                let primary = record.primary.clone();
                actions.push(FailoverAction::SendRequest(primary, DatabaseRequest::Describe));
            }
        }
        actions.extend(self.choose_successor(snapshot, now));
        actions
    }
}
