//! The connections to one database, lent to sessions for a statement or a transaction.
//!
//! A `ConnectionPool` opens connections up to the pooler's quota, keeps idle ones, queues sessions
//! that wait for one, and remembers when its database failed, lagged or began to drain. The cluster
//! view owns one for each database in the directory.
use crate::base::errors::ErrorKind;
use crate::base::ids::{InstanceId, ServiceName};
use crate::base::sync::lock;
use crate::base::time::Tick;
use crate::config::configuration::RouteType;
use crate::config::directory::DirectoryEntry;
use crate::pooler::admission::{AcquireError, Admission, QueueTicket};
use crate::pooler::latency::LatencyEstimator;
use crate::pooler::reroute::SessionReroute;
use crate::pooler::server_connection::{CONNECT_MS, ConnectError, HANDSHAKE_MS, ServerConnection};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Condvar, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

/// Waiting for a connection and sending a statement take no longer than this, in ms: a draining
/// database gets nothing new so long before its drain time is over.
const DRAIN_MARGIN_MS: u64 = 1_000;

/// The time in ms that a database is left out for after a failure.
const BACKOFF_MS: u64 = 100;

/// The backoff doubles with each further failure, so many times at most.
const MAX_BACKOFF_DOUBLINGS: u64 = 4;

/// A thread that waits for a connection looks for itself this often at the latest, in ms.
const MAX_WAIT_MS: u64 = 500;

/// Whether a database that has been draining since `since` (0: it is not draining) may get nothing
/// new, even as the primary: where all databases of a service drain, one that drains may have been
/// promoted.
pub fn drain_time_over(since: Tick, now: Tick, drain_ms: u64) -> bool {
    since.0 > 0 && now.plus(DRAIN_MARGIN_MS) > since.plus(drain_ms)
}

/// A session's wish for a connection.
pub(crate) struct AcquireRequest<'a> {
    /// What the connection has to hold, so that the one that needs the least is taken.
    pub(crate) reroute: &'a SessionReroute,
    /// The number of the session.
    pub(crate) session: u64,
    /// The lowest is served first.
    pub(crate) priority: u8,
    /// Waiting ends here.
    pub(crate) deadline: Tick,
}

/// How busy a pool is.
pub(crate) struct PoolLoad {
    /// Connections in use, and sessions that wait for one.
    pub(crate) busy: usize,
    /// A connection is idle.
    pub(crate) has_idle: bool,
    /// No connection may be used.
    pub(crate) closed: bool,
}

/// What a pool's status shows.
pub(crate) struct PoolStatus {
    /// Open connections.
    pub(crate) open: u32,
    /// Idle connections.
    pub(crate) idle: usize,
    /// Sessions that wait for a connection.
    pub(crate) waiting: usize,
    /// The database is draining.
    pub(crate) draining: bool,
}

#[derive(Default)]
struct PoolState {
    admission: Admission,
    idle: Vec<ServerConnection>,
    draining: bool,
    /// The database is no longer in the directory.
    removed: bool,
}

/// The connections of this pooler to one database.
pub(crate) struct ConnectionPool {
    pub(crate) id: InstanceId,
    pub(crate) service: ServiceName,
    pub(crate) address: SocketAddr,
    pub(crate) zone: String,
    state: Mutex<PoolState>,
    /// Wakes waiters when a connection or a slot for one may be free.
    available: Condvar,
    /// The tick of the database's last reply to anyone here.
    last_reply_at: AtomicU64,
    /// The tick since which it is known to be draining; 0 if it is not.
    draining_since: AtomicU64,
    /// It is not tried before this tick.
    down_until: AtomicU64,
    /// Failures since the last success.
    failures: AtomicU64,
    /// It lacked the position of a read: others are asked until this tick.
    lagging_until: AtomicU64,
    /// By the type of the route, since their statements differ in work.
    latency: Mutex<[LatencyEstimator; 3]>,
}

/// What a session may take at once.
enum Slot {
    /// An idle connection.
    Idle(ServerConnection),
    /// A new connection, which already counts as open.
    Open,
    /// Nothing, but an idle connection proved unusable and was closed: look again.
    Closed,
}

impl PoolState {
    /// What may be taken by the holder of this ticket, or by a newcomer without one, if it is the
    /// next in the queue.
    fn take_slot(
        &mut self,
        ticket: Option<&QueueTicket>,
        request: &AcquireRequest<'_>,
    ) -> Option<Slot> {
        if !self.admission.is_next(ticket, self.idle.len()) {
            return None;
        }
        let slot = if let Some(best) = best_fit(&self.idle, request) {
            let connection = self.idle.swap_remove(best);
            // Nothing is lost with one that was closed while idle, or got a reply too many.
            if !connection.is_usable() {
                self.admission.close();
                return Some(Slot::Closed);
            }
            Slot::Idle(connection)
        } else if self.admission.try_open() {
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

/// The idle connection that needs the least before the session's next statement.
fn best_fit(idle: &[ServerConnection], request: &AcquireRequest<'_>) -> Option<usize> {
    // From the last one used on: it is the likeliest to be alive.
    idle.iter()
        .enumerate()
        .rev()
        .min_by_key(|(_, connection)| connection.sync_cost(request.reroute, request.session))
        .map(|(at, _)| at)
}

impl ConnectionPool {
    /// An empty pool for a database in the directory; none of its connections may be opened before
    /// `set_limit`.
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

    /// Whether this is a pool for the directory's entry, or another one is needed.
    pub(crate) fn matches(&self, entry: &DirectoryEntry) -> bool {
        self.address == entry.address && self.zone == entry.zone
    }

    /// Whether the database is left out after a failure.
    pub(crate) fn is_down(&self, now: Tick) -> bool {
        now.0 < self.down_until.load(Ordering::Relaxed)
    }

    /// Ends the backoff after a failure.
    pub(crate) fn clear_backoff(&self) {
        self.down_until.store(0, Ordering::Relaxed);
    }

    /// Whether the database has been draining for so long that it may get nothing new.
    pub(crate) fn drain_time_over(&self, now: Tick, drain_ms: u64) -> bool {
        drain_time_over(Tick(self.draining_since.load(Ordering::Relaxed)), now, drain_ms)
    }

    /// Whether the database lacked the position of a read a moment ago.
    pub(crate) fn is_lagging(&self, now: Tick) -> bool {
        now.0 < self.lagging_until.load(Ordering::Relaxed)
    }

    /// Leaves the database out for reads until this tick.
    pub(crate) fn set_lagging_until(&self, until: Tick) {
        self.lagging_until.store(until.0, Ordering::Relaxed);
    }

    /// The database could not be used: leaves it out, longer with each failure.
    pub(crate) fn record_failure(&self, now: Tick) {
        let earlier = self.failures.fetch_add(1, Ordering::Relaxed).min(MAX_BACKOFF_DOUBLINGS);
        self.down_until.store(now.0 + (BACKOFF_MS << earlier), Ordering::Relaxed);
    }

    /// The database replied to someone.
    pub(crate) fn record_reply(&self, now: Tick) {
        self.last_reply_at.store(now.0, Ordering::Relaxed);
    }

    /// Whether the database has replied to anyone here at or after this tick.
    pub(crate) fn replied_since(&self, since: Tick) -> bool {
        self.last_reply_at.load(Ordering::Relaxed) >= since.0
    }

    /// The time in ms after which a reply on a route of this type counts as lost.
    pub(crate) fn reply_timeout_ms(&self, route: RouteType, max_ms: u64) -> u64 {
        lock(&self.latency)[route as usize].timeout_ms(max_ms)
    }

    /// Takes in how long a reply on a route of this type took.
    pub(crate) fn record_latency(&self, route: RouteType, latency_ms: u64) {
        lock(&self.latency)[route as usize].record(latency_ms);
    }

    /// How busy the pool is.
    pub(crate) fn load(&self) -> PoolLoad {
        let state = lock(&self.state);
        let in_use = (state.admission.open as usize).saturating_sub(state.idle.len());
        PoolLoad {
            busy: in_use + state.admission.waiting(),
            has_idle: !state.idle.is_empty(),
            closed: state.draining || state.removed || state.admission.limit == 0,
        }
    }

    /// What the status shows of the pool.
    pub(crate) fn status(&self) -> PoolStatus {
        let state = lock(&self.state);
        PoolStatus {
            open: state.admission.open,
            idle: state.idle.len(),
            waiting: state.admission.waiting(),
            draining: state.draining,
        }
    }

    /// Connections that are open, or being opened.
    pub(crate) fn open_connections(&self) -> u32 {
        lock(&self.state).admission.open
    }

    /// Sessions that a higher limit would serve.
    pub(crate) fn unmet_demand(&self) -> u32 {
        lock(&self.state).admission.unmet_demand()
    }

    /// Sets how many connections may be open; idle ones beyond that are closed.
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

    /// Sets since when the database has been draining, if it is. Of several times the first counts.
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

    /// The database is no longer in the directory: closes what is idle and sends waiters away.
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

    /// Takes the idle connection that fits the session best, or opens one if that is allowed, or
    /// waits for one until the deadline of the request. `on_shortage` is called once when the
    /// session has to wait and a higher limit would help.
    pub(crate) fn acquire(
        &self,
        request: &AcquireRequest<'_>,
        on_shortage: impl Fn(),
    ) -> Result<ServerConnection, AcquireError> {
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
                    let opened = self.open(now, request.deadline);
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

    /// Leaves the queue; says why no connection was had.
    fn stop_waiting(
        &self,
        mut state: MutexGuard<'_, PoolState>,
        ticket: Option<QueueTicket>,
    ) -> AcquireError {
        if let Some(ticket) = &ticket {
            state.admission.dequeue(ticket);
        }
        let down = state.removed || self.is_down(Tick::now());
        drop(state);
        // The next in the queue may be served now.
        self.available.notify_all();
        if down { AcquireError::Unavailable } else { AcquireError::Exhausted }
    }

    /// Opens a connection, in the time for a handshake or a little beyond the session's deadline.
    fn open(&self, now: Tick, deadline: Tick) -> Result<ServerConnection, AcquireError> {
        let limit = now.plus(HANDSHAKE_MS).min(deadline.plus(CONNECT_MS));
        match ServerConnection::connect(self.address, &self.service, &self.id, limit) {
            Ok(connection) => {
                self.failures.store(0, Ordering::Relaxed);
                self.record_reply(Tick::now());
                Ok(connection)
            }
            Err(ConnectError::Rejected(ErrorKind::ConnLimit | ErrorKind::Throttled)) => {
                Err(AcquireError::Exhausted)
            }
            Err(ConnectError::Rejected(_) | ConnectError::Io(_)) => {
                self.record_failure(Tick::now());
                Err(AcquireError::Unavailable)
            }
        }
    }

    /// One connection fewer is open.
    fn release_slot(&self) {
        lock(&self.state).admission.close();
        self.available.notify_all();
    }

    /// Takes back a connection with no transaction open.
    pub(crate) fn give_back(&self, connection: ServerConnection) {
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

    /// Closes a connection that was lent out; the database rolls back what it had open.
    pub(crate) fn discard(&self, connection: ServerConnection) {
        drop(connection);
        self.release_slot();
    }
}
