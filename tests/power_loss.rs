//! Recovery of a controller's data folder after a power loss.
//!
//! A file that was created, renamed or removed without a sync of its folder may or may not exist
//! after a power loss, independently of the other files. The tests write real SQLite files and open
//! the storage on every combination of files that a power loss can leave behind.
use silvertack::base::ids::{LogIndex, MemberId, NodeName, Term};
use silvertack::net::rpc::raft_messages::{EntryPayload, LogEntry, Member, Snapshot};
use silvertack::raft::state::{PersistentState, UnsavedChanges};
use silvertack::raft::storage::{InitializedStorage, OpenedStorage, RaftStorage, WriteBatch};
use std::collections::BTreeMap;
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicU64, Ordering};

fn initial_state() -> PersistentState {
    let member = Member {
        id: MemberId(1),
        node: NodeName("n1".into()),
        peer: "10.0.0.1:1".parse().expect("address"),
        admin: "10.0.0.1:2".parse().expect("address"),
        voter: true,
        can_vote: true,
    };
    let snapshot = Snapshot { members: vec![member], ..Snapshot::default() };
    PersistentState {
        member_id: MemberId(1),
        term: Term(1),
        voted_for: None,
        last_led_term: None,
        log: Vec::new(),
        snapshot,
    }
}

/// Creates a new temporary folder.
fn temporary_folder(name: &str) -> PathBuf {
    static FOLDERS_CREATED: AtomicU64 = AtomicU64::new(0);
    let (process, number) = (std::process::id(), FOLDERS_CREATED.fetch_add(1, Ordering::Relaxed));
    let path = std::env::temp_dir().join(format!("silvertack-power-{name}-{process}-{number}"));
    std::fs::create_dir_all(&path).expect("create the temporary folder");
    path
}

/// Appends entries with commands of this size, each saved by its own transaction.
fn append(storage: &mut RaftStorage, state: &mut PersistentState, entries: u64, bytes: usize) {
    for _ in 0..entries {
        let index = LogIndex(state.log.len() as u64 + 1);
        state.log.push(LogEntry {
            term: Term(1),
            index,
            payload: EntryPayload::Command(vec![0; bytes].into()),
        });
        let changes = UnsavedChanges { log_from: Some(index), ..UnsavedChanges::default() };
        storage.save(&WriteBatch::new(state, &changes)).expect("save the entry");
    }
}

const DATABASE: &str = "hedge.sqlite";
const WAL: &str = "hedge.sqlite-wal";
const JOURNAL: &str = "hedge.sqlite-journal";

/// The content of a file; `None` if it does not exist.
type FileContent = Option<Vec<u8>>;

fn read(folder: &Path, name: &str) -> FileContent {
    std::fs::read(folder.join(name)).ok()
}

/// Creates a folder with exactly these files.
fn create_folder(files: &BTreeMap<&str, FileContent>) -> PathBuf {
    let folder = temporary_folder("after-power-loss");
    for (name, file) in files {
        if let Some(bytes) = file {
            std::fs::write(folder.join(name), bytes).expect("write the file");
        }
    }
    folder
}

/// All folders in which each file has one of the contents that are possible for it.
fn combinations<'a>(
    possible: &[(&'a str, Vec<FileContent>)],
) -> Vec<BTreeMap<&'a str, FileContent>> {
    let mut folders = vec![BTreeMap::new()];
    for (name, contents) in possible {
        let with_file = |folder: &BTreeMap<&'a str, FileContent>| -> Vec<_> {
            let with_content = |content: &FileContent| {
                folder
                    .iter()
                    .map(|(n, f)| (*n, f.clone()))
                    .chain([(*name, content.clone())])
                    .collect()
            };
            contents.iter().map(with_content).collect()
        };
        folders = folders.iter().flat_map(with_file).collect();
    }
    folders
}

/// The size of each file, for the messages of failed assertions.
fn file_sizes(files: &BTreeMap<&str, FileContent>) -> Vec<(String, Option<usize>)> {
    files.iter().map(|(n, f)| (n.to_string(), f.as_ref().map(Vec::len))).collect()
}

/// The rollback journal of the transaction that changes the database to WAL mode, as it was when
/// SQLite removed it. A hard link keeps its content. For that the journal must exist before and be
/// reused: SQLite writes to an existing empty journal if the database file has a page already.
fn journal_of_initialization() -> FileContent {
    let folder = temporary_folder("journal");
    let db = rusqlite::Connection::open(folder.join(DATABASE)).expect("create the database");
    db.execute_batch("PRAGMA user_version = 1; PRAGMA user_version = 0;").expect("write a page");
    drop(db);
    std::fs::write(folder.join(JOURNAL), [0; 28]).expect("write an empty journal");
    std::fs::hard_link(folder.join(JOURNAL), folder.join("kept")).expect("link the journal");
    drop(RaftStorage::open_or_initialize(&folder, initial_state).expect("initialize"));
    assert!(!folder.join(JOURNAL).exists(), "SQLite has removed the journal");
    let journal = read(&folder, "kept");
    assert!(journal.as_ref().is_some_and(|j| j.len() > 512), "the journal was used");
    let _ = std::fs::remove_dir_all(&folder);
    journal
}

#[test]
fn saved_state_survives_the_loss_of_any_unsynced_file() {
    let base = temporary_folder("saved");
    let current = |name: &str| read(&base, name);
    // (last operation before the power loss, content of the database file, possible contents of the
    // WAL, number of entries that must survive)
    let mut cases: Vec<(&str, FileContent, Vec<FileContent>, usize)> = Vec::new();
    let InitializedStorage { mut storage, mut state, .. } =
        RaftStorage::open_or_initialize(&base, initial_state).expect("initialize");
    append(&mut storage, &mut state, 3, 8);
    let first_wal = current(WAL);
    cases.push(("saved", current(DATABASE), vec![first_wal.clone()], 3));
    drop(storage);
    assert_eq!(current(WAL), None, "closing the database removes the WAL");
    cases.push(("closed", current(DATABASE), vec![first_wal.clone(), None], 3));
    let OpenedStorage { mut storage, .. } = RaftStorage::open(&base).expect("reopen");
    let unsynced_wals = vec![first_wal.clone(), None, current(WAL), Some(Vec::new())];
    cases.push(("opened, nothing saved", current(DATABASE), unsynced_wals, 3));
    // The first transaction syncs the folder: see
    // `sqlite_syncs_the_folder_with_the_first_transaction_of_a_wal`.
    append(&mut storage, &mut state, 1, 8);
    cases.push(("saved again", current(DATABASE), vec![current(WAL)], 4));
    // Enough for a checkpoint, after which SQLite overwrites the WAL from its beginning.
    append(&mut storage, &mut state, 200, 32 << 10);
    let (wal_size, database) = (current(WAL).map(|w| w.len()), current(DATABASE));
    assert!(database.as_ref().is_some_and(|d| d.len() > 1 << 20), "there was a checkpoint");
    cases.push(("after a checkpoint", database, vec![current(WAL)], 204));
    append(&mut storage, &mut state, 1, 8);
    assert_eq!(current(WAL).map(|w| w.len()), wal_size, "the WAL is overwritten, not extended");
    let last_wal = current(WAL);
    cases.push(("saved after a checkpoint", current(DATABASE), vec![last_wal.clone()], 205));
    drop(storage);
    cases.push(("closed after a checkpoint", current(DATABASE), vec![last_wal.clone(), None], 205));
    let OpenedStorage { storage, .. } = RaftStorage::open(&base).expect("reopen");
    cases.push((
        "opened after a checkpoint",
        current(DATABASE),
        vec![last_wal, None, current(WAL)],
        205,
    ));
    drop(storage);
    let identity = current("member");
    for (operation, database, wals, entries) in cases {
        let possible = [
            (DATABASE, vec![database]),
            (WAL, wals),
            ("member", vec![identity.clone()]),
            ("member.new", vec![None, identity.clone(), Some(Vec::new())]),
        ];
        for files in combinations(&possible) {
            let folder = create_folder(&files);
            let case = format!("{operation}: {:?}", file_sizes(&files));
            // The state can be read, and so can an entry that is saved after it.
            let OpenedStorage { mut storage, state: found } =
                RaftStorage::open(&folder).unwrap_or_else(|e| panic!("{case}: {e}"));
            let mut found = found.unwrap_or_else(|| panic!("{case}: no state"));
            assert_eq!(found.log.len(), entries, "{case}");
            append(&mut storage, &mut found, 1, 8);
            drop(storage);
            let OpenedStorage { state: found, .. } =
                RaftStorage::open(&folder).unwrap_or_else(|e| panic!("{case}, reopened: {e}"));
            assert_eq!(found.map(|f| f.log.len()), Some(entries + 1), "{case}, reopened");
            let _ = std::fs::remove_dir_all(&folder);
        }
    }
    let _ = std::fs::remove_dir_all(&base);
}

#[test]
#[expect(clippy::too_many_lines, reason = "one scenario, told in order")]
fn an_interrupted_initialization_is_repeated_and_a_finished_one_is_not() {
    let base = temporary_folder("initialization");
    let journal = journal_of_initialization();
    let OpenedStorage { storage, .. } = RaftStorage::open(&base).expect("create the tables");
    let (empty, tables) = (read(&base, DATABASE), read(&base, WAL));
    drop(storage);
    let InitializedStorage { storage, .. } =
        RaftStorage::open_or_initialize(&base, initial_state).expect("initialize");
    let (database, saved, identity) =
        (read(&base, DATABASE), read(&base, WAL), read(&base, "member"));
    drop(storage);
    let (missing, truncated) = (None, Some(Vec::new()));
    let half = saved.as_ref().map(|s| s[..s.len() / 2].to_vec());
    // (last operation before the power loss, possible contents of the database file, the WAL and
    // the identity file, whether the storage is initialized anew; `None` if opening it fails)
    let cases = [
        // No transaction has committed, so no file name is synced.
        (
            "created",
            vec![missing.clone(), truncated.clone(), empty],
            vec![missing.clone(), truncated.clone(), tables, half],
            vec![missing.clone()],
            Some(true),
        ),
        // The state is saved, but the name of the identity file is not synced.
        (
            "saved",
            vec![database.clone()],
            vec![saved.clone()],
            vec![missing.clone(), identity.clone()],
            Some(false),
        ),
        // With the identity file in place all names are synced, so only another disk fault can lose
        // the state.
        (
            "identity file written, state lost",
            vec![missing.clone(), truncated.clone()],
            vec![missing, truncated, saved],
            vec![identity.clone()],
            None,
        ),
    ];
    for (operation, databases, wals, identities, initialized) in cases {
        // SQLite removes the journal before the first transaction syncs the folder.
        let journals =
            if operation == "created" { vec![None, journal.clone()] } else { vec![None] };
        let possible = [
            (DATABASE, databases),
            (WAL, wals),
            (JOURNAL, journals),
            ("member", identities),
            ("member.new", vec![None, identity.clone(), Some(Vec::new())]),
        ];
        for files in combinations(&possible) {
            let folder = create_folder(&files);
            let case = format!("{operation}: {:?}", file_sizes(&files));
            match (RaftStorage::open_or_initialize(&folder, initial_state), initialized) {
                (Ok(InitializedStorage { storage, state, restarted }), Some(initialized)) => {
                    assert_eq!((state.member_id, !restarted), (MemberId(1), initialized), "{case}");
                    drop(storage);
                    let OpenedStorage { state: found, .. } =
                        RaftStorage::open(&folder).unwrap_or_else(|e| panic!("{case}: {e}"));
                    assert_eq!(found.map(|f| f.member_id), Some(MemberId(1)), "{case}, reopened");
                }
                (Err(e), None) => assert!(e.to_string().contains("is gone"), "{case}: {e}"),
                (Err(e), Some(_)) => panic!("{case}: {e}"),
                (Ok(_), None) => panic!("{case}: used for a new member"),
            }
            let _ = std::fs::remove_dir_all(&folder);
        }
    }
    let _ = std::fs::remove_dir_all(&base);
}

#[test]
fn sqlite_syncs_the_folder_with_the_first_transaction_of_a_wal() {
    // SQLite syncs the folder before the first transaction commits, unless it is compiled without
    // that. The other tests of this file rely on it.
    let db = rusqlite::Connection::open_in_memory().expect("open a database");
    let mut options = db.prepare("PRAGMA compile_options").expect("prepare");
    let options = options.query_map([], |r| r.get::<_, String>(0)).expect("query");
    let options: Vec<String> = options.map(|o| o.expect("read an option")).collect();
    assert!(options.iter().any(|o| o.starts_with("COMPILER")), "options are listed: {options:?}");
    assert!(!options.iter().any(|o| o.contains("DIRSYNC") || o.contains("NO_SYNC")), "{options:?}");
}
