//! The controller: consensus, replicated state, failover and leases behind one step function.
//!
//! `core` holds `Controller`, whose step takes inputs and the time and hands out effects; `effects`
//! is its boundary. Its methods stand in a module a job: `committed_entries`, `leader_state`,
//! `membership`, `failover_driver`, `heartbeats`, `pooler_subscriptions`, `lease_renewals`,
//! `admin_handler` and `status`. None of these knows a socket, thread, clock or file. `process`,
//! `event_loop` and `transport` run the step in the program; the simulation and the tests run it
//! in virtual time.
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
