//! Runs one schedule of faults and reports the outcome.
use crate::simulation::schedule::Schedule;
use crate::simulation::world::World;

/// Statistics of a run in which every guarantee held.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Report {
    /// Configuration changes that were acknowledged, without repeated requests.
    pub acknowledged: u64,
    /// Configuration changes that were rejected with status 412.
    pub refused: u64,
    /// Configuration changes that were sent again after they had been acknowledged.
    pub resent: u64,
    /// Configurations that operators read.
    pub reads: u64,
    /// Raft terms in which a controller was leader.
    pub raft_terms: u64,
    /// Databases that the platform promoted.
    pub promotions: u64,
    /// Commits that nodes forwarded to their clients.
    pub acknowledged_commits: u64,
    /// A hash of the times and the order of all events: it differs if two runs of a schedule
    /// differ.
    pub trace: u64,
}

/// The first guarantee that was violated in a run.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("at {at_ms} ms: {description}")]
pub struct Violation {
    /// When the violation was detected, in milliseconds since the start.
    pub at_ms: u64,
    /// The guarantee that was violated, with the values at hand.
    pub description: String,
}

/// Runs a schedule to its end, or to the first violation.
///
/// # Errors
/// Returns the first guarantee that was violated.
pub fn run_schedule(schedule: &Schedule) -> Result<Report, Violation> {
    let mut world = World::new(schedule);
    world.run();
    match world.violation {
        Some(violation) => Err(violation),
        None => Ok(world.report),
    }
}
