//! End-to-end test of a controller and a pooler as processes, with stand-in databases: invalid
//! input on all interfaces, the reroute rules on real connections, and the loss of the leader.
mod support;

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};
use support::{StandIn, free_port, http};

const BINARY: &str = env!("CARGO_BIN_EXE_silvertack");

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
    peer: SocketAddr,
    databases: Arc<StandIn>,
    pooler: Process,
    controller: Option<Process>,
}
impl Drop for System {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

fn configuration(revision: u64) -> serde_json::Value {
    let route = |name: &str, kind: &str| {
        serde_json::json!({
            "name": name, "hostname": name, "path_prefix": "/", "route_type": kind,
            "timeout_ms": 2000, "target_latency_ms": 250, "priority": 1, "target_service": "ledger",
            "max_attempts": 2, "stale_ms": 1500,
        })
    };
    serde_json::json!({
        "revision": revision,
        "route_rules": [route("strict", "primary"), route("loose", "bounded")],
        "services": [{ "name": "ledger", "health_check_path": "/health", "max_connections": 16, "sync_replicas": 1 }],
        "limits": { "txn_idle_ms": 3000 },
    })
}

fn eventually(what: &str, mut check: impl FnMut() -> bool) {
    let start = Instant::now();
    while !check() {
        assert!(start.elapsed() < Duration::from_secs(20), "never: {what}");
        std::thread::sleep(Duration::from_millis(20));
    }
}

fn run(role: &str, settings: &std::path::Path) -> Process {
    let child =
        Command::new(BINARY).args([role, "--settings"]).arg(settings).stderr(Stdio::null()).spawn();
    Process(child.expect(role))
}

fn start() -> System {
    let databases = StandIn::start("ledger", 3).expect("databases");
    let ports: Vec<u16> = (0..4).map(|_| free_port()).collect();
    let folder = std::env::temp_dir().join(format!("silvertack-pooler-{}", ports[0]));
    std::fs::create_dir_all(&folder).expect("folder");
    let settings = format!(
        "node_name = \"one\"\nip_address = \"127.0.0.1\"\nzone = \"here\"\nport_range = [{p}, {p}]\n\
         seed_nodes = [\"127.0.0.1:{admin}\"]\nbootstrap = true\ndata_path = \"{data}\"\n\
         heartbeat_ms = 1000\nunknown_field = 7\n\
         [listeners]\nfrontend = \"127.0.0.1:{front}\"\nreadiness = \"127.0.0.1:{ready}\"\n\
         admin = \"127.0.0.1:{admin}\"\n[timing_bounds]\ngrace_s = 3\n\
         [provider]\naddress = \"{platform}\"\n",
        p = ports[0],
        admin = ports[1],
        front = ports[2],
        ready = ports[3],
        data = folder.join("data").display(),
        platform = databases.platform,
    );
    let file = folder.join("node.toml");
    std::fs::write(&file, settings).expect("settings");
    let address = |port: u16| SocketAddr::from(([127, 0, 0, 1], port));
    let controller = run("controller", &file);
    let system = System {
        admin: address(ports[1]),
        frontend: address(ports[2]),
        peer: address(ports[0]),
        pooler: run("pooler", &file),
        controller: Some(controller),
        folder,
        databases,
    };
    eventually("a leader", || {
        http(system.admin, "GET", "/configuration", &[], "").is_ok_and(|(status, _)| status == 404)
    });
    system.databases.start_heartbeats(system.admin, Duration::from_millis(200));
    system
}

fn put(system: &System, base: &str, body: &str) -> u16 {
    http(system.admin, "PUT", "/configuration", &[("If-Match", base)], body).expect("a response").0
}

struct Client {
    reader: BufReader<TcpStream>,
}
impl Client {
    fn open(system: &System, database: &str) -> Self {
        let stream = TcpStream::connect(system.frontend).expect("frontend");
        stream.set_read_timeout(Some(Duration::from_secs(10))).expect("timeout");
        let mut client = Self { reader: BufReader::new(stream) };
        client.send(&format!("CONNECT {database} me\r\n"));
        client
    }
    fn ready(system: &System, database: &str) -> Self {
        let mut client = Self::open(system, database);
        assert_eq!(client.line(), "READY I -");
        client
    }
    fn send(&mut self, text: &str) {
        self.reader.get_mut().write_all(text.as_bytes()).expect("sent");
    }
    fn line(&mut self) -> String {
        let mut line = String::new();
        // A reset connection is treated like a closed one.
        let _ = self.reader.read_line(&mut line);
        line.trim_end().to_owned()
    }
    /// Sends a statement and returns a summary of its reply: rows, outcome and transaction state,
    /// without positions and error texts.
    fn ask(&mut self, id: &str, text: &str) -> String {
        self.send(&format!("QUERY {id} {text}\r\n"));
        self.receive()
    }
    /// Receives a reply and summarizes it, see `ask`.
    fn receive(&mut self) -> String {
        let mut seen = Vec::new();
        loop {
            let line = self.line();
            let words: Vec<&str> = line.split(' ').collect();
            match words[0] {
                "READY" => {
                    seen.push(words[1].to_owned());
                    return seen.join(" ");
                }
                "COMPLETE" if words[1] == "-" => seen.push("done".to_owned()),
                "COMPLETE" => seen.push("stamped".to_owned()),
                "" => return format!("{} end", seen.join(" ")).trim().to_owned(),
                _ => seen.push(words[1].to_owned()),
            }
        }
    }
}

#[test]
fn a_controller_and_a_pooler_handle_invalid_input_and_connection_and_leader_losses() {
    let mut system = start();
    let folder = system.folder.clone();
    invalid_configurations_are_rejected(&system);
    invalid_admin_requests_are_rejected(&system);
    invalid_peer_frames_are_rejected(&system);
    // The pooler starts to listen once it is ready.
    eventually("the frontend", || TcpStream::connect(system.frontend).is_ok());
    invalid_client_lines_are_rejected(&system);
    connection_losses_are_retried_or_reported(&system);
    commands_have_their_exit_codes(&system);
    assert!(
        system.databases.max_open_connections.load(Ordering::SeqCst) <= 3 * 16,
        "connection limits exceeded"
    );
    sessions_end_when_the_leader_is_lost(&mut system, &folder);
    // After SIGTERM the pooler shuts down within its grace period.
    let pid = system.pooler.0.id().to_string();
    assert!(Command::new("kill").args(["-TERM", &pid]).status().expect("kill").success());
    let start = Instant::now();
    let status = system.pooler.0.wait().expect("ended");
    assert!(status.success() && start.elapsed() < Duration::from_secs(4), "{status}");
}

fn invalid_configurations_are_rejected(system: &System) {
    let good = configuration(5).to_string();
    let change = |edit: fn(&mut serde_json::Value)| {
        let mut config = configuration(5);
        edit(&mut config);
        config.to_string()
    };
    let table = [
        ("truncated", "0", good[..good.len() / 2].to_owned(), 400),
        ("invalid base revision", "x", good.clone(), 400),
        (
            "unknown service",
            "0",
            change(|c| c["route_rules"][0]["target_service"] = "no".into()),
            400,
        ),
        (
            "duplicate route",
            "0",
            change(|c| c["route_rules"][1]["hostname"] = "strict".into()),
            400,
        ),
        ("timeout of 0", "0", change(|c| c["route_rules"][0]["timeout_ms"] = 0.into()), 400),
        ("wrong type", "0", change(|c| c["route_rules"][0]["timeout_ms"] = "soon".into()), 400),
        (
            "unknown route type",
            "0",
            change(|c| c["route_rules"][0]["route_type"] = "any".into()),
            400,
        ),
        ("revision 0", "0", change(|c| c["revision"] = 0.into()), 400),
        ("oversized", "0", format!("{good}{}", " ".repeat(1 << 20)), 413),
        ("wrong base revision", "3", good.clone(), 412),
    ];
    for (what, base, body, status) in &table {
        assert_eq!(put(system, base, body), *status, "{what}");
    }
    let read = || http(system.admin, "GET", "/configuration", &[], "").expect("a response");
    assert_eq!(read().0, 404, "no configuration was accepted");
    assert_eq!(put(system, "0", &good), 200);
    assert_eq!(put(system, "0", &good), 200, "the same configuration again");
    assert_eq!(read(), (200, good.clone()), "stored byte for byte");
    assert_eq!(
        put(system, "5", &configuration(5).to_string().replace("2000", "1999")),
        400,
        "the revision is not higher"
    );
    assert_eq!(put(system, "0", &configuration(6).to_string()), 412);
    assert_eq!(read(), (200, good));
}

fn invalid_admin_requests_are_rejected(system: &System) {
    let heartbeat = system.databases.heartbeat(0, 1_000_000);
    let wrong = heartbeat.replace("available", "asleep");
    let table = [
        ("GET", "/nothing", "", 404),
        ("GET", "/instances/", "", 404),
        ("DELETE", "/configuration", "", 405),
        ("GET", "/instances/i-1", "", 405),
        ("PUT", "/instances/i-1", "{", 400),
        ("PUT", "/instances/i-1", wrong.as_str(), 400),
        ("DELETE", "/instances/i-nobody", "", 200),
        ("GET", "/status", "", 200),
    ];
    for (method, path, body, status) in table {
        let (got, response) = http(system.admin, method, path, &[], body).expect("a response");
        assert_eq!(got, status, "{method} {path}");
        assert!(status < 400 || response.contains("message"), "{response}");
    }
    // A heartbeat with an older sequence number is ignored.
    let heartbeat = |sequence, state: &str| {
        let body = system
            .databases
            .heartbeat(1, sequence)
            .replace("available", state)
            .replace("ledger", "other");
        http(system.admin, "PUT", "/instances/i-late", &[], &body).expect("a response").0
    };
    assert_eq!(
        (heartbeat(9, "draining"), heartbeat(8, "available"), heartbeat(9, "available")),
        (200, 200, 200)
    );
    let status = http(system.admin, "GET", "/status", &[], "").expect("a response").1;
    let status: serde_json::Value = serde_json::from_str(&status).expect("JSON");
    let late = status["databases"].as_array().expect("list").iter().find(|d| d["id"] == "i-late");
    assert_eq!(late.expect("listed")["database"]["lifecycle_state"], "draining");
}

fn invalid_peer_frames_are_rejected(system: &System) {
    for bytes in [&[0xff, 0xff, 0xff, 0xff, 1, 2][..], &[0, 0, 0, 3, 0xc1, 0xc1, 0xc1][..]] {
        let mut stream = TcpStream::connect(system.peer).expect("peer");
        stream.set_read_timeout(Some(Duration::from_secs(5))).expect("timeout");
        stream.write_all(bytes).expect("sent");
        let mut rest = Vec::new();
        assert_eq!(stream.read_to_end(&mut rest).unwrap_or(0), 0, "closed without a reply");
    }
}

fn invalid_client_lines_are_rejected(system: &System) {
    let mut unknown = Client::open(system, "nowhere");
    assert_eq!(unknown.line(), "ERROR NODATABASE no such database");
    assert_eq!(unknown.line(), "", "and closed");
    let mut client = Client::ready(system, "strict");
    let table = [
        "QUERY - FETCH a",
        "QUERY q WAITFOR 1.1 FETCH a",
        "QUERY q PAUSE 9",
        "QUERY q STEPDOWN 9",
        "QUERY q DESCRIBE",
        "QUERY q DISCARD",
        "QUERY q FETCH",
        "QUERY q  FETCH a",
        "QUERY q STORE a",
        "QUERY q BEGIN STORE",
        "QUERY q FETCH a\rQUERY r STORE a 1",
        "QUERY q FETCH a\0b",
        "CONNECT strict me",
        "",
    ];
    for line in table {
        client.send(&format!("{line}\r\n"));
        assert_eq!(client.receive(), "MALFORMED I", "{line:?}");
    }
    // A bare LF does not end a statement: both parts are rejected as malformed lines.
    client.send("QUERY q FETCH a\nSTORE a 1\r\n");
    assert_eq!((client.receive(), client.receive()), ("MALFORMED I".into(), "MALFORMED I".into()));
    assert_eq!(client.ask("q", "EXECUTE nobody a"), "NOTFOUND I");
    assert!(
        system.databases.client_statements().is_empty(),
        "a rejected statement reached a database"
    );
    client.send(&format!("QUERY q STORE a {}\r\n", "x".repeat(1 << 20)));
    assert_eq!(client.receive(), "TOOLARGE end");
}

fn connection_losses_are_retried_or_reported(system: &System) {
    let databases = &system.databases;
    let mut client = Client::ready(system, "strict");
    for (text, expected) in [
        ("CONFIGURE tenant t1", "done I"),
        ("PREPARE put STORE q", "done I"),
        ("PREPARE get FETCH q", "done I"),
        ("EXECUTE put a one", "stamped I"),
        ("EXECUTE get a", "one stamped I"),
        ("BEGIN", "done T"),
        ("EXECUTE get a", "one stamped T"),
        ("COMMIT", "stamped I"),
    ] {
        assert_eq!(client.ask("n1", text), expected, "{text}");
    }
    let lose_next_reply = || databases.faults.disconnect_next.store(true, Ordering::SeqCst);
    // A read is retried, and the prepared statements are replayed on the next connection.
    lose_next_reply();
    assert_eq!(client.ask("n2", "EXECUTE get a"), "one stamped I");
    assert_eq!(databases.client_statements().iter().filter(|(id, _)| id == "n2").count(), 2);
    // A malformed reply is handled like a lost connection and never forwarded to the client.
    databases.faults.malformed_reply_next.store(true, Ordering::SeqCst);
    assert_eq!(client.ask("n3", "EXECUTE get a"), "one stamped I");
    // A write whose reply is lost is not retried, and its outcome is unknown.
    lose_next_reply();
    assert_eq!(client.ask("n4", "EXECUTE put a two"), "UNKNOWN I");
    assert_eq!(databases.client_statements().iter().filter(|(id, _)| id == "n4").count(), 1);
    assert_eq!(client.ask("n5", "EXECUTE get a"), "two stamped I");
    // The first statement of a transaction is retried transparently, a later one is not.
    assert_eq!(client.ask("n6", "BEGIN"), "done T");
    lose_next_reply();
    assert_eq!(client.ask("n6", "EXECUTE put a three"), "stamped T");
    lose_next_reply();
    assert_eq!(client.ask("n6", "EXECUTE get a"), "ROLLEDBACK I");
    assert_eq!(
        client.ask("n7", "EXECUTE get a"),
        "two stamped I",
        "the transaction was rolled back"
    );
    // The outcome of a commit whose reply is lost is unknown.
    assert_eq!(client.ask("n8", "BEGIN"), "done T");
    assert_eq!(client.ask("n8", "STORE a four"), "stamped T");
    lose_next_reply();
    assert_eq!(client.ask("n8", "COMMIT"), "UNKNOWN I");
    // Reads with a staleness limit go to a replica.
    let mut loose = Client::ready(system, "loose");
    assert_eq!(loose.ask("r1", "FETCH a"), "four stamped I");
    assert_ne!(databases.last_database("r1"), Some(0));
    assert_eq!(loose.ask("w1", "STORE b 1"), "stamped I");
    assert_eq!(databases.last_database("w1"), Some(0));
    // The transaction of a client that disconnects is rolled back.
    assert_eq!(client.ask("n9", "BEGIN"), "done T");
    assert_eq!(client.ask("n9", "STORE a five"), "stamped T");
    drop(client);
    let mut next = Client::ready(system, "strict");
    assert_eq!(next.ask("n10", "FETCH a"), "four stamped I");
    // A session with a transaction that is idle for too long is closed.
    assert_eq!(next.ask("n11", "BEGIN"), "done T");
    assert_eq!(next.ask("n11", "FETCH a"), "four stamped T");
    let start = Instant::now();
    assert_eq!(next.line(), "", "closed");
    assert!(start.elapsed() < Duration::from_secs(5));
}

fn commands_have_their_exit_codes(system: &System) {
    let run = |words: &[&str]| {
        let output = Command::new(BINARY).args(words).output().expect("run");
        let text = String::from_utf8_lossy(&output.stdout).into_owned();
        (output.status.code(), text, String::from_utf8_lossy(&output.stderr).into_owned())
    };
    let admin = system.admin.to_string();
    let (code, text, _) = run(&["status", &admin, "--leader"]);
    assert!(code == Some(0) && text.contains("\"leader\""), "{text}");
    assert_eq!(run(&["configuration", "get", &admin]).0, Some(0));
    assert_eq!(run(&["frobnicate"]).0, Some(2), "unknown command");
    assert_eq!(run(&["status"]).0, Some(2), "missing argument");
    let unused_address = format!("127.0.0.1:{}", free_port());
    let (code, _, errors) = run(&["status", &unused_address]);
    assert!(code == Some(1) && errors.lines().count() == 1, "{errors}");
    // A database's port, which uses another protocol.
    let (code, _, errors) = run(&["status", &system.databases.addresses[0].to_string()]);
    assert!(code == Some(1) && errors.lines().count() == 1, "{errors}");
    let (code, _, errors) = run(&["pooler", "--settings", "/nowhere.toml"]);
    assert!(code == Some(2) && errors.lines().count() == 1, "{errors}");
    let bad = system.folder.join("bad.toml");
    let text = std::fs::read_to_string(system.folder.join("node.toml")).expect("settings");
    std::fs::write(&bad, text.replace("heartbeat_ms = 1000", "heartbeat_ms = 0")).expect("written");
    let (code, _, errors) = run(&["check", "settings", &bad.display().to_string()]);
    assert!(code == Some(2) && errors.contains("heartbeat_ms"), "{errors}");
}

/// Without a leader idle sessions are closed, so that clients move to another pooler, and new ones
/// are rejected. A restarted controller recovers its configuration.
fn sessions_end_when_the_leader_is_lost(system: &mut System, folder: &std::path::Path) {
    let mut idle = Client::ready(system, "strict");
    assert_eq!(idle.ask("w1", "STORE kept yes"), "stamped I");
    let (_, before) = http(system.admin, "GET", "/configuration", &[], "").expect("a response");
    system.controller = None;
    let start = Instant::now();
    assert_eq!(idle.line(), "", "the idle session was not closed");
    assert!(start.elapsed() > Duration::from_millis(1_000), "closed too soon after the loss");
    let mut new = Client::open(system, "strict");
    assert_eq!(new.line(), "", "the new session was not rejected");
    system.controller = Some(run("controller", &folder.join("node.toml")));
    eventually("the configuration again", || {
        http(system.admin, "GET", "/configuration", &[], "").is_ok_and(|(_, body)| body == before)
    });
    eventually("sessions again", || {
        let mut client = Client::open(system, "strict");
        client.line() == "READY I -" && client.ask("r1", "FETCH kept").ends_with("stamped I")
    });
}
