//! Idle client connections, monitored by one thread with `epoll`.
//!
//! A connection without a pending request uses a file descriptor but no thread. The pooler and the
//! gateway park it here together with its state, and get the state back when the client sends data
//! or closes the connection.
use crate::base::sync::lock;
use log::warn;
use rustix::event::{PollFd, PollFlags, Timespec, epoll, poll};
use std::collections::HashMap;
use std::io;
use std::net::TcpStream;
use std::os::fd::OwnedFd;
use std::sync::Mutex;
use std::time::Duration;

/// The maximum number of events that one `epoll_wait` call returns.
const MAX_EVENTS: usize = 64;

/// The pause after a failed `epoll_wait` call.
const WAIT_ERROR_PAUSE: Duration = Duration::from_millis(20);

/// Whether a read from the stream would not block: data is available, or the peer has closed the
/// connection.
pub fn is_readable(stream: &TcpStream) -> bool {
    let mut fds = [PollFd::new(stream, PollFlags::IN | PollFlags::RDHUP)];
    !matches!(poll(&mut fds, Some(&Timespec { tv_sec: 0, tv_nsec: 0 })), Ok(0))
}

/// Parked connections. Each has a unique id and a value of type `T`.
pub struct IdleConnections<T> {
    /// The target of the log messages.
    log_target: &'static str,
    parked: Mutex<HashMap<u64, T>>,
    epoll: OwnedFd,
}

/// Whether a connection is already registered with `epoll`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Registration {
    /// The connection is parked for the first time.
    New,
    /// The connection was parked before.
    Existing,
}

impl<T> IdleConnections<T> {
    /// Creates an empty set; `log_target` is the target of its log messages.
    ///
    /// # Errors
    /// If the `epoll` instance can't be created.
    pub fn new(log_target: &'static str) -> io::Result<Self> {
        let epoll = epoll::create(epoll::CreateFlags::CLOEXEC)?;
        Ok(Self { log_target, parked: Mutex::default(), epoll })
    }

    /// The number of parked connections.
    pub fn len(&self) -> usize {
        lock(&self.parked).len()
    }

    /// Whether no connection is parked.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Parks a connection until its stream is readable. It is dropped if it can't be monitored.
    pub fn park(&self, id: u64, stream: &TcpStream, value: T, registration: Registration) {
        // Inserted before registration, because an event may occur immediately.
        lock(&self.parked).insert(id, value);
        let flags = epoll::EventFlags::IN | epoll::EventFlags::RDHUP | epoll::EventFlags::ONESHOT;
        let token = epoll::EventData::new_u64(id);
        let watched = match registration {
            Registration::Existing => epoll::modify(&self.epoll, stream, token, flags),
            Registration::New => epoll::add(&self.epoll, stream, token, flags),
        };
        if let Err(e) = watched {
            warn!(target: self.log_target, "epoll registration failed, idle client dropped: {e}");
            drop(lock(&self.parked).remove(&id));
        }
    }

    /// Takes out a parked connection that its caller closes or serves; `None` if it is not parked.
    pub fn take(&self, id: u64) -> Option<T> {
        lock(&self.parked).remove(&id)
    }

    /// Waits for parked connections to become readable and passes their values to `wake`. Does not
    /// return.
    pub fn run(&self, wake: impl Fn(T)) {
        let mut events = Vec::with_capacity(MAX_EVENTS);
        loop {
            match epoll::wait(&self.epoll, rustix::buffer::spare_capacity(&mut events), None) {
                Ok(_) | Err(rustix::io::Errno::INTR) => {}
                Err(e) => {
                    warn!(target: self.log_target, "epoll wait failed, retrying: {e}");
                    std::thread::sleep(WAIT_ERROR_PAUSE);
                }
            }
            for event in events.drain(..) {
                let parked = lock(&self.parked).remove(&event.data.u64());
                if let Some(value) = parked {
                    wake(value);
                }
            }
        }
    }
}
