//! Which replica takes over for a lost primary, and when enough is known to choose it without losing
//! a commit.

use super::actions::FailoverAction;
use super::fencing::Fencing;
use super::timing::REPLICA_RESPONSE_WAIT_MS;
use super::{Failover, FailoverState, ServiceSnapshot};
use crate::base::ids::{DbTerm, InstanceId, Position};
use crate::base::time::Tick;
use crate::config::directory::Lifecycle;
use crate::state_machine::Command;

/// A replica that can take over for a lost primary.
struct Successor {
    id: InstanceId,
    /// Every acknowledged commit lies at or before this position.
    sealed: Option<Position>,
}

/// The replica that takes over for a lost primary. None before every lease has ended: until then a
/// pooler could still pass on a commit that no choice had regard to.
fn successor_of_lost_primary(
    fencing: &Fencing,
    snapshot: &ServiceSnapshot,
    now: Tick,
) -> Option<Successor> {
    if !snapshot.leases_expired {
        return None;
    }
    let furthest = fencing.furthest();
    let prefer_replicas = now.since(fencing.since) < REPLICA_RESPONSE_WAIT_MS;
    // What the poolers said is enough; but with all answers the furthest replica is found.
    let waited = !prefer_replicas
        || fencing.all_living_answered(snapshot)
        || answers_cover_commits(fencing.answers(snapshot), snapshot);
    let covered_by_answers =
        answers_cover_commits(fencing.answers_after_leases(snapshot), snapshot);
    // A replica that is behind what was passed on would lose those commits.
    let has_all = |received: Position| {
        let by_poolers = waited && snapshot.passed_on.is_covered_by(received);
        let by_replicas = covered_by_answers
            && Some(received) == furthest
            && !snapshot.passed_on.exceeds(received);
        by_poolers || by_replicas
    };
    let (id, instance, _) = snapshot
        .replicas()
        .filter_map(|(id, i)| Some((id, i, fencing.position_of(id)?)))
        .filter(|(_, _, received)| has_all(*received))
        .max_by_key(|(_, i, received)| {
            let available = i.lifecycle_state == Lifecycle::Available;
            (available, *received, i.revision.len(), i.revision.clone())
        })?;
    // One that is about to end is taken only if no other answers in time.
    if prefer_replicas && instance.lifecycle_state == Lifecycle::Draining {
        return None;
    }
    Some(Successor { id: id.clone(), sealed: furthest })
}

/// Whether so many replicas that answered cover every commit that was acknowledged before.
///
/// A commit is acknowledged once `sync_replicas` of the possible holders have received it. If all
/// but `sync_replicas - 1` of them have described themselves since, each acknowledged commit is on
/// one of those. With one answer fewer, a commit might be only on replicas that didn't answer, and
/// would be lost.
pub(super) fn answers_cover_commits(answered: usize, snapshot: &ServiceSnapshot) -> bool {
    let possible = snapshot.possible_commit_holders().count();
    let needed = (possible + 1).saturating_sub(snapshot.sync_replicas as usize).max(1);
    snapshot.sync_replicas > 0 && answered >= needed
}

impl Failover {
    /// Chooses the replica that takes over for a lost primary, if enough is known.
    pub(super) fn choose_successor(
        &mut self,
        snapshot: &ServiceSnapshot,
        now: Tick,
    ) -> Vec<FailoverAction> {
        let (FailoverState::Fencing(fencing), Some(record)) =
            (&self.state, &snapshot.primary_record)
        else {
            return Vec::new();
        };
        let Some(successor) = successor_of_lost_primary(fencing, snapshot, now) else {
            return Vec::new();
        };
        self.sealed = successor.sealed;
        self.propose_intent(snapshot, record.term, successor.id, now)
    }

    /// Proposes the intent to promote `target`. Without a committed intent nothing is promoted: a
    /// later leader must go on with the same target.
    pub(super) fn propose_intent(
        &mut self,
        snapshot: &ServiceSnapshot,
        term: DbTerm,
        target: InstanceId,
        now: Tick,
    ) -> Vec<FailoverAction> {
        self.state = FailoverState::RecordingIntent { target: target.clone(), since: now };
        let service = snapshot.service.clone();
        vec![FailoverAction::Propose(Command::BeginFailover { service, term, target })]
    }
}
