//! Runs the failover of each service.
use crate::base::ids::{InstanceId, ServiceName};
use crate::base::time::Tick;
use crate::config::settings::Rollout;
use crate::controller::core::Controller;
use crate::controller::effects::Effects;
use crate::failover::{
    Attempt, Failover, FailoverAction, FailoverState, LeaseStatus, ServiceSnapshot,
};
use crate::net::rpc::pooler_messages::ToPooler;
use crate::net::rpc::{Frame, LAYOUT, encode};
use crate::state_machine::Command;
use log::{debug, info, warn};
use std::collections::{BTreeMap, BTreeSet};

/// Questions to databases under way at once, and waiting.
const MAX_ASKS: usize = 96;

const QUESTIONS_WAITING: usize = 4_096;

/// A database whose heartbeats miss this many intervals is doubted.
const MISSED_BEATS: u64 = 3;

impl<E: Effects> Controller<E> {
    pub(super) fn snapshot(&self, service: &ServiceName, now: Tick) -> ServiceSnapshot {
        let primary_record = self.state_machine.leads.get(service).cloned();
        let patience = MISSED_BEATS * self.settings.heartbeat_ms;
        let mut snapshot = ServiceSnapshot {
            service: service.clone(),
            raft_term: self.raft.state.term,
            databases: self
                .state_machine
                .of_service(service)
                .map(|(id, i)| (id.clone(), i.clone()))
                .collect(),
            departed: BTreeMap::new(),
            alive: BTreeSet::new(),
            sync_replicas: self.services.get(service).map_or(0, |s| s.sync_replicas),
            leases_expired: false,
            released_up_to: None,
            primary_record,
        };
        // Without synchronous replicas no copy is counted on.
        if snapshot.sync_replicas > 0 {
            snapshot.departed = self.state_machine.departed(service);
        }
        if let Some(leader_state) = &self.leader_state {
            let heartbeats = |id: &&InstanceId| {
                leader_state.heartbeats.get(*id).is_some_and(|(at, _)| now.since(*at) < patience)
            };
            snapshot.alive =
                snapshot.databases.iter().map(|(id, _)| id).filter(heartbeats).cloned().collect();
            let steady = |s: &Failover| s.state == FailoverState::Steady;
            if let Some(lead) = &snapshot.primary_record
                && !leader_state.failovers.get(service).is_some_and(steady)
            {
                snapshot.leases_expired = leader_state.leases.gone(service, lead.term, now);
                let (seen, trusting) =
                    (leader_state.watermarks.newest(service), snapshot.sync_replicas == 0);
                snapshot.released_up_to =
                    leader_state.leases.given_back(service, lead.term, seen, trusting, now);
            }
        }
        snapshot
    }

    /// Takes one step of a service's failover and carries out what it asks for.
    pub(super) fn move_on(
        &mut self,
        service: &ServiceName,
        now: Tick,
        step: impl FnOnce(&mut Failover, &ServiceSnapshot) -> Vec<FailoverAction>,
    ) {
        // The databases of a gateway are alike: none of them leads.
        if !self.raft.holds_leader_lease(now) || self.settings.rollout == Rollout::Api {
            return;
        }
        let snapshot = self.snapshot(service, now);
        let behind = self.applied < self.raft.commit_index;
        let Some(leader_state) = &mut self.leader_state else {
            return;
        };
        // What an earlier leader decided may stand in the next entry.
        if behind && !leader_state.failovers.contains_key(service) {
            return;
        }
        let mut actions = Vec::new();
        let known = leader_state.failovers.get(service).map(Failover::lease_status);
        let failover = leader_state.failovers.entry(service.clone()).or_insert_with(|| {
            let (begun, first) = Failover::begin(&snapshot, now);
            actions = first;
            begun
        });
        let before = std::mem::discriminant(&failover.state);
        actions.extend(step(failover, &snapshot));
        let lease_status = failover.lease_status();
        if known != Some(lease_status) {
            leader_state.pending_updates.stir(service);
            // A sealed position is true for the moment it is told in, so it is told each time.
            match lease_status {
                LeaseStatus { revoking: true, sealed: Some(_) } => {
                    leader_state.sealed.insert(service.clone())
                }
                _ => leader_state.sealed.remove(service),
            };
        }
        let stirs = failover.state != FailoverState::Steady || !actions.is_empty();
        match stirs {
            true => leader_state.stirred.insert(service.clone()),
            false => leader_state.stirred.remove(service),
        };
        if before != std::mem::discriminant(&failover.state) {
            info!(target: "failover", "{service}: now {}", failover.state.status_text());
        }
        let attempt = failover.attempt;
        for action in actions {
            self.carry_out(service, action, attempt, now);
        }
    }

    pub(super) fn carry_out(
        &mut self,
        service: &ServiceName,
        action: FailoverAction,
        attempt: Attempt,
        now: Tick,
    ) {
        match action {
            FailoverAction::Propose(
                Command::ForgetDeparted { .. } | Command::PrimaryReturned { .. },
            ) if !self.raft.all_peers_read_layout(LAYOUT) => {
                debug!(target: "failover", "{service}: waits until all controllers are exchanged");
            }
            FailoverAction::Propose(change) => {
                self.propose(&change, now);
            }
            FailoverAction::RevokeLeases(term) => {
                // Ahead of whatever waits.
                let frame =
                    encode(&Frame::Controller(ToPooler::Revoke { service: service.clone(), term }));
                for conn in self.poolers.keys() {
                    self.effects.send_first(*conn, frame.clone());
                }
                self.pump(now);
            }
            FailoverAction::SendRequest(id, ask) => {
                // The same question twice is one; beyond the bound whoever needs it asks again.
                let question = (service.clone(), id, ask, attempt);
                if self.questions.len() < QUESTIONS_WAITING && !self.questions.contains(&question) {
                    self.questions.push_back(question);
                }
                self.ask_on();
            }
            FailoverAction::Promote(target) => {
                let Some(provider) = &self.settings.provider else {
                    warn!(target: "failover", "no provider is set, {service} can't be moved");
                    return;
                };
                let (at, holder) = (provider.address, &self.settings.node_name);
                self.effects.post_failover(at, holder, service, &target, attempt);
            }
        }
    }

    /// Asks databases what waits to be asked, so many at a time: dark ones take long to answer.
    pub(super) fn ask_on(&mut self) {
        while self.asking < MAX_ASKS
            && let Some((service, id, ask, attempt)) = self.questions.pop_front()
        {
            let Some(record) = self.state_machine.instances.get(&id) else {
                continue;
            };
            let address = record.instance.address;
            let started = self.effects.ask_database(&service, &id, address, ask, attempt);
            // Without a thread it is not asked; whoever needs the answer asks again.
            self.asking += usize::from(started);
        }
    }
}
