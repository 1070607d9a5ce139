//! The JSON status document of a gateway. Its keys are an external interface and must not change.
use crate::base::ids::InstanceId;
use crate::base::sync::lock;
use crate::base::time::Tick;
use crate::gateway::server::Gateway;
use crate::gateway::upstreams::Endpoint;
use serde_json::{Value, json};
use std::sync::atomic::{AtomicU64, Ordering};

impl Gateway {
    /// The status document, which `/status` serves.
    pub(super) fn status(&self) -> Value {
        let now = Tick::now();
        let upstreams = lock(&self.upstreams);
        let databases: Vec<Value> = (upstreams.endpoints.iter())
            .map(|(id, endpoint)| endpoint_status(id, endpoint, now))
            .collect();
        let value = |counter: &AtomicU64| counter.load(Ordering::Relaxed);
        json!({
            "node": self.node,
            "role": "gateway",
            "ready": self.is_ready(),
            "draining": self.draining.load(Ordering::Relaxed),
            "linked": self.leader.is_connected(),
            "revision": upstreams.route_table.as_ref().map(|table| table.revision),
            "connections": lock(&self.clients).len(),
            "connections_allowed": self.max_clients,
            "resting": self.idle_clients.len(),
            "requests": value(&self.counters.requests),
            "sent_again": value(&self.counters.retries),
            "refused": value(&self.counters.refused),
            "lost": value(&self.counters.lost),
            "client_closed": value(&self.counters.client_closed),
            "denied": value(&self.counters.denied),
            "over_limit": value(&self.counters.over_limit),
            "databases": databases,
        })
    }
}

fn endpoint_status(id: &InstanceId, endpoint: &Endpoint, now: Tick) -> Value {
    json!({
        "id": id,
        "service": endpoint.service,
        "address": endpoint.address,
        "zone": endpoint.zone,
        "capacity": endpoint.capacity,
        "draining": endpoint.draining,
        "under_way": endpoint.in_flight,
        "idle": endpoint.idle_connections.len(),
        "left_out": endpoint.outlier_detector.is_ejected(now),
        "answers_after_ms": endpoint.outlier_detector.latency_ms().round(),
    })
}
