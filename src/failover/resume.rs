//! Which replicas are paused, and which were asked to resume but haven't confirmed it.
//!
//! Each request travels on a connection of its own, so two may overtake each other. So a replica
//! isn't paused while a request to resume may still be under way to it, and isn't taken for
//! resumed while a pause may be: otherwise a late `CONTINUE` would undo a pause that a promotion
//! relies on, or a late `PAUSE` would leave a replica paused for good.

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

/// The unanswered requests of one kind.
#[derive(Clone, Debug, Default)]
struct OutstandingRequests(BTreeMap<InstanceId, Outstanding>);

impl OutstandingRequests {
    fn record_sent(&mut self, id: &InstanceId, now: Tick) {
        let none = Outstanding { count: 0, last_sent_at: now };
        let outstanding = self.0.entry(id.clone()).or_insert(none);
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

    /// Whether a request may still be carried out by this database.
    fn may_arrive(&self, id: &InstanceId, now: Tick) -> bool {
        self.0.get(id).is_some_and(|o| now.since(o.last_sent_at) < REQUEST_EXPIRED_MS)
    }
}

/// The replicas of a service that are paused or have to be resumed.
#[derive(Clone, Debug)]
pub(super) struct PausedReplicas {
    /// Asked to pause, and not asked to resume since.
    paused: BTreeSet<InstanceId>,
    /// Asked to resume, first in that attempt, without a confirmation so far. They are asked again
    /// while they live: a replica that stays paused counts for no commit.
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

    /// Takes a replica for paused without a request: an earlier leader may have paused it.
    pub(super) fn assume_paused(&mut self, id: InstanceId) {
        self.paused.insert(id);
    }

    /// Forgets a replica that became the primary: no pause holds it any more.
    pub(super) fn forget(&mut self, id: &InstanceId) {
        self.paused.remove(id);
    }

    pub(super) fn is_paused(&self, id: &InstanceId) -> bool {
        self.paused.contains(id)
    }

    /// Whether a pause may still be under way to this database.
    pub(super) fn pause_may_arrive(&self, id: &InstanceId, now: Tick) -> bool {
        self.pause_requests.may_arrive(id, now)
    }

    /// Pauses these replicas for primaries up to `term`. One that may still have to carry out a
    /// request to resume is left out; it is paused once that request was answered or has expired.
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

    /// Resumes all paused replicas.
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

    /// Asks the living replicas again that haven't confirmed their resumption; none if no replica
    /// has to, or if it isn't time yet.
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
        let living = self.awaiting_resume.keys().filter(|id| snapshot.alive.contains(*id));
        let living = living.cloned().collect();
        Some(self.request_resume(living, now))
    }

    /// Counts a request as answered. One that timed out isn't: it may still be carried out, until
    /// it expires.
    pub(super) fn record_response(
        &mut self,
        database: &InstanceId,
        request: DatabaseRequest,
        response: &DatabaseResponse,
    ) {
        if matches!(response, DatabaseResponse::Connected | DatabaseResponse::TimedOut) {
            return;
        }
        match request {
            DatabaseRequest::Pause(_) => self.pause_requests.record_answered(database),
            DatabaseRequest::Continue => self.resume_requests.record_answered(database),
            DatabaseRequest::Describe | DatabaseRequest::StepDown(_) => {}
        }
    }

    /// A replica described itself in answer to a request to resume. It is resumed unless the
    /// request is older than the need for it, or a pause may still arrive after it.
    fn confirm_resume(&mut self, database: &InstanceId, attempt: Attempt, now: Tick) {
        let recent = self.awaiting_resume.get(database).is_some_and(|first| attempt >= *first);
        if recent && !self.pause_may_arrive(database, now) {
            self.awaiting_resume.remove(database);
        }
    }
}

impl Failover {
    /// Resumes every replica that is paused.
    pub(super) fn resume_replicas(&mut self, now: Tick) -> Vec<FailoverAction> {
        self.replicas.resume_all(self.attempt, now)
    }

    /// A replica answered a request to resume. If it has to be paused, that had to wait for this.
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
