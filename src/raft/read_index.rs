//! Linearizable reads without log entries: ReadIndex (the dissertation, section 6.4).
//!
//! A read is answered from the applied state once the state machine has reached the read's index
//! and a quorum has answered messages that the leader sent after the read was requested. All reads
//! requested while a heartbeat round is in flight share the next round.
use super::limits::READ_ROUND_TIMEOUT_MS;
use super::node::{RaftNode, RaftRole};
use crate::base::ids::{LogIndex, Term};
use crate::base::time::Tick;

/// A linearizable read that waits for confirmation.
#[derive(Clone, Debug, PartialEq)]
pub struct ReadIndex {
    /// The leader's term when the read was requested.
    term: Term,
    /// The commit index when the read was requested: every entry that any leader had acknowledged
    /// by then is at or below this index.
    pub index: LogIndex,
    /// When the read was requested.
    pub requested_at: Tick,
}

/// Whether a [`ReadIndex`] may be answered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReadConfirmation {
    /// No quorum has answered yet.
    Pending,
    /// This member was still the leader after the read was requested.
    Confirmed,
    /// This member is no longer the leader of the read's term, so the read will never be confirmed.
    LeadershipLost,
}

impl RaftNode {
    /// Registers a linearizable read. `None` if this member is not the leader, or has not committed
    /// an entry of its term yet and so does not know the commit index (the dissertation, section
    /// 6.4, step 1). `tick` starts the heartbeat round that confirms the read.
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

    /// Whether a quorum has answered, in the read's term, messages that were sent after the read
    /// was requested.
    pub fn read_confirmation(&self, read: &ReadIndex) -> ReadConfirmation {
        if !self.is_leader() || self.state.term != read.term {
            return ReadConfirmation::LeadershipLost;
        }
        // A message sent in the same millisecond may have been sent before the read was requested.
        match self.quorum_answered(|sent_at| sent_at > read.requested_at) {
            true => ReadConfirmation::Confirmed,
            false => ReadConfirmation::Pending,
        }
    }

    /// When to start the next heartbeat round for pending reads: once a quorum has answered the
    /// round in flight or that round has timed out. `None` if no read needs one.
    pub(super) fn next_read_round(&self) -> Option<Tick> {
        let earliest = self.unserved_read?.plus(1);
        let answered = self.quorum_answered(|sent_at| sent_at >= self.round_started);
        Some(match answered {
            true => earliest,
            false => earliest.max(self.round_started.plus(READ_ROUND_TIMEOUT_MS)),
        })
    }
}
