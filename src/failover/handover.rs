//! A planned change: a primary that still serves hands its service over to a replica.
//!
//! The promotion rests on the poolers and on the log of the target alone. First every pooler is told
//! of the handover; from its acknowledgement on it passes on a commit only once the target has it.
//! When all do so, or can't use a lease any more, no client is told of a commit that the target
//! lacks, except of those from before: the target has to reach them before it is chosen. So it
//! does not matter which databases receive meanwhile. The other replicas are paused only so that
//! few commits wait for the target.

use super::actions::{DatabaseRequest, DatabaseResponse, FailoverAction};
use super::state::PrimaryLeadership;
use super::timing::{DRAINING_HANDOVER_TIMEOUT_MS, HANDOVER_POLL_MS, SLOW_HANDOVER_TIMEOUT_MS};
use super::{Failover, FailoverState, ServiceSnapshot};
use crate::base::ids::{DbTerm, InstanceId, Position};
use crate::base::time::Tick;
use crate::config::directory::{Instance, Lifecycle};
use crate::leases::passed_on::UnreportedCommits;
use crate::net::rpc::pooler_messages::Handover;
use crate::net::statement_protocol::ServerDescription;
use std::cmp::Reverse;

/// Why a change of primary is planned.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PlannedCause {
    /// The primary is draining.
    Draining,
    /// The primary is slow or breaks connections. The change is called off at the first obstacle,
    /// as the primary still serves.
    Slow,
}

/// The progress of a planned change until its target is chosen.
#[derive(Clone, Debug, PartialEq)]
pub struct HandoverProgress {
    /// The replica that is to become the primary. It isn't paused.
    pub target: InstanceId,
    cause: PlannedCause,
    since: Tick,
    polled_at: Tick,
    /// Every pooler passes on only commits that the target has.
    confirmed: bool,
    /// The primary's position after that: it covers every commit passed on before.
    primary_position: Option<Position>,
    /// How far the target was when it last said so.
    target_position: Option<Position>,
}

impl HandoverProgress {
    /// Whether the target has every commit that was passed on, and will have those that will be.
    fn is_target_ready(&self, snapshot: &ServiceSnapshot) -> bool {
        let Some(received) = self.target_position else { return false };
        let has_primarys = self.primary_position.is_some_and(|position| received >= position);
        let has_all = snapshot.passed_on.is_covered_by(received)
            || (has_primarys && !snapshot.passed_on.exceeds(received));
        self.confirmed && has_all
    }

    fn timeout_ms(&self) -> u64 {
        match self.cause {
            PlannedCause::Slow => SLOW_HANDOVER_TIMEOUT_MS,
            PlannedCause::Draining => DRAINING_HANDOVER_TIMEOUT_MS,
        }
    }

    /// Asks the target how far it is; and the primary, if some pooler did not report.
    fn poll(&mut self, snapshot: &ServiceSnapshot, now: Tick) -> Vec<FailoverAction> {
        self.polled_at = now;
        let mut asked = vec![self.target.clone()];
        if snapshot.passed_on.unreported == UnreportedCommits::Unknown
            && self.primary_position.is_none()
        {
            asked.extend(snapshot.primary_record.as_ref().map(|record| record.primary.clone()));
        }
        let describe = |id| FailoverAction::SendRequest(id, DatabaseRequest::Describe);
        asked.into_iter().map(describe).collect()
    }
}

/// The replica that a planned change goes to. It has the newest revision, so that the next
/// replacement of old databases needn't move the primary again.
fn planned_target(snapshot: &ServiceSnapshot) -> Option<InstanceId> {
    let usable = |(id, instance): &&(InstanceId, Instance)| {
        instance.lifecycle_state == Lifecycle::Available && snapshot.alive.contains(id)
    };
    snapshot
        .replicas()
        .filter(usable)
        .max_by_key(|(id, i)| (i.revision.len(), i.revision.clone(), Reverse(id.clone())))
        .map(|(id, _)| id.clone())
}

impl Failover {
    /// Begins a planned change: tells the poolers, and pauses all replicas but the target. The
    /// primary serves until the target is promoted.
    pub(super) fn plan_change(
        &mut self,
        snapshot: &ServiceSnapshot,
        term: DbTerm,
        cause: PlannedCause,
        now: Tick,
    ) -> Vec<FailoverAction> {
        let Some(target) = planned_target(snapshot) else { return Vec::new() };
        let others: Vec<_> = snapshot.replica_ids().filter(|id| **id != target).cloned().collect();
        self.begin_attempt();
        let number = self.attempt.fencing_token();
        let handover = Handover { number, term, target: target.clone() };
        self.handover = Some(handover.clone());
        self.state = FailoverState::HandingOver(HandoverProgress {
            target,
            cause,
            since: now,
            polled_at: now,
            confirmed: false,
            primary_position: None,
            target_position: None,
        });
        let mut actions = vec![FailoverAction::HandOver(handover)];
        actions.extend(self.replicas.pause(others, term, now));
        actions
    }

    /// The tick of a planned change.
    pub(super) fn tick_handover(
        &mut self,
        snapshot: &ServiceSnapshot,
        now: Tick,
    ) -> Vec<FailoverAction> {
        let FailoverState::HandingOver(progress) = &mut self.state else { return Vec::new() };
        if now.since(progress.since) > progress.timeout_ms() {
            return self.cancel(now);
        }
        if !progress.confirmed {
            if !snapshot.all_poolers_confirmed {
                return Vec::new();
            }
            progress.confirmed = true;
            let actions = progress.poll(snapshot, now);
            // Only answers to requests from now on count: the positions are to be later than the
            // acknowledgements.
            self.begin_attempt();
            return actions;
        }
        if progress.is_target_ready(snapshot) {
            return self.choose_handover_target(snapshot, now);
        }
        if now.since(progress.polled_at) >= HANDOVER_POLL_MS {
            return progress.poll(snapshot, now);
        }
        Vec::new()
    }

    /// The primary's own answer, or none, while it hands its service over.
    pub(super) fn handle_handover_primary(
        &mut self,
        snapshot: &ServiceSnapshot,
        response: &DatabaseResponse,
        now: Tick,
    ) -> Vec<FailoverAction> {
        let (FailoverState::HandingOver(progress), Some(record)) =
            (&mut self.state, &snapshot.primary_record)
        else {
            return Vec::new();
        };
        if PrimaryLeadership::of(response, record) == PrimaryLeadership::DoesNotLead {
            return self.fence(snapshot, now);
        }
        if let DatabaseResponse::Description(description) = response
            && progress.confirmed
        {
            progress.primary_position = Some(description.received);
        }
        self.choose_ready_target(snapshot, now)
    }

    /// A replica described itself while its service is handed over.
    pub(super) fn handle_handover_replica(
        &mut self,
        snapshot: &ServiceSnapshot,
        database: &InstanceId,
        description: &ServerDescription,
        now: Tick,
    ) -> Vec<FailoverAction> {
        if description.primary {
            return self.handle_unexpected_primary(snapshot, database, description.term, now);
        }
        if let FailoverState::HandingOver(progress) = &mut self.state
            && progress.target == *database
        {
            progress.target_position = Some(description.received);
        }
        self.choose_ready_target(snapshot, now)
    }

    fn choose_ready_target(
        &mut self,
        snapshot: &ServiceSnapshot,
        now: Tick,
    ) -> Vec<FailoverAction> {
        match &self.state {
            FailoverState::HandingOver(progress) if progress.is_target_ready(snapshot) => {
                self.choose_handover_target(snapshot, now)
            }
            _ => Vec::new(),
        }
    }

    fn choose_handover_target(
        &mut self,
        snapshot: &ServiceSnapshot,
        now: Tick,
    ) -> Vec<FailoverAction> {
        let (FailoverState::HandingOver(progress), Some(record)) =
            (&self.state, &snapshot.primary_record)
        else {
            return Vec::new();
        };
        let target = progress.target.clone();
        self.propose_intent(snapshot, record.term, target, now)
    }
}
