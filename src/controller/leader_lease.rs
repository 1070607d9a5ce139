//! The leader lease, shared with the threads that send requests on the leader's behalf.
//!
//! A request to a database or to the platform connects and waits on its own thread. The machine may
//! freeze meanwhile, and another controller may be the leader when it resumes. So right before
//! sending a request, the thread checks here whether the lease still covers the term in which the
//! request was made.
use crate::base::ids::Term;
use crate::base::sync::lock;
use crate::base::time::Tick;
use std::sync::{Arc, Mutex};

/// A controller's leadership, and the time until which no other controller can become leader.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LeaderLease {
    /// The term in which the controller was elected.
    pub term: Term,
    /// From this time on another controller may have been elected.
    pub until: Tick,
}

impl LeaderLease {
    /// Whether the controller elected in `term` is guaranteed to be the leader at `now`.
    pub fn covers(&self, term: Term, now: Tick) -> bool {
        self.term == term && now < self.until
    }
}

/// The leader lease, written by the controller's thread and read by other threads.
#[derive(Clone, Debug, Default)]
pub struct SharedLeaderLease(Arc<Mutex<Option<LeaderLease>>>);

impl SharedLeaderLease {
    /// Sets the lease, or `None` if this controller is not the leader.
    pub fn set(&self, lease: Option<LeaderLease>) {
        *lock(&self.0) = lease;
    }

    /// Whether this controller is guaranteed to be the leader of `term` at `now`.
    pub fn covers(&self, term: Term, now: Tick) -> bool {
        lock(&self.0).is_some_and(|lease| lease.covers(term, now))
    }
}
