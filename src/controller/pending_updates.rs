//! Which services there is something new to tell of.
use crate::base::ids::ServiceName;
use std::collections::BTreeMap;

/// Which services there is something new to tell of, and since when.
#[derive(Clone, Debug, Default)]
pub struct PendingUpdates {
    newest: u64,
    /// Up to here everybody must look at all services.
    all: u64,
    order: BTreeMap<u64, ServiceName>,
    places: BTreeMap<ServiceName, u64>,
}

impl PendingUpdates {
    pub fn stir(&mut self, service: &ServiceName) {
        self.newest += 1;
        if let Some(old) = self.places.insert(service.clone(), self.newest) {
            self.order.remove(&old);
        }
        self.order.insert(self.newest, service.clone());
    }
    pub fn stir_all(&mut self) {
        self.newest += 1;
        self.all = self.newest;
    }
    pub fn newest(&self) -> u64 {
        self.newest
    }
    /// The services stirred after `told`; none if all of them may have been.
    pub fn since(&self, told: u64) -> Option<impl Iterator<Item = &ServiceName>> {
        (told >= self.all).then(|| self.order.range(told + 1..).map(|(_, name)| name))
    }
}
