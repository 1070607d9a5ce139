//! The event loop of the controller process: waits for events and for the next step to be due,
//! passes both to `Controller`, reloads changed settings and shuts down gracefully.
use crate::base::errors::Fatal;
use crate::base::signals::Signals;
use crate::base::time::Tick;
use crate::config::settings::SettingsWatcher;
use crate::controller::core::Controller;
use crate::controller::effects::Input;
use crate::controller::transport::{Event, SocketTransport};
use log::info;
use std::sync::mpsc::{Receiver, RecvTimeoutError};
use std::time::Duration;

/// Milliseconds between two attempts to send the remaining data to peers with full sockets.
const FLUSH_INTERVAL_MS: u64 = 5;

/// Milliseconds between two checks for idle connections and changed settings.
const HOUSEKEEPING_INTERVAL_MS: u64 = 1_000;

/// Milliseconds for which a stopping leader waits for another controller to take over.
const TRANSFER_TIMEOUT_MS: u64 = 500;

/// Maximum number of further events handled between two steps after the first one.
const MAX_EXTRA_EVENTS: usize = 64;

impl Controller<SocketTransport> {
    /// Runs the controller until a signal requests termination.
    ///
    /// # Errors
    /// `Fatal::State` if committed data can't be decoded.
    pub(crate) fn serve(
        &mut self,
        events: Receiver<Event>,
        signals: &Signals,
        mut watched: SettingsWatcher,
    ) -> Result<(), Fatal> {
        let mut stopping_since: Option<Tick> = None;
        let mut last_housekeeping = Tick::now();
        loop {
            if !self.handle_next_events(&events) {
                return Ok(());
            }
            let now = Tick::now();
            self.step(now)?;
            if now.since(last_housekeeping) > HOUSEKEEPING_INTERVAL_MS {
                last_housekeeping = now;
                let subscribers = &self.subscribers;
                self.effects.close_stalled(|conn| subscribers.contains_key(&conn), now);
                if let Some(settings) = watched.poll(signals.take_hangup()) {
                    self.settings = settings;
                }
            }
            if signals.termination_requested() && stopping_since.is_none() {
                info!(target: "raft", "stopping; leadership is transferred if held");
                stopping_since = Some(now);
                self.transfer_leadership(now);
            }
            // A leader waits for the transfer of its leadership; a follower can stop immediately.
            let finished = |since| !self.raft.is_leader() || now.since(since) > TRANSFER_TIMEOUT_MS;
            if stopping_since.is_some_and(finished) {
                info!(target: "raft", "stopped");
                return Ok(());
            }
        }
    }

    /// Waits for an event until the next step is due, and handles it and further events already
    /// queued. Returns false if the event channel is closed.
    fn handle_next_events(&mut self, events: &Receiver<Event>) -> bool {
        let wait = self.millis_until_step(Tick::now());
        let wait =
            if self.effects.has_pending_writes() { wait.min(FLUSH_INTERVAL_MS) } else { wait };
        match events.recv_timeout(Duration::from_millis(wait)) {
            Ok(event) => {
                self.handle_event(event, Tick::now());
                for _ in 0..MAX_EXTRA_EVENTS {
                    let Ok(event) = events.try_recv() else { break };
                    self.handle_event(event, Tick::now());
                }
                true
            }
            Err(RecvTimeoutError::Timeout) => true,
            Err(RecvTimeoutError::Disconnected) => false,
        }
    }

    fn handle_event(&mut self, event: Event, now: Tick) {
        match event {
            Event::Accepted(conn, stream) => self.effects.add_connection(conn, stream, now),
            Event::DialFinished(member, connection) => self.effects.finish_dial(member, connection),
            Event::Input(input) => {
                match &input {
                    Input::Frame(conn, _) => self.effects.frame_received(*conn, now),
                    Input::Closed(conn) => self.effects.remove_connection(*conn),
                    _ => {}
                }
                self.handle_input(input, now);
            }
        }
    }
}
