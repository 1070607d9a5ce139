//! One request on its way to a database and back.
use crate::base::errors::Refusal;
use crate::base::ids::{InstanceId, ServiceName};
use crate::base::time::Tick;
use crate::config::route_table::RouteEntry;
use crate::gateway::attempts::AttemptOutcome;
use crate::gateway::http1::{
    BodyDecoder, BodyFraming, ParseError, ParsedHead, RequestHead, ResponseHead, encode_chunk,
    parse_response_head,
};
use crate::gateway::upstreams::{EndpointConnection, IDLE_MS};
use rustix::event::{PollFd, PollFlags, Timespec, poll};
use std::io::{self, Write};
use std::net::SocketAddr;
use std::time::Duration;

/// A database is reached within this, or it is dark; longer where this node's own link is crowded.
pub(crate) const CONNECT_MS: u64 = 250;

pub(crate) const MOST_CONNECT_MS: u64 = 1_000;

/// The part of an answer that is held, so that an idempotent request can still move on.
const HELD: usize = 64 << 10;

/// The part of a request's body that is held for sending it again.
pub(crate) const HELD_BODY: usize = 256 << 10;

/// An answer that can't be in time any more is not waited for.
pub(crate) const MARGIN_MS: u64 = 5;

/// A client that takes nothing for this long is cut off.
pub(crate) const TAKES_NOTHING: Duration = Duration::from_secs(10);

/// One send of a request to one database.
pub(crate) struct Attempt {
    pub(crate) id: InstanceId,
    pub(crate) address: SocketAddr,
    pub(crate) stem: EndpointConnection,
    pub(crate) reused: bool,
    pub(crate) sent: Tick,
    pub(crate) head: Option<ResponseHead>,
    pub(crate) body: BodyDecoder,
    pub(crate) held: Vec<u8>,
    /// An answer to another request came first on this connection.
    pub(crate) stray: bool,
    /// The connection is at its end.
    pub(crate) ended: bool,
}

/// What a leg has come to.
pub(crate) enum Progress {
    Waits,
    /// Whole, or more than is held; the client may have it.
    Ready,
    AttemptOutcome(AttemptOutcome),
}

/// Everything that is fixed for one request.
pub(crate) struct RequestContext<'a> {
    pub(crate) asked: &'a RequestHead,
    pub(crate) route_entry: &'a RouteEntry,
    pub(crate) service: &'a ServiceName,
    pub(crate) arrived: Tick,
    pub(crate) limit: Tick,
    pub(crate) body: &'a [u8],
    /// The rest of a body that is too large to be held.
    pub(crate) rest: Option<BodyDecoder>,
}

/// What goes back to the client.
pub(crate) enum ForwardResult {
    Own(Refusal, u64),
    Attempt(Box<Attempt>),
}

/// Writes it all. Once a byte has left, the far end may have begun with it.
pub fn send_whole(to: &mut impl Write, parts: &[&[u8]]) -> Result<(), AttemptOutcome> {
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
                _ if begun => return Err(AttemptOutcome::MayHaveRun),
                _ => return Err(AttemptOutcome::NotSent),
            }
        }
    }
    Ok(())
}

/// Waits until one of the legs has something to read, or the time is over.
pub(crate) fn wait_for(legs: &[Attempt], ms: u64) -> io::Result<Vec<bool>> {
    let mut fds: Vec<PollFd<'_>> =
        legs.iter().map(|l| PollFd::new(&l.stem.stream, PollFlags::IN)).collect();
    let wait = Timespec { tv_sec: (ms / 1_000) as i64, tv_nsec: (ms % 1_000 * 1_000_000) as i64 };
    match poll(&mut fds, Some(&wait)) {
        Ok(_) => Ok(fds.iter().map(|f| !f.revents().is_empty()).collect()),
        Err(rustix::io::Errno::INTR) => Ok(vec![false; legs.len()]),
        Err(e) => Err(e.into()),
    }
}

impl Attempt {
    /// A connection that had rested came to its end before any answer.
    pub(crate) fn forgotten(&self) -> bool {
        self.reused && self.ended && self.head.is_none() && self.stem.inbox.is_empty()
    }
    pub(crate) fn write_piece(&mut self, piece: &[u8], chunked: bool) -> io::Result<()> {
        if !chunked {
            return self.stem.stream.write_all(piece);
        }
        self.stem.stream.write_all(&encode_chunk(piece))
    }
    /// Reads once; something is there to read.
    pub(crate) fn read(&mut self, asked: &RequestHead) -> Progress {
        // What may be lost here may have run, unless the head says otherwise.
        let lost = Progress::AttemptOutcome(AttemptOutcome::MayHaveRun);
        match self.stem.inbox.fill(&mut self.stem.stream) {
            Ok(0) => {
                self.ended = true;
                let known = self.head.is_some() && self.body.finish_at_close();
                return if known { self.whole() } else { lost };
            }
            Ok(_) => {}
            Err(e) if e.kind() == io::ErrorKind::Interrupted => return Progress::Waits,
            Err(_) => {
                self.ended = true;
                return lost;
            }
        }
        self.progress(asked)
    }
    fn progress(&mut self, asked: &RequestHead) -> Progress {
        let lost = Progress::AttemptOutcome(AttemptOutcome::MayHaveRun);
        loop {
            if self.head.is_none() {
                match parse_response_head(self.stem.inbox.pending(), &asked.method) {
                    Ok(None) => return Progress::Waits,
                    // Only a word in between.
                    Ok(Some(ParsedHead { head, length })) if head.status < 200 => {
                        self.stem.inbox.use_up(length);
                        continue;
                    }
                    Ok(Some(ParsedHead { head, length })) => {
                        self.stem.inbox.use_up(length);
                        self.body = BodyDecoder::new(head.framing);
                        self.head = Some(head);
                        self.held.clear();
                    }
                    Err(ParseError) => return lost,
                }
            }
            let used = match self.body.decode(self.stem.inbox.pending(), &mut self.held) {
                Ok(used) => used,
                Err(ParseError) => return lost,
            };
            self.stem.inbox.use_up(used);
            let Some(head) = &self.head else { return lost };
            // One answer too many may come where the next is due; it belongs to no request.
            if head.id != asked.id {
                if self.stray || !self.reused || head.framing == BodyFraming::UntilClose {
                    return lost;
                }
                if !self.body.is_complete() {
                    return Progress::Waits;
                }
                self.stray = true;
                self.head = None;
                continue;
            }
            if head.status < 300 && !head.signed {
                return lost;
            }
            if self.body.is_complete() {
                return self.whole();
            }
            if self.held.len() < HELD {
                return Progress::Waits;
            }
            // Whether its promise may be passed on is decided with all sends in view.
            return match head.not_executed {
                true => Progress::AttemptOutcome(AttemptOutcome::NotRun),
                false => Progress::Ready,
            };
        }
    }
    /// The whole answer is there.
    fn whole(&mut self) -> Progress {
        match &self.head {
            Some(head) if head.not_executed => Progress::AttemptOutcome(AttemptOutcome::NotRun),
            Some(head) if head.status >= 500 => Progress::AttemptOutcome(AttemptOutcome::Failed),
            _ => Progress::Ready,
        }
    }
    /// The connection, if another request may use it.
    pub(crate) fn kept(self) -> Option<EndpointConnection> {
        let head = self.head.as_ref()?;
        // An answer too many is known by its id; where there is none, nothing may follow.
        let clean = head.id.is_some()
            && self.body.is_complete()
            && self.stem.inbox.is_empty()
            && !self.stray
            && !self.ended
            && !head.close
            && head.framing != BodyFraming::UntilClose;
        // Closed by the database when its time is over; a request must not meet that.
        let keep =
            head.keep_alive_s.map_or(IDLE_MS, |s| (s * 1_000).saturating_sub(1_000).min(IDLE_MS));
        let until = Tick::now().plus(keep);
        clean.then(|| EndpointConnection { until, ..self.stem })
    }
}
