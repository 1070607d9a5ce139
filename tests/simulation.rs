//! The control plane in virtual time: schedules that once broke a promise, and drawn ones that are shrunk.
//!
//! More of them, with other luck: `PROPTEST_CASES=5000 PROPTEST_RNG_SEED=7 cargo test --release --test simulation`.
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed, TestRunner};
use silvertack::simulation::change_faults::ChangeFault;
use silvertack::simulation::runner::run_schedule;
use silvertack::simulation::schedule::{
    Fault, FaultKind, FaultTarget, PartitionDirection, Schedule,
};

/// Threads that draw and play, each with its own luck.
const RUNNERS: u64 = 8;

fn fault_target() -> impl Strategy<Value = FaultTarget> {
    prop_oneof![Just(FaultTarget::Leader), (0..8u8).prop_map(FaultTarget::Number)]
}
fn change_fault() -> impl Strategy<Value = ChangeFault> {
    prop_oneof![
        Just(ChangeFault::TargetReplicationStall),
        Just(ChangeFault::PausedReplicaRestart),
        Just(ChangeFault::UnregisteredReplica),
        Just(ChangeFault::LeaderThaw)
    ]
}
fn kind() -> impl Strategy<Value = FaultKind> {
    let way = prop_oneof![
        Just(PartitionDirection::Both),
        Just(PartitionDirection::Outbound),
        Just(PartitionDirection::Inbound)
    ];
    prop_oneof![
        3 => (fault_target(), way).prop_map(|(target, way)| FaultKind::Partition(target, way)),
        2 => fault_target().prop_map(FaultKind::Freeze),
        1 => fault_target().prop_map(FaultKind::Kill),
        1 => fault_target().prop_map(FaultKind::PowerLoss),
        1 => fault_target().prop_map(FaultKind::DiskLoss),
        1 => fault_target().prop_map(FaultKind::Replace),
        1 => (any::<bool>(), 0..3u8).prop_map(|(power_loss, disks_lost)| FaultKind::StopAllMachines { power_loss, disks_lost }),
        1 => fault_target().prop_map(FaultKind::DiskFull),
        1 => fault_target().prop_map(FaultKind::DiskStall),
        1 => Just(FaultKind::ConnectionReset),
        1 => (3..13u8).prop_map(FaultKind::PacketLoss),
        1 => (any::<bool>(), 0..3u8).prop_map(|(primary, number)| FaultKind::DatabaseCrash { primary, number }),
        1 => (0..3u8).prop_map(FaultKind::ReplicationStall),
        1 => (any::<bool>(), 0..3u8).prop_map(|(primary, number)| FaultKind::DatabaseReplacement { primary, number }),
        1 => (1..10u8).prop_map(FaultKind::LargeConfigurations),
        1 => (0..3u8).prop_map(FaultKind::NodeRestart),
        2 => (change_fault(), 0..3u8).prop_map(|(fault, number)| FaultKind::DuringPrimaryChange { fault, number }),
        1 => (0..3u8).prop_map(FaultKind::NodeShutdown),
        1 => (0..3u8).prop_map(FaultKind::EarlyDeregistration),
    ]
}
fn schedule() -> impl Strategy<Value = Schedule> {
    let duration_ms = prop::sample::select(vec![100, 500, 800, 1_500, 5_000, 12_000, 20_000]);
    let fault = (4_000..30_000u64, duration_ms, kind())
        .prop_map(|(start_ms, duration_ms, kind)| Fault { start_ms, duration_ms, kind });
    let size = prop::sample::select(vec![(3, 1), (4, 1), (5, 2), (6, 2), (7, 2)]);
    let suspends = prop::bool::weighted(0.15);
    (any::<u64>(), size, 2..9usize, prop::collection::vec(fault, 0..10), suspends).prop_map(
        |(seed, (controllers, tolerated_losses), operators, mut faults, suspends)| {
            let length_ms = 20_000;
            // Nothing is promised of leases then, so most schedules are without.
            for fault in faults.iter_mut().filter(|_| suspends) {
                if let FaultKind::Freeze(target) = fault.kind {
                    fault.kind = FaultKind::Suspend(target);
                }
            }
            Schedule { seed, controllers, tolerated_losses, operators, length_ms, faults }
        },
    )
}

#[test]
fn what_was_promised_holds_under_drawn_troubles() {
    let asked = std::env::var("PROPTEST_RNG_SEED").ok().and_then(|seed| seed.parse().ok());
    let first: u64 = asked.unwrap_or(1_202);
    let cases = Config::default().cases / RUNNERS as u32;
    let run = |number: u64| {
        let rng_seed = RngSeed::Fixed(first.wrapping_mul(RUNNERS).wrapping_add(number));
        let cases = if asked.is_none() { cases.min(12) } else { cases };
        let config = Config { failure_persistence: None, rng_seed, cases, ..Config::default() };
        let held = |schedule| {
            let run = run_schedule(&schedule).map(drop);
            run.map_err(|violation| TestCaseError::fail(violation.to_string()))
        };
        TestRunner::new(config).run(&schedule(), held).map_err(|why| why.to_string())
    };
    let played: Vec<Result<(), String>> = std::thread::scope(|threads| {
        let runners: Vec<_> = (0..RUNNERS).map(|n| threads.spawn(move || run(n))).collect();
        runners.into_iter().map(|r| r.join().expect("played")).collect()
    });
    assert_eq!(played, vec![Ok(()); RUNNERS as usize]);
}

#[test]
fn what_planted_faults_break_holds() {
    // (a schedule by its seed, what it found when it was planted: docs/control.md, "The simulation")
    let cases = [
        (1, "an order was judged by its number alone; by its place alone; answered with another's"),
        (13, "a snapshot's state was not taken"),
        (63, "leases counted as gone at once"),
        (146, "a read was answered without a quorum asked"),
        (1121, "one replica less was enough to choose by"),
        // These broke with an earlier drawing, which they no longer show: lost poolers forgotten, and
        // a controller that began anew with seeds that had all been replaced.
        (4, "drawn"),
        (43, "drawn"),
        (129, "drawn"),
        (90, "drawn"),
    ];
    for (seed, what) in cases {
        if let Err(why) = run_schedule(&Schedule::from_seed_without_change_faults(seed)) {
            panic!("{what}: {why}");
        }
    }
}

#[test]
fn the_same_schedule_plays_the_same_way() {
    for seed in [2, 3] {
        for schedule in [Schedule::from_seed(seed), Schedule::from_seed_without_change_faults(seed)]
        {
            let (first, second) = (run_schedule(&schedule), run_schedule(&schedule));
            assert_eq!(first, second);
            let report = first.expect("nothing breaks");
            assert!(
                report.acknowledged > 5 && report.reads > 5 && report.acknowledged_commits > 50,
                "{report:?}"
            );
        }
    }
}

/// Guards against a promotion that lacks commits which only a replica unknown to the controllers has.
#[test]
fn a_replica_that_counts_before_the_controllers_know_it_keeps_its_commits() {
    // Schedules in which a new replica is the only one that has a commit before its first heartbeat is
    // taken, while a planned change is under way.
    let played = [10_588, 10_856, 11_529]
        .map(|seed| run_schedule(&Schedule::from_seed_without_change_faults(seed)).map(drop));
    assert_eq!(played, [Ok(()), Ok(()), Ok(())]);
}
