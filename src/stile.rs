//! The stile: clients' sessions, the pool of database connections, and the reroute design.
//!
//! `Graft` decides what a statement needs and what a loss means; it is a value without sockets.
//! A `Scion` is a client's session; a thread serves it while its client talks, and all that rest are
//! waited for by one. A `Rootstock` is a connection to a database that it borrows.
use crate::base::errors::{ErrorKind, Fatal};
use crate::base::ids::{DbTerm, InstanceId, NodeName, Position, Revision, ServiceName};
use crate::base::signals::Signals;
use crate::base::sync::lock;
use crate::base::time::Tick;
use crate::base::worker_pool::must_start;
use crate::config::configuration::RouteType;
use crate::config::directory::Listed;
use crate::config::route_table::{Lane, Lanes};
use crate::config::settings::{Settings, Watched};
use crate::net::http;
use crate::net::idle_connections::{Parked, has_news};
use crate::net::leader_connection::{Follower, Link};
use crate::net::rpc::pooler_messages::{Doubt, Fresh, Grant, Saw, Standing, ToSteward, ToStile};
use crate::net::sockets::{dial, keep_alive, listen, tune};
use crate::net::statement_protocol::{
    self, Inbox, Line, NoLine, Outcome, Reply, State, Statement, Verb,
};
use log::{info, warn};
use std::collections::{BTreeMap, BTreeSet, HashMap, HashSet, VecDeque};
use std::hash::BuildHasher;
use std::io::{self, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::path::PathBuf;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::time::Duration;

// ---------------------------------------------------------------------------------------------
// The reroute design

/// A prepared statement, whatever its name.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Shape {
    pub verb: Verb,
    pub text: String,
}

/// What a statement does at a database.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    Read,
    Write,
    Commit,
}

/// A statement that a database has to run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Task {
    pub kind: Kind,
    /// Outside any transaction of the client's.
    pub alone: bool,
    /// The transaction has had no answer from a database yet, so that nothing ties it to one.
    pub first: bool,
    /// Only reads can follow in this transaction.
    pub read_only: bool,
    /// For EXECUTE: the shape behind the client's name.
    pub shape: Option<Shape>,
}

/// What to do with a statement of the client.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// Answered here with success; no database is asked.
    Settled,
    /// Answered here with success; what a database has open is rolled back.
    RolledBack,
    Refused(ErrorKind),
    Run(Task),
}

/// What the loss of a connection means for the statement that was on it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fate {
    /// Nothing can have been kept and nothing was shown: run again elsewhere, silently.
    Rerun,
    /// The client is told; its session goes on.
    Tell(ErrorKind),
}

#[derive(Clone, Debug, PartialEq, Eq)]
enum Phase {
    Idle,
    Open { read_only: bool, began: Tick, shown: bool, wrote: bool },
    Failed,
}

/// The state of one session that a reroute has to keep: whether it may leave its connection, and
/// what the next connection needs first. Both are derived from the statements and answers seen.
#[derive(Clone, Debug)]
pub struct Graft {
    phase: Phase,
    values: BTreeMap<String, String>,
    names: BTreeMap<String, Shape>,
    /// Grows whenever what has to be replayed changes.
    version: u64,
}

impl Default for Graft {
    fn default() -> Self {
        Self { phase: Phase::Idle, values: BTreeMap::new(), names: BTreeMap::new(), version: 0 }
    }
}

impl Graft {
    pub fn state(&self) -> State {
        match self.phase {
            Phase::Idle => State::Idle,
            Phase::Open { .. } => State::Open,
            Phase::Failed => State::Failed,
        }
    }
    /// The source's flag: no resource of the session lives in a connection, which may be changed
    /// or given to another session.
    pub fn reusable(&self) -> bool {
        // A failed transaction holds nothing that its client could still ask for.
        !matches!(self.phase, Phase::Open { .. })
    }
    /// What every connection must hold before the next statement: the source's SET statements,
    /// with the prepared names beside them.
    pub fn replay(&self) -> (&BTreeMap<String, String>, impl Iterator<Item = &Shape>) {
        (&self.values, self.names.values())
    }
    pub fn version(&self) -> u64 {
        self.version
    }
    /// From when on the freshness of reads counts, for a statement that came at `arrived`.
    pub fn began(&self, arrived: Tick) -> Tick {
        match self.phase {
            Phase::Open { began, .. } => began,
            _ => arrived,
        }
    }
    /// The transaction cannot be ended well any more.
    pub fn fail(&mut self) {
        self.phase = Phase::Failed;
    }

    /// Decides on a statement of the client.
    pub fn hear(&mut self, statement: &Statement<'_>, now: Tick) -> Verdict {
        let verdict = self.judge(statement, now);
        // An error inside a transaction fails it.
        if matches!(verdict, Verdict::Refused(_)) && matches!(self.phase, Phase::Open { .. }) {
            self.phase = Phase::Failed;
        }
        verdict
    }

    fn judge(&mut self, statement: &Statement<'_>, now: Tick) -> Verdict {
        if self.phase == Phase::Failed {
            return match statement {
                Statement::Abort => {
                    self.phase = Phase::Idle;
                    Verdict::RolledBack
                }
                // Ending it rolls back, and a commit that was none must not look like one.
                Statement::Commit => {
                    self.phase = Phase::Idle;
                    Verdict::Refused(ErrorKind::RolledBack)
                }
                _ => Verdict::Refused(ErrorKind::Malformed),
            };
        }
        match *statement {
            Statement::Begin { read_only } => {
                if self.phase != Phase::Idle {
                    return Verdict::Refused(ErrorKind::Malformed);
                }
                self.phase = Phase::Open { read_only, began: now, shown: false, wrote: false };
                Verdict::Settled
            }
            Statement::Commit if self.phase == Phase::Idle => {
                Verdict::Refused(ErrorKind::Malformed)
            }
            Statement::Commit => self.run(Kind::Commit, None),
            Statement::Abort => {
                self.phase = Phase::Idle;
                Verdict::RolledBack
            }
            Statement::Fetch => self.run(Kind::Read, None),
            Statement::Store => self.run(Kind::Write, None),
            Statement::Configure { name, value } => {
                self.values.insert(name.to_owned(), value.to_owned());
                self.version += 1;
                Verdict::Settled
            }
            Statement::Prepare { name, verb, shape } => {
                let shape = Shape { verb, text: shape.to_owned() };
                self.names.insert(name.to_owned(), shape);
                self.version += 1;
                Verdict::Settled
            }
            Statement::Deallocate { name } => match self.names.remove(name) {
                Some(_) => Verdict::Settled,
                None => Verdict::Refused(ErrorKind::NotFound),
            },
            Statement::Execute { name, .. } => match self.names.get(name).cloned() {
                Some(shape) => {
                    let kind = match shape.verb {
                        Verb::Fetch => Kind::Read,
                        Verb::Store => Kind::Write,
                    };
                    self.run(kind, Some(shape))
                }
                None => Verdict::Refused(ErrorKind::NotFound),
            },
        }
    }

    fn run(&mut self, kind: Kind, shape: Option<Shape>) -> Verdict {
        let task = match &mut self.phase {
            Phase::Open { read_only, shown, wrote, .. } => {
                if kind == Kind::Write {
                    // From here on the end of the transaction matters, sent or not.
                    *wrote = true;
                }
                Task { kind, alone: false, first: !*shown, read_only: *read_only, shape }
            }
            _ => Task { kind, alone: true, first: true, read_only: kind == Kind::Read, shape },
        };
        Verdict::Run(task)
    }

    /// The connection is gone, or its answer can't be used. `sent` says whether the statement may
    /// have reached a database.
    pub fn lost(&mut self, task: &Task, sent: bool) -> Fate {
        if task.alone {
            return match task.kind {
                // A write that may have run may also have been kept.
                Kind::Write if sent => Fate::Tell(ErrorKind::Unknown),
                _ => Fate::Rerun,
            };
        }
        let wrote = matches!(self.phase, Phase::Open { wrote: true, .. });
        match task.kind {
            // Nothing was shown, and without a commit nothing is kept: not even a write.
            Kind::Read | Kind::Write if task.first => Fate::Rerun,
            Kind::Commit if task.first && !wrote => Fate::Rerun,
            Kind::Commit if wrote && sent => {
                self.phase = Phase::Idle;
                Fate::Tell(ErrorKind::Unknown)
            }
            // The client has seen rows or answers that another connection need not repeat.
            _ => {
                self.phase = Phase::Idle;
                Fate::Tell(ErrorKind::RolledBack)
            }
        }
    }

    /// The statement is given up without having run; nothing of its transaction is kept.
    pub fn give_up(&mut self) {
        self.phase = Phase::Idle;
    }

    /// A database's answer is passed on to the client.
    pub fn answered(&mut self, state: State) {
        self.phase = match (std::mem::replace(&mut self.phase, Phase::Idle), state) {
            (Phase::Open { read_only, began, wrote, .. }, State::Open) => {
                Phase::Open { read_only, began, shown: true, wrote }
            }
            (Phase::Open { .. } | Phase::Failed, State::Failed) => Phase::Failed,
            _ => Phase::Idle,
        };
    }
}

// ---------------------------------------------------------------------------------------------
// Fresh reads

/// Positions seen at the primary: a pair (s, p) says that p covers every commit acknowledged
/// before s.
#[derive(Clone, Debug, Default)]
pub struct Floors {
    kept: VecDeque<(Tick, Position)>,
    newest: Option<(Tick, Position)>,
}

const FLOORS_KEPT: usize = 64;
const FLOOR_STEP_MS: u64 = 60;

impl Floors {
    pub fn learn(&mut self, sent: Tick, position: Position) {
        if self.newest.is_some_and(|(s, p)| s > sent || p > position) {
            return;
        }
        self.newest = Some((sent, position));
        if self.kept.back().is_none_or(|(s, _)| sent.since(*s) >= FLOOR_STEP_MS) {
            if self.kept.len() == FLOORS_KEPT {
                self.kept.pop_front();
            }
            self.kept.push_back((sent, position));
        }
    }
    /// Whether reads that begin within `ahead` ms from now will find a floor.
    pub fn lasts(&self, now: Tick, stale_ms: u64, ahead: u64) -> bool {
        self.newest.is_some_and(|(s, _)| s.plus(stale_ms) > now.plus(ahead + 1))
    }
    /// The least demanding position that is no older than `stale_ms` for a read begun at `began`.
    pub fn needed(&self, began: Tick, stale_ms: u64) -> Option<Position> {
        // Times are cut to whole milliseconds, so one is kept in hand.
        let fresh = |s: Tick| s.plus(stale_ms) > began.plus(1);
        let old_enough = self.kept.iter().find(|(s, _)| fresh(*s));
        old_enough.or(self.newest.as_ref().filter(|(s, _)| fresh(*s))).map(|(_, p)| *p)
    }
}

/// How long after the answer at `heard` something was sent, as the leader may count it from its own
/// sending of that answer: never more than it was. None for what was sent before.
pub fn after(heard: Tick, sent: Tick) -> Option<u64> {
    // Times are cut to whole milliseconds, so one is kept in hand.
    sent.0.checked_sub(heard.0)?.checked_sub(1)
}

// ---------------------------------------------------------------------------------------------
// Connections to databases

/// How often a thread that waits for a database looks up.
const LOOK_MS: u64 = 25;
/// A database that owes an answer and says nothing to anyone here for this long is doubted.
const SILENT_MS: u64 = 200;
const CONNECT_MS: u64 = 400;
/// Waiting for a connection and the way there are over within this; what comes later is not sent to a
/// database that leaves.
const LEFT_BEFORE_MS: u64 = 1_000;
const HANDSHAKE_MS: u64 = 1_500;
/// An answer larger than this is no answer.
const MAX_ANSWER: usize = 4 << 20;
/// Prepared statements on one connection before it is cleared.
const MAX_PREPARED: usize = 256;

/// A connection to a database, and what the database holds for it.
pub struct Rootstock {
    stream: TcpStream,
    inbox: Inbox,
    /// Answers that the database owes. They carry no id: only by their count is one known to be the
    /// next statement's.
    owed: u32,
    values: BTreeMap<String, String>,
    prepared: HashSet<u64>,
    /// The session and the version of its state that was last laid on.
    holds: Option<(u64, u64)>,
    /// A transaction was opened and not ended.
    open: bool,
    /// State was laid on inside a transaction that may be rolled back with it.
    inside: bool,
}

#[derive(Debug)]
enum Loss {
    /// The connection is gone or can't be trusted.
    Broken,
    /// The database owes the answer for too long.
    Overdue,
    /// The deadline of the statement is there.
    Late,
}

impl Rootstock {
    fn new(stream: TcpStream) -> Self {
        Self {
            stream,
            inbox: Inbox::default(),
            owed: 0,
            values: BTreeMap::new(),
            prepared: HashSet::new(),
            holds: None,
            open: false,
            inside: false,
        }
    }
    /// Nothing is owed and nothing unasked has been read.
    fn settled(&self) -> bool {
        self.owed == 0 && self.inbox.is_empty()
    }
    /// Nothing else has come either, and the far end has not closed.
    fn quiet(&self) -> bool {
        self.settled() && !has_news(&self.stream)
    }
    /// Sends what will be answered `answers` times. An error tells whether a part may have left.
    fn write(&mut self, bytes: &[u8], answers: u32) -> Result<(), (Loss, bool)> {
        // Bytes that nobody asked for make every later answer doubtful.
        if !self.quiet() {
            return Err((Loss::Broken, false));
        }
        self.owed = answers;
        self.stream.write_all(bytes).map_err(|_| (Loss::Broken, true))
    }
    /// An answer was taken in or passed on.
    fn taken(&mut self, reply: &Reply) {
        self.inbox.use_up(reply.end);
        self.owed = self.owed.saturating_sub(1);
    }
    /// Waits for one answer. `look` is asked now and then whether it is still worth it.
    fn answer(&mut self, mut look: impl FnMut() -> Option<Loss>) -> Result<Reply, Loss> {
        loop {
            if !self.inbox.is_empty() {
                match statement_protocol::reply(self.inbox.pending()) {
                    // With more behind the last one due, either may be another statement's.
                    Ok(Some(reply)) if self.owed <= 1 && reply.end < self.inbox.pending().len() => {
                        warn!(target: "pool", "an answer too many");
                        return Err(Loss::Broken);
                    }
                    Ok(Some(reply)) => return Ok(reply),
                    Ok(None) if self.inbox.pending().len() > MAX_ANSWER => {
                        return Err(Loss::Broken);
                    }
                    Ok(None) => {}
                    Err(statement_protocol::Garbled) => {
                        warn!(target: "pool", "garbled answer");
                        return Err(Loss::Broken);
                    }
                }
            }
            match self.inbox.fill(&mut self.stream) {
                Ok(0) => return Err(Loss::Broken),
                Ok(_) => {}
                Err(e)
                    if matches!(e.kind(), io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut) =>
                {
                    if let Some(loss) = look() {
                        return Err(loss);
                    }
                }
                Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
                Err(_) => return Err(Loss::Broken),
            }
        }
    }
}

/// How a connection can be refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NoRoom {
    /// The database can't be reached now.
    Down,
    /// All connections are in use, and waiting longer makes no sense.
    Full,
}

/// The order in which waiters get connections.
pub type Turn = (u8, Tick, u64);

/// Who may open or borrow, as a value: the pool puts sockets to it.
#[derive(Debug, Default)]
pub struct Admission {
    pub cap: u32,
    pub open: u32,
    waiting: BTreeSet<Turn>,
    next: u64,
}

impl Admission {
    /// May another connection be opened? If so it counts from now on.
    pub fn grow(&mut self) -> bool {
        let room = self.open < self.cap;
        self.open += u32::from(room);
        room
    }
    pub fn shrink(&mut self) {
        self.open = self.open.saturating_sub(1);
    }
    pub fn queue(&mut self, priority: u8, deadline: Tick) -> Turn {
        self.next += 1;
        let turn = (priority, deadline, self.next);
        self.waiting.insert(turn);
        turn
    }
    pub fn leave(&mut self, turn: &Turn) {
        self.waiting.remove(turn);
    }
    /// Whether it is this waiter's turn, with `free` connections to hand out. One that does not
    /// wait yet comes after all who do.
    pub fn turn(&self, turn: Option<&Turn>, free: usize) -> bool {
        let ahead = match turn {
            Some(turn) => self.waiting.range(..turn).count(),
            None => self.waiting.len(),
        };
        let room = self.cap.saturating_sub(self.open) as usize;
        ahead < free + room
    }
    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }
    /// Waiters that a larger share would serve.
    pub fn short(&self) -> u32 {
        if self.open < self.cap { 0 } else { self.waiting.len() as u32 }
    }
    pub fn over(&self) -> bool {
        self.open > self.cap
    }
}

/// How long answers take, so that a lost one is told from a slow one: a running mean and how far
/// answers stray from it.
#[derive(Clone, Copy, Debug, Default)]
pub struct Pace {
    mean: f32,
    stray: f32,
    seen: u32,
}

/// Answers before the pace is trusted.
const PACE_TRUSTED: u32 = 8;
const PATIENCE_MIN_MS: u64 = 40;

impl Pace {
    pub fn learn(&mut self, took_ms: u64) {
        let took = took_ms as f32;
        if self.seen == 0 {
            (self.mean, self.stray) = (took, took / 2.0);
        } else {
            self.stray += ((took - self.mean).abs() - self.stray) / 8.0;
            self.mean += (took - self.mean) / 16.0;
        }
        self.seen = self.seen.saturating_add(1);
    }
    /// After this long an answer is more likely lost than under way.
    pub fn patience(&self, most: u64) -> u64 {
        if self.seen < PACE_TRUSTED {
            return most;
        }
        ((self.mean + 6.0 * self.stray) as u64).max(PATIENCE_MIN_MS).min(most)
    }
}

#[derive(Default)]
struct PoolInner {
    admission: Admission,
    idle: Vec<Rootstock>,
    draining: bool,
    gone: bool,
}

/// Whether a database has been leaving since `since` (never if 0) for so long that nothing new may be
/// sent there, though it leads: where all of a service leave, one that does may have taken over.
pub fn has_left(since: Tick, now: Tick, drain_ms: u64) -> bool {
    since.0 > 0 && now.plus(LEFT_BEFORE_MS) > since.plus(drain_ms)
}

/// The connections of this stile to one database.
struct Pool {
    id: InstanceId,
    service: ServiceName,
    address: SocketAddr,
    zone: String,
    inner: Mutex<PoolInner>,
    freed: Condvar,
    heard: AtomicU64,
    /// When it was first heard to be leaving; 0 if it stays.
    leaves: AtomicU64,
    /// Not to be tried before this.
    down_until: AtomicU64,
    failures: AtomicU64,
    /// It lacked even the floor; other databases are asked until this.
    lags_until: AtomicU64,
    /// By the type of the route: their statements differ in work.
    paces: Mutex<[Pace; 3]>,
}

impl Pool {
    fn new(listed: &Listed) -> Self {
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
    fn is_down(&self, now: Tick) -> bool {
        now.0 < self.down_until.load(Ordering::Relaxed)
    }
    fn has_left(&self, now: Tick, drain_ms: u64) -> bool {
        has_left(Tick(self.leaves.load(Ordering::Relaxed)), now, drain_ms)
    }
    fn lags(&self, now: Tick) -> bool {
        now.0 < self.lags_until.load(Ordering::Relaxed)
    }
    fn failed(&self, now: Tick) {
        let failures = self.failures.fetch_add(1, Ordering::Relaxed).min(4);
        self.down_until.store(now.0 + (100 << failures), Ordering::Relaxed);
    }
    fn heard(&self, now: Tick) {
        self.heard.store(now.0, Ordering::Relaxed);
    }
    /// Work that this stile has there or holds for it, whether a connection is at rest, and
    /// whether none may be used.
    fn load(&self) -> (usize, bool, bool) {
        let inner = lock(&self.inner);
        let busy = (inner.admission.open as usize).saturating_sub(inner.idle.len());
        let closed = inner.draining || inner.gone || inner.admission.cap == 0;
        (busy + inner.admission.waiting(), !inner.idle.is_empty(), closed)
    }
    fn set_cap(&self, cap: u32) {
        let mut inner = lock(&self.inner);
        if inner.admission.cap == cap {
            return;
        }
        inner.admission.cap = cap;
        while inner.admission.over() && inner.idle.pop().is_some() {
            inner.admission.shrink();
        }
        drop(inner);
        self.freed.notify_all();
    }
    fn retire(&self, leaves: Option<Tick>, gone: bool) {
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
                inner.admission.shrink();
            }
            drop(inner);
            self.freed.notify_all();
        }
    }

    /// Borrows a connection, the one that needs the least to be laid on; opens one if it may. Having to
    /// wait for one is told by `waits`.
    fn borrow(
        &self,
        graft: &Graft,
        session: u64,
        priority: u8,
        until: Tick,
        waits: impl Fn(),
    ) -> Result<Rootstock, NoRoom> {
        let mut inner = lock(&self.inner);
        let mut turn: Option<Turn> = None;
        loop {
            let now = Tick::now();
            if inner.gone || self.is_down(now) {
                break;
            }
            let free = inner.idle.len();
            if inner.admission.turn(turn.as_ref(), free) {
                if let Some(best) = best_fit(&inner.idle, graft, session) {
                    let stock = inner.idle.swap_remove(best);
                    // Closed while it rested, or an answer too many came: it is of no use, and
                    // nothing is lost with it.
                    if !stock.quiet() {
                        inner.admission.shrink();
                        continue;
                    }
                    if let Some(turn) = &turn {
                        inner.admission.leave(turn);
                    }
                    return Ok(stock);
                }
                if inner.admission.grow() {
                    if let Some(turn) = &turn {
                        inner.admission.leave(turn);
                    }
                    drop(inner);
                    return self.open(now, until).inspect_err(|_| self.close_one());
                }
            }
            if now >= until {
                break;
            }
            if turn.is_none() {
                turn = Some(inner.admission.queue(priority, until));
                if inner.admission.short() > 0 {
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
            inner.admission.leave(turn);
        }
        let down = inner.gone || self.is_down(Tick::now());
        drop(inner);
        // The one behind may be next now.
        self.freed.notify_all();
        Err(if down { NoRoom::Down } else { NoRoom::Full })
    }

    fn open(&self, now: Tick, until: Tick) -> Result<Rootstock, NoRoom> {
        let connect = || -> io::Result<Result<Rootstock, ErrorKind>> {
            let stream =
                dial(self.address, Duration::from_millis(CONNECT_MS), Duration::from_secs(3))?;
            stream.set_read_timeout(Some(Duration::from_millis(LOOK_MS)))?;
            stream.set_write_timeout(Some(Duration::from_secs(1)))?;
            let mut stock = Rootstock::new(stream);
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
            Ok(Err(ErrorKind::ConnLimit | ErrorKind::Throttled)) => Err(NoRoom::Full),
            Ok(Err(_)) | Err(_) => {
                self.failed(Tick::now());
                Err(NoRoom::Down)
            }
        }
    }

    fn close_one(&self) {
        lock(&self.inner).admission.shrink();
        self.freed.notify_all();
    }

    /// Takes a connection back that is at rest.
    fn give_back(&self, stock: Rootstock) {
        let mut inner = lock(&self.inner);
        if inner.gone || inner.admission.over() || !stock.settled() {
            inner.admission.shrink();
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
    fn lose(&self, stock: Rootstock) {
        drop(stock);
        self.close_one();
    }
}

/// The idle connection that needs the least work before the session's next statement.
fn best_fit(idle: &[Rootstock], graft: &Graft, session: u64) -> Option<usize> {
    let (values, _) = graft.replay();
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

// ---------------------------------------------------------------------------------------------
// What this stile knows

/// Who may be asked for what is only at the primary.
#[derive(Clone, Debug, PartialEq)]
enum Held {
    None,
    Led { term: DbTerm, primary: InstanceId, until: Tick },
}

/// The connections that this stile may have to each database of a service, as long as the leader
/// keeps saying so.
#[derive(Debug, Default)]
pub struct Share {
    pub size: u32,
    until: Tick,
    /// What the pools go by.
    laid: u32,
    /// What the leader was last told on this connection.
    told: Option<u32>,
}
impl Share {
    pub fn renew(&mut self, until: Tick) {
        self.until = self.until.max(until);
    }
    /// What the pools are to go by from now on, if it is not what they do.
    pub fn due(&mut self, now: Tick) -> Option<u32> {
        let wanted = if self.until > now { self.size } else { 0 };
        (wanted != self.laid).then(|| {
            self.laid = wanted;
            wanted
        })
    }
    /// What the leader has to be told, if it was not told so before. A smaller share is in force only
    /// once no more connections are open.
    pub fn news(&mut self, open: impl FnOnce() -> u32) -> Option<u32> {
        let shrinks = self.told.is_none_or(|told| told > self.size);
        let held = if shrinks { open().max(self.size) } else { self.size };
        (self.told != Some(held)).then(|| {
            self.told = Some(held);
            held
        })
    }
}

struct ServiceView {
    held: Held,
    /// Terms up to this were taken back; only a renewal asked for after that one may bring them
    /// again, when the alarm was false.
    revoked: Option<(DbTerm, u64)>,
    floors: Floors,
    /// The furthest position passed on to a client or seen at the primary.
    highest: Option<Position>,
    share: Share,
    /// When the primary was last lost to this stile, for saying when to come back.
    unled_since: Option<Tick>,
    /// The databases of the service.
    pools: Vec<Arc<Pool>>,
    /// A newer floor than the leader was told of, and the term of the lease it was seen under.
    news: Option<(DbTerm, Tick, Position)>,
    /// When a read last came that replicas may serve, and how old its rows may be.
    read: Option<(Tick, u64)>,
}
impl Default for ServiceView {
    fn default() -> Self {
        Self {
            held: Held::None,
            revoked: None,
            floors: Floors::default(),
            highest: None,
            share: Share::default(),
            unled_since: None,
            pools: Vec::new(),
            news: None,
            read: None,
        }
    }
}
impl ServiceView {
    fn lease(&self, now: Tick) -> Option<(DbTerm, &InstanceId)> {
        match &self.held {
            Held::Led { term, primary, until } if *until > now => Some((*term, primary)),
            _ => None,
        }
    }
    /// How many more connections sessions wait for that may not be opened.
    fn short(&self) -> u32 {
        let short = |p: &Arc<Pool>| lock(&p.inner).admission.short();
        self.pools.iter().map(short).max().unwrap_or(0)
    }
    /// Has the pools go by the share as it is now. True if that is news to them.
    fn lay_share(&mut self) -> bool {
        let due = self.share.due(Tick::now());
        if let Some(cap) = due {
            self.pools.iter().for_each(|pool| pool.set_cap(cap));
        }
        due.is_some()
    }
}

#[derive(Default)]
struct View {
    config: Option<Arc<Lanes>>,
    listed: bool,
    pools: BTreeMap<InstanceId, Arc<Pool>>,
    services: BTreeMap<ServiceName, ServiceView>,
}

/// A session, as others may see and end it.
struct Seen {
    stream: TcpStream,
    came: Tick,
    /// It stayed, and the kernel looks after its connection.
    lasting: AtomicBool,
    /// It has rested before, so that the kernel knows whom to wake.
    watched: AtomicBool,
    /// It has said CONNECT.
    connected: AtomicBool,
    /// When the session began to wait for its client; 0 while it works.
    resting: AtomicU64,
    open: AtomicBool,
}

impl Seen {
    /// Takes nothing more from a client that rests; what was already read is still answered. One
    /// with a transaction open is left alone unless `open_too`.
    fn send_off(&self, open_too: bool) {
        let rests = self.resting.load(Ordering::Relaxed) > 0;
        if rests && (open_too || !self.open.load(Ordering::Relaxed)) {
            drop(self.stream.shutdown(Shutdown::Read));
        }
    }
}

struct Stile {
    node: NodeName,
    zone: String,
    life: u64,
    view: Mutex<View>,
    changed: Condvar,
    link: Link,
    sent: Mutex<VecDeque<(u64, Tick)>>,
    /// The last answer to a renewal on this connection, and when it was in hand.
    heard: Mutex<Option<(u64, Tick)>>,
    seq: AtomicU64,
    /// When a leader last answered a renewal.
    answered: AtomicU64,
    /// Clients are let in.
    listening: AtomicBool,
    draining: AtomicBool,
    /// While draining, idle sessions are closed from this tick on.
    close_from: AtomicU64,
    sessions: Mutex<HashMap<u64, Arc<Seen>>>,
    next_session: AtomicU64,
    bench: Mutex<Bench>,
    wanted: Condvar,
    /// Sessions whose clients say nothing, and what wakes when one does.
    parked: Parked<Session>,
    doubted: Mutex<HashMap<InstanceId, Tick>>,
    hasher: std::hash::RandomState,
    max_sessions: usize,
    drain_ms: AtomicU64,
}

/// Threads between two sessions, and sessions that one of them is about to take.
#[derive(Default)]
struct Bench {
    resting: usize,
    waiting: VecDeque<Session>,
}

/// A connection in a session's hands.
struct Bound {
    stock: Rootstock,
    pool: Arc<Pool>,
    /// The term under which the primary is used; none at a replica.
    term: Option<DbTerm>,
}

const RENEW_MS: u64 = 450;
/// Fresh floors are asked for with each renewal while reads came within this time.
const READ_LATELY_MS: u64 = 10_000;
/// A floor should serve until what the next renewal brings is there.
const FLOOR_AHEAD_MS: u64 = 2 * RENEW_MS;
/// Reads that can be had nowhere ask for floors this often.
const ASK_MS: u64 = 200;
/// With no word from a leader for this long, the share of connections is no longer ours.
const SHARE_KEPT_MS: u64 = 3_000;
/// Silent reruns of one statement.
const MAX_RERUNS: u32 = 4;
const RERUN_PAUSE_MS: u64 = 15;
/// A replica that lacked the floor is asked again after this.
const LAG_SKIPPED_MS: u64 = 100;
/// Added to the priority of a read that is at the primary only because no replica can have it.
const BEHIND: u8 = 100;

/// How good a replica is to read from; the least is the best. Where a connection has to be opened,
/// each stile has an order of its own: all of them spread over all replicas, and each keeps few.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Standby {
    load: usize,
    /// A connection would have to be opened.
    fresh: bool,
    tie: u64,
}

impl Stile {
    fn config(&self) -> Option<Arc<Lanes>> {
        lock(&self.view).config.clone()
    }
    /// The primary's pool and term, if a lease on it is held now.
    fn primary(&self, service: &ServiceName, now: Tick) -> Option<(DbTerm, Arc<Pool>)> {
        let view = lock(&self.view);
        let (term, id) = view.services.get(service)?.lease(now)?;
        let pool = view.pools.get(id)?;
        let left = pool.has_left(now, self.drain_ms.load(Ordering::Relaxed));
        (!left).then(|| (term, Arc::clone(pool)))
    }
    /// Whether the lease on this term is still held.
    fn still(&self, service: &ServiceName, term: DbTerm, now: Tick) -> bool {
        let view = lock(&self.view);
        view.services.get(service).and_then(|s| s.lease(now)).is_some_and(|(t, _)| t == term)
    }
    /// An answer of the primary came under a lease on this term that still holds.
    fn learn(&self, service: &ServiceName, term: DbTerm, sent: Tick, position: Position) {
        let mut view = lock(&self.view);
        if let Some(seen) = view.services.get_mut(service) {
            seen.floors.learn(sent, position);
            seen.highest = seen.highest.max(Some(position));
            if seen.news.is_none_or(|(_, s, _)| sent > s) {
                seen.news = Some((term, sent, position));
            }
        }
    }
    fn floor(&self, service: &ServiceName, began: Tick, stale_ms: u64) -> Option<Position> {
        let mut view = lock(&self.view);
        let seen = view.services.get_mut(service)?;
        let stale = seen.read.map_or(stale_ms, |(_, stale)| stale.min(stale_ms));
        seen.read = Some((Tick::now(), stale));
        seen.floors.needed(began, stale_ms)
    }
    /// Something waits that the leader may help with, a floor without a primary or a larger share: it
    /// is asked at once, though not more often than makes sense.
    fn ask_now(&self, now: Tick) {
        let last = lock(&self.sent).back().map(|(_, t)| *t);
        if last.is_none_or(|t| now.since(t) >= ASK_MS) && self.link.is_up() {
            self.renew();
        }
    }
    /// Replicas to read from, the best first. The zone's own costs nothing between zones, so it is
    /// taken until it has clearly more to do.
    fn replicas(&self, service: &ServiceName, now: Tick) -> Vec<Arc<Pool>> {
        let view = lock(&self.view);
        let Some(seen) = view.services.get(service) else {
            return Vec::new();
        };
        let primary = match &seen.held {
            Held::Led { primary, .. } => Some(primary),
            Held::None => None,
        };
        let mut found: Vec<(Standby, Arc<Pool>)> = seen
            .pools
            .iter()
            .filter(|p| Some(&p.id) != primary && !p.is_down(now) && !p.lags(now))
            .filter_map(|p| {
                let (load, idle, closed) = p.load();
                let far = if p.zone == self.zone { 0 } else { 3 };
                let tie = if idle { rand::random() } else { self.hasher.hash_one(&p.id) };
                (!closed).then(|| (Standby { load: load + far, fresh: !idle, tie }, Arc::clone(p)))
            })
            .collect();
        found.sort_by_key(|(standby, _)| *standby);
        found.into_iter().map(|(_, pool)| pool).collect()
    }

    fn tell(&self, message: ToSteward) {
        self.link.tell(message);
    }
    fn doubt(&self, pool: &Pool, why: Doubt, now: Tick) {
        {
            let mut doubted = lock(&self.doubted);
            if doubted.get(&pool.id).is_some_and(|t| now.since(*t) < 250) {
                return;
            }
            doubted.insert(pool.id.clone(), now);
        }
        let (service, instance) = (pool.service.clone(), pool.id.clone());
        self.tell(ToSteward::Suspect { service, instance, why });
    }
    fn renew_when_due(&self) {
        let last = lock(&self.sent).back().map(|(_, t)| *t);
        let due = last.is_none_or(|t| Tick::now().since(t) >= RENEW_MS);
        if due && self.link.is_up() {
            self.renew();
        }
    }
    fn renew(&self) {
        // Numbered and sent under the link's lock, so that a lease given back and a renewal reach
        // the leader in the order in which this stile thinks of them.
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
                && let Some(after) = heard.and_then(|(_, at)| after(at, sent))
            {
                saw.push(Saw { service: name.clone(), term, position, after });
            }
            let lately = seen.read.filter(|(at, _)| now.since(*at) < READ_LATELY_MS);
            match lately {
                Some((_, stale)) if !seen.floors.lasts(now, stale, FLOOR_AHEAD_MS) => {
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
        Link::tell_under(
            &mut link,
            ToSteward::Renew { seq, heard, shares, wants, saw, asks, busy: Vec::new() },
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
        Link::tell_under(&mut link, ToSteward::Revoked { service, term, highest });
        drop(link);
        self.changed.notify_all();
    }

    // -- what the leader says --------------------------------------------------------------------

    fn heard_of(&self, message: ToStile) {
        match message {
            ToStile::Elsewhere(_) | ToStile::Welcome { .. } => {}
            ToStile::Configured(config) => self.configured(*config),
            ToStile::Changed(changed) => {
                let config = self.config();
                if config.as_ref().is_some_and(|c| c.revision >= changed.revision) {
                    return;
                }
                match config.and_then(|c| c.with(&changed)) {
                    Some(config) => self.configured(config),
                    None => self.tell(ToSteward::Whole),
                }
            }
            ToStile::Directory(listed) => {
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
            ToStile::Moved { listed, gone } => {
                let mut view = lock(&self.view);
                gone.iter().for_each(|id| Self::remove(&mut view, id));
                let now = Tick::now();
                listed.into_iter().for_each(|one| Self::upsert(&mut view, one, now));
            }
            ToStile::Granted { seq, lease_ms, whole, grants, fresh, .. } => {
                self.granted(seq, lease_ms, whole, grants, fresh);
            }
            ToStile::Revoke { service, term } => self.revoke(service, term),
            ToStile::Renew => self.renew(),
        }
    }

    /// A stile never goes back to an older version.
    fn configured(&self, config: Lanes) {
        let mut view = lock(&self.view);
        if view.config.as_ref().is_some_and(|c| c.revision >= config.revision) {
            return;
        }
        info!(target: "stile", "configuration {} is in force", config.revision);
        for service in &config.services {
            view.services.entry(service.clone()).or_default();
        }
        view.config = Some(Arc::new(config));
    }
    /// One that leaves, and was not known to, does so since `since`: what a whole directory tells may
    /// have been so for long.
    fn upsert(view: &mut View, listed: Listed, since: Tick) {
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

    fn granted(&self, seq: u64, lease_ms: u64, whole: bool, grants: Vec<Grant>, fresh: Vec<Fresh>) {
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
        for Fresh { service, position, age } in fresh {
            if let Some(seen) = view.services.get_mut(&service)
                && let Some(sent) = asked.0.checked_sub(age)
            {
                seen.floors.learn(Tick(sent), position);
            }
        }
        for grant in grants {
            changed = true;
            let seen = view.services.entry(grant.service.clone()).or_default();
            let led = matches!(seen.held, Held::Led { .. });
            match grant.standing {
                Standing::Led { term, primary } => {
                    if seen.revoked.is_none_or(|(last, upto)| term > last || seq > upto) {
                        if !matches!(&seen.held, Held::Led { term: t, .. } if *t == term) {
                            info!(target: "lease", "{}: {primary} leads term {term}", grant.service);
                        }
                        seen.held = Held::Led { term, primary, until: asked };
                        seen.unled_since = None;
                    }
                }
                Standing::Sealed(position) => {
                    seen.held = Held::None;
                    seen.floors.learn(asked, position);
                }
                Standing::Unled => seen.held = Held::None,
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
            "role": "stile",
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

// ---------------------------------------------------------------------------------------------
// A client's session

struct Scion {
    stile: Arc<Stile>,
    seen: Arc<Seen>,
    id: u64,
    graft: Graft,
    bound: Option<Bound>,
    database: String,
    config: Arc<Lanes>,
    route: Lane,
    service: ServiceName,
    /// The last position of this session's own commits.
    own: Option<Position>,
    last_position: Option<Position>,
}

/// A statement that a database has to run, as it came.
struct Asked<'a> {
    id: &'a str,
    text: &'a str,
    statement: Statement<'a>,
    task: Task,
    arrived: Tick,
}

/// What goes back to the client.
enum Say {
    /// The database's own bytes, up to `end` in the inbox of the bound connection.
    Passed {
        reply: Reply,
    },
    Complete,
    Error(ErrorKind, String),
}

/// What a session does once its client has nothing more to say for the moment.
enum Next {
    Rest,
    End,
}

/// A client's connection. Between two lines it is no thread's: see `Parked`.
struct Session {
    id: u64,
    stile: Arc<Stile>,
    seen: Arc<Seen>,
    inbox: Inbox,
    /// There once the client has said CONNECT.
    scion: Option<Scion>,
}

impl Session {
    /// Serves the client until it pauses or the session is over.
    fn serve(&mut self) -> io::Result<Next> {
        if self.scion.is_none()
            && let Some(next) = self.greet()?
        {
            return Ok(next);
        }
        match &mut self.scion {
            Some(scion) => scion.converse(&mut self.inbox),
            None => Ok(Next::End),
        }
    }

    /// Takes the client's CONNECT; goes on with its statements unless told otherwise.
    fn greet(&mut self) -> io::Result<Option<Next>> {
        let mut client = &self.seen.stream;
        let refuse = |kind: ErrorKind, text: &str| {
            let mut client = &self.seen.stream;
            client.write_all(format!("ERROR {kind} {text}\r\n").as_bytes())?;
            Ok(Some(Next::End))
        };
        let database = match self.inbox.line(&mut client) {
            Ok(line) => match statement_protocol::parse(line) {
                Ok(Line::Connect { database }) => database.to_owned(),
                Ok(Line::Close) => return Ok(Some(Next::End)),
                _ => return refuse(ErrorKind::Malformed, "CONNECT comes first"),
            },
            Err(NoLine::TooLarge) => return refuse(ErrorKind::TooLarge, "over 1 MiB"),
            Err(NoLine::Quiet) => return Ok(Some(Next::Rest)),
            Err(_) => return Ok(Some(Next::End)),
        };
        let found = self.stile.config().and_then(|config| {
            let (lane, service) = config.lane(&database)?;
            let (lane, service) = (lane.clone(), service.clone());
            Some((config, lane, service))
        });
        let Some((config, route, service)) = found else {
            return refuse(ErrorKind::NoDatabase, "no such database");
        };
        client.write_all(b"READY I -\r\n")?;
        self.seen.connected.store(true, Ordering::Relaxed);
        self.scion = Some(Scion {
            stile: Arc::clone(&self.stile),
            seen: Arc::clone(&self.seen),
            id: self.id,
            graft: Graft::default(),
            bound: None,
            database,
            config,
            route,
            service,
            own: None,
            last_position: None,
        });
        Ok(None)
    }
}

/// However a session ends, it lets go of its connection and is taken off the list.
impl Drop for Session {
    fn drop(&mut self) {
        if let Some(scion) = &mut self.scion {
            scion.unbind();
        }
        lock(&self.stile.sessions).remove(&self.id);
    }
}

impl Scion {
    fn converse(&mut self, inbox: &mut Inbox) -> io::Result<Next> {
        let seen = Arc::clone(&self.seen);
        let mut client = &seen.stream;
        let mut served = false;
        loop {
            let state = self.graft.state();
            if state == State::Idle
                && inbox.is_empty()
                && self.stile.draining.load(Ordering::Relaxed)
                && self.stile.closing_idle()
            {
                return Ok(Next::End);
            }
            seen.open.store(state != State::Idle, Ordering::Relaxed);
            seen.resting.store(Tick::now().0, Ordering::Relaxed);
            // A session that stays has usually said all for now; another most likely goes on.
            let lasting = seen.lasting.load(Ordering::Relaxed);
            if served && lasting && state == State::Idle && inbox.is_empty() {
                return Ok(Next::Rest);
            }
            let line = match inbox.line(&mut client) {
                Ok(line) => line,
                Err(NoLine::TooLarge) => {
                    client.write_all(b"ERROR TOOLARGE over 1 MiB\r\n")?;
                    return Ok(Next::End);
                }
                Err(NoLine::Quiet) => return Ok(Next::Rest),
                Err(NoLine::Closed) => return Ok(Next::End),
                Err(NoLine::Io(e)) => return Err(e),
            };
            seen.resting.store(0, Ordering::Relaxed);
            served = true;
            let arrived = Tick::now();
            let say = match statement_protocol::parse(line) {
                Ok(Line::Close) => return Ok(Next::End),
                Ok(Line::Query { id, text, statement }) => {
                    if state == State::Idle && !self.rebind_route() {
                        client.write_all(b"ERROR NODATABASE no such database any more\r\n")?;
                        return Ok(Next::End);
                    }
                    match self.graft.hear(&statement, arrived) {
                        Verdict::Settled => Say::Complete,
                        Verdict::RolledBack => {
                            self.unbind();
                            Say::Complete
                        }
                        Verdict::Refused(kind) => {
                            if self.graft.reusable() {
                                self.unbind();
                            }
                            Say::Error(kind, refusal_text(kind).to_owned())
                        }
                        Verdict::Run(task) => {
                            self.run(&Asked { id, text, statement, task, arrived })
                        }
                    }
                }
                Ok(Line::Connect { .. }) | Err(_) => {
                    if self.graft.state() == State::Open {
                        self.graft.fail();
                        self.unbind();
                    }
                    Say::Error(ErrorKind::Malformed, "not understood".to_owned())
                }
            };
            let refused = matches!(say, Say::Error(ErrorKind::Throttled, _));
            self.say(&mut client, say)?;
            let idle = self.graft.state() == State::Idle && inbox.is_empty();
            if refused && idle && self.stile.deaf(Tick::now()) {
                return Ok(Next::End);
            }
        }
    }

    /// A changed route binds from the next transaction on. False when it is no longer there.
    fn rebind_route(&mut self) -> bool {
        let Some(config) = self.stile.config() else {
            return false;
        };
        if !Arc::ptr_eq(&config, &self.config) {
            let Some((route, service)) = config.lane(&self.database) else {
                return false;
            };
            (self.route, self.service) = (route.clone(), service.clone());
            self.config = config;
        }
        true
    }

    fn say(&mut self, client: &mut &TcpStream, say: Say) -> io::Result<()> {
        let position = |p: Option<Position>| p.map_or("-".to_owned(), |p| p.to_string());
        match say {
            Say::Complete => {
                let state = self.graft.state().letter();
                let position = position(self.last_position);
                client.write_all(format!("COMPLETE -\r\nREADY {state} {position}\r\n").as_bytes())
            }
            Say::Error(kind, text) => {
                let state = self.graft.state().letter();
                let position = position(self.last_position);
                client.write_all(
                    format!("ERROR {kind} {text}\r\nREADY {state} {position}\r\n").as_bytes(),
                )
            }
            Say::Passed { reply } => {
                self.last_position = reply.position.or(self.last_position);
                let Some(bound) = &mut self.bound else {
                    return Ok(());
                };
                let sent = client.write_all(&bound.stock.inbox.pending()[..reply.end]);
                bound.stock.taken(&reply);
                if self.graft.reusable() {
                    self.unbind();
                }
                sent
            }
        }
    }

    /// Lets go of the connection; what it has open is rolled back first.
    fn unbind(&mut self) {
        let Some(Bound { mut stock, pool, .. }) = self.bound.take() else {
            return;
        };
        if !stock.open {
            return pool.give_back(stock);
        }
        let limit = Tick::now().plus(300);
        let ended = stock
            .write(b"QUERY - ABORT\r\n", 1)
            .map_err(|(loss, _)| loss)
            .and_then(|()| stock.answer(|| (Tick::now() >= limit).then_some(Loss::Overdue)));
        match ended {
            Ok(reply) if reply.state == State::Idle => {
                stock.taken(&reply);
                stock.open = false;
                pool.give_back(stock);
            }
            _ => pool.lose(stock),
        }
    }
    /// The connection can't be used any more.
    fn cut(&mut self) {
        if let Some(Bound { stock, pool, .. }) = self.bound.take() {
            pool.lose(stock);
        }
    }

    /// Has a database run the statement, on as many connections as the reroute rules allow.
    fn run(&mut self, asked: &Asked<'_>) -> Say {
        let Asked { task, arrived, .. } = asked;
        let limit = arrived.plus(self.route.timeout_ms);
        // Waiting for a connection longer than this rarely ends well; the client is better off
        // coming back, and has the time to.
        let hold = arrived.plus(self.route.timeout_ms * 20 / 100);
        let mut avoid: Vec<InstanceId> = Vec::new();
        let mut patient = false;
        let mut reruns = 0;
        loop {
            if self.bound.is_none() {
                if !task.first {
                    self.graft.give_up();
                    return Say::Error(ErrorKind::RolledBack, "connection lost".to_owned());
                }
                match self.bind(asked, hold, &mut avoid) {
                    Ok(bound) => self.bound = Some(bound),
                    Err(kind) => return self.refuse(kind),
                }
            }
            let (loss, sent) = match self.exchange(asked, limit, patient) {
                Ok(reply) => match reply.outcome {
                    Outcome::Complete => return self.passed(task, reply),
                    Outcome::Error(kind) => match self.denied(task, kind, &reply, &mut avoid) {
                        Some(say) => return say,
                        None => (None, false),
                    },
                },
                Err((loss, sent)) => {
                    if let Some(bound) = &self.bound {
                        avoid.push(bound.pool.id.clone());
                    }
                    self.cut();
                    (Some(loss), sent)
                }
            };
            if let Some(loss) = loss {
                if let Fate::Tell(kind) = self.graft.lost(task, sent) {
                    return Say::Error(kind, "connection lost".to_owned());
                }
                patient |= matches!(loss, Loss::Overdue);
                if matches!(loss, Loss::Late) {
                    return self.expired(task);
                }
            }
            reruns += 1;
            let now = Tick::now();
            if reruns > MAX_RERUNS || now >= limit {
                return self.refuse(ErrorKind::Throttled);
            }
            if reruns > 1 {
                std::thread::sleep(Duration::from_millis(RERUN_PAUSE_MS * u64::from(reruns)));
            }
        }
    }

    /// The statement's time is over; nothing of it can have been kept.
    fn expired(&mut self, task: &Task) -> Say {
        if task.alone {
            return Say::Error(ErrorKind::TimedOut, "no answer in time".to_owned());
        }
        self.graft.give_up();
        Say::Error(ErrorKind::RolledBack, "no answer in time".to_owned())
    }

    /// It did not run, and nothing is kept: the client is told when to come back.
    fn refuse(&mut self, kind: ErrorKind) -> Say {
        self.graft.give_up();
        self.unbind();
        let after = self.stile.come_back_ms(&self.service);
        Say::Error(kind, format!("retry_after_ms={after}"))
    }

    /// Picks a database and borrows a connection to it.
    fn bind(
        &self,
        asked: &Asked<'_>,
        hold: Tick,
        avoid: &mut Vec<InstanceId>,
    ) -> Result<Bound, ErrorKind> {
        let task = &asked.task;
        let stile = &self.stile;
        let service = &self.service;
        let began = self.graft.began(asked.arrived);
        let elsewhere = task.read_only && self.route.route_type != RouteType::Primary;
        let waits = || stile.ask_now(Tick::now());
        loop {
            let now = Tick::now();
            if elsewhere && self.need(began).is_some() {
                for pool in stile.replicas(service, now) {
                    if avoid.contains(&pool.id) {
                        continue;
                    }
                    let priority = self.route.priority;
                    if let Ok(stock) = pool.borrow(&self.graft, self.id, priority, hold, waits) {
                        return Ok(Bound { stock, pool, term: None });
                    }
                }
            }
            if let Some((term, pool)) = stile.primary(service, now) {
                // Reads that belong on replicas wait behind the work only a primary can do.
                let behind = if elsewhere { BEHIND } else { 0 };
                let priority = self.route.priority.saturating_add(behind);
                match pool.borrow(&self.graft, self.id, priority, hold, waits) {
                    // The lease may have run out while waiting.
                    Ok(stock) if stile.still(service, term, Tick::now()) => {
                        return Ok(Bound { stock, pool, term: Some(term) });
                    }
                    Ok(stock) => pool.give_back(stock),
                    Err(NoRoom::Full) => {}
                    Err(NoRoom::Down) => stile.doubt(&pool, Doubt::Broken, Tick::now()),
                }
            }
            let now = Tick::now();
            if now >= hold {
                return Err(ErrorKind::Throttled);
            }
            if elsewhere {
                stile.ask_now(now);
            }
            stile.wait_for_news(hold.since(now).clamp(1, 50));
            // A replica that lagged may have caught up.
            avoid.clear();
        }
    }

    /// The position a replica must have for a read that began at `began`.
    fn need(&self, began: Tick) -> Option<Position> {
        let floor = self.stile.floor(&self.service, began, self.route.stale_ms)?;
        Some(match self.route.route_type {
            RouteType::ReadYourWrites => self.own.map_or(floor, |own| own.max(floor)),
            _ => floor,
        })
    }

    /// One round with the bound connection: what the session needs is laid on, a transaction is
    /// opened where one is wanted, and the statement is sent. An error tells whether it was sent.
    fn exchange(
        &mut self,
        asked: &Asked<'_>,
        limit: Tick,
        patient: bool,
    ) -> Result<Reply, (Loss, bool)> {
        let Asked { id, text, statement, task, arrived } = asked;
        let began = self.graft.began(*arrived);
        let waits = match &self.bound {
            Some(bound) if bound.term.is_none() => match self.need(began) {
                Some(position) => format!("WAITFOR {position} "),
                None => return Err((Loss::Overdue, false)),
            },
            _ => String::new(),
        };
        let stile = Arc::clone(&self.stile);
        let service = self.service.clone();
        let Some(bound) = &mut self.bound else {
            return Err((Loss::Broken, false));
        };
        let pool = Arc::clone(&bound.pool);
        let term = bound.term;
        // Given up early only where nothing can have been kept: a first read is run again, a
        // transaction under way is rolled back and may be tried again in time.
        let rerun = task.kind == Kind::Read && task.first;
        let last_word = task.kind == Kind::Commit || (task.alone && task.kind == Kind::Write);
        let early = !(patient || last_word);
        let most = self.route.timeout_ms / if rerun { 4 } else { 3 };
        let kind = self.route.route_type as usize;
        let patience = lock(&pool.paces)[kind].patience(most) * if rerun { 1 } else { 2 };
        let look = |sent: Tick| {
            let (stile, pool, service) = (&stile, &pool, &service);
            move || {
                let now = Tick::now();
                if now >= limit {
                    return Some(Loss::Late);
                }
                if term.is_some_and(|term| !stile.still(service, term, now)) {
                    return Some(Loss::Overdue);
                }
                let waited = now.since(sent);
                if waited >= SILENT_MS && pool.heard.load(Ordering::Relaxed) < sent.0 {
                    if term.is_some() {
                        stile.doubt(pool, Doubt::Silent, now);
                    } else {
                        pool.failed(now);
                    }
                    if rerun && term.is_none() {
                        return Some(Loss::Overdue);
                    }
                }
                (early && waited >= patience).then_some(Loss::Overdue)
            }
        };
        let broken = |loss: Loss, sent: bool| {
            if matches!(loss, Loss::Broken) {
                if term.is_some() {
                    stile.doubt(&pool, Doubt::Broken, Tick::now());
                } else {
                    pool.failed(Tick::now());
                }
            }
            (loss, sent)
        };
        lay_on(&mut bound.stock, &self.graft, self.id, &stile.hasher, look(Tick::now()))
            .map_err(|loss| broken(loss, false))?;
        let mut waits = waits;
        if !task.alone && !bound.stock.open {
            let begin = if task.read_only { "BEGIN FETCH" } else { "BEGIN" };
            let line = format!("QUERY - {waits}{begin}\r\n");
            bound.stock.write(line.as_bytes(), 1).map_err(|(l, _)| broken(l, false))?;
            let reply = bound.stock.answer(look(Tick::now())).map_err(|l| broken(l, false))?;
            pool.heard(Tick::now());
            if reply.outcome != Outcome::Complete {
                return Ok(reply);
            }
            if reply.state != State::Open {
                // An answer to something else.
                return Err(broken(Loss::Broken, false));
            }
            bound.stock.taken(&reply);
            bound.stock.open = true;
        }
        if !task.alone {
            waits.clear();
        }
        let line = match (&task.shape, statement) {
            (Some(shape), Statement::Execute { rest, .. }) => {
                let name = shape_id(&stile.hasher, shape);
                format!("QUERY {id} {waits}EXECUTE p{name:x} {rest}\r\n")
            }
            _ => format!("QUERY {id} {waits}{text}\r\n"),
        };
        let sent = Tick::now();
        // The last look before a write can take effect there.
        if term.is_some_and(|term| !stile.still(&service, term, sent)) {
            return Err((Loss::Overdue, false));
        }
        bound.stock.write(line.as_bytes(), 1).map_err(|(l, left)| broken(l, left))?;
        let reply = bound.stock.answer(look(sent)).map_err(|l| broken(l, true))?;
        let now = Tick::now();
        pool.heard(now);
        if reply.outcome == Outcome::Complete && !reply.stamped {
            // An answer to the set-up that went ahead, come a second time.
            return Err(broken(Loss::Broken, true));
        }
        if reply.outcome == Outcome::Complete {
            lock(&pool.paces)[kind].learn(now.since(sent));
        }
        if let Some(term) = term {
            if stile.still(&service, term, now) {
                if let Some(position) = reply.position {
                    stile.learn(&service, term, sent, position);
                }
            } else if reply.outcome == Outcome::Complete {
                // Another primary may lead by now: a success of the old one is not passed on.
                return Err((Loss::Overdue, true));
            }
        }
        Ok(reply)
    }

    fn passed(&mut self, task: &Task, reply: Reply) -> Say {
        let state = match (task.alone, task.kind) {
            (true, _) | (false, Kind::Commit) => State::Idle,
            _ => State::Open,
        };
        if reply.state != state {
            // The database sees the transaction otherwise than this session: nothing of it counts.
            warn!(target: "pool", "answered {:?} where {state:?} was due", reply.state);
            self.cut();
            return match self.graft.lost(task, true) {
                Fate::Tell(kind) => Say::Error(kind, "out of step".to_owned()),
                Fate::Rerun => self.refuse(ErrorKind::Throttled),
            };
        }
        let kept = task.kind == Kind::Commit || (task.alone && task.kind == Kind::Write);
        if kept {
            self.own = self.own.max(reply.position);
        }
        if let Some(bound) = &mut self.bound {
            bound.stock.open = state == State::Open;
            if !bound.stock.open {
                bound.stock.inside = false;
            }
        }
        self.graft.answered(state);
        Say::Passed { reply }
    }

    /// A database answered with an error. `None`: to be run again.
    fn denied(
        &mut self,
        task: &Task,
        kind: ErrorKind,
        reply: &Reply,
        avoid: &mut Vec<InstanceId>,
    ) -> Option<Say> {
        let ran = matches!(kind, ErrorKind::Failed | ErrorKind::TimedOut | ErrorKind::Unknown);
        let again = if ran {
            task.alone && task.kind == Kind::Read && avoid.is_empty()
        } else {
            task.first
        };
        let bound = self.bound.as_mut()?;
        let id = bound.pool.id.clone();
        let at_primary = bound.term.is_some();
        if again {
            bound.stock.taken(reply);
            bound.stock.open = reply.state != State::Idle;
            match kind {
                ErrorKind::ReadOnly if at_primary => {
                    // It has lost the lead; the stewards find out who has it.
                    let pool = Arc::clone(&bound.pool);
                    self.unbind();
                    self.stile.doubt(&pool, Doubt::Broken, Tick::now());
                    self.stile.wait_for_news(50);
                }
                ErrorKind::Lagging => {
                    // A session's own fresh commit may be missing for a moment; the floor may not.
                    let (pool, now) = (Arc::clone(&bound.pool), Tick::now());
                    if self.own.is_none_or(|own| self.need(now).is_some_and(|need| need > own)) {
                        pool.lags_until.store(now.plus(LAG_SKIPPED_MS).0, Ordering::Relaxed);
                    }
                    self.unbind();
                }
                ErrorKind::NotFound => {
                    // The name was laid on and is not there: this connection can't be trusted.
                    self.cut();
                }
                _ => self.unbind(),
            }
            avoid.push(id);
            return None;
        }
        if ran || task.alone {
            let state = if task.alone { State::Idle } else { State::Failed };
            let (state, same) = match reply.state {
                State::Open => (State::Failed, false),
                other => (other, other == state),
            };
            bound.stock.open = reply.state != State::Idle;
            self.graft.answered(state);
            if same {
                return Some(Say::Passed { reply: reply.clone() });
            }
            bound.stock.taken(reply);
            self.unbind();
            return Some(Say::Error(kind, "from the database".to_owned()));
        }
        // It did not run, but its transaction can't go on as if nothing had been.
        bound.stock.taken(reply);
        bound.stock.open = reply.state != State::Idle;
        self.unbind();
        self.graft.give_up();
        Some(Say::Error(ErrorKind::RolledBack, format!("{kind} at the database")))
    }
}

fn refusal_text(kind: ErrorKind) -> &'static str {
    match kind {
        ErrorKind::NotFound => "no such prepared name",
        ErrorKind::RolledBack => "the transaction had failed",
        _ => "not here, or not now",
    }
}

fn shape_id(hasher: &std::hash::RandomState, shape: &Shape) -> u64 {
    hasher.hash_one(shape)
}

/// Brings a connection to the state of the session: the difference is sent, in one write.
fn lay_on(
    stock: &mut Rootstock,
    graft: &Graft,
    session: u64,
    hasher: &std::hash::RandomState,
    mut look: impl FnMut() -> Option<Loss>,
) -> Result<(), Loss> {
    let mark = (session, graft.version());
    // What was laid on inside a transaction may have gone with it.
    if stock.holds == Some(mark) && (stock.open || !stock.inside) {
        return Ok(());
    }
    let (values, shapes) = graft.replay();
    let mut lines = String::new();
    let mut count = 0;
    let mut say = |text: std::fmt::Arguments<'_>| {
        use std::fmt::Write;
        count += 1;
        // Writing to a String cannot fail.
        let _ = write!(lines, "QUERY - {text}\r\n");
    };
    let foreign = stock.values.keys().any(|k| !values.contains_key(k));
    let wanted: Vec<(u64, &Shape)> = shapes.map(|s| (shape_id(hasher, s), s)).collect();
    let missing = wanted.iter().filter(|(id, _)| !stock.prepared.contains(id)).count();
    if !stock.open && (foreign || stock.inside || stock.prepared.len() + missing > MAX_PREPARED) {
        say(format_args!("DISCARD"));
        stock.values.clear();
        stock.prepared.clear();
        stock.inside = false;
    }
    for (name, value) in values {
        if stock.values.get(name) != Some(value) {
            say(format_args!("CONFIGURE {name} {value}"));
            stock.values.insert(name.clone(), value.clone());
        }
    }
    for (id, shape) in wanted {
        if stock.prepared.insert(id) {
            say(format_args!("PREPARE p{id:x} {} {}", shape.verb.word(), shape.text));
        }
    }
    if count > 0 {
        stock.inside |= stock.open;
        stock.write(lines.as_bytes(), count).map_err(|(loss, _)| loss)?;
        for _ in 0..count {
            let reply = stock.answer(&mut look)?;
            if reply.outcome != Outcome::Complete || (reply.state == State::Open) != stock.open {
                // What it holds now is not known.
                return Err(Loss::Broken);
            }
            stock.taken(&reply);
        }
    }
    stock.holds = Some(mark);
    Ok(())
}

// ---------------------------------------------------------------------------------------------
// The program

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

impl Follower for Stile {
    fn hello(&self) -> ToSteward {
        let revision = self.config().map_or(Revision(0), |c| c.revision);
        ToSteward::Hello {
            node: self.node.clone(),
            life: self.life,
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
    fn hear(&self, message: ToStile) {
        self.heard_of(message);
    }
}

impl Stile {
    /// What may change while the program runs.
    fn heed(&self, settings: &Settings) {
        self.link.seek(settings.seed_peers());
        self.drain_ms.store(settings.timing_bounds.drain_ms, Ordering::Relaxed);
    }
    fn wait_for_news(&self, ms: u64) {
        let view = lock(&self.view);
        drop(self.changed.wait_timeout(view, Duration::from_millis(ms)));
    }
    /// When a refused client should try again.
    fn come_back_ms(&self, service: &ServiceName) -> u64 {
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
    fn deaf(&self, now: Tick) -> bool {
        now.since(Tick(self.answered.load(Ordering::Relaxed))) > DEAF_MS
    }
    /// While draining: whether idle sessions are to be closed by now.
    fn closing_idle(&self) -> bool {
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
        let stile = Arc::clone(self);
        self.hand(Session { id, stile, seen, inbox: Inbox::default(), scion: None });
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
        let stile = Arc::clone(self);
        let thread = std::thread::Builder::new().stack_size(STACK);
        thread.spawn(move || while stile.attend() {}).is_ok()
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
        at.ok_or_else(|| Fatal::Settings(format!("listeners.{name} is needed by a stile")))
    };
    let frontend = needed(settings.listeners.frontend, "frontend")?;
    let readiness = needed(settings.listeners.readiness, "readiness")?;
    let signals = Signals::install().map_err(|e| Fatal::Call(e.to_string()))?;
    let stile = Arc::new(Stile {
        node: settings.node(),
        zone: settings.zone.clone(),
        life: rand::random(),
        view: Mutex::default(),
        changed: Condvar::new(),
        link: Link::new("stile", settings.seed_peers()),
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
        parked: Parked::new("session").map_err(|e| Fatal::Call(e.to_string()))?,
        doubted: Mutex::default(),
        hasher: std::hash::RandomState::new(),
        drain_ms: AtomicU64::new(settings.timing_bounds.drain_ms),
        max_sessions: settings.limits.max_open_files.saturating_sub(SPARE_FILES).max(16) as usize,
    });
    let (asked, told) = (Arc::clone(&stile), Arc::clone(&stile));
    let status = move || told.status(Tick::now());
    http::serve_state(readiness, move || asked.ready(Tick::now()), status)?;
    let linking = Arc::clone(&stile);
    must_start("the link", move || linking.link.keep(&*linking))?;
    // Until it knows what to serve, a stile has no address: who is refused there goes on to
    // another node at once.
    while !stile.able(Tick::now()) {
        if signals.terminated() {
            return Ok(());
        }
        if let Some(new) = watched.poll(signals.take_hup()) {
            stile.heed(&new);
            settings = new;
        }
        stile.wait_for_news(50);
        stile.renew_when_due();
    }
    let listener = listen(frontend)?;
    stile.listening.store(true, Ordering::Relaxed);
    let watching = Arc::clone(&stile);
    must_start("resting clients", move || watching.parked.watch(|s| watching.hand(s)))?;
    let serving = Arc::clone(&stile);
    must_start("sessions", move || while serving.attend() {})?;
    let accepting = Arc::clone(&stile);
    must_start("clients", move || {
        for stream in listener.incoming() {
            match stream {
                Ok(stream) => accepting.admit(stream),
                Err(_) => std::thread::sleep(Duration::from_millis(20)),
            }
        }
    })?;
    info!(target: "stile", "{} serves {frontend}", settings.node_name);
    tend(&stile, &signals, watched, settings)
}

/// The platform looks at readiness each second and needs two misses; new sessions come until then.
const NOTICED_MS: u64 = 2_300;

/// The loop that renews leases, tends sessions and ends the program in order.
fn tend(
    stile: &Arc<Stile>,
    signals: &Signals,
    mut watched: Watched,
    mut settings: Settings,
) -> Result<(), Fatal> {
    let mut tended = Tick(0);
    let mut leaving: Option<Tick> = None;
    loop {
        std::thread::sleep(Duration::from_millis(if leaving.is_some() { 50 } else { 150 }));
        let now = Tick::now();
        stile.renew_when_due();
        if now.since(tended) >= 500 {
            tended = now;
            stile.tend(now);
            if let Some(new) = watched.poll(signals.take_hup()) {
                stile.heed(&new);
                settings = new;
            }
        }
        if signals.terminated() && leaving.is_none() {
            info!(target: "stile", "draining");
            leaving = Some(now);
            stile.draining.store(true, Ordering::Relaxed);
        }
        let Some(since) = leaving else { continue };
        let grace = settings.timing_bounds.grace_s * 1_000;
        let waited = now.since(since);
        if waited < NOTICED_MS.min(grace / 3) {
            continue;
        }
        stile.close_from.store(0, Ordering::Relaxed);
        let late = waited > grace / 2;
        let sessions: Vec<Arc<Seen>> = lock(&stile.sessions).values().cloned().collect();
        for seen in &sessions {
            seen.send_off(late);
        }
        if sessions.is_empty() || waited + 300 > grace {
            stile.tell(ToSteward::Bye);
            info!(target: "stile", "stopped with {} sessions open", sessions.len());
            return Ok(());
        }
    }
}
