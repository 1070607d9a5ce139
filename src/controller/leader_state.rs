//! What only the leader keeps: it is built when an election is won and dropped when leadership
//! ends. The leader's periodic work is here too; `Controller` calls it in each step.
use crate::base::ids::{InstanceId, ServiceName};
use crate::base::time::Tick;
use crate::controller::core::Controller;
use crate::controller::effects::Effects;
use crate::controller::heartbeats::LastHeartbeat;
use crate::controller::pending_updates::PendingUpdates;
use crate::failover::Failover;
use crate::leases::lease_table::LeaseTable;
use crate::leases::subset_assignments::SubsetAssignments;
use crate::leases::watermarks::ReplicationWatermarks;
use crate::net::http::Response;
use crate::net::rpc::raft_messages::Member;
use crate::state_machine::StateMachine;
use log::info;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

/// Milliseconds between two checks of all services; active services are checked in each step.
const SWEEP_INTERVAL_MS: u64 = 100;

/// What only the leader keeps, and drops when it no longer leads.
pub(super) struct LeaderState {
    /// The leases of poolers and their quota shares.
    pub(super) leases: LeaseTable,
    /// The newest heartbeat of each instance.
    pub(super) heartbeats: BTreeMap<InstanceId, LastHeartbeat>,
    /// The failover of each service that has been checked since the election.
    pub(super) failovers: BTreeMap<ServiceName, Failover>,
    /// Services whose failover is not steady or has just acted: they are checked in each step.
    pub(super) active_services: BTreeSet<ServiceName>,
    /// When all services were last checked.
    swept_at: Tick,
    /// Services whose lease grants changed, for the next answer to each pooler.
    pub(super) pending_updates: PendingUpdates,
    /// Services with a sealed position: they are part of each answer.
    pub(super) sealed: BTreeSet<ServiceName>,
    /// Replication positions that poolers observed.
    pub(super) watermarks: ReplicationWatermarks,
    /// The subset of each service's endpoints that a gateway uses.
    pub(super) subset_assignments: SubsetAssignments,
    /// Whether all leases and quota shares from before the election have expired.
    earlier_shares_expired: bool,
}

impl LeaderState {
    /// The state right after the election: each known instance counts as heard of now.
    fn new(state_machine: &StateMachine, now: Tick) -> Self {
        let instances = state_machine.instances().iter();
        let heard = |sequence| LastHeartbeat { received_at: now, sequence };
        Self {
            leases: LeaseTable::new(now),
            heartbeats: instances.map(|(id, r)| (id.clone(), heard(r.sequence))).collect(),
            failovers: BTreeMap::new(),
            active_services: BTreeSet::new(),
            swept_at: Tick(0),
            pending_updates: PendingUpdates::default(),
            sealed: BTreeSet::new(),
            watermarks: ReplicationWatermarks::default(),
            subset_assignments: SubsetAssignments::new(now),
            earlier_shares_expired: false,
        }
    }

    /// Assigns subsets anew and drops expired leases. If quota shares become free by this, all
    /// services are due in the next answer to each pooler.
    fn refresh_leases(&mut self, now: Tick) {
        self.swept_at = now;
        self.subset_assignments.rebalance(|node| self.leases.poolers.contains_key(node), now);
        let expired = self.leases.knows_all_quotas(now);
        if self.leases.expire_disconnected(now) || expired != self.earlier_shares_expired {
            self.earlier_shares_expired = expired;
            self.pending_updates.mark_all_changed();
        }
    }
}

/// Where the leader is reached.
#[derive(Clone, Copy)]
pub(super) struct LeaderAddress {
    /// Its peer port: controllers and nodes connect there.
    pub(super) peer: SocketAddr,
    /// Its admin address: operators and databases call there.
    pub(super) admin: SocketAddr,
}

impl<E: Effects> Controller<E> {
    /// Builds or drops the leader's state when this controller wins or loses leadership.
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
        for reply in self.proposed.drain() {
            // Whether the command will be committed is unknown here; a retry of the caller shows.
            drop(reply.try_send(Response::error(503, "no longer the leader")));
        }
        for (conn, _) in std::mem::take(&mut self.poolers) {
            self.send_not_leader(conn);
        }
    }

    /// Where other controllers, nodes and callers reach the leader, as far as it is known.
    pub(super) fn leader_address(&self) -> Option<LeaderAddress> {
        let observed = || {
            let peer = self.join.observed_leader?;
            let admin = SocketAddr::new(peer.ip(), self.settings.listeners.admin?.port());
            Some(LeaderAddress { peer, admin })
        };
        let listed = self.leader().map(|m| LeaderAddress { peer: m.peer, admin: m.admin });
        listed.or_else(observed)
    }

    /// The leader, if it is one of the members known here.
    pub(super) fn leader(&self) -> Option<&Member> {
        let id = self.raft.leader?;
        self.raft.members().iter().find(|m| m.id == id)
    }

    /// The periodic work: answers reads and deferred greetings, joins the Raft group, and as the
    /// leader changes the membership and checks services and instances.
    pub(super) fn run_periodic_work(&mut self, now: Tick) {
        self.answer_confirmed_reads(now);
        self.request_membership(now);
        self.handle_deferred_greetings(now);
        if !self.raft.holds_leader_lease(now) {
            return;
        }
        self.propose_membership_change(now);
        let Some(leader_state) = &mut self.leader_state else {
            return;
        };
        if now.since(leader_state.swept_at) < SWEEP_INTERVAL_MS {
            let active: Vec<ServiceName> = leader_state.active_services.iter().cloned().collect();
            for service in active {
                self.tick_failover(&service, now);
            }
            return;
        }
        leader_state.refresh_leases(now);
        let known = self
            .state_machine
            .services_with_instances()
            .chain(self.state_machine.primaries().keys());
        let services: BTreeSet<ServiceName> = known.cloned().collect();
        for service in services {
            self.tick_failover(&service, now);
        }
        self.remove_silent_instances(now);
    }
}
