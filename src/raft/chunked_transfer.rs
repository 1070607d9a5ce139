//! Messages too large for one frame's share of a slow link: sent as chunks, each after the one
//! before was answered, and put together again by the receiver.
use super::limits::{
    FAST_CHUNK_MS, MAX_CHUNK_BYTES, MAX_CHUNKED_MESSAGE_BYTES, MAX_IN_FLIGHT_BYTES, SLOW_CHUNK_MS,
};
use super::node::RaftNode;
use super::replication::WhenUpToDate;
use super::validation::UnreadableMessage;
use crate::base::ids::{LogIndex, MemberId, Term};
use crate::base::time::Tick;
use crate::net::rpc::raft_messages::RaftMessageKind;
use crate::net::rpc::{pack, unpack};
use serde_bytes::ByteBuf;
use std::sync::Arc;

/// A message on its way to a member in chunks. It stays as it is, whatever happens to the log
/// meanwhile.
#[derive(Clone, Debug)]
pub(super) struct ChunkedSend {
    /// The transfer's number, unique within the sender's term.
    id: u64,
    /// The encoded message; shared where several members get the same snapshot.
    bytes: Arc<[u8]>,
    /// The last included entry, if the message is a snapshot.
    snapshot: Option<LogIndex>,
    /// The first entry after those in the message.
    pub(super) next_index: LogIndex,
    /// How many bytes the member has acknowledged.
    offset: usize,
    /// The size of the chunk that begins there, in bytes.
    chunk_size: usize,
    /// When that chunk was sent.
    sent_at: Tick,
}

impl ChunkedSend {
    /// Whether the chunk in flight was sent before this time. If so, it is to be sent again in the
    /// smallest size, as it was perhaps lost for lack of bandwidth.
    pub(super) fn shrink_if_sent_before(&mut self, time: Tick) -> bool {
        let before = time > self.sent_at;
        if before {
            self.chunk_size = MAX_IN_FLIGHT_BYTES;
        }
        before
    }

    /// Moves on to the next chunk, with a size that follows from how long the last one took.
    fn advance_to(&mut self, offset: usize, now: Tick) {
        self.offset = offset;
        let chunk_size = match now.since(self.sent_at) {
            0..FAST_CHUNK_MS => self.chunk_size * 2,
            SLOW_CHUNK_MS.. => MAX_IN_FLIGHT_BYTES,
            _ => self.chunk_size,
        };
        self.chunk_size = chunk_size.min(MAX_CHUNK_BYTES);
    }
}

/// A message that arrives in chunks, no larger than [`MAX_CHUNKED_MESSAGE_BYTES`].
#[derive(Clone)]
pub(super) struct ChunkedReceive {
    leader: MemberId,
    term: Term,
    transfer_id: u64,
    total_size: usize,
    /// How many bytes have arrived without a gap.
    received: usize,
    /// Those bytes; empty again once the message is complete.
    bytes: Vec<u8>,
}

impl ChunkedReceive {
    fn accepts(&self, offset: u64, bytes: &[u8]) -> bool {
        self.received as u64 == offset && self.received + bytes.len() <= self.total_size
    }
}

/// One chunk, as it came.
pub(super) struct Chunk {
    /// The transfer it belongs to.
    pub(super) transfer_id: u64,
    /// The size of the whole message in bytes.
    pub(super) total_size: u64,
    /// Where in the message it begins.
    pub(super) offset: u64,
    /// Its bytes.
    pub(super) bytes: ByteBuf,
    /// The leader's clock when it was sent.
    pub(super) sent_at: u64,
}

impl RaftNode {
    /// Begins to send a message in chunks. `snapshot` is the last included entry if it is one.
    pub(super) fn start_chunked_send(
        &mut self,
        id: MemberId,
        kind: &RaftMessageKind,
        snapshot: Option<LogIndex>,
        now: Tick,
    ) {
        let mut transfers = self.progress.values().filter_map(|p| p.transfer.as_ref());
        let same = transfers.find(|t| snapshot.is_some() && t.snapshot == snapshot);
        let bytes = same.map_or_else(|| pack(kind).into(), |t| Arc::clone(&t.bytes));
        self.transfers_started += 1;
        if let Some(progress) = self.progress.get_mut(&id) {
            progress.transfer = Some(ChunkedSend {
                id: self.transfers_started,
                bytes,
                snapshot,
                next_index: progress.next_index,
                offset: 0,
                chunk_size: MAX_IN_FLIGHT_BYTES,
                sent_at: now,
            });
        }
        self.send_chunk(id, now);
    }

    /// Sends the chunk at the transfer's offset, for the first time or again.
    pub(super) fn send_chunk(&mut self, id: MemberId, now: Tick) {
        let transfer = self.progress.get_mut(&id).and_then(|p| p.transfer.as_mut());
        let Some(transfer) = transfer else {
            return;
        };
        transfer.sent_at = now;
        let (start, total_size) = (transfer.offset, transfer.bytes.len());
        let chunk = &transfer.bytes[start..total_size.min(start + transfer.chunk_size)];
        let kind = RaftMessageKind::Chunk {
            transfer_id: transfer.id,
            total_size: total_size as u64,
            offset: start as u64,
            bytes: ByteBuf::from(chunk),
            sent_at: now.0,
        };
        self.send(id, kind);
    }

    /// Sends the next chunk once the member has answered the one before; after the last one, the
    /// entries that follow the message.
    pub(super) fn handle_chunk_response(
        &mut self,
        id: MemberId,
        transfer_id: u64,
        received: u64,
        sent_at: u64,
        now: Tick,
    ) {
        let Some(progress) = self.progress.get_mut(&id) else {
            return;
        };
        progress.last_acked = progress.last_acked.max(Tick(sent_at));
        let current = progress.transfer.as_mut().filter(|t| t.id == transfer_id);
        // Only the answer to the newest chunk counts; the one before may have been sent twice.
        let Some(transfer) = current.filter(|t| t.sent_at <= Tick(sent_at)) else {
            return;
        };
        if received < transfer.bytes.len() as u64 {
            transfer.advance_to(received as usize, now);
            return self.send_chunk(id, now);
        }
        let next_index = transfer.next_index;
        progress.transfer = None;
        progress.resume_from(next_index);
        self.send_append(id, WhenUpToDate::SendNothing, now);
    }

    /// Collects the chunks of a leader's message; returns the message once it is complete.
    pub(super) fn handle_chunk(&mut self, from: MemberId, chunk: Chunk) -> Option<RaftMessageKind> {
        let transfer_id = chunk.transfer_id;
        let incoming = self.incoming_transfer(from, &chunk)?;
        let fits = incoming.accepts(chunk.offset, &chunk.bytes);
        if fits {
            incoming.bytes.extend_from_slice(&chunk.bytes);
            incoming.received += chunk.bytes.len();
        }
        let received = incoming.received as u64;
        // A complete message is still known as received, but its bytes are not needed any more.
        let complete = fits && incoming.received == incoming.total_size;
        let message = complete.then(|| std::mem::take(&mut incoming.bytes));
        let sent_at = chunk.sent_at;
        self.send(from, RaftMessageKind::ChunkResponse { transfer_id, received, sent_at });
        self.decode_chunked_message(&message?)
    }

    /// The transfer that a chunk belongs to, begun anew if it is not the current one. `None` if its
    /// message is too large.
    fn incoming_transfer(&mut self, from: MemberId, chunk: &Chunk) -> Option<&mut ChunkedReceive> {
        let (term, transfer_id) = (self.state.term, chunk.transfer_id);
        let same =
            |t: &ChunkedReceive| (t.leader, t.term, t.transfer_id) == (from, term, transfer_id);
        if !self.incoming.as_ref().is_some_and(same) {
            let total_size = usize::try_from(chunk.total_size).ok();
            let total_size = total_size.filter(|size| *size <= MAX_CHUNKED_MESSAGE_BYTES)?;
            self.incoming = Some(ChunkedReceive {
                leader: from,
                term,
                transfer_id,
                total_size,
                received: 0,
                bytes: Vec::new(),
            });
        }
        self.incoming.as_mut()
    }

    /// Only messages that leaders send in chunks are taken.
    fn decode_chunked_message(&mut self, bytes: &[u8]) -> Option<RaftMessageKind> {
        match unpack::<RaftMessageKind>(bytes) {
            Ok(
                kind @ (RaftMessageKind::AppendEntries { .. }
                | RaftMessageKind::InstallSnapshot { .. }),
            ) => Some(kind),
            Ok(_) => None,
            Err(error) => {
                self.unreadable_message = Some(UnreadableMessage::encoding(error));
                None
            }
        }
    }
}
