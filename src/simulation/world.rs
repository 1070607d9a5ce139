//! The world that the controllers run in: who is there, what time it is, and what happens next.
use crate::base::ids::{DbTerm, InstanceId, LogIndex, MemberId, ServiceName, Term};
use crate::net::rpc::raft_messages::LogEntry;
use crate::simulation::callers::Caller;
use crate::simulation::checker::{Forced, Passed};
use crate::simulation::databases::{Database, Write};
use crate::simulation::events::Event;
use crate::simulation::machines::Machine;
use crate::simulation::network::{Cut, End, Far};
use crate::simulation::nodes::Node;
use crate::simulation::operators::Operator;
use crate::simulation::runner::Report;
use crate::simulation::schedule::{Schedule, seed_draws, upto};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap};
use std::net::SocketAddr;

pub(super) struct World {
    pub(super) schedule: Schedule,
    pub(super) now: u64,
    events: BTreeMap<u64, Event>,
    queue: BinaryHeap<Reverse<(u64, u64)>>,
    pub(super) numbered: u64,
    pub(super) machines: Vec<Machine>,
    pub(super) cuts: Vec<Cut>,
    pub(super) lossy: (u64, u64),
    pub(super) conns: BTreeMap<u64, (usize, Far)>,
    /// When the last message on a connection arrives, so that the next one does not overtake it.
    pub(super) arrives: BTreeMap<(End, End), u64>,
    pub(super) operators: Vec<Operator>,
    pub(super) databases: Vec<Database>,
    pub(super) nodes: Vec<Node>,
    pub(super) large: u64,
    pub(super) healed: bool,
    // The history.
    pub(super) forced: Vec<Forced>,
    pub(super) leaders: BTreeMap<Term, MemberId>,
    pub(super) entries: BTreeMap<LogIndex, LogEntry>,
    /// A hash of the state at each entry.
    pub(super) states: BTreeMap<LogIndex, u64>,
    /// What a later read may not go behind: when it was known, and how far in `forced`.
    pub(super) floors: Vec<(u64, usize)>,
    /// Commits that nodes passed on to clients.
    pub(super) passed: BTreeMap<ServiceName, Vec<Passed>>,
    /// What each new primary began with.
    pub(super) promoted: BTreeMap<ServiceName, Vec<(DbTerm, Vec<Write>)>>,
    pub(super) goodbyes: BTreeSet<InstanceId>,
    pub(super) report: Report,
    pub(super) broken: Option<String>,
}

pub(super) const ADMIN: u16 = 2;

pub(super) const PEER: u16 = 1;

pub(super) const JOIN_SYNC_MS: u64 = 4_000;

pub(super) const SERVICES: [&str; 2] = ["pears", "plums"];

/// After the last trouble everything is well again and has this long to come to rest.
const REST_MS: u64 = 25_000;

/// The other controllers may hear of a machine that stood still so long after its callers do.
pub(super) const LATER_HEARD_MS: u64 = 600;

pub(super) fn place(machine: usize, port: u16) -> SocketAddr {
    SocketAddr::from(([10, 0, machine as u8 + 1, 1], port))
}

pub(super) fn machine_at(at: SocketAddr) -> usize {
    match at {
        SocketAddr::V4(at) => usize::from(at.ip().octets()[2]) - 1,
        SocketAddr::V6(_) => 0,
    }
}

impl World {
    pub(super) fn new(schedule: &Schedule) -> Self {
        seed_draws(schedule.seed);
        let mut world = Self {
            schedule: schedule.clone(),
            now: 0,
            events: BTreeMap::new(),
            queue: BinaryHeap::new(),
            numbered: 0,
            machines: Vec::new(),
            cuts: Vec::new(),
            lossy: (0, 0),
            conns: BTreeMap::new(),
            arrives: BTreeMap::new(),
            operators: Vec::new(),
            databases: Vec::new(),
            nodes: Vec::new(),
            large: 0,
            healed: false,
            forced: Vec::new(),
            leaders: BTreeMap::new(),
            entries: BTreeMap::new(),
            states: BTreeMap::new(),
            floors: Vec::new(),
            passed: BTreeMap::new(),
            promoted: BTreeMap::new(),
            goodbyes: BTreeSet::new(),
            report: Report::default(),
            broken: None,
        };
        let seeds: Vec<usize> = (0..schedule.controllers.min(3)).collect();
        for machine in 0..schedule.controllers {
            world.add_machine(&seeds, true);
            world.at(upto(300), Event::Start(machine));
        }
        for number in 0..schedule.operators {
            let caller = Caller { next: number, ..Caller::default() };
            world.operators.push(Operator { caller, order: None, made: 0 });
            world.at(500 + upto(500), Event::Act(number));
        }
        for service in SERVICES {
            for number in 0..3 {
                world.add_database(service, number == 0, 1_000 + upto(500));
            }
        }
        for number in 0..3 {
            world.nodes.push(Node {
                incarnation: 1,
                conn: None,
                welcome: false,
                known: seeds.iter().map(|m| place(*m, PEER)).collect(),
                next: number,
                hint: None,
                heard: 0,
                renewed: 0,
                seq: 0,
                sent: BTreeMap::new(),
                config: None,
                leases: BTreeMap::new(),
                revoked: BTreeMap::new(),
                highest: BTreeMap::new(),
            });
            world.at(500 + number as u64, Event::Node(number, 1));
        }
        for number in 0..schedule.troubles.len() {
            world.at(schedule.troubles[number].at, Event::Strike(number));
        }
        world
    }

    pub(super) fn at(&mut self, time: u64, event: Event) {
        self.numbered += 1;
        self.queue.push(Reverse((time, self.numbered)));
        self.events.insert(self.numbered, event);
    }

    pub(super) fn soon(&mut self, after: u64, event: Event) {
        self.at(self.now + after, event);
    }

    pub(super) fn run(&mut self) {
        let (length, end) = (self.schedule.length, self.schedule.length + REST_MS);
        while let Some(Reverse((time, number))) = self.queue.pop() {
            if self.broken.is_some() {
                return;
            }
            if !self.healed && time >= length {
                self.now = self.now.max(length);
                self.heal();
            }
            if time > end {
                return self.look_back();
            }
            self.now = time;
            let Some(event) = self.events.remove(&number) else { continue };
            self.report.trace =
                self.report.trace.wrapping_mul(31).wrapping_add(time).wrapping_add(number);
            self.happen(event);
        }
    }
}
