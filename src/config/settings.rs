//! The settings file of a node in TOML, and the detection of changes to it.
//!
//! Every role reads the file at its start, when the file changes, and on SIGHUP. The names of the
//! fields are the keys of the file; unknown keys are ignored.
use crate::base::errors::Fatal;
use crate::base::ids::NodeName;
use log::{info, warn};
use serde::Deserialize;
use std::net::{IpAddr, SocketAddr};
use std::path::{Path, PathBuf};
use std::time::SystemTime;
use validator::{Validate, ValidationError};

/// The environment variable that holds the path of the settings file.
pub const SETTINGS_PATH_VARIABLE: &str = "SILVERTACK_BOOT";

/// The settings of a node.
#[derive(Clone, Debug, Deserialize, Validate)]
pub struct Settings {
    /// The name of the machine.
    #[validate(length(min = 1, max = 255))]
    pub node_name: String,
    /// The IP address of the machine.
    pub ip_address: IpAddr,
    /// The zone (failure domain) of the machine.
    #[validate(length(min = 1))]
    pub zone: String,
    /// The first and the last port that the program may use. The same on every machine.
    #[validate(custom(function = "validate_port_range"))]
    pub port_range: (u16, u16),
    /// The admin addresses of the controllers that a node contacts first.
    #[validate(length(min = 1), custom(function = "validate_seed_nodes"))]
    pub seed_nodes: Vec<SocketAddr>,
    /// Whether the first seed may bootstrap the Raft cluster. Set for the first start only.
    #[serde(default)]
    pub bootstrap: bool,
    /// The folder in which a controller stores its state. A controller without it never votes.
    #[serde(default)]
    pub data_path: Option<PathBuf>,
    /// Whether this machine counts towards the fault tolerance. Controllers on other machines never
    /// vote.
    #[serde(default = "default_quorum_member")]
    pub quorum_member: bool,
    /// The number of concurrent machine failures that the system must tolerate.
    #[validate(nested)]
    #[serde(default)]
    pub fault_tolerance: FaultTolerance,
    /// The interval of the databases' heartbeats, in milliseconds.
    #[serde(default = "default_heartbeat_ms")]
    #[validate(range(min = 1, max = 600_000))]
    pub heartbeat_ms: u64,
    /// The addresses at which the node accepts connections.
    #[validate(nested)]
    pub listeners: Listeners,
    /// The resource limits of the process.
    #[validate(nested)]
    #[serde(default)]
    pub limits: Limits,
    /// The time bounds of the deployment.
    #[validate(nested)]
    #[serde(default)]
    pub timing_bounds: TimingBounds,
    /// The platform that performs failovers.
    #[serde(default)]
    pub provider: Option<Provider>,
    /// The kind of deployment.
    #[serde(default)]
    pub rollout: Rollout,
}

/// The kind of deployment.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Rollout {
    /// A connection pooler: each service has a primary.
    #[default]
    Pooler,
    /// An API gateway: the databases of a service are equivalent.
    Api,
    /// A kind that this version does not know; treated like `Pooler`.
    #[serde(other)]
    Other,
}

/// The addresses that a node listens on.
#[derive(Clone, Debug, Default, Deserialize, Validate)]
pub struct Listeners {
    /// The address for clients.
    pub frontend: Option<SocketAddr>,
    /// The address for readiness checks.
    pub readiness: Option<SocketAddr>,
    /// The address for operators and databases; only controllers use it.
    pub admin: Option<SocketAddr>,
}

/// The resource limits of a process.
#[derive(Clone, Debug, Deserialize, Validate)]
#[serde(default)]
pub struct Limits {
    /// The memory limit in MiB. Validated, but not enforced by the program.
    #[validate(range(min = 16))]
    pub memory_mb: u64,
    /// The maximum number of open files, including sockets.
    #[validate(range(min = 64))]
    pub max_open_files: u64,
}

impl Default for Limits {
    fn default() -> Self {
        Self { memory_mb: 256, max_open_files: 1024 }
    }
}

/// The time bounds of a deployment.
#[derive(Clone, Debug, Deserialize, Validate)]
#[serde(default)]
pub struct TimingBounds {
    /// The grace period of a shutdown, in seconds.
    #[validate(range(min = 1, max = 3600))]
    pub grace_s: u64,
    /// How long a database may still receive new work after it started draining, in milliseconds.
    #[validate(range(min = 100))]
    pub drain_ms: u64,
    /// A time in milliseconds that is validated, but not used by the program.
    #[validate(range(min = 100))]
    pub contact_ms: u64,
    /// How long a machine still counts as failed after its return, in seconds.
    #[validate(range(min = 1, max = 3600))]
    pub join_sync_s: u64,
    /// The maximum fraction of the requests to a service that all nodes together may send once
    /// more in any window of `retry_window_s`. The deployment also allows a fixed number,
    /// `retry_slack`, which the program does not read.
    #[validate(range(min = 0.0, max = 1.0))]
    pub retry_ratio: f64,
    /// The window of the retry budget, in seconds. Validated, but not used by the program: its
    /// budget holds in any window.
    #[validate(range(min = 1, max = 3600))]
    pub retry_window_s: u64,
}

impl Default for TimingBounds {
    fn default() -> Self {
        Self {
            grace_s: 6,
            drain_ms: 7000,
            contact_ms: 4000,
            join_sync_s: 4,
            retry_ratio: 0.2,
            retry_window_s: 10,
        }
    }
}

/// The failures that the system must tolerate.
#[derive(Clone, Debug, Default, Deserialize, Validate)]
#[serde(default)]
pub struct FaultTolerance {
    /// The number of machines that may fail at the same time.
    #[validate(range(max = 100))]
    pub machines: u64,
}

/// The platform that performs failovers.
#[derive(Clone, Debug, Deserialize)]
pub struct Provider {
    /// The address of its HTTP interface.
    pub address: SocketAddr,
}

fn default_quorum_member() -> bool {
    true
}

fn default_heartbeat_ms() -> u64 {
    1000
}

fn validate_seed_nodes(seeds: &[SocketAddr]) -> Result<(), ValidationError> {
    if seeds.iter().any(|seed| seed.port() == 0 || seed.ip().is_unspecified()) {
        return Err(ValidationError::new("seeds_with_address_and_port"));
    }
    Ok(())
}

fn validate_port_range(range: &(u16, u16)) -> Result<(), ValidationError> {
    let (first, last) = *range;
    if first == 0 || last < first {
        return Err(ValidationError::new("ports_in_order"));
    }
    Ok(())
}

impl Settings {
    /// Decodes and validates the text of a settings file.
    ///
    /// # Errors
    /// [`Fatal::Settings`] with a one-line message that contains the invalid key.
    pub fn parse(text: &str) -> Result<Self, Fatal> {
        let settings: Settings =
            toml::from_str(text).map_err(|e| Fatal::Settings(one_line(&e.to_string())))?;
        settings.validate().map_err(|e| Fatal::Settings(one_line(&e.to_string())))?;
        Ok(settings)
    }

    /// Reads a settings file.
    ///
    /// # Errors
    /// [`Fatal::Settings`] with the path and the reason why the file can't be read or is not valid.
    pub fn read(path: &Path) -> Result<Self, Fatal> {
        let text = std::fs::read_to_string(path)
            .map_err(|e| Fatal::Settings(format!("{}: {e}", path.display())))?;
        Self::parse(&text).map_err(|e| match e {
            Fatal::Settings(why) => Fatal::Settings(format!("{}: {why}", path.display())),
            other => other,
        })
    }

    /// The path of the settings file: from the command line if given, otherwise from the
    /// environment variable [`SETTINGS_PATH_VARIABLE`].
    ///
    /// # Errors
    /// [`Fatal::Settings`] if neither contains a path.
    pub fn path(flag: Option<PathBuf>) -> Result<PathBuf, Fatal> {
        flag.or_else(|| std::env::var_os(SETTINGS_PATH_VARIABLE).map(PathBuf::from)).ok_or_else(
            || {
                Fatal::Settings(format!(
                    "no --settings given and {SETTINGS_PATH_VARIABLE} is not set"
                ))
            },
        )
    }

    /// The name of the machine.
    pub fn node(&self) -> NodeName {
        NodeName(self.node_name.clone())
    }

    /// The port on which controllers accept connections from nodes and other controllers: the first
    /// port of the range, which is the same on every machine.
    pub fn peer_port(&self) -> u16 {
        self.port_range.0
    }

    /// Whether a controller on this machine may vote.
    pub fn can_vote(&self) -> bool {
        self.data_path.is_some() && self.quorum_member
    }

    /// The admin address of the seed that bootstraps the Raft cluster at the first start of the
    /// system.
    pub fn bootstrap_seed(&self) -> Option<SocketAddr> {
        self.seed_nodes.iter().min().copied().filter(|_| self.bootstrap)
    }

    /// The number of concurrent machine failures that the system must tolerate.
    pub fn tolerated_failures(&self) -> usize {
        self.fault_tolerance.machines as usize
    }

    /// How long a voter that is not needed for the fault tolerance may be unreachable before it is
    /// removed, in milliseconds: half of `join_sync_s`. The replacement of a failed machine counts
    /// after `join_sync_s`, and further machines may fail from then on. If the failed voter were
    /// still a member, the remaining voters might not form a quorum.
    pub fn voter_removal_timeout_ms(&self) -> u64 {
        500 * self.timing_bounds.join_sync_s
    }

    /// The peer addresses of the seeds, at which nodes search for the leader.
    pub fn seed_peers(&self) -> Vec<SocketAddr> {
        let port = self.peer_port();
        self.seed_nodes.iter().map(|seed| SocketAddr::new(seed.ip(), port)).collect()
    }
}

fn one_line(text: &str) -> String {
    text.split_whitespace().collect::<Vec<_>>().join(" ")
}

/// Detects changes of the settings file and reloads it.
pub struct SettingsWatcher {
    path: PathBuf,
    /// The version of the file at the last attempt to read it.
    version: Option<FileVersion>,
}

/// File metadata that changes when the file is written.
#[derive(Clone, Copy, PartialEq, Eq)]
struct FileVersion {
    modified: SystemTime,
    length: u64,
}

impl FileVersion {
    /// The version of a file; `None` if its metadata can't be read.
    fn of(path: &Path) -> Option<Self> {
        let metadata = std::fs::metadata(path).ok()?;
        Some(Self { modified: metadata.modified().ok()?, length: metadata.len() })
    }
}

impl SettingsWatcher {
    /// Creates a watcher for a file that has just been read.
    pub fn new(path: PathBuf) -> Self {
        let version = FileVersion::of(&path);
        Self { path, version }
    }

    /// Reads the settings if the file has changed or `reload_requested` is set; `None` if there is
    /// no reason to reload, or the file is not valid.
    pub fn poll(&mut self, reload_requested: bool) -> Option<Settings> {
        let version = FileVersion::of(&self.path);
        if !reload_requested && version == self.version {
            return None;
        }
        self.version = version;
        match Settings::read(&self.path) {
            Ok(settings) => {
                info!(target: "settings", "{} reloaded", self.path.display());
                Some(settings)
            }
            Err(e) => {
                warn!(target: "settings", "reload failed, current settings stay in force: {e}");
                None
            }
        }
    }
}
