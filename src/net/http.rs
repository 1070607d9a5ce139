//! A small HTTP/1.1 server and client for the admin and readiness addresses.
use crate::base::errors::Fatal;
use crate::base::worker_pool::start_thread;
use crate::net::sockets::{configure_stream, connect_stream, listen};
use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

const MAX_HEAD: usize = 16 << 10;

/// Bodies may be larger than any configuration that can be taken, so that the answer can say so.
pub const MAX_BODY: usize = 1 << 20;

const IDLE: Duration = Duration::from_secs(15);

#[derive(Clone, Debug, Default, PartialEq)]
pub struct Request {
    pub method: String,
    pub path: String,
    pub if_match: Option<String>,
    pub body: Vec<u8>,
}

#[derive(Clone, Debug, PartialEq)]
pub struct Response {
    pub status: u16,
    pub location: Option<String>,
    pub body: Vec<u8>,
}

impl Response {
    pub fn json(status: u16, body: Vec<u8>) -> Self {
        Self { status, location: None, body }
    }
    pub fn ok() -> Self {
        Self::json(200, b"{}".to_vec())
    }
    /// A refusal with its reason, as every error of the admin address has it.
    pub fn refusal(status: u16, message: &str) -> Self {
        Self::json(status, serde_json::json!({ "message": message }).to_string().into_bytes())
    }
    pub fn elsewhere(location: String) -> Self {
        Self { status: 307, location: Some(location), body: b"{}".to_vec() }
    }
}

pub(crate) fn reason(status: u16) -> &'static str {
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

/// Serves each connection on a thread of its own, no more than `most` at once.
pub fn serve<F>(listener: TcpListener, name: &'static str, most: usize, handle: F) -> io::Result<()>
where
    F: Fn(Request) -> Response + Send + Sync + 'static,
{
    let handle = Arc::new(handle);
    let open = Arc::new(AtomicUsize::new(0));
    std::thread::Builder::new().name(name.to_owned()).spawn(move || {
        for stream in listener.incoming() {
            let Ok(stream) = stream else {
                std::thread::sleep(Duration::from_millis(50));
                continue;
            };
            if open.fetch_add(1, Ordering::Relaxed) >= most {
                open.fetch_sub(1, Ordering::Relaxed);
                continue;
            }
            let handle = Arc::clone(&handle);
            let counted = Arc::clone(&open);
            let started = start_thread(move || {
                // A caller that breaks off is no event of ours.
                let _ = converse(stream, &*handle);
                counted.fetch_sub(1, Ordering::Relaxed);
            });
            if !started {
                open.fetch_sub(1, Ordering::Relaxed);
            }
        }
    })?;
    Ok(())
}

/// Calls to a readiness address at once.
const PROBES: usize = 64;

/// The readiness address of a node: whether clients may be sent to it, and what it knows.
pub fn serve_state<R, S>(at: SocketAddr, ready: R, status: S) -> Result<(), Fatal>
where
    R: Fn() -> bool + Send + Sync + 'static,
    S: Fn() -> serde_json::Value + Send + Sync + 'static,
{
    let answer = move |request: Request| match (request.method.as_str(), request.path.as_str()) {
        ("GET", "/readiness") if ready() => Response::ok(),
        ("GET", "/readiness") => Response::refusal(503, "not ready"),
        ("GET", "/status") => Response::json(200, status().to_string().into_bytes()),
        (_, "/readiness" | "/status") => Response::refusal(405, "not with this method"),
        _ => Response::refusal(404, "no such path"),
    };
    serve(listen(at)?, "readiness", PROBES, answer).map_err(|e| Fatal::Listen(at.to_string(), e))
}

fn converse(mut stream: TcpStream, handle: &dyn Fn(Request) -> Response) -> io::Result<()> {
    configure_stream(&stream, Duration::from_secs(5))?;
    stream.set_read_timeout(Some(IDLE))?;
    stream.set_write_timeout(Some(Duration::from_secs(5)))?;
    let mut bytes = Vec::new();
    loop {
        let (request, close) = match read_request(&mut stream, &mut bytes)? {
            Ok(Some(found)) => found,
            Ok(None) => return Ok(()),
            Err(refusal) => {
                write_response(&mut stream, &refusal, true)?;
                // Taking in some of what is still under way lets the refusal arrive.
                let mut rest = [0; 4096];
                stream.set_read_timeout(Some(Duration::from_millis(200)))?;
                for _ in 0..512 {
                    if stream.read(&mut rest).unwrap_or(0) == 0 {
                        break;
                    }
                }
                return Ok(());
            }
        };
        write_response(&mut stream, &handle(request), close)?;
        if close {
            return Ok(());
        }
    }
}

type Parsed = Result<Option<(Request, bool)>, Response>;

fn read_request(stream: &mut TcpStream, bytes: &mut Vec<u8>) -> io::Result<Parsed> {
    loop {
        let mut headers = [httparse::EMPTY_HEADER; 48];
        let mut parsed = httparse::Request::new(&mut headers);
        match parsed.parse(bytes) {
            Ok(httparse::Status::Complete(head)) => {
                let mut request = Request {
                    method: parsed.method.unwrap_or_default().to_owned(),
                    path: parsed.path.unwrap_or_default().to_owned(),
                    ..Request::default()
                };
                let mut close = parsed.version == Some(0);
                let mut length = 0usize;
                for header in parsed.headers.iter() {
                    let value = String::from_utf8_lossy(header.value).trim().to_owned();
                    if header.name.eq_ignore_ascii_case("content-length") {
                        match value.parse() {
                            Ok(n) => length = n,
                            Err(_) => return Ok(Err(Response::refusal(400, "bad content-length"))),
                        }
                    } else if header.name.eq_ignore_ascii_case("transfer-encoding") {
                        return Ok(Err(Response::refusal(411, "a length is needed")));
                    } else if header.name.eq_ignore_ascii_case("connection") {
                        close = value.eq_ignore_ascii_case("close");
                    } else if header.name.eq_ignore_ascii_case("if-match") {
                        request.if_match = Some(value.trim_matches('"').to_owned());
                    } else if header.name.eq_ignore_ascii_case("expect") {
                        stream.write_all(b"HTTP/1.1 100 Continue\r\n\r\n")?;
                    }
                }
                if length > MAX_BODY {
                    return Ok(Err(Response::refusal(413, "the body is too large")));
                }
                bytes.drain(..head);
                while bytes.len() < length {
                    if more(stream, bytes)? == 0 {
                        return Ok(Ok(None));
                    }
                }
                request.body = bytes.drain(..length).collect();
                return Ok(Ok(Some((request, close))));
            }
            Ok(httparse::Status::Partial) if bytes.len() > MAX_HEAD => {
                return Ok(Err(Response::refusal(431, "the head is too large")));
            }
            Ok(httparse::Status::Partial) => {
                if more(stream, bytes)? == 0 {
                    return Ok(Ok(None));
                }
            }
            Err(_) => return Ok(Err(Response::refusal(400, "not an HTTP request"))),
        }
    }
}

fn more(stream: &mut TcpStream, bytes: &mut Vec<u8>) -> io::Result<usize> {
    let mut chunk = [0; 4096];
    let got = stream.read(&mut chunk)?;
    bytes.extend_from_slice(&chunk[..got]);
    Ok(got)
}

fn write_response(stream: &mut TcpStream, response: &Response, close: bool) -> io::Result<()> {
    let mut out = format!(
        "HTTP/1.1 {} {}\r\nContent-Type: application/json\r\nContent-Length: {}\r\n",
        response.status,
        reason(response.status),
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

/// One call on a connection of its own; gives the status and the body.
pub fn call(
    to: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, String)],
    body: &[u8],
    within: Duration,
) -> io::Result<(u16, Option<String>, Vec<u8>)> {
    let mut stream = connect_stream(to, within, within)?;
    stream.set_read_timeout(Some(within))?;
    let mut out = format!(
        "{method} {path} HTTP/1.1\r\nHost: {to}\r\nConnection: close\r\nContent-Type: application/json\r\nContent-Length: {}\r\n",
        body.len()
    );
    for (name, value) in headers {
        out.push_str(&format!("{name}: {value}\r\n"));
    }
    out.push_str("\r\n");
    let mut out = out.into_bytes();
    out.extend_from_slice(body);
    stream.write_all(&out)?;
    let mut bytes = Vec::new();
    let (status, location, head, length) = loop {
        let mut headers = [httparse::EMPTY_HEADER; 48];
        let mut parsed = httparse::Response::new(&mut headers);
        match parsed.parse(&bytes) {
            // Only a word in between; the answer follows.
            Ok(httparse::Status::Complete(head)) if parsed.code.is_some_and(|c| c < 200) => {
                bytes.drain(..head);
            }
            Ok(httparse::Status::Complete(head)) => {
                let find = |name: &str| {
                    parsed
                        .headers
                        .iter()
                        .find(|h| h.name.eq_ignore_ascii_case(name))
                        .map(|h| String::from_utf8_lossy(h.value).trim().to_owned())
                };
                let length = find("content-length").and_then(|v| v.parse::<usize>().ok());
                break (parsed.code.unwrap_or(0), find("location"), head, length);
            }
            Ok(httparse::Status::Partial) if bytes.len() <= MAX_HEAD => {
                if more(&mut stream, &mut bytes)? == 0 {
                    return Err(io::ErrorKind::UnexpectedEof.into());
                }
            }
            _ => {
                return Err(io::Error::new(io::ErrorKind::InvalidData, "not an HTTP answer"));
            }
        }
    };
    bytes.drain(..head);
    while length.is_none_or(|n| bytes.len() < n) && bytes.len() <= 2 * MAX_BODY {
        if more(&mut stream, &mut bytes)? == 0 {
            break;
        }
    }
    if let Some(n) = length {
        if bytes.len() < n {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        bytes.truncate(n);
    }
    Ok((status, location, bytes))
}
