//! The gateway: clients' HTTP requests passed on to databases that are all alike.
pub mod attempts;
pub mod client_connection;
pub mod forwarding;
pub mod http1;
pub mod load_balancing;
pub mod outlier_detection;
pub mod retry_budget;
pub mod server;
pub mod upstreams;
