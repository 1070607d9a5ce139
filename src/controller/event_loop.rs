//! The loop of the controller's process: waits for events and moves the controller on.
use crate::base::errors::Fatal;
use crate::base::signals::Signals;
use crate::base::time::Tick;
use crate::config::settings::Watched;
use crate::controller::core::Controller;
use crate::controller::effects::Input;
use crate::controller::peer_connections::PeerConnection;
use crate::controller::transport::{Event, SocketTransport};
use log::info;
use std::sync::mpsc::{Receiver, RecvTimeoutError};
use std::time::Duration;

/// How often peers are looked at that did not take all at once.
const PUMP_MS: u64 = 5;

impl Controller<SocketTransport> {
    pub(crate) fn serve(
        &mut self,
        rx: Receiver<Event>,
        signals: &Signals,
        mut watched: Watched,
    ) -> Result<(), Fatal> {
        let mut leaving: Option<Tick> = None;
        let mut looked = Tick::now();
        loop {
            let wait = self.due(Tick::now());
            let wait = if self.effects.pumping() { wait.min(PUMP_MS) } else { wait };
            match rx.recv_timeout(Duration::from_millis(wait)) {
                Ok(event) => {
                    self.hear(event, Tick::now());
                    for _ in 0..64 {
                        let Ok(event) = rx.try_recv() else { break };
                        self.hear(event, Tick::now());
                    }
                }
                Err(RecvTimeoutError::Timeout) => {}
                Err(RecvTimeoutError::Disconnected) => return Ok(()),
            }
            let now = Tick::now();
            self.turn(now)?;
            if now.since(looked) > 1_000 {
                looked = now;
                let poolers = &self.poolers;
                self.effects.drop_useless(|conn| poolers.contains_key(&conn), now);
                if let Some(settings) = watched.poll(signals.take_hup()) {
                    self.settings = settings;
                }
            }
            if signals.terminated() && leaving.is_none() {
                info!(target: "raft", "stopping");
                leaving = Some(now);
                self.leave(now);
            }
            // The hand-over needs a moment; a follower can go at once.
            if leaving.is_some_and(|t| !self.raft.is_leader() || now.since(t) > 500) {
                info!(target: "raft", "stopped");
                return Ok(());
            }
        }
    }

    fn hear(&mut self, event: Event, now: Tick) {
        match event {
            Event::Opened(id, stream) => {
                self.effects.conns.insert(id, PeerConnection::new(stream, now));
            }
            Event::Linked(member, line) => {
                if let Some(link) = self.effects.links.get_mut(&member) {
                    link.dialing = false;
                    link.line = line;
                }
            }
            Event::Input(input) => {
                match &input {
                    Input::Frame(conn, _) => {
                        if let Some(line) = self.effects.conns.get_mut(conn) {
                            line.heard = Some(now);
                        }
                    }
                    Input::Closed(conn) => drop(self.effects.conns.remove(conn)),
                    _ => {}
                }
                self.take(input, now);
            }
        }
    }
}
