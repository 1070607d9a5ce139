//! HTTP/1.1 messages, parsed strictly: a message that two readers could understand differently is
//! rejected, so that a client and a database never disagree on where a request ends.
//!
//! Request handling parses clients' heads here, and attempts parse databases' responses. The
//! parsers work on bytes alone; they know no socket and no clock.
mod body;
mod headers;
mod request_head;
mod response_head;

pub(super) use body::encode_chunk;
pub use body::{BodyDecoder, BodyFraming};
pub(super) use headers::append_header;
pub use request_head::{RequestHead, parse_request_head};
pub use response_head::{ResponseHead, parse_response_head};

/// The bytes are not a valid HTTP/1.1 message, or could be understood in two ways.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("not a valid HTTP/1.1 message")]
pub struct ParseError;

/// A complete head, and its length in the bytes it was parsed from.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ParsedHead<H> {
    /// The head itself.
    pub head: H,
    /// How many bytes the head has; the body begins behind them.
    pub length: usize,
}
