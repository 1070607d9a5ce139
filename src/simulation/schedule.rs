//! Schedules of faults, drawn from a seed.
use crate::simulation::change_faults::ChangeFault;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::cell::RefCell;

/// Who takes part in a run, and which fault comes when. All times are milliseconds.
#[derive(Clone, Debug, PartialEq)]
pub struct Schedule {
    /// Rules every draw of the run, so that a schedule always runs the same way.
    pub seed: u64,
    /// Controllers with a disk at the first start.
    pub controllers: usize,
    /// How many of them may be lost at once.
    pub tolerated: usize,
    /// Operators that read and change the configuration.
    pub operators: usize,
    /// After this everything is repaired.
    pub length_ms: u64,
    /// The faults, in no particular order.
    pub faults: Vec<Fault>,
}

/// One fault of a schedule.
#[derive(Clone, Debug, PartialEq)]
pub struct Fault {
    /// When it begins, in milliseconds since the start.
    pub at: u64,
    /// How long it lasts, where it lasts.
    pub lasts_ms: u64,
    /// What it is.
    pub kind: FaultKind,
}

/// The controller that a fault strikes.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum FaultTarget {
    /// The one that leads when the fault begins.
    Leader,
    /// One of the running ones, by number modulo their count.
    Number(u8),
}

/// Which messages a partition stops, seen from the controller that is cut off.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum CutDirection {
    /// Both directions.
    Both,
    /// What it sends.
    Outbound,
    /// What it is sent.
    Inbound,
}

/// What can go wrong. Faults of controllers happen only while no more than `tolerated` are lost.
#[derive(Clone, Debug, PartialEq)]
pub enum FaultKind {
    /// Partitioned from the other controllers; each caller and node is on one of the two sides.
    Partition(FaultTarget, CutDirection),
    /// Stands still, perhaps between a decision and the bytes that tell of it.
    Freeze(FaultTarget),
    /// Frozen, partitioned, and its monotonic clock stands still with it, as that of a suspended virtual
    /// machine may. The pages promise that clocks run on: nothing is promised of leases in such a
    /// schedule, but no answer about what is current may rest on a clock.
    Suspend(FaultTarget),
    /// The process is killed and starts again.
    Kill(FaultTarget),
    /// The machine loses power and comes back with its disk.
    PowerLoss(FaultTarget),
    /// The machine loses power and comes back with an empty disk.
    DiskLoss(FaultTarget),
    /// Gone for good; an empty machine starts at another address.
    Replace(FaultTarget),
    /// All controllers stop at once.
    AllMachines {
        /// By a loss of power; killed otherwise.
        power_loss: bool,
        /// How many of those that may still be lost come back with empty disks.
        disks_lost: u8,
    },
    /// The disk refuses every write.
    DiskFull(FaultTarget),
    /// Writes hang until the fault ends.
    DiskStall(FaultTarget),
    /// All connections end.
    ConnectionReset,
    /// This many messages in a hundred are lost.
    PacketLoss(u8),
    /// A database is down for a while.
    DatabaseCrash {
        /// The service's primary; otherwise a replica.
        primary: bool,
        /// Chooses the service, and the replica.
        number: u8,
    },
    /// A replica, by number, receives nothing.
    ReplicationStall(u8),
    /// A database drains and leaves; a new one comes.
    DatabaseLeave {
        /// The service's primary; otherwise a replica.
        primary: bool,
        /// Chooses the service, and the replica.
        number: u8,
    },
    /// From here on some configurations have this many hundred routes.
    LargeConfigurations(u8),
    /// A node, by number, restarts and has forgotten everything.
    NodeRestart(u8),
    /// Strikes in the next change of a service, by number.
    InNextChange {
        /// What strikes.
        fault: ChangeFault,
        /// Chooses the service.
        number: u8,
    },
    /// A node, by number, stops in order with a commit under way.
    NodeStop(u8),
    /// A replica, by number, says goodbye first and serves on for long.
    GoodbyeFirst(u8),
}

/// The kinds that are drawn for any schedule, but for the last one where few are suspended.
const GENERAL_KINDS: u64 = 20;
/// All kinds; those from `GENERAL_KINDS` on are about changes of primaries.
const ALL_KINDS: u64 = 31;

/// How a fault is drawn from a schedule's seed.
#[derive(Clone, Copy, PartialEq)]
enum FaultDrawing {
    /// Of the general kinds, as the seeds in the table of `tests/simulation.rs` were found.
    General,
    /// Of all kinds; some schedules are about changes of primaries alone.
    WithChanges,
}

impl Schedule {
    /// A schedule drawn from a seed, for the command line; the tests draw theirs with a library that can
    /// shrink them.
    pub fn drawn(seed: u64) -> Self {
        Self::draw(seed, FaultDrawing::WithChanges)
    }

    /// A schedule drawn from a seed without the faults that wait for a change of a primary.
    pub fn drawn_without_change_faults(seed: u64) -> Self {
        Self::draw(seed, FaultDrawing::General)
    }

    fn draw(seed: u64, drawing: FaultDrawing) -> Self {
        seed_draws(seed);
        let (controllers, tolerated) =
            [(3, 1), (4, 1), (5, 2), (6, 2), (7, 2)][draw_below(5) as usize];
        let length_ms = 20_000 + draw_below(20_000);
        // Most schedules know few kinds of fault, and some of these strike close together: what is
        // rare among all of them is common there (swarm testing).
        let kinds = if drawing == FaultDrawing::General { GENERAL_KINDS } else { ALL_KINDS };
        let few = [draw_below(kinds), draw_below(kinds), draw_below(kinds)];
        let swarm = chance(70);
        let changes_only = drawing == FaultDrawing::WithChanges && chance(30);
        let mut before = 4_000;
        let fault = |_| {
            let at = if chance(50) {
                before + draw_below(3_000)
            } else {
                4_000 + draw_below(length_ms - 4_000)
            };
            before = at;
            let lasts_ms = [100, 500, 800, 1_500, 5_000, 12_000, 20_000][draw_below(7) as usize];
            let number = draw_below(3) as u8;
            let drawn = match (changes_only, swarm) {
                (true, _) => GENERAL_KINDS + draw_below(ALL_KINDS - GENERAL_KINDS),
                (false, true) => few[draw_below(3) as usize],
                (false, false) => draw_below(kinds - 1),
            };
            let kind = match drawn {
                ..GENERAL_KINDS => general_fault(drawn, number),
                _ => fault_of_a_change(drawn - GENERAL_KINDS, number),
            };
            Fault { at, lasts_ms, kind }
        };
        let faults = (0..2 + draw_below(8)).map(fault).collect();
        Self {
            seed,
            controllers,
            tolerated,
            operators: 2 + draw_below(7) as usize,
            length_ms,
            faults,
        }
    }
}

fn draw_target() -> FaultTarget {
    if chance(50) { FaultTarget::Leader } else { FaultTarget::Number(draw_below(8) as u8) }
}

fn general_fault(drawn: u64, number: u8) -> FaultKind {
    match drawn {
        0..=2 => FaultKind::Partition(
            draw_target(),
            [CutDirection::Both, CutDirection::Outbound, CutDirection::Inbound]
                [draw_below(3) as usize],
        ),
        3 | 4 => FaultKind::Freeze(draw_target()),
        5 => FaultKind::Kill(draw_target()),
        6 => FaultKind::PowerLoss(draw_target()),
        7 => FaultKind::DiskLoss(draw_target()),
        8 => FaultKind::Replace(draw_target()),
        9 => FaultKind::AllMachines { power_loss: chance(50), disks_lost: draw_below(3) as u8 },
        10 => FaultKind::DiskFull(draw_target()),
        11 => FaultKind::DiskStall(draw_target()),
        12 => FaultKind::ConnectionReset,
        13 => FaultKind::PacketLoss(3 + draw_below(10) as u8),
        14 => FaultKind::DatabaseCrash { primary: chance(60), number },
        15 => FaultKind::ReplicationStall(number),
        16 => FaultKind::DatabaseLeave { primary: chance(40), number },
        17 => FaultKind::LargeConfigurations(1 + draw_below(10) as u8),
        18 => FaultKind::NodeRestart(number),
        _ => FaultKind::Suspend(draw_target()),
    }
}

fn fault_of_a_change(drawn: u64, number: u8) -> FaultKind {
    let in_next_change = |fault| FaultKind::InNextChange { fault, number };
    match drawn {
        0 | 1 => FaultKind::DatabaseLeave { primary: true, number },
        2 => FaultKind::DatabaseCrash { primary: true, number },
        3 => FaultKind::ReplicationStall(number),
        4 | 5 => in_next_change(ChangeFault::TargetDeaf),
        6 => in_next_change(ChangeFault::PausedReplicaRestarts),
        7 => in_next_change(ChangeFault::UnlistedReplica),
        8 => in_next_change(ChangeFault::LeaderThaws),
        9 => FaultKind::NodeStop(number),
        _ => FaultKind::GoodbyeFirst(number),
    }
}

thread_local! {
    static DRAWS: RefCell<SmallRng> = RefCell::new(SmallRng::seed_from_u64(0));
}
/// Restarts the drawing of this thread.
pub(super) fn seed_draws(seed: u64) {
    DRAWS.with_borrow_mut(|rng| *rng = SmallRng::seed_from_u64(seed));
}

/// The next random number.
pub(super) fn draw() -> u64 {
    DRAWS.with_borrow_mut(|rng| rng.next_u64())
}

/// A random number below `n`; 0 if `n` is 0.
pub(super) fn draw_below(n: u64) -> u64 {
    draw() % n.max(1)
}

/// True in this many cases of a hundred.
pub(super) fn chance(percent: u64) -> bool {
    draw_below(100) < percent
}
