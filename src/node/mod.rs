//! What the nodes that serve clients, poolers and gateways, have in common: how they accept
//! clients, and how they time their graceful shutdown. Called by the `process` module of each.
pub(crate) mod grace_period;
pub(crate) mod listeners;
