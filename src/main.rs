//! The command line of silvertack.
use clap::{Parser, Subcommand};
use log::LevelFilter;
use silvertack::base::errors::Fatal;
use silvertack::base::logging;
use silvertack::config::configuration::Configuration;
use silvertack::config::settings::Settings;
use silvertack::controller::process;
use silvertack::net::http;
use silvertack::{gateway, pooler, simulation};
use std::io::Write;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

/// A pool of client sessions on databases, and the control plane that keeps it.
#[derive(Parser)]
#[command(version)]
struct Cli {
    /// What is logged on standard error: off, error, warn, info, debug or trace.
    #[arg(long, global = true, default_value = "info")]
    log: LevelFilter,
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Carry clients' sessions on this machine.
    Pooler {
        /// The settings file; SILVERTACK_BOOT names it otherwise.
        #[arg(long)]
        settings: Option<PathBuf>,
    },
    /// Pass clients' requests on to databases, as a gateway on this machine.
    Gateway {
        /// The settings file; SILVERTACK_BOOT names it otherwise.
        #[arg(long)]
        settings: Option<PathBuf>,
    },
    /// Keep the configuration, the directory and the leases on this machine.
    Controller {
        /// The settings file; SILVERTACK_BOOT names it otherwise.
        #[arg(long)]
        settings: Option<PathBuf>,
    },
    /// Check a file without using it.
    Check {
        #[command(subcommand)]
        what: Check,
    },
    /// Ask a node for its state, as JSON: a controller's admin or another node's readiness address.
    Status {
        address: SocketAddr,
        /// Follow to the leading controller, which knows of the whole system.
        #[arg(long)]
        leader: bool,
    },
    /// Read or send the configuration at a controller's admin address.
    Configuration {
        #[command(subcommand)]
        what: ConfigurationCall,
    },
    /// Play the control side in virtual time under drawn troubles, and check what it promises.
    Simulate {
        /// The first schedule that is drawn.
        #[arg(long, default_value_t = 1)]
        seed: u64,
        /// How many are drawn, one after the other.
        #[arg(long, default_value_t = 1)]
        plays: u64,
        /// How many are played at once.
        #[arg(long, default_value_t = 1)]
        jobs: u64,
    },
}

#[derive(Subcommand)]
enum Check {
    /// A node's settings file (TOML).
    Settings { file: PathBuf },
    /// A configuration as the operator sends it (JSON).
    Configuration { file: PathBuf },
}

#[derive(Subcommand)]
enum ConfigurationCall {
    /// Print the newest configuration, as it was sent.
    Get { address: SocketAddr },
    /// Send a configuration.
    Put {
        address: SocketAddr,
        file: PathBuf,
        /// The revision it builds on; 0 for the first.
        #[arg(long)]
        base: u64,
    },
}

fn main() -> ExitCode {
    let cli = Cli::parse();
    logging::start(cli.log);
    match run(cli.command) {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("silvertack: {e}");
            ExitCode::from(e.exit_code())
        }
    }
}

fn run(command: Command) -> Result<(), Fatal> {
    match command {
        Command::Pooler { settings } => {
            let path = Settings::path(settings)?;
            let settings = Settings::read(&path)?;
            pooler::server::run(path, settings)
        }
        Command::Gateway { settings } => {
            let path = Settings::path(settings)?;
            let settings = Settings::read(&path)?;
            gateway::server::run(path, settings)
        }
        Command::Controller { settings } => {
            let path = Settings::path(settings)?;
            let settings = Settings::read(&path)?;
            process::run(path, settings)
        }
        Command::Check { what: Check::Settings { file } } => {
            let settings = Settings::read(&file)?;
            println!("{}: ok", settings.node_name);
            Ok(())
        }
        Command::Check { what: Check::Configuration { file } } => {
            let config = Configuration::read(&read(&file)?).map_err(Fatal::Configuration)?;
            println!("revision {}: ok, {} routes", config.revision, config.route_rules.len());
            Ok(())
        }
        Command::Status { address, leader } => {
            let mut body = call(address, "GET", "/status", &[], &[])?;
            if leader {
                let status: serde_json::Value = serde_json::from_slice(&body)
                    .map_err(|e| Fatal::Call(format!("{address} answers nonsense: {e}")))?;
                let at = status["leader_admin"].as_str().and_then(|a| a.parse().ok());
                let at: SocketAddr = at.ok_or_else(|| {
                    Fatal::Call(format!("{address} knows of no leader, or is no controller"))
                })?;
                if at != address {
                    body = call(at, "GET", "/status", &[], &[])?;
                }
            }
            print_json(address, &body)
        }
        Command::Simulate { seed, plays, jobs } => play(seed, plays, jobs),
        Command::Configuration { what: ConfigurationCall::Get { address } } => {
            let body = call(address, "GET", "/configuration", &[], &[])?;
            print_json(address, &body)
        }
        Command::Configuration { what: ConfigurationCall::Put { address, file, base } } => {
            let body = read(&file)?;
            Configuration::read(&body).map_err(Fatal::Configuration)?;
            call(address, "PUT", "/configuration", &[("If-Match", base.to_string())], &body)?;
            println!("taken");
            Ok(())
        }
    }
}

fn read(file: &PathBuf) -> Result<Vec<u8>, Fatal> {
    std::fs::read(file).map_err(|e| Fatal::Configuration(format!("{}: {e}", file.display())))
}

fn print_json(address: SocketAddr, body: &[u8]) -> Result<(), Fatal> {
    let value: serde_json::Value = serde_json::from_slice(body)
        .map_err(|e| Fatal::Call(format!("{address} answers nonsense: {e}")))?;
    match writeln!(std::io::stdout(), "{value:#}") {
        // Whoever reads it may have seen enough.
        Err(e) if e.kind() != std::io::ErrorKind::BrokenPipe => {
            Err(Fatal::Call(format!("standard output: {e}")))
        }
        _ => Ok(()),
    }
}

/// One call, following the way to the leader twice as callers of controllers do.
fn call(
    address: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, String)],
    body: &[u8],
) -> Result<Vec<u8>, Fatal> {
    let mut at = address;
    for _ in 0..3 {
        let (status, location, answer) =
            http::call(at, method, path, headers, body, Duration::from_secs(3))
                .map_err(|e| Fatal::Call(format!("{at}: {e}")))?;
        let next = location
            .as_deref()
            .and_then(|l| l.strip_prefix("http://"))
            .and_then(|l| l.split('/').next())
            .and_then(|a| a.parse().ok());
        match (status, next) {
            (200..=299, _) => return Ok(answer),
            (307, Some(next)) => at = next,
            _ => {
                let text = String::from_utf8_lossy(&answer);
                return Err(Fatal::Call(format!("{at} answers {status}: {text}")));
            }
        }
    }
    Err(Fatal::Call(format!("{address} sends from node to node")))
}

/// Plays drawn schedules; prints what broke, each with the seed that plays it again.
fn play(first: u64, plays: u64, jobs: u64) -> Result<(), Fatal> {
    let next = AtomicU64::new(0);
    let broken = AtomicU64::new(0);
    std::thread::scope(|threads| {
        for _ in 0..jobs.clamp(1, plays.max(1)) {
            threads.spawn(|| {
                loop {
                    let number = next.fetch_add(1, Ordering::Relaxed);
                    if number >= plays {
                        return;
                    }
                    let seed = first.wrapping_add(number);
                    let schedule = simulation::schedule::Schedule::drawn(seed);
                    match simulation::runner::play(&schedule) {
                        Ok(report) if plays == 1 => println!("{schedule:#?}\n{report:?}"),
                        Ok(_) => {}
                        Err(why) => {
                            broken.fetch_add(1, Ordering::Relaxed);
                            println!("--seed {seed}: {why}");
                            if plays == 1 {
                                println!("{schedule:#?}");
                            }
                        }
                    }
                }
            });
        }
    });
    let broken = broken.into_inner();
    println!("{plays} schedules from --seed {first}: {broken} broken");
    if broken == 0 {
        Ok(())
    } else {
        Err(Fatal::Call(format!("{broken} schedules broke a promise")))
    }
}
