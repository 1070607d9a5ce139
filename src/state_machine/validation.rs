//! Decoding of log entries and snapshots, and the check that this program can read all of them
//! before it accepts them from another controller or starts with them.
use super::StateMachine;
use super::commands::Command;
use crate::base::errors::Fatal;
use crate::base::ids::{LogIndex, Revision};
use crate::config::configuration::{Configuration, ConfigurationError};
use crate::net::rpc::raft_messages::{EntryPayload, LogEntry, RaftMessageKind, Snapshot};
use crate::net::rpc::unpack;
use crate::raft::state::PersistentState;

/// A part of the replicated state that this program can't read, for example since a newer version
/// wrote it.
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
    /// A log entry holds a configuration that can't be read.
    #[error("entry {index} can't be read: {source}")]
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
    /// A snapshot holds a configuration that can't be read.
    #[error("the snapshot at entry {index} can't be read: {source}")]
    SnapshotConfiguration {
        /// The last entry that the snapshot covers.
        index: LogIndex,
        /// The unreadable configuration, as `StateError::Configuration`.
        source: Box<StateError>,
    },
    /// The configuration in force can't be read.
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
/// The command, or the configuration in it, can't be read by this program.
pub(crate) fn decode_command(index: LogIndex, bytes: &[u8]) -> Result<Command, StateError> {
    let command = unpack::<Command>(bytes).map_err(|source| StateError::Entry { index, source })?;
    if let Command::PutConfiguration { body, .. } = &command {
        Configuration::read(body)
            .map_err(|source| StateError::EntryConfiguration { index, source })?;
    }
    Ok(command)
}

/// Decodes the state of a snapshot; the snapshot before the first log entry holds the empty state.
///
/// # Errors
/// The state, or the configuration in it, can't be read by this program.
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

/// The controller's message validator: checks that this program can apply everything that a Raft
/// message carries. A message that fails is not accepted.
///
/// # Errors
/// A log entry or snapshot in the message can't be read by this program.
pub fn validate_message(kind: &RaftMessageKind) -> Result<(), StateError> {
    match kind {
        RaftMessageKind::AppendEntries { entries, .. } => validate_entries(entries),
        RaftMessageKind::InstallSnapshot { snapshot, .. } => decode_snapshot(snapshot).map(drop),
        _ => Ok(()),
    }
}

/// Decodes the snapshot on disk, after a check that this program can read the whole log as well.
///
/// # Errors
/// `Fatal::State` if something can't be read; the files are left as they are.
pub fn read_persistent_state(persistent: &PersistentState) -> Result<StateMachine, Fatal> {
    let unreadable = |error: StateError| Fatal::State(format!("left as it is: {error}"));
    validate_entries(&persistent.log).map_err(unreadable)?;
    decode_snapshot(&persistent.snapshot).map_err(unreadable)
}
