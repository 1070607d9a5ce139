//! Subscriptions of poolers and gateways (nodes) to the leader, with real processes: route table
//! revisions at the nodes, and connected nodes at the leader.
#[path = "support/processes.rs"]
mod processes;
mod support;

use processes::{Controllers, Folder, Process, eventually, status};
use silvertack::base::ids::{NodeName, Revision};
use silvertack::config::configuration::Configuration;
use silvertack::config::route_table::RouteTable;
use silvertack::net::rpc::pooler_messages::{ToController, ToPooler};
use silvertack::net::rpc::{Frame, receive, send};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::time::{Duration, Instant};
use support::free_port;

fn route_table(revision: u64, hosts: &[&str]) -> RouteTable {
    let route = |host: &&str| {
        serde_json::json!({
            "name": host, "hostname": host, "path_prefix": "/", "route_type": "idempotent",
            "timeout_ms": 2000, "target_latency_ms": 250, "priority": 1, "target_service": "s",
        })
    };
    let config = serde_json::json!({
        "revision": revision,
        "route_rules": hosts.iter().map(route).collect::<Vec<_>>(),
        "services": [{ "name": "s", "max_connections": 16 }], "limits": {},
    });
    RouteTable::of(&Configuration::read(config.to_string().as_bytes()).expect("configuration"))
}
/// Accepts a node's connection as the leader. Returns the connection and the node's route table
/// revision.
fn accept_node(listener: &TcpListener) -> (TcpStream, Revision) {
    let (mut stream, _) = listener.accept().expect("a node");
    stream.set_read_timeout(Some(Duration::from_secs(5))).expect("timeout");
    let Ok(Frame::Pooler(ToController::Hello { revision, .. })) = receive(&mut stream) else {
        panic!("the first frame is not a Hello");
    };
    send_to_node(&mut stream, ToPooler::Welcome { controllers: Vec::new() });
    (stream, revision)
}
fn send_to_node(stream: &mut TcpStream, message: ToPooler) {
    send(stream, &Frame::Controller(message)).expect("sent");
}
/// Waits until the node requests the full route table, which it does after handling all earlier
/// messages.
fn wait_for_full_table_request(stream: &mut TcpStream) {
    let started = Instant::now();
    while !matches!(
        receive(stream).expect("a frame"),
        Frame::Pooler(ToController::RequestFullTable)
    ) {
        assert!(
            started.elapsed() < Duration::from_secs(5),
            "the node did not request the full table after a delta without its base"
        );
    }
}

/// A former leader that was frozen or partitioned may send outdated route tables. A node keeps the
/// newest one and reports its revision to the next leader.
#[test]
fn the_route_table_revision_of_a_node_never_decreases() {
    for role in ["gateway", "pooler"] {
        let ports: Vec<u16> = (0..4).map(|_| free_port()).collect();
        let at = |port: u16| SocketAddr::from(([127, 0, 0, 1], port));
        let (peer, ready) = (at(ports[0]), at(ports[1]));
        let leader = TcpListener::bind(peer).expect("a port");
        let folder = Folder::new(role, ports[0]);
        let settings = format!(
            "node_name = \"n\"\nip_address = \"127.0.0.1\"\nzone = \"here\"\nport_range = [{p}, {p}]\n\
             seed_nodes = [\"{}\"]\nrollout = \"api\"\n[listeners]\nreadiness = \"{ready}\"\nfrontend = \"{}\"\n",
            at(ports[2]),
            at(ports[3]),
            p = ports[0],
        );
        let _node = Process::run(role, &folder.write("node.toml", &settings));
        let (one, two, three) =
            (route_table(1, &["a"]), route_table(2, &["a", "b"]), route_table(3, &["b"]));
        let (four, five) = (route_table(4, &["c"]), route_table(5, &["b", "c"]));
        let applied_revision = || status(ready)["revision"].as_u64();
        let full_table =
            |route_table: &RouteTable| ToPooler::RouteTable(Box::new(route_table.clone()));
        let delta = |from: &RouteTable, to: &RouteTable| {
            ToPooler::RouteTableDelta(Box::new(to.delta_from(from)))
        };

        let (mut connection, node_revision) = accept_node(&leader);
        assert_eq!(node_revision, Revision(0), "{role}");
        send_to_node(&mut connection, ToPooler::Directory(Vec::new()));
        send_to_node(&mut connection, full_table(&three));
        // Older tables, and a delta to a newer one from a revision that the node doesn't have.
        let stale = [full_table(&two), delta(&one, &two), delta(&two, &four)];
        stale.clone().into_iter().for_each(|message| send_to_node(&mut connection, message));
        wait_for_full_table_request(&mut connection);
        assert_eq!(applied_revision(), Some(3), "{role}");
        // The node reports its revision to the next leader, which has an older one itself.
        drop(connection);
        let (mut connection, node_revision) = accept_node(&leader);
        assert_eq!(node_revision, Revision(3), "{role}");
        send_to_node(&mut connection, ToPooler::Directory(Vec::new()));
        send_to_node(&mut connection, full_table(&one));
        stale.into_iter().for_each(|message| send_to_node(&mut connection, message));
        wait_for_full_table_request(&mut connection);
        assert_eq!(applied_revision(), Some(3), "{role}");
        send_to_node(&mut connection, delta(&three, &five));
        eventually("the newest revision", || applied_revision() == Some(5));
    }
}

/// The leader defers a `Hello` while its leadership is unconfirmed. A node that disconnects
/// meanwhile must not become a subscriber, as nothing would end its leases.
#[test]
fn a_node_that_disconnects_before_leadership_is_confirmed_is_not_subscribed() {
    let controllers = Controllers::start("early");
    let leader = controllers.leader();
    let leads = |n: u8| controllers.leads(n);
    controllers.others(leader).for_each(|n| controllers.signal(n, "-STOP"));
    eventually("unconfirmed leadership", || !leads(leader));
    let send_hello = |name: &str| {
        let mut stream = TcpStream::connect(controllers.peer(leader)).expect("the leader");
        let zone = "here".into();
        let hello = ToController::Hello {
            node: NodeName::from(name),
            incarnation: 1,
            revision: Revision(0),
            zone,
        };
        send(&mut stream, &Frame::Pooler(hello)).expect("sent");
        stream
    };
    let remaining = send_hello("stays");
    drop(send_hello("goes"));
    std::thread::sleep(Duration::from_millis(100));
    controllers.others(leader).for_each(|n| controllers.signal(n, "-CONT"));
    let nodes = || controllers.status(leader)["stiles"].as_array().cloned().unwrap_or_default();
    let is_connected =
        |name: &str| nodes().iter().any(|n| n["node"] == name && n["connected"] == true);
    eventually("subscription of the connected node, or another leader", || {
        is_connected("stays") || !leads(leader)
    });
    assert!(!is_connected("goes"));
    drop(remaining);
}
