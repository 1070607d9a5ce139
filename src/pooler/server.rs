//! The pooler's process: listeners, the link to the leader, sessions and their workers.
use crate::base::errors::Fatal;
use crate::base::ids::{DbTerm, InstanceId, NodeName, Position, Revision, ServiceName};
use crate::base::signals::Signals;
use crate::base::sync::lock;
use crate::base::time::Tick;
use crate::base::worker_pool::must_start;
use crate::config::directory::DirectoryEntry;
use crate::config::route_table::RouteTable;
use crate::config::settings::{Settings, Watched};
use crate::net::http;
use crate::net::idle_connections::IdleConnections;
use crate::net::leader_connection::{LeaderConnection, LeaderSubscriber};
use crate::net::rpc::pooler_messages::{
    LeaseGrant, ObservedPosition, PositionBound, PrimaryStatus, SuspicionReason, ToController,
    ToPooler,
};
use crate::net::sockets::{keep_alive, listen, tune};
use crate::net::statement_protocol::ReadBuffer;
use crate::pooler::client_session::{Next, Session};
use crate::pooler::leases::{SHARE_KEPT_MS, Seen, ServiceView, View};
use crate::pooler::pool::{Held, Pool};
use crate::pooler::replica_reads::{
    RECENT_READ_MS, RENEW_INTERVAL_MS, ReplicaRank, URGENT_RENEWAL_INTERVAL_MS, WATERMARK_AHEAD_MS,
    elapsed_lower_bound_ms,
};
use crate::pooler::server_connection::ServerConnection;
use log::info;
use std::collections::{BTreeSet, HashMap, VecDeque};
use std::hash::BuildHasher;
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::path::PathBuf;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::time::Duration;

pub(crate) struct Pooler {
    node: NodeName,
    zone: String,
    incarnation: u64,
    view: Mutex<View>,
    changed: Condvar,
    link: LeaderConnection,
    sent: Mutex<VecDeque<(u64, Tick)>>,
    /// The last answer to a renewal on this connection, and when it was in hand.
    heard: Mutex<Option<(u64, Tick)>>,
    seq: AtomicU64,
    /// When a leader last answered a renewal.
    answered: AtomicU64,
    /// Clients are let in.
    listening: AtomicBool,
    pub(crate) draining: AtomicBool,
    /// While draining, idle sessions are closed from this tick on.
    close_from: AtomicU64,
    pub(crate) sessions: Mutex<HashMap<u64, Arc<Seen>>>,
    next_session: AtomicU64,
    bench: Mutex<SessionWorkers>,
    wanted: Condvar,
    /// Sessions whose clients say nothing, and what wakes when one does.
    parked: IdleConnections<Session>,
    doubted: Mutex<HashMap<InstanceId, Tick>>,
    pub(crate) hasher: std::hash::RandomState,
    max_sessions: usize,
    drain_ms: AtomicU64,
}

/// Threads between two sessions, and sessions that one of them is about to take.
#[derive(Default)]
struct SessionWorkers {
    resting: usize,
    waiting: VecDeque<Session>,
}

/// A connection in a session's hands.
pub(crate) struct CheckedOutConnection {
    pub(crate) stock: ServerConnection,
    pub(crate) pool: Arc<Pool>,
    /// The term under which the primary is used; none at a replica.
    pub(crate) term: Option<DbTerm>,
}

impl Pooler {
    pub(crate) fn config(&self) -> Option<Arc<RouteTable>> {
        lock(&self.view).config.clone()
    }
    /// The primary's pool and term, if a lease on it is held now.
    pub(crate) fn primary(&self, service: &ServiceName, now: Tick) -> Option<(DbTerm, Arc<Pool>)> {
        let view = lock(&self.view);
        let (term, id) = view.services.get(service)?.lease(now)?;
        let pool = view.pools.get(id)?;
        let left = pool.has_left(now, self.drain_ms.load(Ordering::Relaxed));
        (!left).then(|| (term, Arc::clone(pool)))
    }
    /// Whether the lease on this term is still held.
    pub(crate) fn still(&self, service: &ServiceName, term: DbTerm, now: Tick) -> bool {
        let view = lock(&self.view);
        view.services.get(service).and_then(|s| s.lease(now)).is_some_and(|(t, _)| t == term)
    }
    /// An answer of the primary came under a lease on this term that still holds.
    pub(crate) fn learn(
        &self,
        service: &ServiceName,
        term: DbTerm,
        sent: Tick,
        position: Position,
    ) {
        let mut view = lock(&self.view);
        if let Some(seen) = view.services.get_mut(service) {
            seen.floors.observe(sent, position);
            seen.highest = seen.highest.max(Some(position));
            if seen.news.is_none_or(|(_, s, _)| sent > s) {
                seen.news = Some((term, sent, position));
            }
        }
    }
    pub(crate) fn floor(
        &self,
        service: &ServiceName,
        began: Tick,
        stale_ms: u64,
    ) -> Option<Position> {
        let mut view = lock(&self.view);
        let seen = view.services.get_mut(service)?;
        let stale = seen.read.map_or(stale_ms, |(_, stale)| stale.min(stale_ms));
        seen.read = Some((Tick::now(), stale));
        seen.floors.required_position(began, stale_ms)
    }
    /// Something waits that the leader may help with, a floor without a primary or a larger share: it
    /// is asked at once, though not more often than makes sense.
    pub(crate) fn ask_now(&self, now: Tick) {
        let last = lock(&self.sent).back().map(|(_, t)| *t);
        if last.is_none_or(|t| now.since(t) >= URGENT_RENEWAL_INTERVAL_MS) && self.link.is_up() {
            self.renew();
        }
    }
    /// Replicas to read from, the best first. The zone's own costs nothing between zones, so it is
    /// taken until it has clearly more to do.
    pub(crate) fn replicas(&self, service: &ServiceName, now: Tick) -> Vec<Arc<Pool>> {
        let view = lock(&self.view);
        let Some(seen) = view.services.get(service) else {
            return Vec::new();
        };
        let primary = match &seen.held {
            Held::Led { primary, .. } => Some(primary),
            Held::None => None,
        };
        let mut found: Vec<(ReplicaRank, Arc<Pool>)> = seen
            .pools
            .iter()
            .filter(|p| Some(&p.id) != primary && !p.is_down(now) && !p.lags(now))
            .filter_map(|p| {
                let (load, idle, closed) = p.load();
                let far = if p.zone == self.zone { 0 } else { 3 };
                let tie = if idle { rand::random() } else { self.hasher.hash_one(&p.id) };
                (!closed).then(|| {
                    (
                        ReplicaRank { load: load + far, needs_connection: !idle, tie_break: tie },
                        Arc::clone(p),
                    )
                })
            })
            .collect();
        found.sort_by_key(|(standby, _)| *standby);
        found.into_iter().map(|(_, pool)| pool).collect()
    }

    fn tell(&self, message: ToController) {
        self.link.tell(message);
    }
    pub(crate) fn doubt(&self, pool: &Pool, why: SuspicionReason, now: Tick) {
        {
            let mut doubted = lock(&self.doubted);
            if doubted.get(&pool.id).is_some_and(|t| now.since(*t) < 250) {
                return;
            }
            doubted.insert(pool.id.clone(), now);
        }
        let (service, instance) = (pool.service.clone(), pool.id.clone());
        self.tell(ToController::Suspect { service, instance, why });
    }
    fn renew_when_due(&self) {
        let last = lock(&self.sent).back().map(|(_, t)| *t);
        let due = last.is_none_or(|t| Tick::now().since(t) >= RENEW_INTERVAL_MS);
        if due && self.link.is_up() {
            self.renew();
        }
    }
    fn renew(&self) {
        // Numbered and sent under the link's lock, so that a lease given back and a renewal reach
        // the leader in the order in which this pooler thinks of them.
        let mut link = self.link.held();
        let now = Tick::now();
        let heard = *lock(&self.heard);
        let (mut shares, mut wants) = (Vec::new(), Vec::new());
        let (mut saw, mut asks) = (Vec::new(), Vec::new());
        for (name, seen) in &mut lock(&self.view).services {
            let pools = &seen.pools;
            let open = || pools.iter().map(|p| lock(&p.inner).admission.open).max().unwrap_or(0);
            shares.extend(seen.share.news(open).map(|share| (name.clone(), share)));
            let short = seen.short();
            if short > 0 {
                wants.push((name.clone(), short));
            }
            if let Some((term, sent, position)) = seen.news.take()
                && let Some(after) = heard.and_then(|(_, at)| elapsed_lower_bound_ms(at, sent))
            {
                saw.push(ObservedPosition { service: name.clone(), term, position, after });
            }
            let lately = seen.read.filter(|(at, _)| now.since(*at) < RECENT_READ_MS);
            match lately {
                Some((_, stale)) if !seen.floors.lasts(now, stale, WATERMARK_AHEAD_MS) => {
                    asks.push(name.clone());
                }
                Some(_) => {}
                None => seen.read = None,
            }
        }
        let heard = heard.map_or(0, |(seq, _)| seq);
        let seq = self.seq.fetch_add(1, Ordering::Relaxed) + 1;
        {
            let mut sent = lock(&self.sent);
            // Before it leaves, and no later than what it asks for is looked up.
            sent.push_back((seq, now));
            if sent.len() > 16 {
                sent.pop_front();
            }
        }
        LeaderConnection::tell_under(
            &mut link,
            ToController::RenewLeases { seq, heard, shares, wants, saw, asks, busy: Vec::new() },
        );
    }
    /// The leader takes a term back: nothing is sent or passed on under it from here on.
    fn revoke(&self, service: ServiceName, term: DbTerm) {
        let mut link = self.link.held();
        let highest = {
            let mut view = lock(&self.view);
            let seen = view.services.entry(service.clone()).or_default();
            seen.revoked = Some((term, self.seq.load(Ordering::Relaxed)));
            if matches!(seen.held, Held::Led { term: held, .. } if held <= term) {
                seen.held = Held::None;
                seen.unled_since = Some(Tick::now());
            }
            seen.highest
        };
        info!(target: "lease", "{service}: term {term} was taken back");
        LeaderConnection::tell_under(&mut link, ToController::RevokeAck { service, term, highest });
        drop(link);
        self.changed.notify_all();
    }

    // -- what the leader says --------------------------------------------------------------------

    fn heard_of(&self, message: ToPooler) {
        match message {
            ToPooler::NotLeader(_) | ToPooler::Welcome { .. } => {}
            ToPooler::RouteTable(config) => self.configured(*config),
            ToPooler::RouteTableDelta(changed) => {
                let config = self.config();
                if config.as_ref().is_some_and(|c| c.revision >= changed.revision) {
                    return;
                }
                match config.and_then(|c| c.with(&changed)) {
                    Some(config) => self.configured(config),
                    None => self.tell(ToController::RequestFullTable),
                }
            }
            ToPooler::Directory(listed) => {
                let mut view = lock(&self.view);
                let gone: Vec<InstanceId> = view
                    .pools
                    .keys()
                    .filter(|id| !listed.iter().any(|l| l.id == **id))
                    .cloned()
                    .collect();
                for id in gone {
                    Self::remove(&mut view, &id);
                }
                for one in listed {
                    Self::upsert(&mut view, one, Tick(1));
                }
                view.listed = true;
            }
            ToPooler::DirectoryDelta { listed, gone } => {
                let mut view = lock(&self.view);
                gone.iter().for_each(|id| Self::remove(&mut view, id));
                let now = Tick::now();
                listed.into_iter().for_each(|one| Self::upsert(&mut view, one, now));
            }
            ToPooler::LeaseGrants { seq, lease_ms, whole, grants, fresh, .. } => {
                self.granted(seq, lease_ms, whole, grants, fresh);
            }
            ToPooler::Revoke { service, term } => self.revoke(service, term),
            ToPooler::RenewNow => self.renew(),
        }
    }

    /// A pooler never goes back to an older version.
    fn configured(&self, config: RouteTable) {
        let mut view = lock(&self.view);
        if view.config.as_ref().is_some_and(|c| c.revision >= config.revision) {
            return;
        }
        info!(target: "pooler", "configuration {} is in force", config.revision);
        for service in &config.services {
            view.services.entry(service.clone()).or_default();
        }
        view.config = Some(Arc::new(config));
    }
    /// One that leaves, and was not known to, does so since `since`: what a whole directory tells may
    /// have been so for long.
    fn upsert(view: &mut View, listed: DirectoryEntry, since: Tick) {
        let fits = |p: &Arc<Pool>| p.address == listed.address && p.zone == listed.zone;
        let pool = match view.pools.get(&listed.id).filter(|p| fits(p)) {
            Some(pool) => Arc::clone(pool),
            None => {
                Self::remove(view, &listed.id);
                let pool = Arc::new(Pool::new(&listed));
                let seen = view.services.entry(pool.service.clone()).or_default();
                pool.set_cap(seen.share.laid);
                seen.pools.push(Arc::clone(&pool));
                view.pools.insert(listed.id.clone(), Arc::clone(&pool));
                pool
            }
        };
        // News of a database: whatever kept it from being tried may be over.
        pool.down_until.store(0, Ordering::Relaxed);
        pool.retire(listed.draining.then_some(since), false);
    }
    fn remove(view: &mut View, id: &InstanceId) {
        if let Some(pool) = view.pools.remove(id) {
            if let Some(seen) = view.services.get_mut(&pool.service) {
                seen.pools.retain(|p| p.id != *id);
            }
            pool.retire(Some(Tick::now()), true);
        }
    }

    fn granted(
        &self,
        seq: u64,
        lease_ms: u64,
        whole: bool,
        grants: Vec<LeaseGrant>,
        fresh: Vec<PositionBound>,
    ) {
        *lock(&self.heard) = Some((seq, Tick::now()));
        let asked = {
            let mut sent = lock(&self.sent);
            let found = sent.iter().find(|(s, _)| *s == seq).map(|(_, t)| *t);
            sent.retain(|(s, _)| *s >= seq);
            found
        };
        self.answered.store(Tick::now().0, Ordering::Relaxed);
        let mut guard = lock(&self.view);
        let view = &mut *guard;
        // What was told must be heard even if the renewal it answers is long forgotten; it is then
        // as old as can be.
        let asked = asked.unwrap_or(Tick(0));
        if whole {
            let named: BTreeSet<&ServiceName> = grants.iter().map(|g| &g.service).collect();
            for (_, seen) in view.services.iter_mut().filter(|(name, _)| !named.contains(name)) {
                seen.held = Held::None;
            }
        }
        let mut changed = whole || !fresh.is_empty();
        for PositionBound { service, position, age } in fresh {
            if let Some(seen) = view.services.get_mut(&service)
                && let Some(sent) = asked.0.checked_sub(age)
            {
                seen.floors.observe(Tick(sent), position);
            }
        }
        for grant in grants {
            changed = true;
            let seen = view.services.entry(grant.service.clone()).or_default();
            let led = matches!(seen.held, Held::Led { .. });
            match grant.standing {
                PrimaryStatus::Active { term, primary } => {
                    if seen.revoked.is_none_or(|(last, upto)| term > last || seq > upto) {
                        if !matches!(&seen.held, Held::Led { term: t, .. } if *t == term) {
                            info!(target: "lease", "{}: {primary} leads term {term}", grant.service);
                        }
                        seen.held = Held::Led { term, primary, until: asked };
                        seen.unled_since = None;
                    }
                }
                PrimaryStatus::Sealed(position) => {
                    seen.held = Held::None;
                    seen.floors.observe(asked, position);
                }
                PrimaryStatus::Absent => seen.held = Held::None,
            }
            if led && matches!(seen.held, Held::None) {
                seen.unled_since = Some(Tick::now());
                info!(target: "lease", "{}: none is granted", grant.service);
            }
            seen.share.size = grant.share;
        }
        // One lease covers all that was told on this connection.
        for seen in view.services.values_mut() {
            if let Held::Led { until, .. } = &mut seen.held {
                *until = asked.plus(lease_ms).max(*until);
            }
            seen.share.renew(asked.plus(SHARE_KEPT_MS));
            changed |= seen.lay_share();
        }
        drop(guard);
        if changed {
            self.changed.notify_all();
        }
    }

    /// It knows what to serve, and may.
    fn able(&self, now: Tick) -> bool {
        if self.draining.load(Ordering::Relaxed) || !self.link.is_up() {
            return false;
        }
        let view = lock(&self.view);
        view.config.is_some() && view.listed && view.services.values().any(|s| s.share.until > now)
    }
    fn ready(&self, now: Tick) -> bool {
        self.listening.load(Ordering::Relaxed) && self.able(now)
    }
    fn status(&self, now: Tick) -> serde_json::Value {
        let view = lock(&self.view);
        let services: Vec<_> = view
            .services
            .iter()
            .map(|(name, s)| {
                let lease = s.lease(now);
                serde_json::json!({
                    "service": name,
                    "term": lease.map(|(t, _)| t),
                    "primary": lease.map(|(_, p)| p),
                    "lease_left_ms": match &s.held { Held::Led { until, .. } => until.since(now), Held::None => 0 },
                    "connections_allowed": s.share.laid,
                    "highest": s.highest.map(|p| p.to_string()),
                })
            })
            .collect();
        let databases: Vec<_> = view
            .pools
            .values()
            .map(|p| {
                let inner = lock(&p.inner);
                serde_json::json!({
                    "id": p.id, "service": p.service, "address": p.address, "zone": p.zone,
                    "open": inner.admission.open, "idle": inner.idle.len(),
                    "waiting": inner.admission.waiting(), "draining": inner.draining,
                    "down": p.is_down(now),
                })
            })
            .collect();
        serde_json::json!({
            "node": self.node,
            "role": "pooler",
            "ready": self.link.is_up() && view.config.is_some(),
            "draining": self.draining.load(Ordering::Relaxed),
            "revision": view.config.as_ref().map(|c| c.revision),
            "sessions": lock(&self.sessions).len(),
            "sessions_allowed": self.max_sessions,
            "resting": self.parked.len(),
            "services": services,
            "databases": databases,
        })
    }
}

/// Sessions get this much of the program's stack; statements are small and buffers on the heap.
const STACK: usize = 128 << 10;

/// How long a thread waits for another session.
const REST_MS: u64 = 2_000;

/// So many threads wait on, since a later one may not be had.
const WORKERS_KEPT: usize = 1;

const IDLE_MS: u64 = 60_000;

/// How long a thread waits for the next line of the session it has just served.
const LINGER_MS: u64 = 20;

/// A client has this long to say CONNECT.
const HELLO_MS: u64 = 10_000;

/// A session that is older than this may stay for long.
const LASTING_MS: u64 = 1_000;

/// A lease, and a little: with it gone, only reads that may be old could still be served.
const DEAF_MS: u64 = crate::leases::lease_table::LEASE_MS + 200;

/// Descriptors kept for connections to databases, the link and files.
const SPARE_FILES: u64 = 400;

impl LeaderSubscriber for Pooler {
    fn hello(&self) -> ToController {
        let revision = self.config().map_or(Revision(0), |c| c.revision);
        ToController::Hello {
            node: self.node.clone(),
            incarnation: self.incarnation,
            revision,
            zone: self.zone.clone(),
        }
    }
    /// Nothing that was told on an earlier connection counts on this one.
    fn linked(&self) {
        for seen in lock(&self.view).services.values_mut() {
            seen.share.told = None;
        }
        *lock(&self.heard) = None;
    }
    fn begin(&self) {
        self.renew();
    }
    fn hear(&self, message: ToPooler) {
        self.heard_of(message);
    }
}

impl Pooler {
    /// What may change while the program runs.
    fn heed(&self, settings: &Settings) {
        self.link.seek(settings.seed_peers());
        self.drain_ms.store(settings.timing_bounds.drain_ms, Ordering::Relaxed);
    }
    pub(crate) fn wait_for_news(&self, ms: u64) {
        let view = lock(&self.view);
        drop(self.changed.wait_timeout(view, Duration::from_millis(ms)));
    }
    /// When a refused client should try again.
    pub(crate) fn come_back_ms(&self, service: &ServiceName) -> u64 {
        let now = Tick::now();
        let view = lock(&self.view);
        match view.services.get(service) {
            Some(seen) if seen.lease(now).is_some() => 100,
            // A change of primary takes about a second; less of it is left the longer it lasts.
            Some(ServiceView { unled_since: Some(since), .. }) => {
                1_000u64.saturating_sub(now.since(*since)).max(150)
            }
            _ => 500,
        }
    }
    /// No leader has answered for so long that nothing can be served here. Others may well be able
    /// to, so sessions with nothing under way are better off elsewhere.
    pub(crate) fn deaf(&self, now: Tick) -> bool {
        now.since(Tick(self.answered.load(Ordering::Relaxed))) > DEAF_MS
    }
    /// While draining: whether idle sessions are to be closed by now.
    pub(crate) fn closing_idle(&self) -> bool {
        Tick::now().0 >= self.close_from.load(Ordering::Relaxed)
    }

    /// Takes in a client, if there is room for it.
    fn admit(self: &Arc<Self>, stream: TcpStream) {
        let id = self.next_session.fetch_add(1, Ordering::Relaxed);
        // Turned away at once, the client comes to another node.
        if lock(&self.sessions).len() >= self.max_sessions || self.deaf(Tick::now()) {
            return;
        }
        // Many sessions serve one operation and go; what only the others need is left to `tend`.
        let ready = tune(&stream, Duration::from_secs(10))
            .and_then(|()| stream.set_read_timeout(Some(Duration::from_millis(LINGER_MS))))
            .and_then(|()| stream.set_write_timeout(Some(Duration::from_secs(5))));
        if ready.is_err() {
            return;
        }
        let now = Tick::now();
        let seen = Arc::new(Seen {
            stream,
            came: now,
            lasting: AtomicBool::new(false),
            watched: AtomicBool::new(false),
            connected: AtomicBool::new(false),
            resting: AtomicU64::new(now.0),
            open: AtomicBool::new(false),
        });
        lock(&self.sessions).insert(id, Arc::clone(&seen));
        let pooler = Arc::clone(self);
        self.hand(Session { id, pooler, seen, inbox: ReadBuffer::default(), scion: None });
    }

    /// Has a thread serve the session: one that rests, or a new one. Where the machine has none
    /// left, the session waits for one that gets free.
    fn hand(self: &Arc<Self>, session: Session) {
        let short = {
            let mut bench = lock(&self.bench);
            bench.waiting.push_back(session);
            bench.waiting.len() > bench.resting
        };
        if !short || !self.start_worker() {
            self.wanted.notify_one();
        }
    }
    fn start_worker(self: &Arc<Self>) -> bool {
        let pooler = Arc::clone(self);
        let thread = std::thread::Builder::new().stack_size(STACK);
        thread.spawn(move || while pooler.attend() {}).is_ok()
    }

    /// Serves the next session that something came for. False when there was none for long, and
    /// enough others wait for one.
    fn attend(self: &Arc<Self>) -> bool {
        let Some(mut session) = self.next() else {
            return false;
        };
        match session.serve() {
            Ok(Next::Rest) => self.park(session),
            Ok(Next::End) => {}
            // How a client's connection ends is not worth a line each.
            Err(e) => log::debug!(target: "session", "{}: {e}", session.id),
        }
        true
    }
    fn next(&self) -> Option<Session> {
        let mut bench = lock(&self.bench);
        bench.resting += 1;
        let until = Tick::now().plus(REST_MS);
        loop {
            if let Some(next) = bench.waiting.pop_front() {
                bench.resting -= 1;
                return Some(next);
            }
            let left = until.since(Tick::now());
            if left == 0 && bench.resting > WORKERS_KEPT {
                bench.resting -= 1;
                return None;
            }
            let wait = Duration::from_millis(if left == 0 { IDLE_MS } else { left });
            bench = match self.wanted.wait_timeout(bench, wait) {
                Ok((guard, _)) => guard,
                Err(poisoned) => poisoned.into_inner().0,
            };
        }
    }

    /// The session waits for its client without a thread.
    fn park(&self, session: Session) {
        let (id, seen) = (session.id, Arc::clone(&session.seen));
        let known = seen.watched.swap(true, Ordering::Relaxed);
        self.parked.rest(id, &seen.stream, session, known);
    }

    /// Ends transactions that rest for too long, and connections that nobody may hold any more.
    fn tend(&self, now: Tick) {
        let rest = self.config().map_or(3_000, |c| c.limits.txn_idle_ms);
        let deaf = self.deaf(now);
        for seen in lock(&self.sessions).values() {
            let since = seen.resting.load(Ordering::Relaxed);
            if deaf {
                seen.send_off(false);
            }
            if seen.open.load(Ordering::Relaxed) && since > 0 && now.0 > since + rest {
                drop(seen.stream.shutdown(Shutdown::Both));
            }
            let age = now.since(seen.came);
            if age > HELLO_MS && !seen.connected.load(Ordering::Relaxed) {
                drop(seen.stream.shutdown(Shutdown::Both));
            }
            if age > LASTING_MS && !seen.lasting.swap(true, Ordering::Relaxed) {
                // One that can't be watched is noticed when it is next written to.
                drop(keep_alive(&seen.stream, Duration::from_secs(30)));
            }
        }
        for seen in lock(&self.view).services.values_mut() {
            seen.lay_share();
        }
    }
}

pub fn run(path: PathBuf, mut settings: Settings) -> Result<(), Fatal> {
    let mut watched = Watched::new(path);
    let needed = |at: Option<SocketAddr>, name: &str| {
        at.ok_or_else(|| Fatal::Settings(format!("listeners.{name} is needed by a pooler")))
    };
    let frontend = needed(settings.listeners.frontend, "frontend")?;
    let readiness = needed(settings.listeners.readiness, "readiness")?;
    let signals = Signals::install().map_err(|e| Fatal::Call(e.to_string()))?;
    let pooler = Arc::new(Pooler {
        node: settings.node(),
        zone: settings.zone.clone(),
        incarnation: rand::random(),
        view: Mutex::default(),
        changed: Condvar::new(),
        link: LeaderConnection::new("pooler", settings.seed_peers()),
        sent: Mutex::default(),
        heard: Mutex::default(),
        seq: AtomicU64::new(0),
        answered: AtomicU64::new(0),
        listening: AtomicBool::new(false),
        draining: AtomicBool::new(false),
        close_from: AtomicU64::new(u64::MAX),
        sessions: Mutex::default(),
        next_session: AtomicU64::new(1),
        bench: Mutex::default(),
        wanted: Condvar::new(),
        parked: IdleConnections::new("session").map_err(|e| Fatal::Call(e.to_string()))?,
        doubted: Mutex::default(),
        hasher: std::hash::RandomState::new(),
        drain_ms: AtomicU64::new(settings.timing_bounds.drain_ms),
        max_sessions: settings.limits.max_open_files.saturating_sub(SPARE_FILES).max(16) as usize,
    });
    let (asked, told) = (Arc::clone(&pooler), Arc::clone(&pooler));
    let status = move || told.status(Tick::now());
    http::serve_state(readiness, move || asked.ready(Tick::now()), status)?;
    let linking = Arc::clone(&pooler);
    must_start("the link", move || linking.link.keep(&*linking))?;
    // Until it knows what to serve, a pooler has no address: who is refused there goes on to
    // another node at once.
    while !pooler.able(Tick::now()) {
        if signals.terminated() {
            return Ok(());
        }
        if let Some(new) = watched.poll(signals.take_hup()) {
            pooler.heed(&new);
            settings = new;
        }
        pooler.wait_for_news(50);
        pooler.renew_when_due();
    }
    let listener = listen(frontend)?;
    pooler.listening.store(true, Ordering::Relaxed);
    let watching = Arc::clone(&pooler);
    must_start("resting clients", move || watching.parked.watch(|s| watching.hand(s)))?;
    let serving = Arc::clone(&pooler);
    must_start("sessions", move || while serving.attend() {})?;
    let accepting = Arc::clone(&pooler);
    must_start("clients", move || {
        for stream in listener.incoming() {
            match stream {
                Ok(stream) => accepting.admit(stream),
                Err(_) => std::thread::sleep(Duration::from_millis(20)),
            }
        }
    })?;
    info!(target: "pooler", "{} serves {frontend}", settings.node_name);
    tend(&pooler, &signals, watched, settings)
}

/// The platform looks at readiness each second and needs two misses; new sessions come until then.
const NOTICED_MS: u64 = 2_300;

/// The loop that renews leases, tends sessions and ends the program in order.
fn tend(
    pooler: &Arc<Pooler>,
    signals: &Signals,
    mut watched: Watched,
    mut settings: Settings,
) -> Result<(), Fatal> {
    let mut tended = Tick(0);
    let mut leaving: Option<Tick> = None;
    loop {
        std::thread::sleep(Duration::from_millis(if leaving.is_some() { 50 } else { 150 }));
        let now = Tick::now();
        pooler.renew_when_due();
        if now.since(tended) >= 500 {
            tended = now;
            pooler.tend(now);
            if let Some(new) = watched.poll(signals.take_hup()) {
                pooler.heed(&new);
                settings = new;
            }
        }
        if signals.terminated() && leaving.is_none() {
            info!(target: "pooler", "draining");
            leaving = Some(now);
            pooler.draining.store(true, Ordering::Relaxed);
        }
        let Some(since) = leaving else { continue };
        let grace = settings.timing_bounds.grace_s * 1_000;
        let waited = now.since(since);
        if waited < NOTICED_MS.min(grace / 3) {
            continue;
        }
        pooler.close_from.store(0, Ordering::Relaxed);
        let late = waited > grace / 2;
        let sessions: Vec<Arc<Seen>> = lock(&pooler.sessions).values().cloned().collect();
        for seen in &sessions {
            seen.send_off(late);
        }
        if sessions.is_empty() || waited + 300 > grace {
            pooler.tell(ToController::Goodbye);
            info!(target: "pooler", "stopped with {} sessions open", sessions.len());
            return Ok(());
        }
    }
}
