//! The Raft messages between controllers, and the log entries and snapshots they contain.
//!
//! The Raft core in [`crate::raft`] creates and handles them. The encoding by `rmp-serde` is part
//! of the wire protocol and of the storage format of log entries and snapshots: structs are arrays,
//! so the order and number of their fields must not change, and renamed enum variants keep their
//! encoded name with `#[serde(rename)]`.
use crate::base::ids::{LogIndex, MemberId, NodeName, Term};
use serde::{Deserialize, Serialize};
use serde_bytes::ByteBuf;
use std::net::SocketAddr;

/// A controller in the replicated member list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// The member's id; a new disk gets a new random id.
    pub id: MemberId,
    /// The machine that the controller runs on.
    pub node: NodeName,
    /// The address at which it accepts connections from other controllers and from nodes.
    pub peer: SocketAddr,
    /// The address of its admin interface. It also identifies the machine: see
    /// [`RaftNode::next_membership_change`](crate::raft::node::RaftNode::next_membership_change).
    pub admin: SocketAddr,
    /// Whether it votes and counts for quorums; otherwise it is a learner.
    pub voter: bool,
    /// Whether it has a durable disk. A process without one never becomes a member and only queries
    /// the leader's address.
    #[serde(default = "default_can_vote")]
    pub can_vote: bool,
}

/// Releases without this field always have a durable disk.
fn default_can_vote() -> bool {
    true
}

/// The response to a process that asks to join the cluster, or asks whether it is still a member.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum JoinResponse {
    /// The sender is not the leader. Contains the leader's peer address, if it is known.
    #[serde(rename = "Elsewhere")]
    NotLeader(Option<SocketAddr>),
    /// The request is accepted; the process will be added as a member.
    #[serde(rename = "Noted")]
    Accepted,
    /// The process is a member, or can't become one because it can't vote. The sender is the
    /// leader.
    #[serde(rename = "Listed")]
    Current,
    /// The process was a member and has been removed.
    Removed,
    /// No cluster exists yet; the process should bootstrap it.
    #[serde(rename = "Found")]
    FoundCluster,
}

/// The position of an entry in the Raft log. Ordered by term, then index, which is how the Raft
/// paper (section 5.4.1) determines which of two logs is more up to date.
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
    /// The term of the leader that created the entry.
    pub term: Term,
    /// The entry's index in the log; the first entry is 1.
    pub index: LogIndex,
    /// The content of the entry.
    pub payload: EntryPayload,
}

/// The approximate size of an entry without its command.
const ENTRY_OVERHEAD_BYTES: usize = 32;

/// The approximate size of an entry that has no command.
const NON_COMMAND_ENTRY_BYTES: usize = 512;

impl LogPosition {
    /// Creates the position with this term and index.
    pub const fn new(term: Term, index: LogIndex) -> Self {
        Self { term, index }
    }
}

impl LogEntry {
    /// The entry's position in the log.
    pub fn position(&self) -> LogPosition {
        LogPosition::new(self.term, self.index)
    }

    /// The new member list, if this entry is a membership change.
    pub fn membership(&self) -> Option<&Vec<Member>> {
        match &self.payload {
            EntryPayload::Membership(members) => Some(members),
            _ => None,
        }
    }

    /// The approximate size of the encoded entry in bytes.
    pub(crate) fn approximate_size(&self) -> usize {
        match &self.payload {
            EntryPayload::Command(bytes) => ENTRY_OVERHEAD_BYTES + bytes.len(),
            _ => NON_COMMAND_ENTRY_BYTES,
        }
    }
}

/// The content of a [`LogEntry`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum EntryPayload {
    /// The first entry of a new leader's term, which lets the leader commit earlier entries (the
    /// Raft paper, section 8).
    #[serde(rename = "Opened")]
    NoOp,
    /// A membership change: the member list from this entry on.
    #[serde(rename = "Members")]
    Membership(Vec<Member>),
    /// A state machine command, encoded by `state_machine`.
    #[serde(rename = "Change")]
    Command(ByteBuf),
}

/// A message between two members of the Raft cluster.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RaftMessage {
    /// The sender.
    pub from: MemberId,
    /// The sender's term. In a pre-vote request and its grant, the term that the candidate
    /// proposes.
    pub term: Term,
    /// The request or response.
    pub kind: RaftMessageKind,
}

/// The content of a [`RaftMessage`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum RaftMessageKind {
    /// A candidate requests a vote (the Raft paper, section 5.2).
    #[serde(rename = "AskVote")]
    RequestVote {
        /// Whether this is a pre-vote (the dissertation, section 9.6): no vote is recorded and no
        /// term changes.
        pre_vote: bool,
        /// Whether the leader requested this election (the dissertation, section 3.10).
        leadership_transfer: bool,
        /// Whether the candidate was the leader of the previous term and has stepped down.
        led_previous_term: bool,
        /// The position of the candidate's last log entry (the Raft paper, section 5.4.1).
        last_log: LogPosition,
    },
    /// The response to `RequestVote`.
    #[serde(rename = "Vote")]
    VoteResponse {
        /// Whether this responds to a pre-vote.
        pre_vote: bool,
        /// Whether the vote is granted.
        granted: bool,
    },
    /// Replicates log entries; a heartbeat if there are none (the Raft paper, section 5.3).
    #[serde(rename = "Append")]
    AppendEntries {
        /// The position of the entry before the first of `entries`.
        previous: LogPosition,
        /// Consecutive entries.
        entries: Vec<LogEntry>,
        /// The leader's commit index.
        commit_index: LogIndex,
        /// The leader's clock when it sent this, in ms; the response returns it.
        sent_at: u64,
    },
    /// The response to `AppendEntries` and `InstallSnapshot`.
    #[serde(rename = "Appended")]
    AppendResponse {
        /// The last entry on the follower's disk that is known to match the leader's log; without
        /// `success`, the last entry that may match.
        match_index: LogIndex,
        /// Whether the follower's log contains the leader's previous entry.
        success: bool,
        /// The `sent_at` of the request.
        sent_at: u64,
    },
    /// Sends a snapshot to a follower that needs entries which are already compacted (the Raft
    /// paper, section 7).
    #[serde(rename = "Snapshot")]
    InstallSnapshot {
        /// The snapshot.
        snapshot: Snapshot,
        /// The leader's clock when it sent this, in ms; the response returns it.
        sent_at: u64,
    },
    /// The leader asks the receiver to start an election immediately (the dissertation, section
    /// 3.10).
    #[serde(rename = "TakeOver")]
    TimeoutNow,
    /// A chunk of an encoded `AppendEntries` or `InstallSnapshot` that is too large for one
    /// message. Sent only to members that support frame layout 2; the next chunk is sent once this
    /// one is acknowledged.
    #[serde(rename = "Part")]
    Chunk {
        /// The transfer's number, unique within the leader's term.
        transfer_id: u64,
        /// The size of the complete encoded message in bytes.
        total_size: u64,
        /// The offset of the chunk in the message.
        offset: u64,
        /// The content of the chunk.
        bytes: ByteBuf,
        /// The leader's clock when it sent this, in ms; the response returns it.
        sent_at: u64,
    },
    /// The response to `Chunk`.
    #[serde(rename = "PartTaken")]
    ChunkResponse {
        /// The number of the transfer.
        transfer_id: u64,
        /// The number of consecutive bytes of the message received so far.
        received: u64,
        /// The `sent_at` of the chunk.
        sent_at: u64,
    },
}

/// A snapshot, which replaces the compacted part of the log (the Raft paper, section 7).
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Snapshot {
    /// The position of the last entry that the snapshot covers.
    pub last_included: LogPosition,
    /// The member list as of that entry.
    pub members: Vec<Member>,
    /// The state machine after that entry, encoded by `state_machine`.
    pub state: ByteBuf,
}
