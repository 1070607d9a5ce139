//! The poolers and gateways that follow this leader: their greetings, and what they are sent when
//! endpoints, the directory or the route table change. Lease renewals are in `lease_renewals`.
//!
//! Where a connection is slow, newer state replaces older state that was not sent yet, so that no
//! queue grows without bound.
use crate::base::ids::{InstanceId, NodeName, Revision, ServiceName};
use crate::base::time::Tick;
use crate::config::directory::DirectoryEntry;
use crate::controller::core::Controller;
use crate::controller::effects::Effects;
use crate::net::rpc::pooler_messages::{ToController, ToPooler};
use crate::net::rpc::{FIRST_LAYOUT, Frame, HANDOVER_LAYOUT, encode};
use log::{debug, info};
use std::collections::{BTreeSet, VecDeque};
use std::sync::Arc;

/// Bytes of directory changes that may be queued for one connection; beyond it the whole directory
/// is sent later.
const MAX_QUEUED_DELTA_BYTES: usize = 64 << 10;

/// Milliseconds for which changes of the directory are collected into one message.
pub(super) const DIRECTORY_BATCH_MS: u64 = 20;

/// A node's first message on a connection.
pub(super) struct SubscribeRequest {
    conn: u64,
    node: NodeName,
    /// Of the node's process: a newer one ends the leases of an older one.
    incarnation: u64,
    /// The revision of the route table that it has.
    revision: Revision,
    zone: String,
}

/// A renewal that is not answered yet.
pub(super) struct PendingRenewal {
    /// The node's number for it, repeated in the answer.
    pub(super) seq: u64,
    /// The services whose replication watermark it asks for.
    pub(super) bounds_requested: Vec<ServiceName>,
}

/// An answer to a renewal, for dating what the node observes after it.
pub(super) struct SentAnswer {
    pub(super) seq: u64,
    pub(super) sent_at: Tick,
}

/// A node that follows this leader: what it was sent, and what is still due to it.
pub(super) struct Subscriber {
    pub(super) node: NodeName,
    pub(super) zone: String,
    /// The newest layout of frames that it reads.
    layout: u8,
    /// The revision it has, or will have once what is queued has arrived.
    revision: Revision,
    /// Whether the whole directory is due, instead of the changes that did not fit.
    directory_due: bool,
    /// The renewal to be answered once the queue of the connection is empty.
    pub(super) renewal: Option<PendingRenewal>,
    /// Up to which of the pending updates it was answered; none before the first answer.
    pub(super) updates_sent: Option<u64>,
    /// Services whose leases it released: their grants are part of the next answer.
    pub(super) released: BTreeSet<ServiceName>,
    /// The newest answers.
    pub(super) answers: VecDeque<SentAnswer>,
}

impl Subscriber {
    /// Whether it can be told of a handover.
    pub(super) fn supports_handover(&self) -> bool {
        self.layout >= HANDOVER_LAYOUT
    }
}

/// What all nodes are to be sent once it has been collected for a moment.
#[derive(Default)]
pub(super) struct DirectoryUpdates {
    /// The instances that changed.
    changed: BTreeSet<InstanceId>,
    /// When the first of them did.
    changed_since: Option<Tick>,
    /// Whether all nodes have to renew their leases, as a primary changed.
    pub(super) renewal_due: bool,
    /// When they were last asked to.
    renewal_sent_at: Tick,
}

impl DirectoryUpdates {
    /// Whether something waits to be sent.
    pub(super) fn is_pending(&self) -> bool {
        self.changed_since.is_some() || self.renewal_due
    }
    /// Drops the changes of the directory, as this controller no longer leads.
    pub(super) fn clear(&mut self) {
        self.changed.clear();
        self.changed_since = None;
    }
}

impl<E: Effects> Controller<E> {
    pub(super) fn send_frame(&mut self, conn: u64, frame: &Frame) {
        self.effects.send(conn, encode(frame));
    }

    /// Answers that this controller does not lead, and who does as far as it knows.
    pub(super) fn send_not_leader(&mut self, conn: u64) {
        let leader = self.leader_address().map(|l| l.peer);
        self.send_frame(conn, &Frame::Controller(ToPooler::NotLeader(leader)));
    }

    /// Sends all nodes the list of controllers: a node that loses this leader searches there.
    pub(super) fn send_controller_list(&mut self) {
        let controllers = self.raft.members().iter().map(|m| m.peer).collect();
        let frame = encode(&Frame::Controller(ToPooler::Welcome { controllers }));
        for conn in self.subscribers.keys() {
            self.effects.send(*conn, frame.clone());
        }
    }

    /// Sends all nodes a message; one with too much queued gets the whole directory later instead.
    fn broadcast(&mut self, message: ToPooler) {
        let frame = encode(&Frame::Controller(message));
        for (conn, subscriber) in &mut self.subscribers {
            let queued = self.effects.queued_bytes(*conn).unwrap_or(0);
            if queued + frame.len() <= MAX_QUEUED_DELTA_BYTES {
                self.effects.send(*conn, frame.clone());
            } else {
                subscriber.directory_due = true;
            }
        }
    }

    /// Notes that an instance in the directory changed, for the next message to all nodes.
    pub(super) fn note_directory_change(&mut self, id: &InstanceId, now: Tick) {
        self.directory_frame = None;
        if self.leader_state.is_some() {
            self.directory_updates.changed.insert(id.clone());
            self.directory_updates.changed_since.get_or_insert(now);
        }
    }

    /// Sends all nodes what was collected for them, if it is due.
    pub(super) fn send_directory_updates(&mut self, now: Tick) {
        let updates = &mut self.directory_updates;
        // At once for the first service, and once for many that follow within a moment.
        if updates.renewal_due && now.since(updates.renewal_sent_at) >= DIRECTORY_BATCH_MS {
            (updates.renewal_due, updates.renewal_sent_at) = (false, now);
            self.broadcast(ToPooler::RenewNow);
        }
        let updates = &mut self.directory_updates;
        if updates.changed_since.is_none_or(|t| now.since(t) < DIRECTORY_BATCH_MS) {
            return;
        }
        updates.changed_since = None;
        let (mut upserted, mut removed) = (Vec::new(), Vec::new());
        for id in std::mem::take(&mut updates.changed) {
            match self.state_machine.instances().get(&id) {
                Some(record) => upserted.push(DirectoryEntry::of(&id, &record.instance)),
                None => removed.push(id),
            }
        }
        self.broadcast(ToPooler::DirectoryDelta { upserted, removed });
    }

    /// Sends a node all that is due to it, if nothing older is queued for it.
    pub(super) fn send_due_updates(&mut self, conn: u64, now: Tick) {
        if self.effects.queued_bytes(conn) != Some(0) {
            return;
        }
        self.send_due_directory(conn);
        self.send_due_route_table(conn);
        let renewal = self.subscribers.get_mut(&conn).and_then(|s| s.renewal.take());
        if let Some(renewal) = renewal {
            self.answer_renewal(conn, &renewal, now);
        }
    }

    fn send_due_directory(&mut self, conn: u64) {
        let Some(subscriber) = self.subscribers.get_mut(&conn) else {
            return;
        };
        if !std::mem::take(&mut subscriber.directory_due) {
            return;
        }
        let instances = &self.state_machine.instances();
        let encode_directory = || {
            let listed = instances.iter().map(|(id, r)| DirectoryEntry::of(id, &r.instance));
            encode(&Frame::Controller(ToPooler::Directory(listed.collect())))
        };
        let frame = Arc::clone(self.directory_frame.get_or_insert_with(encode_directory));
        self.effects.send(conn, frame);
    }

    fn send_due_route_table(&mut self, conn: u64) {
        let Some(current) = self.route_tables.back() else { return };
        let Some(subscriber) = self.subscribers.get_mut(&conn) else { return };
        if subscriber.revision >= current.revision {
            return;
        }
        let from = std::mem::replace(&mut subscriber.revision, current.revision);
        let frame = self.route_table_frames.entry(from).or_insert_with(|| {
            let base = self.route_tables.iter().find(|table| table.revision == from);
            encode(&Frame::Controller(match base {
                Some(base) => ToPooler::RouteTableDelta(Box::new(current.delta_from(base))),
                None => ToPooler::RouteTable(Box::new(current.clone())),
            }))
        });
        self.effects.send(conn, Arc::clone(frame));
    }

    /// Handles a message of a pooler or gateway.
    pub(super) fn handle_pooler_message(&mut self, conn: u64, message: ToController, now: Tick) {
        if self.leader_state.is_none() {
            return self.send_not_leader(conn);
        }
        if let ToController::Hello { node, incarnation, revision, zone } = message {
            let request = SubscribeRequest { conn, node, incarnation, revision, zone };
            return self.handle_subscribe_request(request, now);
        }
        let Some(node) = self.subscribers.get(&conn).map(|s| s.node.clone()) else {
            return;
        };
        // A newer connection of the same node replaces what an older one still brings.
        let leases = self.leader_state.as_ref().and_then(|l| l.leases.poolers.get(&node));
        if leases.is_none_or(|l| l.connection != Some(conn)) {
            return;
        }
        match message {
            ToController::Hello { .. } => {}
            ToController::RequestFullTable => {
                if let Some(subscriber) = self.subscribers.get_mut(&conn) {
                    subscriber.revision = Revision(0);
                    self.send_due_updates(conn, now);
                }
            }
            renewal @ ToController::RenewLeases { .. } => {
                self.handle_renewal(conn, &node, renewal, now);
            }
            ToController::Suspect { service, instance, reason } => {
                debug!(target: "failover", "{service}: {node} suspects {instance} ({reason:?})");
                self.step_failover(&service, now, |failover, snapshot| {
                    failover.report_suspicion(snapshot, &node, &instance, reason, now)
                });
            }
            ToController::RevokeAck { service, term, highest } => {
                if let Some(leader_state) = &mut self.leader_state {
                    leader_state.leases.acknowledge_revocation(&node, &service, term, highest);
                }
                if let Some(subscriber) = self.subscribers.get_mut(&conn) {
                    subscriber.released.insert(service);
                }
            }
            ToController::HandOverAck { service, handover, highest } => {
                if let Some(leader_state) = &mut self.leader_state {
                    leader_state.leases.acknowledge_handover(&node, &service, handover, highest);
                }
            }
            ToController::Goodbye => {
                if let Some(leader_state) = &mut self.leader_state {
                    leader_state.leases.release_all(&node);
                }
            }
        }
    }

    /// Handles the greetings that were deferred, once this controller is sure whether it leads.
    pub(super) fn handle_deferred_subscribe_requests(&mut self, now: Tick) {
        if self.deferred_subscribe_requests.is_empty()
            || (self.leader_state.is_some() && !self.raft.holds_leader_lease(now))
        {
            return;
        }
        for request in std::mem::take(&mut self.deferred_subscribe_requests) {
            match self.leader_state {
                Some(_) => self.handle_subscribe_request(request, now),
                None => self.send_not_leader(request.conn),
            }
        }
    }

    /// Begins to send a node updates and to grant it leases.
    fn handle_subscribe_request(&mut self, request: SubscribeRequest, now: Tick) {
        if !self.raft.holds_leader_lease(now) || self.last_applied < self.raft.commit_index {
            // What is applied here may be older than what the node received from an earlier leader.
            self.deferred_subscribe_requests.push(request);
            return;
        }
        let SubscribeRequest { conn, node, incarnation, revision, zone } = request;
        // Its connection may have ended while the request was deferred; nothing would end its
        // leases.
        if self.effects.queued_bytes(conn).is_none() {
            return;
        }
        info!(target: "poolers", "{node} connected");
        if let Some(leader_state) = &mut self.leader_state {
            leader_state.leases.register(&node, incarnation, conn, now);
            leader_state.pending_updates.mark_all_changed();
        }
        let subscriber = Subscriber {
            node,
            zone,
            layout: self.node_layouts.get(&conn).copied().unwrap_or(FIRST_LAYOUT),
            revision,
            directory_due: true,
            renewal: None,
            updates_sent: None,
            released: BTreeSet::new(),
            answers: VecDeque::new(),
        };
        self.subscribers.insert(conn, subscriber);
        let controllers = self.raft.members().iter().map(|m| m.peer).collect();
        self.send_frame(conn, &Frame::Controller(ToPooler::Welcome { controllers }));
        self.send_due_updates(conn, now);
    }

    /// Ends the subscription of a node whose connection has closed; its leases run on until they
    /// expire.
    pub(super) fn handle_closed_connection(&mut self, conn: u64, now: Tick) {
        self.node_layouts.remove(&conn);
        if let Some(Subscriber { node, .. }) = self.subscribers.remove(&conn)
            && let Some(leader_state) = &mut self.leader_state
            && leader_state.leases.disconnect(conn, now).is_some()
        {
            leader_state.pending_updates.mark_all_changed();
            info!(target: "poolers", "{node} disconnected");
        }
    }
}
