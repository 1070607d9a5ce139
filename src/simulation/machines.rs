//! The controllers' machines: processes that start, stop, stand still, and their disks.
use crate::base::ids::{LogIndex, MemberId, ServiceName};
use crate::base::time::Tick;
use crate::config::settings::Settings;
use crate::controller::core::Controller;
use crate::controller::effects::Input;
use crate::controller::process::first_state;
use crate::net::rpc::raft_messages::Member;
use crate::net::rpc::{Frame, receive};
use crate::raft::storage::{RaftStorage, WriteBatch};
use crate::simulation::events::Event;
use crate::simulation::network::{Party, RemoteEnd};
use crate::simulation::recorded_effects::RecordedEffects;
use crate::simulation::schedule::{chance, random_below, random_u64};
use crate::simulation::world::{
    ADMIN_PORT, JOIN_SYNC_MS, PEER_PORT, World, address_of, machine_of,
};
use std::net::SocketAddr;

/// A disk that takes no writes.
#[derive(Clone, Copy)]
pub(super) struct DiskFault {
    pub(super) until: u64,
    /// It refuses writes; otherwise it stalls them until then.
    pub(super) full: bool,
}

/// A controller's machine: its disk, its clock, and the process while it runs.
pub(super) struct Machine {
    pub(super) settings: Settings,
    pub(super) disk: RaftStorage,
    pub(super) controller: Option<Controller<RecordedEffects>>,
    /// Grows with each start, so that what was meant for an older process is known.
    pub(super) incarnation: u64,
    /// Its steady clock is ahead of the world's by this.
    pub(super) clock_offset: u64,
    pub(super) wake: u64,
    pub(super) frozen_until: Option<u64>,
    /// Frozen in the middle of a step: what that step decides leaves only when it wakes.
    pub(super) frozen_mid_step: bool,
    /// It wakes when the primary of this service changes next.
    pub(super) thaws_in_change_of: Option<ServiceName>,
    /// Since when its steady clock stands still.
    pub(super) suspended_since: Option<u64>,
    pub(super) backlog: Vec<Input>,
    pub(super) pending_write: Option<WriteBatch>,
    pub(super) disk_fault: Option<DiskFault>,
    /// Counts as lost until then.
    pub(super) lost: u64,
    pub(super) gone: bool,
    pub(super) me: MemberId,
    pub(super) checked: LogIndex,
    pub(super) applied: LogIndex,
}

impl Machine {
    pub(super) fn thaw(&mut self, now: u64) {
        (self.frozen_until, self.frozen_mid_step) = (None, false);
        if let Some(since) = self.suspended_since.take() {
            self.clock_offset -= now - since;
        }
    }
}

impl World {
    pub(super) fn add_machine(&mut self, seeds: &[usize], bootstrap: bool) -> usize {
        let number = self.machines.len();
        let seeds: Vec<String> =
            seeds.iter().map(|m| format!("\"{}\"", address_of(*m, ADMIN_PORT))).collect();
        let text = format!(
            "node_name = \"n{number}\"\nip_address = \"{}\"\nzone = \"z{number}\"\n\
             port_range = [{PEER_PORT}, {PEER_PORT}]\nseed_nodes = [{}]\nbootstrap = {bootstrap}\n\
             data_path = \"/none\"\nheartbeat_ms = 1000\n[listeners]\nadmin = \"{}\"\n\
             [fault_tolerance]\nmachines = {}\n[timing_bounds]\njoin_sync_s = {}\n\
             [provider]\naddress = \"10.9.0.1:9\"\n",
            address_of(number, ADMIN_PORT).ip(),
            seeds.join(", "),
            address_of(number, ADMIN_PORT),
            self.schedule.tolerated_losses,
            JOIN_SYNC_MS / 1_000,
        );
        let (settings, disk) = match (Settings::parse(&text), RaftStorage::in_memory()) {
            (Ok(settings), Ok(disk)) => (settings, disk),
            (settings, disk) => {
                // Neither depends on the schedule; a simulation that can't be set up runs nothing.
                self.report_violation(format!("no machine: {:?} {:?}", settings.err(), disk.err()));
                return number;
            }
        };
        self.machines.push(Machine {
            settings,
            disk,
            controller: None,
            incarnation: 0,
            clock_offset: 100_000 + random_below(1_000_000),
            wake: 0,
            frozen_until: None,
            frozen_mid_step: false,
            thaws_in_change_of: None,
            suspended_since: None,
            backlog: Vec::new(),
            pending_write: None,
            disk_fault: None,
            lost: 0,
            gone: false,
            me: MemberId(0),
            checked: LogIndex(0),
            applied: LogIndex(0),
        });
        number
    }

    /// Starts the controller of a machine on what its disk holds.
    pub(super) fn start(&mut self, number: usize) {
        let now = self.now;
        if self.machines[number].gone || self.machines[number].controller.is_some() {
            return;
        }
        if !self.machines[number].settings.bootstrap
            && matches!(self.machines[number].disk.load(), Ok(None))
        {
            // An empty machine is given seeds that are there.
            let there = |m: &usize| !self.machines[*m].gone && self.machines[*m].lost <= now;
            let all = (0..self.machines.len()).cycle().skip(number + 1).take(self.machines.len());
            let seeds = all.filter(there).take(3).map(|m| address_of(m, ADMIN_PORT)).collect();
            self.machines[number].settings.seed_nodes = seeds;
        }
        let machine = &mut self.machines[number];
        machine.incarnation += 1;
        let kept = match machine.disk.load() {
            Ok(Some(kept)) => Ok((kept, true)),
            Ok(None) => {
                let first =
                    first_state(&machine.settings, address_of(number, ADMIN_PORT), random_u64);
                let saved = machine
                    .disk
                    .save(&WriteBatch::new(&first, &crate::raft::state::UnsavedChanges::all()));
                saved.map(|()| (first, false)).map_err(|e| e.to_string())
            }
            Err(e) => Err(e.to_string()),
        };
        let tick = Tick(now + machine.clock_offset);
        let started = kept.and_then(|(kept, again)| {
            machine.me = kept.member_id;
            (machine.checked, machine.applied) =
                (kept.snapshot.last_included.index, kept.snapshot.last_included.index);
            let settings = machine.settings.clone();
            Controller::new(settings, kept, again, random_u64, RecordedEffects::default(), tick)
                .map_err(|e| e.to_string())
        });
        match started {
            Ok(controller) => {
                machine.controller = Some(controller);
                // Only the very first start is a bootstrap.
                machine.settings.bootstrap = false;
                self.step(number, None);
            }
            Err(e) => self.report_violation(format!("n{number} does not start: {e}")),
        }
    }

    /// The process ends; with `power` the machine does. A write under direction is kept or lost.
    pub(super) fn stop(&mut self, number: usize, wipe: bool) {
        let machine = &mut self.machines[number];
        if machine.controller.take().is_none() {
            return;
        }
        let pending_write = machine.pending_write.take().filter(|_| chance(50));
        if let Some(batch) = pending_write
            && let Err(e) = machine.disk.save(&batch)
        {
            self.report_violation(format!("the simulated disk: {e}"));
        }
        let machine = &mut self.machines[number];
        if wipe && let Ok(empty) = RaftStorage::in_memory() {
            machine.disk = empty;
        }
        machine.thaw(self.now);
        machine.backlog.clear();
        let ended: Vec<u64> =
            self.connections.iter().filter(|(_, (at, _))| *at == number).map(|(c, _)| *c).collect();
        ended.into_iter().for_each(|conn| self.close(conn));
    }

    /// A machine that stood still goes on, with all that came meanwhile.
    pub(super) fn wake(&mut self, number: usize) {
        let machine = &mut self.machines[number];
        machine.thaw(self.now);
        for input in std::mem::take(&mut machine.backlog) {
            self.step(number, Some(input));
        }
    }

    /// Hands a controller an input, or only lets it take a turn, and does what it then wants done.
    pub(super) fn step(&mut self, number: usize, input: Option<Input>) {
        let machine = &mut self.machines[number];
        let frozen_mid_step = std::mem::take(&mut machine.frozen_mid_step);
        if let Some(thaw) = machine.frozen_until
            && !frozen_mid_step
        {
            if self.now < thaw {
                machine.backlog.extend(input);
                return;
            }
            self.wake(number);
        }
        let machine = &mut self.machines[number];
        let held = machine.frozen_until.map_or(0, |thaw| thaw.saturating_sub(self.now));
        let Some(controller) = &mut machine.controller else { return };
        let now = Tick(self.now + machine.clock_offset);
        if let Some(input) = input {
            controller.handle_input(input, now);
        }
        if let Err(e) = controller.step(now) {
            return self.report_violation(format!("n{number} stops: {e}"));
        }
        machine.wake += 1;
        let wake = Event::Wake(number, machine.incarnation, machine.wake);
        let due = controller.millis_until_step(now).max(1);
        let mut wanted = std::mem::take(&mut controller.effects);
        controller.effects.open = std::mem::take(&mut wanted.open);
        controller.effects.leader_lease = wanted.leader_lease;
        self.schedule_after(held + due, wake);
        self.check_controller(number);
        self.observe_changes(number);
        self.carry_out(number, wanted, held);
        self.collect_responses(number, held);
    }

    /// Does what a controller wants done. `held` is how long its machine still stands still.
    fn carry_out(&mut self, number: usize, wanted: RecordedEffects, held: u64) {
        let incarnation = self.machines[number].incarnation;
        let from = Party::Controller(number);
        for (at, to, message) in wanted.raft {
            if let Some(time) = self.arrival_time(from, Party::Controller(machine_of(at)), held) {
                self.schedule_at(time, Event::RaftMessage(number, at, to, message));
            }
        }
        if let Some(batch) = wanted.batch {
            self.machines[number].pending_write = Some(batch);
            self.schedule_after(1 + random_below(4), Event::WriteDone(number, incarnation));
        }
        for (at, member, was) in wanted.standing {
            self.ask_to_join(number, at, member, was, held);
        }
        for (conn, frame) in wanted.frames {
            self.send_frame(number, conn, &frame, held);
        }
        for (service, id, request, attempt) in wanted.asks {
            let event = Event::DatabaseRequest(number, incarnation, service, id, request, attempt);
            self.schedule_after(held + 1 + random_below(5), event);
        }
        for (service, target, attempt) in wanted.posts {
            let event = Event::PromotionRequest(number, incarnation, service, target, attempt);
            self.schedule_after(held + 1 + random_below(20), event);
        }
    }

    fn send_frame(&mut self, number: usize, conn: u64, frame: &[u8], held: u64) {
        let Some((_, remote)) = self.connections.get(&conn) else { return };
        let to = match remote {
            RemoteEnd::Node(node, _) => Party::Node(*node),
            RemoteEnd::Join { asker, .. } => Party::Controller(*asker),
        };
        let arrival = self.arrival_time(Party::Controller(number), to, held);
        if let (Some(time), Ok(frame)) = (arrival, receive(&mut &frame[..])) {
            self.schedule_at(time, Event::Frame(conn, frame));
        } else if matches!(to, Party::Node(_)) {
            // What is lost on the way ends the connection sooner or later.
            self.close(conn);
        }
    }

    fn ask_to_join(&mut self, from: usize, at: SocketAddr, member: Member, was: bool, held: u64) {
        let (to, me, incarnation) = (machine_of(at), member.id, self.machines[from].incarnation);
        let arrival = self.arrival_time(Party::Controller(from), Party::Controller(to), held);
        let up = self.machines.get(to).is_some_and(|m| m.controller.is_some());
        let (Some(time), true) = (arrival, up) else {
            let after = held + if up { 1_000 } else { 3 };
            return self.schedule_after(
                after,
                Event::ControllerInput(
                    from,
                    incarnation,
                    Input::JoinResponse { requested_id: me, from: at, answer: None },
                ),
            );
        };
        self.last_id += 1;
        let conn = self.last_id;
        self.connections.insert(conn, (to, RemoteEnd::Join { asker: from, incarnation, me, at }));
        if let Some(controller) = &mut self.machines[to].controller {
            controller.effects.open.insert(conn);
        }
        let there = self.machines[to].incarnation;
        self.schedule_at(
            time,
            Event::ControllerInput(
                to,
                there,
                Input::Frame(conn, Frame::Join { member, was_member: was }),
            ),
        );
    }
}
