//! Sockets, protocols and the connection to the leading controller.
//!
//! These modules transport data for the other modules and don't decide what is sent. [`rpc`] is the
//! protocol between controllers, poolers and gateways, [`statement_protocol`] the one between
//! clients, poolers and databases, and [`http`] serves the admin and readiness addresses. Nodes
//! communicate with the leader through [`leader_connection`], which finds it with
//! [`leader_discovery`]. [`idle_connections`], [`send_queue`] and [`sockets`] are shared building
//! blocks.
pub mod http;
pub mod idle_connections;
pub mod leader_connection;
pub mod leader_discovery;
pub mod rpc;
pub mod send_queue;
pub mod sockets;
pub mod statement_protocol;
