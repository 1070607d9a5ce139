//! The external interfaces that operators, the platform and scripts rely on: the keys of `status`
//! documents, readiness responses, exit codes, and the keys of settings files and configurations.
//! These tests guard against unintended changes of them.
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

/// A process of the program; killed when dropped.
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

/// A temporary folder that is removed when dropped.
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

/// Waits until `check` returns true; panics after 20 s.
fn eventually(what: &str, mut check: impl FnMut() -> bool) {
    let start = Instant::now();
    while !check() {
        assert!(start.elapsed() < Duration::from_secs(20), "timed out waiting for: {what}");
        std::thread::sleep(Duration::from_millis(20));
    }
}

/// The settings file of a machine and the addresses of its processes.
struct Machine {
    folder: Folder,
    file: PathBuf,
    admin: SocketAddr,
    frontend: SocketAddr,
    readiness: SocketAddr,
}
impl Machine {
    fn new(name: &str, extra: &str, platform: Option<SocketAddr>) -> Self {
        let [peer, admin, front, ready] = [0; 4].map(|_| free_port());
        let at = |port: u16| SocketAddr::from(([127, 0, 0, 1], port));
        let folder = Folder::new(name);
        let platform =
            platform.map_or(String::new(), |p| format!("[provider]\naddress = \"{p}\"\n"));
        let settings = format!(
            "node_name = \"one\"\nip_address = \"127.0.0.1\"\nzone = \"here\"\n\
             port_range = [{peer}, {peer}]\nseed_nodes = [\"{a}\"]\nbootstrap = true\n{extra}\
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
    /// Puts a configuration with one route to this service.
    fn put_configuration(&self, service: &str) {
        let route = serde_json::json!({ "name": "r", "hostname": "strict", "timeout_ms": 2000,
            "route_type": if service == "query" { "idempotent" } else { "primary" },
            "target_service": service });
        let body = serde_json::json!({ "revision": 1, "route_rules": [route],
            "services": [{ "name": service, "max_connections": 16, "sync_replicas": 0 }] });
        let (body, headers) = (body.to_string(), [("If-Match", "0")]);
        eventually("the configuration to be accepted", || {
            http(self.admin, "PUT", "/configuration", &headers, &body).is_ok_and(|(s, _)| s == 200)
        });
    }
    /// Sends a request to the readiness address; returns the status and the body.
    fn request_readiness(&self, method: &str, path: &str) -> Option<(u16, String)> {
        http(self.readiness, method, path, &[], "").ok()
    }
    fn node_status(&self) -> Value {
        status(self.readiness)
    }
}
/// The status document of a process; null if it does not respond.
fn status(at: SocketAddr) -> Value {
    let response = http(at, "GET", "/status", &[], "");
    response.ok().and_then(|(_, body)| serde_json::from_str(&body).ok()).unwrap_or_default()
}

/// Collects the paths of all keys of a value, with `[]` for the elements of a list.
fn collect_keys(value: &Value, parent: &str, paths: &mut BTreeSet<String>) {
    match value {
        Value::Object(map) => {
            for (key, value) in map {
                let path = if parent.is_empty() { key.clone() } else { format!("{parent}.{key}") };
                collect_keys(value, &path, paths);
                paths.insert(path);
            }
        }
        Value::Array(list) => {
            list.iter().for_each(|v| collect_keys(v, &format!("{parent}[]"), paths))
        }
        _ => {}
    }
}
fn assert_keys(what: &str, value: &Value, expected: &str) {
    let mut found = BTreeSet::new();
    collect_keys(value, "", &mut found);
    let expected: BTreeSet<String> = expected.split_whitespace().map(str::to_owned).collect();
    let missing: Vec<_> = expected.difference(&found).collect();
    let unexpected: Vec<_> = found.difference(&expected).collect();
    assert!(
        missing.is_empty() && unexpected.is_empty(),
        "{what}: missing keys {missing:?}, unexpected keys {unexpected:?}"
    );
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
    denied over_limit
    services services[].service services[].term services[].primary services[].lease_left_ms
    services[].connections_allowed services[].highest
    databases databases[].id databases[].service databases[].address databases[].zone
    databases[].open databases[].idle databases[].waiting databases[].draining databases[].down";
const GATEWAY: &str = "node role ready draining linked revision connections connections_allowed
    resting requests sent_again refused lost client_closed denied over_limit
    databases databases[].id databases[].service databases[].address databases[].zone
    databases[].capacity databases[].draining databases[].under_way databases[].idle
    databases[].left_out databases[].answers_after_ms";

const READY: (u16, &str) = (200, "{}");
const NOT_READY: (u16, &str) = (503, r#"{"message":"not ready"}"#);

/// Checks the responses of a node's readiness address from its start to its shutdown, and its exit
/// code. `configure` provides a configuration and heartbeats; `is_complete` tells whether a status
/// has all its entries.
fn check_readiness_and_status(
    machine: &Machine,
    role: &str,
    configure: impl FnOnce(),
    is_complete: impl Fn(&Value) -> bool,
) {
    let readiness = || machine.request_readiness("GET", "/readiness");
    let responds = |expected: (u16, &str)| {
        readiness().is_some_and(|(status, body)| (status, body.as_str()) == expected)
    };
    let mut node = Process::start(role, &machine.file);
    eventually("a readiness response", || readiness().is_some());
    assert!(responds(NOT_READY), "{role} without a controller: {:?}", readiness());
    let before = machine.node_status();
    assert_eq!((&before["ready"], &before["draining"]), (&false.into(), &false.into()), "{role}");
    for (method, path, status, message) in [
        ("POST", "/readiness", 405, "not with this method"),
        ("PUT", "/status", 405, "not with this method"),
        ("GET", "/ready", 404, "no such path"),
    ] {
        let body = serde_json::json!({ "message": message }).to_string();
        assert_eq!(
            machine.request_readiness(method, path),
            Some((status, body)),
            "{role} {method} {path}"
        );
    }
    let _controller = Process::start("controller", &machine.file);
    configure();
    eventually("the node to be ready", || responds(READY));
    eventually("a complete status", || is_complete(&machine.node_status()));
    let status = machine.node_status();
    assert_eq!((&status["role"], &status["ready"]), (&role.into(), &true.into()));
    assert_keys(role, &status, if role == "pooler" { POOLER } else { GATEWAY });
    if role == "pooler" {
        eventually("a complete status of the controller", || {
            let status = self::status(machine.admin);
            let reported_term = &status["stiles"][0]["services"][0]["term"];
            status["leads"] == true
                && status["services"][0]["primary"].is_string()
                && reported_term.is_u64()
        });
        let status = self::status(machine.admin);
        assert_eq!(status["role"], "controller");
        assert_keys("controller", &status, CONTROLLER);
    }
    // A connected client keeps the node draining until the platform has noticed that it is not
    // ready.
    let mut client = BufReader::new(TcpStream::connect(machine.frontend).expect("frontend"));
    if role == "pooler" {
        client.get_mut().write_all(b"CONNECT strict me\r\n").expect("sent");
        let mut line = String::new();
        client.read_line(&mut line).expect("a line");
        assert_eq!(line, "READY I -\r\n");
    }
    node.terminate();
    eventually("the draining node to be not ready", || responds(NOT_READY));
    let status = machine.node_status();
    assert_eq!((&status["role"], &status["draining"]), (&role.into(), &true.into()));
    assert_eq!(
        node.0.wait().expect("ended").code(),
        Some(0),
        "exit code of the {role} after SIGTERM"
    );
}

#[test]
fn status_keys_and_readiness_responses_of_a_pooler_and_its_controller() {
    let databases = StandIn::start("ledger", 2).expect("databases");
    let machine = Machine::new("shown-pooler", "", Some(databases.platform));
    let configure = || {
        machine.put_configuration("ledger");
        databases.start_heartbeats(machine.admin, Duration::from_millis(200));
    };
    check_readiness_and_status(&machine, "pooler", configure, |status| {
        let database_count = status["databases"].as_array().map_or(0, Vec::len);
        database_count == 2 && status["services"][0]["primary"].is_string()
    });
}

#[test]
fn status_keys_and_readiness_responses_of_a_gateway() {
    let databases = StandInEndpoints::start("query", 2).expect("databases");
    let machine = Machine::new("shown-gateway", "rollout = \"api\"\n", None);
    let configure = || {
        machine.put_configuration("query");
        eventually("databases", || databases.send_heartbeats(machine.admin, 1));
        // The last heartbeat repeats the state of the one before; the others change it.
        for (sequence, state) in [(2, "draining"), (3, "available"), (4, "available")] {
            let (path, heartbeat) =
                ("/instances/i-query-0", databases.heartbeat(0, sequence, state));
            let response = http(machine.admin, "PUT", path, &[], &heartbeat).expect("response");
            let body = serde_json::json!({ "heartbeat_url": machine.admin }).to_string();
            assert_eq!(response, (200, body), "{sequence}");
        }
    };
    check_readiness_and_status(&machine, "gateway", configure, |status| {
        status["databases"].as_array().map_or(0, Vec::len) == 2
    });
}

#[test]
fn a_controller_exits_with_code_0_on_sigterm() {
    let machine = Machine::new("shown-controller", "", None);
    let mut controller = Process::start("controller", &machine.file);
    eventually("the controller to lead", || status(machine.admin)["leads"] == true);
    controller.terminate();
    assert_eq!(controller.0.wait().expect("ended").code(), Some(0));
}

/// Runs the program with these arguments; returns its exit code and standard error. Kills it and
/// panics if it doesn't exit.
fn run_to_exit(arguments: &[&str], settings_variable: Option<&str>) -> (Option<i32>, String) {
    let mut command = Command::new(BINARY);
    command.args(["--log", "off"]).args(arguments).env_remove("SILVERTACK_BOOT");
    command.envs(settings_variable.map(|file| ("SILVERTACK_BOOT", file)));
    let child = command.stdout(Stdio::null()).stderr(Stdio::piped()).spawn();
    let mut process = Process(child.expect("run"));
    let start = Instant::now();
    while process.0.try_wait().expect("process state").is_none() {
        assert!(start.elapsed() < Duration::from_secs(20), "{arguments:?} did not exit");
        std::thread::sleep(Duration::from_millis(5));
    }
    let mut errors = String::new();
    let mut stderr = process.0.stderr.take().expect("piped");
    stderr.read_to_string(&mut errors).expect("text");
    (process.0.wait().expect("ended").code(), errors)
}

#[test]
#[expect(clippy::too_many_lines, reason = "one scenario, told in order")]
fn exit_codes_and_error_messages_of_the_commands() {
    let machine = Machine::new("exits", "", None);
    let valid_settings = std::fs::read_to_string(&machine.file).expect("settings");
    let path = |path: &Path| path.display().to_string();
    let write = |name: &str, text: &str| path(&machine.folder.write(name, text));
    let configuration =
        serde_json::json!({ "revision": 1, "route_rules": [], "services": [] }).to_string();
    let (file, unused_address) = (path(&machine.file), format!("127.0.0.1:{}", free_port()));
    let (configuration, invalid_configuration) =
        (write("configuration.json", &configuration), write("none.json", "{"));
    let bad = write("bad.toml", &valid_settings.replace("grace_s = 6", "grace_s = 0"));
    let no_listeners = write(
        "no_listeners.toml",
        &valid_settings.replace("[listeners]", "[listeners]\nx = 1\n[other]"),
    );
    // Data folders with a database file of a newer release, with a file that is not an SQLite
    // database, and with an identity file but no database.
    let with_data = |name: &str, fill: &dyn Fn(&Path)| {
        let data = machine.folder.0.join(format!("{name}-data"));
        std::fs::create_dir_all(&data).expect("folder");
        fill(&data);
        let old = format!("data_path = \"{}\"", machine.folder.0.join("data").display());
        let new = format!("data_path = \"{}\"", data.display());
        assert!(valid_settings.contains(&old));
        write(&format!("{name}.toml"), &valid_settings.replace(&old, &new))
    };
    let newer = with_data("newer", &|data| {
        let db = rusqlite::Connection::open(data.join("hedge.sqlite")).expect("file");
        db.pragma_update(None, "user_version", 2).expect("version");
    });
    let garbage = with_data("garbage", &|data| {
        std::fs::write(data.join("hedge.sqlite"), "no such file ".repeat(100)).expect("written");
    });
    let gone = with_data("gone", &|data| {
        std::fs::write(data.join("member"), "members 1\n").expect("mark")
    });
    let no_folder = write("file", "");
    let old = format!("data_path = \"{}\"", machine.folder.0.join("data").display());
    let no_disk = valid_settings.replace(&old, &format!("data_path = \"{no_folder}/data\""));
    let no_disk = write("no-disk.toml", &no_disk);
    // (case, arguments, exit code, prefix of standard error)
    let table: &[(&str, &[&str], i32, &str)] = &[
        ("version", &["--version"], 0, ""),
        ("help", &["--help"], 0, ""),
        ("good settings", &["check", "settings", &file], 0, ""),
        ("a good configuration", &["check", "configuration", &configuration], 0, ""),
        (
            "no configuration",
            &["check", "configuration", &invalid_configuration],
            1,
            "silvertack: configuration: ",
        ),
        ("no process at the address", &["status", &unused_address], 1, "silvertack: 127.0.0.1:"),
        (
            "no controller at the address",
            &["configuration", "get", &unused_address],
            1,
            "silvertack: 127.0.0.1:",
        ),
        ("bad settings", &["check", "settings", &bad], 2, "silvertack: settings: "),
        ("bad settings, pooler", &["pooler", "--settings", &bad], 2, "silvertack: settings: "),
        ("bad settings, gateway", &["gateway", "--settings", &bad], 2, "silvertack: settings: "),
        (
            "bad settings, controller",
            &["controller", "--settings", &bad],
            2,
            "silvertack: settings: ",
        ),
        (
            "no listener, pooler",
            &["pooler", "--settings", &no_listeners],
            2,
            "silvertack: settings: listeners.",
        ),
        (
            "no listener, gateway",
            &["gateway", "--settings", &no_listeners],
            2,
            "silvertack: settings: listeners.",
        ),
        (
            "no listener, controller",
            &["controller", "--settings", &no_listeners],
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
    for (what, arguments, code, prefix) in table {
        let (found, errors) = run_to_exit(arguments, None);
        assert_eq!(found, Some(*code), "{what}: {errors}");
        assert!(
            errors.starts_with(prefix) && errors.is_empty() == prefix.is_empty(),
            "{what}: {errors}"
        );
    }
    // Without --settings, the environment variable contains the path of the file.
    let (code, errors) = run_to_exit(&["controller"], Some(&bad));
    assert!(code == Some(2) && errors.contains("grace_s"), "{code:?}: {errors}");
    // The address of a listener is in use.
    let occupied = std::net::TcpListener::bind(machine.readiness).expect("free");
    let (code, errors) = run_to_exit(&["pooler", "--settings", &file], None);
    drop(occupied);
    let is_expected = errors.starts_with("silvertack: cannot listen on ");
    assert!(code == Some(1) && is_expected, "{code:?}: {errors}");
    // A controller whose disk can't be used retries until it is terminated.
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
fn every_key_of_a_configuration_is_read() {
    let configuration = serde_json::json!({
        "revision": 3,
        "route_rules": [
            { "name": "a", "hostname": "h", "path_prefix": "/p/", "route_type": "read_your_writes",
                "timeout_ms": 11, "target_latency_ms": 12, "priority": 13, "target_service": "s",
                "max_attempts": 14, "stale_ms": 15 },
            { "name": "b", "hostname": "i", "path_prefix": "/q/", "route_type": "non_idempotent",
                "timeout_ms": 16, "target_latency_ms": 17, "priority": 18,
                "weighted_targets": [{ "target_service": "s", "weight": 19 }],
                "max_attempts": 20, "stale_ms": 21, "public": true },
        ],
        "services": [{ "name": "s", "max_connections": 22, "sync_replicas": 23 }],
        "limits": { "txn_idle_ms": 24, "max_header_bytes": 25, "max_body_bytes": 26,
            "header_timeout_ms": 27, "idle_timeout_ms": 28 },
        "tenants": [{ "name": "t", "api_keys": ["k"], "priority": 29, "rate_per_s": 30,
            "burst_limit": 31 }],
    });
    // No value is a default, so a key that is not read changes the result.
    let read = Configuration::read(configuration.to_string().as_bytes()).expect("valid");
    assert_eq!(serde_json::to_value(&read).expect("JSON"), configuration);
    let mut with_unknown_key = configuration.clone();
    with_unknown_key["limits"]["of_later"] = 1.into();
    assert_eq!(
        Configuration::read(with_unknown_key.to_string().as_bytes()).expect("read"),
        read,
        "unknown keys are ignored"
    );
}

/// A settings file with every key, none of them with its default value.
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

/// The value of every field as text, in the order of the file. The pattern names every field, so
/// that a new one has to be added here.
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
    let address = |at: &Option<SocketAddr>| at.map_or("none".into(), |at| at.to_string());
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
        address(frontend),
        address(readiness),
        address(admin),
        memory_mb.to_string(),
        max_open_files.to_string(),
        grace_s.to_string(),
        drain_ms.to_string(),
        contact_ms.to_string(),
        join_sync_s.to_string(),
        retry_ratio.to_string(),
        retry_window_s.to_string(),
        address(&provider.as_ref().map(|p| p.address)),
    ]
}

#[test]
#[expect(clippy::too_many_lines, reason = "one scenario, told in order")]
fn every_key_of_a_settings_file_is_read_and_misspelled_keys_are_ignored() {
    let all = values(&Settings::parse(ALL).expect("every key"));
    let lines: Vec<&str> = ALL.lines().filter(|line| line.contains('=')).collect();
    assert_eq!((lines.len(), all.len()), (23, 23));
    for (line, value) in lines.iter().zip(&all) {
        let written = line.split_once(" = ").expect("a key").1;
        let plain = written.replace(['"', '[', ']'], "");
        let plain_value = value.replace(['[', ']', '(', ')'], "");
        assert_eq!(plain, plain_value, "{line}");
    }
    // (key, its value if it is missing; `None` if it is required)
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
        // A misspelled key is ignored, so the correct key is missing.
        let read = Settings::parse(&ALL.replace(&format!("{line}\n"), &format!("x{line}\n")));
        match (read, default) {
            (Ok(settings), Some(default)) => {
                let mut expected = all.clone();
                expected[at] = default.to_owned();
                assert_eq!(values(&settings), expected, "without {key}");
            }
            (Err(e), None) => {
                let why = e.to_string();
                assert!(why.contains(&format!("missing field `{key}`")), "{key}: {why}");
                assert_eq!(e.exit_code(), 2, "{key}");
            }
            (read, _) => panic!("without {key}: {read:?}"),
        }
    }
    // The same for tables, of which one is required.
    for (table, expected) in [
        ("fault_tolerance", true),
        ("listeners", false),
        ("limits", true),
        ("timing_bounds", true),
        ("provider", true),
    ] {
        let read = Settings::parse(&ALL.replace(&format!("[{table}]"), &format!("[x{table}]")));
        assert_eq!(read.is_ok(), expected, "without {table}");
    }
    for (word, kind) in [("pooler", "pooler"), ("api", "api"), ("some", "other")] {
        let text = ALL.replace("\"api\"", &format!("{word:?}"));
        assert_eq!(values(&Settings::parse(&text).expect(word))[9], kind);
    }
}
