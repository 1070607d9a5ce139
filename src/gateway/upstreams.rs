//! The endpoints of each service, with their idle connections, load and health.
//!
//! The gateway's shared state owns them behind one lock. Messages from the leader update the
//! directory, and each attempt acquires an endpoint here. Invariant: an endpoint that was acquired
//! counts one more request in flight until it is released.
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

/// The most idle connections to one endpoint that are kept open.
const MAX_IDLE_CONNECTIONS: usize = 4;

/// How long a connection may be idle and still be reused, in milliseconds. The `Keep-Alive` header
/// of an endpoint can only shorten it.
pub(super) const MAX_IDLE_MS: u64 = 4_000;

/// A request that isn't idempotent reuses only connections that were idle for less than this, in
/// milliseconds, because endpoints don't close a connection that soon.
const MAX_FRESH_IDLE_MS: u64 = 20;

/// A connection to an endpoint.
pub(super) struct EndpointConnection {
    pub(super) stream: TcpStream,
    /// Bytes that were read and not parsed yet.
    pub(super) buffer: ReadBuffer,
    /// The end of the time for which the connection may be reused while it is idle.
    pub(super) expires_at: Tick,
}

/// Which idle connections a request may reuse.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ReusePolicy {
    /// Any: the request can be sent again if the endpoint has closed the connection.
    AnyIdle,
    /// Only those that were used just before, which the endpoint has not closed yet.
    FreshOnly,
}

/// An endpoint of a service, and what this node knows about it.
pub(super) struct Endpoint {
    pub(super) service: ServiceName,
    pub(super) address: SocketAddr,
    /// The zone, which is the failure domain of the endpoint.
    pub(super) zone: String,
    /// How many requests the endpoint can execute at once.
    pub(super) capacity: u32,
    /// Whether the endpoint is shutting down gracefully and gets no new requests.
    pub(super) draining: bool,
    pub(super) outlier_detector: OutlierDetector,
    /// This node's requests in flight at the endpoint.
    pub(super) in_flight: u32,
    pub(super) idle_connections: Vec<EndpointConnection>,
}

/// A service that requests are routed to.
#[derive(Default)]
pub(super) struct UpstreamService {
    endpoints: Vec<InstanceId>,
    /// The latency of responses other than errors, which decides when a hedged request is due.
    pub(super) latency: LatencyEstimator,
    /// This node's demand for the service, as reported to the leader.
    pub(super) demand: DemandMeter,
    /// The part of the zone's capacity that this node prefers.
    subset: Option<CapacityRange>,
    /// How much capacity of each endpoint lies in the subset.
    assigned_capacities: HashMap<InstanceId, f64>,
}

/// The configuration and directory that the leader sent, and the state of the endpoints.
#[derive(Default)]
pub(super) struct Upstreams {
    pub(super) route_table: Option<Arc<RouteTable>>,
    /// Whether a full directory was received since this process started.
    pub(super) has_directory: bool,
    pub(super) endpoints: BTreeMap<InstanceId, Endpoint>,
    pub(super) services: HashMap<ServiceName, UpstreamService>,
    /// How long it takes to connect to endpoints.
    pub(super) connect_latency: LatencyEstimator,
}

/// An endpoint that was acquired for an attempt and must be released at its end.
pub(super) struct AcquiredEndpoint {
    pub(super) id: InstanceId,
    pub(super) address: SocketAddr,
    /// An idle connection to the endpoint, if there is one that may be reused.
    pub(super) connection: Option<EndpointConnection>,
}

impl Upstreams {
    /// Replaces the directory; endpoints that are not in the new one are removed.
    pub(super) fn replace_directory(&mut self, entries: Vec<DirectoryEntry>, zone: &str) {
        let is_listed = |id: &InstanceId| entries.iter().any(|entry| entry.id == *id);
        let removed: Vec<InstanceId> =
            self.endpoints.keys().filter(|id| !is_listed(id)).cloned().collect();
        self.update_directory(entries, &removed, zone);
        self.has_directory = true;
    }

    /// Applies a change of the directory.
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
        match known.filter(|known| known.address == entry.address && known.service == entry.service)
        {
            Some(endpoint) => {
                endpoint.draining = entry.draining;
                endpoint.capacity = entry.capacity;
                endpoint.outlier_detector.reset();
                if entry.draining {
                    endpoint.idle_connections.clear();
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
                    outlier_detector: OutlierDetector::default(),
                    in_flight: 0,
                    idle_connections: Vec::new(),
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

    /// Stores the subsets that the leader has assigned to this node.
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

    /// Recomputes how much capacity of each endpoint is assigned to this node, after a change of
    /// the directory or of a subset.
    fn assign_capacities(&mut self, zone: &str) {
        for service in self.services.values_mut() {
            let in_zone = (service.endpoints.iter())
                .filter_map(|id| Some((id, self.endpoints.get(id)?)))
                .filter(|(_, endpoint)| endpoint.zone == zone && !endpoint.draining)
                .map(|(id, endpoint)| (id, endpoint.capacity));
            service.assigned_capacities =
                service.subset.map(|range| assigned_capacities(in_zone, range)).unwrap_or_default();
        }
    }

    /// Acquires an endpoint of the service that is not in `excluded`. Returns `None` if there is
    /// none whose queue has room.
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
            let Some(endpoint) = self.endpoints.get(id).filter(|endpoint| !endpoint.draining)
            else {
                continue;
            };
            if excluded.contains(id) {
                continue;
            }
            ids.push(id);
            let assigned_capacity = service.assigned_capacities.get(id).copied().unwrap_or(0.0);
            candidates.push(endpoint.candidate(zone, reuse, assigned_capacity, now));
        }
        let chosen = choose_endpoint(&candidates, |n| rand::random_range(0..n))?;
        let id = ids[chosen].clone();
        let endpoint = self.endpoints.get_mut(&id)?;
        endpoint.in_flight += 1;
        let connection = endpoint.take_idle_connection(reuse, now);
        Some(AcquiredEndpoint { address: endpoint.address, id, connection })
    }

    /// Releases an endpoint after an attempt of `took_ms` milliseconds: `record` records the result
    /// in the outlier detector, and `connection` is kept for another request.
    pub(super) fn release(
        &mut self,
        id: &InstanceId,
        took_ms: u64,
        record: impl FnOnce(&mut OutlierDetector),
        connection: Option<EndpointConnection>,
    ) {
        let Some(endpoint) = self.endpoints.get_mut(id) else { return };
        endpoint.in_flight = endpoint.in_flight.saturating_sub(1);
        record(&mut endpoint.outlier_detector);
        if let Some(service) = self.services.get_mut(&endpoint.service) {
            service.demand.record(took_ms);
        }
        if let Some(connection) = connection
            && !endpoint.draining
            && endpoint.idle_connections.len() < MAX_IDLE_CONNECTIONS
        {
            endpoint.idle_connections.push(connection);
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
            ejected: self.outlier_detector.is_ejected(now),
            in_flight: self.in_flight,
            capacity: self.capacity,
            latency_ms: self.outlier_detector.latency_ms(),
            has_idle_connection: reuse == ReusePolicy::AnyIdle && !self.idle_connections.is_empty(),
            assigned_capacity,
        }
    }

    fn take_idle_connection(
        &mut self,
        reuse: ReusePolicy,
        now: Tick,
    ) -> Option<EndpointConnection> {
        let min_remaining_ms = match reuse {
            ReusePolicy::AnyIdle => 0,
            ReusePolicy::FreshOnly => MAX_IDLE_MS.saturating_sub(MAX_FRESH_IDLE_MS),
        };
        self.idle_connections.retain(|connection| connection.expires_at > now);
        // The connection that was used last is the most likely to be still open.
        let usable = self
            .idle_connections
            .last()
            .is_some_and(|connection| connection.expires_at.since(now) > min_remaining_ms);
        if usable { self.idle_connections.pop() } else { None }
    }
}
