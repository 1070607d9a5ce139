//! Whether the client of a request still waits for its response.
//!
//! A client whose connection has reached its end of stream, or was reset, has left. Bytes of a next
//! request are no close, whether or not the end of stream follows them. A client that shuts down
//! only its sending side counts as left too: the two can't be told apart.
use rustix::event::{PollFd, PollFlags, Timespec, poll};
use std::net::TcpStream;

/// The events that show that a client has left. Errors and hang-ups are always reported.
const CLOSE_EVENTS: PollFlags = PollFlags::RDHUP;

/// The connection of a client while its request is served.
#[derive(Clone, Copy)]
pub(super) struct ClientWatch<'a> {
    stream: &'a TcpStream,
}

impl<'a> ClientWatch<'a> {
    /// Watches the client at the other end of the stream.
    pub(super) fn new(stream: &'a TcpStream) -> Self {
        Self { stream }
    }

    /// Whether the client has left. Does not wait.
    pub(super) fn has_left(&self) -> bool {
        let mut fds = [PollFd::new(self.stream, CLOSE_EVENTS)];
        !matches!(poll(&mut fds, Some(&Timespec { tv_sec: 0, tv_nsec: 0 })), Ok(0))
    }
}
