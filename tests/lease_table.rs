//! The leader's tables: leases and quotas of poolers, replication watermarks, pending updates, and what
//! the state machine makes of heartbeats and configurations.
use silvertack::base::ids::{DbTerm, InstanceId, NodeName, Position, Revision, ServiceName};
use silvertack::base::time::Tick;
use silvertack::config::directory::{Instance, Lifecycle, Role};
use silvertack::controller::pending_updates::PendingUpdates;
use silvertack::leases::lease_table::{CoverageRule, LEASE_MS, LeaseTable};
use silvertack::leases::passed_on::{AcknowledgedCommits, UnreportedCommits};
use silvertack::leases::watermarks::{ReplicationWatermarks, Watermark};
use silvertack::net::rpc::pack;
use silvertack::net::rpc::pooler_messages::{LeaseGrant, ObservedPosition, PrimaryStatus};
use silvertack::state_machine::{Command, CommandOutcome, PrimaryRecord, StateMachine};

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
fn passed_on(reported: Option<Option<Position>>) -> AcknowledgedCommits {
    reported.map_or_else(AcknowledgedCommits::default, |reported| AcknowledgedCommits {
        reported,
        unreported: UnreportedCommits::Nothing,
    })
}
/// What is granted: a lease on `a` in this term, or none, and a quota.
fn grant(service: &ServiceName, term: Option<u64>, share: u32) -> LeaseGrant {
    let led = |term| PrimaryStatus::Active { term: DbTerm(term), primary: "a".into() };
    LeaseGrant {
        service: service.clone(),
        status: term.map_or(PrimaryStatus::Absent, led),
        quota: share,
    }
}
/// A renewal is answered with this.
fn granted(
    book: &mut LeaseTable,
    node: &NodeName,
    grant: LeaseGrant,
    now: Tick,
) -> Option<LeaseGrant> {
    let told = book.grant(node, grant);
    book.renew(node, now);
    told
}

/// What the book knows of commits of term 1.
fn told(
    book: &LeaseTable,
    seen: Option<Watermark>,
    rule: CoverageRule,
    now: Tick,
) -> AcknowledgedCommits {
    book.acknowledged_commits(&"s".into(), DbTerm(1), None, seen, rule, now)
}

#[test]
fn leases_are_gone_only_when_no_pooler_can_use_one() {
    let (n1, n2, s) = (NodeName::from("n1"), NodeName::from("n2"), ServiceName::from("s"));
    let start = Tick(100_000);
    let mut book = LeaseTable::new(start);
    assert!(
        !book.all_released(&s, DbTerm(1), start.plus(LEASE_MS)),
        "another leader may have granted before"
    );
    let now = start.plus(20_000);
    assert!(book.all_released(&s, DbTerm(1), now));
    book.register(&n1, 1, 10, now);
    book.register(&n2, 1, 11, now);
    granted(&mut book, &n1, grant(&s, Some(1), 8), now);
    granted(&mut book, &n2, grant(&s, Some(1), 8), now);
    book.acknowledge_revocation(&n1, &s, DbTerm(1), Some(at(5)));
    assert!(!book.all_released(&s, DbTerm(1), now.plus(10)));
    assert_eq!(
        told(&book, None, CoverageRule::WatermarkOrTimeout, now),
        AcknowledgedCommits { reported: Some(at(5)), unreported: UnreportedCommits::Unknown },
        "one has not said"
    );
    // A pooler that is lost keeps its lease until it runs out, and what it passed on is not known.
    book.disconnect(11, now.plus(20));
    assert!(!book.all_released(&s, DbTerm(1), now.plus(LEASE_MS)));
    assert!(book.all_released(&s, DbTerm(1), now.plus(LEASE_MS + 100)));
    assert_eq!(
        told(&book, None, CoverageRule::WatermarkOrTimeout, now.plus(LEASE_MS + 100)),
        AcknowledgedCommits { reported: Some(at(5)), unreported: UnreportedCommits::Unknown }
    );
    book.acknowledge_revocation(&n2, &s, DbTerm(1), Some(at(8)));
    assert_eq!(
        told(&book, None, CoverageRule::WatermarkOrTimeout, now),
        passed_on(Some(Some(at(8))))
    );
    assert!(book.all_released(&s, DbTerm(1), now.plus(30)), "given back is gone at once");
}

#[test]
fn a_pooler_that_says_nothing_is_covered_only_by_what_was_seen_after_its_lease() {
    let s = ServiceName::from("s");
    let (elected, now) = (Tick(100_000), Tick(150_000));
    let late = now.plus(30_000);
    let end = LEASE_MS + 50;
    let watermark = |as_of, number| Some(Watermark { as_of, position: at(number) });
    // (what became of the second pooler, what was seen when, the furthest position that is certain:
    // the first one reported 5)
    let cases = [
        ("there", None, None),
        ("lost", None, None),
        ("lost", watermark(now.plus(end - 1), 9), None),
        ("lost", watermark(now.plus(end), 9), Some(Some(at(9)))),
        ("lost", watermark(now.plus(end), 3), Some(Some(at(5)))),
        ("restarted", None, None),
        ("restarted", watermark(now.plus(end), 9), Some(Some(at(9)))),
        ("gave back", None, None),
        ("gave back", watermark(elected.plus(end), 2), Some(Some(at(8)))),
    ];
    for (what, seen, certain) in cases {
        let mut book = LeaseTable::new(elected);
        for (node, conn) in [("n1", 10), ("n2", 11)] {
            book.register(&node.into(), 1, conn, now);
            granted(&mut book, &node.into(), grant(&s, Some(1), 8), now);
        }
        book.acknowledge_revocation(&"n1".into(), &s, DbTerm(1), Some(at(5)));
        match what {
            "lost" => {
                book.disconnect(11, now.plus(20));
                book.expire_disconnected(late);
                assert!(!book.poolers.contains_key(&"n2".into()));
            }
            "restarted" => {
                book.register(&"n2".into(), 2, 12, now.plus(20));
                book.acknowledge_revocation(&"n2".into(), &s, DbTerm(1), None);
            }
            "gave back" => book.acknowledge_revocation(&"n2".into(), &s, DbTerm(1), Some(at(8))),
            _ => {}
        }
        let told = told(&book, seen, CoverageRule::Watermark, late);
        let known = match told.unreported {
            UnreportedCommits::Unknown => None,
            UnreportedCommits::Nothing => Some(told.reported),
            UnreportedCommits::UpTo(position) => Some(told.reported.max(Some(position))),
        };
        assert_eq!(known, certain, "{what}, {seen:?}");
        let reported = if what == "gave back" { 8 } else { 5 };
        assert_eq!(told.reported, Some(at(reported)), "{what}, {seen:?}");
    }
}

#[test]
fn a_term_granted_again_after_a_false_alarm_is_not_given_back_any_more() {
    let (node, s) = (NodeName::from("n1"), ServiceName::from("s"));
    let now = Tick(100_000);
    let mut book = LeaseTable::new(Tick(0));
    book.register(&node, 1, 10, now);
    let full = grant(&s, Some(1), 8);
    assert_eq!(granted(&mut book, &node, full.clone(), now), Some(full.clone()));
    assert_eq!(granted(&mut book, &node, full.clone(), now), None, "nothing changed");
    book.acknowledge_revocation(&node, &s, DbTerm(1), None);
    assert!(book.all_released(&s, DbTerm(1), now.plus(10)));
    // The pooler dropped it, so it has to be told in full again.
    assert_eq!(granted(&mut book, &node, full.clone(), now.plus(20)), Some(full));
    assert!(!book.all_released(&s, DbTerm(1), now.plus(30)));
    assert_eq!(
        told(&book, None, CoverageRule::WatermarkOrTimeout, now.plus(30)),
        AcknowledgedCommits::default()
    );
}

#[test]
fn a_new_leader_does_not_give_all_to_the_first_who_comes() {
    let s = ServiceName::from("s");
    let now = Tick(100_000);
    let mut book = LeaseTable::new(now);
    // A pooler that just started comes first, then those that hold eight each.
    book.register(&"fresh".into(), 1, 0, now);
    assert_eq!(book.quota(&"fresh".into(), &s, 92, now), 4);
    for i in 1..10 {
        let node = NodeName(format!("n{i}"));
        book.register(&node, 1, i, now);
        book.report_quotas(&node, vec![(s.clone(), 8)], now);
        assert_eq!(book.quota(&node, &s, 92, now.plus(i)), 8, "{node} keeps what it had");
    }
    assert_eq!(book.quota(&"fresh".into(), &s, 92, now.plus(20)), 8);
}

#[test]
fn shares_never_add_up_to_more_than_the_total() {
    let s = ServiceName::from("s");
    let mut book = LeaseTable::new(Tick(0));
    let nodes: Vec<NodeName> = (0..12).map(|i| NodeName(format!("n{i}"))).collect();
    let mut now = Tick(100_000);
    let mut held: Vec<u32> = vec![0; nodes.len()];
    // Stiles come one after the other, some leave, and each asks in turn.
    for round in 0..60u64 {
        now = now.plus(450);
        book.expire_disconnected(now);
        for (i, node) in nodes.iter().enumerate() {
            let here = (i as u64) < round / 2 + 1 && !(round > 40 && i % 3 == 0);
            if here {
                if book.poolers.get(node).is_none_or(|p| p.connection.is_none()) {
                    book.register(node, 1, i as u64, now);
                }
                book.report_quotas(node, vec![(s.clone(), held[i])], now);
                held[i] = book.quota(node, &s, 92, now);
                granted(&mut book, node, grant(&s, None, held[i]), now);
            } else if held[i] > 0 {
                book.disconnect(i as u64, now);
                // Its connections end within three seconds of its loss.
                held[i] = if round > 48 { 0 } else { held[i] };
            }
            assert!(held.iter().sum::<u32>() <= 88, "round {round}: {held:?}");
        }
    }
    let live = held.iter().filter(|h| **h > 0).count();
    assert!(live == 8 && held.iter().all(|h| *h == 0 || *h == 11), "{held:?}");
}

#[test]
fn a_leaving_is_news_until_it_is_committed_and_nothing_brings_one_back_that_said_goodbye() {
    let id = InstanceId::from("a");
    let stays = database(Lifecycle::Available, Role::Replica, "v1");
    let leaves = database(Lifecycle::Draining, Role::Replica, "v1");
    let heartbeat = |instance: &Instance, sequence| Command::Heartbeat {
        id: id.clone(),
        instance: instance.clone(),
        sequence,
    };
    let mut state_machine = StateMachine::default();
    state_machine.apply(&heartbeat(&stays, 3));
    // Heard once and perhaps lost with its leader: a repeat must not pass as known.
    for _ in 0..3 {
        assert!(state_machine.accepts_heartbeat(&id, &leaves, 5));
    }
    assert_eq!(state_machine.apply(&heartbeat(&leaves, 5)), CommandOutcome::Applied);
    // (what is told, its sequence, whether it is news)
    for (told, sequence, news) in [(&leaves, 5, false), (&leaves, 9, false), (&stays, 4, false)] {
        assert_eq!(
            state_machine.accepts_heartbeat(&id, told, sequence),
            news,
            "{told:?} {sequence}"
        );
    }
    assert_eq!(state_machine.instances()[&id].instance, leaves);
    // It said goodbye: a heartbeat that was under way for long comes after all.
    state_machine.apply(&Command::RemoveInstance { id: id.clone(), sequence: u64::MAX });
    assert_eq!(state_machine.apply(&heartbeat(&leaves, 40)), CommandOutcome::NoChange);
    // One that was only not heard of for long may come back with its next heartbeat.
    state_machine.apply(&Command::Heartbeat {
        id: "b".into(),
        instance: stays.clone(),
        sequence: 7,
    });
    state_machine.apply(&Command::RemoveInstance { id: "b".into(), sequence: 0 });
    assert!(
        !state_machine.accepts_heartbeat(&"b".into(), &stays, 7)
            && state_machine.accepts_heartbeat(&"b".into(), &stays, 8)
    );
}

#[test]
fn a_lease_that_is_not_renewed_runs_out_from_when_it_last_was() {
    let (node, s, t) = (NodeName::from("n"), ServiceName::from("s"), ServiceName::from("t"));
    let now = Tick(100_000);
    // (what happens to the lease on s after its renewal at +500)
    for (what, how) in [("told so", 0), ("a new connection", 1), ("given to another", 2)] {
        let mut book = LeaseTable::new(Tick(0));
        book.register(&node, 1, 10, now);
        granted(&mut book, &node, grant(&s, Some(1), 8), now);
        granted(&mut book, &node, grant(&t, Some(1), 8), now.plus(500));
        match how {
            0 => drop(granted(&mut book, &node, grant(&s, None, 8), now.plus(1_000))),
            1 => book.register(&node, 1, 11, now.plus(1_000)),
            _ => drop(granted(&mut book, &node, grant(&s, Some(2), 8), now.plus(1_000))),
        }
        let until = 500 + LEASE_MS;
        assert!(!book.all_released(&s, DbTerm(1), now.plus(until)), "{what}");
        assert!(book.all_released(&s, DbTerm(1), now.plus(until + 100)), "{what}");
        assert_eq!(book.all_released(&s, DbTerm(2), now.plus(until + 100)), how != 2, "{what}");
    }
}

#[test]
fn a_taken_configuration_is_known_again_after_a_snapshot_and_only_one_of_two_wins() {
    let body = |n: u8| serde_bytes::ByteBuf::from(vec![n; 40]);
    let put = |base, revision, n| Command::PutConfiguration {
        base: Revision(base),
        revision: Revision(revision),
        body: body(n),
    };
    let mut state_machine = StateMachine::default();
    assert_eq!(state_machine.apply(&put(0, 3, 1)), CommandOutcome::Applied);
    // Two built on the same version reach the log, one behind the other.
    assert_eq!(state_machine.apply(&put(3, 5, 2)), CommandOutcome::Applied);
    assert_eq!(state_machine.apply(&put(3, 6, 9)), CommandOutcome::StaleBase);
    assert_eq!(
        (state_machine.revision(), state_machine.configuration_body()),
        (Revision(5), &body(2))
    );
    // Another leader has it from a snapshot.
    let bytes = pack(&state_machine);
    let mut other = StateMachine::from_snapshot(&bytes).expect("as it was packed");
    assert_eq!(other, state_machine);
    // (base, revision, body, what comes of it)
    let cases = [
        (0, 3, 1, CommandOutcome::NoChange),
        (3, 5, 2, CommandOutcome::NoChange),
        (3, 5, 7, CommandOutcome::StaleBase),
        (3, 6, 9, CommandOutcome::StaleBase),
        (5, 5, 7, CommandOutcome::RevisionNotAbove),
        (5, 4, 7, CommandOutcome::RevisionNotAbove),
    ];
    for (base, revision, n, effect) in cases {
        assert_eq!(
            other.evaluate_configuration(Revision(base), Revision(revision), &body(n)),
            effect
        );
        other.apply(&put(base, revision, n));
        assert_eq!(other, state_machine, "{base} {revision} {n} changes nothing");
    }
}

#[test]
fn a_floor_from_another_pooler_is_never_newer_than_it_was() {
    let s = ServiceName::from("s");
    let lead = PrimaryRecord { term: DbTerm(4), primary: "a".into(), intent: None };
    // On one true clock, in tenths of a millisecond; each process counts whole milliseconds from a
    // start of its own.
    let (leader, one, other) = (
        |t: u64| Tick((t + 317) / 10),
        |t: u64| Tick((t + 9_004) / 10),
        |t: u64| Tick((t + 55) / 10),
    );
    // (an answer leaves, is in hand, the statement is sent; another asks, is answered)
    let cases = [
        (10_000, 10_009, 10_019, 12_000, 12_009),
        (10_000, 14_000, 14_003, 14_500, 19_000),
        (10_001, 10_018, 14_449, 14_449, 14_450),
        (10_009, 10_010, 10_020, 10_021, 10_031),
        // The one that tells was frozen before it had the answer in hand.
        (10_000, 60_000, 60_020, 60_030, 60_040),
    ];
    for (left, in_hand, sent, asked, answered) in cases {
        let told =
            silvertack::pooler::replica_reads::elapsed_lower_bound_ms(one(in_hand), one(sent)).map(
                |after| {
                    let mut known = ReplicationWatermarks::default();
                    let saw = ObservedPosition {
                        service: s.clone(),
                        term: DbTerm(4),
                        position: at(7),
                        sent_after_ms: after,
                    };
                    known.observe(Some(&lead), leader(left), &saw, leader(answered));
                    known.position_bound(&s, leader(answered)).expect("told")
                },
            );
        let Some(fresh) = told else {
            assert!(sent - in_hand < 20, "only what is too close to tell is left out");
            continue;
        };
        // What the other takes for the time of sending, on the true clock.
        let seen = (other(asked).0 - fresh.age_ms) * 10;
        assert!(seen <= sent + 55, "{left} {in_hand} {sent} {asked}");
    }
    // Sent before the answer was in hand: nothing is known of when.
    assert_eq!(
        silvertack::pooler::replica_reads::elapsed_lower_bound_ms(Tick(100), Tick(99)),
        None
    );
}

#[test]
fn what_a_pooler_saw_counts_only_if_it_can_be() {
    let (s, now) = (ServiceName::from("s"), Tick(50_000));
    let lead = PrimaryRecord { term: DbTerm(4), primary: "a".into(), intent: None };
    let position = |term, number| Position { term: DbTerm(term), number };
    let first = position(4, 7);
    let kept = Some((first, 301));
    // (what, lead, term of the lease, position, when the answer left, ms after it, what is known then)
    let cases = [
        ("newer", Some(&lead), 4, position(4, 9), 49_900, 50, Some((position(4, 9), 51))),
        (
            "of the term before, seen under the present one",
            Some(&lead),
            4,
            position(3, 9),
            49_900,
            50,
            Some((position(3, 9), 51)),
        ),
        ("older", Some(&lead), 4, position(4, 9), 49_600, 50, kept),
        ("as old", Some(&lead), 4, position(4, 9), 49_600, 100, kept),
        ("from the future", Some(&lead), 4, position(4, 9), 49_900, 101, kept),
        ("from far in the future", Some(&lead), 4, position(4, 9), 49_900, u64::MAX, kept),
        ("under an older lease", Some(&lead), 3, position(3, 9), 49_900, 50, kept),
        ("under a lease of a term to come", Some(&lead), 5, position(5, 1), 49_900, 50, kept),
        ("a position of a term to come", Some(&lead), 4, position(5, 1), 49_900, 50, kept),
        ("of a service that nobody leads", None, 4, position(4, 9), 49_900, 50, kept),
    ];
    for (what, lead_now, term, position, answered, after, known) in cases {
        let mut watermarks = ReplicationWatermarks::default();
        let before = ObservedPosition {
            service: s.clone(),
            term: DbTerm(4),
            position: first,
            sent_after_ms: 100,
        };
        watermarks.observe(Some(&lead), Tick(49_600), &before, now);
        let saw = ObservedPosition {
            service: s.clone(),
            term: DbTerm(term),
            position,
            sent_after_ms: after,
        };
        watermarks.observe(lead_now, Tick(answered), &saw, now);
        let told = watermarks.position_bound(&s, now).map(|f| (f.position, f.age_ms));
        assert_eq!(told, known, "{what}");
        assert_eq!(watermarks.position_bound(&"other".into(), now), None);
    }
}

#[test]
fn tidings_name_what_was_stirred_since_and_everything_when_all_was() {
    let mut pending_updates = PendingUpdates::default();
    let (a, b) = (ServiceName::from("a"), ServiceName::from("b"));
    let since = |t: &PendingUpdates, told| {
        t.changed_since(told).map(|names| names.cloned().collect::<Vec<_>>())
    };
    assert_eq!(since(&pending_updates, 0), Some(vec![]));
    pending_updates.mark_changed(&a);
    let first = pending_updates.latest();
    pending_updates.mark_changed(&b);
    pending_updates.mark_changed(&a);
    assert_eq!(since(&pending_updates, first), Some(vec![b.clone(), a.clone()]), "each once");
    assert_eq!(since(&pending_updates, pending_updates.latest()), Some(vec![]));
    pending_updates.mark_all_changed();
    assert_eq!(since(&pending_updates, first), None);
    let all = pending_updates.latest();
    pending_updates.mark_changed(&b);
    assert_eq!(since(&pending_updates, all), Some(vec![b]));
}

#[test]
fn what_the_division_leaves_over_is_lent_and_comes_back() {
    let s = ServiceName::from("s");
    let node = |i: u64| NodeName(format!("n{i}"));
    let mut book = LeaseTable::new(Tick(0));
    let start = Tick(100_000);
    for i in 0..4 {
        book.register(&node(i), 1, i, start);
        granted(&mut book, &node(i), grant(&s, None, 2), start);
        book.report_quotas(&node(i), vec![(s.clone(), 2)], start);
    }
    // Nine to give in all. (when, who, how many more it wants or what it says it has, its share)
    let cases = [
        (0, 0, Some(3), None, 3),
        (10, 1, Some(1), None, 2),
        (20, 0, None, Some(3), 3),
        (2_000, 0, Some(2), None, 3),
        (4_000, 1, Some(1), None, 2),
        // It wanted no more for long, and has to give back what it still has.
        (5_100, 0, None, None, 2),
        (5_110, 1, Some(1), None, 2),
        (5_200, 0, None, Some(2), 2),
        (5_210, 1, Some(1), None, 3),
        (5_220, 2, Some(9), None, 2),
    ];
    for (after, who, wants, says, share) in cases {
        let (now, who) = (start.plus(after), node(who));
        if let Some(more) = wants {
            book.request_quota(&who, &s, more, now);
        }
        book.report_quotas(&who, says.map(|n| (s.clone(), n)).into_iter().collect(), now);
        let given = book.quota(&who, &s, 12, now);
        granted(&mut book, &who, grant(&s, None, given), now);
        assert_eq!(given, share, "{who} at {after}");
    }
    assert_eq!(book.services_with_quota_requests(&node(0)).count(), 0, "and is looked at no more");
}
