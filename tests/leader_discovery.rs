//! The connection of a node to the leader, tested with simulated controllers.
use silvertack::base::ids::{NodeName, Revision};
use silvertack::base::time::Tick;
use silvertack::net::leader_connection::{LeaderConnection, LeaderSubscriber};
use silvertack::net::leader_discovery::LeaderDiscovery;
use silvertack::net::rpc::pooler_messages::{ToController, ToPooler};
use silvertack::net::rpc::{Frame, receive, send};
use std::io;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::time::{Duration, Instant};

struct Node;
impl LeaderSubscriber for Node {
    fn hello(&self) -> ToController {
        let node = NodeName::from("n");
        ToController::Hello { node, incarnation: 1, revision: Revision(0), zone: "here".into() }
    }
    fn on_connected(&self) {}
    fn on_ready(&self) {}
    fn on_message(&self, _: ToPooler) {}
}

/// Accepts a connection, expects a `Hello` and responds with a `Welcome` that lists these
/// controllers.
fn welcome(at: &TcpListener, controllers: Vec<SocketAddr>) -> TcpStream {
    let (mut stream, _) = at.accept().expect("a node");
    stream.set_read_timeout(Some(Duration::from_secs(5))).expect("timeout");
    let hello = receive(&mut stream).expect("a frame");
    assert!(matches!(hello, Frame::Pooler(ToController::Hello { .. })));
    send(&mut stream, &Frame::Controller(ToPooler::Welcome { controllers })).expect("sent");
    stream
}

#[test]
fn after_losing_its_leader_a_node_contacts_the_current_members() {
    let listeners: Vec<_> =
        (0..2).map(|_| TcpListener::bind("127.0.0.1:0").expect("a port")).collect();
    let at: Vec<_> = listeners.iter().map(|l| l.local_addr().expect("address")).collect();
    let connection = Arc::new(LeaderConnection::new("test", vec![at[0]]));
    std::thread::spawn(move || connection.run(&Node));
    // The second controller joins after the node has connected to the first, which then
    // disconnects.
    let mut first = welcome(&listeners[0], vec![at[0]]);
    let all = ToPooler::Welcome { controllers: at.clone() };
    send(&mut first, &Frame::Controller(all)).expect("sent");
    std::thread::sleep(Duration::from_millis(100));
    drop(first);
    welcome(&listeners[1], at);
}

/// How a controller responds to a `Hello`.
#[derive(Clone, Copy)]
enum HelloResponse {
    /// Doesn't respond: frozen, or elected but not yet confirmed as the leader.
    Silence,
    NotLeader,
    Welcome,
}
fn controller(response: HelloResponse, delay: Duration, leader: SocketAddr, listener: TcpListener) {
    std::thread::spawn(move || {
        for mut stream in listener.incoming().flatten() {
            std::thread::spawn(move || {
                let hello = receive(&mut stream);
                std::thread::sleep(delay);
                let message = match response {
                    HelloResponse::Silence => return std::thread::sleep(Duration::from_secs(60)),
                    HelloResponse::NotLeader => ToPooler::NotLeader(Some(leader)),
                    HelloResponse::Welcome => ToPooler::Welcome { controllers: Vec::new() },
                };
                let _ = hello.and_then(|_| send(&mut stream, &Frame::Controller(message)));
                // Keep the connection open until the node closes it.
                while receive(&mut stream).is_ok() {}
            });
        }
    });
}
const CONGESTED_CONNECT_TIME: Duration = Duration::from_millis(450);
/// Connects like over a congested link, where it takes [`CONGESTED_CONNECT_TIME`].
fn connect_over_congested_link(to: SocketAddr, timeout: Duration) -> io::Result<TcpStream> {
    std::thread::sleep(CONGESTED_CONNECT_TIME.min(timeout));
    if timeout < CONGESTED_CONNECT_TIME {
        return Err(io::ErrorKind::TimedOut.into());
    }
    TcpStream::connect(to)
}
fn connect_immediately(to: SocketAddr, _: Duration) -> io::Result<TcpStream> {
    TcpStream::connect(to)
}

/// A configuration must be in force within three seconds at every connected node, including the
/// time to find the leader.
#[test]
fn a_node_finds_the_leader_over_a_congested_link_and_among_unresponsive_controllers() {
    use HelloResponse::*;
    let none = Duration::ZERO;
    let cases = [
        (
            "congested",
            CONGESTED_CONNECT_TIME,
            [NotLeader, NotLeader, NotLeader, NotLeader, Welcome],
        ),
        ("silent", none, [Silence, Silence, Silence, Silence, Welcome]),
        ("both", CONGESTED_CONNECT_TIME, [Welcome, NotLeader, Silence, Silence, NotLeader]),
    ];
    for (name, delay, all) in cases {
        let listeners = all.map(|_| TcpListener::bind("127.0.0.1:0").expect("a port"));
        let at: Vec<_> = listeners.iter().map(|l| l.local_addr().expect("address")).collect();
        let leader_index = all.iter().position(|s| matches!(s, Welcome)).expect("a leader");
        for (response, listener) in all.into_iter().zip(listeners) {
            controller(response, delay, at[leader_index], listener);
        }
        let connect = if delay == none { connect_immediately } else { connect_over_congested_link };
        let connection = Arc::new(LeaderConnection::with_connect("test", at, connect));
        let runner = Arc::clone(&connection);
        let start = Instant::now();
        std::thread::spawn(move || runner.run(&Node));
        while !connection.is_connected() {
            assert!(start.elapsed() < Duration::from_millis(2_500), "{name}: no connection");
            std::thread::sleep(Duration::from_millis(5));
        }
    }
}

#[test]
fn attempts_to_different_controllers_run_concurrently() {
    let at = |n: u16| SocketAddr::from(([10, 0, 0, 1], n));
    let mut discovery = LeaderDiscovery::new(vec![at(0), at(1), at(2)]);
    discovery.restart(None, Tick(1_000));
    // (time, the attempt that failed with the leader it named, the controller contacted next)
    type Row = (u64, Option<(u16, Option<u16>)>, Option<u16>);
    let rows: [Row; 17] = [
        (1_000, None, Some(1)),
        (1_149, None, None),
        (1_150, None, Some(2)),
        // A newly named leader is contacted immediately.
        (1_200, Some((2, Some(9))), Some(9)),
        // A named leader with an attempt in flight is contacted once more after the interval, but
        // not a third time.
        (1_250, Some((5, Some(9))), None),
        (1_350, None, Some(9)),
        (1_400, Some((5, Some(9))), None),
        (1_500, None, Some(0)),
        // While other attempts are in flight, a failure doesn't make the next one due earlier.
        (1_510, Some((0, None)), None),
        (1_650, None, Some(1)),
        (1_800, None, Some(2)),
        (1_900, Some((9, None)), None),
        (1_900, Some((9, None)), None),
        (1_900, Some((1, None)), None),
        (1_900, Some((1, None)), None),
        // The last attempt in flight fails: the next is due immediately, and after a round with a
        // pause.
        (1_900, Some((2, Some(2))), Some(0)),
        (1_900, Some((0, None)), None),
    ];
    for (row, (now, failed, expected)) in rows.into_iter().enumerate() {
        if let Some((to, hint)) = failed {
            discovery.attempt_failed(at(to), hint.map(at), Tick(now));
        }
        assert_eq!(discovery.next_attempt(Tick(now)), expected.map(at), "row {row}");
    }
    assert_eq!(discovery.next_attempt(Tick(1_979)), None);
    assert_eq!(discovery.next_attempt(Tick(1_980)), Some(at(1)));
    // A new search keeps the time of the next attempt and forgets the attempts in flight.
    discovery.restart(Some(at(1)), Tick(2_000));
    assert_eq!(discovery.next_attempt(Tick(2_129)), None);
    assert_eq!(discovery.next_attempt(Tick(2_130)), Some(at(1)));
}
