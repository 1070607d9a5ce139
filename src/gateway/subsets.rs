//! Endpoint subsetting: which endpoints of its zone a gateway node prefers.
//!
//! The leader divides the capacity of each service in a zone among the gateway nodes of the zone.
//! Where one node sends most of an endpoint's requests, that node's own count of requests in flight
//! is close to the endpoint's actual load. All nodes order the endpoints in the same way, so that a
//! range of capacity means the same endpoints at every node. Pure logic without I/O: the upstreams
//! call it whenever the directory or the subset has changed.
use crate::base::ids::InstanceId;
use std::collections::HashMap;

/// The capacity of a whole zone in the unit of [`CapacityRange`], which is millionths.
const WHOLE_ZONE_MILLIONTHS: f64 = 1e6;

/// The smallest fraction of an endpoint's capacity that is assigned; a smaller one is assigned to
/// no node.
const MIN_ASSIGNED_FRACTION: f64 = 0.05;

/// The subset of a node: a range of the capacity of a service's endpoints in the node's zone, in
/// millionths.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CapacityRange {
    /// The start of the range.
    pub start: u32,
    /// The end of the range, where the range of the next node starts.
    pub end: u32,
}

/// Returns the endpoints in a range, each with the part of its capacity that lies in the range.
/// `endpoints` are all endpoints of the zone, with their capacities. They are ordered by hash, so
/// that a new endpoint shifts the others only a little.
pub fn assigned_capacities<'a>(
    endpoints: impl Iterator<Item = (&'a InstanceId, u32)>,
    range: CapacityRange,
) -> HashMap<InstanceId, f64> {
    let mut ordered: Vec<OrderedEndpoint<'_>> = endpoints
        .map(|(id, capacity)| OrderedEndpoint {
            hash: stable_hash(&id.0),
            id,
            capacity: f64::from(capacity.max(1)),
        })
        .collect();
    ordered.sort_by(|a, b| (a.hash, a.id).cmp(&(b.hash, b.id)));
    let total: f64 = ordered.iter().map(|endpoint| endpoint.capacity).sum();
    let range_start = f64::from(range.start) * total / WHOLE_ZONE_MILLIONTHS;
    let range_end = f64::from(range.end) * total / WHOLE_ZONE_MILLIONTHS;
    let mut offset = 0.0;
    let mut assigned = HashMap::new();
    for OrderedEndpoint { id, capacity, .. } in ordered {
        let overlap = (offset + capacity).min(range_end) - range_start.max(offset);
        offset += capacity;
        if overlap > MIN_ASSIGNED_FRACTION * capacity {
            assigned.insert(id.clone(), overlap);
        }
    }
    assigned
}

struct OrderedEndpoint<'a> {
    hash: u64,
    id: &'a InstanceId,
    capacity: f64,
}

/// The FNV-1a hash of a text, which is the same at every node. It orders endpoints, and selects the
/// same one of a route's weighted services for a request at every node. The lowest bits are dropped
/// because they vary least.
pub(super) fn stable_hash(text: &str) -> u64 {
    const OFFSET_BASIS: u64 = 0xcbf2_9ce4_8422_2325;
    const PRIME: u64 = 0x0100_0000_01b3;
    const DROPPED_BITS: u32 = 16;
    let hash = |hash: u64, byte: u8| (hash ^ u64::from(byte)).wrapping_mul(PRIME);
    text.bytes().fold(OFFSET_BASIS, hash) >> DROPPED_BITS
}
