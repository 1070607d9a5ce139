//! Clients with HTTP requests on kept connections, some of which leave before the response, and what
//! must hold of their responses.
use super::clients::{ClientContext, Node, Unanswered};
use super::{Plan, Timeline};
use crate::departures::{ALLOWED_DELAY, ALLOWED_LATE_SENDS, Departed, Departure};
use crate::stand_in_endpoints::{Behaviour, StandInEndpoints};
use rand::RngExt;
use silvertack::gateway::http1::{BodyDecoder, ParsedHead, parse_response_head};
use std::io::{Read, Write};
use std::net::TcpStream;
use std::sync::Arc;
use std::time::Instant;

/// One of this many requests is sent by a client that then leaves.
const DEPARTURE_RATIO: u32 = 8;

/// The longest work of an endpoint for a client that stays, in milliseconds. It fits into what the
/// grace period leaves to a request that was read.
const MAX_WORK_MS: u64 = 300;

/// The longest work of an endpoint for a client that leaves, in milliseconds.
const MAX_ABANDONED_WORK_MS: u64 = 3_000;

/// A departure, with the node that the client was connected to.
pub(crate) struct ObservedDeparture {
    departed: Departed,
    node: String,
    idempotent: bool,
}

/// What clients with requests observed.
pub(crate) struct RequestLog {
    endpoints: Arc<StandInEndpoints>,
    pub(crate) requests: usize,
    pub(crate) departures: Vec<ObservedDeparture>,
    /// The ids of requests that must not run twice.
    not_idempotent: Vec<String>,
    unanswered: Vec<Unanswered>,
    wrong_responses: Vec<String>,
}

impl RequestLog {
    pub(crate) fn new(endpoints: &Arc<StandInEndpoints>) -> Self {
        Self {
            endpoints: Arc::clone(endpoints),
            requests: 0,
            departures: Vec::new(),
            not_idempotent: Vec::new(),
            unanswered: Vec::new(),
            wrong_responses: Vec::new(),
        }
    }

    pub(crate) fn merge(&mut self, other: Self) {
        self.requests += other.requests;
        self.departures.extend(other.departures);
        self.not_idempotent.extend(other.not_idempotent);
        self.unanswered.extend(other.unanswered);
        self.wrong_responses.extend(other.wrong_responses);
    }

    pub(crate) fn violations(&self, plan: &Plan, timeline: &Timeline) -> Vec<String> {
        let twice = self.not_idempotent.iter().filter(|id| self.endpoints.received(id).len() > 1);
        let twice = twice.map(|id| format!("TWICE: {id} reached endpoints more than once"));
        let unanswered =
            self.unanswered.iter().filter(|u| !self.endpoints.received(&u.id).is_empty());
        let unanswered = unanswered.filter_map(|u| u.violation(plan, timeline));
        let wrong = self.wrong_responses.iter().cloned();
        twice.chain(unanswered).chain(wrong).chain(self.work_for_nobody(timeline)).collect()
    }

    /// What endpoints got, or were at work on, too long after the client had left. A node that stood
    /// still within that time does not count.
    fn work_for_nobody(&self, timeline: &Timeline) -> Vec<String> {
        let counted: Vec<&ObservedDeparture> = self
            .departures
            .iter()
            .filter(|observed| {
                let left_at = observed.departed.left_at;
                !timeline.stood_still(&observed.node, left_at, left_at + ALLOWED_DELAY)
            })
            .collect();
        let late_sends: usize = counted
            .iter()
            .map(|observed| observed.departed.arrivals_after(&self.endpoints, ALLOWED_DELAY))
            .sum();
        let lasting: Vec<&&ObservedDeparture> = counted
            .iter()
            .filter(|observed| {
                observed.idempotent && observed.departed.would_have_lasted(&self.endpoints)
            })
            .collect();
        let worked_on =
            lasting.iter().filter(|o| o.departed.was_worked_on(&self.endpoints)).count();
        let mut violations = Vec::new();
        if late_sends > ALLOWED_LATE_SENDS {
            violations.push(format!("GONE: {late_sends} requests were sent on for nobody"));
        }
        if 4 * worked_on > lasting.len() {
            let total = lasting.len();
            violations.push(format!("GONE: {worked_on} of {total} requests were worked on"));
        }
        violations
    }
}

/// A kept connection, with bytes that were read and not parsed yet.
struct Connection {
    node: Node,
    stream: TcpStream,
    unread: Vec<u8>,
}

/// A complete response.
struct Response {
    status: u16,
    head: String,
    body: Vec<u8>,
    closes: bool,
}

impl Connection {
    fn read_more(&mut self) -> bool {
        let mut chunk = [0; 16 << 10];
        let count = self.stream.read(&mut chunk).unwrap_or(0);
        self.unread.extend_from_slice(&chunk[..count]);
        count > 0
    }

    /// Receives a complete response; `None` if the connection ends before, or sends anything else.
    fn receive(&mut self) -> Option<Response> {
        let ParsedHead { head, length } = loop {
            match parse_response_head(&self.unread, "GET") {
                Ok(Some(parsed)) => break parsed,
                Ok(None) if self.read_more() => {}
                _ => return None,
            }
        };
        let text = String::from_utf8_lossy(&self.unread[..length]).into_owned();
        self.unread.drain(..length);
        let (mut decoder, mut body) = (BodyDecoder::new(head.framing), Vec::new());
        loop {
            let consumed = decoder.decode(&self.unread, &mut body).ok()?;
            self.unread.drain(..consumed);
            if decoder.is_complete() {
                return Some(Response {
                    status: head.status,
                    head: text,
                    body,
                    closes: head.close,
                });
            }
            if !self.read_more() {
                return None;
            }
        }
    }
}

/// A client that uses connections one after the other.
pub(crate) struct GatewayClient {
    context: ClientContext,
    endpoints: Arc<StandInEndpoints>,
    log: RequestLog,
    next_id: usize,
}

impl GatewayClient {
    pub(crate) fn new(context: ClientContext, endpoints: &Arc<StandInEndpoints>) -> Self {
        let log = RequestLog::new(endpoints);
        Self { context, endpoints: Arc::clone(endpoints), log, next_id: 0 }
    }

    /// Uses connections until the soak stops.
    pub(crate) fn run(mut self) -> RequestLog {
        while !self.context.is_stopped() {
            let Some((node, stream)) = self.context.connect() else { continue };
            let mut kept = Some(Connection { node, stream, unread: Vec::new() });
            while !self.context.is_stopped() {
                let Some(connection) = kept else { break };
                kept = self.request(connection);
                self.context.pause(0..60);
            }
        }
        self.log
    }

    /// Sends one request. Returns the connection if it can be used on.
    fn request(&mut self, mut connection: Connection) -> Option<Connection> {
        self.next_id += 1;
        self.log.requests += 1;
        let id = format!("g{}-{}", self.context.number, self.next_id);
        let idempotent = self.context.random.random_ratio(1, 2);
        let path = if idempotent { "/many/x" } else { "/once/x" };
        if !idempotent {
            self.log.not_idempotent.push(id.clone());
        }
        let leaves = self.context.random.random_ratio(1, DEPARTURE_RATIO);
        if let Some(behaviour) = self.draw_behaviour(leaves) {
            self.endpoints.add_behaviour_of(&id, behaviour);
        }
        let head = format!(
            "GET {path} HTTP/1.1\r\nHost: shop.example\r\nRequest-Id: {id}\r\n\
             Deadline-Ms: 8000\r\n\r\n"
        );
        if connection.stream.write_all(head.as_bytes()).is_err() {
            return None;
        }
        if leaves {
            self.context.pause(0..500);
            let departure = Departure::ALL[self.context.random.random_range(0..3)];
            let departed = Departed::leave(connection.stream, vec![id], departure);
            let node = connection.node.name;
            self.log.departures.push(ObservedDeparture { departed, node, idempotent });
            return None;
        }
        let Some(response) = connection.receive() else {
            let (node, ended_at) = (connection.node.name, Instant::now());
            self.log.unanswered.push(Unanswered { id, node, ended_at });
            return None;
        };
        self.check_response(&id, &response);
        (!response.closes).then_some(connection)
    }

    /// What the endpoint does with the next request; `None` if it is served at once.
    fn draw_behaviour(&mut self, leaves: bool) -> Option<Behaviour> {
        let random = &mut self.context.random;
        if leaves {
            return Some(Behaviour::Work(random.random_range(0..MAX_ABANDONED_WORK_MS)));
        }
        match random.random_range(0..10) {
            0 => Some(Behaviour::Late(random.random_range(0..MAX_WORK_MS))),
            1 => Some(Behaviour::Work(random.random_range(0..MAX_WORK_MS))),
            2 => Some(Behaviour::LargeBody(200_000)),
            3 if !self.context.only_planned_work => Some(Behaviour::CloseWithoutResponse),
            _ => None,
        }
    }

    fn check_response(&mut self, id: &str, response: &Response) {
        let of_endpoint = response.status < 300;
        let belongs = response.head.contains(&format!("Request-Id: {id}\r\n"));
        let whole = response.body == b"the rows" || response.body.len() == 200_000;
        if of_endpoint && !(belongs && whole) {
            let (head, length) = (&response.head, response.body.len());
            let text = format!("MIXED: {id} got {length} bytes of another response: {head}");
            self.log.wrong_responses.push(text);
        }
    }
}
