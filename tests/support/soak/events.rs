//! The events of a round: several series that overlap, drawn by the seed.
use super::Plan;
use super::deployment::{Deployment, GRACE_S, Machine};
use super::operator::Operator;
use super::releases::play_releases;
use super::timeline::{Standstill, Timeline};
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use rustix::process::Signal;
use std::time::{Duration, Instant};

/// How much longer than its grace period a process may run after SIGTERM.
const EXIT_MARGIN: Duration = Duration::from_secs(1);

/// What happens to a process.
#[derive(Clone, Copy, Debug)]
enum Event {
    /// SIGTERM, and a restart once it has ended.
    Restart,
    /// SIGKILL, and a restart after this many milliseconds.
    Kill(u64),
    /// SIGSTOP, and SIGCONT after this many milliseconds.
    Stop(u64),
    /// SIGHUP.
    Hangup,
}

impl Event {
    fn draw(random: &mut SmallRng, plan: &Plan) -> Self {
        let kinds = if plan.only_planned_work { 3 } else { 6 };
        match random.random_range(0..kinds) {
            0 | 1 => Self::Restart,
            2 => Self::Hangup,
            3 => Self::Kill(random.random_range(0..1_000)),
            _ => Self::Stop(random.random_range(50..1_500)),
        }
    }
}

/// Plays the events of a round until the time is over. Returns when all processes run again.
pub(crate) fn play_events(
    plan: &Plan,
    seed: u64,
    deployment: &Deployment,
    operator: &Operator<'_>,
    timeline: &Timeline,
    until: Instant,
) {
    let series = 2 + plan.nodes / 8;
    std::thread::scope(|scope| {
        for number in 0..series as u64 {
            let random = SmallRng::seed_from_u64(seed * 100 + number);
            scope.spawn(move || disturb(plan, random, &deployment.nodes, timeline, until));
        }
        let random = SmallRng::seed_from_u64(seed * 100 + 98);
        // One controller at a time, so that a majority runs.
        if !plan.controllers_rest {
            scope.spawn(move || disturb(plan, random, &deployment.controllers, timeline, until));
        }
        let random = SmallRng::seed_from_u64(seed * 100 + 97);
        scope.spawn(move || play_releases(plan, random, deployment, timeline, until));
        let random = SmallRng::seed_from_u64(seed * 100 + 99);
        scope.spawn(move || change_configuration(random, operator, until));
    });
}

/// Lets events happen to one machine after the other.
fn disturb(
    plan: &Plan,
    mut random: SmallRng,
    machines: &[Machine],
    timeline: &Timeline,
    until: Instant,
) {
    while Instant::now() < until {
        std::thread::sleep(Duration::from_millis(random.random_range(20..900)));
        let machine = &machines[random.random_range(0..machines.len())];
        let event = Event::draw(&mut random, plan);
        if matches!(event, Event::Hangup) {
            timeline.note(&format!("{}: SIGHUP", machine.name));
            machine.signal(Signal::HUP);
            continue;
        }
        // Another series may restart the same machine.
        if let Ok(_in_event) = machine.in_event.try_lock() {
            happen(event, machine, timeline);
        }
    }
}

fn happen(event: Event, machine: &Machine, timeline: &Timeline) {
    let name = &machine.name;
    timeline.note(&format!("{name}: {event:?}"));
    if machine.is_controller() {
        timeline.add_control_event();
    }
    match event {
        Event::Restart => {
            timeline.add_termination(name);
            machine.signal(Signal::TERM);
            if !machine.await_exit(Duration::from_secs(GRACE_S) + EXIT_MARGIN) {
                timeline.violation(format!("{name} runs on after its grace period"));
                machine.kill();
            }
            machine.start();
        }
        Event::Kill(pause_ms) => {
            machine.kill();
            std::thread::sleep(Duration::from_millis(pause_ms));
            machine.start();
        }
        Event::Stop(pause_ms) => {
            let began_at = Instant::now();
            machine.signal(Signal::STOP);
            std::thread::sleep(Duration::from_millis(pause_ms));
            machine.signal(Signal::CONT);
            let ended_at = Instant::now();
            timeline.add_standstill(Standstill { node: name.clone(), began_at, ended_at });
        }
        Event::Hangup => machine.signal(Signal::HUP),
    }
    if machine.is_controller() {
        timeline.add_control_event();
    }
    timeline.note(&format!("{name}: {event:?} is over"));
}

fn change_configuration(mut random: SmallRng, operator: &Operator<'_>, until: Instant) {
    while Instant::now() < until {
        std::thread::sleep(Duration::from_millis(random.random_range(50..1_000)));
        if random.random_ratio(1, 4) {
            operator.race();
        } else {
            operator.change();
        }
    }
}
