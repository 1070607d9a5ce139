//! The messages between the pooler and the leading controller: lease renewals, revocations, updates
//! of routes and of the directory, and reports of suspected databases.
use crate::base::ids::{DbTerm, InstanceId, Revision, ServiceName};
use crate::base::sync::lock;
use crate::base::time::Tick;
use crate::config::route_table::{RouteTable, RouteTableDelta};
use crate::config::tenants::TenantTable;
use crate::net::leader_connection::{LeaderConnection, LeaderSubscriber};
use crate::net::rpc::pooler_messages::{
    LeaseGrant, ObservedPosition, PositionBound, PrimaryStatus, SuspicionReason, ToController,
    ToPooler,
};
use crate::pooler::cluster_view::{ClusterView, ServiceView};
use crate::pooler::leases::{PrimaryLease, QUOTA_VALID_MS, Revocation};
use crate::pooler::pool::ConnectionPool;
use crate::pooler::replica_reads::{
    RENEWAL_INTERVAL_MS, URGENT_RENEWAL_INTERVAL_MS, elapsed_lower_bound_ms,
};
use crate::pooler::server::Pooler;
use log::info;
use std::collections::{BTreeSet, VecDeque};
use std::sync::Mutex;
use std::sync::atomic::{AtomicU64, Ordering};

/// The maximum number of sent renewals that are kept to match their answers.
const MAX_UNANSWERED_RENEWALS: usize = 16;

/// The minimum interval in ms between two suspicion reports of the same database.
const SUSPICION_INTERVAL_MS: u64 = 250;

/// The renewals that were sent to a leader, and their answers.
#[derive(Default)]
pub(super) struct Renewals {
    /// The number of the last renewal.
    last_number: AtomicU64,
    /// The renewals that may still be answered, from the oldest to the newest.
    sent: Mutex<VecDeque<NumberedTick>>,
    /// The last answer on the current connection to a leader, and when it arrived.
    last_answer: Mutex<Option<NumberedTick>>,
    /// The tick of the last answer from any leader.
    answered_at: AtomicU64,
}

/// The number of a renewal, with the time at which the renewal was sent or its answer arrived.
#[derive(Clone, Copy)]
struct NumberedTick {
    number: u64,
    at: Tick,
}

impl Renewals {
    /// When a leader last answered a renewal.
    pub(super) fn last_answered_at(&self) -> Tick {
        Tick(self.answered_at.load(Ordering::Relaxed))
    }

    /// Whether the last renewal was sent at least `interval_ms` ago, or none was sent yet.
    fn is_due(&self, now: Tick, interval_ms: u64) -> bool {
        let last = lock(&self.sent).back().map(|renewal| renewal.at);
        last.is_none_or(|at| now.since(at) >= interval_ms)
    }

    /// Records that a renewal is about to be sent, and returns its number.
    fn begin(&self, now: Tick) -> u64 {
        let number = self.last_number.fetch_add(1, Ordering::Relaxed) + 1;
        let mut sent = lock(&self.sent);
        sent.push_back(NumberedTick { number, at: now });
        if sent.len() > MAX_UNANSWERED_RENEWALS {
            sent.pop_front();
        }
        number
    }

    /// Records that the answer to a renewal arrived. Returns when the renewal was sent, or tick 0
    /// if that is no longer known.
    fn record_answer(&self, number: u64) -> Tick {
        *lock(&self.last_answer) = Some(NumberedTick { number, at: Tick::now() });
        let sent_at = {
            let mut sent = lock(&self.sent);
            let found = sent.iter().find(|renewal| renewal.number == number).map(|r| r.at);
            sent.retain(|renewal| renewal.number >= number);
            found
        };
        self.answered_at.store(Tick::now().0, Ordering::Relaxed);
        sent_at.unwrap_or(Tick(0))
    }
}

impl LeaderSubscriber for Pooler {
    fn hello(&self) -> ToController {
        ToController::Hello {
            node: self.node.clone(),
            incarnation: self.incarnation,
            revision: self.route_table().map_or(Revision(0), |table| table.revision),
            zone: self.zone.clone(),
        }
    }

    /// Resets what was reported to the leader: it has to be reported again on each connection.
    fn on_connected(&self) {
        for service in lock(&self.view).services.values_mut() {
            service.quota.clear_reported();
        }
        *lock(&self.renewals.last_answer) = None;
        self.allowance.reset_requests();
    }

    fn on_ready(&self) {
        self.renew();
    }

    fn on_message(&self, message: ToPooler) {
        match message {
            ToPooler::NotLeader(_) | ToPooler::Welcome { .. } => {}
            ToPooler::RouteTable(table) => self.apply_route_table(*table),
            ToPooler::RouteTableDelta(delta) => self.apply_route_table_delta(&delta, None),
            ToPooler::TenantRouteTable { table, tenants } => {
                self.apply_route_table(table.with_tenants(*tenants));
            }
            ToPooler::TenantRouteTableDelta { delta, tenants } => {
                self.apply_route_table_delta(&delta, tenants.map(|tenants| *tenants));
            }
            ToPooler::GrantOperations(grants) => self.allowance.apply(grants),
            ToPooler::Directory(entries) => {
                lock(&self.view).set_directory(entries, Tick::now());
            }
            ToPooler::DirectoryDelta { upserted, removed } => {
                let mut view = lock(&self.view);
                let now = Tick::now();
                removed.iter().for_each(|id| view.remove_database(id, now));
                upserted.into_iter().for_each(|entry| view.upsert_database(entry, now, now));
            }
            ToPooler::LeaseGrants { seq, lease_ms, complete, grants, position_bounds, .. } => {
                self.apply_grants(RenewalAnswer {
                    number: seq,
                    lease_ms,
                    complete,
                    grants,
                    position_bounds,
                });
            }
            ToPooler::Revoke { service, term } => self.revoke(service, term),
            ToPooler::HandOver { service, handover } => self.begin_handover(&service, handover),
            ToPooler::SyncReplicas(counts) => lock(&self.view).set_sync_replicas(&counts),
            ToPooler::RenewNow => self.renew(),
        }
    }
}

/// A leader's answer to a renewal.
struct RenewalAnswer {
    number: u64,
    /// The duration of a lease, counted from when its renewal was sent.
    lease_ms: u64,
    /// Whether the answer lists all leases, as the first one on a connection does. Leases that are
    /// not in it are dropped.
    complete: bool,
    /// The grants that have changed. All others that were made on this connection are renewed.
    grants: Vec<LeaseGrant>,
    /// The watermarks that were requested.
    position_bounds: Vec<PositionBound>,
}

impl Pooler {
    // -- to the leader ---------------------------------------------------------------------------

    /// Sends a message to the leader, if one is connected. A lost message is not sent again.
    pub(super) fn send_to_leader(&self, message: ToController) {
        self.leader.send(message);
    }

    /// Reports to the leader that a database may have failed, at most once per
    /// `SUSPICION_INTERVAL_MS`.
    pub(crate) fn report_suspicion(
        &self,
        pool: &ConnectionPool,
        reason: SuspicionReason,
        now: Tick,
    ) {
        {
            let mut suspicions = lock(&self.suspicions);
            let last = suspicions.get(&pool.id);
            if last.is_some_and(|at| now.since(*at) < SUSPICION_INTERVAL_MS) {
                return;
            }
            suspicions.insert(pool.id.clone(), now);
        }
        let (service, instance) = (pool.service.clone(), pool.id.clone());
        self.send_to_leader(ToController::Suspect { service, instance, reason });
    }

    /// Renews early because a session waits for a watermark or a larger quota from the leader, at
    /// most once per `URGENT_RENEWAL_INTERVAL_MS`.
    pub(crate) fn renew_soon(&self, now: Tick) {
        self.renew_if_due(now, URGENT_RENEWAL_INTERVAL_MS);
    }

    /// Renews if `RENEWAL_INTERVAL_MS` has passed since the last renewal.
    pub(super) fn renew_when_due(&self) {
        self.renew_if_due(Tick::now(), RENEWAL_INTERVAL_MS);
    }

    fn renew_if_due(&self, now: Tick, interval_ms: u64) {
        if self.renewals.is_due(now, interval_ms) && self.leader.is_connected() {
            self.renew();
        }
    }

    /// Requests a renewal of all leases, and reports what has changed since the last renewal.
    fn renew(&self) {
        // Numbered and sent under the connection's lock, so that the leader receives renewals and
        // acknowledgements of revocations in the order in which this pooler decided on them.
        let mut leader = self.leader.lock();
        let now = Tick::now();
        let last_answer = *lock(&self.renewals.last_answer);
        let (mut quotas, mut demand) = (Vec::new(), Vec::new());
        let (mut observed, mut bounds_requested) = (Vec::new(), Vec::new());
        for (name, service) in &mut lock(&self.view).services {
            quotas.extend(service.take_quota_report().map(|quota| (name.clone(), quota)));
            let unmet_demand = service.unmet_demand();
            if unmet_demand > 0 {
                demand.push((name.clone(), unmet_demand));
            }
            observed.extend(take_observed_position(name, service, last_answer));
            if service.needs_watermark(now) {
                bounds_requested.push(name.clone());
            }
        }
        let last_grant_seq = last_answer.map_or(0, |answer| answer.number);
        // The lease duration counts from `now`, which is before the request is sent and before the
        // view was read above.
        let seq = self.renewals.begin(now);
        let renewal = ToController::RenewLeases {
            seq,
            last_grant_seq,
            quotas,
            demand,
            observed,
            bounds_requested,
            load: Vec::new(),
        };
        LeaderConnection::send_locked(&mut leader, renewal);
    }

    // -- from the leader -------------------------------------------------------------------------

    /// Gives up the lease on a term and on earlier ones, and acknowledges that to the leader: from
    /// now on nothing is sent to their primaries and no commit of theirs is forwarded.
    fn revoke(&self, service: ServiceName, term: DbTerm) {
        let mut leader = self.leader.lock();
        let highest = {
            let mut view = lock(&self.view);
            let service = view.services.entry(service.clone()).or_default();
            let last_renewal = self.renewals.last_number.load(Ordering::Relaxed);
            service.revocation = Some(Revocation { term, last_renewal });
            if service.lease.term().is_some_and(|held| held <= term) {
                service.lease = PrimaryLease::None;
                service.lease_lost_at = Some(Tick::now());
            }
            service.highest_commit
        };
        info!(
            target: "lease",
            "{service}: gave up the lease on term {term}; nothing is sent to its primary any more"
        );
        let ack = ToController::RevokeAck { service, term, highest };
        LeaderConnection::send_locked(&mut leader, ack);
        drop(leader);
        self.view_changed.notify_all();
    }

    /// Gives up every lease, so that the leader learns the highest commit that was forwarded for
    /// each service.
    pub(super) fn release_leases(&self) {
        let held = |(name, service): (&ServiceName, &ServiceView)| {
            service.lease.term().map(|term| (name.clone(), term))
        };
        let leases: Vec<_> = lock(&self.view).services.iter().filter_map(held).collect();
        leases.into_iter().for_each(|(service, term)| self.revoke(service, term));
    }

    fn apply_route_table(&self, table: RouteTable) {
        let revision = table.revision;
        if lock(&self.view).set_route_table(table) {
            info!(target: "pooler", "route table of configuration {revision} is in force");
        }
    }

    /// Applies a delta, or requests the full route table if the delta has an unknown base.
    fn apply_route_table_delta(&self, delta: &RouteTableDelta, tenants: Option<TenantTable>) {
        let table = self.route_table();
        if table.as_ref().is_some_and(|table| table.revision >= delta.revision) {
            return;
        }
        match table.and_then(|table| table.apply_with_tenants(delta, tenants)) {
            Some(table) => self.apply_route_table(table),
            None => self.send_to_leader(ToController::RequestFullTable),
        }
    }

    /// Applies the answer to a renewal. This includes an answer to a renewal that is no longer
    /// known here, since the leader does not repeat its contents; the leases in it have expired by
    /// then.
    fn apply_grants(&self, answer: RenewalAnswer) {
        let requested_at = self.renewals.record_answer(answer.number);
        let applied = lock(&self.view).apply_grants(answer, requested_at);
        if applied.changed {
            self.view_changed.notify_all();
        }
        applied.acknowledgements.into_iter().for_each(|message| self.send_to_leader(message));
    }
}

/// The effects of an answer to a renewal.
struct AppliedGrants {
    /// Whether the view changed in a way that sessions may wait for.
    changed: bool,
    /// The acknowledgements for the leader.
    acknowledgements: Vec<ToController>,
}

/// Takes the position to report for a service, if there is a new one and it was observed after the
/// leader's last answer, which the reported time is relative to.
fn take_observed_position(
    name: &ServiceName,
    service: &mut ServiceView,
    last_answer: Option<NumberedTick>,
) -> Option<ObservedPosition> {
    let unreported = service.take_unreported_position()?;
    let sent_after_ms = elapsed_lower_bound_ms(last_answer?.at, unreported.sent_at)?;
    let (term, position) = (unreported.term, unreported.position);
    Some(ObservedPosition { service: name.clone(), term, position, sent_after_ms })
}

impl ClusterView {
    /// Applies the answer to a renewal that was sent at `requested_at`.
    fn apply_grants(&mut self, answer: RenewalAnswer, requested_at: Tick) -> AppliedGrants {
        let RenewalAnswer { number, lease_ms, complete, grants, position_bounds } = answer;
        if complete {
            self.drop_leases_except(&grants);
        }
        let mut changed = complete || !position_bounds.is_empty() || !grants.is_empty();
        for PositionBound { service, position, age_ms } in position_bounds {
            if let Some(service) = self.services.get_mut(&service)
                && let Some(sent_at) = requested_at.0.checked_sub(age_ms)
            {
                service.watermarks.observe(Tick(sent_at), position);
            }
        }
        let mut acknowledgements = Vec::new();
        for grant in grants {
            let service = self.services.entry(grant.service.clone()).or_default();
            acknowledgements.extend(service.apply_grant(grant, number, requested_at));
        }
        // The answer renews all leases and quotas that were granted on this connection.
        for service in self.services.values_mut() {
            service.lease.renew(requested_at.plus(lease_ms));
            service.quota.renew(requested_at.plus(QUOTA_VALID_MS));
            changed |= service.apply_quota(Tick::now());
        }
        AppliedGrants { changed, acknowledgements }
    }

    fn drop_leases_except(&mut self, grants: &[LeaseGrant]) {
        let granted: BTreeSet<&ServiceName> = grants.iter().map(|grant| &grant.service).collect();
        for (name, service) in &mut self.services {
            if !granted.contains(name) {
                service.lease = PrimaryLease::None;
            }
        }
    }
}

impl ServiceView {
    /// Applies a grant from the answer to a renewal; the caller then renews its lease. Returns the
    /// acknowledgement of a handover, if there is one.
    fn apply_grant(
        &mut self,
        grant: LeaseGrant,
        renewal: u64,
        requested_at: Tick,
    ) -> Option<ToController> {
        let had_lease = self.lease.term().is_some();
        let LeaseGrant { service, status, quota } = grant;
        self.quota.size = quota;
        let mut acknowledgement = None;
        match status {
            PrimaryStatus::Active { term, primary } => {
                self.confirmation.end_handover();
                self.accept_lease(&service, term, primary, renewal, requested_at);
            }
            PrimaryStatus::HandingOver { primary, handover } => {
                let term = handover.term;
                acknowledgement = Some(self.begin_handover(&service, handover));
                self.accept_lease(&service, term, primary, renewal, requested_at);
            }
            PrimaryStatus::Sealed(position) => {
                self.lease = PrimaryLease::None;
                self.watermarks.observe(requested_at, position);
            }
            PrimaryStatus::Absent => self.lease = PrimaryLease::None,
        }
        if had_lease && self.lease.term().is_none() {
            self.lease_lost_at = Some(Tick::now());
            info!(target: "lease", "{service}: lease lost, as the leader grants none");
        }
        acknowledgement
    }

    /// Accepts a lease, unless it was granted before its revocation.
    fn accept_lease(
        &mut self,
        service: &ServiceName,
        term: DbTerm,
        primary: InstanceId,
        renewal: u64,
        requested_at: Tick,
    ) {
        if self.revocation.is_some_and(|revocation| revocation.covers(term, renewal)) {
            return;
        }
        if self.lease.term() != Some(term) {
            info!(target: "lease", "{service}: {primary} leads term {term}");
        }
        self.lease = PrimaryLease::Granted { term, primary, expires_at: requested_at };
        self.lease_lost_at = None;
    }
}
