//! Orders writes and messages: messages are held back until the state they depend on is durable.
//!
//! After every step the controller asks the persister for the messages that may be sent and for the
//! next write, and reports the outcome of each write. The persister does no I/O and reads no clock;
//! the storage thread does the writes.
use crate::base::ids::MemberId;
use crate::base::time::Tick;
use crate::net::rpc::raft_messages::{LogPosition, RaftMessage, RaftMessageKind};
use crate::raft::node::RaftNode;
use crate::raft::state::UnsavedChanges;
use crate::raft::storage::WriteBatch;
use std::collections::VecDeque;

/// A disk whose write takes longer than this, in milliseconds, counts as failing.
const STALL_MS: u64 = 700;

/// The delay between a failed write and the next attempt, in milliseconds.
const RETRY_DELAY_MS: u64 = 200;

/// Decides when the changes of a [`RaftNode`] are written and when its messages may be sent. One
/// write is in flight at a time; later changes go into the next one.
///
/// A member must not act on a term or a vote before it is durable (the Raft paper, figure 2: hard
/// state is updated on stable storage before responding to RPCs). So messages wait for the write
/// that contains the hard state they depend on.
#[derive(Default)]
pub struct LogPersister {
    /// How many writes have been started; also the number of the newest one.
    writes_started: u64,
    in_flight: Option<InFlightWrite>,
    /// When the next attempt is due, if the last write failed.
    retry_at: Option<Tick>,
    /// The messages held back, in the order in which they are to be sent.
    held: VecDeque<HeldMessage>,
}

struct InFlightWrite {
    changes: UnsavedChanges,
    /// The position of the last log entry when the write was started.
    last_position: LogPosition,
    started: Tick,
}

/// A message that is held back until a write is durable.
struct HeldMessage {
    /// The number of the write.
    write: u64,
    to: MemberId,
    message: RaftMessage,
}

/// The outcome of a write.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WriteOutcome {
    /// The whole batch is durable.
    Durable,
    /// Nothing of the batch is on disk.
    Failed,
}

impl LogPersister {
    /// Empties the node's outbox and returns the messages that may be sent now, each with its
    /// receiver.
    ///
    /// While the hard state is not durable, all messages but pre-votes are held back; a pre-vote
    /// commits the member to nothing (the dissertation, section 9.6). Unsaved log entries hold no
    /// message back, as [`RaftNode`] acknowledges them only after [`RaftNode::log_persisted`].
    pub fn take_sendable(&mut self, raft: &mut RaftNode) -> Vec<(MemberId, RaftMessage)> {
        let awaited_write = self.awaited_write(raft);
        let mut sendable = Vec::new();
        for (to, message) in raft.outbox.drain(..) {
            match awaited_write {
                Some(write) if !is_pre_vote(&message) => {
                    self.held.push_back(HeldMessage { write, to, message });
                }
                _ => sendable.push((to, message)),
            }
        }
        sendable
    }

    /// The number of the write that makes the node's current hard state durable. `None` if it is
    /// durable already.
    fn awaited_write(&self, raft: &RaftNode) -> Option<u64> {
        if raft.unsaved.hard_state {
            return Some(self.writes_started + 1);
        }
        let in_flight = self.in_flight.as_ref().filter(|write| write.changes.hard_state);
        in_flight.map(|_| self.writes_started)
    }

    /// Starts the next write and returns its batch. `None` if nothing has changed, a write is in
    /// flight, or the retry after a failed write is not due yet.
    pub fn begin_write(&mut self, raft: &mut RaftNode, now: Tick) -> Option<WriteBatch> {
        let must_wait = self.in_flight.is_some() || self.retry_at.is_some_and(|at| now < at);
        if must_wait || raft.unsaved == UnsavedChanges::default() {
            return None;
        }
        let changes = std::mem::take(&mut raft.unsaved);
        let batch = WriteBatch::new(&raft.state, &changes);
        self.writes_started += 1;
        let last_position = raft.last_position();
        self.in_flight = Some(InFlightWrite { changes, last_position, started: now });
        Some(batch)
    }

    /// Ends the write in flight and returns the messages that it held back, each with its receiver.
    /// After a failure they stay held back, and the changes become part of the next write.
    pub fn end_write(
        &mut self,
        raft: &mut RaftNode,
        outcome: WriteOutcome,
        now: Tick,
    ) -> Vec<(MemberId, RaftMessage)> {
        let Some(write) = self.in_flight.take() else {
            return Vec::new();
        };
        match outcome {
            WriteOutcome::Failed => {
                raft.unsaved.add(write.changes);
                self.retry_at = Some(now.plus(RETRY_DELAY_MS));
                Vec::new()
            }
            WriteOutcome::Durable => {
                self.retry_at = None;
                raft.log_persisted(write.last_position);
                self.take_released()
            }
        }
    }

    /// Removes and returns the held messages whose write is durable.
    fn take_released(&mut self) -> Vec<(MemberId, RaftMessage)> {
        let mut released = Vec::new();
        while self.held.front().is_some_and(|held| held.write <= self.writes_started) {
            released.extend(self.held.pop_front().map(|held| (held.to, held.message)));
        }
        released
    }

    /// Drops all held messages, because the member id of their sender is no longer in use.
    pub fn discard_held(&mut self) {
        self.held.clear();
    }

    /// Whether the last write failed or the current one takes too long.
    pub fn is_storage_failing(&self, now: Tick) -> bool {
        let stalled = |write: &InFlightWrite| now.since(write.started) > STALL_MS;
        self.retry_at.is_some() || self.in_flight.as_ref().is_some_and(stalled)
    }
}

fn is_pre_vote(message: &RaftMessage) -> bool {
    matches!(
        message.kind,
        RaftMessageKind::RequestVote { pre_vote: true, .. }
            | RaftMessageKind::VoteResponse { pre_vote: true, .. }
    )
}
