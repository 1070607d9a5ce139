//! Whether the client of a request still waits for its response.
//!
//! Every wait of a request asks its [`ClientWatch`], and so does every send right before its first
//! byte. A client has left when its connection has reached the end of stream or was reset. Bytes of
//! a next request are no departure, and don't hide one that follows them. A client that shuts down
//! only its sending side counts as departed too: the two can't be told apart.
//!
//! Invariant: the gateway itself never shuts down the read side of a connection that is being
//! served, which would look like a departure.
use crate::base::time::Tick;
use rustix::event::{PollFd, PollFlags, Timespec, poll};
use std::io;
use std::net::TcpStream;

/// How often a wait that can't watch the connection asks whether the client is still there, in
/// milliseconds.
pub(crate) const CLIENT_CHECK_INTERVAL_MS: u64 = 50;

/// The event that shows a departure. Errors and hang-ups are always reported as well. Readability
/// is not asked for, since bytes of a next request would end every wait.
const DEPARTURE_EVENTS: PollFlags = PollFlags::RDHUP;

/// The client of a request has left: nothing more is done for the request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("the client has closed its connection")]
pub(crate) struct ClientLeft;

/// Why a wait ended early.
#[derive(Debug, thiserror::Error)]
pub(crate) enum WaitError {
    /// The client has left.
    #[error(transparent)]
    ClientLeft(#[from] ClientLeft),
    /// The sockets can't be polled.
    #[error("polling failed: {0}")]
    Poll(#[from] io::Error),
}

/// The connection of a client while its request is served.
#[derive(Clone, Copy)]
pub(crate) struct ClientWatch<'a> {
    stream: &'a TcpStream,
}

impl<'a> ClientWatch<'a> {
    /// Watches the client at the other end of the stream.
    pub(crate) fn new(stream: &'a TcpStream) -> Self {
        Self { stream }
    }

    /// Whether the client has left. Does not wait.
    pub(crate) fn has_left(&self) -> bool {
        let mut fds = [self.departure()];
        !matches!(poll(&mut fds, Some(&Timespec { tv_sec: 0, tv_nsec: 0 })), Ok(0))
    }

    /// Fails if the client has left. Does not wait.
    pub(crate) fn ensure_present(&self) -> Result<(), ClientLeft> {
        if self.has_left() { Err(ClientLeft) } else { Ok(()) }
    }

    /// Waits until one of the sockets is ready, for at most `timeout_ms` milliseconds. Returns for
    /// each socket whether it is. Fails as soon as the client has left.
    pub(crate) fn wait<'s>(
        &'s self,
        mut sockets: Vec<PollFd<'s>>,
        timeout_ms: u64,
    ) -> Result<Vec<bool>, WaitError> {
        let count = sockets.len();
        sockets.push(self.departure());
        let mut ready = wait_ready(sockets, timeout_ms)?;
        if ready[count] {
            return Err(ClientLeft.into());
        }
        ready.truncate(count);
        Ok(ready)
    }

    fn departure(&self) -> PollFd<'a> {
        PollFd::new(self.stream, DEPARTURE_EVENTS)
    }
}

/// Waits like [`ClientWatch::wait`], whether or not a client leaves.
pub(crate) fn wait_ready(mut sockets: Vec<PollFd<'_>>, timeout_ms: u64) -> io::Result<Vec<bool>> {
    let deadline = Tick::now().plus(timeout_ms);
    let mut left_ms = timeout_ms;
    loop {
        let timeout = Timespec {
            tv_sec: (left_ms / 1_000) as i64,
            tv_nsec: (left_ms % 1_000 * 1_000_000) as i64,
        };
        match poll(&mut sockets, Some(&timeout)) {
            Ok(_) => {
                return Ok(sockets.iter().map(|socket| !socket.revents().is_empty()).collect());
            }
            Err(rustix::io::Errno::INTR) => left_ms = deadline.since(Tick::now()),
            Err(e) => return Err(e.into()),
        }
    }
}
