//! Short soaks of each kind of deployment; `examples/soak.rs` plays longer ones by hand.
#[path = "support/departures.rs"]
mod departures;
#[path = "support/soak/mod.rs"]
mod soak;
#[path = "support/gateway.rs"]
mod stand_in_endpoints;
mod support;

use soak::{SoakOptions, SoakReport};
use std::path::PathBuf;
use std::time::Duration;

/// Plays a seed for one round.
fn play(seed: u64) -> SoakReport {
    let options = SoakOptions {
        seed,
        rounds: 1,
        round_time: Duration::from_secs(20),
        many_nodes: 12,
        program: PathBuf::from(env!("CARGO_BIN_EXE_silvertack")),
    };
    let report = soak::play(&options);
    println!("seed {seed}: {report:?}");
    let violations = report.violations.join("\n");
    assert!(violations.is_empty(), "seed {seed}, logs in {:?}:\n{violations}", report.logs);
    assert!(report.requests > 100, "clients have sent requests");
    report
}

#[test]
fn poolers_keep_their_guarantees_through_planned_work() {
    play(8);
}

#[test]
fn poolers_keep_their_guarantees_while_databases_are_released() {
    let report = play(4);
    assert!(report.checked_releases > 0, "{report:?}");
}

#[test]
fn poolers_keep_their_guarantees_through_failures() {
    play(2);
}

#[test]
fn gateways_keep_their_guarantees_through_planned_work() {
    play(1);
}

#[test]
fn gateways_keep_their_guarantees_while_databases_are_released() {
    let report = play(5);
    assert!(report.checked_releases > 0, "{report:?}");
}

#[test]
fn gateways_keep_their_guarantees_through_failures() {
    play(3);
}
