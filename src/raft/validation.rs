//! The check of a leader's messages before anything of them is taken.
//!
//! A newer program may lead and put into the log what this one can't read. Such a message is neither
//! taken nor acknowledged, so that the state on disk stays readable for this program.
use crate::net::rpc::raft_messages::RaftMessageKind;
use std::error::Error;
use std::io;
use std::sync::Arc;

/// Whether this program can read what a leader's message holds. The Raft core knows nothing of the
/// commands and states in it, so the controller hands in the state machine's check.
pub type MessageValidator = fn(&RaftMessageKind) -> Result<(), UnreadableMessage>;

/// Why this program can't read a leader's message.
#[derive(Clone, Debug, thiserror::Error)]
pub enum UnreadableMessage {
    /// The validator rejected an entry or a snapshot.
    #[error("{0}")]
    Content(#[source] Arc<dyn Error + Send + Sync>),
    /// A message that arrived in chunks has another encoding.
    #[error("the leader's message can't be read: {0}")]
    Encoding(#[source] Arc<io::Error>),
}

impl UnreadableMessage {
    /// The validator's own error, which the message text repeats.
    pub fn content(error: impl Into<Box<dyn Error + Send + Sync>>) -> Self {
        Self::Content(Arc::from(error.into()))
    }

    pub(super) fn encoding(error: io::Error) -> Self {
        Self::Encoding(Arc::new(error))
    }
}
