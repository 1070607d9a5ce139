//! One controller: inputs and a passed-in time in, effects out.
use crate::base::errors::Fatal;
use crate::base::ids::{InstanceId, LogIndex, MemberId, NodeName, Revision, ServiceName};
use crate::base::signals::Signals;
use crate::base::time::Tick;
use crate::config::configuration::{Configuration, Service};
use crate::config::directory::{DirectoryEntry, Heartbeat, Instance, Role};
use crate::config::route_table::RouteTable;
use crate::config::settings::{Rollout, Settings, Watched};
use crate::controller::admin_api::{AdminCall, CallDecision, is_word, judged, read_configuration};
use crate::controller::linearizable_reads::{LinearizableReads, PendingProposals};
use crate::controller::peer_connections::PeerConnection;
use crate::controller::pending_updates::PendingUpdates;
use crate::controller::process::{as_member, fresh_id};
use crate::controller::transport::{Event, SocketTransport};
use crate::failover::{
    Attempt, DatabaseRequest, DatabaseResponse, Failover, FailoverAction, FailoverState,
    LeaseStatus, PromotionResponse, ServiceSnapshot,
};
use crate::leases::lease_table::{LEASE_MS, LeaseTable, SHARE_HELD_MS};
use crate::leases::subset_assignments::SubsetAssignments;
use crate::leases::watermarks::ReplicationWatermarks;
use crate::net::http::{Request, Response};
use crate::net::rpc::pooler_messages::{
    LeaseGrant, ObservedPosition, PrimaryStatus, ToController, ToPooler,
};
use crate::net::rpc::raft_messages::{EntryPayload, JoinResponse, Member, RaftMessage, Snapshot};
use crate::net::rpc::{Frame, LAYOUT, encode, pack};
use crate::raft::node::RaftNode;
use crate::raft::persister::LogPersister;
use crate::raft::state::{PersistentState, UnsavedChanges};
use crate::raft::storage::WriteBatch;
use crate::state_machine::{
    Command, CommandOutcome, StateMachine, read_change, read_kept, read_state, readable,
};
use log::{debug, error, info, warn};
use serde_bytes::ByteBuf;
use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::mpsc::{Receiver, RecvTimeoutError, SyncSender};
use std::time::Duration;

/// What reaches a controller.
pub enum Input {
    /// What came over a connection on the peer port.
    Frame(u64, Frame),
    /// The layout that a controller reads, ahead of each frame that names it.
    PeerLayout(MemberId, u8),
    Closed(u64),
    Http(Request, SyncSender<Response>),
    DatabaseResponse(ServiceName, InstanceId, DatabaseRequest, Attempt, DatabaseResponse),
    PromotionResponse(ServiceName, InstanceId, Attempt, PromotionResponse),
    /// What a controller said to the wish to join, or to the question whether this id still belongs.
    JoinResponse(MemberId, SocketAddr, Option<JoinResponse>),
    /// The write under way has ended, with its error if it failed.
    Saved(Result<(), String>),
}

/// What a controller does to the world outside. The program does it with sockets, threads and a disk, the
/// model in the tests with queues in virtual time. Nothing here waits.
pub trait Effects {
    /// Sends another controller a consensus message, or drops it: the Raft group asks again for what got lost.
    fn send_raft(&mut self, to: MemberId, address: SocketAddr, message: RaftMessage, now: Tick);
    /// Connections to all others are of no use any more.
    fn keep_links(&mut self, members: &[Member]);
    /// Starts to write; `Input::Saved` follows. False if nothing writes any more.
    fn write(&mut self, batch: WriteBatch) -> bool;
    /// Asks a controller to be taken in, or whether one still belongs; `Input::Standing` follows.
    fn ask_standing(&mut self, at: SocketAddr, member: Member, was: bool);
    /// Asks a database one thing; `Input::Told` follows, unless this is false.
    fn ask_database(
        &mut self,
        service: &ServiceName,
        id: &InstanceId,
        address: SocketAddr,
        ask: DatabaseRequest,
        attempt: Attempt,
    ) -> bool;
    /// Calls the platform; `Input::Posted` follows.
    fn post_failover(
        &mut self,
        provider: SocketAddr,
        holder: &str,
        service: &ServiceName,
        target: &InstanceId,
        attempt: Attempt,
    );
    /// Sends a frame over a connection on the peer port, behind all that waits there.
    fn send(&mut self, conn: u64, frame: Arc<[u8]>);
    /// The same, ahead of all that has not begun to leave.
    fn send_first(&mut self, conn: u64, frame: Arc<[u8]>);
    /// How many bytes wait to leave over a connection; none if it has ended.
    fn waiting(&self, conn: u64) -> Option<usize>;
    /// Goes on with the peers that did not take everything at once; gives the connections among them.
    fn pump(&mut self) -> Vec<u64>;
    /// How many connections there are on the peer port.
    fn peers(&self) -> usize;
}

/// A pooler that follows this leader: what it was told, and what it is still owed. Where its link
/// is slow, newer state takes the place of older state that has not left.
struct Subscriber {
    node: NodeName,
    zone: String,
    /// The configuration it has, or will have once what waits has arrived.
    revision: Revision,
    /// The whole directory is due, instead of the changes that did not fit.
    directory_due: bool,
    /// The renewal to be answered once what waits has left, and the floors it asks for.
    renewal: Option<(u64, Vec<ServiceName>)>,
    /// Up to where in the pending updates it was answered; not at all yet.
    told: Option<u64>,
    /// What it gave back by itself has to be told again.
    owed: BTreeSet<ServiceName>,
    /// When the newest answers left.
    answers: VecDeque<(u64, Tick)>,
}

/// What only the leader keeps, and forgets when it no longer leads.
struct LeaderState {
    leases: LeaseTable,
    /// When each database was last heard of, and its newest sequence.
    heartbeats: BTreeMap<InstanceId, (Tick, u64)>,
    failovers: BTreeMap<ServiceName, Failover>,
    /// Services that something happened to, or that are on their way to another primary: these are
    /// looked at in every round. All are, now and then.
    stirred: BTreeSet<ServiceName>,
    swept: Tick,
    pending_updates: PendingUpdates,
    sealed: BTreeSet<ServiceName>,
    watermarks: ReplicationWatermarks,
    subset_assignments: SubsetAssignments,
    /// Leases and shares of before the election are over.
    settled: bool,
}

/// One controller, moved on by inputs and a passed-in time; `E` carries out what it decides.
pub struct Controller<E> {
    settings: Settings,
    raft: RaftNode,
    persister: LogPersister,
    state_machine: StateMachine,
    applied: LogIndex,
    config: Option<Configuration>,
    poolers: BTreeMap<u64, Subscriber>,
    /// Stiles that came before this leader had applied all that was committed.
    early: Vec<(u64, ToController)>,
    /// The newest versions, the last one in force; what changed since an older one is enough.
    versions: VecDeque<RouteTable>,
    /// The frame that brings a pooler from a version to the one in force.
    encoded: HashMap<Revision, Arc<[u8]>>,
    /// The frame that brings a pooler the whole directory, until that changes.
    listing: Option<Arc<[u8]>>,
    /// Databases that poolers have to be told of, and since when.
    moved: BTreeSet<InstanceId>,
    moved_since: Option<Tick>,
    /// Stiles have to ask anew, as a primary leads; and when they were last told to.
    renew_due: bool,
    renew_told: Tick,
    /// The services of the configuration in force, by name.
    services: BTreeMap<ServiceName, Service>,
    /// Who asked to join, and when last.
    joining: BTreeMap<MemberId, (Member, Tick)>,
    next_join: Tick,
    /// The controller that is said to lead, for asking it to be taken in.
    join_at: Option<SocketAddr>,
    /// The leader that says that it takes this one in, or has: answers go there while it is in no
    /// list here.
    taken_in: Option<SocketAddr>,
    /// The one that this process told to found the Raft group, as no seed has a disk.
    nominated: Option<MemberId>,
    /// Without a disk this controller is in no list and only points at the one that leads.
    pointed: Option<SocketAddr>,
    leader_state: Option<LeaderState>,
    proposed: PendingProposals<SyncSender<Response>>,
    reads: LinearizableReads<SyncSender<Response>>,
    /// Where ids and the spread of elections are drawn from.
    random: fn() -> u64,
    pub effects: E,
    known_leader: Option<MemberId>,
    /// Questions to databases: how many are under way, and those that wait.
    asking: usize,
    questions: VecDeque<(ServiceName, InstanceId, DatabaseRequest, Attempt)>,
    /// Something that is committed can't be read here: nothing is said or done on this state any more.
    unreadable: Option<String>,
}

/// One that reads nothing for so long, or should speak and does not, is let go.
pub(crate) const USELESS_MS: u64 = 10_000;

/// Questions to databases under way at once, and waiting.
const MAX_ASKS: usize = 96;

const QUESTIONS_WAITING: usize = 4_096;

/// A database whose heartbeats miss this many intervals is doubted.
const MISSED_BEATS: u64 = 3;

/// Who asked to join and does not ask again is forgotten after this.
const JOIN_KEPT_MS: u64 = 3_000;

const JOIN_AGAIN_MS: u64 = 250;

/// A member that hears no leader for this long asks whether it still is one.
const LONELY_MS: u64 = 1_200;

/// A seed without a disk waits this long for the first controllers before it names a founder.
const NOMINATE_MS: u64 = 500;

/// How often all services are looked at; those that something happens to are at once.
const SWEEP_MS: u64 = 100;

/// Versions of the configuration kept for telling what changed.
const VERSIONS_KEPT: usize = 8;

/// Changes of the directory that wait for a slow pooler; beyond it the whole is sent later.
const CHANGES_WAITING: usize = 64 << 10;

/// Answers to a pooler that it may still tell of what it saw since.
const ANSWERS_KEPT: usize = 4;

/// Changes of the directory are gathered for so long.
const GATHER_MS: u64 = 20;

/// How often peers are looked at that did not take all at once.
const PUMP_MS: u64 = 5;

/// One that stays silent this long is dropped from the directory.
const FORGOTTEN_MS: u64 = 60_000;

impl Controller<SocketTransport> {
    pub(crate) fn serve(
        &mut self,
        rx: Receiver<Event>,
        signals: &Signals,
        mut watched: Watched,
    ) -> Result<(), Fatal> {
        let mut leaving: Option<Tick> = None;
        let mut looked = Tick::now();
        loop {
            let wait = self.due(Tick::now());
            let wait = if self.effects.pumping() { wait.min(PUMP_MS) } else { wait };
            match rx.recv_timeout(Duration::from_millis(wait)) {
                Ok(event) => {
                    self.hear(event, Tick::now());
                    for _ in 0..64 {
                        let Ok(event) = rx.try_recv() else { break };
                        self.hear(event, Tick::now());
                    }
                }
                Err(RecvTimeoutError::Timeout) => {}
                Err(RecvTimeoutError::Disconnected) => return Ok(()),
            }
            let now = Tick::now();
            self.turn(now)?;
            if now.since(looked) > 1_000 {
                looked = now;
                let poolers = &self.poolers;
                self.effects.drop_useless(|conn| poolers.contains_key(&conn), now);
                if let Some(settings) = watched.poll(signals.take_hup()) {
                    self.settings = settings;
                }
            }
            if signals.terminated() && leaving.is_none() {
                info!(target: "raft", "stopping");
                leaving = Some(now);
                self.leave(now);
            }
            // The hand-over needs a moment; a follower can go at once.
            if leaving.is_some_and(|t| !self.raft.is_leader() || now.since(t) > 500) {
                info!(target: "raft", "stopped");
                return Ok(());
            }
        }
    }

    fn hear(&mut self, event: Event, now: Tick) {
        match event {
            Event::Opened(id, stream) => {
                self.effects.conns.insert(id, PeerConnection::new(stream, now));
            }
            Event::Linked(member, line) => {
                if let Some(link) = self.effects.links.get_mut(&member) {
                    link.dialing = false;
                    link.line = line;
                }
            }
            Event::Input(input) => {
                match &input {
                    Input::Frame(conn, _) => {
                        if let Some(line) = self.effects.conns.get_mut(conn) {
                            line.heard = Some(now);
                        }
                    }
                    Input::Closed(conn) => drop(self.effects.conns.remove(conn)),
                    _ => {}
                }
                self.take(input, now);
            }
        }
    }
}

impl<E: Effects> Controller<E> {
    /// A controller as it starts with what is on its disk.
    ///
    /// # Errors
    /// `Fatal::State` if the state can't be read.
    pub fn new(
        settings: Settings,
        kept: PersistentState,
        restarted: bool,
        random: fn() -> u64,
        effects: E,
        now: Tick,
    ) -> Result<Self, Fatal> {
        info!(target: "raft", "member {} starts at term {}, entry {}", kept.member_id, kept.term,
            kept.log.last().map_or(kept.snapshot.last_included.index, |e| e.index));
        let state_machine = read_kept(&kept)?;
        let applied = kept.snapshot.last_included.index;
        let config = state_machine.configuration().map_err(Fatal::State)?;
        let mut controller = Self {
            raft: RaftNode::new(kept, restarted, now, random),
            settings,
            persister: LogPersister::default(),
            state_machine,
            applied,
            versions: config.iter().map(RouteTable::of).collect(),
            config: None,
            poolers: BTreeMap::new(),
            early: Vec::new(),
            encoded: HashMap::new(),
            listing: None,
            moved: BTreeSet::new(),
            moved_since: None,
            renew_due: false,
            renew_told: Tick(0),
            services: BTreeMap::new(),
            joining: BTreeMap::new(),
            next_join: now,
            join_at: None,
            taken_in: None,
            nominated: None,
            pointed: None,
            leader_state: None,
            proposed: PendingProposals::default(),
            reads: LinearizableReads::default(),
            random,
            effects,
            known_leader: None,
            asking: 0,
            questions: VecDeque::new(),
            unreadable: None,
        };
        controller.raft.message_validator = readable;
        controller.configure(config);
        Ok(controller)
    }

    /// Milliseconds until a turn is due though nothing comes in.
    pub fn due(&self, now: Tick) -> u64 {
        let busy = self.leader_state.as_ref().is_some_and(|o| !o.stirred.is_empty());
        let wait = if busy { 25 } else { 200 };
        let gathers = self.moved_since.is_some() || self.renew_due;
        let wait = if gathers { wait.min(GATHER_MS) } else { wait };
        self.raft.next_tick_at().since(now).clamp(1, wait)
    }
    /// Does what is due, after inputs were taken.
    ///
    /// # Errors
    /// `Fatal::State` if something that is committed can't be read here: the process has to end.
    pub fn turn(&mut self, now: Tick) -> Result<(), Fatal> {
        self.raft.tick(now);
        self.still_readable()?;
        self.flush(now);
        self.still_readable()?;
        self.reconcile(now);
        self.flush(now);
        self.still_readable()?;
        self.tell_moved(now);
        self.pump(now);
        Ok(())
    }
    /// Going on beside what can't be read would be with an old state.
    fn still_readable(&self) -> Result<(), Fatal> {
        match (&self.unreadable, &self.raft.unreadable_message) {
            (Some(why), _) => Err(Fatal::State(format!("left as it is: {why}"))),
            (_, Some(why)) => Err(Fatal::State(format!("not taken from the leader: {why}"))),
            _ => Ok(()),
        }
    }
    /// Asked to stop: another is to lead.
    pub fn leave(&mut self, now: Tick) {
        self.raft.transfer_leadership(now);
        self.flush(now);
    }
    pub fn raft(&self) -> &RaftNode {
        &self.raft
    }
    pub fn state_machine(&self) -> &StateMachine {
        &self.state_machine
    }
    /// Up to where the state machine holds what was agreed.
    pub fn applied(&self) -> LogIndex {
        self.applied
    }

    /// Lets the messages leave that may, starts the next write, and applies what was agreed.
    fn flush(&mut self, now: Tick) {
        let troubled = self.persister.troubled(now);
        if troubled != self.raft.storage_failing {
            match troubled {
                true => warn!(target: "disk", "in trouble, another is to lead"),
                false => info!(target: "disk", "well again"),
            }
        }
        self.raft.set_storage_failing(troubled, now);
        loop {
            for (to, message) in self.persister.leaving(&mut self.raft) {
                self.send_raft(to, message, now);
            }
            if let Some(batch) = self.persister.start(&mut self.raft, now)
                && !self.effects.write(batch)
            {
                error!(target: "raft", "the thread that writes has ended");
            }
            self.apply(now);
            self.change_leader_state(now);
            if self.raft.outbox.is_empty() {
                return;
            }
        }
    }

    fn saved(&mut self, saved: Result<(), String>, now: Tick) {
        // Tried again until it works; one line for the first failure is enough.
        if let Err(e) = &saved
            && !self.raft.storage_failing
        {
            error!(target: "disk", "cannot write: {e}");
        }
        for (to, message) in self.persister.ended(&mut self.raft, saved.is_ok(), now) {
            self.send_raft(to, message, now);
        }
    }

    fn send_raft(&mut self, to: MemberId, message: RaftMessage, now: Tick) {
        let member = self.raft.members().iter().find(|m| m.id == to);
        // One that begins has no list yet, and that of one that was away may lack the leader.
        let leads = self.taken_in.filter(|_| self.raft.leader == Some(to));
        if let Some(address) = member.map(|m| m.peer).or(leads) {
            self.effects.send_raft(to, address, message, now);
        }
    }

    /// Goes on with the peers that did not take everything at once.
    fn pump(&mut self, now: Tick) {
        for conn in self.effects.pump() {
            self.catch_up(conn, now);
        }
    }

    /// Takes in what came; `turn` follows.
    pub fn take(&mut self, input: Input, now: Tick) {
        match input {
            Input::Closed(id) => {
                if let Some(Subscriber { node, .. }) = self.poolers.remove(&id)
                    && let Some(leader_state) = &mut self.leader_state
                    && leader_state.leases.lose(id, now).is_some()
                {
                    leader_state.pending_updates.stir_all();
                    info!(target: "poolers", "{node} lost");
                }
            }
            Input::PeerLayout(member, layout) => self.raft.record_peer_layout(member, layout),
            Input::Frame(_, Frame::Raft { to, message }) => {
                if to == self.raft.state.member_id {
                    self.raft.step(*message, now);
                }
            }
            Input::Frame(conn, Frame::Join { member, was }) => {
                let mut answer = self.raft.answer_join(&member, was, now);
                if self.names(&member, now) {
                    answer = JoinResponse::FoundCluster;
                }
                // One that was removed is taken in again with what it has on its disk.
                if matches!(answer, JoinResponse::Accepted | JoinResponse::Removed) {
                    self.joining.insert(member.id, (member, now));
                }
                self.send_conn(conn, &Frame::Joined(answer));
            }
            Input::JoinResponse(asked, at, answer) => self.stand(asked, at, answer, now),
            Input::Frame(conn, Frame::Pooler(message)) => {
                self.handle_pooler_message(conn, message, now)
            }
            Input::Frame(..) => {}
            Input::Http(request, reply) => self.answer_http(request, reply, now),
            Input::DatabaseResponse(service, id, ask, attempt, told) => {
                if told != DatabaseResponse::Connected {
                    self.asking -= 1;
                    self.ask_on();
                    info!(target: "failover", "{service}: {id} on {ask:?}: {told:?}");
                }
                self.move_on(&service, now, |s, snapshot| {
                    s.handle_response(snapshot, attempt, &id, ask, &told, now)
                });
            }
            Input::Saved(saved) => self.saved(saved, now),
            Input::PromotionResponse(service, id, attempt, posted) => {
                info!(target: "failover", "{service}: promote of {id}: {posted:?}");
                self.move_on(&service, now, |s, snapshot| {
                    s.handle_promotion_response(snapshot, attempt, &id, posted, now)
                });
            }
        }
    }

    // -- state ---------------------------------------------------------------------------------

    fn apply(&mut self, now: Tick) {
        if self.raft.commit_index <= self.applied || self.unreadable.is_some() {
            return;
        }
        if self.raft.state.snapshot.last_included.index > self.applied {
            match read_state(&self.raft.state.snapshot) {
                Ok(state_machine) => self.state_machine = state_machine,
                Err(why) => {
                    self.unreadable = Some(why);
                    return;
                }
            }
            self.listing = None;
            self.applied = self.raft.state.snapshot.last_included.index;
        }
        let mut relisted = None;
        for entry in self.raft.committed_entries_after(self.applied) {
            let change = match &entry.payload {
                EntryPayload::Command(bytes) => match read_change(entry.index, bytes) {
                    Ok(change) => Some(change),
                    Err(why) => {
                        self.unreadable = Some(why);
                        return;
                    }
                },
                _ => None,
            };
            self.applied = entry.index;
            let waiter = self.proposed.take(&entry);
            match &entry.payload {
                EntryPayload::NoOp => {}
                EntryPayload::Membership(members) => {
                    relisted = Some(members.clone());
                    self.joining.retain(|id, _| !members.iter().any(|m| m.id == *id));
                    self.effects.keep_links(members);
                }
                EntryPayload::Command(_) => {}
            }
            if let Some(change) = change {
                self.apply_change(&change, waiter, now);
            }
        }
        if let Some(members) = relisted {
            let word =
                |m: &Member| format!("{}{}", m.node, if m.voter { "" } else { " (learning)" });
            let names: Vec<_> = members.iter().map(word).collect();
            self.introduce();
            info!(target: "raft", "members: {}", names.join(", "));
        }
        if self.config.as_ref().map_or(Revision(0), |c| c.revision) != self.state_machine.revision {
            info!(target: "state", "configuration {} is in force", self.state_machine.revision);
            match self.state_machine.configuration() {
                Ok(config) => self.configure(config),
                Err(why) => {
                    self.unreadable = Some(why);
                    return;
                }
            }
            self.versions.extend(self.config.as_ref().map(RouteTable::of));
            if self.versions.len() > VERSIONS_KEPT {
                self.versions.pop_front();
            }
            let conns: Vec<u64> = self.poolers.keys().copied().collect();
            for conn in conns {
                self.catch_up(conn, now);
            }
        }
        let state_machine = &self.state_machine;
        self.raft.compact_log(self.applied, || state_machine.write());
    }

    fn configure(&mut self, config: Option<Configuration>) {
        let services = config.iter().flat_map(|c| &c.services);
        self.services = services.map(|s| (s.name.clone(), s.clone())).collect();
        self.config = config;
        self.encoded.clear();
        if let Some(leader_state) = &mut self.leader_state {
            leader_state.pending_updates.stir_all();
        }
    }

    fn apply_change(&mut self, change: &Command, waiter: Option<SyncSender<Response>>, now: Tick) {
        let primary = match change {
            Command::PrimaryReturned { service, .. } => self.state_machine.leads.get(service),
            _ => None,
        };
        let old = primary.map(|lead| lead.primary.clone());
        let effect = self.state_machine.apply(change);
        if let Some(reply) = waiter {
            // A caller that no longer waits is none of our business.
            let answer = match change {
                Command::Heartbeat { .. } => self.beaten(),
                _ => judged(&effect),
            };
            drop(reply.try_send(answer));
        }
        if effect != CommandOutcome::Applied {
            return;
        }
        match change {
            // Read and told once all that is committed is applied: see `apply`.
            Command::PutConfiguration { .. } => {}
            Command::Heartbeat { id, instance, .. } => {
                self.moved(id, now);
                info!(target: "state", "{id} of {}: {:?}, {:?}", instance.target_service,
                    instance.database_role, instance.lifecycle_state);
                let (service, role) = (&instance.target_service, instance.database_role);
                self.move_on(service, now, |s, snapshot| {
                    s.handle_heartbeat(snapshot, id, role, now)
                });
                self.move_on(service, now, |s, snapshot| s.tick(snapshot, now));
            }
            Command::RemoveInstance { id, .. } => {
                info!(target: "state", "{id} is gone");
                self.moved(id, now);
            }
            Command::SetPrimary { service, term, primary } => {
                info!(target: "failover", "{service}: {primary} leads term {term}");
            }
            Command::BeginFailover { service, target, .. } => {
                info!(target: "failover", "{service}: {target} is to take over");
            }
            Command::AbandonFailover { service, target } => {
                info!(target: "failover", "{service}: {target} is not running, given up");
            }
            Command::PrimaryReturned { service, term, primary } => {
                if let Some(old) = &old {
                    self.moved(old, now);
                }
                info!(target: "failover", "{service}: {primary} is the primary of term {term}, back");
            }
            Command::ForgetDeparted { service, departed } => {
                let names: Vec<String> = departed.keys().map(|id| id.to_string()).collect();
                info!(target: "failover", "{service}: others have what {} had", names.join(", "));
            }
        }
        if let Command::SetPrimary { service, .. }
        | Command::BeginFailover { service, .. }
        | Command::AbandonFailover { service, .. }
        | Command::PrimaryReturned { service, .. } = change
        {
            self.move_on(service, now, |s, snapshot| s.tick(snapshot, now));
            if let Some(leader_state) = &mut self.leader_state {
                leader_state.pending_updates.stir(service);
            }
            self.renew_due |=
                matches!(change, Command::SetPrimary { .. } | Command::PrimaryReturned { .. });
        }
    }

    fn propose(&mut self, change: &Command, now: Tick) -> Option<LogIndex> {
        self.raft.propose(EntryPayload::Command(ByteBuf::from(pack(change))), now)
    }

    // -- leader state --------------------------------------------------------------------------------

    fn change_leader_state(&mut self, now: Tick) {
        if self.known_leader != self.raft.leader {
            self.known_leader = self.raft.leader;
            match self.leader() {
                Some(m) => {
                    info!(target: "raft", "{} leads term {}", m.node, self.raft.state.term)
                }
                None => info!(target: "raft", "no leader in term {}", self.raft.state.term),
            }
        }
        match (self.raft.is_leader(), self.leader_state.is_some()) {
            (true, false) => {
                let heartbeats = self.state_machine.instances.iter();
                self.leader_state = Some(LeaderState {
                    leases: LeaseTable::new(now),
                    heartbeats: heartbeats.map(|(id, r)| (id.clone(), (now, r.sequence))).collect(),
                    failovers: BTreeMap::new(),
                    stirred: BTreeSet::new(),
                    swept: Tick(0),
                    pending_updates: PendingUpdates::default(),
                    sealed: BTreeSet::new(),
                    watermarks: ReplicationWatermarks::default(),
                    subset_assignments: SubsetAssignments::new(now),
                    settled: false,
                });
            }
            (false, true) => {
                self.leader_state = None;
                self.questions.clear();
                self.moved.clear();
                self.moved_since = None;
                for reply in self.proposed.give_up() {
                    // Whether it will be in force is not known here; asked again it shows.
                    drop(reply.try_send(Response::refusal(503, "no longer the leader")));
                }
                let elsewhere =
                    Frame::Controller(ToPooler::NotLeader(self.leads_at().map(|l| l.0)));
                for (conn, _) in std::mem::take(&mut self.poolers) {
                    self.send_conn(conn, &elsewhere);
                }
            }
            _ => {}
        }
    }

    /// Where peers and callers find the leader.
    fn leads_at(&self) -> Option<(SocketAddr, SocketAddr)> {
        let admin = self.settings.listeners.admin;
        let pointed = || Some((self.pointed?, SocketAddr::new(self.pointed?.ip(), admin?.port())));
        self.leader().map(|m| (m.peer, m.admin)).or_else(pointed)
    }
    fn leader(&self) -> Option<&Member> {
        let id = self.raft.leader?;
        self.raft.members().iter().find(|m| m.id == id)
    }

    /// Compares what is wanted with what is, and acts on the difference.
    fn reconcile(&mut self, now: Tick) {
        self.answer_reads(now);
        self.ask_to_join(now);
        if !self.early.is_empty()
            && (self.leader_state.is_none() || self.raft.holds_leader_lease(now))
        {
            for (conn, message) in std::mem::take(&mut self.early) {
                self.handle_pooler_message(conn, message, now);
            }
        }
        if !self.raft.holds_leader_lease(now) {
            return;
        }
        self.joining.retain(|_, (_, asked)| now.since(*asked) < JOIN_KEPT_MS);
        let (tolerated, silent) = (self.settings.tolerated(), self.settings.given_up_ms());
        let joining = self.joining.values().map(|(member, _)| member);
        if let Some(members) = self.raft.next_membership_change(joining, tolerated, silent, now) {
            self.raft.propose(EntryPayload::Membership(members), now);
        }
        let Some(leader_state) = &mut self.leader_state else {
            return;
        };
        let sweep = now.since(leader_state.swept) >= SWEEP_MS;
        if !sweep {
            let stirred: Vec<ServiceName> = leader_state.stirred.iter().cloned().collect();
            for service in stirred {
                self.move_on(&service, now, |s, snapshot| s.tick(snapshot, now));
            }
            return;
        }
        leader_state.swept = now;
        leader_state
            .subset_assignments
            .divide(|node| leader_state.leases.seats.contains_key(node), now);
        let settled = now.since(leader_state.leases.elected) >= SHARE_HELD_MS;
        if leader_state.leases.forget_old(now) || settled != leader_state.settled {
            leader_state.settled = settled;
            leader_state.pending_updates.stir_all();
        }
        let known = self.state_machine.by_service.keys().chain(self.state_machine.leads.keys());
        let services: BTreeSet<ServiceName> = known.cloned().collect();
        for service in services {
            self.move_on(&service, now, |s, snapshot| s.tick(snapshot, now));
        }
        let forgotten: Vec<InstanceId> = match &self.leader_state {
            Some(leader_state) => leader_state
                .heartbeats
                .iter()
                .filter(|(id, (at, _))| {
                    now.since(*at) > FORGOTTEN_MS
                        && self.state_machine.instances.contains_key(*id)
                        && !self.state_machine.leads.values().any(|l| l.primary == **id)
                })
                .map(|(id, _)| id.clone())
                .collect(),
            None => Vec::new(),
        };
        for id in forgotten {
            if let Some(leader_state) = &mut self.leader_state {
                leader_state.heartbeats.remove(&id);
            }
            self.propose(&Command::RemoveInstance { id, sequence: 0 }, now);
        }
    }

    /// A controller that is in no list asks to be taken in; one that hears no leader, whether it
    /// still belongs.
    fn ask_to_join(&mut self, now: Tick) {
        let me = self.raft.state.member_id;
        let was = self.raft.members().iter().any(|m| m.id == me);
        // Of a leader that is in no list here, only its messages come: it is found by asking.
        let unknown = self.raft.leader.is_some() && self.leader().is_none();
        let lost = self.raft.leader_silent_longer_than(now, LONELY_MS) || unknown;
        let idle = was && (self.raft.is_leader() || !lost);
        if idle || now < self.next_join {
            return;
        }
        self.next_join = now.plus(if was { LONELY_MS } else { JOIN_AGAIN_MS });
        let Some(admin) = self.settings.listeners.admin else {
            return;
        };
        let member = as_member(&self.settings, admin, me);
        let mut at: BTreeSet<SocketAddr> = self.settings.seed_peers().into_iter().collect();
        at.extend(self.raft.members().iter().map(|m| m.peer));
        if let Some(leader) = self.join_at.take().or(self.pointed) {
            at = BTreeSet::from([leader]);
        }
        at.remove(&member.peer);
        for to in at {
            self.effects.ask_standing(to, member.clone(), was);
        }
    }

    fn stand(&mut self, asked: MemberId, at: SocketAddr, answer: Option<JoinResponse>, now: Tick) {
        let me = self.raft.state.member_id;
        if asked != me {
            return;
        }
        if !self.settings.can_vote() {
            match answer {
                Some(JoinResponse::Current) if self.pointed != Some(at) => {
                    info!(target: "raft", "{at} leads");
                    self.pointed = Some(at);
                }
                Some(JoinResponse::Current) => {}
                _ if self.pointed == Some(at) => self.pointed = None,
                _ => {}
            }
        }
        let Some(answer) = answer else { return };
        if matches!(answer, JoinResponse::Accepted | JoinResponse::Current | JoinResponse::Removed)
            && self.taken_in != Some(at)
        {
            self.taken_in = Some(at);
            self.effects.keep_links(self.raft.members());
        }
        let listed = self.raft.members().iter().any(|m| m.id == me);
        match answer {
            JoinResponse::NotLeader(Some(leader)) if self.join_at.is_none() => {
                self.join_at = Some(leader);
                self.next_join = now;
            }
            // An id stands for a disk with its vote and its log, so it may come back as a learner.
            JoinResponse::Removed if listed && !self.raft.is_leader() => {
                info!(target: "raft", "member {me} was removed, is to be taken in again");
            }
            JoinResponse::FoundCluster
                if !listed && self.settings.bootstrap && self.settings.can_vote() =>
            {
                let Some(admin) = self.settings.listeners.admin else {
                    return;
                };
                info!(target: "raft", "founds the cluster");
                let founder = Member { voter: true, ..as_member(&self.settings, admin, me) };
                self.start_over(vec![founder], now);
            }
            _ => {}
        }
    }

    /// With an empty log and a fresh id; the old one is never used again.
    fn start_over(&mut self, mut members: Vec<Member>, now: Tick) {
        let me = fresh_id(self.random);
        members.iter_mut().for_each(|m| m.id = me);
        let snapshot = Snapshot { members, ..Snapshot::default() };
        let kept = PersistentState {
            member_id: me,
            term: self.raft.state.term,
            snapshot,
            ..PersistentState::default()
        };
        self.raft = RaftNode::new(kept, false, now, self.random);
        self.raft.message_validator = readable;
        self.raft.unsaved = UnsavedChanges::all();
        self.persister.forget();
        self.state_machine = StateMachine::default();
        self.applied = LogIndex(0);
        self.configure(None);
        self.versions.clear();
        self.listing = None;
        self.effects.keep_links(&[]);
        self.joining.clear();
    }

    /// Whether this is the controller that the first seed, having no disk, tells to found the Raft group:
    /// the first by address of those that asked in the first moments.
    fn names(&mut self, member: &Member, now: Tick) -> bool {
        let first = self.settings.listeners.admin;
        if self.settings.can_vote()
            || self.settings.founder() != first
            || !self.raft.members().is_empty()
            || !member.can_vote
        {
            return false;
        }
        self.joining.entry(member.id).or_insert_with(|| (member.clone(), now));
        let oldest = self.joining.values().map(|(_, asked)| *asked).min();
        if self.nominated.is_none() && oldest.is_some_and(|t| now.since(t) > NOMINATE_MS) {
            let chosen = self.joining.values().map(|(m, _)| m).min_by_key(|m| m.admin);
            self.nominated = chosen.map(|m| m.id);
        }
        self.nominated == Some(member.id)
    }

    fn snapshot(&self, service: &ServiceName, now: Tick) -> ServiceSnapshot {
        let primary_record = self.state_machine.leads.get(service).cloned();
        let patience = MISSED_BEATS * self.settings.heartbeat_ms;
        let mut snapshot = ServiceSnapshot {
            service: service.clone(),
            raft_term: self.raft.state.term,
            databases: self
                .state_machine
                .of_service(service)
                .map(|(id, i)| (id.clone(), i.clone()))
                .collect(),
            departed: BTreeMap::new(),
            alive: BTreeSet::new(),
            sync_replicas: self.services.get(service).map_or(0, |s| s.sync_replicas),
            leases_expired: false,
            released_up_to: None,
            primary_record,
        };
        // Without synchronous replicas no copy is counted on.
        if snapshot.sync_replicas > 0 {
            snapshot.departed = self.state_machine.departed(service);
        }
        if let Some(leader_state) = &self.leader_state {
            let heartbeats = |id: &&InstanceId| {
                leader_state.heartbeats.get(*id).is_some_and(|(at, _)| now.since(*at) < patience)
            };
            snapshot.alive =
                snapshot.databases.iter().map(|(id, _)| id).filter(heartbeats).cloned().collect();
            let steady = |s: &Failover| s.state == FailoverState::Steady;
            if let Some(lead) = &snapshot.primary_record
                && !leader_state.failovers.get(service).is_some_and(steady)
            {
                snapshot.leases_expired = leader_state.leases.gone(service, lead.term, now);
                let (seen, trusting) =
                    (leader_state.watermarks.newest(service), snapshot.sync_replicas == 0);
                snapshot.released_up_to =
                    leader_state.leases.given_back(service, lead.term, seen, trusting, now);
            }
        }
        snapshot
    }

    /// Takes one step of a service's failover and carries out what it asks for.
    fn move_on(
        &mut self,
        service: &ServiceName,
        now: Tick,
        step: impl FnOnce(&mut Failover, &ServiceSnapshot) -> Vec<FailoverAction>,
    ) {
        // The databases of a gateway are alike: none of them leads.
        if !self.raft.holds_leader_lease(now) || self.settings.rollout == Rollout::Api {
            return;
        }
        let snapshot = self.snapshot(service, now);
        let behind = self.applied < self.raft.commit_index;
        let Some(leader_state) = &mut self.leader_state else {
            return;
        };
        // What an earlier leader decided may stand in the next entry.
        if behind && !leader_state.failovers.contains_key(service) {
            return;
        }
        let mut actions = Vec::new();
        let known = leader_state.failovers.get(service).map(Failover::lease_status);
        let failover = leader_state.failovers.entry(service.clone()).or_insert_with(|| {
            let (begun, first) = Failover::begin(&snapshot, now);
            actions = first;
            begun
        });
        let before = std::mem::discriminant(&failover.state);
        actions.extend(step(failover, &snapshot));
        let lease_status = failover.lease_status();
        if known != Some(lease_status) {
            leader_state.pending_updates.stir(service);
            // A sealed position is true for the moment it is told in, so it is told each time.
            match lease_status {
                LeaseStatus { revoking: true, sealed: Some(_) } => {
                    leader_state.sealed.insert(service.clone())
                }
                _ => leader_state.sealed.remove(service),
            };
        }
        let stirs = failover.state != FailoverState::Steady || !actions.is_empty();
        match stirs {
            true => leader_state.stirred.insert(service.clone()),
            false => leader_state.stirred.remove(service),
        };
        if before != std::mem::discriminant(&failover.state) {
            info!(target: "failover", "{service}: now {}", failover.state.status_text());
        }
        let attempt = failover.attempt;
        for action in actions {
            self.carry_out(service, action, attempt, now);
        }
    }

    fn carry_out(
        &mut self,
        service: &ServiceName,
        action: FailoverAction,
        attempt: Attempt,
        now: Tick,
    ) {
        match action {
            FailoverAction::Propose(
                Command::ForgetDeparted { .. } | Command::PrimaryReturned { .. },
            ) if !self.raft.all_peers_read_layout(LAYOUT) => {
                debug!(target: "failover", "{service}: waits until all controllers are exchanged");
            }
            FailoverAction::Propose(change) => {
                self.propose(&change, now);
            }
            FailoverAction::RevokeLeases(term) => {
                // Ahead of whatever waits.
                let frame =
                    encode(&Frame::Controller(ToPooler::Revoke { service: service.clone(), term }));
                for conn in self.poolers.keys() {
                    self.effects.send_first(*conn, frame.clone());
                }
                self.pump(now);
            }
            FailoverAction::SendRequest(id, ask) => {
                // The same question twice is one; beyond the bound whoever needs it asks again.
                let question = (service.clone(), id, ask, attempt);
                if self.questions.len() < QUESTIONS_WAITING && !self.questions.contains(&question) {
                    self.questions.push_back(question);
                }
                self.ask_on();
            }
            FailoverAction::Promote(target) => {
                let Some(provider) = &self.settings.provider else {
                    warn!(target: "failover", "no provider is set, {service} can't be moved");
                    return;
                };
                let (at, holder) = (provider.address, &self.settings.node_name);
                self.effects.post_failover(at, holder, service, &target, attempt);
            }
        }
    }

    /// Asks databases what waits to be asked, so many at a time: dark ones take long to answer.
    fn ask_on(&mut self) {
        while self.asking < MAX_ASKS
            && let Some((service, id, ask, attempt)) = self.questions.pop_front()
        {
            let Some(record) = self.state_machine.instances.get(&id) else {
                continue;
            };
            let address = record.instance.address;
            let started = self.effects.ask_database(&service, &id, address, ask, attempt);
            // Without a thread it is not asked; whoever needs the answer asks again.
            self.asking += usize::from(started);
        }
    }

    // -- poolers --------------------------------------------------------------------------------

    fn send_conn(&mut self, conn: u64, frame: &Frame) {
        self.send_bytes(conn, encode(frame));
    }
    fn send_bytes(&mut self, conn: u64, frame: Arc<[u8]>) {
        self.effects.send(conn, frame);
    }
    /// Tells all nodes which controllers there are now: one that lost this leader looks for another there.
    fn introduce(&mut self) {
        let controllers = self.raft.members().iter().map(|m| m.peer).collect();
        let frame = encode(&Frame::Controller(ToPooler::Welcome { controllers }));
        let conns: Vec<u64> = self.poolers.keys().copied().collect();
        conns.into_iter().for_each(|conn| self.send_bytes(conn, frame.clone()));
    }
    /// Tells all poolers of a change of the directory; one that is far behind gets the whole later.
    fn send_to_all_poolers(&mut self, message: ToPooler) {
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
    fn moved(&mut self, id: &InstanceId, now: Tick) {
        self.listing = None;
        if self.leader_state.is_some() {
            self.moved.insert(id.clone());
            self.moved_since.get_or_insert(now);
        }
    }
    fn tell_moved(&mut self, now: Tick) {
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
        self.send_to_all_poolers(ToPooler::DirectoryDelta { listed, gone });
    }

    /// Sends a pooler what it is owed, as soon as nothing older waits for it.
    fn catch_up(&mut self, conn: u64, now: Tick) {
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

    fn handle_pooler_message(&mut self, conn: u64, message: ToController, now: Tick) {
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
            ToController::RenewLeases { seq, heard, shares, wants, saw, asks, busy } => {
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
            ToController::Suspect { service, instance, why } => {
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
    fn hear_saw(&mut self, conn: u64, heard: u64, saw: &[ObservedPosition], now: Tick) {
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
    fn grant(&mut self, conn: u64, seq: u64, asks: &[ServiceName], now: Tick) {
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
            let grant = LeaseGrant { service: service.name.clone(), standing, share };
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
        let granted =
            ToPooler::LeaseGrants { seq, lease_ms: LEASE_MS, whole, grants, fresh, subset_ranges };
        self.send_conn(conn, &Frame::Controller(granted));
    }

    // -- HTTP ----------------------------------------------------------------------------------

    fn answer_http(&mut self, request: Request, reply: SyncSender<Response>, now: Tick) {
        // A caller that no longer waits is none of our business.
        let say = |response: Response| drop(reply.try_send(response));
        let path = request.path.split('?').next().unwrap_or_default().to_owned();
        let method = request.method.as_str();
        let instance = path.strip_prefix("/instances/").filter(|id| {
            !id.is_empty()
                && id.len() <= 200
                && id.bytes().all(|b| b.is_ascii_graphic() && b != b'/')
        });
        let known = match (path.as_str(), instance) {
            ("/configuration", _) => ["GET", "PUT"].contains(&method),
            ("/status", _) => method == "GET",
            (_, Some(_)) => ["PUT", "DELETE"].contains(&method),
            _ => return say(Response::refusal(404, "no such path")),
        };
        if !known {
            return say(Response::refusal(405, "not with this method"));
        }
        if path == "/status" {
            return say(Response::json(200, self.status(now).to_string().into_bytes()));
        }
        // What can't be read is refused by any controller.
        let parsed = match (method, instance) {
            ("PUT", None) => match read_configuration(&request) {
                Ok(change) => Some(change),
                Err(response) => return say(response),
            },
            ("PUT", Some(id)) => match serde_json::from_slice::<Heartbeat>(&request.body) {
                Ok(heartbeat) if is_word(&heartbeat.instance.target_service.0) => {
                    Some(Command::Heartbeat {
                        id: InstanceId(id.to_owned()),
                        instance: heartbeat.instance,
                        sequence: heartbeat.sequence,
                    })
                }
                Ok(_) => return say(Response::refusal(400, "target_service is no word")),
                Err(e) => return say(Response::refusal(400, &format!("cannot be read: {e}"))),
            },
            // One that says goodbye has ended: whatever is still under way of it is late.
            ("DELETE", Some(id)) => {
                Some(Command::RemoveInstance { id: InstanceId(id.to_owned()), sequence: u64::MAX })
            }
            _ => None,
        };
        if !self.raft.is_leader() {
            return say(match self.leads_at() {
                Some((_, admin)) => Response::elsewhere(format!("http://{admin}{path}")),
                None => Response::refusal(503, "no leader"),
            });
        }
        // Without a quorum nothing can be confirmed, and a new leader may not have applied yet what
        // the one before acknowledged.
        if !self.raft.holds_leader_lease(now) {
            return say(Response::refusal(503, "no quorum"));
        }
        self.apply(now);
        if self.unreadable.is_some() {
            return say(Response::refusal(503, "stopping"));
        }
        let tolerated = self.settings.tolerated();
        if parsed.is_some() && !self.state_machine.begun() {
            let (voters, needed) = (self.raft.voters().len(), 2 * tolerated + 1);
            if !self.raft.may_bootstrap(tolerated, now) {
                let why = format!("being founded: {voters} of {needed} controllers vote");
                return say(Response::refusal(503, &why));
            }
            if voters < needed {
                warn!(target: "raft", "begins with {voters} voters of {needed}: not as many \
                    machines may be lost as fault_tolerance says");
            }
        }
        let call = match parsed {
            Some(Command::Heartbeat { id, instance, sequence }) => {
                return self.handle_heartbeat(id, instance, sequence, reply, now);
            }
            Some(change) => AdminCall::Command(change),
            None => AdminCall::ReadConfiguration,
        };
        let ready = self.reads.ask(&mut self.raft, &self.state_machine, call, reply, now);
        self.carry_through(ready, now);
        // One that is alone has nobody to wait for.
        self.answer_reads(now);
    }

    fn answer_reads(&mut self, now: Tick) {
        let settled = self.reads.settled(&self.raft, &self.state_machine, self.applied, now);
        self.carry_through(settled, now);
    }
    fn carry_through(
        &mut self,
        verdicts: impl IntoIterator<Item = (SyncSender<Response>, CallDecision)>,
        now: Tick,
    ) {
        for (reply, verdict) in verdicts {
            match verdict {
                // A caller that no longer waits is none of our business.
                CallDecision::Answer(response) => drop(reply.try_send(response)),
                CallDecision::Propose(change) => self.await_change(&change, reply, now),
            }
        }
    }

    /// The answer to a heartbeat: later ones are to come here at once, without another controller between.
    fn beaten(&self) -> Response {
        match self.settings.listeners.admin {
            Some(admin) => {
                let body = serde_json::json!({ "heartbeat_url": admin }).to_string();
                Response::json(200, body.into_bytes())
            }
            None => Response::ok(),
        }
    }

    fn handle_heartbeat(
        &mut self,
        id: InstanceId,
        instance: Instance,
        sequence: u64,
        reply: SyncSender<Response>,
        now: Tick,
    ) {
        let (service, role) = (instance.target_service.clone(), instance.database_role);
        // That it was heard is known at once; what it said counts only once it is committed.
        let mut newest = false;
        if let Some(leader_state) = &mut self.leader_state {
            let heard = leader_state.heartbeats.entry(id.clone()).or_insert((now, 0));
            newest = sequence > heard.1;
            if newest {
                *heard = (now, sequence);
            }
        }
        if self.state_machine.news(&id, &instance, sequence) {
            self.await_change(&Command::Heartbeat { id, instance, sequence }, reply, now);
        } else {
            drop(reply.try_send(self.beaten()));
            // A replica, or the primary that is known, says nothing new by this.
            let known = self.state_machine.leads.get(&service).is_some_and(|l| l.primary == id);
            if newest && role == Role::Primary && !known {
                self.move_on(&service, now, |s, snapshot| {
                    s.handle_heartbeat(snapshot, &id, role, now)
                });
            }
        }
    }

    /// Proposes what a caller asked for; it is answered when that is committed and applied.
    fn await_change(&mut self, change: &Command, reply: SyncSender<Response>, now: Tick) {
        match self.propose(change, now) {
            Some(index) => self.proposed.add(self.raft.state.term, index, reply),
            // A caller that no longer waits is none of our business.
            None => drop(reply.try_send(Response::refusal(503, "no leader"))),
        }
    }

    fn status(&self, now: Tick) -> serde_json::Value {
        let members: Vec<_> = self
            .raft
            .members()
            .iter()
            .map(|m| serde_json::json!({ "id": m.id.0, "node": m.node, "peer": m.peer, "admin": m.admin, "voter": m.voter }))
            .collect();
        let databases: Vec<_> = self
            .state_machine
            .instances
            .iter()
            .map(|(id, r)| serde_json::json!({ "id": id, "database": r.instance, "sequence": r.sequence }))
            .collect();
        let poolers: Vec<_> = self.leader_state.iter().flat_map(|o| &o.leases.seats).map(|(node, seat)| {
            serde_json::json!({
                "node": node,
                "connected": seat.conn.is_some(),
                "heard_ms_ago": now.since(seat.heard),
                "lease_left_ms": (seat.granted.0 + LEASE_MS).saturating_sub(now.0),
                "services": seat.told.values().map(|g| serde_json::json!({
                    "service": g.service, "connections_allowed": g.share,
                    "term": match &g.standing { PrimaryStatus::Active { term, .. } => Some(term), _ => None },
                })).collect::<Vec<_>>(),
            })
        }).collect();
        let services: Vec<_> = self
            .state_machine
            .leads
            .iter()
            .map(|(service, lead)| {
                let stage = self.leader_state.as_ref().and_then(|o| o.failovers.get(service));
                serde_json::json!({
                    "service": service, "term": lead.term, "primary": lead.primary,
                    "intent": lead.intent, "stage": stage.map(|s| s.state.status_text()),
                })
            })
            .collect();
        serde_json::json!({
            "node": self.settings.node_name,
            "role": "controller",
            "member": self.raft.state.member_id.0,
            "leader": self.leader().map(|m| m.node.0.clone()),
            "leader_admin": self.leads_at().map(|l| l.1),
            "leads": self.raft.holds_leader_lease(now),
            "epoch": self.raft.state.term,
            "entry": self.raft.last_position().index,
            "committed": self.raft.commit_index,
            "members": members,
            "revision": self.state_machine.revision,
            "databases": databases,
            "services": services,
            "stiles": poolers,
            "peers": self.effects.peers(),
            "questions_waiting": self.questions.len(),
        })
    }
}
