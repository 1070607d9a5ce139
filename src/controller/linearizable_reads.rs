//! Admin calls that wait for Raft: linearizable reads wait until this controller is confirmed as
//! the leader, proposals until their log entry is committed.
//!
//! The controller's admin handler polls both collections after each step. `R` is the handle for
//! responding to a caller, which the collections only store. Neither reads a clock: the time is a
//! parameter.
use crate::base::ids::{LogIndex, Term};
use crate::base::time::Tick;
use crate::controller::admin_api::{AdminCall, CallDecision};
use crate::net::http::Response;
use crate::net::rpc::raft_messages::LogEntry;
use crate::raft::node::RaftNode;
use crate::raft::read_index::{ReadConfirmation, ReadIndex};
use crate::state_machine::StateMachine;
use std::collections::BTreeMap;

/// Milliseconds after which an unconfirmed read is refused. Callers switch to another controller
/// after one second.
const READ_TIMEOUT_MS: u64 = 800;

/// A caller and the decision on its call.
#[derive(Clone, Debug, PartialEq)]
pub struct DecidedCall<R> {
    /// The caller.
    pub caller: R,
    /// The decision on the call.
    pub decision: CallDecision,
}

impl<R> DecidedCall<R> {
    /// Refuses a call, because its correct response is unknown.
    fn unavailable(caller: R, reason: &str) -> Self {
        Self { caller, decision: CallDecision::Answer(Response::error(503, reason)) }
    }
}

struct PendingRead<R> {
    read: ReadIndex,
    call: AdminCall,
    caller: R,
}

/// Calls that are answered from the applied state once it is confirmed that this controller was
/// still the leader after they arrived (Raft paper, section 8; ReadIndex in Ongaro's dissertation,
/// section 6.4).
pub struct LinearizableReads<R> {
    pending: Vec<PendingRead<R>>,
}

impl<R> Default for LinearizableReads<R> {
    fn default() -> Self {
        Self { pending: Vec::new() }
    }
}

impl<R> LinearizableReads<R> {
    /// Submits a call. Returns it with its decision if it doesn't have to wait.
    ///
    /// A command that the applied state accepts can be appended to the log immediately, as it is
    /// decided again when it is applied. All other responses depend on the state and have to wait
    /// for confirmation.
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
    /// Removes and returns the calls that have finished waiting. A confirmed call is decided on the
    /// state applied now; a call is refused if leadership was lost or the call has timed out.
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
                _ if now.since(read.requested_at) > READ_TIMEOUT_MS => {
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

/// Callers whose command has been proposed, by log index.
pub struct PendingProposals<R> {
    pending: BTreeMap<LogIndex, PendingProposal<R>>,
}

impl<R> Default for PendingProposals<R> {
    fn default() -> Self {
        Self { pending: BTreeMap::new() }
    }
}

impl<R> PendingProposals<R> {
    /// Adds the caller of the command that was proposed at this index in this term.
    pub fn insert(&mut self, term: Term, index: LogIndex, caller: R) {
        self.pending.insert(index, PendingProposal { term, caller });
    }
    /// Removes and returns the caller whose command is in this committed entry. Returns `None` if
    /// no caller waits for this index, or if the entry was proposed by another leader.
    pub fn complete(&mut self, entry: &LogEntry) -> Option<R> {
        let proposal = self.pending.remove(&entry.index)?;
        (proposal.term == entry.term).then_some(proposal.caller)
    }
    /// Removes and returns all callers. Called when this controller loses leadership: whether their
    /// commands will be committed is unknown.
    pub fn drain(&mut self) -> impl Iterator<Item = R> + use<R> {
        std::mem::take(&mut self.pending).into_values().map(|proposal| proposal.caller)
    }
}
