//! Schedules of faults, generated from a seed, and the random numbers that a run uses.
use crate::simulation::change_faults::ChangeFault;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::cell::RefCell;

/// The size of a simulated cluster and the faults injected into it. All times are in milliseconds.
#[derive(Clone, Debug, PartialEq)]
pub struct Schedule {
    /// Seeds every random choice of the run, so that a schedule always runs the same way.
    pub seed: u64,
    /// Controllers at the first start, each with a disk of its own.
    pub controllers: usize,
    /// The number of controllers that may be lost at the same time.
    pub tolerated_losses: usize,
    /// Operators that read and change the configuration.
    pub operators: usize,
    /// When fault injection ends and everything is repaired.
    pub length_ms: u64,
    /// The faults, in no particular order.
    pub faults: Vec<Fault>,
}

/// One fault of a schedule.
#[derive(Clone, Debug, PartialEq)]
pub struct Fault {
    /// When the fault begins, in milliseconds since the start of the run.
    pub start_ms: u64,
    /// How long the fault lasts; ignored by faults that are instantaneous.
    pub duration_ms: u64,
    /// The kind of fault.
    pub kind: FaultKind,
}

/// The controller that a fault affects.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum FaultTarget {
    /// The leader at the time when the fault begins.
    Leader,
    /// One of the running controllers, by number modulo their count.
    Number(u8),
}

/// Which messages a partition drops, seen from the isolated controller.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum PartitionDirection {
    /// Messages in both directions.
    Both,
    /// Messages that it sends.
    Outbound,
    /// Messages sent to it.
    Inbound,
}

/// The kinds of fault. A controller is lost only if that keeps the number of lost controllers
/// within `Schedule::tolerated_losses`.
#[derive(Clone, Debug, PartialEq)]
pub enum FaultKind {
    /// A controller is partitioned from the others; each client, node and database is on one of the
    /// two sides.
    Partition(FaultTarget, PartitionDirection),
    /// A controller freezes, possibly after a decision and before the messages that announce it are
    /// sent.
    Freeze(FaultTarget),
    /// A controller is frozen and partitioned, and its monotonic clock stops as well, as that of a
    /// suspended virtual machine may. Leases assume that clocks keep running, so they are not
    /// checked in such a schedule. Reads must be current all the same, because they must not depend
    /// on a clock.
    Suspend(FaultTarget),
    /// A controller's process is killed and restarts.
    Kill(FaultTarget),
    /// A controller's machine loses power and restarts with its disk.
    PowerLoss(FaultTarget),
    /// A controller's machine loses power and restarts with an empty disk.
    DiskLoss(FaultTarget),
    /// A controller's machine is removed for good; one with an empty disk starts at another
    /// address.
    Replace(FaultTarget),
    /// All controllers stop at once and restart later.
    StopAllMachines {
        /// Whether the machines lose power; otherwise the processes are killed.
        power_loss: bool,
        /// How many of them restart with empty disks, limited to the losses still tolerated.
        disks_lost: u8,
    },
    /// A controller's disk rejects every write.
    DiskFull(FaultTarget),
    /// Writes to a controller's disk hang until the fault ends.
    DiskStall(FaultTarget),
    /// All connections are closed.
    ConnectionReset,
    /// This percentage of all messages is lost.
    PacketLoss(u8),
    /// A database crashes, and restarts when the fault ends.
    DatabaseCrash {
        /// The service's primary; otherwise a replica.
        primary: bool,
        /// Chooses the service, and the replica.
        number: u8,
    },
    /// A replica, chosen by number, stops receiving log data until the fault ends.
    ReplicationStall(u8),
    /// A database drains and is removed; a new one starts.
    DatabaseReplacement {
        /// The service's primary; otherwise a replica.
        primary: bool,
        /// Chooses the service, and the replica.
        number: u8,
    },
    /// From now on some configurations have this many hundred routes.
    LargeConfigurations(u8),
    /// A node, chosen by number, restarts and loses its in-memory state.
    NodeRestart(u8),
    /// A fault is injected into the next change of a service's primary.
    DuringPrimaryChange {
        /// The fault to inject.
        fault: ChangeFault,
        /// Chooses the service.
        number: u8,
    },
    /// A node, chosen by number, shuts down gracefully right after its next commit.
    NodeShutdown(u8),
    /// A replica, chosen by number, deregisters before it stops, and keeps serving for a long time.
    EarlyDeregistration(u8),
    /// A new replica, of the service chosen by number, receives the log before it is registered,
    /// and is soon the only one; then the primary and all nodes are lost.
    UnregisteredSoleHolder(u8),
    /// A replica, chosen by number, deregisters and serves on, and a connection of the controllers
    /// to it breaks. Later it is the only one that receives; then the primary and all nodes are
    /// lost.
    DepartedSoleHolder(u8),
    /// A node, chosen by number, shuts down gracefully right after a commit that only one replica
    /// received, and the primary and that replica crash.
    HolderCrashAfterShutdown(u8),
}

/// The number of kinds that any schedule may contain. The last one is a suspension, which keeps
/// leases from being checked: a schedule without the kinds that concern changes of primaries leaves
/// it out, unless it is limited to a few kinds.
const GENERAL_KIND_COUNT: u64 = 20;
/// The number of all kinds; those from `GENERAL_KIND_COUNT` on concern changes of primaries.
const KIND_COUNT: u64 = 34;

/// The kinds of fault that a generated schedule selects from.
#[derive(Clone, Copy, PartialEq)]
enum FaultSelection {
    /// The general kinds. The regression seeds in `tests/simulation.rs` depend on this selection.
    General,
    /// All kinds; some schedules contain faults of primary changes only.
    WithPrimaryChanges,
}

impl Schedule {
    /// Generates a schedule from a seed, for the command line. The property test generates its
    /// schedules with `proptest`, which can shrink them.
    pub fn from_seed(seed: u64) -> Self {
        Self::generate(seed, FaultSelection::WithPrimaryChanges)
    }

    /// Generates a schedule from a seed, without the kinds that concern changes of primaries.
    pub fn from_seed_without_change_faults(seed: u64) -> Self {
        Self::generate(seed, FaultSelection::General)
    }

    fn generate(seed: u64, selection: FaultSelection) -> Self {
        seed_rng(seed);
        let (controllers, tolerated_losses) =
            [(3, 1), (4, 1), (5, 2), (6, 2), (7, 2)][random_below(5) as usize];
        let length_ms = 20_000 + random_below(20_000);
        // Most schedules contain few kinds of fault, some of them close together, so that
        // combinations that are rare among all kinds become common (swarm testing).
        let kind_count =
            if selection == FaultSelection::General { GENERAL_KIND_COUNT } else { KIND_COUNT };
        let selected_kinds =
            [random_below(kind_count), random_below(kind_count), random_below(kind_count)];
        let only_selected_kinds = chance(70);
        let changes_only = selection == FaultSelection::WithPrimaryChanges && chance(30);
        let mut previous_start_ms = 4_000;
        let fault = |_| {
            let start_ms = if chance(50) {
                previous_start_ms + random_below(3_000)
            } else {
                4_000 + random_below(length_ms - 4_000)
            };
            previous_start_ms = start_ms;
            let duration_ms =
                [100, 500, 800, 1_500, 5_000, 12_000, 20_000][random_below(7) as usize];
            let number = random_below(3) as u8;
            let kind_number = match (changes_only, only_selected_kinds) {
                (true, _) => GENERAL_KIND_COUNT + random_below(KIND_COUNT - GENERAL_KIND_COUNT),
                (false, true) => selected_kinds[random_below(3) as usize],
                (false, false) => random_below(kind_count - 1),
            };
            let kind = match kind_number {
                ..GENERAL_KIND_COUNT => general_fault(kind_number, number),
                _ => primary_change_fault(kind_number - GENERAL_KIND_COUNT, number),
            };
            Fault { start_ms, duration_ms, kind }
        };
        let faults = (0..2 + random_below(8)).map(fault).collect();
        Self {
            seed,
            controllers,
            tolerated_losses,
            operators: 2 + random_below(7) as usize,
            length_ms,
            faults,
        }
    }
}

fn random_target() -> FaultTarget {
    if chance(50) { FaultTarget::Leader } else { FaultTarget::Number(random_below(8) as u8) }
}

fn general_fault(kind_number: u64, number: u8) -> FaultKind {
    match kind_number {
        0..=2 => FaultKind::Partition(
            random_target(),
            [PartitionDirection::Both, PartitionDirection::Outbound, PartitionDirection::Inbound]
                [random_below(3) as usize],
        ),
        3 | 4 => FaultKind::Freeze(random_target()),
        5 => FaultKind::Kill(random_target()),
        6 => FaultKind::PowerLoss(random_target()),
        7 => FaultKind::DiskLoss(random_target()),
        8 => FaultKind::Replace(random_target()),
        9 => {
            FaultKind::StopAllMachines { power_loss: chance(50), disks_lost: random_below(3) as u8 }
        }
        10 => FaultKind::DiskFull(random_target()),
        11 => FaultKind::DiskStall(random_target()),
        12 => FaultKind::ConnectionReset,
        13 => FaultKind::PacketLoss(3 + random_below(10) as u8),
        14 => FaultKind::DatabaseCrash { primary: chance(60), number },
        15 => FaultKind::ReplicationStall(number),
        16 => FaultKind::DatabaseReplacement { primary: chance(40), number },
        17 => FaultKind::LargeConfigurations(1 + random_below(10) as u8),
        18 => FaultKind::NodeRestart(number),
        _ => FaultKind::Suspend(random_target()),
    }
}

fn primary_change_fault(kind_number: u64, number: u8) -> FaultKind {
    let during_primary_change = |fault| FaultKind::DuringPrimaryChange { fault, number };
    match kind_number {
        0 | 1 => FaultKind::DatabaseReplacement { primary: true, number },
        2 => FaultKind::DatabaseCrash { primary: true, number },
        3 => FaultKind::ReplicationStall(number),
        4 | 5 => during_primary_change(ChangeFault::TargetReplicationStall),
        6 => during_primary_change(ChangeFault::PausedReplicaRestart),
        7 => during_primary_change(ChangeFault::UnregisteredReplica),
        8 => during_primary_change(ChangeFault::LeaderResume),
        9 => FaultKind::NodeShutdown(number),
        10 => FaultKind::EarlyDeregistration(number),
        11 => FaultKind::UnregisteredSoleHolder(number),
        12 => FaultKind::DepartedSoleHolder(number),
        _ => FaultKind::HolderCrashAfterShutdown(number),
    }
}

thread_local! {
    static RNG: RefCell<SmallRng> = RefCell::new(SmallRng::seed_from_u64(0));
}
/// Seeds the random number generator of this thread.
pub(super) fn seed_rng(seed: u64) {
    RNG.with_borrow_mut(|rng| *rng = SmallRng::seed_from_u64(seed));
}

/// The next random number of this thread's generator.
pub(super) fn random_u64() -> u64 {
    RNG.with_borrow_mut(|rng| rng.next_u64())
}

/// A random number below `n`, or 0 if `n` is 0.
pub(super) fn random_below(n: u64) -> u64 {
    random_u64() % n.max(1)
}

/// Returns true with this probability, in percent.
pub(super) fn chance(percent: u64) -> bool {
    random_below(100) < percent
}
