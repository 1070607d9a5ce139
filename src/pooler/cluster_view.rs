//! The cluster as this pooler knows it: the routes, the directory of databases, and for each
//! service the lease on its primary and the watermarks for its reads.
//!
//! `Pooler` guards one `ClusterView` by a lock. `leader_messages` changes it as the leader sends
//! updates; sessions look up in it where a statement may run.
use crate::base::ids::{DbTerm, InstanceId, Position, ServiceName};
use crate::base::time::Tick;
use crate::config::directory::DirectoryEntry;
use crate::config::route_table::RouteTable;
use crate::pooler::handover::CommitConfirmation;
use crate::pooler::leases::{ConnectionQuota, PrimaryLease, Revocation};
use crate::pooler::pool::ConnectionPool;
use crate::pooler::replica_reads::{RECENT_READ_MS, ReadWatermarks, WATERMARK_AHEAD_MS};
use std::collections::BTreeMap;
use std::sync::Arc;

/// The time in ms after which a client is to come back while a lease on the primary is held.
const RETRY_WITH_PRIMARY_MS: u64 = 100;

/// A change of primary takes about so long, in ms.
const FAILOVER_MS: u64 = 1_000;

/// While a change of primary lasts, a client is to come back after this time at the earliest, in
/// ms.
const MIN_RETRY_IN_FAILOVER_MS: u64 = 150;

/// The time in ms after which a client is to come back if nothing is known of a primary.
const RETRY_WITHOUT_PRIMARY_MS: u64 = 500;

/// The cluster as this pooler knows it.
#[derive(Default)]
pub(crate) struct ClusterView {
    pub(crate) route_table: Option<Arc<RouteTable>>,
    /// The whole directory has arrived.
    pub(crate) has_directory: bool,
    pub(crate) pools: BTreeMap<InstanceId, Arc<ConnectionPool>>,
    pub(crate) services: BTreeMap<ServiceName, ServiceView>,
}

/// A service as this pooler knows it.
#[derive(Default)]
pub(crate) struct ServiceView {
    pub(crate) lease: PrimaryLease,
    pub(crate) revocation: Option<Revocation>,
    pub(crate) watermarks: ReadWatermarks,
    /// The furthest commit that was passed on to a client.
    pub(crate) highest_commit: Option<Position>,
    /// The handover that the leader told of, until it grants a lease without one.
    pub(crate) confirmation: Option<CommitConfirmation>,
    pub(crate) quota: ConnectionQuota,
    /// When the lease on the primary was lost; none while one is granted.
    pub(crate) lease_lost_at: Option<Tick>,
    /// The pools of the service's databases.
    pub(crate) pools: Vec<Arc<ConnectionPool>>,
    unreported: Option<PrimaryPosition>,
    recent_read: Option<RecentRead>,
}

/// A position that the primary gave under a lease that still held when its reply came.
#[derive(Clone, Copy, Debug)]
pub(crate) struct PrimaryPosition {
    /// The term of the lease.
    pub(crate) term: DbTerm,
    /// When the statement was sent that it is the answer to.
    pub(crate) sent_at: Tick,
    pub(crate) position: Position,
}

/// The last read that replicas may serve.
#[derive(Clone, Copy, Debug)]
struct RecentRead {
    at: Tick,
    /// The least age in ms that rows may have, of all recent reads.
    stale_ms: u64,
}

impl ServiceView {
    /// The number of connections beyond the limit that sessions wait for at a database.
    pub(crate) fn unmet_demand(&self) -> u32 {
        self.pools.iter().map(|pool| pool.unmet_demand()).max().unwrap_or(0)
    }

    /// Gives the pools the limit that follows from the quota. True if it has changed.
    pub(crate) fn apply_quota(&mut self, now: Tick) -> bool {
        let change = self.quota.take_limit_change(now);
        if let Some(limit) = change {
            self.pools.iter().for_each(|pool| pool.set_limit(limit));
        }
        change.is_some()
    }

    /// The quota in force, if it was not reported to the leader yet.
    pub(crate) fn take_quota_report(&mut self) -> Option<u32> {
        let pools = &self.pools;
        let open = || pools.iter().map(|pool| pool.open_connections()).max().unwrap_or(0);
        self.quota.take_report(open)
    }

    /// Takes in a position that the primary gave.
    pub(crate) fn record_position(&mut self, observed: PrimaryPosition) {
        self.watermarks.observe(observed.sent_at, observed.position);
        if self.unreported.is_none_or(|earlier| observed.sent_at > earlier.sent_at) {
            self.unreported = Some(observed);
        }
    }

    /// The newest position, if it was not reported to the leader yet.
    pub(crate) fn take_unreported(&mut self) -> Option<PrimaryPosition> {
        self.unreported.take()
    }

    /// The position that a replica must have for a read started at `started_at`, if one is known.
    /// Watermarks are asked for from now on.
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

    /// Whether reads came lately whose watermark will have expired before the next renewal is
    /// answered.
    pub(crate) fn needs_watermark(&mut self, now: Tick) -> bool {
        self.recent_read = self.recent_read.filter(|read| now.since(read.at) < RECENT_READ_MS);
        self.recent_read
            .is_some_and(|read| !self.watermarks.lasts(now, read.stale_ms, WATERMARK_AHEAD_MS))
    }

    /// When a rejected client should try again, in ms.
    fn retry_after_ms(&self, now: Tick) -> u64 {
        if self.lease.active(now).is_some() {
            return RETRY_WITH_PRIMARY_MS;
        }
        match self.lease_lost_at {
            Some(lost_at) => {
                FAILOVER_MS.saturating_sub(now.since(lost_at)).max(MIN_RETRY_IN_FAILOVER_MS)
            }
            None => RETRY_WITHOUT_PRIMARY_MS,
        }
    }
}

impl ClusterView {
    /// Whether the lease on this term is held.
    pub(crate) fn holds_lease(&self, service: &ServiceName, term: DbTerm, now: Tick) -> bool {
        let service = self.services.get(service);
        service.and_then(|s| s.lease.active(now)).is_some_and(|lease| lease.term == term)
    }

    /// Whether anything can be served: the routes and the directory are known, and connections to
    /// some service may be opened.
    pub(crate) fn can_serve(&self, now: Tick) -> bool {
        self.route_table.is_some()
            && self.has_directory
            && self.services.values().any(|service| service.quota.is_valid(now))
    }

    /// When a rejected client of the service should try again, in ms.
    pub(crate) fn retry_after_ms(&self, service: &ServiceName, now: Tick) -> u64 {
        let service = self.services.get(service);
        service.map_or(RETRY_WITHOUT_PRIMARY_MS, |service| service.retry_after_ms(now))
    }

    /// Puts newer routes in force. False if they are not newer: a pooler never goes back.
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

    /// Puts the whole directory in force.
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
        // A database that drains in a whole directory may have done so for long.
        let long_ago = Tick(1);
        for entry in entries {
            self.upsert_database(entry, long_ago, now);
        }
        self.has_directory = true;
    }

    /// Adds or updates a database. One that drains, and was not known to, does so since
    /// `draining_since`.
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
        // The directory has an update on it: whatever made it fail may be over.
        pool.clear_backoff();
        pool.set_draining(entry.draining.then_some(draining_since));
    }

    fn replace_pool(&mut self, entry: &DirectoryEntry, now: Tick) -> Arc<ConnectionPool> {
        self.remove_database(&entry.id, now);
        let pool = Arc::new(ConnectionPool::new(entry));
        let service = self.services.entry(pool.service.clone()).or_default();
        pool.set_limit(service.quota.applied());
        service.pools.push(Arc::clone(&pool));
        self.pools.insert(entry.id.clone(), Arc::clone(&pool));
        pool
    }

    /// Removes a database, if it is known.
    pub(crate) fn remove_database(&mut self, id: &InstanceId, now: Tick) {
        if let Some(pool) = self.pools.remove(id) {
            if let Some(service) = self.services.get_mut(&pool.service) {
                service.pools.retain(|pool| pool.id != *id);
            }
            pool.remove(now);
        }
    }
}
