//! Lease renewals of poolers and gateways: takes in what a renewal reports, and answers with the
//! leases, quota shares, watermarks and subset ranges that are due to the node.
use crate::base::ids::{NodeName, ServiceName};
use crate::base::time::Tick;
use crate::controller::core::Controller;
use crate::controller::effects::Effects;
use crate::controller::pooler_subscriptions::{PendingRenewal, SentAnswer};
use crate::failover::Failover;
use crate::leases::lease_table::LEASE_MS;
use crate::net::rpc::Frame;
use crate::net::rpc::pooler_messages::{
    LeaseGrant, ObservedPosition, PrimaryStatus, ToController, ToPooler,
};
use crate::state_machine::PrimaryRecord;
use std::collections::BTreeSet;

/// Answers to one node that are remembered: what it observes is dated by the newest of them that
/// it had received before.
const MAX_REMEMBERED_ANSWERS: usize = 4;

impl<E: Effects> Controller<E> {
    /// Handles a renewal; it is answered once nothing older is queued for the node. Other messages
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
            for (service, more) in demand {
                if self.services.contains_key(&service) {
                    leader_state.leases.request_quota(node, &service, more, now);
                }
            }
        }
        self.record_observed_positions(conn, last_grant_seq, &observed, now);
        if let Some(subscriber) = self.subscribers.get_mut(&conn) {
            subscriber.renewal = Some(PendingRenewal { seq, bounds_requested });
        }
        self.send_due_updates(conn, now);
    }

    /// Records the positions that a node observed at primaries after it had received the answer
    /// with the number `last_grant_seq`. Without that answer their age is unknown.
    fn record_observed_positions(
        &mut self,
        conn: u64,
        last_grant_seq: u64,
        observed: &[ObservedPosition],
        now: Tick,
    ) {
        let subscriber = self.subscribers.get(&conn);
        let answer = subscriber.and_then(|s| s.answers.iter().find(|a| a.seq == last_grant_seq));
        if let (Some(answer), Some(leader_state)) = (answer, &mut self.leader_state) {
            for position in observed {
                let record = self.state_machine.primaries().get(&position.service);
                leader_state.watermarks.observe(record, answer.sent_at, position, now);
            }
        }
    }

    /// Answers a renewal: it renews all grants that were sent on this connection, and holds those
    /// that changed.
    pub(super) fn answer_renewal(&mut self, conn: u64, renewal: &PendingRenewal, now: Tick) {
        if !self.raft.holds_leader_lease(now) {
            return;
        }
        let Some(leader_state) = &mut self.leader_state else { return };
        let Some(subscriber) = self.subscribers.get_mut(&conn) else { return };
        let node = &subscriber.node;
        let complete = subscriber.updates_sent.is_none();
        let mut unsent = std::mem::take(&mut subscriber.released);
        unsent.extend(leader_state.leases.services_with_requests(node).cloned());
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
        if subscriber.answers.len() == MAX_REMEMBERED_ANSWERS {
            subscriber.answers.pop_front();
        }
        subscriber.answers.push_back(SentAnswer { seq: renewal.seq, sent_at: now });
        let requested = renewal.bounds_requested.iter();
        let position_bounds =
            requested.filter_map(|name| leader_state.watermarks.bound(name, now)).collect();
        let subset_ranges =
            leader_state.subset_assignments.take_updates(&subscriber.node, complete);
        let seq = renewal.seq;
        let answer = ToPooler::LeaseGrants {
            seq,
            lease_ms: LEASE_MS,
            complete,
            grants,
            position_bounds,
            subset_ranges,
        };
        self.send_frame(conn, &Frame::Controller(answer));
    }
}

/// What a node may know of a service's primary: it is absent while its leases are revoked, before
/// this leader has checked the service, and during a handover to a node that knows none.
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
