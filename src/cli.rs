//! The command line interface: its arguments, the commands that run a node, and the commands that
//! call the admin and readiness addresses of nodes.
//!
//! `main` parses [`Arguments`] and calls [`run`]. The output of the commands on standard output and
//! their exit codes are a stable interface, on which operators' scripts rely.
use clap::{Args, Parser, Subcommand};
use log::LevelFilter;
use silvertack::base::errors::Fatal;
use silvertack::config::configuration::Configuration;
use silvertack::config::settings::Settings;
use silvertack::controller::process;
use silvertack::net::http;
use silvertack::{gateway, pooler, simulation};
use std::io::{self, Write};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

/// The maximum number of redirects of a call: to a controller that knows the leader, and to the
/// leader.
const MAX_REDIRECTS: usize = 2;

/// The timeout of a call.
const CALL_TIMEOUT: Duration = Duration::from_secs(3);

/// A connection pooler, an API gateway, and the control plane that configures both.
#[derive(Parser)]
#[command(version)]
pub(crate) struct Arguments {
    /// Log level on standard error: off, error, warn, info, debug or trace.
    #[arg(long, global = true, default_value = "info")]
    pub(crate) log: LevelFilter,
    /// What to do.
    #[command(subcommand)]
    pub(crate) command: Command,
}

/// The subcommands of the program.
#[derive(Subcommand)]
pub(crate) enum Command {
    /// Run the connection pooler of this machine.
    Pooler(NodeArguments),
    /// Run the API gateway of this machine.
    Gateway(NodeArguments),
    /// Run a controller: it replicates the configuration and the directory, and grants leases.
    Controller(NodeArguments),
    /// Validate a file without using it.
    Check {
        /// The kind of file.
        #[command(subcommand)]
        file: Check,
    },
    /// Print a node's status as JSON: of a controller by its admin address, of other nodes by their
    /// readiness address.
    Status {
        /// The node's address.
        address: SocketAddr,
        /// Ask the leading controller instead, which knows the status of the whole system.
        #[arg(long)]
        leader: bool,
    },
    /// Read or replace the configuration by a controller's admin address.
    Configuration {
        /// Which of them.
        #[command(subcommand)]
        call: ConfigurationCall,
    },
    /// Run the control plane in virtual time under random faults, and check its guarantees.
    Simulate {
        /// The seed of the first schedule of faults.
        #[arg(long, default_value_t = 1)]
        seed: u64,
        /// The number of schedules; each has the seed after the one before.
        #[arg(long, default_value_t = 1)]
        plays: u64,
        /// The number of schedules that run in parallel.
        #[arg(long, default_value_t = 1)]
        jobs: u64,
    },
}

/// The arguments of the commands that run a node.
#[derive(Args)]
pub(crate) struct NodeArguments {
    /// The settings file; if not given, the environment variable SILVERTACK_BOOT names it.
    #[arg(long)]
    settings: Option<PathBuf>,
}

impl NodeArguments {
    /// Locates and reads the settings file. The path is returned too, since reloads need it.
    fn load(self) -> Result<(PathBuf, Settings), Fatal> {
        let path = Settings::path(self.settings)?;
        let settings = Settings::read(&path)?;
        Ok((path, settings))
    }
}

/// The kinds of files that `check` validates.
#[derive(Subcommand)]
pub(crate) enum Check {
    /// A node's settings file (TOML).
    Settings {
        /// The file's path.
        file: PathBuf,
    },
    /// A configuration as it is sent to a controller (JSON).
    Configuration {
        /// The file's path.
        file: PathBuf,
    },
}

/// The calls that read or replace the configuration.
#[derive(Subcommand)]
pub(crate) enum ConfigurationCall {
    /// Print the current configuration, as it was sent.
    Get {
        /// A controller's admin address.
        address: SocketAddr,
    },
    /// Send a new configuration.
    Put {
        /// A controller's admin address.
        address: SocketAddr,
        /// The configuration (JSON).
        file: PathBuf,
        /// The revision that it replaces; 0 for the first.
        #[arg(long)]
        base: u64,
    },
}

/// Why a command failed.
#[derive(Debug, thiserror::Error)]
pub(crate) enum CommandError {
    /// A node failed, or a file is not valid.
    #[error(transparent)]
    Node(#[from] Fatal),
    /// A file could not be read.
    #[error("configuration: {}: {source}", file.display())]
    File { file: PathBuf, source: io::Error },
    /// The node did not respond.
    #[error("{address}: {source}")]
    Unreachable { address: SocketAddr, source: io::Error },
    /// The node responded with an error.
    #[error("{address} responded with status {status}: {body}")]
    Rejected { address: SocketAddr, status: u16, body: String },
    /// The response was not valid JSON.
    #[error("{address} responded with invalid JSON: {source}")]
    InvalidResponse { address: SocketAddr, source: serde_json::Error },
    /// The node's status names no leader.
    #[error("the status of {0} names no leader: it knows none, or is not a controller")]
    NoLeader(SocketAddr),
    /// The call was redirected more than [`MAX_REDIRECTS`] times.
    #[error("the call to {0} was redirected more than {MAX_REDIRECTS} times")]
    TooManyRedirects(SocketAddr),
    /// Writing to standard output failed.
    #[error("standard output: {0}")]
    Output(#[source] io::Error),
    /// This number of simulated schedules violated a guarantee.
    #[error("{0} simulated schedules violated a guarantee")]
    FailedSchedules(u64),
}

impl CommandError {
    /// The exit code of a process that ends with this error.
    pub(crate) fn exit_code(&self) -> u8 {
        match self {
            Self::Node(fatal) => fatal.exit_code(),
            _ => 1,
        }
    }
}

/// Executes a command. The commands that run a node return when the node has shut down.
///
/// # Errors
/// A [`CommandError`] with the reason why the command failed.
pub(crate) fn run(command: Command) -> Result<(), CommandError> {
    match command {
        Command::Pooler(arguments) => {
            let (path, settings) = arguments.load()?;
            Ok(pooler::process::run(path, settings)?)
        }
        Command::Gateway(arguments) => {
            let (path, settings) = arguments.load()?;
            Ok(gateway::process::run(path, settings)?)
        }
        Command::Controller(arguments) => {
            let (path, settings) = arguments.load()?;
            Ok(process::run(path, settings)?)
        }
        Command::Check { file } => check(file),
        Command::Status { address, leader } => print_status(address, leader),
        Command::Configuration { call } => configuration(call),
        Command::Simulate { seed, plays, jobs } => simulate(seed, plays, jobs),
    }
}

fn check(file: Check) -> Result<(), CommandError> {
    match file {
        Check::Settings { file } => {
            let settings = Settings::read(&file)?;
            println!("{}: ok", settings.node_name);
        }
        Check::Configuration { file } => {
            let config = Configuration::read(&read(&file)?)
                .map_err(|e| Fatal::Configuration(e.to_string()))?;
            println!("revision {}: ok, {} routes", config.revision, config.route_rules.len());
        }
    }
    Ok(())
}

fn print_status(address: SocketAddr, leader: bool) -> Result<(), CommandError> {
    let mut body = call(address, "GET", "/status", &[], &[])?;
    if leader {
        let leader = leader_address(address, &body)?;
        if leader != address {
            body = call(leader, "GET", "/status", &[], &[])?;
        }
    }
    print_json(address, &body)
}

/// The leader's admin address in the status of the controller at `address`.
fn leader_address(address: SocketAddr, status: &[u8]) -> Result<SocketAddr, CommandError> {
    let status = parse_json(address, status)?;
    let leader = status["leader_admin"].as_str().and_then(|leader| leader.parse().ok());
    leader.ok_or(CommandError::NoLeader(address))
}

fn configuration(request: ConfigurationCall) -> Result<(), CommandError> {
    match request {
        ConfigurationCall::Get { address } => {
            let body = call(address, "GET", "/configuration", &[], &[])?;
            print_json(address, &body)
        }
        ConfigurationCall::Put { address, file, base } => {
            let body = read(&file)?;
            Configuration::read(&body).map_err(|e| Fatal::Configuration(e.to_string()))?;
            call(address, "PUT", "/configuration", &[("If-Match", base.to_string())], &body)?;
            println!("taken");
            Ok(())
        }
    }
}

fn read(file: &Path) -> Result<Vec<u8>, CommandError> {
    std::fs::read(file).map_err(|source| CommandError::File { file: file.to_owned(), source })
}

fn parse_json(address: SocketAddr, body: &[u8]) -> Result<serde_json::Value, CommandError> {
    serde_json::from_slice(body).map_err(|source| CommandError::InvalidResponse { address, source })
}

fn print_json(address: SocketAddr, body: &[u8]) -> Result<(), CommandError> {
    let value = parse_json(address, body)?;
    match writeln!(io::stdout(), "{value:#}") {
        // The reading end of a pipe may be closed before everything is written.
        Err(e) if e.kind() != io::ErrorKind::BrokenPipe => Err(CommandError::Output(e)),
        _ => Ok(()),
    }
}

/// Sends one request, following redirects to the leader; returns the body of a success response.
fn call(
    address: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, String)],
    body: &[u8],
) -> Result<Vec<u8>, CommandError> {
    let mut current_address = address;
    for _ in 0..=MAX_REDIRECTS {
        let response = http::call(current_address, method, path, headers, body, CALL_TIMEOUT)
            .map_err(|source| CommandError::Unreachable { address: current_address, source })?;
        let status = response.status;
        match (status, response.location.as_deref().and_then(redirect_address)) {
            (200..=299, _) => return Ok(response.body),
            (307, Some(next)) => current_address = next,
            _ => {
                let body = String::from_utf8_lossy(&response.body).into_owned();
                return Err(CommandError::Rejected { address: current_address, status, body });
            }
        }
    }
    Err(CommandError::TooManyRedirects(address))
}

/// The address in a `Location` header.
fn redirect_address(location: &str) -> Option<SocketAddr> {
    location.strip_prefix("http://")?.split('/').next()?.parse().ok()
}

/// Runs schedules of random faults. For each schedule that violated a guarantee, prints the
/// violation and the seed that reproduces it.
fn simulate(first_seed: u64, schedules: u64, jobs: u64) -> Result<(), CommandError> {
    let (next, broken) = (AtomicU64::new(0), AtomicU64::new(0));
    std::thread::scope(|threads| {
        for _ in 0..jobs.clamp(1, schedules.max(1)) {
            threads.spawn(|| {
                loop {
                    let number = next.fetch_add(1, Ordering::Relaxed);
                    if number >= schedules {
                        return;
                    }
                    if !run_schedule(first_seed.wrapping_add(number), schedules == 1) {
                        broken.fetch_add(1, Ordering::Relaxed);
                    }
                }
            });
        }
    });
    let broken = broken.into_inner();
    println!("{schedules} schedules from --seed {first_seed}: {broken} broken");
    match broken {
        0 => Ok(()),
        _ => Err(CommandError::FailedSchedules(broken)),
    }
}

/// Runs one schedule; false if it violated a guarantee. With `details`, prints the schedule as
/// well.
fn run_schedule(seed: u64, details: bool) -> bool {
    let schedule = simulation::schedule::Schedule::from_seed(seed);
    match simulation::runner::run_schedule(&schedule) {
        Ok(report) => {
            if details {
                println!("{schedule:#?}\n{report:?}");
            }
            true
        }
        Err(violation) => {
            println!("--seed {seed}: {violation}");
            if details {
                println!("{schedule:#?}");
            }
            false
        }
    }
}
