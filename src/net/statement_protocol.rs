//! The line protocol between clients, poolers and databases.
//!
//! A client sends lines ([`parse`]), a database answers with lines that end in a `READY`
//! ([`reply`]). The pooler reads both; the controllers use the same protocol to ask databases about
//! themselves. This module knows the form of lines only, and [`ReadBuffer`] is where they are
//! collected; what a statement means for a session is decided in `pooler`.
use crate::base::errors::ErrorKind;
use crate::base::ids::{DbTerm, Position};
use crate::net::sockets::read_uninterrupted;
use std::io::{self, Read};
use std::ops::Range;

/// The longest message, in bytes, with its line end.
pub const MAX_MESSAGE: usize = 1 << 20;

/// Bytes that one read takes at most.
const READ_BYTES: usize = 4096;

/// What begins each line with a row.
const ROW_PREFIX: &[u8] = b"ROW ";

/// What a prepared statement does.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Verb {
    /// It reads.
    Fetch,
    /// It writes.
    Store,
}

impl Verb {
    /// The verb on the wire.
    pub fn word(self) -> &'static str {
        match self {
            Verb::Fetch => "FETCH",
            Verb::Store => "STORE",
        }
    }
}

/// A client's statement, as far as the pooler has to understand it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Statement<'a> {
    /// Opens a transaction.
    Begin {
        /// It was announced to read only (`BEGIN FETCH`).
        read_only: bool,
    },
    /// Commits the transaction.
    Commit,
    /// Rolls the transaction back.
    Abort,
    /// Reads.
    Fetch,
    /// Writes.
    Store,
    /// Sets a session parameter.
    Configure {
        /// The parameter.
        name: &'a str,
        /// Its value.
        value: &'a str,
    },
    /// Names a statement for later execution.
    Prepare {
        /// The name.
        name: &'a str,
        /// What the statement does.
        verb: Verb,
        /// The statement's text behind its verb.
        shape: &'a str,
    },
    /// Executes a prepared statement.
    Execute {
        /// The name it was prepared under.
        name: &'a str,
        /// The parameters, as they came.
        rest: &'a str,
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
        /// The service that the client wants to use.
        database: &'a str,
    },
    /// Carries a statement.
    Query {
        /// The client's id for the statement, which a retry repeats.
        id: &'a str,
        /// The statement as it came.
        text: &'a str,
        /// The statement, parsed.
        statement: Statement<'a>,
    },
    /// Ends the session.
    Close,
}

/// Parses one line of a client, without its line end.
///
/// # Errors
/// [`ErrorKind::Malformed`] if it is no line of the protocol.
pub fn parse(line: &[u8]) -> Result<Line<'_>, ErrorKind> {
    let line = std::str::from_utf8(line).map_err(|_| ErrorKind::Malformed)?;
    // A stray CR could end a statement early for another reader of the line.
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
            Ok(Line::Connect { database })
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
            let (name, rest) = split_arguments(rest)?;
            Ok(Statement::Execute { name, rest })
        }
        ("DEALLOCATE", Some(name)) if is_argument(name) && !name.contains(' ') => {
            Ok(Statement::Deallocate { name })
        }
        _ => Err(ErrorKind::Malformed),
    }
}

fn parse_prepare(text: &str) -> Result<Statement<'_>, ErrorKind> {
    let (name, rest) = split_arguments(text)?;
    let (verb, shape) = split_arguments(rest)?;
    let verb = match verb {
        "FETCH" => Verb::Fetch,
        "STORE" => Verb::Store,
        _ => return Err(ErrorKind::Malformed),
    };
    Ok(Statement::Prepare { name, verb, shape })
}

fn is_argument(text: &str) -> bool {
    !text.is_empty() && !text.starts_with(' ')
}

/// Splits the first argument off; both it and the rest must be there.
fn split_arguments(text: &str) -> Result<(&str, &str), ErrorKind> {
    match text.split_once(' ') {
        Some((first, rest)) if !first.is_empty() && is_argument(rest) => Ok((first, rest)),
        _ => Err(ErrorKind::Malformed),
    }
}

/// The state of the transaction, which every `READY` reports.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum State {
    /// There is none.
    Idle,
    /// One is open.
    Open,
    /// One has failed and has to be rolled back.
    Failed,
}

impl State {
    /// The state on the wire.
    pub fn letter(self) -> char {
        match self {
            State::Idle => 'I',
            State::Open => 'T',
            State::Failed => 'E',
        }
    }

    fn from_word(word: &str) -> Option<Self> {
        match word {
            "I" => Some(State::Idle),
            "T" => Some(State::Open),
            "E" => Some(State::Failed),
            _ => None,
        }
    }
}

/// How a database's answer ended, rows aside.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// With success.
    Complete,
    /// With an error of this kind.
    Error(ErrorKind),
}

/// A complete answer of a database, checked for its form.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Reply {
    /// How it ended.
    pub outcome: Outcome,
    /// It bears a database's stamp, as each success of a client's statement does.
    pub stamped: bool,
    /// The state of the transaction behind it.
    pub state: State,
    /// The database's position, if it tells one.
    pub position: Option<Position>,
    /// Where the answer ends in the bytes it was read from.
    pub end: usize,
    /// Where the fields of the first row stand in these bytes.
    pub row: Option<Range<usize>>,
}

impl Reply {
    /// The row with which a database describes itself, if the answer is one in success. `bytes` are
    /// those that the answer was read from.
    pub fn described(&self, bytes: &[u8]) -> Option<ServerDescription> {
        if self.outcome != Outcome::Complete {
            return None;
        }
        let row = bytes.get(self.row.clone()?)?;
        described(std::str::from_utf8(row).ok()?)
    }
}

/// The bytes are no answer of the protocol.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("not an answer of the protocol")]
pub struct MalformedReply;

/// Looks for one complete answer at the start of `bytes`; `None` asks for more bytes.
///
/// # Errors
/// [`MalformedReply`] if the bytes can't become an answer.
pub fn reply(bytes: &[u8]) -> Result<Option<Reply>, MalformedReply> {
    let mut at = 0;
    let mut row = None;
    let mut outcome = None;
    let mut stamped = false;
    loop {
        let Some(length) = bytes[at..].iter().position(|b| *b == b'\n') else {
            if bytes.len() - at > MAX_MESSAGE {
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
                let kind = words.next().and_then(ErrorKind::from_word).ok_or(MalformedReply)?;
                outcome = Some(Outcome::Error(kind));
            }
            (Some("READY"), _) => {
                let Ready { state, position } = parse_ready(words)?;
                // The answer to CONNECT is a READY alone.
                let outcome = outcome.unwrap_or(Outcome::Complete);
                return Ok(Some(Reply { outcome, stamped, state, position, end: at, row }));
            }
            _ => return Err(MalformedReply),
        }
    }
}

/// What a `READY` says.
struct Ready {
    state: State,
    position: Option<Position>,
}

fn parse_ready<'a>(mut words: impl Iterator<Item = &'a str>) -> Result<Ready, MalformedReply> {
    let state = words.next().and_then(State::from_word).ok_or(MalformedReply)?;
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

/// The error that answers a CONNECT, which comes without a `READY` behind it.
pub fn refused_connect(bytes: &[u8]) -> Option<ErrorKind> {
    let line = bytes.split(|b| *b == b'\n').next()?;
    let line = std::str::from_utf8(line.strip_suffix(b"\r")?).ok()?;
    ErrorKind::from_word(line.strip_prefix("ERROR ")?.split(' ').next()?)
}

/// The row with which a database answers DESCRIBE, PAUSE, CONTINUE and STEPDOWN.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServerDescription {
    /// It is a primary; otherwise a replica.
    pub primary: bool,
    /// The newest term it knows.
    pub term: DbTerm,
    /// The position up to which it has received the log.
    pub received: Position,
}

/// Parses the row with which a database describes itself.
pub fn described(row: &str) -> Option<ServerDescription> {
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

/// Why no line could be read.
#[derive(Debug, thiserror::Error)]
pub enum ReadLineError {
    /// The peer closed the connection.
    #[error("closed")]
    Closed,
    /// The line is longer than [`MAX_MESSAGE`].
    #[error("a line over {MAX_MESSAGE} bytes")]
    TooLarge,
    /// Nothing came within the time-out of the socket. An incomplete line is kept.
    #[error("nothing received within the time-out")]
    TimedOut,
    /// The connection failed.
    #[error("{0}")]
    Io(#[source] io::Error),
}

/// Bytes that were received and are not consumed yet.
#[derive(Default)]
pub struct ReadBuffer {
    bytes: Vec<u8>,
    /// Where the bytes that are not consumed begin.
    start: usize,
}

impl ReadBuffer {
    /// Waits for a complete line, consumes it and gives it without its CR LF. A line that ends in a
    /// bare LF is given with it, so that it can't be parsed.
    ///
    /// # Errors
    /// A [`ReadLineError`] if there is no complete line.
    pub fn line<'a>(&'a mut self, from: &mut impl Read) -> Result<&'a [u8], ReadLineError> {
        let mut searched = self.start;
        loop {
            if let Some(found) = self.bytes[searched..].iter().position(|b| *b == b'\n') {
                let end = searched + found;
                let start = std::mem::replace(&mut self.start, end + 1);
                if end + 1 - start > MAX_MESSAGE {
                    return Err(ReadLineError::TooLarge);
                }
                let ends_in_cr = end > start && self.bytes[end - 1] == b'\r';
                let end = if ends_in_cr { end - 1 } else { end + 1 };
                return Ok(&self.bytes[start..end]);
            }
            searched = self.bytes.len();
            if searched - self.start > MAX_MESSAGE {
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

    /// Reads once, after making room; gives how many bytes came, 0 at the end of the stream.
    ///
    /// # Errors
    /// Those of the reader.
    pub fn fill(&mut self, from: &mut impl Read) -> io::Result<usize> {
        self.bytes.drain(..self.start);
        self.start = 0;
        let mut chunk = [0u8; READ_BYTES];
        let count = read_uninterrupted(from, &mut chunk)?;
        self.bytes.extend_from_slice(&chunk[..count]);
        Ok(count)
    }

    /// The bytes that are not consumed.
    pub fn pending(&self) -> &[u8] {
        &self.bytes[self.start..]
    }

    /// Consumes the first `count` pending bytes.
    pub fn consume(&mut self, count: usize) {
        self.start += count;
    }

    /// Whether all bytes are consumed.
    pub fn is_empty(&self) -> bool {
        self.pending().is_empty()
    }
}
