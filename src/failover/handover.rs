//! The handover of a service: the planned change from a primary that still serves to a replica.
//!
//! Its safety depends only on the poolers and on the log of the target. The handover is announced
//! to every pooler. From its acknowledgement on, a pooler forwards a commit to a client only once
//! the target has that commit. When every pooler has acknowledged, or can't use a lease any more,
//! the target lacks at most commits that were forwarded before, and has to reach those before the
//! intent to promote it is proposed. Therefore it does not matter which other databases receive
//! commits meanwhile. The other replicas are paused only so that few commits have to wait for the
//! target.

use super::actions::{DatabaseRequest, DatabaseResponse, FailoverAction};
use super::state::PrimaryLeadership;
use super::timing::{DRAINING_HANDOVER_TIMEOUT_MS, HANDOVER_POLL_MS, SLOW_HANDOVER_TIMEOUT_MS};
use super::{Failover, FailoverState, ServiceSnapshot};
use crate::base::ids::{DbTerm, InstanceId, Position};
use crate::base::time::Tick;
use crate::config::directory::{Instance, Lifecycle};
use crate::leases::acknowledged_commits::UnreportedCommits;
use crate::net::rpc::pooler_messages::Handover;
use crate::net::statement_protocol::ServerDescription;
use std::cmp::Reverse;

/// Why a primary that still serves is replaced.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HandoverCause {
    /// The primary is draining.
    Draining,
    /// The primary is slow or breaks connections. The handover has a short time-out, because the
    /// primary still serves.
    Slow,
}

/// The progress of a handover until the intent to promote its target is proposed.
#[derive(Clone, Debug, PartialEq)]
pub struct HandoverProgress {
    /// The replica that is to become the primary. It is not paused.
    pub target: InstanceId,
    cause: HandoverCause,
    since: Tick,
    /// When the target was last asked for its position.
    polled_at: Tick,
    /// Whether every pooler forwards only commits that the target has.
    confirmed: bool,
    /// The primary's position after that. It covers every commit that was forwarded before.
    primary_position: Option<Position>,
    /// The position of the target when it last described itself.
    target_position: Option<Position>,
}

impl HandoverProgress {
    /// Whether the target has every commit that was forwarded, and every pooler now waits for the
    /// target before it forwards another.
    fn is_target_ready(&self, snapshot: &ServiceSnapshot) -> bool {
        let Some(received) = self.target_position else { return false };
        let reached_primary = self.primary_position.is_some_and(|position| received >= position);
        let has_all_commits = snapshot.acknowledged_commits.is_covered_by(received)
            || (reached_primary && !snapshot.acknowledged_commits.exceeds(received));
        self.confirmed && has_all_commits
    }

    fn timeout_ms(&self) -> u64 {
        match self.cause {
            HandoverCause::Slow => SLOW_HANDOVER_TIMEOUT_MS,
            HandoverCause::Draining => DRAINING_HANDOVER_TIMEOUT_MS,
        }
    }

    /// Asks the target for its position. Asks the primary too if its position is not known yet and
    /// some pooler did not report its furthest forwarded commit.
    fn poll(&mut self, snapshot: &ServiceSnapshot, now: Tick) -> Vec<FailoverAction> {
        self.polled_at = now;
        let mut databases = vec![self.target.clone()];
        if snapshot.acknowledged_commits.unreported == UnreportedCommits::Unknown
            && self.primary_position.is_none()
        {
            databases.extend(snapshot.primary_record.as_ref().map(|record| record.primary.clone()));
        }
        let describe = |id| FailoverAction::SendRequest(id, DatabaseRequest::Describe);
        databases.into_iter().map(describe).collect()
    }
}

/// Selects the replica that becomes the primary by a handover. It has the newest revision, so that
/// the next replacement of old databases does not have to move the primary again.
fn select_handover_target(snapshot: &ServiceSnapshot) -> Option<InstanceId> {
    let is_eligible = |(id, instance): &&(InstanceId, Instance)| {
        instance.lifecycle_state == Lifecycle::Available && snapshot.alive.contains(id)
    };
    snapshot
        .replicas()
        .filter(is_eligible)
        .max_by_key(|(id, instance)| {
            (instance.revision.len(), instance.revision.clone(), Reverse(id.clone()))
        })
        .map(|(id, _)| id.clone())
}

impl Failover {
    /// Starts a handover: announces it to the poolers, and pauses all replicas but the target. The
    /// primary serves until the target is promoted.
    pub(super) fn begin_handover(
        &mut self,
        snapshot: &ServiceSnapshot,
        term: DbTerm,
        cause: HandoverCause,
        now: Tick,
    ) -> Vec<FailoverAction> {
        let Some(target) = select_handover_target(snapshot) else { return Vec::new() };
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

    /// Cancels the handover after its time-out. Otherwise waits for the poolers, and then for the
    /// target, and proposes the intent once the target is ready.
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
            // Only responses to requests from now on are accepted, because the positions have to be
            // later than the poolers' acknowledgements.
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

    /// Handles the response of the primary, or its absence, during a handover.
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

    /// Handles the description of a replica during a handover.
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
