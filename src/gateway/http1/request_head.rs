//! The heads of clients' requests.
use super::headers::{FramingHeaders, MAX_HEADERS, append_header, header_text};
use super::{BodyFraming, ParsedHead};
use crate::base::errors::Refusal;

/// The head of a client's request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RequestHead {
    /// The method, as it came.
    pub method: String,
    /// Path and query, as they came.
    pub target: String,
    /// The host of the `Host` header, in lower case and without a port.
    pub host: String,
    /// `Request-Id`; the response has to repeat it.
    pub id: Option<String>,
    /// `Deadline-Ms`: for how long the client waits for a response, in milliseconds.
    pub deadline_ms: Option<u64>,
    /// How the end of the body is found.
    pub framing: BodyFraming,
    /// The client closes its connection after this request, or does not support persistent ones.
    pub close: bool,
    /// The client speaks HTTP/1.1 and so accepts a chunked body.
    pub accepts_chunked: bool,
    /// The client waits for `100 Continue` before it sends the body.
    pub expects_continue: bool,
    /// The headers that are forwarded, as lines that end in CR LF.
    pub forwarded_headers: Vec<u8>,
}

impl RequestHead {
    /// The target without its query.
    pub fn path(&self) -> &str {
        self.target.split('?').next().unwrap_or_default()
    }

    /// Takes over what one header says, and forwards the header if it is end to end. `host` holds
    /// the value of `Host` until all headers are read.
    fn read_header(
        &mut self,
        header: &httparse::Header<'_>,
        framing: &FramingHeaders,
        host: &mut Option<String>,
    ) -> Result<(), Refusal> {
        let text = || header_text(header).map_err(|_| Refusal::Malformed);
        let single = |is_repeated| if is_repeated { Err(Refusal::Malformed) } else { Ok(()) };
        if header.name.eq_ignore_ascii_case("host") {
            let name = text()?;
            if name.is_empty() || name.contains(|c: char| c.is_whitespace() || c == ',') {
                return Err(Refusal::Malformed);
            }
            single(host.replace(name.to_ascii_lowercase()).is_some())?;
        } else if header.name.eq_ignore_ascii_case("request-id") {
            single(self.id.replace(text()?.to_owned()).is_some())?;
        } else if header.name.eq_ignore_ascii_case("deadline-ms") {
            let ms = text()?.parse().map_err(|_| Refusal::Malformed)?;
            return single(self.deadline_ms.replace(ms).is_some());
        } else if header.name.eq_ignore_ascii_case("target-instance") {
            // Like the deadline, written anew for each database.
            return Ok(());
        } else if header.name.eq_ignore_ascii_case("expect") {
            if !text()?.eq_ignore_ascii_case("100-continue") {
                return Err(Refusal::Malformed);
            }
            self.expects_continue = self.accepts_chunked;
        }
        if framing.is_end_to_end(header.name) {
            append_header(&mut self.forwarded_headers, header.name, header.value);
        }
        Ok(())
    }
}

/// Parses the head of a request at the start of `bytes`; `None` asks for more bytes. A head longer
/// than `max_length` bytes is refused.
pub fn parse_request_head(
    bytes: &[u8],
    max_length: usize,
) -> Result<Option<ParsedHead<RequestHead>>, Refusal> {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut parsed = httparse::Request::new(&mut headers);
    let status = parsed.parse(bytes);
    let Some(length) = head_length(status, bytes, max_length)? else { return Ok(None) };
    let framing = FramingHeaders::parse(parsed.headers).map_err(|_| Refusal::Malformed)?;
    let mut head = request_line(&parsed, &framing, length)?;
    let mut host = None;
    for header in parsed.headers.iter() {
        head.read_header(header, &framing, &mut host)?;
    }
    head.host = without_port(host.ok_or(Refusal::Malformed)?);
    Ok(Some(ParsedHead { head, length }))
}

/// The length of a complete head; `None` asks for more bytes.
fn head_length(
    status: Result<httparse::Status<usize>, httparse::Error>,
    bytes: &[u8],
    max_length: usize,
) -> Result<Option<usize>, Refusal> {
    match status {
        Ok(httparse::Status::Complete(length)) if length > max_length => Err(Refusal::HeadTooLarge),
        Ok(httparse::Status::Complete(length)) if has_bare_lf(&bytes[..length]) => {
            Err(Refusal::Malformed)
        }
        Ok(httparse::Status::Complete(length)) => Ok(Some(length)),
        Ok(httparse::Status::Partial) if bytes.len() > max_length => Err(Refusal::HeadTooLarge),
        Ok(httparse::Status::Partial) if has_bare_lf(bytes) => Err(Refusal::Malformed),
        Ok(httparse::Status::Partial) => Ok(None),
        Err(httparse::Error::TooManyHeaders) => Err(Refusal::HeadTooLarge),
        Err(_) => Err(Refusal::Malformed),
    }
}

/// A line that ends in LF alone may end elsewhere for another reader.
fn has_bare_lf(head: &[u8]) -> bool {
    head.iter().enumerate().any(|(at, b)| *b == b'\n' && (at == 0 || head[at - 1] != b'\r'))
}

/// The head as far as the request line and the framing decide it.
fn request_line(
    parsed: &httparse::Request<'_, '_>,
    framing: &FramingHeaders,
    length: usize,
) -> Result<RequestHead, Refusal> {
    let method = parsed.method.ok_or(Refusal::Malformed)?;
    let target = parsed.path.ok_or(Refusal::Malformed)?;
    // Routes are chosen by path; the absolute and the asterisk form have none of their own.
    if !target.starts_with('/') || target.contains('#') {
        return Err(Refusal::Malformed);
    }
    let is_http_1_1 = parsed.version == Some(1);
    Ok(RequestHead {
        method: method.to_owned(),
        target: target.to_owned(),
        host: String::new(),
        id: None,
        deadline_ms: None,
        framing: match framing.content_length {
            _ if framing.chunked => BodyFraming::Chunked,
            length => BodyFraming::Length(length.unwrap_or(0)),
        },
        close: framing.close || (!is_http_1_1 && !framing.keep_alive),
        accepts_chunked: is_http_1_1,
        expects_continue: false,
        forwarded_headers: Vec::with_capacity(length),
    })
}

/// The host without its port. An IPv6 address in brackets has colons of its own.
fn without_port(host: String) -> String {
    match host.rsplit_once(':') {
        Some((name, port)) if port.bytes().all(|b| b.is_ascii_digit()) => name.to_owned(),
        _ => host,
    }
}
