//! The processes of a soak, and the stand-in databases that serve them.
use super::releases::{DRAIN_MS, ReleaseStates};
use super::{Plan, Role, Timeline};
use crate::stand_in_endpoints::StandInEndpoints;
use crate::support::{StandIn, free_port};
use rustix::process::{Pid, Signal, kill_process};
use silvertack::net::http;
use std::fs::{File, OpenOptions};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

const CONTROLLERS: u8 = 3;
const ENDPOINTS: usize = 6;
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(400);
const CALL_TIMEOUT: Duration = Duration::from_secs(1);

/// The grace period of the processes, in seconds.
pub(crate) const GRACE_S: u64 = 3;

/// A process that is restarted with the same settings.
pub(crate) struct Machine {
    pub(crate) name: String,
    role: &'static str,
    program: PathBuf,
    settings: PathBuf,
    log: PathBuf,
    /// The admin address of a controller.
    pub(crate) admin: SocketAddr,
    /// The client address of a pooler or gateway.
    pub(crate) frontend: SocketAddr,
    readiness: SocketAddr,
    process: Mutex<Option<Child>>,
    /// Held by the event that restarts or stops the process.
    pub(crate) in_event: Mutex<()>,
}

impl Machine {
    pub(crate) fn is_controller(&self) -> bool {
        self.role == "controller"
    }

    /// Starts the process; its log is appended to that of the one before.
    pub(crate) fn start(&self) {
        let log = OpenOptions::new().create(true).append(true).open(&self.log).expect("log file");
        let child = Command::new(&self.program)
            .args([self.role, "--settings"])
            .arg(&self.settings)
            .stderr(log)
            .spawn()
            .expect("the program");
        *self.process.lock().expect("process") = Some(child);
    }

    /// Sends a signal, if the process runs.
    pub(crate) fn signal(&self, signal: Signal) {
        if let Some(child) = &*self.process.lock().expect("process") {
            // Fails if the process has ended.
            let _ = kill_process(Pid::from_child(child), signal);
        }
    }

    /// Waits until the process has ended. Returns false if it still runs after `timeout`.
    pub(crate) fn await_exit(&self, timeout: Duration) -> bool {
        let until = Instant::now() + timeout;
        while Instant::now() < until {
            let mut process = self.process.lock().expect("process");
            match process.as_mut().map(Child::try_wait) {
                Some(Ok(None)) => {}
                _ => return true,
            }
            drop(process);
            std::thread::sleep(Duration::from_millis(10));
        }
        false
    }

    /// The id of the process, and the folder in which the kernel describes it.
    pub(crate) fn process_folder(&self) -> Option<(u32, PathBuf)> {
        let process = self.process.lock().expect("process");
        let id = process.as_ref()?.id();
        Some((id, PathBuf::from(format!("/proc/{id}"))))
    }

    fn get(&self, path: &str) -> Option<http::Response> {
        http::call(self.readiness, "GET", path, &[], &[], CALL_TIMEOUT).ok()
    }

    fn is_ready(&self) -> bool {
        self.get("/readiness").is_some_and(|response| response.status == 200)
    }

    /// The revision of the configuration that is in force.
    fn revision(&self) -> Option<u64> {
        let status: serde_json::Value = serde_json::from_slice(&self.get("/status")?.body).ok()?;
        status["revision"].as_u64()
    }

    /// The signal that ends a process without a chance to say goodbye.
    pub(crate) fn kill(&self) {
        self.signal(Signal::KILL);
        self.await_exit(Duration::from_secs(5));
    }
}

impl Drop for Machine {
    fn drop(&mut self) {
        if let Some(child) = self.process.get_mut().expect("process") {
            // Both fail if the process has ended.
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

/// The databases behind the poolers or gateways.
pub(crate) enum Databases {
    Sessions(Arc<StandIn>),
    Requests(Arc<StandInEndpoints>),
}

impl Databases {
    pub(crate) fn count(&self) -> usize {
        match self {
            Self::Sessions(databases) => databases.addresses.len(),
            Self::Requests(endpoints) => endpoints.addresses.len(),
        }
    }

    pub(crate) fn id(&self, database: usize) -> String {
        match self {
            Self::Sessions(databases) => databases.id(database),
            Self::Requests(endpoints) => endpoints.id(database),
        }
    }

    /// Gives a database a new id, as each of its starts does.
    pub(crate) fn begin_life(&self, database: usize) {
        match self {
            Self::Sessions(databases) => databases.begin_life(database),
            Self::Requests(endpoints) => endpoints.begin_life(database),
        }
    }

    /// The body of the next heartbeat of a database.
    pub(crate) fn heartbeat(&self, database: usize, lifecycle_state: &str) -> String {
        static SEQUENCE: AtomicU64 = AtomicU64::new(1);
        let sequence = SEQUENCE.fetch_add(1, Ordering::SeqCst);
        match self {
            Self::Sessions(databases) => {
                databases.heartbeat_in_state(database, sequence, lifecycle_state)
            }
            Self::Requests(endpoints) => endpoints.heartbeat(database, sequence, lifecycle_state),
        }
    }

    /// How many requests of clients, or statements outside a transaction, reached a database within
    /// a time.
    pub(crate) fn arrivals(&self, database: usize, from: Instant, to: Instant) -> usize {
        match self {
            Self::Sessions(databases) => databases.arrivals(database, from, to),
            Self::Requests(endpoints) => endpoints.arrivals(database, from, to),
        }
    }
}

/// All processes of a soak.
pub(crate) struct Deployment {
    pub(crate) controllers: Vec<Machine>,
    /// The poolers or gateways.
    pub(crate) nodes: Vec<Machine>,
    pub(crate) databases: Arc<Databases>,
    pub(crate) release_states: Arc<ReleaseStates>,
    folder: PathBuf,
    heartbeats_stopped: Arc<AtomicBool>,
}

impl Deployment {
    /// Starts the processes and waits until they are ready.
    pub(crate) fn start(plan: &Plan, program: &Path, timeline: &Timeline) -> Self {
        let folder =
            std::env::temp_dir().join(format!("silvertack-soak-{}-{}", plan.seed, free_port()));
        std::fs::create_dir_all(&folder).expect("folder");
        let databases = match plan.role {
            Role::Pooler => Databases::Sessions(StandIn::start("ledger", 3).expect("databases")),
            Role::Gateway => {
                Databases::Requests(StandInEndpoints::start("query", ENDPOINTS).expect("endpoints"))
            }
        };
        let provider = match &databases {
            Databases::Sessions(databases) => {
                format!("[provider]\naddress = \"{}\"\n", databases.platform)
            }
            Databases::Requests(_) => String::new(),
        };
        let peer_port = free_port();
        let settings =
            SettingsWriter { folder: &folder, program, role: plan.role, provider, peer_port };
        // Controllers find each other's peer port by the number that all have in common.
        let admin_port = free_port();
        let admins: Vec<SocketAddr> = (1..=CONTROLLERS)
            .map(|host| SocketAddr::from(([127, 0, 0, host], admin_port)))
            .collect();
        let controllers: Vec<Machine> = admins
            .iter()
            .enumerate()
            .map(|(n, admin)| {
                settings.machine(&format!("controller-{n}"), "controller", *admin, &admins)
            })
            .collect();
        let role = match plan.role {
            Role::Pooler => "pooler",
            Role::Gateway => "gateway",
        };
        let nodes: Vec<Machine> = (0..plan.nodes)
            .map(|n| settings.machine(&format!("node-{n}"), role, local(free_port()), &admins))
            .collect();
        controllers.iter().chain(&nodes).for_each(Machine::start);
        timeline.note(&format!("started {plan:?}"));
        let heartbeats_stopped = Arc::new(AtomicBool::new(false));
        let deployment = Self {
            controllers,
            nodes,
            databases: Arc::new(databases),
            release_states: Arc::default(),
            folder,
            heartbeats_stopped,
        };
        deployment.send_heartbeats(admins);
        deployment
    }

    /// Sends heartbeats of all databases, to one controller after the other.
    fn send_heartbeats(&self, admins: Vec<SocketAddr>) {
        let stopped = Arc::clone(&self.heartbeats_stopped);
        let databases = Arc::clone(&self.databases);
        let states = Arc::clone(&self.release_states);
        std::thread::spawn(move || {
            while !stopped.load(Ordering::SeqCst) {
                for database in 0..databases.count() {
                    let Some(state) = states.lifecycle_state(database) else { continue };
                    let path = format!("/instances/{}", databases.id(database));
                    call_any(&admins, "PUT", &path, &[], &databases.heartbeat(database, state));
                }
                std::thread::sleep(HEARTBEAT_INTERVAL);
            }
        });
    }

    pub(crate) fn machines(&self) -> impl Iterator<Item = &Machine> {
        self.controllers.iter().chain(&self.nodes)
    }

    pub(crate) fn admins(&self) -> Vec<SocketAddr> {
        self.controllers.iter().map(|controller| controller.admin).collect()
    }

    /// Waits until all poolers or gateways are ready. Returns those that are not after `timeout`.
    pub(crate) fn await_ready(&self, timeout: Duration) -> Vec<String> {
        self.await_nodes(timeout, Machine::is_ready)
    }

    /// Waits until a revision, or a newer one, is in force everywhere. Returns where it is not after
    /// `timeout`.
    pub(crate) fn await_revision(&self, revision: u64, timeout: Duration) -> Vec<String> {
        self.await_nodes(timeout, |node| node.revision().is_some_and(|known| known >= revision))
    }

    fn await_nodes(&self, timeout: Duration, holds: impl Fn(&Machine) -> bool) -> Vec<String> {
        let until = Instant::now() + timeout;
        let mut waiting: Vec<&Machine> = self.nodes.iter().collect();
        loop {
            waiting.retain(|node| !holds(node));
            if waiting.is_empty() || Instant::now() >= until {
                return waiting.iter().map(|node| node.name.clone()).collect();
            }
            std::thread::sleep(Duration::from_millis(20));
        }
    }

    /// Writes the timeline beside the logs of the processes, and keeps the folder.
    pub(crate) fn keep_logs(&self, timeline: &Timeline) -> PathBuf {
        let kept = self.folder.with_extension("broken");
        std::fs::write(self.folder.join("timeline.txt"), timeline.text()).expect("timeline");
        std::fs::rename(&self.folder, &kept).expect("the folder is kept");
        kept
    }
}

impl Drop for Deployment {
    fn drop(&mut self) {
        self.heartbeats_stopped.store(true, Ordering::SeqCst);
        self.nodes.clear();
        self.controllers.clear();
        // Fails if the folder was kept.
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

fn local(port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], port))
}

/// Writes the settings file of each process.
struct SettingsWriter<'a> {
    folder: &'a Path,
    program: &'a Path,
    role: Role,
    provider: String,
    peer_port: u16,
}

impl SettingsWriter<'_> {
    fn machine(
        &self,
        name: &str,
        role: &'static str,
        admin: SocketAddr,
        seeds: &[SocketAddr],
    ) -> Machine {
        let (frontend, readiness, peer) = (free_port(), free_port(), self.peer_port);
        let rollout = match self.role {
            Role::Pooler => "pooler",
            Role::Gateway => "api",
        };
        let listeners = match role {
            "controller" => format!("admin = \"{admin}\"\n"),
            _ => format!(
                "frontend = \"{}\"\nreadiness = \"{}\"\n",
                local(frontend),
                local(readiness)
            ),
        };
        let is_controller = role == "controller";
        let text = format!(
            "node_name = \"{name}\"\nip_address = \"{}\"\nzone = \"here\"\n\
             bootstrap = {is_controller}\nquorum_member = {is_controller}\n\
             rollout = \"{rollout}\"\nport_range = [{peer}, {peer}]\nseed_nodes = {:?}\n\
             data_path = \"{}\"\n{}[listeners]\n{listeners}[fault_tolerance]\nmachines = 1\n\
             [timing_bounds]\ngrace_s = {GRACE_S}\ndrain_ms = {DRAIN_MS}\n",
            admin.ip(),
            seeds.iter().map(ToString::to_string).collect::<Vec<_>>(),
            self.folder.join(name).display(),
            self.provider,
        );
        let settings = self.folder.join(format!("{name}.toml"));
        std::fs::write(&settings, text).expect("settings");
        let log = self.folder.join(format!("{name}.log"));
        File::create(&log).expect("log file");
        Machine {
            name: name.to_owned(),
            role,
            program: self.program.to_owned(),
            settings,
            log,
            admin,
            frontend: local(frontend),
            readiness: local(readiness),
            process: Mutex::new(None),
            in_event: Mutex::new(()),
        }
    }
}

/// Calls the controllers one after the other until one answers with anything but a redirect or an
/// error of its own. Follows one redirect.
pub(crate) fn call_any(
    admins: &[SocketAddr],
    method: &str,
    path: &str,
    headers: &[(&str, String)],
    body: &str,
) -> Option<http::Response> {
    let call = |to| http::call(to, method, path, headers, body.as_bytes(), CALL_TIMEOUT).ok();
    for admin in admins {
        let response = call(*admin);
        let redirect = response.as_ref().and_then(|response| response.location.as_deref());
        let leader = redirect
            .and_then(|location| location.strip_prefix("http://")?.split('/').next()?.parse().ok());
        let response = match leader {
            Some(leader) => call(leader),
            None => response,
        };
        if let Some(response) = response.filter(|r| r.status < 500 && r.status != 307) {
            return Some(response);
        }
    }
    None
}
