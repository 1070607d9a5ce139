//! The network, the disks and the clocks that the controllers run on.
use crate::base::ids::{
    DbTerm, InstanceId, LogIndex, MemberId, NodeName, Position, Revision, ServiceName, Term,
};
use crate::base::time::Tick;
use crate::config::configuration::Configuration;
use crate::config::directory::Lifecycle;
use crate::config::route_table::RouteTable;
use crate::config::settings::Settings;
use crate::controller::controller::{Controller, Input};
use crate::controller::process::first_state;
use crate::failover::{Attempt, DatabaseRequest, DatabaseResponse, PromotionResponse};
use crate::leases::lease_table::LEASE_MS;
use crate::net::http::{Request, Response};
use crate::net::rpc::pooler_messages::{PrimaryStatus, ToController, ToPooler};
use crate::net::rpc::raft_messages::{LogEntry, Member, RaftMessage};
use crate::net::rpc::{Frame, LAYOUT, pack, receive};
use crate::net::statement_protocol::ServerDescription;
use crate::raft::storage::{RaftStorage, WriteBatch};
use crate::simulation::actors::{
    Caller, Database, End, Far, Forced, Lease, Machine, Node, Operator, Order, Passed, Queue,
};
use crate::simulation::runner::Report;
use crate::simulation::schedule::{
    Kind, Schedule, Trouble, Way, Whom, chance, draw, seed_draws, upto,
};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap};
use std::hash::{DefaultHasher, Hash, Hasher};
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::mpsc::sync_channel;

pub(crate) struct Cut {
    controller: usize,
    way: Way,
    until: u64,
    salt: u64,
}

enum Event {
    Wake(usize, u64, u64),
    RaftMessage(usize, SocketAddr, MemberId, RaftMessage),
    Input(usize, u64, Input),
    Written(usize, u64),
    /// A frame for the far end of a connection on a peer port.
    Frame(u64, Frame),
    /// A call reaches a controller.
    AdminCall(usize, u64, Request),
    Answer(usize, u64, Option<Response>),
    Act(usize),
    Node(usize, u64),
    DatabaseRequest(usize, u64, ServiceName, InstanceId, DatabaseRequest, Attempt),
    Post(usize, u64, ServiceName, InstanceId, Attempt),
    Promote(ServiceName, usize),
    Write(usize, usize, u64, DbTerm),
    Replicate(usize, usize, DbTerm, Arc<Vec<Write>>),
    Received(usize, usize, DbTerm, usize),
    Committed(usize, u64, ServiceName, DbTerm, u64, Position),
    Database(usize),
    Strike(usize),
    Start(usize),
    Thaw(usize),
    DatabaseUp(usize),
    DatabaseLeaves(usize),
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Write {
    pub(crate) term: DbTerm,
    id: u64,
}

pub(crate) struct World {
    schedule: Schedule,
    now: u64,
    events: BTreeMap<u64, Event>,
    queue: BinaryHeap<Reverse<(u64, u64)>>,
    numbered: u64,
    machines: Vec<Machine>,
    cuts: Vec<Cut>,
    lossy: (u64, u64),
    conns: BTreeMap<u64, (usize, Far)>,
    /// When the last message on a connection arrives, so that the next one does not overtake it.
    arrives: BTreeMap<(End, End), u64>,
    operators: Vec<Operator>,
    databases: Vec<Database>,
    nodes: Vec<Node>,
    large: u64,
    healed: bool,
    // The history.
    forced: Vec<Forced>,
    leaders: BTreeMap<Term, MemberId>,
    entries: BTreeMap<LogIndex, LogEntry>,
    /// A hash of the state at each entry.
    states: BTreeMap<LogIndex, u64>,
    /// What a later read may not go behind: when it was known, and how far in `forced`.
    floors: Vec<(u64, usize)>,
    /// Commits that nodes passed on to clients.
    passed: BTreeMap<ServiceName, Vec<Passed>>,
    /// What each new primary began with.
    promoted: BTreeMap<ServiceName, Vec<(DbTerm, Vec<Write>)>>,
    goodbyes: BTreeSet<InstanceId>,
    pub(crate) report: Report,
    pub(crate) broken: Option<String>,
}

const ADMIN: u16 = 2;

const PEER: u16 = 1;

const JOIN_SYNC_MS: u64 = 4_000;

const SERVICES: [&str; 2] = ["pears", "plums"];

/// After the last trouble everything is well again and has this long to come to rest.
const REST_MS: u64 = 25_000;

/// The other controllers may hear of a machine that stood still so long after its callers do.
const LATER_HEARD_MS: u64 = 600;

fn place(machine: usize, port: u16) -> SocketAddr {
    SocketAddr::from(([10, 0, machine as u8 + 1, 1], port))
}

fn machine_at(at: SocketAddr) -> usize {
    match at {
        SocketAddr::V4(at) => usize::from(at.ip().octets()[2]) - 1,
        SocketAddr::V6(_) => 0,
    }
}

impl World {
    pub(crate) fn new(schedule: &Schedule) -> Self {
        seed_draws(schedule.seed);
        let mut world = Self {
            schedule: schedule.clone(),
            now: 0,
            events: BTreeMap::new(),
            queue: BinaryHeap::new(),
            numbered: 0,
            machines: Vec::new(),
            cuts: Vec::new(),
            lossy: (0, 0),
            conns: BTreeMap::new(),
            arrives: BTreeMap::new(),
            operators: Vec::new(),
            databases: Vec::new(),
            nodes: Vec::new(),
            large: 0,
            healed: false,
            forced: Vec::new(),
            leaders: BTreeMap::new(),
            entries: BTreeMap::new(),
            states: BTreeMap::new(),
            floors: Vec::new(),
            passed: BTreeMap::new(),
            promoted: BTreeMap::new(),
            goodbyes: BTreeSet::new(),
            report: Report::default(),
            broken: None,
        };
        let seeds: Vec<usize> = (0..schedule.controllers.min(3)).collect();
        for machine in 0..schedule.controllers {
            world.add_machine(&seeds, true);
            world.at(upto(300), Event::Start(machine));
        }
        for number in 0..schedule.operators {
            let caller = Caller { next: number, ..Caller::default() };
            world.operators.push(Operator { caller, order: None, made: 0 });
            world.at(500 + upto(500), Event::Act(number));
        }
        for service in SERVICES {
            for number in 0..3 {
                world.add_database(service, number == 0, 1_000 + upto(500));
            }
        }
        for number in 0..3 {
            world.nodes.push(Node {
                incarnation: 1,
                conn: None,
                welcome: false,
                known: seeds.iter().map(|m| place(*m, PEER)).collect(),
                next: number,
                hint: None,
                heard: 0,
                renewed: 0,
                seq: 0,
                sent: BTreeMap::new(),
                config: None,
                leases: BTreeMap::new(),
                revoked: BTreeMap::new(),
                highest: BTreeMap::new(),
            });
            world.at(500 + number as u64, Event::Node(number, 1));
        }
        for number in 0..schedule.troubles.len() {
            world.at(schedule.troubles[number].at, Event::Strike(number));
        }
        world
    }

    fn at(&mut self, time: u64, event: Event) {
        self.numbered += 1;
        self.queue.push(Reverse((time, self.numbered)));
        self.events.insert(self.numbered, event);
    }
    fn soon(&mut self, after: u64, event: Event) {
        self.at(self.now + after, event);
    }

    pub(crate) fn run(&mut self) {
        let (length, end) = (self.schedule.length, self.schedule.length + REST_MS);
        while let Some(Reverse((time, number))) = self.queue.pop() {
            if self.broken.is_some() {
                return;
            }
            if !self.healed && time >= length {
                self.now = self.now.max(length);
                self.heal();
            }
            if time > end {
                return self.look_back();
            }
            self.now = time;
            let Some(event) = self.events.remove(&number) else { continue };
            self.report.trace =
                self.report.trace.wrapping_mul(31).wrapping_add(time).wrapping_add(number);
            self.happen(event);
        }
    }

    /// Whether all steady clocks run on, which leases rest on.
    fn clocks_run(&self) -> bool {
        !self.schedule.troubles.iter().any(|t| matches!(t.kind, Kind::Suspend(_)))
    }
    fn fail(&mut self, why: String) {
        if self.broken.is_none() {
            self.broken = Some(format!("at {} ms: {why}", self.now));
        }
    }

    // -- the network -------------------------------------------------------------------------------

    fn reaches(&self, from: End, to: End) -> bool {
        self.cuts.iter().all(|cut| {
            let within = |end: End| match end {
                End::Controller(n) => n == cut.controller,
                other => other.side(cut.salt),
            };
            let (from, to) = (within(from), within(to));
            let stopped = match cut.way {
                Way::Both => from != to,
                Way::Out => from && !to,
                Way::In => !from && to,
            };
            !stopped || self.now >= cut.until
        })
    }
    fn lost(&self) -> bool {
        self.now < self.lossy.0 && chance(self.lossy.1)
    }
    /// When something that leaves now, or once its sender wakes, arrives; none if it never does.
    fn arrival(&mut self, from: End, to: End, held: u64) -> Option<u64> {
        if !self.reaches(from, to) || self.lost() {
            return None;
        }
        let late = if !self.healed && chance(2) { upto(900) } else { 0 };
        let at = self.now + held + 1 + upto(4) + late;
        // A connection that ended and was opened anew may overtake.
        let last = self.arrives.entry((from, to)).or_default();
        let at = if chance(2) { at } else { at.max(*last) };
        *last = at;
        Some(at)
    }

    // -- controllers ----------------------------------------------------------------------------------

    fn add_machine(&mut self, seeds: &[usize], bootstrap: bool) -> usize {
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

    fn start(&mut self, number: usize) {
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
                    .save(&WriteBatch::of(&first, &crate::raft::node::UnsavedChanges::all()));
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
    fn stop(&mut self, number: usize, wipe: bool) {
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

    fn close(&mut self, conn: u64) {
        let Some((at, far)) = self.conns.remove(&conn) else { return };
        if let Some(controller) = &mut self.machines[at].controller {
            controller.effects.open.remove(&conn);
            let incarnation = self.machines[at].incarnation;
            self.soon(2, Event::Input(at, incarnation, Input::Closed(conn)));
        }
        if let Far::Node(node, incarnation) = far
            && self.nodes[node].incarnation == incarnation
            && self.nodes[node].conn.is_some_and(|(c, _)| c == conn)
        {
            self.nodes[node].conn = None;
        }
    }

    /// An input, or only a turn, and then everything that the controller wants done.
    fn step(&mut self, number: usize, input: Option<Input>) {
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

    /// Checks what this controller holds against what any other ever held.
    fn look(&mut self, number: usize) {
        let machine = &mut self.machines[number];
        let Some(controller) = &machine.controller else { return };
        let (raft, state_machine) = (controller.raft(), controller.state_machine());
        if raft.state.member_id != machine.me {
            machine.me = raft.state.member_id;
            (machine.checked, machine.applied) = (LogIndex(0), LogIndex(0));
        }
        let mut wrong = None;
        if raft.is_leader() {
            let (raft_term, me) = (raft.state.term, raft.state.member_id);
            let first = *self.leaders.entry(raft_term).or_insert(me);
            if first != me {
                wrong = Some(format!("two led term {raft_term}: {first} and {me}"));
            }
        }
        for entry in raft.committed_entries_after(machine.checked) {
            machine.checked = entry.index;
            let first = self.entries.entry(entry.index).or_insert_with(|| entry.clone());
            if *first != entry {
                wrong = Some(format!("entry {} differs at n{number}", entry.index));
            }
        }
        let applied = controller.applied();
        if applied > machine.applied {
            machine.applied = applied;
            let mut hasher = DefaultHasher::new();
            pack(state_machine).hash(&mut hasher);
            let state = hasher.finish();
            if *self.states.entry(applied).or_insert(state) != state {
                wrong = Some(format!("the state at entry {applied} differs at n{number}"));
            }
            let newest = self.forced.last().map_or(Revision(0), |f| f.revision);
            if state_machine.revision > newest {
                let body = state_machine.body.to_vec();
                let (revision, at) = (state_machine.revision, self.now);
                self.forced.push(Forced { revision, base: newest, body, at });
            }
        }
        if let Some(why) = wrong {
            self.fail(why);
        }
    }

    // -- calls -------------------------------------------------------------------------------------

    fn caller(&mut self, who: usize) -> &mut Caller {
        let operators = self.operators.len();
        match who.checked_sub(operators) {
            None => &mut self.operators[who].caller,
            Some(database) => &mut self.databases[database].caller,
        }
    }
    fn end_of(&self, who: usize) -> End {
        match who.checked_sub(self.operators.len()) {
            None => End::Operator(who),
            Some(database) => End::Database(database),
        }
    }
    /// Sends a request, or the same one again, to the controller that is next.
    fn call(&mut self, who: usize, request: Request) {
        let running: Vec<usize> =
            (0..self.machines.len()).filter(|m| !self.machines[*m].gone).collect();
        let (now, from) = (self.now, self.end_of(who));
        let caller = self.caller(who);
        caller.attempt += 1;
        caller.sent = now;
        caller.under_way = Some(request.clone());
        caller.answer = None;
        let (attempt, next) = (caller.attempt, caller.next);
        let to = if running.contains(&next) { next } else { running[next % running.len()] };
        self.caller(who).next = to;
        match self.arrival(from, End::Controller(to), 0) {
            Some(time) if self.machines[to].controller.is_some() => {
                self.at(time, Event::AdminCall(who, attempt, request));
            }
            Some(time) => return self.at(time, Event::Answer(who, attempt, None)),
            None => {}
        }
        self.soon(1_000, Event::Answer(who, attempt, None));
    }
    fn reach_controller(&mut self, who: usize, attempt: u64, request: Request) {
        let caller = self.caller(who);
        if caller.attempt != attempt {
            // Gave up on it, but what is on its way arrives all the same.
            let to = caller.next;
            let (reply, _) = sync_channel(1);
            return self.step(to, Some(Input::Http(request, reply)));
        }
        let to = caller.next;
        let (reply, answer) = sync_channel(1);
        let incarnation = self.machines[to].incarnation;
        self.caller(who).answer = Some((to, incarnation, answer));
        self.step(to, Some(Input::Http(request, reply)));
    }
    /// What this controller has answered goes on its way.
    fn gather_answers(&mut self, number: usize, held: u64) {
        let incarnation = self.machines[number].incarnation;
        for who in 0..self.operators.len() + self.databases.len() {
            let caller = self.caller(who);
            let Some((at, its, answer)) = &caller.answer else { continue };
            if *at != number || *its != incarnation {
                continue;
            }
            let Ok(response) = answer.try_recv() else { continue };
            let attempt = caller.attempt;
            caller.answer = None;
            let to = self.end_of(who);
            let lost = !self.healed && chance(3);
            if let Some(time) = self.arrival(End::Controller(number), to, held)
                && !lost
            {
                self.at(time, Event::Answer(who, attempt, Some(response)));
            }
        }
    }
    fn answered(&mut self, who: usize, attempt: u64, response: Option<Response>) {
        let machines = self.machines.len();
        let caller = self.caller(who);
        if caller.attempt != attempt {
            return;
        }
        let Some(request) = caller.under_way.clone() else { return };
        let response = response.filter(|r| r.status < 500);
        if let Some(Response { status: 307, location: Some(to), .. }) = &response
            && caller.redirects < 2
        {
            caller.redirects += 1;
            let at = to.trim_start_matches("http://").split('/').next().map(str::parse);
            if let Some(Ok(at)) = at {
                caller.next = machine_at(at);
                return self.call(who, request);
            }
        }
        caller.redirects = 0;
        match response.filter(|r| r.status != 307) {
            Some(response) => {
                caller.under_way = None;
                caller.attempt += 1;
                caller.pause = 0;
                let sent = caller.sent;
                match who.checked_sub(self.operators.len()) {
                    None => self.operator_heard(who, sent, response),
                    Some(database) => self.database_heard(database, &request, &response),
                }
            }
            None => {
                caller.next = (caller.next + 1) % machines;
                caller.pause = (caller.pause * 2).clamp(50, 800);
                caller.attempt += 1;
                let after = caller.pause;
                self.soon(after, Event::Act(who));
            }
        }
    }

    // -- operators ---------------------------------------------------------------------------------

    fn act(&mut self, who: usize) {
        if let Some(database) = who.checked_sub(self.operators.len()) {
            return self.heartbeat(database);
        }
        if let Some(request) = self.caller(who).under_way.clone() {
            return self.call(who, request);
        }
        let request = match self.operators[who].order.clone() {
            Some(order) => Request {
                method: "PUT".into(),
                path: "/configuration".into(),
                if_match: Some(order.base.to_string()),
                body: order.body,
            },
            None => Request {
                method: "GET".into(),
                path: "/configuration".into(),
                if_match: None,
                body: Vec::new(),
            },
        };
        self.call(who, request);
    }

    /// How far in `forced` a read that began at `sent` must have come.
    fn floor(&self, sent: u64) -> usize {
        let before = self.floors.iter().filter(|(at, _)| *at <= sent);
        before.map(|(_, place)| *place).max().unwrap_or(0)
    }
    fn find(&self, revision: Revision, body: &[u8]) -> Option<usize> {
        self.forced.iter().position(|f| f.revision == revision && f.body == body).map(|at| at + 1)
    }

    fn operator_heard(&mut self, who: usize, sent: u64, response: Response) {
        let pause = 20 + upto(600);
        let Some(order) = self.operators[who].order.take() else {
            let floor = self.floor(sent);
            let read = Configuration::read(&response.body).map(|c| c.revision);
            let revision = match (response.status, read) {
                (200, Ok(revision)) => match self.find(revision, &response.body) {
                    Some(place) if place < floor => {
                        return self.fail(format!("a read gave {revision}, newer was known"));
                    }
                    Some(place) => {
                        self.floors.push((self.now, place));
                        revision
                    }
                    None => return self.fail(format!("a read gave {revision}, never in force")),
                },
                (404, _) if floor == 0 => Revision(0),
                (status, _) => return self.fail(format!("a read was answered {status}")),
            };
            self.report.reads += 1;
            self.operators[who].order = Some(self.make_order(who, revision));
            return self.soon(upto(60), Event::Act(who));
        };
        let place = self.find(order.revision, &order.body);
        let current = self.forced.last().map_or(Revision(0), |f| f.revision);
        match response.status {
            200 => {
                let Some(place) = place else {
                    let (base, number) = (order.base, order.revision);
                    return self.fail(format!("{number} on {base} confirmed, not in force"));
                };
                if order.known == Some(false) || self.forced[place - 1].base != order.base {
                    return self.fail(format!("{} confirmed on a wrong base", order.revision));
                }
                self.floors.push((self.now, place));
                self.report.acknowledged += u64::from(order.known.is_none());
                // The answer may have been lost for all that the sender knows.
                if chance(25) {
                    self.report.resent += 1;
                    self.operators[who].order = Some(Order { known: Some(true), ..order });
                }
            }
            status => {
                if place.is_some() {
                    let number = order.revision;
                    return self.fail(format!("{number} was taken, and answered {status}"));
                }
                if status != 412 {
                    return self.fail(format!("{} was answered {status}", order.revision));
                }
                if order.base == current {
                    let why = format!("an order on {} refused, which is current", order.base);
                    return self.fail(why);
                }
                self.report.refused += 1;
            }
        }
        self.soon(pause, Event::Act(who));
    }

    fn make_order(&mut self, who: usize, base: Revision) -> Order {
        self.operators[who].made += 1;
        let number = self.operators[who].made;
        if chance(5) && !self.healed {
            // On top of a version that is still to come.
            let (base, revision) = (Revision(base.0 + 500), Revision(base.0 + 501));
            let body = self.body(who, number, revision);
            return Order { base, revision, body, known: Some(false) };
        }
        if chance(5)
            && let Some(forced) = self.forced.last()
        {
            // What is in force, with one blank more.
            let (base, revision, mut body) = (forced.base, forced.revision, forced.body.clone());
            body.push(b' ');
            return Order { base, revision, body, known: Some(false) };
        }
        // Two operators may pick the same number.
        let revision = Revision(base.0 + 1 + upto(2));
        let body = self.body(who, number, revision);
        Order { base, revision, body, known: None }
    }
    fn body(&self, who: usize, number: u64, revision: Revision) -> Vec<u8> {
        let route = |n: u64| {
            serde_json::json!({ "name": format!("r{who}-{number}-{n}"), "hostname": format!("h{n}"),
                "route_type": "primary", "timeout_ms": 1000, "target_service": SERVICES[0] })
        };
        let service = |name: &str| serde_json::json!({ "name": name, "max_connections": 64, "sync_replicas": 1 });
        let many = 1 + if chance(20) { self.large * 100 } else { 0 };
        let routes: Vec<_> = (0..many).map(route).collect();
        let services: Vec<_> = SERVICES.into_iter().map(service).collect();
        serde_json::json!({ "revision": revision, "route_rules": routes, "services": services })
            .to_string()
            .into_bytes()
    }

    // -- databases ---------------------------------------------------------------------------------

    fn add_database(&mut self, service: &str, primary: bool, after: u64) {
        let number = self.databases.len();
        self.databases.push(Database {
            id: InstanceId(format!("d{number}")),
            service: service.into(),
            caller: Caller { next: number, ..Caller::default() },
            up: true,
            gone: false,
            primary,
            term: DbTerm(1),
            log: Vec::new(),
            paused: false,
            deaf: 0,
            draining: false,
            drained: false,
            sequence: 0,
            received: BTreeMap::new(),
            owed: Vec::new(),
            told: None,
            deposed: None,
        });
        let who = self.operators.len() + number;
        self.soon(after, Event::Act(who));
        self.soon(after, Event::Database(number));
    }
    fn of_service(&self, service: &ServiceName) -> Vec<usize> {
        (0..self.databases.len())
            .filter(|d| self.databases[*d].service == *service && !self.databases[*d].gone)
            .collect()
    }
    /// The primary of the newest term, running or not.
    fn primary(&self, service: &ServiceName) -> Option<usize> {
        let all = self.of_service(service).into_iter().filter(|d| self.databases[*d].primary);
        all.max_by_key(|d| self.databases[*d].term)
    }

    fn heartbeat(&mut self, number: usize) {
        let database = &mut self.databases[number];
        if !database.up || database.gone {
            return;
        }
        database.sequence += 1;
        let path = format!("/instances/{}", database.id);
        let request = if database.drained {
            Request { method: "DELETE".into(), path, if_match: None, body: Vec::new() }
        } else {
            let body = serde_json::json!({
                "target_service": database.service,
                "address": SocketAddr::from(([10, 1, 0, number as u8 + 1], 7)),
                "zone": "z", "revision": "v1", "capacity": 7,
                "lifecycle_state": database.lifecycle(), "database_role": database.role(),
                "sequence": database.sequence,
            });
            let body = body.to_string().into_bytes();
            database.told = Some((database.role(), database.lifecycle()));
            Request { method: "PUT".into(), path, if_match: None, body }
        };
        self.call(self.operators.len() + number, request);
    }
    fn database_heard(&mut self, number: usize, request: &Request, response: &Response) {
        if response.status != 200 {
            return self.fail(format!("a beat was answered {}", response.status));
        }
        let (id, told) = (self.databases[number].id.clone(), self.databases[number].told);
        let best = self.machines.iter().filter_map(|m| m.controller.as_ref());
        let best = best.max_by_key(|s| s.applied()).map(|s| s.state_machine());
        let listed = best.and_then(|a| a.instances.get(&id)).map(|r| r.instance.lifecycle_state);
        if request.method == "DELETE" {
            if listed.is_some() {
                self.fail(format!("{id} said goodbye and is still listed"));
            }
            self.goodbyes.insert(id);
            return self.end_database(number);
        }
        if told.is_some_and(|(_, l)| l == Lifecycle::Draining)
            && listed == Some(Lifecycle::Available)
        {
            return self.fail(format!("{id} is draining, acknowledged and not known to be"));
        }
        let database = &mut self.databases[number];
        let news = told != Some((database.role(), database.lifecycle()));
        if database.draining && !news && !database.drained {
            self.soon(3_000, Event::DatabaseLeaves(number));
        }
        let who = self.operators.len() + number;
        self.soon(if news { 5 } else { 1_000 }, Event::Act(who));
    }
    fn end_database(&mut self, number: usize) {
        let database = &mut self.databases[number];
        (database.up, database.gone, database.primary) = (false, true, false);
    }

    /// A primary brings its replicas on, and one that was replaced gives way in the end.
    fn replicate(&mut self, number: usize) {
        if self.databases[number].gone {
            return;
        }
        self.soon(40, Event::Database(number));
        let now = self.now;
        let database = &self.databases[number];
        if !database.up || !database.primary {
            return;
        }
        let newest = self.primary(&database.service.clone());
        let (service, term) = (database.service.clone(), database.term);
        if newest.is_some_and(|n| {
            n != number
                && self.databases[n].up
                && self.reaches(End::Database(number), End::Database(n))
        }) {
            let since = *self.databases[number].deposed.get_or_insert(now);
            if now - since > 1_000 {
                let newer = newest.map_or(term, |n| self.databases[n].term);
                let database = &mut self.databases[number];
                (database.primary, database.term, database.deposed) = (false, newer, None);
                return;
            }
        } else {
            self.databases[number].deposed = None;
        }
        let log = Arc::new(self.databases[number].log.clone());
        for replica in self.of_service(&service) {
            let behind =
                self.databases[number].received.get(&replica).is_none_or(|n| *n < log.len());
            if replica != number
                && behind
                && let Some(time) =
                    self.arrival(End::Database(number), End::Database(replica), upto(15))
            {
                self.at(time, Event::Replicate(number, replica, term, Arc::clone(&log)));
            }
        }
    }
    fn receive_log(&mut self, from: usize, to: usize, term: DbTerm, log: &[Write]) {
        let now = self.now;
        let database = &mut self.databases[to];
        let takes = database.up && !database.primary && !database.paused && now >= database.deaf;
        if !takes || database.term > term {
            return;
        }
        if term > database.term || log.len() > database.log.len() {
            database.log = log.to_vec();
        }
        database.term = term;
        let has = database.log.len().min(log.len());
        if let Some(time) = self.arrival(End::Database(to), End::Database(from), 0) {
            self.at(time, Event::Received(from, to, term, has));
        }
    }
    fn received(&mut self, number: usize, by: usize, term: DbTerm, has: usize) {
        let database = &mut self.databases[number];
        if !database.up || !database.primary || database.term != term {
            return;
        }
        let most = database.received.entry(by).or_default();
        *most = (*most).max(has);
        let (service, log) = (database.service.clone(), &database.log);
        let due: Vec<_> = database.owed.iter().filter(|o| o.2 <= has).copied().collect();
        database.owed.retain(|o| o.2 > has);
        let words: Vec<_> = due
            .into_iter()
            .map(|(node, incarnation, upto, id)| {
                let position = Position { term: log[upto - 1].term, number: upto as u64 };
                (node, Event::Committed(node, incarnation, service.clone(), term, id, position))
            })
            .collect();
        for (node, event) in words {
            if let Some(time) = self.arrival(End::Database(number), End::Node(node), 0) {
                self.at(time, event);
            }
        }
    }
    fn write(&mut self, node: usize, to: usize, incarnation: u64, term: DbTerm) {
        self.numbered += 1;
        let id = self.numbered;
        let database = &mut self.databases[to];
        if database.up && database.primary {
            let term = if database.term == term { term } else { database.term };
            database.log.push(Write { term, id });
            let upto = database.log.len();
            database.owed.push((node, incarnation, upto, id));
        }
    }

    fn asked(
        &mut self,
        (from, incarnation): (usize, u64),
        service: ServiceName,
        id: InstanceId,
        ask: DatabaseRequest,
        attempt: Attempt,
    ) {
        let number = self.databases.iter().position(|d| d.id == id);
        let reached = number.filter(|n| {
            let (here, there) = (End::Controller(from), End::Database(*n));
            self.reaches(here, there) && self.reaches(there, here) && !self.lost()
        });
        let (told, after) = match reached {
            None => (DatabaseResponse::TimedOut, 1_000),
            Some(n) if !self.databases[n].up => (DatabaseResponse::Unavailable, 2),
            Some(n) => {
                let database = &mut self.databases[n];
                let good = match ask {
                    DatabaseRequest::Describe => true,
                    DatabaseRequest::Pause(term) if !database.primary && term > database.term => {
                        database.paused = true;
                        true
                    }
                    DatabaseRequest::Pause(_) => false,
                    DatabaseRequest::Continue => {
                        database.paused = false;
                        true
                    }
                    DatabaseRequest::StepDown(term) => {
                        if database.primary && database.term < term {
                            (database.primary, database.term) = (false, term);
                        }
                        true
                    }
                };
                let row = ServerDescription {
                    primary: database.primary,
                    term: database.term,
                    received: database.position(),
                };
                let late = if !self.healed && chance(3) { upto(1_200) } else { upto(5) };
                (
                    if good {
                        DatabaseResponse::Description(row)
                    } else {
                        DatabaseResponse::NoDescription
                    },
                    1 + late,
                )
            }
        };
        self.soon(
            after,
            Event::Input(
                from,
                incarnation,
                Input::DatabaseResponse(service, id, ask, attempt, told),
            ),
        );
    }
    fn post(
        &mut self,
        (from, incarnation): (usize, u64),
        service: ServiceName,
        target: InstanceId,
        attempt: Attempt,
    ) {
        let number = self.databases.iter().position(|d| d.id == target);
        let running = number.filter(|n| self.databases[*n].up);
        let (mut posted, mut after) = match running {
            Some(_) => (PromotionResponse::Accepted, 20),
            None => (PromotionResponse::NotRunning, 20),
        };
        if let Some(n) = running {
            self.soon(100 + upto(300), Event::Promote(service.clone(), n));
        }
        if !self.healed && chance(10) {
            (posted, after) = (PromotionResponse::Unknown, 1_000);
        }
        self.soon(
            after,
            Event::Input(
                from,
                incarnation,
                Input::PromotionResponse(service, target, attempt, posted),
            ),
        );
    }
    fn promote(&mut self, service: &ServiceName, target: usize) {
        let newest = self.of_service(service).into_iter().map(|d| self.databases[d].term).max();
        let Some(newest) = newest else { return };
        let already = self.databases[target].primary && self.databases[target].term == newest;
        if !self.databases[target].up || already {
            return;
        }
        let log = &self.databases[target].log;
        let passed = self.passed.get(service).into_iter().flatten();
        let missing = passed.copied().find(|p| !log.contains(&p.write));
        let log = log.clone();
        let term = DbTerm(newest.0 + 1);
        if let Some(Passed { write, node, at }) = missing
            && self.clocks_run()
        {
            let (name, of) = (&self.databases[target].id, write.term);
            return self.fail(format!(
                "{name} leads {service} in {term} without a commit of {of}, passed on by node{node} at {at}"
            ));
        }
        self.promoted.entry(service.clone()).or_default().push((term, log));
        self.report.promoted += 1;
        let database = &mut self.databases[target];
        (database.primary, database.term, database.paused) = (true, term, false);
        database.received.clear();
        database.owed.clear();
        for other in self.of_service(service) {
            let hears = self.reaches(End::Database(target), End::Database(other));
            let database = &mut self.databases[other];
            if other != target && hears && database.up && !database.primary {
                database.term = term;
            }
        }
    }

    // -- nodes -------------------------------------------------------------------------------------

    fn tell(&mut self, node: usize, message: ToController) {
        let Some((conn, at)) = self.nodes[node].conn else { return };
        let incarnation = self.machines[at].incarnation;
        match self.arrival(End::Node(node), End::Controller(at), 0) {
            Some(time) => {
                self.at(
                    time,
                    Event::Input(at, incarnation, Input::Frame(conn, Frame::Pooler(message))),
                );
            }
            // Lost on its way: the connection does not get over it.
            None => self.close(conn),
        }
    }
    fn node_turn(&mut self, number: usize, incarnation: u64) {
        if self.nodes[number].incarnation != incarnation {
            return;
        }
        self.soon(40, Event::Node(number, incarnation));
        let now = self.now;
        let node = &mut self.nodes[number];
        if let Some((conn, _)) = node.conn {
            if now - node.heard > if node.welcome { 1_200 } else { 400 } {
                self.close(conn);
            } else if node.welcome && now - node.renewed >= 450 {
                self.renew(number);
            }
        } else {
            let to = node.hint.take().unwrap_or_else(|| {
                node.next += 1;
                node.known[node.next % node.known.len()]
            });
            let at = machine_at(to);
            if self.machines.get(at).is_some_and(|m| m.controller.is_some()) {
                self.numbered += 1;
                let conn = self.numbered;
                self.conns.insert(conn, (at, Far::Node(number, incarnation)));
                if let Some(controller) = &mut self.machines[at].controller {
                    controller.effects.open.insert(conn);
                }
                let node = &mut self.nodes[number];
                (node.conn, node.welcome, node.heard) = (Some((conn, at)), false, now);
                let revision = node.config.as_ref().map_or(Revision(0), |c| c.revision);
                let name = NodeName(format!("node{number}"));
                let zone = "z".to_owned();
                self.tell(number, ToController::Hello { node: name, incarnation, revision, zone });
            }
        }
        for service in SERVICES.map(ServiceName::from) {
            let Some(lease) = self.nodes[number].leases.get(&service).cloned() else { continue };
            let to = self.databases.iter().position(|d| d.id == lease.primary);
            if now < lease.asked + LEASE_MS
                && chance(60)
                && let Some(to) = to
                && let Some(time) = self.arrival(End::Node(number), End::Database(to), 0)
            {
                self.at(time, Event::Write(number, to, incarnation, lease.term));
            }
        }
    }
    fn renew(&mut self, number: usize) {
        let now = self.now;
        let node = &mut self.nodes[number];
        node.renewed = now;
        node.seq += 1;
        let seq = node.seq;
        node.sent.insert(seq, now);
        if node.sent.len() > 16 {
            node.sent.pop_first();
        }
        let (shares, wants, saw, asks) = (Vec::new(), Vec::new(), Vec::new(), Vec::new());
        let renewal =
            ToController::RenewLeases { seq, heard: 0, shares, wants, saw, asks, busy: Vec::new() };
        self.tell(number, renewal);
    }
    fn node_heard(&mut self, number: usize, conn: u64, frame: Frame) {
        let now = self.now;
        let node = &mut self.nodes[number];
        node.heard = now;
        let Frame::Controller(message) = frame else {
            return self.fail("a node was sent what is not for it".into());
        };
        match message {
            ToPooler::Welcome { controllers } => {
                if !controllers.is_empty() {
                    node.known = controllers;
                }
                if !std::mem::replace(&mut node.welcome, true) {
                    self.renew(number);
                }
            }
            ToPooler::NotLeader(leader) => {
                node.hint = leader;
                self.close(conn);
            }
            ToPooler::RouteTable(route_table) => self.configured(number, *route_table),
            ToPooler::RouteTableDelta(changed) => {
                match node.config.as_ref().and_then(|c| c.with(&changed)) {
                    Some(route_table) => self.configured(number, route_table),
                    None => self.tell(number, ToController::RequestFullTable),
                }
            }
            ToPooler::Directory(_) | ToPooler::DirectoryDelta { .. } => {}
            ToPooler::LeaseGrants { seq, whole, grants, .. } => {
                let Some(asked) = node.sent.get(&seq).copied() else { return };
                node.sent.retain(|s, _| *s >= seq);
                if whole {
                    node.leases.clear();
                }
                for grant in grants {
                    match grant.standing {
                        PrimaryStatus::Active { term, primary } => {
                            let last = node.revoked.get(&grant.service);
                            if last.is_none_or(|(last, upto)| term > *last || seq > *upto) {
                                let lease = Lease { term, primary, asked };
                                node.leases.insert(grant.service, lease);
                            }
                        }
                        _ => drop(node.leases.remove(&grant.service)),
                    }
                }
                node.leases.values_mut().for_each(|l| l.asked = l.asked.max(asked));
                self.one_lease();
            }
            ToPooler::Revoke { service, term } => {
                node.revoked.insert(service.clone(), (term, node.seq));
                if node.leases.get(&service).is_some_and(|l| l.term <= term) {
                    node.leases.remove(&service);
                }
                let highest = node.highest.get(&service).copied();
                self.tell(number, ToController::RevokeAck { service, term, highest });
            }
            ToPooler::RenewNow => self.renew(number),
        }
    }
    fn configured(&mut self, number: usize, route_table: RouteTable) {
        if !self.forced.iter().any(|f| f.revision == route_table.revision) {
            return self.fail(format!("a node has {}, never in force", route_table.revision));
        }
        let node = &mut self.nodes[number];
        if node.config.as_ref().is_none_or(|c| c.revision < route_table.revision) {
            node.config = Some(route_table);
        }
    }
    /// At any time all valid leases on a service are on one term.
    fn one_lease(&mut self) {
        for service in SERVICES.map(ServiceName::from) {
            let now = self.now;
            let held = self.nodes.iter().filter_map(|n| n.leases.get(&service));
            let terms: BTreeSet<DbTerm> =
                held.filter(|l| now < l.asked + LEASE_MS).map(|l| l.term).collect();
            if terms.len() > 1 && self.clocks_run() {
                self.fail(format!("{service} is leased in two terms at once"));
            }
        }
    }
    fn committed(
        &mut self,
        number: usize,
        incarnation: u64,
        service: ServiceName,
        write: Write,
        position: Position,
    ) {
        let now = self.now;
        let node = &mut self.nodes[number];
        let leased = node
            .leases
            .get(&service)
            .is_some_and(|l| l.term == write.term && now < l.asked + LEASE_MS);
        if node.incarnation != incarnation || !leased {
            return;
        }
        let highest = node.highest.entry(service.clone()).or_insert(position);
        *highest = position.max(*highest);
        self.report.passed_on += 1;
        let newer = self.promoted.get(&service).into_iter().flatten();
        let lacks =
            |(term, log): &&(DbTerm, Vec<Write>)| *term > write.term && !log.contains(&write);
        if let Some((term, _)) = newer.clone().find(lacks)
            && self.clocks_run()
        {
            let why =
                format!("{service} has a commit of {} passed on that {term} lacks", write.term);
            return self.fail(why);
        }
        self.passed.entry(service).or_default().push(Passed { write, node: number, at: now });
    }

    // -- troubles ----------------------------------------------------------------------------------

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
    fn strike(&mut self, number: usize) {
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
    fn heal(&mut self) {
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

    /// With everything well for long, all must agree and be served.
    fn look_back(&mut self) {
        let leading: Vec<usize> = (0..self.machines.len())
            .filter(|m| {
                let machine = &self.machines[*m];
                let now = Tick(self.now + machine.ahead);
                machine.controller.as_ref().is_some_and(|s| s.raft().holds_leader_lease(now))
            })
            .collect();
        let [leader] = leading[..] else {
            return self.fail(format!("in the end {} lead", leading.len()));
        };
        let Some(controller) = &self.machines[leader].controller else { return };
        let (revision, applied) = (controller.state_machine().revision, controller.applied());
        let voters = controller.raft().members().iter().filter(|m| m.voter).count();
        let listed =
            controller.state_machine().instances.keys().find(|id| self.goodbyes.contains(*id));
        let behind = self
            .machines
            .iter()
            .position(|m| m.controller.as_ref().is_some_and(|s| s.applied().0 + 40 < applied.0));
        let late = self.nodes.iter().position(|n| {
            let newest = n.config.as_ref().map(|c| c.revision);
            let old = self.forced.iter().rev().find(|f| f.at + 3_000 < self.now);
            newest < old.map(|f| f.revision)
        });
        let wrong = if self.forced.last().map(|f| f.revision) != Some(revision) {
            Some("in the end not all that was in force is".to_owned())
        } else if let Some(number) = behind {
            Some(format!("n{number} never caught up"))
        } else if let Some(id) = listed {
            Some(format!("{id} said goodbye and is listed again"))
        } else if let Some(number) = late {
            Some(format!("node{number} has an old configuration"))
        } else if voters < 2 * self.schedule.tolerated + 1 {
            Some(format!("in the end {voters} vote"))
        } else if self.report.acknowledged == 0 {
            Some("no order was ever acknowledged".to_owned())
        } else {
            None
        };
        self.report.raft_terms = self.leaders.len() as u64;
        if let Some(why) = wrong {
            self.fail(why);
        }
    }

    // -- events ------------------------------------------------------------------------------------

    fn happen(&mut self, event: Event) {
        match event {
            Event::Wake(number, incarnation, wake) => {
                let machine = &self.machines[number];
                if machine.incarnation == incarnation && machine.wake == wake {
                    self.step(number, None);
                }
            }
            Event::RaftMessage(from, at, to, message) => {
                let number = machine_at(at);
                let message = Box::new(message);
                if self.reaches(End::Controller(from), End::Controller(number)) {
                    // Only what reaches a process that is there counts as said.
                    let machine = &mut self.machines[number];
                    let now = Tick(self.now + machine.ahead);
                    if let Some(controller) = &mut machine.controller {
                        controller.take(Input::PeerLayout(message.from, LAYOUT), now);
                    }
                    let frame = Frame::Raft { to, message };
                    self.step(number, Some(Input::Frame(0, frame)));
                }
            }
            Event::Input(number, incarnation, input) => {
                if self.machines[number].incarnation == incarnation {
                    self.step(number, Some(input));
                }
            }
            Event::Written(number, incarnation) => {
                let now = self.now;
                let machine = &mut self.machines[number];
                if machine.incarnation != incarnation {
                    return;
                }
                match machine.disk_ill.filter(|(until, _)| now < *until) {
                    Some((until, false)) => {
                        return self.at(until, Event::Written(number, incarnation));
                    }
                    Some((_, true)) => {
                        machine.writing = None;
                        let failed = Input::Saved(Err("full".to_owned()));
                        return self.step(number, Some(failed));
                    }
                    None => {}
                }
                if let Some(batch) = machine.writing.take() {
                    let saved = machine.disk.save(&batch).map_err(|e| e.to_string());
                    self.step(number, Some(Input::Saved(saved)));
                }
            }
            Event::Frame(conn, frame) => match self.conns.get(&conn) {
                Some((_, Far::Node(node, incarnation))) => {
                    let (node, incarnation) = (*node, *incarnation);
                    if self.nodes[node].incarnation == incarnation {
                        self.node_heard(node, conn, frame);
                    }
                }
                Some((_, Far::Join { asker, incarnation, me, at })) => {
                    let (asker, incarnation, me, at) = (*asker, *incarnation, *me, *at);
                    let answer = match frame {
                        Frame::Joined(answer) => Some(answer),
                        _ => None,
                    };
                    self.close(conn);
                    if self.machines[asker].incarnation == incarnation {
                        self.step(asker, Some(Input::JoinResponse(me, at, answer)));
                    }
                }
                None => {}
            },
            Event::AdminCall(who, attempt, request) => self.reach_controller(who, attempt, request),
            Event::Answer(who, attempt, response) => self.answered(who, attempt, response),
            Event::Act(who) => self.act(who),
            Event::Node(number, incarnation) => self.node_turn(number, incarnation),
            Event::DatabaseRequest(from, incarnation, service, id, ask, attempt) => {
                self.asked((from, incarnation), service, id, ask, attempt);
            }
            Event::Post(from, incarnation, service, target, attempt) => {
                self.post((from, incarnation), service, target, attempt);
            }
            Event::Promote(service, target) => self.promote(&service, target),
            Event::Write(node, to, incarnation, term) => self.write(node, to, incarnation, term),
            Event::Replicate(from, to, term, log) => self.receive_log(from, to, term, &log),
            Event::Received(number, by, term, has) => self.received(number, by, term, has),
            Event::Committed(node, incarnation, service, term, id, position) => {
                self.committed(node, incarnation, service, Write { term, id }, position);
            }
            Event::Database(number) => self.replicate(number),
            Event::Strike(number) => self.strike(number),
            Event::Start(number) => self.start(number),
            Event::Thaw(number) => {
                let machine = &mut self.machines[number];
                if machine.frozen.is_some_and(|t| t <= self.now) {
                    machine.wake_up(self.now);
                    for input in std::mem::take(&mut machine.backlog) {
                        self.step(number, Some(input));
                    }
                    self.step(number, None);
                }
            }
            Event::DatabaseUp(number) => {
                let database = &mut self.databases[number];
                if database.gone || database.up {
                    return;
                }
                (database.up, database.paused) = (true, false);
                database.owed.clear();
                let (service, term) = (database.service.clone(), database.term);
                let newest = self.primary(&service).map(|p| self.databases[p].term);
                let database = &mut self.databases[number];
                if database.primary && newest.is_some_and(|t| t > term) {
                    database.primary = false;
                }
                let who = self.operators.len() + number;
                self.soon(5, Event::Act(who));
            }
            Event::DatabaseLeaves(number) => self.databases[number].drained = true,
        }
    }
}
