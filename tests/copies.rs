//! Databases under losses in a row: whose answer counts, and who may hold the only copy.
use silvertack::common::config::{Instance, Lifecycle, Role};
use silvertack::common::ids::*;
use silvertack::common::peer::Doubt;
use silvertack::common::wire::Described;
use silvertack::steward::{
    Ask, Attempt, Change, Deed, Facts, Lead, Posted, Stage, Succession, Told,
};
use std::collections::BTreeSet;

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
/// A service with primary `a` in term 1 and replicas `b` and `c`.
fn facts() -> Facts {
    Facts {
        service: "s".into(),
        epoch: Epoch(3),
        lead: Some(Lead { term: DbTerm(1), primary: "a".into(), intent: None }),
        databases: vec![
            ("a".into(), database(Role::Primary)),
            ("b".into(), database(Role::Replica)),
            ("c".into(), database(Role::Replica)),
        ],
        beating: BTreeSet::from(["a".into(), "b".into(), "c".into()]),
        sync_replicas: 1,
        leases_gone: false,
        given_back: None,
    }
}
fn row(primary: bool, received: Position) -> Told {
    Told::Row(Described { primary, term: DbTerm(1), received })
}
fn ask(id: &str, ask: Ask) -> Deed {
    Deed::Ask(id.into(), ask)
}
const PAUSE: Ask = Ask::Pause(DbTerm(2));

/// The primary is doubted and refuses; gives what is asked of the replicas.
fn lost(s: &mut Succession, facts: &Facts, now: Tick) -> Vec<Deed> {
    s.suspect(facts, &"n1".into(), &"a".into(), Doubt::Broken, now);
    let deeds = s.told(facts, s.attempt, &"a".into(), Ask::Describe, &Told::Lost, now);
    assert_eq!(deeds[0], Deed::Revoke(DbTerm(1)));
    deeds[1..].to_vec()
}
fn tell(
    s: &mut Succession,
    facts: &Facts,
    id: &str,
    ask: Ask,
    number: u64,
    now: Tick,
) -> Vec<Deed> {
    s.told(facts, s.attempt, &id.into(), ask, &row(false, at(number)), now)
}
fn begun(facts: &Facts, now: Tick) -> Succession {
    let (mut s, _) = Succession::begin(facts, now);
    for id in ["b", "c"] {
        tell(&mut s, facts, id, Ask::Continue, 7, now);
    }
    s
}

#[test]
fn a_pause_of_an_earlier_attempt_says_nothing_about_this_one() {
    let (facts, now) = (facts(), Tick(50_000));
    let mut s = begun(&facts, now);
    lost(&mut s, &facts, now);
    let first = s.attempt;
    tell(&mut s, &facts, "b", PAUSE, 7, now);
    // The alarm was false: both go on, and receive what is committed from here on.
    s.told(&facts, first, &"a".into(), Ask::Describe, &row(true, at(7)), now);
    assert_eq!(s.stage, Stage::Steady);
    let later = now.plus(2_000);
    for id in ["b", "c"] {
        s.told(&facts, first, &id.into(), Ask::Continue, &row(false, at(7)), later);
    }
    assert_eq!(lost(&mut s, &facts, later), [ask("b", PAUSE), ask("c", PAUSE)]);
    tell(&mut s, &facts, "b", PAUSE, 9, later);
    // The answer of `c` to the first attempt comes now; it may have received more since.
    let late = s.told(&facts, first, &"c".into(), PAUSE, &row(false, at(7)), later);
    assert_eq!(late, [], "of an attempt that was called off");
    let chosen = tell(&mut s, &facts, "c", PAUSE, 11, later);
    let target = InstanceId::from("c");
    assert_eq!(
        chosen,
        [Deed::Propose(Change::Intend { service: "s".into(), term: DbTerm(1), target })]
    );
}

#[test]
fn an_order_that_is_under_way_is_overtaken_by_no_other() {
    let (facts, now) = (facts(), Tick(50_000));
    let (mut s, _) = Succession::begin(&facts, now);
    tell(&mut s, &facts, "b", Ask::Continue, 7, now);
    // `c` may still be let go by what is on its way: paused now, it would go on unseen.
    assert_eq!(lost(&mut s, &facts, now.plus(10)), [ask("b", PAUSE)]);
    assert!(!s.tick(&facts, now.plus(500)).contains(&ask("c", PAUSE)));
    for (told, after, asked) in [
        (Some(row(false, at(7))), 600, vec![ask("c", PAUSE)]),
        (Some(Told::Lost), 600, vec![ask("c", PAUSE)]),
        (Some(Told::Silent), 600, vec![]),
        (None, 3_100, vec![ask("b", PAUSE), ask("c", PAUSE)]),
    ] {
        let (mut s, now) = (s.clone(), now.plus(after));
        let mut deeds = match &told {
            Some(told) => s.told(&facts, s.attempt, &"c".into(), Ask::Continue, told, now),
            None => s.tick(&facts, now),
        };
        deeds.retain(|deed| matches!(deed, Deed::Ask(_, Ask::Pause(_))));
        assert_eq!(deeds, asked, "{told:?}");
    }
    // The other way round: `c` is not taken for let go while its pause may still come.
    tell(&mut s, &facts, "c", Ask::Continue, 7, now.plus(600));
    s.told(&facts, s.attempt, &"a".into(), Ask::Describe, &row(true, at(7)), now.plus(610));
    tell(&mut s, &facts, "c", Ask::Continue, 7, now.plus(620));
    assert!(s.tick(&facts, now.plus(1_700)).contains(&ask("c", Ask::Continue)));
    tell(&mut s, &facts, "c", PAUSE, 7, now.plus(1_710));
    tell(&mut s, &facts, "c", Ask::Continue, 7, now.plus(1_720));
    assert!(!s.tick(&facts, now.plus(2_800)).contains(&ask("c", Ask::Continue)));
}

#[test]
fn a_call_is_answered_by_its_own_answer_and_has_a_fence_of_its_own() {
    let (mut facts, now) = (facts(), Tick(50_000));
    let mut s = begun(&facts, now);
    lost(&mut s, &facts, now);
    tell(&mut s, &facts, "b", PAUSE, 7, now);
    tell(&mut s, &facts, "c", PAUSE, 9, now);
    let intend = |facts: &mut Facts, target: Option<&str>| {
        let intent = target.map(InstanceId::from);
        facts.lead = Some(Lead { term: DbTerm(1), primary: "a".into(), intent });
    };
    intend(&mut facts, Some("c"));
    assert_eq!(s.tick(&facts, now), [Deed::Post("c".into())]);
    let first = s.attempt;
    // Its outcome was never heard here, so it may have taken effect; it is made again.
    let again = now.plus(3_100);
    assert!(s.tick(&facts, again).contains(&Deed::Post("c".into())));
    assert!(s.attempt.fence() > first.fence());
    // The refusal of the first call comes late: the second is under way, and settles nothing yet.
    for (attempt, after) in [(first, 10), (s.attempt, 20), (first, 5_000)] {
        let deeds = s.posted(&facts, attempt, &"c".into(), Posted::Refused, again.plus(after));
        assert_eq!(deeds, [], "{attempt:?}");
    }
    let deeds = s.posted(&facts, s.attempt, &"c".into(), Posted::Refused, again.plus(5_000));
    assert!(matches!(deeds[..], [Deed::Propose(Change::Abandon { .. })]));
    let before = s.attempt;
    intend(&mut facts, None);
    s.tick(&facts, again.plus(5_010));
    // Another leader's are above all of these.
    let next = Attempt { epoch: Epoch(4), number: 0 };
    assert!(before.fence() < s.attempt.fence() && s.attempt.fence() < next.fence());
}
