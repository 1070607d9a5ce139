//! The two programs as processes, against the stand-in databases: bad input on every side, and
//! what the reroute design does to real connections.
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
    let folder = std::env::temp_dir().join(format!("silvertack-whole-{}", ports[0]));
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
    let at = |port: u16| SocketAddr::from(([127, 0, 0, 1], port));
    let controller = run("controller", &file);
    let system = System {
        admin: at(ports[1]),
        frontend: at(ports[2]),
        peer: at(ports[0]),
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
    http(system.admin, "PUT", "/configuration", &[("If-Match", base)], body).expect("answer").0
}

struct Client {
    reader: BufReader<TcpStream>,
}
impl Client {
    fn open(system: &System, database: &str) -> Self {
        let stream = TcpStream::connect(system.frontend).expect("frontend");
        stream.set_read_timeout(Some(Duration::from_secs(10))).expect("timeout");
        let mut this = Self { reader: BufReader::new(stream) };
        this.send(&format!("CONNECT {database} me\r\n"));
        this
    }
    fn ready(system: &System, database: &str) -> Self {
        let mut this = Self::open(system, database);
        assert_eq!(this.line(), "READY I -");
        this
    }
    fn send(&mut self, text: &str) {
        self.reader.get_mut().write_all(text.as_bytes()).expect("sent");
    }
    fn line(&mut self) -> String {
        let mut line = String::new();
        // A connection that was reset reads as one that ended.
        let _ = self.reader.read_line(&mut line);
        line.trim_end().to_owned()
    }
    /// The lines of an answer up to READY, without positions and texts: what is decided.
    fn ask(&mut self, id: &str, text: &str) -> String {
        self.send(&format!("QUERY {id} {text}\r\n"));
        self.answer()
    }
    fn answer(&mut self) -> String {
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
fn the_whole_path_and_all_kinds_of_bad_input() {
    let mut system = start();
    let folder = system.folder.clone();
    bad_configurations(&system);
    bad_http(&system);
    bad_frames(&system);
    // The pooler listens once it is ready.
    eventually("the frontend", || TcpStream::connect(system.frontend).is_ok());
    bad_lines(&system);
    reroute(&system);
    status_and_commands(&system);
    assert!(system.databases.most_open.load(Ordering::SeqCst) <= 3 * 16, "never over the total");
    without_a_leader(&mut system, &folder);
    // SIGTERM ends the pooler in order, within its grace.
    let pid = system.pooler.0.id().to_string();
    assert!(Command::new("kill").args(["-TERM", &pid]).status().expect("kill").success());
    let start = Instant::now();
    let status = system.pooler.0.wait().expect("ended");
    assert!(status.success() && start.elapsed() < Duration::from_secs(4), "{status}");
}

fn bad_configurations(system: &System) {
    let good = configuration(5).to_string();
    let change = |edit: fn(&mut serde_json::Value)| {
        let mut config = configuration(5);
        edit(&mut config);
        config.to_string()
    };
    let table = [
        ("cut short", "0", good[..good.len() / 2].to_owned(), 400),
        ("no base", "x", good.clone(), 400),
        (
            "unknown service",
            "0",
            change(|c| c["route_rules"][0]["target_service"] = "no".into()),
            400,
        ),
        ("same place", "0", change(|c| c["route_rules"][1]["hostname"] = "strict".into()), 400),
        ("no time-out", "0", change(|c| c["route_rules"][0]["timeout_ms"] = 0.into()), 400),
        ("wrong type", "0", change(|c| c["route_rules"][0]["timeout_ms"] = "soon".into()), 400),
        (
            "unknown route type",
            "0",
            change(|c| c["route_rules"][0]["route_type"] = "any".into()),
            400,
        ),
        ("revision 0", "0", change(|c| c["revision"] = 0.into()), 400),
        ("oversized", "0", format!("{good}{}", " ".repeat(1 << 20)), 413),
        ("wrong base", "3", good.clone(), 412),
    ];
    for (what, base, body, status) in &table {
        assert_eq!(put(system, base, body), *status, "{what}");
    }
    let read = || http(system.admin, "GET", "/configuration", &[], "").expect("answer");
    assert_eq!(read().0, 404, "nothing was taken");
    assert_eq!(put(system, "0", &good), 200);
    assert_eq!(put(system, "0", &good), 200, "the very same again");
    assert_eq!(read(), (200, good.clone()), "byte for byte");
    assert_eq!(
        put(system, "5", &configuration(5).to_string().replace("2000", "1999")),
        400,
        "not above"
    );
    assert_eq!(put(system, "0", &configuration(6).to_string()), 412);
    assert_eq!(read(), (200, good));
}

fn bad_http(system: &System) {
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
        let (got, answer) = http(system.admin, method, path, &[], body).expect("answer");
        assert_eq!(got, status, "{method} {path}");
        assert!(status < 400 || answer.contains("message"), "{answer}");
    }
    // A late heartbeat changes nothing.
    let heartbeat = |sequence, state: &str| {
        let body = system
            .databases
            .heartbeat(1, sequence)
            .replace("available", state)
            .replace("ledger", "other");
        http(system.admin, "PUT", "/instances/i-late", &[], &body).expect("answer").0
    };
    assert_eq!(
        (heartbeat(9, "draining"), heartbeat(8, "available"), heartbeat(9, "available")),
        (200, 200, 200)
    );
    let status = http(system.admin, "GET", "/status", &[], "").expect("answer").1;
    let status: serde_json::Value = serde_json::from_str(&status).expect("JSON");
    let late = status["databases"].as_array().expect("list").iter().find(|d| d["id"] == "i-late");
    assert_eq!(late.expect("listed")["database"]["lifecycle_state"], "draining");
}

fn bad_frames(system: &System) {
    for bytes in [&[0xff, 0xff, 0xff, 0xff, 1, 2][..], &[0, 0, 0, 3, 0xc1, 0xc1, 0xc1][..]] {
        let mut stream = TcpStream::connect(system.peer).expect("peer");
        stream.set_read_timeout(Some(Duration::from_secs(5))).expect("timeout");
        stream.write_all(bytes).expect("sent");
        let mut rest = Vec::new();
        assert_eq!(stream.read_to_end(&mut rest).unwrap_or(0), 0, "closed without a word");
    }
}

fn bad_lines(system: &System) {
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
        assert_eq!(client.answer(), "MALFORMED I", "{line:?}");
    }
    // A bare LF ends no statement: the two halves are two lines that can't be read.
    client.send("QUERY q FETCH a\nSTORE a 1\r\n");
    assert_eq!((client.answer(), client.answer()), ("MALFORMED I".into(), "MALFORMED I".into()));
    assert_eq!(client.ask("q", "EXECUTE nobody a"), "NOTFOUND I");
    assert!(system.databases.clients_ran().is_empty(), "none of it reached a database");
    client.send(&format!("QUERY q STORE a {}\r\n", "x".repeat(1 << 20)));
    assert_eq!(client.answer(), "TOOLARGE end");
}

fn reroute(system: &System) {
    let databases = &system.databases;
    let mut client = Client::ready(system, "strict");
    for (text, answer) in [
        ("CONFIGURE tenant t1", "done I"),
        ("PREPARE put STORE q", "done I"),
        ("PREPARE get FETCH q", "done I"),
        ("EXECUTE put a one", "stamped I"),
        ("EXECUTE get a", "one stamped I"),
        ("BEGIN", "done T"),
        ("EXECUTE get a", "one stamped T"),
        ("COMMIT", "stamped I"),
    ] {
        assert_eq!(client.ask("n1", text), answer, "{text}");
    }
    let lose = || databases.faults.break_next.store(true, Ordering::SeqCst);
    // A read is run again, and the session's names are there on the next connection.
    lose();
    assert_eq!(client.ask("n2", "EXECUTE get a"), "one stamped I");
    assert_eq!(databases.clients_ran().iter().filter(|(id, _)| id == "n2").count(), 2);
    // A garbled answer is a loss like any other and never reaches the client.
    databases.faults.garble_next.store(true, Ordering::SeqCst);
    assert_eq!(client.ask("n3", "EXECUTE get a"), "one stamped I");
    // A write whose answer is lost has run once, and its outcome is not known.
    lose();
    assert_eq!(client.ask("n4", "EXECUTE put a two"), "UNKNOWN I");
    assert_eq!(databases.clients_ran().iter().filter(|(id, _)| id == "n4").count(), 1);
    assert_eq!(client.ask("n5", "EXECUTE get a"), "two stamped I");
    // The first statement of a transaction moves silently, a later one does not.
    assert_eq!(client.ask("n6", "BEGIN"), "done T");
    lose();
    assert_eq!(client.ask("n6", "EXECUTE put a three"), "stamped T");
    lose();
    assert_eq!(client.ask("n6", "EXECUTE get a"), "ROLLEDBACK I");
    assert_eq!(client.ask("n7", "EXECUTE get a"), "two stamped I", "nothing of it is kept");
    // A commit that was cut off.
    assert_eq!(client.ask("n8", "BEGIN"), "done T");
    assert_eq!(client.ask("n8", "STORE a four"), "stamped T");
    lose();
    assert_eq!(client.ask("n8", "COMMIT"), "UNKNOWN I");
    // Reads that may be a little old go to a replica.
    let mut loose = Client::ready(system, "loose");
    assert_eq!(loose.ask("r1", "FETCH a"), "four stamped I");
    assert_ne!(databases.last_database("r1"), Some(0));
    assert_eq!(loose.ask("w1", "STORE b 1"), "stamped I");
    assert_eq!(databases.last_database("w1"), Some(0));
    // A client that goes in mid-transaction leaves nothing open behind it.
    assert_eq!(client.ask("n9", "BEGIN"), "done T");
    assert_eq!(client.ask("n9", "STORE a five"), "stamped T");
    drop(client);
    let mut again = Client::ready(system, "strict");
    assert_eq!(again.ask("n10", "FETCH a"), "four stamped I");
    // One that is idle for too long in a transaction is closed, with its connection.
    assert_eq!(again.ask("n11", "BEGIN"), "done T");
    assert_eq!(again.ask("n11", "FETCH a"), "four stamped T");
    let start = Instant::now();
    assert_eq!(again.line(), "", "closed");
    assert!(start.elapsed() < Duration::from_secs(5));
}

fn status_and_commands(system: &System) {
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
    let nobody = format!("127.0.0.1:{}", free_port());
    let (code, _, errors) = run(&["status", &nobody]);
    assert!(code == Some(1) && errors.lines().count() == 1, "{errors}");
    // The databases' port speaks another language.
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

/// With no leader nothing is confirmed, and idle sessions are closed to go elsewhere; the
/// controller comes back with all that it had.
fn without_a_leader(system: &mut System, folder: &std::path::Path) {
    let mut idle = Client::ready(system, "strict");
    assert_eq!(idle.ask("w1", "STORE kept yes"), "stamped I");
    let (_, before) = http(system.admin, "GET", "/configuration", &[], "").expect("answer");
    system.controller = None;
    let start = Instant::now();
    assert_eq!(idle.line(), "", "closed, not held");
    assert!(start.elapsed() > Duration::from_millis(1_000), "not for a moment without a leader");
    let mut new = Client::open(system, "strict");
    assert_eq!(new.line(), "", "rejected at once");
    system.controller = Some(run("controller", &folder.join("node.toml")));
    eventually("the configuration again", || {
        http(system.admin, "GET", "/configuration", &[], "").is_ok_and(|(_, body)| body == before)
    });
    eventually("sessions again", || {
        let mut back = Client::open(system, "strict");
        back.line() == "READY I -" && back.ask("r1", "FETCH kept").ends_with("stamped I")
    });
}
