//! The layouts of frames: versions of the wire protocol between a system's own processes.
//!
//! Every frame says in the highest byte of its length which layout its reader must know, and behind
//! its value which layout its sender reads. So programs of different releases work together during
//! an upgrade: a member learns what its peers read, and sends nothing that they can't.

/// The newest layout that this program reads and writes.
pub const LAYOUT: u8 = 3;

/// The layout of programs from before layouts had numbers; they send none.
pub const FIRST_LAYOUT: u8 = 1;

/// Members that read this layout accept large messages in chunks, and know the commands
/// `ForgetDeparted` and `PrimaryReturned`.
pub const PARTS_LAYOUT: u8 = 2;

/// Poolers that read this layout can be told that a service is handed over, see
/// [`ToPooler::HandOver`](crate::net::rpc::pooler_messages::ToPooler::HandOver).
pub const HANDOVER_LAYOUT: u8 = 3;

/// What a frame says that any reader can decode: the first layout wrote a zero in this place.
pub(super) const ANY_READER: u8 = 0;

/// `rmp-serde` begins a structure with a byte of at least this. A smaller byte is a layout number.
pub(super) const LAYOUT_LIMIT: u8 = 0x80;
