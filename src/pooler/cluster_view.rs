//! The pooler's view of the cluster: the routes, the directory of databases, and for each service
//! the lease on its primary and the watermarks for its reads.
//!
//! `Pooler` guards one `ClusterView` with a lock. `leader_messages` applies the leader's updates to
//! it; sessions look up where a statement may run.
use crate::base::ids::{DbTerm, InstanceId, Position, ServiceName};
use crate::base::time::Tick;
use crate::config::directory::DirectoryEntry;
use crate::config::route_table::RouteTable;
use crate::pooler::commit_confirmation::CommitConfirmation;
use crate::pooler::leases::{ConnectionQuota, PrimaryLease, Revocation};
use crate::pooler::pool::ConnectionPool;
use crate::pooler::replica_reads::{RECENT_READ_MS, ReadWatermarks, WATERMARK_AHEAD_MS};
use std::collections::BTreeMap;
use std::sync::Arc;

/// The time in ms after which a rejected client should retry while a lease on the primary is held.
const RETRY_WITH_PRIMARY_MS: u64 = 100;

/// The expected duration of a failover in ms.
const EXPECTED_FAILOVER_MS: u64 = 1_000;

/// The minimum time in ms after which a rejected client should retry during a failover.
const MIN_RETRY_IN_FAILOVER_MS: u64 = 150;

/// The time in ms after which a rejected client should retry if no primary is known.
const RETRY_WITHOUT_PRIMARY_MS: u64 = 500;

/// The pooler's view of the cluster.
#[derive(Default)]
pub(crate) struct ClusterView {
    pub(crate) route_table: Option<Arc<RouteTable>>,
    /// Whether the complete directory was received.
    pub(crate) has_directory: bool,
    pub(crate) pools: BTreeMap<InstanceId, Arc<ConnectionPool>>,
    pub(crate) services: BTreeMap<ServiceName, ServiceView>,
}

/// The pooler's view of a service.
#[derive(Default)]
pub(crate) struct ServiceView {
    pub(crate) lease: PrimaryLease,
    pub(crate) revocation: Option<Revocation>,
    pub(crate) watermarks: ReadWatermarks,
    /// The highest position of a commit that was forwarded to a client.
    pub(crate) highest_commit: Option<Position>,
    /// Which replicas have received the commits, and how many have to.
    pub(crate) confirmation: CommitConfirmation,
    pub(crate) quota: ConnectionQuota,
    /// When the lease on the primary was lost; `None` while one is granted.
    pub(crate) lease_lost_at: Option<Tick>,
    /// The pools of the service's databases.
    pub(crate) pools: Vec<Arc<ConnectionPool>>,
    unreported_position: Option<PrimaryPosition>,
    recent_read: Option<RecentRead>,
}

/// A position from a reply of the primary that arrived while the lease was still held.
#[derive(Clone, Copy, Debug)]
pub(crate) struct PrimaryPosition {
    /// The term of the lease.
    pub(crate) term: DbTerm,
    /// When the statement was sent that the primary replied to.
    pub(crate) sent_at: Tick,
    pub(crate) position: Position,
}

/// The last read that could be served by a replica.
#[derive(Clone, Copy, Debug)]
struct RecentRead {
    at: Tick,
    /// The lowest staleness limit in ms of all recent reads.
    stale_ms: u64,
}

impl ServiceView {
    /// The number of additional connections that waiting sessions need at a database: the maximum
    /// of all databases of the service.
    pub(crate) fn unmet_demand(&self) -> u32 {
        self.pools.iter().map(|pool| pool.unmet_demand()).max().unwrap_or(0)
    }

    /// Applies the limit that follows from the quota to the pools. Returns true if it has changed.
    pub(crate) fn apply_quota(&mut self, now: Tick) -> bool {
        let change = self.quota.take_limit_change(now);
        if let Some(limit) = change {
            self.pools.iter().for_each(|pool| pool.set_limit(limit));
        }
        change.is_some()
    }

    /// Takes the quota in force, if it was not reported to the leader yet.
    pub(crate) fn take_quota_report(&mut self) -> Option<u32> {
        let pools = &self.pools;
        let open = || pools.iter().map(|pool| pool.open_connections()).max().unwrap_or(0);
        self.quota.take_report(open)
    }

    /// Records a position from a reply of the primary.
    pub(crate) fn record_position(&mut self, observed: PrimaryPosition) {
        self.watermarks.observe(observed.sent_at, observed.position);
        if self.unreported_position.is_none_or(|earlier| observed.sent_at > earlier.sent_at) {
            self.unreported_position = Some(observed);
        }
    }

    /// Takes the newest position, if it was not reported to the leader yet.
    pub(crate) fn take_unreported_position(&mut self) -> Option<PrimaryPosition> {
        self.unreported_position.take()
    }

    /// The position that a replica must have reached to serve a read that started at `started_at`,
    /// if it is known. Records the read, so that the next renewals request watermarks.
    pub(crate) fn required_position(
        &mut self,
        now: Tick,
        started_at: Tick,
        stale_ms: u64,
    ) -> Option<Position> {
        let least = self.recent_read.map_or(stale_ms, |read| read.stale_ms.min(stale_ms));
        self.recent_read = Some(RecentRead { at: now, stale_ms: least });
        self.watermarks.required_position(started_at, stale_ms)
    }

    /// Whether there were recent reads whose watermark will expire before the next renewal is
    /// answered.
    pub(crate) fn needs_watermark(&mut self, now: Tick) -> bool {
        self.recent_read = self.recent_read.filter(|read| now.since(read.at) < RECENT_READ_MS);
        self.recent_read.is_some_and(|read| {
            !self.watermarks.remains_fresh(now, read.stale_ms, WATERMARK_AHEAD_MS)
        })
    }

    /// The time in ms after which a rejected client should retry.
    fn retry_after_ms(&self, now: Tick) -> u64 {
        if self.lease.active(now).is_some() {
            return RETRY_WITH_PRIMARY_MS;
        }
        match self.lease_lost_at {
            Some(lost_at) => EXPECTED_FAILOVER_MS
                .saturating_sub(now.since(lost_at))
                .max(MIN_RETRY_IN_FAILOVER_MS),
            None => RETRY_WITHOUT_PRIMARY_MS,
        }
    }
}

impl ClusterView {
    /// Whether the lease on the primary of this term is held.
    pub(crate) fn holds_lease(&self, service: &ServiceName, term: DbTerm, now: Tick) -> bool {
        let service = self.services.get(service);
        service.and_then(|s| s.lease.active(now)).is_some_and(|lease| lease.term == term)
    }

    /// Whether clients can be served: the routes and the directory are known, and the quota of at
    /// least one service is valid.
    pub(crate) fn can_serve(&self, now: Tick) -> bool {
        self.route_table.is_some()
            && self.has_directory
            && self.services.values().any(|service| service.quota.is_valid(now))
    }

    /// The time in ms after which a rejected client of the service should retry.
    pub(crate) fn retry_after_ms(&self, service: &ServiceName, now: Tick) -> u64 {
        let service = self.services.get(service);
        service.map_or(RETRY_WITHOUT_PRIMARY_MS, |service| service.retry_after_ms(now))
    }

    /// Replaces the route table by a newer one. Returns false and keeps the present one if the
    /// revision is not higher.
    pub(crate) fn set_route_table(&mut self, route_table: RouteTable) -> bool {
        if self.route_table.as_ref().is_some_and(|t| t.revision >= route_table.revision) {
            return false;
        }
        for service in &route_table.services {
            self.services.entry(service.clone()).or_default();
        }
        self.route_table = Some(Arc::new(route_table));
        true
    }

    /// Sets how many replicas must have received a commit of a service before it is forwarded; 0
    /// for services that are not in `counts`.
    pub(crate) fn set_sync_replicas(&mut self, counts: &BTreeMap<ServiceName, u32>) {
        for service in counts.keys() {
            self.services.entry(service.clone()).or_default();
        }
        for (name, service) in &mut self.services {
            service.confirmation.set_sync_replicas(counts.get(name).copied().unwrap_or(0));
        }
    }

    /// Replaces the complete directory.
    pub(crate) fn set_directory(&mut self, entries: Vec<DirectoryEntry>, now: Tick) {
        let removed: Vec<InstanceId> = self
            .pools
            .keys()
            .filter(|id| !entries.iter().any(|entry| entry.id == **id))
            .cloned()
            .collect();
        for id in removed {
            self.remove_database(&id, now);
        }
        // It is not known how long the draining databases have been draining already.
        let long_ago = Tick(1);
        for entry in entries {
            self.upsert_database(entry, long_ago, now);
        }
        self.has_directory = true;
    }

    /// Adds or updates a database. If it is draining and was not known to be, it counts as draining
    /// since `draining_since`.
    pub(crate) fn upsert_database(
        &mut self,
        entry: DirectoryEntry,
        draining_since: Tick,
        now: Tick,
    ) {
        let known = self.pools.get(&entry.id).filter(|pool| pool.matches(&entry));
        let pool = match known {
            Some(pool) => Arc::clone(pool),
            None => self.replace_pool(&entry, now),
        };
        // After an update of its directory entry, the cause of earlier failures may be gone.
        pool.clear_backoff();
        pool.set_draining(entry.draining.then_some(draining_since));
    }

    fn replace_pool(&mut self, entry: &DirectoryEntry, now: Tick) -> Arc<ConnectionPool> {
        self.remove_database(&entry.id, now);
        let pool = Arc::new(ConnectionPool::new(entry));
        let service = self.services.entry(pool.service.clone()).or_default();
        pool.set_limit(service.quota.applied_limit());
        service.pools.push(Arc::clone(&pool));
        self.pools.insert(entry.id.clone(), Arc::clone(&pool));
        pool
    }

    /// Removes a database, if it is in the view.
    pub(crate) fn remove_database(&mut self, id: &InstanceId, now: Tick) {
        if let Some(pool) = self.pools.remove(id) {
            if let Some(service) = self.services.get_mut(&pool.service) {
                service.pools.retain(|pool| pool.id != *id);
            }
            pool.remove(now);
        }
    }
}
