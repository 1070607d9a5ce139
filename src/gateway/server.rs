//! The state that all threads of a gateway share.
//!
//! The other modules of the gateway implement the methods of [`Gateway`]: [`super::process`] runs
//! it, `leader_messages` applies updates from the leader, `client_connection` and
//! `request_handling` serve clients, `forwarding` and `endpoint_access` send requests to endpoints.
use crate::base::errors::Fatal;
use crate::base::ids::NodeName;
use crate::base::sync::lock;
use crate::config::route_table::RouteTable;
use crate::config::settings::Settings;
use crate::gateway::client_connection::{ClientConnection, ClientGuard};
use crate::gateway::leader_messages::Renewals;
use crate::gateway::retry_budget::RetryBudgets;
use crate::gateway::upstreams::Upstreams;
use crate::net::idle_connections::IdleConnections;
use crate::net::leader_connection::LeaderConnection;
use crate::node::operation_allowance::OperationAllowance;
use std::collections::HashMap;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex};

/// File descriptors that are reserved for connections to endpoints, the leader and files.
const RESERVED_FILE_DESCRIPTORS: u64 = 400;

/// The least number of file descriptors for clients, however low the limit of open files is.
const MIN_CLIENT_FILE_DESCRIPTORS: u64 = 16;

/// The state that all threads of a gateway share.
pub(super) struct Gateway {
    pub(super) node: NodeName,
    pub(super) zone: String,
    /// Distinguishes this process from earlier processes of the same node.
    pub(super) incarnation: u64,
    pub(super) leader: LeaderConnection,
    pub(super) renewals: Renewals,
    /// The operations that the leader granted for tenants with a limit.
    pub(super) allowance: OperationAllowance,
    pub(super) upstreams: Mutex<Upstreams>,
    /// Notified when an endpoint was released or the leader sent an update.
    pub(super) upstreams_changed: Condvar,
    pub(super) retry_budgets: Mutex<RetryBudgets>,
    /// Whether client connections are accepted.
    pub(super) listening: AtomicBool,
    /// Whether the process is shutting down gracefully: each client connection is closed after its
    /// next response.
    pub(super) draining: AtomicBool,
    /// Whether idle client connections are closed as well, in the second phase of draining.
    pub(super) closing_idle_clients: AtomicBool,
    /// All open client connections, by id.
    pub(super) clients: Mutex<HashMap<u64, Arc<ClientConnection>>>,
    pub(super) idle_clients: IdleConnections<ClientGuard>,
    pub(super) next_client_id: AtomicU64,
    pub(super) max_clients: usize,
    pub(super) counters: Counters,
    /// The tick of the last log line about an unusable response; 0 before the first.
    pub(super) unusable_response_logged_at: AtomicU64,
}

/// Counters since the start of the process, which `/status` shows.
#[derive(Default)]
pub(super) struct Counters {
    pub(super) requests: AtomicU64,
    /// Retries, hedged requests, and requests that were sent again on a new connection.
    pub(super) retries: AtomicU64,
    /// Requests that no endpoint could take, and that none has executed.
    pub(super) refused: AtomicU64,
    /// Requests without a key of a tenant.
    pub(super) denied: AtomicU64,
    /// Requests beyond the limit of their tenant.
    pub(super) over_limit: AtomicU64,
    /// Requests without a usable response in time, which an endpoint may have executed.
    pub(super) lost: AtomicU64,
    /// Requests whose client had closed its connection before the response.
    pub(super) client_closed: AtomicU64,
}

/// Increments a counter by one.
pub(super) fn increment(counter: &AtomicU64) {
    counter.fetch_add(1, Ordering::Relaxed);
}

impl Gateway {
    pub(super) fn new(settings: &Settings) -> Result<Self, Fatal> {
        let bounds = &settings.timing_bounds;
        let client_file_descriptors =
            settings.limits.max_open_files.saturating_sub(RESERVED_FILE_DESCRIPTORS);
        Ok(Self {
            node: settings.node(),
            zone: settings.zone.clone(),
            incarnation: rand::random(),
            leader: LeaderConnection::new("gateway", settings.seed_peers()),
            renewals: Renewals::default(),
            allowance: OperationAllowance::default(),
            upstreams: Mutex::default(),
            upstreams_changed: Condvar::new(),
            retry_budgets: Mutex::new(RetryBudgets::new(bounds.retry_ratio)),
            listening: AtomicBool::new(false),
            draining: AtomicBool::new(false),
            closing_idle_clients: AtomicBool::new(false),
            clients: Mutex::default(),
            idle_clients: IdleConnections::new("gateway")
                .map_err(|e| Fatal::Startup(e.to_string()))?,
            next_client_id: AtomicU64::new(1),
            // A client that is being served needs a second connection, to an endpoint.
            max_clients: (client_file_descriptors.max(MIN_CLIENT_FILE_DESCRIPTORS) / 2) as usize,
            counters: Counters::default(),
            unusable_response_logged_at: AtomicU64::new(0),
        })
    }

    /// The route table in force; `None` until one was received.
    pub(super) fn route_table(&self) -> Option<Arc<RouteTable>> {
        lock(&self.upstreams).route_table.clone()
    }

    /// Whether the leader has sent what is needed to serve clients: a route table and the
    /// directory.
    pub(super) fn is_configured(&self) -> bool {
        let upstreams = lock(&self.upstreams);
        upstreams.route_table.is_some() && upstreams.has_directory
    }

    /// Whether this node is ready for new clients, as its readiness probe reports.
    pub(super) fn is_ready(&self) -> bool {
        self.listening.load(Ordering::Relaxed) && !self.draining.load(Ordering::Relaxed)
    }
}
