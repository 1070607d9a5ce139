//! Subscriptions of poolers and gateways (nodes) to the leader: their `Hello` messages, and the
//! updates sent when the controller addresses, the directory or the route table change. Lease
//! renewals are in `lease_renewals`.
//!
//! On a slow connection newer state replaces older state that has not been sent, which bounds the
//! send queue.
use crate::base::ids::{InstanceId, NodeName, Revision, ServiceName};
use crate::base::time::Tick;
use crate::config::directory::DirectoryEntry;
use crate::config::route_table::RouteTable;
use crate::config::tenants::TenantTable;
use crate::controller::core::Controller;
use crate::controller::effects::Effects;
use crate::net::rpc::pooler_messages::{ToController, ToPooler};
use crate::net::rpc::{
    FIRST_LAYOUT, Frame, HANDOVER_LAYOUT, SYNC_REPLICAS_LAYOUT, TENANTS_LAYOUT, encode,
};
use log::{debug, info};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;

/// Maximum bytes of directory deltas queued for one connection. Beyond this limit the complete
/// directory is sent later instead.
const MAX_QUEUED_DELTA_BYTES: usize = 64 << 10;

/// Milliseconds for which directory changes are batched into one message.
pub(super) const DIRECTORY_BATCH_MS: u64 = 20;

/// The first message of a node on a connection ([`ToController::Hello`]).
pub(super) struct Hello {
    conn: u64,
    node: NodeName,
    /// Identifies the node's process: a newer incarnation ends the leases of an older one.
    incarnation: u64,
    /// Revision of the node's route table.
    revision: Revision,
    zone: String,
}

/// A lease renewal that has not been answered yet.
pub(super) struct PendingRenewal {
    /// Sequence number chosen by the node and repeated in the response.
    pub(super) seq: u64,
    /// Services for which the node requests the replication watermark.
    pub(super) bounds_requested: Vec<ServiceName>,
}

/// A sent renewal response. Whatever the node observes after receiving it is no older than
/// `sent_at`.
pub(super) struct SentGrants {
    pub(super) seq: u64,
    pub(super) sent_at: Tick,
}

/// A node subscribed to this leader: what it has been sent and what remains to be sent.
pub(super) struct Subscriber {
    pub(super) node: NodeName,
    pub(super) zone: String,
    /// The newest frame layout that the node can read.
    layout: u8,
    /// The node's route table revision once it has received all queued frames.
    revision: Revision,
    /// Whether the complete directory has to be sent: on a new connection, and after a delta that
    /// exceeded the queue limit.
    directory_due: bool,
    /// The numbers of synchronous replicas that the node was sent last; `None` before the first time.
    sync_replicas: Option<BTreeMap<ServiceName, u32>>,
    /// The renewal to answer once the connection's send queue is empty.
    pub(super) renewal: Option<PendingRenewal>,
    /// Number of the latest pending update included in a response; `None` before the first one.
    pub(super) updates_sent: Option<u64>,
    /// Services whose leases the node released. The next response includes their grants.
    pub(super) released: BTreeSet<ServiceName>,
    /// The most recent renewal responses.
    pub(super) sent_grants: VecDeque<SentGrants>,
}

impl Subscriber {
    /// Whether the node can read handover messages.
    pub(super) fn supports_handover(&self) -> bool {
        self.layout >= HANDOVER_LAYOUT
    }
}

/// Updates batched for a broadcast to all nodes.
#[derive(Default)]
pub(super) struct DirectoryUpdates {
    /// The changed instances.
    changed: BTreeSet<InstanceId>,
    /// When the first of these changes was recorded.
    changed_since: Option<Tick>,
    /// Whether all nodes have to renew their leases, because a primary changed.
    pub(super) renewal_due: bool,
    /// When nodes were last asked to renew.
    renewal_sent_at: Tick,
}

impl DirectoryUpdates {
    /// Whether any update is waiting to be sent.
    pub(super) fn is_pending(&self) -> bool {
        self.changed_since.is_some() || self.renewal_due
    }
    /// Drops the pending directory changes. Called when this controller loses leadership.
    pub(super) fn clear(&mut self) {
        self.changed.clear();
        self.changed_since = None;
    }
}

impl<E: Effects> Controller<E> {
    pub(super) fn send_frame(&mut self, conn: u64, frame: &Frame) {
        self.effects.send(conn, encode(frame));
    }

    /// Replies that this controller is not the leader, with the leader's address if known.
    pub(super) fn send_not_leader(&mut self, conn: u64) {
        let leader = self.leader_address().map(|l| l.peer);
        self.send_frame(conn, &Frame::Controller(ToPooler::NotLeader(leader)));
    }

    /// Sends all nodes the list of controllers. A node that loses this leader looks for the next
    /// one among them.
    pub(super) fn send_controller_list(&mut self) {
        let controllers = self.raft.members().iter().map(|m| m.peer).collect();
        let frame = encode(&Frame::Controller(ToPooler::Welcome { controllers }));
        for conn in self.subscribers.keys() {
            self.effects.send(*conn, frame.clone());
        }
    }

    /// Sends a message to all nodes. A node whose queue is too long gets the complete directory
    /// later instead.
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

    /// Records a changed directory instance for the next broadcast to all nodes.
    pub(super) fn record_directory_change(&mut self, id: &InstanceId, now: Tick) {
        self.directory_frame = None;
        if self.leader_state.is_some() {
            self.directory_updates.changed.insert(id.clone());
            self.directory_updates.changed_since.get_or_insert(now);
        }
    }

    /// Broadcasts the batched updates if they are due.
    pub(super) fn send_directory_updates(&mut self, now: Tick) {
        let updates = &mut self.directory_updates;
        // Immediate for the first changed service; changes within the batch interval share one
        // message.
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

    /// Sends a node all due updates, if its send queue is empty.
    pub(super) fn send_due_updates(&mut self, conn: u64, now: Tick) {
        if self.effects.queued_bytes(conn) != Some(0) {
            return;
        }
        self.send_due_directory(conn);
        self.send_due_sync_replicas(conn);
        self.send_due_route_table(conn);
        let renewal = self.subscribers.get_mut(&conn).and_then(|s| s.renewal.take());
        if let Some(renewal) = renewal {
            self.send_lease_grants(conn, &renewal, now);
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

    /// Sends a node the numbers of synchronous replicas, on a new connection and after a change. A
    /// lease that is granted later is used according to them.
    fn send_due_sync_replicas(&mut self, conn: u64) {
        let Some(subscriber) = self.subscribers.get_mut(&conn) else { return };
        if subscriber.layout < SYNC_REPLICAS_LAYOUT
            || subscriber.sync_replicas.as_ref() == Some(&self.sync_replicas)
        {
            return;
        }
        subscriber.sync_replicas = Some(self.sync_replicas.clone());
        let message = ToPooler::SyncReplicas(self.sync_replicas.clone());
        self.send_frame(conn, &Frame::Controller(message));
    }

    fn send_due_route_table(&mut self, conn: u64) {
        let Some(current) = self.route_tables.back() else { return };
        let Some(subscriber) = self.subscribers.get_mut(&conn) else { return };
        if subscriber.revision >= current.revision {
            return;
        }
        // A node that does not know tenants would serve clients without a key.
        if !current.tenants.is_empty() && subscriber.layout < TENANTS_LAYOUT {
            return;
        }
        let from = std::mem::replace(&mut subscriber.revision, current.revision);
        let frame = self.route_table_frames.entry(from).or_insert_with(|| {
            let base = self.route_tables.iter().find(|table| table.revision == from);
            encode(&Frame::Controller(route_table_message(current, base)))
        });
        self.effects.send(conn, Arc::clone(frame));
    }

    /// Handles a message from a pooler or gateway.
    pub(super) fn handle_pooler_message(&mut self, conn: u64, message: ToController, now: Tick) {
        if self.leader_state.is_none() {
            return self.send_not_leader(conn);
        }
        if let ToController::Hello { node, incarnation, revision, zone } = message {
            let hello = Hello { conn, node, incarnation, revision, zone };
            return self.handle_hello(hello, now);
        }
        let Some(node) = self.subscribers.get(&conn).map(|s| s.node.clone()) else {
            return;
        };
        // Ignore messages from a connection that the node has replaced by a newer one.
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
                debug!(
                    target: "failover",
                    "{service}: node {node} suspects database {instance} ({reason:?})"
                );
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
            ToController::RequestOperations(requests) => {
                self.grant_operations(conn, requests, now);
            }
            ToController::Goodbye => {
                if let Some(leader_state) = &mut self.leader_state {
                    leader_state.leases.withdraw_all_grants(&node);
                }
            }
        }
    }

    /// Handles the deferred `Hello` messages, once this controller has confirmed or lost its
    /// leadership.
    pub(super) fn handle_deferred_hellos(&mut self, now: Tick) {
        if self.deferred_hellos.is_empty()
            || (self.leader_state.is_some() && !self.raft.holds_leader_lease(now))
        {
            return;
        }
        for hello in std::mem::take(&mut self.deferred_hellos) {
            match self.leader_state {
                Some(_) => self.handle_hello(hello, now),
                None => self.send_not_leader(hello.conn),
            }
        }
    }

    /// Handles the first message of a node: subscribes it to updates and lease grants.
    fn handle_hello(&mut self, hello: Hello, now: Tick) {
        if !self.raft.holds_leader_lease(now) || self.last_applied < self.raft.commit_index {
            // The applied state may be older than what the node received from an earlier leader.
            self.deferred_hellos.push(hello);
            return;
        }
        let Hello { conn, node, incarnation, revision, zone } = hello;
        // The connection may have closed while the `Hello` was deferred. Then no later event would
        // end the node's leases.
        if self.effects.queued_bytes(conn).is_none() {
            return;
        }
        info!(
            target: "poolers",
            "node {node} connected from zone {zone} with route table revision {revision}"
        );
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
            sync_replicas: None,
            renewal: None,
            updates_sent: None,
            released: BTreeSet::new(),
            sent_grants: VecDeque::new(),
        };
        self.subscribers.insert(conn, subscriber);
        let controllers = self.raft.members().iter().map(|m| m.peer).collect();
        self.send_frame(conn, &Frame::Controller(ToPooler::Welcome { controllers }));
        self.send_due_updates(conn, now);
    }

    /// Ends the subscription of a node whose connection has closed. Its leases stay valid until
    /// they expire.
    pub(super) fn handle_closed_connection(&mut self, conn: u64, now: Tick) {
        self.node_layouts.remove(&conn);
        if let Some(Subscriber { node, .. }) = self.subscribers.remove(&conn)
            && let Some(leader_state) = &mut self.leader_state
            && leader_state.leases.disconnect(conn, now).is_some()
        {
            leader_state.pending_updates.mark_all_changed();
            info!(target: "poolers", "node {node} disconnected; its leases run until they expire");
        }
    }
}

/// The message that brings a node from the route table `base` to the current one; `None` stands for
/// a revision whose table is not known.
fn route_table_message(current: &RouteTable, base: Option<&RouteTable>) -> ToPooler {
    let has_tenants = |table: &RouteTable| !table.tenants.is_empty();
    let tenants = || Box::new(TenantTable::clone(&current.tenants));
    match base {
        Some(base) if has_tenants(base) || has_tenants(current) => {
            ToPooler::TenantRouteTableDelta {
                delta: Box::new(current.delta_from(base)),
                tenants: (base.tenants != current.tenants).then(tenants),
            }
        }
        Some(base) => ToPooler::RouteTableDelta(Box::new(current.delta_from(base))),
        None if has_tenants(current) => {
            ToPooler::TenantRouteTable { table: Box::new(current.clone()), tenants: tenants() }
        }
        None => ToPooler::RouteTable(Box::new(current.clone())),
    }
}
