//! End-to-end tests of a controller and a gateway as processes, with stand-in endpoints: invalid
//! requests, faults of endpoints, idle clients and a graceful shutdown.
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
/// A controller, a gateway and the endpoints of one service.
struct System {
    folder: PathBuf,
    admin: SocketAddr,
    frontend: SocketAddr,
    readiness: SocketAddr,
    endpoints: Arc<StandInEndpoints>,
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
        assert!(start.elapsed() < Duration::from_secs(20), "not within 20 s: {what}");
        std::thread::sleep(Duration::from_millis(20));
    }
}
fn start_process(role: &str, settings: &std::path::Path) -> Process {
    let mut command = Command::new(env!("CARGO_BIN_EXE_silvertack"));
    command.args([role, "--settings"]).arg(settings).stderr(Stdio::null());
    Process(command.spawn().expect(role))
}
fn configuration(revision: u64, service: &str) -> String {
    let route = |prefix: &str, route_type: &str| {
        serde_json::json!({
            "name": prefix, "hostname": "shop.example", "path_prefix": prefix, "route_type": route_type,
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
fn put_configuration(admin: SocketAddr, base_revision: &str, body: &str) -> bool {
    http(admin, "PUT", "/configuration", &[("If-Match", base_revision)], body)
        .is_ok_and(|(status, _)| status == 200)
}

fn start_system(endpoint_count: usize) -> System {
    let ports: Vec<u16> = (0..4).map(|_| free_port()).collect();
    let local = |port: u16| SocketAddr::from(([127, 0, 0, 1], port));
    let folder = std::env::temp_dir().join(format!("silvertack-gateway-{}", ports[0]));
    std::fs::create_dir_all(&folder).expect("folder");
    let settings = format!(
        "node_name = \"one\"\nip_address = \"127.0.0.1\"\nzone = \"here\"\nport_range = [{p}, {p}]\n\
         seed_nodes = [\"{admin}\"]\nbootstrap = true\nrollout = \"api\"\ndata_path = \"{data}\"\n\
         [listeners]\nfrontend = \"{front}\"\nreadiness = \"{ready}\"\nadmin = \"{admin}\"\n\
         [timing_bounds]\ngrace_s = 3\nretry_ratio = 1.0\n",
        p = ports[0],
        admin = local(ports[1]),
        front = local(ports[2]),
        ready = local(ports[3]),
        data = folder.join("data").display(),
    );
    let file = folder.join("node.toml");
    std::fs::write(&file, settings).expect("settings");
    let system = System {
        admin: local(ports[1]),
        frontend: local(ports[2]),
        readiness: local(ports[3]),
        endpoints: StandInEndpoints::start("query", endpoint_count).expect("endpoints"),
        controller: Some(start_process("controller", &file)),
        gateway: start_process("gateway", &file),
        folder,
    };
    eventually("the configuration is accepted", || {
        put_configuration(system.admin, "0", &configuration(1, "query"))
    });
    eventually("the heartbeats are accepted", || system.endpoints.send_heartbeats(system.admin, 1));
    eventually("the gateway is ready", || {
        http(system.readiness, "GET", "/readiness", &[], "").is_ok_and(|(status, _)| status == 200)
    });
    eventually("the gateway knows all endpoints", || {
        let (_, body) = http(system.readiness, "GET", "/status", &[], "").expect("status");
        let status: serde_json::Value = serde_json::from_str(&body).expect("json");
        status["databases"].as_array().is_some_and(|listed| listed.len() == endpoint_count)
    });
    system
}

/// A response that a client received: its head, and its decoded body.
struct ClientResponse {
    status: u16,
    head: String,
    body: Vec<u8>,
    complete: bool,
}
/// A client connection, with the bytes that were read and not parsed yet.
struct Client(TcpStream, Vec<u8>);
impl Client {
    fn open(system: &System) -> Self {
        let stream = TcpStream::connect(system.frontend).expect("frontend");
        stream.set_read_timeout(Some(Duration::from_secs(10))).expect("timeout");
        Self(stream, Vec::new())
    }
    fn send(&mut self, bytes: &[u8]) {
        // The gateway may refuse the request and close the connection before all bytes are sent.
        let _ = self.0.write_all(bytes);
    }
    fn read_more(&mut self) -> bool {
        let mut chunk = [0; 64 << 10];
        let count = self.0.read(&mut chunk).unwrap_or(0);
        self.1.extend_from_slice(&chunk[..count]);
        count > 0
    }
    fn receive(&mut self, method: &str) -> Option<ClientResponse> {
        let ParsedHead { head: response, length } = loop {
            match parse_response_head(&self.1, method) {
                Ok(Some(parsed)) => break parsed,
                Ok(None) if self.read_more() => {}
                _ => return None,
            }
        };
        let head = String::from_utf8_lossy(&self.1[..length]).into_owned();
        self.1.drain(..length);
        let (mut body, mut data) = (BodyDecoder::new(response.framing), Vec::new());
        let complete = loop {
            let consumed = body.decode(&self.1, &mut data).expect("well formed");
            self.1.drain(..consumed);
            if body.is_complete() {
                break true;
            }
            if !self.read_more() {
                break body.finish_at_close();
            }
        };
        Some(ClientResponse { status: response.status, head, body: data, complete })
    }
    /// Whether the gateway closes the connection without sending more.
    fn is_closed(&mut self) -> bool {
        self.1.is_empty() && !self.read_more()
    }
}
fn fresh_id() -> String {
    static NEXT: AtomicU64 = AtomicU64::new(1);
    format!("r{}", NEXT.fetch_add(1, Ordering::SeqCst))
}
fn request(method: &str, path: &str, id: &str, headers: &str, body: &str) -> Vec<u8> {
    format!(
        "{method} {path} HTTP/1.1\r\nHost: shop.example\r\nRequest-Id: {id}\r\nDeadline-Ms: 1500\r\n{headers}\r\n{body}"
    )
    .into_bytes()
}
/// Sends one request on a new connection. Returns its id and the response.
fn send_request(system: &System, method: &str, path: &str) -> (String, ClientResponse) {
    let id = fresh_id();
    let mut client = Client::open(system);
    client.send(&request(method, path, &id, "", ""));
    let response = client.receive(method).expect("a response");
    (id, response)
}

#[test]
fn requests_and_responses_are_forwarded_unchanged() {
    let system = start_system(2);
    let mut client = Client::open(&system);
    // Two pipelined requests on one connection, the first with a chunked body.
    let (first, second) = (fresh_id(), fresh_id());
    let mut requests = request(
        "POST",
        "/once/a%20b?x=1&y",
        &first,
        "Transfer-Encoding: chunked\r\nX-Own: v\r\n",
        "3\r\nabc\r\n0\r\n\r\n",
    );
    requests.extend(request("HEAD", "/many/", &second, "Target-Instance: forged\r\n", ""));
    client.send(&requests);
    let got = client.receive("POST").expect("first");
    assert_eq!(
        (got.status, got.body.as_slice(), got.complete),
        (200, b"the rows".as_slice(), true)
    );
    assert!(got.head.contains(&format!("Request-Id: {first}")) && got.head.contains("s.1"));
    assert_eq!(client.receive("HEAD").expect("second").status, 200);
    let seen = system.endpoints.received(&first);
    assert_eq!(seen.len(), 1);
    assert_eq!(
        (seen[0].method_and_target.as_str(), seen[0].body.as_slice()),
        ("POST /once/a%20b?x=1&y", b"abc".as_slice())
    );
    assert!(
        seen[0].head.contains("X-Own: v\r\n") && seen[0].head.contains("Host: shop.example\r\n")
    );
    let head = &system.endpoints.received(&second)[0].head;
    assert!(head.contains("Target-Instance: i-query-") && !head.contains("forged"), "{head}");
    let left_ms = head.lines().find_map(|l| l.strip_prefix("Deadline-Ms: ")).expect("a deadline");
    assert!((1_000..1_500).contains(&left_ms.parse::<u64>().expect("a number")), "{left_ms}");
    // Bodies that are sent only after `100 Continue`; the large ones are streamed, not buffered.
    for (framing, size) in [("length", 300_000), ("length", 5), ("chunked", 300_000)] {
        let id = fresh_id();
        let data = "z".repeat(size);
        let (header, body) = match framing {
            "chunked" => (
                "Transfer-Encoding: chunked\r\n".to_owned(),
                format!("{size:x}\r\n{data}\r\n0\r\n\r\n"),
            ),
            _ => (format!("Content-Length: {size}\r\n"), data.clone()),
        };
        client.send(&request(
            "PUT",
            "/once/large",
            &id,
            &format!("{header}Expect: 100-continue\r\n"),
            "",
        ));
        assert_eq!(client.receive("PUT").expect("interim").status, 100);
        client.send(body.as_bytes());
        assert_eq!(client.receive("PUT").expect("final").status, 200, "{framing} {size}");
        assert_eq!(system.endpoints.received(&id)[0].body, data.as_bytes(), "{framing} {size}");
    }
    // Large and chunked responses are relayed completely.
    for kind in [Behaviour::LargeBody(3_000_000), Behaviour::ChunkedBody] {
        system.endpoints.set_behaviours(&[kind]);
        let (_, got) = send_request(&system, "GET", "/pack/it");
        let size = if kind == Behaviour::ChunkedBody { 8 } else { 3_000_000 };
        assert_eq!((got.status, got.body.len(), got.complete), (200, size, true), "{kind:?}");
    }
}

#[test]
fn invalid_requests_are_refused_and_not_forwarded() {
    let system = start_system(1);
    let long_header = format!("X: {}\r\n", "y".repeat(3_000));
    let cases: [(&str, Vec<u8>, Option<u16>); 9] = [
        ("not HTTP", b"hello\r\n\r\n".to_vec(), Some(400)),
        (
            "two content lengths",
            request("POST", "/once/", "b", "Content-Length: 1\r\nContent-Length: 2\r\n", "a"),
            Some(400),
        ),
        (
            "a content length and chunks",
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
            "invalid chunk size",
            request("POST", "/once/", "b", "Transfer-Encoding: chunked\r\n", "zz\r\n"),
            Some(400),
        ),
        ("large head", request("GET", "/many/", "b", &long_header, ""), Some(431)),
        ("large body", request("POST", "/once/", "b", "Content-Length: 400001\r\n", ""), Some(413)),
        (
            "large chunked body",
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
        ("no request", Vec::new(), None),
    ];
    for (what, bytes, status) in cases {
        let mut client = Client::open(&system);
        client.send(&bytes);
        let got = client.receive("POST");
        assert_eq!(got.as_ref().map(|r| r.status), status, "{what}");
        assert!(got.is_none_or(|r| r.head.contains("Connection: close")), "{what}");
        assert!(client.is_closed(), "{what}");
    }
    assert!(
        system.endpoints.received("b").iter().all(|request| request.body.len() > 200_000),
        "forwarded only if complete"
    );
    let mut client = Client::open(&system);
    client.send(&request("GET", "/nowhere/", "n", "", ""));
    assert_eq!(client.receive("GET").expect("a response").status, 404);
    client.send(&request("GET", "/many/", "n", "", ""));
    assert_eq!(client.receive("GET").expect("on the same connection").status, 200);
}

/// Guards against the ejection of an endpoint because of what a client sent.
#[test]
fn a_streamed_body_that_is_refused_is_no_fault_of_the_endpoint() {
    let system = start_system(1);
    let large = format!("{:x}\r\n{}", 500_000, "a".repeat(500_000));
    let malformed = format!("{:x}\r\n{}\r\nzz\r\n", 300_000, "a".repeat(300_000));
    for (what, body, status) in [("too large", large, 413), ("malformed", malformed, 400)] {
        let mut client = Client::open(&system);
        client.send(&request("POST", "/once/", "b", "Transfer-Encoding: chunked\r\n", &body));
        assert_eq!(client.receive("POST").expect(what).status, status, "{what}");
        let (_, status) = http(system.readiness, "GET", "/status", &[], "").expect("status");
        let status: serde_json::Value = serde_json::from_str(&status).expect("json");
        assert_eq!(status["databases"][0]["left_out"], false, "{what}: {status}");
    }
}

#[test]
#[expect(clippy::too_many_lines, reason = "one scenario, told in order")]
fn endpoint_faults_are_retried_only_where_allowed() {
    use Behaviour::*;
    let system = start_system(8);
    // (the behaviours of the endpoints in turn, then the expected status and number of attempts on
    // an idempotent route, and the same on a non-idempotent route)
    let cases: [(&[Behaviour], u16, usize, u16, usize); 9] = [
        (&[Serve], 200, 1, 200, 1),
        (&[Overloaded, Serve], 200, 2, 200, 2),
        (&[Misdirected, Serve], 200, 2, 200, 2),
        (&[Overloaded, Overloaded], 503, 2, 503, 2),
        (&[ErrorResponse, Serve], 200, 2, 500, 1),
        (&[CloseWithoutResponse, Serve], 200, 2, 502, 1),
        (&[TruncateBody, Serve], 200, 2, 502, 1),
        (&[Unsigned, Serve], 200, 2, 502, 1),
        (&[MalformedHead, Serve], 200, 2, 502, 1),
    ];
    for (behaviours, many, many_attempts, once, once_attempts) in cases {
        for (path, status, attempts) in
            [("/many/x", many, many_attempts), ("/once/x", once, once_attempts)]
        {
            system.endpoints.set_behaviours(behaviours);
            // A heartbeat ends the ejections that earlier faults caused, which would decide where
            // this request goes.
            eventually("the ejections are reset", || {
                system.endpoints.send_heartbeats(system.admin, 2)
            });
            let (id, response) = send_request(&system, "GET", path);
            system.endpoints.set_behaviours(&[]);
            let received = system.endpoints.received(&id);
            assert_eq!(
                (response.status, received.len()),
                (status, attempts),
                "{behaviours:?} {path}"
            );
            // After a close on a reused connection, the same endpoint may get the request again on a
            // new connection.
            let may_resend = behaviours[0] == CloseWithoutResponse;
            let mut endpoints: Vec<_> = received
                .iter()
                .map(|request| (request.endpoint, if may_resend { request.connection } else { 0 }))
                .collect();
            endpoints.dedup();
            assert_eq!(
                endpoints.len(),
                attempts,
                "each to another endpoint: {behaviours:?} {path}"
            );
            if status == 200 {
                assert_eq!(response.body, b"the rows", "{behaviours:?} {path}");
            }
        }
    }
    // A request whose body is too large to be buffered is never retried with only part of its body.
    for framing in ["length", "chunked"] {
        eventually("the ejections are reset", || system.endpoints.send_heartbeats(system.admin, 3));
        system.endpoints.set_behaviours(&[CloseWithoutResponse, Serve]);
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
        assert_eq!(client.receive("PUT").expect("a response").status, 502, "{framing}");
        system.endpoints.set_behaviours(&[]);
        let received = system.endpoints.received(&id);
        assert!(
            received.len() == 1 && received[0].body == data.as_bytes(),
            "{framing}: {}",
            received.len()
        );
    }
    // A surplus response on a reused connection is not relayed to a later request.
    for behaviours in [&[DuplicateResponse][..], &[WrongRequestId, Serve]] {
        system.endpoints.set_behaviours(behaviours);
        for _ in 0..20 {
            let (id, response) = send_request(&system, "GET", "/many/x");
            assert_eq!(
                (response.status, response.body.as_slice()),
                (200, b"the rows".as_slice()),
                "{behaviours:?}"
            );
            assert!(response.head.contains(&format!("Request-Id: {id}")), "{behaviours:?}");
        }
    }
    // An endpoint that never responds: the idempotent request is hedged, the other one times out.
    system.endpoints.set_behaviours(&[Hang, Serve]);
    let start = Instant::now();
    assert_eq!(send_request(&system, "GET", "/many/x").1.status, 200);
    assert!(start.elapsed() < Duration::from_millis(1_200));
    system.endpoints.set_behaviours(&[Hang]);
    let (id, response) = send_request(&system, "GET", "/once/x");
    assert_eq!((response.status, system.endpoints.received(&id).len()), (504, 1));
}

#[test]
fn requests_are_served_during_draining_a_controller_outage_and_a_new_configuration() {
    let mut system = start_system(2);
    let draining = system.endpoints.heartbeat(0, 10, "draining");
    let path = format!("/instances/{}", system.endpoints.id(0));
    assert_eq!(http(system.admin, "PUT", &path, &[], &draining).expect("a heartbeat").0, 200);
    std::thread::sleep(Duration::from_millis(300));
    for _ in 0..20 {
        let (id, response) = send_request(&system, "GET", "/many/x");
        assert_eq!((response.status, system.endpoints.received(&id)[0].endpoint), (200, 1));
    }
    // Without the controller, the gateway serves with what it received before. The controller comes
    // back with the state on its disk.
    system.controller = None;
    std::thread::sleep(Duration::from_millis(2_500));
    assert_eq!(send_request(&system, "POST", "/once/x").1.status, 200);
    system.controller = Some(start_process("controller", &system.folder.join("node.toml")));
    eventually("the second configuration is accepted", || {
        put_configuration(system.admin, "1", &configuration(2, "none"))
    });
    eventually("the routes lead to the service without endpoints", || {
        let (id, response) = send_request(&system, "GET", "/many/x");
        response.status == 503
            && response.head.contains("Retry-After: ")
            && system.endpoints.received(&id).is_empty()
    });
}

#[test]
fn idle_clients_occupy_no_thread_and_are_served_again() {
    let system = start_system(2);
    let mut clients: Vec<Client> = Vec::new();
    for round in 0..2 {
        for index in 0..150 {
            if round == 0 {
                clients.push(Client::open(&system));
            }
            let client = &mut clients[index];
            // Slow enough for the threads of earlier clients to become free.
            std::thread::sleep(Duration::from_millis(2));
            client.send(&request("GET", "/many/x", &fresh_id(), "", ""));
            assert_eq!(client.receive("GET").expect("a response").status, 200, "round {round}");
        }
        eventually("all clients are idle", || {
            let (_, body) = http(system.readiness, "GET", "/status", &[], "").expect("status");
            serde_json::from_str::<serde_json::Value>(&body).expect("json")["resting"] == 150
        });
        let status = format!("/proc/{}/status", system.gateway.0.id());
        let status = std::fs::read_to_string(status).expect("status");
        let threads =
            status.lines().find_map(|line| line.strip_prefix("Threads:")).expect("threads");
        assert!(threads.trim().parse::<u32>().expect("a number") < 40, "{threads}");
    }
}

#[test]
fn an_idle_client_connection_is_closed_at_the_idle_timeout_and_not_before() {
    let system = start_system(1);
    let mut unused = Client::open(&system);
    let mut client = Client::open(&system);
    // Idle for four fifths of the timeout twice: after a response, and after a response to a request
    // that ended an idle time.
    for pause_ms in [0, 2_400, 2_400] {
        std::thread::sleep(Duration::from_millis(pause_ms));
        client.send(&request("GET", "/many/x", &fresh_id(), "", ""));
        let response =
            client.receive("GET").unwrap_or_else(|| panic!("closed after {pause_ms} ms"));
        assert_eq!(response.status, 200);
    }
    let idle_since = std::time::Instant::now();
    assert!(client.is_closed(), "no further byte is sent");
    // A client that never sent a request was closed before; otherwise this read takes 10 s.
    assert!(unused.is_closed(), "no byte is sent");
    let idle_ms = idle_since.elapsed().as_millis();
    assert!((2_900..6_000).contains(&idle_ms), "closed after {idle_ms} ms");
}

#[test]
fn draining_serves_requests_and_closes_idle_connections() {
    let mut system = start_system(2);
    let mut idle_client = Client::open(&system);
    idle_client.send(&request("GET", "/many/x", &fresh_id(), "", ""));
    assert!(idle_client.receive("GET").expect("a response").head.contains("Keep-Alive: timeout=1"));
    let pid = rustix::process::Pid::from_child(&system.gateway.0);
    rustix::process::kill_process(pid, rustix::process::Signal::TERM).expect("signal");
    eventually("the gateway is not ready", || {
        !http(system.readiness, "GET", "/readiness", &[], "").is_ok_and(|(status, _)| status == 200)
    });
    // New clients are served until the platform has noticed; each is told that the connection is
    // closed.
    let (_, response) = send_request(&system, "GET", "/many/x");
    assert!(response.status == 200 && response.head.contains("Connection: close"));
    let exit_status = system.gateway.0.wait().expect("the exit of the gateway");
    assert!(exit_status.success());
    assert!(idle_client.is_closed(), "an idle connection is closed");
}
