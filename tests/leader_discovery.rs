//! A node's connection to the leader, against controllers that are played here.
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

/// Takes in a node that says who it is, and tells it of these controllers.
fn welcome(at: &TcpListener, controllers: Vec<SocketAddr>) -> TcpStream {
    let (mut stream, _) = at.accept().expect("a node");
    stream.set_read_timeout(Some(Duration::from_secs(5))).expect("timeout");
    let hello = receive(&mut stream).expect("a frame");
    assert!(matches!(hello, Frame::Pooler(ToController::Hello { .. })));
    send(&mut stream, &Frame::Controller(ToPooler::Welcome { controllers })).expect("sent");
    stream
}

#[test]
fn a_node_that_loses_its_leader_looks_among_the_controllers_of_now() {
    let listeners: Vec<_> =
        (0..2).map(|_| TcpListener::bind("127.0.0.1:0").expect("a port")).collect();
    let at: Vec<_> = listeners.iter().map(|l| l.local_addr().expect("address")).collect();
    let connection = Arc::new(LeaderConnection::new("test", vec![at[0]]));
    std::thread::spawn(move || connection.run(&Node));
    // The second joined after the node was welcomed, and the first goes dark.
    let mut first = welcome(&listeners[0], vec![at[0]]);
    let all = ToPooler::Welcome { controllers: at.clone() };
    send(&mut first, &Frame::Controller(all)).expect("sent");
    std::thread::sleep(Duration::from_millis(100));
    drop(first);
    welcome(&listeners[1], at);
}

/// What a controller does with a node.
#[derive(Clone, Copy)]
enum Says {
    /// Frozen, or elected and not yet sure of it.
    Nothing,
    Elsewhere,
    Welcome,
}
fn controller(says: Says, after: Duration, leader: SocketAddr, listener: TcpListener) {
    std::thread::spawn(move || {
        for mut stream in listener.incoming().flatten() {
            std::thread::spawn(move || {
                let hello = receive(&mut stream);
                std::thread::sleep(after);
                let answer = match says {
                    Says::Nothing => return std::thread::sleep(Duration::from_secs(60)),
                    Says::Elsewhere => ToPooler::NotLeader(Some(leader)),
                    Says::Welcome => ToPooler::Welcome { controllers: Vec::new() },
                };
                let _ = hello.and_then(|_| send(&mut stream, &Frame::Controller(answer)));
                // Open for as long as the node wants it.
                while receive(&mut stream).is_ok() {}
            });
        }
    });
}
const CROWDED: Duration = Duration::from_millis(450);
/// Over a congested link every connection takes this long.
fn crowded(to: SocketAddr, within: Duration) -> io::Result<TcpStream> {
    std::thread::sleep(CROWDED.min(within));
    if within < CROWDED {
        return Err(io::ErrorKind::TimedOut.into());
    }
    TcpStream::connect(to)
}
fn at_once(to: SocketAddr, _: Duration) -> io::Result<TcpStream> {
    TcpStream::connect(to)
}

/// A version counts within three seconds at a node in touch, the way to the leader with it.
#[test]
fn a_node_finds_the_leader_behind_a_crowded_link_and_among_silent_controllers() {
    use Says::*;
    let none = Duration::ZERO;
    let cases = [
        ("crowded", CROWDED, [Elsewhere, Elsewhere, Elsewhere, Elsewhere, Welcome]),
        ("silent", none, [Nothing, Nothing, Nothing, Nothing, Welcome]),
        ("both", CROWDED, [Welcome, Elsewhere, Nothing, Nothing, Elsewhere]),
    ];
    for (name, after, all) in cases {
        let listeners = all.map(|_| TcpListener::bind("127.0.0.1:0").expect("a port"));
        let at: Vec<_> = listeners.iter().map(|l| l.local_addr().expect("address")).collect();
        let leads = all.iter().position(|s| matches!(s, Welcome)).expect("one leads");
        for (says, listener) in all.into_iter().zip(listeners) {
            controller(says, after, at[leads], listener);
        }
        let connect = if after == none { at_once } else { crowded };
        let connection = Arc::new(LeaderConnection::with_connect("test", at, connect));
        let keeping = Arc::clone(&connection);
        let begun = Instant::now();
        std::thread::spawn(move || keeping.run(&Node));
        while !connection.is_connected() {
            assert!(begun.elapsed() < Duration::from_millis(2_500), "{name}: no connection");
            std::thread::sleep(Duration::from_millis(5));
        }
    }
}

#[test]
fn tries_go_on_side_by_side() {
    let at = |n: u16| SocketAddr::from(([10, 0, 0, 1], n));
    let mut discovery = LeaderDiscovery::new(vec![at(0), at(1), at(2)]);
    discovery.restart(None, Tick(1_000));
    // Now, what ended with which hint, and what is tried then.
    type Row = (u64, Option<(u16, Option<u16>)>, Option<u16>);
    let rows: [Row; 17] = [
        (1_000, None, Some(1)),
        (1_149, None, None),
        (1_150, None, Some(2)),
        // A name that is new is tried at once.
        (1_200, Some((2, Some(9))), Some(9)),
        // One that is being tried is tried once more, at the next turn; a third time it is not.
        (1_250, Some((5, Some(9))), None),
        (1_350, None, Some(9)),
        (1_400, Some((5, Some(9))), None),
        (1_500, None, Some(0)),
        // While another may answer yet, a refusal doesn't hasten the next turn.
        (1_510, Some((0, None)), None),
        (1_650, None, Some(1)),
        (1_800, None, Some(2)),
        (1_900, Some((9, None)), None),
        (1_900, Some((9, None)), None),
        (1_900, Some((1, None)), None),
        (1_900, Some((1, None)), None),
        // The last that was open: the next at once, and after a round with a pause.
        (1_900, Some((2, Some(2))), Some(0)),
        (1_900, Some((0, None)), None),
    ];
    for (row, (now, ended, tried)) in rows.into_iter().enumerate() {
        if let Some((to, hint)) = ended {
            discovery.attempt_failed(at(to), hint.map(at), Tick(now));
        }
        assert_eq!(discovery.next_attempt(Tick(now)), tried.map(at), "row {row}");
    }
    assert_eq!(discovery.next_attempt(Tick(1_979)), None);
    assert_eq!(discovery.next_attempt(Tick(1_980)), Some(at(1)));
    // A new search waits for the end of the turn, and for nothing else of the old one.
    discovery.restart(Some(at(1)), Tick(2_000));
    assert_eq!(discovery.next_attempt(Tick(2_129)), None);
    assert_eq!(discovery.next_attempt(Tick(2_130)), Some(at(1)));
}
