//! Injects the faults of a schedule, and repairs everything at its end.
use crate::base::ids::ServiceName;
use crate::base::time::Tick;
use crate::simulation::events::Event;
use crate::simulation::machines::Machine;
use crate::simulation::network::Cut;
use crate::simulation::schedule::{Kind, Trouble, Way, Whom, chance, draw, upto};
use crate::simulation::world::{JOIN_SYNC_MS, LATER_HEARD_MS, SERVICES, World};

impl World {
    fn whom(&self, whom: Whom) -> Option<usize> {
        let here = |m: &Machine| !m.gone && m.controller.is_some();
        let leads = |m: &Machine| {
            let now = Tick(self.now + m.ahead);
            m.controller.as_ref().is_some_and(|s| s.raft().holds_leader_lease(now))
        };
        let all: Vec<usize> =
            (0..self.machines.len()).filter(|m| here(&self.machines[*m])).collect();
        match whom {
            Whom::Leader => all.into_iter().find(|m| leads(&self.machines[*m])),
            Whom::Number(n) => all.get(usize::from(n) % all.len().max(1)).copied(),
        }
    }

    /// Whether a controller may be lost now for so long; it then counts as lost.
    fn may_lose(&mut self, whom: Whom, lasts: u64) -> Option<usize> {
        let number = self.whom(whom)?;
        let now = self.now;
        let lost = (0..self.machines.len())
            .filter(|m| *m != number && !self.machines[*m].gone && self.machines[*m].lost > now);
        let replaced = self.machines.iter().filter(|m| m.gone && m.lost > now).count();
        if lost.count() + replaced >= self.schedule.tolerated {
            return None;
        }
        let machine = &mut self.machines[number];
        machine.lost = machine.lost.max(now + lasts + LATER_HEARD_MS + JOIN_SYNC_MS);
        Some(number)
    }

    pub(super) fn strike(&mut self, number: usize) {
        if self.healed {
            return;
        }
        let Trouble { lasts, kind, .. } = self.schedule.troubles[number].clone();
        let until = self.now + lasts;
        match kind {
            Kind::Cut(whom, way) => {
                if let Some(controller) = self.may_lose(whom, lasts) {
                    self.cuts.push(Cut { controller, way, until, salt: draw() });
                }
            }
            Kind::Freeze(whom) => {
                if let Some(number) = self.may_lose(whom, lasts) {
                    if chance(40) {
                        self.cut_a_little_longer(number, until);
                    }
                    let machine = &mut self.machines[number];
                    (machine.frozen, machine.midway) = (Some(until), chance(60));
                    self.at(until, Event::Thaw(number));
                }
            }
            Kind::Suspend(whom) => {
                if let Some(number) = self.may_lose(whom, lasts) {
                    self.cut_a_little_longer(number, until);
                    let machine = &mut self.machines[number];
                    (machine.frozen, machine.midway) = (Some(until), chance(60));
                    machine.suspended.get_or_insert(self.now);
                    self.at(until, Event::Thaw(number));
                }
            }
            Kind::Kill(whom) | Kind::Power(whom) | Kind::Wipe(whom) => {
                if let Some(number) = self.may_lose(whom, lasts) {
                    self.stop(number, matches!(kind, Kind::Wipe(_)));
                    self.at(until, Event::Start(number));
                }
            }
            Kind::Replace(whom) => {
                if let Some(number) = self.may_lose(whom, lasts) {
                    self.stop(number, true);
                    self.machines[number].gone = true;
                    let seeds: Vec<usize> =
                        (0..self.machines.len()).filter(|m| !self.machines[*m].gone).collect();
                    let start = upto(seeds.len() as u64) as usize;
                    let seeds: Vec<usize> =
                        seeds.iter().cycle().skip(start).take(3).copied().collect();
                    let new = self.add_machine(&seeds, false);
                    self.at(until, Event::Start(new));
                }
            }
            Kind::All { wiped, .. } => {
                let now = self.now;
                let lost = self.machines.iter().filter(|m| m.lost > now).count();
                let mut wipes =
                    usize::from(wiped).min(self.schedule.tolerated.saturating_sub(lost));
                for number in 0..self.machines.len() {
                    let wipe = wipes > 0 && self.machines[number].controller.is_some();
                    wipes -= usize::from(wipe);
                    if wipe {
                        self.machines[number].lost = now + lasts + JOIN_SYNC_MS;
                    }
                    self.stop(number, wipe);
                    let back = lasts.min(3_000) + upto(300);
                    self.soon(back, Event::Start(number));
                }
            }
            Kind::DiskFull(whom) | Kind::DiskStall(whom) => {
                if let Some(number) = self.may_lose(whom, lasts) {
                    let full = matches!(kind, Kind::DiskFull(_));
                    self.machines[number].disk_ill = Some((until, full));
                }
            }
            Kind::Reset => {
                let all: Vec<u64> = self.conns.keys().copied().collect();
                all.into_iter().for_each(|conn| self.close(conn));
            }
            Kind::Lossy(percent) => self.lossy = (until, u64::from(percent)),
            Kind::Crash { primary, number } => {
                if let Some(number) = self.pick_database(primary, number) {
                    self.databases[number].up = false;
                    self.at(until, Event::DatabaseUp(number));
                }
            }
            Kind::Deaf(number) => {
                if let Some(number) = self.pick_database(false, number) {
                    self.databases[number].deaf = until;
                }
            }
            Kind::Leave { primary, number } => {
                if let Some(number) = self.pick_database(primary, number)
                    && !self.databases[number].draining
                {
                    self.databases[number].draining = true;
                    let service = self.databases[number].service.clone();
                    self.add_database(&service.0, false, 50);
                }
            }
            Kind::Large(hundreds) => self.large = u64::from(hundreds),
            Kind::NodeKill(number) => {
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
                self.soon(lasts.min(4_000), Event::Node(number, incarnation));
            }
        }
    }

    fn cut_a_little_longer(&mut self, controller: usize, than: u64) {
        let (way, salt) = (Way::Both, draw());
        self.cuts.push(Cut { controller, way, until: than + LATER_HEARD_MS, salt });
    }

    fn pick_database(&self, primary: bool, number: u8) -> Option<usize> {
        let service = ServiceName::from(SERVICES[usize::from(number) % SERVICES.len()]);
        let newest = self.primary(&service);
        if primary {
            return newest.filter(|d| self.databases[*d].up);
        }
        let mut replicas = self.of_service(&service);
        replicas.retain(|d| Some(*d) != newest && self.databases[*d].up);
        replicas.get(usize::from(number) % replicas.len().max(1)).copied()
    }

    /// All is well again from here on.
    pub(super) fn heal(&mut self) {
        self.healed = true;
        self.cuts.clear();
        self.lossy = (0, 0);
        for number in 0..self.machines.len() {
            self.machines[number].disk_ill = None;
            // What a stalled disk was given is written now, not when the stall would have ended.
            self.soon(2, Event::Written(number, self.machines[number].incarnation));
            if self.machines[number].frozen.is_some() {
                self.machines[number].frozen = Some(self.now);
                self.soon(0, Event::Thaw(number));
            }
            self.soon(1, Event::Start(number));
        }
        for number in 0..self.databases.len() {
            self.databases[number].deaf = 0;
            self.soon(1, Event::DatabaseUp(number));
        }
    }
}
