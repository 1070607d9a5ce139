//! Admin calls that wait for Raft: until this controller is confirmed as the leader, or until their
//! log entry is committed.
//!
//! The controller's admin handler owns both collections and polls them after each step. `R` is how
//! a caller is answered; the collections only keep it. Both are pure: time is handed in.
use crate::base::ids::{LogIndex, Term};
use crate::base::time::Tick;
use crate::controller::admin_api::{AdminCall, CallDecision};
use crate::net::http::Response;
use crate::net::rpc::raft_messages::LogEntry;
use crate::raft::node::RaftNode;
use crate::raft::read_index::{ReadConfirmation, ReadIndex};
use crate::state_machine::StateMachine;
use std::collections::BTreeMap;

/// Milliseconds after which a call that can't be answered for certain is refused. Callers turn to
/// another controller after a second.
const READ_LIMIT_MS: u64 = 800;

/// A caller and what is decided about its call.
#[derive(Clone, Debug, PartialEq)]
pub struct DecidedCall<R> {
    /// Who made the call.
    pub caller: R,
    /// What becomes of it.
    pub decision: CallDecision,
}

impl<R> DecidedCall<R> {
    /// A call that is refused as its answer can't be known.
    fn unavailable(caller: R, reason: &str) -> Self {
        Self { caller, decision: CallDecision::Answer(Response::error(503, reason)) }
    }
}

struct PendingRead<R> {
    read: ReadIndex,
    call: AdminCall,
    caller: R,
}

/// Calls that are answered from the applied state, once this controller is confirmed to have led
/// after they came (Raft paper, section 8; the ReadIndex of Ongaro's dissertation, section 6.4).
pub struct LinearizableReads<R> {
    pending: Vec<PendingRead<R>>,
}

impl<R> Default for LinearizableReads<R> {
    fn default() -> Self {
        Self { pending: Vec::new() }
    }
}

impl<R> LinearizableReads<R> {
    /// Takes in a call; gives it back where it need not wait.
    ///
    /// A command that the applied state accepts goes into the log at once: it is decided again
    /// where it is applied. Whatever else is answered from state has to wait for confirmation.
    pub fn submit(
        &mut self,
        raft: &mut RaftNode,
        state_machine: &StateMachine,
        call: AdminCall,
        caller: R,
        now: Tick,
    ) -> Option<DecidedCall<R>> {
        let decision = call.clone().decide(state_machine);
        if matches!(decision, CallDecision::Propose(_)) {
            return Some(DecidedCall { caller, decision });
        }
        let Some(read) = raft.read_index(now) else {
            return Some(DecidedCall::unavailable(caller, "no quorum"));
        };
        self.pending.push(PendingRead { read, call, caller });
        None
    }
    /// Removes the calls that wait no longer, each decided by what is applied now: as confirmed, as
    /// refused since this controller leads no more, or as timed out.
    pub fn take_decided(
        &mut self,
        raft: &RaftNode,
        state_machine: &StateMachine,
        applied: LogIndex,
        now: Tick,
    ) -> Vec<DecidedCall<R>> {
        let mut decided = Vec::new();
        for PendingRead { read, call, caller } in std::mem::take(&mut self.pending) {
            match raft.read_confirmation(&read) {
                ReadConfirmation::LeadershipLost => {
                    decided.push(DecidedCall::unavailable(caller, "no longer the leader"));
                }
                _ if now.since(read.requested_at) > READ_LIMIT_MS => {
                    decided.push(DecidedCall::unavailable(caller, "no quorum"));
                }
                ReadConfirmation::Confirmed if applied >= read.index => {
                    decided.push(DecidedCall { caller, decision: call.decide(state_machine) });
                }
                _ => self.pending.push(PendingRead { read, call, caller }),
            }
        }
        decided
    }
}

struct PendingProposal<R> {
    term: Term,
    caller: R,
}

/// Callers whose command has been proposed, by its index in the log.
pub struct PendingProposals<R> {
    pending: BTreeMap<LogIndex, PendingProposal<R>>,
}

impl<R> Default for PendingProposals<R> {
    fn default() -> Self {
        Self { pending: BTreeMap::new() }
    }
}

impl<R> PendingProposals<R> {
    /// Remembers the caller of the command that was proposed at this index in this term.
    pub fn insert(&mut self, term: Term, index: LogIndex, caller: R) {
        self.pending.insert(index, PendingProposal { term, caller });
    }
    /// Removes the caller whose command this committed entry is; none if nobody here waits for it,
    /// or another leader's entry has taken the index.
    pub fn complete(&mut self, entry: &LogEntry) -> Option<R> {
        let proposal = self.pending.remove(&entry.index)?;
        (proposal.term == entry.term).then_some(proposal.caller)
    }
    /// Removes all callers, as this controller no longer leads: what became of their commands is
    /// not known here.
    pub fn drain(&mut self) -> impl Iterator<Item = R> + use<R> {
        std::mem::take(&mut self.pending).into_values().map(|proposal| proposal.caller)
    }
}
