//! The directory of registered databases, and the databases that were recently removed from it.
use crate::base::ids::{InstanceId, ServiceName};
use crate::config::directory::Instance;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// The number of removed databases that are remembered: more than can be removed while a heartbeat
/// is in flight. A full list takes about 90 KB of a snapshot.
const MAX_REMOVED_INSTANCES: usize = 4096;

/// A database registered in the directory.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct InstanceRecord {
    /// The properties that its newest recorded heartbeat reported.
    pub instance: Instance,
    /// The sequence number of that heartbeat.
    pub sequence: u64,
}

/// The registered databases, indexed by id and by service.
#[derive(Clone, Debug, Default, PartialEq)]
pub(super) struct InstanceDirectory {
    instances: BTreeMap<InstanceId, InstanceRecord>,
    /// The ids of `instances` by service; not stored, rebuilt when a state is decoded.
    by_service: BTreeMap<ServiceName, BTreeSet<InstanceId>>,
    removed: RemovedInstances,
}

impl InstanceDirectory {
    /// Rebuilds the directory from its stored parts.
    pub(super) fn from_stored(
        instances: BTreeMap<InstanceId, InstanceRecord>,
        removed: VecDeque<(InstanceId, u64)>,
    ) -> Self {
        let mut by_service: BTreeMap<ServiceName, BTreeSet<InstanceId>> = BTreeMap::new();
        for (id, record) in &instances {
            let service = record.instance.target_service.clone();
            by_service.entry(service).or_default().insert(id.clone());
        }
        Self { instances, by_service, removed: RemovedInstances::from_stored(removed) }
    }

    /// All registered databases.
    pub(super) fn instances(&self) -> &BTreeMap<InstanceId, InstanceRecord> {
        &self.instances
    }

    /// The removed databases in order of removal, each with its last sequence number.
    pub(super) fn removed(&self) -> &VecDeque<(InstanceId, u64)> {
        &self.removed.in_order
    }

    /// The services that have at least one registered database.
    pub(super) fn services(&self) -> impl Iterator<Item = &ServiceName> {
        self.by_service.keys()
    }

    /// The registered databases of a service.
    pub(super) fn of_service(
        &self,
        service: &ServiceName,
    ) -> impl Iterator<Item = (&InstanceId, &Instance)> {
        let ids = self.by_service.get(service).into_iter().flatten();
        ids.filter_map(|id| self.instances.get_key_value(id))
            .map(|(id, record)| (id, &record.instance))
    }

    /// Whether a heartbeat changes the directory: the database is new, or the heartbeat is newer
    /// than the recorded one and differs from it. A delayed heartbeat of a removed database
    /// doesn't.
    pub(super) fn accepts(&self, id: &InstanceId, instance: &Instance, sequence: u64) -> bool {
        if self.removed.last_sequence(id).is_some_and(|last_sequence| sequence <= last_sequence) {
            return false;
        }
        match self.instances.get(id) {
            Some(record) => sequence > record.sequence && record.instance != *instance,
            None => true,
        }
    }

    /// Adds or replaces a database.
    pub(super) fn insert(&mut self, id: &InstanceId, instance: &Instance, sequence: u64) {
        self.remove(id);
        let service = instance.target_service.clone();
        self.by_service.entry(service).or_default().insert(id.clone());
        let record = InstanceRecord { instance: instance.clone(), sequence };
        self.instances.insert(id.clone(), record);
    }

    /// Removes a database, without [remembering it as removed](Self::remember_removed).
    pub(super) fn remove(&mut self, id: &InstanceId) -> Option<InstanceRecord> {
        let record = self.instances.remove(id)?;
        let service = &record.instance.target_service;
        if let Some(ids) = self.by_service.get_mut(service) {
            ids.remove(id);
            if ids.is_empty() {
                self.by_service.remove(service);
            }
        }
        Some(record)
    }

    /// Remembers a removed database: its heartbeats up to sequence number `last_sequence` are
    /// ignored.
    pub(super) fn remember_removed(&mut self, id: &InstanceId, last_sequence: u64) {
        self.removed.push(id, last_sequence);
    }
}

/// The recently removed databases with their last sequence numbers, so that a delayed heartbeat
/// does not add one of them again.
#[derive(Clone, Debug, Default, PartialEq)]
struct RemovedInstances {
    in_order: VecDeque<(InstanceId, u64)>,
    /// The same entries by id; not stored, rebuilt when a state is decoded.
    by_id: BTreeMap<InstanceId, u64>,
}

impl RemovedInstances {
    fn from_stored(in_order: VecDeque<(InstanceId, u64)>) -> Self {
        // States written by older versions may contain an id twice; the last entry applies.
        let by_id = in_order.iter().cloned().collect();
        Self { in_order, by_id }
    }

    fn last_sequence(&self, id: &InstanceId) -> Option<u64> {
        self.by_id.get(id).copied()
    }

    fn push(&mut self, id: &InstanceId, last_sequence: u64) {
        if self.by_id.insert(id.clone(), last_sequence).is_some() {
            self.in_order.retain(|(old, _)| old != id);
        }
        self.in_order.push_back((id.clone(), last_sequence));
        if self.in_order.len() > MAX_REMOVED_INSTANCES
            && let Some((oldest, _)) = self.in_order.pop_front()
        {
            self.by_id.remove(&oldest);
        }
    }
}
