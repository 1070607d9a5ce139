//! Tests of the leader's tables (leases, quotas, watermarks, pending updates), and of how the state
//! machine applies heartbeats and configurations.
use silvertack::base::ids::{DbTerm, InstanceId, NodeName, Position, Revision, ServiceName};
use silvertack::base::time::Tick;
use silvertack::config::directory::{Instance, Lifecycle, Role};
use silvertack::controller::pending_updates::PendingUpdates;
use silvertack::leases::acknowledged_commits::{AcknowledgedCommits, UnreportedCommits};
use silvertack::leases::lease_table::{CoverageRule, LEASE_MS, LeaseTable};
use silvertack::leases::watermarks::{ReplicationWatermarks, Watermark};
use silvertack::net::rpc::pack;
use silvertack::net::rpc::pooler_messages::{LeaseGrant, ObservedPosition, PrimaryStatus};
use silvertack::state_machine::{Command, CommandOutcome, PrimaryRecord, StateMachine};

/// A log position in term 1.
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
/// The acknowledged commits once all poolers have reported; with `None`, nothing is known yet.
fn acknowledged(reported: Option<Option<Position>>) -> AcknowledgedCommits {
    reported.map_or_else(AcknowledgedCommits::default, |reported| AcknowledgedCommits {
        reported,
        unreported: UnreportedCommits::Nothing,
    })
}
/// A grant of a quota, with a lease on primary `a` in this term or without a lease.
fn lease_grant(service: &ServiceName, term: Option<u64>, quota: u32) -> LeaseGrant {
    let active = |term| PrimaryStatus::Active { term: DbTerm(term), primary: "a".into() };
    LeaseGrant {
        service: service.clone(),
        status: term.map_or(PrimaryStatus::Absent, active),
        quota,
    }
}
/// Grants and renews, as the leader does when it responds to a renewal. Returns the grant if it has
/// to be sent.
fn grant_and_renew(
    table: &mut LeaseTable,
    node: &NodeName,
    grant: LeaseGrant,
    now: Tick,
) -> Option<LeaseGrant> {
    let sent = table.grant(node, grant);
    table.renew(node, now);
    sent
}

/// The acknowledged commits of term 1, as far as the table knows.
fn acknowledged_commits(
    table: &LeaseTable,
    watermark: Option<Watermark>,
    rule: CoverageRule,
    now: Tick,
) -> AcknowledgedCommits {
    table.acknowledged_commits(&"s".into(), DbTerm(1), None, watermark, rule, now)
}

#[test]
fn leases_are_released_only_when_no_pooler_can_use_one() {
    let (n1, n2, service) = (NodeName::from("n1"), NodeName::from("n2"), ServiceName::from("s"));
    let start = Tick(100_000);
    let mut table = LeaseTable::new(start);
    assert!(
        !table.all_released(&service, DbTerm(1), start.plus(LEASE_MS)),
        "an earlier leader may have granted leases"
    );
    let now = start.plus(20_000);
    assert!(table.all_released(&service, DbTerm(1), now));
    table.register(&n1, 1, 10, now);
    table.register(&n2, 1, 11, now);
    grant_and_renew(&mut table, &n1, lease_grant(&service, Some(1), 8), now);
    grant_and_renew(&mut table, &n2, lease_grant(&service, Some(1), 8), now);
    table.acknowledge_revocation(&n1, &service, DbTerm(1), Some(at(5)));
    assert!(!table.all_released(&service, DbTerm(1), now.plus(10)));
    assert_eq!(
        acknowledged_commits(&table, None, CoverageRule::WatermarkOrTimeout, now),
        AcknowledgedCommits { reported: Some(at(5)), unreported: UnreportedCommits::Unknown },
        "the second pooler has not reported"
    );
    // A disconnected pooler keeps its lease until it expires, and the commits that it forwarded
    // are unknown.
    table.disconnect(11, now.plus(20));
    assert!(!table.all_released(&service, DbTerm(1), now.plus(LEASE_MS)));
    assert!(table.all_released(&service, DbTerm(1), now.plus(LEASE_MS + 100)));
    assert_eq!(
        acknowledged_commits(
            &table,
            None,
            CoverageRule::WatermarkOrTimeout,
            now.plus(LEASE_MS + 100)
        ),
        AcknowledgedCommits { reported: Some(at(5)), unreported: UnreportedCommits::Unknown }
    );
    table.acknowledge_revocation(&n2, &service, DbTerm(1), Some(at(8)));
    assert_eq!(
        acknowledged_commits(&table, None, CoverageRule::WatermarkOrTimeout, now),
        acknowledged(Some(Some(at(8))))
    );
    assert!(
        table.all_released(&service, DbTerm(1), now.plus(30)),
        "a lease that was given up ends at once"
    );
}

#[test]
fn a_pooler_without_a_report_is_covered_only_by_a_watermark_after_its_lease() {
    let service = ServiceName::from("s");
    let (elected, now) = (Tick(100_000), Tick(150_000));
    let later = now.plus(30_000);
    let end = LEASE_MS + 50;
    let watermark_at = |as_of, number| Some(Watermark { as_of, position: at(number) });
    // (what happens to the second pooler, the watermark, the furthest commit that may have been
    // acknowledged, if it is known); the first pooler has reported 5.
    let cases = [
        ("connected", None, None),
        ("disconnected", None, None),
        ("disconnected", watermark_at(now.plus(end - 1), 9), None),
        ("disconnected", watermark_at(now.plus(end), 9), Some(Some(at(9)))),
        ("disconnected", watermark_at(now.plus(end), 3), Some(Some(at(5)))),
        ("restarted", None, None),
        ("restarted", watermark_at(now.plus(end), 9), Some(Some(at(9)))),
        ("gave up its lease", None, None),
        ("gave up its lease", watermark_at(elected.plus(end), 2), Some(Some(at(8)))),
    ];
    for (case, watermark, expected) in cases {
        let mut table = LeaseTable::new(elected);
        for (node, connection) in [("n1", 10), ("n2", 11)] {
            table.register(&node.into(), 1, connection, now);
            grant_and_renew(&mut table, &node.into(), lease_grant(&service, Some(1), 8), now);
        }
        table.acknowledge_revocation(&"n1".into(), &service, DbTerm(1), Some(at(5)));
        match case {
            "disconnected" => {
                table.disconnect(11, now.plus(20));
                table.expire_disconnected(later);
                assert!(!table.poolers.contains_key(&"n2".into()));
            }
            "restarted" => {
                table.register(&"n2".into(), 2, 12, now.plus(20));
                table.acknowledge_revocation(&"n2".into(), &service, DbTerm(1), None);
            }
            "gave up its lease" => {
                table.acknowledge_revocation(&"n2".into(), &service, DbTerm(1), Some(at(8)))
            }
            _ => {}
        }
        let acknowledged = acknowledged_commits(&table, watermark, CoverageRule::Watermark, later);
        let furthest = match acknowledged.unreported {
            UnreportedCommits::Unknown => None,
            UnreportedCommits::Nothing => Some(acknowledged.reported),
            UnreportedCommits::UpTo(position) => Some(acknowledged.reported.max(Some(position))),
        };
        assert_eq!(furthest, expected, "{case}, {watermark:?}");
        let reported = if case == "gave up its lease" { 8 } else { 5 };
        assert_eq!(acknowledged.reported, Some(at(reported)), "{case}, {watermark:?}");
    }
}

#[test]
fn granting_a_term_again_after_a_cancelled_failover_voids_its_revocation() {
    let (node, service) = (NodeName::from("n1"), ServiceName::from("s"));
    let now = Tick(100_000);
    let mut table = LeaseTable::new(Tick(0));
    table.register(&node, 1, 10, now);
    let grant = lease_grant(&service, Some(1), 8);
    assert_eq!(grant_and_renew(&mut table, &node, grant.clone(), now), Some(grant.clone()));
    assert_eq!(grant_and_renew(&mut table, &node, grant.clone(), now), None, "nothing changed");
    table.acknowledge_revocation(&node, &service, DbTerm(1), None);
    assert!(table.all_released(&service, DbTerm(1), now.plus(10)));
    // The pooler discarded the grant, so it has to be sent again.
    assert_eq!(grant_and_renew(&mut table, &node, grant.clone(), now.plus(20)), Some(grant));
    assert!(!table.all_released(&service, DbTerm(1), now.plus(30)));
    assert_eq!(
        acknowledged_commits(&table, None, CoverageRule::WatermarkOrTimeout, now.plus(30)),
        AcknowledgedCommits::default()
    );
}

#[test]
fn a_new_leader_does_not_grant_all_connections_to_the_first_pooler() {
    let service = ServiceName::from("s");
    let now = Tick(100_000);
    let mut table = LeaseTable::new(now);
    // A pooler that has just started registers first, then those that have eight connections each.
    table.register(&"new".into(), 1, 0, now);
    assert_eq!(table.quota(&"new".into(), &service, 92, now), 4);
    for i in 1..10 {
        let node = NodeName(format!("n{i}"));
        table.register(&node, 1, i, now);
        table.report_quotas(&node, vec![(service.clone(), 8)], now);
        assert_eq!(table.quota(&node, &service, 92, now.plus(i)), 8, "{node} keeps its quota");
    }
    assert_eq!(table.quota(&"new".into(), &service, 92, now.plus(20)), 8);
}

#[test]
fn quotas_never_exceed_the_available_connections() {
    let service = ServiceName::from("s");
    let mut table = LeaseTable::new(Tick(0));
    let nodes: Vec<NodeName> = (0..12).map(|index| NodeName(format!("n{index}"))).collect();
    let mut now = Tick(100_000);
    let mut quotas: Vec<u32> = vec![0; nodes.len()];
    // Poolers connect one after the other, some disconnect, and each renews in turn.
    for round in 0..60u64 {
        now = now.plus(450);
        table.expire_disconnected(now);
        for (index, node) in nodes.iter().enumerate() {
            let is_connected = (index as u64) < round / 2 + 1 && !(round > 40 && index % 3 == 0);
            if is_connected {
                if table.poolers.get(node).is_none_or(|pooler| pooler.connection.is_none()) {
                    table.register(node, 1, index as u64, now);
                }
                table.report_quotas(node, vec![(service.clone(), quotas[index])], now);
                quotas[index] = table.quota(node, &service, 92, now);
                grant_and_renew(&mut table, node, lease_grant(&service, None, quotas[index]), now);
            } else if quotas[index] > 0 {
                table.disconnect(index as u64, now);
                // Its database connections close within three seconds of the disconnection.
                quotas[index] = if round > 48 { 0 } else { quotas[index] };
            }
            assert!(quotas.iter().sum::<u32>() <= 88, "round {round}: {quotas:?}");
        }
    }
    let granted = quotas.iter().filter(|quota| **quota > 0).count();
    assert!(granted == 8 && quotas.iter().all(|quota| *quota == 0 || *quota == 11), "{quotas:?}");
}

#[test]
fn a_draining_heartbeat_is_recorded_once_and_a_removed_database_stays_removed() {
    let id = InstanceId::from("a");
    let available = database(Lifecycle::Available, Role::Replica, "v1");
    let draining = database(Lifecycle::Draining, Role::Replica, "v1");
    let heartbeat = |instance: &Instance, sequence| Command::Heartbeat {
        id: id.clone(),
        instance: instance.clone(),
        sequence,
    };
    let mut state_machine = StateMachine::default();
    state_machine.apply(&heartbeat(&available, 3));
    // A heartbeat that was received but not committed may be lost with its leader, so a retry must
    // not count as recorded.
    for _ in 0..3 {
        assert!(state_machine.accepts_heartbeat(&id, &draining, 5));
    }
    assert_eq!(state_machine.apply(&heartbeat(&draining, 5)), CommandOutcome::Applied);
    // (heartbeat, its sequence number, whether it is accepted)
    for (instance, sequence, accepted) in
        [(&draining, 5, false), (&draining, 9, false), (&available, 4, false)]
    {
        assert_eq!(
            state_machine.accepts_heartbeat(&id, instance, sequence),
            accepted,
            "{instance:?} {sequence}"
        );
    }
    assert_eq!(state_machine.instances()[&id].instance, draining);
    // The database was removed; a heartbeat that was delayed for long arrives afterwards.
    state_machine.apply(&Command::RemoveInstance { id: id.clone(), sequence: u64::MAX });
    assert_eq!(state_machine.apply(&heartbeat(&draining, 40)), CommandOutcome::NoChange);
    // A database that was removed for missing heartbeats is added again by its next heartbeat.
    state_machine.apply(&Command::Heartbeat {
        id: "b".into(),
        instance: available.clone(),
        sequence: 7,
    });
    state_machine.apply(&Command::RemoveInstance { id: "b".into(), sequence: 0 });
    assert!(
        !state_machine.accepts_heartbeat(&"b".into(), &available, 7)
            && state_machine.accepts_heartbeat(&"b".into(), &available, 8)
    );
}

#[test]
fn a_lease_expires_a_lease_period_after_its_last_renewal() {
    let (node, service, other_service) =
        (NodeName::from("n"), ServiceName::from("s"), ServiceName::from("t"));
    let now = Tick(100_000);
    // (what happens to the lease on the first service after its renewal at 500 ms)
    for (case, event) in [("revoked", 0), ("new connection", 1), ("granted in a new term", 2)] {
        let mut table = LeaseTable::new(Tick(0));
        table.register(&node, 1, 10, now);
        grant_and_renew(&mut table, &node, lease_grant(&service, Some(1), 8), now);
        grant_and_renew(&mut table, &node, lease_grant(&other_service, Some(1), 8), now.plus(500));
        match event {
            0 => drop(grant_and_renew(
                &mut table,
                &node,
                lease_grant(&service, None, 8),
                now.plus(1_000),
            )),
            1 => table.register(&node, 1, 11, now.plus(1_000)),
            _ => drop(grant_and_renew(
                &mut table,
                &node,
                lease_grant(&service, Some(2), 8),
                now.plus(1_000),
            )),
        }
        let until = 500 + LEASE_MS;
        assert!(!table.all_released(&service, DbTerm(1), now.plus(until)), "{case}");
        assert!(table.all_released(&service, DbTerm(1), now.plus(until + 100)), "{case}");
        assert_eq!(
            table.all_released(&service, DbTerm(2), now.plus(until + 100)),
            event != 2,
            "{case}"
        );
    }
}

#[test]
fn a_retried_configuration_is_recognized_after_a_snapshot_and_concurrent_ones_conflict() {
    let body = |fill: u8| serde_bytes::ByteBuf::from(vec![fill; 40]);
    let put = |base, revision, fill| Command::PutConfiguration {
        base: Revision(base),
        revision: Revision(revision),
        body: body(fill),
    };
    let mut state_machine = StateMachine::default();
    assert_eq!(state_machine.apply(&put(0, 3, 1)), CommandOutcome::Applied);
    // Two configurations based on the same revision are committed one after the other.
    assert_eq!(state_machine.apply(&put(3, 5, 2)), CommandOutcome::Applied);
    assert_eq!(state_machine.apply(&put(3, 6, 9)), CommandOutcome::StaleBase);
    assert_eq!(
        (state_machine.revision(), state_machine.configuration_body()),
        (Revision(5), &body(2))
    );
    // Another controller restores the state from a snapshot.
    let bytes = pack(&state_machine);
    let mut restored = StateMachine::from_snapshot(&bytes).expect("a decodable snapshot");
    assert_eq!(restored, state_machine);
    // (base, revision, body, outcome)
    let cases = [
        (0, 3, 1, CommandOutcome::NoChange),
        (3, 5, 2, CommandOutcome::NoChange),
        (3, 5, 7, CommandOutcome::StaleBase),
        (3, 6, 9, CommandOutcome::StaleBase),
        (5, 5, 7, CommandOutcome::RevisionNotAbove),
        (5, 4, 7, CommandOutcome::RevisionNotAbove),
    ];
    for (base, revision, fill, outcome) in cases {
        assert_eq!(
            restored.evaluate_configuration(Revision(base), Revision(revision), &body(fill)),
            outcome
        );
        restored.apply(&put(base, revision, fill));
        assert_eq!(restored, state_machine, "{base} {revision} {fill} changes nothing");
    }
}

#[test]
fn a_position_bound_never_claims_to_be_newer_than_its_observation() {
    let service = ServiceName::from("s");
    let primary = PrimaryRecord { term: DbTerm(4), primary: "a".into(), intent: None };
    // Times are in tenths of a millisecond on a common clock. Each process counts whole
    // milliseconds from a start time of its own.
    let (leader_clock, reporter_clock, reader_clock) = (
        |time: u64| Tick((time + 317) / 10),
        |time: u64| Tick((time + 9_004) / 10),
        |time: u64| Tick((time + 55) / 10),
    );
    // (the leader's response is sent, received, the pooler sends its statement; another pooler
    // sends a renewal, its response is sent)
    let cases = [
        (10_000, 10_009, 10_019, 12_000, 12_009),
        (10_000, 14_000, 14_003, 14_500, 19_000),
        (10_001, 10_018, 14_449, 14_449, 14_450),
        (10_009, 10_010, 10_020, 10_021, 10_031),
        // The reporting pooler was suspended before it received the response.
        (10_000, 60_000, 60_020, 60_030, 60_040),
    ];
    for (response_sent, response_received, statement_sent, renewal_sent, renewal_answered) in cases
    {
        let bound = silvertack::pooler::replica_reads::elapsed_lower_bound_ms(
            reporter_clock(response_received),
            reporter_clock(statement_sent),
        )
        .map(|sent_after_ms| {
            let mut watermarks = ReplicationWatermarks::default();
            let observation = ObservedPosition {
                service: service.clone(),
                term: DbTerm(4),
                position: at(7),
                sent_after_ms,
            };
            watermarks.observe(
                Some(&primary),
                leader_clock(response_sent),
                &observation,
                leader_clock(renewal_answered),
            );
            watermarks
                .position_bound(&service, leader_clock(renewal_answered))
                .expect("a watermark")
        });
        let Some(bound) = bound else {
            assert!(
                statement_sent - response_received < 20,
                "only an interval too short to measure is left out"
            );
            continue;
        };
        // The time that the other pooler infers for the statement, on the common clock.
        let inferred = (reader_clock(renewal_sent).0 - bound.age_ms) * 10;
        assert!(
            inferred <= statement_sent + 55,
            "{response_sent} {response_received} {statement_sent} {renewal_sent}"
        );
    }
    // The statement was sent before the response was received, so no lower bound is known.
    assert_eq!(
        silvertack::pooler::replica_reads::elapsed_lower_bound_ms(Tick(100), Tick(99)),
        None
    );
}

#[test]
fn an_observation_is_recorded_only_if_it_is_newer_and_plausible() {
    let (service, now) = (ServiceName::from("s"), Tick(50_000));
    let primary = PrimaryRecord { term: DbTerm(4), primary: "a".into(), intent: None };
    let position = |term, number| Position { term: DbTerm(term), number };
    let first = position(4, 7);
    let unchanged = Some((first, 301));
    // (case, primary, term of the lease, observed position, when the response was sent, ms from
    // then to the observation, the position and age of the bound afterwards)
    let cases = [
        ("newer", Some(&primary), 4, position(4, 9), 49_900, 50, Some((position(4, 9), 51))),
        (
            "position of an earlier term, observed in the current one",
            Some(&primary),
            4,
            position(3, 9),
            49_900,
            50,
            Some((position(3, 9), 51)),
        ),
        ("older", Some(&primary), 4, position(4, 9), 49_600, 50, unchanged),
        ("equally old", Some(&primary), 4, position(4, 9), 49_600, 100, unchanged),
        ("in the future", Some(&primary), 4, position(4, 9), 49_900, 101, unchanged),
        ("far in the future", Some(&primary), 4, position(4, 9), 49_900, u64::MAX, unchanged),
        ("under an older lease", Some(&primary), 3, position(3, 9), 49_900, 50, unchanged),
        (
            "under a lease of a future term",
            Some(&primary),
            5,
            position(5, 1),
            49_900,
            50,
            unchanged,
        ),
        ("position of a future term", Some(&primary), 4, position(5, 1), 49_900, 50, unchanged),
        ("service without a primary", None, 4, position(4, 9), 49_900, 50, unchanged),
    ];
    for (case, current_primary, term, position, answered_at, sent_after_ms, expected) in cases {
        let mut watermarks = ReplicationWatermarks::default();
        let earlier = ObservedPosition {
            service: service.clone(),
            term: DbTerm(4),
            position: first,
            sent_after_ms: 100,
        };
        watermarks.observe(Some(&primary), Tick(49_600), &earlier, now);
        let observation = ObservedPosition {
            service: service.clone(),
            term: DbTerm(term),
            position,
            sent_after_ms,
        };
        watermarks.observe(current_primary, Tick(answered_at), &observation, now);
        let bound =
            watermarks.position_bound(&service, now).map(|bound| (bound.position, bound.age_ms));
        assert_eq!(bound, expected, "{case}");
        assert_eq!(watermarks.position_bound(&"other".into(), now), None);
    }
}

#[test]
fn pending_updates_list_the_services_changed_since_a_point() {
    let mut pending_updates = PendingUpdates::default();
    let (a, b) = (ServiceName::from("a"), ServiceName::from("b"));
    let since = |updates: &PendingUpdates, update| {
        updates.changed_since(update).map(|names| names.cloned().collect::<Vec<_>>())
    };
    assert_eq!(since(&pending_updates, 0), Some(vec![]));
    pending_updates.mark_changed(&a);
    let first = pending_updates.latest();
    pending_updates.mark_changed(&b);
    pending_updates.mark_changed(&a);
    assert_eq!(
        since(&pending_updates, first),
        Some(vec![b.clone(), a.clone()]),
        "each service once"
    );
    assert_eq!(since(&pending_updates, pending_updates.latest()), Some(vec![]));
    pending_updates.mark_all_changed();
    assert_eq!(since(&pending_updates, first), None);
    let all = pending_updates.latest();
    pending_updates.mark_changed(&b);
    assert_eq!(since(&pending_updates, all), Some(vec![b]));
}

#[test]
fn remaining_connections_are_granted_temporarily() {
    let service = ServiceName::from("s");
    let node = |i: u64| NodeName(format!("n{i}"));
    let mut table = LeaseTable::new(Tick(0));
    let start = Tick(100_000);
    for i in 0..4 {
        table.register(&node(i), 1, i, start);
        grant_and_renew(&mut table, &node(i), lease_grant(&service, None, 2), start);
        table.report_quotas(&node(i), vec![(service.clone(), 2)], start);
    }
    // Nine connections are available. (ms, pooler, additional connections it requests, quota it
    // reports, quota it is granted)
    let cases = [
        (0, 0, Some(3), None, 3),
        (10, 1, Some(1), None, 2),
        (20, 0, None, Some(3), 3),
        (2_000, 0, Some(2), None, 3),
        (4_000, 1, Some(1), None, 2),
        // Its request has expired, so it has to give up the extra connection.
        (5_100, 0, None, None, 2),
        (5_110, 1, Some(1), None, 2),
        (5_200, 0, None, Some(2), 2),
        (5_210, 1, Some(1), None, 3),
        (5_220, 2, Some(9), None, 2),
    ];
    for (after, pooler, requested, reported, expected) in cases {
        let (now, pooler) = (start.plus(after), node(pooler));
        if let Some(additional) = requested {
            table.request_quota(&pooler, &service, additional, now);
        }
        table.report_quotas(
            &pooler,
            reported.map(|quota| (service.clone(), quota)).into_iter().collect(),
            now,
        );
        let quota = table.quota(&pooler, &service, 12, now);
        grant_and_renew(&mut table, &pooler, lease_grant(&service, None, quota), now);
        assert_eq!(quota, expected, "{pooler} at {after}");
    }
    assert_eq!(
        table.services_with_quota_requests(&node(0)).count(),
        0,
        "its quota is no longer reevaluated"
    );
}
