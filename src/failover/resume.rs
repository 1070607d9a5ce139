//! Tracks which replicas are paused, and which were asked to resume but have not confirmed it.
//!
//! Each request is sent on its own connection, so one request can overtake another. Therefore a
//! replica is not paused while a request to resume may still be in flight to it, and does not count
//! as resumed while a pause may be in flight. Otherwise a late `CONTINUE` would undo a pause that a
//! promotion relies on, or a late `PAUSE` would leave a replica paused permanently.

use super::actions::{Attempt, DatabaseRequest, DatabaseResponse, FailoverAction};
use super::timing::{REQUEST_EXPIRED_MS, RESUME_RETRY_MS};
use super::{Failover, FailoverState, ServiceSnapshot};
use crate::base::ids::{DbTerm, InstanceId};
use crate::base::time::Tick;
use std::collections::{BTreeMap, BTreeSet};

/// The unanswered requests of one kind to one database.
#[derive(Clone, Copy, Debug)]
struct Outstanding {
    count: u32,
    last_sent_at: Tick,
}

/// The unanswered requests of one kind, by database.
#[derive(Clone, Debug, Default)]
struct OutstandingRequests(BTreeMap<InstanceId, Outstanding>);

impl OutstandingRequests {
    fn record_sent(&mut self, id: &InstanceId, now: Tick) {
        let empty = Outstanding { count: 0, last_sent_at: now };
        let outstanding = self.0.entry(id.clone()).or_insert(empty);
        outstanding.count += 1;
        outstanding.last_sent_at = now;
    }

    fn record_answered(&mut self, id: &InstanceId) {
        if let Some(outstanding) = self.0.get_mut(id) {
            outstanding.count -= 1;
            if outstanding.count == 0 {
                self.0.remove(id);
            }
        }
    }

    /// Whether this database may still carry out one of the requests.
    fn may_arrive(&self, id: &InstanceId, now: Tick) -> bool {
        self.0
            .get(id)
            .is_some_and(|outstanding| now.since(outstanding.last_sent_at) < REQUEST_EXPIRED_MS)
    }
}

/// The replicas of a service that are paused or have not confirmed that they resumed.
#[derive(Clone, Debug)]
pub(super) struct PausedReplicas {
    /// The replicas that were asked to pause and not asked to resume since.
    paused: BTreeSet<InstanceId>,
    /// The replicas that were asked to resume and have not confirmed it, each with the attempt in
    /// which it was first asked. They are asked again while they are alive, because a replica that
    /// stays paused receives no commits and does not help to acknowledge any.
    awaiting_resume: BTreeMap<InstanceId, Attempt>,
    pause_requests: OutstandingRequests,
    resume_requests: OutstandingRequests,
    resume_requested_at: Tick,
}

impl PausedReplicas {
    pub(super) fn new(now: Tick) -> Self {
        Self {
            paused: BTreeSet::new(),
            awaiting_resume: BTreeMap::new(),
            pause_requests: OutstandingRequests::default(),
            resume_requests: OutstandingRequests::default(),
            resume_requested_at: now,
        }
    }

    /// Marks a replica as paused without sending a request, because an earlier leader may have
    /// paused it.
    pub(super) fn assume_paused(&mut self, id: InstanceId) {
        self.paused.insert(id);
    }

    /// Removes a replica that became the primary, on which a pause has no effect.
    pub(super) fn remove(&mut self, id: &InstanceId) {
        self.paused.remove(id);
    }

    pub(super) fn is_paused(&self, id: &InstanceId) -> bool {
        self.paused.contains(id)
    }

    /// Whether a pause may still be in flight to this database.
    pub(super) fn pause_may_arrive(&self, id: &InstanceId, now: Tick) -> bool {
        self.pause_requests.may_arrive(id, now)
    }

    /// Asks these replicas to receive nothing from primaries of terms up to `term`. A replica to
    /// which a request to resume may be in flight is left out; the caller pauses it once that
    /// request was answered or has expired.
    pub(super) fn pause(
        &mut self,
        mut replicas: Vec<InstanceId>,
        term: DbTerm,
        now: Tick,
    ) -> Vec<FailoverAction> {
        replicas.retain(|id| !self.resume_requests.may_arrive(id, now));
        replicas.iter().for_each(|id| self.pause_requests.record_sent(id, now));
        self.paused.extend(replicas.iter().cloned());
        self.awaiting_resume.retain(|id, _| !replicas.contains(id));
        let pause = DatabaseRequest::Pause(DbTerm(term.0 + 1));
        replicas.into_iter().map(|id| FailoverAction::SendRequest(id, pause)).collect()
    }

    /// Asks all paused replicas to resume.
    pub(super) fn resume_all(&mut self, attempt: Attempt, now: Tick) -> Vec<FailoverAction> {
        let paused = std::mem::take(&mut self.paused);
        self.awaiting_resume.extend(paused.iter().map(|id| (id.clone(), attempt)));
        self.resume_requested_at = now;
        self.request_resume(paused.into_iter().collect(), now)
    }

    fn request_resume(&mut self, replicas: Vec<InstanceId>, now: Tick) -> Vec<FailoverAction> {
        replicas.iter().for_each(|id| self.resume_requests.record_sent(id, now));
        let resume = |id| FailoverAction::SendRequest(id, DatabaseRequest::Continue);
        replicas.into_iter().map(resume).collect()
    }

    /// Repeats the request to resume to the live replicas that have not confirmed it. `None` if
    /// there are no unconfirmed replicas or the retry is not due.
    pub(super) fn retry_resume(
        &mut self,
        snapshot: &ServiceSnapshot,
        now: Tick,
    ) -> Option<Vec<FailoverAction>> {
        if self.awaiting_resume.is_empty() || now.since(self.resume_requested_at) <= RESUME_RETRY_MS
        {
            return None;
        }
        self.resume_requested_at = now;
        self.awaiting_resume.retain(|id, _| snapshot.replica_ids().any(|replica| replica == id));
        let alive = self.awaiting_resume.keys().filter(|id| snapshot.alive.contains(*id));
        let alive = alive.cloned().collect();
        Some(self.request_resume(alive, now))
    }

    /// Records that a request was answered. A request without a response stays outstanding until it
    /// expires, because it may still be carried out.
    pub(super) fn record_response(
        &mut self,
        database: &InstanceId,
        request: DatabaseRequest,
        response: &DatabaseResponse,
    ) {
        if response.leaves_request_open() {
            return;
        }
        match request {
            DatabaseRequest::Pause(_) => self.pause_requests.record_answered(database),
            DatabaseRequest::Continue => self.resume_requests.record_answered(database),
            DatabaseRequest::Describe | DatabaseRequest::StepDown(_) => {}
        }
    }

    /// Records that a replica confirmed a request to resume. The confirmation is ignored if the
    /// request belongs to an earlier resumption, or if a pause may still arrive after it.
    fn confirm_resume(&mut self, database: &InstanceId, attempt: Attempt, now: Tick) {
        let is_current = self.awaiting_resume.get(database).is_some_and(|first| attempt >= *first);
        if is_current && !self.pause_may_arrive(database, now) {
            self.awaiting_resume.remove(database);
        }
    }
}

impl Failover {
    /// Asks every paused replica to resume.
    pub(super) fn resume_replicas(&mut self, now: Tick) -> Vec<FailoverAction> {
        self.replicas.resume_all(self.attempt, now)
    }

    /// Handles the response of a replica to a request to resume. During fencing, a pause of this
    /// replica may have been postponed until then.
    pub(super) fn handle_resume_response(
        &mut self,
        snapshot: &ServiceSnapshot,
        attempt: Attempt,
        database: &InstanceId,
        response: &DatabaseResponse,
        now: Tick,
    ) -> Vec<FailoverAction> {
        if matches!(response, DatabaseResponse::Description(_)) {
            self.replicas.confirm_resume(database, attempt, now);
        }
        let (FailoverState::Fencing(fencing), Some(record)) =
            (&self.state, &snapshot.primary_record)
        else {
            return Vec::new();
        };
        if fencing.needs_response_from(database)
            && !self.replicas.pause_may_arrive(database, now)
            && snapshot.replica_ids().any(|id| id == database)
        {
            return self.replicas.pause(vec![database.clone()], record.term, now);
        }
        Vec::new()
    }
}
