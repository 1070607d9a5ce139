//! Which controller is tried when, while a node looks for the leader.
use crate::base::time::Tick;
use std::net::SocketAddr;

/// The next controller is tried after this, beside those that have not answered.
pub(crate) const TURN_MS: u64 = 150;

/// After a round in which nobody led.
const PAUSE_MS: u64 = 80;

/// Tries of one controller at once: the first packet of one may be lost.
const TRIES: usize = 2;

/// Which controller is tried when, as a value. A try that has not ended goes on while the next begins: how
/// long an answer takes on this node's own link can't be told from a controller that gives none.
#[derive(Debug)]
pub struct LeaderDiscovery {
    pub(crate) known: Vec<SocketAddr>,
    next: usize,
    /// Said to lead.
    hint: Option<SocketAddr>,
    /// Tries that have not ended.
    open: Vec<SocketAddr>,
    due: Tick,
}

impl LeaderDiscovery {
    pub fn new(known: Vec<SocketAddr>) -> Self {
        Self { known, next: 0, hint: None, open: Vec::new(), due: Tick(0) }
    }
    /// Looks anew; what was tried before counts no more, but that its turn is kept: a leader that
    /// welcomes and ends at once is not asked without a pause.
    pub fn begin(&mut self, hint: Option<SocketAddr>, now: Tick) {
        (self.hint, self.due) = (hint, self.due.max(now));
        self.open.clear();
    }
    /// These are controllers too.
    pub fn learn(&mut self, seeds: &[SocketAddr]) {
        for seed in seeds {
            if !self.known.contains(seed) {
                self.known.push(*seed);
            }
        }
    }
    /// When `step` next has something to do.
    pub fn due(&self) -> Tick {
        self.due
    }
    /// The controller to be tried now, if one is.
    pub fn step(&mut self, now: Tick) -> Option<SocketAddr> {
        if now < self.due {
            return None;
        }
        self.due = now.plus(TURN_MS);
        let busy = |to: &SocketAddr| self.open.iter().filter(|o| *o == to).count() >= TRIES;
        let mut to = self.hint.take().filter(|to| !busy(to));
        for _ in 0..self.known.len() {
            if to.is_some() {
                break;
            }
            self.next = (self.next + 1) % self.known.len();
            to = Some(self.known[self.next]).filter(|to| !busy(to));
        }
        self.open.extend(to);
        to
    }
    /// A try has ended without a welcome; perhaps with the name of the leader.
    pub fn ended(&mut self, to: SocketAddr, elsewhere: Option<SocketAddr>, now: Tick) {
        if let Some(at) = self.open.iter().position(|o| *o == to) {
            self.open.swap_remove(at);
        }
        let hint = elsewhere.filter(|e| *e != to);
        self.hint = hint.or(self.hint);
        // One that is being tried already may answer yet, and need not be asked for at every turn.
        if hint.is_some_and(|h| !self.open.contains(&h)) {
            self.due = now;
        } else if self.open.is_empty() {
            let round = self.next == 0 && self.hint.is_none();
            self.due = if round { now.plus(PAUSE_MS) } else { now };
        }
    }
}
