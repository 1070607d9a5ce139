//! One exchange of a statement with a database: sending it, waiting for the reply, and reporting
//! the database as suspect if no usable reply arrives.
//!
//! `statement_execution` performs one exchange per attempt.
use crate::base::ids::{DbTerm, Position, ServiceName};
use crate::base::time::Tick;
use crate::config::configuration::RouteType;
use crate::net::rpc::pooler_messages::SuspicionReason;
use crate::net::statement_protocol::{Outcome, Reply, Statement, TransactionState};
use crate::pooler::client_session::ClientStatement;
use crate::pooler::commit_forwarding::Commit;
use crate::pooler::pool::ConnectionPool;
use crate::pooler::server::Pooler;
use crate::pooler::server_connection::{
    ExchangeError, Loss, ServerConnection, prepared_statement_id,
};
use std::hash::RandomState;

/// The time in ms after which a database is suspected if a reply is pending and the database has
/// not replied on any connection of this pooler since.
const SUSPICION_TIMEOUT_MS: u64 = 200;

impl ClientStatement<'_> {
    /// The line that is sent to a database. With a position, a replica first waits until it has
    /// reached that position.
    pub(super) fn line(&self, wait_for: Option<Position>, hasher: &RandomState) -> String {
        let (id, wait_for) = (self.id, wait_for_prefix(wait_for));
        match (&self.plan.prepared, &self.statement) {
            (Some(prepared), Statement::Execute { parameters, .. }) => {
                let name = prepared_statement_id(hasher, prepared);
                format!("QUERY {id} {wait_for}EXECUTE p{name:x} {parameters}\r\n")
            }
            _ => format!("QUERY {id} {wait_for}{}\r\n", self.text),
        }
    }
}

/// The prefix of a statement that makes a replica wait until it has reached a position.
fn wait_for_prefix(position: Option<Position>) -> String {
    position.map_or_else(String::new, |position| format!("WAITFOR {position} "))
}

/// The reply to a statement, which is in the connection's buffer.
pub(super) struct ExchangeReply {
    pub(super) reply: Reply,
    /// The commit that has to be confirmed before the reply is forwarded, if the statement made one.
    pub(super) commit: Option<Commit>,
}

/// One exchange of a statement with a database.
pub(super) struct Exchange<'a> {
    pub(super) pooler: &'a Pooler,
    pub(super) service: &'a ServiceName,
    pub(super) route_type: RouteType,
    pub(super) pool: &'a ConnectionPool,
    /// The term under which the primary is used; `None` on a replica.
    pub(super) term: Option<DbTerm>,
    /// The deadline of the statement.
    pub(super) deadline: Tick,
    /// Whether a successful statement commits a write.
    pub(super) commits: bool,
    /// Whether the statement only reads and no database has replied in its transaction yet.
    pub(super) first_read: bool,
    /// The time in ms after which the reply is considered lost; `None` to wait until `deadline`.
    pub(super) reply_timeout_ms: Option<u64>,
}

impl Exchange<'_> {
    /// Begins the transaction at the database. If the database rejects it, its reply is returned
    /// and stays in the connection's buffer.
    pub(super) fn begin(
        &self,
        connection: &mut ServerConnection,
        read_only: bool,
        wait_for: Option<Position>,
    ) -> Result<Option<Reply>, ExchangeError> {
        let unsent = |loss| self.report_if_broken(ExchangeError::unsent(loss));
        let begin = if read_only { "BEGIN FETCH" } else { "BEGIN" };
        let line = format!("QUERY - {}{begin}\r\n", wait_for_prefix(wait_for));
        connection.send(line.as_bytes(), 1).map_err(|e| unsent(e.loss))?;
        let reply = connection.receive(self.check_since(Tick::now())).map_err(unsent)?;
        self.pool.record_reply(Tick::now());
        if reply.outcome != Outcome::Complete {
            return Ok(Some(reply));
        }
        if reply.state != TransactionState::Open {
            // The reply does not belong to this BEGIN.
            return Err(unsent(Loss::Broken));
        }
        connection.consume(&reply);
        connection.in_transaction = true;
        Ok(None)
    }

    /// Sends the statement and waits for its reply, which stays in the connection's buffer.
    pub(super) fn run(
        &self,
        connection: &mut ServerConnection,
        line: &str,
    ) -> Result<ExchangeReply, ExchangeError> {
        let sent_at = Tick::now();
        // The last check of the lease before a write can take effect at the database.
        if self.lost_lease(sent_at) {
            return Err(ExchangeError::unsent(Loss::Abandoned));
        }
        connection.send(line.as_bytes(), 1).map_err(|e| self.report_if_broken(e))?;
        let reply = connection
            .receive(self.check_since(sent_at))
            .map_err(|loss| self.report_if_broken(ExchangeError::sent(loss)))?;
        let now = Tick::now();
        self.pool.record_reply(now);
        if reply.outcome == Outcome::Complete {
            if !reply.stamped {
                // A duplicate reply to one of the statements that synced the session's settings.
                return Err(self.report_if_broken(ExchangeError::sent(Loss::Broken)));
            }
            self.pool.record_latency(self.route_type, now.since(sent_at));
        }
        let Some(term) = self.term else {
            if let (Outcome::Complete, Some(position)) = (&reply.outcome, reply.position) {
                self.pooler.record_replica_position(self.service, self.pool, position);
            }
            return Ok(ExchangeReply { reply, commit: None });
        };
        if self.commits && reply.outcome == Outcome::Complete {
            let commit = Commit { term, sent_at, position: reply.position, acknowledged_at: now };
            return Ok(ExchangeReply { reply, commit: Some(commit) });
        }
        if self.lost_lease(now) {
            // Another primary may have been promoted: a success of the old one is not forwarded.
            if reply.outcome == Outcome::Complete {
                return Err(ExchangeError::sent(Loss::Abandoned));
            }
        } else if let Some(position) = reply.position {
            self.pooler.record_position(self.service, term, sent_at, position);
        }
        Ok(ExchangeReply { reply, commit: None })
    }

    /// Whether the exchange is with a primary whose lease is no longer held.
    fn lost_lease(&self, now: Tick) -> bool {
        self.term.is_some_and(|term| !self.pooler.holds_lease(self.service, term, now))
    }

    /// Returns the check that decides, while waiting for a reply to a statement that was sent at
    /// `sent_at`, whether to stop waiting.
    pub(super) fn check_since(&self, sent_at: Tick) -> impl Fn() -> Option<Loss> {
        move || {
            let now = Tick::now();
            if now >= self.deadline {
                return Some(Loss::DeadlineExceeded);
            }
            if self.lost_lease(now) {
                return Some(Loss::Abandoned);
            }
            let waited_ms = now.since(sent_at);
            if waited_ms >= SUSPICION_TIMEOUT_MS && !self.pool.replied_since(sent_at) {
                self.report_failure(SuspicionReason::NoResponse, now);
                if self.first_read && self.term.is_none() {
                    return Some(Loss::Abandoned);
                }
            }
            self.reply_timeout_ms
                .is_some_and(|timeout_ms| waited_ms >= timeout_ms)
                .then_some(Loss::Abandoned)
        }
    }

    /// Reports the database if the connection broke. Returns the error unchanged.
    pub(super) fn report_if_broken(&self, error: ExchangeError) -> ExchangeError {
        if error.loss == Loss::Broken {
            self.report_failure(SuspicionReason::ConnectionsBroken, Tick::now());
        }
        error
    }

    /// Reports a suspected primary to the leader, which decides on a failover. A suspected replica
    /// is only skipped for a while.
    fn report_failure(&self, reason: SuspicionReason, now: Tick) {
        if self.term.is_some() {
            self.pooler.report_suspicion(self.pool, reason, now);
        } else {
            self.pool.record_failure(now);
        }
    }
}
