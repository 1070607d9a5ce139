//! The settings file of a node, in TOML, and the watch for changes of it.
//!
//! Every role reads it at the start, and again when the file changes or on SIGHUP. Keys of the file
//! are the names of the fields; unknown keys are ignored.
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
    /// The address of the machine.
    pub ip_address: IpAddr,
    /// The zone that the machine stands in.
    #[validate(length(min = 1))]
    pub zone: String,
    /// The first and the last port that the program may use; the same on every machine.
    #[validate(custom(function = "validate_port_range"))]
    pub port_range: (u16, u16),
    /// The admin addresses of the controllers that a node asks first.
    #[validate(length(min = 1), custom(function = "validate_seed_nodes"))]
    pub seed_nodes: Vec<SocketAddr>,
    /// Whether the first seed may found the Raft group; set for the first start only.
    #[serde(default)]
    pub bootstrap: bool,
    /// Where a controller stores its state; one without it never votes.
    #[serde(default)]
    pub data_path: Option<PathBuf>,
    /// Whether the loss of this machine counts; a controller on another machine never votes.
    #[serde(default = "default_quorum_member")]
    pub quorum_member: bool,
    /// How many machines may be lost at once.
    #[validate(nested)]
    #[serde(default)]
    pub fault_tolerance: FaultTolerance,
    /// The interval of the databases' heartbeats, in milliseconds.
    #[serde(default = "default_heartbeat_ms")]
    #[validate(range(min = 1, max = 600_000))]
    pub heartbeat_ms: u64,
    /// Where the node accepts connections.
    #[validate(nested)]
    pub listeners: Listeners,
    /// What the process may use.
    #[validate(nested)]
    #[serde(default)]
    pub limits: Limits,
    /// Time bounds of the deployment.
    #[validate(nested)]
    #[serde(default)]
    pub timing_bounds: TimingBounds,
    /// The platform that carries out failovers.
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
    /// Client sessions are pooled onto databases; each service has a primary.
    #[default]
    Pooler,
    /// A gateway; the databases of a service are equal.
    Api,
    /// A kind that this version does not know; handled like `Pooler`.
    #[serde(other)]
    Other,
}

/// The addresses that a node listens on.
#[derive(Clone, Debug, Default, Deserialize, Validate)]
pub struct Listeners {
    /// For clients.
    pub frontend: Option<SocketAddr>,
    /// For readiness checks.
    pub readiness: Option<SocketAddr>,
    /// For operators and databases, at controllers.
    pub admin: Option<SocketAddr>,
}

/// What the process may use.
#[derive(Clone, Debug, Deserialize, Validate)]
#[serde(default)]
pub struct Limits {
    /// Memory, in MiB. Validated, but not enforced by the program.
    #[validate(range(min = 16))]
    pub memory_mb: u64,
    /// Open files, sockets included.
    #[validate(range(min = 64))]
    pub max_open_files: u64,
}

impl Default for Limits {
    fn default() -> Self {
        Self { memory_mb: 256, max_open_files: 1024 }
    }
}

/// Time bounds of the deployment.
#[derive(Clone, Debug, Deserialize, Validate)]
#[serde(default)]
pub struct TimingBounds {
    /// How long a node may take to shut down, in seconds.
    #[validate(range(min = 1, max = 3600))]
    pub grace_s: u64,
    /// How long a database may still get new work after it began to drain, in milliseconds.
    #[validate(range(min = 100))]
    pub drain_ms: u64,
    /// Validated, but not used by the program; in milliseconds.
    #[validate(range(min = 100))]
    pub contact_ms: u64,
    /// How long a machine still counts as lost after it returned, in seconds.
    #[validate(range(min = 1, max = 3600))]
    pub join_sync_s: u64,
    /// Over any `retry_window_s`, all nodes together may send this fraction of the requests, and
    /// `retry_slack` more, to a second database.
    #[validate(range(min = 0.0, max = 1.0))]
    pub retry_ratio: f64,
    /// The window of the retry budget, in seconds.
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

/// How much may be lost at once.
#[derive(Clone, Debug, Default, Deserialize, Validate)]
#[serde(default)]
pub struct FaultTolerance {
    /// Machines.
    #[validate(range(max = 100))]
    pub machines: u64,
}

/// The platform that carries out failovers.
#[derive(Clone, Debug, Deserialize)]
pub struct Provider {
    /// Where it accepts calls.
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
    /// `Fatal::Settings` with one line that names the wrong key.
    pub fn parse(text: &str) -> Result<Self, Fatal> {
        let settings: Settings =
            toml::from_str(text).map_err(|e| Fatal::Settings(one_line(&e.to_string())))?;
        settings.validate().map_err(|e| Fatal::Settings(one_line(&e.to_string())))?;
        Ok(settings)
    }

    /// Reads a settings file.
    ///
    /// # Errors
    /// `Fatal::Settings` with the path, and why the file can't be read or is not valid.
    pub fn read(path: &Path) -> Result<Self, Fatal> {
        let text = std::fs::read_to_string(path)
            .map_err(|e| Fatal::Settings(format!("{}: {e}", path.display())))?;
        Self::parse(&text).map_err(|e| match e {
            Fatal::Settings(why) => Fatal::Settings(format!("{}: {why}", path.display())),
            other => other,
        })
    }

    /// The path of the settings file: from the command line if given, else from the environment.
    ///
    /// # Errors
    /// `Fatal::Settings` if neither gives one.
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

    /// Where controllers listen for nodes and other controllers: the first port of the range, the
    /// same on every machine.
    pub fn peer_port(&self) -> u16 {
        self.port_range.0
    }

    /// Whether a controller here may vote.
    pub fn can_vote(&self) -> bool {
        self.data_path.is_some() && self.quorum_member
    }

    /// The seed that founds the Raft group when the system starts for the first time.
    pub fn founder(&self) -> Option<SocketAddr> {
        self.seed_nodes.iter().min().copied().filter(|_| self.bootstrap)
    }

    /// How many machines may be lost at once.
    pub fn tolerated(&self) -> usize {
        self.fault_tolerance.machines as usize
    }

    /// How long a voter beyond those needed may be silent before it is removed, in milliseconds:
    /// half of `join_sync_s`. A machine that replaces it counts after `join_sync_s`, and from then
    /// on others may be lost again; with the lost voter still a member, the remaining ones might be
    /// no quorum.
    pub fn silent_voter_ms(&self) -> u64 {
        500 * self.timing_bounds.join_sync_s
    }

    /// The addresses at which nodes ask the seeds for the leader.
    pub fn seed_peers(&self) -> Vec<SocketAddr> {
        let port = self.peer_port();
        self.seed_nodes.iter().map(|seed| SocketAddr::new(seed.ip(), port)).collect()
    }
}

fn one_line(text: &str) -> String {
    text.split_whitespace().collect::<Vec<_>>().join(" ")
}

/// Detects changes of the settings file, on SIGHUP or without.
pub struct SettingsWatcher {
    path: PathBuf,
    /// The version that was last read, or attempted to.
    version: Option<FileVersion>,
}

/// What changes when a file is written.
#[derive(Clone, Copy, PartialEq, Eq)]
struct FileVersion {
    modified: SystemTime,
    length: u64,
}

impl FileVersion {
    /// The version of a file; none if it can't be examined.
    fn of(path: &Path) -> Option<Self> {
        let metadata = std::fs::metadata(path).ok()?;
        Some(Self { modified: metadata.modified().ok()?, length: metadata.len() })
    }
}

impl SettingsWatcher {
    /// Watches a file that has just been read.
    pub fn new(path: PathBuf) -> Self {
        let version = FileVersion::of(&path);
        Self { path, version }
    }

    /// New settings if the file has changed, or `reload_requested` is set, and it is valid.
    pub fn poll(&mut self, reload_requested: bool) -> Option<Settings> {
        let version = FileVersion::of(&self.path);
        if !reload_requested && version == self.version {
            return None;
        }
        self.version = version;
        match Settings::read(&self.path) {
            Ok(settings) => {
                info!(target: "settings", "reloaded");
                Some(settings)
            }
            Err(e) => {
                warn!(target: "settings", "reload failed, the old settings stay in force: {e}");
                None
            }
        }
    }
}
