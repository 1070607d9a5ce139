//! Which attempt at a request follows another.
use crate::base::errors::Refusal;

/// How the sending of a request to one database ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// No byte of it can have reached the database.
    NotSent,
    /// The database says that it did not run it.
    NotRun,
    /// It may have run; no usable answer came.
    MayHaveRun,
    /// It ran and failed.
    Failed,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Next {
    /// Send it to another database.
    Another,
    /// The client gets the database's own answer.
    Pass,
    Refuse(Refusal),
}

/// The sends of one request of a client.
#[derive(Clone, Debug)]
pub struct AttemptPolicy {
    repeatable: bool,
    most: u32,
    /// Databases that it was offered to.
    sent: u32,
    unreached: u32,
    may_have_run: bool,
}

/// Databases in a row that could not be reached before a request is given up.
const MAX_UNREACHED: u32 = 4;

impl AttemptPolicy {
    pub fn new(repeatable: bool, most: u32) -> Self {
        Self { repeatable, most: most.max(1), sent: 0, unreached: 0, may_have_run: false }
    }
    /// Bytes of it leave for a database.
    pub fn offered(&mut self) {
        self.sent += 1;
    }
    /// Whether sending it to one more database would be a further one, which the budget pays for.
    pub fn is_repeat(&self) -> bool {
        self.sent > 0
    }
    /// Whether one more database may have it while the first is still at work.
    pub fn may_double(&self) -> bool {
        self.repeatable && self.sent < self.most
    }
    /// What was sent can't be sent a second time: a part of its body is gone.
    pub fn is_last(&mut self) {
        self.most = self.sent;
    }
    pub fn may_have_run(&self) -> bool {
        self.may_have_run
    }
    /// It goes to the same database once more, which may have run it before it broke off.
    pub fn sent_anew(&mut self) {
        self.may_have_run = true;
    }
    /// One send has ended. `others` are still under way; `time` is left and `budget` would pay.
    pub fn after(&mut self, ended: AttemptOutcome, others: bool, time: bool, budget: bool) -> Next {
        match ended {
            AttemptOutcome::NotSent => self.unreached += 1,
            AttemptOutcome::NotRun => {}
            AttemptOutcome::MayHaveRun | AttemptOutcome::Failed => self.may_have_run = true,
        }
        let allowed = match ended {
            AttemptOutcome::NotSent => self.unreached < MAX_UNREACHED,
            AttemptOutcome::NotRun => self.sent < self.most,
            AttemptOutcome::MayHaveRun | AttemptOutcome::Failed => {
                self.repeatable && self.sent < self.most
            }
        };
        // Without a send before, nothing is repeated.
        let paid = budget || (ended == AttemptOutcome::NotSent && !self.is_repeat());
        if allowed && time && paid && (self.repeatable || !self.may_have_run) {
            return Next::Another;
        }
        let running = self.may_have_run || others;
        match ended {
            // Its own words promise what is true only if no other database has it.
            AttemptOutcome::NotRun if !running => Next::Pass,
            AttemptOutcome::Failed => Next::Pass,
            _ if !running => Next::Refuse(Refusal::Full),
            _ => Next::Refuse(if time { Refusal::Lost } else { Refusal::Late }),
        }
    }
}
