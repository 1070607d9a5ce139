//! Requests of a leader process that is frozen for a while, with and without the election of
//! another leader meanwhile.
#[path = "support/processes.rs"]
mod processes;
mod support;

use processes::{Controllers, eventually};
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::time::Duration;
use support::http;

/// Listens on a free port in place of a database.
fn listen() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("its address");
    (listener, address)
}

/// Sends the leader a heartbeat of a database that is the first primary of its service.
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

/// Accepts a controller's connection to the database and reads its `CONNECT` request.
fn accept_connect(listener: &TcpListener) -> BufReader<TcpStream> {
    let (stream, _) = listener.accept().expect("a controller");
    stream.set_read_timeout(Some(Duration::from_secs(5))).expect("time-out");
    let mut reader = BufReader::new(stream);
    let mut line = String::new();
    reader.read_line(&mut line).expect("a CONNECT request");
    assert!(line.starts_with("CONNECT s "), "{line}");
    reader
}

/// Guards against requests of a former leader: one of them ended a pause that the next leader
/// relied on. The leader freezes between connecting to the database and sending its request.
#[test]
fn a_leader_that_was_frozen_and_replaced_discards_its_pending_requests() {
    let (database, address) = listen();
    let controllers = Controllers::start("stale");
    let leader = controllers.leader();
    report_primary(&controllers, leader, address);
    // The request waits for the response to CONNECT, and the leader freezes meanwhile.
    let mut connection = accept_connect(&database);
    controllers.signal(leader, "-STOP");
    connection.get_mut().write_all(b"READY I -\r\n").expect("sent");
    eventually("another leader", || controllers.others(leader).any(|n| controllers.leads(n)));
    controllers.signal(leader, "-CONT");
    let mut sent = String::new();
    connection.read_to_string(&mut sent).expect("the end of the connection");
    assert_eq!(sent, "", "the former leader sent a request");
    // The new leader serves requests.
    http(controllers.admin(controllers.leader()), "GET", "/status", &[], "").expect("it answers");
}

/// Guards against treating a wait interrupted by a signal as the result that the database can't be
/// reached.
#[test]
fn a_leader_that_was_frozen_briefly_and_still_leads_sends_its_requests() {
    let (database, address) = listen();
    let controllers = Controllers::start("interrupted");
    let leader = controllers.leader();
    report_primary(&controllers, leader, address);
    let mut connection = accept_connect(&database);
    controllers.signal(leader, "-STOP");
    std::thread::sleep(Duration::from_millis(20));
    controllers.signal(leader, "-CONT");
    std::thread::sleep(Duration::from_millis(500));
    connection.get_mut().write_all(b"READY I -\r\n").expect("sent");
    let mut line = String::new();
    connection.read_line(&mut line).expect("a line");
    assert_eq!(line, "QUERY - DESCRIBE\r\n");
}
