//! Releases: databases that leave in order, one after the other, and come back as new instances.
use super::deployment::{Deployment, call_any};
use super::{Plan, Timeline};
use rand::RngExt;
use rand::rngs::SmallRng;
use std::collections::BTreeSet;
use std::sync::Mutex;
use std::time::{Duration, Instant};

/// How long after its acknowledged goodbye a database may still receive new work, in milliseconds.
pub(crate) const DRAIN_MS: u64 = 1_000;

/// How long a database that has left stays away, in milliseconds.
const AWAY_MS: std::ops::Range<u64> = 200..1_500;

/// The databases that do not say that they are available.
#[derive(Default)]
pub(crate) struct ReleaseStates {
    draining: Mutex<BTreeSet<usize>>,
    away: Mutex<BTreeSet<usize>>,
}

impl ReleaseStates {
    /// The lifecycle state in the heartbeats of a database; `None` while it sends none.
    pub(crate) fn lifecycle_state(&self, database: usize) -> Option<&'static str> {
        if self.away.lock().expect("away").contains(&database) {
            return None;
        }
        let is_draining = self.draining.lock().expect("draining").contains(&database);
        Some(if is_draining { "draining" } else { "available" })
    }
}

/// Lets databases leave and come back until the time is over. The last one is back at the end.
pub(crate) fn play_releases(
    plan: &Plan,
    mut random: SmallRng,
    deployment: &Deployment,
    timeline: &Timeline,
    until: Instant,
) {
    while Instant::now() < until {
        std::thread::sleep(Duration::from_millis(random.random_range(200..2_000)));
        let database = random.random_range(0..deployment.databases.count());
        release(plan, &mut random, deployment, timeline, database);
    }
}

fn release(
    plan: &Plan,
    random: &mut SmallRng,
    deployment: &Deployment,
    timeline: &Timeline,
    database: usize,
) {
    let states = &deployment.release_states;
    let databases = &deployment.databases;
    let id = databases.id(database);
    states.draining.lock().expect("draining").insert(database);
    timeline.note(&format!("{id}: draining"));
    let heartbeat = databases.heartbeat(database, "draining");
    let path = format!("/instances/{id}");
    let admins = deployment.admins();
    let acknowledged =
        call_any(&admins, "PUT", &path, &[], &heartbeat).is_some_and(|r| r.status == 200);
    let acknowledged_at = Instant::now();
    // It serves on for longer than it has to.
    std::thread::sleep(Duration::from_millis(DRAIN_MS + random.random_range(0..500)));
    states.away.lock().expect("away").insert(database);
    states.draining.lock().expect("draining").remove(&database);
    call_any(&admins, "DELETE", &path, &[], "");
    timeline.note(&format!("{id}: has left"));
    std::thread::sleep(Duration::from_millis(random.random_range(AWAY_MS)));
    let now = Instant::now();
    // The rule binds the nodes only while the control plane is settled.
    let is_settled = timeline.control_was_settled(acknowledged_at, now);
    if acknowledged && plan.only_planned_work && is_settled {
        timeline.add_checked_release();
        let late_after = acknowledged_at + Duration::from_millis(DRAIN_MS);
        let late = databases.arrivals(database, late_after, now);
        if late > 0 {
            let history = timeline.history(late_after);
            timeline.violation(format!("DRAIN: {late} requests reached {id} too late{history}"));
        }
    }
    databases.begin_life(database);
    states.away.lock().expect("away").remove(&database);
    timeline.note(&format!("{}: is back", databases.id(database)));
}
