//! Which database gets a request.
use crate::base::ids::InstanceId;
use std::collections::HashMap;

/// A database that may be taken.
#[derive(Clone, Copy, Debug)]
pub struct Candidate {
    /// In this node's zone.
    pub near: bool,
    pub out: bool,
    /// This node's requests under way there.
    pub load: u32,
    pub capacity: u32,
    pub pace: f64,
    /// A connection rests.
    pub idle: bool,
    /// What it can work on at once, as far as that is this node's to use first.
    pub home: f64,
}

/// The database to take: one at home that has room, or of the best group the better of two drawn
/// ones. Traffic between zones costs; a database that is out is better than none.
pub fn choose(of: &[Candidate], draw: impl Fn(usize) -> usize) -> Option<usize> {
    let pace = |c: &Candidate| if c.pace == 0.0 { 1.0 } else { c.pace };
    let at_home = |c: &Candidate| !c.out && f64::from(c.load) < c.home.round().max(1.0);
    let cost = |c: &Candidate| pace(c) * f64::from(c.load + 1) / c.home;
    let home = (0..of.len()).filter(|at| of[*at].home > 0.0 && at_home(&of[*at]));
    if let Some(at) = home.min_by(|a, b| cost(&of[*a]).total_cmp(&cost(&of[*b]))) {
        return Some(at);
    }
    let room = |c: &Candidate| c.load < c.capacity.max(1);
    let group = |c: &Candidate| (c.out, !room(c), !c.near);
    let full = |c: &Candidate| c.load >= c.capacity.max(1) + QUEUED;
    let best = of.iter().filter(|c| !full(c)).map(group).min()?;
    let group: Vec<usize> =
        (0..of.len()).filter(|at| !full(&of[*at]) && group(&of[*at]) == best).collect();
    let cost = |at: usize| {
        let c = &of[at];
        let load = f64::from(c.load) / f64::from(c.capacity.max(1));
        pace(c) * (1.0 + load) * if c.idle { 1.0 } else { 1.05 }
    };
    let (one, two) = (group[draw(group.len())], group[draw(group.len())]);
    Some(if cost(two) < cost(one) { two } else { one })
}

/// Requests of one node that may wait at a database.
const QUEUED: u32 = 2;

/// Times of recent answers of a service, and from when on one is late.
#[derive(Clone, Debug, Default)]
pub struct LatencyEstimator {
    mean: f64,
    spread: f64,
}

impl LatencyEstimator {
    pub fn learn(&mut self, ms: u64) {
        let ms = ms as f64;
        if self.mean == 0.0 {
            (self.mean, self.spread) = (ms, ms / 2.0);
        }
        self.spread = self.spread * 0.95 + (ms - self.mean).abs() * 0.05;
        self.mean = self.mean * 0.95 + ms * 0.05;
    }
    /// When an answer that has not come is unlikely to come soon, within an aim.
    pub fn patience(&self, aim_ms: u64) -> u64 {
        self.late(aim_ms / 2).max(20)
    }
    pub fn late(&self, least: u64) -> u64 {
        ((self.mean + 4.0 * self.spread) as u64).max(least)
    }
}

/// FNV-1a: the same request goes to the same target at every node.
pub(crate) fn digest(text: &str) -> u64 {
    text.bytes()
        .fold(0xcbf2_9ce4_8422_2325, |h, b| (h ^ u64::from(b)).wrapping_mul(0x0100_0000_01b3))
        >> 16
}

/// How much is under way at the databases of a service, as the leader is told.
#[derive(Clone, Debug, Default)]
pub struct Work {
    /// Milliseconds of finished sends since the last look.
    done: u64,
    mean: f64,
    pub(crate) told: Option<u32>,
}

impl Work {
    pub fn add(&mut self, ms: u64) {
        self.done += ms;
    }
    /// After `ms`: what the leader has to be told, in hundredths of a request, if that is news.
    pub fn news(&mut self, ms: u64) -> Option<u32> {
        let now = std::mem::take(&mut self.done) as f64 / ms.max(1) as f64;
        self.mean = if self.told.is_none() { now } else { self.mean * 0.8 + now * 0.2 };
        let busy = (self.mean * 100.0) as u32;
        let news = self.told.is_none_or(|t| busy.abs_diff(t) > t / 4 + 10);
        news.then(|| {
            self.told = Some(busy);
            busy
        })
    }
}

/// The databases of a plot, with the part of each that belongs to it. All nodes lay them out in one
/// order, which a new one changes little.
pub fn homes<'a>(
    of: impl Iterator<Item = (&'a InstanceId, u32)>,
    subset_range: (u32, u32),
) -> HashMap<InstanceId, f64> {
    let mut order: Vec<(u64, &InstanceId, f64)> =
        of.map(|(id, capacity)| (digest(&id.0), id, f64::from(capacity.max(1)))).collect();
    order.sort_by(|a, b| (a.0, a.1).cmp(&(b.0, b.1)));
    let all: f64 = order.iter().map(|(_, _, capacity)| capacity).sum();
    let (from, upto) =
        (f64::from(subset_range.0) * all / 1e6, f64::from(subset_range.1) * all / 1e6);
    let mut at = 0.0;
    let mut found = HashMap::new();
    for (_, id, capacity) in order {
        let part = (at + capacity).min(upto) - from.max(at);
        at += capacity;
        if part > LEAST_HOME * capacity {
            found.insert(id.clone(), part);
        }
    }
    found
}

/// A smaller part of a database is nobody's home.
const LEAST_HOME: f64 = 0.05;
