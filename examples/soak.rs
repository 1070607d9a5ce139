//! Plays soaks by hand: series of restarts, signals and changes that overlap, on real processes.
//!
//! Prints a line for each seed. If a guarantee was broken, it prints the history of the request and
//! where the logs of the processes are; the same seed plays the same events again. It is an example
//! and no command of the program, because it needs the stand-in databases of the tests.
//!
//! Run one at a time: a second one may take the port of a process that is down for a moment.
#[path = "../tests/support/departures.rs"]
mod departures;
#[path = "../tests/support/soak/mod.rs"]
mod soak;
#[path = "../tests/support/gateway.rs"]
mod stand_in_endpoints;
#[path = "../tests/support/mod.rs"]
mod support;

use clap::Parser;
use soak::SoakOptions;
use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

/// Plays soaks, one seed after the other.
#[derive(Parser)]
struct Args {
    /// The first seed. Even seeds play poolers, odd ones gateways; seeds 0 and 1 of each four have
    /// planned work only; in seeds 4 to 7 of each eight the controllers rest; each tenth has many
    /// processes.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// The number of seeds.
    #[arg(long, default_value_t = 1)]
    seeds: u64,
    /// The number of rounds of a seed. Growth is looked for from three rounds on.
    #[arg(long, default_value_t = 3)]
    rounds: usize,
    /// How long the events of a round last, in seconds.
    #[arg(long = "for", default_value_t = 10)]
    round_s: u64,
    /// The number of poolers or gateways of each tenth seed.
    #[arg(long, default_value_t = 60)]
    many_nodes: usize,
    /// The path of the program.
    #[arg(long, default_value = "target/release/silvertack")]
    program: PathBuf,
}

fn main() -> ExitCode {
    let args = Args::parse();
    let mut broken = 0;
    for seed in args.seed..args.seed + args.seeds {
        let report = soak::play(&SoakOptions {
            seed,
            rounds: args.rounds,
            round_time: Duration::from_secs(args.round_s),
            many_nodes: args.many_nodes,
            program: args.program.clone(),
        });
        println!(
            "seed {seed}: {} requests, {} departures, {} events, {} configurations, {} releases \
             checked, {} broken",
            report.requests,
            report.departures,
            report.events,
            report.configurations,
            report.checked_releases,
            report.violations.len()
        );
        for violation in &report.violations {
            println!("  {violation}");
        }
        if let Some(logs) = &report.logs {
            println!("  logs: {}", logs.display());
            broken += 1;
        }
    }
    println!("{broken} of {} seeds broke a guarantee", args.seeds);
    if broken == 0 { ExitCode::SUCCESS } else { ExitCode::FAILURE }
}
