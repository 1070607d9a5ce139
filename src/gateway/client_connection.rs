//! One client's connection.
use crate::base::sync::lock;
use crate::base::time::Tick;
use crate::gateway::forwarding::RequestContext;
use crate::gateway::server::Gateway;
use crate::net::statement_protocol::ReadBuffer;
use std::io::{self, Read, Write};
use std::net::{Shutdown, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::Duration;

/// A client's connection, as others may see and end it.
pub(crate) struct ClientConnection {
    pub(crate) stream: TcpStream,
    /// Since when it waits for its client with nothing half read; 0 while it does not.
    pub(crate) resting: AtomicU64,
    /// It has rested without a thread before, so that the kernel knows whom to wake.
    pub(crate) watched: AtomicBool,
}

impl ClientConnection {
    pub(crate) fn rests(&self) -> Option<Tick> {
        Some(Tick(self.resting.load(Ordering::Relaxed))).filter(|t| t.0 > 0)
    }
}

/// A client that is being served, or rests until it speaks. However it ends, it is off the list.
pub(crate) struct ClientGuard {
    pub(crate) id: u64,
    pub(crate) guest: Arc<ClientConnection>,
    pub(crate) gateway: Arc<Gateway>,
}

impl Drop for ClientGuard {
    fn drop(&mut self) {
        lock(&self.gateway.guests).remove(&self.id);
    }
}

pub(crate) struct Client<'a> {
    pub(crate) stream: &'a TcpStream,
    pub(crate) inbox: ReadBuffer,
    pub(crate) max_body: u64,
}

pub(crate) enum Filled {
    Some,
    Closed,
    Late,
}

impl Client<'_> {
    /// Reads once, waiting until `until` at the most.
    pub(crate) fn fill(&mut self, until: Tick) -> io::Result<Filled> {
        let left = until.since(Tick::now());
        if left == 0 {
            return Ok(Filled::Late);
        }
        self.stream.set_read_timeout(Some(Duration::from_millis(left)))?;
        let mut stream = self.stream;
        match self.inbox.fill(&mut stream) {
            Ok(0) => Ok(Filled::Closed),
            Ok(_) => Ok(Filled::Some),
            Err(e) if e.kind() == io::ErrorKind::Interrupted => Ok(Filled::Some),
            Err(e) if matches!(e.kind(), io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut) => {
                Ok(Filled::Late)
            }
            Err(e) => Err(e),
        }
    }
    pub(crate) fn write(&self, bytes: &[u8]) -> io::Result<()> {
        let mut stream = self.stream;
        stream.write_all(bytes)
    }
    /// Lets a last answer arrive although the client still sends.
    pub(crate) fn linger(&mut self) -> io::Result<()> {
        self.stream.shutdown(Shutdown::Write)?;
        let until = Tick::now().plus(500);
        let mut stream = self.stream;
        let mut rest = [0; 8192];
        self.stream.set_read_timeout(Some(Duration::from_millis(100)))?;
        while Tick::now() < until && stream.read(&mut rest).is_ok_and(|n| n > 0) {}
        Ok(())
    }
}

impl Client<'_> {
    /// A part of the request is still to come, so that the connection can't go on.
    pub(crate) fn half_read(&self, errand: &RequestContext<'_>) -> bool {
        errand.rest.is_some()
    }
}
