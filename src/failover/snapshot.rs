//! The input of a failover step: the state of its service as known to the leader.

use crate::base::ids::{InstanceId, ServiceName, Term};
use crate::config::directory::Instance;
use crate::leases::acknowledged_commits::AcknowledgedCommits;
use crate::state_machine::PrimaryRecord;
use std::collections::{BTreeMap, BTreeSet};

/// The state of a service as known to the leader when a step is taken.
#[derive(Clone, Debug)]
pub struct ServiceSnapshot {
    /// The name of the service.
    pub service: ServiceName,
    /// The Raft term in which this leader was elected.
    pub raft_term: Term,
    /// The committed primary with its term, and the committed intent to replace it. `None` until
    /// the first primary is recorded.
    pub primary_record: Option<PrimaryRecord>,
    /// All registered databases of the service.
    pub databases: Vec<(InstanceId, Instance)>,
    /// Departed replicas, which may hold the only copy of a commit, each with the sequence number
    /// of its last heartbeat; see `StateMachine::departed_replicas`.
    pub departed: BTreeMap<InstanceId, u64>,
    /// The registered databases whose heartbeats arrived in time.
    pub alive: BTreeSet<InstanceId>,
    /// The number of replicas that must have received a commit before the primary acknowledges
    /// it.
    pub sync_replicas: u32,
    /// Whether no lease on the current term can be in use any more.
    pub leases_expired: bool,
    /// Whether no pooler forwards commits that the target of the current handover lacks: each one
    /// has acknowledged the handover or can't use a lease any more. Without a handover the same as
    /// `leases_expired`.
    pub all_poolers_confirmed: bool,
    /// Which commits of the current term poolers may have forwarded to clients, except those that
    /// the target of the current handover is known to have.
    pub acknowledged_commits: AcknowledgedCommits,
}

impl ServiceSnapshot {
    /// The registered database with this id.
    pub(super) fn database(&self, wanted_id: &InstanceId) -> Option<&(InstanceId, Instance)> {
        self.databases.iter().find(|(id, _)| id == wanted_id)
    }

    /// The registered databases except the primary.
    pub(super) fn replicas(&self) -> impl Iterator<Item = &(InstanceId, Instance)> {
        let primary = self.primary_record.as_ref().map(|record| record.primary.clone());
        self.databases.iter().filter(move |(id, _)| Some(id) != primary.as_ref())
    }

    /// The ids of the registered replicas.
    pub(super) fn replica_ids(&self) -> impl Iterator<Item = &InstanceId> {
        self.replicas().map(|(id, _)| id)
    }

    /// All databases besides the primary whose receipt of a commit may have let the primary
    /// acknowledge it: the registered and the departed replicas.
    pub(super) fn possible_commit_holders(&self) -> impl Iterator<Item = &InstanceId> {
        self.replica_ids().chain(self.departed.keys())
    }

    /// Whether this database is the recorded primary.
    pub(super) fn is_primary(&self, id: &InstanceId) -> bool {
        self.primary_record.as_ref().is_some_and(|record| record.primary == *id)
    }
}
