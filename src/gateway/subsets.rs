//! Which endpoints of a zone a node uses first.
//!
//! The leader divides the capacity of a service in a zone among its gateway nodes. Where one node
//! sends most of an endpoint's load, its own count of requests in flight is nearly the truth. All
//! nodes lay the endpoints out in one order, so that a range of it means the same everywhere.
//! Pure: the upstreams ask whenever the directory or the subset has changed.
use crate::base::ids::InstanceId;
use std::collections::HashMap;

/// The whole capacity of a zone, in the units of a subset's ends.
const WHOLE_ZONE: f64 = 1e6;

/// A smaller part of an endpoint's capacity is assigned to nobody.
const MIN_ASSIGNED_PART: f64 = 0.05;

/// A node's range of the capacity of a service's endpoints in its zone, in millionths.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CapacityRange {
    /// Where the range begins.
    pub from: u32,
    /// Where the range ends; the next begins there.
    pub to: u32,
}

/// The endpoints in a range, each with the part of its capacity that lies in it. `endpoints` are
/// all in the zone, with their capacities. A new endpoint changes the order of the others little.
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
    let from = f64::from(range.from) * total / WHOLE_ZONE;
    let to = f64::from(range.to) * total / WHOLE_ZONE;
    let mut start = 0.0;
    let mut assigned = HashMap::new();
    for OrderedEndpoint { id, capacity, .. } in ordered {
        let part = (start + capacity).min(to) - from.max(start);
        start += capacity;
        if part > MIN_ASSIGNED_PART * capacity {
            assigned.insert(id.clone(), part);
        }
    }
    assigned
}

struct OrderedEndpoint<'a> {
    hash: u64,
    id: &'a InstanceId,
    capacity: f64,
}

/// FNV-1a, the same at every node: it orders endpoints, and sends a request to the same one of a
/// route's weighted services everywhere. The lowest bits, which vary least, are dropped.
pub(super) fn stable_hash(text: &str) -> u64 {
    const OFFSET_BASIS: u64 = 0xcbf2_9ce4_8422_2325;
    const PRIME: u64 = 0x0100_0000_01b3;
    const DROPPED_BITS: u32 = 16;
    let hash = |hash: u64, byte: u8| (hash ^ u64::from(byte)).wrapping_mul(PRIME);
    text.bytes().fold(OFFSET_BASIS, hash) >> DROPPED_BITS
}
