//! The simulated cluster: its participants, the virtual clock, and the queue of events.
use crate::base::ids::{DbTerm, InstanceId, LogIndex, MemberId, ServiceName, Term};
use crate::net::rpc::raft_messages::LogEntry;
use crate::simulation::callers::Caller;
use crate::simulation::change_faults::{ObservedChange, PendingChangeFault};
use crate::simulation::checker::{CommittedConfiguration, ForwardedCommit};
use crate::simulation::commit_holder_faults::PendingHolderCrash;
use crate::simulation::databases::{Database, Write};
use crate::simulation::events::Event;
use crate::simulation::machines::Machine;
use crate::simulation::network::{Endpoint, Partition, RemoteEnd};
use crate::simulation::nodes::Node;
use crate::simulation::operators::Operator;
use crate::simulation::runner::{Report, Violation};
use crate::simulation::schedule::{Schedule, random_below, seed_rng};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap};
use std::net::SocketAddr;

/// The state of a run, and the history that its guarantees are checked against. All times are in
/// milliseconds since the start.
pub(super) struct World {
    pub(super) schedule: Schedule,
    pub(super) now: u64,
    events: BTreeMap<u64, Event>,
    queue: BinaryHeap<Reverse<(u64, u64)>>,
    /// The last number given to an event, a connection or a write.
    pub(super) last_id: u64,
    pub(super) machines: Vec<Machine>,
    pub(super) partitions: Vec<Partition>,
    /// When the loss of messages ends, and the percentage that is lost until then.
    pub(super) packet_loss: (u64, u64),
    /// The open connections to peer ports: the controller's machine and the remote end of each.
    pub(super) connections: BTreeMap<u64, (usize, RemoteEnd)>,
    /// When the last message between two endpoints arrives, so that the next one does not overtake
    /// it.
    pub(super) last_arrivals: BTreeMap<(Endpoint, Endpoint), u64>,
    pub(super) operators: Vec<Operator>,
    pub(super) databases: Vec<Database>,
    pub(super) nodes: Vec<Node>,
    /// How many hundred routes some configurations have in addition.
    pub(super) extra_routes_hundreds: u64,
    /// Whether fault injection has ended.
    pub(super) repaired: bool,
    pub(super) pending_change_faults: Vec<PendingChangeFault>,
    /// The faults that wait for a commit of a node.
    pub(super) pending_holder_crashes: Vec<PendingHolderCrash>,
    pub(super) observed_changes: BTreeMap<ServiceName, ObservedChange>,
    /// The highest fencing token that the platform has received for each service.
    pub(super) highest_fences: BTreeMap<ServiceName, u64>,
    // The history that is checked.
    pub(super) committed_configurations: Vec<CommittedConfiguration>,
    pub(super) leaders: BTreeMap<Term, MemberId>,
    pub(super) committed_entries: BTreeMap<LogIndex, LogEntry>,
    /// The hash of the replicated state after each log entry.
    pub(super) state_hashes: BTreeMap<LogIndex, u64>,
    /// Lower bounds for later reads: when a configuration was known to be committed, and its place
    /// in `committed_configurations`, counted from 1.
    pub(super) read_floors: Vec<(u64, usize)>,
    /// Commits that nodes forwarded to clients.
    pub(super) acknowledged_commits: BTreeMap<ServiceName, Vec<ForwardedCommit>>,
    /// The term of each promoted primary, and its log at the time of the promotion.
    pub(super) promotions: BTreeMap<ServiceName, Vec<(DbTerm, Vec<Write>)>>,
    /// Databases whose deregistration was acknowledged.
    pub(super) deregistered_databases: BTreeSet<InstanceId>,
    pub(super) report: Report,
    pub(super) violation: Option<Violation>,
}

/// The port of every controller's admin address.
pub(super) const ADMIN_PORT: u16 = 2;
/// The port of every controller's peer address.
pub(super) const PEER_PORT: u16 = 1;
/// `join_sync_s` of all settings, in milliseconds: a restarted machine counts as lost for this
/// time.
pub(super) const JOIN_SYNC_MS: u64 = 4_000;
/// The services of every schedule.
pub(super) const SERVICES: [&str; 2] = ["pears", "plums"];

/// How long a run continues after everything has been repaired.
const RECOVERY_MS: u64 = 25_000;

/// How long a controller stays partitioned from the others after it resumes, while its clients may
/// already reach it.
pub(super) const PEER_PARTITION_EXTRA_MS: u64 = 600;

/// The address of a machine's port.
pub(super) fn address_of(machine: usize, port: u16) -> SocketAddr {
    SocketAddr::from(([10, 0, machine as u8 + 1, 1], port))
}

/// The machine that an address belongs to.
pub(super) fn machine_of(address: SocketAddr) -> usize {
    match address {
        SocketAddr::V4(address) => usize::from(address.ip().octets()[2]) - 1,
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
            last_id: 0,
            machines: Vec::new(),
            partitions: Vec::new(),
            packet_loss: (0, 0),
            connections: BTreeMap::new(),
            last_arrivals: BTreeMap::new(),
            operators: Vec::new(),
            databases: Vec::new(),
            nodes: Vec::new(),
            extra_routes_hundreds: 0,
            repaired: false,
            pending_change_faults: Vec::new(),
            pending_holder_crashes: Vec::new(),
            observed_changes: BTreeMap::new(),
            highest_fences: BTreeMap::new(),
            committed_configurations: Vec::new(),
            leaders: BTreeMap::new(),
            committed_entries: BTreeMap::new(),
            state_hashes: BTreeMap::new(),
            read_floors: Vec::new(),
            acknowledged_commits: BTreeMap::new(),
            promotions: BTreeMap::new(),
            deregistered_databases: BTreeSet::new(),
            report: Report::default(),
            violation: None,
        };
        let seeds: Vec<usize> = (0..schedule.controllers.min(3)).collect();
        for machine in 0..schedule.controllers {
            world.add_machine(&seeds, true);
            world.schedule_at(random_below(300), Event::StartController(machine));
        }
        for number in 0..schedule.operators {
            let caller = Caller { next_controller: number, ..Caller::default() };
            world.operators.push(Operator { caller, change: None, changes_made: 0 });
            world.schedule_at(500 + random_below(500), Event::CallerTurn(number));
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
            connection: None,
            welcomed: false,
            controllers: seeds.iter().map(|m| address_of(*m, PEER_PORT)).collect(),
            next_controller: number,
            leader_hint: None,
            last_message_at: 0,
            last_renewal_at: 0,
            last_renewal_seq: 0,
            renewals_sent: BTreeMap::new(),
            route_table: None,
            leases: BTreeMap::new(),
            revoked: BTreeMap::new(),
            highest_positions: BTreeMap::new(),
            listed_databases: BTreeMap::new(),
            commit_confirmations: BTreeMap::new(),
            shuts_down_after_commit: false,
            unreported_commits: BTreeMap::new(),
            last_grant: None,
        });
        self.schedule_at(500 + number as u64, Event::NodeTurn(number, 1));
    }

    /// Schedules an event at a time.
    pub(super) fn schedule_at(&mut self, time: u64, event: Event) {
        self.last_id += 1;
        self.queue.push(Reverse((time, self.last_id)));
        self.events.insert(self.last_id, event);
    }

    /// Schedules an event this many milliseconds from now.
    pub(super) fn schedule_after(&mut self, after: u64, event: Event) {
        self.schedule_at(self.now + after, event);
    }

    /// Runs until a violation, or until the cluster has had time to recover after the last fault.
    pub(super) fn run(&mut self) {
        let (length_ms, end) = (self.schedule.length_ms, self.schedule.length_ms + RECOVERY_MS);
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
