//! Handles calls on the admin address: parses the operation, refuses invalid requests, redirects to
//! the leader, and responds or proposes a command. A caller may have stopped waiting, so a failure
//! to deliver a response is always ignored.
use crate::base::ids::InstanceId;
use crate::base::time::Tick;
use crate::config::directory::Heartbeat;
use crate::controller::admin_api::{AdminCall, CallDecision, is_valid_name, read_configuration};
use crate::controller::core::Controller;
use crate::controller::effects::Effects;
use crate::controller::linearizable_reads::DecidedCall;
use crate::net::http::{Request, Response};
use crate::state_machine::Command;
use log::warn;
use std::sync::mpsc::SyncSender;

/// Maximum length of an instance id in a path, in bytes.
const MAX_INSTANCE_ID_BYTES: usize = 200;

/// The operation that a call requests.
enum Operation {
    ReadStatus,
    ReadConfiguration,
    Submit(Command),
}

impl Operation {
    /// Parses the operation of a request. The error is the response that refuses an unknown
    /// operation or an invalid body.
    fn parse(request: &Request, path: &str) -> Result<Self, Response> {
        let method = request.method.as_str();
        let wrong_method = || Err(Response::error(405, "not with this method"));
        if path == "/configuration" {
            return match method {
                "GET" => Ok(Self::ReadConfiguration),
                "PUT" => read_configuration(request).map(Self::Submit),
                _ => wrong_method(),
            };
        }
        if path == "/status" {
            return match method {
                "GET" => Ok(Self::ReadStatus),
                _ => wrong_method(),
            };
        }
        let Some(id) = instance_id(path) else {
            return Err(Response::error(404, "no such path"));
        };
        match method {
            "PUT" => read_heartbeat(request, id).map(Self::Submit),
            // An instance that removes itself has stopped. Heartbeats still in transit must not
            // bring it back, so the removal has the highest sequence number.
            "DELETE" => Ok(Self::Submit(Command::RemoveInstance { id, sequence: u64::MAX })),
            _ => wrong_method(),
        }
    }
}

fn instance_id(path: &str) -> Option<InstanceId> {
    let id = path.strip_prefix("/instances/")?;
    let valid = !id.is_empty()
        && id.len() <= MAX_INSTANCE_ID_BYTES
        && id.bytes().all(|b| b.is_ascii_graphic() && b != b'/');
    valid.then(|| InstanceId(id.to_owned()))
}

fn read_heartbeat(request: &Request, id: InstanceId) -> Result<Command, Response> {
    match serde_json::from_slice::<Heartbeat>(&request.body) {
        Ok(heartbeat) if is_valid_name(&heartbeat.instance.target_service.0) => {
            Ok(Command::Heartbeat {
                id,
                instance: heartbeat.instance,
                sequence: heartbeat.sequence,
            })
        }
        Ok(_) => Err(Response::error(400, "target_service is no word")),
        Err(e) => Err(Response::error(400, &format!("cannot be read: {e}"))),
    }
}

impl<E: Effects> Controller<E> {
    /// Handles a call. The response is sent to `reply` immediately, or once the read is confirmed
    /// or the command committed.
    pub(super) fn handle_admin_request(
        &mut self,
        request: Request,
        reply: SyncSender<Response>,
        now: Tick,
    ) {
        let path = request.path.split('?').next().unwrap_or_default();
        let accepted = Operation::parse(&request, path)
            .and_then(|operation| self.accept_operation(operation, path, now));
        let call = match accepted {
            Err(response) => return drop(reply.try_send(response)),
            Ok(Operation::ReadStatus) => {
                let body = self.status(now).to_string().into_bytes();
                return drop(reply.try_send(Response::json(200, body)));
            }
            Ok(Operation::Submit(Command::Heartbeat { id, instance, sequence })) => {
                return self.handle_heartbeat(id, instance, sequence, reply, now);
            }
            Ok(Operation::Submit(command)) => AdminCall::Command(command),
            Ok(Operation::ReadConfiguration) => AdminCall::ReadConfiguration,
        };
        let decided =
            self.pending_reads.submit(&mut self.raft, &self.state_machine, call, reply, now);
        self.execute_decisions(decided, now);
        // A single controller needs no confirmation from others.
        self.answer_confirmed_reads(now);
    }

    /// Checks whether this controller may perform the operation now. The status is always allowed,
    /// any other operation only on a leader that has a quorum and decodable state.
    fn accept_operation(
        &mut self,
        operation: Operation,
        path: &str,
        now: Tick,
    ) -> Result<Operation, Response> {
        if matches!(operation, Operation::ReadStatus) {
            return Ok(operation);
        }
        if !self.raft.is_leader() {
            return Err(match self.leader_address() {
                Some(leader) => Response::redirect(format!("http://{}{path}", leader.admin)),
                None => Response::error(503, "no leader"),
            });
        }
        // Without a quorum nothing can be confirmed, and a new leader may not have applied yet all
        // that its predecessor acknowledged.
        if !self.raft.holds_leader_lease(now) {
            return Err(Response::error(503, "no quorum"));
        }
        self.apply_committed_entries(now);
        if self.unreadable.is_some() {
            return Err(Response::error(503, "stopping"));
        }
        if matches!(operation, Operation::Submit(_)) && !self.state_machine.is_initialized() {
            self.check_bootstrap(now)?;
        }
        Ok(operation)
    }

    /// Refuses the first command of a new cluster until the cluster has the voters that it needs.
    fn check_bootstrap(&self, now: Tick) -> Result<(), Response> {
        let tolerated = self.settings.tolerated_failures();
        let (voters, needed) = (self.raft.voters().len(), 2 * tolerated + 1);
        if !self.raft.may_bootstrap(tolerated, now) {
            let reason = format!("being founded: {voters} of {needed} controllers vote");
            return Err(Response::error(503, &reason));
        }
        if voters < needed {
            warn!(target: "raft", "cluster starts with {voters} of {needed} voters: it tolerates \
                fewer lost machines than fault_tolerance requires");
        }
        Ok(())
    }

    /// Responds to the reads that have been confirmed or have timed out.
    pub(super) fn answer_confirmed_reads(&mut self, now: Tick) {
        let decided = self.pending_reads.take_decided(
            &self.raft,
            &self.state_machine,
            self.last_applied,
            now,
        );
        self.execute_decisions(decided, now);
    }

    fn execute_decisions(
        &mut self,
        decided: impl IntoIterator<Item = DecidedCall<SyncSender<Response>>>,
        now: Tick,
    ) {
        for DecidedCall { caller: reply, decision } in decided {
            match decision {
                CallDecision::Answer(response) => drop(reply.try_send(response)),
                CallDecision::Propose(command) => self.propose_for_caller(&command, reply, now),
            }
        }
    }

    /// Proposes a caller's command. The caller receives its response once the command has been
    /// committed and applied.
    pub(super) fn propose_for_caller(
        &mut self,
        command: &Command,
        reply: SyncSender<Response>,
        now: Tick,
    ) {
        match self.propose(command, now) {
            Some(index) => self.pending_proposals.insert(self.raft.state.term, index, reply),
            None => drop(reply.try_send(Response::error(503, "no leader"))),
        }
    }
}
