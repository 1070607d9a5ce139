//! Code shared by the nodes that serve clients (poolers and gateways): accepting clients,
//! noticing that they leave, the operations granted for tenants, and the timing of a graceful shutdown.
pub(crate) mod client_watch;
pub(crate) mod grace_period;
pub(crate) mod listeners;
pub mod operation_allowance;
