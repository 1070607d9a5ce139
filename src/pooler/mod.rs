//! The pooler: clients' sessions carried on few database connections.
pub mod admission;
pub mod client_session;
pub mod latency;
pub mod leases;
pub mod pool;
pub mod replica_reads;
pub mod reroute;
pub mod server;
pub mod server_connection;
