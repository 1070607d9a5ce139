//! Simulated nodes: they subscribe to the leader as a pooler does, and write to the primaries for
//! which they hold leases.
use crate::base::ids::{DbTerm, InstanceId, NodeName, Position, Revision, ServiceName};
use crate::base::time::Tick;
use crate::config::directory::DirectoryEntry;
use crate::config::route_table::{RouteTable, RouteTableDelta};
use crate::config::tenants::TenantTable;
use crate::controller::effects::Input;
use crate::leases::lease_table::LEASE_MS;
use crate::net::rpc::pooler_messages::{
    Handover, LeaseGrant, ObservedPosition, PrimaryStatus, ToController, ToPooler,
};
use crate::net::rpc::{Frame, LAYOUT};
use crate::pooler::commit_confirmation::CommitConfirmation;
use crate::pooler::replica_reads::elapsed_lower_bound_ms;
use crate::simulation::commits::Commit;
use crate::simulation::events::Event;
use crate::simulation::network::{Endpoint, RemoteEnd};
use crate::simulation::schedule::chance;
use crate::simulation::world::{SERVICES, World, machine_of};
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// A node's lease on a service.
#[derive(Clone)]
pub(super) struct Lease {
    pub(super) term: DbTerm,
    pub(super) primary: InstanceId,
    /// When the node requested it; the lease time counts from here.
    pub(super) requested_at: u64,
}

/// A simulated node. It holds no client sessions; it makes its writes itself.
pub(super) struct Node {
    pub(super) incarnation: u64,
    /// Its connection to a controller, and the machine of that controller.
    pub(super) connection: Option<(u64, usize)>,
    /// Whether the controller has welcomed it on this connection.
    pub(super) welcomed: bool,
    /// The peer addresses of the controllers that it knows.
    pub(super) controllers: Vec<SocketAddr>,
    pub(super) next_controller: usize,
    /// The leader's address as reported by a controller that does not lead.
    pub(super) leader_hint: Option<SocketAddr>,
    pub(super) last_message_at: u64,
    pub(super) last_renewal_at: u64,
    pub(super) last_renewal_seq: u64,
    /// When each recent renewal was sent, by its sequence number.
    pub(super) renewals_sent: BTreeMap<u64, u64>,
    pub(super) route_table: Option<RouteTable>,
    pub(super) leases: BTreeMap<ServiceName, Lease>,
    /// The last revoked term of each service, and the last renewal sent before the revocation.
    pub(super) revoked: BTreeMap<ServiceName, (DbTerm, u64)>,
    /// The highest position that it has observed of each service.
    pub(super) highest_positions: BTreeMap<ServiceName, Position>,
    /// The databases in the directory that it received, and their services.
    pub(super) listed_databases: BTreeMap<InstanceId, ServiceName>,
    /// Which replicas of each service have received its commits.
    pub(super) commit_confirmations: BTreeMap<ServiceName, CommitConfirmation>,
    /// Whether it shuts down gracefully after it has forwarded its next commit.
    pub(super) shuts_down_after_commit: bool,
    /// The last commit of each service that was not reported to the leader.
    pub(super) unreported_commits: BTreeMap<ServiceName, ObservedCommit>,
    /// The sequence number of the last answered renewal on this connection, and when the answer
    /// arrived.
    pub(super) last_grant: Option<(u64, u64)>,
}

/// The position of a commit. The primary reached it after the statement was sent.
#[derive(Clone, Copy)]
pub(super) struct ObservedCommit {
    pub(super) term: DbTerm,
    pub(super) position: Position,
    pub(super) sent_at: u64,
}

impl Node {
    /// Takes the observed positions for a renewal. The leader counts their times from its last
    /// answer that the node received, so positions whose statement was sent before it are left out.
    fn take_observed(&mut self) -> Vec<ObservedPosition> {
        let Some((_, arrived_at)) = self.last_grant else { return Vec::new() };
        let unreported = std::mem::take(&mut self.unreported_commits).into_iter();
        let reported = unreported.filter_map(|(service, observed)| {
            let ObservedCommit { term, position, sent_at } = observed;
            let sent_after_ms = elapsed_lower_bound_ms(Tick(arrived_at), Tick(sent_at))?;
            Some(ObservedPosition { service, term, position, sent_after_ms })
        });
        reported.collect()
    }
}

impl Node {
    /// Whether its lease is valid for the term of a commit.
    pub(super) fn holds_lease(&self, commit: &Commit, now: u64) -> bool {
        let lease = self.leases.get(&commit.service);
        lease.is_some_and(|l| l.term == commit.write.term && now < l.requested_at + LEASE_MS)
    }

    fn update_directory(&mut self, upserted: Vec<DirectoryEntry>, removed: &[InstanceId]) {
        self.listed_databases.retain(|id, _| !removed.contains(id));
        let listed = upserted.into_iter().map(|entry| (entry.id, entry.service));
        self.listed_databases.extend(listed);
    }

    fn set_sync_replicas(&mut self, counts: &BTreeMap<ServiceName, u32>) {
        for service in SERVICES.map(ServiceName::from) {
            let count = counts.get(&service).copied().unwrap_or(0);
            self.commit_confirmations.entry(service).or_default().set_sync_replicas(count);
        }
    }

    /// The replicas of a service in the directory that it received.
    pub(super) fn listed_replicas(&self, service: &ServiceName) -> Vec<InstanceId> {
        let primary = self.leases.get(service).map(|lease| &lease.primary);
        let listed =
            self.listed_databases.iter().filter(|(id, of)| *of == service && Some(*id) != primary);
        listed.map(|(id, _)| id.clone()).collect()
    }

    /// Starts the confirmation of commits for a handover. Returns the acknowledgement.
    fn begin_handover(&mut self, service: ServiceName, handover: Handover) -> ToController {
        let highest = self.highest_positions.get(&service).copied();
        let number = handover.number;
        let confirmation = self.commit_confirmations.entry(service.clone()).or_default();
        confirmation.begin_handover(handover);
        ToController::HandOverAck { service, handover: number, highest }
    }

    /// Applies a lease grant. Returns the acknowledgement of a handover, if the grant contains one.
    fn apply_grant(
        &mut self,
        grant: LeaseGrant,
        seq: u64,
        requested_at: u64,
    ) -> Option<ToController> {
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
        self.commit_confirmations.entry(service.clone()).or_default().end_handover();
        let last = self.revoked.get(&service);
        if last.is_none_or(|(revoked_term, revoked_seq)| term > *revoked_term || seq > *revoked_seq)
        {
            self.leases.insert(service.clone(), Lease { term, primary, requested_at });
        }
        handover.map(|handover| self.begin_handover(service, handover))
    }
}

impl World {
    pub(super) fn send_to_controller(&mut self, node: usize, message: ToController) {
        let Some((connection, machine)) = self.nodes[node].connection else { return };
        let incarnation = self.machines[machine].incarnation;
        match self.arrival_time(Endpoint::Node(node), Endpoint::Controller(machine), 0) {
            Some(time) => {
                self.schedule_at(
                    time,
                    Event::ControllerInput(
                        machine,
                        incarnation,
                        Input::Frame(connection, Frame::Pooler(message)),
                    ),
                );
            }
            // A lost message breaks the connection.
            None => self.close(connection),
        }
    }

    /// A node connects to the leader, renews its leases, and writes to the primaries for which it
    /// holds leases.
    pub(super) fn node_turn(&mut self, number: usize, incarnation: u64) {
        if self.nodes[number].incarnation != incarnation {
            return;
        }
        self.schedule_after(40, Event::NodeTurn(number, incarnation));
        let now = self.now;
        let node = &mut self.nodes[number];
        if let Some((connection, _)) = node.connection {
            if now - node.last_message_at > if node.welcomed { 1_200 } else { 400 } {
                self.close(connection);
            } else if node.welcomed && now - node.last_renewal_at >= 450 {
                self.send_renewal(number);
            }
        } else {
            let to = node.leader_hint.take().unwrap_or_else(|| {
                node.next_controller += 1;
                node.controllers[node.next_controller % node.controllers.len()]
            });
            let machine = machine_of(to);
            if self.machines.get(machine).is_some_and(|m| m.controller.is_some()) {
                self.last_id += 1;
                let connection = self.last_id;
                self.connections
                    .insert(connection, (machine, RemoteEnd::Node(number, incarnation)));
                if let Some(controller) = &mut self.machines[machine].controller {
                    controller.effects.open_connections.insert(connection);
                }
                let node = &mut self.nodes[number];
                (node.connection, node.welcomed, node.last_message_at) =
                    (Some((connection, machine)), false, now);
                let revision = node.route_table.as_ref().map_or(Revision(0), |c| c.revision);
                let now = Tick(now + self.machines[machine].clock_offset);
                if let Some(controller) = &mut self.machines[machine].controller {
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
            if now < lease.requested_at + LEASE_MS
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
        node.last_renewal_at = now;
        node.last_renewal_seq += 1;
        let seq = node.last_renewal_seq;
        node.renewals_sent.insert(seq, now);
        if node.renewals_sent.len() > 16 {
            node.renewals_sent.pop_first();
        }
        let observed = node.take_observed();
        let last_grant_seq = node.last_grant.map_or(0, |(seq, _)| seq);
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

    /// Handles a message from a controller to a node.
    pub(super) fn handle_node_message(&mut self, number: usize, connection: u64, frame: Frame) {
        let now = self.now;
        let node = &mut self.nodes[number];
        node.last_message_at = now;
        let Frame::Controller(message) = frame else {
            return self.report_violation(format!("node{number} got a frame not meant for nodes"));
        };
        match message {
            ToPooler::Welcome { controllers } => {
                if !controllers.is_empty() {
                    node.controllers = controllers;
                }
                if !std::mem::replace(&mut node.welcomed, true) {
                    node.last_grant = None;
                    self.send_renewal(number);
                }
            }
            ToPooler::NotLeader(leader) => {
                node.leader_hint = leader;
                self.close(connection);
            }
            ToPooler::RouteTable(route_table) => self.apply_route_table(number, *route_table),
            ToPooler::TenantRouteTable { table, tenants } => {
                self.apply_route_table(number, table.with_tenants(*tenants));
            }
            ToPooler::RouteTableDelta(delta) => self.apply_delta(number, &delta, None),
            ToPooler::TenantRouteTableDelta { delta, tenants } => {
                self.apply_delta(number, &delta, tenants.map(|tenants| *tenants));
            }
            // Simulated nodes have no clients with a tenant.
            ToPooler::GrantOperations(_) => {}
            ToPooler::Directory(entries) => {
                node.listed_databases.clear();
                node.update_directory(entries, &[]);
            }
            ToPooler::DirectoryDelta { upserted, removed } => {
                node.update_directory(upserted, &removed);
            }
            ToPooler::SyncReplicas(counts) => node.set_sync_replicas(&counts),
            ToPooler::LeaseGrants { seq, complete, grants, .. } => {
                self.apply_lease_grants(number, seq, complete, grants);
            }
            ToPooler::HandOver { service, handover } => {
                let message = node.begin_handover(service, handover);
                self.send_to_controller(number, message);
            }
            ToPooler::Revoke { service, term } => {
                node.revoked.insert(service.clone(), (term, node.last_renewal_seq));
                if node.leases.get(&service).is_some_and(|l| l.term <= term) {
                    node.leases.remove(&service);
                }
                let highest = node.highest_positions.get(&service).copied();
                self.send_to_controller(number, ToController::RevokeAck { service, term, highest });
            }
            ToPooler::RenewNow => self.send_renewal(number),
        }
    }

    /// Applies the answer to a renewal, and acknowledges the handovers in it.
    fn apply_lease_grants(
        &mut self,
        number: usize,
        seq: u64,
        complete: bool,
        grants: Vec<LeaseGrant>,
    ) {
        let now = self.now;
        let node = &mut self.nodes[number];
        let Some(sent_at) = node.renewals_sent.get(&seq).copied() else { return };
        node.renewals_sent.retain(|s, _| *s >= seq);
        node.last_grant = Some((seq, now));
        if complete {
            node.leases.clear();
        }
        let mut acknowledgements = Vec::new();
        for grant in grants {
            acknowledgements.extend(node.apply_grant(grant, seq, sent_at));
        }
        node.leases.values_mut().for_each(|l| l.requested_at = l.requested_at.max(sent_at));
        for message in acknowledgements {
            self.send_to_controller(number, message);
        }
        self.check_single_leased_term();
    }

    fn apply_delta(
        &mut self,
        number: usize,
        delta: &RouteTableDelta,
        tenants: Option<TenantTable>,
    ) {
        let known = self.nodes[number].route_table.as_ref();
        match known.and_then(|known| known.apply_with_tenants(delta, tenants)) {
            Some(route_table) => self.apply_route_table(number, route_table),
            None => self.send_to_controller(number, ToController::RequestFullTable),
        }
    }

    fn apply_route_table(&mut self, number: usize, route_table: RouteTable) {
        if !self
            .committed_configurations
            .iter()
            .any(|committed| committed.revision == route_table.revision)
        {
            return self.report_violation(format!(
                "node{number} received revision {}, which was never committed",
                route_table.revision
            ));
        }
        let node = &mut self.nodes[number];
        if node.route_table.as_ref().is_none_or(|c| c.revision < route_table.revision) {
            node.route_table = Some(route_table);
        }
    }
}
