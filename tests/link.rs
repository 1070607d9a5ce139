//! A node's link to the leader, against stewards that are played here.
use silvertack::common::ids::{NodeName, Revision};
use silvertack::common::link::{Follower, Link};
use silvertack::common::peer::{Frame, ToSteward, ToStile, receive, send};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::time::Duration;

struct Node;
impl Follower for Node {
    fn hello(&self) -> ToSteward {
        let node = NodeName::from("n");
        ToSteward::Hello { node, life: 1, revision: Revision(0), zone: "here".into() }
    }
    fn linked(&self) {}
    fn begin(&self) {}
    fn hear(&self, _: ToStile) {}
}

/// Takes in a node that says who it is, and tells it of these stewards.
fn welcome(at: &TcpListener, stewards: Vec<SocketAddr>) -> TcpStream {
    let (mut stream, _) = at.accept().expect("a node");
    stream.set_read_timeout(Some(Duration::from_secs(5))).expect("timeout");
    let hello = receive(&mut stream).expect("a frame");
    assert!(matches!(hello, Frame::Stile(ToSteward::Hello { .. })));
    send(&mut stream, &Frame::Steward(ToStile::Welcome { stewards })).expect("sent");
    stream
}

#[test]
fn a_node_that_loses_its_leader_looks_among_the_stewards_of_now() {
    let listeners: Vec<_> =
        (0..2).map(|_| TcpListener::bind("127.0.0.1:0").expect("a port")).collect();
    let at: Vec<_> = listeners.iter().map(|l| l.local_addr().expect("address")).collect();
    let link = Arc::new(Link::new("test", vec![at[0]]));
    std::thread::spawn(move || link.keep(&Node));
    // The second joined after the node was welcomed, and the first goes dark.
    let mut first = welcome(&listeners[0], vec![at[0]]);
    let all = ToStile::Welcome { stewards: at.clone() };
    send(&mut first, &Frame::Steward(all)).expect("sent");
    std::thread::sleep(Duration::from_millis(100));
    drop(first);
    welcome(&listeners[1], at);
}
