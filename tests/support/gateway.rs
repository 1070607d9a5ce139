//! Stand-in databases of a gateway's service: they respond over HTTP, and misbehave on request.
#![allow(dead_code, reason = "each test and example uses a part of it")]
use silvertack::gateway::http1::{BodyDecoder, ParsedHead, parse_request_head};
use std::collections::VecDeque;
use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

/// What the next request meets.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum Behaviour {
    Serve,
    Fail,
    /// Not run, and said so.
    Full,
    /// Another database has the address.
    Misdirected,
    /// Run, and the connection closed.
    Reset,
    /// Half of the response.
    Truncate,
    WrongId,
    Unsigned,
    Nonsense,
    /// A complete response and another behind it.
    Extra,
    Chunked,
    Large(usize),
    Hang,
    /// Run, and the connection reset in the head, after the head, or after the whole answer.
    TruncateHead,
    TruncateAfterHead,
    ServeThenReset,
    /// Answered after so many milliseconds, or twice so many apart.
    Late(u64),
    DuplicatedLate(u64),
    /// With an interim response first.
    Continue,
    /// Not run, and said so in a body of this size.
    FullLarge(usize),
}

#[derive(Clone, Debug)]
pub(crate) struct ReceivedRequest {
    pub(crate) database: usize,
    pub(crate) connection: usize,
    pub(crate) id: String,
    /// Method and target.
    pub(crate) line: String,
    /// The headers as they came.
    pub(crate) head: String,
    pub(crate) body: Vec<u8>,
}

pub(crate) struct StandInEndpoints {
    pub(crate) service: String,
    pub(crate) addresses: Vec<SocketAddr>,
    next: Mutex<VecDeque<Behaviour>>,
    received: Mutex<Vec<ReceivedRequest>>,
    connections: AtomicUsize,
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
}

impl StandInEndpoints {
    pub(crate) fn start(service: &str, count: usize) -> std::io::Result<Arc<Self>> {
        let listeners =
            (0..count).map(|_| TcpListener::bind("127.0.0.1:0")).collect::<Result<Vec<_>, _>>()?;
        let this = Arc::new(Self {
            service: service.to_owned(),
            addresses: listeners.iter().map(TcpListener::local_addr).collect::<Result<_, _>>()?,
            next: Mutex::default(),
            received: Mutex::default(),
            connections: AtomicUsize::new(0),
        });
        for (database, listener) in listeners.into_iter().enumerate() {
            let this = Arc::clone(&this);
            std::thread::spawn(move || {
                for stream in listener.incoming().flatten() {
                    let this = Arc::clone(&this);
                    std::thread::spawn(move || drop(this.serve(database, stream)));
                }
            });
        }
        Ok(this)
    }
    pub(crate) fn id(&self, database: usize) -> String {
        format!("i-{}-{database}", self.service)
    }
    pub(crate) fn set_behaviours(&self, next: &[Behaviour]) {
        *lock(&self.next) = next.iter().copied().collect();
    }
    /// What reached a database with this id, in order.
    pub(crate) fn received(&self, id: &str) -> Vec<ReceivedRequest> {
        lock(&self.received).iter().filter(|r| r.id == id).cloned().collect()
    }
    pub(crate) fn heartbeat(&self, database: usize, sequence: u64, state: &str) -> String {
        serde_json::json!({
            "target_service": self.service, "address": self.addresses[database], "zone": "here",
            "revision": "v1", "capacity": 2, "lifecycle_state": state, "warmup_left_ms": 0,
            "sequence": sequence,
        })
        .to_string()
    }
    /// One heartbeat of each database.
    pub(crate) fn send_heartbeats(&self, admin: SocketAddr, sequence: u64) -> bool {
        (0..self.addresses.len()).all(|database| {
            let path = format!("/instances/{}", self.id(database));
            let body = self.heartbeat(database, sequence, "available");
            crate::support::http(admin, "PUT", &path, &[], &body)
                .is_ok_and(|(status, _)| status == 200)
        })
    }

    #[expect(clippy::too_many_lines, reason = "one connection, read to its end")]
    fn serve(&self, database: usize, mut stream: TcpStream) -> std::io::Result<()> {
        let connection = self.connections.fetch_add(1, Ordering::SeqCst);
        stream.set_nodelay(true)?;
        let mut bytes = Vec::new();
        let mut chunk = [0; 64 << 10];
        loop {
            let ParsedHead { head: request, length } = loop {
                match parse_request_head(&bytes, 64 << 10) {
                    Ok(Some(found)) => break found,
                    Ok(None) => {}
                    Err(_) => return Ok(()),
                }
                let got = stream.read(&mut chunk)?;
                if got == 0 {
                    return Ok(());
                }
                bytes.extend_from_slice(&chunk[..got]);
            };
            let head = String::from_utf8_lossy(&bytes[..length]).into_owned();
            bytes.drain(..length);
            let (mut decoder, mut body) = (BodyDecoder::new(request.framing), Vec::new());
            loop {
                let consumed = decoder.decode(&bytes, &mut body).unwrap_or(0);
                bytes.drain(..consumed);
                if decoder.is_complete() {
                    break;
                }
                let got = stream.read(&mut chunk)?;
                if got == 0 {
                    return Ok(());
                }
                bytes.extend_from_slice(&chunk[..got]);
            }
            let id = request.request_id.clone().unwrap_or_default();
            let behaviour = lock(&self.next).pop_front().unwrap_or(Behaviour::Serve);
            let line = format!("{} {}", request.method, request.target);
            lock(&self.received).push(ReceivedRequest {
                database,
                connection,
                id: id.clone(),
                line,
                head,
                body,
            });
            let response = |status: &str, id: &str, more: &str, body: &str| {
                let length = body.len();
                // Without an id of the request there is none to repeat.
                let id =
                    if id.is_empty() { String::new() } else { format!("Request-Id: {id}\r\n") };
                let none = request.method == "HEAD" || status.starts_with("204");
                let body = if none { "" } else { body };
                format!(
                    "HTTP/1.1 {status}\r\n{id}X-For: {}\r\nContent-Length: {length}\r\n{more}\r\n{body}",
                    request.target
                )
            };
            let signature = "Response-Signature: s.1\r\n";
            let success = response("200 OK", &id, signature, "the rows");
            let out = match behaviour {
                Behaviour::Serve => success,
                Behaviour::Fail => response("500 Oh", &id, signature, "failed"),
                Behaviour::Full => response("503 Full", &id, "Not-Executed: 1\r\n", ""),
                Behaviour::Misdirected => response("421 Other", &id, "Not-Executed: 1\r\n", ""),
                Behaviour::Reset => return stream.shutdown(Shutdown::Both),
                Behaviour::Truncate => success[..success.len() - 4].to_owned(),
                Behaviour::WrongId => response("200 OK", "other", signature, "not yours"),
                Behaviour::Unsigned => response("200 OK", &id, "", "no stamp"),
                Behaviour::Nonsense => "\u{1}\u{2} nonsense\r\n\r\n".to_owned(),
                Behaviour::Extra => success.clone() + &success,
                Behaviour::Chunked => format!(
                    "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\n{signature}Transfer-Encoding: chunked\r\n\r\n\
                     4\r\nthe \r\n4\r\nrows\r\n0\r\n\r\n"
                ),
                Behaviour::Large(size) => response("200 OK", &id, signature, &"x".repeat(size)),
                Behaviour::Late(ms) => {
                    std::thread::sleep(Duration::from_millis(ms));
                    success
                }
                Behaviour::DuplicatedLate(ms) => {
                    stream.write_all(success.as_bytes())?;
                    std::thread::sleep(Duration::from_millis(ms));
                    success
                }
                Behaviour::TruncateHead => success[..20].to_owned(),
                Behaviour::TruncateAfterHead => {
                    success[..success.len() - "the rows".len()].to_owned()
                }
                Behaviour::ServeThenReset => success,
                Behaviour::Continue => "HTTP/1.1 100 Continue\r\n\r\n".to_owned() + &success,
                Behaviour::FullLarge(size) => {
                    response("503 Full", &id, "Not-Executed: 1\r\n", &"x".repeat(size))
                }
                Behaviour::Hang => {
                    std::thread::sleep(Duration::from_secs(20));
                    return Ok(());
                }
            };
            stream.write_all(out.as_bytes())?;
            if behaviour == Behaviour::Truncate {
                return stream.shutdown(Shutdown::Both);
            }
            if matches!(
                behaviour,
                Behaviour::TruncateHead | Behaviour::TruncateAfterHead | Behaviour::ServeThenReset
            ) {
                // Once it was read; a reset would take it along.
                std::thread::sleep(Duration::from_millis(30));
                return socket2::SockRef::from(&stream).set_linger(Some(Duration::ZERO));
            }
        }
    }
}
