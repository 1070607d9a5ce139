//! The SQLite file that holds a member's term, vote, snapshot and log, and the identity file beside it.
use crate::base::errors::Fatal;
use crate::base::ids::{LogIndex, MemberId, Term};
use crate::net::rpc::raft_messages::{LogEntry, Snapshot};
use crate::net::rpc::{pack, unpack};
use crate::raft::state::{PersistentState, UnsavedChanges};
use rusqlite::{Connection, OptionalExtension, params};
use std::collections::BTreeSet;
use std::io::Write;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

/// The layout this program writes. A file with a higher one is from a newer program.
const FORMAT: i64 = 1;

const TABLES: &str = "BEGIN;

    CREATE TABLE IF NOT EXISTS hard (only_one INTEGER PRIMARY KEY CHECK (only_one = 1), me INTEGER, epoch INTEGER, voted INTEGER);
    CREATE TABLE IF NOT EXISTS led (only_one INTEGER PRIMARY KEY CHECK (only_one = 1), epoch INTEGER NOT NULL);
    CREATE TABLE IF NOT EXISTS snapshot (only_one INTEGER PRIMARY KEY CHECK (only_one = 1), body BLOB NOT NULL);
    CREATE TABLE IF NOT EXISTS log (place INTEGER PRIMARY KEY, body BLOB NOT NULL);
    COMMIT;";

/// Says that a member's state was written here, should the state itself ever be missing, and whose it
/// may be: all members that this folder was. Before `MARKED` stood in it, it was not
/// kept when a removed member began anew under a fresh id, so what it says then is not relied on.
const MARK: &str = "member";

const MARKED: &str = "members";

/// The members that a folder is marked as; none if it isn't, or not reliably.
fn marks(folder: &Path) -> Result<BTreeSet<MemberId>, Fatal> {
    let text = match std::fs::read_to_string(folder.join(MARK)) {
        Ok(text) => text,
        Err(e) if e.kind() == std::io::ErrorKind::NotFound => return Ok(BTreeSet::new()),
        Err(e) => return Err(Fatal::Disk(format!("{MARK}: {e}"))),
    };
    let mut words = text.split_whitespace();
    if words.next() != Some(MARKED) {
        return Ok(BTreeSet::new());
    }
    let ids: Result<_, _> = words.map(|w| w.parse().map(MemberId)).collect();
    ids.map_err(|_| Fatal::State(format!("the file {MARK} is damaged, left as it is")))
}

/// Marks a folder durably, with its own name and that in the folder above, where that may be opened.
pub(crate) fn mark(folder: &Path, ids: &BTreeSet<MemberId>) -> std::io::Result<()> {
    let ids: Vec<String> = ids.iter().map(MemberId::to_string).collect();
    let beside = folder.join("member.new");
    let mut file = std::fs::File::create(&beside)?;
    file.write_all(format!("{MARKED} {}\n", ids.join(" ")).as_bytes())?;
    file.sync_all()?;
    std::fs::rename(&beside, folder.join(MARK))?;
    std::fs::File::open(folder)?.sync_all()?;
    match folder.parent().map(std::fs::File::open) {
        Some(Ok(above)) => above.sync_all(),
        _ => Ok(()),
    }
}

/// A full or failing disk may be well again later; anything else is wrong with the state itself.
fn disk(error: rusqlite::Error) -> Fatal {
    use rusqlite::ErrorCode::{CannotOpen, DiskFull, SystemIoFailure};
    match error.sqlite_error_code() {
        Some(DiskFull | SystemIoFailure | CannotOpen) => Fatal::Disk(error.to_string()),
        _ => Fatal::State(error.to_string()),
    }
}

/// The SQLite file that holds vote, log and snapshot.
pub struct RaftStorage {
    db: Connection,
    /// Where it lies, and the members it may hold the state of.
    folder: Option<PathBuf>,
    marked: BTreeSet<MemberId>,
}

impl RaftStorage {
    /// For a controller without a disk, which votes on nothing: all is forgotten when it ends.
    pub fn none() -> Result<Self, Fatal> {
        let db = Connection::open_in_memory().map_err(disk)?;
        db.execute_batch(TABLES).map_err(disk)?;
        Ok(Self { db, folder: None, marked: BTreeSet::new() })
    }

    /// Opens or makes the file; gives what it holds, `None` if it was new.
    pub fn open(folder: &Path) -> Result<(Self, Option<PersistentState>), Fatal> {
        std::fs::create_dir_all(folder).map_err(|e| Fatal::Disk(e.to_string()))?;
        let db = Connection::open(folder.join("hedge.sqlite")).map_err(disk)?;
        // Exclusive before WAL: the index of the log then lives on the heap.
        db.pragma_update(None, "locking_mode", "EXCLUSIVE").map_err(disk)?;
        let format: i64 = db.query_row("PRAGMA user_version", [], |r| r.get(0)).map_err(disk)?;
        if format > FORMAT {
            return Err(Fatal::State(format!(
                "format {format} is newer than {FORMAT}, left as it is"
            )));
        }
        let others = "SELECT count(*) FROM sqlite_master WHERE type = 'table' \
            AND name NOT IN ('hard', 'led', 'snapshot', 'log')";
        let others: i64 = db.query_row(others, [], |r| r.get(0)).map_err(disk)?;
        if others > 0 {
            return Err(Fatal::State("not a controller's file, left as it is".into()));
        }
        // Looked for before anything is written.
        let founded = "SELECT count(*) FROM sqlite_master WHERE name = 'hard'";
        let founded: i64 = db.query_row(founded, [], |r| r.get(0)).map_err(disk)?;
        let gone = || {
            let why = "a member's state was here and is gone; not taken for a new disk";
            Fatal::State(why.into())
        };
        if founded == 0 && folder.join(MARK).exists() {
            return Err(gone());
        }
        db.pragma_update(None, "journal_mode", "WAL").map_err(disk)?;
        db.pragma_update(None, "synchronous", "FULL").map_err(disk)?;
        db.pragma_update(None, "temp_store", "MEMORY").map_err(disk)?;
        db.pragma_update(None, "cache_size", -256).map_err(disk)?;
        let check: String =
            db.query_row("PRAGMA quick_check(1)", [], |r| r.get(0)).map_err(disk)?;
        if check != "ok" {
            return Err(Fatal::State(format!("damaged, left as it is: {check}")));
        }
        // Writes nothing where all is there. The table `led` came later than the rest; files
        // without it are read as ever.
        db.execute_batch(TABLES).map_err(disk)?;
        if format == 0 {
            db.pragma_update(None, "user_version", FORMAT).map_err(disk)?;
        }
        let kept = Self::load(&db)?;
        if kept.is_none() && folder.join(MARK).exists() {
            return Err(gone());
        }
        let mut marked = marks(folder)?;
        if let Some(kept) = &kept {
            if !marked.is_empty() && !marked.contains(&kept.member_id) {
                return Err(Fatal::State(format!(
                    "of member {}, in a folder of {}; left as it is",
                    kept.member_id,
                    marked.iter().map(MemberId::to_string).collect::<Vec<_>>().join(", ")
                )));
            }
            if marked.insert(kept.member_id) {
                mark(folder, &marked).map_err(|e| Fatal::Disk(e.to_string()))?;
            }
        }
        Ok((Self { db, folder: Some(folder.to_owned()), marked }, kept))
    }

    /// Opens the file and makes sure that there is a first state in it, durable with its names.
    pub fn found(
        folder: &Path,
        first: impl FnOnce() -> PersistentState,
    ) -> Result<(Self, PersistentState, bool), Fatal> {
        let (mut storage, kept) = Self::open(folder)?;
        if let Some(kept) = kept {
            return Ok((storage, kept, true));
        }
        let kept = first();
        storage.save(&WriteBatch::of(&kept, &UnsavedChanges::all())).map_err(disk)?;
        storage.marked.insert(kept.member_id);
        mark(folder, &storage.marked).map_err(|e| Fatal::Disk(e.to_string()))?;
        Ok((storage, kept, false))
    }

    /// What it holds; `None` if nothing was ever saved.
    ///
    /// # Errors
    /// `Fatal::State` if that can't be read, `Fatal::Disk` if the file can't.
    pub fn kept(&self) -> Result<Option<PersistentState>, Fatal> {
        Self::load(&self.db)
    }

    fn load(db: &Connection) -> Result<Option<PersistentState>, Fatal> {
        let broken = |e: std::io::Error| Fatal::State(format!("damaged, left as it is: {e}"));
        let hard = db
            .query_row("SELECT me, epoch, voted FROM hard", [], |r| {
                Ok((r.get::<_, i64>(0)?, r.get::<_, i64>(1)?, r.get::<_, Option<i64>>(2)?))
            })
            .optional()
            .map_err(disk)?;
        let Some((me, term, voted)) = hard else {
            return Ok(None);
        };
        let led = db
            .query_row("SELECT epoch FROM led", [], |r| r.get::<_, i64>(0))
            .optional()
            .map_err(disk)?;
        let snapshot = db
            .query_row("SELECT body FROM snapshot", [], |r| r.get::<_, Vec<u8>>(0))
            .optional()
            .map_err(disk)?;
        let snapshot: Snapshot = match snapshot {
            Some(body) => unpack(&body).map_err(broken)?,
            None => Snapshot::default(),
        };
        let mut log: Vec<LogEntry> = Vec::new();
        let mut rows = db.prepare("SELECT body FROM log ORDER BY place").map_err(disk)?;
        for body in rows.query_map([], |r| r.get::<_, Vec<u8>>(0)).map_err(disk)? {
            let entry: LogEntry = unpack(&body.map_err(disk)?).map_err(broken)?;
            let expected = log.last().map_or(snapshot.last_included.index.0, |e| e.index.0) + 1;
            if entry.index.0 != expected {
                return Err(Fatal::State(format!(
                    "damaged, left as it is: entry {expected} is missing"
                )));
            }
            log.push(entry);
        }
        for members in log.iter().filter_map(LogEntry::membership).chain([&snapshot.members]) {
            let ids: BTreeSet<MemberId> = members.iter().map(|m| m.id).collect();
            let places: BTreeSet<SocketAddr> = members.iter().map(|m| m.admin).collect();
            let twice = ids.len() < members.len() || places.len() < members.len();
            if twice || (!members.is_empty() && members.iter().all(|m| !m.voter)) {
                return Err(Fatal::State("left as it is: a list of members that can't be".into()));
            }
        }
        Ok(Some(PersistentState {
            member_id: MemberId(me as u64),
            term: Term(term as u64),
            voted_for: voted.map(|v| MemberId(v as u64)),
            last_led_term: led.map(|e| Term(e as u64)),
            log,
            snapshot,
        }))
    }

    /// Writes what changed in one transaction; when this returns it is durable.
    pub fn save(&mut self, batch: &WriteBatch) -> rusqlite::Result<()> {
        // A removed member begins anew: the folder is marked as its before the state is.
        if let (Some(folder), Some((me, ..))) = (&self.folder, &batch.hard)
            && !self.marked.is_empty()
            && self.marked.insert(*me)
            && let Err(e) = mark(folder, &self.marked)
        {
            self.marked.remove(me);
            return Err(rusqlite::Error::ToSqlConversionFailure(e.into()));
        }
        let tx = self.db.transaction()?;
        if let Some((me, term, voted, led)) = &batch.hard {
            tx.prepare_cached("INSERT OR REPLACE INTO hard VALUES (1, ?1, ?2, ?3)")?
                .execute(params![me.0 as i64, term.0 as i64, voted.map(|v| v.0 as i64)])?;
            if let Some(led) = led {
                tx.prepare_cached("INSERT OR REPLACE INTO led VALUES (1, ?1)")?
                    .execute([led.0 as i64])?;
            }
        }
        if let Some(snapshot) = &batch.snapshot {
            tx.execute("INSERT OR REPLACE INTO snapshot VALUES (1, ?1)", [snapshot])?;
        }
        if let Some((from, entries)) = &batch.log {
            tx.prepare_cached("DELETE FROM log WHERE place >= ?1")?.execute([from.0 as i64])?;
            let mut insert = tx.prepare_cached("INSERT INTO log VALUES (?1, ?2)")?;
            for (index, body) in entries {
                insert.execute(params![index.0 as i64, body])?;
            }
        }
        tx.commit()
    }
}

/// Entries as the table of the log holds them.
type Rows = Vec<(LogIndex, Vec<u8>)>;

/// What one transaction brings to the disk, as bytes.
#[derive(Debug)]
pub struct WriteBatch {
    hard: Option<(MemberId, Term, Option<MemberId>, Option<Term>)>,
    snapshot: Option<Vec<u8>>,
    /// From this place on the log is replaced.
    log: Option<(LogIndex, Rows)>,
}

impl WriteBatch {
    pub fn of(kept: &PersistentState, dirty: &UnsavedChanges) -> Self {
        let entries = |from: LogIndex| {
            let after = kept.log.iter().filter(move |e| e.index >= from);
            (from, after.map(|e| (e.index, pack(e))).collect::<Rows>())
        };
        Self {
            hard: dirty.hard_state.then_some((
                kept.member_id,
                kept.term,
                kept.voted_for,
                kept.last_led_term,
            )),
            snapshot: dirty.snapshot.then(|| pack(&kept.snapshot)),
            log: dirty.log_from.map(entries),
        }
    }
}
