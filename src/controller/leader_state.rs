//! What only the leader keeps.
use crate::base::ids::{InstanceId, ServiceName};
use crate::base::time::Tick;
use crate::controller::core::Controller;
use crate::controller::effects::Effects;
use crate::controller::heartbeats::FORGOTTEN_MS;
use crate::controller::membership::JOIN_KEPT_MS;
use crate::controller::pending_updates::PendingUpdates;
use crate::failover::Failover;
use crate::leases::lease_table::{LeaseTable, SHARE_HELD_MS};
use crate::leases::subset_assignments::SubsetAssignments;
use crate::leases::watermarks::ReplicationWatermarks;
use crate::net::http::Response;
use crate::net::rpc::Frame;
use crate::net::rpc::pooler_messages::ToPooler;
use crate::net::rpc::raft_messages::{EntryPayload, Member};
use crate::state_machine::Command;
use log::info;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

/// What only the leader keeps, and forgets when it no longer leads.
pub(super) struct LeaderState {
    pub(super) leases: LeaseTable,
    /// When each database was last heard of, and its newest sequence.
    pub(super) heartbeats: BTreeMap<InstanceId, (Tick, u64)>,
    pub(super) failovers: BTreeMap<ServiceName, Failover>,
    /// Services that something happened to, or that are on their way to another primary: these are
    /// looked at in every round. All are, now and then.
    pub(super) stirred: BTreeSet<ServiceName>,
    pub(super) swept: Tick,
    pub(super) pending_updates: PendingUpdates,
    pub(super) sealed: BTreeSet<ServiceName>,
    pub(super) watermarks: ReplicationWatermarks,
    pub(super) subset_assignments: SubsetAssignments,
    /// Leases and shares of before the election are over.
    pub(super) settled: bool,
}

/// How often all services are looked at; those that something happens to are at once.
const SWEEP_MS: u64 = 100;

impl<E: Effects> Controller<E> {
    pub(super) fn change_leader_state(&mut self, now: Tick) {
        if self.known_leader != self.raft.leader {
            self.known_leader = self.raft.leader;
            match self.leader() {
                Some(m) => {
                    info!(target: "raft", "{} leads term {}", m.node, self.raft.state.term)
                }
                None => info!(target: "raft", "no leader in term {}", self.raft.state.term),
            }
        }
        match (self.raft.is_leader(), self.leader_state.is_some()) {
            (true, false) => {
                let heartbeats = self.state_machine.instances.iter();
                self.leader_state = Some(LeaderState {
                    leases: LeaseTable::new(now),
                    heartbeats: heartbeats.map(|(id, r)| (id.clone(), (now, r.sequence))).collect(),
                    failovers: BTreeMap::new(),
                    stirred: BTreeSet::new(),
                    swept: Tick(0),
                    pending_updates: PendingUpdates::default(),
                    sealed: BTreeSet::new(),
                    watermarks: ReplicationWatermarks::default(),
                    subset_assignments: SubsetAssignments::new(now),
                    settled: false,
                });
            }
            (false, true) => {
                self.leader_state = None;
                self.questions.clear();
                self.moved.clear();
                self.moved_since = None;
                for reply in self.proposed.give_up() {
                    // Whether it will be in force is not known here; asked again it shows.
                    drop(reply.try_send(Response::refusal(503, "no longer the leader")));
                }
                let elsewhere =
                    Frame::Controller(ToPooler::NotLeader(self.leads_at().map(|l| l.0)));
                for (conn, _) in std::mem::take(&mut self.poolers) {
                    self.send_conn(conn, &elsewhere);
                }
            }
            _ => {}
        }
    }

    /// Where peers and callers find the leader.
    pub(super) fn leads_at(&self) -> Option<(SocketAddr, SocketAddr)> {
        let admin = self.settings.listeners.admin;
        let pointed = || Some((self.pointed?, SocketAddr::new(self.pointed?.ip(), admin?.port())));
        self.leader().map(|m| (m.peer, m.admin)).or_else(pointed)
    }
    pub(super) fn leader(&self) -> Option<&Member> {
        let id = self.raft.leader?;
        self.raft.members().iter().find(|m| m.id == id)
    }

    /// Compares what is wanted with what is, and acts on the difference.
    pub(super) fn reconcile(&mut self, now: Tick) {
        self.answer_reads(now);
        self.ask_to_join(now);
        if !self.early.is_empty()
            && (self.leader_state.is_none() || self.raft.holds_leader_lease(now))
        {
            for (conn, message) in std::mem::take(&mut self.early) {
                self.handle_pooler_message(conn, message, now);
            }
        }
        if !self.raft.holds_leader_lease(now) {
            return;
        }
        self.joining.retain(|_, (_, asked)| now.since(*asked) < JOIN_KEPT_MS);
        let (tolerated, silent) = (self.settings.tolerated(), self.settings.given_up_ms());
        let joining = self.joining.values().map(|(member, _)| member);
        if let Some(members) = self.raft.next_membership_change(joining, tolerated, silent, now) {
            self.raft.propose(EntryPayload::Membership(members), now);
        }
        let Some(leader_state) = &mut self.leader_state else {
            return;
        };
        let sweep = now.since(leader_state.swept) >= SWEEP_MS;
        if !sweep {
            let stirred: Vec<ServiceName> = leader_state.stirred.iter().cloned().collect();
            for service in stirred {
                self.move_on(&service, now, |s, snapshot| s.tick(snapshot, now));
            }
            return;
        }
        leader_state.swept = now;
        leader_state
            .subset_assignments
            .divide(|node| leader_state.leases.seats.contains_key(node), now);
        let settled = now.since(leader_state.leases.elected) >= SHARE_HELD_MS;
        if leader_state.leases.forget_old(now) || settled != leader_state.settled {
            leader_state.settled = settled;
            leader_state.pending_updates.stir_all();
        }
        let known = self.state_machine.by_service.keys().chain(self.state_machine.leads.keys());
        let services: BTreeSet<ServiceName> = known.cloned().collect();
        for service in services {
            self.move_on(&service, now, |s, snapshot| s.tick(snapshot, now));
        }
        let forgotten: Vec<InstanceId> = match &self.leader_state {
            Some(leader_state) => leader_state
                .heartbeats
                .iter()
                .filter(|(id, (at, _))| {
                    now.since(*at) > FORGOTTEN_MS
                        && self.state_machine.instances.contains_key(*id)
                        && !self.state_machine.leads.values().any(|l| l.primary == **id)
                })
                .map(|(id, _)| id.clone())
                .collect(),
            None => Vec::new(),
        };
        for id in forgotten {
            if let Some(leader_state) = &mut self.leader_state {
                leader_state.heartbeats.remove(&id);
            }
            self.propose(&Command::RemoveInstance { id, sequence: 0 }, now);
        }
    }
}
