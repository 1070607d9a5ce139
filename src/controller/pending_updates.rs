//! Which services have changed since a pooler was last answered.
//!
//! The leader keeps one log of changes for all poolers; each pooler's subscription remembers the
//! number up to which it was answered. A pure value: it knows no clock and no connection.
use crate::base::ids::ServiceName;
use std::collections::BTreeMap;

/// The services that changed, each once, in the order of their latest changes.
#[derive(Clone, Debug, Default)]
pub struct PendingUpdates {
    /// The number of the latest change; numbers rise by one with each.
    latest: u64,
    /// The latest change that may have concerned every service.
    latest_of_all: u64,
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
    /// Records a change that may concern every service.
    pub fn mark_all_changed(&mut self) {
        self.latest += 1;
        self.latest_of_all = self.latest;
    }
    /// The number of the latest change; one that is answered now has seen all up to it.
    pub fn latest(&self) -> u64 {
        self.latest
    }
    /// The services that changed after the change number `acknowledged`, the latest change last;
    /// none if any service may have.
    pub fn changed_since(&self, acknowledged: u64) -> Option<impl Iterator<Item = &ServiceName>> {
        (acknowledged >= self.latest_of_all)
            .then(|| self.services_by_change.range(acknowledged + 1..).map(|(_, name)| name))
    }
}
