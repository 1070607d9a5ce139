//! Schedules of faults, drawn from a seed.
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
}

impl Schedule {
    /// A schedule drawn from a seed, for the command line; the tests draw theirs with a library that can
    /// shrink them.
    pub fn drawn(seed: u64) -> Self {
        seed_draws(seed);
        let (controllers, tolerated) =
            [(3, 1), (4, 1), (5, 2), (6, 2), (7, 2)][draw_below(5) as usize];
        let length_ms = 20_000 + draw_below(20_000);
        let target = || {
            if chance(50) { FaultTarget::Leader } else { FaultTarget::Number(draw_below(8) as u8) }
        };
        // Most schedules know few kinds of fault, and some of these strike close together: what is
        // rare among all of them is common there (swarm testing).
        let few = [draw_below(20), draw_below(20), draw_below(20)];
        let swarm = chance(70);
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
            let kind = match if swarm { few[draw_below(3) as usize] } else { draw_below(19) } {
                0..=2 => FaultKind::Partition(
                    target(),
                    [CutDirection::Both, CutDirection::Outbound, CutDirection::Inbound]
                        [draw_below(3) as usize],
                ),
                3 | 4 => FaultKind::Freeze(target()),
                5 => FaultKind::Kill(target()),
                6 => FaultKind::PowerLoss(target()),
                7 => FaultKind::DiskLoss(target()),
                8 => FaultKind::Replace(target()),
                9 => FaultKind::AllMachines {
                    power_loss: chance(50),
                    disks_lost: draw_below(3) as u8,
                },
                10 => FaultKind::DiskFull(target()),
                11 => FaultKind::DiskStall(target()),
                12 => FaultKind::ConnectionReset,
                13 => FaultKind::PacketLoss(3 + draw_below(10) as u8),
                14 => FaultKind::DatabaseCrash { primary: chance(60), number },
                15 => FaultKind::ReplicationStall(number),
                16 => FaultKind::DatabaseLeave { primary: chance(40), number },
                17 => FaultKind::LargeConfigurations(1 + draw_below(10) as u8),
                18 => FaultKind::NodeRestart(number),
                _ => FaultKind::Suspend(target()),
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
