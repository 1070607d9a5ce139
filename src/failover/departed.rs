//! The departed replica check: whether a replica that left can be forgotten.
//!
//! A replica that left takes its log along, and commits are acknowledged because of it until it
//! ends, which may be long after its goodbye. While its log may hold the only copy of such a commit,
//! no other replica may be promoted without regard to it. So it is asked until it refuses, and can be
//! forgotten once enough listed replicas have everything that the primary had after that: no commit
//! that it helped to acknowledge lies beyond that position.

use super::actions::{Attempt, DatabaseRequest, DatabaseResponse, FailoverAction};
use super::timing::{
    DEPARTED_ASSUMED_STOPPED_MS, DEPARTED_CHECK_BACKOFF_MS, DEPARTED_CHECK_MAX_BACKOFF_MS,
    DEPARTED_CHECK_TIMEOUT_MS, DEPARTED_PROBE_INTERVAL_MS, REQUEST_RETRY_MS,
};
use super::{Failover, ServiceSnapshot};
use crate::base::ids::{InstanceId, Position};
use crate::base::time::Tick;
use crate::net::statement_protocol::ServerDescription;
use crate::state_machine::{Command, PrimaryRecord};
use std::collections::{BTreeMap, BTreeSet};

/// A replica that left.
#[derive(Clone, Copy, Debug)]
struct Departure {
    /// The sequence number of its last heartbeat, which tells two departures of one id apart.
    sequence: u64,
    /// When this leader first saw that it had left.
    noticed_at: Tick,
    /// When it was last asked whether it still runs.
    probed_at: Tick,
    /// It refused: it receives nothing any more.
    ended: bool,
}

impl Departure {
    fn has_ended(&self, now: Tick) -> bool {
        self.ended || now.since(self.noticed_at) >= DEPARTED_ASSUMED_STOPPED_MS
    }
}

/// One check whether the listed replicas have what the departed ones may have taken along.
#[derive(Clone, Debug)]
struct DepartedReplicaCheck {
    attempt: Attempt,
    /// The replicas that are forgotten if the check succeeds.
    departed: BTreeMap<InstanceId, u64>,
    began_at: Tick,
    requested_at: Tick,
    /// The position of the primary after they had ended, once it has answered.
    primary_position: Option<Position>,
    /// The replicas that have reached that position.
    caught_up: BTreeSet<InstanceId>,
}

impl DepartedReplicaCheck {
    /// Asks the living replicas that aren't known to have reached the position.
    fn ask_replicas(&self, snapshot: &ServiceSnapshot) -> Vec<FailoverAction> {
        let living = snapshot.replica_ids().filter(|id| snapshot.alive.contains(*id));
        let behind = living.filter(|id| !self.caught_up.contains(*id));
        let describe =
            |id: &InstanceId| FailoverAction::SendRequest(id.clone(), DatabaseRequest::Describe);
        behind.map(describe).collect()
    }
}

/// The departed replicas of a service, and the check of them that is under way.
#[derive(Clone, Debug)]
pub(super) struct DepartedReplicas {
    departures: BTreeMap<InstanceId, Departure>,
    check: Option<DepartedReplicaCheck>,
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

    /// Whether the check that is under way belongs to this attempt.
    pub(super) fn is_checked_in(&self, attempt: Attempt) -> bool {
        self.check.as_ref().is_some_and(|check| check.attempt == attempt)
    }

    fn update_departures(&mut self, snapshot: &ServiceSnapshot, now: Tick) {
        self.departures.retain(|id, left| snapshot.departed.get(id) == Some(&left.sequence));
        for (id, &sequence) in &snapshot.departed {
            let departure = Departure { sequence, noticed_at: now, probed_at: now, ended: false };
            self.departures.entry(id.clone()).or_insert(departure);
        }
    }

    /// Those that receive nothing any more, each with its sequence number.
    fn ended(&self, now: Tick) -> BTreeMap<InstanceId, u64> {
        let ended = self.departures.iter().filter(|(_, left)| left.has_ended(now));
        ended.map(|(id, left)| (id.clone(), left.sequence)).collect()
    }

    /// Asks those that may still run, each at intervals.
    fn probe(&mut self, now: Tick) -> Vec<FailoverAction> {
        let mut requests = Vec::new();
        for (id, departure) in &mut self.departures {
            let due = now.since(departure.probed_at) >= DEPARTED_PROBE_INTERVAL_MS;
            if due && !departure.has_ended(now) {
                departure.probed_at = now;
                requests.push(FailoverAction::SendRequest(id.clone(), DatabaseRequest::Describe));
            }
        }
        requests
    }

    /// A departed replica was asked whether it still runs. One that refuses the connection, or at whose
    /// address another database listens now, has ended.
    pub(super) fn record_probe(&mut self, database: &InstanceId, response: &DatabaseResponse) {
        if let Some(departure) = self.departures.get_mut(database) {
            departure.ended |= *response == DatabaseResponse::Unavailable;
        }
    }

    /// Goes on with the check that is under way: gives it up after its time, else asks again.
    fn continue_check(&mut self, snapshot: &ServiceSnapshot, now: Tick) -> Vec<FailoverAction> {
        let Some(check) = &mut self.check else { return Vec::new() };
        if now.since(check.began_at) > DEPARTED_CHECK_TIMEOUT_MS {
            self.check = None;
            self.next_check_at = now.plus(self.backoff_ms);
            self.backoff_ms = (2 * self.backoff_ms).min(DEPARTED_CHECK_MAX_BACKOFF_MS);
            return Vec::new();
        }
        if check.primary_position.is_some() && now.since(check.requested_at) > REQUEST_RETRY_MS {
            check.requested_at = now;
            return check.ask_replicas(snapshot);
        }
        Vec::new()
    }

    /// The primary described itself: its position is what the replicas have to reach.
    fn record_primary(
        &mut self,
        snapshot: &ServiceSnapshot,
        record: &PrimaryRecord,
        description: &ServerDescription,
        now: Tick,
    ) -> Vec<FailoverAction> {
        let Some(check) = &mut self.check else { return Vec::new() };
        let present = description.primary && description.term == record.term;
        if check.primary_position.is_some() || !present {
            return Vec::new();
        }
        check.primary_position = Some(description.received);
        check.requested_at = now;
        check.ask_replicas(snapshot)
    }

    /// A replica described itself: once enough have reached the position, the departed ones are
    /// forgotten.
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
        // As many as a commit needs, and one at least: then each commit that a departed replica
        // helped to acknowledge is on as many listed replicas as any other commit.
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
    /// Begins or continues the check of the departed replicas, if there are any.
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
        let departed = self.departed.ended(now);
        if !probes.is_empty() || departed.is_empty() || now < self.departed.next_check_at {
            return probes;
        }
        self.begin_attempt();
        self.departed.check = Some(DepartedReplicaCheck {
            attempt: self.attempt,
            departed,
            began_at: now,
            requested_at: now,
            primary_position: None,
            caught_up: BTreeSet::new(),
        });
        vec![FailoverAction::SendRequest(primary.clone(), DatabaseRequest::Describe)]
    }

    /// A database described itself in answer to the check that is under way.
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
