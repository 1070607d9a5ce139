//! Configuration changes and reads through the admin API: which responses a controller may give and
//! when. Time and the network are simulated.
use serde_bytes::ByteBuf;
use silvertack::base::ids::{LogIndex, MemberId, NodeName, Revision, Term};
use silvertack::base::time::Tick;
use silvertack::controller::admin_api::{AdminCall, CallDecision};
use silvertack::controller::linearizable_reads::{
    DecidedCall, LinearizableReads, PendingProposals,
};
use silvertack::net::rpc::raft_messages::{
    EntryPayload, LogPosition, Member, RaftMessage, RaftMessageKind, Snapshot,
};
use silvertack::net::rpc::{pack, unpack};
use silvertack::raft::node::RaftNode;
use silvertack::raft::read_index::ReadConfirmation;
use silvertack::raft::state::{PersistentState, UnsavedChanges};
use silvertack::state_machine::{Command, CommandOutcome, StateMachine};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// The random numbers for the election time-outs of the nodes.
const ELECTION_RANDOM_NUMBERS: [fn() -> u64; 5] = [|| 10, || 130, || 250, || 370, || 70];

fn initial_state(id: u64, voters: u64) -> PersistentState {
    let member = |i: u64| Member {
        id: MemberId(i),
        node: NodeName(format!("n{i}")),
        peer: format!("10.0.0.{i}:1").parse().expect("address"),
        admin: format!("10.0.0.{i}:2").parse().expect("address"),
        voter: true,
        can_vote: true,
    };
    let members = (1..=voters).map(member).collect();
    let snapshot = Snapshot { members, ..Snapshot::default() };
    PersistentState { member_id: MemberId(id), snapshot, ..PersistentState::default() }
}
fn configuration_body(revision: u64, author: char) -> ByteBuf {
    ByteBuf::from(format!("{{\"revision\":{revision},\"by\":\"{author}\"}}"))
}
/// The command that replaces revision `base` with a configuration of `author` under `revision`.
fn put_command(base: u64, revision: u64, author: char) -> Command {
    let (base, number) = (Revision(base), Revision(revision));
    Command::PutConfiguration { base, revision: number, body: configuration_body(revision, author) }
}
fn put_configuration(base: u64, revision: u64, author: char) -> AdminCall {
    AdminCall::Command(put_command(base, revision, author))
}
fn response_status(decision: CallDecision) -> Option<u16> {
    match decision {
        CallDecision::Answer(response) => Some(response.status),
        CallDecision::Propose(_) => None,
    }
}
fn remove_instance(id: &str) -> AdminCall {
    AdminCall::Command(Command::RemoveInstance { id: id.into(), sequence: u64::MAX })
}
fn heartbeat(id: &str) -> Command {
    let instance = serde_json::json!({
        "target_service": "s", "address": "10.0.0.9:1", "zone": "z", "revision": "v1",
        "capacity": 7, "lifecycle_state": "available", "warmup_left_ms": 0,
        "database_role": "replica",
    });
    let instance = serde_json::from_value(instance).expect("instance");
    Command::Heartbeat { id: id.into(), instance, sequence: 1 }
}

struct Node {
    raft: RaftNode,
    state_machine: StateMachine,
    last_applied: LogIndex,
    pending_reads: LinearizableReads<u32>,
    pending_proposals: PendingProposals<u32>,
}
impl Node {
    fn new(persisted: PersistentState, restarted: bool, now: Tick) -> Self {
        let random = ELECTION_RANDOM_NUMBERS[persisted.member_id.0 as usize - 1];
        let state = &persisted.snapshot.state;
        let state_machine = match state.is_empty() {
            true => StateMachine::default(),
            false => StateMachine::from_snapshot(state).expect("state"),
        };
        let last_applied = persisted.snapshot.last_included.index;
        let raft = RaftNode::new(persisted, restarted, now, random);
        let (pending_reads, pending_proposals) =
            (LinearizableReads::default(), PendingProposals::default());
        Self { raft, state_machine, last_applied, pending_reads, pending_proposals }
    }
    /// Executes the decision on a call. Returns the response if there is one now.
    fn execute(&mut self, decided: DecidedCall<u32>, now: Tick) -> Option<(u32, u16, Vec<u8>)> {
        let caller = decided.caller;
        match decided.decision {
            CallDecision::Answer(response) => Some((caller, response.status, response.body)),
            CallDecision::Propose(command) => {
                let index =
                    self.raft.propose(EntryPayload::Command(ByteBuf::from(pack(&command))), now);
                let Some(index) = index else { return Some((caller, 503, Vec::new())) };
                self.pending_proposals.insert(self.raft.state.term, index, caller);
                None
            }
        }
    }
    /// Applies committed entries and returns the responses that are due.
    fn apply_and_respond(&mut self, now: Tick) -> Vec<(u32, u16, Vec<u8>)> {
        let mut responses = Vec::new();
        if self.raft.state.snapshot.last_included.index > self.last_applied {
            self.state_machine =
                StateMachine::from_snapshot(&self.raft.state.snapshot.state).expect("state");
            self.last_applied = self.raft.state.snapshot.last_included.index;
        }
        for entry in self.raft.committed_entries_after(self.last_applied) {
            self.last_applied = entry.index;
            let caller = self.pending_proposals.complete(&entry);
            if let EntryPayload::Command(bytes) = &entry.payload {
                let outcome = self.state_machine.apply(&unpack(bytes).expect("command"));
                let status = match outcome {
                    CommandOutcome::Applied | CommandOutcome::NoChange => 200,
                    CommandOutcome::StaleBase => 412,
                    CommandOutcome::RevisionNotAbove => 400,
                    CommandOutcome::HistoryExpired => 503,
                };
                responses.extend(caller.map(|caller| (caller, status, Vec::new())));
            }
        }
        let state_machine = &self.state_machine;
        self.raft.compact_log(self.last_applied, || pack(state_machine));
        if !self.raft.is_leader() {
            responses
                .extend(self.pending_proposals.drain().map(|caller| (caller, 503, Vec::new())));
        }
        let decided_calls = self.pending_reads.take_decided(
            &self.raft,
            &self.state_machine,
            self.last_applied,
            now,
        );
        for decided in decided_calls {
            responses.extend(self.execute(decided, now));
        }
        responses
    }
}

/// A cluster of controllers with their persisted states, the messages in flight and the responses
/// that callers received.
struct TestCluster {
    now: Tick,
    nodes: BTreeMap<u64, Node>,
    disks: BTreeMap<u64, PersistentState>,
    /// Recipient, sender, earliest time of delivery and message.
    in_flight: VecDeque<(u64, u64, Tick, RaftMessage)>,
    delay_ms: u64,
    frozen: BTreeSet<u64>,
    partitioned: BTreeSet<u64>,
    /// Status and body of the response to each answered call.
    responses: BTreeMap<u32, (u16, Vec<u8>)>,
    call_count: u32,
    /// Number of AppendEntries messages sent by any leader, heartbeats included.
    append_count: usize,
}
impl TestCluster {
    fn new(count: u64) -> Self {
        let now = Tick(1_000);
        let start = |i| (i, Node::new(initial_state(i, count), false, now));
        Self {
            now,
            nodes: (1..=count).map(start).collect(),
            disks: (1..=count).map(|i| (i, initial_state(i, count))).collect(),
            in_flight: VecDeque::new(),
            delay_ms: 0,
            frozen: BTreeSet::new(),
            partitioned: BTreeSet::new(),
            responses: BTreeMap::new(),
            call_count: 0,
            append_count: 0,
        }
    }
    /// Delivers messages until none is due, letting all nodes that are not frozen respond.
    fn deliver_messages(&mut self) {
        for _ in 0..100_000 {
            for (id, node) in self.nodes.iter_mut().filter(|(id, _)| !self.frozen.contains(id)) {
                for (caller, status, body) in node.apply_and_respond(self.now) {
                    assert!(
                        self.responses.insert(caller, (status, body)).is_none(),
                        "second response"
                    );
                }
                if std::mem::take(&mut node.raft.unsaved) != UnsavedChanges::default() {
                    self.disks.insert(*id, node.raft.state.clone());
                    node.raft.log_persisted(node.raft.last_position());
                }
                for (to, message) in node.raft.outbox.drain(..) {
                    let append = matches!(message.kind, RaftMessageKind::AppendEntries { .. });
                    self.append_count += usize::from(append);
                    let at = self.now.plus(self.delay_ms);
                    self.in_flight.push_back((to.0, *id, at, message));
                }
            }
            let (partitioned, frozen, now) = (&self.partitioned, &self.frozen, self.now);
            self.in_flight
                .retain(|(to, from, ..)| !partitioned.contains(to) && !partitioned.contains(from));
            let due =
                |(to, _, at, _): &(u64, u64, Tick, RaftMessage)| *at <= now && !frozen.contains(to);
            let (arriving, later): (VecDeque<_>, VecDeque<_>) =
                self.in_flight.drain(..).partition(due);
            self.in_flight = later;
            // A controller receives all due messages before it applies entries and responds again.
            if arriving.is_empty() {
                return;
            }
            for (to, .., message) in arriving {
                if let Some(node) = self.nodes.get_mut(&to) {
                    node.raft.step(message, now);
                }
            }
        }
        panic!("the controllers still exchange messages after 100,000 rounds");
    }
    /// Runs the cluster for the given number of milliseconds.
    fn run(&mut self, ms: u64) {
        for _ in 0..ms {
            self.now = self.now.plus(1);
            self.deliver_messages();
            for (_, node) in self.nodes.iter_mut().filter(|(id, _)| !self.frozen.contains(id)) {
                if self.now >= node.raft.next_tick_at() {
                    node.raft.tick(self.now);
                }
            }
            self.deliver_messages();
        }
    }
    fn wait_for_leader(&mut self) -> u64 {
        self.run(3_000);
        let leading = |(id, n): (&u64, &Node)| n.raft.holds_leader_lease(self.now).then_some(*id);
        let leaders: Vec<u64> = self.nodes.iter().filter_map(leading).collect();
        assert_eq!(leaders.len(), 1, "{leaders:?}");
        leaders[0]
    }
    /// Submits a call to a controller that read its clock at `at`, without running the cluster.
    /// Returns the id of the call.
    fn call_at(&mut self, to: u64, call: AdminCall, at: Tick) -> u32 {
        self.call_count += 1;
        let (call_id, node) = (self.call_count, self.nodes.get_mut(&to).expect("node"));
        let response = match node.raft.holds_leader_lease(at) {
            false => Some((call_id, 503, Vec::new())),
            true => node
                .pending_reads
                .submit(&mut node.raft, &node.state_machine, call, call_id, at)
                .and_then(|decided| node.execute(decided, at)),
        };
        if let Some((caller, status, body)) = response {
            self.responses.insert(caller, (status, body));
        }
        call_id
    }
    fn call(&mut self, to: u64, call: AdminCall) -> u32 {
        self.call_at(to, call, self.now)
    }
    /// The response status of a call, or 0 if it has not been answered.
    fn status(&self, call_id: u32) -> u16 {
        self.responses.get(&call_id).map_or(0, |(status, _)| *status)
    }
    /// Submits a call and waits for the response.
    fn call_and_wait(&mut self, to: u64, call: AdminCall) -> (u16, Vec<u8>) {
        let call_id = self.call(to, call);
        self.run(1_000);
        self.responses.get(&call_id).cloned().expect("answered within a second")
    }
    fn restart(&mut self, ids: &[u64]) {
        for id in ids {
            self.nodes.insert(*id, Node::new(self.disks[id].clone(), true, self.now));
        }
        self.in_flight.retain(|(to, from, ..)| !ids.contains(to) && !ids.contains(from));
    }
}

#[test]
fn a_leader_frozen_between_a_call_and_its_response_never_answers_from_stale_state() {
    // (case, call to the old leader, expected status at the new leader)
    let calls: [(&str, AdminCall, u16); 5] = [
        ("read", AdminCall::ReadConfiguration, 200),
        ("based on the newer revision", put_configuration(5, 7, 'c'), 200),
        ("stale at both leaders", put_configuration(2, 7, 'c'), 412),
        ("revision not above the current one", put_configuration(3, 3, 'x'), 412),
        ("removal of a new instance", remove_instance("late"), 200),
    ];
    let mut wrong = Vec::new();
    // Whether the call was submitted before the freeze, or only the clock read.
    for submitted_early in [true, false] {
        for (case, call, expected) in calls.clone() {
            let mut cluster = TestCluster::new(3);
            let old = cluster.wait_for_leader();
            assert_eq!(cluster.call_and_wait(old, put_configuration(0, 3, 'a')).0, 200);
            let before = cluster.now;
            let early = submitted_early.then(|| cluster.call(old, call.clone()));
            cluster.frozen.insert(old);
            cluster.run(3_000);
            let live = cluster
                .nodes
                .iter()
                .find(|(id, n)| **id != old && n.raft.holds_leader_lease(cluster.now));
            let new = *live.expect("another leader").0;
            assert_eq!(cluster.call_and_wait(new, put_configuration(3, 5, 'b')).0, 200);
            assert_eq!(cluster.call_and_wait(new, AdminCall::Command(heartbeat("late"))).0, 200);
            cluster.frozen.clear();
            // After the freeze it continues with the time that it had read before.
            let call_id = early.unwrap_or_else(|| cluster.call_at(old, call.clone(), before));
            cluster.run(1_000);
            if cluster.status(call_id) != 503 {
                wrong.push((case, submitted_early, cluster.status(call_id)));
            }
            let (status, response_body) = cluster.call_and_wait(new, call);
            assert_eq!(status, expected, "{case}");
            assert!(case != "read" || response_body == configuration_body(5, 'b').to_vec());
        }
    }
    assert_eq!(wrong, []);
}

#[test]
fn a_read_is_confirmed_only_by_later_heartbeats_and_refused_within_a_second() {
    let mut cluster = TestCluster::new(3);
    let leader = cluster.wait_for_leader();
    assert_eq!(cluster.call_and_wait(leader, put_configuration(0, 3, 'a')).0, 200);
    // The heartbeat of this millisecond is sent before the read arrives.
    let due = cluster.nodes[&leader].raft.next_tick_at();
    cluster.run(due.since(cluster.now) - 1);
    cluster.now = due;
    let node = cluster.nodes.get_mut(&leader).expect("leader");
    node.raft.tick(due);
    let read = node.raft.read_index(due).expect("it is the leader");
    cluster.deliver_messages();
    assert_eq!(
        cluster.nodes[&leader].raft.read_confirmation(&read),
        ReadConfirmation::Pending,
        "the heartbeat was sent before the read"
    );
    cluster.run(1);
    assert_eq!(
        cluster.nodes[&leader].raft.read_confirmation(&read),
        ReadConfirmation::Confirmed,
        "confirmed by the next round"
    );
    // A response of one of the two other voters suffices. Without any the caller is refused before
    // it switches to another controller.
    let others: Vec<u64> = (1..=3).filter(|id| *id != leader).collect();
    cluster.partitioned.insert(others[0]);
    let call_id = cluster.call(leader, AdminCall::ReadConfiguration);
    cluster.run(2);
    assert_eq!(cluster.status(call_id), 200);
    cluster.partitioned.insert(others[1]);
    for call in [
        AdminCall::ReadConfiguration,
        put_configuration(2, 7, 'c'),
        put_configuration(3, 2, 'c'),
        put_configuration(0, 3, 'a'),
    ] {
        let call_id = cluster.call(leader, call.clone());
        // The read keeps waiting for a voter that responds again.
        cluster.run(700);
        assert_eq!(cluster.status(call_id), 0, "{call:?}");
        cluster.run(250);
        assert_eq!(cluster.status(call_id), 503, "{call:?}");
        cluster.partitioned.remove(&others[1]);
        cluster.run(3_000);
        let now = cluster.now;
        let back =
            cluster.nodes.iter().find(|(_, n)| n.raft.holds_leader_lease(now)).map(|(id, _)| *id);
        assert_eq!(back, Some(leader), "the same controller is still the leader in this test");
        cluster.partitioned.insert(others[1]);
    }
}

#[test]
fn a_read_is_answered_only_in_the_term_in_which_it_was_submitted() {
    let mut cluster = TestCluster::new(3);
    let old = cluster.wait_for_leader();
    assert_eq!(cluster.call_and_wait(old, put_configuration(0, 3, 'a')).0, 200);
    // During a leadership transfer earlier calls may still be answered until another leader is
    // elected.
    let call_id = cluster.call(old, AdminCall::ReadConfiguration);
    let now = cluster.now;
    cluster.nodes.get_mut(&old).expect("leader").raft.transfer_leadership(now);
    let late = cluster.call(old, AdminCall::ReadConfiguration);
    assert_eq!(cluster.status(late), 503, "no new calls during the transfer");
    cluster.run(1_000);
    assert_eq!(
        cluster.status(call_id),
        503,
        "the other leader was elected before a quorum had responded"
    );
    // A leader that was replaced and elected again refuses reads of its earlier term.
    let leader = cluster.wait_for_leader();
    let raft = &mut cluster.nodes.get_mut(&leader).expect("leader").raft;
    let read = raft.read_index(now).expect("it is the leader");
    cluster.restart(&[leader]);
    assert_eq!(
        cluster.nodes[&leader].raft.read_confirmation(&read),
        ReadConfirmation::LeadershipLost
    );
    cluster.wait_for_leader();
    assert_eq!(
        cluster.nodes[&leader].raft.read_confirmation(&read),
        ReadConfirmation::LeadershipLost
    );
    // A single controller needs no confirmation from others.
    let mut cluster = TestCluster::new(1);
    let leader = cluster.wait_for_leader();
    let call_id = cluster.call(leader, AdminCall::ReadConfiguration);
    cluster.deliver_messages();
    assert_eq!(cluster.status(call_id), 404);
    assert_eq!(cluster.call_and_wait(leader, put_configuration(0, 3, 'a')).0, 200);
}

#[test]
fn waiting_reads_share_a_round_of_heartbeats() {
    // (voters, network delay in ms, calls per ms, maximum number of messages per second)
    let heartbeats = 7;
    for (voters, delay_ms, calls, max_messages) in
        [(3, 0, 0, 2 * heartbeats), (3, 10, 20, 2 * (52 + 1)), (5, 10, 20, 4 * (52 + 1))]
    {
        let mut cluster = TestCluster::new(voters);
        let leader = cluster.wait_for_leader();
        cluster.delay_ms = delay_ms;
        cluster.run(1_000);
        cluster.append_count = 0;
        let mut call_ids = Vec::new();
        for _ in 0..1_000 {
            call_ids.extend((0..calls).map(|_| cluster.call(leader, AdminCall::ReadConfiguration)));
            cluster.run(1);
        }
        let append_count = cluster.append_count;
        println!("{voters} voters, {delay_ms} ms, {calls} calls per ms: {append_count} messages/s");
        assert!(append_count <= max_messages, "{append_count} of {max_messages}");
        cluster.run(4 * delay_ms + 2);
        assert!(call_ids.iter().all(|id| cluster.status(*id) == 404), "all are answered");
    }
    // A single call doesn't have to wait for the next regular heartbeat.
    let mut cluster = TestCluster::new(3);
    let leader = cluster.wait_for_leader();
    let call_id = cluster.call(leader, AdminCall::ReadConfiguration);
    cluster.run(1);
    assert_eq!(cluster.status(call_id), 404);
}

#[test]
fn a_response_of_another_term_or_with_a_future_time_does_not_extend_the_lease() {
    let mut cluster = TestCluster::new(3);
    let leader = cluster.wait_for_leader();
    let follower = (1..=3).find(|id| *id != leader).expect("another");
    let now = cluster.now;
    // A delayed message of an earlier term arrives.
    let raft = &mut cluster.nodes.get_mut(&follower).expect("follower").raft;
    let late = RaftMessageKind::AppendEntries {
        previous: LogPosition::new(Term(0), LogIndex(0)),
        entries: Vec::new(),
        commit_index: LogIndex(0),
        sent_at: now.0 + 600_000,
    };
    raft.step(RaftMessage { from: MemberId(leader), term: Term(0), kind: late }, now);
    let (_, response) = raft.outbox.pop().expect("a response");
    assert!(
        matches!(response.kind, RaftMessageKind::AppendResponse { success: false, sent_at: 0, .. }),
        "{response:?}"
    );
    // A leader ignores such a response, whatever its origin.
    let raft = &mut cluster.nodes.get_mut(&leader).expect("leader").raft;
    let kind = RaftMessageKind::AppendResponse {
        match_index: LogIndex(0),
        success: false,
        sent_at: now.0 + 600_000,
    };
    let term = raft.state.term;
    raft.step(RaftMessage { from: MemberId(follower), term, kind }, now);
    cluster.partitioned.extend((1..=3).filter(|id| *id != leader));
    cluster.run(500);
    assert!(
        !cluster.nodes[&leader].raft.holds_leader_lease(cluster.now),
        "partitioned for half a second"
    );
}

#[test]
#[expect(clippy::too_many_lines, reason = "one scenario, told in order")]
fn a_revision_has_one_configuration_even_if_the_response_to_its_put_was_lost() {
    // What happens between the put and its retry.
    let not_replicated = "leader replaced before replication";
    for case in [
        "nothing",
        "leadership transferred",
        "leader replaced",
        not_replicated,
        "power lost",
        "log compacted",
    ] {
        let mut cluster = TestCluster::new(3);
        let mut leader = cluster.wait_for_leader();
        assert_eq!(cluster.call_and_wait(leader, put_configuration(0, 3, 'a')).0, 200);
        cluster.delay_ms = 10;
        cluster.call(leader, AdminCall::Command(heartbeat("one")));
        let first = cluster.call(leader, put_configuration(3, 5, 'b'));
        match case {
            "nothing" => cluster.run(100),
            "leadership transferred" => {
                cluster.run(1_000);
                let now = cluster.now;
                cluster.nodes.get_mut(&leader).expect("leader").raft.transfer_leadership(now);
                leader = cluster.wait_for_leader();
            }
            "leader replaced" | "leader replaced before replication" => {
                cluster.run(if case == not_replicated { 0 } else { 15 });
                cluster.frozen.insert(leader);
                cluster.run(3_000);
                assert_eq!(cluster.status(first), 0);
                let old = leader;
                let live =
                    |(id, n): &(&u64, &Node)| **id != old && n.raft.holds_leader_lease(cluster.now);
                leader = *cluster.nodes.iter().find(live).expect("another leader").0;
                let applied = cluster.nodes[&leader].state_machine.revision() == Revision(5);
                assert_eq!(applied, case != not_replicated, "{case}");
            }
            "power lost" => {
                cluster.run(25);
                cluster.restart(&[1, 2, 3]);
                leader = cluster.wait_for_leader();
            }
            _ => {
                for n in 0..300 {
                    cluster.call(leader, AdminCall::Command(heartbeat(&format!("i{n}"))));
                }
                cluster.run(1_000);
                assert!(!cluster.disks[&leader].snapshot.state.is_empty(), "log compacted");
                cluster.restart(&[1, 2, 3]);
                leader = cluster.wait_for_leader();
            }
        }
        // (request, call, expected status)
        let cases = [
            ("the same request", put_configuration(3, 5, 'b'), 200),
            ("the previous request", put_configuration(0, 3, 'a'), 200),
            ("another author's under the same revision", put_configuration(3, 5, 'c'), 412),
            ("another author's on an old base", put_configuration(3, 6, 'c'), 412),
            ("based on a future revision", put_configuration(9, 11, 'c'), 412),
            ("revision equal to the current one", put_configuration(5, 5, 'c'), 400),
            ("revision below the current one", put_configuration(5, 4, 'c'), 400),
            ("the next revision", put_configuration(5, 7, 'd'), 200),
            ("the same request after a newer one", put_configuration(3, 5, 'b'), 200),
            ("the first request after two newer ones", put_configuration(0, 3, 'a'), 200),
        ];
        for (request, call, status) in cases {
            assert_eq!(cluster.call_and_wait(leader, call).0, status, "{case}: {request}");
        }
        // One additional space makes another body, and its revision is already taken.
        let mut body = configuration_body(7, 'd');
        body.push(b' ');
        let (base, revision) = (Revision(5), Revision(7));
        let call = AdminCall::Command(Command::PutConfiguration { base, revision, body });
        assert_eq!(cluster.call_and_wait(leader, call).0, 412, "{case}");
        // At the old leader another entry has taken the log index: its caller never receives a 200.
        cluster.frozen.clear();
        cluster.run(3_000);
        let expected = if case == not_replicated { 0 } else { 200 };
        assert_eq!(cluster.status(first), expected, "{case}");
        for node in cluster.nodes.values() {
            assert_eq!(
                (node.state_machine.revision(), node.state_machine.configuration_body()),
                (Revision(7), &configuration_body(7, 'd'))
            );
        }
    }
}

#[test]
fn of_eight_concurrent_puts_of_one_revision_one_configuration_succeeds() {
    for same_author in [false, true] {
        let mut cluster = TestCluster::new(3);
        let leader = cluster.wait_for_leader();
        assert_eq!(cluster.call_and_wait(leader, put_configuration(0, 3, 'a')).0, 200);
        let author = |n: u8| if same_author { 'b' } else { char::from(b'b' + n) };
        // All calls are decided before any of them is applied.
        let calls: Vec<u32> =
            (0..8).map(|n| cluster.call(leader, put_configuration(3, 5, author(n)))).collect();
        cluster.run(100);
        let accepted = calls.iter().filter(|call| cluster.status(**call) == 200).count();
        let refused = calls.iter().filter(|call| cluster.status(**call) == 412).count();
        assert_eq!((accepted, refused), if same_author { (8, 0) } else { (1, 7) });
        // A retry of each call receives the same status.
        for (n, call) in calls.iter().enumerate() {
            let first_status = cluster.status(*call);
            assert_eq!(
                cluster.call_and_wait(leader, put_configuration(3, 5, author(n as u8))).0,
                first_status,
                "{n}"
            );
        }
    }
}

#[test]
fn a_retry_of_an_applied_configuration_is_never_refused_as_stale() {
    let mut state_machine = StateMachine::default();
    let remembered = 4_096;
    for n in 0..=remembered {
        // Only every third revision is used.
        let (base, revision) = (if n == 0 { 0 } else { 3 * n }, 3 * n + 3);
        assert_eq!(state_machine.apply(&put_command(base, revision, 'a')), CommandOutcome::Applied);
        if n == remembered - 1 {
            assert_eq!(
                response_status(put_configuration(0, 3, 'a').decide(&state_machine)),
                Some(200)
            );
        }
    }
    let newest = 3 * remembered + 3;
    let cases = [
        ("the oldest one in the history", put_configuration(3, 6, 'a'), Some(200)),
        ("the newest", put_configuration(newest - 3, newest, 'a'), Some(200)),
        ("older than the history", put_configuration(0, 3, 'a'), Some(503)),
        ("older than the history, by another author", put_configuration(0, 3, 'b'), Some(503)),
        ("another author's under a used revision", put_configuration(3, 6, 'b'), Some(412)),
        ("between two used revisions", put_configuration(6, 8, 'b'), Some(412)),
        ("revision below the current one", put_configuration(newest, 3, 'b'), Some(400)),
        ("the next", put_configuration(newest, newest + 3, 'a'), None),
    ];
    let restored = StateMachine::from_snapshot(&pack(&state_machine)).expect("snapshot");
    for (case, call, expected) in cases {
        assert_eq!(response_status(call.clone().decide(&state_machine)), expected, "{case}");
        assert_eq!(response_status(call.decide(&restored)), expected, "{case}, restored");
    }
}

#[test]
fn configurations_applied_by_an_older_version_are_recognised() {
    // A state written by an older version, in which revisions 3 and 7 were applied, with the old
    // kind of digest.
    let hex = "96c40e7b227265766973696f6e223a377d078203920ecf4d1068d5edabb47d07920ecf4d0368d5ed\
               a12a21809080";
    let byte = |at| u8::from_str_radix(&hex[at..at + 2], 16).expect("hex");
    let bytes: Vec<u8> = (0..hex.len()).step_by(2).map(byte).collect();
    let mut state_machine = StateMachine::from_snapshot(&bytes).expect("the older layout");
    let put_configuration = |base, revision, body: &str| Command::PutConfiguration {
        base: Revision(base),
        revision: Revision(revision),
        body: ByteBuf::from(body),
    };
    // (base, revision, body, outcome)
    let cases = [
        (0, 3, r#"{"revision":3}"#, CommandOutcome::NoChange),
        (3, 7, r#"{"revision":7}"#, CommandOutcome::NoChange),
        (3, 7, r#"{"revision":7} "#, CommandOutcome::StaleBase),
        (3, 7, r#"{"revision":8}"#, CommandOutcome::StaleBase),
        (7, 9, r#"{"revision":9}"#, CommandOutcome::Applied),
        (7, 9, r#"{"revision":9}"#, CommandOutcome::NoChange),
        (3, 7, r#"{"revision":7}"#, CommandOutcome::NoChange),
    ];
    for (base, revision, body, outcome) in cases {
        assert_eq!(
            state_machine.apply(&put_configuration(base, revision, body)),
            outcome,
            "{base} {revision} {body}"
        );
        state_machine = StateMachine::from_snapshot(&pack(&state_machine))
            .expect("both kinds of digest in one snapshot");
    }
}

#[test]
fn a_read_is_answered_only_after_everything_committed_before_it_is_applied() {
    let mut cluster = TestCluster::new(1);
    let leader = cluster.wait_for_leader();
    assert_eq!(cluster.call_and_wait(leader, put_configuration(0, 3, 'a')).0, 200);
    let (now, node) = (cluster.now, cluster.nodes.get_mut(&leader).expect("leader"));
    let outdated = StateMachine::default();
    let mut reads = LinearizableReads::<u32>::default();
    assert_eq!(
        reads.submit(&mut node.raft, &node.state_machine, AdminCall::ReadConfiguration, 7, now),
        None
    );
    let behind = LogIndex(node.last_applied.0 - 1);
    let early = reads.take_decided(&node.raft, &outdated, behind, now);
    assert_eq!(early, [], "the last entry is not applied yet");
    let decided_calls = reads.take_decided(&node.raft, &node.state_machine, node.last_applied, now);
    let statuses =
        decided_calls.into_iter().map(|call| (call.caller, response_status(call.decision)));
    assert_eq!(statuses.collect::<Vec<_>>(), [(7, Some(200))]);
}

#[test]
fn a_read_of_an_earlier_term_is_refused_immediately() {
    let mut cluster = TestCluster::new(3);
    let leader = cluster.wait_for_leader();
    let now = cluster.now;
    let node = cluster.nodes.get_mut(&leader).expect("leader");
    let mut reads = LinearizableReads::<u32>::default();
    let submitted =
        reads.submit(&mut node.raft, &node.state_machine, AdminCall::ReadConfiguration, 7, now);
    assert_eq!(submitted, None);
    assert_eq!(
        reads.take_decided(&node.raft, &node.state_machine, node.last_applied, now),
        [],
        "still waiting"
    );
    cluster.restart(&[leader]);
    let node = &cluster.nodes[&leader];
    let decided_calls = reads.take_decided(&node.raft, &node.state_machine, node.last_applied, now);
    let statuses =
        decided_calls.into_iter().map(|call| (call.caller, response_status(call.decision)));
    assert_eq!(statuses.collect::<Vec<_>>(), [(7, Some(503))]);
}
