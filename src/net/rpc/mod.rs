//! The RPC protocol between controllers, poolers and gateways: messages and their encoding.
//!
//! Processes exchange [`Frame`]s on the peer port. The messages are defined in [`raft_messages`]
//! (between controllers) and [`pooler_messages`] (between nodes and the leader). [`encode`],
//! [`send`] and [`receive`] are for connections; [`pack`] and [`unpack`] are for values that are
//! stored or embedded in messages. Decoding never panics, whatever bytes are received.
mod codec;
mod error;
mod frame;
mod layout;
pub mod pooler_messages;
pub mod raft_messages;

pub use codec::{pack, unpack};
pub use error::RpcError;
pub use frame::{Frame, ReceivedFrame, encode, receive, receive_with_layout, send};
pub use layout::{
    CHUNKS_LAYOUT, FIRST_LAYOUT, HANDOVER_LAYOUT, LAYOUT, SYNC_REPLICAS_LAYOUT, TENANTS_LAYOUT,
};
