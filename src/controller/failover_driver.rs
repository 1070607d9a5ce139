//! Drives the failover state machine of each service on the leader: passes events and a snapshot of
//! the service to `Failover`, and executes the actions that it returns.
use crate::base::ids::{DbTerm, InstanceId, ServiceName};
use crate::base::time::Tick;
use crate::config::settings::Rollout;
use crate::controller::core::Controller;
use crate::controller::effects::Effects;
use crate::failover::{
    Attempt, DatabaseRequest, DatabaseResponse, Failover, FailoverAction, FailoverState,
    LeaseStatus, PromotionResponse, ServiceSnapshot,
};
use crate::leases::acknowledged_commits::AcknowledgedCommits;
use crate::leases::lease_table::CoverageRule;
use crate::net::rpc::pooler_messages::{Handover, ToPooler};
use crate::net::rpc::{CHUNKS_LAYOUT, Frame, encode};
use crate::state_machine::Command;
use log::{debug, info, warn};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;

/// Maximum number of database requests in flight. Each occupies a thread until it completes or
/// times out, which takes long for an unreachable database.
const MAX_REQUESTS_IN_FLIGHT: usize = 96;

/// Maximum number of database requests queued behind those in flight.
const MAX_QUEUED_REQUESTS: usize = 4_096;

/// Number of heartbeat intervals without a heartbeat after which an instance no longer counts as
/// alive.
const MISSED_HEARTBEATS: u64 = 3;

/// A request to a database and the failover attempt that made it.
#[derive(PartialEq)]
struct QueuedRequest {
    service: ServiceName,
    instance: InstanceId,
    request: DatabaseRequest,
    attempt: Attempt,
}

/// Database requests: the number in flight and the queue of those not sent yet.
#[derive(Default)]
pub(super) struct DatabaseRequests {
    in_flight: usize,
    queue: VecDeque<QueuedRequest>,
}

impl DatabaseRequests {
    /// Returns the number of queued requests.
    pub(super) fn queued(&self) -> usize {
        self.queue.len()
    }
    /// Drops all queued requests. Called when this controller loses leadership.
    pub(super) fn clear_queue(&mut self) {
        self.queue.clear();
    }
    /// Queues a request, unless it is already queued or the queue is full. The failover that needs
    /// the response retries.
    fn push(&mut self, request: QueuedRequest) {
        if self.queue.len() < MAX_QUEUED_REQUESTS && !self.queue.contains(&request) {
            self.queue.push_back(request);
        }
    }
}

impl<E: Effects> Controller<E> {
    /// Builds the snapshot on which the failover of `service` decides: the applied state, and the
    /// heartbeats and leases known to the leader.
    fn service_snapshot(&self, service: &ServiceName, now: Tick) -> ServiceSnapshot {
        let databases = self.state_machine.instances_of(service);
        let mut snapshot = ServiceSnapshot {
            service: service.clone(),
            raft_term: self.raft.state.term,
            databases: databases.map(|(id, i)| (id.clone(), i.clone())).collect(),
            departed: BTreeMap::new(),
            alive: BTreeSet::new(),
            sync_replicas: self.services.get(service).map_or(0, |s| s.sync_replicas),
            leases_expired: false,
            all_poolers_confirmed: false,
            acknowledged_commits: AcknowledgedCommits::default(),
            primary_record: self.state_machine.primaries().get(service).cloned(),
        };
        // Without synchronous replicas no commit depends on a departed replica.
        if snapshot.sync_replicas > 0 {
            snapshot.departed = self.state_machine.departed_replicas(service);
        }
        let Some(leader_state) = &self.leader_state else {
            return snapshot;
        };
        let heartbeat_timeout_ms = MISSED_HEARTBEATS * self.settings.heartbeat_ms;
        let alive = |id: &&InstanceId| {
            let last = leader_state.heartbeats.get(*id);
            last.is_some_and(|last| now.since(last.received_at) < heartbeat_timeout_ms)
        };
        snapshot.alive =
            snapshot.databases.iter().map(|(id, _)| id).filter(alive).cloned().collect();
        let steady = |f: &Failover| f.state == FailoverState::Steady;
        if let Some(record) = &snapshot.primary_record
            && !leader_state.failovers.get(service).is_some_and(steady)
        {
            let (leases, term) = (&leader_state.leases, record.term);
            let failover = leader_state.failovers.get(service);
            let handover = failover.and_then(|f| f.handover.as_ref()).map(|h| h.number);
            snapshot.leases_expired = leases.all_released(service, term, now);
            snapshot.all_poolers_confirmed =
                leases.all_confirm_handover(service, term, handover, now);
            let latest = leader_state.watermarks.latest(service);
            let rule = match snapshot.sync_replicas {
                0 => CoverageRule::WatermarkOrTimeout,
                _ => CoverageRule::Watermark,
            };
            snapshot.acknowledged_commits =
                leases.acknowledged_commits(service, term, handover, latest, rule, now);
        }
        snapshot
    }

    /// Performs one step of the failover of `service` and executes the actions it returns. Does
    /// nothing unless this controller holds the leader lease and either has applied all committed
    /// entries or is already running this failover.
    pub(super) fn step_failover(
        &mut self,
        service: &ServiceName,
        now: Tick,
        step: impl FnOnce(&mut Failover, &ServiceSnapshot) -> Vec<FailoverAction>,
    ) {
        // Behind API gateways all endpoints of a service are equal: none of them is a primary.
        if !self.raft.holds_leader_lease(now) || self.settings.rollout == Rollout::Api {
            return;
        }
        let snapshot = self.service_snapshot(service, now);
        let behind = self.last_applied < self.raft.commit_index;
        let Some(leader_state) = &mut self.leader_state else {
            return;
        };
        // An entry that is not applied yet may contain a decision of an earlier leader.
        if behind && !leader_state.failovers.contains_key(service) {
            return;
        }
        let mut actions = Vec::new();
        let status_before = leader_state.failovers.get(service).map(Failover::lease_status);
        let failover = leader_state.failovers.entry(service.clone()).or_insert_with(|| {
            let (failover, first_actions) = Failover::begin(&snapshot, now);
            actions = first_actions;
            failover
        });
        let state_before = std::mem::discriminant(&failover.state);
        actions.extend(step(failover, &snapshot));
        let (lease_status, attempt) = (failover.lease_status(), failover.attempt);
        let active = failover.state != FailoverState::Steady || !actions.is_empty();
        if state_before != std::mem::discriminant(&failover.state) {
            info!(target: "failover", "{service}: now {}", failover.state.status_text());
        }
        if status_before.as_ref() != Some(&lease_status) {
            leader_state.pending_updates.mark_changed(service);
            // A sealed position is valid only in the response that carries it, so each renewal
            // response includes it.
            match lease_status {
                LeaseStatus { revoking: true, sealed: Some(_), .. } => {
                    leader_state.sealed.insert(service.clone())
                }
                _ => leader_state.sealed.remove(service),
            };
            // After an aborted handover each commit has to consult the handover target until the
            // leases are renewed.
            let handed_over = status_before.is_some_and(|status| status.handover.is_some());
            self.directory_updates.renewal_due |=
                handed_over && !lease_status.revoking && lease_status.handover.is_none();
        }
        match active {
            true => leader_state.active_services.insert(service.clone()),
            false => leader_state.active_services.remove(service),
        };
        for action in actions {
            self.execute_action(service, action, attempt, now);
        }
    }

    /// Advances the time of the failover of `service`.
    pub(super) fn tick_failover(&mut self, service: &ServiceName, now: Tick) {
        self.step_failover(service, now, |failover, snapshot| failover.tick(snapshot, now));
    }

    fn execute_action(
        &mut self,
        service: &ServiceName,
        action: FailoverAction,
        attempt: Attempt,
        now: Tick,
    ) {
        match action {
            FailoverAction::Propose(
                Command::ForgetDeparted { .. } | Command::PrimaryReturned { .. },
            ) if !self.raft.all_peers_read_layout(CHUNKS_LAYOUT) => {
                debug!(
                    target: "failover",
                    "{service}: proposal deferred until all controllers read layout {CHUNKS_LAYOUT}"
                );
            }
            FailoverAction::Propose(command) => {
                self.propose(&command, now);
            }
            FailoverAction::RevokeLeases(term) => {
                let frame = revocation_frame(service, term);
                for conn in self.subscribers.keys() {
                    self.effects.send_first(*conn, frame.clone());
                }
                self.flush_connections(now);
            }
            FailoverAction::HandOver(handover) => self.announce_handover(service, handover, now),
            FailoverAction::SendRequest(instance, request) => {
                let service = service.clone();
                let request = QueuedRequest { service, instance, request, attempt };
                self.database_requests.push(request);
                self.send_database_requests();
            }
            FailoverAction::Promote(target) => {
                let Some(platform) = &self.settings.provider else {
                    warn!(
                        target: "failover",
                        "{service}: cannot promote {target}: no platform is configured ([provider])"
                    );
                    return;
                };
                let (address, leader_name) = (platform.address, &self.settings.node_name);
                self.effects.request_promotion(address, leader_name, service, &target, attempt);
            }
        }
    }

    /// Notifies all nodes that a handover of the service has begun. The lease of a node that
    /// doesn't support handovers is revoked for the duration of the handover.
    fn announce_handover(&mut self, service: &ServiceName, handover: Handover, now: Tick) {
        let Some(leader_state) = &mut self.leader_state else { return };
        let revoke = revocation_frame(service, handover.term);
        let message = ToPooler::HandOver { service: service.clone(), handover: handover.clone() };
        let hand_over = encode(&Frame::Controller(message));
        for (conn, subscriber) in &self.subscribers {
            if subscriber.supports_handover() {
                leader_state.leases.record_handover(&subscriber.node, service, &handover);
                // Sent after all queued grants, so that none of them cancels the handover.
                self.effects.send(*conn, hand_over.clone());
            } else {
                self.effects.send_first(*conn, revoke.clone());
            }
        }
        self.flush_connections(now);
    }

    /// Sends queued requests until the limit of requests in flight is reached.
    fn send_database_requests(&mut self) {
        while self.database_requests.in_flight < MAX_REQUESTS_IN_FLIGHT
            && let Some(next) = self.database_requests.queue.pop_front()
        {
            let QueuedRequest { service, instance, request, attempt } = next;
            let listed = self.state_machine.instances().get(&instance).map(|r| r.instance.address);
            let departed = || self.departed_addresses.get(&instance).copied();
            let Some(address) = listed.or_else(departed) else {
                continue;
            };
            let started =
                self.effects.call_database(&service, &instance, address, request, attempt);
            // If no thread is available, the request is dropped and the failover retries.
            self.database_requests.in_flight += usize::from(started);
        }
    }

    /// Handles the response to a database request, or the reason why there is none.
    pub(super) fn handle_database_response(
        &mut self,
        service: &ServiceName,
        instance: &InstanceId,
        request: DatabaseRequest,
        attempt: Attempt,
        response: &DatabaseResponse,
        now: Tick,
    ) {
        // `Connected` is an intermediate response: the final one follows.
        if *response != DatabaseResponse::Connected {
            self.database_requests.in_flight -= 1;
            self.send_database_requests();
            info!(
                target: "failover",
                "{service}: request {request:?} to database {instance} ended with {response:?}"
            );
        }
        self.step_failover(service, now, |failover, snapshot| {
            failover.handle_response(snapshot, attempt, instance, request, response, now)
        });
    }

    /// Handles the platform's response to a promotion request.
    pub(super) fn handle_promotion_response(
        &mut self,
        service: &ServiceName,
        target: &InstanceId,
        attempt: Attempt,
        response: PromotionResponse,
        now: Tick,
    ) {
        info!(
            target: "failover",
            "{service}: promotion request for {target} returned {response:?}"
        );
        self.step_failover(service, now, |failover, snapshot| {
            failover.handle_promotion_response(snapshot, attempt, target, response, now)
        });
    }
}

/// Encodes the frame that revokes all leases on `term` of a service.
fn revocation_frame(service: &ServiceName, term: DbTerm) -> Arc<[u8]> {
    encode(&Frame::Controller(ToPooler::Revoke { service: service.clone(), term }))
}
