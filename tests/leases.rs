//! Leases, connection quotas and parts: each row is a rule by which no two poolers get the same.
use silvertack::common::ids::*;
use silvertack::common::peer::{Grant, Standing};
use silvertack::steward::{Cadastre, LEASE_MS, LeaseBook};

/// From the grant of a lease until nobody can use it.
const LEASE_ENDS_MS: u64 = LEASE_MS + 50;
/// So long a lost pooler's connections are counted, and its last word is waited for.
const QUOTA_HELD_MS: u64 = 4_500;
const WORD_AWAITED_MS: u64 = 10_000;

const START: Tick = Tick(100_000);
const TERM: DbTerm = DbTerm(2);

fn at(number: u64) -> Position {
    Position { term: DbTerm(1), number }
}
fn service() -> ServiceName {
    "s".into()
}
fn node(number: u64) -> NodeName {
    NodeName(format!("n{number}"))
}
fn grant(standing: Standing, share: u32) -> Grant {
    Grant { service: service(), standing, share }
}
fn led(term: u64) -> Standing {
    Standing::Led { term: DbTerm(term), primary: "a".into() }
}
/// A book that has long been led with, and so many poolers on connections 0, 1 and so on.
fn book(poolers: u64) -> LeaseBook {
    let mut book = LeaseBook::new(Tick(0));
    for n in 0..poolers {
        book.seat(&node(n), 1, n, START);
    }
    book
}
/// A renewal is answered with this.
fn granted(book: &mut LeaseBook, to: u64, standing: Standing, share: u32, now: Tick) {
    book.tell(&node(to), grant(standing, share));
    book.renewed(&node(to), now);
}
/// A pooler asks for its quota of `total` and is told it.
fn quota(book: &mut LeaseBook, of: u64, total: u32, now: Tick) -> u32 {
    let share = book.share(&node(of), &service(), total, now);
    granted(book, of, Standing::Unled, share, now);
    share
}

/// The lease that is asked about is of term 2.
#[test]
fn a_lease_may_be_in_use_until_its_slack_is_over_or_it_was_given_back() {
    // (what was granted, what happens then, ms after the grant, whether the lease is gone)
    let cases = [
        ("not ended", 2, "nothing", LEASE_MS, false),
        ("within the slack", 2, "nothing", LEASE_ENDS_MS, false),
        ("after the slack", 2, "nothing", LEASE_ENDS_MS + 1, true),
        ("of an older term, not ended", 1, "nothing", 10, false),
        ("of an older term, within the slack", 1, "nothing", LEASE_ENDS_MS, false),
        ("of a newer term", 3, "nothing", 10, true),
        ("revoked, not ended", 2, "revoked", LEASE_ENDS_MS, false),
        ("revoked, of an older term", 1, "revoked", LEASE_ENDS_MS, false),
        ("revoked, after the slack", 2, "revoked", LEASE_ENDS_MS + 1, true),
        ("given back", 2, "term 2 given back", 10, true),
        ("an older term given back", 2, "term 1 given back", 10, false),
        ("an older term given back, slack", 2, "term 1 given back", LEASE_ENDS_MS, false),
        ("an older term given back, over", 2, "term 1 given back", LEASE_ENDS_MS + 1, true),
        ("a newer term given back", 2, "term 3 given back", 10, true),
        ("lost, within the slack", 2, "lost", LEASE_ENDS_MS, false),
        ("goodbye said", 2, "goodbye", 10, true),
        ("revoked, then goodbye said", 2, "revoked, goodbye", 10, true),
    ];
    for (what, term, then, after, gone) in cases {
        let mut book = book(1);
        granted(&mut book, 0, led(term), 8, START);
        let revoke = |book: &mut LeaseBook| granted(book, 0, Standing::Unled, 8, START.plus(5));
        let give_back = |book: &mut LeaseBook, term| {
            book.give_back(&node(0), &service(), DbTerm(term), Some(at(5)));
        };
        match then {
            "revoked" => revoke(&mut book),
            "term 1 given back" => give_back(&mut book, 1),
            "term 2 given back" => give_back(&mut book, 2),
            "term 3 given back" => give_back(&mut book, 3),
            "lost" => drop(book.lose(0, START.plus(5))),
            "goodbye" => book.leave(&node(0)),
            "revoked, goodbye" => {
                revoke(&mut book);
                book.leave(&node(0));
            }
            _ => assert_eq!(then, "nothing"),
        }
        assert_eq!(book.gone(&service(), TERM, START.plus(after)), gone, "{what}");
    }
}

#[test]
fn a_new_leader_waits_for_leases_of_which_it_may_not_know() {
    let book = LeaseBook::new(START);
    for (after, gone) in [(0, false), (LEASE_ENDS_MS, false), (LEASE_ENDS_MS + 1, true)] {
        assert_eq!(book.gone(&service(), TERM, START.plus(after)), gone, "after {after}");
    }
}

/// The watermark of a revoked term is certain once every pooler has said it or is covered.
#[test]
fn the_watermark_needs_a_word_on_this_term_or_a_sight_after_the_lease() {
    let seen = |after: u64| Some((START.plus(after), at(9)));
    // (what becomes of the pooler, what was seen, what is certain)
    let cases = [
        ("gave this term back", None, None),
        ("gave this term back", Some((Tick(LEASE_ENDS_MS), at(3))), Some(Some(at(5)))),
        ("gave an older term back", Some((Tick(LEASE_ENDS_MS), at(3))), None),
        ("gave an older term back", seen(LEASE_ENDS_MS - 1), None),
        ("gave an older term back", seen(LEASE_ENDS_MS), Some(Some(at(9)))),
        ("revoked", Some((Tick(LEASE_ENDS_MS), at(3))), None),
        ("revoked", seen(LEASE_ENDS_MS - 1), None),
        ("revoked", seen(LEASE_ENDS_MS), Some(Some(at(9)))),
        ("another process", Some((Tick(LEASE_ENDS_MS), at(3))), None),
        ("another process", seen(LEASE_ENDS_MS - 1), None),
        ("another process", seen(LEASE_ENDS_MS), Some(Some(at(9)))),
    ];
    for (what, seen, certain) in cases {
        let mut book = book(1);
        granted(&mut book, 0, led(2), 8, START);
        let now = START.plus(100);
        match what {
            "gave this term back" => book.give_back(&node(0), &service(), TERM, Some(at(5))),
            "gave an older term back" => {
                book.give_back(&node(0), &service(), DbTerm(1), Some(at(5)));
            }
            "another process" => {
                book.seat(&node(0), 2, 1, now);
                book.give_back(&node(0), &service(), TERM, None);
            }
            _ => granted(&mut book, 0, Standing::Unled, 8, now),
        }
        let told = book.given_back(&service(), TERM, seen, false, START.plus(30_000));
        assert_eq!(told, certain, "{what}, {seen:?}");
    }
}

#[test]
fn of_poolers_that_are_forgotten_the_last_lease_counts() {
    for (first, second) in [(2_000, 0), (0, 2_000)] {
        let mut book = book(2);
        granted(&mut book, 0, led(2), 4, START.plus(first));
        granted(&mut book, 1, led(2), 4, START.plus(second));
        book.lose(0, START.plus(2_100));
        book.lose(1, START.plus(2_100));
        let now = START.plus(2_100 + WORD_AWAITED_MS);
        book.forget_old(now);
        assert!(book.seats.is_empty());
        for (after, certain) in [(0, false), (1_999, false), (2_000, true)] {
            let seen = Some((START.plus(LEASE_ENDS_MS + after), at(9)));
            let told = book.given_back(&service(), TERM, seen, false, now);
            assert_eq!(told, certain.then_some(Some(at(9))), "{first} {second}, {after}");
        }
    }
}

#[test]
fn a_lost_pooler_may_come_back_and_is_forgotten_only_after_its_word_is_overdue() {
    // (ms after the loss, whether its quota is freed there, whether it is still known)
    for (after, freed, known) in [
        (QUOTA_HELD_MS - 1, false, true),
        (QUOTA_HELD_MS, true, true),
        (WORD_AWAITED_MS - 1, true, true),
        (WORD_AWAITED_MS, true, false),
    ] {
        let mut lost = book(1);
        lost.lose(0, START);
        assert_eq!(lost.forget_old(START.plus(after)), freed, "after {after}");
        assert_eq!(lost.seats.contains_key(&node(0)), known, "after {after}");
        // Back on a new connection it is lost no more, however much later that is looked at.
        let mut back = book(1);
        back.lose(0, START);
        back.seat(&node(0), 1, 1, START.plus(1_000));
        assert!(!back.forget_old(START.plus(after)), "back, after {after}");
        assert!(back.seats.contains_key(&node(0)), "back, after {after}");
    }
}

#[test]
fn what_is_told_again_to_a_pooler() {
    let sealed = Standing::Sealed(at(9));
    // (what is told twice, whether there is a new connection in between, whether it is told again)
    let cases = [
        (led(2), false, false),
        (led(2), true, true),
        (Standing::Unled, false, false),
        (Standing::Unled, true, true),
        (sealed.clone(), false, true),
        (sealed, true, true),
    ];
    for (standing, anew, again) in cases {
        let mut book = book(1);
        let told = grant(standing, 4);
        assert_eq!(book.tell(&node(0), told.clone()), Some(told.clone()));
        if anew {
            book.seat(&node(0), 1, 1, START.plus(10));
        }
        assert_eq!(book.tell(&node(0), told.clone()), again.then_some(told.clone()), "{told:?}");
    }
}

/// Of twelve connections nine are given out, as a quarter of so few is kept back.
#[test]
fn a_quota_counts_whatever_another_process_may_still_hold() {
    let total = 12;
    // (what becomes of the one that had all, ms after that, the quotas of it and of another then)
    let cases = [
        ("there", 10, Some(4), 0),
        ("another connection", 10, Some(4), 0),
        ("another process", 10, Some(4), 4),
        ("lost", QUOTA_HELD_MS - 1, None, 0),
        ("lost", QUOTA_HELD_MS, None, 9),
        ("lost and back", QUOTA_HELD_MS, Some(0), 9),
    ];
    for (what, after, own, others) in cases {
        let mut book = book(1);
        assert_eq!(quota(&mut book, 0, total, START), 9);
        book.seat(&node(1), 1, 1, START);
        assert_eq!(quota(&mut book, 1, total, START), 0, "nothing is left");
        let now = START.plus(after);
        match what {
            "another connection" => book.seat(&node(0), 1, 2, START),
            "another process" => book.seat(&node(0), 2, 2, START),
            "lost" | "lost and back" => drop(book.lose(0, START)),
            _ => assert_eq!(what, "there"),
        }
        book.forget_old(now);
        assert_eq!(book.share(&node(1), &service(), total, now), others, "{what}");
        if what == "lost and back" {
            // The other was given all meanwhile, and the first still has what it had.
            granted(&mut book, 1, Standing::Unled, 9, now);
            book.seat(&node(0), 1, 2, now);
        }
        if let Some(own) = own {
            assert_eq!(book.share(&node(0), &service(), total, now), own, "{what}");
        }
    }
}

#[test]
fn a_pooler_on_a_second_connection_is_one_pooler() {
    let mut book = book(1);
    for conn in 1..4 {
        book.seat(&node(0), 1, conn, START);
    }
    assert_eq!(quota(&mut book, 0, 12, START), 9);
}

#[test]
fn quotas_of_more_poolers_than_connections_stay_below_the_total() {
    // (connections of the database, poolers, what they get one after the other)
    let cases: [(u32, u64, &[u32]); 4] = [
        (4, 5, &[1, 1, 1, 0, 0]),
        (1, 2, &[1, 0]),
        (12, 2, &[4, 4]),
        (92, 8, &[11, 11, 11, 11, 11, 11, 11, 11]),
    ];
    for (total, poolers, quotas) in cases {
        let mut book = book(poolers);
        let got: Vec<u32> = (0..poolers).map(|n| quota(&mut book, n, total, START)).collect();
        assert_eq!(got, quotas, "{total} among {poolers}");
    }
}

#[test]
fn a_young_leader_gives_no_more_than_somebody_has_while_quotas_may_be_held() {
    // (ms after the election, what the only pooler it knows gets of 88)
    for (after, share) in [(0, 4), (1_000, 4), (QUOTA_HELD_MS - 1, 4), (QUOTA_HELD_MS, 88)] {
        let mut book = LeaseBook::new(START);
        book.seat(&node(0), 1, 0, START);
        assert_eq!(book.share(&node(0), &service(), 92, START.plus(after)), share, "{after}");
    }
}

#[test]
fn others_hear_of_a_quota_that_shrank_or_is_the_largest_so_far() {
    let mut book = book(2);
    granted(&mut book, 0, Standing::Unled, 4, START);
    // (who, the connections it says it has, whether others may get more now)
    let cases =
        [(0, 9, true), (0, 9, false), (1, 9, false), (0, 4, true), (0, 2, false), (1, 10, true)];
    for (row, (who, share, stirred)) in cases.into_iter().enumerate() {
        let names = book.report(&node(who), vec![(service(), share)], START);
        assert_eq!(names == [service()], stirred, "row {row}: {names:?}");
    }
}

/// Four poolers, nine connections to give: two each, and one is left to lend.
#[test]
fn what_is_lent_is_lent_once_and_looked_at_until_it_is_back() {
    let mut book = book(4);
    book.want(&node(0), &service(), 5, START);
    assert_eq!(quota(&mut book, 0, 12, START), 3);
    // The others have not taken their parts yet, which are theirs all the same.
    book.want(&node(1), &service(), 5, START);
    assert_eq!(quota(&mut book, 1, 12, START), 2, "it is lent already");
    // (ms later, what the first says it has, its quota, whether it is looked at after that)
    for (after, says, share, looked) in
        [(2_999, 3, 3, true), (3_000, 3, 2, true), (3_100, 3, 2, true), (3_200, 2, 2, false)]
    {
        let now = START.plus(after);
        book.report(&node(0), vec![(service(), says)], now);
        assert_eq!(quota(&mut book, 0, 12, now), share, "after {after}");
        assert_eq!(book.lent(&node(0)).count() == 1, looked, "after {after}");
    }
}

#[test]
fn a_part_is_told_once_on_a_connection_and_again_on_the_next() {
    let mut cadastre = Cadastre::new(START);
    cadastre.report(&node(0), "here", service(), 100);
    cadastre.divide(|_| true, START.plus(3_000));
    for (row, (all, told)) in [(false, 1), (false, 0), (true, 1)].into_iter().enumerate() {
        assert_eq!(cadastre.due(&node(0), all).len(), told, "row {row}");
    }
}
