//! The simulated databases of each service: heartbeats, replication and commits, and the platform
//! that promotes them.
use crate::base::ids::{DbTerm, InstanceId, Position, ServiceName};
use crate::base::time::Tick;
use crate::config::directory::{Lifecycle, Role};
use crate::controller::effects::Input;
use crate::failover::{Attempt, DatabaseRequest, DatabaseResponse, PromotionResponse};
use crate::net::http::{Request, Response};
use crate::net::statement_protocol::ServerDescription;
use crate::simulation::callers::Caller;
use crate::simulation::checker::ForwardedCommit;
use crate::simulation::commits::Commit;
use crate::simulation::events::Event;
use crate::simulation::network::Endpoint;
use crate::simulation::schedule::{FaultTarget, chance, random_below};
use crate::simulation::world::World;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;

/// A commit that the primary acknowledges to its node once a replica has the log up to it.
#[derive(Clone, Copy)]
pub(super) struct PendingCommit {
    pub(super) node: usize,
    pub(super) incarnation: u64,
    /// When the node sent its statement.
    pub(super) sent_at: u64,
    /// The length of the log up to and including this commit.
    pub(super) length: usize,
    pub(super) id: u64,
}

/// A heartbeat whose content the controllers must know once they have acknowledged it.
#[derive(Clone, Copy)]
pub(super) enum AcknowledgedHeartbeat {
    /// The database reported that it is draining.
    Draining,
    /// The database deregistered.
    Deregistration,
}

/// While there is no leader, an acknowledged heartbeat is checked again after this time, in ms.
const LEADER_RECHECK_MS: u64 = 100;

/// Whether a controller's call is sent once its connection is established.
enum OutgoingCall {
    /// The call is sent now.
    Sent,
    /// The machine is frozen, and with it the thread that makes the call.
    Frozen { until: u64 },
    /// The controller holds no leader lease for the call's term any more, or its process has ended.
    Abandoned,
}

/// A simulated database: its log, its replication state, and its registration with the controllers.
pub(super) struct Database {
    pub(super) id: InstanceId,
    pub(super) service: ServiceName,
    pub(super) caller: Caller,
    pub(super) up: bool,
    /// Whether it has stopped for good.
    pub(super) removed: bool,
    pub(super) primary: bool,
    pub(super) term: DbTerm,
    pub(super) log: Vec<Write>,
    /// Whether a controller has paused its replication.
    pub(super) paused: bool,
    /// It receives no log data until this time.
    pub(super) stalled_until: u64,
    /// Whether its heartbeats report that it is draining.
    pub(super) draining: bool,
    /// Whether it deregisters next instead of sending another heartbeat.
    pub(super) drained: bool,
    /// How long it keeps serving after its deregistration.
    pub(super) serve_after_deregistration_ms: u64,
    /// Until this time, its connections to controllers break before the response.
    pub(super) connections_break_until: u64,
    /// Whether its deregistration was acknowledged; it may still serve.
    pub(super) deregistered: bool,
    /// The sequence number of its last heartbeat.
    pub(super) sequence: u64,
    /// How much of its log each replica has acknowledged, as a primary.
    pub(super) replica_log_lengths: BTreeMap<usize, usize>,
    /// Commits that no replica has acknowledged yet.
    pub(super) pending_commits: Vec<PendingCommit>,
    /// The role and lifecycle state in its last heartbeat.
    pub(super) reported_state: Option<(Role, Lifecycle)>,
    /// Since when, as an old primary, it has been able to reach a newer one.
    pub(super) deposed_since: Option<u64>,
}

impl Database {
    /// The position of the end of its log.
    pub(super) fn position(&self) -> Position {
        let term = self.log.last().map_or(DbTerm(1), |w| w.term);
        Position { term, number: self.log.len() as u64 }
    }
    /// Carries out a controller's request and returns the response.
    fn handle_request(&mut self, request: DatabaseRequest) -> DatabaseResponse {
        match request {
            DatabaseRequest::Describe => {}
            DatabaseRequest::Pause(term) if !self.primary && term > self.term => self.paused = true,
            DatabaseRequest::Pause(_) => return DatabaseResponse::NoDescription,
            DatabaseRequest::Continue => self.paused = false,
            DatabaseRequest::StepDown(term) => {
                if self.primary && self.term < term {
                    (self.primary, self.term) = (false, term);
                }
            }
        }
        DatabaseResponse::Description(self.description())
    }

    /// The description that it returns to controllers and nodes.
    pub(super) fn description(&self) -> ServerDescription {
        ServerDescription { primary: self.primary, term: self.term, received: self.position() }
    }

    /// The role that its heartbeats report.
    pub(super) fn role(&self) -> Role {
        if self.primary { Role::Primary } else { Role::Replica }
    }
    /// The lifecycle state that its heartbeats report.
    pub(super) fn lifecycle(&self) -> Lifecycle {
        if self.draining { Lifecycle::Draining } else { Lifecycle::Available }
    }
}

/// A write in a database's log, with the term of the lease or primary that it was made in.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Write {
    pub(super) term: DbTerm,
    pub(super) id: u64,
}

impl World {
    pub(super) fn add_database(&mut self, service: &str, primary: bool, after: u64) {
        let number = self.databases.len();
        self.databases.push(Database {
            id: InstanceId(format!("d{number}")),
            service: service.into(),
            caller: Caller { next_controller: number, ..Caller::default() },
            up: true,
            removed: false,
            primary,
            term: DbTerm(1),
            log: Vec::new(),
            paused: false,
            stalled_until: 0,
            draining: false,
            drained: false,
            serve_after_deregistration_ms: 0,
            connections_break_until: 0,
            deregistered: false,
            sequence: 0,
            replica_log_lengths: BTreeMap::new(),
            pending_commits: Vec::new(),
            reported_state: None,
            deposed_since: None,
        });
        let caller_number = self.operators.len() + number;
        self.schedule_after(after, Event::CallerTurn(caller_number));
        self.schedule_after(after, Event::ReplicationTurn(number));
    }

    /// The numbers of a service's databases that were not removed.
    pub(super) fn databases_of(&self, service: &ServiceName) -> Vec<usize> {
        (0..self.databases.len())
            .filter(|d| self.databases[*d].service == *service && !self.databases[*d].removed)
            .collect()
    }

    /// The primary of the highest term, whether it is running or not.
    pub(super) fn newest_primary(&self, service: &ServiceName) -> Option<usize> {
        let all = self.databases_of(service).into_iter().filter(|d| self.databases[*d].primary);
        all.max_by_key(|d| self.databases[*d].term)
    }

    /// Sends a heartbeat, or the deregistration of a database that has drained.
    pub(super) fn send_heartbeat(&mut self, number: usize) {
        let database = &mut self.databases[number];
        if !database.up || database.removed || database.deregistered {
            return;
        }
        database.sequence += 1;
        let path = format!("/instances/{}", database.id);
        let request = if database.drained {
            Request { method: "DELETE".into(), path, if_match: None, body: Vec::new() }
        } else {
            let body = serde_json::json!({
                "target_service": database.service,
                "address": SocketAddr::from(([10, 1, 0, number as u8 + 1], 7)),
                "zone": "z", "revision": "v1", "capacity": 7,
                "lifecycle_state": database.lifecycle(), "database_role": database.role(),
                "sequence": database.sequence,
            });
            let body = body.to_string().into_bytes();
            database.reported_state = Some((database.role(), database.lifecycle()));
            Request { method: "PUT".into(), path, if_match: None, body }
        };
        self.send_request(self.operators.len() + number, request);
    }

    /// Checks that the controllers know what they acknowledged, and schedules the next heartbeat.
    pub(super) fn handle_heartbeat_response(
        &mut self,
        number: usize,
        request: &Request,
        response: &Response,
    ) {
        if response.status != 200 {
            return self.report_violation(format!(
                "heartbeat or deregistration of {} answered with status {}",
                self.databases[number].id, response.status
            ));
        }
        let (id, reported) =
            (self.databases[number].id.clone(), self.databases[number].reported_state);
        if request.method == "DELETE" {
            self.check_acknowledged(number, AcknowledgedHeartbeat::Deregistration);
            self.deregistered_databases.insert(id);
            self.databases[number].deregistered = true;
            let serve_after_deregistration_ms =
                self.databases[number].serve_after_deregistration_ms;
            return self.schedule_after(serve_after_deregistration_ms, Event::DatabaseStop(number));
        }
        if reported.is_some_and(|(_, l)| l == Lifecycle::Draining) {
            self.check_acknowledged(number, AcknowledgedHeartbeat::Draining);
        }
        let database = &mut self.databases[number];
        let changed = reported != Some((database.role(), database.lifecycle()));
        if database.draining && !changed && !database.drained {
            self.schedule_after(3_000, Event::DatabaseDrained(number));
        }
        let caller_number = self.operators.len() + number;
        self.schedule_after(if changed { 5 } else { 1_000 }, Event::CallerTurn(caller_number));
    }

    /// Checks that the leader knows the content of an acknowledged heartbeat. While there is no
    /// leader, the others may have it only in their logs, and the check is repeated later.
    pub(super) fn check_acknowledged(&mut self, number: usize, heartbeat: AcknowledgedHeartbeat) {
        let id = &self.databases[number].id;
        let most_advanced = self.machines.iter().filter_map(|m| m.controller.as_ref());
        let most_advanced =
            most_advanced.max_by_key(|s| s.last_applied()).map(|s| s.state_machine());
        let lifecycle =
            most_advanced.and_then(|a| a.instances().get(id)).map(|r| r.instance.lifecycle_state);
        let (known, problem) = match heartbeat {
            AcknowledgedHeartbeat::Draining => (
                lifecycle != Some(Lifecycle::Available),
                "is registered as available after its draining heartbeat was acknowledged",
            ),
            AcknowledgedHeartbeat::Deregistration => (
                lifecycle.is_none(),
                "is still registered after its deregistration was acknowledged",
            ),
        };
        if known {
            return;
        }
        if self.pick_machine(FaultTarget::Leader).is_some() {
            let description = format!("{id} {problem}");
            return self.report_violation(description);
        }
        self.schedule_after(
            LEADER_RECHECK_MS,
            Event::CheckAcknowledgedHeartbeat(number, heartbeat),
        );
    }

    pub(super) fn remove_database(&mut self, number: usize) {
        let database = &mut self.databases[number];
        (database.up, database.removed, database.primary) = (false, true, false);
    }

    /// Sends a primary's log to the replicas that lack a part of it. An old primary steps down once
    /// it has been able to reach a newer one for a while.
    pub(super) fn replicate(&mut self, number: usize) {
        if self.databases[number].removed {
            return;
        }
        self.schedule_after(40, Event::ReplicationTurn(number));
        let now = self.now;
        let database = &self.databases[number];
        if !database.up || !database.primary {
            return;
        }
        let newest = self.newest_primary(&database.service.clone());
        let (service, term) = (database.service.clone(), database.term);
        if newest.is_some_and(|n| {
            n != number
                && self.databases[n].up
                && self.can_reach(Endpoint::Database(number), Endpoint::Database(n))
        }) {
            let since = *self.databases[number].deposed_since.get_or_insert(now);
            if now - since > 1_000 {
                let newer = newest.map_or(term, |n| self.databases[n].term);
                let database = &mut self.databases[number];
                (database.primary, database.term, database.deposed_since) = (false, newer, None);
                return;
            }
        } else {
            self.databases[number].deposed_since = None;
        }
        let log = Arc::new(self.databases[number].log.clone());
        for replica in self.databases_of(&service) {
            let behind = self.databases[number]
                .replica_log_lengths
                .get(&replica)
                .is_none_or(|n| *n < log.len());
            if replica != number
                && behind
                && let Some(time) = self.arrival_time(
                    Endpoint::Database(number),
                    Endpoint::Database(replica),
                    random_below(15),
                )
            {
                self.schedule_at(time, Event::Replicate(number, replica, term, Arc::clone(&log)));
            }
        }
    }

    /// A replica adopts the log of a primary of its own term or a newer one, and acknowledges it.
    pub(super) fn receive_log(&mut self, from: usize, to: usize, term: DbTerm, log: &[Write]) {
        let now = self.now;
        let database = &mut self.databases[to];
        let accepts =
            database.up && !database.primary && !database.paused && now >= database.stalled_until;
        if !accepts || database.term > term {
            return;
        }
        if term > database.term || log.len() > database.log.len() {
            database.log = log.to_vec();
        }
        database.term = term;
        let received_length = database.log.len().min(log.len());
        if let Some(time) = self.arrival_time(Endpoint::Database(to), Endpoint::Database(from), 0) {
            self.schedule_at(time, Event::ReplicaAck(from, to, term, received_length));
        }
    }

    /// A primary records how much of its log a replica has, and acknowledges the commits up to
    /// there.
    pub(super) fn handle_replica_ack(
        &mut self,
        number: usize,
        replica: usize,
        term: DbTerm,
        received_length: usize,
    ) {
        let database = &mut self.databases[number];
        if !database.up || !database.primary || database.term != term {
            return;
        }
        let longest = database.replica_log_lengths.entry(replica).or_default();
        *longest = (*longest).max(received_length);
        let (service, log) = (database.service.clone(), &database.log);
        let due: Vec<_> = database
            .pending_commits
            .iter()
            .filter(|c| c.length <= received_length)
            .copied()
            .collect();
        database.pending_commits.retain(|c| c.length > received_length);
        let acknowledgements: Vec<_> = due
            .into_iter()
            .map(|PendingCommit { node, incarnation, sent_at, length, id }| {
                let position = Position { term: log[length - 1].term, number: length as u64 };
                let commit = Commit {
                    service: service.clone(),
                    write: Write { term, id },
                    position,
                    sent_at,
                };
                (node, Event::CommitAck(node, incarnation, commit))
            })
            .collect();
        for (node, event) in acknowledgements {
            if let Some(time) =
                self.arrival_time(Endpoint::Database(number), Endpoint::Node(node), 0)
            {
                self.schedule_at(time, event);
            }
        }
    }

    /// A primary appends a node's write to its log; the commit is acknowledged once one replica has
    /// it.
    pub(super) fn append_write(
        &mut self,
        node: usize,
        to: usize,
        incarnation: u64,
        term: DbTerm,
        sent_at: u64,
    ) {
        self.last_id += 1;
        let id = self.last_id;
        let database = &mut self.databases[to];
        if database.up && database.primary {
            let term = if database.term == term { term } else { database.term };
            database.log.push(Write { term, id });
            let length = database.log.len();
            database.pending_commits.push(PendingCommit { node, incarnation, sent_at, length, id });
            self.isolate_write(node, to, Write { term, id });
        }
    }

    /// Decides whether a controller that has connected for a call sends it now.
    fn check_outgoing_call(&self, from: usize, incarnation: u64, attempt: Attempt) -> OutgoingCall {
        let machine = &self.machines[from];
        if let Some(until) = machine.frozen_until.filter(|until| *until > self.now) {
            return OutgoingCall::Frozen { until };
        }
        let now = Tick(self.now + machine.clock_offset);
        let controller = machine.controller.as_ref().filter(|_| machine.incarnation == incarnation);
        let lease = controller.and_then(|controller| controller.effects.leader_lease);
        match lease.is_some_and(|lease| lease.covers(attempt.raft_term, now)) {
            true => OutgoingCall::Sent,
            false => OutgoingCall::Abandoned,
        }
    }

    /// Answers a controller's request to a database: at once, late, or not at all.
    pub(super) fn handle_database_request(
        &mut self,
        (from, incarnation): (usize, u64),
        service: ServiceName,
        id: InstanceId,
        request: DatabaseRequest,
        attempt: Attempt,
    ) {
        let delayed =
            |service, id| Event::DatabaseRequest(from, incarnation, service, id, request, attempt);
        match self.check_outgoing_call(from, incarnation, attempt) {
            OutgoingCall::Sent => {}
            OutgoingCall::Frozen { until } => {
                return self.schedule_at(until, delayed(service, id));
            }
            OutgoingCall::Abandoned => {
                let response = DatabaseResponse::NotSent;
                let input =
                    Input::DatabaseResponse { service, instance: id, request, attempt, response };
                return self.schedule_after(1, Event::ControllerInput(from, incarnation, input));
            }
        }
        let number = self.databases.iter().position(|d| d.id == id);
        let reached = number.filter(|n| {
            let (here, there) = (Endpoint::Controller(from), Endpoint::Database(*n));
            self.can_reach(here, there) && self.can_reach(there, here) && !self.is_lost()
        });
        let (response, after) = match reached {
            None => (DatabaseResponse::TimedOut, 1_000),
            Some(n) if !self.databases[n].up => (DatabaseResponse::ConnectionRefused, 2),
            Some(n) if self.now < self.databases[n].connections_break_until => {
                (DatabaseResponse::ConnectionFailed, 2)
            }
            Some(n) => {
                let response = self.databases[n].handle_request(request);
                let extra_delay_ms =
                    if !self.repaired && chance(3) { random_below(1_200) } else { random_below(5) };
                (response, 1 + extra_delay_ms)
            }
        };
        let input = Input::DatabaseResponse { service, instance: id, request, attempt, response };
        self.schedule_after(after, Event::ControllerInput(from, incarnation, input));
    }

    /// Handles a controller's request to the platform to promote a database.
    pub(super) fn handle_promotion_request(
        &mut self,
        (from, incarnation): (usize, u64),
        service: ServiceName,
        target: InstanceId,
        attempt: Attempt,
    ) {
        match self.check_outgoing_call(from, incarnation, attempt) {
            OutgoingCall::Sent => {}
            OutgoingCall::Frozen { until } => {
                let delayed = Event::PromotionRequest(from, incarnation, service, target, attempt);
                return self.schedule_at(until, delayed);
            }
            OutgoingCall::Abandoned => {
                let response = PromotionResponse::NotAttempted;
                let input = Input::PromotionResponse { service, target, attempt, response };
                return self.schedule_after(1, Event::ControllerInput(from, incarnation, input));
            }
        }
        let number = self.databases.iter().position(|d| d.id == target);
        let running = number.filter(|n| self.databases[*n].up);
        let highest = self.highest_fences.entry(service.clone()).or_default();
        let fence = attempt.fencing_token();
        let lower = fence < *highest;
        *highest = fence.max(*highest);
        if lower && self.clocks_reliable() {
            return self.report_violation(format!(
                "{service}: the platform received fencing token {fence} after a higher one"
            ));
        }
        let (mut promotion_response, mut after) = match running {
            Some(_) => (PromotionResponse::Accepted, 20),
            None => (PromotionResponse::NotRunning, 20),
        };
        if let Some(n) = running {
            self.schedule_after(100 + random_below(300), Event::Promote(service.clone(), n));
        }
        if !self.repaired && chance(10) {
            (promotion_response, after) = (PromotionResponse::Unknown, 1_000);
        }
        self.schedule_after(
            after,
            Event::ControllerInput(
                from,
                incarnation,
                Input::PromotionResponse { service, target, attempt, response: promotion_response },
            ),
        );
    }

    /// The platform promotes a database to primary of the next term. Checks that it has every
    /// acknowledged commit.
    pub(super) fn promote(&mut self, service: &ServiceName, target: usize) {
        let newest = self.databases_of(service).into_iter().map(|d| self.databases[d].term).max();
        let Some(newest) = newest else { return };
        let already = self.databases[target].primary && self.databases[target].term == newest;
        if !self.databases[target].up || already {
            return;
        }
        let log = &self.databases[target].log;
        let acknowledged_commits = self.acknowledged_commits.get(service).into_iter().flatten();
        let missing = acknowledged_commits.copied().find(|commit| !log.contains(&commit.write));
        let log = log.clone();
        let term = DbTerm(newest.0 + 1);
        if let Some(ForwardedCommit { write, node, forwarded_at }) = missing
            && self.clocks_reliable()
        {
            let (name, commit_term) = (&self.databases[target].id, write.term);
            return self.report_violation(format!(
                "{name} promoted for {service} in term {term} without a commit of \
                 term {commit_term}, forwarded by node{node} at {forwarded_at} ms"
            ));
        }
        self.promotions.entry(service.clone()).or_default().push((term, log));
        self.report.promotions += 1;
        let database = &mut self.databases[target];
        (database.primary, database.term, database.paused) = (true, term, false);
        database.replica_log_lengths.clear();
        database.pending_commits.clear();
        for other in self.databases_of(service) {
            let reachable = self.can_reach(Endpoint::Database(target), Endpoint::Database(other));
            let database = &mut self.databases[other];
            if other != target && reachable && database.up && !database.primary {
                database.term = term;
            }
        }
    }
}
