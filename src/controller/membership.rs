//! How a controller joins, founds or is removed from the Raft group. `Controller` calls this for
//! join requests and their answers and once in each step; nothing here waits.
use crate::base::ids::{LogIndex, MemberId};
use crate::base::time::Tick;
use crate::controller::core::{Controller, validate_raft_message};
use crate::controller::effects::Effects;
use crate::controller::process::{new_member, new_member_id};
use crate::net::rpc::Frame;
use crate::net::rpc::raft_messages::{EntryPayload, JoinResponse, Member, Snapshot};
use crate::raft::node::RaftNode;
use crate::raft::state::{PersistentState, UnsavedChanges};
use crate::state_machine::StateMachine;
use log::info;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

/// Milliseconds after which a candidate that no longer asks to join is forgotten.
const CANDIDATE_EXPIRY_MS: u64 = 3_000;

/// Milliseconds between two join requests of a controller that is no member.
const JOIN_RETRY_MS: u64 = 250;

/// Milliseconds without a message of a leader after which a member asks whether it still is one.
const LEADER_SILENCE_MS: u64 = 1_200;

/// Milliseconds that a seed without a disk collects candidates before it nominates the founder of
/// the Raft group.
const NOMINATION_DELAY_MS: u64 = 500;

/// A controller that asked to join.
struct Candidate {
    member: Member,
    /// When it last asked.
    asked_at: Tick,
}

/// What a controller knows about joining: its own requests, and those it received.
pub(super) struct JoinState {
    candidates: BTreeMap<MemberId, Candidate>,
    /// No request of this controller's own is sent before this.
    next_request_at: Tick,
    /// The leader that another controller named in its answer: the next request goes only there.
    redirected_to: Option<SocketAddr>,
    /// The leader that accepted this controller. Raft messages to the leader go there as long as
    /// it is missing from this controller's endpoint list.
    pub(super) accepted_by: Option<SocketAddr>,
    /// The founder that this process nominated, as no seed has a disk.
    nominated: Option<MemberId>,
    /// Peer address of the leader, known only to a controller without a disk: it is never a
    /// member, it redirects callers there.
    pub(super) observed_leader: Option<SocketAddr>,
}

impl JoinState {
    pub(super) fn new(now: Tick) -> Self {
        Self {
            candidates: BTreeMap::new(),
            next_request_at: now,
            redirected_to: None,
            accepted_by: None,
            nominated: None,
            observed_leader: None,
        }
    }
    /// Drops the candidates that are members by now.
    pub(super) fn remove_members(&mut self, members: &[Member]) {
        self.candidates.retain(|id, _| !members.iter().any(|m| m.id == *id));
    }
    fn add(&mut self, member: Member, now: Tick) {
        self.candidates.insert(member.id, Candidate { member, asked_at: now });
    }
}

impl<E: Effects> Controller<E> {
    fn is_member(&self) -> bool {
        let own_id = self.raft.state.member_id;
        self.raft.members().iter().any(|m| m.id == own_id)
    }

    /// Asks to join if this controller is no member, and whether it still is one if it hears no
    /// leader.
    pub(super) fn request_membership(&mut self, now: Tick) {
        let was_member = self.is_member();
        // A leader that is missing from the members here sends messages, but its address is
        // unknown: asking finds it.
        let leader_unlisted = self.raft.leader.is_some() && self.leader().is_none();
        let leader_lost =
            self.raft.leader_silent_longer_than(now, LEADER_SILENCE_MS) || leader_unlisted;
        let settled = was_member && (self.raft.is_leader() || !leader_lost);
        if settled || now < self.join.next_request_at {
            return;
        }
        let interval = if was_member { LEADER_SILENCE_MS } else { JOIN_RETRY_MS };
        self.join.next_request_at = now.plus(interval);
        let Some(admin) = self.settings.listeners.admin else {
            return;
        };
        let member = new_member(&self.settings, admin, self.raft.state.member_id);
        let mut addresses: BTreeSet<SocketAddr> = self.settings.seed_peers().into_iter().collect();
        addresses.extend(self.raft.members().iter().map(|m| m.peer));
        if let Some(leader) = self.join.redirected_to.take().or(self.join.observed_leader) {
            addresses = BTreeSet::from([leader]);
        }
        addresses.remove(&member.peer);
        for address in addresses {
            self.effects.request_membership(address, member.clone(), was_member);
        }
    }

    /// Answers another controller that asks to join, or whether it still is a member.
    pub(super) fn handle_join_request(
        &mut self,
        conn: u64,
        member: Member,
        was_member: bool,
        now: Tick,
    ) {
        let mut answer = self.raft.answer_join(&member, was_member, now);
        if self.nominates_as_founder(&member, now) {
            answer = JoinResponse::FoundCluster;
        }
        // A removed member may join again with what is on its disk.
        if matches!(answer, JoinResponse::Accepted | JoinResponse::Removed) {
            self.join.add(member, now);
        }
        self.send_frame(conn, &Frame::Joined(answer));
    }

    /// Handles the answer of the controller at `from` to a request that named `requested_id`;
    /// none if it could not be reached.
    pub(super) fn handle_join_response(
        &mut self,
        requested_id: MemberId,
        from: SocketAddr,
        answer: Option<JoinResponse>,
        now: Tick,
    ) {
        let own_id = self.raft.state.member_id;
        if requested_id != own_id {
            return;
        }
        if !self.settings.can_vote() {
            self.update_observed_leader(from, answer.as_ref());
        }
        let Some(answer) = answer else { return };
        if matches!(answer, JoinResponse::Accepted | JoinResponse::Current | JoinResponse::Removed)
            && self.join.accepted_by != Some(from)
        {
            self.join.accepted_by = Some(from);
            self.effects.retain_peer_links(self.raft.members());
        }
        match answer {
            JoinResponse::NotLeader(Some(leader)) if self.join.redirected_to.is_none() => {
                self.join.redirected_to = Some(leader);
                self.join.next_request_at = now;
            }
            // An id stands for a disk with its vote and its log, so it may come back as a learner.
            JoinResponse::Removed if self.is_member() && !self.raft.is_leader() => {
                info!(target: "raft", "member {own_id} was removed, asks to join again");
            }
            JoinResponse::FoundCluster
                if !self.is_member() && self.settings.bootstrap && self.settings.can_vote() =>
            {
                self.found_cluster(now);
            }
            _ => {}
        }
    }

    /// A controller without a disk remembers who says that it leads, until that one says otherwise.
    fn update_observed_leader(&mut self, from: SocketAddr, answer: Option<&JoinResponse>) {
        let observed = self.join.observed_leader == Some(from);
        match answer {
            Some(JoinResponse::Current) if !observed => {
                info!(target: "raft", "{from} leads");
                self.join.observed_leader = Some(from);
            }
            Some(JoinResponse::Current) => {}
            _ if observed => self.join.observed_leader = None,
            _ => {}
        }
    }

    /// Begins a Raft group with this controller as its only voter.
    fn found_cluster(&mut self, now: Tick) {
        let Some(admin) = self.settings.listeners.admin else {
            return;
        };
        info!(target: "raft", "founds the cluster");
        let own_id = self.raft.state.member_id;
        let founder = Member { voter: true, ..new_member(&self.settings, admin, own_id) };
        self.reset_with_members(vec![founder], now);
    }

    /// Begins with an empty log and state under a fresh id, which all `members` get; the old id is
    /// never used again.
    fn reset_with_members(&mut self, mut members: Vec<Member>, now: Tick) {
        let member_id = new_member_id(self.random);
        members.iter_mut().for_each(|m| m.id = member_id);
        let snapshot = Snapshot { members, ..Snapshot::default() };
        let state = PersistentState {
            member_id,
            term: self.raft.state.term,
            snapshot,
            ..PersistentState::default()
        };
        self.raft = RaftNode::new(state, false, now, self.random);
        self.raft.message_validator = validate_raft_message;
        self.raft.unsaved = UnsavedChanges::all();
        self.persister.discard_held();
        self.state_machine = StateMachine::default();
        self.applied = LogIndex(0);
        self.set_configuration(None);
        self.route_tables.clear();
        self.directory_frame = None;
        self.effects.retain_peer_links(&[]);
        self.join.candidates.clear();
    }

    /// Whether this controller is the first seed, has no disk, and nominates `member` as founder
    /// of the Raft group: of those that asked in the first moments the one with the lowest address.
    fn nominates_as_founder(&mut self, member: &Member, now: Tick) -> bool {
        let own_address = self.settings.listeners.admin;
        if self.settings.can_vote()
            || self.settings.bootstrap_seed() != own_address
            || !self.raft.members().is_empty()
            || !member.can_vote
        {
            return false;
        }
        self.join
            .candidates
            .entry(member.id)
            .or_insert_with(|| Candidate { member: member.clone(), asked_at: now });
        let oldest = self.join.candidates.values().map(|c| c.asked_at).min();
        if self.join.nominated.is_none()
            && oldest.is_some_and(|t| now.since(t) > NOMINATION_DELAY_MS)
        {
            let chosen = self.join.candidates.values().min_by_key(|c| c.member.admin);
            self.join.nominated = chosen.map(|c| c.member.id);
        }
        self.join.nominated == Some(member.id)
    }

    /// As the leader: proposes the next change of the membership, if one is needed.
    pub(super) fn propose_membership_change(&mut self, now: Tick) {
        self.join.candidates.retain(|_, c| now.since(c.asked_at) < CANDIDATE_EXPIRY_MS);
        let (tolerated, silent) =
            (self.settings.tolerated_failures(), self.settings.voter_removal_timeout_ms());
        let candidates = self.join.candidates.values().map(|c| &c.member);
        if let Some(members) = self.raft.next_membership_change(candidates, tolerated, silent, now)
        {
            self.raft.propose(EntryPayload::Membership(members), now);
        }
    }
}
