//! The frames of the peer port: their content, and how they are written and read.
//!
//! On the wire a frame is a big-endian length of four bytes, whose highest byte holds the layout that
//! a reader must know, then the value, then one byte with the layout that the sender reads. A program
//! of the first layout stops reading behind the value and does not see that byte.
use crate::base::ids::MemberId;
use crate::net::rpc::error::RpcError;
use crate::net::rpc::layout::{
    ANY_READER, FIRST_LAYOUT, HANDOVER_LAYOUT, LAYOUT, LAYOUT_LIMIT, PARTS_LAYOUT,
};
use crate::net::rpc::pooler_messages::{LeaseGrant, PrimaryStatus, ToController, ToPooler};
use crate::net::rpc::raft_messages::{JoinResponse, Member, RaftMessage, RaftMessageKind};
use serde::{Deserialize, Serialize};
use std::io::{self, Read, Write};
use std::sync::Arc;

/// The largest frame, in bytes behind its length; what is larger is sent in chunks.
const MAX_FRAME_BYTES: usize = 8 << 20;

/// The bytes of the length.
const LENGTH_BYTES: usize = 4;

/// The most that is reserved for a frame before its bytes arrive, so that a wrong length costs no
/// memory.
const MAX_RESERVED_BYTES: usize = 64 << 10;

/// Anything sent on the peer port. The first frame of a connection shows who calls.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum Frame {
    /// A consensus message between controllers.
    Raft {
        /// The member that it is meant for.
        to: MemberId,
        /// The message.
        message: Box<RaftMessage>,
    },
    /// A controller asks to become a member.
    Join {
        /// The controller that asks.
        member: Member,
        /// It was a member before and asks whether it still is.
        was_member: bool,
    },
    /// The answer to a `Join`.
    Joined(JoinResponse),
    /// A message of a node to the leader.
    #[serde(rename = "Stile")]
    Pooler(ToController),
    /// A message of a controller to a node.
    #[serde(rename = "Steward")]
    Controller(ToPooler),
}

impl Frame {
    /// The layout that the frame's reader must know.
    fn required_layout(&self) -> u8 {
        match self {
            Frame::Raft { message, .. } => match message.kind {
                RaftMessageKind::Chunk { .. } | RaftMessageKind::ChunkResponse { .. } => {
                    PARTS_LAYOUT
                }
                _ => ANY_READER,
            },
            Frame::Controller(ToPooler::HandOver { .. })
            | Frame::Pooler(ToController::HandOverAck { .. }) => HANDOVER_LAYOUT,
            Frame::Controller(ToPooler::LeaseGrants { grants, .. }) => {
                let handed_over =
                    |grant: &LeaseGrant| matches!(grant.status, PrimaryStatus::HandingOver { .. });
                if grants.iter().any(handed_over) { HANDOVER_LAYOUT } else { ANY_READER }
            }
            _ => ANY_READER,
        }
    }
}

/// A frame that was read, and what is known of its sender.
#[derive(Debug)]
pub struct ReceivedFrame {
    /// The frame.
    pub frame: Frame,
    /// The newest layout that the sender reads.
    pub sender_layout: u8,
}

/// The bytes of a frame, with its length in front.
pub fn encode(frame: &Frame) -> Arc<[u8]> {
    let mut bytes = vec![0; LENGTH_BYTES];
    // Only a type that has no encoding could fail here, and frames are plain data.
    if let Err(e) = rmp_serde::encode::write(&mut bytes, frame) {
        log::error!(target: "peers", "a frame could not be encoded: {e}");
    }
    bytes.push(LAYOUT);
    let length = (bytes.len() - LENGTH_BYTES) as u32;
    bytes[..LENGTH_BYTES].copy_from_slice(&length.to_be_bytes());
    bytes[0] |= frame.required_layout();
    bytes.into()
}

/// Writes one frame.
///
/// # Errors
/// Those of the writer.
pub fn send(to: &mut impl Write, frame: &Frame) -> io::Result<()> {
    to.write_all(&encode(frame))
}

/// Reads one frame.
///
/// # Errors
/// Those of the reader; `InvalidData` with an [`RpcError`] as its source if the frame is too large or
/// can't be decoded. The connection is of no use after any of them.
pub fn receive(from: &mut impl Read) -> io::Result<Frame> {
    receive_with_layout(from).map(|received| received.frame)
}

/// Reads one frame, and which layout its sender reads.
///
/// # Errors
/// As [`receive`].
pub fn receive_with_layout(from: &mut impl Read) -> io::Result<ReceivedFrame> {
    let mut length = [0; LENGTH_BYTES];
    from.read_exact(&mut length)?;
    let required_layout = std::mem::take(&mut length[0]);
    let length = u32::from_be_bytes(length) as usize;
    if required_layout > LAYOUT {
        return Err(RpcError::UnsupportedFrameLayout(required_layout).into());
    }
    if length > MAX_FRAME_BYTES {
        return Err(RpcError::FrameTooLarge(length).into());
    }
    let mut bytes = Vec::with_capacity(length.min(MAX_RESERVED_BYTES));
    from.take(length as u64).read_to_end(&mut bytes)?;
    if bytes.len() < length {
        return Err(io::ErrorKind::UnexpectedEof.into());
    }
    let mut rest = &bytes[..];
    let frame = rmp_serde::from_read(&mut rest).map_err(|e| undecodable(e, bytes.last()))?;
    Ok(ReceivedFrame { frame, sender_layout: rest.first().copied().unwrap_or(FIRST_LAYOUT) })
}

fn undecodable(source: rmp_serde::decode::Error, last_byte: Option<&u8>) -> RpcError {
    // The last byte is the number of a layout only if the sender knows of them.
    match last_byte.copied().filter(|byte| (LAYOUT + 1..LAYOUT_LIMIT).contains(byte)) {
        Some(sender_layout) => RpcError::UndecodableNewerFrame { sender_layout, source },
        None => RpcError::UndecodableFrame(source),
    }
}
