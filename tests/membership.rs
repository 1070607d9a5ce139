//! Who belongs to the controllers: losses, returns and replacements in every order.
#[path = "support/controllers.rs"]
mod controllers;
use controllers::{Orchard, SYNC_MS, State, member};
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
    Back(usize, bool),
    Wait(u64),
}
/// What tells two moments apart, whoever it concerns.
type Key = (Vec<(State, u64, u8, bool)>, usize, usize);

fn key(upstreams: &Orchard) -> Key {
    let (list, leader) = (upstreams.members(), upstreams.leader());
    let vote = |id: u64| list.iter().find(|m| m.id.0 == id).map_or(0, |m| 1 + u8::from(m.voter));
    let mut each: Vec<_> = (0..upstreams.machines.len())
        .map(|i| {
            let m = &upstreams.machines[i];
            let age = upstreams.now.since(m.back).min(SYNC_MS) / 500;
            (m.state, if m.state == State::Up { age } else { 0 }, vote(m.id), leader == Some(i))
        })
        .collect();
    each.sort();
    let voters = list.iter().filter(|m| m.voter).count();
    (each, voters, list.len())
}

/// What may happen now, within what a deployment promises: no more than so many lost at once. One
/// that still counts as lost may be lost again. Of machines that are alike one stands for all.
fn events(upstreams: &Orchard) -> Vec<Event> {
    let (list, leader, mut seen) = (upstreams.members(), upstreams.leader(), HashSet::new());
    let mut all = vec![Event::Wait(700), Event::Wait(SYNC_MS)];
    for (i, m) in upstreams.machines.iter().enumerate() {
        let vote = list.iter().find(|l| l.id.0 == m.id).map(|l| l.voter);
        if !seen.insert((m.state, upstreams.settled(i), vote, leader == Some(i))) {
            continue;
        }
        match m.state {
            State::Up if !upstreams.settled(i) || upstreams.lost() < upstreams.bears => {
                all.extend([State::Cut, State::Gone].map(|s| Event::Lose(i, s)));
            }
            State::Up => {}
            State::Cut => all.extend([Event::Back(i, false), Event::Lose(i, State::Gone)]),
            State::Gone => all.extend([true, false].map(|e| Event::Back(i, e))),
        }
    }
    all
}

/// The inequality that has to hold at every moment: whichever machines are lost next, as many as
/// still may be, those left are more than half of the voters, and hold what was acknowledged.
fn check(upstreams: &Orchard, told: &[Event]) {
    let list = upstreams.members();
    let mut places: Vec<_> = list.iter().map(|m| m.admin).collect();
    places.sort();
    places.dedup();
    assert_eq!(places.len(), list.len(), "one address twice after {told:?}: {list:?}");
    let voters: Vec<u64> = list.iter().filter(|m| m.voter).map(|m| m.id.0).collect();
    let lost = upstreams.lost();
    let more = upstreams.bears.checked_sub(lost).expect("within the promise");
    let settled: Vec<usize> =
        (0..upstreams.machines.len()).filter(|i| upstreams.settled(*i)).collect();
    let vote = settled.iter().filter(|i| voters.contains(&upstreams.machines[**i].id)).count();
    assert!(
        vote > more + voters.len() / 2,
        "after {told:?}: {lost} lost, {more} more may be; {vote} of the voters are safe: {list:?}"
    );
    if let Some(last) = upstreams.acked.last() {
        let hold = settled.iter().filter(|i| upstreams.holds(**i, *last)).count();
        assert!(hold > more, "after {told:?}: only {hold} hold what was acknowledged");
    }
}

fn walk(
    upstreams: &Orchard,
    told: &mut Vec<Event>,
    deep: usize,
    known: &mut HashSet<(Key, usize)>,
) {
    if deep == 0 || (0..=12).any(|d| d >= deep && known.contains(&(key(upstreams), d))) {
        return;
    }
    known.insert((key(upstreams), deep));
    for event in events(upstreams) {
        let mut next = upstreams.clone();
        told.push(event);
        let ms = match event {
            Event::Lose(at, state) => {
                next.lose(at, state);
                100
            }
            Event::Back(at, elsewhere) => {
                next.back(at, elsewhere);
                100
            }
            Event::Wait(ms) => ms,
        };
        check(&next, told);
        for _ in 0..ms / 50 {
            next.turn();
            check(&next, told);
        }
        if ms == SYNC_MS {
            assert!(next.order(), "after {told:?}: nothing is acknowledged");
            let leader = next.leader().expect("it acknowledged");
            for order in &next.acked {
                assert!(next.holds(leader, *order), "after {told:?}: {order:?} is lost");
            }
        } else {
            next.order();
        }
        walk(&next, told, deep - 1, known);
        told.pop();
    }
}

#[test]
fn whatever_order_machines_are_lost_and_come_back_in_the_rest_agree_and_hold_everything() {
    // (machines, losses to be borne at once, how many things happen)
    let cases = [(3, 1, 10), (4, 1, 9), (5, 2, 8), (6, 2, 8), (7, 2, 8)];
    std::thread::scope(|scope| {
        for (count, bears, deep) in cases {
            scope.spawn(move || {
                let mut upstreams = Orchard::new(count, bears);
                for _ in 0..100 {
                    upstreams.turn();
                }
                assert!(upstreams.order(), "{count}");
                let mut known = HashSet::new();
                walk(&upstreams, &mut Vec::new(), deep, &mut known);
                println!("{count} machines, {bears} lost at once: {} moments", known.len());
            });
        }
    });
}

/// A leader and what it sends; the others are played here.
struct Led {
    raft: RaftNode,
    now: Tick,
}
impl Led {
    fn new(voters: u64) -> Self {
        let members = (1..=voters).map(|i| member(i, i, true)).collect();
        let snapshot = Snapshot { members, ..Snapshot::default() };
        let kept =
            PersistentState { member_id: MemberId(1), snapshot, ..PersistentState::default() };
        let mut this =
            Self { raft: RaftNode::new(kept, false, Tick(1_000), || 0), now: Tick(2_000) };
        this.raft.tick(this.now);
        for trial in [true, false] {
            for from in 2..=voters {
                this.hear(from, RaftMessageKind::VoteResponse { pre_vote: trial, granted: true });
            }
        }
        assert!(this.raft.is_leader());
        this.store();
        this
    }
    fn store(&mut self) {
        self.raft.unsaved = UnsavedChanges::default();
        self.raft.log_persisted(self.raft.last_position());
    }
    fn hear(&mut self, from: u64, kind: RaftMessageKind) {
        let trial = matches!(kind, RaftMessageKind::VoteResponse { pre_vote: true, .. });
        let term = Term(self.raft.state.term.0 + u64::from(trial));
        self.raft.step(RaftMessage { from: MemberId(from), term, kind }, self.now);
    }
    /// One says that it holds everything up to here, in answer to what was sent just now.
    fn holds(&mut self, from: u64, upto: u64) {
        let sent = self.now.0;
        self.hear(
            from,
            RaftMessageKind::AppendResponse {
                match_index: LogIndex(upto),
                success: true,
                sent_at: sent,
            },
        );
    }
    fn propose(&mut self) {
        self.raft.propose(EntryPayload::NoOp, self.now);
        self.store();
    }
    fn wait(&mut self, ms: u64) {
        self.now = self.now.plus(ms);
        self.raft.tick(self.now);
    }
    /// Who was asked to take over.
    fn asked(&mut self) -> Vec<u64> {
        let out = self.raft.outbox.drain(..);
        out.filter(|(_, m)| m.kind == RaftMessageKind::TimeoutNow).map(|(to, _)| to.0).collect()
    }
}

#[test]
fn one_that_is_there_and_holds_the_whole_log_is_asked_to_lead() {
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
    for (what, [second, third], dark, at_once, then, after, later) in cases {
        let mut led = Led::new(3);
        for _ in 0..3 {
            led.propose();
        }
        led.holds(2, second);
        led.wait(dark);
        if what != "nobody is there" {
            led.holds(3, third);
        }
        led.asked();
        led.raft.transfer_leadership(led.now);
        assert_eq!(led.asked(), at_once, "{what}");
        led.wait(after);
        if let Some(upto) = then {
            led.holds(3, upto);
        }
        assert_eq!(led.asked(), later, "{what}, later");
        led.wait(510);
        assert!(!led.raft.is_leader(), "{what}: it does not lead on");
    }
}

#[test]
fn a_learner_that_keeps_up_with_a_steady_stream_becomes_a_voter() {
    // (how long its answers take, whether it is to vote)
    for (late, votes) in [(0, true), (60, true), (400, true), (900, false)] {
        let mut led = Led::new(1);
        let joiner = member(2, 2, false);
        let mut answers: std::collections::VecDeque<(Tick, u64, Tick)> = Default::default();
        for _ in 0..400 {
            led.wait(10);
            led.propose();
            led.raft.outbox.clear();
            answers.push_back((led.now.plus(late), led.raft.last_position().index.0, led.now));
            while let Some((due, upto, sent)) = answers.front().copied()
                && due <= led.now
            {
                answers.pop_front();
                led.hear(
                    2,
                    RaftMessageKind::AppendResponse {
                        match_index: LogIndex(upto),
                        success: true,
                        sent_at: sent.0,
                    },
                );
            }
            let wanted = led.raft.next_membership_change([&joiner].into_iter(), 0, 4_000, led.now);
            if let Some(list) = wanted {
                led.raft.propose(EntryPayload::Membership(list), led.now);
                led.store();
            }
        }
        let list = led.raft.members();
        assert_eq!(list.iter().any(|m| m.id == MemberId(2) && m.voter), votes, "{late} ms late");
    }
}

#[test]
fn nothing_is_taken_before_enough_have_voted_once() {
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
    for (voters, bears, learners, after) in cases {
        let mut led = Led::new(voters);
        let joins = (0..learners).map(|i| member(100 + i, 100 + i, false));
        let list: Vec<Member> = led.raft.members().iter().cloned().chain(joins).collect();
        led.raft.propose(EntryPayload::Membership(list), led.now);
        for waited in [0, 4_900, 5_100, 59_900, 60_100, 600_000] {
            let now = led.now.plus(waited);
            let may = led.raft.may_bootstrap(bears, now);
            assert_eq!(may, waited >= after, "{voters} voters, {bears} lost, {waited} ms");
        }
        // A restart waits anew; whoever does not lead never says so.
        let kept = led.raft.state.clone();
        let again = RaftNode::new(kept, true, led.now.plus(600_000), || 0);
        assert!(!again.may_bootstrap(bears, led.now.plus(600_000)));
    }
}

#[test]
fn that_something_was_taken_is_kept_in_the_state() {
    let configure = Command::PutConfiguration {
        base: Revision(0),
        revision: Revision(1),
        body: serde_bytes::ByteBuf::from(b"{}".to_vec()),
    };
    let mut state_machine = StateMachine::default();
    assert!(!state_machine.begun());
    state_machine.apply(&configure);
    assert!(state_machine.begun());
    let again = StateMachine::read(&pack(&state_machine)).expect("read");
    assert!(again.begun(), "after a fold, and on a disk of before");
}

#[test]
fn one_that_was_cut_off_for_long_comes_back_with_what_it_has() {
    let mut upstreams = Orchard::new(4, 1);
    let run = |upstreams: &mut Orchard, ms: u64| (0..ms / 50).for_each(|_| upstreams.turn());
    run(&mut upstreams, 3_000);
    for _ in 0..60 {
        assert!(upstreams.order());
    }
    let at = upstreams.leader().map_or(0, |leader| (leader + 1) % 4);
    upstreams.lose(at, State::Cut);
    run(&mut upstreams, 20_000);
    assert_eq!(upstreams.members().len(), 3, "a spare one that is silent goes");
    let last = upstreams.machines[at].raft.last_position();
    assert!((0..5).all(|_| upstreams.order()));
    upstreams.back(at, false);
    upstreams.sent_to = (upstreams.machines[at].id, 0);
    run(&mut upstreams, SYNC_MS);
    assert!(upstreams.members().iter().any(|m| m.id.0 == upstreams.sent_to.0 && m.voter));
    let raft = &upstreams.machines[at].raft;
    let missing = raft.last_position().index.0 - last.index.0;
    assert!(missing < 20, "it has missed a little: {missing}");
    let sent = upstreams.sent_to.1 as u64;
    assert!(sent <= 2 * missing, "{sent} entries for {missing} that it had missed");
    assert!(upstreams.acked.iter().all(|order| upstreams.holds(at, *order)));
}

/// So many voters, and learners with the ids after theirs.
fn list(voters: u64, learners: u64) -> Vec<Member> {
    (1..=voters + learners).map(|id| member(id, id, id <= voters)).collect()
}

#[test]
fn only_voters_of_the_newest_list_count_to_a_commit_and_to_a_leaders_quorum() {
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
        let mut led = Led::new(before);
        for id in 2..=before {
            led.holds(id, led.raft.last_position().index.0);
        }
        assert!(led.raft.holds_leader_lease(led.now), "{what}");
        led.wait(500);
        let commit = led.raft.commit_index;
        led.raft.propose(EntryPayload::Membership(list(voters, learners)), led.now);
        led.store();
        assert_eq!(led.raft.commit_index, commit, "{what}: its own disk alone");
        let last = led.raft.last_position().index;
        let read = led.raft.read_index(led.now).expect("it leads");
        led.wait(1);
        for id in acknowledge {
            led.holds(*id, last.0);
        }
        assert_eq!(led.raft.commit_index == last, commits, "{what}");
        assert_eq!(led.raft.holds_leader_lease(led.now), commits, "{what}: a quorum answered");
        let expected =
            if commits { ReadConfirmation::Confirmed } else { ReadConfirmation::Pending };
        assert_eq!(led.raft.read_confirmation(&read), expected, "{what}: ReadIndex");
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
        for trial in [true, false] {
            let snapshot = Snapshot { members: list(voters, learners), ..Snapshot::default() };
            let kept =
                PersistentState { member_id: MemberId(1), snapshot, ..PersistentState::default() };
            let mut raft = RaftNode::new(kept, false, Tick(1_000), || 0);
            let now = Tick(2_000);
            raft.tick(now);
            let vote = |raft: &mut RaftNode, id: u64, trial| {
                let kind = RaftMessageKind::VoteResponse { pre_vote: trial, granted: true };
                raft.step(RaftMessage { from: MemberId(id), term: Term(1), kind }, now);
            };
            if !trial {
                (2..=voters).for_each(|id| vote(&mut raft, id, true));
            }
            let before = raft.state.term;
            grant.iter().for_each(|id| vote(&mut raft, *id, trial));
            let won = if trial { raft.state.term > before } else { raft.is_leader() };
            assert_eq!(won, leads, "{voters} voters, {learners} learners, {grant:?}, {trial}");
        }
    }
}

#[test]
fn the_members_change_once_more_only_after_the_last_change_is_committed() {
    let mut led = Led::new(3);
    let (first, second) = (member(4, 4, false), member(5, 5, false));
    let wanted = |led: &Led| {
        let joining = [&first, &second].into_iter();
        led.raft.next_membership_change(joining, 1, 4_000, led.now).map(|list| list.len())
    };
    assert_eq!(wanted(&led), Some(4));
    led.raft.propose(EntryPayload::Membership(list(3, 1)), led.now);
    led.store();
    assert_eq!(wanted(&led), None, "the change is on one disk of three");
    led.holds(4, led.raft.last_position().index.0);
    assert_eq!(wanted(&led), None, "and on a learner's");
    led.holds(2, led.raft.last_position().index.0);
    assert_eq!(wanted(&led), Some(5));
    // One that hands over adds nothing to its log any more.
    led.raft.transfer_leadership(led.now);
    let last = led.raft.last_position();
    assert_eq!(led.raft.propose(EntryPayload::Membership(list(3, 2)), led.now), None);
    assert_eq!(led.raft.last_position(), last);
}

#[test]
fn a_learner_is_not_asked_to_take_over() {
    let mut led = Led::new(3);
    led.raft.propose(EntryPayload::Membership(list(3, 1)), led.now);
    led.store();
    let last = led.raft.last_position().index.0;
    led.holds(4, last);
    led.holds(2, last - 1);
    led.asked();
    led.raft.transfer_leadership(led.now);
    assert!(led.asked().is_empty(), "only the learner holds the whole log");
    led.holds(2, last);
    assert_eq!(led.asked(), [2]);
}
