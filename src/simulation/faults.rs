//! Injects the faults of a schedule, and repairs everything when fault injection ends.
use crate::base::ids::ServiceName;
use crate::base::time::Tick;
use crate::simulation::events::Event;
use crate::simulation::machines::{DiskFault, Machine};
use crate::simulation::network::Partition;
use crate::simulation::schedule::{
    Fault, FaultKind, FaultTarget, PartitionDirection, chance, random_below, random_u64,
};
use crate::simulation::world::{JOIN_SYNC_MS, PEER_PARTITION_EXTRA_MS, SERVICES, World};

/// The longest stop of all machines, in ms, so that they run for most of the schedule.
const MAX_STOP_OF_ALL_MS: u64 = 3_000;
/// The longest time in ms before a restarted node is back.
const MAX_NODE_RESTART_MS: u64 = 4_000;

impl World {
    /// The machine that a target denotes now, if there is one.
    pub(super) fn pick_machine(&self, target: FaultTarget) -> Option<usize> {
        let running = |m: &Machine| !m.removed && m.controller.is_some();
        let leads = |m: &Machine| {
            let now = Tick(self.now + m.clock_offset);
            m.controller.as_ref().is_some_and(|s| s.raft().holds_leader_lease(now))
        };
        let all: Vec<usize> =
            (0..self.machines.len()).filter(|m| running(&self.machines[*m])).collect();
        match target {
            FaultTarget::Leader => all.into_iter().find(|m| leads(&self.machines[*m])),
            FaultTarget::Number(n) => all.get(usize::from(n) % all.len().max(1)).copied(),
        }
    }

    /// The target's machine, if one more may be lost now; it then counts as lost until the end of
    /// the fault and the time it needs to rejoin.
    pub(super) fn reserve_loss(&mut self, target: FaultTarget, duration_ms: u64) -> Option<usize> {
        let number = self.pick_machine(target)?;
        let now = self.now;
        let lost = (0..self.machines.len()).filter(|m| {
            *m != number && !self.machines[*m].removed && self.machines[*m].lost_until > now
        });
        let replaced = self.machines.iter().filter(|m| m.removed && m.lost_until > now).count();
        if lost.count() + replaced >= self.schedule.tolerated_losses {
            return None;
        }
        let machine = &mut self.machines[number];
        machine.lost_until =
            machine.lost_until.max(now + duration_ms + PEER_PARTITION_EXTRA_MS + JOIN_SYNC_MS);
        Some(number)
    }

    /// Injects a fault of the schedule, by its number, unless fault injection has ended.
    pub(super) fn inject(&mut self, number: usize) {
        if self.repaired {
            return;
        }
        let Fault { duration_ms, kind, .. } = self.schedule.faults[number].clone();
        let until = self.now + duration_ms;
        match kind {
            FaultKind::Partition(target, direction) => {
                self.inject_partition(target, direction, duration_ms);
            }
            FaultKind::Freeze(target) => self.inject_freeze(target, duration_ms),
            FaultKind::Suspend(target) => self.inject_suspension(target, duration_ms),
            FaultKind::Kill(target) | FaultKind::PowerLoss(target) => {
                self.inject_stop(target, duration_ms, false);
            }
            FaultKind::DiskLoss(target) => self.inject_stop(target, duration_ms, true),
            FaultKind::Replace(target) => self.inject_replacement(target, duration_ms),
            FaultKind::StopAllMachines { disks_lost, .. } => {
                self.inject_stop_of_all(disks_lost, duration_ms);
            }
            FaultKind::DiskFull(target) => self.inject_disk_fault(target, duration_ms, true),
            FaultKind::DiskStall(target) => self.inject_disk_fault(target, duration_ms, false),
            FaultKind::ConnectionReset => self.inject_connection_reset(),
            FaultKind::PacketLoss(percent) => self.packet_loss = (until, u64::from(percent)),
            FaultKind::DatabaseCrash { primary, number } => {
                self.inject_database_crash(primary, number, until);
            }
            FaultKind::ReplicationStall(number) => {
                if let Some(number) = self.pick_database(false, number) {
                    self.databases[number].stalled_until = until;
                }
            }
            FaultKind::DatabaseReplacement { primary, number } => {
                self.inject_database_replacement(primary, number);
            }
            FaultKind::LargeConfigurations(hundreds) => {
                self.extra_routes_hundreds = u64::from(hundreds)
            }
            FaultKind::NodeRestart(number) => {
                let number = usize::from(number) % self.nodes.len();
                self.restart_node(number, duration_ms.min(MAX_NODE_RESTART_MS));
            }
            FaultKind::DuringPrimaryChange { fault, number } => {
                self.add_pending_change_fault(fault, number, duration_ms);
            }
            FaultKind::NodeShutdown(number) => {
                let number = usize::from(number) % self.nodes.len();
                self.nodes[number].shuts_down_after_commit = true;
            }
            FaultKind::EarlyDeregistration(number) => self.inject_early_deregistration(number),
            FaultKind::UnregisteredSoleHolder(number) => {
                self.inject_unregistered_sole_holder(number);
            }
            FaultKind::DepartedSoleHolder(number) => self.inject_departed_sole_holder(number),
            FaultKind::HolderCrashAfterShutdown(number) => self.add_pending_holder_crash(number),
        }
    }

    fn inject_partition(
        &mut self,
        target: FaultTarget,
        direction: PartitionDirection,
        duration_ms: u64,
    ) {
        let until = self.now + duration_ms;
        if let Some(controller) = self.reserve_loss(target, duration_ms) {
            self.partitions.push(Partition { controller, direction, until, salt: random_u64() });
        }
    }

    fn inject_freeze(&mut self, target: FaultTarget, duration_ms: u64) {
        if let Some(number) = self.reserve_loss(target, duration_ms) {
            if chance(40) {
                self.partition_beyond_freeze(number, self.now + duration_ms);
            }
            self.freeze(number, self.now + duration_ms);
        }
    }

    fn inject_suspension(&mut self, target: FaultTarget, duration_ms: u64) {
        if let Some(number) = self.reserve_loss(target, duration_ms) {
            self.partition_beyond_freeze(number, self.now + duration_ms);
            self.freeze(number, self.now + duration_ms);
            self.machines[number].suspended_since.get_or_insert(self.now);
        }
    }

    /// Freezes a machine until a time; at random the freeze begins in the middle of its next step.
    pub(super) fn freeze(&mut self, number: usize, until: u64) {
        let machine = &mut self.machines[number];
        (machine.frozen_until, machine.frozen_mid_step) = (Some(until), chance(60));
        self.schedule_at(until, Event::ResumeMachine(number));
    }

    fn inject_stop(&mut self, target: FaultTarget, duration_ms: u64, disk_lost: bool) {
        if let Some(number) = self.reserve_loss(target, duration_ms) {
            self.stop(number, disk_lost);
            self.schedule_at(self.now + duration_ms, Event::StartController(number));
        }
    }

    /// Removes a machine for good; one with an empty disk starts in its place, with existing
    /// machines as seeds.
    fn inject_replacement(&mut self, target: FaultTarget, duration_ms: u64) {
        let Some(number) = self.reserve_loss(target, duration_ms) else { return };
        self.stop(number, true);
        self.machines[number].removed = true;
        let seeds: Vec<usize> =
            (0..self.machines.len()).filter(|m| !self.machines[*m].removed).collect();
        let start = random_below(seeds.len() as u64) as usize;
        let seeds: Vec<usize> = seeds.iter().cycle().skip(start).take(3).copied().collect();
        let new = self.add_machine(&seeds, false);
        self.schedule_at(self.now + duration_ms, Event::StartController(new));
    }

    /// Stops all machines. Disks are lost up to the number of losses still tolerated.
    fn inject_stop_of_all(&mut self, disks_lost: u8, duration_ms: u64) {
        let now = self.now;
        let lost = self.machines.iter().filter(|m| m.lost_until > now).count();
        let mut disks_to_wipe =
            usize::from(disks_lost).min(self.schedule.tolerated_losses.saturating_sub(lost));
        for number in 0..self.machines.len() {
            let wipe = disks_to_wipe > 0 && self.machines[number].controller.is_some();
            disks_to_wipe -= usize::from(wipe);
            if wipe {
                self.machines[number].lost_until = now + duration_ms + JOIN_SYNC_MS;
            }
            self.stop(number, wipe);
            let restart_delay_ms = duration_ms.min(MAX_STOP_OF_ALL_MS) + random_below(300);
            self.schedule_after(restart_delay_ms, Event::StartController(number));
        }
    }

    fn inject_disk_fault(&mut self, target: FaultTarget, duration_ms: u64, full: bool) {
        let until = self.now + duration_ms;
        if let Some(number) = self.reserve_loss(target, duration_ms) {
            self.machines[number].disk_fault = Some(DiskFault { until, full });
        }
    }

    fn inject_connection_reset(&mut self) {
        let all: Vec<u64> = self.connections.keys().copied().collect();
        all.into_iter().for_each(|connection| self.close(connection));
    }

    fn inject_database_crash(&mut self, primary: bool, number: u8, until: u64) {
        if let Some(number) = self.pick_database(primary, number) {
            self.databases[number].up = false;
            self.schedule_at(until, Event::DatabaseRestart(number));
        }
    }

    fn inject_database_replacement(&mut self, primary: bool, number: u8) {
        if let Some(number) = self.pick_database(primary, number)
            && !self.databases[number].draining
        {
            self.databases[number].draining = true;
            let service = self.databases[number].service.clone();
            self.add_database(&service.0, false, 50);
        }
    }

    /// Restarts a node without its in-memory state; it is back after this many milliseconds.
    pub(super) fn restart_node(&mut self, number: usize, after: u64) {
        if let Some((connection, _)) = self.nodes[number].connection {
            self.close(connection);
        }
        let node = &mut self.nodes[number];
        node.incarnation += 1;
        (node.route_table, node.leader_hint) = (None, None);
        node.leases.clear();
        node.revoked.clear();
        node.highest_positions.clear();
        node.listed_databases.clear();
        node.commit_confirmations.clear();
        node.renewals_sent.clear();
        node.unreported_commits.clear();
        node.last_grant = None;
        let incarnation = node.incarnation;
        self.schedule_after(after, Event::NodeTurn(number, incarnation));
    }

    /// Partitions a controller from the others for longer than it is frozen, so that its clients
    /// may reach it before the other controllers do.
    fn partition_beyond_freeze(&mut self, controller: usize, frozen_until: u64) {
        let (direction, salt) = (PartitionDirection::Both, random_u64());
        self.partitions.push(Partition {
            controller,
            direction,
            until: frozen_until + PEER_PARTITION_EXTRA_MS,
            salt,
        });
    }

    /// A running database of the service that the number selects: its primary, or one of its
    /// replicas.
    pub(super) fn pick_database(&self, primary: bool, number: u8) -> Option<usize> {
        let service = ServiceName::from(SERVICES[usize::from(number) % SERVICES.len()]);
        let newest = self.newest_primary(&service);
        if primary {
            return newest.filter(|d| self.databases[*d].up);
        }
        let mut replicas = self.databases_of(&service);
        replicas.retain(|d| Some(*d) != newest && self.databases[*d].up);
        replicas.get(usize::from(number) % replicas.len().max(1)).copied()
    }

    /// Ends fault injection and repairs everything.
    pub(super) fn repair_all(&mut self) {
        self.repaired = true;
        self.partitions.clear();
        self.packet_loss = (0, 0);
        for number in 0..self.machines.len() {
            self.machines[number].disk_fault = None;
            // A stalled write completes now instead of when the stall would have ended.
            self.schedule_after(2, Event::DiskWriteDone(number, self.machines[number].incarnation));
            if self.machines[number].frozen_until.is_some() {
                self.machines[number].frozen_until = Some(self.now);
                self.schedule_after(0, Event::ResumeMachine(number));
            }
            self.schedule_after(1, Event::StartController(number));
        }
        for number in 0..self.databases.len() {
            self.databases[number].stalled_until = 0;
            self.schedule_after(1, Event::DatabaseRestart(number));
        }
    }
}
