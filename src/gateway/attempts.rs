//! The retry policy of one request: decides whether another attempt follows a failed one, or which
//! response the client gets.
//!
//! Pure logic without I/O or a clock: forwarding reports how each attempt ended and carries out the
//! next step. Invariant: a request that isn't idempotent is never sent again once it may have been
//! executed.
use crate::base::errors::Refusal;

/// After this many attempts that could not be sent, the request is refused.
const MAX_UNSENT_ATTEMPTS: u32 = 4;

/// How an attempt to have one endpoint execute a request ended without a successful response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// No byte of the request can have reached the endpoint.
    NotSent,
    /// The endpoint says that it did not execute the request.
    NotExecuted,
    /// The endpoint may have executed the request; no usable response came.
    MayHaveExecuted,
    /// The endpoint executed the request and responded with an error.
    Failed,
}

/// What follows a failed attempt, as the policy decides it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NextStep {
    /// Send the request to another endpoint.
    Retry,
    /// Forward the endpoint's response to the client.
    ForwardResponse,
    /// Refuse the request with a response that the gateway generates itself.
    Refuse(Refusal),
}

/// Whether a request may be executed more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Idempotency {
    /// Executing it twice does no harm.
    Idempotent,
    /// It must not be executed a second time.
    NonIdempotent,
}

/// What a retry depends on besides the attempts so far.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RetryConditions {
    /// Other attempts at the same request are still in flight.
    pub others_in_flight: bool,
    /// The deadline of the request has not passed.
    pub time_left: bool,
    /// The retry budget allows one more attempt.
    pub budget_left: bool,
}

/// Decides on the attempts at one request, based on those that were made so far.
#[derive(Clone, Debug)]
pub struct AttemptPolicy {
    idempotency: Idempotency,
    max_attempts: u32,
    /// The attempts of which a byte may have reached an endpoint.
    sent_attempts: u32,
    /// The attempts that could not be sent.
    unsent_attempts: u32,
    may_have_executed: bool,
}

impl AttemptPolicy {
    /// Creates the policy of a request that was not sent yet. At least one attempt is allowed.
    pub fn new(idempotency: Idempotency, max_attempts: u32) -> Self {
        Self {
            idempotency,
            max_attempts: max_attempts.max(1),
            sent_attempts: 0,
            unsent_attempts: 0,
            may_have_executed: false,
        }
    }

    fn is_idempotent(&self) -> bool {
        self.idempotency == Idempotency::Idempotent
    }

    /// Records that bytes of the request may have reached an endpoint.
    pub fn record_sent(&mut self) {
        self.sent_attempts += 1;
    }

    /// Whether one more attempt would be a retry or a hedged request, which spends retry budget.
    pub(super) fn is_retry(&self) -> bool {
        self.sent_attempts > 0
    }

    /// Whether a hedged request may be sent to another endpoint while the first attempt is in
    /// flight.
    pub(super) fn may_hedge(&self) -> bool {
        self.is_idempotent() && self.sent_attempts < self.max_attempts
    }

    /// Forbids further attempts, because part of the body was sent without being buffered.
    pub(super) fn forbid_retries(&mut self) {
        self.max_attempts = self.sent_attempts;
    }

    /// Whether any endpoint may have executed the request.
    pub(super) fn may_have_executed(&self) -> bool {
        self.may_have_executed
    }

    /// Records that the request is sent to the same endpoint again, which may already have executed
    /// it before the reused connection was closed.
    pub(super) fn record_resent(&mut self) {
        self.may_have_executed = true;
    }

    /// Records how an attempt ended, and decides what follows.
    pub fn next_step(&mut self, outcome: AttemptOutcome, conditions: RetryConditions) -> NextStep {
        match outcome {
            AttemptOutcome::NotSent => self.unsent_attempts += 1,
            AttemptOutcome::NotExecuted => {}
            AttemptOutcome::MayHaveExecuted | AttemptOutcome::Failed => {
                self.may_have_executed = true;
            }
        }
        if self.may_retry(outcome, conditions) {
            return NextStep::Retry;
        }
        let execution_possible = self.may_have_executed || conditions.others_in_flight;
        match outcome {
            // Forwarding "not executed" is correct only if no other endpoint may execute the
            // request.
            AttemptOutcome::NotExecuted if !execution_possible => NextStep::ForwardResponse,
            AttemptOutcome::Failed => NextStep::ForwardResponse,
            _ if !execution_possible => NextStep::Refuse(Refusal::Unavailable),
            _ if conditions.time_left => NextStep::Refuse(Refusal::BadGateway),
            _ => NextStep::Refuse(Refusal::GatewayTimeout),
        }
    }

    fn may_retry(&self, outcome: AttemptOutcome, conditions: RetryConditions) -> bool {
        let attempts_left = match outcome {
            AttemptOutcome::NotSent => self.unsent_attempts < MAX_UNSENT_ATTEMPTS,
            AttemptOutcome::NotExecuted => self.sent_attempts < self.max_attempts,
            AttemptOutcome::MayHaveExecuted | AttemptOutcome::Failed => {
                self.is_idempotent() && self.sent_attempts < self.max_attempts
            }
        };
        // While nothing was sent, the next attempt counts as the first and spends no budget.
        let within_budget =
            conditions.budget_left || (outcome == AttemptOutcome::NotSent && !self.is_retry());
        let safe_to_retry = self.is_idempotent() || !self.may_have_executed;
        attempts_left && conditions.time_left && within_budget && safe_to_retry
    }
}
