//! Consensus between controllers: the Raft core, its log, and the disk under it.
pub mod node;
pub mod persister;
pub mod storage;
