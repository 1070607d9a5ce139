//! Reads from replicas: the position that a replica must have reached, and the order in which
//! replicas are tried.
//!
//! The types do no I/O. The cluster view keeps one `ReadWatermarks` for each service;
//! `statement_execution` takes from it the position that a replica has to wait for.
use crate::base::ids::Position;
use crate::base::time::Tick;
use std::collections::VecDeque;

/// The interval of lease renewals in ms.
pub(crate) const RENEWAL_INTERVAL_MS: u64 = 450;

/// How long after a read renewals keep requesting watermarks, in ms.
pub(crate) const RECENT_READ_MS: u64 = 10_000;

/// A new watermark is requested if the newest one expires within this time, in ms: it has to last
/// until the next renewal is answered.
pub(crate) const WATERMARK_AHEAD_MS: u64 = 2 * RENEWAL_INTERVAL_MS;

/// The minimum interval in ms between two renewals when sessions wait for a watermark or a larger
/// quota.
pub(crate) const URGENT_RENEWAL_INTERVAL_MS: u64 = 200;

/// How long reads skip a replica after it lagged behind the position of a read, in ms.
pub(crate) const LAGGING_SKIP_MS: u64 = 100;

/// Added to the priority value of a read that falls back to the primary because no replica can
/// serve it, so that it is queued behind statements that only the primary can run.
pub(crate) const PRIMARY_FALLBACK_PENALTY: u8 = 100;

/// Recent positions of the primary of a service, by age.
#[derive(Clone, Debug, Default)]
pub struct ReadWatermarks {
    /// From the oldest to the newest, at least `MIN_SPACING_MS` apart.
    spaced: VecDeque<Watermark>,
    newest: Option<Watermark>,
}

/// A position that covers every commit acknowledged before `sent_at`.
#[derive(Clone, Copy, Debug)]
struct Watermark {
    sent_at: Tick,
    position: Position,
}

/// The maximum number of watermarks kept for a service. With their spacing they cover about 4 s.
const MAX_WATERMARKS: usize = 64;

/// The minimum time in ms between two watermarks that are kept.
const MIN_SPACING_MS: u64 = 60;

impl Watermark {
    /// Whether a read that started at `started_at` sees all commits older than `stale_ms` at this
    /// position. One ms is added because times are rounded down to whole milliseconds.
    fn covers(&self, started_at: Tick, stale_ms: u64) -> bool {
        self.sent_at.plus(stale_ms) > started_at.plus(1)
    }
}

impl ReadWatermarks {
    /// Records a position from a reply of the primary to a statement that was sent at `sent_at`. A
    /// position that is older than the newest known one is ignored.
    pub fn observe(&mut self, sent_at: Tick, position: Position) {
        if self.newest.is_some_and(|newest| newest.sent_at > sent_at || newest.position > position)
        {
            return;
        }
        let watermark = Watermark { sent_at, position };
        self.newest = Some(watermark);
        let last = self.spaced.back();
        if last.is_none_or(|last| sent_at.since(last.sent_at) >= MIN_SPACING_MS) {
            if self.spaced.len() == MAX_WATERMARKS {
                self.spaced.pop_front();
            }
            self.spaced.push_back(watermark);
        }
    }

    /// Whether reads that start within `ahead_ms` from now will find a watermark that is at most
    /// `stale_ms` old.
    pub fn remains_fresh(&self, now: Tick, stale_ms: u64, ahead_ms: u64) -> bool {
        self.newest.is_some_and(|newest| newest.covers(now.plus(ahead_ms), stale_ms))
    }

    /// The lowest known position at which a read that started at `started_at` sees all commits
    /// older than `stale_ms`, if there is one.
    pub fn required_position(&self, started_at: Tick, stale_ms: u64) -> Option<Position> {
        let covers = |watermark: &&Watermark| watermark.covers(started_at, stale_ms);
        let found = self.spaced.iter().find(covers).or(self.newest.as_ref().filter(covers));
        found.map(|watermark| watermark.position)
    }
}

/// A lower bound of the time in ms between the leader's sending of the answer that arrived at
/// `answer_received_at` and `sent_at`. It leaves out the answer's time in transit, and one ms is
/// subtracted because times are rounded down to whole milliseconds. Returns `None` if `sent_at` is
/// before the arrival of the answer.
pub fn elapsed_lower_bound_ms(answer_received_at: Tick, sent_at: Tick) -> Option<u64> {
    sent_at.0.checked_sub(answer_received_at.0)?.checked_sub(1)
}

/// The rank of a replica for reads; the lowest is the best.
///
/// Ties among replicas that need a new connection are broken by an order that differs between
/// poolers, so that together they use all replicas while each keeps connections to few of them.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct ReplicaRank {
    /// The number of running and waiting statements, plus a penalty for another zone.
    pub(crate) load: usize,
    /// Whether a connection would have to be opened, because none is idle.
    pub(crate) needs_connection: bool,
    /// Orders replicas that are equal otherwise.
    pub(crate) tie_break: u64,
}
