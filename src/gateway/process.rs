//! The process of a gateway: starts its threads, sends renewals to the leader, applies changed
//! settings and shuts down gracefully.
use crate::base::errors::Fatal;
use crate::base::signals::Signals;
use crate::base::sync::lock;
use crate::base::time::Tick;
use crate::base::worker_pool::start_loop_thread;
use crate::config::settings::{Settings, SettingsWatcher};
use crate::gateway::server::Gateway;
use crate::net::http;
use crate::net::rpc::pooler_messages::ToController;
use crate::net::sockets::listen;
use crate::node::grace_period::GracePeriod;
use crate::node::listeners::{accept_clients, required_listener};
use log::info;
use std::net::TcpListener;
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

/// The longest wait between two checks at startup of whether the leader has sent a configuration.
const STARTUP_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// The time between two rounds of maintenance: half of the interval between two renewals.
const MAINTENANCE_INTERVAL: Duration = Duration::from_millis(225);

/// The time between two rounds of maintenance while draining.
const DRAINING_MAINTENANCE_INTERVAL: Duration = Duration::from_millis(50);

/// Runs a gateway until a termination signal. `path` is the settings file, which is read again when
/// it has changed.
///
/// # Errors
/// If a required listener, thread or system call fails, or the settings lack a required listener.
pub fn run(path: PathBuf, settings: Settings) -> Result<(), Fatal> {
    let mut settings_watcher = SettingsWatcher::new(path);
    let frontend = required_listener(settings.listeners.frontend, "frontend", "gateway")?;
    let readiness = required_listener(settings.listeners.readiness, "readiness", "gateway")?;
    let signals = Signals::install().map_err(|e| Fatal::Startup(e.to_string()))?;
    let gateway = Arc::new(Gateway::new(&settings)?);
    let (readiness_gateway, status_gateway) = (Arc::clone(&gateway), Arc::clone(&gateway));
    http::serve_readiness(
        readiness,
        move || readiness_gateway.is_ready(),
        move || status_gateway.status(),
    )?;
    let leader_gateway = Arc::clone(&gateway);
    start_loop_thread("the leader connection", move || {
        leader_gateway.leader.run(&*leader_gateway)
    })?;
    if await_configuration(&gateway, &signals, &mut settings_watcher) == Startup::Terminated {
        return Ok(());
    }
    start_serving(&gateway, listen(frontend)?)?;
    info!(target: "gateway", "{} serves clients on {frontend}", settings.node_name);
    maintain(&gateway, &signals, settings_watcher, settings);
    Ok(())
}

/// How the wait for a configuration ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Startup {
    Configured,
    Terminated,
}

/// Waits until the leader has sent a route table and the directory, or a termination signal
/// arrives. The gateway doesn't listen for clients before, so that they fail to connect and try
/// another node at once.
fn await_configuration(
    gateway: &Gateway,
    signals: &Signals,
    settings_watcher: &mut SettingsWatcher,
) -> Startup {
    while !gateway.is_configured() {
        if signals.termination_requested() {
            return Startup::Terminated;
        }
        if let Some(settings) = settings_watcher.poll(signals.take_hangup()) {
            gateway.leader.set_seeds(settings.seed_peers());
        }
        let upstreams = lock(&gateway.upstreams);
        drop(gateway.upstreams_changed.wait_timeout(upstreams, STARTUP_POLL_INTERVAL));
        gateway.renew_when_due();
    }
    Startup::Configured
}

/// Starts the threads that accept clients and wait for idle ones to become readable.
fn start_serving(gateway: &Arc<Gateway>, listener: TcpListener) -> Result<(), Fatal> {
    gateway.listening.store(true, Ordering::Relaxed);
    let accept_gateway = Arc::clone(gateway);
    accept_clients(listener, move |stream| accept_gateway.admit_client(stream))?;
    let idle_gateway = Arc::clone(gateway);
    start_loop_thread("idle clients", move || {
        idle_gateway.idle_clients.run(|client| idle_gateway.serve_on_thread(client));
    })
}

/// Periodically sends renewals to the leader, closes expired client connections and applies changed
/// settings. Returns when a graceful shutdown is complete.
fn maintain(
    gateway: &Gateway,
    signals: &Signals,
    mut settings_watcher: SettingsWatcher,
    mut settings: Settings,
) {
    let mut draining_since: Option<Tick> = None;
    loop {
        let draining = draining_since.is_some();
        std::thread::sleep(if draining {
            DRAINING_MAINTENANCE_INTERVAL
        } else {
            MAINTENANCE_INTERVAL
        });
        let now = Tick::now();
        gateway.renew_when_due();
        gateway.close_expired_clients(now);
        if let Some(changed) = settings_watcher.poll(signals.take_hangup()) {
            apply_settings(gateway, &changed);
            settings = changed;
        }
        if signals.termination_requested() && draining_since.is_none() {
            info!(
                target: "gateway",
                "draining after SIGTERM or SIGINT; client connections are closed within the \
                 grace period"
            );
            draining_since = Some(now);
            gateway.draining.store(true, Ordering::Relaxed);
        }
        if let Some(since) = draining_since
            && drain(gateway, now.since(since), settings.timing_bounds.grace_s * 1_000)
                == Drain::Complete
        {
            return;
        }
    }
}

fn apply_settings(gateway: &Gateway, settings: &Settings) {
    gateway.leader.set_seeds(settings.seed_peers());
    lock(&gateway.retry_budgets).set_ratio(settings.timing_bounds.retry_ratio);
}

/// The progress of a graceful shutdown.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Drain {
    InProgress,
    Complete,
}

/// Continues a graceful shutdown that began `elapsed_ms` milliseconds ago.
fn drain(gateway: &Gateway, elapsed_ms: u64, grace_ms: u64) -> Drain {
    let grace = GracePeriod { elapsed_ms, grace_ms };
    if grace.may_receive_new_clients() {
        return Drain::InProgress;
    }
    // Idle connections are closed; requests that were received are still served.
    gateway.closing_idle_clients.store(true, Ordering::Relaxed);
    gateway.close_idle_clients(|_| true);
    let open_clients = lock(&gateway.clients).len();
    if open_clients > 0 && !grace.is_over() {
        return Drain::InProgress;
    }
    gateway.leader.send(ToController::Goodbye);
    info!(
        target: "gateway",
        "shutdown complete, with {open_clients} client connections still open"
    );
    Drain::Complete
}
