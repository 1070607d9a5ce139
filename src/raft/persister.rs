//! Decides what is written to disk when, and holds messages back until what they promise is durable.
//!
//! The controller asks it after every step for the messages that may be sent and the next write, and
//! tells it when a write has ended. It knows no disk, thread or clock: the write itself is done by
//! the storage thread.
use crate::base::ids::MemberId;
use crate::base::time::Tick;
use crate::net::rpc::raft_messages::{LogPosition, RaftMessage, RaftMessageKind};
use crate::raft::node::RaftNode;
use crate::raft::state::UnsavedChanges;
use crate::raft::storage::WriteBatch;
use std::collections::VecDeque;

/// A write that takes longer than this, in ms, counts as a failing disk.
const STALL_MS: u64 = 700;

/// After a failed write the next attempt is made this much later, in ms.
const RETRY_DELAY_MS: u64 = 200;

/// Stands between a [`RaftNode`] and its storage. One write is in flight at a time, and what changes
/// meanwhile goes into the next one.
///
/// A member must not act on a term or a vote before it is durable (the Raft paper, figure 2: hard
/// state is updated on stable storage before responding to RPCs). So messages wait for the write
/// that contains what they rest on.
#[derive(Default)]
pub struct LogPersister {
    /// How many writes have begun; numbers them.
    writes_started: u64,
    in_flight: Option<InFlightWrite>,
    /// The last write failed; the next attempt is due at this time.
    retry_at: Option<Tick>,
    /// In the order in which they are to be sent.
    held: VecDeque<HeldMessage>,
}

struct InFlightWrite {
    changes: UnsavedChanges,
    /// The end of the log when the write began.
    last_position: LogPosition,
    started: Tick,
}

/// A message that waits for a write.
struct HeldMessage {
    /// The number of that write.
    write: u64,
    to: MemberId,
    message: RaftMessage,
}

/// How a write ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WriteOutcome {
    /// All of it is durable.
    Durable,
    /// None of it is on disk.
    Failed,
}

impl LogPersister {
    /// Takes the node's outbox and gives those messages that may be sent now, each with its receiver.
    ///
    /// While a term or a vote is not durable, all others wait; only pre-votes promise nothing (the
    /// dissertation, section 9.6). Entries need no waiting here: [`RaftNode`] acknowledges them only
    /// after [`RaftNode::log_persisted`].
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

    /// The number of the write that makes the node's present hard state durable; none if it is.
    fn awaited_write(&self, raft: &RaftNode) -> Option<u64> {
        if raft.unsaved.hard_state {
            return Some(self.writes_started + 1);
        }
        let in_flight = self.in_flight.as_ref().filter(|write| write.changes.hard_state);
        in_flight.map(|_| self.writes_started)
    }

    /// Begins the next write and gives what it consists of; none if nothing has changed, a write is
    /// in flight, or the time for a retry has not come.
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

    /// Ends the write in flight. Gives the messages that waited for it, each with its receiver; after
    /// a failure they go on waiting, and its changes belong to the next write.
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

    /// The held messages whose write is durable.
    fn take_released(&mut self) -> Vec<(MemberId, RaftMessage)> {
        let mut released = Vec::new();
        while self.held.front().is_some_and(|held| held.write <= self.writes_started) {
            released.extend(self.held.pop_front().map(|held| (held.to, held.message)));
        }
        released
    }

    /// Drops all held messages: they were sent under a member id that is used no more.
    pub fn discard_held(&mut self) {
        self.held.clear();
    }

    /// Whether the disk refuses writes or takes too long for one.
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
