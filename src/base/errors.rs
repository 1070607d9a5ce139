//! The errors of the statement protocol, the refusals of the gateway, and why a process ends.
//!
//! The first two are closed lists, each with a table of the answers that its members lead to. Tests
//! check the tables; the protocol's users rely on every row.
use std::fmt;
use std::io;

/// Every error that a client of the pooler can be given.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum ErrorKind {
    /// The message can't be parsed.
    Malformed,
    /// The message is longer than the protocol allows.
    TooLarge,
    /// What the statement names, such as a prepared statement, does not exist.
    NotFound,
    /// The database or service named at the start of the session does not exist.
    NoDatabase,
    /// Over a limit; to be sent again later.
    Throttled,
    /// The transaction was rolled back.
    RolledBack,
    /// The replica has not received the position that the read asked for.
    Lagging,
    /// A write reached a replica.
    ReadOnly,
    /// Another node has the address.
    WrongNode,
    /// The database allows no further connection.
    ConnLimit,
    /// The statement ran and failed.
    Failed,
    /// The time for an answer is over; the statement may have run.
    TimedOut,
    /// Whether the statement ran is not known.
    Unknown,
}

/// How an error kind is answered.
pub struct ErrorAnswer {
    /// The kind that the row is for.
    pub kind: ErrorKind,
    /// The code on the wire.
    pub code: &'static str,
    /// Whether it guarantees that the attempt has had no effect and will have none.
    pub no_effect: bool,
    /// Whether the connection is closed behind it.
    pub closes: bool,
}

const fn error_answer(
    kind: ErrorKind,
    code: &'static str,
    no_effect: bool,
    closes: bool,
) -> ErrorAnswer {
    ErrorAnswer { kind, code, no_effect, closes }
}

/// The answer to each error kind, in the order of the enum. Columns: code on the wire, whether the
/// attempt is guaranteed to have no effect, whether the connection is closed.
pub const ERROR_ANSWERS: [ErrorAnswer; 13] = [
    error_answer(ErrorKind::Malformed, "MALFORMED", false, false),
    error_answer(ErrorKind::TooLarge, "TOOLARGE", false, true),
    error_answer(ErrorKind::NotFound, "NOTFOUND", false, false),
    error_answer(ErrorKind::NoDatabase, "NODATABASE", false, true),
    error_answer(ErrorKind::Throttled, "THROTTLED", true, false),
    error_answer(ErrorKind::RolledBack, "ROLLEDBACK", true, false),
    error_answer(ErrorKind::Lagging, "LAGGING", true, false),
    error_answer(ErrorKind::ReadOnly, "READONLY", true, false),
    error_answer(ErrorKind::WrongNode, "WRONGNODE", true, false),
    error_answer(ErrorKind::ConnLimit, "CONNLIMIT", true, false),
    error_answer(ErrorKind::Failed, "FAILED", false, false),
    error_answer(ErrorKind::TimedOut, "TIMEDOUT", false, false),
    error_answer(ErrorKind::Unknown, "UNKNOWN", false, false),
];

impl ErrorKind {
    /// The row of the kind in [`ERROR_ANSWERS`].
    pub fn answer(self) -> &'static ErrorAnswer {
        &ERROR_ANSWERS[self as usize]
    }
    /// The kind with this code on the wire.
    pub fn from_word(code: &str) -> Option<Self> {
        ERROR_ANSWERS.iter().find(|row| row.code == code).map(|row| row.kind)
    }
}

impl fmt::Display for ErrorKind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.answer().code)
    }
}

/// Every answer that a gateway makes itself instead of forwarding a database's.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Refusal {
    /// The request can't be parsed, or could be parsed in two ways.
    Unreadable,
    /// No route matches the request.
    NoRoute,
    /// The client took too long to send the request.
    Slow,
    /// The request's body is too large.
    TooLarge,
    /// The request's head is too large.
    HeadTooLarge,
    /// No database can take the request now; nothing has run.
    Full,
    /// A database may have run the request, but no usable answer came.
    Lost,
    /// A database may have run the request; the time for an answer is over.
    Late,
}

/// How a gateway's refusal is answered.
pub struct RefusalAnswer {
    /// The refusal that the row is for.
    pub refusal: Refusal,
    /// The HTTP status.
    pub status: u16,
    /// The reason phrase of the status line.
    pub reason: &'static str,
    /// Whether it guarantees that nothing of the request has run and nothing will.
    pub no_effect: bool,
    /// Whether the client's connection is closed behind it.
    pub closes: bool,
}

const fn refusal_answer(
    refusal: Refusal,
    status: u16,
    reason: &'static str,
    no_effect: bool,
    closes: bool,
) -> RefusalAnswer {
    RefusalAnswer { refusal, status, reason, no_effect, closes }
}

/// The answer to each refusal, in the order of the enum. Columns: status, reason phrase, whether it
/// guarantees that nothing runs, whether the connection is closed.
pub const REFUSAL_ANSWERS: [RefusalAnswer; 8] = [
    refusal_answer(Refusal::Unreadable, 400, "Bad Request", false, true),
    refusal_answer(Refusal::NoRoute, 404, "Not Found", false, false),
    refusal_answer(Refusal::Slow, 408, "Request Timeout", true, true),
    refusal_answer(Refusal::TooLarge, 413, "Content Too Large", false, true),
    refusal_answer(Refusal::HeadTooLarge, 431, "Request Header Fields Too Large", false, true),
    refusal_answer(Refusal::Full, 503, "Service Unavailable", true, false),
    refusal_answer(Refusal::Lost, 502, "Bad Gateway", false, false),
    refusal_answer(Refusal::Late, 504, "Gateway Timeout", false, false),
];

impl Refusal {
    /// The row of the refusal in [`REFUSAL_ANSWERS`].
    pub fn answer(self) -> &'static RefusalAnswer {
        &REFUSAL_ANSWERS[self as usize]
    }
}

/// Why a process can't start or go on. Each kind has its exit code, on which operators rely.
#[derive(Debug, thiserror::Error)]
pub enum Fatal {
    /// The settings file can't be read or used.
    #[error("settings: {0}")]
    Settings(String),
    /// A configuration can't be read or used.
    #[error("configuration: {0}")]
    Configuration(String),
    /// What is stored on disk can't be read or used; it is left as it is.
    #[error("state on disk: {0}")]
    State(String),
    /// The disk fails or is full; it may work again later.
    #[error("the disk: {0}")]
    Disk(String),
    /// A listening socket can't be opened at this address.
    #[error("cannot listen on {0}: {1}")]
    Listen(String, #[source] io::Error),
    /// The operating system refuses a resource that a process needs at its start.
    #[error("{0}")]
    System(#[source] io::Error),
    /// Another call at the start of a process failed.
    #[error("{0}")]
    Call(String),
    /// There is no thread for this loop.
    #[error("no thread for {0}")]
    Thread(&'static str),
}

impl Fatal {
    /// The exit code of a process that ends with this error: 2 for settings and 3 for stored state,
    /// both of which need an operator; 1 for what may pass by itself.
    pub fn exit_code(&self) -> u8 {
        match self {
            Self::Settings(_) => 2,
            Self::State(_) => 3,
            Self::Configuration(_)
            | Self::Disk(_)
            | Self::Listen(..)
            | Self::System(_)
            | Self::Call(_)
            | Self::Thread(_) => 1,
        }
    }
}
