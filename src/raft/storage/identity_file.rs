//! The identity file next to the database file: it names the members that have used the data
//! folder.
//!
//! It is kept if the database file is lost. So a folder that has lost its database file is not
//! treated as a new disk, on which the member might vote twice in a term (the Raft paper, section
//! 5.2). The database file of another member is detected too.
use crate::base::ids::MemberId;
use crate::raft::storage::error::StorageError;
use std::collections::BTreeSet;
use std::fs::{File, create_dir_all, read_to_string, rename};
use std::io::{self, ErrorKind, Write};
use std::path::{Path, PathBuf};

/// The name of the file. It must not change, because earlier programs look for it under this name.
pub(super) const FILE_NAME: &str = "member";

/// The name under which a new version is written before it replaces the file.
const TEMPORARY_FILE_NAME: &str = "member.new";

/// The first word of a file whose list of ids is complete. The first release wrote a single id
/// without this word and did not update it when a removed member got a new id, so the id in such a
/// file is ignored. The word must not change, because files of earlier programs contain it.
const COMPLETE_LIST: &str = "members";

/// The identity file of one data folder, and the members it names.
pub(super) struct IdentityFile {
    folder: PathBuf,
    members: BTreeSet<MemberId>,
}

impl IdentityFile {
    /// The identity file of a folder, which is created if it is missing. Does not read the file.
    pub(super) fn new(folder: &Path) -> io::Result<Self> {
        create_dir_all(folder)?;
        Ok(Self { folder: folder.to_owned(), members: BTreeSet::new() })
    }

    /// Whether the file exists.
    pub(super) fn exists(&self) -> bool {
        self.folder.join(FILE_NAME).exists()
    }

    /// Whether no complete list of members has been read or written.
    pub(super) fn is_empty(&self) -> bool {
        self.members.is_empty()
    }

    /// Reads the members that the file names. There are none if the file is missing or does not
    /// start with [`COMPLETE_LIST`].
    pub(super) fn read(&mut self) -> Result<(), StorageError> {
        let text = match read_to_string(self.folder.join(FILE_NAME)) {
            Ok(text) => text,
            Err(e) if e.kind() == ErrorKind::NotFound => return Ok(()),
            Err(e) => return Err(StorageError::IdentityFileUnreadable(e)),
        };
        let mut words = text.split_whitespace();
        if words.next() == Some(COMPLETE_LIST) {
            let ids: Result<_, _> = words.map(|word| word.parse().map(MemberId)).collect();
            self.members = ids.map_err(StorageError::IdentityFileDamaged)?;
        }
        Ok(())
    }

    /// Fails for a member that the file does not name, unless the file names none.
    pub(super) fn check(&self, member: MemberId) -> Result<(), StorageError> {
        if self.members.is_empty() || self.members.contains(&member) {
            return Ok(());
        }
        let expected = self.members.iter().map(MemberId::to_string).collect::<Vec<_>>().join(", ");
        Err(StorageError::WrongMember { found: member, expected })
    }

    /// Adds a member to the file; the change is durable when this returns. After an error the
    /// member is not added.
    pub(super) fn add(&mut self, member: MemberId) -> io::Result<()> {
        if !self.members.insert(member) {
            return Ok(());
        }
        let written = self.write();
        if written.is_err() {
            self.members.remove(&member);
        }
        written
    }

    /// Replaces the file and syncs it, its folder and, if that can be opened, the parent folder.
    fn write(&self) -> io::Result<()> {
        let ids: Vec<String> = self.members.iter().map(MemberId::to_string).collect();
        let temporary = self.folder.join(TEMPORARY_FILE_NAME);
        let mut file = File::create(&temporary)?;
        file.write_all(format!("{COMPLETE_LIST} {}\n", ids.join(" ")).as_bytes())?;
        file.sync_all()?;
        rename(&temporary, self.folder.join(FILE_NAME))?;
        File::open(&self.folder)?.sync_all()?;
        match self.folder.parent().map(File::open) {
            Some(Ok(parent)) => parent.sync_all(),
            _ => Ok(()),
        }
    }
}
