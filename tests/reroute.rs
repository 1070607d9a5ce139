//! The reroute design as a table: what was said and answered, what was lost, and what follows.
use silvertack::base::errors::{ERROR_ANSWERS, ErrorKind};
use silvertack::base::ids::{DbTerm, Position};
use silvertack::base::time::Tick;
use silvertack::net::statement_protocol::{self, Line, State};
use silvertack::pooler::admission::Admission;
use silvertack::pooler::latency::LatencyEstimator;
use silvertack::pooler::leases::ConnectionQuota;
use silvertack::pooler::pool::drain_time_over;
use silvertack::pooler::replica_reads::ReadWatermarks;
use silvertack::pooler::reroute::{
    LossOutcome, SessionReroute, StatementDecision, StatementKind, StatementPlan,
};

const NOW: Tick = Tick(10_000);

fn handle(session: &mut SessionReroute, text: &str) -> StatementDecision {
    let line = format!("QUERY q1 {text}");
    match statement_protocol::parse(line.as_bytes()) {
        Ok(Line::Query { statement, .. }) => session.handle_statement(&statement, NOW),
        other => panic!("{text}: {other:?}"),
    }
}

/// Says each text; one that a database has to run is answered with success.
fn after(texts: &[&str]) -> SessionReroute {
    let mut session = SessionReroute::default();
    for text in texts {
        if let StatementDecision::Run(plan) = handle(&mut session, text) {
            let idle = plan.autocommit || plan.kind == StatementKind::Commit;
            session.handle_reply(if idle { State::Idle } else { State::Open });
        }
    }
    session
}

fn plan(session: &mut SessionReroute, text: &str) -> StatementPlan {
    match handle(session, text) {
        StatementDecision::Run(plan) => plan,
        other => panic!("{text}: {other:?}"),
    }
}

#[test]
fn what_a_loss_means() {
    use ErrorKind::{RolledBack, Unknown};
    use LossOutcome::{Report, Retry};
    // before, the statement that is lost, whether it was sent, its outcome, the state afterwards
    let table: &[(&[&str], &str, bool, LossOutcome, State)] = &[
        // Retried unseen: nothing can have been kept.
        (&[], "FETCH a", true, Retry, State::Idle),
        (&[], "STORE a 1", false, Retry, State::Idle),
        (&["BEGIN"], "FETCH a", true, Retry, State::Open),
        (&["BEGIN"], "STORE a 1", true, Retry, State::Open),
        (&["BEGIN"], "COMMIT", true, Retry, State::Open),
        (&["BEGIN FETCH"], "FETCH a", true, Retry, State::Open),
        (&["PREPARE p FETCH x"], "EXECUTE p a", true, Retry, State::Idle),
        // An outcome that can't be known, and no second run.
        (&[], "STORE a 1", true, Report(Unknown), State::Idle),
        (&["PREPARE p STORE x"], "EXECUTE p a 1", true, Report(Unknown), State::Idle),
        (&["BEGIN", "STORE a 1"], "COMMIT", true, Report(Unknown), State::Idle),
        (
            &["PREPARE p STORE x", "BEGIN", "EXECUTE p a 1"],
            "COMMIT",
            true,
            Report(Unknown),
            State::Idle,
        ),
        // In mid-transaction: rolled back, with a signal to try again; never seamless.
        (&["BEGIN", "FETCH a"], "FETCH b", true, Report(RolledBack), State::Idle),
        (&["BEGIN", "FETCH a"], "FETCH b", false, Report(RolledBack), State::Idle),
        (&["BEGIN", "FETCH a"], "STORE b 1", true, Report(RolledBack), State::Idle),
        (&["BEGIN", "STORE a 1"], "COMMIT", false, Report(RolledBack), State::Idle),
        // It only read, but the stamp of its commit can be had nowhere else.
        (&["BEGIN", "FETCH a"], "COMMIT", true, Report(RolledBack), State::Idle),
        (&["BEGIN FETCH", "FETCH a"], "COMMIT", true, Report(RolledBack), State::Idle),
    ];
    for (before, text, sent, outcome, state) in table {
        let mut session = after(before);
        let plan = plan(&mut session, text);
        assert_eq!(session.handle_loss(&plan, *sent), *outcome, "{before:?} {text} sent={sent}");
        assert_eq!(session.state(), *state, "{before:?} {text} sent={sent}");
    }
}

#[test]
fn a_retried_first_write_still_counts_at_the_commit() {
    let mut session = after(&["BEGIN"]);
    let first = plan(&mut session, "STORE a 1");
    assert_eq!(session.handle_loss(&first, true), LossOutcome::Retry);
    session.handle_reply(State::Open);
    let commit = plan(&mut session, "COMMIT");
    assert_eq!(session.handle_loss(&commit, true), LossOutcome::Report(ErrorKind::Unknown));
}

#[test]
fn the_flag_and_the_replay_set_follow_the_session() {
    let mut session = after(&[
        "CONFIGURE tenant a",
        "CONFIGURE tenant b",
        "PREPARE s FETCH x",
        "PREPARE t STORE y",
    ]);
    assert!(session.reusable());
    let version = session.version();
    handle(&mut session, "BEGIN");
    assert!(!session.reusable(), "a transaction ties the session to its connection");
    handle(&mut session, "CONFIGURE tenant c");
    assert!(session.version() > version, "what was acknowledged inside holds too");
    // A loss keeps the session's values and names.
    let lost = plan(&mut session, "FETCH a");
    session.handle_reply(State::Open);
    let second = plan(&mut session, "FETCH b");
    assert_eq!(session.handle_loss(&second, true), LossOutcome::Report(ErrorKind::RolledBack));
    assert!(lost.first_in_transaction && !second.first_in_transaction);
    assert!(session.reusable());
    let (values, names) = (session.settings(), session.prepared_statements());
    assert_eq!(values.get("tenant").map(String::as_str), Some("c"));
    assert_eq!(names.count(), 2);
    assert_eq!(handle(&mut session, "DEALLOCATE s"), StatementDecision::Completed);
    assert_eq!(session.prepared_statements().count(), 1);
}

#[test]
fn what_is_answered_here() {
    use ErrorKind::{Malformed, NotFound, RolledBack};
    let table: &[(&[&str], &str, StatementDecision, State)] = &[
        (&[], "BEGIN", StatementDecision::Completed, State::Open),
        (&[], "COMMIT", StatementDecision::Rejected(Malformed), State::Idle),
        (&[], "ABORT", StatementDecision::RolledBack, State::Idle),
        (&["BEGIN", "FETCH a"], "ABORT", StatementDecision::RolledBack, State::Idle),
        (&["BEGIN"], "BEGIN", StatementDecision::Rejected(Malformed), State::Failed),
        (&["BEGIN", "BEGIN"], "FETCH a", StatementDecision::Rejected(Malformed), State::Failed),
        (&["BEGIN", "BEGIN"], "COMMIT", StatementDecision::Rejected(RolledBack), State::Idle),
        (&["BEGIN", "BEGIN"], "ABORT", StatementDecision::RolledBack, State::Idle),
        (&[], "EXECUTE p a", StatementDecision::Rejected(NotFound), State::Idle),
        (&["BEGIN"], "EXECUTE p a", StatementDecision::Rejected(NotFound), State::Failed),
        (
            &["PREPARE p FETCH x", "DEALLOCATE p"],
            "EXECUTE p a",
            StatementDecision::Rejected(NotFound),
            State::Idle,
        ),
        (&[], "DEALLOCATE p", StatementDecision::Rejected(NotFound), State::Idle),
        (&["PREPARE p FETCH x"], "DEALLOCATE p", StatementDecision::Completed, State::Idle),
    ];
    for (before, text, decision, state) in table {
        let mut session = after(before);
        assert_eq!(handle(&mut session, text), *decision, "{before:?} {text}");
        assert_eq!(session.state(), *state, "{before:?} {text}");
    }
}

#[test]
fn promises_are_given_only_where_nothing_can_be_kept() {
    for row in &ERROR_ANSWERS {
        assert_eq!(row.kind.answer().code, row.code, "each stands in its own place");
        assert_eq!(ErrorKind::from_word(row.code), Some(row.kind));
    }
    for kind in [ErrorKind::Unknown, ErrorKind::TimedOut, ErrorKind::Failed] {
        assert!(!kind.answer().no_effect, "{kind}");
    }
}

#[test]
fn watermarks_are_never_older_than_they_say() {
    let at = |number| Position { term: DbTerm(3), number };
    let mut watermarks = ReadWatermarks::default();
    for step in 0..40 {
        watermarks.observe(Tick(1_000 + step * 100), at(step));
    }
    // An answer that was overtaken by a newer one changes nothing.
    watermarks.observe(Tick(1_500), at(1));
    let table = [
        // begun, may be old by, the position a replica needs
        (5_000, 1_500, Some(at(26))),
        (5_000, 200, Some(at(39))),
        (5_000, 50, None),
        (60_000, 1_500, None),
        (4_900, 3_000, Some(at(10))),
    ];
    for (began, stale, needed) in table {
        assert_eq!(
            watermarks.required_position(Tick(began), stale),
            needed,
            "begun {began}, stale {stale}"
        );
    }
    let mut one = ReadWatermarks::default();
    one.observe(Tick(1_000), at(5));
    assert_eq!(
        one.required_position(Tick(1_000), 0),
        None,
        "a commit of the same millisecond may be missing"
    );
}

#[test]
fn waiters_go_by_priority_then_deadline() {
    let mut admission = Admission::default();
    admission.limit = 1;
    assert!(admission.try_open());
    assert!(!admission.try_open(), "never more than the limit");
    let late = admission.enqueue(2, Tick(50));
    let low = admission.enqueue(2, Tick(10));
    let high = admission.enqueue(1, Tick(90));
    let turns = |a: &Admission| [&high, &low, &late].map(|ticket| a.is_next(Some(ticket), 1));
    assert_eq!(turns(&admission), [true, false, false]);
    assert!(!admission.is_next(None, 3) && admission.is_next(None, 4), "a newcomer comes last");
    admission.dequeue(&high);
    assert_eq!(turns(&admission)[1..], [true, false]);
    admission.limit = 0;
    assert!(admission.over_limit(), "a lower limit takes back what is open");
    admission.close();
    assert!(!admission.over_limit() && !admission.is_next(Some(&low), 0));
}

#[test]
fn timeouts_follow_the_latency() {
    let mut latency = LatencyEstimator::default();
    assert_eq!(latency.timeout_ms(250), 250, "nothing is known yet");
    for took in [8, 9, 8, 10, 8, 9, 12, 8, 9, 8] {
        latency.record(took);
    }
    assert_eq!(latency.timeout_ms(250), 40, "quick answers, short timeout");
    for _ in 0..200 {
        latency.record(400);
    }
    assert_eq!(latency.timeout_ms(250), 250, "a slow database is not lost");
}

#[test]
fn a_quota_that_ran_out_is_applied_again_when_it_is_renewed() {
    let now = Tick(100_000);
    let mut quota = ConnectionQuota::default();
    assert_eq!(quota.take_report(|| 0), Some(0));
    quota.size = 8;
    // (after how long, renewed for how long from then, what the pools are told)
    let cases = [
        (0, None, None),
        (10, Some(3_000), Some(8)),
        (500, Some(3_000), None),
        (3_600, None, Some(0)),
        (3_700, None, None),
        // Nothing new is said of its size, but it holds again.
        (5_000, Some(3_000), Some(8)),
    ];
    for (after, renewed, limit) in cases {
        let at = now.plus(after);
        if let Some(ms) = renewed {
            quota.renew(at.plus(ms));
        }
        assert_eq!(quota.take_limit_change(at), limit, "after {after}");
    }
    assert_eq!((quota.take_report(|| 0), quota.take_report(|| 9)), (Some(8), None));
    // A smaller one counts only once the connections beyond it are closed.
    quota.size = 2;
    let told = [7, 7, 3, 1, 1].map(|open| quota.take_report(|| open));
    assert_eq!(told, [Some(7), None, Some(3), Some(2), None]);
}

#[test]
fn nothing_new_goes_to_a_database_that_has_drained_for_long_though_it_leads() {
    // (draining since, now, how long it may be used, whether that is over)
    let cases = [
        (0, 900_000, 7_000, false),
        (60_000, 60_001, 7_000, false),
        (60_000, 66_000, 7_000, false),
        (60_000, 66_001, 7_000, true),
        (60_000, 80_000, 7_000, true),
        (60_000, 60_001, 500, true),
    ];
    for (since, now, drain, over) in cases {
        assert_eq!(drain_time_over(Tick(since), Tick(now), drain), over, "{since} {now} {drain}");
    }
}
