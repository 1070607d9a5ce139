//! The membership of the Raft group, and the single-member changes that the leader makes to it (the
//! dissertation, sections 4.1 and 4.2).
use super::limits::{BOOTSTRAP_WAIT_MS, PRESENT_WITHIN_MS, SPARSE_BOOTSTRAP_WAIT_MS};
use super::node::RaftNode;
use crate::base::ids::MemberId;
use crate::base::time::Tick;
use crate::net::rpc::raft_messages::{JoinResponse, LogEntry, Member};

/// A member that has not answered for some time. Ordered by that time, then by id.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct SilentMember {
    silent_ms: u64,
    id: MemberId,
}

/// A learner that keeps up with the log.
#[derive(Clone, Copy, Debug)]
struct CaughtUpLearner {
    id: MemberId,
    /// When this leader began to replicate to it.
    added_at: Tick,
}

impl RaftNode {
    /// The newest membership in the log, committed or not (the dissertation, section 4.1).
    pub fn members(&self) -> &[Member] {
        &self.members
    }

    /// Reloads the newest membership from the log or the snapshot, after the log has changed.
    pub(super) fn reload_members(&mut self) {
        let newest = self.state.log.iter().rev().find_map(LogEntry::membership);
        self.members = newest.unwrap_or(&self.state.snapshot.members).clone();
    }

    /// Whether the log has an uncommitted membership change. Only one at a time is allowed, so that
    /// any quorum before the change and any quorum after it share a member (the dissertation,
    /// section 4.1).
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

    /// The size of a quorum: the smallest number of voters that is more than half of them.
    pub(super) fn quorum(&self) -> usize {
        self.voters().len() / 2 + 1
    }

    /// The ids of all members but this one.
    pub(super) fn other_members(&self) -> Vec<MemberId> {
        self.members().iter().map(|m| m.id).filter(|id| *id != self.state.member_id).collect()
    }

    /// How many milliseconds ago this leader sent the newest message that the member has answered,
    /// but at most the time since the leader began to replicate to it.
    fn silence_ms(&self, id: MemberId, now: Tick) -> u64 {
        self.progress.get(&id).map_or(0, |p| now.since(p.last_acked.max(p.added_at)))
    }

    fn is_present(&self, id: MemberId, now: Tick) -> bool {
        id == self.state.member_id || self.silence_ms(id, now) < PRESENT_WITHIN_MS
    }

    /// The members after the next single-member change, if this leader has one to make:
    ///
    /// - A process that asks to join becomes a learner.
    /// - A learner that keeps up with the log becomes a voter. If the voters that are present would
    ///   not tolerate its loss, the voter that has been silent longest is removed first.
    /// - A learner that has been silent for more than `silent_ms` is removed, and so is a voter if
    ///   there are more voters than are needed to tolerate `tolerated` losses.
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

    /// Whether a request to join is to be granted. It is outdated if its sender is a member, or if
    /// a member at the same address is still present.
    fn may_join(&self, joiner: &Member, now: Tick) -> bool {
        let predecessor = self.members.iter().find(|m| m.admin == joiner.admin);
        !self.is_member(joiner.id) && !predecessor.is_some_and(|m| self.is_present(m.id, now))
    }

    /// The members with the joining process as a learner. A member at the same address is the same
    /// machine before it lost its disk: that member is removed first.
    fn with_joiner(&self, joiner: &Member, now: Tick) -> Option<Vec<Member>> {
        if let Some(predecessor) = self.members.iter().find(|m| m.admin == joiner.admin) {
            return self.without(predecessor.id, now);
        }
        let learner = Member { voter: false, ..joiner.clone() };
        Some(self.members.iter().cloned().chain([learner]).collect())
    }

    /// The members without this one, if the remaining voters that are present can commit the
    /// change.
    fn without(&self, removed: MemberId, now: Tick) -> Option<Vec<Member>> {
        let remaining: Vec<Member> =
            self.members.iter().filter(|m| m.id != removed).cloned().collect();
        let voters = remaining.iter().filter(|m| m.voter).count();
        let present = remaining.iter().filter(|m| m.voter && self.is_present(m.id, now)).count();
        (present > voters / 2).then_some(remaining)
    }

    fn caught_up_learner(&self, now: Tick) -> Option<CaughtUpLearner> {
        self.members.iter().filter(|m| !m.voter).find_map(|m| {
            let present = self.silence_ms(m.id, now) < PRESENT_WITHIN_MS;
            let progress = self.progress.get(&m.id).filter(|p| p.caught_up && present)?;
            Some(CaughtUpLearner { id: m.id, added_at: progress.added_at })
        })
    }

    /// The members with this learner promoted to a voter, or without the voter that it replaces.
    fn with_promoted(
        &self,
        learner: CaughtUpLearner,
        tolerated: usize,
        now: Tick,
    ) -> Option<Vec<Member>> {
        let voters = self.voters();
        // The learner does not replace a voter that has answered since the learner was added.
        let is_present = |id: &&MemberId| {
            let answered = self.progress.get(id).is_some_and(|p| p.last_acked >= learner.added_at);
            **id == self.state.member_id
                || (answered && self.silence_ms(**id, now) < PRESENT_WITHIN_MS)
        };
        let present = voters.iter().filter(is_present).count();
        // The new voter may fail right away and counts as one of the tolerated losses. So the
        // voters that are present must form a quorum without it and without the other losses.
        let other_losses = tolerated.saturating_sub(1);
        let new_voters = voters.len() + 1;
        if present == voters.len() || present > other_losses + new_voters / 2 {
            let promote = |m: &Member| Member { voter: m.voter || m.id == learner.id, ..m.clone() };
            return Some(self.members.iter().map(promote).collect());
        }
        let replaced = self.longest_silent(|m| m.voter, PRESENT_WITHIN_MS, now)?;
        self.without(replaced.id, now)
    }

    /// The members without the learner or spare voter that has been silent longest, if there is
    /// one.
    fn without_silent(&self, tolerated: usize, silent_ms: u64, now: Tick) -> Option<Vec<Member>> {
        let learner = self.longest_silent(|m| !m.voter, silent_ms, now);
        let has_spare_voter = self.voters().len() > 2 * tolerated + 1;
        let voter = match has_spare_voter {
            true => self.longest_silent(|m| m.voter, silent_ms, now),
            false => None,
        };
        self.without(learner.max(voter)?.id, now)
    }

    /// The member that has been silent longest among the other members for which `is_eligible` is
    /// true, if it has been silent for more than `longer_than_ms`.
    fn longest_silent(
        &self,
        is_eligible: impl Fn(&Member) -> bool,
        longer_than_ms: u64,
        now: Tick,
    ) -> Option<SilentMember> {
        let others = self.members.iter().filter(|m| m.id != self.state.member_id && is_eligible(m));
        others
            .map(|m| SilentMember { silent_ms: self.silence_ms(m.id, now), id: m.id })
            .filter(|member| member.silent_ms > longer_than_ms)
            .max()
    }

    /// Whether a new cluster may accept its first command: there are enough voters to tolerate the
    /// loss of `tolerated` of them. Fewer are enough once no process has joined for a while, so
    /// that a deployment with few disks works too; the missing voters then count as lost. The wait
    /// is longer if more are missing than may be lost, as this controller itself may be
    /// partitioned.
    pub fn may_bootstrap(&self, tolerated: usize, now: Tick) -> bool {
        let voters = self.voters().len();
        let wait_ms = if voters > tolerated { BOOTSTRAP_WAIT_MS } else { SPARSE_BOOTSTRAP_WAIT_MS };
        let no_learners = self.members().iter().all(|m| m.voter);
        let waited = no_learners && now.since(self.members_changed_at) > wait_ms;
        self.is_leader() && (voters > 2 * tolerated || waited)
    }

    /// The response to a process that asks to join, or that asks whether it is still a member.
    pub fn answer_join(&self, member: &Member, was_member: bool, now: Tick) -> JoinResponse {
        if !self.holds_leader_lease(now) {
            let leader = self.leader.filter(|leader| *leader != self.state.member_id);
            let address = |id| self.members.iter().find(|m| m.id == id).map(|m| m.peer);
            return JoinResponse::NotLeader(leader.and_then(address));
        }
        // A process that can't vote never becomes a member; it only asks who the leader is.
        if !member.can_vote || self.is_member(member.id) {
            return JoinResponse::Current;
        }
        if !was_member {
            return JoinResponse::Accepted;
        }
        // While a membership change is pending, it is undecided whether the process is a member.
        match self.membership_change_pending() {
            true => JoinResponse::NotLeader(None),
            false => JoinResponse::Removed,
        }
    }
}
