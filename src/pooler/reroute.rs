//! The reroute rules: whether a session may move to another database connection, and what the loss
//! of a connection means for its client.
//!
//! `SessionReroute` is a state machine without I/O and without a clock, owned by `client_session`.
//! From each statement of the client and each reply that is forwarded to it, it derives whether the
//! session may change its connection, which settings and prepared statements have to be replayed on
//! the next connection, and what the client gets when a connection is lost.
use crate::base::errors::ErrorKind;
use crate::base::time::Tick;
use crate::net::statement_protocol::{Statement, TransactionState, Verb};
use std::collections::BTreeMap;

/// A prepared statement, without the client's name for it.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct PreparedStatement {
    /// Whether the statement reads or writes.
    pub verb: Verb,
    /// The text of the statement, as the client sent it.
    pub text: String,
}

/// The effect of a statement at a database.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StatementKind {
    /// Reads only.
    Read,
    /// Writes; durable at once outside a transaction, otherwise when the transaction commits.
    Write,
    /// Commits the open transaction.
    Commit,
}

/// A statement that a database has to run, with the properties that decide on which databases it
/// may run and whether it may be retried.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StatementPlan {
    /// The effect of the statement at the database.
    pub kind: StatementKind,
    /// Whether the statement runs outside a transaction of the client.
    pub autocommit: bool,
    /// Whether no database has replied in the transaction yet, so that the transaction may run on
    /// any of them. Always true outside a transaction.
    pub first_in_transaction: bool,
    /// Whether neither this statement nor a later one of its transaction writes.
    pub read_only: bool,
    /// For EXECUTE: the prepared statement that the client's name refers to.
    pub prepared: Option<PreparedStatement>,
}

/// How a statement of the client is to be handled.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StatementDecision {
    /// The pooler replies with success; no database is involved.
    Completed,
    /// The pooler replies with success and rolls back the transaction at the database, if any.
    RolledBack,
    /// The pooler replies with this error.
    Rejected(ErrorKind),
    /// A database has to run the statement.
    Run(StatementPlan),
}

/// What follows from the loss of a connection for the statement that was running on it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LossOutcome {
    /// Nothing can have been committed and the client has seen no result: the statement is retried
    /// on another connection, transparently for the client.
    Retry,
    /// The client gets this error; its session continues.
    Report(ErrorKind),
}

/// The state of the client's transaction, as the client sees it.
#[derive(Clone, Debug, PartialEq, Eq)]
enum Transaction {
    /// No transaction is open.
    Idle,
    Open {
        read_only: bool,
        /// When the client's BEGIN arrived.
        started_at: Tick,
        /// Whether a database has replied to a statement of the transaction.
        replied: bool,
        /// Whether a write was planned in the transaction, sent or not.
        wrote: bool,
    },
    /// The transaction failed and can only be ended.
    Failed,
}

/// The state of one session that has to survive the loss of its connection.
#[derive(Clone, Debug)]
pub struct SessionReroute {
    transaction: Transaction,
    settings: BTreeMap<String, String>,
    /// The prepared statements, by the client's name for each.
    prepared: BTreeMap<String, PreparedStatement>,
    /// Incremented when an entry that has to be replayed is added to `settings` or `prepared`.
    version: u64,
}

impl Default for SessionReroute {
    fn default() -> Self {
        Self {
            transaction: Transaction::Idle,
            settings: BTreeMap::new(),
            prepared: BTreeMap::new(),
            version: 0,
        }
    }
}

impl SessionReroute {
    /// The transaction state that is sent to the client with each reply.
    pub fn state(&self) -> TransactionState {
        match self.transaction {
            Transaction::Idle => TransactionState::Idle,
            Transaction::Open { .. } => TransactionState::Open,
            Transaction::Failed => TransactionState::Failed,
        }
    }

    /// Whether the session has no state that exists only on its database connection, so that the
    /// connection may be replaced or given to another session.
    pub fn reusable(&self) -> bool {
        // The client can't use anything of a failed transaction any more.
        !matches!(self.transaction, Transaction::Open { .. })
    }

    /// Whether the client has written in its open transaction.
    pub fn has_written(&self) -> bool {
        matches!(self.transaction, Transaction::Open { wrote: true, .. })
    }

    /// The values of the client's CONFIGURE statements, which must be set on a connection before
    /// the session's next statement.
    pub fn settings(&self) -> &BTreeMap<String, String> {
        &self.settings
    }

    /// The client's prepared statements, which must be prepared on a connection before the
    /// session's next statement.
    pub fn prepared_statements(&self) -> impl Iterator<Item = &PreparedStatement> {
        self.prepared.values()
    }

    /// The version of the settings and prepared statements: a connection that was synced to this
    /// version needs no replay.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// The time from which the staleness of a read is measured: the start of the transaction, or
    /// outside a transaction the arrival of the statement.
    pub fn started_at(&self, arrived_at: Tick) -> Tick {
        match self.transaction {
            Transaction::Open { started_at, .. } => started_at,
            _ => arrived_at,
        }
    }

    /// Marks the transaction as failed, so that the client can only end it.
    pub fn fail(&mut self) {
        self.transaction = Transaction::Failed;
    }

    /// Decides how to handle a statement of the client, and updates the state of the session. An
    /// error inside a transaction marks the transaction as failed.
    pub fn handle_statement(&mut self, statement: &Statement<'_>, now: Tick) -> StatementDecision {
        let decision = match self.transaction {
            Transaction::Failed => self.decide_in_failed(statement),
            _ => self.decide(statement, now),
        };
        if matches!(decision, StatementDecision::Rejected(_))
            && matches!(self.transaction, Transaction::Open { .. })
        {
            self.transaction = Transaction::Failed;
        }
        decision
    }

    /// Decides on a statement in a failed transaction, which can only be ended.
    fn decide_in_failed(&mut self, statement: &Statement<'_>) -> StatementDecision {
        match statement {
            Statement::Abort => {
                self.transaction = Transaction::Idle;
                StatementDecision::RolledBack
            }
            // COMMIT rolls back a failed transaction and is reported as an error, because the
            // client must not take it for a commit.
            Statement::Commit => {
                self.transaction = Transaction::Idle;
                StatementDecision::Rejected(ErrorKind::RolledBack)
            }
            _ => StatementDecision::Rejected(ErrorKind::Malformed),
        }
    }

    fn decide(&mut self, statement: &Statement<'_>, now: Tick) -> StatementDecision {
        match *statement {
            Statement::Begin { read_only } => self.begin(read_only, now),
            Statement::Commit if self.transaction == Transaction::Idle => {
                StatementDecision::Rejected(ErrorKind::Malformed)
            }
            Statement::Commit => self.plan(StatementKind::Commit, None),
            Statement::Abort => {
                self.transaction = Transaction::Idle;
                StatementDecision::RolledBack
            }
            Statement::Fetch => self.plan(StatementKind::Read, None),
            Statement::Store => self.plan(StatementKind::Write, None),
            Statement::Configure { name, value } => {
                self.settings.insert(name.to_owned(), value.to_owned());
                self.version += 1;
                StatementDecision::Completed
            }
            Statement::Prepare { name, verb, text } => {
                let prepared = PreparedStatement { verb, text: text.to_owned() };
                self.prepared.insert(name.to_owned(), prepared);
                self.version += 1;
                StatementDecision::Completed
            }
            Statement::Deallocate { name } => match self.prepared.remove(name) {
                Some(_) => StatementDecision::Completed,
                None => StatementDecision::Rejected(ErrorKind::NotFound),
            },
            Statement::Execute { name, .. } => self.execute(name),
        }
    }

    /// Begins a transaction. The transaction at the database is begun only with its first
    /// statement.
    fn begin(&mut self, read_only: bool, now: Tick) -> StatementDecision {
        if self.transaction != Transaction::Idle {
            return StatementDecision::Rejected(ErrorKind::Malformed);
        }
        self.transaction =
            Transaction::Open { read_only, started_at: now, replied: false, wrote: false };
        StatementDecision::Completed
    }

    fn execute(&mut self, name: &str) -> StatementDecision {
        let Some(prepared) = self.prepared.get(name).cloned() else {
            return StatementDecision::Rejected(ErrorKind::NotFound);
        };
        let kind = match prepared.verb {
            Verb::Fetch => StatementKind::Read,
            Verb::Store => StatementKind::Write,
        };
        self.plan(kind, Some(prepared))
    }

    fn plan(
        &mut self,
        kind: StatementKind,
        prepared: Option<PreparedStatement>,
    ) -> StatementDecision {
        StatementDecision::Run(match &mut self.transaction {
            Transaction::Open { read_only, replied, wrote, .. } => {
                // After a write, a commit with an unknown outcome must be reported to the client.
                *wrote |= kind == StatementKind::Write;
                StatementPlan {
                    kind,
                    autocommit: false,
                    first_in_transaction: !*replied,
                    read_only: *read_only,
                    prepared,
                }
            }
            _ => StatementPlan {
                kind,
                autocommit: true,
                first_in_transaction: true,
                read_only: kind == StatementKind::Read,
                prepared,
            },
        })
    }

    /// Handles the loss of the connection that a statement was running on, or a reply that can't be
    /// used. `sent` says whether the statement may have reached a database. If the outcome is an
    /// error to report, the transaction has ended.
    pub fn handle_loss(&mut self, plan: &StatementPlan, sent: bool) -> LossOutcome {
        if plan.autocommit {
            return match plan.kind {
                // The write may have run, in which case it is committed.
                StatementKind::Write if sent => LossOutcome::Report(ErrorKind::Unknown),
                _ => LossOutcome::Retry,
            };
        }
        let wrote = self.has_written();
        match plan.kind {
            // The client has seen no result, and a write without a commit has no effect.
            StatementKind::Read | StatementKind::Write if plan.first_in_transaction => {
                LossOutcome::Retry
            }
            StatementKind::Commit if plan.first_in_transaction && !wrote => LossOutcome::Retry,
            StatementKind::Commit if wrote && sent => {
                self.transaction = Transaction::Idle;
                LossOutcome::Report(ErrorKind::Unknown)
            }
            // The client has seen results that a retry on another connection might not reproduce.
            _ => {
                self.transaction = Transaction::Idle;
                LossOutcome::Report(ErrorKind::RolledBack)
            }
        }
    }

    /// Handles a statement that is abandoned without having run; its transaction, if any, is
    /// rolled back.
    pub fn abandon(&mut self) {
        self.transaction = Transaction::Idle;
    }

    /// Updates the transaction for a database's reply, with this transaction state, that is
    /// forwarded to the client.
    pub fn handle_reply(&mut self, state: TransactionState) {
        self.transaction = match (&self.transaction, state) {
            (&Transaction::Open { read_only, started_at, wrote, .. }, TransactionState::Open) => {
                Transaction::Open { read_only, started_at, replied: true, wrote }
            }
            (Transaction::Open { .. } | Transaction::Failed, TransactionState::Failed) => {
                Transaction::Failed
            }
            _ => Transaction::Idle,
        };
    }
}
