//! Transfer of large messages in chunks, so that one message does not block a slow link. The leader
//! sends each chunk after the response to the previous one; the receiver reassembles the message.
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

/// A message that is being sent to a member in chunks. Its content is fixed when the transfer
/// starts and does not follow later changes of the log.
#[derive(Clone, Debug)]
pub(super) struct ChunkedSend {
    /// The id of the transfer, unique within the sender's term.
    id: u64,
    /// The encoded message. Members that are sent the same snapshot share it.
    bytes: Arc<[u8]>,
    /// The index of the last included entry, if the message is a snapshot.
    snapshot: Option<LogIndex>,
    /// The index of the first entry after the message.
    pub(super) next_index: LogIndex,
    /// How many bytes the member has acknowledged.
    offset: usize,
    /// The size of the chunk that begins at `offset`, in bytes.
    chunk_size: usize,
    /// When that chunk was sent last.
    sent_at: Tick,
}

impl ChunkedSend {
    /// Whether the chunk in flight was sent before this time. If so, also resets the chunk size to
    /// the smallest one for the retry, as the chunk may have been lost for lack of bandwidth.
    pub(super) fn shrink_if_sent_before(&mut self, time: Tick) -> bool {
        let sent_before = time > self.sent_at;
        if sent_before {
            self.chunk_size = MAX_IN_FLIGHT_BYTES;
        }
        sent_before
    }

    /// Moves to the next chunk and adapts the chunk size to how long the last chunk took.
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

/// A message that is being received in chunks, of at most [`MAX_CHUNKED_MESSAGE_BYTES`].
#[derive(Clone)]
pub(super) struct ChunkedReceive {
    leader: MemberId,
    term: Term,
    transfer_id: u64,
    total_size: usize,
    /// How many bytes have arrived without a gap.
    received: usize,
    /// The bytes received so far; taken out once the message is complete.
    bytes: Vec<u8>,
}

impl ChunkedReceive {
    fn accepts(&self, offset: u64, bytes: &[u8]) -> bool {
        self.received as u64 == offset && self.received + bytes.len() <= self.total_size
    }
}

/// A chunk as received.
pub(super) struct Chunk {
    /// The id of the transfer that it belongs to.
    pub(super) transfer_id: u64,
    /// The size of the whole message in bytes.
    pub(super) total_size: u64,
    /// The offset in the message at which the chunk begins.
    pub(super) offset: u64,
    /// The content of the chunk.
    pub(super) bytes: ByteBuf,
    /// When the leader sent the chunk, by its own clock.
    pub(super) sent_at: u64,
}

impl RaftNode {
    /// Starts to send a message in chunks. `snapshot` is the index of the last included entry if
    /// the message is a snapshot.
    pub(super) fn start_chunked_send(
        &mut self,
        id: MemberId,
        kind: &RaftMessageKind,
        snapshot: Option<LogIndex>,
        now: Tick,
    ) {
        let mut transfers = self.progress.values().filter_map(|p| p.transfer.as_ref());
        let same_snapshot = transfers.find(|t| snapshot.is_some() && t.snapshot == snapshot);
        let bytes = same_snapshot.map_or_else(|| pack(kind).into(), |t| Arc::clone(&t.bytes));
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

    /// Sends or resends the chunk at the transfer's current offset.
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

    /// Handles the response to a chunk: sends the next chunk or, after the last one, the entries
    /// that follow the message.
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
        // Only a response to the newest chunk counts. An earlier chunk may have been sent twice and
        // so may be answered again.
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

    /// Collects the chunks of a leader's message and returns the message once it is complete.
    pub(super) fn handle_chunk(&mut self, from: MemberId, chunk: Chunk) -> Option<RaftMessageKind> {
        let transfer_id = chunk.transfer_id;
        let incoming = self.incoming_transfer(from, &chunk)?;
        let accepted = incoming.accepts(chunk.offset, &chunk.bytes);
        if accepted {
            incoming.bytes.extend_from_slice(&chunk.bytes);
            incoming.received += chunk.bytes.len();
        }
        let received = incoming.received as u64;
        // The transfer stays recorded after it is complete, so that a repeated chunk is answered;
        // its bytes are not needed any more.
        let complete = accepted && incoming.received == incoming.total_size;
        let message = complete.then(|| std::mem::take(&mut incoming.bytes));
        let sent_at = chunk.sent_at;
        self.send(from, RaftMessageKind::ChunkResponse { transfer_id, received, sent_at });
        self.decode_chunked_message(&message?)
    }

    /// The transfer that a chunk belongs to, which replaces the current one if it is another.
    /// `None` if the whole message would be too large.
    fn incoming_transfer(&mut self, from: MemberId, chunk: &Chunk) -> Option<&mut ChunkedReceive> {
        let (term, transfer_id) = (self.state.term, chunk.transfer_id);
        let is_same =
            |t: &ChunkedReceive| (t.leader, t.term, t.transfer_id) == (from, term, transfer_id);
        if !self.incoming.as_ref().is_some_and(is_same) {
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

    /// Decodes a message received in chunks. Kinds that leaders don't send in chunks are ignored.
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
