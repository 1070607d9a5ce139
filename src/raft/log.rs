//! The in-memory log: lookup, appending a leader's entries, and compaction into a snapshot.
use super::limits::{
    COMPACT_BYTES, COMPACT_ENTRIES, FORCED_COMPACT_BYTES, FORCED_COMPACT_ENTRIES, PRESENT_WITHIN_MS,
};
use super::node::RaftNode;
use super::replication::Progress;
use crate::base::ids::{LogIndex, Term};
use crate::net::rpc::raft_messages::{LogEntry, LogPosition, Snapshot};
use serde_bytes::ByteBuf;

/// The log does not contain the leader's previous entry.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct LogMismatch {
    /// The newest index at which the log may still match the leader's.
    pub(super) hint: LogIndex,
}

impl RaftNode {
    /// The position of the last entry: in the log or, if that is empty, in the snapshot.
    pub fn last_position(&self) -> LogPosition {
        self.state.log.last().map_or(self.state.snapshot.last_included, LogEntry::position)
    }

    /// The term of the entry at this index, if it is in the log or is the snapshot's last included
    /// entry.
    pub(super) fn term_at(&self, index: LogIndex) -> Option<Term> {
        let base = self.state.snapshot.last_included;
        if index == base.index {
            return Some(base.term);
        }
        self.offset_of(index).map(|offset| self.state.log[offset].term)
    }

    /// The offset in `state.log` of the entry at this index.
    fn offset_of(&self, index: LogIndex) -> Option<usize> {
        let base = self.state.snapshot.last_included.index;
        let offset = index.0.checked_sub(base.0 + 1)? as usize;
        (offset < self.state.log.len()).then_some(offset)
    }

    /// Copies of the committed entries after `applied`, in order.
    pub fn committed_entries_after(&self, applied: LogIndex) -> Vec<LogEntry> {
        let newly_committed = |e: &&LogEntry| e.index > applied && e.index <= self.commit_index;
        self.state.log.iter().filter(newly_committed).cloned().collect()
    }

    /// Appends a leader's entries to the log (the Raft paper, section 5.3). They are accepted only
    /// if the log contains the entry at `previous`. An entry that conflicts with the leader's is
    /// removed with all entries that follow it. Returns the last index at which the log is now
    /// known to match the leader's.
    pub(super) fn append_to_log(
        &mut self,
        previous: LogPosition,
        entries: Vec<LogEntry>,
    ) -> Result<LogIndex, LogMismatch> {
        let base = self.state.snapshot.last_included.index;
        // All entries in the snapshot are committed, so they match every leader's log (the Raft
        // paper, section 5.4).
        let matches = previous.index < base || self.term_at(previous.index) == Some(previous.term);
        if !matches {
            let earlier = LogIndex(previous.index.0.saturating_sub(1));
            let hint = earlier.min(self.last_position().index).max(self.commit_index);
            return Err(LogMismatch { hint });
        }
        let last_new = LogIndex(previous.index.0 + entries.len() as u64);
        let mut members_changed = false;
        for entry in entries {
            if entry.index <= base {
                continue;
            }
            match self.term_at(entry.index) {
                Some(term) if term == entry.term => continue,
                Some(_) => {
                    self.truncate_log_from(entry.index);
                    members_changed = true;
                }
                None => {}
            }
            self.unsaved.mark_log_from(entry.index);
            members_changed |= entry.membership().is_some();
            self.state.log.push(entry);
        }
        if members_changed {
            self.reload_members();
        }
        Ok(last_new.max(base))
    }

    /// Removes the entry at this index, which must lie after the snapshot, and all that follow it.
    fn truncate_log_from(&mut self, index: LogIndex) {
        let base = self.state.snapshot.last_included.index;
        self.state.log.truncate((index.0 - base.0 - 1) as usize);
        self.durable_index = self.durable_index.min(LogIndex(index.0 - 1));
    }

    /// Replaces the log up to `applied` by a snapshot if the log is long (the Raft paper, section
    /// 7). `state` encodes the state machine as of `applied`.
    pub fn compact_log(&mut self, applied: LogIndex, state: impl FnOnce() -> Vec<u8>) {
        let Some(offset) = self.offset_of(applied) else {
            return;
        };
        let covered = &self.state.log[..=offset];
        let bytes: usize = covered.iter().map(LogEntry::approximate_size).sum();
        if offset < COMPACT_ENTRIES && bytes < COMPACT_BYTES {
            return;
        }
        // A snapshot that is being sent is useful only with the log that follows it, and a member
        // that is present gets the missing entries sooner than another snapshot.
        let forced = offset >= FORCED_COMPACT_ENTRIES || bytes >= FORCED_COMPACT_BYTES;
        if !forced && self.present_member_needs_log_up_to(applied) {
            return;
        }
        let newest_members = covered.iter().rev().find_map(LogEntry::membership);
        let members = newest_members.unwrap_or(&self.state.snapshot.members).clone();
        let last_included = self.state.log[offset].position();
        self.state.snapshot = Snapshot { last_included, members, state: ByteBuf::from(state()) };
        self.state.log.drain(..=offset);
        self.unsaved.snapshot = true;
        self.unsaved.mark_log_from(LogIndex(0));
    }

    /// Whether a member that is present would need another snapshot if the log up to this index
    /// were compacted.
    fn present_member_needs_log_up_to(&self, applied: LogIndex) -> bool {
        let needs_log = |p: &Progress| p.transfer.is_some() || p.next_index <= applied;
        let is_present = |p: &Progress| self.clock.since(p.last_acked) < PRESENT_WITHIN_MS;
        self.progress.values().any(|p| is_present(p) && needs_log(p))
    }
}
