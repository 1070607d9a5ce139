//! The pooler: many clients' sessions on few database connections.
//!
//! Owns the clients' connections and those to the databases. A session's statement runs on the
//! primary only under a lease that the leading controller granted, and on a replica only at a
//! position that is fresh enough for its route. The loss of a database connection is hidden from
//! the client where nothing can be lost or done twice by it, and reported otherwise. `cli` calls
//! `process::run`; `reroute`, `admission`, `latency`, `leases` and `replica_reads` are pure and can
//! be tested without sockets.
pub mod admission;
mod client_session;
mod cluster_view;
mod exchange;
pub mod handover;
pub mod latency;
mod leader_messages;
pub mod leases;
pub mod pool;
pub mod process;
pub mod replica_reads;
pub mod reroute;
mod server;
mod server_connection;
mod sessions;
mod statement_execution;
mod status;
