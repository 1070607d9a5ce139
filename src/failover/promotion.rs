//! Promotion of the chosen target. Once the intent to promote it is committed, the platform is
//! called. The target is recorded as the primary once it leads a newer term and no lease on the old
//! term can be in use.

use super::actions::{Attempt, DatabaseRequest, FailoverAction, PromotionResponse};
use super::state::FailoverState;
use super::timing::{
    INTENT_RETRY_MS, PROMOTED_TARGET_POLL_MS, PROMOTION_CALL_TIMEOUT_MS, PROMOTION_EFFECT_MS,
    PROMOTION_RETRY_MS,
};
use super::{Failover, ServiceSnapshot};
use crate::base::ids::{DbTerm, InstanceId};
use crate::base::time::Tick;
use crate::net::statement_protocol::ServerDescription;
use crate::state_machine::{Command, PrimaryRecord};

/// The calls that promote the target of a committed intent.
#[derive(Clone, Debug, PartialEq)]
pub struct Promotion {
    /// The replica that is being promoted.
    pub target: InstanceId,
    /// When the last call was made. After the platform accepted a call this is the end of the time
    /// in which the promotion takes effect, so that the call is not repeated earlier.
    called_at: Tick,
    /// Whether the response to the last call is still awaited.
    in_flight: bool,
    /// When the last call that may have had an effect was answered or timed out.
    may_have_run_at: Option<Tick>,
    /// When the target was last asked for its state.
    polled_at: Tick,
}

impl Promotion {
    /// Whether the promotion call has to be repeated.
    fn is_call_due(&mut self, snapshot: &ServiceSnapshot, now: Tick) -> bool {
        if self.in_flight {
            // The response is dropped if it arrives while this leader is not certain of leading.
            let timed_out = now.since(self.called_at) > PROMOTION_CALL_TIMEOUT_MS;
            if timed_out {
                self.may_have_run_at = Some(now);
            }
            return timed_out;
        }
        // If the target departed after the platform had accepted the call, the call is repeated
        // immediately: its refusal shows that the target won't lead.
        let departed = snapshot.database(&self.target).is_none();
        now >= self.called_at.plus(PROMOTION_RETRY_MS) || (departed && self.called_at > now)
    }

    fn record_call(&mut self, now: Tick) {
        self.in_flight = true;
        self.called_at = now;
    }

    /// Whether the target has to be asked again whether it leads.
    fn is_poll_due(&self, now: Tick) -> bool {
        self.may_have_run_at.is_some_and(|at| now.since(at) > PROMOTED_TARGET_POLL_MS)
            && now.since(self.polled_at) > PROMOTED_TARGET_POLL_MS
    }

    /// Asks the target whether it leads.
    pub(super) fn poll(&mut self, now: Tick) -> FailoverAction {
        self.polled_at = now;
        FailoverAction::SendRequest(self.target.clone(), DatabaseRequest::Describe)
    }

    /// Whether the target, which the platform reports as not running, can be abandoned. An earlier
    /// call may still take effect: choosing another target before that could create two primaries
    /// of one term, and the commits of one of them would be lost.
    fn can_be_abandoned(&self, snapshot: &ServiceSnapshot, now: Tick) -> bool {
        // A target that departed won't lead any more, even if an earlier call takes effect.
        let departed = snapshot.database(&self.target).is_none();
        departed || self.may_have_run_at.is_none_or(|at| now.since(at) > PROMOTION_EFFECT_MS)
    }
}

impl Failover {
    /// Carries out an intent that another leader committed. The target stays the same, because that
    /// leader's promotion call may have taken effect.
    pub(super) fn take_over_intent(
        &mut self,
        snapshot: &ServiceSnapshot,
        term: DbTerm,
        target: InstanceId,
        now: Tick,
    ) -> Vec<FailoverAction> {
        self.revoking = true;
        let mut actions = vec![FailoverAction::RevokeLeases(term)];
        actions.extend(self.pause_new_replicas(snapshot, &target, now));
        // The target may have been paused before it was chosen. Unless it becomes the primary, it
        // has to be resumed when the failover or handover ends.
        self.replicas.assume_paused(target.clone());
        actions.push(self.promote(target, now));
        actions
    }

    /// Starts the promotion of the target of the committed intent.
    pub(super) fn promote(&mut self, target: InstanceId, now: Tick) -> FailoverAction {
        self.begin_attempt();
        let action = FailoverAction::Promote(target.clone());
        self.state = FailoverState::Promoting(Promotion {
            target,
            called_at: now,
            in_flight: true,
            may_have_run_at: None,
            polled_at: now,
        });
        action
    }

    /// Handles the platform's response to a promotion call.
    pub fn handle_promotion_response(
        &mut self,
        snapshot: &ServiceSnapshot,
        attempt: Attempt,
        target: &InstanceId,
        response: PromotionResponse,
        now: Tick,
    ) -> Vec<FailoverAction> {
        let FailoverState::Promoting(promotion) = &mut self.state else {
            return Vec::new();
        };
        if *target != promotion.target || attempt != self.attempt {
            return Vec::new();
        }
        promotion.in_flight = false;
        match response {
            PromotionResponse::Accepted => {
                promotion.may_have_run_at = Some(now);
                promotion.called_at = now.plus(PROMOTION_EFFECT_MS);
            }
            PromotionResponse::Unknown => promotion.may_have_run_at = Some(now),
            PromotionResponse::NotRunning if promotion.can_be_abandoned(snapshot, now) => {
                let (service, target) = (snapshot.service.clone(), target.clone());
                let abandon = Command::AbandonFailover { service, target };
                return vec![FailoverAction::Propose(abandon)];
            }
            PromotionResponse::NotRunning | PromotionResponse::NotAttempted => {}
        }
        Vec::new()
    }

    /// Handles the description of a database during a promotion. If it is the target and leads a
    /// newer term, the promotion has taken effect.
    pub(super) fn handle_target_response(
        &mut self,
        snapshot: &ServiceSnapshot,
        database: &InstanceId,
        description: &ServerDescription,
        now: Tick,
    ) -> Vec<FailoverAction> {
        let FailoverState::Promoting(promotion) = &self.state else { return Vec::new() };
        let is_newer_term =
            snapshot.primary_record.as_ref().is_some_and(|record| record.term < description.term);
        if promotion.target == *database && description.primary && is_newer_term {
            return self.await_lease_expiry(snapshot, database.clone(), description.term, now);
        }
        Vec::new()
    }

    /// Waits until no lease on the old term can be in use, and then records the target, which leads
    /// a newer term, as the primary. Until then a pooler could still use the old primary: reads
    /// there would miss commits of the new one, and without synchronous replicas writes there would
    /// be acknowledged and lost.
    pub(super) fn await_lease_expiry(
        &mut self,
        snapshot: &ServiceSnapshot,
        target: InstanceId,
        term: DbTerm,
        now: Tick,
    ) -> Vec<FailoverAction> {
        self.state = FailoverState::AwaitingLeaseExpiry { target, term, recorded: false };
        let mut actions = Vec::new();
        if let Some(record) = &snapshot.primary_record {
            if !self.revoking {
                self.revoking = true;
                actions.push(FailoverAction::RevokeLeases(record.term));
            }
            let step_down = DatabaseRequest::StepDown(term);
            actions.push(FailoverAction::SendRequest(record.primary.clone(), step_down));
        }
        actions.extend(self.tick(snapshot, now));
        actions
    }

    /// Advances to the state that the committed record of the service requires. The current state
    /// may be waiting for that record, which may have been committed while this leader was not
    /// certain of leading. `None` if the record requires no change of state.
    pub(super) fn follow_committed_record(
        &mut self,
        snapshot: &ServiceSnapshot,
        record: &PrimaryRecord,
        now: Tick,
    ) -> Option<Vec<FailoverAction>> {
        match &self.state {
            FailoverState::RecordingIntent { target, .. }
                if record.intent.as_ref() == Some(target) =>
            {
                let target = target.clone();
                Some(vec![self.promote(target, now)])
            }
            // An intent of another leader, which was committed after this leader was elected.
            FailoverState::Steady
            | FailoverState::Suspected { .. }
            | FailoverState::Fencing(_)
            | FailoverState::HandingOver(_)
            | FailoverState::RecordingIntent { .. } => {
                let target = record.intent.clone()?;
                Some(self.take_over_intent(snapshot, record.term, target, now))
            }
            // The intent was abandoned.
            FailoverState::Promoting(promotion)
                if record.intent.as_ref() != Some(&promotion.target) =>
            {
                Some(self.fence(snapshot, now))
            }
            FailoverState::AwaitingLeaseExpiry { term, .. } if record.term >= *term => {
                self.replicas.remove(&record.primary);
                let actions = self.cancel(now);
                // The change was completed, not cancelled: the next handover needs no backoff.
                self.cancelled_at = None;
                Some(actions)
            }
            FailoverState::Promoting(_)
            | FailoverState::AwaitingLeaseExpiry { .. }
            | FailoverState::DiscoveringFirstPrimary { .. } => None,
        }
    }

    /// Proposes the intent again if it was not seen committed in time. The command is idempotent.
    pub(super) fn tick_recording_intent(
        &mut self,
        snapshot: &ServiceSnapshot,
        record: &PrimaryRecord,
        now: Tick,
    ) -> Vec<FailoverAction> {
        let FailoverState::RecordingIntent { target, since } = &mut self.state else {
            return Vec::new();
        };
        if now.since(*since) <= INTENT_RETRY_MS {
            return Vec::new();
        }
        *since = now;
        let (service, term, target) = (snapshot.service.clone(), record.term, target.clone());
        vec![FailoverAction::Propose(Command::BeginFailover { service, term, target })]
    }

    /// Repeats the promotion call, and asks the target whether it leads, when either is due.
    pub(super) fn tick_promoting(
        &mut self,
        snapshot: &ServiceSnapshot,
        now: Tick,
    ) -> Vec<FailoverAction> {
        let FailoverState::Promoting(promotion) = &mut self.state else { return Vec::new() };
        let mut actions = Vec::new();
        if promotion.is_call_due(snapshot, now) {
            promotion.record_call(now);
            self.attempt.number += 1;
            actions.push(FailoverAction::Promote(promotion.target.clone()));
        }
        if promotion.is_poll_due(now) {
            actions.push(promotion.poll(now));
        }
        actions
    }

    /// Proposes the record of the new primary once no lease on the old term can be in use.
    pub(super) fn tick_awaiting_lease_expiry(
        &mut self,
        snapshot: &ServiceSnapshot,
    ) -> Vec<FailoverAction> {
        let FailoverState::AwaitingLeaseExpiry { target, term, recorded } = &mut self.state else {
            return Vec::new();
        };
        if !snapshot.leases_expired || *recorded {
            return Vec::new();
        }
        *recorded = true;
        let (service, term, primary) = (snapshot.service.clone(), *term, target.clone());
        vec![FailoverAction::Propose(Command::SetPrimary { service, term, primary })]
    }
}
