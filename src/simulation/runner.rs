//! Plays one schedule and reports what it came to.
use crate::simulation::schedule::Schedule;
use crate::simulation::world::World;

/// What a play came to.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Report {
    /// Orders that were acknowledged, refused, and sent again after they had been taken.
    pub acknowledged: u64,
    pub refused: u64,
    pub resent: u64,
    pub reads: u64,
    pub raft_terms: u64,
    pub promotions: u64,
    pub acknowledged_commits: u64,
    /// A number that any difference between two plays shows in.
    pub trace: u64,
}

/// Plays a schedule.
///
/// # Errors
/// The first thing that did not hold, with its time.
pub fn run_schedule(schedule: &Schedule) -> Result<Report, String> {
    let mut world = World::new(schedule);
    world.run();
    match world.violation {
        Some(why) => Err(why),
        None => Ok(world.report),
    }
}
