//! The events of a run, and their dispatch to the code that handles them.
use crate::base::ids::{DbTerm, InstanceId, MemberId, ServiceName};
use crate::base::time::Tick;
use crate::controller::effects::Input;
use crate::failover::{Attempt, DatabaseRequest};
use crate::net::http::{Request, Response};
use crate::net::rpc::raft_messages::RaftMessage;
use crate::net::rpc::{Frame, LAYOUT};
use crate::raft::storage::StorageError;
use crate::simulation::commits::{Commit, NodeQuery};
use crate::simulation::databases::{AcknowledgedHeartbeat, Write};
use crate::simulation::machines::DiskFault;
use crate::simulation::network::{Endpoint, RemoteEnd};
use crate::simulation::world::{World, machine_of};
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;

/// An event that happens at a scheduled time. A number identifies a machine, a database, a node or
/// a caller; an incarnation identifies the process for which the event is meant.
pub(super) enum Event {
    /// A controller's timer expires, by machine, incarnation and generation of the timer.
    Timer(usize, u64, u64),
    /// A Raft message arrives, by the sender's machine, the receiver's address and member id.
    RaftMessage(usize, SocketAddr, MemberId, RaftMessage),
    /// A controller receives an input, by machine and incarnation.
    ControllerInput(usize, u64, Input),
    /// A write to a machine's disk completes or fails, by machine and incarnation.
    DiskWriteDone(usize, u64),
    /// A frame arrives at the remote end of a connection to a peer port.
    Frame(u64, Frame),
    /// A request reaches a controller, by caller and attempt.
    Request(usize, u64, Request),
    /// A caller receives a response, or none once the attempt has timed out.
    Response(usize, u64, Option<Response>),
    /// An operator sends its next request, or a database its next heartbeat.
    CallerTurn(usize),
    /// A node renews its leases and writes, by node and incarnation.
    NodeTurn(usize, u64),
    /// A controller's request is sent to a database, by machine and incarnation of the controller.
    DatabaseRequest(usize, u64, ServiceName, InstanceId, DatabaseRequest, Attempt),
    /// A controller's request is sent to the platform, by machine and incarnation of the
    /// controller.
    PromotionRequest(usize, u64, ServiceName, InstanceId, Attempt),
    /// The platform promotes a database of the service.
    Promote(ServiceName, usize),
    /// A node's statement reaches a database, by node, database, the node's incarnation, the leased
    /// term and the time at which it was sent.
    Write(usize, usize, u64, DbTerm, u64),
    /// A replica receives the log of a primary, by primary, replica and term.
    Replicate(usize, usize, DbTerm, Arc<Vec<Write>>),
    /// A primary receives a replica's acknowledgement: primary, replica, term, log length.
    ReplicaAck(usize, usize, DbTerm, usize),
    /// A node receives the primary's acknowledgement of a commit, by node and incarnation.
    CommitAck(usize, u64, Commit),
    /// A node's query reaches a replica, by number of the database.
    ReplicaQuery(usize, NodeQuery),
    /// A node receives the reply to its query, or none once the query has timed out.
    ReplicaReply(NodeQuery),
    /// A primary sends its log to its replicas.
    ReplicationTurn(usize),
    /// A fault of the schedule begins, by its number there.
    InjectFault(usize),
    /// A machine's controller starts unless it is running.
    StartController(usize),
    /// A frozen machine resumes.
    ResumeMachine(usize),
    /// A crashed database starts again.
    DatabaseRestart(usize),
    /// A draining database has no more clients and will deregister.
    DatabaseDrained(usize),
    /// The leader is checked once more for the content of an acknowledged heartbeat.
    CheckAcknowledgedHeartbeat(usize, AcknowledgedHeartbeat),
    /// A deregistered database stops.
    DatabaseStop(usize),
    /// All replicas of this database's service but itself stop receiving log data for a while.
    StallReplicasExcept(usize),
    /// The primary of a service crashes, and all nodes restart.
    LosePrimaryAndNodes(ServiceName),
}

impl World {
    /// Passes an event to the code that handles it.
    pub(super) fn dispatch(&mut self, event: Event) {
        match event {
            Event::Timer(number, incarnation, generation) => {
                let machine = &self.machines[number];
                if machine.incarnation == incarnation && machine.timer_generation == generation {
                    self.step(number, None);
                }
            }
            Event::RaftMessage(from, address, to, message) => {
                self.deliver_raft_message(from, address, to, message);
            }
            Event::ControllerInput(number, incarnation, input) => {
                if self.machines[number].incarnation == incarnation {
                    self.step(number, Some(input));
                }
            }
            Event::DiskWriteDone(number, incarnation) => {
                self.finish_disk_write(number, incarnation)
            }
            Event::Frame(connection, frame) => self.deliver_frame(connection, frame),
            Event::Request(caller, attempt, request) => {
                self.deliver_request(caller, attempt, request)
            }
            Event::Response(caller, attempt, response) => {
                self.handle_response(caller, attempt, response)
            }
            Event::CallerTurn(caller) => self.caller_turn(caller),
            Event::NodeTurn(number, incarnation) => self.node_turn(number, incarnation),
            Event::DatabaseRequest(from, incarnation, service, id, request, attempt) => {
                self.handle_database_request((from, incarnation), service, id, request, attempt);
            }
            Event::PromotionRequest(from, incarnation, service, target, attempt) => {
                self.handle_promotion_request((from, incarnation), service, target, attempt);
            }
            Event::Promote(service, target) => self.promote(&service, target),
            Event::Write(node, to, incarnation, term, sent_at) => {
                self.append_write(node, to, incarnation, term, sent_at);
            }
            Event::Replicate(from, to, term, log) => self.receive_log(from, to, term, &log),
            Event::ReplicaAck(number, replica, term, length) => {
                self.handle_replica_ack(number, replica, term, length);
            }
            Event::CommitAck(node, incarnation, commit) => {
                self.handle_commit_ack(node, incarnation, commit);
            }
            Event::ReplicaQuery(number, query) => self.handle_replica_query(number, query),
            Event::ReplicaReply(query) => self.handle_replica_reply(query),
            Event::ReplicationTurn(number) => self.replicate(number),
            Event::InjectFault(number) => self.inject(number),
            Event::StartController(number) => self.start(number),
            Event::ResumeMachine(number) => self.resume_if_due(number),
            Event::DatabaseRestart(number) => self.restart_database(number),
            Event::DatabaseDrained(number) => self.databases[number].drained = true,
            Event::CheckAcknowledgedHeartbeat(number, heartbeat) => {
                self.check_acknowledged(number, heartbeat)
            }
            Event::DatabaseStop(number) => self.remove_database(number),
            Event::StallReplicasExcept(holder) => self.stall_replicas_except(holder),
            Event::LosePrimaryAndNodes(service) => self.lose_primary_and_nodes(&service),
        }
    }

    fn deliver_raft_message(
        &mut self,
        from: usize,
        address: SocketAddr,
        to: MemberId,
        message: RaftMessage,
    ) {
        let number = machine_of(address);
        if !self.can_reach(Endpoint::Controller(from), Endpoint::Controller(number)) {
            return;
        }
        // The sender's message layout is known only once its message reaches a running process.
        let machine = &mut self.machines[number];
        let now = Tick(self.now + machine.clock_offset);
        if let Some(controller) = &mut machine.controller {
            controller.handle_input(Input::PeerLayout(message.from, LAYOUT), now);
        }
        let frame = Frame::Raft { to, message: Box::new(message) };
        self.step(number, Some(Input::Frame(0, frame)));
    }

    fn finish_disk_write(&mut self, number: usize, incarnation: u64) {
        let now = self.now;
        let machine = &mut self.machines[number];
        if machine.incarnation != incarnation {
            return;
        }
        match machine.disk_fault.filter(|fault| now < fault.until) {
            Some(DiskFault { until, full: false }) => {
                return self.schedule_at(until, Event::DiskWriteDone(number, incarnation));
            }
            Some(DiskFault { full: true, .. }) => {
                machine.pending_write = None;
                let failed = Input::WriteFinished(Err(StorageError::Io(io::Error::other(
                    "simulated disk is full",
                ))));
                return self.step(number, Some(failed));
            }
            None => {}
        }
        if let Some(batch) = machine.pending_write.take() {
            let saved = machine.disk.save(&batch);
            self.step(number, Some(Input::WriteFinished(saved)));
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
                            response: answer,
                        }),
                    );
                }
            }
            None => {}
        }
    }

    fn resume_if_due(&mut self, number: usize) {
        let machine = &self.machines[number];
        if machine.frozen_until.is_some_and(|until| until <= self.now) {
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
        if database.primary && newest.is_some_and(|newest| newest > term) {
            database.primary = false;
        }
        let caller = self.operators.len() + number;
        self.schedule_after(5, Event::CallerTurn(caller));
    }
}
