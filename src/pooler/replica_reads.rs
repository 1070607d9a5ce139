//! Reads from replicas: how far a replica must be, and in which order replicas are tried.
//!
//! Pure; the cluster view keeps one `ReadWatermarks` for each service, and the statements that are
//! run ask it which position a replica has to wait for.
use crate::base::ids::Position;
use crate::base::time::Tick;
use std::collections::VecDeque;

/// How often leases are renewed, in ms.
pub(crate) const RENEW_INTERVAL_MS: u64 = 450;

/// Watermarks are asked for with each renewal while reads came within this time, in ms.
pub(crate) const RECENT_READ_MS: u64 = 10_000;

/// A new watermark is asked for when the newest one expires within this time, in ms: it has to
/// serve until the answer to the next renewal is there.
pub(crate) const WATERMARK_AHEAD_MS: u64 = 2 * RENEW_INTERVAL_MS;

/// The least time in ms between two renewals that are sent because reads wait for a watermark.
pub(crate) const URGENT_RENEWAL_INTERVAL_MS: u64 = 200;

/// The time in ms that a replica is left out for after it lacked the position of a read.
pub(crate) const LAGGING_SKIP_MS: u64 = 100;

/// Added to the priority of a read that goes to the primary only because no replica can serve it,
/// so that it waits behind the work that only a primary can do.
pub(crate) const PRIMARY_FALLBACK_PENALTY: u8 = 100;

/// Positions seen at the primary of a service, by age.
#[derive(Clone, Debug, Default)]
pub struct ReadWatermarks {
    /// From the oldest to the newest, `MIN_SPACING_MS` apart at least.
    spaced: VecDeque<Watermark>,
    newest: Option<Watermark>,
}

/// A position that covers every commit acknowledged before `sent_at`.
#[derive(Clone, Copy, Debug)]
struct Watermark {
    sent_at: Tick,
    position: Position,
}

/// Watermarks kept for a service; with their spacing they reach back some 4 s.
const MAX_WATERMARKS: usize = 64;

/// The least time in ms between two watermarks that are kept.
const MIN_SPACING_MS: u64 = 60;

impl Watermark {
    /// Whether it shows a read started at `started_at` all that is older than `stale_ms`. One ms is
    /// added because times are rounded down to whole milliseconds.
    fn covers(&self, started_at: Tick, stale_ms: u64) -> bool {
        self.sent_at.plus(stale_ms) > started_at.plus(1)
    }
}

impl ReadWatermarks {
    /// Takes in the position that the primary gave in answer to a statement sent at `sent_at`. One
    /// that was overtaken by a newer answer changes nothing.
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

    /// Whether reads that start within `ahead_ms` from now will find a watermark no older than
    /// `stale_ms`.
    pub fn lasts(&self, now: Tick, stale_ms: u64, ahead_ms: u64) -> bool {
        self.newest.is_some_and(|newest| newest.covers(now.plus(ahead_ms), stale_ms))
    }

    /// The lowest position that lets a read started at `started_at` see all that is older than
    /// `stale_ms`, if any is known.
    pub fn required_position(&self, started_at: Tick, stale_ms: u64) -> Option<Position> {
        let covers = |watermark: &&Watermark| watermark.covers(started_at, stale_ms);
        let found = self.spaced.iter().find(covers).or(self.newest.as_ref().filter(covers));
        found.map(|watermark| watermark.position)
    }
}

/// How many ms after the leader sent the answer that arrived at `answer_received_at` something was
/// sent at `sent_at`, as a lower bound: the answer took its time, and one ms is subtracted because
/// times are rounded down to whole milliseconds. None for what was sent before the answer arrived.
pub fn elapsed_lower_bound_ms(answer_received_at: Tick, sent_at: Tick) -> Option<u64> {
    sent_at.0.checked_sub(answer_received_at.0)?.checked_sub(1)
}

/// How good a replica is to read from; the lowest is the best.
///
/// Among replicas that need a new connection the tie is broken by an order of this pooler's own, so
/// that all poolers together use all replicas while each keeps connections to few.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct ReplicaRank {
    /// Statements under way and waiting there, with a penalty for another zone.
    pub(crate) load: usize,
    /// No connection is idle: one would have to be opened.
    pub(crate) needs_connection: bool,
    /// Orders equals.
    pub(crate) tie_break: u64,
}
