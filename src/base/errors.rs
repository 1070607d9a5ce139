//! The closed list of error kinds, and the table of the answers that they lead to.
use std::fmt;

/// Every error a client can be given.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum ErrorKind {
    Malformed,
    TooLarge,
    NotFound,
    NoDatabase,
    Throttled,
    RolledBack,
    Lagging,
    ReadOnly,
    WrongNode,
    ConnLimit,
    Failed,
    TimedOut,
    Unknown,
}

/// How an error kind is answered: its word on the wire, whether it promises that nothing of the
/// try is kept, and whether the connection ends with it.
pub struct Answer {
    pub kind: ErrorKind,
    pub word: &'static str,
    pub promise: bool,
    pub closes: bool,
}

pub(crate) const fn row(
    kind: ErrorKind,
    word: &'static str,
    promise: bool,
    closes: bool,
) -> Answer {
    Answer { kind, word, promise, closes }
}

/// The table from kind to answer, in the order of the enum.
pub const ANSWERS: [Answer; 13] = [
    row(ErrorKind::Malformed, "MALFORMED", false, false),
    row(ErrorKind::TooLarge, "TOOLARGE", false, true),
    row(ErrorKind::NotFound, "NOTFOUND", false, false),
    row(ErrorKind::NoDatabase, "NODATABASE", false, true),
    row(ErrorKind::Throttled, "THROTTLED", true, false),
    row(ErrorKind::RolledBack, "ROLLEDBACK", true, false),
    row(ErrorKind::Lagging, "LAGGING", true, false),
    row(ErrorKind::ReadOnly, "READONLY", true, false),
    row(ErrorKind::WrongNode, "WRONGNODE", true, false),
    row(ErrorKind::ConnLimit, "CONNLIMIT", true, false),
    row(ErrorKind::Failed, "FAILED", false, false),
    row(ErrorKind::TimedOut, "TIMEDOUT", false, false),
    row(ErrorKind::Unknown, "UNKNOWN", false, false),
];

impl ErrorKind {
    pub fn answer(self) -> &'static Answer {
        &ANSWERS[self as usize]
    }
    pub fn from_word(word: &str) -> Option<Self> {
        ANSWERS.iter().find(|row| row.word == word).map(|row| row.kind)
    }
}

impl fmt::Display for ErrorKind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.answer().word)
    }
}

/// Every answer of its own that a gateway gives instead of a database's.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Refusal {
    /// The request can't be understood, or could be understood in two ways.
    Unreadable,
    NoRoute,
    /// The client took too long to send it.
    Slow,
    TooLarge,
    HeadTooLarge,
    /// No database can take it now; nothing has run.
    Full,
    /// A database may have run it, but no usable answer came.
    Lost,
    /// A database may have run it; the time for an answer is over.
    Late,
}

/// How a gateway's refusal is answered, and whether the client's connection ends with it.
pub struct OwnAnswer {
    pub refusal: Refusal,
    pub status: u16,
    pub reason: &'static str,
    /// It promises that nothing has run and nothing will.
    pub promise: bool,
    pub closes: bool,
}

const fn own(
    refusal: Refusal,
    status: u16,
    reason: &'static str,
    promise: bool,
    closes: bool,
) -> OwnAnswer {
    OwnAnswer { refusal, status, reason, promise, closes }
}

/// The table from refusal to answer, in the order of the enum.
pub const OWN_ANSWERS: [OwnAnswer; 8] = [
    own(Refusal::Unreadable, 400, "Bad Request", false, true),
    own(Refusal::NoRoute, 404, "Not Found", false, false),
    own(Refusal::Slow, 408, "Request Timeout", true, true),
    own(Refusal::TooLarge, 413, "Content Too Large", false, true),
    own(Refusal::HeadTooLarge, 431, "Request Header Fields Too Large", false, true),
    own(Refusal::Full, 503, "Service Unavailable", true, false),
    own(Refusal::Lost, 502, "Bad Gateway", false, false),
    own(Refusal::Late, 504, "Gateway Timeout", false, false),
];

impl Refusal {
    pub fn answer(self) -> &'static OwnAnswer {
        &OWN_ANSWERS[self as usize]
    }
}

/// Why a program can't start or go on. Each kind has its exit code.
#[derive(Debug, thiserror::Error)]
pub enum Fatal {
    #[error("settings: {0}")]
    Settings(String),
    #[error("configuration: {0}")]
    Configuration(String),
    #[error("state on disk: {0}")]
    State(String),
    #[error("the disk: {0}")]
    Disk(String),
    #[error("cannot listen on {0}: {1}")]
    Listen(String, std::io::Error),
    #[error("{0}")]
    Call(String),
}

impl Fatal {
    pub fn exit_code(&self) -> u8 {
        match self {
            Fatal::Settings(_) => 2,
            Fatal::State(_) => 3,
            Fatal::Configuration(_) | Fatal::Disk(_) | Fatal::Listen(..) | Fatal::Call(_) => 1,
        }
    }
}
