//! The controller: Raft consensus, replicated state, database failover and leases, driven by one
//! step function.
//!
//! `core` defines `Controller`, which takes inputs and the current time and emits effects;
//! `effects` defines that interface. The methods of `Controller` are split by responsibility into
//! `committed_entries`, `leader_state`, `membership`, `failover_driver`, `heartbeats`,
//! `pooler_subscriptions`, `lease_renewals`, `admin_handler` and `status`. None of these modules
//! uses sockets, threads, clocks or files. `process`, `event_loop` and `transport` run the
//! controller in production; the simulation and the tests run it in virtual time.
pub mod admin_api;
mod admin_handler;
mod committed_entries;
pub mod core;
pub mod effects;
mod event_loop;
mod failover_driver;
mod heartbeats;
pub mod leader_lease;
mod leader_state;
mod lease_renewals;
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
