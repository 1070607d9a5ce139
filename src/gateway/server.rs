//! The gateway's process: listener, the link to the leader, and the requests of clients.
use crate::base::errors::{Fatal, Refusal};
use crate::base::ids::{InstanceId, NodeName, Revision, ServiceName};
use crate::base::signals::Signals;
use crate::base::sync::lock;
use crate::base::time::Tick;
use crate::base::worker_pool::{must_start, start_thread};
use crate::config::route_table::RouteTable;
use crate::config::settings::{Settings, Watched};
use crate::gateway::attempts::{AttemptOutcome, AttemptPolicy, Next};
use crate::gateway::client_connection::{Client, ClientConnection, ClientGuard, Filled};
use crate::gateway::forwarding::{
    Attempt, CONNECT_MS, ForwardResult, HELD_BODY, MARGIN_MS, MOST_CONNECT_MS, Progress,
    RequestContext, TAKES_NOTHING, send_whole, wait_for,
};
use crate::gateway::http1::{
    BodyDecoder, BodyFraming, ParseError, ParsedHead, RequestHead, append_header, encode_chunk,
    parse_request_head,
};
use crate::gateway::load_balancing::digest;
use crate::gateway::outlier_detection::OutlierDetector;
use crate::gateway::retry_budget::RetryBudget;
use crate::gateway::upstreams::{EndpointConnection, EndpointGuard, MAX_IDLE, Upstreams};
use crate::net::http;
use crate::net::idle_connections::{IdleConnections, has_news};
use crate::net::leader_connection::{LeaderConnection, LeaderSubscriber};
use crate::net::rpc::pooler_messages::{SubsetRange, ToController, ToPooler};
use crate::net::sockets::{dial, listen, tune};
use crate::net::statement_protocol::ReadBuffer;
use log::{debug, info, warn};
use std::collections::HashMap;
use std::io::{self, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::path::PathBuf;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::time::Duration;

pub(crate) struct Gateway {
    node: NodeName,
    zone: String,
    incarnation: u64,
    link: LeaderConnection,
    seq: AtomicU64,
    renewed: AtomicU64,
    /// The last renewal that was answered on this connection.
    heard: AtomicU64,
    upstreams: Mutex<Upstreams>,
    /// A database has room again, or there is news.
    changed: Condvar,
    budget: Mutex<RetryBudget>,
    listening: AtomicBool,
    draining: AtomicBool,
    /// While draining, resting clients are sent off from here on.
    closing: AtomicBool,
    pub(crate) guests: Mutex<HashMap<u64, Arc<ClientConnection>>>,
    parked: IdleConnections<ClientGuard>,
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

/// Used where the client sets no deadline.
const DEADLINE_MS: u64 = 60_000;

impl Gateway {
    fn config(&self) -> Option<Arc<RouteTable>> {
        lock(&self.upstreams).config.clone()
    }
    /// It knows what to serve.
    fn knows(&self) -> bool {
        let upstreams = lock(&self.upstreams);
        upstreams.config.is_some() && upstreams.listed
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
        self.link.tell(ToController::RenewLeases { seq, heard, shares, wants, saw, asks, busy });
    }
    /// How busy this node is, where that is news.
    fn busy(&self, ms: u64) -> Vec<(ServiceName, u32)> {
        let mut upstreams = lock(&self.upstreams);
        let rows = upstreams.services.iter_mut();
        rows.filter_map(|(name, row)| Some((name.clone(), row.work.news(ms)?))).collect()
    }
    /// A gateway never goes back to an older version.
    fn configured(&self, config: RouteTable) {
        let mut upstreams = lock(&self.upstreams);
        if upstreams.config.as_ref().is_none_or(|c| c.revision < config.revision) {
            info!(target: "gateway", "configuration {} is in force", config.revision);
            upstreams.config = Some(Arc::new(config));
        }
    }

    fn status(&self) -> serde_json::Value {
        let now = Tick::now();
        let upstreams = lock(&self.upstreams);
        let of = |n: &AtomicU64| n.load(Ordering::Relaxed);
        let databases: Vec<_> = upstreams
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
            "role": "gateway",
            "ready": self.ready(),
            "draining": self.draining.load(Ordering::Relaxed),
            "linked": self.link.is_up(),
            "revision": upstreams.config.as_ref().map(|c| c.revision),
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
    fn take(
        &self,
        errand: &RequestContext<'_>,
        tried: &[InstanceId],
        until: Tick,
    ) -> Option<EndpointGuard> {
        let fresh = !errand.route_entry.route_type.repeatable();
        let mut upstreams = lock(&self.upstreams);
        loop {
            let now = Tick::now();
            if let Some(taken) = upstreams.take(errand.service, &self.zone, tried, fresh, now) {
                return Some(taken);
            }
            let left = until.since(now);
            if left == 0 {
                return None;
            }
            let wait = self.changed.wait_timeout(upstreams, Duration::from_millis(left));
            upstreams = wait.unwrap_or_else(std::sync::PoisonError::into_inner).0;
        }
    }
    /// A send is over: what was seen of the database, and perhaps its connection for another.
    fn release(
        &self,
        id: &InstanceId,
        took: u64,
        seen: impl FnOnce(&mut OutlierDetector),
        stem: Option<EndpointConnection>,
    ) {
        {
            let mut upstreams = lock(&self.upstreams);
            let upstreams = &mut *upstreams;
            if let Some(tree) = upstreams.trees.get_mut(id) {
                tree.load = tree.load.saturating_sub(1);
                seen(&mut tree.health);
                if let Some(row) = upstreams.services.get_mut(&tree.service) {
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
    fn send_to(
        &self,
        errand: &RequestContext<'_>,
        taken: EndpointGuard,
    ) -> Result<Attempt, (InstanceId, AttemptOutcome)> {
        let EndpointGuard { id, address, stem } = taken;
        let fail = |id: InstanceId, ended: AttemptOutcome| {
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
                    let reach = lock(&self.upstreams).reach.late(CONNECT_MS).min(MOST_CONNECT_MS);
                    let left = errand.limit.since(now).clamp(1, reach);
                    let dark = Duration::from_secs(2);
                    let dialled = dial(address, Duration::from_millis(left), dark);
                    // A refusal is quick; what is not may be this node's own link.
                    lock(&self.upstreams).reach.learn(Tick::now().since(now));
                    match dialled {
                        Ok(stream) => EndpointConnection {
                            stream,
                            inbox: ReadBuffer::default(),
                            until: Tick(0),
                        },
                        Err(e) if e.kind() == io::ErrorKind::TimedOut => {
                            self.release(&id, 0, |h| h.unreached(Tick::now()), None);
                            return Err((id, AttemptOutcome::NotSent));
                        }
                        Err(_) => return fail(id, AttemptOutcome::NotSent),
                    }
                }
            };
            let sent = Tick::now();
            let head = self.head_for(errand, &id, sent);
            let patient = one.stream.set_write_timeout(Some(Duration::from_secs(2)));
            let done = patient.map_err(|_| AttemptOutcome::NotSent).and_then(|()| {
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
                    return Ok(Attempt {
                        id,
                        address,
                        stem: one,
                        reused,
                        sent,
                        head: None,
                        body: BodyDecoder::new(BodyFraming::Length(0)),
                        held: Vec::new(),
                        stray: false,
                        ended: false,
                    });
                }
                // Closed while it rested, and nothing of the request has left.
                Err(AttemptOutcome::NotSent) if reused => {}
                Err(ended) => return fail(id, ended),
            }
        }
        fail(id, AttemptOutcome::NotSent)
    }
    fn head_for(&self, errand: &RequestContext<'_>, id: &InstanceId, now: Tick) -> Vec<u8> {
        let asked = errand.asked;
        let mut head = Vec::with_capacity(asked.forwarded_headers.len() + 256);
        head.extend_from_slice(
            format!("{} {} HTTP/1.1\r\n", asked.method, asked.target).as_bytes(),
        );
        head.extend_from_slice(&asked.forwarded_headers);
        let left = errand.limit.since(now).saturating_sub(MARGIN_MS).max(1);
        append_header(&mut head, "Deadline-Ms", left.to_string().as_bytes());
        append_header(&mut head, "Target-Instance", id.0.as_bytes());
        match (&errand.rest, asked.framing) {
            (Some(_), BodyFraming::Length(all)) => {
                append_header(&mut head, "Content-Length", all.to_string().as_bytes());
            }
            (Some(_), _) => append_header(&mut head, "Transfer-Encoding", b"chunked"),
            // A body that was held came whole, and its length is known by now.
            (None, framing) => {
                let bodiless = framing == BodyFraming::Length(0);
                let usual = !matches!(asked.method.as_str(), "POST" | "PUT" | "PATCH");
                if !bodiless || !usual {
                    append_header(
                        &mut head,
                        "Content-Length",
                        errand.body.len().to_string().as_bytes(),
                    );
                }
            }
        }
        head.extend_from_slice(b"\r\n");
        head
    }

    // -- one request ---------------------------------------------------------------------------

    /// Carries a request to a database and finds an answer to it.
    fn carry(
        &self,
        errand: &mut RequestContext<'_>,
        client: &mut Client<'_>,
    ) -> io::Result<ForwardResult> {
        let route_entry = errand.route_entry;
        let mut tries =
            AttemptPolicy::new(route_entry.route_type.repeatable(), route_entry.max_attempts);
        let mut tried: Vec<InstanceId> = Vec::new();
        let mut legs: Vec<Attempt> = Vec::new();
        let patience = {
            let upstreams = lock(&self.upstreams);
            let row = upstreams.services.get(errand.service);
            row.map_or(route_entry.target_latency_ms / 2, |r| {
                r.pace.patience(route_entry.target_latency_ms)
            })
        };
        let mut wanted = true;
        // A part of its body went to a database and is not held here.
        let mut streamed = false;
        loop {
            if wanted {
                wanted = false;
                // It is offered within a quarter of the aim, or refused while that helps the client.
                let wait = errand.arrived.plus(route_entry.target_latency_ms / 4).min(errand.limit);
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
                                            return Ok(ForwardResult::Own(ended, 0));
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
                                if ended != AttemptOutcome::NotSent {
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
                        return Ok(ForwardResult::Attempt(Box::new(winner)));
                    }
                    Progress::AttemptOutcome(ended) => {
                        let leg = legs.swap_remove(at);
                        // Most likely forgotten while it rested: the same database may have it again,
                        // on a connection of its own.
                        if route_entry.route_type.repeatable() && !streamed && leg.forgotten() {
                            tries.sent_anew();
                            let taken =
                                EndpointGuard { id: leg.id, address: leg.address, stem: None };
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
                            Next::Pass if leg.body.is_complete() => {
                                return Ok(ForwardResult::Attempt(Box::new(leg)));
                            }
                            Next::Pass => {
                                self.judge(leg, ended);
                                // Its own words are too many to be held; these say the same.
                                let same = match ended {
                                    AttemptOutcome::NotRun => Refusal::Full,
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
    fn next(
        &self,
        errand: &RequestContext<'_>,
        tries: &mut AttemptPolicy,
        ended: AttemptOutcome,
        others: bool,
    ) -> Next {
        let now = Tick::now();
        let time = now.plus(MARGIN_MS) < errand.limit;
        let budget = lock(&self.budget).has(now);
        tries.after(ended, others, time, budget)
    }
    fn own(&self, errand: &RequestContext<'_>, refusal: Refusal) -> ForwardResult {
        match refusal {
            Refusal::Full => count(&self.counts.refused),
            Refusal::Lost | Refusal::Late => count(&self.counts.lost),
            _ => {}
        }
        ForwardResult::Own(refusal, (errand.route_entry.target_latency_ms / 4).clamp(50, 1_000))
    }
    /// The connection of this leg is of no more use.
    fn drop_leg(&self, leg: Attempt, late: bool) {
        let now = Tick::now();
        let seen = |h: &mut OutlierDetector| {
            if late {
                h.broke(now);
            }
        };
        self.release(&leg.id, now.since(leg.sent), seen, None);
    }
    fn judge(&self, leg: Attempt, ended: AttemptOutcome) {
        let now = Tick::now();
        let reused = leg.reused;
        let see = |h: &mut OutlierDetector| match ended {
            AttemptOutcome::NotRun => h.full(now),
            AttemptOutcome::Failed => h.failed(now),
            // A resting connection may be forgotten by the best of databases.
            AttemptOutcome::MayHaveRun if reused => {}
            AttemptOutcome::NotSent | AttemptOutcome::MayHaveRun => h.broke(now),
        };
        self.release(&leg.id.clone(), now.since(leg.sent), see, leg.kept());
        if ended == AttemptOutcome::MayHaveRun
            && now.since(Tick(self.garbled.load(Ordering::Relaxed))) >= 1_000
        {
            self.garbled.store(now.0, Ordering::Relaxed);
            warn!(target: "gateway", "no usable answer came from a database");
        }
    }

    /// Sends on a body that is too large to be held, as it comes.
    fn send_rest(
        &self,
        errand: &RequestContext<'_>,
        leg: &mut Attempt,
        body: &mut BodyDecoder,
        client: &mut Client<'_>,
    ) -> io::Result<Option<Refusal>> {
        let chunked = errand.asked.framing == BodyFraming::Chunked;
        let mut sent = errand.body.len() as u64;
        let mut piece = Vec::new();
        while !body.is_complete() {
            piece.clear();
            let used = match body.decode(client.inbox.pending(), &mut piece) {
                Ok(used) => used,
                Err(ParseError) => return Ok(Some(Refusal::Unreadable)),
            };
            client.inbox.use_up(used);
            sent += piece.len() as u64;
            if sent > client.max_body {
                return Ok(Some(Refusal::TooLarge));
            }
            if !piece.is_empty() && leg.write_piece(&piece, chunked).is_err() {
                return Ok(Some(Refusal::Lost));
            }
            if body.is_complete() {
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

impl Gateway {
    /// Serves one client until it rests or its connection ends; true if it rests.
    fn attend(&self, guest: &ClientConnection) -> io::Result<bool> {
        let mut client =
            Client { stream: &guest.stream, inbox: ReadBuffer::default(), max_body: 0 };
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
                match parse_request_head(client.inbox.pending(), limits.max_header_bytes) {
                    Ok(Some(ParsedHead { head: asked, length: size })) => {
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
    fn serve(
        &self,
        config: &RouteTable,
        asked: &RequestHead,
        client: &mut Client<'_>,
    ) -> io::Result<bool> {
        let arrived = Tick::now();
        let close = asked.close || self.draining.load(Ordering::Relaxed);
        if let BodyFraming::Length(length) = asked.framing
            && length > client.max_body
        {
            self.refuse(client, Refusal::TooLarge, 0, true)?;
            return Ok(false);
        }
        let number = digest(asked.id.as_deref().unwrap_or(&asked.target));
        let found = config.entry_for_path(&asked.host, asked.path());
        let found =
            found.and_then(|route_entry| Some((route_entry, config.service(route_entry, number)?)));
        let Some((route_entry, service)) = found else {
            // A body that nobody reads ends the connection.
            let close = close || asked.framing != BodyFraming::Length(0);
            self.refuse(client, Refusal::NoRoute, 0, close)?;
            return Ok(!close);
        };
        let wait = asked.deadline_ms.unwrap_or(DEADLINE_MS).min(route_entry.timeout_ms);
        let limit = arrived.plus(wait);
        if asked.expects_continue
            && asked.framing != BodyFraming::Length(0)
            && client.inbox.is_empty()
        {
            client.write(b"HTTP/1.1 100 Continue\r\n\r\n")?;
        }
        let mut body = BodyDecoder::new(asked.framing);
        let mut held = Vec::new();
        while !body.is_complete() && held.len() < HELD_BODY {
            let used = match body.decode(client.inbox.pending(), &mut held) {
                Ok(used) => used,
                Err(ParseError) => {
                    self.refuse(client, Refusal::Unreadable, 0, true)?;
                    return Ok(false);
                }
            };
            client.inbox.use_up(used);
            if held.len() as u64 > client.max_body {
                self.refuse(client, Refusal::TooLarge, 0, true)?;
                return Ok(false);
            }
            if body.is_complete() {
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
        let rest = (!body.is_complete()).then_some(body);
        if rest.is_some() && asked.framing == BodyFraming::Chunked {
            held = encode_chunk(&held);
        }
        lock(&self.budget).asked(arrived);
        let mut errand =
            RequestContext { asked, route_entry, service, arrived, limit, body: &held, rest };
        match self.carry(&mut errand, client)? {
            ForwardResult::Own(refusal, come_back_ms) => {
                let close = close || refusal.answer().closes || client.half_read(&errand);
                self.refuse(client, refusal, come_back_ms, close)?;
                Ok(!close)
            }
            ForwardResult::Attempt(leg) => self.pass(service, asked, *leg, client, close),
        }
    }

    /// Gives a database's answer to the client, as it comes.
    fn pass(
        &self,
        service: &ServiceName,
        asked: &RequestHead,
        mut leg: Attempt,
        client: &mut Client<'_>,
        mut close: bool,
    ) -> io::Result<bool> {
        let took = Tick::now().since(leg.sent);
        let Some(head) = leg.head.clone() else {
            return Err(io::ErrorKind::InvalidData.into());
        };
        let whole = leg.body.is_complete();
        let bodiless = asked.method == "HEAD" || head.status == 204 || head.status == 304;
        let mut out = format!("HTTP/1.1 {} {}\r\n", head.status, head.reason).into_bytes();
        out.extend_from_slice(&head.forwarded_headers);
        let mut chunked = false;
        if !bodiless {
            match head.framing {
                BodyFraming::Length(n) => {
                    append_header(&mut out, "Content-Length", n.to_string().as_bytes())
                }
                _ if whole => {
                    append_header(
                        &mut out,
                        "Content-Length",
                        leg.held.len().to_string().as_bytes(),
                    );
                }
                _ if asked.accepts_chunked => {
                    chunked = true;
                    append_header(&mut out, "Transfer-Encoding", b"chunked");
                }
                _ => close = true,
            }
        }
        self.end_head(&mut out, close);
        let frame = |piece: &[u8]| if chunked { encode_chunk(piece) } else { piece.to_vec() };
        if !bodiless && !leg.held.is_empty() {
            out.extend_from_slice(&frame(&leg.held));
        }
        leg.held = Vec::new();
        let mut sent = client.write(&out);
        let mut broken = None;
        let far = Tick::now().plus(DEADLINE_MS);
        while sent.is_ok() && !leg.body.is_complete() {
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
                    if !leg.body.finish_at_close() {
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
            match leg.body.decode(leg.stem.inbox.pending(), &mut piece) {
                Ok(used) => leg.stem.inbox.use_up(used),
                Err(ParseError) => {
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
            let mut upstreams = lock(&self.upstreams);
            if !failed && let Some(row) = upstreams.services.get_mut(service) {
                row.pace.learn(took);
            }
        }
        let see = |h: &mut OutlierDetector| match (broken, head.not_executed) {
            (Some(()), _) => h.broke(now),
            (None, true) => h.full(now),
            _ if failed => h.failed(now),
            _ => h.served(took),
        };
        let kept = |leg: Attempt| if broken.is_none() { leg.kept() } else { None };
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
            append_header(out, "Connection", b"close");
        } else if let Some(config) = self.config() {
            let keep = (config.limits.idle_timeout_ms / 1_000).saturating_sub(2).max(1);
            append_header(out, "Keep-Alive", format!("timeout={keep}").as_bytes());
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
        append_header(&mut out, "Content-Length", b"0");
        if refusal == Refusal::Full {
            let after = format!("{:.3}", come_back_ms as f64 / 1_000.0);
            append_header(&mut out, "Retry-After", after.as_bytes());
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
        let guest = Arc::new(ClientConnection { stream, resting, watched: AtomicBool::new(false) });
        lock(&self.guests).insert(id, Arc::clone(&guest));
        self.hand(ClientGuard { id, guest, gateway: Arc::clone(self) });
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
    fn hand(&self, visit: ClientGuard) {
        start_thread(move || {
            let guest = Arc::clone(&visit.guest);
            match visit.gateway.attend(&guest) {
                Ok(true) => {
                    let gateway = Arc::clone(&visit.gateway);
                    let known = guest.watched.swap(true, Ordering::Relaxed);
                    gateway.parked.rest(visit.id, &guest.stream, visit, known);
                }
                Ok(false) => {}
                // How a client's connection ends is not worth a line each.
                Err(e) => debug!(target: "gateway", "client {}: {e}", visit.id),
            }
        });
    }
}

impl LeaderSubscriber for Gateway {
    fn hello(&self) -> ToController {
        let revision = self.config().map_or(Revision(0), |c| c.revision);
        ToController::Hello {
            node: self.node.clone(),
            incarnation: self.incarnation,
            revision,
            zone: self.zone.clone(),
        }
    }
    fn linked(&self) {
        self.heard.store(0, Ordering::Relaxed);
        for row in lock(&self.upstreams).services.values_mut() {
            row.work.told = None;
        }
    }
    fn begin(&self) {
        self.renew();
    }
    fn hear(&self, message: ToPooler) {
        match message {
            ToPooler::NotLeader(_) | ToPooler::Welcome { .. } | ToPooler::Revoke { .. } => {}
            ToPooler::RouteTable(config) => self.configured(*config),
            ToPooler::RouteTableDelta(changed) => {
                let config = self.config();
                if config.as_ref().is_some_and(|c| c.revision >= changed.revision) {
                    return;
                }
                match config.and_then(|c| c.with(&changed)) {
                    Some(config) => self.configured(config),
                    None => self.link.tell(ToController::RequestFullTable),
                }
            }
            ToPooler::Directory(listed) => {
                let mut upstreams = lock(&self.upstreams);
                let named = |id: &InstanceId| listed.iter().any(|l| l.id == *id);
                let gone: Vec<_> =
                    upstreams.trees.keys().filter(|id| !named(id)).cloned().collect();
                gone.iter().for_each(|id| upstreams.remove(id));
                listed.into_iter().for_each(|one| upstreams.upsert(one));
                upstreams.settle(&self.zone);
                upstreams.listed = true;
            }
            ToPooler::DirectoryDelta { listed, gone } => {
                let mut upstreams = lock(&self.upstreams);
                gone.iter().for_each(|id| upstreams.remove(id));
                listed.into_iter().for_each(|one| upstreams.upsert(one));
                upstreams.settle(&self.zone);
            }
            ToPooler::LeaseGrants { seq, subset_ranges, .. } => {
                self.heard.store(seq, Ordering::Relaxed);
                if subset_ranges.is_empty() {
                    return;
                }
                let mut upstreams = lock(&self.upstreams);
                for SubsetRange { service, from, upto } in subset_ranges {
                    upstreams.services.entry(service).or_default().subset_range =
                        Some((from, upto));
                }
                upstreams.settle(&self.zone);
            }
            ToPooler::RenewNow => self.renew(),
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
        at.ok_or_else(|| Fatal::Settings(format!("listeners.{name} is needed by a gateway")))
    };
    let frontend = needed(settings.listeners.frontend, "frontend")?;
    let readiness = needed(settings.listeners.readiness, "readiness")?;
    let signals = Signals::install().map_err(|e| Fatal::Call(e.to_string()))?;
    let files = settings.limits.max_open_files.saturating_sub(SPARE_FILES).max(16) / 2;
    let bounds = &settings.timing_bounds;
    let budget = RetryBudget::new(bounds.retry_ratio, 1_000 * bounds.retry_window_s);
    let gateway = Arc::new(Gateway {
        node: settings.node(),
        zone: settings.zone.clone(),
        incarnation: rand::random(),
        link: LeaderConnection::new("gateway", settings.seed_peers()),
        seq: AtomicU64::new(0),
        renewed: AtomicU64::new(0),
        heard: AtomicU64::new(0),
        upstreams: Mutex::default(),
        changed: Condvar::new(),
        budget: Mutex::new(budget),
        listening: AtomicBool::new(false),
        draining: AtomicBool::new(false),
        closing: AtomicBool::new(false),
        guests: Mutex::default(),
        parked: IdleConnections::new("gateway").map_err(|e| Fatal::Call(e.to_string()))?,
        next_guest: AtomicU64::new(1),
        max_guests: files as usize,
        counts: Counts::default(),
        garbled: AtomicU64::new(0),
    });
    let (asked, told) = (Arc::clone(&gateway), Arc::clone(&gateway));
    http::serve_state(readiness, move || asked.ready(), move || told.status())?;
    let linking = Arc::clone(&gateway);
    must_start("the link", move || linking.link.keep(&*linking))?;
    // Until it knows what to serve, a gateway has no address: who is refused there goes on to
    // another node at once.
    while !gateway.knows() {
        if signals.terminated() {
            return Ok(());
        }
        if let Some(new) = watched.poll(signals.take_hup()) {
            gateway.link.seek(new.seed_peers());
        }
        let upstreams = lock(&gateway.upstreams);
        drop(gateway.changed.wait_timeout(upstreams, Duration::from_millis(50)));
        gateway.renew_when_due();
    }
    let listener = listen(frontend)?;
    gateway.listening.store(true, Ordering::Relaxed);
    let accepting = Arc::clone(&gateway);
    must_start("clients", move || {
        for stream in listener.incoming() {
            match stream {
                Ok(stream) => accepting.admit(stream),
                Err(_) => std::thread::sleep(Duration::from_millis(20)),
            }
        }
    })?;
    let watching = Arc::clone(&gateway);
    must_start("resting clients", move || watching.parked.watch(|v| watching.hand(v)))?;
    info!(target: "gateway", "{} serves {frontend}", settings.node_name);
    tend(&gateway, &signals, watched, settings)
}

/// The loop that keeps in touch with the leader and ends the program in order.
fn tend(
    gateway: &Arc<Gateway>,
    signals: &Signals,
    mut watched: Watched,
    mut settings: Settings,
) -> Result<(), Fatal> {
    let mut leaving: Option<Tick> = None;
    loop {
        std::thread::sleep(Duration::from_millis(if leaving.is_some() { 50 } else { 225 }));
        let now = Tick::now();
        gateway.renew_when_due();
        gateway.send_off_idle(now);
        if let Some(new) = watched.poll(signals.take_hup()) {
            gateway.link.seek(new.seed_peers());
            let bounds = &new.timing_bounds;
            let mut budget = lock(&gateway.budget);
            (budget.ratio, budget.window_ms) = (bounds.retry_ratio, 1_000 * bounds.retry_window_s);
            drop(budget);
            settings = new;
        }
        if signals.terminated() && leaving.is_none() {
            info!(target: "gateway", "draining");
            leaving = Some(now);
            gateway.draining.store(true, Ordering::Relaxed);
        }
        let Some(since) = leaving else { continue };
        let grace = settings.timing_bounds.grace_s * 1_000;
        let waited = now.since(since);
        if waited < NOTICED_MS.min(grace / 3) {
            continue;
        }
        // Takes nothing more from clients that rest; what was read is still answered.
        gateway.closing.store(true, Ordering::Relaxed);
        let guests: Vec<Arc<ClientConnection>> = lock(&gateway.guests).values().cloned().collect();
        for guest in guests.iter().filter(|g| g.rests().is_some()) {
            drop(guest.stream.shutdown(Shutdown::Read));
        }
        if guests.is_empty() || waited + 300 > grace {
            gateway.link.tell(ToController::Goodbye);
            info!(target: "gateway", "stopped with {} clients", guests.len());
            return Ok(());
        }
    }
}
