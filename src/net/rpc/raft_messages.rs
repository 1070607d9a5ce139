//! The consensus messages between controllers.
use crate::base::ids::{LogIndex, MemberId, NodeName, Term};
use serde::{Deserialize, Serialize};
use serde_bytes::ByteBuf;
use std::net::SocketAddr;

/// One controller, as the replicated list of members holds it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    pub id: MemberId,
    pub node: NodeName,
    pub peer: SocketAddr,
    pub admin: SocketAddr,
    pub voter: bool,
    /// It has a disk that counts. One without is in no list and only points at the leader.
    #[serde(default = "yes")]
    pub can_vote: bool,
}

fn yes() -> bool {
    true
}

/// The answer to a wish to join.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum JoinResponse {
    /// Not the leader; perhaps this one is.
    #[serde(rename = "Elsewhere")]
    NotLeader(Option<SocketAddr>),
    /// It will be taken in.
    #[serde(rename = "Noted")]
    Accepted,
    /// It is a member, or needs to be none; the one that says so leads.
    #[serde(rename = "Listed")]
    Current,
    /// It was one and is not any more.
    Removed,
    /// Nobody is there yet: it is to found the Raft group.
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

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LogEntry {
    pub term: Term,
    pub index: LogIndex,
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

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum EntryPayload {
    /// A new leader's first entry.
    #[serde(rename = "Opened")]
    NoOp,
    #[serde(rename = "Members")]
    Membership(Vec<Member>),
    /// A change of the StateMachine, as its own module encodes it.
    #[serde(rename = "Change")]
    Command(ByteBuf),
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RaftMessage {
    pub from: MemberId,
    pub term: Term,
    pub kind: RaftMessageKind,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum RaftMessageKind {
    #[serde(rename = "AskVote")]
    RequestVote {
        /// A try only: nobody's vote is spent and no term moves.
        pre_vote: bool,
        /// The old leader itself asked for this election.
        leadership_transfer: bool,
        /// The asker led the term before this one, and does so no more.
        led_previous_term: bool,
        last_log: LogPosition,
    },
    #[serde(rename = "Vote")]
    VoteResponse { pre_vote: bool, granted: bool },
    #[serde(rename = "Append")]
    AppendEntries {
        previous: LogPosition,
        entries: Vec<LogEntry>,
        commit_index: LogIndex,
        /// The leader's clock when it sent this, handed back by the answer.
        sent_at: u64,
    },
    #[serde(rename = "Appended")]
    AppendResponse {
        /// The last entry known to agree, or where to look next when `ok` is false.
        match_index: LogIndex,
        success: bool,
        sent_at: u64,
    },
    #[serde(rename = "Snapshot")]
    InstallSnapshot { snapshot: Snapshot, sent_at: u64 },
    #[serde(rename = "TakeOver")]
    TimeoutNow,
    /// A part of a message too large to go at once: of an `Append` or a `Snapshot`, encoded. Only to
    /// members that read layout 2; the next follows once this one is answered.
    #[serde(rename = "Part")]
    Chunk {
        /// Told apart within the sender's term.
        transfer_id: u64,
        total_size: u64,
        offset: u64,
        bytes: ByteBuf,
        sent_at: u64,
    },
    /// So many bytes of that transfer are here without a gap.
    #[serde(rename = "PartTaken")]
    ChunkResponse { transfer_id: u64, received: u64, sent_at: u64 },
}

#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Snapshot {
    pub last_included: LogPosition,
    pub members: Vec<Member>,
    pub state: ByteBuf,
}
