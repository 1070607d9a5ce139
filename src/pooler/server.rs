//! The pooler's shared state, and the queries that sessions make on it.
//!
//! `process` creates the one `Pooler` of the program and runs its loops. Other parts of its
//! implementation are in modules of their own: `leader_messages` (messages to and from the leader),
//! `sessions` (client sessions and worker threads), `handover` and `status`.
use crate::base::errors::{ErrorKind, Fatal};
use crate::base::ids::{DbTerm, InstanceId, NodeName, Position, ServiceName};
use crate::base::sync::lock;
use crate::base::time::Tick;
use crate::config::route_table::RouteTable;
use crate::config::settings::Settings;
use crate::net::idle_connections::IdleConnections;
use crate::net::leader_connection::LeaderConnection;
use crate::node::operation_allowance::OperationAllowance;
use crate::pooler::client_session::Session;
use crate::pooler::cluster_view::{ClusterView, PrimaryPosition};
use crate::pooler::leader_messages::Renewals;
use crate::pooler::pool::ConnectionPool;
use crate::pooler::replica_reads::ReplicaRank;
use crate::pooler::server_connection::ServerConnection;
use crate::pooler::sessions::{SessionHandle, SessionWorkers};
use std::collections::HashMap;
use std::hash::{BuildHasher, RandomState};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::time::Duration;

/// The time in ms without an answer from a leader after which the leader counts as lost: slightly
/// longer than a lease. From then on only reads with a staleness limit could be served.
const LEADER_LOST_MS: u64 = crate::leases::lease_table::LEASE_MS + 200;

/// Added to the load of a replica in another zone when replicas are ranked, because traffic between
/// zones is charged.
const OTHER_ZONE_PENALTY: usize = 3;

/// The number of file descriptors reserved for connections to databases and controllers, and for
/// files.
const RESERVED_FILE_DESCRIPTORS: u64 = 400;

/// The minimum session limit, however low the limit of open files is.
const MIN_SESSIONS: u64 = 16;

/// The state that all threads of the pooler share.
pub(crate) struct Pooler {
    pub(super) node: NodeName,
    pub(super) zone: String,
    /// A random number per process, by which the leader distinguishes a restarted pooler from the
    /// previous one.
    pub(super) incarnation: u64,
    pub(super) view: Mutex<ClusterView>,
    /// Notifies threads that wait for a change of `view`.
    pub(super) view_changed: Condvar,
    /// Notifies sessions whose commit waits for a confirmation when a query of a replica ended.
    pub(super) commit_confirmed: Condvar,
    pub(super) leader: LeaderConnection,
    pub(super) renewals: Renewals,
    /// The operations that the leader granted for tenants with a limit.
    pub(super) allowance: OperationAllowance,
    /// When each suspected database was last reported to the leader.
    pub(super) suspicions: Mutex<HashMap<InstanceId, Tick>>,
    /// Whether clients are accepted.
    pub(super) listening: AtomicBool,
    pub(super) draining: AtomicBool,
    /// While draining, idle sessions are closed from this tick on.
    pub(super) close_idle_from: AtomicU64,
    /// The drain period of a database in ms.
    pub(super) drain_ms: AtomicU64,
    pub(super) max_sessions: usize,
    pub(super) next_session_id: AtomicU64,
    /// Sessions whose key belongs to no tenant, since the start of the process.
    pub(super) denied: AtomicU64,
    /// Statements beyond the limit of their tenant, since the start of the process.
    pub(super) over_limit: AtomicU64,
    pub(super) sessions: Mutex<HashMap<u64, Arc<SessionHandle>>>,
    pub(super) workers: SessionWorkers,
    /// The sessions that wait for their clients without a thread.
    pub(super) parked: IdleConnections<Session>,
    /// Has a random key per process, see `prepared_statement_id`.
    pub(super) hasher: RandomState,
}

/// A connection that a session has checked out.
pub(crate) struct CheckedOutConnection {
    pub(crate) connection: ServerConnection,
    pub(crate) pool: Arc<ConnectionPool>,
    /// The term under which the primary is used; `None` on a replica.
    pub(crate) term: Option<DbTerm>,
}

/// The primary of a service, on which a lease is held.
pub(crate) struct Primary {
    pub(crate) term: DbTerm,
    pub(crate) pool: Arc<ConnectionPool>,
}

impl Pooler {
    /// Creates a pooler with an empty view of the cluster.
    pub(super) fn new(settings: &Settings) -> Result<Self, Fatal> {
        let max_sessions = settings
            .limits
            .max_open_files
            .saturating_sub(RESERVED_FILE_DESCRIPTORS)
            .max(MIN_SESSIONS);
        Ok(Self {
            node: settings.node(),
            zone: settings.zone.clone(),
            incarnation: rand::random(),
            view: Mutex::default(),
            view_changed: Condvar::new(),
            commit_confirmed: Condvar::new(),
            leader: LeaderConnection::new("pooler", settings.seed_peers()),
            renewals: Renewals::default(),
            allowance: OperationAllowance::default(),
            suspicions: Mutex::default(),
            listening: AtomicBool::new(false),
            draining: AtomicBool::new(false),
            close_idle_from: AtomicU64::new(u64::MAX),
            drain_ms: AtomicU64::new(settings.timing_bounds.drain_ms),
            max_sessions: max_sessions as usize,
            next_session_id: AtomicU64::new(1),
            denied: AtomicU64::new(0),
            over_limit: AtomicU64::new(0),
            sessions: Mutex::default(),
            workers: SessionWorkers::default(),
            parked: IdleConnections::new("session").map_err(|e| Fatal::Startup(e.to_string()))?,
            hasher: RandomState::new(),
        })
    }

    /// Counts a session that was rejected because of its key.
    pub(super) fn count_denial(&self, kind: ErrorKind) {
        if kind == ErrorKind::Denied {
            self.denied.fetch_add(1, Ordering::Relaxed);
        }
    }

    /// Applies the settings that may change while the process runs.
    pub(super) fn apply_settings(&self, settings: &Settings) {
        self.leader.set_seeds(settings.seed_peers());
        self.drain_ms.store(settings.timing_bounds.drain_ms, Ordering::Relaxed);
    }

    /// The route table in force, or `None` until one was received.
    pub(crate) fn route_table(&self) -> Option<Arc<RouteTable>> {
        lock(&self.view).route_table.clone()
    }

    /// The primary of a service, if a lease on it is held and its drain period is not over.
    pub(crate) fn primary(&self, service: &ServiceName, now: Tick) -> Option<Primary> {
        let view = lock(&self.view);
        let lease = view.services.get(service)?.lease.active(now)?;
        let pool = view.pools.get(lease.primary)?;
        let drained = pool.drain_period_over(now, self.drain_ms.load(Ordering::Relaxed));
        (!drained).then(|| Primary { term: lease.term, pool: Arc::clone(pool) })
    }

    /// Whether the lease on the primary of this term is held.
    pub(crate) fn holds_lease(&self, service: &ServiceName, term: DbTerm, now: Tick) -> bool {
        lock(&self.view).holds_lease(service, term, now)
    }

    /// Records a position from a reply of the primary of `term` to a statement that was sent at
    /// `sent_at`. The lease must still be held.
    pub(crate) fn record_position(
        &self,
        service: &ServiceName,
        term: DbTerm,
        sent_at: Tick,
        position: Position,
    ) {
        if let Some(service) = lock(&self.view).services.get_mut(service) {
            service.record_position(PrimaryPosition { term, sent_at, position });
        }
    }

    /// The position that a replica must have reached so that the rows of a read that started at
    /// `started_at` are at most `stale_ms` old. Returns `None` if it is not known.
    pub(crate) fn required_position(
        &self,
        service: &ServiceName,
        started_at: Tick,
        stale_ms: u64,
    ) -> Option<Position> {
        let mut view = lock(&self.view);
        let service = view.services.get_mut(service)?;
        service.required_position(Tick::now(), started_at, stale_ms)
    }

    /// The replicas of a service that may serve reads, the best first.
    pub(crate) fn replicas(&self, service: &ServiceName, now: Tick) -> Vec<Arc<ConnectionPool>> {
        let view = lock(&self.view);
        let Some(service) = view.services.get(service) else {
            return Vec::new();
        };
        let primary = service.lease.primary();
        let mut ranked: Vec<(ReplicaRank, Arc<ConnectionPool>)> = service
            .pools
            .iter()
            .filter(|p| Some(&p.id) != primary && !p.is_down(now) && !p.is_lagging(now))
            .filter_map(|pool| Some((self.rank(pool)?, Arc::clone(pool))))
            .collect();
        ranked.sort_by_key(|(rank, _)| *rank);
        ranked.into_iter().map(|(_, pool)| pool).collect()
    }

    /// Ranks a replica. Returns `None` if no connection to it may be checked out.
    fn rank(&self, pool: &ConnectionPool) -> Option<ReplicaRank> {
        let load = pool.load();
        if load.closed {
            return None;
        }
        let penalty = if pool.zone == self.zone { 0 } else { OTHER_ZONE_PENALTY };
        Some(ReplicaRank {
            load: load.busy + penalty,
            needs_connection: !load.has_idle,
            tie_break: if load.has_idle { rand::random() } else { self.hasher.hash_one(&pool.id) },
        })
    }

    /// Waits for a change of the cluster view, for at most `max_ms`.
    pub(crate) fn wait_for_update(&self, max_ms: u64) {
        let view = lock(&self.view);
        drop(self.view_changed.wait_timeout(view, Duration::from_millis(max_ms)));
    }

    /// The time in ms after which a rejected client of the service should retry.
    pub(crate) fn retry_after_ms(&self, service: &ServiceName) -> u64 {
        lock(&self.view).retry_after_ms(service, Tick::now())
    }

    /// Whether no leader has answered for `LEADER_LOST_MS`, so that this pooler holds no lease and
    /// can serve at most reads with a staleness limit. Other poolers may still be connected to a
    /// leader, so idle sessions should move to them.
    pub(crate) fn leader_lost(&self, now: Tick) -> bool {
        now.since(self.renewals.last_answered_at()) > LEADER_LOST_MS
    }

    /// Whether the pooler is draining and idle sessions are to be closed.
    pub(crate) fn closes_idle_sessions(&self) -> bool {
        self.draining.load(Ordering::Relaxed)
            && Tick::now().0 >= self.close_idle_from.load(Ordering::Relaxed)
    }

    /// Whether the pooler can serve clients: it is not draining, is connected to a leader, and its
    /// view of the cluster is complete.
    pub(super) fn can_serve(&self, now: Tick) -> bool {
        !self.draining.load(Ordering::Relaxed)
            && self.leader.is_connected()
            && lock(&self.view).can_serve(now)
    }

    /// Whether the readiness probe succeeds, so that clients are directed to this pooler.
    pub(super) fn is_ready(&self, now: Tick) -> bool {
        self.listening.load(Ordering::Relaxed) && self.can_serve(now)
    }
}
