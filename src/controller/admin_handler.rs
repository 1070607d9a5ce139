//! Answers the calls on the admin address.
use crate::base::ids::InstanceId;
use crate::base::time::Tick;
use crate::config::directory::Heartbeat;
use crate::controller::admin_api::{AdminCall, CallDecision, is_word, read_configuration};
use crate::controller::core::Controller;
use crate::controller::effects::Effects;
use crate::net::http::{Request, Response};
use crate::state_machine::Command;
use log::warn;
use std::sync::mpsc::SyncSender;

impl<E: Effects> Controller<E> {
    pub(super) fn answer_http(&mut self, request: Request, reply: SyncSender<Response>, now: Tick) {
        // A caller that no longer waits is none of our business.
        let say = |response: Response| drop(reply.try_send(response));
        let path = request.path.split('?').next().unwrap_or_default().to_owned();
        let method = request.method.as_str();
        let instance = path.strip_prefix("/instances/").filter(|id| {
            !id.is_empty()
                && id.len() <= 200
                && id.bytes().all(|b| b.is_ascii_graphic() && b != b'/')
        });
        let known = match (path.as_str(), instance) {
            ("/configuration", _) => ["GET", "PUT"].contains(&method),
            ("/status", _) => method == "GET",
            (_, Some(_)) => ["PUT", "DELETE"].contains(&method),
            _ => return say(Response::refusal(404, "no such path")),
        };
        if !known {
            return say(Response::refusal(405, "not with this method"));
        }
        if path == "/status" {
            return say(Response::json(200, self.status(now).to_string().into_bytes()));
        }
        // What can't be read is refused by any controller.
        let parsed = match (method, instance) {
            ("PUT", None) => match read_configuration(&request) {
                Ok(change) => Some(change),
                Err(response) => return say(response),
            },
            ("PUT", Some(id)) => match serde_json::from_slice::<Heartbeat>(&request.body) {
                Ok(heartbeat) if is_word(&heartbeat.instance.target_service.0) => {
                    Some(Command::Heartbeat {
                        id: InstanceId(id.to_owned()),
                        instance: heartbeat.instance,
                        sequence: heartbeat.sequence,
                    })
                }
                Ok(_) => return say(Response::refusal(400, "target_service is no word")),
                Err(e) => return say(Response::refusal(400, &format!("cannot be read: {e}"))),
            },
            // One that says goodbye has ended: whatever is still under way of it is late.
            ("DELETE", Some(id)) => {
                Some(Command::RemoveInstance { id: InstanceId(id.to_owned()), sequence: u64::MAX })
            }
            _ => None,
        };
        if !self.raft.is_leader() {
            return say(match self.leads_at() {
                Some((_, admin)) => Response::elsewhere(format!("http://{admin}{path}")),
                None => Response::refusal(503, "no leader"),
            });
        }
        // Without a quorum nothing can be confirmed, and a new leader may not have applied yet what
        // the one before acknowledged.
        if !self.raft.holds_leader_lease(now) {
            return say(Response::refusal(503, "no quorum"));
        }
        self.apply(now);
        if self.unreadable.is_some() {
            return say(Response::refusal(503, "stopping"));
        }
        let tolerated = self.settings.tolerated();
        if parsed.is_some() && !self.state_machine.begun() {
            let (voters, needed) = (self.raft.voters().len(), 2 * tolerated + 1);
            if !self.raft.may_bootstrap(tolerated, now) {
                let why = format!("being founded: {voters} of {needed} controllers vote");
                return say(Response::refusal(503, &why));
            }
            if voters < needed {
                warn!(target: "raft", "begins with {voters} voters of {needed}: not as many \
                    machines may be lost as fault_tolerance says");
            }
        }
        let call = match parsed {
            Some(Command::Heartbeat { id, instance, sequence }) => {
                return self.handle_heartbeat(id, instance, sequence, reply, now);
            }
            Some(change) => AdminCall::Command(change),
            None => AdminCall::ReadConfiguration,
        };
        let ready = self.reads.ask(&mut self.raft, &self.state_machine, call, reply, now);
        self.carry_through(ready, now);
        // One that is alone has nobody to wait for.
        self.answer_reads(now);
    }

    pub(super) fn answer_reads(&mut self, now: Tick) {
        let settled = self.reads.settled(&self.raft, &self.state_machine, self.applied, now);
        self.carry_through(settled, now);
    }
    pub(super) fn carry_through(
        &mut self,
        verdicts: impl IntoIterator<Item = (SyncSender<Response>, CallDecision)>,
        now: Tick,
    ) {
        for (reply, verdict) in verdicts {
            match verdict {
                // A caller that no longer waits is none of our business.
                CallDecision::Answer(response) => drop(reply.try_send(response)),
                CallDecision::Propose(change) => self.await_change(&change, reply, now),
            }
        }
    }
    /// Proposes what a caller asked for; it is answered when that is committed and applied.
    pub(super) fn await_change(
        &mut self,
        change: &Command,
        reply: SyncSender<Response>,
        now: Tick,
    ) {
        match self.propose(change, now) {
            Some(index) => self.proposed.add(self.raft.state.term, index, reply),
            // A caller that no longer waits is none of our business.
            None => drop(reply.try_send(Response::refusal(503, "no leader"))),
        }
    }
}
