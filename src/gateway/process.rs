//! The process of a gateway: it starts the threads, keeps in touch with the leader, and shuts down
//! gracefully.
use crate::base::errors::Fatal;
use crate::base::signals::Signals;
use crate::base::sync::lock;
use crate::base::time::Tick;
use crate::base::worker_pool::start_loop_thread;
use crate::config::settings::{Settings, SettingsWatcher};
use crate::gateway::client_connection::ClientConnection;
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

/// The wait between two looks at whether the leader has sent all that is needed to serve.
const STARTUP_POLL: Duration = Duration::from_millis(50);

/// The time between two rounds of maintenance: half of the time between two renewals.
const MAINTENANCE_INTERVAL: Duration = Duration::from_millis(225);

/// The time between two rounds of maintenance while draining.
const DRAINING_INTERVAL: Duration = Duration::from_millis(50);

/// Runs a gateway until it is signalled to end. `path` is the settings file, which is read again
/// when it has changed.
///
/// # Errors
/// If a listener or thread that it can't do without is not to be had, or the settings name none.
pub fn run(path: PathBuf, settings: Settings) -> Result<(), Fatal> {
    let mut watched = SettingsWatcher::new(path);
    let frontend = required_listener(settings.listeners.frontend, "frontend", "gateway")?;
    let readiness = required_listener(settings.listeners.readiness, "readiness", "gateway")?;
    let signals = Signals::install().map_err(|e| Fatal::Startup(e.to_string()))?;
    let gateway = Arc::new(Gateway::new(&settings)?);
    let (ready, status) = (Arc::clone(&gateway), Arc::clone(&gateway));
    http::serve_readiness(readiness, move || ready.is_ready(), move || status.status())?;
    let linking = Arc::clone(&gateway);
    start_loop_thread("the leader connection", move || linking.leader.run(&*linking))?;
    if await_configuration(&gateway, &signals, &mut watched) == Startup::Terminated {
        return Ok(());
    }
    start_serving(&gateway, listen(frontend)?)?;
    info!(target: "gateway", "{} serves {frontend}", settings.node_name);
    maintain(&gateway, &signals, watched, settings);
    Ok(())
}

/// How waiting for a configuration has ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Startup {
    Configured,
    Terminated,
}

/// Waits until the leader has sent what is needed to serve. Until then a gateway does not listen:
/// a client that can't connect goes on to another node at once.
fn await_configuration(
    gateway: &Gateway,
    signals: &Signals,
    watched: &mut SettingsWatcher,
) -> Startup {
    while !gateway.is_configured() {
        if signals.termination_requested() {
            return Startup::Terminated;
        }
        if let Some(settings) = watched.poll(signals.take_hangup()) {
            gateway.leader.set_seeds(settings.seed_peers());
        }
        let upstreams = lock(&gateway.upstreams);
        drop(gateway.upstreams_changed.wait_timeout(upstreams, STARTUP_POLL));
        gateway.renew_when_due();
    }
    Startup::Configured
}

/// Starts the threads that accept clients and watch idle ones.
fn start_serving(gateway: &Arc<Gateway>, listener: TcpListener) -> Result<(), Fatal> {
    gateway.listening.store(true, Ordering::Relaxed);
    let accepting = Arc::clone(gateway);
    accept_clients(listener, move |stream| accepting.admit_client(stream))?;
    let watching = Arc::clone(gateway);
    start_loop_thread("idle clients", move || {
        watching.idle_clients.run(|client| watching.serve_on_thread(client));
    })
}

/// Keeps in touch with the leader, closes expired connections and takes over changed settings;
/// returns when a graceful shutdown is complete.
fn maintain(
    gateway: &Gateway,
    signals: &Signals,
    mut watched: SettingsWatcher,
    mut settings: Settings,
) {
    let mut draining_since: Option<Tick> = None;
    loop {
        let draining = draining_since.is_some();
        std::thread::sleep(if draining { DRAINING_INTERVAL } else { MAINTENANCE_INTERVAL });
        let now = Tick::now();
        gateway.renew_when_due();
        gateway.close_expired_clients(now);
        if let Some(changed) = watched.poll(signals.take_hangup()) {
            apply_settings(gateway, &changed);
            settings = changed;
        }
        if signals.termination_requested() && draining_since.is_none() {
            info!(target: "gateway", "draining");
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
    let bounds = &settings.timing_bounds;
    lock(&gateway.retry_budget).configure(bounds.retry_ratio, 1_000 * bounds.retry_window_s);
}

/// How far a graceful shutdown has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Drain {
    InProgress,
    Complete,
}

/// Goes on with a graceful shutdown that began `elapsed_ms` milliseconds ago.
fn drain(gateway: &Gateway, elapsed_ms: u64, grace_ms: u64) -> Drain {
    let grace = GracePeriod { elapsed_ms, grace_ms };
    if grace.may_receive_new_clients() {
        return Drain::InProgress;
    }
    // Idle clients are disconnected; requests that were received are still served.
    gateway.closing_idle.store(true, Ordering::Relaxed);
    let clients: Vec<Arc<ClientConnection>> = lock(&gateway.clients).values().cloned().collect();
    for client in clients.iter().filter(|client| client.idle_since().is_some()) {
        client.stop_reading();
    }
    if !clients.is_empty() && !grace.is_over() {
        return Drain::InProgress;
    }
    gateway.leader.send(ToController::Goodbye);
    info!(target: "gateway", "stopped with {} clients", clients.len());
    Drain::Complete
}
