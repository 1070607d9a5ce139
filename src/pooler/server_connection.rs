//! One connection to a database.
use crate::net::idle_connections::has_news;
use crate::net::statement_protocol::{self, Outcome, ReadBuffer, Reply, State};
use crate::pooler::reroute::{PreparedStatement, SessionReroute};
use log::warn;
use std::collections::{BTreeMap, HashSet};
use std::hash::BuildHasher;
use std::io::{self, Write};
use std::net::TcpStream;

/// How often a thread that waits for a database looks up.
pub(crate) const LOOK_MS: u64 = 25;

/// A database that owes an answer and says nothing to anyone here for this long is doubted.
pub(crate) const SILENT_MS: u64 = 200;

pub(crate) const CONNECT_MS: u64 = 400;

/// Waiting for a connection and the way there are over within this; what comes later is not sent to a
/// database that leaves.
pub(crate) const LEFT_BEFORE_MS: u64 = 1_000;

pub(crate) const HANDSHAKE_MS: u64 = 1_500;

/// An answer larger than this is no answer.
const MAX_ANSWER: usize = 4 << 20;

/// Prepared statements on one connection before it is cleared.
const MAX_PREPARED: usize = 256;

/// A connection to a database, and what the database holds for it.
pub struct ServerConnection {
    pub(crate) stream: TcpStream,
    pub(crate) inbox: ReadBuffer,
    /// Answers that the database owes. They carry no id: only by their count is one known to be the
    /// next statement's.
    owed: u32,
    pub(crate) values: BTreeMap<String, String>,
    prepared: HashSet<u64>,
    /// The session and the version of its state that was last laid on.
    pub(crate) holds: Option<(u64, u64)>,
    /// A transaction was opened and not ended.
    pub(crate) open: bool,
    /// State was laid on inside a transaction that may be rolled back with it.
    pub(crate) inside: bool,
}

#[derive(Debug)]
pub(crate) enum Loss {
    /// The connection is gone or can't be trusted.
    Broken,
    /// The database owes the answer for too long.
    Overdue,
    /// The deadline of the statement is there.
    Late,
}

impl ServerConnection {
    pub(crate) fn new(stream: TcpStream) -> Self {
        Self {
            stream,
            inbox: ReadBuffer::default(),
            owed: 0,
            values: BTreeMap::new(),
            prepared: HashSet::new(),
            holds: None,
            open: false,
            inside: false,
        }
    }
    /// Nothing is owed and nothing unasked has been read.
    pub(crate) fn settled(&self) -> bool {
        self.owed == 0 && self.inbox.is_empty()
    }
    /// Nothing else has come either, and the far end has not closed.
    pub(crate) fn quiet(&self) -> bool {
        self.settled() && !has_news(&self.stream)
    }
    /// Sends what will be answered `answers` times. An error tells whether a part may have left.
    pub(crate) fn write(&mut self, bytes: &[u8], answers: u32) -> Result<(), (Loss, bool)> {
        // Bytes that nobody asked for make every later answer doubtful.
        if !self.quiet() {
            return Err((Loss::Broken, false));
        }
        self.owed = answers;
        self.stream.write_all(bytes).map_err(|_| (Loss::Broken, true))
    }
    /// An answer was taken in or passed on.
    pub(crate) fn taken(&mut self, reply: &Reply) {
        self.inbox.use_up(reply.end);
        self.owed = self.owed.saturating_sub(1);
    }
    /// Waits for one answer. `look` is asked now and then whether it is still worth it.
    pub(crate) fn answer(&mut self, mut look: impl FnMut() -> Option<Loss>) -> Result<Reply, Loss> {
        loop {
            if !self.inbox.is_empty() {
                match statement_protocol::reply(self.inbox.pending()) {
                    // With more behind the last one due, either may be another statement's.
                    Ok(Some(reply)) if self.owed <= 1 && reply.end < self.inbox.pending().len() => {
                        warn!(target: "pool", "an answer too many");
                        return Err(Loss::Broken);
                    }
                    Ok(Some(reply)) => return Ok(reply),
                    Ok(None) if self.inbox.pending().len() > MAX_ANSWER => {
                        return Err(Loss::Broken);
                    }
                    Ok(None) => {}
                    Err(statement_protocol::Garbled) => {
                        warn!(target: "pool", "garbled answer");
                        return Err(Loss::Broken);
                    }
                }
            }
            match self.inbox.fill(&mut self.stream) {
                Ok(0) => return Err(Loss::Broken),
                Ok(_) => {}
                Err(e)
                    if matches!(e.kind(), io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut) =>
                {
                    if let Some(loss) = look() {
                        return Err(loss);
                    }
                }
                Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
                Err(_) => return Err(Loss::Broken),
            }
        }
    }
}

/// Brings a connection to the state of the session: the difference is sent, in one write.
pub(crate) fn lay_on(
    stock: &mut ServerConnection,
    graft: &SessionReroute,
    session: u64,
    hasher: &std::hash::RandomState,
    mut look: impl FnMut() -> Option<Loss>,
) -> Result<(), Loss> {
    let mark = (session, graft.version());
    // What was laid on inside a transaction may have gone with it.
    if stock.holds == Some(mark) && (stock.open || !stock.inside) {
        return Ok(());
    }
    let (values, shapes) = (graft.settings(), graft.prepared_statements());
    let mut lines = String::new();
    let mut count = 0;
    let mut say = |text: std::fmt::Arguments<'_>| {
        use std::fmt::Write;
        count += 1;
        // Writing to a String cannot fail.
        let _ = write!(lines, "QUERY - {text}\r\n");
    };
    let foreign = stock.values.keys().any(|k| !values.contains_key(k));
    let wanted: Vec<(u64, &PreparedStatement)> = shapes.map(|s| (shape_id(hasher, s), s)).collect();
    let missing = wanted.iter().filter(|(id, _)| !stock.prepared.contains(id)).count();
    if !stock.open && (foreign || stock.inside || stock.prepared.len() + missing > MAX_PREPARED) {
        say(format_args!("DISCARD"));
        stock.values.clear();
        stock.prepared.clear();
        stock.inside = false;
    }
    for (name, value) in values {
        if stock.values.get(name) != Some(value) {
            say(format_args!("CONFIGURE {name} {value}"));
            stock.values.insert(name.clone(), value.clone());
        }
    }
    for (id, shape) in wanted {
        if stock.prepared.insert(id) {
            say(format_args!("PREPARE p{id:x} {} {}", shape.verb.word(), shape.text));
        }
    }
    if count > 0 {
        stock.inside |= stock.open;
        stock.write(lines.as_bytes(), count).map_err(|(loss, _)| loss)?;
        for _ in 0..count {
            let reply = stock.answer(&mut look)?;
            if reply.outcome != Outcome::Complete || (reply.state == State::Open) != stock.open {
                // What it holds now is not known.
                return Err(Loss::Broken);
            }
            stock.taken(&reply);
        }
    }
    stock.holds = Some(mark);
    Ok(())
}

pub(crate) fn shape_id(hasher: &std::hash::RandomState, shape: &PreparedStatement) -> u64 {
    hasher.hash_one(shape)
}
