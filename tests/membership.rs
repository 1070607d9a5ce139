//! Who belongs to the controllers: losses, returns and replacements in every order.
#[path = "support/controllers.rs"]
mod controllers;
use controllers::{SYNC_MS, State, TestCluster, member};
use silvertack::base::ids::{LogIndex, MemberId, Revision, Term};
use silvertack::base::time::Tick;
use silvertack::net::rpc::pack;
use silvertack::net::rpc::raft_messages::{
    EntryPayload, Member, RaftMessage, RaftMessageKind, Snapshot,
};
use silvertack::raft::node::RaftNode;
use silvertack::raft::read_index::ReadConfirmation;
use silvertack::raft::state::{PersistentState, UnsavedChanges};
use silvertack::state_machine::{Command, StateMachine};
use std::collections::HashSet;

#[derive(Clone, Copy, Debug, PartialEq)]
enum Event {
    Lose(usize, State),
    Return(usize, bool),
    Wait(u64),
}
/// What distinguishes two states of the cluster, whichever machines are concerned.
type Key = (Vec<(State, u64, u8, bool)>, usize, usize);

fn key(cluster: &TestCluster) -> Key {
    let (list, leader) = (cluster.members(), cluster.leader());
    let vote = |id: u64| list.iter().find(|m| m.id.0 == id).map_or(0, |m| 1 + u8::from(m.voter));
    let mut each: Vec<_> = (0..cluster.machines.len())
        .map(|i| {
            let m = &cluster.machines[i];
            let age = cluster.now.since(m.returned_at).min(SYNC_MS) / 500;
            (m.state, if m.state == State::Up { age } else { 0 }, vote(m.id), leader == Some(i))
        })
        .collect();
    each.sort();
    let voters = list.iter().filter(|m| m.voter).count();
    (each, voters, list.len())
}

/// What may happen now within the tolerated number of simultaneous losses. A machine that still
/// counts as lost may be lost again. Of machines in the same state one stands for all.
fn events(cluster: &TestCluster) -> Vec<Event> {
    let (list, leader, mut seen) = (cluster.members(), cluster.leader(), HashSet::new());
    let mut all = vec![Event::Wait(700), Event::Wait(SYNC_MS)];
    for (i, m) in cluster.machines.iter().enumerate() {
        let vote = list.iter().find(|l| l.id.0 == m.id).map(|l| l.voter);
        if !seen.insert((m.state, cluster.in_sync(i), vote, leader == Some(i))) {
            continue;
        }
        match m.state {
            State::Up if !cluster.in_sync(i) || cluster.lost() < cluster.tolerated => {
                all.extend([State::Partitioned, State::DiskLost].map(|s| Event::Lose(i, s)));
            }
            State::Up => {}
            State::Partitioned => {
                all.extend([Event::Return(i, false), Event::Lose(i, State::DiskLost)])
            }
            State::DiskLost => all.extend([true, false].map(|e| Event::Return(i, e))),
        }
    }
    all
}

/// The inequality that has to hold at every moment: whichever machines are lost next, as many as
/// still may be, those left are more than half of the voters, and hold what was acknowledged.
fn check(cluster: &TestCluster, history: &[Event]) {
    let list = cluster.members();
    let mut places: Vec<_> = list.iter().map(|m| m.admin).collect();
    places.sort();
    places.dedup();
    assert_eq!(places.len(), list.len(), "one address twice after {history:?}: {list:?}");
    let voters: Vec<u64> = list.iter().filter(|m| m.voter).map(|m| m.id.0).collect();
    let lost = cluster.lost();
    let more = cluster.tolerated.checked_sub(lost).expect("within the promise");
    let in_sync: Vec<usize> = (0..cluster.machines.len()).filter(|i| cluster.in_sync(*i)).collect();
    let vote = in_sync.iter().filter(|i| voters.contains(&cluster.machines[**i].id)).count();
    assert!(
        vote > more + voters.len() / 2,
        "after {history:?}: {lost} lost, {more} more may be; {vote} of the voters are safe: {list:?}"
    );
    if let Some(last) = cluster.acknowledged.last() {
        let hold = in_sync.iter().filter(|i| cluster.log_holds(**i, *last)).count();
        assert!(hold > more, "after {history:?}: only {hold} hold what was acknowledged");
    }
}

fn walk(
    cluster: &TestCluster,
    history: &mut Vec<Event>,
    depth: usize,
    visited: &mut HashSet<(Key, usize)>,
) {
    if depth == 0 || (0..=12).any(|d| d >= depth && visited.contains(&(key(cluster), d))) {
        return;
    }
    visited.insert((key(cluster), depth));
    for event in events(cluster) {
        let mut next = cluster.clone();
        history.push(event);
        let ms = match event {
            Event::Lose(at, state) => {
                next.lose(at, state);
                100
            }
            Event::Return(at, elsewhere) => {
                next.come_back(at, elsewhere);
                100
            }
            Event::Wait(ms) => ms,
        };
        check(&next, history);
        for _ in 0..ms / 50 {
            next.advance();
            check(&next, history);
        }
        if ms == SYNC_MS {
            assert!(next.propose_command(), "after {history:?}: nothing is acknowledged");
            let leader = next.leader().expect("it acknowledged");
            for command in &next.acknowledged {
                assert!(next.log_holds(leader, *command), "after {history:?}: {command:?} is lost");
            }
        } else {
            next.propose_command();
        }
        walk(&next, history, depth - 1, visited);
        history.pop();
    }
}

#[test]
fn in_any_order_of_losses_and_returns_the_rest_form_a_quorum_and_hold_everything() {
    // (machines, losses to be borne at once, how many things happen)
    let cases = [(3, 1, 10), (4, 1, 9), (5, 2, 8), (6, 2, 8), (7, 2, 8)];
    std::thread::scope(|scope| {
        for (count, tolerated, depth) in cases {
            scope.spawn(move || {
                let mut cluster = TestCluster::new(count, tolerated);
                for _ in 0..100 {
                    cluster.advance();
                }
                assert!(cluster.propose_command(), "{count}");
                let mut visited = HashSet::new();
                walk(&cluster, &mut Vec::new(), depth, &mut visited);
                println!("{count} machines, {tolerated} lost at once: {} moments", visited.len());
            });
        }
    });
}

/// A leader and the messages it sends; the test answers for the others.
struct TestLeader {
    raft: RaftNode,
    now: Tick,
}
impl TestLeader {
    fn new(voters: u64) -> Self {
        let members = (1..=voters).map(|i| member(i, i, true)).collect();
        let snapshot = Snapshot { members, ..Snapshot::default() };
        let state =
            PersistentState { member_id: MemberId(1), snapshot, ..PersistentState::default() };
        let mut this =
            Self { raft: RaftNode::new(state, false, Tick(1_000), || 0), now: Tick(2_000) };
        this.raft.tick(this.now);
        for pre_vote in [true, false] {
            for from in 2..=voters {
                this.receive(from, RaftMessageKind::VoteResponse { pre_vote, granted: true });
            }
        }
        assert!(this.raft.is_leader());
        this.persist();
        this
    }
    fn persist(&mut self) {
        self.raft.unsaved = UnsavedChanges::default();
        self.raft.log_persisted(self.raft.last_position());
    }
    fn receive(&mut self, from: u64, kind: RaftMessageKind) {
        let pre_vote = matches!(kind, RaftMessageKind::VoteResponse { pre_vote: true, .. });
        let term = Term(self.raft.state.term.0 + u64::from(pre_vote));
        self.raft.step(RaftMessage { from: MemberId(from), term, kind }, self.now);
    }
    /// A member acknowledges everything up to here, in answer to what was sent just now.
    fn acknowledge(&mut self, from: u64, last_index: u64) {
        let sent_at = self.now.0;
        self.receive(
            from,
            RaftMessageKind::AppendResponse {
                match_index: LogIndex(last_index),
                success: true,
                sent_at,
            },
        );
    }
    fn propose(&mut self) {
        self.raft.propose(EntryPayload::NoOp, self.now);
        self.persist();
    }
    fn wait(&mut self, ms: u64) {
        self.now = self.now.plus(ms);
        self.raft.tick(self.now);
    }
    /// Who was sent `TimeoutNow` since the last call.
    fn transfer_targets(&mut self) -> Vec<u64> {
        let out = self.raft.outbox.drain(..);
        out.filter(|(_, m)| m.kind == RaftMessageKind::TimeoutNow).map(|(to, _)| to.0).collect()
    }
}

#[test]
fn leadership_goes_to_a_present_voter_that_holds_the_whole_log() {
    // (what, how far each is and after how long the last answer of 2 came, who is asked at once,
    // what 3 says then, who is asked after so many milliseconds)
    type Case = (&'static str, [u64; 2], u64, &'static [u64], Option<u64>, u64, &'static [u64]);
    let cases: [Case; 5] = [
        ("both are there", [4, 3], 0, &[2], None, 0, &[]),
        ("the one that is furthest is dark", [4, 3], 500, &[], Some(4), 10, &[3]),
        ("none has all of it yet", [3, 2], 0, &[], Some(4), 10, &[3]),
        ("none gets it in time, one has what is committed", [3, 2], 0, &[], None, 260, &[2]),
        ("nobody is there", [4, 4], 500, &[], None, 300, &[]),
    ];
    for (what, [second, third], silent_ms, at_once, then, after, later) in cases {
        let mut leader = TestLeader::new(3);
        for _ in 0..3 {
            leader.propose();
        }
        leader.acknowledge(2, second);
        leader.wait(silent_ms);
        if what != "nobody is there" {
            leader.acknowledge(3, third);
        }
        leader.transfer_targets();
        leader.raft.transfer_leadership(leader.now);
        assert_eq!(leader.transfer_targets(), at_once, "{what}");
        leader.wait(after);
        if let Some(last_index) = then {
            leader.acknowledge(3, last_index);
        }
        assert_eq!(leader.transfer_targets(), later, "{what}, later");
        leader.wait(510);
        assert!(!leader.raft.is_leader(), "{what}: it does not lead on");
    }
}

#[test]
fn a_learner_that_keeps_up_with_a_steady_stream_becomes_a_voter() {
    // (how long its answers take, whether it is to vote)
    for (delay_ms, votes) in [(0, true), (60, true), (400, true), (900, false)] {
        let mut leader = TestLeader::new(1);
        let joiner = member(2, 2, false);
        let mut answers: std::collections::VecDeque<(Tick, u64, Tick)> = Default::default();
        for _ in 0..400 {
            leader.wait(10);
            leader.propose();
            leader.raft.outbox.clear();
            answers.push_back((
                leader.now.plus(delay_ms),
                leader.raft.last_position().index.0,
                leader.now,
            ));
            while let Some((arrives_at, last_index, sent_at)) = answers.front().copied()
                && arrives_at <= leader.now
            {
                answers.pop_front();
                leader.receive(
                    2,
                    RaftMessageKind::AppendResponse {
                        match_index: LogIndex(last_index),
                        success: true,
                        sent_at: sent_at.0,
                    },
                );
            }
            let next_change =
                leader.raft.next_membership_change([&joiner].into_iter(), 0, 4_000, leader.now);
            if let Some(list) = next_change {
                leader.raft.propose(EntryPayload::Membership(list), leader.now);
                leader.persist();
            }
        }
        let list = leader.raft.members();
        assert_eq!(
            list.iter().any(|m| m.id == MemberId(2) && m.voter),
            votes,
            "{delay_ms} ms late"
        );
    }
}

#[test]
fn no_command_is_accepted_before_there_are_voters_enough() {
    // (voters, losses to be borne, learners, when the first order may be taken: after so long)
    let never = u64::MAX;
    let cases = [
        (1, 0, 0, 0),
        (1, 1, 0, 60_000),
        (1, 1, 1, never),
        (2, 1, 0, 5_000),
        (3, 1, 0, 0),
        (3, 1, 1, 0),
        (2, 2, 0, 60_000),
        (3, 2, 0, 5_000),
        (4, 2, 1, never),
        (5, 2, 0, 0),
    ];
    for (voters, tolerated, learners, after) in cases {
        let mut leader = TestLeader::new(voters);
        let joins = (0..learners).map(|i| member(100 + i, 100 + i, false));
        let list: Vec<Member> = leader.raft.members().iter().cloned().chain(joins).collect();
        leader.raft.propose(EntryPayload::Membership(list), leader.now);
        for waited in [0, 4_900, 5_100, 59_900, 60_100, 600_000] {
            let now = leader.now.plus(waited);
            let may = leader.raft.may_bootstrap(tolerated, now);
            assert_eq!(may, waited >= after, "{voters} voters, {tolerated} lost, {waited} ms");
        }
        // A restart waits anew; whoever does not lead never says so.
        let state = leader.raft.state.clone();
        let again = RaftNode::new(state, true, leader.now.plus(600_000), || 0);
        assert!(!again.may_bootstrap(tolerated, leader.now.plus(600_000)));
    }
}

#[test]
fn the_state_machine_remembers_that_a_command_was_applied() {
    let configure = Command::PutConfiguration {
        base: Revision(0),
        revision: Revision(1),
        body: serde_bytes::ByteBuf::from(b"{}".to_vec()),
    };
    let mut state_machine = StateMachine::default();
    assert!(!state_machine.is_initialized());
    state_machine.apply(&configure);
    assert!(state_machine.is_initialized());
    let again = StateMachine::from_snapshot(&pack(&state_machine)).expect("read");
    assert!(again.is_initialized(), "after a fold, and on a disk of before");
}

#[test]
fn a_member_partitioned_for_long_keeps_its_log_when_it_returns() {
    let mut cluster = TestCluster::new(4, 1);
    let run = |cluster: &mut TestCluster, ms: u64| (0..ms / 50).for_each(|_| cluster.advance());
    run(&mut cluster, 3_000);
    for _ in 0..60 {
        assert!(cluster.propose_command());
    }
    let at = cluster.leader().map_or(0, |leader| (leader + 1) % 4);
    cluster.lose(at, State::Partitioned);
    run(&mut cluster, 20_000);
    assert_eq!(cluster.members().len(), 3, "a spare one that is silent goes");
    let last = cluster.machines[at].raft.last_position();
    assert!((0..5).all(|_| cluster.propose_command()));
    cluster.come_back(at, false);
    cluster.sent_to = (cluster.machines[at].id, 0);
    run(&mut cluster, SYNC_MS);
    assert!(cluster.members().iter().any(|m| m.id.0 == cluster.sent_to.0 && m.voter));
    let raft = &cluster.machines[at].raft;
    let missing = raft.last_position().index.0 - last.index.0;
    assert!(missing < 20, "it has missed a little: {missing}");
    let sent = cluster.sent_to.1 as u64;
    assert!(sent <= 2 * missing, "{sent} entries for {missing} that it had missed");
    assert!(cluster.acknowledged.iter().all(|command| cluster.log_holds(at, *command)));
}

/// So many voters, and learners with the ids after theirs.
fn list(voters: u64, learners: u64) -> Vec<Member> {
    (1..=voters + learners).map(|id| member(id, id, id <= voters)).collect()
}

#[test]
fn only_voters_of_the_newest_membership_count_for_commits_and_leases() {
    // (what, voters at first, voters and learners of the list that is proposed, who acknowledges
    // everything, whether that commits it)
    type Case = (&'static str, u64, (u64, u64), &'static [u64], bool);
    let cases: [Case; 8] = [
        ("a learner", 3, (3, 1), &[4], false),
        ("more learners than voters", 3, (3, 4), &[4, 5, 6, 7], false),
        ("a voter", 3, (3, 4), &[2], true),
        ("one that the list takes in as a voter", 3, (4, 0), &[4], false),
        ("two of the longer list", 3, (4, 0), &[4, 2], true),
        ("one that the list leaves out", 4, (3, 0), &[4], false),
        ("one that the shorter list keeps", 4, (3, 0), &[2], true),
        ("one that is in no list", 3, (3, 1), &[9], false),
    ];
    for (what, before, (voters, learners), acknowledge, commits) in cases {
        let mut leader = TestLeader::new(before);
        for id in 2..=before {
            leader.acknowledge(id, leader.raft.last_position().index.0);
        }
        assert!(leader.raft.holds_leader_lease(leader.now), "{what}");
        leader.wait(500);
        let commit = leader.raft.commit_index;
        leader.raft.propose(EntryPayload::Membership(list(voters, learners)), leader.now);
        leader.persist();
        assert_eq!(leader.raft.commit_index, commit, "{what}: its own disk alone");
        let last = leader.raft.last_position().index;
        let read = leader.raft.read_index(leader.now).expect("it leads");
        leader.wait(1);
        for id in acknowledge {
            leader.acknowledge(*id, last.0);
        }
        assert_eq!(leader.raft.commit_index == last, commits, "{what}");
        assert_eq!(
            leader.raft.holds_leader_lease(leader.now),
            commits,
            "{what}: a quorum answered"
        );
        let expected =
            if commits { ReadConfirmation::Confirmed } else { ReadConfirmation::Pending };
        assert_eq!(leader.raft.read_confirmation(&read), expected, "{what}: ReadIndex");
    }
}

#[test]
fn only_voters_elect_a_leader() {
    // (voters, learners, who grants its vote, whether member 1 leads then)
    let cases: [(u64, u64, &[u64], bool); 5] = [
        (3, 0, &[2], true),
        (3, 2, &[4, 5], false),
        (3, 2, &[4, 5, 3], true),
        (5, 1, &[2, 6], false),
        (5, 1, &[2, 6, 4], true),
    ];
    for (voters, learners, grant, leads) in cases {
        for pre_vote in [true, false] {
            let snapshot = Snapshot { members: list(voters, learners), ..Snapshot::default() };
            let state =
                PersistentState { member_id: MemberId(1), snapshot, ..PersistentState::default() };
            let mut raft = RaftNode::new(state, false, Tick(1_000), || 0);
            let now = Tick(2_000);
            raft.tick(now);
            let vote = |raft: &mut RaftNode, id: u64, pre_vote| {
                let kind = RaftMessageKind::VoteResponse { pre_vote, granted: true };
                raft.step(RaftMessage { from: MemberId(id), term: Term(1), kind }, now);
            };
            if !pre_vote {
                (2..=voters).for_each(|id| vote(&mut raft, id, true));
            }
            let before = raft.state.term;
            grant.iter().for_each(|id| vote(&mut raft, *id, pre_vote));
            let won = if pre_vote { raft.state.term > before } else { raft.is_leader() };
            assert_eq!(won, leads, "{voters} voters, {learners} learners, {grant:?}, {pre_vote}");
        }
    }
}

#[test]
fn a_membership_change_waits_until_the_last_one_is_committed() {
    let mut leader = TestLeader::new(3);
    let (first, second) = (member(4, 4, false), member(5, 5, false));
    let next_change = |leader: &TestLeader| {
        let joining = [&first, &second].into_iter();
        leader.raft.next_membership_change(joining, 1, 4_000, leader.now).map(|list| list.len())
    };
    assert_eq!(next_change(&leader), Some(4));
    leader.raft.propose(EntryPayload::Membership(list(3, 1)), leader.now);
    leader.persist();
    assert_eq!(next_change(&leader), None, "the change is on one disk of three");
    leader.acknowledge(4, leader.raft.last_position().index.0);
    assert_eq!(next_change(&leader), None, "and on a learner's");
    leader.acknowledge(2, leader.raft.last_position().index.0);
    assert_eq!(next_change(&leader), Some(5));
    // A leader that transfers its leadership appends nothing any more.
    leader.raft.transfer_leadership(leader.now);
    let last = leader.raft.last_position();
    assert_eq!(leader.raft.propose(EntryPayload::Membership(list(3, 2)), leader.now), None);
    assert_eq!(leader.raft.last_position(), last);
}

#[test]
fn leadership_is_not_transferred_to_a_learner() {
    let mut leader = TestLeader::new(3);
    leader.raft.propose(EntryPayload::Membership(list(3, 1)), leader.now);
    leader.persist();
    let last = leader.raft.last_position().index.0;
    leader.acknowledge(4, last);
    leader.acknowledge(2, last - 1);
    leader.transfer_targets();
    leader.raft.transfer_leadership(leader.now);
    assert!(leader.transfer_targets().is_empty(), "only the learner holds the whole log");
    leader.acknowledge(2, last);
    assert_eq!(leader.transfer_targets(), [2]);
}
