//! The storage of a member's state: a SQLite file with its term, vote, snapshot and log, and the
//! identity file next to it.
//!
//! The controller process opens a [`RaftStorage`] when it starts and moves it to the storage
//! thread, the only thread that waits for the disk. [`LogPersister`](crate::raft::persister)
//! decides what is written when. When [`RaftStorage::save`] returns, the batch is durable and
//! survives a power loss (`synchronous = FULL`, `tests/power_loss.rs`). A file that can't be read
//! or belongs to another member is refused and left unchanged.
mod error;
mod identity_file;
mod schema;
mod write_batch;

pub use error::StorageError;
pub use write_batch::WriteBatch;

use crate::base::ids::{MemberId, Term};
use crate::net::rpc::raft_messages::{LogEntry, Member, Snapshot};
use crate::net::rpc::unpack;
use crate::raft::state::{PersistentState, UnsavedChanges};
use identity_file::IdentityFile;
use rusqlite::{Connection, OptionalExtension, Transaction, params};
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::path::Path;
use write_batch::{HardState, LogTail};

/// The name of the database file in a member's data folder. It dates from the first release and
/// must not change, because to earlier programs a folder without this file is an empty disk.
const DATABASE_FILE: &str = "hedge.sqlite";

/// The size of SQLite's page cache in KiB, negative as the pragma requires. A small cache is
/// enough: the state is read once, at the start, and only written afterwards.
const PAGE_CACHE_KIB: i64 = -256;

/// The storage of one member's state: on disk, or in memory for a member without a disk.
pub struct RaftStorage {
    database: Connection,
    /// `None` for a storage in memory.
    identity: Option<IdentityFile>,
}

/// A storage that was opened, and the state it contained.
pub struct OpenedStorage {
    /// The storage, ready to save to.
    pub storage: RaftStorage,
    /// The state it contained; `None` if no state was ever saved.
    pub state: Option<PersistentState>,
}

/// A storage that contains a state.
pub struct InitializedStorage {
    /// The storage, ready to save to.
    pub storage: RaftStorage,
    /// The state it contains.
    pub state: PersistentState,
    /// The state was loaded from disk, so the member restarts. Otherwise it was just initialized.
    pub restarted: bool,
}

impl RaftStorage {
    /// Creates a storage without a file, for a controller that never votes. Its state is lost when
    /// the process ends.
    ///
    /// # Errors
    /// [`StorageError::Sqlite`] if SQLite can't be set up.
    pub fn in_memory() -> Result<Self, StorageError> {
        let database = Connection::open_in_memory()?;
        database.execute_batch(schema::CREATE_TABLES)?;
        Ok(Self { database, identity: None })
    }

    /// Opens the database file in `folder` and reads its state. Creates the file and the folder if
    /// they are missing.
    ///
    /// # Errors
    /// A [`StorageError`] if the files can't be read or written, are damaged, were written by a
    /// newer program, or belong to another member. Existing files are left unchanged then.
    pub fn open(folder: &Path) -> Result<OpenedStorage, StorageError> {
        let mut identity = IdentityFile::new(folder)?;
        let database = Connection::open(folder.join(DATABASE_FILE))?;
        // Set before WAL mode: SQLite then keeps the WAL index on the heap, not in shared memory.
        database.pragma_update(None, "locking_mode", "EXCLUSIVE")?;
        // These checks come before anything is written to the file.
        let version = checked_schema_version(&database)?;
        let tables: i64 =
            database.query_row(schema::COUNT_HARD_STATE_TABLES, [], |row| row.get(0))?;
        if tables == 0 && identity.exists() {
            return Err(StorageError::StateLost);
        }
        configure(&database)?;
        check_integrity(&database)?;
        database.execute_batch(schema::CREATE_TABLES)?;
        if version == 0 {
            database.pragma_update(None, "user_version", schema::SCHEMA_VERSION)?;
        }
        let state = load(&database)?;
        if state.is_none() && identity.exists() {
            return Err(StorageError::StateLost);
        }
        identity.read()?;
        if let Some(state) = &state {
            identity.check(state.member_id)?;
            identity.add(state.member_id)?;
        }
        Ok(OpenedStorage { storage: Self { database, identity: Some(identity) }, state })
    }

    /// Opens the database file and saves `initial_state()` to it if it contains no state. When this
    /// returns, both the state and the directory entries of the files are durable.
    ///
    /// # Errors
    /// As for [`RaftStorage::open`].
    pub fn open_or_initialize(
        folder: &Path,
        initial_state: impl FnOnce() -> PersistentState,
    ) -> Result<InitializedStorage, StorageError> {
        let OpenedStorage { mut storage, state } = Self::open(folder)?;
        if let Some(state) = state {
            return Ok(InitializedStorage { storage, state, restarted: true });
        }
        let state = initial_state();
        storage.save(&WriteBatch::new(&state, &UnsavedChanges::all()))?;
        // Written after the state, because an identity file without a state means a lost state.
        if let Some(identity) = &mut storage.identity {
            identity.add(state.member_id)?;
        }
        Ok(InitializedStorage { storage, state, restarted: false })
    }

    /// Reads the state; `None` if no state was ever saved.
    ///
    /// # Errors
    /// A [`StorageError`] if the state can't be read or is damaged.
    pub fn load(&self) -> Result<Option<PersistentState>, StorageError> {
        load(&self.database)
    }

    /// Writes a batch in one transaction. The batch is durable when this returns.
    ///
    /// # Errors
    /// A [`StorageError`] if the write fails; nothing of the batch is written then.
    pub fn save(&mut self, batch: &WriteBatch) -> Result<(), StorageError> {
        // A removed member rejoins under a new id. The identity file must name that id before the
        // database contains its state.
        if let (Some(identity), Some(hard_state)) = (&mut self.identity, &batch.hard_state)
            && !identity.is_empty()
        {
            identity.add(hard_state.member_id)?;
        }
        let transaction = self.database.transaction()?;
        if let Some(hard_state) = &batch.hard_state {
            save_hard_state(&transaction, hard_state)?;
        }
        if let Some(snapshot) = &batch.snapshot {
            transaction.execute(schema::REPLACE_SNAPSHOT, [snapshot])?;
        }
        if let Some(log_tail) = &batch.log_tail {
            save_log_tail(&transaction, log_tail)?;
        }
        Ok(transaction.commit()?)
    }
}

/// Reads the schema version. Fails if the file is from a newer program or has foreign tables, so
/// this program must not write to it.
fn checked_schema_version(database: &Connection) -> Result<i64, StorageError> {
    let version: i64 = database.query_row(schema::SELECT_SCHEMA_VERSION, [], |row| row.get(0))?;
    if version > schema::SCHEMA_VERSION {
        return Err(StorageError::NewerSchema {
            found: version,
            supported: schema::SCHEMA_VERSION,
        });
    }
    let foreign_tables: i64 =
        database.query_row(schema::COUNT_FOREIGN_TABLES, [], |row| row.get(0))?;
    if foreign_tables > 0 {
        return Err(StorageError::ForeignFile);
    }
    Ok(version)
}

/// Configures SQLite so that each transaction is synced to disk before its commit returns.
fn configure(database: &Connection) -> rusqlite::Result<()> {
    database.pragma_update(None, "journal_mode", "WAL")?;
    database.pragma_update(None, "synchronous", "FULL")?;
    database.pragma_update(None, "temp_store", "MEMORY")?;
    database.pragma_update(None, "cache_size", PAGE_CACHE_KIB)
}

fn check_integrity(database: &Connection) -> Result<(), StorageError> {
    let report: String = database.query_row(schema::CHECK_INTEGRITY, [], |row| row.get(0))?;
    if report == "ok" { Ok(()) } else { Err(StorageError::FailedIntegrityCheck(report)) }
}

fn load(database: &Connection) -> Result<Option<PersistentState>, StorageError> {
    let Some(hard_state) = load_hard_state(database)? else {
        return Ok(None);
    };
    let snapshot = load_snapshot(database)?;
    let log = load_log(database, &snapshot)?;
    let memberships = log.iter().filter_map(LogEntry::membership).chain([&snapshot.members]);
    for members in memberships {
        check_membership(members)?;
    }
    Ok(Some(PersistentState {
        member_id: hard_state.member_id,
        term: hard_state.term,
        voted_for: hard_state.voted_for,
        last_led_term: hard_state.last_led_term,
        log,
        snapshot,
    }))
}

fn load_hard_state(database: &Connection) -> rusqlite::Result<Option<HardState>> {
    let row = database
        .query_row(schema::SELECT_HARD_STATE, [], |row| {
            Ok(HardState {
                member_id: MemberId(row.get::<_, i64>(0)? as u64),
                term: Term(row.get::<_, i64>(1)? as u64),
                voted_for: row.get::<_, Option<i64>>(2)?.map(|id| MemberId(id as u64)),
                last_led_term: None,
            })
        })
        .optional()?;
    let Some(hard_state) = row else {
        return Ok(None);
    };
    let last_led_term = database
        .query_row(schema::SELECT_LAST_LED_TERM, [], |row| row.get::<_, i64>(0))
        .optional()?
        .map(|term| Term(term as u64));
    Ok(Some(HardState { last_led_term, ..hard_state }))
}

fn load_snapshot(database: &Connection) -> Result<Snapshot, StorageError> {
    let body = database
        .query_row(schema::SELECT_SNAPSHOT, [], |row| row.get::<_, Vec<u8>>(0))
        .optional()?;
    match body {
        Some(body) => unpack(&body).map_err(StorageError::Undecodable),
        None => Ok(Snapshot::default()),
    }
}

/// Reads the entries after the snapshot and checks that none is missing.
fn load_log(database: &Connection, snapshot: &Snapshot) -> Result<Vec<LogEntry>, StorageError> {
    let mut log: Vec<LogEntry> = Vec::new();
    let mut rows = database.prepare(schema::SELECT_LOG)?;
    for body in rows.query_map([], |row| row.get::<_, Vec<u8>>(0))? {
        let entry: LogEntry = unpack(&body?).map_err(StorageError::Undecodable)?;
        let last = log.last().map_or(snapshot.last_included.index, |entry| entry.index);
        let expected = last.0 + 1;
        if entry.index.0 != expected {
            return Err(StorageError::MissingEntry(expected));
        }
        log.push(entry);
    }
    Ok(log)
}

/// Fails for a member list that names a member or an address twice, or has members but no voter.
fn check_membership(members: &[Member]) -> Result<(), StorageError> {
    let ids: BTreeSet<MemberId> = members.iter().map(|member| member.id).collect();
    let addresses: BTreeSet<SocketAddr> = members.iter().map(|member| member.admin).collect();
    let duplicate = ids.len() < members.len() || addresses.len() < members.len();
    if duplicate || (!members.is_empty() && members.iter().all(|member| !member.voter)) {
        return Err(StorageError::InvalidMembership);
    }
    Ok(())
}

fn save_hard_state(transaction: &Transaction<'_>, state: &HardState) -> rusqlite::Result<()> {
    let voted_for = state.voted_for.map(|id| id.0 as i64);
    transaction.prepare_cached(schema::REPLACE_HARD_STATE)?.execute(params![
        state.member_id.0 as i64,
        state.term.0 as i64,
        voted_for
    ])?;
    if let Some(term) = state.last_led_term {
        transaction.prepare_cached(schema::REPLACE_LAST_LED_TERM)?.execute([term.0 as i64])?;
    }
    Ok(())
}

fn save_log_tail(transaction: &Transaction<'_>, tail: &LogTail) -> rusqlite::Result<()> {
    transaction.prepare_cached(schema::DELETE_LOG_FROM)?.execute([tail.from.0 as i64])?;
    let mut insert = transaction.prepare_cached(schema::INSERT_LOG_ENTRY)?;
    for entry in &tail.entries {
        insert.execute(params![entry.index.0 as i64, entry.body])?;
    }
    Ok(())
}
