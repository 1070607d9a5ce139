//! One controller: inputs and a passed-in time in, effects out.
use crate::base::errors::Fatal;
use crate::base::ids::{InstanceId, LogIndex, MemberId, Revision, ServiceName};
use crate::base::time::Tick;
use crate::config::configuration::{Configuration, Service};
use crate::config::route_table::RouteTable;
use crate::config::settings::Settings;
use crate::controller::admin_api::judged;
use crate::controller::effects::{Effects, Input};
use crate::controller::leader_state::LeaderState;
use crate::controller::linearizable_reads::{LinearizableReads, PendingProposals};
use crate::controller::pooler_subscriptions::{GATHER_MS, Subscriber};
use crate::failover::{Attempt, DatabaseRequest, DatabaseResponse};
use crate::net::http::Response;
use crate::net::rpc::pooler_messages::ToController;
use crate::net::rpc::raft_messages::{EntryPayload, JoinResponse, Member, RaftMessage};
use crate::net::rpc::{Frame, pack};
use crate::raft::node::RaftNode;
use crate::raft::persister::{LogPersister, WriteOutcome};
use crate::raft::state::PersistentState;
use crate::state_machine::{
    Command, CommandOutcome, StateMachine, read_change, read_kept, read_state, readable,
};
use log::{error, info, warn};
use serde_bytes::ByteBuf;
use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::mpsc::SyncSender;

/// One controller, moved on by inputs and a passed-in time; `E` carries out what it decides.
pub struct Controller<E> {
    pub(super) settings: Settings,
    pub(super) raft: RaftNode,
    pub(super) persister: LogPersister,
    pub(super) state_machine: StateMachine,
    pub(super) applied: LogIndex,
    pub(super) config: Option<Configuration>,
    pub(super) poolers: BTreeMap<u64, Subscriber>,
    /// Stiles that came before this leader had applied all that was committed.
    pub(super) early: Vec<(u64, ToController)>,
    /// The newest versions, the last one in force; what changed since an older one is enough.
    pub(super) versions: VecDeque<RouteTable>,
    /// The frame that brings a pooler from a version to the one in force.
    pub(super) encoded: HashMap<Revision, Arc<[u8]>>,
    /// The frame that brings a pooler the whole directory, until that changes.
    pub(super) listing: Option<Arc<[u8]>>,
    /// Databases that poolers have to be told of, and since when.
    pub(super) moved: BTreeSet<InstanceId>,
    pub(super) moved_since: Option<Tick>,
    /// Stiles have to ask anew, as a primary leads; and when they were last told to.
    pub(super) renew_due: bool,
    pub(super) renew_told: Tick,
    /// The services of the configuration in force, by name.
    pub(super) services: BTreeMap<ServiceName, Service>,
    /// Who asked to join, and when last.
    pub(super) joining: BTreeMap<MemberId, (Member, Tick)>,
    pub(super) next_join: Tick,
    /// The controller that is said to lead, for asking it to be taken in.
    pub(super) join_at: Option<SocketAddr>,
    /// The leader that says that it takes this one in, or has: answers go there while it is in no
    /// list here.
    pub(super) taken_in: Option<SocketAddr>,
    /// The one that this process told to found the Raft group, as no seed has a disk.
    pub(super) nominated: Option<MemberId>,
    /// Without a disk this controller is in no list and only points at the one that leads.
    pub(super) pointed: Option<SocketAddr>,
    pub(super) leader_state: Option<LeaderState>,
    pub(super) proposed: PendingProposals<SyncSender<Response>>,
    pub(super) reads: LinearizableReads<SyncSender<Response>>,
    /// Where ids and the spread of elections are drawn from.
    pub(super) random: fn() -> u64,
    pub effects: E,
    pub(super) known_leader: Option<MemberId>,
    /// Questions to databases: how many are under way, and those that wait.
    pub(super) asking: usize,
    pub(super) questions: VecDeque<(ServiceName, InstanceId, DatabaseRequest, Attempt)>,
    /// Something that is committed can't be read here: nothing is said or done on this state any more.
    pub(super) unreadable: Option<String>,
}

/// Versions of the configuration kept for telling what changed.
const VERSIONS_KEPT: usize = 8;

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
    pub(super) fn still_readable(&self) -> Result<(), Fatal> {
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
    pub(super) fn flush(&mut self, now: Tick) {
        let troubled = self.persister.is_storage_failing(now);
        if troubled != self.raft.storage_failing {
            match troubled {
                true => warn!(target: "disk", "in trouble, another is to lead"),
                false => info!(target: "disk", "well again"),
            }
        }
        self.raft.set_storage_failing(troubled, now);
        loop {
            for (to, message) in self.persister.take_sendable(&mut self.raft) {
                self.send_raft(to, message, now);
            }
            if let Some(batch) = self.persister.begin_write(&mut self.raft, now)
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

    pub(super) fn saved(&mut self, saved: Result<(), String>, now: Tick) {
        // Tried again until it works; one line for the first failure is enough.
        if let Err(e) = &saved
            && !self.raft.storage_failing
        {
            error!(target: "disk", "cannot write: {e}");
        }
        let outcome = match saved {
            Ok(()) => WriteOutcome::Durable,
            Err(_) => WriteOutcome::Failed,
        };
        for (to, message) in self.persister.end_write(&mut self.raft, outcome, now) {
            self.send_raft(to, message, now);
        }
    }

    pub(super) fn send_raft(&mut self, to: MemberId, message: RaftMessage, now: Tick) {
        let member = self.raft.members().iter().find(|m| m.id == to);
        // One that begins has no list yet, and that of one that was away may lack the leader.
        let leads = self.taken_in.filter(|_| self.raft.leader == Some(to));
        if let Some(address) = member.map(|m| m.peer).or(leads) {
            self.effects.send_raft(to, address, message, now);
        }
    }

    /// Goes on with the peers that did not take everything at once.
    pub(super) fn pump(&mut self, now: Tick) {
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

    pub(super) fn apply(&mut self, now: Tick) {
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

    pub(super) fn configure(&mut self, config: Option<Configuration>) {
        let services = config.iter().flat_map(|c| &c.services);
        self.services = services.map(|s| (s.name.clone(), s.clone())).collect();
        self.config = config;
        self.encoded.clear();
        if let Some(leader_state) = &mut self.leader_state {
            leader_state.pending_updates.stir_all();
        }
    }

    pub(super) fn apply_change(
        &mut self,
        change: &Command,
        waiter: Option<SyncSender<Response>>,
        now: Tick,
    ) {
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

    pub(super) fn propose(&mut self, change: &Command, now: Tick) -> Option<LogIndex> {
        self.raft.propose(EntryPayload::Command(ByteBuf::from(pack(change))), now)
    }
}
