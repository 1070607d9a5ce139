//! Tests of the Raft core, its storage and its persister, in simulated time and on a simulated
//! network.
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

/// The random numbers of each member, far enough apart for different election timeouts, so that
/// votes do not split.
const RANDOM_NUMBERS: [fn() -> u64; 5] = [|| 10, || 130, || 250, || 370, || 70];

/// A cluster of controllers, the messages in flight between them, and the partitioned members.
struct TestCluster {
    now: Tick,
    nodes: BTreeMap<u64, RaftNode>,
    /// The state of each member on disk, saved before its messages are sent.
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
        self.nodes
            .iter()
            .filter(|(_, raft)| raft.holds_leader_lease(now))
            .map(|(id, _)| *id)
            .collect()
    }
    fn elect_leader(&mut self) -> u64 {
        self.run(3_000);
        let leaders = self.leaders();
        assert_eq!(leaders.len(), 1, "exactly one leader: {leaders:?}");
        leaders[0]
    }
    fn propose(&mut self, id: u64, payload: EntryPayload) -> Option<LogIndex> {
        let now = self.now;
        let index = self.nodes.get_mut(&id).and_then(|raft| raft.propose(payload, now));
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
        let mut cluster = TestCluster::new(count);
        let leader = cluster.elect_leader();
        for n in 0..5 {
            assert!(cluster.propose(leader, command(n)).is_some());
        }
        cluster.run(500);
        for id in 1..=count {
            assert_eq!(
                cluster.committed_commands(id),
                [0, 1, 2, 3, 4],
                "{count} controllers, {id}"
            );
        }
    }
}

#[test]
fn a_partitioned_leader_stops_before_another_is_elected() {
    let mut cluster = TestCluster::new(4);
    let old = cluster.elect_leader();
    cluster.partitioned.insert(old);
    for _ in 0..400 {
        cluster.run(10);
        assert!(cluster.leaders().len() <= 1, "two leaders: {:?}", cluster.leaders());
    }
    let new = cluster.leaders();
    assert!(new.len() == 1 && new != [old]);
    // The entry that only the old leader has is lost; the one that the new leader committed stays.
    cluster.propose(old, command(66));
    cluster.propose(new[0], command(7));
    cluster.partitioned.clear();
    cluster.run(3_000);
    for id in 1..=4 {
        assert_eq!(cluster.committed_commands(id), [7], "{id}");
    }
}

#[test]
fn nothing_is_committed_without_a_quorum() {
    let mut cluster = TestCluster::new(4);
    let leader = cluster.elect_leader();
    let others: Vec<u64> = (1..=4).filter(|i| *i != leader).take(2).collect();
    cluster.partitioned.extend(others);
    cluster.propose(leader, command(1));
    cluster.run(3_000);
    assert!(cluster.committed_commands(leader).is_empty());
    assert!(cluster.leaders().is_empty());
    cluster.partitioned.clear();
    cluster.elect_leader();
}

#[test]
fn restarted_members_recover_after_the_tolerated_number_of_disk_losses() {
    for (count, lost) in [(3, 0), (4, 1), (5, 2)] {
        let mut cluster = TestCluster::new(count);
        let leader = cluster.elect_leader();
        cluster.propose(leader, command(9));
        // The leader's disk is among the lost ones, right after it has committed the command.
        let lost_members: Vec<u64> = (0..lost).map(|i| (leader + i - 1) % count + 1).collect();
        for id in 1..=count {
            cluster.restart(id);
        }
        cluster.nodes.retain(|id, _| !lost_members.contains(id));
        cluster.network.clear();
        let leader = cluster.elect_leader();
        cluster.propose(leader, command(10));
        cluster.run(400);
        for id in cluster.nodes.keys() {
            assert_eq!(
                cluster.committed_commands(*id),
                [9, 10],
                "{count} controllers, {lost} lost"
            );
        }
    }
}

#[test]
fn a_restarted_voter_grants_no_vote_while_a_leader_lease_may_hold() {
    let mut cluster = TestCluster::new(3);
    let leader = cluster.elect_leader();
    let (voter, other) = if leader == 1 { (2, 3) } else { (1, if leader == 2 { 3 } else { 2 }) };
    cluster.restart(voter);
    let last = cluster.nodes[&other].last_position();
    let request = |term| RaftMessage {
        from: MemberId(other),
        term: Term(term),
        kind: RaftMessageKind::RequestVote {
            pre_vote: false,
            leadership_transfer: false,
            led_previous_term: false,
            last_log: last,
        },
    };
    let now = cluster.now;
    let raft = cluster.nodes.get_mut(&voter).expect("voter");
    raft.step(request(50), now);
    assert!(raft.outbox.is_empty(), "no response while a lease may hold");
    raft.step(request(50), now.plus(MIN_ELECTION_TIMEOUT_MS + 1));
    assert!(matches!(raft.outbox[0].1.kind, RaftMessageKind::VoteResponse { granted: true, .. }));
}

#[test]
fn a_leadership_transfer_ends_the_old_lease_before_the_new_one() {
    let mut cluster = TestCluster::new(4);
    let old = cluster.elect_leader();
    let now = cluster.now;
    let raft = cluster.nodes.get_mut(&old).expect("leader");
    raft.transfer_leadership(now);
    assert!(!raft.holds_leader_lease(now), "the lease ends when the transfer starts");
    cluster.deliver_all();
    cluster.run(300);
    let new = cluster.leaders();
    assert!(new.len() == 1 && new != [old], "{new:?}");
}

#[test]
fn members_are_replaced_one_at_a_time_and_the_present_voters_stay_a_quorum() {
    // (case, whether the third of three members is lost, (id, address) of a process that asks to
    // join, whether that process is running, the voters in the end)
    type Case = (&'static str, bool, (u64, u64), bool, &'static [u64]);
    let cases: [Case; 4] = [
        ("a new disk at the old address", true, (900, 3), true, &[1, 2, 900]),
        ("a new machine at another address", true, (901, 77), true, &[1, 2, 901]),
        ("an additional machine, and no member is lost", false, (902, 78), true, &[1, 2, 3, 902]),
        ("an outdated request of an earlier disk", false, (904, 3), false, &[1, 2, 3]),
    ];
    for (case, lost, (new, address), running, expected) in cases {
        let joiner = Member { id: MemberId(new), ..member(address, false) };
        let mut cluster = TestCluster::new(3);
        // The member that is lost must not be the leader.
        while cluster.elect_leader() == 3 {
            let now = cluster.now;
            cluster.nodes.get_mut(&3).expect("leader").transfer_leadership(now);
            cluster.deliver_all();
        }
        let leader = cluster.elect_leader();
        cluster.propose(leader, command(1));
        // The leader has led for long when the new member is added, so that the silence of the new
        // member must be counted from that time.
        cluster.run(9_000);
        if lost {
            cluster.nodes.remove(&3);
            cluster.disks.remove(&3);
        }
        if running {
            let state = PersistentState { member_id: joiner.id, ..PersistentState::default() };
            let raft = RaftNode::new(state, false, cluster.now, || 20);
            cluster.nodes.insert(new, raft);
        }
        let mut changes = 0;
        for _ in 0..50 {
            let now = cluster.now;
            let raft = &cluster.nodes[&leader];
            if let Some(members) = raft.next_membership_change([&joiner].into_iter(), 1, 8_000, now)
            {
                changes += 1;
                let voters = members.iter().filter(|m| m.voter && (m.id.0 != 3 || !lost)).count();
                assert!(voters >= 2, "{case}: {members:?}");
                cluster.propose(leader, EntryPayload::Membership(members));
            }
            cluster.run(300);
        }
        assert!(changes <= 3, "{case}: members are added and removed repeatedly: {changes}");
        let members = cluster.nodes[&leader].members();
        assert!(
            members.iter().map(|m| (m.id.0, m.voter)).eq(expected.iter().map(|i| (*i, true))),
            "{case}: {members:?}"
        );
        assert!(!running || cluster.committed_commands(new) == [1], "{case}");
    }
}

#[test]
fn two_more_losses_are_tolerated_once_a_replacement_votes() {
    let settings = "node_name = \"n\"\nip_address = \"10.0.0.1\"\nzone = \"z\"\nport_range = [1, 9]\n\
        seed_nodes = [\"10.0.0.1:2\"]\n[listeners]\n[fault_tolerance]\nmachines = 2\n\
        [timing_bounds]\njoin_sync_s = 6\n";
    let settings = Settings::parse(settings).expect("valid");
    let mut cluster = TestCluster::new(5);
    let leader = cluster.elect_leader();
    let others: Vec<u64> = (1..=5).filter(|i| *i != leader).collect();
    let joiner = Member { id: MemberId(901), ..member(77, false) };
    // One member is lost for good, and a new machine asks to join a moment later.
    cluster.nodes.remove(&others[0]);
    cluster.disks.remove(&others[0]);
    cluster.run(1_200);
    let state = PersistentState { member_id: joiner.id, ..PersistentState::default() };
    cluster.nodes.insert(901, RaftNode::new(state, false, cluster.now, || 20));
    let replaced_by = cluster.now.plus(6_000);
    while cluster.now < replaced_by {
        let (raft, now) = (&cluster.nodes[&leader], cluster.now);
        let (tolerated, silent_ms) =
            (settings.tolerated_failures(), settings.voter_removal_timeout_ms());
        if let Some(members) =
            raft.next_membership_change([&joiner].into_iter(), tolerated, silent_ms, now)
        {
            cluster.propose(leader, EntryPayload::Membership(members));
        }
        cluster.run(300);
    }
    // Two of the remaining members are partitioned: the other three still form a quorum.
    cluster.partitioned.extend([others[1], others[2]]);
    cluster.propose(leader, command(7));
    cluster.run(600);
    assert!(cluster.committed_commands(901).contains(&7));
}

#[test]
fn only_a_leader_with_a_lease_tells_a_member_that_it_was_removed() {
    let mut cluster = TestCluster::new(4);
    let leader = cluster.elect_leader();
    let now = cluster.now;
    let raft = &cluster.nodes[&leader];
    let non_member = member(77, true);
    let current = raft.members()[0].clone();
    assert_eq!(raft.answer_join(&current, true, now), JoinResponse::Current);
    assert_eq!(raft.answer_join(&non_member, true, now), JoinResponse::Removed);
    assert_eq!(raft.answer_join(&non_member, false, now), JoinResponse::Accepted);
    // A process without a disk never becomes a member; it only learns who the leader is.
    let diskless = Member { can_vote: false, ..non_member.clone() };
    assert_eq!(raft.answer_join(&diskless, false, now), JoinResponse::Current);
    let follower = (1..=4).find(|i| *i != leader).expect("a follower");
    let leader_peer = member(leader, true).peer;
    assert_eq!(
        cluster.nodes[&follower].answer_join(&non_member, true, now),
        JoinResponse::NotLeader(Some(leader_peer))
    );
    // A partitioned leader may itself have been replaced, so without a lease it does not tell.
    let later = now.plus(MIN_ELECTION_TIMEOUT_MS);
    assert_eq!(
        cluster.nodes[&leader].answer_join(&non_member, true, later),
        JoinResponse::NotLeader(None)
    );
    // A process that is not a member gets no vote.
    let request = RaftMessageKind::RequestVote {
        pre_vote: false,
        leadership_transfer: true,
        led_previous_term: true,
        last_log: LogPosition::new(Term(90), LogIndex(900)),
    };
    let raft = cluster.nodes.get_mut(&follower).expect("follower");
    let term = raft.state.term;
    raft.step(RaftMessage { from: non_member.id, term: Term(91), kind: request }, now.plus(5_000));
    assert!(raft.outbox.is_empty() && raft.state.term == term);
}

#[test]
fn a_long_log_is_compacted_and_a_lagging_member_gets_the_snapshot() {
    let mut cluster = TestCluster::new(3);
    let leader = cluster.elect_leader();
    let lagging = (1..=3).find(|i| *i != leader).expect("a follower");
    cluster.partitioned.insert(lagging);
    for n in 0..=255 {
        cluster.propose(leader, command(n));
    }
    cluster.propose(leader, command(1));
    cluster.run(300);
    let raft = cluster.nodes.get_mut(&leader).expect("leader");
    let commit_index = raft.commit_index;
    raft.compact_log(commit_index, || vec![42]);
    assert!(raft.state.log.is_empty());
    cluster.partitioned.clear();
    cluster.run(2_000);
    assert_eq!(cluster.nodes[&lagging].state.snapshot.state.as_ref(), [42]);
    assert!(cluster.nodes[&lagging].commit_index >= commit_index);
}

#[test]
#[expect(clippy::too_many_lines, reason = "one scenario, told in order")]
fn storage_returns_the_saved_state_and_rejects_an_unreadable_one() {
    let folder = std::env::temp_dir().join(format!("silvertack-raft-{}", std::process::id()));
    let _ = std::fs::remove_dir_all(&folder);
    let OpenedStorage { mut storage, state } = RaftStorage::open(&folder).expect("a new file");
    assert!(state.is_none());
    let entry =
        |index, term, n| LogEntry { term: Term(term), index: LogIndex(index), payload: command(n) };
    let mut state =
        PersistentState { term: Term(3), voted_for: Some(MemberId(2)), ..initial_state(1, 3) };
    state.log = vec![entry(1, 1, 1), entry(2, 1, 2), entry(3, 1, 3)];
    storage.save(&WriteBatch::new(&state, &UnsavedChanges::all())).expect("save");
    // A conflicting tail of the log is replaced.
    state.log.truncate(1);
    state.log.push(entry(2, 3, 9));
    let tail = UnsavedChanges { log_from: Some(LogIndex(2)), ..UnsavedChanges::default() };
    storage.save(&WriteBatch::new(&state, &tail)).expect("save");
    drop(storage);
    let OpenedStorage { storage, state: found } = RaftStorage::open(&folder).expect("reopen");
    let found = found.expect("a state");
    assert_eq!(
        (found.member_id, found.term, found.voted_for),
        (MemberId(1), Term(3), Some(MemberId(2)))
    );
    assert_eq!(found.log, state.log);
    assert_eq!(found.snapshot, state.snapshot);
    drop(storage);
    let file = folder.join("hedge.sqlite");
    let database = rusqlite::Connection::open(&file).expect("open the database");
    database.execute_batch("PRAGMA user_version = 99").expect("set the schema version");
    drop(database);
    let before = std::fs::read(&file).expect("read the file");
    let error = RaftStorage::open(&folder).err().expect("a newer schema is rejected").to_string();
    assert!(error.contains("newer"), "{error}");
    assert_eq!(std::fs::read(&file).expect("read the file"), before, "the file is unchanged");
    std::fs::write(&file, vec![7u8; 8192]).expect("damage the file");
    assert!(RaftStorage::open(&folder).is_err(), "a damaged file is rejected");
    assert_eq!(
        std::fs::read(&file).expect("read the file"),
        vec![7u8; 8192],
        "the file is unchanged"
    );
    // An invalid member list is rejected too.
    for invalid in [vec![member(1, true), member(1, true)], vec![member(1, false)]] {
        let _ = std::fs::remove_dir_all(&folder);
        let OpenedStorage { mut storage, .. } = RaftStorage::open(&folder).expect("a new file");
        let snapshot = Snapshot { members: invalid, ..Snapshot::default() };
        let state =
            PersistentState { member_id: MemberId(1), snapshot, ..PersistentState::default() };
        storage.save(&WriteBatch::new(&state, &UnsavedChanges::all())).expect("save");
        drop(storage);
        let error = RaftStorage::open(&folder).err().expect("rejected").to_string();
        assert!(error.contains("twice or has no voter"), "{error}");
    }
    // An empty folder is initialized as a new disk, but a folder that has lost its state is not.
    let _ = std::fs::remove_dir_all(&folder);
    let InitializedStorage { storage, state: first, restarted } =
        RaftStorage::open_or_initialize(&folder, || initial_state(1, 3)).expect("initialize");
    assert!(!restarted && first.member_id == MemberId(1));
    drop(storage);
    let InitializedStorage { storage, state: second, restarted } =
        RaftStorage::open_or_initialize(&folder, || initial_state(2, 3)).expect("reopen");
    assert!(restarted && second.member_id == MemberId(1), "the state on disk is used");
    drop(storage);
    for name in ["hedge.sqlite", "hedge.sqlite-wal"] {
        let _ = std::fs::remove_file(folder.join(name));
    }
    let error = RaftStorage::open_or_initialize(&folder, || initial_state(2, 3))
        .err()
        .expect("rejected")
        .to_string();
    assert!(error.contains("is gone"), "{error}");
    let _ = std::fs::remove_dir_all(&folder);
}

#[test]
#[expect(clippy::too_many_lines, reason = "one scenario, told in order")]
fn messages_are_sent_only_after_the_state_they_depend_on_is_on_disk() {
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
    let acked = |messages: &[(MemberId, RaftMessage)]| -> Vec<u64> {
        messages
            .iter()
            .filter_map(|(_, m)| match m.kind {
                RaftMessageKind::AppendResponse { match_index, success: true, .. } => {
                    Some(match_index.0)
                }
                _ => None,
            })
            .collect()
    };
    // A new term and an entry are being written; no message is sent meanwhile.
    raft.step(message(4, append(vec![entry], 1)), now);
    assert!(persister.take_sendable(&mut raft).is_empty());
    assert!(
        persister.begin_write(&mut raft, now).is_some()
            && persister.begin_write(&mut raft, now).is_none()
    );
    raft.step(message(4, append(vec![], 2)), now.plus(100));
    assert!(persister.take_sendable(&mut raft).is_empty(), "the term is not on disk");
    // The write fails: it is retried, and still no message is sent.
    assert!(persister.end_write(&mut raft, WriteOutcome::Failed, now.plus(110)).is_empty());
    assert!(
        persister.is_storage_failing(now.plus(110))
            && persister.begin_write(&mut raft, now.plus(120)).is_none()
    );
    assert!(persister.begin_write(&mut raft, now.plus(400)).is_some());
    let released = persister.end_write(&mut raft, WriteOutcome::Durable, now.plus(401));
    assert_eq!(acked(&released), [0], "the response to the heartbeat, as of its arrival");
    assert_eq!(
        acked(&persister.take_sendable(&mut raft)),
        [1],
        "the entry, now that it is on disk"
    );
    // From here on only new entries wait for the disk: a heartbeat is answered while it stalls.
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
        "the disk stalls"
    );
    persister.end_write(&mut raft, WriteOutcome::Durable, now.plus(1_500));
    assert_eq!(acked(&persister.take_sendable(&mut raft)), [2]);
    assert!(!persister.is_storage_failing(now.plus(1_500)));
}

#[test]
fn a_leader_whose_disk_fails_transfers_its_leadership() {
    let mut cluster = TestCluster::new(4);
    let old = cluster.elect_leader();
    let now = cluster.now;
    cluster.nodes.get_mut(&old).expect("leader").set_storage_failing(true, now);
    cluster.deliver_all();
    for _ in 0..60 {
        cluster.run(10);
        assert!(cluster.leaders().len() <= 1);
    }
    let new = cluster.leaders();
    assert!(new.len() == 1 && new != [old], "{new:?}");
    // The member with the failing disk starts no election, even if no other member can lead.
    cluster.partitioned.insert(new[0]);
    cluster.run(4_000);
    assert!(!cluster.leaders().contains(&old));
}

#[test]
fn a_leader_commits_only_entries_on_the_disks_of_a_quorum() {
    let mut cluster = TestCluster::new(3);
    let leader = cluster.elect_leader();
    let others: Vec<u64> = (1..=3).filter(|i| *i != leader).collect();
    let (now, raft) = (cluster.now, cluster.nodes.get_mut(&leader).expect("leader"));
    let before = raft.commit_index;
    let index = raft.propose(command(1), now).expect("proposed");
    let term = raft.state.term;
    let kind =
        RaftMessageKind::AppendResponse { match_index: index, success: true, sent_at: now.0 };
    raft.step(RaftMessage { from: MemberId(others[0]), term, kind: kind.clone() }, now);
    assert_eq!(raft.commit_index, before, "the entry is on one disk of three");
    raft.step(RaftMessage { from: MemberId(others[1]), term, kind }, now);
    assert_eq!(raft.commit_index, index, "on two disks of three, though not on the leader's own");
}

#[test]
fn a_restarted_leader_is_reelected_at_once_and_no_other_member_is() {
    let mut cluster = TestCluster::new(4);
    let old = cluster.elect_leader();
    // (case, whether all members restart)
    for (case, all) in [("the leader restarts", false), ("all members restart", true)] {
        let ids: Vec<u64> = if all { (1..=4).collect() } else { vec![old] };
        for id in ids {
            cluster.restart(id);
        }
        cluster.network.clear();
        cluster.run(200);
        assert_eq!(cluster.leaders(), [old], "{case}");
        cluster.run(1_000);
    }
    // Without that leader the others wait only until its lease must have expired.
    cluster.partitioned.insert(old);
    for id in (1..=4).filter(|i| *i != old) {
        cluster.restart(id);
    }
    cluster.network.clear();
    cluster.run(400);
    assert!(cluster.leaders().is_empty());
    cluster.run(300);
    let new = cluster.leaders();
    assert!(new.len() == 1 && new != [old], "{new:?}");
    cluster.partitioned.clear();
    cluster.run(1_000);
    // A member that led an earlier term than the newest is not elected at once.
    let old = new[0];
    let term = cluster.nodes[&old].state.term;
    let voter = (1..=4).find(|i| *i != old).expect("another member");
    let (now, last) = (cluster.now, cluster.nodes[&old].last_position());
    // (requested term, whether the candidate led the term before, whether the voter responds)
    for (requested, led_previous_term, responds) in
        [(term.0, true, false), (term.0 + 1, false, false), (term.0 + 1, true, true)]
    {
        cluster.restart(voter);
        let raft = cluster.nodes.get_mut(&voter).expect("voter");
        let kind = RaftMessageKind::RequestVote {
            pre_vote: true,
            leadership_transfer: false,
            led_previous_term,
            last_log: last,
        };
        raft.step(RaftMessage { from: MemberId(old), term: Term(requested), kind }, now);
        assert_eq!(
            !raft.outbox.is_empty(),
            responds,
            "term {requested}, led the term before: {led_previous_term}"
        );
    }
}

#[test]
fn a_send_queue_sends_complete_frames_and_priority_frames_first() {
    let mut queue = SendQueue::default();
    queue.push(vec![1; 4].into());
    queue.push(vec![2; 2].into());
    queue.advance(1);
    // The first frame is partly sent and must be completed first.
    queue.push_first(vec![9; 2].into());
    let mut sent = Vec::new();
    assert_eq!(queue.pending_bytes(), 7);
    while let Some(bytes) = queue.next_bytes() {
        sent.push(bytes[0]);
        queue.advance(1);
    }
    assert_eq!(sent, [1, 1, 1, 9, 9, 2, 2]);
    assert!(queue.is_empty() && queue.pending_bytes() == 0);
    queue.push(vec![3].into());
    queue.push_first(vec![4].into());
    assert_eq!(queue.next_bytes(), Some(&[4][..]));
}

#[test]
fn a_torn_write_is_recovered_up_to_the_last_sync_or_rejected() {
    let base = std::env::temp_dir().join(format!("silvertack-torn-{}", std::process::id()));
    let (intact, torn) = (base.join("whole"), base.join("torn"));
    let _ = std::fs::remove_dir_all(&base);
    let InitializedStorage { mut storage, mut state, .. } =
        RaftStorage::open_or_initialize(&intact, || initial_state(1, 3)).expect("initialize");
    let wal = intact.join("hedge.sqlite-wal");
    // The length of the WAL after each write that returned.
    let mut synced = vec![std::fs::metadata(&wal).map_or(0, |m| m.len())];
    for n in 1..=3u64 {
        state.log.push(LogEntry { term: Term(1), index: LogIndex(n), payload: command(n as u8) });
        let unsaved = UnsavedChanges { log_from: Some(LogIndex(n)), ..UnsavedChanges::default() };
        storage.save(&WriteBatch::new(&state, &unsaved)).expect("save");
        synced.push(std::fs::metadata(&wal).expect("metadata of the WAL").len());
    }
    let wal_bytes = std::fs::read(&wal).expect("read the WAL");
    // (bytes that reached the disk, how many of the last ones are garbage, entries that must be
    // recovered)
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
            std::fs::copy(intact.join(name), torn.join(name)).expect("copy");
        }
        let mut bytes = wal_bytes[..length as usize].to_vec();
        let from = bytes.len() - garbage;
        bytes[from..].fill(0x5a);
        std::fs::write(torn.join("hedge.sqlite-wal"), bytes).expect("write the torn WAL");
        let OpenedStorage { state: found, .. } = RaftStorage::open(&torn).expect("recover");
        assert_eq!(found.expect("a state").log.len(), entries, "{length} bytes, {garbage} garbage");
    }
    // A folder with an identity file whose database is empty is not used for a new member.
    std::fs::write(torn.join("hedge.sqlite-wal"), b"").expect("empty the WAL");
    std::fs::write(torn.join("hedge.sqlite"), b"").expect("empty the database file");
    assert!(RaftStorage::open(&torn).err().expect("rejected").to_string().contains("is gone"));
    let _ = std::fs::remove_dir_all(&base);
}

/// A log with an entry of each of these terms, from index 1 on.
fn log_of(terms: &[u64]) -> Vec<LogEntry> {
    let entry = |(term, index): (&u64, u64)| LogEntry {
        term: Term(*term),
        index: LogIndex(index),
        payload: command(index as u8),
    };
    terms.iter().zip(1..).map(entry).collect()
}
/// Member 1 of this many voters, as a follower in `term` with entries of `terms` on its disk.
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
/// When `elected_leader` lets member 1 be elected.
const ELECTED_AT: Tick = Tick(2_000);
/// Member 1 as the leader of `term`, with its no-op entry after entries of `terms`.
fn elected_leader(voters: u64, term: u64, terms: &[u64]) -> RaftNode {
    let mut raft = replica(voters, term - 1, terms);
    raft.tick(ELECTED_AT);
    for pre_vote in [true, false] {
        for id in 2..=voters {
            raft.step(
                message(id, term, RaftMessageKind::VoteResponse { pre_vote, granted: true }),
                ELECTED_AT,
            );
        }
    }
    assert!(raft.is_leader() && raft.state.term == Term(term));
    persist(&mut raft);
    raft.outbox.clear();
    raft
}
fn append_success(match_index: u64) -> RaftMessageKind {
    RaftMessageKind::AppendResponse {
        match_index: LogIndex(match_index),
        success: true,
        sent_at: ELECTED_AT.0,
    }
}

#[test]
fn a_leader_counts_replicas_only_for_entries_of_its_own_term() {
    // (case, number of voters, terms of the entries before the leader's own, the leader's term,
    // match index that each follower acknowledges in turn, commit index after each of them)
    type Case = (&'static str, u64, &'static [u64], u64, &'static [u64], &'static [u64]);
    let cases: [Case; 4] = [
        ("figure 8: an entry of term 2 on most disks", 5, &[1, 2], 4, &[2, 2, 2, 2], &[0; 4]),
        ("figure 8 with an entry of the leader's term", 5, &[1, 2], 4, &[3, 2, 3], &[0, 0, 3]),
        ("three voters", 3, &[1, 1, 3], 7, &[3, 4], &[0, 4]),
        ("no entries of earlier terms", 3, &[], 1, &[1], &[1]),
    ];
    for (case, voters, terms, term, match_indexes, commit_indexes) in cases {
        let mut leader = elected_leader(voters, term, terms);
        for (id, (match_index, commit_index)) in (2..).zip(match_indexes.iter().zip(commit_indexes))
        {
            leader.step(message(id, term, append_success(*match_index)), ELECTED_AT);
            assert_eq!(
                leader.commit_index,
                LogIndex(*commit_index),
                "{case}: member {id} has {match_index}"
            );
        }
    }
}

/// Takes the vote responses from the outbox: whether each is for a pre-vote, whether it is granted,
/// and its term.
fn take_votes(raft: &mut RaftNode) -> Vec<(bool, bool, u64)> {
    let messages = raft.outbox.drain(..);
    messages
        .filter_map(|(_, m)| match m.kind {
            RaftMessageKind::VoteResponse { pre_vote, granted } => {
                Some((pre_vote, granted, m.term.0))
            }
            _ => None,
        })
        .collect()
}

#[test]
fn one_vote_per_term_goes_to_a_candidate_whose_log_is_up_to_date() {
    let log: &[u64] = &[1, 3, 3];
    // (case, for whom the voter has voted in its term 5, the candidate's term, (term, index) of the
    // candidate's last entry, whether it gets the vote, the voter's term afterwards)
    type Case = (&'static str, Option<u64>, u64, (u64, u64), bool, u64);
    let cases: [Case; 11] = [
        ("the same log", None, 5, (3, 3), true, 5),
        ("a longer log of the same last term", None, 5, (3, 4), true, 5),
        ("a shorter log of the same last term", None, 5, (3, 2), false, 5),
        ("a shorter log of a later last term", None, 5, (4, 2), true, 5),
        ("a longer log of an earlier last term", None, 5, (2, 9), false, 5),
        ("an empty log", None, 6, (0, 0), false, 6),
        ("the same candidate again", Some(2), 5, (3, 3), true, 5),
        ("a second candidate in the term", Some(3), 5, (4, 9), false, 5),
        ("a vote in an earlier term does not count", Some(3), 6, (3, 3), true, 6),
        ("a candidate of an earlier term", None, 4, (4, 9), false, 5),
        ("the voter has voted for itself", Some(1), 5, (4, 9), false, 5),
    ];
    for (case, voted_for, term, last, granted, term_after) in cases {
        let mut voter = replica(3, 5, log);
        voter.state.voted_for = voted_for.map(MemberId);
        let last = LogPosition::new(Term(last.0), LogIndex(last.1));
        let request = |pre_vote| RaftMessageKind::RequestVote {
            pre_vote,
            leadership_transfer: false,
            led_previous_term: false,
            last_log: last,
        };
        voter.step(message(2, term, request(false)), ELECTED_AT);
        assert_eq!(take_votes(&mut voter), [(false, granted, term_after)], "{case}");
        assert_eq!(voter.state.term, Term(term_after), "{case}");
        if granted {
            assert_eq!(voter.state.voted_for, Some(MemberId(2)), "{case}");
            let is_new_vote = voted_for != Some(2) || term_after > 5;
            assert!(voter.unsaved.hard_state || !is_new_vote, "{case}: the vote is to be saved");
            // The vote of this term is used up now.
            voter.step(message(3, term, request(false)), ELECTED_AT);
            assert_eq!(
                take_votes(&mut voter),
                [(false, false, term_after)],
                "{case}: a second candidate"
            );
        }
        // A pre-vote depends on the log alone, uses up no vote, and is granted only for a later
        // term.
        let mut voter = replica(3, 5, log);
        voter.state.voted_for = voted_for.map(MemberId);
        voter.step(message(2, 5, request(true)), ELECTED_AT);
        assert_eq!(take_votes(&mut voter), [(true, false, 5)], "{case}: pre-vote for this term");
        voter.step(message(2, 6, request(true)), ELECTED_AT);
        let up_to_date = last >= LogPosition::new(Term(3), LogIndex(3));
        let answer_term = if up_to_date { 6 } else { 5 };
        assert_eq!(take_votes(&mut voter), [(true, up_to_date, answer_term)], "{case}: pre-vote");
        assert_eq!(
            (voter.state.term.0, voter.state.voted_for),
            (5, voted_for.map(MemberId)),
            "{case}"
        );
        assert!(!voter.unsaved.hard_state, "{case}");
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
    // (milliseconds since the follower heard from its leader, whether the leader asked for the
    // election, whether the follower responds)
    let cases = [
        (0, false, false),
        (MIN_ELECTION_TIMEOUT_MS - 1, false, false),
        (MIN_ELECTION_TIMEOUT_MS - 1, true, true),
        (MIN_ELECTION_TIMEOUT_MS, false, true),
    ];
    for (silent_ms, leadership_transfer, responds) in cases {
        for pre_vote in [true, false] {
            let case =
                format!("{silent_ms} ms, transfer {leadership_transfer}, pre-vote {pre_vote}");
            let mut follower = replica(3, 5, &[1]);
            follower.step(message(2, 5, heartbeat.clone()), ELECTED_AT);
            persist(&mut follower);
            follower.outbox.clear();
            let last = LogPosition::new(Term(5), LogIndex(9));
            let request = RaftMessageKind::RequestVote {
                pre_vote,
                leadership_transfer,
                led_previous_term: false,
                last_log: last,
            };
            follower.step(message(3, 6, request.clone()), ELECTED_AT.plus(silent_ms));
            let expected = if responds { vec![(pre_vote, true, 6)] } else { vec![] };
            assert_eq!(take_votes(&mut follower), expected, "{case}");
            let term_changes = responds && !pre_vote;
            assert_eq!(follower.state.term, Term(if term_changes { 6 } else { 5 }), "{case}");
            // A leader responds in the same way, depending on when a quorum last answered it.
            let mut leader = elected_leader(3, 5, &[1]);
            leader.step(message(2, 5, append_success(2)), ELECTED_AT);
            leader.step(message(3, 6, request), ELECTED_AT.plus(silent_ms));
            assert_eq!(take_votes(&mut leader), expected, "{case}: leader");
            assert_eq!(leader.is_leader(), !term_changes, "{case}");
        }
    }
    // A follower grants no vote in a term whose leader it knows, however long that leader is
    // silent.
    let mut follower = replica(3, 5, &[1]);
    follower.step(message(2, 5, heartbeat), ELECTED_AT);
    follower.outbox.clear();
    let last = LogPosition::new(Term(4), LogIndex(9));
    let request = RaftMessageKind::RequestVote {
        pre_vote: false,
        leadership_transfer: false,
        led_previous_term: false,
        last_log: last,
    };
    follower.step(message(3, 5, request), ELECTED_AT.plus(60_000));
    assert_eq!(take_votes(&mut follower), [(false, false, 5)]);
    assert_eq!((follower.leader, follower.state.voted_for), (Some(MemberId(2)), None));
}

#[test]
fn a_candidate_counts_votes_of_its_own_term_and_kind_only() {
    // (case, whether the response is to a pre-vote, whether it is granted, its term, whether the
    // candidate of term 6 becomes the leader)
    let cases = [
        ("a vote", false, true, 6, true),
        ("a vote of the term before", false, true, 5, false),
        ("a vote of a later term", false, true, 7, false),
        ("a pre-vote", true, true, 6, false),
        ("a pre-vote of the next term", true, true, 7, false),
        ("a refusal", false, false, 6, false),
        ("a refusal of the term before", false, false, 5, false),
    ];
    for (case, pre_vote, granted, term, becomes_leader) in cases {
        let mut candidate = replica(3, 5, &[1]);
        candidate.tick(ELECTED_AT);
        assert_eq!(candidate.state.term, Term(5), "a pre-vote does not change the term");
        // Only a granted pre-vote for the next term starts the election.
        for (pre_vote, granted, term) in [(true, true, 5), (true, false, 5), (false, true, 6)] {
            candidate.step(
                message(2, term, RaftMessageKind::VoteResponse { pre_vote, granted }),
                ELECTED_AT,
            );
            assert_eq!(candidate.state.term, Term(5), "{pre_vote} {granted} {term}");
        }
        candidate.step(
            message(2, 6, RaftMessageKind::VoteResponse { pre_vote: true, granted: true }),
            ELECTED_AT,
        );
        assert_eq!((candidate.state.term, candidate.state.voted_for), (Term(6), Some(MemberId(1))));
        assert!(
            candidate.unsaved.hard_state && !candidate.is_leader(),
            "{case}: its own vote is to be saved"
        );
        candidate.step(
            message(3, term, RaftMessageKind::VoteResponse { pre_vote, granted }),
            ELECTED_AT,
        );
        assert_eq!(candidate.is_leader(), becomes_leader, "{case}");
    }
    // A refusal of a later term makes the member a follower in that term, with its vote unused.
    for is_leader in [false, true] {
        let mut raft = if is_leader { elected_leader(3, 6, &[1]) } else { replica(3, 5, &[1]) };
        raft.tick(ELECTED_AT);
        raft.step(
            message(3, 9, RaftMessageKind::VoteResponse { pre_vote: false, granted: false }),
            ELECTED_AT,
        );
        assert!(!raft.is_leader());
        assert_eq!(
            (raft.state.term, raft.state.voted_for),
            (Term(9), None),
            "was the leader: {is_leader}"
        );
        raft.step(
            message(2, 6, RaftMessageKind::VoteResponse { pre_vote: true, granted: true }),
            ELECTED_AT,
        );
        assert_eq!(raft.state.term, Term(9), "no longer a candidate");
    }
}

/// The terms of the entries in a member's log.
fn terms_of(raft: &RaftNode) -> Vec<u64> {
    raft.state.log.iter().map(|e| e.term.0).collect()
}

#[test]
fn a_follower_accepts_entries_only_where_its_log_matches_the_leaders() {
    // (case, (term of the AppendEntries, its previous entry, terms of its entries, the leader's
    // commit index), the log afterwards, the commit index afterwards, (success, match index) of the
    // response). The follower in term 4 has entries of terms 1, 1, 2, 2; the first is committed.
    type Append = (u64, (u64, u64), &'static [u64], u64);
    type Case = (&'static str, Append, &'static [u64], u64, (bool, u64));
    let cases: [Case; 12] = [
        ("the next entry", (4, (2, 4), &[4], 2), &[1, 1, 2, 2, 4], 2, (true, 5)),
        ("a conflicting suffix is replaced", (4, (1, 2), &[3], 0), &[1, 1, 3], 1, (true, 3)),
        ("a conflict within a suffix", (4, (1, 2), &[2, 4, 4], 0), &[1, 1, 2, 4, 4], 1, (true, 5)),
        ("a late message truncates nothing", (4, (1, 1), &[1], 1), &[1, 1, 2, 2], 1, (true, 2)),
        ("a heartbeat truncates nothing", (4, (1, 1), &[], 1), &[1, 1, 2, 2], 1, (true, 1)),
        ("the previous entry has a later term", (4, (3, 3), &[4], 4), &[1, 1, 2, 2], 1, (false, 2)),
        ("previous entry has an earlier term", (4, (1, 3), &[4], 4), &[1, 1, 2, 2], 1, (false, 2)),
        ("the previous entry is missing", (4, (4, 6), &[4], 6), &[1, 1, 2, 2], 1, (false, 4)),
        (
            "the commit index stops at the last matching entry",
            (4, (1, 2), &[], 4),
            &[1, 1, 2, 2],
            2,
            (true, 2),
        ),
        (
            "the commit index stops at the last new entry",
            (4, (2, 4), &[4], 9),
            &[1, 1, 2, 2, 4],
            5,
            (true, 5),
        ),
        ("the commit index never decreases", (4, (2, 4), &[], 0), &[1, 1, 2, 2], 1, (true, 4)),
        ("a leader of an earlier term", (3, (1, 2), &[3], 3), &[1, 1, 2, 2], 1, (false, 0)),
    ];
    for (case, (term, previous, terms, leader_commit), log, committed, response) in cases {
        let mut follower = replica(3, 4, &[1, 1, 2, 2]);
        let append = |previous: (u64, u64), terms: &[u64], commit_index| {
            let (previous, commit_index) =
                (LogPosition::new(Term(previous.0), LogIndex(previous.1)), LogIndex(commit_index));
            let shift = |entry: LogEntry| LogEntry {
                index: LogIndex(previous.index.0 + entry.index.0),
                ..entry
            };
            let entries = log_of(terms).into_iter().map(shift).collect();
            RaftMessageKind::AppendEntries { previous, entries, commit_index, sent_at: 7 }
        };
        follower.step(message(3, 4, append((1, 1), &[], 1)), ELECTED_AT);
        follower.outbox.clear();
        follower.step(message(2, term, append(previous, terms, leader_commit)), ELECTED_AT);
        persist(&mut follower);
        assert_eq!(terms_of(&follower), log, "{case}");
        assert_eq!(follower.commit_index, LogIndex(committed), "{case}");
        let last = follower.outbox.pop().map(|(to, m)| (to, m.term, m.kind));
        let sent_at = if term < 4 { 0 } else { 7 };
        let kind = RaftMessageKind::AppendResponse {
            match_index: LogIndex(response.1),
            success: response.0,
            sent_at,
        };
        assert_eq!(last, Some((MemberId(2), Term(4), kind)), "{case}");
        let leader = if term < 4 { 3 } else { 2 };
        assert_eq!(follower.leader, Some(MemberId(leader)), "{case}");
    }
}

#[test]
fn a_follower_acknowledges_only_entries_of_its_leader_that_are_on_disk() {
    let entries = |from: u64, terms: &[u64]| -> Vec<LogEntry> {
        let shift = |e: LogEntry| LogEntry { index: LogIndex(from + e.index.0 - 1), ..e };
        log_of(terms).into_iter().map(shift).collect()
    };
    let append = |previous: (u64, u64), entries| RaftMessageKind::AppendEntries {
        previous: LogPosition::new(Term(previous.0), LogIndex(previous.1)),
        entries,
        commit_index: LogIndex(0),
        sent_at: 7,
    };
    let acknowledged = |raft: &mut RaftNode| -> Vec<(u64, u64)> {
        let messages = raft.outbox.drain(..);
        messages
            .filter_map(|(to, m)| match m.kind {
                RaftMessageKind::AppendResponse { match_index, success: true, .. } => {
                    Some((to.0, match_index.0))
                }
                _ => None,
            })
            .collect()
    };
    // A heartbeat confirms the log only up to its previous entry, not the entries after that.
    let mut follower = replica(3, 4, &[1, 1, 2, 2]);
    follower.step(message(2, 4, append((1, 2), vec![])), ELECTED_AT);
    assert_eq!(acknowledged(&mut follower), [(2, 2)]);
    // A suffix that replaces another is not on disk just because the replaced one was.
    follower.step(message(2, 4, append((1, 2), entries(3, &[4, 4]))), ELECTED_AT);
    assert_eq!(acknowledged(&mut follower), []);
    // It is not acknowledged when a write of the replaced suffix ends, but when its own write does.
    follower.log_persisted(LogPosition::new(Term(2), LogIndex(4)));
    assert_eq!(acknowledged(&mut follower), [(2, 2)]);
    follower.log_persisted(LogPosition::new(Term(4), LogIndex(3)));
    assert_eq!(acknowledged(&mut follower), [(2, 3)]);
    follower.log_persisted(LogPosition::new(Term(4), LogIndex(4)));
    assert_eq!(acknowledged(&mut follower), [(2, 4)]);
    // An acknowledgement that is pending for the leader of an earlier term is dropped in a new
    // term.
    follower.step(message(2, 4, append((4, 4), entries(5, &[4]))), ELECTED_AT);
    acknowledged(&mut follower);
    follower.step(message(2, 5, append((4, 2), vec![])), ELECTED_AT);
    acknowledged(&mut follower);
    follower.log_persisted(LogPosition::new(Term(4), LogIndex(5)));
    assert_eq!(acknowledged(&mut follower), [], "no pending acknowledgement in the new term");
}

#[test]
fn a_leader_counts_only_acknowledgements_of_its_own_term() {
    // (case, term of the response, whether it reports success, its match index, commit index
    // afterwards, whether the member is still the leader)
    let cases = [
        ("a success of its term", 5, true, 2, 2, true),
        ("a success of an earlier term", 4, true, 2, 0, true),
        ("a failure", 5, false, 2, 0, true),
        ("a failure of an earlier term", 4, false, 2, 0, true),
        ("a success of a later term", 6, true, 2, 0, false),
        ("a failure of a later term", 6, false, 0, 0, false),
    ];
    for (case, term, success, match_index, commit_index, is_leader) in cases {
        let mut leader = elected_leader(3, 5, &[1]);
        let response = RaftMessageKind::AppendResponse {
            match_index: LogIndex(match_index),
            success,
            sent_at: ELECTED_AT.0,
        };
        leader.step(message(2, term, response), ELECTED_AT);
        assert_eq!(
            (leader.commit_index, leader.is_leader()),
            (LogIndex(commit_index), is_leader),
            "{case}"
        );
        let counts = is_leader && term == 5;
        assert_eq!(
            leader.holds_leader_lease(ELECTED_AT.plus(10)),
            counts && commit_index == 2,
            "{case}"
        );
        assert_eq!(leader.state.term, Term(term.max(5)), "{case}");
    }
    // The response to a chunk renews the leader's lease only in its own term.
    for (term, renews) in [(5, true), (4, false)] {
        let mut leader = elected_leader(3, 5, &[]);
        leader.step(message(2, 5, append_success(1)), ELECTED_AT);
        let later = ELECTED_AT.plus(440);
        let response =
            RaftMessageKind::ChunkResponse { transfer_id: 1, received: 0, sent_at: later.0 };
        leader.step(message(2, term, response), later);
        assert!(leader.holds_leader_lease(later));
        assert_eq!(
            leader.holds_leader_lease(ELECTED_AT.plus(500)),
            renews,
            "a chunk response of term {term}"
        );
    }
    // A late response revokes nothing that was acknowledged before.
    let mut leader = elected_leader(5, 5, &[1]);
    for (id, match_index, commit_index) in [(2, 2, 0), (2, 1, 0), (3, 2, 2)] {
        leader.step(message(id, 5, append_success(match_index)), ELECTED_AT);
        assert_eq!(leader.commit_index, LogIndex(commit_index), "member {id} has {match_index}");
    }
    // A timestamp in the future is from the clock of an earlier run of the process, and renews no
    // lease.
    let mut leader = elected_leader(3, 5, &[1]);
    let response = RaftMessageKind::AppendResponse {
        match_index: LogIndex(2),
        success: true,
        sent_at: ELECTED_AT.0 + 5_000,
    };
    leader.step(message(2, 5, response), ELECTED_AT);
    assert_eq!(leader.commit_index, LogIndex(2));
    assert!(!leader.holds_leader_lease(ELECTED_AT.plus(4_900)));
}

#[test]
fn a_snapshot_replaces_the_entries_it_covers_and_no_newer_ones() {
    // (case, term of the leader, (term, index) of the snapshot's last included entry, the log
    // afterwards, the commit index afterwards, whether the snapshot is installed). The follower in
    // term 4 has entries of terms 1, 1, 2, 2; the first two are committed.
    type Case = (&'static str, u64, (u64, u64), &'static [u64], u64, bool);
    let cases: [Case; 7] = [
        ("it ends after the log", 4, (3, 6), &[], 6, true),
        ("it ends with the log", 4, (2, 4), &[], 4, true),
        ("the log matches at its end and continues", 4, (2, 3), &[2], 3, true),
        ("the log has another term at its end", 4, (3, 3), &[], 3, true),
        ("it ends at the commit index", 4, (1, 2), &[1, 1, 2, 2], 2, false),
        ("it ends before the commit index", 4, (1, 1), &[1, 1, 2, 2], 2, false),
        ("the leader is of an earlier term", 3, (3, 6), &[1, 1, 2, 2], 2, false),
    ];
    for (case, term, last, log, committed, installed) in cases {
        let mut follower = replica(3, 4, &[1, 1, 2, 2]);
        let (previous, commit_index) = (LogPosition::new(Term(1), LogIndex(2)), LogIndex(2));
        let entries = Vec::new();
        let heartbeat =
            RaftMessageKind::AppendEntries { previous, entries, commit_index, sent_at: 1 };
        follower.step(message(2, 4, heartbeat), ELECTED_AT);
        follower.outbox.clear();
        let members: Vec<Member> = (1..=4).map(|id| member(id, true)).collect();
        let state = ByteBuf::from(vec![42]);
        let last_index = LogIndex(last.1);
        let snapshot =
            Snapshot { last_included: LogPosition::new(Term(last.0), last_index), members, state };
        follower.step(
            message(2, term, RaftMessageKind::InstallSnapshot { snapshot, sent_at: 7 }),
            ELECTED_AT,
        );
        assert_eq!(
            follower.outbox.is_empty(),
            installed,
            "{case}: not acknowledged before it is on disk"
        );
        assert_eq!(follower.unsaved.snapshot, installed, "{case}");
        persist(&mut follower);
        let (success, sent_at) = if term == 4 { (true, 7) } else { (false, 0) };
        let kind = RaftMessageKind::AppendResponse {
            match_index: if success { last_index } else { LogIndex(0) },
            success,
            sent_at,
        };
        assert_eq!(follower.outbox.pop().map(|(_, m)| m.kind), Some(kind), "{case}");
        assert_eq!(terms_of(&follower), log, "{case}");
        assert_eq!(follower.commit_index, LogIndex(committed), "{case}");
        assert_eq!(follower.state.snapshot.state.len(), usize::from(installed), "{case}");
        assert_eq!(follower.members().len(), if installed { 4 } else { 3 }, "{case}: members");
    }
}

#[test]
fn the_members_are_those_of_the_newest_membership_entry_still_in_the_log() {
    let membership = |term, index, voters| LogEntry {
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
    // A membership applies as soon as it is in the log, and until another leader replaces the
    // entry.
    let mut follower = replica(3, 4, &[1, 1]);
    follower.step(message(2, 4, append((1, 2), vec![membership(4, 3, 4)])), ELECTED_AT);
    assert_eq!(follower.members().len(), 4);
    let other = LogEntry { term: Term(5), index: LogIndex(3), payload: EntryPayload::NoOp };
    follower.step(message(3, 5, append((1, 2), vec![other])), ELECTED_AT);
    assert_eq!((follower.members().len(), terms_of(&follower)), (3, vec![1, 1, 5]));
    // A snapshot has the membership as of its last included entry, not a later one.
    let mut leader = elected_leader(1, 5, &[]);
    leader.propose(EntryPayload::Command(ByteBuf::from(vec![0; 2 << 20])), ELECTED_AT);
    persist(&mut leader);
    let commit_index = leader.commit_index;
    leader.propose(
        EntryPayload::Membership((1..=2).map(|id| member(id, true)).collect()),
        ELECTED_AT,
    );
    leader.compact_log(commit_index, || vec![42]);
    assert_eq!(leader.state.snapshot.last_included, LogPosition::new(Term(5), commit_index));
    assert_eq!((leader.state.snapshot.members.len(), leader.members().len()), (1, 2));
}

#[test]
fn only_a_voter_that_its_leader_asks_campaigns_at_once() {
    // (case, whether the member is a voter, sender and term of the `TimeoutNow`, whether the member
    // starts an election). The leader of term 5 is member 2.
    let cases = [
        ("from its leader", true, 2, 5, true),
        ("from another member", true, 3, 5, false),
        ("from its leader in an earlier term", true, 2, 4, false),
        ("from its leader in a term that it does not know yet", true, 2, 6, false),
        ("from its leader to a learner", false, 2, 5, false),
    ];
    for (case, is_voter, from, term, campaigns) in cases {
        let members: Vec<Member> = (1..=4).map(|id| member(id, id != 1 || is_voter)).collect();
        let snapshot = Snapshot { members, ..Snapshot::default() };
        let state = PersistentState {
            member_id: MemberId(1),
            term: Term(5),
            snapshot,
            ..PersistentState::default()
        };
        let mut raft = RaftNode::new(state, false, Tick(1_000), || 0);
        let (previous, commit_index) = (LogPosition::new(Term(0), LogIndex(0)), LogIndex(0));
        let heartbeat = RaftMessageKind::AppendEntries {
            previous,
            entries: Vec::new(),
            commit_index,
            sent_at: 1,
        };
        raft.step(message(2, 5, heartbeat), ELECTED_AT);
        raft.outbox.clear();
        raft.step(message(from, term, RaftMessageKind::TimeoutNow), ELECTED_AT);
        let requests = raft
            .outbox
            .iter()
            .filter(|(_, m)| matches!(m.kind, RaftMessageKind::RequestVote { .. }));
        assert_eq!(requests.count(), if campaigns { 3 } else { 0 }, "{case}");
        assert_eq!(raft.state.term, Term(if campaigns { 6 } else { 5 }), "{case}");
        // A learner starts no election either when its leader has been silent for long.
        raft.outbox.clear();
        raft.tick(ELECTED_AT.plus(60_000));
        assert_eq!(raft.outbox.is_empty(), !is_voter, "{case}: the leader is silent");
    }
}

#[test]
fn a_leader_answers_reads_and_holds_a_lease_only_with_a_committed_entry_of_its_term() {
    // (case, terms of the entries before the leader's own, match index that a follower
    // acknowledges, whether the leader holds the lease and answers reads)
    let cases: [(&str, &[u64], Option<u64>, bool); 6] = [
        ("no follower responds", &[1, 1], None, false),
        ("the entries of earlier terms are on most disks", &[1, 1], Some(2), false),
        ("the leader's own entry is on most disks", &[1, 1], Some(3), true),
        ("an empty log, no follower responds", &[], None, false),
        ("an empty log, no entry is acknowledged", &[], Some(0), false),
        ("an empty log, the leader's own entry is acknowledged", &[], Some(1), true),
    ];
    for (case, terms, acknowledged, holds_lease) in cases {
        let mut leader = elected_leader(3, 5, terms);
        if let Some(match_index) = acknowledged {
            leader.step(message(2, 5, append_success(match_index)), ELECTED_AT);
        }
        let now = ELECTED_AT.plus(10);
        assert_eq!(leader.holds_leader_lease(now), holds_lease, "{case}");
        let read = leader.read_index(now);
        assert_eq!(read.map(|r| r.index), holds_lease.then_some(leader.commit_index), "{case}");
    }
}

#[test]
fn a_vote_is_sent_only_after_it_is_on_disk_even_if_writes_fail() {
    for failures in [0, 1, 3] {
        let mut storage = RaftStorage::in_memory().expect("in memory");
        let (mut voter, mut persister, mut now) =
            (replica(3, 5, &[1]), LogPersister::default(), ELECTED_AT);
        let last = LogPosition::new(Term(1), LogIndex(1));
        let request = RaftMessageKind::RequestVote {
            pre_vote: false,
            leadership_transfer: false,
            led_previous_term: false,
            last_log: last,
        };
        voter.step(message(2, 6, request), now);
        assert!(persister.take_sendable(&mut voter).is_empty(), "{failures} writes fail");
        for _ in 0..failures {
            now = now.plus(1_000);
            assert!(persister.begin_write(&mut voter, now).is_some(), "{failures} writes fail");
            assert!(persister.take_sendable(&mut voter).is_empty(), "{failures} writes fail");
            assert!(
                persister.end_write(&mut voter, WriteOutcome::Failed, now).is_empty(),
                "{failures} writes fail"
            );
            assert!(persister.take_sendable(&mut voter).is_empty(), "{failures} writes fail");
        }
        now = now.plus(1_000);
        let batch =
            persister.begin_write(&mut voter, now).expect("the vote is still to be written");
        assert!(persister.take_sendable(&mut voter).is_empty(), "{failures} writes fail");
        storage.save(&batch).expect("save");
        let released: Vec<RaftMessageKind> = persister
            .end_write(&mut voter, WriteOutcome::Durable, now)
            .into_iter()
            .map(|(_, m)| m.kind)
            .collect();
        assert_eq!(released, [RaftMessageKind::VoteResponse { pre_vote: false, granted: true }]);
        let on_disk = storage.load().expect("load").expect("a state");
        assert_eq!((on_disk.term, on_disk.voted_for), (Term(6), Some(MemberId(2))));
    }
}

#[test]
fn a_candidate_reports_its_leadership_of_the_previous_term_only() {
    // (the last term that the candidate led, whether it reports that it led term 5)
    for (last_led_term, led_previous_term) in
        [(None, false), (Some(3), false), (Some(4), false), (Some(5), true)]
    {
        let last_led_term = last_led_term.map(Term);
        let state = PersistentState {
            term: Term(5),
            last_led_term,
            log: log_of(&[1, 5]),
            ..initial_state(1, 3)
        };
        let mut candidate = RaftNode::new(state, false, Tick(1_000), || 0);
        candidate.tick(ELECTED_AT);
        candidate.step(
            message(2, 6, RaftMessageKind::VoteResponse { pre_vote: true, granted: true }),
            ELECTED_AT,
        );
        let last = LogPosition::new(Term(5), LogIndex(2));
        let request = |pre_vote| RaftMessageKind::RequestVote {
            pre_vote,
            leadership_transfer: false,
            led_previous_term,
            last_log: last,
        };
        let sent: Vec<(u64, RaftMessage)> =
            candidate.outbox.drain(..).map(|(to, m)| (to.0, m)).collect();
        let expected = [(2, true), (3, true), (2, false), (3, false)];
        assert_eq!(
            sent,
            expected.map(|(to, pre_vote)| (to, message(1, 6, request(pre_vote)))),
            "{last_led_term:?}"
        );
    }
}

#[test]
fn a_leader_sends_the_next_chunk_only_after_the_newest_one_is_answered() {
    // (case, term of the response, how much its transfer id differs, how many ms before the chunk
    // the answered message was sent, whether the next chunk is sent)
    let cases = [
        ("a response to the chunk", 5, 0, 0, true),
        ("a response to a chunk of another transfer", 5, 1, 0, false),
        ("a response to a message sent before the chunk", 5, 0, 1, false),
        ("a response of an earlier term", 4, 0, 0, false),
    ];
    for (case, term, id_offset, sent_before_ms, sends_next) in cases {
        let mut leader = elected_leader(3, 5, &[]);
        leader.step(message(2, 5, append_success(1)), ELECTED_AT);
        leader.record_peer_layout(MemberId(2), LAYOUT);
        leader.outbox.clear();
        let now = ELECTED_AT.plus(10);
        leader.propose(EntryPayload::Command(ByteBuf::from(vec![0; 100_000])), now);
        let take_chunks = |leader: &mut RaftNode| -> Vec<(u64, u64, u64)> {
            let messages = leader.outbox.drain(..).filter(|(to, _)| *to == MemberId(2));
            messages
                .filter_map(|(_, m)| match m.kind {
                    RaftMessageKind::Chunk { transfer_id, offset, bytes, .. } => {
                        Some((transfer_id, offset, bytes.len() as u64))
                    }
                    _ => None,
                })
                .collect()
        };
        let first = take_chunks(&mut leader);
        let [(transfer_id, 0, size)] = first[..] else { panic!("{case}: {first:?}") };
        let sent_at = now.0 - sent_before_ms;
        let response = RaftMessageKind::ChunkResponse {
            transfer_id: transfer_id + id_offset,
            received: size,
            sent_at,
        };
        leader.step(message(2, term, response), now.plus(5));
        let next: Vec<(u64, u64)> =
            take_chunks(&mut leader).iter().map(|chunk| (chunk.0, chunk.1)).collect();
        assert_eq!(next, if sends_next { vec![(transfer_id, size)] } else { vec![] }, "{case}");
    }
}

#[test]
fn a_candidate_follows_a_leader_of_its_term_and_counts_no_more_votes() {
    let append = RaftMessageKind::AppendEntries {
        previous: LogPosition::new(Term(0), LogIndex(0)),
        entries: Vec::new(),
        commit_index: LogIndex(0),
        sent_at: 1,
    };
    // (whether the candidate is in its pre-vote, the leader's term, whether a vote after the
    // leader's message counts, the candidate's term afterwards)
    let cases =
        [(true, 5, false, 5), (false, 6, false, 6), (true, 4, true, 6), (false, 5, true, 6)];
    for (pre_vote, term, counts, term_after) in cases {
        let case = format!("pre-vote {pre_vote}, a leader of term {term}");
        let mut candidate = replica(3, 5, &[1]);
        candidate.tick(ELECTED_AT);
        if !pre_vote {
            let granted = RaftMessageKind::VoteResponse { pre_vote: true, granted: true };
            candidate.step(message(2, 6, granted), ELECTED_AT);
        }
        candidate.step(message(2, term, append.clone()), ELECTED_AT);
        assert_eq!(candidate.leader, if counts { None } else { Some(MemberId(2)) }, "{case}");
        candidate.step(
            message(3, 6, RaftMessageKind::VoteResponse { pre_vote, granted: true }),
            ELECTED_AT,
        );
        assert_eq!(candidate.is_leader(), counts && !pre_vote, "{case}");
        assert_eq!(candidate.state.term, Term(term_after), "{case}");
    }
}

#[test]
fn a_leader_without_quorum_responses_steps_down() {
    // (number of voters, members that respond 900 ms after the election, whether the leader is
    // still the leader 1000 and 1010 ms after the election)
    let cases: [(u64, &[u64], [bool; 2]); 6] = [
        (1, &[], [true, true]),
        (3, &[], [true, false]),
        (3, &[2], [true, true]),
        (3, &[3, 2], [true, true]),
        (5, &[4], [true, false]),
        (5, &[4, 3], [true, true]),
    ];
    for (voters, responding, is_leader) in cases {
        let mut leader = elected_leader(voters, 5, &[1]);
        for id in responding {
            let sent_at = ELECTED_AT.0 + 900;
            let kind = RaftMessageKind::AppendResponse {
                match_index: LogIndex(0),
                success: true,
                sent_at,
            };
            leader.step(message(*id, 5, kind), ELECTED_AT.plus(900));
        }
        for (ms, is_leader) in [1_000, 1_010].into_iter().zip(is_leader) {
            leader.tick(ELECTED_AT.plus(ms));
            assert_eq!(leader.is_leader(), is_leader, "{voters} voters, {responding:?}, {ms} ms");
        }
        assert_eq!(leader.propose(command(9), ELECTED_AT.plus(1_010)).is_some(), is_leader[1]);
        assert_eq!(leader.state.term, Term(5), "{voters} voters, {responding:?}");
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
    follower.step(message(2, 4, append((3, 3))), ELECTED_AT);
    follower.compact_log(follower.commit_index, || vec![42]);
    assert_eq!(follower.state.snapshot.last_included, LogPosition::new(Term(1), LogIndex(1)));
    assert_eq!(
        (terms_of(&follower), follower.last_position()),
        (vec![3, 3], LogPosition::new(Term(3), LogIndex(3)))
    );
    // The snapshot's last included entry must match in its term, like any entry of the log.
    for (previous, matches) in [((1, 1), true), ((3, 2), true), ((4, 1), false), ((1, 2), false)] {
        follower.outbox.clear();
        follower.step(message(2, 4, append(previous)), ELECTED_AT);
        let success = matches!(
            follower.outbox[0].1.kind,
            RaftMessageKind::AppendResponse { success: true, .. }
        );
        assert_eq!(success, matches, "{previous:?}");
    }
}

#[test]
fn entries_that_a_snapshot_covers_are_not_appended_again() {
    // (case, (term, index) of the previous entry, terms of the entries sent, terms of the log
    // afterwards, acknowledged match index). The snapshot ends with entry 3 of term 2; entries 4
    // and 5 are in the log.
    type Case = (&'static str, (u64, u64), &'static [u64], &'static [u64], u64);
    let cases: [Case; 6] = [
        ("from the beginning to the snapshot's end", (0, 0), &[1, 1, 2], &[2, 3], 3),
        ("all entries before the snapshot's end", (1, 1), &[1], &[2, 3], 3),
        ("a heartbeat before the snapshot's end", (1, 1), &[], &[2, 3], 3),
        ("beyond the snapshot's end", (1, 2), &[2, 2], &[2, 3], 4),
        ("beyond the end of the log", (1, 2), &[2, 2, 3, 4], &[2, 3, 4], 6),
        ("a conflict after the snapshot's end", (1, 2), &[2, 2, 4], &[2, 4], 5),
    ];
    for (case, previous, terms, log, match_index) in cases {
        let entries_after = |index: u64, terms: &[u64]| -> Vec<LogEntry> {
            let shift = |e: LogEntry| LogEntry { index: LogIndex(index + e.index.0), ..e };
            log_of(terms).into_iter().map(shift).collect()
        };
        let mut state = PersistentState {
            term: Term(4),
            log: entries_after(3, &[2, 3]),
            ..initial_state(1, 3)
        };
        state.snapshot.last_included = LogPosition::new(Term(2), LogIndex(3));
        let mut follower = RaftNode::new(state, false, Tick(1_000), || 0);
        let entries = entries_after(previous.1, terms);
        let previous = LogPosition::new(Term(previous.0), LogIndex(previous.1));
        let append = RaftMessageKind::AppendEntries {
            previous,
            entries,
            commit_index: LogIndex(0),
            sent_at: 7,
        };
        follower.step(message(2, 4, append), ELECTED_AT);
        persist(&mut follower);
        assert_eq!(terms_of(&follower), log, "{case}");
        let indexes = follower.state.log.iter().map(|e| e.index.0);
        assert!(indexes.eq(4..4 + log.len() as u64), "{case}: {:?}", follower.state.log);
        let kind = RaftMessageKind::AppendResponse {
            match_index: LogIndex(match_index),
            success: true,
            sent_at: 7,
        };
        assert_eq!(follower.outbox.pop().map(|(_, m)| m.kind), Some(kind), "{case}");
        assert_eq!(follower.commit_index, LogIndex(3), "{case}");
    }
}

#[test]
fn a_restarted_leader_that_learns_of_a_later_term_waits_the_full_election_timeout() {
    let heartbeat = RaftMessageKind::AppendEntries {
        previous: LogPosition::new(Term(0), LogIndex(0)),
        entries: Vec::new(),
        commit_index: LogIndex(0),
        sent_at: 1,
    };
    // (the last term that the member led, the term of a leader that it hears from, whether its
    // election timeout is short then)
    for (last_led_term, leader_term, short) in
        [(5, None, true), (5, Some(6), false), (4, Some(5), false)]
    {
        let last_led_term = Some(Term(last_led_term));
        let state = PersistentState {
            term: Term(5),
            last_led_term,
            log: log_of(&[5]),
            ..initial_state(1, 3)
        };
        let mut raft = RaftNode::new(state, true, ELECTED_AT, || 0);
        if let Some(term) = leader_term {
            raft.step(message(2, term, heartbeat.clone()), ELECTED_AT);
        }
        let is_short = raft.next_tick_at() < ELECTED_AT.plus(MIN_ELECTION_TIMEOUT_MS);
        assert_eq!(is_short, short, "led {last_led_term:?}, leader of {leader_term:?}");
    }
}
