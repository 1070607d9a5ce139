//! Admission to a connection pool: how many connections may be open, and who gets the next one.
//!
//! `Admission` is a pure value that counts and orders; `pool` owns one per database, guards it by
//! its lock and does the waiting and the socket work.
use crate::base::time::Tick;
use std::collections::BTreeSet;

/// Why a pool handed out no connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum AcquireError {
    /// The database can't be reached now.
    #[error("the database can't be reached")]
    Unavailable,
    /// All connections are in use, and the time to wait for one is over.
    #[error("all connections are in use")]
    Exhausted,
}

/// A waiter's place in the queue; tickets are ordered as they are served.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct QueueTicket {
    /// The lowest is served first.
    priority: u8,
    /// At the same priority, who can wait least is served first.
    deadline: Tick,
    /// At the same deadline, who came first is served first.
    sequence: u64,
}

/// The connections that may be open to one database, and the queue for them.
#[derive(Debug, Default)]
pub struct Admission {
    /// Connections that may be open at most.
    pub limit: u32,
    /// Connections that are open, or being opened.
    pub open: u32,
    queue: BTreeSet<QueueTicket>,
    last_sequence: u64,
}

impl Admission {
    /// Whether another connection may be opened. If so, it counts as open from now on.
    pub fn try_open(&mut self) -> bool {
        let allowed = self.open < self.limit;
        self.open += u32::from(allowed);
        allowed
    }

    /// A connection was closed, or could not be opened.
    pub fn close(&mut self) {
        self.open = self.open.saturating_sub(1);
    }

    /// Puts a new waiter into the queue.
    pub fn enqueue(&mut self, priority: u8, deadline: Tick) -> QueueTicket {
        self.last_sequence += 1;
        let ticket = QueueTicket { priority, deadline, sequence: self.last_sequence };
        self.queue.insert(ticket);
        ticket
    }

    /// Takes a waiter out of the queue.
    pub fn dequeue(&mut self, ticket: &QueueTicket) {
        self.queue.remove(ticket);
    }

    /// Whether it is this waiter's turn, with `idle` connections to hand out. One that has no
    /// ticket yet comes after all who have.
    pub fn is_next(&self, ticket: Option<&QueueTicket>, idle: usize) -> bool {
        let ahead = match ticket {
            Some(ticket) => self.queue.range(..ticket).count(),
            None => self.queue.len(),
        };
        let openable = self.limit.saturating_sub(self.open) as usize;
        ahead < idle + openable
    }

    /// The length of the queue.
    pub fn waiting(&self) -> usize {
        self.queue.len()
    }

    /// Waiters that a higher limit would serve.
    pub fn unmet_demand(&self) -> u32 {
        if self.open < self.limit { 0 } else { self.queue.len() as u32 }
    }

    /// Whether more connections are open than are allowed since the limit was lowered.
    pub fn over_limit(&self) -> bool {
        self.open > self.limit
    }
}
