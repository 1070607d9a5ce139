//! The sending side of replication: a leader's log, the progress of each follower, and the commit
//! index.
use super::chunked_transfer::ChunkedSend;
use super::limits::{
    MAX_BATCH_ENTRIES, MAX_IN_FLIGHT_BYTES, MAX_PEER_LAYOUTS, MIN_ELECTION_TIMEOUT_MS,
};
use super::node::RaftNode;
use crate::base::ids::{LogIndex, MemberId, Term};
use crate::base::time::Tick;
use crate::net::rpc::raft_messages::{EntryPayload, LogEntry, LogPosition, RaftMessageKind};
use crate::net::rpc::{FIRST_LAYOUT, PARTS_LAYOUT};
use crate::state_machine::STATE_LAYOUT;

/// What a leader knows of another member.
#[derive(Clone, Debug)]
pub(super) struct Progress {
    /// The next entry to send.
    pub(super) next_index: LogIndex,
    /// The newest entry known to be on the member's disk and equal to the leader's.
    pub(super) match_index: LogIndex,
    /// Entries from here up to `next_index` are in flight.
    pub(super) in_flight_from: LogIndex,
    /// A message too large to go at once, on its way in chunks. Nothing but heartbeats is sent
    /// meanwhile.
    pub(super) transfer: Option<ChunkedSend>,
    /// When the newest message that this member answered was sent.
    pub(super) last_acked: Tick,
    /// Since when this leader replicates to it.
    pub(super) added_at: Tick,
    /// The current round of catching up.
    catch_up_round: CatchUpRound,
    /// Its last round was shorter than an election timeout, so it may become a voter.
    pub(super) caught_up: bool,
}

/// One round of bringing a new member up to date (the dissertation, section 4.2.1): the entries
/// that were in the leader's log when the round began.
#[derive(Clone, Copy, Debug)]
struct CatchUpRound {
    target: LogIndex,
    started: Tick,
}

impl Progress {
    pub(super) fn new(next_index: LogIndex, last_index: LogIndex, now: Tick) -> Self {
        Self {
            next_index,
            match_index: LogIndex(0),
            in_flight_from: next_index,
            transfer: None,
            last_acked: Tick(0),
            added_at: now,
            catch_up_round: CatchUpRound { target: last_index, started: now },
            caught_up: false,
        }
    }

    /// Sends from this entry on; whatever was in flight has arrived or is lost.
    pub(super) fn resume_from(&mut self, next_index: LogIndex) {
        (self.next_index, self.in_flight_from) = (next_index, next_index);
    }

    /// The member holds the leader's log up to this entry.
    fn record_match(&mut self, match_index: LogIndex, last_index: LogIndex, now: Tick) {
        self.match_index = self.match_index.max(match_index);
        let after = LogIndex(self.match_index.0 + 1);
        self.next_index = self.next_index.max(after);
        self.in_flight_from = self.in_flight_from.max(after);
        let round = self.catch_up_round;
        if self.match_index >= round.target {
            self.caught_up = now.since(round.started) < MIN_ELECTION_TIMEOUT_MS;
            self.catch_up_round = CatchUpRound { target: last_index, started: now };
        }
    }
}

/// What to do when a member lacks no entry that may be sent to it now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum WhenUpToDate {
    /// Send a heartbeat.
    SendHeartbeat,
    /// Send nothing.
    SendNothing,
}

impl RaftNode {
    /// Appends to the log if this member leads and hands its leadership to nobody. Returns the
    /// entry's index; the entry counts only once it is committed.
    pub fn propose(&mut self, payload: EntryPayload, now: Tick) -> Option<LogIndex> {
        if !self.is_leader() || self.leadership_transfer.is_some() {
            return None;
        }
        Some(self.append_entry(payload, now))
    }

    /// Appends an entry of the current term and sends it to all other members. A membership applies
    /// from the moment it is in the log (the dissertation, section 4.1).
    pub(super) fn append_entry(&mut self, payload: EntryPayload, now: Tick) -> LogIndex {
        let index = LogIndex(self.last_position().index.0 + 1);
        if let EntryPayload::Membership(members) = &payload {
            self.members = members.clone();
            self.members_changed_at = now;
        }
        self.state.log.push(LogEntry { term: self.state.term, index, payload });
        self.unsaved.mark_log_from(index);
        let others = self.other_members();
        let gone = self.progress.iter().filter(|(id, _)| !others.contains(id));
        self.removed_match_indexes.extend(gone.map(|(id, p)| (*id, p.match_index)));
        self.progress.retain(|id, _| others.contains(id));
        for id in others {
            // A new member starts from the beginning: without a member list it can't say what it
            // lacks. One that is taken in again continues where it was.
            let matched = self.removed_match_indexes.remove(&id).unwrap_or_default();
            let next_index = LogIndex(matched.0 + 1);
            self.progress.entry(id).or_insert_with(|| Progress::new(next_index, index, now));
            self.send_append(id, WhenUpToDate::SendNothing, now);
        }
        index
    }

    /// Sends a member the entries, or the snapshot, that it lacks, as far as they may be in flight
    /// at once.
    pub(super) fn send_append(&mut self, id: MemberId, when_up_to_date: WhenUpToDate, now: Tick) {
        let base = self.state.snapshot.last_included.index;
        let Some(progress) = self.progress.get_mut(&id) else {
            return;
        };
        if progress.transfer.as_ref().is_some_and(|t| t.next_index <= base) {
            // The entries after the transfer were compacted: a newer snapshot is needed anyway.
            progress.transfer = None;
            progress.next_index = LogIndex(1);
        }
        if progress.transfer.is_some() {
            if when_up_to_date == WhenUpToDate::SendHeartbeat {
                self.send_heartbeat(id, now);
            }
        } else if progress.next_index <= base {
            self.send_snapshot(id, when_up_to_date, now);
        } else {
            self.send_entries(id, when_up_to_date, now);
        }
    }

    /// Sends a heartbeat on which every log agrees: its previous entry is the log's beginning.
    fn send_heartbeat(&mut self, id: MemberId, now: Tick) {
        let kind = RaftMessageKind::AppendEntries {
            previous: LogPosition::default(),
            entries: Vec::new(),
            commit_index: self.commit_index,
            sent_at: now.0,
        };
        self.send(id, kind);
    }

    /// Sends the snapshot to a member that lacks entries which were compacted (the Raft paper,
    /// section 7).
    fn send_snapshot(&mut self, id: MemberId, when_up_to_date: WhenUpToDate, now: Tick) {
        let Some(layout) = self.peer_layouts.get(&id).copied() else {
            // Its answer to a heartbeat tells first which layout it reads.
            return self.send_heartbeat(id, now);
        };
        // How an older program would treat a state that it can't read is unknown: it gets what is
        // in the log, and the rest once that program is exchanged.
        let newer_state = self.state.snapshot.state.first() == Some(&STATE_LAYOUT);
        if newer_state && layout < STATE_LAYOUT {
            if when_up_to_date == WhenUpToDate::SendHeartbeat {
                self.send_heartbeat(id, now);
            }
            return;
        }
        let snapshot = self.state.snapshot.clone();
        let last_included = snapshot.last_included.index;
        if let Some(progress) = self.progress.get_mut(&id) {
            progress.resume_from(LogIndex(last_included.0 + 1));
        }
        let kind = RaftMessageKind::InstallSnapshot { snapshot, sent_at: now.0 };
        match layout >= PARTS_LAYOUT {
            true => self.start_chunked_send(id, &kind, Some(last_included), now),
            false => self.send(id, kind),
        }
    }

    /// Sends the entries after those in flight.
    fn send_entries(&mut self, id: MemberId, when_up_to_date: WhenUpToDate, now: Tick) {
        let Some(progress) = self.progress.get(&id) else {
            return;
        };
        let (next_index, in_flight_from) = (progress.next_index, progress.in_flight_from);
        let before = LogIndex(next_index.0 - 1);
        let Some(term) = self.term_at(before) else {
            return;
        };
        let entries = self.next_batch(in_flight_from, next_index);
        if entries.is_empty() && when_up_to_date == WhenUpToDate::SendNothing {
            return;
        }
        let layout = self.peer_layouts.get(&id).copied();
        let bytes: usize = entries.iter().map(LogEntry::approximate_size).sum();
        let large = bytes > MAX_IN_FLIGHT_BYTES;
        if large && layout.is_none() {
            return self.send_heartbeat(id, now);
        }
        if let Some(progress) = self.progress.get_mut(&id) {
            progress.next_index = LogIndex(next_index.0 + entries.len() as u64);
        }
        let kind = RaftMessageKind::AppendEntries {
            previous: LogPosition::new(term, before),
            entries,
            commit_index: self.commit_index,
            sent_at: now.0,
        };
        match large && layout.is_some_and(|l| l >= PARTS_LAYOUT) {
            true => self.start_chunked_send(id, &kind, None, now),
            false => self.send(id, kind),
        }
    }

    /// The entries from `next_index` on that may be sent beside those in flight. If none is in
    /// flight there is one at least, however large it is.
    fn next_batch(&self, in_flight_from: LogIndex, next_index: LogIndex) -> Vec<LogEntry> {
        let first = self.state.snapshot.last_included.index.0 + 1;
        let offset = |index: LogIndex| index.0.saturating_sub(first) as usize;
        let in_flight = self.state.log.get(offset(in_flight_from)..offset(next_index));
        let in_flight = in_flight.unwrap_or_default();
        let in_flight_bytes: usize = in_flight.iter().map(LogEntry::approximate_size).sum();
        let mut free_bytes = MAX_IN_FLIGHT_BYTES.saturating_sub(in_flight_bytes);
        let mut first_in_flight = in_flight.is_empty();
        let fits = |entry: &&LogEntry| {
            let size = entry.approximate_size();
            let fits = std::mem::take(&mut first_in_flight) || size <= free_bytes;
            free_bytes = free_bytes.saturating_sub(size);
            fits
        };
        let waiting = self.state.log.iter().skip(offset(next_index)).take(MAX_BATCH_ENTRIES);
        waiting.take_while(fits).cloned().collect()
    }

    /// A member's answer to `AppendEntries` or `InstallSnapshot`.
    pub(super) fn handle_append_response(
        &mut self,
        from: MemberId,
        term: Term,
        match_index: LogIndex,
        success: bool,
        sent_at: u64,
        now: Tick,
    ) {
        if term > self.state.term {
            self.advance_term(term);
            return self.become_follower(None, now);
        }
        if !self.is_leader() || term < self.state.term {
            return;
        }
        self.peer_layouts.entry(from).or_insert(FIRST_LAYOUT);
        let Some(progress) = self.progress.get_mut(&from) else {
            return;
        };
        // A time in the future is from the clock of an earlier incarnation of this process.
        if Tick(sent_at) <= now {
            progress.last_acked = progress.last_acked.max(Tick(sent_at));
        }
        if progress.transfer.is_some() {
            self.handle_response_during_transfer(from, match_index, success, sent_at, now);
        } else if success {
            self.handle_match(from, match_index, now);
        } else {
            // The follower's log disagrees (the Raft paper, section 5.3): try further back, but not
            // before what is known to agree.
            let agreed = progress.match_index.max(match_index);
            progress.resume_from(LogIndex(agreed.0 + 1));
            self.send_append(from, WhenUpToDate::SendHeartbeat, now);
        }
    }

    /// The member holds the log up to `match_index`; it gets what it lacks beyond that.
    fn handle_match(&mut self, from: MemberId, match_index: LogIndex, now: Tick) {
        let last_index = self.last_position().index;
        let Some(progress) = self.progress.get_mut(&from) else {
            return;
        };
        progress.record_match(match_index, last_index, now);
        let behind = progress.next_index <= last_index;
        self.advance_commit_index();
        if behind {
            self.send_append(from, WhenUpToDate::SendNothing, now);
        }
        self.notify_transfer_target(now);
    }

    /// An answer to a heartbeat while a message is on its way in chunks.
    fn handle_response_during_transfer(
        &mut self,
        from: MemberId,
        match_index: LogIndex,
        success: bool,
        sent_at: u64,
        now: Tick,
    ) {
        let Some(progress) = self.progress.get_mut(&from) else {
            return;
        };
        // The heartbeat was sent after the newest chunk and answered before it: that chunk is lost.
        let chunk_lost =
            progress.transfer.as_mut().is_some_and(|t| t.shrink_if_sent_before(Tick(sent_at)));
        if success {
            progress.match_index = progress.match_index.max(match_index);
            self.advance_commit_index();
        }
        if chunk_lost {
            self.send_chunk(from, now);
        }
    }

    /// Commits what a quorum of the voters has on disk (the Raft paper, section 5.3). The leader's
    /// own log counts only as far as it is on disk, like any other.
    pub(super) fn advance_commit_index(&mut self) {
        if !self.is_leader() {
            return;
        }
        let on_disk = |id: &MemberId| match *id == self.state.member_id {
            true => self.durable_index,
            false => self.progress.get(id).map_or(LogIndex(0), |p| p.match_index),
        };
        let mut match_indexes: Vec<LogIndex> = self.voters().iter().map(on_disk).collect();
        match_indexes.sort_unstable_by(|a, b| b.cmp(a));
        let Some(agreed) = match_indexes.get(self.quorum() - 1).copied() else {
            return;
        };
        // The Raft paper, section 5.4.2: only entries of the current term are committed by counting
        // replicas; earlier ones are committed along with them.
        if agreed > self.commit_index && self.term_at(agreed) == Some(self.state.term) {
            self.commit_index = agreed;
        }
    }

    /// Whether a quorum answered messages that were sent less than `within_ms` ago.
    pub(super) fn quorum_answered_within(&self, within_ms: u64, now: Tick) -> bool {
        self.quorum_answered(|sent_at| now.since(sent_at) < within_ms)
    }

    /// Whether a quorum answered messages whose time of sending `counts`.
    pub(super) fn quorum_answered(&self, counts: impl Fn(Tick) -> bool) -> bool {
        let answered = |id: &&MemberId| {
            **id == self.state.member_id
                || self.progress.get(id).is_some_and(|p| counts(p.last_acked))
        };
        self.voters().iter().filter(answered).count() >= self.quorum()
    }

    /// Notes the frame layout that a member reads, as its newest frame says.
    pub fn record_peer_layout(&mut self, id: MemberId, layout: u8) {
        if self.peer_layouts.len() > MAX_PEER_LAYOUTS {
            // Senders need not be members; those that are not are forgotten again.
            self.peer_layouts.retain(|id, _| self.members.iter().any(|m| m.id == *id));
        }
        self.peer_layouts.insert(id, layout);
        if layout < PARTS_LAYOUT
            && let Some(progress) = self.progress.get_mut(&id)
            && progress.transfer.take().is_some()
        {
            // It was rolled back to an earlier program, which can't read chunks.
            progress.resume_from(LogIndex(progress.match_index.0 + 1));
        }
    }

    /// Whether no other member is known not to read this layout. One that was not heard from counts
    /// as unreachable rather than old, so that it does not keep failovers waiting.
    pub fn all_peers_read_layout(&self, layout: u8) -> bool {
        self.other_members()
            .iter()
            .all(|id| self.peer_layouts.get(id).is_none_or(|read| *read >= layout))
    }
}
