//! How far a replica must be to serve a read, and in which order replicas are tried.
use crate::base::ids::Position;
use crate::base::time::Tick;
use crate::pooler::server::RENEW_MS;
use std::collections::VecDeque;

/// Positions seen at the primary: a pair (s, p) says that p covers every commit acknowledged
/// before s.
#[derive(Clone, Debug, Default)]
pub struct ReadWatermarks {
    kept: VecDeque<(Tick, Position)>,
    newest: Option<(Tick, Position)>,
}

const FLOORS_KEPT: usize = 64;

const FLOOR_STEP_MS: u64 = 60;

impl ReadWatermarks {
    pub fn learn(&mut self, sent: Tick, position: Position) {
        if self.newest.is_some_and(|(s, p)| s > sent || p > position) {
            return;
        }
        self.newest = Some((sent, position));
        if self.kept.back().is_none_or(|(s, _)| sent.since(*s) >= FLOOR_STEP_MS) {
            if self.kept.len() == FLOORS_KEPT {
                self.kept.pop_front();
            }
            self.kept.push_back((sent, position));
        }
    }
    /// Whether reads that begin within `ahead` ms from now will find a floor.
    pub fn lasts(&self, now: Tick, stale_ms: u64, ahead: u64) -> bool {
        self.newest.is_some_and(|(s, _)| s.plus(stale_ms) > now.plus(ahead + 1))
    }
    /// The least demanding position that is no older than `stale_ms` for a read begun at `began`.
    pub fn needed(&self, began: Tick, stale_ms: u64) -> Option<Position> {
        // Times are cut to whole milliseconds, so one is kept in hand.
        let fresh = |s: Tick| s.plus(stale_ms) > began.plus(1);
        let old_enough = self.kept.iter().find(|(s, _)| fresh(*s));
        old_enough.or(self.newest.as_ref().filter(|(s, _)| fresh(*s))).map(|(_, p)| *p)
    }
}

/// How long after the answer at `heard` something was sent, as the leader may count it from its own
/// sending of that answer: never more than it was. None for what was sent before.
pub fn after(heard: Tick, sent: Tick) -> Option<u64> {
    // Times are cut to whole milliseconds, so one is kept in hand.
    sent.0.checked_sub(heard.0)?.checked_sub(1)
}

/// Fresh floors are asked for with each renewal while reads came within this time.
pub(crate) const READ_LATELY_MS: u64 = 10_000;

/// A floor should serve until what the next renewal brings is there.
pub(crate) const FLOOR_AHEAD_MS: u64 = 2 * RENEW_MS;

/// Reads that can be had nowhere ask for floors this often.
pub(crate) const ASK_MS: u64 = 200;

/// A replica that lacked the floor is asked again after this.
pub(crate) const LAG_SKIPPED_MS: u64 = 100;

/// Added to the priority of a read that is at the primary only because no replica can have it.
pub(crate) const BEHIND: u8 = 100;

/// How good a replica is to read from; the least is the best. Where a connection has to be opened,
/// each pooler has an order of its own: all of them spread over all replicas, and each keeps few.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct ReplicaRank {
    pub(crate) load: usize,
    /// A connection would have to be opened.
    pub(crate) fresh: bool,
    pub(crate) tie: u64,
}
