//! A small HTTP/1.1 server and client for the admin and readiness addresses.
//!
//! Controllers serve the admin address with [`serve`], and nodes serve the readiness address with
//! [`serve_readiness`]. [`call`] is the client: the command line, the controllers (for calls to the
//! platform) and tests use it. Bodies are JSON and have a `Content-Length`; transfer encodings are
//! not supported. Requests that clients send to services are handled by the gateway's own HTTP
//! parser.
use crate::base::errors::Fatal;
use crate::base::worker_pool::start_thread;
use crate::net::sockets::{configure_stream, connect_stream, listen, read_uninterrupted};
use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

/// The maximum size of the head of a request or response.
const MAX_HEAD_BYTES: usize = 16 << 10;

/// The maximum number of headers of a request or response.
const MAX_HEADERS: usize = 48;

/// The maximum size of the body of a request. Larger than any configuration that is accepted, so
/// that the response to a configuration above its limit can give the reason.
pub const MAX_BODY_BYTES: usize = 1 << 20;

/// How long a connection may receive no data, between requests or within one.
const IDLE_TIMEOUT: Duration = Duration::from_secs(15);

/// How long writing a response may block, and how long sent data may be unacknowledged.
const WRITE_TIMEOUT: Duration = Duration::from_secs(5);

/// The pause after a failed accept, which is usually due to a lack of file descriptors.
const ACCEPT_ERROR_PAUSE: Duration = Duration::from_millis(50);

/// The maximum number of concurrent connections to a readiness address.
const MAX_READINESS_CONNECTIONS: usize = 64;

/// The size of the chunk passed to each read call.
const READ_BYTES: usize = 4096;

/// The maximum number of reads, of [`READ_BYTES`] each, after a request was rejected. Closing a
/// connection with unread data resets it, and the response might not reach the client.
const MAX_DISCARD_READS: usize = 512;

/// The timeout of each read that discards data.
const DISCARD_TIMEOUT: Duration = Duration::from_millis(200);

/// An HTTP request as received by [`serve`].
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Request {
    /// The method as received.
    pub method: String,
    /// The path, including the query.
    pub path: String,
    /// The `If-Match` header without its quotes.
    pub if_match: Option<String>,
    /// The body; empty if there is none.
    pub body: Vec<u8>,
}

/// An HTTP response.
#[derive(Clone, Debug, PartialEq)]
pub struct Response {
    /// The status code.
    pub status: u16,
    /// The value of the `Location` header.
    pub location: Option<String>,
    /// The body.
    pub body: Vec<u8>,
}

impl Response {
    /// A response with a JSON body.
    pub fn json(status: u16, body: Vec<u8>) -> Self {
        Self { status, location: None, body }
    }

    /// A success response without content: status 200 with an empty JSON object.
    pub fn ok() -> Self {
        Self::json(200, b"{}".to_vec())
    }

    /// An error response with a message, in the format of all errors of the admin address.
    pub fn error(status: u16, message: &str) -> Self {
        Self::json(status, serde_json::json!({ "message": message }).to_string().into_bytes())
    }

    /// A redirect that makes the client repeat the same request at another address.
    pub fn redirect(location: String) -> Self {
        Self { status: 307, location: Some(location), body: b"{}".to_vec() }
    }
}

fn reason_phrase(status: u16) -> &'static str {
    match status {
        200 => "OK",
        307 => "Temporary Redirect",
        400 => "Bad Request",
        404 => "Not Found",
        405 => "Method Not Allowed",
        409 => "Conflict",
        411 => "Length Required",
        412 => "Precondition Failed",
        413 => "Content Too Large",
        431 => "Request Header Fields Too Large",
        503 => "Service Unavailable",
        _ => "Answer",
    }
}

/// Serves connections, each on its own thread. At most `max_connections` are served at once;
/// further ones are closed. Returns as soon as the accepting thread, named `name`, has started.
///
/// # Errors
/// If the accepting thread can't be started.
pub fn serve<F>(
    listener: TcpListener,
    name: &'static str,
    max_connections: usize,
    handle: F,
) -> io::Result<()>
where
    F: Fn(Request) -> Response + Send + Sync + 'static,
{
    let handle = Arc::new(handle);
    let open = Arc::new(AtomicUsize::new(0));
    std::thread::Builder::new().name(name.to_owned()).spawn(move || {
        for stream in listener.incoming() {
            let Ok(stream) = stream else {
                std::thread::sleep(ACCEPT_ERROR_PAUSE);
                continue;
            };
            if open.fetch_add(1, Ordering::Relaxed) >= max_connections {
                open.fetch_sub(1, Ordering::Relaxed);
                continue;
            }
            let (handle, open_here) = (Arc::clone(&handle), Arc::clone(&open));
            let started = start_thread(move || {
                // Clients may close a connection at any time, so its errors are not reported.
                let _ = serve_connection(stream, &*handle);
                open_here.fetch_sub(1, Ordering::Relaxed);
            });
            if !started {
                open.fetch_sub(1, Ordering::Relaxed);
            }
        }
    })?;
    Ok(())
}

/// Serves the readiness address of a node: whether it accepts new clients, and its status.
///
/// # Errors
/// [`Fatal::Listen`] if the address can't be served.
pub fn serve_readiness<R, S>(at: SocketAddr, ready: R, status: S) -> Result<(), Fatal>
where
    R: Fn() -> bool + Send + Sync + 'static,
    S: Fn() -> serde_json::Value + Send + Sync + 'static,
{
    let handle = move |request: Request| match (request.method.as_str(), request.path.as_str()) {
        ("GET", "/readiness") if ready() => Response::ok(),
        ("GET", "/readiness") => Response::error(503, "not ready"),
        ("GET", "/status") => Response::json(200, status().to_string().into_bytes()),
        (_, "/readiness" | "/status") => Response::error(405, "not with this method"),
        _ => Response::error(404, "no such path"),
    };
    serve(listen(at)?, "readiness", MAX_READINESS_CONNECTIONS, handle)
        .map_err(|e| Fatal::Listen(at.to_string(), e))
}

fn serve_connection(mut stream: TcpStream, handle: &dyn Fn(Request) -> Response) -> io::Result<()> {
    configure_stream(&stream, WRITE_TIMEOUT)?;
    stream.set_read_timeout(Some(IDLE_TIMEOUT))?;
    stream.set_write_timeout(Some(WRITE_TIMEOUT))?;
    let mut bytes = Vec::new();
    loop {
        match read_request(&mut stream, &mut bytes)? {
            ReadOutcome::Closed => return Ok(()),
            ReadOutcome::Rejected(rejection) => {
                write_response(&mut stream, &rejection, true)?;
                return discard_input(&mut stream);
            }
            ReadOutcome::Request { request, close } => {
                write_response(&mut stream, &handle(request), close)?;
                if close {
                    return Ok(());
                }
            }
        }
    }
}

/// Discards a limited amount of data in flight; see [`MAX_DISCARD_READS`].
fn discard_input(stream: &mut TcpStream) -> io::Result<()> {
    let mut discarded = [0; READ_BYTES];
    stream.set_read_timeout(Some(DISCARD_TIMEOUT))?;
    for _ in 0..MAX_DISCARD_READS {
        if stream.read(&mut discarded).unwrap_or(0) == 0 {
            break;
        }
    }
    Ok(())
}

/// The result of reading the next request of a connection.
enum ReadOutcome {
    Request {
        request: Request,
        /// Whether the connection is closed after the response.
        close: bool,
    },
    /// The peer closed the connection.
    Closed,
    /// The request can't be handled; contains the error response.
    Rejected(Response),
}

/// The head of a request.
struct Head {
    request: Request,
    close: bool,
    /// The size of the body that follows, in bytes.
    content_length: usize,
}

/// Why the head of a request was not accepted.
enum HeadError {
    /// The request can't be handled; contains the error response.
    Rejected(Response),
    /// The connection failed.
    Io(io::Error),
}

impl HeadError {
    fn rejected(status: u16, message: &str) -> Self {
        Self::Rejected(Response::error(status, message))
    }
}

/// Reads the next request; `bytes` holds received data that was not consumed yet.
fn read_request(stream: &mut TcpStream, bytes: &mut Vec<u8>) -> io::Result<ReadOutcome> {
    loop {
        let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
        let mut parsed = httparse::Request::new(&mut headers);
        match parsed.parse(bytes) {
            Ok(httparse::Status::Complete(head_length)) => {
                let head = match read_head(stream, &parsed) {
                    Ok(head) => head,
                    Err(HeadError::Rejected(rejection)) => {
                        return Ok(ReadOutcome::Rejected(rejection));
                    }
                    Err(HeadError::Io(e)) => return Err(e),
                };
                bytes.drain(..head_length);
                return read_body(stream, bytes, head);
            }
            Ok(httparse::Status::Partial) if bytes.len() > MAX_HEAD_BYTES => {
                let rejection = Response::error(431, "the head is too large");
                return Ok(ReadOutcome::Rejected(rejection));
            }
            Ok(httparse::Status::Partial) => {
                if read_more(stream, bytes)? == 0 {
                    return Ok(ReadOutcome::Closed);
                }
            }
            Err(_) => {
                let rejection = Response::error(400, "not an HTTP request");
                return Ok(ReadOutcome::Rejected(rejection));
            }
        }
    }
}

/// Evaluates the headers in order; answers an `Expect` header with `100 Continue` immediately.
fn read_head(
    stream: &mut TcpStream,
    parsed: &httparse::Request<'_, '_>,
) -> Result<Head, HeadError> {
    let mut request = Request {
        method: parsed.method.unwrap_or_default().to_owned(),
        path: parsed.path.unwrap_or_default().to_owned(),
        ..Request::default()
    };
    // HTTP/1.0 connections are not persistent by default.
    let mut close = parsed.version == Some(0);
    let mut content_length = 0;
    for header in parsed.headers.iter() {
        let value = String::from_utf8_lossy(header.value).trim().to_owned();
        if header.name.eq_ignore_ascii_case("content-length") {
            content_length =
                value.parse().map_err(|_| HeadError::rejected(400, "bad content-length"))?;
        } else if header.name.eq_ignore_ascii_case("transfer-encoding") {
            return Err(HeadError::rejected(411, "a length is needed"));
        } else if header.name.eq_ignore_ascii_case("connection") {
            close = value.eq_ignore_ascii_case("close");
        } else if header.name.eq_ignore_ascii_case("if-match") {
            request.if_match = Some(value.trim_matches('"').to_owned());
        } else if header.name.eq_ignore_ascii_case("expect") {
            stream.write_all(b"HTTP/1.1 100 Continue\r\n\r\n").map_err(HeadError::Io)?;
        }
    }
    if content_length > MAX_BODY_BYTES {
        return Err(HeadError::rejected(413, "the body is too large"));
    }
    Ok(Head { request, close, content_length })
}

fn read_body(stream: &mut TcpStream, bytes: &mut Vec<u8>, head: Head) -> io::Result<ReadOutcome> {
    while bytes.len() < head.content_length {
        if read_more(stream, bytes)? == 0 {
            return Ok(ReadOutcome::Closed);
        }
    }
    let body = bytes.drain(..head.content_length).collect();
    Ok(ReadOutcome::Request { request: Request { body, ..head.request }, close: head.close })
}

/// Reads once and appends the data; returns the number of bytes read, 0 at the end of the stream.
fn read_more(stream: &mut TcpStream, bytes: &mut Vec<u8>) -> io::Result<usize> {
    let mut chunk = [0; READ_BYTES];
    let count = read_uninterrupted(stream, &mut chunk)?;
    bytes.extend_from_slice(&chunk[..count]);
    Ok(count)
}

fn write_response(stream: &mut TcpStream, response: &Response, close: bool) -> io::Result<()> {
    let mut out = format!(
        "HTTP/1.1 {} {}\r\nContent-Type: application/json\r\nContent-Length: {}\r\n",
        response.status,
        reason_phrase(response.status),
        response.body.len()
    );
    if let Some(location) = &response.location {
        out.push_str(&format!("Location: {location}\r\n"));
    }
    if close {
        out.push_str("Connection: close\r\n");
    }
    out.push_str("\r\n");
    let mut out = out.into_bytes();
    out.extend_from_slice(&response.body);
    stream.write_all(&out)
}

/// Sends one request on a new connection and returns the response. `timeout` limits connecting,
/// each read, and how long sent data may be unacknowledged.
///
/// # Errors
/// The errors of the connection; `UnexpectedEof` if it ends within the response, and `InvalidData`
/// if the received data is not an HTTP response.
pub fn call(
    to: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, String)],
    body: &[u8],
    timeout: Duration,
) -> io::Result<Response> {
    let request = OutgoingRequest { method, path, headers, body };
    call_if(to, &request, timeout, || true).map_err(|error| match error {
        CallError::Io(error) => error,
        CallError::NotSent => io::ErrorKind::Interrupted.into(),
    })
}

/// A request sent by [`call_if`].
pub struct OutgoingRequest<'a> {
    /// The method.
    pub method: &'a str,
    /// The path.
    pub path: &'a str,
    /// Headers in addition to those that every request has.
    pub headers: &'a [(&'a str, String)],
    /// The body, in JSON.
    pub body: &'a [u8],
}

/// Why a call returned no response.
#[derive(Debug, thiserror::Error)]
pub enum CallError {
    /// The request was cancelled before anything was sent.
    #[error("HTTP request cancelled before it was sent")]
    NotSent,
    /// The connection failed or timed out; the server may have received the request.
    #[error(transparent)]
    Io(#[from] io::Error),
}

/// Like [`call`], but evaluates `may_send` once the connection is established, immediately before
/// sending the request.
///
/// # Errors
/// `NotSent` if `may_send` returns false; otherwise the errors of [`call`].
pub fn call_if(
    to: SocketAddr,
    request: &OutgoingRequest<'_>,
    timeout: Duration,
    may_send: impl FnOnce() -> bool,
) -> Result<Response, CallError> {
    let mut stream = connect_stream(to, timeout, timeout)?;
    stream.set_read_timeout(Some(timeout))?;
    let OutgoingRequest { method, path, headers, body } = request;
    let mut out = format!(
        "{method} {path} HTTP/1.1\r\nHost: {to}\r\nConnection: close\r\n\
         Content-Type: application/json\r\nContent-Length: {}\r\n",
        body.len()
    );
    for (name, value) in *headers {
        out.push_str(&format!("{name}: {value}\r\n"));
    }
    out.push_str("\r\n");
    let mut out = out.into_bytes();
    out.extend_from_slice(body);
    if !may_send() {
        return Err(CallError::NotSent);
    }
    stream.write_all(&out)?;
    let mut bytes = Vec::new();
    let head = read_response_head(&mut stream, &mut bytes)?;
    let body = read_response_body(&mut stream, bytes, head.content_length)?;
    Ok(Response { status: head.status, location: head.location, body })
}

/// The head of a response, as far as it is used.
struct ResponseHead {
    status: u16,
    location: Option<String>,
    /// The value of `Content-Length`; without it the body ends where the connection ends.
    content_length: Option<usize>,
}

/// Reads the head of the final response; `bytes` then holds the part of the body received so far.
fn read_response_head(stream: &mut TcpStream, bytes: &mut Vec<u8>) -> io::Result<ResponseHead> {
    loop {
        let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
        let mut parsed = httparse::Response::new(&mut headers);
        match parsed.parse(bytes) {
            // An interim response (1xx); the final response follows.
            Ok(httparse::Status::Complete(length)) if parsed.code.is_some_and(|c| c < 200) => {
                bytes.drain(..length);
            }
            Ok(httparse::Status::Complete(length)) => {
                let find = |name: &str| {
                    let mut headers = parsed.headers.iter();
                    let found = headers.find(|h| h.name.eq_ignore_ascii_case(name))?;
                    Some(String::from_utf8_lossy(found.value).trim().to_owned())
                };
                let head = ResponseHead {
                    status: parsed.code.unwrap_or(0),
                    location: find("location"),
                    content_length: find("content-length").and_then(|v| v.parse().ok()),
                };
                bytes.drain(..length);
                return Ok(head);
            }
            Ok(httparse::Status::Partial) if bytes.len() <= MAX_HEAD_BYTES => {
                if read_more(stream, bytes)? == 0 {
                    return Err(io::ErrorKind::UnexpectedEof.into());
                }
            }
            _ => {
                return Err(io::Error::new(
                    io::ErrorKind::InvalidData,
                    "malformed HTTP response head",
                ));
            }
        }
    }
}

fn read_response_body(
    stream: &mut TcpStream,
    mut bytes: Vec<u8>,
    content_length: Option<usize>,
) -> io::Result<Vec<u8>> {
    // Twice the limit of requests: a status document may be larger than a configuration.
    while content_length.is_none_or(|length| bytes.len() < length)
        && bytes.len() <= 2 * MAX_BODY_BYTES
    {
        if read_more(stream, &mut bytes)? == 0 {
            break;
        }
    }
    if let Some(length) = content_length {
        if bytes.len() < length {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        bytes.truncate(length);
    }
    Ok(bytes)
}
