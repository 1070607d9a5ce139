//! The pooler: multiplexes many client sessions onto few database connections.
//!
//! It owns the connections to clients and to databases. A statement runs on the primary only under
//! a lease that the leading controller granted, and on a replica only at a position that is fresh
//! enough for its route. After the loss of a database connection a statement is retried
//! transparently where nothing can get lost or run twice; otherwise the client gets an error. `cli`
//! calls `process::run`; `reroute`, `admission`, `commit_confirmation`, `latency`, `leases` and
//! `replica_reads` do no I/O and can be tested without sockets.
pub mod admission;
mod client_session;
mod cluster_view;
pub mod commit_confirmation;
mod commit_forwarding;
mod exchange;
mod handover;
pub mod latency;
mod leader_messages;
pub mod leases;
pub mod pool;
pub mod process;
pub mod replica_reads;
pub mod reroute;
mod server;
mod server_connection;
mod session_target;
mod sessions;
mod statement_execution;
mod status;
