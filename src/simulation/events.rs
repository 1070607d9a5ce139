//! Everything that can happen next, and who handles it.
use crate::base::ids::{DbTerm, InstanceId, MemberId, Position, ServiceName};
use crate::base::time::Tick;
use crate::controller::effects::Input;
use crate::failover::{Attempt, DatabaseRequest};
use crate::net::http::{Request, Response};
use crate::net::rpc::raft_messages::RaftMessage;
use crate::net::rpc::{Frame, LAYOUT};
use crate::simulation::databases::Write;
use crate::simulation::network::{End, Far};
use crate::simulation::world::{World, machine_at};
use std::net::SocketAddr;
use std::sync::Arc;

pub(super) enum Event {
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

impl World {
    pub(super) fn happen(&mut self, event: Event) {
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
