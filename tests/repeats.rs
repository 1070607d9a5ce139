//! Answers and repeats, by processes against databases that misbehave on purpose: how often each
//! statement or request reached any of them, and whose answer each caller got.
#[path = "support/gateway.rs"]
mod shed;
mod support;

use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};
use support::Mishap::*;
use support::{StandIn, free_port, http};

struct Process(Child);
impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}
/// A steward and one node that serves clients.
struct Site {
    folder: PathBuf,
    admin: SocketAddr,
    frontend: SocketAddr,
    readiness: SocketAddr,
    _steward: Process,
    _node: Process,
}
impl Drop for Site {
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
fn start(role: &str, more: &str, configuration: &str, beat: impl Fn(SocketAddr)) -> Site {
    let at: Vec<SocketAddr> =
        (0..4).map(|_| SocketAddr::from(([127, 0, 0, 1], free_port()))).collect();
    let folder = std::env::temp_dir().join(format!("silvertack-repeats-{}", at[0].port()));
    std::fs::create_dir_all(&folder).expect("folder");
    let settings = format!(
        "node_name = \"one\"\nip_address = \"127.0.0.1\"\nzone = \"here\"\nport_range = [{p}, {p}]\n\
         seed_nodes = [\"{admin}\"]\nbootstrap = true\ndata_path = \"{data}\"\n{more}\n\
         [listeners]\nfrontend = \"{front}\"\nreadiness = \"{ready}\"\nadmin = \"{admin}\"\n\
         [timing_bounds]\ngrace_s = 3\nretry_ratio = 1.0\n",
        p = at[0].port(),
        admin = at[1],
        front = at[2],
        ready = at[3],
        data = folder.join("data").display(),
    );
    let file = folder.join("node.toml");
    std::fs::write(&file, settings).expect("settings");
    let _steward = run("steward", &file);
    let node = run(role, &file);
    let site =
        Site { folder, admin: at[1], frontend: at[2], readiness: at[3], _steward, _node: node };
    eventually("a configuration", || {
        let base = [("If-Match", "0")];
        http(site.admin, "PUT", "/configuration", &base, configuration).is_ok_and(|(s, _)| s == 200)
    });
    beat(site.admin);
    eventually("readiness", || {
        http(site.readiness, "GET", "/readiness", &[], "").is_ok_and(|(s, _)| s == 200)
    });
    site
}
fn fresh_id() -> String {
    static NEXT: AtomicU64 = AtomicU64::new(1);
    format!("q{}", NEXT.fetch_add(1, Ordering::SeqCst))
}

// ---------------------------------------------------------------------------------------------
// The stile

fn start_stile(databases: &Arc<StandIn>) -> Site {
    let route = |name: &str, kind: &str, timeout: u64| {
        serde_json::json!({
            "name": name, "hostname": name, "path_prefix": "/", "route_type": kind, "priority": 1,
            "timeout_ms": timeout, "target_latency_ms": 250, "target_service": "ledger",
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
    let beating = Arc::clone(databases);
    let site = start("stile", &platform, &configuration, move |admin| {
        beating.keep_beating(admin, Duration::from_millis(200));
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
        let mut this = Self(BufReader::new(stream));
        this.line().starts_with("READY I").then_some(this)
    }
    fn line(&mut self) -> String {
        let mut line = String::new();
        // A connection that was reset reads as one that ended.
        let _ = self.0.read_line(&mut line);
        line.trim_end().to_owned()
    }
    fn send(&mut self, id: &str, text: &str) {
        self.0.get_mut().write_all(format!("QUERY {id} {text}\r\n").as_bytes()).expect("sent");
    }
    /// How it ended, with whose stamp, and the row that came.
    fn ask(&mut self, id: &str, text: &str) -> (String, String) {
        self.send(id, text);
        self.answer(id)
    }
    fn answer(&mut self, id: &str) -> (String, String) {
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

/// Opens a session and says what comes before the statement in question. Tried anew where a busy
/// machine got between; `None` if one of them was not answered with success.
fn prepared(site: &Site, route: &str, id: &str, before: &[&str]) -> Option<Session> {
    let mut session = Session::open(site, route)?;
    let fine = |(end, _): (String, String)| end.starts_with("own") || end.starts_with("done");
    before.iter().all(|text| fine(session.ask(id, text))).then_some(session)
}

#[test]
fn no_statement_is_run_twice_that_may_be_kept_and_no_answer_is_anothers() {
    let databases = StandIn::start("ledger", 3).expect("databases");
    let site = start_stile(&databases);
    let all = [Silence, Late(60), ResetBefore, ResetAfter, ResetWithin, Doubled];
    // What goes before, the statement, and for each mishap in turn how it must end.
    let unknown = "UNKNOWN I";
    let cases: [(&[&str], &str, [&str; 6]); 6] = [
        // Nothing is kept and nothing was shown: run again, silently.
        (&[], "FETCH a", ["own I"; 6]),
        (&["BEGIN"], "FETCH a", ["own T"; 6]),
        (&["BEGIN"], "STORE a a", ["own T"; 6]),
        // It may be kept: sent once, and its outcome is open.
        (&[], "STORE a a", [unknown, "own I", unknown, unknown, unknown, unknown]),
        (&["BEGIN", "STORE a a"], "COMMIT", [unknown, "own I", unknown, unknown, unknown, unknown]),
        // Its transaction was shown, and is gone.
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
        let last = !(text == "FETCH a" && before.len() < 2) && before != ["BEGIN"];
        for (mishap, end) in all.into_iter().zip(ends) {
            let what = format!("{before:?} {text} {mishap:?}");
            let (got, row, reached) = (0..20)
                .find_map(|_| {
                    let (early, id) = (fresh_id(), fresh_id());
                    let mut session = prepared(&site, "short", &early, before)?;
                    databases.will(&id, &[mishap]);
                    let (got, row) = session.ask(&id, text);
                    // Not sent at all, as the primary was just doubted.
                    let sent = databases.reached(&id) > 0;
                    sent.then(|| (got, row, databases.reached(&id)))
                })
                .unwrap_or_else(|| panic!("never sent: {what}"));
            assert_eq!(got, end, "{what}");
            assert!(!last || reached == 1, "{what}: reached databases {reached} times");
            assert!(
                !end.starts_with("own") || !text.starts_with("FETCH") || row == "a",
                "{what}: {row}"
            );
        }
    }
}

/// One statement on a session of its own, tried anew where the machine was too busy to serve it.
fn served(site: &Site, route: &str, text: &str) -> (String, (String, String)) {
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
fn what_comes_late_on_a_connection_is_nobodys_answer() {
    let databases = StandIn::start("ledger", 2).expect("databases");
    let site = start_stile(&databases);
    let stored = |thing: &str| {
        let text = format!("STORE {thing} {thing}");
        assert_eq!(served(&site, "strict", &text).1.0, "own I", "{text}");
    };
    stored("b");
    let own = |thing: &str| ("own I".to_owned(), thing.to_owned());
    // A second answer that lies on the resting connection when another session borrows it.
    for route in ["strict", "loose"] {
        for _ in 0..4 {
            let id = fresh_id();
            databases.will(&id, &[DoubledLate(20)]);
            let mut first = Session::open(&site, route).expect("session");
            assert_eq!(first.ask(&id, "FETCH a"), own("a"), "{route}");
            std::thread::sleep(Duration::from_millis(60));
            assert_eq!(served(&site, route, "FETCH b").1, own("b"), "{route}");
        }
    }
    // The same inside a transaction: the client's next statement gets no earlier one's answer.
    let (early, id) = (fresh_id(), fresh_id());
    databases.will(&early, &[Fine, DoubledLate(20)]);
    let mut session =
        prepared(&site, "strict", &early, &["BEGIN", "FETCH a", "FETCH a"]).expect("open");
    std::thread::sleep(Duration::from_millis(60));
    assert_eq!(session.ask(&id, "FETCH b").0, "ROLLEDBACK I");
    assert_eq!(databases.reached(&id), 0, "the connection was used no more");
    // The set-up that goes ahead: an answer too many to it is no answer to the statement behind.
    for (word, before, ends) in [
        ("BEGIN", &["BEGIN"][..], "own T"),
        ("CONFIGURE", &["CONFIGURE tenant x"][..], "own I"),
        ("PREPARE", &["PREPARE p FETCH shape"][..], "own I"),
    ] {
        let text = if word == "PREPARE" { "EXECUTE p b" } else { "FETCH b" };
        for mishap in [Doubled, DoubledLate(30), ResetBefore, ResetWithin] {
            let (early, id) = (fresh_id(), fresh_id());
            let mut session = prepared(&site, "strict", &early, before).expect("open");
            databases.will(word, &[mishap]);
            let got = session.ask(&id, text);
            assert_eq!(got, (ends.to_owned(), "b".to_owned()), "{word} {mishap:?}");
            databases.will(word, &[]);
        }
    }
    // A connection that was reset while it rested: nothing was sent, so a write goes on another.
    for _ in 0..3 {
        let id = fresh_id();
        databases.will(&id, &[ResetThen]);
        let mut first = Session::open(&site, "strict").expect("session");
        assert_eq!(first.ask(&id, "FETCH a"), own("a"));
        std::thread::sleep(Duration::from_millis(120));
        let (id, (end, _)) = served(&site, "strict", "STORE a a");
        assert_eq!((end.as_str(), databases.reached(&id)), ("own I", 1));
    }
    // A client that is gone before its answer came: it goes to nobody else.
    for _ in 0..3 {
        let id = fresh_id();
        databases.will(&id, &[Late(100)]);
        let mut gone = Session::open(&site, "strict").expect("session");
        gone.send(&id, "FETCH a");
        drop(gone);
        let others: Vec<_> = (0..3).map(|_| served(&site, "strict", "FETCH b").1).collect();
        assert_eq!(others, [own("b"), own("b"), own("b")]);
    }
    // Two statements at once on one connection are answered in their order.
    let (one, two) = (fresh_id(), fresh_id());
    databases.will(&one, &[Late(30)]);
    let mut both = Session::open(&site, "strict").expect("session");
    both.send(&one, "FETCH a");
    both.send(&two, "FETCH b");
    assert_eq!((both.answer(&one), both.answer(&two)), (own("a"), own("b")));
}

#[test]
fn in_a_crowd_each_session_hears_its_own_answers() {
    let databases = StandIn::start("ledger", 3).expect("databases");
    let site = start_stile(&databases);
    std::thread::scope(|threads| {
        for place in 0..8 {
            let (site, databases) = (&site, &databases);
            threads.spawn(move || {
                let (mut served, mut writes) = (0, Vec::new());
                let thing = format!("t{place}");
                for round in 0..60 {
                    let route = if round % 3 == 0 { "strict" } else { "loose" };
                    let Some(mut session) = Session::open(site, route) else { continue };
                    // Each is answered in order, or the session ends: see `answer`.
                    for step in 0..4 {
                        let id = fresh_id();
                        match (place + round + step) % 9 {
                            0 => databases.will(&id, &[Doubled]),
                            1 => databases.will(&id, &[ResetWithin]),
                            2 => databases.will(&id, &[Late(15)]),
                            3 => databases.will(&id, &[ResetAfter]),
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
                            // It goes away with a statement under way.
                            session.send(&fresh_id(), &text);
                            break;
                        }
                    }
                }
                assert!(served > 60, "{served} were served");
                for (id, end) in writes {
                    let reached = databases.reached(&id);
                    assert!(reached <= 1, "{id} ended {end}, reached databases {reached} times");
                    assert!(end != "own I" || reached == 1, "{id}: {end}");
                }
            });
        }
    });
}
