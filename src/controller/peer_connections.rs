//! Connections to other controllers and to the nodes on the peer port.
use crate::base::time::Tick;

use crate::net::rpc::raft_messages::RaftMessageKind;
use crate::net::send_queue::SendQueue;
use crate::raft::limits::MAX_IN_FLIGHT_BYTES;
use std::net::TcpStream;

/// A connection of ours to another controller.
pub(crate) struct PeerLink {
    pub(crate) line: Option<PeerConnection>,
    pub(crate) dialing: bool,
    pub(super) retry: Tick,
}

/// Whether a message is not to wait behind so many bytes that a link has not taken yet. What is left
/// out here is asked for again, and heartbeats go on as long as there is a way at all.
pub fn left_out(kind: &RaftMessageKind, waiting: usize) -> bool {
    match kind {
        RaftMessageKind::InstallSnapshot { .. } => waiting > 0,
        RaftMessageKind::AppendEntries { entries, .. } if !entries.is_empty() => {
            waiting > MAX_IN_FLIGHT_BYTES
        }
        RaftMessageKind::AppendEntries { .. } | RaftMessageKind::Chunk { .. } => {
            waiting > LINK_WAITING
        }
        _ => false,
    }
}

/// One that reads nothing for so long, or should speak and does not, is let go.
const USELESS_MS: u64 = 10_000;

/// A peer's socket and what waits for it. The core never waits for a peer to read.
pub(crate) struct PeerConnection {
    stream: TcpStream,
    pub(super) out: SendQueue,
    /// What had left when it was last looked at and something had, or nothing waited.
    gone: u64,
    moved: Tick,
    /// When the far end last said something, if it ever did.
    pub(crate) heard: Option<Tick>,
    opened: Tick,
}

impl PeerConnection {
    pub(crate) fn new(stream: TcpStream, now: Tick) -> Self {
        Self { stream, out: SendQueue::default(), gone: 0, moved: now, heard: None, opened: now }
    }
    /// The far end reads nothing for long, or says nothing where it should.
    pub(super) fn useless(&mut self, talks: bool, now: Tick) -> bool {
        if self.out.is_empty() || self.out.gone != self.gone {
            (self.gone, self.moved) = (self.out.gone, now);
        }
        let silent = talks || self.heard.is_none();
        now.since(self.moved) > USELESS_MS
            || (silent && now.since(self.heard.unwrap_or(self.opened)) > USELESS_MS)
    }
    /// Writes what goes without waiting.
    pub(super) fn pump(&mut self) -> std::io::Result<()> {
        while let Some(bytes) = self.out.next() {
            let socket = socket2::SockRef::from(&self.stream);
            match socket.send_with_flags(bytes, libc::MSG_DONTWAIT) {
                Ok(sent) => self.out.took(sent),
                Err(e) if e.kind() == std::io::ErrorKind::WouldBlock => return Ok(()),
                Err(e) if e.kind() == std::io::ErrorKind::Interrupted => {}
                Err(e) => return Err(e),
            }
        }
        Ok(())
    }
    pub(super) fn close(&self) {
        // Its reader sees the end and reports it.
        drop(self.stream.shutdown(std::net::Shutdown::Both));
    }
}

/// What may wait for a link to another controller before even heartbeats are left out.
const LINK_WAITING: usize = 4 * MAX_IN_FLIGHT_BYTES;
