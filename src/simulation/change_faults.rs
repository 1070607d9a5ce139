//! Faults that are injected while the primary of a service changes, so that what a controller
//! learned before a step is no longer true when it acts. Each waits for a step of the change,
//! because faults at random times would seldom coincide with it.
use crate::base::ids::{DbTerm, InstanceId, ServiceName};
use crate::net::rpc::pooler_messages::ToController;
use crate::simulation::events::Event;
use crate::simulation::schedule::{FaultTarget, random_below};
use crate::simulation::world::{SERVICES, World};

/// The fault to inject.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ChangeFault {
    /// The replica chosen for promotion stops receiving log data.
    TargetReplicationStall,
    /// A paused replica restarts, which ends the pause of its replication.
    PausedReplicaRestart,
    /// A new replica receives and acknowledges log data for seconds before its first heartbeat.
    UnregisteredReplica,
    /// The leader freezes when a change has completed, and resumes in the middle of the next one.
    LeaderResume,
}

/// The steps of a change that faults wait for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ChangeStep {
    /// The intent to promote a replica was committed.
    IntentCommitted,
    /// The new primary was recorded.
    Completed,
}

impl ChangeFault {
    fn step(self) -> ChangeStep {
        match self {
            ChangeFault::LeaderResume => ChangeStep::Completed,
            _ => ChangeStep::IntentCommitted,
        }
    }
}

/// A fault that waits for the next change of a service's primary.
pub(super) struct PendingChangeFault {
    service: ServiceName,
    fault: ChangeFault,
    duration_ms: u64,
}

/// The last observed state of the change of a service's primary.
#[derive(Clone, Default, PartialEq)]
pub(super) struct ObservedChange {
    term: DbTerm,
    intent: Option<InstanceId>,
}

/// The time in ms from the start of an unregistered replica to its first heartbeat.
const FIRST_HEARTBEAT_DELAY_MS: u64 = 3_000;
/// The longest freeze of a leader that waits for the next change, in ms.
const MAX_LEADER_FREEZE_MS: u64 = 6_000;
/// How long a replica that deregistered before it stopped keeps serving, in ms.
const SERVE_AFTER_DEREGISTRATION_MS: u64 = 10_000;
/// The time in ms after which a node that shut down starts again.
const NODE_SHUTDOWN_MS: u64 = 1_000;

/// The service that a random number selects.
pub(super) fn service_of(number: u8) -> ServiceName {
    ServiceName::from(SERVICES[usize::from(number) % SERVICES.len()])
}

impl World {
    /// Adds a fault that waits for the next change of a service's primary.
    pub(super) fn add_pending_change_fault(
        &mut self,
        fault: ChangeFault,
        number: u8,
        duration_ms: u64,
    ) {
        let service = service_of(number);
        self.pending_change_faults.push(PendingChangeFault { service, fault, duration_ms });
    }

    /// Compares the state that a controller has applied with the last observed one, and injects the
    /// faults that wait for the step between the two.
    pub(super) fn observe_changes(&mut self, number: usize) {
        for service in SERVICES.map(ServiceName::from) {
            let Some(controller) = &self.machines[number].controller else { return };
            let Some(record) = controller.state_machine().primaries().get(&service) else {
                continue;
            };
            let seen = ObservedChange { term: record.term, intent: record.intent.clone() };
            let before = self.observed_changes.entry(service.clone()).or_default();
            // This controller may be behind another one that was compared before.
            if seen.term < before.term || (seen.term == before.term && seen.intent.is_none()) {
                continue;
            }
            let before = std::mem::replace(before, seen.clone());
            if let Some(target) = seen.intent.filter(|_| before.intent.is_none()) {
                self.inject_pending_change_faults(&service, ChangeStep::IntentCommitted, &target);
            } else if seen.term > before.term && before.term.0 > 0 {
                self.inject_pending_change_faults(
                    &service,
                    ChangeStep::Completed,
                    &InstanceId::from(""),
                );
            }
        }
    }

    fn inject_pending_change_faults(
        &mut self,
        service: &ServiceName,
        step: ChangeStep,
        target: &InstanceId,
    ) {
        if self.repaired {
            return;
        }
        if step == ChangeStep::IntentCommitted {
            self.resume_for_change(service);
        }
        let pending = std::mem::take(&mut self.pending_change_faults);
        let (due, rest) = pending
            .into_iter()
            .partition(|pending| pending.service == *service && pending.fault.step() == step);
        self.pending_change_faults = rest;
        for PendingChangeFault { fault, duration_ms, .. } in due {
            self.inject_change_fault(fault, service, target, duration_ms);
        }
    }

    fn inject_change_fault(
        &mut self,
        fault: ChangeFault,
        service: &ServiceName,
        target: &InstanceId,
        duration_ms: u64,
    ) {
        match fault {
            ChangeFault::TargetReplicationStall => {
                let until = self.now + duration_ms;
                let target = self.databases.iter_mut().find(|d| d.id == *target);
                target.into_iter().for_each(|target| target.stalled_until = until);
            }
            ChangeFault::PausedReplicaRestart => {
                let paused = self.databases.iter().position(|d| {
                    d.service == *service && d.id != *target && d.paused && d.up && !d.removed
                });
                if let Some(number) = paused {
                    self.databases[number].up = false;
                    self.schedule_after(random_below(50), Event::DatabaseRestart(number));
                }
            }
            ChangeFault::UnregisteredReplica => {
                self.add_database(&service.0, false, FIRST_HEARTBEAT_DELAY_MS);
            }
            ChangeFault::LeaderResume => {
                let duration_ms = MAX_LEADER_FREEZE_MS;
                if let Some(number) = self.reserve_loss(FaultTarget::Leader, duration_ms) {
                    self.freeze(number, self.now + duration_ms);
                    self.machines[number].resumes_in_change_of = Some(service.clone());
                }
            }
        }
    }

    /// Resumes the frozen machines that wait for a change of this service.
    fn resume_for_change(&mut self, service: &ServiceName) {
        for number in 0..self.machines.len() {
            let machine = &mut self.machines[number];
            if machine.resumes_in_change_of.take_if(|awaited| awaited == service).is_some()
                && machine.frozen_until.is_some()
            {
                machine.frozen_until = Some(self.now);
                self.schedule_after(0, Event::ResumeMachine(number));
            }
        }
    }

    /// Has a replica deregister before it stops: it keeps serving for a while.
    pub(super) fn inject_early_deregistration(&mut self, number: u8) {
        if let Some(number) = self.pick_database(false, number)
            && !self.databases[number].drained
        {
            let database = &mut self.databases[number];
            (database.drained, database.serve_after_deregistration_ms) =
                (true, SERVE_AFTER_DEREGISTRATION_MS);
        }
    }

    /// Shuts a node down gracefully: it returns its leases, sends `Goodbye`, and starts again
    /// later.
    pub(super) fn shut_down_node(&mut self, number: usize) {
        let leases: Vec<(ServiceName, DbTerm)> =
            self.nodes[number].leases.iter().map(|(s, l)| (s.clone(), l.term)).collect();
        for (service, term) in leases {
            self.nodes[number].leases.remove(&service);
            let highest = self.nodes[number].highest_positions.get(&service).copied();
            let message = ToController::RevokeAck { service, term, highest };
            self.send_to_controller(number, message);
        }
        self.send_to_controller(number, ToController::Goodbye);
        self.restart_node(number, NODE_SHUTDOWN_MS);
    }
}
