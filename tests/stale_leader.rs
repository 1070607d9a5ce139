//! Controllers as processes: what one still does that stood still, while another was elected.
#[path = "support/processes.rs"]
mod processes;
mod support;

use processes::{Controllers, eventually};
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::time::Duration;
use support::http;

/// A database that accepts the controllers' connections, and a platform; the test speaks for both.
fn listen() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("its address");
    (listener, address)
}

/// The database reports to the leader that it is the first primary of its service.
fn report_primary(controllers: &Controllers, leader: u8, address: SocketAddr) {
    let body = serde_json::json!({
        "target_service": "s", "address": address, "zone": "here", "revision": "v1", "capacity": 7,
        "lifecycle_state": "available", "warmup_left_ms": 0, "database_role": "primary",
        "sequence": 1,
    });
    let (status, _) =
        http(controllers.admin(leader), "PUT", "/instances/i0", &[], &body.to_string())
            .expect("answered");
    assert_eq!(status, 200);
}

/// The controller's connection to the database, once it has greeted.
fn greeted(listener: &TcpListener) -> BufReader<TcpStream> {
    let (stream, _) = listener.accept().expect("a controller");
    stream.set_read_timeout(Some(Duration::from_secs(5))).expect("time-out");
    let mut reader = BufReader::new(stream);
    let mut line = String::new();
    reader.read_line(&mut line).expect("a greeting");
    assert!(line.starts_with("CONNECT s "), "{line}");
    reader
}

/// Guards against the order of a leader that is none any more: it ended a pause that the next leader
/// relied on.
#[test]
fn a_leader_that_stood_still_gives_up_the_orders_that_it_was_about_to_send() {
    let (database, address) = listen();
    let controllers = Controllers::start("stale");
    let leader = controllers.leader();
    report_primary(&controllers, leader, address);
    // The request waits for the greeting to be answered; the leader stands still meanwhile.
    let mut waiting = greeted(&database);
    controllers.signal(leader, "-STOP");
    waiting.get_mut().write_all(b"READY I -\r\n").expect("sent");
    eventually("another leader", || controllers.others(leader).any(|n| controllers.leads(n)));
    controllers.signal(leader, "-CONT");
    let mut sent = String::new();
    waiting.read_to_string(&mut sent).expect("the end of the connection");
    assert_eq!(sent, "", "of the leader before");
    // The new leader asks in its own name.
    http(controllers.admin(controllers.leader()), "GET", "/status", &[], "").expect("it answers");
}

/// Guards against an interrupted wait that counts as the answer of a database: that it can't be reached.
#[test]
fn a_leader_that_was_interrupted_and_still_leads_sends_its_orders() {
    let (database, address) = listen();
    let controllers = Controllers::start("interrupted");
    let leader = controllers.leader();
    report_primary(&controllers, leader, address);
    let mut waiting = greeted(&database);
    controllers.signal(leader, "-STOP");
    std::thread::sleep(Duration::from_millis(20));
    controllers.signal(leader, "-CONT");
    std::thread::sleep(Duration::from_millis(500));
    waiting.get_mut().write_all(b"READY I -\r\n").expect("sent");
    let mut line = String::new();
    waiting.read_line(&mut line).expect("a line");
    assert_eq!(line, "QUERY - DESCRIBE\r\n");
}
