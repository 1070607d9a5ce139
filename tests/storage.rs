//! The controllers' stored and replicated state: reading files and frames of other layouts,
//! rejecting what this program can't read, and replicating large entries and snapshots over slow
//! links. Most tests run in simulated time; some start controller processes.
mod support;

use serde_bytes::ByteBuf;
use silvertack::base::errors::Fatal;
use silvertack::base::ids::{
    DbTerm, InstanceId, LogIndex, MemberId, NodeName, Revision, ServiceName, Term,
};
use silvertack::base::time::Tick;
use silvertack::config::directory::{Instance, Lifecycle, Role};
use silvertack::controller::peer_connections::exceeds_backlog;
use silvertack::net::rpc::raft_messages::{
    EntryPayload, LogEntry, LogPosition, Member, RaftMessage, RaftMessageKind, Snapshot,
};
use silvertack::net::rpc::{
    FIRST_LAYOUT, Frame, LAYOUT, ReceivedFrame, encode, pack, receive, receive_with_layout, send,
    unpack,
};
use silvertack::raft::node::RaftNode;
use silvertack::raft::state::{PersistentState, UnsavedChanges};
use silvertack::raft::storage::{InitializedStorage, OpenedStorage, RaftStorage, WriteBatch};
use silvertack::raft::validation::UnreadableMessage;
use silvertack::state_machine::{
    Command, CommandOutcome, StateMachine, decode_persistent_state, validate_message,
};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{self, Child};
use std::time::{Duration, Instant};
use support::{free_port, http};

fn member(id: u64, voter: bool) -> Member {
    Member {
        id: MemberId(id),
        node: NodeName(format!("n{id}")),
        peer: format!("10.0.0.{id}:1").parse().expect("address"),
        admin: format!("10.0.0.{id}:2").parse().expect("address"),
        voter,
        can_vote: true,
    }
}
/// Creates an empty temporary folder.
fn folder(name: &str) -> PathBuf {
    let path = std::env::temp_dir().join(format!("silvertack-{name}-{}", std::process::id()));
    let _ = std::fs::remove_dir_all(&path);
    std::fs::create_dir_all(&path).expect("folder");
    path
}
/// A member's data folder as written by a program of the first layout.
fn layout_1_folder(name: &str) -> PathBuf {
    let path = folder(name);
    let db = rusqlite::Connection::open(path.join("hedge.sqlite")).expect("file");
    db.execute_batch(include_str!("data/hedge-layout-1.sql")).expect("loaded");
    db.execute_batch("PRAGMA journal_mode = WAL").expect("WAL mode");
    std::fs::write(path.join("member"), "1").expect("identity file");
    path
}
/// The state machine that is stored in that folder and in the frames of the first layout.
fn layout_1_state() -> StateMachine {
    let body = br#"{"revision":12,"route_rules":[{"name":"strict","hostname":"strict","path_prefix":"/","route_type":"primary","timeout_ms":2000,"target_latency_ms":250,"priority":1,"target_service":"s","max_attempts":2,"stale_ms":1500}],"services":[{"name":"s","health_check_path":"/health","max_connections":16,"sync_replicas":1}],"limits":{"txn_idle_ms":3000}}"#;
    layout_1_state_with([&body[..], b"\n"].concat())
}

/// The same state machine with another configuration body for its revision.
fn layout_1_state_with(body: Vec<u8>) -> StateMachine {
    let heartbeat = |id: &str, database_role, sequence| Command::Heartbeat {
        id: id.into(),
        instance: Instance {
            target_service: "s".into(),
            address: "10.0.0.9:80".parse().expect("address"),
            zone: "z".into(),
            revision: "v1".into(),
            capacity: 7,
            lifecycle_state: Lifecycle::Available,
            database_role,
        },
        sequence,
    };
    let (service, term) = (ServiceName::from("s"), DbTerm(3));
    let mut state_machine = StateMachine::default();
    for command in [
        Command::PutConfiguration {
            base: Revision(0),
            revision: Revision(12),
            body: ByteBuf::from(body),
        },
        heartbeat("a", Role::Primary, 4),
        heartbeat("b", Role::Replica, 5),
        heartbeat("c", Role::Replica, 6),
        Command::SetPrimary { service: service.clone(), term, primary: "a".into() },
        Command::BeginFailover { service, term, target: "b".into() },
        Command::RemoveInstance { id: "c".into(), sequence: 9 },
    ] {
        state_machine.apply(&command);
    }
    state_machine
}

#[test]
fn storage_of_the_first_layout_is_read() {
    let folder = layout_1_folder("old");
    let OpenedStorage { state, .. } = RaftStorage::open(&folder).expect("open");
    let state = state.expect("a state");
    let vote = Some(MemberId(1));
    assert_eq!((state.member_id, state.term, state.voted_for), (MemberId(1), Term(3), vote));
    assert_eq!(
        (state.last_led_term, state.snapshot.last_included),
        (Some(Term(3)), LogPosition::new(Term(2), LogIndex(8)))
    );
    let members = [member(1, true), member(2, true), member(3, false)];
    assert_eq!(state.snapshot.members, members);
    // The state is the same but for what the first layout lacks: it has another digest of the
    // configuration command and no departed replicas.
    let (found, built) =
        (StateMachine::from_snapshot(&state.snapshot.state).expect("a state"), layout_1_state());
    assert_eq!(
        (found.configuration_body(), found.revision()),
        (built.configuration_body(), built.revision())
    );
    assert_eq!((&found.instances(), &found.primaries()), (&built.instances(), &built.primaries()));
    assert!(
        found.departed_replicas(&"s".into()).is_empty()
            && !built.departed_replicas(&"s".into()).is_empty()
    );
    for (body, outcome) in [
        (&built.configuration_body()[..], CommandOutcome::NoChange),
        (b"{}", CommandOutcome::StaleBase),
    ] {
        assert_eq!(
            found.evaluate_configuration(Revision(3), Revision(12), body),
            outcome,
            "a configuration that is sent again"
        );
    }
    let late = &built.instances()[&"b".into()].instance;
    for (sequence, accepted) in [(9, false), (10, true)] {
        assert_eq!(
            found.accepts_heartbeat(&"c".into(), late, sequence),
            accepted,
            "a late heartbeat of a removed instance"
        );
    }
    // A rollback is possible while the state has nothing of the new layout. A state of the new
    // layout can be read again.
    assert_eq!(found.to_snapshot(), *state.snapshot.state);
    assert_eq!(built.to_snapshot()[0], 2);
    assert_eq!(
        StateMachine::from_snapshot(&built.to_snapshot()).expect("a state").to_snapshot(),
        built.to_snapshot()
    );
    assert_eq!(state.log.iter().map(|e| e.index.0).collect::<Vec<_>>(), [9, 10, 11, 12]);
    let EntryPayload::Command(bytes) = &state.log[3].payload else { panic!("not a command") };
    let command = Command::SetPrimary { service: "s".into(), term: DbTerm(4), primary: "b".into() };
    assert_eq!(unpack::<Command>(bytes).expect("a command"), command);
    let _ = std::fs::remove_dir_all(&folder);
}

#[test]
fn frames_of_the_first_layout_are_read() {
    let mut bytes = &include_bytes!("data/frames-layout-1.bin")[..];
    let mut found = Vec::new();
    while !bytes.is_empty() {
        let frame = format!("{:?}", receive(&mut bytes).expect("a frame"));
        let raft_kinds =
            ["RequestVote", "VoteResponse", "AppendEntries", "AppendResponse", "InstallSnapshot"];
        let other_kinds =
            ["TimeoutNow", "Join ", "Joined", "Hello", "RenewLeases", "Welcome", "LeaseGrants"];
        found.extend(
            raft_kinds.iter().chain(&other_kinds).find(|kind| frame.contains(*kind)).copied(),
        );
    }
    assert_eq!(found.len(), 12, "{found:?}");
}

/// How the simulated links carry bytes.
#[derive(Clone, Copy)]
struct LinkModel {
    /// The bandwidth of a slow link in bytes per millisecond.
    bytes_per_ms: usize,
    /// The member whose links are slow; 0 if all links are.
    limited_member: u64,
    /// All links of a machine share its bandwidth.
    shared: bool,
    /// How many bytes the kernel of the sender accepts before they leave.
    kernel_buffer_bytes: usize,
}
const FAST_LINK_BYTES_PER_MS: usize = 100_000;
/// A link of 2 Mbit/s.
const SLOW_LINK: LinkModel =
    LinkModel { bytes_per_ms: 250, limited_member: 0, shared: false, kernel_buffer_bytes: 0 };
const STEP_MS: u64 = 5;
const LATENCY_MS: u64 = 5;

/// The state machine of the simulated controllers: how many commands were applied, a digest of
/// them, and the last large command.
#[derive(Clone, Default, PartialEq)]
struct AppliedState {
    count: u64,
    digest: u64,
    large_command: Vec<u8>,
}
impl AppliedState {
    fn apply(&mut self, command: &[u8]) {
        self.count += 1;
        for b in command.iter().take(16) {
            self.digest = self.digest.wrapping_mul(31).wrapping_add(u64::from(*b));
        }
        if command.len() > 1_000 {
            self.large_command = command.to_vec();
        }
    }
    fn encode(&self) -> Vec<u8> {
        [&self.count.to_be_bytes()[..], &self.digest.to_be_bytes(), &self.large_command].concat()
    }
    fn decode(bytes: &[u8]) -> Self {
        let number = |at: usize| u64::from_be_bytes(bytes[at..at + 8].try_into().expect("8 bytes"));
        match bytes {
            [] => Self::default(),
            _ => Self { count: number(0), digest: number(8), large_command: bytes[16..].to_vec() },
        }
    }
}
/// One direction of a link between two members.
#[derive(Default)]
struct Link {
    /// The frames that are waiting to be sent.
    queue: VecDeque<std::sync::Arc<[u8]>>,
    /// How many bytes of the first queued frame have been sent.
    sent_of_first: usize,
    /// How many bytes are waiting to be sent.
    queued_bytes: usize,
    /// The frames on their way, with their times of arrival.
    in_flight: VecDeque<(Tick, std::sync::Arc<[u8]>)>,
}

/// Controllers on links with limited bandwidth. Writes to disk are durable at once.
struct SimulatedCluster {
    now: Tick,
    link_model: LinkModel,
    nodes: BTreeMap<u64, RaftNode>,
    links: BTreeMap<(u64, u64), Link>,
    down: BTreeSet<u64>,
    /// The last applied index and the state machine of each member.
    applied: BTreeMap<u64, (LogIndex, AppliedState)>,
    /// Count and digest of the state machine after each committed entry, the same on all members.
    committed: BTreeMap<LogIndex, (u64, u64)>,
    /// Members that read only the first frame layout.
    old_layout_members: BTreeSet<u64>,
    leaders: BTreeSet<(u64, Term)>,
    /// For how many milliseconds no member held the leader lease.
    leaderless_ms: u64,
    /// The number of entries of the longest log and the number of bytes of the largest one.
    largest_log: (usize, usize),
    log_lengths: BTreeMap<u64, usize>,
    largest_frame: usize,
    /// How many bytes were queued for each member.
    sent_bytes: BTreeMap<u64, usize>,
}
impl SimulatedCluster {
    fn new(link_model: LinkModel) -> Self {
        let random_numbers: [fn() -> u64; 3] = [|| 10, || 130, || 250];
        let members: Vec<Member> = (1..=3).map(|i| member(i, true)).collect();
        let start = Tick(10_000);
        let raft = |id: u64| {
            let snapshot = Snapshot { members: members.clone(), ..Snapshot::default() };
            let state =
                PersistentState { member_id: MemberId(id), snapshot, ..PersistentState::default() };
            (id, RaftNode::new(state, false, start, random_numbers[id as usize - 1]))
        };
        let mut this = Self {
            now: start,
            link_model,
            nodes: (1..=3).map(raft).collect(),
            links: BTreeMap::new(),
            down: BTreeSet::new(),
            applied: BTreeMap::new(),
            committed: BTreeMap::new(),
            old_layout_members: BTreeSet::new(),
            leaders: BTreeSet::new(),
            leaderless_ms: 0,
            largest_log: (0, 0),
            log_lengths: BTreeMap::new(),
            sent_bytes: BTreeMap::new(),
            largest_frame: 0,
        };
        this.run(2_000);
        this.leaderless_ms = 0;
        this
    }
    fn leader(&self) -> Option<u64> {
        let mut leaders = self.nodes.iter().filter(|(_, raft)| raft.holds_leader_lease(self.now));
        let leader = leaders.next().map(|(id, _)| *id);
        assert!(leaders.next().is_none(), "two members hold the leader lease");
        leader
    }
    fn step(&mut self) {
        self.now = self.now.plus(STEP_MS);
        let now = self.now;
        let mut budgets = BTreeMap::new();
        for ((from, to), link) in &mut self.links {
            let slow = self.link_model.limited_member == 0
                || self.link_model.limited_member == *to
                || self.link_model.limited_member == *from;
            let bytes_per_ms =
                if slow { self.link_model.bytes_per_ms } else { FAST_LINK_BYTES_PER_MS };
            let key = (*from, if self.link_model.shared { 0 } else { *to });
            let shared_budget = budgets.entry(key).or_insert(bytes_per_ms * STEP_MS as usize);
            let mut budget =
                if self.link_model.shared { *shared_budget / 2 } else { *shared_budget };
            *shared_budget -= budget;
            while budget > 0 && !link.queue.is_empty() {
                let sent = budget.min(link.queue[0].len() - link.sent_of_first);
                (link.sent_of_first, link.queued_bytes, budget) =
                    (link.sent_of_first + sent, link.queued_bytes - sent, budget - sent);
                if link.sent_of_first == link.queue[0].len() {
                    link.sent_of_first = 0;
                    let frame = link.queue.pop_front().expect("a frame");
                    link.in_flight.push_back((now.plus(LATENCY_MS), frame));
                }
            }
            *shared_budget += budget;
            while link.in_flight.front().is_some_and(|(arrives_at, _)| *arrives_at <= now) {
                let (_, bytes) = link.in_flight.pop_front().expect("a frame");
                let ReceivedFrame { frame, sender_layout } =
                    receive_with_layout(&mut &bytes[..]).expect("a readable frame");
                let Frame::Raft { message, .. } = frame else { panic!("not a Raft frame") };
                if self.old_layout_members.contains(to)
                    && matches!(message.kind, RaftMessageKind::Chunk { .. })
                {
                    // A program of the first layout takes the frame for too large and closes the
                    // connection.
                    *link = Link::default();
                    break;
                }
                let Some(raft) = self.nodes.get_mut(to).filter(|_| !self.down.contains(to)) else {
                    continue;
                };
                raft.record_peer_layout(
                    MemberId(*from),
                    if self.old_layout_members.contains(from) { 1 } else { sender_layout },
                );
                raft.step(*message, now);
            }
        }
        let ids: Vec<u64> = self.nodes.keys().filter(|i| !self.down.contains(i)).copied().collect();
        for id in ids {
            self.nodes.get_mut(&id).expect("a node").tick(now);
            self.process_outputs(id);
        }
        match self.leader() {
            Some(id) => {
                let raft = &self.nodes[&id];
                self.leaders.insert((id, raft.state.term));
                let newest = self.committed.keys().next_back().copied().unwrap_or_default();
                assert!(raft.commit_index >= newest, "leader {id} lacks a committed entry");
            }
            None => self.leaderless_ms += STEP_MS,
        }
    }
    /// Persists a member's changes, applies its committed entries, compacts its log and queues its
    /// messages.
    fn process_outputs(&mut self, id: u64) {
        let raft = self.nodes.get_mut(&id).expect("a node");
        if std::mem::take(&mut raft.unsaved) != Default::default() {
            raft.log_persisted(raft.last_position());
        }
        let (applied, state) = self.applied.entry(id).or_default();
        if raft.state.snapshot.last_included.index > *applied {
            *applied = raft.state.snapshot.last_included.index;
            *state = AppliedState::decode(&raft.state.snapshot.state);
        }
        for entry in raft.committed_entries_after(*applied) {
            *applied = entry.index;
            if let EntryPayload::Command(bytes) = &entry.payload {
                state.apply(bytes);
            }
            let expected =
                *self.committed.entry(entry.index).or_insert((state.count, state.digest));
            assert_eq!(expected, (state.count, state.digest), "member {id}, entry {}", entry.index);
        }
        raft.compact_log(*applied, || state.encode());
        let command_size = |entry: &LogEntry| match &entry.payload {
            EntryPayload::Command(bytes) => bytes.len(),
            _ => 0,
        };
        let log = &raft.state.log;
        if log.len() != self.log_lengths.insert(id, log.len()).unwrap_or_default() {
            let (entries, bytes) = self.largest_log;
            self.largest_log =
                (entries.max(log.len()), bytes.max(log.iter().map(command_size).sum()));
        }
        for (to, message) in raft.outbox.drain(..) {
            let link = self.links.entry((id, to.0)).or_default();
            let receiver_down = self.down.contains(&to.0);
            if receiver_down
                || exceeds_backlog(
                    &message.kind,
                    link.queued_bytes.saturating_sub(self.link_model.kernel_buffer_bytes),
                )
            {
                continue;
            }
            let frame = encode(&Frame::Raft { to, message: Box::new(message) });
            link.queued_bytes += frame.len();
            self.largest_frame = self.largest_frame.max(frame.len());
            *self.sent_bytes.entry(to.0).or_default() += frame.len();
            link.queue.push_back(frame);
        }
    }
    fn run(&mut self, ms: u64) {
        for _ in 0..ms / STEP_MS {
            self.step();
        }
    }
    fn propose(&mut self, command: Vec<u8>) -> Option<LogIndex> {
        let (id, now) = (self.leader()?, self.now);
        let payload = EntryPayload::Command(ByteBuf::from(command));
        let index = self.nodes.get_mut(&id)?.propose(payload, now);
        self.process_outputs(id);
        index
    }
    fn restart(&mut self, id: u64, empty_disk: bool) {
        self.links.retain(|(from, to), _| *from != id && *to != id);
        let mut state = self.nodes[&id].state.clone();
        self.applied.remove(&id);
        if empty_disk {
            state = PersistentState { member_id: MemberId(id), ..PersistentState::default() };
        }
        self.nodes.insert(id, RaftNode::new(state, !empty_disk, self.now, || 200));
        self.down.remove(&id);
    }
    /// Proposes this many commands, one every 20 ms. Each `large_every`th is large, unless the
    /// large one before is not committed yet.
    fn propose_many(&mut self, commands: u64, large_every: u64, large_bytes: usize) {
        let mut last_large = None;
        for n in 0..commands {
            self.run(20);
            let committed = self.committed.keys().next_back().copied();
            let is_large =
                n % large_every == 0 && (last_large.is_none() || last_large <= committed);
            let mut command = vec![n as u8; if is_large { large_bytes } else { 150 }];
            command[..8].copy_from_slice(&n.to_be_bytes());
            let index = self.propose(command);
            last_large = if is_large { index } else { last_large };
        }
    }
    /// How many milliseconds a member takes to apply all committed entries while small commands are
    /// proposed. Panics after `within_ms`.
    fn ms_to_catch_up(&mut self, id: u64, within_ms: u64) -> u64 {
        for round in 0..within_ms / 20 {
            let newest = self.committed.keys().next_back().copied().unwrap_or_default();
            // The newest commands may still be on their way.
            if self.applied.get(&id).is_some_and(|(applied, _)| applied.0 + 8 >= newest.0) {
                return round * 20;
            }
            self.propose(vec![7; 150]);
            self.run(20);
        }
        let newest = self.committed.keys().next_back();
        panic!(
            "member {id} has applied {:?} of {newest:?} after {within_ms} ms",
            self.applied.get(&id).map(|applied| applied.0)
        );
    }
}

#[test]
fn a_leader_keeps_its_quorum_while_it_sends_large_entries_over_slow_links() {
    let shared = LinkModel { shared: true, ..SLOW_LINK };
    // (case, links, number of commands, every how many one is large, size of a large one)
    let cases = [
        ("a large configuration on slow links", SLOW_LINK, 20, 10, 250_000),
        (
            "the same with a large kernel buffer",
            LinkModel { kernel_buffer_bytes: 200_000, ..SLOW_LINK },
            20,
            10,
            250_000,
        ),
        ("all links of a machine share a slow one", shared, 20, 10, 250_000),
        (
            "one member behind a slow link",
            LinkModel { limited_member: 2, ..SLOW_LINK },
            40,
            5,
            250_000,
        ),
        ("many small commands", SLOW_LINK, 600, 1_000, 0),
    ];
    for (case, link_model, commands, large_every, large_bytes) in cases {
        let mut cluster = SimulatedCluster::new(link_model);
        cluster.propose_many(commands, large_every, large_bytes.max(150));
        cluster.run(12_000);
        assert_eq!(cluster.leaders.len(), 1, "{case}: {:?}", cluster.leaders);
        assert_eq!(cluster.leaderless_ms, 0, "{case}: ms without a leader lease");
        let counts: Vec<u64> = cluster.applied.values().map(|(_, state)| state.count).collect();
        assert_eq!(counts, [commands; 3], "{case}");
    }
    // Chunks grow while the links are fast; then the links become slow.
    let mut cluster =
        SimulatedCluster::new(LinkModel { bytes_per_ms: FAST_LINK_BYTES_PER_MS, ..SLOW_LINK });
    cluster.propose(vec![1; 2_000_000]);
    cluster.run(200);
    assert!(
        cluster.applied.values().all(|(_, state)| state.count == 0),
        "the transfer is not complete yet"
    );
    cluster.link_model.bytes_per_ms = 250;
    cluster.run(15_000);
    assert_eq!((cluster.leaders.len(), cluster.leaderless_ms), (1, 0), "links that become slow");
    assert!(cluster.applied.values().all(|(_, state)| state.count == 1));
}

#[test]
fn a_member_that_was_down_catches_up_under_load() {
    // (case, bandwidth of its link, whether its disk is empty, whether it reads only the first
    // frame layout, (number of commands, every how many one is large, size of a large one), limit
    // in ms)
    let many = (1_000, 25, 250_000);
    let few = (300, 150, 2_000_000);
    let cases = [
        ("restarted", FAST_LINK_BYTES_PER_MS, false, false, many, 1_500),
        ("with an empty disk", FAST_LINK_BYTES_PER_MS, true, false, many, 1_500),
        ("with a program of the first layout", FAST_LINK_BYTES_PER_MS, false, true, many, 1_500),
        ("behind a slow link", 250, false, false, many, 20_000),
        ("behind a slow link with an empty disk", 250, true, false, many, 20_000),
        // The transfer takes longer than the log is normally kept before it is compacted.
        ("a large state behind a slow link", 250, true, false, few, 15_000),
    ];
    for (
        case,
        bytes_per_ms,
        empty_disk,
        old_layout,
        (commands, large_every, large_bytes),
        limit_ms,
    ) in cases
    {
        let mut cluster = SimulatedCluster::new(LinkModel { bytes_per_ms, ..SLOW_LINK });
        let leader = cluster.leader().expect("a leader");
        let late = (1..=3).find(|i| *i != leader).expect("a follower");
        cluster.link_model.limited_member = late;
        cluster.down.insert(late);
        if old_layout {
            cluster.old_layout_members.insert(late);
        }
        // The other two members form a quorum and commit all commands.
        cluster.propose_many(commands, large_every, large_bytes);
        cluster.restart(late, empty_disk);
        let elapsed_ms = cluster.ms_to_catch_up(late, limit_ms);
        println!("{case}: {elapsed_ms} ms");
        assert!(
            cluster.leaders.len() == 1 && cluster.leaderless_ms == 0,
            "{case}: {:?}",
            cluster.leaders
        );
        assert!(cluster.largest_log.0 <= 8_400, "{case}: {:?}", cluster.largest_log);
    }
}

#[test]
fn a_new_member_that_has_sent_no_frame_gets_large_messages_in_chunks() {
    let mut cluster = SimulatedCluster::new(SLOW_LINK);
    cluster.propose_many(300, 50, 250_000);
    cluster.run(10_000);
    let state = PersistentState { member_id: MemberId(4), ..PersistentState::default() };
    cluster.nodes.insert(4, RaftNode::new(state, false, cluster.now, || 70));
    let members = (1..=4).map(|id| member(id, id < 4)).collect();
    let (leader, now) = (cluster.leader().expect("a leader"), cluster.now);
    let raft = cluster.nodes.get_mut(&leader).expect("the leader");
    assert!(
        raft.state.snapshot.last_included.index > LogIndex(0),
        "the new member needs a snapshot"
    );
    raft.propose(EntryPayload::Membership(members), now).expect("proposed");
    cluster.ms_to_catch_up(4, 5_000);
    assert_eq!((cluster.leaders.len(), cluster.leaderless_ms), (1, 0), "{:?}", cluster.leaders);
    assert!(cluster.largest_frame < 70_000, "a frame of {} bytes", cluster.largest_frame);
}

#[test]
fn a_member_behind_an_overloaded_link_catches_up_when_the_load_drops() {
    let mut cluster = SimulatedCluster::new(LinkModel { limited_member: 0, ..SLOW_LINK });
    let leader = cluster.leader().expect("a leader");
    cluster.link_model.limited_member = (1..=3).find(|i| *i != leader).expect("a follower");
    let late = cluster.link_model.limited_member;
    // Five times as many bytes as the link can carry.
    cluster.propose_many(1_000, 10, 250_000);
    let newest = *cluster.committed.keys().next_back().expect("entries");
    assert!(cluster.applied[&late].0.0 + 100 < newest.0, "the member is behind");
    let elapsed_ms = cluster.ms_to_catch_up(late, 25_000);
    println!("{elapsed_ms} ms, a log of {:?} entries and bytes", cluster.largest_log);
    assert!(cluster.leaders.len() == 1 && cluster.leaderless_ms == 0, "{:?}", cluster.leaders);
    assert!(cluster.largest_log.1 < 5 << 20, "the log is bounded: {:?}", cluster.largest_log);
}

#[test]
fn a_chunked_transfer_resumes_and_restarts_only_when_necessary() {
    const SIZE: usize = 2_000_000;
    // (case, interval at which connections break in ms, ms until the leader transfers its
    // leadership, ms until the member restarts, limit of bytes sent to the member, limit in ms); 0
    // for never
    let cases = [
        ("no disturbance", 0, 0, 0, SIZE + 400_000, 15_000),
        ("connections break", 900, 0, 0, SIZE + 700_000, 18_000),
        ("the leader changes half way", 0, 4_000, 0, 2 * SIZE, 25_000),
        ("the member restarts half way", 0, 0, 4_000, 2 * SIZE, 25_000),
    ];
    for (case, break_interval_ms, transfer_ms, restart_ms, max_bytes, limit_ms) in cases {
        let mut cluster = SimulatedCluster::new(SLOW_LINK);
        let leader = cluster.leader().expect("a leader");
        let late = (1..=3).find(|i| *i != leader).expect("a follower");
        cluster.link_model.limited_member = late;
        cluster.down.insert(late);
        cluster.propose_many(300, 150, SIZE);
        cluster.restart(late, true);
        cluster.sent_bytes.clear();
        let started = cluster.now;
        for ms in (0..limit_ms).step_by(STEP_MS as usize) {
            cluster.step();
            if break_interval_ms > 0 && ms % break_interval_ms == 0 {
                cluster.links.retain(|(from, to), _| *from != late && *to != late);
            }
            if ms == transfer_ms && ms > 0 {
                let now = cluster.now;
                cluster.nodes.get_mut(&leader).expect("the leader").transfer_leadership(now);
                cluster.process_outputs(leader);
            }
            if ms == restart_ms && ms > 0 {
                cluster.restart(late, false);
            }
            if cluster.applied.get(&late).is_some_and(|(_, state)| state.count == 300) {
                break;
            }
        }
        let elapsed_ms = cluster.now.since(started);
        assert_eq!(cluster.applied[&late].1.count, 300, "{case}: after {elapsed_ms} ms");
        let sent = cluster.sent_bytes[&late];
        println!("{case}: {elapsed_ms} ms, {sent} bytes");
        assert!(sent <= max_bytes, "{case}: {sent} bytes");
    }
}

#[test]
#[expect(clippy::too_many_lines, reason = "one scenario, told in order")]
fn chunks_that_do_not_fit_the_transfer_are_rejected() {
    let snapshot = Snapshot {
        last_included: LogPosition::new(Term(4), LogIndex(9)),
        members: vec![member(1, true), member(2, true)],
        state: ByteBuf::from(vec![5; 3_000]),
    };
    let encoded = pack(&RaftMessageKind::InstallSnapshot { snapshot, sent_at: 1 });
    let size = encoded.len() as u64;
    let chunk = |leader, term, transfer_id, total_size, offset: usize, end: usize| {
        let bytes = ByteBuf::from(&encoded[offset..end]);
        let kind = RaftMessageKind::Chunk {
            transfer_id,
            total_size,
            offset: offset as u64,
            bytes,
            sent_at: 7,
        };
        RaftMessage { from: MemberId(leader), term: Term(term), kind }
    };
    let end = encoded.len();
    // (case, chunks in order, received bytes in the response to each, whether the snapshot is
    // installed)
    type Case = (&'static str, Vec<RaftMessage>, Vec<Option<u64>>, bool);
    let cases: Vec<Case> = vec![
        (
            "in order",
            vec![chunk(1, 4, 1, size, 0, 1_000), chunk(1, 4, 1, size, 1_000, end)],
            vec![Some(1_000), Some(size)],
            true,
        ),
        (
            "repeated, before and after the transfer is complete",
            vec![
                chunk(1, 4, 1, size, 0, 1_000),
                chunk(1, 4, 1, size, 0, 1_000),
                chunk(1, 4, 1, size, 1_000, end),
                chunk(1, 4, 1, size, 1_000, end),
            ],
            vec![Some(1_000), Some(1_000), Some(size), Some(size)],
            true,
        ),
        (
            "with a gap",
            vec![chunk(1, 4, 1, size, 0, 500), chunk(1, 4, 1, size, 1_000, end)],
            vec![Some(500), Some(500)],
            false,
        ),
        (
            "of another transfer, of another term and of an earlier leader",
            vec![
                chunk(1, 4, 1, size, 0, 1_000),
                chunk(1, 4, 2, size, 1_000, end),
                chunk(2, 5, 2, size, 1_000, end),
                chunk(1, 4, 1, size, 1_000, end),
            ],
            vec![Some(1_000), Some(0), Some(0), None],
            false,
        ),
        ("larger than the size limit", vec![chunk(1, 4, 1, 1 << 40, 0, 1_000)], vec![None], false),
        (
            "longer than the announced size",
            vec![chunk(1, 4, 1, 10, 0, 1_000)],
            vec![Some(0)],
            false,
        ),
    ];
    for (case, chunks, responses, installed) in cases {
        let state = PersistentState { member_id: MemberId(2), ..PersistentState::default() };
        let mut raft = RaftNode::new(state, false, Tick(9_000), || 10);
        for (message, expected) in chunks.into_iter().zip(responses) {
            raft.step(message, Tick(9_010));
            let received = raft.outbox.drain(..).find_map(|(_, m)| match m.kind {
                RaftMessageKind::ChunkResponse { received, .. } => Some(received),
                _ => None,
            });
            assert_eq!(received, expected, "{case}");
        }
        assert_eq!(raft.last_position().index == LogIndex(9), installed, "{case}");
        assert!(raft.unreadable_message.is_none(), "{case}");
    }
}

/// A command of a newer layout, and one with a configuration that only a newer program can read.
fn newer_commands() -> [Vec<u8>; 2] {
    let abandon = Command::AbandonFailover { service: "s".into(), target: "b".into() };
    let configure = Command::PutConfiguration {
        base: Revision(12),
        revision: Revision(13),
        body: ByteBuf::from(br#"{"revision":13,"new":{}"#.to_vec()),
    };
    [[&[2][..], &pack(&abandon)].concat(), pack(&configure)]
}
fn entry(index: u64, term: u64, command: Vec<u8>) -> LogEntry {
    let payload = EntryPayload::Command(ByteBuf::from(command));
    LogEntry { term: Term(term), index: LogIndex(index), payload }
}

#[test]
#[expect(clippy::too_many_lines, reason = "one scenario, told in order")]
fn an_invalid_state_on_disk_stops_the_program_and_is_left_unchanged() {
    let execute = |sql: &'static str| {
        move |folder: &Path| {
            let db = rusqlite::Connection::open(folder.join("hedge.sqlite")).expect("file");
            db.execute_batch(sql).expect(sql);
        }
    };
    let truncate = |length: u64| {
        move |folder: &Path| {
            let file = std::fs::OpenOptions::new().write(true).open(folder.join("hedge.sqlite"));
            file.and_then(|f| f.set_len(length)).expect("truncate");
        }
    };
    let save = |change: fn(&mut PersistentState)| {
        move |folder: &Path| {
            let OpenedStorage { mut storage, state } = RaftStorage::open(folder).expect("open");
            let mut state = state.expect("a state");
            change(&mut state);
            storage.save(&WriteBatch::new(&state, &UnsavedChanges::all())).expect("save");
        }
    };
    // (case, how the folder is damaged, a part of the error message)
    type Case = (&'static str, Box<dyn Fn(&Path)>, &'static str);
    let cases: Vec<Case> = vec![
        ("truncated to nothing", Box::new(truncate(0)), "is gone"),
        ("truncated within the header", Box::new(truncate(60)), "malformed"),
        ("truncated to one page", Box::new(truncate(4_096)), "malformed"),
        ("truncated by one page", Box::new(truncate(16_384)), "malformed"),
        ("a newer schema", Box::new(execute("PRAGMA user_version = 2")), "newer than 1"),
        (
            "a file of another program",
            Box::new(execute("CREATE TABLE t (a)")),
            "tables that no controller creates",
        ),
        (
            "another schema",
            Box::new(execute("ALTER TABLE log RENAME COLUMN body TO bytes")),
            "no such column",
        ),
        (
            "a missing entry",
            Box::new(execute("DELETE FROM log WHERE place = 10")),
            "entry 10 is missing",
        ),
        (
            "the state of another member",
            Box::new(|folder| {
                std::fs::write(folder.join("member"), "members 8 9").expect("identity file")
            }),
            "belongs to member 1, but the identity file names 8, 9",
        ),
        (
            "a command of a newer layout",
            Box::new(save(|s| s.log.push(entry(13, 3, newer_commands()[0].clone())))),
            "entry 13 can't be read: of layout 2, this program reads 1",
        ),
        (
            "a configuration of a newer program",
            Box::new(save(|s| s.log.push(entry(13, 3, newer_commands()[1].clone())))),
            "entry 13 can't be read",
        ),
        (
            "a snapshot of a newer layout",
            Box::new(save(|s| s.snapshot.state.insert(0, 3))),
            "the snapshot at entry 8 can't be read: of layout 3, this program reads 1",
        ),
        (
            "a snapshot with additional fields",
            Box::new(save(|s| {
                // More fields than a later version is likely to add.
                s.snapshot.state[0] += 8;
                s.snapshot.state.extend([0x90; 8]);
            })),
            "the snapshot at entry 8 can't be read",
        ),
        (
            "an empty snapshot",
            Box::new(save(|s| s.snapshot.state.clear())),
            "the snapshot at entry 8 can't be read",
        ),
    ];
    for (case, damage, expected) in cases {
        let folder = layout_1_folder("bad");
        damage(&folder);
        let file = folder.join("hedge.sqlite");
        let before = std::fs::read(&file).expect("read the database file");
        let result = RaftStorage::open(&folder)
            .map_err(Fatal::from)
            .and_then(|opened| decode_persistent_state(&opened.state.expect("a state")));
        let error = result.err().unwrap_or_else(|| panic!("{case}: no error"));
        assert!(matches!(error, Fatal::State(_)) && error.exit_code() == 3, "{case}: {error}");
        assert!(error.to_string().contains(expected), "{case}: {error}");
        assert!(
            std::fs::read(&file).expect("read the database file") == before,
            "{case}: the file is unchanged"
        );
        let _ = std::fs::remove_dir_all(&folder);
    }
}

#[test]
fn the_identity_file_names_all_members_that_used_the_folder() {
    let folder = layout_1_folder("marked");
    let identity_file =
        || std::fs::read_to_string(folder.join("member")).expect("read the identity file");
    // The first release did not update the file when a removed member rejoined under a new id.
    std::fs::write(folder.join("member"), "77").expect("write the identity file");
    let OpenedStorage { mut storage, state } =
        RaftStorage::open(&folder).expect("the id in the file is ignored");
    assert_eq!(identity_file(), "members 1\n");
    let mut state = PersistentState { member_id: MemberId(5), ..state.expect("a state") };
    storage.save(&WriteBatch::new(&state, &UnsavedChanges::all())).expect("save");
    drop(storage);
    assert_eq!(identity_file(), "members 1 5\n");
    // As after a crash between the write of the identity file and that of the state.
    std::fs::write(folder.join("member"), "members 1 5 6\n").expect("write the identity file");
    let OpenedStorage { mut storage, state: found } = RaftStorage::open(&folder).expect("reopen");
    assert_eq!(found.expect("a state").member_id, MemberId(5));
    // If the identity file can't be written, the state is not written either.
    std::fs::create_dir_all(folder.join("member.new")).expect("block the temporary file");
    state.member_id = MemberId(7);
    assert!(storage.save(&WriteBatch::new(&state, &UnsavedChanges::all())).is_err());
    drop(storage);
    let OpenedStorage { state: found, .. } = RaftStorage::open(&folder).expect("reopen");
    assert_eq!(found.expect("a state").member_id, MemberId(5));
    let _ = std::fs::remove_dir_all(&folder);
}

#[test]
#[expect(clippy::too_many_lines, reason = "one scenario, told in order")]
fn unreadable_messages_are_neither_applied_nor_acknowledged() {
    let [newer, invalid_configuration] = newer_commands();
    let base = LogPosition::new(Term(2), LogIndex(8));
    let append = |entries| RaftMessageKind::AppendEntries {
        previous: base,
        entries,
        commit_index: LogIndex(9),
        sent_at: 1,
    };
    let snapshot = |state| RaftMessageKind::InstallSnapshot {
        snapshot: Snapshot {
            last_included: LogPosition::new(Term(3), LogIndex(20)),
            members: vec![member(1, true), member(2, true)],
            state: ByteBuf::from(state),
        },
        sent_at: 1,
    };
    let readable = Command::AbandonFailover { service: "s".into(), target: "b".into() };
    let other = layout_1_state_with(b"{}".to_vec());
    // (case, message, a part of the error message; empty if the message is applied)
    let cases = [
        ("a command", append(vec![entry(9, 3, pack(&readable))]), ""),
        ("a state", snapshot(pack(&layout_1_state())), ""),
        ("a newer command", append(vec![entry(9, 3, newer)]), "of layout 2, this program reads 1"),
        ("an empty command", append(vec![entry(9, 3, Vec::new())]), "entry 9"),
        (
            "an invalid configuration after a readable command",
            append(vec![entry(9, 3, pack(&readable)), entry(10, 3, invalid_configuration)]),
            "entry 10",
        ),
        ("a state of this layout", snapshot(layout_1_state().to_snapshot()), ""),
        ("a newer state", snapshot([&[3][..], &pack(&layout_1_state())].concat()), "of layout 3"),
        ("a state with an invalid configuration", snapshot(pack(&other)), "configuration 12"),
        ("an empty state", snapshot(Vec::new()), "entry 20"),
    ];
    for (case, kind, expected) in cases {
        let members = vec![member(1, true), member(2, true)];
        let state = ByteBuf::from(pack(&layout_1_state()));
        let before = Snapshot { last_included: base, members, state };
        let state = PersistentState {
            member_id: MemberId(2),
            term: Term(3),
            snapshot: before.clone(),
            ..PersistentState::default()
        };
        let mut raft = RaftNode::new(state, true, Tick(9_000), || 10);
        raft.message_validator = |kind| validate_message(kind).map_err(UnreadableMessage::content);
        raft.step(RaftMessage { from: MemberId(1), term: Term(3), kind }, Tick(9_500));
        raft.log_persisted(raft.last_position());
        let acked = raft
            .outbox
            .iter()
            .any(|(_, m)| matches!(m.kind, RaftMessageKind::AppendResponse { success: true, .. }));
        let error = raft.unreadable_message.as_ref().map(ToString::to_string).unwrap_or_default();
        assert!(
            error.contains(expected) && error.is_empty() == expected.is_empty(),
            "{case}: {error}"
        );
        let unchanged = raft.state.log.is_empty() && raft.state.snapshot == before;
        assert_eq!((acked, unchanged), (expected.is_empty(), !expected.is_empty()), "{case}");
        assert!(
            unchanged != (raft.unsaved != UnsavedChanges::default()),
            "{case}: {:?}",
            raft.unsaved
        );
    }
}

#[test]
fn a_frame_of_another_layout_is_read_or_rejected_with_its_layout() {
    let response =
        RaftMessageKind::AppendResponse { match_index: LogIndex(3), success: true, sent_at: 7 };
    let raft = |kind| Frame::Raft {
        to: MemberId(2),
        message: Box::new(RaftMessage { from: MemberId(1), term: Term(3), kind }),
    };
    let frame = encode(&raft(response)).to_vec();
    let chunk = RaftMessageKind::Chunk {
        transfer_id: 1,
        total_size: 9,
        offset: 0,
        bytes: ByteBuf::from(vec![1; 9]),
        sent_at: 7,
    };
    let with_byte = |offset: usize, byte: u8| {
        let mut bytes = frame.clone();
        bytes[offset] = byte;
        bytes
    };
    let end = frame.len() - 1;
    let mut first = frame[..end].to_vec();
    first[3] -= 1;
    let mut undecodable = with_byte(end, 9);
    undecodable[4] = 0xc1;
    // (case, bytes, the layout that the sender reads or a part of the error message)
    let cases: Vec<(&str, Vec<u8>, Result<u8, &str>)> = vec![
        ("this layout", frame.clone(), Ok(5)),
        (
            "a chunk, which programs of the first layout take for too large a frame",
            encode(&raft(chunk)).to_vec(),
            Ok(5),
        ),
        ("the first layout", first, Ok(1)),
        ("a readable frame of a newer program", with_byte(end, 9), Ok(9)),
        ("a newer layout", with_byte(0, 6), Err("a frame of layout 6, this program reads 5")),
        (
            "an undecodable frame of a newer program",
            undecodable,
            Err("that reads layout 9, this program reads 5"),
        ),
        ("too large", with_byte(1, 0xff), Err("frame of")),
        ("truncated", frame[..end].to_vec(), Err("")),
    ];
    for (case, bytes, expected) in cases {
        let result = receive_with_layout(&mut &bytes[..]);
        match (result, expected) {
            (Ok(received), Ok(layout)) => assert_eq!(received.sender_layout, layout, "{case}"),
            (Err(error), Err(text)) => assert!(error.to_string().contains(text), "{case}: {error}"),
            (result, _) => panic!("{case}: {result:?}"),
        }
    }
    // Only chunks require more than the first layout; programs of that layout read all other
    // frames.
    assert_eq!(frame[0], 0);
}

#[test]
fn responses_of_a_removed_member_are_ignored() {
    let mut cluster =
        SimulatedCluster::new(LinkModel { bytes_per_ms: FAST_LINK_BYTES_PER_MS, ..SLOW_LINK });
    let leader = cluster.leader().expect("a leader");
    let (now, raft) = (cluster.now, cluster.nodes.get_mut(&leader).expect("the leader"));
    assert!(raft.all_peers_read_layout(LAYOUT), "as stated in the frames of the others");
    raft.record_peer_layout(MemberId(if leader == 1 { 2 } else { 1 }), FIRST_LAYOUT);
    assert!(!raft.all_peers_read_layout(LAYOUT));
    for kind in [
        RaftMessageKind::AppendResponse { match_index: LogIndex(0), success: false, sent_at: 1 },
        RaftMessageKind::VoteResponse { pre_vote: false, granted: false },
        RaftMessageKind::ChunkResponse { transfer_id: 1, received: 1, sent_at: 1 },
    ] {
        raft.step(RaftMessage { from: MemberId(77), term: Term(90), kind }, now);
        assert!(raft.is_leader() && raft.state.term < Term(90));
    }
}

/// A controller process with its data folder. Its log is the file `log` in that folder.
struct ControllerProcess {
    child: Child,
    folder: PathBuf,
    peer: SocketAddr,
    admin: SocketAddr,
}
impl ControllerProcess {
    fn start(folder: &Path) -> Self {
        let ports = [0; 4].map(|_| free_port());
        let seeds = format!("seed_nodes = [\"127.0.0.1:{}\"]\n", ports[1]);
        Self::start_at(folder, 1, ports, &seeds)
    }
    fn start_at(folder: &Path, host: u8, ports: [u16; 4], seeds: &str) -> Self {
        let [peer, admin, frontend, readiness] = ports;
        let settings = format!(
            "node_name = \"n{host}\"\nip_address = \"127.0.0.{host}\"\nzone = \"z\"\n\
             port_range = [{peer}, {peer}]\n{seeds}data_path = \"{}\"\n[listeners]\n\
             frontend = \"127.0.0.{host}:{frontend}\"\nreadiness = \"127.0.0.{host}:{readiness}\"\n\
             admin = \"127.0.0.{host}:{admin}\"\n",
            folder.display()
        );
        std::fs::write(folder.join("node.toml"), settings).expect("write the settings");
        let log = std::fs::File::create(folder.join("log")).expect("create the log");
        let child = process::Command::new(env!("CARGO_BIN_EXE_silvertack"))
            .args(["controller", "--settings"])
            .arg(folder.join("node.toml"))
            .stderr(log)
            .spawn()
            .expect("start the controller");
        let address = |port: u16| SocketAddr::from(([127, 0, 0, host], port));
        Self { child, folder: folder.to_owned(), peer: address(peer), admin: address(admin) }
    }
    fn log(&self) -> String {
        std::fs::read_to_string(self.folder.join("log")).expect("read the log")
    }
    fn is_responding(&self) -> bool {
        http(self.admin, "GET", "/status", &[], "").is_ok_and(|(status, _)| status == 200)
    }
    /// The exit code, if the process ends within a few seconds.
    fn exit_code(&mut self) -> Option<i32> {
        let start = Instant::now();
        while start.elapsed() < Duration::from_secs(5) {
            if let Some(status) = self.child.try_wait().expect("query the exit status") {
                return status.code();
            }
            std::thread::sleep(Duration::from_millis(20));
        }
        None
    }
}
impl Drop for ControllerProcess {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}
fn wait_until(event: &str, mut has_happened: impl FnMut() -> bool) {
    let start = Instant::now();
    while !has_happened() {
        assert!(start.elapsed() < Duration::from_secs(10), "timed out waiting for {event}");
        std::thread::sleep(Duration::from_millis(20));
    }
}

#[test]
fn a_controller_that_cannot_read_a_log_entry_exits_with_the_reason() {
    let newer = || newer_commands()[0].clone();
    let data_folder = |name: &str, voters: u64, log: Vec<LogEntry>| {
        let folder = folder(name);
        let members = (1..=voters).map(|id| member(id, true)).collect();
        let snapshot = Snapshot { members, ..Snapshot::default() };
        let term = Term(3);
        let state = PersistentState {
            member_id: MemberId(1),
            term,
            log,
            snapshot,
            ..PersistentState::default()
        };
        let InitializedStorage { storage, .. } =
            RaftStorage::open_or_initialize(&folder, || state).expect("initialize");
        drop(storage);
        folder
    };
    // The entry is on its own disk. As the only voter it would lead and commit the entry.
    let mut controller =
        ControllerProcess::start(&data_folder("own", 1, vec![entry(1, 3, newer())]));
    assert_eq!(controller.exit_code(), Some(3), "{}", controller.log());
    let expected = "entry 1 can't be read: of layout 2, this program reads 1";
    assert!(controller.log().contains(expected), "{}", controller.log());
    // The entry comes from its leader. Before that, a frame of a newer layout only closes the
    // connection.
    let mut controller = ControllerProcess::start(&data_folder("told", 2, Vec::new()));
    wait_until("a response", || controller.is_responding());
    let mut stream = TcpStream::connect(controller.peer).expect("connect");
    stream.set_read_timeout(Some(Duration::from_secs(5))).expect("set the timeout");
    stream.write_all(&[6, 0, 0, 1, 0x80]).expect("send");
    assert_eq!(stream.read(&mut [0; 8]).expect("an orderly close"), 0);
    let expected = "a frame of layout 6, this program reads 5";
    wait_until("the log line", || controller.log().contains(expected));
    assert!(controller.is_responding());
    let mut stream = TcpStream::connect(controller.peer).expect("connect");
    let previous = LogPosition::new(Term(0), LogIndex(0));
    let entries = vec![entry(1, 9, newer())];
    let kind =
        RaftMessageKind::AppendEntries { previous, entries, commit_index: LogIndex(1), sent_at: 1 };
    let message = Box::new(RaftMessage { from: MemberId(2), term: Term(9), kind });
    send(&mut stream, &Frame::Raft { to: MemberId(1), message }).expect("send");
    assert_eq!(controller.exit_code(), Some(3), "{}", controller.log());
    let expected = "a message of the leader was not applied: entry 1 can't be read: of layout 2";
    assert!(controller.log().contains(expected), "{}", controller.log());
    let OpenedStorage { state, .. } = RaftStorage::open(&controller.folder).expect("open");
    assert!(state.expect("a state").log.is_empty());
}

#[test]
fn a_late_heartbeat_restores_no_removed_instance_after_many_removals() {
    let mut state_machine = layout_1_state();
    let instance = state_machine.instances()[&InstanceId::from("b")].instance.clone();
    let heartbeat = |n: u64| Command::Heartbeat {
        id: InstanceId(format!("d{n}")),
        instance: instance.clone(),
        sequence: 3,
    };
    for n in 0..2_000 {
        state_machine.apply(&heartbeat(n));
        state_machine.apply(&Command::RemoveInstance {
            id: InstanceId(format!("d{n}")),
            sequence: u64::MAX,
        });
    }
    let mut state_machine = StateMachine::from_snapshot(&pack(&state_machine)).expect("read");
    for n in 0..2_000 {
        state_machine.apply(&heartbeat(n));
    }
    assert_eq!(state_machine.instances().len(), 2, "only the instances that were not removed");
    assert!(pack(&state_machine).len() < 64 << 10, "the removed ones take little space");
}

/// The leader knows the joining controller only from its join request, and has to find out which
/// frame layout it reads before it can send the snapshot.
#[test]
fn a_joining_controller_with_an_empty_disk_gets_a_snapshot() {
    let ports = [0; 4].map(|_| free_port());
    let address = |host: u8, port: u16| SocketAddr::from(([127, 0, 0, host], port));
    let seeds = format!("seed_nodes = [\"{}\"]\nbootstrap = true\n", address(1, ports[1]));
    let start =
        |host| ControllerProcess::start_at(&folder(&format!("join{host}")), host, ports, &seeds);
    let first = start(1);
    let put = |revision: u64| {
        let route = |n: usize| {
            serde_json::json!({
                "name": format!("r{n}"), "hostname": format!("h{n}"), "path_prefix": "/x".repeat(200),
                "route_type": "primary", "timeout_ms": 2000, "target_latency_ms": 250,
                "priority": 1, "target_service": "s", "max_attempts": 2, "stale_ms": 1500,
            })
        };
        let body = serde_json::json!({
            "revision": revision, "route_rules": (0..400).map(route).collect::<Vec<_>>(),
            "services": [{ "name": "s", "health_check_path": "/health", "max_connections": 16,
                "sync_replicas": 1 }],
            "limits": { "txn_idle_ms": 3000 },
        });
        let base = (revision - 1).to_string();
        let headers = [("If-Match", base.as_str())];
        http(first.admin, "PUT", "/configuration", &headers, &body.to_string())
    };
    wait_until("the configuration to be accepted", || {
        put(1).is_ok_and(|(status, _)| status == 200)
    });
    for revision in 2..=12 {
        assert_eq!(put(revision).expect("a response").0, 200);
    }
    let second = start(2);
    wait_until("the second controller to catch up", || {
        let response = http(second.admin, "GET", "/status", &[], "");
        response.is_ok_and(|(_, body)| body.contains("\"revision\":12"))
    });
}

#[test]
fn a_member_whose_member_list_lacks_the_leader_still_catches_up() {
    let ports = [0; 4].map(|_| free_port());
    let address = |host: u64, port: u16| -> SocketAddr {
        format!("127.0.0.{host}:{port}").parse().expect("address")
    };
    let local_member = |id: u64| Member {
        peer: address(id, ports[0]),
        admin: address(id, ports[1]),
        ..member(id, true)
    };
    // There are just enough voters to tolerate one loss, so no silent voter is removed.
    let fault_tolerance = "fault_tolerance = { machines = 1 }\n";
    let seeds = format!("seed_nodes = [\"{}\"]\n{fault_tolerance}", address(1, ports[1]));
    let start = |id: u64, members: Vec<Member>| {
        let folder = folder(&format!("list{id}"));
        let snapshot = Snapshot { members, ..Snapshot::default() };
        let state = PersistentState {
            member_id: MemberId(id),
            term: Term(1),
            snapshot,
            ..PersistentState::default()
        };
        drop(RaftStorage::open_or_initialize(&folder, || state).expect("initialize"));
        ControllerProcess::start_at(&folder, id as u8, ports, &seeds)
    };
    let current_members = || vec![local_member(1), local_member(2), local_member(3)];
    let running = [1, 3].map(|id| start(id, current_members()));
    let put = |revision: u64| {
        let body = serde_json::json!({
            "revision": revision, "route_rules": [], "limits": { "txn_idle_ms": 3000 },
            "services": [{ "name": "s", "health_check_path": "/health", "max_connections": 16,
                "sync_replicas": 1 }],
        });
        let base = (revision - 1).to_string();
        let headers = [("If-Match", base.as_str())];
        let put_to = |p: &ControllerProcess| {
            http(p.admin, "PUT", "/configuration", &headers, &body.to_string())
        };
        running.iter().any(|p| put_to(p).is_ok_and(|(status, _)| status == 200))
    };
    for revision in 1..=3 {
        wait_until("the configuration to be accepted", || put(revision));
    }
    // This member was down while the others were added.
    let second = start(2, vec![local_member(2), member(7, true)]);
    wait_until("the second controller to catch up", || {
        let response = http(second.admin, "GET", "/status", &[], "");
        response.is_ok_and(|(_, body)| body.contains("\"revision\":3"))
    });
}
