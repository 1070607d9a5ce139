//! What a node is told: its settings file, the operator's configuration, and the directory's entries.
pub mod configuration;
pub mod directory;
pub mod route_table;
pub mod settings;
