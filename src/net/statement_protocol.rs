//! The line protocol of sessions and databases.
use crate::base::errors::ErrorKind;
use crate::base::ids::Position;
use std::io::{self, Read};

/// The longest message, its line end counted.
pub const MAX_MESSAGE: usize = 1 << 20;

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Verb {
    Fetch,
    Store,
}

impl Verb {
    pub fn word(self) -> &'static str {
        match self {
            Verb::Fetch => "FETCH",
            Verb::Store => "STORE",
        }
    }
}

/// What a client may ask, told apart as far as the pool needs it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Statement<'a> {
    Begin { read_only: bool },
    Commit,
    Abort,
    Fetch,
    Store,
    Configure { name: &'a str, value: &'a str },
    Prepare { name: &'a str, verb: Verb, shape: &'a str },
    Execute { name: &'a str, rest: &'a str },
    Deallocate { name: &'a str },
}

/// A line from a client.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Line<'a> {
    Connect { database: &'a str },
    Query { id: &'a str, text: &'a str, statement: Statement<'a> },
    Close,
}

/// Reads one line (without its end) as a client's message.
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
            let (database, who) = rest.split_once(' ').ok_or(ErrorKind::Malformed)?;
            if database.is_empty() || who.is_empty() {
                return Err(ErrorKind::Malformed);
            }
            Ok(Line::Connect { database })
        }
        "QUERY" => {
            let (id, text) = rest.split_once(' ').ok_or(ErrorKind::Malformed)?;
            if id.is_empty() || id == "-" {
                return Err(ErrorKind::Malformed);
            }
            Ok(Line::Query { id, text, statement: statement(text)? })
        }
        _ => Err(ErrorKind::Malformed),
    }
}

fn statement(text: &str) -> Result<Statement<'_>, ErrorKind> {
    let bad = ErrorKind::Malformed;
    let (word, rest) = match text.split_once(' ') {
        Some((word, rest)) => (word, Some(rest)),
        None => (text, None),
    };
    match (word, rest) {
        ("BEGIN", None) => Ok(Statement::Begin { read_only: false }),
        ("BEGIN", Some("FETCH")) => Ok(Statement::Begin { read_only: true }),
        ("COMMIT", None) => Ok(Statement::Commit),
        ("ABORT", None) => Ok(Statement::Abort),
        ("FETCH", Some(thing)) if filled(thing) => Ok(Statement::Fetch),
        ("STORE", Some(rest)) => {
            two(rest)?;
            Ok(Statement::Store)
        }
        ("CONFIGURE", Some(rest)) => {
            let (name, value) = two(rest)?;
            Ok(Statement::Configure { name, value })
        }
        ("PREPARE", Some(rest)) => {
            let (name, rest) = two(rest)?;
            let (verb, shape) = two(rest)?;
            let verb = match verb {
                "FETCH" => Verb::Fetch,
                "STORE" => Verb::Store,
                _ => return Err(bad),
            };
            Ok(Statement::Prepare { name, verb, shape })
        }
        ("EXECUTE", Some(rest)) => {
            let (name, rest) = two(rest)?;
            Ok(Statement::Execute { name, rest })
        }
        ("DEALLOCATE", Some(name)) if filled(name) && !name.contains(' ') => {
            Ok(Statement::Deallocate { name })
        }
        _ => Err(bad),
    }
}

fn filled(text: &str) -> bool {
    !text.is_empty() && !text.starts_with(' ')
}

fn two(text: &str) -> Result<(&str, &str), ErrorKind> {
    match text.split_once(' ') {
        Some((first, rest)) if !first.is_empty() && filled(rest) => Ok((first, rest)),
        _ => Err(ErrorKind::Malformed),
    }
}

/// The state a `READY` tells.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum State {
    Idle,
    Open,
    Failed,
}

impl State {
    pub fn letter(self) -> char {
        match self {
            State::Idle => 'I',
            State::Open => 'T',
            State::Failed => 'E',
        }
    }
}

/// How an answer of a database ended, rows aside.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    Complete,
    Error(ErrorKind),
}

/// A whole answer, checked for its form. `end` is where it stops in the bytes it was read from.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Reply {
    pub outcome: Outcome,
    /// It bears a database's stamp, as each success of a client's statement does.
    pub stamped: bool,
    pub state: State,
    pub position: Option<Position>,
    pub end: usize,
    /// The fields of the first row, for the system's own questions.
    pub row: Option<(usize, usize)>,
}

impl Reply {
    /// The row that one of the system's own questions was answered with, if it was in success. `bytes`
    /// are those that it was read from.
    pub fn described(&self, bytes: &[u8]) -> Option<ServerDescription> {
        if self.outcome != Outcome::Complete {
            return None;
        }
        let (from, to) = self.row?;
        described(std::str::from_utf8(bytes.get(from..to)?).ok()?)
    }
}

/// What came is no answer of the protocol.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Garbled;

/// Looks for one whole answer at the start of `bytes`; `None` asks for more bytes.
pub fn reply(bytes: &[u8]) -> Result<Option<Reply>, Garbled> {
    let mut at = 0;
    let mut row = None;
    let mut outcome = None;
    let mut stamped = false;
    loop {
        let Some(length) = bytes[at..].iter().position(|b| *b == b'\n') else {
            if bytes.len() - at > MAX_MESSAGE {
                return Err(Garbled);
            }
            return Ok(None);
        };
        let line = bytes[at..at + length].strip_suffix(b"\r").ok_or(Garbled)?;
        let start = at;
        at += length + 1;
        if let Some(fields) = line.strip_prefix(b"ROW ") {
            if outcome.is_some() {
                return Err(Garbled);
            }
            if row.is_none() {
                row = Some((start + 4, start + 4 + fields.len()));
            }
            continue;
        }
        let line = std::str::from_utf8(line).map_err(|_| Garbled)?;
        let mut words = line.split(' ');
        match (words.next(), &outcome) {
            (Some("COMPLETE"), None) => {
                let stamp = words.next().filter(|stamp| !stamp.is_empty()).ok_or(Garbled)?;
                stamped = stamp != "-";
                outcome = Some(Outcome::Complete);
            }
            (Some("ERROR"), None) => {
                let code = words.next().ok_or(Garbled)?;
                outcome = Some(Outcome::Error(ErrorKind::from_word(code).ok_or(Garbled)?));
            }
            (Some("READY"), _) => {
                let state = match words.next() {
                    Some("I") => State::Idle,
                    Some("T") => State::Open,
                    Some("E") => State::Failed,
                    _ => return Err(Garbled),
                };
                let position = match words.next() {
                    Some("-") => None,
                    Some(text) => Some(text.parse().map_err(|()| Garbled)?),
                    None => return Err(Garbled),
                };
                if words.next().is_some() {
                    return Err(Garbled);
                }
                // The answer to CONNECT is a READY alone.
                let outcome = outcome.unwrap_or(Outcome::Complete);
                return Ok(Some(Reply { outcome, stamped, state, position, end: at, row }));
            }
            _ => return Err(Garbled),
        }
    }
}

/// The answer to CONNECT may also be an ERROR with no READY behind it.
pub fn refused_connect(bytes: &[u8]) -> Option<ErrorKind> {
    let line = bytes.split(|b| *b == b'\n').next()?;
    let line = std::str::from_utf8(line.strip_suffix(b"\r")?).ok()?;
    ErrorKind::from_word(line.strip_prefix("ERROR ")?.split(' ').next()?)
}

/// The row that DESCRIBE, PAUSE, CONTINUE and STEPDOWN answer with.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServerDescription {
    pub primary: bool,
    pub term: crate::base::ids::DbTerm,
    pub received: Position,
}

pub fn described(row: &str) -> Option<ServerDescription> {
    let mut words = row.split(' ');
    let primary = match words.next()? {
        "primary" => true,
        "replica" => false,
        _ => return None,
    };
    let term = crate::base::ids::DbTerm(words.next()?.parse().ok()?);
    let received = words.next()?.parse().ok()?;
    Some(ServerDescription { primary, term, received })
}

/// Why no line could be had.
#[derive(Debug)]
pub enum NoLine {
    /// The far end closed, with nothing half sent.
    Closed,
    TooLarge,
    /// Nothing came within the time that the socket waits; what is half there is kept.
    Quiet,
    Io(io::Error),
}

/// Bytes that came and were not yet used up.
#[derive(Default)]
pub struct ReadBuffer {
    bytes: Vec<u8>,
    start: usize,
}

impl ReadBuffer {
    /// Waits for a whole line and hands it out without its CR LF.
    pub fn line<'a>(&'a mut self, from: &mut impl Read) -> Result<&'a [u8], NoLine> {
        let mut looked = self.start;
        loop {
            if let Some(found) = self.bytes[looked..].iter().position(|b| *b == b'\n') {
                let end = looked + found;
                let start = std::mem::replace(&mut self.start, end + 1);
                if end + 1 - start > MAX_MESSAGE {
                    return Err(NoLine::TooLarge);
                }
                // A line that ends in a bare LF is handed out with it, so that it can't be read.
                let end =
                    if end > start && self.bytes[end - 1] == b'\r' { end - 1 } else { end + 1 };
                return Ok(&self.bytes[start..end]);
            }
            looked = self.bytes.len();
            if looked - self.start > MAX_MESSAGE {
                return Err(NoLine::TooLarge);
            }
            let dropped = self.start;
            match self.fill(from) {
                Ok(0) => return Err(NoLine::Closed),
                Ok(_) => {}
                Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
                Err(e)
                    if matches!(e.kind(), io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut) =>
                {
                    return Err(NoLine::Quiet);
                }
                Err(e) => return Err(NoLine::Io(e)),
            }
            looked -= dropped;
        }
    }
    /// Reads once; what was used up makes room first.
    pub fn fill(&mut self, from: &mut impl Read) -> io::Result<usize> {
        self.bytes.drain(..self.start);
        self.start = 0;
        let mut chunk = [0u8; 4096];
        let got = from.read(&mut chunk)?;
        self.bytes.extend_from_slice(&chunk[..got]);
        Ok(got)
    }
    pub fn pending(&self) -> &[u8] {
        &self.bytes[self.start..]
    }
    pub fn use_up(&mut self, count: usize) {
        self.start += count;
    }
    pub fn is_empty(&self) -> bool {
        self.pending().is_empty()
    }
}
