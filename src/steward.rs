//! The steward: consensus on disk, the Almanac it keeps, who leads each service, and the leases.
//!
//! `Hedge`, `Almanac` and `Succession` are values moved on by events and a passed-in time; the
//! program round them owns the sockets, the disk and the clock.
use crate::base::errors::Fatal;
use crate::base::ids::{
    DbTerm, Epoch, Index, InstanceId, MemberId, NodeName, Position, Revision, ServiceName,
};
use crate::base::signals::Signals;
use crate::base::time::Tick;
use crate::base::worker_pool::{must_start, start_thread};
use crate::config::configuration::{Configuration, Service};
use crate::config::directory::{Beat, Instance, Lifecycle, Listed, Role};
use crate::config::route_table::Lanes;
use crate::config::settings::{Rollout, Settings, Watched};
use crate::net::http::{self, Request, Response};
use crate::net::rpc::pooler_messages::{
    Doubt, Fresh, Grant, Plot, Saw, Standing, ToSteward, ToStile,
};
use crate::net::rpc::raft_messages::{Body, Entry, Joined, Member, Raft, RaftKind, Snapshot};
use crate::net::rpc::{
    FIRST_LAYOUT, Frame, LAYOUT, PARTS_LAYOUT, encode, pack, receive, receive_with_layout, send,
    unpack,
};
use crate::net::sockets::{REACH, dial, keep_alive, listen, tune};
use crate::net::statement_protocol::{self, Described};
use log::{debug, error, info, warn};
use rusqlite::{Connection, OptionalExtension, params};
use serde::{Deserialize, Serialize};
use serde_bytes::{ByteArray, ByteBuf};
use sha2::{Digest as _, Sha256};
use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};
use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, RecvTimeoutError, Sender, SyncSender, channel, sync_channel};
use std::time::Duration;

// ---------------------------------------------------------------------------------------------
// Consensus

/// How often the leader is heard of when there is nothing to say.
const HEARTBEAT_MS: u64 = 150;
/// A follower that heard its leader within this time helps nobody else to lead.
pub const ELECTION_MIN_MS: u64 = 600;
const ELECTION_SPREAD_MS: u64 = 400;
/// A leader that was restarted asks for votes this often until somebody leads.
const RETURN_MS: u64 = 50;
/// The leader acts alone only while a quorum answered messages it sent within this time. It is
/// less than `ELECTION_MIN_MS`, so no other steward can lead meanwhile.
const QUORUM_FRESH_MS: u64 = 450;
/// Whatever a steward answered a leader before it was restarted counts no more after this, and a
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
/// After its founding the hedge waits so long for more stewards before it takes the first order with
/// fewer voters than the loss of so many needs, and so long if there are hardly any.
const YOUNG_MS: u64 = 5_000;
const SPARSE_MS: u64 = 60_000;
/// Entries sent in one message; one at least.
const BATCH: usize = 64;
/// So many bytes of entries, or of one part of something larger, are under way to a member before it
/// has answered: a heartbeat behind them waits no longer than a thin link takes for these.
const FLIGHT_BYTES: usize = 16 << 10;
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
enum Rank {
    Follower,
    Candidate { trial: bool, handover: bool, votes: BTreeSet<MemberId> },
    Leader { opened: Index, since: Tick },
}

/// The answer to a leader of an epoch that has passed. It tells of no time: the asker may lead
/// this epoch by now, and may have been started anew since, with another clock.
const OUTDATED: RaftKind = RaftKind::Appended { upto: Index(0), ok: false, sent: 0 };

#[derive(Clone, Debug)]
struct Progress {
    next: Index,
    matched: Index,
    /// Entries from here up to `next` are under way.
    flying: Index,
    /// Too large for one message, so on its way in parts; nothing else but heartbeats goes meanwhile.
    transfer: Option<Transfer>,
    /// When the newest message that this member answered was sent.
    acked: Tick,
    /// Since when this leader has cared for it.
    since: Tick,
    /// What it is to reach in this round of catching up, and when the round began.
    round: (Index, Tick),
    /// Its last round was short: it keeps up with what comes.
    keeps_up: bool,
}

/// A question about what is current, at the time it came: Raft's ReadIndex.
#[derive(Clone, Debug, PartialEq)]
pub struct ReadIndex {
    epoch: Epoch,
    /// All that any leader had acknowledged when it came is at or below this.
    pub upto: Index,
    pub asked: Tick,
}

impl Progress {
    fn new(next: Index, last: Index, now: Tick) -> Self {
        Self {
            next,
            matched: Index(0),
            flying: next,
            transfer: None,
            acked: Tick(0),
            since: now,
            round: (last, now),
            keeps_up: false,
        }
    }
    /// Goes on from here; whatever was under way has arrived or is lost.
    fn go_on(&mut self, next: Index) {
        (self.next, self.flying) = (next, next);
    }
}

/// A message on its way to a member in parts, one after the other. It stays as it is, whatever
/// happens to the log meanwhile.
#[derive(Clone, Debug)]
struct Transfer {
    id: u64,
    /// The message, encoded; shared where several members get the same snapshot.
    bytes: Arc<[u8]>,
    /// The snapshot's last entry, if it is one.
    snapshot: Option<Index>,
    /// The first entry after it.
    then: Index,
    /// Answered up to here; the part from here on, so large, was sent then.
    offset: usize,
    part: usize,
    sent: Tick,
}

/// A message that arrives in parts, bounded by `TRANSFER_BYTES`.
#[derive(Clone)]
struct Arriving {
    leader: MemberId,
    epoch: Epoch,
    transfer: u64,
    size: usize,
    upto: usize,
    bytes: Vec<u8>,
}

/// Whether this program can read what a leader's message holds.
pub type Vet = fn(&RaftKind) -> Result<(), String>;

/// What differs from the disk.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Dirty {
    pub hard: bool,
    pub log_from: Option<Index>,
    pub snapshot: bool,
}
impl Dirty {
    pub fn all() -> Self {
        Self { hard: true, log_from: Some(Index(0)), snapshot: true }
    }
    fn mark_log(&mut self, from: Index) {
        self.log_from = Some(self.log_from.map_or(from, |old| old.min(from)));
    }
    fn add(&mut self, other: Dirty) {
        self.hard |= other.hard;
        self.snapshot |= other.snapshot;
        if let Some(from) = other.log_from {
            self.mark_log(from);
        }
    }
}

/// What a steward keeps on disk.
#[derive(Clone, Debug, Default)]
pub struct Kept {
    pub me: MemberId,
    pub epoch: Epoch,
    pub voted: Option<MemberId>,
    /// The last epoch that this steward led.
    pub led: Option<Epoch>,
    pub log: Vec<Entry>,
    pub snapshot: Snapshot,
}

/// The list of members, if that is what an entry holds.
fn listed(entry: &Entry) -> Option<&Vec<Member>> {
    match &entry.body {
        Body::Members(members) => Some(members),
        _ => None,
    }
}

/// About how many bytes an entry takes.
fn size(entry: &Entry) -> usize {
    match &entry.body {
        Body::Change(bytes) => 32 + bytes.len(),
        _ => 512,
    }
}

/// The set of stewards, seen from one of them: Raft with trial votes, a quorum check, hand-over
/// and one change of members at a time.
#[derive(Clone)]
pub struct Hedge {
    pub kept: Kept,
    pub commit: Index,
    pub leader: Option<MemberId>,
    role: Rank,
    heard: Option<Tick>,
    deadline: Tick,
    next_beat: Tick,
    /// When the newest read came that no round of heartbeats was begun for yet.
    uncovered: Option<Tick>,
    /// When the last round began.
    round: Tick,
    /// After a restart nothing is known of what the leader was last told, so no vote is given yet.
    quiet_until: Tick,
    /// Just started, and it had led the newest epoch it knows: nobody waits for that leader.
    returning: bool,
    peers: BTreeMap<MemberId, Progress>,
    /// What those held that this leader has removed.
    removed: BTreeMap<MemberId, Index>,
    /// The newest list of members in the log, committed or not.
    members: Vec<Member>,
    /// Since when another was asked to take over; nothing is granted from then on.
    leaving: Option<Tick>,
    /// That other one has been asked; before, none was there that holds enough.
    asked: bool,
    /// Since when this leader knows the list of members as it is.
    relisted: Tick,
    /// The disk is in trouble: this steward does not lead.
    ailing: bool,
    /// Everything up to here is on this steward's disk.
    durable: Index,
    /// An acknowledgement that waits for the disk: to whom, up to where, and the message's time.
    owed: Option<(MemberId, Index, u64)>,
    pub dirty: Dirty,
    pub out: Vec<(MemberId, Raft)>,
    spread: fn() -> u64,
    /// The newest time that was passed in.
    clock: Tick,
    /// Transfers begun by this one, and the one under way to it.
    transfers: u64,
    arriving: Option<Arriving>,
    /// The layouts that other members read, as their newest frames say.
    layouts: BTreeMap<MemberId, u8>,
    /// Looks at what a leader sends before any of it is taken.
    pub vet: Vet,
    /// The leader has something that this program can't read: it was neither taken nor acknowledged,
    /// and there is no going on.
    pub refused: Option<String>,
}

impl Hedge {
    pub fn new(kept: Kept, restarted: bool, now: Tick, spread: fn() -> u64) -> Self {
        let commit = kept.snapshot.last.1;
        let returning = restarted && kept.led == Some(kept.epoch);
        let quiet = restarted && !returning;
        let mut hedge = Self {
            kept,
            commit,
            leader: None,
            role: Rank::Follower,
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
            ailing: false,
            durable: Index(0),
            owed: None,
            dirty: Dirty::default(),
            out: Vec::new(),
            spread,
            clock: now,
            transfers: 0,
            arriving: None,
            layouts: BTreeMap::new(),
            vet: |_| Ok(()),
            refused: None,
        };
        hedge.durable = hedge.last().1;
        hedge.recall_members();
        hedge.rest(now);
        if quiet {
            hedge.deadline = hedge.quiet_until.plus(1 + spread() % AFTER_QUIET_MS);
        }
        if hedge.voters() == [hedge.kept.me] {
            // Nobody else can lead, so there is nobody to wait for.
            hedge.deadline = now;
        }
        hedge
    }

    pub fn last(&self) -> (Epoch, Index) {
        self.kept.log.last().map_or(self.kept.snapshot.last, |e| (e.epoch, e.index))
    }
    fn epoch_at(&self, index: Index) -> Option<Epoch> {
        let base = self.kept.snapshot.last;
        if index == base.1 {
            return Some(base.0);
        }
        self.position(index).map(|at| self.kept.log[at].epoch)
    }
    fn position(&self, index: Index) -> Option<usize> {
        let at = index.0.checked_sub(self.kept.snapshot.last.1.0 + 1)? as usize;
        (at < self.kept.log.len()).then_some(at)
    }
    pub fn members(&self) -> &[Member] {
        &self.members
    }
    fn recall_members(&mut self) {
        let newest = self.kept.log.iter().rev().find_map(listed);
        self.members = newest.unwrap_or(&self.kept.snapshot.members).clone();
    }
    fn members_pending(&self) -> bool {
        self.kept.log.iter().any(|e| e.index > self.commit && listed(e).is_some())
    }
    fn voters(&self) -> Vec<MemberId> {
        self.members().iter().filter(|m| m.voter).map(|m| m.id).collect()
    }
    fn is_voter(&self) -> bool {
        self.voters().contains(&self.kept.me)
    }
    pub fn is_leader(&self) -> bool {
        matches!(self.role, Rank::Leader { .. })
    }
    fn quorum(&self) -> usize {
        self.voters().len() / 2 + 1
    }
    fn rest(&mut self, now: Tick) {
        let (least, spread) = match self.returning {
            true => (RETURN_MS, RETURN_MS),
            false => (ELECTION_MIN_MS, ELECTION_SPREAD_MS),
        };
        self.deadline = now.plus(least + (self.spread)() % spread);
    }

    /// Whether no leader was heard for so long.
    pub fn lonely(&self, now: Tick, for_ms: u64) -> bool {
        self.heard.is_none_or(|t| now.since(t) > for_ms)
    }
    /// True while this steward may act as the only leader: a quorum is with it, its first entry
    /// is committed, and it has not asked another to take over.
    pub fn granting(&self, now: Tick) -> bool {
        let Rank::Leader { opened, .. } = self.role else {
            return false;
        };
        self.leaving.is_none() && self.commit >= opened && self.fresh(now, QUORUM_FRESH_MS)
    }
    fn fresh(&self, now: Tick, within: u64) -> bool {
        self.quorum_answered(|sent| now.since(sent) < within)
    }
    /// Whether a quorum answered messages that were sent when `counts` says.
    fn quorum_answered(&self, counts: impl Fn(Tick) -> bool) -> bool {
        let count = self
            .voters()
            .iter()
            .filter(|id| {
                **id == self.kept.me || self.peers.get(id).is_some_and(|p| counts(p.acked))
            })
            .count();
        count >= self.quorum()
    }

    /// Takes in a question about what is current; `None` if this steward can't know. A round of
    /// heartbeats is begun for it: see `tick`.
    pub fn read_index(&mut self, now: Tick) -> Option<ReadIndex> {
        let Rank::Leader { opened, .. } = self.role else {
            return None;
        };
        if self.commit < opened {
            return None;
        }
        let read = ReadIndex { epoch: self.kept.epoch, upto: self.commit, asked: now };
        if self.confirmed(&read) != Some(true) {
            self.uncovered = Some(now);
        }
        Some(read)
    }
    /// Whether this steward still led after the question came: a quorum answered, in its epoch,
    /// what was sent later. `None` while that is open, `Some(false)` if it will never be known.
    pub fn confirmed(&self, read: &ReadIndex) -> Option<bool> {
        if !self.is_leader() || self.kept.epoch != read.epoch {
            return Some(false);
        }
        // In the same millisecond it may have been sent before the question came.
        self.quorum_answered(|sent| sent > read.asked).then_some(true)
    }
    /// When a round is to begin for the reads that wait for one. One that is under way is waited
    /// for: all that come meanwhile share the next.
    fn round_due(&self) -> Option<Tick> {
        let next = self.uncovered?.plus(1);
        let free = self.quorum_answered(|sent| sent >= self.round);
        Some(if free { next } else { next.max(self.round.plus(ROUND_MS)) })
    }

    fn say(&mut self, to: MemberId, kind: RaftKind) {
        let message = Raft { from: self.kept.me, epoch: self.kept.epoch, kind };
        self.out.push((to, message));
    }
    fn others(&self) -> Vec<MemberId> {
        self.members().iter().map(|m| m.id).filter(|id| *id != self.kept.me).collect()
    }
    fn set_epoch(&mut self, epoch: Epoch) {
        if epoch > self.kept.epoch {
            self.kept.epoch = epoch;
            self.kept.voted = None;
            self.dirty.hard = true;
            self.owed = None;
            self.arriving = None;
            self.returning = false;
        }
    }
    fn follow(&mut self, leader: Option<MemberId>, now: Tick) {
        self.role = Rank::Follower;
        self.leader = leader;
        self.peers.clear();
        self.removed.clear();
        self.uncovered = None;
        self.rest(now);
    }

    pub fn tick(&mut self, now: Tick) {
        self.clock = now;
        match &self.role {
            Rank::Leader { since, .. } => {
                let patience = ELECTION_MIN_MS + ELECTION_SPREAD_MS;
                let deserted = now.since(*since) > patience && !self.fresh(now, patience);
                // Whoever was asked to take over may do so no more: it would be in this epoch.
                let declined = self.leaving.is_some_and(|t| now.since(t) > HAND_OVER_MS);
                if deserted || declined {
                    return self.follow(None, now);
                }
                if now >= self.due() {
                    self.next_beat = now.plus(HEARTBEAT_MS);
                    self.round = now;
                    self.uncovered = self.uncovered.filter(|asked| *asked >= now);
                    for id in self.others() {
                        self.append_to(id, true, now);
                    }
                }
                self.pass_on(now);
            }
            _ if now >= self.deadline => {
                self.rest(now);
                if self.is_voter() && now >= self.quiet_until && !self.ailing {
                    self.leader = None;
                    self.campaign(true, false, now);
                }
            }
            _ => {}
        }
    }
    /// When `tick` next has something to do.
    pub fn due(&self) -> Tick {
        match self.is_leader() {
            true => self.round_due().map_or(self.next_beat, |round| round.min(self.next_beat)),
            false => self.deadline,
        }
    }

    fn campaign(&mut self, trial: bool, handover: bool, now: Tick) {
        let epoch = Epoch(self.kept.epoch.0 + 1);
        if !trial {
            self.set_epoch(epoch);
            self.kept.voted = Some(self.kept.me);
            self.dirty.hard = true;
        }
        let votes = BTreeSet::from([self.kept.me]);
        self.role = Rank::Candidate { trial, handover, votes };
        self.rest(now);
        let last = self.last();
        // True only for one that does not lead any more, since a leader never asks.
        let led = self.kept.led.is_some_and(|l| l.0 + 1 == epoch.0);
        for id in self.voters() {
            if id != self.kept.me {
                let kind = RaftKind::AskVote { trial, handover, led, last };
                self.out.push((id, Raft { from: self.kept.me, epoch, kind }));
            }
        }
        self.count_votes(now);
    }
    fn count_votes(&mut self, now: Tick) {
        let Rank::Candidate { trial, handover, votes } = &self.role else {
            return;
        };
        let (trial, handover) = (*trial, *handover);
        if self.voters().iter().filter(|id| votes.contains(id)).count() < self.quorum() {
            return;
        }
        if trial {
            return self.campaign(false, handover, now);
        }
        let (_, last) = self.last();
        let opened = Index(last.0 + 1);
        self.role = Rank::Leader { opened, since: now };
        self.leader = Some(self.kept.me);
        self.kept.led = Some(self.kept.epoch);
        self.dirty.hard = true;
        self.leaving = None;
        self.relisted = now;
        self.peers =
            self.others().into_iter().map(|id| (id, Progress::new(opened, opened, now))).collect();
        self.push(Body::Opened, now);
    }

    /// Appends to the log if this steward leads; tells where.
    pub fn propose(&mut self, body: Body, now: Tick) -> Option<Index> {
        if !self.is_leader() || self.leaving.is_some() {
            return None;
        }
        Some(self.push(body, now))
    }
    fn push(&mut self, body: Body, now: Tick) -> Index {
        let index = Index(self.last().1.0 + 1);
        if let Body::Members(members) = &body {
            self.members = members.clone();
            self.relisted = now;
        }
        self.kept.log.push(Entry { epoch: self.kept.epoch, index, body });
        self.dirty.mark_log(index);
        let others = self.others();
        let gone = self.peers.iter().filter(|(id, _)| !others.contains(id));
        self.removed.extend(gone.map(|(id, p)| (*id, p.matched)));
        self.peers.retain(|id, _| others.contains(id));
        for id in others {
            // A new member starts from the beginning: without a list it can't say what it lacks.
            // One that is taken in again goes on where it was.
            let held = self.removed.remove(&id).unwrap_or_default();
            let next = Index(held.0 + 1);
            self.peers.entry(id).or_insert_with(|| Progress::new(next, index, now));
            self.append_to(id, false, now);
        }
        index
    }
    /// What a member's newest frame says of the layout it reads.
    pub fn reads(&mut self, id: MemberId, layout: u8) {
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
            progress.go_on(Index(progress.matched.0 + 1));
        }
    }

    /// Whether no other member is known not to read this layout. One that has not been heard of is
    /// taken for dark rather than old: what waits for this keeps failovers from going on.
    pub fn all_read(&self, layout: u8) -> bool {
        self.others().iter().all(|id| self.layouts.get(id).is_none_or(|l| *l >= layout))
    }

    /// Sends a member what it lacks, as far as it may be under way at once; a heartbeat goes in any
    /// case.
    fn append_to(&mut self, id: MemberId, heartbeat: bool, now: Tick) {
        let (base, sent, commit) = (self.kept.snapshot.last, now.0, self.commit);
        let Some(progress) = self.peers.get_mut(&id) else {
            return;
        };
        let layout = self.layouts.get(&id).copied();
        let parts = layout.is_some_and(|l| l >= PARTS_LAYOUT);
        if progress.transfer.as_ref().is_some_and(|t| t.then <= base.1) {
            // The log has been folded over what comes after it: a newer snapshot is needed anyway.
            progress.transfer = None;
            progress.next = Index(1);
        }
        // The beginning of all logs is agreed on by everybody.
        let previous = (Epoch(0), Index(0));
        let only_heartbeat = RaftKind::Append { previous, entries: Vec::new(), commit, sent };
        if progress.transfer.is_some() {
            if heartbeat {
                self.say(id, only_heartbeat);
            }
            return;
        }
        if progress.next <= base.1 {
            // Of an older program it is not known what it would do with a state that it can't read:
            // it gets what is in the log, and this once it is exchanged.
            let newer = self.kept.snapshot.state.first() == Some(&STATE_LAYOUT);
            match layout {
                // Its answer says first how it can be sent.
                None => return self.say(id, only_heartbeat),
                Some(layout) if newer && layout < STATE_LAYOUT => {
                    if heartbeat {
                        self.say(id, only_heartbeat);
                    }
                    return;
                }
                Some(_) => {}
            }
            progress.go_on(Index(base.1.0 + 1));
            let snapshot = self.kept.snapshot.clone();
            let kind = RaftKind::Snapshot { snapshot, sent };
            return match parts {
                true => self.transfer_to(id, &kind, Some(base.1), now),
                false => self.say(id, kind),
            };
        }
        let (next, flying) = (progress.next, progress.flying);
        let before = Index(next.0 - 1);
        let Some(epoch) = self.epoch_at(before) else {
            return;
        };
        let at = |index: Index| (index.0.saturating_sub(base.1.0 + 1)) as usize;
        let under_way = self.kept.log.get(at(flying)..at(next)).unwrap_or_default();
        let taken: usize = under_way.iter().map(size).sum();
        let mut room = FLIGHT_BYTES.saturating_sub(taken);
        // One goes by itself, however large it is.
        let mut first = under_way.is_empty();
        let fits = |e: &&Entry| {
            let goes = std::mem::take(&mut first) || size(e) <= room;
            room = room.saturating_sub(size(e));
            goes
        };
        let waiting = self.kept.log.iter().skip(at(next)).take(BATCH);
        let entries: Vec<Entry> = waiting.take_while(fits).cloned().collect();
        if entries.is_empty() && !heartbeat {
            return;
        }
        let next = Index(next.0 + entries.len() as u64);
        let large = entries.iter().map(size).sum::<usize>() > FLIGHT_BYTES;
        if large && layout.is_none() {
            return self.say(id, only_heartbeat);
        }
        let kind = RaftKind::Append { previous: (epoch, before), entries, commit, sent };
        if let Some(progress) = self.peers.get_mut(&id) {
            progress.next = next;
        }
        match large && parts {
            true => self.transfer_to(id, &kind, None, now),
            false => self.say(id, kind),
        }
    }
    fn transfer_to(&mut self, id: MemberId, kind: &RaftKind, snapshot: Option<Index>, now: Tick) {
        let mut others = self.peers.values().filter_map(|p| p.transfer.as_ref());
        let same = others.find(|t| snapshot.is_some() && t.snapshot == snapshot);
        let bytes = same.map_or_else(|| pack(kind).into(), |t| Arc::clone(&t.bytes));
        self.transfers += 1;
        let transfer = self.transfers;
        if let Some(progress) = self.peers.get_mut(&id) {
            let then = progress.next;
            let (offset, part) = (0, FLIGHT_BYTES);
            let begun = Transfer { id: transfer, bytes, snapshot, then, offset, part, sent: now };
            progress.transfer = Some(begun);
        }
        self.send_part(id, now);
    }
    fn send_part(&mut self, id: MemberId, now: Tick) {
        let Some(transfer) = self.peers.get_mut(&id).and_then(|p| p.transfer.as_mut()) else {
            return;
        };
        transfer.sent = now;
        let (from, size) = (transfer.offset, transfer.bytes.len());
        let part = &transfer.bytes[from..size.min(from + transfer.part)];
        let kind = RaftKind::Part {
            transfer: transfer.id,
            size: size as u64,
            offset: from as u64,
            bytes: ByteBuf::from(part),
            sent: now.0,
        };
        self.say(id, kind);
    }
    /// The next part, once the member has answered the one before; then the entries after it.
    fn part_taken(&mut self, id: MemberId, transfer: u64, upto: u64, sent: u64, now: Tick) {
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
            return self.send_part(id, now);
        }
        let then = under_way.then;
        progress.transfer = None;
        progress.go_on(then);
        self.append_to(id, false, now);
    }
    /// Gathers the parts of a message, and gives it once it is whole.
    fn take_part(
        &mut self,
        from: MemberId,
        (transfer, size, offset): (u64, u64, u64),
        bytes: &[u8],
        sent: u64,
    ) -> Option<RaftKind> {
        let epoch = self.kept.epoch;
        let same = |a: &Arriving| (a.leader, a.epoch, a.transfer) == (from, epoch, transfer);
        if !self.arriving.as_ref().is_some_and(same) {
            let size = usize::try_from(size).ok().filter(|s| *s <= TRANSFER_BYTES)?;
            let bytes = Vec::new();
            self.arriving = Some(Arriving { leader: from, epoch, transfer, size, upto: 0, bytes });
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
        self.say(from, RaftKind::PartTaken { transfer, upto, sent });
        match unpack::<RaftKind>(&whole?) {
            Ok(kind @ (RaftKind::Append { .. } | RaftKind::Snapshot { .. })) => Some(kind),
            Ok(_) => None,
            Err(e) => {
                self.refused = Some(format!("the leader's message can't be read: {e}"));
                None
            }
        }
    }

    pub fn step(&mut self, message: Raft, now: Tick) {
        let Raft { from, epoch, kind } = message;
        match kind {
            // One that was removed, or was never taken in, can't be elected by those who know it, nor
            // do its answers say anything.
            RaftKind::AskVote { .. }
            | RaftKind::Vote { .. }
            | RaftKind::Appended { .. }
            | RaftKind::PartTaken { .. }
                if !self.members.is_empty() && !self.members.iter().any(|m| m.id == from) => {}
            RaftKind::AskVote { trial, handover, led, last } => {
                // One that led the newest epoch known here leads no more: there is nobody left
                // that a vote could harm. Leaders before it lost their quorum when it won.
                let free = handover || (led && epoch > self.kept.epoch);
                self.asked_vote(from, epoch, trial, free, last, now)
            }
            RaftKind::Vote { trial, granted } => {
                if !granted && epoch > self.kept.epoch {
                    self.set_epoch(epoch);
                    return self.follow(None, now);
                }
                let asked_for = self.kept.epoch.0 + u64::from(trial);
                if let Rank::Candidate { trial: mine, votes, .. } = &mut self.role
                    && *mine == trial
                    && granted
                    && epoch.0 == asked_for
                {
                    votes.insert(from);
                    self.count_votes(now);
                }
            }
            RaftKind::Append { previous, entries, commit, sent } => {
                if !self.led_by(from, epoch, now) {
                    return self.say(from, OUTDATED);
                }
                let heartbeat = entries.is_empty();
                let kind = RaftKind::Append { previous, entries, commit, sent };
                if self.refuses(&kind) {
                    return;
                }
                let RaftKind::Append { entries, .. } = kind else { return };
                let (ok, upto) = self.take_entries(previous, entries);
                if ok {
                    self.commit = self.commit.max(commit.min(upto));
                    self.acknowledge(from, upto, sent, heartbeat);
                } else {
                    self.say(from, RaftKind::Appended { upto, ok, sent });
                }
            }
            RaftKind::Snapshot { snapshot, sent } => {
                if !self.led_by(from, epoch, now) {
                    return self.say(from, OUTDATED);
                }
                let upto = snapshot.last.1;
                let kind = RaftKind::Snapshot { snapshot, sent };
                if self.refuses(&kind) {
                    return;
                }
                let RaftKind::Snapshot { snapshot, .. } = kind else { return };
                if upto > self.commit {
                    if self.epoch_at(upto) == Some(snapshot.last.0) {
                        self.kept.log.retain(|e| e.index > upto);
                    } else {
                        self.kept.log.clear();
                    }
                    self.kept.snapshot = snapshot;
                    self.commit = upto;
                    self.durable = Index(0);
                    self.recall_members();
                    self.dirty.snapshot = true;
                    self.dirty.mark_log(Index(0));
                }
                self.acknowledge(from, upto, sent, false);
            }
            RaftKind::Appended { upto, ok, sent } => {
                if epoch > self.kept.epoch {
                    self.set_epoch(epoch);
                    return self.follow(None, now);
                }
                if !self.is_leader() || epoch < self.kept.epoch {
                    return;
                }
                self.layouts.entry(from).or_insert(FIRST_LAYOUT);
                let last = self.last().1;
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
                        self.advance();
                    }
                    if lost {
                        self.send_part(from, now);
                    }
                } else if ok {
                    progress.matched = progress.matched.max(upto);
                    let after = Index(progress.matched.0 + 1);
                    progress.next = progress.next.max(after);
                    progress.flying = progress.flying.max(after);
                    let (goal, began) = progress.round;
                    if progress.matched >= goal {
                        progress.keeps_up = now.since(began) < ELECTION_MIN_MS;
                        progress.round = (last, now);
                    }
                    let behind = progress.next <= last;
                    self.advance();
                    if behind {
                        self.append_to(from, false, now);
                    }
                    self.pass_on(now);
                } else {
                    progress.go_on(Index(progress.matched.max(upto).0 + 1));
                    self.append_to(from, true, now);
                }
            }
            RaftKind::Part { transfer, size, offset, bytes, sent } => {
                if !self.led_by(from, epoch, now) {
                    return self.say(from, OUTDATED);
                }
                let place = (transfer, size, offset);
                if let Some(kind) = self.take_part(from, place, &bytes, sent) {
                    self.step(Raft { from, epoch, kind }, now);
                }
            }
            RaftKind::PartTaken { transfer, upto, sent } => {
                if self.is_leader() && epoch == self.kept.epoch {
                    self.part_taken(from, transfer, upto, sent, now);
                }
            }
            RaftKind::TakeOver => {
                let mine = epoch == self.kept.epoch && self.leader == Some(from);
                if mine && self.is_voter() && !self.ailing {
                    self.campaign(false, true, now);
                }
            }
        }
    }

    /// Whether a leader's message holds what this program can't read. Looked at before any of it is
    /// taken, so that the state on disk stays one that it can.
    fn refuses(&mut self, kind: &RaftKind) -> bool {
        if let Err(why) = (self.vet)(kind) {
            self.refused = Some(why);
        }
        self.refused.is_some()
    }

    /// Only what is on disk is acknowledged. New entries wait for it; a heartbeat is answered at
    /// once with what there is, as a disk that stalls does not make this steward dead.
    fn acknowledge(&mut self, leader: MemberId, upto: Index, sent: u64, heartbeat: bool) {
        if upto > self.durable {
            self.owed = Some((leader, upto, sent));
            if !heartbeat {
                return;
            }
        }
        let upto = upto.min(self.durable);
        self.say(leader, RaftKind::Appended { upto, ok: true, sent });
    }
    /// The disk has everything up to this entry, if it is still the one in the log.
    pub fn stored(&mut self, last: (Epoch, Index)) {
        if self.epoch_at(last.1) == Some(last.0) {
            self.durable = self.durable.max(last.1);
        }
        self.advance();
        if let Some((leader, upto, sent)) = self.owed
            && self.leader == Some(leader)
        {
            if upto <= self.durable {
                self.owed = None;
            }
            let upto = upto.min(self.durable);
            self.say(leader, RaftKind::Appended { upto, ok: true, sent });
        }
    }
    /// While the disk is in trouble, another should lead.
    pub fn set_ailing(&mut self, ailing: bool, now: Tick) {
        self.ailing = ailing;
        if ailing {
            self.hand_over(now);
        }
    }

    /// Accepts the sender as leader of its epoch, unless that epoch has passed.
    fn led_by(&mut self, from: MemberId, epoch: Epoch, now: Tick) -> bool {
        if epoch < self.kept.epoch {
            return false;
        }
        self.set_epoch(epoch);
        self.follow(Some(from), now);
        self.heard = Some(now);
        true
    }

    fn asked_vote(
        &mut self,
        from: MemberId,
        epoch: Epoch,
        trial: bool,
        free: bool,
        last: (Epoch, Index),
        now: Tick,
    ) {
        let followed = self.heard.is_some_and(|t| now.since(t) < ELECTION_MIN_MS)
            || (self.is_leader() && self.fresh(now, ELECTION_MIN_MS));
        if (followed || now < self.quiet_until) && !free {
            return;
        }
        if epoch < self.kept.epoch || (trial && epoch <= self.kept.epoch) {
            return self.say(from, RaftKind::Vote { trial, granted: false });
        }
        let current = last >= self.last();
        if trial {
            if current {
                let kind = RaftKind::Vote { trial, granted: true };
                self.out.push((from, Raft { from: self.kept.me, epoch, kind }));
            } else {
                self.say(from, RaftKind::Vote { trial, granted: false });
            }
            return;
        }
        if epoch > self.kept.epoch {
            self.set_epoch(epoch);
            self.follow(None, now);
        }
        let free = self.kept.voted.is_none_or(|v| v == from);
        let granted = current && free && self.leader.is_none();
        if granted {
            self.kept.voted = Some(from);
            self.dirty.hard = true;
            self.rest(now);
        }
        self.say(from, RaftKind::Vote { trial, granted });
    }

    fn take_entries(&mut self, previous: (Epoch, Index), entries: Vec<Entry>) -> (bool, Index) {
        let base = self.kept.snapshot.last.1;
        let agreed = previous.1 < base || self.epoch_at(previous.1) == Some(previous.0);
        if !agreed {
            let hint = Index(previous.1.0.saturating_sub(1)).min(self.last().1).max(self.commit);
            return (false, hint);
        }
        let upto = Index(previous.1.0 + entries.len() as u64);
        let mut relisted = false;
        for entry in entries {
            if entry.index <= base {
                continue;
            }
            match self.epoch_at(entry.index) {
                Some(epoch) if epoch == entry.epoch => continue,
                Some(_) => {
                    let keep = (entry.index.0 - base.0 - 1) as usize;
                    relisted = true;
                    self.kept.log.truncate(keep);
                    self.durable = self.durable.min(Index(entry.index.0 - 1));
                }
                None => {}
            }
            self.dirty.mark_log(entry.index);
            relisted |= listed(&entry).is_some();
            self.kept.log.push(entry);
        }
        if relisted {
            self.recall_members();
        }
        (true, upto.max(base))
    }

    /// Commits what a quorum has on disk; the leader's own copy counts like any other.
    fn advance(&mut self) {
        if !self.is_leader() {
            return;
        }
        let mut reached: Vec<Index> = self
            .voters()
            .iter()
            .map(|id| {
                if *id == self.kept.me {
                    self.durable
                } else {
                    self.peers.get(id).map_or(Index(0), |p| p.matched)
                }
            })
            .collect();
        reached.sort_unstable_by(|a, b| b.cmp(a));
        let Some(agreed) = reached.get(self.quorum() - 1).copied() else {
            return;
        };
        // Only entries of the own epoch are committed by counting.
        if agreed > self.commit && self.epoch_at(agreed) == Some(self.kept.epoch) {
            self.commit = agreed;
        }
    }

    /// Committed entries after `applied`.
    pub fn committed(&self, applied: Index) -> Vec<Entry> {
        self.kept
            .log
            .iter()
            .filter(|e| e.index > applied && e.index <= self.commit)
            .cloned()
            .collect()
    }

    /// Folds everything up to `applied` into a snapshot when the log has grown long.
    pub fn compact(&mut self, applied: Index, state: impl FnOnce() -> Vec<u8>) {
        let Some(at) = self.position(applied) else {
            return;
        };
        let bytes: usize = self.kept.log[..=at].iter().map(size).sum();
        if at < COMPACT_AFTER && bytes < COMPACT_BYTES {
            return;
        }
        // A snapshot under way is of use only with the log from there on, and a member that is there
        // gets what it lacks sooner without another one.
        if at < KEEP_AFTER && bytes < KEEP_BYTES && self.awaited(applied) {
            return;
        }
        let members = self.kept.log[..=at]
            .iter()
            .rev()
            .find_map(listed)
            .unwrap_or(&self.kept.snapshot.members)
            .clone();
        let last = (self.kept.log[at].epoch, applied);
        self.kept.snapshot = Snapshot { last, members, state: ByteBuf::from(state()) };
        self.kept.log.drain(..=at);
        self.dirty.snapshot = true;
        self.dirty.mark_log(Index(0));
    }

    /// Whether a member that is there would have to get a snapshot if the log began after this entry.
    fn awaited(&self, applied: Index) -> bool {
        let lacks = |p: &Progress| p.transfer.is_some() || p.next <= applied;
        let there = |p: &Progress| self.clock.since(p.acked) < PRESENT_MS;
        self.peers.values().any(|p| there(p) && lacks(p))
    }

    /// Another is to lead. No lease is given from here on, and nothing is added to the log.
    pub fn hand_over(&mut self, now: Tick) {
        if !self.is_leader() || self.leaving.is_some() {
            return;
        }
        self.leaving = Some(now);
        self.asked = false;
        self.pass_on(now);
    }
    /// Asks a voter that has answered lately and holds the whole log to lead, as soon as there is
    /// one. After half of the time it is enough that it holds all that is committed.
    fn pass_on(&mut self, now: Tick) {
        let Some(since) = self.leaving.filter(|_| self.is_leader() && !self.asked) else {
            return;
        };
        let late = now.since(since) >= HAND_OVER_MS / 2;
        let least = if late { self.commit } else { self.last().1 };
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
            self.say(id, RaftKind::TakeOver);
        }
    }

    /// For how long a member has said nothing to this leader.
    fn silence(&self, id: MemberId, now: Tick) -> u64 {
        self.peers.get(&id).map_or(0, |p| now.since(p.acked.max(p.since)))
    }

    /// The next single change that brings the members closer to what is wanted, if any: whoever
    /// asks to join learns first and votes once it keeps up. If the voters that are there would
    /// not bear its loss, the one that has been silent longest goes before. Of more voters than
    /// are needed to bear the loss of `tolerated`, the one that has been silent too long goes too.
    pub fn wanted_members<'a>(
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
            let present =
                |id: &&MemberId| **id == self.kept.me || self.silence(**id, now) < PRESENT_MS;
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
                if old.id == self.kept.me || self.silence(old.id, now) < PRESENT_MS {
                    continue;
                }
                return without(old.id);
            }
            let learner = Member { voter: false, ..joiner.clone() };
            return Some(members.iter().cloned().chain([learner]).collect());
        }
        let voters = self.voters();
        let silent = |voter: bool, for_ms: u64| {
            let others = members.iter().filter(move |m| m.id != self.kept.me);
            let told = others.filter(move |m| m.voter == voter).map(|m| m.id);
            told.map(|id| (self.silence(id, now), id)).filter(|s| s.0 > for_ms).max()
        };
        let ready = members.iter().filter(|m| !m.voter).find_map(|m| {
            let there = self.silence(m.id, now) < PRESENT_MS;
            self.peers.get(&m.id).filter(|p| p.keeps_up && there).map(|p| (m.id, p.since))
        });
        if let Some((id, since)) = ready {
            // One that has answered since the newcomer is known is not the one that it replaces.
            let there = |v: &&MemberId| {
                let answered = self.peers.get(v).is_some_and(|p| p.acked >= since);
                **v == self.kept.me || (answered && self.silence(**v, now) < PRESENT_MS)
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
    /// Whether a hedge that has taken nothing yet may begin to: there are voters enough to bear the
    /// loss of `tolerated`. Fewer will do once nobody has come for a while, so that a deployment
    /// with few disks works at all. Those who are missing then are among the lost ones, unless
    /// more are missing than may be: then this steward itself may be the one that is cut off.
    pub fn may_begin(&self, tolerated: usize, now: Tick) -> bool {
        let voters = self.voters().len();
        let patience = if voters > tolerated { YOUNG_MS } else { SPARSE_MS };
        let all_vote = self.members().iter().all(|m| m.voter);
        let waited = all_vote && now.since(self.relisted) > patience;
        self.is_leader() && (voters > 2 * tolerated || waited)
    }
    /// How a process that asks to join, or whether it still belongs, stands with this steward.
    pub fn standing(&self, member: &Member, was: bool, now: Tick) -> Joined {
        if !self.granting(now) {
            let leader = self.leader.filter(|l| *l != self.kept.me);
            let at = |l| self.members.iter().find(|m| m.id == l).map(|m| m.peer);
            return Joined::Elsewhere(leader.and_then(at));
        }
        match (self.members.iter().any(|m| m.id == member.id), was) {
            // One that can't vote is kept in no list; it only asks who leads.
            _ if !member.can_vote => Joined::Listed,
            (true, _) => Joined::Listed,
            // One that is being taken in or out stands neither way yet.
            (false, true) if !self.members_pending() => Joined::Removed,
            (false, true) => Joined::Elsewhere(None),
            (false, false) => Joined::Noted,
        }
    }
}

// ---------------------------------------------------------------------------------------------
// The disk

/// The layout this program writes. A file with a higher one is from a newer program.
const FORMAT: i64 = 1;

const TABLES: &str = "BEGIN;
    CREATE TABLE IF NOT EXISTS hard (only_one INTEGER PRIMARY KEY CHECK (only_one = 1), me INTEGER, epoch INTEGER, voted INTEGER);
    CREATE TABLE IF NOT EXISTS led (only_one INTEGER PRIMARY KEY CHECK (only_one = 1), epoch INTEGER NOT NULL);
    CREATE TABLE IF NOT EXISTS snapshot (only_one INTEGER PRIMARY KEY CHECK (only_one = 1), body BLOB NOT NULL);
    CREATE TABLE IF NOT EXISTS log (place INTEGER PRIMARY KEY, body BLOB NOT NULL);
    COMMIT;";

/// Says that a member's state was written here, should the state itself ever be missing, and whose it
/// may be: all members that this folder was. Before `MARKED` stood in it, it was not
/// kept when a removed member began anew under a fresh id, so what it says then is not relied on.
const MARK: &str = "member";
const MARKED: &str = "members";

/// The members that a folder is marked as; none if it isn't, or not reliably.
fn marks(folder: &Path) -> Result<BTreeSet<MemberId>, Fatal> {
    let text = match std::fs::read_to_string(folder.join(MARK)) {
        Ok(text) => text,
        Err(e) if e.kind() == std::io::ErrorKind::NotFound => return Ok(BTreeSet::new()),
        Err(e) => return Err(Fatal::Disk(format!("{MARK}: {e}"))),
    };
    let mut words = text.split_whitespace();
    if words.next() != Some(MARKED) {
        return Ok(BTreeSet::new());
    }
    let ids: Result<_, _> = words.map(|w| w.parse().map(MemberId)).collect();
    ids.map_err(|_| Fatal::State(format!("the file {MARK} is damaged, left as it is")))
}
/// Marks a folder durably, with its own name and that in the folder above, where that may be opened.
fn mark(folder: &Path, ids: &BTreeSet<MemberId>) -> std::io::Result<()> {
    let ids: Vec<String> = ids.iter().map(MemberId::to_string).collect();
    let beside = folder.join("member.new");
    let mut file = std::fs::File::create(&beside)?;
    file.write_all(format!("{MARKED} {}\n", ids.join(" ")).as_bytes())?;
    file.sync_all()?;
    std::fs::rename(&beside, folder.join(MARK))?;
    std::fs::File::open(folder)?.sync_all()?;
    match folder.parent().map(std::fs::File::open) {
        Some(Ok(above)) => above.sync_all(),
        _ => Ok(()),
    }
}

/// A full or failing disk may be well again later; anything else is wrong with the state itself.
fn disk(error: rusqlite::Error) -> Fatal {
    use rusqlite::ErrorCode::{CannotOpen, DiskFull, SystemIoFailure};
    match error.sqlite_error_code() {
        Some(DiskFull | SystemIoFailure | CannotOpen) => Fatal::Disk(error.to_string()),
        _ => Fatal::State(error.to_string()),
    }
}

/// The SQLite file that holds vote, log and snapshot.
pub struct Granary {
    db: Connection,
    /// Where it lies, and the members it may hold the state of.
    folder: Option<PathBuf>,
    marked: BTreeSet<MemberId>,
}

impl Granary {
    /// For a steward without a disk, which votes on nothing: all is forgotten when it ends.
    pub fn none() -> Result<Self, Fatal> {
        let db = Connection::open_in_memory().map_err(disk)?;
        db.execute_batch(TABLES).map_err(disk)?;
        Ok(Self { db, folder: None, marked: BTreeSet::new() })
    }

    /// Opens or makes the file; gives what it holds, `None` if it was new.
    pub fn open(folder: &Path) -> Result<(Self, Option<Kept>), Fatal> {
        std::fs::create_dir_all(folder).map_err(|e| Fatal::Disk(e.to_string()))?;
        let db = Connection::open(folder.join("hedge.sqlite")).map_err(disk)?;
        // Exclusive before WAL: the index of the log then lives on the heap.
        db.pragma_update(None, "locking_mode", "EXCLUSIVE").map_err(disk)?;
        let format: i64 = db.query_row("PRAGMA user_version", [], |r| r.get(0)).map_err(disk)?;
        if format > FORMAT {
            return Err(Fatal::State(format!(
                "format {format} is newer than {FORMAT}, left as it is"
            )));
        }
        let others = "SELECT count(*) FROM sqlite_master WHERE type = 'table' \
            AND name NOT IN ('hard', 'led', 'snapshot', 'log')";
        let others: i64 = db.query_row(others, [], |r| r.get(0)).map_err(disk)?;
        if others > 0 {
            return Err(Fatal::State("not a steward's file, left as it is".into()));
        }
        // Looked for before anything is written.
        let founded = "SELECT count(*) FROM sqlite_master WHERE name = 'hard'";
        let founded: i64 = db.query_row(founded, [], |r| r.get(0)).map_err(disk)?;
        let gone = || {
            let why = "a member's state was here and is gone; not taken for a new disk";
            Fatal::State(why.into())
        };
        if founded == 0 && folder.join(MARK).exists() {
            return Err(gone());
        }
        db.pragma_update(None, "journal_mode", "WAL").map_err(disk)?;
        db.pragma_update(None, "synchronous", "FULL").map_err(disk)?;
        db.pragma_update(None, "temp_store", "MEMORY").map_err(disk)?;
        db.pragma_update(None, "cache_size", -256).map_err(disk)?;
        let check: String =
            db.query_row("PRAGMA quick_check(1)", [], |r| r.get(0)).map_err(disk)?;
        if check != "ok" {
            return Err(Fatal::State(format!("damaged, left as it is: {check}")));
        }
        // Writes nothing where all is there. The table `led` came later than the rest; files
        // without it are read as ever.
        db.execute_batch(TABLES).map_err(disk)?;
        if format == 0 {
            db.pragma_update(None, "user_version", FORMAT).map_err(disk)?;
        }
        let kept = Self::load(&db)?;
        if kept.is_none() && folder.join(MARK).exists() {
            return Err(gone());
        }
        let mut marked = marks(folder)?;
        if let Some(kept) = &kept {
            if !marked.is_empty() && !marked.contains(&kept.me) {
                return Err(Fatal::State(format!(
                    "of member {}, in a folder of {}; left as it is",
                    kept.me,
                    marked.iter().map(MemberId::to_string).collect::<Vec<_>>().join(", ")
                )));
            }
            if marked.insert(kept.me) {
                mark(folder, &marked).map_err(|e| Fatal::Disk(e.to_string()))?;
            }
        }
        Ok((Self { db, folder: Some(folder.to_owned()), marked }, kept))
    }

    /// Opens the file and makes sure that there is a first state in it, durable with its names.
    pub fn found(folder: &Path, first: impl FnOnce() -> Kept) -> Result<(Self, Kept, bool), Fatal> {
        let (mut granary, kept) = Self::open(folder)?;
        if let Some(kept) = kept {
            return Ok((granary, kept, true));
        }
        let kept = first();
        granary.save(&Sheaf::of(&kept, &Dirty::all())).map_err(disk)?;
        granary.marked.insert(kept.me);
        mark(folder, &granary.marked).map_err(|e| Fatal::Disk(e.to_string()))?;
        Ok((granary, kept, false))
    }

    /// What it holds; `None` if nothing was ever saved.
    ///
    /// # Errors
    /// `Fatal::State` if that can't be read, `Fatal::Disk` if the file can't.
    pub fn kept(&self) -> Result<Option<Kept>, Fatal> {
        Self::load(&self.db)
    }

    fn load(db: &Connection) -> Result<Option<Kept>, Fatal> {
        let broken = |e: std::io::Error| Fatal::State(format!("damaged, left as it is: {e}"));
        let hard = db
            .query_row("SELECT me, epoch, voted FROM hard", [], |r| {
                Ok((r.get::<_, i64>(0)?, r.get::<_, i64>(1)?, r.get::<_, Option<i64>>(2)?))
            })
            .optional()
            .map_err(disk)?;
        let Some((me, epoch, voted)) = hard else {
            return Ok(None);
        };
        let led = db
            .query_row("SELECT epoch FROM led", [], |r| r.get::<_, i64>(0))
            .optional()
            .map_err(disk)?;
        let snapshot = db
            .query_row("SELECT body FROM snapshot", [], |r| r.get::<_, Vec<u8>>(0))
            .optional()
            .map_err(disk)?;
        let snapshot: Snapshot = match snapshot {
            Some(body) => unpack(&body).map_err(broken)?,
            None => Snapshot::default(),
        };
        let mut log: Vec<Entry> = Vec::new();
        let mut rows = db.prepare("SELECT body FROM log ORDER BY place").map_err(disk)?;
        for body in rows.query_map([], |r| r.get::<_, Vec<u8>>(0)).map_err(disk)? {
            let entry: Entry = unpack(&body.map_err(disk)?).map_err(broken)?;
            let expected = log.last().map_or(snapshot.last.1.0, |e| e.index.0) + 1;
            if entry.index.0 != expected {
                return Err(Fatal::State(format!(
                    "damaged, left as it is: entry {expected} is missing"
                )));
            }
            log.push(entry);
        }
        for members in log.iter().filter_map(listed).chain([&snapshot.members]) {
            let ids: BTreeSet<MemberId> = members.iter().map(|m| m.id).collect();
            let places: BTreeSet<SocketAddr> = members.iter().map(|m| m.admin).collect();
            let twice = ids.len() < members.len() || places.len() < members.len();
            if twice || (!members.is_empty() && members.iter().all(|m| !m.voter)) {
                return Err(Fatal::State("left as it is: a list of members that can't be".into()));
            }
        }
        Ok(Some(Kept {
            me: MemberId(me as u64),
            epoch: Epoch(epoch as u64),
            voted: voted.map(|v| MemberId(v as u64)),
            led: led.map(|e| Epoch(e as u64)),
            log,
            snapshot,
        }))
    }

    /// Writes what changed in one transaction; when this returns it is durable.
    pub fn save(&mut self, sheaf: &Sheaf) -> rusqlite::Result<()> {
        // A removed member begins anew: the folder is marked as its before the state is.
        if let (Some(folder), Some((me, ..))) = (&self.folder, &sheaf.hard)
            && !self.marked.is_empty()
            && self.marked.insert(*me)
            && let Err(e) = mark(folder, &self.marked)
        {
            self.marked.remove(me);
            return Err(rusqlite::Error::ToSqlConversionFailure(e.into()));
        }
        let tx = self.db.transaction()?;
        if let Some((me, epoch, voted, led)) = &sheaf.hard {
            tx.prepare_cached("INSERT OR REPLACE INTO hard VALUES (1, ?1, ?2, ?3)")?
                .execute(params![me.0 as i64, epoch.0 as i64, voted.map(|v| v.0 as i64)])?;
            if let Some(led) = led {
                tx.prepare_cached("INSERT OR REPLACE INTO led VALUES (1, ?1)")?
                    .execute([led.0 as i64])?;
            }
        }
        if let Some(snapshot) = &sheaf.snapshot {
            tx.execute("INSERT OR REPLACE INTO snapshot VALUES (1, ?1)", [snapshot])?;
        }
        if let Some((from, entries)) = &sheaf.log {
            tx.prepare_cached("DELETE FROM log WHERE place >= ?1")?.execute([from.0 as i64])?;
            let mut insert = tx.prepare_cached("INSERT INTO log VALUES (?1, ?2)")?;
            for (index, body) in entries {
                insert.execute(params![index.0 as i64, body])?;
            }
        }
        tx.commit()
    }
}

/// Entries as the table of the log holds them.
type Rows = Vec<(Index, Vec<u8>)>;

/// What one transaction brings to the disk, as bytes.
#[derive(Debug)]
pub struct Sheaf {
    hard: Option<(MemberId, Epoch, Option<MemberId>, Option<Epoch>)>,
    snapshot: Option<Vec<u8>>,
    /// From this place on the log is replaced.
    log: Option<(Index, Rows)>,
}
impl Sheaf {
    pub fn of(kept: &Kept, dirty: &Dirty) -> Self {
        let entries = |from: Index| {
            let after = kept.log.iter().filter(move |e| e.index >= from);
            (from, after.map(|e| (e.index, pack(e))).collect::<Rows>())
        };
        Self {
            hard: dirty.hard.then_some((kept.me, kept.epoch, kept.voted, kept.led)),
            snapshot: dirty.snapshot.then(|| pack(&kept.snapshot)),
            log: dirty.log_from.map(entries),
        }
    }
}

/// A write takes this long only when the disk is in trouble.
const STALL_MS: u64 = 700;
const WRITE_AGAIN_MS: u64 = 200;

/// Between the hedge and the disk: one write at a time, whatever comes meanwhile goes into the
/// next one, and messages wait that would promise what is not on disk yet.
#[derive(Default)]
pub struct Desk {
    started: u64,
    under_way: Option<UnderWay>,
    /// The last write failed; the next try comes then.
    retry: Option<Tick>,
    /// Messages, each behind the write it stands on.
    held: VecDeque<(u64, MemberId, Raft)>,
}
struct UnderWay {
    dirty: Dirty,
    last: (Epoch, Index),
    since: Tick,
}

impl Desk {
    /// The messages that may leave now. An epoch or a vote that is not on disk holds all of them
    /// back but trial votes, which promise nothing; what entries they tell of is the hedge's care.
    pub fn leaving(&mut self, hedge: &mut Hedge) -> Vec<(MemberId, Raft)> {
        let behind = if hedge.dirty.hard {
            Some(self.started + 1)
        } else {
            self.under_way.as_ref().filter(|w| w.dirty.hard).map(|_| self.started)
        };
        let mut free = Vec::new();
        for (to, message) in hedge.out.drain(..) {
            let trial = matches!(
                message.kind,
                RaftKind::AskVote { trial: true, .. } | RaftKind::Vote { trial: true, .. }
            );
            match behind {
                Some(number) if !trial => self.held.push_back((number, to, message)),
                _ => free.push((to, message)),
            }
        }
        free
    }
    /// The next write, if there is one to be started now.
    pub fn start(&mut self, hedge: &mut Hedge, now: Tick) -> Option<Sheaf> {
        let waits = self.under_way.is_some() || self.retry.is_some_and(|t| now < t);
        if waits || hedge.dirty == Dirty::default() {
            return None;
        }
        let dirty = std::mem::take(&mut hedge.dirty);
        let sheaf = Sheaf::of(&hedge.kept, &dirty);
        self.started += 1;
        self.under_way = Some(UnderWay { dirty, last: hedge.last(), since: now });
        Some(sheaf)
    }
    /// The write under way has ended; gives the messages that waited for it.
    pub fn ended(&mut self, hedge: &mut Hedge, well: bool, now: Tick) -> Vec<(MemberId, Raft)> {
        let Some(UnderWay { dirty, last, .. }) = self.under_way.take() else {
            return Vec::new();
        };
        if !well {
            hedge.dirty.add(dirty);
            self.retry = Some(now.plus(WRITE_AGAIN_MS));
            return Vec::new();
        }
        self.retry = None;
        hedge.stored(last);
        let mut free = Vec::new();
        while self.held.front().is_some_and(|(number, ..)| *number <= self.started) {
            free.extend(self.held.pop_front().map(|(_, to, message)| (to, message)));
        }
        free
    }
    /// What waited was promised under an id that is no longer used.
    pub fn forget(&mut self) {
        self.held.clear();
    }
    /// The disk refuses writes, or does not answer.
    pub fn troubled(&self, now: Tick) -> bool {
        self.retry.is_some()
            || self.under_way.as_ref().is_some_and(|w| now.since(w.since) > STALL_MS)
    }
}

// ---------------------------------------------------------------------------------------------
// The replicated state

/// Everything the stewards agree on.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Almanac {
    /// The newest configuration, byte for byte as it was sent.
    pub body: ByteBuf,
    pub revision: Revision,
    /// The digest of each configuration ever taken, so that a resend is known again.
    taken: BTreeMap<Revision, Digest>,
    pub instances: BTreeMap<InstanceId, Record>,
    /// The same by service; made anew when a state is read.
    #[serde(skip)]
    by_service: BTreeMap<ServiceName, BTreeSet<InstanceId>>,
    /// Databases that left, with their last sequence: a late beat must not bring them back.
    gone: VecDeque<(InstanceId, u64)>,
    pub leads: BTreeMap<ServiceName, Lead>,
    /// The same as `gone` by id; made anew when a state is read.
    #[serde(skip)]
    gone_by_id: BTreeMap<InstanceId, u64>,
    /// Databases that left and took a log along that may hold what no listed one has, each with
    /// its last sequence. They count like such that don't answer, until others have it all.
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    departed: BTreeMap<ServiceName, BTreeMap<InstanceId, u64>>,
}
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Record {
    pub instance: Instance,
    pub sequence: u64,
}
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Lead {
    pub term: DbTerm,
    pub primary: InstanceId,
    /// Decided but perhaps not yet done; nothing else may be decided before it is settled.
    pub intent: Option<InstanceId>,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Change {
    Configure {
        base: Revision,
        revision: Revision,
        body: ByteBuf,
    },
    Beat {
        id: InstanceId,
        instance: Instance,
        sequence: u64,
    },
    /// Beats up to `sequence` must not bring it back.
    Gone {
        id: InstanceId,
        sequence: u64,
    },
    Led {
        service: ServiceName,
        term: DbTerm,
        primary: InstanceId,
    },
    Intend {
        service: ServiceName,
        term: DbTerm,
        target: InstanceId,
    },
    Abandon {
        service: ServiceName,
        target: InstanceId,
    },
    /// Enough listed replicas have all that was acknowledged before these left.
    Covered {
        service: ServiceName,
        departed: BTreeMap<InstanceId, u64>,
    },
    /// The primary of this term crashed and came back with its log under another id.
    Returned {
        service: ServiceName,
        term: DbTerm,
        primary: InstanceId,
    },
}

/// What became of a change.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Effect {
    Done,
    Nothing,
    /// Another version is current.
    Outdated,
    /// Its revision is not above the current one.
    NotAbove,
    /// So old that it is no longer known whether it was taken.
    Forgotten,
}

/// What an entry's change says, if this program can read all of it.
fn read_change(index: Index, bytes: &[u8]) -> Result<Change, String> {
    let unreadable = |e: String| format!("entry {index} can't be read: {e}");
    let change = unpack::<Change>(bytes).map_err(|e| unreadable(e.to_string()))?;
    if let Change::Configure { body, .. } = &change {
        Configuration::read(body).map_err(unreadable)?;
    }
    Ok(change)
}
/// The state that a snapshot holds; the empty one at the beginning of all logs.
fn read_state(snapshot: &Snapshot) -> Result<Almanac, String> {
    if snapshot.state.is_empty() && snapshot.last.1 == Index(0) {
        return Ok(Almanac::default());
    }
    let unreadable = |e| format!("the snapshot at entry {} can't be read: {e}", snapshot.last.1);
    let almanac = Almanac::read(&snapshot.state).map_err(|e| unreadable(e.to_string()))?;
    almanac.configuration().map_err(unreadable)?;
    Ok(almanac)
}
fn read_entries(entries: &[Entry]) -> Result<(), String> {
    entries.iter().try_for_each(|entry| match &entry.body {
        Body::Change(bytes) => read_change(entry.index, bytes).map(drop),
        _ => Ok(()),
    })
}
/// The steward's `Vet`: what it could not apply is not taken.
pub fn readable(kind: &RaftKind) -> Result<(), String> {
    match kind {
        RaftKind::Append { entries, .. } => read_entries(entries),
        RaftKind::Snapshot { snapshot, .. } => read_state(snapshot).map(drop),
        _ => Ok(()),
    }
}
/// The state of what is on disk, if this program can read all of it.
pub fn read_kept(kept: &Kept) -> Result<Almanac, Fatal> {
    let left = |why| Fatal::State(format!("left as it is: {why}"));
    read_entries(&kept.log).map_err(left)?;
    read_state(&kept.snapshot).map_err(left)
}

/// More than leave while a beat can be under way; a full list takes about 90 KB of a snapshot.
const GONE_KEPT: usize = 4096;
/// Of one service. As many as there are synchronous replicas bar every choice already.
const DEPARTED_KEPT: usize = 64;
const TAKEN_KEPT: usize = 4096;

/// Tells a resend from another body under the same revision.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(untagged)]
enum Digest {
    Sha256(ByteArray<32>),
    /// Length and 64 bits of FNV-1a, from states written before there was the other. A body is
    /// compared in the kind that was kept of it, and nothing is kept in this kind any more.
    Fnv(u64, u64),
}
impl Digest {
    fn of(body: &[u8]) -> Self {
        Self::Sha256(ByteArray::new(Sha256::digest(body).into()))
    }
    fn is_of(&self, body: &[u8]) -> bool {
        match self {
            Self::Sha256(_) => *self == Self::of(body),
            Self::Fnv(length, hash) => {
                let step = |h: u64, b: &u8| (h ^ u64::from(*b)).wrapping_mul(0x0100_0000_01b3);
                *length == body.len() as u64
                    && *hash == body.iter().fold(0xcbf2_9ce4_8422_2325u64, step)
            }
        }
    }
}

/// The layout of a state with digests of orders, or departed databases, that the first one does not
/// know. Stands in front of it.
const STATE_LAYOUT: u8 = 2;

impl Almanac {
    /// The state that a snapshot holds.
    pub fn read(bytes: &[u8]) -> std::io::Result<Self> {
        let mut almanac: Self = unpack(bytes.strip_prefix(&[STATE_LAYOUT]).unwrap_or(bytes))?;
        for (id, record) in &almanac.instances {
            let service = record.instance.target_service.clone();
            almanac.by_service.entry(service).or_default().insert(id.clone());
        }
        // Files of older programs may name one twice; the newest counts.
        almanac.gone_by_id = almanac.gone.iter().cloned().collect();
        Ok(almanac)
    }
    /// The bytes of a snapshot. As long as there is nothing in it that the first layout has no place
    /// for, they are of that one, so that an older program can go on with them.
    pub fn write(&self) -> Vec<u8> {
        let old = |digest: &Digest| matches!(digest, Digest::Fnv(..));
        let first = self.departed.is_empty() && self.taken.values().all(old);
        let prefix: &[u8] = if first { &[] } else { &[STATE_LAYOUT] };
        [prefix, &pack(self)].concat()
    }
    /// Whether anything was taken yet. Whoever founds a hedge has to wait for enough stewards
    /// before; afterwards there may be fewer for a moment, while one is exchanged.
    pub fn begun(&self) -> bool {
        !self.body.is_empty() || !self.instances.is_empty()
    }
    /// The configuration in force. One that this program can't read is not the same as none.
    pub fn configuration(&self) -> Result<Option<Configuration>, String> {
        if self.body.is_empty() {
            return Ok(None);
        }
        let unreadable = |e| format!("configuration {} can't be read: {e}", self.revision);
        Configuration::read(&self.body).map(Some).map_err(unreadable)
    }
    fn unlist(&mut self, id: &InstanceId) -> Option<Record> {
        let record = self.instances.remove(id)?;
        let service = &record.instance.target_service;
        if let Some(ids) = self.by_service.get_mut(service) {
            ids.remove(id);
            if ids.is_empty() {
                self.by_service.remove(service);
            }
        }
        Some(record)
    }
    fn remember_gone(&mut self, id: &InstanceId, last: u64) {
        if self.gone_by_id.insert(id.clone(), last).is_some() {
            self.gone.retain(|(old, _)| old != id);
        }
        self.gone.push_back((id.clone(), last));
        if self.gone.len() > GONE_KEPT
            && let Some((oldest, _)) = self.gone.pop_front()
        {
            self.gone_by_id.remove(&oldest);
        }
    }
    /// What `Configure` would come to now.
    pub fn judge(&self, base: Revision, revision: Revision, body: &[u8]) -> Effect {
        // What was taken is acknowledged for ever, also with newer ones in force.
        if self.taken.get(&revision).is_some_and(|d| d.is_of(body)) {
            Effect::Nothing
        } else if base != self.revision {
            let oldest = self.taken.first_key_value().filter(|_| self.taken.len() >= TAKEN_KEPT);
            // Of those below the oldest that is kept any may have been taken.
            match oldest.is_some_and(|(oldest, _)| revision < *oldest) {
                true => Effect::Forgotten,
                false => Effect::Outdated,
            }
        } else if revision <= self.revision {
            Effect::NotAbove
        } else {
            Effect::Done
        }
    }
    /// Whether a beat tells anything that must be kept.
    pub fn news(&self, id: &InstanceId, instance: &Instance, sequence: u64) -> bool {
        if self.gone_by_id.get(id).is_some_and(|last| sequence <= *last) {
            return false;
        }
        match self.instances.get(id) {
            Some(record) => sequence > record.sequence && record.instance != *instance,
            None => true,
        }
    }
    pub fn apply(&mut self, change: &Change) -> Effect {
        match change {
            Change::Configure { base, revision, body } => {
                let effect = self.judge(*base, *revision, body);
                if effect == Effect::Done {
                    self.taken.insert(*revision, Digest::of(body));
                    while self.taken.len() > TAKEN_KEPT {
                        self.taken.pop_first();
                    }
                    self.revision = *revision;
                    self.body = body.clone();
                }
                return effect;
            }
            Change::Beat { id, instance, sequence } => {
                if !self.news(id, instance, *sequence) {
                    return Effect::Nothing;
                }
                self.unlist(id);
                let service = instance.target_service.clone();
                // Back with its log.
                if let Some(departed) = self.departed.get_mut(&service) {
                    departed.remove(id);
                }
                self.by_service.entry(service).or_default().insert(id.clone());
                let record = Record { instance: instance.clone(), sequence: *sequence };
                self.instances.insert(id.clone(), record);
            }
            Change::Gone { id, sequence } => {
                let Some(record) = self.unlist(id) else {
                    return Effect::Nothing;
                };
                let last = record.sequence.max(*sequence);
                self.remember_gone(id, last);
                let service = record.instance.target_service;
                // Nothing is acknowledged before a service has a lead.
                if self.leads.contains_key(&service) {
                    let departed = self.departed.entry(service).or_default();
                    departed.insert(id.clone(), last);
                    if departed.len() > DEPARTED_KEPT {
                        departed.pop_first();
                    }
                }
            }
            Change::Led { service, term, primary } => {
                if self.leads.get(service).is_some_and(|l| l.term >= *term) {
                    return Effect::Nothing;
                }
                let lead = Lead { term: *term, primary: primary.clone(), intent: None };
                self.leads.insert(service.clone(), lead);
            }
            Change::Intend { service, term, target } => match self.leads.get_mut(service) {
                Some(lead) if lead.term == *term && lead.intent.is_none() => {
                    lead.intent = Some(target.clone());
                }
                _ => return Effect::Nothing,
            },
            Change::Abandon { service, target } => match self.leads.get_mut(service) {
                Some(lead) if lead.intent.as_ref() == Some(target) => lead.intent = None,
                _ => return Effect::Nothing,
            },
            Change::Covered { service, departed } => {
                let Some(left) = self.departed.get_mut(service) else {
                    return Effect::Nothing;
                };
                // One that was back in between has left with more.
                left.retain(|id, last| departed.get(id) != Some(last));
                if left.is_empty() {
                    self.departed.remove(service);
                }
            }
            Change::Returned { service, term, primary } => match self.leads.get_mut(service) {
                Some(lead) if lead.term == *term && lead.intent.is_none() => {
                    // The old id is no other copy, and is never used again.
                    let old = std::mem::replace(&mut lead.primary, primary.clone());
                    self.unlist(&old);
                    self.remember_gone(&old, u64::MAX);
                    if let Some(departed) = self.departed.get_mut(service) {
                        departed.remove(&old);
                    }
                }
                _ => return Effect::Nothing,
            },
        }
        Effect::Done
    }
    /// Those of a service that left with a log that may be missing; the primary's is known to be.
    pub fn departed(&self, service: &ServiceName) -> BTreeMap<InstanceId, u64> {
        let mut departed = self.departed.get(service).cloned().unwrap_or_default();
        if let Some(lead) = self.leads.get(service) {
            departed.remove(&lead.primary);
        }
        departed
    }
    fn of_service(&self, service: &ServiceName) -> impl Iterator<Item = (&InstanceId, &Instance)> {
        let ids = self.by_service.get(service).into_iter().flatten();
        ids.filter_map(|id| self.instances.get_key_value(id)).map(|(id, r)| (id, &r.instance))
    }
}

// ---------------------------------------------------------------------------------------------
// Who leads a service

/// What the system asks a database for itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ask {
    Describe,
    Pause(DbTerm),
    Continue,
    StepDown(DbTerm),
}
/// What came of asking.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Told {
    Row(Described),
    /// Its machine took the connection; the answer may follow.
    Reached,
    /// It answered, so it lives, but not with its state.
    Alive,
    /// Refused, closed, or another database lives there.
    Lost,
    Silent,
}
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Posted {
    Accepted,
    /// The named database is not running.
    Refused,
    /// Not taken this time, for certain.
    Busy,
    Unclear,
}

/// One try at something, as its questions and calls carry it: an answer to an earlier try says
/// nothing about a later one. The epoch tells the offices of one process apart.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Attempt {
    pub epoch: Epoch,
    pub number: u64,
}
impl Attempt {
    /// For the platform: rises with the leader, and with each call of the same leader, so that a
    /// call that was held up on its way is known to be older than one made since.
    pub fn fence(self) -> u64 {
        (self.epoch.0 << ATTEMPT_BITS) | self.number.min((1 << ATTEMPT_BITS) - 1)
    }
}
const ATTEMPT_BITS: u32 = 20;

/// What each is asked belongs to the attempt that is under way when the step ends.
#[derive(Clone, Debug, PartialEq)]
pub enum Deed {
    Ask(InstanceId, Ask),
    Post(InstanceId),
    Propose(Change),
    Revoke(DbTerm),
}

/// A service as the leader sees it when a step is taken.
#[derive(Clone, Debug)]
pub struct Facts {
    pub service: ServiceName,
    /// The epoch in which this leader was elected.
    pub epoch: Epoch,
    pub lead: Option<Lead>,
    /// Every listed database of the service.
    pub databases: Vec<(InstanceId, Instance)>,
    /// Replicas that left and may hold the only copy of a commit; see `Almanac::departed`.
    pub departed: BTreeMap<InstanceId, u64>,
    /// Those whose beats came lately.
    pub beating: BTreeSet<InstanceId>,
    pub sync_replicas: u32,
    /// No lease on the present term can be in use any more.
    pub leases_gone: bool,
    /// Every stile that could have used the present term has given it back and said how far it
    /// saw, or is covered by what was seen later: the furthest position passed on.
    pub given_back: Option<Option<Position>>,
}

impl Facts {
    fn database(&self, wanted: &InstanceId) -> Option<&(InstanceId, Instance)> {
        self.databases.iter().find(|(id, _)| id == wanted)
    }
    fn replicas(&self) -> impl Iterator<Item = &(InstanceId, Instance)> {
        let primary = self.lead.as_ref().map(|l| l.primary.clone());
        self.databases.iter().filter(move |(id, _)| Some(id) != primary.as_ref())
    }
    /// All that a commit may have been acknowledged for, besides the primary.
    fn holders(&self) -> impl Iterator<Item = &InstanceId> {
        self.replicas().map(|(id, _)| id).chain(self.departed.keys())
    }
}

#[derive(Clone, Debug, PartialEq)]
pub enum Stage {
    Steady,
    /// A first primary says so itself; its term is being asked for.
    Founding {
        asked: Tick,
    },
    /// The primary is suspected; its own answer decides.
    Doubting {
        asked: Tick,
        /// Its machine took the connection, so it is not dark, only slow perhaps.
        reached: bool,
    },
    /// Replicas are paused, so that the old primary can commit no more than is seen.
    Fencing {
        /// The replica a planned change goes to; none when the primary was lost.
        target: Option<InstanceId>,
        /// Planned only because the primary is slow: given up at the first obstacle.
        slow: bool,
        since: Tick,
        asked: Tick,
        rows: BTreeMap<InstanceId, Described>,
    },
    /// The intent is on its way into the log.
    Intending {
        target: InstanceId,
        since: Tick,
    },
    Posting {
        target: InstanceId,
        tried: Tick,
        in_flight: bool,
        /// The last call that may have taken effect.
        perhaps: Option<Tick>,
        looked: Tick,
    },
    /// The target leads; the old term's leases are running out.
    Taking {
        target: InstanceId,
        term: DbTerm,
        recorded: bool,
    },
}

/// So many stiles that are owed answers outweigh one unanswered question.
const SILENT_STILES: usize = 3;
/// A machine in reach takes a connection well within this.
const DARK_MS: u64 = 25;
const ASK_AGAIN_MS: u64 = 400;
/// A database that said goodbye receives nothing more after this; it may repeat the goodbye once.
const ENDED_MS: u64 = 2_000;
/// The replicas have this long to reach the mark; then a rest, a longer one each time.
const COVER_PATIENCE_MS: u64 = 1_500;
const COVER_REST_MS: u64 = 1_000;
const COVER_REST_MOST_MS: u64 = 16_000;
const POST_AGAIN_MS: u64 = 300;
/// A call that got an answer or none at all is not under way any more after this.
const POST_SETTLED_MS: u64 = 2_000;
/// A call has ended by then, with an answer or without.
const POST_UNHEARD_MS: u64 = 3_000;
const LOOK_AGAIN_MS: u64 = 500;
const OWED_AGAIN_MS: u64 = 1_000;
/// An order that was not answered within this is not carried out any more: its connection gave up
/// long before.
const ORDER_ENDED_MS: u64 = 3_000;
/// A slow primary is replaced at most this often.
const SLOW_AGAIN_MS: u64 = 5_000;
/// A database that can work answers a question about itself within this.
const SLOW_ANSWER_MS: u64 = 150;
/// Slow twice within this is slow, not a moment's queue.
const SLOW_TWICE_MS: u64 = 2_000;
/// A second question without an answer within this says that the first was no lost packet.
const UNANSWERED_MS: u64 = 1_500;
/// So many reports of broken connections, from so many stiles, within so long, make a primary
/// unsteady.
const BREAKS_MANY: usize = 5;
const BREAKS_STILES: usize = 3;
const BREAKS_WITHIN_MS: u64 = 1_500;
const BREAKS_KEPT: usize = 32;
const PLANNED_PATIENCE_MS: u64 = 3_000;
const PAUSE_PATIENCE_MS: u64 = 600;
/// For this long the replicas themselves are waited for, before the stiles' word is taken.
const VOUCH_AFTER_MS: u64 = 300;
/// A primary that just proved itself is not doubted again for this long.
const TRUST_MS: u64 = 300;

/// One look at whether the listed replicas have what some that left may have taken along.
#[derive(Clone, Debug)]
struct Cover {
    attempt: Attempt,
    departed: BTreeMap<InstanceId, u64>,
    began: Tick,
    asked: Tick,
    /// How far the primary was after they had ended.
    mark: Option<Position>,
    holders: BTreeSet<InstanceId>,
}

impl Cover {
    fn ask(&self, facts: &Facts) -> Vec<Deed> {
        let living = facts.replicas().map(|(id, _)| id).filter(|id| facts.beating.contains(*id));
        let missing = living.filter(|id| !self.holders.contains(*id));
        missing.map(|id| Deed::Ask(id.clone(), Ask::Describe)).collect()
    }
}

/// Orders of one kind that databases have not answered yet.
#[derive(Clone, Debug, Default)]
struct Orders(BTreeMap<InstanceId, (u32, Tick)>);
impl Orders {
    fn sent(&mut self, id: &InstanceId, now: Tick) {
        let (count, asked) = self.0.entry(id.clone()).or_insert((0, now));
        (*count, *asked) = (*count + 1, now);
    }
    fn ended(&mut self, id: &InstanceId) {
        if let Some((count, _)) = self.0.get_mut(id) {
            *count -= 1;
            if *count == 0 {
                self.0.remove(id);
            }
        }
    }
    fn under_way(&self, id: &InstanceId, now: Tick) -> bool {
        self.0.get(id).is_some_and(|(_, asked)| now.since(*asked) < ORDER_ENDED_MS)
    }
}

/// Brings one service from primary to primary. Every step is safe to take again.
#[derive(Clone, Debug)]
pub struct Succession {
    pub stage: Stage,
    /// The attempt under way, or the last one.
    pub attempt: Attempt,
    /// The term whose leases are being taken back; none is granted meanwhile.
    pub revoking: bool,
    /// With the replicas fenced, every acknowledged commit lies at or before this.
    pub sealed: Option<Position>,
    suspects: BTreeSet<NodeName>,
    trusted: Option<Tick>,
    rested: Option<Tick>,
    paused: BTreeSet<InstanceId>,
    /// Let go, but not yet heard to have been: asked again while they live.
    owed: BTreeMap<InstanceId, Attempt>,
    /// Each order travels on a connection of its own, so two may overtake each other: a replica is
    /// not paused while it is being let go, nor taken for let go while it is being paused.
    pausing: Orders,
    letting_go: Orders,
    /// Who left, and since when this leader knows it.
    departed: BTreeMap<InstanceId, (u64, Tick)>,
    cover: Option<Cover>,
    cover_due: Tick,
    cover_rest: u64,
    owed_asked: Tick,
    stepped_down: Option<Tick>,
    slow_tried: Option<Tick>,
    slow_before: Option<Tick>,
    unanswered: Option<Tick>,
    /// Broken connections at the primary, as stiles told of them.
    breaks: VecDeque<(Tick, NodeName)>,
}

impl Succession {
    /// Taken up by a new leader. An intent it finds is finished first, with the same target;
    /// replicas that an earlier leader paused are let go.
    pub fn begin(facts: &Facts, now: Tick) -> (Self, Vec<Deed>) {
        let mut this = Self {
            stage: Stage::Steady,
            attempt: Attempt { epoch: facts.epoch, number: 0 },
            revoking: false,
            sealed: None,
            suspects: BTreeSet::new(),
            trusted: None,
            rested: None,
            paused: BTreeSet::new(),
            owed: BTreeMap::new(),
            pausing: Orders::default(),
            letting_go: Orders::default(),
            departed: BTreeMap::new(),
            cover: None,
            cover_due: now,
            cover_rest: COVER_REST_MS,
            owed_asked: now,
            stepped_down: None,
            slow_tried: None,
            slow_before: None,
            unanswered: None,
            breaks: VecDeque::new(),
        };
        let mut deeds = Vec::new();
        match facts.lead.as_ref().and_then(|l| l.intent.clone().map(|target| (l.term, target))) {
            Some((term, target)) => deeds = this.take_up(facts, term, target, now),
            None if facts.lead.is_some() => {
                this.paused = facts.replicas().map(|(id, _)| id.clone()).collect();
                deeds.extend(this.let_go(now));
            }
            None => {}
        }
        (this, deeds)
    }

    /// Finishes an intent that an earlier leader left.
    fn take_up(&mut self, facts: &Facts, term: DbTerm, target: InstanceId, now: Tick) -> Vec<Deed> {
        self.revoking = true;
        let mut deeds = vec![Deed::Revoke(term)];
        deeds.extend(self.pause_newcomers(facts, &target, now));
        self.paused.insert(target.clone());
        self.post(target, now, &mut deeds);
        deeds
    }

    /// The target leads a newer term than is written down.
    fn taking(&mut self, facts: &Facts, target: InstanceId, term: DbTerm, now: Tick) -> Vec<Deed> {
        self.stage = Stage::Taking { target, term, recorded: false };
        let mut deeds = Vec::new();
        if let Some(lead) = &facts.lead {
            if !self.revoking {
                self.revoking = true;
                deeds.push(Deed::Revoke(lead.term));
            }
            deeds.push(Deed::Ask(lead.primary.clone(), Ask::StepDown(term)));
        }
        deeds.extend(self.tick(facts, now));
        deeds
    }

    /// What stiles are to know: whether leases are being taken back, and what is sealed.
    pub fn standing(&self) -> (bool, Option<Position>) {
        (self.revoking, self.sealed)
    }

    fn renumber(&mut self) {
        self.attempt.number += 1;
    }

    fn post(&mut self, target: InstanceId, now: Tick, deeds: &mut Vec<Deed>) {
        self.renumber();
        deeds.push(Deed::Post(target.clone()));
        self.stage =
            Stage::Posting { target, tried: now, in_flight: true, perhaps: None, looked: now };
    }

    fn settle(&mut self, now: Tick) {
        self.stage = Stage::Steady;
        self.revoking = false;
        self.sealed = None;
        self.suspects.clear();
        self.trusted = Some(now);
    }

    /// Lets everything go as it was, while nothing has been posted.
    fn call_off(&mut self, now: Tick) -> Vec<Deed> {
        self.settle(now);
        self.rested = Some(now);
        self.let_go(now)
    }

    fn let_go(&mut self, now: Tick) -> Vec<Deed> {
        let paused = std::mem::take(&mut self.paused);
        self.owed.extend(paused.iter().map(|id| (id.clone(), self.attempt)));
        self.owed_asked = now;
        self.ask_to_go_on(paused.into_iter().collect(), now)
    }
    fn ask_to_go_on(&mut self, which: Vec<InstanceId>, now: Tick) -> Vec<Deed> {
        which.iter().for_each(|id| self.letting_go.sent(id, now));
        which.into_iter().map(|id| Deed::Ask(id, Ask::Continue)).collect()
    }

    pub fn suspect(
        &mut self,
        facts: &Facts,
        who: &NodeName,
        of: &InstanceId,
        why: Doubt,
        now: Tick,
    ) -> Vec<Deed> {
        let Some(lead) = &facts.lead else {
            return Vec::new();
        };
        if lead.primary != *of {
            return Vec::new();
        }
        if why == Doubt::Broken {
            self.breaks.push_back((now, who.clone()));
            if self.breaks.len() > BREAKS_KEPT {
                self.breaks.pop_front();
            }
        }
        if self.trusted.is_some_and(|t| now.since(t) < TRUST_MS) {
            return Vec::new();
        }
        if why == Doubt::Silent {
            self.suspects.insert(who.clone());
        }
        let planned = matches!(self.stage, Stage::Fencing { target: Some(_), .. });
        match self.stage {
            Stage::Doubting { .. } => self.tick(facts, now),
            Stage::Steady => self.doubt(&lead.primary, now),
            _ if planned => vec![Deed::Ask(lead.primary.clone(), Ask::Describe)],
            _ => Vec::new(),
        }
    }

    fn doubt(&mut self, primary: &InstanceId, now: Tick) -> Vec<Deed> {
        self.renumber();
        self.stage = Stage::Doubting { asked: now, reached: false };
        vec![Deed::Ask(primary.clone(), Ask::Describe)]
    }

    fn fence(&mut self, facts: &Facts, now: Tick) -> Vec<Deed> {
        let Some(lead) = &facts.lead else {
            return Vec::new();
        };
        // The doubt before it asked for no pause, and its question still counts.
        if !matches!(self.stage, Stage::Doubting { .. }) {
            self.renumber();
        }
        self.revoking = true;
        self.suspects.clear();
        self.stage = Stage::Fencing {
            target: None,
            slow: false,
            since: now,
            asked: now,
            rows: BTreeMap::new(),
        };
        let mut deeds = vec![Deed::Revoke(lead.term)];
        deeds.extend(self.pause(
            facts.replicas().map(|(id, _)| id.clone()).collect(),
            lead.term,
            now,
        ));
        deeds
    }

    /// One that is still being let go is paused once that has ended.
    fn pause(&mut self, mut which: Vec<InstanceId>, term: DbTerm, now: Tick) -> Vec<Deed> {
        which.retain(|id| !self.letting_go.under_way(id, now));
        which.iter().for_each(|id| self.pausing.sent(id, now));
        self.paused.extend(which.iter().cloned());
        self.owed.retain(|id, _| !which.contains(id));
        which.into_iter().map(|id| Deed::Ask(id, Ask::Pause(DbTerm(term.0 + 1)))).collect()
    }

    /// Replicas that came after the others were paused: a commit that only they receive would be
    /// acknowledged, and missing at the target.
    fn pause_newcomers(&mut self, facts: &Facts, target: &InstanceId, now: Tick) -> Vec<Deed> {
        let Some(lead) = &facts.lead else { return Vec::new() };
        let new = |id: &&InstanceId| *id != target && !self.paused.contains(*id);
        let newcomers = facts.replicas().map(|(id, _)| id).filter(new).cloned().collect();
        self.pause(newcomers, lead.term, now)
    }

    /// The primary was seen slow. Seen so twice in a row it is left, if a replica can take over
    /// at once and the last try was long ago.
    fn leave_slow(&mut self, facts: &Facts, term: DbTerm, now: Tick) -> Vec<Deed> {
        let again = self.slow_before.is_some_and(|t| now.since(t) < SLOW_TWICE_MS);
        self.slow_before = Some(now);
        if again { self.leave(facts, term, now) } else { Vec::new() }
    }
    /// It answers for itself, but breaks connections of many stiles again and again: each break
    /// may cost an answer, and a replica may do better.
    fn unsteady(&self, now: Tick) -> bool {
        let recent = || self.breaks.iter().filter(|(at, _)| now.since(*at) < BREAKS_WITHIN_MS);
        recent().count() >= BREAKS_MANY
            && recent().map(|(_, who)| who).collect::<BTreeSet<_>>().len() >= BREAKS_STILES
    }
    fn leave(&mut self, facts: &Facts, term: DbTerm, now: Tick) -> Vec<Deed> {
        if self.slow_tried.is_some_and(|t| now.since(t) < SLOW_AGAIN_MS) {
            return Vec::new();
        }
        self.slow_tried = Some(now);
        self.plan(facts, term, true, now)
    }

    /// Begins a planned change: all replicas but the target are paused, so that from then on every
    /// acknowledged commit is on the target, and the primary serves until the promote.
    fn plan(&mut self, facts: &Facts, term: DbTerm, slow: bool, now: Tick) -> Vec<Deed> {
        // What one that left may have taken along no pause brings out: first others must have it.
        if !facts.departed.is_empty() {
            return Vec::new();
        }
        let Some(target) = Self::successor(facts) else { return Vec::new() };
        let others: Vec<_> =
            facts.replicas().map(|(id, _)| id.clone()).filter(|id| *id != target).collect();
        self.renumber();
        let mut deeds = Vec::new();
        if others.is_empty() {
            deeds.push(Deed::Ask(target.clone(), Ask::Describe));
        }
        deeds.extend(self.pause(others, term, now));
        self.stage = Stage::Fencing {
            target: Some(target),
            slow,
            since: now,
            asked: now,
            rows: BTreeMap::new(),
        };
        deeds
    }

    /// A replica that left took its log along, and was acknowledged for until it ended. What it had
    /// is safe once enough listed ones have all that the primary had after that.
    fn cover(&mut self, facts: &Facts, primary: &InstanceId, now: Tick) -> Vec<Deed> {
        self.departed.retain(|id, (last, _)| facts.departed.get(id) == Some(last));
        for (id, last) in &facts.departed {
            self.departed.entry(id.clone()).or_insert((*last, now));
        }
        if self.departed.is_empty() {
            (self.cover, self.cover_rest) = (None, COVER_REST_MS);
            return Vec::new();
        }
        if let Some(cover) = &mut self.cover {
            if now.since(cover.began) > COVER_PATIENCE_MS {
                self.cover = None;
                self.cover_due = now.plus(self.cover_rest);
                self.cover_rest = (2 * self.cover_rest).min(COVER_REST_MOST_MS);
            } else if cover.mark.is_some() && now.since(cover.asked) > ASK_AGAIN_MS {
                cover.asked = now;
                return cover.ask(facts);
            }
            return Vec::new();
        }
        let ended = self.departed.iter().filter(|(_, (_, at))| now.since(*at) >= ENDED_MS);
        let departed: BTreeMap<_, _> = ended.map(|(id, (last, _))| (id.clone(), *last)).collect();
        if departed.is_empty() || now < self.cover_due {
            return Vec::new();
        }
        self.renumber();
        let (attempt, holders) = (self.attempt, BTreeSet::new());
        let cover = Cover { attempt, departed, began: now, asked: now, mark: None, holders };
        self.cover = Some(cover);
        vec![Deed::Ask(primary.clone(), Ask::Describe)]
    }
    fn looked(&mut self, facts: &Facts, of: &InstanceId, row: &Described, now: Tick) -> Vec<Deed> {
        let (Some(cover), Some(lead)) = (&mut self.cover, &facts.lead) else {
            return Vec::new();
        };
        if lead.primary == *of {
            if cover.mark.is_some() || !row.primary || row.term != lead.term {
                return Vec::new();
            }
            (cover.mark, cover.asked) = (Some(row.received), now);
            return cover.ask(facts);
        }
        if cover.mark.is_some_and(|mark| row.received >= mark) {
            cover.holders.insert(of.clone());
        }
        let holding = facts.replicas().filter(|(id, _)| cover.holders.contains(id)).count();
        if holding < (facts.sync_replicas as usize).max(1) {
            return Vec::new();
        }
        let (service, departed) = (facts.service.clone(), std::mem::take(&mut cover.departed));
        self.cover = None;
        self.cover_due = now.plus(COVER_REST_MS);
        vec![Deed::Propose(Change::Covered { service, departed })]
    }

    /// The replica a planned change should go to, so that one promote is enough.
    fn successor(facts: &Facts) -> Option<InstanceId> {
        facts
            .replicas()
            .filter(|(id, i)| {
                i.lifecycle_state == Lifecycle::Available && facts.beating.contains(id)
            })
            .max_by_key(|(id, i)| {
                (i.revision.len(), i.revision.clone(), std::cmp::Reverse(id.clone()))
            })
            .map(|(id, _)| id.clone())
    }

    pub fn told(
        &mut self,
        facts: &Facts,
        attempt: Attempt,
        of: &InstanceId,
        ask: Ask,
        told: &Told,
        now: Tick,
    ) -> Vec<Deed> {
        let lead = facts.lead.clone();
        // Unanswered it may still be carried out; the time says when not.
        match (ask, told) {
            (_, Told::Reached | Told::Silent) => {}
            _ if attempt.epoch != self.attempt.epoch => {}
            (Ask::Pause(_), _) => self.pausing.ended(of),
            (Ask::Continue, _) => self.letting_go.ended(of),
            _ => {}
        }
        if let (Ask::Describe, Some(cover)) = (ask, &self.cover)
            && cover.attempt == attempt
        {
            return match told {
                Told::Row(row) => self.looked(facts, of, row, now),
                _ => Vec::new(),
            };
        }
        let late = match (&self.stage, ask) {
            // Whoever leads a newer term does so whenever it was asked.
            (Stage::Posting { .. }, Ask::Describe) => false,
            (_, Ask::Pause(_) | Ask::Describe) => attempt != self.attempt,
            (_, Ask::Continue | Ask::StepDown(_)) => false,
        };
        if late {
            return Vec::new();
        }
        match (&mut self.stage, ask, told) {
            (Stage::Doubting { reached, .. }, Ask::Describe, Told::Reached) => {
                *reached = true;
                Vec::new()
            }
            (_, _, Told::Reached) => Vec::new(),
            (_, Ask::Continue, told) => {
                if matches!(told, Told::Row(_))
                    && self.owed.get(of).is_some_and(|since| attempt >= *since)
                    && !self.pausing.under_way(of, now)
                {
                    self.owed.remove(of);
                }
                // A pause may have waited for this.
                match (&self.stage, lead) {
                    (Stage::Fencing { target, rows, .. }, Some(lead))
                        if target.as_ref() != Some(of)
                            && !rows.contains_key(of)
                            && !self.pausing.under_way(of, now)
                            && facts.replicas().any(|(id, _)| id == of) =>
                    {
                        self.pause(vec![of.clone()], lead.term, now)
                    }
                    _ => Vec::new(),
                }
            }
            (Stage::Founding { .. }, Ask::Describe, Told::Row(row)) if lead.is_none() => {
                self.stage = Stage::Steady;
                if !row.primary {
                    return Vec::new();
                }
                let (service, primary) = (facts.service.clone(), of.clone());
                vec![Deed::Propose(Change::Led { service, term: row.term, primary })]
            }
            (Stage::Founding { .. }, ..) => {
                self.stage = Stage::Steady;
                Vec::new()
            }
            (Stage::Doubting { .. } | Stage::Fencing { .. }, Ask::Describe, told)
                if lead.as_ref().is_some_and(|l| l.primary == *of) =>
            {
                let leads = match told {
                    Told::Row(row) => {
                        row.primary && lead.as_ref().is_some_and(|l| l.term == row.term)
                    }
                    Told::Alive | Told::Reached => true,
                    Told::Lost | Told::Silent => false,
                };
                match (&self.stage, leads) {
                    (Stage::Doubting { asked, .. }, true) => {
                        // Its own answer was slow, or it turned even this question away.
                        let slow = now.since(*asked) > SLOW_ANSWER_MS || *told == Told::Alive;
                        self.settle(now);
                        match lead {
                            Some(lead) if slow => self.leave_slow(facts, lead.term, now),
                            Some(lead) if self.unsteady(now) => self.leave(facts, lead.term, now),
                            _ => Vec::new(),
                        }
                    }
                    // One question without an answer may be a lost packet: it is asked once more.
                    (Stage::Doubting { .. }, false)
                        if *told == Told::Silent
                            && self.suspects.len() < SILENT_STILES
                            && self.unanswered.is_none_or(|t| now.since(t) > UNANSWERED_MS) =>
                    {
                        self.unanswered = Some(now);
                        self.stage = Stage::Doubting { asked: now, reached: false };
                        vec![Deed::Ask(of.clone(), Ask::Describe)]
                    }
                    // Nothing was posted yet, and the alarm was false.
                    (Stage::Fencing { target: None, .. }, true) => self.call_off(now),
                    (Stage::Fencing { target: None, .. }, false) | (_, true) => Vec::new(),
                    _ => self.fence(facts, now),
                }
            }
            // No pause holds one that leads. Of the present term it is the primary itself.
            (Stage::Fencing { .. }, Ask::Pause(_) | Ask::Describe, Told::Row(row))
                if row.primary =>
            {
                let (service, primary) = (facts.service.clone(), of.clone());
                match lead {
                    Some(Lead { term, .. }) if row.term == term => {
                        vec![Deed::Propose(Change::Returned { service, term, primary })]
                    }
                    // An earlier leader's call has taken effect.
                    Some(Lead { term, .. }) if row.term > term => {
                        self.taking(facts, primary, row.term, now)
                    }
                    Some(Lead { term, .. }) => vec![Deed::Ask(primary, Ask::StepDown(term))],
                    None => Vec::new(),
                }
            }
            (Stage::Fencing { rows, .. }, Ask::Pause(_) | Ask::Describe, Told::Row(row)) => {
                rows.insert(of.clone(), row.clone());
                let deeds = self.choose(facts, now);
                match &self.stage {
                    // The others are paused: now see how far the target is.
                    Stage::Fencing { target: Some(target), rows, .. }
                        if !rows.contains_key(target)
                            && facts
                                .replicas()
                                .all(|(id, _)| id == target || rows.contains_key(id)) =>
                    {
                        vec![Deed::Ask(target.clone(), Ask::Describe)]
                    }
                    _ => deeds,
                }
            }
            (Stage::Posting { target, .. }, Ask::Describe, Told::Row(row))
                if of == target
                    && row.primary
                    && lead.as_ref().is_some_and(|l| l.term < row.term) =>
            {
                self.taking(facts, of.clone(), row.term, now)
            }
            _ => Vec::new(),
        }
    }

    /// Whether the paused replicas are enough, and which one then takes over.
    fn choose(&mut self, facts: &Facts, now: Tick) -> Vec<Deed> {
        let Stage::Fencing { target, rows, since, .. } = &self.stage else {
            return Vec::new();
        };
        let Some(lead) = &facts.lead else {
            return Vec::new();
        };
        let furthest = rows.values().map(|r| r.received).max();
        let chosen = match target {
            Some(target) => {
                let fenced = facts.holders().all(|id| id == target || rows.contains_key(id));
                // Commits that no paused replica can vouch for must have been given back.
                let safe = match (fenced, &facts.given_back) {
                    (true, _) if facts.sync_replicas > 0 => true,
                    (_, Some(highest)) => {
                        rows.get(target).is_some_and(|r| highest.is_none_or(|h| r.received >= h))
                    }
                    _ => false,
                };
                let whole = rows.get(target).is_some_and(|r| Some(r.received) >= furthest);
                (safe && whole).then(|| target.clone())
            }
            None => {
                let holders = facts.holders().count();
                let needed = (holders + 1).saturating_sub(facts.sync_replicas as usize).max(1);
                // One that was paused and left since has said all that it took along.
                let answered = facts.holders().filter(|id| rows.contains_key(*id)).count();
                let fenced = facts.sync_replicas > 0 && answered >= needed;
                let patient = now.since(*since) < VOUCH_AFTER_MS;
                let vouched =
                    !patient && answered > 0 && facts.given_back.is_some_and(|h| h <= furthest);
                let holds_all = |received: Position| {
                    Some(received) == furthest
                        || facts.given_back.is_some_and(|highest| highest <= Some(received))
                };
                let best = facts
                    .replicas()
                    .filter_map(|(id, i)| Some((id, i, rows.get(id)?.received)))
                    .filter(|(_, _, received)| holds_all(*received))
                    .max_by_key(|(_, i, received)| {
                        let available = i.lifecycle_state == Lifecycle::Available;
                        (available, *received, i.revision.len(), i.revision.clone())
                    });
                match best {
                    // One that is about to end is taken only if there is no other.
                    Some((_, i, _)) if patient && i.lifecycle_state == Lifecycle::Draining => None,
                    Some((id, ..)) if fenced || vouched => {
                        self.sealed = furthest;
                        Some(id.clone())
                    }
                    _ => None,
                }
            }
        };
        let Some(target) = chosen else {
            return Vec::new();
        };
        self.stage = Stage::Intending { target: target.clone(), since: now };
        let (service, term) = (facts.service.clone(), lead.term);
        vec![Deed::Propose(Change::Intend { service, term, target })]
    }

    pub fn posted(
        &mut self,
        facts: &Facts,
        attempt: Attempt,
        of: &InstanceId,
        posted: Posted,
        now: Tick,
    ) -> Vec<Deed> {
        let Stage::Posting { target, in_flight, perhaps, tried, .. } = &mut self.stage else {
            return Vec::new();
        };
        if of != target || attempt != self.attempt {
            return Vec::new();
        }
        *in_flight = false;
        match posted {
            Posted::Accepted => {
                *perhaps = Some(now);
                // Accepted: not to be repeated unless the target stays silent for long.
                *tried = now.plus(POST_SETTLED_MS);
            }
            Posted::Unclear => *perhaps = Some(now),
            Posted::Busy => {}
            Posted::Refused => {
                // One that has left for good will not lead any more, whatever is under way.
                let left = facts.database(target).is_none();
                if left || perhaps.is_none_or(|t| now.since(t) > POST_SETTLED_MS) {
                    let (service, target) = (facts.service.clone(), target.clone());
                    return vec![Deed::Propose(Change::Abandon { service, target })];
                }
            }
        }
        Vec::new()
    }

    /// Goes on from what is committed of this service: the stage may wait for just that, and the moment
    /// of its commit may have passed while this leader was not certain of leading.
    fn agreed(&mut self, facts: &Facts, now: Tick) -> Option<Vec<Deed>> {
        let lead = facts.lead.as_ref()?;
        match &self.stage {
            Stage::Intending { target, .. } if lead.intent.as_ref() == Some(target) => {
                let mut deeds = Vec::new();
                self.post(target.clone(), now, &mut deeds);
                Some(deeds)
            }
            // Another leader's, which came into force after this one began.
            Stage::Steady
            | Stage::Doubting { .. }
            | Stage::Fencing { .. }
            | Stage::Intending { .. }
                if lead.intent.is_some() =>
            {
                let target = lead.intent.clone()?;
                Some(self.take_up(facts, lead.term, target, now))
            }
            Stage::Posting { target, .. } if lead.intent.as_ref() != Some(target) => {
                Some(self.fence(facts, now))
            }
            Stage::Taking { term, .. } if lead.term >= *term => {
                self.paused.remove(&lead.primary);
                let deeds = self.call_off(now);
                self.rested = None;
                Some(deeds)
            }
            _ => None,
        }
    }

    /// A beat came in; `role` is how the database sees itself.
    pub fn beat(&mut self, facts: &Facts, of: &InstanceId, role: Role, now: Tick) -> Vec<Deed> {
        match (&mut self.stage, &facts.lead) {
            (Stage::Steady, None) if role == Role::Primary => {
                self.stage = Stage::Founding { asked: now };
                vec![Deed::Ask(of.clone(), Ask::Describe)]
            }
            (Stage::Steady, Some(lead))
                if role == Role::Primary
                    && lead.primary != *of
                    && self.stepped_down.is_none_or(|t| now.since(t) > 1_000) =>
            {
                self.stepped_down = Some(now);
                vec![Deed::Ask(of.clone(), Ask::StepDown(lead.term))]
            }
            (Stage::Posting { target, looked, .. }, _) if target == of && role == Role::Primary => {
                *looked = now;
                vec![Deed::Ask(of.clone(), Ask::Describe)]
            }
            _ => Vec::new(),
        }
    }

    pub fn tick(&mut self, facts: &Facts, now: Tick) -> Vec<Deed> {
        let Some(lead) = &facts.lead else {
            if let Stage::Founding { asked } = self.stage
                && now.since(asked) > 2 * ASK_AGAIN_MS
            {
                self.stage = Stage::Steady;
            }
            return Vec::new();
        };
        if let Some(deeds) = self.agreed(facts, now) {
            return deeds;
        }
        if let Stage::Fencing { target: Some(target), .. }
        | Stage::Intending { target, .. }
        | Stage::Posting { target, .. } = &self.stage
        {
            let deeds = self.pause_newcomers(facts, &target.clone(), now);
            if !deeds.is_empty() {
                return deeds;
            }
        }
        let listed = facts.database(&lead.primary);
        match &mut self.stage {
            Stage::Steady => {
                if facts.databases.is_empty() {
                    return Vec::new();
                }
                let Some((id, primary)) = listed else {
                    return self.fence(facts, now);
                };
                if !self.owed.is_empty() && now.since(self.owed_asked) > OWED_AGAIN_MS {
                    self.owed_asked = now;
                    self.owed.retain(|id, _| facts.replicas().any(|(replica, _)| replica == id));
                    let living = self.owed.keys().filter(|id| facts.beating.contains(*id));
                    return self.ask_to_go_on(living.cloned().collect(), now);
                }
                let looks = self.cover(facts, id, now);
                if !looks.is_empty() {
                    return looks;
                }
                let rested = self.rested.is_none_or(|t| now.since(t) > 1_000);
                let rested = rested && facts.departed.is_empty();
                if primary.lifecycle_state == Lifecycle::Draining && rested {
                    return self.plan(facts, lead.term, false, now);
                }
                if !facts.beating.contains(id) && self.trusted.is_none_or(|t| now.since(t) > 2_000)
                {
                    return self.doubt(id, now);
                }
            }
            Stage::Founding { .. } => self.stage = Stage::Steady,
            // Several stiles are owed answers. If its machine does not even take a connection, it
            // is lost; if it does, it is slow, and a replica may do better while it still serves.
            Stage::Doubting { asked, reached }
                if self.suspects.len() >= SILENT_STILES && now.since(*asked) >= DARK_MS =>
            {
                if !*reached {
                    return self.fence(facts, now);
                }
                self.slow_before = Some(now);
                return self.leave_slow(facts, lead.term, now);
            }
            Stage::Doubting { asked, .. } if now.since(*asked) > 4 * ASK_AGAIN_MS => {
                self.stage = Stage::Steady;
            }
            Stage::Fencing { target, slow, since, asked, rows } => {
                let waited = now.since(*since);
                if let Some(target) = target {
                    let target = target.clone();
                    if waited > if *slow { PAUSE_PATIENCE_MS } else { PLANNED_PATIENCE_MS } {
                        return self.call_off(now);
                    }
                    let others = facts
                        .replicas()
                        .map(|(id, _)| id.clone())
                        .filter(|id| *id != target && !rows.contains_key(id))
                        .collect::<Vec<_>>();
                    let stuck = !others.is_empty() && waited > PAUSE_PATIENCE_MS;
                    if (others.is_empty() || facts.given_back.is_some()) && now.since(*asked) >= 100
                    {
                        *asked = now;
                        return vec![Deed::Ask(target, Ask::Describe)];
                    }
                    if stuck && !*slow && !self.revoking {
                        self.revoking = true;
                        return vec![Deed::Revoke(lead.term)];
                    }
                    return Vec::new();
                }
                let mut deeds = Vec::new();
                if now.since(*asked) > ASK_AGAIN_MS {
                    *asked = now;
                    let missing: Vec<_> = facts
                        .replicas()
                        .map(|(id, _)| id.clone())
                        .filter(|id| !rows.contains_key(id))
                        .collect();
                    deeds = self.pause(missing, lead.term, now);
                    if waited > 2 * ASK_AGAIN_MS && listed.is_some() {
                        deeds.push(Deed::Ask(lead.primary.clone(), Ask::Describe));
                    }
                }
                deeds.extend(self.choose(facts, now));
                return deeds;
            }
            Stage::Intending { target, since } if now.since(*since) > 1_000 => {
                // Proposed but not seen committed: the same proposal again changes nothing twice.
                *since = now;
                let (service, term, target) = (facts.service.clone(), lead.term, target.clone());
                return vec![Deed::Propose(Change::Intend { service, term, target })];
            }
            Stage::Posting { target, tried, in_flight, looked, perhaps } => {
                let mut deeds = Vec::new();
                // Having left in the meantime, the target is asked for again at once: the refusal
                // settles it.
                let left = facts.database(target).is_none();
                let again = now >= tried.plus(POST_AGAIN_MS);
                // What came of a call may have gone by while this leader was not certain of leading.
                let unheard = *in_flight && now.since(*tried) > POST_UNHEARD_MS;
                if unheard {
                    *perhaps = Some(now);
                }
                if (!*in_flight && (again || (left && *tried > now))) || unheard {
                    *in_flight = true;
                    *tried = now;
                    self.attempt.number += 1;
                    deeds.push(Deed::Post(target.clone()));
                }
                if perhaps.is_some_and(|t| now.since(t) > LOOK_AGAIN_MS)
                    && now.since(*looked) > LOOK_AGAIN_MS
                {
                    *looked = now;
                    deeds.push(Deed::Ask(target.clone(), Ask::Describe));
                }
                return deeds;
            }
            Stage::Taking { target, term, recorded } if facts.leases_gone && !*recorded => {
                *recorded = true;
                let (service, term, primary) = (facts.service.clone(), *term, target.clone());
                return vec![Deed::Propose(Change::Led { service, term, primary })];
            }
            _ => {}
        }
        Vec::new()
    }
}

// ---------------------------------------------------------------------------------------------
// Leases and shares

/// How long a stile may use what it was last granted, from when it asked.
pub const LEASE_MS: u64 = 1_800;
/// For what a clock may be off by a little.
const LEASE_SLACK_MS: u64 = 50;
/// Connections of a lost stile are counted this long: a database drops a dark end after 3 s.
const SHARE_HELD_MS: u64 = 4_500;
/// A lost stile may have passed on more than it told; others have seen further after this time.
const UNTOLD_MS: u64 = 10_000;
/// What a stile gets from a new leader that has not heard of any share yet.
const YOUNG_SHARE: u32 = 4;
/// What was lent beyond a stile's part is taken back when it wanted no more for so long.
const LENT_MS: u64 = 3_000;
/// Connections to each database kept back for the stewards' own questions.
const RESERVE: u32 = 4;

/// One stile, as the leader accounts for it.
#[derive(Clone, Debug, Default)]
pub struct Seat {
    pub life: u64,
    pub conn: Option<u64>,
    pub lost: Option<Tick>,
    /// Its connections are counted no more, unless it comes back.
    released: bool,
    /// What it was last told. Whoever leads in here is leased to it as of `granted`.
    told: BTreeMap<ServiceName, Grant>,
    granted: Tick,
    /// Leases that were not renewed further, and when they were last granted.
    ended: BTreeMap<ServiceName, (DbTerm, Tick)>,
    given_back: BTreeMap<ServiceName, (DbTerm, Option<Position>)>,
    reported: BTreeMap<ServiceName, u32>,
    /// Connections it could use beyond its part, and when it said so.
    wants: BTreeMap<ServiceName, (u32, Tick)>,
    heard: Tick,
}

impl Seat {
    /// Connections it may have to a database of the service.
    fn holds(&self, service: &ServiceName) -> u32 {
        let told = self.told.get(service).map_or(0, |g| g.share);
        told.max(self.reported.get(service).copied().unwrap_or(0))
    }
    fn holdings(&self) -> impl Iterator<Item = (&ServiceName, u32)> {
        let names: BTreeSet<&ServiceName> = self.told.keys().chain(self.reported.keys()).collect();
        names.into_iter().map(|name| (name, self.holds(name)))
    }
    /// When this leader last granted it a lease on the service.
    fn leased(&self, service: &ServiceName) -> Option<Tick> {
        let led = |g: &&Grant| matches!(g.standing, Standing::Led { .. });
        let now = self.told.get(service).filter(led).map(|_| self.granted);
        now.max(self.ended.get(service).map(|(_, at)| *at))
    }
    /// The lease on this service is renewed no more; it runs out by itself.
    fn end(&mut self, service: &ServiceName) {
        if let Some(Grant { standing: Standing::Led { term, .. }, .. }) = self.told.get(service) {
            self.ended.insert(service.clone(), (*term, self.granted));
        }
    }
}

/// Which stile may use what until when. A value; the leader keeps one while it leads.
///
/// One lease covers all services of a stile. An answer to a renewal renews whatever it was told
/// before on the same connection, so only what changed is told.
#[derive(Clone, Debug, Default)]
pub struct LeaseBook {
    pub seats: BTreeMap<NodeName, Seat>,
    elected: Tick,
    live: u32,
    /// For each service, the connections that all stiles may have.
    held: BTreeMap<ServiceName, u32>,
    /// The most that any stile said it has.
    most: BTreeMap<ServiceName, u32>,
    /// Until when a stile whose word will never come may have passed on commits of a service.
    unheard: BTreeMap<ServiceName, Tick>,
}

/// When a lease granted then can be in use no more.
fn lease_end(granted: Tick) -> Tick {
    granted.plus(LEASE_MS + LEASE_SLACK_MS)
}

impl LeaseBook {
    pub fn new(elected: Tick) -> Self {
        Self { elected, ..Self::default() }
    }
    fn count(&mut self, service: &ServiceName, before: u32, now: u32) {
        if before != now {
            let held = self.held.entry(service.clone()).or_default();
            *held = (*held + now).saturating_sub(before);
        }
    }
    fn count_all(&mut self, seat: &Seat, add: bool) {
        for (service, holds) in seat.holdings() {
            let (before, now) = if add { (0, holds) } else { (holds, 0) };
            self.count(service, before, now);
        }
    }
    pub fn seat(&mut self, node: &NodeName, life: u64, conn: u64, now: Tick) {
        let mut seat = self.seats.remove(node).unwrap_or_default();
        if seat.conn.is_none() {
            self.live += 1;
        }
        if seat.life != life {
            // The old process is gone and its connections with it; what it passed on is not known.
            if !seat.released {
                self.count_all(&seat, false);
            }
            self.never_heard(&seat);
            seat = Seat { life, ..Seat::default() };
        } else if seat.released {
            self.count_all(&seat, true);
        }
        // On a new connection everything is told anew.
        let known: Vec<ServiceName> = seat.told.keys().cloned().collect();
        for service in known {
            let before = seat.holds(&service);
            seat.end(&service);
            seat.reported.insert(service, before);
        }
        seat.told.clear();
        (seat.conn, seat.lost, seat.released, seat.heard) = (Some(conn), None, false, now);
        self.seats.insert(node.clone(), seat);
    }
    pub fn lose(&mut self, conn: u64, now: Tick) -> Option<NodeName> {
        let (node, seat) = self.seats.iter_mut().find(|(_, s)| s.conn == Some(conn))?;
        seat.conn = None;
        seat.lost = Some(now);
        self.live = self.live.saturating_sub(1);
        Some(node.clone())
    }
    pub fn leave(&mut self, node: &NodeName) {
        if let Some(seat) = self.seats.get_mut(node) {
            seat.ended.clear();
            for grant in seat.told.values_mut() {
                grant.standing = Standing::Unled;
            }
        }
    }
    /// Counts the connections of stiles that were lost long ago no more, and forgets the stiles
    /// themselves later. True if some connections are free for others now.
    pub fn forget_old(&mut self, now: Tick) -> bool {
        let over = |s: &Seat, ms| s.lost.is_some_and(|t| now.since(t) >= ms);
        let names: Vec<NodeName> = self
            .seats
            .iter()
            .filter(|(_, s)| !s.released && over(s, SHARE_HELD_MS))
            .map(|(name, _)| name.clone())
            .collect();
        let freed = !names.is_empty();
        for name in names {
            if let Some(mut seat) = self.seats.remove(&name) {
                self.count_all(&seat, false);
                seat.released = true;
                self.seats.insert(name, seat);
            }
        }
        let old: Vec<NodeName> = self
            .seats
            .iter()
            .filter(|(_, s)| over(s, UNTOLD_MS))
            .map(|(name, _)| name.clone())
            .collect();
        for seat in old.iter().filter_map(|name| self.seats.remove(name)).collect::<Vec<_>>() {
            self.never_heard(&seat);
        }
        freed
    }
    /// What this stile passed on will not be told any more.
    fn never_heard(&mut self, seat: &Seat) {
        for service in seat.told.keys().chain(seat.ended.keys()) {
            if let Some(granted) = seat.leased(service) {
                let end = self.unheard.entry(service.clone()).or_default();
                *end = lease_end(granted).max(*end);
            }
        }
    }
    pub fn give_back(
        &mut self,
        node: &NodeName,
        service: &ServiceName,
        term: DbTerm,
        highest: Option<Position>,
    ) {
        if let Some(seat) = self.seats.get_mut(node) {
            seat.given_back.insert(service.clone(), (term, highest));
            // It has dropped what it was told of this service.
            seat.end(service);
            if let Some(grant) = seat.told.get_mut(service) {
                grant.standing = Standing::Unled;
            }
        }
    }
    /// What a stile is to be told of a service now; none if that is what it was told last.
    /// `renewed` follows once all services have been through.
    pub fn tell(&mut self, node: &NodeName, grant: Grant) -> Option<Grant> {
        let seat = self.seats.get_mut(node)?;
        let service = grant.service.clone();
        // A sealed position is true for the moment it is told in, so it is told each time.
        let sealed = matches!(grant.standing, Standing::Sealed(_));
        if !sealed && seat.told.get(&service) == Some(&grant) {
            return None;
        }
        let before = seat.holds(&service);
        if seat.told.get(&service).is_none_or(|old| old.standing != grant.standing) {
            seat.end(&service);
        }
        if matches!(grant.standing, Standing::Led { .. }) {
            // A false alarm brings the same term again; what was given back before is old news.
            seat.given_back.remove(&service);
        }
        seat.told.insert(service.clone(), grant.clone());
        let now = seat.holds(&service);
        self.count(&service, before, now);
        Some(grant)
    }
    /// The answer leaves: all that is told to lead is leased as of now.
    pub fn renewed(&mut self, node: &NodeName, now: Tick) {
        if let Some(seat) = self.seats.get_mut(node) {
            seat.granted = now;
        }
    }
    /// No lease on `term` or an earlier one can still be in use.
    pub fn gone(&self, service: &ServiceName, term: DbTerm, now: Tick) -> bool {
        let over = |from: Tick| now.since(from) > LEASE_MS + LEASE_SLACK_MS;
        let free = |seat: &Seat| {
            let ended = seat.ended.get(service);
            let led = match seat.told.get(service).map(|g| &g.standing) {
                Some(Standing::Led { term, .. }) => Some((*term, seat.granted)),
                _ => None,
            };
            seat.given_back.get(service).is_some_and(|(t, _)| *t >= term)
                || ended.copied().into_iter().chain(led).all(|(held, at)| held > term || over(at))
        };
        over(self.elected) && self.seats.values().all(free)
    }
    /// The furthest position passed on, once it is certain. Each stile has to have said it, or to be
    /// covered: `seen`, the newest pair of `Freshness`, says that its position covers every commit
    /// acknowledged before its time, so a stile whose lease had ended by then has passed on nothing
    /// beyond it. The same holds for stiles that are gone, and for those of before the election, of
    /// whom this leader may not even know. With `trusting` it is enough that all that was long ago:
    /// for a service whose replicas vouch for nothing, as there would be no way out otherwise.
    pub fn given_back(
        &self,
        service: &ServiceName,
        term: DbTerm,
        seen: Option<(Tick, Position)>,
        trusting: bool,
        now: Tick,
    ) -> Option<Option<Position>> {
        let covered = |end: Tick| {
            let long_ago = trusting && now.since(end) >= UNTOLD_MS - LEASE_MS;
            long_ago || seen.is_some_and(|(at, _)| at >= end)
        };
        let before = lease_end(self.elected);
        let unheard = self.unheard.get(service).copied();
        if !covered(unheard.unwrap_or_default().max(before)) {
            return None;
        }
        let word = |seat: &Seat| match seat.given_back.get(service) {
            Some((t, highest)) if *t >= term => Some(*highest),
            _ => covered(seat.leased(service).map_or(before, lease_end)).then_some(None),
        };
        let seen = seen.map(|(_, position)| position);
        self.seats.values().map(word).try_fold(seen, |most, one| Some(most.max(one?)))
    }
    /// A stile is heard of, with the shares it holds itself to where these changed.
    /// Tells of which services others may get more now.
    pub fn report(
        &mut self,
        node: &NodeName,
        shares: Vec<(ServiceName, u32)>,
        now: Tick,
    ) -> Vec<ServiceName> {
        let mut stirred = Vec::new();
        let Some(seat) = self.seats.get_mut(node) else {
            return stirred;
        };
        seat.heard = now;
        for (service, share) in shares {
            let Some(seat) = self.seats.get_mut(node) else {
                break;
            };
            let before = seat.holds(&service);
            seat.reported.insert(service.clone(), share);
            let after = seat.holds(&service);
            self.count(&service, before, after);
            let most = self.most.entry(service.clone()).or_default();
            let more = share > *most;
            *most = share.max(*most);
            if after < before || more {
                stirred.push(service);
            }
        }
        stirred
    }
    /// A stile has sessions that wait for more connections than its part.
    pub fn want(&mut self, node: &NodeName, service: &ServiceName, more: u32, now: Tick) {
        if let Some(seat) = self.seats.get_mut(node) {
            let more = more.saturating_add(seat.holds(service));
            seat.wants.insert(service.clone(), (more, now));
        }
    }
    /// The services of which a stile has more than its part, or wants to. Whatever is lent has to be
    /// looked at until it is back.
    pub fn lent(&self, node: &NodeName) -> impl Iterator<Item = &ServiceName> {
        self.seats.get(node).into_iter().flat_map(|s| s.wants.keys())
    }
    /// Divides `total` among the live stiles; what another still holds is not given twice. What the
    /// division leaves over is lent to those who lately wanted more.
    pub fn share(&mut self, node: &NodeName, service: &ServiceName, total: u32, now: Tick) -> u32 {
        let total = total.saturating_sub(RESERVE.min(total / 4));
        let part = (total / self.live.max(1)).max(1);
        let mut target = part;
        if let Some(seat) = self.seats.get_mut(node)
            && let Some((wanted, at)) = seat.wants.get(service).copied()
        {
            if now.since(at) < LENT_MS {
                let over = |s: &Seat| s.holds(service).saturating_sub(part);
                let others = self.seats.iter().filter(|(name, _)| *name != node);
                let lent: u32 = others.map(|(_, s)| over(s)).sum();
                let left =
                    total.saturating_sub(part.saturating_mul(self.live)).saturating_sub(lent);
                target = part.saturating_add(left).min(wanted.max(part));
            } else if seat.holds(service) <= part {
                seat.wants.remove(service);
            }
        }
        let own = self.seats.get(node).filter(|s| !s.released).map_or(0, |s| s.holds(service));
        let all = self.held.get(service).copied().unwrap_or(0);
        let share = target.min(total.saturating_sub(all.saturating_sub(own)));
        // A new leader does not know all who hold something. Until it must, nobody gets more than
        // the most that one of them says it has: the leader before gave everyone the same.
        if now.since(self.elected) < SHARE_HELD_MS {
            return share.min(self.most.get(service).copied().unwrap_or(0).max(YOUNG_SHARE));
        }
        share
    }
}

/// How far the primaries were seen, by whichever stile saw it last: a pair (s, p) says that p covers
/// every commit acknowledged before s, on this leader's clock. A value; kept while this one leads.
#[derive(Clone, Debug, Default)]
pub struct Freshness {
    newest: BTreeMap<ServiceName, (Tick, Position)>,
}
impl Freshness {
    /// A stile saw something at least `saw.after` ms after an answer that left here at `answered`.
    /// What can't be, or is of a term that does not lead, changes nothing.
    pub fn learn(&mut self, lead: Option<&Lead>, answered: Tick, saw: &Saw, now: Tick) {
        let seen = answered.plus(saw.after);
        let fits = lead.is_some_and(|l| l.term == saw.term) && saw.position.term <= saw.term;
        let newer = self.newest.get(&saw.service).is_none_or(|(at, _)| seen > *at);
        if fits && newer && seen <= now {
            self.newest.insert(saw.service.clone(), (seen, saw.position));
        }
    }
    /// The newest pair of a service.
    pub fn newest(&self, service: &ServiceName) -> Option<(Tick, Position)> {
        self.newest.get(service).copied()
    }
    /// For an answer that leaves now, to a stile that asked before.
    pub fn tell(&self, service: &ServiceName, now: Tick) -> Option<Fresh> {
        let (seen, position) = *self.newest.get(service)?;
        // Times are cut to whole milliseconds, so one is kept in hand.
        Some(Fresh { service: service.clone(), position, age: now.since(seen) + 1 })
    }
}

/// Which part of its zone's databases each node of a gateway uses first. Where one node sees most of
/// a database's load, its own count of requests under way is nearly the truth. A hint: nothing breaks
/// where two nodes believe different things. A value; kept while this one leads.
#[derive(Clone, Debug)]
pub struct Cadastre {
    elected: Tick,
    divided: Tick,
    claims: BTreeMap<(String, ServiceName), BTreeMap<NodeName, Claim>>,
}
#[derive(Clone, Debug, Default)]
struct Claim {
    /// Requests under way, in hundredths.
    busy: u32,
    plot: (u32, u32),
    told: Option<(u32, u32)>,
}

/// How often the databases are divided anew.
const DIVIDE_MS: u64 = 1_000;
/// A new leader hears of all demands first.
const CLAIMS_COME_MS: u64 = 2_500;
/// Where nodes want little, they still have a part of what they would have if all wanted the same.
const LEAST_PART: f64 = 0.3;
/// All of a zone's databases of a service.
const WHOLE_PLOT: f64 = 1e6;

impl Cadastre {
    pub fn new(elected: Tick) -> Self {
        Self { elected, divided: elected, claims: BTreeMap::new() }
    }
    pub fn report(&mut self, node: &NodeName, zone: &str, service: ServiceName, busy: u32) {
        let claims = self.claims.entry((zone.to_owned(), service)).or_default();
        claims.entry(node.clone()).or_default().busy = busy;
    }
    /// Divides the databases by demand among the nodes that are there, now and then.
    pub fn divide(&mut self, there: impl Fn(&NodeName) -> bool, now: Tick) {
        if now.since(self.elected) < CLAIMS_COME_MS || now.since(self.divided) < DIVIDE_MS {
            return;
        }
        self.divided = now;
        for claims in self.claims.values_mut() {
            claims.retain(|node, _| there(node));
            let mean =
                claims.values().map(|c| f64::from(c.busy)).sum::<f64>() / claims.len() as f64;
            let weight = |c: &Claim| f64::from(c.busy).max(mean * LEAST_PART).max(1.0);
            let all: f64 = claims.values().map(weight).sum();
            let mut upto = 0.0;
            for claim in claims.values_mut() {
                let from = upto;
                upto += weight(claim) / all * WHOLE_PLOT;
                claim.plot = (from as u32, upto as u32);
            }
        }
        self.claims.retain(|_, claims| !claims.is_empty());
    }
    /// The plots that a node is to be told of: those that moved by a good part of themselves, or all.
    pub fn due(&mut self, node: &NodeName, all: bool) -> Vec<Plot> {
        let mut due = Vec::new();
        for ((_, service), claims) in &mut self.claims {
            let Some(claim) = claims.get_mut(node) else { continue };
            let (from, upto) = claim.plot;
            let moved =
                |(f, u): (u32, u32)| f.abs_diff(from).max(u.abs_diff(upto)) * 4 > upto - from;
            if upto > from && (all || claim.told.is_none_or(moved)) {
                claim.told = Some(claim.plot);
                due.push(Plot { service: service.clone(), from, upto });
            }
        }
        due
    }
}

/// Which services there is something new to tell of, and since when.
#[derive(Clone, Debug, Default)]
pub struct Tidings {
    newest: u64,
    /// Up to here everybody must look at all services.
    all: u64,
    order: BTreeMap<u64, ServiceName>,
    places: BTreeMap<ServiceName, u64>,
}
impl Tidings {
    pub fn stir(&mut self, service: &ServiceName) {
        self.newest += 1;
        if let Some(old) = self.places.insert(service.clone(), self.newest) {
            self.order.remove(&old);
        }
        self.order.insert(self.newest, service.clone());
    }
    pub fn stir_all(&mut self) {
        self.newest += 1;
        self.all = self.newest;
    }
    pub fn newest(&self) -> u64 {
        self.newest
    }
    /// The services stirred after `told`; none if all of them may have been.
    pub fn since(&self, told: u64) -> Option<impl Iterator<Item = &ServiceName>> {
        (told >= self.all).then(|| self.order.range(told + 1..).map(|(_, name)| name))
    }
}

// ---------------------------------------------------------------------------------------------
// Calls about what is current

/// A call whose answer tells what is current.
#[derive(Clone, Debug, PartialEq)]
pub enum Call {
    ReadConfiguration,
    Change(Change),
}
/// What becomes of a call.
#[derive(Clone, Debug, PartialEq)]
pub enum Verdict {
    Answer(Response),
    /// It has to go into the log; what it comes to shows when it is applied.
    Propose(Change),
}

impl Call {
    pub fn judge(self, almanac: &Almanac) -> Verdict {
        let effect = match &self {
            Self::ReadConfiguration if almanac.body.is_empty() => {
                return Verdict::Answer(Response::refusal(404, "no configuration yet"));
            }
            Self::ReadConfiguration => {
                return Verdict::Answer(Response::json(200, almanac.body.to_vec()));
            }
            Self::Change(Change::Configure { base, revision, body }) => {
                almanac.judge(*base, *revision, body)
            }
            Self::Change(Change::Gone { id, .. }) if !almanac.instances.contains_key(id) => {
                Effect::Nothing
            }
            Self::Change(_) => Effect::Done,
        };
        match self {
            Self::Change(change) if effect == Effect::Done => Verdict::Propose(change),
            _ => Verdict::Answer(judged(&effect)),
        }
    }
}

/// Calls that are answered from what is applied, once this steward is known to have led after
/// they came.
pub struct Reads<R> {
    waiting: Vec<(ReadIndex, Call, R)>,
}
impl<R> Default for Reads<R> {
    fn default() -> Self {
        Self { waiting: Vec::new() }
    }
}
impl<R> Reads<R> {
    /// Takes in a call. What goes into the log anyway waits for nothing: it is judged once more
    /// where it is applied.
    pub fn ask(
        &mut self,
        hedge: &mut Hedge,
        almanac: &Almanac,
        call: Call,
        from: R,
        now: Tick,
    ) -> Option<(R, Verdict)> {
        if let Verdict::Propose(change) = call.clone().judge(almanac) {
            return Some((from, Verdict::Propose(change)));
        }
        match hedge.read_index(now) {
            Some(read) => self.waiting.push((read, call, from)),
            None => return Some((from, Verdict::Answer(Response::refusal(503, "no quorum")))),
        }
        None
    }
    /// The calls that wait no longer, judged by what is applied now.
    pub fn settled(
        &mut self,
        hedge: &Hedge,
        almanac: &Almanac,
        applied: Index,
        now: Tick,
    ) -> Vec<(R, Verdict)> {
        let mut settled = Vec::new();
        let unclear = |why| Verdict::Answer(Response::refusal(503, why));
        for (read, call, from) in std::mem::take(&mut self.waiting) {
            match hedge.confirmed(&read) {
                Some(false) => settled.push((from, unclear("no longer the leader"))),
                _ if now.since(read.asked) > READ_MS => settled.push((from, unclear("no quorum"))),
                Some(true) if applied >= read.upto => settled.push((from, call.judge(almanac))),
                _ => self.waiting.push((read, call, from)),
            }
        }
        settled
    }
}

/// Callers whose change is on its way into the log, by its place there.
pub struct Proposed<R> {
    waiting: BTreeMap<Index, (Epoch, R)>,
}
impl<R> Default for Proposed<R> {
    fn default() -> Self {
        Self { waiting: BTreeMap::new() }
    }
}
impl<R> Proposed<R> {
    pub fn add(&mut self, epoch: Epoch, index: Index, from: R) {
        self.waiting.insert(index, (epoch, from));
    }
    /// Whose change this is. Another leader's entry may have come to stand in its place.
    pub fn take(&mut self, entry: &Entry) -> Option<R> {
        let (epoch, from) = self.waiting.remove(&entry.index)?;
        (epoch == entry.epoch).then_some(from)
    }
    /// All that wait, as this steward no longer leads.
    pub fn give_up(&mut self) -> impl Iterator<Item = R> + use<R> {
        std::mem::take(&mut self.waiting).into_values().map(|(_, from)| from)
    }
}

// ---------------------------------------------------------------------------------------------
// The program

/// What reaches a steward.
pub enum Input {
    /// What came over a connection on the peer port.
    Frame(u64, Frame),
    /// The layout that a steward reads, ahead of each frame that names it.
    Reads(MemberId, u8),
    Closed(u64),
    Http(Request, SyncSender<Response>),
    Told(ServiceName, InstanceId, Ask, Attempt, Told),
    Posted(ServiceName, InstanceId, Attempt, Posted),
    /// What a steward said to the wish to join, or to the question whether this id still belongs.
    Standing(MemberId, SocketAddr, Option<Joined>),
    /// The write under way has ended, with its error if it failed.
    Saved(Result<(), String>),
}

/// What a steward does to the world outside. The program does it with sockets, threads and a disk, the
/// model in the tests with queues in virtual time. Nothing here waits.
pub trait Effects {
    /// Sends another steward a consensus message, or drops it: the hedge asks again for what got lost.
    fn send_raft(&mut self, to: MemberId, address: SocketAddr, message: Raft, now: Tick);
    /// Connections to all others are of no use any more.
    fn keep_links(&mut self, members: &[Member]);
    /// Starts to write; `Input::Saved` follows. False if nothing writes any more.
    fn write(&mut self, sheaf: Sheaf) -> bool;
    /// Asks a steward to be taken in, or whether one still belongs; `Input::Standing` follows.
    fn ask_standing(&mut self, at: SocketAddr, member: Member, was: bool);
    /// Asks a database one thing; `Input::Told` follows, unless this is false.
    fn ask_database(
        &mut self,
        service: &ServiceName,
        id: &InstanceId,
        address: SocketAddr,
        ask: Ask,
        attempt: Attempt,
    ) -> bool;
    /// Calls the platform; `Input::Posted` follows.
    fn post_failover(
        &mut self,
        provider: SocketAddr,
        holder: &str,
        service: &ServiceName,
        target: &InstanceId,
        attempt: Attempt,
    );
    /// Sends a frame over a connection on the peer port, behind all that waits there.
    fn send(&mut self, conn: u64, frame: Arc<[u8]>);
    /// The same, ahead of all that has not begun to leave.
    fn send_first(&mut self, conn: u64, frame: Arc<[u8]>);
    /// How many bytes wait to leave over a connection; none if it has ended.
    fn waiting(&self, conn: u64) -> Option<usize>;
    /// Goes on with the peers that did not take everything at once; gives the connections among them.
    fn pump(&mut self) -> Vec<u64>;
    /// How many connections there are on the peer port.
    fn peers(&self) -> usize;
}

/// A connection of ours to another steward.
struct Link {
    line: Option<Wire>,
    dialing: bool,
    retry: Tick,
}

/// Frames on their way to one peer, as a value: which bytes go next, and how many wait.
#[derive(Debug, Default)]
pub struct Outbox {
    frames: VecDeque<Arc<[u8]>>,
    /// Bytes of the first frame that have left.
    left: usize,
    waiting: usize,
    /// Bytes that ever left.
    gone: u64,
}
impl Outbox {
    pub fn push(&mut self, frame: Arc<[u8]>) {
        self.waiting += frame.len();
        self.frames.push_back(frame);
    }
    /// Ahead of all that has not begun to leave.
    pub fn push_first(&mut self, frame: Arc<[u8]>) {
        self.waiting += frame.len();
        self.frames.insert(usize::from(self.left > 0), frame);
    }
    pub fn next(&self) -> Option<&[u8]> {
        self.frames.front().map(|f| &f[self.left..])
    }
    pub fn took(&mut self, bytes: usize) {
        self.left += bytes;
        self.waiting -= bytes;
        self.gone += bytes as u64;
        if self.frames.front().is_some_and(|f| f.len() <= self.left) {
            self.frames.pop_front();
            self.left = 0;
        }
    }
    pub fn is_empty(&self) -> bool {
        self.frames.is_empty()
    }
    pub fn waiting(&self) -> usize {
        self.waiting
    }
}

/// Whether a message is not to wait behind so many bytes that a link has not taken yet. What is left
/// out here is asked for again, and heartbeats go on as long as there is a way at all.
pub fn left_out(kind: &RaftKind, waiting: usize) -> bool {
    match kind {
        RaftKind::Snapshot { .. } => waiting > 0,
        RaftKind::Append { entries, .. } if !entries.is_empty() => waiting > FLIGHT_BYTES,
        RaftKind::Append { .. } | RaftKind::Part { .. } => waiting > LINK_WAITING,
        _ => false,
    }
}

/// A peer's socket and what waits for it. The core never waits for a peer to read.
struct Wire {
    stream: TcpStream,
    out: Outbox,
    /// What had left when it was last looked at and something had, or nothing waited.
    gone: u64,
    moved: Tick,
    /// When the far end last said something, if it ever did.
    heard: Option<Tick>,
    opened: Tick,
}
impl Wire {
    fn new(stream: TcpStream, now: Tick) -> Self {
        Self { stream, out: Outbox::default(), gone: 0, moved: now, heard: None, opened: now }
    }
    /// The far end reads nothing for long, or says nothing where it should.
    fn useless(&mut self, talks: bool, now: Tick) -> bool {
        if self.out.is_empty() || self.out.gone != self.gone {
            (self.gone, self.moved) = (self.out.gone, now);
        }
        let silent = talks || self.heard.is_none();
        now.since(self.moved) > USELESS_MS
            || (silent && now.since(self.heard.unwrap_or(self.opened)) > USELESS_MS)
    }
    /// Writes what goes without waiting.
    fn pump(&mut self) -> std::io::Result<()> {
        while let Some(bytes) = self.out.next() {
            let socket = socket2::SockRef::from(&self.stream);
            match socket.send_with_flags(bytes, libc::MSG_DONTWAIT) {
                Ok(sent) => self.out.took(sent),
                Err(e) if e.kind() == std::io::ErrorKind::WouldBlock => return Ok(()),
                Err(e) if e.kind() == std::io::ErrorKind::Interrupted => {}
                Err(e) => return Err(e),
            }
        }
        Ok(())
    }
    fn close(&self) {
        // Its reader sees the end and reports it.
        drop(self.stream.shutdown(std::net::Shutdown::Both));
    }
}

/// A stile that follows this leader: what it was told, and what it is still owed. Where its link
/// is slow, newer state takes the place of older state that has not left.
struct Guest {
    node: NodeName,
    zone: String,
    /// The configuration it has, or will have once what waits has arrived.
    revision: Revision,
    /// The whole directory is due, instead of the changes that did not fit.
    directory_due: bool,
    /// The renewal to be answered once what waits has left, and the floors it asks for.
    renewal: Option<(u64, Vec<ServiceName>)>,
    /// Up to where in the tidings it was answered; not at all yet.
    told: Option<u64>,
    /// What it gave back by itself has to be told again.
    owed: BTreeSet<ServiceName>,
    /// When the newest answers left.
    answers: VecDeque<(u64, Tick)>,
}

/// What only the leader keeps, and forgets when it no longer leads.
struct Office {
    leases: LeaseBook,
    /// When each database was last heard of, and its newest sequence.
    beats: BTreeMap<InstanceId, (Tick, u64)>,
    successions: BTreeMap<ServiceName, Succession>,
    /// Services that something happened to, or that are on their way to another primary: these are
    /// looked at in every round. All are, now and then.
    stirred: BTreeSet<ServiceName>,
    swept: Tick,
    tidings: Tidings,
    sealed: BTreeSet<ServiceName>,
    freshness: Freshness,
    cadastre: Cadastre,
    /// Leases and shares of before the election are over.
    settled: bool,
}

/// One steward, moved on by inputs and a passed-in time; `E` carries out what it decides.
pub struct Steward<E> {
    settings: Settings,
    hedge: Hedge,
    desk: Desk,
    almanac: Almanac,
    applied: Index,
    config: Option<Configuration>,
    stiles: BTreeMap<u64, Guest>,
    /// Stiles that came before this leader had applied all that was committed.
    early: Vec<(u64, ToSteward)>,
    /// The newest versions, the last one in force; what changed since an older one is enough.
    versions: VecDeque<Lanes>,
    /// The frame that brings a stile from a version to the one in force.
    encoded: HashMap<Revision, Arc<[u8]>>,
    /// The frame that brings a stile the whole directory, until that changes.
    listing: Option<Arc<[u8]>>,
    /// Databases that stiles have to be told of, and since when.
    moved: BTreeSet<InstanceId>,
    moved_since: Option<Tick>,
    /// Stiles have to ask anew, as a primary leads; and when they were last told to.
    renew_due: bool,
    renew_told: Tick,
    /// The services of the configuration in force, by name.
    services: BTreeMap<ServiceName, Service>,
    /// Who asked to join, and when last.
    joining: BTreeMap<MemberId, (Member, Tick)>,
    next_join: Tick,
    /// The steward that is said to lead, for asking it to be taken in.
    join_at: Option<SocketAddr>,
    /// The leader that says that it takes this one in, or has: answers go there while it is in no
    /// list here.
    taken_in: Option<SocketAddr>,
    /// The one that this process told to found the hedge, as no seed has a disk.
    nominated: Option<MemberId>,
    /// Without a disk this steward is in no list and only points at the one that leads.
    pointed: Option<SocketAddr>,
    office: Option<Office>,
    proposed: Proposed<SyncSender<Response>>,
    reads: Reads<SyncSender<Response>>,
    /// Where ids and the spread of elections are drawn from.
    random: fn() -> u64,
    pub effects: E,
    known_leader: Option<MemberId>,
    /// Questions to databases: how many are under way, and those that wait.
    asking: usize,
    questions: VecDeque<(ServiceName, InstanceId, Ask, Attempt)>,
    /// Something that is committed can't be read here: nothing is said or done on this state any more.
    unreadable: Option<String>,
}

/// What may wait for a link to another steward before even heartbeats are left out.
const LINK_WAITING: usize = 4 * FLIGHT_BYTES;
/// One that reads nothing for so long, or should speak and does not, is let go.
const USELESS_MS: u64 = 10_000;
/// Questions to databases under way at once, and waiting.
const MAX_ASKS: usize = 96;
const QUESTIONS_WAITING: usize = 4_096;
/// A database whose beats miss this many intervals is doubted.
const MISSED_BEATS: u64 = 3;
/// Who asked to join and does not ask again is forgotten after this.
const JOIN_KEPT_MS: u64 = 3_000;
const JOIN_AGAIN_MS: u64 = 250;
/// A member that hears no leader for this long asks whether it still is one.
const LONELY_MS: u64 = 1_200;
/// A seed without a disk waits this long for the first stewards before it names a founder.
const NOMINATE_MS: u64 = 500;
/// How often all services are looked at; those that something happens to are at once.
const SWEEP_MS: u64 = 100;
/// Versions of the configuration kept for telling what changed.
const VERSIONS_KEPT: usize = 8;
/// Changes of the directory that wait for a slow stile; beyond it the whole is sent later.
const CHANGES_WAITING: usize = 64 << 10;
/// Answers to a stile that it may still tell of what it saw since.
const ANSWERS_KEPT: usize = 4;
/// Changes of the directory are gathered for so long.
const GATHER_MS: u64 = 20;
/// How often peers are looked at that did not take all at once.
const PUMP_MS: u64 = 5;
/// A call that can't be answered for certain is given up after this; callers go on after a second.
const READ_MS: u64 = 800;
/// One that stays silent this long is dropped from the directory.
const FORGOTTEN_MS: u64 = 60_000;

pub fn run(path: PathBuf, settings: Settings) -> Result<(), Fatal> {
    let admin = settings
        .listeners
        .admin
        .ok_or_else(|| Fatal::Settings("listeners.admin is needed by a steward".into()))?;
    let signals = Signals::install().map_err(|e| Fatal::Call(e.to_string()))?;
    let first = || first_state(&settings, admin, rand::random::<u64>);
    let opened = || match &settings.data_path {
        Some(folder) if settings.can_vote() => Granary::found(folder, first),
        _ => Ok((Granary::none()?, first(), false)),
    };
    let (granary, kept, restarted) = loop {
        match opened() {
            Ok(opened) => break opened,
            // A full or failing disk may be well again later.
            Err(Fatal::Disk(why)) if !signals.terminated() => {
                warn!(target: "disk", "cannot be used, tried again soon: {why}");
                std::thread::sleep(Duration::from_millis(500));
            }
            Err(e) => return Err(e),
        }
    };
    let (tx, rx) = channel();
    let peer = SocketAddr::new(settings.ip_address, settings.peer_port());
    accept_peers(peer, settings.limits.max_open_files as usize / 4, tx.clone())?;
    let http_tx = tx.clone();
    // Each database may keep a connection for its beats, and all of them come to the leader.
    let callers = settings.limits.max_open_files as usize / 4;
    http::serve(listen(admin)?, "admin", callers, move |request| ask_core(&http_tx, request))
        .map_err(|e| Fatal::Listen(admin.to_string(), e))?;
    let scribe = start_scribe(granary, tx.clone())?;
    let effects = Sockets { conns: HashMap::new(), links: HashMap::new(), scribe, tx };
    let mut steward =
        Steward::new(settings, kept, restarted, rand::random::<u64>, effects, Tick::now())?;
    steward.serve(rx, &signals, Watched::new(path))
}

/// The thread that waits for the disk, so that nothing else does.
fn start_scribe(mut granary: Granary, done: Sender<Event>) -> Result<Sender<Sheaf>, Fatal> {
    let (jobs, next) = channel::<Sheaf>();
    must_start("the disk", move || {
        for sheaf in next {
            let saved = granary.save(&sheaf).map_err(|e| e.to_string());
            if done.send(Event::Input(Input::Saved(saved))).is_err() {
                return;
            }
        }
    })?;
    Ok(jobs)
}

/// The first state of an empty disk. When the system starts for the first time, the first of the
/// seeds begins alone, and all others ask it to be taken in. Ids are drawn anew for each disk.
pub fn first_state(settings: &Settings, admin: SocketAddr, random: fn() -> u64) -> Kept {
    let mut kept = Kept { me: fresh_id(random), ..Kept::default() };
    if settings.can_vote() && settings.founder() == Some(admin) {
        kept.snapshot.members = vec![Member { voter: true, ..as_member(settings, admin, kept.me) }];
    }
    kept
}
fn fresh_id(random: fn() -> u64) -> MemberId {
    // Below i64::MAX for the disk.
    MemberId((random() >> 2) | (1 << 40))
}
fn as_member(settings: &Settings, admin: SocketAddr, id: MemberId) -> Member {
    Member {
        id,
        node: settings.node(),
        peer: SocketAddr::new(settings.ip_address, settings.peer_port()),
        admin,
        voter: false,
        can_vote: settings.can_vote(),
    }
}

/// Asks a steward to be taken in, or whether one still belongs.
fn ask_standing(at: SocketAddr, member: Member, was: bool) -> std::io::Result<Joined> {
    let mut stream = dial(at, REACH, Duration::from_secs(1))?;
    stream.set_read_timeout(Some(Duration::from_secs(1)))?;
    send(&mut stream, &Frame::Join { member, was })?;
    match receive(&mut stream)? {
        Frame::Joined(answer) => Ok(answer),
        _ => Err(std::io::ErrorKind::InvalidData.into()),
    }
}

/// Hands a request to the core and waits for its answer.
fn ask_core(core: &Sender<Event>, request: Request) -> Response {
    let (reply, answer) = sync_channel(1);
    if core.send(Event::Input(Input::Http(request, reply))).is_err() {
        return Response::refusal(503, "stopping");
    }
    answer
        .recv_timeout(Duration::from_secs(4))
        .unwrap_or_else(|_| Response::refusal(503, "no quorum in time"))
}

fn accept_peers(at: SocketAddr, most: usize, tx: Sender<Event>) -> Result<(), Fatal> {
    let listener = listen(at)?;
    let next = AtomicU64::new(1);
    // Each connection holds a clone; the count of them is the bound.
    let open = Arc::new(());
    must_start("peers", move || {
        for stream in listener.incoming() {
            let Ok(stream) = stream else {
                std::thread::sleep(Duration::from_millis(50));
                continue;
            };
            if Arc::strong_count(&open) > most {
                continue;
            }
            let held = Arc::clone(&open);
            let id = next.fetch_add(1, Ordering::Relaxed);
            let tx = tx.clone();
            start_thread(move || {
                let _held = held;
                let dark = Duration::from_secs(3);
                let ready = tune(&stream, dark)
                    .and_then(|()| keep_alive(&stream, dark))
                    .and_then(|()| stream.try_clone());
                let Ok(writer) = ready else { return };
                if tx.send(Event::Opened(id, writer)).is_err() {
                    return;
                }
                let mut reader = std::io::BufReader::with_capacity(4096, stream);
                loop {
                    match receive_with_layout(&mut reader) {
                        Ok((frame, layout)) => {
                            let said = match &frame {
                                Frame::Raft { message, .. } => Some(message.from),
                                Frame::Join { member, .. } => Some(member.id),
                                _ => None,
                            };
                            if let Some(said) = said {
                                drop(tx.send(Event::Input(Input::Reads(said, layout))));
                            }
                            if tx.send(Event::Input(Input::Frame(id, frame))).is_err() {
                                return;
                            }
                        }
                        Err(e) => {
                            if e.kind() == std::io::ErrorKind::InvalidData {
                                warn!(target: "peers", "closed a connection: {e}");
                            }
                            break;
                        }
                    }
                }
                // The core may be gone already when the program ends.
                let _ = tx.send(Event::Input(Input::Closed(id)));
            });
        }
    })
}

/// Asks a database one thing on a connection of its own.
///
/// `reached` is called once the connection is there.
fn ask_database(
    service: &ServiceName,
    id: &InstanceId,
    address: SocketAddr,
    ask: Ask,
    reached: impl FnOnce(),
) -> Told {
    let text = match ask {
        Ask::Describe => "DESCRIBE".to_owned(),
        Ask::Pause(term) => format!("PAUSE {term}"),
        Ask::Continue => "CONTINUE".to_owned(),
        Ask::StepDown(term) => format!("STEPDOWN {term}"),
    };
    let exchange = move || -> std::io::Result<Told> {
        let limit = Duration::from_millis(300);
        let mut stream = dial(address, limit, Duration::from_secs(1))?;
        reached();
        stream.set_read_timeout(Some(Duration::from_millis(1_000)))?;
        stream.write_all(format!("CONNECT {service} steward {id}\r\n").as_bytes())?;
        let mut inbox = statement_protocol::Inbox::default();
        if let Some(refused) = read_answer(&mut stream, &mut inbox)? {
            use crate::base::errors::ErrorKind;
            return Ok(match refused {
                ErrorKind::WrongNode => Told::Lost,
                _ => Told::Alive,
            });
        }
        stream.write_all(format!("QUERY - {text}\r\n").as_bytes())?;
        loop {
            match statement_protocol::reply(inbox.pending()) {
                Ok(Some(reply)) => {
                    let row = reply.described(inbox.pending());
                    return Ok(row.map_or(Told::Alive, Told::Row));
                }
                Ok(None) => {
                    if inbox.fill(&mut stream)? == 0 {
                        return Ok(Told::Lost);
                    }
                }
                Err(statement_protocol::Garbled) => return Ok(Told::Lost),
            }
        }
    };
    match exchange() {
        Ok(told) => told,
        Err(e) => match e.kind() {
            std::io::ErrorKind::TimedOut | std::io::ErrorKind::WouldBlock => Told::Silent,
            _ => Told::Lost,
        },
    }
}

/// Waits for the answer to CONNECT; a refusal is given back.
fn read_answer(
    stream: &mut TcpStream,
    inbox: &mut statement_protocol::Inbox,
) -> std::io::Result<Option<crate::base::errors::ErrorKind>> {
    loop {
        if let Some(kind) = statement_protocol::refused_connect(inbox.pending()) {
            return Ok(Some(kind));
        }
        match statement_protocol::reply(inbox.pending()) {
            Ok(Some(reply)) => {
                inbox.use_up(reply.end);
                return Ok(None);
            }
            Ok(None) => {
                if inbox.fill(stream)? == 0 {
                    return Err(std::io::ErrorKind::UnexpectedEof.into());
                }
            }
            Err(statement_protocol::Garbled) => return Err(std::io::ErrorKind::InvalidData.into()),
        }
    }
}

fn post_failover(
    provider: SocketAddr,
    holder: &str,
    fence: u64,
    service: &ServiceName,
    target: &InstanceId,
) -> Posted {
    let body = serde_json::json!({ "target_service": service, "instance_id": target }).to_string();
    let headers = [("Duty-Holder", holder.to_owned()), ("Fence-Token", fence.to_string())];
    match http::call(
        provider,
        "POST",
        "/failovers",
        &headers,
        body.as_bytes(),
        Duration::from_secs(1),
    ) {
        Ok((200..=299, ..)) => Posted::Accepted,
        Ok((409, ..)) => Posted::Refused,
        Ok((429, ..)) => Posted::Busy,
        Ok((status, _, body)) => {
            warn!(target: "failover", "platform answered {status}: {}", String::from_utf8_lossy(&body));
            Posted::Unclear
        }
        Err(e) => {
            warn!(target: "failover", "platform: {e}");
            Posted::Unclear
        }
    }
}

/// What reaches the program: the steward's own inputs, and connections for its sockets.
enum Event {
    Input(Input),
    /// A connection on the peer port.
    Opened(u64, TcpStream),
    /// A connection of ours to another steward.
    Linked(MemberId, Option<Wire>),
}

/// The steward's effects with real sockets, threads and a disk.
struct Sockets {
    conns: HashMap<u64, Wire>,
    links: HashMap<MemberId, Link>,
    scribe: Sender<Sheaf>,
    tx: Sender<Event>,
}

impl Sockets {
    fn pump_conn(&mut self, conn: u64) {
        if let Some(line) = self.conns.get_mut(&conn)
            && line.pump().is_err()
        {
            line.close();
        }
    }
    fn pumping(&self) -> bool {
        self.conns.values().any(|l| !l.out.is_empty())
            || self.links.values().any(|l| l.line.as_ref().is_some_and(|l| !l.out.is_empty()))
    }
    /// Lets go of peers that only cost. Their readers see the end.
    fn drop_useless(&mut self, speaks: impl Fn(u64) -> bool, now: Tick) {
        for (conn, line) in &mut self.conns {
            if line.useless(speaks(*conn), now) {
                info!(target: "peers", "let one go that did not read or speak");
                line.close();
            }
        }
    }
}

impl Effects for Sockets {
    fn send_raft(&mut self, to: MemberId, address: SocketAddr, message: Raft, now: Tick) {
        let link = self.links.entry(to).or_insert(Link { line: None, dialing: false, retry: now });
        if link.line.as_ref().is_some_and(|l| left_out(&message.kind, l.out.waiting())) {
            return;
        }
        let frame = encode(&Frame::Raft { to, message: Box::new(message) });
        if let Some(line) = &mut link.line {
            line.out.push(frame);
            if line.pump().is_err() {
                link.line = None;
            }
            return;
        }
        if !link.dialing && now >= link.retry {
            link.retry = now.plus(100);
            let tx = self.tx.clone();
            link.dialing = start_thread(move || {
                let stream = dial(address, REACH, Duration::from_secs(2));
                let line = stream.ok().map(|stream| {
                    let mut line = Wire::new(stream, Tick::now());
                    line.out.push(frame);
                    line
                });
                // The core may have ended meanwhile.
                let _ = tx.send(Event::Linked(to, line));
            });
        }
    }
    fn keep_links(&mut self, members: &[Member]) {
        self.links.retain(|id, _| members.iter().any(|m| m.id == *id));
    }
    fn write(&mut self, sheaf: Sheaf) -> bool {
        self.scribe.send(sheaf).is_ok()
    }
    fn ask_standing(&mut self, at: SocketAddr, member: Member, was: bool) {
        let tx = self.tx.clone();
        start_thread(move || {
            let me = member.id;
            // Asked again soon; one that is down is no reason to stop.
            let answer = ask_standing(at, member, was).ok();
            drop(tx.send(Event::Input(Input::Standing(me, at, answer))));
        });
    }
    fn ask_database(
        &mut self,
        service: &ServiceName,
        id: &InstanceId,
        address: SocketAddr,
        ask: Ask,
        attempt: Attempt,
    ) -> bool {
        let (tx, service, id) = (self.tx.clone(), service.clone(), id.clone());
        start_thread(move || {
            // Of use only where a dark machine is to be told from a slow one.
            let reached = || {
                if ask == Ask::Describe {
                    let (service, id) = (service.clone(), id.clone());
                    let told = Input::Told(service, id, ask, attempt, Told::Reached);
                    drop(tx.send(Event::Input(told)));
                }
            };
            let told = ask_database(&service, &id, address, ask, reached);
            // The core may have ended meanwhile.
            drop(tx.send(Event::Input(Input::Told(service, id, ask, attempt, told))));
        })
    }
    fn post_failover(
        &mut self,
        provider: SocketAddr,
        holder: &str,
        service: &ServiceName,
        target: &InstanceId,
        attempt: Attempt,
    ) {
        let (tx, holder) = (self.tx.clone(), holder.to_owned());
        let (service, target) = (service.clone(), target.clone());
        let again = (self.tx.clone(), service.clone(), target.clone());
        let started = start_thread(move || {
            let posted = post_failover(provider, &holder, attempt.fence(), &service, &target);
            // The core may have ended meanwhile.
            drop(tx.send(Event::Input(Input::Posted(service, target, attempt, posted))));
        });
        if !started {
            let (tx, service, target) = again;
            let busy = Input::Posted(service, target, attempt, Posted::Busy);
            drop(tx.send(Event::Input(busy)));
        }
    }
    fn send(&mut self, conn: u64, frame: Arc<[u8]>) {
        if let Some(line) = self.conns.get_mut(&conn) {
            line.out.push(frame);
            self.pump_conn(conn);
        }
    }
    fn send_first(&mut self, conn: u64, frame: Arc<[u8]>) {
        if let Some(line) = self.conns.get_mut(&conn) {
            line.out.push_first(frame);
        }
    }
    fn waiting(&self, conn: u64) -> Option<usize> {
        self.conns.get(&conn).map(|l| l.out.waiting())
    }
    fn pump(&mut self) -> Vec<u64> {
        for link in self.links.values_mut() {
            if link.line.as_mut().is_some_and(|l| l.pump().is_err()) {
                link.line = None;
            }
        }
        let waiting: Vec<u64> =
            self.conns.iter().filter(|(_, l)| !l.out.is_empty()).map(|(id, _)| *id).collect();
        waiting.iter().for_each(|conn| self.pump_conn(*conn));
        waiting
    }
    fn peers(&self) -> usize {
        self.conns.len()
    }
}

impl Steward<Sockets> {
    fn serve(
        &mut self,
        rx: Receiver<Event>,
        signals: &Signals,
        mut watched: Watched,
    ) -> Result<(), Fatal> {
        let mut leaving: Option<Tick> = None;
        let mut looked = Tick::now();
        loop {
            let wait = self.due(Tick::now());
            let wait = if self.effects.pumping() { wait.min(PUMP_MS) } else { wait };
            match rx.recv_timeout(Duration::from_millis(wait)) {
                Ok(event) => {
                    self.hear(event, Tick::now());
                    for _ in 0..64 {
                        let Ok(event) = rx.try_recv() else { break };
                        self.hear(event, Tick::now());
                    }
                }
                Err(RecvTimeoutError::Timeout) => {}
                Err(RecvTimeoutError::Disconnected) => return Ok(()),
            }
            let now = Tick::now();
            self.turn(now)?;
            if now.since(looked) > 1_000 {
                looked = now;
                let stiles = &self.stiles;
                self.effects.drop_useless(|conn| stiles.contains_key(&conn), now);
                if let Some(settings) = watched.poll(signals.take_hup()) {
                    self.settings = settings;
                }
            }
            if signals.terminated() && leaving.is_none() {
                info!(target: "hedge", "stopping");
                leaving = Some(now);
                self.leave(now);
            }
            // The hand-over needs a moment; a follower can go at once.
            if leaving.is_some_and(|t| !self.hedge.is_leader() || now.since(t) > 500) {
                info!(target: "hedge", "stopped");
                return Ok(());
            }
        }
    }

    fn hear(&mut self, event: Event, now: Tick) {
        match event {
            Event::Opened(id, stream) => {
                self.effects.conns.insert(id, Wire::new(stream, now));
            }
            Event::Linked(member, line) => {
                if let Some(link) = self.effects.links.get_mut(&member) {
                    link.dialing = false;
                    link.line = line;
                }
            }
            Event::Input(input) => {
                match &input {
                    Input::Frame(conn, _) => {
                        if let Some(line) = self.effects.conns.get_mut(conn) {
                            line.heard = Some(now);
                        }
                    }
                    Input::Closed(conn) => drop(self.effects.conns.remove(conn)),
                    _ => {}
                }
                self.take(input, now);
            }
        }
    }
}

impl<E: Effects> Steward<E> {
    /// A steward as it starts with what is on its disk.
    ///
    /// # Errors
    /// `Fatal::State` if the state can't be read.
    pub fn new(
        settings: Settings,
        kept: Kept,
        restarted: bool,
        random: fn() -> u64,
        effects: E,
        now: Tick,
    ) -> Result<Self, Fatal> {
        info!(target: "hedge", "member {} starts at epoch {}, entry {}", kept.me, kept.epoch,
            kept.log.last().map_or(kept.snapshot.last.1, |e| e.index));
        let almanac = read_kept(&kept)?;
        let applied = kept.snapshot.last.1;
        let config = almanac.configuration().map_err(Fatal::State)?;
        let mut steward = Self {
            hedge: Hedge::new(kept, restarted, now, random),
            settings,
            desk: Desk::default(),
            almanac,
            applied,
            versions: config.iter().map(Lanes::of).collect(),
            config: None,
            stiles: BTreeMap::new(),
            early: Vec::new(),
            encoded: HashMap::new(),
            listing: None,
            moved: BTreeSet::new(),
            moved_since: None,
            renew_due: false,
            renew_told: Tick(0),
            services: BTreeMap::new(),
            joining: BTreeMap::new(),
            next_join: now,
            join_at: None,
            taken_in: None,
            nominated: None,
            pointed: None,
            office: None,
            proposed: Proposed::default(),
            reads: Reads::default(),
            random,
            effects,
            known_leader: None,
            asking: 0,
            questions: VecDeque::new(),
            unreadable: None,
        };
        steward.hedge.vet = readable;
        steward.configure(config);
        Ok(steward)
    }

    /// Milliseconds until a turn is due though nothing comes in.
    pub fn due(&self, now: Tick) -> u64 {
        let busy = self.office.as_ref().is_some_and(|o| !o.stirred.is_empty());
        let wait = if busy { 25 } else { 200 };
        let gathers = self.moved_since.is_some() || self.renew_due;
        let wait = if gathers { wait.min(GATHER_MS) } else { wait };
        self.hedge.due().since(now).clamp(1, wait)
    }
    /// Does what is due, after inputs were taken.
    ///
    /// # Errors
    /// `Fatal::State` if something that is committed can't be read here: the process has to end.
    pub fn turn(&mut self, now: Tick) -> Result<(), Fatal> {
        self.hedge.tick(now);
        self.still_readable()?;
        self.flush(now);
        self.still_readable()?;
        self.reconcile(now);
        self.flush(now);
        self.still_readable()?;
        self.tell_moved(now);
        self.pump(now);
        Ok(())
    }
    /// Going on beside what can't be read would be with an old state.
    fn still_readable(&self) -> Result<(), Fatal> {
        match (&self.unreadable, &self.hedge.refused) {
            (Some(why), _) => Err(Fatal::State(format!("left as it is: {why}"))),
            (_, Some(why)) => Err(Fatal::State(format!("not taken from the leader: {why}"))),
            _ => Ok(()),
        }
    }
    /// Asked to stop: another is to lead.
    pub fn leave(&mut self, now: Tick) {
        self.hedge.hand_over(now);
        self.flush(now);
    }
    pub fn hedge(&self) -> &Hedge {
        &self.hedge
    }
    pub fn almanac(&self) -> &Almanac {
        &self.almanac
    }
    /// Up to where the almanac holds what was agreed.
    pub fn applied(&self) -> Index {
        self.applied
    }

    /// Lets the messages leave that may, starts the next write, and applies what was agreed.
    fn flush(&mut self, now: Tick) {
        let troubled = self.desk.troubled(now);
        if troubled != self.hedge.ailing {
            match troubled {
                true => warn!(target: "disk", "in trouble, another is to lead"),
                false => info!(target: "disk", "well again"),
            }
        }
        self.hedge.set_ailing(troubled, now);
        loop {
            for (to, message) in self.desk.leaving(&mut self.hedge) {
                self.send_raft(to, message, now);
            }
            if let Some(sheaf) = self.desk.start(&mut self.hedge, now)
                && !self.effects.write(sheaf)
            {
                error!(target: "hedge", "the thread that writes has ended");
            }
            self.apply(now);
            self.change_office(now);
            if self.hedge.out.is_empty() {
                return;
            }
        }
    }

    fn saved(&mut self, saved: Result<(), String>, now: Tick) {
        // Tried again until it works; one line for the first failure is enough.
        if let Err(e) = &saved
            && !self.hedge.ailing
        {
            error!(target: "disk", "cannot write: {e}");
        }
        for (to, message) in self.desk.ended(&mut self.hedge, saved.is_ok(), now) {
            self.send_raft(to, message, now);
        }
    }

    fn send_raft(&mut self, to: MemberId, message: Raft, now: Tick) {
        let member = self.hedge.members().iter().find(|m| m.id == to);
        // One that begins has no list yet, and that of one that was away may lack the leader.
        let leads = self.taken_in.filter(|_| self.hedge.leader == Some(to));
        if let Some(address) = member.map(|m| m.peer).or(leads) {
            self.effects.send_raft(to, address, message, now);
        }
    }

    /// Goes on with the peers that did not take everything at once.
    fn pump(&mut self, now: Tick) {
        for conn in self.effects.pump() {
            self.catch_up(conn, now);
        }
    }

    /// Takes in what came; `turn` follows.
    pub fn take(&mut self, input: Input, now: Tick) {
        match input {
            Input::Closed(id) => {
                if let Some(Guest { node, .. }) = self.stiles.remove(&id)
                    && let Some(office) = &mut self.office
                    && office.leases.lose(id, now).is_some()
                {
                    office.tidings.stir_all();
                    info!(target: "stiles", "{node} lost");
                }
            }
            Input::Reads(member, layout) => self.hedge.reads(member, layout),
            Input::Frame(_, Frame::Raft { to, message }) => {
                if to == self.hedge.kept.me {
                    self.hedge.step(*message, now);
                }
            }
            Input::Frame(conn, Frame::Join { member, was }) => {
                let mut answer = self.hedge.standing(&member, was, now);
                if self.names(&member, now) {
                    answer = Joined::Found;
                }
                // One that was removed is taken in again with what it has on its disk.
                if matches!(answer, Joined::Noted | Joined::Removed) {
                    self.joining.insert(member.id, (member, now));
                }
                self.send_conn(conn, &Frame::Joined(answer));
            }
            Input::Standing(asked, at, answer) => self.stand(asked, at, answer, now),
            Input::Frame(conn, Frame::Stile(message)) => self.hear_stile(conn, message, now),
            Input::Frame(..) => {}
            Input::Http(request, reply) => self.answer_http(request, reply, now),
            Input::Told(service, id, ask, attempt, told) => {
                if told != Told::Reached {
                    self.asking -= 1;
                    self.ask_on();
                    info!(target: "failover", "{service}: {id} on {ask:?}: {told:?}");
                }
                self.move_on(&service, now, |s, facts| {
                    s.told(facts, attempt, &id, ask, &told, now)
                });
            }
            Input::Saved(saved) => self.saved(saved, now),
            Input::Posted(service, id, attempt, posted) => {
                info!(target: "failover", "{service}: promote of {id}: {posted:?}");
                self.move_on(&service, now, |s, facts| s.posted(facts, attempt, &id, posted, now));
            }
        }
    }

    // -- state ---------------------------------------------------------------------------------

    fn apply(&mut self, now: Tick) {
        if self.hedge.commit <= self.applied || self.unreadable.is_some() {
            return;
        }
        if self.hedge.kept.snapshot.last.1 > self.applied {
            match read_state(&self.hedge.kept.snapshot) {
                Ok(almanac) => self.almanac = almanac,
                Err(why) => {
                    self.unreadable = Some(why);
                    return;
                }
            }
            self.listing = None;
            self.applied = self.hedge.kept.snapshot.last.1;
        }
        let mut relisted = None;
        for entry in self.hedge.committed(self.applied) {
            let change = match &entry.body {
                Body::Change(bytes) => match read_change(entry.index, bytes) {
                    Ok(change) => Some(change),
                    Err(why) => {
                        self.unreadable = Some(why);
                        return;
                    }
                },
                _ => None,
            };
            self.applied = entry.index;
            let waiter = self.proposed.take(&entry);
            match &entry.body {
                Body::Opened => {}
                Body::Members(members) => {
                    relisted = Some(members.clone());
                    self.joining.retain(|id, _| !members.iter().any(|m| m.id == *id));
                    self.effects.keep_links(members);
                }
                Body::Change(_) => {}
            }
            if let Some(change) = change {
                self.apply_change(&change, waiter, now);
            }
        }
        if let Some(members) = relisted {
            let word =
                |m: &Member| format!("{}{}", m.node, if m.voter { "" } else { " (learning)" });
            let names: Vec<_> = members.iter().map(word).collect();
            self.introduce();
            info!(target: "hedge", "members: {}", names.join(", "));
        }
        if self.config.as_ref().map_or(Revision(0), |c| c.revision) != self.almanac.revision {
            info!(target: "almanac", "configuration {} is in force", self.almanac.revision);
            match self.almanac.configuration() {
                Ok(config) => self.configure(config),
                Err(why) => {
                    self.unreadable = Some(why);
                    return;
                }
            }
            self.versions.extend(self.config.as_ref().map(Lanes::of));
            if self.versions.len() > VERSIONS_KEPT {
                self.versions.pop_front();
            }
            let conns: Vec<u64> = self.stiles.keys().copied().collect();
            for conn in conns {
                self.catch_up(conn, now);
            }
        }
        let almanac = &self.almanac;
        self.hedge.compact(self.applied, || almanac.write());
    }

    fn configure(&mut self, config: Option<Configuration>) {
        let services = config.iter().flat_map(|c| &c.services);
        self.services = services.map(|s| (s.name.clone(), s.clone())).collect();
        self.config = config;
        self.encoded.clear();
        if let Some(office) = &mut self.office {
            office.tidings.stir_all();
        }
    }

    fn apply_change(&mut self, change: &Change, waiter: Option<SyncSender<Response>>, now: Tick) {
        let primary = match change {
            Change::Returned { service, .. } => self.almanac.leads.get(service),
            _ => None,
        };
        let old = primary.map(|lead| lead.primary.clone());
        let effect = self.almanac.apply(change);
        if let Some(reply) = waiter {
            // A caller that no longer waits is none of our business.
            let answer = match change {
                Change::Beat { .. } => self.beaten(),
                _ => judged(&effect),
            };
            drop(reply.try_send(answer));
        }
        if effect != Effect::Done {
            return;
        }
        match change {
            // Read and told once all that is committed is applied: see `apply`.
            Change::Configure { .. } => {}
            Change::Beat { id, instance, .. } => {
                self.moved(id, now);
                info!(target: "almanac", "{id} of {}: {:?}, {:?}", instance.target_service,
                    instance.database_role, instance.lifecycle_state);
                let (service, role) = (&instance.target_service, instance.database_role);
                self.move_on(service, now, |s, facts| s.beat(facts, id, role, now));
                self.move_on(service, now, |s, facts| s.tick(facts, now));
            }
            Change::Gone { id, .. } => {
                info!(target: "almanac", "{id} is gone");
                self.moved(id, now);
            }
            Change::Led { service, term, primary } => {
                info!(target: "failover", "{service}: {primary} leads term {term}");
            }
            Change::Intend { service, target, .. } => {
                info!(target: "failover", "{service}: {target} is to take over");
            }
            Change::Abandon { service, target } => {
                info!(target: "failover", "{service}: {target} is not running, given up");
            }
            Change::Returned { service, term, primary } => {
                if let Some(old) = &old {
                    self.moved(old, now);
                }
                info!(target: "failover", "{service}: {primary} is the primary of term {term}, back");
            }
            Change::Covered { service, departed } => {
                let names: Vec<String> = departed.keys().map(|id| id.to_string()).collect();
                info!(target: "failover", "{service}: others have what {} had", names.join(", "));
            }
        }
        if let Change::Led { service, .. }
        | Change::Intend { service, .. }
        | Change::Abandon { service, .. }
        | Change::Returned { service, .. } = change
        {
            self.move_on(service, now, |s, facts| s.tick(facts, now));
            if let Some(office) = &mut self.office {
                office.tidings.stir(service);
            }
            self.renew_due |= matches!(change, Change::Led { .. } | Change::Returned { .. });
        }
    }

    fn propose(&mut self, change: &Change, now: Tick) -> Option<Index> {
        self.hedge.propose(Body::Change(ByteBuf::from(pack(change))), now)
    }

    // -- office --------------------------------------------------------------------------------

    fn change_office(&mut self, now: Tick) {
        if self.known_leader != self.hedge.leader {
            self.known_leader = self.hedge.leader;
            match self.leader() {
                Some(m) => {
                    info!(target: "hedge", "{} leads epoch {}", m.node, self.hedge.kept.epoch)
                }
                None => info!(target: "hedge", "no leader in epoch {}", self.hedge.kept.epoch),
            }
        }
        match (self.hedge.is_leader(), self.office.is_some()) {
            (true, false) => {
                let beats = self.almanac.instances.iter();
                self.office = Some(Office {
                    leases: LeaseBook::new(now),
                    beats: beats.map(|(id, r)| (id.clone(), (now, r.sequence))).collect(),
                    successions: BTreeMap::new(),
                    stirred: BTreeSet::new(),
                    swept: Tick(0),
                    tidings: Tidings::default(),
                    sealed: BTreeSet::new(),
                    freshness: Freshness::default(),
                    cadastre: Cadastre::new(now),
                    settled: false,
                });
            }
            (false, true) => {
                self.office = None;
                self.questions.clear();
                self.moved.clear();
                self.moved_since = None;
                for reply in self.proposed.give_up() {
                    // Whether it will be in force is not known here; asked again it shows.
                    drop(reply.try_send(Response::refusal(503, "no longer the leader")));
                }
                let elsewhere = Frame::Steward(ToStile::Elsewhere(self.leads_at().map(|l| l.0)));
                for (conn, _) in std::mem::take(&mut self.stiles) {
                    self.send_conn(conn, &elsewhere);
                }
            }
            _ => {}
        }
    }

    /// Where peers and callers find the leader.
    fn leads_at(&self) -> Option<(SocketAddr, SocketAddr)> {
        let admin = self.settings.listeners.admin;
        let pointed = || Some((self.pointed?, SocketAddr::new(self.pointed?.ip(), admin?.port())));
        self.leader().map(|m| (m.peer, m.admin)).or_else(pointed)
    }
    fn leader(&self) -> Option<&Member> {
        let id = self.hedge.leader?;
        self.hedge.members().iter().find(|m| m.id == id)
    }

    /// Compares what is wanted with what is, and acts on the difference.
    fn reconcile(&mut self, now: Tick) {
        self.answer_reads(now);
        self.ask_to_join(now);
        if !self.early.is_empty() && (self.office.is_none() || self.hedge.granting(now)) {
            for (conn, message) in std::mem::take(&mut self.early) {
                self.hear_stile(conn, message, now);
            }
        }
        if !self.hedge.granting(now) {
            return;
        }
        self.joining.retain(|_, (_, asked)| now.since(*asked) < JOIN_KEPT_MS);
        let (tolerated, silent) = (self.settings.tolerated(), self.settings.given_up_ms());
        let joining = self.joining.values().map(|(member, _)| member);
        if let Some(members) = self.hedge.wanted_members(joining, tolerated, silent, now) {
            self.hedge.propose(Body::Members(members), now);
        }
        let Some(office) = &mut self.office else {
            return;
        };
        let sweep = now.since(office.swept) >= SWEEP_MS;
        if !sweep {
            let stirred: Vec<ServiceName> = office.stirred.iter().cloned().collect();
            for service in stirred {
                self.move_on(&service, now, |s, facts| s.tick(facts, now));
            }
            return;
        }
        office.swept = now;
        office.cadastre.divide(|node| office.leases.seats.contains_key(node), now);
        let settled = now.since(office.leases.elected) >= SHARE_HELD_MS;
        if office.leases.forget_old(now) || settled != office.settled {
            office.settled = settled;
            office.tidings.stir_all();
        }
        let known = self.almanac.by_service.keys().chain(self.almanac.leads.keys());
        let services: BTreeSet<ServiceName> = known.cloned().collect();
        for service in services {
            self.move_on(&service, now, |s, facts| s.tick(facts, now));
        }
        let forgotten: Vec<InstanceId> = match &self.office {
            Some(office) => office
                .beats
                .iter()
                .filter(|(id, (at, _))| {
                    now.since(*at) > FORGOTTEN_MS
                        && self.almanac.instances.contains_key(*id)
                        && !self.almanac.leads.values().any(|l| l.primary == **id)
                })
                .map(|(id, _)| id.clone())
                .collect(),
            None => Vec::new(),
        };
        for id in forgotten {
            if let Some(office) = &mut self.office {
                office.beats.remove(&id);
            }
            self.propose(&Change::Gone { id, sequence: 0 }, now);
        }
    }

    /// A steward that is in no list asks to be taken in; one that hears no leader, whether it
    /// still belongs.
    fn ask_to_join(&mut self, now: Tick) {
        let me = self.hedge.kept.me;
