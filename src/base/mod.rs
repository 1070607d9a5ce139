//! Small types and helpers that every other module uses; depends on none of them.
pub mod errors;
pub mod ids;
pub mod logging;
pub mod signals;
pub mod sync;
pub mod time;
pub mod worker_pool;
