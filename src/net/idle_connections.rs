//! Idle client connections, watched by one thread.
//!
//! A connection without a pending request costs a descriptor and no thread. The pooler and the
//! gateway park it here with what belongs to it, and get that back when the client sends something
//! or closes.
use crate::base::sync::lock;
use log::warn;
use rustix::event::{PollFd, PollFlags, Timespec, epoll, poll};
use std::collections::HashMap;
use std::io;
use std::net::TcpStream;
use std::os::fd::OwnedFd;
use std::sync::Mutex;
use std::time::Duration;

/// Events that are taken from the kernel at once.
const MAX_EVENTS: usize = 64;

/// The pause after the kernel refused to wait.
const WAIT_ERROR_PAUSE: Duration = Duration::from_millis(20);

/// Whether a read from the stream would return at once: with data, or because the peer has closed.
pub fn is_readable(stream: &TcpStream) -> bool {
    let mut fds = [PollFd::new(stream, PollFlags::IN | PollFlags::RDHUP)];
    !matches!(poll(&mut fds, Some(&Timespec { tv_sec: 0, tv_nsec: 0 })), Ok(0))
}

/// Parked connections, each with a value `T` under a number of its own.
pub struct IdleConnections<T> {
    /// The target of its log lines.
    log_target: &'static str,
    parked: Mutex<HashMap<u64, T>>,
    epoll: OwnedFd,
}

/// Whether a connection is registered with the kernel already.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Registration {
    /// It is parked for the first time.
    New,
    /// It was parked before.
    Existing,
}

impl<T> IdleConnections<T> {
    /// None parked yet; `log_target` is the target of its log lines.
    ///
    /// # Errors
    /// If the operating system has no descriptor for it.
    pub fn new(log_target: &'static str) -> io::Result<Self> {
        let epoll = epoll::create(epoll::CreateFlags::CLOEXEC)?;
        Ok(Self { log_target, parked: Mutex::default(), epoll })
    }

    /// How many are parked.
    pub fn len(&self) -> usize {
        lock(&self.parked).len()
    }

    /// Whether none is parked.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Parks a connection until its stream is readable. One that can't be watched is dropped.
    pub fn park(&self, id: u64, stream: &TcpStream, value: T, registration: Registration) {
        // The value first: an event that comes at once must find it.
        lock(&self.parked).insert(id, value);
        let flags = epoll::EventFlags::IN | epoll::EventFlags::RDHUP | epoll::EventFlags::ONESHOT;
        let token = epoll::EventData::new_u64(id);
        let watched = match registration {
            Registration::Existing => epoll::modify(&self.epoll, stream, token, flags),
            Registration::New => epoll::add(&self.epoll, stream, token, flags),
        };
        if let Err(e) = watched {
            warn!(target: self.log_target, "an idle client can't be watched: {e}");
            drop(lock(&self.parked).remove(&id));
        }
    }

    /// Waits for all parked connections, and hands over those that became readable. Does not return.
    pub fn run(&self, wake: impl Fn(T)) {
        let mut events = Vec::with_capacity(MAX_EVENTS);
        loop {
            match epoll::wait(&self.epoll, rustix::buffer::spare_capacity(&mut events), None) {
                Ok(_) | Err(rustix::io::Errno::INTR) => {}
                Err(e) => {
                    warn!(target: self.log_target, "waiting for clients: {e}");
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
