//! What a node is configured with: its settings file, the operator's configuration, the form of it
//! that nodes receive, and the entries of the directory of databases.
//!
//! All roles read these types. Keys of JSON and TOML documents are the names of the fields; the
//! types that are sent to nodes are encoded by the order of their fields.
pub mod configuration;
pub mod directory;
pub mod route_table;
pub mod settings;
