//! What operators, the platform and their scripts see: keys of `status`, answers of readiness, exit
//! codes, and the keys of a settings file. What is listed here changes only on purpose.
#[path = "support/gateway.rs"]
mod gateway;
mod support;

use gateway::StandInEndpoints;
use serde_json::Value;
use silvertack::config::configuration::Configuration;
use silvertack::config::settings::{Rollout, Settings};
use std::collections::BTreeSet;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};
use support::{StandIn, free_port, http};

const BINARY: &str = env!("CARGO_BIN_EXE_silvertack");

struct Process(Child);
impl Process {
    fn start(role: &str, settings: &Path) -> Self {
        let mut command = Command::new(BINARY);
        let command = command.args([role, "--settings"]).arg(settings).stderr(Stdio::null());
        Self(command.spawn().expect(role))
    }
    fn terminate(&self) {
        let pid = self.0.id().to_string();
        assert!(Command::new("kill").args(["-TERM", &pid]).status().expect("kill").success());
    }
}
impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

struct Folder(PathBuf);
impl Folder {
    fn new(name: &str) -> Self {
        let path = std::env::temp_dir().join(format!("silvertack-{name}-{}", std::process::id()));
        let _ = std::fs::remove_dir_all(&path);
        std::fs::create_dir_all(&path).expect("folder");
        Self(path)
    }
    fn write(&self, name: &str, text: &str) -> PathBuf {
        let path = self.0.join(name);
        std::fs::write(&path, text).expect("written");
        path
    }
}
impl Drop for Folder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

fn eventually(what: &str, mut check: impl FnMut() -> bool) {
    let start = Instant::now();
    while !check() {
        assert!(start.elapsed() < Duration::from_secs(20), "never: {what}");
        std::thread::sleep(Duration::from_millis(20));
    }
}

/// A machine's settings, and where its programs are to be found.
struct Machine {
    folder: Folder,
    file: PathBuf,
    admin: SocketAddr,
    frontend: SocketAddr,
    readiness: SocketAddr,
}
impl Machine {
    fn new(name: &str, more: &str, platform: Option<SocketAddr>) -> Self {
        let [peer, admin, front, ready] = [0; 4].map(|_| free_port());
        let at = |port: u16| SocketAddr::from(([127, 0, 0, 1], port));
        let folder = Folder::new(name);
        let platform =
            platform.map_or(String::new(), |p| format!("[provider]\naddress = \"{p}\"\n"));
        let settings = format!(
            "node_name = \"one\"\nip_address = \"127.0.0.1\"\nzone = \"here\"\n\
             port_range = [{peer}, {peer}]\nseed_nodes = [\"{a}\"]\nbootstrap = true\n{more}\
             data_path = \"{data}\"\n[listeners]\nfrontend = \"{f}\"\nreadiness = \"{r}\"\n\
             admin = \"{a}\"\n[timing_bounds]\ngrace_s = 6\n{platform}",
            a = at(admin),
            f = at(front),
            r = at(ready),
            data = folder.0.join("data").display(),
        );
        let file = folder.write("node.toml", &settings);
        Self { folder, file, admin: at(admin), frontend: at(front), readiness: at(ready) }
    }
    fn put(&self, service: &str) {
        let route = serde_json::json!({ "name": "r", "hostname": "strict", "timeout_ms": 2000,
            "route_type": if service == "query" { "idempotent" } else { "primary" },
            "target_service": service });
        let body = serde_json::json!({ "revision": 1, "route_rules": [route],
            "services": [{ "name": service, "max_connections": 16, "sync_replicas": 0 }] });
        let (body, sent) = (body.to_string(), [("If-Match", "0")]);
        eventually("a configuration", || {
            http(self.admin, "PUT", "/configuration", &sent, &body).is_ok_and(|(s, _)| s == 200)
        });
    }
    fn readiness(&self, method: &str, path: &str) -> Option<(u16, String)> {
        http(self.readiness, method, path, &[], "").ok()
    }
    fn node_status(&self) -> Value {
        status(self.readiness)
    }
}
fn status(at: SocketAddr) -> Value {
    let answer = http(at, "GET", "/status", &[], "");
    answer.ok().and_then(|(_, body)| serde_json::from_str(&body).ok()).unwrap_or_default()
}

/// All keys of a value, each behind those it stands in, `[]` for what is in a list.
fn keys(value: &Value, within: &str, into: &mut BTreeSet<String>) {
    match value {
        Value::Object(map) => {
            for (key, value) in map {
                let key = if within.is_empty() { key.clone() } else { format!("{within}.{key}") };
                keys(value, &key, into);
                into.insert(key);
            }
        }
        Value::Array(list) => list.iter().for_each(|v| keys(v, &format!("{within}[]"), into)),
        _ => {}
    }
}
fn assert_keys(what: &str, value: &Value, wanted: &str) {
    let mut found = BTreeSet::new();
    keys(value, "", &mut found);
    let wanted: BTreeSet<String> = wanted.split_whitespace().map(str::to_owned).collect();
    let lacking: Vec<_> = wanted.difference(&found).collect();
    let new: Vec<_> = found.difference(&wanted).collect();
    assert!(lacking.is_empty() && new.is_empty(), "{what}: lacking {lacking:?}, new {new:?}");
}

const CONTROLLER: &str = "node role member leader leader_admin leads epoch entry committed
    members members[].id members[].node members[].peer members[].admin members[].voter
    revision
    databases databases[].id databases[].database databases[].sequence
    databases[].database.target_service databases[].database.address databases[].database.zone
    databases[].database.revision databases[].database.capacity
    databases[].database.lifecycle_state databases[].database.database_role
    services services[].service services[].term services[].primary services[].intent
    services[].stage
    stiles stiles[].node stiles[].connected stiles[].heard_ms_ago stiles[].lease_left_ms
    stiles[].services stiles[].services[].service stiles[].services[].connections_allowed
    stiles[].services[].term
    peers questions_waiting";
const POOLER: &str = "node role ready draining revision sessions sessions_allowed resting
    services services[].service services[].term services[].primary services[].lease_left_ms
    services[].connections_allowed services[].highest
    databases databases[].id databases[].service databases[].address databases[].zone
    databases[].open databases[].idle databases[].waiting databases[].draining databases[].down";
const GATEWAY: &str = "node role ready draining linked revision connections connections_allowed
    resting requests sent_again refused lost
    databases databases[].id databases[].service databases[].address databases[].zone
    databases[].capacity databases[].draining databases[].under_way databases[].idle
    databases[].left_out databases[].answers_after_ms";

const READY: (u16, &str) = (200, "{}");
const NOT_READY: (u16, &str) = (503, r#"{"message":"not ready"}"#);

/// The answers of a node's readiness address from its start to its end, and what it ends with.
fn answers(machine: &Machine, role: &str, supply: impl FnOnce(), full: impl Fn(&Value) -> bool) {
    let ask = || machine.readiness("GET", "/readiness");
    let answered =
        |wanted: (u16, &str)| ask().is_some_and(|(status, body)| (status, body.as_str()) == wanted);
    let mut node = Process::start(role, &machine.file);
    eventually("an answer", || ask().is_some());
    assert!(answered(NOT_READY), "{role}, alone: {:?}", ask());
    let before = machine.node_status();
    assert_eq!((&before["ready"], &before["draining"]), (&false.into(), &false.into()), "{role}");
    for (method, path, status, message) in [
        ("POST", "/readiness", 405, "not with this method"),
        ("PUT", "/status", 405, "not with this method"),
        ("GET", "/ready", 404, "no such path"),
    ] {
        let body = serde_json::json!({ "message": message }).to_string();
        assert_eq!(machine.readiness(method, path), Some((status, body)), "{role} {method} {path}");
    }
    let _steward = Process::start("controller", &machine.file);
    supply();
    eventually("ready", || answered(READY));
    eventually("all of its state", || full(&machine.node_status()));
    let status = machine.node_status();
    assert_eq!((&status["role"], &status["ready"]), (&role.into(), &true.into()));
    assert_keys(role, &status, if role == "pooler" { POOLER } else { GATEWAY });
    if role == "pooler" {
        eventually("the controller's whole state", || {
            let status = self::status(machine.admin);
            let told = &status["stiles"][0]["services"][0]["term"];
            status["leads"] == true && status["services"][0]["primary"].is_string() && told.is_u64()
        });
        let status = self::status(machine.admin);
        assert_eq!(status["role"], "controller");
        assert_keys("controller", &status, CONTROLLER);
    }
    // With a client there, which is let go once others know that this node drains.
    let mut client = BufReader::new(TcpStream::connect(machine.frontend).expect("frontend"));
    if role == "pooler" {
        client.get_mut().write_all(b"CONNECT strict me\r\n").expect("sent");
        let mut line = String::new();
        client.read_line(&mut line).expect("a line");
        assert_eq!(line, "READY I -\r\n");
    }
    node.terminate();
    eventually("draining", || answered(NOT_READY));
    let status = machine.node_status();
    assert_eq!((&status["role"], &status["draining"]), (&role.into(), &true.into()));
    assert_eq!(node.0.wait().expect("ended").code(), Some(0), "{role} ends in order");
}

#[test]
fn a_pooler_and_its_controller_show_these_keys_and_answers() {
    let databases = StandIn::start("ledger", 2).expect("databases");
    let machine = Machine::new("shown-pooler", "", Some(databases.platform));
    let supply = || {
        machine.put("ledger");
        databases.start_heartbeats(machine.admin, Duration::from_millis(200));
    };
    answers(&machine, "pooler", supply, |status| {
        let listed = status["databases"].as_array().map_or(0, Vec::len);
        listed == 2 && status["services"][0]["primary"].is_string()
    });
}

#[test]
fn a_gateway_shows_these_keys_and_answers() {
    let databases = StandInEndpoints::start("query", 2).expect("databases");
    let machine = Machine::new("shown-gateway", "rollout = \"api\"\n", None);
    let supply = || {
        machine.put("query");
        eventually("databases", || databases.send_heartbeats(machine.admin, 1));
        // A heartbeat that is news, and one that is none.
        for (sequence, state) in [(2, "draining"), (3, "available"), (4, "available")] {
            let (path, heartbeat) =
                ("/instances/i-query-0", databases.heartbeat(0, sequence, state));
            let answer = http(machine.admin, "PUT", path, &[], &heartbeat).expect("answer");
            let told = serde_json::json!({ "heartbeat_url": machine.admin }).to_string();
            assert_eq!(answer, (200, told), "{sequence}");
        }
    };
    answers(&machine, "gateway", supply, |status| {
        status["databases"].as_array().map_or(0, Vec::len) == 2
    });
}

#[test]
fn a_controller_ends_in_order_with_0() {
    let machine = Machine::new("shown-controller", "", None);
    let mut controller = Process::start("controller", &machine.file);
    eventually("it leads", || status(machine.admin)["leads"] == true);
    controller.terminate();
    assert_eq!(controller.0.wait().expect("ended").code(), Some(0));
}

/// What a call of the program ends with, and what it says then. One that goes on is ended.
fn ended(words: &[&str], boot: Option<&str>) -> (Option<i32>, String) {
    let mut command = Command::new(BINARY);
    command.args(["--log", "off"]).args(words).env_remove("SILVERTACK_BOOT");
    command.envs(boot.map(|file| ("SILVERTACK_BOOT", file)));
    let child = command.stdout(Stdio::null()).stderr(Stdio::piped()).spawn();
    let mut process = Process(child.expect("run"));
    let start = Instant::now();
    while process.0.try_wait().expect("asked").is_none() {
        assert!(start.elapsed() < Duration::from_secs(20), "{words:?} goes on");
        std::thread::sleep(Duration::from_millis(5));
    }
    let mut errors = String::new();
    let mut stderr = process.0.stderr.take().expect("piped");
    stderr.read_to_string(&mut errors).expect("text");
    (process.0.wait().expect("ended").code(), errors)
}

#[test]
#[expect(clippy::too_many_lines, reason = "one scenario, told in order")]
fn exit_codes_are_these() {
    let machine = Machine::new("exits", "", None);
    let good = std::fs::read_to_string(&machine.file).expect("settings");
    let path = |path: &Path| path.display().to_string();
    let write = |name: &str, text: &str| path(&machine.folder.write(name, text));
    let order = serde_json::json!({ "revision": 1, "route_rules": [], "services": [] }).to_string();
    let (file, nobody) = (path(&machine.file), format!("127.0.0.1:{}", free_port()));
    let (order, no_order) = (write("order.json", &order), write("none.json", "{"));
    let bad = write("bad.toml", &good.replace("grace_s = 6", "grace_s = 0"));
    let unheard =
        write("unheard.toml", &good.replace("[listeners]", "[listeners]\nx = 1\n[other]"));
    // A folder whose file is of a newer program, one that isn't a file of SQLite, and one whose
    // state is gone.
    let of = |name: &str, fill: &dyn Fn(&Path)| {
        let data = machine.folder.0.join(format!("{name}-data"));
        std::fs::create_dir_all(&data).expect("folder");
        fill(&data);
        let old = format!("data_path = \"{}\"", machine.folder.0.join("data").display());
        let new = format!("data_path = \"{}\"", data.display());
        assert!(good.contains(&old));
        write(&format!("{name}.toml"), &good.replace(&old, &new))
    };
    let newer = of("newer", &|data| {
        let db = rusqlite::Connection::open(data.join("hedge.sqlite")).expect("file");
        db.pragma_update(None, "user_version", 2).expect("version");
    });
    let garbage = of("garbage", &|data| {
        std::fs::write(data.join("hedge.sqlite"), "no such file ".repeat(100)).expect("written");
    });
    let gone =
        of("gone", &|data| std::fs::write(data.join("member"), "members 1\n").expect("mark"));
    let no_folder = write("file", "");
    let old = format!("data_path = \"{}\"", machine.folder.0.join("data").display());
    let no_disk = good.replace(&old, &format!("data_path = \"{no_folder}/data\""));
    let no_disk = write("no-disk.toml", &no_disk);
    // (what, words, code, how the line on standard error begins)
    let table: &[(&str, &[&str], i32, &str)] = &[
        ("version", &["--version"], 0, ""),
        ("help", &["--help"], 0, ""),
        ("good settings", &["check", "settings", &file], 0, ""),
        ("a good configuration", &["check", "configuration", &order], 0, ""),
        (
            "no configuration",
            &["check", "configuration", &no_order],
            1,
            "silvertack: configuration: ",
        ),
        ("nobody there", &["status", &nobody], 1, "silvertack: 127.0.0.1:"),
        ("nobody to send to", &["configuration", "get", &nobody], 1, "silvertack: 127.0.0.1:"),
        ("bad settings", &["check", "settings", &bad], 2, "silvertack: settings: "),
        ("a pooler's", &["pooler", "--settings", &bad], 2, "silvertack: settings: "),
        ("a gateway's", &["gateway", "--settings", &bad], 2, "silvertack: settings: "),
        ("a controller's", &["controller", "--settings", &bad], 2, "silvertack: settings: "),
        (
            "no listener, pooler",
            &["pooler", "--settings", &unheard],
            2,
            "silvertack: settings: listeners.",
        ),
        (
            "no listener, gateway",
            &["gateway", "--settings", &unheard],
            2,
            "silvertack: settings: listeners.",
        ),
        (
            "no listener, controller",
            &["controller", "--settings", &unheard],
            2,
            "silvertack: settings: listeners.",
        ),
        (
            "no settings",
            &["controller"],
            2,
            "silvertack: settings: no --settings given and SILVERTACK_BOOT",
        ),
        ("no such command", &["frobnicate"], 2, "error: "),
        ("a newer state", &["controller", "--settings", &newer], 3, "silvertack: state on disk: "),
        ("no state", &["controller", "--settings", &garbage], 3, "silvertack: state on disk: "),
        (
            "a state that is gone",
            &["controller", "--settings", &gone],
            3,
            "silvertack: state on disk: ",
        ),
    ];
    for (what, words, code, said) in table {
        let (found, errors) = ended(words, None);
        assert_eq!(found, Some(*code), "{what}: {errors}");
        assert!(
            errors.starts_with(said) && errors.is_empty() == said.is_empty(),
            "{what}: {errors}"
        );
    }
    // The variable names the file where the flag does not.
    let (code, errors) = ended(&["controller"], Some(&bad));
    assert!(code == Some(2) && errors.contains("grace_s"), "{code:?}: {errors}");
    // An address that is taken.
    let taken = std::net::TcpListener::bind(machine.readiness).expect("free");
    let (code, errors) = ended(&["pooler", "--settings", &file], None);
    drop(taken);
    let said = errors.starts_with("silvertack: cannot listen on ");
    assert!(code == Some(1) && said, "{code:?}: {errors}");
    // A disk that can't be used is tried again until the end.
    let mut command = Command::new(BINARY);
    let command = command.args(["controller", "--settings", &no_disk]).stderr(Stdio::piped());
    let mut controller = Process(command.spawn().expect("controller"));
    let mut log = BufReader::new(controller.0.stderr.take().expect("piped")).lines();
    let mut next = || log.next().expect("a line").expect("read");
    while !next().contains("cannot be used, tried again soon") {}
    controller.terminate();
    assert_eq!(controller.0.wait().expect("ended").code(), Some(1));
    let last = std::iter::from_fn(|| log.next()).last().expect("a line").expect("read");
    assert!(last.starts_with("silvertack: the disk: "), "{last}");
}

#[test]
fn each_key_of_a_configuration_is_read() {
    let order = serde_json::json!({
        "revision": 3,
        "route_rules": [
            { "name": "a", "hostname": "h", "path_prefix": "/p/", "route_type": "read_your_writes",
                "timeout_ms": 11, "target_latency_ms": 12, "priority": 13, "target_service": "s",
                "max_attempts": 14, "stale_ms": 15 },
            { "name": "b", "hostname": "i", "path_prefix": "/q/", "route_type": "non_idempotent",
                "timeout_ms": 16, "target_latency_ms": 17, "priority": 18,
                "weighted_targets": [{ "target_service": "s", "weight": 19 }],
                "max_attempts": 20, "stale_ms": 21 },
        ],
        "services": [{ "name": "s", "max_connections": 22, "sync_replicas": 23 }],
        "limits": { "txn_idle_ms": 24, "max_header_bytes": 25, "max_body_bytes": 26,
            "header_timeout_ms": 27, "idle_timeout_ms": 28 },
    });
    // None of it is a default, so what is read under another name comes out otherwise.
    let read = Configuration::read(order.to_string().as_bytes()).expect("valid");
    assert_eq!(serde_json::to_value(&read).expect("JSON"), order);
    let mut more = order.clone();
    more["limits"]["of_later"] = 1.into();
    assert_eq!(
        Configuration::read(more.to_string().as_bytes()).expect("read"),
        read,
        "others are ignored"
    );
}

/// Every key, none with its default.
const ALL: &str = r#"node_name = "one"
ip_address = "10.0.0.1"
zone = "here"
port_range = [7440, 7455]
seed_nodes = ["10.0.0.2:8782", "10.0.0.1:8783"]
bootstrap = true
data_path = "/data"
quorum_member = false
heartbeat_ms = 1001
rollout = "api"
[fault_tolerance]
machines = 2
[listeners]
frontend = "10.0.0.1:1"
readiness = "10.0.0.1:2"
admin = "10.0.0.1:3"
[limits]
memory_mb = 257
max_open_files = 1025
[timing_bounds]
grace_s = 7
drain_ms = 7001
contact_ms = 4001
join_sync_s = 5
retry_ratio = 0.3
retry_window_s = 11
[provider]
address = "10.0.0.1:4"
"#;

/// What is read of each key, in the file's order; every field is named.
fn values(settings: &Settings) -> Vec<String> {
    use silvertack::config::settings::{FaultTolerance, Limits, Listeners, TimingBounds};
    let Settings {
        node_name,
        ip_address,
        zone,
        port_range,
        seed_nodes,
        bootstrap,
        data_path,
        quorum_member,
        fault_tolerance: FaultTolerance { machines },
        heartbeat_ms,
        listeners: Listeners { frontend, readiness, admin },
        limits: Limits { memory_mb, max_open_files },
        timing_bounds:
            TimingBounds { grace_s, drain_ms, contact_ms, join_sync_s, retry_ratio, retry_window_s },
        provider,
        rollout,
    } = settings;
    let rollout = match rollout {
        Rollout::Pooler => "pooler",
        Rollout::Api => "api",
        Rollout::Other => "other",
    };
    let place = |at: &Option<SocketAddr>| at.map_or("none".into(), |at| at.to_string());
    vec![
        node_name.clone(),
        ip_address.to_string(),
        zone.clone(),
        format!("{port_range:?}"),
        format!("{seed_nodes:?}"),
        bootstrap.to_string(),
        data_path.as_ref().map_or("none".into(), |path| path.display().to_string()),
        quorum_member.to_string(),
        heartbeat_ms.to_string(),
        rollout.to_owned(),
        machines.to_string(),
        place(frontend),
        place(readiness),
        place(admin),
        memory_mb.to_string(),
        max_open_files.to_string(),
        grace_s.to_string(),
        drain_ms.to_string(),
        contact_ms.to_string(),
        join_sync_s.to_string(),
        retry_ratio.to_string(),
        retry_window_s.to_string(),
        place(&provider.as_ref().map(|p| p.address)),
    ]
}

#[test]
#[expect(clippy::too_many_lines, reason = "one scenario, told in order")]
fn each_key_of_a_settings_file_is_read_and_a_misspelled_one_is_as_none() {
    let all = values(&Settings::parse(ALL).expect("every key"));
    let lines: Vec<&str> = ALL.lines().filter(|line| line.contains('=')).collect();
    assert_eq!((lines.len(), all.len()), (23, 23));
    for (line, value) in lines.iter().zip(&all) {
        let written = line.split_once(" = ").expect("a key").1;
        let plain = written.replace(['"', '[', ']'], "");
        let plain_value = value.replace(['[', ']', '(', ')'], "");
        assert_eq!(plain, plain_value, "{line}");
    }
    // (key, what is read without it; nothing where it is needed)
    let defaults = [
        ("node_name", None),
        ("ip_address", None),
        ("zone", None),
        ("port_range", None),
        ("seed_nodes", None),
        ("bootstrap", Some("false")),
        ("data_path", Some("none")),
        ("quorum_member", Some("true")),
        ("heartbeat_ms", Some("1000")),
        ("rollout", Some("pooler")),
        ("machines", Some("0")),
        ("frontend", Some("none")),
        ("readiness", Some("none")),
        ("admin", Some("none")),
        ("memory_mb", Some("256")),
        ("max_open_files", Some("1024")),
        ("grace_s", Some("6")),
        ("drain_ms", Some("7000")),
        ("contact_ms", Some("4000")),
        ("join_sync_s", Some("4")),
        ("retry_ratio", Some("0.2")),
        ("retry_window_s", Some("10")),
        ("address", None),
    ];
    for (at, (line, (key, default))) in lines.iter().zip(defaults).enumerate() {
        assert!(line.starts_with(&format!("{key} = ")), "{line}");
        // Misspelled: ignored, and the key is missing.
        let read = Settings::parse(&ALL.replace(&format!("{line}\n"), &format!("x{line}\n")));
        match (read, default) {
            (Ok(settings), Some(default)) => {
                let mut wanted = all.clone();
                wanted[at] = default.to_owned();
                assert_eq!(values(&settings), wanted, "without {key}");
            }
            (Err(e), None) => {
                let why = e.to_string();
                assert!(why.contains(&format!("missing field `{key}`")), "{key}: {why}");
                assert_eq!(e.exit_code(), 2, "{key}");
            }
            (read, _) => panic!("without {key}: {read:?}"),
        }
    }
    // The same for whole tables; one is needed.
    for (table, wanted) in [
        ("fault_tolerance", true),
        ("listeners", false),
        ("limits", true),
        ("timing_bounds", true),
        ("provider", true),
    ] {
        let read = Settings::parse(&ALL.replace(&format!("[{table}]"), &format!("[x{table}]")));
        assert_eq!(read.is_ok(), wanted, "without {table}");
    }
    for (word, kind) in [("pooler", "pooler"), ("api", "api"), ("some", "other")] {
        let text = ALL.replace("\"api\"", &format!("{word:?}"));
        assert_eq!(values(&Settings::parse(&text).expect(word))[9], kind);
    }
}
