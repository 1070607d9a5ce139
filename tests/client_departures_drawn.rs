//! Clients of a gateway process that leave at any moment, drawn by a seed, while endpoints fail,
//! stall or are slow and the gateway stands still now and then.
//!
//! `SEEDS=50 cargo test --test client_departures_drawn` plays more seeds; `SEED=7` one of them.
#[path = "support/departing_clients.rs"]
mod departing_clients;
#[path = "support/site.rs"]
mod site;
#[path = "support/gateway.rs"]
mod stand_in_endpoints;
mod support;

use departing_clients::{
    ALLOWED_DELAY, ALLOWED_LATE_SENDS, Client, Departed, Departure, await_no_request_in_flight,
    start_gateway,
};
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use site::{Site, eventually};
use stand_in_endpoints::{Behaviour, StandInEndpoints};
use std::ops::Range;
use std::sync::Mutex;
use std::time::{Duration, Instant};

/// How many seeds are played unless the environment says otherwise.
const DEFAULT_SEEDS: u64 = 3;

/// How long the clients of a seed send requests.
const PLAY_TIME: Duration = Duration::from_secs(5);

const CLIENTS: u64 = 32;
const ENDPOINTS: usize = 8;

/// How long the gateway stands still, in milliseconds.
const STANDSTILL_MS: Range<u64> = 50..700;

/// The time between two standstills, in milliseconds.
const STANDSTILL_GAP_MS: Range<u64> = 1_500..3_000;

/// How long clients wait before they leave, in milliseconds.
const PATIENCE_MS: Range<u64> = 0..600;

/// The endpoints learn of a close only while the gateway runs.
struct Standstill {
    began_at: Instant,
    ended_at: Instant,
}

impl Standstill {
    /// Whether a part of the time that a departure allows falls into the standstill.
    fn overlaps(&self, departed: &Departed) -> bool {
        departed.left_at < self.ended_at && departed.left_at + ALLOWED_DELAY > self.began_at
    }
}

/// A departure, and whether the request may be repeated.
struct Observed {
    departed: Departed,
    idempotent: bool,
}

/// What became of the requests of one seed.
#[derive(Default)]
struct Observations {
    departures: Mutex<Vec<Observed>>,
    /// Requests whose connection ended without a response although their client stayed.
    unanswered: Mutex<Vec<String>>,
}

fn draw_behaviour(random: &mut SmallRng) -> Behaviour {
    match random.random_range(0..12) {
        0 => Behaviour::ErrorResponse,
        1 => Behaviour::Overloaded,
        2 => Behaviour::CloseWithoutResponse,
        3 => Behaviour::OverloadedAfter(random.random_range(100..1_200)),
        4 => Behaviour::StallInBody(random.random_range(500..2_000)),
        5 | 6 => Behaviour::WorkThenClose(random.random_range(0..1_500)),
        7..=9 => Behaviour::Work(random.random_range(0..4_000)),
        _ => Behaviour::Serve,
    }
}

fn draw_departure(random: &mut SmallRng) -> Departure {
    let departures = [Departure::Close, Departure::Reset, Departure::HalfClose];
    departures[random.random_range(0..departures.len())]
}

/// Sends requests until the time is over, each on a connection of its own, and leaves most of them.
fn play_client(
    site: &Site,
    endpoints: &StandInEndpoints,
    seed: u64,
    until: Instant,
    observations: &Observations,
) {
    let mut random = SmallRng::seed_from_u64(seed);
    while Instant::now() < until {
        endpoints.add_behaviour(draw_behaviour(&mut random));
        let path = ["/many/x", "/hedged/x", "/once/x", "/pack/x"][random.random_range(0..4)];
        let mut client = Client::send(site, path);
        if random.random_ratio(1, 4) {
            client.pipeline(path);
        }
        if random.random_ratio(1, 4) {
            if !client.receives("HTTP/1.1 ") {
                let id = client.ids[0].clone();
                observations.unanswered.lock().expect("unanswered").push(id);
            }
            continue;
        }
        std::thread::sleep(Duration::from_millis(random.random_range(PATIENCE_MS)));
        let departed = client.leave(draw_departure(&mut random));
        let observed = Observed { departed, idempotent: path != "/once/x" };
        observations.departures.lock().expect("departures").push(observed);
    }
}

/// Stops the gateway now and then until the time is over. Returns when it stood still.
fn play_standstills(site: &Site, seed: u64, until: Instant) -> Vec<Standstill> {
    let mut random = SmallRng::seed_from_u64(seed);
    let mut standstills = Vec::new();
    while Instant::now() < until {
        std::thread::sleep(Duration::from_millis(random.random_range(STANDSTILL_GAP_MS)));
        let began_at = Instant::now();
        site.signal_node("-STOP");
        std::thread::sleep(Duration::from_millis(random.random_range(STANDSTILL_MS)));
        site.signal_node("-CONT");
        standstills.push(Standstill { began_at, ended_at: Instant::now() });
    }
    standstills
}

fn play(seed: u64) {
    let endpoints = StandInEndpoints::start("query", ENDPOINTS).expect("endpoints");
    let site = start_gateway(&endpoints);
    let before = site.node_resources();
    let observations = Observations::default();
    let until = Instant::now() + PLAY_TIME;
    let standstills = std::thread::scope(|scope| {
        for client in 1..=CLIENTS {
            let (site, endpoints, observations) = (&site, &endpoints, &observations);
            let client_seed = seed * (CLIENTS + 1) + client;
            scope.spawn(move || play_client(site, endpoints, client_seed, until, observations));
        }
        play_standstills(&site, seed * (CLIENTS + 1), until)
    });
    std::thread::sleep(Duration::from_secs(3));
    let unanswered = observations.unanswered.into_inner().expect("unanswered");
    assert!(unanswered.is_empty(), "seed {seed}: no response: {unanswered:?}");
    check_departures(
        seed,
        &observations.departures.into_inner().expect("list"),
        &standstills,
        &endpoints,
    );
    let status = await_no_request_in_flight(&site);
    assert!(status["client_closed"].as_u64().is_some_and(|closed| closed > 0), "{status}");
    eventually("the connections are closed", || site.status()["connections"] == 0);
    eventually("no file descriptor is left open", || {
        // Idle connections to endpoints stay open.
        let idle: u64 = site.status()["databases"]
            .as_array()
            .expect("databases")
            .iter()
            .filter_map(|endpoint| endpoint["idle"].as_u64())
            .sum();
        site.node_resources().file_descriptors <= before.file_descriptors + idle + 2
    });
}

/// Checks what reached endpoints, and how long these worked, after the clients had left.
fn check_departures(
    seed: u64,
    observed: &[Observed],
    standstills: &[Standstill],
    endpoints: &StandInEndpoints,
) {
    let counted: Vec<&Observed> = observed
        .iter()
        .filter(|observed| !standstills.iter().any(|still| still.overlaps(&observed.departed)))
        .collect();
    let late_sends: usize = counted
        .iter()
        .map(|observed| observed.departed.arrivals_after(endpoints, ALLOWED_DELAY))
        .sum();
    assert!(late_sends <= ALLOWED_LATE_SENDS, "seed {seed}: {late_sends} late sends");
    let lasting: Vec<&Departed> = counted
        .iter()
        .filter(|observed| observed.idempotent)
        .map(|observed| &observed.departed)
        .filter(|departed| departed.would_have_lasted(endpoints))
        .collect();
    assert!(lasting.len() > 10, "seed {seed}: only {} departures count", lasting.len());
    let worked_on = lasting.iter().filter(|departed| departed.was_worked_on(endpoints)).count();
    let total = lasting.len();
    assert!(4 * worked_on <= total, "seed {seed}: {worked_on} of {total} were worked on");
    println!("seed {seed}: {} departures, {total} counted, {worked_on} worked on", observed.len());
}

/// Guards against GONE in combinations that no one has thought of.
#[test]
fn clients_that_leave_at_any_moment_leave_no_work_behind() {
    let variable = |name: &str| std::env::var(name).ok().and_then(|value| value.parse().ok());
    if let Some(seed) = variable("SEED") {
        return play(seed);
    }
    (1..=variable("SEEDS").unwrap_or(DEFAULT_SEEDS)).for_each(play);
}
