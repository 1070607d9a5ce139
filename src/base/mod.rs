//! Basic types and helpers for all other modules, without dependencies on them.
pub mod errors;
pub mod ids;
pub mod logging;
pub mod signals;
pub mod sync;
pub mod time;
pub mod worker_pool;
