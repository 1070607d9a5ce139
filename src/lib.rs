//! silvertack: a pool of client sessions on databases, an API gateway, and the control plane of both.
//!
//! Three roles: [`pooler`] carries the sessions of its machine, [`gateway`] forwards HTTP requests
//! where the deployment is a gateway, and [`controller`] keeps the replicated state. The controller
//! stands on [`raft`], [`state_machine`], [`failover`] and [`leases`], which are pure; [`simulation`]
//! runs whole controllers under drawn faults. [`node`], [`net`], [`config`] and [`base`] are what the
//! roles share. `docs/architecture.md` shows how they fit together.
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
