//! The poolers and gateways that follow this leader.
use crate::base::ids::{InstanceId, NodeName, Revision, ServiceName};
use crate::base::time::Tick;
use crate::config::directory::DirectoryEntry;
use crate::controller::core::Controller;
use crate::controller::effects::Effects;
use crate::leases::lease_table::LEASE_MS;
use crate::net::rpc::pooler_messages::{
    LeaseGrant, ObservedPosition, PrimaryStatus, ToController, ToPooler,
};
use crate::net::rpc::{Frame, encode};
use log::{debug, info};
use std::collections::{BTreeSet, VecDeque};
use std::sync::Arc;

/// A pooler that follows this leader: what it was told, and what it is still owed. Where its link
/// is slow, newer state takes the place of older state that has not left.
pub(super) struct Subscriber {
    pub(super) node: NodeName,
    pub(super) zone: String,
    /// The configuration it has, or will have once what waits has arrived.
    pub(super) revision: Revision,
    /// The whole directory is due, instead of the changes that did not fit.
    pub(super) directory_due: bool,
    /// The renewal to be answered once what waits has left, and the floors it asks for.
    pub(super) renewal: Option<(u64, Vec<ServiceName>)>,
    /// Up to where in the pending updates it was answered; not at all yet.
    pub(super) told: Option<u64>,
    /// What it gave back by itself has to be told again.
    pub(super) owed: BTreeSet<ServiceName>,
    /// When the newest answers left.
    pub(super) answers: VecDeque<(u64, Tick)>,
}

/// Changes of the directory that wait for a slow pooler; beyond it the whole is sent later.
const CHANGES_WAITING: usize = 64 << 10;

/// Answers to a pooler that it may still tell of what it saw since.
const ANSWERS_KEPT: usize = 4;

/// Changes of the directory are gathered for so long.
pub(super) const GATHER_MS: u64 = 20;

impl<E: Effects> Controller<E> {
    pub(super) fn send_conn(&mut self, conn: u64, frame: &Frame) {
        self.send_bytes(conn, encode(frame));
    }
    pub(super) fn send_bytes(&mut self, conn: u64, frame: Arc<[u8]>) {
        self.effects.send(conn, frame);
    }
    /// Tells all nodes which controllers there are now: one that lost this leader looks for another there.
    pub(super) fn introduce(&mut self) {
        let controllers = self.raft.members().iter().map(|m| m.peer).collect();
        let frame = encode(&Frame::Controller(ToPooler::Welcome { controllers }));
        let conns: Vec<u64> = self.poolers.keys().copied().collect();
        conns.into_iter().for_each(|conn| self.send_bytes(conn, frame.clone()));
    }
    /// Tells all poolers of a change of the directory; one that is far behind gets the whole later.
    pub(super) fn send_to_all_poolers(&mut self, message: ToPooler) {
        let frame = encode(&Frame::Controller(message));
        let conns: Vec<u64> = self.poolers.keys().copied().collect();
        for conn in conns {
            let waiting = self.effects.waiting(conn).unwrap_or(0);
            if waiting + frame.len() <= CHANGES_WAITING {
                self.send_bytes(conn, frame.clone());
            } else if let Some(guest) = self.poolers.get_mut(&conn) {
                guest.directory_due = true;
            }
        }
    }

    /// The directory changed: poolers are told of all that does so within a moment.
    pub(super) fn moved(&mut self, id: &InstanceId, now: Tick) {
        self.listing = None;
        if self.leader_state.is_some() {
            self.moved.insert(id.clone());
            self.moved_since.get_or_insert(now);
        }
    }
    pub(super) fn tell_moved(&mut self, now: Tick) {
        // At once for one service, and once for many that follow.
        if self.renew_due && now.since(self.renew_told) >= GATHER_MS {
            (self.renew_due, self.renew_told) = (false, now);
            self.send_to_all_poolers(ToPooler::RenewNow);
        }
        if self.moved_since.is_none_or(|t| now.since(t) < GATHER_MS) {
            return;
        }
        self.moved_since = None;
        let (mut listed, mut gone) = (Vec::new(), Vec::new());
        for id in std::mem::take(&mut self.moved) {
            match self.state_machine.instances.get(&id) {
                Some(record) => listed.push(DirectoryEntry::of(&id, &record.instance)),
                None => gone.push(id),
            }
        }
        self.send_to_all_poolers(ToPooler::DirectoryDelta { upserted: listed, removed: gone });
    }

    /// Sends a pooler what it is owed, as soon as nothing older waits for it.
    pub(super) fn catch_up(&mut self, conn: u64, now: Tick) {
        if self.effects.waiting(conn) != Some(0) {
            return;
        }
        let Some(guest) = self.poolers.get_mut(&conn) else {
            return;
        };
        if std::mem::take(&mut guest.directory_due) {
            let instances = &self.state_machine.instances;
            let whole = || {
                let listed = instances.iter().map(|(id, r)| DirectoryEntry::of(id, &r.instance));
                encode(&Frame::Controller(ToPooler::Directory(listed.collect())))
            };
            let frame = Arc::clone(self.listing.get_or_insert_with(whole));
            self.send_bytes(conn, frame);
        }
        if let Some(route_table) = self.versions.back()
            && let Some(guest) = self.poolers.get_mut(&conn)
            && guest.revision < route_table.revision
        {
            let from = std::mem::replace(&mut guest.revision, route_table.revision);
            let frame = self.encoded.entry(from).or_insert_with(|| {
                let base = self.versions.iter().find(|c| c.revision == from);
                encode(&Frame::Controller(match base {
                    Some(base) => ToPooler::RouteTableDelta(Box::new(route_table.since(base))),
                    None => ToPooler::RouteTable(Box::new(route_table.clone())),
                }))
            });
            let frame = frame.clone();
            self.send_bytes(conn, frame);
        }
        let renewal = self.poolers.get_mut(&conn).and_then(|g| g.renewal.take());
        if let Some((seq, asks)) = renewal {
            self.grant(conn, seq, &asks, now);
        }
    }

    pub(super) fn handle_pooler_message(&mut self, conn: u64, message: ToController, now: Tick) {
        if self.leader_state.is_none() {
            let leader = self.leads_at().map(|l| l.0);
            return self.send_conn(conn, &Frame::Controller(ToPooler::NotLeader(leader)));
        }
        if let ToController::Hello { node, incarnation, revision, zone } = message {
            if !self.raft.holds_leader_lease(now) || self.applied < self.raft.commit_index {
                // What this leader has may be older than what the pooler already heard.
                self.early.push((conn, ToController::Hello { node, incarnation, revision, zone }));
                return;
            }
            // It may have left while this leader was not sure yet; nothing would end its seat.
            if self.effects.waiting(conn).is_none() {
                return;
            }
            info!(target: "poolers", "{node} is here");
            if let Some(leader_state) = &mut self.leader_state {
                leader_state.leases.seat(&node, incarnation, conn, now);
                leader_state.pending_updates.stir_all();
            }
            let guest = Subscriber {
                node,
                zone,
                revision,
                directory_due: true,
                renewal: None,
                told: None,
                owed: BTreeSet::new(),
                answers: VecDeque::new(),
            };
            self.poolers.insert(conn, guest);
            let controllers = self.raft.members().iter().map(|m| m.peer).collect();
            self.send_conn(conn, &Frame::Controller(ToPooler::Welcome { controllers }));
            return self.catch_up(conn, now);
        }
        let Some(node) = self.poolers.get(&conn).map(|g| g.node.clone()) else {
            return;
        };
        // What an older connection of the same pooler still brings is overtaken by the newer one.
        let seat = self.leader_state.as_ref().and_then(|o| o.leases.seats.get(&node));
        if seat.is_none_or(|s| s.conn != Some(conn)) {
            return;
        }
        match message {
            ToController::Hello { .. } => {}
            ToController::RequestFullTable => {
                if let Some(guest) = self.poolers.get_mut(&conn) {
                    guest.revision = Revision(0);
                    self.catch_up(conn, now);
                }
            }
            ToController::RenewLeases {
                seq,
                last_grant_seq: heard,
                quotas: shares,
                demand: wants,
                observed: saw,
                bounds_requested: asks,
                load: busy,
            } => {
                let zone = self.poolers.get(&conn).map(|g| g.zone.as_str()).unwrap_or_default();
                if let Some(leader_state) = &mut self.leader_state {
                    for (service, busy) in busy {
                        leader_state.subset_assignments.report(&node, zone, service, busy);
                    }
                    for service in leader_state.leases.report(&node, shares, now) {
                        leader_state.pending_updates.stir(&service);
                    }
                    for (service, more) in wants {
                        if self.services.contains_key(&service) {
                            leader_state.leases.want(&node, &service, more, now);
                        }
                    }
                }
                self.hear_saw(conn, heard, &saw, now);
                if let Some(guest) = self.poolers.get_mut(&conn) {
                    guest.renewal = Some((seq, asks));
                }
                self.catch_up(conn, now);
            }
            ToController::Suspect { service, instance, reason: why } => {
                debug!(target: "failover", "{service}: {node} doubts {instance} ({why:?})");
                self.move_on(&service, now, |s, snapshot| {
                    s.report_suspicion(snapshot, &node, &instance, why, now)
                });
            }
            ToController::RevokeAck { service, term, highest } => {
                if let Some(leader_state) = &mut self.leader_state {
                    leader_state.leases.give_back(&node, &service, term, highest);
                }
                if let Some(guest) = self.poolers.get_mut(&conn) {
                    guest.owed.insert(service);
                }
            }
            ToController::Goodbye => {
                if let Some(leader_state) = &mut self.leader_state {
                    leader_state.leases.leave(&node);
                }
            }
        }
    }

    /// What a pooler saw at primaries, told from the answer that it had heard before.
    pub(super) fn hear_saw(&mut self, conn: u64, heard: u64, saw: &[ObservedPosition], now: Tick) {
        let answers = self.poolers.get(&conn).map(|g| &g.answers);
        let answered = answers.and_then(|all| all.iter().find(|(seq, _)| *seq == heard));
        if let (Some((_, answered)), Some(leader_state)) = (answered, &mut self.leader_state) {
            for saw in saw {
                let lead = self.state_machine.leads.get(&saw.service);
                leader_state.watermarks.learn(lead, *answered, saw, now);
            }
        }
    }

    /// Answers a renewal: all that was told on this connection is granted again, and what is new
    /// is told.
    pub(super) fn grant(&mut self, conn: u64, seq: u64, asks: &[ServiceName], now: Tick) {
        if !self.raft.holds_leader_lease(now) {
            return;
        }
        let Some(leader_state) = &mut self.leader_state else { return };
        let Some(guest) = self.poolers.get_mut(&conn) else { return };
        let whole = guest.told.is_none();
        let mut owed = std::mem::take(&mut guest.owed);
        owed.extend(leader_state.leases.lent(&guest.node).cloned());
        let due: BTreeSet<&ServiceName> =
            match guest.told.and_then(|told| leader_state.pending_updates.since(told)) {
                None => self.services.keys().collect(),
                Some(stirred) => stirred.chain(&owed).chain(&leader_state.sealed).collect(),
            };
        let mut grants = Vec::new();
        for service in due.into_iter().filter_map(|name| self.services.get(name)) {
            let lead = self.state_machine.leads.get(&service.name);
            let standing = match (lead, leader_state.failovers.get(&service.name)) {
                (Some(_), Some(s)) if s.revoking => {
                    s.sealed.map_or(PrimaryStatus::Absent, PrimaryStatus::Sealed)
                }
                (Some(lead), Some(_)) => {
                    PrimaryStatus::Active { term: lead.term, primary: lead.primary.clone() }
                }
                _ => PrimaryStatus::Absent,
            };
            let share =
                leader_state.leases.share(&guest.node, &service.name, service.max_connections, now);
            let grant =
                LeaseGrant { service: service.name.clone(), status: standing, quota: share };
            grants.extend(leader_state.leases.tell(&guest.node, grant));
        }
        leader_state.leases.renewed(&guest.node, now);
        guest.told = Some(leader_state.pending_updates.newest());
        if guest.answers.len() == ANSWERS_KEPT {
            guest.answers.pop_front();
        }
        guest.answers.push_back((seq, now));
        let fresh =
            asks.iter().filter_map(|name| leader_state.watermarks.tell(name, now)).collect();
        let subset_ranges = leader_state.subset_assignments.due(&guest.node, whole);
        let granted = ToPooler::LeaseGrants {
            seq,
            lease_ms: LEASE_MS,
            complete: whole,
            grants,
            position_bounds: fresh,
            subset_ranges,
        };
        self.send_conn(conn, &Frame::Controller(granted));
    }
}
