//! The frames of the peer port: their content, and functions that write and read them.
//!
//! On the wire, a frame consists of a four-byte big-endian length, whose highest byte holds the
//! layout that the reader must support, the encoded value, and one byte with the newest layout that
//! the sender supports. A program of the first layout stops decoding after the value and ignores
//! that byte.
use crate::base::ids::MemberId;
use crate::net::rpc::error::RpcError;
use crate::net::rpc::layout::{
    CHUNKS_LAYOUT, FIRST_LAYOUT, HANDOVER_LAYOUT, LAYOUT, MIN_STRUCTURE_BYTE, NO_REQUIRED_LAYOUT,
    SYNC_REPLICAS_LAYOUT, TENANTS_LAYOUT,
};
use crate::net::rpc::pooler_messages::{LeaseGrant, PrimaryStatus, ToController, ToPooler};
use crate::net::rpc::raft_messages::{JoinResponse, Member, RaftMessage, RaftMessageKind};
use serde::{Deserialize, Serialize};
use std::io::{self, Read, Write};
use std::sync::Arc;

/// The maximum size of a frame without its length. Larger messages are sent in chunks.
const MAX_FRAME_BYTES: usize = 8 << 20;

/// The size of the length field.
const LENGTH_BYTES: usize = 4;

/// The maximum memory reserved for a frame before its bytes are received, so that a wrong length
/// does not allocate much.
const MAX_RESERVED_BYTES: usize = 64 << 10;

/// A frame on the peer port. The first frame of a connection identifies the kind of its sender.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum Frame {
    /// A consensus message between controllers.
    Raft {
        /// The recipient.
        to: MemberId,
        /// The message.
        message: Box<RaftMessage>,
    },
    /// A controller asks to become a member.
    Join {
        /// The controller that asks.
        member: Member,
        /// Whether it was a member before and asks if it still is.
        was_member: bool,
    },
    /// The response to a `Join`.
    Joined(JoinResponse),
    /// A message from a node to the leader.
    #[serde(rename = "Stile")]
    Pooler(ToController),
    /// A message from a controller to a node.
    #[serde(rename = "Steward")]
    Controller(ToPooler),
}

impl Frame {
    /// The layout that the reader of the frame must support.
    fn required_layout(&self) -> u8 {
        match self {
            Frame::Raft { message, .. } => match message.kind {
                RaftMessageKind::Chunk { .. } | RaftMessageKind::ChunkResponse { .. } => {
                    CHUNKS_LAYOUT
                }
                _ => NO_REQUIRED_LAYOUT,
            },
            Frame::Controller(ToPooler::HandOver { .. })
            | Frame::Pooler(ToController::HandOverAck { .. }) => HANDOVER_LAYOUT,
            Frame::Controller(ToPooler::SyncReplicas(_)) => SYNC_REPLICAS_LAYOUT,
            Frame::Controller(
                ToPooler::TenantRouteTable { .. }
                | ToPooler::TenantRouteTableDelta { .. }
                | ToPooler::GrantOperations(_),
            )
            | Frame::Pooler(ToController::RequestOperations(_)) => TENANTS_LAYOUT,
            Frame::Controller(ToPooler::LeaseGrants { grants, .. }) => {
                let handed_over =
                    |grant: &LeaseGrant| matches!(grant.status, PrimaryStatus::HandingOver { .. });
                if grants.iter().any(handed_over) { HANDOVER_LAYOUT } else { NO_REQUIRED_LAYOUT }
            }
            _ => NO_REQUIRED_LAYOUT,
        }
    }
}

/// A received frame with the layout of its sender.
#[derive(Debug)]
pub struct ReceivedFrame {
    /// The frame.
    pub frame: Frame,
    /// The newest layout that the sender supports.
    pub sender_layout: u8,
}

/// Encodes a frame, including its length.
pub fn encode(frame: &Frame) -> Arc<[u8]> {
    let mut bytes = vec![0; LENGTH_BYTES];
    // Encoding can only fail for types without an encoding, and frames are plain data.
    if let Err(e) = rmp_serde::encode::write(&mut bytes, frame) {
        log::error!(target: "peers", "encoding a frame failed: {e}");
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
/// The errors of the writer.
pub fn send(to: &mut impl Write, frame: &Frame) -> io::Result<()> {
    to.write_all(&encode(frame))
}

/// Reads one frame.
///
/// # Errors
/// The errors of the reader; `InvalidData` with an [`RpcError`] as its source if the frame is too
/// large or can't be decoded. The connection can't be used after any error.
pub fn receive(from: &mut impl Read) -> io::Result<Frame> {
    receive_with_layout(from).map(|received| received.frame)
}

/// Reads one frame and the newest layout that its sender supports.
///
/// # Errors
/// The same as [`receive`].
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
    // The last byte is a layout number only if the sender's release numbers layouts.
    match last_byte.copied().filter(|byte| (LAYOUT + 1..MIN_STRUCTURE_BYTE).contains(byte)) {
        Some(sender_layout) => RpcError::UndecodableNewerFrame { sender_layout, source },
        None => RpcError::UndecodableFrame(source),
    }
}
