//! Orders and reads: what a controller may answer, and when. Time and the network are the test's.
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

const SPREADS: [fn() -> u64; 5] = [|| 10, || 130, || 250, || 370, || 70];

fn founder(id: u64, of: u64) -> PersistentState {
    let member = |i: u64| Member {
        id: MemberId(i),
        node: NodeName(format!("n{i}")),
        peer: format!("10.0.0.{i}:1").parse().expect("address"),
        admin: format!("10.0.0.{i}:2").parse().expect("address"),
        voter: true,
        can_vote: true,
    };
    let members = (1..=of).map(member).collect();
    let snapshot = Snapshot { members, ..Snapshot::default() };
    PersistentState { member_id: MemberId(id), snapshot, ..PersistentState::default() }
}
fn body(revision: u64, of: char) -> ByteBuf {
    ByteBuf::from(format!("{{\"revision\":{revision},\"by\":\"{of}\"}}"))
}
/// The order of an operator: what it builds on, its number, whose it is.
fn order(base: u64, revision: u64, of: char) -> Command {
    let (base, number) = (Revision(base), Revision(revision));
    Command::PutConfiguration { base, revision: number, body: body(revision, of) }
}
fn put(base: u64, revision: u64, of: char) -> AdminCall {
    AdminCall::Command(order(base, revision, of))
}
fn status(verdict: CallDecision) -> Option<u16> {
    match verdict {
        CallDecision::Answer(response) => Some(response.status),
        CallDecision::Propose(_) => None,
    }
}
fn gone(id: &str) -> AdminCall {
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
    applied: LogIndex,
    reads: LinearizableReads<u32>,
    proposed: PendingProposals<u32>,
}
impl Node {
    fn new(kept: PersistentState, restarted: bool, now: Tick) -> Self {
        let spread = SPREADS[kept.member_id.0 as usize - 1];
        let state = &kept.snapshot.state;
        let state_machine = match state.is_empty() {
            true => StateMachine::default(),
            false => StateMachine::from_snapshot(state).expect("state"),
        };
        let applied = kept.snapshot.last_included.index;
        let raft = RaftNode::new(kept, restarted, now, spread);
        let (reads, proposed) = (LinearizableReads::default(), PendingProposals::default());
        Self { raft, state_machine, applied, reads, proposed }
    }
    fn answer(&mut self, decided: DecidedCall<u32>, now: Tick) -> Option<(u32, u16, Vec<u8>)> {
        let from = decided.caller;
        match decided.decision {
            CallDecision::Answer(response) => Some((from, response.status, response.body)),
            CallDecision::Propose(change) => {
                let index =
                    self.raft.propose(EntryPayload::Command(ByteBuf::from(pack(&change))), now);
                let Some(index) = index else { return Some((from, 503, Vec::new())) };
                self.proposed.insert(self.raft.state.term, index, from);
                None
            }
        }
    }
    /// Applies what is committed and gives the answers that are due.
    fn turn(&mut self, now: Tick) -> Vec<(u32, u16, Vec<u8>)> {
        let mut answers = Vec::new();
        if self.raft.state.snapshot.last_included.index > self.applied {
            self.state_machine =
                StateMachine::from_snapshot(&self.raft.state.snapshot.state).expect("state");
            self.applied = self.raft.state.snapshot.last_included.index;
        }
        for entry in self.raft.committed_entries_after(self.applied) {
            self.applied = entry.index;
            let caller = self.proposed.complete(&entry);
            if let EntryPayload::Command(bytes) = &entry.payload {
                let effect = self.state_machine.apply(&unpack(bytes).expect("change"));
                let status = match effect {
                    CommandOutcome::Applied | CommandOutcome::NoChange => 200,
                    CommandOutcome::StaleBase => 412,
                    CommandOutcome::RevisionNotAbove => 400,
                    CommandOutcome::HistoryExpired => 503,
                };
                answers.extend(caller.map(|from| (from, status, Vec::new())));
            }
        }
        let state_machine = &self.state_machine;
        self.raft.compact_log(self.applied, || pack(state_machine));
        if !self.raft.is_leader() {
            answers.extend(self.proposed.drain().map(|from| (from, 503, Vec::new())));
        }
        let settled = self.reads.take_decided(&self.raft, &self.state_machine, self.applied, now);
        for decided in settled {
            answers.extend(self.answer(decided, now));
        }
        answers
    }
}

/// Controllers with what they keep, the messages under way, and the answers that callers got.
struct Site {
    now: Tick,
    nodes: BTreeMap<u64, Node>,
    disks: BTreeMap<u64, PersistentState>,
    /// To whom, from whom, and when it may arrive.
    wire: VecDeque<(u64, u64, Tick, RaftMessage)>,
    delay: u64,
    frozen: BTreeSet<u64>,
    cut: BTreeSet<u64>,
    answers: BTreeMap<u32, (u16, Vec<u8>)>,
    calls: u32,
    /// Heartbeats and entries that left any leader.
    appends: usize,
}
impl Site {
    fn new(count: u64) -> Self {
        let now = Tick(1_000);
        let start = |i| (i, Node::new(founder(i, count), false, now));
        Self {
            now,
            nodes: (1..=count).map(start).collect(),
            disks: (1..=count).map(|i| (i, founder(i, count))).collect(),
            wire: VecDeque::new(),
            delay: 0,
            frozen: BTreeSet::new(),
            cut: BTreeSet::new(),
            answers: BTreeMap::new(),
            calls: 0,
            appends: 0,
        }
    }
    fn settle(&mut self) {
        for _ in 0..100_000 {
            for (id, node) in self.nodes.iter_mut().filter(|(id, _)| !self.frozen.contains(id)) {
                for (from, status, body) in node.turn(self.now) {
                    assert!(self.answers.insert(from, (status, body)).is_none(), "once");
                }
                if std::mem::take(&mut node.raft.unsaved) != UnsavedChanges::default() {
                    self.disks.insert(*id, node.raft.state.clone());
                    node.raft.log_persisted(node.raft.last_position());
                }
                for (to, message) in node.raft.outbox.drain(..) {
                    let append = matches!(message.kind, RaftMessageKind::AppendEntries { .. });
                    self.appends += usize::from(append);
                    let at = self.now.plus(self.delay);
                    self.wire.push_back((to.0, *id, at, message));
                }
            }
            let (cut, frozen, now) = (&self.cut, &self.frozen, self.now);
            self.wire.retain(|(to, from, ..)| !cut.contains(to) && !cut.contains(from));
            let due =
                |(to, _, at, _): &(u64, u64, Tick, RaftMessage)| *at <= now && !frozen.contains(to);
            let (arriving, later): (VecDeque<_>, VecDeque<_>) = self.wire.drain(..).partition(due);
            self.wire = later;
            // All that has come is taken in before a controller's next turn.
            if arriving.is_empty() {
                return;
            }
            for (to, .., message) in arriving {
                if let Some(node) = self.nodes.get_mut(&to) {
                    node.raft.step(message, now);
                }
            }
        }
        panic!("the controllers never come to rest");
    }
    fn run(&mut self, ms: u64) {
        for _ in 0..ms {
            self.now = self.now.plus(1);
            self.settle();
            for (_, node) in self.nodes.iter_mut().filter(|(id, _)| !self.frozen.contains(id)) {
                if self.now >= node.raft.next_tick_at() {
                    node.raft.tick(self.now);
                }
            }
            self.settle();
        }
    }
    fn lead(&mut self) -> u64 {
        self.run(3_000);
        let granting = |(id, n): (&u64, &Node)| n.raft.holds_leader_lease(self.now).then_some(*id);
        let leaders: Vec<u64> = self.nodes.iter().filter_map(granting).collect();
        assert_eq!(leaders.len(), 1, "{leaders:?}");
        leaders[0]
    }
    /// A call reaches a controller, whose clock was read at `at`; nothing else happens yet.
    fn call_at(&mut self, to: u64, call: AdminCall, at: Tick) -> u32 {
        self.calls += 1;
        let (from, node) = (self.calls, self.nodes.get_mut(&to).expect("node"));
        let answer = match node.raft.holds_leader_lease(at) {
            false => Some((from, 503, Vec::new())),
            true => node
                .reads
                .submit(&mut node.raft, &node.state_machine, call, from, at)
                .and_then(|decided| node.answer(decided, at)),
        };
        if let Some((from, status, body)) = answer {
            self.answers.insert(from, (status, body));
        }
        from
    }
    fn call(&mut self, to: u64, call: AdminCall) -> u32 {
        self.call_at(to, call, self.now)
    }
    /// The status that a call got, if it was answered.
    fn status(&self, call: u32) -> u16 {
        self.answers.get(&call).map_or(0, |(status, _)| *status)
    }
    /// Calls and waits for the answer.
    fn ask(&mut self, to: u64, call: AdminCall) -> (u16, Vec<u8>) {
        let call = self.call(to, call);
        self.run(1_000);
        self.answers.get(&call).cloned().expect("answered within a second")
    }
    fn restart(&mut self, ids: &[u64]) {
        for id in ids {
            self.nodes.insert(*id, Node::new(self.disks[id].clone(), true, self.now));
        }
        self.wire.retain(|(to, from, ..)| !ids.contains(to) && !ids.contains(from));
    }
}

#[test]
fn a_leader_frozen_between_a_call_and_its_answer_says_nothing_of_what_is_current() {
    // (the call at the old leader, the answer at the new one)
    let calls: [(&str, AdminCall, u16); 5] = [
        ("read", AdminCall::ReadConfiguration, 200),
        ("built on the newer version", put(5, 7, 'c'), 200),
        ("stale here, stale there", put(2, 7, 'c'), 412),
        ("not above", put(3, 3, 'x'), 412),
        ("goodbye of one that is new", gone("late"), 200),
    ];
    let mut wrong = Vec::new();
    // Whether the clock was read, or the call was even taken in, before the freeze.
    for taken_in in [true, false] {
        for (what, call, then) in calls.clone() {
            let mut site = Site::new(3);
            let old = site.lead();
            assert_eq!(site.ask(old, put(0, 3, 'a')).0, 200);
            let before = site.now;
            let early = taken_in.then(|| site.call(old, call.clone()));
            site.frozen.insert(old);
            site.run(3_000);
            let live = site
                .nodes
                .iter()
                .find(|(id, n)| **id != old && n.raft.holds_leader_lease(site.now));
            let new = *live.expect("another leads").0;
            assert_eq!(site.ask(new, put(3, 5, 'b')).0, 200);
            assert_eq!(site.ask(new, AdminCall::Command(heartbeat("late"))).0, 200);
            site.frozen.clear();
            // Thawed, it goes on where it was, with the clock that it had read.
            let asked = early.unwrap_or_else(|| site.call_at(old, call.clone(), before));
            site.run(1_000);
            if site.status(asked) != 503 {
                wrong.push((what, taken_in, site.status(asked)));
            }
            let (status, said) = site.ask(new, call);
            assert_eq!(status, then, "{what}");
            assert!(what != "read" || said == body(5, 'b').to_vec());
        }
    }
    assert_eq!(wrong, []);
}

#[test]
fn a_read_waits_for_a_quorum_that_was_asked_later_and_is_given_up_within_a_second() {
    let mut site = Site::new(3);
    let leader = site.lead();
    assert_eq!(site.ask(leader, put(0, 3, 'a')).0, 200);
    // The heartbeat of this very millisecond left before the call came.
    let due = site.nodes[&leader].raft.next_tick_at();
    site.run(due.since(site.now) - 1);
    site.now = due;
    let node = site.nodes.get_mut(&leader).expect("leader");
    node.raft.tick(due);
    let read = node.raft.read_index(due).expect("leads");
    site.settle();
    assert_eq!(
        site.nodes[&leader].raft.read_confirmation(&read),
        ReadConfirmation::Pending,
        "it tells of before"
    );
    site.run(1);
    assert_eq!(
        site.nodes[&leader].raft.read_confirmation(&read),
        ReadConfirmation::Confirmed,
        "one round later"
    );
    // One voter of two answers: enough. None: the caller is told so before it goes on.
    let others: Vec<u64> = (1..=3).filter(|id| *id != leader).collect();
    site.cut.insert(others[0]);
    let asked = site.call(leader, AdminCall::ReadConfiguration);
    site.run(2);
    assert_eq!(site.status(asked), 200);
    site.cut.insert(others[1]);
    for call in [AdminCall::ReadConfiguration, put(2, 7, 'c'), put(3, 2, 'c'), put(0, 3, 'a')] {
        let asked = site.call(leader, call.clone());
        // It goes on to ask: whoever answers again is heard.
        site.run(700);
        assert_eq!(site.status(asked), 0, "{call:?}");
        site.run(250);
        assert_eq!(site.status(asked), 503, "{call:?}");
        site.cut.remove(&others[1]);
        site.run(3_000);
        let now = site.now;
        let back =
            site.nodes.iter().find(|(_, n)| n.raft.holds_leader_lease(now)).map(|(id, _)| *id);
        assert_eq!(back, Some(leader), "the same goes on to lead in this test");
        site.cut.insert(others[1]);
    }
}

#[test]
fn the_epoch_that_a_read_came_in_has_to_last() {
    let mut site = Site::new(3);
    let old = site.lead();
    assert_eq!(site.ask(old, put(0, 3, 'a')).0, 200);
    // Asked to go, it may still answer what came before, as long as nobody else leads.
    let asked = site.call(old, AdminCall::ReadConfiguration);
    let now = site.now;
    site.nodes.get_mut(&old).expect("leader").raft.transfer_leadership(now);
    let late = site.call(old, AdminCall::ReadConfiguration);
    assert_eq!(site.status(late), 503, "nothing new from then on");
    site.run(1_000);
    assert_eq!(site.status(asked), 503, "the other led before a quorum had answered");
    // Deposed and elected again, it does not answer what came in its earlier term.
    let leader = site.lead();
    let raft = &mut site.nodes.get_mut(&leader).expect("leader").raft;
    let read = raft.read_index(now).expect("leads");
    site.restart(&[leader]);
    assert_eq!(site.nodes[&leader].raft.read_confirmation(&read), ReadConfirmation::LeadershipLost);
    site.lead();
    assert_eq!(site.nodes[&leader].raft.read_confirmation(&read), ReadConfirmation::LeadershipLost);
    // One that is alone has nobody to ask.
    let mut site = Site::new(1);
    let leader = site.lead();
    let asked = site.call(leader, AdminCall::ReadConfiguration);
    site.settle();
    assert_eq!(site.status(asked), 404);
    assert_eq!(site.ask(leader, put(0, 3, 'a')).0, 200);
}

#[test]
fn all_that_wait_share_a_round() {
    // (voters, ms to a peer, calls in each ms, messages of a second at most)
    let heartbeats = 7;
    for (voters, delay, calls, most) in
        [(3, 0, 0, 2 * heartbeats), (3, 10, 20, 2 * (52 + 1)), (5, 10, 20, 4 * (52 + 1))]
    {
        let mut site = Site::new(voters);
        let leader = site.lead();
        site.delay = delay;
        site.run(1_000);
        site.appends = 0;
        let mut asked = Vec::new();
        for _ in 0..1_000 {
            asked.extend((0..calls).map(|_| site.call(leader, AdminCall::ReadConfiguration)));
            site.run(1);
        }
        let appends = site.appends;
        println!("{voters} voters, {delay} ms, {calls} calls a ms: {appends} messages a second");
        assert!(appends <= most, "{appends} of {most}");
        site.run(4 * delay + 2);
        assert!(asked.iter().all(|call| site.status(*call) == 404), "all are answered");
    }
    // A single call is not kept waiting for the next heartbeat.
    let mut site = Site::new(3);
    let leader = site.lead();
    let asked = site.call(leader, AdminCall::ReadConfiguration);
    site.run(1);
    assert_eq!(site.status(asked), 404);
}

#[test]
fn an_answer_of_another_epoch_or_another_life_is_no_contact() {
    let mut site = Site::new(3);
    let leader = site.lead();
    let follower = (1..=3).find(|id| *id != leader).expect("another");
    let now = site.now;
    // The message of an term that has passed comes out of a socket at last.
    let raft = &mut site.nodes.get_mut(&follower).expect("follower").raft;
    let late = RaftMessageKind::AppendEntries {
        previous: LogPosition::new(Term(0), LogIndex(0)),
        entries: Vec::new(),
        commit_index: LogIndex(0),
        sent_at: now.0 + 600_000,
    };
    raft.step(RaftMessage { from: MemberId(leader), term: Term(0), kind: late }, now);
    let (_, answer) = raft.outbox.pop().expect("it is told that it is late");
    assert!(
        matches!(answer.kind, RaftMessageKind::AppendResponse { success: false, sent_at: 0, .. }),
        "{answer:?}"
    );
    // Nor does a leader believe such an answer, whoever gave it.
    let raft = &mut site.nodes.get_mut(&leader).expect("leader").raft;
    let kind = RaftMessageKind::AppendResponse {
        match_index: LogIndex(0),
        success: false,
        sent_at: now.0 + 600_000,
    };
    let term = raft.state.term;
    raft.step(RaftMessage { from: MemberId(follower), term, kind }, now);
    site.cut.extend((1..=3).filter(|id| *id != leader));
    site.run(500);
    assert!(!site.nodes[&leader].raft.holds_leader_lease(site.now), "cut off for half a second");
}

#[test]
#[expect(clippy::too_many_lines, reason = "one scenario, told in order")]
fn one_number_has_one_order_whatever_became_of_the_answer() {
    // (what happens between the order and its resend)
    let nobody = "before anybody had it";
    for what in ["nothing", "another leads", "taken by the next", nobody, "power lost", "folded"] {
        let mut site = Site::new(3);
        let mut leader = site.lead();
        assert_eq!(site.ask(leader, put(0, 3, 'a')).0, 200);
        site.delay = 10;
        site.call(leader, AdminCall::Command(heartbeat("one")));
        let first = site.call(leader, put(3, 5, 'b'));
        match what {
            "nothing" => site.run(100),
            "another leads" => {
                site.run(1_000);
                let now = site.now;
                site.nodes.get_mut(&leader).expect("leader").raft.transfer_leadership(now);
                leader = site.lead();
            }
            "taken by the next" | "before anybody had it" => {
                site.run(if what == nobody { 0 } else { 15 });
                site.frozen.insert(leader);
                site.run(3_000);
                assert_eq!(site.status(first), 0);
                let old = leader;
                let live =
                    |(id, n): &(&u64, &Node)| **id != old && n.raft.holds_leader_lease(site.now);
                leader = *site.nodes.iter().find(live).expect("another").0;
                let has = site.nodes[&leader].state_machine.revision() == Revision(5);
                assert_eq!(has, what != nobody, "{what}");
            }
            "power lost" => {
                site.run(25);
                site.restart(&[1, 2, 3]);
                leader = site.lead();
            }
            _ => {
                for n in 0..300 {
                    site.call(leader, AdminCall::Command(heartbeat(&format!("i{n}"))));
                }
                site.run(1_000);
                assert!(!site.disks[&leader].snapshot.state.is_empty(), "folded");
                site.restart(&[1, 2, 3]);
                leader = site.lead();
            }
        }
        // (the call, its answer)
        let cases = [
            ("as it was", put(3, 5, 'b'), 200),
            ("the one before", put(0, 3, 'a'), 200),
            ("another's under the same number", put(3, 5, 'c'), 412),
            ("another's that lost", put(3, 6, 'c'), 412),
            ("built on what is to come", put(9, 11, 'c'), 412),
            ("not above", put(5, 5, 'c'), 400),
            ("below", put(5, 4, 'c'), 400),
            ("the next", put(5, 7, 'd'), 200),
            ("as it was, with a newer one in force", put(3, 5, 'b'), 200),
            ("the first, with two newer ones in force", put(0, 3, 'a'), 200),
        ];
        for (which, call, status) in cases {
            assert_eq!(site.ask(leader, call).0, status, "{what}: {which}");
        }
        // One blank more is another body, and its number has been given away.
        let mut blank = body(7, 'd');
        blank.push(b' ');
        let (base, revision) = (Revision(5), Revision(7));
        let blank = AdminCall::Command(Command::PutConfiguration { base, revision, body: blank });
        assert_eq!(site.ask(leader, blank).0, 412, "{what}");
        // The old leader's own place in the log has another's entry now: its caller never hears yes.
        site.frozen.clear();
        site.run(3_000);
        let heard = if what == nobody { 0 } else { 200 };
        assert_eq!(site.status(first), heard, "{what}");
        for node in site.nodes.values() {
            assert_eq!(
                (node.state_machine.revision(), node.state_machine.configuration_body()),
                (Revision(7), &body(7, 'd'))
            );
        }
    }
}

#[test]
fn of_eight_operators_on_one_number_one_hears_yes() {
    for same in [false, true] {
        let mut site = Site::new(3);
        let leader = site.lead();
        assert_eq!(site.ask(leader, put(0, 3, 'a')).0, 200);
        let who = |n: u8| if same { 'b' } else { char::from(b'b' + n) };
        // All are judged before any is applied.
        let calls: Vec<u32> = (0..8).map(|n| site.call(leader, put(3, 5, who(n)))).collect();
        site.run(100);
        let yes = calls.iter().filter(|call| site.status(**call) == 200).count();
        let no = calls.iter().filter(|call| site.status(**call) == 412).count();
        assert_eq!((yes, no), if same { (8, 0) } else { (1, 7) });
        // Sent again, each hears what it heard.
        for (n, call) in calls.iter().enumerate() {
            let heard = site.status(*call);
            assert_eq!(site.ask(leader, put(3, 5, who(n as u8))).0, heard, "{n}");
        }
    }
}

#[test]
fn what_was_taken_is_never_refused_however_many_came_since() {
    let mut state_machine = StateMachine::default();
    let many = 4_096;
    for n in 0..=many {
        // Every third number is left out.
        let (base, revision) = (if n == 0 { 0 } else { 3 * n }, 3 * n + 3);
        assert_eq!(state_machine.apply(&order(base, revision, 'a')), CommandOutcome::Applied);
        if n == many - 1 {
            assert_eq!(status(put(0, 3, 'a').decide(&state_machine)), Some(200));
        }
    }
    let newest = 3 * many + 3;
    let cases = [
        ("the oldest that is known", put(3, 6, 'a'), Some(200)),
        ("the newest", put(newest - 3, newest, 'a'), Some(200)),
        ("older than all that are known", put(0, 3, 'a'), Some(503)),
        ("perhaps another's", put(0, 3, 'b'), Some(503)),
        ("another's under a known number", put(3, 6, 'b'), Some(412)),
        ("between two that are known", put(6, 8, 'b'), Some(412)),
        ("not above", put(newest, 3, 'b'), Some(400)),
        ("the next", put(newest, newest + 3, 'a'), None),
    ];
    let restored = StateMachine::from_snapshot(&pack(&state_machine)).expect("as it was packed");
    for (what, call, expected) in cases {
        assert_eq!(status(call.clone().decide(&state_machine)), expected, "{what}");
        assert_eq!(status(call.decide(&restored)), expected, "{what}, restored");
    }
}

#[test]
fn what_an_older_program_took_is_known_again() {
    // A state as the program before wrote it: 3 and 7 were taken, with the old kind of digest.
    let hex = "96c40e7b227265766973696f6e223a377d078203920ecf4d1068d5edabb47d07920ecf4d0368d5ed\
               a12a21809080";
    let byte = |at| u8::from_str_radix(&hex[at..at + 2], 16).expect("hex");
    let bytes: Vec<u8> = (0..hex.len()).step_by(2).map(byte).collect();
    let mut state_machine = StateMachine::from_snapshot(&bytes).expect("the older layout");
    let put = |base, revision, body: &str| Command::PutConfiguration {
        base: Revision(base),
        revision: Revision(revision),
        body: ByteBuf::from(body),
    };
    // (base, revision, body, what comes of it)
    let cases = [
        (0, 3, r#"{"revision":3}"#, CommandOutcome::NoChange),
        (3, 7, r#"{"revision":7}"#, CommandOutcome::NoChange),
        (3, 7, r#"{"revision":7} "#, CommandOutcome::StaleBase),
        (3, 7, r#"{"revision":8}"#, CommandOutcome::StaleBase),
        (7, 9, r#"{"revision":9}"#, CommandOutcome::Applied),
        (7, 9, r#"{"revision":9}"#, CommandOutcome::NoChange),
        (3, 7, r#"{"revision":7}"#, CommandOutcome::NoChange),
    ];
    for (base, revision, body, effect) in cases {
        assert_eq!(
            state_machine.apply(&put(base, revision, body)),
            effect,
            "{base} {revision} {body}"
        );
        state_machine =
            StateMachine::from_snapshot(&pack(&state_machine)).expect("both kinds side by side");
    }
}

#[test]
fn a_read_is_answered_from_all_that_was_committed_when_it_came() {
    let mut site = Site::new(1);
    let leader = site.lead();
    assert_eq!(site.ask(leader, put(0, 3, 'a')).0, 200);
    let (now, node) = (site.now, site.nodes.get_mut(&leader).expect("leader"));
    let before = StateMachine::default();
    let mut reads = LinearizableReads::<u32>::default();
    assert_eq!(
        reads.submit(&mut node.raft, &node.state_machine, AdminCall::ReadConfiguration, 7, now),
        None
    );
    let behind = LogIndex(node.applied.0 - 1);
    let early = reads.take_decided(&node.raft, &before, behind, now);
    assert_eq!(early, [], "the last entry is not applied yet");
    let settled = reads.take_decided(&node.raft, &node.state_machine, node.applied, now);
    let statuses = settled.into_iter().map(|call| (call.caller, status(call.decision)));
    assert_eq!(statuses.collect::<Vec<_>>(), [(7, Some(200))]);
}

#[test]
fn a_read_of_an_epoch_that_is_over_is_refused_at_once() {
    let mut site = Site::new(3);
    let leader = site.lead();
    let now = site.now;
    let node = site.nodes.get_mut(&leader).expect("leader");
    let mut reads = LinearizableReads::<u32>::default();
    let asked =
        reads.submit(&mut node.raft, &node.state_machine, AdminCall::ReadConfiguration, 7, now);
    assert_eq!(asked, None);
    assert_eq!(
        reads.take_decided(&node.raft, &node.state_machine, node.applied, now),
        [],
        "still open"
    );
    site.restart(&[leader]);
    let node = &site.nodes[&leader];
    let settled = reads.take_decided(&node.raft, &node.state_machine, node.applied, now);
    let statuses = settled.into_iter().map(|call| (call.caller, status(call.decision)));
    assert_eq!(statuses.collect::<Vec<_>>(), [(7, Some(503))]);
}
