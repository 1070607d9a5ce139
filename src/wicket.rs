//! The wicket: a gateway that passes clients' requests on to databases.
//!
//! Pure parts come first: reading heads and bodies, what may be done after each outcome (`Tries`),
//! which database to take (`choose`, `Health`), and the retry budget. A `Guest` is a client's
//! connection, a `Tree` a database, a `Stem` a connection to one.
use crate::base::errors::{Fatal, Refusal};
use crate::base::ids::{InstanceId, NodeName, Revision, ServiceName};
use crate::base::signals::Signals;
use crate::base::sync::lock;
use crate::base::time::Tick;
use crate::base::worker_pool::{must_start, start_thread};
use crate::config::directory::Listed;
use crate::config::route_table::{Lane, Lanes};
use crate::config::settings::{Settings, Watched};
use crate::net::http;
use crate::net::idle_connections::{Parked, has_news};
use crate::net::leader_connection::{Follower, Link};
use crate::net::rpc::pooler_messages::{Plot, ToSteward, ToStile};
use crate::net::sockets::{dial, listen, tune};
use crate::net::statement_protocol::Inbox;
use log::{debug, info, warn};
use rustix::event::{PollFd, PollFlags, Timespec, poll};
use std::collections::{BTreeMap, HashMap, VecDeque};
use std::io::{self, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::path::PathBuf;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::time::Duration;

// ---------------------------------------------------------------------------------------------
// Heads and bodies

/// What came is no answer of HTTP, or could be read in two ways.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Garbled;

/// How long a body is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Framing {
    Length(u64),
    Chunked,
    /// To the end of the connection; only an answer may be so.
    UntilClose,
}

/// The head of a client's request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Asked {
    pub method: String,
    /// Path and query, as they came.
    pub target: String,
    /// In lower case and without a port.
    pub host: String,
    pub id: Option<String>,
    pub deadline_ms: Option<u64>,
    pub framing: Framing,
    /// The client closes its connection after this one, or knows no kept ones.
    pub close: bool,
    /// It understands chunks.
    pub modern: bool,
    /// It waits to be told to send the body.
    pub expects: bool,
    /// The headers that are passed on, as lines.
    pub passed: Vec<u8>,
}
impl Asked {
    pub fn path(&self) -> &str {
        self.target.split('?').next().unwrap_or_default()
    }
}

/// The head of a database's answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Answered {
    pub status: u16,
    pub reason: String,
    pub id: Option<String>,
    pub stamped: bool,
    /// The database says that it did not run the request.
    pub not_executed: bool,
    pub framing: Framing,
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
    fn read(headers: &[httparse::Header<'_>]) -> Result<Self, Garbled> {
        let mut common = Self::default();
        for header in headers {
            let text = || std::str::from_utf8(header.value).map(str::trim).map_err(|_| Garbled);
            if header.name.eq_ignore_ascii_case("content-length") {
                let text = text()?;
                let digits = !text.is_empty() && text.bytes().all(|b| b.is_ascii_digit());
                let length = text.parse().ok().filter(|_| digits).ok_or(Garbled)?;
                if common.length.is_some_and(|l| l != length) {
                    return Err(Garbled);
                }
                common.length = Some(length);
            } else if header.name.eq_ignore_ascii_case("transfer-encoding") {
                if common.chunked || !text()?.eq_ignore_ascii_case("chunked") {
                    return Err(Garbled);
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
            return Err(Garbled);
        }
        Ok(common)
    }
    fn passes(&self, name: &str) -> bool {
        !hop_by_hop(name) && !self.named.iter().any(|n| n.eq_ignore_ascii_case(name))
    }
}

fn add_line(to: &mut Vec<u8>, name: &str, value: &[u8]) {
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
pub fn read_request(bytes: &[u8], most: usize) -> Result<Option<(Asked, usize)>, Refusal> {
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
    let mut asked = Asked {
        method: method.to_owned(),
        target: target.to_owned(),
        host: String::new(),
        id: None,
        deadline_ms: None,
        framing: match common.length {
            _ if common.chunked => Framing::Chunked,
            length => Framing::Length(length.unwrap_or(0)),
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
pub fn read_answer(bytes: &[u8], method: &str) -> Result<Option<(Answered, usize)>, Garbled> {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut parsed = httparse::Response::new(&mut headers);
    let size = match parsed.parse(bytes) {
        Ok(httparse::Status::Complete(size)) => size,
        Ok(httparse::Status::Partial) if bytes.len() <= MAX_ANSWER_HEAD => return Ok(None),
        _ => return Err(Garbled),
    };
    let status = parsed.code.ok_or(Garbled)?;
    let common = Common::read(parsed.headers)?;
    let bodiless = method == "HEAD" || status < 200 || status == 204 || status == 304;
    let mut answered = Answered {
        status,
        reason: parsed.reason.unwrap_or_default().to_owned(),
        id: None,
        stamped: false,
        not_executed: false,
        framing: match common.length {
            _ if bodiless => Framing::Length(0),
            Some(length) => Framing::Length(length),
            None if common.chunked => Framing::Chunked,
            None => Framing::UntilClose,
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
                return Err(Garbled);
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
pub struct Body {
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

impl Body {
    pub fn new(framing: Framing) -> Self {
        let stage = match framing {
            Framing::Length(0) => Stage::Done,
            Framing::Length(n) => Stage::Left(n),
            Framing::Chunked => Stage::ChunkHead,
            Framing::UntilClose => Stage::UntilClose,
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
    pub fn take(&mut self, from: &[u8], into: &mut Vec<u8>) -> Result<usize, Garbled> {
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
                    _ => return Err(Garbled),
                },
                Stage::ChunkEnd => match rest {
                    [b'\r', b'\n', ..] => {
                        at += 2;
                        self.stage = Stage::ChunkHead;
                    }
                    [] | [b'\r'] => return Ok(at),
                    _ => return Err(Garbled),
                },
                Stage::Trailer => {
                    let Some(end) = rest.iter().position(|b| *b == b'\n') else {
                        let long = self.trailer + rest.len() > MAX_TRAILER;
                        return if long { Err(Garbled) } else { Ok(at) };
                    };
                    let line = rest[..end].strip_suffix(b"\r").ok_or(Garbled)?;
                    self.trailer += end;
                    if self.trailer > MAX_TRAILER {
                        return Err(Garbled);
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

// ---------------------------------------------------------------------------------------------
// What may be done after each outcome

/// How the sending of a request to one database ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ended {
    /// No byte of it can have reached the database.
    NotSent,
    /// The database says that it did not run it.
    NotRun,
    /// It may have run; no usable answer came.
    MayHaveRun,
    /// It ran and failed.
    Failed,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Next {
    /// Send it to another database.
    Another,
    /// The client gets the database's own answer.
    Pass,
    Refuse(Refusal),
}

/// The sends of one request of a client.
#[derive(Clone, Debug)]
pub struct Tries {
    repeatable: bool,
    most: u32,
    /// Databases that it was offered to.
    sent: u32,
    unreached: u32,
    may_have_run: bool,
}

/// Databases in a row that could not be reached before a request is given up.
const MAX_UNREACHED: u32 = 4;

impl Tries {
    pub fn new(repeatable: bool, most: u32) -> Self {
        Self { repeatable, most: most.max(1), sent: 0, unreached: 0, may_have_run: false }
    }
    /// Bytes of it leave for a database.
    pub fn offered(&mut self) {
        self.sent += 1;
    }
    /// Whether sending it to one more database would be a further one, which the budget pays for.
    pub fn is_repeat(&self) -> bool {
        self.sent > 0
    }
    /// Whether one more database may have it while the first is still at work.
    pub fn may_double(&self) -> bool {
        self.repeatable && self.sent < self.most
    }
    /// What was sent can't be sent a second time: a part of its body is gone.
    pub fn is_last(&mut self) {
        self.most = self.sent;
    }
    pub fn may_have_run(&self) -> bool {
        self.may_have_run
    }
    /// It goes to the same database once more, which may have run it before it broke off.
    pub fn sent_anew(&mut self) {
        self.may_have_run = true;
    }
    /// One send has ended. `others` are still under way; `time` is left and `budget` would pay.
    pub fn after(&mut self, ended: Ended, others: bool, time: bool, budget: bool) -> Next {
        match ended {
            Ended::NotSent => self.unreached += 1,
            Ended::NotRun => {}
            Ended::MayHaveRun | Ended::Failed => self.may_have_run = true,
        }
        let allowed = match ended {
            Ended::NotSent => self.unreached < MAX_UNREACHED,
            Ended::NotRun => self.sent < self.most,
            Ended::MayHaveRun | Ended::Failed => self.repeatable && self.sent < self.most,
        };
        // Without a send before, nothing is repeated.
        let paid = budget || (ended == Ended::NotSent && !self.is_repeat());
        if allowed && time && paid && (self.repeatable || !self.may_have_run) {
            return Next::Another;
        }
        let running = self.may_have_run || others;
        match ended {
            // Its own words promise what is true only if no other database has it.
            Ended::NotRun if !running => Next::Pass,
            Ended::Failed => Next::Pass,
            _ if !running => Next::Refuse(Refusal::Full),
            _ => Next::Refuse(if time { Refusal::Lost } else { Refusal::Late }),
        }
    }
}

/// The part of a budget over the whole fleet that this node earns by its own requests.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    ratio: f64,
    window_ms: u64,
    /// For each span of time: when it began, requests, repeats.
    spans: VecDeque<(Tick, u64, u64)>,
}
const SPAN_MS: u64 = 500;

impl RetryBudget {
    pub fn new(ratio: f64, window_ms: u64) -> Self {
        Self { ratio, window_ms, spans: VecDeque::new() }
    }
    fn span(&mut self, now: Tick) -> &mut (Tick, u64, u64) {
        while self.spans.front().is_some_and(|(t, ..)| now.since(*t) > self.window_ms) {
            self.spans.pop_front();
        }
        if self.spans.back().is_none_or(|(t, ..)| now.since(*t) >= SPAN_MS) {
            self.spans.push_back((now, 0, 0));
        }
        let last = self.spans.len() - 1;
        &mut self.spans[last]
    }
    pub fn asked(&mut self, now: Tick) {
        self.span(now).1 += 1;
    }
    pub fn has(&mut self, now: Tick) -> bool {
        self.span(now);
        let (asked, spent) =
            self.spans.iter().fold((0, 0), |(a, s), (_, asked, spent)| (a + asked, s + spent));
        (spent + 1) as f64 <= self.ratio * asked as f64
    }
    pub fn spend(&mut self, now: Tick) -> bool {
        let has = self.has(now);
        if has {
            self.span(now).2 += 1;
        }
        has
    }
}

// ---------------------------------------------------------------------------------------------
// Which database

/// What a node has seen of a database, and whether it is tried at the moment.
#[derive(Clone, Debug, Default)]
pub struct Health {
    /// Time of recent answers, in ms; 0 with none.
    pub pace: f64,
    out_until: Tick,
    /// Times in a row that it was put out.
    outs: u32,
    /// Answers that failed, of late.
    failures: f64,
}

/// How long a database that failed is left alone; doubled each time in a row.
const OUT_MS: u64 = 2_000;
const MAX_OUT_MS: u64 = 16_000;
const UNREACHED_MS: u64 = 300;
/// How long one is left alone that had no room.
const FULL_MS: u64 = 150;
/// A failed answer alone may be the request's own fault; so many lately are not.
const FAILED_ANSWERS: f64 = 1.5;

impl Health {
    pub fn served(&mut self, ms: u64) {
        let ms = ms.max(1) as f64;
        self.pace = if self.pace == 0.0 { ms } else { self.pace * 0.8 + ms * 0.2 };
        self.outs = 0;
        self.failures *= 0.8;
    }
    /// It could not be reached, broke off, or said what is no answer.
    pub fn broke(&mut self, now: Tick) {
        self.leave_out(OUT_MS, now);
    }
    pub fn failed(&mut self, now: Tick) {
        self.failures += 1.0;
        if self.failures >= FAILED_ANSWERS {
            self.failures = 0.0;
            self.broke(now);
        }
    }
    /// No connection was had in time: it may be busy, and only again and again is it dark.
    pub fn unreached(&mut self, now: Tick) {
        self.leave_out(UNREACHED_MS, now);
    }
    fn leave_out(&mut self, first_ms: u64, now: Tick) {
        let out = (first_ms << self.outs.min(8)).min(MAX_OUT_MS);
        self.out_until = self.out_until.max(now.plus(out));
        self.outs += 1;
    }
    pub fn full(&mut self, now: Tick) {
        self.out_until = self.out_until.max(now.plus(FULL_MS));
    }
    pub fn out(&self, now: Tick) -> bool {
        self.out_until > now
    }
    /// News of it: whatever kept it from being tried may be over.
    pub fn renewed(&mut self) {
        (self.out_until, self.outs, self.failures) = (Tick(0), 0, 0.0);
    }
}

/// A database that may be taken.
#[derive(Clone, Copy, Debug)]
pub struct Candidate {
    /// In this node's zone.
    pub near: bool,
    pub out: bool,
    /// This node's requests under way there.
    pub load: u32,
    pub capacity: u32,
    pub pace: f64,
    /// A connection rests.
    pub idle: bool,
    /// What it can work on at once, as far as that is this node's to use first.
    pub home: f64,
}

/// The database to take: one at home that has room, or of the best group the better of two drawn
/// ones. Traffic between zones costs; a database that is out is better than none.
pub fn choose(of: &[Candidate], draw: impl Fn(usize) -> usize) -> Option<usize> {
    let pace = |c: &Candidate| if c.pace == 0.0 { 1.0 } else { c.pace };
    let at_home = |c: &Candidate| !c.out && f64::from(c.load) < c.home.round().max(1.0);
    let cost = |c: &Candidate| pace(c) * f64::from(c.load + 1) / c.home;
    let home = (0..of.len()).filter(|at| of[*at].home > 0.0 && at_home(&of[*at]));
    if let Some(at) = home.min_by(|a, b| cost(&of[*a]).total_cmp(&cost(&of[*b]))) {
        return Some(at);
    }
    let room = |c: &Candidate| c.load < c.capacity.max(1);
    let group = |c: &Candidate| (c.out, !room(c), !c.near);
    let full = |c: &Candidate| c.load >= c.capacity.max(1) + QUEUED;
    let best = of.iter().filter(|c| !full(c)).map(group).min()?;
    let group: Vec<usize> =
        (0..of.len()).filter(|at| !full(&of[*at]) && group(&of[*at]) == best).collect();
    let cost = |at: usize| {
        let c = &of[at];
        let load = f64::from(c.load) / f64::from(c.capacity.max(1));
        pace(c) * (1.0 + load) * if c.idle { 1.0 } else { 1.05 }
    };
    let (one, two) = (group[draw(group.len())], group[draw(group.len())]);
    Some(if cost(two) < cost(one) { two } else { one })
}

/// Requests of one node that may wait at a database.
const QUEUED: u32 = 2;

/// Times of recent answers of a service, and from when on one is late.
#[derive(Clone, Debug, Default)]
pub struct Pace {
    mean: f64,
    spread: f64,
}
impl Pace {
    pub fn learn(&mut self, ms: u64) {
        let ms = ms as f64;
        if self.mean == 0.0 {
            (self.mean, self.spread) = (ms, ms / 2.0);
        }
        self.spread = self.spread * 0.95 + (ms - self.mean).abs() * 0.05;
        self.mean = self.mean * 0.95 + ms * 0.05;
    }
    /// When an answer that has not come is unlikely to come soon, within an aim.
    pub fn patience(&self, aim_ms: u64) -> u64 {
        self.late(aim_ms / 2).max(20)
    }
    pub fn late(&self, least: u64) -> u64 {
        ((self.mean + 4.0 * self.spread) as u64).max(least)
    }
}

/// FNV-1a: the same request goes to the same target at every node.
fn digest(text: &str) -> u64 {
    text.bytes()
        .fold(0xcbf2_9ce4_8422_2325, |h, b| (h ^ u64::from(b)).wrapping_mul(0x0100_0000_01b3))
        >> 16
}

// ---------------------------------------------------------------------------------------------
// Databases and connections to them

/// A connection to a database.
struct Stem {
    stream: TcpStream,
    inbox: Inbox,
    /// Nothing may be sent on it after this.
    until: Tick,
}

struct Tree {
    service: ServiceName,
    address: SocketAddr,
    zone: String,
    capacity: u32,
    draining: bool,
    health: Health,
    load: u32,
    idle: Vec<Stem>,
}

/// What this wicket knows.
#[derive(Default)]
struct Orchard {
    config: Option<Arc<Lanes>>,
    listed: bool,
    trees: BTreeMap<InstanceId, Tree>,
    services: HashMap<ServiceName, Row>,
    /// How long connections to databases take.
    reach: Pace,
}
#[derive(Default)]
struct Row {
    trees: Vec<InstanceId>,
    pace: Pace,
    /// The part of the zone's databases that is used first, and what that comes to.
    plot: Option<(u32, u32)>,
    homes: HashMap<InstanceId, f64>,
    work: Work,
}

/// How much is under way at the databases of a service, as the leader is told.
#[derive(Clone, Debug, Default)]
pub struct Work {
    /// Milliseconds of finished sends since the last look.
    done: u64,
    mean: f64,
    told: Option<u32>,
}
impl Work {
    pub fn add(&mut self, ms: u64) {
        self.done += ms;
    }
    /// After `ms`: what the leader has to be told, in hundredths of a request, if that is news.
    pub fn news(&mut self, ms: u64) -> Option<u32> {
        let now = std::mem::take(&mut self.done) as f64 / ms.max(1) as f64;
        self.mean = if self.told.is_none() { now } else { self.mean * 0.8 + now * 0.2 };
        let busy = (self.mean * 100.0) as u32;
        let news = self.told.is_none_or(|t| busy.abs_diff(t) > t / 4 + 10);
        news.then(|| {
            self.told = Some(busy);
            busy
        })
    }
}

/// The databases of a plot, with the part of each that belongs to it. All nodes lay them out in one
/// order, which a new one changes little.
pub fn homes<'a>(
    of: impl Iterator<Item = (&'a InstanceId, u32)>,
    plot: (u32, u32),
) -> HashMap<InstanceId, f64> {
    let mut order: Vec<(u64, &InstanceId, f64)> =
        of.map(|(id, capacity)| (digest(&id.0), id, f64::from(capacity.max(1)))).collect();
    order.sort_by(|a, b| (a.0, a.1).cmp(&(b.0, b.1)));
    let all: f64 = order.iter().map(|(_, _, capacity)| capacity).sum();
    let (from, upto) = (f64::from(plot.0) * all / 1e6, f64::from(plot.1) * all / 1e6);
    let mut at = 0.0;
    let mut found = HashMap::new();
    for (_, id, capacity) in order {
        let part = (at + capacity).min(upto) - from.max(at);
        at += capacity;
        if part > LEAST_HOME * capacity {
            found.insert(id.clone(), part);
        }
    }
    found
}
/// A smaller part of a database is nobody's home.
const LEAST_HOME: f64 = 0.05;

/// A database that was taken for a request.
struct Taken {
    id: InstanceId,
    address: SocketAddr,
    stem: Option<Stem>,
}

/// Connections to one database that rest.
const MAX_IDLE: usize = 4;
/// A resting connection is used no longer than this where the database does not say.
const IDLE_MS: u64 = 4_000;
/// A request that can't be repeated goes only on a connection that rested no longer.
const FRESH_MS: u64 = 20;

impl Orchard {
    fn upsert(&mut self, listed: Listed) {
        let known = self.trees.get_mut(&listed.id);
        match known.filter(|t| t.address == listed.address && t.service == listed.service) {
            Some(tree) => {
                tree.draining = listed.draining;
                tree.capacity = listed.capacity;
                tree.health.renewed();
                if listed.draining {
                    tree.idle.clear();
                }
            }
            None => {
                self.remove(&listed.id);
                let row = self.services.entry(listed.service.clone()).or_default();
                row.trees.push(listed.id.clone());
                let tree = Tree {
                    service: listed.service,
                    address: listed.address,
                    zone: listed.zone,
                    capacity: listed.capacity,
                    draining: listed.draining,
                    health: Health::default(),
                    load: 0,
                    idle: Vec::new(),
                };
                self.trees.insert(listed.id, tree);
            }
        }
    }
    fn remove(&mut self, id: &InstanceId) {
        if let Some(tree) = self.trees.remove(id)
            && let Some(row) = self.services.get_mut(&tree.service)
        {
            row.trees.retain(|i| i != id);
        }
    }
    /// The directory or a plot has changed.
    fn settle(&mut self, zone: &str) {
        for row in self.services.values_mut() {
            let near = row.trees.iter().filter_map(|id| Some((id, self.trees.get(id)?)));
            let near = near.filter(|(_, tree)| tree.zone == zone && !tree.draining);
            let laid = near.map(|(id, tree)| (id, tree.capacity));
            row.homes = row.plot.map(|plot| homes(laid, plot)).unwrap_or_default();
        }
    }
    /// Takes a database of the service that was not tried yet.
    fn take(
        &mut self,
        service: &ServiceName,
        zone: &str,
        tried: &[InstanceId],
        fresh: bool,
        now: Tick,
    ) -> Option<Taken> {
        let row = self.services.get(service)?;
        let (mut ids, mut candidates) = (Vec::new(), Vec::new());
        for id in &row.trees {
            let Some(tree) = self.trees.get(id).filter(|t| !t.draining) else { continue };
            if tried.contains(id) {
                continue;
            }
            ids.push(id);
            candidates.push(Candidate {
                near: tree.zone == zone,
                out: tree.health.out(now),
                load: tree.load,
                capacity: tree.capacity,
                pace: tree.health.pace,
                idle: !fresh && !tree.idle.is_empty(),
                home: row.homes.get(id).copied().unwrap_or(0.0),
            });
        }
        let at = choose(&candidates, |n| rand::random_range(0..n))?;
        let id = ids[at].clone();
        let tree = self.trees.get_mut(&id)?;
        tree.load += 1;
        let need = if fresh { IDLE_MS.saturating_sub(FRESH_MS) } else { 0 };
        tree.idle.retain(|s| s.until > now);
        // The one that was used last is the likeliest to live.
        let usable = tree.idle.last().is_some_and(|s| s.until.since(now) > need);
        let stem = if usable { tree.idle.pop() } else { None };
        Some(Taken { address: tree.address, id, stem })
    }
}

// ---------------------------------------------------------------------------------------------
// The wicket

/// A client's connection, as others may see and end it.
struct Guest {
    stream: TcpStream,
    /// Since when it waits for its client with nothing half read; 0 while it does not.
    resting: AtomicU64,
    /// It has rested without a thread before, so that the kernel knows whom to wake.
    watched: AtomicBool,
}
impl Guest {
    fn rests(&self) -> Option<Tick> {
        Some(Tick(self.resting.load(Ordering::Relaxed))).filter(|t| t.0 > 0)
    }
}

/// A client that is being served, or rests until it speaks. However it ends, it is off the list.
struct Visit {
    id: u64,
    guest: Arc<Guest>,
    wicket: Arc<Wicket>,
}
impl Drop for Visit {
    fn drop(&mut self) {
        lock(&self.wicket.guests).remove(&self.id);
    }
}

struct Wicket {
    node: NodeName,
    zone: String,
    life: u64,
    link: Link,
    seq: AtomicU64,
    renewed: AtomicU64,
    /// The last renewal that was answered on this connection.
    heard: AtomicU64,
    orchard: Mutex<Orchard>,
    /// A database has room again, or there is news.
    changed: Condvar,
    budget: Mutex<RetryBudget>,
    listening: AtomicBool,
    draining: AtomicBool,
    /// While draining, resting clients are sent off from here on.
    closing: AtomicBool,
    guests: Mutex<HashMap<u64, Arc<Guest>>>,
    parked: Parked<Visit>,
    next_guest: AtomicU64,
    max_guests: usize,
    counts: Counts,
    garbled: AtomicU64,
}

/// For `status`.
#[derive(Default)]
struct Counts {
    requests: AtomicU64,
    repeats: AtomicU64,
    refused: AtomicU64,
    lost: AtomicU64,
}
fn count(of: &AtomicU64) {
    of.fetch_add(1, Ordering::Relaxed);
}

const RENEW_MS: u64 = 450;
/// A database is reached within this, or it is dark; longer where this node's own link is crowded.
const CONNECT_MS: u64 = 250;
const MOST_CONNECT_MS: u64 = 1_000;
/// The part of an answer that is held, so that an idempotent request can still move on.
const HELD: usize = 64 << 10;
/// The part of a request's body that is held for sending it again.
const HELD_BODY: usize = 256 << 10;
/// An answer that can't be in time any more is not waited for.
const MARGIN_MS: u64 = 5;
/// A client that takes nothing for this long is cut off.
const TAKES_NOTHING: Duration = Duration::from_secs(10);
/// Used where the client sets no deadline.
const DEADLINE_MS: u64 = 60_000;

/// One send of a request to one database.
struct Leg {
    id: InstanceId,
    address: SocketAddr,
    stem: Stem,
    reused: bool,
    sent: Tick,
    head: Option<Answered>,
    body: Body,
    held: Vec<u8>,
    /// An answer to another request came first on this connection.
    stray: bool,
    /// The connection is at its end.
    ended: bool,
}

/// What a leg has come to.
enum Progress {
    Waits,
    /// Whole, or more than is held; the client may have it.
    Ready,
    Ended(Ended),
}

/// Everything that is fixed for one request.
struct Errand<'a> {
    asked: &'a Asked,
    lane: &'a Lane,
    service: &'a ServiceName,
    arrived: Tick,
    limit: Tick,
    body: &'a [u8],
    /// The rest of a body that is too large to be held.
    rest: Option<Body>,
}

/// What goes back to the client.
enum Say {
    Own(Refusal, u64),
    Leg(Box<Leg>),
}

impl Wicket {
    fn config(&self) -> Option<Arc<Lanes>> {
        lock(&self.orchard).config.clone()
    }
    /// It knows what to serve.
    fn knows(&self) -> bool {
        let orchard = lock(&self.orchard);
        orchard.config.is_some() && orchard.listed
    }
    fn ready(&self) -> bool {
        self.listening.load(Ordering::Relaxed) && !self.draining.load(Ordering::Relaxed)
    }
    fn renew_when_due(&self) {
        let now = Tick::now();
        if self.link.is_up() && now.since(Tick(self.renewed.load(Ordering::Relaxed))) >= RENEW_MS {
            self.renew();
        }
    }
    fn renew(&self) {
        let now = Tick::now().0;
        let last = self.renewed.swap(now, Ordering::Relaxed);
        let busy = self.busy(now.saturating_sub(last));
        let seq = self.seq.fetch_add(1, Ordering::Relaxed) + 1;
        let heard = self.heard.load(Ordering::Relaxed);
        let (shares, wants, saw, asks) = (Vec::new(), Vec::new(), Vec::new(), Vec::new());
        self.link.tell(ToSteward::Renew { seq, heard, shares, wants, saw, asks, busy });
    }
    /// How busy this node is, where that is news.
    fn busy(&self, ms: u64) -> Vec<(ServiceName, u32)> {
        let mut orchard = lock(&self.orchard);
        let rows = orchard.services.iter_mut();
        rows.filter_map(|(name, row)| Some((name.clone(), row.work.news(ms)?))).collect()
    }
    /// A wicket never goes back to an older version.
    fn configured(&self, config: Lanes) {
        let mut orchard = lock(&self.orchard);
        if orchard.config.as_ref().is_none_or(|c| c.revision < config.revision) {
            info!(target: "wicket", "configuration {} is in force", config.revision);
            orchard.config = Some(Arc::new(config));
        }
    }

    fn status(&self) -> serde_json::Value {
        let now = Tick::now();
        let orchard = lock(&self.orchard);
        let of = |n: &AtomicU64| n.load(Ordering::Relaxed);
        let databases: Vec<_> = orchard
            .trees
            .iter()
            .map(|(id, t)| {
                serde_json::json!({
                    "id": id, "service": t.service, "address": t.address, "zone": t.zone,
                    "capacity": t.capacity, "draining": t.draining, "under_way": t.load,
                    "idle": t.idle.len(), "left_out": t.health.out(now),
                    "answers_after_ms": t.health.pace.round(),
                })
            })
            .collect();
        serde_json::json!({
            "node": self.node,
            "role": "wicket",
            "ready": self.ready(),
            "draining": self.draining.load(Ordering::Relaxed),
            "linked": self.link.is_up(),
            "revision": orchard.config.as_ref().map(|c| c.revision),
            "connections": lock(&self.guests).len(),
            "connections_allowed": self.max_guests,
            "resting": self.parked.len(),
            "requests": of(&self.counts.requests),
            "sent_again": of(&self.counts.repeats),
            "refused": of(&self.counts.refused),
            "lost": of(&self.counts.lost),
            "databases": databases,
        })
    }

    // -- databases -----------------------------------------------------------------------------

    /// Takes a database, waiting for one with room until `until`.
    fn take(&self, errand: &Errand<'_>, tried: &[InstanceId], until: Tick) -> Option<Taken> {
        let fresh = !errand.lane.route_type.repeatable();
        let mut orchard = lock(&self.orchard);
        loop {
            let now = Tick::now();
            if let Some(taken) = orchard.take(errand.service, &self.zone, tried, fresh, now) {
                return Some(taken);
            }
            let left = until.since(now);
            if left == 0 {
                return None;
            }
            let wait = self.changed.wait_timeout(orchard, Duration::from_millis(left));
            orchard = wait.unwrap_or_else(std::sync::PoisonError::into_inner).0;
        }
    }
    /// A send is over: what was seen of the database, and perhaps its connection for another.
    fn release(
        &self,
        id: &InstanceId,
        took: u64,
        seen: impl FnOnce(&mut Health),
        stem: Option<Stem>,
    ) {
        {
            let mut orchard = lock(&self.orchard);
            let orchard = &mut *orchard;
            if let Some(tree) = orchard.trees.get_mut(id) {
                tree.load = tree.load.saturating_sub(1);
                seen(&mut tree.health);
                if let Some(row) = orchard.services.get_mut(&tree.service) {
                    row.work.add(took);
                }
                if let Some(stem) = stem
                    && !tree.draining
                    && tree.idle.len() < MAX_IDLE
                {
                    tree.idle.push(stem);
                }
            }
        }
        self.changed.notify_one();
    }

    /// Sends the request to a database. `Err` tells how that ended.
    fn send_to(&self, errand: &Errand<'_>, taken: Taken) -> Result<Leg, (InstanceId, Ended)> {
        let Taken { id, address, stem } = taken;
        let fail = |id: InstanceId, ended: Ended| {
            let now = Tick::now();
            self.release(&id, 0, |h| h.broke(now), None);
            Err((id, ended))
        };
        // One that was used before and was closed meanwhile tells nothing of the database.
        let mut stem = stem.filter(|s| !has_news(&s.stream));
        for _ in 0..2 {
            let reused = stem.is_some();
            let mut one = match stem.take() {
                Some(stem) => stem,
                None => {
                    let now = Tick::now();
                    let reach = lock(&self.orchard).reach.late(CONNECT_MS).min(MOST_CONNECT_MS);
                    let left = errand.limit.since(now).clamp(1, reach);
                    let dark = Duration::from_secs(2);
                    let dialled = dial(address, Duration::from_millis(left), dark);
                    // A refusal is quick; what is not may be this node's own link.
                    lock(&self.orchard).reach.learn(Tick::now().since(now));
                    match dialled {
                        Ok(stream) => Stem { stream, inbox: Inbox::default(), until: Tick(0) },
                        Err(e) if e.kind() == io::ErrorKind::TimedOut => {
                            self.release(&id, 0, |h| h.unreached(Tick::now()), None);
                            return Err((id, Ended::NotSent));
                        }
                        Err(_) => return fail(id, Ended::NotSent),
                    }
                }
            };
            let sent = Tick::now();
            let head = self.head_for(errand, &id, sent);
            let patient = one.stream.set_write_timeout(Some(Duration::from_secs(2)));
            let done = patient.map_err(|_| Ended::NotSent).and_then(|()| {
                if head.len() + errand.body.len() <= 64 << 10 {
                    let mut all = head;
                    all.extend_from_slice(errand.body);
                    send_whole(&mut one.stream, &[&all])
                } else {
                    send_whole(&mut one.stream, &[&head, errand.body])
                }
            });
            match done {
                Ok(()) => {
                    return Ok(Leg {
                        id,
                        address,
                        stem: one,
                        reused,
                        sent,
                        head: None,
                        body: Body::new(Framing::Length(0)),
                        held: Vec::new(),
                        stray: false,
                        ended: false,
                    });
                }
                // Closed while it rested, and nothing of the request has left.
                Err(Ended::NotSent) if reused => {}
                Err(ended) => return fail(id, ended),
            }
        }
        fail(id, Ended::NotSent)
    }
    fn head_for(&self, errand: &Errand<'_>, id: &InstanceId, now: Tick) -> Vec<u8> {
        let asked = errand.asked;
        let mut head = Vec::with_capacity(asked.passed.len() + 256);
        head.extend_from_slice(
            format!("{} {} HTTP/1.1\r\n", asked.method, asked.target).as_bytes(),
        );
        head.extend_from_slice(&asked.passed);
        let left = errand.limit.since(now).saturating_sub(MARGIN_MS).max(1);
        add_line(&mut head, "Deadline-Ms", left.to_string().as_bytes());
        add_line(&mut head, "Target-Instance", id.0.as_bytes());
        match (&errand.rest, asked.framing) {
            (Some(_), Framing::Length(all)) => {
                add_line(&mut head, "Content-Length", all.to_string().as_bytes());
            }
            (Some(_), _) => add_line(&mut head, "Transfer-Encoding", b"chunked"),
            // A body that was held came whole, and its length is known by now.
            (None, framing) => {
                let bodiless = framing == Framing::Length(0);
                let usual = !matches!(asked.method.as_str(), "POST" | "PUT" | "PATCH");
                if !bodiless || !usual {
                    add_line(&mut head, "Content-Length", errand.body.len().to_string().as_bytes());
                }
            }
        }
        head.extend_from_slice(b"\r\n");
        head
    }

    // -- one request ---------------------------------------------------------------------------

    /// Carries a request to a database and finds an answer to it.
    fn carry(&self, errand: &mut Errand<'_>, client: &mut Client<'_>) -> io::Result<Say> {
        let lane = errand.lane;
        let mut tries = Tries::new(lane.route_type.repeatable(), lane.max_attempts);
        let mut tried: Vec<InstanceId> = Vec::new();
        let mut legs: Vec<Leg> = Vec::new();
        let patience = {
            let orchard = lock(&self.orchard);
            let row = orchard.services.get(errand.service);
            row.map_or(lane.target_latency_ms / 2, |r| r.pace.patience(lane.target_latency_ms))
        };
        let mut wanted = true;
        // A part of its body went to a database and is not held here.
        let mut streamed = false;
        loop {
            if wanted {
                wanted = false;
                // It is offered within a quarter of the aim, or refused while that helps the client.
                let wait = errand.arrived.plus(lane.target_latency_ms / 4).min(errand.limit);
                let again = tries.is_repeat();
                let paid = !again || lock(&self.budget).spend(Tick::now());
                let until = if again { Tick(0) } else { wait };
                let taken = paid.then(|| self.take(errand, &tried, until)).flatten();
                match taken {
                    Some(taken) => {
                        tried.push(taken.id.clone());
                        if again {
                            count(&self.counts.repeats);
                        }
                        match self.send_to(errand, taken) {
                            Ok(mut leg) => {
                                tries.offered();
                                if let Some(mut rest) = errand.rest.take() {
                                    streamed = true;
                                    tries.is_last();
                                    match self.send_rest(errand, &mut leg, &mut rest, client) {
                                        Ok(None) => {}
                                        Ok(Some(ended)) => {
                                            // The client's connection has the end of it unread.
                                            errand.rest = Some(rest);
                                            self.drop_leg(leg, true);
                                            return Ok(Say::Own(ended, 0));
                                        }
                                        Err(e) => {
                                            self.drop_leg(leg, false);
                                            return Err(e);
                                        }
                                    }
                                }
                                legs.push(leg);
                            }
                            Err((_, ended)) => {
                                if ended != Ended::NotSent {
                                    tries.offered();
                                }
                                let others = !legs.is_empty();
                                match self.next(errand, &mut tries, ended, others) {
                                    Next::Another => wanted = true,
                                    _ if others => {}
                                    Next::Refuse(refusal) => return Ok(self.own(errand, refusal)),
                                    Next::Pass => return Ok(self.own(errand, Refusal::Lost)),
                                }
                                continue;
                            }
                        }
                    }
                    None if legs.is_empty() => {
                        let refusal =
                            if tries.may_have_run() { Refusal::Lost } else { Refusal::Full };
                        return Ok(self.own(errand, refusal));
                    }
                    None => {}
                }
            }
            let now = Tick::now();
            if now.plus(MARGIN_MS) >= errand.limit {
                for leg in legs {
                    self.drop_leg(leg, true);
                }
                return Ok(self.own(errand, Refusal::Late));
            }
            // One that is late gets company, where that is allowed.
            let since = legs.last().map_or(now, |l| l.sent);
            let double = legs.len() == 1 && tries.may_double();
            let due = since.plus(patience);
            if double && now >= due && lock(&self.budget).has(now) {
                wanted = true;
                continue;
            }
            let mut until = errand.limit.since(now).saturating_sub(MARGIN_MS).max(1);
            if double {
                until = until.min(due.since(now).max(10));
            }
            let ready = wait_for(&legs, until)?;
            for at in (0..legs.len()).rev().filter(|at| ready[*at]) {
                let progress = legs[at].read(errand.asked);
                match progress {
                    Progress::Waits => {}
                    Progress::Ready => {
                        let winner = legs.swap_remove(at);
                        for leg in legs {
                            // It was slower than another that began later.
                            let late = leg.sent < winner.sent;
                            self.drop_leg(leg, late);
                        }
                        return Ok(Say::Leg(Box::new(winner)));
                    }
                    Progress::Ended(ended) => {
                        let leg = legs.swap_remove(at);
                        // Most likely forgotten while it rested: the same database may have it again,
                        // on a connection of its own.
                        if lane.route_type.repeatable() && !streamed && leg.forgotten() {
                            tries.sent_anew();
                            let taken = Taken { id: leg.id, address: leg.address, stem: None };
                            match self.send_to(errand, taken) {
                                Ok(leg) => legs.push(leg),
                                Err((_, ended)) => {
                                    match self.next(errand, &mut tries, ended, !legs.is_empty()) {
                                        Next::Another => wanted = true,
                                        _ if !legs.is_empty() => {}
                                        Next::Refuse(refusal) => {
                                            return Ok(self.own(errand, refusal));
                                        }
                                        Next::Pass => return Ok(self.own(errand, Refusal::Lost)),
                                    }
                                }
                            }
                            break;
                        }
                        let others = !legs.is_empty();
                        match self.next(errand, &mut tries, ended, others) {
                            Next::Another => {
                                wanted = true;
                                self.judge(leg, ended);
                            }
                            _ if others => self.judge(leg, ended),
                            Next::Pass if leg.body.done() => return Ok(Say::Leg(Box::new(leg))),
                            Next::Pass => {
                                self.judge(leg, ended);
                                // Its own words are too many to be held; these say the same.
                                let same = match ended {
                                    Ended::NotRun => Refusal::Full,
                                    _ => Refusal::Lost,
                                };
                                return Ok(self.own(errand, same));
                            }
                            Next::Refuse(refusal) => {
                                self.judge(leg, ended);
                                return Ok(self.own(errand, refusal));
                            }
                        }
                        break;
                    }
                }
            }
        }
    }
    fn next(&self, errand: &Errand<'_>, tries: &mut Tries, ended: Ended, others: bool) -> Next {
        let now = Tick::now();
        let time = now.plus(MARGIN_MS) < errand.limit;
        let budget = lock(&self.budget).has(now);
        tries.after(ended, others, time, budget)
    }
    fn own(&self, errand: &Errand<'_>, refusal: Refusal) -> Say {
        match refusal {
            Refusal::Full => count(&self.counts.refused),
            Refusal::Lost | Refusal::Late => count(&self.counts.lost),
            _ => {}
        }
        Say::Own(refusal, (errand.lane.target_latency_ms / 4).clamp(50, 1_000))
    }
    /// The connection of this leg is of no more use.
    fn drop_leg(&self, leg: Leg, late: bool) {
        let now = Tick::now();
        let seen = |h: &mut Health| {
            if late {
                h.broke(now);
            }
        };
        self.release(&leg.id, now.since(leg.sent), seen, None);
    }
    fn judge(&self, leg: Leg, ended: Ended) {
        let now = Tick::now();
        let reused = leg.reused;
        let see = |h: &mut Health| match ended {
            Ended::NotRun => h.full(now),
            Ended::Failed => h.failed(now),
            // A resting connection may be forgotten by the best of databases.
            Ended::MayHaveRun if reused => {}
            Ended::NotSent | Ended::MayHaveRun => h.broke(now),
        };
        self.release(&leg.id.clone(), now.since(leg.sent), see, leg.kept());
        if ended == Ended::MayHaveRun
            && now.since(Tick(self.garbled.load(Ordering::Relaxed))) >= 1_000
        {
            self.garbled.store(now.0, Ordering::Relaxed);
            warn!(target: "wicket", "no usable answer came from a database");
        }
    }

    /// Sends on a body that is too large to be held, as it comes.
    fn send_rest(
        &self,
        errand: &Errand<'_>,
        leg: &mut Leg,
        body: &mut Body,
        client: &mut Client<'_>,
    ) -> io::Result<Option<Refusal>> {
        let chunked = errand.asked.framing == Framing::Chunked;
        let mut sent = errand.body.len() as u64;
        let mut piece = Vec::new();
        while !body.done() {
            piece.clear();
            let used = match body.take(client.inbox.pending(), &mut piece) {
                Ok(used) => used,
                Err(Garbled) => return Ok(Some(Refusal::Unreadable)),
            };
            client.inbox.use_up(used);
            sent += piece.len() as u64;
            if sent > client.max_body {
                return Ok(Some(Refusal::TooLarge));
            }
            if !piece.is_empty() && leg.write_piece(&piece, chunked).is_err() {
                return Ok(Some(Refusal::Lost));
            }
            if body.done() {
                break;
            }
            match client.fill(errand.limit)? {
                Filled::Some => {}
                Filled::Closed => return Err(io::ErrorKind::UnexpectedEof.into()),
                Filled::Late => return Ok(Some(Refusal::Slow)),
            }
        }
        if chunked && leg.stem.stream.write_all(b"0\r\n\r\n").is_err() {
            return Ok(Some(Refusal::Lost));
        }
        Ok(None)
    }
}

/// Writes it all. Once a byte has left, the far end may have begun with it.
pub fn send_whole(to: &mut impl Write, parts: &[&[u8]]) -> Result<(), Ended> {
    let mut begun = false;
    for part in parts {
        let mut left = *part;
        while !left.is_empty() {
            match to.write(left) {
                Ok(n) if n > 0 => {
                    begun = true;
                    left = &left[n..];
                }
                Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
                _ if begun => return Err(Ended::MayHaveRun),
                _ => return Err(Ended::NotSent),
            }
        }
    }
    Ok(())
}
/// Waits until one of the legs has something to read, or the time is over.
fn wait_for(legs: &[Leg], ms: u64) -> io::Result<Vec<bool>> {
    let mut fds: Vec<PollFd<'_>> =
        legs.iter().map(|l| PollFd::new(&l.stem.stream, PollFlags::IN)).collect();
    let wait = Timespec { tv_sec: (ms / 1_000) as i64, tv_nsec: (ms % 1_000 * 1_000_000) as i64 };
    match poll(&mut fds, Some(&wait)) {
        Ok(_) => Ok(fds.iter().map(|f| !f.revents().is_empty()).collect()),
        Err(rustix::io::Errno::INTR) => Ok(vec![false; legs.len()]),
        Err(e) => Err(e.into()),
    }
}

impl Leg {
    /// A connection that had rested came to its end before any answer.
    fn forgotten(&self) -> bool {
        self.reused && self.ended && self.head.is_none() && self.stem.inbox.is_empty()
    }
    fn write_piece(&mut self, piece: &[u8], chunked: bool) -> io::Result<()> {
        if !chunked {
            return self.stem.stream.write_all(piece);
        }
        self.stem.stream.write_all(&as_chunk(piece))
    }
    /// Reads once; something is there to read.
    fn read(&mut self, asked: &Asked) -> Progress {
        // What may be lost here may have run, unless the head says otherwise.
        let lost = Progress::Ended(Ended::MayHaveRun);
        match self.stem.inbox.fill(&mut self.stem.stream) {
            Ok(0) => {
                self.ended = true;
                let known = self.head.is_some() && self.body.closed();
                return if known { self.whole() } else { lost };
            }
            Ok(_) => {}
            Err(e) if e.kind() == io::ErrorKind::Interrupted => return Progress::Waits,
            Err(_) => {
                self.ended = true;
                return lost;
            }
        }
        self.progress(asked)
    }
    fn progress(&mut self, asked: &Asked) -> Progress {
        let lost = Progress::Ended(Ended::MayHaveRun);
        loop {
            if self.head.is_none() {
                match read_answer(self.stem.inbox.pending(), &asked.method) {
                    Ok(None) => return Progress::Waits,
                    // Only a word in between.
                    Ok(Some((head, size))) if head.status < 200 => {
                        self.stem.inbox.use_up(size);
                        continue;
                    }
                    Ok(Some((head, size))) => {
                        self.stem.inbox.use_up(size);
                        self.body = Body::new(head.framing);
                        self.head = Some(head);
                        self.held.clear();
                    }
                    Err(Garbled) => return lost,
                }
            }
            let used = match self.body.take(self.stem.inbox.pending(), &mut self.held) {
                Ok(used) => used,
                Err(Garbled) => return lost,
            };
            self.stem.inbox.use_up(used);
            let Some(head) = &self.head else { return lost };
            // One answer too many may come where the next is due; it belongs to no request.
            if head.id != asked.id {
                if self.stray || !self.reused || head.framing == Framing::UntilClose {
                    return lost;
                }
                if !self.body.done() {
                    return Progress::Waits;
                }
                self.stray = true;
                self.head = None;
                continue;
            }
            if head.status < 300 && !head.stamped {
                return lost;
            }
            if self.body.done() {
                return self.whole();
            }
            if self.held.len() < HELD {
                return Progress::Waits;
            }
            // Whether its promise may be passed on is decided with all sends in view.
            return match head.not_executed {
                true => Progress::Ended(Ended::NotRun),
                false => Progress::Ready,
            };
        }
    }
    /// The whole answer is there.
    fn whole(&mut self) -> Progress {
        match &self.head {
            Some(head) if head.not_executed => Progress::Ended(Ended::NotRun),
            Some(head) if head.status >= 500 => Progress::Ended(Ended::Failed),
            _ => Progress::Ready,
        }
    }
    /// The connection, if another request may use it.
    fn kept(self) -> Option<Stem> {
        let head = self.head.as_ref()?;
        // An answer too many is known by its id; where there is none, nothing may follow.
        let clean = head.id.is_some()
            && self.body.done()
            && self.stem.inbox.is_empty()
            && !self.stray
            && !self.ended
            && !head.close
            && head.framing != Framing::UntilClose;
        // Closed by the database when its time is over; a request must not meet that.
        let keep = head.keep_s.map_or(IDLE_MS, |s| (s * 1_000).saturating_sub(1_000).min(IDLE_MS));
        let until = Tick::now().plus(keep);
        clean.then(|| Stem { until, ..self.stem })
    }
}

fn as_chunk(piece: &[u8]) -> Vec<u8> {
    let mut out = format!("{:x}\r\n", piece.len()).into_bytes();
    out.extend_from_slice(piece);
    out.extend_from_slice(b"\r\n");
    out
}

// ---------------------------------------------------------------------------------------------
// A client's connection

struct Client<'a> {
    stream: &'a TcpStream,
    inbox: Inbox,
    max_body: u64,
}
enum Filled {
    Some,
    Closed,
    Late,
}
impl Client<'_> {
    /// Reads once, waiting until `until` at the most.
    fn fill(&mut self, until: Tick) -> io::Result<Filled> {
        let left = until.since(Tick::now());
        if left == 0 {
            return Ok(Filled::Late);
        }
        self.stream.set_read_timeout(Some(Duration::from_millis(left)))?;
        let mut stream = self.stream;
        match self.inbox.fill(&mut stream) {
            Ok(0) => Ok(Filled::Closed),
            Ok(_) => Ok(Filled::Some),
            Err(e) if e.kind() == io::ErrorKind::Interrupted => Ok(Filled::Some),
            Err(e) if matches!(e.kind(), io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut) => {
                Ok(Filled::Late)
            }
            Err(e) => Err(e),
        }
    }
    fn write(&self, bytes: &[u8]) -> io::Result<()> {
        let mut stream = self.stream;
        stream.write_all(bytes)
    }
    /// Lets a last answer arrive although the client still sends.
    fn linger(&mut self) -> io::Result<()> {
        self.stream.shutdown(Shutdown::Write)?;
        let until = Tick::now().plus(500);
        let mut stream = self.stream;
        let mut rest = [0; 8192];
        self.stream.set_read_timeout(Some(Duration::from_millis(100)))?;
        while Tick::now() < until && stream.read(&mut rest).is_ok_and(|n| n > 0) {}
        Ok(())
    }
}

impl Wicket {
    /// Serves one client until it rests or its connection ends; true if it rests.
    fn attend(&self, guest: &Guest) -> io::Result<bool> {
        let mut client = Client { stream: &guest.stream, inbox: Inbox::default(), max_body: 0 };
        loop {
            let Some(config) = self.config() else { return Ok(false) };
            let limits = &config.limits;
            client.max_body = limits.max_body_bytes;
            // Between two requests nothing is owed; from the first byte on the head is.
            if client.inbox.is_empty() {
                guest.resting.store(Tick::now().0, Ordering::Relaxed);
                if self.closing.load(Ordering::Relaxed) {
                    return Ok(false);
                }
                match client.fill(Tick::now().plus(LINGER_MS))? {
                    Filled::Some => {}
                    Filled::Closed => return Ok(false),
                    Filled::Late => return Ok(true),
                }
            }
            guest.resting.store(0, Ordering::Relaxed);
            let began = Tick::now();
            let head_by = began.plus(limits.header_timeout_ms);
            let asked = loop {
                match read_request(client.inbox.pending(), limits.max_header_bytes) {
                    Ok(Some((asked, size))) => {
                        client.inbox.use_up(size);
                        break asked;
                    }
                    Ok(None) => match client.fill(head_by)? {
                        Filled::Some => {}
                        Filled::Closed => return Ok(false),
                        Filled::Late => {
                            self.refuse(&mut client, Refusal::Slow, 0, true)?;
                            return Ok(false);
                        }
                    },
                    Err(refusal) => {
                        self.refuse(&mut client, refusal, 0, true)?;
                        return Ok(false);
                    }
                }
            };
            // The version of this moment decides all of the request.
            let Some(config) = self.config() else { return Ok(false) };
            count(&self.counts.requests);
            if !self.serve(&config, &asked, &mut client)? {
                return Ok(false);
            }
        }
    }

    /// Serves one request; false when the connection ends with it.
    fn serve(&self, config: &Lanes, asked: &Asked, client: &mut Client<'_>) -> io::Result<bool> {
        let arrived = Tick::now();
        let close = asked.close || self.draining.load(Ordering::Relaxed);
        if let Framing::Length(length) = asked.framing
            && length > client.max_body
        {
            self.refuse(client, Refusal::TooLarge, 0, true)?;
            return Ok(false);
        }
        let number = digest(asked.id.as_deref().unwrap_or(&asked.target));
        let found = config.route(&asked.host, asked.path());
        let found = found.and_then(|lane| Some((lane, config.service(lane, number)?)));
        let Some((lane, service)) = found else {
            // A body that nobody reads ends the connection.
            let close = close || asked.framing != Framing::Length(0);
            self.refuse(client, Refusal::NoRoute, 0, close)?;
            return Ok(!close);
        };
        let wait = asked.deadline_ms.unwrap_or(DEADLINE_MS).min(lane.timeout_ms);
        let limit = arrived.plus(wait);
        if asked.expects && asked.framing != Framing::Length(0) && client.inbox.is_empty() {
            client.write(b"HTTP/1.1 100 Continue\r\n\r\n")?;
        }
        let mut body = Body::new(asked.framing);
        let mut held = Vec::new();
        while !body.done() && held.len() < HELD_BODY {
            let used = match body.take(client.inbox.pending(), &mut held) {
                Ok(used) => used,
                Err(Garbled) => {
                    self.refuse(client, Refusal::Unreadable, 0, true)?;
                    return Ok(false);
                }
            };
            client.inbox.use_up(used);
            if held.len() as u64 > client.max_body {
                self.refuse(client, Refusal::TooLarge, 0, true)?;
                return Ok(false);
            }
            if body.done() {
                break;
            }
            match client.fill(limit)? {
                Filled::Some => {}
                Filled::Closed => return Ok(false),
                Filled::Late => {
                    self.refuse(client, Refusal::Slow, 0, true)?;
                    return Ok(false);
                }
            }
        }
        let rest = (!body.done()).then_some(body);
        if rest.is_some() && asked.framing == Framing::Chunked {
            held = as_chunk(&held);
        }
        lock(&self.budget).asked(arrived);
        let mut errand = Errand { asked, lane, service, arrived, limit, body: &held, rest };
        match self.carry(&mut errand, client)? {
            Say::Own(refusal, come_back_ms) => {
                let close = close || refusal.answer().closes || client.half_read(&errand);
                self.refuse(client, refusal, come_back_ms, close)?;
                Ok(!close)
            }
            Say::Leg(leg) => self.pass(service, asked, *leg, client, close),
        }
    }

    /// Gives a database's answer to the client, as it comes.
    fn pass(
        &self,
        service: &ServiceName,
        asked: &Asked,
        mut leg: Leg,
        client: &mut Client<'_>,
        mut close: bool,
    ) -> io::Result<bool> {
        let took = Tick::now().since(leg.sent);
        let Some(head) = leg.head.clone() else {
            return Err(io::ErrorKind::InvalidData.into());
        };
        let whole = leg.body.done();
        let bodiless = asked.method == "HEAD" || head.status == 204 || head.status == 304;
        let mut out = format!("HTTP/1.1 {} {}\r\n", head.status, head.reason).into_bytes();
        out.extend_from_slice(&head.passed);
        let mut chunked = false;
        if !bodiless {
            match head.framing {
                Framing::Length(n) => {
                    add_line(&mut out, "Content-Length", n.to_string().as_bytes())
                }
                _ if whole => {
                    add_line(&mut out, "Content-Length", leg.held.len().to_string().as_bytes());
                }
                _ if asked.modern => {
                    chunked = true;
                    add_line(&mut out, "Transfer-Encoding", b"chunked");
                }
                _ => close = true,
            }
        }
        self.end_head(&mut out, close);
        let frame = |piece: &[u8]| if chunked { as_chunk(piece) } else { piece.to_vec() };
        if !bodiless && !leg.held.is_empty() {
            out.extend_from_slice(&frame(&leg.held));
        }
        leg.held = Vec::new();
        let mut sent = client.write(&out);
        let mut broken = None;
        let far = Tick::now().plus(DEADLINE_MS);
        while sent.is_ok() && !leg.body.done() {
            // Nothing more is read from the database until the client has taken this.
            let ready = wait_for(std::slice::from_ref(&leg), 1_000)?;
            if !ready[0] {
                if Tick::now() >= far {
                    broken = Some(());
                    break;
                }
                continue;
            }
            match leg.stem.inbox.fill(&mut leg.stem.stream) {
                Ok(0) => {
                    leg.ended = true;
                    if !leg.body.closed() {
                        broken = Some(());
                    }
                    break;
                }
                Ok(_) => {}
                Err(e) if e.kind() == io::ErrorKind::Interrupted => continue,
                Err(_) => {
                    broken = Some(());
                    break;
                }
            }
            let mut piece = Vec::new();
            match leg.body.take(leg.stem.inbox.pending(), &mut piece) {
                Ok(used) => leg.stem.inbox.use_up(used),
                Err(Garbled) => {
                    broken = Some(());
                    break;
                }
            }
            if !piece.is_empty() {
                sent = client.write(&frame(&piece));
            }
        }
        if sent.is_ok() && broken.is_none() && chunked {
            sent = client.write(b"0\r\n\r\n");
        }
        let now = Tick::now();
        let failed = head.status >= 500;
        {
            let mut orchard = lock(&self.orchard);
            if !failed && let Some(row) = orchard.services.get_mut(service) {
                row.pace.learn(took);
            }
        }
        let see = |h: &mut Health| match (broken, head.not_executed) {
            (Some(()), _) => h.broke(now),
            (None, true) => h.full(now),
            _ if failed => h.failed(now),
            _ => h.served(took),
        };
        let kept = |leg: Leg| if broken.is_none() { leg.kept() } else { None };
        self.release(&leg.id.clone(), now.since(leg.sent), see, kept(leg));
        sent?;
        if broken.is_some() {
            // What was begun can't be made whole: the client must see that it is not.
            return Ok(false);
        }
        Ok(!close)
    }
    fn end_head(&self, out: &mut Vec<u8>, close: bool) {
        if close {
            add_line(out, "Connection", b"close");
        } else if let Some(config) = self.config() {
            let keep = (config.limits.idle_timeout_ms / 1_000).saturating_sub(2).max(1);
            add_line(out, "Keep-Alive", format!("timeout={keep}").as_bytes());
        }
        out.extend_from_slice(b"\r\n");
    }
    fn refuse(
        &self,
        client: &mut Client<'_>,
        refusal: Refusal,
        come_back_ms: u64,
        close: bool,
    ) -> io::Result<()> {
        let answer = refusal.answer();
        let mut out = format!("HTTP/1.1 {} {}\r\n", answer.status, answer.reason).into_bytes();
        add_line(&mut out, "Content-Length", b"0");
        if refusal == Refusal::Full {
            let after = format!("{:.3}", come_back_ms as f64 / 1_000.0);
            add_line(&mut out, "Retry-After", after.as_bytes());
        }
        self.end_head(&mut out, close);
        client.write(&out)?;
        if close { client.linger() } else { Ok(()) }
    }

    /// Takes in a client, if there is room for it.
    fn admit(self: &Arc<Self>, stream: TcpStream) {
        if lock(&self.guests).len() >= self.max_guests {
            return;
        }
        let ready = tune(&stream, TAKES_NOTHING)
            .and_then(|()| stream.set_write_timeout(Some(TAKES_NOTHING)));
        if ready.is_err() {
            return;
        }
        let id = self.next_guest.fetch_add(1, Ordering::Relaxed);
        let resting = AtomicU64::new(Tick::now().0);
        let guest = Arc::new(Guest { stream, resting, watched: AtomicBool::new(false) });
        lock(&self.guests).insert(id, Arc::clone(&guest));
        self.hand(Visit { id, guest, wicket: Arc::clone(self) });
    }
    /// Closes connections that rested for longer than they may.
    fn send_off_idle(&self, now: Tick) {
        let Some(config) = self.config() else { return };
        let most = config.limits.idle_timeout_ms;
        for guest in lock(&self.guests).values() {
            if guest.rests().is_some_and(|since| now.since(since) >= most) {
                drop(guest.stream.shutdown(Shutdown::Read));
            }
        }
    }
    /// Has a thread serve a client. Without any, its connection ends.
    fn hand(&self, visit: Visit) {
        start_thread(move || {
            let guest = Arc::clone(&visit.guest);
            match visit.wicket.attend(&guest) {
                Ok(true) => {
                    let wicket = Arc::clone(&visit.wicket);
                    let known = guest.watched.swap(true, Ordering::Relaxed);
                    wicket.parked.rest(visit.id, &guest.stream, visit, known);
                }
                Ok(false) => {}
                // How a client's connection ends is not worth a line each.
                Err(e) => debug!(target: "wicket", "client {}: {e}", visit.id),
            }
        });
    }
}

impl Client<'_> {
    /// A part of the request is still to come, so that the connection can't go on.
    fn half_read(&self, errand: &Errand<'_>) -> bool {
        errand.rest.is_some()
    }
}

// ---------------------------------------------------------------------------------------------
// The program

impl Follower for Wicket {
    fn hello(&self) -> ToSteward {
        let revision = self.config().map_or(Revision(0), |c| c.revision);
        ToSteward::Hello {
            node: self.node.clone(),
            life: self.life,
            revision,
            zone: self.zone.clone(),
        }
    }
    fn linked(&self) {
        self.heard.store(0, Ordering::Relaxed);
        for row in lock(&self.orchard).services.values_mut() {
            row.work.told = None;
        }
    }
    fn begin(&self) {
        self.renew();
    }
    fn hear(&self, message: ToStile) {
        match message {
            ToStile::Elsewhere(_) | ToStile::Welcome { .. } | ToStile::Revoke { .. } => {}
            ToStile::Configured(config) => self.configured(*config),
            ToStile::Changed(changed) => {
                let config = self.config();
                if config.as_ref().is_some_and(|c| c.revision >= changed.revision) {
                    return;
                }
                match config.and_then(|c| c.with(&changed)) {
                    Some(config) => self.configured(config),
                    None => self.link.tell(ToSteward::Whole),
                }
            }
            ToStile::Directory(listed) => {
                let mut orchard = lock(&self.orchard);
                let named = |id: &InstanceId| listed.iter().any(|l| l.id == *id);
                let gone: Vec<_> = orchard.trees.keys().filter(|id| !named(id)).cloned().collect();
                gone.iter().for_each(|id| orchard.remove(id));
                listed.into_iter().for_each(|one| orchard.upsert(one));
                orchard.settle(&self.zone);
                orchard.listed = true;
            }
            ToStile::Moved { listed, gone } => {
                let mut orchard = lock(&self.orchard);
                gone.iter().for_each(|id| orchard.remove(id));
                listed.into_iter().for_each(|one| orchard.upsert(one));
                orchard.settle(&self.zone);
            }
            ToStile::Granted { seq, plots, .. } => {
                self.heard.store(seq, Ordering::Relaxed);
                if plots.is_empty() {
                    return;
                }
                let mut orchard = lock(&self.orchard);
                for Plot { service, from, upto } in plots {
                    orchard.services.entry(service).or_default().plot = Some((from, upto));
                }
                orchard.settle(&self.zone);
            }
            ToStile::Renew => self.renew(),
        }
        self.changed.notify_all();
    }
}

/// Descriptors kept for connections to databases, the link and files.
const SPARE_FILES: u64 = 400;
/// How long a thread waits for the next request of the client it has just served.
const LINGER_MS: u64 = 20;
/// The platform looks at readiness each second and needs two misses; new clients come until then.
const NOTICED_MS: u64 = 2_300;

pub fn run(path: PathBuf, settings: Settings) -> Result<(), Fatal> {
    let mut watched = Watched::new(path);
    let needed = |at: Option<SocketAddr>, name: &str| {
        at.ok_or_else(|| Fatal::Settings(format!("listeners.{name} is needed by a wicket")))
    };
    let frontend = needed(settings.listeners.frontend, "frontend")?;
    let readiness = needed(settings.listeners.readiness, "readiness")?;
    let signals = Signals::install().map_err(|e| Fatal::Call(e.to_string()))?;
    let files = settings.limits.max_open_files.saturating_sub(SPARE_FILES).max(16) / 2;
    let bounds = &settings.timing_bounds;
    let budget = RetryBudget::new(bounds.retry_ratio, 1_000 * bounds.retry_window_s);
    let wicket = Arc::new(Wicket {
        node: settings.node(),
        zone: settings.zone.clone(),
        life: rand::random(),
        link: Link::new("wicket", settings.seed_peers()),
        seq: AtomicU64::new(0),
        renewed: AtomicU64::new(0),
        heard: AtomicU64::new(0),
        orchard: Mutex::default(),
        changed: Condvar::new(),
        budget: Mutex::new(budget),
        listening: AtomicBool::new(false),
        draining: AtomicBool::new(false),
        closing: AtomicBool::new(false),
        guests: Mutex::default(),
        parked: Parked::new("wicket").map_err(|e| Fatal::Call(e.to_string()))?,
        next_guest: AtomicU64::new(1),
        max_guests: files as usize,
        counts: Counts::default(),
        garbled: AtomicU64::new(0),
    });
    let (asked, told) = (Arc::clone(&wicket), Arc::clone(&wicket));
    http::serve_state(readiness, move || asked.ready(), move || told.status())?;
    let linking = Arc::clone(&wicket);
    must_start("the link", move || linking.link.keep(&*linking))?;
    // Until it knows what to serve, a wicket has no address: who is refused there goes on to
    // another node at once.
    while !wicket.knows() {
        if signals.terminated() {
            return Ok(());
        }
        if let Some(new) = watched.poll(signals.take_hup()) {
            wicket.link.seek(new.seed_peers());
        }
        let orchard = lock(&wicket.orchard);
        drop(wicket.changed.wait_timeout(orchard, Duration::from_millis(50)));
        wicket.renew_when_due();
    }
    let listener = listen(frontend)?;
    wicket.listening.store(true, Ordering::Relaxed);
    let accepting = Arc::clone(&wicket);
    must_start("clients", move || {
        for stream in listener.incoming() {
            match stream {
                Ok(stream) => accepting.admit(stream),
                Err(_) => std::thread::sleep(Duration::from_millis(20)),
            }
        }
    })?;
    let watching = Arc::clone(&wicket);
    must_start("resting clients", move || watching.parked.watch(|v| watching.hand(v)))?;
    info!(target: "wicket", "{} serves {frontend}", settings.node_name);
    tend(&wicket, &signals, watched, settings)
}

/// The loop that keeps in touch with the leader and ends the program in order.
fn tend(
    wicket: &Arc<Wicket>,
    signals: &Signals,
    mut watched: Watched,
    mut settings: Settings,
) -> Result<(), Fatal> {
    let mut leaving: Option<Tick> = None;
    loop {
        std::thread::sleep(Duration::from_millis(if leaving.is_some() { 50 } else { 225 }));
        let now = Tick::now();
        wicket.renew_when_due();
        wicket.send_off_idle(now);
        if let Some(new) = watched.poll(signals.take_hup()) {
            wicket.link.seek(new.seed_peers());
            let bounds = &new.timing_bounds;
            let mut budget = lock(&wicket.budget);
            (budget.ratio, budget.window_ms) = (bounds.retry_ratio, 1_000 * bounds.retry_window_s);
            drop(budget);
            settings = new;
        }
        if signals.terminated() && leaving.is_none() {
            info!(target: "wicket", "draining");
            leaving = Some(now);
            wicket.draining.store(true, Ordering::Relaxed);
        }
        let Some(since) = leaving else { continue };
        let grace = settings.timing_bounds.grace_s * 1_000;
        let waited = now.since(since);
        if waited < NOTICED_MS.min(grace / 3) {
            continue;
        }
        // Takes nothing more from clients that rest; what was read is still answered.
        wicket.closing.store(true, Ordering::Relaxed);
        let guests: Vec<Arc<Guest>> = lock(&wicket.guests).values().cloned().collect();
        for guest in guests.iter().filter(|g| g.rests().is_some()) {
            drop(guest.stream.shutdown(Shutdown::Read));
        }
        if guests.is_empty() || waited + 300 > grace {
            wicket.link.tell(ToSteward::Bye);
            info!(target: "wicket", "stopped with {} clients", guests.len());
            return Ok(());
        }
    }
}
