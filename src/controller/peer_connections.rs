//! Connections between this controller and its peers: other controllers, poolers and gateways.
//!
//! `SocketTransport` owns them. Writing never blocks: data that a socket doesn't accept immediately
//! stays in the connection's send queue. Reading is done in `peer_listener`, by one thread for each
//! connection.
use crate::base::time::Tick;
use crate::net::rpc::raft_messages::RaftMessageKind;
use crate::net::send_queue::SendQueue;
use crate::raft::limits::MAX_IN_FLIGHT_BYTES;
use std::io;
use std::net::{Shutdown, TcpStream};

/// Milliseconds without progress after which a connection is closed: the peer reads none of the
/// queued data, or sends nothing although it should. Long enough for a stall of a loaded machine.
const STALL_TIMEOUT_MS: u64 = 10_000;

/// Queued bytes on a link to another controller above which even Raft heartbeats are dropped.
const MAX_LINK_BACKLOG_BYTES: usize = 4 * MAX_IN_FLIGHT_BYTES;

/// The outgoing link to another controller, connected or not.
pub(super) struct PeerLink {
    /// The connection, or `None` before the first successful attempt and after an error.
    pub(super) connection: Option<PeerConnection>,
    /// Whether a thread is currently connecting.
    pub(super) dialing: bool,
    /// The earliest time for the next attempt to connect.
    pub(super) next_dial_at: Tick,
}

impl PeerLink {
    /// Creates a link without a connection. The first attempt may start at `now`.
    pub(super) fn new(now: Tick) -> Self {
        Self { connection: None, dialing: false, next_dial_at: now }
    }
    /// Writes what the socket accepts without blocking. A broken connection is dropped.
    pub(super) fn flush(&mut self) {
        if self.connection.as_mut().is_some_and(|connection| connection.flush().is_err()) {
            self.connection = None;
        }
    }
}

/// Whether a Raft message has to be dropped instead of queued behind `pending_bytes`.
///
/// The limit is lower for larger messages: snapshots need an empty queue, entries a queue no longer
/// than the bytes that replication keeps in flight. Raft retransmits dropped messages, and
/// heartbeats continue as long as the link makes any progress.
pub fn exceeds_backlog(kind: &RaftMessageKind, pending_bytes: usize) -> bool {
    match kind {
        RaftMessageKind::InstallSnapshot { .. } => pending_bytes > 0,
        RaftMessageKind::AppendEntries { entries, .. } if !entries.is_empty() => {
            pending_bytes > MAX_IN_FLIGHT_BYTES
        }
        RaftMessageKind::AppendEntries { .. } | RaftMessageKind::Chunk { .. } => {
            pending_bytes > MAX_LINK_BACKLOG_BYTES
        }
        _ => false,
    }
}

/// A peer's socket and the frames queued for it.
pub(crate) struct PeerConnection {
    stream: TcpStream,
    pub(super) queue: SendQueue,
    /// The queue's total of written bytes at the last check that found progress.
    written_at_last_check: u64,
    /// Time of the last check that found progress in writing, or nothing to write.
    last_progress_at: Tick,
    /// When the peer last sent a frame, or `None` if it never has.
    last_received_at: Option<Tick>,
    opened_at: Tick,
}

impl PeerConnection {
    /// Wraps a connected socket.
    pub(super) fn new(stream: TcpStream, now: Tick) -> Self {
        Self {
            stream,
            queue: SendQueue::default(),
            written_at_last_check: 0,
            last_progress_at: now,
            last_received_at: None,
            opened_at: now,
        }
    }
    /// Records that a frame was received from the peer.
    pub(super) fn received(&mut self, now: Tick) {
        self.last_received_at = Some(now);
    }
    /// Whether the peer has read nothing for too long, or has sent nothing although it should: each
    /// peer has to send a first frame, and one that `sends_regularly` has to keep sending.
    pub(super) fn is_stalled(&mut self, sends_regularly: bool, now: Tick) -> bool {
        if self.queue.is_empty() || self.queue.total_written() != self.written_at_last_check {
            self.written_at_last_check = self.queue.total_written();
            self.last_progress_at = now;
        }
        let must_send = sends_regularly || self.last_received_at.is_none();
        now.since(self.last_progress_at) > STALL_TIMEOUT_MS
            || (must_send
                && now.since(self.last_received_at.unwrap_or(self.opened_at)) > STALL_TIMEOUT_MS)
    }
    /// Writes what the socket accepts without blocking.
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
    /// Closes the connection in both directions. Its reader thread detects and reports this.
    pub(super) fn close(&self) {
        drop(self.stream.shutdown(Shutdown::Both));
    }
}
