//! The change of a service's primary: each case is a sequence of events with the actions that must
//! follow.
use silvertack::base::ids::{DbTerm, NodeName, Position, Term};
use silvertack::base::time::Tick;
use silvertack::config::directory::{Instance, Lifecycle, Role};
use silvertack::failover::{
    DatabaseRequest, DatabaseResponse, Failover, FailoverAction, FailoverState, PromotionResponse,
    ServiceSnapshot,
};
use silvertack::leases::passed_on::{PassedOn, UnreportedCommits};
use silvertack::net::rpc::pooler_messages::{Handover, SuspicionReason};
use silvertack::net::statement_protocol::ServerDescription;
use silvertack::state_machine::{Command, PrimaryRecord};
use std::collections::{BTreeMap, BTreeSet};

fn at(number: u64) -> Position {
    Position { term: DbTerm(1), number }
}
fn database(state: Lifecycle, role: Role, revision: &str) -> Instance {
    Instance {
        target_service: "s".into(),
        address: "10.0.0.9:80".parse().expect("address"),
        zone: "z".into(),
        revision: revision.into(),
        capacity: 7,
        lifecycle_state: state,
        database_role: role,
    }
}
/// What poolers reported: nothing yet, or the furthest commit of all.
fn passed_on(reported: Option<Option<Position>>) -> PassedOn {
    reported.map_or_else(PassedOn::default, |reported| PassedOn {
        reported,
        unreported: UnreportedCommits::Nothing,
    })
}
/// A service with primary `a` in term 1 and replicas `b` and `c`. No lease is in use; how far poolers
/// passed on commits is not known.
fn snapshot() -> ServiceSnapshot {
    let replica = database(Lifecycle::Available, Role::Replica, "v1");
    ServiceSnapshot {
        service: "s".into(),
        raft_term: Term(1),
        primary_record: Some(PrimaryRecord { term: DbTerm(1), primary: "a".into(), intent: None }),
        databases: vec![
            ("a".into(), database(Lifecycle::Available, Role::Primary, "v1")),
            ("b".into(), replica.clone()),
            ("c".into(), replica),
        ],
        alive: BTreeSet::from(["a".into(), "b".into(), "c".into()]),
        departed: BTreeMap::new(),
        sync_replicas: 1,
        leases_expired: true,
        all_poolers_confirmed: false,
        passed_on: PassedOn::default(),
    }
}
fn row(primary: bool, term: u64, received: Position) -> DatabaseResponse {
    DatabaseResponse::Description(ServerDescription { primary, term: DbTerm(term), received })
}
fn ask(id: &str, ask: DatabaseRequest) -> FailoverAction {
    FailoverAction::SendRequest(id.into(), ask)
}
fn propose_intent(target: &str) -> FailoverAction {
    FailoverAction::Propose(Command::BeginFailover {
        service: "s".into(),
        term: DbTerm(1),
        target: target.into(),
    })
}
fn propose_primary(target: &str, term: u64) -> FailoverAction {
    FailoverAction::Propose(Command::SetPrimary {
        service: "s".into(),
        term: DbTerm(term),
        primary: target.into(),
    })
}
const PAUSE: DatabaseRequest = DatabaseRequest::Pause(DbTerm(2));

/// A new leader took over, and the replicas confirmed that they have resumed.
fn begin_steady(snapshot: &ServiceSnapshot, now: Tick) -> Failover {
    let (mut s, first) = Failover::begin(snapshot, now);
    let replicas = snapshot.databases[1..]
        .iter()
        .map(|(id, _)| FailoverAction::SendRequest(id.clone(), DatabaseRequest::Continue));
    assert_eq!(first, replicas.collect::<Vec<_>>(), "earlier pauses are let go");
    confirm_resumption(&mut s, snapshot, now);
    s
}
fn confirm_resumption(s: &mut Failover, snapshot: &ServiceSnapshot, now: Tick) {
    for (id, _) in &snapshot.databases[1..] {
        s.handle_response(
            snapshot,
            s.attempt,
            id,
            DatabaseRequest::Continue,
            &row(false, 1, at(7)),
            now,
        );
    }
}
/// A primary that is doubted and does not answer: both replicas are being paused.
fn fencing(snapshot: &ServiceSnapshot, now: Tick) -> Failover {
    let (s, actions) = lose_primary(snapshot, now);
    assert_eq!(
        actions,
        [FailoverAction::RevokeLeases(DbTerm(1)), ask("b", PAUSE), ask("c", PAUSE)]
    );
    s
}
/// The primary is doubted and refuses. Gives what is done then.
fn lose_primary(snapshot: &ServiceSnapshot, now: Tick) -> (Failover, Vec<FailoverAction>) {
    let mut s = begin_steady(snapshot, now);
    let actions = s.report_suspicion(
        snapshot,
        &"n1".into(),
        &"a".into(),
        SuspicionReason::ConnectionsBroken,
        now,
    );
    assert_eq!(actions, [ask("a", DatabaseRequest::Describe)], "it is asked itself first");
    let actions = s.handle_response(
        snapshot,
        s.attempt,
        &"a".into(),
        DatabaseRequest::Describe,
        &DatabaseResponse::Unavailable,
        now,
    );
    (s, actions)
}
/// A failover whose promotion call may be under way.
fn promoting(snapshot: &mut ServiceSnapshot, now: Tick) -> Failover {
    let mut s = fencing(snapshot, now);
    assert!(
        s.handle_response(snapshot, s.attempt, &"b".into(), PAUSE, &row(false, 1, at(7)), now)
            .is_empty()
    );
    assert_eq!(
        s.handle_response(snapshot, s.attempt, &"c".into(), PAUSE, &row(false, 1, at(9)), now),
        [propose_intent("c")]
    );
    assert!(s.tick(snapshot, now).is_empty(), "not before it is committed");
    commit_intent(snapshot, "c");
    assert_eq!(s.tick(snapshot, now), [FailoverAction::Promote("c".into())]);
    s
}
/// The intent is committed.
fn commit_intent(snapshot: &mut ServiceSnapshot, target: &str) {
    snapshot.primary_record = snapshot
        .primary_record
        .take()
        .map(|lead| PrimaryRecord { intent: Some(target.into()), ..lead });
}

#[test]
fn a_lost_primary_is_followed_by_the_furthest_replica() {
    let (mut snapshot, now) = (snapshot(), Tick(50_000));
    let mut s = promoting(&mut snapshot, now);
    assert_eq!(s.sealed, Some(at(9)), "reads may go on up to there");
    assert!(
        s.handle_promotion_response(
            &snapshot,
            s.attempt,
            &"c".into(),
            PromotionResponse::Accepted,
            now
        )
        .is_empty()
    );
    assert_eq!(
        s.handle_heartbeat(&snapshot, &"c".into(), Role::Primary, now.plus(300)),
        [ask("c", DatabaseRequest::Describe)]
    );
    // The primary is recorded only once no lease is in use, whatever held when it was chosen.
    snapshot.leases_expired = false;
    let actions = s.handle_response(
        &snapshot,
        s.attempt,
        &"c".into(),
        DatabaseRequest::Describe,
        &row(true, 2, at(9)),
        now.plus(310),
    );
    assert_eq!(actions, [ask("a", DatabaseRequest::StepDown(DbTerm(2)))]);
    assert!(s.tick(&snapshot, now.plus(400)).is_empty(), "old leases may still be used");
    snapshot.leases_expired = true;
    assert_eq!(s.tick(&snapshot, now.plus(500)), [propose_primary("c", 2)]);
    assert!(s.tick(&snapshot, now.plus(510)).is_empty(), "once is enough");
    snapshot.primary_record =
        Some(PrimaryRecord { term: DbTerm(2), primary: "c".into(), intent: None });
    assert_eq!(s.tick(&snapshot, now.plus(520)), [ask("b", DatabaseRequest::Continue)]);
    assert!(s.state == FailoverState::Steady && !s.revoking && s.sealed.is_none());
}

#[test]
fn a_false_alarm_changes_nothing() {
    let (mut snapshot, now) = (snapshot(), Tick(50_000));
    for response in [row(true, 1, at(9)), DatabaseResponse::NoDescription] {
        let (mut s, _) = Failover::begin(&snapshot, now);
        s.report_suspicion(&snapshot, &"n1".into(), &"a".into(), SuspicionReason::NoResponse, now);
        assert!(
            s.handle_response(
                &snapshot,
                s.attempt,
                &"a".into(),
                DatabaseRequest::Describe,
                &response,
                now
            )
            .is_empty()
        );
        assert_eq!(s.state, FailoverState::Steady);
    }
    // Also after the pause, as long as nothing was posted.
    let mut s = fencing(&snapshot, now);
    let actions = s.handle_response(
        &snapshot,
        s.attempt,
        &"a".into(),
        DatabaseRequest::Describe,
        &row(true, 1, at(9)),
        now,
    );
    assert_eq!(actions, [ask("b", DatabaseRequest::Continue), ask("c", DatabaseRequest::Continue)]);
    assert!(!s.revoking);
    // Once posted it is too late for that.
    let mut s = promoting(&mut snapshot, now);
    assert!(
        s.handle_response(
            &snapshot,
            s.attempt,
            &"a".into(),
            DatabaseRequest::Describe,
            &row(true, 1, at(9)),
            now
        )
        .is_empty()
    );
    assert!(matches!(s.state, FailoverState::Promoting(_)));
}

#[test]
fn a_replica_that_has_not_confirmed_its_resumption_is_asked_again() {
    let (snapshot, now) = (snapshot(), Tick(50_000));
    let mut s = fencing(&snapshot, now);
    for id in ["b", "c"] {
        s.handle_response(
            &snapshot,
            s.attempt,
            &id.into(),
            PAUSE,
            &DatabaseResponse::NoDescription,
            now,
        );
    }
    s.handle_response(
        &snapshot,
        s.attempt,
        &"a".into(),
        DatabaseRequest::Describe,
        &row(true, 1, at(9)),
        now,
    );
    s.handle_response(
        &snapshot,
        s.attempt,
        &"b".into(),
        DatabaseRequest::Continue,
        &row(false, 1, at(9)),
        now,
    );
    s.handle_response(
        &snapshot,
        s.attempt,
        &"c".into(),
        DatabaseRequest::Continue,
        &DatabaseResponse::TimedOut,
        now,
    );
    assert!(s.tick(&snapshot, now.plus(500)).is_empty());
    assert_eq!(s.tick(&snapshot, now.plus(1_100)), [ask("c", DatabaseRequest::Continue)]);
    s.handle_response(
        &snapshot,
        s.attempt,
        &"c".into(),
        DatabaseRequest::Continue,
        &row(false, 1, at(9)),
        now.plus(1_110),
    );
    assert!(s.tick(&snapshot, now.plus(2_500)).is_empty());
}

#[test]
fn three_reports_of_silence_are_enough_unless_the_machine_accepts_connections() {
    let (snapshot, now) = (snapshot(), Tick(50_000));
    for reached in [false, true] {
        let mut s = begin_steady(&snapshot, now);
        for (who, after, actions) in [("n1", 0, 1), ("n1", 5, 0), ("n2", 10, 0), ("n3", 15, 0)] {
            let done = s.report_suspicion(
                &snapshot,
                &who.into(),
                &"a".into(),
                SuspicionReason::NoResponse,
                now.plus(after),
            );
            assert_eq!(done.len(), actions, "{who}");
        }
        if reached {
            s.handle_response(
                &snapshot,
                s.attempt,
                &"a".into(),
                DatabaseRequest::Describe,
                &DatabaseResponse::Connected,
                now.plus(16),
            );
        }
        let actions = s.tick(&snapshot, now.plus(40));
        if reached {
            // Slow is not dark: the change is planned, and the primary serves meanwhile.
            assert_eq!(actions, [hand_over(&s, "b"), ask("c", PAUSE)]);
            assert!(!s.revoking);
            let actions = s.tick(&snapshot, now.plus(700));
            assert_eq!(
                actions,
                [ask("c", DatabaseRequest::Continue)],
                "given up at the first obstacle"
            );
        } else {
            assert_eq!(
                actions,
                [FailoverAction::RevokeLeases(DbTerm(1)), ask("b", PAUSE), ask("c", PAUSE)]
            );
        }
    }
}

/// A leader that was not sure to lead gave the request up: the database was asked nothing.
#[test]
fn a_request_that_was_not_sent_says_nothing_of_the_database() {
    let (snapshot, now) = (snapshot(), Tick(50_000));
    let not_sent = DatabaseResponse::NotSent;
    let mut suspected = begin_steady(&snapshot, now);
    let doubt = SuspicionReason::ConnectionsBroken;
    suspected.report_suspicion(&snapshot, &"n1".into(), &"a".into(), doubt, now);
    let fenced = fencing(&snapshot, now);
    // (the stage, who was asked what)
    for (stage, id, request) in [
        (&suspected, "a", DatabaseRequest::Describe),
        (&fenced, "a", DatabaseRequest::Describe),
        (&fenced, "c", PAUSE),
    ] {
        let mut s = stage.clone();
        let actions = s.handle_response(&snapshot, s.attempt, &id.into(), request, &not_sent, now);
        assert_eq!((actions, &s.state), (vec![], &stage.state), "{id} {request:?}");
    }
    // A pause that was never sent can't hold a replica that is to go on.
    let mut s = fenced.clone();
    s.handle_response(&snapshot, s.attempt, &"c".into(), PAUSE, &not_sent, now);
    let leads = row(true, 1, at(9));
    s.handle_response(&snapshot, s.attempt, &"a".into(), DatabaseRequest::Describe, &leads, now);
    s.handle_response(&snapshot, s.attempt, &"b".into(), PAUSE, &row(false, 1, at(7)), now);
    confirm_resumption(&mut s, &snapshot, now);
    assert_eq!(s.tick(&snapshot, now.plus(1_100)), [], "both are known to go on");
}

#[test]
fn a_primary_found_slow_twice_is_replaced_once() {
    let (snapshot, now) = (snapshot(), Tick(50_000));
    let (mut s, _) = Failover::begin(&snapshot, now);
    let nine = at(9);
    let mut look = |at: u64, took: u64| {
        s.report_suspicion(
            &snapshot,
            &"n1".into(),
            &"a".into(),
            SuspicionReason::NoResponse,
            now.plus(at),
        );
        let answer = row(true, 1, nine);
        s.handle_response(
            &snapshot,
            s.attempt,
            &"a".into(),
            DatabaseRequest::Describe,
            &answer,
            now.plus(at + took),
        )
        .len()
    };
    // at, the answer took, deeds: quick, slow once, quick, slow once, slow again, when the poolers are
    // told and the other replica is paused
    let table = [(0, 20, 0), (500, 400, 0), (1_500, 20, 0), (4_000, 400, 0), (5_000, 400, 2)];
    for (at, took, actions) in table {
        assert_eq!(look(at, took), actions, "at {at}");
    }
}

#[test]
fn a_primary_that_breaks_many_connections_is_replaced() {
    let (snapshot, now) = (snapshot(), Tick(50_000));
    // reports of so many poolers, each so many times, this far apart: whether it is left
    for (poolers, times, apart, left) in [(3, 2, 100, true), (2, 4, 100, false), (4, 2, 500, false)]
    {
        let (mut s, _) = Failover::begin(&snapshot, now);
        let mut at_ms = 0;
        for i in 0..poolers * times {
            let who = NodeName(format!("n{}", i % poolers));
            at_ms += apart;
            s.report_suspicion(
                &snapshot,
                &who,
                &"a".into(),
                SuspicionReason::ConnectionsBroken,
                now.plus(at_ms),
            );
        }
        let fine = row(true, 1, at(9));
        s.handle_response(
            &snapshot,
            s.attempt,
            &"a".into(),
            DatabaseRequest::Describe,
            &fine,
            now.plus(at_ms + 5),
        );
        let doubted = s.report_suspicion(
            &snapshot,
            &"n0".into(),
            &"a".into(),
            SuspicionReason::ConnectionsBroken,
            now.plus(at_ms + 400),
        );
        let actions = s.handle_response(
            &snapshot,
            s.attempt,
            &"a".into(),
            DatabaseRequest::Describe,
            &fine,
            now.plus(at_ms + 410),
        );
        let planned = matches!(&s.state, FailoverState::HandingOver(_));
        assert_eq!(planned, left, "{poolers} {times} {apart}: {doubted:?} {actions:?}");
        assert!(!s.revoking);
    }
}

#[test]
fn one_unanswered_request_is_no_loss_and_a_refused_connection_is() {
    let (snapshot, now) = (snapshot(), Tick(50_000));
    for (response, actions) in [
        (DatabaseResponse::TimedOut, vec![ask("a", DatabaseRequest::Describe)]),
        (DatabaseResponse::Unavailable, Vec::new()),
    ] {
        let (mut s, _) = Failover::begin(&snapshot, now);
        s.report_suspicion(
            &snapshot,
            &"n1".into(),
            &"a".into(),
            SuspicionReason::ConnectionsBroken,
            now,
        );
        let done = s.handle_response(
            &snapshot,
            s.attempt,
            &"a".into(),
            DatabaseRequest::Describe,
            &response,
            now.plus(300),
        );
        if actions.is_empty() {
            assert!(matches!(s.state, FailoverState::Fencing(_)));
        } else {
            assert_eq!(done, actions);
            s.handle_response(
                &snapshot,
                s.attempt,
                &"a".into(),
                DatabaseRequest::Describe,
                &response,
                now.plus(600),
            );
            assert!(matches!(s.state, FailoverState::Fencing(_)), "twice is enough");
        }
    }
}

#[test]
fn with_too_few_answers_nobody_is_promoted_unless_the_leases_are_released() {
    let now = Tick(50_000);
    // given back by the poolers, synchronous replicas, whether `b` alone may take over at 7
    let table = [
        (None, 1, false),
        (Some(Some(at(8))), 1, false),
        (Some(Some(at(7))), 1, true),
        (Some(None), 1, true),
        (None, 2, true),
        (None, 0, false),
        (Some(Some(at(7))), 0, true),
    ];
    for (reported, sync_replicas, may) in table {
        let snapshot = ServiceSnapshot { sync_replicas, ..snapshot() };
        let mut s = fencing(&snapshot, now);
        let mut actions =
            s.handle_response(&snapshot, s.attempt, &"b".into(), PAUSE, &row(false, 1, at(7)), now);
        let snapshot = ServiceSnapshot { passed_on: passed_on(reported), ..snapshot };
        if actions.is_empty() {
            assert!(s.tick(&snapshot, now.plus(20)).is_empty(), "the other may still answer");
            actions = s.tick(&snapshot, now.plus(320));
        }
        let expected = if may { vec![propose_intent("b")] } else { Vec::new() };
        assert_eq!(actions, expected, "{reported:?}, sync {sync_replicas}");
        if !may {
            let again = s.tick(&snapshot, now.plus(500));
            assert!(again.contains(&ask("c", PAUSE)), "the missing one is asked again");
        }
    }
}

#[test]
fn one_that_is_about_to_end_takes_over_only_if_nobody_else_can() {
    let now = Tick(50_000);
    // what the available one has, what was passed on, who takes over
    for (other, reported, target) in [(9, 9, "c"), (8, 8, "c"), (8, 9, "b"), (7, 8, "b")] {
        let mut snapshot = snapshot();
        snapshot.databases[1].1.lifecycle_state = Lifecycle::Draining;
        snapshot.passed_on = passed_on(Some(Some(at(reported))));
        let mut s = fencing(&snapshot, now);
        assert!(
            s.handle_response(&snapshot, s.attempt, &"b".into(), PAUSE, &row(false, 1, at(9)), now)
                .is_empty()
        );
        let mut actions = s.handle_response(
            &snapshot,
            s.attempt,
            &"c".into(),
            PAUSE,
            &row(false, 1, at(other)),
            now,
        );
        if actions.is_empty() {
            actions = s.tick(&snapshot, now.plus(320));
        }
        assert_eq!(actions, [propose_intent(target)], "{other} {reported}");
    }
    // A target that left is settled by the refusal, and the call is made again at once.
    let mut snapshot = snapshot();
    let mut s = promoting(&mut snapshot, now);
    s.handle_promotion_response(
        &snapshot,
        s.attempt,
        &"c".into(),
        PromotionResponse::Accepted,
        now,
    );
    assert!(s.tick(&snapshot, now.plus(100)).is_empty());
    snapshot.databases.pop();
    assert_eq!(s.tick(&snapshot, now.plus(110)), [FailoverAction::Promote("c".into())]);
    let actions = s.handle_promotion_response(
        &snapshot,
        s.attempt,
        &"c".into(),
        PromotionResponse::NotRunning,
        now.plus(120),
    );
    assert!(
        matches!(actions.as_slice(), [FailoverAction::Propose(Command::AbandonFailover { .. })]),
        "{actions:?}"
    );
}

#[test]
fn a_second_promote_never_starts_while_a_first_may_take_effect() {
    let (mut snapshot, now) = (snapshot(), Tick(50_000));
    let abandon = FailoverAction::Propose(Command::AbandonFailover {
        service: "s".into(),
        target: "c".into(),
    });
    // what came of the calls, and whether the refusal after them settles it
    let table: [(&[PromotionResponse], u64, bool); 5] = [
        (&[], 10, true),
        (&[PromotionResponse::NotAttempted], 10, true),
        (&[PromotionResponse::Accepted], 10, false),
        (&[PromotionResponse::Unknown], 10, false),
        (&[PromotionResponse::Unknown], 10_000, true),
    ];
    for (before, later, settled) in table {
        snapshot.primary_record =
            snapshot.primary_record.take().map(|lead| PrimaryRecord { intent: None, ..lead });
        let mut s = promoting(&mut snapshot, now);
        for promotion_response in before {
            assert!(
                s.handle_promotion_response(
                    &snapshot,
                    s.attempt,
                    &"c".into(),
                    *promotion_response,
                    now
                )
                .is_empty()
            );
        }
        let actions = s.handle_promotion_response(
            &snapshot,
            s.attempt,
            &"c".into(),
            PromotionResponse::NotRunning,
            now.plus(later),
        );
        assert_eq!(
            actions.as_slice(),
            if settled { std::slice::from_ref(&abandon) } else { &[] },
            "{before:?}"
        );
    }
    // An unclear call is made again, with the same target.
    snapshot.primary_record =
        snapshot.primary_record.take().map(|lead| PrimaryRecord { intent: None, ..lead });
    let mut s = promoting(&mut snapshot, now);
    s.handle_promotion_response(&snapshot, s.attempt, &"c".into(), PromotionResponse::Unknown, now);
    let actions = s.tick(&snapshot, now.plus(400));
    assert!(actions.contains(&FailoverAction::Promote("c".into())), "{actions:?}");
    // Given up in the log, whenever that is noticed: fenced anew, and nothing is called meanwhile.
    snapshot.primary_record =
        snapshot.primary_record.take().map(|lead| PrimaryRecord { intent: None, ..lead });
    let actions = s.tick(&snapshot, now.plus(3_000));
    assert_eq!(
        actions,
        [FailoverAction::RevokeLeases(DbTerm(1)), ask("b", PAUSE), ask("c", PAUSE)]
    );
}

#[test]
fn a_new_leader_finishes_the_intent_it_finds() {
    let now = Tick(50_000);
    let mut snapshot = snapshot();
    snapshot.primary_record =
        Some(PrimaryRecord { term: DbTerm(1), primary: "a".into(), intent: Some("b".into()) });
    let (mut s, actions) = Failover::begin(&snapshot, now);
    assert_eq!(
        actions,
        [
            FailoverAction::RevokeLeases(DbTerm(1)),
            ask("c", PAUSE),
            FailoverAction::Promote("b".into())
        ]
    );
    assert!(s.revoking, "nobody uses the old term meanwhile");
    assert!(
        s.report_suspicion(
            &snapshot,
            &"n1".into(),
            &"a".into(),
            SuspicionReason::ConnectionsBroken,
            now
        )
        .is_empty()
    );
}

#[test]
#[expect(clippy::too_many_lines, reason = "one scenario, told in order")]
fn a_draining_primary_is_replaced_while_it_serves() {
    let now = Tick(50_000);
    let mut snapshot = snapshot();
    snapshot.databases[0].1.lifecycle_state = Lifecycle::Draining;
    snapshot.databases.push(("d".into(), database(Lifecycle::Available, Role::Replica, "v2")));
    snapshot.alive.insert("d".into());
    let mut s = begin_steady(&snapshot, now);
    let actions = s.tick(&snapshot, now);
    assert_eq!(
        actions,
        [hand_over(&s, "d"), ask("b", PAUSE), ask("c", PAUSE)],
        "the newest revision is left to receive"
    );
    assert!(!s.revoking, "leases go on: every further commit is on the target");
    for (id, number) in [("b", 7), ("c", 9)] {
        let answer = row(false, 1, at(number));
        let actions = s.handle_response(&snapshot, s.attempt, &id.into(), PAUSE, &answer, now);
        assert_eq!(actions, [], "{id}");
    }
    snapshot.all_poolers_confirmed = true;
    snapshot.passed_on = passed_on(Some(Some(at(9))));
    assert_eq!(s.tick(&snapshot, now), [ask("d", DatabaseRequest::Describe)]);
    assert!(
        s.handle_response(
            &snapshot,
            s.attempt,
            &"d".into(),
            DatabaseRequest::Describe,
            &row(false, 1, at(8)),
            now
        )
        .is_empty(),
        "not there yet"
    );
    assert_eq!(s.tick(&snapshot, now.plus(120)), [ask("d", DatabaseRequest::Describe)]);
    let actions = s.handle_response(
        &snapshot,
        s.attempt,
        &"d".into(),
        DatabaseRequest::Describe,
        &row(false, 1, at(11)),
        now.plus(130),
    );
    assert_eq!(actions, [propose_intent("d")]);
    commit_intent(&mut snapshot, "d");
    s.tick(&snapshot, now.plus(140));
    snapshot.leases_expired = false;
    let actions = s.handle_response(
        &snapshot,
        s.attempt,
        &"d".into(),
        DatabaseRequest::Describe,
        &row(true, 2, at(11)),
        now.plus(500),
    );
    assert_eq!(
        actions,
        [FailoverAction::RevokeLeases(DbTerm(1)), ask("a", DatabaseRequest::StepDown(DbTerm(2)))]
    );
    assert_eq!(s.lease_status().handover, s.handover, "until they are revoked");
    // A target that never catches up: everything is let go.
    snapshot.all_poolers_confirmed = false;
    snapshot.primary_record =
        snapshot.primary_record.take().map(|lead| PrimaryRecord { intent: None, ..lead });
    let mut s = begin_steady(&snapshot, now);
    s.tick(&snapshot, now);
    assert_eq!(
        s.tick(&snapshot, now.plus(3_100)),
        [ask("b", DatabaseRequest::Continue), ask("c", DatabaseRequest::Continue)]
    );
}

#[test]
fn the_first_primary_is_believed_once_it_says_its_term() {
    let now = Tick(50_000);
    let snapshot = ServiceSnapshot { primary_record: None, ..snapshot() };
    let (mut s, actions) = Failover::begin(&snapshot, now);
    assert!(actions.is_empty());
    assert!(s.handle_heartbeat(&snapshot, &"b".into(), Role::Replica, now).is_empty());
    assert_eq!(
        s.handle_heartbeat(&snapshot, &"a".into(), Role::Primary, now),
        [ask("a", DatabaseRequest::Describe)]
    );
    assert_eq!(
        s.handle_response(
            &snapshot,
            s.attempt,
            &"a".into(),
            DatabaseRequest::Describe,
            &row(true, 4, at(2)),
            now
        ),
        [propose_primary("a", 4)]
    );
}

#[test]
fn an_old_primary_that_returns_is_told_to_step_down() {
    let (snapshot, now) = (snapshot(), Tick(50_000));
    let (mut s, _) = Failover::begin(&snapshot, now);
    assert_eq!(
        s.handle_heartbeat(&snapshot, &"b".into(), Role::Primary, now),
        [ask("b", DatabaseRequest::StepDown(DbTerm(1)))]
    );
    assert!(
        s.handle_heartbeat(&snapshot, &"b".into(), Role::Primary, now.plus(10)).is_empty(),
        "not at every beat"
    );
}

/// The planned change: `a` is about to end, `b` is to take over, `c` is paused.
fn planned(snapshot: &mut ServiceSnapshot, now: Tick) -> Failover {
    snapshot.databases[0].1.lifecycle_state = Lifecycle::Draining;
    let mut s = begin_steady(snapshot, now);
    assert_eq!(s.tick(snapshot, now), [hand_over(&s, "b"), ask("c", PAUSE)]);
    s
}
/// The poolers are told that the service goes to `target`.
fn hand_over(s: &Failover, target: &str) -> FailoverAction {
    let (number, target) = (s.attempt.fencing_token(), target.into());
    FailoverAction::HandOver(Handover { number, term: DbTerm(1), target })
}
/// All poolers confirm their commits at `b`, which is asked how far it is; and the primary, if that is
/// needed to know what was passed on before.
fn all_confirm(s: &mut Failover, snapshot: &mut ServiceSnapshot, primary: bool, now: Tick) {
    assert_eq!(s.tick(snapshot, now), [], "not before all confirm");
    snapshot.all_poolers_confirmed = true;
    let asked: &[&str] = if primary { &["b", "a"] } else { &["b"] };
    let asked: Vec<_> = asked.iter().map(|id| ask(id, DatabaseRequest::Describe)).collect();
    assert_eq!(s.tick(snapshot, now), asked);
}

#[test]
fn a_planned_change_goes_on_only_if_the_target_has_every_commit() {
    let now = Tick(50_000);
    // (synchronous replicas, what poolers passed on if all said it, how far the primary is if it was
    // asked since, what the target has, whether it takes over). Whether `c` is paused says nothing.
    let table = [
        (1, None, None, 9, false),
        (1, None, Some(9), 9, true),
        (1, None, Some(9), 8, false),
        (1, Some(Some(at(9))), None, 9, true),
        (1, Some(Some(at(9))), None, 8, false),
        (1, Some(None), None, 0, true),
        (0, None, None, 9, false),
        (0, None, Some(9), 9, true),
        (0, None, Some(9), 8, false),
        (0, Some(Some(at(9))), None, 9, true),
        (0, Some(Some(at(9))), None, 8, false),
        (0, Some(None), None, 7, true),
    ];
    for (sync_replicas, reported, primary, target, goes_on) in table {
        for paused in [None, Some(7), Some(9)] {
            let mut snapshot = ServiceSnapshot { sync_replicas, ..snapshot() };
            snapshot.passed_on = passed_on(reported);
            let mut s = planned(&mut snapshot, now);
            if let Some(number) = paused {
                let answer = row(false, 1, at(number));
                let actions =
                    s.handle_response(&snapshot, s.attempt, &"c".into(), PAUSE, &answer, now);
                assert_eq!(actions, []);
            }
            all_confirm(&mut s, &mut snapshot, reported.is_none(), now);
            let describe = DatabaseRequest::Describe;
            let mut actions = Vec::new();
            if let Some(number) = primary {
                let answer = row(true, 1, at(number));
                actions =
                    s.handle_response(&snapshot, s.attempt, &"a".into(), describe, &answer, now);
            }
            assert_eq!(actions, [], "the target has not answered");
            let answer = row(false, 1, at(target));
            let actions =
                s.handle_response(&snapshot, s.attempt, &"b".into(), describe, &answer, now);
            let expected = if goes_on { vec![propose_intent("b")] } else { Vec::new() };
            assert_eq!(actions, expected, "{sync_replicas} {reported:?} {primary:?} {target}");
        }
    }
}

/// Guards against a promotion that rests on an answer from before the poolers confirmed: commits that
/// were passed on since would be missing at the target.
#[test]
fn positions_from_before_all_poolers_confirm_choose_nobody() {
    let (mut snapshot, now) = (snapshot(), Tick(50_000));
    let describe = DatabaseRequest::Describe;
    let mut s = planned(&mut snapshot, now);
    let before = s.attempt;
    // The primary was asked for another reason; it and the target answer before and after.
    let doubt = SuspicionReason::ConnectionsBroken;
    let asked = s.report_suspicion(&snapshot, &"n1".into(), &"a".into(), doubt, now);
    assert_eq!(asked, [ask("a", describe)]);
    for (id, leads) in [("a", true), ("b", false)] {
        let answer = row(leads, 1, at(7));
        assert_eq!(s.handle_response(&snapshot, before, &id.into(), describe, &answer, now), []);
    }
    all_confirm(&mut s, &mut snapshot, true, now);
    let late = row(true, 1, at(7));
    assert_eq!(s.handle_response(&snapshot, before, &"a".into(), describe, &late, now), []);
    assert_eq!(s.tick(&snapshot, now.plus(10)), []);
    // Until it has answered it is asked again.
    assert_eq!(s.tick(&snapshot, now.plus(110)), [ask("b", describe), ask("a", describe)]);
    for (id, leads, number, chosen) in
        [("a", true, 9, false), ("b", false, 8, false), ("b", false, 9, true)]
    {
        let answer = row(leads, 1, at(number));
        let actions =
            s.handle_response(&snapshot, s.attempt, &id.into(), describe, &answer, now.plus(120));
        assert_eq!(!actions.is_empty(), chosen, "{id} {number}");
    }
}

/// Guards against a promotion while a pooler may still pass on a commit that no replica was asked for:
/// with a lease in use, no answer of a replica is the last word.
#[test]
fn a_lost_primary_is_followed_only_once_every_lease_is_over() {
    let now = Tick(50_000);
    // (what poolers passed on if all said it, whether the replicas are asked again, who has what
    // then, who takes over)
    let table = [
        (Some(Some(at(9))), false, [7, 9], Some("c")),
        (Some(Some(at(7))), false, [7, 9], Some("c")),
        // They say more than any replica had when it was asked: one may have received it since.
        (Some(Some(at(10))), true, [7, 9], None),
        (Some(Some(at(10))), true, [10, 9], Some("b")),
        (None, true, [7, 9], Some("c")),
        (None, true, [11, 9], Some("b")),
    ];
    for (reported, again, has, target) in table {
        let mut snapshot = ServiceSnapshot { leases_expired: false, ..snapshot() };
        let (mut s, asked) = lose_primary(&snapshot, now);
        // What is acknowledged under a lease has to reach them, so they are not paused.
        let describe = DatabaseRequest::Describe;
        let revoke = FailoverAction::RevokeLeases(DbTerm(1));
        assert_eq!(asked, [revoke, ask("b", describe), ask("c", describe)]);
        let first = s.attempt;
        let answer = |s: &mut Failover, snapshot: &ServiceSnapshot, attempt, id: &str, n| {
            let request = if attempt == first { describe } else { PAUSE };
            s.handle_response(snapshot, attempt, &id.into(), request, &row(false, 1, at(n)), now)
        };
        for (id, number) in [("b", 7), ("c", 9)] {
            assert_eq!(answer(&mut s, &snapshot, first, id, number), [], "a lease is in use");
        }
        assert_eq!(s.tick(&snapshot, now.plus(350)), [], "a lease is in use");
        snapshot.leases_expired = true;
        snapshot.passed_on = passed_on(reported);
        let mut actions = s.tick(&snapshot, now.plus(360));
        if again {
            assert_eq!(actions, [ask("b", PAUSE), ask("c", PAUSE)], "{reported:?}");
            assert_eq!(answer(&mut s, &snapshot, first, "b", 9), [], "of before");
            assert_eq!(answer(&mut s, &snapshot, first, "c", 9), [], "of before");
            let now = s.attempt;
            actions = answer(&mut s, &snapshot, now, "b", has[0]);
            // Where the poolers can't tell, `c` is to answer too.
            assert!(actions.is_empty() || reported.is_some(), "{actions:?}");
            if actions.is_empty() {
                actions = answer(&mut s, &snapshot, now, "c", has[1]);
            }
        }
        let expected: Vec<_> = target.map(propose_intent).into_iter().collect();
        assert_eq!(actions, expected, "{reported:?} {has:?}");
    }
}

#[test]
fn who_a_planned_change_goes_to() {
    let now = Tick(50_000);
    let (there, ends) = (Lifecycle::Available, Lifecycle::Draining);
    // (state and heartbeat of `b`, of `c`, who takes over)
    let table = [
        ((there, true), (there, true), Some("b")),
        ((ends, true), (there, true), Some("c")),
        ((there, false), (there, true), Some("c")),
        ((ends, true), (there, false), None),
        ((there, false), (ends, true), None),
    ];
    for (b, c, target) in table {
        let mut snapshot = snapshot();
        snapshot.databases[0].1.lifecycle_state = Lifecycle::Draining;
        for (n, (state, heartbeats)) in [(1, b), (2, c)] {
            let (id, instance) = &mut snapshot.databases[n];
            instance.lifecycle_state = state;
            if !heartbeats {
                snapshot.alive.remove(id);
            }
        }
        let mut s = begin_steady(&snapshot, now);
        let actions = s.tick(&snapshot, now);
        let planned = target.map(|target| {
            let other = if target == "b" { "c" } else { "b" };
            [hand_over(&s, target), ask(other, PAUSE)]
        });
        let expected: Vec<_> = planned.into_iter().flatten().collect();
        assert_eq!(actions, expected, "{b:?} {c:?}");
    }
}

#[test]
fn a_planned_change_that_is_called_off_resumes_all_and_backs_off() {
    let (mut snapshot, now) = (snapshot(), Tick(50_000));
    let mut s = planned(&mut snapshot, now);
    // With a pooler that does not confirm the primary serves on.
    for after in [550, 650, 3_000] {
        assert_eq!(s.tick(&snapshot, now.plus(after)), [], "after {after}");
        assert!(!s.revoking && s.handover.is_some(), "after {after}");
    }
    let now = now.plus(3_010);
    assert_eq!(s.tick(&snapshot, now), [ask("c", DatabaseRequest::Continue)]);
    assert!(s.state == FailoverState::Steady && !s.revoking && s.handover.is_none());
    confirm_resumption(&mut s, &snapshot, now);
    s.handle_response(
        &snapshot,
        s.attempt,
        &"c".into(),
        PAUSE,
        &DatabaseResponse::Unavailable,
        now,
    );
    for (after, again) in [(10, false), (1_000, false), (1_010, true)] {
        let actions = s.tick(&snapshot, now.plus(after));
        let expected = if again { vec![hand_over(&s, "b"), ask("c", PAUSE)] } else { Vec::new() };
        assert_eq!(actions, expected, "after {after}");
    }
}

#[test]
fn a_primary_that_is_lost_during_a_planned_change_is_fenced() {
    let now = Tick(50_000);
    // (what the primary says, whether it is given up)
    for (response, lost) in [
        (DatabaseResponse::Unavailable, true),
        (row(false, 1, at(9)), true),
        (row(true, 1, at(9)), false),
        (DatabaseResponse::NoDescription, false),
    ] {
        let mut snapshot = snapshot();
        let mut s = planned(&mut snapshot, now);
        let asked = s.report_suspicion(
            &snapshot,
            &"n1".into(),
            &"a".into(),
            SuspicionReason::ConnectionsBroken,
            now,
        );
        assert_eq!(asked, [ask("a", DatabaseRequest::Describe)]);
        let actions = s.handle_response(
            &snapshot,
            s.attempt,
            &"a".into(),
            DatabaseRequest::Describe,
            &response,
            now,
        );
        let fenced = [FailoverAction::RevokeLeases(DbTerm(1)), ask("b", PAUSE), ask("c", PAUSE)];
        assert_eq!(actions, if lost { &fenced[..] } else { &[] }, "{response:?}");
        assert_eq!(s.revoking, lost, "{response:?}");
    }
}

#[test]
fn only_the_primary_of_the_present_term_answers_a_suspicion() {
    let (snapshot, now) = (snapshot(), Tick(50_000));
    // (whether it says that it leads, in which term, whether that ends the doubt)
    for (leads, term, fine) in
        [(true, 1, true), (false, 1, false), (true, 2, false), (true, 0, false), (false, 2, false)]
    {
        let mut s = begin_steady(&snapshot, now);
        s.report_suspicion(
            &snapshot,
            &"n1".into(),
            &"a".into(),
            SuspicionReason::ConnectionsBroken,
            now,
        );
        let response = row(leads, term, at(9));
        s.handle_response(
            &snapshot,
            s.attempt,
            &"a".into(),
            DatabaseRequest::Describe,
            &response,
            now,
        );
        assert_eq!(s.state == FailoverState::Steady, fine, "{leads} {term}");
        assert_eq!(s.revoking, !fine, "{leads} {term}");
    }
}

#[test]
fn when_a_primary_is_suspected() {
    let now = Tick(50_000);
    let doubt = [ask("a", DatabaseRequest::Describe)];
    // (of whom a pooler reports, ms after the primary proved itself, whether it is doubted)
    for (of, after, doubted) in
        [("a", 299, false), ("a", 300, true), ("b", 300, false), ("x", 300, false)]
    {
        let snapshot = snapshot();
        let mut s = begin_steady(&snapshot, now);
        s.report_suspicion(
            &snapshot,
            &"n1".into(),
            &"a".into(),
            SuspicionReason::ConnectionsBroken,
            now,
        );
        s.handle_response(
            &snapshot,
            s.attempt,
            &"a".into(),
            DatabaseRequest::Describe,
            &row(true, 1, at(9)),
            now,
        );
        let actions = s.report_suspicion(
            &snapshot,
            &"n1".into(),
            &of.into(),
            SuspicionReason::ConnectionsBroken,
            now.plus(after),
        );
        assert_eq!(actions, if doubted { &doubt[..] } else { &[] }, "{of} {after}");
    }
    // (whether it is listed, its heartbeats come, it is about to end, a replica has departed;
    // what is done)
    let fence = [FailoverAction::RevokeLeases(DbTerm(1)), ask("b", PAUSE), ask("c", PAUSE)];
    let handover = Handover { number: (1 << 20) + 1, term: DbTerm(1), target: "b".into() };
    let planned = [FailoverAction::HandOver(handover), ask("c", PAUSE)];
    let table: [(bool, bool, bool, bool, &[FailoverAction]); 7] = [
        (true, true, false, false, &[]),
        (true, false, false, false, &doubt),
        (true, false, false, true, &doubt),
        (true, false, true, true, &planned),
        (true, true, true, true, &planned),
        (true, true, true, false, &planned),
        (false, false, false, false, &fence),
    ];
    for (listed, heartbeats, ends, departed, actions) in table {
        let mut snapshot = snapshot();
        let mut s = begin_steady(&snapshot, now);
        if ends {
            snapshot.databases[0].1.lifecycle_state = Lifecycle::Draining;
        }
        if departed {
            snapshot.departed.insert("d".into(), 9);
        }
        if !listed {
            snapshot.databases.remove(0);
        }
        if !heartbeats {
            snapshot.alive.remove(&"a".into());
        }
        assert_eq!(s.tick(&snapshot, now), actions, "{listed} {heartbeats} {ends} {departed}");
    }
}

#[test]
fn a_slow_primary_is_replaced_at_most_once_in_five_seconds() {
    let (snapshot, now) = (snapshot(), Tick(50_000));
    let mut s = begin_steady(&snapshot, now);
    let mut left = |after: u64| {
        let now = now.plus(after);
        s.report_suspicion(
            &snapshot,
            &"n1".into(),
            &"a".into(),
            SuspicionReason::ConnectionsBroken,
            now,
        );
        let actions = s.handle_response(
            &snapshot,
            s.attempt,
            &"a".into(),
            DatabaseRequest::Describe,
            &DatabaseResponse::NoDescription,
            now.plus(10),
        );
        if !actions.is_empty() {
            let late = now.plus(10 + 700);
            s.handle_response(
                &snapshot,
                s.attempt,
                &"c".into(),
                PAUSE,
                &DatabaseResponse::Unavailable,
                now.plus(20),
            );
            assert_eq!(s.tick(&snapshot, late), [ask("c", DatabaseRequest::Continue)], "given up");
            confirm_resumption(&mut s, &snapshot, late);
        }
        !actions.is_empty()
    };
    let table =
        [(0, false), (1_000, true), (2_500, false), (4_300, false), (5_900, false), (6_300, true)];
    for (after, expected) in table {
        assert_eq!(left(after), expected, "after {after}");
    }
}

#[test]
fn a_promote_is_done_once_the_target_leads_a_newer_term() {
    let now = Tick(50_000);
    // (who answers, whether it says that it leads, in which term, whether that was the promote)
    for (who, leads, term, done) in [
        ("c", true, 2, true),
        ("c", true, 3, true),
        ("c", true, 1, false),
        ("c", false, 2, false),
        ("b", true, 2, false),
    ] {
        let mut snapshot = snapshot();
        let mut s = promoting(&mut snapshot, now);
        snapshot.leases_expired = false;
        let response = row(leads, term, at(9));
        let actions = s.handle_response(
            &snapshot,
            s.attempt,
            &who.into(),
            DatabaseRequest::Describe,
            &response,
            now,
        );
        let down = [ask("a", DatabaseRequest::StepDown(DbTerm(term)))];
        assert_eq!(actions, if done { &down[..] } else { &[] }, "{who} {leads} {term}");
        assert_eq!(
            matches!(s.state, FailoverState::AwaitingLeaseExpiry { .. }),
            done,
            "{who} {leads} {term}"
        );
    }
    // In a planned change leases are granted until the target leads, and none from then on.
    let mut snapshot = snapshot();
    let mut s = planned(&mut snapshot, now);
    snapshot.passed_on = passed_on(Some(Some(at(7))));
    all_confirm(&mut s, &mut snapshot, false, now);
    s.handle_response(
        &snapshot,
        s.attempt,
        &"b".into(),
        DatabaseRequest::Describe,
        &row(false, 1, at(7)),
        now,
    );
    commit_intent(&mut snapshot, "b");
    assert_eq!(s.tick(&snapshot, now), [FailoverAction::Promote("b".into())]);
    assert!(!s.revoking);
    s.handle_response(
        &snapshot,
        s.attempt,
        &"b".into(),
        DatabaseRequest::Describe,
        &row(true, 2, at(7)),
        now,
    );
    assert!(s.revoking, "no lease on the old term is granted any more");
}

#[test]
fn one_call_at_a_time_is_under_way() {
    let (mut snapshot, now) = (snapshot(), Tick(50_000));
    let mut s = promoting(&mut snapshot, now);
    let first = s.attempt;
    for (after, again) in [(400, false), (2_000, false), (3_000, false), (3_010, true)] {
        let posts =
            s.tick(&snapshot, now.plus(after)).contains(&FailoverAction::Promote("c".into()));
        assert_eq!(posts, again, "after {after}");
        assert_eq!(s.attempt > first, again, "after {after}");
    }
    // The intent that was proposed but not seen committed is proposed again.
    let snapshot = self::snapshot();
    let mut s = fencing(&snapshot, now);
    s.handle_response(&snapshot, s.attempt, &"b".into(), PAUSE, &row(false, 1, at(7)), now);
    s.handle_response(&snapshot, s.attempt, &"c".into(), PAUSE, &row(false, 1, at(9)), now);
    let table = [(1_000, false), (1_010, true), (2_000, false), (2_020, true)];
    for (after, again) in table {
        let expected = if again { vec![propose_intent("c")] } else { Vec::new() };
        assert_eq!(s.tick(&snapshot, now.plus(after)), expected, "after {after}");
    }
}

#[test]
fn what_is_sealed_is_the_furthest_that_any_paused_replica_has() {
    let (mut snapshot, now) = (snapshot(), Tick(50_000));
    snapshot.databases[1].1.lifecycle_state = Lifecycle::Draining;
    snapshot.passed_on = passed_on(Some(Some(at(8))));
    let mut s = fencing(&snapshot, now);
    s.handle_response(&snapshot, s.attempt, &"b".into(), PAUSE, &row(false, 1, at(9)), now);
    let actions =
        s.handle_response(&snapshot, s.attempt, &"c".into(), PAUSE, &row(false, 1, at(8)), now);
    assert_eq!((actions, s.sealed), (vec![propose_intent("c")], Some(at(9))));
}

#[test]
fn a_replica_is_never_recorded_as_the_first_primary() {
    let now = Tick(50_000);
    let snapshot = ServiceSnapshot { primary_record: None, ..snapshot() };
    for (response, founds) in [
        (row(true, 4, at(2)), true),
        (row(false, 4, at(2)), false),
        (DatabaseResponse::NoDescription, false),
        (DatabaseResponse::Unavailable, false),
    ] {
        let (mut s, _) = Failover::begin(&snapshot, now);
        s.handle_heartbeat(&snapshot, &"a".into(), Role::Primary, now);
        let actions = s.handle_response(
            &snapshot,
            s.attempt,
            &"a".into(),
            DatabaseRequest::Describe,
            &response,
            now,
        );
        assert_eq!(
            actions,
            if founds { vec![propose_primary("a", 4)] } else { Vec::new() },
            "{response:?}"
        );
    }
}

#[test]
fn the_present_primary_is_asked_neither_to_step_down_nor_to_resume() {
    let (mut snapshot, now) = (snapshot(), Tick(50_000));
    let (mut s, _) = Failover::begin(&snapshot, now);
    assert_eq!(s.handle_heartbeat(&snapshot, &"a".into(), Role::Primary, now), []);
    // `c` did not say that it goes on, and leads since.
    s.handle_response(
        &snapshot,
        s.attempt,
        &"b".into(),
        DatabaseRequest::Continue,
        &row(false, 1, at(7)),
        now,
    );
    snapshot.primary_record =
        Some(PrimaryRecord { term: DbTerm(2), primary: "c".into(), intent: None });
    assert_eq!(s.tick(&snapshot, now.plus(1_100)), []);
    assert_eq!(s.handle_heartbeat(&snapshot, &"c".into(), Role::Primary, now), []);
    let down = [ask("a", DatabaseRequest::StepDown(DbTerm(2)))];
    assert_eq!(s.handle_heartbeat(&snapshot, &"a".into(), Role::Primary, now), down);
}
