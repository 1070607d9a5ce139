//! The controllers' machines: processes that start, stop, stand still, and their disks.
use crate::base::ids::{LogIndex, MemberId};
use crate::base::time::Tick;
use crate::config::settings::Settings;
use crate::controller::core::Controller;
use crate::controller::effects::Input;
use crate::controller::process::first_state;
use crate::net::rpc::raft_messages::Member;
use crate::net::rpc::{Frame, receive};
use crate::raft::storage::{RaftStorage, WriteBatch};
use crate::simulation::events::Event;
use crate::simulation::network::{End, Far};
use crate::simulation::recorded_effects::Queue;
use crate::simulation::schedule::{chance, draw, upto};
use crate::simulation::world::{ADMIN, JOIN_SYNC_MS, PEER, World, machine_at, place};
use std::net::SocketAddr;

pub(super) struct Machine {
    pub(super) settings: Settings,
    pub(super) disk: RaftStorage,
    pub(super) controller: Option<Controller<Queue>>,
    /// Grows with each start, so that what was meant for an older process is known.
    pub(super) incarnation: u64,
    /// Its steady clock is ahead of the world's by this.
    pub(super) ahead: u64,
    pub(super) wake: u64,
    pub(super) frozen: Option<u64>,
    /// Frozen in the middle of a step: what that step decides leaves only when it wakes.
    pub(super) midway: bool,
    /// Since when its steady clock stands still.
    pub(super) suspended: Option<u64>,
    pub(super) backlog: Vec<Input>,
    pub(super) writing: Option<WriteBatch>,
    /// The disk takes nothing until then; with `full` it says so.
    pub(super) disk_ill: Option<(u64, bool)>,
    /// Counts as lost until then.
    pub(super) lost: u64,
    pub(super) gone: bool,
    pub(super) me: MemberId,
    pub(super) checked: LogIndex,
    pub(super) applied: LogIndex,
}

impl Machine {
    pub(super) fn wake_up(&mut self, now: u64) {
        (self.frozen, self.midway) = (None, false);
        if let Some(since) = self.suspended.take() {
            self.ahead -= now - since;
        }
    }
}

impl World {
    pub(super) fn add_machine(&mut self, seeds: &[usize], bootstrap: bool) -> usize {
        let number = self.machines.len();
        let seeds: Vec<String> =
            seeds.iter().map(|m| format!("\"{}\"", place(*m, ADMIN))).collect();
        let text = format!(
            "node_name = \"n{number}\"\nip_address = \"{}\"\nzone = \"z{number}\"\n\
             port_range = [{PEER}, {PEER}]\nseed_nodes = [{}]\nbootstrap = {bootstrap}\n\
             data_path = \"/none\"\nheartbeat_ms = 1000\n[listeners]\nadmin = \"{}\"\n\
             [fault_tolerance]\nmachines = {}\n[timing_bounds]\njoin_sync_s = {}\n\
             [provider]\naddress = \"10.9.0.1:9\"\n",
            place(number, ADMIN).ip(),
            seeds.join(", "),
            place(number, ADMIN),
            self.schedule.tolerated,
            JOIN_SYNC_MS / 1_000,
        );
        let (settings, disk) = match (Settings::parse(&text), RaftStorage::none()) {
            (Ok(settings), Ok(disk)) => (settings, disk),
            (settings, disk) => {
                // Neither depends on the schedule; a model that can't be set up plays nothing.
                self.fail(format!("no machine: {:?} {:?}", settings.err(), disk.err()));
                return number;
            }
        };
        self.machines.push(Machine {
            settings,
            disk,
            controller: None,
            incarnation: 0,
            ahead: 100_000 + upto(1_000_000),
            wake: 0,
            frozen: None,
            midway: false,
            suspended: None,
            backlog: Vec::new(),
            writing: None,
            disk_ill: None,
            lost: 0,
            gone: false,
            me: MemberId(0),
            checked: LogIndex(0),
            applied: LogIndex(0),
        });
        number
    }

    pub(super) fn start(&mut self, number: usize) {
        let now = self.now;
        if self.machines[number].gone || self.machines[number].controller.is_some() {
            return;
        }
        if !self.machines[number].settings.bootstrap
            && matches!(self.machines[number].disk.kept(), Ok(None))
        {
            // An empty machine is given seeds that are there.
            let there = |m: &usize| !self.machines[*m].gone && self.machines[*m].lost <= now;
            let all = (0..self.machines.len()).cycle().skip(number + 1).take(self.machines.len());
            let seeds = all.filter(there).take(3).map(|m| place(m, ADMIN)).collect();
            self.machines[number].settings.seed_nodes = seeds;
        }
        let machine = &mut self.machines[number];
        machine.incarnation += 1;
        let kept = match machine.disk.kept() {
            Ok(Some(kept)) => Ok((kept, true)),
            Ok(None) => {
                let first = first_state(&machine.settings, place(number, ADMIN), draw);
                let saved = machine
                    .disk
                    .save(&WriteBatch::of(&first, &crate::raft::state::UnsavedChanges::all()));
                saved.map(|()| (first, false)).map_err(|e| e.to_string())
            }
            Err(e) => Err(e.to_string()),
        };
        let tick = Tick(now + machine.ahead);
        let started = kept.and_then(|(kept, again)| {
            machine.me = kept.member_id;
            (machine.checked, machine.applied) =
                (kept.snapshot.last_included.index, kept.snapshot.last_included.index);
            let settings = machine.settings.clone();
            Controller::new(settings, kept, again, draw, Queue::default(), tick)
                .map_err(|e| e.to_string())
        });
        match started {
            Ok(controller) => {
                machine.controller = Some(controller);
                // Only the very first start is a bootstrap.
                machine.settings.bootstrap = false;
                self.step(number, None);
            }
            Err(e) => self.fail(format!("n{number} does not start: {e}")),
        }
    }

    /// The process ends; with `power` the machine does. A write under way is kept or lost.
    pub(super) fn stop(&mut self, number: usize, wipe: bool) {
        let machine = &mut self.machines[number];
        if machine.controller.take().is_none() {
            return;
        }
        let writing = machine.writing.take().filter(|_| chance(50));
        if let Some(batch) = writing
            && let Err(e) = machine.disk.save(&batch)
        {
            self.fail(format!("the model's disk: {e}"));
        }
        let machine = &mut self.machines[number];
        if wipe && let Ok(empty) = RaftStorage::none() {
            machine.disk = empty;
        }
        machine.wake_up(self.now);
        machine.backlog.clear();
        let ended: Vec<u64> =
            self.conns.iter().filter(|(_, (at, _))| *at == number).map(|(c, _)| *c).collect();
        ended.into_iter().for_each(|conn| self.close(conn));
    }

    /// An input, or only a turn, and then everything that the controller wants done.
    pub(super) fn step(&mut self, number: usize, input: Option<Input>) {
        let machine = &mut self.machines[number];
        let midway = std::mem::take(&mut machine.midway);
        if let Some(thaw) = machine.frozen
            && !midway
        {
            if self.now < thaw {
                machine.backlog.extend(input);
                return;
            }
            machine.wake_up(self.now);
        }
        let held = machine.frozen.map_or(0, |thaw| thaw.saturating_sub(self.now));
        let Some(controller) = &mut machine.controller else { return };
        let now = Tick(self.now + machine.ahead);
        if let Some(input) = input {
            controller.take(input, now);
        }
        if let Err(e) = controller.turn(now) {
            return self.fail(format!("n{number} stops: {e}"));
        }
        machine.wake += 1;
        let wake = Event::Wake(number, machine.incarnation, machine.wake);
        let due = controller.due(now).max(1);
        let incarnation = machine.incarnation;
        let mut wants = std::mem::take(&mut controller.effects);
        controller.effects.open = std::mem::take(&mut wants.open);
        self.soon(held + due, wake);
        self.look(number);
        for (at, to, message) in wants.raft {
            if let Some(time) =
                self.arrival(End::Controller(number), End::Controller(machine_at(at)), held)
            {
                self.at(time, Event::RaftMessage(number, at, to, message));
            }
        }
        if let Some(batch) = wants.batch {
            self.machines[number].writing = Some(batch);
            self.soon(1 + upto(4), Event::Written(number, incarnation));
        }
        for (at, member, was) in wants.standing {
            self.ask_to_join(number, at, member, was, held);
        }
        for (conn, frame) in wants.frames {
            let Some((_, far)) = self.conns.get(&conn) else { continue };
            let to = match far {
                Far::Node(node, _) => End::Node(*node),
                Far::Join { asker, .. } => End::Controller(*asker),
            };
            if let (Some(time), Ok(frame)) =
                (self.arrival(End::Controller(number), to, held), receive(&mut &frame[..]))
            {
                self.at(time, Event::Frame(conn, frame));
            } else if matches!(to, End::Node(_)) {
                // What is lost on the way ends the connection sooner or later.
                self.close(conn);
            }
        }
        for (service, id, ask, attempt) in wants.asks {
            self.soon(
                held + 1 + upto(5),
                Event::DatabaseRequest(number, incarnation, service, id, ask, attempt),
            );
        }
        for (service, target, attempt) in wants.posts {
            self.soon(
                held + 1 + upto(20),
                Event::Post(number, incarnation, service, target, attempt),
            );
        }
        self.gather_answers(number, held);
    }

    fn ask_to_join(&mut self, from: usize, at: SocketAddr, member: Member, was: bool, held: u64) {
        let (to, me, incarnation) = (machine_at(at), member.id, self.machines[from].incarnation);
        let arrives = self.arrival(End::Controller(from), End::Controller(to), held);
        let up = self.machines.get(to).is_some_and(|m| m.controller.is_some());
        let (Some(time), true) = (arrives, up) else {
            let after = held + if up { 1_000 } else { 3 };
            return self
                .soon(after, Event::Input(from, incarnation, Input::JoinResponse(me, at, None)));
        };
        self.numbered += 1;
        let conn = self.numbered;
        self.conns.insert(conn, (to, Far::Join { asker: from, incarnation, me, at }));
        if let Some(controller) = &mut self.machines[to].controller {
            controller.effects.open.insert(conn);
        }
        let there = self.machines[to].incarnation;
        self.at(time, Event::Input(to, there, Input::Frame(conn, Frame::Join { member, was })));
    }
}
