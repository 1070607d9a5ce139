//! The reroute rules: what the loss of a database connection means for a client's session.
//!
//! `SessionReroute` is a pure state machine. It sees each statement of the client and each answer
//! that is passed on, and derives from them whether the session may change its connection, what the
//! next connection must hold first, and what the client gets when a connection is lost. It is
//! owned by `client_session` and knows no socket and no clock.
use crate::base::errors::ErrorKind;
use crate::base::time::Tick;
use crate::net::statement_protocol::{State, Statement, Verb};
use std::collections::BTreeMap;

/// A prepared statement, without the name that a client gave it.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct PreparedStatement {
    /// Whether it reads or writes.
    pub verb: Verb,
    /// Its text, as the client sent it.
    pub text: String,
}

/// What a statement does at a database.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StatementKind {
    /// Reads only.
    Read,
    /// Writes; durable at once outside a transaction, else with its commit.
    Write,
    /// Commits the open transaction.
    Commit,
}

/// A statement that a database has to run, with what decides where and how often it may run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StatementPlan {
    /// What it does at the database.
    pub kind: StatementKind,
    /// It runs outside any transaction of the client's.
    pub autocommit: bool,
    /// No database has answered in its transaction yet, so nothing ties it to one of them. Always
    /// true outside a transaction.
    pub first_in_transaction: bool,
    /// Neither it nor any later statement of its transaction writes.
    pub read_only: bool,
    /// For EXECUTE: the statement behind the client's name for it.
    pub prepared: Option<PreparedStatement>,
}

/// What to do with a statement of the client.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StatementDecision {
    /// Answered by the pooler with success; no database is involved.
    Completed,
    /// Answered by the pooler with success; what a database has open is rolled back.
    RolledBack,
    /// Answered by the pooler with this error.
    Rejected(ErrorKind),
    /// A database has to run it.
    Run(StatementPlan),
}

/// What the loss of a connection means for the statement that was on it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LossOutcome {
    /// Nothing can have been committed and nothing was shown: run again elsewhere, without the
    /// client's knowledge.
    Retry,
    /// The client gets this error; its session goes on.
    Report(ErrorKind),
}

/// The client's transaction, as the client has to see it.
#[derive(Clone, Debug, PartialEq, Eq)]
enum Transaction {
    /// None is open.
    Idle,
    Open {
        read_only: bool,
        /// When the client's BEGIN came.
        started_at: Tick,
        /// A database has answered one of its statements.
        answered: bool,
        /// A write was planned in it, sent or not.
        wrote: bool,
    },
    /// It can only be ended.
    Failed,
}

/// The state of one session that has to survive the loss of its connection.
#[derive(Clone, Debug)]
pub struct SessionReroute {
    transaction: Transaction,
    settings: BTreeMap<String, String>,
    /// By the client's name for each.
    prepared: BTreeMap<String, PreparedStatement>,
    /// Grows whenever `settings` or `prepared` get something that has to be replayed.
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
    /// The transaction state that the client is shown with each answer.
    pub fn state(&self) -> State {
        match self.transaction {
            Transaction::Idle => State::Idle,
            Transaction::Open { .. } => State::Open,
            Transaction::Failed => State::Failed,
        }
    }

    /// Whether no resource of the session lives in its connection, so that the connection may be
    /// changed or given to another session.
    pub fn reusable(&self) -> bool {
        // A failed transaction holds nothing that its client could still ask for.
        !matches!(self.transaction, Transaction::Open { .. })
    }

    /// The values of the client's CONFIGURE statements, which every connection must hold before
    /// the session's next statement.
    pub fn settings(&self) -> &BTreeMap<String, String> {
        &self.settings
    }

    /// The client's prepared statements, which every connection must hold before the session's
    /// next statement.
    pub fn prepared_statements(&self) -> impl Iterator<Item = &PreparedStatement> {
        self.prepared.values()
    }

    /// The version of the settings and prepared statements: a connection that was given this
    /// version needs no replay.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// The time that the freshness of a read counts from: the start of the transaction, or outside
    /// one the arrival of the statement.
    pub fn started_at(&self, arrived_at: Tick) -> Tick {
        match self.transaction {
            Transaction::Open { started_at, .. } => started_at,
            _ => arrived_at,
        }
    }

    /// Marks the transaction as failed: the client can only end it.
    pub fn fail(&mut self) {
        self.transaction = Transaction::Failed;
    }

    /// Decides what to do with a statement of the client, and updates the state of the session. An
    /// error inside a transaction fails the transaction.
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

    /// A failed transaction can only be ended.
    fn decide_in_failed(&mut self, statement: &Statement<'_>) -> StatementDecision {
        match statement {
            Statement::Abort => {
                self.transaction = Transaction::Idle;
                StatementDecision::RolledBack
            }
            // COMMIT rolls a failed transaction back, which must not look like a commit.
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
            Statement::Prepare { name, verb, shape } => {
                let prepared = PreparedStatement { verb, text: shape.to_owned() };
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

    /// The database's transaction is opened only with its first statement.
    fn begin(&mut self, read_only: bool, now: Tick) -> StatementDecision {
        if self.transaction != Transaction::Idle {
            return StatementDecision::Rejected(ErrorKind::Malformed);
        }
        self.transaction =
            Transaction::Open { read_only, started_at: now, answered: false, wrote: false };
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
            Transaction::Open { read_only, answered, wrote, .. } => {
                // From the first write on, the outcome of the commit matters to the client.
                *wrote |= kind == StatementKind::Write;
                StatementPlan {
                    kind,
                    autocommit: false,
                    first_in_transaction: !*answered,
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

    /// The connection of a statement is lost, or its answer can't be used. `sent` says whether the
    /// statement may have reached a database. An error to report ends the transaction.
    pub fn handle_loss(&mut self, plan: &StatementPlan, sent: bool) -> LossOutcome {
        if plan.autocommit {
            return match plan.kind {
                // It may have run, and then it is committed.
                StatementKind::Write if sent => LossOutcome::Report(ErrorKind::Unknown),
                _ => LossOutcome::Retry,
            };
        }
        let wrote = matches!(self.transaction, Transaction::Open { wrote: true, .. });
        match plan.kind {
            // Nothing was shown, and without a commit not even a write lasts.
            StatementKind::Read | StatementKind::Write if plan.first_in_transaction => {
                LossOutcome::Retry
            }
            StatementKind::Commit if plan.first_in_transaction && !wrote => LossOutcome::Retry,
            StatementKind::Commit if wrote && sent => {
                self.transaction = Transaction::Idle;
                LossOutcome::Report(ErrorKind::Unknown)
            }
            // The client has seen rows or answers that another connection need not repeat.
            _ => {
                self.transaction = Transaction::Idle;
                LossOutcome::Report(ErrorKind::RolledBack)
            }
        }
    }

    /// The statement is given up without having run; its transaction, if any, is rolled back.
    pub fn abandon(&mut self) {
        self.transaction = Transaction::Idle;
    }

    /// A database's answer, which ended in `state`, is passed on to the client.
    pub fn handle_reply(&mut self, state: State) {
        self.transaction = match (&self.transaction, state) {
            (&Transaction::Open { read_only, started_at, wrote, .. }, State::Open) => {
                Transaction::Open { read_only, started_at, answered: true, wrote }
            }
            (Transaction::Open { .. } | Transaction::Failed, State::Failed) => Transaction::Failed,
            _ => Transaction::Idle,
        };
    }
}
