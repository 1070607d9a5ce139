//! The leases on primaries that the leader has granted to poolers.
//!
//! A pooler may use a primary only under a lease. Before a failover proceeds, the controller checks
//! here that every lease on the old term has expired or was given up, and which commits may have
//! been acknowledged under them.
use super::acknowledged_commits::{AcknowledgedCommits, UnreportedCommits};
use super::quotas::{DISCONNECTED_QUOTA_RETENTION_MS, PoolerQuotas, QuotaTotals};
use super::watermarks::Watermark;
use crate::base::ids::{DbTerm, NodeName, Position, ServiceName};
use crate::base::time::Tick;
use crate::net::rpc::pooler_messages::{Handover, LeaseGrant, PrimaryStatus};
use std::collections::BTreeMap;

/// How long a lease is valid for its pooler, in milliseconds from when the pooler requested it.
pub const LEASE_MS: u64 = 1_800;

/// How much longer than its validity the leader waits for a lease to expire, in milliseconds, as
/// clocks may run at slightly different rates.
const LEASE_EXPIRY_MARGIN_MS: u64 = 50;

/// How long a pooler may use a lease after it was granted or renewed, as seen by the leader, in
/// milliseconds.
pub const LEASE_USE_MS: u64 = LEASE_MS + LEASE_EXPIRY_MARGIN_MS;

/// How long a disconnected pooler is kept, in milliseconds. It may have forwarded later commits
/// than it reported; replicas have received those by the end of this time.
const DISCONNECTED_POOLER_RETENTION_MS: u64 = 10_000;

/// A pooler's connection to this leader, its leases and its quotas.
#[derive(Clone, Debug, Default)]
pub struct PoolerLeases {
    /// Identifies the pooler process; chosen at random when it starts.
    incarnation: u64,
    /// The connection that it last registered on; `None` while it is disconnected.
    pub connection: Option<u64>,
    /// When its connection ended; `None` while it is connected.
    disconnected_at: Option<Tick>,
    /// Its quotas are no longer counted, unless it reconnects.
    pub(super) quota_released: bool,
    /// The last grant of each service on the current connection. A grant with an active primary is
    /// a lease as of `granted_at`.
    pub(crate) grants: BTreeMap<ServiceName, LeaseGrant>,
    /// When its active leases were last renewed.
    pub(crate) granted_at: Tick,
    /// Leases that are no longer renewed and will expire.
    ended: BTreeMap<ServiceName, LeasePeriod>,
    /// The newest term of each service on which it has given up its lease.
    revoked: BTreeMap<ServiceName, DbTerm>,
    /// The handover of each service that it acknowledged.
    handed_over: BTreeMap<ServiceName, u64>,
    pub(super) quotas: PoolerQuotas,
    /// When its last message arrived.
    pub(crate) last_contact: Tick,
}

/// A lease on the primary of a term, and when it was last granted.
#[derive(Clone, Copy, Debug)]
struct LeasePeriod {
    term: DbTerm,
    granted_at: Tick,
}

impl PoolerLeases {
    /// The lease on a service that is being renewed.
    fn active_lease(&self, service: &ServiceName) -> Option<LeasePeriod> {
        let term = self.grants.get(service)?.status.leased_term()?;
        Some(LeasePeriod { term, granted_at: self.granted_at })
    }

    /// When this leader last granted or renewed a lease on the service.
    fn last_granted(&self, service: &ServiceName) -> Option<Tick> {
        let active = self.active_lease(service).map(|lease| lease.granted_at);
        active.max(self.ended.get(service).map(|lease| lease.granted_at))
    }

    /// Grants nothing on the service any more, and lets an active lease expire.
    fn withdraw_grant(&mut self, service: &ServiceName) {
        self.end_lease(service);
        if let Some(grant) = self.grants.get_mut(service) {
            grant.status = PrimaryStatus::Absent;
        }
    }

    /// The newest term of the service on which this leader granted a lease.
    fn last_term(&self, service: &ServiceName) -> Option<DbTerm> {
        let active = self.active_lease(service).map(|lease| lease.term);
        active.max(self.ended.get(service).map(|lease| lease.term))
    }

    /// Stops renewing the lease on the service and lets it expire.
    fn end_lease(&mut self, service: &ServiceName) {
        if let Some(lease) = self.active_lease(service) {
            self.ended.insert(service.clone(), lease);
        }
    }

    /// Whether the pooler reported that it no longer uses a lease on `term` or an earlier one.
    fn has_revoked(&self, service: &ServiceName, term: DbTerm) -> bool {
        self.revoked.get(service).is_some_and(|revoked| *revoked >= term)
    }

    /// Whether the pooler reported that it confirms each commit at the target of this handover.
    fn confirms_handover(&self, service: &ServiceName, handover: Option<u64>) -> bool {
        handover.is_some() && self.handed_over.get(service).copied() == handover
    }

    /// Whether the pooler can no longer use a lease on `term` or an earlier one.
    fn is_released(&self, service: &ServiceName, term: DbTerm, now: Tick) -> bool {
        if self.has_revoked(service, term) {
            return true;
        }
        let mut leases =
            self.ended.get(service).copied().into_iter().chain(self.active_lease(service));
        leases.all(|lease| lease.term > term || has_expired(lease.granted_at, now))
    }

    fn is_disconnected_for(&self, duration_ms: u64, now: Tick) -> bool {
        self.disconnected_at
            .is_some_and(|disconnected_at| now.since(disconnected_at) >= duration_ms)
    }
}

/// When a lease granted at this time is certainly no longer in use.
fn lease_end(granted_at: Tick) -> Tick {
    granted_at.plus(LEASE_USE_MS)
}

fn has_expired(granted_at: Tick, now: Tick) -> bool {
    now.since(granted_at) > LEASE_USE_MS
}

/// When the commits acknowledged under a lease that was never given up count as covered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CoverageRule {
    /// Once a watermark covers them.
    Watermark,
    /// Once a watermark covers them or a time-out after the end of the lease has passed. For
    /// services without synchronous replicas: nothing proves that their replicas have a commit, so
    /// a failover would wait for ever.
    WatermarkOrTimeout,
}

/// The leases and connection quotas of all poolers, kept while this controller leads.
///
/// A pooler renews its leases on all services together: the response renews everything that was
/// granted on the same connection before, so only changed grants are sent.
#[derive(Clone, Debug, Default)]
pub struct LeaseTable {
    /// The poolers that are connected, or were recently.
    pub poolers: BTreeMap<NodeName, PoolerLeases>,
    pub(super) elected_at: Tick,
    /// The number of connected poolers.
    pub(super) connected_poolers: u32,
    pub(super) totals: QuotaTotals,
    /// For each service, the end of the last lease of a pooler that was removed from the table, or
    /// restarted, without reporting which commits it forwarded.
    removed_leases_end: BTreeMap<ServiceName, Tick>,
    /// For each service, the furthest forwarded commit that a pooler reported.
    reported: BTreeMap<ServiceName, Position>,
}

impl LeaseTable {
    /// Creates the empty table of a leader elected at `elected_at`.
    pub fn new(elected_at: Tick) -> Self {
        Self { elected_at, ..Self::default() }
    }

    /// Registers a pooler on a new connection. A pooler that was known before keeps its leases and
    /// quotas if it is still the same process; all grants are sent again on the new connection.
    pub fn register(&mut self, node: &NodeName, incarnation: u64, connection: u64, now: Tick) {
        let mut pooler = self.poolers.remove(node).unwrap_or_default();
        if pooler.connection.is_none() {
            self.connected_poolers += 1;
        }
        if pooler.incarnation != incarnation {
            // The old process has ended, and so have its connections. Which commits it
            // forwarded is unknown.
            if !pooler.quota_released {
                self.totals.remove_pooler(&pooler);
            }
            self.record_unreported_leases(&pooler);
            pooler = PoolerLeases { incarnation, ..PoolerLeases::default() };
        } else if pooler.quota_released {
            self.totals.add_pooler(&pooler);
        }
        let granted_services: Vec<ServiceName> = pooler.grants.keys().cloned().collect();
        for service in granted_services {
            let quota = pooler.quota_in_use(&service);
            pooler.end_lease(&service);
            pooler.quotas.reported.insert(service, quota);
        }
        pooler.grants.clear();
        pooler.handed_over.clear();
        pooler.connection = Some(connection);
        pooler.disconnected_at = None;
        pooler.quota_released = false;
        pooler.last_contact = now;
        self.poolers.insert(node.clone(), pooler);
    }

    /// Marks the pooler of a connection that has ended as disconnected, and returns its name.
    pub fn disconnect(&mut self, connection: u64, now: Tick) -> Option<NodeName> {
        let (node, pooler) =
            self.poolers.iter_mut().find(|(_, pooler)| pooler.connection == Some(connection))?;
        pooler.connection = None;
        pooler.disconnected_at = Some(now);
        self.connected_poolers = self.connected_poolers.saturating_sub(1);
        Some(node.clone())
    }

    /// Withdraws all grants of a pooler that shuts down gracefully. A lease that it has not given
    /// up counts as that of a pooler that crashed: which commits it forwarded is unknown.
    pub fn withdraw_all_grants(&mut self, node: &NodeName) {
        if let Some(pooler) = self.poolers.get_mut(node) {
            let granted_services: Vec<ServiceName> = pooler.grants.keys().cloned().collect();
            for service in granted_services {
                pooler.withdraw_grant(&service);
            }
        }
    }

    /// Releases the quotas of poolers that have been disconnected for some time, and later removes
    /// these poolers. Returns whether connections have become available to other poolers.
    pub fn expire_disconnected(&mut self, now: Tick) -> bool {
        let mut freed = false;
        for pooler in self.poolers.values_mut() {
            if !pooler.quota_released
                && pooler.is_disconnected_for(DISCONNECTED_QUOTA_RETENTION_MS, now)
            {
                self.totals.remove_pooler(pooler);
                pooler.quota_released = true;
                freed = true;
            }
        }
        let expired: Vec<NodeName> = self
            .poolers
            .iter()
            .filter(|(_, pooler)| pooler.is_disconnected_for(DISCONNECTED_POOLER_RETENTION_MS, now))
            .map(|(node, _)| node.clone())
            .collect();
        for node in expired {
            if let Some(pooler) = self.poolers.remove(&node) {
                self.record_unreported_leases(&pooler);
            }
        }
        freed
    }

    /// Records when the leases of a pooler that is removed expire, except those it gave up: for the
    /// others it will not report which commits it forwarded.
    fn record_unreported_leases(&mut self, pooler: &PoolerLeases) {
        for service in pooler.grants.keys().chain(pooler.ended.keys()) {
            let last_term = pooler.last_term(service);
            if last_term.is_some_and(|term| pooler.has_revoked(service, term)) {
                continue;
            }
            if let Some(granted_at) = pooler.last_granted(service) {
                let until = self.removed_leases_end.entry(service.clone()).or_default();
                *until = lease_end(granted_at).max(*until);
            }
        }
    }

    /// Records that a pooler has given up its lease on `term`. `highest` is the furthest commit
    /// that it forwarded.
    pub fn acknowledge_revocation(
        &mut self,
        node: &NodeName,
        service: &ServiceName,
        term: DbTerm,
        highest: Option<Position>,
    ) {
        self.record_report(service, highest);
        if let Some(pooler) = self.poolers.get_mut(node) {
            pooler.revoked.insert(service.clone(), term);
            // The pooler has discarded its grant of this service.
            pooler.withdraw_grant(service);
        }
    }

    /// Records that a pooler now forwards commits of the service only once the target of this
    /// handover has them. `highest` is the furthest commit that it forwarded before.
    pub fn acknowledge_handover(
        &mut self,
        node: &NodeName,
        service: &ServiceName,
        handover: u64,
        highest: Option<Position>,
    ) {
        self.record_report(service, highest);
        if let Some(pooler) = self.poolers.get_mut(node) {
            pooler.handed_over.insert(service.clone(), handover);
        }
    }

    fn record_report(&mut self, service: &ServiceName, highest: Option<Position>) {
        if let Some(position) = highest {
            let reported = self.reported.entry(service.clone()).or_insert(position);
            *reported = position.max(*reported);
        }
    }

    /// Records that a pooler was notified of a handover: changes the status of its grant on that
    /// term, if it has one.
    pub fn record_handover(&mut self, node: &NodeName, service: &ServiceName, handover: &Handover) {
        let Some(pooler) = self.poolers.get_mut(node) else { return };
        if let Some(grant) = pooler.grants.get_mut(service)
            && let PrimaryStatus::Active { term, primary } = &grant.status
            && *term == handover.term
        {
            let (primary, handover) = (primary.clone(), handover.clone());
            grant.status = PrimaryStatus::HandingOver { primary, handover };
        }
    }

    /// Records a grant and returns it to be sent to the pooler; `None` if the pooler has the same
    /// grant already. The caller calls [`Self::renew`] after the grants of all services.
    pub fn grant(&mut self, node: &NodeName, grant: LeaseGrant) -> Option<LeaseGrant> {
        let pooler = self.poolers.get_mut(node)?;
        let service = grant.service.clone();
        let old = pooler.grants.get(&service);
        // A sealed position is valid only at the time it is sent, so it is sent each time.
        let is_sealed = matches!(grant.status, PrimaryStatus::Sealed(_));
        if !is_sealed && old == Some(&grant) {
            return None;
        }
        let status_changed = old.is_none_or(|old| old.status != grant.status);
        let before = pooler.quota_in_use(&service);
        if status_changed {
            pooler.end_lease(&service);
        }
        if grant.status.leased_term().is_some() {
            // After a failover was cancelled, the same term is granted again, so an earlier
            // revocation no longer applies.
            pooler.revoked.remove(&service);
        }
        pooler.grants.insert(service.clone(), grant.clone());
        let after = pooler.quota_in_use(&service);
        self.totals.update(&service, before, after);
        Some(grant)
    }

    /// Renews all active leases of a pooler, as of now: the response to its renewal is being sent.
    pub fn renew(&mut self, node: &NodeName, now: Tick) {
        if let Some(pooler) = self.poolers.get_mut(node) {
            pooler.granted_at = now;
        }
    }

    /// Whether no lease on `term` or an earlier one can still be in use, including those that
    /// earlier leaders granted.
    pub fn all_released(&self, service: &ServiceName, term: DbTerm, now: Tick) -> bool {
        has_expired(self.elected_at, now)
            && self.poolers.values().all(|pooler| pooler.is_released(service, term, now))
    }

    /// Whether no pooler forwards a commit of `term` or an earlier one that the target of this
    /// handover lacks: each has acknowledged the handover, or can't use a lease any more.
    pub fn all_confirm_handover(
        &self,
        service: &ServiceName,
        term: DbTerm,
        handover: Option<u64>,
        now: Tick,
    ) -> bool {
        let confirms = |pooler: &PoolerLeases| {
            pooler.confirms_handover(service, handover) || pooler.is_released(service, term, now)
        };
        has_expired(self.elected_at, now) && self.poolers.values().all(confirms)
    }

    /// Which commits may have been forwarded under leases on `term`, except those that the
    /// target of `handover` is known to have.
    ///
    /// Every pooler must have reported its furthest forwarded commit, or be covered: `watermark`
    /// covers every commit acknowledged before its time, so a pooler whose lease had ended by then
    /// has forwarded nothing beyond it. The same holds for poolers that were removed from the
    /// table, and for those with a lease of an earlier leader, which this leader may not know.
    pub fn acknowledged_commits(
        &self,
        service: &ServiceName,
        term: DbTerm,
        handover: Option<u64>,
        watermark: Option<Watermark>,
        rule: CoverageRule,
        now: Tick,
    ) -> AcknowledgedCommits {
        let is_covered = |end: Tick| {
            let timed_out = rule == CoverageRule::WatermarkOrTimeout
                && now.since(end) >= DISCONNECTED_POOLER_RETENTION_MS - LEASE_MS;
            timed_out || watermark.is_some_and(|watermark| watermark.as_of >= end)
        };
        let earlier_leases_end = lease_end(self.elected_at);
        let removed_leases_end = self.removed_leases_end.get(service).copied().unwrap_or_default();
        let is_accounted_for = |pooler: &PoolerLeases| {
            let end = pooler.last_granted(service).map_or(earlier_leases_end, lease_end);
            pooler.has_revoked(service, term)
                || pooler.confirms_handover(service, handover)
                || is_covered(end)
        };
        let all_accounted_for = is_covered(removed_leases_end.max(earlier_leases_end))
            && self.poolers.values().all(is_accounted_for);
        let unreported = match watermark {
            _ if !all_accounted_for => UnreportedCommits::Unknown,
            None => UnreportedCommits::Nothing,
            Some(watermark) => UnreportedCommits::UpTo(watermark.position),
        };
        AcknowledgedCommits { reported: self.reported.get(service).copied(), unreported }
    }
}
