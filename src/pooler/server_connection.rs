//! One connection to a database, and what the database holds for it.
//!
//! A `ServerConnection` counts the replies that are still to come, since replies carry no id, and
//! knows which settings and prepared statements the database keeps for it. `pool` opens, keeps and
//! lends it; `statement_execution` runs a session's statements on it.
use crate::base::errors::ErrorKind;
use crate::base::ids::{InstanceId, ServiceName};
use crate::base::time::Tick;
use crate::net::idle_connections::is_readable;
use crate::net::sockets::connect_stream;
use crate::net::statement_protocol::{self, Outcome, ReadBuffer, Reply, State};
use crate::pooler::reroute::{PreparedStatement, SessionReroute};
use log::warn;
use std::collections::{BTreeMap, HashSet};
use std::fmt::{Arguments, Write as _};
use std::hash::{BuildHasher, RandomState};
use std::io::{self, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// How often a thread that waits for a database checks whether to wait on, in ms.
const CHECK_INTERVAL_MS: u64 = 25;

/// The time in ms for the TCP connection to a database.
pub(crate) const CONNECT_MS: u64 = 400;

/// The time in ms from the wish for a connection to the database's reply to CONNECT.
pub(crate) const HANDSHAKE_MS: u64 = 1_500;

/// The time for one write to a database.
const WRITE_TIMEOUT: Duration = Duration::from_secs(1);

/// The time after which the kernel gives up a connection whose peer acknowledges nothing.
const UNACKNOWLEDGED_TIMEOUT: Duration = Duration::from_secs(3);

/// The time in ms that a database has to roll back a transaction before its connection is closed.
const ROLLBACK_MS: u64 = 300;

/// A reply of more bytes than this is taken for garbage.
const MAX_REPLY_BYTES: usize = 4 << 20;

/// Prepared statements on one connection before all of them are discarded.
const MAX_PREPARED: usize = 256;

/// The cost of a connection that has to be reset, above that of any number of settings to send.
const RESET_COST: usize = 100;

/// What a pooler calls itself in its CONNECT to a database. It is on the wire and in the databases'
/// logs, so it stays as it is.
const CLIENT_NAME_ON_THE_WIRE: &str = "stile";

/// Why a reply can't be had on a connection any more.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub(crate) enum Loss {
    /// The connection is gone or can't be trusted.
    #[error("the connection broke or can't be trusted")]
    Broken,
    /// Waiting was given up: the reply takes too long, or the lease on the primary ended.
    #[error("the wait for the reply was given up")]
    Abandoned,
    /// The deadline of the statement has passed.
    #[error("the statement's deadline has passed")]
    DeadlineExceeded,
}

/// A statement got no usable reply.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{loss}")]
pub(crate) struct ExchangeError {
    /// What happened to the connection.
    pub(crate) loss: Loss,
    /// The statement may have reached the database, in part or whole.
    pub(crate) sent: bool,
}

impl ExchangeError {
    /// The statement can't have reached a database.
    pub(crate) fn unsent(loss: Loss) -> Self {
        Self { loss, sent: false }
    }

    /// The statement may have reached a database.
    pub(crate) fn sent(loss: Loss) -> Self {
        Self { loss, sent: true }
    }
}

/// Why a database gave no connection.
#[derive(Debug, thiserror::Error)]
pub(crate) enum ConnectError {
    /// It answered CONNECT with an error.
    #[error("the database rejected the connection: {0}")]
    Rejected(ErrorKind),
    /// It could not be reached, or did not answer as the protocol demands.
    #[error(transparent)]
    Io(#[from] io::Error),
}

/// A version of a session's settings and prepared statements.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct SessionVersion {
    session: u64,
    version: u64,
}

/// A connection to a database, and what the database holds for it.
pub(crate) struct ServerConnection {
    stream: TcpStream,
    buffer: ReadBuffer,
    /// Replies that are still to come. Only this count tells which statement a reply belongs to.
    pending_replies: u32,
    settings: BTreeMap<String, String>,
    /// The ids of the statements that are prepared.
    prepared: HashSet<u64>,
    /// The session state that was last sent in full.
    synced: Option<SessionVersion>,
    /// A transaction was opened and not ended.
    pub(crate) in_transaction: bool,
    /// Session state was sent inside a transaction, and may have been rolled back with it.
    pub(crate) synced_in_transaction: bool,
}

/// The statements that bring a connection to the state of a session, to be sent in one write.
#[derive(Default)]
struct SyncBatch {
    lines: String,
    count: u32,
}

impl SyncBatch {
    fn push(&mut self, statement: Arguments<'_>) {
        self.count += 1;
        // Writing to a String can't fail.
        let _ = write!(self.lines, "QUERY - {statement}\r\n");
    }
}

impl ServerConnection {
    /// Opens a connection to the database `id` of a service, and waits for its reply to CONNECT
    /// until `deadline`.
    pub(crate) fn connect(
        address: SocketAddr,
        service: &ServiceName,
        id: &InstanceId,
        deadline: Tick,
    ) -> Result<Self, ConnectError> {
        let stream =
            connect_stream(address, Duration::from_millis(CONNECT_MS), UNACKNOWLEDGED_TIMEOUT)?;
        stream.set_read_timeout(Some(Duration::from_millis(CHECK_INTERVAL_MS)))?;
        stream.set_write_timeout(Some(WRITE_TIMEOUT))?;
        let mut connection = Self {
            stream,
            buffer: ReadBuffer::default(),
            pending_replies: 0,
            settings: BTreeMap::new(),
            prepared: HashSet::new(),
            synced: None,
            in_transaction: false,
            synced_in_transaction: false,
        };
        let greeting = format!("CONNECT {service} {CLIENT_NAME_ON_THE_WIRE} {id}\r\n");
        connection.stream.write_all(greeting.as_bytes())?;
        connection.receive_greeting(deadline)?;
        Ok(connection)
    }

    /// Waits for the reply to CONNECT.
    fn receive_greeting(&mut self, deadline: Tick) -> Result<(), ConnectError> {
        loop {
            if let Some(kind) = statement_protocol::refused_connect(self.buffer.pending()) {
                return Err(ConnectError::Rejected(kind));
            }
            match statement_protocol::reply(self.buffer.pending()) {
                Ok(Some(reply)) => {
                    self.buffer.consume(reply.end);
                    if reply.state != State::Idle || !self.is_settled() {
                        return Err(io::Error::from(io::ErrorKind::InvalidData).into());
                    }
                    return Ok(());
                }
                Ok(None) => {}
                Err(statement_protocol::MalformedReply) => {
                    return Err(io::Error::from(io::ErrorKind::InvalidData).into());
                }
            }
            match self.buffer.fill(&mut self.stream) {
                Ok(0) => return Err(io::Error::from(io::ErrorKind::UnexpectedEof).into()),
                Ok(_) => {}
                Err(e) if is_timeout(&e) => {
                    if Tick::now() >= deadline {
                        return Err(io::Error::from(io::ErrorKind::TimedOut).into());
                    }
                }
                Err(e) => return Err(e.into()),
            }
        }
    }

    /// Whether no reply is to come and no byte is left over.
    pub(crate) fn is_settled(&self) -> bool {
        self.pending_replies == 0 && self.buffer.is_empty()
    }

    /// Whether the connection is settled, nothing else has arrived, and the database has not
    /// closed it.
    pub(crate) fn is_usable(&self) -> bool {
        self.is_settled() && !is_readable(&self.stream)
    }

    /// Sends `bytes`, which will be answered by so many replies.
    pub(crate) fn send(&mut self, bytes: &[u8], replies: u32) -> Result<(), ExchangeError> {
        // Bytes that nobody asked for would make it unclear whose reply each later one is.
        if !self.is_usable() {
            return Err(ExchangeError::unsent(Loss::Broken));
        }
        self.pending_replies = replies;
        self.stream.write_all(bytes).map_err(|_| ExchangeError::sent(Loss::Broken))
    }

    /// Waits for one reply, which stays in the buffer until it is consumed. `check` is asked every
    /// `CHECK_INTERVAL_MS` whether to give up.
    pub(crate) fn receive(
        &mut self,
        mut check: impl FnMut() -> Option<Loss>,
    ) -> Result<Reply, Loss> {
        loop {
            if !self.buffer.is_empty()
                && let Some(reply) = self.parse_reply()?
            {
                return Ok(reply);
            }
            match self.buffer.fill(&mut self.stream) {
                Ok(0) => return Err(Loss::Broken),
                Ok(_) => {}
                Err(e) if is_timeout(&e) => {
                    if let Some(loss) = check() {
                        return Err(loss);
                    }
                }
                Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
                Err(_) => return Err(Loss::Broken),
            }
        }
    }

    /// The reply at the start of the buffer, if all of it is there.
    fn parse_reply(&self) -> Result<Option<Reply>, Loss> {
        let pending = self.buffer.pending();
        match statement_protocol::reply(pending) {
            // With more bytes behind the last reply due, either may be another statement's.
            Ok(Some(reply)) if self.pending_replies <= 1 && reply.end < pending.len() => {
                warn!(target: "pool", "an unexpected response");
                Err(Loss::Broken)
            }
            Ok(None) if pending.len() > MAX_REPLY_BYTES => Err(Loss::Broken),
            Ok(reply) => Ok(reply),
            Err(statement_protocol::MalformedReply) => {
                warn!(target: "pool", "malformed response");
                Err(Loss::Broken)
            }
        }
    }

    /// The bytes of a reply that was received and not yet consumed.
    pub(crate) fn reply_bytes(&self, reply: &Reply) -> &[u8] {
        &self.buffer.pending()[..reply.end]
    }

    /// Drops a reply from the buffer, once it was handled or passed on.
    pub(crate) fn consume(&mut self, reply: &Reply) {
        self.buffer.consume(reply.end);
        self.pending_replies = self.pending_replies.saturating_sub(1);
    }

    /// Rolls the open transaction back. After an error the connection is of no use.
    pub(crate) fn roll_back(&mut self) -> Result<(), Loss> {
        let deadline = Tick::now().plus(ROLLBACK_MS);
        self.send(b"QUERY - ABORT\r\n", 1).map_err(|e| e.loss)?;
        let reply = self.receive(|| (Tick::now() >= deadline).then_some(Loss::Abandoned))?;
        if reply.state != State::Idle {
            return Err(Loss::Broken);
        }
        self.consume(&reply);
        self.in_transaction = false;
        Ok(())
    }

    /// How much has to be sent before the next statement of a session: the lower, the better the
    /// connection fits.
    pub(crate) fn sync_cost(&self, reroute: &SessionReroute, session: u64) -> usize {
        let settings = reroute.settings();
        if self.synced == Some(SessionVersion { session, version: reroute.version() }) {
            0
        } else if self.synced_in_transaction || self.has_other_settings(settings) {
            RESET_COST
        } else {
            let differs =
                |(name, value): &(&String, &String)| self.settings.get(*name) != Some(*value);
            1 + settings.iter().filter(differs).count()
        }
    }

    /// Whether it holds settings that are not among `settings`.
    fn has_other_settings(&self, settings: &BTreeMap<String, String>) -> bool {
        self.settings.keys().any(|name| !settings.contains_key(name))
    }

    /// Brings the connection to the settings and prepared statements of a session: what differs is
    /// sent in one write. `check` is asked now and then whether to give up.
    pub(crate) fn sync(
        &mut self,
        reroute: &SessionReroute,
        session: u64,
        hasher: &RandomState,
        check: impl FnMut() -> Option<Loss>,
    ) -> Result<(), Loss> {
        let version = SessionVersion { session, version: reroute.version() };
        // What was sent inside a transaction that is over may have been rolled back with it.
        if self.synced == Some(version) && (self.in_transaction || !self.synced_in_transaction) {
            return Ok(());
        }
        let batch = self.plan_sync(reroute, hasher);
        if batch.count > 0 {
            self.run_sync(&batch, check)?;
        }
        self.synced = Some(version);
        Ok(())
    }

    /// The statements that are needed, noted as if they had been run.
    fn plan_sync(&mut self, reroute: &SessionReroute, hasher: &RandomState) -> SyncBatch {
        let settings = reroute.settings();
        let mut batch = SyncBatch::default();
        let wanted: Vec<(u64, &PreparedStatement)> = reroute
            .prepared_statements()
            .map(|statement| (prepared_statement_id(hasher, statement), statement))
            .collect();
        let missing = wanted.iter().filter(|(id, _)| !self.prepared.contains(id)).count();
        let reset = self.has_other_settings(settings)
            || self.synced_in_transaction
            || self.prepared.len() + missing > MAX_PREPARED;
        if reset && !self.in_transaction {
            batch.push(format_args!("DISCARD"));
            self.settings.clear();
            self.prepared.clear();
            self.synced_in_transaction = false;
        }
        for (name, value) in settings {
            if self.settings.get(name) != Some(value) {
                batch.push(format_args!("CONFIGURE {name} {value}"));
                self.settings.insert(name.clone(), value.clone());
            }
        }
        for (id, statement) in wanted {
            if self.prepared.insert(id) {
                let (verb, text) = (statement.verb.word(), &statement.text);
                batch.push(format_args!("PREPARE p{id:x} {verb} {text}"));
            }
        }
        batch
    }

    /// Sends the statements and waits for the success of each.
    fn run_sync(
        &mut self,
        batch: &SyncBatch,
        mut check: impl FnMut() -> Option<Loss>,
    ) -> Result<(), Loss> {
        self.synced_in_transaction |= self.in_transaction;
        self.send(batch.lines.as_bytes(), batch.count).map_err(|e| e.loss)?;
        for _ in 0..batch.count {
            let reply = self.receive(&mut check)?;
            let in_transaction = reply.state == State::Open;
            if reply.outcome != Outcome::Complete || in_transaction != self.in_transaction {
                // What the database holds for the connection now is not known.
                return Err(Loss::Broken);
            }
            self.consume(&reply);
        }
        Ok(())
    }
}

/// The id that a prepared statement has at every database, whatever its clients call it. The hasher
/// is keyed anew in each process, so that no client can choose two statements that share an id.
pub(crate) fn prepared_statement_id(hasher: &RandomState, statement: &PreparedStatement) -> u64 {
    hasher.hash_one(statement)
}

/// Whether nothing came within the read time-out of the socket.
fn is_timeout(error: &io::Error) -> bool {
    matches!(error.kind(), io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut)
}
