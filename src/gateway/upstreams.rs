//! The endpoints of each service, with their idle connections, load and health.
//!
//! Owned by the gateway's shared state behind one lock. The leader's messages keep the directory
//! up to date, and each attempt acquires an endpoint here. Promise: an endpoint that was acquired
//! counts one request in flight until it is released.
use crate::base::ids::{InstanceId, ServiceName};
use crate::base::time::Tick;
use crate::config::directory::DirectoryEntry;
use crate::config::route_table::RouteTable;
use crate::gateway::demand::DemandMeter;
use crate::gateway::latency::LatencyEstimator;
use crate::gateway::load_balancing::{Candidate, choose_endpoint};
use crate::gateway::outlier_detection::OutlierDetector;
use crate::gateway::subsets::{CapacityRange, assigned_capacities};
use crate::net::statement_protocol::ReadBuffer;
use std::collections::{BTreeMap, HashMap};
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;

/// Idle connections to one endpoint that are kept open.
const MAX_IDLE: usize = 4;

/// For how long an idle connection may be used where the database does not say, in milliseconds.
pub(super) const IDLE_MS: u64 = 4_000;

/// A request that must not be repeated goes only on a connection that was idle no longer than
/// this, in milliseconds: a database closes no connection as soon as that.
const FRESH_MS: u64 = 20;

/// A connection to an endpoint.
pub(super) struct EndpointConnection {
    pub(super) stream: TcpStream,
    /// Bytes of responses that were read and not parsed yet.
    pub(super) buffer: ReadBuffer,
    /// When it was idle for so long that it can't be used any more.
    pub(super) expires: Tick,
}

/// Which idle connections a request may use.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ReusePolicy {
    /// Any: the request can be sent again if the database has closed the connection.
    AnyIdle,
    /// Only those that were idle for a moment.
    FreshOnly,
}

/// A running database of a service, and what this node knows of it.
pub(super) struct Endpoint {
    pub(super) service: ServiceName,
    pub(super) address: SocketAddr,
    /// Its failure domain.
    pub(super) zone: String,
    /// How many requests it can execute at once.
    pub(super) capacity: u32,
    /// It is shutting down gracefully and gets no new requests.
    pub(super) draining: bool,
    pub(super) outlier: OutlierDetector,
    /// This node's requests in flight there.
    pub(super) in_flight: u32,
    pub(super) idle: Vec<EndpointConnection>,
}

/// One service that requests are routed to.
#[derive(Default)]
pub(super) struct UpstreamService {
    endpoints: Vec<InstanceId>,
    /// How long responses other than errors take; decides when a hedged request is due.
    pub(super) latency: LatencyEstimator,
    /// How much work this node has there, for the leader.
    pub(super) demand: DemandMeter,
    /// The part of the zone's capacity that this node uses first.
    subset: Option<CapacityRange>,
    /// The capacity of endpoints that lies in the subset.
    assigned: HashMap<InstanceId, f64>,
}

/// Everything that this gateway learned from the leader, and of the endpoints.
#[derive(Default)]
pub(super) struct Upstreams {
    pub(super) route_table: Option<Arc<RouteTable>>,
    /// Whether a whole directory was received since this process started.
    pub(super) has_directory: bool,
    pub(super) endpoints: BTreeMap<InstanceId, Endpoint>,
    pub(super) services: HashMap<ServiceName, UpstreamService>,
    /// How long connecting to endpoints takes.
    pub(super) connect_latency: LatencyEstimator,
}

/// An endpoint that was acquired for an attempt; the gateway has to release it.
pub(super) struct AcquiredEndpoint {
    pub(super) id: InstanceId,
    pub(super) address: SocketAddr,
    /// An idle connection to it.
    pub(super) connection: Option<EndpointConnection>,
}

impl Upstreams {
    /// Takes over the whole directory; endpoints that are not in it are gone.
    pub(super) fn replace_directory(&mut self, entries: Vec<DirectoryEntry>, zone: &str) {
        let is_listed = |id: &InstanceId| entries.iter().any(|entry| entry.id == *id);
        let removed: Vec<InstanceId> =
            self.endpoints.keys().filter(|id| !is_listed(id)).cloned().collect();
        self.update_directory(entries, &removed, zone);
        self.has_directory = true;
    }

    /// Takes over a change of the directory.
    pub(super) fn update_directory(
        &mut self,
        entries: Vec<DirectoryEntry>,
        removed: &[InstanceId],
        zone: &str,
    ) {
        for id in removed {
            self.remove(id);
        }
        for entry in entries {
            self.upsert(entry);
        }
        self.assign_capacities(zone);
    }

    fn upsert(&mut self, entry: DirectoryEntry) {
        let known = self.endpoints.get_mut(&entry.id);
        match known.filter(|e| e.address == entry.address && e.service == entry.service) {
            Some(endpoint) => {
                endpoint.draining = entry.draining;
                endpoint.capacity = entry.capacity;
                endpoint.outlier.reset();
                if entry.draining {
                    endpoint.idle.clear();
                }
            }
            None => {
                self.remove(&entry.id);
                let service = self.services.entry(entry.service.clone()).or_default();
                service.endpoints.push(entry.id.clone());
                let endpoint = Endpoint {
                    service: entry.service,
                    address: entry.address,
                    zone: entry.zone,
                    capacity: entry.capacity,
                    draining: entry.draining,
                    outlier: OutlierDetector::default(),
                    in_flight: 0,
                    idle: Vec::new(),
                };
                self.endpoints.insert(entry.id, endpoint);
            }
        }
    }

    fn remove(&mut self, id: &InstanceId) {
        if let Some(endpoint) = self.endpoints.remove(id)
            && let Some(service) = self.services.get_mut(&endpoint.service)
        {
            service.endpoints.retain(|known| known != id);
        }
    }

    /// Takes over the subsets that the leader has assigned to this node.
    pub(super) fn assign_subsets(
        &mut self,
        subsets: impl Iterator<Item = (ServiceName, CapacityRange)>,
        zone: &str,
    ) {
        for (service, range) in subsets {
            self.services.entry(service).or_default().subset = Some(range);
        }
        self.assign_capacities(zone);
    }

    /// Computes anew which capacity is assigned to this node: the directory or a subset changed.
    fn assign_capacities(&mut self, zone: &str) {
        for service in self.services.values_mut() {
            let in_zone = (service.endpoints.iter())
                .filter_map(|id| Some((id, self.endpoints.get(id)?)))
                .filter(|(_, endpoint)| endpoint.zone == zone && !endpoint.draining)
                .map(|(id, endpoint)| (id, endpoint.capacity));
            service.assigned =
                service.subset.map(|range| assigned_capacities(in_zone, range)).unwrap_or_default();
        }
    }

    /// Acquires an endpoint of the service that is not among `excluded`; `None` if there is none
    /// with room.
    pub(super) fn acquire(
        &mut self,
        service: &ServiceName,
        zone: &str,
        excluded: &[InstanceId],
        reuse: ReusePolicy,
        now: Tick,
    ) -> Option<AcquiredEndpoint> {
        let service = self.services.get(service)?;
        let (mut ids, mut candidates) = (Vec::new(), Vec::new());
        for id in &service.endpoints {
            let Some(endpoint) = self.endpoints.get(id).filter(|e| !e.draining) else { continue };
            if excluded.contains(id) {
                continue;
            }
            ids.push(id);
            let assigned_capacity = service.assigned.get(id).copied().unwrap_or(0.0);
            candidates.push(endpoint.candidate(zone, reuse, assigned_capacity, now));
        }
        let chosen = choose_endpoint(&candidates, |n| rand::random_range(0..n))?;
        let id = ids[chosen].clone();
        let endpoint = self.endpoints.get_mut(&id)?;
        endpoint.in_flight += 1;
        let connection = endpoint.take_idle_connection(reuse, now);
        Some(AcquiredEndpoint { address: endpoint.address, id, connection })
    }

    /// Ends an attempt that took `took_ms` milliseconds: records what was seen of the endpoint,
    /// and keeps its connection for another request if there is one to keep.
    pub(super) fn release(
        &mut self,
        id: &InstanceId,
        took_ms: u64,
        record: impl FnOnce(&mut OutlierDetector),
        connection: Option<EndpointConnection>,
    ) {
        let Some(endpoint) = self.endpoints.get_mut(id) else { return };
        endpoint.in_flight = endpoint.in_flight.saturating_sub(1);
        record(&mut endpoint.outlier);
        if let Some(service) = self.services.get_mut(&endpoint.service) {
            service.demand.record(took_ms);
        }
        if let Some(connection) = connection
            && !endpoint.draining
            && endpoint.idle.len() < MAX_IDLE
        {
            endpoint.idle.push(connection);
        }
    }
}

impl Endpoint {
    fn candidate(
        &self,
        zone: &str,
        reuse: ReusePolicy,
        assigned_capacity: f64,
        now: Tick,
    ) -> Candidate {
        Candidate {
            same_zone: self.zone == zone,
            ejected: self.outlier.is_ejected(now),
            in_flight: self.in_flight,
            capacity: self.capacity,
            latency_ms: self.outlier.latency_ms(),
            has_idle_connection: reuse == ReusePolicy::AnyIdle && !self.idle.is_empty(),
            assigned_capacity,
        }
    }

    fn take_idle_connection(
        &mut self,
        reuse: ReusePolicy,
        now: Tick,
    ) -> Option<EndpointConnection> {
        let min_left_ms = match reuse {
            ReusePolicy::AnyIdle => 0,
            ReusePolicy::FreshOnly => IDLE_MS.saturating_sub(FRESH_MS),
        };
        self.idle.retain(|connection| connection.expires > now);
        // The one that was used last is the likeliest to be still open.
        let usable = self.idle.last().is_some_and(|c| c.expires.since(now) > min_left_ms);
        if usable { self.idle.pop() } else { None }
    }
}
