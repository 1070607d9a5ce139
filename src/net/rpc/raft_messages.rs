//! The consensus messages between controllers.
use crate::base::ids::{Epoch, Index, MemberId, NodeName};
use serde::{Deserialize, Serialize};
use serde_bytes::ByteBuf;
use std::net::SocketAddr;

/// One steward, as the replicated list of members holds it.
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
pub enum Joined {
    /// Not the leader; perhaps this one is.
    Elsewhere(Option<SocketAddr>),
    /// It will be taken in.
    Noted,
    /// It is a member, or needs to be none; the one that says so leads.
    Listed,
    /// It was one and is not any more.
    Removed,
    /// Nobody is there yet: it is to found the hedge.
    Found,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Entry {
    pub epoch: Epoch,
    pub index: Index,
    pub body: Body,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Body {
    /// A new leader's first entry.
    Opened,
    Members(Vec<Member>),
    /// A change of the Almanac, as its own module encodes it.
    Change(ByteBuf),
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Raft {
    pub from: MemberId,
    pub epoch: Epoch,
    pub kind: RaftKind,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum RaftKind {
    AskVote {
        /// A try only: nobody's vote is spent and no epoch moves.
        trial: bool,
        /// The old leader itself asked for this election.
        handover: bool,
        /// The asker led the epoch before this one, and does so no more.
        led: bool,
        last: (Epoch, Index),
    },
    Vote {
        trial: bool,
        granted: bool,
    },
    Append {
        previous: (Epoch, Index),
        entries: Vec<Entry>,
        commit: Index,
        /// The leader's clock when it sent this, handed back by the answer.
        sent: u64,
    },
    Appended {
        /// The last entry known to agree, or where to look next when `ok` is false.
        upto: Index,
        ok: bool,
        sent: u64,
    },
    Snapshot {
        snapshot: Snapshot,
        sent: u64,
    },
    TakeOver,
    /// A part of a message too large to go at once: of an `Append` or a `Snapshot`, encoded. Only to
    /// members that read layout 2; the next follows once this one is answered.
    Part {
        /// Told apart within the sender's epoch.
        transfer: u64,
        size: u64,
        offset: u64,
        bytes: ByteBuf,
        sent: u64,
    },
    /// So many bytes of that transfer are here without a gap.
    PartTaken {
        transfer: u64,
        upto: u64,
        sent: u64,
    },
}

#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Snapshot {
    pub last: (Epoch, Index),
    pub members: Vec<Member>,
    pub state: ByteBuf,
}
