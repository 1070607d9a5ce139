//! The consensus core: one member of the Raft group, moved on by messages and a passed-in time.
use crate::base::ids::{LogIndex, MemberId, Term};
use crate::base::time::Tick;
use crate::net::rpc::raft_messages::{
    EntryPayload, JoinResponse, LogEntry, LogPosition, Member, RaftMessage, RaftMessageKind,
    Snapshot,
};
use crate::net::rpc::{FIRST_LAYOUT, PARTS_LAYOUT, pack, unpack};
use crate::state_machine::STATE_LAYOUT;
use serde_bytes::ByteBuf;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

/// How often the leader is heard of when there is nothing to say.
const HEARTBEAT_MS: u64 = 150;

/// A follower that heard its leader within this time helps nobody else to lead.
pub const ELECTION_MIN_MS: u64 = 600;

const ELECTION_SPREAD_MS: u64 = 400;

/// A leader that was restarted asks for votes this often until somebody leads.
const RETURN_MS: u64 = 50;

/// The leader acts alone only while a quorum answered messages it sent within this time. It is
/// less than `ELECTION_MIN_MS`, so no other controller can lead meanwhile.
const QUORUM_FRESH_MS: u64 = 450;

/// Whatever a controller answered a leader before it was restarted counts no more after this, and a
/// leader that is there was heard by then.
const QUIET_MS: u64 = QUORUM_FRESH_MS + 20;

const AFTER_QUIET_MS: u64 = 150;

/// A round of heartbeats for waiting reads that is not answered by then is not waited for: the
/// next may begin.
const ROUND_MS: u64 = 20;

/// The log is folded into a snapshot when it is longer than this, or larger.
const COMPACT_AFTER: usize = 256;

const COMPACT_BYTES: usize = 1 << 20;

/// A member that answered within this is there.
const PRESENT_MS: u64 = 1_000;

/// Asked to lead, another does so within this or not at all.
const HAND_OVER_MS: u64 = 500;

/// After its founding the Raft group waits so long for more controllers before it takes the first order with
/// fewer voters than the loss of so many needs, and so long if there are hardly any.
const YOUNG_MS: u64 = 5_000;

const SPARSE_MS: u64 = 60_000;

/// Entries sent in one message; one at least.
const BATCH: usize = 64;

/// So many bytes of entries, or of one part of something larger, are under way to a member before it
/// has answered: a heartbeat behind them waits no longer than a thin link takes for these.
pub(crate) const FLIGHT_BYTES: usize = 16 << 10;

/// A part that was answered within this is followed by a larger one, up to the most; one that took
/// longer than a thin link takes for the least, by the least.
const PART_SOON_MS: u64 = 40;

const PART_LATE_MS: u64 = 120;

const MOST_PART: usize = 64 << 10;

/// Whatever goes in parts is no larger than this.
const TRANSFER_BYTES: usize = 64 << 20;

const LAYOUTS_KEPT: usize = 64;

/// While a member that is there would need a snapshot for it, the log is not folded before it is so
/// long, or so large.
const KEEP_AFTER: usize = 8_192;

const KEEP_BYTES: usize = 4 << 20;

#[derive(Clone, Debug, PartialEq)]
enum RaftRole {
    LeaderSubscriber,
    Candidate { trial: bool, handover: bool, votes: BTreeSet<MemberId> },
    Leader { opened: LogIndex, since: Tick },
}

/// The answer to a leader of an term that has passed. It tells of no time: the asker may lead
/// this term by now, and may have been started anew since, with another clock.
const OUTDATED: RaftMessageKind =
    RaftMessageKind::AppendResponse { match_index: LogIndex(0), success: false, sent_at: 0 };

#[derive(Clone, Debug)]
struct Progress {
    next: LogIndex,
    matched: LogIndex,
    /// Entries from here up to `next` are under way.
    flying: LogIndex,
    /// Too large for one message, so on its way in parts; nothing else but heartbeats goes meanwhile.
    transfer: Option<ChunkedSend>,
    /// When the newest message that this member answered was sent.
    acked: Tick,
    /// Since when this leader has cared for it.
    since: Tick,
    /// What it is to reach in this round of catching up, and when the round began.
    round: (LogIndex, Tick),
    /// Its last round was short: it keeps up with what comes.
    keeps_up: bool,
}

/// A question about what is current, at the time it came: Raft's ReadIndex.
#[derive(Clone, Debug, PartialEq)]
pub struct ReadIndex {
    term: Term,
    /// All that any leader had acknowledged when it came is at or below this.
    pub index: LogIndex,
    pub requested_at: Tick,
}

impl Progress {
    fn new(next: LogIndex, last: LogIndex, now: Tick) -> Self {
        Self {
            next,
            matched: LogIndex(0),
            flying: next,
            transfer: None,
            acked: Tick(0),
            since: now,
            round: (last, now),
            keeps_up: false,
        }
    }
    /// Goes on from here; whatever was under way has arrived or is lost.
    fn resume_from(&mut self, next: LogIndex) {
        (self.next, self.flying) = (next, next);
    }
}

/// A message on its way to a member in parts, one after the other. It stays as it is, whatever
/// happens to the log meanwhile.
#[derive(Clone, Debug)]
struct ChunkedSend {
    id: u64,
    /// The message, encoded; shared where several members get the same snapshot.
    bytes: Arc<[u8]>,
    /// The snapshot's last entry, if it is one.
    snapshot: Option<LogIndex>,
    /// The first entry after it.
    then: LogIndex,
    /// Answered up to here; the part from here on, so large, was sent then.
    offset: usize,
    part: usize,
    sent: Tick,
}

/// A message that arrives in parts, bounded by `TRANSFER_BYTES`.
#[derive(Clone)]
struct ChunkedReceive {
    leader: MemberId,
    term: Term,
    transfer: u64,
    size: usize,
    upto: usize,
    bytes: Vec<u8>,
}

/// Whether this program can read what a leader's message holds.
pub type MessageValidator = fn(&RaftMessageKind) -> Result<(), String>;

/// What differs from the disk.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct UnsavedChanges {
    pub hard_state: bool,
    pub log_from: Option<LogIndex>,
    pub snapshot: bool,
}

impl UnsavedChanges {
    pub fn all() -> Self {
        Self { hard_state: true, log_from: Some(LogIndex(0)), snapshot: true }
    }
    fn mark_log(&mut self, from: LogIndex) {
        self.log_from = Some(self.log_from.map_or(from, |old| old.min(from)));
    }
    pub(crate) fn add(&mut self, other: UnsavedChanges) {
        self.hard_state |= other.hard_state;
        self.snapshot |= other.snapshot;
        if let Some(from) = other.log_from {
            self.mark_log(from);
        }
    }
}

/// What a controller keeps on disk.
#[derive(Clone, Debug, Default)]
pub struct PersistentState {
    pub member_id: MemberId,
    pub term: Term,
    pub voted_for: Option<MemberId>,
    /// The last term that this controller led.
    pub last_led_term: Option<Term>,
    pub log: Vec<LogEntry>,
    pub snapshot: Snapshot,
}

/// The list of members, if that is what an entry holds.
pub(crate) fn listed(entry: &LogEntry) -> Option<&Vec<Member>> {
    match &entry.payload {
        EntryPayload::Membership(members) => Some(members),
        _ => None,
    }
}

/// About how many bytes an entry takes.
fn size(entry: &LogEntry) -> usize {
    match &entry.payload {
        EntryPayload::Command(bytes) => 32 + bytes.len(),
        _ => 512,
    }
}

/// The set of controllers, seen from one of them: Raft with trial votes, a quorum check, hand-over
/// and one change of members at a time.
#[derive(Clone)]
pub struct RaftNode {
    pub state: PersistentState,
    pub commit_index: LogIndex,
    pub leader: Option<MemberId>,
    role: RaftRole,
    heard: Option<Tick>,
    deadline: Tick,
    next_beat: Tick,
    /// When the newest read came that no round of heartbeats was begun for yet.
    uncovered: Option<Tick>,
    /// When the last round began.
    round: Tick,
    /// After a restart nothing is known of what the leader was last told, so no vote is given yet.
    quiet_until: Tick,
    /// Just started, and it had led the newest term it knows: nobody waits for that leader.
    returning: bool,
    peers: BTreeMap<MemberId, Progress>,
    /// What those held that this leader has removed.
    removed: BTreeMap<MemberId, LogIndex>,
    /// The newest list of members in the log, committed or not.
    members: Vec<Member>,
    /// Since when another was asked to take over; nothing is granted from then on.
    leaving: Option<Tick>,
    /// That other one has been asked; before, none was there that holds enough.
    asked: bool,
    /// Since when this leader knows the list of members as it is.
    relisted: Tick,
    /// The disk is in trouble: this controller does not lead.
    pub(crate) storage_failing: bool,
    /// Everything up to here is on this controller's disk.
    durable: LogIndex,
    /// An acknowledgement that waits for the disk: to whom, up to where, and the message's time.
    owed: Option<(MemberId, LogIndex, u64)>,
    pub unsaved: UnsavedChanges,
    pub outbox: Vec<(MemberId, RaftMessage)>,
    spread: fn() -> u64,
    /// The newest time that was passed in.
    clock: Tick,
    /// Transfers begun by this one, and the one under way to it.
    transfers: u64,
    arriving: Option<ChunkedReceive>,
    /// The layouts that other members read, as their newest frames say.
    layouts: BTreeMap<MemberId, u8>,
    /// Looks at what a leader sends before any of it is taken.
    pub message_validator: MessageValidator,
    /// The leader has something that this program can't read: it was neither taken nor acknowledged,
    /// and there is no going on.
    pub unreadable_message: Option<String>,
}

impl RaftNode {
    pub fn new(kept: PersistentState, restarted: bool, now: Tick, spread: fn() -> u64) -> Self {
        let commit = kept.snapshot.last_included.index;
        let returning = restarted && kept.last_led_term == Some(kept.term);
        let quiet = restarted && !returning;
        let mut raft = Self {
            state: kept,
            commit_index: commit,
            leader: None,
            role: RaftRole::LeaderSubscriber,
            heard: None,
            deadline: now,
            next_beat: now,
            uncovered: None,
            round: Tick(0),
            quiet_until: if quiet { now.plus(QUIET_MS) } else { now },
            returning,
            peers: BTreeMap::new(),
            removed: BTreeMap::new(),
            members: Vec::new(),
            leaving: None,
            asked: false,
            relisted: now,
            storage_failing: false,
            durable: LogIndex(0),
            owed: None,
            unsaved: UnsavedChanges::default(),
            outbox: Vec::new(),
            spread,
            clock: now,
            transfers: 0,
            arriving: None,
            layouts: BTreeMap::new(),
            message_validator: |_| Ok(()),
            unreadable_message: None,
        };
        raft.durable = raft.last_position().index;
        raft.reload_members();
        raft.reset_election_timeout(now);
        if quiet {
            raft.deadline = raft.quiet_until.plus(1 + spread() % AFTER_QUIET_MS);
        }
        if raft.voters() == [raft.state.member_id] {
            // Nobody else can lead, so there is nobody to wait for.
            raft.deadline = now;
        }
        raft
    }

    pub fn last_position(&self) -> LogPosition {
        self.state.log.last().map_or(self.state.snapshot.last_included, |e| e.position())
    }
    fn term_at(&self, index: LogIndex) -> Option<Term> {
        let base = self.state.snapshot.last_included;
        if index == base.index {
            return Some(base.term);
        }
        self.offset_of(index).map(|at| self.state.log[at].term)
    }
    fn offset_of(&self, index: LogIndex) -> Option<usize> {
        let at = index.0.checked_sub(self.state.snapshot.last_included.index.0 + 1)? as usize;
        (at < self.state.log.len()).then_some(at)
    }
    pub fn members(&self) -> &[Member] {
        &self.members
    }
    fn reload_members(&mut self) {
        let newest = self.state.log.iter().rev().find_map(listed);
        self.members = newest.unwrap_or(&self.state.snapshot.members).clone();
    }
    fn members_pending(&self) -> bool {
        self.state.log.iter().any(|e| e.index > self.commit_index && listed(e).is_some())
    }
    pub(crate) fn voters(&self) -> Vec<MemberId> {
        self.members().iter().filter(|m| m.voter).map(|m| m.id).collect()
    }
    fn is_voter(&self) -> bool {
        self.voters().contains(&self.state.member_id)
    }
    pub fn is_leader(&self) -> bool {
        matches!(self.role, RaftRole::Leader { .. })
    }
    fn quorum(&self) -> usize {
        self.voters().len() / 2 + 1
    }
    fn reset_election_timeout(&mut self, now: Tick) {
        let (least, spread) = match self.returning {
            true => (RETURN_MS, RETURN_MS),
            false => (ELECTION_MIN_MS, ELECTION_SPREAD_MS),
        };
        self.deadline = now.plus(least + (self.spread)() % spread);
    }

    /// Whether no leader was heard for so long.
    pub fn leader_silent_longer_than(&self, now: Tick, for_ms: u64) -> bool {
        self.heard.is_none_or(|t| now.since(t) > for_ms)
    }
    /// True while this controller may act as the only leader: a quorum is with it, its first entry
    /// is committed, and it has not asked another to take over.
    pub fn holds_leader_lease(&self, now: Tick) -> bool {
        let RaftRole::Leader { opened, .. } = self.role else {
            return false;
        };
        self.leaving.is_none()
            && self.commit_index >= opened
            && self.quorum_answered_within(now, QUORUM_FRESH_MS)
    }
    fn quorum_answered_within(&self, now: Tick, within: u64) -> bool {
        self.quorum_answered(|sent| now.since(sent) < within)
    }
    /// Whether a quorum answered messages that were sent when `counts` says.
    fn quorum_answered(&self, counts: impl Fn(Tick) -> bool) -> bool {
        let count = self
            .voters()
            .iter()
            .filter(|id| {
                **id == self.state.member_id || self.peers.get(id).is_some_and(|p| counts(p.acked))
            })
            .count();
        count >= self.quorum()
    }

    /// Takes in a question about what is current; `None` if this controller can't know. A round of
    /// heartbeats is begun for it: see `tick`.
    pub fn read_index(&mut self, now: Tick) -> Option<ReadIndex> {
        let RaftRole::Leader { opened, .. } = self.role else {
            return None;
        };
        if self.commit_index < opened {
            return None;
        }
        let read = ReadIndex { term: self.state.term, index: self.commit_index, requested_at: now };
        if self.read_confirmation(&read) != Some(true) {
            self.uncovered = Some(now);
        }
        Some(read)
    }
    /// Whether this controller still led after the question came: a quorum answered, in its term,
    /// what was sent later. `None` while that is open, `Some(false)` if it will never be known.
    pub fn read_confirmation(&self, read: &ReadIndex) -> Option<bool> {
        if !self.is_leader() || self.state.term != read.term {
            return Some(false);
        }
        // In the same millisecond it may have been sent before the question came.
        self.quorum_answered(|sent| sent > read.requested_at).then_some(true)
    }
    /// When a round is to begin for the reads that wait for one. One that is under way is waited
    /// for: all that come meanwhile share the next.
    fn next_read_round(&self) -> Option<Tick> {
        let next = self.uncovered?.plus(1);
        let free = self.quorum_answered(|sent| sent >= self.round);
        Some(if free { next } else { next.max(self.round.plus(ROUND_MS)) })
    }

    fn send(&mut self, to: MemberId, kind: RaftMessageKind) {
        let message = RaftMessage { from: self.state.member_id, term: self.state.term, kind };
        self.outbox.push((to, message));
    }
    fn other_members(&self) -> Vec<MemberId> {
        self.members().iter().map(|m| m.id).filter(|id| *id != self.state.member_id).collect()
    }
    fn advance_term(&mut self, term: Term) {
        if term > self.state.term {
            self.state.term = term;
            self.state.voted_for = None;
            self.unsaved.hard_state = true;
            self.owed = None;
            self.arriving = None;
            self.returning = false;
        }
    }
    fn become_follower(&mut self, leader: Option<MemberId>, now: Tick) {
        self.role = RaftRole::LeaderSubscriber;
        self.leader = leader;
        self.peers.clear();
        self.removed.clear();
        self.uncovered = None;
        self.reset_election_timeout(now);
    }

    pub fn tick(&mut self, now: Tick) {
        self.clock = now;
        match &self.role {
            RaftRole::Leader { since, .. } => {
                let patience = ELECTION_MIN_MS + ELECTION_SPREAD_MS;
                let deserted =
                    now.since(*since) > patience && !self.quorum_answered_within(now, patience);
                // Whoever was asked to take over may do so no more: it would be in this term.
                let declined = self.leaving.is_some_and(|t| now.since(t) > HAND_OVER_MS);
                if deserted || declined {
                    return self.become_follower(None, now);
                }
                if now >= self.next_tick_at() {
                    self.next_beat = now.plus(HEARTBEAT_MS);
                    self.round = now;
                    self.uncovered = self.uncovered.filter(|asked| *asked >= now);
                    for id in self.other_members() {
                        self.send_append(id, true, now);
                    }
                }
                self.try_leadership_transfer(now);
            }
            _ if now >= self.deadline => {
                self.reset_election_timeout(now);
                if self.is_voter() && now >= self.quiet_until && !self.storage_failing {
                    self.leader = None;
                    self.campaign(true, false, now);
                }
            }
            _ => {}
        }
    }
    /// When `tick` next has something to do.
    pub fn next_tick_at(&self) -> Tick {
        match self.is_leader() {
            true => {
                self.next_read_round().map_or(self.next_beat, |round| round.min(self.next_beat))
            }
            false => self.deadline,
        }
    }

    fn campaign(&mut self, trial: bool, handover: bool, now: Tick) {
        let term = Term(self.state.term.0 + 1);
        if !trial {
            self.advance_term(term);
            self.state.voted_for = Some(self.state.member_id);
            self.unsaved.hard_state = true;
        }
        let votes = BTreeSet::from([self.state.member_id]);
        self.role = RaftRole::Candidate { trial, handover, votes };
        self.reset_election_timeout(now);
        let last = self.last_position();
        // True only for one that does not lead any more, since a leader never asks.
        let led = self.state.last_led_term.is_some_and(|l| l.0 + 1 == term.0);
        for id in self.voters() {
            if id != self.state.member_id {
                let kind = RaftMessageKind::RequestVote {
                    pre_vote: trial,
                    leadership_transfer: handover,
                    led_previous_term: led,
                    last_log: last,
                };
                self.outbox.push((id, RaftMessage { from: self.state.member_id, term, kind }));
            }
        }
        self.count_votes(now);
    }
    fn count_votes(&mut self, now: Tick) {
        let RaftRole::Candidate { trial, handover, votes } = &self.role else {
            return;
        };
        let (trial, handover) = (*trial, *handover);
        if self.voters().iter().filter(|id| votes.contains(id)).count() < self.quorum() {
            return;
        }
        if trial {
            return self.campaign(false, handover, now);
        }
        let opened = LogIndex(self.last_position().index.0 + 1);
        self.role = RaftRole::Leader { opened, since: now };
        self.leader = Some(self.state.member_id);
        self.state.last_led_term = Some(self.state.term);
        self.unsaved.hard_state = true;
        self.leaving = None;
        self.relisted = now;
        self.peers = self
            .other_members()
            .into_iter()
            .map(|id| (id, Progress::new(opened, opened, now)))
            .collect();
        self.append_entry(EntryPayload::NoOp, now);
    }

    /// Appends to the log if this controller leads; tells where.
    pub fn propose(&mut self, body: EntryPayload, now: Tick) -> Option<LogIndex> {
        if !self.is_leader() || self.leaving.is_some() {
            return None;
        }
        Some(self.append_entry(body, now))
    }
    fn append_entry(&mut self, body: EntryPayload, now: Tick) -> LogIndex {
        let index = LogIndex(self.last_position().index.0 + 1);
        if let EntryPayload::Membership(members) = &body {
            self.members = members.clone();
            self.relisted = now;
        }
        self.state.log.push(LogEntry { term: self.state.term, index, payload: body });
        self.unsaved.mark_log(index);
        let others = self.other_members();
        let gone = self.peers.iter().filter(|(id, _)| !others.contains(id));
        self.removed.extend(gone.map(|(id, p)| (*id, p.matched)));
        self.peers.retain(|id, _| others.contains(id));
        for id in others {
            // A new member starts from the beginning: without a list it can't say what it lacks.
            // One that is taken in again goes on where it was.
            let held = self.removed.remove(&id).unwrap_or_default();
            let next = LogIndex(held.0 + 1);
            self.peers.entry(id).or_insert_with(|| Progress::new(next, index, now));
            self.send_append(id, false, now);
        }
        index
    }
    /// What a member's newest frame says of the layout it reads.
    pub fn record_peer_layout(&mut self, id: MemberId, layout: u8) {
        // Ids of what never was a member are forgotten again.
        if self.layouts.len() > LAYOUTS_KEPT {
            self.layouts.retain(|id, _| self.members.iter().any(|m| m.id == *id));
        }
        self.layouts.insert(id, layout);
        if layout < PARTS_LAYOUT
            && let Some(progress) = self.peers.get_mut(&id)
            && progress.transfer.take().is_some()
        {
            // It went back to the program before, which can't read parts.
            progress.resume_from(LogIndex(progress.matched.0 + 1));
        }
    }

    /// Whether no other member is known not to read this layout. One that has not been heard of is
    /// taken for dark rather than old: what waits for this keeps failovers from going on.
    pub fn all_peers_read_layout(&self, layout: u8) -> bool {
        self.other_members().iter().all(|id| self.layouts.get(id).is_none_or(|l| *l >= layout))
    }

    /// Sends a member what it lacks, as far as it may be under way at once; a heartbeat goes in any
    /// case.
    fn send_append(&mut self, id: MemberId, heartbeat: bool, now: Tick) {
        let (base, sent, commit) = (self.state.snapshot.last_included, now.0, self.commit_index);
        let Some(progress) = self.peers.get_mut(&id) else {
            return;
        };
        let layout = self.layouts.get(&id).copied();
        let parts = layout.is_some_and(|l| l >= PARTS_LAYOUT);
        if progress.transfer.as_ref().is_some_and(|t| t.then <= base.index) {
            // The log has been folded over what comes after it: a newer snapshot is needed anyway.
            progress.transfer = None;
            progress.next = LogIndex(1);
        }
        // The beginning of all logs is agreed on by everybody.
        let previous = LogPosition::default();
        let only_heartbeat = RaftMessageKind::AppendEntries {
            previous,
            entries: Vec::new(),
            commit_index: commit,
            sent_at: sent,
        };
        if progress.transfer.is_some() {
            if heartbeat {
                self.send(id, only_heartbeat);
            }
            return;
        }
        if progress.next <= base.index {
            // Of an older program it is not known what it would do with a state that it can't read:
            // it gets what is in the log, and this once it is exchanged.
            let newer = self.state.snapshot.state.first() == Some(&STATE_LAYOUT);
            match layout {
                // Its answer says first how it can be sent.
                None => return self.send(id, only_heartbeat),
                Some(layout) if newer && layout < STATE_LAYOUT => {
                    if heartbeat {
                        self.send(id, only_heartbeat);
                    }
                    return;
                }
                Some(_) => {}
            }
            progress.resume_from(LogIndex(base.index.0 + 1));
            let snapshot = self.state.snapshot.clone();
            let kind = RaftMessageKind::InstallSnapshot { snapshot, sent_at: sent };
            return match parts {
                true => self.start_chunked_send(id, &kind, Some(base.index), now),
                false => self.send(id, kind),
            };
        }
        let (next, flying) = (progress.next, progress.flying);
        let before = LogIndex(next.0 - 1);
        let Some(term) = self.term_at(before) else {
            return;
        };
        let at = |index: LogIndex| (index.0.saturating_sub(base.index.0 + 1)) as usize;
        let under_way = self.state.log.get(at(flying)..at(next)).unwrap_or_default();
        let taken: usize = under_way.iter().map(size).sum();
        let mut room = FLIGHT_BYTES.saturating_sub(taken);
        // One goes by itself, however large it is.
        let mut first = under_way.is_empty();
        let fits = |e: &&LogEntry| {
            let goes = std::mem::take(&mut first) || size(e) <= room;
            room = room.saturating_sub(size(e));
            goes
        };
        let waiting = self.state.log.iter().skip(at(next)).take(BATCH);
        let entries: Vec<LogEntry> = waiting.take_while(fits).cloned().collect();
        if entries.is_empty() && !heartbeat {
            return;
        }
        let next = LogIndex(next.0 + entries.len() as u64);
        let large = entries.iter().map(size).sum::<usize>() > FLIGHT_BYTES;
        if large && layout.is_none() {
            return self.send(id, only_heartbeat);
        }
        let kind = RaftMessageKind::AppendEntries {
            previous: LogPosition { term, index: before },
            entries,
            commit_index: commit,
            sent_at: sent,
        };
        if let Some(progress) = self.peers.get_mut(&id) {
            progress.next = next;
        }
        match large && parts {
            true => self.start_chunked_send(id, &kind, None, now),
            false => self.send(id, kind),
        }
    }
    fn start_chunked_send(
        &mut self,
        id: MemberId,
        kind: &RaftMessageKind,
        snapshot: Option<LogIndex>,
        now: Tick,
    ) {
        let mut others = self.peers.values().filter_map(|p| p.transfer.as_ref());
        let same = others.find(|t| snapshot.is_some() && t.snapshot == snapshot);
        let bytes = same.map_or_else(|| pack(kind).into(), |t| Arc::clone(&t.bytes));
        self.transfers += 1;
        let transfer = self.transfers;
        if let Some(progress) = self.peers.get_mut(&id) {
            let then = progress.next;
            let (offset, part) = (0, FLIGHT_BYTES);
            let begun =
                ChunkedSend { id: transfer, bytes, snapshot, then, offset, part, sent: now };
            progress.transfer = Some(begun);
        }
        self.send_chunk(id, now);
    }
    fn send_chunk(&mut self, id: MemberId, now: Tick) {
        let Some(transfer) = self.peers.get_mut(&id).and_then(|p| p.transfer.as_mut()) else {
            return;
        };
        transfer.sent = now;
        let (from, size) = (transfer.offset, transfer.bytes.len());
        let part = &transfer.bytes[from..size.min(from + transfer.part)];
        let kind = RaftMessageKind::Chunk {
            transfer_id: transfer.id,
            total_size: size as u64,
            offset: from as u64,
            bytes: ByteBuf::from(part),
            sent_at: now.0,
        };
        self.send(id, kind);
    }
    /// The next part, once the member has answered the one before; then the entries after it.
    fn handle_chunk_response(
        &mut self,
        id: MemberId,
        transfer: u64,
        upto: u64,
        sent: u64,
        now: Tick,
    ) {
        let Some(progress) = self.peers.get_mut(&id) else {
            return;
        };
        progress.acked = progress.acked.max(Tick(sent));
        let current = progress.transfer.as_mut().filter(|t| t.id == transfer);
        // Only the newest part's answer counts; the one before may have been sent twice.
        let Some(under_way) = current.filter(|t| t.sent <= Tick(sent)) else {
            return;
        };
        if upto < under_way.bytes.len() as u64 {
            under_way.offset = upto as usize;
            let part = match now.since(under_way.sent) {
                0..PART_SOON_MS => under_way.part * 2,
                PART_LATE_MS.. => FLIGHT_BYTES,
                _ => under_way.part,
            };
            under_way.part = part.min(MOST_PART);
            return self.send_chunk(id, now);
        }
        let then = under_way.then;
        progress.transfer = None;
        progress.resume_from(then);
        self.send_append(id, false, now);
    }
    /// Gathers the parts of a message, and gives it once it is whole.
    fn receive_chunk(
        &mut self,
        from: MemberId,
        (transfer, size, offset): (u64, u64, u64),
        bytes: &[u8],
        sent: u64,
    ) -> Option<RaftMessageKind> {
        let term = self.state.term;
        let same = |a: &ChunkedReceive| (a.leader, a.term, a.transfer) == (from, term, transfer);
        if !self.arriving.as_ref().is_some_and(same) {
            let size = usize::try_from(size).ok().filter(|s| *s <= TRANSFER_BYTES)?;
            let bytes = Vec::new();
            self.arriving =
                Some(ChunkedReceive { leader: from, term, transfer, size, upto: 0, bytes });
        }
        let arriving = self.arriving.as_mut()?;
        let fits = arriving.upto as u64 == offset && arriving.upto + bytes.len() <= arriving.size;
        if fits {
            arriving.bytes.extend_from_slice(bytes);
            arriving.upto += bytes.len();
        }
        let upto = arriving.upto as u64;
        // Known to be taken from here on, but not kept any longer.
        let whole =
            (fits && arriving.upto == arriving.size).then(|| std::mem::take(&mut arriving.bytes));
        self.send(
            from,
            RaftMessageKind::ChunkResponse { transfer_id: transfer, received: upto, sent_at: sent },
        );
        match unpack::<RaftMessageKind>(&whole?) {
            Ok(
                kind @ (RaftMessageKind::AppendEntries { .. }
                | RaftMessageKind::InstallSnapshot { .. }),
            ) => Some(kind),
            Ok(_) => None,
            Err(e) => {
                self.unreadable_message = Some(format!("the leader's message can't be read: {e}"));
                None
            }
        }
    }

    pub fn step(&mut self, message: RaftMessage, now: Tick) {
        let RaftMessage { from, term, kind } = message;
        match kind {
            // One that was removed, or was never taken in, can't be elected by those who know it, nor
            // do its answers say anything.
            RaftMessageKind::RequestVote { .. }
            | RaftMessageKind::VoteResponse { .. }
            | RaftMessageKind::AppendResponse { .. }
            | RaftMessageKind::ChunkResponse { .. }
                if !self.members.is_empty() && !self.members.iter().any(|m| m.id == from) => {}
            RaftMessageKind::RequestVote {
                pre_vote: trial,
                leadership_transfer: handover,
                led_previous_term: led,
                last_log: last,
            } => {
                // One that led the newest term known here leads no more: there is nobody left
                // that a vote could harm. Leaders before it lost their quorum when it won.
                let free = handover || (led && term > self.state.term);
                self.handle_request_vote(from, term, trial, free, last, now)
            }
            RaftMessageKind::VoteResponse { pre_vote: trial, granted } => {
                if !granted && term > self.state.term {
                    self.advance_term(term);
                    return self.become_follower(None, now);
                }
                let asked_for = self.state.term.0 + u64::from(trial);
                if let RaftRole::Candidate { trial: mine, votes, .. } = &mut self.role
                    && *mine == trial
                    && granted
                    && term.0 == asked_for
                {
                    votes.insert(from);
                    self.count_votes(now);
                }
            }
            RaftMessageKind::AppendEntries {
                previous,
                entries,
                commit_index: commit,
                sent_at: sent,
            } => {
                if !self.accept_leader(from, term, now) {
                    return self.send(from, OUTDATED);
                }
                let heartbeat = entries.is_empty();
                let kind = RaftMessageKind::AppendEntries {
                    previous,
                    entries,
                    commit_index: commit,
                    sent_at: sent,
                };
                if self.is_unreadable(&kind) {
                    return;
                }
                let RaftMessageKind::AppendEntries { entries, .. } = kind else { return };
                let (ok, upto) = self.append_to_log(previous, entries);
                if ok {
                    self.commit_index = self.commit_index.max(commit.min(upto));
                    self.acknowledge(from, upto, sent, heartbeat);
                } else {
                    self.send(
                        from,
                        RaftMessageKind::AppendResponse {
                            match_index: upto,
                            success: ok,
                            sent_at: sent,
                        },
                    );
                }
            }
            RaftMessageKind::InstallSnapshot { snapshot, sent_at: sent } => {
                if !self.accept_leader(from, term, now) {
                    return self.send(from, OUTDATED);
                }
                let upto = snapshot.last_included.index;
                let kind = RaftMessageKind::InstallSnapshot { snapshot, sent_at: sent };
                if self.is_unreadable(&kind) {
                    return;
                }
                let RaftMessageKind::InstallSnapshot { snapshot, .. } = kind else { return };
                if upto > self.commit_index {
                    if self.term_at(upto) == Some(snapshot.last_included.term) {
                        self.state.log.retain(|e| e.index > upto);
                    } else {
                        self.state.log.clear();
                    }
                    self.state.snapshot = snapshot;
                    self.commit_index = upto;
                    self.durable = LogIndex(0);
                    self.reload_members();
                    self.unsaved.snapshot = true;
                    self.unsaved.mark_log(LogIndex(0));
                }
                self.acknowledge(from, upto, sent, false);
            }
            RaftMessageKind::AppendResponse { match_index: upto, success: ok, sent_at: sent } => {
                if term > self.state.term {
                    self.advance_term(term);
                    return self.become_follower(None, now);
                }
                if !self.is_leader() || term < self.state.term {
                    return;
                }
                self.layouts.entry(from).or_insert(FIRST_LAYOUT);
                let last = self.last_position().index;
                let Some(progress) = self.peers.get_mut(&from) else {
                    return;
                };
                // A time to come is another life's clock.
                if Tick(sent) <= now {
                    progress.acked = progress.acked.max(Tick(sent));
                }
                if let Some(transfer) = &mut progress.transfer {
                    // It came later and was answered first: the part before it is lost, perhaps as
                    // there is less room on the way than there was.
                    let lost = Tick(sent) > transfer.sent;
                    if lost {
                        transfer.part = FLIGHT_BYTES;
                    }
                    if ok {
                        progress.matched = progress.matched.max(upto);
                        self.advance_commit_index();
                    }
                    if lost {
                        self.send_chunk(from, now);
                    }
                } else if ok {
                    progress.matched = progress.matched.max(upto);
                    let after = LogIndex(progress.matched.0 + 1);
                    progress.next = progress.next.max(after);
                    progress.flying = progress.flying.max(after);
                    let (goal, began) = progress.round;
                    if progress.matched >= goal {
                        progress.keeps_up = now.since(began) < ELECTION_MIN_MS;
                        progress.round = (last, now);
                    }
                    let behind = progress.next <= last;
                    self.advance_commit_index();
                    if behind {
                        self.send_append(from, false, now);
                    }
                    self.try_leadership_transfer(now);
                } else {
                    progress.resume_from(LogIndex(progress.matched.max(upto).0 + 1));
                    self.send_append(from, true, now);
                }
            }
            RaftMessageKind::Chunk {
                transfer_id: transfer,
                total_size: size,
                offset,
                bytes,
                sent_at: sent,
            } => {
                if !self.accept_leader(from, term, now) {
                    return self.send(from, OUTDATED);
                }
                let place = (transfer, size, offset);
                if let Some(kind) = self.receive_chunk(from, place, &bytes, sent) {
                    self.step(RaftMessage { from, term, kind }, now);
                }
            }
            RaftMessageKind::ChunkResponse {
                transfer_id: transfer,
                received: upto,
                sent_at: sent,
            } => {
                if self.is_leader() && term == self.state.term {
                    self.handle_chunk_response(from, transfer, upto, sent, now);
                }
            }
            RaftMessageKind::TimeoutNow => {
                let mine = term == self.state.term && self.leader == Some(from);
                if mine && self.is_voter() && !self.storage_failing {
                    self.campaign(false, true, now);
                }
            }
        }
    }

    /// Whether a leader's message holds what this program can't read. Looked at before any of it is
    /// taken, so that the state on disk stays one that it can.
    fn is_unreadable(&mut self, kind: &RaftMessageKind) -> bool {
        if let Err(why) = (self.message_validator)(kind) {
            self.unreadable_message = Some(why);
        }
        self.unreadable_message.is_some()
    }

    /// Only what is on disk is acknowledged. New entries wait for it; a heartbeat is answered at
    /// once with what there is, as a disk that stalls does not make this controller dead.
    fn acknowledge(&mut self, leader: MemberId, upto: LogIndex, sent: u64, heartbeat: bool) {
        if upto > self.durable {
            self.owed = Some((leader, upto, sent));
            if !heartbeat {
                return;
            }
        }
        let upto = upto.min(self.durable);
        self.send(
            leader,
            RaftMessageKind::AppendResponse { match_index: upto, success: true, sent_at: sent },
        );
    }
    /// The disk has everything up to this entry, if it is still the one in the log.
    pub fn log_persisted(&mut self, last: LogPosition) {
        if self.term_at(last.index) == Some(last.term) {
            self.durable = self.durable.max(last.index);
        }
        self.advance_commit_index();
        if let Some((leader, upto, sent)) = self.owed
            && self.leader == Some(leader)
        {
            if upto <= self.durable {
                self.owed = None;
            }
            let upto = upto.min(self.durable);
            self.send(
                leader,
                RaftMessageKind::AppendResponse { match_index: upto, success: true, sent_at: sent },
            );
        }
    }
    /// While the disk is in trouble, another should lead.
    pub fn set_storage_failing(&mut self, ailing: bool, now: Tick) {
        self.storage_failing = ailing;
        if ailing {
            self.transfer_leadership(now);
        }
    }

    /// Accepts the sender as leader of its term, unless that term has passed.
    fn accept_leader(&mut self, from: MemberId, term: Term, now: Tick) -> bool {
        if term < self.state.term {
            return false;
        }
        self.advance_term(term);
        self.become_follower(Some(from), now);
        self.heard = Some(now);
        true
    }

    fn handle_request_vote(
        &mut self,
        from: MemberId,
        term: Term,
        trial: bool,
        free: bool,
        last: LogPosition,
        now: Tick,
    ) {
        let followed = self.heard.is_some_and(|t| now.since(t) < ELECTION_MIN_MS)
            || (self.is_leader() && self.quorum_answered_within(now, ELECTION_MIN_MS));
        if (followed || now < self.quiet_until) && !free {
            return;
        }
        if term < self.state.term || (trial && term <= self.state.term) {
            return self
                .send(from, RaftMessageKind::VoteResponse { pre_vote: trial, granted: false });
        }
        let current = last >= self.last_position();
        if trial {
            if current {
                let kind = RaftMessageKind::VoteResponse { pre_vote: trial, granted: true };
                self.outbox.push((from, RaftMessage { from: self.state.member_id, term, kind }));
            } else {
                self.send(from, RaftMessageKind::VoteResponse { pre_vote: trial, granted: false });
            }
            return;
        }
        if term > self.state.term {
            self.advance_term(term);
            self.become_follower(None, now);
        }
        let free = self.state.voted_for.is_none_or(|v| v == from);
        let granted = current && free && self.leader.is_none();
        if granted {
            self.state.voted_for = Some(from);
            self.unsaved.hard_state = true;
            self.reset_election_timeout(now);
        }
        self.send(from, RaftMessageKind::VoteResponse { pre_vote: trial, granted });
    }

    fn append_to_log(&mut self, previous: LogPosition, entries: Vec<LogEntry>) -> (bool, LogIndex) {
        let base = self.state.snapshot.last_included.index;
        let agreed = previous.index < base || self.term_at(previous.index) == Some(previous.term);
        if !agreed {
            let hint = LogIndex(previous.index.0.saturating_sub(1))
                .min(self.last_position().index)
                .max(self.commit_index);
            return (false, hint);
        }
        let upto = LogIndex(previous.index.0 + entries.len() as u64);
        let mut relisted = false;
        for entry in entries {
            if entry.index <= base {
                continue;
            }
            match self.term_at(entry.index) {
                Some(term) if term == entry.term => continue,
                Some(_) => {
                    let keep = (entry.index.0 - base.0 - 1) as usize;
                    relisted = true;
                    self.state.log.truncate(keep);
                    self.durable = self.durable.min(LogIndex(entry.index.0 - 1));
                }
                None => {}
            }
            self.unsaved.mark_log(entry.index);
            relisted |= listed(&entry).is_some();
            self.state.log.push(entry);
        }
        if relisted {
            self.reload_members();
        }
        (true, upto.max(base))
    }

    /// Commits what a quorum has on disk; the leader's own copy counts like any other.
    fn advance_commit_index(&mut self) {
        if !self.is_leader() {
            return;
        }
        let mut reached: Vec<LogIndex> = self
            .voters()
            .iter()
            .map(|id| {
                if *id == self.state.member_id {
                    self.durable
                } else {
                    self.peers.get(id).map_or(LogIndex(0), |p| p.matched)
                }
            })
            .collect();
        reached.sort_unstable_by(|a, b| b.cmp(a));
        let Some(agreed) = reached.get(self.quorum() - 1).copied() else {
            return;
        };
        // Only entries of the own term are committed by counting.
        if agreed > self.commit_index && self.term_at(agreed) == Some(self.state.term) {
            self.commit_index = agreed;
        }
    }

    /// Committed entries after `applied`.
    pub fn committed_entries_after(&self, applied: LogIndex) -> Vec<LogEntry> {
        self.state
            .log
            .iter()
            .filter(|e| e.index > applied && e.index <= self.commit_index)
            .cloned()
            .collect()
    }

    /// Folds everything up to `applied` into a snapshot when the log has grown long.
    pub fn compact_log(&mut self, applied: LogIndex, state: impl FnOnce() -> Vec<u8>) {
        let Some(at) = self.offset_of(applied) else {
            return;
        };
        let bytes: usize = self.state.log[..=at].iter().map(size).sum();
        if at < COMPACT_AFTER && bytes < COMPACT_BYTES {
            return;
        }
        // A snapshot under way is of use only with the log from there on, and a member that is there
        // gets what it lacks sooner without another one.
        if at < KEEP_AFTER && bytes < KEEP_BYTES && self.snapshot_would_be_needed(applied) {
            return;
        }
        let members = self.state.log[..=at]
            .iter()
            .rev()
            .find_map(listed)
            .unwrap_or(&self.state.snapshot.members)
            .clone();
        let last = self.state.log[at].position();
        self.state.snapshot =
            Snapshot { last_included: last, members, state: ByteBuf::from(state()) };
        self.state.log.drain(..=at);
        self.unsaved.snapshot = true;
        self.unsaved.mark_log(LogIndex(0));
    }

    /// Whether a member that is there would have to get a snapshot if the log began after this entry.
    fn snapshot_would_be_needed(&self, applied: LogIndex) -> bool {
        let lacks = |p: &Progress| p.transfer.is_some() || p.next <= applied;
        let there = |p: &Progress| self.clock.since(p.acked) < PRESENT_MS;
        self.peers.values().any(|p| there(p) && lacks(p))
    }

    /// Another is to lead. No lease is given from here on, and nothing is added to the log.
    pub fn transfer_leadership(&mut self, now: Tick) {
        if !self.is_leader() || self.leaving.is_some() {
            return;
        }
        self.leaving = Some(now);
        self.asked = false;
        self.try_leadership_transfer(now);
    }
    /// Asks a voter that has answered lately and holds the whole log to lead, as soon as there is
    /// one. After half of the time it is enough that it holds all that is committed.
    fn try_leadership_transfer(&mut self, now: Tick) {
        let Some(since) = self.leaving.filter(|_| self.is_leader() && !self.asked) else {
            return;
        };
        let late = now.since(since) >= HAND_OVER_MS / 2;
        let least = if late { self.commit_index } else { self.last_position().index };
        let fits = |p: &Progress| p.matched >= least && now.since(p.acked) < QUORUM_FRESH_MS;
        let voters = self.voters();
        let best = self
            .peers
            .iter()
            .filter(|(id, p)| voters.contains(id) && fits(p))
            .max_by_key(|(_, p)| (p.matched, p.acked))
            .map(|(id, _)| *id);
        if let Some(id) = best {
            self.asked = true;
            self.send(id, RaftMessageKind::TimeoutNow);
        }
    }

    /// For how long a member has said nothing to this leader.
    fn silence_ms(&self, id: MemberId, now: Tick) -> u64 {
        self.peers.get(&id).map_or(0, |p| now.since(p.acked.max(p.since)))
    }

    /// The next single change that brings the members closer to what is wanted, if any: whoever
    /// asks to join learns first and votes once it keeps up. If the voters that are there would
    /// not bear its loss, the one that has been silent longest goes before. Of more voters than
    /// are needed to bear the loss of `tolerated`, the one that has been silent too long goes too.
    pub fn next_membership_change<'a>(
        &self,
        joining: impl Iterator<Item = &'a Member>,
        tolerated: usize,
        silent_ms: u64,
        now: Tick,
    ) -> Option<Vec<Member>> {
        if self.members_pending() || !self.is_leader() {
            return None;
        }
        let members = self.members();
        let without = |gone: MemberId| -> Option<Vec<Member>> {
            let rest: Vec<Member> = members.iter().filter(|m| m.id != gone).cloned().collect();
            let voters: Vec<MemberId> = rest.iter().filter(|m| m.voter).map(|m| m.id).collect();
            let present = |id: &&MemberId| {
                **id == self.state.member_id || self.silence_ms(**id, now) < PRESENT_MS
            };
            // Those who stay must be able to agree on it.
            (voters.iter().filter(present).count() > voters.len() / 2).then_some(rest)
        };
        for joiner in joining {
            if members.iter().any(|m| m.id == joiner.id) {
                continue;
            }
            if let Some(old) = members.iter().find(|m| m.admin == joiner.admin) {
                // The same machine under an older id has lost its disk: the old id goes first. If
                // that one still speaks, the wish to join is an old one.
                if old.id == self.state.member_id || self.silence_ms(old.id, now) < PRESENT_MS {
                    continue;
                }
                return without(old.id);
            }
            let learner = Member { voter: false, ..joiner.clone() };
            return Some(members.iter().cloned().chain([learner]).collect());
        }
        let voters = self.voters();
        let silent = |voter: bool, for_ms: u64| {
            let others = members.iter().filter(move |m| m.id != self.state.member_id);
            let told = others.filter(move |m| m.voter == voter).map(|m| m.id);
            told.map(|id| (self.silence_ms(id, now), id)).filter(|s| s.0 > for_ms).max()
        };
        let ready = members.iter().filter(|m| !m.voter).find_map(|m| {
            let there = self.silence_ms(m.id, now) < PRESENT_MS;
            self.peers.get(&m.id).filter(|p| p.keeps_up && there).map(|p| (m.id, p.since))
        });
        if let Some((id, since)) = ready {
            // One that has answered since the newcomer is known is not the one that it replaces.
            let there = |v: &&MemberId| {
                let answered = self.peers.get(v).is_some_and(|p| p.acked >= since);
                **v == self.state.member_id || (answered && self.silence_ms(**v, now) < PRESENT_MS)
            };
            let there = voters.iter().filter(there).count();
            // The newcomer may be lost again at once, and counts as one of those to be borne: the
            // voters that are there have to be enough without it and without all others of these.
            let (more, longer) = (tolerated.saturating_sub(1), voters.len() + 1);
            if there == voters.len() || there > more + longer / 2 {
                let promote = |m: &Member| Member { voter: m.voter || m.id == id, ..m.clone() };
                return Some(members.iter().map(promote).collect());
            }
            return without(silent(true, PRESENT_MS)?.1);
        }
        let spare = voters.len() > 2 * tolerated + 1;
        let spare = if spare { silent(true, silent_ms) } else { None };
        without(silent(false, silent_ms).max(spare)?.1)
    }
    /// Whether a Raft group that has taken nothing yet may begin to: there are voters enough to bear the
    /// loss of `tolerated`. Fewer will do once nobody has come for a while, so that a deployment
    /// with few disks works at all. Those who are missing then are among the lost ones, unless
    /// more are missing than may be: then this controller itself may be the one that is cut off.
    pub fn may_bootstrap(&self, tolerated: usize, now: Tick) -> bool {
        let voters = self.voters().len();
        let patience = if voters > tolerated { YOUNG_MS } else { SPARSE_MS };
        let all_vote = self.members().iter().all(|m| m.voter);
        let waited = all_vote && now.since(self.relisted) > patience;
        self.is_leader() && (voters > 2 * tolerated || waited)
    }
    /// How a process that asks to join, or whether it still belongs, stands with this controller.
    pub fn answer_join(&self, member: &Member, was: bool, now: Tick) -> JoinResponse {
        if !self.holds_leader_lease(now) {
            let leader = self.leader.filter(|l| *l != self.state.member_id);
            let at = |l| self.members.iter().find(|m| m.id == l).map(|m| m.peer);
            return JoinResponse::NotLeader(leader.and_then(at));
        }
        match (self.members.iter().any(|m| m.id == member.id), was) {
            // One that can't vote is kept in no list; it only asks who leads.
            _ if !member.can_vote => JoinResponse::Current,
            (true, _) => JoinResponse::Current,
            // One that is being taken in or out stands neither way yet.
            (false, true) if !self.members_pending() => JoinResponse::Removed,
            (false, true) => JoinResponse::NotLeader(None),
            (false, false) => JoinResponse::Accepted,
        }
    }
}
