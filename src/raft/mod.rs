//! Consensus between controllers: the Raft core, its log, and its storage.
//!
//! [`node::RaftNode`] is a pure state machine: the controller passes messages and the current time
//! to it and takes from it the messages to send and the changes to save. It uses no sockets,
//! threads, clocks or files. [`persister`] holds messages back until the state they depend on is on
//! disk, and [`storage`] saves that state in a SQLite file.
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
