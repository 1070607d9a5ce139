//! Runs a client's statement: chooses a database, sends the statement, and retries it where the
//! reroute rules allow a retry.
use crate::base::errors::ErrorKind;
use crate::base::ids::{InstanceId, Position};
use crate::base::time::Tick;
use crate::config::configuration::RouteType;
use crate::config::route_table::RouteEntry;
use crate::net::rpc::pooler_messages::{SuspicionReason, ToController};
use crate::net::statement_protocol::{Outcome, Reply, TransactionState};
use crate::node::operation_allowance::{OperationPermit, OperationRefused, OperationWait};
use crate::pooler::admission::{CheckOutError, Priority};
use crate::pooler::client_session::{ClientReply, ClientSession, ClientStatement};
use crate::pooler::commit_forwarding::Commit;
use crate::pooler::exchange::{Exchange, ExchangeReply};
use crate::pooler::pool::{CheckOutRequest, ConnectionPool, ConnectionUser};
use crate::pooler::replica_reads::{LAGGING_SKIP_MS, PRIMARY_FALLBACK_PENALTY};
use crate::pooler::reroute::{LossOutcome, StatementKind, StatementPlan};
use crate::pooler::server::CheckedOutConnection;
use crate::pooler::server_connection::{ExchangeError, Loss, ServerConnection};
use log::warn;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

/// The maximum number of retries of one statement; retries are not visible to the client.
const MAX_RETRIES: u32 = 4;

/// Backoff before a retry in ms, multiplied by the number of the retry. The first retry is
/// immediate.
const RETRY_BACKOFF_MS: u64 = 15;

/// The share of a statement's timeout that may be spent waiting for a connection. Statements that
/// wait longer rarely finish in time, and an early error leaves the client time to retry.
const MAX_QUEUE_PERCENT: u64 = 20;

/// The maximum wait in ms for an update of the cluster view before databases are selected again.
const MAX_UPDATE_WAIT_MS: u64 = 50;

/// The first read of a transaction can be retried, so its reply timeout is at most the statement's
/// timeout divided by this.
const FIRST_READ_TIMEOUT_DIVISOR: u64 = 4;

/// The reply timeout of any other statement is estimated with an upper bound of the statement's
/// timeout divided by this.
const STATEMENT_TIMEOUT_DIVISOR: u64 = 3;

/// Multiplies the reply timeout of statements whose loss would cost the client its transaction.
const TRANSACTION_TIMEOUT_FACTOR: u64 = 2;

/// A statement waits for the leader to grant an operation of its tenant for at most the latency
/// target of its route divided by this.
const OPERATION_WAIT_DIVISOR: u64 = 6;

/// The least time that a statement waits for a granted operation, in ms.
const MIN_OPERATION_WAIT_MS: u64 = 20;

/// A statement is rejected because of load or a limit; it did not run.
struct Throttled {
    /// After how many milliseconds the client may retry.
    retry_after_ms: u64,
}

/// What is known from the previous attempts to run one statement.
#[derive(Default)]
struct Attempts {
    retries: u32,
    /// The databases that are excluded from the next attempt.
    excluded: Vec<InstanceId>,
    /// An earlier attempt was abandoned: the next one waits for its reply until the deadline.
    wait_until_deadline: bool,
}

impl ClientSession {
    /// Runs the statement at a database and retries it as the reroute rules allow.
    pub(super) fn run(&mut self, statement: &ClientStatement<'_>) -> ClientReply {
        let deadline = statement.arrived_at.plus(self.target.route.timeout_ms);
        let mut attempts = Attempts::default();
        loop {
            if let Some(reply) = self.attempt(statement, deadline, &mut attempts) {
                return reply;
            }
            attempts.retries += 1;
            if attempts.retries > MAX_RETRIES || Tick::now() >= deadline {
                return self.throttle(self.overload());
            }
            if attempts.retries > 1 {
                let pause_ms = RETRY_BACKOFF_MS * u64::from(attempts.retries);
                std::thread::sleep(Duration::from_millis(pause_ms));
            }
        }
    }

    /// Makes one attempt, on the session's checked-out connection or on a new one. Returns `None`
    /// if the statement is to be retried.
    fn attempt(
        &mut self,
        statement: &ClientStatement<'_>,
        deadline: Tick,
        attempts: &mut Attempts,
    ) -> Option<ClientReply> {
        let plan = &statement.plan;
        if self.checked_out.is_none() {
            if !plan.first_in_transaction {
                self.reroute.abandon();
                return Some(ClientReply::error(ErrorKind::RolledBack, "connection lost"));
            }
            match self.check_out_permitted(statement, &mut attempts.excluded) {
                Ok(checked_out) => self.checked_out = Some(checked_out),
                Err(rejection) => return Some(self.throttle(rejection)),
            }
        }
        let error = match self.exchange(statement, deadline, attempts.wait_until_deadline) {
            Ok(ExchangeReply { reply, commit: Some(commit) })
                if reply.state == TransactionState::Idle =>
            {
                return Some(self.forward_commit(reply, commit, deadline));
            }
            Ok(ExchangeReply { reply, .. }) => {
                return match reply.outcome {
                    Outcome::Complete => Some(self.handle_success(plan, reply)),
                    Outcome::Error(kind) => {
                        self.handle_error(plan, kind, reply, &mut attempts.excluded)
                    }
                };
            }
            Err(error) => error,
        };
        if let Some(checked_out) = &self.checked_out {
            attempts.excluded.push(checked_out.pool.id.clone());
        }
        self.discard();
        if let LossOutcome::Report(kind) = self.reroute.handle_loss(plan, error.sent) {
            return Some(ClientReply::error(kind, "connection lost"));
        }
        attempts.wait_until_deadline |= error.loss == Loss::Abandoned;
        (error.loss == Loss::DeadlineExceeded).then(|| self.expire(plan))
    }

    /// Returns the error for a statement whose deadline has passed and of which nothing can have
    /// been committed.
    fn expire(&mut self, plan: &StatementPlan) -> ClientReply {
        if plan.autocommit {
            return ClientReply::error(ErrorKind::TimedOut, "no answer in time");
        }
        self.reroute.abandon();
        ClientReply::error(ErrorKind::RolledBack, "no answer in time")
    }

    /// Rejects a statement that did not run and committed nothing, and tells the client when to
    /// retry.
    fn throttle(&mut self, rejection: Throttled) -> ClientReply {
        self.reroute.abandon();
        self.release();
        let text = format!("retry_after_ms={}", rejection.retry_after_ms);
        ClientReply::Error { kind: ErrorKind::Throttled, text }
    }

    /// No database can serve the statement now.
    fn overload(&self) -> Throttled {
        Throttled { retry_after_ms: self.pooler.retry_after_ms(&self.target.service) }
    }

    /// Checks out a connection for an operation that the tenant's limit allows. An operation that
    /// is run again counts again.
    fn check_out_permitted(
        &self,
        statement: &ClientStatement<'_>,
        excluded: &mut Vec<InstanceId>,
    ) -> Result<CheckedOutConnection, Throttled> {
        loop {
            let permit = self.acquire_operation()?;
            let checked_out = self.check_out(statement, excluded)?;
            if permit.is_none_or(|permit| Tick::now() < permit.expires_at) {
                return Ok(checked_out);
            }
            // The wait for the connection took longer than the permit is valid.
            checked_out.pool.release(checked_out.connection);
        }
    }

    /// Takes one operation of the tenant's limit; `None` if the tenant has no limit.
    fn acquire_operation(&self) -> Result<Option<OperationPermit>, Throttled> {
        let Some(tenant) = self.target.limited_tenant() else { return Ok(None) };
        let wait_ms = self.target.route.target_latency_ms / OPERATION_WAIT_DIVISOR;
        let wait = OperationWait {
            deadline: Tick::now().plus(wait_ms.max(MIN_OPERATION_WAIT_MS)),
            client_left: || false,
        };
        let acquired = self.pooler.allowance.acquire(tenant, &wait, |request| {
            self.pooler.send_to_leader(ToController::RequestOperations(vec![request]));
        });
        acquired.map(Some).map_err(|refused| match refused {
            OperationRefused::AtLimit { retry_after_ms } => {
                self.pooler.over_limit.fetch_add(1, Ordering::Relaxed);
                Throttled { retry_after_ms }
            }
            OperationRefused::ClientLeft => self.overload(),
        })
    }

    /// Selects a database and checks out a connection to it, for which it waits at most
    /// `MAX_QUEUE_PERCENT` of the statement's timeout.
    fn check_out(
        &self,
        statement: &ClientStatement<'_>,
        excluded: &mut Vec<InstanceId>,
    ) -> Result<CheckedOutConnection, Throttled> {
        let queue_ms = self.target.route.timeout_ms * MAX_QUEUE_PERCENT / 100;
        let deadline = statement.arrived_at.plus(queue_ms);
        let started_at = self.reroute.started_at(statement.arrived_at);
        let reads_replicas =
            statement.plan.read_only && self.target.route.route_type != RouteType::Primary;
        loop {
            let now = Tick::now();
            if reads_replicas
                && self.required_position(started_at).is_some()
                && let Some(checked_out) = self.check_out_replica(now, deadline, excluded)
            {
                return Ok(checked_out);
            }
            if let Some(checked_out) = self.check_out_primary(now, deadline, reads_replicas) {
                return Ok(checked_out);
            }
            let now = Tick::now();
            if now >= deadline {
                return Err(self.overload());
            }
            if reads_replicas {
                self.pooler.renew_soon(now);
            }
            self.pooler.wait_for_update(deadline.since(now).clamp(1, MAX_UPDATE_WAIT_MS));
            // A replica that lagged behind may have caught up.
            excluded.clear();
        }
    }

    fn check_out_replica(
        &self,
        now: Tick,
        deadline: Tick,
        excluded: &[InstanceId],
    ) -> Option<CheckedOutConnection> {
        for pool in self.pooler.replicas(&self.target.service, now) {
            if excluded.contains(&pool.id) {
                continue;
            }
            if let Ok(connection) = self.check_out_from(&pool, self.target.priority(), deadline) {
                return Some(CheckedOutConnection { connection, pool, term: None });
            }
        }
        None
    }

    /// Checks out a connection to the primary. `fallback` marks a statement that could also run on
    /// a replica, which lowers its priority.
    fn check_out_primary(
        &self,
        now: Tick,
        deadline: Tick,
        fallback: bool,
    ) -> Option<CheckedOutConnection> {
        let primary = self.pooler.primary(&self.target.service, now)?;
        let (term, pool) = (primary.term, primary.pool);
        let penalty = if fallback { PRIMARY_FALLBACK_PENALTY } else { 0 };
        let mut priority = self.target.priority();
        priority.route = priority.route.saturating_add(penalty);
        match self.check_out_from(&pool, priority, deadline) {
            // The lease may have expired while waiting for the connection.
            Ok(connection) if self.pooler.holds_lease(&self.target.service, term, Tick::now()) => {
                return Some(CheckedOutConnection { connection, pool, term: Some(term) });
            }
            Ok(connection) => pool.release(connection),
            Err(CheckOutError::Exhausted) => {}
            Err(CheckOutError::Unavailable) => {
                let reason = SuspicionReason::ConnectionsBroken;
                self.pooler.report_suspicion(&pool, reason, Tick::now());
            }
        }
        None
    }

    fn check_out_from(
        &self,
        pool: &ConnectionPool,
        priority: Priority,
        deadline: Tick,
    ) -> Result<ServerConnection, CheckOutError> {
        let request = CheckOutRequest {
            reroute: &self.reroute,
            session: self.id,
            user: ConnectionUser::Client(self.target.tenant_name()),
            priority,
            deadline,
        };
        pool.check_out(&request, || self.pooler.renew_soon(Tick::now()))
    }

    /// The position that a replica must have reached to serve a read that started at `started_at`.
    /// Returns `None` if it is not known.
    fn required_position(&self, started_at: Tick) -> Option<Position> {
        let position = self.pooler.required_position(
            &self.target.service,
            started_at,
            self.target.route.stale_ms,
        )?;
        Some(match self.target.route.route_type {
            RouteType::ReadYourWrites => self.own_position.map_or(position, |p| p.max(position)),
            _ => position,
        })
    }

    /// Performs one exchange on the checked-out connection: syncs the session's settings and
    /// prepared statements, begins a transaction if needed, and sends the statement. The reply
    /// stays in the connection's buffer.
    fn exchange(
        &mut self,
        statement: &ClientStatement<'_>,
        deadline: Tick,
        wait_until_deadline: bool,
    ) -> Result<ExchangeReply, ExchangeError> {
        let plan = &statement.plan;
        let started_at = self.reroute.started_at(statement.arrived_at);
        let wait_for = match &self.checked_out {
            Some(checked_out) if checked_out.term.is_none() => {
                let position = self.required_position(started_at);
                Some(position.ok_or(ExchangeError::unsent(Loss::Abandoned))?)
            }
            _ => None,
        };
        let Some(CheckedOutConnection { connection, pool, term }) = &mut self.checked_out else {
            return Err(ExchangeError::unsent(Loss::Broken));
        };
        let first_read = plan.kind == StatementKind::Read && plan.first_in_transaction;
        let exchange = Exchange {
            pooler: &self.pooler,
            service: &self.target.service,
            route_type: self.target.route.route_type,
            pool,
            term: *term,
            deadline,
            commits: commits(plan) && (plan.autocommit || self.reroute.has_written()),
            first_read,
            reply_timeout_ms: reply_timeout_ms(
                plan,
                &self.target.route,
                pool,
                first_read,
                wait_until_deadline,
            ),
        };
        let hasher = &self.pooler.hasher;
        let check = exchange.check_since(Tick::now());
        connection
            .sync(&self.reroute, self.id, hasher, check)
            .map_err(|loss| exchange.report_if_broken(ExchangeError::unsent(loss)))?;
        if plan.autocommit {
            let line = statement.line(wait_for, hasher);
            return exchange.run(connection, &line);
        }
        if !connection.in_transaction
            && let Some(rejection) = exchange.begin(connection, plan.read_only, wait_for)?
        {
            return Ok(ExchangeReply { reply: rejection, commit: None });
        }
        exchange.run(connection, &statement.line(None, hasher))
    }

    /// Releases the connection to the primary, and forwards the reply to a commit once it is
    /// confirmed.
    fn forward_commit(&mut self, reply: Reply, commit: Commit, deadline: Tick) -> ClientReply {
        let Some(CheckedOutConnection { connection, .. }) = &mut self.checked_out else {
            return ClientReply::error(ErrorKind::Unknown, "connection lost");
        };
        let bytes = connection.reply_bytes(&reply).to_vec();
        connection.consume(&reply);
        connection.in_transaction = false;
        connection.synced_in_transaction = false;
        self.release();
        if self.pooler.await_confirmation(&self.target.service, commit, deadline).is_err() {
            self.reroute.abandon();
            return ClientReply::error(ErrorKind::Unknown, "commit not confirmed");
        }
        self.own_position = self.own_position.max(reply.position);
        self.reroute.handle_reply(reply.state);
        ClientReply::Detached { bytes, position: reply.position }
    }

    /// Handles a success reply of a database.
    fn handle_success(&mut self, plan: &StatementPlan, reply: Reply) -> ClientReply {
        let ends_transaction = plan.autocommit || plan.kind == StatementKind::Commit;
        let state = if ends_transaction { TransactionState::Idle } else { TransactionState::Open };
        if reply.state != state {
            // The database and this session disagree on the transaction: the reply can't be used.
            warn!(
                target: "pool",
                "{}: database replied with transaction state {:?}, expected {state:?}; \
                 closing the connection",
                self.target.service,
                reply.state
            );
            self.discard();
            return match self.reroute.handle_loss(plan, true) {
                LossOutcome::Report(kind) => ClientReply::error(kind, "out of step"),
                LossOutcome::Retry => self.throttle(self.overload()),
            };
        }
        if commits(plan) {
            self.own_position = self.own_position.max(reply.position);
        }
        if let Some(CheckedOutConnection { connection, .. }) = &mut self.checked_out {
            connection.in_transaction = state == TransactionState::Open;
            if !connection.in_transaction {
                connection.synced_in_transaction = false;
            }
        }
        self.reroute.handle_reply(state);
        ClientReply::Forward(reply)
    }

    /// Handles an error reply of a database. Returns `None` if the statement is to be retried.
    fn handle_error(
        &mut self,
        plan: &StatementPlan,
        kind: ErrorKind,
        reply: Reply,
        excluded: &mut Vec<InstanceId>,
    ) -> Option<ClientReply> {
        let may_have_run =
            matches!(kind, ErrorKind::Failed | ErrorKind::TimedOut | ErrorKind::Unknown);
        let retry = if may_have_run {
            plan.autocommit && plan.kind == StatementKind::Read && excluded.is_empty()
        } else {
            plan.first_in_transaction
        };
        let checked_out = self.checked_out.as_mut()?;
        checked_out.connection.in_transaction = reply.state != TransactionState::Idle;
        if retry {
            checked_out.connection.consume(&reply);
            let id = checked_out.pool.id.clone();
            self.release_after_error(kind);
            excluded.push(id);
            return None;
        }
        if may_have_run || plan.autocommit {
            return Some(self.forward_error(plan, kind, reply));
        }
        // The statement did not run, but its transaction can't continue as if it had.
        checked_out.connection.consume(&reply);
        self.release();
        self.reroute.abandon();
        Some(ClientReply::Error {
            kind: ErrorKind::RolledBack,
            text: format!("{kind} at the database"),
        })
    }

    /// Releases or closes the connection after an error reply, before a retry on another database.
    fn release_after_error(&mut self, kind: ErrorKind) {
        let Some(checked_out) = &self.checked_out else {
            return;
        };
        match kind {
            ErrorKind::ReadOnly if checked_out.term.is_some() => {
                // The database is no longer the primary; the controllers decide which one is.
                let pool = Arc::clone(&checked_out.pool);
                self.release();
                let reason = SuspicionReason::ConnectionsBroken;
                self.pooler.report_suspicion(&pool, reason, Tick::now());
                self.pooler.wait_for_update(MAX_UPDATE_WAIT_MS);
            }
            ErrorKind::Lagging => {
                // Any replica may briefly lag behind the session's own last commit. A replica that
                // lags behind an older position is skipped by all sessions.
                let (pool, now) = (Arc::clone(&checked_out.pool), Tick::now());
                let lacks_older = |own| self.required_position(now).is_some_and(|p| p > own);
                if self.own_position.is_none_or(lacks_older) {
                    pool.set_lagging_until(now.plus(LAGGING_SKIP_MS));
                }
                self.release();
            }
            // The database lost a prepared statement that was sent: its state is not what this
            // connection has recorded.
            ErrorKind::NotFound => self.discard(),
            _ => self.release(),
        }
    }

    /// Forwards the database's error to the client: byte for byte if the transaction state in the
    /// reply is what the client has to see, else with the state replaced.
    fn forward_error(
        &mut self,
        plan: &StatementPlan,
        kind: ErrorKind,
        reply: Reply,
    ) -> ClientReply {
        let expected =
            if plan.autocommit { TransactionState::Idle } else { TransactionState::Failed };
        let state = if reply.state == TransactionState::Open {
            TransactionState::Failed
        } else {
            reply.state
        };
        self.reroute.handle_reply(state);
        if reply.state == expected {
            return ClientReply::Forward(reply);
        }
        if let Some(checked_out) = &mut self.checked_out {
            checked_out.connection.consume(&reply);
        }
        self.release();
        ClientReply::error(kind, "from the database")
    }
}

/// Whether a successful statement commits something.
fn commits(plan: &StatementPlan) -> bool {
    plan.kind == StatementKind::Commit || (plan.autocommit && plan.kind == StatementKind::Write)
}

/// The time in ms after which the reply is considered lost. Returns `None` if the exchange is to
/// wait until the deadline, because the statement may commit or an earlier attempt was abandoned.
fn reply_timeout_ms(
    plan: &StatementPlan,
    route: &RouteEntry,
    pool: &ConnectionPool,
    first_read: bool,
    wait_until_deadline: bool,
) -> Option<u64> {
    if wait_until_deadline || commits(plan) {
        return None;
    }
    let (divisor, factor) = if first_read {
        (FIRST_READ_TIMEOUT_DIVISOR, 1)
    } else {
        (STATEMENT_TIMEOUT_DIVISOR, TRANSACTION_TIMEOUT_FACTOR)
    };
    Some(pool.reply_timeout_ms(route.route_type, route.timeout_ms / divisor) * factor)
}
