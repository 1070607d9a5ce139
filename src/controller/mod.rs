//! The controller: consensus, replicated state, failover and leases behind one step function.
pub mod admin_api;
mod admin_handler;
pub mod core;
pub mod effects;
mod event_loop;
mod failover_driver;
mod heartbeats;
mod leader_state;
pub mod linearizable_reads;
mod membership;
pub(crate) mod outgoing_calls;
pub mod peer_connections;
pub(crate) mod peer_listener;
pub mod pending_updates;
mod pooler_subscriptions;
pub mod process;
mod status;
pub mod transport;
