//! How attempts get to an endpoint: acquiring one, connecting, sending the request, and releasing
//! the endpoint with what was seen of it.
use crate::base::ids::InstanceId;
use crate::base::sync::lock;
use crate::base::time::Tick;
use crate::gateway::attempts::AttemptOutcome;
use crate::gateway::endpoint_attempt::{Attempt, write_request};
use crate::gateway::outlier_detection::OutlierDetector;
use crate::gateway::request_context::RequestContext;
use crate::gateway::server::Gateway;
use crate::gateway::upstreams::{AcquiredEndpoint, EndpointConnection};
use crate::net::idle_connections::is_readable;
use crate::net::sockets::connect_stream;
use crate::net::statement_protocol::ReadBuffer;
use log::warn;
use std::io;
use std::net::SocketAddr;
use std::sync::PoisonError;
use std::sync::atomic::Ordering;
use std::time::Duration;

/// An endpoint is reached within this many milliseconds, or counts as unreachable; longer where
/// connecting takes long because this node's own link is congested.
const CONNECT_TIMEOUT_MS: u64 = 250;

/// The longest wait for a connection, in milliseconds.
const MAX_CONNECT_TIMEOUT_MS: u64 = 1_000;

/// A connection fails if the endpoint's machine acknowledges no data for this long.
const UNACKNOWLEDGED_TIMEOUT: Duration = Duration::from_secs(2);

/// An endpoint has to accept more of a request within this.
const WRITE_TIMEOUT: Duration = Duration::from_secs(2);

/// Up to this size, in bytes, head and body are copied together and sent at once.
const MAX_JOINED_REQUEST: usize = 64 << 10;

/// The least time between two log lines on unusable responses, in milliseconds.
const FAULT_LOG_INTERVAL_MS: u64 = 1_000;

impl Gateway {
    /// Acquires an endpoint that is not among `excluded`, waiting until `deadline` for one with
    /// room.
    pub(super) fn acquire_endpoint(
        &self,
        request: &RequestContext<'_>,
        excluded: &[InstanceId],
        deadline: Tick,
    ) -> Option<AcquiredEndpoint> {
        let reuse = request.reuse_policy();
        let mut upstreams = lock(&self.upstreams);
        loop {
            let now = Tick::now();
            let acquired = upstreams.acquire(request.service, &self.zone, excluded, reuse, now);
            if acquired.is_some() {
                return acquired;
            }
            let left_ms = deadline.since(now);
            if left_ms == 0 {
                return None;
            }
            let wait =
                self.upstreams_changed.wait_timeout(upstreams, Duration::from_millis(left_ms));
            upstreams = wait.unwrap_or_else(PoisonError::into_inner).0;
        }
    }

    /// Ends an attempt of `took_ms` milliseconds: records what was seen of the endpoint, and keeps
    /// its connection for another request if there is one to keep.
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

    /// Sends the request to an endpoint. On failure the endpoint was released.
    pub(super) fn start_attempt(
        &self,
        request: &RequestContext<'_>,
        endpoint: AcquiredEndpoint,
    ) -> Result<Attempt, AttemptOutcome> {
        let AcquiredEndpoint { id, address, connection } = endpoint;
        // That an idle connection was closed meanwhile says nothing about the endpoint.
        let idle = connection.filter(|idle| !is_readable(&idle.stream));
        if let Some(mut connection) = idle {
            let sent = Tick::now();
            match send_request(request, &id, &mut connection, sent) {
                Ok(()) => return Ok(Attempt::new(id, address, connection, true, sent)),
                // Closed just now, and nothing of the request has left.
                Err(AttemptOutcome::NotSent) => {}
                Err(outcome) => return Err(self.fail_attempt(&id, outcome)),
            }
        }
        let mut connection = self.connect(&id, address, request.deadline)?;
        let sent = Tick::now();
        match send_request(request, &id, &mut connection, sent) {
            Ok(()) => Ok(Attempt::new(id, address, connection, false, sent)),
            Err(outcome) => Err(self.fail_attempt(&id, outcome)),
        }
    }

    /// Opens a connection to an endpoint. On failure the endpoint was released.
    fn connect(
        &self,
        id: &InstanceId,
        address: SocketAddr,
        deadline: Tick,
    ) -> Result<EndpointConnection, AttemptOutcome> {
        let began = Tick::now();
        let late_ms = lock(&self.upstreams).connect_latency.late_after_ms(CONNECT_TIMEOUT_MS);
        let timeout_ms = deadline.since(began).clamp(1, late_ms.min(MAX_CONNECT_TIMEOUT_MS));
        let connected =
            connect_stream(address, Duration::from_millis(timeout_ms), UNACKNOWLEDGED_TIMEOUT);
        // A refusal is quick; whatever takes long may be due to this node's own link.
        lock(&self.upstreams).connect_latency.record(Tick::now().since(began));
        match connected {
            Ok(stream) => Ok(EndpointConnection {
                stream,
                buffer: ReadBuffer::default(),
                expires_at: Tick(0),
            }),
            Err(e) if e.kind() == io::ErrorKind::TimedOut => {
                self.release_endpoint(id, 0, |o| o.record_connect_timeout(Tick::now()), None);
                Err(AttemptOutcome::NotSent)
            }
            Err(_) => Err(self.fail_attempt(id, AttemptOutcome::NotSent)),
        }
    }

    /// Releases an endpoint to which a request could not be sent.
    fn fail_attempt(&self, id: &InstanceId, outcome: AttemptOutcome) -> AttemptOutcome {
        let now = Tick::now();
        self.release_endpoint(id, 0, |o| o.record_fault(now), None);
        outcome
    }

    /// Ends an attempt whose response is not needed any more; its connection is closed.
    pub(super) fn abandon_attempt(&self, attempt: Attempt, reason: AbandonReason) {
        let now = Tick::now();
        let record = |outlier: &mut OutlierDetector| {
            if reason == AbandonReason::EndpointLate {
                outlier.record_fault(now);
            }
        };
        self.release_endpoint(&attempt.endpoint_id, now.since(attempt.sent_at), record, None);
    }

    /// Ends an attempt that has failed.
    pub(super) fn end_failed_attempt(&self, attempt: Attempt, outcome: AttemptOutcome) {
        let now = Tick::now();
        let reused = attempt.is_reused();
        let record = |outlier: &mut OutlierDetector| match outcome {
            AttemptOutcome::NotExecuted => outlier.record_overload(now),
            AttemptOutcome::Failed => outlier.record_failed_response(now),
            // Also a healthy endpoint may close an idle connection.
            AttemptOutcome::MayHaveExecuted if reused => {}
            AttemptOutcome::NotSent | AttemptOutcome::MayHaveExecuted => outlier.record_fault(now),
        };
        let took_ms = now.since(attempt.sent_at);
        let id = attempt.endpoint_id.clone();
        self.release_endpoint(&id, took_ms, record, attempt.into_reusable_connection());
        if outcome == AttemptOutcome::MayHaveExecuted {
            self.log_unusable_response(now);
        }
    }

    fn log_unusable_response(&self, now: Tick) {
        let last = Tick(self.unusable_response_logged.load(Ordering::Relaxed));
        if now.since(last) >= FAULT_LOG_INTERVAL_MS {
            self.unusable_response_logged.store(now.0, Ordering::Relaxed);
            warn!(target: "gateway", "no usable response came from a database");
        }
    }
}

/// Why an attempt is abandoned.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum AbandonReason {
    /// The endpoint was too slow, which counts against it.
    EndpointLate,
    /// The response is not needed any more; the endpoint is not at fault.
    NotNeeded,
}

/// Sends head and held body on a connection.
fn send_request(
    request: &RequestContext<'_>,
    endpoint: &InstanceId,
    connection: &mut EndpointConnection,
    now: Tick,
) -> Result<(), AttemptOutcome> {
    let mut head = request.encode_head(endpoint, now);
    let stream = &mut connection.stream;
    stream.set_write_timeout(Some(WRITE_TIMEOUT)).map_err(|_| AttemptOutcome::NotSent)?;
    if head.len() + request.body.len() <= MAX_JOINED_REQUEST {
        head.extend_from_slice(request.body);
        write_request(stream, &[&head])
    } else {
        write_request(stream, &[&head, request.body])
    }
}
