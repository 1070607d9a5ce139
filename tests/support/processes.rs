//! Helpers that run processes of the program under test in temporary folders.
#![allow(dead_code, reason = "each test file uses a part of it")]
use crate::support::{free_port, http};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

/// A process of the program; killed when it is dropped.
pub(crate) struct Process(pub(crate) Child);
impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

/// What a process uses.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct ProcessResources {
    pub(crate) file_descriptors: u64,
    pub(crate) threads: u64,
    pub(crate) resident_kb: u64,
}

impl Process {
    pub(crate) fn run(role: &str, settings: &Path) -> Self {
        let mut command = Command::new(env!("CARGO_BIN_EXE_silvertack"));
        command.args([role, "--settings"]).arg(settings).stderr(Stdio::null());
        Self(command.spawn().expect(role))
    }
    /// Sends a signal to the process. After `-STOP` it waits until every thread has stopped: the
    /// kernel stops them after `kill` has returned, and until then they go on executing.
    pub(crate) fn signal(&self, name: &str) {
        let pid = self.0.id().to_string();
        assert!(Command::new("kill").args([name, &pid]).status().expect("kill").success());
        if name == "-STOP" {
            eventually("a stopped process", || self.is_stopped());
        }
    }
    /// What the process uses now.
    pub(crate) fn resources(&self) -> ProcessResources {
        let folder = PathBuf::from(format!("/proc/{}", self.0.id()));
        let entries = |name: &str| {
            std::fs::read_dir(folder.join(name)).map_or(0, |entries| entries.count() as u64)
        };
        let status = std::fs::read_to_string(folder.join("status")).unwrap_or_default();
        let resident = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
        let resident_kb = resident.and_then(|value| value.trim().split(' ').next()?.parse().ok());
        ProcessResources {
            file_descriptors: entries("fd"),
            threads: entries("task"),
            resident_kb: resident_kb.unwrap_or(0),
        }
    }
    /// Whether every thread of the process is stopped, by the state field in `/proc/PID/task/*/stat`.
    fn is_stopped(&self) -> bool {
        let tasks = std::fs::read_dir(format!("/proc/{}/task", self.0.id())).expect("threads");
        tasks.map(|task| task.expect("a thread").path().join("stat")).all(|stat| {
            // The state follows the thread's name, which is in parentheses.
            let stat = std::fs::read_to_string(stat).unwrap_or_default();
            stat.rsplit(") ").next().is_some_and(|fields| fields.starts_with('T'))
        })
    }
}

/// A temporary folder that is removed when it is dropped.
pub(crate) struct Folder(pub(crate) PathBuf);
impl Folder {
    pub(crate) fn new(name: &str, port: u16) -> Self {
        let folder = std::env::temp_dir().join(format!("silvertack-{name}-{port}"));
        std::fs::create_dir_all(&folder).expect("folder");
        Self(folder)
    }
    pub(crate) fn write(&self, name: &str, text: &str) -> PathBuf {
        let file = self.0.join(name);
        std::fs::write(&file, text).expect("settings");
        file
    }
}
impl Drop for Folder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

/// Waits until `check` returns true; panics after 20 s.
pub(crate) fn eventually(what: &str, mut check: impl FnMut() -> bool) {
    let start = Instant::now();
    while !check() {
        assert!(start.elapsed() < Duration::from_secs(20), "timed out waiting for: {what}");
        std::thread::sleep(Duration::from_millis(10));
    }
}

/// Three controllers, each on its own loopback address.
pub(crate) struct Controllers {
    processes: Vec<Process>,
    admin_port: u16,
    peer_port: u16,
    _folder: Folder,
}
impl Controllers {
    /// Starts the controllers and waits until there is a leader and all three are voters.
    pub(crate) fn start(name: &str) -> Self {
        let (peer_port, admin_port) = (free_port(), free_port());
        let folder = Folder::new(name, peer_port);
        let at = |n: u8, port: u16| SocketAddr::from(([127, 0, 0, n], port));
        let run = |n: u8| {
            let settings = format!(
                "node_name = \"s{n}\"\nip_address = \"127.0.0.{n}\"\nzone = \"here\"\nbootstrap = true\n\
                 port_range = [{peer_port}, {peer_port}]\nseed_nodes = [\"{}\", \"{}\", \"{}\"]\n\
                 data_path = \"{}\"\nquorum_member = true\n[listeners]\nadmin = \"{}\"\n\
                 [fault_tolerance]\nmachines = 1\n",
                at(1, admin_port),
                at(2, admin_port),
                at(3, admin_port),
                folder.0.join(n.to_string()).display(),
                at(n, admin_port),
            );
            Process::run("controller", &folder.write(&format!("{n}.toml"), &settings))
        };
        let processes = (1..=3).map(run).collect();
        let controllers = Self { processes, admin_port, peer_port, _folder: folder };
        eventually("a leader with three voters", || {
            (1..=3).any(|n| controllers.leads(n) && controllers.voters(n) == 3)
        });
        controllers
    }
    pub(crate) fn admin(&self, n: u8) -> SocketAddr {
        SocketAddr::from(([127, 0, 0, n], self.admin_port))
    }
    pub(crate) fn peer(&self, n: u8) -> SocketAddr {
        SocketAddr::from(([127, 0, 0, n], self.peer_port))
    }
    pub(crate) fn status(&self, n: u8) -> serde_json::Value {
        status(self.admin(n))
    }
    pub(crate) fn leads(&self, n: u8) -> bool {
        self.status(n)["leads"] == true
    }
    fn voters(&self, n: u8) -> usize {
        let members = self.status(n)["members"].clone();
        members.as_array().map_or(0, |m| m.iter().filter(|m| m["voter"] == true).count())
    }
    /// Waits for a leader and returns its number.
    pub(crate) fn leader(&self) -> u8 {
        let mut leader = None;
        eventually("a leader", || {
            leader = (1..=3).find(|n| self.leads(*n));
            leader.is_some()
        });
        leader.expect("found")
    }
    pub(crate) fn others(&self, leader: u8) -> impl Iterator<Item = u8> {
        (1..=3).filter(move |n| *n != leader)
    }
    pub(crate) fn signal(&self, n: u8, name: &str) {
        self.processes[usize::from(n) - 1].signal(name);
    }
}

/// The status document of a process; null if it does not respond.
pub(crate) fn status(at: SocketAddr) -> serde_json::Value {
    let response = http(at, "GET", "/status", &[], "");
    response.ok().and_then(|(_, body)| serde_json::from_str(&body).ok()).unwrap_or_default()
}
