//! The databases of each service, with their idle connections and load.
use crate::base::ids::{InstanceId, ServiceName};
use crate::base::time::Tick;
use crate::config::directory::DirectoryEntry;
use crate::config::route_table::RouteTable;
use crate::gateway::load_balancing::{Candidate, LatencyEstimator, Work, choose, homes};
use crate::gateway::outlier_detection::OutlierDetector;
use crate::net::statement_protocol::ReadBuffer;
use std::collections::{BTreeMap, HashMap};
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;

/// A connection to a database.
pub(crate) struct EndpointConnection {
    pub(crate) stream: TcpStream,
    pub(crate) inbox: ReadBuffer,
    /// Nothing may be sent on it after this.
    pub(crate) until: Tick,
}

pub(crate) struct Endpoint {
    pub(crate) service: ServiceName,
    pub(crate) address: SocketAddr,
    pub(crate) zone: String,
    pub(crate) capacity: u32,
    pub(crate) draining: bool,
    pub(crate) health: OutlierDetector,
    pub(crate) load: u32,
    pub(crate) idle: Vec<EndpointConnection>,
}

/// What this gateway knows.
#[derive(Default)]
pub(crate) struct Upstreams {
    pub(crate) config: Option<Arc<RouteTable>>,
    pub(crate) listed: bool,
    pub(crate) trees: BTreeMap<InstanceId, Endpoint>,
    pub(crate) services: HashMap<ServiceName, UpstreamService>,
    /// How long connections to databases take.
    pub(crate) reach: LatencyEstimator,
}

#[derive(Default)]
pub(crate) struct UpstreamService {
    trees: Vec<InstanceId>,
    pub(crate) pace: LatencyEstimator,
    /// The part of the zone's databases that is used first, and what that comes to.
    pub(crate) subset_range: Option<(u32, u32)>,
    homes: HashMap<InstanceId, f64>,
    pub(crate) work: Work,
}

/// A database that was taken for a request.
pub(crate) struct EndpointGuard {
    pub(crate) id: InstanceId,
    pub(crate) address: SocketAddr,
    pub(crate) stem: Option<EndpointConnection>,
}

/// Connections to one database that rest.
pub(crate) const MAX_IDLE: usize = 4;

/// A resting connection is used no longer than this where the database does not say.
pub(crate) const IDLE_MS: u64 = 4_000;

/// A request that can't be repeated goes only on a connection that rested no longer.
const FRESH_MS: u64 = 20;

impl Upstreams {
    pub(crate) fn upsert(&mut self, listed: DirectoryEntry) {
        let known = self.trees.get_mut(&listed.id);
        match known.filter(|t| t.address == listed.address && t.service == listed.service) {
            Some(tree) => {
                tree.draining = listed.draining;
                tree.capacity = listed.capacity;
                tree.health.renewed();
                if listed.draining {
                    tree.idle.clear();
                }
            }
            None => {
                self.remove(&listed.id);
                let row = self.services.entry(listed.service.clone()).or_default();
                row.trees.push(listed.id.clone());
                let tree = Endpoint {
                    service: listed.service,
                    address: listed.address,
                    zone: listed.zone,
                    capacity: listed.capacity,
                    draining: listed.draining,
                    health: OutlierDetector::default(),
                    load: 0,
                    idle: Vec::new(),
                };
                self.trees.insert(listed.id, tree);
            }
        }
    }
    pub(crate) fn remove(&mut self, id: &InstanceId) {
        if let Some(tree) = self.trees.remove(id)
            && let Some(row) = self.services.get_mut(&tree.service)
        {
            row.trees.retain(|i| i != id);
        }
    }
    /// The directory or a plot has changed.
    pub(crate) fn settle(&mut self, zone: &str) {
        for row in self.services.values_mut() {
            let near = row.trees.iter().filter_map(|id| Some((id, self.trees.get(id)?)));
            let near = near.filter(|(_, tree)| tree.zone == zone && !tree.draining);
            let laid = near.map(|(id, tree)| (id, tree.capacity));
            row.homes =
                row.subset_range.map(|subset_range| homes(laid, subset_range)).unwrap_or_default();
        }
    }
    /// Takes a database of the service that was not tried yet.
    pub(crate) fn take(
        &mut self,
        service: &ServiceName,
        zone: &str,
        tried: &[InstanceId],
        fresh: bool,
        now: Tick,
    ) -> Option<EndpointGuard> {
        let row = self.services.get(service)?;
        let (mut ids, mut candidates) = (Vec::new(), Vec::new());
        for id in &row.trees {
            let Some(tree) = self.trees.get(id).filter(|t| !t.draining) else { continue };
            if tried.contains(id) {
                continue;
            }
            ids.push(id);
            candidates.push(Candidate {
                near: tree.zone == zone,
                out: tree.health.out(now),
                load: tree.load,
                capacity: tree.capacity,
                pace: tree.health.pace,
                idle: !fresh && !tree.idle.is_empty(),
                home: row.homes.get(id).copied().unwrap_or(0.0),
            });
        }
        let at = choose(&candidates, |n| rand::random_range(0..n))?;
        let id = ids[at].clone();
        let tree = self.trees.get_mut(&id)?;
        tree.load += 1;
        let need = if fresh { IDLE_MS.saturating_sub(FRESH_MS) } else { 0 };
        tree.idle.retain(|s| s.until > now);
        // The one that was used last is the likeliest to live.
        let usable = tree.idle.last().is_some_and(|s| s.until.since(now) > need);
        let stem = if usable { tree.idle.pop() } else { None };
        Some(EndpointGuard { address: tree.address, id, stem })
    }
}
