//! What one transaction writes, encoded.
use crate::base::ids::{LogIndex, MemberId, Term};
use crate::net::rpc::pack;
use crate::raft::state::{PersistentState, UnsavedChanges};

/// The changes that one transaction brings to the disk. They are encoded by the thread that owns the
/// state, so that the one that writes needs no access to it.
#[derive(Debug)]
pub struct WriteBatch {
    pub(super) hard_state: Option<HardState>,
    /// The packed snapshot.
    pub(super) snapshot: Option<Vec<u8>>,
    pub(super) log_tail: Option<LogTail>,
}

/// The state of a member beside its log and snapshot.
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
    pub(super) entries: Vec<PackedEntry>,
}

/// A row of the log.
#[derive(Debug)]
pub(super) struct PackedEntry {
    pub(super) index: LogIndex,
    pub(super) body: Vec<u8>,
}

impl WriteBatch {
    /// Encodes those parts of `state` that `changes` names.
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
        let packed = entries.map(|entry| PackedEntry { index: entry.index, body: pack(entry) });
        Self { from, entries: packed.collect() }
    }
}
