//! The schema of the database file, and all SQL statements on it.
//!
//! The names of tables and columns date from the first release. They must not change, because this
//! program reads files written by earlier programs, which may run on them again after a rollback:
//!
//! | table, column | content |
//! |---|---|
//! | `hard` | the hard state of the Raft paper (figure 2), one row |
//! | `hard.me`, `hard.epoch`, `hard.voted` | the member's id, its term, the candidate it voted for |
//! | `led`, `led.epoch` | the newest term that the member led, one row; added in a later release |
//! | `snapshot`, `snapshot.body` | the encoded snapshot, one row |
//! | `log`, `log.place`, `log.body` | the log: index and encoded entry, a row for each entry |
//!
//! `only_one` restricts a table to a single row. Ids, terms and indexes are stored as `i64`, the
//! only integer type of SQLite; their values are below `i64::MAX`.

/// The schema version (`PRAGMA user_version`) that this program writes. A file with a higher one is
/// from a newer program.
pub(super) const SCHEMA_VERSION: i64 = 1;

/// Creates the tables that do not exist yet. SQLite stores these texts in the file, so they must
/// not be reworded.
pub(super) const CREATE_TABLES: &str = "BEGIN;
    CREATE TABLE IF NOT EXISTS hard (only_one INTEGER PRIMARY KEY CHECK (only_one = 1), \
    me INTEGER, epoch INTEGER, voted INTEGER);
    CREATE TABLE IF NOT EXISTS led (only_one INTEGER PRIMARY KEY CHECK (only_one = 1), \
    epoch INTEGER NOT NULL);
    CREATE TABLE IF NOT EXISTS snapshot (only_one INTEGER PRIMARY KEY CHECK (only_one = 1), \
    body BLOB NOT NULL);
    CREATE TABLE IF NOT EXISTS log (place INTEGER PRIMARY KEY, body BLOB NOT NULL);
    COMMIT;";

/// Reads the schema version, which is 0 in a new file.
pub(super) const SELECT_SCHEMA_VERSION: &str = "PRAGMA user_version";

/// Counts the tables that are not part of this schema.
pub(super) const COUNT_FOREIGN_TABLES: &str = "SELECT count(*) FROM sqlite_master WHERE type = 'table' \
     AND name NOT IN ('hard', 'led', 'snapshot', 'log')";

/// Counts the tables for the hard state: 0 in a new file, otherwise 1.
pub(super) const COUNT_HARD_STATE_TABLES: &str =
    "SELECT count(*) FROM sqlite_master WHERE name = 'hard'";

/// Checks the structure of the file. Returns `ok` or a description of the first damage.
pub(super) const CHECK_INTEGRITY: &str = "PRAGMA quick_check(1)";

/// Reads member id, term and vote.
pub(super) const SELECT_HARD_STATE: &str = "SELECT me, epoch, voted FROM hard";

/// Reads the newest term that the member led.
pub(super) const SELECT_LAST_LED_TERM: &str = "SELECT epoch FROM led";

/// Reads the snapshot.
pub(super) const SELECT_SNAPSHOT: &str = "SELECT body FROM snapshot";

/// Reads the log in index order.
pub(super) const SELECT_LOG: &str = "SELECT body FROM log ORDER BY place";

/// Replaces member id, term and vote.
pub(super) const REPLACE_HARD_STATE: &str = "INSERT OR REPLACE INTO hard VALUES (1, ?1, ?2, ?3)";

/// Replaces the newest term that the member led.
pub(super) const REPLACE_LAST_LED_TERM: &str = "INSERT OR REPLACE INTO led VALUES (1, ?1)";

/// Replaces the snapshot.
pub(super) const REPLACE_SNAPSHOT: &str = "INSERT OR REPLACE INTO snapshot VALUES (1, ?1)";

/// Truncates the log from an index on.
pub(super) const DELETE_LOG_FROM: &str = "DELETE FROM log WHERE place >= ?1";

/// Appends an entry to the log.
pub(super) const INSERT_LOG_ENTRY: &str = "INSERT INTO log VALUES (?1, ?2)";
