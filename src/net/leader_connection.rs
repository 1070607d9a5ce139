//! The connection of a node (a pooler or a gateway) to the leading controller.
//!
//! [`LeaderConnection::run`] runs on its own thread: it searches for the leader, passes the
//! leader's messages to the node's [`LeaderSubscriber`], and starts over when the connection is
//! lost. Other threads send messages through the same [`LeaderConnection`].
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

/// The timeout of an attempt for connecting, and again for receiving the first response. Generous,
/// since both take long over a congested link. An unreachable controller does not delay the search
/// further, because the other controllers are contacted in the meantime.
const ATTEMPT_TIMEOUT: Duration = Duration::from_secs(2);

/// How long sent data may be unacknowledged before the connection fails.
const UNACKNOWLEDGED_TIMEOUT: Duration = Duration::from_secs(2);

/// How long sending a message may block because the kernel's send buffer is full.
const WRITE_TIMEOUT: Duration = Duration::from_millis(500);

/// The connection counts as lost if no message is received for this long. The leader responds to
/// lease
/// renewals far more often.
const READ_TIMEOUT: Duration = Duration::from_millis(1_200);

/// The size of a connection's read buffer.
const READ_BUFFER_BYTES: usize = 4096;

/// Receives the leader's messages on behalf of a node. The thread of the connection calls its
/// methods.
pub trait LeaderSubscriber {
    /// Returns the [`ToController::Hello`] that is sent first on a new connection.
    fn hello(&self) -> ToController;
    /// Called when a leader has accepted the connection; messages can't be sent yet.
    fn on_connected(&self);
    /// Called when messages can be sent on the connection.
    fn on_ready(&self);
    /// Called for each message from the leader.
    fn on_message(&self, message: ToPooler);
}

/// Opens a connection to a controller within a timeout.
pub type Connect = fn(SocketAddr, Duration) -> io::Result<TcpStream>;

/// A connection to the leader, which is re-established whenever it is lost.
pub struct LeaderConnection {
    /// The target of the log messages.
    log_target: &'static str,
    /// The peer addresses of the controllers in the current settings.
    seeds: Mutex<Vec<SocketAddr>>,
    stream: Mutex<Option<TcpStream>>,
    connected: AtomicBool,
    connect: Connect,
}

/// A connection that the leader has accepted.
struct AcceptedConnection {
    stream: TcpStream,
    reader: BufReader<TcpStream>,
    /// The peer addresses of all controllers.
    controllers: Vec<SocketAddr>,
}

/// A controller's response to a `Hello`.
enum HelloResponse {
    Welcome(AcceptedConnection),
    NotLeader(Option<SocketAddr>),
}

/// The result of an attempt to connect to one controller.
struct AttemptResult {
    to: SocketAddr,
    response: io::Result<HelloResponse>,
}

/// The controllers that were sent a `Hello` and have not responded yet; `None` once the leader is
/// found. At most one `Hello` per controller is unanswered, because the leader accepts only the
/// newest connection of a node.
type PendingHellos = Mutex<Option<BTreeSet<SocketAddr>>>;

impl LeaderConnection {
    /// Creates a connection that is not open yet; `log_target` is the target of its log messages.
    pub fn new(log_target: &'static str, seeds: Vec<SocketAddr>) -> Self {
        Self::with_connect(log_target, seeds, |to, timeout| {
            connect_stream(to, timeout, UNACKNOWLEDGED_TIMEOUT)
        })
    }

    /// Like [`Self::new`], with another function that opens connections.
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

    /// Replaces the addresses at which the leader is searched for.
    pub fn set_seeds(&self, seeds: Vec<SocketAddr>) {
        *lock(&self.seeds) = seeds;
    }

    /// Whether the node is connected to a leader.
    pub fn is_connected(&self) -> bool {
        self.connected.load(Ordering::Relaxed)
    }

    /// Locks the connection, to send messages in a given order with [`Self::send_locked`].
    pub fn lock(&self) -> MutexGuard<'_, Option<TcpStream>> {
        lock(&self.stream)
    }

    /// Sends a message. It is dropped if there is no connection or the connection fails.
    pub fn send(&self, message: ToController) {
        Self::send_locked(&mut self.lock(), message);
    }

    /// Sends a message on the locked connection, like [`Self::send`].
    pub fn send_locked(connection: &mut Option<TcpStream>, message: ToController) {
        if let Some(stream) = connection.as_mut()
            && send(stream, &Frame::Pooler(message)).is_err()
        {
            // The reading thread gets an error from this and searches for the leader again.
            drop(stream.shutdown(Shutdown::Both));
        }
    }

    /// Connects to the leader and handles its messages; searches for the leader again whenever the
    /// connection is lost. Does not return.
    pub fn run(&self, subscriber: &dyn LeaderSubscriber) {
        let mut discovery = LeaderDiscovery::new(lock(&self.seeds).clone());
        let mut leader_hint = None;
        loop {
            discovery.restart(leader_hint.take(), Tick::now());
            let (to, accepted) = self.find_leader(subscriber.hello(), &mut discovery);
            if !accepted.controllers.is_empty() {
                discovery.controllers = accepted.controllers;
            }
            let (stream, reader) = (accepted.stream, accepted.reader);
            match self.follow_leader(subscriber, to, stream, reader, &mut discovery.controllers) {
                Ok(leader) => leader_hint = leader.filter(|leader| *leader != to),
                Err(e) => {
                    debug!(target: self.log_target, "connection to controller {to} failed: {e}")
                }
            }
        }
    }

    /// Contacts controllers concurrently until the leader has accepted the node.
    fn find_leader(
        &self,
        hello: ToController,
        discovery: &mut LeaderDiscovery,
    ) -> (SocketAddr, AcceptedConnection) {
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
            let AttemptResult { to, response } = result;
            match response {
                Ok(HelloResponse::Welcome(accepted)) => {
                    *lock(&pending) = None;
                    return (to, accepted);
                }
                Ok(HelloResponse::NotLeader(leader)) => {
                    discovery.attempt_failed(to, leader, Tick::now());
                }
                Err(e) => {
                    debug!(target: self.log_target, "attempt at controller {to} failed: {e}");
                    discovery.attempt_failed(to, None, Tick::now());
                }
            }
        }
    }

    /// Contacts a controller on another thread; false if no thread could be started. A result that
    /// arrives after the search has ended is dropped, which closes its connection.
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
            let response = attempt(connect, to, hello, &pending);
            drop(results.send(AttemptResult { to, response }));
        })
    }

    /// Handles the messages of one leader until it steps down or the connection fails, and updates
    /// the list of controllers. Returns the new leader if the old one names it.
    fn follow_leader(
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
        info!(target: self.log_target, "disconnected from leader {to}; searching for the leader");
        ended
    }
}

/// Connects to a controller and sends a `Hello`, unless an earlier `Hello` to it is unanswered or
/// the leader has been found in the meantime.
fn attempt(
    connect: Connect,
    to: SocketAddr,
    hello: ToController,
    pending: &PendingHellos,
) -> io::Result<HelloResponse> {
    let mut stream = connect(to, ATTEMPT_TIMEOUT)?;
    stream.set_write_timeout(Some(WRITE_TIMEOUT))?;
    stream.set_read_timeout(Some(ATTEMPT_TIMEOUT))?;
    if !lock(pending).as_mut().is_some_and(|pending| pending.insert(to)) {
        return Err(io::Error::new(
            io::ErrorKind::AlreadyExists,
            "attempt superseded: leader found, or earlier Hello still unanswered",
        ));
    }
    let response = send_hello(&mut stream, hello);
    if !matches!(response, Ok(HelloResponse::Welcome(_)))
        && let Some(pending) = lock(pending).as_mut()
    {
        pending.remove(&to);
    }
    response
}

/// Sends the `Hello` and reads the first response.
fn send_hello(stream: &mut TcpStream, hello: ToController) -> io::Result<HelloResponse> {
    send(stream, &Frame::Pooler(hello))?;
    let mut reader = BufReader::with_capacity(READ_BUFFER_BYTES, stream.try_clone()?);
    match receive(&mut reader)? {
        Frame::Controller(ToPooler::Welcome { controllers }) => {
            stream.set_read_timeout(Some(READ_TIMEOUT))?;
            let stream = stream.try_clone()?;
            Ok(HelloResponse::Welcome(AcceptedConnection { stream, reader, controllers }))
        }
        Frame::Controller(ToPooler::NotLeader(leader)) => Ok(HelloResponse::NotLeader(leader)),
        _ => Err(io::ErrorKind::InvalidData.into()),
    }
}
