//! The log in memory: lookup, appending a leader's entries, and compaction into a snapshot.
use super::limits::{
    COMPACT_BYTES, COMPACT_ENTRIES, FORCED_COMPACT_BYTES, FORCED_COMPACT_ENTRIES, PRESENT_WITHIN_MS,
};
use super::node::RaftNode;
use super::replication::Progress;
use crate::base::ids::{LogIndex, Term};
use crate::net::rpc::raft_messages::{LogEntry, LogPosition, Snapshot};
use serde_bytes::ByteBuf;

/// The log does not hold the leader's previous entry.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct LogMismatch {
    /// The newest entry that may agree with the leader's log.
    pub(super) hint: LogIndex,
}

impl RaftNode {
    /// The position of the newest entry, in the log or in the snapshot.
    pub fn last_position(&self) -> LogPosition {
        self.state.log.last().map_or(self.state.snapshot.last_included, LogEntry::position)
    }

    /// The term of the entry at this index, if the log or the snapshot's end still tells.
    pub(super) fn term_at(&self, index: LogIndex) -> Option<Term> {
        let base = self.state.snapshot.last_included;
        if index == base.index {
            return Some(base.term);
        }
        self.offset_of(index).map(|at| self.state.log[at].term)
    }

    /// Where in `state.log` the entry at this index is.
    fn offset_of(&self, index: LogIndex) -> Option<usize> {
        let base = self.state.snapshot.last_included.index;
        let at = index.0.checked_sub(base.0 + 1)? as usize;
        (at < self.state.log.len()).then_some(at)
    }

    /// Copies of the committed entries after `applied`, in order.
    pub fn committed_entries_after(&self, applied: LogIndex) -> Vec<LogEntry> {
        let newly_committed = |e: &&LogEntry| e.index > applied && e.index <= self.commit_index;
        self.state.log.iter().filter(newly_committed).cloned().collect()
    }

    /// Takes a leader's entries into the log (the Raft paper, section 5.3): accepted only if the
    /// log holds `previous`; entries that conflict with the leader's are removed with all that
    /// follow them. Returns the last entry that is now known to agree with the leader's log.
    pub(super) fn append_to_log(
        &mut self,
        previous: LogPosition,
        entries: Vec<LogEntry>,
    ) -> Result<LogIndex, LogMismatch> {
        let base = self.state.snapshot.last_included.index;
        // All that the snapshot covers is committed, so it agrees with every leader's log (5.4).
        let agrees = previous.index < base || self.term_at(previous.index) == Some(previous.term);
        if !agrees {
            let before = LogIndex(previous.index.0.saturating_sub(1));
            let hint = before.min(self.last_position().index).max(self.commit_index);
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

    /// Removes the entry at this index, which lies after the snapshot, and all that follow it.
    fn truncate_log_from(&mut self, index: LogIndex) {
        let base = self.state.snapshot.last_included.index;
        self.state.log.truncate((index.0 - base.0 - 1) as usize);
        self.durable_index = self.durable_index.min(LogIndex(index.0 - 1));
    }

    /// Replaces the log up to `applied` by a snapshot once it is long (the Raft paper, section 7).
    /// `state` encodes the state machine as it is after `applied`.
    pub fn compact_log(&mut self, applied: LogIndex, state: impl FnOnce() -> Vec<u8>) {
        let Some(at) = self.offset_of(applied) else {
            return;
        };
        let covered = &self.state.log[..=at];
        let bytes: usize = covered.iter().map(LogEntry::approximate_size).sum();
        if at < COMPACT_ENTRIES && bytes < COMPACT_BYTES {
            return;
        }
        // A snapshot being sent is useful only with the log that follows it, and a member that is
        // present gets the entries it lacks sooner than another snapshot.
        let forced = at >= FORCED_COMPACT_ENTRIES || bytes >= FORCED_COMPACT_BYTES;
        if !forced && self.present_member_needs_log_before(applied) {
            return;
        }
        let newest_members = covered.iter().rev().find_map(LogEntry::membership);
        let members = newest_members.unwrap_or(&self.state.snapshot.members).clone();
        let last_included = self.state.log[at].position();
        self.state.snapshot = Snapshot { last_included, members, state: ByteBuf::from(state()) };
        self.state.log.drain(..=at);
        self.unsaved.snapshot = true;
        self.unsaved.mark_log_from(LogIndex(0));
    }

    /// Whether a member that is present would need a snapshot if the log began after this entry.
    fn present_member_needs_log_before(&self, applied: LogIndex) -> bool {
        let needs = |p: &Progress| p.transfer.is_some() || p.next_index <= applied;
        let present = |p: &Progress| self.clock.since(p.last_acked) < PRESENT_WITHIN_MS;
        self.progress.values().any(|p| present(p) && needs(p))
    }
}
