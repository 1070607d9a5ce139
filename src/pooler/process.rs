//! The pooler's process: startup, main loop, and graceful shutdown.
use crate::base::errors::Fatal;
use crate::base::signals::Signals;
use crate::base::time::Tick;
use crate::base::worker_pool::start_loop_thread;
use crate::config::settings::{Settings, SettingsWatcher};
use crate::net::http;
use crate::net::rpc::pooler_messages::ToController;
use crate::net::sockets::listen;
use crate::node::grace_period::GracePeriod;
use crate::node::listeners::{accept_clients, required_listener};
use crate::pooler::server::Pooler;
use crate::pooler::sessions::CloseScope;
use log::info;
use std::net::{SocketAddr, TcpListener};
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

/// The interval of the main loop in ms, which renews the leases.
const LOOP_INTERVAL_MS: u64 = 150;

/// The interval of the main loop while draining, in ms.
const DRAIN_LOOP_INTERVAL_MS: u64 = 50;

/// The interval in ms at which the limits of sessions and the settings file are checked.
const CHECK_INTERVAL_MS: u64 = 500;

/// The longest wait in ms between two checks at startup of whether clients can be served.
const STARTUP_POLL_INTERVAL_MS: u64 = 50;

/// Runs a pooler until SIGTERM or SIGINT. `path` is the settings file that `settings` was read
/// from.
///
/// # Errors
/// If the settings lack a listener, a listener can't be opened, or the operating system has no
/// thread or file descriptor left.
pub fn run(path: PathBuf, settings: Settings) -> Result<(), Fatal> {
    let settings_watcher = SettingsWatcher::new(path);
    let frontend_address = required_listener(settings.listeners.frontend, "frontend", "pooler")?;
    let readiness_address = required_listener(settings.listeners.readiness, "readiness", "pooler")?;
    let signals = Signals::install().map_err(|e| Fatal::Startup(e.to_string()))?;
    let pooler = Arc::new(Pooler::new(&settings)?);
    let mut process = Process { pooler, signals, settings_watcher, settings };
    process.serve_status(readiness_address)?;
    process.start_leader_connection()?;
    if !process.wait_until_can_serve() {
        return Ok(());
    }
    process.start_serving(listen(frontend_address)?)?;
    info!(
        target: "pooler",
        "{} serves clients on {frontend_address}",
        process.settings.node_name
    );
    process.main_loop();
    Ok(())
}

struct Process {
    pooler: Arc<Pooler>,
    signals: Signals,
    settings_watcher: SettingsWatcher,
    settings: Settings,
}

impl Process {
    fn serve_status(&self, address: SocketAddr) -> Result<(), Fatal> {
        let (readiness, status) = (Arc::clone(&self.pooler), Arc::clone(&self.pooler));
        let is_ready = move || readiness.is_ready(Tick::now());
        http::serve_readiness(address, is_ready, move || status.status(Tick::now()))
    }

    fn start_leader_connection(&self) -> Result<(), Fatal> {
        let pooler = Arc::clone(&self.pooler);
        start_loop_thread("the leader connection", move || pooler.leader.run(&*pooler))
    }

    /// Waits until clients can be served. Before that the pooler does not listen, because a client
    /// whose connection is refused tries another node at once. Returns false if the process was
    /// signalled to terminate first.
    fn wait_until_can_serve(&mut self) -> bool {
        while !self.pooler.can_serve(Tick::now()) {
            if self.signals.termination_requested() {
                return false;
            }
            self.reload_settings();
            self.pooler.wait_for_update(STARTUP_POLL_INTERVAL_MS);
            self.pooler.renew_when_due();
        }
        true
    }

    /// Applies changed settings, after SIGHUP or a change of the file.
    fn reload_settings(&mut self) {
        if let Some(settings) = self.settings_watcher.poll(self.signals.take_hangup()) {
            self.pooler.apply_settings(&settings);
            self.settings = settings;
        }
    }

    /// Starts the threads that dispatch parked sessions, serve sessions and accept clients.
    fn start_serving(&self, listener: TcpListener) -> Result<(), Fatal> {
        self.pooler.listening.store(true, Ordering::Relaxed);
        let pooler = Arc::clone(&self.pooler);
        start_loop_thread("idle clients", move || pooler.parked.run(|s| pooler.dispatch(s)))?;
        let pooler = Arc::clone(&self.pooler);
        start_loop_thread("sessions", move || pooler.run_worker())?;
        let pooler = Arc::clone(&self.pooler);
        accept_clients(listener, move |stream| pooler.admit(stream))
    }

    /// Renews leases and enforces session limits until the process was signalled to terminate and
    /// has drained.
    fn main_loop(&mut self) {
        let mut checked_at = Tick(0);
        let mut draining_since: Option<Tick> = None;
        loop {
            let draining = draining_since.is_some();
            let pause_ms = if draining { DRAIN_LOOP_INTERVAL_MS } else { LOOP_INTERVAL_MS };
            std::thread::sleep(Duration::from_millis(pause_ms));
            let now = Tick::now();
            self.pooler.renew_when_due();
            if now.since(checked_at) >= CHECK_INTERVAL_MS {
                checked_at = now;
                self.pooler.enforce_limits(now);
                self.reload_settings();
            }
            if self.signals.termination_requested() && draining_since.is_none() {
                info!(
                    target: "pooler",
                    "draining after SIGTERM or SIGINT; sessions are closed within the grace period"
                );
                draining_since = Some(now);
                self.pooler.draining.store(true, Ordering::Relaxed);
            }
            if draining_since.is_some_and(|since| self.drain(now.since(since))) {
                return;
            }
        }
    }

    /// Performs one step of draining. Returns true when the process has to exit.
    fn drain(&self, elapsed_ms: u64) -> bool {
        let grace_ms = self.settings.timing_bounds.grace_s * 1_000;
        let grace = GracePeriod { elapsed_ms, grace_ms };
        if grace.may_receive_new_clients() {
            return false;
        }
        self.pooler.close_idle_from.store(0, Ordering::Relaxed);
        // In the second half of the grace period, sessions with an idle transaction are closed too.
        let scope = if grace.is_half_over() { CloseScope::Waiting } else { CloseScope::Idle };
        let open = self.pooler.close_sessions(scope);
        if open > 0 && !grace.is_over() {
            return false;
        }
        self.pooler.release_leases();
        self.pooler.send_to_leader(ToController::Goodbye);
        info!(target: "pooler", "shutdown complete, with {open} sessions still open");
        true
    }
}
