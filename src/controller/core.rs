//! The controller as a deterministic step function: it takes inputs and the current time and emits
//! effects. It owns the Raft node, the replicated state machine and the leader's volatile state,
//! and uses no sockets, threads, clocks or files. The event loop and the simulation call
//! `handle_input` for each input, and `step` afterwards.
use crate::base::errors::Fatal;
use crate::base::ids::{InstanceId, LogIndex, MemberId, Revision, ServiceName, TenantName};
use crate::base::time::Tick;
use crate::config::configuration::{Configuration, Service};
use crate::config::route_table::RouteTable;
use crate::config::settings::Settings;
use crate::config::tenants::OperationLimit;
use crate::controller::effects::{Effects, Input};
use crate::controller::failover_driver::DatabaseRequests;
use crate::controller::leader_lease::LeaderLease;
use crate::controller::leader_state::LeaderState;
use crate::controller::linearizable_reads::{LinearizableReads, PendingProposals};
use crate::controller::membership::JoinState;
use crate::controller::pooler_subscriptions::{
    DIRECTORY_BATCH_MS, DirectoryUpdates, Hello, Subscriber,
};
use crate::net::http::Response;
use crate::net::rpc::raft_messages::{EntryPayload, RaftMessage, RaftMessageKind};
use crate::net::rpc::{Frame, pack};
use crate::raft::node::RaftNode;
use crate::raft::persister::{LogPersister, WriteOutcome};
use crate::raft::state::PersistentState;
use crate::raft::storage::StorageError;
use crate::raft::validation::UnreadableMessage;
use crate::state_machine::{
    Command, StateError, StateMachine, decode_persistent_state, validate_message,
};
use log::{error, info, warn};
use serde_bytes::ByteBuf;
use std::collections::{BTreeMap, HashMap, VecDeque};
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::mpsc::SyncSender;

/// The longest interval between two steps, in milliseconds.
const MAX_IDLE_MS: u64 = 200;

/// The longest interval between two steps while a failover is active, in milliseconds.
const MAX_ACTIVE_IDLE_MS: u64 = 25;

/// One controller. `E` executes its side effects.
pub struct Controller<E> {
    pub(super) settings: Settings,
    pub(super) raft: RaftNode,
    pub(super) persister: LogPersister,
    pub(super) state_machine: StateMachine,
    /// The index of the last log entry applied to the state machine.
    pub(super) last_applied: LogIndex,
    /// The current configuration; `None` until the first one is committed.
    pub(super) config: Option<Configuration>,
    /// The services of the current configuration by name.
    pub(super) services: BTreeMap<ServiceName, Service>,
    /// The `sync_replicas` of the services of the current configuration, where it is not 0.
    pub(super) sync_replicas: BTreeMap<ServiceName, u32>,
    /// The limits of the tenants of the current configuration, where they have one.
    pub(super) operation_limits: BTreeMap<TenantName, OperationLimit>,
    /// The most recent route tables, the current one last. Deltas are computed against the others.
    pub(super) route_tables: VecDeque<RouteTable>,
    /// Encoded frames that update a node from the given revision to the current route table.
    pub(super) route_table_frames: HashMap<Revision, Arc<[u8]>>,
    /// Encoded frame with the complete directory; cleared whenever the directory changes.
    pub(super) directory_frame: Option<Arc<[u8]>>,
    /// The newest frame layout that the node on each connection can read.
    pub(super) node_layouts: HashMap<u64, u8>,
    /// The nodes (poolers and gateways) subscribed to this leader, by connection.
    pub(super) subscribers: BTreeMap<u64, Subscriber>,
    /// The `Hello` messages received before this leader had applied all committed entries.
    pub(super) deferred_hellos: Vec<Hello>,
    /// Changes batched for the next broadcast to all nodes.
    pub(super) directory_updates: DirectoryUpdates,
    /// This controller's own join requests and the ones it received.
    pub(super) join: JoinState,
    /// The leader's volatile state; `None` while this controller is not the leader.
    pub(super) leader_state: Option<LeaderState>,
    /// Last addresses of databases removed from the directory since this process started. Such a
    /// database may still be serving.
    pub(super) departed_addresses: BTreeMap<InstanceId, SocketAddr>,
    /// Callers waiting for their command to be applied.
    pub(super) pending_proposals: PendingProposals<SyncSender<Response>>,
    /// Callers waiting for a confirmation that this controller is still the leader.
    pub(super) pending_reads: LinearizableReads<SyncSender<Response>>,
    /// Requests that failovers send to databases.
    pub(super) database_requests: DatabaseRequests,
    /// Source of randomness for member ids and election time-outs.
    pub(super) random: fn() -> u64,
    /// Executes the side effects. Public so that the simulation and the tests can inspect them.
    pub effects: E,
    /// The leader most recently reported in the log output; a change of leader is logged once.
    pub(super) logged_leader: Option<MemberId>,
    /// Set once committed data can't be decoded. From then on the controller neither acts on its
    /// state nor answers from it.
    pub(super) unreadable: Option<StateError>,
}

/// Adapts the state machine's validation of Raft messages to the Raft node's validator type.
pub(super) fn validate_raft_message(kind: &RaftMessageKind) -> Result<(), UnreadableMessage> {
    validate_message(kind).map_err(UnreadableMessage::content)
}

impl<E: Effects> Controller<E> {
    /// Creates a controller from its persisted state. `restarted` is false for a new disk, and
    /// `random` returns uniformly distributed numbers.
    ///
    /// # Errors
    /// `Fatal::State` if the state can't be decoded.
    pub fn new(
        settings: Settings,
        state: PersistentState,
        restarted: bool,
        random: fn() -> u64,
        effects: E,
        now: Tick,
    ) -> Result<Self, Fatal> {
        let last_applied = state.snapshot.last_included.index;
        info!(target: "raft", "member {} starts in term {} with last log index {}",
            state.member_id, state.term, state.log.last().map_or(last_applied, |e| e.index));
        let state_machine = decode_persistent_state(&state)?;
        let config = state_machine.configuration().map_err(|e| Fatal::State(e.to_string()))?;
        let mut controller = Self {
            raft: RaftNode::new(state, restarted, now, random),
            settings,
            persister: LogPersister::default(),
            state_machine,
            last_applied,
            route_tables: config.iter().map(RouteTable::of).collect(),
            config: None,
            services: BTreeMap::new(),
            sync_replicas: BTreeMap::new(),
            operation_limits: BTreeMap::new(),
            route_table_frames: HashMap::new(),
            directory_frame: None,
            node_layouts: HashMap::new(),
            subscribers: BTreeMap::new(),
            deferred_hellos: Vec::new(),
            directory_updates: DirectoryUpdates::default(),
            join: JoinState::new(now),
            leader_state: None,
            departed_addresses: BTreeMap::new(),
            pending_proposals: PendingProposals::default(),
            pending_reads: LinearizableReads::default(),
            database_requests: DatabaseRequests::default(),
            random,
            effects,
            logged_leader: None,
            unreadable: None,
        };
        controller.raft.message_validator = validate_raft_message;
        controller.set_configuration(config);
        Ok(controller)
    }

    /// Returns the number of milliseconds until the next step is due if no input arrives.
    pub fn millis_until_step(&self, now: Tick) -> u64 {
        let active = self.leader_state.as_ref().is_some_and(|l| !l.active_services.is_empty());
        let longest = if active { MAX_ACTIVE_IDLE_MS } else { MAX_IDLE_MS };
        let batching = self.directory_updates.is_pending();
        let longest = if batching { longest.min(DIRECTORY_BATCH_MS) } else { longest };
        self.raft.next_tick_at().since(now).clamp(1, longest)
    }

    /// Performs all work that is due: persists, sends and applies Raft entries, runs the leader's
    /// periodic work and sends updates to nodes. Call it after each batch of inputs.
    ///
    /// # Errors
    /// `Fatal::State` if committed data can't be decoded. The process must exit.
    pub fn step(&mut self, now: Tick) -> Result<(), Fatal> {
        self.raft.tick(now);
        self.check_readable()?;
        self.persist_and_apply(now);
        self.check_readable()?;
        self.publish_leader_lease(now);
        self.run_periodic_work(now);
        self.persist_and_apply(now);
        self.check_readable()?;
        self.send_directory_updates(now);
        self.flush_connections(now);
        Ok(())
    }

    /// Publishes the leader lease to the threads that send requests on the leader's behalf.
    fn publish_leader_lease(&mut self, now: Tick) {
        let term = self.raft.state.term;
        let lease = self.raft.leader_lease_end(now).map(|until| LeaderLease { term, until });
        self.effects.set_leader_lease(lease);
    }

    /// Fails if committed data couldn't be decoded: all later decisions would use stale state.
    fn check_readable(&self) -> Result<(), Fatal> {
        match (&self.unreadable, &self.raft.unreadable_message) {
            (Some(error), _) => {
                Err(Fatal::State(format!("committed state is left unchanged: {error}")))
            }
            (_, Some(error)) => {
                Err(Fatal::State(format!("a message of the leader was not applied: {error}")))
            }
            _ => Ok(()),
        }
    }

    /// Transfers leadership to another controller before this one stops.
    pub fn transfer_leadership(&mut self, now: Tick) {
        self.raft.transfer_leadership(now);
        self.persist_and_apply(now);
        self.publish_leader_lease(now);
    }

    /// Returns the Raft node.
    pub fn raft(&self) -> &RaftNode {
        &self.raft
    }

    /// Returns the replicated state with all entries up to [`Self::last_applied`].
    pub fn state_machine(&self) -> &StateMachine {
        &self.state_machine
    }

    /// Returns the index of the last log entry applied to the state machine.
    pub fn last_applied(&self) -> LogIndex {
        self.last_applied
    }

    /// Sends the Raft messages that don't depend on an unfinished write, starts the next write and
    /// applies committed entries. Repeats until the Raft node has no more messages to send.
    fn persist_and_apply(&mut self, now: Tick) {
        let failing = self.persister.is_storage_failing(now);
        if failing != self.raft.storage_failing {
            match failing {
                true => warn!(target: "disk", "storage is failing; any leadership is transferred"),
                false => info!(target: "disk", "storage is healthy again"),
            }
        }
        self.raft.set_storage_failing(failing, now);
        loop {
            for (to, message) in self.persister.take_sendable(&mut self.raft) {
                self.send_raft_message(to, message, now);
            }
            if let Some(batch) = self.persister.begin_write(&mut self.raft, now)
                && !self.effects.start_write(batch)
            {
                error!(target: "raft", "storage thread has exited; write batch not started");
            }
            self.apply_committed_entries(now);
            self.update_leadership(now);
            if self.raft.outbox.is_empty() {
                return;
            }
        }
    }

    /// Handles completion of the write in flight. A failed write is retried until it succeeds.
    fn handle_write_result(&mut self, result: Result<(), StorageError>, now: Tick) {
        // Log only the first of a series of failures.
        if let Err(e) = &result
            && !self.raft.storage_failing
        {
            error!(target: "disk", "write to Raft storage failed and will be retried: {e}");
        }
        let outcome = match result {
            Ok(()) => WriteOutcome::Durable,
            Err(_) => WriteOutcome::Failed,
        };
        for (to, message) in self.persister.end_write(&mut self.raft, outcome, now) {
            self.send_raft_message(to, message, now);
        }
    }

    /// Sends a Raft message to a member, or to the leader that accepted this controller. Drops the
    /// message if the address is unknown.
    fn send_raft_message(&mut self, to: MemberId, message: RaftMessage, now: Tick) {
        let member = self.raft.members().iter().find(|m| m.id == to);
        // A new controller has no member list yet, and the list of one that was partitioned may
        // lack the current leader.
        let accepted_by = self.join.accepted_by.filter(|_| self.raft.leader == Some(to));
        if let Some(address) = member.map(|m| m.peer).or(accepted_by) {
            self.effects.send_raft(to, address, message, now);
        }
    }

    /// Continues sending to peers whose sockets accepted only part of the queued data.
    pub(super) fn flush_connections(&mut self, now: Tick) {
        for conn in self.effects.flush() {
            self.send_due_updates(conn, now);
        }
    }

    /// Handles one input. The caller must call `step` afterwards.
    pub fn handle_input(&mut self, input: Input, now: Tick) {
        match input {
            Input::Frame(conn, frame) => self.handle_frame(conn, frame, now),
            Input::PeerLayout(member, layout) => self.raft.record_peer_layout(member, layout),
            Input::NodeLayout(conn, layout) => drop(self.node_layouts.insert(conn, layout)),
            Input::Closed(conn) => self.handle_closed_connection(conn, now),
            Input::AdminRequest(request, reply) => self.handle_admin_request(request, reply, now),
            Input::DatabaseResponse { service, instance, request, attempt, response } => {
                self.handle_database_response(
                    &service, &instance, request, attempt, &response, now,
                );
            }
            Input::PromotionResponse { service, target, attempt, response } => {
                self.handle_promotion_response(&service, &target, attempt, response, now);
            }
            Input::JoinResponse { requested_id, from, response } => {
                self.handle_join_response(requested_id, from, response, now);
            }
            Input::WriteFinished(result) => self.handle_write_result(result, now),
        }
    }

    fn handle_frame(&mut self, conn: u64, frame: Frame, now: Tick) {
        match frame {
            Frame::Raft { to, message } if to == self.raft.state.member_id => {
                self.raft.step(*message, now);
            }
            Frame::Join { member, was_member } => {
                self.handle_join_request(conn, member, was_member, now)
            }
            Frame::Pooler(message) => self.handle_pooler_message(conn, message, now),
            // Addressed to a previous member id of this controller, or of a kind that no controller
            // receives.
            _ => {}
        }
    }

    /// Proposes a command. Returns its log index, or `None` if this controller is not the leader.
    pub(super) fn propose(&mut self, command: &Command, now: Tick) -> Option<LogIndex> {
        self.raft.propose(EntryPayload::Command(ByteBuf::from(pack(command))), now)
    }
}
