//! The gateway: a reverse proxy that forwards clients' HTTP/1.1 requests to the endpoints of a
//! service. The endpoints are interchangeable database instances.
//!
//! `main` calls [`process::run`]. The controllers' leader sends the route table, the directory of
//! endpoints and this node's subset of them. Invariants: a request that isn't idempotent is never
//! sent again once it may have been executed; a response is relayed only to the request that it
//! belongs to; retries and hedged requests stay within a budget.
//!
//! Modules of pure logic, without sockets, threads or clocks: `attempts`, `demand`, `http1`,
//! `latency`, `load_balancing`, `outlier_detection`, `retry_budget` and `subsets`.
pub mod attempts;
mod client_connection;
pub mod demand;
mod endpoint_access;
pub mod endpoint_attempt;
mod forwarding;
pub mod http1;
mod latency;
mod leader_messages;
pub mod load_balancing;
pub mod outlier_detection;
pub mod process;
mod request_context;
mod request_handling;
pub mod request_sender;
mod reservation;
mod responses;
pub mod retry_budget;
mod server;
mod status;
pub mod subsets;
mod upstreams;
