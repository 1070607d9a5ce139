//! Faults after which a commit that a client was told of may be on one replica only, and the
//! controllers don't count that replica: it is not registered yet, or it left. The other replicas
//! receive nothing for a while, then the primary crashes and all nodes are lost with their reports.
use crate::base::ids::ServiceName;
use crate::simulation::change_faults::service_of;
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

impl World {
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
