//! The pooler's process: its start, its main loop, and its orderly end.
use crate::base::errors::Fatal;
use crate::base::signals::Signals;
use crate::base::time::Tick;
use crate::base::worker_pool::must_start;
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

/// How often the main loop runs, in ms; it renews the leases.
const LOOP_INTERVAL_MS: u64 = 150;

/// How often the main loop runs while draining, in ms.
const DRAIN_LOOP_INTERVAL_MS: u64 = 50;

/// How often the sessions and the settings file are checked, in ms.
const CHECK_INTERVAL_MS: u64 = 500;

/// How often a pooler that can't serve yet looks whether it can, in ms.
const STARTUP_WAIT_MS: u64 = 50;

/// Runs a pooler until SIGTERM or SIGINT ends it. `path` is where the settings were read from.
///
/// # Errors
/// Settings that lack a listener, a listener that can't be opened, or a machine that has no thread
/// or descriptor left.
pub fn run(path: PathBuf, settings: Settings) -> Result<(), Fatal> {
    let watched = SettingsWatcher::new(path);
    let clients_at = required_listener(settings.listeners.frontend, "frontend", "pooler")?;
    let readiness_at = required_listener(settings.listeners.readiness, "readiness", "pooler")?;
    let signals = Signals::install().map_err(|e| Fatal::Call(e.to_string()))?;
    let pooler = Arc::new(Pooler::new(&settings)?);
    let mut process = Process { pooler, signals, watched, settings };
    process.serve_status(readiness_at)?;
    process.start_leader_connection()?;
    if !process.wait_until_able() {
        return Ok(());
    }
    process.start_serving(listen(clients_at)?)?;
    info!(target: "pooler", "{} serves {clients_at}", process.settings.node_name);
    process.main_loop();
    Ok(())
}

struct Process {
    pooler: Arc<Pooler>,
    signals: Signals,
    watched: SettingsWatcher,
    settings: Settings,
}

impl Process {
    fn serve_status(&self, at: SocketAddr) -> Result<(), Fatal> {
        let (readiness, status) = (Arc::clone(&self.pooler), Arc::clone(&self.pooler));
        let is_ready = move || readiness.is_ready(Tick::now());
        http::serve_state(at, is_ready, move || status.status(Tick::now()))
    }

    fn start_leader_connection(&self) -> Result<(), Fatal> {
        let pooler = Arc::clone(&self.pooler);
        must_start("the link", move || pooler.leader.run(&*pooler))
    }

    /// Until it knows what to serve, a pooler does not listen: a client whose connection is refused
    /// goes on to another node at once. False if the process is to end before.
    fn wait_until_able(&mut self) -> bool {
        while !self.pooler.can_serve(Tick::now()) {
            if self.signals.terminated() {
                return false;
            }
            self.reload_settings();
            self.pooler.wait_for_update(STARTUP_WAIT_MS);
            self.pooler.renew_when_due();
        }
        true
    }

    /// Takes over changed settings, after a signal or a change of the file.
    fn reload_settings(&mut self) {
        if let Some(settings) = self.watched.poll(self.signals.take_hup()) {
            self.pooler.apply_settings(&settings);
            self.settings = settings;
        }
    }

    /// Starts the threads that wake parked sessions, serve sessions and accept clients.
    fn start_serving(&self, listener: TcpListener) -> Result<(), Fatal> {
        self.pooler.listening.store(true, Ordering::Relaxed);
        let pooler = Arc::clone(&self.pooler);
        must_start("idle clients", move || pooler.parked.run(|s| pooler.dispatch(s)))?;
        let pooler = Arc::clone(&self.pooler);
        must_start("sessions", move || pooler.run_worker())?;
        let pooler = Arc::clone(&self.pooler);
        accept_clients(listener, move |stream| pooler.admit(stream))
    }

    /// Renews leases and checks sessions until the process was signalled to end and has drained.
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
            if self.signals.terminated() && draining_since.is_none() {
                info!(target: "pooler", "draining");
                draining_since = Some(now);
                self.pooler.draining.store(true, Ordering::Relaxed);
            }
            if draining_since.is_some_and(|since| self.drain(now.since(since))) {
                return;
            }
        }
    }

    /// One step of draining. True when the process is to end.
    fn drain(&self, elapsed_ms: u64) -> bool {
        let grace_ms = self.settings.timing_bounds.grace_s * 1_000;
        let grace = GracePeriod { elapsed_ms, grace_ms };
        if grace.clients_still_come() {
            return false;
        }
        self.pooler.close_idle_from.store(0, Ordering::Relaxed);
        // In the second half of the grace period idle transactions are given up as well.
        let scope = if grace.is_half_over() { CloseScope::Waiting } else { CloseScope::Idle };
        let open = self.pooler.close_sessions(scope);
        if open > 0 && !grace.is_over() {
            return false;
        }
        self.pooler.release_leases();
        self.pooler.send_to_leader(ToController::Goodbye);
        info!(target: "pooler", "stopped with {open} sessions open");
        true
    }
}
