//! The connection that a node (a pooler or a gateway) keeps to the leading controller.
//!
//! [`LeaderConnection::run`] owns a thread of the node: it looks for the leader, hands its messages
//! to the node's [`LeaderSubscriber`], and begins again when the connection is lost. Other threads
//! send through the same value.
use crate::base::sync::lock;
use crate::base::time::Tick;
use crate::base::worker_pool::start_thread;
use crate::net::leader_discovery::{ATTEMPT_INTERVAL_MS, LeaderDiscovery};
use crate::net::rpc::pooler_messages::{ToController, ToPooler};
use crate::net::rpc::{Frame, receive, send};
use crate::net::sockets::connect_stream;
use log::{debug, info};
use std::collections::BTreeSet;
use std::io::{self, BufReader};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::mpsc::{Sender, channel};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

/// How long an attempt may take to connect, and again to receive the first answer. Over a congested
/// link both take long; an unreachable controller delays the search only by its turn.
const ATTEMPT_TIMEOUT: Duration = Duration::from_secs(2);

/// How long sent data may be unacknowledged before the connection counts as lost.
const UNACKNOWLEDGED_TIMEOUT: Duration = Duration::from_secs(2);

/// How long a message may wait for room in the kernel's buffer.
const WRITE_TIMEOUT: Duration = Duration::from_millis(500);

/// Without a message for this long the leader counts as lost: renewals are answered far more often.
const READ_TIMEOUT: Duration = Duration::from_millis(1_200);

/// The buffer of a connection's reader, in bytes.
const READ_BUFFER_BYTES: usize = 4096;

/// The part of a node that follows the leader. Its methods are called by the connection's thread.
pub trait LeaderSubscriber {
    /// The first message on a new connection, [`ToController::Hello`].
    fn hello(&self) -> ToController;
    /// A leader has welcomed the node; nothing can be sent to it yet.
    fn on_connected(&self);
    /// Messages can be sent from now on.
    fn on_ready(&self);
    /// A message of the leader.
    fn on_message(&self, message: ToPooler);
}

/// Opens a connection to a controller within a time.
pub type Connect = fn(SocketAddr, Duration) -> io::Result<TcpStream>;

/// A connection to the leader, looked for again whenever it is lost.
pub struct LeaderConnection {
    /// The target of its log lines.
    log_target: &'static str,
    /// Where controllers are looked for, as the settings name them now.
    seeds: Mutex<Vec<SocketAddr>>,
    stream: Mutex<Option<TcpStream>>,
    connected: AtomicBool,
    connect: Connect,
}

/// A connection whose controller has answered that it leads.
struct Welcomed {
    stream: TcpStream,
    reader: BufReader<TcpStream>,
    /// The peer addresses of all controllers.
    controllers: Vec<SocketAddr>,
}

/// What a controller answers first.
enum FirstAnswer {
    Welcome(Welcomed),
    NotLeader(Option<SocketAddr>),
}

/// How an attempt at one controller ended.
struct AttemptResult {
    to: SocketAddr,
    answer: io::Result<FirstAnswer>,
}

/// The controllers that were sent a `Hello` and have not answered; none once one has welcomed the
/// node. Each has one `Hello` at a time, because the leader counts only the newest.
type PendingHellos = Mutex<Option<BTreeSet<SocketAddr>>>;

impl LeaderConnection {
    /// A connection that is not open yet; `log_target` is the target of its log lines.
    pub fn new(log_target: &'static str, seeds: Vec<SocketAddr>) -> Self {
        Self::with_connect(log_target, seeds, |to, timeout| {
            connect_stream(to, timeout, UNACKNOWLEDGED_TIMEOUT)
        })
    }

    /// The same, with another way to open connections.
    pub fn with_connect(
        log_target: &'static str,
        seeds: Vec<SocketAddr>,
        connect: Connect,
    ) -> Self {
        Self {
            log_target,
            seeds: Mutex::new(seeds),
            stream: Mutex::new(None),
            connected: AtomicBool::new(false),
            connect,
        }
    }

    /// Replaces the controllers that a search begins with.
    pub fn set_seeds(&self, seeds: Vec<SocketAddr>) {
        *lock(&self.seeds) = seeds;
    }

    /// Whether there is a connection to a leader.
    pub fn is_connected(&self) -> bool {
        self.connected.load(Ordering::Relaxed)
    }

    /// Locks the connection, for messages whose order matters; see [`LeaderConnection::send_locked`].
    pub fn lock(&self) -> MutexGuard<'_, Option<TcpStream>> {
        lock(&self.stream)
    }

    /// Sends a message; without a connection it is dropped, as one on a connection that breaks.
    pub fn send(&self, message: ToController) {
        Self::send_locked(&mut self.lock(), message);
    }

    /// Sends a message on the locked connection, as [`LeaderConnection::send`].
    pub fn send_locked(connection: &mut Option<TcpStream>, message: ToController) {
        if let Some(stream) = connection.as_mut()
            && send(stream, &Frame::Pooler(message)).is_err()
        {
            // The reader sees the end and looks for another leader.
            drop(stream.shutdown(Shutdown::Both));
        }
    }

    /// Keeps a connection to the leader, looking for it whenever there is none. Does not return.
    pub fn run(&self, subscriber: &dyn LeaderSubscriber) {
        let mut discovery = LeaderDiscovery::new(lock(&self.seeds).clone());
        let mut leader_hint = None;
        loop {
            discovery.restart(leader_hint.take(), Tick::now());
            let (to, welcomed) = self.find_leader(subscriber.hello(), &mut discovery);
            if !welcomed.controllers.is_empty() {
                discovery.controllers = welcomed.controllers;
            }
            let (stream, reader) = (welcomed.stream, welcomed.reader);
            match self.follow(subscriber, to, stream, reader, &mut discovery.controllers) {
                Ok(leader) => leader_hint = leader.filter(|leader| *leader != to),
                Err(e) => debug!(target: self.log_target, "controller {to}: {e}"),
            }
        }
    }

    /// Contacts controllers side by side until one that leads has welcomed the node.
    fn find_leader(
        &self,
        hello: ToController,
        discovery: &mut LeaderDiscovery,
    ) -> (SocketAddr, Welcomed) {
        let pending: Arc<PendingHellos> = Arc::new(Mutex::new(Some(BTreeSet::new())));
        let (results_tx, results) = channel();
        loop {
            discovery.add_controllers(&lock(&self.seeds));
            let now = Tick::now();
            if let Some(to) = discovery.next_attempt(now)
                && !self.start_attempt(to, &hello, &pending, &results_tx)
            {
                discovery.attempt_failed(to, None, now.plus(ATTEMPT_INTERVAL_MS));
            }
            let wait_ms = discovery.next_attempt_at().since(Tick::now()).max(1);
            let Ok(result) = results.recv_timeout(Duration::from_millis(wait_ms)) else {
                continue;
            };
            let AttemptResult { to, answer } = result;
            match answer {
                Ok(FirstAnswer::Welcome(welcomed)) => {
                    *lock(&pending) = None;
                    return (to, welcomed);
                }
                Ok(FirstAnswer::NotLeader(leader)) => {
                    discovery.attempt_failed(to, leader, Tick::now());
                }
                Err(e) => {
                    debug!(target: self.log_target, "controller {to}: {e}");
                    discovery.attempt_failed(to, None, Tick::now());
                }
            }
        }
    }

    /// Contacts a controller on a thread of its own; false if there is none. A result that comes
    /// after the search has ended is dropped, and its connection with it.
    fn start_attempt(
        &self,
        to: SocketAddr,
        hello: &ToController,
        pending: &Arc<PendingHellos>,
        results: &Sender<AttemptResult>,
    ) -> bool {
        let (connect, hello) = (self.connect, hello.clone());
        let (pending, results) = (Arc::clone(pending), results.clone());
        start_thread(move || {
            let answer = attempt(connect, to, hello, &pending);
            drop(results.send(AttemptResult { to, answer }));
        })
    }

    /// Follows one controller for as long as it leads; then gives who leads, if it says so. Keeps the
    /// list of controllers up to date meanwhile.
    fn follow(
        &self,
        subscriber: &dyn LeaderSubscriber,
        to: SocketAddr,
        stream: TcpStream,
        mut reader: BufReader<TcpStream>,
        controllers: &mut Vec<SocketAddr>,
    ) -> io::Result<Option<SocketAddr>> {
        info!(target: self.log_target, "connected to leader {to}");
        subscriber.on_connected();
        *self.lock() = Some(stream);
        self.connected.store(true, Ordering::Relaxed);
        subscriber.on_ready();
        let ended = loop {
            match receive(&mut reader) {
                Ok(Frame::Controller(ToPooler::NotLeader(leader))) => break Ok(leader),
                Ok(Frame::Controller(ToPooler::Welcome { controllers: members })) => {
                    *controllers = members;
                }
                Ok(Frame::Controller(message)) => subscriber.on_message(message),
                Ok(_) => break Err(io::ErrorKind::InvalidData.into()),
                Err(e) => break Err(e),
            }
        };
        *self.lock() = None;
        self.connected.store(false, Ordering::Relaxed);
        info!(target: self.log_target, "disconnected from leader {to}");
        ended
    }
}

/// Connects to a controller and introduces the node, unless a `Hello` to it is pending or another
/// controller has welcomed the node meanwhile.
fn attempt(
    connect: Connect,
    to: SocketAddr,
    hello: ToController,
    pending: &PendingHellos,
) -> io::Result<FirstAnswer> {
    let mut stream = connect(to, ATTEMPT_TIMEOUT)?;
    stream.set_write_timeout(Some(WRITE_TIMEOUT))?;
    stream.set_read_timeout(Some(ATTEMPT_TIMEOUT))?;
    if !lock(pending).as_mut().is_some_and(|pending| pending.insert(to)) {
        return Err(io::Error::new(io::ErrorKind::AlreadyExists, "not needed any more"));
    }
    let answer = introduce(&mut stream, hello);
    if !matches!(answer, Ok(FirstAnswer::Welcome(_)))
        && let Some(pending) = lock(pending).as_mut()
    {
        pending.remove(&to);
    }
    answer
}

/// Sends the `Hello` and reads the first answer.
fn introduce(stream: &mut TcpStream, hello: ToController) -> io::Result<FirstAnswer> {
    send(stream, &Frame::Pooler(hello))?;
    let mut reader = BufReader::with_capacity(READ_BUFFER_BYTES, stream.try_clone()?);
    match receive(&mut reader)? {
        Frame::Controller(ToPooler::Welcome { controllers }) => {
            stream.set_read_timeout(Some(READ_TIMEOUT))?;
            let stream = stream.try_clone()?;
            Ok(FirstAnswer::Welcome(Welcomed { stream, reader, controllers }))
        }
        Frame::Controller(ToPooler::NotLeader(leader)) => Ok(FirstAnswer::NotLeader(leader)),
        _ => Err(io::ErrorKind::InvalidData.into()),
    }
}
