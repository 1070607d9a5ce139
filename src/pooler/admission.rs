//! Who waits for a connection, in which order, and how long that pays.
use crate::base::time::Tick;
use std::collections::BTreeSet;

/// How a connection can be refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AcquireError {
    /// The database can't be reached now.
    Down,
    /// All connections are in use, and waiting longer makes no sense.
    Full,
}

/// The order in which waiters get connections.
pub type QueueTicket = (u8, Tick, u64);

/// Who may open or borrow, as a value: the pool puts sockets to it.
#[derive(Debug, Default)]
pub struct Admission {
    pub cap: u32,
    pub open: u32,
    waiting: BTreeSet<QueueTicket>,
    next: u64,
}

impl Admission {
    /// May another connection be opened? If so it counts from now on.
    pub fn grow(&mut self) -> bool {
        let room = self.open < self.cap;
        self.open += u32::from(room);
        room
    }
    pub fn shrink(&mut self) {
        self.open = self.open.saturating_sub(1);
    }
    pub fn queue(&mut self, priority: u8, deadline: Tick) -> QueueTicket {
        self.next += 1;
        let turn = (priority, deadline, self.next);
        self.waiting.insert(turn);
        turn
    }
    pub fn leave(&mut self, turn: &QueueTicket) {
        self.waiting.remove(turn);
    }
    /// Whether it is this waiter's turn, with `free` connections to hand out. One that does not
    /// wait yet comes after all who do.
    pub fn turn(&self, turn: Option<&QueueTicket>, free: usize) -> bool {
        let ahead = match turn {
            Some(turn) => self.waiting.range(..turn).count(),
            None => self.waiting.len(),
        };
        let room = self.cap.saturating_sub(self.open) as usize;
        ahead < free + room
    }
    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }
    /// Waiters that a larger share would serve.
    pub fn short(&self) -> u32 {
        if self.open < self.cap { 0 } else { self.waiting.len() as u32 }
    }
    pub fn over(&self) -> bool {
        self.open > self.cap
    }
}

/// How long answers take, so that a lost one is told from a slow one: a running mean and how far
/// answers stray from it.
#[derive(Clone, Copy, Debug, Default)]
pub struct LatencyEstimator {
    mean: f32,
    stray: f32,
    seen: u32,
}

/// Answers before the pace is trusted.
const PACE_TRUSTED: u32 = 8;

const PATIENCE_MIN_MS: u64 = 40;

impl LatencyEstimator {
    pub fn learn(&mut self, took_ms: u64) {
        let took = took_ms as f32;
        if self.seen == 0 {
            (self.mean, self.stray) = (took, took / 2.0);
        } else {
            self.stray += ((took - self.mean).abs() - self.stray) / 8.0;
            self.mean += (took - self.mean) / 16.0;
        }
        self.seen = self.seen.saturating_add(1);
    }
    /// After this long an answer is more likely lost than under way.
    pub fn patience(&self, most: u64) -> u64 {
        if self.seen < PACE_TRUSTED {
            return most;
        }
        ((self.mean + 6.0 * self.stray) as u64).max(PATIENCE_MIN_MS).min(most)
    }
}
