//! The heads of databases' responses.
use super::headers::{FramingHeaders, MAX_HEADERS, append_header, header_text};
use super::{BodyFraming, ParseError, ParsedHead};

/// The largest head of a response, in bytes: far above what a database sends, so that only a fault
/// reaches it.
const MAX_RESPONSE_HEAD: usize = 64 << 10;

/// The head of a database's response.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ResponseHead {
    /// The status code.
    pub status: u16,
    /// The reason phrase, as it came.
    pub reason: String,
    /// `Request-Id`: the request that this responds to.
    pub id: Option<String>,
    /// It has a `Response-Signature`, as each success of a database has.
    pub signed: bool,
    /// `Not-Executed`: the database says that it did not execute the request.
    pub not_executed: bool,
    /// How the end of the body is found.
    pub framing: BodyFraming,
    /// The database closes the connection after this response.
    pub close: bool,
    /// `Keep-Alive: timeout`: for how many seconds the database keeps the idle connection open.
    pub keep_alive_s: Option<u64>,
    /// The headers that are forwarded, as lines that end in CR LF.
    pub forwarded_headers: Vec<u8>,
}

impl ResponseHead {
    /// Takes over what one header says.
    fn read_header(&mut self, header: &httparse::Header<'_>) -> Result<(), ParseError> {
        let text = || header_text(header).unwrap_or_default();
        if header.name.eq_ignore_ascii_case("request-id") {
            let id = text().to_owned();
            if self.id.replace(id.clone()).is_some_and(|before| before != id) {
                return Err(ParseError);
            }
        } else if header.name.eq_ignore_ascii_case("response-signature") {
            self.signed = !text().is_empty();
        } else if header.name.eq_ignore_ascii_case("not-executed") {
            self.not_executed = true;
        } else if header.name.eq_ignore_ascii_case("keep-alive") {
            let timeout = text().split(',').find_map(|p| p.trim().strip_prefix("timeout="));
            self.keep_alive_s = timeout.and_then(|t| t.trim().parse().ok());
        }
        Ok(())
    }
}

/// Parses the head of a response to a request with `method` at the start of `bytes`; `None` asks
/// for more bytes.
pub fn parse_response_head(
    bytes: &[u8],
    method: &str,
) -> Result<Option<ParsedHead<ResponseHead>>, ParseError> {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut parsed = httparse::Response::new(&mut headers);
    let length = match parsed.parse(bytes) {
        Ok(httparse::Status::Complete(length)) => length,
        Ok(httparse::Status::Partial) if bytes.len() <= MAX_RESPONSE_HEAD => return Ok(None),
        _ => return Err(ParseError),
    };
    let status = parsed.code.ok_or(ParseError)?;
    let framing = FramingHeaders::parse(parsed.headers)?;
    let has_no_body = method == "HEAD" || status < 200 || status == 204 || status == 304;
    let mut head = ResponseHead {
        status,
        reason: parsed.reason.unwrap_or_default().to_owned(),
        id: None,
        signed: false,
        not_executed: false,
        framing: body_framing(&framing, has_no_body),
        close: framing.close || (parsed.version == Some(0) && !framing.keep_alive),
        keep_alive_s: None,
        forwarded_headers: Vec::with_capacity(length),
    };
    for header in parsed.headers.iter() {
        head.read_header(header)?;
        // The length that a body would have is part of the response to HEAD.
        let describes_body = has_no_body && header.name.eq_ignore_ascii_case("content-length");
        if framing.is_end_to_end(header.name) || (describes_body && status >= 200) {
            append_header(&mut head.forwarded_headers, header.name, header.value);
        }
    }
    Ok(Some(ParsedHead { head, length }))
}

/// How the end of a response's body is found (RFC 9112, section 6.3).
fn body_framing(framing: &FramingHeaders, has_no_body: bool) -> BodyFraming {
    match framing.content_length {
        _ if has_no_body => BodyFraming::Length(0),
        Some(length) => BodyFraming::Length(length),
        None if framing.chunked => BodyFraming::Chunked,
        None => BodyFraming::UntilClose,
    }
}
