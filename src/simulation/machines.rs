//! The controllers' machines: their disks, their clocks, and the processes that start, stop and
//! freeze.
use crate::base::ids::{LogIndex, MemberId, ServiceName};
use crate::base::time::Tick;
use crate::config::settings::Settings;
use crate::controller::core::Controller;
use crate::controller::effects::Input;
use crate::controller::process::initial_state;
use crate::net::rpc::raft_messages::Member;
use crate::net::rpc::{Frame, receive};
use crate::raft::storage::{RaftStorage, WriteBatch};
use crate::simulation::events::Event;
use crate::simulation::network::{Endpoint, RemoteEnd};
use crate::simulation::recorded_effects::RecordedEffects;
use crate::simulation::schedule::{chance, random_below, random_u64};
use crate::simulation::world::{
    ADMIN_PORT, JOIN_SYNC_MS, PEER_PORT, World, address_of, machine_of,
};
use std::net::SocketAddr;

/// A fault of a disk that completes no writes.
#[derive(Clone, Copy)]
pub(super) struct DiskFault {
    pub(super) until: u64,
    /// Whether the disk rejects writes; otherwise it stalls them until the fault ends.
    pub(super) full: bool,
}

/// A controller's machine: its disk, its clock, and the process while it runs.
pub(super) struct Machine {
    pub(super) settings: Settings,
    pub(super) disk: RaftStorage,
    pub(super) controller: Option<Controller<RecordedEffects>>,
    /// Increases with each start, so that events for an earlier process are recognized.
    pub(super) incarnation: u64,
    /// How far the machine's monotonic clock is ahead of the simulation's, in milliseconds.
    pub(super) clock_offset: u64,
    /// Increases with each new timer; a timer of an earlier generation is ignored.
    pub(super) timer_generation: u64,
    pub(super) frozen_until: Option<u64>,
    /// Freezes in the middle of the next step: what that step sends leaves only when the machine
    /// resumes.
    pub(super) frozen_mid_step: bool,
    /// The service whose next change of its primary ends the freeze.
    pub(super) resumes_in_change_of: Option<ServiceName>,
    /// When its monotonic clock was suspended.
    pub(super) suspended_since: Option<u64>,
    /// Inputs that arrived while the machine was frozen.
    pub(super) backlog: Vec<Input>,
    pub(super) pending_write: Option<WriteBatch>,
    pub(super) disk_fault: Option<DiskFault>,
    /// The machine counts as lost until this time.
    pub(super) lost_until: u64,
    /// Whether the machine is gone for good.
    pub(super) removed: bool,
    pub(super) member_id: MemberId,
    /// The last committed log entry that was compared with those of other controllers.
    pub(super) last_checked: LogIndex,
    /// The last log entry after which the replicated state was compared.
    pub(super) last_applied: LogIndex,
}

impl Machine {
    /// Ends a freeze; a suspended clock continues from where it stopped.
    pub(super) fn end_freeze(&mut self, now: u64) {
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
                // Neither depends on the schedule; without a machine the run ends at once.
                self.report_violation(format!(
                    "machine n{number} not created: settings {:?}, disk {:?}",
                    settings.err(),
                    disk.err()
                ));
                return number;
            }
        };
        self.machines.push(Machine {
            settings,
            disk,
            controller: None,
            incarnation: 0,
            clock_offset: 100_000 + random_below(1_000_000),
            timer_generation: 0,
            frozen_until: None,
            frozen_mid_step: false,
            resumes_in_change_of: None,
            suspended_since: None,
            backlog: Vec::new(),
            pending_write: None,
            disk_fault: None,
            lost_until: 0,
            removed: false,
            member_id: MemberId(0),
            last_checked: LogIndex(0),
            last_applied: LogIndex(0),
        });
        number
    }

    /// Starts a machine's controller from the state on its disk.
    pub(super) fn start(&mut self, number: usize) {
        let now = self.now;
        if self.machines[number].removed || self.machines[number].controller.is_some() {
            return;
        }
        if !self.machines[number].settings.bootstrap
            && matches!(self.machines[number].disk.load(), Ok(None))
        {
            // A machine with an empty disk gets seeds that are available.
            let available =
                |m: &usize| !self.machines[*m].removed && self.machines[*m].lost_until <= now;
            let all = (0..self.machines.len()).cycle().skip(number + 1).take(self.machines.len());
            let seeds = all.filter(available).take(3).map(|m| address_of(m, ADMIN_PORT)).collect();
            self.machines[number].settings.seed_nodes = seeds;
        }
        let machine = &mut self.machines[number];
        machine.incarnation += 1;
        let stored = match machine.disk.load() {
            Ok(Some(stored)) => Ok((stored, true)),
            Ok(None) => {
                let initial =
                    initial_state(&machine.settings, address_of(number, ADMIN_PORT), random_u64);
                let saved = machine
                    .disk
                    .save(&WriteBatch::new(&initial, &crate::raft::state::UnsavedChanges::all()));
                saved.map(|()| (initial, false)).map_err(|e| e.to_string())
            }
            Err(e) => Err(e.to_string()),
        };
        let tick = Tick(now + machine.clock_offset);
        let started = stored.and_then(|(stored, restarted)| {
            machine.member_id = stored.member_id;
            (machine.last_checked, machine.last_applied) =
                (stored.snapshot.last_included.index, stored.snapshot.last_included.index);
            let settings = machine.settings.clone();
            Controller::new(
                settings,
                stored,
                restarted,
                random_u64,
                RecordedEffects::default(),
                tick,
            )
            .map_err(|e| e.to_string())
        });
        match started {
            Ok(controller) => {
                machine.controller = Some(controller);
                // Only the first start bootstraps the cluster.
                machine.settings.bootstrap = false;
                self.step(number, None);
            }
            Err(e) => self.report_violation(format!("controller n{number} failed to start: {e}")),
        }
    }

    /// Stops a machine's controller; `wipe` empties its disk. A pending write is completed or lost
    /// at random.
    pub(super) fn stop(&mut self, number: usize, wipe: bool) {
        let machine = &mut self.machines[number];
        if machine.controller.take().is_none() {
            return;
        }
        let pending_write = machine.pending_write.take().filter(|_| chance(50));
        if let Some(batch) = pending_write
            && let Err(e) = machine.disk.save(&batch)
        {
            self.report_violation(format!("simulated disk of n{number} failed to save: {e}"));
        }
        let machine = &mut self.machines[number];
        if wipe && let Ok(empty) = RaftStorage::in_memory() {
            machine.disk = empty;
        }
        machine.end_freeze(self.now);
        machine.backlog.clear();
        let ended: Vec<u64> = self
            .connections
            .iter()
            .filter(|(_, (machine, _))| *machine == number)
            .map(|(c, _)| *c)
            .collect();
        ended.into_iter().for_each(|connection| self.close(connection));
    }

    /// Ends a machine's freeze and delivers the inputs that arrived meanwhile.
    pub(super) fn resume(&mut self, number: usize) {
        let machine = &mut self.machines[number];
        machine.end_freeze(self.now);
        for input in std::mem::take(&mut machine.backlog) {
            self.step(number, Some(input));
        }
    }

    /// Passes an input, if any, to a controller, runs its next step, and performs the resulting
    /// effects.
    pub(super) fn step(&mut self, number: usize, input: Option<Input>) {
        let machine = &mut self.machines[number];
        let frozen_mid_step = std::mem::take(&mut machine.frozen_mid_step);
        if let Some(until) = machine.frozen_until
            && !frozen_mid_step
        {
            if self.now < until {
                machine.backlog.extend(input);
                return;
            }
            self.resume(number);
        }
        let machine = &mut self.machines[number];
        let delay_ms = machine.frozen_until.map_or(0, |until| until.saturating_sub(self.now));
        let Some(controller) = &mut machine.controller else { return };
        let now = Tick(self.now + machine.clock_offset);
        if let Some(input) = input {
            controller.handle_input(input, now);
        }
        if let Err(e) = controller.step(now) {
            return self.report_violation(format!("controller n{number} failed in a step: {e}"));
        }
        machine.timer_generation += 1;
        let timer = Event::Timer(number, machine.incarnation, machine.timer_generation);
        let due_in_ms = controller.millis_until_step(now).max(1);
        let mut effects = std::mem::take(&mut controller.effects);
        controller.effects.open_connections = std::mem::take(&mut effects.open_connections);
        controller.effects.leader_lease = effects.leader_lease;
        self.schedule_after(delay_ms + due_in_ms, timer);
        self.check_controller(number);
        self.observe_changes(number);
        self.perform_effects(number, effects, delay_ms);
        self.collect_responses(number, delay_ms);
    }

    /// Performs the effects of a controller's step. Its machine stays frozen for `delay_ms`.
    fn perform_effects(&mut self, number: usize, effects: RecordedEffects, delay_ms: u64) {
        let incarnation = self.machines[number].incarnation;
        let from = Endpoint::Controller(number);
        for (address, to, message) in effects.raft_messages {
            if let Some(time) =
                self.arrival_time(from, Endpoint::Controller(machine_of(address)), delay_ms)
            {
                self.schedule_at(time, Event::RaftMessage(number, address, to, message));
            }
        }
        if let Some(batch) = effects.write_batch {
            self.machines[number].pending_write = Some(batch);
            self.schedule_after(1 + random_below(4), Event::DiskWriteDone(number, incarnation));
        }
        for (address, member, previously_joined) in effects.join_requests {
            self.send_join_request(number, address, member, previously_joined, delay_ms);
        }
        for (connection, frame) in effects.frames {
            self.send_frame(number, connection, &frame, delay_ms);
        }
        for (service, id, request, attempt) in effects.database_requests {
            let event = Event::DatabaseRequest(number, incarnation, service, id, request, attempt);
            self.schedule_after(delay_ms + 1 + random_below(5), event);
        }
        for (service, target, attempt) in effects.promotion_requests {
            let event = Event::PromotionRequest(number, incarnation, service, target, attempt);
            self.schedule_after(delay_ms + 1 + random_below(20), event);
        }
    }

    fn send_frame(&mut self, number: usize, connection: u64, frame: &[u8], delay_ms: u64) {
        let Some((_, remote)) = self.connections.get(&connection) else { return };
        let to = match remote {
            RemoteEnd::Node(node, _) => Endpoint::Node(*node),
            RemoteEnd::Join { requester, .. } => Endpoint::Controller(*requester),
        };
        let arrival = self.arrival_time(Endpoint::Controller(number), to, delay_ms);
        if let (Some(time), Ok(frame)) = (arrival, receive(&mut &frame[..])) {
            self.schedule_at(time, Event::Frame(connection, frame));
        } else if matches!(to, Endpoint::Node(_)) {
            // A lost frame breaks the connection sooner or later.
            self.close(connection);
        }
    }

    fn send_join_request(
        &mut self,
        from: usize,
        address: SocketAddr,
        member: Member,
        previously_joined: bool,
        delay_ms: u64,
    ) {
        let (to, member_id, incarnation) =
            (machine_of(address), member.id, self.machines[from].incarnation);
        let arrival =
            self.arrival_time(Endpoint::Controller(from), Endpoint::Controller(to), delay_ms);
        let up = self.machines.get(to).is_some_and(|m| m.controller.is_some());
        let (Some(time), true) = (arrival, up) else {
            let after = delay_ms + if up { 1_000 } else { 3 };
            return self.schedule_after(
                after,
                Event::ControllerInput(
                    from,
                    incarnation,
                    Input::JoinResponse { requested_id: member_id, from: address, response: None },
                ),
            );
        };
        self.last_id += 1;
        let connection = self.last_id;
        self.connections.insert(
            connection,
            (to, RemoteEnd::Join { requester: from, incarnation, member_id, address }),
        );
        if let Some(controller) = &mut self.machines[to].controller {
            controller.effects.open_connections.insert(connection);
        }
        let receiver_incarnation = self.machines[to].incarnation;
        self.schedule_at(
            time,
            Event::ControllerInput(
                to,
                receiver_incarnation,
                Input::Frame(connection, Frame::Join { member, was_member: previously_joined }),
            ),
        );
    }
}
