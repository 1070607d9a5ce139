//! One controller as a step function: inputs and the time go in, effects come out. It owns the Raft
//! node, the replicated state and what the leader keeps; it knows no socket, thread, clock or file.
//! The event loop and the simulation call `handle_input` for what arrived, and `step` after that.
use crate::base::errors::Fatal;
use crate::base::ids::{InstanceId, LogIndex, MemberId, Revision, ServiceName};
use crate::base::time::Tick;
use crate::config::configuration::{Configuration, Service};
use crate::config::route_table::RouteTable;
use crate::config::settings::Settings;
use crate::controller::effects::{Effects, Input};
use crate::controller::failover_driver::DatabaseRequests;
use crate::controller::leader_lease::LeaderLease;
use crate::controller::leader_state::LeaderState;
use crate::controller::linearizable_reads::{LinearizableReads, PendingProposals};
use crate::controller::membership::JoinState;
use crate::controller::pooler_subscriptions::{
    DIRECTORY_BATCH_MS, DirectoryUpdates, Greeting, Subscriber,
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

/// The longest pause between two steps, in milliseconds.
const MAX_IDLE_MS: u64 = 200;

/// The longest pause between two steps while a failover is active, in milliseconds.
const MAX_ACTIVE_IDLE_MS: u64 = 25;

/// One controller; `E` carries out what it decides.
pub struct Controller<E> {
    pub(super) settings: Settings,
    pub(super) raft: RaftNode,
    pub(super) persister: LogPersister,
    pub(super) state_machine: StateMachine,
    /// The last log entry that the state machine holds.
    pub(super) applied: LogIndex,
    pub(super) config: Option<Configuration>,
    /// The services of the current configuration by name.
    pub(super) services: BTreeMap<ServiceName, Service>,
    /// The newest route tables, the current one last; deltas are computed against the older ones.
    pub(super) route_tables: VecDeque<RouteTable>,
    /// The frame that updates a pooler from a revision to the current one.
    pub(super) route_table_frames: HashMap<Revision, Arc<[u8]>>,
    /// The frame with the whole directory, until that changes.
    pub(super) directory_frame: Option<Arc<[u8]>>,
    /// The newest frame layout that a node reads, by connection.
    pub(super) node_layouts: HashMap<u64, u8>,
    /// The nodes that follow this leader, by connection.
    pub(super) poolers: BTreeMap<u64, Subscriber>,
    /// Greetings that came before this leader had applied all that was committed.
    pub(super) deferred_greetings: Vec<Greeting>,
    /// What is collected for all nodes before it is sent.
    pub(super) directory_updates: DirectoryUpdates,
    /// This controller's own join requests, and those it received.
    pub(super) join: JoinState,
    /// Only while this controller leads.
    pub(super) leader_state: Option<LeaderState>,
    /// Where databases listened that left the directory since this process started; they may serve on.
    pub(super) departed_addresses: BTreeMap<InstanceId, SocketAddr>,
    /// Callers that wait for their command to be applied.
    pub(super) proposed: PendingProposals<SyncSender<Response>>,
    /// Callers that wait until this controller is confirmed as the leader.
    pub(super) reads: LinearizableReads<SyncSender<Response>>,
    /// Requests of failovers to databases.
    pub(super) database_requests: DatabaseRequests,
    /// The source of member ids and of the spread of election time-outs.
    pub(super) random: fn() -> u64,
    /// What carries out the decisions; the simulation and the tests read them there.
    pub effects: E,
    /// The leader that was last written to the log file.
    pub(super) logged_leader: Option<MemberId>,
    /// Why something that is committed can't be read here; from then on nothing is answered or
    /// done on this state.
    pub(super) unreadable: Option<StateError>,
}

/// The state machine's check of Raft messages, in the form that the Raft node takes.
pub(super) fn validate_raft_message(kind: &RaftMessageKind) -> Result<(), UnreadableMessage> {
    validate_message(kind).map_err(UnreadableMessage::content)
}

impl<E: Effects> Controller<E> {
    /// A controller as it starts with the state on its disk. `restarted` is false for a new disk,
    /// and `random` gives uniformly distributed numbers.
    ///
    /// # Errors
    /// `Fatal::State` if the state can't be read.
    pub fn new(
        settings: Settings,
        state: PersistentState,
        restarted: bool,
        random: fn() -> u64,
        effects: E,
        now: Tick,
    ) -> Result<Self, Fatal> {
        let applied = state.snapshot.last_included.index;
        info!(target: "raft", "member {} starts at term {}, entry {}", state.member_id, state.term,
            state.log.last().map_or(applied, |e| e.index));
        let state_machine = decode_persistent_state(&state)?;
        let config = state_machine.configuration().map_err(|e| Fatal::State(e.to_string()))?;
        let mut controller = Self {
            raft: RaftNode::new(state, restarted, now, random),
            settings,
            persister: LogPersister::default(),
            state_machine,
            applied,
            route_tables: config.iter().map(RouteTable::of).collect(),
            config: None,
            services: BTreeMap::new(),
            route_table_frames: HashMap::new(),
            directory_frame: None,
            node_layouts: HashMap::new(),
            poolers: BTreeMap::new(),
            deferred_greetings: Vec::new(),
            directory_updates: DirectoryUpdates::default(),
            join: JoinState::new(now),
            leader_state: None,
            departed_addresses: BTreeMap::new(),
            proposed: PendingProposals::default(),
            reads: LinearizableReads::default(),
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

    /// Milliseconds until the next step is due if no input arrives.
    pub fn millis_until_step(&self, now: Tick) -> u64 {
        let active = self.leader_state.as_ref().is_some_and(|l| !l.active_services.is_empty());
        let longest = if active { MAX_ACTIVE_IDLE_MS } else { MAX_IDLE_MS };
        let batching = self.directory_updates.is_pending();
        let longest = if batching { longest.min(DIRECTORY_BATCH_MS) } else { longest };
        self.raft.next_tick_at().since(now).clamp(1, longest)
    }

    /// Does what is due, after inputs were handled.
    ///
    /// # Errors
    /// `Fatal::State` if something that is committed can't be read here: the process has to end.
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

    /// Tells the threads that act in this controller's name for how long it leads.
    fn publish_leader_lease(&mut self, now: Tick) {
        let term = self.raft.state.term;
        let lease = self.raft.leader_lease_end(now).map(|until| LeaderLease { term, until });
        self.effects.set_leader_lease(lease);
    }

    /// Fails once something committed can't be read: all that followed would rest on an old state.
    fn check_readable(&self) -> Result<(), Fatal> {
        match (&self.unreadable, &self.raft.unreadable_message) {
            (Some(why), _) => Err(Fatal::State(format!("left as it is: {why}"))),
            (_, Some(why)) => Err(Fatal::State(format!("not taken from the leader: {why}"))),
            _ => Ok(()),
        }
    }

    /// Hands leadership to another controller, as this one is asked to stop.
    pub fn transfer_leadership(&mut self, now: Tick) {
        self.raft.transfer_leadership(now);
        self.persist_and_apply(now);
        self.publish_leader_lease(now);
    }

    /// The Raft node.
    pub fn raft(&self) -> &RaftNode {
        &self.raft
    }

    /// The replicated state, as far as it is applied.
    pub fn state_machine(&self) -> &StateMachine {
        &self.state_machine
    }

    /// The last log entry that the state machine holds.
    pub fn applied(&self) -> LogIndex {
        self.applied
    }

    /// Sends the Raft messages that wait for no write, starts the next write, and applies what is
    /// committed, until no further message arises from it.
    fn persist_and_apply(&mut self, now: Tick) {
        let failing = self.persister.is_storage_failing(now);
        if failing != self.raft.storage_failing {
            match failing {
                true => warn!(target: "disk", "unhealthy, handing over leadership"),
                false => info!(target: "disk", "healthy again"),
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
                error!(target: "raft", "the storage thread has ended");
            }
            self.apply_committed_entries(now);
            self.update_leadership(now);
            if self.raft.outbox.is_empty() {
                return;
            }
        }
    }

    /// Handles the end of the write in flight. A failed one is retried until it succeeds.
    fn handle_write_result(&mut self, result: Result<(), StorageError>, now: Tick) {
        // One line for the first failure is enough.
        if let Err(e) = &result
            && !self.raft.storage_failing
        {
            error!(target: "disk", "cannot write: {e}");
        }
        let outcome = match result {
            Ok(()) => WriteOutcome::Durable,
            Err(_) => WriteOutcome::Failed,
        };
        for (to, message) in self.persister.end_write(&mut self.raft, outcome, now) {
            self.send_raft_message(to, message, now);
        }
    }

    /// Sends a Raft message to a member, or to the leader that accepted this controller; drops it
    /// if the address is unknown.
    fn send_raft_message(&mut self, to: MemberId, message: RaftMessage, now: Tick) {
        let member = self.raft.members().iter().find(|m| m.id == to);
        // A new controller knows no members yet, and one that was away may not know the leader.
        let accepted_by = self.join.accepted_by.filter(|_| self.raft.leader == Some(to));
        if let Some(address) = member.map(|m| m.peer).or(accepted_by) {
            self.effects.send_raft(to, address, message, now);
        }
    }

    /// Sends more to the peers that did not take everything at once.
    pub(super) fn flush_connections(&mut self, now: Tick) {
        for conn in self.effects.flush() {
            self.send_due_updates(conn, now);
        }
    }

    /// Handles what arrived; `step` follows.
    pub fn handle_input(&mut self, input: Input, now: Tick) {
        match input {
            Input::Frame(conn, frame) => self.handle_frame(conn, frame, now),
            Input::PeerLayout(member, layout) => self.raft.record_peer_layout(member, layout),
            Input::NodeLayout(conn, layout) => drop(self.node_layouts.insert(conn, layout)),
            Input::Closed(conn) => self.handle_closed_connection(conn, now),
            Input::Http(request, reply) => self.handle_admin_request(request, reply, now),
            Input::DatabaseResponse { service, instance, request, attempt, response } => {
                self.handle_database_response(
                    &service, &instance, request, attempt, &response, now,
                );
            }
            Input::PromotionResponse { service, target, attempt, response } => {
                self.handle_promotion_response(&service, &target, attempt, response, now);
            }
            Input::JoinResponse { requested_id, from, answer } => {
                self.handle_join_response(requested_id, from, answer, now);
            }
            Input::Saved(result) => self.handle_write_result(result, now),
        }
    }

    fn handle_frame(&mut self, conn: u64, frame: Frame, now: Tick) {
        match frame {
            Frame::Raft { to, message } if to == self.raft.state.member_id => {
                self.raft.step(*message, now);
            }
            Frame::Join { member, was_member: was } => {
                self.handle_join_request(conn, member, was, now)
            }
            Frame::Pooler(message) => self.handle_pooler_message(conn, message, now),
            // Meant for an earlier id of this controller's, or never sent to a controller.
            _ => {}
        }
    }

    /// Proposes a command. Its index in the log, or none if this controller does not lead.
    pub(super) fn propose(&mut self, command: &Command, now: Tick) -> Option<LogIndex> {
        self.raft.propose(EntryPayload::Command(ByteBuf::from(pack(command))), now)
    }
}
