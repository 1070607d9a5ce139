//! After a loss of power each file that was made, renamed or removed without a sync of its folder is
//! there or not, by itself. Tables of what may then lie in a controller's folder, of real SQLite files.
use silvertack::base::ids::{LogIndex, MemberId, NodeName, Term};
use silvertack::net::rpc::raft_messages::{EntryPayload, LogEntry, Member, Snapshot};
use silvertack::raft::state::{PersistentState, UnsavedChanges};
use silvertack::raft::storage::{InitializedStorage, OpenedStorage, RaftStorage, WriteBatch};
use std::collections::BTreeMap;
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicU64, Ordering};

fn first() -> PersistentState {
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
fn folder(name: &str) -> PathBuf {
    static MADE: AtomicU64 = AtomicU64::new(0);
    let (process, number) = (std::process::id(), MADE.fetch_add(1, Ordering::Relaxed));
    let path = std::env::temp_dir().join(format!("silvertack-power-{name}-{process}-{number}"));
    std::fs::create_dir_all(&path).expect("folder");
    path
}
fn write(storage: &mut RaftStorage, kept: &mut PersistentState, entries: u64, bytes: usize) {
    for _ in 0..entries {
        let index = LogIndex(kept.log.len() as u64 + 1);
        kept.log.push(LogEntry {
            term: Term(1),
            index,
            payload: EntryPayload::Command(vec![0; bytes].into()),
        });
        let dirty = UnsavedChanges { log_from: Some(index), ..UnsavedChanges::default() };
        storage.save(&WriteBatch::new(kept, &dirty)).expect("saved");
    }
}

const DATABASE: &str = "hedge.sqlite";
const WAL: &str = "hedge.sqlite-wal";
const JOURNAL: &str = "hedge.sqlite-journal";
type File = Option<Vec<u8>>;
fn read(folder: &Path, name: &str) -> File {
    std::fs::read(folder.join(name)).ok()
}
/// A folder that holds just these.
fn lay(files: &BTreeMap<&str, File>) -> PathBuf {
    let folder = folder("laid");
    for (name, file) in files {
        if let Some(bytes) = file {
            std::fs::write(folder.join(name), bytes).expect("laid");
        }
    }
    folder
}
/// Each way in which one form of each file may lie there.
fn combinations<'a>(forms: &[(&'a str, Vec<File>)]) -> Vec<BTreeMap<&'a str, File>> {
    let mut all = vec![BTreeMap::new()];
    for (name, forms) in forms {
        let with = |one: &BTreeMap<&'a str, File>| -> Vec<_> {
            let with = |form: &File| {
                one.iter().map(|(n, f)| (*n, f.clone())).chain([(*name, form.clone())]).collect()
            };
            forms.iter().map(with).collect()
        };
        all = all.iter().flat_map(with).collect();
    }
    all
}
fn shape(files: &BTreeMap<&str, File>) -> Vec<(String, Option<usize>)> {
    files.iter().map(|(n, f)| (n.to_string(), f.as_ref().map(Vec::len))).collect()
}

/// The journal that the change to WAL went through, as it was when its name was removed. A second
/// name shows it; where the file has a page already, a journal at rest is written on and not made.
fn journal_of_the_founding() -> File {
    let folder = folder("journal");
    let db = rusqlite::Connection::open(folder.join(DATABASE)).expect("file");
    db.execute_batch("PRAGMA user_version = 1; PRAGMA user_version = 0;").expect("a page");
    drop(db);
    std::fs::write(folder.join(JOURNAL), [0; 28]).expect("a journal at rest");
    std::fs::hard_link(folder.join(JOURNAL), folder.join("kept")).expect("a second name");
    drop(RaftStorage::open_or_initialize(&folder, first).expect("founded"));
    assert!(!folder.join(JOURNAL).exists(), "its name is removed");
    let kept = read(&folder, "kept");
    assert!(kept.as_ref().is_some_and(|k| k.len() > 512), "it went through this journal");
    let _ = std::fs::remove_dir_all(&folder);
    kept
}

#[test]
fn what_was_saved_is_there_whichever_unsynced_names_are_kept_or_lost() {
    let base = folder("saved");
    let now = |name: &str| read(&base, name);
    // (what had just happened, forms of the WAL, entries that must be there); the rest as it lies.
    let mut cases: Vec<(&str, File, Vec<File>, usize)> = Vec::new();
    let InitializedStorage { mut storage, state: mut kept, .. } =
        RaftStorage::open_or_initialize(&base, first).expect("founded");
    write(&mut storage, &mut kept, 3, 8);
    let three = now(WAL);
    cases.push(("saved", now(DATABASE), vec![three.clone()], 3));
    drop(storage);
    assert_eq!(now(WAL), None, "an orderly end removes it");
    cases.push(("closed", now(DATABASE), vec![three.clone(), None], 3));
    let OpenedStorage { mut storage, .. } = RaftStorage::open(&base).expect("again");
    let old = vec![three.clone(), None, now(WAL), Some(Vec::new())];
    cases.push(("opened, nothing saved", now(DATABASE), old, 3));
    // With the first transaction the folder is synced (see the test of the premise).
    write(&mut storage, &mut kept, 1, 8);
    cases.push(("saved again", now(DATABASE), vec![now(WAL)], 4));
    // Past a checkpoint, after which the WAL is written on from its beginning.
    write(&mut storage, &mut kept, 200, 32 << 10);
    let (size, before) = (now(WAL).map(|w| w.len()), now(DATABASE));
    assert!(before.as_ref().is_some_and(|d| d.len() > 1 << 20), "a checkpoint has been");
    cases.push(("past a checkpoint", before, vec![now(WAL)], 204));
    write(&mut storage, &mut kept, 1, 8);
    assert_eq!(now(WAL).map(|w| w.len()), size, "written on from its beginning");
    let late = now(WAL);
    cases.push(("saved past a checkpoint", now(DATABASE), vec![late.clone()], 205));
    drop(storage);
    cases.push(("closed past a checkpoint", now(DATABASE), vec![late.clone(), None], 205));
    let OpenedStorage { storage, .. } = RaftStorage::open(&base).expect("again");
    cases.push(("opened past a checkpoint", now(DATABASE), vec![late, None, now(WAL)], 205));
    drop(storage);
    let mark = now("member");
    for (what, database, wal, entries) in cases {
        let forms = [
            (DATABASE, vec![database]),
            (WAL, wal),
            ("member", vec![mark.clone()]),
            ("member.new", vec![None, mark.clone(), Some(Vec::new())]),
        ];
        for files in combinations(&forms) {
            let at = lay(&files);
            let why = format!("{what}: {:?}", shape(&files));
            // It is read, and what is saved on top of it is read too.
            let OpenedStorage { mut storage, state: found } =
                RaftStorage::open(&at).unwrap_or_else(|e| panic!("{why}: {e}"));
            let mut found = found.unwrap_or_else(|| panic!("{why}: nothing"));
            assert_eq!(found.log.len(), entries, "{why}");
            write(&mut storage, &mut found, 1, 8);
            drop(storage);
            let OpenedStorage { state: found, .. } =
                RaftStorage::open(&at).unwrap_or_else(|e| panic!("{why}, then: {e}"));
            assert_eq!(found.map(|f| f.log.len()), Some(entries + 1), "{why}, then");
            let _ = std::fs::remove_dir_all(&at);
        }
    }
    let _ = std::fs::remove_dir_all(&base);
}

#[test]
#[expect(clippy::too_many_lines, reason = "one scenario, told in order")]
fn a_founding_that_was_not_over_is_begun_again_and_one_that_was_is_not() {
    let base = folder("founding");
    let journal = journal_of_the_founding();
    let OpenedStorage { storage, .. } = RaftStorage::open(&base).expect("made");
    let (empty, tables) = (read(&base, DATABASE), read(&base, WAL));
    drop(storage);
    let InitializedStorage { storage, .. } =
        RaftStorage::open_or_initialize(&base, first).expect("founded");
    let (database, state, mark) = (read(&base, DATABASE), read(&base, WAL), read(&base, "member"));
    drop(storage);
    let (nothing, cut) = (None, Some(Vec::new()));
    let half = state.as_ref().map(|s| s[..s.len() / 2].to_vec());
    // (what had just happened, forms of database, WAL and mark, founded anew; refused if none)
    let cases = [
        // No transaction is over: nothing of the names is synced.
        (
            "made",
            vec![nothing.clone(), cut.clone(), empty],
            vec![nothing.clone(), cut.clone(), tables, half],
            vec![nothing.clone()],
            Some(true),
        ),
        // The state is saved; the mark's name isn't synced.
        (
            "saved",
            vec![database.clone()],
            vec![state.clone()],
            vec![nothing.clone(), mark.clone()],
            Some(false),
        ),
        // Marked: the names are synced, so only another fault of the disk takes the state away.
        (
            "marked, state lost",
            vec![nothing.clone(), cut.clone()],
            vec![nothing, cut, state],
            vec![mark.clone()],
            None,
        ),
    ];
    for (what, database, wal, marks, founded) in cases {
        // It was removed before the first transaction synced the folder.
        let journals = if what == "made" { vec![None, journal.clone()] } else { vec![None] };
        let forms = [
            (DATABASE, database),
            (WAL, wal),
            (JOURNAL, journals),
            ("member", marks),
            ("member.new", vec![None, mark.clone(), Some(Vec::new())]),
        ];
        for files in combinations(&forms) {
            let at = lay(&files);
            let why = format!("{what}: {:?}", shape(&files));
            match (RaftStorage::open_or_initialize(&at, first), founded) {
                (
                    Ok(InitializedStorage { storage, state: kept, restarted: was }),
                    Some(founded),
                ) => {
                    assert_eq!((kept.member_id, !was), (MemberId(1), founded), "{why}");
                    drop(storage);
                    let OpenedStorage { state: found, .. } =
                        RaftStorage::open(&at).unwrap_or_else(|e| panic!("{why}: {e}"));
                    assert_eq!(found.map(|f| f.member_id), Some(MemberId(1)), "{why}, then");
                }
                (Err(e), None) => assert!(e.to_string().contains("is gone"), "{why}: {e}"),
                (Err(e), Some(_)) => panic!("{why}: {e}"),
                (Ok(_), None) => panic!("{why}: taken for a new disk"),
            }
            let _ = std::fs::remove_dir_all(&at);
        }
    }
    let _ = std::fs::remove_dir_all(&base);
}

#[test]
fn the_folder_is_synced_with_the_first_transaction_of_a_wal() {
    // SQLite does so itself, before the transaction is over, unless it is built without it; the
    // tables above rest on it.
    let db = rusqlite::Connection::open_in_memory().expect("a database");
    let mut options = db.prepare("PRAGMA compile_options").expect("options");
    let options = options.query_map([], |r| r.get::<_, String>(0)).expect("options");
    let options: Vec<String> = options.map(|o| o.expect("an option")).collect();
    assert!(options.iter().any(|o| o.starts_with("COMPILER")), "they are listed: {options:?}");
    assert!(!options.iter().any(|o| o.contains("DIRSYNC") || o.contains("NO_SYNC")), "{options:?}");
}
