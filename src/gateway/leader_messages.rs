//! What a gateway and the leader send each other: renewals with the node's demand one way; route
//! tables, the directory of endpoints and subsets the other.
use crate::base::ids::{Revision, ServiceName};
use crate::base::sync::lock;
use crate::base::time::Tick;
use crate::config::route_table::{RouteTable, RouteTableDelta};
use crate::gateway::server::Gateway;
use crate::gateway::subsets::CapacityRange;
use crate::net::leader_connection::LeaderSubscriber;
use crate::net::rpc::pooler_messages::{SubsetRange, ToController, ToPooler};
use log::info;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

/// The time between two renewals, in milliseconds.
const RENEW_MS: u64 = 450;

/// The renewals that this node sends to the leader.
#[derive(Default)]
pub(super) struct Renewals {
    /// The sequence number of the last one.
    sequence: AtomicU64,
    /// The tick when the last one was sent.
    last_sent: AtomicU64,
    /// The sequence number of the last one that the leader acknowledged on this connection.
    last_acknowledged: AtomicU64,
}

impl Gateway {
    pub(super) fn renew_when_due(&self) {
        let last_sent = Tick(self.renewals.last_sent.load(Ordering::Relaxed));
        if self.leader.is_connected() && Tick::now().since(last_sent) >= RENEW_MS {
            self.renew();
        }
    }

    fn renew(&self) {
        let now = Tick::now();
        let last_sent = Tick(self.renewals.last_sent.swap(now.0, Ordering::Relaxed));
        let load = self.demand_report(now.since(last_sent));
        let seq = self.renewals.sequence.fetch_add(1, Ordering::Relaxed) + 1;
        let last_grant_seq = self.renewals.last_acknowledged.load(Ordering::Relaxed);
        // A gateway holds no leases and reads no positions; only a pooler fills in the rest.
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

    /// The demand of each service whose demand has changed enough, in hundredths of a request in
    /// flight.
    fn demand_report(&self, elapsed_ms: u64) -> Vec<(ServiceName, u32)> {
        let mut upstreams = lock(&self.upstreams);
        let services = upstreams.services.iter_mut();
        services
            .filter_map(|(name, s)| Some((name.clone(), s.demand.next_report(elapsed_ms)?)))
            .collect()
    }

    /// Puts a route table in force; a gateway never goes back to an older revision.
    fn apply_route_table(&self, route_table: RouteTable) {
        let mut upstreams = lock(&self.upstreams);
        let known = upstreams.route_table.as_ref().map(|known| known.revision);
        if known.is_none_or(|known| known < route_table.revision) {
            info!(target: "gateway", "configuration {} is in force", route_table.revision);
            upstreams.route_table = Some(Arc::new(route_table));
        }
    }

    fn has_revision(&self, revision: Revision) -> bool {
        self.route_table().is_some_and(|known| known.revision >= revision)
    }

    /// Applies a change of the route table, or asks for a whole one if the change doesn't fit.
    fn apply_route_table_delta(&self, delta: &RouteTableDelta) {
        match self.route_table().and_then(|known| known.apply(delta)) {
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
        for service in lock(&self.upstreams).services.values_mut() {
            service.demand.forget_report();
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
            | ToPooler::HandOver { .. } => {}
            ToPooler::RouteTable(route_table) => self.apply_route_table(*route_table),
            // Nothing changes, so no request that waits for an endpoint has to be woken.
            ToPooler::RouteTableDelta(delta) if self.has_revision(delta.revision) => return,
            ToPooler::RouteTableDelta(delta) => self.apply_route_table_delta(&delta),
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
