//! Lease renewals of poolers and gateways (nodes): records what a renewal reports, and responds
//! with the leases, connection quotas, replication watermarks and subset ranges for the node.
use crate::base::ids::{NodeName, ServiceName};
use crate::base::time::Tick;
use crate::controller::core::Controller;
use crate::controller::effects::Effects;
use crate::controller::pooler_subscriptions::{PendingRenewal, SentGrants};
use crate::failover::Failover;
use crate::leases::lease_table::LEASE_MS;
use crate::net::rpc::Frame;
use crate::net::rpc::pooler_messages::{
    LeaseGrant, ObservedPosition, OperationGrant, OperationRequest, PrimaryStatus, ToController,
    ToPooler,
};
use crate::state_machine::PrimaryRecord;
use std::collections::BTreeSet;

/// Number of sent responses remembered for each node. A reported observation is dated by the latest
/// response that the node had received when it made the observation.
const MAX_SENT_GRANTS: usize = 4;

impl<E: Effects> Controller<E> {
    /// Handles a renewal. The response is sent once the node's send queue is empty. Other messages
    /// are ignored.
    pub(super) fn handle_renewal(
        &mut self,
        conn: u64,
        node: &NodeName,
        message: ToController,
        now: Tick,
    ) {
        let ToController::RenewLeases {
            seq,
            last_grant_seq,
            quotas,
            demand,
            observed,
            bounds_requested,
            load,
        } = message
        else {
            return;
        };
        let zone = self.subscribers.get(&conn).map(|s| s.zone.as_str()).unwrap_or_default();
        if let Some(leader_state) = &mut self.leader_state {
            for (service, load) in load {
                leader_state.subset_assignments.report_load(node, zone, service, load);
            }
            for service in leader_state.leases.report_quotas(node, quotas, now) {
                leader_state.pending_updates.mark_changed(&service);
            }
            for (service, requested) in demand {
                if self.services.contains_key(&service) {
                    leader_state.leases.request_quota(node, &service, requested, now);
                }
            }
        }
        self.record_observed_positions(conn, last_grant_seq, &observed, now);
        if let Some(subscriber) = self.subscribers.get_mut(&conn) {
            subscriber.renewal = Some(PendingRenewal { seq, bounds_requested });
        }
        self.send_due_updates(conn, now);
    }

    /// Records the replication positions that a node observed at primaries after it had received
    /// the response `last_grant_seq`. If that response is no longer remembered, the age of the
    /// positions is unknown and they are ignored.
    fn record_observed_positions(
        &mut self,
        conn: u64,
        last_grant_seq: u64,
        observed: &[ObservedPosition],
        now: Tick,
    ) {
        let subscriber = self.subscribers.get(&conn);
        let grants =
            subscriber.and_then(|s| s.sent_grants.iter().find(|g| g.seq == last_grant_seq));
        if let (Some(grants), Some(leader_state)) = (grants, &mut self.leader_state) {
            for position in observed {
                let record = self.state_machine.primaries().get(&position.service);
                leader_state.watermarks.observe(record, grants.sent_at, position, now);
            }
        }
    }

    /// Grants a node operations of tenants, unless this controller may not be the leader any more.
    pub(super) fn grant_operations(
        &mut self,
        conn: u64,
        requests: Vec<OperationRequest>,
        now: Tick,
    ) {
        if !self.raft.holds_leader_lease(now) {
            return;
        }
        let Some(leader_state) = &mut self.leader_state else { return };
        let grants = requests.into_iter().map(|OperationRequest { tenant, count, number }| {
            let Some(limit) = self.operation_limits.get(&tenant).copied() else {
                // The node's configuration is older or newer, and has a limit that this has not.
                return OperationGrant { tenant, count, retry_after_ms: 0, number };
            };
            let granted = leader_state.operation_grants.grant(&tenant, limit, count, now);
            let (count, retry_after_ms) = (granted.count, granted.retry_after_ms);
            OperationGrant { tenant, count, retry_after_ms, number }
        });
        let grants = grants.collect();
        self.send_frame(conn, &Frame::Controller(ToPooler::GrantOperations(grants)));
    }

    /// Responds to a renewal. The response renews all grants sent on this connection and contains
    /// those that changed.
    pub(super) fn send_lease_grants(&mut self, conn: u64, renewal: &PendingRenewal, now: Tick) {
        if !self.raft.holds_leader_lease(now) {
            return;
        }
        let Some(leader_state) = &mut self.leader_state else { return };
        let Some(subscriber) = self.subscribers.get_mut(&conn) else { return };
        let node = &subscriber.node;
        let complete = subscriber.updates_sent.is_none();
        let mut unsent = std::mem::take(&mut subscriber.released);
        unsent.extend(leader_state.leases.services_with_quota_requests(node).cloned());
        let sent = subscriber.updates_sent;
        let due: BTreeSet<&ServiceName> =
            match sent.and_then(|n| leader_state.pending_updates.changed_since(n)) {
                None => self.services.keys().collect(),
                Some(changed) => changed.chain(&unsent).chain(&leader_state.sealed).collect(),
            };
        let mut grants = Vec::new();
        for service in due.into_iter().filter_map(|name| self.services.get(name)) {
            let record = self.state_machine.primaries().get(&service.name);
            let failover = leader_state.failovers.get(&service.name);
            let status = primary_status(record, failover, subscriber.supports_handover());
            let limit = service.max_connections;
            let quota = leader_state.leases.quota(node, &service.name, limit, now);
            let grant = LeaseGrant { service: service.name.clone(), status, quota };
            grants.extend(leader_state.leases.grant(node, grant));
        }
        leader_state.leases.renew(node, now);
        subscriber.updates_sent = Some(leader_state.pending_updates.latest());
        if subscriber.sent_grants.len() == MAX_SENT_GRANTS {
            subscriber.sent_grants.pop_front();
        }
        subscriber.sent_grants.push_back(SentGrants { seq: renewal.seq, sent_at: now });
        let requested = renewal.bounds_requested.iter();
        let position_bounds = requested
            .filter_map(|name| leader_state.watermarks.position_bound(name, now))
            .collect();
        let subset_ranges =
            leader_state.subset_assignments.take_updates(&subscriber.node, complete);
        let seq = renewal.seq;
        let response = ToPooler::LeaseGrants {
            seq,
            lease_ms: LEASE_MS,
            complete,
            grants,
            position_bounds,
            subset_ranges,
        };
        self.send_frame(conn, &Frame::Controller(response));
    }
}

/// Returns the status of a service's primary as granted to a node. It is `Absent` while the leases
/// are being revoked, before this leader has checked the service, and during a handover if the node
/// doesn't support handovers.
fn primary_status(
    record: Option<&PrimaryRecord>,
    failover: Option<&Failover>,
    supports_handover: bool,
) -> PrimaryStatus {
    let (Some(record), Some(failover)) = (record, failover) else {
        return PrimaryStatus::Absent;
    };
    if failover.revoking {
        return failover.sealed.map_or(PrimaryStatus::Absent, PrimaryStatus::Sealed);
    }
    let primary = record.primary.clone();
    match &failover.handover {
        None => PrimaryStatus::Active { term: record.term, primary },
        Some(handover) if supports_handover => {
            PrimaryStatus::HandingOver { primary, handover: handover.clone() }
        }
        Some(_) => PrimaryStatus::Absent,
    }
}
