//! The state that all threads of a gateway share.
//!
//! The other modules of the gateway add what is done with it: [`super::process`] runs it,
//! `leader_messages` keeps it up to date, `client_connection` and `request_handling` serve
//! clients, `forwarding` and `endpoint_access` send requests to endpoints.
use crate::base::errors::Fatal;
use crate::base::ids::NodeName;
use crate::base::sync::lock;
use crate::config::route_table::RouteTable;
use crate::config::settings::Settings;
use crate::gateway::client_connection::{ClientConnection, ClientGuard};
use crate::gateway::leader_messages::Renewals;
use crate::gateway::retry_budget::RetryBudget;
use crate::gateway::upstreams::Upstreams;
use crate::net::idle_connections::IdleConnections;
use crate::net::leader_connection::LeaderConnection;
use std::collections::HashMap;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex};

/// File descriptors that are reserved for connections to endpoints, the leader and files.
const RESERVED_FILES: u64 = 400;

/// The fewest file descriptors that are counted on for clients.
const MIN_CLIENT_FILES: u64 = 16;

/// The state that all threads of a gateway share.
pub(super) struct Gateway {
    pub(super) node: NodeName,
    pub(super) zone: String,
    /// Distinguishes this process from earlier ones of the node.
    pub(super) incarnation: u64,
    pub(super) leader: LeaderConnection,
    pub(super) renewals: Renewals,
    pub(super) upstreams: Mutex<Upstreams>,
    /// An endpoint was released, or the leader sent an update.
    pub(super) upstreams_changed: Condvar,
    pub(super) retry_budget: Mutex<RetryBudget>,
    /// Clients are accepted.
    pub(super) listening: AtomicBool,
    /// Shutting down gracefully: each client's connection ends with its next response.
    pub(super) draining: AtomicBool,
    /// Later while draining: idle clients are disconnected.
    pub(super) closing_idle: AtomicBool,
    pub(super) clients: Mutex<HashMap<u64, Arc<ClientConnection>>>,
    pub(super) idle_clients: IdleConnections<ClientGuard>,
    pub(super) next_client_id: AtomicU64,
    pub(super) max_clients: usize,
    pub(super) counters: Counters,
    /// The tick of the last log line on an unusable response.
    pub(super) unusable_response_logged: AtomicU64,
}

/// Counters for `status`, since the process started.
#[derive(Default)]
pub(super) struct Counters {
    pub(super) requests: AtomicU64,
    /// Retries and hedged requests.
    pub(super) retries: AtomicU64,
    /// Requests that no endpoint could take.
    pub(super) refused: AtomicU64,
    /// Requests that an endpoint may have executed, without a usable response in time.
    pub(super) lost: AtomicU64,
}

/// Counts one more.
pub(super) fn increment(counter: &AtomicU64) {
    counter.fetch_add(1, Ordering::Relaxed);
}

impl Gateway {
    pub(super) fn new(settings: &Settings) -> Result<Self, Fatal> {
        let bounds = &settings.timing_bounds;
        let client_files = settings.limits.max_open_files.saturating_sub(RESERVED_FILES);
        Ok(Self {
            node: settings.node(),
            zone: settings.zone.clone(),
            incarnation: rand::random(),
            leader: LeaderConnection::new("gateway", settings.seed_peers()),
            renewals: Renewals::default(),
            upstreams: Mutex::default(),
            upstreams_changed: Condvar::new(),
            retry_budget: Mutex::new(RetryBudget::new(
                bounds.retry_ratio,
                1_000 * bounds.retry_window_s,
            )),
            listening: AtomicBool::new(false),
            draining: AtomicBool::new(false),
            closing_idle: AtomicBool::new(false),
            clients: Mutex::default(),
            idle_clients: IdleConnections::new("gateway")
                .map_err(|e| Fatal::Startup(e.to_string()))?,
            next_client_id: AtomicU64::new(1),
            // A client in service needs a connection to an endpoint beside its own.
            max_clients: (client_files.max(MIN_CLIENT_FILES) / 2) as usize,
            counters: Counters::default(),
            unusable_response_logged: AtomicU64::new(0),
        })
    }

    /// The route table in force; `None` before the first.
    pub(super) fn route_table(&self) -> Option<Arc<RouteTable>> {
        lock(&self.upstreams).route_table.clone()
    }

    /// Whether the leader has sent all that is needed to serve clients.
    pub(super) fn is_configured(&self) -> bool {
        let upstreams = lock(&self.upstreams);
        upstreams.route_table.is_some() && upstreams.has_directory
    }

    /// Whether the platform may send new clients here.
    pub(super) fn is_ready(&self) -> bool {
        self.listening.load(Ordering::Relaxed) && !self.draining.load(Ordering::Relaxed)
    }
}
