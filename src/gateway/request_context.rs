//! What is fixed for one request of a client, and the head that databases get of it.
use crate::base::ids::{InstanceId, ServiceName};
use crate::base::time::Tick;
use crate::config::route_table::RouteEntry;
use crate::gateway::attempts::Idempotency;
use crate::gateway::http1::{BodyDecoder, BodyFraming, RequestHead, append_header};
use crate::gateway::upstreams::ReusePolicy;

/// A response that can't arrive this many milliseconds before the deadline is not waited for; a
/// database is given that much less time than the client has left.
pub(super) const DEADLINE_MARGIN_MS: u64 = 5;

/// Room for the headers that the gateway adds, in bytes.
const ADDED_HEADERS: usize = 256;

/// Everything that is fixed for one request, and its body as far as it is held.
pub(super) struct RequestContext<'a> {
    pub(super) head: &'a RequestHead,
    /// The route that the request's host and path chose.
    pub(super) route: &'a RouteEntry,
    /// The service that the route leads to.
    pub(super) service: &'a ServiceName,
    /// When its head was complete.
    pub(super) arrived: Tick,
    /// When the client stops waiting for a response.
    pub(super) deadline: Tick,
    /// The body, or its beginning as it is sent to an endpoint.
    pub(super) body: &'a [u8],
    /// Decodes the rest of a body that is too large to be held; it is streamed.
    pub(super) remaining_body: Option<BodyDecoder>,
}

impl RequestContext<'_> {
    /// Whether the route allows the request to be executed more than once.
    pub(super) fn idempotency(&self) -> Idempotency {
        match self.route.route_type.is_idempotent() {
            true => Idempotency::Idempotent,
            false => Idempotency::NonIdempotent,
        }
    }

    /// Which idle connections the request may use.
    pub(super) fn reuse_policy(&self) -> ReusePolicy {
        match self.idempotency() {
            Idempotency::Idempotent => ReusePolicy::AnyIdle,
            Idempotency::NonIdempotent => ReusePolicy::FreshOnly,
        }
    }

    /// Until when the request may wait for an endpoint with room: for a quarter of the latency
    /// target. A refusal later than that would be of little help to the client.
    pub(super) fn acquire_deadline(&self) -> Tick {
        self.arrived.plus(self.route.target_latency_ms / 4).min(self.deadline)
    }

    /// Whether it is too late for a response to arrive in time.
    pub(super) fn is_past_deadline(&self, now: Tick) -> bool {
        now.plus(DEADLINE_MARGIN_MS) >= self.deadline
    }

    /// For how many milliseconds a response is still waited for; at least one.
    pub(super) fn time_left_ms(&self, now: Tick) -> u64 {
        self.deadline.since(now).saturating_sub(DEADLINE_MARGIN_MS).max(1)
    }

    /// The head as an endpoint gets it at `now`.
    pub(super) fn encode_head(&self, endpoint: &InstanceId, now: Tick) -> Vec<u8> {
        let forwarded = &self.head.forwarded_headers;
        let mut head = Vec::with_capacity(forwarded.len() + ADDED_HEADERS);
        head.extend_from_slice(
            format!("{} {} HTTP/1.1\r\n", self.head.method, self.head.target).as_bytes(),
        );
        head.extend_from_slice(forwarded);
        append_header(&mut head, "Deadline-Ms", self.time_left_ms(now).to_string().as_bytes());
        append_header(&mut head, "Target-Instance", endpoint.0.as_bytes());
        self.append_framing(&mut head);
        head.extend_from_slice(b"\r\n");
        head
    }

    fn append_framing(&self, head: &mut Vec<u8>) {
        let is_streamed = self.remaining_body.is_some();
        match self.head.framing {
            BodyFraming::Length(length) if is_streamed => {
                append_header(head, "Content-Length", length.to_string().as_bytes());
            }
            _ if is_streamed => append_header(head, "Transfer-Encoding", b"chunked"),
            // A body that is held is complete, so that its length is known even if it came in
            // chunks. Methods that usually have a body say so if it is empty.
            framing => {
                let has_body = framing != BodyFraming::Length(0);
                let usually_has_body =
                    matches!(self.head.method.as_str(), "POST" | "PUT" | "PATCH");
                if has_body || usually_has_body {
                    let length = self.body.len().to_string();
                    append_header(head, "Content-Length", length.as_bytes());
                }
            }
        }
    }
}
