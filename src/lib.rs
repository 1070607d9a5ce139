//! silvertack: a pool of client sessions on databases, and the control plane that keeps it.
//!
//! `pooler` carries the sessions on every machine, `gateway` the requests of a gateway; `controller` keeps the configuration, the
//! directory of databases and who leads. `common` is what the two share.
pub mod base;
pub mod config;
pub mod controller;
pub mod failover;
pub mod gateway;
pub mod leases;
pub mod net;
pub mod node;
pub mod pooler;
pub mod raft;
pub mod simulation;
pub mod state_machine;
