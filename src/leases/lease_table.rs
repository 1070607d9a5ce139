//! The leases on primaries that the leading controller has granted to poolers.
//!
//! A pooler may use a primary only under a lease. The controller asks this table when every lease on
//! a term has expired or was given up, and how far commits can have been acknowledged under them,
//! before it lets a failover go on.
use super::passed_on::{PassedOn, UnreportedCommits};
use super::quotas::{LOST_QUOTA_MS, PoolerQuotas, QuotaTotals};
use super::watermarks::Watermark;
use crate::base::ids::{DbTerm, NodeName, Position, ServiceName};
use crate::base::time::Tick;
use crate::net::rpc::pooler_messages::{Handover, LeaseGrant, PrimaryStatus};
use std::collections::BTreeMap;

/// How long a pooler may use what it was last granted, in milliseconds from when it asked.
pub const LEASE_MS: u64 = 1_800;

/// Added to a lease where its expiry is awaited, in milliseconds: clocks may run at slightly
/// different rates.
const LEASE_SLACK_MS: u64 = 50;

/// How long a lost pooler is kept, in milliseconds. It may have acknowledged later commits than it
/// reported; replicas have received those by then.
const LOST_POOLER_MS: u64 = 10_000;

/// One pooler: its connection to this leader, its leases and its quotas.
#[derive(Clone, Debug, Default)]
pub struct PoolerLeases {
    /// Identifies the process; drawn at random when it starts.
    incarnation: u64,
    /// The connection it last registered on; none while it is lost.
    pub connection: Option<u64>,
    /// When its connection was lost.
    lost_at: Option<Tick>,
    /// Its quotas are no longer counted, unless it comes back.
    pub(super) quota_released: bool,
    /// What it was last granted on its connection. A service with an active primary in here is leased
    /// to it as of `granted_at`.
    pub(crate) grants: BTreeMap<ServiceName, LeaseGrant>,
    /// When its leases were last renewed.
    pub(crate) granted_at: Tick,
    /// Leases that are no longer renewed and expire by themselves.
    ended: BTreeMap<ServiceName, LeasePeriod>,
    /// The newest term of each service that it has stopped to use.
    revoked: BTreeMap<ServiceName, DbTerm>,
    /// The handover of each service that it acknowledged.
    handed_over: BTreeMap<ServiceName, u64>,
    pub(super) quotas: PoolerQuotas,
    /// When its last message came.
    pub(crate) last_contact: Tick,
}

/// A lease on the primary of a term, and when it was last granted.
#[derive(Clone, Copy, Debug)]
struct LeasePeriod {
    term: DbTerm,
    granted_at: Tick,
}

impl PoolerLeases {
    /// The current lease on a service.
    fn active_lease(&self, service: &ServiceName) -> Option<LeasePeriod> {
        let term = self.grants.get(service)?.status.leased_term()?;
        Some(LeasePeriod { term, granted_at: self.granted_at })
    }

    /// When this leader last granted it a lease on the service.
    fn last_granted(&self, service: &ServiceName) -> Option<Tick> {
        let active = self.active_lease(service).map(|lease| lease.granted_at);
        active.max(self.ended.get(service).map(|lease| lease.granted_at))
    }

    /// Nothing is granted on this service any more, and its lease expires by itself.
    fn withdraw_grant(&mut self, service: &ServiceName) {
        self.end_lease(service);
        if let Some(grant) = self.grants.get_mut(service) {
            grant.status = PrimaryStatus::Absent;
        }
    }

    /// The newest term of the service that this leader granted it a lease on.
    fn last_term(&self, service: &ServiceName) -> Option<DbTerm> {
        let active = self.active_lease(service).map(|lease| lease.term);
        active.max(self.ended.get(service).map(|lease| lease.term))
    }

    /// The lease on this service is no longer renewed; it expires by itself.
    fn end_lease(&mut self, service: &ServiceName) {
        if let Some(lease) = self.active_lease(service) {
            self.ended.insert(service.clone(), lease);
        }
    }

    /// Whether it said that it uses no lease on `term` or an earlier one.
    fn has_revoked(&self, service: &ServiceName, term: DbTerm) -> bool {
        self.revoked.get(service).is_some_and(|revoked| *revoked >= term)
    }

    /// Whether it said that it confirms each commit at the target of this handover.
    fn confirms(&self, service: &ServiceName, handover: Option<u64>) -> bool {
        handover.is_some() && self.handed_over.get(service).copied() == handover
    }

    /// Whether it can no longer use a lease on `term` or an earlier one.
    fn is_released(&self, service: &ServiceName, term: DbTerm, now: Tick) -> bool {
        if self.has_revoked(service, term) {
            return true;
        }
        let mut leases =
            self.ended.get(service).copied().into_iter().chain(self.active_lease(service));
        leases.all(|lease| lease.term > term || has_expired(lease.granted_at, now))
    }

    fn is_lost_for(&self, duration_ms: u64, now: Tick) -> bool {
        self.lost_at.is_some_and(|lost_at| now.since(lost_at) >= duration_ms)
    }
}

/// When a lease granted at this time can no longer be in use.
fn lease_end(granted_at: Tick) -> Tick {
    granted_at.plus(LEASE_MS + LEASE_SLACK_MS)
}

fn has_expired(granted_at: Tick, now: Tick) -> bool {
    now.since(granted_at) > LEASE_MS + LEASE_SLACK_MS
}

/// When the commits acknowledged under a lease that was never given up count as known.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CoverageRule {
    /// Only when a watermark covers them.
    Watermark,
    /// Also when the lease ended long ago. For a service without synchronous replicas: nothing
    /// ever proves that its replicas have a commit, and a failover would wait for ever.
    WatermarkOrTimeout,
}

/// Which pooler may use which primary until when, and how many connections to it; kept while this
/// controller leads.
///
/// One lease covers all services of a pooler. An answer to a renewal renews everything that was
/// granted before on the same connection, so only changes are sent.
#[derive(Clone, Debug, Default)]
pub struct LeaseTable {
    /// The poolers that are connected, or were until lately.
    pub poolers: BTreeMap<NodeName, PoolerLeases>,
    pub(super) elected_at: Tick,
    /// The number of connected poolers.
    pub(super) connected: u32,
    pub(super) totals: QuotaTotals,
    /// For each service, when the leases of poolers that were forgotten, or started anew, without
    /// giving up their lease have expired.
    unacknowledged_until: BTreeMap<ServiceName, Tick>,
    /// For each service, the furthest commit that a pooler reported to have passed on.
    reported: BTreeMap<ServiceName, Position>,
}

impl LeaseTable {
    /// The table of a leader elected at `elected_at`, which knows no pooler yet.
    pub fn new(elected_at: Tick) -> Self {
        Self { elected_at, ..Self::default() }
    }

    /// Takes in a pooler that connects. Its leases and quotas stay if it is the same process;
    /// everything is granted anew on the new connection.
    pub fn register(&mut self, node: &NodeName, incarnation: u64, connection: u64, now: Tick) {
        let mut pooler = self.poolers.remove(node).unwrap_or_default();
        if pooler.connection.is_none() {
            self.connected += 1;
        }
        if pooler.incarnation != incarnation {
            // The old process has ended and its connections with it; up to which commit it
            // acknowledged is not known.
            if !pooler.quota_released {
                self.totals.remove_pooler(&pooler);
            }
            self.forget_leases(&pooler);
            pooler = PoolerLeases { incarnation, ..PoolerLeases::default() };
        } else if pooler.quota_released {
            self.totals.add_pooler(&pooler);
        }
        let granted: Vec<ServiceName> = pooler.grants.keys().cloned().collect();
        for service in granted {
            let quota = pooler.quota_in_use(&service);
            pooler.end_lease(&service);
            pooler.quotas.reported.insert(service, quota);
        }
        pooler.grants.clear();
        pooler.handed_over.clear();
        pooler.connection = Some(connection);
        pooler.lost_at = None;
        pooler.quota_released = false;
        pooler.last_contact = now;
        self.poolers.insert(node.clone(), pooler);
    }

    /// A connection has ended. Returns the pooler that used it.
    pub fn disconnect(&mut self, connection: u64, now: Tick) -> Option<NodeName> {
        let (node, pooler) =
            self.poolers.iter_mut().find(|(_, pooler)| pooler.connection == Some(connection))?;
        pooler.connection = None;
        pooler.lost_at = Some(now);
        self.connected = self.connected.saturating_sub(1);
        Some(node.clone())
    }

    /// A pooler shuts down in order. A lease whose revocation it has not acknowledged counts as that
    /// of a pooler that was killed: how far it passed on commits is not known.
    pub fn release_all(&mut self, node: &NodeName) {
        if let Some(pooler) = self.poolers.get_mut(node) {
            let granted: Vec<ServiceName> = pooler.grants.keys().cloned().collect();
            for service in granted {
                pooler.withdraw_grant(&service);
            }
        }
    }

    /// Stops to count the quotas of poolers that were lost some time ago, and forgets the poolers
    /// themselves later. Returns whether connections have become free for other poolers.
    pub fn expire_lost(&mut self, now: Tick) -> bool {
        let mut freed = false;
        for pooler in self.poolers.values_mut() {
            if !pooler.quota_released && pooler.is_lost_for(LOST_QUOTA_MS, now) {
                self.totals.remove_pooler(pooler);
                pooler.quota_released = true;
                freed = true;
            }
        }
        let forgotten: Vec<NodeName> = self
            .poolers
            .iter()
            .filter(|(_, pooler)| pooler.is_lost_for(LOST_POOLER_MS, now))
            .map(|(node, _)| node.clone())
            .collect();
        for node in forgotten {
            if let Some(pooler) = self.poolers.remove(&node) {
                self.forget_leases(&pooler);
            }
        }
        freed
    }

    /// This pooler will not report up to which commit it acknowledged under its leases, those left
    /// out that it has reported on already.
    fn forget_leases(&mut self, pooler: &PoolerLeases) {
        for service in pooler.grants.keys().chain(pooler.ended.keys()) {
            let last_term = pooler.last_term(service);
            if last_term.is_some_and(|term| pooler.has_revoked(service, term)) {
                continue;
            }
            if let Some(granted_at) = pooler.last_granted(service) {
                let until = self.unacknowledged_until.entry(service.clone()).or_default();
                *until = lease_end(granted_at).max(*until);
            }
        }
    }

    /// A pooler has stopped to use its lease on `term`; `highest` is the furthest commit that it
    /// passed on.
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
            // The pooler has dropped its grant of this service.
            pooler.withdraw_grant(service);
        }
    }

    /// A pooler passes on commits of the service only once the target of this handover has them;
    /// `highest` is the furthest commit that it passed on before.
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

    /// A pooler is told that the service is handed over: its grant on that term, if it has one, is
    /// changed to that.
    pub fn hand_over(&mut self, node: &NodeName, service: &ServiceName, handover: &Handover) {
        let Some(pooler) = self.poolers.get_mut(node) else { return };
        if let Some(grant) = pooler.grants.get_mut(service)
            && let PrimaryStatus::Active { term, primary } = &grant.status
            && *term == handover.term
        {
            let (primary, handover) = (primary.clone(), handover.clone());
            grant.status = PrimaryStatus::HandingOver { primary, handover };
        }
    }

    /// The grant to send to a pooler; none if it has the same already. [`Self::renew`] follows once
    /// all services have been granted.
    pub fn grant(&mut self, node: &NodeName, grant: LeaseGrant) -> Option<LeaseGrant> {
        let pooler = self.poolers.get_mut(node)?;
        let service = grant.service.clone();
        let old = pooler.grants.get(&service);
        // A sealed position holds for the moment it is sent in, so it is sent each time.
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
            // After a false alarm the same term is granted again; what was acknowledged before it
            // is out of date.
            pooler.revoked.remove(&service);
        }
        pooler.grants.insert(service.clone(), grant.clone());
        let after = pooler.quota_in_use(&service);
        self.totals.update(&service, before, after);
        Some(grant)
    }

    /// The answer to a renewal is sent: every active grant of the pooler is leased as of now.
    pub fn renew(&mut self, node: &NodeName, now: Tick) {
        if let Some(pooler) = self.poolers.get_mut(node) {
            pooler.granted_at = now;
        }
    }

    /// Whether no lease on `term` or an earlier one can still be in use, those that earlier leaders
    /// granted included.
    pub fn all_released(&self, service: &ServiceName, term: DbTerm, now: Tick) -> bool {
        has_expired(self.elected_at, now)
            && self.poolers.values().all(|pooler| pooler.is_released(service, term, now))
    }

    /// Whether no pooler passes on a commit of `term` or an earlier one that the target of this
    /// handover lacks: each has acknowledged the handover, or can't use a lease any more.
    pub fn all_confirm(
        &self,
        service: &ServiceName,
        term: DbTerm,
        handover: Option<u64>,
        now: Tick,
    ) -> bool {
        let confirms = |pooler: &PoolerLeases| {
            pooler.confirms(service, handover) || pooler.is_released(service, term, now)
        };
        has_expired(self.elected_at, now) && self.poolers.values().all(confirms)
    }

    /// How far commits may have been passed on under leases on `term`, those left out that the
    /// target of `handover` is known to have.
    ///
    /// Every pooler must have reported how far it passed on commits, or be covered: the `watermark`
    /// covers every commit acknowledged before its time, so a pooler whose lease had ended by then
    /// has passed on nothing beyond it. The same holds for poolers that were forgotten, and for
    /// those that had a lease of an earlier leader, of which this one may not even know.
    pub fn passed_on(
        &self,
        service: &ServiceName,
        term: DbTerm,
        handover: Option<u64>,
        watermark: Option<Watermark>,
        rule: CoverageRule,
        now: Tick,
    ) -> PassedOn {
        let is_covered = |end: Tick| {
            let timed_out = rule == CoverageRule::WatermarkOrTimeout
                && now.since(end) >= LOST_POOLER_MS - LEASE_MS;
            timed_out || watermark.is_some_and(|watermark| watermark.as_of >= end)
        };
        let earlier_leaders = lease_end(self.elected_at);
        let forgotten = self.unacknowledged_until.get(service).copied().unwrap_or_default();
        let is_known = |pooler: &PoolerLeases| {
            let end = pooler.last_granted(service).map_or(earlier_leaders, lease_end);
            pooler.has_revoked(service, term)
                || pooler.confirms(service, handover)
                || is_covered(end)
        };
        let all_known =
            is_covered(forgotten.max(earlier_leaders)) && self.poolers.values().all(is_known);
        let unreported = match watermark {
            _ if !all_known => UnreportedCommits::Unknown,
            None => UnreportedCommits::Nothing,
            Some(watermark) => UnreportedCommits::UpTo(watermark.position),
        };
        PassedOn { reported: self.reported.get(service).copied(), unreported }
    }
}
