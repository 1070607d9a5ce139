//! Elections (the Raft paper, section 5.2), pre-vote (the dissertation, section 9.6) and leadership
//! transfer (the dissertation, section 3.10).
use super::limits::{LEADER_LEASE_MS, LEADERSHIP_TRANSFER_TIMEOUT_MS, MIN_ELECTION_TIMEOUT_MS};
use super::node::{RaftNode, RaftRole};
use super::replication::Progress;
use crate::base::ids::{LogIndex, MemberId, Term};
use crate::base::time::Tick;
use crate::net::rpc::raft_messages::{EntryPayload, LogPosition, RaftMessage, RaftMessageKind};
use std::collections::BTreeSet;

/// The kind of election that a candidate runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Campaign {
    /// Asks whether an election could be won. No term changes and no vote is used up.
    PreVote,
    /// An election that follows a won pre-vote.
    Election,
    /// An election that the current leader asked this member to start.
    LeadershipTransfer,
}

/// A leadership transfer that this leader has started.
#[derive(Clone, Copy, Debug)]
pub(super) struct LeadershipTransfer {
    /// When it started. From then on the leader holds no lease and proposes no entries.
    pub(super) started: Tick,
    /// `TimeoutNow` was sent to a target. Until then, no suitable voter has been found.
    target_notified: bool,
}

/// A `RequestVote` message, as its receiver evaluates it.
pub(super) struct VoteRequest {
    /// The candidate.
    pub(super) from: MemberId,
    /// The term that the candidate wants to lead.
    pub(super) term: Term,
    /// A pre-vote: no vote is used up.
    pub(super) pre_vote: bool,
    /// The vote may be granted even if the receiver recently heard from a leader.
    pub(super) ignores_leader: bool,
    /// The position of the last entry in the candidate's log.
    pub(super) last_log: LogPosition,
}

impl RaftNode {
    /// Becomes a candidate and asks all other voters for their votes.
    pub(super) fn start_campaign(&mut self, campaign: Campaign, now: Tick) {
        let pre_vote = campaign == Campaign::PreVote;
        let leadership_transfer = campaign == Campaign::LeadershipTransfer;
        let term = Term(self.state.term.0 + 1);
        if !pre_vote {
            self.advance_term(term);
            self.state.voted_for = Some(self.state.member_id);
            self.unsaved.hard_state = true;
        }
        let votes = BTreeSet::from([self.state.member_id]);
        self.role = RaftRole::Candidate { campaign, votes };
        self.reset_election_timeout(now);
        let last_log = self.last_position();
        // A leader never requests votes, so a leadership of the previous term has ended.
        let led_previous_term =
            self.state.last_led_term.is_some_and(|led_term| led_term.0 + 1 == term.0);
        for id in self.voters() {
            if id != self.state.member_id {
                let kind = RaftMessageKind::RequestVote {
                    pre_vote,
                    leadership_transfer,
                    led_previous_term,
                    last_log,
                };
                self.outbox.push((id, RaftMessage { from: self.state.member_id, term, kind }));
            }
        }
        self.count_votes(now);
    }

    /// Checks whether a quorum of the voters has granted its votes (the Raft paper, section 5.2).
    /// If so, a pre-vote is followed by the election, and an election makes this member the leader.
    fn count_votes(&mut self, now: Tick) {
        let RaftRole::Candidate { campaign, votes } = &self.role else {
            return;
        };
        if self.voters().iter().filter(|id| votes.contains(id)).count() < self.quorum() {
            return;
        }
        match campaign {
            Campaign::PreVote => self.start_campaign(Campaign::Election, now),
            Campaign::Election | Campaign::LeadershipTransfer => self.become_leader(now),
        }
    }

    fn become_leader(&mut self, now: Tick) {
        let no_op_index = LogIndex(self.last_position().index.0 + 1);
        self.role = RaftRole::Leader { no_op_index, elected_at: now };
        self.leader = Some(self.state.member_id);
        self.state.last_led_term = Some(self.state.term);
        self.unsaved.hard_state = true;
        self.leadership_transfer = None;
        self.members_changed_at = now;
        let new_progress = |id| (id, Progress::new(no_op_index, no_op_index, now));
        self.progress = self.other_members().into_iter().map(new_progress).collect();
        // Entries of earlier terms are committed only along with one of this term (the Raft paper,
        // section 5.4.2).
        self.append_entry(EntryPayload::NoOp, now);
    }

    /// Answers a vote request, or ignores it while there is a current leader.
    pub(super) fn handle_request_vote(&mut self, request: VoteRequest, now: Tick) {
        let VoteRequest { from, term, pre_vote, ignores_leader, last_log } = request;
        // The Raft paper, section 6: a server that hears from a current leader does not vote.
        let leader_present = self
            .last_leader_contact
            .is_some_and(|contact_at| now.since(contact_at) < MIN_ELECTION_TIMEOUT_MS)
            || (self.is_leader() && self.quorum_answered_within(MIN_ELECTION_TIMEOUT_MS, now));
        if (leader_present || now < self.no_votes_until) && !ignores_leader {
            return;
        }
        if term < self.state.term || (pre_vote && term <= self.state.term) {
            return self.send(from, RaftMessageKind::VoteResponse { pre_vote, granted: false });
        }
        // The Raft paper, section 5.4.1: the candidate's log must be at least as up to date.
        let up_to_date = last_log >= self.last_position();
        if pre_vote {
            return self.answer_pre_vote(from, term, up_to_date);
        }
        if term > self.state.term {
            self.advance_term(term);
            self.become_follower(None, now);
        }
        // The Raft paper, section 5.2: one vote per term, first come, first served.
        let vote_available = self.state.voted_for.is_none_or(|voted_for| voted_for == from);
        let granted = up_to_date && vote_available && self.leader.is_none();
        if granted {
            self.state.voted_for = Some(from);
            self.unsaved.hard_state = true;
            self.reset_election_timeout(now);
        }
        self.send(from, RaftMessageKind::VoteResponse { pre_vote, granted });
    }

    /// Answers a pre-vote: with the candidate's term if it is granted, with this member's if not.
    fn answer_pre_vote(&mut self, candidate: MemberId, term: Term, granted: bool) {
        let kind = RaftMessageKind::VoteResponse { pre_vote: true, granted };
        let term = if granted { term } else { self.state.term };
        self.outbox.push((candidate, RaftMessage { from: self.state.member_id, term, kind }));
    }

    /// Counts a granted vote. A refusal from a later term makes this member a follower (the Raft
    /// paper, section 5.1).
    pub(super) fn handle_vote_response(
        &mut self,
        from: MemberId,
        term: Term,
        pre_vote: bool,
        granted: bool,
        now: Tick,
    ) {
        if !granted && term > self.state.term {
            self.advance_term(term);
            return self.become_follower(None, now);
        }
        let requested_term = self.state.term.0 + u64::from(pre_vote);
        if let RaftRole::Candidate { campaign, votes } = &mut self.role
            && (*campaign == Campaign::PreVote) == pre_vote
            && granted
            && term.0 == requested_term
        {
            votes.insert(from);
            self.count_votes(now);
        }
    }

    /// Starts an election at once and without a pre-vote, because the leader transfers its
    /// leadership to this member.
    pub(super) fn handle_timeout_now(&mut self, from: MemberId, term: Term, now: Tick) {
        let from_leader = term == self.state.term && self.leader == Some(from);
        if from_leader && self.is_voter() && !self.storage_failing {
            self.start_campaign(Campaign::LeadershipTransfer, now);
        }
    }

    /// Starts to transfer the leadership to another voter. From now on this leader holds no lease
    /// and appends no entries. Does nothing if this member is not the leader.
    pub fn transfer_leadership(&mut self, now: Tick) {
        if !self.is_leader() || self.leadership_transfer.is_some() {
            return;
        }
        self.leadership_transfer =
            Some(LeadershipTransfer { started: now, target_notified: false });
        self.notify_transfer_target(now);
    }

    /// Sends `TimeoutNow` to a voter that has answered recently and holds the whole log, once there
    /// is one. After half of the transfer timeout, holding all committed entries is enough.
    pub(super) fn notify_transfer_target(&mut self, now: Tick) {
        let Some(transfer) = self.leadership_transfer.filter(|t| !t.target_notified) else {
            return;
        };
        if !self.is_leader() {
            return;
        }
        let committed_suffices = now.since(transfer.started) >= LEADERSHIP_TRANSFER_TIMEOUT_MS / 2;
        let required_index =
            if committed_suffices { self.commit_index } else { self.last_position().index };
        let suitable = |p: &Progress| {
            p.match_index >= required_index && now.since(p.last_acked) < LEADER_LEASE_MS
        };
        let voters = self.voters();
        let target = self
            .progress
            .iter()
            .filter(|(id, p)| voters.contains(id) && suitable(p))
            .max_by_key(|(_, p)| (p.match_index, p.last_acked))
            .map(|(id, _)| *id);
        if let Some(target) = target {
            self.leadership_transfer =
                Some(LeadershipTransfer { target_notified: true, ..transfer });
            self.send(target, RaftMessageKind::TimeoutNow);
        }
    }

    /// Sets whether the storage fails or stalls. While it does, another member should be the
    /// leader: a leader transfers its leadership, and a follower starts no election.
    pub fn set_storage_failing(&mut self, failing: bool, now: Tick) {
        self.storage_failing = failing;
        if failing {
            self.transfer_leadership(now);
        }
    }
}
