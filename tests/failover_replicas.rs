//! Failovers with several faults: which responses are accepted, and which replicas may hold the
//! only copy of a commit.
use silvertack::base::ids::{DbTerm, InstanceId, Position, ServiceName, Term};
use silvertack::base::time::Tick;
use silvertack::config::directory::{Instance, Lifecycle, Role};
use silvertack::failover::{
    Attempt, DatabaseRequest, DatabaseResponse, Failover, FailoverAction, FailoverState,
    LeaseStatus, PromotionResponse, ServiceSnapshot,
};
use silvertack::leases::acknowledged_commits::{AcknowledgedCommits, UnreportedCommits};
use silvertack::leases::lease_table::LEASE_MS;
use silvertack::net::rpc::pack;
use silvertack::net::rpc::pooler_messages::{Handover, SuspicionReason};
use silvertack::net::statement_protocol::ServerDescription;
use silvertack::state_machine::{Command, CommandOutcome, PrimaryRecord, StateMachine};
use std::collections::{BTreeMap, BTreeSet};

fn at(number: u64) -> Position {
    Position { term: DbTerm(1), number }
}
fn database(role: Role) -> Instance {
    Instance {
        target_service: "s".into(),
        address: "10.0.0.9:80".parse().expect("address"),
        zone: "z".into(),
        revision: "v1".into(),
        capacity: 7,
        lifecycle_state: Lifecycle::Available,
        database_role: role,
    }
}
/// A service with primary `a` in term 1 and replicas `b` and `c`. No lease is in use, and it is not
/// known which commits poolers forwarded.
fn snapshot() -> ServiceSnapshot {
    ServiceSnapshot {
        service: "s".into(),
        raft_term: Term(3),
        primary_record: Some(PrimaryRecord { term: DbTerm(1), primary: "a".into(), intent: None }),
        databases: vec![
            ("a".into(), database(Role::Primary)),
            ("b".into(), database(Role::Replica)),
            ("c".into(), database(Role::Replica)),
        ],
        alive: BTreeSet::from(["a".into(), "b".into(), "c".into()]),
        departed: BTreeMap::new(),
        sync_replicas: 1,
        leases_expired: true,
        all_poolers_confirmed: false,
        acknowledged_commits: AcknowledgedCommits::default(),
    }
}
fn description(primary: bool, received: Position) -> DatabaseResponse {
    DatabaseResponse::Description(ServerDescription { primary, term: DbTerm(1), received })
}
fn send(id: &str, request: DatabaseRequest) -> FailoverAction {
    FailoverAction::SendRequest(id.into(), request)
}
const PAUSE: DatabaseRequest = DatabaseRequest::Pause(DbTerm(2));

/// The last time in ms after a departure at which a pooler may count the departed replica: a lease
/// of 1,800 ms, 50 ms for the difference of clocks, and 650 ms in which the update may be unsent.
const LAST_COUNTED_MS: u64 = 2_499;

/// Reports the primary, which then refuses the connection. Returns the requests to the replicas.
fn report_lost(
    failover: &mut Failover,
    snapshot: &ServiceSnapshot,
    now: Tick,
) -> Vec<FailoverAction> {
    failover.report_suspicion(
        snapshot,
        &"n1".into(),
        &"a".into(),
        SuspicionReason::ConnectionsBroken,
        now,
    );
    let actions = failover.handle_response(
        snapshot,
        failover.attempt,
        &"a".into(),
        DatabaseRequest::Describe,
        &DatabaseResponse::ConnectionRefused,
        now,
    );
    assert_eq!(actions[0], FailoverAction::RevokeLeases(DbTerm(1)));
    actions[1..].to_vec()
}
fn respond(
    failover: &mut Failover,
    snapshot: &ServiceSnapshot,
    id: &str,
    request: DatabaseRequest,
    number: u64,
    now: Tick,
) -> Vec<FailoverAction> {
    failover.handle_response(
        snapshot,
        failover.attempt,
        &id.into(),
        request,
        &description(false, at(number)),
        now,
    )
}
fn begin_steady(snapshot: &ServiceSnapshot, now: Tick) -> Failover {
    let (mut failover, _) = Failover::begin(snapshot, now);
    for id in ["b", "c"] {
        respond(&mut failover, snapshot, id, DatabaseRequest::Continue, 7, now);
    }
    failover
}

#[test]
fn a_response_to_a_pause_of_an_earlier_attempt_is_ignored() {
    let (snapshot, now) = (snapshot(), Tick(50_000));
    let mut failover = begin_steady(&snapshot, now);
    report_lost(&mut failover, &snapshot, now);
    let first = failover.attempt;
    respond(&mut failover, &snapshot, "b", PAUSE, 7, now);
    // The primary still leads: both replicas resume, and receive commits from here on.
    failover.handle_response(
        &snapshot,
        first,
        &"a".into(),
        DatabaseRequest::Describe,
        &description(true, at(7)),
        now,
    );
    assert_eq!(failover.state, FailoverState::Steady);
    let later = now.plus(2_000);
    for id in ["b", "c"] {
        failover.handle_response(
            &snapshot,
            first,
            &id.into(),
            DatabaseRequest::Continue,
            &description(false, at(7)),
            later,
        );
    }
    assert_eq!(report_lost(&mut failover, &snapshot, later), [send("b", PAUSE), send("c", PAUSE)]);
    respond(&mut failover, &snapshot, "b", PAUSE, 9, later);
    // The response of `c` to the first attempt arrives late; `c` may have received more since.
    let late = failover.handle_response(
        &snapshot,
        first,
        &"c".into(),
        PAUSE,
        &description(false, at(7)),
        later,
    );
    assert_eq!(late, [], "a response to a cancelled attempt");
    let chosen = respond(&mut failover, &snapshot, "c", PAUSE, 11, later);
    let target = InstanceId::from("c");
    assert_eq!(
        chosen,
        [FailoverAction::Propose(Command::BeginFailover {
            service: "s".into(),
            term: DbTerm(1),
            target
        })]
    );
}

#[test]
fn pauses_and_resumptions_of_a_replica_do_not_overtake_each_other() {
    let (snapshot, now) = (snapshot(), Tick(50_000));
    let (mut failover, _) = Failover::begin(&snapshot, now);
    respond(&mut failover, &snapshot, "b", DatabaseRequest::Continue, 7, now);
    // A request to resume may still be in flight to `c` and would undo a pause that is sent now.
    assert_eq!(report_lost(&mut failover, &snapshot, now.plus(10)), [send("b", PAUSE)]);
    assert!(!failover.tick(&snapshot, now.plus(500)).contains(&send("c", PAUSE)));
    for (response, after, asked) in [
        (Some(description(false, at(7))), 600, vec![send("c", PAUSE)]),
        (Some(DatabaseResponse::ConnectionRefused), 600, vec![send("c", PAUSE)]),
        (Some(DatabaseResponse::TimedOut), 600, vec![]),
        // The request may have arrived before the connection broke.
        (Some(DatabaseResponse::ConnectionFailed), 600, vec![]),
        (None, 3_100, vec![send("b", PAUSE), send("c", PAUSE)]),
    ] {
        let (mut failover, now) = (failover.clone(), now.plus(after));
        let mut actions = match &response {
            Some(response) => failover.handle_response(
                &snapshot,
                failover.attempt,
                &"c".into(),
                DatabaseRequest::Continue,
                response,
                now,
            ),
            None => failover.tick(&snapshot, now),
        };
        actions.retain(|action| {
            matches!(action, FailoverAction::SendRequest(_, DatabaseRequest::Pause(_)))
        });
        assert_eq!(actions, asked, "{response:?}");
    }
    // Conversely, `c` does not count as resumed while its pause may still arrive.
    respond(&mut failover, &snapshot, "c", DatabaseRequest::Continue, 7, now.plus(600));
    failover.handle_response(
        &snapshot,
        failover.attempt,
        &"a".into(),
        DatabaseRequest::Describe,
        &description(true, at(7)),
        now.plus(610),
    );
    respond(&mut failover, &snapshot, "c", DatabaseRequest::Continue, 7, now.plus(620));
    assert!(
        failover.tick(&snapshot, now.plus(1_700)).contains(&send("c", DatabaseRequest::Continue))
    );
    respond(&mut failover, &snapshot, "c", PAUSE, 7, now.plus(1_710));
    respond(&mut failover, &snapshot, "c", DatabaseRequest::Continue, 7, now.plus(1_720));
    assert!(
        !failover.tick(&snapshot, now.plus(2_800)).contains(&send("c", DatabaseRequest::Continue))
    );
}

#[test]
fn each_promotion_call_has_its_own_response_and_fencing_token() {
    let (mut snapshot, now) = (snapshot(), Tick(50_000));
    let mut failover = begin_steady(&snapshot, now);
    report_lost(&mut failover, &snapshot, now);
    respond(&mut failover, &snapshot, "b", PAUSE, 7, now);
    respond(&mut failover, &snapshot, "c", PAUSE, 9, now);
    let record_intent = |snapshot: &mut ServiceSnapshot, target: Option<&str>| {
        let intent = target.map(InstanceId::from);
        snapshot.primary_record =
            Some(PrimaryRecord { term: DbTerm(1), primary: "a".into(), intent });
    };
    record_intent(&mut snapshot, Some("c"));
    assert_eq!(failover.tick(&snapshot, now), [FailoverAction::Promote("c".into())]);
    let first = failover.attempt;
    // The call got no response, so it may have taken effect; it is repeated.
    let again = now.plus(3_100);
    assert!(failover.tick(&snapshot, again).contains(&FailoverAction::Promote("c".into())));
    assert!(failover.attempt.fencing_token() > first.fencing_token());
    // The refusal of the first call arrives late. The second call is in flight, and its refusal
    // does not abandon the intent while the first may still take effect.
    for (attempt, after) in [(first, 10), (failover.attempt, 20), (first, 5_000)] {
        let actions = failover.handle_promotion_response(
            &snapshot,
            attempt,
            &"c".into(),
            PromotionResponse::NotRunning,
            again.plus(after),
        );
        assert_eq!(actions, [], "{attempt:?}");
    }
    let actions = failover.handle_promotion_response(
        &snapshot,
        failover.attempt,
        &"c".into(),
        PromotionResponse::NotRunning,
        again.plus(5_000),
    );
    assert!(matches!(actions[..], [FailoverAction::Propose(Command::AbandonFailover { .. })]));
    let before = failover.attempt;
    record_intent(&mut snapshot, None);
    failover.tick(&snapshot, again.plus(5_010));
    // The fencing tokens of a later leader are above all of these.
    let next = Attempt { raft_term: Term(4), number: 0 };
    assert!(
        before.fencing_token() < failover.attempt.fencing_token()
            && failover.attempt.fencing_token() < next.fencing_token()
    );
}

fn propose_intent(target: &str) -> FailoverAction {
    let (service, target) = ("s".into(), target.into());
    FailoverAction::Propose(Command::BeginFailover { service, term: DbTerm(1), target })
}
/// The same service after `c` has departed.
fn without_c(snapshot: &ServiceSnapshot) -> ServiceSnapshot {
    let mut snapshot = snapshot.clone();
    snapshot.databases.retain(|(id, _)| *id != "c".into());
    snapshot.alive.remove(&"c".into());
    snapshot.departed.insert("c".into(), u64::MAX);
    snapshot
}

#[test]
fn a_departed_replica_counts_as_one_that_does_not_respond() {
    let now = Tick(50_000);
    // `b` is at position 7. (position of `c` when it was paused in this attempt, if it was; what
    // the poolers reported; synchronous replicas; whether `b` may be promoted)
    let cases = [
        (None, None, 1, false),
        (None, Some(Some(at(8))), 1, false),
        (None, Some(Some(at(7))), 1, true),
        (None, None, 2, true),
        (Some(7), None, 1, true),
        (Some(8), None, 1, false),
        (Some(8), Some(Some(at(7))), 1, true),
    ];
    for (paused, reported, sync_replicas, may_promote) in cases {
        let registered = ServiceSnapshot { sync_replicas, ..snapshot() };
        let acknowledged_commits = reported.map_or_else(AcknowledgedCommits::default, |reported| {
            AcknowledgedCommits { reported, unreported: UnreportedCommits::Nothing }
        });
        let departed = ServiceSnapshot { acknowledged_commits, ..without_c(&registered) };
        let mut failover = begin_steady(&registered, now);
        let fence = |asked: &[&str]| asked.iter().map(|id| send(id, PAUSE)).collect::<Vec<_>>();
        match paused {
            Some(number) => {
                assert_eq!(report_lost(&mut failover, &registered, now), fence(&["b", "c"]));
                assert_eq!(respond(&mut failover, &registered, "c", PAUSE, number, now), []);
            }
            None => {
                // The departed replica may still run: it is asked, though it can't be promoted.
                let asked = [send("b", PAUSE), send("c", DatabaseRequest::Describe)];
                assert_eq!(report_lost(&mut failover, &departed, now), asked);
            }
        }
        let mut actions = respond(&mut failover, &departed, "b", PAUSE, 7, now);
        if actions.is_empty() {
            actions = failover.tick(&departed, now.plus(320));
        }
        let expected = if may_promote { vec![propose_intent("b")] } else { Vec::new() };
        assert_eq!(actions, expected, "{paused:?} {reported:?} {sync_replicas}");
    }
}

/// `c` keeps running for 20 s after it departed. It is probed and describes itself, responds
/// without a description, accepts only the connection, or does not respond.
fn keeps_running(failover: &mut Failover, snapshot: &ServiceSnapshot, now: Tick) {
    for after in (100..20_100).step_by(100) {
        let now = now.plus(after);
        let due = if after % 500 == 100 && after > 500 {
            vec![send("c", DatabaseRequest::Describe)]
        } else {
            vec![]
        };
        assert_eq!(failover.tick(snapshot, now), due, "after {after}");
        let response = match after {
            1_100 => description(false, at(9)),
            1_600 => DatabaseResponse::NoDescription,
            2_100 => DatabaseResponse::Connected,
            _ => DatabaseResponse::TimedOut,
        };
        if !due.is_empty() {
            let (c, asked) = ("c".into(), DatabaseRequest::Describe);
            assert_eq!(
                failover.handle_response(snapshot, failover.attempt, &c, asked, &response, now),
                []
            );
        }
    }
}

#[test]
fn a_departed_replica_check_takes_few_requests() {
    let (snapshot, now) = (without_c(&snapshot()), Tick(50_000));
    let mut failover = begin_steady(&snapshot, now);
    let describe = |id| send(id, DatabaseRequest::Describe);
    keeps_running(&mut failover, &snapshot, now);
    // `c` refuses the connection: it has stopped.
    let now = now.plus(20_600);
    assert_eq!(failover.tick(&snapshot, now), [describe("c")]);
    let (refused, asked) = (DatabaseResponse::ConnectionRefused, DatabaseRequest::Describe);
    failover.handle_response(&snapshot, failover.attempt, &"c".into(), asked, &refused, now);
    assert_eq!(failover.tick(&snapshot, now), [describe("a")]);
    // This response of `b` is older than the primary's and does not count.
    assert_eq!(respond(&mut failover, &snapshot, "b", DatabaseRequest::Describe, 9, now), []);
    let before = Attempt { number: failover.attempt.number - 1, ..failover.attempt };
    let primary = description(true, at(9));
    assert_eq!(
        failover.handle_response(
            &snapshot,
            before,
            &"a".into(),
            DatabaseRequest::Describe,
            &primary,
            now
        ),
        []
    );
    assert_eq!(
        failover.handle_response(
            &snapshot,
            failover.attempt,
            &"a".into(),
            DatabaseRequest::Describe,
            &primary,
            now
        ),
        [describe("b")]
    );
    assert_eq!(respond(&mut failover, &snapshot, "b", DatabaseRequest::Describe, 8, now), []);
    assert_eq!(failover.tick(&snapshot, now.plus(300)), []);
    assert_eq!(failover.tick(&snapshot, now.plus(500)), [describe("b")]);
    let actions =
        respond(&mut failover.clone(), &snapshot, "b", DatabaseRequest::Describe, 9, now.plus(510));
    let forgotten =
        Command::ForgetDeparted { service: "s".into(), departed: snapshot.departed.clone() };
    assert_eq!(actions, [FailoverAction::Propose(forgotten)]);
    // A replica that never reaches the position is asked with an increasing backoff.
    let mut asked = 0;
    for after in (600..60_000).step_by(100) {
        for action in failover.tick(&snapshot, now.plus(after)) {
            asked += 1;
            if action == describe("a") {
                let actions = failover.handle_response(
                    &snapshot,
                    failover.attempt,
                    &"a".into(),
                    DatabaseRequest::Describe,
                    &primary,
                    now.plus(after),
                );
                asked += actions.len();
            }
        }
    }
    assert!((10..40).contains(&asked), "{asked}");
}

#[test]
fn a_handover_ignores_departed_replicas_and_pauses_new_ones() {
    let now = Tick(50_000);
    let mut all = snapshot();
    all.databases[0].1.lifecycle_state = Lifecycle::Draining;
    let departed = without_c(&all);
    let mut failover = begin_steady(&departed, now);
    let actions = failover.tick(&departed, now.plus(100));
    assert!(matches!(actions[..], [FailoverAction::HandOver(_)]), "{actions:?}");
    // `c` is registered during the handover.
    assert_eq!(failover.tick(&all, now.plus(220)), [send("c", PAUSE)]);
    respond(&mut failover, &all, "c", PAUSE, 9, now.plus(230));
    all.all_poolers_confirmed = true;
    all.acknowledged_commits =
        AcknowledgedCommits { reported: Some(at(9)), unreported: UnreportedCommits::Nothing };
    assert_eq!(failover.tick(&all, now.plus(235)), [send("b", DatabaseRequest::Describe)]);
    assert_eq!(
        respond(&mut failover, &all, "b", DatabaseRequest::Describe, 9, now.plus(240)),
        [propose_intent("b")]
    );
    all.databases.push(("d".into(), database(Role::Replica)));
    assert_eq!(failover.tick(&all, now.plus(250)), [send("d", PAUSE)]);
    let record = all
        .primary_record
        .take()
        .map(|record| PrimaryRecord { intent: Some("b".into()), ..record });
    all.primary_record = record;
    assert_eq!(failover.tick(&all, now.plus(260)), [FailoverAction::Promote("b".into())]);
    all.databases.push(("e".into(), database(Role::Replica)));
    assert_eq!(failover.tick(&all, now.plus(270)), [send("e", PAUSE)]);
    let (_, actions) = Failover::begin(&all, now.plus(280));
    let paused = ["c", "d", "e"].map(|id| send(id, PAUSE));
    assert_eq!(actions[1..4], paused, "a new leader does not know which replicas were paused");
}

#[test]
fn an_intent_that_is_committed_late_is_carried_out_by_the_current_leader() {
    let now = Tick(50_000);
    let target = |snapshot: &ServiceSnapshot, id: &str| {
        let primary_record = snapshot
            .primary_record
            .clone()
            .map(|record| PrimaryRecord { intent: Some(id.into()), ..record });
        ServiceSnapshot { primary_record, ..snapshot.clone() }
    };
    let snapshot = snapshot();
    let steady = begin_steady(&snapshot, now);
    let mut suspected = steady.clone();
    suspected.report_suspicion(
        &snapshot,
        &"n1".into(),
        &"a".into(),
        SuspicionReason::ConnectionsBroken,
        now,
    );
    let mut fencing = steady.clone();
    report_lost(&mut fencing, &snapshot, now);
    let mut recording_intent = fencing.clone();
    respond(&mut recording_intent, &snapshot, "b", PAUSE, 7, now);
    assert_eq!(
        respond(&mut recording_intent, &snapshot, "c", PAUSE, 9, now),
        [propose_intent("c")]
    );
    // (the failover of this leader, whether it had paused `c` itself)
    for (mut failover, paused) in
        [(steady, false), (suspected, false), (fencing.clone(), true), (recording_intent, true)]
    {
        let actions = failover.tick(&target(&snapshot, "b"), now.plus(100));
        let pause = (!paused).then(|| send("c", PAUSE));
        let expected = [FailoverAction::RevokeLeases(DbTerm(1))].into_iter().chain(pause);
        let expected: Vec<_> = expected.chain([FailoverAction::Promote("b".into())]).collect();
        assert_eq!(actions, expected, "{paused}");
    }
    // The other leader's call has taken effect already, and a lease on the old term is in use.
    let snapshot = ServiceSnapshot { leases_expired: false, ..snapshot };
    let newer = DatabaseResponse::Description(ServerDescription {
        primary: true,
        term: DbTerm(2),
        received: at(9),
    });
    let actions =
        fencing.handle_response(&snapshot, fencing.attempt, &"b".into(), PAUSE, &newer, now);
    assert_eq!(actions, [send("a", DatabaseRequest::StepDown(DbTerm(2)))]);
    assert!(matches!(fencing.state, FailoverState::AwaitingLeaseExpiry { .. }));
}

/// The replicated state with `a` recorded as the primary.
fn state_machine() -> StateMachine {
    let mut state_machine = StateMachine::default();
    state_machine.apply(&Command::SetPrimary {
        service: "s".into(),
        term: DbTerm(1),
        primary: "a".into(),
    });
    state_machine
}
fn heartbeat_command(id: &str, sequence: u64) -> Command {
    Command::Heartbeat { id: id.into(), instance: database(Role::Replica), sequence }
}
fn removal(id: &str, sequence: u64) -> Command {
    Command::RemoveInstance { id: id.into(), sequence }
}

#[test]
fn a_departed_replica_is_remembered_until_a_command_forgets_it() {
    let service = ServiceName::from("s");
    let departed = |state_machine: &StateMachine| {
        state_machine.departed_replicas(&service).into_iter().collect::<Vec<_>>()
    };
    let forget = |pairs: &[(&str, u64)]| {
        let departed = pairs.iter().map(|(id, last)| (InstanceId::from(*id), *last)).collect();
        Command::ForgetDeparted { service: service.clone(), departed }
    };
    let mut state_machine = state_machine();
    for change in [
        heartbeat_command("a", 1),
        heartbeat_command("b", 3),
        heartbeat_command("c", 4),
        removal("b", u64::MAX),
        removal("c", 0),
    ] {
        assert_eq!(state_machine.apply(&change), CommandOutcome::Applied);
    }
    assert_eq!(departed(&state_machine), [("b".into(), u64::MAX), ("c".into(), 4)]);
    // A snapshot contains the departed replicas.
    state_machine = StateMachine::from_snapshot(&pack(&state_machine))
        .expect("a snapshot that was just packed");
    // `c` is registered again and departs with more commits, while a check finds that other
    // replicas have its earlier commits.
    state_machine.apply(&heartbeat_command("c", 8));
    assert_eq!(departed(&state_machine), [("b".into(), u64::MAX)]);
    state_machine.apply(&removal("c", 0));
    state_machine.apply(&forget(&[("b", u64::MAX), ("c", 4)]));
    assert_eq!(departed(&state_machine), [("c".into(), 8)]);
    // A removed primary counts as a departed replica only once another primary is recorded.
    state_machine.apply(&removal("a", u64::MAX));
    assert_eq!(departed(&state_machine), [("c".into(), 8)]);
    state_machine.apply(&Command::SetPrimary {
        service: service.clone(),
        term: DbTerm(2),
        primary: "d".into(),
    });
    assert_eq!(departed(&state_machine), [("a".into(), u64::MAX), ("c".into(), 8)]);
    state_machine.apply(&forget(&[("a", u64::MAX), ("c", 8)]));
    assert_eq!(
        (departed(&state_machine), state_machine.apply(&forget(&[]))),
        (vec![], CommandOutcome::NoChange)
    );
}

#[test]
fn a_primary_that_returns_under_another_id_is_recognized() {
    let (mut snapshot, now) = (snapshot(), Tick(50_000));
    let mut s = begin_steady(&snapshot, now);
    report_lost(&mut s, &snapshot, now);
    respond(&mut s, &snapshot, "b", PAUSE, 7, now);
    snapshot.databases.push(("d".into(), database(Role::Primary)));
    assert!(s.tick(&snapshot, now.plus(500)).contains(&send("d", PAUSE)));
    let response = |term| {
        DatabaseResponse::Description(ServerDescription {
            primary: true,
            term: DbTerm(term),
            received: at(9),
        })
    };
    // A primary of an older term has not stepped down yet, and does not count as a paused replica.
    let older = s.clone().handle_response(
        &snapshot,
        s.attempt,
        &"d".into(),
        PAUSE,
        &response(0),
        now.plus(510),
    );
    assert_eq!(older, [send("d", DatabaseRequest::StepDown(DbTerm(1)))]);
    let actions =
        s.handle_response(&snapshot, s.attempt, &"d".into(), PAUSE, &response(1), now.plus(510));
    let (service, primary) = (ServiceName::from("s"), InstanceId::from("d"));
    let returned = Command::PrimaryReturned { service, term: DbTerm(1), primary };
    assert_eq!(actions, [FailoverAction::Propose(returned.clone())]);
    let mut state_machine = state_machine();
    for change in [heartbeat_command("a", 1), heartbeat_command("d", 1)] {
        state_machine.apply(&change);
    }
    assert_eq!(state_machine.apply(&returned), CommandOutcome::Applied);
    assert!(
        state_machine.departed_replicas(&"s".into()).is_empty()
            && !state_machine.instances().contains_key(&"a".into())
    );
    assert_eq!(state_machine.apply(&heartbeat_command("a", 9)), CommandOutcome::NoChange);
    snapshot.primary_record = state_machine.primaries().get(&"s".into()).cloned();
    snapshot.databases.remove(0);
    assert!(s.tick(&snapshot, now.plus(1_000)).contains(&send("d", DatabaseRequest::Describe)));
    let actions = s.handle_response(
        &snapshot,
        s.attempt,
        &"d".into(),
        DatabaseRequest::Describe,
        &response(1),
        now.plus(1_010),
    );
    assert!(
        s.state == FailoverState::Steady && actions.contains(&send("b", DatabaseRequest::Continue)),
        "{actions:?}"
    );
}

#[test]
fn a_late_heartbeat_restores_no_removed_instance_after_many_removals() {
    let mut state_machine = state_machine();
    for i in 0..1_000 {
        state_machine.apply(&heartbeat_command(&format!("d{i}"), 5));
        state_machine.apply(&removal(&format!("d{i}"), u64::MAX));
    }
    let bytes = pack(&state_machine);
    for mut state_machine in [
        state_machine,
        StateMachine::from_snapshot(&bytes).expect("a snapshot that was just packed"),
    ] {
        for i in 0..1_000 {
            assert_eq!(
                state_machine.apply(&heartbeat_command(&format!("d{i}"), 6)),
                CommandOutcome::NoChange,
                "d{i}"
            );
        }
    }
    assert!(bytes.len() < 30_000, "{}", bytes.len());
}

#[test]
fn a_snapshot_of_an_older_version_is_read() {
    // The older layout: body, revision, taken, instances, removed, primaries.
    let record = PrimaryRecord { term: DbTerm(1), primary: "a".into(), intent: None };
    let removed = [("x".to_owned(), 7_u64), ("y".to_owned(), 2), ("x".to_owned(), 9)];
    let (body, revision, taken) =
        (serde_bytes::ByteBuf::new(), 0, BTreeMap::<u64, (u64, u64)>::new());
    let instances = BTreeMap::<String, (Instance, u64)>::new();
    let primaries = BTreeMap::from([("s", &record)]);
    let bytes = pack(&(body, revision, taken, instances, removed, primaries));
    let state_machine = StateMachine::from_snapshot(&bytes).expect("read");
    assert_eq!(state_machine.primaries()[&"s".into()], record);
    assert!(state_machine.departed_replicas(&"s".into()).is_empty());
    for (id, sequence, accepted) in [("x", 9, false), ("x", 10, true), ("y", 2, false)] {
        assert_eq!(
            state_machine.accepts_heartbeat(&id.into(), &database(Role::Replica), sequence),
            accepted,
            "{id}"
        );
    }
    // A command is encoded with the name of its variant, so that new variants don't change the
    // encoding of the others.
    assert_eq!(pack(&removal("x", 9)), b"\x81\xa4Gone\x92\xa1x\x09");
}

// ---------------------------------------------------------------------------------------------
// A simulated service

/// A deterministic pseudo-random number generator.
struct RandomSource(u64);
impl RandomSource {
    fn below(&mut self, n: u64) -> u64 {
        self.0 =
            self.0.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        (self.0 >> 33) % n
    }
    fn one_in(&mut self, n: u64) -> bool {
        self.below(n) == 0
    }
}

#[derive(Clone)]
struct Node {
    /// The term of each commit that it received.
    log: Vec<u64>,
    alive: bool,
    /// When the node has fetched the log and starts to receive commits.
    replicates_from: Tick,
    /// Whether the node receives nothing from the primary.
    replication_broken: bool,
    /// Whether requests of the leader time out.
    unreachable: bool,
    paused: bool,
    sequence: u64,
    draining: bool,
    /// When the node stops, after it has departed.
    stops_at: Option<Tick>,
    died: Option<Tick>,
}
impl Node {
    fn received(&self) -> Position {
        let term = self.log.last().copied().unwrap_or(0);
        Position { term: DbTerm(term), number: self.log.len() as u64 }
    }
}

/// The lease of the only pooler, according to the last message that it received from the leader.
#[derive(Clone, Debug, PartialEq)]
enum Lease {
    InUse,
    /// The pooler forwards only commits that the target has.
    HandingOver(Handover),
    Revoked,
}

enum Due {
    Lease(Lease),
    DatabaseRequest(InstanceId, DatabaseRequest, Attempt),
    DatabaseResponse(InstanceId, DatabaseRequest, Attempt, DatabaseResponse),
    Heartbeat(InstanceId),
    Promotion(InstanceId, Attempt),
    PromotionResponse(InstanceId, Attempt, PromotionResponse),
}

/// Simulated databases with their logs, the platform, one pooler, and a leader that knows only what
/// messages tell it.
struct Service {
    random: RandomSource,
    now: Tick,
    nodes: BTreeMap<InstanceId, Node>,
    primary: InstanceId,
    term: u64,
    sync: usize,
    /// Commits that the pooler forwarded, as (position in the log, term).
    acknowledged: BTreeSet<(usize, u64)>,
    lease: Lease,
    /// The lease that the leader last sent to the pooler.
    lease_sent: Lease,
    /// Whether the pooler reports its furthest forwarded commit. If not, its lease expires without
    /// an acknowledgement.
    reports: bool,
    state_machine: StateMachine,
    /// When each database last departed.
    removed_at: BTreeMap<InstanceId, Tick>,
    failover: Failover,
    raft_term: u64,
    due: Vec<(Tick, Due)>,
    joined: u64,
    promoted: usize,
    forgotten: usize,
    asked: usize,
    history: Vec<String>,
}

impl Service {
    fn new(seed: u64, sync: usize, replicas: usize) -> Self {
        let snapshot =
            ServiceSnapshot { primary_record: None, databases: Vec::new(), ..snapshot() };
        let mut this = Self {
            random: RandomSource(seed),
            now: Tick(50_000),
            nodes: BTreeMap::new(),
            primary: "d0".into(),
            term: 1,
            sync,
            acknowledged: BTreeSet::new(),
            lease: Lease::InUse,
            lease_sent: Lease::InUse,
            reports: !seed.is_multiple_of(3),
            state_machine: StateMachine::default(),
            removed_at: BTreeMap::new(),
            failover: Failover::begin(&snapshot, Tick(50_000)).0,
            raft_term: 1,
            due: Vec::new(),
            joined: 0,
            promoted: 0,
            forgotten: 0,
            asked: 0,
            history: Vec::new(),
        };
        for _ in 0..=replicas {
            this.join();
        }
        let primary = this.primary.clone();
        this.state_machine.apply(&Command::SetPrimary {
            service: "s".into(),
            term: DbTerm(1),
            primary,
        });
        this.elect_leader();
        this
    }
    fn record(&mut self, what: String) {
        let at = self.now.0 - 50_000;
        self.history.push(format!("{at} {what}"));
    }
    fn join(&mut self) {
        let id = InstanceId(format!("d{}", self.joined));
        self.joined += 1;
        self.nodes.insert(
            id.clone(),
            Node {
                log: Vec::new(),
                alive: true,
                // Some nodes receive commits, and count for them, before the leader knows of them.
                replicates_from: self.now.plus(self.random.below(2) * 600),
                replication_broken: false,
                unreachable: false,
                paused: false,
                sequence: 0,
                draining: false,
                stops_at: None,
                died: None,
            },
        );
        self.record(format!("{id} joins"));
        if self.now == Tick(50_000) {
            self.heartbeat(&id);
        } else {
            let first_heartbeat = self.now.plus(self.random.below(3_000));
            self.due.push((first_heartbeat, Due::Heartbeat(id)));
        }
    }
    fn heartbeat(&mut self, id: &InstanceId) {
        let leads = *id == self.primary;
        let node = self.nodes.get_mut(id).expect("known");
        node.sequence += 1;
        let role = if leads { Role::Primary } else { Role::Replica };
        let mut instance = database(role);
        if node.draining {
            instance.lifecycle_state = Lifecycle::Draining;
        }
        let sequence = node.sequence;
        self.state_machine.apply(&Command::Heartbeat { id: id.clone(), instance, sequence });
        if leads {
            let now = self.now;
            self.step(|failover, snapshot| {
                failover.handle_heartbeat(snapshot, id, Role::Primary, now)
            });
        }
    }
    fn remove_instance(&mut self, id: &InstanceId, sequence: u64) {
        self.record(format!("{id} is removed"));
        self.removed_at.insert(id.clone(), self.now);
        self.state_machine.apply(&Command::RemoveInstance { id: id.clone(), sequence });
    }
    fn snapshot(&self) -> ServiceSnapshot {
        let is_alive = |id: &&InstanceId| self.nodes[*id].alive && !self.nodes[*id].unreachable;
        let registered = self.state_machine.instances().iter();
        ServiceSnapshot {
            raft_term: Term(self.raft_term),
            primary_record: self.state_machine.primaries().get(&"s".into()).cloned(),
            databases: registered.map(|(id, r)| (id.clone(), r.instance.clone())).collect(),
            departed: self.state_machine.departed_replicas(&"s".into()),
            alive: self.state_machine.instances().keys().filter(is_alive).cloned().collect(),
            sync_replicas: self.sync as u32,
            leases_expired: self.known_pooler_lease() == Some(&Lease::Revoked),
            all_poolers_confirmed: self.pooler_confirmed(),
            acknowledged_commits: self.acknowledged_commits(),
            ..snapshot()
        }
    }
    /// Whether the pooler forwards no commit that the target of the current handover lacks.
    fn pooler_confirmed(&self) -> bool {
        match self.known_pooler_lease() {
            None | Some(Lease::InUse) => false,
            Some(Lease::HandingOver(handover)) => self.failover.handover.as_ref() == Some(handover),
            Some(Lease::Revoked) => true,
        }
    }
    /// The pooler's lease as known to the leader; `None` while a message to the pooler is in
    /// flight.
    fn known_pooler_lease(&self) -> Option<&Lease> {
        let in_flight = self.due.iter().any(|(_, due)| matches!(due, Due::Lease(_)));
        (!in_flight).then_some(&self.lease)
    }
    fn acknowledged_commits(&self) -> AcknowledgedCommits {
        if !self.reports || !self.pooler_confirmed() {
            return AcknowledgedCommits::default();
        }
        let last = self.acknowledged.last();
        let reported =
            last.map(|(index, term)| Position { term: DbTerm(*term), number: *index as u64 + 1 });
        AcknowledgedCommits { reported, unreported: UnreportedCommits::Nothing }
    }
    /// Sends the current lease grant to the pooler, which receives it after a delay.
    fn grant_leases(&mut self) {
        let granted = match self.failover.lease_status() {
            LeaseStatus { revoking: true, .. } => Lease::Revoked,
            LeaseStatus { handover: Some(handover), .. } => Lease::HandingOver(handover),
            LeaseStatus { .. } => Lease::InUse,
        };
        if granted != self.lease_sent {
            self.lease_sent = granted.clone();
            // A pooler that does not report is disconnected, and its lease expires after a fixed
            // time. Messages on one connection arrive in the order in which they were sent.
            let after = if self.reports { 1 + self.random.below(30) } else { 1_000 };
            let earlier = self.due.iter().filter(|(_, due)| matches!(due, Due::Lease(_)));
            let at = earlier.map(|(at, _)| at.plus(1)).max().unwrap_or(self.now);
            self.due.push((at.max(self.now.plus(after)), Due::Lease(granted)));
        }
    }
    fn elect_leader(&mut self) {
        self.raft_term += 1;
        self.record("another controller is elected leader".into());
        let (failover, actions) = Failover::begin(&self.snapshot(), self.now);
        self.failover = failover;
        self.perform(actions);
    }
    fn step(&mut self, step: impl FnOnce(&mut Failover, &ServiceSnapshot) -> Vec<FailoverAction>) {
        let snapshot = self.snapshot();
        let actions = step(&mut self.failover, &snapshot);
        self.perform(actions);
    }
    fn perform(&mut self, actions: Vec<FailoverAction>) {
        let attempt = self.failover.attempt;
        for action in actions {
            match action {
                FailoverAction::SendRequest(id, request) => {
                    self.asked += 1;
                    // One request in ten may be delayed for longer.
                    let max_delay = if self.random.one_in(10) { 900 } else { 30 };
                    let at = self.now.plus(1 + self.random.below(max_delay));
                    self.due.push((at, Due::DatabaseRequest(id, request, attempt)));
                }
                FailoverAction::Promote(id) => {
                    self.due.push((self.now.plus(200), Due::Promotion(id, attempt)))
                }
                FailoverAction::Propose(change) => {
                    self.record(format!("{change:?}"));
                    self.forgotten += usize::from(matches!(change, Command::ForgetDeparted { .. }));
                    self.state_machine.apply(&change);
                }
                // See `grant_leases`.
                FailoverAction::RevokeLeases(_) | FailoverAction::HandOver(_) => {}
            }
        }
        self.grant_leases();
    }
    fn dispatch(&mut self, due: Due) {
        let now = self.now;
        match due {
            Due::Lease(lease) => {
                self.record(format!("the pooler receives {lease:?}"));
                self.lease = lease;
            }
            Due::Heartbeat(id) => self.heartbeat(&id),
            Due::DatabaseRequest(id, request, attempt) => {
                let (leads, term) = (id == self.primary, DbTerm(self.term));
                let node = self.nodes.get_mut(&id).expect("known");
                let response = match node {
                    Node { alive: false, .. } => DatabaseResponse::ConnectionRefused,
                    Node { unreachable: true, .. } => DatabaseResponse::TimedOut,
                    _ => {
                        node.paused = match request {
                            DatabaseRequest::Pause(_) if !leads => true,
                            DatabaseRequest::Continue => false,
                            _ => node.paused,
                        };
                        DatabaseResponse::Description(ServerDescription {
                            primary: leads,
                            term,
                            received: node.received(),
                        })
                    }
                };
                let wait = if response == DatabaseResponse::TimedOut {
                    1_000
                } else {
                    1 + self.random.below(30)
                };
                let delay = if self.random.one_in(10) { 1_500 } else { 0 };
                self.due.push((
                    now.plus(wait + delay),
                    Due::DatabaseResponse(id, request, attempt, response),
                ));
            }
            Due::DatabaseResponse(id, request, attempt, response) => {
                self.step(|failover, snapshot| {
                    failover.handle_response(snapshot, attempt, &id, request, &response, now)
                });
            }
            Due::Promotion(id, attempt) => {
                let response = match self.nodes[&id].alive {
                    true => PromotionResponse::Accepted,
                    false => PromotionResponse::NotRunning,
                };
                if response == PromotionResponse::Accepted && id != self.primary {
                    self.promote(&id);
                }
                self.due.push((now.plus(20), Due::PromotionResponse(id, attempt, response)));
            }
            Due::PromotionResponse(id, attempt, response) => {
                self.step(|failover, snapshot| {
                    failover.handle_promotion_response(snapshot, attempt, &id, response, now)
                });
            }
        }
    }
    /// Promotes a database, and asserts that it has every acknowledged commit.
    fn promote(&mut self, id: &InstanceId) {
        self.record(format!("{id} is promoted"));
        self.promoted += 1;
        let log = self.nodes[id].log.clone();
        let lost = self.acknowledged.iter().find(|(index, term)| log.get(*index) != Some(term));
        assert_eq!(lost, None, "{id} lacks an acknowledged commit:\n{}", self.history.join("\n"));
        self.primary = id.clone();
        self.term += 1;
        for (other, node) in &mut self.nodes {
            let agreed = node.log.iter().zip(&log).take_while(|(a, b)| a == b).count();
            node.log.truncate(agreed);
            node.paused &= other != id;
        }
    }
    /// Commits one entry on the primary, replicates it, and forwards what the lease allows.
    fn write(&mut self) {
        let Some(primary) = self.nodes.get_mut(&self.primary).filter(|p| p.alive) else {
            return;
        };
        primary.log.push(self.term);
        let log = primary.log.clone();
        let mut log_lengths = Vec::new();
        for (id, node) in &mut self.nodes {
            if *id != self.primary && node.alive {
                if !node.replication_broken && !node.paused && self.now >= node.replicates_from {
                    node.log.clone_from(&log);
                }
                log_lengths.push(node.log.len());
            }
        }
        log_lengths.sort_unstable_by(|a, b| b.cmp(a));
        let commit_count = log_lengths.get(self.sync - 1).copied().unwrap_or(0);
        let commit_count = commit_count.min(self.confirmed_commits());
        let commit_count = match &self.lease {
            Lease::InUse => commit_count,
            Lease::HandingOver(handover) => {
                let target = &self.nodes[&handover.target];
                let responds =
                    target.alive && !target.unreachable && handover.target != self.primary;
                if responds { commit_count.min(target.log.len()) } else { 0 }
            }
            Lease::Revoked => 0,
        };
        // Only commits that were not forwarded before are added.
        let known = self.acknowledged.last().map_or(0, |(index, _)| index + 1);
        self.acknowledged.extend((known..commit_count).map(|index| (index, log[index])));
    }
    /// The number of commits that enough replicas in the pooler's directory have received. It may
    /// not have been told yet of a departure that is more recent than its lease.
    fn confirmed_commits(&self) -> usize {
        let listed = |id: &&InstanceId| {
            let departed = self.removed_at.get(*id);
            self.state_machine.instances().contains_key(*id)
                || departed.is_some_and(|at| self.now.since(*at) < LEASE_MS)
        };
        let responds = |id: &&InstanceId| self.nodes[*id].alive && !self.nodes[*id].unreachable;
        let replicas = self.nodes.keys().filter(|id| **id != self.primary);
        let mut received: Vec<usize> =
            replicas.filter(listed).filter(responds).map(|id| self.nodes[id].log.len()).collect();
        received.sort_unstable_by(|a, b| b.cmp(a));
        received.get(self.sync - 1).copied().unwrap_or(0)
    }
    /// Runs the simulation for this many milliseconds, with a commit every 20 ms. Events are
    /// dispatched once they are due.
    fn run_for(&mut self, ms: u64) {
        for _ in 0..ms / 20 {
            self.now = self.now.plus(20);
            self.write();
            while let Some(next) = self.due.iter().position(|(at, _)| *at <= self.now) {
                let (_, due) = self.due.swap_remove(next);
                self.dispatch(due);
            }
            let (now, primary) = (self.now, self.primary.clone());
            if now.0.is_multiple_of(100) {
                self.step(|failover, snapshot| failover.tick(snapshot, now));
                let recorded_primary = self.state_machine.primaries()[&"s".into()].primary.clone();
                let unresponsive = !self.nodes[&recorded_primary].alive
                    || self.nodes[&recorded_primary].unreachable;
                if unresponsive {
                    self.step(|failover, snapshot| {
                        failover.report_suspicion(
                            snapshot,
                            &"n".into(),
                            &recorded_primary,
                            SuspicionReason::ConnectionsBroken,
                            now,
                        )
                    });
                }
                if self.nodes[&primary].alive && primary != recorded_primary {
                    self.heartbeat(&primary);
                }
            }
            let must_stop = |n: &Node| n.alive && n.stops_at.is_some_and(|at| now >= at);
            for node in self.nodes.values_mut().filter(|n| must_stop(n)) {
                (node.alive, node.died) = (false, Some(now));
            }
        }
    }
    /// Injects a random fault.
    fn inject_fault(&mut self) {
        let (now, draw) = (self.now, self.random.below(12));
        let registered: Vec<InstanceId> = self.state_machine.instances().keys().cloned().collect();
        if registered.is_empty() {
            return self.join();
        }
        let id = registered[self.random.below(registered.len() as u64) as usize].clone();
        let leads = id == self.primary;
        let running = registered.iter().filter(|id| self.nodes[*id].alive).count();
        let sequence = self.nodes[&id].sequence;
        let node = self.nodes.get_mut(&id).expect("known");
        match draw {
            0 | 1 => node.replication_broken = !node.replication_broken,
            2 => node.unreachable = !node.unreachable,
            3 if running > 2 => (node.alive, node.died) = (false, Some(now)),
            4 | 5 => {
                (node.alive, node.replication_broken, node.unreachable) =
                    (node.stops_at.is_none(), false, false);
                node.died = node.died.filter(|_| !node.alive);
                node.paused &= node.alive;
            }
            6 if running > 2 && !leads => {
                // The node keeps running, and counts for commits, for some seconds.
                node.stops_at = Some(now.plus(self.random.below(8_000)));
                self.remove_instance(&id, u64::MAX);
            }
            7 if leads && node.alive => {
                node.draining = true;
                self.heartbeat(&id);
            }
            8 if node.draining && node.alive => {
                node.stops_at = Some(now.plus(500));
                self.remove_instance(&id, u64::MAX);
            }
            9 if !node.alive && !leads => self.remove_instance(&id, sequence),
            10 if running < 5 => return self.join(),
            11 => return self.elect_leader(),
            _ => return,
        }
        self.record(format!("fault {draw} on {id}"));
    }
}

#[test]
fn the_promoted_database_has_every_acknowledged_commit() {
    let (mut promoted, mut forgotten) = (0, 0);
    let seeds = std::env::var("SEEDS").ok().and_then(|n| n.parse().ok()).unwrap_or(150);
    for seed in 0..seeds {
        let sync = 1 + (seed % 2) as usize;
        let mut service = Service::new(seed, sync, sync + 1 + (seed % 3) as usize);
        for _ in 0..60 {
            service.run_for(100 + 20 * (seed % 40));
            service.inject_fault();
        }
        (promoted, forgotten) = (promoted + service.promoted, forgotten + service.forgotten);
    }
    println!("{seeds} seeds: {promoted} promoted, {forgotten} forgotten");
    assert!(
        promoted > seeds as usize / 2 && forgotten > seeds as usize / 2,
        "{promoted} {forgotten}"
    );
}

/// The recorded primary is `a` in term 2, with an intent or without.
#[test]
#[expect(clippy::too_many_lines, reason = "one scenario, told in order")]
fn the_primary_record_and_its_intent_change_only_as_the_recorded_term_allows() {
    let service = || ServiceName::from("s");
    let propose_primary = |term, primary: &str| Command::SetPrimary {
        service: service(),
        term: DbTerm(term),
        primary: primary.into(),
    };
    let propose_intent = |term, target: &str| Command::BeginFailover {
        service: service(),
        term: DbTerm(term),
        target: target.into(),
    };
    let abandon =
        |target: &str| Command::AbandonFailover { service: service(), target: target.into() };
    let returned = |term, primary: &str| Command::PrimaryReturned {
        service: service(),
        term: DbTerm(term),
        primary: primary.into(),
    };
    let record = |term, primary: &str, intent: Option<&str>| PrimaryRecord {
        term: DbTerm(term),
        primary: primary.into(),
        intent: intent.map(InstanceId::from),
    };
    let (without_intent, with_intent) = (record(2, "a", None), record(2, "a", Some("b")));
    // (record before, command, record after, `None` if the command changes nothing)
    let cases = [
        (&without_intent, propose_primary(1, "c"), None),
        (&without_intent, propose_primary(2, "c"), None),
        (&without_intent, propose_primary(3, "c"), Some(record(3, "c", None))),
        (&with_intent, propose_primary(1, "b"), None),
        (&with_intent, propose_primary(2, "b"), None),
        (&with_intent, propose_primary(3, "b"), Some(record(3, "b", None))),
        (&without_intent, propose_intent(1, "c"), None),
        (&without_intent, propose_intent(3, "c"), None),
        (&without_intent, propose_intent(2, "c"), Some(record(2, "a", Some("c")))),
        (&with_intent, propose_intent(2, "c"), None),
        (&with_intent, propose_intent(2, "b"), None),
        (&without_intent, abandon("b"), None),
        (&with_intent, abandon("c"), None),
        (&with_intent, abandon("b"), Some(without_intent.clone())),
        (&without_intent, returned(1, "d"), None),
        (&without_intent, returned(3, "d"), None),
        (&without_intent, returned(2, "d"), Some(record(2, "d", None))),
        (&with_intent, returned(2, "d"), None),
    ];
    for (before, change, after) in cases {
        let mut state_machine = StateMachine::default();
        state_machine.apply(&propose_primary(2, "a"));
        if let Some(target) = &before.intent {
            assert_eq!(state_machine.apply(&propose_intent(2, &target.0)), CommandOutcome::Applied);
        }
        assert_eq!(state_machine.primaries()[&service()], *before);
        let unchanged = state_machine.clone();
        let effect =
            if after.is_some() { CommandOutcome::Applied } else { CommandOutcome::NoChange };
        assert_eq!(state_machine.apply(&change), effect, "{before:?} {change:?}");
        match after {
            Some(after) => assert_eq!(state_machine.primaries()[&service()], after, "{change:?}"),
            None => assert_eq!(state_machine, unchanged, "{change:?} changes nothing"),
        }
    }
    for change in [propose_intent(1, "b"), abandon("b"), returned(1, "d")] {
        let mut state_machine = StateMachine::default();
        assert_eq!(
            state_machine.apply(&change),
            CommandOutcome::NoChange,
            "{change:?} without a recorded primary"
        );
        assert_eq!(state_machine, StateMachine::default());
    }
}

#[test]
fn which_removed_instances_count_as_departed_replicas() {
    let service = ServiceName::from("s");
    let propose_primary =
        || Command::SetPrimary { service: service.clone(), term: DbTerm(1), primary: "a".into() };
    let returned = || Command::PrimaryReturned {
        service: service.clone(),
        term: DbTerm(1),
        primary: "d".into(),
    };
    // (case, commands after `a` and `b` were registered, which instances count as departed)
    let cases: [(&str, Vec<Command>, &[&str]); 6] = [
        ("a replica of a service with a primary", vec![propose_primary(), removal("b", 9)], &["b"]),
        ("a replica of a service without a primary", vec![removal("b", 9), propose_primary()], &[]),
        ("the primary", vec![propose_primary(), removal("a", 9)], &[]),
        (
            "a replica that is registered again",
            vec![propose_primary(), removal("b", 9), heartbeat_command("b", 10)],
            &[],
        ),
        (
            "a primary that returned under another id",
            vec![propose_primary(), removal("a", 9), returned()],
            &[],
        ),
        (
            "a replica, and a primary that returned under another id",
            vec![propose_primary(), removal("a", 9), removal("b", 9), returned()],
            &["b"],
        ),
    ];
    for (case, changes, counted) in cases {
        let mut state_machine = StateMachine::default();
        for change in [heartbeat_command("a", 1), heartbeat_command("b", 1)].iter().chain(&changes)
        {
            assert_eq!(state_machine.apply(change), CommandOutcome::Applied, "{case}: {change:?}");
        }
        let departed: Vec<InstanceId> =
            state_machine.departed_replicas(&service).into_keys().collect();
        let counted: Vec<InstanceId> = counted.iter().map(|id| InstanceId::from(*id)).collect();
        assert_eq!(departed, counted, "{case}");
    }
}

#[test]
fn an_instance_removed_twice_is_remembered_with_its_second_removal() {
    let mut state_machine = StateMachine::default();
    for change in
        [heartbeat_command("b", 1), removal("b", 5), heartbeat_command("b", 6), removal("b", 9)]
    {
        assert_eq!(state_machine.apply(&change), CommandOutcome::Applied);
    }
    for n in 0..4_095 {
        let id = format!("i{n}");
        state_machine.apply(&heartbeat_command(&id, 1));
        state_machine.apply(&removal(&id, 1));
    }
    assert_eq!(
        state_machine.apply(&heartbeat_command("b", 8)),
        CommandOutcome::NoChange,
        "a late heartbeat"
    );
    assert_eq!(state_machine.apply(&heartbeat_command("b", 10)), CommandOutcome::Applied);
}

/// `c` has departed. It is forgotten once as many registered replicas as a commit needs have
/// reached the primary's position.
#[test]
#[expect(clippy::too_many_lines, reason = "one scenario, told in order")]
fn a_departed_replica_is_forgotten_once_registered_replicas_reached_the_primary() {
    let now = Tick(50_000);
    let describe = |id| send(id, DatabaseRequest::Describe);
    let begin = |sync_replicas: u32| {
        let mut snapshot = ServiceSnapshot { sync_replicas, ..without_c(&snapshot()) };
        snapshot.databases.push(("d".into(), database(Role::Replica)));
        snapshot.alive.insert("d".into());
        let mut failover = begin_steady(&snapshot, now);
        respond(&mut failover, &snapshot, "d", DatabaseRequest::Continue, 7, now);
        assert_eq!(failover.tick(&snapshot, now), []);
        assert_eq!(failover.tick(&snapshot, now.plus(500)), [describe("c")]);
        let refused = DatabaseResponse::ConnectionRefused;
        let asked = DatabaseRequest::Describe;
        failover.handle_response(
            &snapshot,
            failover.attempt,
            &"c".into(),
            asked,
            &refused,
            now.plus(510),
        );
        // Poolers may still count it, as their directory may be older than its departure.
        assert_eq!(failover.tick(&snapshot, now.plus(510)), []);
        assert_eq!(failover.tick(&snapshot, now.plus(LAST_COUNTED_MS)), []);
        assert_eq!(failover.tick(&snapshot, now.plus(LAST_COUNTED_MS + 1)), [describe("a")]);
        (failover, snapshot)
    };
    let now = now.plus(LAST_COUNTED_MS + 10);
    let primary = |primary, term| {
        DatabaseResponse::Description(ServerDescription {
            primary,
            term: DbTerm(term),
            received: at(9),
        })
    };
    // (whether `a` reports to be the primary, its term, whether its position is accepted)
    for (leads, term, accepted) in [(true, 1, true), (false, 1, false), (true, 2, false)] {
        let (mut failover, snapshot) = begin(1);
        let response = primary(leads, term);
        let actions = failover.handle_response(
            &snapshot,
            failover.attempt,
            &"a".into(),
            DatabaseRequest::Describe,
            &response,
            now,
        );
        let asked = if accepted { vec![describe("b"), describe("d")] } else { Vec::new() };
        assert_eq!(actions, asked, "{leads} {term}");
    }
    // Before the primary has responded no replica is asked.
    let (mut failover, snapshot) = begin(1);
    assert_eq!(failover.tick(&snapshot, now.plus(500)), []);
    // (synchronous replicas, whether `b` departs after its response, the responses with their
    // positions, whether `c` is forgotten)
    type Responses<'a> = &'a [(&'a str, u64)];
    let cases: [(u32, bool, Responses<'_>, bool); 8] = [
        (1, false, &[("b", 8)], false),
        (1, false, &[("b", 9)], true),
        (2, false, &[("b", 9)], false),
        (2, false, &[("b", 9), ("b", 9)], false),
        (2, false, &[("b", 9), ("d", 8)], false),
        (2, false, &[("b", 9), ("d", 9)], true),
        (2, true, &[("b", 9), ("d", 9)], false),
        (0, false, &[("b", 9)], true),
    ];
    for (sync_replicas, departs, responses, forgotten) in cases {
        let (mut failover, mut snapshot) = begin(sync_replicas);
        let response = primary(true, 1);
        failover.handle_response(
            &snapshot,
            failover.attempt,
            &"a".into(),
            DatabaseRequest::Describe,
            &response,
            now,
        );
        let mut actions = Vec::new();
        for (id, number) in responses {
            assert_eq!(actions, [], "{responses:?}");
            actions =
                respond(&mut failover, &snapshot, id, DatabaseRequest::Describe, *number, now);
            if departs {
                snapshot.databases.retain(|(id, _)| *id != "b".into());
            }
        }
        let departed = BTreeMap::from([("c".into(), u64::MAX)]);
        let change = Command::ForgetDeparted { service: "s".into(), departed };
        let expected = if forgotten { vec![FailoverAction::Propose(change)] } else { Vec::new() };
        assert_eq!(actions, expected, "{sync_replicas} {departs} {responses:?}");
    }
}

#[test]
fn a_replica_that_departed_again_is_probed_again() {
    let (mut snapshot, now) = (without_c(&snapshot()), Tick(50_000));
    let mut failover = begin_steady(&snapshot, now);
    let describe = |id| send(id, DatabaseRequest::Describe);
    let refused = |failover: &mut Failover, snapshot: &ServiceSnapshot, now| {
        let (c, refused) = ("c".into(), DatabaseResponse::ConnectionRefused);
        failover.handle_response(
            snapshot,
            failover.attempt,
            &c,
            DatabaseRequest::Describe,
            &refused,
            now,
        )
    };
    snapshot.departed.insert("c".into(), 5);
    assert_eq!(failover.tick(&snapshot, now), []);
    assert_eq!(failover.tick(&snapshot, now.plus(500)), [describe("c")]);
    assert_eq!(refused(&mut failover, &snapshot, now.plus(510)), []);
    // `c` was registered again and departed once more before the check started.
    snapshot.departed.insert("c".into(), 9);
    for (after, asked) in [(520, None), (1_000, None), (1_020, Some("c"))] {
        let expected: Vec<_> = asked.map(describe).into_iter().collect();
        assert_eq!(failover.tick(&snapshot, now.plus(after)), expected, "after {after}");
    }
    refused(&mut failover, &snapshot, now.plus(1_030));
    assert_eq!(failover.tick(&snapshot, now.plus(520 + LAST_COUNTED_MS)), []);
    assert_eq!(failover.tick(&snapshot, now.plus(521 + LAST_COUNTED_MS)), [describe("a")]);
}

/// Guards against taking a lost response of a departed replica as the end of its process: the
/// connection broke after it was accepted, and the replica went on to receive commits (review/6).
#[test]
fn a_departed_replica_has_stopped_only_if_nothing_listens_at_its_address() {
    let describe = |id| send(id, DatabaseRequest::Describe);
    // (the response to the probe, whether the primary is asked next)
    for (response, stopped) in [
        (DatabaseResponse::ConnectionRefused, true),
        (DatabaseResponse::AddressReassigned, true),
        (DatabaseResponse::ConnectionFailed, false),
        (DatabaseResponse::TimedOut, false),
        (DatabaseResponse::NoDescription, false),
        (DatabaseResponse::Connected, false),
        (DatabaseResponse::NotSent, false),
        (description(false, at(7)), false),
    ] {
        let (snapshot, now) = (without_c(&snapshot()), Tick(50_000));
        let mut failover = begin_steady(&snapshot, now);
        assert_eq!(failover.tick(&snapshot, now), []);
        for after in (500..=LAST_COUNTED_MS).step_by(500) {
            assert_eq!(failover.tick(&snapshot, now.plus(after)), [describe("c")], "{response:?}");
            failover.handle_response(
                &snapshot,
                failover.attempt,
                &"c".into(),
                DatabaseRequest::Describe,
                &response,
                now.plus(after),
            );
            if stopped {
                break;
            }
        }
        let expected = if stopped { "a" } else { "c" };
        let actions = failover.tick(&snapshot, now.plus(LAST_COUNTED_MS + 1));
        assert_eq!(actions, [describe(expected)], "{response:?}");
    }
}

/// Guards against forgetting a departed replica that still runs. It used to be forgotten 2 s after
/// it departed, and the promoted database lacked commits that only it had received since.
#[test]
fn a_departed_replica_counts_while_it_runs() {
    let (snapshot, now) = (without_c(&snapshot()), Tick(50_000));
    let mut failover = begin_steady(&snapshot, now);
    for after in (0..10_000).step_by(100) {
        let now = now.plus(after);
        for action in failover.tick(&snapshot, now) {
            assert_eq!(action, send("c", DatabaseRequest::Describe), "after {after}");
            respond(&mut failover, &snapshot, "c", DatabaseRequest::Describe, 7 + after, now);
        }
    }
    // Without reports of the poolers, `b` may not be promoted on its own response alone.
    let now = now.plus(10_000);
    let asked = [send("b", PAUSE), send("c", DatabaseRequest::Describe)];
    assert_eq!(report_lost(&mut failover, &snapshot, now), asked);
    assert_eq!(respond(&mut failover, &snapshot, "b", PAUSE, 7, now), []);
    assert_eq!(failover.tick(&snapshot, now.plus(350)), []);
    // (position of `c` in its response, whether `b` may be promoted)
    for (number, may_promote) in [(7, true), (8, false)] {
        let mut failover = failover.clone();
        let actions =
            respond(&mut failover, &snapshot, "c", DatabaseRequest::Describe, number, now);
        let expected = if may_promote { vec![propose_intent("b")] } else { Vec::new() };
        assert_eq!(actions, expected, "{number}");
    }
    // A departed replica that neither responds nor refuses is assumed to have stopped after a
    // minute, like an instance without heartbeats.
    let mut failover = begin_steady(&snapshot, now);
    assert_eq!(failover.tick(&snapshot, now), []);
    for (after, asked) in [(59_900, "c"), (60_000, "a")] {
        assert_eq!(
            failover.tick(&snapshot, now.plus(after)),
            [send(asked, DatabaseRequest::Describe)]
        );
    }
}

/// Guards against late responses to an earlier attempt, or to an earlier leader with the same
/// attempt number.
#[test]
#[expect(clippy::too_many_lines, reason = "one scenario, told in order")]
fn a_response_counts_only_for_its_attempt_and_database() {
    let now = Tick(50_000);
    let snapshot = snapshot();
    let steady = begin_steady(&snapshot, now);
    let mut suspected = steady.clone();
    suspected.report_suspicion(
        &snapshot,
        &"n1".into(),
        &"a".into(),
        SuspicionReason::ConnectionsBroken,
        now,
    );
    let mut fencing = steady.clone();
    report_lost(&mut fencing, &snapshot, now);
    let mut chosen = fencing.clone();
    respond(&mut chosen, &snapshot, "b", PAUSE, 7, now);
    respond(&mut chosen, &snapshot, "c", PAUSE, 9, now);
    let record = PrimaryRecord { term: DbTerm(1), primary: "a".into(), intent: Some("c".into()) };
    let promoting_snapshot = ServiceSnapshot { primary_record: Some(record), ..snapshot.clone() };
    let mut promoting = chosen.clone();
    assert_eq!(promoting.tick(&promoting_snapshot, now), [FailoverAction::Promote("c".into())]);
    let other_attempts = |own: Attempt| {
        [
            Attempt { number: own.number - 1, ..own },
            Attempt { number: own.number + 1, ..own },
            Attempt { raft_term: Term(own.raft_term.0 - 1), ..own },
            Attempt { raft_term: Term(own.raft_term.0 + 1), ..own },
        ]
    };
    // (the failover, the database, the request, the response)
    let cases = [
        (&suspected, "a", DatabaseRequest::Describe, DatabaseResponse::ConnectionRefused),
        (&suspected, "a", DatabaseRequest::Describe, description(true, at(7))),
        (&suspected, "a", DatabaseRequest::Describe, DatabaseResponse::Connected),
        (&fencing, "a", DatabaseRequest::Describe, description(true, at(7))),
        (&fencing, "c", PAUSE, description(false, at(9))),
        (&fencing, "c", DatabaseRequest::Describe, description(false, at(9))),
    ];
    for (initial, id, request, response) in &cases {
        for attempt in other_attempts(initial.attempt) {
            let mut failover = (*initial).clone();
            let actions = failover.handle_response(
                &snapshot,
                attempt,
                &(*id).into(),
                *request,
                response,
                now,
            );
            assert_eq!(
                (actions, &failover.state),
                (vec![], &initial.state),
                "{attempt:?} {request:?} {response:?}"
            );
        }
        let mut failover = (*initial).clone();
        failover.handle_response(
            &snapshot,
            failover.attempt,
            &(*id).into(),
            *request,
            response,
            now,
        );
        assert_ne!(
            failover.state, initial.state,
            "a response to the current attempt is accepted: {request:?} {response:?}"
        );
    }
    for outcome in [
        PromotionResponse::NotRunning,
        PromotionResponse::Accepted,
        PromotionResponse::Unknown,
        PromotionResponse::NotAttempted,
    ] {
        for attempt in other_attempts(promoting.attempt) {
            let mut failover = promoting.clone();
            let actions = failover.handle_promotion_response(
                &promoting_snapshot,
                attempt,
                &"c".into(),
                outcome,
                now,
            );
            assert_eq!(
                (actions, &failover.state),
                (vec![], &promoting.state),
                "{attempt:?} {outcome:?}"
            );
        }
        let mut failover = promoting.clone();
        let actions = failover.handle_promotion_response(
            &promoting_snapshot,
            failover.attempt,
            &"b".into(),
            outcome,
            now,
        );
        assert_eq!(
            (actions, &failover.state),
            (vec![], &promoting.state),
            "response about another database: {outcome:?}"
        );
    }
}

#[test]
fn a_request_is_completed_only_by_a_response_to_this_leader() {
    let (snapshot, now) = (snapshot(), Tick(50_000));
    // (the Raft term of the response with which `c` confirms its resumption, whether `c` may be
    // paused)
    for (raft_term, completed) in [(2, false), (3, true), (4, false)] {
        let (mut failover, _) = Failover::begin(&snapshot, now);
        respond(&mut failover, &snapshot, "b", DatabaseRequest::Continue, 7, now);
        let attempt = Attempt { raft_term: Term(raft_term), ..failover.attempt };
        failover.handle_response(
            &snapshot,
            attempt,
            &"c".into(),
            DatabaseRequest::Continue,
            &description(false, at(7)),
            now,
        );
        let paused = report_lost(&mut failover, &snapshot, now.plus(10));
        assert_eq!(paused.contains(&send("c", PAUSE)), completed, "term {raft_term}");
    }
}

#[test]
fn a_replica_resumed_again_is_asked_until_it_answers_the_new_request() {
    let (snapshot, now) = (snapshot(), Tick(50_000));
    // (whether the response belongs to the current attempt, whether `c` is asked again)
    for (is_current, again) in [(false, true), (true, false)] {
        let (mut failover, _) = Failover::begin(&snapshot, now);
        let first = failover.attempt;
        respond(&mut failover, &snapshot, "b", DatabaseRequest::Continue, 7, now);
        let now = now.plus(3_100);
        assert_eq!(
            report_lost(&mut failover, &snapshot, now),
            [send("b", PAUSE), send("c", PAUSE)]
        );
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
            &description(true, at(7)),
            now,
        );
        respond(&mut failover, &snapshot, "b", DatabaseRequest::Continue, 7, now);
        let attempt = if is_current { failover.attempt } else { first };
        failover.handle_response(
            &snapshot,
            attempt,
            &"c".into(),
            DatabaseRequest::Continue,
            &description(false, at(7)),
            now,
        );
        let expected = if again { vec![send("c", DatabaseRequest::Continue)] } else { Vec::new() };
        assert_eq!(failover.tick(&snapshot, now.plus(1_100)), expected, "{is_current}");
    }
}

#[test]
fn a_later_call_has_a_higher_fencing_token() {
    let attempt = |raft_term, number| Attempt { raft_term: Term(raft_term), number };
    // Each token is above the one before. Attempt numbers beyond the bits of the token are capped.
    let attempts = [(1, 0), (1, 1), (1, 7), (1, (1 << 20) - 1), (2, 0), (2, 1), (9, 0)];
    for pair in attempts.windows(2) {
        let [low, high] = [pair[0], pair[1]]
            .map(|(raft_term, number)| attempt(raft_term, number).fencing_token());
        assert!(low < high, "{pair:?}");
    }
    for number in [1 << 20, (1 << 20) + 5, 1 << 40, u64::MAX] {
        assert!(attempt(1, number).fencing_token() < attempt(2, 0).fencing_token(), "{number}");
        assert!(attempt(1, number).fencing_token() > attempt(1, 7).fencing_token(), "{number}");
    }
}
