//! The Raft core, its storage and its persister, in simulated time and on a simulated network.
use serde_bytes::ByteBuf;
use silvertack::base::ids::{LogIndex, MemberId, NodeName, Term};
use silvertack::base::time::Tick;
use silvertack::config::settings::Settings;
use silvertack::net::rpc::LAYOUT;
use silvertack::net::rpc::raft_messages::{
    EntryPayload, JoinResponse, LogEntry, LogPosition, Member, RaftMessage, RaftMessageKind,
    Snapshot,
};
use silvertack::net::send_queue::SendQueue;
use silvertack::raft::limits::MIN_ELECTION_TIMEOUT_MS;
use silvertack::raft::node::RaftNode;
use silvertack::raft::persister::{LogPersister, WriteOutcome};
use silvertack::raft::state::{PersistentState, UnsavedChanges};
use silvertack::raft::storage::{InitializedStorage, OpenedStorage, RaftStorage, WriteBatch};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

fn member(id: u64, voter: bool) -> Member {
    Member {
        id: MemberId(id),
        node: NodeName(format!("n{id}")),
        peer: format!("10.0.0.{}:1", id % 200).parse().expect("address"),
        admin: format!("10.0.0.{}:2", id % 200).parse().expect("address"),
        voter,
        can_vote: true,
    }
}
fn initial_state(id: u64, of: u64) -> PersistentState {
    let members = (1..=of).map(|i| member(i, true)).collect();
    PersistentState {
        member_id: MemberId(id),
        snapshot: Snapshot { members, ..Snapshot::default() },
        ..PersistentState::default()
    }
}
fn command(n: u8) -> EntryPayload {
    EntryPayload::Command(ByteBuf::from(vec![n]))
}

/// Different election timeouts, so that votes do not split.
const RANDOM_NUMBERS: [fn() -> u64; 5] = [|| 10, || 130, || 250, || 370, || 70];

/// Controllers, the messages in flight between them, and who is partitioned.
struct TestCluster {
    now: Tick,
    nodes: BTreeMap<u64, RaftNode>,
    /// What each has on disk; a message leaves only after it.
    disks: BTreeMap<u64, PersistentState>,
    network: VecDeque<(MemberId, RaftMessage)>,
    partitioned: BTreeSet<u64>,
}
impl TestCluster {
    fn new(count: u64) -> Self {
        let now = Tick(1_000);
        let nodes = (1..=count)
            .map(|i| {
                (
                    i,
                    RaftNode::new(
                        initial_state(i, count),
                        false,
                        now,
                        RANDOM_NUMBERS[i as usize - 1],
                    ),
                )
            })
            .collect();
        let mut this = Self {
            now,
            nodes,
            disks: BTreeMap::new(),
            network: VecDeque::new(),
            partitioned: BTreeSet::new(),
        };
        this.deliver_all();
        this
    }
    fn deliver_all(&mut self) {
        for _ in 0..10_000 {
            for (id, raft) in &mut self.nodes {
                if std::mem::take(&mut raft.unsaved) != UnsavedChanges::default()
                    || !self.disks.contains_key(id)
                {
                    self.disks.insert(*id, raft.state.clone());
                    raft.log_persisted(raft.last_position());
                }
                let from_partitioned = self.partitioned.contains(id);
                self.network.extend(raft.outbox.drain(..).filter(|_| !from_partitioned));
            }
            let Some((to, message)) = self.network.pop_front() else {
                return;
            };
            if let Some(raft) = self.nodes.get_mut(&to.0)
                && !self.partitioned.contains(&to.0)
            {
                raft.step(message, self.now);
            }
        }
        panic!("the controllers exchange messages without end");
    }
    fn run(&mut self, ms: u64) {
        for _ in 0..ms / 10 {
            self.now = self.now.plus(10);
            for raft in self.nodes.values_mut() {
                raft.tick(self.now);
            }
            self.deliver_all();
        }
    }
    fn leaders(&self) -> Vec<u64> {
        let now = self.now;
        self.nodes.iter().filter(|(_, h)| h.holds_leader_lease(now)).map(|(id, _)| *id).collect()
    }
    fn elect_leader(&mut self) -> u64 {
        self.run(3_000);
        let leaders = self.leaders();
        assert_eq!(leaders.len(), 1, "one leader: {leaders:?}");
        leaders[0]
    }
    fn propose(&mut self, id: u64, body: EntryPayload) -> Option<LogIndex> {
        let now = self.now;
        let index = self.nodes.get_mut(&id).and_then(|h| h.propose(body, now));
        self.deliver_all();
        index
    }
    fn restart(&mut self, id: u64) {
        let state = self.disks[&id].clone();
        self.nodes
            .insert(id, RaftNode::new(state, true, self.now, RANDOM_NUMBERS[id as usize - 1]));
    }
    fn committed_commands(&self, id: u64) -> Vec<u8> {
        self.nodes[&id]
            .committed_entries_after(LogIndex(0))
            .iter()
            .filter_map(|e| match &e.payload {
                EntryPayload::Command(bytes) => bytes.first().copied(),
                _ => None,
            })
            .collect()
    }
}

#[test]
fn one_leader_is_elected_and_all_members_hold_what_it_committed() {
    for count in [1, 3, 4] {
        let mut controllers = TestCluster::new(count);
        let leader = controllers.elect_leader();
        for n in 0..5 {
            assert!(controllers.propose(leader, command(n)).is_some());
        }
        controllers.run(500);
        for id in 1..=count {
            assert_eq!(
                controllers.committed_commands(id),
                [0, 1, 2, 3, 4],
                "{count} controllers, {id}"
            );
        }
    }
}

#[test]
fn a_partitioned_leader_stops_before_another_is_elected() {
    let mut controllers = TestCluster::new(4);
    let old = controllers.elect_leader();
    controllers.partitioned.insert(old);
    for _ in 0..400 {
        controllers.run(10);
        assert!(controllers.leaders().len() <= 1, "two at once: {:?}", controllers.leaders());
    }
    let new = controllers.leaders();
    assert!(new.len() == 1 && new != [old]);
    // What the old leader appended alone is lost, and what the new one committed stays.
    controllers.propose(old, command(66));
    controllers.propose(new[0], command(7));
    controllers.partitioned.clear();
    controllers.run(3_000);
    for id in 1..=4 {
        assert_eq!(controllers.committed_commands(id), [7], "{id}");
    }
}

#[test]
fn nothing_is_committed_without_a_quorum() {
    let mut controllers = TestCluster::new(4);
    let leader = controllers.elect_leader();
    let others: Vec<u64> = (1..=4).filter(|i| *i != leader).take(2).collect();
    controllers.partitioned.extend(others);
    controllers.propose(leader, command(1));
    controllers.run(3_000);
    assert!(controllers.committed_commands(leader).is_empty());
    assert!(controllers.leaders().is_empty());
    controllers.partitioned.clear();
    controllers.elect_leader();
}

#[test]
fn members_restart_from_their_disks_after_as_many_losses_as_are_tolerated() {
    for (count, lost) in [(3, 0), (4, 1), (5, 2)] {
        let mut controllers = TestCluster::new(count);
        let leader = controllers.elect_leader();
        controllers.propose(leader, command(9));
        // The leader's disk is among the lost ones, right after it has acknowledged.
        let gone: Vec<u64> = (0..lost).map(|i| (leader + i - 1) % count + 1).collect();
        for id in 1..=count {
            controllers.restart(id);
        }
        controllers.nodes.retain(|id, _| !gone.contains(id));
        controllers.network.clear();
        let leader = controllers.elect_leader();
        controllers.propose(leader, command(10));
        controllers.run(400);
        for id in controllers.nodes.keys() {
            assert_eq!(
                controllers.committed_commands(*id),
                [9, 10],
                "{count} controllers, {lost} lost"
            );
        }
    }
}

#[test]
fn a_restarted_voter_grants_no_vote_while_a_leader_lease_may_hold() {
    let mut controllers = TestCluster::new(3);
    let leader = controllers.elect_leader();
    let (voter, other) = if leader == 1 { (2, 3) } else { (1, if leader == 2 { 3 } else { 2 }) };
    controllers.restart(voter);
    let last = controllers.nodes[&other].last_position();
    let ask = |term| RaftMessage {
        from: MemberId(other),
        term: Term(term),
        kind: RaftMessageKind::RequestVote {
            pre_vote: false,
            leadership_transfer: false,
            led_previous_term: false,
            last_log: last,
        },
    };
    let now = controllers.now;
    let raft = controllers.nodes.get_mut(&voter).expect("voter");
    raft.step(ask(50), now);
    assert!(raft.outbox.is_empty(), "silent at first");
    raft.step(ask(50), now.plus(MIN_ELECTION_TIMEOUT_MS + 1));
    assert!(matches!(raft.outbox[0].1.kind, RaftMessageKind::VoteResponse { granted: true, .. }));
}

#[test]
fn a_leadership_transfer_ends_the_old_lease_before_the_new_one() {
    let mut controllers = TestCluster::new(4);
    let old = controllers.elect_leader();
    let now = controllers.now;
    let raft = controllers.nodes.get_mut(&old).expect("leader");
    raft.transfer_leadership(now);
    assert!(!raft.holds_leader_lease(now), "no lease from the moment it asks");
    controllers.deliver_all();
    controllers.run(300);
    let new = controllers.leaders();
    assert!(new.len() == 1 && new != [old], "{new:?}");
}

#[test]
fn members_are_replaced_one_by_one_and_the_present_voters_stay_a_quorum() {
    // (what happened, whether the third of three is lost, the id and place of one that asks to join,
    // whether it is there, the voters in the end)
    type Case = (&'static str, bool, (u64, u64), bool, &'static [u64]);
    let cases: [Case; 4] = [
        ("an empty disk at the old address", true, (900, 3), true, &[1, 2, 900]),
        ("an empty machine at another address", true, (901, 77), true, &[1, 2, 901]),
        ("one more, and nobody is lost", false, (902, 78), true, &[1, 2, 3, 902]),
        ("a late wish of a disk that was there before", false, (904, 3), false, &[1, 2, 3]),
    ];
    for (what, lost, (new, at), there, wanted) in cases {
        let joiner = Member { id: MemberId(new), ..member(at, false) };
        let mut controllers = TestCluster::new(3);
        // So that the one that is lost does not lead.
        while controllers.elect_leader() == 3 {
            let now = controllers.now;
            controllers.nodes.get_mut(&3).expect("leader").transfer_leadership(now);
            controllers.deliver_all();
        }
        let leader = controllers.elect_leader();
        controllers.propose(leader, command(1));
        // Long in leader state, so that what counts is since when a newcomer is known.
        controllers.run(9_000);
        if lost {
            controllers.nodes.remove(&3);
            controllers.disks.remove(&3);
        }
        if there {
            let state = PersistentState { member_id: joiner.id, ..PersistentState::default() };
            let raft = RaftNode::new(state, false, controllers.now, || 20);
            controllers.nodes.insert(new, raft);
        }
        let mut changes = 0;
        for _ in 0..50 {
            let now = controllers.now;
            let raft = &controllers.nodes[&leader];
            if let Some(list) = raft.next_membership_change([&joiner].into_iter(), 1, 8_000, now) {
                changes += 1;
                let voters = list.iter().filter(|m| m.voter && (m.id.0 != 3 || !lost)).count();
                assert!(voters >= 2, "{what}: {list:?}");
                controllers.propose(leader, EntryPayload::Membership(list));
            }
            controllers.run(300);
        }
        assert!(changes <= 3, "{what}: nobody goes in and out: {changes}");
        let list = controllers.nodes[&leader].members();
        assert!(
            list.iter().map(|m| (m.id.0, m.voter)).eq(wanted.iter().map(|i| (*i, true))),
            "{what}: {list:?}"
        );
        assert!(!there || controllers.committed_commands(new) == [1], "{what}");
    }
}

#[test]
fn after_a_replacement_votes_two_more_losses_are_tolerated() {
    let settings = "node_name = \"n\"\nip_address = \"10.0.0.1\"\nzone = \"z\"\nport_range = [1, 9]\n\
        seed_nodes = [\"10.0.0.1:2\"]\n[listeners]\n[fault_tolerance]\nmachines = 2\n\
        [timing_bounds]\njoin_sync_s = 6\n";
    let settings = Settings::parse(settings).expect("valid");
    let mut controllers = TestCluster::new(5);
    let leader = controllers.elect_leader();
    let others: Vec<u64> = (1..=5).filter(|i| *i != leader).collect();
    let joiner = Member { id: MemberId(901), ..member(77, false) };
    // One is lost for good, and an empty machine comes for it a moment later.
    controllers.nodes.remove(&others[0]);
    controllers.disks.remove(&others[0]);
    controllers.run(1_200);
    let state = PersistentState { member_id: joiner.id, ..PersistentState::default() };
    controllers.nodes.insert(901, RaftNode::new(state, false, controllers.now, || 20));
    let counts_from = controllers.now.plus(6_000);
    while controllers.now < counts_from {
        let (raft, now) = (&controllers.nodes[&leader], controllers.now);
        let (tolerated, silent) =
            (settings.tolerated_failures(), settings.voter_removal_timeout_ms());
        if let Some(list) =
            raft.next_membership_change([&joiner].into_iter(), tolerated, silent, now)
        {
            controllers.propose(leader, EntryPayload::Membership(list));
        }
        controllers.run(300);
    }
    // Two of those that are left are partitioned: the other three still form a quorum.
    controllers.partitioned.extend([others[1], others[2]]);
    controllers.propose(leader, command(7));
    controllers.run(600);
    assert!(controllers.committed_commands(901).contains(&7));
}

#[test]
fn only_a_leader_with_a_lease_tells_a_member_that_it_was_removed() {
    let mut controllers = TestCluster::new(4);
    let leader = controllers.elect_leader();
    let now = controllers.now;
    let raft = &controllers.nodes[&leader];
    let old = member(77, true);
    let listed = raft.members()[0].clone();
    assert_eq!(raft.answer_join(&listed, true, now), JoinResponse::Current);
    assert_eq!(raft.answer_join(&old, true, now), JoinResponse::Removed);
    assert_eq!(raft.answer_join(&old, false, now), JoinResponse::Accepted);
    // One without a disk is never a member; it only learns who leads.
    let diskless = Member { can_vote: false, ..old.clone() };
    assert_eq!(raft.answer_join(&diskless, false, now), JoinResponse::Current);
    let follower = (1..=4).find(|i| *i != leader).expect("another");
    let at = member(leader, true).peer;
    assert_eq!(
        controllers.nodes[&follower].answer_join(&old, true, now),
        JoinResponse::NotLeader(Some(at))
    );
    // Cut off, it may have been the one that was replaced.
    let later = now.plus(MIN_ELECTION_TIMEOUT_MS);
    assert_eq!(
        controllers.nodes[&leader].answer_join(&old, true, later),
        JoinResponse::NotLeader(None)
    );
    // And whoever is no member gets no vote.
    let ask = RaftMessageKind::RequestVote {
        pre_vote: false,
        leadership_transfer: true,
        led_previous_term: true,
        last_log: LogPosition::new(Term(90), LogIndex(900)),
    };
    let raft = controllers.nodes.get_mut(&follower).expect("follower");
    let term = raft.state.term;
    raft.step(RaftMessage { from: old.id, term: Term(91), kind: ask }, now.plus(5_000));
    assert!(raft.outbox.is_empty() && raft.state.term == term);
}

#[test]
fn a_long_log_is_compacted_and_a_late_member_gets_the_snapshot() {
    let mut controllers = TestCluster::new(3);
    let leader = controllers.elect_leader();
    let late = (1..=3).find(|i| *i != leader).expect("another");
    controllers.partitioned.insert(late);
    for n in 0..=255 {
        controllers.propose(leader, command(n));
    }
    controllers.propose(leader, command(1));
    controllers.run(300);
    let raft = controllers.nodes.get_mut(&leader).expect("leader");
    let commit = raft.commit_index;
    raft.compact_log(commit, || vec![42]);
    assert!(raft.state.log.is_empty());
    controllers.partitioned.clear();
    controllers.run(2_000);
    assert_eq!(controllers.nodes[&late].state.snapshot.state.as_ref(), [42]);
    assert!(controllers.nodes[&late].commit_index >= commit);
}

#[test]
#[expect(clippy::too_many_lines, reason = "one scenario, told in order")]
fn storage_returns_what_was_saved_and_refuses_what_it_cannot_read() {
    let folder = std::env::temp_dir().join(format!("silvertack-granary-{}", std::process::id()));
    let _ = std::fs::remove_dir_all(&folder);
    let OpenedStorage { mut storage, state } = RaftStorage::open(&folder).expect("a new file");
    assert!(state.is_none());
    let entry =
        |index, term, n| LogEntry { term: Term(term), index: LogIndex(index), payload: command(n) };
    let mut state =
        PersistentState { term: Term(3), voted_for: Some(MemberId(2)), ..initial_state(1, 3) };
    state.log = vec![entry(1, 1, 1), entry(2, 1, 2), entry(3, 1, 3)];
    storage.save(&WriteBatch::new(&state, &UnsavedChanges::all())).expect("saved");
    // A conflicting tail is replaced.
    state.log.truncate(1);
    state.log.push(entry(2, 3, 9));
    let tail = UnsavedChanges { log_from: Some(LogIndex(2)), ..UnsavedChanges::default() };
    storage.save(&WriteBatch::new(&state, &tail)).expect("saved");
    drop(storage);
    let OpenedStorage { storage, state: found } = RaftStorage::open(&folder).expect("again");
    let found = found.expect("kept");
    assert_eq!(
        (found.member_id, found.term, found.voted_for),
        (MemberId(1), Term(3), Some(MemberId(2)))
    );
    assert_eq!(found.log, state.log);
    assert_eq!(found.snapshot, state.snapshot);
    drop(storage);
    let file = folder.join("hedge.sqlite");
    let newer = rusqlite::Connection::open(&file).expect("file");
    newer.execute_batch("PRAGMA user_version = 99").expect("set");
    drop(newer);
    let before = std::fs::read(&file).expect("bytes");
    let refused = RaftStorage::open(&folder).err().expect("a newer format is refused").to_string();
    assert!(refused.contains("newer"), "{refused}");
    assert_eq!(std::fs::read(&file).expect("bytes"), before, "and left as it is");
    std::fs::write(&file, vec![7u8; 8192]).expect("damage");
    assert!(RaftStorage::open(&folder).is_err(), "a damaged file is refused");
    assert_eq!(std::fs::read(&file).expect("bytes"), vec![7u8; 8192], "and left as it is");
    // A list of members that can't be is refused too.
    for wrong in [vec![member(1, true), member(1, true)], vec![member(1, false)]] {
        let _ = std::fs::remove_dir_all(&folder);
        let OpenedStorage { mut storage, .. } = RaftStorage::open(&folder).expect("a new file");
        let snapshot = Snapshot { members: wrong, ..Snapshot::default() };
        let state =
            PersistentState { member_id: MemberId(1), snapshot, ..PersistentState::default() };
        storage.save(&WriteBatch::new(&state, &UnsavedChanges::all())).expect("saved");
        drop(storage);
        let refused = RaftStorage::open(&folder).err().expect("refused").to_string();
        assert!(refused.contains("twice or has no voter"), "{refused}");
    }
    // A member's state that is gone is not taken for a new disk; an empty folder is.
    let _ = std::fs::remove_dir_all(&folder);
    let InitializedStorage { storage, state: first, restarted: old } =
        RaftStorage::open_or_initialize(&folder, || initial_state(1, 3)).expect("founded");
    assert!(!old && first.member_id == MemberId(1));
    drop(storage);
    let InitializedStorage { storage, state: again, restarted: old } =
        RaftStorage::open_or_initialize(&folder, || initial_state(2, 3)).expect("again");
    assert!(old && again.member_id == MemberId(1), "what is on disk wins");
    drop(storage);
    for name in ["hedge.sqlite", "hedge.sqlite-wal"] {
        let _ = std::fs::remove_file(folder.join(name));
    }
    let refused = RaftStorage::open_or_initialize(&folder, || initial_state(2, 3))
        .err()
        .expect("refused")
        .to_string();
    assert!(refused.contains("is gone"), "{refused}");
    let _ = std::fs::remove_dir_all(&folder);
}

#[test]
#[expect(clippy::too_many_lines, reason = "one scenario, told in order")]
fn no_message_leaves_before_what_it_promises_is_on_disk() {
    let now = Tick(5_000);
    let mut raft = RaftNode::new(initial_state(2, 3), false, now, || 10);
    let mut persister = LogPersister::default();
    let message = |term, kind| RaftMessage { from: MemberId(1), term: Term(term), kind };
    let append = |entries, sent_at| RaftMessageKind::AppendEntries {
        previous: LogPosition::new(Term(0), LogIndex(0)),
        entries,
        commit_index: LogIndex(0),
        sent_at,
    };
    let entry = LogEntry { term: Term(4), index: LogIndex(1), payload: command(1) };
    let acked = |out: &[(MemberId, RaftMessage)]| -> Vec<u64> {
        out.iter()
            .filter_map(|(_, m)| match m.kind {
                RaftMessageKind::AppendResponse {
                    match_index: last_index, success: true, ..
                } => Some(last_index.0),
                _ => None,
            })
            .collect()
    };
    // A new term and an entry: both go to the disk, and no message leaves meanwhile.
    raft.step(message(4, append(vec![entry], 1)), now);
    assert!(persister.take_sendable(&mut raft).is_empty());
    assert!(
        persister.begin_write(&mut raft, now).is_some()
            && persister.begin_write(&mut raft, now).is_none()
    );
    raft.step(message(4, append(vec![], 2)), now.plus(100));
    assert!(persister.take_sendable(&mut raft).is_empty(), "the term is not on disk");
    // The disk refuses: the same goes there again, and still nothing was promised.
    assert!(persister.end_write(&mut raft, WriteOutcome::Failed, now.plus(110)).is_empty());
    assert!(
        persister.is_storage_failing(now.plus(110))
            && persister.begin_write(&mut raft, now.plus(120)).is_none()
    );
    assert!(persister.begin_write(&mut raft, now.plus(400)).is_some());
    let freed = persister.end_write(&mut raft, WriteOutcome::Durable, now.plus(401));
    assert_eq!(acked(&freed), [0], "a heartbeat's answer, as of when it came");
    assert_eq!(acked(&persister.take_sendable(&mut raft)), [1], "and the entry once it is there");
    // From here on only entries wait: a heartbeat is answered while the disk stalls.
    let second = LogEntry { term: Term(4), index: LogIndex(2), payload: command(2) };
    let previous = LogPosition::new(Term(4), LogIndex(1));
    let kind = RaftMessageKind::AppendEntries {
        previous,
        entries: vec![second],
        commit_index: LogIndex(0),
        sent_at: 3,
    };
    raft.step(message(4, kind), now.plus(500));
    assert!(persister.begin_write(&mut raft, now.plus(500)).is_some());
    let kind = RaftMessageKind::AppendEntries {
        previous: LogPosition::new(Term(4), LogIndex(2)),
        entries: vec![],
        commit_index: LogIndex(0),
        sent_at: 4,
    };
    raft.step(message(4, kind), now.plus(900));
    assert_eq!(acked(&persister.take_sendable(&mut raft)), [1]);
    assert!(
        !persister.is_storage_failing(now.plus(900))
            && persister.is_storage_failing(now.plus(1_400)),
        "stalled"
    );
    persister.end_write(&mut raft, WriteOutcome::Durable, now.plus(1_500));
    assert_eq!(acked(&persister.take_sendable(&mut raft)), [2]);
    assert!(!persister.is_storage_failing(now.plus(1_500)));
}

#[test]
fn a_leader_whose_disk_fails_transfers_its_leadership() {
    let mut controllers = TestCluster::new(4);
    let old = controllers.elect_leader();
    let now = controllers.now;
    controllers.nodes.get_mut(&old).expect("leader").set_storage_failing(true, now);
    controllers.deliver_all();
    for _ in 0..60 {
        controllers.run(10);
        assert!(controllers.leaders().len() <= 1);
    }
    let new = controllers.leaders();
    assert!(new.len() == 1 && new != [old], "{new:?}");
    // The one with the failing disk starts no election, even when nobody else can lead.
    controllers.partitioned.insert(new[0]);
    controllers.run(4_000);
    assert!(!controllers.leaders().contains(&old));
}

#[test]
fn a_leader_commits_only_what_a_quorum_of_disks_holds() {
    let mut controllers = TestCluster::new(3);
    let leader = controllers.elect_leader();
    let others: Vec<u64> = (1..=3).filter(|i| *i != leader).collect();
    let (now, raft) = (controllers.now, controllers.nodes.get_mut(&leader).expect("leader"));
    let before = raft.commit_index;
    let index = raft.propose(command(1), now).expect("taken");
    let term = raft.state.term;
    let kind =
        RaftMessageKind::AppendResponse { match_index: index, success: true, sent_at: now.0 };
    raft.step(RaftMessage { from: MemberId(others[0]), term, kind: kind.clone() }, now);
    assert_eq!(raft.commit_index, before, "one disk of three");
    raft.step(RaftMessage { from: MemberId(others[1]), term, kind }, now);
    assert_eq!(raft.commit_index, index, "two of three, though not its own");
}

#[test]
fn a_restarted_leader_is_elected_at_once_and_nobody_else_is() {
    let mut controllers = TestCluster::new(4);
    let old = controllers.elect_leader();
    // (who restarts, how soon somebody may lead, whether it must be the old leader)
    for (who, all) in [("the leader", false), ("everybody", true)] {
        let ids: Vec<u64> = if all { (1..=4).collect() } else { vec![old] };
        for id in ids {
            controllers.restart(id);
        }
        controllers.network.clear();
        controllers.run(200);
        assert_eq!(controllers.leaders(), [old], "{who}");
        controllers.run(1_000);
    }
    // Without that leader the others wait no longer than its lease could have lasted.
    controllers.partitioned.insert(old);
    for id in (1..=4).filter(|i| *i != old) {
        controllers.restart(id);
    }
    controllers.network.clear();
    controllers.run(400);
    assert!(controllers.leaders().is_empty());
    controllers.run(300);
    let new = controllers.leaders();
    assert!(new.len() == 1 && new != [old], "{new:?}");
    controllers.partitioned.clear();
    controllers.run(1_000);
    // One that led a term before the newest is not elected at once.
    let old = new[0];
    let term = controllers.nodes[&old].state.term;
    let voter = (1..=4).find(|i| *i != old).expect("another");
    let (now, last) = (controllers.now, controllers.nodes[&old].last_position());
    for (asked, led, answered) in
        [(term.0, true, false), (term.0 + 1, false, false), (term.0 + 1, true, true)]
    {
        controllers.restart(voter);
        let raft = controllers.nodes.get_mut(&voter).expect("voter");
        let kind = RaftMessageKind::RequestVote {
            pre_vote: true,
            leadership_transfer: false,
            led_previous_term: led,
            last_log: last,
        };
        raft.step(RaftMessage { from: MemberId(old), term: Term(asked), kind }, now);
        assert_eq!(!raft.outbox.is_empty(), answered, "{asked} {led}");
    }
}

#[test]
fn the_queue_of_a_slow_peer_sends_whole_frames_and_a_revoke_first() {
    let mut out = SendQueue::default();
    out.push(vec![1; 4].into());
    out.push(vec![2; 2].into());
    out.advance(1);
    // The first has begun to leave and must be finished.
    out.push_first(vec![9; 2].into());
    let mut left = Vec::new();
    assert_eq!(out.pending_bytes(), 7);
    while let Some(bytes) = out.next_bytes() {
        left.push(bytes[0]);
        out.advance(1);
    }
    assert_eq!(left, [1, 1, 1, 9, 9, 2, 2]);
    assert!(out.is_empty() && out.pending_bytes() == 0);
    out.push(vec![3].into());
    out.push_first(vec![4].into());
    assert_eq!(out.next_bytes(), Some(&[4][..]));
}

#[test]
fn a_torn_write_is_recovered_up_to_what_was_synced_or_refused() {
    let base = std::env::temp_dir().join(format!("silvertack-torn-{}", std::process::id()));
    let (whole, torn) = (base.join("whole"), base.join("torn"));
    let _ = std::fs::remove_dir_all(&base);
    let InitializedStorage { mut storage, mut state, .. } =
        RaftStorage::open_or_initialize(&whole, || initial_state(1, 3)).expect("founded");
    let wal = whole.join("hedge.sqlite-wal");
    // What the file of the journal held after each write that was confirmed.
    let mut synced = vec![std::fs::metadata(&wal).map_or(0, |m| m.len())];
    for n in 1..=3u64 {
        state.log.push(LogEntry { term: Term(1), index: LogIndex(n), payload: command(n as u8) });
        let unsaved = UnsavedChanges { log_from: Some(LogIndex(n)), ..UnsavedChanges::default() };
        storage.save(&WriteBatch::new(&state, &unsaved)).expect("saved");
        synced.push(std::fs::metadata(&wal).expect("journal").len());
    }
    let journal = std::fs::read(&wal).expect("journal");
    // (bytes that reached the disk, how many of them are garbage, entries that must be there)
    let cases = [
        (synced[3], 0, 3),
        (synced[3] - 100, 0, 2),
        (synced[3], 300, 2),
        (synced[2] + 24, 0, 2),
        (synced[1], 0, 1),
    ];
    for (length, garbage, entries) in cases {
        let _ = std::fs::remove_dir_all(&torn);
        std::fs::create_dir_all(&torn).expect("folder");
        for name in ["hedge.sqlite", "member"] {
            std::fs::copy(whole.join(name), torn.join(name)).expect("copied");
        }
        let mut bytes = journal[..length as usize].to_vec();
        let from = bytes.len() - garbage;
        bytes[from..].fill(0x5a);
        std::fs::write(torn.join("hedge.sqlite-wal"), bytes).expect("torn");
        let OpenedStorage { state: found, .. } = RaftStorage::open(&torn).expect("recovered");
        assert_eq!(found.expect("kept").log.len(), entries, "{length} bytes, {garbage} garbage");
    }
    // With nothing of it left, it is not taken for a new disk.
    std::fs::write(torn.join("hedge.sqlite-wal"), b"").expect("gone");
    std::fs::write(torn.join("hedge.sqlite"), b"").expect("gone");
    assert!(RaftStorage::open(&torn).err().expect("refused").to_string().contains("is gone"));
    let _ = std::fs::remove_dir_all(&base);
}

/// Entries of these terms, from index 1 on.
fn log_of(terms: &[u64]) -> Vec<LogEntry> {
    let entry = |(term, index): (&u64, u64)| LogEntry {
        term: Term(*term),
        index: LogIndex(index),
        payload: command(index as u8),
    };
    terms.iter().zip(1..).map(entry).collect()
}
/// Member 1 of so many voters in this term, with entries of these terms on its disk.
fn replica(voters: u64, term: u64, terms: &[u64]) -> RaftNode {
    let state =
        PersistentState { term: Term(term), log: log_of(terms), ..initial_state(1, voters) };
    RaftNode::new(state, false, Tick(1_000), || 0)
}
fn message(id: u64, term: u64, kind: RaftMessageKind) -> RaftMessage {
    RaftMessage { from: MemberId(id), term: Term(term), kind }
}
fn persist(raft: &mut RaftNode) {
    raft.unsaved = UnsavedChanges::default();
    raft.log_persisted(raft.last_position());
}
/// When member 1 was elected by `elected`.
const ELECTED: Tick = Tick(2_000);
/// Member 1 as the leader of this term; its first entry of that term follows those of the others.
fn elected(voters: u64, term: u64, terms: &[u64]) -> RaftNode {
    let mut raft = replica(voters, term - 1, terms);
    raft.tick(ELECTED);
    for pre_vote in [true, false] {
        for id in 2..=voters {
            raft.step(
                message(id, term, RaftMessageKind::VoteResponse { pre_vote, granted: true }),
                ELECTED,
            );
        }
    }
    assert!(raft.is_leader() && raft.state.term == Term(term));
    persist(&mut raft);
    raft.outbox.clear();
    raft
}
fn append_success(last_index: u64) -> RaftMessageKind {
    RaftMessageKind::AppendResponse {
        match_index: LogIndex(last_index),
        success: true,
        sent_at: ELECTED.0,
    }
}

#[test]
fn a_leader_counts_replicas_only_for_entries_of_its_own_term() {
    // (what, voters, terms of the entries before its own, its term, how far each follower
    // acknowledges, one after the other, the commit index after each)
    type Case = (&'static str, u64, &'static [u64], u64, &'static [u64], &'static [u64]);
    let cases: [Case; 4] = [
        ("figure 8: an entry of term 2 on most disks", 5, &[1, 2], 4, &[2, 2, 2, 2], &[0; 4]),
        ("and with one of its own term behind it", 5, &[1, 2], 4, &[3, 2, 3], &[0, 0, 3]),
        ("three voters", 3, &[1, 1, 3], 7, &[3, 4], &[0, 4]),
        ("nothing of older terms", 3, &[], 1, &[1], &[1]),
    ];
    for (what, voters, terms, term, acknowledged, commits) in cases {
        let mut leader = elected(voters, term, terms);
        for (id, (last_index, commit)) in (2..).zip(acknowledged.iter().zip(commits)) {
            leader.step(message(id, term, append_success(*last_index)), ELECTED);
            assert_eq!(
                leader.commit_index,
                LogIndex(*commit),
                "{what}: member {id} has {last_index}"
            );
        }
    }
}

/// The answers to candidates that leave: of a pre-vote or not, granted or not, and their term.
fn votes_of(raft: &mut RaftNode) -> Vec<(bool, bool, u64)> {
    let out = raft.outbox.drain(..);
    out.filter_map(|(_, m)| match m.kind {
        RaftMessageKind::VoteResponse { pre_vote, granted } => Some((pre_vote, granted, m.term.0)),
        _ => None,
    })
    .collect()
}

#[test]
fn a_vote_goes_once_in_a_term_to_a_candidate_whose_log_is_up_to_date() {
    let log: &[u64] = &[1, 3, 3];
    // (what, whom the voter, in term 5, voted for, the candidate's term, term and index of its last
    // entry, whether it gets the vote, the voter's term afterwards)
    type Case = (&'static str, Option<u64>, u64, (u64, u64), bool, u64);
    let cases: [Case; 11] = [
        ("the same log", None, 5, (3, 3), true, 5),
        ("a longer log of the same last term", None, 5, (3, 4), true, 5),
        ("a shorter log of the same last term", None, 5, (3, 2), false, 5),
        ("a shorter log of a later last term", None, 5, (4, 2), true, 5),
        ("a longer log of an earlier last term", None, 5, (2, 9), false, 5),
        ("an empty log", None, 6, (0, 0), false, 6),
        ("asked again by the same one", Some(2), 5, (3, 3), true, 5),
        ("a second candidate in the term", Some(3), 5, (4, 9), false, 5),
        ("a vote of an earlier term binds no more", Some(3), 6, (3, 3), true, 6),
        ("a candidate of an earlier term", None, 4, (4, 9), false, 5),
        ("its own term's candidate is itself", Some(1), 5, (4, 9), false, 5),
    ];
    for (what, voted, term, last, granted, after) in cases {
        let mut voter = replica(3, 5, log);
        voter.state.voted_for = voted.map(MemberId);
        let last = LogPosition::new(Term(last.0), LogIndex(last.1));
        let ask = |pre_vote| RaftMessageKind::RequestVote {
            pre_vote,
            leadership_transfer: false,
            led_previous_term: false,
            last_log: last,
        };
        voter.step(message(2, term, ask(false)), ELECTED);
        assert_eq!(votes_of(&mut voter), [(false, granted, after)], "{what}");
        assert_eq!(voter.state.term, Term(after), "{what}");
        if granted {
            assert_eq!(voter.state.voted_for, Some(MemberId(2)), "{what}");
            let new = voted != Some(2) || after > 5;
            assert!(voter.unsaved.hard_state || !new, "{what}: the vote goes to the disk");
            // From now on this term's vote is spent.
            voter.step(message(3, term, ask(false)), ELECTED);
            assert_eq!(votes_of(&mut voter), [(false, false, after)], "{what}: a second one");
        }
        // A pre-vote goes by the log alone, spends nothing, and is for a later term only.
        let mut voter = replica(3, 5, log);
        voter.state.voted_for = voted.map(MemberId);
        voter.step(message(2, 5, ask(true)), ELECTED);
        assert_eq!(votes_of(&mut voter), [(true, false, 5)], "{what}: pre-vote of this term");
        voter.step(message(2, 6, ask(true)), ELECTED);
        let current = last >= LogPosition::new(Term(3), LogIndex(3));
        let at = if current { 6 } else { 5 };
        assert_eq!(votes_of(&mut voter), [(true, current, at)], "{what}: pre-vote");
        assert_eq!((voter.state.term.0, voter.state.voted_for), (5, voted.map(MemberId)), "{what}");
        assert!(!voter.unsaved.hard_state, "{what}");
    }
}

#[test]
fn a_member_with_a_current_leader_grants_no_vote() {
    let heartbeat = RaftMessageKind::AppendEntries {
        previous: LogPosition::new(Term(0), LogIndex(0)),
        entries: Vec::new(),
        commit_index: LogIndex(0),
        sent_at: 1,
    };
    // (milliseconds since the follower heard its leader, the leader itself asked for the election,
    // whether the follower answers)
    let cases = [
        (0, false, false),
        (MIN_ELECTION_TIMEOUT_MS - 1, false, false),
        (MIN_ELECTION_TIMEOUT_MS - 1, true, true),
        (MIN_ELECTION_TIMEOUT_MS, false, true),
    ];
    for (since, leadership_transfer, answers) in cases {
        for pre_vote in [true, false] {
            let what = format!("{since} ms, handover {leadership_transfer}, pre-vote {pre_vote}");
            let mut follower = replica(3, 5, &[1]);
            follower.step(message(2, 5, heartbeat.clone()), ELECTED);
            persist(&mut follower);
            follower.outbox.clear();
            let last = LogPosition::new(Term(5), LogIndex(9));
            let ask = RaftMessageKind::RequestVote {
                pre_vote,
                leadership_transfer,
                led_previous_term: false,
                last_log: last,
            };
            follower.step(message(3, 6, ask.clone()), ELECTED.plus(since));
            let expected = if answers { vec![(pre_vote, true, 6)] } else { vec![] };
            assert_eq!(votes_of(&mut follower), expected, "{what}");
            let moved = answers && !pre_vote;
            assert_eq!(follower.state.term, Term(if moved { 6 } else { 5 }), "{what}");
            // A leader answers so too, by when a quorum last answered it.
            let mut leader = elected(3, 5, &[1]);
            leader.step(message(2, 5, append_success(2)), ELECTED);
            leader.step(message(3, 6, ask), ELECTED.plus(since));
            assert_eq!(votes_of(&mut leader), expected, "{what}: leader");
            assert_eq!(leader.is_leader(), !moved, "{what}");
        }
    }
    // In a term whose leader it knows it votes no more, however long that one has been silent.
    let mut follower = replica(3, 5, &[1]);
    follower.step(message(2, 5, heartbeat), ELECTED);
    follower.outbox.clear();
    let last = LogPosition::new(Term(4), LogIndex(9));
    let ask = RaftMessageKind::RequestVote {
        pre_vote: false,
        leadership_transfer: false,
        led_previous_term: false,
        last_log: last,
    };
    follower.step(message(3, 5, ask), ELECTED.plus(60_000));
    assert_eq!(votes_of(&mut follower), [(false, false, 5)]);
    assert_eq!((follower.leader, follower.state.voted_for), (Some(MemberId(2)), None));
}

#[test]
fn a_candidate_counts_votes_of_its_own_term_and_kind_only() {
    // (what, the answer is to a pre-vote, granted, its term, whether the candidate of term 6 leads)
    let cases = [
        ("a vote", false, true, 6, true),
        ("a vote of the term before", false, true, 5, false),
        ("a vote of a later term", false, true, 7, false),
        ("a pre-vote", true, true, 6, false),
        ("a pre-vote of the next term", true, true, 7, false),
        ("a refusal", false, false, 6, false),
        ("a refusal of the term before", false, false, 5, false),
    ];
    for (what, pre_vote, granted, term, leads) in cases {
        let mut candidate = replica(3, 5, &[1]);
        candidate.tick(ELECTED);
        assert_eq!(candidate.state.term, Term(5), "a pre-vote moves no term");
        // Nothing but a granted pre-vote for the next term moves it.
        for (pre_vote, granted, term) in [(true, true, 5), (true, false, 5), (false, true, 6)] {
            candidate.step(
                message(2, term, RaftMessageKind::VoteResponse { pre_vote, granted }),
                ELECTED,
            );
            assert_eq!(candidate.state.term, Term(5), "{pre_vote} {granted} {term}");
        }
        candidate.step(
            message(2, 6, RaftMessageKind::VoteResponse { pre_vote: true, granted: true }),
            ELECTED,
        );
        assert_eq!((candidate.state.term, candidate.state.voted_for), (Term(6), Some(MemberId(1))));
        assert!(
            candidate.unsaved.hard_state && !candidate.is_leader(),
            "{what}: its own vote is kept"
        );
        candidate
            .step(message(3, term, RaftMessageKind::VoteResponse { pre_vote, granted }), ELECTED);
        assert_eq!(candidate.is_leader(), leads, "{what}");
    }
    // One that hears of a later term in a refusal goes there as a follower, with its vote unspent.
    for leads in [false, true] {
        let mut raft = if leads { elected(3, 6, &[1]) } else { replica(3, 5, &[1]) };
        raft.tick(ELECTED);
        raft.step(
            message(3, 9, RaftMessageKind::VoteResponse { pre_vote: false, granted: false }),
            ELECTED,
        );
        assert!(!raft.is_leader());
        assert_eq!((raft.state.term, raft.state.voted_for), (Term(9), None), "leads: {leads}");
        raft.step(
            message(2, 6, RaftMessageKind::VoteResponse { pre_vote: true, granted: true }),
            ELECTED,
        );
        assert_eq!(raft.state.term, Term(9), "it is no candidate any more");
    }
}

/// The terms of the entries that a member holds in its log.
fn terms_of(raft: &RaftNode) -> Vec<u64> {
    raft.state.log.iter().map(|e| e.term.0).collect()
}

#[test]
fn a_follower_takes_entries_only_where_its_log_agrees_with_the_leaders() {
    // (what, term of the Append, the entry before it, terms of its entries, the leader's commit
    // index; the log afterwards, the commit index, whether it says yes, up to where). The follower
    // in term 4 holds entries of terms 1, 1, 2, 2, of which the first is committed.
    type Append = (u64, (u64, u64), &'static [u64], u64);
    type Case = (&'static str, Append, &'static [u64], u64, (bool, u64));
    let cases: [Case; 12] = [
        ("the next entry", (4, (2, 4), &[4], 2), &[1, 1, 2, 2, 4], 2, (true, 5)),
        ("a conflicting suffix is replaced", (4, (1, 2), &[3], 0), &[1, 1, 3], 1, (true, 3)),
        ("in its middle", (4, (1, 2), &[2, 4, 4], 0), &[1, 1, 2, 4, 4], 1, (true, 5)),
        ("one that came late shortens nothing", (4, (1, 1), &[1], 1), &[1, 1, 2, 2], 1, (true, 2)),
        ("a heartbeat shortens nothing", (4, (1, 1), &[], 1), &[1, 1, 2, 2], 1, (true, 1)),
        ("the entry before is of another term", (4, (3, 3), &[4], 4), &[1, 1, 2, 2], 1, (false, 2)),
        ("and of an earlier one", (4, (1, 3), &[4], 4), &[1, 1, 2, 2], 1, (false, 2)),
        ("the entry before is missing", (4, (4, 6), &[4], 6), &[1, 1, 2, 2], 1, (false, 4)),
        (
            "commit ends with the last entry that agrees",
            (4, (1, 2), &[], 4),
            &[1, 1, 2, 2],
            2,
            (true, 2),
        ),
        (
            "commit ends with the last new entry",
            (4, (2, 4), &[4], 9),
            &[1, 1, 2, 2, 4],
            5,
            (true, 5),
        ),
        ("commit never moves back", (4, (2, 4), &[], 0), &[1, 1, 2, 2], 1, (true, 4)),
        ("a leader of an earlier term", (3, (1, 2), &[3], 3), &[1, 1, 2, 2], 1, (false, 0)),
    ];
    for (what, (term, previous, terms, commit), log, committed, answer) in cases {
        let mut follower = replica(3, 4, &[1, 1, 2, 2]);
        let append = |previous: (u64, u64), terms: &[u64], commit| {
            let (previous, commit) =
                (LogPosition::new(Term(previous.0), LogIndex(previous.1)), LogIndex(commit));
            let place = |entry: LogEntry| LogEntry {
                index: LogIndex(previous.index.0 + entry.index.0),
                ..entry
            };
            let entries = log_of(terms).into_iter().map(place).collect();
            RaftMessageKind::AppendEntries { previous, entries, commit_index: commit, sent_at: 7 }
        };
        follower.step(message(3, 4, append((1, 1), &[], 1)), ELECTED);
        follower.outbox.clear();
        follower.step(message(2, term, append(previous, terms, commit)), ELECTED);
        persist(&mut follower);
        assert_eq!(terms_of(&follower), log, "{what}");
        assert_eq!(follower.commit_index, LogIndex(committed), "{what}");
        let last = follower.outbox.pop().map(|(to, m)| (to, m.term, m.kind));
        let sent_at = if term < 4 { 0 } else { 7 };
        let kind = RaftMessageKind::AppendResponse {
            match_index: LogIndex(answer.1),
            success: answer.0,
            sent_at,
        };
        assert_eq!(last, Some((MemberId(2), Term(4), kind)), "{what}");
        let leader = if term < 4 { 3 } else { 2 };
        assert_eq!(follower.leader, Some(MemberId(leader)), "{what}");
    }
}

#[test]
fn a_follower_acknowledges_what_its_disk_has_of_this_leaders_log() {
    let entries = |from: u64, terms: &[u64]| -> Vec<LogEntry> {
        let place = |e: LogEntry| LogEntry { index: LogIndex(from + e.index.0 - 1), ..e };
        log_of(terms).into_iter().map(place).collect()
    };
    let append = |previous: (u64, u64), entries| RaftMessageKind::AppendEntries {
        previous: LogPosition::new(Term(previous.0), LogIndex(previous.1)),
        entries,
        commit_index: LogIndex(0),
        sent_at: 7,
    };
    let acknowledged = |raft: &mut RaftNode| -> Vec<(u64, u64)> {
        let out = raft.outbox.drain(..);
        out.filter_map(|(to, m)| match m.kind {
            RaftMessageKind::AppendResponse { match_index: last_index, success: true, .. } => {
                Some((to.0, last_index.0))
            }
            _ => None,
        })
        .collect()
    };
    // A heartbeat vouches only for the entry before it, not for what the log has behind.
    let mut follower = replica(3, 4, &[1, 1, 2, 2]);
    follower.step(message(2, 4, append((1, 2), vec![])), ELECTED);
    assert_eq!(acknowledged(&mut follower), [(2, 2)]);
    // A suffix that replaces another is not on disk because the one before was.
    follower.step(message(2, 4, append((1, 2), entries(3, &[4, 4]))), ELECTED);
    assert_eq!(acknowledged(&mut follower), []);
    // Nor when a write of the old suffix ends; and as soon as its own write does.
    follower.log_persisted(LogPosition::new(Term(2), LogIndex(4)));
    assert_eq!(acknowledged(&mut follower), [(2, 2)]);
    follower.log_persisted(LogPosition::new(Term(4), LogIndex(3)));
    assert_eq!(acknowledged(&mut follower), [(2, 3)]);
    follower.log_persisted(LogPosition::new(Term(4), LogIndex(4)));
    assert_eq!(acknowledged(&mut follower), [(2, 4)]);
    // What an earlier term's leader still waits for is not told to anyone in the next.
    follower.step(message(2, 4, append((4, 4), entries(5, &[4]))), ELECTED);
    acknowledged(&mut follower);
    follower.step(message(2, 5, append((4, 2), vec![])), ELECTED);
    acknowledged(&mut follower);
    follower.log_persisted(LogPosition::new(Term(4), LogIndex(5)));
    assert_eq!(acknowledged(&mut follower), [], "nothing is owed in the new term");
}

#[test]
fn a_leader_counts_an_acknowledgement_of_its_own_term_only() {
    // (what, term of the answer, its yes, up to where, commit index and whether it leads afterwards)
    let cases = [
        ("an answer of its term", 5, true, 2, 2, true),
        ("an answer of an earlier term", 4, true, 2, 0, true),
        ("a no", 5, false, 2, 0, true),
        ("a no of an earlier term", 4, false, 2, 0, true),
        ("an answer of a later term", 6, true, 2, 0, false),
        ("a no of a later term", 6, false, 0, 0, false),
    ];
    for (what, term, ok, last_index, commit, leads) in cases {
        let mut leader = elected(3, 5, &[1]);
        let answer = RaftMessageKind::AppendResponse {
            match_index: LogIndex(last_index),
            success: ok,
            sent_at: ELECTED.0,
        };
        leader.step(message(2, term, answer), ELECTED);
        assert_eq!((leader.commit_index, leader.is_leader()), (LogIndex(commit), leads), "{what}");
        let fresh = leads && term == 5;
        assert_eq!(leader.holds_leader_lease(ELECTED.plus(10)), fresh && commit == 2, "{what}");
        assert_eq!(leader.state.term, Term(term.max(5)), "{what}");
    }
    // What answers a part keeps a leader's quorum fresh in its own term only.
    for (term, fresh) in [(5, true), (4, false)] {
        let mut leader = elected(3, 5, &[]);
        leader.step(message(2, 5, append_success(1)), ELECTED);
        let later = ELECTED.plus(440);
        let taken =
            RaftMessageKind::ChunkResponse { transfer_id: 1, received: 0, sent_at: later.0 };
        leader.step(message(2, term, taken), later);
        assert!(leader.holds_leader_lease(later));
        assert_eq!(leader.holds_leader_lease(ELECTED.plus(500)), fresh, "a part of term {term}");
    }
    // An answer that comes late takes back nothing that was acknowledged before it.
    let mut leader = elected(5, 5, &[1]);
    for (id, last_index, commit) in [(2, 2, 0), (2, 1, 0), (3, 2, 2)] {
        leader.step(message(id, 5, append_success(last_index)), ELECTED);
        assert_eq!(leader.commit_index, LogIndex(commit), "member {id} has {last_index}");
    }
    // One from a time to come is of another life's clock, and makes no quorum fresh.
    let mut leader = elected(3, 5, &[1]);
    let answer = RaftMessageKind::AppendResponse {
        match_index: LogIndex(2),
        success: true,
        sent_at: ELECTED.0 + 5_000,
    };
    leader.step(message(2, 5, answer), ELECTED);
    assert_eq!(leader.commit_index, LogIndex(2));
    assert!(!leader.holds_leader_lease(ELECTED.plus(4_900)));
}

#[test]
fn a_snapshot_replaces_what_it_covers_and_nothing_newer() {
    // (what, term of the leader, term and index of the snapshot's last entry, the log afterwards,
    // the commit index, whether the snapshot is taken). The follower in term 4 holds entries of
    // terms 1, 1, 2, 2, of which two are committed.
    type Case = (&'static str, u64, (u64, u64), &'static [u64], u64, bool);
    let cases: [Case; 7] = [
        ("it ends behind the log", 4, (3, 6), &[], 6, true),
        ("it ends with the log", 4, (2, 4), &[], 4, true),
        ("the log agrees at its end and goes on", 4, (2, 3), &[2], 3, true),
        ("the log is of another term at its end", 4, (3, 3), &[], 3, true),
        ("it ends at the commit index", 4, (1, 2), &[1, 1, 2, 2], 2, false),
        ("it ends before the commit index", 4, (1, 1), &[1, 1, 2, 2], 2, false),
        ("it is of an earlier term's leader", 3, (3, 6), &[1, 1, 2, 2], 2, false),
    ];
    for (what, term, last, log, commit, taken) in cases {
        let mut follower = replica(3, 4, &[1, 1, 2, 2]);
        let (previous, committed) = (LogPosition::new(Term(1), LogIndex(2)), LogIndex(2));
        let entries = Vec::new();
        let heartbeat = RaftMessageKind::AppendEntries {
            previous,
            entries,
            commit_index: committed,
            sent_at: 1,
        };
        follower.step(message(2, 4, heartbeat), ELECTED);
        follower.outbox.clear();
        let members: Vec<Member> = (1..=4).map(|id| member(id, true)).collect();
        let state = ByteBuf::from(vec![42]);
        let last_index = LogIndex(last.1);
        let snapshot =
            Snapshot { last_included: LogPosition::new(Term(last.0), last_index), members, state };
        follower.step(
            message(2, term, RaftMessageKind::InstallSnapshot { snapshot, sent_at: 7 }),
            ELECTED,
        );
        assert_eq!(
            follower.outbox.is_empty(),
            taken,
            "{what}: not acknowledged before it is on disk"
        );
        assert_eq!(follower.unsaved.snapshot, taken, "{what}");
        persist(&mut follower);
        let (ok, sent_at) = if term == 4 { (true, 7) } else { (false, 0) };
        let kind = RaftMessageKind::AppendResponse {
            match_index: if ok { last_index } else { LogIndex(0) },
            success: ok,
            sent_at,
        };
        assert_eq!(follower.outbox.pop().map(|(_, m)| m.kind), Some(kind), "{what}");
        assert_eq!(terms_of(&follower), log, "{what}");
        assert_eq!(follower.commit_index, LogIndex(commit), "{what}");
        assert_eq!(follower.state.snapshot.state.len(), usize::from(taken), "{what}");
        assert_eq!(follower.members().len(), if taken { 4 } else { 3 }, "{what}: members");
    }
}

#[test]
fn the_members_are_those_of_the_newest_membership_entry_still_in_the_log() {
    let listed = |term, index, voters| LogEntry {
        term: Term(term),
        index: LogIndex(index),
        payload: EntryPayload::Membership((1..=voters).map(|id| member(id, true)).collect()),
    };
    let append = |previous: (u64, u64), entries| RaftMessageKind::AppendEntries {
        previous: LogPosition::new(Term(previous.0), LogIndex(previous.1)),
        entries,
        commit_index: LogIndex(0),
        sent_at: 1,
    };
    // A list counts from when it is in the log, and no more once another leader replaced it.
    let mut follower = replica(3, 4, &[1, 1]);
    follower.step(message(2, 4, append((1, 2), vec![listed(4, 3, 4)])), ELECTED);
    assert_eq!(follower.members().len(), 4);
    let other = LogEntry { term: Term(5), index: LogIndex(3), payload: EntryPayload::NoOp };
    follower.step(message(3, 5, append((1, 2), vec![other])), ELECTED);
    assert_eq!((follower.members().len(), terms_of(&follower)), (3, vec![1, 1, 5]));
    // A snapshot holds the list as of its last entry, not one that came later.
    let mut leader = elected(1, 5, &[]);
    leader.propose(EntryPayload::Command(ByteBuf::from(vec![0; 2 << 20])), ELECTED);
    persist(&mut leader);
    let commit = leader.commit_index;
    leader.propose(EntryPayload::Membership((1..=2).map(|id| member(id, true)).collect()), ELECTED);
    leader.compact_log(commit, || vec![42]);
    assert_eq!(leader.state.snapshot.last_included, LogPosition::new(Term(5), commit));
    assert_eq!((leader.state.snapshot.members.len(), leader.members().len()), (1, 2));
}

#[test]
fn only_a_voter_asked_by_its_leader_campaigns_at_once() {
    // (what, whether it votes, who asks it to take over, in which term, whether it stands). The
    // leader of term 5 is member 2.
    let cases = [
        ("its leader", true, 2, 5, true),
        ("one that is not its leader", true, 3, 5, false),
        ("its leader, in an earlier term", true, 2, 4, false),
        ("its leader, in a term that it has not heard of", true, 2, 6, false),
        ("its leader, but it is a learner", false, 2, 5, false),
    ];
    for (what, votes, from, term, stands) in cases {
        let members: Vec<Member> = (1..=4).map(|id| member(id, id != 1 || votes)).collect();
        let snapshot = Snapshot { members, ..Snapshot::default() };
        let state = PersistentState {
            member_id: MemberId(1),
            term: Term(5),
            snapshot,
            ..PersistentState::default()
        };
        let mut raft = RaftNode::new(state, false, Tick(1_000), || 0);
        let (previous, commit) = (LogPosition::new(Term(0), LogIndex(0)), LogIndex(0));
        let heartbeat = RaftMessageKind::AppendEntries {
            previous,
            entries: Vec::new(),
            commit_index: commit,
            sent_at: 1,
        };
        raft.step(message(2, 5, heartbeat), ELECTED);
        raft.outbox.clear();
        raft.step(message(from, term, RaftMessageKind::TimeoutNow), ELECTED);
        let asked = raft
            .outbox
            .iter()
            .filter(|(_, m)| matches!(m.kind, RaftMessageKind::RequestVote { .. }));
        assert_eq!(asked.count(), if stands { 3 } else { 0 }, "{what}");
        assert_eq!(raft.state.term, Term(if stands { 6 } else { 5 }), "{what}");
        // Nor does a learner when it has heard of no leader for long.
        raft.outbox.clear();
        raft.tick(ELECTED.plus(60_000));
        assert_eq!(raft.outbox.is_empty(), !votes, "{what}: after a silence");
    }
}

#[test]
fn a_leader_answers_reads_and_holds_a_lease_only_with_a_committed_entry_of_its_term() {
    // (what, terms of the entries before its own, how far a follower acknowledges, whether it may)
    let cases: [(&str, &[u64], Option<u64>, bool); 6] = [
        ("nobody answers", &[1, 1], None, false),
        ("the entries of earlier terms are on most disks", &[1, 1], Some(2), false),
        ("its own is", &[1, 1], Some(3), true),
        ("an empty log, and nobody answers", &[], None, false),
        ("an empty log, nothing is acknowledged", &[], Some(0), false),
        ("an empty log, its own entry is acknowledged", &[], Some(1), true),
    ];
    for (what, terms, acknowledged, may) in cases {
        let mut leader = elected(3, 5, terms);
        if let Some(last_index) = acknowledged {
            leader.step(message(2, 5, append_success(last_index)), ELECTED);
        }
        let now = ELECTED.plus(10);
        assert_eq!(leader.holds_leader_lease(now), may, "{what}");
        let read = leader.read_index(now);
        assert_eq!(read.map(|r| r.index), may.then_some(leader.commit_index), "{what}");
    }
}

#[test]
fn a_vote_is_sent_only_once_it_is_on_disk_however_often_a_write_fails() {
    for failed in [0, 1, 3] {
        let mut storage = RaftStorage::in_memory().expect("in memory");
        let (mut voter, mut persister, mut now) =
            (replica(3, 5, &[1]), LogPersister::default(), ELECTED);
        let last = LogPosition::new(Term(1), LogIndex(1));
        let ask = RaftMessageKind::RequestVote {
            pre_vote: false,
            leadership_transfer: false,
            led_previous_term: false,
            last_log: last,
        };
        voter.step(message(2, 6, ask), now);
        assert!(persister.take_sendable(&mut voter).is_empty(), "{failed} writes fail");
        for _ in 0..failed {
            now = now.plus(1_000);
            assert!(persister.begin_write(&mut voter, now).is_some(), "{failed} writes fail");
            assert!(persister.take_sendable(&mut voter).is_empty(), "{failed} writes fail");
            assert!(
                persister.end_write(&mut voter, WriteOutcome::Failed, now).is_empty(),
                "{failed} writes fail"
            );
            assert!(persister.take_sendable(&mut voter).is_empty(), "{failed} writes fail");
        }
        now = now.plus(1_000);
        let batch =
            persister.begin_write(&mut voter, now).expect("the vote is still to be written");
        assert!(persister.take_sendable(&mut voter).is_empty(), "{failed} writes fail");
        storage.save(&batch).expect("saved");
        let left: Vec<RaftMessageKind> = persister
            .end_write(&mut voter, WriteOutcome::Durable, now)
            .into_iter()
            .map(|(_, m)| m.kind)
            .collect();
        assert_eq!(left, [RaftMessageKind::VoteResponse { pre_vote: false, granted: true }]);
        let on_disk = storage.load().expect("read").expect("kept");
        assert_eq!((on_disk.term, on_disk.voted_for), (Term(6), Some(MemberId(2))));
    }
}

#[test]
fn a_candidate_reports_its_leadership_of_the_previous_term_only() {
    // (the last term that it led, whether it tells voters that nobody leads the term before 6)
    for (led, says) in [(None, false), (Some(3), false), (Some(4), false), (Some(5), true)] {
        let led = led.map(Term);
        let state = PersistentState {
            term: Term(5),
            last_led_term: led,
            log: log_of(&[1, 5]),
            ..initial_state(1, 3)
        };
        let mut candidate = RaftNode::new(state, false, Tick(1_000), || 0);
        candidate.tick(ELECTED);
        candidate.step(
            message(2, 6, RaftMessageKind::VoteResponse { pre_vote: true, granted: true }),
            ELECTED,
        );
        let last = LogPosition::new(Term(5), LogIndex(2));
        let ask = |pre_vote| RaftMessageKind::RequestVote {
            pre_vote,
            leadership_transfer: false,
            led_previous_term: says,
            last_log: last,
        };
        let asked: Vec<(u64, RaftMessage)> =
            candidate.outbox.drain(..).map(|(to, m)| (to.0, m)).collect();
        let expected = [(2, true), (3, true), (2, false), (3, false)];
        assert_eq!(
            asked,
            expected.map(|(to, pre_vote)| (to, message(1, 6, ask(pre_vote)))),
            "{led:?}"
        );
    }
}

#[test]
fn a_leader_sends_the_next_chunk_only_when_the_newest_one_is_answered() {
    // (what, term of the answer, how much later a transfer it names, how long before the part was
    // sent what it answers was, whether the next part follows)
    let cases = [
        ("the part", 5, 0, 0, true),
        ("a part of another transfer", 5, 1, 0, false),
        ("something sent before the part", 5, 0, 1, false),
        ("in an earlier term", 4, 0, 0, false),
    ];
    for (what, term, other, before, follows) in cases {
        let mut leader = elected(3, 5, &[]);
        leader.step(message(2, 5, append_success(1)), ELECTED);
        leader.record_peer_layout(MemberId(2), LAYOUT);
        leader.outbox.clear();
        let now = ELECTED.plus(10);
        leader.propose(EntryPayload::Command(ByteBuf::from(vec![0; 100_000])), now);
        let parts = |leader: &mut RaftNode| -> Vec<(u64, u64, u64)> {
            let out = leader.outbox.drain(..).filter(|(to, _)| *to == MemberId(2));
            out.filter_map(|(_, m)| match m.kind {
                RaftMessageKind::Chunk { transfer_id: transfer, offset, bytes, .. } => {
                    Some((transfer, offset, bytes.len() as u64))
                }
                _ => None,
            })
            .collect()
        };
        let first = parts(&mut leader);
        let [(transfer, 0, size)] = first[..] else { panic!("{what}: {first:?}") };
        let sent_at = now.0 - before;
        let taken = RaftMessageKind::ChunkResponse {
            transfer_id: transfer + other,
            received: size,
            sent_at,
        };
        leader.step(message(2, term, taken), now.plus(5));
        let next: Vec<(u64, u64)> = parts(&mut leader).iter().map(|p| (p.0, p.1)).collect();
        assert_eq!(next, if follows { vec![(transfer, size)] } else { vec![] }, "{what}");
    }
}

#[test]
fn a_candidate_follows_a_leader_of_its_term_and_counts_no_votes_any_more() {
    let append = RaftMessageKind::AppendEntries {
        previous: LogPosition::new(Term(0), LogIndex(0)),
        entries: Vec::new(),
        commit_index: LogIndex(0),
        sent_at: 1,
    };
    // (it still asks for pre-votes, the leader's term, whether the vote after it counts, its term)
    let cases =
        [(true, 5, false, 5), (false, 6, false, 6), (true, 4, true, 6), (false, 5, true, 6)];
    for (pre_vote, term, counts, after) in cases {
        let what = format!("pre-vote {pre_vote}, a leader of term {term}");
        let mut candidate = replica(3, 5, &[1]);
        candidate.tick(ELECTED);
        if !pre_vote {
            let granted = RaftMessageKind::VoteResponse { pre_vote: true, granted: true };
            candidate.step(message(2, 6, granted), ELECTED);
        }
        candidate.step(message(2, term, append.clone()), ELECTED);
        assert_eq!(candidate.leader, if counts { None } else { Some(MemberId(2)) }, "{what}");
        candidate.step(
            message(3, 6, RaftMessageKind::VoteResponse { pre_vote, granted: true }),
            ELECTED,
        );
        assert_eq!(candidate.is_leader(), counts && !pre_vote, "{what}");
        assert_eq!(candidate.state.term, Term(after), "{what}");
    }
}

#[test]
fn a_leader_that_no_quorum_answers_steps_down() {
    // (voters, who answers 900 ms after the election, whether it leads 1000 and 1010 ms after it)
    let cases: [(u64, &[u64], [bool; 2]); 6] = [
        (1, &[], [true, true]),
        (3, &[], [true, false]),
        (3, &[2], [true, true]),
        (3, &[3, 2], [true, true]),
        (5, &[4], [true, false]),
        (5, &[4, 3], [true, true]),
    ];
    for (voters, answer, leads) in cases {
        let mut leader = elected(voters, 5, &[1]);
        for id in answer {
            let sent_at = ELECTED.0 + 900;
            let kind = RaftMessageKind::AppendResponse {
                match_index: LogIndex(0),
                success: true,
                sent_at,
            };
            leader.step(message(*id, 5, kind), ELECTED.plus(900));
        }
        for (after, leads) in [1_000, 1_010].into_iter().zip(leads) {
            leader.tick(ELECTED.plus(after));
            assert_eq!(leader.is_leader(), leads, "{voters} voters, {answer:?}, {after} ms");
        }
        assert_eq!(leader.propose(command(9), ELECTED.plus(1_010)).is_some(), leads[1]);
        assert_eq!(leader.state.term, Term(5), "{voters} voters, {answer:?}");
    }
}

#[test]
fn a_snapshot_has_the_term_of_the_last_entry_that_it_covers() {
    let mut log = log_of(&[1, 3, 3]);
    log[0].payload = EntryPayload::Command(ByteBuf::from(vec![0; 2 << 20]));
    let state = PersistentState { term: Term(4), log, ..initial_state(1, 3) };
    let mut follower = RaftNode::new(state, false, Tick(1_000), || 0);
    let append = |previous: (u64, u64)| RaftMessageKind::AppendEntries {
        previous: LogPosition::new(Term(previous.0), LogIndex(previous.1)),
        entries: Vec::new(),
        commit_index: LogIndex(1),
        sent_at: 1,
    };
    follower.step(message(2, 4, append((3, 3))), ELECTED);
    follower.compact_log(follower.commit_index, || vec![42]);
    assert_eq!(follower.state.snapshot.last_included, LogPosition::new(Term(1), LogIndex(1)));
    assert_eq!(
        (terms_of(&follower), follower.last_position()),
        (vec![3, 3], LogPosition::new(Term(3), LogIndex(3)))
    );
    // The entry that the snapshot ends with is agreed on by its term like any other.
    for (previous, agrees) in [((1, 1), true), ((3, 2), true), ((4, 1), false), ((1, 2), false)] {
        follower.outbox.clear();
        follower.step(message(2, 4, append(previous)), ELECTED);
        let ok = matches!(
            follower.outbox[0].1.kind,
            RaftMessageKind::AppendResponse { success: true, .. }
        );
        assert_eq!(ok, agrees, "{previous:?}");
    }
}

#[test]
fn entries_that_a_snapshot_covers_are_not_taken_again() {
    // (what, the entry before those that come, their terms, the terms of the log afterwards, up to
    // where it is acknowledged). The snapshot ends with entry 3 of term 2; 4 and 5 are in the log.
    type Case = (&'static str, (u64, u64), &'static [u64], &'static [u64], u64);
    let cases: [Case; 6] = [
        ("from the beginning up to the snapshot's end", (0, 0), &[1, 1, 2], &[2, 3], 3),
        ("all of them before its end", (1, 1), &[1], &[2, 3], 3),
        ("a heartbeat from before it", (1, 1), &[], &[2, 3], 3),
        ("over its end", (1, 2), &[2, 2], &[2, 3], 4),
        ("over its end and the log's", (1, 2), &[2, 2, 3, 4], &[2, 3, 4], 6),
        ("over its end, with a conflict behind it", (1, 2), &[2, 2, 4], &[2, 4], 5),
    ];
    for (what, previous, terms, log, last_index) in cases {
        let behind = |from: u64, terms: &[u64]| -> Vec<LogEntry> {
            let place = |e: LogEntry| LogEntry { index: LogIndex(from + e.index.0), ..e };
            log_of(terms).into_iter().map(place).collect()
        };
        let mut state =
            PersistentState { term: Term(4), log: behind(3, &[2, 3]), ..initial_state(1, 3) };
        state.snapshot.last_included = LogPosition::new(Term(2), LogIndex(3));
        let mut follower = RaftNode::new(state, false, Tick(1_000), || 0);
        let entries = behind(previous.1, terms);
        let previous = LogPosition::new(Term(previous.0), LogIndex(previous.1));
        let append = RaftMessageKind::AppendEntries {
            previous,
            entries,
            commit_index: LogIndex(0),
            sent_at: 7,
        };
        follower.step(message(2, 4, append), ELECTED);
        persist(&mut follower);
        assert_eq!(terms_of(&follower), log, "{what}");
        let places = follower.state.log.iter().map(|e| e.index.0);
        assert!(places.eq(4..4 + log.len() as u64), "{what}: {:?}", follower.state.log);
        let kind = RaftMessageKind::AppendResponse {
            match_index: LogIndex(last_index),
            success: true,
            sent_at: 7,
        };
        assert_eq!(follower.outbox.pop().map(|(_, m)| m.kind), Some(kind), "{what}");
        assert_eq!(follower.commit_index, LogIndex(3), "{what}");
    }
}

#[test]
fn a_restarted_leader_that_hears_of_a_later_term_waits_as_long_as_any_other() {
    let heartbeat = RaftMessageKind::AppendEntries {
        previous: LogPosition::new(Term(0), LogIndex(0)),
        entries: Vec::new(),
        commit_index: LogIndex(0),
        sent_at: 1,
    };
    // (the last term that it led, the term whose leader it hears, whether it may ask sooner then)
    for (led, term, sooner) in [(5, None, true), (5, Some(6), false), (4, Some(5), false)] {
        let led = Some(Term(led));
        let state = PersistentState {
            term: Term(5),
            last_led_term: led,
            log: log_of(&[5]),
            ..initial_state(1, 3)
        };
        let mut raft = RaftNode::new(state, true, ELECTED, || 0);
        if let Some(term) = term {
            raft.step(message(2, term, heartbeat.clone()), ELECTED);
        }
        let soon = raft.next_tick_at() < ELECTED.plus(MIN_ELECTION_TIMEOUT_MS);
        assert_eq!(soon, sooner, "it led {led:?} and hears of {term:?}");
    }
}
