//! The directory of databases, and the databases that were removed from it lately.
use crate::base::ids::{InstanceId, ServiceName};
use crate::config::directory::Instance;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// The number of removed databases that are remembered: more than can be removed while a heartbeat
/// is in transit. A full list takes about 90 KB of a snapshot.
const REMOVED_KEPT: usize = 4096;

/// A database in the directory.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct InstanceRecord {
    /// What its newest recorded heartbeat said.
    pub instance: Instance,
    /// The sequence number of that heartbeat.
    pub sequence: u64,
}

/// The listed databases, by id and by service.
#[derive(Clone, Debug, Default, PartialEq)]
pub(super) struct InstanceDirectory {
    instances: BTreeMap<InstanceId, InstanceRecord>,
    /// The ids of `instances` by service; not stored, rebuilt when a state is read.
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

    /// All listed databases.
    pub(super) fn instances(&self) -> &BTreeMap<InstanceId, InstanceRecord> {
        &self.instances
    }

    /// The removed databases in the order of their removal, with their last sequence numbers.
    pub(super) fn removed(&self) -> &VecDeque<(InstanceId, u64)> {
        &self.removed.in_order
    }

    /// The services that have at least one listed database.
    pub(super) fn services(&self) -> impl Iterator<Item = &ServiceName> {
        self.by_service.keys()
    }

    /// The listed databases of a service.
    pub(super) fn of_service(
        &self,
        service: &ServiceName,
    ) -> impl Iterator<Item = (&InstanceId, &Instance)> {
        let ids = self.by_service.get(service).into_iter().flatten();
        ids.filter_map(|id| self.instances.get_key_value(id))
            .map(|(id, record)| (id, &record.instance))
    }

    /// Whether a heartbeat changes the directory: the database is new, or the heartbeat is newer and
    /// says something else than the recorded one. A late heartbeat of a removed database does not.
    pub(super) fn accepts(&self, id: &InstanceId, instance: &Instance, sequence: u64) -> bool {
        if self.removed.last_sequence(id).is_some_and(|last| sequence <= last) {
            return false;
        }
        match self.instances.get(id) {
            Some(record) => sequence > record.sequence && record.instance != *instance,
            None => true,
        }
    }

    /// Adds or replaces a database.
    pub(super) fn insert(&mut self, id: &InstanceId, instance: &Instance, sequence: u64) {
        self.unlist(id);
        let service = instance.target_service.clone();
        self.by_service.entry(service).or_default().insert(id.clone());
        let record = InstanceRecord { instance: instance.clone(), sequence };
        self.instances.insert(id.clone(), record);
    }

    /// Removes a database from the list, without remembering it as removed.
    pub(super) fn unlist(&mut self, id: &InstanceId) -> Option<InstanceRecord> {
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

    /// Remembers that heartbeats of this database up to `last` must not add it again.
    pub(super) fn remember_removed(&mut self, id: &InstanceId, last: u64) {
        self.removed.push(id, last);
    }
}

/// The databases that were removed lately, with their last sequence numbers: a heartbeat that arrives
/// late must not add one of them again.
#[derive(Clone, Debug, Default, PartialEq)]
struct RemovedInstances {
    in_order: VecDeque<(InstanceId, u64)>,
    /// The same by id; not stored, rebuilt when a state is read.
    by_id: BTreeMap<InstanceId, u64>,
}

impl RemovedInstances {
    fn from_stored(in_order: VecDeque<(InstanceId, u64)>) -> Self {
        // States written by older versions may name an id twice; the newest counts.
        let by_id = in_order.iter().cloned().collect();
        Self { in_order, by_id }
    }

    fn last_sequence(&self, id: &InstanceId) -> Option<u64> {
        self.by_id.get(id).copied()
    }

    fn push(&mut self, id: &InstanceId, last: u64) {
        if self.by_id.insert(id.clone(), last).is_some() {
            self.in_order.retain(|(old, _)| old != id);
        }
        self.in_order.push_back((id.clone(), last));
        if self.in_order.len() > REMOVED_KEPT
            && let Some((oldest, _)) = self.in_order.pop_front()
        {
            self.by_id.remove(&oldest);
        }
    }
}
