//! Error types: the errors of the statement protocol, the error responses of the gateway, and the
//! errors that end a process.
//!
//! The first two are part of the protocols that clients use. Each is an enum with a table of the
//! responses that its variants lead to; clients rely on every row, and tests check the tables.
use std::fmt;
use std::io;

/// The kinds of errors that the pooler and the databases report to clients.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum ErrorKind {
    /// The message can't be parsed.
    Malformed,
    /// The message is longer than the protocol allows.
    TooLarge,
    /// An object that the statement refers to, such as a prepared statement, does not exist.
    NotFound,
    /// The database or service named at the start of the session does not exist.
    NoDatabase,
    /// A limit is exceeded; the client should retry later.
    Throttled,
    /// The transaction was rolled back.
    RolledBack,
    /// The replica has not reached the log position that the read requires.
    Lagging,
    /// A write was sent to a replica.
    ReadOnly,
    /// The address belongs to another node than the one that was requested.
    WrongNode,
    /// The database has reached its connection limit.
    ConnLimit,
    /// The statement was executed and failed.
    Failed,
    /// The statement timed out; it may have been executed.
    TimedOut,
    /// It is not known whether the statement was executed.
    Unknown,
    /// The client's key belongs to no tenant.
    Denied,
}

/// The reply that reports an error kind, and what it guarantees.
pub struct ErrorReply {
    /// The error kind of this row.
    pub kind: ErrorKind,
    /// The error code in the protocol.
    pub code: &'static str,
    /// Whether the error guarantees that the statement has not taken effect and never will.
    pub no_effect: bool,
    /// Whether the connection is closed after the reply.
    pub closes: bool,
}

const fn error_reply(
    kind: ErrorKind,
    code: &'static str,
    no_effect: bool,
    closes: bool,
) -> ErrorReply {
    ErrorReply { kind, code, no_effect, closes }
}

/// The reply to each error kind, in the order of the enum. Columns: error code, whether the
/// statement is guaranteed to have no effect, whether the connection is closed.
pub const ERROR_REPLIES: [ErrorReply; 14] = [
    error_reply(ErrorKind::Malformed, "MALFORMED", false, false),
    error_reply(ErrorKind::TooLarge, "TOOLARGE", false, true),
    error_reply(ErrorKind::NotFound, "NOTFOUND", false, false),
    error_reply(ErrorKind::NoDatabase, "NODATABASE", false, true),
    error_reply(ErrorKind::Throttled, "THROTTLED", true, false),
    error_reply(ErrorKind::RolledBack, "ROLLEDBACK", true, false),
    error_reply(ErrorKind::Lagging, "LAGGING", true, false),
    error_reply(ErrorKind::ReadOnly, "READONLY", true, false),
    error_reply(ErrorKind::WrongNode, "WRONGNODE", true, false),
    error_reply(ErrorKind::ConnLimit, "CONNLIMIT", true, false),
    error_reply(ErrorKind::Failed, "FAILED", false, false),
    error_reply(ErrorKind::TimedOut, "TIMEDOUT", false, false),
    error_reply(ErrorKind::Unknown, "UNKNOWN", false, false),
    error_reply(ErrorKind::Denied, "DENIED", false, true),
];

impl ErrorKind {
    /// The row of the kind in [`ERROR_REPLIES`].
    pub fn reply(self) -> &'static ErrorReply {
        &ERROR_REPLIES[self as usize]
    }
    /// The kind with this error code.
    pub fn from_code(code: &str) -> Option<Self> {
        ERROR_REPLIES.iter().find(|row| row.code == code).map(|row| row.kind)
    }
}

impl fmt::Display for ErrorKind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.reply().code)
    }
}

/// The error responses that a gateway generates itself instead of forwarding a database's response.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Refusal {
    /// The request is malformed or ambiguous.
    Malformed,
    /// No route matches the request.
    NoRoute,
    /// The client did not send the request within the timeout.
    RequestTimeout,
    /// The request's body is too large.
    TooLarge,
    /// The request's head is too large.
    HeadTooLarge,
    /// No database can accept the request now; it has not been executed.
    Unavailable,
    /// A database may have executed the request, but returned no valid response.
    BadGateway,
    /// A database may have executed the request, but did not respond within the timeout.
    GatewayTimeout,
    /// The request has no key of a tenant.
    Unauthorized,
    /// The tenant is at its limit; the request has not been executed.
    TooManyRequests,
}

/// The response that reports a refusal, and what it guarantees.
pub struct RefusalResponse {
    /// The refusal of this row.
    pub refusal: Refusal,
    /// The HTTP status code.
    pub status: u16,
    /// The reason phrase of the status line.
    pub reason: &'static str,
    /// Whether the response guarantees that the request has not been executed and never will be.
    pub no_effect: bool,
    /// Whether the client's connection is closed after the response.
    pub closes: bool,
}

const fn refusal_response(
    refusal: Refusal,
    status: u16,
    reason: &'static str,
    no_effect: bool,
    closes: bool,
) -> RefusalResponse {
    RefusalResponse { refusal, status, reason, no_effect, closes }
}

/// The response to each refusal, in the order of the enum. Columns: status code, reason phrase,
/// whether the request is guaranteed not to be executed, whether the connection is closed.
pub const REFUSAL_RESPONSES: [RefusalResponse; 10] = [
    refusal_response(Refusal::Malformed, 400, "Bad Request", false, true),
    refusal_response(Refusal::NoRoute, 404, "Not Found", false, false),
    refusal_response(Refusal::RequestTimeout, 408, "Request Timeout", true, true),
    refusal_response(Refusal::TooLarge, 413, "Content Too Large", false, true),
    refusal_response(Refusal::HeadTooLarge, 431, "Request Header Fields Too Large", false, true),
    refusal_response(Refusal::Unavailable, 503, "Service Unavailable", true, false),
    refusal_response(Refusal::BadGateway, 502, "Bad Gateway", false, false),
    refusal_response(Refusal::GatewayTimeout, 504, "Gateway Timeout", false, false),
    refusal_response(Refusal::Unauthorized, 401, "Unauthorized", true, false),
    refusal_response(Refusal::TooManyRequests, 429, "Too Many Requests", true, false),
];

impl Refusal {
    /// The row of the refusal in [`REFUSAL_RESPONSES`].
    pub fn response(self) -> &'static RefusalResponse {
        &REFUSAL_RESPONSES[self as usize]
    }
}

/// An error that ends a process. Each variant has an exit code, on which operators rely.
#[derive(Debug, thiserror::Error)]
pub enum Fatal {
    /// The settings file can't be read or is not valid.
    #[error("settings: {0}")]
    Settings(String),
    /// A configuration can't be read or is not valid.
    #[error("configuration: {0}")]
    Configuration(String),
    /// The state stored on disk can't be read or is not valid; it is left unchanged.
    #[error("state on disk: {0}")]
    State(String),
    /// The disk has failed or is full. A later start may succeed.
    #[error("the disk: {0}")]
    Disk(String),
    /// A listening socket can't be opened at this address.
    #[error("cannot listen on {0}: {1}")]
    Listen(String, #[source] io::Error),
    /// The operating system refused a resource that the process needs at its start.
    #[error("{0}")]
    System(#[source] io::Error),
    /// Another step of the start of a process failed.
    #[error("{0}")]
    Startup(String),
    /// The operating system could not start the thread for this task.
    #[error("can't start the thread for {0}")]
    Thread(&'static str),
}

impl Fatal {
    /// The exit code of a process that ends with this error: 2 for settings and 3 for stored state,
    /// both of which need an operator; 1 for errors that a later start may not meet again.
    pub fn exit_code(&self) -> u8 {
        match self {
            Self::Settings(_) => 2,
            Self::State(_) => 3,
            Self::Configuration(_)
            | Self::Disk(_)
            | Self::Listen(..)
            | Self::System(_)
            | Self::Startup(_)
            | Self::Thread(_) => 1,
        }
    }
}
