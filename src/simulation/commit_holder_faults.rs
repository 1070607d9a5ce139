//! Faults after which a commit that a client was told of may be on one replica only.
//!
//! The controllers don't count that replica, because it is not registered yet, or it left. The other
//! replicas receive nothing for a while, then the primary crashes and all nodes are lost with their
//! reports. Or the node that forwarded the commit shuts down gracefully, and the primary and the
//! replica crash: only what the node reported says that the commit exists.
use crate::base::ids::ServiceName;
use crate::simulation::change_faults::service_of;
use crate::simulation::databases::Write;
use crate::simulation::events::Event;
use crate::simulation::world::World;

/// The time in ms from the start of an unregistered replica to its first heartbeat.
const FIRST_HEARTBEAT_DELAY_MS: u64 = 3_000;
/// The time in ms in which a new replica begins to receive, before the others stall.
const NEW_REPLICA_START_MS: u64 = 100;
/// How long a replica that deregistered keeps serving, in ms.
const SERVE_AFTER_DEREGISTRATION_MS: u64 = 10_000;
/// The time in ms from the deregistration of a replica to the stall of the others. Within it, the
/// controllers may conclude that the replica has stopped.
const DEPARTED_REPLICA_STALL_MS: u64 = 3_500;
/// How long the controllers' connections to the departed replica break, in ms.
const BROKEN_CONNECTIONS_MS: u64 = 2_500;
/// The time in ms for which commits depend on the one replica, before the primary is lost.
const SOLE_HOLDER_MS: u64 = 400;
/// How long the other replicas receive nothing, in ms.
const STALL_MS: u64 = 3_900;
/// How long the primary is down, in ms.
const PRIMARY_CRASH_MS: u64 = 7_000;
/// The time in ms after which the lost nodes are back.
const NODE_RESTART_MS: u64 = 1_000;

/// A node whose next commit to a service only one replica receives. Once the node has forwarded it,
/// the node shuts down, and all that have the commit crash.
pub(super) struct PendingHolderCrash {
    node: usize,
    service: ServiceName,
    /// The commit and the replica that receives it, once the node has sent its write.
    sole: Option<(Write, usize)>,
}

impl World {
    /// Waits for the next commit of a node to a service, see [`PendingHolderCrash`].
    pub(super) fn add_pending_holder_crash(&mut self, number: u8) {
        let node = usize::from(number) % self.nodes.len();
        let service = service_of(number);
        self.pending_holder_crashes.push(PendingHolderCrash { node, service, sole: None });
    }

    /// Stalls all replicas but one, if a fault waits for this write of the node to the primary.
    pub(super) fn isolate_write(&mut self, node: usize, primary: usize, write: Write) {
        if self.repaired {
            return;
        }
        let service = self.databases[primary].service.clone();
        let replicas: Vec<usize> = self
            .databases_of(&service)
            .into_iter()
            .filter(|replica| *replica != primary && self.databases[*replica].up)
            .collect();
        let Some((holder, others)) = replicas.split_first() else { return };
        let waiting = self
            .pending_holder_crashes
            .iter_mut()
            .find(|fault| fault.node == node && fault.service == service && fault.sole.is_none());
        let Some(fault) = waiting else { return };
        fault.sole = Some((write, *holder));
        for other in others {
            self.databases[*other].stalled_until = self.now + STALL_MS;
        }
    }

    /// Shuts the node down that has forwarded this commit, and crashes the primary and the replica
    /// that have it, if a fault waits for that.
    pub(super) fn crash_holders_of(&mut self, node: usize, service: &ServiceName, write: &Write) {
        let is_due = |fault: &PendingHolderCrash| {
            fault.node == node && fault.sole.as_ref().is_some_and(|(sole, _)| sole == write)
        };
        let Some(index) = self.pending_holder_crashes.iter().position(is_due) else { return };
        let fault = self.pending_holder_crashes.swap_remove(index);
        if self.repaired {
            return;
        }
        self.shut_down_node(node);
        let holder = fault.sole.map(|(_, holder)| holder);
        for database in self.newest_primary(service).into_iter().chain(holder) {
            self.databases[database].up = false;
            self.schedule_after(PRIMARY_CRASH_MS, Event::DatabaseRestart(database));
        }
    }

    /// A new replica receives and acknowledges the log before the controllers know it, and soon no
    /// other replica does; then the primary and all nodes are lost.
    pub(super) fn inject_unregistered_sole_holder(&mut self, number: u8) {
        let service = service_of(number);
        let holder = self.databases.len();
        self.add_database(&service.0, false, FIRST_HEARTBEAT_DELAY_MS);
        // Replication doesn't wait for the first heartbeat.
        self.schedule_after(NEW_REPLICA_START_MS, Event::StallReplicasExcept(holder));
    }

    /// A replica deregisters and serves on, and a connection of the controllers to it breaks; then
    /// no other replica receives, and the primary and all nodes are lost.
    pub(super) fn inject_departed_sole_holder(&mut self, number: u8) {
        let Some(holder) =
            self.pick_database(false, number).filter(|d| !self.databases[*d].drained)
        else {
            return;
        };
        let now = self.now;
        let database = &mut self.databases[holder];
        (database.drained, database.serve_after_deregistration_ms) =
            (true, SERVE_AFTER_DEREGISTRATION_MS);
        database.connections_break_until = now + BROKEN_CONNECTIONS_MS;
        self.schedule_after(DEPARTED_REPLICA_STALL_MS, Event::StallReplicasExcept(holder));
    }

    /// Stalls all replicas of the holder's service but the holder, for longer than the loss of the
    /// primary takes to be noticed.
    pub(super) fn stall_replicas_except(&mut self, holder: usize) {
        if self.repaired {
            return;
        }
        let service = self.databases[holder].service.clone();
        for replica in self.databases_of(&service) {
            if replica != holder && !self.databases[replica].primary {
                self.databases[replica].stalled_until = self.now + STALL_MS;
            }
        }
        self.schedule_after(SOLE_HOLDER_MS, Event::LosePrimaryAndNodes(service));
    }

    /// Crashes the primary of a service, and restarts all nodes without their state.
    pub(super) fn lose_primary_and_nodes(&mut self, service: &ServiceName) {
        if self.repaired {
            return;
        }
        if let Some(primary) = self.newest_primary(service) {
            self.databases[primary].up = false;
            self.schedule_after(PRIMARY_CRASH_MS, Event::DatabaseRestart(primary));
        }
        for node in 0..self.nodes.len() {
            self.restart_node(node, NODE_RESTART_MS);
        }
    }
}
