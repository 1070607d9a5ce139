//! Calls that wait until this controller is known to lead, or for their log entry to be committed.
use crate::base::ids::{LogIndex, Term};
use crate::base::time::Tick;
use crate::controller::admin_api::{AdminCall, CallDecision};
use crate::net::http::Response;
use crate::net::rpc::raft_messages::LogEntry;
use crate::raft::node::RaftNode;
use crate::raft::read_index::{ReadConfirmation, ReadIndex};
use crate::state_machine::StateMachine;
use std::collections::BTreeMap;

/// Calls that are answered from what is applied, once this controller is known to have led after
/// they came.
pub struct LinearizableReads<R> {
    waiting: Vec<(ReadIndex, AdminCall, R)>,
}

impl<R> Default for LinearizableReads<R> {
    fn default() -> Self {
        Self { waiting: Vec::new() }
    }
}

impl<R> LinearizableReads<R> {
    /// Takes in a call. What goes into the log anyway waits for nothing: it is judged once more
    /// where it is applied.
    pub fn ask(
        &mut self,
        raft: &mut RaftNode,
        state_machine: &StateMachine,
        call: AdminCall,
        from: R,
        now: Tick,
    ) -> Option<(R, CallDecision)> {
        if let CallDecision::Propose(change) = call.clone().judge(state_machine) {
            return Some((from, CallDecision::Propose(change)));
        }
        match raft.read_index(now) {
            Some(read) => self.waiting.push((read, call, from)),
            None => return Some((from, CallDecision::Answer(Response::refusal(503, "no quorum")))),
        }
        None
    }
    /// The calls that wait no longer, judged by what is applied now.
    pub fn settled(
        &mut self,
        raft: &RaftNode,
        state_machine: &StateMachine,
        applied: LogIndex,
        now: Tick,
    ) -> Vec<(R, CallDecision)> {
        let mut settled = Vec::new();
        let unclear = |why| CallDecision::Answer(Response::refusal(503, why));
        for (read, call, from) in std::mem::take(&mut self.waiting) {
            match raft.read_confirmation(&read) {
                ReadConfirmation::LeadershipLost => {
                    settled.push((from, unclear("no longer the leader")))
                }
                _ if now.since(read.requested_at) > READ_MS => {
                    settled.push((from, unclear("no quorum")))
                }
                ReadConfirmation::Confirmed if applied >= read.index => {
                    settled.push((from, call.judge(state_machine)))
                }
                _ => self.waiting.push((read, call, from)),
            }
        }
        settled
    }
}

/// Callers whose change is on its way into the log, by its place there.
pub struct PendingProposals<R> {
    waiting: BTreeMap<LogIndex, (Term, R)>,
}

impl<R> Default for PendingProposals<R> {
    fn default() -> Self {
        Self { waiting: BTreeMap::new() }
    }
}

impl<R> PendingProposals<R> {
    pub fn add(&mut self, raft_term: Term, index: LogIndex, from: R) {
        self.waiting.insert(index, (raft_term, from));
    }
    /// Whose change this is. Another leader's entry may have come to stand in its place.
    pub fn take(&mut self, entry: &LogEntry) -> Option<R> {
        let (raft_term, from) = self.waiting.remove(&entry.index)?;
        (raft_term == entry.term).then_some(from)
    }
    /// All that wait, as this controller no longer leads.
    pub fn give_up(&mut self) -> impl Iterator<Item = R> + use<R> {
        std::mem::take(&mut self.waiting).into_values().map(|(_, from)| from)
    }
}

/// A call that can't be answered for certain is given up after this; callers go on after a second.
const READ_MS: u64 = 800;
