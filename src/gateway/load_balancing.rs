//! Chooses the endpoint that gets a request.
//!
//! Pure: the upstreams describe the candidates and hand in random draws.

/// Requests of one node that may wait at an endpoint beyond its capacity.
const MAX_QUEUED: u32 = 2;

/// How much more a request costs that has to open a connection first.
const CONNECT_COST: f64 = 1.05;

/// An endpoint that may be chosen.
#[derive(Clone, Copy, Debug)]
pub struct Candidate {
    /// It is in this node's zone; traffic between zones costs.
    pub same_zone: bool,
    /// Outlier detection has ejected it.
    pub ejected: bool,
    /// This node's requests in flight there.
    pub in_flight: u32,
    /// How many requests it can execute at once.
    pub capacity: u32,
    /// Moving average of its response times, in milliseconds; 0 before the first response.
    pub latency_ms: f64,
    /// An idle connection to it may be used.
    pub has_idle_connection: bool,
    /// How much of its capacity is assigned to this node; 0 for none.
    pub assigned_capacity: f64,
}

impl Candidate {
    fn expected_latency_ms(&self) -> f64 {
        if self.latency_ms == 0.0 { 1.0 } else { self.latency_ms }
    }

    fn capacity(&self) -> u32 {
        self.capacity.max(1)
    }

    fn queue_is_full(&self) -> bool {
        self.in_flight >= self.capacity() + MAX_QUEUED
    }

    fn has_assigned_capacity_free(&self) -> bool {
        self.assigned_capacity > 0.0
            && !self.ejected
            && f64::from(self.in_flight) < self.assigned_capacity.round().max(1.0)
    }

    /// The cost of one more request on the capacity that is assigned to this node.
    fn assigned_cost(&self) -> f64 {
        self.expected_latency_ms() * f64::from(self.in_flight + 1) / self.assigned_capacity
    }

    /// The cost of one more request on the capacity that all nodes share.
    fn shared_cost(&self) -> f64 {
        let load = f64::from(self.in_flight) / f64::from(self.capacity());
        let connect_cost = if self.has_idle_connection { 1.0 } else { CONNECT_COST };
        self.expected_latency_ms() * (1.0 + load) * connect_cost
    }

    /// Lower is better: an ejected endpoint is better than none, an endpoint in another zone better
    /// than a queue.
    fn preference(&self) -> Preference {
        Preference {
            ejected: self.ejected,
            queues: self.in_flight >= self.capacity(),
            other_zone: !self.same_zone,
        }
    }
}

/// Compared field by field, in this order.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Preference {
    ejected: bool,
    queues: bool,
    other_zone: bool,
}

/// The index of the endpoint to use, or `None` if none may take the request: the cheapest with
/// assigned capacity free, or else the cheaper of two random ones of the most preferred group.
/// `draw(n)` returns a random number below `n`.
pub fn choose_endpoint(candidates: &[Candidate], draw: impl Fn(usize) -> usize) -> Option<usize> {
    cheapest_assigned(candidates).or_else(|| cheaper_of_two(candidates, draw))
}

fn cheapest_assigned(candidates: &[Candidate]) -> Option<usize> {
    let free = (0..candidates.len()).filter(|at| candidates[*at].has_assigned_capacity_free());
    free.min_by(|a, b| candidates[*a].assigned_cost().total_cmp(&candidates[*b].assigned_cost()))
}

fn cheaper_of_two(candidates: &[Candidate], draw: impl Fn(usize) -> usize) -> Option<usize> {
    let available = || (0..candidates.len()).filter(|at| !candidates[*at].queue_is_full());
    let best = available().map(|at| candidates[at].preference()).min()?;
    let group: Vec<usize> = available().filter(|at| candidates[*at].preference() == best).collect();
    let first = group[draw(group.len())];
    let second = group[draw(group.len())];
    let second_is_cheaper = candidates[second].shared_cost() < candidates[first].shared_cost();
    Some(if second_is_cheaper { second } else { first })
}
