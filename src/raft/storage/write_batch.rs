//! The encoded content of one transaction.
use crate::base::ids::{LogIndex, MemberId, Term};
use crate::net::rpc::pack;
use crate::raft::state::{PersistentState, UnsavedChanges};

/// The changes that one transaction writes to disk. The thread that owns the state encodes them, so
/// that the storage thread needs no access to the state.
#[derive(Debug)]
pub struct WriteBatch {
    pub(super) hard_state: Option<HardState>,
    /// The encoded snapshot.
    pub(super) snapshot: Option<Vec<u8>>,
    pub(super) log_tail: Option<LogTail>,
}

/// The state of a member other than its log and snapshot.
#[derive(Debug)]
pub(super) struct HardState {
    pub(super) member_id: MemberId,
    pub(super) term: Term,
    pub(super) voted_for: Option<MemberId>,
    pub(super) last_led_term: Option<Term>,
}

/// The entries that replace the log from an index on.
#[derive(Debug)]
pub(super) struct LogTail {
    pub(super) from: LogIndex,
    pub(super) entries: Vec<EncodedEntry>,
}

/// An encoded log entry, stored as one row.
#[derive(Debug)]
pub(super) struct EncodedEntry {
    pub(super) index: LogIndex,
    pub(super) body: Vec<u8>,
}

impl WriteBatch {
    /// Encodes the parts of `state` that have changed according to `changes`.
    pub fn new(state: &PersistentState, changes: &UnsavedChanges) -> Self {
        Self {
            hard_state: changes.hard_state.then_some(HardState {
                member_id: state.member_id,
                term: state.term,
                voted_for: state.voted_for,
                last_led_term: state.last_led_term,
            }),
            snapshot: changes.snapshot.then(|| pack(&state.snapshot)),
            log_tail: changes.log_from.map(|from| LogTail::new(state, from)),
        }
    }
}

impl LogTail {
    fn new(state: &PersistentState, from: LogIndex) -> Self {
        let entries = state.log.iter().filter(|entry| entry.index >= from);
        let encoded = entries.map(|entry| EncodedEntry { index: entry.index, body: pack(entry) });
        Self { from, entries: encoded.collect() }
    }
}
