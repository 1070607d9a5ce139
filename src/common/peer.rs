//! What the system's own processes say to each other: `rmp-serde` frames behind a length.
use super::config::{Changed, Lanes, Listed};
use super::ids::{
    DbTerm, Epoch, Index, InstanceId, MemberId, NodeName, Position, Revision, ServiceName,
};
use serde::{Deserialize, Serialize, de::DeserializeOwned};
use serde_bytes::ByteBuf;
use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::time::Duration;

/// The largest frame; what is larger goes in parts.
pub const MAX_FRAME: usize = 8 << 20;

/// The layout of frames that this program reads and writes. Every frame says in the highest byte of
/// its length which layout its reader must know (0 where the first is enough, as that was written),
/// and behind its value, where a program of the first layout does not look, which one its sender reads.
pub const LAYOUT: u8 = 2;
/// Programs from before there were numbers.
pub const FIRST_LAYOUT: u8 = 1;
/// Members that read this can be sent large messages in parts.
pub const PARTS_LAYOUT: u8 = 2;

/// Anything said on the peer port. The first frame of a connection tells who calls.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum Frame {
    /// A steward's consensus message, and the member it is meant for.
    Raft {
        to: MemberId,
        message: Box<Raft>,
    },
    /// A steward that is not yet a member asks to become one; one that was asks if it still is.
    Join {
        member: Member,
        was: bool,
    },
    Joined(Joined),
    /// What a stile tells the leader.
    Stile(ToSteward),
    /// What a steward tells a stile.
    Steward(ToStile),
}

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

/// Why a stile believes a database lost.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Doubt {
    /// Its connections broke or were refused.
    Broken,
    /// It owes answers and says nothing.
    Silent,
}

#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum ToSteward {
    Hello {
        node: NodeName,
        /// Drawn anew at every start of the process.
        life: u64,
        revision: Revision,
        zone: String,
    },
    Renew {
        seq: u64,
        /// The last answer that came on this connection; none yet if 0.
        heard: u64,
        /// The shares of connections this stile holds itself to, where they changed since it last
        /// said so on this connection.
        shares: Vec<(ServiceName, u32)>,
        /// How many connections more would be used now, where sessions wait for one.
        wants: Vec<(ServiceName, u32)>,
        /// How far primaries were seen, where that moved.
        saw: Vec<Saw>,
        /// Services whose reads want a newer floor than this stile has.
        asks: Vec<ServiceName>,
        /// Requests under way at databases of a service, in hundredths, where that changed much.
        busy: Vec<(ServiceName, u32)>,
    },
    Suspect {
        service: ServiceName,
        instance: InstanceId,
        why: Doubt,
    },
    Revoked {
        service: ServiceName,
        term: DbTerm,
        /// The furthest position this stile saw acknowledged.
        highest: Option<Position>,
    },
    /// A change came for a version that this stile does not have: the whole is needed.
    Whole,
    /// Leaving in order: no lease is used any more.
    Bye,
}

#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum ToStile {
    /// Not the leader; perhaps this one is.
    Elsewhere(Option<SocketAddr>),
    Welcome {
        stewards: Vec<SocketAddr>,
    },
    Configured(Box<Lanes>),
    /// What differs from a version that the stile has.
    Changed(Box<Changed>),
    /// The whole directory, when a connection begins.
    Directory(Vec<Listed>),
    /// Changes of the directory, those of a moment at once.
    Moved {
        listed: Vec<Listed>,
        gone: Vec<InstanceId>,
    },
    Granted {
        seq: u64,
        lease_ms: u64,
        /// The first answer on a connection: nothing holds that is not in it.
        whole: bool,
        /// What changed. All else that was told on this connection is granted again.
        grants: Vec<Grant>,
        /// The floors that were asked for.
        fresh: Vec<Fresh>,
        /// The parts of its zone's databases that a gateway's node is to use first.
        plots: Vec<Plot>,
    },
    Revoke {
        service: ServiceName,
        term: DbTerm,
    },
    /// Something changed that a renewal would tell: ask now.
    Renew,
}

/// A position that the primary of a term told under a lease that still held: it covers every commit
/// acknowledged before its statement was sent.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Saw {
    pub service: ServiceName,
    pub term: DbTerm,
    pub position: Position,
    /// The statement was sent at least so many ms after the answer that is named as heard.
    pub after: u64,
}
/// A position that covers every commit acknowledged up to `age` ms before the renewal was asked for.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Fresh {
    pub service: ServiceName,
    pub position: Position,
    pub age: u64,
}

/// A part of a service's databases in a zone, laid out in one order at all nodes, in millionths of
/// what they can work on at once.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Plot {
    pub service: ServiceName,
    pub from: u32,
    pub upto: u32,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Grant {
    pub service: ServiceName,
    pub standing: Standing,
    /// Connections this stile may have to each database of the service.
    pub share: u32,
}
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Standing {
    Led {
        term: DbTerm,
        primary: InstanceId,
    },
    /// Nobody can commit; every acknowledged commit lies at or before this position.
    Sealed(Position),
    Unled,
}

/// The layout that a frame's reader must know.
fn needed(frame: &Frame) -> u8 {
    match frame {
        Frame::Raft { message, .. } => match message.kind {
            RaftKind::Part { .. } | RaftKind::PartTaken { .. } => PARTS_LAYOUT,
            _ => 0,
        },
        _ => 0,
    }
}

pub fn encode(frame: &Frame) -> Arc<[u8]> {
    let mut bytes = vec![0; 4];
    // Only a type that has no encoding could fail here, and frames are plain data.
    if let Err(e) = rmp_serde::encode::write(&mut bytes, frame) {
        log::error!(target: "peers", "a frame could not be encoded: {e}");
    }
    bytes.push(LAYOUT);
    let length = (bytes.len() - 4) as u32;
    bytes[..4].copy_from_slice(&length.to_be_bytes());
    bytes[0] |= needed(frame);
    bytes.into()
}

pub fn send(to: &mut impl Write, frame: &Frame) -> io::Result<()> {
    to.write_all(&encode(frame))
}

fn invalid(why: String) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, why)
}

/// Reads one frame; one too large or unreadable is an error that ends the connection.
pub fn receive(from: &mut impl Read) -> io::Result<Frame> {
    receive_with_layout(from).map(|(frame, _)| frame)
}
/// The same, with the layout that the sender reads.
pub fn receive_with_layout(from: &mut impl Read) -> io::Result<(Frame, u8)> {
    let mut length = [0; 4];
    from.read_exact(&mut length)?;
    let needed = std::mem::take(&mut length[0]);
    let length = u32::from_be_bytes(length) as usize;
    if needed > LAYOUT {
        return Err(invalid(format!("a frame of layout {needed}, this program reads {LAYOUT}")));
    }
    if length > MAX_FRAME {
        return Err(invalid(format!("frame of {length} bytes")));
    }
    // Grown as bytes come: a lying length reserves nothing.
    let mut bytes = Vec::with_capacity(length.min(64 << 10));
    from.take(length as u64).read_to_end(&mut bytes)?;
    if bytes.len() < length {
        return Err(io::ErrorKind::UnexpectedEof.into());
    }
    let mut rest = &bytes[..];
    let frame = rmp_serde::from_read(&mut rest).map_err(|e| {
        // The last byte is a number of a layout only if the sender knows of them.
        let said = bytes.last().filter(|l| **l > LAYOUT && **l < 0x80);
        let layout = said.map_or(String::new(), |l| format!(" of a sender that reads layout {l}"));
        invalid(format!("an unreadable frame{layout}, this program reads {LAYOUT}: {e}"))
    })?;
    Ok((frame, rest.first().copied().unwrap_or(FIRST_LAYOUT)))
}

/// The bytes of a value. Only a type that has no encoding could fail here, and no such value is to
/// reach a disk or another steward as if it were empty: better none.
pub fn pack<T: Serialize>(value: &T) -> Vec<u8> {
    match rmp_serde::to_vec(value) {
        Ok(bytes) => bytes,
        Err(e) => panic!("a value without an encoding: {e}"),
    }
}
pub fn unpack<T: DeserializeOwned>(bytes: &[u8]) -> io::Result<T> {
    // What is kept begins with a list or a name, never with a small number: that is left to later
    // programs for the number of their layout.
    if let Some(layout) = bytes.first().filter(|b| **b < 0x80) {
        return Err(invalid(format!("of layout {layout}, this program reads {FIRST_LAYOUT}")));
    }
    rmp_serde::from_slice(bytes).map_err(|e| invalid(e.to_string()))
}

/// Between the system's own machines a connection is there within this, or the machine is dark and
/// a new try is better than waiting for the first to be sent again.
pub const REACH: Duration = Duration::from_millis(150);

/// Opens a connection that gives up on a dark far end after `dark` and sends without delay.
pub fn dial(to: SocketAddr, within: Duration, dark: Duration) -> io::Result<TcpStream> {
    let stream = TcpStream::connect_timeout(&to, within)?;
    tune(&stream, dark)?;
    Ok(stream)
}
pub fn tune(stream: &TcpStream, dark: Duration) -> io::Result<()> {
    stream.set_nodelay(true)?;
    socket2::SockRef::from(stream).set_tcp_user_timeout(Some(dark))
}
/// Has the kernel notice a far end that went dark while nothing is under way.
pub fn keep_alive(stream: &TcpStream, idle: Duration) -> io::Result<()> {
    let probes = socket2::TcpKeepalive::new()
        .with_time(idle.max(Duration::from_secs(1)))
        .with_interval(Duration::from_secs(1))
        .with_retries(3);
    socket2::SockRef::from(stream).set_tcp_keepalive(&probes)
}
/// Listens with the address reusable at once, as restarts need it.
pub fn listen(at: SocketAddr) -> Result<std::net::TcpListener, super::errors::Fatal> {
    let open = || -> io::Result<std::net::TcpListener> {
        let socket = socket2::Socket::new(
            socket2::Domain::for_address(at),
            socket2::Type::STREAM,
            Some(socket2::Protocol::TCP),
        )?;
        socket.set_reuse_address(true)?;
        socket.bind(&at.into())?;
        socket.listen(512)?;
        Ok(socket.into())
    };
    open().map_err(|e| super::errors::Fatal::Listen(at.to_string(), e))
}
