//! Decides whether another attempt follows a failed one, or which response the client gets.
//!
//! Pure: forwarding reports how each attempt ended and carries out what follows. The promise kept
//! here: a request that isn't idempotent is never sent again once it may have been executed.
use crate::base::errors::Refusal;

/// Endpoints in a row that could not be reached before a request is given up.
const MAX_UNREACHED: u32 = 4;

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

/// What follows a failed attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NextStep {
    /// Send the request to another endpoint.
    Retry,
    /// Give the client the response of the endpoint.
    ForwardResponse,
    /// Give the client a response of the gateway's own.
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

/// What decides on a retry besides the attempts themselves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RetryConditions {
    /// Other attempts at the same request are still in flight.
    pub others_in_flight: bool,
    /// The deadline of the request has not passed.
    pub time_left: bool,
    /// The retry budget would pay for one more attempt.
    pub budget_left: bool,
}

/// The attempts at one request, as far as they decide on further ones.
#[derive(Clone, Debug)]
pub struct AttemptPolicy {
    idempotency: Idempotency,
    max_attempts: u32,
    /// Attempts of which some byte may have reached an endpoint.
    sent: u32,
    unreached: u32,
    may_have_executed: bool,
}

impl AttemptPolicy {
    /// The policy of a request that no endpoint has seen yet. At least one attempt is allowed.
    pub fn new(idempotency: Idempotency, max_attempts: u32) -> Self {
        Self {
            idempotency,
            max_attempts: max_attempts.max(1),
            sent: 0,
            unreached: 0,
            may_have_executed: false,
        }
    }

    fn is_idempotent(&self) -> bool {
        self.idempotency == Idempotency::Idempotent
    }

    /// Bytes of the request have left for an endpoint.
    pub fn record_sent(&mut self) {
        self.sent += 1;
    }

    /// Whether one more attempt would be a retry or a hedged request, which the retry budget pays
    /// for.
    pub(super) fn is_retry(&self) -> bool {
        self.sent > 0
    }

    /// Whether a hedged request may go to another endpoint while the first attempt is in flight.
    pub(super) fn may_hedge(&self) -> bool {
        self.is_idempotent() && self.sent < self.max_attempts
    }

    /// Forbids further attempts: a part of the body was forwarded and is not held any more.
    pub(super) fn forbid_retries(&mut self) {
        self.max_attempts = self.sent;
    }

    /// Whether some endpoint may have executed the request.
    pub(super) fn may_have_executed(&self) -> bool {
        self.may_have_executed
    }

    /// The request goes to the same endpoint once more, which may have executed it before its
    /// connection ended.
    pub(super) fn record_resent(&mut self) {
        self.may_have_executed = true;
    }

    /// Records how an attempt ended, and decides what follows.
    pub fn next_step(&mut self, outcome: AttemptOutcome, conditions: RetryConditions) -> NextStep {
        match outcome {
            AttemptOutcome::NotSent => self.unreached += 1,
            AttemptOutcome::NotExecuted => {}
            AttemptOutcome::MayHaveExecuted | AttemptOutcome::Failed => {
                self.may_have_executed = true;
            }
        }
        if self.may_retry(outcome, conditions) {
            return NextStep::Retry;
        }
        let may_execute = self.may_have_executed || conditions.others_in_flight;
        match outcome {
            // That it wasn't executed is true only if no other endpoint has the request.
            AttemptOutcome::NotExecuted if !may_execute => NextStep::ForwardResponse,
            AttemptOutcome::Failed => NextStep::ForwardResponse,
            _ if !may_execute => NextStep::Refuse(Refusal::Unavailable),
            _ if conditions.time_left => NextStep::Refuse(Refusal::BadGateway),
            _ => NextStep::Refuse(Refusal::GatewayTimeout),
        }
    }

    fn may_retry(&self, outcome: AttemptOutcome, conditions: RetryConditions) -> bool {
        let attempts_left = match outcome {
            AttemptOutcome::NotSent => self.unreached < MAX_UNREACHED,
            AttemptOutcome::NotExecuted => self.sent < self.max_attempts,
            AttemptOutcome::MayHaveExecuted | AttemptOutcome::Failed => {
                self.is_idempotent() && self.sent < self.max_attempts
            }
        };
        // As long as nothing was sent, the next attempt is the first and costs no budget.
        let paid =
            conditions.budget_left || (outcome == AttemptOutcome::NotSent && !self.is_retry());
        let safe = self.is_idempotent() || !self.may_have_executed;
        attempts_left && conditions.time_left && paid && safe
    }
}
