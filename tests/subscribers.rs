//! Nodes and controllers as processes: what a node keeps of versions, and what a leader keeps of nodes.
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
/// A node says which version it has, and is taken in.
fn welcome(at: &TcpListener) -> (TcpStream, Revision) {
    let (mut stream, _) = at.accept().expect("a node");
    stream.set_read_timeout(Some(Duration::from_secs(5))).expect("timeout");
    let Ok(Frame::Pooler(ToController::Hello { revision, .. })) = receive(&mut stream) else {
        panic!("no hello");
    };
    tell(&mut stream, ToPooler::Welcome { controllers: Vec::new() });
    (stream, revision)
}
fn tell(to: &mut TcpStream, message: ToPooler) {
    send(to, &Frame::Controller(message)).expect("sent");
}
/// The node asks for the whole, and has handled all that was told before.
fn wait_for_whole(stream: &mut TcpStream) {
    let begun = Instant::now();
    while !matches!(
        receive(stream).expect("a frame"),
        Frame::Pooler(ToController::RequestFullTable)
    ) {
        assert!(begun.elapsed() < Duration::from_secs(5), "took a change it has no base for");
    }
}

/// An old leader that froze and thawed, or one that was cut off, may bring what it has: a node stays
/// with the newest, and says so to the next leader.
#[test]
fn a_version_in_force_at_a_node_never_goes_back() {
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
        let has = || status(ready)["revision"].as_u64();
        let whole = |route_table: &RouteTable| ToPooler::RouteTable(Box::new(route_table.clone()));
        let changed = |from: &RouteTable, to: &RouteTable| {
            ToPooler::RouteTableDelta(Box::new(to.delta_from(from)))
        };

        let (mut link, had) = welcome(&leader);
        assert_eq!(had, Revision(0), "{role}");
        tell(&mut link, ToPooler::Directory(Vec::new()));
        tell(&mut link, whole(&three));
        // Older ones, and a change to a newer one from a version that it does not have.
        let stale = [whole(&two), changed(&one, &two), changed(&two, &four)];
        stale.clone().into_iter().for_each(|message| tell(&mut link, message));
        wait_for_whole(&mut link);
        assert_eq!(has(), Some(3), "{role}");
        // The next leader is told what it has, and has less itself.
        drop(link);
        let (mut link, had) = welcome(&leader);
        assert_eq!(had, Revision(3), "{role}");
        tell(&mut link, ToPooler::Directory(Vec::new()));
        tell(&mut link, whole(&one));
        stale.into_iter().for_each(|message| tell(&mut link, message));
        wait_for_whole(&mut link);
        assert_eq!(has(), Some(3), "{role}");
        tell(&mut link, changed(&three, &five));
        eventually("the newest", || has() == Some(5));
    }
}

/// A greeting waits while the leader is not sure that it leads. Whoever left meanwhile is not there.
#[test]
fn a_node_that_left_before_the_leader_was_sure_is_not_taken_in() {
    let controllers = Controllers::start("early");
    let leader = controllers.leader();
    let leads = |n: u8| controllers.leads(n);
    controllers.others(leader).for_each(|n| controllers.signal(n, "-STOP"));
    eventually("doubt", || !leads(leader));
    let greet = |name: &str| {
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
    let stays = greet("stays");
    drop(greet("goes"));
    std::thread::sleep(Duration::from_millis(100));
    controllers.others(leader).for_each(|n| controllers.signal(n, "-CONT"));
    let nodes = || controllers.status(leader)["stiles"].as_array().cloned().unwrap_or_default();
    let there = |name: &str| nodes().iter().any(|n| n["node"] == name && n["connected"] == true);
    eventually("the node that stayed, or another leader", || there("stays") || !leads(leader));
    assert!(!there("goes"));
    drop(stays);
}
