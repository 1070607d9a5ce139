//! The Raft core: one member of the group, driven by the messages and timestamps passed in.
//!
//! The controller calls [`RaftNode::step`] for each message that arrives and [`RaftNode::tick`] at
//! the time [`RaftNode::next_tick_at`]. After each call it sends the messages in `outbox` and saves
//! the parts of the state that `unsaved` lists;
//! [`LogPersister`](super::persister::LogPersister) keeps the two in a safe order. The rules of
//! elections, replication and membership are in the sibling modules.
use super::chunked_transfer::{Chunk, ChunkedReceive};
use super::election::{Campaign, LeadershipTransfer, VoteRequest};
use super::follower::{PendingAck, STALE_TERM_RESPONSE};
use super::limits::{
    ELECTION_TIMEOUT_SPREAD_MS, FIRST_TIMEOUT_SPREAD_MS, HEARTBEAT_INTERVAL_MS, LEADER_LEASE_MS,
    LEADERSHIP_TRANSFER_TIMEOUT_MS, MIN_ELECTION_TIMEOUT_MS, NO_VOTE_AFTER_RESTART_MS,
    RESTARTED_LEADER_TIMEOUT_MS,
};
use super::replication::{Progress, WhenUpToDate};
use super::state::{PersistentState, UnsavedChanges};
use super::validation::{MessageValidator, UnreadableMessage};
use crate::base::ids::{LogIndex, MemberId, Term};
use crate::base::time::Tick;
use crate::net::rpc::raft_messages::{Member, RaftMessage, RaftMessageKind};
use std::collections::{BTreeMap, BTreeSet};

/// The role of a member in its current term (the Raft paper, section 5.1).
#[derive(Clone, Debug, PartialEq)]
pub(super) enum RaftRole {
    Follower,
    Candidate {
        campaign: Campaign,
        votes: BTreeSet<MemberId>,
    },
    Leader {
        /// The index of the no-op entry that the leader appended when it was elected.
        no_op_index: LogIndex,
        elected_at: Tick,
    },
}

/// One member of the Raft group. Beyond the basic algorithm it has pre-vote, a leader lease based
/// on quorum responses, leadership transfer, and single-member membership changes.
#[derive(Clone)]
pub struct RaftNode {
    /// The state that this member keeps on disk.
    pub state: PersistentState,
    /// The index of the newest entry known to be committed.
    pub commit_index: LogIndex,
    /// The leader of the current term, if known; this member's own id if it is the leader.
    pub leader: Option<MemberId>,
    pub(super) role: RaftRole,
    /// When the last message from a current leader arrived.
    pub(super) last_leader_contact: Option<Tick>,
    /// When this member starts an election unless it hears from a leader before.
    election_deadline: Tick,
    /// When the leader next sends heartbeats.
    next_heartbeat: Tick,
    /// When the newest read was requested that no heartbeat round was started for yet.
    pub(super) unserved_read: Option<Tick>,
    /// When the last heartbeat round started.
    pub(super) round_started: Tick,
    /// A restarted member grants no votes before this time: see [`NO_VOTE_AFTER_RESTART_MS`].
    pub(super) no_votes_until: Tick,
    /// This member was restarted and had led the newest term it knows. No other member leads that
    /// term, so a short election timeout is enough.
    restarted_as_leader: bool,
    /// The replication progress of each other member, as the leader tracks it.
    pub(super) progress: BTreeMap<MemberId, Progress>,
    /// The match index of each member that this leader has removed, in case it joins again.
    pub(super) removed_match_indexes: BTreeMap<MemberId, LogIndex>,
    /// The newest membership in the log, committed or not.
    pub(super) members: Vec<Member>,
    /// The leadership transfer in progress, if this member is the leader.
    pub(super) leadership_transfer: Option<LeadershipTransfer>,
    /// When this leader last changed the membership, or when it was elected.
    pub(super) members_changed_at: Tick,
    /// Writes to disk fail or stall, so this member should not be the leader.
    pub(crate) storage_failing: bool,
    /// The index up to which the log is on this member's disk.
    pub(super) durable_index: LogIndex,
    /// The acknowledgement that waits until its entries are on disk.
    pub(super) pending_ack: Option<PendingAck>,
    /// The parts of `state` that are not written to disk yet.
    pub unsaved: UnsavedChanges,
    /// Messages to send, each with its receiver.
    pub outbox: Vec<(MemberId, RaftMessage)>,
    /// The source of random numbers for election timeouts.
    random: fn() -> u64,
    /// The time of the last call of `tick`.
    pub(super) clock: Tick,
    /// How many chunked transfers this member has started.
    pub(super) transfers_started: u64,
    /// The message that is currently received in chunks.
    pub(super) incoming: Option<ChunkedReceive>,
    /// The newest frame layout that each other member reads, as stated in its last frame.
    pub(super) peer_layouts: BTreeMap<MemberId, u8>,
    /// Checks whether this program can read a leader's message before any of it is applied.
    pub message_validator: MessageValidator,
    /// Why a leader's message was neither applied nor acknowledged: this program can't read it. The
    /// process has to stop.
    pub unreadable_message: Option<UnreadableMessage>,
}

impl RaftNode {
    /// Creates a follower with this state. `restarted` means that the state was loaded from disk,
    /// so this member may have answered a leader or a candidate recently. `random` supplies the
    /// random part of the election timeouts.
    pub fn new(state: PersistentState, restarted: bool, now: Tick, random: fn() -> u64) -> Self {
        let commit_index = state.snapshot.last_included.index;
        let restarted_as_leader = restarted && state.last_led_term == Some(state.term);
        let withholds_votes = restarted && !restarted_as_leader;
        let no_votes_until = if withholds_votes { now.plus(NO_VOTE_AFTER_RESTART_MS) } else { now };
        let mut raft = Self {
            state,
            commit_index,
            leader: None,
            role: RaftRole::Follower,
            last_leader_contact: None,
            election_deadline: now,
            next_heartbeat: now,
            unserved_read: None,
            round_started: Tick(0),
            no_votes_until,
            restarted_as_leader,
            progress: BTreeMap::new(),
            removed_match_indexes: BTreeMap::new(),
            members: Vec::new(),
            leadership_transfer: None,
            members_changed_at: now,
            storage_failing: false,
            durable_index: LogIndex(0),
            pending_ack: None,
            unsaved: UnsavedChanges::default(),
            outbox: Vec::new(),
            random,
            clock: now,
            transfers_started: 0,
            incoming: None,
            peer_layouts: BTreeMap::new(),
            message_validator: |_| Ok(()),
            unreadable_message: None,
        };
        raft.durable_index = raft.last_position().index;
        raft.reload_members();
        raft.set_first_election_deadline(withholds_votes, now);
        raft
    }

    fn set_first_election_deadline(&mut self, withholds_votes: bool, now: Tick) {
        self.reset_election_timeout(now);
        if withholds_votes {
            let spread = 1 + (self.random)() % FIRST_TIMEOUT_SPREAD_MS;
            self.election_deadline = self.no_votes_until.plus(spread);
        }
        if self.voters() == [self.state.member_id] {
            // No other member can be the leader, so there is none to wait for.
            self.election_deadline = now;
        }
    }

    /// Whether this member was elected leader of its current term. It may act as the leader only
    /// while [`RaftNode::holds_leader_lease`] is true.
    pub fn is_leader(&self) -> bool {
        matches!(self.role, RaftRole::Leader { .. })
    }

    /// Whether no message from a leader has arrived for longer than this duration.
    pub fn leader_silent_longer_than(&self, now: Tick, duration_ms: u64) -> bool {
        self.last_leader_contact.is_none_or(|contact_at| now.since(contact_at) > duration_ms)
    }

    /// Whether this member may act as the only leader: a quorum has answered it within the lease
    /// (the dissertation, section 6.4.1), the first entry of its term is committed, and it is not
    /// transferring its leadership.
    pub fn holds_leader_lease(&self, now: Tick) -> bool {
        let RaftRole::Leader { no_op_index, .. } = self.role else {
            return false;
        };
        self.leadership_transfer.is_none()
            && self.commit_index >= no_op_index
            && self.quorum_answered_within(LEADER_LEASE_MS, now)
    }

    /// When the leader lease expires if no further member answers. `None` if this member does not
    /// hold the lease ([`RaftNode::holds_leader_lease`]).
    pub fn leader_lease_end(&self, now: Tick) -> Option<Tick> {
        if !self.holds_leader_lease(now) {
            return None;
        }
        let answered_at = |id: &MemberId| match *id == self.state.member_id {
            true => now,
            false => self.progress.get(id).map_or(Tick(0), |progress| progress.last_acked),
        };
        let mut answered: Vec<Tick> = self.voters().iter().map(answered_at).collect();
        answered.sort_unstable_by(|a, b| b.cmp(a));
        answered.get(self.quorum() - 1).map(|oldest| oldest.plus(LEADER_LEASE_MS))
    }

    /// Puts a message of the current term into the outbox.
    pub(super) fn send(&mut self, to: MemberId, kind: RaftMessageKind) {
        let message = RaftMessage { from: self.state.member_id, term: self.state.term, kind };
        self.outbox.push((to, message));
    }

    /// Moves to a later term (the Raft paper, section 5.1). Does nothing if `term` is not later.
    pub(super) fn advance_term(&mut self, term: Term) {
        if term > self.state.term {
            self.state.term = term;
            self.state.voted_for = None;
            self.unsaved.hard_state = true;
            self.pending_ack = None;
            self.incoming = None;
            self.restarted_as_leader = false;
        }
    }

    /// Becomes a follower in the current term, under this leader if it is known.
    pub(super) fn become_follower(&mut self, leader: Option<MemberId>, now: Tick) {
        self.role = RaftRole::Follower;
        self.leader = leader;
        self.progress.clear();
        self.removed_match_indexes.clear();
        self.unserved_read = None;
        self.reset_election_timeout(now);
    }

    /// Draws a new random election timeout (the Raft paper, section 5.2).
    pub(super) fn reset_election_timeout(&mut self, now: Tick) {
        let (shortest, spread) = match self.restarted_as_leader {
            true => (RESTARTED_LEADER_TIMEOUT_MS, RESTARTED_LEADER_TIMEOUT_MS),
            false => (MIN_ELECTION_TIMEOUT_MS, ELECTION_TIMEOUT_SPREAD_MS),
        };
        self.election_deadline = now.plus(shortest + (self.random)() % spread);
    }

    /// Runs the time-driven work: heartbeats and the quorum check of a leader, the election timeout
    /// of a follower or candidate.
    pub fn tick(&mut self, now: Tick) {
        self.clock = now;
        match self.role {
            RaftRole::Leader { elected_at, .. } => self.tick_leader(elected_at, now),
            RaftRole::Follower | RaftRole::Candidate { .. } => self.tick_follower(now),
        }
    }

    /// When `tick` has to be called next.
    pub fn next_tick_at(&self) -> Tick {
        match self.is_leader() {
            true => self
                .next_read_round()
                .map_or(self.next_heartbeat, |read_round| read_round.min(self.next_heartbeat)),
            false => self.election_deadline,
        }
    }

    /// Steps down if the quorum is lost (the dissertation, section 6.2) or a leadership transfer
    /// has timed out; otherwise sends the heartbeats that are due.
    fn tick_leader(&mut self, elected_at: Tick, now: Tick) {
        let quorum_timeout_ms = MIN_ELECTION_TIMEOUT_MS + ELECTION_TIMEOUT_SPREAD_MS;
        let quorum_lost = now.since(elected_at) > quorum_timeout_ms
            && !self.quorum_answered_within(quorum_timeout_ms, now);
        // The transfer's target may still start an election, so the leader can't stay in this term.
        let transfer_timed_out = self
            .leadership_transfer
            .is_some_and(|transfer| now.since(transfer.started) > LEADERSHIP_TRANSFER_TIMEOUT_MS);
        if quorum_lost || transfer_timed_out {
            return self.become_follower(None, now);
        }
        if now >= self.next_tick_at() {
            self.start_heartbeat_round(now);
        }
        self.notify_transfer_target(now);
    }

    fn start_heartbeat_round(&mut self, now: Tick) {
        self.next_heartbeat = now.plus(HEARTBEAT_INTERVAL_MS);
        self.round_started = now;
        // A read requested in this millisecond is not confirmed by this round: only messages sent
        // in a later millisecond count for it.
        self.unserved_read = self.unserved_read.filter(|requested_at| *requested_at >= now);
        for id in self.other_members() {
            self.send_append(id, WhenUpToDate::SendHeartbeat, now);
        }
    }

    /// Starts an election if the election timeout has passed without contact to a leader.
    fn tick_follower(&mut self, now: Tick) {
        if now < self.election_deadline {
            return;
        }
        self.reset_election_timeout(now);
        if self.is_voter() && now >= self.no_votes_until && !self.storage_failing {
            self.leader = None;
            self.start_campaign(Campaign::PreVote, now);
        }
    }

    /// Handles a message from another member.
    pub fn step(&mut self, message: RaftMessage, now: Tick) {
        let RaftMessage { from, term, kind } = message;
        if self.is_from_non_member(from, &kind) {
            return;
        }
        if is_sent_by_leader(&kind) && !self.accept_leader(from, term, now) {
            return self.send(from, STALE_TERM_RESPONSE);
        }
        if changes_log(&kind) && self.is_unreadable(&kind) {
            return;
        }
        self.dispatch(from, term, kind, now);
    }

    /// Whether the sender is not a member and the message is of a kind that only members may send.
    /// So a process that was removed or never added is not elected, and its responses don't count.
    /// A process that has no member list yet accepts messages from anyone.
    fn is_from_non_member(&self, from: MemberId, kind: &RaftMessageKind) -> bool {
        let members_only = matches!(
            kind,
            RaftMessageKind::RequestVote { .. }
                | RaftMessageKind::VoteResponse { .. }
                | RaftMessageKind::AppendResponse { .. }
                | RaftMessageKind::ChunkResponse { .. }
        );
        members_only && !self.members.is_empty() && !self.is_member(from)
    }

    /// Calls the handler of the message.
    fn dispatch(&mut self, from: MemberId, term: Term, kind: RaftMessageKind, now: Tick) {
        match kind {
            RaftMessageKind::RequestVote {
                pre_vote,
                leadership_transfer,
                led_previous_term,
                last_log,
            } => {
                // The candidate led the newest term known here and has stepped down, so a vote
                // can't break its lease. Earlier leaders lost their quorum when it was elected.
                let leader_stepped_down = led_previous_term && term > self.state.term;
                let ignores_leader = leadership_transfer || leader_stepped_down;
                let request = VoteRequest { from, term, pre_vote, ignores_leader, last_log };
                self.handle_request_vote(request, now)
            }
            RaftMessageKind::VoteResponse { pre_vote, granted } => {
                self.handle_vote_response(from, term, pre_vote, granted, now)
            }
            RaftMessageKind::AppendEntries { previous, entries, commit_index, sent_at } => {
                self.handle_append_entries(from, previous, entries, commit_index, sent_at)
            }
            RaftMessageKind::AppendResponse { match_index, success, sent_at } => {
                self.handle_append_response(from, term, match_index, success, sent_at, now)
            }
            RaftMessageKind::InstallSnapshot { snapshot, sent_at } => {
                self.handle_install_snapshot(from, snapshot, sent_at)
            }
            RaftMessageKind::TimeoutNow => self.handle_timeout_now(from, term, now),
            RaftMessageKind::Chunk { transfer_id, total_size, offset, bytes, sent_at } => {
                let chunk = Chunk { transfer_id, total_size, offset, bytes, sent_at };
                if let Some(kind) = self.handle_chunk(from, chunk) {
                    self.step(RaftMessage { from, term, kind }, now);
                }
            }
            RaftMessageKind::ChunkResponse { transfer_id, received, sent_at } => {
                if self.is_leader() && term == self.state.term {
                    self.handle_chunk_response(from, transfer_id, received, sent_at, now);
                }
            }
        }
    }
}

/// Whether only the leader of the message's term sends messages of this kind.
fn is_sent_by_leader(kind: &RaftMessageKind) -> bool {
    changes_log(kind) || matches!(kind, RaftMessageKind::Chunk { .. })
}

/// Whether a message of this kind carries log entries or a snapshot.
fn changes_log(kind: &RaftMessageKind) -> bool {
    let appends = matches!(kind, RaftMessageKind::AppendEntries { .. });
    appends || matches!(kind, RaftMessageKind::InstallSnapshot { .. })
}
