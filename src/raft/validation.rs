//! Validation of a leader's messages before they are applied.
//!
//! A leader that runs a newer program may append entries that this program can't read. A message
//! with such entries is neither applied nor acknowledged, so that the state on disk stays readable
//! for this program.
use crate::net::rpc::raft_messages::RaftMessageKind;
use std::error::Error;
use std::io;
use std::sync::Arc;

/// Checks whether this program can read the content of a leader's message. The Raft core does not
/// know the format of commands and states, so the controller supplies the state machine's check.
pub type MessageValidator = fn(&RaftMessageKind) -> Result<(), UnreadableMessage>;

/// Why this program can't read a leader's message.
#[derive(Clone, Debug, thiserror::Error)]
pub enum UnreadableMessage {
    /// The validator rejected an entry or a snapshot.
    #[error("{0}")]
    Content(#[source] Arc<dyn Error + Send + Sync>),
    /// A message received in chunks can't be decoded.
    #[error("a message received in chunks can't be decoded: {0}")]
    Encoding(#[source] Arc<io::Error>),
}

impl UnreadableMessage {
    /// Wraps the error of the validator; its text becomes the text of this error.
    pub fn content(error: impl Into<Box<dyn Error + Send + Sync>>) -> Self {
        Self::Content(Arc::from(error.into()))
    }

    pub(super) fn encoding(error: io::Error) -> Self {
        Self::Encoding(Arc::new(error))
    }
}
