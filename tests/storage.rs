//! The controllers' state: what is read, refused, sent and folded. Time, links and disks are the test's.
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
fn folder(name: &str) -> PathBuf {
    let path = std::env::temp_dir().join(format!("silvertack-{name}-{}", std::process::id()));
    let _ = std::fs::remove_dir_all(&path);
    std::fs::create_dir_all(&path).expect("folder");
    path
}
/// A member's folder, as the landing before this layout's code wrote it.
fn old_folder(name: &str) -> PathBuf {
    let path = folder(name);
    let db = rusqlite::Connection::open(path.join("hedge.sqlite")).expect("file");
    db.execute_batch(include_str!("data/hedge-layout-1.sql")).expect("loaded");
    db.execute_batch("PRAGMA journal_mode = WAL").expect("as it was");
    std::fs::write(path.join("member"), "1").expect("mark");
    path
}
/// What stands in that folder and in the frames.
fn old_state() -> StateMachine {
    let body = br#"{"revision":12,"route_rules":[{"name":"strict","hostname":"strict","path_prefix":"/","route_type":"primary","timeout_ms":2000,"target_latency_ms":250,"priority":1,"target_service":"s","max_attempts":2,"stale_ms":1500}],"services":[{"name":"s","health_check_path":"/health","max_connections":16,"sync_replicas":1}],"limits":{"txn_idle_ms":3000}}"#;
    old_state_with([&body[..], b"\n"].concat())
}

/// The same with another configuration of its revision.
fn old_state_with(body: Vec<u8>) -> StateMachine {
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
    for change in [
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
        state_machine.apply(&change);
    }
    state_machine
}

#[test]
fn a_disk_of_the_previous_landing_is_read() {
    let folder = old_folder("old");
    let OpenedStorage { state: kept, .. } = RaftStorage::open(&folder).expect("opened");
    let kept = kept.expect("a state");
    let voted = Some(MemberId(1));
    assert_eq!((kept.member_id, kept.term, kept.voted_for), (MemberId(1), Term(3), voted));
    assert_eq!(
        (kept.last_led_term, kept.snapshot.last_included),
        (Some(Term(3)), LogPosition::new(Term(2), LogIndex(8)))
    );
    let members = [member(1, true), member(2, true), member(3, false)];
    assert_eq!(kept.snapshot.members, members);
    // The same but for what that program did not keep: another digest of the order, and who departed.
    let (read, made) =
        (StateMachine::from_snapshot(&kept.snapshot.state).expect("a state"), old_state());
    assert_eq!(
        (read.configuration_body(), read.revision()),
        (made.configuration_body(), made.revision())
    );
    assert_eq!((&read.instances(), &read.primaries()), (&made.instances(), &made.primaries()));
    assert!(
        read.departed_replicas(&"s".into()).is_empty()
            && !made.departed_replicas(&"s".into()).is_empty()
    );
    for (body, effect) in [
        (&made.configuration_body()[..], CommandOutcome::NoChange),
        (b"{}", CommandOutcome::StaleBase),
    ] {
        assert_eq!(
            read.evaluate_configuration(Revision(3), Revision(12), body),
            effect,
            "an order sent again"
        );
    }
    let late = &made.instances()[&"b".into()].instance;
    for (sequence, news) in [(9, false), (10, true)] {
        assert_eq!(
            read.accepts_heartbeat(&"c".into(), late, sequence),
            news,
            "a late beat of one that left"
        );
    }
    // Going back is possible as long as nothing new is in it, and of the new layout it is read again.
    assert_eq!(read.to_snapshot(), *kept.snapshot.state);
    assert_eq!(made.to_snapshot()[0], 2);
    assert_eq!(
        StateMachine::from_snapshot(&made.to_snapshot()).expect("a state").to_snapshot(),
        made.to_snapshot()
    );
    assert_eq!(kept.log.iter().map(|e| e.index.0).collect::<Vec<_>>(), [9, 10, 11, 12]);
    let EntryPayload::Command(bytes) = &kept.log[3].payload else { panic!("a change") };
    let led = Command::SetPrimary { service: "s".into(), term: DbTerm(4), primary: "b".into() };
    assert_eq!(unpack::<Command>(bytes).expect("a change"), led);
    let _ = std::fs::remove_dir_all(&folder);
}

#[test]
fn frames_of_the_previous_landing_are_read() {
    let mut bytes = &include_bytes!("data/frames-layout-1.bin")[..];
    let mut seen = Vec::new();
    while !bytes.is_empty() {
        let shown = format!("{:?}", receive(&mut bytes).expect("a frame"));
        let words =
            ["RequestVote", "VoteResponse", "AppendEntries", "AppendResponse", "InstallSnapshot"];
        let more =
            ["TimeoutNow", "Join ", "Joined", "Hello", "RenewLeases", "Welcome", "LeaseGrants"];
        seen.extend(words.iter().chain(&more).find(|w| shown.contains(*w)).copied());
    }
    assert_eq!(seen.len(), 12, "{seen:?}");
}

/// How many bytes links carry, and how.
#[derive(Clone, Copy)]
struct Road {
    /// Bytes a millisecond, and to whom only; to everybody if it is nobody's.
    rate: usize,
    only: u64,
    /// All links of a machine share that.
    shared: bool,
    /// Bytes that the kernel takes from the sender before they leave.
    kernel: usize,
}
const WIDE: usize = 100_000;
/// Of 2 Mbit/s.
const THIN: Road = Road { rate: 250, only: 0, shared: false, kernel: 0 };
const STEP_MS: u64 = 5;
const FAR_MS: u64 = 5;

/// What a controller has applied: a count, a digest, and the newest large body.
#[derive(Clone, Default, PartialEq)]
struct Sum {
    count: u64,
    digest: u64,
    body: Vec<u8>,
}
impl Sum {
    fn add(&mut self, bytes: &[u8]) {
        self.count += 1;
        for b in bytes.iter().take(16) {
            self.digest = self.digest.wrapping_mul(31).wrapping_add(u64::from(*b));
        }
        if bytes.len() > 1_000 {
            self.body = bytes.to_vec();
        }
    }
    fn bytes(&self) -> Vec<u8> {
        [&self.count.to_be_bytes()[..], &self.digest.to_be_bytes(), &self.body].concat()
    }
    fn read(bytes: &[u8]) -> Self {
        let word = |at: usize| u64::from_be_bytes(bytes[at..at + 8].try_into().expect("8 bytes"));
        match bytes {
            [] => Self::default(),
            _ => Self { count: word(0), digest: word(8), body: bytes[16..].to_vec() },
        }
    }
}
#[derive(Default)]
struct Line {
    frames: VecDeque<std::sync::Arc<[u8]>>,
    left: usize,
    waiting: usize,
    flying: VecDeque<(Tick, std::sync::Arc<[u8]>)>,
}

/// Controllers on links of a rate. What is written is on disk at once.
struct Country {
    now: Tick,
    road: Road,
    hedges: BTreeMap<u64, RaftNode>,
    lines: BTreeMap<(u64, u64), Line>,
    down: BTreeSet<u64>,
    sums: BTreeMap<u64, (LogIndex, Sum)>,
    /// What everybody must have come to at an entry.
    truth: BTreeMap<LogIndex, (u64, u64)>,
    /// Members that read the first layout only.
    old: BTreeSet<u64>,
    led: BTreeSet<(u64, Term)>,
    /// Milliseconds without a leader that may act.
    unled: u64,
    /// Entries and bytes of the longest and the largest log.
    largest: (usize, usize),
    lengths: BTreeMap<u64, usize>,
    widest: usize,
    /// Bytes that left for each member.
    sent: BTreeMap<u64, usize>,
}
impl Country {
    fn new(road: Road) -> Self {
        let spreads: [fn() -> u64; 3] = [|| 10, || 130, || 250];
        let members: Vec<Member> = (1..=3).map(|i| member(i, true)).collect();
        let start = Tick(10_000);
        let raft = |id: u64| {
            let snapshot = Snapshot { members: members.clone(), ..Snapshot::default() };
            let kept =
                PersistentState { member_id: MemberId(id), snapshot, ..PersistentState::default() };
            (id, RaftNode::new(kept, false, start, spreads[id as usize - 1]))
        };
        let mut this = Self {
            now: start,
            road,
            hedges: (1..=3).map(raft).collect(),
            lines: BTreeMap::new(),
            down: BTreeSet::new(),
            sums: BTreeMap::new(),
            truth: BTreeMap::new(),
            old: BTreeSet::new(),
            led: BTreeSet::new(),
            unled: 0,
            largest: (0, 0),
            lengths: BTreeMap::new(),
            sent: BTreeMap::new(),
            widest: 0,
        };
        this.run(2_000);
        this.unled = 0;
        this
    }
    fn leader(&self) -> Option<u64> {
        let mut all = self.hedges.iter().filter(|(_, h)| h.holds_leader_lease(self.now));
        let leader = all.next().map(|(id, _)| *id);
        assert!(all.next().is_none(), "two lead");
        leader
    }
    fn step(&mut self) {
        self.now = self.now.plus(STEP_MS);
        let now = self.now;
        let mut budgets = BTreeMap::new();
        for ((from, to), line) in &mut self.lines {
            let thin = self.road.only == 0 || self.road.only == *to || self.road.only == *from;
            let rate = if thin { self.road.rate } else { WIDE };
            let key = (*from, if self.road.shared { 0 } else { *to });
            let all = budgets.entry(key).or_insert(rate * STEP_MS as usize);
            let mut room = if self.road.shared { *all / 2 } else { *all };
            *all -= room;
            while room > 0 && !line.frames.is_empty() {
                let took = room.min(line.frames[0].len() - line.left);
                (line.left, line.waiting, room) =
                    (line.left + took, line.waiting - took, room - took);
                if line.left == line.frames[0].len() {
                    line.left = 0;
                    let whole = line.frames.pop_front().expect("a frame");
                    line.flying.push_back((now.plus(FAR_MS), whole));
                }
            }
            *all += room;
            while line.flying.front().is_some_and(|(at, _)| *at <= now) {
                let (_, bytes) = line.flying.pop_front().expect("a frame");
                let ReceivedFrame { frame, sender_layout: layout } =
                    receive_with_layout(&mut &bytes[..]).expect("readable");
                let Frame::Raft { message, .. } = frame else { panic!("of the controllers") };
                if self.old.contains(to) && matches!(message.kind, RaftMessageKind::Chunk { .. }) {
                    // Too large a frame for the landed program, which closes the connection.
                    *line = Line::default();
                    break;
                }
                let Some(raft) = self.hedges.get_mut(to).filter(|_| !self.down.contains(to)) else {
                    continue;
                };
                raft.record_peer_layout(
                    MemberId(*from),
                    if self.old.contains(from) { 1 } else { layout },
                );
                raft.step(*message, now);
            }
        }
        let ids: Vec<u64> =
            self.hedges.keys().filter(|i| !self.down.contains(i)).copied().collect();
        for id in ids {
            self.hedges.get_mut(&id).expect("there").tick(now);
            self.settle(id);
        }
        match self.leader() {
            Some(id) => {
                let raft = &self.hedges[&id];
                self.led.insert((id, raft.state.term));
                let newest = self.truth.keys().next_back().copied().unwrap_or_default();
                assert!(raft.commit_index >= newest, "{id} leads without all that was committed");
            }
            None => self.unled += STEP_MS,
        }
    }
    /// The disk, what is applied, and what is to be sent.
    fn settle(&mut self, id: u64) {
        let raft = self.hedges.get_mut(&id).expect("there");
        if std::mem::take(&mut raft.unsaved) != Default::default() {
            raft.log_persisted(raft.last_position());
        }
        let (applied, sum) = self.sums.entry(id).or_default();
        if raft.state.snapshot.last_included.index > *applied {
            *applied = raft.state.snapshot.last_included.index;
            *sum = Sum::read(&raft.state.snapshot.state);
        }
        for entry in raft.committed_entries_after(*applied) {
            *applied = entry.index;
            if let EntryPayload::Command(bytes) = &entry.payload {
                sum.add(bytes);
            }
            let same = *self.truth.entry(entry.index).or_insert((sum.count, sum.digest));
            assert_eq!(same, (sum.count, sum.digest), "{id} at {}", entry.index);
        }
        raft.compact_log(*applied, || sum.bytes());
        let bytes = |e: &LogEntry| match &e.payload {
            EntryPayload::Command(bytes) => bytes.len(),
            _ => 0,
        };
        let log = &raft.state.log;
        if log.len() != self.lengths.insert(id, log.len()).unwrap_or_default() {
            let (entries, most) = self.largest;
            self.largest = (entries.max(log.len()), most.max(log.iter().map(bytes).sum()));
        }
        for (to, message) in raft.outbox.drain(..) {
            let line = self.lines.entry((id, to.0)).or_default();
            let gone = self.down.contains(&to.0);
            if gone || exceeds_backlog(&message.kind, line.waiting.saturating_sub(self.road.kernel))
            {
                continue;
            }
            let frame = encode(&Frame::Raft { to, message: Box::new(message) });
            line.waiting += frame.len();
            self.widest = self.widest.max(frame.len());
            *self.sent.entry(to.0).or_default() += frame.len();
            line.frames.push_back(frame);
        }
    }
    fn run(&mut self, ms: u64) {
        for _ in 0..ms / STEP_MS {
            self.step();
        }
    }
    fn propose(&mut self, bytes: Vec<u8>) -> Option<LogIndex> {
        let (id, now) = (self.leader()?, self.now);
        let body = EntryPayload::Command(ByteBuf::from(bytes));
        let index = self.hedges.get_mut(&id)?.propose(body, now);
        self.settle(id);
        index
    }
    fn restart(&mut self, id: u64, empty: bool) {
        self.lines.retain(|(from, to), _| *from != id && *to != id);
        let mut kept = self.hedges[&id].state.clone();
        self.sums.remove(&id);
        if empty {
            kept = PersistentState { member_id: MemberId(id), ..PersistentState::default() };
        }
        self.hedges.insert(id, RaftNode::new(kept, !empty, self.now, || 200));
        self.down.remove(&id);
    }
    /// So many changes, a large one now and then, each large one once the one before is committed.
    fn load(&mut self, changes: u64, every: u64, large: usize) {
        let mut last = None;
        for n in 0..changes {
            self.run(20);
            let committed = self.truth.keys().next_back().copied();
            let wants = n % every == 0 && (last.is_none() || last <= committed);
            let mut body = vec![n as u8; if wants { large } else { 150 }];
            body[..8].copy_from_slice(&n.to_be_bytes());
            let index = self.propose(body);
            last = if wants { index } else { last };
        }
    }
    /// Milliseconds until a member has all that is committed at that moment, under small changes.
    fn catches_up(&mut self, id: u64, within: u64) -> u64 {
        for ms in 0..within / 20 {
            let newest = self.truth.keys().next_back().copied().unwrap_or_default();
            // One change may always be on its way.
            if self.sums.get(&id).is_some_and(|(at, _)| at.0 + 8 >= newest.0) {
                return ms * 20;
            }
            self.propose(vec![7; 150]);
            self.run(20);
        }
        let newest = self.truth.keys().next_back();
        panic!("{id} at {:?} of {newest:?} after {within} ms", self.sums.get(&id).map(|s| s.0));
    }
}

#[test]
fn a_leader_keeps_its_majority_while_much_is_under_way_on_thin_links() {
    let shared = Road { shared: true, ..THIN };
    // (what, links, changes, every which is large, how large)
    let cases = [
        ("a large configuration on thin links", THIN, 20, 10, 250_000),
        ("the same, and the kernel takes much", Road { kernel: 200_000, ..THIN }, 20, 10, 250_000),
        ("all links through one thin one", shared, 20, 10, 250_000),
        ("one member behind a thin link", Road { only: 2, ..THIN }, 40, 5, 250_000),
        ("many small ones", THIN, 600, 1_000, 0),
    ];
    for (what, road, changes, every, large) in cases {
        let mut country = Country::new(road);
        country.load(changes, every, large.max(150));
        country.run(12_000);
        assert_eq!(country.led.len(), 1, "{what}: {:?}", country.led);
        assert_eq!(country.unled, 0, "{what}: ms without one that may act");
        let sums: Vec<u64> = country.sums.values().map(|(_, s)| s.count).collect();
        assert_eq!(sums, [changes; 3], "{what}");
    }
    // Parts had become larger where there was room, and then there is none.
    let mut country = Country::new(Road { rate: WIDE, ..THIN });
    country.propose(vec![1; 2_000_000]);
    country.run(200);
    assert!(country.sums.values().all(|(_, s)| s.count == 0), "not there yet");
    country.road.rate = 250;
    country.run(15_000);
    assert_eq!((country.led.len(), country.unled), (1, 0), "links that became thin");
    assert!(country.sums.values().all(|(_, s)| s.count == 1));
}

#[test]
fn a_member_that_was_away_catches_up_while_changes_go_on() {
    // (what, links, its disk is empty, whether it is of the landed layout, changes, every which is
    // large, how large, most ms)
    let many = (1_000, 25, 250_000);
    let few = (300, 150, 2_000_000);
    let cases = [
        ("restarted", WIDE, false, false, many, 1_500),
        ("with an empty disk", WIDE, true, false, many, 1_500),
        ("of the landed program", WIDE, false, true, many, 1_500),
        ("behind a thin link", 250, false, false, many, 20_000),
        ("behind a thin link with an empty disk", 250, true, false, many, 20_000),
        // Longer on its way than the log is otherwise kept.
        ("a large state behind a thin link", 250, true, false, few, 15_000),
    ];
    for (what, rate, empty, old, (changes, every, large), most) in cases {
        let mut country = Country::new(Road { rate, ..THIN });
        let leader = country.leader().expect("a leader");
        let late = (1..=3).find(|i| *i != leader).expect("another");
        country.road.only = late;
        country.down.insert(late);
        if old {
            country.old.insert(late);
        }
        // The two that are left hold all of it.
        country.load(changes, every, large);
        country.restart(late, empty);
        let took = country.catches_up(late, most);
        println!("{what}: {took} ms");
        assert!(country.led.len() == 1 && country.unled == 0, "{what}: {:?}", country.led);
        assert!(country.largest.0 <= 8_400, "{what}: {:?}", country.largest);
    }
}

#[test]
fn nothing_large_goes_whole_to_one_that_was_never_heard_of() {
    let mut country = Country::new(THIN);
    country.load(300, 50, 250_000);
    country.run(10_000);
    let kept = PersistentState { member_id: MemberId(4), ..PersistentState::default() };
    country.hedges.insert(4, RaftNode::new(kept, false, country.now, || 70));
    let members = (1..=4).map(|id| member(id, id < 4)).collect();
    let (leader, now) = (country.leader().expect("a leader"), country.now);
    let raft = country.hedges.get_mut(&leader).expect("there");
    assert!(raft.state.snapshot.last_included.index > LogIndex(0), "it needs a snapshot");
    raft.propose(EntryPayload::Membership(members), now).expect("taken");
    country.catches_up(4, 5_000);
    assert_eq!((country.led.len(), country.unled), (1, 0), "{:?}", country.led);
    assert!(country.widest < 70_000, "{} bytes at once", country.widest);
}

#[test]
fn a_member_whose_link_carries_less_than_is_changed_catches_up_once_there_is_less() {
    let mut country = Country::new(Road { only: 0, ..THIN });
    let leader = country.leader().expect("a leader");
    country.road.only = (1..=3).find(|i| *i != leader).expect("another");
    let late = country.road.only;
    // Five times what the link carries.
    country.load(1_000, 10, 250_000);
    let newest = *country.truth.keys().next_back().expect("entries");
    assert!(country.sums[&late].0.0 + 100 < newest.0, "it is behind");
    let took = country.catches_up(late, 25_000);
    println!("{took} ms, a log of {:?} entries and bytes", country.largest);
    assert!(country.led.len() == 1 && country.unled == 0, "{:?}", country.led);
    assert!(country.largest.1 < 5 << 20, "a bounded log: {:?}", country.largest);
}

#[test]
fn a_transfer_goes_on_where_it_stopped_and_begins_anew_only_where_it_must() {
    const SIZE: usize = 2_000_000;
    // (what, how often connections break, ms until the leader goes, or the member restarts; most
    // bytes sent to it, most ms)
    let cases = [
        ("nothing happens", 0, 0, 0, SIZE + 400_000, 15_000),
        ("connections break", 900, 0, 0, SIZE + 700_000, 18_000),
        ("the leader goes half way", 0, 4_000, 0, 2 * SIZE, 25_000),
        ("the member restarts half way", 0, 0, 4_000, 2 * SIZE, 25_000),
    ];
    for (what, breaks, leader_goes, restarts, bytes, most) in cases {
        let mut country = Country::new(THIN);
        let leader = country.leader().expect("a leader");
        let late = (1..=3).find(|i| *i != leader).expect("another");
        country.road.only = late;
        country.down.insert(late);
        country.load(300, 150, SIZE);
        country.restart(late, true);
        country.sent.clear();
        let began = country.now;
        for at in (0..most).step_by(STEP_MS as usize) {
            country.step();
            if breaks > 0 && at % breaks == 0 {
                country.lines.retain(|(from, to), _| *from != late && *to != late);
            }
            if at == leader_goes && at > 0 {
                let now = country.now;
                country.hedges.get_mut(&leader).expect("leader").transfer_leadership(now);
                country.settle(leader);
            }
            if at == restarts && at > 0 {
                country.restart(late, false);
            }
            if country.sums.get(&late).is_some_and(|(_, s)| s.count == 300) {
                break;
            }
        }
        let took = country.now.since(began);
        assert_eq!(country.sums[&late].1.count, 300, "{what}: after {took} ms");
        let sent = country.sent[&late];
        println!("{what}: {took} ms, {sent} bytes");
        assert!(sent <= bytes, "{what}: {sent} bytes");
    }
}

#[test]
#[expect(clippy::too_many_lines, reason = "one scenario, told in order")]
fn parts_that_do_not_belong_are_not_taken() {
    let snapshot = Snapshot {
        last_included: LogPosition::new(Term(4), LogIndex(9)),
        members: vec![member(1, true), member(2, true)],
        state: ByteBuf::from(vec![5; 3_000]),
    };
    let whole = pack(&RaftMessageKind::InstallSnapshot { snapshot, sent_at: 1 });
    let size = whole.len() as u64;
    let part = |leader, term, transfer, size, offset: usize, upto: usize| {
        let bytes = ByteBuf::from(&whole[offset..upto]);
        let kind = RaftMessageKind::Chunk {
            transfer_id: transfer,
            total_size: size,
            offset: offset as u64,
            bytes,
            sent_at: 7,
        };
        RaftMessage { from: MemberId(leader), term: Term(term), kind }
    };
    let end = whole.len();
    // (parts in their order, what is answered to each, whether the snapshot is taken)
    type Case = (&'static str, Vec<RaftMessage>, Vec<Option<u64>>, bool);
    let cases: Vec<Case> = vec![
        (
            "in order",
            vec![part(1, 4, 1, size, 0, 1_000), part(1, 4, 1, size, 1_000, end)],
            vec![Some(1_000), Some(size)],
            true,
        ),
        (
            "twice, and one too many",
            vec![
                part(1, 4, 1, size, 0, 1_000),
                part(1, 4, 1, size, 0, 1_000),
                part(1, 4, 1, size, 1_000, end),
                part(1, 4, 1, size, 1_000, end),
            ],
            vec![Some(1_000), Some(1_000), Some(size), Some(size)],
            true,
        ),
        (
            "with a gap",
            vec![part(1, 4, 1, size, 0, 500), part(1, 4, 1, size, 1_000, end)],
            vec![Some(500), Some(500)],
            false,
        ),
        (
            "of another transfer, another term and an earlier leader",
            vec![
                part(1, 4, 1, size, 0, 1_000),
                part(1, 4, 2, size, 1_000, end),
                part(2, 5, 2, size, 1_000, end),
                part(1, 4, 1, size, 1_000, end),
            ],
            vec![Some(1_000), Some(0), Some(0), None],
            false,
        ),
        ("larger than any may be", vec![part(1, 4, 1, 1 << 40, 0, 1_000)], vec![None], false),
        ("more than it said", vec![part(1, 4, 1, 10, 0, 1_000)], vec![Some(0)], false),
    ];
    for (what, parts, answers, taken) in cases {
        let kept = PersistentState { member_id: MemberId(2), ..PersistentState::default() };
        let mut raft = RaftNode::new(kept, false, Tick(9_000), || 10);
        for (message, answer) in parts.into_iter().zip(answers) {
            raft.step(message, Tick(9_010));
            let told = raft.outbox.drain(..).find_map(|(_, m)| match m.kind {
                RaftMessageKind::ChunkResponse { received: upto, .. } => Some(upto),
                _ => None,
            });
            assert_eq!(told, answer, "{what}");
        }
        assert_eq!(raft.last_position().index == LogIndex(9), taken, "{what}");
        assert!(raft.unreadable_message.is_none(), "{what}");
    }
}

/// A change that a program of a later layout may write, and one whose configuration it may take.
fn of_later() -> [Vec<u8>; 2] {
    let change = Command::AbandonFailover { service: "s".into(), target: "b".into() };
    let configure = Command::PutConfiguration {
        base: Revision(12),
        revision: Revision(13),
        body: ByteBuf::from(br#"{"revision":13,"new":{}"#.to_vec()),
    };
    [[&[2][..], &pack(&change)].concat(), pack(&configure)]
}
fn entry(index: u64, term: u64, bytes: Vec<u8>) -> LogEntry {
    let body = EntryPayload::Command(ByteBuf::from(bytes));
    LogEntry { term: Term(term), index: LogIndex(index), payload: body }
}

#[test]
#[expect(clippy::too_many_lines, reason = "one scenario, told in order")]
fn a_disk_that_can_not_be_what_it_should_be_stops_the_program_and_is_left_as_it_is() {
    let set = |sql: &'static str| {
        move |folder: &Path| {
            let db = rusqlite::Connection::open(folder.join("hedge.sqlite")).expect("file");
            db.execute_batch(sql).expect(sql);
        }
    };
    let cut = |to: u64| {
        move |folder: &Path| {
            let file = std::fs::OpenOptions::new().write(true).open(folder.join("hedge.sqlite"));
            file.and_then(|f| f.set_len(to)).expect("cut");
        }
    };
    let keep = |change: fn(&mut PersistentState)| {
        move |folder: &Path| {
            let OpenedStorage { mut storage, state: kept } =
                RaftStorage::open(folder).expect("opened");
            let mut kept = kept.expect("a state");
            change(&mut kept);
            storage.save(&WriteBatch::new(&kept, &UnsavedChanges::all())).expect("saved");
        }
    };
    // (what, what becomes of the folder, a part of what is said)
    type Case = (&'static str, Box<dyn Fn(&Path)>, &'static str);
    let cases: Vec<Case> = vec![
        ("cut to nothing", Box::new(cut(0)), "is gone"),
        ("cut within the header", Box::new(cut(60)), "malformed"),
        ("cut to a page", Box::new(cut(4_096)), "malformed"),
        ("cut by a page", Box::new(cut(16_384)), "malformed"),
        ("newer as a whole", Box::new(set("PRAGMA user_version = 2")), "newer than 1"),
        (
            "another program's",
            Box::new(set("CREATE TABLE t (a)")),
            "tables that no controller creates",
        ),
        (
            "another layout",
            Box::new(set("ALTER TABLE log RENAME COLUMN body TO bytes")),
            "no such column",
        ),
        (
            "without an entry",
            Box::new(set("DELETE FROM log WHERE place = 10")),
            "entry 10 is missing",
        ),
        (
            "of another member",
            Box::new(|folder| std::fs::write(folder.join("member"), "members 8 9").expect("mark")),
            "belongs to member 1, but the identity file names 8, 9",
        ),
        (
            "a change of a newer layout",
            Box::new(keep(|k| k.log.push(entry(13, 3, of_later()[0].clone())))),
            "entry 13 can't be read: of layout 2, this program reads 1",
        ),
        (
            "a configuration of a newer program",
            Box::new(keep(|k| k.log.push(entry(13, 3, of_later()[1].clone())))),
            "entry 13 can't be read",
        ),
        (
            "a snapshot of a newer layout",
            Box::new(keep(|k| k.snapshot.state.insert(0, 3))),
            "the snapshot at entry 8 can't be read: of layout 3, this program reads 1",
        ),
        (
            "a snapshot with more in it",
            Box::new(keep(|k| {
                // More fields than are likely to come soon.
                k.snapshot.state[0] += 8;
                k.snapshot.state.extend([0x90; 8]);
            })),
            "the snapshot at entry 8 can't be read",
        ),
        (
            "a snapshot with nothing in it",
            Box::new(keep(|k| k.snapshot.state.clear())),
            "the snapshot at entry 8 can't be read",
        ),
    ];
    for (what, spoil, said) in cases {
        let folder = old_folder("bad");
        spoil(&folder);
        let file = folder.join("hedge.sqlite");
        let before = std::fs::read(&file).expect("bytes");
        let read = RaftStorage::open(&folder)
            .map_err(Fatal::from)
            .and_then(|opened| decode_persistent_state(&opened.state.expect("a state")));
        let refused = read.err().unwrap_or_else(|| panic!("{what}: read"));
        assert!(
            matches!(refused, Fatal::State(_)) && refused.exit_code() == 3,
            "{what}: {refused}"
        );
        assert!(refused.to_string().contains(said), "{what}: {refused}");
        assert!(std::fs::read(&file).expect("bytes") == before, "{what}: left as it is");
        let _ = std::fs::remove_dir_all(&folder);
    }
}

#[test]
fn a_folder_is_marked_as_the_members_it_was() {
    let folder = old_folder("marked");
    let marked = || std::fs::read_to_string(folder.join("member")).expect("mark");
    // The landed program did not keep the mark when a removed member began anew.
    std::fs::write(folder.join("member"), "77").expect("mark");
    let OpenedStorage { mut storage, state: kept } =
        RaftStorage::open(&folder).expect("not relied on");
    assert_eq!(marked(), "members 1\n");
    let mut kept = PersistentState { member_id: MemberId(5), ..kept.expect("a state") };
    storage.save(&WriteBatch::new(&kept, &UnsavedChanges::all())).expect("saved");
    drop(storage);
    assert_eq!(marked(), "members 1 5\n");
    // As if the machine had stopped between the mark and the state.
    std::fs::write(folder.join("member"), "members 1 5 6\n").expect("mark");
    let OpenedStorage { mut storage, state: found } = RaftStorage::open(&folder).expect("again");
    assert_eq!(found.expect("a state").member_id, MemberId(5));
    // Where the mark can't be written, neither is the state.
    std::fs::create_dir_all(folder.join("member.new")).expect("in the way");
    kept.member_id = MemberId(7);
    assert!(storage.save(&WriteBatch::new(&kept, &UnsavedChanges::all())).is_err());
    drop(storage);
    let OpenedStorage { state: found, .. } = RaftStorage::open(&folder).expect("again");
    assert_eq!(found.expect("a state").member_id, MemberId(5));
    let _ = std::fs::remove_dir_all(&folder);
}

#[test]
#[expect(clippy::too_many_lines, reason = "one scenario, told in order")]
fn what_can_not_be_read_is_neither_taken_nor_acknowledged() {
    let [newer, unknown] = of_later();
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
    let good = Command::AbandonFailover { service: "s".into(), target: "b".into() };
    let other = old_state_with(b"{}".to_vec());
    // (what, message, a part of what is said; nothing where it is taken)
    let cases = [
        ("a change", append(vec![entry(9, 3, pack(&good))]), ""),
        ("a state", snapshot(pack(&old_state())), ""),
        ("a newer change", append(vec![entry(9, 3, newer)]), "of layout 2, this program reads 1"),
        ("no change", append(vec![entry(9, 3, Vec::new())]), "entry 9"),
        (
            "a configuration that is none, behind a good change",
            append(vec![entry(9, 3, pack(&good)), entry(10, 3, unknown)]),
            "entry 10",
        ),
        ("a state of this layout", snapshot(old_state().to_snapshot()), ""),
        ("a newer state", snapshot([&[3][..], &pack(&old_state())].concat()), "of layout 3"),
        ("a state with a configuration that is none", snapshot(pack(&other)), "configuration 12"),
        ("no state", snapshot(Vec::new()), "entry 20"),
    ];
    for (what, kind, said) in cases {
        let members = vec![member(1, true), member(2, true)];
        let state = ByteBuf::from(pack(&old_state()));
        let before = Snapshot { last_included: base, members, state };
        let kept = PersistentState {
            member_id: MemberId(2),
            term: Term(3),
            snapshot: before.clone(),
            ..PersistentState::default()
        };
        let mut raft = RaftNode::new(kept, true, Tick(9_000), || 10);
        raft.message_validator = |kind| validate_message(kind).map_err(UnreadableMessage::content);
        raft.step(RaftMessage { from: MemberId(1), term: Term(3), kind }, Tick(9_500));
        raft.log_persisted(raft.last_position());
        let acked = raft
            .outbox
            .iter()
            .any(|(_, m)| matches!(m.kind, RaftMessageKind::AppendResponse { success: true, .. }));
        let refused = raft.unreadable_message.as_ref().map(ToString::to_string).unwrap_or_default();
        assert!(
            refused.contains(said) && refused.is_empty() == said.is_empty(),
            "{what}: {refused}"
        );
        let untouched = raft.state.log.is_empty() && raft.state.snapshot == before;
        assert_eq!((acked, untouched), (said.is_empty(), !said.is_empty()), "{what}");
        assert!(
            untouched != (raft.unsaved != UnsavedChanges::default()),
            "{what}: {:?}",
            raft.unsaved
        );
    }
}

#[test]
fn a_frame_of_another_layout_is_read_or_refused_by_name() {
    let appended =
        RaftMessageKind::AppendResponse { match_index: LogIndex(3), success: true, sent_at: 7 };
    let raft = |kind| Frame::Raft {
        to: MemberId(2),
        message: Box::new(RaftMessage { from: MemberId(1), term: Term(3), kind }),
    };
    let whole = encode(&raft(appended)).to_vec();
    let part = RaftMessageKind::Chunk {
        transfer_id: 1,
        total_size: 9,
        offset: 0,
        bytes: ByteBuf::from(vec![1; 9]),
        sent_at: 7,
    };
    let with = |at: usize, byte: u8| {
        let mut bytes = whole.clone();
        bytes[at] = byte;
        bytes
    };
    let end = whole.len() - 1;
    let mut first = whole[..end].to_vec();
    first[3] -= 1;
    let mut garbled = with(end, 9);
    garbled[4] = 0xc1;
    // (what, bytes, the layout its sender reads or what is said)
    let cases: Vec<(&str, Vec<u8>, Result<u8, &str>)> = vec![
        ("this one", whole.clone(), Ok(3)),
        ("a part, which a landed program takes for too large", encode(&raft(part)).to_vec(), Ok(3)),
        ("the first", first, Ok(1)),
        ("readable, of a newer program", with(end, 9), Ok(9)),
        ("newer", with(0, 4), Err("a frame of layout 4, this program reads 3")),
        (
            "newer, though it does not say so",
            garbled,
            Err("that reads layout 9, this program reads 3"),
        ),
        ("too large", with(1, 0xff), Err("frame of")),
        ("cut", whole[..end].to_vec(), Err("")),
    ];
    for (what, bytes, wanted) in cases {
        let read = receive_with_layout(&mut &bytes[..]);
        match (read, wanted) {
            (Ok(read), Ok(wanted)) => assert_eq!(read.sender_layout, wanted, "{what}"),
            (Err(e), Err(said)) => assert!(e.to_string().contains(said), "{what}: {e}"),
            (read, _) => panic!("{what}: {read:?}"),
        }
    }
    // Only parts ask for more than the first layout: all else is read by landed programs.
    assert_eq!(whole[0], 0);
}

#[test]
fn answers_of_one_that_was_removed_say_nothing() {
    let mut country = Country::new(Road { rate: WIDE, ..THIN });
    let leader = country.leader().expect("a leader");
    let (now, raft) = (country.now, country.hedges.get_mut(&leader).expect("leader"));
    assert!(raft.all_peers_read_layout(LAYOUT), "the others said so");
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

/// A controller as a process, on a folder; what it logs stands in `log` there.
struct Process {
    child: Child,
    folder: PathBuf,
    peer: SocketAddr,
    admin: SocketAddr,
}
impl Process {
    fn start(folder: &Path) -> Self {
        let ports = [0; 4].map(|_| free_port());
        let seeds = format!("seed_nodes = [\"127.0.0.1:{}\"]\n", ports[1]);
        Self::start_at(folder, 1, ports, &seeds)
    }
    fn start_at(folder: &Path, host: u8, ports: [u16; 4], seeds: &str) -> Self {
        let [peer, admin, front, ready] = ports;
        let settings = format!(
            "node_name = \"n{host}\"\nip_address = \"127.0.0.{host}\"\nzone = \"z\"\n\
             port_range = [{peer}, {peer}]\n{seeds}data_path = \"{}\"\n[listeners]\n\
             frontend = \"127.0.0.{host}:{front}\"\nreadiness = \"127.0.0.{host}:{ready}\"\n\
             admin = \"127.0.0.{host}:{admin}\"\n",
            folder.display()
        );
        std::fs::write(folder.join("node.toml"), settings).expect("settings");
        let log = std::fs::File::create(folder.join("log")).expect("log");
        let child = process::Command::new(env!("CARGO_BIN_EXE_silvertack"))
            .args(["controller", "--settings"])
            .arg(folder.join("node.toml"))
            .stderr(log)
            .spawn()
            .expect("controller");
        let at = |port: u16| SocketAddr::from(([127, 0, 0, host], port));
        Self { child, folder: folder.to_owned(), peer: at(peer), admin: at(admin) }
    }
    fn log(&self) -> String {
        std::fs::read_to_string(self.folder.join("log")).expect("log")
    }
    fn answers(&self) -> bool {
        http(self.admin, "GET", "/status", &[], "").is_ok_and(|(status, _)| status == 200)
    }
    /// What it ended with, if it does within a few seconds.
    fn ended(&mut self) -> Option<i32> {
        let start = Instant::now();
        while start.elapsed() < Duration::from_secs(5) {
            if let Some(status) = self.child.try_wait().expect("asked") {
                return status.code();
            }
            std::thread::sleep(Duration::from_millis(20));
        }
        None
    }
}
impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}
fn eventually(what: &str, mut check: impl FnMut() -> bool) {
    let start = Instant::now();
    while !check() {
        assert!(start.elapsed() < Duration::from_secs(10), "never: {what}");
        std::thread::sleep(Duration::from_millis(20));
    }
}

#[test]
fn a_controller_that_can_not_read_what_was_agreed_stops_and_says_why() {
    let newer = || of_later()[0].clone();
    let found = |name: &str, voters: u64, log: Vec<LogEntry>| {
        let folder = folder(name);
        let members = (1..=voters).map(|id| member(id, true)).collect();
        let snapshot = Snapshot { members, ..Snapshot::default() };
        let term = Term(3);
        let kept = PersistentState {
            member_id: MemberId(1),
            term,
            log,
            snapshot,
            ..PersistentState::default()
        };
        let InitializedStorage { storage, .. } =
            RaftStorage::open_or_initialize(&folder, || kept).expect("founded");
        drop(storage);
        folder
    };
    // From its own disk: alone, it would lead and commit that.
    let mut controller = Process::start(&found("own", 1, vec![entry(1, 3, newer())]));
    assert_eq!(controller.ended(), Some(3), "{}", controller.log());
    let said = "entry 1 can't be read: of layout 2, this program reads 1";
    assert!(controller.log().contains(said), "{}", controller.log());
    // From its leader: a newer frame first, which only costs the connection.
    let mut controller = Process::start(&found("told", 2, Vec::new()));
    eventually("an answer", || controller.answers());
    let mut stream = TcpStream::connect(controller.peer).expect("connected");
    stream.set_read_timeout(Some(Duration::from_secs(5))).expect("timeout");
    stream.write_all(&[4, 0, 0, 1, 0x80]).expect("sent");
    assert_eq!(stream.read(&mut [0; 8]).expect("closed in order"), 0);
    let said = "a frame of layout 4, this program reads 3";
    eventually("a line", || controller.log().contains(said));
    assert!(controller.answers());
    let mut stream = TcpStream::connect(controller.peer).expect("connected");
    let previous = LogPosition::new(Term(0), LogIndex(0));
    let entries = vec![entry(1, 9, newer())];
    let kind =
        RaftMessageKind::AppendEntries { previous, entries, commit_index: LogIndex(1), sent_at: 1 };
    let message = Box::new(RaftMessage { from: MemberId(2), term: Term(9), kind });
    send(&mut stream, &Frame::Raft { to: MemberId(1), message }).expect("sent");
    assert_eq!(controller.ended(), Some(3), "{}", controller.log());
    let said = "not taken from the leader: entry 1 can't be read: of layout 2";
    assert!(controller.log().contains(said), "{}", controller.log());
    let OpenedStorage { state: kept, .. } = RaftStorage::open(&controller.folder).expect("opened");
    assert!(kept.expect("a state").log.is_empty());
}

#[test]
fn a_late_beat_brings_nothing_back_though_hundreds_left_since() {
    let mut state_machine = old_state();
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
    assert_eq!(state_machine.instances().len(), 2, "only those that never left");
    assert!(pack(&state_machine).len() < 64 << 10, "and they take little room");
}

#[test]
fn an_empty_disk_gets_a_folded_state_from_a_leader_it_only_asked_to_be_taken_in_by() {
    let ports = [0; 4].map(|_| free_port());
    let at = |host: u8, port: u16| SocketAddr::from(([127, 0, 0, host], port));
    let seeds = format!("seed_nodes = [\"{}\"]\nbootstrap = true\n", at(1, ports[1]));
    let start = |host| Process::start_at(&folder(&format!("join{host}")), host, ports, &seeds);
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
        let sent = [("If-Match", base.as_str())];
        http(first.admin, "PUT", "/configuration", &sent, &body.to_string())
    };
    eventually("taken", || put(1).is_ok_and(|(status, _)| status == 200));
    for revision in 2..=12 {
        assert_eq!(put(revision).expect("answered").0, 200);
    }
    let second = start(2);
    eventually("caught up", || {
        let status = http(second.admin, "GET", "/status", &[], "");
        status.is_ok_and(|(_, body)| body.contains("\"revision\":12"))
    });
}

#[test]
fn a_member_whose_list_lacks_the_leader_still_catches_up() {
    let ports = [0; 4].map(|_| free_port());
    let at = |host: u64, port: u16| -> SocketAddr {
        format!("127.0.0.{host}:{port}").parse().expect("address")
    };
    let real =
        |id: u64| Member { peer: at(id, ports[0]), admin: at(id, ports[1]), ..member(id, true) };
    // With as many as are needed to bear a loss, nobody is removed for being silent.
    let tolerates = "fault_tolerance = { machines = 1 }\n";
    let seeds = format!("seed_nodes = [\"{}\"]\n{tolerates}", at(1, ports[1]));
    let start = |id: u64, members: Vec<Member>| {
        let folder = folder(&format!("list{id}"));
        let snapshot = Snapshot { members, ..Snapshot::default() };
        let kept = PersistentState {
            member_id: MemberId(id),
            term: Term(1),
            snapshot,
            ..PersistentState::default()
        };
        drop(RaftStorage::open_or_initialize(&folder, || kept).expect("founded"));
        Process::start_at(&folder, id as u8, ports, &seeds)
    };
    let now = || vec![real(1), real(2), real(3)];
    let both = [1, 3].map(|id| start(id, now()));
    let put = |revision: u64| {
        let body = serde_json::json!({
            "revision": revision, "route_rules": [], "limits": { "txn_idle_ms": 3000 },
            "services": [{ "name": "s", "health_check_path": "/health", "max_connections": 16,
                "sync_replicas": 1 }],
        });
        let base = (revision - 1).to_string();
        let sent = [("If-Match", base.as_str())];
        let ask = |p: &Process| http(p.admin, "PUT", "/configuration", &sent, &body.to_string());
        both.iter().any(|p| ask(p).is_ok_and(|(status, _)| status == 200))
    };
    for revision in 1..=3 {
        eventually("taken", || put(revision));
    }
    // Away while the others were taken in.
    let second = start(2, vec![real(2), member(7, true)]);
    eventually("caught up", || {
        let status = http(second.admin, "GET", "/status", &[], "");
        status.is_ok_and(|(_, body)| body.contains("\"revision\":3"))
    });
}
