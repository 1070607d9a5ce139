//! Serves the requests of a client connection one after the other: parses each request, looks up
//! its route, forwards it and sends the response.
//!
//! A thread calls [`Gateway::serve_client`] when a client connection is readable. The call returns
//! when the connection is idle again or is to be closed.
use crate::base::errors::Refusal;
use crate::base::ids::ServiceName;
use crate::base::time::Tick;
use crate::config::configuration::SessionLimits;
use crate::config::route_table::{RouteEntry, RouteTable};
use crate::gateway::client_connection::{
    AfterServing, ClientConnection, ClientStream, ReadResult, ReceiveError,
};
use crate::gateway::forwarding::ForwardResult;
use crate::gateway::http1::{
    BodyDecoder, BodyFraming, ParsedHead, RequestHead, encode_chunk, parse_request_head,
};
use crate::gateway::request_context::{ForwardedIdentity, RequestContext};
use crate::gateway::responses::AfterResponse;
use crate::gateway::server::{Gateway, increment};
use crate::gateway::subsets::stable_hash;
use log::debug;
use std::io;
use std::sync::atomic::Ordering;

/// The time for a request without a `Deadline-Ms` header, in milliseconds from its arrival.
pub(super) const DEFAULT_DEADLINE_MS: u64 = 60_000;

/// How much of a request body is buffered so that the request can be retried, in bytes. A larger
/// body is streamed to one endpoint, without retries.
const MAX_BUFFERED_BODY_BYTES: usize = 256 << 10;

/// How long a thread waits for the next request of the client that it has just served before the
/// connection becomes idle, in milliseconds.
const NEXT_REQUEST_TIMEOUT_MS: u64 = 20;

/// The part of a request body that is received before forwarding.
struct ReceivedBody {
    /// The bytes to send after the head; chunk-encoded if a chunked body is incomplete.
    buffered: Vec<u8>,
    /// The decoder of the rest, if the body is too large to be buffered.
    remaining: Option<BodyDecoder>,
}

impl Gateway {
    /// Serves a client until its connection is idle or is to be closed.
    pub(super) fn serve_client(&self, connection: &ClientConnection) -> io::Result<AfterServing> {
        let mut client = ClientStream::new(&connection.stream);
        loop {
            let Some(route_table) = self.route_table() else { return Ok(AfterServing::Close) };
            client.max_body_bytes = route_table.limits.max_body_bytes;
            if client.buffer.is_empty() {
                connection.set_idle();
                if self.closing_idle_clients.load(Ordering::Relaxed) {
                    return Ok(AfterServing::Close);
                }
                match client.read(Tick::now().plus(NEXT_REQUEST_TIMEOUT_MS))? {
                    ReadResult::Data => {}
                    ReadResult::Closed => return Ok(AfterServing::Close),
                    ReadResult::TimedOut => return Ok(AfterServing::KeepIdle),
                }
            }
            connection.set_busy();
            let served = receive_head(&mut client, &route_table.limits)
                .and_then(|head| self.serve_request(&head, &mut client));
            match served {
                Ok(AfterResponse::KeepOpen) => {}
                Ok(AfterResponse::Close) | Err(ReceiveError::Closed) => {
                    return Ok(AfterServing::Close);
                }
                Err(ReceiveError::Refused(refusal)) => {
                    self.refuse(&mut client, refusal, 0, AfterResponse::Close)?;
                    return Ok(AfterServing::Close);
                }
                Err(ReceiveError::Connection(e)) => return Err(e),
            }
        }
    }

    /// Serves one request whose head was received, and records it if its client leaves.
    fn serve_request(
        &self,
        head: &RequestHead,
        client: &mut ClientStream<'_>,
    ) -> Result<AfterResponse, ReceiveError> {
        let arrived = Tick::now();
        let served = self.forward_request(head, arrived, client);
        let client_left = match &served {
            Err(ReceiveError::Closed) => true,
            Err(ReceiveError::Connection(_)) => client.watch().has_left(),
            Ok(_) | Err(ReceiveError::Refused(_)) => false,
        };
        if client_left {
            self.record_departure(head, arrived);
        }
        served
    }

    /// Forwards a request and sends the response. The route table that is in force at the start is
    /// used for the whole request.
    fn forward_request(
        &self,
        head: &RequestHead,
        arrived: Tick,
        client: &mut ClientStream<'_>,
    ) -> Result<AfterResponse, ReceiveError> {
        let Some(route_table) = self.route_table() else { return Ok(AfterResponse::Close) };
        increment(&self.counters.requests);
        let after = AfterResponse::close_if(head.close || self.draining.load(Ordering::Relaxed));
        if let BodyFraming::Length(length) = head.framing
            && length > client.max_body_bytes
        {
            return Err(ReceiveError::Refused(Refusal::TooLarge));
        }
        let Some((route, service)) = find_route(&route_table, head) else {
            // The body is not read, so the connection can't be used for another request.
            let after = after.or_close_if(head.framing != BodyFraming::Length(0));
            self.refuse(client, Refusal::NoRoute, 0, after)?;
            return Ok(after);
        };
        let identity = if route_table.tenants.is_empty() {
            ForwardedIdentity::AsReceived
        } else {
            let Ok(identity) = route_table.identify(route, head.api_key()) else {
                increment(&self.counters.denied);
                let after = after.or_close_if(head.framing != BodyFraming::Length(0));
                self.refuse(client, Refusal::Unauthorized, 0, after)?;
                return Ok(after);
            };
            ForwardedIdentity::Identified(identity)
        };
        let timeout_ms = head.deadline_ms.unwrap_or(DEFAULT_DEADLINE_MS).min(route.timeout_ms);
        let deadline = arrived.plus(timeout_ms);
        let ReceivedBody { buffered, remaining } = receive_body(head, client, deadline)?;
        let mut request = RequestContext {
            head,
            client: client.watch(),
            route,
            service,
            identity,
            arrived,
            deadline,
            body: &buffered,
            remaining_body: remaining,
        };
        match self.forward(&mut request, client)? {
            ForwardResult::Refused { refusal, retry_after_ms } => {
                let has_unread_body = request.remaining_body.is_some();
                let after = after.or_close_if(refusal.response().closes || has_unread_body);
                self.refuse(client, refusal, retry_after_ms, after)?;
                Ok(after)
            }
            ForwardResult::Response(attempt) => {
                self.relay_response(&request, *attempt, client, after)
            }
        }
    }

    /// Counts and logs a request whose client has left. Debug level, because clients leave often.
    fn record_departure(&self, head: &RequestHead, arrived: Tick) {
        increment(&self.counters.client_closed);
        debug!(
            target: "gateway",
            "request {}: its client closed the connection {} ms after the request had arrived, so \
             it is given up",
            head.request_id.as_deref().unwrap_or("without an id"),
            Tick::now().since(arrived)
        );
    }
}

/// Reads until the head of a request is complete, and parses it.
fn receive_head(
    client: &mut ClientStream<'_>,
    limits: &SessionLimits,
) -> Result<RequestHead, ReceiveError> {
    let deadline = Tick::now().plus(limits.header_timeout_ms);
    loop {
        let parsed = parse_request_head(client.buffer.pending(), limits.max_header_bytes);
        if let Some(ParsedHead { head, length }) = parsed.map_err(ReceiveError::Refused)? {
            client.buffer.consume(length);
            return Ok(head);
        }
        client.read_more(deadline)?;
    }
}

/// Returns the route of a request and the service that the route selects. If the route has several
/// weighted services, every node selects the same one for the same request.
fn find_route<'t>(
    route_table: &'t RouteTable,
    head: &RequestHead,
) -> Option<(&'t RouteEntry, &'t ServiceName)> {
    let route = route_table.entry_for_path(&head.host, head.path())?;
    let hash = stable_hash(head.request_id.as_deref().unwrap_or(&head.target));
    Some((route, route_table.service(route, hash)?))
}

/// Reads the body until it is complete or too large to be buffered.
fn receive_body(
    head: &RequestHead,
    client: &mut ClientStream<'_>,
    deadline: Tick,
) -> Result<ReceivedBody, ReceiveError> {
    let has_body = head.framing != BodyFraming::Length(0);
    if head.expects_continue && has_body && client.buffer.is_empty() {
        client.write(b"HTTP/1.1 100 Continue\r\n\r\n")?;
    }
    let mut body = BodyDecoder::new(head.framing);
    let mut buffered = Vec::new();
    while !body.is_complete() && buffered.len() < MAX_BUFFERED_BODY_BYTES {
        client.decode_body(&mut body, &mut buffered)?;
        if buffered.len() as u64 > client.max_body_bytes {
            return Err(ReceiveError::Refused(Refusal::TooLarge));
        }
        if !body.is_complete() {
            client.read_more(deadline)?;
        }
    }
    let remaining = (!body.is_complete()).then_some(body);
    if remaining.is_some() && head.framing == BodyFraming::Chunked {
        buffered = encode_chunk(&buffered);
    }
    Ok(ReceivedBody { buffered, remaining })
}
