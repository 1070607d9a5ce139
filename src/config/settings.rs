//! The settings file of a node.
use crate::base::errors::Fatal;
use crate::base::ids::NodeName;
use log::{info, warn};
use serde::Deserialize;
use std::net::{IpAddr, SocketAddr};
use std::path::{Path, PathBuf};
use std::time::SystemTime;
use validator::{Validate, ValidationError};

/// The variable that holds the path of the settings file.
pub const BOOT: &str = "SILVERTACK_BOOT";

#[derive(Clone, Debug, Deserialize, Validate)]
pub struct Settings {
    #[validate(length(min = 1, max = 255))]
    pub node_name: String,
    pub ip_address: IpAddr,
    #[validate(length(min = 1))]
    pub zone: String,
    #[validate(custom(function = "ordered_ports"))]
    pub port_range: (u16, u16),
    #[validate(length(min = 1), custom(function = "real_places"))]
    pub seed_nodes: Vec<SocketAddr>,
    #[serde(default)]
    pub bootstrap: bool,
    #[serde(default)]
    pub data_path: Option<PathBuf>,
    /// Whether the loss of this machine counts; a controller elsewhere votes on nothing.
    #[serde(default = "yes")]
    pub quorum_member: bool,
    #[validate(nested)]
    #[serde(default)]
    pub fault_tolerance: FaultTolerance,
    #[serde(default = "default_heartbeat")]
    #[validate(range(min = 1, max = 600_000))]
    pub heartbeat_ms: u64,
    #[validate(nested)]
    pub listeners: Listeners,
    #[validate(nested)]
    #[serde(default)]
    pub limits: Limits,
    #[validate(nested)]
    #[serde(default)]
    pub timing_bounds: TimingBounds,
    #[serde(default)]
    pub provider: Option<Provider>,
    /// The kind of deployment.
    #[serde(default)]
    pub rollout: Rollout,
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Rollout {
    /// Sessions pooled onto databases; each service has a primary.
    #[default]
    Pooler,
    /// A gateway; the databases of a service are alike.
    Api,
    /// A kind that this version does not know of is played like the first.
    #[serde(other)]
    Other,
}

#[derive(Clone, Debug, Default, Deserialize, Validate)]
pub struct Listeners {
    pub frontend: Option<SocketAddr>,
    pub readiness: Option<SocketAddr>,
    pub admin: Option<SocketAddr>,
}

#[derive(Clone, Debug, Deserialize, Validate)]
#[serde(default)]
pub struct Limits {
    #[validate(range(min = 16))]
    pub memory_mb: u64,
    #[validate(range(min = 64))]
    pub max_open_files: u64,
}

impl Default for Limits {
    fn default() -> Self {
        Self { memory_mb: 256, max_open_files: 1024 }
    }
}

#[derive(Clone, Debug, Deserialize, Validate)]
#[serde(default)]
pub struct TimingBounds {
    #[validate(range(min = 1, max = 3600))]
    pub grace_s: u64,
    #[validate(range(min = 100))]
    pub drain_ms: u64,
    #[validate(range(min = 100))]
    pub contact_ms: u64,
    /// A machine that returns counts as lost for this long.
    #[validate(range(min = 1, max = 3600))]
    pub join_sync_s: u64,
    /// Over any `retry_window_s`, all nodes together may send a part of the requests to a second
    /// database, and `retry_slack` more.
    #[validate(range(min = 0.0, max = 1.0))]
    pub retry_ratio: f64,
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
    #[validate(range(max = 100))]
    pub machines: u64,
}

#[derive(Clone, Debug, Deserialize)]
pub struct Provider {
    pub address: SocketAddr,
}

fn yes() -> bool {
    true
}

fn default_heartbeat() -> u64 {
    1000
}

fn real_places(seeds: &[SocketAddr]) -> Result<(), ValidationError> {
    if seeds.iter().any(|s| s.port() == 0 || s.ip().is_unspecified()) {
        return Err(ValidationError::new("seeds_with_address_and_port"));
    }
    Ok(())
}

fn ordered_ports(range: &(u16, u16)) -> Result<(), ValidationError> {
    if range.0 == 0 || range.1 < range.0 {
        return Err(ValidationError::new("ports_in_order"));
    }
    Ok(())
}

impl Settings {
    pub fn parse(text: &str) -> Result<Self, Fatal> {
        let settings: Settings =
            toml::from_str(text).map_err(|e| Fatal::Settings(one_line(&e.to_string())))?;
        settings.validate().map_err(|e| Fatal::Settings(one_line(&e.to_string())))?;
        Ok(settings)
    }
    pub fn read(path: &Path) -> Result<Self, Fatal> {
        let text = std::fs::read_to_string(path)
            .map_err(|e| Fatal::Settings(format!("{}: {e}", path.display())))?;
        Self::parse(&text).map_err(|e| match e {
            Fatal::Settings(why) => Fatal::Settings(format!("{}: {why}", path.display())),
            other => other,
        })
    }
    /// From the flag if given, else from the variable of the environment.
    pub fn path(flag: Option<PathBuf>) -> Result<PathBuf, Fatal> {
        flag.or_else(|| std::env::var_os(BOOT).map(PathBuf::from))
            .ok_or_else(|| Fatal::Settings(format!("no --settings given and {BOOT} is not set")))
    }
    pub fn node(&self) -> NodeName {
        NodeName(self.node_name.clone())
    }
    /// Where controllers listen for peers: the first port of the range, on every machine the same.
    pub fn peer_port(&self) -> u16 {
        self.port_range.0
    }
    /// Whether a controller here may vote.
    pub fn can_vote(&self) -> bool {
        self.data_path.is_some() && self.quorum_member
    }
    /// The seed that founds the Raft group, when the system starts for the first time.
    pub fn founder(&self) -> Option<SocketAddr> {
        self.seed_nodes.iter().min().copied().filter(|_| self.bootstrap)
    }
    pub fn tolerated(&self) -> usize {
        self.fault_tolerance.machines as usize
    }
    /// A voter beyond those needed that is silent for this long is removed. A machine that replaces it
    /// counts once it is there for `join_sync_s`, and from then on others may be lost again: with the
    /// lost voter still among them, too few might be left to agree.
    pub fn given_up_ms(&self) -> u64 {
        500 * self.timing_bounds.join_sync_s
    }
    pub fn seed_peers(&self) -> Vec<SocketAddr> {
        self.seed_nodes.iter().map(|s| SocketAddr::new(s.ip(), self.peer_port())).collect()
    }
}

fn one_line(text: &str) -> String {
    text.split_whitespace().collect::<Vec<_>>().join(" ")
}

/// Looks for a changed settings file, after SIGHUP or without one.
pub struct Watched {
    path: PathBuf,
    seen: Option<(SystemTime, u64)>,
}

impl Watched {
    pub fn new(path: PathBuf) -> Self {
        let seen = stamp(&path);
        Self { path, seen }
    }
    /// New settings if the file changed (or `told` says so) and they are valid.
    pub fn poll(&mut self, told: bool) -> Option<Settings> {
        let stamp = stamp(&self.path);
        if !told && stamp == self.seen {
            return None;
        }
        self.seen = stamp;
        match Settings::read(&self.path) {
            Ok(settings) => {
                info!(target: "settings", "read again");
                Some(settings)
            }
            Err(e) => {
                warn!(target: "settings", "kept the old ones: {e}");
                None
            }
        }
    }
}

pub(crate) fn stamp(path: &Path) -> Option<(SystemTime, u64)> {
    let meta = std::fs::metadata(path).ok()?;
    Some((meta.modified().ok()?, meta.len()))
}
