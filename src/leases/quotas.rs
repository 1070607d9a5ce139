//! Quotas: how many connections each pooler may have to each database of a service.
//!
//! The connections that a database allows are divided evenly among the connected poolers. What the
//! division leaves over goes, for a while, to poolers whose sessions wait for a connection. What a
//! pooler may still have open is never given to another one: a quota grows only as others shrink.
use super::lease_table::{LeaseTable, PoolerLeases};
use crate::base::ids::{NodeName, ServiceName};
use crate::base::time::Tick;
use std::collections::{BTreeMap, BTreeSet};

/// The quota of a lost pooler is counted for this long, in milliseconds: a database closes a
/// connection whose other end does not respond after 3 s. For as long, a new leader can't know of
/// every pooler that has a quota.
pub(crate) const LOST_QUOTA_MS: u64 = 4_500;

/// The quota that a new leader grants before a pooler has reported one.
const INITIAL_QUOTA: u32 = 4;

/// A quota beyond the even part is withdrawn when the pooler has not asked for it for this long, in
/// milliseconds.
const EXTRA_QUOTA_MS: u64 = 3_000;

/// Connections to each database reserved for the controllers' own requests.
const RESERVED_CONNECTIONS: u32 = 4;

/// Small limits reserve at most one connection in this many.
const RESERVED_FRACTION: u32 = 4;

/// The quotas of one pooler, beside those in its grants.
#[derive(Clone, Debug, Default)]
pub(super) struct PoolerQuotas {
    /// The quota that the pooler says it keeps to, by service.
    pub(super) reported: BTreeMap<ServiceName, u32>,
    requests: BTreeMap<ServiceName, QuotaRequest>,
}

/// A pooler's request for more connections than its even part.
#[derive(Clone, Copy, Debug)]
struct QuotaRequest {
    /// The connections it could use in all.
    connections: u32,
    requested_at: Tick,
}

/// Sums over the poolers.
#[derive(Clone, Debug, Default)]
pub(super) struct QuotaTotals {
    /// The connections that all poolers together may have to each database of a service.
    allocated: BTreeMap<ServiceName, u32>,
    /// The highest quota that any pooler has reported.
    highest_reported: BTreeMap<ServiceName, u32>,
}

impl QuotaTotals {
    /// Follows a pooler's quota from `before` to `after`.
    pub(super) fn update(&mut self, service: &ServiceName, before: u32, after: u32) {
        if before != after {
            let allocated = self.allocated.entry(service.clone()).or_default();
            *allocated = (*allocated + after).saturating_sub(before);
        }
    }

    /// Counts the quotas of a pooler that is back.
    pub(super) fn add_pooler(&mut self, pooler: &PoolerLeases) {
        for (service, quota) in pooler.quotas_in_use() {
            self.update(service, 0, quota);
        }
    }

    /// No longer counts the quotas of a pooler that is gone.
    pub(super) fn remove_pooler(&mut self, pooler: &PoolerLeases) {
        for (service, quota) in pooler.quotas_in_use() {
            self.update(service, quota, 0);
        }
    }
}

impl PoolerLeases {
    /// Connections that it may have to each database of the service: a lower quota holds once the
    /// pooler has reported that it keeps to it.
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
    /// Takes in a message of a pooler, with the quotas that it keeps to where these changed.
    /// Returns the services of which other poolers may get more now.
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

    /// Takes in that a pooler's sessions wait for `more` connections beyond its quota.
    pub fn request_quota(&mut self, node: &NodeName, service: &ServiceName, more: u32, now: Tick) {
        if let Some(pooler) = self.poolers.get_mut(node) {
            let connections = more.saturating_add(pooler.quota_in_use(service));
            let request = QuotaRequest { connections, requested_at: now };
            pooler.quotas.requests.insert(service.clone(), request);
        }
    }

    /// The services of which a pooler has more than its even part, or asked for more. Their quotas
    /// have to be looked at in every grant, until what is beyond the part is withdrawn.
    pub fn services_with_requests(&self, node: &NodeName) -> impl Iterator<Item = &ServiceName> {
        self.poolers.get(node).into_iter().flat_map(|pooler| pooler.quotas.requests.keys())
    }

    /// The quota of a pooler: connections that it may have to each database of a service, of
    /// `max_connections` that the database allows.
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
        // The leader before may have granted connections to poolers that this one does not know of
        // yet. It granted everyone the same, so until then nobody gets more than one has reported.
        let highest = self.totals.highest_reported.get(service).copied().unwrap_or(0);
        quota.min(highest.max(INITIAL_QUOTA))
    }

    /// Whether this leader has led for long enough to know of every pooler that has a quota.
    pub(crate) fn knows_all_quotas(&self, now: Tick) -> bool {
        now.since(self.elected_at) >= LOST_QUOTA_MS
    }

    /// The quota that a pooler should have, whatever others still have. Forgets its request for more
    /// once that has expired and nothing beyond the even part is left.
    fn target_quota(
        &mut self,
        node: &NodeName,
        service: &ServiceName,
        available: u32,
        now: Tick,
    ) -> u32 {
        let part = (available / self.connected.max(1)).max(1);
        let Some(pooler) = self.poolers.get_mut(node) else {
            return part;
        };
        let Some(request) = pooler.quotas.requests.get(service).copied() else {
            return part;
        };
        if now.since(request.requested_at) >= EXTRA_QUOTA_MS {
            if pooler.quota_in_use(service) <= part {
                pooler.quotas.requests.remove(service);
            }
            return part;
        }
        let left_over = available
            .saturating_sub(part.saturating_mul(self.connected))
            .saturating_sub(self.extra_of_others(node, service, part));
        part.saturating_add(left_over).min(request.connections.max(part))
    }

    /// The connections beyond the even part that other poolers may have.
    fn extra_of_others(&self, node: &NodeName, service: &ServiceName, part: u32) -> u32 {
        let others = self.poolers.iter().filter(|(name, _)| *name != node);
        others.map(|(_, pooler)| pooler.quota_in_use(service).saturating_sub(part)).sum()
    }
}
