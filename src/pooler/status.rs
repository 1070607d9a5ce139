//! The response body of `GET /status` of a pooler. Its keys are part of the operators' interface.
use crate::base::ids::ServiceName;
use crate::base::sync::lock;
use crate::base::time::Tick;
use crate::pooler::cluster_view::ServiceView;
use crate::pooler::pool::ConnectionPool;
use crate::pooler::server::Pooler;
use serde_json::{Value, json};
use std::sync::atomic::Ordering;

impl Pooler {
    /// Builds the response body of `GET /status`.
    pub(super) fn status(&self, now: Tick) -> Value {
        let view = lock(&self.view);
        let services: Vec<Value> = view
            .services
            .iter()
            .map(|(name, service)| service_status(name, service, now))
            .collect();
        let databases: Vec<Value> =
            view.pools.values().map(|pool| database_status(pool, now)).collect();
        json!({
            "node": self.node,
            "role": "pooler",
            "ready": self.leader.is_connected() && view.route_table.is_some(),
            "draining": self.draining.load(Ordering::Relaxed),
            "revision": view.route_table.as_ref().map(|table| table.revision),
            "sessions": lock(&self.sessions).len(),
            "sessions_allowed": self.max_sessions,
            "resting": self.parked.len(),
            "denied": self.denied.load(Ordering::Relaxed),
            "over_limit": self.over_limit.load(Ordering::Relaxed),
            "services": services,
            "databases": databases,
        })
    }
}

fn service_status(name: &ServiceName, service: &ServiceView, now: Tick) -> Value {
    let lease = service.lease.active(now);
    json!({
        "service": name,
        "term": lease.as_ref().map(|lease| lease.term),
        "primary": lease.as_ref().map(|lease| lease.primary),
        "lease_left_ms": service.lease.remaining_ms(now),
        "connections_allowed": service.quota.applied_limit(),
        "highest": service.highest_commit.map(|position| position.to_string()),
    })
}

fn database_status(pool: &ConnectionPool, now: Tick) -> Value {
    let status = pool.status();
    json!({
        "id": pool.id,
        "service": pool.service,
        "address": pool.address,
        "zone": pool.zone,
        "open": status.open,
        "idle": status.idle,
        "waiting": status.waiting,
        "draining": status.draining,
        "down": pool.is_down(now),
    })
}
