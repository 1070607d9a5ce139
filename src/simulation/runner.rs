//! Plays one schedule and reports what it came to.
use crate::simulation::schedule::Schedule;
use crate::simulation::world::World;

/// What a run came to.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Report {
    /// Configuration changes that were acknowledged for the first time.
    pub acknowledged: u64,
    /// Configuration changes that were refused with 412.
    pub refused: u64,
    /// Changes that were sent again after they had been acknowledged.
    pub resent: u64,
    /// Configurations that operators read.
    pub reads: u64,
    /// Terms in which a controller led.
    pub raft_terms: u64,
    /// Databases that the platform promoted.
    pub promotions: u64,
    /// Commits that nodes acknowledged to their clients.
    pub acknowledged_commits: u64,
    /// A number that any difference between two runs of a schedule shows in.
    pub trace: u64,
}

/// The first promise that did not hold in a run.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("at {at_ms} ms: {what}")]
pub struct Violation {
    /// When it showed, in milliseconds since the start.
    pub at_ms: u64,
    /// What did not hold.
    pub what: String,
}

/// Runs a schedule to its end, or to the first violation.
///
/// # Errors
/// The first promise that did not hold.
pub fn run_schedule(schedule: &Schedule) -> Result<Report, Violation> {
    let mut world = World::new(schedule);
    world.run();
    match world.violation {
        Some(violation) => Err(violation),
        None => Ok(world.report),
    }
}
