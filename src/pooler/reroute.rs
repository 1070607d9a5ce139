//! What a lost database connection means for a session: the reroute design, as a value.
use crate::base::errors::ErrorKind;
use crate::base::time::Tick;
use crate::net::statement_protocol::{State, Statement, Verb};
use std::collections::BTreeMap;
use std::hash::BuildHasher;

/// A prepared statement, whatever its name.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct PreparedStatement {
    pub verb: Verb,
    pub text: String,
}

/// What a statement does at a database.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    Read,
    Write,
    Commit,
}

/// A statement that a database has to run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StatementPlan {
    pub kind: Kind,
    /// Outside any transaction of the client's.
    pub alone: bool,
    /// The transaction has had no answer from a database yet, so that nothing ties it to one.
    pub first: bool,
    /// Only reads can follow in this transaction.
    pub read_only: bool,
    /// For EXECUTE: the shape behind the client's name.
    pub shape: Option<PreparedStatement>,
}

/// What to do with a statement of the client.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StatementDecision {
    /// Answered here with success; no database is asked.
    Settled,
    /// Answered here with success; what a database has open is rolled back.
    RolledBack,
    Refused(ErrorKind),
    Run(StatementPlan),
}

/// What the loss of a connection means for the statement that was on it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LossOutcome {
    /// Nothing can have been kept and nothing was shown: run again elsewhere, silently.
    Rerun,
    /// The client is told; its session goes on.
    Tell(ErrorKind),
}

#[derive(Clone, Debug, PartialEq, Eq)]
enum Phase {
    Idle,
    Open { read_only: bool, began: Tick, shown: bool, wrote: bool },
    Failed,
}

/// The state of one session that a reroute has to keep: whether it may leave its connection, and
/// what the next connection needs first. Both are derived from the statements and answers seen.
#[derive(Clone, Debug)]
pub struct SessionReroute {
    phase: Phase,
    values: BTreeMap<String, String>,
    names: BTreeMap<String, PreparedStatement>,
    /// Grows whenever what has to be replayed changes.
    version: u64,
}

impl Default for SessionReroute {
    fn default() -> Self {
        Self { phase: Phase::Idle, values: BTreeMap::new(), names: BTreeMap::new(), version: 0 }
    }
}

impl SessionReroute {
    pub fn state(&self) -> State {
        match self.phase {
            Phase::Idle => State::Idle,
            Phase::Open { .. } => State::Open,
            Phase::Failed => State::Failed,
        }
    }
    /// The source's flag: no resource of the session lives in a connection, which may be changed
    /// or given to another session.
    pub fn reusable(&self) -> bool {
        // A failed transaction holds nothing that its client could still ask for.
        !matches!(self.phase, Phase::Open { .. })
    }
    /// What every connection must hold before the next statement: the source's SET statements,
    /// with the prepared names beside them.
    pub fn replay(&self) -> (&BTreeMap<String, String>, impl Iterator<Item = &PreparedStatement>) {
        (&self.values, self.names.values())
    }
    pub fn version(&self) -> u64 {
        self.version
    }
    /// From when on the freshness of reads counts, for a statement that came at `arrived`.
    pub fn began(&self, arrived: Tick) -> Tick {
        match self.phase {
            Phase::Open { began, .. } => began,
            _ => arrived,
        }
    }
    /// The transaction cannot be ended well any more.
    pub fn fail(&mut self) {
        self.phase = Phase::Failed;
    }

    /// Decides on a statement of the client.
    pub fn hear(&mut self, statement: &Statement<'_>, now: Tick) -> StatementDecision {
        let verdict = self.judge(statement, now);
        // An error inside a transaction fails it.
        if matches!(verdict, StatementDecision::Refused(_))
            && matches!(self.phase, Phase::Open { .. })
        {
            self.phase = Phase::Failed;
        }
        verdict
    }

    fn judge(&mut self, statement: &Statement<'_>, now: Tick) -> StatementDecision {
        if self.phase == Phase::Failed {
            return match statement {
                Statement::Abort => {
                    self.phase = Phase::Idle;
                    StatementDecision::RolledBack
                }
                // Ending it rolls back, and a commit that was none must not look like one.
                Statement::Commit => {
                    self.phase = Phase::Idle;
                    StatementDecision::Refused(ErrorKind::RolledBack)
                }
                _ => StatementDecision::Refused(ErrorKind::Malformed),
            };
        }
        match *statement {
            Statement::Begin { read_only } => {
                if self.phase != Phase::Idle {
                    return StatementDecision::Refused(ErrorKind::Malformed);
                }
                self.phase = Phase::Open { read_only, began: now, shown: false, wrote: false };
                StatementDecision::Settled
            }
            Statement::Commit if self.phase == Phase::Idle => {
                StatementDecision::Refused(ErrorKind::Malformed)
            }
            Statement::Commit => self.run(Kind::Commit, None),
            Statement::Abort => {
                self.phase = Phase::Idle;
                StatementDecision::RolledBack
            }
            Statement::Fetch => self.run(Kind::Read, None),
            Statement::Store => self.run(Kind::Write, None),
            Statement::Configure { name, value } => {
                self.values.insert(name.to_owned(), value.to_owned());
                self.version += 1;
                StatementDecision::Settled
            }
            Statement::Prepare { name, verb, shape } => {
                let shape = PreparedStatement { verb, text: shape.to_owned() };
                self.names.insert(name.to_owned(), shape);
                self.version += 1;
                StatementDecision::Settled
            }
            Statement::Deallocate { name } => match self.names.remove(name) {
                Some(_) => StatementDecision::Settled,
                None => StatementDecision::Refused(ErrorKind::NotFound),
            },
            Statement::Execute { name, .. } => match self.names.get(name).cloned() {
                Some(shape) => {
                    let kind = match shape.verb {
                        Verb::Fetch => Kind::Read,
                        Verb::Store => Kind::Write,
                    };
                    self.run(kind, Some(shape))
                }
                None => StatementDecision::Refused(ErrorKind::NotFound),
            },
        }
    }

    fn run(&mut self, kind: Kind, shape: Option<PreparedStatement>) -> StatementDecision {
        let task = match &mut self.phase {
            Phase::Open { read_only, shown, wrote, .. } => {
                if kind == Kind::Write {
                    // From here on the end of the transaction matters, sent or not.
                    *wrote = true;
                }
                StatementPlan { kind, alone: false, first: !*shown, read_only: *read_only, shape }
            }
            _ => StatementPlan {
                kind,
                alone: true,
                first: true,
                read_only: kind == Kind::Read,
                shape,
            },
        };
        StatementDecision::Run(task)
    }

    /// The connection is gone, or its answer can't be used. `sent` says whether the statement may
    /// have reached a database.
    pub fn lost(&mut self, task: &StatementPlan, sent: bool) -> LossOutcome {
        if task.alone {
            return match task.kind {
                // A write that may have run may also have been kept.
                Kind::Write if sent => LossOutcome::Tell(ErrorKind::Unknown),
                _ => LossOutcome::Rerun,
            };
        }
        let wrote = matches!(self.phase, Phase::Open { wrote: true, .. });
        match task.kind {
            // Nothing was shown, and without a commit nothing is kept: not even a write.
            Kind::Read | Kind::Write if task.first => LossOutcome::Rerun,
            Kind::Commit if task.first && !wrote => LossOutcome::Rerun,
            Kind::Commit if wrote && sent => {
                self.phase = Phase::Idle;
                LossOutcome::Tell(ErrorKind::Unknown)
            }
            // The client has seen rows or answers that another connection need not repeat.
            _ => {
                self.phase = Phase::Idle;
                LossOutcome::Tell(ErrorKind::RolledBack)
            }
        }
    }

    /// The statement is given up without having run; nothing of its transaction is kept.
    pub fn give_up(&mut self) {
        self.phase = Phase::Idle;
    }

    /// A database's answer is passed on to the client.
    pub fn answered(&mut self, state: State) {
        self.phase = match (std::mem::replace(&mut self.phase, Phase::Idle), state) {
            (Phase::Open { read_only, began, wrote, .. }, State::Open) => {
                Phase::Open { read_only, began, shown: true, wrote }
            }
            (Phase::Open { .. } | Phase::Failed, State::Failed) => Phase::Failed,
            _ => Phase::Idle,
        };
    }
}

pub(crate) fn shape_id(hasher: &std::hash::RandomState, shape: &PreparedStatement) -> u64 {
    hasher.hash_one(shape)
}
