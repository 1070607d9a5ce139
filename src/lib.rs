//! silvertack: a pool of client sessions on databases, and the control plane that keeps it.
//!
//! `stile` carries the sessions on every machine; `steward` keeps the configuration, the
//! directory of databases and who leads. `common` is what the two share.
pub mod common;
pub mod steward;
pub mod stile;
