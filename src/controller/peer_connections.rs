//! Sockets between this controller and its peers: other controllers, poolers and gateways.
//!
//! `SocketTransport` owns them. Writing never
//! blocks: what a socket does not take at once waits in the connection's send queue. Reading is
//! done elsewhere, by one thread a connection (see `peer_listener`).
use crate::base::time::Tick;
use crate::net::rpc::raft_messages::RaftMessageKind;
use crate::net::send_queue::SendQueue;
use crate::raft::limits::MAX_IN_FLIGHT_BYTES;
use std::io;
use std::net::{Shutdown, TcpStream};

/// Milliseconds without progress after which a connection is closed: the peer takes nothing of what
/// waits for it, or sends nothing though it should. Long enough for a stall of a loaded machine.
const STALLED_MS: u64 = 10_000;

/// Bytes that may wait on a link to another controller before even heartbeats are left out.
const MAX_LINK_BACKLOG: usize = 4 * MAX_IN_FLIGHT_BYTES;

/// The outgoing connection to another controller, if there is one.
pub(super) struct PeerLink {
    /// The connection; none before the first attempt succeeds and after an error.
    pub(super) connection: Option<PeerConnection>,
    /// Whether a thread is connecting now.
    pub(super) dialing: bool,
    /// Not before this is the next attempt to connect made.
    pub(super) next_attempt: Tick,
}

impl PeerLink {
    /// A link that has not been connected yet; the first attempt may begin at `now`.
    pub(super) fn new(now: Tick) -> Self {
        Self { connection: None, dialing: false, next_attempt: now }
    }
    /// Writes what the socket takes without waiting; a broken connection is dropped.
    pub(super) fn flush(&mut self) {
        if self.connection.as_mut().is_some_and(|connection| connection.flush().is_err()) {
            self.connection = None;
        }
    }
}

/// Whether a Raft message is to be dropped instead of queued behind `pending_bytes`.
///
/// The larger the message, the sooner: snapshots wait for an empty queue, entries for less than
/// the bytes that replication keeps in flight. Raft sends again what was dropped, and heartbeats
/// go on as long as the link moves at all.
pub fn exceeds_backlog(kind: &RaftMessageKind, pending_bytes: usize) -> bool {
    match kind {
        RaftMessageKind::InstallSnapshot { .. } => pending_bytes > 0,
        RaftMessageKind::AppendEntries { entries, .. } if !entries.is_empty() => {
            pending_bytes > MAX_IN_FLIGHT_BYTES
        }
        RaftMessageKind::AppendEntries { .. } | RaftMessageKind::Chunk { .. } => {
            pending_bytes > MAX_LINK_BACKLOG
        }
        _ => false,
    }
}

/// A peer's socket and the frames that wait for it.
pub(crate) struct PeerConnection {
    stream: TcpStream,
    pub(super) queue: SendQueue,
    /// The queue's total at the last check that found progress.
    written_at_check: u64,
    /// The last check that found progress in writing, or nothing to write.
    last_progress: Tick,
    /// When the peer last sent a frame, if it ever did.
    last_received: Option<Tick>,
    opened: Tick,
}

impl PeerConnection {
    /// Takes over a connected socket.
    pub(super) fn new(stream: TcpStream, now: Tick) -> Self {
        Self {
            stream,
            queue: SendQueue::default(),
            written_at_check: 0,
            last_progress: now,
            last_received: None,
            opened: now,
        }
    }
    /// Records that the peer sent a frame.
    pub(super) fn received(&mut self, now: Tick) {
        self.last_received = Some(now);
    }
    /// Whether the peer has read nothing for too long, or has sent nothing though it should: each
    /// peer has to send a first frame, and one that `sends_regularly` has to go on.
    pub(super) fn is_stalled(&mut self, sends_regularly: bool, now: Tick) -> bool {
        if self.queue.is_empty() || self.queue.total_written() != self.written_at_check {
            self.written_at_check = self.queue.total_written();
            self.last_progress = now;
        }
        let must_send = sends_regularly || self.last_received.is_none();
        now.since(self.last_progress) > STALLED_MS
            || (must_send && now.since(self.last_received.unwrap_or(self.opened)) > STALLED_MS)
    }
    /// Writes what the socket takes without waiting.
    ///
    /// # Errors
    /// If the connection is broken.
    pub(super) fn flush(&mut self) -> io::Result<()> {
        while let Some(bytes) = self.queue.next_bytes() {
            let socket = socket2::SockRef::from(&self.stream);
            match socket.send_with_flags(bytes, libc::MSG_DONTWAIT) {
                Ok(sent) => self.queue.advance(sent),
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => return Ok(()),
                Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
                Err(e) => return Err(e),
            }
        }
        Ok(())
    }
    /// Ends the connection in both directions. Its reader sees the end and reports it.
    pub(super) fn close(&self) {
        drop(self.stream.shutdown(Shutdown::Both));
    }
}
