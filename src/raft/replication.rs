//! The leader's side of replication: appending to its log, sending entries and snapshots, tracking
//! the progress of each follower, and advancing the commit index.
use super::chunked_transfer::ChunkedSend;
use super::limits::{
    MAX_BATCH_ENTRIES, MAX_IN_FLIGHT_BYTES, MAX_PEER_LAYOUTS, MIN_ELECTION_TIMEOUT_MS,
};
use super::node::RaftNode;
use crate::base::ids::{LogIndex, MemberId, Term};
use crate::base::time::Tick;
use crate::net::rpc::raft_messages::{EntryPayload, LogEntry, LogPosition, RaftMessageKind};
use crate::net::rpc::{CHUNKS_LAYOUT, FIRST_LAYOUT};
use crate::state_machine::STATE_LAYOUT;

/// The replication state of another member, as the leader tracks it.
#[derive(Clone, Debug)]
pub(super) struct Progress {
    /// The index of the next entry to send.
    pub(super) next_index: LogIndex,
    /// The newest index up to which the log on the member's disk is known to match the leader's.
    pub(super) match_index: LogIndex,
    /// Entries from here up to `next_index` are in flight.
    pub(super) in_flight_from: LogIndex,
    /// The large message that is being sent in chunks. Until it is complete, the member gets
    /// nothing else but heartbeats.
    pub(super) transfer: Option<ChunkedSend>,
    /// When the newest message that the member has answered was sent.
    pub(super) last_acked: Tick,
    /// When this leader began to replicate to the member.
    pub(super) added_at: Tick,
    /// The current catch-up round.
    catch_up_round: CatchUpRound,
    /// The last catch-up round took less than an election timeout, so the member may become a
    /// voter.
    pub(super) caught_up: bool,
}

/// One round of bringing a new member up to date (the dissertation, section 4.2.1): it ends when
/// the member has all entries that were in the leader's log when the round began.
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

    /// Restarts sending at this index. All earlier entries in flight have arrived or are lost.
    pub(super) fn resume_from(&mut self, next_index: LogIndex) {
        (self.next_index, self.in_flight_from) = (next_index, next_index);
    }

    /// Records that the member's log matches the leader's up to this index.
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

/// What to send to a member that needs no entries, or may not be sent any now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum WhenUpToDate {
    /// Send a heartbeat.
    SendHeartbeat,
    /// Send no message.
    SendNothing,
}

impl RaftNode {
    /// Appends an entry to the log and returns its index. `None` if this member is not the leader
    /// or is transferring its leadership. The entry takes effect only once it is committed.
    pub fn propose(&mut self, payload: EntryPayload, now: Tick) -> Option<LogIndex> {
        if !self.is_leader() || self.leadership_transfer.is_some() {
            return None;
        }
        Some(self.append_entry(payload, now))
    }

    /// Appends an entry of the current term and sends it to all other members. A membership change
    /// applies as soon as it is in the log (the dissertation, section 4.1).
    pub(super) fn append_entry(&mut self, payload: EntryPayload, now: Tick) -> LogIndex {
        let index = LogIndex(self.last_position().index.0 + 1);
        if let EntryPayload::Membership(members) = &payload {
            self.members = members.clone();
            self.members_changed_at = now;
        }
        self.state.log.push(LogEntry { term: self.state.term, index, payload });
        self.unsaved.mark_log_from(index);
        let others = self.other_members();
        let removed = self.progress.iter().filter(|(id, _)| !others.contains(id));
        self.removed_match_indexes.extend(removed.map(|(id, p)| (*id, p.match_index)));
        self.progress.retain(|id, _| others.contains(id));
        for id in others {
            // A new member is sent the log from the beginning, as it has no member list and can't
            // report its last index. A member that was removed and added again continues at its
            // old match index.
            let match_index = self.removed_match_indexes.remove(&id).unwrap_or_default();
            let next_index = LogIndex(match_index.0 + 1);
            self.progress.entry(id).or_insert_with(|| Progress::new(next_index, index, now));
            self.send_append(id, WhenUpToDate::SendNothing, now);
        }
        index
    }

    /// Sends a member the entries or the snapshot that it needs, within the limit on data in
    /// flight.
    pub(super) fn send_append(&mut self, id: MemberId, when_up_to_date: WhenUpToDate, now: Tick) {
        let base = self.state.snapshot.last_included.index;
        let Some(progress) = self.progress.get_mut(&id) else {
            return;
        };
        if progress.transfer.as_ref().is_some_and(|t| t.next_index <= base) {
            // The entries that follow the transfer were compacted, so the member needs a newer
            // snapshot anyway.
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

    /// Sends a heartbeat that matches every log: its previous entry is the beginning of the log.
    fn send_heartbeat(&mut self, id: MemberId, now: Tick) {
        let kind = RaftMessageKind::AppendEntries {
            previous: LogPosition::default(),
            entries: Vec::new(),
            commit_index: self.commit_index,
            sent_at: now.0,
        };
        self.send(id, kind);
    }

    /// Sends the snapshot to a member that needs entries which were compacted (the Raft paper,
    /// section 7).
    fn send_snapshot(&mut self, id: MemberId, when_up_to_date: WhenUpToDate, now: Tick) {
        let Some(layout) = self.peer_layouts.get(&id).copied() else {
            // The response to a heartbeat tells which frame layout the member reads.
            return self.send_heartbeat(id, now);
        };
        // It is unknown how an older program treats a state that it can't read. It gets only the
        // entries in the log until it is upgraded.
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
        match layout >= CHUNKS_LAYOUT {
            true => self.start_chunked_send(id, &kind, Some(last_included), now),
            false => self.send(id, kind),
        }
    }

    /// Sends the next entries after those in flight.
    fn send_entries(&mut self, id: MemberId, when_up_to_date: WhenUpToDate, now: Tick) {
        let Some(progress) = self.progress.get(&id) else {
            return;
        };
        let (next_index, in_flight_from) = (progress.next_index, progress.in_flight_from);
        let previous_index = LogIndex(next_index.0 - 1);
        let Some(previous_term) = self.term_at(previous_index) else {
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
            previous: LogPosition::new(previous_term, previous_index),
            entries,
            commit_index: self.commit_index,
            sent_at: now.0,
        };
        match large && layout.is_some_and(|l| l >= CHUNKS_LAYOUT) {
            true => self.start_chunked_send(id, &kind, None, now),
            false => self.send(id, kind),
        }
    }

    /// The entries from `next_index` on that may be in flight together with those already sent. If
    /// none is in flight, this includes at least one entry, whatever its size.
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
        let unsent = self.state.log.iter().skip(offset(next_index)).take(MAX_BATCH_ENTRIES);
        unsent.take_while(fits).cloned().collect()
    }

    /// Handles a member's response to `AppendEntries` or `InstallSnapshot`.
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
        // A timestamp in the future is from the clock of an earlier run of this process.
        if Tick(sent_at) <= now {
            progress.last_acked = progress.last_acked.max(Tick(sent_at));
        }
        if progress.transfer.is_some() {
            self.handle_response_during_transfer(from, match_index, success, sent_at, now);
        } else if success {
            self.handle_match(from, match_index, now);
        } else {
            // The follower's log conflicts (the Raft paper, section 5.3): retry at an earlier
            // index, but not before the entries that are known to match.
            let retry_after = progress.match_index.max(match_index);
            progress.resume_from(LogIndex(retry_after.0 + 1));
            self.send_append(from, WhenUpToDate::SendHeartbeat, now);
        }
    }

    /// Records that the member's log matches up to `match_index` and sends the entries after that.
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

    /// Handles the response to a heartbeat while a message is being sent in chunks.
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
        // The heartbeat was sent after the newest chunk but answered first, so the chunk is lost.
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

    /// Commits the entries that a quorum of the voters has on disk (the Raft paper, section 5.3).
    /// The leader's own log counts only as far as it is on disk, like that of any other voter.
    pub(super) fn advance_commit_index(&mut self) {
        if !self.is_leader() {
            return;
        }
        let match_index = |id: &MemberId| match *id == self.state.member_id {
            true => self.durable_index,
            false => self.progress.get(id).map_or(LogIndex(0), |p| p.match_index),
        };
        let mut match_indexes: Vec<LogIndex> = self.voters().iter().map(match_index).collect();
        match_indexes.sort_unstable_by(|a, b| b.cmp(a));
        let Some(quorum_index) = match_indexes.get(self.quorum() - 1).copied() else {
            return;
        };
        // The Raft paper, section 5.4.2: only entries of the current term are committed by counting
        // replicas; entries of earlier terms are committed along with them.
        if quorum_index > self.commit_index && self.term_at(quorum_index) == Some(self.state.term) {
            self.commit_index = quorum_index;
        }
    }

    /// Whether a quorum has answered messages that were sent less than `within_ms` ago.
    pub(super) fn quorum_answered_within(&self, within_ms: u64, now: Tick) -> bool {
        self.quorum_answered(|sent_at| now.since(sent_at) < within_ms)
    }

    /// Whether a quorum has answered messages for whose send time `sent_at_counts` is true.
    pub(super) fn quorum_answered(&self, sent_at_counts: impl Fn(Tick) -> bool) -> bool {
        let answered = |id: &&MemberId| {
            **id == self.state.member_id
                || self.progress.get(id).is_some_and(|p| sent_at_counts(p.last_acked))
        };
        self.voters().iter().filter(answered).count() >= self.quorum()
    }

    /// Records the newest frame layout that a member reads, as stated in its last frame.
    pub fn record_peer_layout(&mut self, id: MemberId, layout: u8) {
        if self.peer_layouts.len() > MAX_PEER_LAYOUTS {
            // Senders need not be members; the layouts of non-members are dropped again.
            self.peer_layouts.retain(|id, _| self.members.iter().any(|m| m.id == *id));
        }
        self.peer_layouts.insert(id, layout);
        if layout < CHUNKS_LAYOUT
            && let Some(progress) = self.progress.get_mut(&id)
            && progress.transfer.take().is_some()
        {
            // The member was rolled back to an earlier program, which can't read chunks.
            progress.resume_from(LogIndex(progress.match_index.0 + 1));
        }
    }

    /// Whether all other members read this frame layout, as far as known. A member that has sent no
    /// frame counts as unreachable rather than outdated, so that it does not delay failovers.
    pub fn all_peers_read_layout(&self, layout: u8) -> bool {
        self.other_members()
            .iter()
            .all(|id| self.peer_layouts.get(id).is_none_or(|readable| *readable >= layout))
    }
}
