//! What both programs share: ids, settings, errors, the wire, peer messages, HTTP and logs.
pub mod config;
pub mod errors;
pub mod http;
pub mod ids;
pub mod logging;
pub mod peer;
pub mod settings;
pub mod signals;
pub mod wire;
