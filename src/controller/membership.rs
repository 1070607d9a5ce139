//! Membership of the Raft group: how a controller joins, bootstraps or is removed from it.
//! `Controller` calls this module for join requests, their responses and once in each step. Nothing
//! here blocks.
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

/// Milliseconds after which a join request that is not repeated is dropped.
const JOIN_REQUEST_EXPIRY_MS: u64 = 3_000;

/// Milliseconds between two join requests of a controller that is not a member.
const JOIN_RETRY_MS: u64 = 250;

/// Milliseconds without a message from a leader after which a member checks whether it is still a
/// member.
const LEADER_TIMEOUT_MS: u64 = 1_200;

/// Milliseconds for which a seed without a disk collects join requests before it nominates the
/// founder, the controller that bootstraps the Raft group.
const NOMINATION_DELAY_MS: u64 = 500;

/// The join request of another controller.
struct JoinRequest {
    member: Member,
    /// When the latest one was received.
    received_at: Tick,
}

/// The state of joining the Raft group: this controller's own requests and the ones it received.
pub(super) struct JoinState {
    /// The join requests of other controllers, by member id.
    received_requests: BTreeMap<MemberId, JoinRequest>,
    /// The earliest time for this controller's next join request.
    next_join_request_at: Tick,
    /// The leader named in another controller's response. The next request goes only there.
    redirected_to: Option<SocketAddr>,
    /// Address of the leader that accepted this controller. Used for Raft messages to the leader
    /// while the leader is missing from this controller's member list.
    pub(super) accepted_by: Option<SocketAddr>,
    /// The founder nominated by this process. Only the first seed nominates one, and only if it has
    /// no disk; with a disk it bootstraps the group itself.
    nominated: Option<MemberId>,
    /// Peer address of the leader, tracked only by a controller without a disk. Such a controller
    /// is never a member and redirects callers to the leader.
    pub(super) observed_leader: Option<SocketAddr>,
}

impl JoinState {
    pub(super) fn new(now: Tick) -> Self {
        Self {
            received_requests: BTreeMap::new(),
            next_join_request_at: now,
            redirected_to: None,
            accepted_by: None,
            nominated: None,
            observed_leader: None,
        }
    }
    /// Drops the requests of controllers that have become members.
    pub(super) fn remove_members(&mut self, members: &[Member]) {
        self.received_requests.retain(|id, _| !members.iter().any(|m| m.id == *id));
    }
    fn add(&mut self, member: Member, now: Tick) {
        self.received_requests.insert(member.id, JoinRequest { member, received_at: now });
    }
}

impl<E: Effects> Controller<E> {
    fn is_member(&self) -> bool {
        let own_id = self.raft.state.member_id;
        self.raft.members().iter().any(|m| m.id == own_id)
    }

    /// Sends join requests if this controller is not a member. A member that has lost contact with
    /// the leader asks whether it is still a member.
    pub(super) fn request_membership(&mut self, now: Tick) {
        let was_member = self.is_member();
        // The address of a leader that is missing from the member list is unknown, although it
        // sends messages. Join requests find its address.
        let leader_unlisted = self.raft.leader.is_some() && self.leader().is_none();
        let leader_lost =
            self.raft.leader_silent_longer_than(now, LEADER_TIMEOUT_MS) || leader_unlisted;
        let settled = was_member && (self.raft.is_leader() || !leader_lost);
        if settled || now < self.join.next_join_request_at {
            return;
        }
        let interval = if was_member { LEADER_TIMEOUT_MS } else { JOIN_RETRY_MS };
        self.join.next_join_request_at = now.plus(interval);
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

    /// Responds to another controller that requests to join or asks whether it is still a member.
    pub(super) fn handle_join_request(
        &mut self,
        conn: u64,
        member: Member,
        was_member: bool,
        now: Tick,
    ) {
        let mut response = self.raft.answer_join(&member, was_member, now);
        if self.nominates_as_founder(&member, now) {
            response = JoinResponse::FoundCluster;
        }
        // A removed member may rejoin with the data on its disk.
        if matches!(response, JoinResponse::Accepted | JoinResponse::Removed) {
            self.join.add(member, now);
        }
        self.send_frame(conn, &Frame::Joined(response));
    }

    /// Handles the response of the controller at `from` to a join request for `requested_id`.
    /// `None` means that the controller could not be reached.
    pub(super) fn handle_join_response(
        &mut self,
        requested_id: MemberId,
        from: SocketAddr,
        response: Option<JoinResponse>,
        now: Tick,
    ) {
        let own_id = self.raft.state.member_id;
        if requested_id != own_id {
            return;
        }
        if !self.settings.can_vote() {
            self.update_observed_leader(from, response.as_ref());
        }
        let Some(response) = response else { return };
        if matches!(
            response,
            JoinResponse::Accepted | JoinResponse::Current | JoinResponse::Removed
        ) && self.join.accepted_by != Some(from)
        {
            self.join.accepted_by = Some(from);
            self.effects.retain_peer_links(self.raft.members());
        }
        match response {
            JoinResponse::NotLeader(Some(leader)) if self.join.redirected_to.is_none() => {
                self.join.redirected_to = Some(leader);
                self.join.next_join_request_at = now;
            }
            // A member id identifies a disk with its vote and log, so this controller may rejoin as
            // a learner under the same id.
            JoinResponse::Removed if self.is_member() && !self.raft.is_leader() => {
                info!(target: "raft", "member {own_id} was removed; requesting to rejoin");
            }
            JoinResponse::FoundCluster
                if !self.is_member() && self.settings.bootstrap && self.settings.can_vote() =>
            {
                self.bootstrap_cluster(now);
            }
            _ => {}
        }
    }

    /// Updates the leader that a controller without a disk redirects to: the last controller that
    /// claimed leadership, until that controller no longer claims it.
    fn update_observed_leader(&mut self, from: SocketAddr, response: Option<&JoinResponse>) {
        let observed = self.join.observed_leader == Some(from);
        match response {
            Some(JoinResponse::Current) if !observed => {
                info!(target: "raft", "controller at {from} is the leader");
                self.join.observed_leader = Some(from);
            }
            Some(JoinResponse::Current) => {}
            _ if observed => self.join.observed_leader = None,
            _ => {}
        }
    }

    /// Bootstraps a Raft group with this controller as its only voter.
    fn bootstrap_cluster(&mut self, now: Tick) {
        let Some(admin) = self.settings.listeners.admin else {
            return;
        };
        info!(target: "raft", "bootstrapping the cluster with this controller as the only voter");
        let own_id = self.raft.state.member_id;
        let founder = Member { voter: true, ..new_member(&self.settings, admin, own_id) };
        self.reset_with_members(vec![founder], now);
    }

    /// Resets this controller to an empty log and state under a new member id, which is assigned to
    /// all `members`. The old id is never used again.
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
        self.last_applied = LogIndex(0);
        self.set_configuration(None);
        self.route_tables.clear();
        self.directory_frame = None;
        self.effects.retain_peer_links(&[]);
        self.join.received_requests.clear();
    }

    /// Whether this controller is the first seed, has no disk and nominates `member` as the
    /// founder. The founder is the controller with the lowest address among those that requested
    /// to join within [`NOMINATION_DELAY_MS`].
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
            .received_requests
            .entry(member.id)
            .or_insert_with(|| JoinRequest { member: member.clone(), received_at: now });
        let oldest = self.join.received_requests.values().map(|r| r.received_at).min();
        if self.join.nominated.is_none()
            && oldest.is_some_and(|t| now.since(t) > NOMINATION_DELAY_MS)
        {
            let chosen = self.join.received_requests.values().min_by_key(|r| r.member.admin);
            self.join.nominated = chosen.map(|r| r.member.id);
        }
        self.join.nominated == Some(member.id)
    }

    /// Proposes the next membership change, if one is needed. Called only on the leader.
    pub(super) fn propose_membership_change(&mut self, now: Tick) {
        self.join
            .received_requests
            .retain(|_, r| now.since(r.received_at) < JOIN_REQUEST_EXPIRY_MS);
        let (tolerated, silent) =
            (self.settings.tolerated_failures(), self.settings.voter_removal_timeout_ms());
        let joining = self.join.received_requests.values().map(|r| &r.member);
        if let Some(members) = self.raft.next_membership_change(joining, tolerated, silent, now) {
            self.raft.propose(EntryPayload::Membership(members), now);
        }
    }
}
