//! Nodes that follow the leader as a pooler does, and write at the primaries they are leased.
use crate::base::ids::{DbTerm, InstanceId, NodeName, Position, Revision, ServiceName};
use crate::base::time::Tick;
use crate::config::route_table::RouteTable;
use crate::controller::effects::Input;
use crate::leases::lease_table::LEASE_MS;
use crate::net::rpc::pooler_messages::{
    Handover, LeaseGrant, ObservedPosition, PrimaryStatus, ToController, ToPooler,
};
use crate::net::rpc::{Frame, LAYOUT};
use crate::pooler::handover::CommitConfirmation;
use crate::pooler::replica_reads::elapsed_lower_bound_ms;
use crate::simulation::commits::Commit;
use crate::simulation::events::Event;
use crate::simulation::network::{Endpoint, RemoteEnd};
use crate::simulation::schedule::chance;
use crate::simulation::world::{SERVICES, World, machine_of};
use std::collections::BTreeMap;
use std::net::SocketAddr;

#[derive(Clone)]
pub(super) struct Lease {
    pub(super) term: DbTerm,
    pub(super) primary: InstanceId,
    pub(super) asked: u64,
}

/// A hollow node: it follows the leader as a pooler does and writes at the primaries it is leased.
pub(super) struct Node {
    pub(super) incarnation: u64,
    pub(super) connection: Option<(u64, usize)>,
    pub(super) welcome: bool,
    pub(super) known: Vec<SocketAddr>,
    pub(super) next: usize,
    pub(super) hint: Option<SocketAddr>,
    pub(super) heard: u64,
    pub(super) renewed: u64,
    pub(super) seq: u64,
    pub(super) sent: BTreeMap<u64, u64>,
    pub(super) config: Option<RouteTable>,
    pub(super) leases: BTreeMap<ServiceName, Lease>,
    pub(super) revoked: BTreeMap<ServiceName, (DbTerm, u64)>,
    pub(super) highest: BTreeMap<ServiceName, Position>,
    pub(super) confirmations: BTreeMap<ServiceName, CommitConfirmation>,
    /// It stops in order once its next commit was passed on.
    pub(super) stops_after_commit: bool,
    /// The last commits that the leader was not told of.
    pub(super) unreported: BTreeMap<ServiceName, ObservedCommit>,
    /// The last answer to a renewal on this connection, and when it arrived.
    pub(super) last_answer: Option<(u64, u64)>,
}

/// A commit's position, which tells how far the primary was after its statement was sent.
#[derive(Clone, Copy)]
pub(super) struct ObservedCommit {
    pub(super) term: DbTerm,
    pub(super) position: Position,
    pub(super) sent_at: u64,
}

impl Node {
    /// What a renewal reports: the positions that were observed after the last answer of the leader,
    /// from which the leader counts the time.
    fn take_observed(&mut self) -> Vec<ObservedPosition> {
        let Some((_, arrived_at)) = self.last_answer else { return Vec::new() };
        let unreported = std::mem::take(&mut self.unreported).into_iter();
        let reported = unreported.filter_map(|(service, observed)| {
            let ObservedCommit { term, position, sent_at } = observed;
            let sent_after_ms = elapsed_lower_bound_ms(Tick(arrived_at), Tick(sent_at))?;
            Some(ObservedPosition { service, term, position, sent_after_ms })
        });
        reported.collect()
    }
}

impl Node {
    pub(super) fn holds_lease(&self, commit: &Commit, now: u64) -> bool {
        let lease = self.leases.get(&commit.service);
        lease.is_some_and(|l| l.term == commit.write.term && now < l.asked + LEASE_MS)
    }

    fn begin_handover(&mut self, service: ServiceName, handover: Handover) -> ToController {
        let highest = self.highest.get(&service).copied();
        let number = handover.number;
        self.confirmations.insert(service.clone(), CommitConfirmation::new(handover));
        ToController::HandOverAck { service, handover: number, highest }
    }

    /// Puts a grant in force. Returns the acknowledgement of a handover.
    fn apply_grant(&mut self, grant: LeaseGrant, seq: u64, asked: u64) -> Option<ToController> {
        let service = grant.service;
        let (term, primary, handover) = match grant.status {
            PrimaryStatus::Active { term, primary } => (term, primary, None),
            PrimaryStatus::HandingOver { primary, handover } => {
                (handover.term, primary, Some(handover))
            }
            PrimaryStatus::Sealed(_) | PrimaryStatus::Absent => {
                self.leases.remove(&service);
                return None;
            }
        };
        self.confirmations.remove(&service);
        let last = self.revoked.get(&service);
        if last.is_none_or(|(last, upto)| term > *last || seq > *upto) {
            self.leases.insert(service.clone(), Lease { term, primary, asked });
        }
        handover.map(|handover| self.begin_handover(service, handover))
    }
}

impl World {
    pub(super) fn send_to_controller(&mut self, node: usize, message: ToController) {
        let Some((connection, at)) = self.nodes[node].connection else { return };
        let incarnation = self.machines[at].incarnation;
        match self.arrival_time(Endpoint::Node(node), Endpoint::Controller(at), 0) {
            Some(time) => {
                self.schedule_at(
                    time,
                    Event::ControllerInput(
                        at,
                        incarnation,
                        Input::Frame(connection, Frame::Pooler(message)),
                    ),
                );
            }
            // Lost on its direction: the connection does not get over it.
            None => self.close(connection),
        }
    }

    /// A node finds a leader, renews its leases, and writes at the primaries it is leased.
    pub(super) fn node_turn(&mut self, number: usize, incarnation: u64) {
        if self.nodes[number].incarnation != incarnation {
            return;
        }
        self.schedule_after(40, Event::NodeTurn(number, incarnation));
        let now = self.now;
        let node = &mut self.nodes[number];
        if let Some((connection, _)) = node.connection {
            if now - node.heard > if node.welcome { 1_200 } else { 400 } {
                self.close(connection);
            } else if node.welcome && now - node.renewed >= 450 {
                self.send_renewal(number);
            }
        } else {
            let to = node.hint.take().unwrap_or_else(|| {
                node.next += 1;
                node.known[node.next % node.known.len()]
            });
            let at = machine_of(to);
            if self.machines.get(at).is_some_and(|m| m.controller.is_some()) {
                self.last_id += 1;
                let connection = self.last_id;
                self.connections.insert(connection, (at, RemoteEnd::Node(number, incarnation)));
                if let Some(controller) = &mut self.machines[at].controller {
                    controller.effects.open_connections.insert(connection);
                }
                let node = &mut self.nodes[number];
                (node.connection, node.welcome, node.heard) = (Some((connection, at)), false, now);
                let revision = node.config.as_ref().map_or(Revision(0), |c| c.revision);
                let now = Tick(now + self.machines[at].clock_offset);
                if let Some(controller) = &mut self.machines[at].controller {
                    controller.handle_input(Input::NodeLayout(connection, LAYOUT), now);
                }
                let name = NodeName(format!("node{number}"));
                let zone = "z".to_owned();
                self.send_to_controller(
                    number,
                    ToController::Hello { node: name, incarnation, revision, zone },
                );
            }
        }
        for service in SERVICES.map(ServiceName::from) {
            let Some(lease) = self.nodes[number].leases.get(&service).cloned() else { continue };
            let to = self.databases.iter().position(|d| d.id == lease.primary);
            if now < lease.asked + LEASE_MS
                && chance(60)
                && let Some(to) = to
                && let Some(time) =
                    self.arrival_time(Endpoint::Node(number), Endpoint::Database(to), 0)
            {
                self.schedule_at(time, Event::Write(number, to, incarnation, lease.term, now));
            }
        }
    }

    fn send_renewal(&mut self, number: usize) {
        let now = self.now;
        let node = &mut self.nodes[number];
        node.renewed = now;
        node.seq += 1;
        let seq = node.seq;
        node.sent.insert(seq, now);
        if node.sent.len() > 16 {
            node.sent.pop_first();
        }
        let observed = node.take_observed();
        let last_grant_seq = node.last_answer.map_or(0, |(seq, _)| seq);
        let (quotas, demand, bounds_requested) = (Vec::new(), Vec::new(), Vec::new());
        let renewal = ToController::RenewLeases {
            seq,
            last_grant_seq,
            quotas,
            demand,
            observed,
            bounds_requested,
            load: Vec::new(),
        };
        self.send_to_controller(number, renewal);
    }

    /// A node takes a message of the leader.
    pub(super) fn handle_node_message(&mut self, number: usize, connection: u64, frame: Frame) {
        let now = self.now;
        let node = &mut self.nodes[number];
        node.heard = now;
        let Frame::Controller(message) = frame else {
            return self.report_violation("a node was sent what is not for it".into());
        };
        match message {
            ToPooler::Welcome { controllers } => {
                if !controllers.is_empty() {
                    node.known = controllers;
                }
                if !std::mem::replace(&mut node.welcome, true) {
                    node.last_answer = None;
                    self.send_renewal(number);
                }
            }
            ToPooler::NotLeader(leader) => {
                node.hint = leader;
                self.close(connection);
            }
            ToPooler::RouteTable(route_table) => self.apply_route_table(number, *route_table),
            ToPooler::RouteTableDelta(changed) => {
                match node.config.as_ref().and_then(|c| c.apply(&changed)) {
                    Some(route_table) => self.apply_route_table(number, route_table),
                    None => self.send_to_controller(number, ToController::RequestFullTable),
                }
            }
            ToPooler::Directory(_) | ToPooler::DirectoryDelta { .. } => {}
            ToPooler::LeaseGrants { seq, complete, grants, .. } => {
                let Some(asked) = node.sent.get(&seq).copied() else { return };
                node.sent.retain(|s, _| *s >= seq);
                node.last_answer = Some((seq, now));
                if complete {
                    node.leases.clear();
                }
                let mut acknowledgements = Vec::new();
                for grant in grants {
                    acknowledgements.extend(node.apply_grant(grant, seq, asked));
                }
                node.leases.values_mut().for_each(|l| l.asked = l.asked.max(asked));
                for message in acknowledgements {
                    self.send_to_controller(number, message);
                }
                self.check_one_leased_term();
            }
            ToPooler::HandOver { service, handover } => {
                let message = node.begin_handover(service, handover);
                self.send_to_controller(number, message);
            }
            ToPooler::Revoke { service, term } => {
                node.revoked.insert(service.clone(), (term, node.seq));
                if node.leases.get(&service).is_some_and(|l| l.term <= term) {
                    node.leases.remove(&service);
                }
                let highest = node.highest.get(&service).copied();
                self.send_to_controller(number, ToController::RevokeAck { service, term, highest });
            }
            ToPooler::RenewNow => self.send_renewal(number),
        }
    }

    fn apply_route_table(&mut self, number: usize, route_table: RouteTable) {
        if !self.committed_configurations.iter().any(|f| f.revision == route_table.revision) {
            return self
                .report_violation(format!("a node has {}, never in force", route_table.revision));
        }
        let node = &mut self.nodes[number];
        if node.config.as_ref().is_none_or(|c| c.revision < route_table.revision) {
            node.config = Some(route_table);
        }
    }
}
