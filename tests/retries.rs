//! Tests of retries by pooler and gateway processes against databases with injected faults: how
//! often each statement or request reached a database, and that each caller gets its own reply.
#[path = "support/site.rs"]
mod site;
#[path = "support/gateway.rs"]
mod stand_in_endpoints;
mod support;

use silvertack::gateway::http1::{ParseError, ParsedHead, parse_response_head};
use site::{Site, eventually};
use stand_in_endpoints::{Behaviour, StandInEndpoints};
use std::io::{BufRead, BufReader, Read, Write};
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;
use support::InjectedFault::*;
use support::StandIn;

fn fresh_id() -> String {
    static NEXT: AtomicU64 = AtomicU64::new(1);
    format!("q{}", NEXT.fetch_add(1, Ordering::SeqCst))
}

// ---------------------------------------------------------------------------------------------
// The pooler

fn start_pooler(databases: &Arc<StandIn>) -> Site {
    let route = |name: &str, route_type: &str, timeout_ms: u64| {
        serde_json::json!({
            "name": name, "hostname": name, "path_prefix": "/", "route_type": route_type, "priority": 1,
            "timeout_ms": timeout_ms, "target_latency_ms": 250, "target_service": "ledger",
            "max_attempts": 2, "stale_ms": 1500,
        })
    };
    let configuration = serde_json::json!({
        "revision": 1,
        "route_rules": [route("strict", "primary", 4000), route("loose", "bounded", 4000),
                        route("short", "primary", 700)],
        "services": [{ "name": "ledger", "health_check_path": "/health", "max_connections": 48, "sync_replicas": 1 }],
        "limits": { "txn_idle_ms": 5000 },
    })
    .to_string();
    let platform = format!("[provider]\naddress = \"{}\"", databases.platform);
    let sender = Arc::clone(databases);
    let site = Site::start("pooler", &platform, &configuration, move |admin| {
        sender.start_heartbeats(admin, Duration::from_millis(200));
    });
    eventually("the first write", || {
        Session::open(&site, "strict")
            .is_some_and(|mut s| s.ask(&fresh_id(), "STORE a a").0 == "own I")
    });
    site
}

struct Session(BufReader<TcpStream>);
impl Session {
    fn open(site: &Site, route: &str) -> Option<Self> {
        let mut stream = TcpStream::connect(site.frontend).ok()?;
        stream.set_read_timeout(Some(Duration::from_secs(15))).ok()?;
        stream.write_all(format!("CONNECT {route} me\r\n").as_bytes()).ok()?;
        let mut session = Self(BufReader::new(stream));
        session.line().starts_with("READY I").then_some(session)
    }
    fn line(&mut self) -> String {
        let mut line = String::new();
        // A reset connection is treated like a closed one.
        let _ = self.0.read_line(&mut line);
        line.trim_end().to_owned()
    }
    fn send(&mut self, id: &str, text: &str) {
        self.0.get_mut().write_all(format!("QUERY {id} {text}\r\n").as_bytes()).expect("sent");
    }
    /// Sends a statement. Returns its outcome and transaction state, and the row. The outcome says
    /// whether the reply has the stamp of this statement (`own`) or of another one.
    fn ask(&mut self, id: &str, text: &str) -> (String, String) {
        self.send(id, text);
        self.receive(id)
    }
    /// Receives the reply to the statement with this id.
    fn receive(&mut self, id: &str) -> (String, String) {
        let (mut end, mut row) = (String::new(), String::new());
        loop {
            let line = self.line();
            let (word, rest) = line.split_once(' ').unwrap_or((&line, ""));
            let first = rest.split(' ').next().unwrap_or_default();
            match word {
                "ROW" => row += rest,
                "COMPLETE" if first == "-" => end = "done".to_owned(),
                "COMPLETE" if first.starts_with(&format!("stamp.{id}.")) => end = "own".to_owned(),
                "COMPLETE" => end = format!("another's: {first}"),
                "ERROR" => end = first.to_owned(),
                "READY" => return (format!("{end} {first}"), row),
                _ => return (format!("{end} cut"), row),
            }
        }
    }
}

/// Opens a session and runs the given statements on it. Returns `None` if the session could not be
/// opened or one of them failed, which may happen on a busy machine.
fn session_after(site: &Site, route: &str, id: &str, before: &[&str]) -> Option<Session> {
    let mut session = Session::open(site, route)?;
    let succeeded = |(end, _): (String, String)| end.starts_with("own") || end.starts_with("done");
    before.iter().all(|text| succeeded(session.ask(id, text))).then_some(session)
}

#[test]
fn statements_that_may_be_committed_are_not_retried_and_replies_match_their_statements() {
    let databases = StandIn::start("ledger", 3).expect("databases");
    let site = start_pooler(&databases);
    let faults = [NoReply, Late(60), ResetBeforeRun, ResetAfterRun, ResetDuringReply, Duplicated];
    // (earlier statements, the statement, the expected outcome for each fault)
    let unknown = "UNKNOWN I";
    let cases: [(&[&str], &str, [&str; 6]); 6] = [
        // Nothing is committed and the client has seen no result: a transparent retry.
        (&[], "FETCH a", ["own I"; 6]),
        (&["BEGIN"], "FETCH a", ["own T"; 6]),
        (&["BEGIN"], "STORE a a", ["own T"; 6]),
        // The statement may be committed: it is sent once, and its outcome is unknown.
        (&[], "STORE a a", [unknown, "own I", unknown, unknown, unknown, unknown]),
        (&["BEGIN", "STORE a a"], "COMMIT", [unknown, "own I", unknown, unknown, unknown, unknown]),
        // The client has seen results of the transaction, which is rolled back.
        (
            &["BEGIN", "FETCH a"],
            "FETCH a",
            [
                "ROLLEDBACK I",
                "own T",
                "ROLLEDBACK I",
                "ROLLEDBACK I",
                "ROLLEDBACK I",
                "ROLLEDBACK I",
            ],
        ),
    ];
    for (before, text, ends) in cases {
        let sent_once = !(text == "FETCH a" && before.len() < 2) && before != ["BEGIN"];
        for (fault, end) in faults.into_iter().zip(ends) {
            let what = format!("{before:?} {text} {fault:?}");
            let (got, row, reached) = (0..20)
                .find_map(|_| {
                    let (early, id) = (fresh_id(), fresh_id());
                    let mut session = session_after(&site, "short", &early, before)?;
                    databases.inject(&id, &[fault]);
                    let (got, row) = session.ask(&id, text);
                    // The statement may not be sent at all while the primary is suspected.
                    let sent = databases.times_received(&id) > 0;
                    sent.then(|| (got, row, databases.times_received(&id)))
                })
                .unwrap_or_else(|| panic!("never sent: {what}"));
            assert_eq!(got, end, "{what}");
            assert!(!sent_once || reached == 1, "{what}: reached databases {reached} times");
            assert!(
                !end.starts_with("own") || !text.starts_with("FETCH") || row == "a",
                "{what}: {row}"
            );
        }
    }
}

/// Runs one statement on a new session, and retries it if the session or the statement was rejected
/// because the machine is busy. Returns the id of the statement and its reply.
fn run_until_served(site: &Site, route: &str, text: &str) -> (String, (String, String)) {
    for _ in 0..20 {
        let id = fresh_id();
        if let Some(mut session) = Session::open(site, route) {
            let got = session.ask(&id, text);
            if !got.0.starts_with("THROTTLED") {
                return (id, got);
            }
        }
    }
    panic!("never served: {text}");
}

#[test]
#[expect(clippy::too_many_lines, reason = "one scenario, told in order")]
fn late_and_duplicate_replies_are_never_taken_for_replies_to_other_statements() {
    let databases = StandIn::start("ledger", 2).expect("databases");
    let site = start_pooler(&databases);
    let store = |thing: &str| {
        let text = format!("STORE {thing} {thing}");
        assert_eq!(run_until_served(&site, "strict", &text).1.0, "own I", "{text}");
    };
    store("b");
    let own = |thing: &str| ("own I".to_owned(), thing.to_owned());
    // A duplicate reply is pending on the idle connection when another session checks it out.
    for route in ["strict", "loose"] {
        for _ in 0..4 {
            let id = fresh_id();
            databases.inject(&id, &[DuplicatedLate(20)]);
            let mut first = Session::open(&site, route).expect("session");
            assert_eq!(first.ask(&id, "FETCH a"), own("a"), "{route}");
            std::thread::sleep(Duration::from_millis(60));
            assert_eq!(run_until_served(&site, route, "FETCH b").1, own("b"), "{route}");
        }
    }
    // The same inside a transaction: the next statement does not get the duplicate reply.
    let (early, id) = (fresh_id(), fresh_id());
    databases.inject(&early, &[NoFault, DuplicatedLate(20)]);
    let mut session =
        session_after(&site, "strict", &early, &["BEGIN", "FETCH a", "FETCH a"]).expect("open");
    std::thread::sleep(Duration::from_millis(60));
    assert_eq!(session.ask(&id, "FETCH b").0, "ROLLEDBACK I");
    assert_eq!(databases.times_received(&id), 0, "the connection was used again");
    // A duplicate or lost reply to a statement that the pooler sends before the client's statement.
    for (word, before, ends) in [
        ("BEGIN", &["BEGIN"][..], "own T"),
        ("CONFIGURE", &["CONFIGURE tenant x"][..], "own I"),
        ("PREPARE", &["PREPARE p FETCH shape"][..], "own I"),
    ] {
        let text = if word == "PREPARE" { "EXECUTE p b" } else { "FETCH b" };
        for fault in [Duplicated, DuplicatedLate(30), ResetBeforeRun, ResetDuringReply, NoReply] {
            let (early, id) = (fresh_id(), fresh_id());
            let mut session = session_after(&site, "strict", &early, before).expect("open");
            databases.inject(word, &[fault]);
            let got = session.ask(&id, text);
            assert_eq!(got, (ends.to_owned(), "b".to_owned()), "{word} {fault:?}");
            databases.inject(word, &[]);
        }
    }
    // A connection is reset while idle: nothing was sent, so a write is sent on another one.
    for _ in 0..3 {
        let id = fresh_id();
        databases.inject(&id, &[ResetAfterReply]);
        let mut first = Session::open(&site, "strict").expect("session");
        assert_eq!(first.ask(&id, "FETCH a"), own("a"));
        std::thread::sleep(Duration::from_millis(120));
        let (id, (end, _)) = run_until_served(&site, "strict", "STORE a a");
        assert_eq!((end.as_str(), databases.times_received(&id)), ("own I", 1));
    }
    // The same if more connections are reset at once than a statement has retries.
    let mut open = Vec::new();
    // The quota grows while sessions wait for a connection.
    eventually("seven connections", || {
        open.extend(session_after(&site, "strict", &fresh_id(), &["BEGIN", "FETCH a"]));
        open.len() == 7
    });
    for session in &mut open {
        let id = fresh_id();
        databases.inject(&id, &[ResetAfterReply]);
        assert_eq!(session.ask(&id, "COMMIT").0, "own I");
    }
    std::thread::sleep(Duration::from_millis(150));
    let id = fresh_id();
    assert_eq!(open[0].ask(&id, "STORE a a").0, "own I");
    assert_eq!(databases.times_received(&id), 1);
    // A client disconnects before its reply arrives: no other client gets that reply.
    for _ in 0..3 {
        let id = fresh_id();
        databases.inject(&id, &[Late(100)]);
        let mut disconnecting = Session::open(&site, "strict").expect("session");
        disconnecting.send(&id, "FETCH a");
        drop(disconnecting);
        let others: Vec<_> =
            (0..3).map(|_| run_until_served(&site, "strict", "FETCH b").1).collect();
        assert_eq!(others, [own("b"), own("b"), own("b")]);
    }
    // Two pipelined statements on one connection get their replies in order.
    let (one, two) = (fresh_id(), fresh_id());
    databases.inject(&one, &[Late(30)]);
    let mut pipelined = Session::open(&site, "strict").expect("session");
    pipelined.send(&one, "FETCH a");
    pipelined.send(&two, "FETCH b");
    assert_eq!((pipelined.receive(&one), pipelined.receive(&two)), (own("a"), own("b")));
}

#[test]
fn concurrent_sessions_get_their_own_replies() {
    let databases = StandIn::start("ledger", 3).expect("databases");
    let site = start_pooler(&databases);
    std::thread::scope(|threads| {
        for place in 0..8 {
            let (site, databases) = (&site, &databases);
            threads.spawn(move || {
                let (mut served, mut writes) = (0, Vec::new());
                let thing = format!("t{place}");
                for round in 0..60 {
                    let route = if round % 3 == 0 { "strict" } else { "loose" };
                    let Some(mut session) = Session::open(site, route) else { continue };
                    // Replies arrive in order, or the session ends, see `receive`.
                    for step in 0..4 {
                        let id = fresh_id();
                        match (place + round + step) % 9 {
                            0 => databases.inject(&id, &[Duplicated]),
                            1 => databases.inject(&id, &[ResetDuringReply]),
                            2 => databases.inject(&id, &[Late(15)]),
                            3 => databases.inject(&id, &[ResetAfterRun]),
                            _ => {}
                        }
                        let write = step == 0;
                        let text = if write {
                            format!("STORE {thing} {thing}")
                        } else {
                            format!("FETCH {thing}")
                        };
                        let (end, row) = session.ask(&id, &text);
                        assert!(!end.starts_with("another's"), "{text}: {end}");
                        if end == "own I" {
                            served += 1;
                            assert!(write || row == thing || row.is_empty(), "{text}: {row}");
                        }
                        if write {
                            writes.push((id, end));
                        }
                        if round % 5 == 4 && step == 2 {
                            // The client disconnects with a statement in progress.
                            session.send(&fresh_id(), &text);
                            break;
                        }
                    }
                }
                assert!(served > 60, "{served} were served");
                for (id, end) in writes {
                    let reached = databases.times_received(&id);
                    assert!(reached <= 1, "{id} ended {end}, reached databases {reached} times");
                    assert!(end != "own I" || reached == 1, "{id}: {end}");
                }
            });
        }
    });
}

#[test]
fn settings_sent_in_a_rolled_back_transaction_are_replayed() {
    let databases = StandIn::start("ledger", 2).expect("databases");
    let site = start_pooler(&databases);
    for round in 0..3 {
        let id = fresh_id();
        let one = format!("CONFIGURE tenant one{round}");
        let two = format!("two{round}");
        let texts = [&one, "FETCH =tenant", "BEGIN", "FETCH a", &format!("CONFIGURE tenant {two}")];
        let mut session = session_after(&site, "strict", &id, &texts).expect("open");
        assert_eq!(session.ask(&id, "FETCH =tenant"), ("own T".to_owned(), two.clone()));
        let end = fresh_id();
        databases.inject(&end, &[RolledBack]);
        assert_eq!(session.ask(&end, "COMMIT").0, "ROLLEDBACK I");
        // The setting was acknowledged to the client, so it stays in force.
        assert_eq!(session.ask(&id, "FETCH =tenant"), ("own I".to_owned(), two));
    }
}

#[test]
fn a_reply_that_arrives_after_the_lease_expired_is_not_forwarded() {
    let databases = StandIn::start("ledger", 2).expect("databases");
    let mut site = start_pooler(&databases);
    // A write outside a transaction, a commit, a read on the primary.
    let cases: [(&[&str], &str, &str); 3] = [
        (&[], "STORE a a", "UNKNOWN I"),
        (&["BEGIN", "STORE a a"], "COMMIT", "UNKNOWN I"),
        (&[], "FETCH a", "THROTTLED I"),
    ];
    let mut sessions: Vec<_> = cases
        .iter()
        .map(|(before, text, end)| {
            let id = fresh_id();
            databases.inject(&id, &[Late(3_000); 8]);
            (session_after(&site, "strict", &fresh_id(), before).expect("open"), id, *text, *end)
        })
        .collect();
    site.controller = None;
    for (session, id, text, _) in &mut sessions {
        session.send(id, text);
    }
    for (mut session, id, text, end) in sessions {
        assert_eq!(session.receive(&id).0, end, "{text}");
        assert!(text == "FETCH a" || databases.times_received(&id) == 1, "{text}");
    }
}

// ---------------------------------------------------------------------------------------------
// The gateway

fn start_gateway(endpoints: &Arc<StandInEndpoints>) -> Site {
    let route = |prefix: &str, route_type: &str| {
        serde_json::json!({
            "name": prefix, "hostname": "shop.example", "path_prefix": prefix, "route_type": route_type,
            "timeout_ms": 1500, "target_latency_ms": 600, "priority": 1, "target_service": "query",
            "max_attempts": 2,
        })
    };
    let configuration = serde_json::json!({
        "revision": 1,
        "route_rules": [route("/once/", "non_idempotent"), route("/many/", "idempotent")],
        "services": [{ "name": "query", "max_connections": 64 }],
    })
    .to_string();
    let endpoint_count = endpoints.addresses.len();
    let site = Site::start("gateway", "rollout = \"api\"", &configuration, |admin| {
        eventually("the heartbeats are accepted", || endpoints.send_heartbeats(admin, 1));
    });
    eventually("the gateway knows all endpoints", || {
        site.status()["databases"].as_array().is_some_and(|listed| listed.len() == endpoint_count)
    });
    site
}

/// Starts a gateway with two services, `query` under `/query/` and `desk` under `/desk/`, both
/// idempotent.
fn start_two_services(
    retry_ratio: f64,
    query: &Arc<StandInEndpoints>,
    desk: &Arc<StandInEndpoints>,
) -> Site {
    let route = |service: &str| {
        serde_json::json!({
            "name": service, "hostname": "shop.example", "path_prefix": format!("/{service}/"),
            "route_type": "idempotent", "timeout_ms": 4000, "target_latency_ms": 4000,
            "priority": 1, "target_service": service, "max_attempts": 4,
        })
    };
    let configuration = serde_json::json!({
        "revision": 1,
        "route_rules": [route("query"), route("desk")],
        "services": [{ "name": "query", "max_connections": 64 },
                     { "name": "desk", "max_connections": 64 }],
    })
    .to_string();
    let site = Site::start_with_retry_ratio(
        retry_ratio,
        "gateway",
        "rollout = \"api\"",
        &configuration,
        |admin| {
            eventually("the heartbeats are accepted", || {
                query.send_heartbeats(admin, 1) && desk.send_heartbeats(admin, 1)
            });
        },
    );
    let endpoint_count = query.addresses.len() + desk.addresses.len();
    eventually("the gateway knows all endpoints", || {
        site.status()["databases"].as_array().is_some_and(|listed| listed.len() == endpoint_count)
    });
    site
}

/// Sends requests one after the other, each with these behaviours of the endpoints, and returns how
/// often they arrived at an endpoint beyond the first time.
fn repeated_arrivals(
    site: &Site,
    endpoints: &Arc<StandInEndpoints>,
    path: &str,
    requests: usize,
    behaviours: &[Behaviour],
) -> usize {
    let arrivals_beyond_first = |_| {
        eventually("the ejections are reset", || endpoints.send_heartbeats(site.admin, 2));
        endpoints.set_behaviours(behaviours);
        let id = fresh_id();
        request(site, "GET", path, Some(&id));
        endpoints.set_behaviours(&[]);
        endpoints.received(&id).len().saturating_sub(1)
    };
    (0..requests).map(arrivals_beyond_first).sum()
}

#[test]
fn retries_of_a_failing_service_do_not_spend_what_requests_of_another_earned() {
    let query = StandInEndpoints::start("query", 4).expect("endpoints");
    let desk = StandInEndpoints::start("desk", 4).expect("endpoints");
    let site = start_two_services(1.0, &query, &desk);
    assert_eq!(repeated_arrivals(&site, &desk, "/desk/x", 40, &[Behaviour::Serve]), 0);
    let requests = 5;
    let failing = [Behaviour::CloseWithoutResponse; 4];
    let repeated = repeated_arrivals(&site, &query, "/query/x", requests, &failing);
    assert!(repeated >= requests - 1, "retries within the budget are sent: {repeated}");
    // The ratio, and what a node may have saved.
    assert!(repeated <= requests + 2, "{repeated} repeated arrivals of {requests} requests");
}

#[test]
fn a_request_that_is_sent_again_to_the_same_endpoint_spends_retry_budget() {
    let query = StandInEndpoints::start("query", 1).expect("endpoints");
    let desk = StandInEndpoints::start("desk", 1).expect("endpoints");
    let site = start_two_services(0.2, &query, &desk);
    let pairs = 40;
    // The first of each pair leaves an idle connection behind, on which the second gets no response.
    let repeated: usize = (0..pairs)
        .map(|_| {
            let serve = [Behaviour::Serve];
            let close_and_serve = [Behaviour::CloseWithoutResponse, Behaviour::Serve];
            repeated_arrivals(&site, &query, "/query/x", 1, &serve)
                + repeated_arrivals(&site, &query, "/query/x", 1, &close_and_serve)
        })
        .sum();
    let requests = 2 * pairs;
    assert!(repeated > 0, "requests are sent again");
    assert!(repeated <= requests / 5 + 2, "{repeated} repeated arrivals of {requests} requests");
}

/// Sends one request on a new connection. Returns the status, the head and the body.
fn request(site: &Site, method: &str, path: &str, id: Option<&str>) -> (u16, String, Vec<u8>) {
    let mut client = TcpStream::connect(site.frontend).expect("frontend");
    client.set_read_timeout(Some(Duration::from_secs(10))).expect("timeout");
    let id = id.map_or(String::new(), |id| format!("Request-Id: {id}\r\n"));
    let head =
        format!("{method} {path} HTTP/1.1\r\nHost: shop.example\r\n{id}Connection: close\r\n\r\n");
    client.write_all(head.as_bytes()).expect("sent");
    let mut bytes = Vec::new();
    client.read_to_end(&mut bytes).expect("a response");
    let ParsedHead { head: response, length } =
        parse_response_head(&bytes, method).expect("valid").expect("complete");
    let head = String::from_utf8_lossy(&bytes[..length]).into_owned();
    (response.status, head, bytes.split_off(length))
}

#[test]
fn requests_are_retried_only_where_allowed_and_get_their_own_responses() {
    use Behaviour::*;
    let endpoints = StandInEndpoints::start("query", 4).expect("endpoints");
    let site = start_gateway(&endpoints);
    // (the behaviours of the endpoints in turn, then the expected status and number of attempts
    // on an idempotent route, and the same on a non-idempotent route)
    let cases: [(&[Behaviour], u16, usize, u16, usize); 16] = [
        (&[Serve], 200, 1, 200, 1),
        (&[InterimResponse], 200, 1, 200, 1),
        (&[Late(150)], 200, 1, 200, 1),
        (&[ServeThenReset], 200, 1, 200, 1),
        (&[DuplicateResponse], 200, 1, 200, 1),
        (&[DuplicatedLate(20)], 200, 1, 200, 1),
        (&[CloseWithoutResponse, Serve], 200, 2, 502, 1),
        (&[TruncateHead, Serve], 200, 2, 502, 1),
        (&[TruncateAfterHead, Serve], 200, 2, 502, 1),
        (&[TruncateBody, Serve], 200, 2, 502, 1),
        (&[Hang, Serve], 200, 2, 504, 1),
        // The slower response of a hedged request is dropped.
        (&[Late(700), Serve], 200, 2, 200, 1),
        (&[Serve], 200, 1, 200, 1),
        // The endpoint says that it did not execute the request, which is forwarded only if no
        // other attempt may have executed it.
        (&[Overloaded, Overloaded], 503, 2, 503, 2),
        (&[OverloadedLargeBody(100_000), OverloadedLargeBody(100_000)], 503, 2, 503, 2),
        (&[TruncateAfterHead, Overloaded], 502, 2, 502, 1),
    ];
    for (behaviours, many, many_attempts, once, once_attempts) in cases {
        for (path, status, attempts) in
            [("/many/x", many, many_attempts), ("/once/x", once, once_attempts)]
        {
            for method in ["GET", "HEAD"] {
                if method == "HEAD"
                    && matches!(
                        behaviours[0],
                        TruncateBody | TruncateAfterHead | DuplicateResponse | Hang
                    )
                {
                    continue;
                }
                eventually("the ejections are reset", || endpoints.send_heartbeats(site.admin, 2));
                endpoints.set_behaviours(behaviours);
                let id = fresh_id();
                let (got, head, body) = request(&site, method, path, Some(&id));
                endpoints.set_behaviours(&[]);
                // Bytes after the response have arrived by then.
                std::thread::sleep(Duration::from_millis(50));
                let received = endpoints.received(&id).len();
                let what = format!("{behaviours:?} {method} {path}");
                assert_eq!(got, status, "{what}");
                // On a busy machine a response may be late, so that the request is hedged.
                let max_attempts = if path == "/many/x" { attempts.max(3) } else { attempts };
                assert!(
                    (attempts..=max_attempts).contains(&received),
                    "{what}: received {received} times"
                );
                if got == 200 {
                    assert!(head.contains(&format!("Request-Id: {id}\r\n")), "{what}: {head}");
                    let rows: &[u8] = if method == "HEAD" { b"" } else { b"the rows" };
                    assert_eq!(body, rows, "{what}");
                }
            }
        }
    }
}

#[test]
fn a_not_executed_response_is_forwarded_only_if_no_attempt_may_have_been_executed() {
    use Behaviour::*;
    let endpoints = StandInEndpoints::start("query", 1).expect("endpoints");
    let site = start_gateway(&endpoints);
    // A reused connection is reset after the request was executed, and the second attempt is
    // refused.
    for second in [OverloadedLargeBody(100_000), Overloaded] {
        let first_id = fresh_id();
        eventually("an idle connection", || {
            request(&site, "GET", "/many/x", Some(&first_id)).0 == 200
        });
        endpoints.set_behaviours(&[CloseWithoutResponse, second]);
        let id = fresh_id();
        let (status, head, _) = request(&site, "GET", "/many/x", Some(&id));
        endpoints.set_behaviours(&[]);
        let received = endpoints.received(&id).len();
        assert_eq!((status, received), (502, 2), "{second:?}: {head}");
        eventually("the ejections are reset", || endpoints.send_heartbeats(site.admin, 3));
    }
    let endpoints = StandInEndpoints::start("query", 2).expect("endpoints");
    let site = start_gateway(&endpoints);
    endpoints.set_behaviours(&[CloseWithoutResponse, OverloadedLargeBody(100_000)]);
    let id = fresh_id();
    let (status, head, _) = request(&site, "GET", "/many/x", Some(&id));
    assert_eq!((status, endpoints.received(&id).len()), (502, 2), "{head}");
}

#[test]
fn a_duplicate_response_is_never_taken_for_a_later_requests_response() {
    let endpoints = StandInEndpoints::start("query", 1).expect("endpoints");
    let site = start_gateway(&endpoints);
    for kind in ["many", "once"] {
        for round in 0..6 {
            for id in [Some(fresh_id()), None] {
                endpoints.set_behaviours(&[Behaviour::DuplicatedLate(if round % 2 == 0 {
                    0
                } else {
                    15
                })]);
                let first = format!("/{kind}/first{round}");
                assert_eq!(request(&site, "GET", &first, id.as_deref()).0, 200, "{first}");
                endpoints.set_behaviours(&[]);
                let next = id.as_ref().map(|_| fresh_id());
                let second = format!("/{kind}/second{round}");
                let (status, head, _) = request(&site, "GET", &second, next.as_deref());
                assert!(
                    status == 200 && head.contains(&format!("X-For: {second}\r\n")),
                    "{id:?}: {head}"
                );
            }
        }
    }
}

/// A writer that accepts this number of bytes and then fails.
struct FailingWriter(usize);
impl Write for FailingWriter {
    fn write(&mut self, bytes: &[u8]) -> std::io::Result<usize> {
        let accepted = bytes.len().min(self.0).min(4);
        self.0 -= accepted;
        if accepted == 0 { Err(std::io::ErrorKind::ConnectionReset.into()) } else { Ok(accepted) }
    }
    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}

#[test]
fn a_request_may_have_been_executed_once_one_byte_was_sent() {
    use silvertack::gateway::attempts::AttemptOutcome;
    use silvertack::gateway::request_sender::write_request;
    let cases = [
        (0, Err(AttemptOutcome::NotSent)),
        (1, Err(AttemptOutcome::MayHaveExecuted)),
        (9, Err(AttemptOutcome::MayHaveExecuted)),
        (10, Err(AttemptOutcome::MayHaveExecuted)),
        (11, Ok(())),
    ];
    for (accepted, outcome) in cases {
        assert_eq!(
            write_request(&mut FailingWriter(accepted), &[b"the head", b"row"]),
            outcome,
            "{accepted} bytes"
        );
    }
}

#[test]
fn a_response_with_two_different_request_ids_is_rejected() {
    let cases = [("a", true), ("b", false), ("", false)];
    for (second, same) in cases {
        let head = format!("HTTP/1.1 200 OK\r\nRequest-Id: a\r\nRequest-Id: {second}\r\n\r\n");
        let got = parse_response_head(head.as_bytes(), "GET").map(|found| found.is_some());
        assert_eq!(got, if same { Ok(true) } else { Err(ParseError) }, "{second:?}");
    }
}

// ---------------------------------------------------------------------------------------------
// HTTP calls between the project's processes, and descriptions of databases

#[test]
fn a_call_gets_its_own_response_or_an_error() {
    use silvertack::net::http::{Response, call, serve};
    let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("listener");
    let address = listener.local_addr().expect("address");
    serve(listener, "echo", 8, |request| {
        if request.path.starts_with("/slow") {
            std::thread::sleep(Duration::from_millis(300));
        }
        Response::json(200, request.path.into_bytes())
    })
    .expect("served");
    let ask = |path: &str, ms| call(address, "GET", path, &[], b"", Duration::from_millis(ms)).ok();
    // A call after one that timed out: each call has a connection of its own.
    assert_eq!(ask("/slow/1", 60), None);
    assert_eq!(ask("/quick/1", 5_000).expect("a response").body, b"/quick/1");
    assert_eq!(ask("/slow/2", 5_000).expect("a response").body, b"/slow/2");
    // On a keep-alive connection responses arrive in the order of the requests, the slow one first.
    let mut stream = TcpStream::connect(address).expect("connection");
    stream.set_read_timeout(Some(Duration::from_secs(5))).expect("timeout");
    stream
        .write_all(
            b"GET /slow/3 HTTP/1.1\r\n\r\nGET /quick/3 HTTP/1.1\r\nConnection: close\r\n\r\n",
        )
        .expect("sent");
    let mut all = String::new();
    stream.read_to_string(&mut all).expect("responses");
    let (slow, quick) = (all.find("/slow/3"), all.find("/quick/3"));
    assert!(slow.is_some() && slow < quick, "{all}");
}

#[test]
fn a_call_rejects_an_incomplete_response() {
    use silvertack::net::http::call;
    let good = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}";
    let cases: [(String, Option<u16>); 7] = [
        (good.to_owned(), Some(200)),
        (good.repeat(2), Some(200)),
        (format!("HTTP/1.1 100 Continue\r\n\r\n{good}"), Some(200)),
        ("HTTP/1.1 100 Continue\r\n\r\n".to_owned(), None),
        (good[..good.len() - 1].to_owned(), None),
        (good[..12].to_owned(), None),
        (String::new(), None),
    ];
    for (response, status) in cases {
        let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("listener");
        let address = listener.local_addr().expect("address");
        let sent = response.clone();
        std::thread::spawn(move || {
            let (mut stream, _) = listener.accept().expect("a caller");
            let _ = stream.read(&mut [0; 4096]);
            let _ = stream.write_all(sent.as_bytes());
        });
        let got = call(address, "POST", "/failovers", &[], b"{}", Duration::from_secs(5));
        assert_eq!(got.ok().map(|response| response.status), status, "{response:?}");
    }
}

#[test]
fn a_description_is_valid_only_if_its_reply_is_a_success() {
    use silvertack::net::statement_protocol::parse_reply;
    let row = "ROW replica 3 3.1209 0 12 2 17\r\n";
    let cases = [
        (format!("{row}COMPLETE -\r\nREADY I -\r\n"), true),
        // The database sent a row for PAUSE, and then an error.
        (format!("{row}ERROR FAILED oh\r\nREADY I -\r\n"), false),
        ("ERROR THROTTLED no\r\nREADY I -\r\n".to_owned(), false),
        ("READY I -\r\n".to_owned(), false),
        ("ROW primary 3\r\nCOMPLETE -\r\nREADY I -\r\n".to_owned(), false),
    ];
    for (lines, is_valid) in cases {
        let got = parse_reply(lines.as_bytes()).expect("well formed").expect("complete");
        assert_eq!(got.description(lines.as_bytes()).is_some(), is_valid, "{lines:?}");
    }
}
