//! How a controller joins, founds or leaves the Raft group.
use crate::base::ids::{LogIndex, MemberId};
use crate::base::time::Tick;
use crate::controller::core::Controller;
use crate::controller::effects::Effects;
use crate::controller::process::{as_member, fresh_id};
use crate::net::rpc::raft_messages::{JoinResponse, Member, Snapshot};
use crate::raft::node::RaftNode;
use crate::raft::state::{PersistentState, UnsavedChanges};
use crate::state_machine::{StateMachine, readable};
use log::info;
use std::collections::BTreeSet;
use std::net::SocketAddr;

/// Who asked to join and does not ask again is forgotten after this.
pub(super) const JOIN_KEPT_MS: u64 = 3_000;

const JOIN_AGAIN_MS: u64 = 250;

/// A member that hears no leader for this long asks whether it still is one.
const LONELY_MS: u64 = 1_200;

/// A seed without a disk waits this long for the first controllers before it names a founder.
const NOMINATE_MS: u64 = 500;

impl<E: Effects> Controller<E> {
    /// A controller that is in no list asks to be taken in; one that hears no leader, whether it
    /// still belongs.
    pub(super) fn ask_to_join(&mut self, now: Tick) {
        let me = self.raft.state.member_id;
        let was = self.raft.members().iter().any(|m| m.id == me);
        // Of a leader that is in no list here, only its messages come: it is found by asking.
        let unknown = self.raft.leader.is_some() && self.leader().is_none();
        let lost = self.raft.leader_silent_longer_than(now, LONELY_MS) || unknown;
        let idle = was && (self.raft.is_leader() || !lost);
        if idle || now < self.next_join {
            return;
        }
        self.next_join = now.plus(if was { LONELY_MS } else { JOIN_AGAIN_MS });
        let Some(admin) = self.settings.listeners.admin else {
            return;
        };
        let member = as_member(&self.settings, admin, me);
        let mut at: BTreeSet<SocketAddr> = self.settings.seed_peers().into_iter().collect();
        at.extend(self.raft.members().iter().map(|m| m.peer));
        if let Some(leader) = self.join_at.take().or(self.pointed) {
            at = BTreeSet::from([leader]);
        }
        at.remove(&member.peer);
        for to in at {
            self.effects.ask_standing(to, member.clone(), was);
        }
    }

    pub(super) fn stand(
        &mut self,
        asked: MemberId,
        at: SocketAddr,
        answer: Option<JoinResponse>,
        now: Tick,
    ) {
        let me = self.raft.state.member_id;
        if asked != me {
            return;
        }
        if !self.settings.can_vote() {
            match answer {
                Some(JoinResponse::Current) if self.pointed != Some(at) => {
                    info!(target: "raft", "{at} leads");
                    self.pointed = Some(at);
                }
                Some(JoinResponse::Current) => {}
                _ if self.pointed == Some(at) => self.pointed = None,
                _ => {}
            }
        }
        let Some(answer) = answer else { return };
        if matches!(answer, JoinResponse::Accepted | JoinResponse::Current | JoinResponse::Removed)
            && self.taken_in != Some(at)
        {
            self.taken_in = Some(at);
            self.effects.keep_links(self.raft.members());
        }
        let listed = self.raft.members().iter().any(|m| m.id == me);
        match answer {
            JoinResponse::NotLeader(Some(leader)) if self.join_at.is_none() => {
                self.join_at = Some(leader);
                self.next_join = now;
            }
            // An id stands for a disk with its vote and its log, so it may come back as a learner.
            JoinResponse::Removed if listed && !self.raft.is_leader() => {
                info!(target: "raft", "member {me} was removed, is to be taken in again");
            }
            JoinResponse::FoundCluster
                if !listed && self.settings.bootstrap && self.settings.can_vote() =>
            {
                let Some(admin) = self.settings.listeners.admin else {
                    return;
                };
                info!(target: "raft", "founds the cluster");
                let founder = Member { voter: true, ..as_member(&self.settings, admin, me) };
                self.start_over(vec![founder], now);
            }
            _ => {}
        }
    }

    /// With an empty log and a fresh id; the old one is never used again.
    pub(super) fn start_over(&mut self, mut members: Vec<Member>, now: Tick) {
        let me = fresh_id(self.random);
        members.iter_mut().for_each(|m| m.id = me);
        let snapshot = Snapshot { members, ..Snapshot::default() };
        let kept = PersistentState {
            member_id: me,
            term: self.raft.state.term,
            snapshot,
            ..PersistentState::default()
        };
        self.raft = RaftNode::new(kept, false, now, self.random);
        self.raft.message_validator = readable;
        self.raft.unsaved = UnsavedChanges::all();
        self.persister.discard_held();
        self.state_machine = StateMachine::default();
        self.applied = LogIndex(0);
        self.configure(None);
        self.versions.clear();
        self.listing = None;
        self.effects.keep_links(&[]);
        self.joining.clear();
    }

    /// Whether this is the controller that the first seed, having no disk, tells to found the Raft group:
    /// the first by address of those that asked in the first moments.
    pub(super) fn names(&mut self, member: &Member, now: Tick) -> bool {
        let first = self.settings.listeners.admin;
        if self.settings.can_vote()
            || self.settings.founder() != first
            || !self.raft.members().is_empty()
            || !member.can_vote
        {
            return false;
        }
        self.joining.entry(member.id).or_insert_with(|| (member.clone(), now));
        let oldest = self.joining.values().map(|(_, asked)| *asked).min();
        if self.nominated.is_none() && oldest.is_some_and(|t| now.since(t) > NOMINATE_MS) {
            let chosen = self.joining.values().map(|(m, _)| m).min_by_key(|m| m.admin);
            self.nominated = chosen.map(|m| m.id);
        }
        self.nominated == Some(member.id)
    }
}
