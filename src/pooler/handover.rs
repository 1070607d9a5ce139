//! Confirms commits during the handover of a service to another primary: a commit is forwarded to
//! its client only once the target of the handover has received it. So no client is told of a
//! commit that the next primary lacks, whichever replicas the old primary replicates to in the
//! meantime.
//!
//! One session at a time queries the target for its position; the result serves all sessions that
//! wait for a confirmation.
use crate::base::ids::{DbTerm, InstanceId, Position, ServiceName};
use crate::base::sync::lock;
use crate::base::time::Tick;
use crate::net::rpc::pooler_messages::{Handover, ToController};
use crate::net::statement_protocol::ServerDescription;
use crate::pooler::cluster_view::{PrimaryPosition, ServiceView};
use crate::pooler::pool::{CheckOutRequest, ConnectionPool};
use crate::pooler::reroute::SessionReroute;
use crate::pooler::server::Pooler;
use crate::pooler::server_connection::{Loss, ServerConnection};
use log::info;
use std::sync::Arc;

/// The timeout in ms of a query to the target, including the wait for a connection.
const DESCRIBE_TIMEOUT_MS: u64 = 300;

/// The pause in ms before the target is queried again.
const DESCRIBE_RETRY_MS: u64 = 10;

/// The priority of a query in the queue for a connection to the target, equal to that of the most
/// urgent client statement.
const DESCRIBE_PRIORITY: u8 = 0;

/// A handover that the leader announced, and the position that its target is known to have reached.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CommitConfirmation {
    handover: Handover,
    /// The target has received all commits up to this position.
    confirmed: Option<Position>,
    /// Whether a session is querying the target.
    query_in_flight: bool,
}

/// Whether a commit that the primary acknowledged may be forwarded to its client.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CommitDecision {
    /// The commit may be forwarded.
    Forward,
    /// The target of the handover is not known to have the commit: the caller has to query this
    /// database and pass the result to [`CommitConfirmation::record_description`].
    QueryTarget(InstanceId),
    /// The target is not known to have the commit, and another session is querying it.
    AwaitQuery,
}

impl CommitConfirmation {
    /// Creates the state for a handover that begins; the position of its target is not known yet.
    pub fn new(handover: Handover) -> Self {
        Self { handover, confirmed: None, query_in_flight: false }
    }

    /// The replica that will become the primary.
    pub fn target(&self) -> &InstanceId {
        &self.handover.target
    }

    /// Decides whether a commit of `term` at this position may be forwarded. The handover covers
    /// its own term and all earlier ones.
    pub fn decide(&mut self, term: DbTerm, position: Option<Position>) -> CommitDecision {
        let confirmed = position.is_some() && position <= self.confirmed;
        if term > self.handover.term || confirmed {
            return CommitDecision::Forward;
        }
        if std::mem::replace(&mut self.query_in_flight, true) {
            return CommitDecision::AwaitQuery;
        }
        CommitDecision::QueryTarget(self.handover.target.clone())
    }

    /// Records the result of a query that [`CommitDecision::QueryTarget`] asked for: the target's
    /// description of itself, or `None` if it did not reply.
    pub fn record_description(&mut self, description: Option<&ServerDescription>) {
        self.query_in_flight = false;
        // Positions of a target that has become the primary belong to its own term and can't be
        // compared with those of the handover's term.
        let replica = description.filter(|d| !d.primary && d.received.term <= self.handover.term);
        self.confirmed = self.confirmed.max(replica.map(|description| description.received));
    }
}

impl ServiceView {
    /// Begins a handover that the leader announced, unless it is known already. Returns the
    /// acknowledgement for the leader.
    pub(super) fn begin_handover(
        &mut self,
        service: &ServiceName,
        handover: Handover,
    ) -> ToController {
        let number = handover.number;
        let known = self.confirmation.as_ref().is_some_and(|c| c.handover == handover);
        if !known {
            info!(
                target: "lease",
                "{service}: handover {number} to {} began; commits are held until it has them",
                handover.target
            );
            self.confirmation = Some(CommitConfirmation::new(handover));
        }
        let (service, highest) = (service.clone(), self.highest_commit);
        ToController::HandOverAck { service, handover: number, highest }
    }

    /// Decides whether a commit may be forwarded. If so, its position is recorded first, so that
    /// the acknowledgement of a later revocation or handover includes it. Returns `None` if the
    /// lease is no longer held.
    fn decide_commit(&mut self, commit: Commit, now: Tick) -> Option<CommitDecision> {
        let Commit { term, sent_at, position } = commit;
        self.lease.active(now).filter(|lease| lease.term == term)?;
        let decision = match &mut self.confirmation {
            Some(confirmation) => confirmation.decide(term, position),
            None => CommitDecision::Forward,
        };
        if decision == CommitDecision::Forward
            && let Some(position) = position
        {
            self.highest_commit = self.highest_commit.max(Some(position));
            self.record_position(PrimaryPosition { term, sent_at, position });
        }
        Some(decision)
    }
}

/// A commit that the primary acknowledged.
#[derive(Clone, Copy, Debug)]
pub(super) struct Commit {
    /// The term under which the primary is used.
    pub(super) term: DbTerm,
    /// When the committing statement was sent.
    pub(super) sent_at: Tick,
    /// The position in the primary's reply.
    pub(super) position: Option<Position>,
}

impl Pooler {
    /// Begins a handover that the leader announced: from now on commits need a confirmation by its
    /// target.
    pub(super) fn begin_handover(&self, service: &ServiceName, handover: Handover) {
        let acknowledgement = {
            let mut view = lock(&self.view);
            let view = view.services.entry(service.clone()).or_default();
            view.begin_handover(service, handover)
        };
        self.send_to_leader(acknowledgement);
    }

    /// Waits until a commit may be forwarded to its client.
    ///
    /// # Errors
    /// `Abandoned` if the lease ended first, `DeadlineExceeded` if the deadline passed first.
    pub(super) fn await_confirmation(
        &self,
        service: &ServiceName,
        commit: Commit,
        deadline: Tick,
    ) -> Result<(), Loss> {
        loop {
            let now = Tick::now();
            let decision = {
                let mut view = lock(&self.view);
                let view = view.services.get_mut(service).ok_or(Loss::Abandoned)?;
                view.decide_commit(commit, now).ok_or(Loss::Abandoned)?
            };
            match decision {
                CommitDecision::Forward => return Ok(()),
                CommitDecision::QueryTarget(target) => {
                    self.query_target(service, &target, deadline)
                }
                CommitDecision::AwaitQuery => self.wait_for_update(DESCRIBE_RETRY_MS),
            }
            if Tick::now() >= deadline {
                return Err(Loss::DeadlineExceeded);
            }
        }
    }

    /// Queries the target of a handover for its position, and records the result for all sessions
    /// that wait for it.
    fn query_target(&self, service: &ServiceName, target: &InstanceId, deadline: Tick) {
        let deadline = deadline.min(Tick::now().plus(DESCRIBE_TIMEOUT_MS));
        let pool = lock(&self.view).pools.get(target).map(Arc::clone);
        let description = pool.and_then(|pool| self.describe(&pool, deadline));
        let confirmed = {
            let mut view = lock(&self.view);
            let confirmation = view.services.get_mut(service).and_then(|s| s.confirmation.as_mut());
            // Another handover may have begun meanwhile; its target has not been queried yet.
            confirmation.filter(|c| c.target() == target).is_some_and(|confirmation| {
                let previous = confirmation.confirmed;
                confirmation.record_description(description.as_ref());
                confirmation.confirmed > previous
            })
        };
        if confirmed {
            self.view_changed.notify_all();
        } else {
            self.wait_for_update(DESCRIBE_RETRY_MS);
        }
    }

    /// Queries a database for its description. Returns `None` if it does not reply in time or
    /// rejects the query.
    fn describe(&self, pool: &ConnectionPool, deadline: Tick) -> Option<ServerDescription> {
        let reroute = SessionReroute::default();
        let request = CheckOutRequest {
            reroute: &reroute,
            session: 0,
            priority: DESCRIBE_PRIORITY,
            deadline,
        };
        let mut connection = pool.check_out(&request, || self.renew_soon(Tick::now())).ok()?;
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

/// Queries the database for its description on this connection. Returns `None` if the database
/// rejects the query.
fn describe_on(
    connection: &mut ServerConnection,
    deadline: Tick,
) -> Result<Option<ServerDescription>, Loss> {
    connection.send(b"QUERY - DESCRIBE\r\n", 1).map_err(|error| error.loss)?;
    let reply = connection.receive(|| (Tick::now() >= deadline).then_some(Loss::Abandoned))?;
    let description = reply.description(connection.reply_bytes(&reply));
    connection.consume(&reply);
    Ok(description)
}
