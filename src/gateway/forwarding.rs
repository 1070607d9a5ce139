//! Forwards one request to the endpoints of its service until there is a response for the client.
//! A failed attempt may be retried at another endpoint, and a slow one is hedged: the request is
//! also sent to a second endpoint, and the first response wins.
//!
//! Request handling calls [`Gateway::forward`]. [`AttemptPolicy`] decides whether another attempt
//! is allowed; this module starts the attempts, waits for their responses and ends them. Each
//! attempt is either returned with the result or has its endpoint released.
//!
//! When the client leaves, nothing more is sent, and attempts at an idempotent request are abandoned
//! at once. One that isn't idempotent runs to its end once it was sent.
use crate::base::errors::Refusal;
use crate::base::ids::InstanceId;
use crate::base::sync::lock;
use crate::base::time::Tick;
use crate::gateway::attempts::{
    AttemptOutcome, AttemptPolicy, Idempotency, NextStep, RetryConditions,
};
use crate::gateway::client_connection::{ClientStream, ReceiveError};
use crate::gateway::endpoint_access::AbandonReason;
use crate::gateway::endpoint_attempt::{Attempt, AttemptProgress, readable_sockets};
use crate::gateway::http1::BodyDecoder;
use crate::gateway::request_context::RequestContext;
use crate::gateway::request_sender::SendError;
use crate::gateway::reservation::{Reservation, ReservationError};
use crate::gateway::server::{Gateway, increment};
use crate::gateway::upstreams::AcquiredEndpoint;
use crate::node::client_watch::{ClientLeft, WaitError, wait_ready};
use std::ops::ControlFlow;

/// How often the retry budget is checked while a hedged request is due but the budget is spent, in
/// milliseconds.
const HEDGE_POLL_INTERVAL_MS: u64 = 10;

/// The shortest `Retry-After` that a refused client is given, in milliseconds.
const MIN_RETRY_AFTER_MS: u64 = 50;

/// The longest `Retry-After` that a refused client is given, in milliseconds.
const MAX_RETRY_AFTER_MS: u64 = 1_000;

/// The result of forwarding a request: what is sent to the client.
pub(super) enum ForwardResult {
    /// The response of an endpoint, of which the end may not have been read yet.
    Response(Box<Attempt>),
    /// A response that the gateway generates itself.
    Refused {
        refusal: Refusal,
        /// After how many milliseconds the client may retry.
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
    /// Forwards a request and returns the result for the client. Fails only if the client leaves or
    /// its connection fails, or if the connections to the endpoints can't be polled.
    pub(super) fn forward(
        &self,
        request: &mut RequestContext<'_>,
        client: &mut ClientStream<'_>,
    ) -> Result<ForwardResult, ReceiveError> {
        let policy = AttemptPolicy::new(request.idempotency(), request.route.max_attempts);
        let hedge_delay_ms = self.hedge_delay_ms(request);
        let forwarding = Forwarding {
            gateway: self,
            request,
            policy,
            tried_endpoints: Vec::new(),
            attempts: Vec::new(),
            hedge_delay_ms,
            body_streamed: false,
        };
        forwarding.run(client)
    }

    /// The time without a response after which a hedged request is due, in milliseconds.
    fn hedge_delay_ms(&self, request: &RequestContext<'_>) -> u64 {
        let target_latency_ms = request.route.target_latency_ms;
        let upstreams = lock(&self.upstreams);
        let service = upstreams.services.get(request.service);
        service.map_or(target_latency_ms / 2, |service| {
            service.latency.hedge_delay_ms(target_latency_ms)
        })
    }
}

/// A request that is being forwarded.
struct Forwarding<'f, 'r> {
    gateway: &'f Gateway,
    request: &'f mut RequestContext<'r>,
    policy: AttemptPolicy,
    /// Endpoints to which the request was sent; no other attempt goes to them.
    tried_endpoints: Vec<InstanceId>,
    /// The attempts in flight.
    attempts: Vec<Attempt>,
    hedge_delay_ms: u64,
    /// Part of the body was sent to an endpoint without being buffered, so the request can't be
    /// sent again.
    body_streamed: bool,
}

impl Forwarding<'_, '_> {
    fn run(mut self, client: &mut ClientStream<'_>) -> Result<ForwardResult, ReceiveError> {
        let result = self.run_steps(client);
        if result.is_err() {
            self.abandon_attempts(AbandonReason::ResponseNotNeeded);
        }
        result
    }

    fn run_steps(&mut self, client: &mut ClientStream<'_>) -> Result<ForwardResult, ReceiveError> {
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

    fn abandon_attempts(&mut self, reason: AbandonReason) {
        for attempt in self.attempts.drain(..) {
            self.gateway.abandon_attempt(attempt, reason);
        }
    }

    fn start_next_attempt(&mut self, client: &mut ClientStream<'_>) -> Result<Flow, ReceiveError> {
        let reserved = if self.policy.is_retry() {
            self.gateway.reserve_retry(self.request)
        } else {
            self.gateway.reserve_first_attempt(self.request)
        };
        let reservation = match reserved {
            Ok(reservation) => reservation,
            Err(ReservationError::TenantAtLimit { retry_after_ms }) if !self.policy.is_retry() => {
                return Ok(self.refuse_at_limit(retry_after_ms));
            }
            Err(ReservationError::TenantAtLimit { .. } | ReservationError::NoRetryBudget) => {
                return Ok(self.handle_no_endpoint());
            }
            Err(ReservationError::ClientLeft(client_left)) => return Err(client_left.into()),
        };
        let endpoint = match self.acquire_next_endpoint() {
            Ok(Some(endpoint)) => endpoint,
            Ok(None) => return Ok(self.handle_no_endpoint()),
            Err(client_left) => {
                self.gateway.give_back(self.request, reservation);
                return Err(client_left.into());
            }
        };
        self.tried_endpoints.push(endpoint.id.clone());
        match self.send_to(endpoint, reservation)? {
            Ok(attempt) => {
                self.record_sent();
                self.stream_body(attempt, client)
            }
            Err(outcome) => {
                if outcome != AttemptOutcome::NotSent {
                    self.record_sent();
                }
                let next = self.next_step(outcome);
                Ok(self.apply_next_step(next, outcome))
            }
        }
    }

    /// Sends the request to an endpoint. Returns the attempt, or its outcome if the endpoint did
    /// not accept it. Fails if the client has left, and then gives back what was reserved and not
    /// used.
    fn send_to(
        &self,
        endpoint: AcquiredEndpoint,
        reservation: Reservation,
    ) -> Result<Result<Attempt, AttemptOutcome>, ClientLeft> {
        let is_retry = reservation.is_retry();
        let sent = match self.gateway.start_attempt(self.request, endpoint) {
            Ok(attempt) => Ok(attempt),
            Err(SendError::Endpoint(outcome)) => Err(outcome),
            Err(SendError::ClientLeftBefore) => {
                self.gateway.give_back(self.request, reservation);
                return Err(ClientLeft);
            }
            Err(SendError::ClientLeftWithin) => return Err(ClientLeft),
        };
        if is_retry {
            increment(&self.gateway.counters.retries);
        }
        Ok(sent)
    }

    /// Acquires an endpoint for the next attempt. The first attempt waits for an endpoint whose
    /// queue has room; a retry doesn't wait.
    fn acquire_next_endpoint(&self) -> Result<Option<AcquiredEndpoint>, ClientLeft> {
        let is_retry = self.policy.is_retry();
        let deadline = if is_retry { Tick(0) } else { self.request.acquire_deadline() };
        self.gateway.acquire_endpoint(self.request, &self.tried_endpoints, deadline)
    }

    fn refuse_at_limit(&self, retry_after_ms: u64) -> Flow {
        increment(&self.gateway.counters.over_limit);
        let refusal = Refusal::TooManyRequests;
        Flow::Break(ForwardResult::Refused { refusal, retry_after_ms })
    }

    /// Records that bytes of the request may have reached an endpoint. A request earns retry budget
    /// once, for its first attempt.
    fn record_sent(&mut self) {
        if !self.policy.is_retry() {
            lock(&self.gateway.retry_budgets).record_request(self.request.service);
        }
        self.policy.record_sent();
    }

    fn budget_allows_retry(&self) -> bool {
        lock(&self.gateway.retry_budgets).allows_retry(self.request.service)
    }

    fn handle_no_endpoint(&self) -> Flow {
        if !self.attempts.is_empty() {
            return Flow::Continue(Step::AwaitResponses);
        }
        let may_have_executed = self.policy.may_have_executed();
        self.refuse(if may_have_executed { Refusal::BadGateway } else { Refusal::Unavailable })
    }

    /// Streams the rest of a body that is too large to be buffered, if there is one, and counts the
    /// attempt as in flight.
    fn stream_body(
        &mut self,
        attempt: Attempt,
        client: &mut ClientStream<'_>,
    ) -> Result<Flow, ReceiveError> {
        if let Some(mut remaining) = self.request.remaining_body.take() {
            self.body_streamed = true;
            self.policy.forbid_retries();
            match stream_remaining_body(self.request, &mut remaining, &attempt, client) {
                Ok(()) => {}
                Err(ReceiveError::Refused(refusal)) => {
                    // The rest of the body is still unread on the client's connection, which
                    // therefore can't be reused.
                    self.request.remaining_body = Some(remaining);
                    let reason = match refusal {
                        Refusal::BadGateway => AbandonReason::EndpointTooSlow,
                        _ => AbandonReason::ResponseNotNeeded,
                    };
                    self.gateway.abandon_attempt(attempt, reason);
                    let retry_after_ms = 0;
                    return Ok(Flow::Break(ForwardResult::Refused { refusal, retry_after_ms }));
                }
                Err(error @ (ReceiveError::Closed | ReceiveError::Connection(_))) => {
                    self.gateway.abandon_attempt(attempt, AbandonReason::ResponseNotNeeded);
                    return Err(error);
                }
            }
        }
        self.attempts.push(attempt);
        Ok(Flow::Continue(Step::AwaitResponses))
    }

    fn await_responses(&mut self) -> Result<Flow, ReceiveError> {
        let now = Tick::now();
        if self.request.is_past_deadline(now) {
            self.abandon_attempts(AbandonReason::EndpointTooSlow);
            return Ok(self.refuse(Refusal::GatewayTimeout));
        }
        let hedge_due = self.hedge_due();
        if hedge_due.is_some_and(|due| now >= due) && self.budget_allows_retry() {
            return Ok(Flow::Continue(Step::StartAttempt));
        }
        let mut wait_ms = self.request.time_left_ms(now);
        if let Some(due) = hedge_due {
            wait_ms = wait_ms.min(due.since(now).max(HEDGE_POLL_INTERVAL_MS));
        }
        let readable = self.wait_readable(wait_ms)?;
        for index in (0..self.attempts.len()).rev().filter(|index| readable[*index]) {
            match self.attempts[index].read(self.request.head) {
                AttemptProgress::Pending => {}
                AttemptProgress::Ready => return Ok(self.finish_with(index)),
                AttemptProgress::Ended(outcome) => return Ok(self.end_attempt(index, outcome)?),
            }
        }
        Ok(Flow::Continue(Step::AwaitResponses))
    }

    /// Waits until the connection of one of the attempts is readable. Returns for each attempt
    /// whether its connection is. Fails if the client leaves, unless the request is not idempotent:
    /// endpoints then finish the work that they have begun.
    fn wait_readable(&self, wait_ms: u64) -> Result<Vec<bool>, WaitError> {
        let sockets = readable_sockets(&self.attempts);
        match self.request.idempotency() {
            Idempotency::Idempotent => self.request.client.wait(sockets, wait_ms),
            Idempotency::NonIdempotent => Ok(wait_ready(sockets, wait_ms)?),
        }
    }

    /// When a hedged request is due; `None` if none is allowed.
    fn hedge_due(&self) -> Option<Tick> {
        match self.attempts.as_slice() {
            [attempt] if self.policy.may_hedge() => Some(attempt.sent_at.plus(self.hedge_delay_ms)),
            _ => None,
        }
    }

    /// Returns the response of the first attempt that has one, and abandons the others.
    fn finish_with(&mut self, winner: usize) -> Flow {
        let winner = self.attempts.swap_remove(winner);
        for attempt in self.attempts.drain(..) {
            // An endpoint is too slow if one that got the request later responded earlier.
            let is_late = attempt.sent_at < winner.sent_at;
            let reason = if is_late {
                AbandonReason::EndpointTooSlow
            } else {
                AbandonReason::ResponseNotNeeded
            };
            self.gateway.abandon_attempt(attempt, reason);
        }
        Flow::Break(ForwardResult::Response(Box::new(winner)))
    }

    fn end_attempt(&mut self, index: usize, outcome: AttemptOutcome) -> Result<Flow, ClientLeft> {
        let attempt = self.attempts.swap_remove(index);
        let idempotent = self.request.idempotency() == Idempotency::Idempotent;
        let may_resend = idempotent && !self.body_streamed && attempt.used_stale_connection();
        if may_resend {
            match self.gateway.reserve_retry(self.request) {
                Ok(reservation) => return self.resend_on_new_connection(attempt, reservation),
                Err(ReservationError::ClientLeft(client_left)) => {
                    self.gateway.abandon_attempt(attempt, AbandonReason::ResponseNotNeeded);
                    return Err(client_left);
                }
                Err(ReservationError::TenantAtLimit { .. } | ReservationError::NoRetryBudget) => {}
            }
        }
        let next = self.next_step(outcome);
        let forward = next == NextStep::ForwardResponse && self.attempts.is_empty();
        if forward && attempt.body.is_complete() {
            return Ok(Flow::Break(ForwardResult::Response(Box::new(attempt))));
        }
        self.gateway.end_failed_attempt(attempt, outcome);
        Ok(self.apply_next_step(next, outcome))
    }

    /// Sends the request to the same endpoint on a new connection, because the endpoint has most
    /// likely closed the reused one while it was idle.
    fn resend_on_new_connection(
        &mut self,
        attempt: Attempt,
        reservation: Reservation,
    ) -> Result<Flow, ClientLeft> {
        self.policy.record_resent();
        match self.send_to(attempt.into_endpoint(), reservation)? {
            Ok(attempt) => {
                self.attempts.push(attempt);
                Ok(Flow::Continue(Step::AwaitResponses))
            }
            Err(outcome) => {
                let next = self.next_step(outcome);
                Ok(self.apply_next_step(next, outcome))
            }
        }
    }

    /// Decides what follows an attempt that has ended and is no longer in flight.
    fn next_step(&mut self, outcome: AttemptOutcome) -> NextStep {
        let now = Tick::now();
        let conditions = RetryConditions {
            others_in_flight: !self.attempts.is_empty(),
            time_left: !self.request.is_past_deadline(now),
            budget_left: self.budget_allows_retry(),
        };
        self.policy.next_step(outcome, conditions)
    }

    /// Carries out the next step after an attempt whose response is not forwarded.
    fn apply_next_step(&self, next: NextStep, outcome: AttemptOutcome) -> Flow {
        match next {
            NextStep::Retry => Flow::Continue(Step::StartAttempt),
            _ if !self.attempts.is_empty() => Flow::Continue(Step::AwaitResponses),
            NextStep::Refuse(refusal) => self.refuse(refusal),
            // The endpoint's response is too large to be buffered; the client gets the refusal
            // with the same meaning.
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

/// Streams the rest of a request body from the client to the endpoint while it arrives.
fn stream_remaining_body(
    request: &RequestContext<'_>,
    body: &mut BodyDecoder,
    attempt: &Attempt,
    client: &mut ClientStream<'_>,
) -> Result<(), ReceiveError> {
    let send_failed = |error: SendError| match error {
        SendError::Endpoint(_) => ReceiveError::Refused(Refusal::BadGateway),
        SendError::ClientLeftBefore | SendError::ClientLeftWithin => ReceiveError::Closed,
    };
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
            attempt.write_body(request.client, &data, framing).map_err(send_failed)?;
        }
        if !body.is_complete() {
            client.read_more(request.deadline)?;
        }
    }
    attempt.write_body_end(request.client, framing).map_err(send_failed)
}
