//! Linearizable reads without log entries: ReadIndex (the dissertation, section 6.4).
//!
//! A read is answered from the applied state once the state machine has reached the read's index
//! and a quorum has answered messages that the leader sent after the read came. All reads that come
//! while one heartbeat round is in flight share the next.
use super::limits::READ_ROUND_TIMEOUT_MS;
use super::node::{RaftNode, RaftRole};
use crate::base::ids::{LogIndex, Term};
use crate::base::time::Tick;

/// A pending linearizable read, as it was when the request came.
#[derive(Clone, Debug, PartialEq)]
pub struct ReadIndex {
    /// The term in which the request came.
    term: Term,
    /// Everything that any leader had acknowledged when the request came is at or below this index.
    pub index: LogIndex,
    /// When the request came.
    pub requested_at: Tick,
}

/// Whether a [`ReadIndex`] may be answered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReadConfirmation {
    /// No quorum has answered yet.
    Pending,
    /// This member was still the leader after the request came.
    Confirmed,
    /// This member no longer leads the read's term, so it will never be confirmed.
    LeadershipLost,
}

impl RaftNode {
    /// Takes in a linearizable read. `None` if this member is not the leader, or has not committed
    /// an entry of its term yet: then it does not know the commit index (section 6.4, step 1).
    /// `tick` starts the heartbeat round that confirms the read.
    pub fn read_index(&mut self, now: Tick) -> Option<ReadIndex> {
        let RaftRole::Leader { no_op_index, .. } = self.role else {
            return None;
        };
        if self.commit_index < no_op_index {
            return None;
        }
        let read = ReadIndex { term: self.state.term, index: self.commit_index, requested_at: now };
        if self.read_confirmation(&read) != ReadConfirmation::Confirmed {
            self.unserved_read = Some(now);
        }
        Some(read)
    }

    /// Whether a quorum answered, in the read's term, messages that were sent after the read came.
    pub fn read_confirmation(&self, read: &ReadIndex) -> ReadConfirmation {
        if !self.is_leader() || self.state.term != read.term {
            return ReadConfirmation::LeadershipLost;
        }
        // A message of the same millisecond may have been sent before the read came.
        match self.quorum_answered(|sent_at| sent_at > read.requested_at) {
            true => ReadConfirmation::Confirmed,
            false => ReadConfirmation::Pending,
        }
    }

    /// When to start a heartbeat round for the reads that wait for one: once a quorum has answered
    /// the round in flight, or that one has timed out.
    pub(super) fn next_read_round(&self) -> Option<Tick> {
        let earliest = self.unserved_read?.plus(1);
        let answered = self.quorum_answered(|sent_at| sent_at >= self.round_started);
        Some(match answered {
            true => earliest,
            false => earliest.max(self.round_started.plus(READ_ROUND_TIMEOUT_MS)),
        })
    }
}
