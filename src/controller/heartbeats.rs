//! Heartbeats of database instances. A heartbeat proves that the instance is alive as soon as it is
//! received; its content takes effect once it is committed. Instances that send no heartbeats are
//! removed from the directory. The admin handler calls this module.
use crate::base::ids::InstanceId;
use crate::base::time::Tick;
use crate::config::directory::{Instance, Role};
use crate::controller::core::Controller;
use crate::controller::effects::Effects;
use crate::net::http::Response;
use crate::state_machine::Command;
use std::sync::mpsc::SyncSender;

/// Milliseconds without a heartbeat after which an instance is removed from the directory.
const INSTANCE_EXPIRY_MS: u64 = 60_000;

/// The latest heartbeat of an instance, as received by the leader.
pub(super) struct LastHeartbeat {
    /// When it was received.
    pub(super) received_at: Tick,
    /// Its sequence number; 0 if none has been received yet.
    pub(super) sequence: u64,
}

impl<E: Effects> Controller<E> {
    /// Returns the response to a heartbeat. It contains this controller's address, so that later
    /// heartbeats reach the leader without a redirect.
    pub(super) fn heartbeat_response(&self) -> Response {
        match self.settings.listeners.admin {
            Some(admin) => {
                let body = serde_json::json!({ "heartbeat_url": admin }).to_string();
                Response::json(200, body.into_bytes())
            }
            None => Response::ok(),
        }
    }

    /// Handles a heartbeat received by the leader. A heartbeat that changes nothing is answered
    /// immediately, any other one after it has been committed and applied.
    pub(super) fn handle_heartbeat(
        &mut self,
        id: InstanceId,
        instance: Instance,
        sequence: u64,
        reply: SyncSender<Response>,
        now: Tick,
    ) {
        let (service, role) = (instance.target_service.clone(), instance.database_role);
        let newest = self.record_heartbeat(&id, sequence, now);
        if self.state_machine.accepts_heartbeat(&id, &instance, sequence) {
            let command = Command::Heartbeat { id, instance, sequence };
            return self.propose_for_caller(&command, reply, now);
        }
        // The caller may have stopped waiting.
        drop(reply.try_send(self.heartbeat_response()));
        // Only a heartbeat from a primary other than the recorded one matters to the failover.
        let recorded_primary =
            self.state_machine.primaries().get(&service).is_some_and(|r| r.primary == id);
        if newest && role == Role::Primary && !recorded_primary {
            self.step_failover(&service, now, |failover, snapshot| {
                failover.handle_heartbeat(snapshot, &id, role, now)
            });
        }
    }

    /// Records a heartbeat. Returns whether it is newer than all heartbeats received before.
    fn record_heartbeat(&mut self, id: &InstanceId, sequence: u64, now: Tick) -> bool {
        let Some(leader_state) = &mut self.leader_state else {
            return false;
        };
        let last = leader_state
            .heartbeats
            .entry(id.clone())
            .or_insert(LastHeartbeat { received_at: now, sequence: 0 });
        let newest = sequence > last.sequence;
        if newest {
            *last = LastHeartbeat { received_at: now, sequence };
        }
        newest
    }

    /// Proposes to remove instances that have sent no heartbeat for too long. A primary is never
    /// removed.
    pub(super) fn remove_expired_instances(&mut self, now: Tick) {
        let Some(leader_state) = &mut self.leader_state else {
            return;
        };
        let state_machine = &self.state_machine;
        let expired: Vec<InstanceId> = leader_state
            .heartbeats
            .iter()
            .filter(|(id, last)| {
                now.since(last.received_at) > INSTANCE_EXPIRY_MS
                    && state_machine.instances().contains_key(*id)
                    && !state_machine.primaries().values().any(|r| r.primary == **id)
            })
            .map(|(id, _)| id.clone())
            .collect();
        for id in expired {
            if let Some(leader_state) = &mut self.leader_state {
                leader_state.heartbeats.remove(&id);
            }
            self.propose(&Command::RemoveInstance { id, sequence: 0 }, now);
        }
    }
}
