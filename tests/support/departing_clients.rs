//! A gateway, and clients of it that leave before their response.
#![allow(dead_code, reason = "each test file uses a part of it")]
#[path = "departures.rs"]
mod departures;

use crate::site::{Site, eventually};
use crate::stand_in_endpoints::StandInEndpoints;
pub(crate) use departures::{ALLOWED_DELAY, ALLOWED_LATE_SENDS, Departed, Departure};
use std::io::{Read, Write};
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

pub(crate) fn fresh_id() -> String {
    static NEXT: AtomicU64 = AtomicU64::new(1);
    format!("c{}", NEXT.fetch_add(1, Ordering::SeqCst))
}

/// Starts a gateway for one service. The route `/hedged/` hedges requests after a second; the others
/// do so too late for these tests. Requests wait for an endpoint for two seconds at most, but on
/// `/hedged/`.
pub(crate) fn start_gateway(endpoints: &Arc<StandInEndpoints>) -> Site {
    let route = |prefix: &str, route_type: &str, target_latency_ms: u64| {
        serde_json::json!({
            "name": prefix, "hostname": "shop.example", "path_prefix": prefix,
            "route_type": route_type, "timeout_ms": 8_000, "target_latency_ms": target_latency_ms,
            "priority": 1, "target_service": "query", "max_attempts": 4,
        })
    };
    let configuration = serde_json::json!({
        "revision": 1,
        "route_rules": [
            route("/many/", "idempotent", 8_000),
            route("/hedged/", "idempotent", 2_000),
            route("/once/", "non_idempotent", 8_000),
            route("/pack/", "download", 8_000),
        ],
        "services": [{ "name": "query", "max_connections": 64 }],
    })
    .to_string();
    let endpoint_count = endpoints.addresses.len();
    let site = Site::start("gateway", "rollout = \"api\"", &configuration, |admin| {
        eventually("the heartbeats are accepted", || endpoints.send_heartbeats(admin, 1));
    });
    eventually("the gateway knows all endpoints", || {
        site.status()["databases"].as_array().is_some_and(|listed| listed.len() == endpoint_count)
    });
    site
}

/// A client connection with one request, or several pipelined ones.
pub(crate) struct Client {
    pub(crate) stream: TcpStream,
    pub(crate) ids: Vec<String>,
}

impl Client {
    pub(crate) fn open(site: &Site) -> Self {
        let stream = TcpStream::connect(site.frontend).expect("frontend");
        stream.set_nodelay(true).expect("option");
        stream.set_read_timeout(Some(Duration::from_secs(10))).expect("timeout");
        Self { stream, ids: Vec::new() }
    }

    /// Opens a connection and sends one request.
    pub(crate) fn send(site: &Site, path: &str) -> Self {
        let mut client = Self::open(site);
        client.pipeline(path);
        client
    }

    /// Sends one more request without waiting for the response to the one before.
    pub(crate) fn pipeline(&mut self, path: &str) {
        let id = fresh_id();
        let head = format!(
            "GET {path} HTTP/1.1\r\nHost: shop.example\r\nRequest-Id: {id}\r\nDeadline-Ms: 8000\r\n\r\n"
        );
        self.stream.write_all(head.as_bytes()).expect("sent");
        self.ids.push(id);
    }

    /// Reads until `text` was received; false if the connection ends before.
    pub(crate) fn receives(&mut self, text: &str) -> bool {
        let (mut received, mut chunk) = (Vec::new(), [0; 4096]);
        while !String::from_utf8_lossy(&received).contains(text) {
            match self.stream.read(&mut chunk) {
                Ok(count) if count > 0 => received.extend_from_slice(&chunk[..count]),
                _ => return false,
            }
        }
        true
    }

    pub(crate) fn leave(self, departure: Departure) -> Departed {
        Departed::leave(self.stream, self.ids, departure)
    }
}

/// Waits until the gateway has no request in flight at any endpoint, and returns its status.
pub(crate) fn await_no_request_in_flight(site: &Site) -> serde_json::Value {
    let mut status = serde_json::Value::Null;
    eventually("no request is in flight", || {
        status = site.status();
        let listed = status["databases"].as_array().expect("databases");
        listed.iter().all(|endpoint| endpoint["under_way"] == 0)
    });
    status
}
