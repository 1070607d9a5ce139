//! Admission to a connection pool: how many connections may be open, and which session gets the
//! next one.
//!
//! `Admission` does no I/O and does not block. `pool` owns one per database, guards it with its
//! lock, and does the waiting and the socket work.
use crate::base::time::Tick;
use std::collections::BTreeSet;

/// Why no connection could be checked out from a pool.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum CheckOutError {
    /// The database can't be reached at present, or was removed.
    #[error("database is unreachable or was removed")]
    Unavailable,
    /// All connections are in use, and the deadline for waiting has passed.
    #[error("no connection to the database became free before the deadline")]
    Exhausted,
}

/// How urgent a waiter is; the lowest is served first. The priority of a tenant goes before that of
/// a route.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Priority {
    /// The priority of the client's tenant; 0 for clients without one.
    pub tenant: u8,
    /// The priority of the client's route.
    pub route: u8,
}

/// A waiter's place in the queue. Tickets are ordered as they are served.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct QueueTicket {
    priority: Priority,
    /// At equal priority, the earliest deadline is served first.
    deadline: Tick,
    /// At equal deadline, the first waiter in the queue is served first.
    sequence: u64,
}

/// The connection limit of one database, and the queue of waiters for a connection.
#[derive(Debug, Default)]
pub struct Admission {
    /// The maximum number of open connections.
    pub limit: u32,
    /// The number of connections that are open or being opened.
    pub open: u32,
    queue: BTreeSet<QueueTicket>,
    last_sequence: u64,
}

impl Admission {
    /// Reserves a slot for a new connection, which counts as open from now on. Returns false if the
    /// limit is reached.
    pub fn try_open(&mut self) -> bool {
        let allowed = self.open < self.limit;
        self.open += u32::from(allowed);
        allowed
    }

    /// Frees the slot of a connection that was closed or could not be opened.
    pub fn close(&mut self) {
        self.open = self.open.saturating_sub(1);
    }

    /// Adds a waiter to the queue.
    pub fn enqueue(&mut self, priority: Priority, deadline: Tick) -> QueueTicket {
        self.last_sequence += 1;
        let ticket = QueueTicket { priority, deadline, sequence: self.last_sequence };
        self.queue.insert(ticket);
        ticket
    }

    /// Removes a waiter from the queue.
    pub fn dequeue(&mut self, ticket: &QueueTicket) {
        self.queue.remove(ticket);
    }

    /// Whether it is this waiter's turn while `idle` connections are available. A session without a
    /// ticket comes after all waiters.
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

    /// The number of waiters that a higher limit would serve.
    pub fn unmet_demand(&self) -> u32 {
        if self.open < self.limit { 0 } else { self.queue.len() as u32 }
    }

    /// Whether more connections are open than the limit allows, because it was lowered.
    pub fn over_limit(&self) -> bool {
        self.open > self.limit
    }
}
