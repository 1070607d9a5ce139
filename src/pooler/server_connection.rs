//! One connection to a database, and the session state that the database holds for it.
//!
//! A `ServerConnection` counts its pending replies, since replies carry no id, and tracks which
//! settings and prepared statements the database holds for it. `pool` opens and keeps connections
//! and hands them out; `statement_execution` runs a session's statements on them.
use crate::base::errors::ErrorKind;
use crate::base::ids::{InstanceId, ServiceName, TenantName};
use crate::base::time::Tick;
use crate::net::idle_connections::is_readable;
use crate::net::sockets::connect_stream;
use crate::net::statement_protocol::{self, Outcome, ReadBuffer, Reply, TransactionState};
use crate::pooler::reroute::{PreparedStatement, SessionReroute};
use log::warn;
use std::collections::{BTreeMap, HashSet};
use std::fmt::{Arguments, Write as _};
use std::hash::{BuildHasher, RandomState};
use std::io::{self, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// How often a thread that waits for a reply checks whether to continue, in ms.
const CHECK_INTERVAL_MS: u64 = 25;

/// The timeout in ms for opening the TCP connection to a database.
pub(crate) const CONNECT_TIMEOUT_MS: u64 = 400;

/// The timeout in ms for opening a connection to a database, until its reply to CONNECT.
pub(crate) const HANDSHAKE_TIMEOUT_MS: u64 = 1_500;

/// The timeout for one write to a database.
const WRITE_TIMEOUT: Duration = Duration::from_secs(1);

/// The time after which the kernel closes a connection whose peer acknowledges no data.
const UNACKNOWLEDGED_TIMEOUT: Duration = Duration::from_secs(3);

/// The timeout in ms for rolling back a transaction; after that the connection is closed.
const ROLLBACK_TIMEOUT_MS: u64 = 300;

/// The maximum size of a reply; the connection of a larger one is considered broken.
const MAX_REPLY_BYTES: usize = 4 << 20;

/// The maximum number of prepared statements on one connection; beyond it all are discarded.
const MAX_PREPARED_STATEMENTS: usize = 256;

/// The sync cost of a connection that has to be reset, higher than that of sending any number of
/// settings.
const RESET_COST: usize = 100;

/// The client name in a pooler's CONNECT to a database if there is no tenant. It is part of the wire format and appears
/// in the databases' logs.
const CLIENT_NAME_ON_THE_WIRE: &str = "stile";

/// Why no reply can be received on a connection any more.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub(crate) enum Loss {
    /// The connection is closed, or its state is not known.
    #[error("database connection is closed or out of sync")]
    Broken,
    /// The wait was abandoned: the reply took too long, or the lease on the primary ended.
    #[error("abandoned the wait for the database's reply: reply timeout, or lease lost")]
    Abandoned,
    /// The deadline of the statement has passed.
    #[error("statement deadline passed before the database replied")]
    DeadlineExceeded,
}

/// A statement that got no usable reply.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{loss}")]
pub(crate) struct ExchangeError {
    /// What happened to the connection.
    pub(crate) loss: Loss,
    /// Whether the statement may have reached the database, in part or in full.
    pub(crate) sent: bool,
}

impl ExchangeError {
    /// Creates the error of a statement that can't have reached a database.
    pub(crate) fn unsent(loss: Loss) -> Self {
        Self { loss, sent: false }
    }

    /// Creates the error of a statement that may have reached a database.
    pub(crate) fn sent(loss: Loss) -> Self {
        Self { loss, sent: true }
    }
}

/// Why no connection to a database could be opened.
#[derive(Debug, thiserror::Error)]
pub(crate) enum ConnectError {
    /// The database replied to CONNECT with an error.
    #[error("database rejected CONNECT: {0}")]
    Rejected(ErrorKind),
    /// The database could not be reached, or violated the protocol.
    #[error(transparent)]
    Io(#[from] io::Error),
}

/// A version of a session's settings and prepared statements.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct SessionVersion {
    session: u64,
    version: u64,
}

/// A connection to a database, and the session state that the database holds for it.
pub(crate) struct ServerConnection {
    stream: TcpStream,
    buffer: ReadBuffer,
    /// The tenant that the database was told.
    tenant: Option<TenantName>,
    /// The number of replies that are still pending. Replies carry no id, so only this count tells
    /// which statement a reply belongs to.
    pending_replies: u32,
    settings: BTreeMap<String, String>,
    /// The ids of the statements that are prepared on the connection.
    prepared: HashSet<u64>,
    /// The session state that the connection was last synced to.
    synced: Option<SessionVersion>,
    /// Whether a transaction is open.
    pub(crate) in_transaction: bool,
    /// Whether session state was sent inside a transaction and may have been rolled back with it.
    pub(crate) synced_in_transaction: bool,
}

/// The statements that sync a connection to the state of a session, sent in one write.
#[derive(Default)]
struct SyncBatch {
    lines: String,
    count: u32,
}

impl SyncBatch {
    fn push(&mut self, statement: Arguments<'_>) {
        self.count += 1;
        // Writing to a `String` can't fail.
        let _ = write!(self.lines, "QUERY - {statement}\r\n");
    }
}

impl ServerConnection {
    /// Opens a connection to the database `id` of a service on behalf of a tenant, and waits for
    /// its reply to CONNECT until `deadline`.
    pub(crate) fn connect(
        address: SocketAddr,
        service: &ServiceName,
        id: &InstanceId,
        tenant: Option<TenantName>,
        deadline: Tick,
    ) -> Result<Self, ConnectError> {
        let stream = connect_stream(
            address,
            Duration::from_millis(CONNECT_TIMEOUT_MS),
            UNACKNOWLEDGED_TIMEOUT,
        )?;
        stream.set_read_timeout(Some(Duration::from_millis(CHECK_INTERVAL_MS)))?;
        stream.set_write_timeout(Some(WRITE_TIMEOUT))?;
        let mut connection = Self {
            stream,
            buffer: ReadBuffer::default(),
            tenant,
            pending_replies: 0,
            settings: BTreeMap::new(),
            prepared: HashSet::new(),
            synced: None,
            in_transaction: false,
            synced_in_transaction: false,
        };
        let user = connection.tenant.as_ref().map_or(CLIENT_NAME_ON_THE_WIRE, |t| t.0.as_str());
        let connect = format!("CONNECT {service} {user} {id}\r\n");
        connection.stream.write_all(connect.as_bytes())?;
        connection.receive_connect_reply(deadline)?;
        Ok(connection)
    }

    /// Waits for the reply to CONNECT.
    fn receive_connect_reply(&mut self, deadline: Tick) -> Result<(), ConnectError> {
        loop {
            if let Some(kind) = statement_protocol::parse_connect_error(self.buffer.pending()) {
                return Err(ConnectError::Rejected(kind));
            }
            match statement_protocol::parse_reply(self.buffer.pending()) {
                Ok(Some(reply)) => {
                    self.buffer.consume(reply.end);
                    if reply.state != TransactionState::Idle || !self.is_settled() {
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

    /// The tenant on whose behalf the connection was opened.
    pub(crate) fn tenant(&self) -> Option<&TenantName> {
        self.tenant.as_ref()
    }

    /// Whether no reply is pending and the buffer is empty.
    pub(crate) fn is_settled(&self) -> bool {
        self.pending_replies == 0 && self.buffer.is_empty()
    }

    /// Whether the connection is settled, no unexpected data has arrived, and the database has not
    /// closed it.
    pub(crate) fn is_usable(&self) -> bool {
        self.is_settled() && !is_readable(&self.stream)
    }

    /// Sends `bytes`, for which the database will send this number of replies.
    pub(crate) fn send(&mut self, bytes: &[u8], replies: u32) -> Result<(), ExchangeError> {
        // After unexpected data, later replies could no longer be matched to their statements.
        if !self.is_usable() {
            return Err(ExchangeError::unsent(Loss::Broken));
        }
        self.pending_replies = replies;
        self.stream.write_all(bytes).map_err(|_| ExchangeError::sent(Loss::Broken))
    }

    /// Waits for one reply, which stays in the buffer until it is consumed. `check` is called every
    /// `CHECK_INTERVAL_MS` and ends the wait if it returns a loss.
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

    /// Parses the reply at the start of the buffer, if it is complete.
    fn parse_reply(&self) -> Result<Option<Reply>, Loss> {
        let pending = self.buffer.pending();
        match statement_protocol::parse_reply(pending) {
            // With data after the last pending reply, either may belong to another statement.
            Ok(Some(reply)) if self.pending_replies <= 1 && reply.end < pending.len() => {
                warn!(
                    target: "pool",
                    "database sent {} bytes after the last pending reply; closing the connection",
                    pending.len() - reply.end
                );
                Err(Loss::Broken)
            }
            Ok(None) if pending.len() > MAX_REPLY_BYTES => Err(Loss::Broken),
            Ok(reply) => Ok(reply),
            Err(statement_protocol::MalformedReply) => {
                warn!(
                    target: "pool",
                    "database sent a malformed reply ({} bytes received); closing the connection",
                    pending.len()
                );
                Err(Loss::Broken)
            }
        }
    }

    /// The bytes of a reply that was received but not yet consumed.
    pub(crate) fn reply_bytes(&self, reply: &Reply) -> &[u8] {
        &self.buffer.pending()[..reply.end]
    }

    /// Removes a reply from the buffer after it was handled or forwarded.
    pub(crate) fn consume(&mut self, reply: &Reply) {
        self.buffer.consume(reply.end);
        self.pending_replies = self.pending_replies.saturating_sub(1);
    }

    /// Rolls back the open transaction. After an error the connection must be closed.
    pub(crate) fn roll_back(&mut self) -> Result<(), Loss> {
        let deadline = Tick::now().plus(ROLLBACK_TIMEOUT_MS);
        self.send(b"QUERY - ABORT\r\n", 1).map_err(|e| e.loss)?;
        let reply = self.receive(|| (Tick::now() >= deadline).then_some(Loss::Abandoned))?;
        if reply.state != TransactionState::Idle {
            return Err(Loss::Broken);
        }
        self.consume(&reply);
        self.in_transaction = false;
        Ok(())
    }

    /// The cost of syncing the connection to the state of a session; the pool prefers the
    /// connection with the lowest cost.
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

    /// Whether the connection has settings that are not in `settings`.
    fn has_other_settings(&self, settings: &BTreeMap<String, String>) -> bool {
        self.settings.keys().any(|name| !settings.contains_key(name))
    }

    /// Syncs the connection to the settings and prepared statements of a session. The differences
    /// are sent in one write. `check` may end the wait for the replies, see `receive`.
    pub(crate) fn sync(
        &mut self,
        reroute: &SessionReroute,
        session: u64,
        hasher: &RandomState,
        check: impl FnMut() -> Option<Loss>,
    ) -> Result<(), Loss> {
        let version = SessionVersion { session, version: reroute.version() };
        // State that was sent inside a transaction may have been rolled back with it.
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

    /// Plans the statements that are needed for a sync, and records their effects as if they had
    /// run.
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
            || self.prepared.len() + missing > MAX_PREPARED_STATEMENTS;
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
                let (verb, text) = (statement.verb.keyword(), &statement.text);
                batch.push(format_args!("PREPARE p{id:x} {verb} {text}"));
            }
        }
        batch
    }

    /// Sends the statements and waits for a success reply to each.
    fn run_sync(
        &mut self,
        batch: &SyncBatch,
        mut check: impl FnMut() -> Option<Loss>,
    ) -> Result<(), Loss> {
        self.synced_in_transaction |= self.in_transaction;
        self.send(batch.lines.as_bytes(), batch.count).map_err(|e| e.loss)?;
        for _ in 0..batch.count {
            let reply = self.receive(&mut check)?;
            let in_transaction = reply.state == TransactionState::Open;
            if reply.outcome != Outcome::Complete || in_transaction != self.in_transaction {
                // The state that the database now holds for the connection is not known.
                return Err(Loss::Broken);
            }
            self.consume(&reply);
        }
        Ok(())
    }
}

/// The id of a prepared statement at all databases, independent of the clients' names for it. The
/// hasher has a random key per process, so that no client can construct a collision of two ids.
pub(crate) fn prepared_statement_id(hasher: &RandomState, statement: &PreparedStatement) -> u64 {
    hasher.hash_one(statement)
}

/// Whether a read ended because the socket's read timeout expired.
fn is_timeout(error: &io::Error) -> bool {
    matches!(error.kind(), io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut)
}
