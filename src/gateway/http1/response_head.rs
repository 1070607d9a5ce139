//! Parses the heads of endpoint responses.
use super::headers::{FramingHeaders, MAX_HEADERS, append_header, header_text};
use super::{BodyFraming, ParseError, ParsedHead};

/// The largest head of a response, in bytes. It is far larger than what endpoints send, so that
/// only a faulty response exceeds it.
const MAX_RESPONSE_HEAD_BYTES: usize = 64 << 10;

/// The head of an endpoint's response: its status line and headers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ResponseHead {
    /// The status code.
    pub status: u16,
    /// The reason phrase, as received.
    pub reason: String,
    /// The value of `Request-Id`: the request to which the response belongs.
    pub request_id: Option<String>,
    /// Whether there is a `Response-Signature`, which every successful response must have.
    pub signed: bool,
    /// Whether there is a `Not-Executed`: the endpoint states that it did not execute the request.
    pub not_executed: bool,
    /// The framing of the body.
    pub framing: BodyFraming,
    /// Whether the endpoint closes the connection after this response.
    pub close: bool,
    /// The timeout in `Keep-Alive`: how many seconds the endpoint keeps an idle connection open.
    pub keep_alive_s: Option<u64>,
    /// The headers that are forwarded, as lines that end in CR LF.
    pub forwarded_headers: Vec<u8>,
}

impl ResponseHead {
    /// Applies one header.
    fn read_header(&mut self, header: &httparse::Header<'_>) -> Result<(), ParseError> {
        let text = || header_text(header).unwrap_or_default();
        if header.name.eq_ignore_ascii_case("request-id") {
            let id = text().to_owned();
            if self.request_id.replace(id.clone()).is_some_and(|before| before != id) {
                return Err(ParseError);
            }
        } else if header.name.eq_ignore_ascii_case("response-signature") {
            self.signed = !text().is_empty();
        } else if header.name.eq_ignore_ascii_case("not-executed") {
            self.not_executed = true;
        } else if header.name.eq_ignore_ascii_case("keep-alive") {
            let timeout =
                text().split(',').find_map(|option| option.trim().strip_prefix("timeout="));
            self.keep_alive_s = timeout.and_then(|seconds| seconds.trim().parse().ok());
        }
        Ok(())
    }
}

/// Parses the head of a response at the start of `bytes`. `method` is the method of the request.
/// Returns `None` if more bytes are needed.
pub fn parse_response_head(
    bytes: &[u8],
    method: &str,
) -> Result<Option<ParsedHead<ResponseHead>>, ParseError> {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut parsed = httparse::Response::new(&mut headers);
    let length = match parsed.parse(bytes) {
        Ok(httparse::Status::Complete(length)) => length,
        Ok(httparse::Status::Partial) if bytes.len() <= MAX_RESPONSE_HEAD_BYTES => return Ok(None),
        _ => return Err(ParseError),
    };
    let status = parsed.code.ok_or(ParseError)?;
    let framing = FramingHeaders::parse(parsed.headers)?;
    let has_no_body = method == "HEAD" || status < 200 || status == 204 || status == 304;
    let mut head = ResponseHead {
        status,
        reason: parsed.reason.unwrap_or_default().to_owned(),
        request_id: None,
        signed: false,
        not_executed: false,
        framing: body_framing(&framing, has_no_body),
        close: framing.close || (parsed.version == Some(0) && !framing.keep_alive),
        keep_alive_s: None,
        forwarded_headers: Vec::with_capacity(length),
    };
    for header in parsed.headers.iter() {
        head.read_header(header)?;
        // A response to HEAD states the length of the body that a GET would return.
        let describes_body = has_no_body && header.name.eq_ignore_ascii_case("content-length");
        if framing.is_end_to_end(header.name) || (describes_body && status >= 200) {
            append_header(&mut head.forwarded_headers, header.name, header.value);
        }
    }
    Ok(Some(ParsedHead { head, length }))
}

/// The framing of a response body (RFC 9112, section 6.3).
fn body_framing(framing: &FramingHeaders, has_no_body: bool) -> BodyFraming {
    match framing.content_length {
        _ if has_no_body => BodyFraming::Length(0),
        Some(length) => BodyFraming::Length(length),
        None if framing.chunked => BodyFraming::Chunked,
        None => BodyFraming::UntilClose,
    }
}
