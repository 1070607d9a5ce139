//! Holds back what must not leave before a write has reached the disk.
use crate::base::ids::{Epoch, Index, MemberId};
use crate::base::time::Tick;
use crate::net::rpc::raft_messages::{Raft, RaftKind};
use crate::raft::node::{Dirty, Hedge};
use crate::raft::storage::Sheaf;
use std::collections::VecDeque;

/// A write takes this long only when the disk is in trouble.
const STALL_MS: u64 = 700;

const WRITE_AGAIN_MS: u64 = 200;

/// Between the hedge and the disk: one write at a time, whatever comes meanwhile goes into the
/// next one, and messages wait that would promise what is not on disk yet.
#[derive(Default)]
pub struct Desk {
    started: u64,
    under_way: Option<UnderWay>,
    /// The last write failed; the next try comes then.
    retry: Option<Tick>,
    /// Messages, each behind the write it stands on.
    held: VecDeque<(u64, MemberId, Raft)>,
}

struct UnderWay {
    dirty: Dirty,
    last: (Epoch, Index),
    since: Tick,
}

impl Desk {
    /// The messages that may leave now. An epoch or a vote that is not on disk holds all of them
    /// back but trial votes, which promise nothing; what entries they tell of is the hedge's care.
    pub fn leaving(&mut self, hedge: &mut Hedge) -> Vec<(MemberId, Raft)> {
        let behind = if hedge.dirty.hard {
            Some(self.started + 1)
        } else {
            self.under_way.as_ref().filter(|w| w.dirty.hard).map(|_| self.started)
        };
        let mut free = Vec::new();
        for (to, message) in hedge.out.drain(..) {
            let trial = matches!(
                message.kind,
                RaftKind::AskVote { trial: true, .. } | RaftKind::Vote { trial: true, .. }
            );
            match behind {
                Some(number) if !trial => self.held.push_back((number, to, message)),
                _ => free.push((to, message)),
            }
        }
        free
    }
    /// The next write, if there is one to be started now.
    pub fn start(&mut self, hedge: &mut Hedge, now: Tick) -> Option<Sheaf> {
        let waits = self.under_way.is_some() || self.retry.is_some_and(|t| now < t);
        if waits || hedge.dirty == Dirty::default() {
            return None;
        }
        let dirty = std::mem::take(&mut hedge.dirty);
        let sheaf = Sheaf::of(&hedge.kept, &dirty);
        self.started += 1;
        self.under_way = Some(UnderWay { dirty, last: hedge.last(), since: now });
        Some(sheaf)
    }
    /// The write under way has ended; gives the messages that waited for it.
    pub fn ended(&mut self, hedge: &mut Hedge, well: bool, now: Tick) -> Vec<(MemberId, Raft)> {
        let Some(UnderWay { dirty, last, .. }) = self.under_way.take() else {
            return Vec::new();
        };
        if !well {
            hedge.dirty.add(dirty);
            self.retry = Some(now.plus(WRITE_AGAIN_MS));
            return Vec::new();
        }
        self.retry = None;
        hedge.stored(last);
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
