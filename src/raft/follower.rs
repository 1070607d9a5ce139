//! The receiving side of replication: a leader's entries and snapshots, and their acknowledgement
//! once they are on disk.
use super::log::LogMismatch;
use super::node::RaftNode;
use crate::base::ids::{LogIndex, MemberId, Term};
use crate::base::time::Tick;
use crate::net::rpc::raft_messages::{LogEntry, LogPosition, RaftMessageKind, Snapshot};

/// The answer to a leader of a term that has passed. It carries no time: the sender may lead this
/// term by now, and may have been restarted since, with another clock.
pub(super) const STALE_TERM_RESPONSE: RaftMessageKind =
    RaftMessageKind::AppendResponse { match_index: LogIndex(0), success: false, sent_at: 0 };

/// An acknowledgement that waits until the entries are on disk.
#[derive(Clone, Copy, Debug)]
pub(super) struct PendingAck {
    leader: MemberId,
    /// The last entry to acknowledge.
    match_index: LogIndex,
    /// The time of the leader's message.
    sent_at: u64,
}

impl RaftNode {
    /// Follows the sender as the leader of its term, unless that term has passed (the Raft paper,
    /// section 5.1). Returns whether it does.
    pub(super) fn accept_leader(&mut self, from: MemberId, term: Term, now: Tick) -> bool {
        if term < self.state.term {
            return false;
        }
        self.advance_term(term);
        self.become_follower(Some(from), now);
        self.last_leader_contact = Some(now);
        true
    }

    /// Whether a leader's message, or one before it, holds something that this program can't read.
    /// Checked before anything of it is taken, so that the state on disk stays readable.
    pub(super) fn is_unreadable(&mut self, kind: &RaftMessageKind) -> bool {
        if let Err(error) = (self.message_validator)(kind) {
            self.unreadable_message = Some(error);
        }
        self.unreadable_message.is_some()
    }

    /// Takes entries into the log (the Raft paper, section 5.3). A message without any is a
    /// heartbeat.
    pub(super) fn handle_append_entries(
        &mut self,
        leader: MemberId,
        previous: LogPosition,
        entries: Vec<LogEntry>,
        leader_commit: LogIndex,
        sent_at: u64,
    ) {
        let heartbeat = entries.is_empty();
        match self.append_to_log(previous, entries) {
            Ok(last_agreed) => {
                // Entries after these may still conflict with the leader's (figure 2).
                self.commit_index = self.commit_index.max(leader_commit.min(last_agreed));
                let ack = PendingAck { leader, match_index: last_agreed, sent_at };
                self.acknowledge(ack, heartbeat);
            }
            Err(LogMismatch { hint }) => {
                let kind =
                    RaftMessageKind::AppendResponse { match_index: hint, success: false, sent_at };
                self.send(leader, kind);
            }
        }
    }

    /// Takes a snapshot in place of the log up to its last included entry (the Raft paper, section
    /// 7). Entries after that are kept if the log agrees with the snapshot there.
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

    /// Acknowledges only what is on disk. New entries wait for it; a heartbeat is answered at once
    /// with what there is, as a disk that stalls does not make this member unreachable.
    fn acknowledge(&mut self, ack: PendingAck, heartbeat: bool) {
        if ack.match_index > self.durable_index {
            self.pending_ack = Some(ack);
            if !heartbeat {
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

    /// The disk holds everything up to this entry, if it is still the one in the log.
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
