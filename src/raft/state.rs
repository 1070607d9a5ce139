//! The persistent state of a member of the Raft group, and which parts of it are not saved yet.
use crate::base::ids::{LogIndex, MemberId, Term};
use crate::net::rpc::raft_messages::{LogEntry, Snapshot};

/// The persistent state of a member (the Raft paper, figure 2; section 7 for the snapshot).
#[derive(Clone, Debug, Default)]
pub struct PersistentState {
    /// The member that this state belongs to.
    pub member_id: MemberId,
    /// The newest term this member has seen.
    pub term: Term,
    /// The candidate that this member voted for in `term`.
    pub voted_for: Option<MemberId>,
    /// The newest term in which this member was the leader.
    pub last_led_term: Option<Term>,
    /// The entries after the snapshot, without gaps.
    pub log: Vec<LogEntry>,
    /// The snapshot, which replaces all entries up to its last included entry.
    pub snapshot: Snapshot,
}

/// The parts of a [`PersistentState`] that differ from the state on disk.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct UnsavedChanges {
    /// The member id, the term, the vote or the last led term has changed.
    pub hard_state: bool,
    /// The log has changed from this index on; entries may also have been truncated.
    pub log_from: Option<LogIndex>,
    /// The snapshot has changed.
    pub snapshot: bool,
}

impl UnsavedChanges {
    /// Marks the whole state as changed.
    pub fn all() -> Self {
        Self { hard_state: true, log_from: Some(LogIndex(0)), snapshot: true }
    }

    /// Marks the log as changed from this index on.
    pub(super) fn mark_log_from(&mut self, index: LogIndex) {
        self.log_from = Some(self.log_from.map_or(index, |marked| marked.min(index)));
    }

    /// Adds the changes of a write that failed.
    pub(crate) fn add(&mut self, other: UnsavedChanges) {
        self.hard_state |= other.hard_state;
        self.snapshot |= other.snapshot;
        if let Some(index) = other.log_from {
            self.mark_log_from(index);
        }
    }
}
