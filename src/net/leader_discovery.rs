//! The schedule by which a node contacts controllers while it searches for the leader.
//!
//! Performs no I/O: [`LeaderConnection`](crate::net::leader_connection::LeaderConnection) makes the
//! scheduled attempts and reports their results.
use crate::base::time::Tick;
use std::net::SocketAddr;

/// The interval between attempts, in ms. Earlier attempts may still be in flight.
pub(crate) const ATTEMPT_INTERVAL_MS: u64 = 150;

/// The pause after a round in which no leader was found, in ms.
const ROUND_PAUSE_MS: u64 = 80;

/// The maximum number of concurrent attempts to one controller. A second attempt helps if the first
/// packet of the first one was lost.
const MAX_ATTEMPTS_PER_CONTROLLER: usize = 2;

/// Schedules attempts to the known controllers in turn. An attempt that has not ended stays in
/// flight when the next one starts: over a congested link, a slow response can't be distinguished
/// from a controller that does not respond.
#[derive(Debug)]
pub struct LeaderDiscovery {
    /// The known controllers, contacted in this order.
    pub(crate) controllers: Vec<SocketAddr>,
    /// The index of the controller contacted last in turn.
    current: usize,
    /// The controller that was reported as the leader; contacted before the others.
    leader_hint: Option<SocketAddr>,
    /// The target of each attempt in flight.
    in_flight: Vec<SocketAddr>,
    next_attempt_at: Tick,
}

impl LeaderDiscovery {
    /// Creates a schedule for these controllers; the first attempt is due immediately.
    pub fn new(controllers: Vec<SocketAddr>) -> Self {
        Self {
            controllers,
            current: 0,
            leader_hint: None,
            in_flight: Vec::new(),
            next_attempt_at: Tick(0),
        }
    }

    /// Starts another search after a connection was lost. Earlier attempts are forgotten, but the
    /// next one is not due earlier than before: a leader that accepts connections and closes them
    /// immediately must not be contacted in a busy loop.
    pub fn restart(&mut self, leader_hint: Option<SocketAddr>, now: Tick) {
        self.leader_hint = leader_hint;
        self.next_attempt_at = self.next_attempt_at.max(now);
        self.in_flight.clear();
    }

    /// Adds the seeds that are not known yet.
    pub fn add_controllers(&mut self, seeds: &[SocketAddr]) {
        for seed in seeds {
            if !self.controllers.contains(seed) {
                self.controllers.push(*seed);
            }
        }
    }

    /// The time at which the next attempt is due.
    pub fn next_attempt_at(&self) -> Tick {
        self.next_attempt_at
    }

    /// Starts an attempt if one is due and returns the controller to contact. `None` also if every
    /// controller has the maximum number of attempts in flight.
    pub fn next_attempt(&mut self, now: Tick) -> Option<SocketAddr> {
        if now < self.next_attempt_at {
            return None;
        }
        self.next_attempt_at = now.plus(ATTEMPT_INTERVAL_MS);
        let hint = self.leader_hint.take().filter(|to| self.may_contact(to));
        let to = hint.or_else(|| self.next_in_turn());
        self.in_flight.extend(to);
        to
    }

    fn may_contact(&self, to: &SocketAddr) -> bool {
        let in_flight = self.in_flight.iter().filter(|other| *other == to).count();
        in_flight < MAX_ATTEMPTS_PER_CONTROLLER
    }

    fn next_in_turn(&mut self) -> Option<SocketAddr> {
        for _ in 0..self.controllers.len() {
            self.current = (self.current + 1) % self.controllers.len();
            let to = self.controllers[self.current];
            if self.may_contact(&to) {
                return Some(to);
            }
        }
        None
    }

    /// Records that an attempt did not find the leader; `leader` is the one that the controller
    /// named.
    pub fn attempt_failed(&mut self, to: SocketAddr, leader: Option<SocketAddr>, now: Tick) {
        if let Some(at) = self.in_flight.iter().position(|other| *other == to) {
            self.in_flight.swap_remove(at);
        }
        let hint = leader.filter(|leader| *leader != to);
        self.leader_hint = hint.or(self.leader_hint);
        // The named leader may still respond to an attempt in flight, so it is not contacted again
        // each time it is named.
        if hint.is_some_and(|leader| !self.in_flight.contains(&leader)) {
            self.next_attempt_at = now;
        } else if self.in_flight.is_empty() {
            let round_ended = self.current == 0 && self.leader_hint.is_none();
            self.next_attempt_at = if round_ended { now.plus(ROUND_PAUSE_MS) } else { now };
        }
    }
}
