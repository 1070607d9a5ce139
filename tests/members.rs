//! Who belongs to the stewards: losses, returns and replacements in every order.
#[path = "support/stewards.rs"]
mod stewards;
use std::collections::HashSet;
use stewards::{Orchard, SYNC_MS, State};

#[derive(Clone, Copy, Debug, PartialEq)]
enum Event {
    Lose(usize, State),
    Back(usize, bool),
    Wait(u64),
}
/// What tells two moments apart, whoever it concerns.
type Key = (Vec<(State, u64, u8, bool)>, usize, usize);

fn key(orchard: &Orchard) -> Key {
    let (list, leader) = (orchard.members(), orchard.leader());
    let vote = |id: u64| list.iter().find(|m| m.id.0 == id).map_or(0, |m| 1 + u8::from(m.voter));
    let mut each: Vec<_> = (0..orchard.machines.len())
        .map(|i| {
            let m = &orchard.machines[i];
            let age = orchard.now.since(m.back).min(SYNC_MS) / 500;
            (m.state, if m.state == State::Up { age } else { 0 }, vote(m.id), leader == Some(i))
        })
        .collect();
    each.sort();
    let voters = list.iter().filter(|m| m.voter).count();
    (each, voters, list.len())
}

/// What may happen now, within what a deployment promises: no more than so many lost at once. One
/// that still counts as lost may be lost again. Of machines that are alike one stands for all.
fn events(orchard: &Orchard) -> Vec<Event> {
    let (list, leader, mut seen) = (orchard.members(), orchard.leader(), HashSet::new());
    let mut all = vec![Event::Wait(700), Event::Wait(SYNC_MS)];
    for (i, m) in orchard.machines.iter().enumerate() {
        let vote = list.iter().find(|l| l.id.0 == m.id).map(|l| l.voter);
        if !seen.insert((m.state, orchard.settled(i), vote, leader == Some(i))) {
            continue;
        }
        match m.state {
            State::Up if !orchard.settled(i) || orchard.lost() < orchard.bears => {
                all.extend([State::Cut, State::Gone].map(|s| Event::Lose(i, s)));
            }
            State::Up => {}
            State::Cut => all.extend([Event::Back(i, false), Event::Lose(i, State::Gone)]),
            State::Gone => all.extend([true, false].map(|e| Event::Back(i, e))),
        }
    }
    all
}

/// The inequality that has to hold at every moment: whichever machines are lost next, as many as
/// still may be, those left are more than half of the voters, and hold what was acknowledged.
fn check(orchard: &Orchard, told: &[Event]) {
    let list = orchard.members();
    let mut places: Vec<_> = list.iter().map(|m| m.admin).collect();
    places.sort();
    places.dedup();
    assert_eq!(places.len(), list.len(), "one address twice after {told:?}: {list:?}");
    let voters: Vec<u64> = list.iter().filter(|m| m.voter).map(|m| m.id.0).collect();
    let lost = orchard.lost();
    let more = orchard.bears.checked_sub(lost).expect("within the promise");
    let settled: Vec<usize> = (0..orchard.machines.len()).filter(|i| orchard.settled(*i)).collect();
    let vote = settled.iter().filter(|i| voters.contains(&orchard.machines[**i].id)).count();
    assert!(
        vote > more + voters.len() / 2,
        "after {told:?}: {lost} lost, {more} more may be; {vote} of the voters are safe: {list:?}"
    );
    if let Some(last) = orchard.acked.last() {
        let hold = settled.iter().filter(|i| orchard.holds(**i, *last)).count();
        assert!(hold > more, "after {told:?}: only {hold} hold what was acknowledged");
    }
}

fn walk(orchard: &Orchard, told: &mut Vec<Event>, deep: usize, known: &mut HashSet<(Key, usize)>) {
    if deep == 0 || (0..=12).any(|d| d >= deep && known.contains(&(key(orchard), d))) {
        return;
    }
    known.insert((key(orchard), deep));
    for event in events(orchard) {
        let mut next = orchard.clone();
        told.push(event);
        let ms = match event {
            Event::Lose(at, state) => {
                next.lose(at, state);
                100
            }
            Event::Back(at, elsewhere) => {
                next.back(at, elsewhere);
                100
            }
            Event::Wait(ms) => ms,
        };
        check(&next, told);
        for _ in 0..ms / 50 {
            next.turn();
            check(&next, told);
        }
        if ms == SYNC_MS {
            assert!(next.order(), "after {told:?}: nothing is acknowledged");
            let leader = next.leader().expect("it acknowledged");
            for order in &next.acked {
                assert!(next.holds(leader, *order), "after {told:?}: {order:?} is lost");
            }
        } else {
            next.order();
        }
        walk(&next, told, deep - 1, known);
        told.pop();
    }
}

#[test]
fn whatever_order_machines_are_lost_and_come_back_in_the_rest_agree_and_hold_everything() {
    // (machines, losses to be borne at once, how many things happen)
    let cases = [(3, 1, 10), (4, 1, 9), (5, 2, 8), (6, 2, 8), (7, 2, 8)];
    std::thread::scope(|scope| {
        for (count, bears, deep) in cases {
            scope.spawn(move || {
                let mut orchard = Orchard::new(count, bears);
                for _ in 0..100 {
                    orchard.turn();
                }
                assert!(orchard.order(), "{count}");
                let mut known = HashSet::new();
                walk(&orchard, &mut Vec::new(), deep, &mut known);
                println!("{count} machines, {bears} lost at once: {} moments", known.len());
            });
        }
    });
}
