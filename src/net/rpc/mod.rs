//! What the system's own processes say to each other: `rmp-serde` frames behind a length.
pub mod pooler_messages;
pub mod raft_messages;

use crate::base::ids::MemberId;
use crate::net::rpc::pooler_messages::{ToController, ToPooler};
use crate::net::rpc::raft_messages::{JoinResponse, Member, RaftMessage, RaftMessageKind};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use std::io::{self, Read, Write};
use std::sync::Arc;

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
    /// A controller's consensus message, and the member it is meant for.
    Raft {
        to: MemberId,
        message: Box<RaftMessage>,
    },
    /// A controller that is not yet a member asks to become one; one that was asks if it still is.
    Join {
        member: Member,
        was: bool,
    },
    Joined(JoinResponse),
    /// What a pooler tells the leader.
    #[serde(rename = "Stile")]
    Pooler(ToController),
    /// What a controller tells a pooler.
    #[serde(rename = "Steward")]
    Controller(ToPooler),
}

/// The layout that a frame's reader must know.
fn needed(frame: &Frame) -> u8 {
    match frame {
        Frame::Raft { message, .. } => match message.kind {
            RaftMessageKind::Chunk { .. } | RaftMessageKind::ChunkResponse { .. } => PARTS_LAYOUT,
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
/// reach a disk or another controller as if it were empty: better none.
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
