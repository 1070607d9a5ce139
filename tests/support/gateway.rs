//! Stand-in endpoints of a gateway's service, which respond over HTTP and inject faults on request.
#![allow(dead_code, reason = "each test and example uses only a part of this module")]
use silvertack::gateway::http1::{BodyDecoder, ParsedHead, parse_request_head};
use std::collections::{HashMap, VecDeque};
use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};

/// How an endpoint responds to the next request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum Behaviour {
    Serve,
    ErrorResponse,
    /// 503 with `Not-Executed`.
    Overloaded,
    /// 421 with `Not-Executed`, as if another endpoint had the address.
    Misdirected,
    /// The request is executed, and the connection is closed without a response.
    CloseWithoutResponse,
    /// A response whose body ends early.
    TruncateBody,
    WrongRequestId,
    Unsigned,
    MalformedHead,
    /// The complete response twice.
    DuplicateResponse,
    ChunkedBody,
    LargeBody(usize),
    Hang,
    /// The request is executed, and the connection is reset within the response head, after the
    /// head, or after the complete response.
    TruncateHead,
    TruncateAfterHead,
    ServeThenReset,
    /// The response after this many milliseconds, or twice with this many in between.
    Late(u64),
    DuplicatedLate(u64),
    /// An interim response before the final one.
    InterimResponse,
    /// 503 with `Not-Executed` and a body of this many bytes.
    OverloadedLargeBody(usize),
    /// Works for this many milliseconds and responds, unless its connection is closed before.
    Work(u64),
    /// Works for this many milliseconds, then closes the connection without a response.
    WorkThenClose(u64),
    /// 503 with `Not-Executed` after this many milliseconds.
    OverloadedAfter(u64),
    /// Responds with a head and the beginning of a large body, and sends no more for this many
    /// milliseconds.
    StallInBody(u64),
}

/// A request that an endpoint received.
#[derive(Clone, Debug)]
pub(crate) struct ReceivedRequest {
    /// The index of the endpoint.
    pub(crate) endpoint: usize,
    /// The number of the connection.
    pub(crate) connection: usize,
    pub(crate) request_id: String,
    pub(crate) method_and_target: String,
    /// The request head as received.
    pub(crate) head: String,
    pub(crate) body: Vec<u8>,
    pub(crate) received_at: Instant,
}

/// How long an endpoint was at work on a request.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Work {
    pub(crate) began_at: Instant,
    /// How long the work takes if its connection stays open.
    pub(crate) planned: Duration,
    /// `None` while it is at work.
    pub(crate) ended_at: Option<Instant>,
}

/// The endpoints of one service, each on a port of its own.
pub(crate) struct StandInEndpoints {
    pub(crate) service: String,
    pub(crate) addresses: Vec<SocketAddr>,
    next_behaviours: Mutex<VecDeque<Behaviour>>,
    /// The behaviours for requests with these ids, which go first.
    behaviours_by_id: Mutex<HashMap<String, Behaviour>>,
    received: Mutex<Vec<ReceivedRequest>>,
    /// Work with a duration, with the id of its request.
    work: Mutex<Vec<(String, Work)>>,
    connections: AtomicUsize,
    /// How often each endpoint was started again, which gives it another id.
    lives: Vec<AtomicUsize>,
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
}

/// Whether the other end has closed the connection or reset it.
fn is_closed(stream: &TcpStream) -> bool {
    if stream.set_nonblocking(true).is_err() {
        return true;
    }
    let peeked = stream.peek(&mut [0; 1]);
    let blocking = stream.set_nonblocking(false);
    match peeked {
        Ok(count) => count == 0 || blocking.is_err(),
        Err(e) => e.kind() != std::io::ErrorKind::WouldBlock,
    }
}

impl StandInEndpoints {
    pub(crate) fn start(service: &str, count: usize) -> std::io::Result<Arc<Self>> {
        let listeners =
            (0..count).map(|_| TcpListener::bind("127.0.0.1:0")).collect::<Result<Vec<_>, _>>()?;
        let this = Arc::new(Self {
            service: service.to_owned(),
            addresses: listeners.iter().map(TcpListener::local_addr).collect::<Result<_, _>>()?,
            next_behaviours: Mutex::default(),
            behaviours_by_id: Mutex::default(),
            received: Mutex::default(),
            work: Mutex::default(),
            connections: AtomicUsize::new(0),
            lives: (0..count).map(|_| AtomicUsize::new(0)).collect(),
        });
        for (endpoint, listener) in listeners.into_iter().enumerate() {
            let this = Arc::clone(&this);
            std::thread::spawn(move || {
                for stream in listener.incoming().flatten() {
                    let this = Arc::clone(&this);
                    std::thread::spawn(move || drop(this.serve(endpoint, stream)));
                }
            });
        }
        Ok(this)
    }
    pub(crate) fn id(&self, endpoint: usize) -> String {
        match self.lives[endpoint].load(Ordering::SeqCst) {
            0 => format!("i-{}-{endpoint}", self.service),
            life => format!("i-{}-{endpoint}-{life}", self.service),
        }
    }
    /// Gives the endpoint the id of a new start.
    pub(crate) fn begin_life(&self, endpoint: usize) {
        self.lives[endpoint].fetch_add(1, Ordering::SeqCst);
    }
    /// How many requests the endpoint received within a time.
    pub(crate) fn arrivals(&self, endpoint: usize, from: Instant, to: Instant) -> usize {
        let received = lock(&self.received);
        let late = received.iter().filter(|r| r.received_at > from && r.received_at < to);
        late.filter(|r| r.endpoint == endpoint).count()
    }
    /// Sets the behaviours for the next requests; those after them are served.
    pub(crate) fn set_behaviours(&self, behaviours: &[Behaviour]) {
        *lock(&self.next_behaviours) = behaviours.iter().copied().collect();
    }
    /// Adds a behaviour for the next request that has none yet.
    pub(crate) fn add_behaviour(&self, behaviour: Behaviour) {
        lock(&self.next_behaviours).push_back(behaviour);
    }
    /// Sets the behaviour for the request with this id, whichever endpoint gets it.
    pub(crate) fn add_behaviour_of(&self, request_id: &str, behaviour: Behaviour) {
        lock(&self.behaviours_by_id).insert(request_id.to_owned(), behaviour);
    }
    fn next_behaviour(&self, request_id: &str) -> Behaviour {
        let of_request = lock(&self.behaviours_by_id).get(request_id).copied();
        of_request.or_else(|| lock(&self.next_behaviours).pop_front()).unwrap_or(Behaviour::Serve)
    }
    /// The requests with this id that the endpoints received, in order.
    pub(crate) fn received(&self, request_id: &str) -> Vec<ReceivedRequest> {
        lock(&self.received)
            .iter()
            .filter(|request| request.request_id == request_id)
            .cloned()
            .collect()
    }
    /// The work on the request with this id, in the order in which it began.
    pub(crate) fn work(&self, request_id: &str) -> Vec<Work> {
        let work = lock(&self.work);
        work.iter().filter(|(id, _)| id == request_id).map(|(_, work)| *work).collect()
    }
    /// Works on a request until the time is over or its connection is closed. Returns whether the
    /// connection is still open.
    fn work_until_closed(&self, stream: &TcpStream, request_id: &str, work_ms: u64) -> bool {
        let (began_at, planned) = (Instant::now(), Duration::from_millis(work_ms));
        let index = {
            let mut work = lock(&self.work);
            work.push((request_id.to_owned(), Work { began_at, planned, ended_at: None }));
            work.len() - 1
        };
        let mut open = true;
        while open && began_at.elapsed() < planned {
            open = !is_closed(stream);
            std::thread::sleep(Duration::from_millis(2));
        }
        lock(&self.work)[index].1.ended_at = Some(Instant::now());
        open
    }
    /// The body of a heartbeat.
    pub(crate) fn heartbeat(&self, endpoint: usize, sequence: u64, state: &str) -> String {
        serde_json::json!({
            "target_service": self.service, "address": self.addresses[endpoint], "zone": "here",
            "revision": "v1", "capacity": 2, "lifecycle_state": state, "warmup_left_ms": 0,
            "sequence": sequence,
        })
        .to_string()
    }
    /// Sends one heartbeat for each endpoint. Returns whether the controller accepted all of them.
    pub(crate) fn send_heartbeats(&self, admin: SocketAddr, sequence: u64) -> bool {
        (0..self.addresses.len()).all(|endpoint| {
            let path = format!("/instances/{}", self.id(endpoint));
            let body = self.heartbeat(endpoint, sequence, "available");
            crate::support::http(admin, "PUT", &path, &[], &body)
                .is_ok_and(|(status, _)| status == 200)
        })
    }

    #[expect(clippy::too_many_lines, reason = "serves one connection to its end")]
    fn serve(&self, endpoint: usize, mut stream: TcpStream) -> std::io::Result<()> {
        let connection = self.connections.fetch_add(1, Ordering::SeqCst);
        stream.set_nodelay(true)?;
        let mut bytes = Vec::new();
        let mut chunk = [0; 64 << 10];
        loop {
            let ParsedHead { head: request, length } = loop {
                match parse_request_head(&bytes, 64 << 10) {
                    Ok(Some(parsed)) => break parsed,
                    Ok(None) => {}
                    Err(_) => return Ok(()),
                }
                let read_count = stream.read(&mut chunk)?;
                if read_count == 0 {
                    return Ok(());
                }
                bytes.extend_from_slice(&chunk[..read_count]);
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
                let read_count = stream.read(&mut chunk)?;
                if read_count == 0 {
                    return Ok(());
                }
                bytes.extend_from_slice(&chunk[..read_count]);
            }
            let id = request.request_id.clone().unwrap_or_default();
            let behaviour = self.next_behaviour(&id);
            let method_and_target = format!("{} {}", request.method, request.target);
            lock(&self.received).push(ReceivedRequest {
                endpoint,
                connection,
                request_id: id.clone(),
                method_and_target,
                head,
                body,
                received_at: Instant::now(),
            });
            let response = |status: &str, id: &str, headers: &str, body: &str| {
                let length = body.len();
                // A request without an id gets a response without one.
                let id =
                    if id.is_empty() { String::new() } else { format!("Request-Id: {id}\r\n") };
                let has_no_body = request.method == "HEAD" || status.starts_with("204");
                let body = if has_no_body { "" } else { body };
                format!(
                    "HTTP/1.1 {status}\r\n{id}X-For: {}\r\nContent-Length: {length}\r\n{headers}\r\n{body}",
                    request.target
                )
            };
            let signature = "Response-Signature: s.1\r\n";
            let success = response("200 OK", &id, signature, "the rows");
            let out = match behaviour {
                Behaviour::Serve => success,
                Behaviour::ErrorResponse => response("500 Oh", &id, signature, "failed"),
                Behaviour::Overloaded => response("503 Full", &id, "Not-Executed: 1\r\n", ""),
                Behaviour::OverloadedAfter(ms) => {
                    std::thread::sleep(Duration::from_millis(ms));
                    response("503 Full", &id, "Not-Executed: 1\r\n", "")
                }
                Behaviour::Misdirected => response("421 Other", &id, "Not-Executed: 1\r\n", ""),
                Behaviour::CloseWithoutResponse => return stream.shutdown(Shutdown::Both),
                Behaviour::TruncateBody => success[..success.len() - 4].to_owned(),
                Behaviour::WrongRequestId => response("200 OK", "other", signature, "not yours"),
                Behaviour::Unsigned => response("200 OK", &id, "", "no stamp"),
                Behaviour::MalformedHead => "\u{1}\u{2} nonsense\r\n\r\n".to_owned(),
                Behaviour::DuplicateResponse => success.clone() + &success,
                Behaviour::ChunkedBody => format!(
                    "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\n{signature}Transfer-Encoding: chunked\r\n\r\n\
                     4\r\nthe \r\n4\r\nrows\r\n0\r\n\r\n"
                ),
                Behaviour::LargeBody(size) => response("200 OK", &id, signature, &"x".repeat(size)),
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
                Behaviour::InterimResponse => "HTTP/1.1 100 Continue\r\n\r\n".to_owned() + &success,
                Behaviour::OverloadedLargeBody(size) => {
                    response("503 Full", &id, "Not-Executed: 1\r\n", &"x".repeat(size))
                }
                Behaviour::Work(ms) => {
                    if !self.work_until_closed(&stream, &id, ms) {
                        return Ok(());
                    }
                    success
                }
                Behaviour::WorkThenClose(ms) => {
                    self.work_until_closed(&stream, &id, ms);
                    return stream.shutdown(Shutdown::Both);
                }
                Behaviour::StallInBody(ms) => {
                    let whole = response("200 OK", &id, signature, &"x".repeat(200_000));
                    stream.write_all(&whole.as_bytes()[..100_000])?;
                    self.work_until_closed(&stream, &id, ms);
                    return stream.shutdown(Shutdown::Both);
                }
                Behaviour::Hang => {
                    std::thread::sleep(Duration::from_secs(20));
                    return Ok(());
                }
            };
            stream.write_all(out.as_bytes())?;
            if behaviour == Behaviour::TruncateBody {
                return stream.shutdown(Shutdown::Both);
            }
            if matches!(
                behaviour,
                Behaviour::TruncateHead | Behaviour::TruncateAfterHead | Behaviour::ServeThenReset
            ) {
                // Waits until the gateway has read the response, as a reset would discard it.
                std::thread::sleep(Duration::from_millis(30));
                return socket2::SockRef::from(&stream).set_linger(Some(Duration::ZERO));
            }
        }
    }
}
