//! Suspicion: reports of poolers, and missing heartbeats, that the primary is broken or silent.
//!
//! A report alone replaces nothing, as the pooler's own link may be broken. The primary is asked
//! itself, and its answer decides: it is lost, slow, unsteady or well.

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

/// A pooler's report of connections to the primary that broke.
#[derive(Clone, Debug)]
struct BrokenConnection {
    reported_at: Tick,
    reporter: NodeName,
}

/// What is known against the primary, and since when it is known to be well.
#[derive(Clone, Debug, Default)]
pub(super) struct Suspicion {
    /// Poolers whose requests the primary left unanswered since it was last known to be well.
    silent_reporters: BTreeSet<NodeName>,
    /// When the primary last described itself, or a change last ended.
    verified_at: Option<Tick>,
    /// When a replacement of a slow or unsteady primary was last tried.
    slow_replacement_at: Option<Tick>,
    /// When the primary was last found slow.
    slow_at: Option<Tick>,
    /// When the primary last left the leader's own request unanswered.
    unanswered_at: Option<Tick>,
    broken_connections: VecDeque<BrokenConnection>,
}

/// Whether a time is known and less than so many milliseconds ago.
fn is_within(at: Option<Tick>, limit_ms: u64, now: Tick) -> bool {
    at.is_some_and(|at| now.since(at) < limit_ms)
}

impl Suspicion {
    pub(super) fn clear_reporters(&mut self) {
        self.silent_reporters.clear();
    }

    /// The primary described itself, or a change has ended.
    pub(super) fn record_verified(&mut self, now: Tick) {
        self.clear_reporters();
        self.verified_at = Some(now);
    }

    /// Whether a primary without heartbeats is to be suspected; not right after it answered.
    pub(super) fn heeds_missing_heartbeats(&self, now: Tick) -> bool {
        self.verified_at.is_none_or(|at| now.since(at) > MISSING_HEARTBEATS_IGNORED_MS)
    }

    fn record_broken_connection(&mut self, reporter: &NodeName, now: Tick) {
        let reporter = reporter.clone();
        self.broken_connections.push_back(BrokenConnection { reported_at: now, reporter });
        if self.broken_connections.len() > MAX_STORED_BROKEN_CONNECTIONS {
            self.broken_connections.pop_front();
        }
    }

    /// Whether enough poolers wait for the primary's answers.
    fn is_silent_to_many(&self) -> bool {
        self.silent_reporters.len() >= NO_RESPONSE_REPORTERS_NEEDED
    }

    /// Whether the primary breaks connections of many poolers again and again, though it answers
    /// the leader: each break may cost a client its answer, and a replica may do better.
    fn is_unsteady(&self, now: Tick) -> bool {
        let recent = || {
            let recent =
                |b: &&BrokenConnection| now.since(b.reported_at) < BROKEN_CONNECTION_WINDOW_MS;
            self.broken_connections.iter().filter(recent)
        };
        let reporters = || recent().map(|b| &b.reporter).collect::<BTreeSet<_>>();
        recent().count() >= BROKEN_CONNECTIONS_NEEDED
            && reporters().len() >= BROKEN_CONNECTION_REPORTERS_NEEDED
    }

    /// Whether one unanswered request may have been a lost packet, so that the primary is asked
    /// once more.
    fn may_be_lost_packet(&self, now: Tick) -> bool {
        !self.is_silent_to_many()
            && self.unanswered_at.is_none_or(|at| now.since(at) > REPEATED_TIMEOUT_WINDOW_MS)
    }
}

impl Failover {
    /// Takes a pooler's report that it has trouble with a database.
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
            self.suspicion.silent_reporters.insert(reporter.clone());
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

    /// Asks the primary itself.
    pub(super) fn suspect_primary(
        &mut self,
        primary: &InstanceId,
        now: Tick,
    ) -> Vec<FailoverAction> {
        self.begin_attempt();
        self.state = FailoverState::Suspected { since: now, connected: false };
        vec![FailoverAction::SendRequest(primary.clone(), DatabaseRequest::Describe)]
    }

    /// The suspected primary's own answer, or none.
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
            // It answered late, or rejected even this request.
            let slow =
                now.since(since) > SLOW_RESPONSE_MS || *response == DatabaseResponse::NoDescription;
            self.return_to_steady(now);
            return if slow {
                self.handle_slow_primary(snapshot, record.term, now)
            } else if self.suspicion.is_unsteady(now) {
                self.replace_slow_primary(snapshot, record.term, now)
            } else {
                Vec::new()
            };
        }
        if *response == DatabaseResponse::TimedOut && self.suspicion.may_be_lost_packet(now) {
            self.suspicion.unanswered_at = Some(now);
            self.state = FailoverState::Suspected { since: now, connected: false };
            let (primary, describe) = (record.primary.clone(), DatabaseRequest::Describe);
            return vec![FailoverAction::SendRequest(primary, describe)];
        }
        self.fence(snapshot, now)
    }

    /// The primary was found slow. If that is the second time in a row, it is replaced.
    fn handle_slow_primary(
        &mut self,
        snapshot: &ServiceSnapshot,
        term: DbTerm,
        now: Tick,
    ) -> Vec<FailoverAction> {
        let twice = is_within(self.suspicion.slow_at, REPEATED_SLOW_WINDOW_MS, now);
        self.suspicion.slow_at = Some(now);
        if twice { self.replace_slow_primary(snapshot, term, now) } else { Vec::new() }
    }

    /// Plans a change away from a slow or unsteady primary, unless that was tried lately.
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

    /// The tick while the primary is suspected.
    pub(super) fn tick_suspected(
        &mut self,
        snapshot: &ServiceSnapshot,
        record: &PrimaryRecord,
        now: Tick,
    ) -> Vec<FailoverAction> {
        let FailoverState::Suspected { since, connected } = self.state else {
            return Vec::new();
        };
        let waited = now.since(since);
        if self.suspicion.is_silent_to_many() && waited >= CONNECT_WINDOW_MS {
            // Several poolers wait for answers. If its machine doesn't even accept a connection,
            // the primary is lost; if it does, the primary is slow, and a replica may do better
            // while it still serves.
            if !connected {
                return self.fence(snapshot, now);
            }
            self.suspicion.slow_at = Some(now);
            return self.replace_slow_primary(snapshot, record.term, now);
        }
        if waited > SUSPICION_TIMEOUT_MS {
            self.state = FailoverState::Steady;
        }
        Vec::new()
    }
}
