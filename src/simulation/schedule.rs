//! Schedules of faults, drawn from a seed.
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::cell::RefCell;

/// What is played: who is there, and what goes wrong when. All times are milliseconds.
#[derive(Clone, Debug, PartialEq)]
pub struct Schedule {
    pub seed: u64,
    /// Controllers with a disk at the first start.
    pub controllers: usize,
    /// So many of them may be lost at once.
    pub tolerated: usize,
    pub operators: usize,
    pub length_ms: u64,
    pub faults: Vec<Fault>,
}

#[derive(Clone, Debug, PartialEq)]
pub struct Fault {
    pub at: u64,
    pub lasts_ms: u64,
    pub kind: FaultKind,
}

/// Whom a fault strikes: the controller that leads, or one by number.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum FaultTarget {
    Leader,
    Number(u8),
}

/// Which messages a cut stops, seen from those that are cut off.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum CutDirection {
    Both,
    Outbound,
    Inbound,
}

#[derive(Clone, Debug, PartialEq)]
pub enum FaultKind {
    /// Cut off from the other controllers; each caller and node is on one of the two sides.
    Partition(FaultTarget, CutDirection),
    /// Stands still, perhaps between a decision and the bytes that tell of it.
    Freeze(FaultTarget),
    /// Frozen, cut off, and its steady clock stands still with it, as a suspended virtual machine's may.
    /// The pages promise that clocks run on: nothing is promised of leases in such a schedule, but no
    /// answer about what is current may rest on a clock.
    Suspend(FaultTarget),
    Kill(FaultTarget),
    PowerLoss(FaultTarget),
    /// Loses power and comes back with an empty disk.
    DiskLoss(FaultTarget),
    /// Gone for good; an empty machine comes at another address.
    Replace(FaultTarget),
    /// All controllers at once; so many of them, of those that may still be lost, with their disks.
    AllMachines {
        power: bool,
        wiped: u8,
    },
    DiskFull(FaultTarget),
    DiskStall(FaultTarget),
    /// All connections end.
    ConnectionReset,
    /// So many messages in a hundred are lost.
    PacketLoss(u8),
    /// A service's primary, or a replica by number, is down.
    DatabaseCrash {
        primary: bool,
        number: u8,
    },
    /// A replica receives nothing.
    ReplicationStall(u8),
    /// A replica, or the primary, drains and leaves; a new one comes.
    DatabaseLeave {
        primary: bool,
        number: u8,
    },
    /// An order of the operators is as large as this many hundred routes, from here on.
    LargeConfigurations(u8),
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
                9 => FaultKind::AllMachines { power: chance(50), wiped: draw_below(3) as u8 },
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
pub(super) fn seed_draws(seed: u64) {
    DRAWS.with_borrow_mut(|rng| *rng = SmallRng::seed_from_u64(seed));
}

pub(super) fn draw() -> u64 {
    DRAWS.with_borrow_mut(|rng| rng.next_u64())
}

pub(super) fn draw_below(n: u64) -> u64 {
    draw() % n.max(1)
}

pub(super) fn chance(percent: u64) -> bool {
    draw_below(100) < percent
}
