//! Suspicion of the primary, raised by reports of poolers or by missing heartbeats.
//!
//! A single report does not replace the primary, because the pooler's own link may be broken. The
//! leader asks the primary to describe itself, and decides by the response whether the primary is
//! lost, slow, unstable or healthy.

use super::actions::{DatabaseRequest, DatabaseResponse, FailoverAction};
use super::handover::HandoverCause;
use super::state::{FailoverState, PrimaryLeadership};
use super::timing::{
    BROKEN_CONNECTION_REPORTERS_NEEDED, BROKEN_CONNECTION_WINDOW_MS, BROKEN_CONNECTIONS_NEEDED,
    CONNECT_WINDOW_MS, MAX_STORED_BROKEN_CONNECTIONS, MISSING_HEARTBEATS_IGNORED_MS,
    NO_RESPONSE_REPORTERS_NEEDED, REPEATED_SLOW_WINDOW_MS, REPEATED_TIMEOUT_WINDOW_MS,
    REPORTS_IGNORED_MS, SLOW_REPLACEMENT_INTERVAL_MS, SLOW_RESPONSE_MS, SUSPICION_TIMEOUT_MS,
};
use super::{Failover, ServiceSnapshot};
use crate::base::ids::{DbTerm, InstanceId, NodeName};
use crate::base::time::Tick;
use crate::net::rpc::pooler_messages::SuspicionReason;
use crate::state_machine::PrimaryRecord;
use std::collections::{BTreeSet, VecDeque};

/// A pooler's report that its connections to the primary broke.
#[derive(Clone, Debug)]
struct BrokenConnection {
    reported_at: Tick,
    reporter: NodeName,
}

/// The reports against the primary, and when it was last found healthy, slow or unresponsive.
#[derive(Clone, Debug, Default)]
pub(super) struct Suspicion {
    /// The poolers that reported an unanswered request since the primary was last found healthy.
    no_response_reporters: BTreeSet<NodeName>,
    /// When the primary last responded to a suspicion, or a failover or handover last ended.
    verified_at: Option<Tick>,
    /// When a replacement of a slow or unstable primary was last attempted.
    slow_replacement_at: Option<Tick>,
    /// When the primary was last found slow.
    slow_at: Option<Tick>,
    /// When a request of the leader itself to the primary last timed out.
    timed_out_at: Option<Tick>,
    broken_connections: VecDeque<BrokenConnection>,
}

/// Whether a time is known and less than `limit_ms` ago.
fn is_within(at: Option<Tick>, limit_ms: u64, now: Tick) -> bool {
    at.is_some_and(|at| now.since(at) < limit_ms)
}

impl Suspicion {
    pub(super) fn clear_no_response_reports(&mut self) {
        self.no_response_reporters.clear();
    }

    /// Records that the primary responded to a suspicion, or that a failover or handover has
    /// ended.
    pub(super) fn record_verified(&mut self, now: Tick) {
        self.clear_no_response_reports();
        self.verified_at = Some(now);
    }

    /// Whether missing heartbeats are a reason to suspect the primary. They are not for some time
    /// after it responded.
    pub(super) fn considers_missing_heartbeats(&self, now: Tick) -> bool {
        self.verified_at.is_none_or(|at| now.since(at) > MISSING_HEARTBEATS_IGNORED_MS)
    }

    fn record_broken_connection(&mut self, reporter: &NodeName, now: Tick) {
        let reporter = reporter.clone();
        self.broken_connections.push_back(BrokenConnection { reported_at: now, reporter });
        if self.broken_connections.len() > MAX_STORED_BROKEN_CONNECTIONS {
            self.broken_connections.pop_front();
        }
    }

    /// Whether enough poolers have reported that the primary does not respond.
    fn is_reported_unresponsive(&self) -> bool {
        self.no_response_reporters.len() >= NO_RESPONSE_REPORTERS_NEEDED
    }

    /// Whether the primary repeatedly breaks connections of several poolers although it responds to
    /// the leader. Each broken connection may cost a client its response, and a replica may be more
    /// stable.
    fn is_unstable(&self, now: Tick) -> bool {
        let recent = || {
            let in_window = |report: &&BrokenConnection| {
                now.since(report.reported_at) < BROKEN_CONNECTION_WINDOW_MS
            };
            self.broken_connections.iter().filter(in_window)
        };
        let reporters = || recent().map(|report| &report.reporter).collect::<BTreeSet<_>>();
        recent().count() >= BROKEN_CONNECTIONS_NEEDED
            && reporters().len() >= BROKEN_CONNECTION_REPORTERS_NEEDED
    }

    /// Whether a time-out may be due to a single lost packet, so that the primary is asked once
    /// more.
    fn may_be_lost_packet(&self, now: Tick) -> bool {
        !self.is_reported_unresponsive()
            && self.timed_out_at.is_none_or(|at| now.since(at) > REPEATED_TIMEOUT_WINDOW_MS)
    }
}

impl Failover {
    /// Handles a pooler's report of a problem with a database.
    pub fn report_suspicion(
        &mut self,
        snapshot: &ServiceSnapshot,
        reporter: &NodeName,
        database: &InstanceId,
        reason: SuspicionReason,
        now: Tick,
    ) -> Vec<FailoverAction> {
        if !snapshot.is_primary(database) {
            return Vec::new();
        }
        if reason == SuspicionReason::ConnectionsBroken {
            self.suspicion.record_broken_connection(reporter, now);
        }
        if is_within(self.suspicion.verified_at, REPORTS_IGNORED_MS, now) {
            return Vec::new();
        }
        if reason == SuspicionReason::NoResponse {
            self.suspicion.no_response_reporters.insert(reporter.clone());
        }
        match &self.state {
            FailoverState::Suspected { .. } => self.tick(snapshot, now),
            FailoverState::Steady => self.suspect_primary(database, now),
            FailoverState::HandingOver(_) => {
                vec![FailoverAction::SendRequest(database.clone(), DatabaseRequest::Describe)]
            }
            _ => Vec::new(),
        }
    }

    /// Suspects the primary and asks it to describe itself.
    pub(super) fn suspect_primary(
        &mut self,
        primary: &InstanceId,
        now: Tick,
    ) -> Vec<FailoverAction> {
        self.begin_attempt();
        self.state = FailoverState::Suspected { since: now, connected: false };
        vec![FailoverAction::SendRequest(primary.clone(), DatabaseRequest::Describe)]
    }

    /// Handles the response of a suspected primary, or its absence.
    pub(super) fn handle_suspected_primary(
        &mut self,
        snapshot: &ServiceSnapshot,
        database: &InstanceId,
        response: &DatabaseResponse,
        now: Tick,
    ) -> Vec<FailoverAction> {
        let FailoverState::Suspected { since, .. } = self.state else { return Vec::new() };
        let record = snapshot.primary_record.as_ref();
        let Some(record) = record.filter(|r| r.primary == *database) else {
            return Vec::new();
        };
        if PrimaryLeadership::of(response, record) == PrimaryLeadership::Leads {
            // It responded late, or rejected the request.
            let slow =
                now.since(since) > SLOW_RESPONSE_MS || *response == DatabaseResponse::NoDescription;
            self.return_to_steady(now);
            return if slow {
                self.handle_slow_primary(snapshot, record.term, now)
            } else if self.suspicion.is_unstable(now) {
                self.replace_slow_primary(snapshot, record.term, now)
            } else {
                Vec::new()
            };
        }
        if response.leaves_request_open() && self.suspicion.may_be_lost_packet(now) {
            self.suspicion.timed_out_at = Some(now);
            self.state = FailoverState::Suspected { since: now, connected: false };
            let (primary, describe) = (record.primary.clone(), DatabaseRequest::Describe);
            return vec![FailoverAction::SendRequest(primary, describe)];
        }
        self.fence(snapshot, now)
    }

    /// Handles that the primary was found slow. It is replaced if it was found slow shortly before.
    fn handle_slow_primary(
        &mut self,
        snapshot: &ServiceSnapshot,
        term: DbTerm,
        now: Tick,
    ) -> Vec<FailoverAction> {
        let is_repeated = is_within(self.suspicion.slow_at, REPEATED_SLOW_WINDOW_MS, now);
        self.suspicion.slow_at = Some(now);
        if is_repeated { self.replace_slow_primary(snapshot, term, now) } else { Vec::new() }
    }

    /// Starts a handover from a slow or unstable primary, unless one was attempted recently.
    fn replace_slow_primary(
        &mut self,
        snapshot: &ServiceSnapshot,
        term: DbTerm,
        now: Tick,
    ) -> Vec<FailoverAction> {
        let last = self.suspicion.slow_replacement_at;
        if is_within(last, SLOW_REPLACEMENT_INTERVAL_MS, now) {
            return Vec::new();
        }
        self.suspicion.slow_replacement_at = Some(now);
        self.begin_handover(snapshot, term, HandoverCause::Slow, now)
    }

    /// Decides without a response of the primary if enough poolers reported that it does not
    /// respond. Otherwise ends the suspicion after its time-out.
    pub(super) fn tick_suspected(
        &mut self,
        snapshot: &ServiceSnapshot,
        record: &PrimaryRecord,
        now: Tick,
    ) -> Vec<FailoverAction> {
        let FailoverState::Suspected { since, connected } = self.state else {
            return Vec::new();
        };
        let elapsed_ms = now.since(since);
        if self.suspicion.is_reported_unresponsive() && elapsed_ms >= CONNECT_WINDOW_MS {
            // Several poolers get no responses. If the primary's machine does not accept a
            // connection either, the primary is lost. Otherwise it is slow, and is replaced by a
            // handover while it still serves.
            if !connected {
                return self.fence(snapshot, now);
            }
            self.suspicion.slow_at = Some(now);
            return self.replace_slow_primary(snapshot, record.term, now);
        }
        if elapsed_ms > SUSPICION_TIMEOUT_MS {
            self.state = FailoverState::Steady;
        }
        Vec::new()
    }
}
