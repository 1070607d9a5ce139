//! The operators, databases and nodes round the controllers.
use crate::base::ids::{DbTerm, InstanceId, LogIndex, MemberId, Position, Revision, ServiceName};
use crate::base::time::Tick;
use crate::config::directory::{Lifecycle, Role};
use crate::config::route_table::RouteTable;
use crate::config::settings::Settings;
use crate::controller::controller::{Controller, Effects, Input};
use crate::failover::{Attempt, DatabaseRequest};
use crate::net::http::{Request, Response};
use crate::net::rpc::raft_messages::{Member, RaftMessage};
use crate::raft::storage::{RaftStorage, WriteBatch};
use crate::simulation::world::Write;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::mpsc::Receiver;

/// What a controller wants done, until the world does it.
#[derive(Default)]
pub(crate) struct Queue {
    pub(crate) raft: Vec<(SocketAddr, MemberId, RaftMessage)>,
    pub(crate) batch: Option<WriteBatch>,
    pub(crate) standing: Vec<(SocketAddr, Member, bool)>,
    pub(crate) asks: Vec<(ServiceName, InstanceId, DatabaseRequest, Attempt)>,
    pub(crate) posts: Vec<(ServiceName, InstanceId, Attempt)>,
    pub(crate) frames: VecDeque<(u64, Arc<[u8]>)>,
    pub(crate) open: BTreeSet<u64>,
}

impl Effects for Queue {
    fn send_raft(&mut self, to: MemberId, address: SocketAddr, message: RaftMessage, _: Tick) {
        self.raft.push((address, to, message));
    }
    fn keep_links(&mut self, _: &[Member]) {}
    fn write(&mut self, batch: WriteBatch) -> bool {
        self.batch = Some(batch);
        true
    }
    fn ask_standing(&mut self, at: SocketAddr, member: Member, was: bool) {
        self.standing.push((at, member, was));
    }
    fn ask_database(
        &mut self,
        service: &ServiceName,
        id: &InstanceId,
        _: SocketAddr,
        ask: DatabaseRequest,
        attempt: Attempt,
    ) -> bool {
        self.asks.push((service.clone(), id.clone(), ask, attempt));
        true
    }
    fn post_failover(
        &mut self,
        _: SocketAddr,
        _: &str,
        service: &ServiceName,
        target: &InstanceId,
        attempt: Attempt,
    ) {
        self.posts.push((service.clone(), target.clone(), attempt));
    }
    fn send(&mut self, conn: u64, frame: Arc<[u8]>) {
        self.frames.push_back((conn, frame));
    }
    fn send_first(&mut self, conn: u64, frame: Arc<[u8]>) {
        self.frames.push_front((conn, frame));
    }
    fn waiting(&self, conn: u64) -> Option<usize> {
        self.open.contains(&conn).then_some(0)
    }
    fn pump(&mut self) -> Vec<u64> {
        Vec::new()
    }
    fn peers(&self) -> usize {
        self.open.len()
    }
}

pub(crate) struct Machine {
    pub(crate) settings: Settings,
    pub(crate) disk: RaftStorage,
    pub(crate) controller: Option<Controller<Queue>>,
    /// Grows with each start, so that what was meant for an older process is known.
    pub(crate) incarnation: u64,
    /// Its steady clock is ahead of the world's by this.
    pub(crate) ahead: u64,
    pub(crate) wake: u64,
    pub(crate) frozen: Option<u64>,
    /// Frozen in the middle of a step: what that step decides leaves only when it wakes.
    pub(crate) midway: bool,
    /// Since when its steady clock stands still.
    pub(crate) suspended: Option<u64>,
    pub(crate) backlog: Vec<Input>,
    pub(crate) writing: Option<WriteBatch>,
    /// The disk takes nothing until then; with `full` it says so.
    pub(crate) disk_ill: Option<(u64, bool)>,
    /// Counts as lost until then.
    pub(crate) lost: u64,
    pub(crate) gone: bool,
    pub(crate) me: MemberId,
    pub(crate) checked: LogIndex,
    pub(crate) applied: LogIndex,
}

impl Machine {
    pub(crate) fn wake_up(&mut self, now: u64) {
        (self.frozen, self.midway) = (None, false);
        if let Some(since) = self.suspended.take() {
            self.ahead -= now - since;
        }
    }
}

/// Who speaks: controllers by number, then everybody else.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum End {
    Controller(usize),
    Operator(usize),
    Node(usize),
    Database(usize),
}

impl End {
    /// On which side of a cut one that is no controller stands.
    pub(crate) fn side(self, salt: u64) -> bool {
        let (kind, number) = match self {
            End::Controller(n) => (0, n),
            End::Operator(n) => (1, n),
            End::Node(n) => (2, n),
            End::Database(n) => (3, n),
        };
        (salt >> ((kind * 7 + number as u64) % 61)) & 1 == 1
    }
}

/// A commit that a node passed on to its client, and when.
#[derive(Clone, Copy)]
pub(crate) struct Passed {
    pub(crate) write: Write,
    pub(crate) node: usize,
    pub(crate) at: u64,
}

/// One that calls controllers over HTTP: an operator, or a database with its heartbeats.
#[derive(Default)]
pub(crate) struct Caller {
    pub(crate) attempt: u64,
    pub(crate) sent: u64,
    /// Where the next try goes.
    pub(crate) next: usize,
    pub(crate) redirects: u8,
    pub(crate) pause: u64,
    pub(crate) under_way: Option<Request>,
    pub(crate) answer: Option<(usize, u64, Receiver<Response>)>,
}

#[derive(Clone)]
pub(crate) struct Order {
    pub(crate) base: Revision,
    pub(crate) revision: Revision,
    pub(crate) body: Vec<u8>,
    /// It has been taken before, or can't be taken.
    pub(crate) known: Option<bool>,
}

pub(crate) struct Operator {
    pub(crate) caller: Caller,
    pub(crate) order: Option<Order>,
    pub(crate) made: u64,
}

pub(crate) struct Database {
    pub(crate) id: InstanceId,
    pub(crate) service: ServiceName,
    pub(crate) caller: Caller,
    pub(crate) up: bool,
    pub(crate) gone: bool,
    pub(crate) primary: bool,
    pub(crate) term: DbTerm,
    pub(crate) log: Vec<Write>,
    pub(crate) paused: bool,
    pub(crate) deaf: u64,
    pub(crate) draining: bool,
    pub(crate) drained: bool,
    pub(crate) sequence: u64,
    /// How much of its log each other one has.
    pub(crate) received: BTreeMap<usize, usize>,
    /// Who waits for which commit.
    pub(crate) owed: Vec<(usize, u64, usize, u64)>,
    pub(crate) told: Option<(Role, Lifecycle)>,
    /// Since when it could reach a newer primary.
    pub(crate) deposed: Option<u64>,
}

impl Database {
    pub(crate) fn position(&self) -> Position {
        let term = self.log.last().map_or(DbTerm(1), |w| w.term);
        Position { term, number: self.log.len() as u64 }
    }
    pub(crate) fn role(&self) -> Role {
        if self.primary { Role::Primary } else { Role::Replica }
    }
    pub(crate) fn lifecycle(&self) -> Lifecycle {
        if self.draining { Lifecycle::Draining } else { Lifecycle::Available }
    }
}

#[derive(Clone)]
pub(crate) struct Lease {
    pub(crate) term: DbTerm,
    pub(crate) primary: InstanceId,
    pub(crate) asked: u64,
}

/// A hollow node: it follows the leader as a pooler does and writes at the primaries it is leased.
pub(crate) struct Node {
    pub(crate) incarnation: u64,
    pub(crate) conn: Option<(u64, usize)>,
    pub(crate) welcome: bool,
    pub(crate) known: Vec<SocketAddr>,
    pub(crate) next: usize,
    pub(crate) hint: Option<SocketAddr>,
    pub(crate) heard: u64,
    pub(crate) renewed: u64,
    pub(crate) seq: u64,
    pub(crate) sent: BTreeMap<u64, u64>,
    pub(crate) config: Option<RouteTable>,
    pub(crate) leases: BTreeMap<ServiceName, Lease>,
    pub(crate) revoked: BTreeMap<ServiceName, (DbTerm, u64)>,
    pub(crate) highest: BTreeMap<ServiceName, Position>,
}

pub(crate) enum Far {
    Node(usize, u64),
    Join { asker: usize, incarnation: u64, me: MemberId, at: SocketAddr },
}

/// A configuration that is known to have come into force, in the order in which they did.
pub(crate) struct Forced {
    pub(crate) revision: Revision,
    pub(crate) base: Revision,
    pub(crate) body: Vec<u8>,
    pub(crate) at: u64,
}
