//! Clients with sessions: writes, reads and transactions, and what must hold of their replies.
use super::clients::{ClientContext, Node, Unanswered};
use super::{Plan, Timeline};
use crate::support::{InjectedFault, StandIn};
use rand::RngExt;
use std::io::{BufRead, BufReader, Write};
use std::net::TcpStream;
use std::sync::Arc;
use std::time::Instant;

/// Errors that promise that nothing is kept.
const PROMISES: [&str; 6] =
    ["THROTTLED", "ROLLEDBACK", "LAGGING", "READONLY", "WRONGNODE", "CONNLIMIT"];

/// One of this many statements is sent by a client that then leaves.
const DEPARTURE_RATIO: u32 = 25;

/// One of this many statements is answered late, by at most this many milliseconds, so that events
/// find statements under way.
const LATE_RATIO: u32 = 8;
const MAX_LATE_MS: u64 = 200;

/// A key and its value, written by the statement with this id.
#[derive(Clone, Debug)]
struct Written {
    id: String,
    key: String,
}

impl Written {
    /// The value of a key, which only one statement ever writes.
    fn value(&self) -> String {
        format!("v-{}", self.key)
    }
}

/// What clients with sessions observed.
pub(crate) struct SessionLog {
    databases: Arc<StandIn>,
    pub(crate) statements: usize,
    pub(crate) departures: usize,
    acknowledged: Vec<Written>,
    promised_not_kept: Vec<Written>,
    /// The ids of all statements that may write or commit.
    writes: Vec<String>,
    unanswered: Vec<Unanswered>,
    wrong_replies: Vec<String>,
}

impl SessionLog {
    pub(crate) fn new(databases: &Arc<StandIn>) -> Self {
        Self {
            databases: Arc::clone(databases),
            statements: 0,
            departures: 0,
            acknowledged: Vec::new(),
            promised_not_kept: Vec::new(),
            writes: Vec::new(),
            unanswered: Vec::new(),
            wrong_replies: Vec::new(),
        }
    }

    pub(crate) fn merge(&mut self, other: Self) {
        self.statements += other.statements;
        self.departures += other.departures;
        self.acknowledged.extend(other.acknowledged);
        self.promised_not_kept.extend(other.promised_not_kept);
        self.writes.extend(other.writes);
        self.unanswered.extend(other.unanswered);
        self.wrong_replies.extend(other.wrong_replies);
    }

    pub(crate) fn violations(&self, plan: &Plan, timeline: &Timeline) -> Vec<String> {
        let is_stored =
            |w: &Written| self.databases.value(&w.key).is_some_and(|value| value == w.value());
        let missing = self.acknowledged.iter().filter(|written| !is_stored(written));
        let missing = missing.map(|w| format!("LOST: acknowledged and not stored: {w:?}"));
        let kept = self.promised_not_kept.iter().filter(|written| is_stored(written));
        let kept =
            kept.map(|w| format!("REFUSED: promised that it is not kept, and stored: {w:?}"));
        let twice = self.writes.iter().filter(|id| self.databases.times_applied(id) > 1);
        let twice = twice.map(|id| format!("TWICE: {id} took effect more than once"));
        let unanswered =
            self.unanswered.iter().filter(|u| self.databases.times_received(&u.id) > 0);
        let unanswered = unanswered.filter_map(|u| u.violation(plan, timeline));
        let wrong = self.wrong_replies.iter().cloned();
        missing.chain(kept).chain(twice).chain(unanswered).chain(wrong).collect()
    }
}

/// The reply to a statement.
enum SessionReply {
    Complete {
        stamp: String,
        row: String,
        state: String,
    },
    Error {
        kind: String,
        state: String,
    },
    /// The connection ended before the reply was complete.
    Cut,
}

struct Session {
    node: Node,
    lines: BufReader<TcpStream>,
}

impl Session {
    fn open(node: Node, mut stream: TcpStream) -> Option<Self> {
        stream.write_all(b"CONNECT main me\r\n").ok()?;
        let mut session = Self { node, lines: BufReader::new(stream) };
        session.line()?.starts_with("READY I").then_some(session)
    }

    fn line(&mut self) -> Option<String> {
        let mut line = String::new();
        let count = self.lines.read_line(&mut line).ok()?;
        (count > 0 && line.ends_with('\n')).then(|| line.trim_end().to_owned())
    }

    fn send(&mut self, id: &str, text: &str) -> bool {
        self.lines.get_mut().write_all(format!("QUERY {id} {text}\r\n").as_bytes()).is_ok()
    }

    fn receive(&mut self) -> SessionReply {
        let (mut stamp, mut row, mut error) = (String::new(), String::new(), None);
        while let Some(line) = self.line() {
            let (word, rest) = line.split_once(' ').unwrap_or((&line, ""));
            let first = rest.split(' ').next().unwrap_or_default().to_owned();
            match word {
                "ROW" => row += rest,
                "COMPLETE" => stamp = first,
                "ERROR" => error = Some(first),
                "READY" => {
                    return match error {
                        Some(kind) => SessionReply::Error { kind, state: first },
                        None => SessionReply::Complete { stamp, row, state: first },
                    };
                }
                _ => return SessionReply::Cut,
            }
        }
        SessionReply::Cut
    }
}

/// Whether a session can be used on.
#[derive(PartialEq, Eq)]
enum After {
    Usable,
    Ended,
}

/// A client that opens sessions one after the other.
pub(crate) struct PoolerClient {
    context: ClientContext,
    log: SessionLog,
    next_id: usize,
}

impl PoolerClient {
    pub(crate) fn new(context: ClientContext, databases: &Arc<StandIn>) -> Self {
        Self { context, log: SessionLog::new(databases), next_id: 0 }
    }

    /// Uses sessions until the soak stops.
    pub(crate) fn run(mut self) -> SessionLog {
        while !self.context.is_stopped() {
            let Some((node, stream)) = self.context.connect() else { continue };
            let Some(mut session) = Session::open(node, stream) else {
                self.context.pause(20..100);
                continue;
            };
            while !self.context.is_stopped() && self.operate(&mut session) == After::Usable {
                self.context.pause(0..60);
            }
        }
        self.log
    }

    fn fresh_id(&mut self) -> String {
        self.next_id += 1;
        format!("s{}-{}", self.context.number, self.next_id)
    }

    fn operate(&mut self, session: &mut Session) -> After {
        match self.context.random.random_range(0..10) {
            0..=4 => self.write(session),
            5..=7 => self.read(session),
            _ => self.transact(session),
        }
    }

    /// Sends a statement and receives its reply. `None` if the session has ended, for which the
    /// client itself may be the reason.
    fn ask(&mut self, session: &mut Session, id: &str, text: &str) -> Option<SessionReply> {
        self.log.statements += 1;
        if self.context.random.random_ratio(1, LATE_RATIO) {
            let late_ms = self.context.random.random_range(0..MAX_LATE_MS);
            self.log.databases.inject(id, &[InjectedFault::Late(late_ms)]);
        }
        if !session.send(id, text) {
            return None;
        }
        if self.context.random.random_ratio(1, DEPARTURE_RATIO) {
            self.log.departures += 1;
            return None;
        }
        match session.receive() {
            SessionReply::Cut => {
                self.log.unanswered.push(Unanswered {
                    id: id.to_owned(),
                    node: session.node.name.clone(),
                    ended_at: Instant::now(),
                });
                None
            }
            reply => Some(reply),
        }
    }

    fn check_stamp(&mut self, id: &str, stamp: &str) {
        if !stamp.starts_with(&format!("stamp.{id}.")) {
            self.log.wrong_replies.push(format!("MIXED: {id} got the reply {stamp}"));
        }
    }

    fn write(&mut self, session: &mut Session) -> After {
        let id = self.fresh_id();
        let written = Written { id: id.clone(), key: format!("k-{id}") };
        self.log.writes.push(id.clone());
        let text = format!("STORE {} {}", written.key, written.value());
        let Some(reply) = self.ask(session, &id, &text) else { return After::Ended };
        self.finish_write(&id, vec![written], reply)
    }

    /// Records the outcome of a write or a commit.
    fn finish_write(&mut self, id: &str, written: Vec<Written>, reply: SessionReply) -> After {
        match reply {
            SessionReply::Complete { stamp, state, .. } => {
                self.check_stamp(id, &stamp);
                self.log.acknowledged.extend(written);
                if state == "I" { After::Usable } else { After::Ended }
            }
            SessionReply::Error { kind, state } => {
                if PROMISES.contains(&kind.as_str()) {
                    self.log.promised_not_kept.extend(written);
                }
                if state == "I" { After::Usable } else { After::Ended }
            }
            SessionReply::Cut => After::Ended,
        }
    }

    /// Reads a key that this client has written, which must be there.
    fn read(&mut self, session: &mut Session) -> After {
        let count = self.log.acknowledged.len();
        if count == 0 {
            return After::Usable;
        }
        let known = self.log.acknowledged[self.context.random.random_range(0..count)].clone();
        let id = self.fresh_id();
        match self.ask(session, &id, &format!("FETCH {}", known.key)) {
            Some(SessionReply::Complete { stamp, row, state }) => {
                self.check_stamp(&id, &stamp);
                if row != known.value() {
                    self.log.wrong_replies.push(format!("STALE: {id} read {row:?} for {known:?}"));
                }
                if state == "I" { After::Usable } else { After::Ended }
            }
            Some(SessionReply::Error { state, .. }) if state == "I" => After::Usable,
            _ => After::Ended,
        }
    }

    fn transact(&mut self, session: &mut Session) -> After {
        let mut written = Vec::new();
        let writes = self.context.random.random_range(1..=3);
        for step in 0..=writes {
            let id = self.fresh_id();
            let text = if step == 0 {
                "BEGIN".to_owned()
            } else {
                let write = Written { id: id.clone(), key: format!("k-{id}") };
                let text = format!("STORE {} {}", write.key, write.value());
                written.push(write);
                text
            };
            match self.ask(session, &id, &text) {
                Some(SessionReply::Complete { state, .. }) if state == "T" => {}
                Some(SessionReply::Error { state, .. }) if state == "I" => return After::Usable,
                // The client gives the transaction up by closing its session.
                _ => return After::Ended,
            }
            self.context.pause(0..30);
        }
        let id = self.fresh_id();
        self.log.writes.push(id.clone());
        let Some(reply) = self.ask(session, &id, "COMMIT") else { return After::Ended };
        self.finish_write(&id, written, reply)
    }
}
