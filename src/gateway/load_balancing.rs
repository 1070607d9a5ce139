//! Load balancing: chooses the endpoint to which a request is sent.
//!
//! Pure logic without I/O. The upstreams describe the candidates and provide random numbers.

/// How many requests of one node may queue at an endpoint beyond its capacity.
const MAX_QUEUED: u32 = 2;

/// The factor on the cost of a request that needs a new connection.
const CONNECT_COST_FACTOR: f64 = 1.05;

/// An endpoint that may be chosen.
#[derive(Clone, Copy, Debug)]
pub struct Candidate {
    /// Whether it is in this node's zone, which is preferred because traffic between zones costs.
    pub same_zone: bool,
    /// Whether outlier detection has ejected it.
    pub ejected: bool,
    /// This node's requests in flight at the endpoint.
    pub in_flight: u32,
    /// How many requests it can execute at once.
    pub capacity: u32,
    /// Moving average of its response times, in milliseconds; 0 before the first response.
    pub latency_ms: f64,
    /// Whether the request may reuse an idle connection to it.
    pub has_idle_connection: bool,
    /// How much of its capacity is assigned to this node; 0 if none is.
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

    /// The cost of one more request if only the capacity assigned to this node is counted.
    fn assigned_cost(&self) -> f64 {
        self.expected_latency_ms() * f64::from(self.in_flight + 1) / self.assigned_capacity
    }

    /// The cost of one more request if the whole capacity is counted, which all nodes share.
    fn shared_cost(&self) -> f64 {
        let load = f64::from(self.in_flight) / f64::from(self.capacity());
        let connect_cost_factor = if self.has_idle_connection { 1.0 } else { CONNECT_COST_FACTOR };
        self.expected_latency_ms() * (1.0 + load) * connect_cost_factor
    }

    /// The preference group, lower first: an endpoint in another zone is preferred to one at which
    /// the request would queue, and ejected endpoints are used only if there are no others.
    fn preference(&self) -> Preference {
        Preference {
            ejected: self.ejected,
            would_queue: self.in_flight >= self.capacity(),
            other_zone: !self.same_zone,
        }
    }
}

/// A preference group. The fields are compared in their order, and false is preferred.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Preference {
    ejected: bool,
    would_queue: bool,
    other_zone: bool,
}

/// Returns the index of the endpoint to use, or `None` if there is none whose queue has room.
/// Chooses the cheapest endpoint that has free assigned capacity. If there is none, chooses the
/// cheaper of two random endpoints of the most preferred group. `random_below(n)` returns a random
/// number below `n`.
pub fn choose_endpoint(
    candidates: &[Candidate],
    random_below: impl Fn(usize) -> usize,
) -> Option<usize> {
    cheapest_assigned(candidates).or_else(|| cheaper_of_two(candidates, random_below))
}

fn cheapest_assigned(candidates: &[Candidate]) -> Option<usize> {
    let free =
        (0..candidates.len()).filter(|index| candidates[*index].has_assigned_capacity_free());
    free.min_by(|a, b| candidates[*a].assigned_cost().total_cmp(&candidates[*b].assigned_cost()))
}

fn cheaper_of_two(
    candidates: &[Candidate],
    random_below: impl Fn(usize) -> usize,
) -> Option<usize> {
    let available = || (0..candidates.len()).filter(|index| !candidates[*index].queue_is_full());
    let best = available().map(|index| candidates[index].preference()).min()?;
    let group: Vec<usize> =
        available().filter(|index| candidates[*index].preference() == best).collect();
    let first = group[random_below(group.len())];
    let second = group[random_below(group.len())];
    let second_is_cheaper = candidates[second].shared_cost() < candidates[first].shared_cost();
    Some(if second_is_cheaper { second } else { first })
}
