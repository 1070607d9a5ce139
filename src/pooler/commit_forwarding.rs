//! Forwards commits: a commit that the primary acknowledged is held until enough replicas are known
//! to have received it, see [`commit_confirmation`](crate::pooler::commit_confirmation).
//!
//! One session at a time queries a replica for its position; the result serves all sessions of the
//! service that wait for a confirmation.
use crate::base::errors::ErrorKind;
use crate::base::ids::{DbTerm, InstanceId, Position, ServiceName};
use crate::base::sync::lock;
use crate::base::time::Tick;
use crate::net::statement_protocol::{Outcome, Reply, TransactionState};
use crate::pooler::admission::Priority;
use crate::pooler::cluster_view::{ClusterView, PrimaryPosition, ServiceView};
use crate::pooler::commit_confirmation::{
    AcknowledgedCommit, CommitDecision, ReplicaQuery, ReplicaQuestion, ReplicaReply,
};
use crate::pooler::pool::{CheckOutRequest, ConnectionPool, ConnectionUser};
use crate::pooler::reroute::SessionReroute;
use crate::pooler::server::Pooler;
use crate::pooler::server_connection::{Loss, ServerConnection};
use std::sync::Arc;
use std::time::Duration;

/// The longest wait in ms for the result of another session's query.
const MAX_QUERY_WAIT_MS: u64 = 10;

/// The priority of a query in the queue for a connection to the replica, equal to that of the most
/// urgent client statement.
const QUERY_PRIORITY: Priority = Priority { tenant: 0, route: 0 };

/// A commit that the primary acknowledged.
#[derive(Clone, Copy, Debug)]
pub(super) struct Commit {
    /// The term under which the primary is used.
    pub(super) term: DbTerm,
    /// When the committing statement was sent.
    pub(super) sent_at: Tick,
    /// The position in the primary's reply.
    pub(super) position: Option<Position>,
    /// When the primary's reply arrived.
    pub(super) acknowledged_at: Tick,
}

impl ServiceView {
    /// Decides whether a commit may be forwarded. If so, its position is recorded first, so that
    /// the acknowledgement of a later revocation or handover includes it. Returns `None` if the
    /// lease is no longer held.
    fn decide_commit(&mut self, commit: Commit, zone: &str, now: Tick) -> Option<CommitDecision> {
        let Commit { term, sent_at, position, acknowledged_at } = commit;
        self.lease.active(now).filter(|lease| lease.term == term)?;
        let replicas = self.listed_replicas(zone);
        let acknowledged = AcknowledgedCommit { term, position, acknowledged_at };
        let decision = self.confirmation.decide(acknowledged, &replicas, now);
        if decision == CommitDecision::Forward
            && let Some(position) = position
        {
            self.highest_commit = self.highest_commit.max(Some(position));
            self.record_position(PrimaryPosition { term, sent_at, position });
        }
        Some(decision)
    }

    /// The replicas in the directory, in the order in which they should be queried: first those
    /// that are not draining, and of these the ones in the same zone.
    fn listed_replicas(&self, zone: &str) -> Vec<InstanceId> {
        let primary = self.lease.primary();
        let mut replicas: Vec<&Arc<ConnectionPool>> =
            self.pools.iter().filter(|pool| Some(&pool.id) != primary).collect();
        replicas.sort_by_key(|pool| (pool.is_draining(), pool.zone != zone));
        replicas.into_iter().map(|pool| pool.id.clone()).collect()
    }
}

impl ClusterView {
    /// Records the result of a query for all sessions of the service. A reply counts only if the
    /// replica is still listed and the lease is still held: only then do the controllers count the
    /// replica in a failover. Returns whether more is known than before.
    fn record_query(
        &mut self,
        service: &ServiceName,
        query: &ReplicaQuery,
        reply: Option<&PoolReply>,
        now: Tick,
    ) -> bool {
        let listed = self.pools.get(&query.replica);
        let Some(view) = self.services.get_mut(service) else { return false };
        let leased = view.lease.active(now).is_some_and(|lease| lease.term == query.commit.term);
        let valid =
            reply.filter(|reply| leased && listed.is_some_and(|p| Arc::ptr_eq(p, &reply.pool)));
        view.confirmation.record_query(query, valid.map(|reply| &reply.reply), now)
    }
}

impl ClusterView {
    /// Records the position in a replica's reply to a client's read, under the same conditions as
    /// the result of a query. Returns whether more is known than before.
    fn record_replica_position(
        &mut self,
        service: &ServiceName,
        pool: &ConnectionPool,
        applied: Position,
        now: Tick,
    ) -> bool {
        let listed = self.pools.get(&pool.id).is_some_and(|p| std::ptr::eq(&**p, pool));
        let Some(view) = self.services.get_mut(service).filter(|_| listed) else { return false };
        let term = view.lease.active(now).map(|lease| lease.term);
        term.is_some_and(|term| view.confirmation.record_position(&pool.id, term, applied))
    }
}

/// A replica's reply, and the pool that the replica was queried through.
struct PoolReply {
    pool: Arc<ConnectionPool>,
    reply: ReplicaReply,
}

impl Pooler {
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
            let mut view = lock(&self.view);
            let service_view = view.services.get_mut(service).ok_or(Loss::Abandoned)?;
            let decision =
                service_view.decide_commit(commit, &self.zone, now).ok_or(Loss::Abandoned)?;
            match decision {
                CommitDecision::Forward => return Ok(()),
                CommitDecision::Query(query) => {
                    drop(view);
                    self.query_replica(service, &query, deadline);
                }
                CommitDecision::Wait => {
                    let wait_ms = deadline.since(now).clamp(1, MAX_QUERY_WAIT_MS);
                    let timeout = Duration::from_millis(wait_ms);
                    drop(self.commit_confirmed.wait_timeout(view, timeout));
                }
            }
            if Tick::now() >= deadline {
                return Err(Loss::DeadlineExceeded);
            }
        }
    }

    /// Records the position in a replica's reply to a client's read.
    pub(super) fn record_replica_position(
        &self,
        service: &ServiceName,
        pool: &ConnectionPool,
        applied: Position,
    ) {
        if lock(&self.view).record_replica_position(service, pool, applied, Tick::now()) {
            self.commit_confirmed.notify_all();
        }
    }

    /// Queries a replica for its position, and records the result for all sessions that wait.
    fn query_replica(&self, service: &ServiceName, query: &ReplicaQuery, deadline: Tick) {
        let deadline = deadline.min(Tick::now().plus(query.timeout_ms));
        let pool = lock(&self.view).pools.get(&query.replica).map(Arc::clone);
        let reply = pool.and_then(|pool| {
            let reply = self.ask(&pool, query.question, deadline)?;
            Some(PoolReply { pool, reply })
        });
        let now = Tick::now();
        lock(&self.view).record_query(service, query, reply.as_ref(), now);
        // Also without a new position, because another replica can be queried now.
        self.commit_confirmed.notify_all();
    }

    /// Asks a replica a question. Returns `None` if it does not reply in time or rejects the
    /// question.
    fn ask(
        &self,
        pool: &ConnectionPool,
        question: ReplicaQuestion,
        deadline: Tick,
    ) -> Option<ReplicaReply> {
        let reroute = SessionReroute::default();
        let request = CheckOutRequest {
            reroute: &reroute,
            session: 0,
            user: ConnectionUser::Pooler,
            priority: QUERY_PRIORITY,
            deadline,
        };
        let mut connection = pool.check_out(&request, || self.renew_soon(Tick::now())).ok()?;
        let reply = match question {
            ReplicaQuestion::Describe => describe(&mut connection, deadline),
            ReplicaQuestion::HasPosition(position) => {
                ask_for_position(&mut connection, position, deadline)
            }
        };
        match reply {
            Ok(reply) => {
                pool.record_reply(Tick::now());
                pool.release(connection);
                reply
            }
            Err(_) => {
                pool.discard(connection);
                None
            }
        }
    }
}

/// Waits for a reply until the deadline.
fn receive(connection: &mut ServerConnection, deadline: Tick) -> Result<Reply, Loss> {
    connection.receive(|| (Tick::now() >= deadline).then_some(Loss::Abandoned))
}

/// Asks a database for its description on this connection. Returns `None` if the database rejects
/// that.
fn describe(
    connection: &mut ServerConnection,
    deadline: Tick,
) -> Result<Option<ReplicaReply>, Loss> {
    connection.send(b"QUERY - DESCRIBE\r\n", 1).map_err(|error| error.loss)?;
    let reply = receive(connection, deadline)?;
    let description = reply.description(connection.reply_bytes(&reply));
    connection.consume(&reply);
    Ok(description.map(ReplicaReply::Description))
}

/// Asks a replica on this connection whether its log has a position: only then can it begin a
/// transaction that waits for it. The transaction is ended at once.
fn ask_for_position(
    connection: &mut ServerConnection,
    position: Position,
    deadline: Tick,
) -> Result<Option<ReplicaReply>, Loss> {
    let lines = format!("QUERY - WAITFOR {position} BEGIN FETCH\r\nQUERY - ABORT\r\n");
    connection.send(lines.as_bytes(), 2).map_err(|error| error.loss)?;
    let begun = receive(connection, deadline)?;
    connection.consume(&begun);
    let ended = receive(connection, deadline)?;
    connection.consume(&ended);
    if ended.state != TransactionState::Idle {
        return Err(Loss::Broken);
    }
    let reached = match begun.outcome {
        Outcome::Complete => true,
        Outcome::Error(ErrorKind::Lagging) => false,
        Outcome::Error(_) => return Ok(None),
    };
    Ok(begun.position.map(|applied| ReplicaReply::Position { reached, applied }))
}
