//! What the leading controller grants to poolers and gateways: leases on primaries, quotas of
//! connections, and subsets of databases; and the replication watermarks that it collects from them.
//!
//! The controller keeps these values while it leads and drops them when it no longer does; nothing
//! here is replicated or stored. Time is handed in; nothing here knows a socket, a clock or a file.
pub mod lease_table;
pub mod passed_on;
mod quotas;
pub mod subset_assignments;
pub mod watermarks;
