//! Parses the heads of client requests.
use super::headers::{FramingHeaders, MAX_HEADERS, append_header, header_text};
use super::{BodyFraming, ParsedHead};
use crate::base::errors::Refusal;

/// The head of a client request: its request line and headers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RequestHead {
    /// The method, as received.
    pub method: String,
    /// The path and query, as received.
    pub target: String,
    /// The host of the `Host` header, in lower case and without a port.
    pub host: String,
    /// The value of `Request-Id`, which the response must repeat.
    pub request_id: Option<String>,
    /// The value of `Deadline-Ms`: how long the client waits for a response, in milliseconds.
    pub deadline_ms: Option<u64>,
    /// The framing of the body.
    pub framing: BodyFraming,
    /// Whether the client closes the connection after this request, or does not support persistent
    /// connections.
    pub close: bool,
    /// Whether the client uses HTTP/1.1 and so accepts a chunked body.
    pub accepts_chunked: bool,
    /// Whether the client waits for `100 Continue` before it sends the body.
    pub expects_continue: bool,
    /// The headers that are forwarded, as lines that end in CR LF.
    pub forwarded_headers: Vec<u8>,
    /// `Authorization` and `Tenant-Id`, as such lines. They are forwarded only if the configuration
    /// has no tenants; otherwise the gateway sets the tenant itself.
    pub identity_headers: Vec<u8>,
    /// The keys in `Authorization` headers; with more than one, it is not clear who the client is.
    pub api_keys: Vec<String>,
}

/// The scheme of an `Authorization` header with a key.
const KEY_SCHEME: &str = "Token";

impl RequestHead {
    /// The target without its query.
    pub fn path(&self) -> &str {
        self.target.split('?').next().unwrap_or_default()
    }

    /// The client's key, if it sent exactly one.
    pub fn api_key(&self) -> Option<&str> {
        match self.api_keys.as_slice() {
            [key] => Some(key),
            _ => None,
        }
    }

    /// Reads a header that says who the client is. Returns false for other headers.
    fn read_identity(&mut self, header: &httparse::Header<'_>) -> bool {
        let is_authorization = header.name.eq_ignore_ascii_case("authorization");
        if !is_authorization && !header.name.eq_ignore_ascii_case("tenant-id") {
            return false;
        }
        append_header(&mut self.identity_headers, header.name, header.value);
        let text = header_text(header).unwrap_or_default();
        if is_authorization
            && let Some((scheme, key)) = text.split_once(' ')
            && scheme.eq_ignore_ascii_case(KEY_SCHEME)
        {
            self.api_keys.push(key.trim().to_owned());
        }
        true
    }

    /// Applies one header, and adds it to the forwarded headers if it is end-to-end. `host` holds
    /// the value of `Host` until all headers are read.
    fn read_header(
        &mut self,
        header: &httparse::Header<'_>,
        framing: &FramingHeaders,
        host: &mut Option<String>,
    ) -> Result<(), Refusal> {
        let text = || header_text(header).map_err(|_| Refusal::Malformed);
        let reject_repeated =
            |is_repeated| if is_repeated { Err(Refusal::Malformed) } else { Ok(()) };
        if header.name.eq_ignore_ascii_case("host") {
            let name = text()?;
            if name.is_empty() || name.contains(|c: char| c.is_whitespace() || c == ',') {
                return Err(Refusal::Malformed);
            }
            reject_repeated(host.replace(name.to_ascii_lowercase()).is_some())?;
        } else if header.name.eq_ignore_ascii_case("request-id") {
            reject_repeated(self.request_id.replace(text()?.to_owned()).is_some())?;
        } else if header.name.eq_ignore_ascii_case("deadline-ms") {
            let ms = text()?.parse().map_err(|_| Refusal::Malformed)?;
            return reject_repeated(self.deadline_ms.replace(ms).is_some());
        } else if header.name.eq_ignore_ascii_case("target-instance") {
            // Not forwarded: like the deadline, it is set for each endpoint.
            return Ok(());
        } else if header.name.eq_ignore_ascii_case("expect") {
            if !text()?.eq_ignore_ascii_case("100-continue") {
                return Err(Refusal::Malformed);
            }
            self.expects_continue = self.accepts_chunked;
        }
        if framing.is_end_to_end(header.name) && !self.read_identity(header) {
            append_header(&mut self.forwarded_headers, header.name, header.value);
        }
        Ok(())
    }
}

/// Parses the head of a request at the start of `bytes`. Returns `None` if more bytes are needed,
/// and refuses a head that is longer than `max_length` bytes.
pub fn parse_request_head(
    bytes: &[u8],
    max_length: usize,
) -> Result<Option<ParsedHead<RequestHead>>, Refusal> {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut parsed = httparse::Request::new(&mut headers);
    let status = parsed.parse(bytes);
    let Some(length) = head_length(status, bytes, max_length)? else { return Ok(None) };
    let framing = FramingHeaders::parse(parsed.headers).map_err(|_| Refusal::Malformed)?;
    let mut head = head_from_request_line(&parsed, &framing, length)?;
    let mut host = None;
    for header in parsed.headers.iter() {
        head.read_header(header, &framing, &mut host)?;
    }
    head.host = without_port(host.ok_or(Refusal::Malformed)?);
    Ok(Some(ParsedHead { head, length }))
}

/// Returns the length of a complete head, or `None` if more bytes are needed.
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

/// Whether a line of the head ends in LF without CR, at which another parser may not end the line.
fn has_bare_lf(head: &[u8]) -> bool {
    head.iter()
        .enumerate()
        .any(|(index, byte)| *byte == b'\n' && (index == 0 || head[index - 1] != b'\r'))
}

/// Creates a head from the request line and the framing headers; the other fields are still empty.
fn head_from_request_line(
    parsed: &httparse::Request<'_, '_>,
    framing: &FramingHeaders,
    length: usize,
) -> Result<RequestHead, Refusal> {
    let method = parsed.method.ok_or(Refusal::Malformed)?;
    let target = parsed.path.ok_or(Refusal::Malformed)?;
    // Routes match by path, so targets in absolute or asterisk form are refused.
    if !target.starts_with('/') || target.contains('#') {
        return Err(Refusal::Malformed);
    }
    let is_http_1_1 = parsed.version == Some(1);
    Ok(RequestHead {
        method: method.to_owned(),
        target: target.to_owned(),
        host: String::new(),
        request_id: None,
        deadline_ms: None,
        framing: match framing.content_length {
            _ if framing.chunked => BodyFraming::Chunked,
            length => BodyFraming::Length(length.unwrap_or(0)),
        },
        close: framing.close || (!is_http_1_1 && !framing.keep_alive),
        accepts_chunked: is_http_1_1,
        expects_continue: false,
        forwarded_headers: Vec::with_capacity(length),
        identity_headers: Vec::new(),
        api_keys: Vec::new(),
    })
}

/// Returns the host without its port. An IPv6 address in brackets contains colons itself.
fn without_port(host: String) -> String {
    match host.rsplit_once(':') {
        Some((name, port)) if port.bytes().all(|b| b.is_ascii_digit()) => name.to_owned(),
        _ => host,
    }
}
