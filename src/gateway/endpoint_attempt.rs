//! One attempt: a request that was sent to one endpoint, and the response as far as it was read.
//!
//! Forwarding starts attempts and reads from them until one has a response that may be relayed to
//! the client. A response that belongs to another request is never relayed.
use crate::base::ids::InstanceId;
use crate::base::time::Tick;
use crate::gateway::attempts::AttemptOutcome;
use crate::gateway::http1::{
    BodyDecoder, BodyFraming, ParseError, ParsedHead, RequestHead, ResponseHead, encode_chunk,
    parse_response_head,
};
use crate::gateway::request_sender::{RequestSender, SendError};
use crate::gateway::upstreams::{AcquiredEndpoint, EndpointConnection, MAX_IDLE_MS};
use crate::node::client_watch::ClientWatch;
use rustix::event::{PollFd, PollFlags};
use std::io;
use std::net::SocketAddr;

/// How much of a response body is buffered before any of it is relayed to the client, in bytes.
/// Until then an idempotent request can still be retried at another endpoint.
const MAX_BUFFERED_RESPONSE_BYTES: usize = 64 << 10;

/// An idle connection is no longer used this many milliseconds before the endpoint closes it, so
/// that no request is sent while the endpoint closes the connection.
const KEEP_ALIVE_MARGIN_MS: u64 = 1_000;

/// An attempt to have a request executed by one endpoint.
pub(super) struct Attempt {
    pub(super) endpoint_id: InstanceId,
    address: SocketAddr,
    connection: EndpointConnection,
    /// The connection was used for an earlier request.
    reused: bool,
    /// When the request was sent.
    pub(super) sent_at: Tick,
    /// The head of the response, once it was read.
    pub(super) head: Option<ResponseHead>,
    /// The decoder of the response body.
    pub(super) body: BodyDecoder,
    /// The part of the response body that was decoded and not relayed yet.
    pub(super) buffered_body: Vec<u8>,
    /// A response to another request was read from this connection and dropped.
    skipped_response: bool,
    /// The endpoint closed the connection, or the connection failed.
    connection_closed: bool,
}

/// How far an attempt is after a read.
pub(super) enum AttemptProgress {
    /// The response is not complete.
    Pending,
    /// The response may be relayed: it is complete, or its body has reached
    /// `MAX_BUFFERED_RESPONSE_BYTES`.
    Ready,
    /// The attempt ended without a successful response.
    Ended(AttemptOutcome),
}

impl AttemptProgress {
    /// No usable response was read, so the endpoint may have executed the request.
    const NO_USABLE_RESPONSE: Self = Self::Ended(AttemptOutcome::MayHaveExecuted);
}

/// The rest of a response body could not be read, or is invalid.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("the endpoint's response body ended early or is invalid")]
pub(super) struct IncompleteResponse;

impl Attempt {
    /// Creates an attempt whose request was sent, except for a body that is streamed afterwards.
    pub(super) fn new(
        endpoint_id: InstanceId,
        address: SocketAddr,
        connection: EndpointConnection,
        reused: bool,
        sent_at: Tick,
    ) -> Self {
        Self {
            endpoint_id,
            address,
            connection,
            reused,
            sent_at,
            head: None,
            body: BodyDecoder::new(BodyFraming::Length(0)),
            buffered_body: Vec::new(),
            skipped_response: false,
            connection_closed: false,
        }
    }

    pub(super) fn is_reused(&self) -> bool {
        self.reused
    }

    /// Whether a reused connection was closed before any byte of a response. Most likely the
    /// endpoint had closed it while it was idle.
    pub(super) fn used_stale_connection(&self) -> bool {
        self.reused
            && self.connection_closed
            && self.head.is_none()
            && self.connection.buffer.is_empty()
    }

    /// Ends the attempt and returns its endpoint, for the same request on a new connection.
    pub(super) fn into_endpoint(self) -> AcquiredEndpoint {
        AcquiredEndpoint { id: self.endpoint_id, address: self.address, connection: None }
    }

    /// The socket of the connection, to wait until it is readable.
    pub(super) fn readable_socket(&self) -> PollFd<'_> {
        PollFd::new(&self.connection.stream, PollFlags::IN)
    }

    /// Sends a part of a streamed request body.
    pub(super) fn write_body(
        &self,
        client: ClientWatch<'_>,
        data: &[u8],
        framing: BodyFraming,
    ) -> Result<(), SendError> {
        let mut sender = RequestSender::new(&self.connection.stream, client);
        match framing {
            BodyFraming::Chunked => sender.send(&[&encode_chunk(data)]),
            _ => sender.send(&[data]),
        }
    }

    /// Ends a streamed request body: a chunked one needs a last chunk.
    pub(super) fn write_body_end(
        &self,
        client: ClientWatch<'_>,
        framing: BodyFraming,
    ) -> Result<(), SendError> {
        match framing {
            BodyFraming::Chunked => {
                RequestSender::new(&self.connection.stream, client).send(&[LAST_CHUNK])
            }
            _ => Ok(()),
        }
    }

    /// Reads once from the connection, which must be readable, and parses what was read.
    pub(super) fn read(&mut self, request: &RequestHead) -> AttemptProgress {
        match self.connection.buffer.fill(&mut self.connection.stream) {
            Ok(0) => {
                self.connection_closed = true;
                let complete = self.head.is_some() && self.body.finish_at_close();
                if complete {
                    self.complete_response_progress()
                } else {
                    AttemptProgress::NO_USABLE_RESPONSE
                }
            }
            Ok(_) => self.parse_response(request).unwrap_or(AttemptProgress::NO_USABLE_RESPONSE),
            Err(e) if e.kind() == io::ErrorKind::Interrupted => AttemptProgress::Pending,
            Err(_) => {
                self.connection_closed = true;
                AttemptProgress::NO_USABLE_RESPONSE
            }
        }
    }

    /// Parses the bytes that were read so far.
    fn parse_response(&mut self, request: &RequestHead) -> Result<AttemptProgress, ParseError> {
        loop {
            if self.head.is_none() && !self.parse_head(&request.method)? {
                return Ok(AttemptProgress::Pending);
            }
            let consumed =
                self.body.decode(self.connection.buffer.pending(), &mut self.buffered_body)?;
            self.connection.buffer.consume(consumed);
            let Some(head) = &self.head else { return Err(ParseError) };
            if head.request_id == request.request_id {
                return self.response_progress();
            }
            // On a reused connection, a surplus response to an earlier request may come first. One
            // is skipped.
            if self.skipped_response || !self.reused || head.framing == BodyFraming::UntilClose {
                return Err(ParseError);
            }
            if !self.body.is_complete() {
                return Ok(AttemptProgress::Pending);
            }
            self.skipped_response = true;
            self.head = None;
        }
    }

    /// Parses the head of the response. Returns false if it is not complete yet.
    fn parse_head(&mut self, method: &str) -> Result<bool, ParseError> {
        loop {
            let pending = self.connection.buffer.pending();
            let Some(ParsedHead { head, length }) = parse_response_head(pending, method)? else {
                return Ok(false);
            };
            self.connection.buffer.consume(length);
            // An interim response comes before the final one (RFC 9110, section 15.2).
            if head.status < 200 {
                continue;
            }
            self.body = BodyDecoder::new(head.framing);
            self.head = Some(head);
            self.buffered_body.clear();
            return Ok(true);
        }
    }

    /// The progress of an attempt whose response belongs to the request. A success without a
    /// signature is invalid.
    fn response_progress(&self) -> Result<AttemptProgress, ParseError> {
        let Some(head) = &self.head else { return Err(ParseError) };
        if head.status < 300 && !head.signed {
            return Err(ParseError);
        }
        if self.body.is_complete() {
            return Ok(self.complete_response_progress());
        }
        if self.buffered_body.len() < MAX_BUFFERED_RESPONSE_BYTES {
            return Ok(AttemptProgress::Pending);
        }
        // Whether the client may be told that the request was not executed depends on the other
        // attempts too, so forwarding decides it.
        Ok(match head.not_executed {
            true => AttemptProgress::Ended(AttemptOutcome::NotExecuted),
            false => AttemptProgress::Ready,
        })
    }

    /// The progress of an attempt whose response is complete.
    fn complete_response_progress(&self) -> AttemptProgress {
        match &self.head {
            Some(head) if head.not_executed => AttemptProgress::Ended(AttemptOutcome::NotExecuted),
            Some(head) if head.status >= 500 => AttemptProgress::Ended(AttemptOutcome::Failed),
            _ => AttemptProgress::Ready,
        }
    }

    /// Reads and returns more of the body, which follows the buffered part; empty if the read gave
    /// none. The connection must be readable.
    pub(super) fn read_body(&mut self) -> Result<Vec<u8>, IncompleteResponse> {
        let mut data = Vec::new();
        match self.connection.buffer.fill(&mut self.connection.stream) {
            Ok(0) => {
                self.connection_closed = true;
                return if self.body.finish_at_close() {
                    Ok(data)
                } else {
                    Err(IncompleteResponse)
                };
            }
            Ok(_) => {}
            Err(e) if e.kind() == io::ErrorKind::Interrupted => return Ok(data),
            Err(_) => return Err(IncompleteResponse),
        }
        let pending = self.connection.buffer.pending();
        let consumed =
            self.body.decode(pending, &mut data).map_err(|ParseError| IncompleteResponse)?;
        self.connection.buffer.consume(consumed);
        Ok(data)
    }

    /// Ends the attempt and returns its connection if another request may use it.
    pub(super) fn into_reusable_connection(self) -> Option<EndpointConnection> {
        let head = self.head.as_ref()?;
        // A surplus response is recognised by its request id. If the endpoint sends no id, it could
        // be taken for the response to the next request, so the connection is not reused.
        let reusable = head.request_id.is_some()
            && self.body.is_complete()
            && self.connection.buffer.is_empty()
            && !self.skipped_response
            && !self.connection_closed
            && !head.close
            && head.framing != BodyFraming::UntilClose;
        let idle_ms = head.keep_alive_s.map_or(MAX_IDLE_MS, |seconds| {
            (seconds * 1_000).saturating_sub(KEEP_ALIVE_MARGIN_MS).min(MAX_IDLE_MS)
        });
        let expires_at = Tick::now().plus(idle_ms);
        reusable.then(|| EndpointConnection { expires_at, ..self.connection })
    }
}

/// The last chunk and the empty trailer section, which end a chunked body.
pub(super) const LAST_CHUNK: &[u8] = b"0\r\n\r\n";

/// The sockets of the attempts, to wait until one of them is readable.
pub(super) fn readable_sockets(attempts: &[Attempt]) -> Vec<PollFd<'_>> {
    attempts.iter().map(Attempt::readable_socket).collect()
}
