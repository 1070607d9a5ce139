//! Sockets, protocols and the connection to the leading controller.
pub mod http;
pub mod idle_connections;
pub mod leader_connection;
pub mod leader_discovery;
pub mod rpc;
pub mod send_queue;
pub mod sockets;
pub mod statement_protocol;
