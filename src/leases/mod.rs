//! The leader's grants to poolers and gateways (leases on primaries, connection quotas, operations of
//! tenants and database subsets), and the replication watermarks that it collects from poolers.
//!
//! The leader keeps this state only while it leads; none of it is replicated or stored. The current
//! time is a parameter: the code here does no I/O and doesn't read the clock.
pub mod acknowledged_commits;
pub mod lease_table;
pub mod operation_grants;
mod quotas;
pub mod subset_assignments;
pub mod watermarks;
