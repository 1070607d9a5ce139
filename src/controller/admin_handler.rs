//! Handles the calls on the admin address: recognises the operation, rejects what can't be read,
//! redirects to the leader, and answers or proposes. A caller may have stopped waiting, so failed
//! sends of answers are ignored throughout.
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

/// Longest id of an instance in a path, in bytes.
const MAX_INSTANCE_ID_BYTES: usize = 200;

/// What a call asks for.
enum Operation {
    ReadStatus,
    ReadConfiguration,
    Submit(Command),
}

impl Operation {
    /// The operation that a request names; the refusal if there is none, or its body can't be
    /// read.
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
            // An instance that removes itself has ended: heartbeats of it still on the way are late.
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
    /// Handles a call; the answer is sent to `reply` now, or once it is confirmed or committed.
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
        let decided = self.reads.submit(&mut self.raft, &self.state_machine, call, reply, now);
        self.execute_decisions(decided, now);
        // A single controller has no other to wait for.
        self.answer_confirmed_reads(now);
    }

    /// Lets through the operations that this controller may carry out now: the status always, all
    /// others as the leader of a quorum with a readable state.
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
        // Without a quorum nothing can be confirmed, and a new leader may not have applied yet what
        // the one before acknowledged.
        if !self.raft.holds_leader_lease(now) {
            return Err(Response::error(503, "no quorum"));
        }
        self.apply_committed_entries(now);
        if self.unreadable.is_some() {
            return Err(Response::error(503, "stopping"));
        }
        if matches!(operation, Operation::Submit(_)) && !self.state_machine.is_initialized() {
            self.check_founding(now)?;
        }
        Ok(operation)
    }

    /// Rejects the first command of a new Raft group until it has the voters that it needs.
    fn check_founding(&self, now: Tick) -> Result<(), Response> {
        let tolerated = self.settings.tolerated_failures();
        let (voters, needed) = (self.raft.voters().len(), 2 * tolerated + 1);
        if !self.raft.may_bootstrap(tolerated, now) {
            let why = format!("being founded: {voters} of {needed} controllers vote");
            return Err(Response::error(503, &why));
        }
        if voters < needed {
            warn!(target: "raft", "begins with {voters} voters of {needed}: not as many \
                machines may be lost as fault_tolerance says");
        }
        Ok(())
    }

    /// Answers the reads that are confirmed or have timed out.
    pub(super) fn answer_confirmed_reads(&mut self, now: Tick) {
        let decided = self.reads.take_decided(&self.raft, &self.state_machine, self.applied, now);
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

    /// Proposes what a caller asked for; it is answered when that is committed and applied.
    pub(super) fn propose_for_caller(
        &mut self,
        command: &Command,
        reply: SyncSender<Response>,
        now: Tick,
    ) {
        match self.propose(command, now) {
            Some(index) => self.proposed.insert(self.raft.state.term, index, reply),
            None => drop(reply.try_send(Response::error(503, "no leader"))),
        }
    }
}
