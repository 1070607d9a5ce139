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

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LogEntry {
    pub term: Term,
    pub index: LogIndex,
    pub body: EntryPayload,
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
        trial: bool,
        /// The old leader itself asked for this election.
        handover: bool,
        /// The asker led the term before this one, and does so no more.
        led: bool,
        last: (Term, LogIndex),
    },
    #[serde(rename = "Vote")]
    VoteResponse { trial: bool, granted: bool },
    #[serde(rename = "Append")]
    AppendEntries {
        previous: (Term, LogIndex),
        entries: Vec<LogEntry>,
        commit: LogIndex,
        /// The leader's clock when it sent this, handed back by the answer.
        sent: u64,
    },
    #[serde(rename = "Appended")]
    AppendResponse {
        /// The last entry known to agree, or where to look next when `ok` is false.
        upto: LogIndex,
        ok: bool,
        sent: u64,
    },
    #[serde(rename = "Snapshot")]
    InstallSnapshot { snapshot: Snapshot, sent: u64 },
    #[serde(rename = "TakeOver")]
    TimeoutNow,
    /// A part of a message too large to go at once: of an `Append` or a `Snapshot`, encoded. Only to
    /// members that read layout 2; the next follows once this one is answered.
    #[serde(rename = "Part")]
    Chunk {
        /// Told apart within the sender's term.
        transfer: u64,
        size: u64,
        offset: u64,
        bytes: ByteBuf,
        sent: u64,
    },
    /// So many bytes of that transfer are here without a gap.
    #[serde(rename = "PartTaken")]
    ChunkResponse { transfer: u64, upto: u64, sent: u64 },
}

#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Snapshot {
    pub last: (Term, LogIndex),
    pub members: Vec<Member>,
    pub state: ByteBuf,
}
