//! The primaries of the services, and departed replicas that may hold commits no other replica has.
use super::commands::CommandOutcome;
use crate::base::ids::{DbTerm, InstanceId, ServiceName};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// The number of departed replicas that are remembered for each service. Once as many have departed
/// as there are synchronous replicas, no new primary can be chosen, whatever else is remembered.
const MAX_DEPARTED_PER_SERVICE: usize = 64;

/// The primary of a service.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PrimaryRecord {
    /// The term in which it accepts writes.
    pub term: DbTerm,
    /// The primary of that term.
    pub primary: InstanceId,
    /// The replica chosen as the next primary, which may not have been promoted yet. No other
    /// promotion is decided until a new primary is recorded or the intent is abandoned.
    pub intent: Option<InstanceId>,
}

/// The primary of each service.
#[derive(Clone, Debug, Default, PartialEq)]
pub(super) struct Primaries {
    pub(super) by_service: BTreeMap<ServiceName, PrimaryRecord>,
}

impl Primaries {
    /// Records the primary of a term that is newer than the recorded one.
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

    /// The record of a service, if `term` is current and the record has no intent.
    fn stable_record(&mut self, service: &ServiceName, term: DbTerm) -> Option<&mut PrimaryRecord> {
        let record = self.by_service.get_mut(service)?;
        (record.term == term && record.intent.is_none()).then_some(record)
    }

    /// Records the decision to promote `target`.
    pub(super) fn begin_failover(
        &mut self,
        service: &ServiceName,
        term: DbTerm,
        target: &InstanceId,
    ) -> CommandOutcome {
        match self.stable_record(service, term) {
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

    /// Replaces the id of the primary of `term` and returns the old id; `None` if `term` is not
    /// current or the record has an intent.
    pub(super) fn replace_primary_id(
        &mut self,
        service: &ServiceName,
        term: DbTerm,
        primary: &InstanceId,
    ) -> Option<InstanceId> {
        let record = self.stable_record(service, term)?;
        Some(std::mem::replace(&mut record.primary, primary.clone()))
    }
}

/// Replicas removed from the directory whose logs may hold commits that no registered replica has,
/// each with its last heartbeat sequence number.
///
/// They count as unresponsive replicas until enough registered replicas have every commit that was
/// acknowledged before they departed.
#[derive(Clone, Debug, Default, PartialEq)]
pub(super) struct DepartedReplicas {
    pub(super) by_service: BTreeMap<ServiceName, BTreeMap<InstanceId, u64>>,
}

impl DepartedReplicas {
    /// The departed replicas of a service.
    pub(super) fn of_service(&self, service: &ServiceName) -> BTreeMap<InstanceId, u64> {
        self.by_service.get(service).cloned().unwrap_or_default()
    }

    /// Adds a replica whose last heartbeat had the sequence number `last_sequence`.
    pub(super) fn insert(&mut self, service: ServiceName, id: &InstanceId, last_sequence: u64) {
        let departed = self.by_service.entry(service).or_default();
        departed.insert(id.clone(), last_sequence);
        if departed.len() > MAX_DEPARTED_PER_SERVICE {
            departed.pop_first();
        }
    }

    /// Removes a replica that is registered again, or whose id is never used again. An empty map
    /// is kept for the service, as it is part of the storage format.
    pub(super) fn remove(&mut self, service: &ServiceName, id: &InstanceId) {
        if let Some(departed) = self.by_service.get_mut(service) {
            departed.remove(id);
        }
    }

    /// Forgets departed replicas, because enough registered ones have every commit that was
    /// acknowledged before they departed. `forgotten` gives each with its last heartbeat sequence
    /// number.
    pub(super) fn forget(
        &mut self,
        service: &ServiceName,
        forgotten: &BTreeMap<InstanceId, u64>,
    ) -> CommandOutcome {
        let Some(departed) = self.by_service.get_mut(service) else {
            return CommandOutcome::NoChange;
        };
        // A replica that registered again and departed again has a higher sequence number than the
        // one in the command, and stays.
        departed.retain(|id, last| forgotten.get(id) != Some(last));
        if departed.is_empty() {
            self.by_service.remove(service);
        }
        CommandOutcome::Applied
    }

    pub(super) fn is_empty(&self) -> bool {
        self.by_service.is_empty()
    }
}
