//! Client connections: how they are accepted, served by threads, kept open while idle, and closed.
//!
//! An idle connection occupies no thread: it is registered with [`IdleConnections`], which returns
//! it when it becomes readable. Invariant: a connection is in the gateway's client list exactly as
//! long as its [`ClientGuard`] exists, however the connection ends.
//!
//! [`IdleConnections`]: crate::net::idle_connections::IdleConnections
use crate::base::errors::Refusal;
use crate::base::sync::lock;
use crate::base::time::Tick;
use crate::base::worker_pool::start_thread;
use crate::gateway::http1::{BodyDecoder, ParseError};
use crate::gateway::server::Gateway;
use crate::net::idle_connections::{Registration, is_readable};
use crate::net::sockets::configure_stream;
use crate::net::statement_protocol::ReadBuffer;
use crate::node::client_watch::{ClientLeft, ClientWatch, WaitError};
use log::debug;
use std::io::{self, Read, Write};
use std::net::{Shutdown, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::Duration;

/// A client that accepts no bytes of a response for this long is disconnected.
const WRITE_TIMEOUT: Duration = Duration::from_secs(10);

/// How long bytes from a client are read and dropped after the last response, in milliseconds.
const MAX_LINGER_MS: u64 = 500;

/// The longest wait for one read while lingering.
const LINGER_READ_TIMEOUT: Duration = Duration::from_millis(100);

/// A client connection, shared by the thread that serves it and those that may close it.
pub(super) struct ClientConnection {
    pub(super) stream: TcpStream,
    /// The tick since which the connection is idle: no byte of a next request was read. 0 while it
    /// is busy.
    idle_since: AtomicU64,
    /// Whether the connection was registered with the idle connections before.
    registered: AtomicBool,
}

impl ClientConnection {
    /// Since when the connection is idle; `None` while it is busy.
    pub(super) fn idle_since(&self) -> Option<Tick> {
        Some(Tick(self.idle_since.load(Ordering::Relaxed))).filter(|since| since.0 > 0)
    }

    /// Marks the connection as idle from now on.
    pub(super) fn set_idle(&self) {
        self.idle_since.store(Tick::now().0, Ordering::Relaxed);
    }

    /// Marks the connection as busy: part of a request has arrived.
    pub(super) fn set_busy(&self) {
        self.idle_since.store(0, Ordering::Relaxed);
    }
}

/// A client connection in the gateway's client list. It is removed from the list when dropped.
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

/// What happens to a client connection after it was served.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum AfterServing {
    /// It stays open and idle until the client's next request.
    KeepIdle,
    /// It is closed.
    Close,
}

impl Gateway {
    /// Starts to serve a new client connection. Closes it if there are too many clients already.
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

    /// Serves a client on a thread. Closes the connection if no thread is available.
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
                // Debug level, because client connections fail often.
                Err(e) => debug!(
                    target: "gateway",
                    "client connection {} is closed after an error while serving it: {e}",
                    client.id
                ),
            }
        });
    }

    /// Closes the client connections that were idle for longer than the configuration allows.
    pub(super) fn close_expired_clients(&self, now: Tick) {
        let Some(route_table) = self.route_table() else { return };
        let idle_timeout_ms = route_table.limits.idle_timeout_ms;
        self.close_idle_clients(|since| now.since(since) >= idle_timeout_ms);
    }

    /// Closes the client connections that are idle since a tick for which `is_due` returns true.
    /// One that a thread still serves is left to a later call, and one that has just received bytes
    /// is served instead.
    pub(super) fn close_idle_clients(&self, is_due: impl Fn(Tick) -> bool) {
        let due: Vec<u64> = lock(&self.clients)
            .iter()
            .filter(|(_, client)| client.idle_since().is_some_and(&is_due))
            .map(|(id, _)| *id)
            .collect();
        for client in due.into_iter().filter_map(|id| self.idle_clients.take(id)) {
            if is_readable(&client.connection.stream) {
                self.serve_on_thread(client);
            }
        }
    }
}

/// Why a request could not be received from a client.
#[derive(Debug, thiserror::Error)]
pub(super) enum ReceiveError {
    /// The request is refused, and the connection is closed after the refusal.
    #[error("request refused: {0:?}")]
    Refused(Refusal),
    /// The client has closed the connection.
    #[error("connection closed by the client")]
    Closed,
    /// The connection failed.
    #[error(transparent)]
    Connection(#[from] io::Error),
}

impl From<ClientLeft> for ReceiveError {
    fn from(ClientLeft: ClientLeft) -> Self {
        Self::Closed
    }
}

impl From<WaitError> for ReceiveError {
    fn from(error: WaitError) -> Self {
        match error {
            WaitError::ClientLeft(ClientLeft) => Self::Closed,
            WaitError::Poll(e) => Self::Connection(e),
        }
    }
}

/// The result of one read from a client.
pub(super) enum ReadResult {
    /// The read returned; there may be more bytes in the buffer.
    Data,
    /// The client has closed the connection.
    Closed,
    /// Nothing was received before the deadline.
    TimedOut,
}

/// The stream of a client that is being served, with the bytes that were read and not parsed yet.
pub(super) struct ClientStream<'a> {
    stream: &'a TcpStream,
    pub(super) buffer: ReadBuffer,
    /// The largest request body that is accepted, in bytes.
    pub(super) max_body_bytes: u64,
}

impl<'a> ClientStream<'a> {
    /// Creates a stream from which nothing was read yet.
    pub(super) fn new(stream: &'a TcpStream) -> Self {
        Self { stream, buffer: ReadBuffer::default(), max_body_bytes: 0 }
    }

    /// Watches whether the client leaves.
    pub(super) fn watch(&self) -> ClientWatch<'a> {
        ClientWatch::new(self.stream)
    }

    /// Reads once, and waits until `deadline` at most.
    pub(super) fn read(&mut self, deadline: Tick) -> io::Result<ReadResult> {
        let remaining_ms = deadline.since(Tick::now());
        if remaining_ms == 0 {
            return Ok(ReadResult::TimedOut);
        }
        self.stream.set_read_timeout(Some(Duration::from_millis(remaining_ms)))?;
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

    /// Reads more of a request whose beginning was received. Refuses it if the client is too slow.
    pub(super) fn read_more(&mut self, deadline: Tick) -> Result<(), ReceiveError> {
        match self.read(deadline)? {
            ReadResult::Data => Ok(()),
            ReadResult::Closed => Err(ReceiveError::Closed),
            ReadResult::TimedOut => Err(ReceiveError::Refused(Refusal::RequestTimeout)),
        }
    }

    /// Decodes the part of a request body that was read, and appends it to `output`.
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

    /// Writes all of `bytes`. Fails if the client accepts none of them within the write timeout.
    pub(super) fn write(&self, bytes: &[u8]) -> io::Result<()> {
        let mut stream = self.stream;
        stream.write_all(bytes)
    }

    /// Closes the connection so that the last response arrives although the client still sends. An
    /// immediate close would reset the connection and could discard the response in transit.
    pub(super) fn close_after_response(&mut self) -> io::Result<()> {
        self.stream.shutdown(Shutdown::Write)?;
        let deadline = Tick::now().plus(MAX_LINGER_MS);
        let mut stream = self.stream;
        let mut discarded = [0; 8192];
        self.stream.set_read_timeout(Some(LINGER_READ_TIMEOUT))?;
        while Tick::now() < deadline && stream.read(&mut discarded).is_ok_and(|n| n > 0) {}
        Ok(())
    }
}
