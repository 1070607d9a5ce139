//! Selection of the replica that is promoted after the primary was lost. None is selected before it
//! is known to have every acknowledged commit.

use super::actions::FailoverAction;
use super::fencing::Fencing;
use super::timing::REPLICA_RESPONSE_WAIT_MS;
use super::{Failover, FailoverState, ServiceSnapshot};
use crate::base::ids::{DbTerm, InstanceId, Position};
use crate::base::time::Tick;
use crate::config::directory::Lifecycle;
use crate::state_machine::Command;

/// The replica that is promoted in place of a lost primary.
struct SelectedTarget {
    id: InstanceId,
    /// The position at or before which every acknowledged commit lies.
    sealed: Option<Position>,
}

/// Selects the replica that is promoted in place of a lost primary, if enough is known. Never
/// selects one before every lease has expired: until then a pooler could still forward a commit
/// that the selection does not take into account.
fn select_target(
    fencing: &Fencing,
    snapshot: &ServiceSnapshot,
    now: Tick,
) -> Option<SelectedTarget> {
    if !snapshot.leases_expired {
        return None;
    }
    let highest_position = fencing.highest_position();
    let waiting_for_replicas = now.since(fencing.since) < REPLICA_RESPONSE_WAIT_MS;
    // The poolers' reports are sufficient. But once all replicas have responded, the one with the
    // highest position can be chosen.
    let may_rely_on_poolers = !waiting_for_replicas
        || fencing.all_live_replicas_responded(snapshot)
        || responses_cover_commits(fencing.response_count(snapshot), snapshot);
    let responses_are_sufficient =
        responses_cover_commits(fencing.response_count_after_lease_expiry(snapshot), snapshot);
    // With a replica that is behind the forwarded commits, some of them would be lost.
    let has_all_commits = |received: Position| {
        let known_by_poolers =
            may_rely_on_poolers && snapshot.acknowledged_commits.is_covered_by(received);
        let known_by_replicas = responses_are_sufficient
            && Some(received) == highest_position
            && !snapshot.acknowledged_commits.exceeds(received);
        known_by_poolers || known_by_replicas
    };
    let (id, instance, _) = snapshot
        .replicas()
        .filter_map(|(id, instance)| Some((id, instance, fencing.position_of(id)?)))
        .filter(|(_, _, received)| has_all_commits(*received))
        .max_by_key(|(_, instance, received)| {
            let available = instance.lifecycle_state == Lifecycle::Available;
            (available, *received, instance.revision.len(), instance.revision.clone())
        })?;
    // A draining replica is chosen only if no other one responds in time.
    if waiting_for_replicas && instance.lifecycle_state == Lifecycle::Draining {
        return None;
    }
    Some(SelectedTarget { id: id.clone(), sealed: highest_position })
}

/// Whether the responses of this many replicas cover every commit that was acknowledged before.
///
/// A commit is acknowledged once `sync_replicas` of the possible commit holders have received it.
/// If all but `sync_replicas - 1` of them have described themselves since, at least one of those
/// has each acknowledged commit. With one response fewer, a commit might be only on replicas that
/// did not respond, and would be lost.
pub(super) fn responses_cover_commits(responses: usize, snapshot: &ServiceSnapshot) -> bool {
    let holders = snapshot.possible_commit_holders().count();
    let needed = (holders + 1).saturating_sub(snapshot.sync_replicas as usize).max(1);
    snapshot.sync_replicas > 0 && responses >= needed
}

impl Failover {
    /// Chooses the replica to promote in place of a lost primary, if enough is known, and proposes
    /// the intent.
    pub(super) fn choose_target(
        &mut self,
        snapshot: &ServiceSnapshot,
        now: Tick,
    ) -> Vec<FailoverAction> {
        let (FailoverState::Fencing(fencing), Some(record)) =
            (&self.state, &snapshot.primary_record)
        else {
            return Vec::new();
        };
        let Some(selected) = select_target(fencing, snapshot, now) else {
            return Vec::new();
        };
        self.sealed = selected.sealed;
        self.propose_intent(snapshot, record.term, selected.id, now)
    }

    /// Proposes the intent to promote `target` to the log. No replica is promoted before that is
    /// committed, because a later leader must continue with the same target.
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
