//! Holds back what must not leave before a write has reached the disk.
use crate::base::ids::MemberId;
use crate::base::time::Tick;
use crate::net::rpc::raft_messages::{LogPosition, RaftMessage, RaftMessageKind};
use crate::raft::node::RaftNode;
use crate::raft::state::UnsavedChanges;
use crate::raft::storage::WriteBatch;
use std::collections::VecDeque;

/// A write takes this long only when the disk is in trouble.
const STALL_MS: u64 = 700;

const WRITE_AGAIN_MS: u64 = 200;

/// Between the Raft group and the disk: one write at a time, whatever comes meanwhile goes into the
/// next one, and messages wait that would promise what is not on disk yet.
#[derive(Default)]
pub struct LogPersister {
    started: u64,
    under_way: Option<UnderWay>,
    /// The last write failed; the next try comes then.
    retry: Option<Tick>,
    /// Messages, each behind the write it stands on.
    held: VecDeque<(u64, MemberId, RaftMessage)>,
}

struct UnderWay {
    dirty: UnsavedChanges,
    last: LogPosition,
    since: Tick,
}

impl LogPersister {
    /// The messages that may leave now. An term or a vote that is not on disk holds all of them
    /// back but trial votes, which promise nothing; what entries they tell of is the Raft group's care.
    pub fn leaving(&mut self, raft: &mut RaftNode) -> Vec<(MemberId, RaftMessage)> {
        let behind = if raft.unsaved.hard_state {
            Some(self.started + 1)
        } else {
            self.under_way.as_ref().filter(|w| w.dirty.hard_state).map(|_| self.started)
        };
        let mut free = Vec::new();
        for (to, message) in raft.outbox.drain(..) {
            let trial = matches!(
                message.kind,
                RaftMessageKind::RequestVote { pre_vote: true, .. }
                    | RaftMessageKind::VoteResponse { pre_vote: true, .. }
            );
            match behind {
                Some(number) if !trial => self.held.push_back((number, to, message)),
                _ => free.push((to, message)),
            }
        }
        free
    }
    /// The next write, if there is one to be started now.
    pub fn start(&mut self, raft: &mut RaftNode, now: Tick) -> Option<WriteBatch> {
        let waits = self.under_way.is_some() || self.retry.is_some_and(|t| now < t);
        if waits || raft.unsaved == UnsavedChanges::default() {
            return None;
        }
        let dirty = std::mem::take(&mut raft.unsaved);
        let batch = WriteBatch::of(&raft.state, &dirty);
        self.started += 1;
        self.under_way = Some(UnderWay { dirty, last: raft.last_position(), since: now });
        Some(batch)
    }
    /// The write under way has ended; gives the messages that waited for it.
    pub fn ended(
        &mut self,
        raft: &mut RaftNode,
        well: bool,
        now: Tick,
    ) -> Vec<(MemberId, RaftMessage)> {
        let Some(UnderWay { dirty, last, .. }) = self.under_way.take() else {
            return Vec::new();
        };
        if !well {
            raft.unsaved.add(dirty);
            self.retry = Some(now.plus(WRITE_AGAIN_MS));
            return Vec::new();
        }
        self.retry = None;
        raft.log_persisted(last);
        let mut free = Vec::new();
        while self.held.front().is_some_and(|(number, ..)| *number <= self.started) {
            free.extend(self.held.pop_front().map(|(_, to, message)| (to, message)));
        }
        free
    }
    /// What waited was promised under an id that is no longer used.
    pub fn forget(&mut self) {
        self.held.clear();
    }
    /// The disk refuses writes, or does not answer.
    pub fn troubled(&self, now: Tick) -> bool {
        self.retry.is_some()
            || self.under_way.as_ref().is_some_and(|w| now.since(w.since) > STALL_MS)
    }
}
