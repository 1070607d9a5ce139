//! What the leader grants to poolers and gateways, as values that are kept while it leads.
pub mod lease_table;
pub mod subset_assignments;
pub mod watermarks;
