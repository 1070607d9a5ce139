//! The state of a failover and its step: events come in, actions go out. Each event is dispatched
//! by the state to a method that handles just that state.

use super::actions::{Attempt, DatabaseRequest, DatabaseResponse, FailoverAction};
use super::departed::DepartedReplicas;
use super::fencing::Fencing;
use super::handover::{HandoverProgress, PlannedCause};
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

/// How far the change of a service's primary is.
#[derive(Clone, Debug, PartialEq)]
pub enum FailoverState {
    /// Nothing is to be changed.
    Steady,
    /// The service has no recorded primary. A database reported that it is one, and is asked for
    /// its term.
    DiscoveringFirstPrimary {
        /// When it was asked.
        since: Tick,
    },
    /// The primary is suspected and was asked for its state; its own answer decides.
    Suspected {
        /// When it was last asked.
        since: Tick,
        /// Its machine accepted the connection, so it is reachable, if perhaps slow.
        connected: bool,
    },
    /// The primary was lost: its leases are being revoked and the replicas paused.
    Fencing(Fencing),
    /// The primary still serves, and is to be replaced: the poolers are told, and the target has to
    /// catch up.
    HandingOver(HandoverProgress),
    /// The intent to promote this replica was proposed, and isn't seen committed yet.
    RecordingIntent {
        /// The replica that was chosen.
        target: InstanceId,
        /// When the intent was last proposed.
        since: Tick,
    },
    /// The intent is committed, and the platform is called to promote the target.
    Promoting(Promotion),
    /// The target leads; it is recorded as the primary once the leases on the old term have ended.
    AwaitingLeaseExpiry {
        /// The new primary.
        target: InstanceId,
        /// The term that it leads.
        term: DbTerm,
        /// The new primary was proposed to the log.
        recorded: bool,
    },
}

impl FailoverState {
    /// The text for the status page and the log, as `docs/operations.md` lists it; operators search
    /// for it.
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

    /// The replica that takes over, in the states in which all others have to be paused, also those
    /// that are listed only now.
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

/// What the recorded primary's answer says about it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum PrimaryAnswer {
    /// It leads the recorded term, as far as the answer shows.
    Leads,
    /// It can't be reached, doesn't answer, or isn't the primary of the recorded term.
    DoesNotLead,
}

impl PrimaryAnswer {
    pub(super) fn of(response: &DatabaseResponse, record: &PrimaryRecord) -> Self {
        let leads = match response {
            DatabaseResponse::Description(description) => {
                description.primary && description.term == record.term
            }
            DatabaseResponse::NoDescription
            | DatabaseResponse::Connected
            | DatabaseResponse::NotSent => true,
            DatabaseResponse::Unavailable | DatabaseResponse::TimedOut => false,
        };
        if leads { Self::Leads } else { Self::DoesNotLead }
    }
}

/// What the controller reports to poolers about the leases of a service while its primary changes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LeaseStatus {
    /// Leases on the present term are being revoked, and none is granted.
    pub revoking: bool,
    /// With the replicas fenced, every acknowledged commit lies at or before this position.
    pub sealed: Option<Position>,
    /// The handover under way: leases are granted with it.
    pub handover: Option<Handover>,
}

/// Brings one service from primary to primary. Every step is safe to take again.
#[derive(Clone, Debug)]
pub struct Failover {
    /// How far the change is.
    pub state: FailoverState,
    /// The attempt under way, or the last one.
    pub attempt: Attempt,
    /// Leases on the present term are being revoked, and none is granted.
    pub revoking: bool,
    /// With the replicas fenced, every acknowledged commit lies at or before this position.
    pub sealed: Option<Position>,
    /// The handover under way. Poolers were told of it and pass on only commits that its target has,
    /// until they are granted another lease.
    pub handover: Option<Handover>,
    pub(super) replicas: PausedReplicas,
    pub(super) departed: DepartedReplicas,
    pub(super) suspicion: Suspicion,
    /// When a change was last called off.
    pub(super) called_off_at: Option<Tick>,
    /// When a former primary was last asked to step down.
    stepped_down_at: Option<Tick>,
}

impl Failover {
    /// Begins under a new leader. An intent that it finds is finished first, with the same target;
    /// replicas that an earlier leader may have paused are resumed.
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
            called_off_at: None,
            stepped_down_at: None,
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

    /// What the controller reports to poolers about the leases of the service.
    pub fn lease_status(&self) -> LeaseStatus {
        let handover = self.handover.clone();
        LeaseStatus { revoking: self.revoking, sealed: self.sealed, handover }
    }

    /// From here on, answers to earlier requests don't count.
    pub(super) fn begin_attempt(&mut self) {
        self.attempt.number += 1;
    }

    /// Ends the change or the suspicion. The primary isn't suspected again for a while.
    pub(super) fn return_to_steady(&mut self, now: Tick) {
        self.state = FailoverState::Steady;
        self.revoking = false;
        self.sealed = None;
        self.handover = None;
        self.suspicion.record_verified(now);
    }

    /// Takes what came of a request to a database, made in that attempt.
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
        // It says nothing of the database.
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
        if request == DatabaseRequest::Describe && self.departed.is_checked_in(attempt) {
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

    /// A replica answered a pause, or described itself.
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

    /// Whether an answer belongs to an earlier attempt and says nothing about this one: a replica
    /// that was paused or described itself then may have received more commits since.
    fn is_outdated(&self, attempt: Attempt, request: DatabaseRequest) -> bool {
        match request {
            // Whoever leads a newer term does so whenever it was asked.
            DatabaseRequest::Describe if matches!(self.state, FailoverState::Promoting(_)) => false,
            DatabaseRequest::Pause(_) | DatabaseRequest::Describe => attempt != self.attempt,
            DatabaseRequest::Continue | DatabaseRequest::StepDown(_) => false,
        }
    }

    /// The machine of a database accepted the connection for this request.
    fn record_connected(&mut self, request: DatabaseRequest) {
        if let FailoverState::Suspected { connected, .. } = &mut self.state
            && request == DatabaseRequest::Describe
        {
            *connected = true;
        }
    }

    /// The answer of the database that reported to be the first primary: it is recorded with the
    /// term that it says it leads. Any other answer ends the discovery, and the next heartbeat of a
    /// primary begins it again.
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

    /// A heartbeat came in; `role` is how the database sees itself.
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
                if self.stepped_down_at.is_some_and(|at| now.since(at) <= STEP_DOWN_RETRY_MS) {
                    return Vec::new();
                }
                self.stepped_down_at = Some(now);
                let step_down = DatabaseRequest::StepDown(record.term);
                vec![FailoverAction::SendRequest(database.clone(), step_down)]
            }
            (FailoverState::Promoting(promotion), _) if promotion.target == *database => {
                vec![promotion.poll(now)]
            }
            _ => Vec::new(),
        }
    }

    /// Goes on with what is due. The controller calls this at intervals, more often while a change is
    /// under way, and at once when a heartbeat or a change of the primary was committed.
    pub fn tick(&mut self, snapshot: &ServiceSnapshot, now: Tick) -> Vec<FailoverAction> {
        let Some(record) = &snapshot.primary_record else {
            self.tick_without_primary(now);
            return Vec::new();
        };
        if let Some(actions) = self.follow_record(snapshot, record, now) {
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

    /// Gives up a first primary that didn't answer; its next heartbeat begins again.
    fn tick_without_primary(&mut self, now: Tick) {
        if let FailoverState::DiscoveringFirstPrimary { since } = self.state
            && now.since(since) > FIRST_PRIMARY_TIMEOUT_MS
        {
            self.state = FailoverState::Steady;
        }
    }

    /// Looks whether the primary has to be replaced, and finishes what earlier changes left.
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
        let backed_off = self.called_off_at.is_none_or(|at| now.since(at) > HANDOVER_RETRY_MS);
        if primary.lifecycle_state == Lifecycle::Draining && backed_off {
            return self.plan_change(snapshot, record.term, PlannedCause::Draining, now);
        }
        if !snapshot.alive.contains(id) && self.suspicion.heeds_missing_heartbeats(now) {
            return self.suspect_primary(id, now);
        }
        Vec::new()
    }
}
