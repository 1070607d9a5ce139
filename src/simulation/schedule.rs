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
    pub length: u64,
    pub troubles: Vec<Trouble>,
}

#[derive(Clone, Debug, PartialEq)]
pub struct Trouble {
    pub at: u64,
    pub lasts: u64,
    pub kind: Kind,
}

/// Whom a trouble strikes: the controller that leads, or one by number.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Whom {
    Leader,
    Number(u8),
}

/// Which messages a cut stops, seen from those that are cut off.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Way {
    Both,
    Out,
    In,
}

#[derive(Clone, Debug, PartialEq)]
pub enum Kind {
    /// Cut off from the other controllers; each caller and node is on one of the two sides.
    Cut(Whom, Way),
    /// Stands still, perhaps between a decision and the bytes that tell of it.
    Freeze(Whom),
    /// Frozen, cut off, and its steady clock stands still with it, as a suspended virtual machine's may.
    /// The pages promise that clocks run on: nothing is promised of leases in such a schedule, but no
    /// answer about what is current may rest on a clock.
    Suspend(Whom),
    Kill(Whom),
    Power(Whom),
    /// Loses power and comes back with an empty disk.
    Wipe(Whom),
    /// Gone for good; an empty machine comes at another address.
    Replace(Whom),
    /// All controllers at once; so many of them, of those that may still be lost, with their disks.
    All {
        power: bool,
        wiped: u8,
    },
    DiskFull(Whom),
    DiskStall(Whom),
    /// All connections end.
    Reset,
    /// So many messages in a hundred are lost.
    Lossy(u8),
    /// A service's primary, or a replica by number, is down.
    Crash {
        primary: bool,
        number: u8,
    },
    /// A replica receives nothing.
    Deaf(u8),
    /// A replica, or the primary, drains and leaves; a new one comes.
    Leave {
        primary: bool,
        number: u8,
    },
    /// An order of the operators is as large as this many hundred routes, from here on.
    Large(u8),
    NodeKill(u8),
}

impl Schedule {
    /// A schedule drawn from a seed, for the command line; the tests draw theirs with a library that can
    /// shrink them.
    pub fn drawn(seed: u64) -> Self {
        seed_draws(seed);
        let (controllers, tolerated) = [(3, 1), (4, 1), (5, 2), (6, 2), (7, 2)][upto(5) as usize];
        let length = 20_000 + upto(20_000);
        let whom = || if chance(50) { Whom::Leader } else { Whom::Number(upto(8) as u8) };
        // Most schedules know few kinds of trouble, and some of these strike close together: what is
        // rare among all of them is common there (swarm testing).
        let few = [upto(20), upto(20), upto(20)];
        let swarm = chance(70);
        let mut before = 4_000;
        let trouble = |_| {
            let at = if chance(50) { before + upto(3_000) } else { 4_000 + upto(length - 4_000) };
            before = at;
            let lasts = [100, 500, 800, 1_500, 5_000, 12_000, 20_000][upto(7) as usize];
            let number = upto(3) as u8;
            let kind = match if swarm { few[upto(3) as usize] } else { upto(19) } {
                0..=2 => Kind::Cut(whom(), [Way::Both, Way::Out, Way::In][upto(3) as usize]),
                3 | 4 => Kind::Freeze(whom()),
                5 => Kind::Kill(whom()),
                6 => Kind::Power(whom()),
                7 => Kind::Wipe(whom()),
                8 => Kind::Replace(whom()),
                9 => Kind::All { power: chance(50), wiped: upto(3) as u8 },
                10 => Kind::DiskFull(whom()),
                11 => Kind::DiskStall(whom()),
                12 => Kind::Reset,
                13 => Kind::Lossy(3 + upto(10) as u8),
                14 => Kind::Crash { primary: chance(60), number },
                15 => Kind::Deaf(number),
                16 => Kind::Leave { primary: chance(40), number },
                17 => Kind::Large(1 + upto(10) as u8),
                18 => Kind::NodeKill(number),
                _ => Kind::Suspend(whom()),
            };
            Trouble { at, lasts, kind }
        };
        let troubles = (0..2 + upto(8)).map(trouble).collect();
        Self { seed, controllers, tolerated, operators: 2 + upto(7) as usize, length, troubles }
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

pub(super) fn upto(n: u64) -> u64 {
    draw() % n.max(1)
}

pub(super) fn chance(percent: u64) -> bool {
    upto(100) < percent
}
