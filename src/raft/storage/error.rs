//! The errors of reading and writing a member's state on disk.
use crate::base::errors::Fatal;
use crate::base::ids::MemberId;
use crate::raft::storage::identity_file::FILE_NAME;
use std::io;
use std::num::ParseIntError;

/// Why the state of a member can't be read or written. Whatever is wrong with the state, the files
/// on disk are left unchanged.
#[derive(Debug, thiserror::Error)]
pub enum StorageError {
    /// SQLite refused an operation on the database file.
    #[error("{0}")]
    Sqlite(#[from] rusqlite::Error),
    /// The data folder or the identity file can't be created or written.
    #[error("{0}")]
    Io(#[from] io::Error),
    /// The identity file exists but can't be read.
    #[error("the identity file {FILE_NAME} can't be read: {0}")]
    IdentityFileUnreadable(#[source] io::Error),
    /// The identity file contains a word that is not a member id.
    #[error("the identity file {FILE_NAME} is damaged, file left unchanged: {0}")]
    IdentityFileDamaged(#[source] ParseIntError),
    /// A newer program wrote the database file.
    #[error(
        "schema version {found} of the database file is newer than {supported}, the newest that \
         this program reads; file left unchanged"
    )]
    NewerSchema {
        /// The schema version of the file.
        found: i64,
        /// The newest schema version that this program reads.
        supported: i64,
    },
    /// The database file has tables that no controller creates.
    #[error("the database file has tables that no controller creates; file left unchanged")]
    ForeignFile,
    /// There is an identity file, but the database file holds no state.
    #[error("the data folder belonged to a member whose state is gone; not used for a new member")]
    StateLost,
    /// SQLite's integrity check found damage, which this text describes.
    #[error("the integrity check of the database file failed, file left unchanged: {0}")]
    FailedIntegrityCheck(String),
    /// The snapshot or a log entry can't be decoded.
    #[error("a snapshot or log entry on disk can't be decoded, file left unchanged: {0}")]
    Undecodable(#[source] io::Error),
    /// The log has a gap at this index.
    #[error("the log on disk is damaged: entry {0} is missing; file left unchanged")]
    MissingEntry(u64),
    /// A member list names a member or an address twice, or has no voter.
    #[error(
        "a member list on disk names a member or an address twice or has no voter; file left \
         unchanged"
    )]
    InvalidMembership,
    /// The state belongs to a member that the identity file does not name.
    #[error(
        "the database file belongs to member {found}, but the identity file names {expected}; \
         file left unchanged"
    )]
    WrongMember {
        /// The member in the database file.
        found: MemberId,
        /// The members that the identity file names, separated by commas.
        expected: String,
    },
}

impl StorageError {
    /// Whether the disk is full or failing, which may be temporary. All other errors concern the
    /// state itself and need an operator.
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
