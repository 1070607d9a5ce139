//! The connection that a node keeps to the leading controller.
use crate::base::sync::lock;
use crate::base::time::Tick;
use crate::base::worker_pool::start_thread;
use crate::net::leader_discovery::{LeaderDiscovery, TURN_MS};
use crate::net::rpc::pooler_messages::{ToController, ToPooler};
use crate::net::rpc::{Frame, receive, send};
use crate::net::sockets::dial;
use log::info;
use std::collections::BTreeSet;
use std::io::{self, BufReader};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::mpsc::channel;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

/// A node that follows the leader.
pub trait LeaderSubscriber {
    /// How it introduces itself on a new connection.
    fn hello(&self) -> ToController;
    /// A leader has welcomed it; nothing was said on the connection yet.
    fn linked(&self);
    /// Messages may be sent now.
    fn begin(&self);
    fn hear(&self, message: ToPooler);
}

/// The longest that is waited for a connection to a controller, and again for its first word. Behind a
/// crowded link both take long; a dark controller costs no more than its turn.
const PATIENCE: Duration = Duration::from_secs(2);

/// What a controller said first.
pub(crate) enum Answer {
    Welcome { stream: TcpStream, reader: BufReader<TcpStream>, controllers: Vec<SocketAddr> },
    Elsewhere(Option<SocketAddr>),
}

/// The controller that welcomed the node, the connection, and the controllers that there are.
pub(crate) type Found = (SocketAddr, TcpStream, BufReader<TcpStream>, Vec<SocketAddr>);

/// Opens a connection to a controller within a time.
pub type Dial = fn(SocketAddr, Duration) -> io::Result<TcpStream>;

/// The controllers that were greeted and have not answered; none once one has welcomed the node. It greets
/// each but once at a time: to the leader only the newest greeting counts.
type Greeted = Mutex<Option<BTreeSet<SocketAddr>>>;

fn greet(dial: Dial, to: SocketAddr, hello: ToController, greeted: &Greeted) -> io::Result<Answer> {
    let mut stream = dial(to, PATIENCE)?;
    stream.set_write_timeout(Some(Duration::from_millis(500)))?;
    stream.set_read_timeout(Some(PATIENCE))?;
    if !lock(greeted).as_mut().is_some_and(|g| g.insert(to)) {
        return Err(io::Error::new(io::ErrorKind::AlreadyExists, "not needed any more"));
    }
    let answer = first_word(&mut stream, hello);
    if !matches!(answer, Ok(Answer::Welcome { .. }))
        && let Some(greeted) = lock(greeted).as_mut()
    {
        greeted.remove(&to);
    }
    answer
}

fn first_word(stream: &mut TcpStream, hello: ToController) -> io::Result<Answer> {
    send(stream, &Frame::Pooler(hello))?;
    let mut reader = BufReader::with_capacity(4096, stream.try_clone()?);
    match receive(&mut reader)? {
        Frame::Controller(ToPooler::Welcome { controllers }) => {
            // Renewals are answered far more often than this; silence means another leader.
            stream.set_read_timeout(Some(Duration::from_millis(1_200)))?;
            Ok(Answer::Welcome { stream: stream.try_clone()?, reader, controllers })
        }
        Frame::Controller(ToPooler::NotLeader(other)) => Ok(Answer::Elsewhere(other)),
        _ => Err(io::ErrorKind::InvalidData.into()),
    }
}

pub struct LeaderConnection {
    /// The part that logs.
    part: &'static str,
    /// Where controllers are looked for, as the settings name them now.
    seeds: Mutex<Vec<SocketAddr>>,
    stream: Mutex<Option<TcpStream>>,
    up: AtomicBool,
    /// When something last came from a leader.
    heard: AtomicU64,
    dial: Dial,
}

impl LeaderConnection {
    pub fn new(part: &'static str, seeds: Vec<SocketAddr>) -> Self {
        Self::through(part, seeds, |to, within| dial(to, within, Duration::from_secs(2)))
    }
    pub fn through(part: &'static str, seeds: Vec<SocketAddr>, dial: Dial) -> Self {
        Self {
            part,
            seeds: Mutex::new(seeds),
            stream: Mutex::new(None),
            up: AtomicBool::new(false),
            heard: AtomicU64::new(0),
            dial,
        }
    }
    /// Looks for controllers here from now on.
    pub fn seek(&self, seeds: Vec<SocketAddr>) {
        *lock(&self.seeds) = seeds;
    }
    pub fn is_up(&self) -> bool {
        self.up.load(Ordering::Relaxed)
    }
    pub fn last_heard(&self) -> Tick {
        Tick(self.heard.load(Ordering::Relaxed))
    }
    /// Holds the link for messages whose order matters.
    pub fn held(&self) -> MutexGuard<'_, Option<TcpStream>> {
        lock(&self.stream)
    }
    pub fn tell(&self, message: ToController) {
        Self::tell_under(&mut self.held(), message);
    }
    pub fn tell_under(link: &mut Option<TcpStream>, message: ToController) {
        if let Some(stream) = link.as_mut()
            && send(stream, &Frame::Pooler(message)).is_err()
        {
            // The reader sees the end and looks for another leader.
            drop(stream.shutdown(Shutdown::Both));
        }
    }

    /// Keeps a connection to the leader, looking for it whenever there is none.
    pub fn keep(&self, follower: &dyn LeaderSubscriber) {
        let mut search = LeaderDiscovery::new(lock(&self.seeds).clone());
        let mut hint = None;
        loop {
            search.begin(hint.take(), Tick::now());
            let (to, stream, reader, controllers) = self.find(follower.hello(), &mut search);
            if !controllers.is_empty() {
                search.known = controllers;
            }
            match self.follow(follower, to, stream, reader, &mut search.known) {
                Ok(elsewhere) => hint = elsewhere.filter(|e| *e != to),
                Err(e) => log::debug!(target: self.part, "controller {to}: {e}"),
            }
        }
    }

    /// Asks controllers side by side until one that leads has welcomed the node.
    fn find(&self, hello: ToController, search: &mut LeaderDiscovery) -> Found {
        let greeted: Arc<Greeted> = Arc::new(Mutex::new(Some(BTreeSet::new())));
        let (tx, rx) = channel();
        loop {
            search.learn(&lock(&self.seeds));
            let now = Tick::now();
            if let Some(to) = search.step(now) {
                let (dial, hello, greeted, tx) =
                    (self.dial, hello.clone(), Arc::clone(&greeted), tx.clone());
                // One that comes after the welcome is dropped, and its connection with it.
                let work = move || drop(tx.send((to, greet(dial, to, hello, &greeted))));
                if !start_thread(work) {
                    search.ended(to, None, now.plus(TURN_MS));
                }
            }
            let wait = search.due().since(Tick::now()).max(1);
            match rx.recv_timeout(Duration::from_millis(wait)) {
                Ok((to, Ok(Answer::Welcome { stream, reader, controllers }))) => {
                    *lock(&greeted) = None;
                    return (to, stream, reader, controllers);
                }
                Ok((to, Ok(Answer::Elsewhere(other)))) => search.ended(to, other, Tick::now()),
                Ok((to, Err(e))) => {
                    log::debug!(target: self.part, "controller {to}: {e}");
                    search.ended(to, None, Tick::now());
                }
                Err(_) => {}
            }
        }
    }

    /// Follows one controller for as long as it leads; tells who leads otherwise.
    fn follow(
        &self,
        follower: &dyn LeaderSubscriber,
        to: SocketAddr,
        stream: TcpStream,
        mut reader: BufReader<TcpStream>,
        known: &mut Vec<SocketAddr>,
    ) -> io::Result<Option<SocketAddr>> {
        info!(target: self.part, "following {to}");
        follower.linked();
        *self.held() = Some(stream);
        self.up.store(true, Ordering::Relaxed);
        follower.begin();
        let ended = loop {
            match receive(&mut reader) {
                Ok(Frame::Controller(ToPooler::NotLeader(other))) => break Ok(other),
                // There are others now than when the connection began.
                Ok(Frame::Controller(ToPooler::Welcome { controllers })) => *known = controllers,
                Ok(Frame::Controller(message)) => {
                    self.heard.store(Tick::now().0, Ordering::Relaxed);
                    follower.hear(message);
                }
                Ok(_) => break Err(io::ErrorKind::InvalidData.into()),
                Err(e) => break Err(e),
            }
        };
        *self.held() = None;
        self.up.store(false, Ordering::Relaxed);
        info!(target: self.part, "lost {to}");
        ended
    }
}
