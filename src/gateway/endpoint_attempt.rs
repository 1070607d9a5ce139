//! One attempt: a request on a connection to one endpoint, and the response as far as it came.
//!
//! Forwarding starts attempts, reads them until one has a response that the client may get, and
//! relays that one. A response that belongs to another request never counts.
use crate::base::ids::InstanceId;
use crate::base::time::Tick;
use crate::gateway::attempts::AttemptOutcome;
use crate::gateway::http1::{
    BodyDecoder, BodyFraming, ParseError, ParsedHead, RequestHead, ResponseHead, encode_chunk,
    parse_response_head,
};
use crate::gateway::upstreams::{AcquiredEndpoint, EndpointConnection, IDLE_MS};
use rustix::event::{PollFd, PollFlags, Timespec, poll};
use std::io::{self, Write};
use std::net::SocketAddr;

/// How much of a response is held before the client gets any of it, in bytes: until then an
/// idempotent request can still be sent to another endpoint.
const MAX_HELD_RESPONSE: usize = 64 << 10;

/// How long before a database closes an idle connection it is used no more, in milliseconds, so
/// that no request meets the close.
const KEEP_ALIVE_MARGIN_MS: u64 = 1_000;

/// One attempt to have a request executed by one endpoint.
pub(super) struct Attempt {
    pub(super) endpoint_id: InstanceId,
    address: SocketAddr,
    connection: EndpointConnection,
    /// The connection had served an earlier request.
    reused: bool,
    /// When the request was sent.
    pub(super) sent: Tick,
    /// The head of the response, once it is there.
    pub(super) head: Option<ResponseHead>,
    /// Decodes the body of the response.
    pub(super) body: BodyDecoder,
    /// The body as far as it was decoded and not relayed.
    pub(super) held: Vec<u8>,
    /// A response to another request came first on this connection.
    skipped_response: bool,
    /// The endpoint has closed the connection, or it failed.
    connection_ended: bool,
}

/// What reading from an attempt has come to.
pub(super) enum AttemptProgress {
    /// The response is not complete.
    Pending,
    /// The response is complete, or larger than what is held; the client may have it.
    Ready,
    /// The attempt has failed.
    Ended(AttemptOutcome),
}

impl AttemptProgress {
    /// No usable response: the request may have been executed, as no head says otherwise.
    const LOST: Self = Self::Ended(AttemptOutcome::MayHaveExecuted);
}

/// No usable rest of a body came from the endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("the endpoint's response broke off")]
pub(super) struct ResponseBroken;

impl Attempt {
    /// An attempt whose request was sent, wholly or up to a body that is streamed behind it.
    pub(super) fn new(
        endpoint_id: InstanceId,
        address: SocketAddr,
        connection: EndpointConnection,
        reused: bool,
        sent: Tick,
    ) -> Self {
        Self {
            endpoint_id,
            address,
            connection,
            reused,
            sent,
            head: None,
            body: BodyDecoder::new(BodyFraming::Length(0)),
            held: Vec::new(),
            skipped_response: false,
            connection_ended: false,
        }
    }

    pub(super) fn is_reused(&self) -> bool {
        self.reused
    }

    /// Whether a reused connection ended before any response: most likely the endpoint had closed
    /// it while it was idle.
    pub(super) fn met_stale_connection(&self) -> bool {
        self.reused
            && self.connection_ended
            && self.head.is_none()
            && self.connection.buffer.is_empty()
    }

    /// The same endpoint, for the same request on a new connection.
    pub(super) fn into_endpoint(self) -> AcquiredEndpoint {
        AcquiredEndpoint { id: self.endpoint_id, address: self.address, connection: None }
    }

    /// Sends a part of a streamed body.
    pub(super) fn write_body(&mut self, data: &[u8], framing: BodyFraming) -> io::Result<()> {
        match framing {
            BodyFraming::Chunked => self.connection.stream.write_all(&encode_chunk(data)),
            _ => self.connection.stream.write_all(data),
        }
    }

    /// Sends what ends a streamed body with this framing.
    pub(super) fn write_body_end(&mut self, framing: BodyFraming) -> io::Result<()> {
        match framing {
            BodyFraming::Chunked => self.connection.stream.write_all(LAST_CHUNK),
            _ => Ok(()),
        }
    }

    /// Reads once; the connection has to be readable.
    pub(super) fn read(&mut self, request: &RequestHead) -> AttemptProgress {
        match self.connection.buffer.fill(&mut self.connection.stream) {
            Ok(0) => {
                self.connection_ended = true;
                let complete = self.head.is_some() && self.body.finish_at_close();
                if complete { self.completed() } else { AttemptProgress::LOST }
            }
            Ok(_) => self.parse(request).unwrap_or(AttemptProgress::LOST),
            Err(e) if e.kind() == io::ErrorKind::Interrupted => AttemptProgress::Pending,
            Err(_) => {
                self.connection_ended = true;
                AttemptProgress::LOST
            }
        }
    }

    /// Parses what was read.
    fn parse(&mut self, request: &RequestHead) -> Result<AttemptProgress, ParseError> {
        loop {
            if self.head.is_none() && !self.parse_head(&request.method)? {
                return Ok(AttemptProgress::Pending);
            }
            let consumed = self.body.decode(self.connection.buffer.pending(), &mut self.held)?;
            self.connection.buffer.consume(consumed);
            let Some(head) = &self.head else { return Err(ParseError) };
            if head.id == request.id {
                return self.response_progress();
            }
            // One response too many may come where the next is due; it belongs to no request.
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

    /// Parses the head of the response; false if it is not there yet.
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
            self.held.clear();
            return Ok(true);
        }
    }

    /// The progress of a response that belongs to the request.
    fn response_progress(&self) -> Result<AttemptProgress, ParseError> {
        let Some(head) = &self.head else { return Err(ParseError) };
        if head.status < 300 && !head.signed {
            return Err(ParseError);
        }
        if self.body.is_complete() {
            return Ok(self.completed());
        }
        if self.held.len() < MAX_HELD_RESPONSE {
            return Ok(AttemptProgress::Pending);
        }
        // Whether the client may be promised this is decided with all attempts in view.
        Ok(match head.not_executed {
            true => AttemptProgress::Ended(AttemptOutcome::NotExecuted),
            false => AttemptProgress::Ready,
        })
    }

    /// The progress of a complete response.
    fn completed(&self) -> AttemptProgress {
        match &self.head {
            Some(head) if head.not_executed => AttemptProgress::Ended(AttemptOutcome::NotExecuted),
            Some(head) if head.status >= 500 => AttemptProgress::Ended(AttemptOutcome::Failed),
            _ => AttemptProgress::Ready,
        }
    }

    /// Reads more of the body behind what is held, and returns it; empty if there was none after
    /// all. The connection has to be readable.
    pub(super) fn read_body(&mut self) -> Result<Vec<u8>, ResponseBroken> {
        let mut data = Vec::new();
        match self.connection.buffer.fill(&mut self.connection.stream) {
            Ok(0) => {
                self.connection_ended = true;
                return if self.body.finish_at_close() { Ok(data) } else { Err(ResponseBroken) };
            }
            Ok(_) => {}
            Err(e) if e.kind() == io::ErrorKind::Interrupted => return Ok(data),
            Err(_) => return Err(ResponseBroken),
        }
        let pending = self.connection.buffer.pending();
        let consumed = self.body.decode(pending, &mut data).map_err(|ParseError| ResponseBroken)?;
        self.connection.buffer.consume(consumed);
        Ok(data)
    }

    /// The connection, if another request may use it.
    pub(super) fn into_reusable_connection(self) -> Option<EndpointConnection> {
        let head = self.head.as_ref()?;
        // A response too many is recognised by its id; without one, no request may follow.
        let reusable = head.id.is_some()
            && self.body.is_complete()
            && self.connection.buffer.is_empty()
            && !self.skipped_response
            && !self.connection_ended
            && !head.close
            && head.framing != BodyFraming::UntilClose;
        let idle_ms = head.keep_alive_s.map_or(IDLE_MS, |seconds| {
            (seconds * 1_000).saturating_sub(KEEP_ALIVE_MARGIN_MS).min(IDLE_MS)
        });
        let expires = Tick::now().plus(idle_ms);
        reusable.then(|| EndpointConnection { expires, ..self.connection })
    }
}

/// The empty chunk and trailer that end a chunked body.
pub(super) const LAST_CHUNK: &[u8] = b"0\r\n\r\n";

/// Writes all parts of a request. Once a byte has left, the endpoint may execute the request.
pub fn write_request(to: &mut impl Write, parts: &[&[u8]]) -> Result<(), AttemptOutcome> {
    let mut begun = false;
    for part in parts {
        let mut left = *part;
        while !left.is_empty() {
            match to.write(left) {
                Ok(n) if n > 0 => {
                    begun = true;
                    left = &left[n..];
                }
                Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
                _ if begun => return Err(AttemptOutcome::MayHaveExecuted),
                _ => return Err(AttemptOutcome::NotSent),
            }
        }
    }
    Ok(())
}

/// Waits until one of the attempts has something to read, for `ms` milliseconds at the most.
/// Returns for each whether it has.
pub(super) fn wait_readable(attempts: &[Attempt], ms: u64) -> io::Result<Vec<bool>> {
    let mut fds: Vec<PollFd<'_>> =
        attempts.iter().map(|a| PollFd::new(&a.connection.stream, PollFlags::IN)).collect();
    let timeout =
        Timespec { tv_sec: (ms / 1_000) as i64, tv_nsec: (ms % 1_000 * 1_000_000) as i64 };
    match poll(&mut fds, Some(&timeout)) {
        Ok(_) => Ok(fds.iter().map(|fd| !fd.revents().is_empty()).collect()),
        Err(rustix::io::Errno::INTR) => Ok(vec![false; attempts.len()]),
        Err(e) => Err(e.into()),
    }
}
