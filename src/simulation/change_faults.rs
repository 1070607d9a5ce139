//! Faults that strike while the primary of a service changes: what was true when a controller asked is
//! no longer true when it acts. They wait for their moment, which random times would seldom meet.
use crate::base::ids::{DbTerm, InstanceId, ServiceName};
use crate::net::rpc::pooler_messages::ToController;
use crate::simulation::events::Event;
use crate::simulation::schedule::{FaultTarget, random_below};
use crate::simulation::world::{SERVICES, World};

/// What strikes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ChangeFault {
    /// The replica that was chosen receives nothing.
    TargetDeaf,
    /// A paused replica restarts, which ends its pause.
    PausedReplicaRestarts,
    /// A new replica receives, and counts, seconds before its first heartbeat.
    UnlistedReplica,
    /// The leader stands still when a change has ended, and goes on in the middle of the next.
    LeaderThaws,
}

/// The moments of a change that faults wait for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Moment {
    /// The intent to promote a replica was committed.
    IntentCommitted,
    /// The next primary was recorded.
    Completed,
}

impl ChangeFault {
    fn moment(self) -> Moment {
        match self {
            ChangeFault::LeaderThaws => Moment::Completed,
            _ => Moment::IntentCommitted,
        }
    }
}

/// A fault that waits for the next change of a service.
pub(super) struct PendingChangeFault {
    service: ServiceName,
    fault: ChangeFault,
    duration_ms: u64,
}

/// What is known of the change of a service's primary.
#[derive(Clone, Default, PartialEq)]
pub(super) struct ObservedChange {
    term: DbTerm,
    intent: Option<InstanceId>,
}

/// The heartbeat of an unlisted replica comes so many ms after it began to receive.
const LATE_HEARTBEAT_MS: u64 = 3_000;
/// A leader that is to go on in the middle of a change stands still no longer than this, in ms.
const LONGEST_WAIT_FOR_CHANGE_MS: u64 = 6_000;
/// A database that left by its goodbye serves on for so many ms.
const SERVES_ON_MS: u64 = 10_000;
/// A node that stops in order is back after so many ms.
const NODE_STOP_MS: u64 = 1_000;

/// The service that a drawn number stands for.
fn service_of(number: u8) -> ServiceName {
    ServiceName::from(SERVICES[usize::from(number) % SERVICES.len()])
}

impl World {
    /// Has a fault strike in the next change of a service.
    pub(super) fn await_change(&mut self, fault: ChangeFault, number: u8, duration_ms: u64) {
        let service = service_of(number);
        self.pending_change_faults.push(PendingChangeFault { service, fault, duration_ms });
    }

    /// Looks what a controller has applied, and has the faults strike that wait for it.
    pub(super) fn observe_changes(&mut self, number: usize) {
        for service in SERVICES.map(ServiceName::from) {
            let Some(controller) = &self.machines[number].controller else { return };
            let Some(record) = controller.state_machine().primaries().get(&service) else {
                continue;
            };
            let seen = ObservedChange { term: record.term, intent: record.intent.clone() };
            let before = self.observed_changes.entry(service.clone()).or_default();
            // Another controller may be behind.
            if seen.term < before.term || (seen.term == before.term && seen.intent.is_none()) {
                continue;
            }
            let before = std::mem::replace(before, seen.clone());
            if let Some(target) = seen.intent.filter(|_| before.intent.is_none()) {
                self.strike_change(&service, Moment::IntentCommitted, &target);
            } else if seen.term > before.term && before.term.0 > 0 {
                self.strike_change(&service, Moment::Completed, &InstanceId::from(""));
            }
        }
    }

    fn strike_change(&mut self, service: &ServiceName, moment: Moment, target: &InstanceId) {
        if self.repaired {
            return;
        }
        if moment == Moment::IntentCommitted {
            self.thaw_for_change(service);
        }
        let pending = std::mem::take(&mut self.pending_change_faults);
        let (due, rest) = pending
            .into_iter()
            .partition(|pending| pending.service == *service && pending.fault.moment() == moment);
        self.pending_change_faults = rest;
        for PendingChangeFault { fault, duration_ms, .. } in due {
            self.strike(fault, service, target, duration_ms);
        }
    }

    fn strike(
        &mut self,
        fault: ChangeFault,
        service: &ServiceName,
        target: &InstanceId,
        duration_ms: u64,
    ) {
        match fault {
            ChangeFault::TargetDeaf => {
                let until = self.now + duration_ms;
                let target = self.databases.iter_mut().find(|d| d.id == *target);
                target.into_iter().for_each(|target| target.stalled_until = until);
            }
            ChangeFault::PausedReplicaRestarts => {
                let paused = self.databases.iter().position(|d| {
                    d.service == *service && d.id != *target && d.paused && d.up && !d.removed
                });
                if let Some(number) = paused {
                    self.databases[number].up = false;
                    self.schedule_after(random_below(50), Event::DatabaseRestart(number));
                }
            }
            ChangeFault::UnlistedReplica => {
                self.add_database(&service.0, false, LATE_HEARTBEAT_MS);
            }
            ChangeFault::LeaderThaws => {
                let duration_ms = LONGEST_WAIT_FOR_CHANGE_MS;
                if let Some(number) = self.reserve_loss(FaultTarget::Leader, duration_ms) {
                    self.freeze(number, self.now + duration_ms);
                    self.machines[number].thaws_in_change_of = Some(service.clone());
                }
            }
        }
    }

    /// Machines that wait for a change of this service go on.
    fn thaw_for_change(&mut self, service: &ServiceName) {
        for number in 0..self.machines.len() {
            let machine = &mut self.machines[number];
            if machine.thaws_in_change_of.take_if(|of| of == service).is_some()
                && machine.frozen_until.is_some()
            {
                machine.frozen_until = Some(self.now);
                self.schedule_after(0, Event::ThawMachine(number));
            }
        }
    }

    /// A replica says goodbye first and serves on. Another one comes.
    pub(super) fn inject_goodbye_first(&mut self, number: u8) {
        if let Some(number) = self.pick_database(false, number)
            && !self.databases[number].drained
        {
            let database = &mut self.databases[number];
            (database.drained, database.serve_after_deregistration_ms) = (true, SERVES_ON_MS);
        }
    }

    /// A node stops in order once its next commit was passed on: it gives its leases back and says goodbye.
    pub(super) fn stop_node(&mut self, number: usize) {
        let leases: Vec<(ServiceName, DbTerm)> =
            self.nodes[number].leases.iter().map(|(s, l)| (s.clone(), l.term)).collect();
        for (service, term) in leases {
            self.nodes[number].leases.remove(&service);
            let highest = self.nodes[number].highest_positions.get(&service).copied();
            let message = ToController::RevokeAck { service, term, highest };
            self.send_to_controller(number, message);
        }
        self.send_to_controller(number, ToController::Goodbye);
        self.restart_node(number, NODE_STOP_MS);
    }
}
