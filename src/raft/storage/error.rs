//! What can go wrong between a member and its state on disk.
use crate::base::errors::Fatal;
use crate::base::ids::MemberId;
use crate::raft::storage::identity_file::FILE_NAME;
use std::io;
use std::num::ParseIntError;

/// Why the state of a member can't be read or written. Whatever is wrong with it, the file on disk is
/// left as it is.
#[derive(Debug, thiserror::Error)]
pub enum StorageError {
    /// SQLite refused an operation on the database file.
    #[error("{0}")]
    Sqlite(#[from] rusqlite::Error),
    /// The data folder or the identity file can't be created or written.
    #[error("{0}")]
    Io(#[from] io::Error),
    /// The identity file exists and can't be read.
    #[error("{FILE_NAME}: {0}")]
    IdentityFileUnreadable(#[source] io::Error),
    /// The identity file holds something that is no member id.
    #[error("the file {FILE_NAME} is damaged, left as it is")]
    IdentityFileDamaged(#[source] ParseIntError),
    /// A newer program wrote the database file.
    #[error("format {found} is newer than {supported}, left as it is")]
    NewerSchema {
        /// The schema version of the file.
        found: i64,
        /// The newest schema version that this program reads.
        supported: i64,
    },
    /// The database file has tables that no controller creates.
    #[error("not a controller's file, left as it is")]
    ForeignFile,
    /// The identity file names members, but the database file holds no state.
    #[error("a member's state was here and is gone; not taken for a new disk")]
    StateLost,
    /// SQLite's own check found damage, which it describes.
    #[error("damaged, left as it is: {0}")]
    FailedIntegrityCheck(String),
    /// The snapshot or a log entry can't be decoded.
    #[error("damaged, left as it is: {0}")]
    Undecodable(#[source] io::Error),
    /// The log has a gap where this index would be.
    #[error("damaged, left as it is: entry {0} is missing")]
    MissingEntry(u64),
    /// A member list names a member or an address twice, or has no voter.
    #[error("left as it is: a list of members that can't be")]
    InvalidMembership,
    /// The state is of a member that the identity file does not name.
    #[error("of member {found}, in a folder of {expected}; left as it is")]
    WrongMember {
        /// The member in the database file.
        found: MemberId,
        /// The members that the identity file names, separated by commas.
        expected: String,
    },
}

impl StorageError {
    /// Whether the disk is full or failing, which may pass; anything else is wrong with the state
    /// itself and needs an operator.
    pub fn is_disk_failure(&self) -> bool {
        use rusqlite::ErrorCode::{CannotOpen, DiskFull, SystemIoFailure};
        match self {
            Self::Sqlite(error) => {
                matches!(error.sqlite_error_code(), Some(DiskFull | SystemIoFailure | CannotOpen))
            }
            Self::Io(_) | Self::IdentityFileUnreadable(_) => true,
            _ => false,
        }
    }
}

impl From<StorageError> for Fatal {
    fn from(error: StorageError) -> Self {
        if error.is_disk_failure() {
            Self::Disk(error.to_string())
        } else {
            Self::State(error.to_string())
        }
    }
}
