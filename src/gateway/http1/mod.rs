//! A strict HTTP/1.1 parser: a message that two parsers could read differently is rejected, so that
//! the client, the gateway and an endpoint never disagree on where a request ends (request
//! smuggling).
//!
//! Request handling parses the requests of clients, and attempts parse the responses of endpoints.
//! The parsers work on bytes, without sockets or clocks.
mod body;
mod headers;
mod request_head;
mod response_head;

pub(super) use body::encode_chunk;
pub use body::{BodyDecoder, BodyFraming};
pub(super) use headers::append_header;
pub use request_head::{RequestHead, parse_request_head};
pub use response_head::{ResponseHead, parse_response_head};

/// The bytes are not a valid HTTP/1.1 message, or are ambiguous.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("invalid or ambiguous HTTP/1.1 message")]
pub struct ParseError;

/// A complete head, and its length in the bytes from which it was parsed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ParsedHead<H> {
    /// The parsed head.
    pub head: H,
    /// The length of the head in bytes. The body starts after it.
    pub length: usize,
}
