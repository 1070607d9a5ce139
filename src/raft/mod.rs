//! Consensus between controllers: the Raft core, its log, and the storage under it.
//!
//! [`node::RaftNode`] is a pure state machine: the controller hands it messages and the time, and
//! takes from it the messages to send and the changes to save. It knows no socket, thread, clock or
//! file. [`persister`] holds messages back until what they promise is on disk, and [`storage`] is
//! the SQLite file below it.
//!
//! "The Raft paper" in this module is Ongaro and Ousterhout, "In Search of an Understandable
//! Consensus Algorithm" (extended version); "the dissertation" is Ongaro, "Consensus: Bridging
//! Theory and Practice".
mod chunked_transfer;
mod election;
mod follower;
pub mod limits;
mod log;
mod membership;
pub mod node;
pub mod persister;
pub mod read_index;
mod replication;
pub mod state;
pub mod storage;
pub mod validation;
