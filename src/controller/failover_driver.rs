//! Runs the failover of each service on the leader: hands `Failover` what happened with a snapshot
//! of the service, and carries out the actions that it returns.
use crate::base::ids::{DbTerm, InstanceId, ServiceName};
use crate::base::time::Tick;
use crate::config::settings::Rollout;
use crate::controller::core::Controller;
use crate::controller::effects::Effects;
use crate::failover::{
    Attempt, DatabaseRequest, DatabaseResponse, Failover, FailoverAction, FailoverState,
    LeaseStatus, PromotionResponse, ServiceSnapshot,
};
use crate::leases::lease_table::CoverageRule;
use crate::leases::passed_on::AcknowledgedCommits;
use crate::net::rpc::pooler_messages::{Handover, ToPooler};
use crate::net::rpc::{CHUNKS_LAYOUT, Frame, encode};
use crate::state_machine::Command;
use log::{debug, info, warn};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;

/// Requests to databases in flight at once. Each occupies a thread, and unreachable databases take
/// long to answer.
const MAX_REQUESTS_IN_FLIGHT: usize = 96;

/// Requests to databases that wait for one in flight to end.
const MAX_QUEUED_REQUESTS: usize = 4_096;

/// Heartbeat intervals without a heartbeat after which an instance no longer counts as alive.
const MISSED_HEARTBEATS: u64 = 3;

/// A request to a database, and the failover attempt that needs it.
#[derive(PartialEq)]
struct QueuedRequest {
    service: ServiceName,
    instance: InstanceId,
    request: DatabaseRequest,
    attempt: Attempt,
}

/// The requests to databases: how many are in flight, and those that wait.
#[derive(Default)]
pub(super) struct DatabaseRequests {
    in_flight: usize,
    queue: VecDeque<QueuedRequest>,
}

impl DatabaseRequests {
    /// How many wait to be sent.
    pub(super) fn queued(&self) -> usize {
        self.queue.len()
    }
    /// Drops those that wait, as this controller no longer leads.
    pub(super) fn clear_queue(&mut self) {
        self.queue.clear();
    }
    /// Adds a request. One that waits already is not added again, nor one beyond the bound: the
    /// failover that needs the answer sends it again.
    fn push(&mut self, request: QueuedRequest) {
        if self.queue.len() < MAX_QUEUED_REQUESTS && !self.queue.contains(&request) {
            self.queue.push_back(request);
        }
    }
}

impl<E: Effects> Controller<E> {
    /// What the failover of `service` decides on: the applied state, and what the leader knows of
    /// heartbeats and leases.
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
            all_confirm: false,
            passed_on: AcknowledgedCommits::default(),
            primary_record: self.state_machine.primaries().get(service).cloned(),
        };
        // Without synchronous replicas no commit relies on a departed replica.
        if snapshot.sync_replicas > 0 {
            snapshot.departed = self.state_machine.departed_replicas(service);
        }
        let Some(leader_state) = &self.leader_state else {
            return snapshot;
        };
        let patience = MISSED_HEARTBEATS * self.settings.heartbeat_ms;
        let alive = |id: &&InstanceId| {
            let last = leader_state.heartbeats.get(*id);
            last.is_some_and(|last| now.since(last.received_at) < patience)
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
            snapshot.all_confirm = leases.all_confirm_handover(service, term, handover, now);
            let newest = leader_state.watermarks.latest(service);
            let rule = match snapshot.sync_replicas {
                0 => CoverageRule::WatermarkOrTimeout,
                _ => CoverageRule::Watermark,
            };
            snapshot.passed_on =
                leases.acknowledged_commits(service, term, handover, newest, rule, now);
        }
        snapshot
    }

    /// Takes one step of the failover of `service`, and carries out the actions it returns. Does
    /// nothing unless this controller leads, and has applied what is committed or runs this
    /// failover already.
    pub(super) fn step_failover(
        &mut self,
        service: &ServiceName,
        now: Tick,
        step: impl FnOnce(&mut Failover, &ServiceSnapshot) -> Vec<FailoverAction>,
    ) {
        // The databases of a gateway are equal: none is a primary.
        if !self.raft.holds_leader_lease(now) || self.settings.rollout == Rollout::Api {
            return;
        }
        let snapshot = self.service_snapshot(service, now);
        let behind = self.applied < self.raft.commit_index;
        let Some(leader_state) = &mut self.leader_state else {
            return;
        };
        // The next entry may hold what an earlier leader decided.
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
            // A sealed position holds only for the moment it is sent in, so it is in each answer.
            match lease_status {
                LeaseStatus { revoking: true, sealed: Some(_), .. } => {
                    leader_state.sealed.insert(service.clone())
                }
                _ => leader_state.sealed.remove(service),
            };
            // A handover that was called off costs each commit a question to its target.
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

    /// Lets the failover of `service` act on the time that has passed.
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
                debug!(target: "failover", "{service}: waits until all controllers run the new version");
            }
            FailoverAction::Propose(command) => {
                self.propose(&command, now);
            }
            FailoverAction::RevokeLeases(term) => {
                let frame = revocation(service, term);
                for conn in self.poolers.keys() {
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
                let Some(provider) = &self.settings.provider else {
                    warn!(target: "failover", "no provider is set, {service} can't be moved");
                    return;
                };
                let (address, holder) = (provider.address, &self.settings.node_name);
                self.effects.request_promotion(address, holder, service, &target, attempt);
            }
        }
    }

    /// Tells all poolers that the service is handed over. One of an older version, which doesn't know
    /// handovers, has its lease revoked for as long as that lasts.
    fn announce_handover(&mut self, service: &ServiceName, handover: Handover, now: Tick) {
        let Some(leader_state) = &mut self.leader_state else { return };
        let revoke = revocation(service, handover.term);
        let message = ToPooler::HandOver { service: service.clone(), handover: handover.clone() };
        let hand_over = encode(&Frame::Controller(message));
        for (conn, subscriber) in &self.poolers {
            if subscriber.knows_handovers() {
                leader_state.leases.record_handover(&subscriber.node, service, &handover);
                // Behind the grants that are queued, so that none of them ends it.
                self.effects.send(*conn, hand_over.clone());
            } else {
                self.effects.send_first(*conn, revoke.clone());
            }
        }
        self.flush_connections(now);
    }

    /// Sends queued requests up to the bound of those in flight.
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
            // Without a thread it is not sent; the failover that needs the answer retries.
            self.database_requests.in_flight += usize::from(started);
        }
    }

    /// Handles what came of a request to a database.
    pub(super) fn handle_database_response(
        &mut self,
        service: &ServiceName,
        instance: &InstanceId,
        request: DatabaseRequest,
        attempt: Attempt,
        response: &DatabaseResponse,
        now: Tick,
    ) {
        // `Connected` is not the end of a request: another response follows.
        if *response != DatabaseResponse::Connected {
            self.database_requests.in_flight -= 1;
            self.send_database_requests();
            info!(target: "failover", "{service}: {instance} on {request:?}: {response:?}");
        }
        self.step_failover(service, now, |failover, snapshot| {
            failover.handle_response(snapshot, attempt, instance, request, response, now)
        });
    }

    /// Handles the platform's answer to a promotion.
    pub(super) fn handle_promotion_response(
        &mut self,
        service: &ServiceName,
        target: &InstanceId,
        attempt: Attempt,
        response: PromotionResponse,
        now: Tick,
    ) {
        info!(target: "failover", "{service}: promote of {target}: {response:?}");
        self.step_failover(service, now, |failover, snapshot| {
            failover.handle_promotion_response(snapshot, attempt, target, response, now)
        });
    }
}

/// The frame that revokes the leases on this term of a service.
fn revocation(service: &ServiceName, term: DbTerm) -> Arc<[u8]> {
    encode(&Frame::Controller(ToPooler::Revoke { service: service.clone(), term }))
}
