//! The failover state machine. Each case is a sequence of events with the actions that must follow.
use silvertack::base::ids::{DbTerm, NodeName, Position, Term};
use silvertack::base::time::Tick;
use silvertack::config::directory::{Instance, Lifecycle, Role};
use silvertack::failover::{
    DatabaseRequest, DatabaseResponse, Failover, FailoverAction, FailoverState, PromotionResponse,
    ServiceSnapshot,
};
use silvertack::leases::acknowledged_commits::{AcknowledgedCommits, UnreportedCommits};
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
/// What poolers reported: nothing yet, or the furthest commit that any of them forwarded.
fn acknowledged_commits(reported: Option<Option<Position>>) -> AcknowledgedCommits {
    reported.map_or_else(AcknowledgedCommits::default, |reported| AcknowledgedCommits {
        reported,
        unreported: UnreportedCommits::Nothing,
    })
}
/// A service with primary `a` in term 1 and replicas `b` and `c`. No lease is in use, and it is not
/// known which commits poolers forwarded.
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
        acknowledged_commits: AcknowledgedCommits::default(),
    }
}
fn description(primary: bool, term: u64, received: Position) -> DatabaseResponse {
    DatabaseResponse::Description(ServerDescription { primary, term: DbTerm(term), received })
}
fn send(id: &str, request: DatabaseRequest) -> FailoverAction {
    FailoverAction::SendRequest(id.into(), request)
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

/// Returns a failover in the steady state: a leader was elected, and the replicas confirmed that
/// they have resumed.
fn begin_steady(snapshot: &ServiceSnapshot, now: Tick) -> Failover {
    let (mut failover, first) = Failover::begin(snapshot, now);
    let replicas = snapshot.databases[1..]
        .iter()
        .map(|(id, _)| FailoverAction::SendRequest(id.clone(), DatabaseRequest::Continue));
    assert_eq!(
        first,
        replicas.collect::<Vec<_>>(),
        "replicas that an earlier leader may have paused are resumed"
    );
    confirm_resumption(&mut failover, snapshot, now);
    failover
}
fn confirm_resumption(failover: &mut Failover, snapshot: &ServiceSnapshot, now: Tick) {
    for (id, _) in &snapshot.databases[1..] {
        failover.handle_response(
            snapshot,
            failover.attempt,
            id,
            DatabaseRequest::Continue,
            &description(false, 1, at(7)),
            now,
        );
    }
}
/// Returns a failover that fences the primary, which refused the connection: both replicas are
/// being paused.
fn begin_fencing(snapshot: &ServiceSnapshot, now: Tick) -> Failover {
    let (failover, actions) = lose_primary(snapshot, now);
    assert_eq!(
        actions,
        [FailoverAction::RevokeLeases(DbTerm(1)), send("b", PAUSE), send("c", PAUSE)]
    );
    failover
}
/// Reports the primary, which then refuses the connection. Returns the failover and its last
/// actions.
fn lose_primary(snapshot: &ServiceSnapshot, now: Tick) -> (Failover, Vec<FailoverAction>) {
    let mut failover = begin_steady(snapshot, now);
    let actions = failover.report_suspicion(
        snapshot,
        &"n1".into(),
        &"a".into(),
        SuspicionReason::ConnectionsBroken,
        now,
    );
    assert_eq!(
        actions,
        [send("a", DatabaseRequest::Describe)],
        "the primary is asked before it is fenced"
    );
    let actions = failover.handle_response(
        snapshot,
        failover.attempt,
        &"a".into(),
        DatabaseRequest::Describe,
        &DatabaseResponse::ConnectionRefused,
        now,
    );
    (failover, actions)
}
/// Returns a failover that has called the platform to promote `c`.
fn begin_promotion(snapshot: &mut ServiceSnapshot, now: Tick) -> Failover {
    let mut failover = begin_fencing(snapshot, now);
    assert!(
        failover
            .handle_response(
                snapshot,
                failover.attempt,
                &"b".into(),
                PAUSE,
                &description(false, 1, at(7)),
                now
            )
            .is_empty()
    );
    assert_eq!(
        failover.handle_response(
            snapshot,
            failover.attempt,
            &"c".into(),
            PAUSE,
            &description(false, 1, at(9)),
            now
        ),
        [propose_intent("c")]
    );
    assert!(failover.tick(snapshot, now).is_empty(), "no promotion before the intent is committed");
    commit_intent(snapshot, "c");
    assert_eq!(failover.tick(snapshot, now), [FailoverAction::Promote("c".into())]);
    failover
}
/// Commits the intent to promote `target`.
fn commit_intent(snapshot: &mut ServiceSnapshot, target: &str) {
    snapshot.primary_record = snapshot
        .primary_record
        .take()
        .map(|record| PrimaryRecord { intent: Some(target.into()), ..record });
}

#[test]
fn the_replica_with_the_highest_position_replaces_a_lost_primary() {
    let (mut snapshot, now) = (snapshot(), Tick(50_000));
    let mut failover = begin_promotion(&mut snapshot, now);
    assert_eq!(failover.sealed, Some(at(9)), "reads are allowed up to the sealed position");
    assert!(
        failover
            .handle_promotion_response(
                &snapshot,
                failover.attempt,
                &"c".into(),
                PromotionResponse::Accepted,
                now
            )
            .is_empty()
    );
    assert_eq!(
        failover.handle_heartbeat(&snapshot, &"c".into(), Role::Primary, now.plus(300)),
        [send("c", DatabaseRequest::Describe)]
    );
    // The new primary is recorded only once no lease is in use, even if none was in use when the
    // target was chosen.
    snapshot.leases_expired = false;
    let actions = failover.handle_response(
        &snapshot,
        failover.attempt,
        &"c".into(),
        DatabaseRequest::Describe,
        &description(true, 2, at(9)),
        now.plus(310),
    );
    assert_eq!(actions, [send("a", DatabaseRequest::StepDown(DbTerm(2)))]);
    assert!(
        failover.tick(&snapshot, now.plus(400)).is_empty(),
        "a lease on the old term may still be in use"
    );
    snapshot.leases_expired = true;
    assert_eq!(failover.tick(&snapshot, now.plus(500)), [propose_primary("c", 2)]);
    assert!(failover.tick(&snapshot, now.plus(510)).is_empty(), "the record was proposed already");
    snapshot.primary_record =
        Some(PrimaryRecord { term: DbTerm(2), primary: "c".into(), intent: None });
    assert_eq!(failover.tick(&snapshot, now.plus(520)), [send("b", DatabaseRequest::Continue)]);
    assert!(
        failover.state == FailoverState::Steady && !failover.revoking && failover.sealed.is_none()
    );
}

#[test]
fn a_primary_that_still_leads_ends_the_suspicion_or_the_fencing() {
    let (mut snapshot, now) = (snapshot(), Tick(50_000));
    for response in [description(true, 1, at(9)), DatabaseResponse::NoDescription] {
        let (mut failover, _) = Failover::begin(&snapshot, now);
        failover.report_suspicion(
            &snapshot,
            &"n1".into(),
            &"a".into(),
            SuspicionReason::NoResponse,
            now,
        );
        assert!(
            failover
                .handle_response(
                    &snapshot,
                    failover.attempt,
                    &"a".into(),
                    DatabaseRequest::Describe,
                    &response,
                    now
                )
                .is_empty()
        );
        assert_eq!(failover.state, FailoverState::Steady);
    }
    // The same holds during fencing, as long as no promotion call was made.
    let mut failover = begin_fencing(&snapshot, now);
    let actions = failover.handle_response(
        &snapshot,
        failover.attempt,
        &"a".into(),
        DatabaseRequest::Describe,
        &description(true, 1, at(9)),
        now,
    );
    assert_eq!(
        actions,
        [send("b", DatabaseRequest::Continue), send("c", DatabaseRequest::Continue)]
    );
    assert!(!failover.revoking);
    // After the promotion call the failover can't be cancelled any more.
    let mut failover = begin_promotion(&mut snapshot, now);
    assert!(
        failover
            .handle_response(
                &snapshot,
                failover.attempt,
                &"a".into(),
                DatabaseRequest::Describe,
                &description(true, 1, at(9)),
                now
            )
            .is_empty()
    );
    assert!(matches!(failover.state, FailoverState::Promoting(_)));
}

#[test]
fn a_replica_that_has_not_confirmed_its_resumption_is_asked_again() {
    let (snapshot, now) = (snapshot(), Tick(50_000));
    let mut failover = begin_fencing(&snapshot, now);
    for id in ["b", "c"] {
        failover.handle_response(
            &snapshot,
            failover.attempt,
            &id.into(),
            PAUSE,
            &DatabaseResponse::NoDescription,
            now,
        );
    }
    failover.handle_response(
        &snapshot,
        failover.attempt,
        &"a".into(),
        DatabaseRequest::Describe,
        &description(true, 1, at(9)),
        now,
    );
    failover.handle_response(
        &snapshot,
        failover.attempt,
        &"b".into(),
        DatabaseRequest::Continue,
        &description(false, 1, at(9)),
        now,
    );
    failover.handle_response(
        &snapshot,
        failover.attempt,
        &"c".into(),
        DatabaseRequest::Continue,
        &DatabaseResponse::TimedOut,
        now,
    );
    assert!(failover.tick(&snapshot, now.plus(500)).is_empty());
    assert_eq!(failover.tick(&snapshot, now.plus(1_100)), [send("c", DatabaseRequest::Continue)]);
    failover.handle_response(
        &snapshot,
        failover.attempt,
        &"c".into(),
        DatabaseRequest::Continue,
        &description(false, 1, at(9)),
        now.plus(1_110),
    );
    assert!(failover.tick(&snapshot, now.plus(2_500)).is_empty());
}

#[test]
fn three_no_response_reports_fence_a_primary_unless_its_machine_accepts_connections() {
    let (snapshot, now) = (snapshot(), Tick(50_000));
    for connected in [false, true] {
        let mut failover = begin_steady(&snapshot, now);
        for (reporter, after, actions) in [("n1", 0, 1), ("n1", 5, 0), ("n2", 10, 0), ("n3", 15, 0)]
        {
            let done = failover.report_suspicion(
                &snapshot,
                &reporter.into(),
                &"a".into(),
                SuspicionReason::NoResponse,
                now.plus(after),
            );
            assert_eq!(done.len(), actions, "{reporter}");
        }
        if connected {
            failover.handle_response(
                &snapshot,
                failover.attempt,
                &"a".into(),
                DatabaseRequest::Describe,
                &DatabaseResponse::Connected,
                now.plus(16),
            );
        }
        let actions = failover.tick(&snapshot, now.plus(40));
        if connected {
            // A primary that is slow but reachable hands over, and serves meanwhile.
            assert_eq!(actions, [announce_handover(&failover, "b"), send("c", PAUSE)]);
            assert!(!failover.revoking);
            let actions = failover.tick(&snapshot, now.plus(700));
            assert_eq!(
                actions,
                [send("c", DatabaseRequest::Continue)],
                "the handover is cancelled after its short time-out"
            );
        } else {
            assert_eq!(
                actions,
                [FailoverAction::RevokeLeases(DbTerm(1)), send("b", PAUSE), send("c", PAUSE)]
            );
        }
    }
}

/// A leader that was not certain of leading dropped the request, so the database never received it.
#[test]
fn a_request_that_was_not_sent_changes_no_state() {
    let (snapshot, now) = (snapshot(), Tick(50_000));
    let not_sent = DatabaseResponse::NotSent;
    let mut suspected = begin_steady(&snapshot, now);
    let reason = SuspicionReason::ConnectionsBroken;
    suspected.report_suspicion(&snapshot, &"n1".into(), &"a".into(), reason, now);
    let fenced = begin_fencing(&snapshot, now);
    // (the failover, the database, the request)
    for (initial, id, request) in [
        (&suspected, "a", DatabaseRequest::Describe),
        (&fenced, "a", DatabaseRequest::Describe),
        (&fenced, "c", PAUSE),
    ] {
        let mut failover = initial.clone();
        let actions = failover.handle_response(
            &snapshot,
            failover.attempt,
            &id.into(),
            request,
            &not_sent,
            now,
        );
        assert_eq!((actions, &failover.state), (vec![], &initial.state), "{id} {request:?}");
    }
    // A pause that was never sent does not delay the confirmation that a replica has resumed.
    let mut failover = fenced.clone();
    failover.handle_response(&snapshot, failover.attempt, &"c".into(), PAUSE, &not_sent, now);
    let leads = description(true, 1, at(9));
    failover.handle_response(
        &snapshot,
        failover.attempt,
        &"a".into(),
        DatabaseRequest::Describe,
        &leads,
        now,
    );
    failover.handle_response(
        &snapshot,
        failover.attempt,
        &"b".into(),
        PAUSE,
        &description(false, 1, at(7)),
        now,
    );
    confirm_resumption(&mut failover, &snapshot, now);
    assert_eq!(
        failover.tick(&snapshot, now.plus(1_100)),
        [],
        "both replicas have confirmed that they resumed"
    );
}

#[test]
fn a_primary_found_slow_twice_is_replaced_once() {
    let (snapshot, now) = (snapshot(), Tick(50_000));
    let (mut failover, _) = Failover::begin(&snapshot, now);
    let position = at(9);
    let mut suspect_and_respond = |at: u64, response_ms: u64| {
        failover.report_suspicion(
            &snapshot,
            &"n1".into(),
            &"a".into(),
            SuspicionReason::NoResponse,
            now.plus(at),
        );
        let response = description(true, 1, position);
        failover
            .handle_response(
                &snapshot,
                failover.attempt,
                &"a".into(),
                DatabaseRequest::Describe,
                &response,
                now.plus(at + response_ms),
            )
            .len()
    };
    // (time of the report in ms, response time in ms, number of actions). The last response is the
    // second slow one in a row: the handover is announced, and the other replica is paused.
    let cases = [(0, 20, 0), (500, 400, 0), (1_500, 20, 0), (4_000, 400, 0), (5_000, 400, 2)];
    for (at, response_ms, actions) in cases {
        assert_eq!(suspect_and_respond(at, response_ms), actions, "at {at}");
    }
}

#[test]
fn a_primary_that_breaks_many_connections_is_replaced() {
    let (snapshot, now) = (snapshot(), Tick(50_000));
    // (number of poolers, reports of each, ms between reports, whether the primary is replaced)
    for (poolers, times, interval_ms, replaced) in
        [(3, 2, 100, true), (2, 4, 100, false), (4, 2, 500, false)]
    {
        let (mut failover, _) = Failover::begin(&snapshot, now);
        let mut at_ms = 0;
        for i in 0..poolers * times {
            let reporter = NodeName(format!("n{}", i % poolers));
            at_ms += interval_ms;
            failover.report_suspicion(
                &snapshot,
                &reporter,
                &"a".into(),
                SuspicionReason::ConnectionsBroken,
                now.plus(at_ms),
            );
        }
        let healthy = description(true, 1, at(9));
        failover.handle_response(
            &snapshot,
            failover.attempt,
            &"a".into(),
            DatabaseRequest::Describe,
            &healthy,
            now.plus(at_ms + 5),
        );
        let suspected = failover.report_suspicion(
            &snapshot,
            &"n0".into(),
            &"a".into(),
            SuspicionReason::ConnectionsBroken,
            now.plus(at_ms + 400),
        );
        let actions = failover.handle_response(
            &snapshot,
            failover.attempt,
            &"a".into(),
            DatabaseRequest::Describe,
            &healthy,
            now.plus(at_ms + 410),
        );
        let handing_over = matches!(&failover.state, FailoverState::HandingOver(_));
        assert_eq!(
            handing_over, replaced,
            "{poolers} {times} {interval_ms}: {suspected:?} {actions:?}"
        );
        assert!(!failover.revoking);
    }
}

#[test]
fn a_primary_is_fenced_after_two_timeouts_or_one_refused_connection() {
    let (snapshot, now) = (snapshot(), Tick(50_000));
    for (response, actions) in [
        (DatabaseResponse::TimedOut, vec![send("a", DatabaseRequest::Describe)]),
        (DatabaseResponse::ConnectionFailed, vec![send("a", DatabaseRequest::Describe)]),
        (DatabaseResponse::ConnectionRefused, Vec::new()),
        (DatabaseResponse::AddressReassigned, Vec::new()),
    ] {
        let (mut failover, _) = Failover::begin(&snapshot, now);
        failover.report_suspicion(
            &snapshot,
            &"n1".into(),
            &"a".into(),
            SuspicionReason::ConnectionsBroken,
            now,
        );
        let done = failover.handle_response(
            &snapshot,
            failover.attempt,
            &"a".into(),
            DatabaseRequest::Describe,
            &response,
            now.plus(300),
        );
        if actions.is_empty() {
            assert!(matches!(failover.state, FailoverState::Fencing(_)));
        } else {
            assert_eq!(done, actions);
            failover.handle_response(
                &snapshot,
                failover.attempt,
                &"a".into(),
                DatabaseRequest::Describe,
                &response,
                now.plus(600),
            );
            assert!(
                matches!(failover.state, FailoverState::Fencing(_)),
                "a second time-out is no lost packet"
            );
        }
    }
}

#[test]
fn with_too_few_responses_a_replica_is_promoted_only_if_poolers_reported_their_commits() {
    let now = Tick(50_000);
    // (reported by the poolers, synchronous replicas, whether `b` may be promoted at position 7
    // without a response of `c`)
    let cases = [
        (None, 1, false),
        (Some(Some(at(8))), 1, false),
        (Some(Some(at(7))), 1, true),
        (Some(None), 1, true),
        (None, 2, true),
        (None, 0, false),
        (Some(Some(at(7))), 0, true),
    ];
    for (reported, sync_replicas, may_promote) in cases {
        let snapshot = ServiceSnapshot { sync_replicas, ..snapshot() };
        let mut failover = begin_fencing(&snapshot, now);
        let mut actions = failover.handle_response(
            &snapshot,
            failover.attempt,
            &"b".into(),
            PAUSE,
            &description(false, 1, at(7)),
            now,
        );
        let snapshot =
            ServiceSnapshot { acknowledged_commits: acknowledged_commits(reported), ..snapshot };
        if actions.is_empty() {
            assert!(failover.tick(&snapshot, now.plus(20)).is_empty(), "`c` may still respond");
            actions = failover.tick(&snapshot, now.plus(320));
        }
        let expected = if may_promote { vec![propose_intent("b")] } else { Vec::new() };
        assert_eq!(actions, expected, "{reported:?}, sync {sync_replicas}");
        if !may_promote {
            let again = failover.tick(&snapshot, now.plus(500));
            assert!(again.contains(&send("c", PAUSE)), "`c` is asked again");
        }
    }
}

#[test]
fn a_draining_replica_is_promoted_only_if_no_other_can_be() {
    let now = Tick(50_000);
    // (position of the available replica, furthest forwarded position, target)
    for (other, reported, target) in [(9, 9, "c"), (8, 8, "c"), (8, 9, "b"), (7, 8, "b")] {
        let mut snapshot = snapshot();
        snapshot.databases[1].1.lifecycle_state = Lifecycle::Draining;
        snapshot.acknowledged_commits = acknowledged_commits(Some(Some(at(reported))));
        let mut failover = begin_fencing(&snapshot, now);
        assert!(
            failover
                .handle_response(
                    &snapshot,
                    failover.attempt,
                    &"b".into(),
                    PAUSE,
                    &description(false, 1, at(9)),
                    now
                )
                .is_empty()
        );
        let mut actions = failover.handle_response(
            &snapshot,
            failover.attempt,
            &"c".into(),
            PAUSE,
            &description(false, 1, at(other)),
            now,
        );
        if actions.is_empty() {
            actions = failover.tick(&snapshot, now.plus(320));
        }
        assert_eq!(actions, [propose_intent(target)], "{other} {reported}");
    }
    // If the target departs, the call is repeated immediately, and its refusal abandons the
    // intent.
    let mut snapshot = snapshot();
    let mut failover = begin_promotion(&mut snapshot, now);
    failover.handle_promotion_response(
        &snapshot,
        failover.attempt,
        &"c".into(),
        PromotionResponse::Accepted,
        now,
    );
    assert!(failover.tick(&snapshot, now.plus(100)).is_empty());
    snapshot.databases.pop();
    assert_eq!(failover.tick(&snapshot, now.plus(110)), [FailoverAction::Promote("c".into())]);
    let actions = failover.handle_promotion_response(
        &snapshot,
        failover.attempt,
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
fn no_target_is_abandoned_while_a_promotion_call_may_take_effect() {
    let (mut snapshot, now) = (snapshot(), Tick(50_000));
    let abandon = FailoverAction::Propose(Command::AbandonFailover {
        service: "s".into(),
        target: "c".into(),
    });
    // (responses to earlier calls, ms until the call is refused, whether the intent is abandoned
    // then)
    let cases: [(&[PromotionResponse], u64, bool); 5] = [
        (&[], 10, true),
        (&[PromotionResponse::NotAttempted], 10, true),
        (&[PromotionResponse::Accepted], 10, false),
        (&[PromotionResponse::Unknown], 10, false),
        (&[PromotionResponse::Unknown], 10_000, true),
    ];
    for (before, later, abandoned) in cases {
        snapshot.primary_record =
            snapshot.primary_record.take().map(|record| PrimaryRecord { intent: None, ..record });
        let mut s = begin_promotion(&mut snapshot, now);
        for response in before {
            assert!(
                s.handle_promotion_response(&snapshot, s.attempt, &"c".into(), *response, now)
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
            if abandoned { std::slice::from_ref(&abandon) } else { &[] },
            "{before:?}"
        );
    }
    // A call with an unknown outcome is repeated with the same target.
    snapshot.primary_record =
        snapshot.primary_record.take().map(|record| PrimaryRecord { intent: None, ..record });
    let mut s = begin_promotion(&mut snapshot, now);
    s.handle_promotion_response(&snapshot, s.attempt, &"c".into(), PromotionResponse::Unknown, now);
    let actions = s.tick(&snapshot, now.plus(400));
    assert!(actions.contains(&FailoverAction::Promote("c".into())), "{actions:?}");
    // Once the intent was abandoned in the log, the primary is fenced again and no call is
    // repeated.
    snapshot.primary_record =
        snapshot.primary_record.take().map(|record| PrimaryRecord { intent: None, ..record });
    let actions = s.tick(&snapshot, now.plus(3_000));
    assert_eq!(
        actions,
        [FailoverAction::RevokeLeases(DbTerm(1)), send("b", PAUSE), send("c", PAUSE)]
    );
}

#[test]
fn a_new_leader_carries_out_a_committed_intent() {
    let now = Tick(50_000);
    let mut snapshot = snapshot();
    snapshot.primary_record =
        Some(PrimaryRecord { term: DbTerm(1), primary: "a".into(), intent: Some("b".into()) });
    let (mut failover, actions) = Failover::begin(&snapshot, now);
    assert_eq!(
        actions,
        [
            FailoverAction::RevokeLeases(DbTerm(1)),
            send("c", PAUSE),
            FailoverAction::Promote("b".into())
        ]
    );
    assert!(failover.revoking, "no lease on the old term is granted meanwhile");
    assert!(
        failover
            .report_suspicion(
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
    let mut failover = begin_steady(&snapshot, now);
    let actions = failover.tick(&snapshot, now);
    assert_eq!(
        actions,
        [announce_handover(&failover, "d"), send("b", PAUSE), send("c", PAUSE)],
        "the replica with the newest revision is not paused"
    );
    assert!(!failover.revoking, "leases are still granted: every further commit is on the target");
    for (id, number) in [("b", 7), ("c", 9)] {
        let response = description(false, 1, at(number));
        let actions = failover.handle_response(
            &snapshot,
            failover.attempt,
            &id.into(),
            PAUSE,
            &response,
            now,
        );
        assert_eq!(actions, [], "{id}");
    }
    snapshot.all_poolers_confirmed = true;
    snapshot.acknowledged_commits = acknowledged_commits(Some(Some(at(9))));
    assert_eq!(failover.tick(&snapshot, now), [send("d", DatabaseRequest::Describe)]);
    assert!(
        failover
            .handle_response(
                &snapshot,
                failover.attempt,
                &"d".into(),
                DatabaseRequest::Describe,
                &description(false, 1, at(8)),
                now
            )
            .is_empty(),
        "the target has not caught up"
    );
    assert_eq!(failover.tick(&snapshot, now.plus(120)), [send("d", DatabaseRequest::Describe)]);
    let actions = failover.handle_response(
        &snapshot,
        failover.attempt,
        &"d".into(),
        DatabaseRequest::Describe,
        &description(false, 1, at(11)),
        now.plus(130),
    );
    assert_eq!(actions, [propose_intent("d")]);
    commit_intent(&mut snapshot, "d");
    failover.tick(&snapshot, now.plus(140));
    snapshot.leases_expired = false;
    let actions = failover.handle_response(
        &snapshot,
        failover.attempt,
        &"d".into(),
        DatabaseRequest::Describe,
        &description(true, 2, at(11)),
        now.plus(500),
    );
    assert_eq!(
        actions,
        [FailoverAction::RevokeLeases(DbTerm(1)), send("a", DatabaseRequest::StepDown(DbTerm(2)))]
    );
    assert_eq!(
        failover.lease_status().handover,
        failover.handover,
        "the handover stays in force until the leases are revoked"
    );
    // If the target never catches up, the paused replicas are resumed.
    snapshot.all_poolers_confirmed = false;
    snapshot.primary_record =
        snapshot.primary_record.take().map(|record| PrimaryRecord { intent: None, ..record });
    let mut failover = begin_steady(&snapshot, now);
    failover.tick(&snapshot, now);
    assert_eq!(
        failover.tick(&snapshot, now.plus(3_100)),
        [send("b", DatabaseRequest::Continue), send("c", DatabaseRequest::Continue)]
    );
}

#[test]
fn the_first_primary_is_recorded_with_the_term_that_it_reports() {
    let now = Tick(50_000);
    let snapshot = ServiceSnapshot { primary_record: None, ..snapshot() };
    let (mut failover, actions) = Failover::begin(&snapshot, now);
    assert!(actions.is_empty());
    assert!(failover.handle_heartbeat(&snapshot, &"b".into(), Role::Replica, now).is_empty());
    assert_eq!(
        failover.handle_heartbeat(&snapshot, &"a".into(), Role::Primary, now),
        [send("a", DatabaseRequest::Describe)]
    );
    assert_eq!(
        failover.handle_response(
            &snapshot,
            failover.attempt,
            &"a".into(),
            DatabaseRequest::Describe,
            &description(true, 4, at(2)),
            now
        ),
        [propose_primary("a", 4)]
    );
}

#[test]
fn a_former_primary_that_returns_is_asked_to_step_down() {
    let (snapshot, now) = (snapshot(), Tick(50_000));
    let (mut failover, _) = Failover::begin(&snapshot, now);
    assert_eq!(
        failover.handle_heartbeat(&snapshot, &"b".into(), Role::Primary, now),
        [send("b", DatabaseRequest::StepDown(DbTerm(1)))]
    );
    assert!(
        failover.handle_heartbeat(&snapshot, &"b".into(), Role::Primary, now.plus(10)).is_empty(),
        "not at every heartbeat"
    );
}

/// Returns a failover in a handover from the draining primary `a` to `b`, with `c` paused.
fn begin_handover(snapshot: &mut ServiceSnapshot, now: Tick) -> Failover {
    snapshot.databases[0].1.lifecycle_state = Lifecycle::Draining;
    let mut failover = begin_steady(snapshot, now);
    assert_eq!(failover.tick(snapshot, now), [announce_handover(&failover, "b"), send("c", PAUSE)]);
    failover
}
/// The announcement of the handover to `target`.
fn announce_handover(failover: &Failover, target: &str) -> FailoverAction {
    let (number, target) = (failover.attempt.fencing_token(), target.into());
    FailoverAction::HandOver(Handover { number, term: DbTerm(1), target })
}
/// Has all poolers acknowledge the handover. Then `b` is asked for its position, and the primary
/// too if that is needed to know which commits were forwarded before.
fn confirm_handover(
    failover: &mut Failover,
    snapshot: &mut ServiceSnapshot,
    primary: bool,
    now: Tick,
) {
    assert_eq!(failover.tick(snapshot, now), [], "not before all poolers have acknowledged");
    snapshot.all_poolers_confirmed = true;
    let asked: &[&str] = if primary { &["b", "a"] } else { &["b"] };
    let asked: Vec<_> = asked.iter().map(|id| send(id, DatabaseRequest::Describe)).collect();
    assert_eq!(failover.tick(snapshot, now), asked);
}

#[test]
fn a_handover_proceeds_only_if_the_target_has_every_commit() {
    let now = Tick(50_000);
    // (synchronous replicas, what poolers forwarded if all reported it, position of the primary if
    // it responded since, position of the target, whether the target is promoted). Whether `c` is
    // paused makes no difference.
    let cases = [
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
    for (sync_replicas, reported, primary, target, proceeds) in cases {
        for paused in [None, Some(7), Some(9)] {
            let mut snapshot = ServiceSnapshot { sync_replicas, ..snapshot() };
            snapshot.acknowledged_commits = acknowledged_commits(reported);
            let mut failover = begin_handover(&mut snapshot, now);
            if let Some(number) = paused {
                let response = description(false, 1, at(number));
                let actions = failover.handle_response(
                    &snapshot,
                    failover.attempt,
                    &"c".into(),
                    PAUSE,
                    &response,
                    now,
                );
                assert_eq!(actions, []);
            }
            confirm_handover(&mut failover, &mut snapshot, reported.is_none(), now);
            let describe = DatabaseRequest::Describe;
            let mut actions = Vec::new();
            if let Some(number) = primary {
                let response = description(true, 1, at(number));
                actions = failover.handle_response(
                    &snapshot,
                    failover.attempt,
                    &"a".into(),
                    describe,
                    &response,
                    now,
                );
            }
            assert_eq!(actions, [], "the target has not responded");
            let response = description(false, 1, at(target));
            let actions = failover.handle_response(
                &snapshot,
                failover.attempt,
                &"b".into(),
                describe,
                &response,
                now,
            );
            let expected = if proceeds { vec![propose_intent("b")] } else { Vec::new() };
            assert_eq!(actions, expected, "{sync_replicas} {reported:?} {primary:?} {target}");
        }
    }
}

/// Guards against a promotion that relies on a position from before the poolers acknowledged the
/// handover: the target would lack commits that were forwarded since.
#[test]
fn positions_from_before_all_poolers_acknowledged_are_ignored() {
    let (mut snapshot, now) = (snapshot(), Tick(50_000));
    let describe = DatabaseRequest::Describe;
    let mut failover = begin_handover(&mut snapshot, now);
    let before = failover.attempt;
    // The primary is asked because of a report. It and the target respond before the poolers have
    // acknowledged the handover, and the primary once more after that.
    let reason = SuspicionReason::ConnectionsBroken;
    let asked = failover.report_suspicion(&snapshot, &"n1".into(), &"a".into(), reason, now);
    assert_eq!(asked, [send("a", describe)]);
    for (id, leads) in [("a", true), ("b", false)] {
        let response = description(leads, 1, at(7));
        assert_eq!(
            failover.handle_response(&snapshot, before, &id.into(), describe, &response, now),
            []
        );
    }
    confirm_handover(&mut failover, &mut snapshot, true, now);
    let late = description(true, 1, at(7));
    assert_eq!(failover.handle_response(&snapshot, before, &"a".into(), describe, &late, now), []);
    assert_eq!(failover.tick(&snapshot, now.plus(10)), []);
    // The primary is asked again until it has responded.
    assert_eq!(failover.tick(&snapshot, now.plus(110)), [send("b", describe), send("a", describe)]);
    for (id, leads, number, chosen) in
        [("a", true, 9, false), ("b", false, 8, false), ("b", false, 9, true)]
    {
        let response = description(leads, 1, at(number));
        let actions = failover.handle_response(
            &snapshot,
            failover.attempt,
            &id.into(),
            describe,
            &response,
            now.plus(120),
        );
        assert_eq!(!actions.is_empty(), chosen, "{id} {number}");
    }
}

/// Guards against a promotion while a lease is in use: a pooler could forward a commit that
/// replicas received only after they had reported their positions.
#[test]
fn a_lost_primary_is_replaced_only_after_every_lease_expired() {
    let now = Tick(50_000);
    // (what poolers forwarded if all reported it, whether the replicas are asked again, the
    // positions of `b` and `c` then, the target)
    let cases = [
        (Some(Some(at(9))), false, [7, 9], Some("c")),
        (Some(Some(at(7))), false, [7, 9], Some("c")),
        // The poolers forwarded more than any replica had when it was asked: one may have received
        // it since.
        (Some(Some(at(10))), true, [7, 9], None),
        (Some(Some(at(10))), true, [10, 9], Some("b")),
        (None, true, [7, 9], Some("c")),
        (None, true, [11, 9], Some("b")),
    ];
    for (reported, again, positions, target) in cases {
        let mut snapshot = ServiceSnapshot { leases_expired: false, ..snapshot() };
        let (mut failover, asked) = lose_primary(&snapshot, now);
        // Commits that are acknowledged under a lease have to reach the replicas, so they are not
        // paused.
        let describe = DatabaseRequest::Describe;
        let revoke = FailoverAction::RevokeLeases(DbTerm(1));
        assert_eq!(asked, [revoke, send("b", describe), send("c", describe)]);
        let first = failover.attempt;
        let reply = |failover: &mut Failover, snapshot: &ServiceSnapshot, attempt, id: &str, n| {
            let request = if attempt == first { describe } else { PAUSE };
            failover.handle_response(
                snapshot,
                attempt,
                &id.into(),
                request,
                &description(false, 1, at(n)),
                now,
            )
        };
        for (id, number) in [("b", 7), ("c", 9)] {
            assert_eq!(reply(&mut failover, &snapshot, first, id, number), [], "a lease is in use");
        }
        assert_eq!(failover.tick(&snapshot, now.plus(350)), [], "a lease is in use");
        snapshot.leases_expired = true;
        snapshot.acknowledged_commits = acknowledged_commits(reported);
        let mut actions = failover.tick(&snapshot, now.plus(360));
        if again {
            assert_eq!(actions, [send("b", PAUSE), send("c", PAUSE)], "{reported:?}");
            assert_eq!(
                reply(&mut failover, &snapshot, first, "b", 9),
                [],
                "a response to the first attempt"
            );
            assert_eq!(
                reply(&mut failover, &snapshot, first, "c", 9),
                [],
                "a response to the first attempt"
            );
            let now = failover.attempt;
            actions = reply(&mut failover, &snapshot, now, "b", positions[0]);
            // Without complete reports of the poolers a response of `c` is needed too.
            assert!(actions.is_empty() || reported.is_some(), "{actions:?}");
            if actions.is_empty() {
                actions = reply(&mut failover, &snapshot, now, "c", positions[1]);
            }
        }
        let expected: Vec<_> = target.map(propose_intent).into_iter().collect();
        assert_eq!(actions, expected, "{reported:?} {positions:?}");
    }
}

#[test]
fn the_target_of_a_handover_is_available_and_alive() {
    let now = Tick(50_000);
    let (available, draining) = (Lifecycle::Available, Lifecycle::Draining);
    // (state and liveness of `b`, of `c`, the target)
    let cases = [
        ((available, true), (available, true), Some("b")),
        ((draining, true), (available, true), Some("c")),
        ((available, false), (available, true), Some("c")),
        ((draining, true), (available, false), None),
        ((available, false), (draining, true), None),
    ];
    for (b, c, target) in cases {
        let mut snapshot = snapshot();
        snapshot.databases[0].1.lifecycle_state = Lifecycle::Draining;
        for (n, (state, alive)) in [(1, b), (2, c)] {
            let (id, instance) = &mut snapshot.databases[n];
            instance.lifecycle_state = state;
            if !alive {
                snapshot.alive.remove(id);
            }
        }
        let mut failover = begin_steady(&snapshot, now);
        let actions = failover.tick(&snapshot, now);
        let handover = target.map(|target| {
            let other = if target == "b" { "c" } else { "b" };
            [announce_handover(&failover, target), send(other, PAUSE)]
        });
        let expected: Vec<_> = handover.into_iter().flatten().collect();
        assert_eq!(actions, expected, "{b:?} {c:?}");
    }
}

#[test]
fn a_cancelled_handover_resumes_all_replicas_and_backs_off() {
    let (mut snapshot, now) = (snapshot(), Tick(50_000));
    let mut failover = begin_handover(&mut snapshot, now);
    // While a pooler has not acknowledged the handover, the primary continues to serve.
    for after in [550, 650, 3_000] {
        assert_eq!(failover.tick(&snapshot, now.plus(after)), [], "after {after}");
        assert!(!failover.revoking && failover.handover.is_some(), "after {after}");
    }
    let now = now.plus(3_010);
    assert_eq!(failover.tick(&snapshot, now), [send("c", DatabaseRequest::Continue)]);
    assert!(
        failover.state == FailoverState::Steady
            && !failover.revoking
            && failover.handover.is_none()
    );
    confirm_resumption(&mut failover, &snapshot, now);
    failover.handle_response(
        &snapshot,
        failover.attempt,
        &"c".into(),
        PAUSE,
        &DatabaseResponse::ConnectionRefused,
        now,
    );
    for (after, again) in [(10, false), (1_000, false), (1_010, true)] {
        let actions = failover.tick(&snapshot, now.plus(after));
        let expected = if again {
            vec![announce_handover(&failover, "b"), send("c", PAUSE)]
        } else {
            Vec::new()
        };
        assert_eq!(actions, expected, "after {after}");
    }
}

#[test]
fn a_primary_that_is_lost_during_a_handover_is_fenced() {
    let now = Tick(50_000);
    // (response of the primary, whether it is fenced)
    for (response, lost) in [
        (DatabaseResponse::ConnectionRefused, true),
        (description(false, 1, at(9)), true),
        (description(true, 1, at(9)), false),
        (DatabaseResponse::NoDescription, false),
    ] {
        let mut snapshot = snapshot();
        let mut failover = begin_handover(&mut snapshot, now);
        let asked = failover.report_suspicion(
            &snapshot,
            &"n1".into(),
            &"a".into(),
            SuspicionReason::ConnectionsBroken,
            now,
        );
        assert_eq!(asked, [send("a", DatabaseRequest::Describe)]);
        let actions = failover.handle_response(
            &snapshot,
            failover.attempt,
            &"a".into(),
            DatabaseRequest::Describe,
            &response,
            now,
        );
        let fenced = [FailoverAction::RevokeLeases(DbTerm(1)), send("b", PAUSE), send("c", PAUSE)];
        assert_eq!(actions, if lost { &fenced[..] } else { &[] }, "{response:?}");
        assert_eq!(failover.revoking, lost, "{response:?}");
    }
}

#[test]
fn only_the_primary_of_the_current_term_clears_a_suspicion() {
    let (snapshot, now) = (snapshot(), Tick(50_000));
    // (whether it reports to be the primary, its term, whether that clears the suspicion)
    for (leads, term, healthy) in
        [(true, 1, true), (false, 1, false), (true, 2, false), (true, 0, false), (false, 2, false)]
    {
        let mut failover = begin_steady(&snapshot, now);
        failover.report_suspicion(
            &snapshot,
            &"n1".into(),
            &"a".into(),
            SuspicionReason::ConnectionsBroken,
            now,
        );
        let response = description(leads, term, at(9));
        failover.handle_response(
            &snapshot,
            failover.attempt,
            &"a".into(),
            DatabaseRequest::Describe,
            &response,
            now,
        );
        assert_eq!(failover.state == FailoverState::Steady, healthy, "{leads} {term}");
        assert_eq!(failover.revoking, !healthy, "{leads} {term}");
    }
}

#[test]
fn conditions_under_which_a_primary_is_suspected_or_replaced() {
    let now = Tick(50_000);
    let describe = [send("a", DatabaseRequest::Describe)];
    // (the reported database, ms after the primary described itself, whether it is suspected)
    for (reported, after, suspected) in
        [("a", 299, false), ("a", 300, true), ("b", 300, false), ("x", 300, false)]
    {
        let snapshot = snapshot();
        let mut failover = begin_steady(&snapshot, now);
        failover.report_suspicion(
            &snapshot,
            &"n1".into(),
            &"a".into(),
            SuspicionReason::ConnectionsBroken,
            now,
        );
        failover.handle_response(
            &snapshot,
            failover.attempt,
            &"a".into(),
            DatabaseRequest::Describe,
            &description(true, 1, at(9)),
            now,
        );
        let actions = failover.report_suspicion(
            &snapshot,
            &"n1".into(),
            &reported.into(),
            SuspicionReason::ConnectionsBroken,
            now.plus(after),
        );
        assert_eq!(actions, if suspected { &describe[..] } else { &[] }, "{reported} {after}");
    }
    // (whether the primary is registered, alive and draining, whether a replica has departed, the
    // expected actions)
    let fence = [FailoverAction::RevokeLeases(DbTerm(1)), send("b", PAUSE), send("c", PAUSE)];
    let handover = Handover { number: (1 << 20) + 1, term: DbTerm(1), target: "b".into() };
    let hand_over = [FailoverAction::HandOver(handover), send("c", PAUSE)];
    let cases: [(bool, bool, bool, bool, &[FailoverAction]); 7] = [
        (true, true, false, false, &[]),
        (true, false, false, false, &describe),
        (true, false, false, true, &describe),
        (true, false, true, true, &hand_over),
        (true, true, true, true, &hand_over),
        (true, true, true, false, &hand_over),
        (false, false, false, false, &fence),
    ];
    for (known, alive, drains, departed, actions) in cases {
        let mut snapshot = snapshot();
        let mut failover = begin_steady(&snapshot, now);
        if drains {
            snapshot.databases[0].1.lifecycle_state = Lifecycle::Draining;
        }
        if departed {
            snapshot.departed.insert("d".into(), 9);
        }
        if !known {
            snapshot.databases.remove(0);
        }
        if !alive {
            snapshot.alive.remove(&"a".into());
        }
        assert_eq!(failover.tick(&snapshot, now), actions, "{known} {alive} {drains} {departed}");
    }
}

#[test]
fn a_slow_primary_is_replaced_at_most_once_in_five_seconds() {
    let (snapshot, now) = (snapshot(), Tick(50_000));
    let mut failover = begin_steady(&snapshot, now);
    let mut replaced = |after: u64| {
        let now = now.plus(after);
        failover.report_suspicion(
            &snapshot,
            &"n1".into(),
            &"a".into(),
            SuspicionReason::ConnectionsBroken,
            now,
        );
        let actions = failover.handle_response(
            &snapshot,
            failover.attempt,
            &"a".into(),
            DatabaseRequest::Describe,
            &DatabaseResponse::NoDescription,
            now.plus(10),
        );
        if !actions.is_empty() {
            let late = now.plus(10 + 700);
            failover.handle_response(
                &snapshot,
                failover.attempt,
                &"c".into(),
                PAUSE,
                &DatabaseResponse::ConnectionRefused,
                now.plus(20),
            );
            assert_eq!(
                failover.tick(&snapshot, late),
                [send("c", DatabaseRequest::Continue)],
                "the handover is cancelled"
            );
            confirm_resumption(&mut failover, &snapshot, late);
        }
        !actions.is_empty()
    };
    let cases =
        [(0, false), (1_000, true), (2_500, false), (4_300, false), (5_900, false), (6_300, true)];
    for (after, expected) in cases {
        assert_eq!(replaced(after), expected, "after {after}");
    }
}

#[test]
fn a_promotion_is_complete_once_the_target_leads_a_newer_term() {
    let now = Tick(50_000);
    // (the database, whether it reports to be the primary, its term, whether the promotion is
    // complete)
    for (database, leads, term, done) in [
        ("c", true, 2, true),
        ("c", true, 3, true),
        ("c", true, 1, false),
        ("c", false, 2, false),
        ("b", true, 2, false),
    ] {
        let mut snapshot = snapshot();
        let mut failover = begin_promotion(&mut snapshot, now);
        snapshot.leases_expired = false;
        let response = description(leads, term, at(9));
        let actions = failover.handle_response(
            &snapshot,
            failover.attempt,
            &database.into(),
            DatabaseRequest::Describe,
            &response,
            now,
        );
        let step_down = [send("a", DatabaseRequest::StepDown(DbTerm(term)))];
        assert_eq!(actions, if done { &step_down[..] } else { &[] }, "{database} {leads} {term}");
        assert_eq!(
            matches!(failover.state, FailoverState::AwaitingLeaseExpiry { .. }),
            done,
            "{database} {leads} {term}"
        );
    }
    // During a handover leases are granted until the target leads, and none from then on.
    let mut snapshot = snapshot();
    let mut failover = begin_handover(&mut snapshot, now);
    snapshot.acknowledged_commits = acknowledged_commits(Some(Some(at(7))));
    confirm_handover(&mut failover, &mut snapshot, false, now);
    failover.handle_response(
        &snapshot,
        failover.attempt,
        &"b".into(),
        DatabaseRequest::Describe,
        &description(false, 1, at(7)),
        now,
    );
    commit_intent(&mut snapshot, "b");
    assert_eq!(failover.tick(&snapshot, now), [FailoverAction::Promote("b".into())]);
    assert!(!failover.revoking);
    failover.handle_response(
        &snapshot,
        failover.attempt,
        &"b".into(),
        DatabaseRequest::Describe,
        &description(true, 2, at(7)),
        now,
    );
    assert!(failover.revoking, "no lease on the old term is granted any more");
}

#[test]
fn only_one_promotion_call_is_in_flight() {
    let (mut snapshot, now) = (snapshot(), Tick(50_000));
    let mut failover = begin_promotion(&mut snapshot, now);
    let first = failover.attempt;
    for (after, again) in [(400, false), (2_000, false), (3_000, false), (3_010, true)] {
        let repeated = failover
            .tick(&snapshot, now.plus(after))
            .contains(&FailoverAction::Promote("c".into()));
        assert_eq!(repeated, again, "after {after}");
        assert_eq!(failover.attempt > first, again, "after {after}");
    }
    // The intent that was proposed but not seen committed is proposed again.
    let snapshot = self::snapshot();
    let mut failover = begin_fencing(&snapshot, now);
    failover.handle_response(
        &snapshot,
        failover.attempt,
        &"b".into(),
        PAUSE,
        &description(false, 1, at(7)),
        now,
    );
    failover.handle_response(
        &snapshot,
        failover.attempt,
        &"c".into(),
        PAUSE,
        &description(false, 1, at(9)),
        now,
    );
    let cases = [(1_000, false), (1_010, true), (2_000, false), (2_020, true)];
    for (after, again) in cases {
        let expected = if again { vec![propose_intent("c")] } else { Vec::new() };
        assert_eq!(failover.tick(&snapshot, now.plus(after)), expected, "after {after}");
    }
}

#[test]
fn the_sealed_position_is_the_highest_of_all_paused_replicas() {
    let (mut snapshot, now) = (snapshot(), Tick(50_000));
    snapshot.databases[1].1.lifecycle_state = Lifecycle::Draining;
    snapshot.acknowledged_commits = acknowledged_commits(Some(Some(at(8))));
    let mut failover = begin_fencing(&snapshot, now);
    failover.handle_response(
        &snapshot,
        failover.attempt,
        &"b".into(),
        PAUSE,
        &description(false, 1, at(9)),
        now,
    );
    let actions = failover.handle_response(
        &snapshot,
        failover.attempt,
        &"c".into(),
        PAUSE,
        &description(false, 1, at(8)),
        now,
    );
    assert_eq!((actions, failover.sealed), (vec![propose_intent("c")], Some(at(9))));
}

#[test]
fn a_replica_is_never_recorded_as_the_first_primary() {
    let now = Tick(50_000);
    let snapshot = ServiceSnapshot { primary_record: None, ..snapshot() };
    for (response, recorded) in [
        (description(true, 4, at(2)), true),
        (description(false, 4, at(2)), false),
        (DatabaseResponse::NoDescription, false),
        (DatabaseResponse::ConnectionRefused, false),
    ] {
        let (mut failover, _) = Failover::begin(&snapshot, now);
        failover.handle_heartbeat(&snapshot, &"a".into(), Role::Primary, now);
        let actions = failover.handle_response(
            &snapshot,
            failover.attempt,
            &"a".into(),
            DatabaseRequest::Describe,
            &response,
            now,
        );
        assert_eq!(
            actions,
            if recorded { vec![propose_primary("a", 4)] } else { Vec::new() },
            "{response:?}"
        );
    }
}

#[test]
fn the_current_primary_is_asked_neither_to_step_down_nor_to_resume() {
    let (mut snapshot, now) = (snapshot(), Tick(50_000));
    let (mut failover, _) = Failover::begin(&snapshot, now);
    assert_eq!(failover.handle_heartbeat(&snapshot, &"a".into(), Role::Primary, now), []);
    // `c` became the primary before it confirmed that it had resumed.
    failover.handle_response(
        &snapshot,
        failover.attempt,
        &"b".into(),
        DatabaseRequest::Continue,
        &description(false, 1, at(7)),
        now,
    );
    snapshot.primary_record =
        Some(PrimaryRecord { term: DbTerm(2), primary: "c".into(), intent: None });
    assert_eq!(failover.tick(&snapshot, now.plus(1_100)), []);
    assert_eq!(failover.handle_heartbeat(&snapshot, &"c".into(), Role::Primary, now), []);
    let step_down = [send("a", DatabaseRequest::StepDown(DbTerm(2)))];
    assert_eq!(failover.handle_heartbeat(&snapshot, &"a".into(), Role::Primary, now), step_down);
}
