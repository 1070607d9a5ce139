//! The operator: changes the configuration, at times twice on the same revision, and knows which
//! changes were acknowledged.
use super::Timeline;
use super::deployment::{Databases, Deployment, call_any};
use std::net::SocketAddr;
use std::sync::Mutex;
use std::time::{Duration, Instant};

/// What the operator knows.
#[derive(Default)]
struct Known {
    /// The newest revision, as far as known.
    current: u64,
    /// The newest revision that was acknowledged.
    acknowledged: u64,
    changes: usize,
    /// How many changes were sent; makes every body differ.
    sent: u64,
}

/// The operator of a deployment.
pub(crate) struct Operator<'a> {
    admins: Vec<SocketAddr>,
    serves_sessions: bool,
    timeline: &'a Timeline,
    known: Mutex<Known>,
}

impl<'a> Operator<'a> {
    pub(crate) fn new(deployment: &Deployment, timeline: &'a Timeline) -> Self {
        let operator = Self {
            admins: deployment.admins(),
            serves_sessions: matches!(*deployment.databases, Databases::Sessions(_)),
            timeline,
            known: Mutex::default(),
        };
        let first = operator.change_until_acknowledged(Duration::from_secs(20));
        assert!(first.is_some(), "the first configuration is accepted");
        let not_ready = deployment.await_ready(Duration::from_secs(20));
        assert!(not_ready.is_empty(), "not ready after the start: {not_ready:?}");
        operator
    }

    /// Sends one change. Returns its revision if it was acknowledged.
    pub(crate) fn change(&self) -> Option<u64> {
        let (base, revision, body) = self.next_change();
        self.send(base, revision, &body)
    }

    /// Sends two changes on the same revision at once, of which at most one may be acknowledged.
    pub(crate) fn race(&self) {
        let (base, one_revision, one) = self.next_change();
        let (_, other_revision, other) = self.next_change();
        let acknowledged = std::thread::scope(|scope| {
            let first = scope.spawn(|| self.send(base, one_revision, &one));
            let second = scope.spawn(|| self.send(base, other_revision, &other));
            [first, second].into_iter().filter_map(|sent| sent.join().expect("sent")).count()
        });
        if acknowledged > 1 {
            self.timeline
                .violation(format!("CONFIG: two changes on revision {base} were acknowledged"));
        }
    }

    /// Sends changes until one is acknowledged.
    pub(crate) fn change_until_acknowledged(&self, timeout: Duration) -> Option<u64> {
        let until = Instant::now() + timeout;
        loop {
            if let Some(revision) = self.change() {
                return Some(revision);
            }
            if Instant::now() >= until {
                return None;
            }
            std::thread::sleep(Duration::from_millis(50));
        }
    }

    /// How many changes were acknowledged.
    pub(crate) fn acknowledged(&self) -> usize {
        self.known.lock().expect("known").changes
    }

    /// Reads the configuration back.
    pub(crate) fn violations(&self) -> Vec<String> {
        let acknowledged = self.known.lock().expect("known").acknowledged;
        match self.read_revision() {
            Some(revision) if revision >= acknowledged => Vec::new(),
            read => vec![format!("CONFIG: {acknowledged} was acknowledged, read back: {read:?}")],
        }
    }

    fn read_revision(&self) -> Option<u64> {
        let response = call_any(&self.admins, "GET", "/configuration", &[], "")?;
        let configuration: serde_json::Value = serde_json::from_slice(&response.body).ok()?;
        configuration["revision"].as_u64()
    }

    /// The revision on which the next change builds, its own revision, and its body.
    fn next_change(&self) -> (u64, u64, String) {
        let mut known = self.known.lock().expect("known");
        known.sent += 1;
        let revision = known.current.max(known.acknowledged) + known.sent % 3 + 1;
        (known.current, revision, self.configuration(revision, known.sent))
    }

    fn send(&self, base: u64, revision: u64, body: &str) -> Option<u64> {
        let headers = [("If-Match", base.to_string())];
        let response = call_any(&self.admins, "PUT", "/configuration", &headers, body);
        let status = response.as_ref().map(|response| response.status);
        self.timeline.note(&format!("configuration {revision} on {base}: {status:?}"));
        if status == Some(200) {
            let mut known = self.known.lock().expect("known");
            known.changes += 1;
            known.acknowledged = known.acknowledged.max(revision);
            known.current = known.current.max(revision);
            return Some(revision);
        }
        if let Some(current) = self.read_revision() {
            self.known.lock().expect("known").current = current;
        }
        None
    }

    /// The routes that clients use, and a number of others that differs from change to change.
    fn configuration(&self, revision: u64, variant: u64) -> String {
        let (service, used) = match self.serves_sessions {
            true => ("ledger", vec![route("main", "/", "primary", "ledger")]),
            false => (
                "query",
                vec![
                    route("shop.example", "/many/", "idempotent", "query"),
                    route("shop.example", "/once/", "non_idempotent", "query"),
                ],
            ),
        };
        let unused = (0..variant % 20).map(|n| {
            route(&format!("unused-{n}.example"), "/", used_type(self.serves_sessions), service)
        });
        let routes: Vec<serde_json::Value> = used.into_iter().chain(unused).collect();
        let sync_replicas = u64::from(self.serves_sessions);
        serde_json::json!({
            "revision": revision, "route_rules": routes,
            "services": [{ "name": service, "health_check_path": "/health",
                           "max_connections": 64, "sync_replicas": sync_replicas }],
            "limits": { "txn_idle_ms": 5_000 },
        })
        .to_string()
    }
}

fn used_type(serves_sessions: bool) -> &'static str {
    if serves_sessions { "primary" } else { "idempotent" }
}

fn route(host: &str, prefix: &str, route_type: &str, service: &str) -> serde_json::Value {
    serde_json::json!({
        "name": format!("{host}{prefix}"), "hostname": host, "path_prefix": prefix,
        "route_type": route_type, "timeout_ms": 4_000, "target_latency_ms": 1_200, "priority": 1,
        "target_service": service, "max_attempts": 2, "stale_ms": 1_500,
    })
}
