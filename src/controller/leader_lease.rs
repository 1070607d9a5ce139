//! The leader lease as threads see it that act in the leader's name.
//!
//! A call to a database or to the platform connects and waits on a thread of its own. Its machine may
//! stand still meanwhile, and another controller lead when it goes on. So right before the bytes of
//! an order leave, the thread looks here whether the leadership in which the order was given still
//! lasts.
use crate::base::ids::Term;
use crate::base::sync::lock;
use crate::base::time::Tick;
use std::sync::{Arc, Mutex};

/// The leadership of a controller, and until when no other can lead.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LeaderLease {
    /// The term in which the controller was elected.
    pub term: Term,
    /// From here on another controller may have been elected.
    pub until: Tick,
}

impl LeaderLease {
    /// Whether the controller that was elected in `term` certainly leads.
    pub fn covers(&self, term: Term, now: Tick) -> bool {
        self.term == term && now < self.until
    }
}

/// The leader lease, set by the controller's thread and read by others.
#[derive(Clone, Debug, Default)]
pub struct SharedLeaderLease(Arc<Mutex<Option<LeaderLease>>>);

impl SharedLeaderLease {
    /// Sets the lease; none if this controller does not lead.
    pub fn set(&self, lease: Option<LeaderLease>) {
        *lock(&self.0) = lease;
    }

    /// Whether this controller certainly leads in `term`.
    pub fn covers(&self, term: Term, now: Tick) -> bool {
        lock(&self.0).is_some_and(|lease| lease.covers(term, now))
    }
}
