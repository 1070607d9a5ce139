//! One client's session, from its CONNECT to its end.
//!
//! A worker thread calls `Session::serve` when the client may have sent data; a session that waits
//! for its client needs no thread. Statements that a database has to run are handled by
//! `statement_execution`; the pooler replies to all others here.
use crate::base::errors::ErrorKind;
use crate::base::ids::Position;
use crate::base::time::Tick;
use crate::config::route_table::RouteTable;
use crate::net::statement_protocol::{
    self, Line, ReadBuffer, ReadLineError, Reply, Statement, TransactionState,
};
use crate::pooler::reroute::{SessionReroute, StatementDecision, StatementPlan};
use crate::pooler::server::{CheckedOutConnection, Pooler};
use crate::pooler::session_target::{Credentials, SessionTarget};
use crate::pooler::sessions::SessionHandle;
use std::fmt::Arguments;
use std::io::{self, Write};
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::atomic::Ordering;

/// What happens to a session after its pending input was served.
pub(crate) enum NextStep {
    /// The session waits for its client without a thread.
    Park,
    /// The session has ended.
    End,
}

/// A client's connection, with its session once the client has sent CONNECT.
pub(crate) struct Session {
    pub(crate) id: u64,
    pub(crate) pooler: Arc<Pooler>,
    pub(crate) handle: Arc<SessionHandle>,
    pub(crate) buffer: ReadBuffer,
    pub(crate) client: Option<ClientSession>,
}

/// The session of a client that has sent CONNECT.
pub(crate) struct ClientSession {
    pub(super) pooler: Arc<Pooler>,
    handle: Arc<SessionHandle>,
    pub(super) id: u64,
    pub(super) reroute: SessionReroute,
    /// The connection to a database that the session currently holds.
    pub(super) checked_out: Option<CheckedOutConnection>,
    credentials: Credentials,
    /// The route table that `target` was taken from.
    route_table: Arc<RouteTable>,
    pub(super) target: SessionTarget,
    /// The position of this session's last commit.
    pub(super) own_position: Option<Position>,
    /// The last position that was sent to the client.
    last_position: Option<Position>,
}

/// A statement that a database has to run, as the client sent it.
pub(super) struct ClientStatement<'a> {
    /// The client's id for the statement.
    pub(super) id: &'a str,
    /// The statement as the client wrote it.
    pub(super) text: &'a str,
    pub(super) statement: Statement<'a>,
    pub(super) plan: StatementPlan,
    pub(super) arrived_at: Tick,
}

/// A reply to the client.
pub(super) enum ClientReply {
    /// The database's reply, which is in the buffer of the checked-out connection.
    Forward(Reply),
    /// The database's reply, with the position in it. The connection has been released.
    Detached {
        /// The reply as the database sent it.
        bytes: Vec<u8>,
        /// The position in the reply.
        position: Option<Position>,
    },
    /// Success of a statement that needed no database.
    Complete,
    /// An error.
    Error {
        /// The kind of the error, which tells the client whether the statement may have run.
        kind: ErrorKind,
        /// A description for people.
        text: String,
    },
}

/// The outcome of one line from the client.
enum LineOutcome {
    Reply(ClientReply),
    /// The client ended the session.
    Closed,
    /// The configuration no longer admits the client: its route or its key is gone.
    NotAdmitted(ErrorKind),
}

impl ClientReply {
    pub(super) fn error(kind: ErrorKind, text: &str) -> Self {
        ClientReply::Error { kind, text: text.to_owned() }
    }
}

impl Session {
    /// Serves the client until it pauses or the session ends.
    pub(crate) fn serve(&mut self) -> io::Result<NextStep> {
        if self.client.is_none()
            && let Some(next) = self.receive_connect()?
        {
            return Ok(next);
        }
        match &mut self.client {
            Some(client) => client.serve(&mut self.buffer),
            None => Ok(NextStep::End),
        }
    }

    /// Handles the client's CONNECT. Returns `None` if the session has begun and may be served.
    fn receive_connect(&mut self) -> io::Result<Option<NextStep>> {
        let mut stream = &self.handle.stream;
        let credentials = match self.buffer.read_line(&mut stream) {
            Ok(line) => match statement_protocol::parse_line(line) {
                Ok(Line::Connect { database, user }) => {
                    Credentials { database: database.to_owned(), key: user.to_owned() }
                }
                Ok(Line::Close) => return Ok(Some(NextStep::End)),
                _ => return self.reject(ErrorKind::Malformed, "CONNECT comes first"),
            },
            Err(ReadLineError::TooLarge) => return self.reject(ErrorKind::TooLarge, "over 1 MiB"),
            Err(ReadLineError::TimedOut) => return Ok(Some(NextStep::Park)),
            Err(ReadLineError::Closed | ReadLineError::Io(_)) => return Ok(Some(NextStep::End)),
        };
        let client = match self.begin(credentials) {
            Ok(client) => client,
            Err(kind) => return self.reject(kind, rejection_text(kind)),
        };
        stream.write_all(b"READY I -\r\n")?;
        self.handle.connected.store(true, Ordering::Relaxed);
        self.client = Some(client);
        Ok(None)
    }

    fn begin(&self, credentials: Credentials) -> Result<ClientSession, ErrorKind> {
        let route_table = self.pooler.route_table().ok_or(ErrorKind::NoDatabase)?;
        let target = SessionTarget::look_up(&route_table, &credentials)
            .inspect_err(|kind| self.pooler.count_denial(*kind))?;
        Ok(ClientSession {
            pooler: Arc::clone(&self.pooler),
            handle: Arc::clone(&self.handle),
            id: self.id,
            reroute: SessionReroute::default(),
            checked_out: None,
            credentials,
            route_table,
            target,
            own_position: None,
            last_position: None,
        })
    }

    fn reject(&self, kind: ErrorKind, text: &str) -> io::Result<Option<NextStep>> {
        let mut stream = &self.handle.stream;
        stream.write_all(format!("ERROR {kind} {text}\r\n").as_bytes())?;
        Ok(Some(NextStep::End))
    }
}

/// Releases the session's database connection and removes the session from the pooler's list,
/// however it ends.
impl Drop for Session {
    fn drop(&mut self) {
        if let Some(client) = &mut self.client {
            client.release();
        }
        self.pooler.remove_session(self.id);
    }
}

impl ClientSession {
    /// Serves the client's statements until it pauses or the session ends.
    fn serve(&mut self, buffer: &mut ReadBuffer) -> io::Result<NextStep> {
        let handle = Arc::clone(&self.handle);
        let mut stream = &handle.stream;
        let mut served = false;
        loop {
            if self.is_idle(buffer) && self.pooler.closes_idle_sessions() {
                return Ok(NextStep::End);
            }
            let in_transaction = self.reroute.state() != TransactionState::Idle;
            handle.in_transaction.store(in_transaction, Ordering::Relaxed);
            handle.waiting_since.store(Tick::now().0, Ordering::Relaxed);
            // Clients of long-lived sessions are likely to pause after a statement; others are
            // likely to send the next one at once.
            let long_lived = handle.long_lived.load(Ordering::Relaxed);
            if served && long_lived && self.is_idle(buffer) {
                return Ok(NextStep::Park);
            }
            let line = match buffer.read_line(&mut stream) {
                Ok(line) => line,
                Err(ReadLineError::TooLarge) => {
                    stream.write_all(b"ERROR TOOLARGE over 1 MiB\r\n")?;
                    return Ok(NextStep::End);
                }
                Err(ReadLineError::TimedOut) => return Ok(NextStep::Park),
                Err(ReadLineError::Closed) => return Ok(NextStep::End),
                Err(ReadLineError::Io(e)) => return Err(e),
            };
            handle.waiting_since.store(0, Ordering::Relaxed);
            served = true;
            let reply = match self.handle_line(line) {
                LineOutcome::Reply(reply) => reply,
                LineOutcome::Closed => return Ok(NextStep::End),
                LineOutcome::NotAdmitted(kind) => {
                    let text = rejection_text(kind);
                    stream.write_all(format!("ERROR {kind} {text} any more\r\n").as_bytes())?;
                    return Ok(NextStep::End);
                }
            };
            let throttled = matches!(reply, ClientReply::Error { kind: ErrorKind::Throttled, .. });
            self.send_reply(stream, reply)?;
            // Another pooler may still be connected to a leader, so the client should reconnect.
            if throttled && self.is_idle(buffer) && self.pooler.leader_lost(Tick::now()) {
                return Ok(NextStep::End);
            }
        }
    }

    /// Whether no transaction is open and no input of the client is waiting to be served.
    fn is_idle(&self, buffer: &ReadBuffer) -> bool {
        self.reroute.state() == TransactionState::Idle && buffer.is_empty()
    }

    fn handle_line(&mut self, line: &[u8]) -> LineOutcome {
        let arrived_at = Tick::now();
        match statement_protocol::parse_line(line) {
            Ok(Line::Close) => LineOutcome::Closed,
            Ok(Line::Query { id, text, statement }) => {
                if let Err(kind) = self.refresh_target() {
                    return LineOutcome::NotAdmitted(kind);
                }
                LineOutcome::Reply(self.handle_statement(id, text, statement, arrived_at))
            }
            Ok(Line::Connect { .. }) | Err(_) => {
                if self.reroute.state() == TransactionState::Open {
                    self.reroute.fail();
                    self.release();
                }
                LineOutcome::Reply(ClientReply::error(ErrorKind::Malformed, "not understood"))
            }
        }
    }

    fn handle_statement(
        &mut self,
        id: &str,
        text: &str,
        statement: Statement<'_>,
        arrived_at: Tick,
    ) -> ClientReply {
        match self.reroute.handle_statement(&statement, arrived_at) {
            StatementDecision::Completed => ClientReply::Complete,
            StatementDecision::RolledBack => {
                self.release();
                ClientReply::Complete
            }
            StatementDecision::Rejected(kind) => {
                if self.reroute.reusable() {
                    self.release();
                }
                ClientReply::error(kind, rejection_text(kind))
            }
            StatementDecision::Run(plan) => {
                self.run(&ClientStatement { id, text, statement, plan, arrived_at })
            }
        }
    }

    /// Applies a new version of the configuration. The route changes only between transactions; the
    /// key is checked before every statement.
    ///
    /// # Errors
    /// The configuration does not admit the client any more.
    fn refresh_target(&mut self) -> Result<(), ErrorKind> {
        let route_table = self.pooler.route_table().ok_or(ErrorKind::NoDatabase)?;
        if Arc::ptr_eq(&route_table, &self.route_table) {
            return Ok(());
        }
        if self.reroute.state() == TransactionState::Idle {
            self.target = SessionTarget::look_up(&route_table, &self.credentials)
                .inspect_err(|kind| self.pooler.count_denial(*kind))?;
            self.route_table = route_table;
            return Ok(());
        }
        if self.target.is_admitted(&route_table, &self.credentials) {
            return Ok(());
        }
        self.pooler.count_denial(ErrorKind::Denied);
        Err(ErrorKind::Denied)
    }

    fn send_reply(&mut self, stream: &TcpStream, reply: ClientReply) -> io::Result<()> {
        match reply {
            ClientReply::Forward(reply) => self.forward(stream, &reply),
            ClientReply::Detached { bytes, position } => {
                self.last_position = position.or(self.last_position);
                let mut stream = stream;
                stream.write_all(&bytes)
            }
            ClientReply::Complete => self.send_own_reply(stream, format_args!("COMPLETE -")),
            ClientReply::Error { kind, text } => {
                self.send_own_reply(stream, format_args!("ERROR {kind} {text}"))
            }
        }
    }

    fn send_own_reply(&self, mut stream: &TcpStream, outcome: Arguments<'_>) -> io::Result<()> {
        let state = self.reroute.state().code();
        let position = self.last_position.map_or("-".to_owned(), |p| p.to_string());
        stream.write_all(format!("{outcome}\r\nREADY {state} {position}\r\n").as_bytes())
    }

    /// Forwards the bytes of a database's reply to the client.
    fn forward(&mut self, mut stream: &TcpStream, reply: &Reply) -> io::Result<()> {
        self.last_position = reply.position.or(self.last_position);
        let Some(checked_out) = &mut self.checked_out else {
            return Ok(());
        };
        let sent = stream.write_all(checked_out.connection.reply_bytes(reply));
        checked_out.connection.consume(reply);
        if self.reroute.reusable() {
            self.release();
        }
        sent
    }

    /// Releases the database connection to its pool, after rolling back its open transaction.
    pub(super) fn release(&mut self) {
        let Some(CheckedOutConnection { mut connection, pool, .. }) = self.checked_out.take()
        else {
            return;
        };
        if !connection.in_transaction || connection.roll_back().is_ok() {
            pool.release(connection);
        } else {
            pool.discard(connection);
        }
    }

    /// Closes the database connection, which can't be used any more.
    pub(super) fn discard(&mut self) {
        if let Some(CheckedOutConnection { connection, pool, .. }) = self.checked_out.take() {
            pool.discard(connection);
        }
    }
}

fn rejection_text(kind: ErrorKind) -> &'static str {
    match kind {
        ErrorKind::NoDatabase => "no such database",
        ErrorKind::Denied => "no such key",
        ErrorKind::NotFound => "no such prepared name",
        ErrorKind::RolledBack => "the transaction had failed",
        _ => "not here, or not now",
    }
}
