//! The leader's volatile state, built when this controller wins an election and dropped when its
//! leadership ends. The leader's periodic work is also here; `Controller` runs it in each step.
use crate::base::ids::{InstanceId, ServiceName};
use crate::base::time::Tick;
use crate::controller::core::Controller;
use crate::controller::effects::Effects;
use crate::controller::heartbeats::LastHeartbeat;
use crate::controller::pending_updates::PendingUpdates;
use crate::failover::Failover;
use crate::leases::lease_table::LeaseTable;
use crate::leases::operation_grants::OperationGrants;
use crate::leases::subset_assignments::SubsetAssignments;
use crate::leases::watermarks::ReplicationWatermarks;
use crate::net::http::Response;
use crate::net::rpc::raft_messages::Member;
use crate::state_machine::StateMachine;
use log::info;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

/// Milliseconds between two checks of all services. Active services are checked in each step.
const SWEEP_INTERVAL_MS: u64 = 100;

/// The state that only the leader keeps and that is dropped when its leadership ends.
pub(super) struct LeaderState {
    /// Leases and connection quotas granted to poolers and gateways.
    pub(super) leases: LeaseTable,
    /// The latest heartbeat of each instance.
    pub(super) heartbeats: BTreeMap<InstanceId, LastHeartbeat>,
    /// The failover of each service that has been checked since the election.
    pub(super) failovers: BTreeMap<ServiceName, Failover>,
    /// Services whose failover is not steady or has just returned actions. They are checked in
    /// each step.
    pub(super) active_services: BTreeSet<ServiceName>,
    /// When all services were last checked.
    last_sweep_at: Tick,
    /// Services whose lease grants changed and have to be sent with the next renewal response.
    pub(super) pending_updates: PendingUpdates,
    /// Services with a sealed position. Each renewal response includes them.
    pub(super) sealed: BTreeSet<ServiceName>,
    /// Replication watermarks, from the positions that poolers observed at primaries.
    pub(super) watermarks: ReplicationWatermarks,
    /// The operations of tenants granted to poolers and gateways.
    pub(super) operation_grants: OperationGrants,
    /// The subset of each service's endpoints assigned to each gateway.
    pub(super) subset_assignments: SubsetAssignments,
    /// Whether all leases and quotas granted before the election have expired.
    earlier_quotas_expired: bool,
}

impl LeaderState {
    /// Creates the state of a newly elected leader. Each known instance counts as having sent a
    /// heartbeat at `now`.
    fn new(state_machine: &StateMachine, now: Tick) -> Self {
        let instances = state_machine.instances().iter();
        let heartbeat_now = |sequence| LastHeartbeat { received_at: now, sequence };
        Self {
            leases: LeaseTable::new(now),
            heartbeats: instances.map(|(id, r)| (id.clone(), heartbeat_now(r.sequence))).collect(),
            failovers: BTreeMap::new(),
            active_services: BTreeSet::new(),
            last_sweep_at: Tick(0),
            pending_updates: PendingUpdates::default(),
            sealed: BTreeSet::new(),
            watermarks: ReplicationWatermarks::default(),
            operation_grants: OperationGrants::new(now),
            subset_assignments: SubsetAssignments::new(now),
            earlier_quotas_expired: false,
        }
    }

    /// Rebalances the endpoint subsets and drops expired leases. If that frees connection quota,
    /// the next response to each node includes all services.
    fn refresh_leases(&mut self, now: Tick) {
        self.last_sweep_at = now;
        self.subset_assignments.rebalance(|node| self.leases.poolers.contains_key(node), now);
        let expired = self.leases.knows_all_quotas(now);
        if self.leases.expire_disconnected(now) || expired != self.earlier_quotas_expired {
            self.earlier_quotas_expired = expired;
            self.pending_updates.mark_all_changed();
        }
    }
}

/// The network addresses of the leader.
#[derive(Clone, Copy)]
pub(super) struct LeaderAddress {
    /// Peer address, for controllers, poolers and gateways.
    pub(super) peer: SocketAddr,
    /// Admin address, for operators and databases.
    pub(super) admin: SocketAddr,
}

impl<E: Effects> Controller<E> {
    /// Creates or drops the leader's state when this controller gains or loses leadership.
    pub(super) fn update_leadership(&mut self, now: Tick) {
        if self.logged_leader != self.raft.leader {
            self.logged_leader = self.raft.leader;
            match self.leader() {
                Some(m) => info!(target: "raft", "{} leads term {}", m.node, self.raft.state.term),
                None => info!(target: "raft", "no leader in term {}", self.raft.state.term),
            }
        }
        match (self.raft.is_leader(), self.leader_state.is_some()) {
            (true, false) => self.leader_state = Some(LeaderState::new(&self.state_machine, now)),
            (false, true) => self.drop_leader_state(),
            _ => {}
        }
    }

    fn drop_leader_state(&mut self) {
        self.leader_state = None;
        self.database_requests.clear_queue();
        self.directory_updates.clear();
        for reply in self.pending_proposals.drain() {
            // The command may still be committed by another leader; the caller finds out by
            // retrying.
            drop(reply.try_send(Response::error(503, "no longer the leader")));
        }
        for (conn, _) in std::mem::take(&mut self.subscribers) {
            self.send_not_leader(conn);
        }
    }

    /// Returns the addresses of the leader, if known.
    pub(super) fn leader_address(&self) -> Option<LeaderAddress> {
        let observed = || {
            let peer = self.join.observed_leader?;
            let admin = SocketAddr::new(peer.ip(), self.settings.listeners.admin?.port());
            Some(LeaderAddress { peer, admin })
        };
        let listed = self.leader().map(|m| LeaderAddress { peer: m.peer, admin: m.admin });
        listed.or_else(observed)
    }

    /// Returns the leader, if it is in this controller's member list.
    pub(super) fn leader(&self) -> Option<&Member> {
        let id = self.raft.leader?;
        self.raft.members().iter().find(|m| m.id == id)
    }

    /// Performs the periodic work: answers confirmed reads and deferred `Hello` messages and
    /// joins the Raft group. The leader also changes the membership and checks services and
    /// instances.
    pub(super) fn run_periodic_work(&mut self, now: Tick) {
        self.answer_confirmed_reads(now);
        self.request_membership(now);
        self.handle_deferred_hellos(now);
        if !self.raft.holds_leader_lease(now) {
            return;
        }
        self.propose_membership_change(now);
        let Some(leader_state) = &mut self.leader_state else {
            return;
        };
        if now.since(leader_state.last_sweep_at) < SWEEP_INTERVAL_MS {
            let active: Vec<ServiceName> = leader_state.active_services.iter().cloned().collect();
            for service in active {
                self.tick_failover(&service, now);
            }
            return;
        }
        leader_state.refresh_leases(now);
        let known_services = self
            .state_machine
            .services_with_instances()
            .chain(self.state_machine.primaries().keys());
        let services: BTreeSet<ServiceName> = known_services.cloned().collect();
        for service in services {
            self.tick_failover(&service, now);
        }
        self.remove_expired_instances(now);
    }
}
