//! HTTP/1.1 heads and bodies, read strictly.
use crate::base::errors::Refusal;

/// What came is no answer of HTTP, or could be read in two ways.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ParseError;

/// How long a body is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BodyFraming {
    Length(u64),
    Chunked,
    /// To the end of the connection; only an answer may be so.
    UntilClose,
}

/// The head of a client's request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RequestHead {
    pub method: String,
    /// Path and query, as they came.
    pub target: String,
    /// In lower case and without a port.
    pub host: String,
    pub id: Option<String>,
    pub deadline_ms: Option<u64>,
    pub framing: BodyFraming,
    /// The client closes its connection after this one, or knows no kept ones.
    pub close: bool,
    /// It understands chunks.
    pub modern: bool,
    /// It waits to be told to send the body.
    pub expects: bool,
    /// The headers that are passed on, as lines.
    pub passed: Vec<u8>,
}

impl RequestHead {
    pub fn path(&self) -> &str {
        self.target.split('?').next().unwrap_or_default()
    }
}

/// The head of a database's answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ResponseHead {
    pub status: u16,
    pub reason: String,
    pub id: Option<String>,
    pub stamped: bool,
    /// The database says that it did not run the request.
    pub not_executed: bool,
    pub framing: BodyFraming,
    pub close: bool,
    /// For how long the connection is kept, where the database says so.
    pub keep_s: Option<u64>,
    pub passed: Vec<u8>,
}

const MAX_HEADERS: usize = 100;

/// The largest head of an answer.
const MAX_ANSWER_HEAD: usize = 64 << 10;

/// Headers that concern one connection only, and those that are written anew for each.
fn hop_by_hop(name: &str) -> bool {
    const NAMES: [&str; 11] = [
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
    NAMES.iter().any(|n| name.eq_ignore_ascii_case(n))
}

/// What headers of either direction say of the message itself.
#[derive(Default)]
struct Common {
    length: Option<u64>,
    chunked: bool,
    close: bool,
    keep: bool,
    /// What `Connection` names goes no further.
    named: Vec<String>,
}

impl Common {
    /// Nothing but one length, or chunks and no length, says how long a body is.
    fn read(headers: &[httparse::Header<'_>]) -> Result<Self, ParseError> {
        let mut common = Self::default();
        for header in headers {
            let text = || std::str::from_utf8(header.value).map(str::trim).map_err(|_| ParseError);
            if header.name.eq_ignore_ascii_case("content-length") {
                let text = text()?;
                let digits = !text.is_empty() && text.bytes().all(|b| b.is_ascii_digit());
                let length = text.parse().ok().filter(|_| digits).ok_or(ParseError)?;
                if common.length.is_some_and(|l| l != length) {
                    return Err(ParseError);
                }
                common.length = Some(length);
            } else if header.name.eq_ignore_ascii_case("transfer-encoding") {
                if common.chunked || !text()?.eq_ignore_ascii_case("chunked") {
                    return Err(ParseError);
                }
                common.chunked = true;
            } else if header.name.eq_ignore_ascii_case("connection") {
                for word in text()?.split(',').map(str::trim) {
                    common.close |= word.eq_ignore_ascii_case("close");
                    common.keep |= word.eq_ignore_ascii_case("keep-alive");
                    common.named.push(word.to_owned());
                }
            }
        }
        if common.chunked && common.length.is_some() {
            return Err(ParseError);
        }
        Ok(common)
    }
    fn passes(&self, name: &str) -> bool {
        !hop_by_hop(name) && !self.named.iter().any(|n| n.eq_ignore_ascii_case(name))
    }
}

pub(crate) fn add_line(to: &mut Vec<u8>, name: &str, value: &[u8]) {
    to.extend_from_slice(name.as_bytes());
    to.extend_from_slice(b": ");
    to.extend_from_slice(value);
    to.extend_from_slice(b"\r\n");
}

/// A line that ends in LF alone may end elsewhere for another reader.
fn bare_lf(head: &[u8]) -> bool {
    head.iter().enumerate().any(|(at, b)| *b == b'\n' && (at == 0 || head[at - 1] != b'\r'))
}

/// Reads the head of a request; `None` asks for more bytes. Tells how many bytes it has.
pub fn read_request(bytes: &[u8], most: usize) -> Result<Option<(RequestHead, usize)>, Refusal> {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut parsed = httparse::Request::new(&mut headers);
    let size = match parsed.parse(bytes) {
        Ok(httparse::Status::Complete(size)) if size > most => return Err(Refusal::HeadTooLarge),
        Ok(httparse::Status::Complete(size)) => size,
        Ok(httparse::Status::Partial) if bytes.len() > most => return Err(Refusal::HeadTooLarge),
        Ok(httparse::Status::Partial) if bare_lf(bytes) => return Err(Refusal::Unreadable),
        Ok(httparse::Status::Partial) => return Ok(None),
        Err(httparse::Error::TooManyHeaders) => return Err(Refusal::HeadTooLarge),
        Err(_) => return Err(Refusal::Unreadable),
    };
    let bad = Refusal::Unreadable;
    if bare_lf(&bytes[..size]) {
        return Err(bad);
    }
    let (method, target) = (parsed.method.ok_or(bad)?, parsed.path.ok_or(bad)?);
    let modern = parsed.version == Some(1);
    // Only a path says which route is meant.
    if !target.starts_with('/') || target.contains('#') {
        return Err(bad);
    }
    let common = Common::read(parsed.headers).map_err(|_| bad)?;
    let mut asked = RequestHead {
        method: method.to_owned(),
        target: target.to_owned(),
        host: String::new(),
        id: None,
        deadline_ms: None,
        framing: match common.length {
            _ if common.chunked => BodyFraming::Chunked,
            length => BodyFraming::Length(length.unwrap_or(0)),
        },
        close: common.close || (!modern && !common.keep),
        modern,
        expects: false,
        passed: Vec::with_capacity(size),
    };
    let mut host = None;
    for header in parsed.headers.iter() {
        let text = || std::str::from_utf8(header.value).map(str::trim).map_err(|_| bad);
        if header.name.eq_ignore_ascii_case("host") {
            let name = text()?;
            if name.is_empty() || name.contains(|c: char| c.is_whitespace() || c == ',') {
                return Err(bad);
            }
            if host.replace(name.to_ascii_lowercase()).is_some() {
                return Err(bad);
            }
        } else if header.name.eq_ignore_ascii_case("request-id") {
            if asked.id.replace(text()?.to_owned()).is_some() {
                return Err(bad);
            }
        } else if header.name.eq_ignore_ascii_case("deadline-ms") {
            let ms = text()?.parse().map_err(|_| bad)?;
            if asked.deadline_ms.replace(ms).is_some() {
                return Err(bad);
            }
            // What is left is written anew for each database.
            continue;
        } else if header.name.eq_ignore_ascii_case("target-instance") {
            continue;
        } else if header.name.eq_ignore_ascii_case("expect") {
            if !text()?.eq_ignore_ascii_case("100-continue") {
                return Err(bad);
            }
            asked.expects = modern;
        }
        if common.passes(header.name) {
            add_line(&mut asked.passed, header.name, header.value);
        }
    }
    let host = host.ok_or(bad)?;
    // An address in brackets has colons of its own.
    asked.host = match host.rsplit_once(':') {
        Some((name, port)) if port.bytes().all(|b| b.is_ascii_digit()) => name.to_owned(),
        _ => host,
    };
    Ok(Some((asked, size)))
}

/// Reads the head of an answer to a request with `method`.
pub fn read_answer(
    bytes: &[u8],
    method: &str,
) -> Result<Option<(ResponseHead, usize)>, ParseError> {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut parsed = httparse::Response::new(&mut headers);
    let size = match parsed.parse(bytes) {
        Ok(httparse::Status::Complete(size)) => size,
        Ok(httparse::Status::Partial) if bytes.len() <= MAX_ANSWER_HEAD => return Ok(None),
        _ => return Err(ParseError),
    };
    let status = parsed.code.ok_or(ParseError)?;
    let common = Common::read(parsed.headers)?;
    let bodiless = method == "HEAD" || status < 200 || status == 204 || status == 304;
    let mut answered = ResponseHead {
        status,
        reason: parsed.reason.unwrap_or_default().to_owned(),
        id: None,
        stamped: false,
        not_executed: false,
        framing: match common.length {
            _ if bodiless => BodyFraming::Length(0),
            Some(length) => BodyFraming::Length(length),
            None if common.chunked => BodyFraming::Chunked,
            None => BodyFraming::UntilClose,
        },
        close: common.close || (parsed.version == Some(0) && !common.keep),
        keep_s: None,
        passed: Vec::with_capacity(size),
    };
    for header in parsed.headers.iter() {
        let text = || std::str::from_utf8(header.value).map(str::trim).unwrap_or_default();
        if header.name.eq_ignore_ascii_case("request-id") {
            let id = text().to_owned();
            if answered.id.replace(id.clone()).is_some_and(|before| before != id) {
                return Err(ParseError);
            }
        } else if header.name.eq_ignore_ascii_case("response-signature") {
            answered.stamped = !text().is_empty();
        } else if header.name.eq_ignore_ascii_case("not-executed") {
            answered.not_executed = true;
        } else if header.name.eq_ignore_ascii_case("keep-alive") {
            let timeout = text().split(',').find_map(|p| p.trim().strip_prefix("timeout="));
            answered.keep_s = timeout.and_then(|t| t.trim().parse().ok());
        }
        // What the length of a body would be is the answer to HEAD.
        let told = bodiless && header.name.eq_ignore_ascii_case("content-length");
        if common.passes(header.name) || (told && status >= 200) {
            add_line(&mut answered.passed, header.name, header.value);
        }
    }
    Ok(Some((answered, size)))
}

/// Takes a body out of the bytes of a connection.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct BodyDecoder {
    stage: Stage,
    /// Bytes of the trailer so far.
    trailer: usize,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Stage {
    Left(u64),
    ChunkHead,
    Chunk(u64),
    ChunkEnd,
    Trailer,
    UntilClose,
    Done,
}

/// The largest trailer, and the longest line before a chunk.
const MAX_TRAILER: usize = 8 << 10;

const MAX_CHUNK_HEAD: usize = 256;

impl BodyDecoder {
    pub fn new(framing: BodyFraming) -> Self {
        let stage = match framing {
            BodyFraming::Length(0) => Stage::Done,
            BodyFraming::Length(n) => Stage::Left(n),
            BodyFraming::Chunked => Stage::ChunkHead,
            BodyFraming::UntilClose => Stage::UntilClose,
        };
        Self { stage, trailer: 0 }
    }
    pub fn done(&self) -> bool {
        self.stage == Stage::Done
    }
    /// The far end closed in order: whether the body is whole by that.
    pub fn closed(&mut self) -> bool {
        if self.stage == Stage::UntilClose {
            self.stage = Stage::Done;
        }
        self.done()
    }
    /// Appends what belongs to the body to `into`; tells how many bytes were used up.
    pub fn take(&mut self, from: &[u8], into: &mut Vec<u8>) -> Result<usize, ParseError> {
        let mut at = 0;
        loop {
            let rest = &from[at..];
            match self.stage {
                Stage::Done => return Ok(at),
                Stage::UntilClose => {
                    into.extend_from_slice(rest);
                    return Ok(from.len());
                }
                Stage::Left(left) | Stage::Chunk(left) => {
                    let chunk = matches!(self.stage, Stage::Chunk(_));
                    let taken = rest.len().min(usize::try_from(left).unwrap_or(usize::MAX));
                    into.extend_from_slice(&rest[..taken]);
                    at += taken;
                    let left = left - taken as u64;
                    self.stage = match (chunk, left) {
                        (false, 0) => Stage::Done,
                        (true, 0) => Stage::ChunkEnd,
                        (false, n) => Stage::Left(n),
                        (true, n) => Stage::Chunk(n),
                    };
                    if left > 0 {
                        return Ok(at);
                    }
                }
                Stage::ChunkHead => match httparse::parse_chunk_size(rest) {
                    Ok(httparse::Status::Complete((used, size))) => {
                        at += used;
                        self.stage = if size == 0 { Stage::Trailer } else { Stage::Chunk(size) };
                    }
                    Ok(httparse::Status::Partial) if rest.len() <= MAX_CHUNK_HEAD => return Ok(at),
                    _ => return Err(ParseError),
                },
                Stage::ChunkEnd => match rest {
                    [b'\r', b'\n', ..] => {
                        at += 2;
                        self.stage = Stage::ChunkHead;
                    }
                    [] | [b'\r'] => return Ok(at),
                    _ => return Err(ParseError),
                },
                Stage::Trailer => {
                    let Some(end) = rest.iter().position(|b| *b == b'\n') else {
                        let long = self.trailer + rest.len() > MAX_TRAILER;
                        return if long { Err(ParseError) } else { Ok(at) };
                    };
                    let line = rest[..end].strip_suffix(b"\r").ok_or(ParseError)?;
                    self.trailer += end;
                    if self.trailer > MAX_TRAILER {
                        return Err(ParseError);
                    }
                    at += end + 1;
                    if line.is_empty() {
                        self.stage = Stage::Done;
                    }
                }
            }
        }
    }
}

pub(crate) fn as_chunk(piece: &[u8]) -> Vec<u8> {
    let mut out = format!("{:x}\r\n", piece.len()).into_bytes();
    out.extend_from_slice(piece);
    out.extend_from_slice(b"\r\n");
    out
}
