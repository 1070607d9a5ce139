//! The connections to one database, lent to sessions for a statement or a transaction.
use crate::base::errors::ErrorKind;
use crate::base::ids::{DbTerm, InstanceId, ServiceName};
use crate::base::sync::lock;
use crate::base::time::Tick;
use crate::config::directory::DirectoryEntry;
use crate::net::sockets::dial;
use crate::net::statement_protocol::{self, State};
use crate::pooler::admission::{AcquireError, Admission, QueueTicket};
use crate::pooler::latency::LatencyEstimator;
use crate::pooler::reroute::SessionReroute;
use crate::pooler::server_connection::{
    CONNECT_MS, HANDSHAKE_MS, LEFT_BEFORE_MS, LOOK_MS, ServerConnection,
};
use std::io::{self, Write};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Condvar, Mutex};
use std::time::Duration;

#[derive(Default)]
pub(crate) struct PoolInner {
    pub(crate) admission: Admission,
    pub(crate) idle: Vec<ServerConnection>,
    pub(crate) draining: bool,
    gone: bool,
}

/// Whether a database has been leaving since `since` (never if 0) for so long that nothing new may be
/// sent there, though it leads: where all of a service leave, one that does may have taken over.
pub fn has_left(since: Tick, now: Tick, drain_ms: u64) -> bool {
    since.0 > 0 && now.plus(LEFT_BEFORE_MS) > since.plus(drain_ms)
}

/// The connections of this pooler to one database.
pub(crate) struct Pool {
    pub(crate) id: InstanceId,
    pub(crate) service: ServiceName,
    pub(crate) address: SocketAddr,
    pub(crate) zone: String,
    pub(crate) inner: Mutex<PoolInner>,
    freed: Condvar,
    pub(crate) heard: AtomicU64,
    /// When it was first heard to be leaving; 0 if it stays.
    leaves: AtomicU64,
    /// Not to be tried before this.
    pub(crate) down_until: AtomicU64,
    failures: AtomicU64,
    /// It lacked even the floor; other databases are asked until this.
    pub(crate) lags_until: AtomicU64,
    /// By the type of the route: their statements differ in work.
    pub(crate) paces: Mutex<[LatencyEstimator; 3]>,
}

impl Pool {
    pub(crate) fn new(listed: &DirectoryEntry) -> Self {
        Self {
            id: listed.id.clone(),
            service: listed.service.clone(),
            address: listed.address,
            zone: listed.zone.clone(),
            inner: Mutex::default(),
            freed: Condvar::new(),
            heard: AtomicU64::new(0),
            leaves: AtomicU64::new(0),
            down_until: AtomicU64::new(0),
            failures: AtomicU64::new(0),
            lags_until: AtomicU64::new(0),
            paces: Mutex::default(),
        }
    }
    pub(crate) fn is_down(&self, now: Tick) -> bool {
        now.0 < self.down_until.load(Ordering::Relaxed)
    }
    pub(crate) fn has_left(&self, now: Tick, drain_ms: u64) -> bool {
        has_left(Tick(self.leaves.load(Ordering::Relaxed)), now, drain_ms)
    }
    pub(crate) fn lags(&self, now: Tick) -> bool {
        now.0 < self.lags_until.load(Ordering::Relaxed)
    }
    pub(crate) fn failed(&self, now: Tick) {
        let failures = self.failures.fetch_add(1, Ordering::Relaxed).min(4);
        self.down_until.store(now.0 + (100 << failures), Ordering::Relaxed);
    }
    pub(crate) fn heard(&self, now: Tick) {
        self.heard.store(now.0, Ordering::Relaxed);
    }
    /// Work that this pooler has there or holds for it, whether a connection is at rest, and
    /// whether none may be used.
    pub(crate) fn load(&self) -> (usize, bool, bool) {
        let inner = lock(&self.inner);
        let busy = (inner.admission.open as usize).saturating_sub(inner.idle.len());
        let closed = inner.draining || inner.gone || inner.admission.limit == 0;
        (busy + inner.admission.waiting(), !inner.idle.is_empty(), closed)
    }
    pub(crate) fn set_cap(&self, cap: u32) {
        let mut inner = lock(&self.inner);
        if inner.admission.limit == cap {
            return;
        }
        inner.admission.limit = cap;
        while inner.admission.over_limit() && inner.idle.pop().is_some() {
            inner.admission.close();
        }
        drop(inner);
        self.freed.notify_all();
    }
    pub(crate) fn retire(&self, leaves: Option<Tick>, gone: bool) {
        match leaves {
            Some(since) if self.leaves.load(Ordering::Relaxed) == 0 => {
                self.leaves.store(since.0, Ordering::Relaxed);
            }
            Some(_) => {}
            None => self.leaves.store(0, Ordering::Relaxed),
        }
        let mut inner = lock(&self.inner);
        inner.draining = leaves.is_some();
        inner.gone = gone;
        if gone {
            let idle = inner.idle.len();
            inner.idle.clear();
            for _ in 0..idle {
                inner.admission.close();
            }
            drop(inner);
            self.freed.notify_all();
        }
    }

    /// Borrows a connection, the one that needs the least to be laid on; opens one if it may. Having to
    /// wait for one is told by `waits`.
    pub(crate) fn borrow(
        &self,
        graft: &SessionReroute,
        session: u64,
        priority: u8,
        until: Tick,
        waits: impl Fn(),
    ) -> Result<ServerConnection, AcquireError> {
        let mut inner = lock(&self.inner);
        let mut turn: Option<QueueTicket> = None;
        loop {
            let now = Tick::now();
            if inner.gone || self.is_down(now) {
                break;
            }
            let free = inner.idle.len();
            if inner.admission.is_next(turn.as_ref(), free) {
                if let Some(best) = best_fit(&inner.idle, graft, session) {
                    let stock = inner.idle.swap_remove(best);
                    // Closed while it rested, or an answer too many came: it is of no use, and
                    // nothing is lost with it.
                    if !stock.quiet() {
                        inner.admission.close();
                        continue;
                    }
                    if let Some(turn) = &turn {
                        inner.admission.dequeue(turn);
                    }
                    return Ok(stock);
                }
                if inner.admission.try_open() {
                    if let Some(turn) = &turn {
                        inner.admission.dequeue(turn);
                    }
                    drop(inner);
                    return self.open(now, until).inspect_err(|_| self.close_one());
                }
            }
            if now >= until {
                break;
            }
            if turn.is_none() {
                turn = Some(inner.admission.enqueue(priority, until));
                if inner.admission.unmet_demand() > 0 {
                    drop(inner);
                    waits();
                    inner = lock(&self.inner);
                    continue;
                }
            }
            let wait = Duration::from_millis(until.since(now).clamp(1, 500));
            inner = match self.freed.wait_timeout(inner, wait) {
                Ok((guard, _)) => guard,
                Err(poisoned) => poisoned.into_inner().0,
            };
        }
        if let Some(turn) = &turn {
            inner.admission.dequeue(turn);
        }
        let down = inner.gone || self.is_down(Tick::now());
        drop(inner);
        // The one behind may be next now.
        self.freed.notify_all();
        Err(if down { AcquireError::Unavailable } else { AcquireError::Exhausted })
    }

    fn open(&self, now: Tick, until: Tick) -> Result<ServerConnection, AcquireError> {
        let connect = || -> io::Result<Result<ServerConnection, ErrorKind>> {
            let stream =
                dial(self.address, Duration::from_millis(CONNECT_MS), Duration::from_secs(3))?;
            stream.set_read_timeout(Some(Duration::from_millis(LOOK_MS)))?;
            stream.set_write_timeout(Some(Duration::from_secs(1)))?;
            let mut stock = ServerConnection::new(stream);
            let hello = format!("CONNECT {} stile {}\r\n", self.service, self.id);
            stock.stream.write_all(hello.as_bytes())?;
            let limit = now.plus(HANDSHAKE_MS).min(until.plus(CONNECT_MS));
            loop {
                if let Some(kind) = statement_protocol::refused_connect(stock.inbox.pending()) {
                    return Ok(Err(kind));
                }
                match statement_protocol::reply(stock.inbox.pending()) {
                    Ok(Some(reply)) => {
                        stock.inbox.use_up(reply.end);
                        if reply.state != State::Idle || !stock.settled() {
                            return Err(io::ErrorKind::InvalidData.into());
                        }
                        return Ok(Ok(stock));
                    }
                    Ok(None) => {}
                    Err(statement_protocol::Garbled) => {
                        return Err(io::ErrorKind::InvalidData.into());
                    }
                }
                match stock.inbox.fill(&mut stock.stream) {
                    Ok(0) => return Err(io::ErrorKind::UnexpectedEof.into()),
                    Ok(_) => {}
                    Err(e)
                        if matches!(
                            e.kind(),
                            io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut
                        ) =>
                    {
                        if Tick::now() >= limit {
                            return Err(io::ErrorKind::TimedOut.into());
                        }
                    }
                    Err(e) => return Err(e),
                }
            }
        };
        match connect() {
            Ok(Ok(stock)) => {
                self.failures.store(0, Ordering::Relaxed);
                self.heard(Tick::now());
                Ok(stock)
            }
            Ok(Err(ErrorKind::ConnLimit | ErrorKind::Throttled)) => Err(AcquireError::Exhausted),
            Ok(Err(_)) | Err(_) => {
                self.failed(Tick::now());
                Err(AcquireError::Unavailable)
            }
        }
    }

    fn close_one(&self) {
        lock(&self.inner).admission.close();
        self.freed.notify_all();
    }

    /// Takes a connection back that is at rest.
    pub(crate) fn give_back(&self, stock: ServerConnection) {
        let mut inner = lock(&self.inner);
        if inner.gone || inner.admission.over_limit() || !stock.settled() {
            inner.admission.close();
        } else {
            inner.idle.push(stock);
        }
        let waiting = inner.admission.waiting() > 0;
        drop(inner);
        if waiting {
            self.freed.notify_all();
        }
    }
    /// A borrowed connection was lost; dropping it rolls back what it had open.
    pub(crate) fn lose(&self, stock: ServerConnection) {
        drop(stock);
        self.close_one();
    }
}

/// The idle connection that needs the least work before the session's next statement.
fn best_fit(idle: &[ServerConnection], graft: &SessionReroute, session: u64) -> Option<usize> {
    let values = graft.settings();
    // Later ones were used last, and are the likeliest to live.
    idle.iter()
        .enumerate()
        .rev()
        .min_by_key(|(_, stock)| {
            if stock.holds == Some((session, graft.version())) {
                0
            } else if stock.inside || stock.values.keys().any(|k| !values.contains_key(k)) {
                100
            } else {
                1 + values.iter().filter(|(k, v)| stock.values.get(*k) != Some(v)).count()
            }
        })
        .map(|(at, _)| at)
}

/// Who may be asked for what is only at the primary.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum Held {
    None,
    Led { term: DbTerm, primary: InstanceId, until: Tick },
}
