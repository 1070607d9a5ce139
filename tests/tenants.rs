//! Tenants: keys, what databases are told of them, and limits over all nodes.
#[path = "support/site.rs"]
mod site;
#[path = "support/gateway.rs"]
mod stand_in_endpoints;
mod support;

use silvertack::base::ids::TenantName;
use silvertack::base::time::Tick;
use silvertack::config::configuration::{Configuration, RouteType};
use silvertack::config::route_table::RouteTable;
use silvertack::config::tenants::{Identity, OperationLimit, TenantTable, UnknownKey};
use silvertack::leases::operation_grants::{GRANT_VALID_MS, OperationGrants};
use silvertack::net::rpc::pooler_messages::{OperationGrant, OperationRequest};
use silvertack::node::operation_allowance::{
    OperationAllowance, OperationPermit, OperationRefused, OperationWait,
};
use site::{Site, eventually};
use stand_in_endpoints::StandInEndpoints;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::TcpStream;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};
use support::StandIn;

fn fresh_id() -> String {
    static NEXT: AtomicU64 = AtomicU64::new(1);
    format!("q{}", NEXT.fetch_add(1, Ordering::SeqCst))
}

fn read(tenants: &serde_json::Value, route: &serde_json::Value) -> Result<Configuration, String> {
    let mut route = route.clone();
    for (key, value) in [
        ("name", "r".into()),
        ("hostname", "h".into()),
        ("route_type", "primary".into()),
        ("timeout_ms", 1_000.into()),
        ("target_service", "s".into()),
    ] as [(&str, serde_json::Value); 5]
    {
        if route.get(key).is_none() {
            route[key] = value;
        }
    }
    let body = serde_json::json!({
        "revision": 1, "route_rules": [route], "services": [{ "name": "s", "max_connections": 9 }],
        "tenants": tenants,
    });
    Configuration::read(body.to_string().as_bytes()).map_err(|e| e.to_string())
}

// ---------------------------------------------------------------------------------------------
// Configuration

/// Guards against the refusal of every configuration of a site that uses the other names.
#[test]
fn both_names_of_a_route_type_and_of_its_staleness_limit_are_read() {
    for (route_type, limit) in [("bounded", "stale_ms"), ("bounded_staleness", "max_staleness_ms")]
    {
        let mut route = serde_json::json!({ "route_type": route_type });
        route[limit] = 1_500.into();
        let read = read(&serde_json::json!([]), &route).expect(route_type);
        assert_eq!(read.route_rules[0].route_type, RouteType::Bounded, "{route_type}");
        assert_eq!(read.route_rules[0].stale_ms, 1_500, "{limit}");
    }
}

#[test]
fn tenants_with_the_same_name_or_a_shared_key_are_rejected() {
    let one = serde_json::json!({ "name": "one", "api_keys": ["a", "b"] });
    let cases = [
        (serde_json::json!([one, { "name": "two", "api_keys": ["c"] }]), None),
        (serde_json::json!([one, { "name": "two" }]), None),
        (serde_json::json!([{ "name": "one", "api_keys": ["a", "a"] }]), None),
        (
            serde_json::json!([one, { "name": "two", "api_keys": ["b"] }]),
            Some("key_of_two_tenants"),
        ),
        (serde_json::json!([one, { "name": "one", "api_keys": [] }]), Some("tenant_named_twice")),
        (serde_json::json!([{ "name": "", "api_keys": [] }]), Some("one_word")),
        (serde_json::json!([{ "name": "a b", "api_keys": [] }]), Some("one_word")),
    ];
    for (tenants, error) in cases {
        match (read(&tenants, &serde_json::json!({})), error) {
            (Ok(_), None) => {}
            (Err(text), Some(error)) => assert!(text.contains(error), "{tenants}: {text}"),
            (result, error) => panic!("{tenants}: {result:?}, expected {error:?}"),
        }
    }
}

#[test]
fn a_key_identifies_its_tenant_and_only_public_routes_need_none() {
    let tenants = serde_json::json!([
        { "name": "large", "api_keys": ["k1", "k2"], "priority": 3, "rate_per_s": 5 },
        { "name": "small", "api_keys": ["k3"] },
    ]);
    let identify = |tenants: &serde_json::Value, public: bool, key: Option<&str>| {
        let route = serde_json::json!({ "public": public });
        let table = TenantTable::of(&read(tenants, &route).expect("valid"));
        table.identify(key, "h", "/").map(|identity| match identity {
            Identity::Anyone => None,
            Identity::Tenant(t) => Some((t.name.0.clone(), t.priority, t.limited)),
        })
    };
    let large = Ok(Some(("large".to_owned(), 3, true)));
    let small = Ok(Some(("small".to_owned(), 0, false)));
    assert_eq!(identify(&tenants, false, Some("k1")), large);
    assert_eq!(identify(&tenants, false, Some("k2")), large);
    assert_eq!(identify(&tenants, false, Some("k3")), small);
    assert_eq!(identify(&tenants, false, Some("k4")), Err(UnknownKey));
    assert_eq!(identify(&tenants, false, Some("large")), Err(UnknownKey), "a name is no key");
    assert_eq!(identify(&tenants, false, None), Err(UnknownKey));
    assert_eq!(identify(&tenants, true, None), Ok(None));
    assert_eq!(identify(&tenants, true, Some("k4")), Ok(None));
    assert_eq!(identify(&tenants, true, Some("k3")), small);
    assert_eq!(identify(&serde_json::json!([]), false, None), Ok(None));
}

#[test]
fn a_delta_keeps_the_tenants_unless_it_brings_others() {
    let table = |keys: &[&str]| {
        let tenants = serde_json::json!([{ "name": "t", "api_keys": keys }]);
        RouteTable::of(&read(&tenants, &serde_json::json!({})).expect("valid"))
    };
    let (old, new) = (table(&["a"]), table(&["b"]));
    let delta = new.delta_from(&old);
    let tenants = TenantTable::clone(&new.tenants);
    assert_eq!(old.apply_with_tenants(&delta, None).expect("applied").tenants, old.tenants);
    assert_eq!(old.apply_with_tenants(&delta, Some(tenants)), Some(new));
}

// ---------------------------------------------------------------------------------------------
// Limits

/// A small generator of numbers, so that a failure can be played again by its seed.
struct Draw(u64);
impl Draw {
    fn below(&mut self, limit: u64) -> u64 {
        self.0 =
            self.0.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        (self.0 >> 33) % limit
    }
}

/// Plays nodes that ask the leader, and leaders that are replaced while nodes still use what the
/// earlier one granted. Returns when each operation was made.
fn play(seed: u64, limit: OperationLimit) -> Vec<u64> {
    let mut draw = Draw(seed);
    let tenant = TenantName("t".to_owned());
    let mut leader = OperationGrants::new(Tick(1_000));
    let mut used = Vec::new();
    for now in 1_000..21_000 {
        if draw.below(4_000) == 0 {
            leader = OperationGrants::new(Tick(now));
        }
        // Every millisecond a node asks for some; its request may have been under way for long.
        let wanted = draw.below(12) as u32;
        let requested_at = now - draw.below(40);
        let granted = leader.grant(&tenant, limit, wanted, Tick(now));
        assert!(granted.count <= wanted);
        let last = requested_at + GRANT_VALID_MS;
        used.extend((0..granted.count).map(|_| now + draw.below(last - now)));
    }
    used.sort_unstable();
    used
}

#[test]
fn operations_of_all_nodes_stay_within_a_tenants_limit_under_any_leader() {
    const WINDOW_MS: u64 = 5_000;
    let limits = [(215, 215), (20, 5), (1_000, 100), (3, 40), (1, 1)];
    for (rate_per_s, burst) in limits {
        let limit = OperationLimit { rate_per_s, burst };
        for seed in 0..20 {
            let used = play(seed, limit);
            // Without a large burst, as many operations are out at nodes as are valid at one time.
            let out = f64::from(burst).max(0.45 * f64::from(rate_per_s)).max(1.0);
            let allowed = f64::from(rate_per_s) * WINDOW_MS as f64 / 1_000.0 + out;
            for (index, start) in used.iter().enumerate() {
                let end = used.partition_point(|at| *at < start + WINDOW_MS);
                let made = (end - index) as f64;
                assert!(
                    made <= allowed,
                    "{limit:?}, seed {seed}: {made} of {allowed} from {start}"
                );
            }
            assert!(used.len() as f64 >= f64::from(rate_per_s) * 5.0, "{limit:?}: {}", used.len());
        }
    }
}

#[test]
fn a_tenant_at_its_limit_does_not_use_what_another_has() {
    let mut leader = OperationGrants::new(Tick(0));
    let limit = OperationLimit { rate_per_s: 10, burst: 10 };
    let [busy, calm] = ["busy", "calm"].map(|name| TenantName(name.to_owned()));
    let now = Tick(10_000);
    assert_eq!(leader.grant(&busy, limit, 100, now).count, 10);
    let refused = leader.grant(&busy, limit, 1, now);
    assert_eq!(refused.count, 0);
    assert!(refused.retry_after_ms > 0);
    assert_eq!(leader.grant(&calm, limit, 3, now).count, 3);
    // What was granted may still be used, so nothing is saved beside it.
    assert_eq!(leader.grant(&busy, limit, 100, now.plus(400)).count, 0);
    let later = leader.grant(&busy, limit, 100, now.plus(5_000));
    assert_eq!(later.count, 10);
}

/// Guards against using a grant for longer than the leader counts it: its answer came after the
/// request was repeated.
#[test]
fn an_answer_that_comes_after_its_request_was_repeated_is_not_used() {
    let tenant = TenantName("t".to_owned());
    let allowance = OperationAllowance::default();
    let sent = Mutex::new(Vec::<OperationRequest>::new());
    let grant = |request: &OperationRequest| OperationGrant {
        tenant: request.tenant.clone(),
        count: 1,
        retry_after_ms: 50,
        number: request.number,
    };
    let acquire = |wait_ms: u64| {
        let wait = OperationWait { deadline: Tick::now().plus(wait_ms), client_left: || false };
        allowance.acquire(&tenant, &wait, |request| sent.lock().expect("sent").push(request))
    };
    let request = |index: usize| sent.lock().expect("sent").get(index).cloned();
    std::thread::scope(|scope| {
        let waiting = scope.spawn(|| acquire(10_000));
        eventually("the request is repeated", || request(1).is_some());
        allowance.apply(vec![grant(&request(0).expect("the first"))]);
        std::thread::sleep(Duration::from_millis(100));
        assert!(!waiting.is_finished(), "the late answer is not used");
        eventually("the last request is answered", || {
            let last = sent.lock().expect("sent").last().cloned().expect("a request");
            allowance.apply(vec![grant(&last)]);
            waiting.is_finished()
        });
        let permit = waiting.join().expect("joined").expect("granted");
        assert!(permit.expires_at <= Tick::now().plus(GRANT_VALID_MS));
    });
    assert!(acquire(20).is_err(), "the one operation was used");
}

/// Guards against clients that have left and still wait for an operation, or use one up.
#[test]
fn a_client_that_leaves_waits_for_no_operation_and_uses_none() {
    let tenant = TenantName("t".to_owned());
    let allowance = OperationAllowance::default();
    let sent = Mutex::new(Vec::<OperationRequest>::new());
    let left = AtomicBool::new(false);
    let acquire = || {
        let client_left = || left.load(Ordering::SeqCst);
        let wait = OperationWait { deadline: Tick::now().plus(20_000), client_left };
        allowance.acquire(&tenant, &wait, |request| sent.lock().expect("sent").push(request))
    };
    std::thread::scope(|scope| {
        let waiting = scope.spawn(acquire);
        eventually("the leader is asked", || !sent.lock().expect("sent").is_empty());
        left.store(true, Ordering::SeqCst);
        let left_at = Instant::now();
        assert_eq!(waiting.join().expect("joined"), Err(OperationRefused::ClientLeft));
        assert!(left_at.elapsed() < Duration::from_millis(500), "waited on for nobody");
    });
    left.store(false, Ordering::SeqCst);
    std::thread::scope(|scope| {
        let waiting = scope.spawn(acquire);
        eventually("an operation is granted", || {
            let last = sent.lock().expect("sent").last().cloned().expect("a request");
            let number = last.number;
            let grant =
                OperationGrant { tenant: last.tenant, count: 1, retry_after_ms: 50, number };
            allowance.apply(vec![grant]);
            waiting.is_finished()
        });
        let permit = waiting.join().expect("joined").expect("granted");
        allowance.give_back(&tenant, permit);
    });
    let asked = sent.lock().expect("sent").len();
    let permit = acquire().expect("the operation that was given back");
    assert_eq!(sent.lock().expect("sent").len(), asked, "without asking the leader");
    // One of another grant is lost.
    let other = OperationPermit { expires_at: permit.expires_at.plus(1) };
    allowance.give_back(&tenant, other);
    left.store(true, Ordering::SeqCst);
    assert_eq!(acquire(), Err(OperationRefused::ClientLeft));
}

// ---------------------------------------------------------------------------------------------
// The pooler

fn pooler_configuration(revision: u64, tenants: &serde_json::Value) -> String {
    serde_json::json!({
        "revision": revision,
        "route_rules": [
            { "name": "own", "hostname": "own", "route_type": "primary", "timeout_ms": 4000,
                "target_latency_ms": 250, "target_service": "ledger", "max_attempts": 2 },
            { "name": "open", "hostname": "open", "route_type": "primary", "timeout_ms": 4000,
                "target_latency_ms": 250, "target_service": "ledger", "public": true },
        ],
        "services": [{ "name": "ledger", "max_connections": 48, "sync_replicas": 1 }],
        "limits": { "txn_idle_ms": 5000 },
        "tenants": tenants,
    })
    .to_string()
}

fn start_pooler(databases: &Arc<StandIn>, tenants: &serde_json::Value) -> Site {
    let platform = format!("[provider]\naddress = \"{}\"", databases.platform);
    let sender = Arc::clone(databases);
    Site::start("pooler", &platform, &pooler_configuration(1, tenants), move |admin| {
        sender.start_heartbeats(admin, Duration::from_millis(200));
    })
}

struct Session(BufReader<TcpStream>);
impl Session {
    /// Opens a session; the error is the line that rejects it.
    fn open(site: &Site, database: &str, key: &str) -> Result<Self, String> {
        let stream = TcpStream::connect(site.frontend).expect("frontend");
        stream.set_read_timeout(Some(Duration::from_secs(15))).expect("timeout");
        let mut session = Self(BufReader::new(stream));
        session.send(&format!("CONNECT {database} {key}"));
        let line = session.line();
        if line.starts_with("READY I") { Ok(session) } else { Err(line) }
    }
    fn send(&mut self, line: &str) {
        self.0.get_mut().write_all(format!("{line}\r\n").as_bytes()).expect("sent");
    }
    fn line(&mut self) -> String {
        let mut line = String::new();
        // A reset connection is treated like a closed one.
        let _ = self.0.read_line(&mut line);
        line.trim_end().to_owned()
    }
    /// Sends a statement and returns the lines of its reply, up to READY or the end of the session.
    fn ask(&mut self, id: &str, text: &str) -> Vec<String> {
        self.send(&format!("QUERY {id} {text}"));
        let mut lines = Vec::new();
        loop {
            let line = self.line();
            let ends = line.is_empty() || line.starts_with("READY");
            lines.push(line);
            if ends {
                return lines;
            }
        }
    }
}

fn is_served(reply: &[String]) -> bool {
    reply.iter().any(|line| line.starts_with("COMPLETE"))
}
fn has_error(reply: &[String], code: &str) -> bool {
    reply.iter().any(|line| line.starts_with(&format!("ERROR {code}")))
}
fn open_and_serve(site: &Site, key: &str) -> Session {
    let mut opened = None;
    eventually("a served write", || {
        opened = Session::open(site, "own", key).ok();
        opened.as_mut().is_some_and(|s| is_served(&s.ask(&fresh_id(), "STORE a a")))
    });
    opened.expect("a session")
}

#[test]
fn databases_are_told_the_tenant_and_unknown_keys_are_denied() {
    let databases = StandIn::start("ledger", 3).expect("databases");
    let tenants = serde_json::json!([
        { "name": "one", "api_keys": ["key-1"] }, { "name": "two", "api_keys": ["key-2"] }]);
    let site = start_pooler(&databases, &tenants);
    // More sessions than connections, of two tenants in turn.
    let mut sessions: Vec<(String, Session)> = (0..12)
        .map(|n| {
            (["one", "two"][n % 2].to_owned(), open_and_serve(&site, ["key-1", "key-2"][n % 2]))
        })
        .collect();
    for _ in 0..5 {
        for (tenant, session) in &mut sessions {
            let id = fresh_id();
            let reply = session.ask(&id, "FETCH a");
            assert!(is_served(&reply), "{reply:?}");
            assert_eq!(databases.users(&id), [tenant.as_str()]);
        }
    }
    for unknown in ["key-3", "one", "stile"] {
        let denied = Session::open(&site, "own", unknown).err();
        assert!(denied.as_ref().is_some_and(|l| l.starts_with("ERROR DENIED")), "{denied:?}");
    }
    let mut anyone = Session::open(&site, "open", "key-3").unwrap_or_else(|line| panic!("{line}"));
    let id = fresh_id();
    assert!(is_served(&anyone.ask(&id, "FETCH a")));
    assert!(databases.users(&id).iter().all(|user| !user.contains("key")));
    assert_eq!(site.status()["denied"], 3);
}

#[test]
fn a_removed_key_ends_its_sessions_and_an_added_one_is_admitted() {
    let databases = StandIn::start("ledger", 3).expect("databases");
    let both = serde_json::json!([{ "name": "one", "api_keys": ["kept", "removed"] }]);
    let site = start_pooler(&databases, &both);
    let mut kept = open_and_serve(&site, "kept");
    let mut idle = open_and_serve(&site, "removed");
    let mut in_transaction = open_and_serve(&site, "removed");
    in_transaction.ask(&fresh_id(), "BEGIN");
    assert!(is_served(&in_transaction.ask(&fresh_id(), "STORE b b")));
    let changed = serde_json::json!([{ "name": "one", "api_keys": ["kept", "added"] }]);
    assert!(site.put_configuration("1", &pooler_configuration(2, &changed)));
    eventually("the new key is admitted", || Session::open(&site, "own", "added").is_ok());
    for (session, text) in [(&mut idle, "FETCH a"), (&mut in_transaction, "COMMIT")] {
        let id = fresh_id();
        let reply = session.ask(&id, text);
        assert!(has_error(&reply, "DENIED"), "{text}: {reply:?}");
        assert_eq!(session.line(), "", "the session has ended");
        assert_eq!(databases.times_received(&id), 0, "{text}");
    }
    assert!(is_served(&kept.ask(&fresh_id(), "FETCH a")));
}

#[test]
fn statements_beyond_a_tenants_limit_are_throttled_and_not_run() {
    let databases = StandIn::start("ledger", 3).expect("databases");
    let (rate, burst) = (40, 20);
    let tenants = serde_json::json!([
        { "name": "busy", "api_keys": ["busy"], "rate_per_s": rate, "burst_limit": burst },
        { "name": "calm", "api_keys": ["calm"], "rate_per_s": rate, "burst_limit": burst },
    ]);
    let site = start_pooler(&databases, &tenants);
    let mut busy = open_and_serve(&site, "busy");
    let mut calm = open_and_serve(&site, "calm");
    // The grants and tokens of the first write are gone or counted after this.
    std::thread::sleep(Duration::from_secs(1));
    let (start, mut served, mut throttled) = (Instant::now(), 0, 0);
    while start.elapsed() < Duration::from_secs(2) {
        let id = fresh_id();
        let reply = busy.ask(&id, "FETCH a");
        if is_served(&reply) {
            served += 1;
        } else {
            assert!(has_error(&reply, "THROTTLED retry_after_ms="), "{reply:?}");
            assert_eq!(databases.times_received(&id), 0);
            throttled += 1;
        }
        if (served + throttled) % 20 == 0 {
            let reply = calm.ask(&fresh_id(), "FETCH a");
            assert!(is_served(&reply), "the other tenant is within its limit: {reply:?}");
            std::thread::sleep(Duration::from_millis(50));
        }
    }
    let elapsed_ms = start.elapsed().as_millis() as u32;
    let allowed = rate * elapsed_ms / 1_000 + burst;
    assert!(served <= allowed + 1, "{served} of {allowed} in {elapsed_ms} ms");
    assert!(served >= allowed / 2, "{served} of {allowed} in {elapsed_ms} ms");
    assert!(throttled > 0);
}

// ---------------------------------------------------------------------------------------------
// The gateway

fn start_gateway(endpoints: &Arc<StandInEndpoints>) -> Site {
    let configuration = serde_json::json!({
        "revision": 1,
        "route_rules": [
            { "name": "own", "hostname": "shop.example", "path_prefix": "/own/",
                "route_type": "idempotent", "timeout_ms": 1500, "target_latency_ms": 600,
                "target_service": "query" },
            { "name": "open", "hostname": "shop.example", "path_prefix": "/open/",
                "route_type": "idempotent", "timeout_ms": 1500, "target_latency_ms": 600,
                "target_service": "query", "public": true },
        ],
        "services": [{ "name": "query", "max_connections": 64 }],
        "tenants": [{ "name": "one", "api_keys": ["key-1"] },
            { "name": "two", "api_keys": ["key-2"], "rate_per_s": 1, "burst_limit": 2 }],
    })
    .to_string();
    let site = Site::start("gateway", "rollout = \"api\"", &configuration, |admin| {
        eventually("the heartbeats are accepted", || endpoints.send_heartbeats(admin, 1));
    });
    eventually("the gateway knows all endpoints", || {
        site.status()["databases"].as_array().is_some_and(|listed| listed.len() == 2)
    });
    site
}

#[test]
fn a_gateway_tells_endpoints_the_tenant_and_never_the_key() {
    let endpoints = StandInEndpoints::start("query", 2).expect("endpoints");
    let site = start_gateway(&endpoints);
    let get = |path: &str, headers: &str| {
        let id = fresh_id();
        let mut client = TcpStream::connect(site.frontend).expect("frontend");
        client.set_read_timeout(Some(Duration::from_secs(10))).expect("timeout");
        let head = format!(
            "GET {path} HTTP/1.1\r\nHost: shop.example\r\nRequest-Id: {id}\r\n{headers}\
             Connection: close\r\n\r\n"
        );
        client.write_all(head.as_bytes()).expect("sent");
        let mut response = String::new();
        client.read_to_string(&mut response).expect("a response");
        let status = response.split(' ').nth(1).unwrap_or_default().to_owned();
        let heads: Vec<String> =
            endpoints.received(&id).into_iter().map(|r| r.head.to_lowercase()).collect();
        (status, heads)
    };
    let with_key = "authorization: token key-1\r\nTenant-Id: two\r\n";
    let (status, heads) = get("/own/x", with_key);
    assert_eq!(status, "200");
    assert!(heads[0].contains("\r\ntenant-id: one\r\n"), "{heads:?}");
    assert!(!heads[0].contains("key-1") && !heads[0].contains("two"), "{heads:?}");
    for denied in [
        "",
        "Authorization: Token key-3\r\n",
        "Authorization: Token one\r\n",
        "Authorization: Basic key-1\r\n",
        "Authorization: Token key-1\r\nAuthorization: Token key-2\r\n",
        "Tenant-Id: one\r\n",
    ] {
        assert_eq!(get("/own/x", denied), ("401".to_owned(), Vec::new()), "{denied}");
    }
    let (status, heads) = get("/open/x", "Tenant-Id: two\r\n");
    assert_eq!(status, "200");
    assert!(!heads[0].contains("tenant-id"), "{heads:?}");
    // A new leader grants nothing before the grants of earlier ones have expired.
    eventually("an operation is granted", || {
        get("/own/x", "Authorization: Token key-2\r\n").0 == "200"
    });
    std::thread::sleep(Duration::from_secs(3));
    let statuses: Vec<String> =
        (0..8).map(|_| get("/own/x", "Authorization: Token key-2\r\n").0).collect();
    let served = statuses.iter().filter(|status| *status == "200").count();
    assert!((1..=4).contains(&served), "{statuses:?}");
    assert_eq!(statuses.iter().filter(|status| *status == "429").count(), 8 - served);
}
