//! Access to endpoints for attempts: acquires an endpoint, connects to it, sends the request, and
//! releases the endpoint with the result of the attempt.
use crate::base::ids::InstanceId;
use crate::base::sync::lock;
use crate::base::time::Tick;
use crate::gateway::attempts::{AttemptOutcome, Idempotency};
use crate::gateway::endpoint_attempt::Attempt;
use crate::gateway::outlier_detection::OutlierDetector;
use crate::gateway::request_context::RequestContext;
use crate::gateway::request_sender::{RequestSender, SendError};
use crate::gateway::server::Gateway;
use crate::gateway::upstreams::{AcquiredEndpoint, EndpointConnection, ReusePolicy};
use crate::net::idle_connections::is_readable;
use crate::net::sockets::{Readiness, connect_stream_waiting};
use crate::net::statement_protocol::ReadBuffer;
use crate::node::client_watch::{CLIENT_CHECK_INTERVAL_MS, ClientLeft, WaitError};
use log::warn;
use rustix::event::{PollFd, PollFlags};
use std::io;
use std::net::{SocketAddr, TcpStream};
use std::sync::PoisonError;
use std::sync::atomic::Ordering;
use std::time::Duration;

/// The shortest timeout for connecting to an endpoint, in milliseconds, if the request's deadline
/// allows it. The timeout is longer while connecting takes long in general, because this node's
/// own link is congested.
const MIN_CONNECT_TIMEOUT_MS: u64 = 250;

/// The longest timeout for connecting to an endpoint, in milliseconds.
const MAX_CONNECT_TIMEOUT_MS: u64 = 1_000;

/// A connection fails if sent data stays unacknowledged by the endpoint's host for this long.
const UNACKNOWLEDGED_TIMEOUT: Duration = Duration::from_secs(2);

/// Up to this size, in bytes, the head and the body of a request are sent in one write.
const MAX_SINGLE_WRITE_BYTES: usize = 64 << 10;

/// The shortest time between two log lines about unusable responses, in milliseconds.
const UNUSABLE_RESPONSE_LOG_INTERVAL_MS: u64 = 1_000;

impl Gateway {
    /// Acquires an endpoint that is not in `excluded`, and waits until `deadline` for one whose
    /// queue has room; `None` if there was none. Fails if the client leaves meanwhile.
    pub(super) fn acquire_endpoint(
        &self,
        request: &RequestContext<'_>,
        excluded: &[InstanceId],
        deadline: Tick,
    ) -> Result<Option<AcquiredEndpoint>, ClientLeft> {
        let reuse = self.reuse_policy(request);
        let mut upstreams = lock(&self.upstreams);
        loop {
            let now = Tick::now();
            let acquired = upstreams.acquire(request.service, &self.zone, excluded, reuse, now);
            let left_ms = deadline.since(now);
            if acquired.is_some() || left_ms == 0 {
                return Ok(acquired);
            }
            let wait = Duration::from_millis(left_ms.min(CLIENT_CHECK_INTERVAL_MS));
            let waited = self.upstreams_changed.wait_timeout(upstreams, wait);
            upstreams = waited.unwrap_or_else(PoisonError::into_inner).0;
            if request.client.has_left() {
                drop(upstreams);
                // The notification of a release may have come to this waiter.
                self.upstreams_changed.notify_one();
                return Err(ClientLeft);
            }
        }
    }

    /// Which idle connections the request may reuse. One that the endpoint may have closed is reused
    /// only while the retry budget covers sending the request again.
    fn reuse_policy(&self, request: &RequestContext<'_>) -> ReusePolicy {
        match request.idempotency() {
            Idempotency::Idempotent if lock(&self.retry_budgets).allows_retry(request.service) => {
                ReusePolicy::AnyIdle
            }
            Idempotency::Idempotent | Idempotency::NonIdempotent => ReusePolicy::FreshOnly,
        }
    }

    /// Releases an endpoint after an attempt of `took_ms` milliseconds: `record` records the result
    /// in the outlier detector, and `connection` is kept for another request.
    pub(super) fn release_endpoint(
        &self,
        id: &InstanceId,
        took_ms: u64,
        record: impl FnOnce(&mut OutlierDetector),
        connection: Option<EndpointConnection>,
    ) {
        lock(&self.upstreams).release(id, took_ms, record, connection);
        self.upstreams_changed.notify_one();
    }

    /// Sends the request to an endpoint on an idle or a new connection. Releases the endpoint on
    /// failure.
    pub(super) fn start_attempt(
        &self,
        request: &RequestContext<'_>,
        endpoint: AcquiredEndpoint,
    ) -> Result<Attempt, SendError> {
        let AcquiredEndpoint { id, address, connection } = endpoint;
        // A readable idle connection was closed by the endpoint, or holds a surplus response. That
        // an idle connection was closed is no fault of the endpoint, so a new one is opened.
        let idle = connection.filter(|idle| !is_readable(&idle.stream));
        if let Some(connection) = idle {
            let sent_at = Tick::now();
            match send_request(request, &id, &connection.stream, sent_at) {
                Ok(()) => return Ok(Attempt::new(id, address, connection, true, sent_at)),
                // The connection was closed before any byte of the request was sent.
                Err(SendError::Endpoint(AttemptOutcome::NotSent)) => {}
                Err(SendError::ClientLeftBefore) => {
                    self.release_endpoint(&id, 0, |_| {}, Some(connection));
                    return Err(SendError::ClientLeftBefore);
                }
                Err(error) => return Err(self.fail_attempt(&id, error)),
            }
        }
        let connection = self.connect(&id, address, request)?;
        let sent_at = Tick::now();
        match send_request(request, &id, &connection.stream, sent_at) {
            Ok(()) => Ok(Attempt::new(id, address, connection, false, sent_at)),
            Err(error) => Err(self.fail_attempt(&id, error)),
        }
    }

    /// Opens a connection to an endpoint. Releases the endpoint on failure.
    fn connect(
        &self,
        id: &InstanceId,
        address: SocketAddr,
        request: &RequestContext<'_>,
    ) -> Result<EndpointConnection, SendError> {
        let started_at = Tick::now();
        let late_ms = lock(&self.upstreams).connect_latency.late_after_ms(MIN_CONNECT_TIMEOUT_MS);
        let longest_ms = late_ms.min(MAX_CONNECT_TIMEOUT_MS);
        let timeout_ms = request.deadline.since(started_at).clamp(1, longest_ms);
        if let Err(ClientLeft) = request.client.ensure_present() {
            return Err(self.fail_attempt(id, SendError::ClientLeftBefore));
        }
        let connected = connect_stream_waiting(address, UNACKNOWLEDGED_TIMEOUT, |stream| {
            let socket = PollFd::new(stream, PollFlags::OUT);
            let ready = request.client.wait(vec![socket], timeout_ms)?;
            Ok(if ready[0] { Readiness::Ready } else { Readiness::NotReady })
        });
        if let Err(WaitError::ClientLeft(ClientLeft)) = connected {
            return Err(self.fail_attempt(id, SendError::ClientLeftBefore));
        }
        // Recorded for failures too: a refused connection fails at once, and a slow one may be due
        // to this node's own link.
        lock(&self.upstreams).connect_latency.record(Tick::now().since(started_at));
        match connected {
            Ok(stream) => Ok(EndpointConnection {
                stream,
                buffer: ReadBuffer::default(),
                expires_at: Tick(0),
            }),
            Err(WaitError::Poll(e)) if e.kind() == io::ErrorKind::TimedOut => {
                self.release_endpoint(
                    id,
                    0,
                    |detector| detector.record_connect_timeout(Tick::now()),
                    None,
                );
                Err(SendError::Endpoint(AttemptOutcome::NotSent))
            }
            Err(_) => Err(self.fail_attempt(id, SendError::Endpoint(AttemptOutcome::NotSent))),
        }
    }

    /// Releases an endpoint after a request could not be sent, or not completely. That a client has
    /// left is no fault of the endpoint.
    fn fail_attempt(&self, id: &InstanceId, error: SendError) -> SendError {
        let now = Tick::now();
        let record = |detector: &mut OutlierDetector| {
            if matches!(error, SendError::Endpoint(_)) {
                detector.record_fault(now);
            }
        };
        self.release_endpoint(id, 0, record, None);
        error
    }

    /// Ends an attempt whose response is no longer needed, and closes its connection.
    pub(super) fn abandon_attempt(&self, attempt: Attempt, reason: AbandonReason) {
        let now = Tick::now();
        let record = |detector: &mut OutlierDetector| {
            if reason == AbandonReason::EndpointTooSlow {
                detector.record_fault(now);
            }
        };
        self.release_endpoint(&attempt.endpoint_id, now.since(attempt.sent_at), record, None);
    }

    /// Ends an attempt that ended without a successful response, and records `outcome`.
    pub(super) fn end_failed_attempt(&self, attempt: Attempt, outcome: AttemptOutcome) {
        let now = Tick::now();
        let reused = attempt.is_reused();
        let record = |detector: &mut OutlierDetector| match outcome {
            AttemptOutcome::NotExecuted => detector.record_overload(now),
            AttemptOutcome::Failed => detector.record_failed_response(now),
            // A healthy endpoint may close an idle connection too.
            AttemptOutcome::MayHaveExecuted if reused => {}
            AttemptOutcome::NotSent | AttemptOutcome::MayHaveExecuted => detector.record_fault(now),
        };
        let took_ms = now.since(attempt.sent_at);
        let id = attempt.endpoint_id.clone();
        self.release_endpoint(&id, took_ms, record, attempt.into_reusable_connection());
        if outcome == AttemptOutcome::MayHaveExecuted {
            self.log_unusable_response(now);
        }
    }

    fn log_unusable_response(&self, now: Tick) {
        let last_logged = Tick(self.unusable_response_logged_at.load(Ordering::Relaxed));
        if now.since(last_logged) >= UNUSABLE_RESPONSE_LOG_INTERVAL_MS {
            self.unusable_response_logged_at.store(now.0, Ordering::Relaxed);
            warn!(
                target: "gateway",
                "no usable response from an endpoint, which may have executed the request; logged \
                 at most once per {UNUSABLE_RESPONSE_LOG_INTERVAL_MS} ms"
            );
        }
    }
}

/// Why an attempt is abandoned.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum AbandonReason {
    /// The endpoint was too slow, which outlier detection counts as a fault.
    EndpointTooSlow,
    /// The response is no longer needed, through no fault of the endpoint.
    ResponseNotNeeded,
}

/// Sends the head and the buffered body of a request on a connection, unless the client has left.
fn send_request(
    request: &RequestContext<'_>,
    endpoint: &InstanceId,
    stream: &TcpStream,
    now: Tick,
) -> Result<(), SendError> {
    let mut head = request.encode_head(endpoint, now);
    let mut sender = RequestSender::new(stream, request.client);
    if head.len() + request.body.len() <= MAX_SINGLE_WRITE_BYTES {
        head.extend_from_slice(request.body);
        sender.send(&[&head])
    } else {
        sender.send(&[&head, request.body])
    }
}
