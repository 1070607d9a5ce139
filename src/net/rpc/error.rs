//! Why bytes are no frame or no value.
use crate::net::rpc::layout::{FIRST_LAYOUT, LAYOUT};
use std::io;

/// Why received or stored bytes can't be decoded. It comes as the source of an [`io::Error`] of the
/// kind `InvalidData`, since whoever reads a connection has to handle that error anyway.
#[derive(Debug, thiserror::Error)]
pub enum RpcError {
    /// The frame can only be read by a newer program.
    #[error("a frame of layout {0}, this program reads {LAYOUT}")]
    UnsupportedFrameLayout(u8),
    /// The frame announces more bytes than any frame has.
    #[error("frame of {0} bytes")]
    FrameTooLarge(usize),
    /// The frame can't be decoded.
    #[error("an unreadable frame, this program reads {LAYOUT}: {0}")]
    UndecodableFrame(#[source] rmp_serde::decode::Error),
    /// The frame can't be decoded, and its sender reads a newer layout.
    #[error(
        "an unreadable frame of a sender that reads layout {sender_layout}, \
         this program reads {LAYOUT}: {source}"
    )]
    UndecodableNewerFrame {
        /// The layout that the sender reads.
        sender_layout: u8,
        /// What the decoder says.
        source: rmp_serde::decode::Error,
    },
    /// The value has a layout of a newer program.
    #[error("of layout {0}, this program reads {FIRST_LAYOUT}")]
    UnsupportedValueLayout(u8),
    /// The value can't be decoded.
    #[error("{0}")]
    UndecodableValue(#[source] rmp_serde::decode::Error),
}

impl From<RpcError> for io::Error {
    fn from(error: RpcError) -> Self {
        io::Error::new(io::ErrorKind::InvalidData, error)
    }
}
