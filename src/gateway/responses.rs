//! Responses to clients: the relayed response of an endpoint, or a refusal that the gateway
//! generates itself.
use crate::base::errors::Refusal;
use crate::base::sync::lock;
use crate::base::time::Tick;
use crate::gateway::client_connection::{ClientStream, ReceiveError};
use crate::gateway::endpoint_access::AbandonReason;
use crate::gateway::endpoint_attempt::{Attempt, LAST_CHUNK};
use crate::gateway::http1::{BodyFraming, RequestHead, ResponseHead, append_header, encode_chunk};
use crate::gateway::outlier_detection::OutlierDetector;
use crate::gateway::request_context::RequestContext;
use crate::gateway::request_handling::DEFAULT_DEADLINE_MS;
use crate::gateway::server::Gateway;
use crate::node::client_watch::WaitError;
use std::io;

/// How often the deadline of a relayed response is checked while no data arrives, in milliseconds.
const RELAY_POLL_INTERVAL_MS: u64 = 1_000;

/// The `Keep-Alive` timeout that clients get is this many seconds shorter than the idle timeout,
/// so that no client sends a request while its connection is closed.
const KEEP_ALIVE_MARGIN_S: u64 = 2;

/// What happens to a client connection after a response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum AfterResponse {
    /// It stays open for the next request.
    KeepOpen,
    /// It is closed.
    Close,
}

impl AfterResponse {
    /// `Close` if the condition holds, otherwise `KeepOpen`.
    pub(super) fn close_if(close: bool) -> Self {
        if close { Self::Close } else { Self::KeepOpen }
    }

    /// `Close` if the condition holds, otherwise as before.
    pub(super) fn or_close_if(self, close: bool) -> Self {
        Self::close_if(close || self == Self::Close)
    }
}

/// How the body of a relayed response is framed for the client.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum RelayFraming {
    /// There is no body.
    None,
    Length(u64),
    Chunked,
    /// The body ends when the connection is closed.
    UntilClose,
}

impl RelayFraming {
    fn of(request: &RequestHead, response: &ResponseHead, attempt: &Attempt) -> Self {
        if request.method == "HEAD" || response.status == 204 || response.status == 304 {
            return Self::None;
        }
        match response.framing {
            BodyFraming::Length(length) => Self::Length(length),
            _ if attempt.body.is_complete() => Self::Length(attempt.buffered_body.len() as u64),
            _ if request.accepts_chunked => Self::Chunked,
            _ => Self::UntilClose,
        }
    }
}

/// Why a response could not be relayed to its end.
#[derive(Debug, thiserror::Error)]
enum RelayError {
    /// The client's connection failed.
    #[error("writing to the client failed: {0}")]
    Client(io::Error),
    /// The endpoint's response ended early, is invalid, or took too long.
    #[error("the endpoint's response ended early, is invalid or took too long")]
    Endpoint,
    /// The client left, or the endpoint's connection can't be polled.
    #[error(transparent)]
    Wait(#[from] WaitError),
}

impl Gateway {
    /// Relays the response of an attempt to the client while it arrives, and releases the endpoint.
    pub(super) fn relay_response(
        &self,
        request: &RequestContext<'_>,
        mut attempt: Attempt,
        client: &ClientStream<'_>,
        after: AfterResponse,
    ) -> Result<AfterResponse, ReceiveError> {
        let took_ms = Tick::now().since(attempt.sent_at);
        let Some(head) = attempt.head.clone() else {
            self.abandon_attempt(attempt, AbandonReason::EndpointTooSlow);
            return Err(io::Error::from(io::ErrorKind::InvalidData).into());
        };
        let framing = RelayFraming::of(request.head, &head, &attempt);
        let after = after.or_close_if(framing == RelayFraming::UntilClose);
        let mut first_bytes = self.encode_response_head(&head, framing, after);
        let buffered_body = std::mem::take(&mut attempt.buffered_body);
        match framing {
            _ if buffered_body.is_empty() => {}
            RelayFraming::None => {}
            RelayFraming::Chunked => first_bytes.extend_from_slice(&encode_chunk(&buffered_body)),
            _ => first_bytes.extend_from_slice(&buffered_body),
        }
        let relayed = relay(&mut attempt, client, &first_bytes, framing);
        let is_incomplete = matches!(relayed, Err(RelayError::Endpoint));
        self.record_response(request, attempt, &head, took_ms, is_incomplete);
        match relayed {
            Ok(()) => Ok(after),
            // Part of the response was sent already, so closing the connection is the only way to
            // show the client that it is incomplete.
            Err(RelayError::Endpoint) => Ok(AfterResponse::Close),
            Err(RelayError::Client(e)) => Err(e.into()),
            Err(RelayError::Wait(e)) => Err(e.into()),
        }
    }

    fn encode_response_head(
        &self,
        head: &ResponseHead,
        framing: RelayFraming,
        after: AfterResponse,
    ) -> Vec<u8> {
        let mut out = format!("HTTP/1.1 {} {}\r\n", head.status, head.reason).into_bytes();
        out.extend_from_slice(&head.forwarded_headers);
        match framing {
            RelayFraming::None | RelayFraming::UntilClose => {}
            RelayFraming::Length(length) => {
                append_header(&mut out, "Content-Length", length.to_string().as_bytes());
            }
            RelayFraming::Chunked => append_header(&mut out, "Transfer-Encoding", b"chunked"),
        }
        self.append_head_end(&mut out, after);
        out
    }

    /// Records a response that was relayed completely or in part, and releases its endpoint.
    /// `took_ms` is the time in milliseconds until the response was ready to be relayed.
    fn record_response(
        &self,
        request: &RequestContext<'_>,
        attempt: Attempt,
        head: &ResponseHead,
        took_ms: u64,
        is_incomplete: bool,
    ) {
        let now = Tick::now();
        let failed = head.status >= 500;
        if !failed && let Some(service) = lock(&self.upstreams).services.get_mut(request.service) {
            service.latency.record(took_ms);
        }
        let record = |detector: &mut OutlierDetector| {
            if is_incomplete {
                detector.record_fault(now);
            } else if head.not_executed {
                detector.record_overload(now);
            } else if failed {
                detector.record_failed_response(now);
            } else {
                detector.record_success(took_ms);
            }
        };
        let id = attempt.endpoint_id.clone();
        let in_flight_ms = now.since(attempt.sent_at);
        let connection = if is_incomplete { None } else { attempt.into_reusable_connection() };
        self.release_endpoint(&id, in_flight_ms, record, connection);
    }

    /// Sends the client a refusal.
    pub(super) fn refuse(
        &self,
        client: &mut ClientStream<'_>,
        refusal: Refusal,
        retry_after_ms: u64,
        after: AfterResponse,
    ) -> io::Result<()> {
        let response = refusal.response();
        let mut out = format!("HTTP/1.1 {} {}\r\n", response.status, response.reason).into_bytes();
        append_header(&mut out, "Content-Length", b"0");
        if matches!(refusal, Refusal::Unavailable | Refusal::TooManyRequests) {
            let seconds = format!("{:.3}", retry_after_ms as f64 / 1_000.0);
            append_header(&mut out, "Retry-After", seconds.as_bytes());
        }
        self.append_head_end(&mut out, after);
        client.write(&out)?;
        match after {
            AfterResponse::KeepOpen => Ok(()),
            AfterResponse::Close => client.close_after_response(),
        }
    }

    /// Appends the headers about the client connection, and the end of the head.
    fn append_head_end(&self, head: &mut Vec<u8>, after: AfterResponse) {
        if after == AfterResponse::Close {
            append_header(head, "Connection", b"close");
        } else if let Some(route_table) = self.route_table() {
            let idle_timeout_s = route_table.limits.idle_timeout_ms / 1_000;
            let seconds = idle_timeout_s.saturating_sub(KEEP_ALIVE_MARGIN_S).max(1);
            append_header(head, "Keep-Alive", format!("timeout={seconds}").as_bytes());
        }
        head.extend_from_slice(b"\r\n");
    }
}

/// Relays a response, of which `first_bytes` are ready to be sent, unless the client has left.
fn relay(
    attempt: &mut Attempt,
    client: &ClientStream<'_>,
    first_bytes: &[u8],
    framing: RelayFraming,
) -> Result<(), RelayError> {
    client.watch().ensure_present().map_err(WaitError::from)?;
    client.write(first_bytes).map_err(RelayError::Client)?;
    relay_body(attempt, client, framing)
}

/// Relays the rest of a response body. More is read from the endpoint only after the client has
/// accepted what was read before.
fn relay_body(
    attempt: &mut Attempt,
    client: &ClientStream<'_>,
    framing: RelayFraming,
) -> Result<(), RelayError> {
    let deadline = Tick::now().plus(DEFAULT_DEADLINE_MS);
    while !attempt.body.is_complete() {
        let socket = attempt.readable_socket();
        if !client.watch().wait(vec![socket], RELAY_POLL_INTERVAL_MS)?[0] {
            if Tick::now() >= deadline {
                return Err(RelayError::Endpoint);
            }
            continue;
        }
        let data = attempt.read_body().map_err(|_| RelayError::Endpoint)?;
        if data.is_empty() {
            continue;
        }
        match framing {
            RelayFraming::Chunked => client.write(&encode_chunk(&data)),
            _ => client.write(&data),
        }
        .map_err(RelayError::Client)?;
    }
    if framing == RelayFraming::Chunked {
        client.write(LAST_CHUNK).map_err(RelayError::Client)?;
    }
    Ok(())
}
