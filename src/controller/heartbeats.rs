//! Heartbeats of databases.
use crate::base::ids::InstanceId;
use crate::base::time::Tick;
use crate::config::directory::{Instance, Role};
use crate::controller::core::Controller;
use crate::controller::effects::Effects;
use crate::net::http::Response;
use crate::state_machine::Command;
use std::sync::mpsc::SyncSender;

/// One that stays silent this long is dropped from the directory.
pub(super) const FORGOTTEN_MS: u64 = 60_000;

impl<E: Effects> Controller<E> {
    /// The answer to a heartbeat: later ones are to come here at once, without another controller between.
    pub(super) fn beaten(&self) -> Response {
        match self.settings.listeners.admin {
            Some(admin) => {
                let body = serde_json::json!({ "heartbeat_url": admin }).to_string();
                Response::json(200, body.into_bytes())
            }
            None => Response::ok(),
        }
    }

    pub(super) fn handle_heartbeat(
        &mut self,
        id: InstanceId,
        instance: Instance,
        sequence: u64,
        reply: SyncSender<Response>,
        now: Tick,
    ) {
        let (service, role) = (instance.target_service.clone(), instance.database_role);
        // That it was heard is known at once; what it said counts only once it is committed.
        let mut newest = false;
        if let Some(leader_state) = &mut self.leader_state {
            let heard = leader_state.heartbeats.entry(id.clone()).or_insert((now, 0));
            newest = sequence > heard.1;
            if newest {
                *heard = (now, sequence);
            }
        }
        if self.state_machine.news(&id, &instance, sequence) {
            self.await_change(&Command::Heartbeat { id, instance, sequence }, reply, now);
        } else {
            drop(reply.try_send(self.beaten()));
            // A replica, or the primary that is known, says nothing new by this.
            let known = self.state_machine.leads.get(&service).is_some_and(|l| l.primary == id);
            if newest && role == Role::Primary && !known {
                self.move_on(&service, now, |s, snapshot| {
                    s.handle_heartbeat(snapshot, &id, role, now)
                });
            }
        }
    }
}
