//! Injects the faults of a schedule, and repairs everything at its end.
use crate::base::ids::ServiceName;
use crate::base::time::Tick;
use crate::simulation::events::Event;
use crate::simulation::machines::Machine;
use crate::simulation::network::Partition;
use crate::simulation::schedule::{
    CutDirection, Fault, FaultKind, FaultTarget, chance, draw, draw_below,
};
use crate::simulation::world::{JOIN_SYNC_MS, LATER_HEARD_MS, SERVICES, World};

impl World {
    fn pick_machine(&self, target: FaultTarget) -> Option<usize> {
        let here = |m: &Machine| !m.gone && m.controller.is_some();
        let leads = |m: &Machine| {
            let now = Tick(self.now + m.clock_offset);
            m.controller.as_ref().is_some_and(|s| s.raft().holds_leader_lease(now))
        };
        let all: Vec<usize> =
            (0..self.machines.len()).filter(|m| here(&self.machines[*m])).collect();
        match target {
            FaultTarget::Leader => all.into_iter().find(|m| leads(&self.machines[*m])),
            FaultTarget::Number(n) => all.get(usize::from(n) % all.len().max(1)).copied(),
        }
    }

    /// Whether a controller may be lost now for so long; it then counts as lost.
    fn reserve_loss(&mut self, target: FaultTarget, lasts_ms: u64) -> Option<usize> {
        let number = self.pick_machine(target)?;
        let now = self.now;
        let lost = (0..self.machines.len())
            .filter(|m| *m != number && !self.machines[*m].gone && self.machines[*m].lost > now);
        let replaced = self.machines.iter().filter(|m| m.gone && m.lost > now).count();
        if lost.count() + replaced >= self.schedule.tolerated {
            return None;
        }
        let machine = &mut self.machines[number];
        machine.lost = machine.lost.max(now + lasts_ms + LATER_HEARD_MS + JOIN_SYNC_MS);
        Some(number)
    }

    pub(super) fn inject(&mut self, number: usize) {
        if self.repaired {
            return;
        }
        let Fault { lasts_ms, kind, .. } = self.schedule.faults[number].clone();
        let until = self.now + lasts_ms;
        match kind {
            FaultKind::Partition(target, direction) => {
                if let Some(controller) = self.reserve_loss(target, lasts_ms) {
                    self.partitions.push(Partition { controller, direction, until, salt: draw() });
                }
            }
            FaultKind::Freeze(target) => {
                if let Some(number) = self.reserve_loss(target, lasts_ms) {
                    if chance(40) {
                        self.partition_past(number, until);
                    }
                    let machine = &mut self.machines[number];
                    (machine.frozen_until, machine.frozen_mid_step) = (Some(until), chance(60));
                    self.schedule_at(until, Event::Thaw(number));
                }
            }
            FaultKind::Suspend(target) => {
                if let Some(number) = self.reserve_loss(target, lasts_ms) {
                    self.partition_past(number, until);
                    let machine = &mut self.machines[number];
                    (machine.frozen_until, machine.frozen_mid_step) = (Some(until), chance(60));
                    machine.suspended_since.get_or_insert(self.now);
                    self.schedule_at(until, Event::Thaw(number));
                }
            }
            FaultKind::Kill(target)
            | FaultKind::PowerLoss(target)
            | FaultKind::DiskLoss(target) => {
                if let Some(number) = self.reserve_loss(target, lasts_ms) {
                    self.stop(number, matches!(kind, FaultKind::DiskLoss(_)));
                    self.schedule_at(until, Event::Start(number));
                }
            }
            FaultKind::Replace(target) => {
                if let Some(number) = self.reserve_loss(target, lasts_ms) {
                    self.stop(number, true);
                    self.machines[number].gone = true;
                    let seeds: Vec<usize> =
                        (0..self.machines.len()).filter(|m| !self.machines[*m].gone).collect();
                    let start = draw_below(seeds.len() as u64) as usize;
                    let seeds: Vec<usize> =
                        seeds.iter().cycle().skip(start).take(3).copied().collect();
                    let new = self.add_machine(&seeds, false);
                    self.schedule_at(until, Event::Start(new));
                }
            }
            FaultKind::AllMachines { wiped, .. } => {
                let now = self.now;
                let lost = self.machines.iter().filter(|m| m.lost > now).count();
                let mut wipes =
                    usize::from(wiped).min(self.schedule.tolerated.saturating_sub(lost));
                for number in 0..self.machines.len() {
                    let wipe = wipes > 0 && self.machines[number].controller.is_some();
                    wipes -= usize::from(wipe);
                    if wipe {
                        self.machines[number].lost = now + lasts_ms + JOIN_SYNC_MS;
                    }
                    self.stop(number, wipe);
                    let back = lasts_ms.min(3_000) + draw_below(300);
                    self.schedule_after(back, Event::Start(number));
                }
            }
            FaultKind::DiskFull(target) | FaultKind::DiskStall(target) => {
                if let Some(number) = self.reserve_loss(target, lasts_ms) {
                    let full = matches!(kind, FaultKind::DiskFull(_));
                    self.machines[number].disk_fault = Some((until, full));
                }
            }
            FaultKind::ConnectionReset => {
                let all: Vec<u64> = self.connections.keys().copied().collect();
                all.into_iter().for_each(|conn| self.close(conn));
            }
            FaultKind::PacketLoss(percent) => self.packet_loss = (until, u64::from(percent)),
            FaultKind::DatabaseCrash { primary, number } => {
                if let Some(number) = self.pick_database(primary, number) {
                    self.databases[number].up = false;
                    self.schedule_at(until, Event::DatabaseUp(number));
                }
            }
            FaultKind::ReplicationStall(number) => {
                if let Some(number) = self.pick_database(false, number) {
                    self.databases[number].stalled_until = until;
                }
            }
            FaultKind::DatabaseLeave { primary, number } => {
                if let Some(number) = self.pick_database(primary, number)
                    && !self.databases[number].draining
                {
                    self.databases[number].draining = true;
                    let service = self.databases[number].service.clone();
                    self.add_database(&service.0, false, 50);
                }
            }
            FaultKind::LargeConfigurations(hundreds) => self.large = u64::from(hundreds),
            FaultKind::NodeRestart(number) => {
                let number = usize::from(number) % self.nodes.len();
                if let Some((conn, _)) = self.nodes[number].conn {
                    self.close(conn);
                }
                let node = &mut self.nodes[number];
                node.incarnation += 1;
                (node.config, node.hint) = (None, None);
                node.leases.clear();
                node.revoked.clear();
                node.highest.clear();
                node.sent.clear();
                let incarnation = node.incarnation;
                self.schedule_after(lasts_ms.min(4_000), Event::NodeTurn(number, incarnation));
            }
        }
    }

    fn partition_past(&mut self, controller: usize, than: u64) {
        let (direction, salt) = (CutDirection::Both, draw());
        self.partitions.push(Partition {
            controller,
            direction,
            until: than + LATER_HEARD_MS,
            salt,
        });
    }

    fn pick_database(&self, primary: bool, number: u8) -> Option<usize> {
        let service = ServiceName::from(SERVICES[usize::from(number) % SERVICES.len()]);
        let newest = self.newest_primary(&service);
        if primary {
            return newest.filter(|d| self.databases[*d].up);
        }
        let mut replicas = self.databases_of(&service);
        replicas.retain(|d| Some(*d) != newest && self.databases[*d].up);
        replicas.get(usize::from(number) % replicas.len().max(1)).copied()
    }

    /// All is well again from here on.
    pub(super) fn repair_all(&mut self) {
        self.repaired = true;
        self.partitions.clear();
        self.packet_loss = (0, 0);
        for number in 0..self.machines.len() {
            self.machines[number].disk_fault = None;
            // What a stalled disk was given is written now, not when the stall would have ended.
            self.schedule_after(2, Event::WriteDone(number, self.machines[number].incarnation));
            if self.machines[number].frozen_until.is_some() {
                self.machines[number].frozen_until = Some(self.now);
                self.schedule_after(0, Event::Thaw(number));
            }
            self.schedule_after(1, Event::Start(number));
        }
        for number in 0..self.databases.len() {
            self.databases[number].stalled_until = 0;
            self.schedule_after(1, Event::DatabaseUp(number));
        }
    }
}
