//! Connections at rest, watched by one thread.
use crate::base::sync::lock;
use log::warn;
use rustix::event::{PollFd, PollFlags, Timespec, epoll, poll};
use std::collections::HashMap;
use std::net::TcpStream;
use std::os::fd::OwnedFd;
use std::sync::Mutex;
use std::time::Duration;

/// Something waits to be read, or the far end has closed.
pub fn has_news(stream: &TcpStream) -> bool {
    let mut fds = [PollFd::new(stream, PollFlags::IN | PollFlags::RDHUP)];
    !matches!(poll(&mut fds, Some(&Timespec { tv_sec: 0, tv_nsec: 0 })), Ok(0))
}

/// Those that rest, by a number of their own, and what wakes when one of them speaks or leaves.
pub struct IdleConnections<T> {
    part: &'static str,
    resting: Mutex<HashMap<u64, T>>,
    watch: OwnedFd,
}

/// Resting clients that are woken in one round.
const EVENTS: usize = 64;

impl<T> IdleConnections<T> {
    pub fn new(part: &'static str) -> std::io::Result<Self> {
        let watch = epoll::create(epoll::CreateFlags::CLOEXEC)?;
        Ok(Self { part, resting: Mutex::default(), watch })
    }
    pub fn len(&self) -> usize {
        lock(&self.resting).len()
    }
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
    /// Lets one rest until its stream has news; `known` says that it rested before. One that can't be
    /// watched is dropped.
    pub fn rest(&self, id: u64, stream: &TcpStream, one: T, known: bool) {
        // First the list, then the watch: what comes at once must find it.
        lock(&self.resting).insert(id, one);
        let what = epoll::EventFlags::IN | epoll::EventFlags::RDHUP | epoll::EventFlags::ONESHOT;
        let token = epoll::EventData::new_u64(id);
        let watched = match known {
            true => epoll::modify(&self.watch, stream, token, what),
            false => epoll::add(&self.watch, stream, token, what),
        };
        if let Err(e) = watched {
            warn!(target: self.part, "a resting client can't be watched: {e}");
            drop(lock(&self.resting).remove(&id));
        }
    }
    /// Waits for all of them at once, and hands over those that said something or left.
    pub fn watch(&self, wake: impl Fn(T)) {
        let mut events = Vec::with_capacity(EVENTS);
        loop {
            match epoll::wait(&self.watch, rustix::buffer::spare_capacity(&mut events), None) {
                Ok(_) | Err(rustix::io::Errno::INTR) => {}
                Err(e) => {
                    warn!(target: self.part, "waiting for clients: {e}");
                    std::thread::sleep(Duration::from_millis(20));
                }
            }
            for event in events.drain(..) {
                let found = lock(&self.resting).remove(&event.data.u64());
                if let Some(one) = found {
                    wake(one);
                }
            }
        }
    }
}
