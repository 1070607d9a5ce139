//! Which controller a node contacts when, while it looks for the leader.
//!
//! A pure value: [`LeaderConnection`](crate::net::leader_connection::LeaderConnection) makes the
//! attempts that it names and reports how they end.
use crate::base::time::Tick;
use std::net::SocketAddr;

/// The next controller is contacted this much later, in ms, beside attempts still in flight.
pub(crate) const ATTEMPT_INTERVAL_MS: u64 = 150;

/// The pause after a round in which no controller led, in ms.
const ROUND_PAUSE_MS: u64 = 80;

/// Attempts in flight to one controller: the first packet of one may be lost.
const MAX_ATTEMPTS_PER_CONTROLLER: usize = 2;

/// Goes through the known controllers, one attempt after the other. An attempt that has not ended
/// stays in flight while the next begins: on a congested link a late answer can't be told from a
/// controller that gives none.
#[derive(Debug)]
pub struct LeaderDiscovery {
    /// The controllers to contact, in turn.
    pub(crate) controllers: Vec<SocketAddr>,
    /// The one contacted last, as an index.
    current: usize,
    /// Named as the leader; contacted before the others.
    leader_hint: Option<SocketAddr>,
    /// Attempts in flight.
    in_flight: Vec<SocketAddr>,
    next_attempt_at: Tick,
}

impl LeaderDiscovery {
    /// Begins with these controllers; the first attempt is due at once.
    pub fn new(controllers: Vec<SocketAddr>) -> Self {
        Self {
            controllers,
            current: 0,
            leader_hint: None,
            in_flight: Vec::new(),
            next_attempt_at: Tick(0),
        }
    }

    /// Starts another search after a connection was lost. Earlier attempts no longer count, but the
    /// time of the next one stays: a leader that accepts nodes and ends at once must not be contacted
    /// without a pause.
    pub fn restart(&mut self, leader_hint: Option<SocketAddr>, now: Tick) {
        self.leader_hint = leader_hint;
        self.next_attempt_at = self.next_attempt_at.max(now);
        self.in_flight.clear();
    }

    /// Adds controllers that are not known yet.
    pub fn add_controllers(&mut self, seeds: &[SocketAddr]) {
        for seed in seeds {
            if !self.controllers.contains(seed) {
                self.controllers.push(*seed);
            }
        }
    }

    /// When the next attempt is due.
    pub fn next_attempt_at(&self) -> Tick {
        self.next_attempt_at
    }

    /// Begins an attempt if one is due, and gives the controller to contact; none also if each of
    /// them has its attempts in flight.
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

    /// An attempt has ended without finding the leader; the controller may have named it.
    pub fn attempt_failed(&mut self, to: SocketAddr, leader: Option<SocketAddr>, now: Tick) {
        if let Some(at) = self.in_flight.iter().position(|other| *other == to) {
            self.in_flight.swap_remove(at);
        }
        let hint = leader.filter(|leader| *leader != to);
        self.leader_hint = hint.or(self.leader_hint);
        // A named leader with an attempt in flight may still answer that one: no need to contact it
        // again each time it is named.
        if hint.is_some_and(|leader| !self.in_flight.contains(&leader)) {
            self.next_attempt_at = now;
        } else if self.in_flight.is_empty() {
            let round_ended = self.current == 0 && self.leader_hint.is_none();
            self.next_attempt_at = if round_ended { now.plus(ROUND_PAUSE_MS) } else { now };
        }
    }
}
