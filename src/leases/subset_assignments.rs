//! Which subset of a zone's databases each gateway node uses first.
//!
//! Where one node sends most of a database's load, its own count of requests in flight is nearly
//! the true load. The assignment is a hint: nothing breaks while two nodes have different ones.
use crate::base::ids::{NodeName, ServiceName};
use crate::base::time::Tick;
use crate::net::rpc::pooler_messages::SubsetRange;
use std::collections::BTreeMap;

/// How often the databases are divided anew, in milliseconds.
const REBALANCE_INTERVAL_MS: u64 = 1_000;

/// A new leader waits this long, in milliseconds, for the load reports of all nodes.
const FIRST_REPORTS_MS: u64 = 2_500;

/// The least weight of a node, as a part of the mean load: a node with little load still gets a part
/// of the databases.
const MIN_WEIGHT: f64 = 0.3;

/// All databases of a service in a zone, in the unit of [`SubsetRange`].
const FULL_RANGE: f64 = 1e6;

/// A node is notified when a bound moves by more than its range divided by this.
const NOTIFY_FRACTION: u32 = 4;

/// The subset of each gateway node, kept while this controller leads.
#[derive(Clone, Debug)]
pub struct SubsetAssignments {
    elected_at: Tick,
    rebalanced_at: Tick,
    groups: BTreeMap<SubsetGroup, BTreeMap<NodeName, SubsetClaim>>,
}

/// The databases of a service in one zone, which the nodes of that zone share.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct SubsetGroup {
    zone: String,
    service: ServiceName,
}

/// What one node uses of a group.
#[derive(Clone, Debug, Default)]
struct SubsetClaim {
    /// Requests in flight, in hundredths.
    load: u32,
    assigned: Bounds,
    /// What the node was last notified of.
    notified: Option<Bounds>,
}

/// Where a subset begins and ends, in millionths of the group's capacity.
#[derive(Clone, Copy, Debug, Default)]
struct Bounds {
    start: u32,
    end: u32,
}

impl Bounds {
    /// Whether the difference to `old` is worth a notification.
    fn moved_from(self, old: Bounds) -> bool {
        let moved = old.start.abs_diff(self.start).max(old.end.abs_diff(self.end));
        moved * NOTIFY_FRACTION > self.end - self.start
    }
}

impl SubsetAssignments {
    /// No assignments yet, of a leader elected at `elected_at`.
    pub fn new(elected_at: Tick) -> Self {
        Self { elected_at, rebalanced_at: elected_at, groups: BTreeMap::new() }
    }

    /// Takes in how many requests a node has in flight at databases of a service, in hundredths.
    pub fn report_load(&mut self, node: &NodeName, zone: &str, service: ServiceName, load: u32) {
        let group = SubsetGroup { zone: zone.to_owned(), service };
        self.groups.entry(group).or_default().entry(node.clone()).or_default().load = load;
    }

    /// Divides the databases by load among the nodes that are connected, if it is due.
    pub fn rebalance(&mut self, is_connected: impl Fn(&NodeName) -> bool, now: Tick) {
        if now.since(self.elected_at) < FIRST_REPORTS_MS
            || now.since(self.rebalanced_at) < REBALANCE_INTERVAL_MS
        {
            return;
        }
        self.rebalanced_at = now;
        for claims in self.groups.values_mut() {
            claims.retain(|node, _| is_connected(node));
            divide(claims);
        }
        self.groups.retain(|_, claims| !claims.is_empty());
    }

    /// The subsets that a node has to be notified of: those that have moved enough, or all with
    /// `include_unchanged`. They count as notified from now on.
    pub fn take_updates(&mut self, node: &NodeName, include_unchanged: bool) -> Vec<SubsetRange> {
        let mut updates = Vec::new();
        for (group, claims) in &mut self.groups {
            let Some(claim) = claims.get_mut(node) else { continue };
            let assigned @ Bounds { start, end } = claim.assigned;
            let is_due = |notified: Option<Bounds>| {
                include_unchanged || notified.is_none_or(|old| assigned.moved_from(old))
            };
            if end > start && is_due(claim.notified) {
                claim.notified = Some(assigned);
                updates.push(SubsetRange { service: group.service.clone(), start, end });
            }
        }
        updates
    }
}

/// Assigns the nodes of a group consecutive ranges in proportion to their load.
fn divide(claims: &mut BTreeMap<NodeName, SubsetClaim>) {
    let mean = claims.values().map(|c| f64::from(c.load)).sum::<f64>() / claims.len() as f64;
    let weight = |claim: &SubsetClaim| f64::from(claim.load).max(mean * MIN_WEIGHT).max(1.0);
    let total: f64 = claims.values().map(weight).sum();
    let mut end = 0.0;
    for claim in claims.values_mut() {
        let start = end;
        end += weight(claim) / total * FULL_RANGE;
        claim.assigned = Bounds { start: start as u32, end: end as u32 };
    }
}
