//! The primaries of the services, and the replicas that left and may hold commits of their own.
use super::commands::CommandOutcome;
use crate::base::ids::{DbTerm, InstanceId, ServiceName};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// The number of departed replicas that are remembered for a service. As many as there are
/// synchronous replicas already rule out every choice of a new primary.
const DEPARTED_KEPT: usize = 64;

/// The primary of a service.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PrimaryRecord {
    /// The term in which it writes.
    pub term: DbTerm,
    /// The primary of that term.
    pub primary: InstanceId,
    /// The replica that was chosen as the next primary; its promotion may not have happened yet.
    /// Nothing else may be decided before this failover has ended.
    pub intent: Option<InstanceId>,
}

/// The primary of each service.
#[derive(Clone, Debug, Default, PartialEq)]
pub(super) struct Primaries {
    pub(super) by_service: BTreeMap<ServiceName, PrimaryRecord>,
}

impl Primaries {
    /// Records the primary of a term, if the term is newer than the recorded one.
    pub(super) fn set(
        &mut self,
        service: &ServiceName,
        term: DbTerm,
        primary: &InstanceId,
    ) -> CommandOutcome {
        if self.by_service.get(service).is_some_and(|record| record.term >= term) {
            return CommandOutcome::NoChange;
        }
        let record = PrimaryRecord { term, primary: primary.clone(), intent: None };
        self.by_service.insert(service.clone(), record);
        CommandOutcome::Applied
    }

    /// The record of a service, if `term` is current and no failover is under way.
    fn stable(&mut self, service: &ServiceName, term: DbTerm) -> Option<&mut PrimaryRecord> {
        let record = self.by_service.get_mut(service)?;
        (record.term == term && record.intent.is_none()).then_some(record)
    }

    /// Records the replica that is to become primary.
    pub(super) fn begin_failover(
        &mut self,
        service: &ServiceName,
        term: DbTerm,
        target: &InstanceId,
    ) -> CommandOutcome {
        match self.stable(service, term) {
            Some(record) => {
                record.intent = Some(target.clone());
                CommandOutcome::Applied
            }
            None => CommandOutcome::NoChange,
        }
    }

    /// Withdraws the decision to promote `target`.
    pub(super) fn abandon_failover(
        &mut self,
        service: &ServiceName,
        target: &InstanceId,
    ) -> CommandOutcome {
        match self.by_service.get_mut(service) {
            Some(record) if record.intent.as_ref() == Some(target) => {
                record.intent = None;
                CommandOutcome::Applied
            }
            _ => CommandOutcome::NoChange,
        }
    }

    /// Gives the primary of a term its new id; returns the old one, or none if `term` is not current
    /// or a failover is under way.
    pub(super) fn replace_id(
        &mut self,
        service: &ServiceName,
        term: DbTerm,
        primary: &InstanceId,
    ) -> Option<InstanceId> {
        let record = self.stable(service, term)?;
        Some(std::mem::replace(&mut record.primary, primary.clone()))
    }
}

/// Replicas that left with a log that may hold commits that no listed replica has, each with its
/// last heartbeat sequence number. They count like replicas that don't respond, until enough listed
/// replicas have every commit that was acknowledged before they left.
#[derive(Clone, Debug, Default, PartialEq)]
pub(super) struct DepartedReplicas {
    pub(super) by_service: BTreeMap<ServiceName, BTreeMap<InstanceId, u64>>,
}

impl DepartedReplicas {
    /// The departed replicas of a service.
    pub(super) fn of_service(&self, service: &ServiceName) -> BTreeMap<InstanceId, u64> {
        self.by_service.get(service).cloned().unwrap_or_default()
    }

    /// Remembers a replica that left.
    pub(super) fn insert(&mut self, service: ServiceName, id: &InstanceId, last: u64) {
        let departed = self.by_service.entry(service).or_default();
        departed.insert(id.clone(), last);
        if departed.len() > DEPARTED_KEPT {
            departed.pop_first();
        }
    }

    /// Forgets a replica that is listed again, or whose id is never used again. An empty set of the
    /// service stays, as it is part of the stored form.
    pub(super) fn remove(&mut self, service: &ServiceName, id: &InstanceId) {
        if let Some(departed) = self.by_service.get_mut(service) {
            departed.remove(id);
        }
    }

    /// Forgets replicas whose commits are covered by listed ones.
    pub(super) fn forget(
        &mut self,
        service: &ServiceName,
        covered: &BTreeMap<InstanceId, u64>,
    ) -> CommandOutcome {
        let Some(departed) = self.by_service.get_mut(service) else {
            return CommandOutcome::NoChange;
        };
        // A replica that was listed again in between has left with a higher sequence number.
        departed.retain(|id, last| covered.get(id) != Some(last));
        if departed.is_empty() {
            self.by_service.remove(service);
        }
        CommandOutcome::Applied
    }

    pub(super) fn is_empty(&self) -> bool {
        self.by_service.is_empty()
    }
}
