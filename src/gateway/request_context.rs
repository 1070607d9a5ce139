//! The context of one client request while it is forwarded, and the request head that endpoints
//! get.
use crate::base::ids::{InstanceId, ServiceName};
use crate::base::time::Tick;
use crate::config::route_table::RouteEntry;
use crate::config::tenants::{Identity, TenantEntry};
use crate::gateway::attempts::Idempotency;
use crate::gateway::http1::{BodyDecoder, BodyFraming, RequestHead, append_header};
use crate::node::client_watch::ClientWatch;

/// The gateway stops waiting for a response this many milliseconds before the client's deadline.
/// The endpoint gets a deadline that is earlier by the same time.
pub(super) const DEADLINE_MARGIN_MS: u64 = 5;

/// A request waits for a granted operation of its tenant for at most the latency target of its route
/// divided by this.
const OPERATION_WAIT_DIVISOR: u64 = 6;

/// The least time that a request waits for a granted operation, in milliseconds.
pub(super) const MIN_OPERATION_WAIT_MS: u64 = 20;

/// The capacity that is reserved for the request line and the headers that the gateway adds, in
/// bytes.
const ADDED_HEADERS_BYTES: usize = 256;

/// What endpoints are told of the client.
#[derive(Clone, Copy)]
pub(super) enum ForwardedIdentity<'a> {
    /// What the client sent: the configuration has no tenants.
    AsReceived,
    /// The tenant of the client's key, or nothing.
    Identified(Identity<'a>),
}

/// One request while it is forwarded: its head and route, its deadline and its body.
pub(super) struct RequestContext<'a> {
    pub(super) head: &'a RequestHead,
    /// The client that waits for the response.
    pub(super) client: ClientWatch<'a>,
    /// The route that matches the host and path of the request.
    pub(super) route: &'a RouteEntry,
    /// The service that the route selects.
    pub(super) service: &'a ServiceName,
    pub(super) identity: ForwardedIdentity<'a>,
    /// When the head of the request was complete.
    pub(super) arrived: Tick,
    /// When the client stops waiting for a response.
    pub(super) deadline: Tick,
    /// The buffered body, or the buffered beginning of a body that is streamed, encoded for the
    /// endpoint.
    pub(super) body: &'a [u8],
    /// The decoder of the rest of a body that is too large to be buffered and is streamed.
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

    /// The tenant whose operations are limited, if the client's are.
    pub(super) fn limited_tenant(&self) -> Option<&TenantEntry> {
        match self.identity {
            ForwardedIdentity::Identified(Identity::Tenant(tenant)) if tenant.limited => {
                Some(tenant)
            }
            _ => None,
        }
    }

    /// How long the first attempt may wait for the leader to grant an operation of the tenant, in
    /// milliseconds.
    pub(super) fn operation_wait_ms(&self) -> u64 {
        (self.route.target_latency_ms / OPERATION_WAIT_DIVISOR).max(MIN_OPERATION_WAIT_MS)
    }

    /// Until when the request may wait for an endpoint whose queue has room: for a quarter of the
    /// latency target, because a later refusal would be of little use to the client.
    pub(super) fn acquire_deadline(&self) -> Tick {
        self.arrived.plus(self.route.target_latency_ms / 4).min(self.deadline)
    }

    /// Whether it is too late for a response to reach the client before its deadline.
    pub(super) fn is_past_deadline(&self, now: Tick) -> bool {
        now.plus(DEADLINE_MARGIN_MS) >= self.deadline
    }

    /// How long to wait for a response from `now` on, in milliseconds; at least one.
    pub(super) fn time_left_ms(&self, now: Tick) -> u64 {
        self.deadline.since(now).saturating_sub(DEADLINE_MARGIN_MS).max(1)
    }

    /// Encodes the head for an endpoint to which the request is sent at `now`.
    pub(super) fn encode_head(&self, endpoint: &InstanceId, now: Tick) -> Vec<u8> {
        let forwarded = &self.head.forwarded_headers;
        let mut head = Vec::with_capacity(forwarded.len() + ADDED_HEADERS_BYTES);
        head.extend_from_slice(
            format!("{} {} HTTP/1.1\r\n", self.head.method, self.head.target).as_bytes(),
        );
        head.extend_from_slice(forwarded);
        match self.identity {
            ForwardedIdentity::AsReceived => head.extend_from_slice(&self.head.identity_headers),
            ForwardedIdentity::Identified(Identity::Tenant(tenant)) => {
                append_header(&mut head, "Tenant-Id", tenant.name.0.as_bytes());
            }
            ForwardedIdentity::Identified(Identity::Anyone) => {}
        }
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
            // A buffered body is complete, so its length is known even if it was chunked. For
            // methods that usually have a body, the length is stated even if the body is empty.
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
