//! Clients' connections: how they are admitted, served by threads, kept idle and closed.
//!
//! A connection that waits for its client's next request holds no thread: it is handed to the
//! watcher of idle connections, which hands it back when bytes come. Promise: a connection stays
//! in the gateway's list exactly as long as its guard lives, however it ends.
use crate::base::errors::Refusal;
use crate::base::sync::lock;
use crate::base::time::Tick;
use crate::base::worker_pool::start_thread;
use crate::gateway::http1::{BodyDecoder, ParseError};
use crate::gateway::server::Gateway;
use crate::net::idle_connections::Registration;
use crate::net::sockets::configure_stream;
use crate::net::statement_protocol::ReadBuffer;
use log::debug;
use std::io::{self, Read, Write};
use std::net::{Shutdown, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::Duration;

/// A client that accepts no bytes for this long is disconnected.
const WRITE_TIMEOUT: Duration = Duration::from_secs(10);

/// For how long bytes of a client are still read behind the last response, in milliseconds.
const LINGER_MS: u64 = 500;

/// The longest wait for one read while lingering.
const LINGER_READ_TIMEOUT: Duration = Duration::from_millis(100);

/// A client's connection, as other threads may see and end it.
pub(super) struct ClientConnection {
    pub(super) stream: TcpStream,
    /// The tick since when it waits for a request of which nothing was read; 0 while it does not.
    idle_since: AtomicU64,
    /// Whether the watcher of idle connections has seen it before.
    registered: AtomicBool,
}

impl ClientConnection {
    /// Since when it is idle, if it is.
    pub(super) fn idle_since(&self) -> Option<Tick> {
        Some(Tick(self.idle_since.load(Ordering::Relaxed))).filter(|since| since.0 > 0)
    }

    /// It waits for the next request from now on.
    pub(super) fn set_idle(&self) {
        self.idle_since.store(Tick::now().0, Ordering::Relaxed);
    }

    /// A request has begun to arrive.
    pub(super) fn set_busy(&self) {
        self.idle_since.store(0, Ordering::Relaxed);
    }

    /// Ends it as if the client had closed; a response in progress is still sent.
    pub(super) fn stop_reading(&self) {
        drop(self.stream.shutdown(Shutdown::Read));
    }
}

/// A client's connection in the gateway's list; taken off the list when dropped.
pub(super) struct ClientGuard {
    id: u64,
    connection: Arc<ClientConnection>,
    gateway: Arc<Gateway>,
}

impl Drop for ClientGuard {
    fn drop(&mut self) {
        lock(&self.gateway.clients).remove(&self.id);
    }
}

/// What happens to a client's connection after it was served.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum AfterServing {
    /// It stays open, idle until the client's next request.
    KeepIdle,
    /// It ends.
    Close,
}

impl Gateway {
    /// Admits a client, if there is room for it; otherwise its connection ends.
    pub(super) fn admit_client(self: &Arc<Self>, stream: TcpStream) {
        if lock(&self.clients).len() >= self.max_clients {
            return;
        }
        let configured = configure_stream(&stream, WRITE_TIMEOUT)
            .and_then(|()| stream.set_write_timeout(Some(WRITE_TIMEOUT)));
        if configured.is_err() {
            return;
        }
        let id = self.next_client_id.fetch_add(1, Ordering::Relaxed);
        let connection = Arc::new(ClientConnection {
            stream,
            idle_since: AtomicU64::new(Tick::now().0),
            registered: AtomicBool::new(false),
        });
        lock(&self.clients).insert(id, Arc::clone(&connection));
        self.serve_on_thread(ClientGuard { id, connection, gateway: Arc::clone(self) });
    }

    /// Has a thread serve a client. Where none can be had, the connection ends.
    pub(super) fn serve_on_thread(&self, client: ClientGuard) {
        start_thread(move || {
            let connection = Arc::clone(&client.connection);
            match client.gateway.serve_client(&connection) {
                Ok(AfterServing::KeepIdle) => {
                    let gateway = Arc::clone(&client.gateway);
                    let registration = match connection.registered.swap(true, Ordering::Relaxed) {
                        true => Registration::Existing,
                        false => Registration::New,
                    };
                    gateway.idle_clients.park(client.id, &connection.stream, client, registration);
                }
                Ok(AfterServing::Close) => {}
                // Clients end connections all the time; a line for each would hide the rest.
                Err(e) => debug!(target: "gateway", "client {}: {e}", client.id),
            }
        });
    }

    /// Closes connections that were idle for longer than the configuration allows.
    pub(super) fn close_expired_clients(&self, now: Tick) {
        let Some(route_table) = self.route_table() else { return };
        let idle_timeout_ms = route_table.limits.idle_timeout_ms;
        for client in lock(&self.clients).values() {
            if client.idle_since().is_some_and(|since| now.since(since) >= idle_timeout_ms) {
                client.stop_reading();
            }
        }
    }
}

/// Why a request could not be read from a client.
#[derive(Debug, thiserror::Error)]
pub(super) enum ReceiveError {
    /// The client gets this refusal, and the connection ends.
    #[error("refused: {0:?}")]
    Refused(Refusal),
    /// The client has closed the connection.
    #[error("closed by the client")]
    Closed,
    /// The connection failed.
    #[error(transparent)]
    Connection(#[from] io::Error),
}

/// What one read from a client has come to.
pub(super) enum ReadResult {
    /// There may be more bytes in the buffer.
    Data,
    /// The client has closed the connection.
    Closed,
    /// Nothing came in time.
    TimedOut,
}

/// The stream of a client that is being served, with what was read and not parsed yet.
pub(super) struct ClientStream<'a> {
    stream: &'a TcpStream,
    pub(super) buffer: ReadBuffer,
    /// The largest body of a request, in bytes.
    pub(super) max_body_bytes: u64,
}

impl<'a> ClientStream<'a> {
    /// A stream of which nothing was read yet.
    pub(super) fn new(stream: &'a TcpStream) -> Self {
        Self { stream, buffer: ReadBuffer::default(), max_body_bytes: 0 }
    }

    /// Reads once, waiting until `deadline` at the most.
    pub(super) fn read(&mut self, deadline: Tick) -> io::Result<ReadResult> {
        let left_ms = deadline.since(Tick::now());
        if left_ms == 0 {
            return Ok(ReadResult::TimedOut);
        }
        self.stream.set_read_timeout(Some(Duration::from_millis(left_ms)))?;
        let mut stream = self.stream;
        match self.buffer.fill(&mut stream) {
            Ok(0) => Ok(ReadResult::Closed),
            Ok(_) => Ok(ReadResult::Data),
            Err(e) if e.kind() == io::ErrorKind::Interrupted => Ok(ReadResult::Data),
            Err(e) if matches!(e.kind(), io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut) => {
                Ok(ReadResult::TimedOut)
            }
            Err(e) => Err(e),
        }
    }

    /// Reads once more of a request that has begun; a client that is too slow is refused.
    pub(super) fn read_more(&mut self, deadline: Tick) -> Result<(), ReceiveError> {
        match self.read(deadline)? {
            ReadResult::Data => Ok(()),
            ReadResult::Closed => Err(ReceiveError::Closed),
            ReadResult::TimedOut => Err(ReceiveError::Refused(Refusal::RequestTimeout)),
        }
    }

    /// Decodes what was read of a request's body, and appends it to `output`.
    pub(super) fn decode_body(
        &mut self,
        body: &mut BodyDecoder,
        output: &mut Vec<u8>,
    ) -> Result<(), ReceiveError> {
        let consumed = body
            .decode(self.buffer.pending(), output)
            .map_err(|ParseError| ReceiveError::Refused(Refusal::Malformed))?;
        self.buffer.consume(consumed);
        Ok(())
    }

    /// Writes all of `bytes`, and fails if the client accepts none of it for too long.
    pub(super) fn write(&self, bytes: &[u8]) -> io::Result<()> {
        let mut stream = self.stream;
        stream.write_all(bytes)
    }

    /// Ends the connection so that the last response arrives although the client still sends: an
    /// immediate close would reset the connection and could drop the response on its way.
    pub(super) fn close_after_response(&mut self) -> io::Result<()> {
        self.stream.shutdown(Shutdown::Write)?;
        let deadline = Tick::now().plus(LINGER_MS);
        let mut stream = self.stream;
        let mut discarded = [0; 8192];
        self.stream.set_read_timeout(Some(LINGER_READ_TIMEOUT))?;
        while Tick::now() < deadline && stream.read(&mut discarded).is_ok_and(|n| n > 0) {}
        Ok(())
    }
}
