//! Forwards one request to endpoints until there is a response for the client: attempts one after
//! the other, and a hedged request beside an attempt that is late.
//!
//! Request handling calls [`Gateway::forward`]. Whether another attempt is allowed is decided by
//! the pure [`AttemptPolicy`]; here attempts are started, watched and ended. Each attempt is either
//! handed out with the result or releases its endpoint.
use crate::base::errors::Refusal;
use crate::base::ids::InstanceId;
use crate::base::sync::lock;
use crate::base::time::Tick;
use crate::gateway::attempts::{
    AttemptOutcome, AttemptPolicy, Idempotency, NextStep, RetryConditions,
};
use crate::gateway::client_connection::{ClientStream, ReceiveError};
use crate::gateway::endpoint_access::AbandonReason;
use crate::gateway::endpoint_attempt::{Attempt, AttemptProgress, wait_readable};
use crate::gateway::http1::BodyDecoder;
use crate::gateway::request_context::RequestContext;
use crate::gateway::server::{Gateway, increment};
use crate::gateway::upstreams::AcquiredEndpoint;
use std::io;
use std::ops::ControlFlow;

/// While a hedged request is due but not affordable, the budget is looked at this often, in
/// milliseconds.
const HEDGE_POLL_MS: u64 = 10;

/// The shortest time after which a refused client is asked to retry, in milliseconds.
const MIN_RETRY_AFTER_MS: u64 = 50;

/// The longest time after which a refused client is asked to retry, in milliseconds.
const MAX_RETRY_AFTER_MS: u64 = 1_000;

/// What the client of a forwarded request gets.
pub(super) enum ForwardResult {
    /// The response of an endpoint, as far as it was read.
    Response(Box<Attempt>),
    /// A response of the gateway's own.
    Refused {
        refusal: Refusal,
        /// When the client may come back, in milliseconds.
        retry_after_ms: u64,
    },
}

/// What forwarding does next.
enum Step {
    /// Start one more attempt.
    StartAttempt,
    /// Wait for the attempts in flight.
    AwaitResponses,
}

/// The next step, or the result that ends forwarding.
type Flow = ControlFlow<ForwardResult, Step>;

impl Gateway {
    /// Forwards a request and returns what the client gets. Fails only if the client's own
    /// connection does, or the attempts can't be watched.
    pub(super) fn forward(
        &self,
        request: &mut RequestContext<'_>,
        client: &mut ClientStream<'_>,
    ) -> io::Result<ForwardResult> {
        let policy = AttemptPolicy::new(request.idempotency(), request.route.max_attempts);
        let hedge_delay_ms = self.hedge_delay_ms(request);
        let forwarding = Forwarding {
            gateway: self,
            request,
            policy,
            tried: Vec::new(),
            attempts: Vec::new(),
            hedge_delay_ms,
            body_streamed: false,
        };
        forwarding.run(client)
    }

    /// After how many milliseconds without a response a hedged request is due.
    fn hedge_delay_ms(&self, request: &RequestContext<'_>) -> u64 {
        let target_latency_ms = request.route.target_latency_ms;
        let upstreams = lock(&self.upstreams);
        let service = upstreams.services.get(request.service);
        service.map_or(target_latency_ms / 2, |s| s.latency.hedge_delay_ms(target_latency_ms))
    }
}

/// A request that is being forwarded.
struct Forwarding<'f, 'r> {
    gateway: &'f Gateway,
    request: &'f mut RequestContext<'r>,
    policy: AttemptPolicy,
    /// Endpoints that got an attempt; each gets one.
    tried: Vec<InstanceId>,
    /// The attempts in flight.
    attempts: Vec<Attempt>,
    hedge_delay_ms: u64,
    /// A part of the body went to an endpoint and is not held here.
    body_streamed: bool,
}

impl Forwarding<'_, '_> {
    fn run(mut self, client: &mut ClientStream<'_>) -> io::Result<ForwardResult> {
        let mut step = Step::StartAttempt;
        loop {
            let flow = match step {
                Step::StartAttempt => self.start_next_attempt(client)?,
                Step::AwaitResponses => self.await_responses()?,
            };
            match flow {
                ControlFlow::Continue(next) => step = next,
                ControlFlow::Break(result) => return Ok(result),
            }
        }
    }

    fn start_next_attempt(&mut self, client: &mut ClientStream<'_>) -> io::Result<Flow> {
        let is_retry = self.policy.is_retry();
        let Some(endpoint) = self.acquire_next_endpoint(is_retry) else {
            return Ok(self.no_endpoint());
        };
        self.tried.push(endpoint.id.clone());
        if is_retry {
            increment(&self.gateway.counters.retries);
        }
        match self.gateway.start_attempt(self.request, endpoint) {
            Ok(attempt) => {
                self.policy.record_sent();
                self.stream_body(attempt, client)
            }
            Err(outcome) => {
                if outcome != AttemptOutcome::NotSent {
                    self.policy.record_sent();
                }
                let next = self.next_step(outcome);
                Ok(self.follow(next, outcome))
            }
        }
    }

    /// Only the first attempt waits for an endpoint with room; the budget pays for each other one,
    /// also where no endpoint is left for it.
    fn acquire_next_endpoint(&self, is_retry: bool) -> Option<AcquiredEndpoint> {
        let deadline = self.request.acquire_deadline();
        if is_retry && !lock(&self.gateway.retry_budget).try_spend(Tick::now()) {
            return None;
        }
        let deadline = if is_retry { Tick(0) } else { deadline };
        self.gateway.acquire_endpoint(self.request, &self.tried, deadline)
    }

    fn no_endpoint(&self) -> Flow {
        if !self.attempts.is_empty() {
            return Flow::Continue(Step::AwaitResponses);
        }
        let may_have_executed = self.policy.may_have_executed();
        self.refuse(if may_have_executed { Refusal::BadGateway } else { Refusal::Unavailable })
    }

    /// Sends the rest of a body that is too large to be held, if there is one, and counts the
    /// attempt as in flight.
    fn stream_body(
        &mut self,
        mut attempt: Attempt,
        client: &mut ClientStream<'_>,
    ) -> io::Result<Flow> {
        if let Some(mut remaining) = self.request.remaining_body.take() {
            self.body_streamed = true;
            self.policy.forbid_retries();
            match stream_remaining_body(self.request, &mut remaining, &mut attempt, client) {
                Ok(()) => {}
                Err(ReceiveError::Refused(refusal)) => {
                    // The end of the body is still unread on the client's connection.
                    self.request.remaining_body = Some(remaining);
                    // A refusal that is due to the client counts against the endpoint as well.
                    self.gateway.abandon_attempt(attempt, AbandonReason::EndpointLate);
                    let retry_after_ms = 0;
                    return Ok(Flow::Break(ForwardResult::Refused { refusal, retry_after_ms }));
                }
                Err(ReceiveError::Closed) => {
                    self.gateway.abandon_attempt(attempt, AbandonReason::NotNeeded);
                    return Err(io::ErrorKind::UnexpectedEof.into());
                }
                Err(ReceiveError::Connection(e)) => {
                    self.gateway.abandon_attempt(attempt, AbandonReason::NotNeeded);
                    return Err(e);
                }
            }
        }
        self.attempts.push(attempt);
        Ok(Flow::Continue(Step::AwaitResponses))
    }

    fn await_responses(&mut self) -> io::Result<Flow> {
        let now = Tick::now();
        if self.request.is_past_deadline(now) {
            for attempt in self.attempts.drain(..) {
                self.gateway.abandon_attempt(attempt, AbandonReason::EndpointLate);
            }
            return Ok(self.refuse(Refusal::GatewayTimeout));
        }
        let hedge_due = self.hedge_due();
        if hedge_due.is_some_and(|due| now >= due)
            && lock(&self.gateway.retry_budget).allows_retry(now)
        {
            return Ok(Flow::Continue(Step::StartAttempt));
        }
        let mut wait_ms = self.request.time_left_ms(now);
        if let Some(due) = hedge_due {
            wait_ms = wait_ms.min(due.since(now).max(HEDGE_POLL_MS));
        }
        let readable = wait_readable(&self.attempts, wait_ms)?;
        for index in (0..self.attempts.len()).rev().filter(|index| readable[*index]) {
            match self.attempts[index].read(self.request.head) {
                AttemptProgress::Pending => {}
                AttemptProgress::Ready => return Ok(self.finish(index)),
                AttemptProgress::Ended(outcome) => return Ok(self.attempt_ended(index, outcome)),
            }
        }
        Ok(Flow::Continue(Step::AwaitResponses))
    }

    /// When a hedged request is due; `None` if there may be none.
    fn hedge_due(&self) -> Option<Tick> {
        match self.attempts.as_slice() {
            [only] if self.policy.may_hedge() => Some(only.sent.plus(self.hedge_delay_ms)),
            _ => None,
        }
    }

    /// The first attempt with a response wins; the others are abandoned.
    fn finish(&mut self, winner: usize) -> Flow {
        let winner = self.attempts.swap_remove(winner);
        for attempt in self.attempts.drain(..) {
            // An endpoint is late if it was slower than another that got the request after it.
            let late = attempt.sent < winner.sent;
            let reason = if late { AbandonReason::EndpointLate } else { AbandonReason::NotNeeded };
            self.gateway.abandon_attempt(attempt, reason);
        }
        Flow::Break(ForwardResult::Response(Box::new(winner)))
    }

    fn attempt_ended(&mut self, index: usize, outcome: AttemptOutcome) -> Flow {
        let attempt = self.attempts.swap_remove(index);
        let idempotent = self.request.idempotency() == Idempotency::Idempotent;
        if idempotent && !self.body_streamed && attempt.met_stale_connection() {
            return self.resend(attempt);
        }
        let next = self.next_step(outcome);
        let forward = next == NextStep::ForwardResponse && self.attempts.is_empty();
        if forward && attempt.body.is_complete() {
            return Flow::Break(ForwardResult::Response(Box::new(attempt)));
        }
        self.gateway.end_failed_attempt(attempt, outcome);
        self.follow(next, outcome)
    }

    /// Sends the request to the same endpoint on a new connection: most likely the endpoint had
    /// closed the old one while it was idle.
    fn resend(&mut self, attempt: Attempt) -> Flow {
        self.policy.record_resent();
        match self.gateway.start_attempt(self.request, attempt.into_endpoint()) {
            Ok(attempt) => {
                self.attempts.push(attempt);
                Flow::Continue(Step::AwaitResponses)
            }
            Err(outcome) => {
                let next = self.next_step(outcome);
                self.follow(next, outcome)
            }
        }
    }

    /// What follows an attempt that has ended and is not in flight any more.
    fn next_step(&mut self, outcome: AttemptOutcome) -> NextStep {
        let now = Tick::now();
        let conditions = RetryConditions {
            others_in_flight: !self.attempts.is_empty(),
            time_left: !self.request.is_past_deadline(now),
            budget_left: lock(&self.gateway.retry_budget).allows_retry(now),
        };
        self.policy.next_step(outcome, conditions)
    }

    /// Carries out what follows an ended attempt whose response is not forwarded.
    fn follow(&self, next: NextStep, outcome: AttemptOutcome) -> Flow {
        match next {
            NextStep::Retry => Flow::Continue(Step::StartAttempt),
            _ if !self.attempts.is_empty() => Flow::Continue(Step::AwaitResponses),
            NextStep::Refuse(refusal) => self.refuse(refusal),
            // The endpoint's own response is too large to be held; these say the same.
            NextStep::ForwardResponse => self.refuse(match outcome {
                AttemptOutcome::NotExecuted => Refusal::Unavailable,
                _ => Refusal::BadGateway,
            }),
        }
    }

    fn refuse(&self, refusal: Refusal) -> Flow {
        let counters = &self.gateway.counters;
        match refusal {
            Refusal::Unavailable => increment(&counters.refused),
            Refusal::BadGateway | Refusal::GatewayTimeout => increment(&counters.lost),
            _ => {}
        }
        let quarter_ms = self.request.route.target_latency_ms / 4;
        let retry_after_ms = quarter_ms.clamp(MIN_RETRY_AFTER_MS, MAX_RETRY_AFTER_MS);
        Flow::Break(ForwardResult::Refused { refusal, retry_after_ms })
    }
}

/// Streams the rest of a body from the client to the endpoint as it comes.
fn stream_remaining_body(
    request: &RequestContext<'_>,
    body: &mut BodyDecoder,
    attempt: &mut Attempt,
    client: &mut ClientStream<'_>,
) -> Result<(), ReceiveError> {
    let lost = |_: io::Error| ReceiveError::Refused(Refusal::BadGateway);
    let framing = request.head.framing;
    let mut length = request.body.len() as u64;
    let mut data = Vec::new();
    while !body.is_complete() {
        data.clear();
        client.decode_body(body, &mut data)?;
        length += data.len() as u64;
        if length > client.max_body_bytes {
            return Err(ReceiveError::Refused(Refusal::TooLarge));
        }
        if !data.is_empty() {
            attempt.write_body(&data, framing).map_err(lost)?;
        }
        if !body.is_complete() {
            client.read_more(request.deadline)?;
        }
    }
    attempt.write_body_end(framing).map_err(lost)
}
