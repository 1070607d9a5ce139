//! The control plane in virtual time: schedules that violated a guarantee once, and random ones,
//! which are shrunk if they fail.
//!
//! More schedules, from another seed:
//! `PROPTEST_CASES=5000 PROPTEST_RNG_SEED=7 cargo test --release --test simulation`.
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed, TestRunner};
use silvertack::simulation::change_faults::ChangeFault;
use silvertack::simulation::runner::run_schedule;
use silvertack::simulation::schedule::{
    Fault, FaultKind, FaultTarget, PartitionDirection, Schedule,
};

/// Threads that generate and run schedules, each from its own seed.
const RUNNERS: u64 = 8;

fn fault_target() -> impl Strategy<Value = FaultTarget> {
    prop_oneof![Just(FaultTarget::Leader), (0..8u8).prop_map(FaultTarget::Number)]
}
fn change_fault() -> impl Strategy<Value = ChangeFault> {
    prop_oneof![
        Just(ChangeFault::TargetReplicationStall),
        Just(ChangeFault::PausedReplicaRestart),
        Just(ChangeFault::UnregisteredReplica),
        Just(ChangeFault::LeaderResume)
    ]
}
fn fault_kind() -> impl Strategy<Value = FaultKind> {
    let direction = prop_oneof![
        Just(PartitionDirection::Both),
        Just(PartitionDirection::Outbound),
        Just(PartitionDirection::Inbound)
    ];
    prop_oneof![
        3 => (fault_target(), direction)
            .prop_map(|(target, direction)| FaultKind::Partition(target, direction)),
        2 => fault_target().prop_map(FaultKind::Freeze),
        1 => fault_target().prop_map(FaultKind::Kill),
        1 => fault_target().prop_map(FaultKind::PowerLoss),
        1 => fault_target().prop_map(FaultKind::DiskLoss),
        1 => fault_target().prop_map(FaultKind::Replace),
        1 => (any::<bool>(), 0..3u8)
            .prop_map(|(power_loss, disks_lost)| FaultKind::StopAllMachines { power_loss, disks_lost }),
        1 => fault_target().prop_map(FaultKind::DiskFull),
        1 => fault_target().prop_map(FaultKind::DiskStall),
        1 => Just(FaultKind::ConnectionReset),
        1 => (3..13u8).prop_map(FaultKind::PacketLoss),
        1 => (any::<bool>(), 0..3u8)
            .prop_map(|(primary, number)| FaultKind::DatabaseCrash { primary, number }),
        1 => (0..3u8).prop_map(FaultKind::ReplicationStall),
        1 => (any::<bool>(), 0..3u8)
            .prop_map(|(primary, number)| FaultKind::DatabaseReplacement { primary, number }),
        1 => (1..10u8).prop_map(FaultKind::LargeConfigurations),
        1 => (0..3u8).prop_map(FaultKind::NodeRestart),
        2 => (change_fault(), 0..3u8)
            .prop_map(|(fault, number)| FaultKind::DuringPrimaryChange { fault, number }),
        1 => (0..3u8).prop_map(FaultKind::NodeShutdown),
        1 => (0..3u8).prop_map(FaultKind::EarlyDeregistration),
        1 => (0..3u8).prop_map(FaultKind::UnregisteredSoleHolder),
        1 => (0..3u8).prop_map(FaultKind::DepartedSoleHolder),
        1 => (0..3u8).prop_map(FaultKind::HolderCrashAfterShutdown),
    ]
}
fn schedule() -> impl Strategy<Value = Schedule> {
    let duration_ms = prop::sample::select(vec![100, 500, 800, 1_500, 5_000, 12_000, 20_000]);
    let fault = (4_000..30_000u64, duration_ms, fault_kind())
        .prop_map(|(start_ms, duration_ms, kind)| Fault { start_ms, duration_ms, kind });
    let size = prop::sample::select(vec![(3, 1), (4, 1), (5, 2), (6, 2), (7, 2)]);
    let suspends = prop::bool::weighted(0.15);
    (any::<u64>(), size, 2..9usize, prop::collection::vec(fault, 0..10), suspends).prop_map(
        |(seed, (controllers, tolerated_losses), operators, mut faults, suspends)| {
            let length_ms = 20_000;
            // Leases are not checked in schedules with suspensions, so most schedules have none.
            for fault in faults.iter_mut().filter(|_| suspends) {
                if let FaultKind::Freeze(target) = fault.kind {
                    fault.kind = FaultKind::Suspend(target);
                }
            }
            Schedule { seed, controllers, tolerated_losses, operators, length_ms, faults }
        },
    )
}

/// Guards against violations of a guarantee that only combinations of injected faults cause.
#[test]
fn guarantees_hold_under_random_faults() {
    let requested_seed = std::env::var("PROPTEST_RNG_SEED").ok().and_then(|seed| seed.parse().ok());
    let first_seed: u64 = requested_seed.unwrap_or(1_202);
    let cases = Config::default().cases / RUNNERS as u32;
    let run = |number: u64| {
        let rng_seed = RngSeed::Fixed(first_seed.wrapping_mul(RUNNERS).wrapping_add(number));
        let cases = if requested_seed.is_none() { cases.min(12) } else { cases };
        let config = Config { failure_persistence: None, rng_seed, cases, ..Config::default() };
        let check = |schedule| {
            let outcome = run_schedule(&schedule).map(drop);
            outcome.map_err(|violation| TestCaseError::fail(violation.to_string()))
        };
        TestRunner::new(config).run(&schedule(), check).map_err(|error| error.to_string())
    };
    let outcomes: Vec<Result<(), String>> = std::thread::scope(|threads| {
        let runners: Vec<_> = (0..RUNNERS).map(|n| threads.spawn(move || run(n))).collect();
        runners.into_iter().map(|runner| runner.join().expect("a runner panicked")).collect()
    });
    assert_eq!(outcomes, vec![Ok(()); RUNNERS as usize]);
}

/// Guards against violations of a guarantee that these schedules led to before.
#[test]
fn guarantees_hold_under_schedules_that_found_faults() {
    // The seed of a schedule, and the fault that it found when that was put into the code on
    // purpose (docs/control.md, "The simulation").
    let cases = [
        (
            1,
            "a change was matched by revision alone; by position alone; got the outcome of another",
        ),
        (13, "the state of a snapshot was not adopted"),
        (63, "leases were taken as expired at once"),
        (146, "a read was answered without asking a quorum"),
        (1121, "a primary was chosen with one replica too few"),
        // These failed with an earlier generator of schedules and no longer show the faults: lost
        // poolers were forgotten, and a controller started again with seeds that had all been
        // replaced.
        (4, "random schedule"),
        (43, "random schedule"),
        (129, "random schedule"),
        (90, "random schedule"),
    ];
    for (seed, fault) in cases {
        if let Err(violation) = run_schedule(&Schedule::from_seed_without_change_faults(seed)) {
            panic!("seed {seed} ({fault}): {violation}");
        }
    }
}

/// Guards against a run that depends on anything but its schedule, so that a failure could not be
/// repeated, and against runs in which hardly anything happens.
#[test]
fn the_same_schedule_runs_the_same_way() {
    for seed in [2, 3] {
        for schedule in [Schedule::from_seed(seed), Schedule::from_seed_without_change_faults(seed)]
        {
            let (first, second) = (run_schedule(&schedule), run_schedule(&schedule));
            assert_eq!(first, second);
            let report = first.expect("no violation");
            assert!(
                report.acknowledged > 5 && report.reads > 5 && report.acknowledged_commits > 50,
                "{report:?}"
            );
        }
    }
}

/// Guards against the promotion of a replica that lacks commits which only a replica unknown to the
/// controllers has.
#[test]
fn a_replica_that_counts_before_the_controllers_know_it_keeps_its_commits() {
    // In these schedules a new replica is the only one that has a commit before its first heartbeat
    // is accepted, during a planned change of the primary.
    let outcomes = [10_588, 10_856, 11_529]
        .map(|seed| run_schedule(&Schedule::from_seed_without_change_faults(seed)).map(drop));
    assert_eq!(outcomes, [Ok(()), Ok(()), Ok(())]);
}

/// Guards against forwarding a commit that only a replica outside the directory has: one that is not
/// registered yet (review/7), or one that left and was forgotten (review/6). The controllers can't
/// take it into account when the primary and the nodes' reports are lost.
#[test]
fn a_commit_that_only_an_unlisted_replica_received_is_not_forwarded() {
    for seed in 1..=4 {
        for kind in [FaultKind::UnregisteredSoleHolder(0), FaultKind::DepartedSoleHolder(1)] {
            let fault = Fault { start_ms: 8_000, duration_ms: 0, kind };
            let schedule = Schedule {
                seed,
                controllers: 3,
                tolerated_losses: 1,
                operators: 2,
                length_ms: 20_000,
                faults: vec![fault.clone()],
            };
            let report = run_schedule(&schedule);
            let report = report.unwrap_or_else(|v| panic!("seed {seed}, {:?}: {v}", fault.kind));
            assert!(report.acknowledged_commits > 50, "{report:?}");
            // A departed replica that still runs may hold up the failover until the primary is back.
            let promotes = matches!(fault.kind, FaultKind::UnregisteredSoleHolder(_));
            assert!(!promotes || report.promotions > 0, "{report:?}");
        }
    }
}

/// Guards against a promotion that misses a commit which only a node that has shut down reported
/// (review/3): the databases that have it are down.
#[test]
fn what_a_node_reports_before_it_shuts_down_outlasts_it() {
    for seed in 1..=8 {
        let kind = FaultKind::HolderCrashAfterShutdown(seed as u8 % 3);
        let schedule = Schedule {
            seed,
            controllers: 3,
            tolerated_losses: 1,
            operators: 2,
            length_ms: 25_000,
            faults: vec![Fault { start_ms: 8_000, duration_ms: 0, kind }],
        };
        let report = run_schedule(&schedule).unwrap_or_else(|v| panic!("seed {seed}: {v}"));
        assert!(report.acknowledged_commits > 50, "{report:?}");
    }
}

/// Guards against messages of one connection that overtake each other in the model, with which each
/// of these drawn schedules broke a guarantee.
#[test]
fn guarantees_hold_under_drawn_schedules_that_broke_them() {
    let seeds = [103_664, 104_203, 104_668, 104_832, 105_700, 106_103, 107_404];
    let broken: Vec<String> = seeds
        .iter()
        .filter_map(|seed| Some((seed, run_schedule(&Schedule::from_seed(*seed)).err()?)))
        .map(|(seed, violation)| format!("seed {seed}: {violation}"))
        .collect();
    assert!(broken.is_empty(), "{}", broken.join("\n"));
}
