//! Tests of the decision whether a commit may be forwarded to its client: how many listed replicas
//! must have it, the target of a handover, and which replica is queried next.
use silvertack::base::ids::{DbTerm, InstanceId, Position};
use silvertack::base::time::Tick;
use silvertack::net::rpc::pooler_messages::Handover;
use silvertack::net::statement_protocol::ServerDescription;
use silvertack::pooler::commit_confirmation::{
    AcknowledgedCommit, CommitConfirmation, CommitDecision, ReplicaQuery, ReplicaQuestion,
    ReplicaReply,
};

const TERM: DbTerm = DbTerm(1);
const START: Tick = Tick(1_000);

fn at(number: u64) -> Position {
    Position { term: TERM, number }
}
fn commit(number: u64) -> AcknowledgedCommit {
    AcknowledgedCommit { term: TERM, position: Some(at(number)), acknowledged_at: START }
}
fn handover(number: u64, target: &str) -> Handover {
    Handover { number, term: TERM, target: target.into() }
}
fn replicas(ids: &[&str]) -> Vec<InstanceId> {
    ids.iter().map(|id| InstanceId::from(*id)).collect()
}
fn describe(primary: bool, term: u64, number: u64) -> Option<ReplicaReply> {
    let received = Position { term: DbTerm(term), number };
    let description = ServerDescription { primary, term: DbTerm(term), received };
    Some(ReplicaReply::Description(description))
}
/// The description of a replica that has received this position of the first term.
fn received(number: u64) -> Option<ReplicaReply> {
    describe(false, TERM.0, number)
}
/// The reply of a replica that was asked for a position, and has applied this one.
fn applied(reached: bool, term: u64, number: u64) -> Option<ReplicaReply> {
    let applied = Position { term: DbTerm(term), number };
    Some(ReplicaReply::Position { reached, applied })
}
/// A confirmation that requires this many listed replicas.
fn requiring(sync_replicas: u32) -> CommitConfirmation {
    let mut confirmation = CommitConfirmation::default();
    confirmation.set_sync_replicas(sync_replicas);
    confirmation
}

/// Decides on a commit and expects a query of a replica.
fn expect_query(
    confirmation: &mut CommitConfirmation,
    commit: AcknowledgedCommit,
    listed: &[InstanceId],
    now: Tick,
) -> ReplicaQuery {
    match confirmation.decide(commit, listed, now) {
        CommitDecision::Query(query) => query,
        decision => panic!("{decision:?}"),
    }
}
/// As `expect_query`; the query is answered at once. Returns the replica that was queried.
fn answered_query(
    confirmation: &mut CommitConfirmation,
    number: u64,
    listed: &[InstanceId],
    reply: Option<ReplicaReply>,
    now: Tick,
) -> InstanceId {
    let query = expect_query(confirmation, commit(number), listed, now);
    confirmation.record_query(&query, reply.as_ref(), now);
    query.replica
}

/// Guards against a forwarded commit that only a replica unknown to the controllers has: the
/// primary acknowledges a commit whichever replicas received it.
#[test]
fn a_commit_may_be_forwarded_once_enough_listed_replicas_have_it() {
    let listed = replicas(&["b", "c"]);
    // (synchronous replicas, the replies of `b` and `c`, whether a commit at 7 may be forwarded)
    let cases = [
        (0, None, None, true),
        (1, None, None, false),
        (1, received(6), received(6), false),
        (1, received(6), received(7), true),
        (1, received(9), None, true),
        (2, received(9), received(6), false),
        (2, received(9), None, false),
        (2, received(7), received(8), true),
        (3, received(9), received(9), false),
    ];
    for (sync_replicas, b, c, may_forward) in cases {
        let mut confirmation = requiring(sync_replicas);
        let mut queried = std::collections::BTreeSet::new();
        for after in 0..50 {
            let now = START.plus(after);
            if let CommitDecision::Query(query) = confirmation.decide(commit(7), &listed, now) {
                let reply = if query.replica == listed[0] { &b } else { &c };
                confirmation.record_query(&query, reply.as_ref(), now);
                queried.insert(query.replica);
            }
        }
        let decision = confirmation.decide(commit(7), &listed, START.plus(50));
        let case = format!("{sync_replicas} {b:?} {c:?}");
        assert_eq!(decision == CommitDecision::Forward, may_forward, "{case}: {decision:?}");
        assert!(may_forward || queried.len() == 2, "{case}: {queried:?}");
        // A commit without a position can't be compared.
        let unknown = AcknowledgedCommit { position: None, ..commit(7) };
        let decision = confirmation.decide(unknown, &listed, START.plus(50));
        assert_eq!(decision == CommitDecision::Forward, sync_replicas == 0, "{case}");
    }
}

/// Guards against counting a replica that has left the directory: the controllers may have
/// forgotten it.
#[test]
fn only_replicas_in_the_directory_count() {
    let mut confirmation = requiring(1);
    let both = replicas(&["b", "c"]);
    assert_eq!(answered_query(&mut confirmation, 7, &both, received(7), START), both[0]);
    assert_eq!(confirmation.decide(commit(7), &both, START), CommitDecision::Forward);
    let only_c = replicas(&["c"]);
    assert_eq!(answered_query(&mut confirmation, 7, &only_c, received(3), START), only_c[0]);
    assert_eq!(confirmation.decide(commit(7), &only_c, START), CommitDecision::Wait);
    assert_eq!(confirmation.decide(commit(7), &[], START), CommitDecision::Wait);
}

/// Guards against comparing positions of different terms, and against counting a primary.
#[test]
fn a_description_counts_only_if_its_position_can_be_compared() {
    let listed = replicas(&["b"]);
    // (the description, whether it confirms a commit of term 1 at 7)
    let cases = [
        (None, false),
        (describe(false, 1, 6), false),
        (describe(false, 1, 7), true),
        (describe(false, 1, 9), true),
        (describe(false, 0, 9), false),
        (describe(true, 1, 9), false),
        (describe(true, 2, 1), false),
        (describe(false, 2, 1), false),
    ];
    for (description, confirms) in cases {
        let mut confirmation = requiring(1);
        answered_query(&mut confirmation, 7, &listed, description.clone(), START);
        let decision = confirmation.decide(commit(7), &listed, START);
        assert_eq!(decision == CommitDecision::Forward, confirms, "{description:?}");
    }
}

#[test]
fn during_a_handover_a_commit_waits_for_the_target() {
    let listed = replicas(&["b", "c"]);
    let mut confirmation = requiring(1);
    assert!(confirmation.begin_handover(handover(4, "c")));
    assert!(!confirmation.begin_handover(handover(4, "c")), "is known already");
    assert_eq!(answered_query(&mut confirmation, 7, &listed, received(6), START), listed[1]);
    assert_eq!(confirmation.decide(commit(7), &listed, START), CommitDecision::Wait);
    let now = START.plus(100);
    assert_eq!(answered_query(&mut confirmation, 7, &listed, received(7), now), listed[1]);
    assert_eq!(confirmation.decide(commit(7), &listed, now), CommitDecision::Forward);
    // Another handover begins: its target is not known to have the commit.
    assert!(confirmation.begin_handover(handover(5, "b")));
    assert_eq!(answered_query(&mut confirmation, 7, &listed, received(7), now), listed[0]);
    assert_eq!(confirmation.decide(commit(7), &listed, now), CommitDecision::Forward);
    // The target does not replace the listed replicas: it may have left the directory.
    assert!(confirmation.begin_handover(handover(6, "x")));
    let unlisted = replicas(&["d"]);
    assert_eq!(answered_query(&mut confirmation, 8, &unlisted, received(8), now), "x".into());
    assert_eq!(answered_query(&mut confirmation, 8, &unlisted, received(8), now), "d".into());
    // A handover covers its own term and earlier ones; a later term has a lease of its own.
    let mut confirmation = requiring(0);
    confirmation.begin_handover(handover(4, "c"));
    let commit_of = |term| AcknowledgedCommit { term: DbTerm(term), ..commit(3) };
    assert_eq!(confirmation.decide(commit_of(2), &listed, START), CommitDecision::Forward);
    assert_ne!(confirmation.decide(commit_of(0), &listed, START), CommitDecision::Forward);
    confirmation.end_handover();
    assert_eq!(confirmation.decide(commit_of(0), &listed, START), CommitDecision::Forward);
}

#[test]
fn a_confirmed_position_stays_confirmed() {
    let listed = replicas(&["b"]);
    let mut confirmation = requiring(1);
    for reply in [received(7), received(5), None] {
        let query = ReplicaQuery {
            replica: listed[0].clone(),
            commit: commit(7),
            question: ReplicaQuestion::Describe,
            timeout_ms: 100,
        };
        confirmation.record_query(&query, reply.as_ref(), START);
    }
    assert_eq!(confirmation.decide(commit(7), &listed, START), CommitDecision::Forward);
}

/// Guards against counting a replica by positions that are not its own or not of this term, and
/// against asking one for a position that may be the primary.
#[test]
fn a_replica_is_asked_for_a_position_once_it_has_described_itself() {
    let listed = replicas(&["b"]);
    let has_position = |number| ReplicaQuestion::HasPosition(at(number));
    let mut confirmation = requiring(1);
    let query = expect_query(&mut confirmation, commit(7), &listed, START);
    assert_eq!(query.question, ReplicaQuestion::Describe);
    confirmation.record_query(&query, received(7).as_ref(), START);
    // (the reply to the question for 8, whether commits at 8 and at 9 may be forwarded)
    let cases = [
        (applied(true, 1, 8), true, false),
        (applied(true, 1, 9), true, true),
        // A replica may have received a position that it has not applied yet.
        (applied(true, 1, 6), true, false),
        (applied(false, 1, 7), false, false),
        // Positions of a newer term can't be compared, whatever the database says.
        (applied(true, 2, 1), false, false),
        (describe(true, 1, 9), false, false),
        (None, false, false),
    ];
    for (reply, has_8, has_9) in cases {
        let mut confirmation = confirmation.clone();
        let query = expect_query(&mut confirmation, commit(8), &listed, START);
        assert_eq!(query.question, has_position(8));
        confirmation.record_query(&query, reply.as_ref(), START);
        for (number, may_forward) in [(8, has_8), (9, has_9)] {
            let mut confirmation = confirmation.clone();
            let decision = confirmation.decide(commit(number), &listed, START);
            assert_eq!(decision == CommitDecision::Forward, may_forward, "{reply:?} {number}");
        }
        // It describes itself again after no reply, and where it is not a replica any more.
        let now = START.plus(90);
        let again = confirmation.decide(commit(10), &listed, now);
        let CommitDecision::Query(again) = again else { panic!("{again:?}") };
        let described = reply.is_none() || reply == describe(true, 1, 9);
        let expected = if described { ReplicaQuestion::Describe } else { has_position(10) };
        assert_eq!(again.question, expected, "{reply:?}");
    }
    // In another term it describes itself first; so does the target of a handover always.
    let later = AcknowledgedCommit {
        term: DbTerm(2),
        position: Some(Position { term: DbTerm(2), number: 1 }),
        ..commit(7)
    };
    let query = expect_query(&mut confirmation.clone(), later, &listed, START);
    assert_eq!(query.question, ReplicaQuestion::Describe);
    confirmation.begin_handover(handover(4, "b"));
    let query = expect_query(&mut confirmation, commit(8), &listed, START);
    assert_eq!(query.question, ReplicaQuestion::Describe);
}

/// Guards against commits that wait until a replica has applied them, where it has received them.
#[test]
fn a_replica_that_applies_late_is_asked_for_its_description() {
    let listed = replicas(&["b"]);
    let mut confirmation = requiring(1);
    answered_query(&mut confirmation, 7, &listed, received(7), START);
    let mut questions = Vec::new();
    for after in 0..150 {
        let now = START.plus(after);
        if let CommitDecision::Query(query) = confirmation.decide(commit(9), &listed, now) {
            let reply = match query.question {
                ReplicaQuestion::Describe => received(9),
                ReplicaQuestion::HasPosition(_) => applied(false, 1, 7),
            };
            confirmation.record_query(&query, reply.as_ref(), now);
            questions.push((after, query.question == ReplicaQuestion::Describe));
        }
    }
    let expected = [(0, false), (8, false), (16, false), (32, false), (64, false), (128, true)];
    assert_eq!(questions, expected);
    // For a second all commits are confirmed by its description, then it is asked briefly again.
    for (after, is_described) in [(200, true), (1_100, true), (1_128, false)] {
        let now = START.plus(after);
        let commit = AcknowledgedCommit { acknowledged_at: now, ..commit(10) };
        let query = expect_query(&mut confirmation.clone(), commit, &listed, now);
        assert_eq!(query.question == ReplicaQuestion::Describe, is_described, "after {after}");
    }
}

/// Guards against counting the position in a reply of a database that is not known as a replica.
#[test]
fn the_position_in_a_reply_to_a_read_counts_for_a_known_replica() {
    let listed = replicas(&["b"]);
    let position = |term: u64, number| Position { term: DbTerm(term), number };
    let mut confirmation = requiring(1);
    assert!(!confirmation.record_position(&listed[0], TERM, at(9)), "it is not known");
    answered_query(&mut confirmation, 7, &listed, received(7), START);
    assert!(!confirmation.record_position(&listed[0], TERM, position(2, 1)), "a newer term");
    assert!(!confirmation.record_position(&listed[0], DbTerm(2), position(2, 9)), "another term");
    assert!(!confirmation.record_position(&listed[0], TERM, at(6)), "nothing new");
    assert_ne!(confirmation.decide(commit(8), &listed, START), CommitDecision::Forward);
    assert!(confirmation.record_position(&listed[0], TERM, at(8)));
    assert_eq!(confirmation.decide(commit(8), &listed, START), CommitDecision::Forward);
}

#[test]
fn one_query_at_a_time_serves_all_commits_and_a_slow_one_is_hedged() {
    let listed = replicas(&["b", "c"]);
    let mut confirmation = requiring(1);
    let first = expect_query(&mut confirmation, commit(7), &listed, START);
    assert_eq!(first.replica, listed[0]);
    for after in [0, 1, 49] {
        let decision = confirmation.decide(commit(8), &listed, START.plus(after));
        assert_eq!(decision, CommitDecision::Wait, "after {after}");
    }
    let hedge = expect_query(&mut confirmation, commit(8), &listed, START.plus(50));
    assert_eq!(hedge.replica, listed[1]);
    assert_eq!(confirmation.decide(commit(9), &listed, START.plus(200)), CommitDecision::Wait);
    // The later reply confirms both commits.
    assert!(confirmation.record_query(&hedge, received(8).as_ref(), START.plus(60)));
    for number in [7, 8] {
        let decision = confirmation.decide(commit(number), &listed, START.plus(60));
        assert_eq!(decision, CommitDecision::Forward);
    }
    // Two missing replicas are queried at the same time.
    let mut confirmation = requiring(2);
    expect_query(&mut confirmation, commit(7), &listed, START);
    expect_query(&mut confirmation, commit(7), &listed, START);
    assert_eq!(confirmation.decide(commit(7), &listed, START), CommitDecision::Wait);
}

#[test]
fn the_replica_that_confirmed_last_is_queried_first_and_a_failing_one_last() {
    let listed = replicas(&["b", "c"]);
    let mut confirmation = requiring(1);
    assert_eq!(answered_query(&mut confirmation, 7, &listed, received(6), START), listed[0]);
    // The first reply lacked the commit, so the next query waits for a moment.
    assert_eq!(confirmation.decide(commit(7), &listed, START.plus(7)), CommitDecision::Wait);
    let now = START.plus(8);
    assert_eq!(answered_query(&mut confirmation, 7, &listed, received(7), now), listed[1]);
    let now = START.plus(100);
    assert_eq!(answered_query(&mut confirmation, 8, &listed, received(8), now), listed[1]);
    // `c` does not reply any more: `b` is queried at once, and first from then on.
    assert_eq!(answered_query(&mut confirmation, 9, &listed, None, now), listed[1]);
    assert_eq!(answered_query(&mut confirmation, 9, &listed, received(9), now), listed[0]);
    let now = now.plus(1_000);
    assert_eq!(answered_query(&mut confirmation, 10, &listed, received(10), now), listed[0]);
    // While no replica has the commit, the queries become rarer and their timeouts longer.
    let mut confirmation = requiring(1);
    let (mut times, mut timeouts) = (Vec::new(), Vec::new());
    for after in 0..200 {
        let now = START.plus(after);
        if let CommitDecision::Query(query) = confirmation.decide(commit(7), &listed[..1], now) {
            confirmation.record_query(&query, None, now);
            times.push(after);
            timeouts.push(query.timeout_ms);
        }
    }
    assert_eq!(times, [0, 20, 60, 140]);
    assert_eq!(timeouts, [150, 300, 600, 1_200]);
}
