//! Which replica takes over, and when enough is known to choose it without losing a commit.

use super::actions::FailoverAction;
use super::fencing::Fencing;
use super::timing::PREFER_REPLICAS_MS;
use super::{Failover, FailoverState, ServiceSnapshot};
use crate::base::ids::{InstanceId, Position};
use crate::base::time::Tick;
use crate::config::directory::{Instance, Lifecycle};
use crate::state_machine::Command;
use std::cmp::Reverse;

/// A replica that can take over for a lost primary.
struct Successor {
    id: InstanceId,
    /// Every acknowledged commit lies at or before this position.
    sealed: Option<Position>,
}

/// The replica that a planned change goes to. It has the newest revision, so that the next
/// replacement of old databases needn't move the primary again.
pub(super) fn planned_target(snapshot: &ServiceSnapshot) -> Option<InstanceId> {
    let usable = |(id, instance): &&(InstanceId, Instance)| {
        instance.lifecycle_state == Lifecycle::Available && snapshot.alive.contains(id)
    };
    snapshot
        .replicas()
        .filter(usable)
        .max_by_key(|(id, i)| (i.revision.len(), i.revision.clone(), Reverse(id.clone())))
        .map(|(id, _)| id.clone())
}

/// Whether the target of a planned change has every commit that was acknowledged.
fn target_has_all(fencing: &Fencing, target: &InstanceId, snapshot: &ServiceSnapshot) -> bool {
    let Some(description) = fencing.descriptions.get(target) else { return false };
    // With all others paused, the primary can acknowledge only what the target has received. One
    // that doesn't answer might still receive commits that the target lacks, and they would be
    // acknowledged and lost.
    let others_paused =
        snapshot.possible_holders().all(|id| id == target || fencing.descriptions.contains_key(id));
    let fenced = others_paused && snapshot.sync_replicas > 0;
    // Otherwise the poolers must have stopped using the primary, and the target must have all
    // that they passed on to clients.
    let released = snapshot
        .released_up_to
        .is_some_and(|highest| highest.is_none_or(|h| description.received >= h));
    // A commit from before the pause may have been acknowledged because of another replica, so
    // the target must be as far as the furthest.
    let furthest = Some(description.received) >= fencing.furthest();
    (fenced || released) && furthest
}

/// The replica that takes over for a lost primary, once enough replicas are paused.
fn successor_of_lost_primary(
    fencing: &Fencing,
    snapshot: &ServiceSnapshot,
    now: Tick,
) -> Option<Successor> {
    let furthest = fencing.furthest();
    // One that described itself and left since is counted: what it had is known.
    let answered =
        snapshot.possible_holders().filter(|id| fencing.descriptions.contains_key(*id)).count();
    let fenced = answers_cover_commits(answered, snapshot);
    let prefer_replicas = now.since(fencing.since) < PREFER_REPLICAS_MS;
    // The poolers have stopped using the primary, and a paused replica has all that they passed
    // on to clients: nobody has seen more, also if too few replicas answer.
    let released = !prefer_replicas
        && answered > 0
        && snapshot.released_up_to.is_some_and(|highest| highest <= furthest);
    // A replica that is behind what was acknowledged would lose those commits.
    let has_all = |received: Position| {
        Some(received) == furthest
            || snapshot.released_up_to.is_some_and(|highest| highest <= Some(received))
    };
    let (id, instance, _) = snapshot
        .replicas()
        .filter_map(|(id, i)| Some((id, i, fencing.descriptions.get(id)?.received)))
        .filter(|(_, _, received)| has_all(*received))
        .max_by_key(|(_, i, received)| {
            let available = i.lifecycle_state == Lifecycle::Available;
            (available, *received, i.revision.len(), i.revision.clone())
        })?;
    // One that is about to end is taken only if no other answers in time.
    if prefer_replicas && instance.lifecycle_state == Lifecycle::Draining {
        return None;
    }
    (fenced || released).then(|| Successor { id: id.clone(), sealed: furthest })
}

/// Whether so many replicas that answered their pause cover every acknowledged commit.
///
/// A commit is acknowledged once `sync_replicas` of the possible holders have received it. If all
/// but `sync_replicas - 1` of them are paused and have described themselves, each acknowledged
/// commit is on one of those, and the old primary can't find enough unpaused replicas for another.
/// With one answer fewer, a commit might be only on replicas that didn't answer, and would be lost.
fn answers_cover_commits(answered: usize, snapshot: &ServiceSnapshot) -> bool {
    let possible = snapshot.possible_holders().count();
    let needed = (possible + 1).saturating_sub(snapshot.sync_replicas as usize).max(1);
    snapshot.sync_replicas > 0 && answered >= needed
}

impl Failover {
    /// Chooses the replica that takes over, if enough is known, and proposes the intent. Without a
    /// committed intent nothing is promoted: a later leader must go on with the same target.
    pub(super) fn choose_successor(
        &mut self,
        snapshot: &ServiceSnapshot,
        now: Tick,
    ) -> Vec<FailoverAction> {
        let FailoverState::Fencing(fencing) = &self.state else {
            return Vec::new();
        };
        let Some(record) = &snapshot.primary_record else {
            return Vec::new();
        };
        let target = match &fencing.planned {
            Some(change) if target_has_all(fencing, &change.target, snapshot) => {
                change.target.clone()
            }
            Some(_) => return Vec::new(),
            None => match successor_of_lost_primary(fencing, snapshot, now) {
                Some(successor) => {
                    self.sealed = successor.sealed;
                    successor.id
                }
                None => return Vec::new(),
            },
        };
        self.state = FailoverState::RecordingIntent { target: target.clone(), since: now };
        let (service, term) = (snapshot.service.clone(), record.term);
        vec![FailoverAction::Propose(Command::BeginFailover { service, term, target })]
    }
}
