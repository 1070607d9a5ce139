//! Everything that can happen next, and who handles it.
use crate::base::ids::{DbTerm, InstanceId, MemberId, ServiceName};
use crate::base::time::Tick;
use crate::controller::effects::Input;
use crate::failover::{Attempt, DatabaseRequest};
use crate::net::http::{Request, Response};
use crate::net::rpc::raft_messages::RaftMessage;
use crate::net::rpc::{Frame, LAYOUT};
use crate::raft::storage::StorageError;
use crate::simulation::commits::{Commit, TargetQuestion};
use crate::simulation::databases::{AcknowledgedHeartbeat, Write};
use crate::simulation::machines::DiskFault;
use crate::simulation::network::{Endpoint, RemoteEnd};
use crate::simulation::world::{World, machine_of};
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;

/// Something that happens at a set time. A number is a machine, a database, a node or a caller; an
/// incarnation names the process that it is meant for.
pub(super) enum Event {
    /// A controller's own timer, by machine, incarnation and generation of the timer.
    Wake(usize, u64, u64),
    /// A consensus message, by sender's machine, address, member it is for.
    RaftMessage(usize, SocketAddr, MemberId, RaftMessage),
    ControllerInput(usize, u64, Input),
    WriteDone(usize, u64),
    /// A frame for the far end of a connection on a peer port.
    Frame(u64, Frame),
    /// A call reaches a controller, by caller and attempt.
    Request(usize, u64, Request),
    /// A response, or the time-out of the attempt, reaches the caller.
    Response(usize, u64, Option<Response>),
    /// An operator or a database has something to call about.
    TakeTurn(usize),
    NodeTurn(usize, u64),
    DatabaseRequest(usize, u64, ServiceName, InstanceId, DatabaseRequest, Attempt),
    PromotionRequest(usize, u64, ServiceName, InstanceId, Attempt),
    Promote(ServiceName, usize),
    /// A node's statement reaches a database, by node, database, node's incarnation, leased term, time of
    /// sending.
    Write(usize, usize, u64, DbTerm, u64),
    Replicate(usize, usize, DbTerm, Arc<Vec<Write>>),
    ReplicaAck(usize, usize, DbTerm, usize),
    /// The primary acknowledges a commit, to a node and its incarnation.
    CommitAck(usize, u64, Commit),
    /// A node's question reaches the target of a handover, by number of the database.
    TargetQuestion(usize, TargetQuestion),
    /// The answer, or the time-out of the question, reaches the node.
    TargetAnswer(TargetQuestion),
    ReplicationTurn(usize),
    InjectFault(usize),
    Start(usize),
    Thaw(usize),
    DatabaseUp(usize),
    DatabaseLeaves(usize),
    /// What a database had acknowledged is looked for again.
    CheckAcknowledged(usize, AcknowledgedHeartbeat),
    /// A database that said goodbye ends.
    DatabaseEnds(usize),
}

impl World {
    /// Hands an event to whom it concerns.
    pub(super) fn dispatch(&mut self, event: Event) {
        match event {
            Event::Wake(number, incarnation, generation) => {
                let machine = &self.machines[number];
                if machine.incarnation == incarnation && machine.timer_generation == generation {
                    self.step(number, None);
                }
            }
            Event::RaftMessage(from, at, to, message) => {
                self.deliver_raft_message(from, at, to, message);
            }
            Event::ControllerInput(number, incarnation, input) => {
                if self.machines[number].incarnation == incarnation {
                    self.step(number, Some(input));
                }
            }
            Event::WriteDone(number, incarnation) => self.finish_write(number, incarnation),
            Event::Frame(connection, frame) => self.deliver_frame(connection, frame),
            Event::Request(who, attempt, request) => self.deliver_request(who, attempt, request),
            Event::Response(who, attempt, response) => self.handle_response(who, attempt, response),
            Event::TakeTurn(who) => self.take_turn(who),
            Event::NodeTurn(number, incarnation) => self.node_turn(number, incarnation),
            Event::DatabaseRequest(from, incarnation, service, id, ask, attempt) => {
                self.handle_database_request((from, incarnation), service, id, ask, attempt);
            }
            Event::PromotionRequest(from, incarnation, service, target, attempt) => {
                self.handle_promotion_request((from, incarnation), service, target, attempt);
            }
            Event::Promote(service, target) => self.promote(&service, target),
            Event::Write(node, to, incarnation, term, sent_at) => {
                self.append_write(node, to, incarnation, term, sent_at);
            }
            Event::Replicate(from, to, term, log) => self.receive_log(from, to, term, &log),
            Event::ReplicaAck(number, by, term, has) => {
                self.handle_replica_ack(number, by, term, has);
            }
            Event::CommitAck(node, incarnation, commit) => {
                self.handle_commit_ack(node, incarnation, commit);
            }
            Event::TargetQuestion(number, question) => {
                self.answer_target_question(number, question);
            }
            Event::TargetAnswer(question) => self.handle_target_answer(question),
            Event::ReplicationTurn(number) => self.replicate(number),
            Event::InjectFault(number) => self.inject(number),
            Event::Start(number) => self.start(number),
            Event::Thaw(number) => self.thaw(number),
            Event::DatabaseUp(number) => self.restart_database(number),
            Event::DatabaseLeaves(number) => self.databases[number].drained = true,
            Event::CheckAcknowledged(number, what) => self.check_acknowledged(number, what),
            Event::DatabaseEnds(number) => self.remove_database(number),
        }
    }

    fn deliver_raft_message(
        &mut self,
        from: usize,
        at: SocketAddr,
        to: MemberId,
        message: RaftMessage,
    ) {
        let number = machine_of(at);
        if !self.can_reach(Endpoint::Controller(from), Endpoint::Controller(number)) {
            return;
        }
        // The sender's layout counts only once its message reaches a running process.
        let machine = &mut self.machines[number];
        let now = Tick(self.now + machine.clock_offset);
        if let Some(controller) = &mut machine.controller {
            controller.handle_input(Input::PeerLayout(message.from, LAYOUT), now);
        }
        let frame = Frame::Raft { to, message: Box::new(message) };
        self.step(number, Some(Input::Frame(0, frame)));
    }

    fn finish_write(&mut self, number: usize, incarnation: u64) {
        let now = self.now;
        let machine = &mut self.machines[number];
        if machine.incarnation != incarnation {
            return;
        }
        match machine.disk_fault.filter(|fault| now < fault.until) {
            Some(DiskFault { until, full: false }) => {
                return self.schedule_at(until, Event::WriteDone(number, incarnation));
            }
            Some(DiskFault { full: true, .. }) => {
                machine.pending_write = None;
                let failed = Input::Saved(Err(StorageError::Io(io::Error::other("full"))));
                return self.step(number, Some(failed));
            }
            None => {}
        }
        if let Some(batch) = machine.pending_write.take() {
            let saved = machine.disk.save(&batch);
            self.step(number, Some(Input::Saved(saved)));
        }
    }

    fn deliver_frame(&mut self, connection: u64, frame: Frame) {
        match self.connections.get(&connection) {
            Some((_, RemoteEnd::Node(node, incarnation))) => {
                let (node, incarnation) = (*node, *incarnation);
                if self.nodes[node].incarnation == incarnation {
                    self.handle_node_message(node, connection, frame);
                }
            }
            Some((_, RemoteEnd::Join { requester, incarnation, member_id, address })) => {
                let (requester, incarnation, member_id, address) =
                    (*requester, *incarnation, *member_id, *address);
                let answer = match frame {
                    Frame::Joined(answer) => Some(answer),
                    _ => None,
                };
                self.close(connection);
                if self.machines[requester].incarnation == incarnation {
                    self.step(
                        requester,
                        Some(Input::JoinResponse {
                            requested_id: member_id,
                            from: address,
                            answer,
                        }),
                    );
                }
            }
            None => {}
        }
    }

    fn thaw(&mut self, number: usize) {
        let machine = &self.machines[number];
        if machine.frozen_until.is_some_and(|t| t <= self.now) {
            self.resume(number);
            self.step(number, None);
        }
    }

    fn restart_database(&mut self, number: usize) {
        let database = &mut self.databases[number];
        if database.removed || database.up {
            return;
        }
        (database.up, database.paused) = (true, false);
        database.pending_commits.clear();
        let (service, term) = (database.service.clone(), database.term);
        let newest = self.newest_primary(&service).map(|p| self.databases[p].term);
        let database = &mut self.databases[number];
        if database.primary && newest.is_some_and(|t| t > term) {
            database.primary = false;
        }
        let who = self.operators.len() + number;
        self.schedule_after(5, Event::TakeTurn(who));
    }
}
