//! Header handling that requests and responses share: the headers that frame a message, and those
//! that are not forwarded.
use super::ParseError;

/// The most headers that a head may have.
pub(super) const MAX_HEADERS: usize = 100;

/// Headers that apply to a single connection (RFC 9110, section 7.6.1), and headers that the
/// gateway generates itself for each connection.
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

/// What the headers of a message specify about its body and its connection.
#[derive(Default)]
pub(super) struct FramingHeaders {
    pub(super) content_length: Option<u64>,
    pub(super) chunked: bool,
    /// Whether there is a `Connection: close`.
    pub(super) close: bool,
    /// Whether there is a `Connection: keep-alive`.
    pub(super) keep_alive: bool,
    /// The options of all `Connection` headers; the headers that they name are not forwarded.
    connection_options: Vec<String>,
}

impl FramingHeaders {
    /// Parses the framing headers. A message may have one content length or be chunked, but not
    /// both.
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
        let only_digits = !text.is_empty() && text.bytes().all(|b| b.is_ascii_digit());
        let length = text.parse().ok().filter(|_| only_digits).ok_or(ParseError)?;
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

    /// Whether a header is end-to-end and so is forwarded.
    pub(super) fn is_end_to_end(&self, name: &str) -> bool {
        !HOP_BY_HOP.iter().any(|hop_by_hop| name.eq_ignore_ascii_case(hop_by_hop))
            && !self.connection_options.iter().any(|option| option.eq_ignore_ascii_case(name))
    }
}

/// The value of a header as text, without surrounding white space.
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
