//! Headers that both directions have in common: those that frame a message, and those that are
//! not forwarded.
use super::ParseError;

/// The most headers that a head may have.
pub(super) const MAX_HEADERS: usize = 100;

/// Headers that concern one connection only (RFC 9110, section 7.6.1), and those that are written
/// anew for each connection.
const HOP_BY_HOP: [&str; 11] = [
    "connection",
    "keep-alive",
    "proxy-connection",
    "proxy-authenticate",
    "proxy-authorization",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
    "content-length",
    "expect",
];

/// What the headers of a message say about its body and its connection.
#[derive(Default)]
pub(super) struct FramingHeaders {
    pub(super) content_length: Option<u64>,
    pub(super) chunked: bool,
    /// `Connection: close`.
    pub(super) close: bool,
    /// `Connection: keep-alive`.
    pub(super) keep_alive: bool,
    /// All options of `Connection`; headers that they name are not forwarded.
    connection_options: Vec<String>,
}

impl FramingHeaders {
    /// Only one length, or chunks and no length, may say how long a body is.
    pub(super) fn parse(headers: &[httparse::Header<'_>]) -> Result<Self, ParseError> {
        let mut framing = Self::default();
        for header in headers {
            if header.name.eq_ignore_ascii_case("content-length") {
                framing.read_content_length(header)?;
            } else if header.name.eq_ignore_ascii_case("transfer-encoding") {
                framing.read_transfer_encoding(header)?;
            } else if header.name.eq_ignore_ascii_case("connection") {
                framing.read_connection(header)?;
            }
        }
        if framing.chunked && framing.content_length.is_some() {
            return Err(ParseError);
        }
        Ok(framing)
    }

    fn read_content_length(&mut self, header: &httparse::Header<'_>) -> Result<(), ParseError> {
        let text = header_text(header)?;
        // `parse` alone would accept a sign.
        let digits = !text.is_empty() && text.bytes().all(|b| b.is_ascii_digit());
        let length = text.parse().ok().filter(|_| digits).ok_or(ParseError)?;
        if self.content_length.is_some_and(|known| known != length) {
            return Err(ParseError);
        }
        self.content_length = Some(length);
        Ok(())
    }

    fn read_transfer_encoding(&mut self, header: &httparse::Header<'_>) -> Result<(), ParseError> {
        if self.chunked || !header_text(header)?.eq_ignore_ascii_case("chunked") {
            return Err(ParseError);
        }
        self.chunked = true;
        Ok(())
    }

    fn read_connection(&mut self, header: &httparse::Header<'_>) -> Result<(), ParseError> {
        for option in header_text(header)?.split(',').map(str::trim) {
            self.close |= option.eq_ignore_ascii_case("close");
            self.keep_alive |= option.eq_ignore_ascii_case("keep-alive");
            self.connection_options.push(option.to_owned());
        }
        Ok(())
    }

    /// Whether a header goes on to the far end, rather than only to this gateway.
    pub(super) fn is_end_to_end(&self, name: &str) -> bool {
        !HOP_BY_HOP.iter().any(|n| name.eq_ignore_ascii_case(n))
            && !self.connection_options.iter().any(|n| n.eq_ignore_ascii_case(name))
    }
}

/// The value of a header as text, without white space around it.
pub(super) fn header_text<'h>(header: &httparse::Header<'h>) -> Result<&'h str, ParseError> {
    std::str::from_utf8(header.value).map(str::trim).map_err(|_| ParseError)
}

/// Appends one header line to a head.
pub(in crate::gateway) fn append_header(head: &mut Vec<u8>, name: &str, value: &[u8]) {
    head.extend_from_slice(name.as_bytes());
    head.extend_from_slice(b": ");
    head.extend_from_slice(value);
    head.extend_from_slice(b"\r\n");
}
