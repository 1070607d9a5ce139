//! The errors of decoding frames and values.
use crate::net::rpc::layout::{FIRST_LAYOUT, LAYOUT};
use std::io;

/// Why received or stored bytes can't be decoded. Returned as the source of an [`io::Error`] of
/// kind `InvalidData`, because callers that read from a connection handle I/O errors anyway.
#[derive(Debug, thiserror::Error)]
pub enum RpcError {
    /// The frame requires a newer layout than this program supports.
    #[error("a frame of layout {0}, this program reads {LAYOUT}")]
    UnsupportedFrameLayout(u8),
    /// The frame's length is above the maximum.
    #[error("frame of {0} bytes exceeds the maximum size")]
    FrameTooLarge(usize),
    /// The frame can't be decoded.
    #[error("can't decode a frame, this program reads {LAYOUT}: {0}")]
    UndecodableFrame(#[source] rmp_serde::decode::Error),
    /// The frame can't be decoded, and its sender supports a newer layout.
    #[error(
        "can't decode a frame of a sender that reads layout {sender_layout}, \
         this program reads {LAYOUT}: {source}"
    )]
    UndecodableNewerFrame {
        /// The newest layout that the sender supports.
        sender_layout: u8,
        /// The error of the decoder.
        source: rmp_serde::decode::Error,
    },
    /// The value has a layout that only newer releases support.
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
