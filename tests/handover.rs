//! Tests of a pooler process with the test as the leader and stand-in databases: which commits it
//! forwards to clients, also during handovers, and what it reports to the leader before it exits.
#[path = "support/processes.rs"]
mod processes;
mod support;

use processes::{Folder, Process, eventually};
use silvertack::base::ids::{DbTerm, Position, ServiceName};
use silvertack::config::configuration::Configuration;
use silvertack::config::directory::DirectoryEntry;
use silvertack::config::route_table::RouteTable;
use silvertack::net::rpc::pooler_messages::{
    Handover, LeaseGrant, PrimaryStatus, ToController, ToPooler,
};
use silvertack::net::rpc::{Frame, receive, send};
use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::Ordering;
use std::sync::mpsc::{Receiver, channel};
use std::sync::{Arc, Mutex};
use std::time::Duration;
use support::{InjectedFault, StandIn, free_port};

/// The time in ms without a reply after which a statement counts as held back.
const NO_REPLY_MS: u64 = 300;

const TERM: DbTerm = DbTerm(1);

fn at(number: u64) -> Position {
    Position { term: TERM, number }
}
fn handover(number: u64, target: &str) -> Handover {
    Handover { number, term: TERM, target: target.into() }
}

/// A simulated leader with one pooler. It answers each renewal with the current `status`, and
/// collects all other messages of the pooler.
struct Leader {
    stream: TcpStream,
    status: Arc<Mutex<PrimaryStatus>>,
    received: Receiver<ToController>,
}

fn service() -> ServiceName {
    "ledger".into()
}
fn active() -> PrimaryStatus {
    PrimaryStatus::Active { term: TERM, primary: "i-ledger-0".into() }
}

fn directory_entry(databases: &StandIn, database: usize) -> DirectoryEntry {
    DirectoryEntry {
        id: databases.id(database).as_str().into(),
        service: service(),
        address: databases.addresses[database],
        zone: "here".into(),
        draining: false,
        capacity: 7,
    }
}

impl Leader {
    fn accept(listener: &TcpListener, databases: &StandIn, sync_replicas: u32) -> Self {
        let (mut stream, _) = listener.accept().expect("the pooler");
        let Ok(Frame::Pooler(ToController::Hello { .. })) = receive(&mut stream) else {
            panic!("no hello");
        };
        let status = Arc::new(Mutex::new(active()));
        let (sender, received) = channel();
        let (mut reader, granted) = (stream.try_clone().expect("stream"), Arc::clone(&status));
        let mut writer = stream.try_clone().expect("stream");
        let mut leader = Self { stream, status, received };
        leader.send(ToPooler::Welcome { controllers: Vec::new() });
        let entry = |database| directory_entry(databases, database);
        leader.send(ToPooler::Directory((0..databases.addresses.len()).map(entry).collect()));
        leader.send(ToPooler::SyncReplicas([(service(), sync_replicas)].into()));
        leader.send(ToPooler::RouteTable(Box::new(route_table())));
        std::thread::spawn(move || {
            while let Ok(Frame::Pooler(message)) = receive(&mut reader) {
                if let ToController::RenewLeases { seq, .. } = message {
                    let status = granted.lock().expect("status").clone();
                    let grants = vec![LeaseGrant { service: service(), status, quota: 8 }];
                    let answer = ToPooler::LeaseGrants {
                        seq,
                        lease_ms: 1_800,
                        complete: false,
                        grants,
                        position_bounds: Vec::new(),
                        subset_ranges: Vec::new(),
                    };
                    if send(&mut writer, &Frame::Controller(answer)).is_err() {
                        return;
                    }
                } else if sender.send(message).is_err() {
                    return;
                }
            }
        });
        leader
    }
    fn send(&mut self, message: ToPooler) {
        send(&mut self.stream, &Frame::Controller(message)).expect("sent");
    }
    fn grant(&mut self, status: PrimaryStatus) {
        *self.status.lock().expect("status") = status;
        self.send(ToPooler::RenewNow);
    }
    fn receive(&self) -> ToController {
        self.received.recv_timeout(Duration::from_secs(5)).expect("a message")
    }
    /// Announces a handover to the pooler. Returns the highest commit in its acknowledgement.
    fn hand_over(&mut self, handover: &Handover) -> Option<Position> {
        let status =
            PrimaryStatus::HandingOver { primary: "i-ledger-0".into(), handover: handover.clone() };
        *self.status.lock().expect("status") = status;
        self.send(ToPooler::HandOver { service: service(), handover: handover.clone() });
        self.receive_handover_ack(handover.number)
    }
    /// Waits for the acknowledgement of this handover, and returns the highest commit in it.
    /// Earlier handovers are acknowledged with each renewal and are skipped.
    fn receive_handover_ack(&mut self, wanted: u64) -> Option<Position> {
        loop {
            match self.receive() {
                ToController::HandOverAck { handover, highest, .. } if handover == wanted => {
                    return highest;
                }
                ToController::HandOverAck { handover, .. } if handover < wanted => {}
                message => panic!("{message:?}"),
            }
        }
    }
    /// Waits until the pooler gives up its lease, and returns the highest commit that it reports.
    fn receive_revoke_ack(&mut self) -> Option<Position> {
        loop {
            match self.receive() {
                ToController::RevokeAck { highest, .. } => return highest,
                ToController::HandOverAck { .. } => {}
                message => panic!("{message:?}"),
            }
        }
    }
}

fn route_table() -> RouteTable {
    let configuration = serde_json::json!({
        "revision": 1,
        "route_rules": [{
            "name": "r", "hostname": "strict", "path_prefix": "/", "route_type": "primary",
            "timeout_ms": 3000, "target_latency_ms": 250, "priority": 1, "target_service": "ledger",
        }],
        "services": [{ "name": "ledger", "max_connections": 16, "sync_replicas": 1 }],
        "limits": { "txn_idle_ms": 3000 },
    });
    let bytes = configuration.to_string();
    RouteTable::of(&Configuration::read(bytes.as_bytes()).expect("configuration"))
}

struct System {
    databases: Arc<StandIn>,
    frontend: SocketAddr,
    leader: Leader,
    pooler: Process,
    _folder: Folder,
}

/// Starts a pooler whose leader announces this number of synchronous replicas.
fn start(name: &str, sync_replicas: u32) -> System {
    let ports: Vec<u16> = (0..4).map(|_| free_port()).collect();
    let at = |port: u16| SocketAddr::from(([127, 0, 0, 1], port));
    let listener = TcpListener::bind(at(ports[0])).expect("a port");
    let folder = Folder::new(name, ports[0]);
    let settings = format!(
        "node_name = \"n\"\nip_address = \"127.0.0.1\"\nzone = \"here\"\nport_range = [{p}, {p}]\n\
         seed_nodes = [\"{}\"]\n[timing_bounds]\ngrace_s = 2\n\
         [listeners]\nreadiness = \"{}\"\nfrontend = \"{}\"\n",
        at(ports[1]),
        at(ports[2]),
        at(ports[3]),
        p = ports[0],
    );
    let databases = StandIn::start("ledger", 3).expect("databases");
    let pooler = Process::run("pooler", &folder.write("node.toml", &settings));
    let leader = Leader::accept(&listener, &databases, sync_replicas);
    let frontend = at(ports[3]);
    eventually("the frontend", || TcpStream::connect(frontend).is_ok());
    System { databases, frontend, leader, pooler, _folder: folder }
}

/// A client session; a thread reads the lines of its replies.
struct Client {
    stream: TcpStream,
    lines: Receiver<String>,
}
impl Client {
    fn open(system: &System) -> Self {
        let stream = TcpStream::connect(system.frontend).expect("frontend");
        let (sender, lines) = channel();
        let reader = BufReader::new(stream.try_clone().expect("stream"));
        std::thread::spawn(move || {
            for line in reader.lines().map_while(Result::ok) {
                let _ = sender.send(line);
            }
        });
        let mut client = Self { stream, lines };
        client.send("CONNECT strict me");
        assert_eq!(client.line(), "READY I -");
        client
    }
    fn send(&mut self, text: &str) {
        self.stream.write_all(format!("{text}\r\n").as_bytes()).expect("sent");
    }
    fn line(&mut self) -> String {
        self.lines.recv_timeout(Duration::from_secs(5)).expect("a line").trim_end().to_owned()
    }
    /// Reads a reply and returns its first word, or the code of an error.
    fn outcome(&mut self) -> String {
        let line = self.line();
        assert!(self.line().starts_with("READY I"));
        match line.split_once(' ') {
            Some(("ERROR", rest)) => rest.split(' ').next().unwrap_or_default().to_owned(),
            _ => line.split(' ').next().unwrap_or_default().to_owned(),
        }
    }
    fn store(&mut self, id: &str) -> String {
        self.send(&format!("QUERY {id} STORE thing {id}"));
        self.outcome()
    }
    fn gets_no_reply(&self) -> bool {
        self.lines.recv_timeout(Duration::from_millis(NO_REPLY_MS)).is_err()
    }
}

/// Guards against commits that are missing at a promoted database: a new, resumed or restarted
/// replica may let the old primary acknowledge commits that the next primary never receives.
#[test]
fn during_a_handover_only_commits_that_the_target_has_are_forwarded() {
    let mut system = start("handover", 0);
    let mut client = Client::open(&system);
    assert_eq!(client.store("q1"), "COMPLETE");
    assert_eq!(system.leader.hand_over(&handover(1, "i-ledger-1")), Some(at(1)), "reports q1");
    assert_eq!(client.store("q2"), "COMPLETE", "the target has it");
    // The target receives nothing, but the primary acknowledges because another replica does.
    system.databases.faults.replica_lag.store(2, Ordering::SeqCst);
    client.send("QUERY q3 STORE thing q3");
    let mut transaction = Client::open(&system);
    for (id, text) in [("t1", "BEGIN"), ("t2", "STORE thing t2")] {
        transaction.send(&format!("QUERY {id} {text}"));
        assert!(transaction.line().starts_with("COMPLETE"));
        assert!(transaction.line().starts_with("READY T"));
    }
    transaction.send("QUERY t3 COMMIT");
    assert!(client.gets_no_reply() && transaction.gets_no_reply());
    assert_eq!(system.databases.times_received("q3"), 1);
    // Reads are not held back, and commits are forwarded once the target has them.
    let mut reader = Client::open(&system);
    reader.send("QUERY r1 FETCH thing");
    assert!(reader.line().starts_with("ROW"));
    system.databases.faults.replica_lag.store(0, Ordering::SeqCst);
    assert_eq!((client.outcome(), transaction.outcome()), ("COMPLETE".into(), "COMPLETE".into()));
    // A commit that the target never receives is not forwarded; its outcome is unknown, as it may
    // have run.
    system.databases.faults.replica_lag.store(9, Ordering::SeqCst);
    client.send("QUERY q4 STORE thing q4");
    assert!(client.gets_no_reply());
    system.leader.send(ToPooler::Revoke { service: service(), term: TERM });
    *system.leader.status.lock().expect("status") = PrimaryStatus::Absent;
    assert_eq!(system.leader.receive_revoke_ack(), Some(at(4)), "q3 and the transaction, not q4");
    assert_eq!(client.outcome(), "UNKNOWN");
    assert_eq!(system.databases.times_received("q4"), 1);
}

/// Guards against commits that are missing at a promoted database, where a new or departed replica
/// alone received them and the pooler was lost with its report (review/6, review/7).
#[test]
fn a_commit_is_forwarded_only_once_a_listed_replica_has_it() {
    let mut system = start("listed", 1);
    let mut client = Client::open(&system);
    assert_eq!(client.store("q1"), "COMPLETE");
    // The listed replicas receive nothing, but the primary acknowledges: an unknown one does.
    system.databases.faults.replica_lag.store(1, Ordering::SeqCst);
    client.send("QUERY q2 STORE thing q2");
    assert!(client.gets_no_reply());
    assert_eq!(system.databases.times_received("q2"), 1);
    // Reads are not held back.
    let mut reader = Client::open(&system);
    reader.send("QUERY r1 FETCH thing");
    assert!(reader.line().starts_with("ROW"));
    system.databases.faults.replica_lag.store(0, Ordering::SeqCst);
    assert_eq!(client.outcome(), "COMPLETE");
    // One replica that does not reply delays a commit, but another one confirms it.
    system.databases.inject("WAITFOR", &[InjectedFault::NoReply]);
    assert_eq!(client.store("q3"), "COMPLETE");
    // A transaction that wrote nothing has nothing to confirm.
    system.databases.faults.replica_lag.store(1, Ordering::SeqCst);
    for (id, text) in [("t1", "BEGIN"), ("t2", "FETCH thing"), ("t3", "COMMIT")] {
        client.send(&format!("QUERY {id} {text}"));
        while !client.line().starts_with("READY") {}
    }
    system.databases.faults.replica_lag.store(0, Ordering::SeqCst);
    // Replicas that left the directory do not count; the primary never does.
    let removed = vec!["i-ledger-1".into(), "i-ledger-2".into()];
    system.leader.send(ToPooler::DirectoryDelta { upserted: Vec::new(), removed });
    // The delta has been applied once the handover that follows it is acknowledged.
    assert_eq!(system.leader.hand_over(&handover(1, "i-ledger-1")), Some(at(3)));
    system.leader.grant(active());
    client.send("QUERY q4 STORE thing q4");
    assert!(client.gets_no_reply());
    let upserted = vec![directory_entry(&system.databases, 2)];
    system.leader.send(ToPooler::DirectoryDelta { upserted, removed: Vec::new() });
    assert_eq!(client.outcome(), "COMPLETE");
    // A commit that no listed replica receives within the deadline may have run.
    system.databases.faults.replica_lag.store(9, Ordering::SeqCst);
    assert_eq!(client.store("q5"), "UNKNOWN");
    // Where no replica is required, none is waited for.
    system.leader.send(ToPooler::SyncReplicas([].into()));
    assert_eq!(system.leader.hand_over(&handover(2, "i-ledger-1")), Some(at(4)), "not q5");
    system.leader.grant(active());
    let asked = || ["DESCRIBE", "WAITFOR"].map(|text| system.databases.own_statements(text));
    let before = asked();
    assert_eq!(client.store("q6"), "COMPLETE");
    assert_eq!(asked(), before);
}

#[test]
fn a_cancelled_handover_ends_with_the_next_lease() {
    let mut system = start("called-off", 0);
    let mut client = Client::open(&system);
    assert_eq!(system.leader.hand_over(&handover(1, "i-ledger-1")), None);
    system.databases.faults.replica_lag.store(1, Ordering::SeqCst);
    client.send("QUERY q1 STORE thing q1");
    assert!(client.gets_no_reply());
    // An unknown database, or one that does not reply, confirms no commit.
    assert_eq!(system.leader.hand_over(&handover(2, "i-unknown")), None);
    assert!(client.gets_no_reply());
    system.databases.faults.replica_lag.store(0, Ordering::SeqCst);
    system.databases.inject("DESCRIBE", &[InjectedFault::NoReply; 4]);
    assert_eq!(system.leader.hand_over(&handover(3, "i-ledger-2")), None);
    assert!(client.gets_no_reply());
    system.leader.grant(active());
    assert_eq!(client.outcome(), "COMPLETE");
    // A pooler that connects during a handover learns of it with its lease.
    let status = PrimaryStatus::HandingOver {
        primary: "i-ledger-0".into(),
        handover: handover(4, "i-unknown"),
    };
    system.leader.grant(status);
    assert_eq!(system.leader.receive_handover_ack(4), Some(at(1)));
    client.send("QUERY q2 STORE thing q2");
    assert!(client.gets_no_reply());
    system.leader.grant(active());
    assert_eq!(client.outcome(), "COMPLETE");
}

/// Guards against losing a forwarded commit when its pooler shuts down: the leader took a Goodbye
/// without a prior acknowledgement as proof that no commit had been forwarded.
#[test]
fn a_pooler_reports_its_highest_forwarded_commit_before_a_graceful_shutdown() {
    let mut system = start("goodbye", 0);
    let mut client = Client::open(&system);
    assert_eq!(client.store("q1"), "COMPLETE");
    for (id, text) in [("t1", "BEGIN"), ("t2", "STORE thing t2")] {
        client.send(&format!("QUERY {id} {text}"));
        assert!(client.line().starts_with("COMPLETE"));
        assert!(client.line().starts_with("READY T"));
    }
    // The transaction commits while the pooler drains, possibly after its last renewal.
    system.pooler.signal("-TERM");
    std::thread::sleep(Duration::from_millis(100));
    client.send("QUERY t3 COMMIT");
    assert_eq!(client.outcome(), "COMPLETE");
    drop(client);
    assert_eq!(system.leader.receive_revoke_ack(), Some(at(2)));
    assert!(matches!(system.leader.receive(), ToController::Goodbye));
    assert!(system.pooler.0.wait().expect("ended").success());
}
