//! The follower's side of replication: it takes entries and snapshots from the leader and
//! acknowledges them once they are on disk.
use super::log::LogMismatch;
use super::node::RaftNode;
use crate::base::ids::{LogIndex, MemberId, Term};
use crate::base::time::Tick;
use crate::net::rpc::raft_messages::{LogEntry, LogPosition, RaftMessageKind, Snapshot};

/// The response to a leader of an earlier term. It carries no timestamp: the sender may lead the
/// current term by now, and may have been restarted since, with another clock.
pub(super) const STALE_TERM_RESPONSE: RaftMessageKind =
    RaftMessageKind::AppendResponse { match_index: LogIndex(0), success: false, sent_at: 0 };

/// An acknowledgement that waits until the entries are on disk.
#[derive(Clone, Copy, Debug)]
pub(super) struct PendingAck {
    leader: MemberId,
    /// The index of the last entry to acknowledge.
    match_index: LogIndex,
    /// When the leader sent the message, by its own clock.
    sent_at: u64,
}

impl RaftNode {
    /// Follows the sender as the leader of its term unless this member is in a later term already
    /// (the Raft paper, section 5.1). Returns whether the sender is accepted.
    pub(super) fn accept_leader(&mut self, from: MemberId, term: Term, now: Tick) -> bool {
        if term < self.state.term {
            return false;
        }
        self.advance_term(term);
        self.become_follower(Some(from), now);
        self.last_leader_contact = Some(now);
        true
    }

    /// Whether this program can't read a leader's message or could not read an earlier one. This is
    /// checked before any of the message is applied, so that the state on disk stays readable.
    pub(super) fn is_unreadable(&mut self, kind: &RaftMessageKind) -> bool {
        if let Err(error) = (self.message_validator)(kind) {
            self.unreadable_message = Some(error);
        }
        self.unreadable_message.is_some()
    }

    /// Appends a leader's entries to the log (the Raft paper, section 5.3). A message without
    /// entries is a heartbeat.
    pub(super) fn handle_append_entries(
        &mut self,
        leader: MemberId,
        previous: LogPosition,
        entries: Vec<LogEntry>,
        leader_commit: LogIndex,
        sent_at: u64,
    ) {
        let is_heartbeat = entries.is_empty();
        match self.append_to_log(previous, entries) {
            Ok(match_index) => {
                // Entries after `match_index` may still conflict with the leader's (the Raft paper,
                // figure 2).
                self.commit_index = self.commit_index.max(leader_commit.min(match_index));
                let ack = PendingAck { leader, match_index, sent_at };
                self.acknowledge(ack, is_heartbeat);
            }
            Err(LogMismatch { hint }) => {
                let kind =
                    RaftMessageKind::AppendResponse { match_index: hint, success: false, sent_at };
                self.send(leader, kind);
            }
        }
    }

    /// Replaces the log up to the snapshot's last included entry by the snapshot (the Raft paper,
    /// section 7). Later entries are kept if the log matches the snapshot at that entry.
    pub(super) fn handle_install_snapshot(
        &mut self,
        leader: MemberId,
        snapshot: Snapshot,
        sent_at: u64,
    ) {
        let last_included = snapshot.last_included;
        if last_included.index > self.commit_index {
            if self.term_at(last_included.index) == Some(last_included.term) {
                self.state.log.retain(|e| e.index > last_included.index);
            } else {
                self.state.log.clear();
            }
            self.state.snapshot = snapshot;
            self.commit_index = last_included.index;
            self.durable_index = LogIndex(0);
            self.reload_members();
            self.unsaved.snapshot = true;
            self.unsaved.mark_log_from(LogIndex(0));
        }
        let ack = PendingAck { leader, match_index: last_included.index, sent_at };
        self.acknowledge(ack, false);
    }

    /// Acknowledges only entries that are on disk. The acknowledgement of new entries waits for the
    /// write. A heartbeat is answered at once with the durable index, so that a stalled disk does
    /// not make this member look unreachable.
    fn acknowledge(&mut self, ack: PendingAck, is_heartbeat: bool) {
        if ack.match_index > self.durable_index {
            self.pending_ack = Some(ack);
            if !is_heartbeat {
                return;
            }
        }
        self.send_ack(ack);
    }

    fn send_ack(&mut self, ack: PendingAck) {
        let PendingAck { leader, match_index, sent_at } = ack;
        let match_index = match_index.min(self.durable_index);
        self.send(leader, RaftMessageKind::AppendResponse { match_index, success: true, sent_at });
    }

    /// Records that the log is on disk up to this entry, unless the entry has been replaced since.
    pub fn log_persisted(&mut self, last: LogPosition) {
        if self.term_at(last.index) == Some(last.term) {
            self.durable_index = self.durable_index.max(last.index);
        }
        self.advance_commit_index();
        if let Some(ack) = self.pending_ack
            && self.leader == Some(ack.leader)
        {
            if ack.match_index <= self.durable_index {
                self.pending_ack = None;
            }
            self.send_ack(ack);
        }
    }
}
