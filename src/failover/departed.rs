//! The departed replica check, which decides whether a replica that has left the directory can be
//! forgotten.
//!
//! A departed replica continues to count for the acknowledgement of commits until its process
//! stops, which may be long after it departed. While its log may hold the only copy of such a
//! commit, the selection of a promotion target has to take it into account. Therefore it is probed
//! until it refuses the connection. Once it has, and no pooler counts it as listed any more, the
//! primary is asked for its position: no commit that was forwarded because of the departed replica
//! lies beyond it. Once enough registered replicas have reached that position, the departed replica
//! is forgotten.

use super::actions::{Attempt, DatabaseRequest, DatabaseResponse, FailoverAction};
use super::timing::{
    DEPARTED_ASSUMED_STOPPED_MS, DEPARTED_CHECK_BACKOFF_MS, DEPARTED_CHECK_MAX_BACKOFF_MS,
    DEPARTED_CHECK_TIMEOUT_MS, DEPARTED_LISTED_MS, DEPARTED_PROBE_INTERVAL_MS, REQUEST_RETRY_MS,
};
use super::{Failover, ServiceSnapshot};
use crate::base::ids::{InstanceId, Position};
use crate::base::time::Tick;
use crate::net::statement_protocol::ServerDescription;
use crate::state_machine::{Command, PrimaryRecord};
use std::collections::{BTreeMap, BTreeSet};

/// The state of one departed replica.
#[derive(Clone, Copy, Debug)]
struct Departure {
    /// The sequence number of its last heartbeat, which distinguishes two departures of one id.
    sequence: u64,
    /// When this leader first noticed the departure.
    noticed_at: Tick,
    /// When the replica was last probed.
    probed_at: Tick,
    /// Whether a response showed that its process has stopped, so that it receives no commits.
    stopped: bool,
}

impl Departure {
    fn has_stopped(&self, now: Tick) -> bool {
        self.stopped || now.since(self.noticed_at) >= DEPARTED_ASSUMED_STOPPED_MS
    }

    /// Whether a pooler may still forward commits because this replica has them.
    fn may_be_listed(&self, now: Tick) -> bool {
        now.since(self.noticed_at) < DEPARTED_LISTED_MS
    }
}

/// One check whether the registered replicas have every commit that the departed ones may have.
#[derive(Clone, Debug)]
struct DepartedReplicaCheck {
    attempt: Attempt,
    /// The replicas that are forgotten if the check succeeds, each with its sequence number.
    departed: BTreeMap<InstanceId, u64>,
    started_at: Tick,
    /// When the replicas were last asked for their positions.
    requested_at: Tick,
    /// The position of the primary after the departed replicas had stopped; `None` until the
    /// primary responds.
    primary_position: Option<Position>,
    /// The registered replicas that have reached that position.
    caught_up: BTreeSet<InstanceId>,
}

impl DepartedReplicaCheck {
    /// Asks the live replicas that are not known to have reached the position.
    fn request_positions(&self, snapshot: &ServiceSnapshot) -> Vec<FailoverAction> {
        let alive = snapshot.replica_ids().filter(|id| snapshot.alive.contains(*id));
        let behind = alive.filter(|id| !self.caught_up.contains(*id));
        let describe =
            |id: &InstanceId| FailoverAction::SendRequest(id.clone(), DatabaseRequest::Describe);
        behind.map(describe).collect()
    }
}

/// The departed replicas of a service, and the current check of them.
#[derive(Clone, Debug)]
pub(super) struct DepartedReplicas {
    departures: BTreeMap<InstanceId, Departure>,
    /// The current check, if there is one.
    check: Option<DepartedReplicaCheck>,
    /// When the next check may start.
    next_check_at: Tick,
    backoff_ms: u64,
}

impl DepartedReplicas {
    pub(super) fn new(now: Tick) -> Self {
        Self {
            departures: BTreeMap::new(),
            check: None,
            next_check_at: now,
            backoff_ms: DEPARTED_CHECK_BACKOFF_MS,
        }
    }

    /// Whether the current check belongs to this attempt.
    pub(super) fn is_check_attempt(&self, attempt: Attempt) -> bool {
        self.check.as_ref().is_some_and(|check| check.attempt == attempt)
    }

    /// Adds departures that are new in the snapshot, and removes those that are not in it any more.
    fn update_departures(&mut self, snapshot: &ServiceSnapshot, now: Tick) {
        self.departures
            .retain(|id, departure| snapshot.departed.get(id) == Some(&departure.sequence));
        for (id, &sequence) in &snapshot.departed {
            let departure = Departure { sequence, noticed_at: now, probed_at: now, stopped: false };
            self.departures.entry(id.clone()).or_insert(departure);
        }
    }

    /// The departed replicas on which no further commit depends, each with its sequence number:
    /// they have stopped, and no pooler counts them any more.
    fn forgettable(&self, now: Tick) -> BTreeMap<InstanceId, u64> {
        let forgettable = self
            .departures
            .iter()
            .filter(|(_, departure)| departure.has_stopped(now) && !departure.may_be_listed(now));
        forgettable.map(|(id, departure)| (id.clone(), departure.sequence)).collect()
    }

    /// Probes the departed replicas that may still run, each at a fixed interval.
    fn probe(&mut self, now: Tick) -> Vec<FailoverAction> {
        let mut requests = Vec::new();
        for (id, departure) in &mut self.departures {
            let due = now.since(departure.probed_at) >= DEPARTED_PROBE_INTERVAL_MS;
            if due && !departure.has_stopped(now) {
                departure.probed_at = now;
                requests.push(FailoverAction::SendRequest(id.clone(), DatabaseRequest::Describe));
            }
        }
        requests
    }

    /// Records the response of a departed replica to a probe.
    pub(super) fn record_probe(&mut self, database: &InstanceId, response: &DatabaseResponse) {
        if let Some(departure) = self.departures.get_mut(database) {
            departure.stopped |= response.shows_stopped_process();
        }
    }

    /// Continues the current check: ends it after its time-out, or repeats the requests to the
    /// replicas when they are due.
    fn continue_check(&mut self, snapshot: &ServiceSnapshot, now: Tick) -> Vec<FailoverAction> {
        let Some(check) = &mut self.check else { return Vec::new() };
        if now.since(check.started_at) > DEPARTED_CHECK_TIMEOUT_MS {
            self.check = None;
            self.next_check_at = now.plus(self.backoff_ms);
            self.backoff_ms = (2 * self.backoff_ms).min(DEPARTED_CHECK_MAX_BACKOFF_MS);
            return Vec::new();
        }
        if check.primary_position.is_some() && now.since(check.requested_at) > REQUEST_RETRY_MS {
            check.requested_at = now;
            return check.request_positions(snapshot);
        }
        Vec::new()
    }

    /// Records the primary's description. Its position is the one that the replicas have to reach.
    fn record_primary(
        &mut self,
        snapshot: &ServiceSnapshot,
        record: &PrimaryRecord,
        description: &ServerDescription,
        now: Tick,
    ) -> Vec<FailoverAction> {
        let Some(check) = &mut self.check else { return Vec::new() };
        let leads = description.primary && description.term == record.term;
        if check.primary_position.is_some() || !leads {
            return Vec::new();
        }
        check.primary_position = Some(description.received);
        check.requested_at = now;
        check.request_positions(snapshot)
    }

    /// Records a replica's description. Once enough replicas have reached the primary's position,
    /// it proposes to forget the departed ones.
    fn record_replica(
        &mut self,
        snapshot: &ServiceSnapshot,
        replica: &InstanceId,
        description: &ServerDescription,
        now: Tick,
    ) -> Vec<FailoverAction> {
        let Some(check) = &mut self.check else { return Vec::new() };
        if check.primary_position.is_some_and(|position| description.received >= position) {
            check.caught_up.insert(replica.clone());
        }
        let caught_up = snapshot.replica_ids().filter(|id| check.caught_up.contains(*id)).count();
        // As many replicas as a commit needs, and at least one: then each commit that a departed
        // replica helped to acknowledge is on as many registered replicas as any other commit.
        if caught_up < (snapshot.sync_replicas as usize).max(1) {
            return Vec::new();
        }
        let (service, departed) = (snapshot.service.clone(), std::mem::take(&mut check.departed));
        self.check = None;
        self.next_check_at = now.plus(DEPARTED_CHECK_BACKOFF_MS);
        vec![FailoverAction::Propose(Command::ForgetDeparted { service, departed })]
    }
}

impl Failover {
    /// Starts or continues the check of the departed replicas, if there are any.
    pub(super) fn check_departed_replicas(
        &mut self,
        snapshot: &ServiceSnapshot,
        primary: &InstanceId,
        now: Tick,
    ) -> Vec<FailoverAction> {
        self.departed.update_departures(snapshot, now);
        if self.departed.departures.is_empty() {
            self.departed.check = None;
            self.departed.backoff_ms = DEPARTED_CHECK_BACKOFF_MS;
            return Vec::new();
        }
        if self.departed.check.is_some() {
            return self.departed.continue_check(snapshot, now);
        }
        let probes = self.departed.probe(now);
        let departed = self.departed.forgettable(now);
        if !probes.is_empty() || departed.is_empty() || now < self.departed.next_check_at {
            return probes;
        }
        self.begin_attempt();
        self.departed.check = Some(DepartedReplicaCheck {
            attempt: self.attempt,
            departed,
            started_at: now,
            requested_at: now,
            primary_position: None,
            caught_up: BTreeSet::new(),
        });
        vec![FailoverAction::SendRequest(primary.clone(), DatabaseRequest::Describe)]
    }

    /// Handles the description of a database that was asked by the current check.
    pub(super) fn handle_departed_check_response(
        &mut self,
        snapshot: &ServiceSnapshot,
        database: &InstanceId,
        description: &ServerDescription,
        now: Tick,
    ) -> Vec<FailoverAction> {
        match &snapshot.primary_record {
            None => Vec::new(),
            Some(record) if record.primary == *database => {
                self.departed.record_primary(snapshot, record, description, now)
            }
            Some(_) => self.departed.record_replica(snapshot, database, description, now),
        }
    }
}
