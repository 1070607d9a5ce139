//! Raft membership changes: machines are lost, return and are replaced in every order.
#[path = "support/controllers.rs"]
mod controllers;
use controllers::{MachineState, SYNC_MS, TestCluster, member};
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
    Lose(usize, MachineState),
    Return(usize, bool),
    Wait(u64),
}
/// Identifies a state of the cluster, independent of which machine is in which state: the sorted
/// machines (state, time since return, vote, leadership), the number of voters and of members.
type ClusterKey = (Vec<(MachineState, u64, u8, bool)>, usize, usize);

fn cluster_key(cluster: &TestCluster) -> ClusterKey {
    let (members, leader) = (cluster.members(), cluster.leader());
    let vote = |id: u64| members.iter().find(|m| m.id.0 == id).map_or(0, |m| 1 + u8::from(m.voter));
    let mut machines: Vec<_> = (0..cluster.machines.len())
        .map(|i| {
            let m = &cluster.machines[i];
            let age = cluster.now.since(m.returned_at).min(SYNC_MS) / 500;
            (
                m.state,
                if m.state == MachineState::Up { age } else { 0 },
                vote(m.id),
                leader == Some(i),
            )
        })
        .collect();
    machines.sort();
    let voters = members.iter().filter(|m| m.voter).count();
    (machines, voters, members.len())
}

/// The events possible now within the tolerated number of simultaneous losses. A machine that still
/// counts as lost may be lost again. Of several machines in the same state only one is used.
fn possible_events(cluster: &TestCluster) -> Vec<Event> {
    let (members, leader, mut seen) = (cluster.members(), cluster.leader(), HashSet::new());
    let mut events = vec![Event::Wait(700), Event::Wait(SYNC_MS)];
    for (i, m) in cluster.machines.iter().enumerate() {
        let vote = members.iter().find(|l| l.id.0 == m.id).map(|l| l.voter);
        if !seen.insert((m.state, cluster.is_synced(i), vote, leader == Some(i))) {
            continue;
        }
        match m.state {
            MachineState::Up
                if !cluster.is_synced(i) || cluster.lost_machines() < cluster.tolerated =>
            {
                events.extend(
                    [MachineState::Partitioned, MachineState::DiskLost].map(|s| Event::Lose(i, s)),
                );
            }
            MachineState::Up => {}
            MachineState::Partitioned => {
                events.extend([Event::Return(i, false), Event::Lose(i, MachineState::DiskLost)])
            }
            MachineState::DiskLost => events.extend([true, false].map(|e| Event::Return(i, e))),
        }
    }
    events
}

/// Checks the invariant: whichever machines are lost next within the tolerated number, the
/// remaining ones are a majority of the voters and hold everything that was acknowledged.
fn check_invariant(cluster: &TestCluster, history: &[Event]) {
    let members = cluster.members();
    let mut addresses: Vec<_> = members.iter().map(|m| m.admin).collect();
    addresses.sort();
    addresses.dedup();
    assert_eq!(
        addresses.len(),
        members.len(),
        "two members with the same address after {history:?}: {members:?}"
    );
    let voters: Vec<u64> = members.iter().filter(|m| m.voter).map(|m| m.id.0).collect();
    let lost = cluster.lost_machines();
    let further_losses =
        cluster.tolerated.checked_sub(lost).expect("no more machines lost than tolerated");
    let synced: Vec<usize> =
        (0..cluster.machines.len()).filter(|i| cluster.is_synced(*i)).collect();
    let synced_voters =
        synced.iter().filter(|i| voters.contains(&cluster.machines[**i].id)).count();
    assert!(
        synced_voters > further_losses + voters.len() / 2,
        "after {history:?}: {lost} lost, {further_losses} more may be lost; only {synced_voters} \
         voters are synced: {members:?}"
    );
    if let Some(last) = cluster.acknowledged.last() {
        let holders = synced.iter().filter(|i| cluster.log_contains(**i, *last)).count();
        assert!(
            holders > further_losses,
            "after {history:?}: only {holders} machines hold the last acknowledged command"
        );
    }
}

/// Explores all sequences of up to `depth` events, checking the invariant after each tick.
fn explore(
    cluster: &TestCluster,
    history: &mut Vec<Event>,
    depth: usize,
    visited: &mut HashSet<(ClusterKey, usize)>,
) {
    if depth == 0 || (0..=12).any(|d| d >= depth && visited.contains(&(cluster_key(cluster), d))) {
        return;
    }
    visited.insert((cluster_key(cluster), depth));
    for event in possible_events(cluster) {
        let mut next = cluster.clone();
        history.push(event);
        let ms = match event {
            Event::Lose(machine, state) => {
                next.lose(machine, state);
                100
            }
            Event::Return(machine, at_new_address) => {
                next.return_machine(machine, at_new_address);
                100
            }
            Event::Wait(ms) => ms,
        };
        check_invariant(&next, history);
        for _ in 0..ms / 50 {
            next.advance();
            check_invariant(&next, history);
        }
        if ms == SYNC_MS {
            assert!(next.propose_command(), "after {history:?}: no command is acknowledged");
            let leader = next.leader().expect("a leader acknowledged the command");
            for command in &next.acknowledged {
                assert!(
                    next.log_contains(leader, *command),
                    "after {history:?}: {command:?} is lost"
                );
            }
        } else {
            next.propose_command();
        }
        explore(&next, history, depth - 1, visited);
        history.pop();
    }
}

#[test]
fn quorum_and_acknowledged_commands_survive_losses_and_returns_in_any_order() {
    // (machines, tolerated simultaneous losses, number of events)
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
                explore(&cluster, &mut Vec::new(), depth, &mut visited);
                println!(
                    "{count} machines, {tolerated} tolerated losses: {} states",
                    visited.len()
                );
            });
        }
    });
}

/// A leader and the messages it sends. The test responds for the other members.
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
        let mut leader =
            Self { raft: RaftNode::new(state, false, Tick(1_000), || 0), now: Tick(2_000) };
        leader.raft.tick(leader.now);
        for pre_vote in [true, false] {
            for from in 2..=voters {
                leader.receive(from, RaftMessageKind::VoteResponse { pre_vote, granted: true });
            }
        }
        assert!(leader.raft.is_leader());
        leader.persist();
        leader
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
    /// Receives a member's acknowledgement of all entries up to `last_index`, sent in response to a
    /// message of the current moment.
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
    /// The members to which `TimeoutNow` was sent since the last call.
    fn transfer_targets(&mut self) -> Vec<u64> {
        let out = self.raft.outbox.drain(..);
        out.filter(|(_, m)| m.kind == RaftMessageKind::TimeoutNow).map(|(to, _)| to.0).collect()
    }
}

#[test]
fn leadership_is_transferred_to_a_present_voter_that_holds_the_whole_log() {
    // (case, last log index of members 2 and 3, silence of member 2 in milliseconds, immediate
    // targets, later acknowledgement of member 3, milliseconds until the later check, later
    // targets)
    type Case = (&'static str, [u64; 2], u64, &'static [u64], Option<u64>, u64, &'static [u64]);
    let cases: [Case; 5] = [
        ("both are present", [4, 3], 0, &[2], None, 0, &[]),
        ("the most advanced one is silent", [4, 3], 500, &[], Some(4), 10, &[3]),
        ("neither holds the whole log yet", [3, 2], 0, &[], Some(4), 10, &[3]),
        ("neither catches up, one holds the committed part", [3, 2], 0, &[], None, 260, &[2]),
        ("none is present", [4, 4], 500, &[], None, 300, &[]),
    ];
    for (case, [second, third], silent_ms, immediate, acknowledged, after, later) in cases {
        let mut leader = TestLeader::new(3);
        for _ in 0..3 {
            leader.propose();
        }
        leader.acknowledge(2, second);
        leader.wait(silent_ms);
        if case != "none is present" {
            leader.acknowledge(3, third);
        }
        leader.transfer_targets();
        leader.raft.transfer_leadership(leader.now);
        assert_eq!(leader.transfer_targets(), immediate, "{case}");
        leader.wait(after);
        if let Some(last_index) = acknowledged {
            leader.acknowledge(3, last_index);
        }
        assert_eq!(leader.transfer_targets(), later, "{case}, later");
        leader.wait(510);
        assert!(!leader.raft.is_leader(), "{case}: it is still the leader");
    }
}

#[test]
fn a_learner_that_keeps_up_with_a_steady_stream_becomes_a_voter() {
    // (delay of its responses in milliseconds, whether it becomes a voter)
    for (delay_ms, votes) in [(0, true), (60, true), (400, true), (900, false)] {
        let mut leader = TestLeader::new(1);
        let joiner = member(2, 2, false);
        let mut responses: std::collections::VecDeque<(Tick, u64, Tick)> = Default::default();
        for _ in 0..400 {
            leader.wait(10);
            leader.propose();
            leader.raft.outbox.clear();
            responses.push_back((
                leader.now.plus(delay_ms),
                leader.raft.last_position().index.0,
                leader.now,
            ));
            while let Some((arrives_at, last_index, sent_at)) = responses.front().copied()
                && arrives_at <= leader.now
            {
                responses.pop_front();
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
            if let Some(members) = next_change {
                leader.raft.propose(EntryPayload::Membership(members), leader.now);
                leader.persist();
            }
        }
        let members = leader.raft.members();
        assert_eq!(
            members.iter().any(|m| m.id == MemberId(2) && m.voter),
            votes,
            "responses delayed by {delay_ms} ms"
        );
    }
}

#[test]
fn no_command_is_accepted_before_the_cluster_has_enough_voters() {
    // (voters, tolerated losses, learners, milliseconds after which the first command is accepted)
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
        let learners = (0..learners).map(|i| member(100 + i, 100 + i, false));
        let members: Vec<Member> = leader.raft.members().iter().cloned().chain(learners).collect();
        leader.raft.propose(EntryPayload::Membership(members), leader.now);
        for waited in [0, 4_900, 5_100, 59_900, 60_100, 600_000] {
            let now = leader.now.plus(waited);
            let allowed = leader.raft.may_bootstrap(tolerated, now);
            assert_eq!(allowed, waited >= after, "{voters} voters, {tolerated} lost, {waited} ms");
        }
        // A restarted node waits again, and a node that is not the leader never allows it.
        let state = leader.raft.state.clone();
        let restarted = RaftNode::new(state, true, leader.now.plus(600_000), || 0);
        assert!(!restarted.may_bootstrap(tolerated, leader.now.plus(600_000)));
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
    let restored = StateMachine::from_snapshot(&pack(&state_machine)).expect("snapshot");
    assert!(restored.is_initialized(), "restored from a snapshot in the first layout");
}

#[test]
fn a_member_that_was_partitioned_for_long_keeps_its_log_when_it_returns() {
    let mut cluster = TestCluster::new(4, 1);
    let run = |cluster: &mut TestCluster, ms: u64| (0..ms / 50).for_each(|_| cluster.advance());
    run(&mut cluster, 3_000);
    for _ in 0..60 {
        assert!(cluster.propose_command());
    }
    let at = cluster.leader().map_or(0, |leader| (leader + 1) % 4);
    cluster.lose(at, MachineState::Partitioned);
    run(&mut cluster, 20_000);
    assert_eq!(cluster.members().len(), 3, "a silent spare voter is removed");
    let last = cluster.machines[at].raft.last_position();
    assert!((0..5).all(|_| cluster.propose_command()));
    cluster.return_machine(at, false);
    cluster.entries_sent = (cluster.machines[at].id, 0);
    run(&mut cluster, SYNC_MS);
    assert!(cluster.members().iter().any(|m| m.id.0 == cluster.entries_sent.0 && m.voter));
    let raft = &cluster.machines[at].raft;
    let missing = raft.last_position().index.0 - last.index.0;
    assert!(missing < 20, "it has missed only a few entries: {missing}");
    let sent = cluster.entries_sent.1 as u64;
    assert!(sent <= 2 * missing, "{sent} entries sent for {missing} missed ones");
    assert!(cluster.acknowledged.iter().all(|command| cluster.log_contains(at, *command)));
}

/// Members with the given number of voters, followed by learners.
fn member_list(voters: u64, learners: u64) -> Vec<Member> {
    (1..=voters + learners).map(|id| member(id, id, id <= voters)).collect()
}

#[test]
fn only_voters_of_the_newest_membership_count_for_commits_and_leases() {
    // (case, initial voters, voters and learners of the proposed membership, members that
    // acknowledge all entries, whether that commits it)
    type Case = (&'static str, u64, (u64, u64), &'static [u64], bool);
    let cases: [Case; 8] = [
        ("a learner", 3, (3, 1), &[4], false),
        ("more learners than voters", 3, (3, 4), &[4, 5, 6, 7], false),
        ("a voter", 3, (3, 4), &[2], true),
        ("only the voter that the change adds", 3, (4, 0), &[4], false),
        ("two voters of the enlarged membership", 3, (4, 0), &[4, 2], true),
        ("only the voter that the change removes", 4, (3, 0), &[4], false),
        ("a voter of the reduced membership", 4, (3, 0), &[2], true),
        ("one that is in neither membership", 3, (3, 1), &[9], false),
    ];
    for (case, initial_voters, (voters, learners), acknowledge, commits) in cases {
        let mut leader = TestLeader::new(initial_voters);
        for id in 2..=initial_voters {
            leader.acknowledge(id, leader.raft.last_position().index.0);
        }
        assert!(leader.raft.holds_leader_lease(leader.now), "{case}");
        leader.wait(500);
        let commit = leader.raft.commit_index;
        leader.raft.propose(EntryPayload::Membership(member_list(voters, learners)), leader.now);
        leader.persist();
        assert_eq!(leader.raft.commit_index, commit, "{case}: persisted only by the leader");
        let last = leader.raft.last_position().index;
        let read = leader.raft.read_index(leader.now).expect("it is the leader");
        leader.wait(1);
        for id in acknowledge {
            leader.acknowledge(*id, last.0);
        }
        assert_eq!(leader.raft.commit_index == last, commits, "{case}");
        assert_eq!(
            leader.raft.holds_leader_lease(leader.now),
            commits,
            "{case}: a quorum responded"
        );
        let expected =
            if commits { ReadConfirmation::Confirmed } else { ReadConfirmation::Pending };
        assert_eq!(leader.raft.read_confirmation(&read), expected, "{case}: ReadIndex");
    }
}

#[test]
fn only_voters_elect_a_leader() {
    // (voters, learners, members that grant their vote, whether member 1 becomes leader)
    let cases: [(u64, u64, &[u64], bool); 5] = [
        (3, 0, &[2], true),
        (3, 2, &[4, 5], false),
        (3, 2, &[4, 5, 3], true),
        (5, 1, &[2, 6], false),
        (5, 1, &[2, 6, 4], true),
    ];
    for (voters, learners, grant, leads) in cases {
        for pre_vote in [true, false] {
            let snapshot =
                Snapshot { members: member_list(voters, learners), ..Snapshot::default() };
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
        leader
            .raft
            .next_membership_change(joining, 1, 4_000, leader.now)
            .map(|members| members.len())
    };
    assert_eq!(next_change(&leader), Some(4));
    leader.raft.propose(EntryPayload::Membership(member_list(3, 1)), leader.now);
    leader.persist();
    assert_eq!(next_change(&leader), None, "the change is persisted only by the leader");
    leader.acknowledge(4, leader.raft.last_position().index.0);
    assert_eq!(
        next_change(&leader),
        None,
        "the change is persisted only by the leader and a learner"
    );
    leader.acknowledge(2, leader.raft.last_position().index.0);
    assert_eq!(next_change(&leader), Some(5));
    // A leader that is transferring its leadership appends no further entries.
    leader.raft.transfer_leadership(leader.now);
    let last = leader.raft.last_position();
    assert_eq!(leader.raft.propose(EntryPayload::Membership(member_list(3, 2)), leader.now), None);
    assert_eq!(leader.raft.last_position(), last);
}

#[test]
fn leadership_is_not_transferred_to_a_learner() {
    let mut leader = TestLeader::new(3);
    leader.raft.propose(EntryPayload::Membership(member_list(3, 1)), leader.now);
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
