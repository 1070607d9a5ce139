//! Assignment of the databases of each zone to its gateway nodes: each node prefers one subset.
//!
//! If one node sends most of a database's load, its own count of requests in flight is close to the
//! true load. The assignment is a hint: it is harmless if nodes temporarily disagree on it.
use crate::base::ids::{NodeName, ServiceName};
use crate::base::time::Tick;
use crate::net::rpc::pooler_messages::SubsetRange;
use std::collections::BTreeMap;

/// The interval between two rebalances, in milliseconds.
const REBALANCE_INTERVAL_MS: u64 = 1_000;

/// How long a new leader waits for the load reports of all nodes, in milliseconds.
const FIRST_REBALANCE_DELAY_MS: u64 = 2_500;

/// The minimum weight of a node, as a fraction of the mean load, so that a node with little load
/// still gets some of the databases.
const MIN_WEIGHT: f64 = 0.3;

/// The length of the range of all databases of a service in a zone, in the unit of [`SubsetRange`].
const FULL_RANGE: f64 = 1e6;

/// A node is notified if a bound of its range moves by more than the range's length divided by
/// this.
const NOTIFY_FRACTION: u32 = 4;

/// The subsets of all gateway nodes, kept while this controller leads.
#[derive(Clone, Debug)]
pub struct SubsetAssignments {
    elected_at: Tick,
    rebalanced_at: Tick,
    groups: BTreeMap<SubsetGroup, BTreeMap<NodeName, NodeSubset>>,
}

/// The databases of a service in one zone, which are divided among the nodes of that zone.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct SubsetGroup {
    zone: String,
    service: ServiceName,
}

/// The load of one node on a group, and the node's subset of it.
#[derive(Clone, Debug, Default)]
struct NodeSubset {
    /// Requests in flight, in hundredths of a request.
    load: u32,
    assigned: Bounds,
    /// The bounds that the node was last notified of.
    notified: Option<Bounds>,
}

/// Where a subset begins and ends, in millionths of the group's capacity.
#[derive(Clone, Copy, Debug, Default)]
struct Bounds {
    start: u32,
    end: u32,
}

impl Bounds {
    /// Whether the difference to `old` is large enough for a notification.
    fn moved_from(self, old: Bounds) -> bool {
        let moved = old.start.abs_diff(self.start).max(old.end.abs_diff(self.end));
        moved * NOTIFY_FRACTION > self.end - self.start
    }
}

impl SubsetAssignments {
    /// Creates the state of a leader elected at `elected_at`, without assignments.
    pub fn new(elected_at: Tick) -> Self {
        Self { elected_at, rebalanced_at: elected_at, groups: BTreeMap::new() }
    }

    /// Records how many hundredths of requests a node has in flight at the databases of a service.
    pub fn report_load(&mut self, node: &NodeName, zone: &str, service: ServiceName, load: u32) {
        let group = SubsetGroup { zone: zone.to_owned(), service };
        self.groups.entry(group).or_default().entry(node.clone()).or_default().load = load;
    }

    /// Divides the databases among the connected nodes by load, if a rebalance is due.
    pub fn rebalance(&mut self, is_connected: impl Fn(&NodeName) -> bool, now: Tick) {
        if now.since(self.elected_at) < FIRST_REBALANCE_DELAY_MS
            || now.since(self.rebalanced_at) < REBALANCE_INTERVAL_MS
        {
            return;
        }
        self.rebalanced_at = now;
        for subsets in self.groups.values_mut() {
            subsets.retain(|node, _| is_connected(node));
            assign_ranges(subsets);
        }
        self.groups.retain(|_, subsets| !subsets.is_empty());
    }

    /// Returns the subsets to notify a node of, and marks them as notified: those that have moved
    /// far enough, or all of them with `include_unchanged`.
    pub fn take_updates(&mut self, node: &NodeName, include_unchanged: bool) -> Vec<SubsetRange> {
        let mut updates = Vec::new();
        for (group, subsets) in &mut self.groups {
            let Some(subset) = subsets.get_mut(node) else { continue };
            let assigned @ Bounds { start, end } = subset.assigned;
            let is_due = |notified: Option<Bounds>| {
                include_unchanged || notified.is_none_or(|old| assigned.moved_from(old))
            };
            if end > start && is_due(subset.notified) {
                subset.notified = Some(assigned);
                updates.push(SubsetRange { service: group.service.clone(), start, end });
            }
        }
        updates
    }
}

/// Assigns the nodes of a group consecutive ranges in proportion to their load.
fn assign_ranges(subsets: &mut BTreeMap<NodeName, NodeSubset>) {
    let mean =
        subsets.values().map(|subset| f64::from(subset.load)).sum::<f64>() / subsets.len() as f64;
    let weight = |subset: &NodeSubset| f64::from(subset.load).max(mean * MIN_WEIGHT).max(1.0);
    let total: f64 = subsets.values().map(weight).sum();
    let mut end = 0.0;
    for subset in subsets.values_mut() {
        let start = end;
        end += weight(subset) / total * FULL_RANGE;
        subset.assigned = Bounds { start: start as u32, end: end as u32 };
    }
}
