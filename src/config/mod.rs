//! The types that configure a node: its settings file, the operator's configuration, the route
//! table that nodes receive, and the entries of the directory of databases.
//!
//! All roles use these types. In JSON and TOML documents, the names of the fields are the keys;
//! types that are sent to nodes are encoded by the order of their fields.
pub mod configuration;
pub mod directory;
pub mod route_table;
pub mod settings;
pub mod tenants;
