//! A controller and a gateway as processes, against stand-in databases: what a gateway does with bad
//! requests, bad answers and databases in trouble.
#[path = "support/gateway.rs"]
mod stand_in_endpoints;
mod support;

use silvertack::gateway::http1::{BodyDecoder, ParsedHead, parse_response_head};
use stand_in_endpoints::{Behaviour, StandInEndpoints};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};
use support::{free_port, http};

struct Process(Child);
impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}
struct System {
    folder: PathBuf,
    admin: SocketAddr,
    frontend: SocketAddr,
    readiness: SocketAddr,
    databases: Arc<StandInEndpoints>,
    gateway: Process,
    controller: Option<Process>,
}
impl Drop for System {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

fn eventually(what: &str, mut check: impl FnMut() -> bool) {
    let start = Instant::now();
    while !check() {
        assert!(start.elapsed() < Duration::from_secs(20), "never: {what}");
        std::thread::sleep(Duration::from_millis(20));
    }
}
fn run(role: &str, settings: &std::path::Path) -> Process {
    let mut command = Command::new(env!("CARGO_BIN_EXE_silvertack"));
    command.args([role, "--settings"]).arg(settings).stderr(Stdio::null());
    Process(command.spawn().expect(role))
}
fn configuration(revision: u64, service: &str) -> String {
    let route = |prefix: &str, kind: &str| {
        serde_json::json!({
            "name": prefix, "hostname": "shop.example", "path_prefix": prefix, "route_type": kind,
            "timeout_ms": 2000, "target_latency_ms": 600, "priority": 1, "target_service": service,
            "max_attempts": 2,
        })
    };
    serde_json::json!({
        "revision": revision,
        "route_rules": [route("/once/", "non_idempotent"), route("/many/", "idempotent"), route("/pack/", "download")],
        "services": [{ "name": "query", "max_connections": 64 }, { "name": "none", "max_connections": 64 }],
        "limits": { "max_header_bytes": 2000, "max_body_bytes": 400_000, "header_timeout_ms": 400, "idle_timeout_ms": 3000 },
    })
    .to_string()
}
fn put(admin: SocketAddr, base: &str, body: &str) -> bool {
    http(admin, "PUT", "/configuration", &[("If-Match", base)], body).is_ok_and(|(s, _)| s == 200)
}

fn start(databases: usize) -> System {
    let ports: Vec<u16> = (0..4).map(|_| free_port()).collect();
    let at = |port: u16| SocketAddr::from(([127, 0, 0, 1], port));
    let folder = std::env::temp_dir().join(format!("silvertack-gateway-{}", ports[0]));
    std::fs::create_dir_all(&folder).expect("folder");
    let settings = format!(
        "node_name = \"one\"\nip_address = \"127.0.0.1\"\nzone = \"here\"\nport_range = [{p}, {p}]\n\
         seed_nodes = [\"{admin}\"]\nbootstrap = true\nrollout = \"api\"\ndata_path = \"{data}\"\n\
         [listeners]\nfrontend = \"{front}\"\nreadiness = \"{ready}\"\nadmin = \"{admin}\"\n\
         [timing_bounds]\ngrace_s = 3\nretry_ratio = 1.0\n",
        p = ports[0],
        admin = at(ports[1]),
        front = at(ports[2]),
        ready = at(ports[3]),
        data = folder.join("data").display(),
    );
    let file = folder.join("node.toml");
    std::fs::write(&file, settings).expect("settings");
    let system = System {
        admin: at(ports[1]),
        frontend: at(ports[2]),
        readiness: at(ports[3]),
        databases: StandInEndpoints::start("query", databases).expect("databases"),
        controller: Some(run("controller", &file)),
        gateway: run("gateway", &file),
        folder,
    };
    eventually("a configuration", || put(system.admin, "0", &configuration(1, "query")));
    eventually("databases", || system.databases.send_heartbeats(system.admin, 1));
    eventually("readiness", || {
        http(system.readiness, "GET", "/readiness", &[], "").is_ok_and(|(s, _)| s == 200)
    });
    eventually("all databases known", || {
        let (_, body) = http(system.readiness, "GET", "/status", &[], "").expect("status");
        let status: serde_json::Value = serde_json::from_str(&body).expect("json");
        status["databases"].as_array().is_some_and(|d| d.len() == databases)
    });
    system
}

/// A response: its head, and its body without chunks.
struct ClientResponse {
    status: u16,
    head: String,
    body: Vec<u8>,
    complete: bool,
}
struct Client(TcpStream, Vec<u8>);
impl Client {
    fn open(system: &System) -> Self {
        let stream = TcpStream::connect(system.frontend).expect("frontend");
        stream.set_read_timeout(Some(Duration::from_secs(10))).expect("timeout");
        Self(stream, Vec::new())
    }
    fn send(&mut self, bytes: &[u8]) {
        // A refusal may come, and the connection end, before all is sent.
        let _ = self.0.write_all(bytes);
    }
    fn more(&mut self) -> bool {
        let mut chunk = [0; 64 << 10];
        let got = self.0.read(&mut chunk).unwrap_or(0);
        self.1.extend_from_slice(&chunk[..got]);
        got > 0
    }
    fn response(&mut self, method: &str) -> Option<ClientResponse> {
        let ParsedHead { head: response, length } = loop {
            match parse_response_head(&self.1, method) {
                Ok(Some(found)) => break found,
                Ok(None) if self.more() => {}
                _ => return None,
            }
        };
        let head = String::from_utf8_lossy(&self.1[..length]).into_owned();
        self.1.drain(..length);
        let (mut body, mut data) = (BodyDecoder::new(response.framing), Vec::new());
        let complete = loop {
            let used = body.decode(&self.1, &mut data).expect("well formed");
            self.1.drain(..used);
            if body.is_complete() {
                break true;
            }
            if !self.more() {
                break body.finish_at_close();
            }
        };
        Some(ClientResponse { status: response.status, head, body: data, complete })
    }
    fn closed(&mut self) -> bool {
        self.1.is_empty() && !self.more()
    }
}
fn fresh_id() -> String {
    static NEXT: AtomicU64 = AtomicU64::new(1);
    format!("r{}", NEXT.fetch_add(1, Ordering::SeqCst))
}
fn request(method: &str, path: &str, id: &str, more: &str, body: &str) -> Vec<u8> {
    format!(
        "{method} {path} HTTP/1.1\r\nHost: shop.example\r\nRequest-Id: {id}\r\nDeadline-Ms: 1500\r\n{more}\r\n{body}"
    )
    .into_bytes()
}
/// One request on a connection of its own.
fn ask(system: &System, method: &str, path: &str) -> (String, ClientResponse) {
    let id = fresh_id();
    let mut client = Client::open(system);
    client.send(&request(method, path, &id, "", ""));
    let got = client.response(method).expect("a response");
    (id, got)
}

#[test]
fn requests_arrive_as_they_were_sent_and_answers_as_they_were_given() {
    let system = start(2);
    let mut client = Client::open(&system);
    // Two at once on one connection, the first with a body in chunks.
    let (one, two) = (fresh_id(), fresh_id());
    let mut both = request(
        "POST",
        "/once/a%20b?x=1&y",
        &one,
        "Transfer-Encoding: chunked\r\nX-Own: v\r\n",
        "3\r\nabc\r\n0\r\n\r\n",
    );
    both.extend(request("HEAD", "/many/", &two, "Target-Instance: forged\r\n", ""));
    client.send(&both);
    let got = client.response("POST").expect("first");
    assert_eq!(
        (got.status, got.body.as_slice(), got.complete),
        (200, b"the rows".as_slice(), true)
    );
    assert!(got.head.contains(&format!("Request-Id: {one}")) && got.head.contains("s.1"));
    assert_eq!(client.response("HEAD").expect("second").status, 200);
    let ran = system.databases.received(&one);
    assert_eq!(ran.len(), 1);
    assert_eq!(
        (ran[0].line.as_str(), ran[0].body.as_slice()),
        ("POST /once/a%20b?x=1&y", b"abc".as_slice())
    );
    assert!(ran[0].head.contains("X-Own: v\r\n") && ran[0].head.contains("Host: shop.example\r\n"));
    let head = &system.databases.received(&two)[0].head;
    assert!(head.contains("Target-Instance: i-query-") && !head.contains("forged"), "{head}");
    let left = head.lines().find_map(|l| l.strip_prefix("Deadline-Ms: ")).expect("what is left");
    assert!((1_000..1_500).contains(&left.parse::<u64>().expect("a number")), "{left}");
    // A body too large to be held, and one that waits for 100 Continue.
    for (framing, large) in [("length", 300_000), ("length", 5), ("chunked", 300_000)] {
        let id = fresh_id();
        let data = "z".repeat(large);
        let (header, body) = match framing {
            "chunked" => (
                "Transfer-Encoding: chunked\r\n".to_owned(),
                format!("{large:x}\r\n{data}\r\n0\r\n\r\n"),
            ),
            _ => (format!("Content-Length: {large}\r\n"), data.clone()),
        };
        client.send(&request(
            "PUT",
            "/once/large",
            &id,
            &format!("{header}Expect: 100-continue\r\n"),
            "",
        ));
        assert_eq!(client.response("PUT").expect("go on").status, 100);
        client.send(body.as_bytes());
        assert_eq!(client.response("PUT").expect("done").status, 200, "{framing} {large}");
        assert_eq!(system.databases.received(&id)[0].body, data.as_bytes(), "{framing} {large}");
    }
    // Downloads are forwarded as they come.
    for how in [Behaviour::Large(3_000_000), Behaviour::Chunked] {
        system.databases.set_behaviours(&[how]);
        let (_, got) = ask(&system, "GET", "/pack/it");
        let size = if how == Behaviour::Chunked { 8 } else { 3_000_000 };
        assert_eq!((got.status, got.body.len(), got.complete), (200, size, true), "{how:?}");
    }
}

#[test]
fn bad_requests_are_refused_and_go_nowhere() {
    let system = start(1);
    let long = format!("X: {}\r\n", "y".repeat(3_000));
    let cases: [(&str, Vec<u8>, Option<u16>); 9] = [
        ("no HTTP", b"hello\r\n\r\n".to_vec(), Some(400)),
        (
            "two lengths",
            request("POST", "/once/", "b", "Content-Length: 1\r\nContent-Length: 2\r\n", "a"),
            Some(400),
        ),
        (
            "both",
            request(
                "POST",
                "/once/",
                "b",
                "Content-Length: 1\r\nTransfer-Encoding: chunked\r\n",
                "a",
            ),
            Some(400),
        ),
        (
            "bad chunk",
            request("POST", "/once/", "b", "Transfer-Encoding: chunked\r\n", "zz\r\n"),
            Some(400),
        ),
        ("large head", request("GET", "/many/", "b", &long, ""), Some(431)),
        ("large body", request("POST", "/once/", "b", "Content-Length: 400001\r\n", ""), Some(413)),
        (
            "large chunks",
            request(
                "POST",
                "/once/",
                "b",
                "Transfer-Encoding: chunked\r\n",
                &format!("{:x}\r\n{}", 500_000, "a".repeat(500_000)),
            ),
            Some(413),
        ),
        ("slow head", b"GET /many/ HTTP/1.1\r\nHo".to_vec(), Some(408)),
        ("nothing", Vec::new(), None),
    ];
    for (what, bytes, status) in cases {
        let mut client = Client::open(&system);
        client.send(&bytes);
        let got = client.response("POST");
        assert_eq!(got.as_ref().map(|g| g.status), status, "{what}");
        assert!(got.is_none_or(|g| g.head.contains("Connection: close")), "{what}");
        assert!(client.closed(), "{what}");
    }
    assert!(
        system.databases.received("b").iter().all(|r| r.body.len() > 200_000),
        "forwarded only if complete"
    );
    let mut client = Client::open(&system);
    client.send(&request("GET", "/nowhere/", "n", "", ""));
    assert_eq!(client.response("GET").expect("a response").status, 404);
    client.send(&request("GET", "/many/", "n", "", ""));
    assert_eq!(client.response("GET").expect("on the same connection").status, 200);
}

#[test]
#[expect(clippy::too_many_lines, reason = "one scenario, told in order")]
fn what_a_database_does_wrong_never_reaches_a_client() {
    use Behaviour::*;
    let system = start(8);
    // What the databases do in turn; the answers to what can be repeated and to what cannot, and how
    // often each ran.
    let cases: [(&[Behaviour], u16, usize, u16, usize); 9] = [
        (&[Serve], 200, 1, 200, 1),
        (&[Full, Serve], 200, 2, 200, 2),
        (&[Misdirected, Serve], 200, 2, 200, 2),
        (&[Full, Full], 503, 2, 503, 2),
        (&[Fail, Serve], 200, 2, 500, 1),
        (&[Reset, Serve], 200, 2, 502, 1),
        (&[Truncate, Serve], 200, 2, 502, 1),
        (&[Unsigned, Serve], 200, 2, 502, 1),
        (&[Nonsense, Serve], 200, 2, 502, 1),
    ];
    for (next, many, many_ran, once, once_ran) in cases {
        for (path, status, runs) in [("/many/x", many, many_ran), ("/once/x", once, once_ran)] {
            system.databases.set_behaviours(next);
            // Earlier failures must not decide where this one goes.
            eventually("fresh databases", || system.databases.send_heartbeats(system.admin, 2));
            let (id, got) = ask(&system, "GET", path);
            system.databases.set_behaviours(&[]);
            let ran = system.databases.received(&id);
            assert_eq!((got.status, ran.len()), (status, runs), "{next:?} {path}");
            // One that was reset on a connection that had rested may come again on another one.
            let again = next[0] == Reset;
            let mut places: Vec<_> =
                ran.iter().map(|r| (r.database, if again { r.connection } else { 0 })).collect();
            places.dedup();
            assert_eq!(places.len(), runs, "each to another place: {next:?} {path}");
            if status == 200 {
                assert_eq!(got.body, b"the rows", "{next:?} {path}");
            }
        }
    }
    // What is too large to be held is never sent again with only a part of its body.
    for framing in ["length", "chunked"] {
        eventually("fresh databases", || system.databases.send_heartbeats(system.admin, 3));
        system.databases.set_behaviours(&[Reset, Serve]);
        let (id, size) = (fresh_id(), 300_000);
        let data = "z".repeat(size);
        let (header, body) = match framing {
            "chunked" => (
                "Transfer-Encoding: chunked\r\n".to_owned(),
                format!("{size:x}\r\n{data}\r\n0\r\n\r\n"),
            ),
            _ => (format!("Content-Length: {size}\r\n"), data.clone()),
        };
        let mut client = Client::open(&system);
        client.send(&request("PUT", "/many/x", &id, &header, &body));
        assert_eq!(client.response("PUT").expect("a response").status, 502, "{framing}");
        system.databases.set_behaviours(&[]);
        let ran = system.databases.received(&id);
        assert!(ran.len() == 1 && ran[0].body == data.as_bytes(), "{framing}: {}", ran.len());
    }
    // A stray response on a reused connection belongs to no request.
    for next in [&[Extra][..], &[WrongId, Serve]] {
        system.databases.set_behaviours(next);
        for _ in 0..20 {
            let (id, got) = ask(&system, "GET", "/many/x");
            assert_eq!(
                (got.status, got.body.as_slice()),
                (200, b"the rows".as_slice()),
                "{next:?}"
            );
            assert!(got.head.contains(&format!("Request-Id: {id}")), "{next:?}");
        }
    }
    // One that never responds: the idempotent request is hedged, the other waits to its deadline.
    system.databases.set_behaviours(&[Hang, Serve]);
    let start = Instant::now();
    assert_eq!(ask(&system, "GET", "/many/x").1.status, 200);
    assert!(start.elapsed() < Duration::from_millis(1_200));
    system.databases.set_behaviours(&[Hang]);
    let (id, got) = ask(&system, "GET", "/once/x");
    assert_eq!((got.status, system.databases.received(&id).len()), (504, 1));
}

#[test]
fn a_new_version_a_leaving_database_and_a_lost_leader() {
    let mut system = start(2);
    let leaving = system.databases.heartbeat(0, 10, "draining");
    let path = format!("/instances/{}", system.databases.id(0));
    assert_eq!(http(system.admin, "PUT", &path, &[], &leaving).expect("beat").0, 200);
    std::thread::sleep(Duration::from_millis(300));
    for _ in 0..20 {
        let (id, got) = ask(&system, "GET", "/many/x");
        assert_eq!((got.status, system.databases.received(&id)[0].database), (200, 1));
    }
    // Without the controller, what is known serves on; also after it came back to its disk.
    system.controller = None;
    std::thread::sleep(Duration::from_millis(2_500));
    assert_eq!(ask(&system, "POST", "/once/x").1.status, 200);
    system.controller = Some(run("controller", &system.folder.join("node.toml")));
    eventually("a second version", || put(system.admin, "1", &configuration(2, "none")));
    eventually("the service without databases", || {
        let (id, got) = ask(&system, "GET", "/many/x");
        got.status == 503
            && got.head.contains("Retry-After: ")
            && system.databases.received(&id).is_empty()
    });
}

#[test]
fn clients_that_rest_hold_no_thread_and_are_served_again() {
    let system = start(2);
    let mut clients: Vec<Client> = Vec::new();
    for round in 0..2 {
        for place in 0..150 {
            if round == 0 {
                clients.push(Client::open(&system));
            }
            let client = &mut clients[place];
            // As slowly as threads get free again.
            std::thread::sleep(Duration::from_millis(2));
            client.send(&request("GET", "/many/x", &fresh_id(), "", ""));
            assert_eq!(client.response("GET").expect("a response").status, 200, "round {round}");
        }
        eventually("all rest", || {
            let (_, body) = http(system.readiness, "GET", "/status", &[], "").expect("status");
            serde_json::from_str::<serde_json::Value>(&body).expect("json")["resting"] == 150
        });
        let status = format!("/proc/{}/status", system.gateway.0.id());
        let status = std::fs::read_to_string(status).expect("status");
        let threads = status.lines().find_map(|l| l.strip_prefix("Threads:")).expect("threads");
        assert!(threads.trim().parse::<u32>().expect("a number") < 40, "{threads}");
    }
}

#[test]
fn a_client_is_served_after_four_fifths_of_the_idle_time_and_let_go_after_all_of_it() {
    let system = start(1);
    let mut fresh = Client::open(&system);
    let mut client = Client::open(&system);
    // The first rest is behind an answer, the second behind one that came after a rest.
    for pause_ms in [0, 2_400, 2_400] {
        std::thread::sleep(Duration::from_millis(pause_ms));
        client.send(&request("GET", "/many/x", &fresh_id(), "", ""));
        let got = client.response("GET").unwrap_or_else(|| panic!("let go after {pause_ms} ms"));
        assert_eq!(got.status, 200);
    }
    let rests = std::time::Instant::now();
    assert!(client.closed(), "nothing more comes");
    // One that never asked was let go by then; else this takes 10 s.
    assert!(fresh.closed(), "nothing comes");
    let rested = rests.elapsed().as_millis();
    assert!((2_900..6_000).contains(&rested), "let go after {rested} ms");
}

#[test]
fn at_sigterm_what_was_read_is_answered() {
    let mut system = start(2);
    let mut kept = Client::open(&system);
    kept.send(&request("GET", "/many/x", &fresh_id(), "", ""));
    assert!(kept.response("GET").expect("a response").head.contains("Keep-Alive: timeout=1"));
    let pid = rustix::process::Pid::from_child(&system.gateway.0);
    rustix::process::kill_process(pid, rustix::process::Signal::TERM).expect("signal");
    eventually("not ready", || {
        !http(system.readiness, "GET", "/readiness", &[], "").is_ok_and(|(s, _)| s == 200)
    });
    // New ones come until the platform has noticed; each is told that the connection ends.
    let (_, got) = ask(&system, "GET", "/many/x");
    assert!(got.status == 200 && got.head.contains("Connection: close"));
    let ended = system.gateway.0.wait().expect("its end");
    assert!(ended.success());
    assert!(kept.closed(), "a resting connection is closed");
}
