//! Tracks which services have changed since the last response to each node.
//!
//! The leader keeps one change log for all nodes, and each node's subscription stores the number of
//! the last change that was sent. This type uses neither a clock nor connections.
use crate::base::ids::ServiceName;
use std::collections::BTreeMap;

/// The changed services, each listed once, in the order of their latest change.
#[derive(Clone, Debug, Default)]
pub struct PendingUpdates {
    /// Number of the latest change. It increases by one with each change.
    latest: u64,
    /// Number of the latest change that may affect every service.
    latest_full_change: u64,
    services_by_change: BTreeMap<u64, ServiceName>,
    changes_by_service: BTreeMap<ServiceName, u64>,
}

impl PendingUpdates {
    /// Records a change of one service.
    pub fn mark_changed(&mut self, service: &ServiceName) {
        self.latest += 1;
        if let Some(previous) = self.changes_by_service.insert(service.clone(), self.latest) {
            self.services_by_change.remove(&previous);
        }
        self.services_by_change.insert(self.latest, service.clone());
    }
    /// Records a change that may affect every service.
    pub fn mark_all_changed(&mut self) {
        self.latest += 1;
        self.latest_full_change = self.latest;
    }
    /// Returns the number of the latest change. A response sent now includes all changes up to it.
    pub fn latest(&self) -> u64 {
        self.latest
    }
    /// Returns the services that changed after change number `last_sent`, the latest change last.
    /// Returns `None` if every service may have changed.
    pub fn changed_since(&self, last_sent: u64) -> Option<impl Iterator<Item = &ServiceName>> {
        (last_sent >= self.latest_full_change)
            .then(|| self.services_by_change.range(last_sent + 1..).map(|(_, name)| name))
    }
}
