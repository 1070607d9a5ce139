//! silvertack: a database connection pooler, an API gateway, and the Raft control plane of both.
//!
//! A process has one of three roles: [`pooler`] multiplexes client sessions over database
//! connections, [`gateway`] forwards HTTP requests to the databases of an API deployment, and
//! [`controller`] maintains the replicated state. The controller is built on [`raft`],
//! [`state_machine`], [`failover`] and [`leases`], which perform no I/O; [`simulation`] runs
//! complete controllers under random faults. The roles share [`node`], [`net`], [`config`] and
//! [`base`]. `docs/architecture.md` describes how the modules fit together.
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
