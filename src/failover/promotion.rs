//! From the intent to the new primary: the intent is committed, the platform is called to promote
//! the target, and once the target leads and the old leases have ended, it becomes the primary.

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
    /// The replica that is to become the primary.
    pub target: InstanceId,
    /// When the last call was made; after an acceptance, the end of the time in which the promotion
    /// takes effect, so that the call isn't repeated before.
    called_at: Tick,
    in_flight: bool,
    /// The last time that a call may have had an effect.
    may_have_run_at: Option<Tick>,
    /// When the target was last asked for its state.
    polled_at: Tick,
}

impl Promotion {
    /// Whether the platform is to be called again.
    fn is_call_due(&mut self, snapshot: &ServiceSnapshot, now: Tick) -> bool {
        if self.in_flight {
            // The answer may have come while this leader wasn't certain of leading, and is lost.
            let unheard = now.since(self.called_at) > PROMOTION_CALL_TIMEOUT_MS;
            if unheard {
                self.may_have_run_at = Some(now);
            }
            return unheard;
        }
        // If an accepted target has left since, it is called for again at once: the refusal shows
        // that it won't lead.
        let left = snapshot.database(&self.target).is_none();
        now >= self.called_at.plus(PROMOTION_RETRY_MS) || (left && self.called_at > now)
    }

    fn record_call(&mut self, now: Tick) {
        self.in_flight = true;
        self.called_at = now;
    }

    /// Whether the target is to be asked if it leads.
    fn is_poll_due(&self, now: Tick) -> bool {
        self.may_have_run_at.is_some_and(|at| now.since(at) > PROMOTED_TARGET_POLL_MS)
            && now.since(self.polled_at) > PROMOTED_TARGET_POLL_MS
    }

    /// Asks the target whether it leads.
    pub(super) fn poll(&mut self, now: Tick) -> FailoverAction {
        self.polled_at = now;
        FailoverAction::SendRequest(self.target.clone(), DatabaseRequest::Describe)
    }

    /// Whether the target, which isn't running, can be given up. An earlier call may still take
    /// effect: choosing another target before that could make two primaries of one term, and the
    /// commits of one of them would be lost.
    fn can_be_abandoned(&self, snapshot: &ServiceSnapshot, now: Tick) -> bool {
        // One that has left for good won't lead any more, whatever is under way.
        let left = snapshot.database(&self.target).is_none();
        left || self.may_have_run_at.is_none_or(|at| now.since(at) > PROMOTION_EFFECT_MS)
    }
}

impl Failover {
    /// Finishes an intent that an earlier leader committed, with the same target: that leader's
    /// promotion may have taken effect.
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
        // It may have been paused before it was chosen, and has to be resumed in the end.
        self.replicas.assume_paused(target.clone());
        actions.push(self.promote(target, now));
        actions
    }

    /// Begins to promote the target of the committed intent.
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

    /// Takes the platform's answer to a promotion call.
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

    /// A database described itself: if it is the target and leads a newer term, the promotion has
    /// taken effect.
    pub(super) fn handle_target_response(
        &mut self,
        snapshot: &ServiceSnapshot,
        database: &InstanceId,
        description: &ServerDescription,
        now: Tick,
    ) -> Vec<FailoverAction> {
        let FailoverState::Promoting(promotion) = &self.state else { return Vec::new() };
        let newer =
            snapshot.primary_record.as_ref().is_some_and(|record| record.term < description.term);
        if promotion.target == *database && description.primary && newer {
            return self.await_lease_expiry(snapshot, database.clone(), description.term, now);
        }
        Vec::new()
    }

    /// The target leads a newer term than the recorded one. It is recorded once no lease on the old
    /// term can be in use. Until then a pooler could still use the old primary: reads there would
    /// miss commits of the new one, and without synchronous replicas writes there would be
    /// acknowledged and lost.
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

    /// Goes on from what is committed for this service: the state may wait for just that, and the
    /// moment of its commit may have passed while this leader wasn't certain of leading. None if
    /// the committed record changes nothing.
    pub(super) fn follow_record(
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
            // An intent of another leader, committed after this one began.
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
                self.replicas.forget(&record.primary);
                let actions = self.call_off(now);
                // The change was completed, so the next one needn't wait.
                self.cancelled_at = None;
                Some(actions)
            }
            FailoverState::Promoting(_)
            | FailoverState::AwaitingLeaseExpiry { .. }
            | FailoverState::DiscoveringFirstPrimary { .. } => None,
        }
    }

    /// Proposes the intent again if it wasn't seen committed in time; a repetition of the same
    /// command changes nothing.
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

    /// Repeats the promotion call and asks the target whether it leads.
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

    /// Records the new primary once no lease on the old term can be in use.
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
