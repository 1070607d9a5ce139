//! The connection that a node keeps to the leading steward.
use super::ids::Tick;
use super::lock;
use super::peer::{Frame, REACH, ToSteward, ToStile, dial, receive, send};
use log::info;
use std::io;
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Mutex, MutexGuard};
use std::time::Duration;

/// A node that follows the leader.
pub trait Follower {
    /// How it introduces itself on a new connection.
    fn hello(&self) -> ToSteward;
    /// A leader has welcomed it; nothing was said on the connection yet.
    fn linked(&self);
    /// Messages may be sent now.
    fn begin(&self);
    fn hear(&self, message: ToStile);
}

/// The longest that is waited for a connection to a steward.
const MOST_REACH: Duration = Duration::from_millis(800);

pub struct Link {
    /// The part that logs.
    part: &'static str,
    /// Where stewards are looked for, as the settings name them now.
    seeds: Mutex<Vec<SocketAddr>>,
    stream: Mutex<Option<TcpStream>>,
    up: AtomicBool,
    /// When something last came from a leader.
    heard: AtomicU64,
}

impl Link {
    pub fn new(part: &'static str, seeds: Vec<SocketAddr>) -> Self {
        Self {
            part,
            seeds: Mutex::new(seeds),
            stream: Mutex::new(None),
            up: AtomicBool::new(false),
            heard: AtomicU64::new(0),
        }
    }
    /// Looks for stewards here from now on.
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
    pub fn tell(&self, message: ToSteward) {
        Self::tell_under(&mut self.held(), message);
    }
    pub fn tell_under(link: &mut Option<TcpStream>, message: ToSteward) {
        if let Some(stream) = link.as_mut()
            && send(stream, &Frame::Stile(message)).is_err()
        {
            // The reader sees the end and looks for another leader.
            drop(stream.shutdown(Shutdown::Both));
        }
    }

    /// Keeps a connection to the leader, looking for it whenever there is none.
    pub fn keep(&self, follower: &dyn Follower) {
        let mut known = lock(&self.seeds).clone();
        let mut hint: Option<SocketAddr> = None;
        let mut next = 0usize;
        let mut reach = REACH;
        loop {
            let to = match hint.take() {
                Some(to) => to,
                None => {
                    next += 1;
                    if next.is_multiple_of(known.len().max(1)) {
                        std::thread::sleep(Duration::from_millis(80));
                    }
                    known[next % known.len().max(1)]
                }
            };
            match self.follow(follower, to, reach, &mut known) {
                Ok(elsewhere) => {
                    hint = elsewhere.filter(|e| *e != to);
                    reach = REACH;
                }
                // A dark steward costs as much as is waited for it; behind a crowded link, none
                // answers as soon as that.
                Err(e) => {
                    log::debug!(target: self.part, "steward {to}: {e}");
                    reach = (reach * 5 / 4).min(MOST_REACH);
                }
            }
            for seed in lock(&self.seeds).iter() {
                if !known.contains(seed) {
                    known.push(*seed);
                }
            }
        }
    }

    /// Follows one steward for as long as it leads; tells who leads otherwise.
    fn follow(
        &self,
        follower: &dyn Follower,
        to: SocketAddr,
        reach: Duration,
        known: &mut Vec<SocketAddr>,
    ) -> io::Result<Option<SocketAddr>> {
        let mut stream = dial(to, reach, Duration::from_secs(2))?;
        stream.set_write_timeout(Some(Duration::from_millis(500)))?;
        // Renewals are answered far more often than this; silence means another leader.
        stream.set_read_timeout(Some(Duration::from_millis(1_200)))?;
        send(&mut stream, &Frame::Stile(follower.hello()))?;
        let mut reader = io::BufReader::with_capacity(4096, stream.try_clone()?);
        match receive(&mut reader)? {
            Frame::Steward(ToStile::Welcome { stewards }) => {
                if !stewards.is_empty() {
                    *known = stewards;
                }
            }
            Frame::Steward(ToStile::Elsewhere(other)) => return Ok(other),
            _ => return Err(io::ErrorKind::InvalidData.into()),
        }
        info!(target: self.part, "following {to}");
        follower.linked();
        *self.held() = Some(stream);
        self.up.store(true, Ordering::Relaxed);
        follower.begin();
        let ended = loop {
            match receive(&mut reader) {
                Ok(Frame::Steward(ToStile::Elsewhere(other))) => break Ok(other),
                // There are others now than when the connection began.
                Ok(Frame::Steward(ToStile::Welcome { stewards })) => *known = stewards,
                Ok(Frame::Steward(message)) => {
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
