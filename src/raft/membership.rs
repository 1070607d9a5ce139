//! The members of the group, and the leader's single-member changes to them (the dissertation,
//! sections 4.1 and 4.2).
use super::limits::{BOOTSTRAP_WAIT_MS, PRESENT_WITHIN_MS, SPARSE_BOOTSTRAP_WAIT_MS};
use super::node::RaftNode;
use crate::base::ids::MemberId;
use crate::base::time::Tick;
use crate::net::rpc::raft_messages::{JoinResponse, LogEntry, Member};

/// A member that has not answered for some time. Ordered by that time first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct SilentMember {
    silent_ms: u64,
    id: MemberId,
}

/// A learner that keeps up with the log.
#[derive(Clone, Copy, Debug)]
struct CaughtUpLearner {
    id: MemberId,
    /// Since when this leader replicates to it.
    added_at: Tick,
}

impl RaftNode {
    /// The newest membership in the log, committed or not (the dissertation, section 4.1).
    pub fn members(&self) -> &[Member] {
        &self.members
    }

    /// Finds the newest membership again after the log has changed otherwise than by appending.
    pub(super) fn reload_members(&mut self) {
        let newest = self.state.log.iter().rev().find_map(LogEntry::membership);
        self.members = newest.unwrap_or(&self.state.snapshot.members).clone();
    }

    /// Whether a membership change is in the log and not committed. One at a time is allowed: then
    /// any two quorums, before and after it, share a member (the dissertation, section 4.1).
    fn membership_change_pending(&self) -> bool {
        let uncommitted = |e: &LogEntry| e.index > self.commit_index;
        self.state.log.iter().any(|e| uncommitted(e) && e.membership().is_some())
    }

    /// The ids of the voting members.
    pub(crate) fn voters(&self) -> Vec<MemberId> {
        self.members().iter().filter(|m| m.voter).map(|m| m.id).collect()
    }

    pub(super) fn is_voter(&self) -> bool {
        self.voters().contains(&self.state.member_id)
    }

    pub(super) fn is_member(&self, id: MemberId) -> bool {
        self.members.iter().any(|m| m.id == id)
    }

    /// How many voters are more than half of them.
    pub(super) fn quorum(&self) -> usize {
        self.voters().len() / 2 + 1
    }

    /// The ids of all members but this one.
    pub(super) fn other_members(&self) -> Vec<MemberId> {
        self.members().iter().map(|m| m.id).filter(|id| *id != self.state.member_id).collect()
    }

    /// How many milliseconds ago this leader sent the newest message that the member answered.
    fn silence_ms(&self, id: MemberId, now: Tick) -> u64 {
        self.progress.get(&id).map_or(0, |p| now.since(p.last_acked.max(p.added_at)))
    }

    fn is_present(&self, id: MemberId, now: Tick) -> bool {
        id == self.state.member_id || self.silence_ms(id, now) < PRESENT_WITHIN_MS
    }

    /// The next single change of the membership, if this leader is to make one: whoever asks to
    /// join becomes a learner, and a voter once it keeps up with the log. If the voters that are
    /// present would not tolerate its loss, the one that has been silent longest is removed before.
    /// Of more voters than are needed to tolerate `tolerated` losses, one that has been silent for
    /// more than `silent_ms` is removed too.
    pub fn next_membership_change<'a>(
        &self,
        mut joining: impl Iterator<Item = &'a Member>,
        tolerated: usize,
        silent_ms: u64,
        now: Tick,
    ) -> Option<Vec<Member>> {
        if self.membership_change_pending() || !self.is_leader() {
            return None;
        }
        if let Some(joiner) = joining.find(|joiner| self.may_join(joiner, now)) {
            return self.with_joiner(joiner, now);
        }
        match self.caught_up_learner(now) {
            Some(learner) => self.with_promoted(learner, tolerated, now),
            None => self.without_silent(tolerated, silent_ms, now),
        }
    }

    /// A request to join is outdated if its sender is a member, or if a member at the same address
    /// is still present.
    fn may_join(&self, joiner: &Member, now: Tick) -> bool {
        let predecessor = self.members.iter().find(|m| m.admin == joiner.admin);
        !self.is_member(joiner.id) && !predecessor.is_some_and(|old| self.is_present(old.id, now))
    }

    /// The members with a new learner. The same machine under an earlier id has lost its disk: that
    /// id is removed first.
    fn with_joiner(&self, joiner: &Member, now: Tick) -> Option<Vec<Member>> {
        if let Some(old) = self.members.iter().find(|m| m.admin == joiner.admin) {
            return self.without(old.id, now);
        }
        let learner = Member { voter: false, ..joiner.clone() };
        Some(self.members.iter().cloned().chain([learner]).collect())
    }

    /// The members without this one, if those that remain can commit the change.
    fn without(&self, removed: MemberId, now: Tick) -> Option<Vec<Member>> {
        let rest: Vec<Member> = self.members.iter().filter(|m| m.id != removed).cloned().collect();
        let voters = rest.iter().filter(|m| m.voter).count();
        let present = rest.iter().filter(|m| m.voter && self.is_present(m.id, now)).count();
        (present > voters / 2).then_some(rest)
    }

    fn caught_up_learner(&self, now: Tick) -> Option<CaughtUpLearner> {
        self.members.iter().filter(|m| !m.voter).find_map(|m| {
            let present = self.silence_ms(m.id, now) < PRESENT_WITHIN_MS;
            let progress = self.progress.get(&m.id).filter(|p| p.caught_up && present)?;
            Some(CaughtUpLearner { id: m.id, added_at: progress.added_at })
        })
    }

    /// The members with this learner as a voter, or without the voter that it replaces.
    fn with_promoted(
        &self,
        learner: CaughtUpLearner,
        tolerated: usize,
        now: Tick,
    ) -> Option<Vec<Member>> {
        let voters = self.voters();
        // A voter that has answered since the learner was added is not the one it replaces.
        let present = |id: &&MemberId| {
            let answered = self.progress.get(id).is_some_and(|p| p.last_acked >= learner.added_at);
            **id == self.state.member_id
                || (answered && self.silence_ms(**id, now) < PRESENT_WITHIN_MS)
        };
        let present = voters.iter().filter(present).count();
        // The new voter may be lost again at once and counts as one of the tolerated losses: the
        // voters that are present have to be a quorum without it and without the other losses.
        let other_losses = tolerated.saturating_sub(1);
        let new_voters = voters.len() + 1;
        if present == voters.len() || present > other_losses + new_voters / 2 {
            let promote = |m: &Member| Member { voter: m.voter || m.id == learner.id, ..m.clone() };
            return Some(self.members.iter().map(promote).collect());
        }
        let replaced = self.longest_silent(|m| m.voter, PRESENT_WITHIN_MS, now)?;
        self.without(replaced.id, now)
    }

    /// The members without the learner, or the spare voter, that has been silent longest.
    fn without_silent(&self, tolerated: usize, silent_ms: u64, now: Tick) -> Option<Vec<Member>> {
        let learner = self.longest_silent(|m| !m.voter, silent_ms, now);
        let has_spare_voter = self.voters().len() > 2 * tolerated + 1;
        let voter = match has_spare_voter {
            true => self.longest_silent(|m| m.voter, silent_ms, now),
            false => None,
        };
        self.without(learner.max(voter)?.id, now)
    }

    /// Of the other members that `counts`, the one silent longest, if for more than this time.
    fn longest_silent(
        &self,
        counts: impl Fn(&Member) -> bool,
        longer_than_ms: u64,
        now: Tick,
    ) -> Option<SilentMember> {
        let others = self.members.iter().filter(|m| m.id != self.state.member_id && counts(m));
        others
            .map(|m| SilentMember { silent_ms: self.silence_ms(m.id, now), id: m.id })
            .filter(|member| member.silent_ms > longer_than_ms)
            .max()
    }

    /// Whether a cluster that has accepted no command yet may begin to: there are voters enough to
    /// tolerate the loss of `tolerated`. Fewer are enough once nobody has joined for a while, so
    /// that a deployment with few disks works at all. The missing ones then count as lost, unless
    /// more are missing than may be: then this controller itself may be the one that is cut off.
    pub fn may_bootstrap(&self, tolerated: usize, now: Tick) -> bool {
        let voters = self.voters().len();
        let wait_ms = if voters > tolerated { BOOTSTRAP_WAIT_MS } else { SPARSE_BOOTSTRAP_WAIT_MS };
        let all_vote = self.members().iter().all(|m| m.voter);
        let waited = all_vote && now.since(self.members_changed_at) > wait_ms;
        self.is_leader() && (voters > 2 * tolerated || waited)
    }

    /// The answer to a process that asks to join, or, if it was a member, whether it still is one.
    pub fn answer_join(&self, member: &Member, was_member: bool, now: Tick) -> JoinResponse {
        if !self.holds_leader_lease(now) {
            let leader = self.leader.filter(|leader| *leader != self.state.member_id);
            let address = |id| self.members.iter().find(|m| m.id == id).map(|m| m.peer);
            return JoinResponse::NotLeader(leader.and_then(address));
        }
        // One that can't vote is never a member; it only asks for the leader.
        if !member.can_vote || self.is_member(member.id) {
            return JoinResponse::Current;
        }
        if !was_member {
            return JoinResponse::Accepted;
        }
        // While a change is pending, its membership is undecided.
        match self.membership_change_pending() {
            true => JoinResponse::NotLeader(None),
            false => JoinResponse::Removed,
        }
    }
}
