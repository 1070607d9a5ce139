//! The protocol between a system's own processes: what they send to each other, and its encoding.
//!
//! Controllers, poolers and gateways exchange [`Frame`]s on the peer port. The messages are in
//! [`raft_messages`] (between controllers) and [`pooler_messages`] (between nodes and the leader).
//! [`encode`], [`send`] and [`receive`] are for connections; [`pack`] and [`unpack`] are for values
//! that are stored or sent inside of others. What bytes come in, nothing here panics on them.
mod codec;
mod error;
mod frame;
mod layout;
pub mod pooler_messages;
pub mod raft_messages;

pub use codec::{pack, unpack};
pub use error::RpcError;
pub use frame::{Frame, ReceivedFrame, encode, receive, receive_with_layout, send};
pub use layout::{FIRST_LAYOUT, HANDOVER_LAYOUT, LAYOUT, PARTS_LAYOUT};
