//! What clients get: the relayed response of an endpoint, or a refusal of the gateway's own.
use crate::base::errors::Refusal;
use crate::base::sync::lock;
use crate::base::time::Tick;
use crate::gateway::client_connection::ClientStream;
use crate::gateway::endpoint_attempt::{Attempt, LAST_CHUNK, wait_readable};
use crate::gateway::http1::{BodyFraming, RequestHead, ResponseHead, append_header, encode_chunk};
use crate::gateway::outlier_detection::OutlierDetector;
use crate::gateway::request_context::RequestContext;
use crate::gateway::request_handling::DEFAULT_DEADLINE_MS;
use crate::gateway::server::Gateway;
use std::io;

/// How often the end of a relayed response's time is looked at, in milliseconds.
const RELAY_POLL_MS: u64 = 1_000;

/// Clients are told to use an idle connection for this many seconds less than it is kept.
const KEEP_ALIVE_MARGIN_S: u64 = 2;

/// What happens to a client's connection after a response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum AfterResponse {
    /// It stays open for the next request.
    KeepOpen,
    /// It ends.
    Close,
}

impl AfterResponse {
    pub(super) fn close_if(close: bool) -> Self {
        if close { Self::Close } else { Self::KeepOpen }
    }

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
    /// The client's connection ends with the body.
    UntilClose,
}

impl RelayFraming {
    fn of(request: &RequestHead, response: &ResponseHead, attempt: &Attempt) -> Self {
        if request.method == "HEAD" || response.status == 204 || response.status == 304 {
            return Self::None;
        }
        match response.framing {
            BodyFraming::Length(length) => Self::Length(length),
            _ if attempt.body.is_complete() => Self::Length(attempt.held.len() as u64),
            _ if request.accepts_chunked => Self::Chunked,
            _ => Self::UntilClose,
        }
    }
}

/// Why a response could not be relayed to its end.
#[derive(Debug, thiserror::Error)]
enum RelayError {
    /// The client's connection failed.
    #[error("client: {0}")]
    Client(io::Error),
    /// The endpoint's response broke off, or took too long.
    #[error("the endpoint's response broke off")]
    Endpoint,
    /// The endpoint's connection can't be watched.
    #[error("poll: {0}")]
    Poll(io::Error),
}

impl Gateway {
    /// Relays the response of an attempt to the client as it comes, and releases the endpoint.
    pub(super) fn relay_response(
        &self,
        request: &RequestContext<'_>,
        mut attempt: Attempt,
        client: &ClientStream<'_>,
        after: AfterResponse,
    ) -> io::Result<AfterResponse> {
        let took_ms = Tick::now().since(attempt.sent);
        let Some(head) = attempt.head.clone() else {
            return Err(io::ErrorKind::InvalidData.into());
        };
        let framing = RelayFraming::of(request.head, &head, &attempt);
        let after = after.or_close_if(framing == RelayFraming::UntilClose);
        let mut beginning = self.encode_response_head(&head, framing, after);
        let held = std::mem::take(&mut attempt.held);
        match framing {
            _ if held.is_empty() => {}
            RelayFraming::None => {}
            RelayFraming::Chunked => beginning.extend_from_slice(&encode_chunk(&held)),
            _ => beginning.extend_from_slice(&held),
        }
        let relayed = match client.write(&beginning) {
            Ok(()) => relay_body(&mut attempt, client, framing),
            Err(e) => Err(RelayError::Client(e)),
        };
        if let Err(RelayError::Poll(e)) = relayed {
            return Err(e);
        }
        let is_broken = matches!(relayed, Err(RelayError::Endpoint));
        self.record_response(request, attempt, &head, took_ms, is_broken);
        match relayed {
            Ok(()) => Ok(after),
            // The client must see that the response is incomplete, and that is all it can see.
            Err(RelayError::Endpoint) => Ok(AfterResponse::Close),
            Err(RelayError::Client(e) | RelayError::Poll(e)) => Err(e),
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

    /// Records a response that was relayed, or broke off, and releases its endpoint. Its first
    /// part came after `took_ms` milliseconds.
    fn record_response(
        &self,
        request: &RequestContext<'_>,
        attempt: Attempt,
        head: &ResponseHead,
        took_ms: u64,
        is_broken: bool,
    ) {
        let now = Tick::now();
        let failed = head.status >= 500;
        if !failed && let Some(service) = lock(&self.upstreams).services.get_mut(request.service) {
            service.latency.record(took_ms);
        }
        let record = |outlier: &mut OutlierDetector| {
            if is_broken {
                outlier.record_fault(now);
            } else if head.not_executed {
                outlier.record_overload(now);
            } else if failed {
                outlier.record_failed_response(now);
            } else {
                outlier.record_success(took_ms);
            }
        };
        let id = attempt.endpoint_id.clone();
        let in_flight_ms = now.since(attempt.sent);
        let connection = if is_broken { None } else { attempt.into_reusable_connection() };
        self.release_endpoint(&id, in_flight_ms, record, connection);
    }

    /// Gives the client a response of the gateway's own.
    pub(super) fn refuse(
        &self,
        client: &mut ClientStream<'_>,
        refusal: Refusal,
        retry_after_ms: u64,
        after: AfterResponse,
    ) -> io::Result<()> {
        let answer = refusal.answer();
        let mut out = format!("HTTP/1.1 {} {}\r\n", answer.status, answer.reason).into_bytes();
        append_header(&mut out, "Content-Length", b"0");
        if refusal == Refusal::Unavailable {
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

    /// Appends what the client has to know of its connection, and the end of the head.
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

/// Relays the rest of a response's body. Nothing more is read from the endpoint until the client
/// has accepted what came before.
fn relay_body(
    attempt: &mut Attempt,
    client: &ClientStream<'_>,
    framing: RelayFraming,
) -> Result<(), RelayError> {
    let deadline = Tick::now().plus(DEFAULT_DEADLINE_MS);
    while !attempt.body.is_complete() {
        let readable = wait_readable(std::slice::from_ref(attempt), RELAY_POLL_MS);
        if !readable.map_err(RelayError::Poll)?[0] {
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
