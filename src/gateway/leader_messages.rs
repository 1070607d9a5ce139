//! Messages between a gateway and the controllers' leader. The gateway sends periodic renewals,
//! which report its demand. The leader sends route tables, the directory of endpoints and subsets.
use crate::base::ids::{Revision, ServiceName};
use crate::base::sync::lock;
use crate::base::time::Tick;
use crate::config::route_table::{RouteTable, RouteTableDelta};
use crate::config::tenants::TenantTable;
use crate::gateway::server::Gateway;
use crate::gateway::subsets::CapacityRange;
use crate::net::leader_connection::LeaderSubscriber;
use crate::net::rpc::pooler_messages::{SubsetRange, ToController, ToPooler};
use log::info;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

/// The time between two renewals, in milliseconds.
const RENEWAL_INTERVAL_MS: u64 = 450;

/// The state of the periodic renewals to the leader.
#[derive(Default)]
pub(super) struct Renewals {
    /// The sequence number of the last renewal.
    sequence: AtomicU64,
    /// The tick at which the last renewal was sent.
    last_sent_at: AtomicU64,
    /// The sequence number of the last renewal that the leader acknowledged on this connection; 0
    /// before the first.
    last_acknowledged: AtomicU64,
}

impl Gateway {
    /// Sends a renewal if the leader is connected and the last renewal was sent long enough ago.
    pub(super) fn renew_when_due(&self) {
        let last_sent_at = Tick(self.renewals.last_sent_at.load(Ordering::Relaxed));
        if self.leader.is_connected() && Tick::now().since(last_sent_at) >= RENEWAL_INTERVAL_MS {
            self.renew();
        }
    }

    fn renew(&self) {
        let now = Tick::now();
        let last_sent_at = Tick(self.renewals.last_sent_at.swap(now.0, Ordering::Relaxed));
        let load = self.demand_report(now.since(last_sent_at));
        let seq = self.renewals.sequence.fetch_add(1, Ordering::Relaxed) + 1;
        let last_grant_seq = self.renewals.last_acknowledged.load(Ordering::Relaxed);
        // Only poolers fill in the other fields: a gateway has no quotas and observes no
        // replication positions.
        let (quotas, demand, observed, bounds_requested) =
            (Vec::new(), Vec::new(), Vec::new(), Vec::new());
        self.leader.send(ToController::RenewLeases {
            seq,
            last_grant_seq,
            quotas,
            demand,
            observed,
            bounds_requested,
            load,
        });
    }

    /// The demand for each service for which it has changed enough to be reported, in hundredths of
    /// a request in flight.
    fn demand_report(&self, elapsed_ms: u64) -> Vec<(ServiceName, u32)> {
        let mut upstreams = lock(&self.upstreams);
        let services = upstreams.services.iter_mut();
        services
            .filter_map(|(name, service)| {
                Some((name.clone(), service.demand.next_report(elapsed_ms)?))
            })
            .collect()
    }

    /// Puts a route table in force, unless a table of the same or a newer revision already is.
    fn apply_route_table(&self, route_table: RouteTable) {
        let mut upstreams = lock(&self.upstreams);
        let known = upstreams.route_table.as_ref().map(|known| known.revision);
        if known.is_none_or(|known| known < route_table.revision) {
            info!(
                target: "gateway",
                "route table of configuration {} is in force", route_table.revision
            );
            upstreams.route_table = Some(Arc::new(route_table));
        }
    }

    fn has_revision(&self, revision: Revision) -> bool {
        self.route_table().is_some_and(|known| known.revision >= revision)
    }

    /// Applies a delta, or requests the full route table if the delta has another base revision.
    fn apply_route_table_delta(&self, delta: &RouteTableDelta, tenants: Option<TenantTable>) {
        match self.route_table().and_then(|known| known.apply_with_tenants(delta, tenants)) {
            Some(route_table) => self.apply_route_table(route_table),
            None => self.leader.send(ToController::RequestFullTable),
        }
    }

    fn assign_subsets(&self, subset_ranges: Vec<SubsetRange>) {
        let subsets = subset_ranges
            .into_iter()
            .map(|SubsetRange { service, start, end }| (service, CapacityRange { start, end }));
        lock(&self.upstreams).assign_subsets(subsets, &self.zone);
    }
}

impl LeaderSubscriber for Gateway {
    fn hello(&self) -> ToController {
        let revision = self.route_table().map_or(Revision(0), |table| table.revision);
        ToController::Hello {
            node: self.node.clone(),
            incarnation: self.incarnation,
            revision,
            zone: self.zone.clone(),
        }
    }

    fn on_connected(&self) {
        self.renewals.last_acknowledged.store(0, Ordering::Relaxed);
        self.allowance.reset_requests();
        for service in lock(&self.upstreams).services.values_mut() {
            service.demand.clear_reported();
        }
    }

    fn on_ready(&self) {
        self.renew();
    }

    fn on_message(&self, message: ToPooler) {
        match message {
            ToPooler::NotLeader(_)
            | ToPooler::Welcome { .. }
            | ToPooler::Revoke { .. }
            | ToPooler::HandOver { .. }
            | ToPooler::SyncReplicas(_) => {}
            ToPooler::RouteTable(route_table) => self.apply_route_table(*route_table),
            // Nothing changes, so the requests that wait for an endpoint need not be woken.
            ToPooler::RouteTableDelta(delta) | ToPooler::TenantRouteTableDelta { delta, .. }
                if self.has_revision(delta.revision) =>
            {
                return;
            }
            ToPooler::RouteTableDelta(delta) => self.apply_route_table_delta(&delta, None),
            ToPooler::TenantRouteTable { table, tenants } => {
                self.apply_route_table(table.with_tenants(*tenants));
            }
            ToPooler::TenantRouteTableDelta { delta, tenants } => {
                self.apply_route_table_delta(&delta, tenants.map(|tenants| *tenants));
            }
            ToPooler::GrantOperations(grants) => return self.allowance.apply(grants),
            ToPooler::Directory(entries) => {
                lock(&self.upstreams).replace_directory(entries, &self.zone);
            }
            ToPooler::DirectoryDelta { upserted, removed } => {
                lock(&self.upstreams).update_directory(upserted, &removed, &self.zone);
            }
            ToPooler::LeaseGrants { seq, subset_ranges, .. } => {
                self.renewals.last_acknowledged.store(seq, Ordering::Relaxed);
                if subset_ranges.is_empty() {
                    return;
                }
                self.assign_subsets(subset_ranges);
            }
            ToPooler::RenewNow => self.renew(),
        }
        self.upstreams_changed.notify_all();
    }
}
