//! Connection quotas: how many connections each pooler may have to each database of a service.
//!
//! The connections that a database allows are divided into equal shares for the connected poolers.
//! The remainder of the division is granted temporarily to poolers whose sessions wait for a
//! connection. Connections that a pooler may still have open are never granted to another one: a
//! quota grows only as others shrink.
use super::lease_table::{LeaseTable, PoolerLeases};
use crate::base::ids::{NodeName, ServiceName};
use crate::base::time::Tick;
use std::collections::{BTreeMap, BTreeSet};

/// How long the quota of a disconnected pooler still counts, in milliseconds: a database closes a
/// connection after 3 s without a response from the other end. For the same time after its
/// election, a leader may not know of every pooler that has a quota.
pub(crate) const DISCONNECTED_QUOTA_RETENTION_MS: u64 = 4_500;

/// The quota that a new leader may grant even if no pooler has reported one yet.
const INITIAL_QUOTA: u32 = 4;

/// How long a request for more connections than the equal share lasts, in milliseconds. The extra
/// connections are withdrawn if the pooler doesn't repeat its request within this time.
const QUOTA_REQUEST_EXPIRY_MS: u64 = 3_000;

/// Connections to each database reserved for the controllers' own requests.
const RESERVED_CONNECTIONS: u32 = 4;

/// At most one connection in this many is reserved, which matters for databases with a low limit.
const RESERVED_FRACTION: u32 = 4;

/// Quotas that a pooler reported and requested; the granted ones are in its lease grants.
#[derive(Clone, Debug, Default)]
pub(super) struct PoolerQuotas {
    /// The quota that the pooler last reported to enforce, by service.
    pub(super) reported: BTreeMap<ServiceName, u32>,
    requests: BTreeMap<ServiceName, QuotaRequest>,
}

/// A pooler's request for more connections than its equal share.
#[derive(Clone, Copy, Debug)]
struct QuotaRequest {
    /// The total number of connections that it could use.
    connections: u32,
    requested_at: Tick,
}

/// Sums and maxima of the quotas of all poolers, by service.
#[derive(Clone, Debug, Default)]
pub(super) struct QuotaTotals {
    /// The sum of the quotas in use: connections that the poolers may have to each database.
    allocated: BTreeMap<ServiceName, u32>,
    /// The highest quota that any pooler has reported.
    highest_reported: BTreeMap<ServiceName, u32>,
}

impl QuotaTotals {
    /// Adjusts the sum for a pooler's quota that changes from `before` to `after`.
    pub(super) fn update(&mut self, service: &ServiceName, before: u32, after: u32) {
        if before != after {
            let allocated = self.allocated.entry(service.clone()).or_default();
            *allocated = (*allocated + after).saturating_sub(before);
        }
    }

    /// Adds the quotas of a pooler that has reconnected.
    pub(super) fn add_pooler(&mut self, pooler: &PoolerLeases) {
        for (service, quota) in pooler.quotas_in_use() {
            self.update(service, 0, quota);
        }
    }

    /// Subtracts the quotas of a pooler that is no longer counted.
    pub(super) fn remove_pooler(&mut self, pooler: &PoolerLeases) {
        for (service, quota) in pooler.quotas_in_use() {
            self.update(service, quota, 0);
        }
    }
}

impl PoolerLeases {
    /// The connections that it may have to each database of the service. A lower quota takes effect
    /// only once the pooler has reported that it enforces it.
    pub(super) fn quota_in_use(&self, service: &ServiceName) -> u32 {
        let granted = self.grants.get(service).map_or(0, |grant| grant.quota);
        granted.max(self.quotas.reported.get(service).copied().unwrap_or(0))
    }

    fn quotas_in_use(&self) -> impl Iterator<Item = (&ServiceName, u32)> {
        let services: BTreeSet<&ServiceName> =
            self.grants.keys().chain(self.quotas.reported.keys()).collect();
        services.into_iter().map(|service| (service, self.quota_in_use(service)))
    }
}

impl LeaseTable {
    /// Records a message of a pooler with the quotas that it now enforces, where these have
    /// changed. Returns the services for which other poolers may now get a higher quota.
    pub fn report_quotas(
        &mut self,
        node: &NodeName,
        quotas: Vec<(ServiceName, u32)>,
        now: Tick,
    ) -> Vec<ServiceName> {
        let mut freed = Vec::new();
        let Some(pooler) = self.poolers.get_mut(node) else {
            return freed;
        };
        pooler.last_contact = now;
        for (service, quota) in quotas {
            let before = pooler.quota_in_use(&service);
            pooler.quotas.reported.insert(service.clone(), quota);
            let after = pooler.quota_in_use(&service);
            self.totals.update(&service, before, after);
            let highest = self.totals.highest_reported.entry(service.clone()).or_default();
            let is_highest = quota > *highest;
            *highest = quota.max(*highest);
            if after < before || is_highest {
                freed.push(service);
            }
        }
        freed
    }

    /// Records that a pooler's sessions wait for `additional` connections beyond its quota.
    pub fn request_quota(
        &mut self,
        node: &NodeName,
        service: &ServiceName,
        additional: u32,
        now: Tick,
    ) {
        if let Some(pooler) = self.poolers.get_mut(node) {
            let connections = additional.saturating_add(pooler.quota_in_use(service));
            let request = QuotaRequest { connections, requested_at: now };
            pooler.quotas.requests.insert(service.clone(), request);
        }
    }

    /// The services for which a pooler requested or has more than its equal share. Their quotas are
    /// reevaluated in every renewal, until the extra connections are withdrawn.
    pub fn services_with_quota_requests(
        &self,
        node: &NodeName,
    ) -> impl Iterator<Item = &ServiceName> {
        self.poolers.get(node).into_iter().flat_map(|pooler| pooler.quotas.requests.keys())
    }

    /// The quota to grant a pooler: how many connections it may have to each database of a service,
    /// of the `max_connections` that the database allows.
    pub fn quota(
        &mut self,
        node: &NodeName,
        service: &ServiceName,
        max_connections: u32,
        now: Tick,
    ) -> u32 {
        let reserved = RESERVED_CONNECTIONS.min(max_connections / RESERVED_FRACTION);
        let available = max_connections.saturating_sub(reserved);
        let target = self.target_quota(node, service, available, now);
        let pooler = self.poolers.get(node).filter(|pooler| !pooler.quota_released);
        let own = pooler.map_or(0, |pooler| pooler.quota_in_use(service));
        let allocated = self.totals.allocated.get(service).copied().unwrap_or(0);
        let allocated_to_others = allocated.saturating_sub(own);
        let quota = target.min(available.saturating_sub(allocated_to_others));
        if self.knows_all_quotas(now) {
            return quota;
        }
        // The previous leader may have granted connections to poolers that this one doesn't know
        // yet. It granted all of them the same quota, so until they have been counted, no pooler
        // gets more than the highest quota that any pooler has reported.
        let highest = self.totals.highest_reported.get(service).copied().unwrap_or(0);
        quota.min(highest.max(INITIAL_QUOTA))
    }

    /// Whether this leader has led for long enough to know every pooler that has a quota.
    pub(crate) fn knows_all_quotas(&self, now: Tick) -> bool {
        now.since(self.elected_at) >= DISCONNECTED_QUOTA_RETENTION_MS
    }

    /// The quota that a pooler should have, regardless of what others still have in use. Removes
    /// its request for more once that has expired and the pooler has no more than its equal share.
    fn target_quota(
        &mut self,
        node: &NodeName,
        service: &ServiceName,
        available: u32,
        now: Tick,
    ) -> u32 {
        let equal_share = (available / self.connected_poolers.max(1)).max(1);
        let Some(pooler) = self.poolers.get_mut(node) else {
            return equal_share;
        };
        let Some(request) = pooler.quotas.requests.get(service).copied() else {
            return equal_share;
        };
        if now.since(request.requested_at) >= QUOTA_REQUEST_EXPIRY_MS {
            if pooler.quota_in_use(service) <= equal_share {
                pooler.quotas.requests.remove(service);
            }
            return equal_share;
        }
        let remainder = available
            .saturating_sub(equal_share.saturating_mul(self.connected_poolers))
            .saturating_sub(self.extra_of_others(node, service, equal_share));
        equal_share.saturating_add(remainder).min(request.connections.max(equal_share))
    }

    /// The connections beyond the equal share that other poolers may have.
    fn extra_of_others(&self, node: &NodeName, service: &ServiceName, equal_share: u32) -> u32 {
        let others = self.poolers.iter().filter(|(name, _)| *name != node);
        others.map(|(_, pooler)| pooler.quota_in_use(service).saturating_sub(equal_share)).sum()
    }
}
