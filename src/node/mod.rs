//! Code shared by the nodes that serve clients (poolers and gateways): accepting clients, and the
//! timing of a graceful shutdown. Used by their `process` modules.
pub(crate) mod grace_period;
pub(crate) mod listeners;
