//! The controller: consensus, replicated state, failover and leases behind one step function.
pub mod admin_api;
#[allow(clippy::module_inception)]
pub mod controller;
pub mod linearizable_reads;
pub(crate) mod outgoing_calls;
pub mod peer_connections;
pub(crate) mod peer_listener;
pub mod pending_updates;
pub mod process;
pub mod transport;
