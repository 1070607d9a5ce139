//! A soak: controllers, poolers or gateways as processes on the loopback address, with stand-in
//! databases and clients in this process, under series of restarts and changes that overlap.
//!
//! A seed draws the deployment, the clients and all events, so that a break can be played again.
//! The databases run in this process, because what they saw is the record that clients' replies are
//! checked against.
#![allow(dead_code, reason = "the test and the example use a part of it each")]
mod clients;
mod deployment;
mod events;
mod gateway_clients;
mod operator;
mod pooler_clients;
mod releases;
mod resources;
mod timeline;

use deployment::Deployment;
use events::play_events;
use operator::Operator;
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use resources::ResourceHistory;
use std::path::PathBuf;
use std::time::{Duration, Instant};
pub(crate) use timeline::Timeline;

/// How long the last configuration may take until it is in force everywhere.
const CONFIG_APPLY_TIME: Duration = Duration::from_secs(3);

/// How long the processes have to be ready again after the last event.
const RECOVERY_TIME: Duration = Duration::from_secs(15);

/// What a soak plays.
#[derive(Clone, Debug)]
pub(crate) struct SoakOptions {
    pub(crate) seed: u64,
    /// Each round has events for `round_time` and ends with checks while nothing happens.
    pub(crate) rounds: usize,
    pub(crate) round_time: Duration,
    /// The number of poolers or gateways of every tenth seed, which has many processes.
    pub(crate) many_nodes: usize,
    /// The path of the program.
    pub(crate) program: PathBuf,
}

/// What carries the clients.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Role {
    Pooler,
    Gateway,
}

/// What a seed draws.
#[derive(Clone, Debug)]
pub(crate) struct Plan {
    pub(crate) seed: u64,
    pub(crate) role: Role,
    /// Whether all events are planned work: SIGTERM, SIGHUP, restarts and configurations.
    pub(crate) only_planned_work: bool,
    /// Whether nothing happens to the controllers.
    pub(crate) controllers_rest: bool,
    pub(crate) nodes: usize,
    pub(crate) clients: usize,
}

impl Plan {
    fn draw(options: &SoakOptions) -> Self {
        let seed = options.seed;
        let mut random = SmallRng::seed_from_u64(seed);
        let is_large = seed.is_multiple_of(10);
        let nodes = if is_large { options.many_nodes } else { random.random_range(2..=5) };
        Self {
            seed,
            role: if seed.is_multiple_of(2) { Role::Pooler } else { Role::Gateway },
            only_planned_work: seed % 4 < 2,
            controllers_rest: seed % 8 > 3,
            nodes,
            clients: if is_large { 2 * nodes } else { random.random_range(8..=24) },
        }
    }
}

/// What a soak found.
#[derive(Debug, Default)]
pub(crate) struct SoakReport {
    pub(crate) requests: usize,
    pub(crate) departures: usize,
    pub(crate) events: usize,
    pub(crate) configurations: usize,
    /// Releases of a database of which it was checked what reached it too late.
    pub(crate) checked_releases: usize,
    /// Broken guarantees, each with the history around it.
    pub(crate) violations: Vec<String>,
    /// Where the logs of the processes are if a guarantee was broken.
    pub(crate) logs: Option<PathBuf>,
}

/// Plays one seed.
pub(crate) fn play(options: &SoakOptions) -> SoakReport {
    let plan = Plan::draw(options);
    let timeline = Timeline::start();
    let deployment = Deployment::start(&plan, &options.program, &timeline);
    let operator = Operator::new(&deployment, &timeline);
    let clients = clients::start(&plan, &deployment, &timeline, &operator);
    let mut report = SoakReport::default();
    let mut resources = ResourceHistory::default();
    for round in 0..options.rounds {
        let round_seed = plan.seed * 1_000 + round as u64;
        let until = Instant::now() + options.round_time;
        play_events(&plan, round_seed, &deployment, &operator, &timeline, until);
        report.violations.extend(check_calm(&deployment, &operator));
        resources.record(&deployment);
        timeline.note(&format!("round {round} has ended"));
    }
    let observed = clients.stop();
    report.violations.extend(resources.violations());
    report.violations.extend(operator.violations());
    report.violations.extend(timeline.violations());
    report.violations.extend(observed.violations(&plan, &timeline));
    report.requests = observed.requests();
    report.departures = observed.departures();
    report.events = timeline.len();
    report.configurations = operator.acknowledged();
    report.checked_releases = timeline.checked_releases();
    if !report.violations.is_empty() {
        report.logs = Some(deployment.keep_logs(&timeline));
    }
    report
}

/// Checks, while nothing happens, that all processes are ready and that a configuration which is
/// acknowledged now is in force everywhere in time.
fn check_calm(deployment: &Deployment, operator: &Operator<'_>) -> Vec<String> {
    let mut violations = Vec::new();
    let not_ready = deployment.await_ready(RECOVERY_TIME);
    if !not_ready.is_empty() {
        violations.push(format!("not ready {RECOVERY_TIME:?} after the last event: {not_ready:?}"));
    }
    let Some(revision) = operator.change_until_acknowledged(RECOVERY_TIME) else {
        violations.push("no configuration was acknowledged in calm".to_owned());
        return violations;
    };
    let behind = deployment.await_revision(revision, CONFIG_APPLY_TIME);
    if !behind.is_empty() {
        violations.push(format!(
            "configuration {revision} is not in force {CONFIG_APPLY_TIME:?} after its \
             acknowledgement at {behind:?}"
        ));
    }
    violations
}
