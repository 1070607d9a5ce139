//! Clients of a gateway process that leave before their response: what the gateway still sends to
//! stand-in endpoints, and how long these work for nobody.
#[path = "support/departing_clients.rs"]
mod departing_clients;
#[path = "support/site.rs"]
mod site;
#[path = "support/gateway.rs"]
mod stand_in_endpoints;
mod support;

use departing_clients::{
    ALLOWED_DELAY, ALLOWED_LATE_SENDS, Client, Departed, Departure, await_no_request_in_flight,
    fresh_id, start_gateway,
};
use site::{Site, eventually};
use stand_in_endpoints::{Behaviour, StandInEndpoints};
use std::io::Write;
use std::time::{Duration, Instant};

/// How long clients wait after their request was sent before they leave.
const PATIENCE: Duration = Duration::from_millis(200);

fn await_arrival(endpoints: &StandInEndpoints, client: &Client) {
    eventually("the request arrives", || !endpoints.received(&client.ids[0]).is_empty());
}

/// Sends a request from each of `departures.len()` clients at once; each leaves after a while.
fn send_and_leave(
    site: &Site,
    endpoints: &StandInEndpoints,
    path: &str,
    behaviour: Behaviour,
    departures: &[Departure],
) -> Vec<Departed> {
    endpoints.set_behaviours(&vec![behaviour; departures.len()]);
    let clients: Vec<Client> = departures.iter().map(|_| Client::send(site, path)).collect();
    clients.iter().for_each(|client| await_arrival(endpoints, client));
    std::thread::sleep(PATIENCE);
    clients.into_iter().zip(departures).map(|(client, how)| client.leave(*how)).collect()
}

const EACH_DEPARTURE: [Departure; 12] = {
    use Departure::*;
    [
        Close, Reset, HalfClose, Close, Reset, HalfClose, Close, Reset, HalfClose, Close, Reset,
        HalfClose,
    ]
};

/// Guards against GONE: endpoints that work on for clients that have left.
#[test]
fn endpoints_do_not_work_on_for_clients_that_have_left() {
    let endpoints = StandInEndpoints::start("query", 4).expect("endpoints");
    let site = start_gateway(&endpoints);
    let departed =
        send_and_leave(&site, &endpoints, "/many/x", Behaviour::Work(2_500), &EACH_DEPARTURE);
    std::thread::sleep(ALLOWED_DELAY + Duration::from_millis(200));
    let worked_on = departed.iter().filter(|client| client.was_worked_on(&endpoints)).count();
    assert!(4 * worked_on <= departed.len(), "{worked_on} of {} are worked on", departed.len());
    let status = await_no_request_in_flight(&site);
    assert_eq!(status["client_closed"], departed.len(), "{status}");
    assert_eq!((&status["lost"], &status["sent_again"]), (&0.into(), &0.into()), "{status}");
    let listed = status["databases"].as_array().expect("databases");
    for endpoint in listed {
        assert_eq!(endpoint["left_out"], false, "a departure is no fault of the endpoint");
        assert_eq!(endpoint["answers_after_ms"], 0.0, "a departure is no latency sample");
    }
}

/// Guards against GONE: requests that are sent on, as retries or hedged, after their client left.
#[test]
fn requests_are_not_sent_on_after_their_clients_have_left() {
    let endpoints = StandInEndpoints::start("query", 8).expect("endpoints");
    let site = start_gateway(&endpoints);
    let cases = [
        ("a retry", "/many/x", Behaviour::WorkThenClose(1_200)),
        ("a hedged request", "/hedged/x", Behaviour::Work(2_000)),
        ("a request that did not run", "/once/x", Behaviour::OverloadedAfter(1_200)),
    ];
    let mut late_sends = Vec::new();
    for (what, path, behaviour) in cases {
        let departed: Vec<Departed> = EACH_DEPARTURE
            .iter()
            .flat_map(|how| {
                earn_retry_budget(&site);
                send_and_leave(&site, &endpoints, path, behaviour, &[*how])
            })
            .collect();
        for _ in 0..25 {
            earn_retry_budget(&site);
            std::thread::sleep(Duration::from_millis(100));
        }
        let arrivals = departed.iter().map(|c| c.arrivals_after(&endpoints, ALLOWED_DELAY));
        late_sends.push((what, arrivals.sum::<usize>()));
        await_no_request_in_flight(&site);
    }
    assert!(late_sends.iter().all(|(_, sends)| *sends <= ALLOWED_LATE_SENDS), "{late_sends:?}");
}

/// Has a request served, which earns the service one retry.
fn earn_retry_budget(site: &Site) {
    assert!(Client::send(site, "/once/x").receives("the rows"));
}

/// Guards against GONE: a request that waits for an endpoint and is sent after its client left.
#[test]
fn a_request_that_waits_for_an_endpoint_is_not_sent_once_its_client_has_left() {
    let endpoints = StandInEndpoints::start("query", 1).expect("endpoints");
    let site = start_gateway(&endpoints);
    // As many as one node sends to an endpoint of this capacity.
    endpoints.set_behaviours(&[Behaviour::Work(1_000); 4]);
    let mut busy: Vec<Client> = (0..4).map(|_| Client::send(&site, "/once/x")).collect();
    busy.iter().for_each(|client| await_arrival(&endpoints, client));
    let waiting: Vec<Client> = (0..3).map(|_| Client::send(&site, "/many/x")).collect();
    let mut staying = Client::send(&site, "/many/x");
    std::thread::sleep(PATIENCE);
    let departed: Vec<Departed> =
        waiting.into_iter().map(|client| client.leave(Departure::Close)).collect();
    // The places of those that wait are free again before any endpoint is.
    std::thread::sleep(ALLOWED_DELAY);
    assert_eq!(site.status()["client_closed"], departed.len());
    for client in &mut busy {
        assert!(client.receives("the rows"), "requests that are under way are served");
    }
    assert!(staying.receives("the rows"), "a client that waits on is served");
    let arrivals: usize = departed.iter().map(|client| client.arrivals(&endpoints)).sum();
    assert_eq!(arrivals, 0, "requests were sent although their clients had left");
}

/// Guards against GONE: a request that is read late, with the end of its client behind it.
#[test]
fn a_request_that_is_read_after_its_client_has_left_is_not_sent() {
    let endpoints = StandInEndpoints::start("query", 2).expect("endpoints");
    let site = start_gateway(&endpoints);
    let mut kept = Client::send(&site, "/many/x");
    assert!(kept.receives("the rows"));
    site.signal_node("-STOP");
    let mut clients: Vec<Client> =
        ["/many/x", "/once/x", "/pack/x"].iter().map(|path| Client::send(&site, path)).collect();
    clients[0].pipeline("/many/y");
    kept.pipeline("/many/y");
    clients.push(kept);
    let departed: Vec<Departed> =
        clients.into_iter().map(|client| client.leave(Departure::Close)).collect();
    site.signal_node("-CONT");
    eventually("the gateway serves again", || Client::send(&site, "/many/x").receives("the rows"));
    std::thread::sleep(PATIENCE);
    let late = |client: &Departed| client.arrivals_after(&endpoints, Duration::ZERO);
    let late_sends: usize = departed.iter().map(late).sum();
    assert_eq!(late_sends, 0, "requests were sent although their clients had left");
}

/// Guards against GONE: an endpoint that is silent in the middle of a response for nobody.
#[test]
fn a_response_that_stalls_is_given_up_once_its_client_has_left() {
    let endpoints = StandInEndpoints::start("query", 2).expect("endpoints");
    let site = start_gateway(&endpoints);
    endpoints.set_behaviours(&[Behaviour::StallInBody(4_000); 2]);
    let mut clients: Vec<Client> = (0..2).map(|_| Client::send(&site, "/pack/x")).collect();
    assert!(clients.iter_mut().all(|client| client.receives("xxx")));
    std::thread::sleep(PATIENCE);
    let departed: Vec<Departed> =
        clients.into_iter().map(|client| client.leave(Departure::Close)).collect();
    std::thread::sleep(ALLOWED_DELAY + Duration::from_millis(200));
    assert!(!departed.iter().any(|client| client.was_worked_on(&endpoints)), "still at work");
    await_no_request_in_flight(&site);
}

#[test]
fn a_request_that_is_not_idempotent_runs_to_its_end_after_its_client_has_left() {
    let endpoints = StandInEndpoints::start("query", 2).expect("endpoints");
    let site = start_gateway(&endpoints);
    let work_ms = 1_000;
    let departures = [Departure::Close, Departure::Reset, Departure::HalfClose];
    let departed =
        send_and_leave(&site, &endpoints, "/once/x", Behaviour::Work(work_ms), &departures);
    std::thread::sleep(Duration::from_millis(work_ms));
    for client in departed {
        let work = endpoints.work(&client.ids[0]);
        assert_eq!(work.len(), 1);
        let took = work[0].ended_at.expect("ended").duration_since(work[0].began_at);
        assert!(took >= Duration::from_millis(work_ms), "broken off after {took:?}");
    }
    assert_eq!(await_no_request_in_flight(&site)["lost"], 0);
}

/// Guards against taking a next request for a departure, and its bytes for a sign of life.
#[test]
fn a_pipelined_request_is_no_departure_and_does_not_hide_one() {
    let endpoints = StandInEndpoints::start("query", 2).expect("endpoints");
    let site = start_gateway(&endpoints);
    endpoints.set_behaviours(&[Behaviour::Work(600)]);
    let mut client = Client::send(&site, "/many/x");
    await_arrival(&endpoints, &client);
    client.pipeline("/many/y");
    let (first, second) = (client.ids[0].clone(), client.ids[1].clone());
    assert!(client.receives(&format!("Request-Id: {first}")));
    assert!(client.receives(&format!("Request-Id: {second}")));
    endpoints.set_behaviours(&[Behaviour::Work(2_000)]);
    let mut client = Client::send(&site, "/many/x");
    await_arrival(&endpoints, &client);
    client.pipeline("/many/y");
    std::thread::sleep(PATIENCE);
    let departed = client.leave(Departure::Close);
    std::thread::sleep(Duration::from_millis(2_200));
    assert!(!departed.was_worked_on(&endpoints), "the departure was not noticed");
    assert_eq!(departed.arrivals(&endpoints), 1, "the pipelined request was sent");
}

/// Guards against taking the gateway's own close of a connection, while it shuts down, for a
/// departure of the client.
#[test]
fn a_graceful_shutdown_breaks_off_no_request_of_a_client_that_stays() {
    let endpoints = StandInEndpoints::start("query", 4).expect("endpoints");
    let site = start_gateway(&endpoints);
    let until = Instant::now() + Duration::from_secs(3);
    std::thread::scope(|scope| {
        let clients: Vec<_> = (0..24_u64)
            .map(|n| {
                let (site, endpoints) = (&site, &endpoints);
                scope.spawn(move || use_until(site, endpoints, n, until))
            })
            .collect();
        std::thread::sleep(Duration::from_millis(200));
        site.signal_node("-TERM");
        let lost: Vec<String> =
            clients.into_iter().flat_map(|client| client.join().expect("client")).collect();
        assert!(lost.is_empty(), "sent to an endpoint and not answered: {lost:?}");
    });
}

/// Uses one connection, with pauses of `n` to `2 n` milliseconds, until it ends. Returns the
/// requests that reached an endpoint and got no response.
fn use_until(site: &Site, endpoints: &StandInEndpoints, n: u64, until: Instant) -> Vec<String> {
    let mut client = Client::open(site);
    let mut round = 0;
    while Instant::now() < until {
        let id = fresh_id();
        let head =
            format!("GET /many/x HTTP/1.1\r\nHost: shop.example\r\nRequest-Id: {id}\r\n\r\n");
        let answered =
            client.stream.write_all(head.as_bytes()).is_ok() && client.receives("the rows");
        if !answered {
            std::thread::sleep(PATIENCE);
            return endpoints.received(&id).iter().map(|_| id.clone()).collect();
        }
        round += 1;
        std::thread::sleep(Duration::from_millis(n + (round * 7) % (n + 1)));
    }
    Vec::new()
}
