//! Unit tests of the pooler's parts that do no I/O: the reroute rules, admission, latency
//! estimates, quotas, watermarks and drain periods.
use silvertack::base::errors::{ERROR_REPLIES, ErrorKind};
use silvertack::base::ids::{DbTerm, Position};
use silvertack::base::time::Tick;
use silvertack::net::statement_protocol::{self, Line, TransactionState};
use silvertack::pooler::admission::{Admission, Priority};
use silvertack::pooler::latency::LatencyEstimator;
use silvertack::pooler::leases::ConnectionQuota;
use silvertack::pooler::pool::drain_period_over;
use silvertack::pooler::replica_reads::ReadWatermarks;
use silvertack::pooler::reroute::{
    LossOutcome, SessionReroute, StatementDecision, StatementKind, StatementPlan,
};

const NOW: Tick = Tick(10_000);

fn handle_text(session: &mut SessionReroute, text: &str) -> StatementDecision {
    let line = format!("QUERY q1 {text}");
    match statement_protocol::parse_line(line.as_bytes()) {
        Ok(Line::Query { statement, .. }) => session.handle_statement(&statement, NOW),
        other => panic!("{text}: {other:?}"),
    }
}

/// A session after these statements; those that a database has to run were successful.
fn session_after(texts: &[&str]) -> SessionReroute {
    let mut session = SessionReroute::default();
    for text in texts {
        if let StatementDecision::Run(plan) = handle_text(&mut session, text) {
            let idle = plan.autocommit || plan.kind == StatementKind::Commit;
            session.handle_reply(if idle {
                TransactionState::Idle
            } else {
                TransactionState::Open
            });
        }
    }
    session
}

fn expect_plan(session: &mut SessionReroute, text: &str) -> StatementPlan {
    match handle_text(session, text) {
        StatementDecision::Run(plan) => plan,
        other => panic!("{text}: {other:?}"),
    }
}

#[test]
fn the_outcome_of_a_connection_loss_depends_on_the_statement_and_its_transaction() {
    use ErrorKind::{RolledBack, Unknown};
    use LossOutcome::{Report, Retry};
    // (earlier statements, the statement on the lost connection, whether it was sent, the outcome,
    // the transaction state afterwards)
    let table: &[(&[&str], &str, bool, LossOutcome, TransactionState)] = &[
        // Retried transparently: nothing can have been committed.
        (&[], "FETCH a", true, Retry, TransactionState::Idle),
        (&[], "STORE a 1", false, Retry, TransactionState::Idle),
        (&["BEGIN"], "FETCH a", true, Retry, TransactionState::Open),
        (&["BEGIN"], "STORE a 1", true, Retry, TransactionState::Open),
        (&["BEGIN"], "COMMIT", true, Retry, TransactionState::Open),
        (&["BEGIN FETCH"], "FETCH a", true, Retry, TransactionState::Open),
        (&["PREPARE p FETCH x"], "EXECUTE p a", true, Retry, TransactionState::Idle),
        // Not retried, because the statement may be committed: the outcome is unknown.
        (&[], "STORE a 1", true, Report(Unknown), TransactionState::Idle),
        (&["PREPARE p STORE x"], "EXECUTE p a 1", true, Report(Unknown), TransactionState::Idle),
        (&["BEGIN", "STORE a 1"], "COMMIT", true, Report(Unknown), TransactionState::Idle),
        (
            &["PREPARE p STORE x", "BEGIN", "EXECUTE p a 1"],
            "COMMIT",
            true,
            Report(Unknown),
            TransactionState::Idle,
        ),
        // In the middle of a transaction: reported as rolled back, never retried transparently.
        (&["BEGIN", "FETCH a"], "FETCH b", true, Report(RolledBack), TransactionState::Idle),
        (&["BEGIN", "FETCH a"], "FETCH b", false, Report(RolledBack), TransactionState::Idle),
        (&["BEGIN", "FETCH a"], "STORE b 1", true, Report(RolledBack), TransactionState::Idle),
        (&["BEGIN", "STORE a 1"], "COMMIT", false, Report(RolledBack), TransactionState::Idle),
        // The transaction only read, but no other connection can return the stamp of its commit.
        (&["BEGIN", "FETCH a"], "COMMIT", true, Report(RolledBack), TransactionState::Idle),
        (&["BEGIN FETCH", "FETCH a"], "COMMIT", true, Report(RolledBack), TransactionState::Idle),
    ];
    for (before, text, sent, outcome, state) in table {
        let mut session = session_after(before);
        let plan = expect_plan(&mut session, text);
        assert_eq!(session.handle_loss(&plan, *sent), *outcome, "{before:?} {text} sent={sent}");
        assert_eq!(session.state(), *state, "{before:?} {text} sent={sent}");
    }
}

#[test]
fn a_commit_after_a_retried_first_write_has_an_unknown_outcome_when_lost() {
    let mut session = session_after(&["BEGIN"]);
    let first = expect_plan(&mut session, "STORE a 1");
    assert_eq!(session.handle_loss(&first, true), LossOutcome::Retry);
    session.handle_reply(TransactionState::Open);
    let commit = expect_plan(&mut session, "COMMIT");
    assert_eq!(session.handle_loss(&commit, true), LossOutcome::Report(ErrorKind::Unknown));
}

#[test]
fn reusability_and_replayed_state_follow_the_statements_of_a_session() {
    let mut session = session_after(&[
        "CONFIGURE tenant a",
        "CONFIGURE tenant b",
        "PREPARE s FETCH x",
        "PREPARE t STORE y",
    ]);
    assert!(session.reusable());
    let version = session.version();
    handle_text(&mut session, "BEGIN");
    assert!(!session.reusable(), "an open transaction pins the session to its connection");
    handle_text(&mut session, "CONFIGURE tenant c");
    assert!(session.version() > version, "settings inside a transaction are replayed too");
    // After a connection loss the session keeps its settings and prepared statements.
    let first = expect_plan(&mut session, "FETCH a");
    session.handle_reply(TransactionState::Open);
    let second = expect_plan(&mut session, "FETCH b");
    assert_eq!(session.handle_loss(&second, true), LossOutcome::Report(ErrorKind::RolledBack));
    assert!(first.first_in_transaction && !second.first_in_transaction);
    assert!(session.reusable());
    let (settings, prepared) = (session.settings(), session.prepared_statements());
    assert_eq!(settings.get("tenant").map(String::as_str), Some("c"));
    assert_eq!(prepared.count(), 2);
    assert_eq!(handle_text(&mut session, "DEALLOCATE s"), StatementDecision::Completed);
    assert_eq!(session.prepared_statements().count(), 1);
}

#[test]
fn statements_that_need_no_database_are_decided_by_the_pooler() {
    use ErrorKind::{Malformed, NotFound, RolledBack};
    let table: &[(&[&str], &str, StatementDecision, TransactionState)] = &[
        (&[], "BEGIN", StatementDecision::Completed, TransactionState::Open),
        (&[], "COMMIT", StatementDecision::Rejected(Malformed), TransactionState::Idle),
        (&[], "ABORT", StatementDecision::RolledBack, TransactionState::Idle),
        (&["BEGIN", "FETCH a"], "ABORT", StatementDecision::RolledBack, TransactionState::Idle),
        (&["BEGIN"], "BEGIN", StatementDecision::Rejected(Malformed), TransactionState::Failed),
        (
            &["BEGIN", "BEGIN"],
            "FETCH a",
            StatementDecision::Rejected(Malformed),
            TransactionState::Failed,
        ),
        (
            &["BEGIN", "BEGIN"],
            "COMMIT",
            StatementDecision::Rejected(RolledBack),
            TransactionState::Idle,
        ),
        (&["BEGIN", "BEGIN"], "ABORT", StatementDecision::RolledBack, TransactionState::Idle),
        (&[], "EXECUTE p a", StatementDecision::Rejected(NotFound), TransactionState::Idle),
        (
            &["BEGIN"],
            "EXECUTE p a",
            StatementDecision::Rejected(NotFound),
            TransactionState::Failed,
        ),
        (
            &["PREPARE p FETCH x", "DEALLOCATE p"],
            "EXECUTE p a",
            StatementDecision::Rejected(NotFound),
            TransactionState::Idle,
        ),
        (&[], "DEALLOCATE p", StatementDecision::Rejected(NotFound), TransactionState::Idle),
        (
            &["PREPARE p FETCH x"],
            "DEALLOCATE p",
            StatementDecision::Completed,
            TransactionState::Idle,
        ),
    ];
    for (before, text, decision, state) in table {
        let mut session = session_after(before);
        assert_eq!(handle_text(&mut session, text), *decision, "{before:?} {text}");
        assert_eq!(session.state(), *state, "{before:?} {text}");
    }
}

#[test]
fn errors_with_an_unknown_outcome_never_exclude_that_the_statement_took_effect() {
    for row in &ERROR_REPLIES {
        assert_eq!(row.kind.reply().code, row.code, "the table is in the order of the kinds");
        assert_eq!(ErrorKind::from_code(row.code), Some(row.kind));
    }
    for kind in [ErrorKind::Unknown, ErrorKind::TimedOut, ErrorKind::Failed] {
        assert!(!kind.reply().no_effect, "{kind}");
    }
}

#[test]
fn a_required_position_is_never_older_than_the_staleness_limit() {
    let at = |number| Position { term: DbTerm(3), number };
    let mut watermarks = ReadWatermarks::default();
    for step in 0..40 {
        watermarks.observe(Tick(1_000 + step * 100), at(step));
    }
    // A reply that arrives after a newer one changes nothing.
    watermarks.observe(Tick(1_500), at(1));
    let table = [
        // (start of the read, staleness limit in ms, the required position)
        (5_000, 1_500, Some(at(26))),
        (5_000, 200, Some(at(39))),
        (5_000, 50, None),
        (60_000, 1_500, None),
        (4_900, 3_000, Some(at(10))),
    ];
    for (started_at, stale, required) in table {
        assert_eq!(
            watermarks.required_position(Tick(started_at), stale),
            required,
            "started at {started_at}, stale by {stale}"
        );
    }
    let mut single = ReadWatermarks::default();
    single.observe(Tick(1_000), at(5));
    assert_eq!(
        single.required_position(Tick(1_000), 0),
        None,
        "a commit in the same millisecond may not be covered"
    );
}

#[test]
fn waiters_are_served_by_priority_then_deadline() {
    let mut admission = Admission::default();
    admission.limit = 1;
    assert!(admission.try_open());
    assert!(!admission.try_open(), "never more than the limit");
    let late = admission.enqueue(Priority { tenant: 0, route: 2 }, Tick(50));
    let low = admission.enqueue(Priority { tenant: 0, route: 2 }, Tick(10));
    let high = admission.enqueue(Priority { tenant: 0, route: 1 }, Tick(90));
    let served_next = |a: &Admission| [&high, &low, &late].map(|ticket| a.is_next(Some(ticket), 1));
    assert_eq!(served_next(&admission), [true, false, false]);
    assert!(!admission.is_next(None, 3) && admission.is_next(None, 4), "no ticket comes last");
    admission.dequeue(&high);
    assert_eq!(served_next(&admission)[1..], [true, false]);
    admission.limit = 0;
    assert!(admission.over_limit(), "open connections exceed the lowered limit");
    admission.close();
    assert!(!admission.over_limit() && !admission.is_next(Some(&low), 0));
}

#[test]
fn reply_timeouts_follow_the_latency() {
    let mut latency = LatencyEstimator::default();
    assert_eq!(latency.timeout_ms(250), 250, "no samples yet");
    for latency_ms in [8, 9, 8, 10, 8, 9, 12, 8, 9, 8] {
        latency.record(latency_ms);
    }
    assert_eq!(latency.timeout_ms(250), 40, "low latency gives the minimum timeout");
    for _ in 0..200 {
        latency.record(400);
    }
    assert_eq!(latency.timeout_ms(250), 250, "high latency gives the maximum timeout");
}

#[test]
fn an_expired_quota_is_applied_again_when_it_is_renewed() {
    let now = Tick(100_000);
    let mut quota = ConnectionQuota::default();
    assert_eq!(quota.take_report(|| 0), Some(0));
    quota.size = 8;
    // (time in ms, how long the quota is renewed for, the limit change for the pools)
    let cases = [
        (0, None, None),
        (10, Some(3_000), Some(8)),
        (500, Some(3_000), None),
        (3_600, None, Some(0)),
        (3_700, None, None),
        // The size is unchanged, but the quota is valid again.
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
    // A smaller quota is in force only once the connections beyond it are closed.
    quota.size = 2;
    let reports = [7, 7, 3, 1, 1].map(|open| quota.take_report(|| open));
    assert_eq!(reports, [Some(7), None, Some(3), Some(2), None]);
}

#[test]
fn even_a_primary_receives_no_new_statements_near_the_end_of_its_drain_period() {
    // (draining since, now, the drain period in ms, whether new statements are refused)
    let cases = [
        (0, 900_000, 7_000, false),
        (60_000, 60_001, 7_000, false),
        (60_000, 66_000, 7_000, false),
        (60_000, 66_001, 7_000, true),
        (60_000, 80_000, 7_000, true),
        (60_000, 60_001, 500, true),
    ];
    for (since, now, drain_ms, over) in cases {
        assert_eq!(
            drain_period_over(Tick(since), Tick(now), drain_ms),
            over,
            "{since} {now} {drain_ms}"
        );
    }
}
