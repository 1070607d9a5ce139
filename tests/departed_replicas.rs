//! Controller processes and a replica that left the directory: what they conclude from its
//! connections.
#[path = "support/processes.rs"]
mod processes;
mod support;

use processes::{Controllers, eventually};
use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};
use support::http;

/// How a database treats a connection after it accepted it.
#[derive(Clone, Copy, PartialEq)]
enum Behavior {
    /// It answers every request; the text is its description of itself.
    Answers(&'static str),
    /// It closes the connection after the first line.
    ClosesAfterConnect,
}

/// A database that counts its connections.
struct Database {
    address: SocketAddr,
    connections: Arc<AtomicUsize>,
}

fn serve(mut stream: TcpStream, behavior: Behavior) -> std::io::Result<()> {
    let mut reader = BufReader::new(stream.try_clone()?);
    let mut line = String::new();
    reader.read_line(&mut line)?;
    let Behavior::Answers(description) = behavior else { return Ok(()) };
    stream.write_all(b"READY I 1.0\r\n")?;
    loop {
        line.clear();
        if reader.read_line(&mut line)? == 0 {
            return Ok(());
        }
        stream
            .write_all(format!("ROW {description}\r\nCOMPLETE -\r\nREADY I 1.0\r\n").as_bytes())?;
    }
}

impl Database {
    fn start(behavior: Behavior) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let address = listener.local_addr().expect("its address");
        let connections = Arc::new(AtomicUsize::new(0));
        let counted = Arc::clone(&connections);
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                counted.fetch_add(1, Ordering::SeqCst);
                std::thread::spawn(move || serve(stream, behavior));
            }
        });
        Self { address, connections }
    }

    fn connections(&self) -> usize {
        self.connections.load(Ordering::SeqCst)
    }

    fn send_heartbeat(&self, controller: SocketAddr, id: &str, role: &str) {
        let body = serde_json::json!({
            "target_service": "s", "address": self.address, "zone": "here", "revision": "v1",
            "capacity": 7, "lifecycle_state": "available", "warmup_left_ms": 0,
            "database_role": role, "sequence": 1,
        });
        let path = format!("/instances/{id}");
        let answer = http(controller, "PUT", &path, &[], &body.to_string());
        assert_eq!(answer.expect("answered").0, 200);
    }
}

/// Guards against taking a connection that breaks after it was accepted as the end of a departed
/// replica: it may still receive commits, and was forgotten (review/6).
#[test]
fn a_departed_replica_whose_connection_breaks_is_probed_again() {
    let controllers = Controllers::start("departed");
    let leader = controllers.admin(controllers.leader());
    let configuration = r#"{"revision":1,"route_rules":[{"name":"r","hostname":"h",
        "route_type":"primary","timeout_ms":1000,"target_latency_ms":250,"priority":1,
        "target_service":"s"}],"services":[{"name":"s","max_connections":8,"sync_replicas":1}]}"#;
    let put = http(leader, "PUT", "/configuration", &[("If-Match", "0")], configuration);
    let (status, text) = put.expect("answered");
    assert_eq!(status, 200, "{text}");
    let primary = Database::start(Behavior::Answers("primary 1 1.0 1 0 0 1"));
    let replica = Database::start(Behavior::ClosesAfterConnect);
    primary.send_heartbeat(leader, "i0", "primary");
    eventually("a recorded primary", || {
        let status = controllers.status(controllers.leader());
        status["services"][0]["primary"] == "i0" && primary.connections() > 0
    });
    replica.send_heartbeat(leader, "i1", "replica");
    let (status, _) = http(leader, "DELETE", "/instances/i1", &[], "").expect("answered");
    assert_eq!(status, 200);
    // The leader has just recorded the primary, so wait for the first probe of the replica.
    let before = replica.connections();
    eventually("the first probe", || replica.connections() > before);
    let (first, start) = (replica.connections(), Instant::now());
    while replica.connections() < first + 3 {
        let waited = start.elapsed();
        assert!(waited < Duration::from_secs(5), "no further probe within {waited:?}");
        std::thread::sleep(Duration::from_millis(20));
    }
}
