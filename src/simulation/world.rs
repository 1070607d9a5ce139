//! The world that the controllers run in: who is there, what time it is, and what happens next.
use crate::base::ids::{DbTerm, InstanceId, LogIndex, MemberId, ServiceName, Term};
use crate::net::rpc::raft_messages::LogEntry;
use crate::simulation::callers::Caller;
use crate::simulation::change_faults::{ObservedChange, PendingChangeFault};
use crate::simulation::checker::{AcknowledgedCommit, CommittedConfiguration};
use crate::simulation::databases::{Database, Write};
use crate::simulation::events::Event;
use crate::simulation::machines::Machine;
use crate::simulation::network::{Partition, Party, RemoteEnd};
use crate::simulation::nodes::Node;
use crate::simulation::operators::Operator;
use crate::simulation::runner::{Report, Violation};
use crate::simulation::schedule::{Schedule, random_below, seed_rng};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap};
use std::net::SocketAddr;

/// Everything in a run, and the history that it is checked against.
pub(super) struct World {
    pub(super) schedule: Schedule,
    pub(super) now: u64,
    events: BTreeMap<u64, Event>,
    queue: BinaryHeap<Reverse<(u64, u64)>>,
    pub(super) last_number: u64,
    pub(super) machines: Vec<Machine>,
    pub(super) partitions: Vec<Partition>,
    pub(super) packet_loss: (u64, u64),
    pub(super) connections: BTreeMap<u64, (usize, RemoteEnd)>,
    /// When the last message on a connection arrives, so that the next one does not overtake it.
    pub(super) last_arrivals: BTreeMap<(Party, Party), u64>,
    pub(super) operators: Vec<Operator>,
    pub(super) databases: Vec<Database>,
    pub(super) nodes: Vec<Node>,
    pub(super) large: u64,
    pub(super) repaired: bool,
    pub(super) pending_change_faults: Vec<PendingChangeFault>,
    pub(super) observed_changes: BTreeMap<ServiceName, ObservedChange>,
    /// The highest fencing token that the platform has seen for each service.
    pub(super) highest_fences: BTreeMap<ServiceName, u64>,
    // The history.
    pub(super) committed_configurations: Vec<CommittedConfiguration>,
    pub(super) leaders: BTreeMap<Term, MemberId>,
    pub(super) entries: BTreeMap<LogIndex, LogEntry>,
    /// A hash of the state at each entry.
    pub(super) states: BTreeMap<LogIndex, u64>,
    /// What a later read may not go behind: when it was known, and how far in `committed_configurations`.
    pub(super) read_floors: Vec<(u64, usize)>,
    /// Commits that nodes passed on to clients.
    pub(super) acknowledged_commits: BTreeMap<ServiceName, Vec<AcknowledgedCommit>>,
    /// What each new primary began with.
    pub(super) promotions: BTreeMap<ServiceName, Vec<(DbTerm, Vec<Write>)>>,
    pub(super) goodbyes: BTreeSet<InstanceId>,
    pub(super) report: Report,
    pub(super) violation: Option<Violation>,
}

/// The port of every controller's admin address.
pub(super) const ADMIN: u16 = 2;
/// The port of every controller's peer address.
pub(super) const PEER: u16 = 1;
/// `join_sync_s` of all settings: a machine that is back counts as lost for so long.
pub(super) const JOIN_SYNC_MS: u64 = 4_000;
/// The services of every schedule.
pub(super) const SERVICES: [&str; 2] = ["pears", "plums"];

/// How long a run goes on after everything was repaired.
const REST_MS: u64 = 25_000;

/// How much longer than its callers the other controllers may not reach a machine that stood still.
pub(super) const LATER_HEARD_MS: u64 = 600;

/// The address of a machine's port.
pub(super) fn address_of(machine: usize, port: u16) -> SocketAddr {
    SocketAddr::from(([10, 0, machine as u8 + 1, 1], port))
}

/// The machine that an address belongs to.
pub(super) fn machine_of(at: SocketAddr) -> usize {
    match at {
        SocketAddr::V4(at) => usize::from(at.ip().octets()[2]) - 1,
        SocketAddr::V6(_) => 0,
    }
}

impl World {
    pub(super) fn new(schedule: &Schedule) -> Self {
        seed_rng(schedule.seed);
        let mut world = Self {
            schedule: schedule.clone(),
            now: 0,
            events: BTreeMap::new(),
            queue: BinaryHeap::new(),
            last_number: 0,
            machines: Vec::new(),
            partitions: Vec::new(),
            packet_loss: (0, 0),
            connections: BTreeMap::new(),
            last_arrivals: BTreeMap::new(),
            operators: Vec::new(),
            databases: Vec::new(),
            nodes: Vec::new(),
            large: 0,
            repaired: false,
            pending_change_faults: Vec::new(),
            observed_changes: BTreeMap::new(),
            highest_fences: BTreeMap::new(),
            committed_configurations: Vec::new(),
            leaders: BTreeMap::new(),
            entries: BTreeMap::new(),
            states: BTreeMap::new(),
            read_floors: Vec::new(),
            acknowledged_commits: BTreeMap::new(),
            promotions: BTreeMap::new(),
            goodbyes: BTreeSet::new(),
            report: Report::default(),
            violation: None,
        };
        let seeds: Vec<usize> = (0..schedule.controllers.min(3)).collect();
        for machine in 0..schedule.controllers {
            world.add_machine(&seeds, true);
            world.schedule_at(random_below(300), Event::Start(machine));
        }
        for number in 0..schedule.operators {
            let caller = Caller { next: number, ..Caller::default() };
            world.operators.push(Operator { caller, change: None, made: 0 });
            world.schedule_at(500 + random_below(500), Event::TakeTurn(number));
        }
        for service in SERVICES {
            for number in 0..3 {
                world.add_database(service, number == 0, 1_000 + random_below(500));
            }
        }
        for number in 0..3 {
            world.add_node(number, &seeds);
        }
        for number in 0..schedule.faults.len() {
            world.schedule_at(schedule.faults[number].start_ms, Event::InjectFault(number));
        }
        world
    }

    fn add_node(&mut self, number: usize, seeds: &[usize]) {
        self.nodes.push(Node {
            incarnation: 1,
            conn: None,
            welcome: false,
            known: seeds.iter().map(|m| address_of(*m, PEER)).collect(),
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
            confirmations: BTreeMap::new(),
            stops_after_commit: false,
            unreported: BTreeMap::new(),
            last_answer: None,
        });
        self.schedule_at(500 + number as u64, Event::NodeTurn(number, 1));
    }

    /// Has something happen at a time.
    pub(super) fn schedule_at(&mut self, time: u64, event: Event) {
        self.last_number += 1;
        self.queue.push(Reverse((time, self.last_number)));
        self.events.insert(self.last_number, event);
    }

    /// Has something happen so many milliseconds from now.
    pub(super) fn schedule_after(&mut self, after: u64, event: Event) {
        self.schedule_at(self.now + after, event);
    }

    /// Runs until a violation, or until everything has had time to recover after the last fault.
    pub(super) fn run(&mut self) {
        let (length_ms, end) = (self.schedule.length_ms, self.schedule.length_ms + REST_MS);
        while let Some(Reverse((time, number))) = self.queue.pop() {
            if self.violation.is_some() {
                return;
            }
            if !self.repaired && time >= length_ms {
                self.now = self.now.max(length_ms);
                self.repair_all();
            }
            if time > end {
                return self.check_final_state();
            }
            self.now = time;
            let Some(event) = self.events.remove(&number) else { continue };
            self.report.trace =
                self.report.trace.wrapping_mul(31).wrapping_add(time).wrapping_add(number);
            self.dispatch(event);
        }
    }
}
