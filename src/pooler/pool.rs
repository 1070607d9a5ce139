//! The pool of connections to one database, which sessions check out for a statement or a
//! transaction.
//!
//! A `ConnectionPool` opens connections up to the pooler's quota, keeps idle ones, queues sessions
//! that wait for one, and records when its database failed, lagged behind or began to drain. The
//! cluster view owns one for each database in the directory.
use crate::base::errors::ErrorKind;
use crate::base::ids::{InstanceId, ServiceName, TenantName};
use crate::base::sync::lock;
use crate::base::time::Tick;
use crate::config::configuration::RouteType;
use crate::config::directory::DirectoryEntry;
use crate::pooler::admission::{Admission, CheckOutError, Priority, QueueTicket};
use crate::pooler::latency::LatencyEstimator;
use crate::pooler::reroute::SessionReroute;
use crate::pooler::server_connection::{
    CONNECT_TIMEOUT_MS, ConnectError, HANDSHAKE_TIMEOUT_MS, ServerConnection,
};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Condvar, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

/// How long before the end of its drain period a database receives no new statements, in ms. It is
/// the longest time that waiting for a connection and sending a statement take.
const DRAIN_MARGIN_MS: u64 = 1_000;

/// How long a database is not used after its first failure, in ms.
const INITIAL_BACKOFF_MS: u64 = 100;

/// The backoff doubles with each consecutive failure, at most this many times.
const MAX_BACKOFF_DOUBLINGS: u64 = 4;

/// The maximum time in ms that a thread waits for a connection before it checks the pool again
/// without a notification.
const MAX_WAIT_MS: u64 = 500;

/// Whether a database that has been draining since `since` (0 if it is not draining) must receive
/// no new statements. This also applies to a primary: where all databases of a service drain, a
/// draining one may have been promoted.
pub fn drain_period_over(since: Tick, now: Tick, drain_ms: u64) -> bool {
    since.0 > 0 && now.plus(DRAIN_MARGIN_MS) > since.plus(drain_ms)
}

/// On whose behalf a connection is used. A database is told the tenant when a connection is opened.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ConnectionUser<'a> {
    /// A client, with its tenant if it has one; other tenants' connections can't be used.
    Client(Option<&'a TenantName>),
    /// The pooler itself, which may use every connection.
    Pooler,
}

impl ConnectionUser<'_> {
    fn may_use(self, connection: &ServerConnection) -> bool {
        match self {
            ConnectionUser::Client(tenant) => connection.tenant() == tenant,
            ConnectionUser::Pooler => true,
        }
    }

    /// The tenant that is named when a connection is opened.
    fn tenant(self) -> Option<TenantName> {
        match self {
            ConnectionUser::Client(tenant) => tenant.cloned(),
            ConnectionUser::Pooler => None,
        }
    }
}

/// A session's request for a connection.
pub(crate) struct CheckOutRequest<'a> {
    /// The session state that the connection has to be synced to; the idle connection with the
    /// lowest sync cost is chosen.
    pub(crate) reroute: &'a SessionReroute,
    /// The id of the session.
    pub(crate) session: u64,
    /// Who uses the connection.
    pub(crate) user: ConnectionUser<'a>,
    /// The lowest is served first.
    pub(crate) priority: Priority,
    /// When to stop waiting.
    pub(crate) deadline: Tick,
}

/// The load of a pool.
pub(crate) struct PoolLoad {
    /// The number of connections in use plus the number of sessions that wait for one.
    pub(crate) busy: usize,
    /// Whether a connection is idle.
    pub(crate) has_idle: bool,
    /// Whether no connection may be checked out.
    pub(crate) closed: bool,
}

/// The values of a pool that `GET /status` shows.
pub(crate) struct PoolStatus {
    /// The number of open connections.
    pub(crate) open: u32,
    /// The number of idle connections.
    pub(crate) idle: usize,
    /// The number of sessions that wait for a connection.
    pub(crate) waiting: usize,
    /// Whether the database is draining.
    pub(crate) draining: bool,
}

#[derive(Default)]
struct PoolState {
    admission: Admission,
    idle: Vec<ServerConnection>,
    draining: bool,
    /// Whether the database is no longer in the directory.
    removed: bool,
}

/// The connections of this pooler to one database.
pub(crate) struct ConnectionPool {
    pub(crate) id: InstanceId,
    pub(crate) service: ServiceName,
    pub(crate) address: SocketAddr,
    pub(crate) zone: String,
    state: Mutex<PoolState>,
    /// Notifies waiters that a connection or a slot for one may be free.
    available: Condvar,
    /// The tick of the database's last reply on any connection of the pool.
    last_reply_at: AtomicU64,
    /// The tick since which the database is known to be draining; 0 if it is not.
    draining_since: AtomicU64,
    /// The end of the backoff after a failure: the database is not used before this tick.
    down_until: AtomicU64,
    /// The number of failures since the last success.
    failures: AtomicU64,
    /// The replica lagged behind the position of a read: reads skip it until this tick.
    lagging_until: AtomicU64,
    /// One estimator for each type of route, because their statements differ in cost.
    latency: Mutex<[LatencyEstimator; 3]>,
}

/// The result of an attempt to take a connection without waiting.
enum Slot {
    /// An idle connection.
    Idle(ServerConnection),
    /// Permission to open a new connection, which already counts as open.
    Open,
    /// An idle connection proved unusable and was closed; the caller tries again.
    Closed,
}

impl PoolState {
    /// Takes a connection or a slot for the session with this ticket, or for one that has none yet,
    /// if it is next in the queue.
    fn take_slot(
        &mut self,
        ticket: Option<&QueueTicket>,
        request: &CheckOutRequest<'_>,
    ) -> Option<Slot> {
        if !self.admission.is_next(ticket, self.idle.len()) {
            return None;
        }
        let slot = if let Some(best) = best_fit(&self.idle, request) {
            let connection = self.idle.swap_remove(best);
            // The database closed it while idle, or sent an unexpected reply. Nothing was in
            // progress on it.
            if !connection.is_usable() {
                self.admission.close();
                return Some(Slot::Closed);
            }
            Slot::Idle(connection)
        } else if self.admission.try_open() || self.close_oldest_idle() {
            Slot::Open
        } else {
            return None;
        };
        if let Some(ticket) = ticket {
            self.admission.dequeue(ticket);
        }
        Some(slot)
    }
}

impl PoolState {
    /// Closes the connection that has been idle for longest, so that its slot can be used for
    /// another one. Returns false if there is none.
    fn close_oldest_idle(&mut self) -> bool {
        if self.idle.is_empty() || self.admission.over_limit() {
            return false;
        }
        drop(self.idle.remove(0));
        true
    }
}

/// The index of the idle connection with the lowest sync cost, of those that the session may use.
fn best_fit(idle: &[ServerConnection], request: &CheckOutRequest<'_>) -> Option<usize> {
    // Among equals the most recently used one wins, as it is the most likely to be alive.
    idle.iter()
        .enumerate()
        .rev()
        .filter(|(_, connection)| request.user.may_use(connection))
        .min_by_key(|(_, connection)| connection.sync_cost(request.reroute, request.session))
        .map(|(index, _)| index)
}

impl ConnectionPool {
    /// Creates an empty pool for a database in the directory. Its limit is 0 until `set_limit`.
    pub(crate) fn new(entry: &DirectoryEntry) -> Self {
        Self {
            id: entry.id.clone(),
            service: entry.service.clone(),
            address: entry.address,
            zone: entry.zone.clone(),
            state: Mutex::default(),
            available: Condvar::new(),
            last_reply_at: AtomicU64::new(0),
            draining_since: AtomicU64::new(0),
            down_until: AtomicU64::new(0),
            failures: AtomicU64::new(0),
            lagging_until: AtomicU64::new(0),
            latency: Mutex::default(),
        }
    }

    /// Whether this pool has the address and zone of the directory's entry, so that it need not be
    /// replaced.
    pub(crate) fn matches(&self, entry: &DirectoryEntry) -> bool {
        self.address == entry.address && self.zone == entry.zone
    }

    /// Whether the database is not to be used yet after a failure.
    pub(crate) fn is_down(&self, now: Tick) -> bool {
        now.0 < self.down_until.load(Ordering::Relaxed)
    }

    /// Ends the backoff after a failure.
    pub(crate) fn clear_backoff(&self) {
        self.down_until.store(0, Ordering::Relaxed);
    }

    /// Whether the database has been draining for so long that it must receive no new statements.
    pub(crate) fn drain_period_over(&self, now: Tick, drain_ms: u64) -> bool {
        drain_period_over(Tick(self.draining_since.load(Ordering::Relaxed)), now, drain_ms)
    }

    /// Whether the database is draining, or no longer in the directory.
    pub(crate) fn is_draining(&self) -> bool {
        self.draining_since.load(Ordering::Relaxed) != 0
    }

    /// Whether reads skip the replica because it recently lagged behind the position of a read.
    pub(crate) fn is_lagging(&self, now: Tick) -> bool {
        now.0 < self.lagging_until.load(Ordering::Relaxed)
    }

    /// Makes reads skip the replica until this tick.
    pub(crate) fn set_lagging_until(&self, until: Tick) {
        self.lagging_until.store(until.0, Ordering::Relaxed);
    }

    /// Records that the database could not be used, and begins an exponential backoff.
    pub(crate) fn record_failure(&self, now: Tick) {
        let doublings = self.failures.fetch_add(1, Ordering::Relaxed).min(MAX_BACKOFF_DOUBLINGS);
        self.down_until.store(now.0 + (INITIAL_BACKOFF_MS << doublings), Ordering::Relaxed);
    }

    /// Records that the database replied on some connection.
    pub(crate) fn record_reply(&self, now: Tick) {
        self.last_reply_at.store(now.0, Ordering::Relaxed);
    }

    /// Whether the database has replied on any connection of the pool at or after this tick.
    pub(crate) fn replied_since(&self, since: Tick) -> bool {
        self.last_reply_at.load(Ordering::Relaxed) >= since.0
    }

    /// The time in ms after which a reply on a route of this type is considered lost.
    pub(crate) fn reply_timeout_ms(&self, route: RouteType, max_ms: u64) -> u64 {
        lock(&self.latency)[route as usize].timeout_ms(max_ms)
    }

    /// Records how long a reply on a route of this type took.
    pub(crate) fn record_latency(&self, route: RouteType, latency_ms: u64) {
        lock(&self.latency)[route as usize].record(latency_ms);
    }

    /// Returns the load of the pool.
    pub(crate) fn load(&self) -> PoolLoad {
        let state = lock(&self.state);
        let in_use = (state.admission.open as usize).saturating_sub(state.idle.len());
        PoolLoad {
            busy: in_use + state.admission.waiting(),
            has_idle: !state.idle.is_empty(),
            closed: state.draining || state.removed || state.admission.limit == 0,
        }
    }

    /// Returns the values for `GET /status`.
    pub(crate) fn status(&self) -> PoolStatus {
        let state = lock(&self.state);
        PoolStatus {
            open: state.admission.open,
            idle: state.idle.len(),
            waiting: state.admission.waiting(),
            draining: state.draining,
        }
    }

    /// The number of connections that are open or being opened.
    pub(crate) fn open_connections(&self) -> u32 {
        lock(&self.state).admission.open
    }

    /// The number of waiting sessions that a higher limit would serve.
    pub(crate) fn unmet_demand(&self) -> u32 {
        lock(&self.state).admission.unmet_demand()
    }

    /// Sets how many connections may be open, and closes idle ones beyond that.
    pub(crate) fn set_limit(&self, limit: u32) {
        let mut state = lock(&self.state);
        if state.admission.limit == limit {
            return;
        }
        state.admission.limit = limit;
        while state.admission.over_limit() && state.idle.pop().is_some() {
            state.admission.close();
        }
        drop(state);
        self.available.notify_all();
    }

    /// Sets since when the database has been draining, or `None` if it is not. If it is known to be
    /// draining already, the earlier time is kept.
    pub(crate) fn set_draining(&self, since: Option<Tick>) {
        match since {
            Some(since) if self.draining_since.load(Ordering::Relaxed) == 0 => {
                self.draining_since.store(since.0, Ordering::Relaxed);
            }
            Some(_) => {}
            None => self.draining_since.store(0, Ordering::Relaxed),
        }
        lock(&self.state).draining = since.is_some();
    }

    /// Handles the removal of the database from the directory: closes idle connections and makes
    /// waiting sessions fail.
    pub(crate) fn remove(&self, now: Tick) {
        self.set_draining(Some(now));
        let mut state = lock(&self.state);
        state.removed = true;
        for _ in 0..state.idle.drain(..).count() {
            state.admission.close();
        }
        drop(state);
        self.available.notify_all();
    }

    /// Checks out the idle connection with the lowest sync cost, or opens one if the limit allows
    /// it, or waits for one until the deadline of the request. `on_shortage` is called once if the
    /// session has to wait and a higher limit would help.
    pub(crate) fn check_out(
        &self,
        request: &CheckOutRequest<'_>,
        on_shortage: impl Fn(),
    ) -> Result<ServerConnection, CheckOutError> {
        let mut state = lock(&self.state);
        let mut ticket: Option<QueueTicket> = None;
        loop {
            let now = Tick::now();
            if state.removed || self.is_down(now) {
                break;
            }
            match state.take_slot(ticket.as_ref(), request) {
                Some(Slot::Idle(connection)) => return Ok(connection),
                Some(Slot::Open) => {
                    drop(state);
                    let opened = self.open(now, request);
                    return opened.inspect_err(|_| self.release_slot());
                }
                Some(Slot::Closed) => continue,
                None => {}
            }
            if now >= request.deadline {
                break;
            }
            if ticket.is_none() {
                ticket = Some(state.admission.enqueue(request.priority, request.deadline));
                if state.admission.unmet_demand() > 0 {
                    drop(state);
                    on_shortage();
                    state = lock(&self.state);
                    continue;
                }
            }
            let wait_ms = request.deadline.since(now).clamp(1, MAX_WAIT_MS);
            let waited = self.available.wait_timeout(state, Duration::from_millis(wait_ms));
            state = waited.unwrap_or_else(PoisonError::into_inner).0;
        }
        Err(self.stop_waiting(state, ticket))
    }

    /// Leaves the queue and returns why no connection was checked out.
    fn stop_waiting(
        &self,
        mut state: MutexGuard<'_, PoolState>,
        ticket: Option<QueueTicket>,
    ) -> CheckOutError {
        if let Some(ticket) = &ticket {
            state.admission.dequeue(ticket);
        }
        let down = state.removed || self.is_down(Tick::now());
        drop(state);
        // The next session in the queue may be served now.
        self.available.notify_all();
        if down { CheckOutError::Unavailable } else { CheckOutError::Exhausted }
    }

    /// Opens a connection within the handshake timeout, or at most `CONNECT_TIMEOUT_MS` beyond the
    /// session's deadline.
    fn open(
        &self,
        now: Tick,
        request: &CheckOutRequest<'_>,
    ) -> Result<ServerConnection, CheckOutError> {
        let limit = now.plus(HANDSHAKE_TIMEOUT_MS).min(request.deadline.plus(CONNECT_TIMEOUT_MS));
        let tenant = request.user.tenant();
        match ServerConnection::connect(self.address, &self.service, &self.id, tenant, limit) {
            Ok(connection) => {
                self.failures.store(0, Ordering::Relaxed);
                self.record_reply(Tick::now());
                Ok(connection)
            }
            Err(ConnectError::Rejected(ErrorKind::ConnLimit | ErrorKind::Throttled)) => {
                Err(CheckOutError::Exhausted)
            }
            Err(ConnectError::Rejected(_) | ConnectError::Io(_)) => {
                self.record_failure(Tick::now());
                Err(CheckOutError::Unavailable)
            }
        }
    }

    /// Frees the slot of a connection that was closed or could not be opened.
    fn release_slot(&self) {
        lock(&self.state).admission.close();
        self.available.notify_all();
    }

    /// Returns a checked-out connection, which must have no open transaction, to the pool.
    pub(crate) fn release(&self, connection: ServerConnection) {
        let mut state = lock(&self.state);
        if state.removed || state.admission.over_limit() || !connection.is_settled() {
            state.admission.close();
        } else {
            state.idle.push(connection);
        }
        let waiting = state.admission.waiting() > 0;
        drop(state);
        if waiting {
            self.available.notify_all();
        }
    }

    /// Closes a checked-out connection; the database rolls back its open transaction.
    pub(crate) fn discard(&self, connection: ServerConnection) {
        drop(connection);
        self.release_slot();
    }
}
