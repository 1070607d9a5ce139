//! Replicas under several losses: which answers count, and which replica may hold the only copy of
//! a commit.
use silvertack::base::ids::{DbTerm, InstanceId, Position, ServiceName, Term};
use silvertack::base::time::Tick;
use silvertack::config::directory::{Instance, Lifecycle, Role};
use silvertack::failover::{
    Attempt, DatabaseRequest, DatabaseResponse, Failover, FailoverAction, FailoverState,
    LeaseStatus, PromotionResponse, ServiceSnapshot,
};
use silvertack::leases::passed_on::{PassedOn, UnreportedCommits};
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
/// A service with primary `a` in term 1 and replicas `b` and `c`. No lease is in use; how far poolers
/// passed on commits is not known.
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
        passed_on: PassedOn::default(),
    }
}
fn row(primary: bool, received: Position) -> DatabaseResponse {
    DatabaseResponse::Description(ServerDescription { primary, term: DbTerm(1), received })
}
fn ask(id: &str, ask: DatabaseRequest) -> FailoverAction {
    FailoverAction::SendRequest(id.into(), ask)
}
const PAUSE: DatabaseRequest = DatabaseRequest::Pause(DbTerm(2));

/// The primary is doubted and refuses; gives what is asked of the replicas.
fn report_lost(s: &mut Failover, snapshot: &ServiceSnapshot, now: Tick) -> Vec<FailoverAction> {
    s.report_suspicion(
        snapshot,
        &"n1".into(),
        &"a".into(),
        SuspicionReason::ConnectionsBroken,
        now,
    );
    let actions = s.handle_response(
        snapshot,
        s.attempt,
        &"a".into(),
        DatabaseRequest::Describe,
        &DatabaseResponse::Unavailable,
        now,
    );
    assert_eq!(actions[0], FailoverAction::RevokeLeases(DbTerm(1)));
    actions[1..].to_vec()
}
fn tell(
    s: &mut Failover,
    snapshot: &ServiceSnapshot,
    id: &str,
    ask: DatabaseRequest,
    number: u64,
    now: Tick,
) -> Vec<FailoverAction> {
    s.handle_response(snapshot, s.attempt, &id.into(), ask, &row(false, at(number)), now)
}
fn begin_steady(snapshot: &ServiceSnapshot, now: Tick) -> Failover {
    let (mut s, _) = Failover::begin(snapshot, now);
    for id in ["b", "c"] {
        tell(&mut s, snapshot, id, DatabaseRequest::Continue, 7, now);
    }
    s
}

#[test]
fn a_pause_of_an_earlier_attempt_says_nothing_about_this_one() {
    let (snapshot, now) = (snapshot(), Tick(50_000));
    let mut s = begin_steady(&snapshot, now);
    report_lost(&mut s, &snapshot, now);
    let first = s.attempt;
    tell(&mut s, &snapshot, "b", PAUSE, 7, now);
    // The alarm was false: both go on, and receive what is committed from here on.
    s.handle_response(
        &snapshot,
        first,
        &"a".into(),
        DatabaseRequest::Describe,
        &row(true, at(7)),
        now,
    );
    assert_eq!(s.state, FailoverState::Steady);
    let later = now.plus(2_000);
    for id in ["b", "c"] {
        s.handle_response(
            &snapshot,
            first,
            &id.into(),
            DatabaseRequest::Continue,
            &row(false, at(7)),
            later,
        );
    }
    assert_eq!(report_lost(&mut s, &snapshot, later), [ask("b", PAUSE), ask("c", PAUSE)]);
    tell(&mut s, &snapshot, "b", PAUSE, 9, later);
    // The answer of `c` to the first attempt comes now; it may have received more since.
    let late = s.handle_response(&snapshot, first, &"c".into(), PAUSE, &row(false, at(7)), later);
    assert_eq!(late, [], "of an attempt that was called off");
    let chosen = tell(&mut s, &snapshot, "c", PAUSE, 11, later);
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
fn a_request_that_is_under_way_is_overtaken_by_no_other() {
    let (snapshot, now) = (snapshot(), Tick(50_000));
    let (mut s, _) = Failover::begin(&snapshot, now);
    tell(&mut s, &snapshot, "b", DatabaseRequest::Continue, 7, now);
    // `c` may still be let go by what is on its way: paused now, it would go on unseen.
    assert_eq!(report_lost(&mut s, &snapshot, now.plus(10)), [ask("b", PAUSE)]);
    assert!(!s.tick(&snapshot, now.plus(500)).contains(&ask("c", PAUSE)));
    for (response, after, asked) in [
        (Some(row(false, at(7))), 600, vec![ask("c", PAUSE)]),
        (Some(DatabaseResponse::Unavailable), 600, vec![ask("c", PAUSE)]),
        (Some(DatabaseResponse::TimedOut), 600, vec![]),
        (None, 3_100, vec![ask("b", PAUSE), ask("c", PAUSE)]),
    ] {
        let (mut s, now) = (s.clone(), now.plus(after));
        let mut actions = match &response {
            Some(response) => s.handle_response(
                &snapshot,
                s.attempt,
                &"c".into(),
                DatabaseRequest::Continue,
                response,
                now,
            ),
            None => s.tick(&snapshot, now),
        };
        actions.retain(|action| {
            matches!(action, FailoverAction::SendRequest(_, DatabaseRequest::Pause(_)))
        });
        assert_eq!(actions, asked, "{response:?}");
    }
    // The other way round: `c` is not taken for let go while its pause may still come.
    tell(&mut s, &snapshot, "c", DatabaseRequest::Continue, 7, now.plus(600));
    s.handle_response(
        &snapshot,
        s.attempt,
        &"a".into(),
        DatabaseRequest::Describe,
        &row(true, at(7)),
        now.plus(610),
    );
    tell(&mut s, &snapshot, "c", DatabaseRequest::Continue, 7, now.plus(620));
    assert!(s.tick(&snapshot, now.plus(1_700)).contains(&ask("c", DatabaseRequest::Continue)));
    tell(&mut s, &snapshot, "c", PAUSE, 7, now.plus(1_710));
    tell(&mut s, &snapshot, "c", DatabaseRequest::Continue, 7, now.plus(1_720));
    assert!(!s.tick(&snapshot, now.plus(2_800)).contains(&ask("c", DatabaseRequest::Continue)));
}

#[test]
fn a_call_is_answered_by_its_own_answer_and_has_a_fencing_token_of_its_own() {
    let (mut snapshot, now) = (snapshot(), Tick(50_000));
    let mut s = begin_steady(&snapshot, now);
    report_lost(&mut s, &snapshot, now);
    tell(&mut s, &snapshot, "b", PAUSE, 7, now);
    tell(&mut s, &snapshot, "c", PAUSE, 9, now);
    let record_intent = |snapshot: &mut ServiceSnapshot, target: Option<&str>| {
        let intent = target.map(InstanceId::from);
        snapshot.primary_record =
            Some(PrimaryRecord { term: DbTerm(1), primary: "a".into(), intent });
    };
    record_intent(&mut snapshot, Some("c"));
    assert_eq!(s.tick(&snapshot, now), [FailoverAction::Promote("c".into())]);
    let first = s.attempt;
    // Its outcome was never heard here, so it may have taken effect; it is made again.
    let again = now.plus(3_100);
    assert!(s.tick(&snapshot, again).contains(&FailoverAction::Promote("c".into())));
    assert!(s.attempt.fencing_token() > first.fencing_token());
    // The refusal of the first call comes late: the second is under way, and settles nothing yet.
    for (attempt, after) in [(first, 10), (s.attempt, 20), (first, 5_000)] {
        let actions = s.handle_promotion_response(
            &snapshot,
            attempt,
            &"c".into(),
            PromotionResponse::NotRunning,
            again.plus(after),
        );
        assert_eq!(actions, [], "{attempt:?}");
    }
    let actions = s.handle_promotion_response(
        &snapshot,
        s.attempt,
        &"c".into(),
        PromotionResponse::NotRunning,
        again.plus(5_000),
    );
    assert!(matches!(actions[..], [FailoverAction::Propose(Command::AbandonFailover { .. })]));
    let before = s.attempt;
    record_intent(&mut snapshot, None);
    s.tick(&snapshot, again.plus(5_010));
    // Another leader's are above all of these.
    let next = Attempt { raft_term: Term(4), number: 0 };
    assert!(
        before.fencing_token() < s.attempt.fencing_token()
            && s.attempt.fencing_token() < next.fencing_token()
    );
}

fn propose_intent(target: &str) -> FailoverAction {
    let (service, target) = ("s".into(), target.into());
    FailoverAction::Propose(Command::BeginFailover { service, term: DbTerm(1), target })
}
/// `c` has left.
fn without_c(snapshot: &ServiceSnapshot) -> ServiceSnapshot {
    let mut snapshot = snapshot.clone();
    snapshot.databases.retain(|(id, _)| *id != "c".into());
    snapshot.alive.remove(&"c".into());
    snapshot.departed.insert("c".into(), u64::MAX);
    snapshot
}

#[test]
fn a_replica_that_left_counts_as_one_that_does_not_answer() {
    let now = Tick(50_000);
    // `b` has 7. How far `c` was when it was paused in this attempt, if it was; what the poolers
    // vouch for; synchronous replicas; whether `b` may take over.
    let table = [
        (None, None, 1, false),
        (None, Some(Some(at(8))), 1, false),
        (None, Some(Some(at(7))), 1, true),
        (None, None, 2, true),
        (Some(7), None, 1, true),
        (Some(8), None, 1, false),
        (Some(8), Some(Some(at(7))), 1, true),
    ];
    for (paused, reported, sync_replicas, may) in table {
        let listed = ServiceSnapshot { sync_replicas, ..snapshot() };
        let passed_on = reported.map_or_else(PassedOn::default, |reported| PassedOn {
            reported,
            unreported: UnreportedCommits::Nothing,
        });
        let left = ServiceSnapshot { passed_on, ..without_c(&listed) };
        let mut s = begin_steady(&listed, now);
        let fence = |asked: &[&str]| asked.iter().map(|id| ask(id, PAUSE)).collect::<Vec<_>>();
        match paused {
            Some(number) => {
                assert_eq!(report_lost(&mut s, &listed, now), fence(&["b", "c"]));
                assert_eq!(tell(&mut s, &listed, "c", PAUSE, number, now), []);
            }
            None => {
                // The departed one may still run: it is asked, though it can't be promoted.
                let asked = [ask("b", PAUSE), ask("c", DatabaseRequest::Describe)];
                assert_eq!(report_lost(&mut s, &left, now), asked);
            }
        }
        let mut actions = tell(&mut s, &left, "b", PAUSE, 7, now);
        if actions.is_empty() {
            actions = s.tick(&left, now.plus(320));
        }
        let expected = if may { vec![propose_intent("b")] } else { Vec::new() };
        assert_eq!(actions, expected, "{paused:?} {reported:?} {sync_replicas}");
    }
}

/// `c` receives, and is waited for, until it has ended: for 20 s it is asked whether it still runs, and
/// answers, is busy or silent.
fn serves_on(s: &mut Failover, snapshot: &ServiceSnapshot, now: Tick) {
    for after in (100..20_100).step_by(100) {
        let now = now.plus(after);
        let due = if after % 500 == 100 && after > 500 {
            vec![ask("c", DatabaseRequest::Describe)]
        } else {
            vec![]
        };
        assert_eq!(s.tick(snapshot, now), due, "after {after}");
        let answer = match after {
            1_100 => row(false, at(9)),
            1_600 => DatabaseResponse::NoDescription,
            2_100 => DatabaseResponse::Connected,
            _ => DatabaseResponse::TimedOut,
        };
        if !due.is_empty() {
            let (c, asked) = ("c".into(), DatabaseRequest::Describe);
            assert_eq!(s.handle_response(snapshot, s.attempt, &c, asked, &answer, now), []);
        }
    }
}

#[test]
fn a_departed_replica_check_takes_few_requests() {
    let (snapshot, now) = (without_c(&snapshot()), Tick(50_000));
    let mut s = begin_steady(&snapshot, now);
    let describe = |id| ask(id, DatabaseRequest::Describe);
    serves_on(&mut s, &snapshot, now);
    // It refuses: it has ended.
    let now = now.plus(20_600);
    assert_eq!(s.tick(&snapshot, now), [describe("c")]);
    let (refused, asked) = (DatabaseResponse::Unavailable, DatabaseRequest::Describe);
    s.handle_response(&snapshot, s.attempt, &"c".into(), asked, &refused, now);
    assert_eq!(s.tick(&snapshot, now), [describe("a")]);
    // `b` has not said it since the primary did.
    assert_eq!(tell(&mut s, &snapshot, "b", DatabaseRequest::Describe, 9, now), []);
    let before = Attempt { number: s.attempt.number - 1, ..s.attempt };
    let primary = row(true, at(9));
    assert_eq!(
        s.handle_response(&snapshot, before, &"a".into(), DatabaseRequest::Describe, &primary, now),
        []
    );
    assert_eq!(
        s.handle_response(
            &snapshot,
            s.attempt,
            &"a".into(),
            DatabaseRequest::Describe,
            &primary,
            now
        ),
        [describe("b")]
    );
    assert_eq!(tell(&mut s, &snapshot, "b", DatabaseRequest::Describe, 8, now), []);
    assert_eq!(s.tick(&snapshot, now.plus(300)), []);
    assert_eq!(s.tick(&snapshot, now.plus(500)), [describe("b")]);
    let actions = tell(&mut s.clone(), &snapshot, "b", DatabaseRequest::Describe, 9, now.plus(510));
    let covered =
        Command::ForgetDeparted { service: "s".into(), departed: snapshot.departed.clone() };
    assert_eq!(actions, [FailoverAction::Propose(covered)]);
    // A replica that never gets there is asked ever more rarely.
    let mut asked = 0;
    for after in (600..60_000).step_by(100) {
        for action in s.tick(&snapshot, now.plus(after)) {
            asked += 1;
            if action == describe("a") {
                let actions = s.handle_response(
                    &snapshot,
                    s.attempt,
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
fn a_planned_change_needs_nothing_of_what_left_and_pauses_whoever_comes() {
    let now = Tick(50_000);
    let mut all = snapshot();
    all.databases[0].1.lifecycle_state = Lifecycle::Draining;
    let left = without_c(&all);
    let mut s = begin_steady(&left, now);
    let actions = s.tick(&left, now.plus(100));
    assert!(matches!(actions[..], [FailoverAction::HandOver(_)]), "{actions:?}");
    // One that comes in the meantime.
    assert_eq!(s.tick(&all, now.plus(220)), [ask("c", PAUSE)]);
    tell(&mut s, &all, "c", PAUSE, 9, now.plus(230));
    all.all_poolers_confirmed = true;
    all.passed_on = PassedOn { reported: Some(at(9)), unreported: UnreportedCommits::Nothing };
    assert_eq!(s.tick(&all, now.plus(235)), [ask("b", DatabaseRequest::Describe)]);
    assert_eq!(
        tell(&mut s, &all, "b", DatabaseRequest::Describe, 9, now.plus(240)),
        [propose_intent("b")]
    );
    all.databases.push(("d".into(), database(Role::Replica)));
    assert_eq!(s.tick(&all, now.plus(250)), [ask("d", PAUSE)]);
    let lead =
        all.primary_record.take().map(|lead| PrimaryRecord { intent: Some("b".into()), ..lead });
    all.primary_record = lead;
    assert_eq!(s.tick(&all, now.plus(260)), [FailoverAction::Promote("b".into())]);
    all.databases.push(("e".into(), database(Role::Replica)));
    assert_eq!(s.tick(&all, now.plus(270)), [ask("e", PAUSE)]);
    let (_, actions) = Failover::begin(&all, now.plus(280));
    let paused = ["c", "d", "e"].map(|id| ask(id, PAUSE));
    assert_eq!(actions[1..4], paused, "another leader can't know who was");
}

#[test]
fn an_intent_that_comes_into_force_late_is_finished_by_whoever_leads() {
    let now = Tick(50_000);
    let target = |snapshot: &ServiceSnapshot, id: &str| {
        let primary_record = snapshot
            .primary_record
            .clone()
            .map(|lead| PrimaryRecord { intent: Some(id.into()), ..lead });
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
    let mut intending = fencing.clone();
    tell(&mut intending, &snapshot, "b", PAUSE, 7, now);
    assert_eq!(tell(&mut intending, &snapshot, "c", PAUSE, 9, now), [propose_intent("c")]);
    // The stage that this leader had come to, and whether it had paused `c` itself.
    for (mut s, paused) in
        [(steady, false), (suspected, false), (fencing.clone(), true), (intending, true)]
    {
        let actions = s.tick(&target(&snapshot, "b"), now.plus(100));
        let pause = (!paused).then(|| ask("c", PAUSE));
        let expected = [FailoverAction::RevokeLeases(DbTerm(1))].into_iter().chain(pause);
        let expected: Vec<_> = expected.chain([FailoverAction::Promote("b".into())]).collect();
        assert_eq!(actions, expected, "{paused}");
    }
    // Its call has taken effect already, and a lease on the old term is in use.
    let snapshot = ServiceSnapshot { leases_expired: false, ..snapshot };
    let newer = DatabaseResponse::Description(ServerDescription {
        primary: true,
        term: DbTerm(2),
        received: at(9),
    });
    let actions =
        fencing.handle_response(&snapshot, fencing.attempt, &"b".into(), PAUSE, &newer, now);
    assert_eq!(actions, [ask("a", DatabaseRequest::StepDown(DbTerm(2)))]);
    assert!(matches!(fencing.state, FailoverState::AwaitingLeaseExpiry { .. }));
}

/// The state with a lead, and how a database comes and goes.
fn state_machine() -> StateMachine {
    let mut state_machine = StateMachine::default();
    state_machine.apply(&Command::SetPrimary {
        service: "s".into(),
        term: DbTerm(1),
        primary: "a".into(),
    });
    state_machine
}
fn comes(id: &str, sequence: u64) -> Command {
    Command::Heartbeat { id: id.into(), instance: database(Role::Replica), sequence }
}
fn goes(id: &str, sequence: u64) -> Command {
    Command::RemoveInstance { id: id.into(), sequence }
}

#[test]
fn who_left_is_kept_until_others_have_what_it_had() {
    let s = ServiceName::from("s");
    let departed = |state_machine: &StateMachine| {
        state_machine.departed_replicas(&s).into_iter().collect::<Vec<_>>()
    };
    let covered = |pairs: &[(&str, u64)]| {
        let departed = pairs.iter().map(|(id, last)| (InstanceId::from(*id), *last)).collect();
        Command::ForgetDeparted { service: s.clone(), departed }
    };
    let mut state_machine = state_machine();
    for change in [comes("a", 1), comes("b", 3), comes("c", 4), goes("b", u64::MAX), goes("c", 0)] {
        assert_eq!(state_machine.apply(&change), CommandOutcome::Applied);
    }
    assert_eq!(departed(&state_machine), [("b".into(), u64::MAX), ("c".into(), 4)]);
    // Another leader has it from a snapshot.
    state_machine = StateMachine::from_snapshot(&pack(&state_machine)).expect("as it was packed");
    // `c` comes back and leaves with more, while others were found to have what it had before.
    state_machine.apply(&comes("c", 8));
    assert_eq!(departed(&state_machine), [("b".into(), u64::MAX)]);
    state_machine.apply(&goes("c", 0));
    state_machine.apply(&covered(&[("b", u64::MAX), ("c", 4)]));
    assert_eq!(departed(&state_machine), [("c".into(), 8)]);
    // The primary's log is known to be missing; once another leads, it may be missed.
    state_machine.apply(&goes("a", u64::MAX));
    assert_eq!(departed(&state_machine), [("c".into(), 8)]);
    state_machine.apply(&Command::SetPrimary {
        service: s.clone(),
        term: DbTerm(2),
        primary: "d".into(),
    });
    assert_eq!(departed(&state_machine), [("a".into(), u64::MAX), ("c".into(), 8)]);
    state_machine.apply(&covered(&[("a", u64::MAX), ("c", 8)]));
    assert_eq!(
        (departed(&state_machine), state_machine.apply(&covered(&[]))),
        (vec![], CommandOutcome::NoChange)
    );
}

#[test]
fn a_primary_that_returns_under_another_id_is_known_again() {
    let (mut snapshot, now) = (snapshot(), Tick(50_000));
    let mut s = begin_steady(&snapshot, now);
    report_lost(&mut s, &snapshot, now);
    tell(&mut s, &snapshot, "b", PAUSE, 7, now);
    snapshot.databases.push(("d".into(), database(Role::Primary)));
    assert!(s.tick(&snapshot, now.plus(500)).contains(&ask("d", PAUSE)));
    let answer = |term| {
        DatabaseResponse::Description(ServerDescription {
            primary: true,
            term: DbTerm(term),
            received: at(9),
        })
    };
    // One of an older term has not stepped down yet, and is no copy that a pause holds.
    let older = s.clone().handle_response(
        &snapshot,
        s.attempt,
        &"d".into(),
        PAUSE,
        &answer(0),
        now.plus(510),
    );
    assert_eq!(older, [ask("d", DatabaseRequest::StepDown(DbTerm(1)))]);
    let actions =
        s.handle_response(&snapshot, s.attempt, &"d".into(), PAUSE, &answer(1), now.plus(510));
    let (service, primary) = (ServiceName::from("s"), InstanceId::from("d"));
    let returned = Command::PrimaryReturned { service, term: DbTerm(1), primary };
    assert_eq!(actions, [FailoverAction::Propose(returned.clone())]);
    let mut state_machine = state_machine();
    for change in [comes("a", 1), comes("d", 1)] {
        state_machine.apply(&change);
    }
    assert_eq!(state_machine.apply(&returned), CommandOutcome::Applied);
    assert!(
        state_machine.departed_replicas(&"s".into()).is_empty()
            && !state_machine.instances().contains_key(&"a".into())
    );
    assert_eq!(state_machine.apply(&comes("a", 9)), CommandOutcome::NoChange);
    snapshot.primary_record = state_machine.primaries().get(&"s".into()).cloned();
    snapshot.databases.remove(0);
    assert!(s.tick(&snapshot, now.plus(1_000)).contains(&ask("d", DatabaseRequest::Describe)));
    let actions = s.handle_response(
        &snapshot,
        s.attempt,
        &"d".into(),
        DatabaseRequest::Describe,
        &answer(1),
        now.plus(1_010),
    );
    assert!(
        s.state == FailoverState::Steady && actions.contains(&ask("b", DatabaseRequest::Continue)),
        "{actions:?}"
    );
}

#[test]
fn a_late_beat_brings_nobody_back_after_many_departures() {
    let mut state_machine = state_machine();
    for i in 0..1_000 {
        state_machine.apply(&comes(&format!("d{i}"), 5));
        state_machine.apply(&goes(&format!("d{i}"), u64::MAX));
    }
    let bytes = pack(&state_machine);
    for mut state_machine in
        [state_machine, StateMachine::from_snapshot(&bytes).expect("as it was packed")]
    {
        for i in 0..1_000 {
            assert_eq!(
                state_machine.apply(&comes(&format!("d{i}"), 6)),
                CommandOutcome::NoChange,
                "d{i}"
            );
        }
    }
    assert!(bytes.len() < 30_000, "{}", bytes.len());
}

#[test]
fn a_state_of_before_is_read() {
    // As it was laid out: body, revision, taken, instances, gone, leads.
    let lead = PrimaryRecord { term: DbTerm(1), primary: "a".into(), intent: None };
    let gone = [("x".to_owned(), 7_u64), ("y".to_owned(), 2), ("x".to_owned(), 9)];
    let (body, revision, taken) =
        (serde_bytes::ByteBuf::new(), 0, BTreeMap::<u64, (u64, u64)>::new());
    let instances = BTreeMap::<String, (Instance, u64)>::new();
    let leads = BTreeMap::from([("s", &lead)]);
    let bytes = pack(&(body, revision, taken, instances, gone, leads));
    let state_machine = StateMachine::from_snapshot(&bytes).expect("read");
    assert_eq!(state_machine.primaries()[&"s".into()], lead);
    assert!(state_machine.departed_replicas(&"s".into()).is_empty());
    for (id, sequence, news) in [("x", 9, false), ("x", 10, true), ("y", 2, false)] {
        assert_eq!(
            state_machine.accepts_heartbeat(&id.into(), &database(Role::Replica), sequence),
            news,
            "{id}"
        );
    }
    // An entry names its kind, so that new ones leave the others as they were.
    assert_eq!(pack(&goes("x", 9)), b"\x81\xa4Gone\x92\xa1x\x09");
}

// ---------------------------------------------------------------------------------------------
// A service of simulated databases

/// Draws the same numbers for the same seed.
struct Dice(u64);
impl Dice {
    fn below(&mut self, n: u64) -> u64 {
        self.0 =
            self.0.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        (self.0 >> 33) % n
    }
    fn once_in(&mut self, n: u64) -> bool {
        self.below(n) == 0
    }
}

#[derive(Clone)]
struct Node {
    /// The term of each commit that it received.
    log: Vec<u64>,
    alive: bool,
    /// Until it has fetched the log it is no replica.
    fetching: Tick,
    /// It receives nothing from the primary; the leader's questions do not reach it.
    deaf: bool,
    dark: bool,
    paused: bool,
    sequence: u64,
    draining: bool,
    /// It said goodbye, and ends then.
    ends: Option<Tick>,
    died: Option<Tick>,
}
impl Node {
    fn received(&self) -> Position {
        let term = self.log.last().copied().unwrap_or(0);
        Position { term: DbTerm(term), number: self.log.len() as u64 }
    }
}

/// What the one pooler may do, by what it has heard of the leader.
#[derive(Clone, Debug, PartialEq)]
enum Lease {
    InUse,
    /// It passes on only commits that the target has.
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

/// What the platform knows, databases with their logs, and a leader that sees only what it is told.
struct Service {
    dice: Dice,
    now: Tick,
    nodes: BTreeMap<InstanceId, Node>,
    primary: InstanceId,
    term: u64,
    sync: usize,
    /// Commits that the pooler passed on, as (position in the log, term).
    acknowledged: BTreeSet<(usize, u64)>,
    lease: Lease,
    /// What it was last sent.
    lease_sent: Lease,
    /// Whether the leader hears what the pooler passed on; if not, its lease ends by itself.
    reports: bool,
    state_machine: StateMachine,
    failover: Failover,
    raft_term: u64,
    due: Vec<(Tick, Due)>,
    joined: u64,
    promoted: usize,
    covered: usize,
    asked: usize,
    history: Vec<String>,
}

impl Service {
    fn new(seed: u64, sync: usize, replicas: usize) -> Self {
        let snapshot =
            ServiceSnapshot { primary_record: None, databases: Vec::new(), ..snapshot() };
        let mut this = Self {
            dice: Dice(seed),
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
            failover: Failover::begin(&snapshot, Tick(50_000)).0,
            raft_term: 1,
            due: Vec::new(),
            joined: 0,
            promoted: 0,
            covered: 0,
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
                // Some receive, and count, before the leader knows them.
                fetching: self.now.plus(self.dice.below(2) * 600),
                deaf: false,
                dark: false,
                paused: false,
                sequence: 0,
                draining: false,
                ends: None,
                died: None,
            },
        );
        self.record(format!("{id} joins"));
        if self.now == Tick(50_000) {
            self.heartbeat(&id);
        } else {
            let first_heartbeat = self.now.plus(self.dice.below(3_000));
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
            self.step(|s, snapshot| s.handle_heartbeat(snapshot, id, Role::Primary, now));
        }
    }
    fn gone(&mut self, id: &InstanceId, sequence: u64) {
        self.record(format!("{id} is gone"));
        self.state_machine.apply(&Command::RemoveInstance { id: id.clone(), sequence });
    }
    fn snapshot(&self) -> ServiceSnapshot {
        let there = |id: &&InstanceId| self.nodes[*id].alive && !self.nodes[*id].dark;
        let listed = self.state_machine.instances().iter();
        ServiceSnapshot {
            raft_term: Term(self.raft_term),
            primary_record: self.state_machine.primaries().get(&"s".into()).cloned(),
            databases: listed.map(|(id, r)| (id.clone(), r.instance.clone())).collect(),
            departed: self.state_machine.departed_replicas(&"s".into()),
            alive: self.state_machine.instances().keys().filter(there).cloned().collect(),
            sync_replicas: self.sync as u32,
            leases_expired: self.known_lease() == Some(&Lease::Revoked),
            all_poolers_confirmed: self.confirms(),
            passed_on: self.passed_on(),
            ..snapshot()
        }
    }
    /// Whether the pooler passes on nothing that the target of the handover under way lacks.
    fn confirms(&self) -> bool {
        match self.known_lease() {
            None | Some(Lease::InUse) => false,
            Some(Lease::HandingOver(handover)) => self.failover.handover.as_ref() == Some(handover),
            Some(Lease::Revoked) => true,
        }
    }
    /// What the leader knows the pooler to hold: nothing that it sent is under way.
    fn known_lease(&self) -> Option<&Lease> {
        let under_way = self.due.iter().any(|(_, due)| matches!(due, Due::Lease(_)));
        (!under_way).then_some(&self.lease)
    }
    fn passed_on(&self) -> PassedOn {
        if !self.reports || !self.confirms() {
            return PassedOn::default();
        }
        let last = self.acknowledged.last();
        let reported =
            last.map(|(place, term)| Position { term: DbTerm(*term), number: *place as u64 + 1 });
        PassedOn { reported, unreported: UnreportedCommits::Nothing }
    }
    /// Has the pooler told what the leader now grants; it hears of it some time later.
    fn grant_leases(&mut self) {
        let granted = match self.failover.lease_status() {
            LeaseStatus { revoking: true, .. } => Lease::Revoked,
            LeaseStatus { handover: Some(handover), .. } => Lease::HandingOver(handover),
            LeaseStatus { .. } => Lease::InUse,
        };
        if granted != self.lease_sent {
            self.lease_sent = granted.clone();
            // One that reports nothing is out of touch, and its lease ends by itself. What is sent on a
            // connection arrives in the order in which it was sent.
            let after = if self.reports { 1 + self.dice.below(30) } else { 1_000 };
            let earlier = self.due.iter().filter(|(_, due)| matches!(due, Due::Lease(_)));
            let at = earlier.map(|(at, _)| at.plus(1)).max().unwrap_or(self.now);
            self.due.push((at.max(self.now.plus(after)), Due::Lease(granted)));
        }
    }
    fn elect_leader(&mut self) {
        self.raft_term += 1;
        self.record("another controller leads".into());
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
                FailoverAction::SendRequest(id, ask) => {
                    self.asked += 1;
                    // Now and then one is held up on its way.
                    let held = if self.dice.once_in(10) { 900 } else { 30 };
                    let at = self.now.plus(1 + self.dice.below(held));
                    self.due.push((at, Due::DatabaseRequest(id, ask, attempt)));
                }
                FailoverAction::Promote(id) => {
                    self.due.push((self.now.plus(200), Due::Promotion(id, attempt)))
                }
                FailoverAction::Propose(change) => {
                    self.record(format!("{change:?}"));
                    self.covered += usize::from(matches!(change, Command::ForgetDeparted { .. }));
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
                self.record(format!("the pooler hears {lease:?}"));
                self.lease = lease;
            }
            Due::Heartbeat(id) => self.heartbeat(&id),
            Due::DatabaseRequest(id, ask, attempt) => {
                let (leads, term) = (id == self.primary, DbTerm(self.term));
                let node = self.nodes.get_mut(&id).expect("known");
                let response = match node {
                    Node { alive: false, .. } => DatabaseResponse::Unavailable,
                    Node { dark: true, .. } => DatabaseResponse::TimedOut,
                    _ => {
                        node.paused = match ask {
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
                    1 + self.dice.below(30)
                };
                let held = if self.dice.once_in(10) { 1_500 } else { 0 };
                self.due.push((
                    now.plus(wait + held),
                    Due::DatabaseResponse(id, ask, attempt, response),
                ));
            }
            Due::DatabaseResponse(id, ask, attempt, response) => {
                self.step(|s, snapshot| {
                    s.handle_response(snapshot, attempt, &id, ask, &response, now)
                });
            }
            Due::Promotion(id, attempt) => {
                let promotion_response = match self.nodes[&id].alive {
                    true => PromotionResponse::Accepted,
                    false => PromotionResponse::NotRunning,
                };
                if promotion_response == PromotionResponse::Accepted && id != self.primary {
                    self.promote(&id);
                }
                self.due
                    .push((now.plus(20), Due::PromotionResponse(id, attempt, promotion_response)));
            }
            Due::PromotionResponse(id, attempt, promotion_response) => {
                self.step(|s, snapshot| {
                    s.handle_promotion_response(snapshot, attempt, &id, promotion_response, now)
                });
            }
        }
    }
    /// The check of all this: whoever is promoted has everything that was acknowledged.
    fn promote(&mut self, id: &InstanceId) {
        self.record(format!("{id} is promoted"));
        self.promoted += 1;
        let log = self.nodes[id].log.clone();
        let lost = self.acknowledged.iter().find(|(place, term)| log.get(*place) != Some(term));
        assert_eq!(lost, None, "{id} lacks what was acknowledged:\n{}", self.history.join("\n"));
        self.primary = id.clone();
        self.term += 1;
        for (other, node) in &mut self.nodes {
            let agreed = node.log.iter().zip(&log).take_while(|(a, b)| a == b).count();
            node.log.truncate(agreed);
            node.paused &= other != id;
        }
    }
    /// A commit, as far as replicas receive it.
    fn write(&mut self) {
        let Some(primary) = self.nodes.get_mut(&self.primary).filter(|p| p.alive) else {
            return;
        };
        primary.log.push(self.term);
        let log = primary.log.clone();
        let mut reached = Vec::new();
        for (id, node) in &mut self.nodes {
            if *id != self.primary && node.alive {
                if !node.deaf && !node.paused && self.now >= node.fetching {
                    node.log.clone_from(&log);
                }
                reached.push(node.log.len());
            }
        }
        reached.sort_unstable_by(|a, b| b.cmp(a));
        let upto = reached.get(self.sync - 1).copied().unwrap_or(0);
        let upto = match &self.lease {
            Lease::InUse => upto,
            Lease::HandingOver(handover) => {
                let target = &self.nodes[&handover.target];
                let answers = target.alive && !target.dark && handover.target != self.primary;
                if answers { upto.min(target.log.len()) } else { 0 }
            }
            Lease::Revoked => 0,
        };
        // What was acknowledged before is not walked through again.
        let known = self.acknowledged.last().map_or(0, |(place, _)| place + 1);
        self.acknowledged.extend((known..upto).map(|place| (place, log[place])));
    }
    /// Runs for so many milliseconds: events that are due are dispatched in order, and commits go on
    /// in between.
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
                self.step(|s, snapshot| s.tick(snapshot, now));
                let lead = self.state_machine.primaries()[&"s".into()].primary.clone();
                let unheard = !self.nodes[&lead].alive || self.nodes[&lead].dark;
                if unheard {
                    self.step(|s, snapshot| {
                        s.report_suspicion(
                            snapshot,
                            &"n".into(),
                            &lead,
                            SuspicionReason::ConnectionsBroken,
                            now,
                        )
                    });
                }
                if self.nodes[&primary].alive && primary != lead {
                    self.heartbeat(&primary);
                }
            }
            let ended = |n: &Node| n.alive && n.ends.is_some_and(|at| now >= at);
            for node in self.nodes.values_mut().filter(|n| ended(n)) {
                (node.alive, node.died) = (false, Some(now));
            }
        }
    }
    /// Injects a random fault.
    fn inject_fault(&mut self) {
        let (now, draw) = (self.now, self.dice.below(12));
        let listed: Vec<InstanceId> = self.state_machine.instances().keys().cloned().collect();
        if listed.is_empty() {
            return self.join();
        }
        let id = listed[self.dice.below(listed.len() as u64) as usize].clone();
        let leads = id == self.primary;
        let standing = listed.iter().filter(|id| self.nodes[*id].alive).count();
        let sequence = self.nodes[&id].sequence;
        let node = self.nodes.get_mut(&id).expect("known");
        match draw {
            0 | 1 => node.deaf = !node.deaf,
            2 => node.dark = !node.dark,
            3 if standing > 2 => (node.alive, node.died) = (false, Some(now)),
            4 | 5 => {
                (node.alive, node.deaf, node.dark) = (node.ends.is_none(), false, false);
                node.died = node.died.filter(|_| !node.alive);
                node.paused &= node.alive;
            }
            6 if standing > 2 && !leads => {
                // It serves on, and counts, for some seconds.
                node.ends = Some(now.plus(self.dice.below(8_000)));
                self.gone(&id, u64::MAX);
            }
            7 if leads && node.alive => {
                node.draining = true;
                self.heartbeat(&id);
            }
            8 if node.draining && node.alive => {
                node.ends = Some(now.plus(500));
                self.gone(&id, u64::MAX);
            }
            9 if !node.alive && !leads => self.gone(&id, sequence),
            10 if standing < 5 => return self.join(),
            11 => return self.elect_leader(),
            _ => return,
        }
        self.record(format!("{draw} strikes {id}"));
    }
}

#[test]
fn whoever_is_promoted_has_all_that_was_acknowledged() {
    let (mut promoted, mut covered) = (0, 0);
    let seeds = std::env::var("SEEDS").ok().and_then(|n| n.parse().ok()).unwrap_or(150);
    for seed in 0..seeds {
        let sync = 1 + (seed % 2) as usize;
        let mut service = Service::new(seed, sync, sync + 1 + (seed % 3) as usize);
        for _ in 0..60 {
            service.run_for(100 + 20 * (seed % 40));
            service.inject_fault();
        }
        (promoted, covered) = (promoted + service.promoted, covered + service.covered);
    }
    println!("{seeds} seeds: {promoted} promoted, {covered} covered");
    assert!(promoted > seeds as usize / 2 && covered > seeds as usize / 2, "{promoted} {covered}");
}

/// The primary is `a` in term 2, with an intent or without.
#[test]
#[expect(clippy::too_many_lines, reason = "one scenario, told in order")]
fn a_lead_and_its_intent_change_only_as_the_present_term_allows() {
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
    let lead = |term, primary: &str, intent: Option<&str>| PrimaryRecord {
        term: DbTerm(term),
        primary: primary.into(),
        intent: intent.map(InstanceId::from),
    };
    let (free, bound) = (lead(2, "a", None), lead(2, "a", Some("b")));
    // (lead before, change, lead after, none if the change comes to nothing)
    let cases = [
        (&free, propose_primary(1, "c"), None),
        (&free, propose_primary(2, "c"), None),
        (&free, propose_primary(3, "c"), Some(lead(3, "c", None))),
        (&bound, propose_primary(1, "b"), None),
        (&bound, propose_primary(2, "b"), None),
        (&bound, propose_primary(3, "b"), Some(lead(3, "b", None))),
        (&free, propose_intent(1, "c"), None),
        (&free, propose_intent(3, "c"), None),
        (&free, propose_intent(2, "c"), Some(lead(2, "a", Some("c")))),
        (&bound, propose_intent(2, "c"), None),
        (&bound, propose_intent(2, "b"), None),
        (&free, abandon("b"), None),
        (&bound, abandon("c"), None),
        (&bound, abandon("b"), Some(free.clone())),
        (&free, returned(1, "d"), None),
        (&free, returned(3, "d"), None),
        (&free, returned(2, "d"), Some(lead(2, "d", None))),
        (&bound, returned(2, "d"), None),
    ];
    for (before, change, after) in cases {
        let mut state_machine = StateMachine::default();
        state_machine.apply(&propose_primary(2, "a"));
        if let Some(target) = &before.intent {
            assert_eq!(state_machine.apply(&propose_intent(2, &target.0)), CommandOutcome::Applied);
        }
        assert_eq!(state_machine.primaries()[&service()], *before);
        let whole = state_machine.clone();
        let effect =
            if after.is_some() { CommandOutcome::Applied } else { CommandOutcome::NoChange };
        assert_eq!(state_machine.apply(&change), effect, "{before:?} {change:?}");
        match after {
            Some(after) => assert_eq!(state_machine.primaries()[&service()], after, "{change:?}"),
            None => assert_eq!(state_machine, whole, "{change:?} leaves all as it was"),
        }
    }
    for change in [propose_intent(1, "b"), abandon("b"), returned(1, "d")] {
        let mut state_machine = StateMachine::default();
        assert_eq!(
            state_machine.apply(&change),
            CommandOutcome::NoChange,
            "{change:?} without a lead"
        );
        assert_eq!(state_machine, StateMachine::default());
    }
}

#[test]
fn who_counts_as_departed() {
    let service = ServiceName::from("s");
    let propose_primary =
        || Command::SetPrimary { service: service.clone(), term: DbTerm(1), primary: "a".into() };
    let returned = || Command::PrimaryReturned {
        service: service.clone(),
        term: DbTerm(1),
        primary: "d".into(),
    };
    // (what happens after `a` and `b` were listed, who counts)
    let cases: [(&str, Vec<Command>, &[&str]); 6] = [
        ("a replica of a led service", vec![propose_primary(), goes("b", 9)], &["b"]),
        ("before there is a lead", vec![goes("b", 9), propose_primary()], &[]),
        ("the primary", vec![propose_primary(), goes("a", 9)], &[]),
        ("a replica that is back", vec![propose_primary(), goes("b", 9), comes("b", 10)], &[]),
        ("a primary under another id", vec![propose_primary(), goes("a", 9), returned()], &[]),
        (
            "a replica and that one",
            vec![propose_primary(), goes("a", 9), goes("b", 9), returned()],
            &["b"],
        ),
    ];
    for (what, changes, counted) in cases {
        let mut state_machine = StateMachine::default();
        for change in [comes("a", 1), comes("b", 1)].iter().chain(&changes) {
            assert_eq!(state_machine.apply(change), CommandOutcome::Applied, "{what}: {change:?}");
        }
        let departed: Vec<InstanceId> =
            state_machine.departed_replicas(&service).into_keys().collect();
        let counted: Vec<InstanceId> = counted.iter().map(|id| InstanceId::from(*id)).collect();
        assert_eq!(departed, counted, "{what}");
    }
}

#[test]
fn one_that_left_twice_is_remembered_from_the_second_time() {
    let mut state_machine = StateMachine::default();
    for change in [comes("b", 1), goes("b", 5), comes("b", 6), goes("b", 9)] {
        assert_eq!(state_machine.apply(&change), CommandOutcome::Applied);
    }
    for n in 0..4_095 {
        let id = format!("i{n}");
        state_machine.apply(&comes(&id, 1));
        state_machine.apply(&goes(&id, 1));
    }
    assert_eq!(state_machine.apply(&comes("b", 8)), CommandOutcome::NoChange, "a late heartbeat");
    assert_eq!(state_machine.apply(&comes("b", 10)), CommandOutcome::Applied);
}

/// `c` left. What it had is covered by as many others as a commit needs.
#[test]
#[expect(clippy::too_many_lines, reason = "one scenario, told in order")]
fn a_departed_replica_is_covered_by_listed_replicas_that_reached_the_primary() {
    let now = Tick(50_000);
    let describe = |id| ask(id, DatabaseRequest::Describe);
    let begin = |sync_replicas: u32| {
        let mut snapshot = ServiceSnapshot { sync_replicas, ..without_c(&snapshot()) };
        snapshot.databases.push(("d".into(), database(Role::Replica)));
        snapshot.alive.insert("d".into());
        let mut s = begin_steady(&snapshot, now);
        tell(&mut s, &snapshot, "d", DatabaseRequest::Continue, 7, now);
        assert_eq!(s.tick(&snapshot, now), []);
        assert_eq!(s.tick(&snapshot, now.plus(500)), [describe("c")]);
        let refused = DatabaseResponse::Unavailable;
        let asked = DatabaseRequest::Describe;
        s.handle_response(&snapshot, s.attempt, &"c".into(), asked, &refused, now.plus(510));
        assert_eq!(s.tick(&snapshot, now.plus(510)), [describe("a")]);
        (s, snapshot)
    };
    let now = now.plus(520);
    let primary = |primary, term| {
        DatabaseResponse::Description(ServerDescription {
            primary,
            term: DbTerm(term),
            received: at(9),
        })
    };
    // (what `a` says of itself, whether its position is the mark)
    for (leads, term, mark) in [(true, 1, true), (false, 1, false), (true, 2, false)] {
        let (mut s, snapshot) = begin(1);
        let response = primary(leads, term);
        let actions = s.handle_response(
            &snapshot,
            s.attempt,
            &"a".into(),
            DatabaseRequest::Describe,
            &response,
            now,
        );
        let asked = if mark { vec![describe("b"), describe("d")] } else { Vec::new() };
        assert_eq!(actions, asked, "{leads} {term}");
    }
    // Before the primary has answered no replica is asked.
    let (mut s, snapshot) = begin(1);
    assert_eq!(s.tick(&snapshot, now.plus(500)), []);
    // (synchronous replicas, whether `b` leaves after it answered, who answers, whether it is
    // covered)
    type Answers<'a> = &'a [(&'a str, u64)];
    let cases: [(u32, bool, Answers<'_>, bool); 8] = [
        (1, false, &[("b", 8)], false),
        (1, false, &[("b", 9)], true),
        (2, false, &[("b", 9)], false),
        (2, false, &[("b", 9), ("b", 9)], false),
        (2, false, &[("b", 9), ("d", 8)], false),
        (2, false, &[("b", 9), ("d", 9)], true),
        (2, true, &[("b", 9), ("d", 9)], false),
        (0, false, &[("b", 9)], true),
    ];
    for (sync_replicas, leaves, answers, covered) in cases {
        let (mut s, mut snapshot) = begin(sync_replicas);
        let response = primary(true, 1);
        s.handle_response(
            &snapshot,
            s.attempt,
            &"a".into(),
            DatabaseRequest::Describe,
            &response,
            now,
        );
        let mut actions = Vec::new();
        for (id, number) in answers {
            assert_eq!(actions, [], "{answers:?}");
            actions = tell(&mut s, &snapshot, id, DatabaseRequest::Describe, *number, now);
            if leaves {
                snapshot.databases.retain(|(id, _)| *id != "b".into());
            }
        }
        let departed = BTreeMap::from([("c".into(), u64::MAX)]);
        let change = Command::ForgetDeparted { service: "s".into(), departed };
        let expected = if covered { vec![FailoverAction::Propose(change)] } else { Vec::new() };
        assert_eq!(actions, expected, "{sync_replicas} {leaves} {answers:?}");
    }
}

#[test]
fn a_replica_that_left_again_is_waited_for_anew() {
    let (mut snapshot, now) = (without_c(&snapshot()), Tick(50_000));
    let mut s = begin_steady(&snapshot, now);
    let describe = |id| ask(id, DatabaseRequest::Describe);
    let refused = |s: &mut Failover, snapshot: &ServiceSnapshot, now| {
        let (c, refused) = ("c".into(), DatabaseResponse::Unavailable);
        s.handle_response(snapshot, s.attempt, &c, DatabaseRequest::Describe, &refused, now)
    };
    snapshot.departed.insert("c".into(), 5);
    assert_eq!(s.tick(&snapshot, now), []);
    assert_eq!(s.tick(&snapshot, now.plus(500)), [describe("c")]);
    assert_eq!(refused(&mut s, &snapshot, now.plus(510)), []);
    // It came back and left once more before that was acted on.
    snapshot.departed.insert("c".into(), 9);
    for (after, asked) in [(520, None), (1_000, None), (1_020, Some("c"))] {
        let expected: Vec<_> = asked.map(describe).into_iter().collect();
        assert_eq!(s.tick(&snapshot, now.plus(after)), expected, "after {after}");
    }
    refused(&mut s, &snapshot, now.plus(1_030));
    assert_eq!(s.tick(&snapshot, now.plus(1_040)), [describe("a")]);
}

/// Guards against a departed replica that serves on: it was forgotten 2 s after its goodbye, and commits
/// that only it received since were missing at the promoted database.
#[test]
fn one_that_departed_counts_as_long_as_it_runs() {
    let (snapshot, now) = (without_c(&snapshot()), Tick(50_000));
    let mut s = begin_steady(&snapshot, now);
    for after in (0..10_000).step_by(100) {
        let now = now.plus(after);
        for action in s.tick(&snapshot, now) {
            assert_eq!(action, ask("c", DatabaseRequest::Describe), "after {after}");
            tell(&mut s, &snapshot, "c", DatabaseRequest::Describe, 7 + after, now);
        }
    }
    // Lost now, with nothing known of the poolers, the primary is not followed by `b` alone.
    let now = now.plus(10_000);
    let asked = [ask("b", PAUSE), ask("c", DatabaseRequest::Describe)];
    assert_eq!(report_lost(&mut s, &snapshot, now), asked);
    assert_eq!(tell(&mut s, &snapshot, "b", PAUSE, 7, now), []);
    assert_eq!(s.tick(&snapshot, now.plus(350)), []);
    // (how far `c` is when it answers, whether `b` may follow)
    for (number, may) in [(7, true), (8, false)] {
        let mut s = s.clone();
        let actions = tell(&mut s, &snapshot, "c", DatabaseRequest::Describe, number, now);
        let expected = if may { vec![propose_intent("b")] } else { Vec::new() };
        assert_eq!(actions, expected, "{number}");
    }
    // One that is neither heard nor refuses is taken for ended after a minute, as one without heartbeats.
    let mut s = begin_steady(&snapshot, now);
    assert_eq!(s.tick(&snapshot, now), []);
    for (after, asked) in [(59_900, "c"), (60_000, "a")] {
        assert_eq!(s.tick(&snapshot, now.plus(after)), [ask(asked, DatabaseRequest::Describe)]);
    }
}

/// A late answer, with the same number from an earlier leader or from an earlier attempt.
#[test]
#[expect(clippy::too_many_lines, reason = "one scenario, told in order")]
fn an_answer_counts_for_its_own_attempt_and_its_own_database() {
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
    tell(&mut chosen, &snapshot, "b", PAUSE, 7, now);
    tell(&mut chosen, &snapshot, "c", PAUSE, 9, now);
    let lead = PrimaryRecord { term: DbTerm(1), primary: "a".into(), intent: Some("c".into()) };
    let promoting_snapshot = ServiceSnapshot { primary_record: Some(lead), ..snapshot.clone() };
    let mut promoting = chosen.clone();
    assert_eq!(promoting.tick(&promoting_snapshot, now), [FailoverAction::Promote("c".into())]);
    let others = |own: Attempt| {
        [
            Attempt { number: own.number - 1, ..own },
            Attempt { number: own.number + 1, ..own },
            Attempt { raft_term: Term(own.raft_term.0 - 1), ..own },
            Attempt { raft_term: Term(own.raft_term.0 + 1), ..own },
        ]
    };
    // (stage, who, what was asked, the answer)
    let table = [
        (&suspected, "a", DatabaseRequest::Describe, DatabaseResponse::Unavailable),
        (&suspected, "a", DatabaseRequest::Describe, row(true, at(7))),
        (&suspected, "a", DatabaseRequest::Describe, DatabaseResponse::Connected),
        (&fencing, "a", DatabaseRequest::Describe, row(true, at(7))),
        (&fencing, "c", PAUSE, row(false, at(9))),
        (&fencing, "c", DatabaseRequest::Describe, row(false, at(9))),
    ];
    for (stage, who, what, response) in &table {
        for attempt in others(stage.attempt) {
            let mut s = (*stage).clone();
            let actions =
                s.handle_response(&snapshot, attempt, &(*who).into(), *what, response, now);
            assert_eq!(
                (actions, &s.state),
                (vec![], &stage.state),
                "{attempt:?} {what:?} {response:?}"
            );
        }
        let mut s = (*stage).clone();
        s.handle_response(&snapshot, s.attempt, &(*who).into(), *what, response, now);
        assert_ne!(s.state, stage.state, "its own answer counts: {what:?} {response:?}");
    }
    for outcome in [
        PromotionResponse::NotRunning,
        PromotionResponse::Accepted,
        PromotionResponse::Unknown,
        PromotionResponse::NotAttempted,
    ] {
        for attempt in others(promoting.attempt) {
            let mut s = promoting.clone();
            let actions = s.handle_promotion_response(
                &promoting_snapshot,
                attempt,
                &"c".into(),
                outcome,
                now,
            );
            assert_eq!((actions, &s.state), (vec![], &promoting.state), "{attempt:?} {outcome:?}");
        }
        let mut s = promoting.clone();
        let actions =
            s.handle_promotion_response(&promoting_snapshot, s.attempt, &"b".into(), outcome, now);
        assert_eq!((actions, &s.state), (vec![], &promoting.state), "of another: {outcome:?}");
    }
}

#[test]
fn a_request_is_completed_by_an_answer_to_this_leader_only() {
    let (snapshot, now) = (snapshot(), Tick(50_000));
    // (the term of the answer that `c` goes on, whether it may be paused)
    for (raft_term, ended) in [(2, false), (3, true), (4, false)] {
        let (mut s, _) = Failover::begin(&snapshot, now);
        tell(&mut s, &snapshot, "b", DatabaseRequest::Continue, 7, now);
        let attempt = Attempt { raft_term: Term(raft_term), ..s.attempt };
        s.handle_response(
            &snapshot,
            attempt,
            &"c".into(),
            DatabaseRequest::Continue,
            &row(false, at(7)),
            now,
        );
        let paused = report_lost(&mut s, &snapshot, now.plus(10));
        assert_eq!(paused.contains(&ask("c", PAUSE)), ended, "term {raft_term}");
    }
}

#[test]
fn a_replica_resumed_again_is_asked_until_it_answers_that_request() {
    let (snapshot, now) = (snapshot(), Tick(50_000));
    // (whether the answer is to the order of the present attempt, whether `c` is asked again)
    for (present, again) in [(false, true), (true, false)] {
        let (mut s, _) = Failover::begin(&snapshot, now);
        let first = s.attempt;
        tell(&mut s, &snapshot, "b", DatabaseRequest::Continue, 7, now);
        let now = now.plus(3_100);
        assert_eq!(report_lost(&mut s, &snapshot, now), [ask("b", PAUSE), ask("c", PAUSE)]);
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
            &row(true, at(7)),
            now,
        );
        tell(&mut s, &snapshot, "b", DatabaseRequest::Continue, 7, now);
        let attempt = if present { s.attempt } else { first };
        s.handle_response(
            &snapshot,
            attempt,
            &"c".into(),
            DatabaseRequest::Continue,
            &row(false, at(7)),
            now,
        );
        let expected = if again { vec![ask("c", DatabaseRequest::Continue)] } else { Vec::new() };
        assert_eq!(s.tick(&snapshot, now.plus(1_100)), expected, "{present}");
    }
}

#[test]
fn a_later_call_has_a_higher_fencing_token() {
    let attempt = |raft_term, number| Attempt { raft_term: Term(raft_term), number };
    // Each is above the one before, but for numbers beyond all that a leader can reach.
    let rising = [(1, 0), (1, 1), (1, 7), (1, (1 << 20) - 1), (2, 0), (2, 1), (9, 0)];
    for pair in rising.windows(2) {
        let [low, high] = [pair[0], pair[1]]
            .map(|(raft_term, number)| attempt(raft_term, number).fencing_token());
        assert!(low < high, "{pair:?}");
    }
    for number in [1 << 20, (1 << 20) + 5, 1 << 40, u64::MAX] {
        assert!(attempt(1, number).fencing_token() < attempt(2, 0).fencing_token(), "{number}");
        assert!(attempt(1, number).fencing_token() > attempt(1, 7).fencing_token(), "{number}");
    }
}
