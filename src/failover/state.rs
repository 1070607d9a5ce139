//! The states of a failover or handover, and the dispatch of events. Each event is dispatched to a
//! method that handles it in the current state and returns the actions for the controller.

use super::actions::{Attempt, DatabaseRequest, DatabaseResponse, FailoverAction};
use super::departed::DepartedReplicas;
use super::fencing::Fencing;
use super::handover::{HandoverCause, HandoverProgress};
use super::promotion::Promotion;
use super::resume::PausedReplicas;
use super::snapshot::ServiceSnapshot;
use super::suspicion::Suspicion;
use super::timing::{FIRST_PRIMARY_TIMEOUT_MS, HANDOVER_RETRY_MS, STEP_DOWN_RETRY_MS};
use crate::base::ids::{DbTerm, InstanceId, Position};
use crate::base::time::Tick;
use crate::config::directory::{Lifecycle, Role};
use crate::net::rpc::pooler_messages::Handover;
use crate::state_machine::{Command, PrimaryRecord};

/// The progress of a change of a service's primary, by failover or handover.
#[derive(Clone, Debug, PartialEq)]
pub enum FailoverState {
    /// Neither a failover nor a handover is in progress.
    Steady,
    /// The service has no recorded primary yet. A database has reported to be the primary, and is
    /// asked for its term.
    DiscoveringFirstPrimary {
        /// When the database was asked.
        since: Tick,
    },
    /// The primary is suspected to be lost or slow and was asked for its state. Its response
    /// decides.
    Suspected {
        /// When the primary was last asked.
        since: Tick,
        /// Whether the primary's machine accepted the connection, which shows that it is reachable
        /// though perhaps slow.
        connected: bool,
    },
    /// The primary is lost: its leases are being revoked and the replicas paused.
    Fencing(Fencing),
    /// The primary still serves and is being replaced: the handover is announced to the poolers,
    /// and the target has to catch up.
    HandingOver(HandoverProgress),
    /// The intent to promote the target was proposed to the log and has not been seen committed
    /// yet.
    RecordingIntent {
        /// The replica that was chosen to be promoted.
        target: InstanceId,
        /// When the intent was last proposed.
        since: Tick,
    },
    /// The intent is committed, and the platform is being called to promote the target.
    Promoting(Promotion),
    /// The target leads a newer term. It is recorded as the primary once no lease on the old term
    /// can be in use.
    AwaitingLeaseExpiry {
        /// The new primary.
        target: InstanceId,
        /// The term that the new primary leads.
        term: DbTerm,
        /// Whether the record of the new primary was proposed to the log.
        recorded: bool,
    },
}

impl FailoverState {
    /// The text for the status page and the log. Operators search for these texts, which
    /// `docs/operations.md` lists.
    pub(crate) fn status_text(&self) -> &'static str {
        match self {
            Self::Steady => "steady",
            Self::DiscoveringFirstPrimary { .. } => "asking the first primary",
            Self::Suspected { .. } => "doubting the primary",
            Self::Fencing(_) => "fencing a lost primary",
            Self::HandingOver(_) => "fencing for a planned change",
            Self::RecordingIntent { .. } => "writing down the intent",
            Self::Promoting(_) => "promoting",
            Self::AwaitingLeaseExpiry { .. } => "waiting for old leases",
        }
    }

    /// The promotion target, in the states in which all other replicas have to be paused, including
    /// those that are registered only later.
    fn promotion_target(&self) -> Option<&InstanceId> {
        match self {
            Self::HandingOver(progress) => Some(&progress.target),
            Self::RecordingIntent { target, .. } => Some(target),
            Self::Promoting(promotion) => Some(&promotion.target),
            Self::Steady
            | Self::DiscoveringFirstPrimary { .. }
            | Self::Suspected { .. }
            | Self::Fencing(_)
            | Self::AwaitingLeaseExpiry { .. } => None,
        }
    }
}

/// Whether the recorded primary still leads, judged by its response to a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum PrimaryLeadership {
    /// The response does not rule out that it leads the recorded term.
    Leads,
    /// It can't be reached, did not respond, or is not the primary of the recorded term.
    DoesNotLead,
}

impl PrimaryLeadership {
    pub(super) fn of(response: &DatabaseResponse, record: &PrimaryRecord) -> Self {
        let leads = match response {
            DatabaseResponse::Description(description) => {
                description.primary && description.term == record.term
            }
            DatabaseResponse::NoDescription
            | DatabaseResponse::Connected
            | DatabaseResponse::NotSent => true,
            DatabaseResponse::ConnectionRefused
            | DatabaseResponse::AddressReassigned
            | DatabaseResponse::ConnectionFailed
            | DatabaseResponse::TimedOut => false,
        };
        if leads { Self::Leads } else { Self::DoesNotLead }
    }
}

/// What the controller tells poolers about the leases on a service while its primary changes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LeaseStatus {
    /// Whether leases on the current term are being revoked. None is granted then.
    pub revoking: bool,
    /// The position at or before which every acknowledged commit lies, once the replicas are
    /// fenced.
    pub sealed: Option<Position>,
    /// The current handover; lease grants include it.
    pub handover: Option<Handover>,
}

/// The state machine that changes the primary of one service, by failover or handover. Every step
/// can safely be repeated.
#[derive(Clone, Debug)]
pub struct Failover {
    /// The current state.
    pub state: FailoverState,
    /// The current attempt, or the last one.
    pub attempt: Attempt,
    /// Whether leases on the current term are being revoked. None is granted then.
    pub revoking: bool,
    /// The position at or before which every acknowledged commit lies, once the replicas are
    /// fenced.
    pub sealed: Option<Position>,
    /// The current handover. It was announced to the poolers, which forward only commits that its
    /// target has until they are granted another lease.
    pub handover: Option<Handover>,
    pub(super) replicas: PausedReplicas,
    pub(super) departed: DepartedReplicas,
    pub(super) suspicion: Suspicion,
    /// When a failover or handover was last cancelled.
    pub(super) cancelled_at: Option<Tick>,
    /// When a former primary was last asked to step down.
    step_down_requested_at: Option<Tick>,
}

impl Failover {
    /// Creates the state machine of a service under a new leader. A committed intent is carried out
    /// first, with the same target. Otherwise replicas that an earlier leader may have paused are
    /// resumed.
    pub fn begin(snapshot: &ServiceSnapshot, now: Tick) -> (Self, Vec<FailoverAction>) {
        let mut failover = Self {
            state: FailoverState::Steady,
            attempt: Attempt { raft_term: snapshot.raft_term, number: 0 },
            revoking: false,
            sealed: None,
            handover: None,
            replicas: PausedReplicas::new(now),
            departed: DepartedReplicas::new(now),
            suspicion: Suspicion::default(),
            cancelled_at: None,
            step_down_requested_at: None,
        };
        let actions = match &snapshot.primary_record {
            None => Vec::new(),
            Some(PrimaryRecord { term, intent: Some(target), .. }) => {
                failover.take_over_intent(snapshot, *term, target.clone(), now)
            }
            Some(_) => {
                let replicas = snapshot.replica_ids().cloned();
                replicas.for_each(|id| failover.replicas.assume_paused(id));
                failover.resume_replicas(now)
            }
        };
        (failover, actions)
    }

    /// What the controller tells poolers about the leases on the service.
    pub fn lease_status(&self) -> LeaseStatus {
        let handover = self.handover.clone();
        LeaseStatus { revoking: self.revoking, sealed: self.sealed, handover }
    }

    /// Starts a new attempt, so that responses to earlier requests are ignored.
    pub(super) fn begin_attempt(&mut self) {
        self.attempt.number += 1;
    }

    /// Ends the failover, handover or suspicion. The primary is not suspected again for a while.
    pub(super) fn return_to_steady(&mut self, now: Tick) {
        self.state = FailoverState::Steady;
        self.revoking = false;
        self.sealed = None;
        self.handover = None;
        self.suspicion.record_verified(now);
    }

    /// Handles the outcome of a request that was sent to a database in the given attempt.
    pub fn handle_response(
        &mut self,
        snapshot: &ServiceSnapshot,
        attempt: Attempt,
        database: &InstanceId,
        request: DatabaseRequest,
        response: &DatabaseResponse,
        now: Tick,
    ) -> Vec<FailoverAction> {
        if attempt.raft_term == self.attempt.raft_term {
            self.replicas.record_response(database, request, response);
        }
        // A request that was not sent gives no information about the database.
        if *response == DatabaseResponse::NotSent {
            return Vec::new();
        }
        if request == DatabaseRequest::Describe
            && snapshot.departed.contains_key(database)
            && self.state == FailoverState::Steady
        {
            self.departed.record_probe(database, response);
            return Vec::new();
        }
        if request == DatabaseRequest::Describe && self.departed.is_check_attempt(attempt) {
            return match response {
                DatabaseResponse::Description(description) => {
                    self.handle_departed_check_response(snapshot, database, description, now)
                }
                _ => Vec::new(),
            };
        }
        if self.is_outdated(attempt, request) {
            return Vec::new();
        }
        if *response == DatabaseResponse::Connected {
            self.record_connected(request);
            return Vec::new();
        }
        match (&self.state, request) {
            (_, DatabaseRequest::Continue) => {
                self.handle_resume_response(snapshot, attempt, database, response, now)
            }
            (FailoverState::DiscoveringFirstPrimary { .. }, _) => {
                self.handle_first_primary(snapshot, database, request, response)
            }
            (FailoverState::Suspected { .. }, DatabaseRequest::Describe) => {
                self.handle_suspected_primary(snapshot, database, response, now)
            }
            (FailoverState::Fencing(_), DatabaseRequest::Describe)
                if snapshot.is_primary(database) =>
            {
                self.handle_fenced_primary(snapshot, response, now)
            }
            (FailoverState::HandingOver(_), DatabaseRequest::Describe)
                if snapshot.is_primary(database) =>
            {
                self.handle_handover_primary(snapshot, response, now)
            }
            (_, DatabaseRequest::Pause(_) | DatabaseRequest::Describe) => {
                self.handle_replica_response(snapshot, database, response, now)
            }
            _ => Vec::new(),
        }
    }

    /// Handles the response of a replica to a pause or a request to describe itself.
    fn handle_replica_response(
        &mut self,
        snapshot: &ServiceSnapshot,
        database: &InstanceId,
        response: &DatabaseResponse,
        now: Tick,
    ) -> Vec<FailoverAction> {
        let DatabaseResponse::Description(description) = response else { return Vec::new() };
        match &self.state {
            FailoverState::Fencing(_) => {
                self.handle_fenced_replica(snapshot, database, description, now)
            }
            FailoverState::HandingOver(_) => {
                self.handle_handover_replica(snapshot, database, description, now)
            }
            FailoverState::Promoting(_) => {
                self.handle_target_response(snapshot, database, description, now)
            }
            _ => Vec::new(),
        }
    }

    /// Whether a response belongs to an earlier attempt and must be ignored: a replica that was
    /// paused or described itself then may have received more commits since.
    fn is_outdated(&self, attempt: Attempt, request: DatabaseRequest) -> bool {
        match request {
            // A target that leads a newer term does so no matter when it was asked.
            DatabaseRequest::Describe if matches!(self.state, FailoverState::Promoting(_)) => false,
            DatabaseRequest::Pause(_) | DatabaseRequest::Describe => attempt != self.attempt,
            DatabaseRequest::Continue | DatabaseRequest::StepDown(_) => false,
        }
    }

    /// Records that the machine of a database accepted the connection for this request.
    fn record_connected(&mut self, request: DatabaseRequest) {
        if let FailoverState::Suspected { connected, .. } = &mut self.state
            && request == DatabaseRequest::Describe
        {
            *connected = true;
        }
    }

    /// Handles the response of the database that reported to be the first primary. If it confirms
    /// that, it is recorded as the primary of the term that it leads. Any other response ends the
    /// discovery, and the next heartbeat of a primary starts it again.
    fn handle_first_primary(
        &mut self,
        snapshot: &ServiceSnapshot,
        database: &InstanceId,
        request: DatabaseRequest,
        response: &DatabaseResponse,
    ) -> Vec<FailoverAction> {
        self.state = FailoverState::Steady;
        match (request, response) {
            (DatabaseRequest::Describe, DatabaseResponse::Description(description))
                if description.primary && snapshot.primary_record.is_none() =>
            {
                let (service, primary) = (snapshot.service.clone(), database.clone());
                let term = description.term;
                vec![FailoverAction::Propose(Command::SetPrimary { service, term, primary })]
            }
            _ => Vec::new(),
        }
    }

    /// Handles a heartbeat of a database that reports this role.
    pub fn handle_heartbeat(
        &mut self,
        snapshot: &ServiceSnapshot,
        database: &InstanceId,
        role: Role,
        now: Tick,
    ) -> Vec<FailoverAction> {
        if role != Role::Primary {
            return Vec::new();
        }
        match (&mut self.state, &snapshot.primary_record) {
            (FailoverState::Steady, None) => {
                self.state = FailoverState::DiscoveringFirstPrimary { since: now };
                vec![FailoverAction::SendRequest(database.clone(), DatabaseRequest::Describe)]
            }
            (FailoverState::Steady, Some(record)) if record.primary != *database => {
                if self.step_down_requested_at.is_some_and(|at| now.since(at) <= STEP_DOWN_RETRY_MS)
                {
                    return Vec::new();
                }
                self.step_down_requested_at = Some(now);
                let step_down = DatabaseRequest::StepDown(record.term);
                vec![FailoverAction::SendRequest(database.clone(), step_down)]
            }
            (FailoverState::Promoting(promotion), _) if promotion.target == *database => {
                vec![promotion.poll(now)]
            }
            _ => Vec::new(),
        }
    }

    /// Carries out the work that is due. The controller calls this periodically, more often during
    /// a failover or handover, and immediately after a heartbeat or a change of the primary was
    /// committed.
    pub fn tick(&mut self, snapshot: &ServiceSnapshot, now: Tick) -> Vec<FailoverAction> {
        let Some(record) = &snapshot.primary_record else {
            self.tick_without_primary(now);
            return Vec::new();
        };
        if let Some(actions) = self.follow_committed_record(snapshot, record, now) {
            return actions;
        }
        if let Some(target) = self.state.promotion_target().cloned() {
            let actions = self.pause_new_replicas(snapshot, &target, now);
            if !actions.is_empty() {
                return actions;
            }
        }
        match &self.state {
            FailoverState::Steady => self.tick_steady(snapshot, record, now),
            FailoverState::DiscoveringFirstPrimary { .. } => {
                self.state = FailoverState::Steady;
                Vec::new()
            }
            FailoverState::Suspected { .. } => self.tick_suspected(snapshot, record, now),
            FailoverState::HandingOver(_) => self.tick_handover(snapshot, now),
            FailoverState::Fencing(_) => self.tick_fencing(snapshot, record, now),
            FailoverState::RecordingIntent { .. } => {
                self.tick_recording_intent(snapshot, record, now)
            }
            FailoverState::Promoting(_) => self.tick_promoting(snapshot, now),
            FailoverState::AwaitingLeaseExpiry { .. } => self.tick_awaiting_lease_expiry(snapshot),
        }
    }

    /// Ends the discovery of a first primary that has not responded in time. Its next heartbeat
    /// starts it again.
    fn tick_without_primary(&mut self, now: Tick) {
        if let FailoverState::DiscoveringFirstPrimary { since } = self.state
            && now.since(since) > FIRST_PRIMARY_TIMEOUT_MS
        {
            self.state = FailoverState::Steady;
        }
    }

    /// Checks whether the primary has to be replaced, resumes replicas that an earlier failover
    /// or handover left paused, and checks the departed replicas.
    fn tick_steady(
        &mut self,
        snapshot: &ServiceSnapshot,
        record: &PrimaryRecord,
        now: Tick,
    ) -> Vec<FailoverAction> {
        if snapshot.databases.is_empty() {
            return Vec::new();
        }
        let Some((id, primary)) = snapshot.database(&record.primary) else {
            return self.fence(snapshot, now);
        };
        if let Some(actions) = self.replicas.retry_resume(snapshot, now) {
            return actions;
        }
        let requests = self.check_departed_replicas(snapshot, id, now);
        if !requests.is_empty() {
            return requests;
        }
        let handover_allowed = self.cancelled_at.is_none_or(|at| now.since(at) > HANDOVER_RETRY_MS);
        if primary.lifecycle_state == Lifecycle::Draining && handover_allowed {
            return self.begin_handover(snapshot, record.term, HandoverCause::Draining, now);
        }
        if !snapshot.alive.contains(id) && self.suspicion.considers_missing_heartbeats(now) {
            return self.suspect_primary(id, now);
        }
        Vec::new()
    }
}
