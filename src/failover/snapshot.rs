//! The input of a failover step: its service as the leader sees it.

use crate::base::ids::{InstanceId, ServiceName, Term};
use crate::config::directory::Instance;
use crate::leases::passed_on::AcknowledgedCommits;
use crate::state_machine::PrimaryRecord;
use std::collections::{BTreeMap, BTreeSet};

/// A service as the leader sees it when a step is taken.
#[derive(Clone, Debug)]
pub struct ServiceSnapshot {
    /// The name of the service.
    pub service: ServiceName,
    /// The term in which this leader was elected.
    pub raft_term: Term,
    /// The committed primary with its term, and the committed intent to replace it; none before
    /// the service has had a primary.
    pub primary_record: Option<PrimaryRecord>,
    /// Every listed database of the service.
    pub databases: Vec<(InstanceId, Instance)>,
    /// Replicas that left and may hold the only copy of a commit, each with the sequence number of
    /// its last heartbeat; see `StateMachine::departed_replicas`.
    pub departed: BTreeMap<InstanceId, u64>,
    /// The listed databases whose heartbeats came in time.
    pub alive: BTreeSet<InstanceId>,
    /// Replicas that must have received a commit before the primary acknowledges it.
    pub sync_replicas: u32,
    /// No lease on the present term can be in use any more.
    pub leases_expired: bool,
    /// No pooler passes on a commit that the target of the handover under way lacks. True without a
    /// handover if `leases_expired` is.
    pub all_confirm: bool,
    /// How far commits of the present term may have been passed on to clients; those left out that
    /// the target of the handover under way is known to have.
    pub passed_on: AcknowledgedCommits,
}

impl ServiceSnapshot {
    /// The listed database of that id.
    pub(super) fn database(&self, wanted: &InstanceId) -> Option<&(InstanceId, Instance)> {
        self.databases.iter().find(|(id, _)| id == wanted)
    }

    /// The listed databases except the primary.
    pub(super) fn replicas(&self) -> impl Iterator<Item = &(InstanceId, Instance)> {
        let primary = self.primary_record.as_ref().map(|record| record.primary.clone());
        self.databases.iter().filter(move |(id, _)| Some(id) != primary.as_ref())
    }

    /// The ids of the listed replicas.
    pub(super) fn replica_ids(&self) -> impl Iterator<Item = &InstanceId> {
        self.replicas().map(|(id, _)| id)
    }

    /// All databases, besides the primary, whose receipt may have let the primary acknowledge a
    /// commit: the listed replicas and those that left with a part of the log.
    pub(super) fn possible_holders(&self) -> impl Iterator<Item = &InstanceId> {
        self.replica_ids().chain(self.departed.keys())
    }

    /// Whether this database is the committed primary.
    pub(super) fn is_primary(&self, id: &InstanceId) -> bool {
        self.primary_record.as_ref().is_some_and(|record| record.primary == *id)
    }
}
