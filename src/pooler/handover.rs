//! Commits while a service is handed over: one is passed on to its client only once the replica that
//! is to become the primary has it. So no client is told of a commit that the next primary lacks,
//! whichever databases receive meanwhile.
//!
//! One session at a time asks the target how far it is; the answer serves all that wait.
use crate::base::ids::{DbTerm, InstanceId, Position, ServiceName};
use crate::base::sync::lock;
use crate::base::time::Tick;
use crate::net::rpc::pooler_messages::{Handover, ToController};
use crate::net::statement_protocol::ServerDescription;
use crate::pooler::cluster_view::{PrimaryPosition, ServiceView};
use crate::pooler::pool::{AcquireRequest, ConnectionPool};
use crate::pooler::reroute::SessionReroute;
use crate::pooler::server::Pooler;
use crate::pooler::server_connection::{Loss, ServerConnection};
use log::info;
use std::sync::Arc;

/// The time in ms that a question to the target may take, the wait for a connection included.
const QUESTION_MS: u64 = 300;

/// The pause in ms before the target is asked again.
const RETRY_MS: u64 = 10;

/// How urgent a connection to the target is: as a client's most urgent statement.
const QUESTION_PRIORITY: u8 = 0;

/// A handover that the leader told of, and how far its target is known to be.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CommitConfirmation {
    handover: Handover,
    /// The target has all commits up to here.
    confirmed: Option<Position>,
    /// A session is asking the target.
    asking: bool,
}

/// Whether a commit that the primary acknowledged may be passed on.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CommitVerdict {
    /// It may.
    PassOn,
    /// The target of the handover is not known to have it: the caller is to ask that database and to
    /// hand the answer to [`CommitConfirmation::record_answer`].
    AskTarget(InstanceId),
    /// As `AskTarget`, but another session is asking.
    AwaitAnswer,
}

impl CommitConfirmation {
    /// The handover has begun, and nothing is known of its target.
    pub fn new(handover: Handover) -> Self {
        Self { handover, confirmed: None, asking: false }
    }

    /// The replica that is to become the primary.
    pub fn target(&self) -> &InstanceId {
        &self.handover.target
    }

    /// Whether a commit of `term` at this position may be passed on. The handover is of a term and all
    /// before it.
    pub fn judge(&mut self, term: DbTerm, position: Option<Position>) -> CommitVerdict {
        let confirmed = position.is_some() && position <= self.confirmed;
        if term > self.handover.term || confirmed {
            return CommitVerdict::PassOn;
        }
        if std::mem::replace(&mut self.asking, true) {
            return CommitVerdict::AwaitAnswer;
        }
        CommitVerdict::AskTarget(self.handover.target.clone())
    }

    /// Takes in how the target described itself, or that it did not, to whom was told to ask it.
    pub fn record_answer(&mut self, answer: Option<&ServerDescription>) {
        self.asking = false;
        // Once it leads, its positions are those of its own term, and say nothing of this one.
        let replica = answer.filter(|a| !a.primary && a.received.term <= self.handover.term);
        self.confirmed = self.confirmed.max(replica.map(|answer| answer.received));
    }
}

impl ServiceView {
    /// The leader told of a handover. Returns what is to be acknowledged.
    pub(super) fn begin_handover(
        &mut self,
        service: &ServiceName,
        handover: Handover,
    ) -> ToController {
        let number = handover.number;
        let known = self.confirmation.as_ref().is_some_and(|c| c.handover == handover);
        if !known {
            info!(target: "lease", "{service}: is handed over to {}", handover.target);
            self.confirmation = Some(CommitConfirmation::new(handover));
        }
        let (service, highest) = (service.clone(), self.highest_commit);
        ToController::HandOverAck { service, handover: number, highest }
    }

    /// Judges a commit. One that may be passed on is noted first, so that a revocation or a handover
    /// is acknowledged with it. None: the lease is no longer held.
    fn judge_commit(&mut self, commit: Commit, now: Tick) -> Option<CommitVerdict> {
        let Commit { term, sent_at, position } = commit;
        self.lease.active(now).filter(|lease| lease.term == term)?;
        let verdict = match &mut self.confirmation {
            Some(confirmation) => confirmation.judge(term, position),
            None => CommitVerdict::PassOn,
        };
        if verdict == CommitVerdict::PassOn
            && let Some(position) = position
        {
            self.highest_commit = self.highest_commit.max(Some(position));
            self.record_position(PrimaryPosition { term, sent_at, position });
        }
        Some(verdict)
    }
}

/// A commit that the primary acknowledged.
#[derive(Clone, Copy, Debug)]
pub(super) struct Commit {
    /// The term under which the primary is used.
    pub(super) term: DbTerm,
    /// When the statement was sent.
    pub(super) sent_at: Tick,
    /// The position that the primary gave with it.
    pub(super) position: Option<Position>,
}

impl Pooler {
    /// The leader told of a handover: from here on commits are confirmed at its target.
    pub(super) fn hand_over(&self, service: &ServiceName, handover: Handover) {
        let acknowledgement = {
            let mut view = lock(&self.view);
            let view = view.services.entry(service.clone()).or_default();
            view.begin_handover(service, handover)
        };
        self.send_to_leader(acknowledgement);
    }

    /// Waits until a commit may be passed on to its client.
    ///
    /// # Errors
    /// `Abandoned` if the lease ended before, `DeadlineExceeded` if the deadline passed.
    pub(super) fn await_confirmation(
        &self,
        service: &ServiceName,
        commit: Commit,
        deadline: Tick,
    ) -> Result<(), Loss> {
        loop {
            let now = Tick::now();
            let verdict = {
                let mut view = lock(&self.view);
                let view = view.services.get_mut(service).ok_or(Loss::Abandoned)?;
                view.judge_commit(commit, now).ok_or(Loss::Abandoned)?
            };
            match verdict {
                CommitVerdict::PassOn => return Ok(()),
                CommitVerdict::AskTarget(target) => self.ask_target(service, &target, deadline),
                CommitVerdict::AwaitAnswer => self.wait_for_update(RETRY_MS),
            }
            if Tick::now() >= deadline {
                return Err(Loss::DeadlineExceeded);
            }
        }
    }

    /// Asks the target of a handover how far it is, and notes the answer for all that wait.
    fn ask_target(&self, service: &ServiceName, target: &InstanceId, deadline: Tick) {
        let deadline = deadline.min(Tick::now().plus(QUESTION_MS));
        let pool = lock(&self.view).pools.get(target).map(Arc::clone);
        let answer = pool.and_then(|pool| self.describe(&pool, deadline));
        let confirmed = {
            let mut view = lock(&self.view);
            let confirmation = view.services.get_mut(service).and_then(|s| s.confirmation.as_mut());
            // A handover that began since has a target of its own, which nobody has asked yet.
            confirmation.filter(|c| c.target() == target).is_some_and(|confirmation| {
                let before = confirmation.confirmed;
                confirmation.record_answer(answer.as_ref());
                confirmation.confirmed > before
            })
        };
        if confirmed {
            self.view_changed.notify_all();
        } else {
            self.wait_for_update(RETRY_MS);
        }
    }

    /// Has a database describe itself. None if it does not in time.
    fn describe(&self, pool: &ConnectionPool, deadline: Tick) -> Option<ServerDescription> {
        let reroute = SessionReroute::default();
        let request =
            AcquireRequest { reroute: &reroute, session: 0, priority: QUESTION_PRIORITY, deadline };
        let mut connection = pool.acquire(&request, || self.renew_soon(Tick::now())).ok()?;
        match describe_on(&mut connection, deadline) {
            Ok(description) => {
                pool.record_reply(Tick::now());
                pool.release(connection);
                description
            }
            Err(_) => {
                pool.discard(connection);
                None
            }
        }
    }
}

/// Has the database at the other end describe itself; none if it refuses to.
fn describe_on(
    connection: &mut ServerConnection,
    deadline: Tick,
) -> Result<Option<ServerDescription>, Loss> {
    connection.send(b"QUERY - DESCRIBE\r\n", 1).map_err(|error| error.loss)?;
    let reply = connection.receive(|| (Tick::now() >= deadline).then_some(Loss::Abandoned))?;
    let description = reply.described(connection.reply_bytes(&reply));
    connection.consume(&reply);
    Ok(description)
}
