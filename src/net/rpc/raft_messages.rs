//! The consensus messages between controllers, and the log entries and snapshots they carry.
//!
//! The Raft core in [`crate::raft`] makes and handles them; [`crate::net::rpc`] frames them. They are
//! written by `rmp-serde`: structs as arrays, so the order and number of fields is fixed, and enum
//! variants by the name they had first. Log entries and snapshots are stored on disk in this form.
use crate::base::ids::{LogIndex, MemberId, NodeName, Term};
use serde::{Deserialize, Serialize};
use serde_bytes::ByteBuf;
use std::net::SocketAddr;

/// One controller, as the replicated membership holds it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// The member's id, drawn anew for each new disk.
    pub id: MemberId,
    /// The machine it runs on.
    pub node: NodeName,
    /// Where it accepts messages from other controllers and from poolers.
    pub peer: SocketAddr,
    /// Where it serves the admin interface. It also tells machines apart: see
    /// [`RaftNode::next_membership_change`](crate::raft::node::RaftNode::next_membership_change).
    pub admin: SocketAddr,
    /// It votes and counts for quorums; otherwise it is a learner.
    pub voter: bool,
    /// It has a durable disk. A process without one is never a member and only asks for the leader.
    #[serde(default = "default_can_vote")]
    pub can_vote: bool,
}

/// Programs from before this field have a durable disk.
fn default_can_vote() -> bool {
    true
}

/// The answer to a process that asks to join, or whether it is still a member.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum JoinResponse {
    /// The sender is not the leader; this is the leader's peer address if it is known.
    #[serde(rename = "Elsewhere")]
    NotLeader(Option<SocketAddr>),
    /// The request is accepted: the process will be added to the members.
    #[serde(rename = "Noted")]
    Accepted,
    /// The process is a member, or never becomes one as it can't vote. The sender is the leader.
    #[serde(rename = "Listed")]
    Current,
    /// The process was a member and has been removed.
    Removed,
    /// There is no cluster yet: the process is to found it.
    #[serde(rename = "Found")]
    FoundCluster,
}

/// The position of an entry in the Raft log. Ordered by term, then index: the order in which the
/// Raft paper, section 5.4.1, compares how up to date two logs are.
///
/// Serialized as an array of two numbers, like the tuple `(Term, LogIndex)`.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct LogPosition {
    /// The term of the leader that created the entry.
    pub term: Term,
    /// The entry's index.
    pub index: LogIndex,
}

/// An entry of the replicated log (the Raft paper, section 5.3).
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LogEntry {
    /// The term of the leader that created it.
    pub term: Term,
    /// Its place in the log, counted from 1.
    pub index: LogIndex,
    /// What it changes.
    pub payload: EntryPayload,
}

/// What an entry takes beside its command, about.
const ENTRY_OVERHEAD_BYTES: usize = 32;

/// What an entry without a command takes, about.
const OTHER_ENTRY_BYTES: usize = 512;

impl LogPosition {
    /// The position of the entry of this term at this index.
    pub const fn new(term: Term, index: LogIndex) -> Self {
        Self { term, index }
    }
}

impl LogEntry {
    /// Where the entry stands in the log.
    pub fn position(&self) -> LogPosition {
        LogPosition::new(self.term, self.index)
    }

    /// The members, if this entry is a membership change.
    pub fn membership(&self) -> Option<&Vec<Member>> {
        match &self.payload {
            EntryPayload::Membership(members) => Some(members),
            _ => None,
        }
    }

    /// About how many bytes the entry takes.
    pub(crate) fn approximate_size(&self) -> usize {
        match &self.payload {
            EntryPayload::Command(bytes) => ENTRY_OVERHEAD_BYTES + bytes.len(),
            _ => OTHER_ENTRY_BYTES,
        }
    }
}

/// What a log entry changes.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum EntryPayload {
    /// The first entry of a new leader's term, which lets it commit those before (the Raft paper,
    /// section 8).
    #[serde(rename = "Opened")]
    NoOp,
    /// The members from this entry on.
    #[serde(rename = "Members")]
    Membership(Vec<Member>),
    /// A command to the state machine, as `state_machine` encodes it.
    #[serde(rename = "Change")]
    Command(ByteBuf),
}

/// A message between two members of the group.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RaftMessage {
    /// The sender.
    pub from: MemberId,
    /// The sender's term; in a pre-vote and its grant, the term that the candidate wants to lead.
    pub term: Term,
    /// What it asks or answers.
    pub kind: RaftMessageKind,
}

/// The content of a [`RaftMessage`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum RaftMessageKind {
    /// A candidate asks for a vote (the Raft paper, section 5.2).
    #[serde(rename = "AskVote")]
    RequestVote {
        /// A pre-vote (the dissertation, section 9.6): no vote is spent and no term changes.
        pre_vote: bool,
        /// The leader itself asked for this election (the dissertation, section 3.10).
        leadership_transfer: bool,
        /// The candidate led the term before this one and has stepped down.
        led_previous_term: bool,
        /// The end of the candidate's log (the Raft paper, section 5.4.1).
        last_log: LogPosition,
    },
    /// The answer to `RequestVote`.
    #[serde(rename = "Vote")]
    VoteResponse {
        /// It answers a pre-vote.
        pre_vote: bool,
        /// Whether the candidate has the vote.
        granted: bool,
    },
    /// The leader's entries; without any, a heartbeat (the Raft paper, section 5.3).
    #[serde(rename = "Append")]
    AppendEntries {
        /// The entry before the first of `entries`.
        previous: LogPosition,
        /// Entries without gaps.
        entries: Vec<LogEntry>,
        /// The leader's commit index.
        commit_index: LogIndex,
        /// The leader's clock when it sent this, in milliseconds; returned by the answer.
        sent_at: u64,
    },
    /// The answer to `AppendEntries` and `InstallSnapshot`.
    #[serde(rename = "Appended")]
    AppendResponse {
        /// The last entry on the follower's disk that is known to agree; without `success`, the
        /// newest one that may agree.
        match_index: LogIndex,
        /// The follower's log holds the leader's previous entry.
        success: bool,
        /// The time that the answered message carried.
        sent_at: u64,
    },
    /// The leader's snapshot, for a follower that lacks compacted entries (the Raft paper, section
    /// 7).
    #[serde(rename = "Snapshot")]
    InstallSnapshot {
        /// The snapshot.
        snapshot: Snapshot,
        /// The leader's clock when it sent this, in milliseconds; returned by the answer.
        sent_at: u64,
    },
    /// The leader asks the receiver to start an election at once (the dissertation, section 3.10).
    #[serde(rename = "TakeOver")]
    TimeoutNow,
    /// A chunk of an encoded `AppendEntries` or `InstallSnapshot` that is too large to go at once.
    /// Sent only to members that read frame layout 2; the next follows once this one is answered.
    #[serde(rename = "Part")]
    Chunk {
        /// The transfer's number, unique within the leader's term.
        transfer_id: u64,
        /// The size of the whole encoded message in bytes.
        total_size: u64,
        /// Where in the message this chunk begins.
        offset: u64,
        /// The chunk.
        bytes: ByteBuf,
        /// The leader's clock when it sent this, in milliseconds; returned by the answer.
        sent_at: u64,
    },
    /// The answer to `Chunk`.
    #[serde(rename = "PartTaken")]
    ChunkResponse {
        /// The transfer.
        transfer_id: u64,
        /// How many bytes of the message have arrived without a gap.
        received: u64,
        /// The time that the answered chunk carried.
        sent_at: u64,
    },
}

/// The state that stands for a compacted part of the log (the Raft paper, section 7).
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Snapshot {
    /// The last entry that the snapshot covers.
    pub last_included: LogPosition,
    /// The members as of that entry.
    pub members: Vec<Member>,
    /// The state machine after that entry, as `state_machine` encodes it.
    pub state: ByteBuf,
}
