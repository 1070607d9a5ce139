//! Parser of the line-based statement protocol between clients, poolers and databases.
//!
//! A client sends lines ([`parse_line`]); a database replies with lines of which the last begins
//! with `READY` ([`parse_reply`]). The pooler parses both; the controllers use the same protocol to
//! query the state of databases. This module covers the syntax only, with [`ReadBuffer`] as the
//! buffer for received bytes; what a statement means for a session is decided in `pooler`.
use crate::base::errors::ErrorKind;
use crate::base::ids::{DbTerm, Position};
use crate::net::sockets::read_uninterrupted;
use std::io::{self, Read};
use std::ops::Range;

/// The maximum length of a message, including its line end.
pub const MAX_MESSAGE_BYTES: usize = 1 << 20;

/// The size of the chunk passed to each read call.
const READ_BYTES: usize = 4096;

/// The prefix of a line that carries a row.
const ROW_PREFIX: &[u8] = b"ROW ";

/// The operation of a prepared statement.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Verb {
    /// Reads data.
    Fetch,
    /// Writes data.
    Store,
}

impl Verb {
    /// The keyword of the protocol.
    pub fn keyword(self) -> &'static str {
        match self {
            Verb::Fetch => "FETCH",
            Verb::Store => "STORE",
        }
    }
}

/// A client's statement, parsed as far as the pooler needs it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Statement<'a> {
    /// Opens a transaction.
    Begin {
        /// Whether the transaction is read-only (`BEGIN FETCH`).
        read_only: bool,
    },
    /// Commits the transaction.
    Commit,
    /// Rolls the transaction back.
    Abort,
    /// Reads data.
    Fetch,
    /// Writes data.
    Store,
    /// Sets a session parameter.
    Configure {
        /// The name of the parameter.
        name: &'a str,
        /// The value of the parameter.
        value: &'a str,
    },
    /// Stores a statement under a name for later execution.
    Prepare {
        /// The name of the prepared statement.
        name: &'a str,
        /// The operation of the statement.
        verb: Verb,
        /// The text of the statement after its verb.
        text: &'a str,
    },
    /// Executes a prepared statement.
    Execute {
        /// The name it was prepared under.
        name: &'a str,
        /// The parameters as received, not parsed.
        parameters: &'a str,
    },
    /// Drops a prepared statement.
    Deallocate {
        /// The name it was prepared under.
        name: &'a str,
    },
}

/// A line from a client.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Line<'a> {
    /// Opens a session.
    Connect {
        /// The name of the requested database, which the routes map to a service.
        database: &'a str,
        /// Who the client is: its API key, if the configuration has tenants.
        user: &'a str,
    },
    /// Carries a statement.
    Query {
        /// The client's id for the statement; a retry has the same id.
        id: &'a str,
        /// The statement as received.
        text: &'a str,
        /// The statement, parsed.
        statement: Statement<'a>,
    },
    /// Ends the session.
    Close,
}

/// Parses one line from a client, without its line end.
///
/// # Errors
/// [`ErrorKind::Malformed`] if the line does not follow the protocol.
pub fn parse_line(line: &[u8]) -> Result<Line<'_>, ErrorKind> {
    let line = std::str::from_utf8(line).map_err(|_| ErrorKind::Malformed)?;
    // Another parser of the line could take a CR or NUL within it for its end.
    if line.contains(['\r', '\n', '\0']) {
        return Err(ErrorKind::Malformed);
    }
    if line == "CLOSE" {
        return Ok(Line::Close);
    }
    let (word, rest) = line.split_once(' ').ok_or(ErrorKind::Malformed)?;
    match word {
        "CONNECT" => {
            let (database, user) = rest.split_once(' ').ok_or(ErrorKind::Malformed)?;
            if database.is_empty() || user.is_empty() {
                return Err(ErrorKind::Malformed);
            }
            Ok(Line::Connect { database, user })
        }
        "QUERY" => {
            let (id, text) = rest.split_once(' ').ok_or(ErrorKind::Malformed)?;
            if id.is_empty() || id == "-" {
                return Err(ErrorKind::Malformed);
            }
            Ok(Line::Query { id, text, statement: parse_statement(text)? })
        }
        _ => Err(ErrorKind::Malformed),
    }
}

fn parse_statement(text: &str) -> Result<Statement<'_>, ErrorKind> {
    let (word, rest) = match text.split_once(' ') {
        Some((word, rest)) => (word, Some(rest)),
        None => (text, None),
    };
    match (word, rest) {
        ("BEGIN", None) => Ok(Statement::Begin { read_only: false }),
        ("BEGIN", Some("FETCH")) => Ok(Statement::Begin { read_only: true }),
        ("COMMIT", None) => Ok(Statement::Commit),
        ("ABORT", None) => Ok(Statement::Abort),
        ("FETCH", Some(rest)) if is_argument(rest) => Ok(Statement::Fetch),
        ("STORE", Some(rest)) => split_arguments(rest).map(|_| Statement::Store),
        ("CONFIGURE", Some(rest)) => {
            let (name, value) = split_arguments(rest)?;
            Ok(Statement::Configure { name, value })
        }
        ("PREPARE", Some(rest)) => parse_prepare(rest),
        ("EXECUTE", Some(rest)) => {
            let (name, parameters) = split_arguments(rest)?;
            Ok(Statement::Execute { name, parameters })
        }
        ("DEALLOCATE", Some(name)) if is_argument(name) && !name.contains(' ') => {
            Ok(Statement::Deallocate { name })
        }
        _ => Err(ErrorKind::Malformed),
    }
}

fn parse_prepare(text: &str) -> Result<Statement<'_>, ErrorKind> {
    let (name, rest) = split_arguments(text)?;
    let (verb, text) = split_arguments(rest)?;
    let verb = match verb {
        "FETCH" => Verb::Fetch,
        "STORE" => Verb::Store,
        _ => return Err(ErrorKind::Malformed),
    };
    Ok(Statement::Prepare { name, verb, text })
}

fn is_argument(text: &str) -> bool {
    !text.is_empty() && !text.starts_with(' ')
}

/// Splits off the first argument; neither it nor the rest may be empty.
fn split_arguments(text: &str) -> Result<(&str, &str), ErrorKind> {
    match text.split_once(' ') {
        Some((first, rest)) if !first.is_empty() && is_argument(rest) => Ok((first, rest)),
        _ => Err(ErrorKind::Malformed),
    }
}

/// The state of a session's transaction, which every `READY` line reports.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TransactionState {
    /// No transaction is open.
    Idle,
    /// A transaction is open.
    Open,
    /// A transaction has failed and must be rolled back.
    Failed,
}

impl TransactionState {
    /// The code of the state in the protocol.
    pub fn code(self) -> char {
        match self {
            TransactionState::Idle => 'I',
            TransactionState::Open => 'T',
            TransactionState::Failed => 'E',
        }
    }

    fn from_code(code: &str) -> Option<Self> {
        match code {
            "I" => Some(TransactionState::Idle),
            "T" => Some(TransactionState::Open),
            "E" => Some(TransactionState::Failed),
            _ => None,
        }
    }
}

/// Whether a database executed a statement successfully.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The statement succeeded.
    Complete,
    /// The statement failed with an error of this kind.
    Error(ErrorKind),
}

/// A complete and well-formed reply of a database.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Reply {
    /// Whether the statement succeeded.
    pub outcome: Outcome,
    /// Whether the reply has a stamp of the database, as every success of a client's statement has.
    pub stamped: bool,
    /// The state of the transaction after the statement.
    pub state: TransactionState,
    /// The database's log position, if the reply has one.
    pub position: Option<Position>,
    /// The offset of the end of the reply in the parsed bytes.
    pub end: usize,
    /// The range of the fields of the first row in the parsed bytes.
    pub row: Option<Range<usize>>,
}

impl Reply {
    /// The database's description of itself; `None` if the reply is an error or has no such row.
    /// `bytes` are those that the reply was parsed from.
    pub fn description(&self, bytes: &[u8]) -> Option<ServerDescription> {
        if self.outcome != Outcome::Complete {
            return None;
        }
        let row = bytes.get(self.row.clone()?)?;
        parse_description(std::str::from_utf8(row).ok()?)
    }
}

/// The received bytes are not a valid reply of the statement protocol.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("malformed reply of a database")]
pub struct MalformedReply;

/// Parses one complete reply at the start of `bytes`; `None` if more bytes are needed.
///
/// # Errors
/// [`MalformedReply`] if the bytes are not the beginning of a valid reply.
pub fn parse_reply(bytes: &[u8]) -> Result<Option<Reply>, MalformedReply> {
    let mut at = 0;
    let mut row = None;
    let mut outcome = None;
    let mut stamped = false;
    loop {
        let Some(length) = bytes[at..].iter().position(|b| *b == b'\n') else {
            if bytes.len() - at > MAX_MESSAGE_BYTES {
                return Err(MalformedReply);
            }
            return Ok(None);
        };
        let line = bytes[at..at + length].strip_suffix(b"\r").ok_or(MalformedReply)?;
        let start = at;
        at += length + 1;
        if let Some(fields) = line.strip_prefix(ROW_PREFIX) {
            if outcome.is_some() {
                return Err(MalformedReply);
            }
            let fields_start = start + ROW_PREFIX.len();
            row.get_or_insert(fields_start..fields_start + fields.len());
            continue;
        }
        let line = std::str::from_utf8(line).map_err(|_| MalformedReply)?;
        let mut words = line.split(' ');
        match (words.next(), &outcome) {
            (Some("COMPLETE"), None) => {
                let stamp = words.next().filter(|stamp| !stamp.is_empty()).ok_or(MalformedReply)?;
                stamped = stamp != "-";
                outcome = Some(Outcome::Complete);
            }
            (Some("ERROR"), None) => {
                let kind = words.next().and_then(ErrorKind::from_code).ok_or(MalformedReply)?;
                outcome = Some(Outcome::Error(kind));
            }
            (Some("READY"), _) => {
                let Ready { state, position } = parse_ready(words)?;
                // The reply to CONNECT consists of a READY line only.
                let outcome = outcome.unwrap_or(Outcome::Complete);
                return Ok(Some(Reply { outcome, stamped, state, position, end: at, row }));
            }
            _ => return Err(MalformedReply),
        }
    }
}

/// The content of a `READY` line.
struct Ready {
    state: TransactionState,
    position: Option<Position>,
}

fn parse_ready<'a>(mut words: impl Iterator<Item = &'a str>) -> Result<Ready, MalformedReply> {
    let state = words.next().and_then(TransactionState::from_code).ok_or(MalformedReply)?;
    let position = match words.next() {
        Some("-") => None,
        Some(text) => Some(text.parse().map_err(|()| MalformedReply)?),
        None => return Err(MalformedReply),
    };
    match words.next() {
        Some(_) => Err(MalformedReply),
        None => Ok(Ready { state, position }),
    }
}

/// Parses the error reply to a CONNECT, which no `READY` line follows.
pub fn parse_connect_error(bytes: &[u8]) -> Option<ErrorKind> {
    let line = bytes.split(|b| *b == b'\n').next()?;
    let line = std::str::from_utf8(line.strip_suffix(b"\r")?).ok()?;
    ErrorKind::from_code(line.strip_prefix("ERROR ")?.split(' ').next()?)
}

/// The row with which a database replies to DESCRIBE, PAUSE, CONTINUE and STEPDOWN.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServerDescription {
    /// Whether the database is a primary; otherwise it is a replica.
    pub primary: bool,
    /// The highest term that the database knows.
    pub term: DbTerm,
    /// The log position up to which the database has received entries.
    pub received: Position,
}

/// Parses the row with which a database describes itself.
pub fn parse_description(row: &str) -> Option<ServerDescription> {
    let mut words = row.split(' ');
    let primary = match words.next()? {
        "primary" => true,
        "replica" => false,
        _ => return None,
    };
    let term = DbTerm(words.next()?.parse().ok()?);
    let received = words.next()?.parse().ok()?;
    Some(ServerDescription { primary, term, received })
}

/// Why [`ReadBuffer::read_line`] returned no line.
#[derive(Debug, thiserror::Error)]
pub enum ReadLineError {
    /// The peer closed the connection.
    #[error("connection closed by the peer")]
    Closed,
    /// The line is longer than [`MAX_MESSAGE_BYTES`].
    #[error("line longer than {MAX_MESSAGE_BYTES} bytes")]
    TooLarge,
    /// Nothing was received within the timeout of the socket. An incomplete line stays buffered.
    #[error("nothing received within the time-out")]
    TimedOut,
    /// The connection failed.
    #[error("{0}")]
    Io(#[source] io::Error),
}

/// A buffer of bytes that were received but not consumed yet.
#[derive(Default)]
pub struct ReadBuffer {
    bytes: Vec<u8>,
    /// The offset of the first byte that is not consumed.
    start: usize,
}

impl ReadBuffer {
    /// Waits for a complete line, consumes it and returns it without its CR LF. A line that ends in
    /// a bare LF is returned with the LF, so that parsing it fails.
    ///
    /// # Errors
    /// A [`ReadLineError`] if no complete line was received.
    pub fn read_line<'a>(&'a mut self, from: &mut impl Read) -> Result<&'a [u8], ReadLineError> {
        let mut searched = self.start;
        loop {
            if let Some(found) = self.bytes[searched..].iter().position(|b| *b == b'\n') {
                let end = searched + found;
                let start = std::mem::replace(&mut self.start, end + 1);
                if end + 1 - start > MAX_MESSAGE_BYTES {
                    return Err(ReadLineError::TooLarge);
                }
                let ends_in_cr = end > start && self.bytes[end - 1] == b'\r';
                let end = if ends_in_cr { end - 1 } else { end + 1 };
                return Ok(&self.bytes[start..end]);
            }
            searched = self.bytes.len();
            if searched - self.start > MAX_MESSAGE_BYTES {
                return Err(ReadLineError::TooLarge);
            }
            let dropped = self.start;
            match self.fill(from) {
                Ok(0) => return Err(ReadLineError::Closed),
                Ok(_) => {}
                Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
                Err(e)
                    if matches!(e.kind(), io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut) =>
                {
                    return Err(ReadLineError::TimedOut);
                }
                Err(e) => return Err(ReadLineError::Io(e)),
            }
            searched -= dropped;
        }
    }

    /// Removes consumed bytes and reads once; returns the number of bytes read, 0 at the end of the
    /// stream.
    ///
    /// # Errors
    /// The errors of the reader.
    pub fn fill(&mut self, from: &mut impl Read) -> io::Result<usize> {
        self.bytes.drain(..self.start);
        self.start = 0;
        let mut chunk = [0u8; READ_BYTES];
        let count = read_uninterrupted(from, &mut chunk)?;
        self.bytes.extend_from_slice(&chunk[..count]);
        Ok(count)
    }

    /// The bytes that are not consumed yet.
    pub fn pending(&self) -> &[u8] {
        &self.bytes[self.start..]
    }

    /// Consumes the first `count` pending bytes.
    pub fn consume(&mut self, count: usize) {
        self.start += count;
    }

    /// Whether all received bytes are consumed.
    pub fn is_empty(&self) -> bool {
        self.pending().is_empty()
    }
}
