//! Sockets, protocols and the connection to the leading controller.
//!
//! Everything that reads or writes the network on behalf of the other modules, and nothing that
//! decides what is sent: [`rpc`] between the system's own processes, [`statement_protocol`] between
//! clients, poolers and databases, [`http`] for the admin and readiness addresses. Nodes follow the
//! leader through [`leader_connection`], which [`leader_discovery`] tells whom to contact.
//! [`idle_connections`], [`send_queue`] and [`sockets`] are what several of them share.
pub mod http;
pub mod idle_connections;
pub mod leader_connection;
pub mod leader_discovery;
pub mod rpc;
pub mod send_queue;
pub mod sockets;
pub mod statement_protocol;
