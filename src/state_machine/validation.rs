//! Decoding and validation of log entries and snapshots.
//!
//! A controller checks that it can decode them before it accepts them from another controller or
//! starts with them from disk.
use super::StateMachine;
use super::commands::Command;
use crate::base::errors::Fatal;
use crate::base::ids::{LogIndex, Revision};
use crate::config::configuration::{Configuration, ConfigurationError};
use crate::net::rpc::raft_messages::{EntryPayload, LogEntry, RaftMessageKind, Snapshot};
use crate::net::rpc::unpack;
use crate::raft::state::PersistentState;

/// A part of the replicated state that this version can't decode, for example because a newer
/// version wrote it.
#[derive(Debug, thiserror::Error)]
pub enum StateError {
    /// A log entry is not an encoded command.
    #[error("entry {index} can't be read: {source}")]
    Entry {
        /// The entry.
        index: LogIndex,
        /// Why it can't be decoded.
        source: std::io::Error,
    },
    /// A log entry holds an invalid configuration.
    #[error("the configuration in entry {index} can't be read: {source}")]
    EntryConfiguration {
        /// The entry.
        index: LogIndex,
        /// What is wrong with the configuration.
        source: ConfigurationError,
    },
    /// A snapshot is not an encoded state.
    #[error("the snapshot at entry {index} can't be read: {source}")]
    Snapshot {
        /// The last entry that the snapshot covers.
        index: LogIndex,
        /// Why it can't be decoded.
        source: std::io::Error,
    },
    /// A snapshot holds an invalid configuration.
    #[error("the snapshot at entry {index} can't be read: {source}")]
    SnapshotConfiguration {
        /// The last entry that the snapshot covers.
        index: LogIndex,
        /// The invalid configuration, as `StateError::Configuration`.
        source: Box<StateError>,
    },
    /// The active configuration is invalid.
    #[error("configuration {revision} can't be read: {source}")]
    Configuration {
        /// Its revision.
        revision: Revision,
        /// What is wrong with it.
        source: ConfigurationError,
    },
}

/// Decodes the command of a log entry.
///
/// # Errors
/// This version can't decode the command, or the configuration in it is invalid.
pub(crate) fn decode_command(index: LogIndex, bytes: &[u8]) -> Result<Command, StateError> {
    let command = unpack::<Command>(bytes).map_err(|source| StateError::Entry { index, source })?;
    if let Command::PutConfiguration { body, .. } = &command {
        Configuration::read(body)
            .map_err(|source| StateError::EntryConfiguration { index, source })?;
    }
    Ok(command)
}

/// Decodes the state of a snapshot. The snapshot that precedes the first log entry may have no
/// bytes and stands for the empty state.
///
/// # Errors
/// This version can't decode the state, or the configuration in it is invalid.
pub(crate) fn decode_snapshot(snapshot: &Snapshot) -> Result<StateMachine, StateError> {
    let index = snapshot.last_included.index;
    if snapshot.state.is_empty() && index == LogIndex(0) {
        return Ok(StateMachine::default());
    }
    let state_machine = StateMachine::from_snapshot(&snapshot.state)
        .map_err(|source| StateError::Snapshot { index, source })?;
    state_machine
        .configuration()
        .map_err(|source| StateError::SnapshotConfiguration { index, source: Box::new(source) })?;
    Ok(state_machine)
}

fn validate_entries(entries: &[LogEntry]) -> Result<(), StateError> {
    entries.iter().try_for_each(|entry| match &entry.payload {
        EntryPayload::Command(bytes) => decode_command(entry.index, bytes).map(drop),
        EntryPayload::NoOp | EntryPayload::Membership(_) => Ok(()),
    })
}

/// Checks that this version can decode all log entries and snapshots in a Raft message. A
/// controller rejects a message that fails this check.
///
/// # Errors
/// A log entry or snapshot in the message can't be decoded, or holds an invalid configuration.
pub fn validate_message(kind: &RaftMessageKind) -> Result<(), StateError> {
    match kind {
        RaftMessageKind::AppendEntries { entries, .. } => validate_entries(entries),
        RaftMessageKind::InstallSnapshot { snapshot, .. } => decode_snapshot(snapshot).map(drop),
        _ => Ok(()),
    }
}

/// Decodes the stored snapshot, after checking that every entry of the stored log can be decoded.
///
/// # Errors
/// `Fatal::State` if the log or the snapshot can't be decoded; the files on disk are left
/// unchanged.
pub fn decode_persistent_state(persistent: &PersistentState) -> Result<StateMachine, Fatal> {
    let unreadable = |error: StateError| Fatal::State(format!("files left unchanged: {error}"));
    validate_entries(&persistent.log).map_err(unreadable)?;
    decode_snapshot(&persistent.snapshot).map_err(unreadable)
}
