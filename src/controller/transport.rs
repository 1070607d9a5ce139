//! The sockets, threads and outgoing calls of a controller.
use crate::base::errors::Fatal;
use crate::base::ids::{InstanceId, MemberId, ServiceName};
use crate::base::time::Tick;
use crate::base::worker_pool::{must_start, start_thread};
use crate::controller::controller::{Effects, Input, USELESS_MS};
use crate::failover::{Attempt, DatabaseRequest, DatabaseResponse, PromotionResponse};
use crate::net::http::{self, Request, Response};
use crate::net::rpc::raft_messages::{JoinResponse, Member, RaftMessage, RaftMessageKind};
use crate::net::rpc::{Frame, encode, receive, receive_with_layout, send};
use crate::net::sockets::{REACH, dial, keep_alive, listen, tune};
use crate::net::statement_protocol;
use crate::raft::node::FLIGHT_BYTES;
use crate::raft::storage::WriteBatch;
use log::{info, warn};
use std::collections::{HashMap, VecDeque};
use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{Sender, sync_channel};
use std::time::Duration;

/// A connection of ours to another controller.
pub(crate) struct PeerLink {
    pub(crate) line: Option<PeerConnection>,
    pub(crate) dialing: bool,
    retry: Tick,
}

/// Frames on their way to one peer, as a value: which bytes go next, and how many wait.
#[derive(Debug, Default)]
pub struct SendQueue {
    frames: VecDeque<Arc<[u8]>>,
    /// Bytes of the first frame that have left.
    left: usize,
    waiting: usize,
    /// Bytes that ever left.
    gone: u64,
}

impl SendQueue {
    pub fn push(&mut self, frame: Arc<[u8]>) {
        self.waiting += frame.len();
        self.frames.push_back(frame);
    }
    /// Ahead of all that has not begun to leave.
    pub fn push_first(&mut self, frame: Arc<[u8]>) {
        self.waiting += frame.len();
        self.frames.insert(usize::from(self.left > 0), frame);
    }
    pub fn next(&self) -> Option<&[u8]> {
        self.frames.front().map(|f| &f[self.left..])
    }
    pub fn took(&mut self, bytes: usize) {
        self.left += bytes;
        self.waiting -= bytes;
        self.gone += bytes as u64;
        if self.frames.front().is_some_and(|f| f.len() <= self.left) {
            self.frames.pop_front();
            self.left = 0;
        }
    }
    pub fn is_empty(&self) -> bool {
        self.frames.is_empty()
    }
    pub fn waiting(&self) -> usize {
        self.waiting
    }
}

/// Whether a message is not to wait behind so many bytes that a link has not taken yet. What is left
/// out here is asked for again, and heartbeats go on as long as there is a way at all.
pub fn left_out(kind: &RaftMessageKind, waiting: usize) -> bool {
    match kind {
        RaftMessageKind::InstallSnapshot { .. } => waiting > 0,
        RaftMessageKind::AppendEntries { entries, .. } if !entries.is_empty() => {
            waiting > FLIGHT_BYTES
        }
        RaftMessageKind::AppendEntries { .. } | RaftMessageKind::Chunk { .. } => {
            waiting > LINK_WAITING
        }
        _ => false,
    }
}

/// A peer's socket and what waits for it. The core never waits for a peer to read.
pub(crate) struct PeerConnection {
    stream: TcpStream,
    out: SendQueue,
    /// What had left when it was last looked at and something had, or nothing waited.
    gone: u64,
    moved: Tick,
    /// When the far end last said something, if it ever did.
    pub(crate) heard: Option<Tick>,
    opened: Tick,
}

impl PeerConnection {
    pub(crate) fn new(stream: TcpStream, now: Tick) -> Self {
        Self { stream, out: SendQueue::default(), gone: 0, moved: now, heard: None, opened: now }
    }
    /// The far end reads nothing for long, or says nothing where it should.
    fn useless(&mut self, talks: bool, now: Tick) -> bool {
        if self.out.is_empty() || self.out.gone != self.gone {
            (self.gone, self.moved) = (self.out.gone, now);
        }
        let silent = talks || self.heard.is_none();
        now.since(self.moved) > USELESS_MS
            || (silent && now.since(self.heard.unwrap_or(self.opened)) > USELESS_MS)
    }
    /// Writes what goes without waiting.
    fn pump(&mut self) -> std::io::Result<()> {
        while let Some(bytes) = self.out.next() {
            let socket = socket2::SockRef::from(&self.stream);
            match socket.send_with_flags(bytes, libc::MSG_DONTWAIT) {
                Ok(sent) => self.out.took(sent),
                Err(e) if e.kind() == std::io::ErrorKind::WouldBlock => return Ok(()),
                Err(e) if e.kind() == std::io::ErrorKind::Interrupted => {}
                Err(e) => return Err(e),
            }
        }
        Ok(())
    }
    fn close(&self) {
        // Its reader sees the end and reports it.
        drop(self.stream.shutdown(std::net::Shutdown::Both));
    }
}

/// What may wait for a link to another controller before even heartbeats are left out.
const LINK_WAITING: usize = 4 * FLIGHT_BYTES;

/// Asks a controller to be taken in, or whether one still belongs.
fn ask_standing(at: SocketAddr, member: Member, was: bool) -> std::io::Result<JoinResponse> {
    let mut stream = dial(at, REACH, Duration::from_secs(1))?;
    stream.set_read_timeout(Some(Duration::from_secs(1)))?;
    send(&mut stream, &Frame::Join { member, was })?;
    match receive(&mut stream)? {
        Frame::Joined(answer) => Ok(answer),
        _ => Err(std::io::ErrorKind::InvalidData.into()),
    }
}

/// Hands a request to the core and waits for its answer.
pub(crate) fn ask_core(core: &Sender<Event>, request: Request) -> Response {
    let (reply, answer) = sync_channel(1);
    if core.send(Event::Input(Input::Http(request, reply))).is_err() {
        return Response::refusal(503, "stopping");
    }
    answer
        .recv_timeout(Duration::from_secs(4))
        .unwrap_or_else(|_| Response::refusal(503, "no quorum in time"))
}

pub(crate) fn accept_peers(at: SocketAddr, most: usize, tx: Sender<Event>) -> Result<(), Fatal> {
    let listener = listen(at)?;
    let next = AtomicU64::new(1);
    // Each connection holds a clone; the count of them is the bound.
    let open = Arc::new(());
    must_start("peers", move || {
        for stream in listener.incoming() {
            let Ok(stream) = stream else {
                std::thread::sleep(Duration::from_millis(50));
                continue;
            };
            if Arc::strong_count(&open) > most {
                continue;
            }
            let held = Arc::clone(&open);
            let id = next.fetch_add(1, Ordering::Relaxed);
            let tx = tx.clone();
            start_thread(move || {
                let _held = held;
                let dark = Duration::from_secs(3);
                let ready = tune(&stream, dark)
                    .and_then(|()| keep_alive(&stream, dark))
                    .and_then(|()| stream.try_clone());
                let Ok(writer) = ready else { return };
                if tx.send(Event::Opened(id, writer)).is_err() {
                    return;
                }
                let mut reader = std::io::BufReader::with_capacity(4096, stream);
                loop {
                    match receive_with_layout(&mut reader) {
                        Ok((frame, layout)) => {
                            let said = match &frame {
                                Frame::Raft { message, .. } => Some(message.from),
                                Frame::Join { member, .. } => Some(member.id),
                                _ => None,
                            };
                            if let Some(said) = said {
                                drop(tx.send(Event::Input(Input::PeerLayout(said, layout))));
                            }
                            if tx.send(Event::Input(Input::Frame(id, frame))).is_err() {
                                return;
                            }
                        }
                        Err(e) => {
                            if e.kind() == std::io::ErrorKind::InvalidData {
                                warn!(target: "peers", "closed a connection: {e}");
                            }
                            break;
                        }
                    }
                }
                // The core may be gone already when the program ends.
                let _ = tx.send(Event::Input(Input::Closed(id)));
            });
        }
    })
}

/// Asks a database one thing on a connection of its own.
///
/// `reached` is called once the connection is there.
fn ask_database(
    service: &ServiceName,
    id: &InstanceId,
    address: SocketAddr,
    ask: DatabaseRequest,
    reached: impl FnOnce(),
) -> DatabaseResponse {
    let text = match ask {
        DatabaseRequest::Describe => "DESCRIBE".to_owned(),
        DatabaseRequest::Pause(term) => format!("PAUSE {term}"),
        DatabaseRequest::Continue => "CONTINUE".to_owned(),
        DatabaseRequest::StepDown(term) => format!("STEPDOWN {term}"),
    };
    let exchange = move || -> std::io::Result<DatabaseResponse> {
        let limit = Duration::from_millis(300);
        let mut stream = dial(address, limit, Duration::from_secs(1))?;
        reached();
        stream.set_read_timeout(Some(Duration::from_millis(1_000)))?;
        stream.write_all(format!("CONNECT {service} steward {id}\r\n").as_bytes())?;
        let mut inbox = statement_protocol::ReadBuffer::default();
        if let Some(refused) = read_answer(&mut stream, &mut inbox)? {
            use crate::base::errors::ErrorKind;
            return Ok(match refused {
                ErrorKind::WrongNode => DatabaseResponse::Unavailable,
                _ => DatabaseResponse::NoDescription,
            });
        }
        stream.write_all(format!("QUERY - {text}\r\n").as_bytes())?;
        loop {
            match statement_protocol::reply(inbox.pending()) {
                Ok(Some(reply)) => {
                    let row = reply.described(inbox.pending());
                    return Ok(
                        row.map_or(DatabaseResponse::NoDescription, DatabaseResponse::Description)
                    );
                }
                Ok(None) => {
                    if inbox.fill(&mut stream)? == 0 {
                        return Ok(DatabaseResponse::Unavailable);
                    }
                }
                Err(statement_protocol::Garbled) => return Ok(DatabaseResponse::Unavailable),
            }
        }
    };
    match exchange() {
        Ok(told) => told,
        Err(e) => match e.kind() {
            std::io::ErrorKind::TimedOut | std::io::ErrorKind::WouldBlock => {
                DatabaseResponse::TimedOut
            }
            _ => DatabaseResponse::Unavailable,
        },
    }
}

/// Waits for the answer to CONNECT; a refusal is given back.
fn read_answer(
    stream: &mut TcpStream,
    inbox: &mut statement_protocol::ReadBuffer,
) -> std::io::Result<Option<crate::base::errors::ErrorKind>> {
    loop {
        if let Some(kind) = statement_protocol::refused_connect(inbox.pending()) {
            return Ok(Some(kind));
        }
        match statement_protocol::reply(inbox.pending()) {
            Ok(Some(reply)) => {
                inbox.use_up(reply.end);
                return Ok(None);
            }
            Ok(None) => {
                if inbox.fill(stream)? == 0 {
                    return Err(std::io::ErrorKind::UnexpectedEof.into());
                }
            }
            Err(statement_protocol::Garbled) => return Err(std::io::ErrorKind::InvalidData.into()),
        }
    }
}

fn post_failover(
    provider: SocketAddr,
    holder: &str,
    fence: u64,
    service: &ServiceName,
    target: &InstanceId,
) -> PromotionResponse {
    let body = serde_json::json!({ "target_service": service, "instance_id": target }).to_string();
    let headers = [("Duty-Holder", holder.to_owned()), ("Fence-Token", fence.to_string())];
    match http::call(
        provider,
        "POST",
        "/failovers",
        &headers,
        body.as_bytes(),
        Duration::from_secs(1),
    ) {
        Ok((200..=299, ..)) => PromotionResponse::Accepted,
        Ok((409, ..)) => PromotionResponse::NotRunning,
        Ok((429, ..)) => PromotionResponse::NotAttempted,
        Ok((status, _, body)) => {
            warn!(target: "failover", "platform answered {status}: {}", String::from_utf8_lossy(&body));
            PromotionResponse::Unknown
        }
        Err(e) => {
            warn!(target: "failover", "platform: {e}");
            PromotionResponse::Unknown
        }
    }
}

/// What reaches the program: the controller's own inputs, and connections for its sockets.
pub(crate) enum Event {
    Input(Input),
    /// A connection on the peer port.
    Opened(u64, TcpStream),
    /// A connection of ours to another controller.
    Linked(MemberId, Option<PeerConnection>),
}

/// The controller's effects with real sockets, threads and a disk.
pub(crate) struct SocketTransport {
    pub(crate) conns: HashMap<u64, PeerConnection>,
    pub(crate) links: HashMap<MemberId, PeerLink>,
    pub(crate) storage_thread: Sender<WriteBatch>,
    pub(crate) tx: Sender<Event>,
}

impl SocketTransport {
    fn pump_conn(&mut self, conn: u64) {
        if let Some(line) = self.conns.get_mut(&conn)
            && line.pump().is_err()
        {
            line.close();
        }
    }
    pub(crate) fn pumping(&self) -> bool {
        self.conns.values().any(|l| !l.out.is_empty())
            || self.links.values().any(|l| l.line.as_ref().is_some_and(|l| !l.out.is_empty()))
    }
    /// Lets go of peers that only cost. Their readers see the end.
    pub(crate) fn drop_useless(&mut self, speaks: impl Fn(u64) -> bool, now: Tick) {
        for (conn, line) in &mut self.conns {
            if line.useless(speaks(*conn), now) {
                info!(target: "peers", "let one go that did not read or speak");
                line.close();
            }
        }
    }
}

impl Effects for SocketTransport {
    fn send_raft(&mut self, to: MemberId, address: SocketAddr, message: RaftMessage, now: Tick) {
        let link =
            self.links.entry(to).or_insert(PeerLink { line: None, dialing: false, retry: now });
        if link.line.as_ref().is_some_and(|l| left_out(&message.kind, l.out.waiting())) {
            return;
        }
        let frame = encode(&Frame::Raft { to, message: Box::new(message) });
        if let Some(line) = &mut link.line {
            line.out.push(frame);
            if line.pump().is_err() {
                link.line = None;
            }
            return;
        }
        if !link.dialing && now >= link.retry {
            link.retry = now.plus(100);
            let tx = self.tx.clone();
            link.dialing = start_thread(move || {
                let stream = dial(address, REACH, Duration::from_secs(2));
                let line = stream.ok().map(|stream| {
                    let mut line = PeerConnection::new(stream, Tick::now());
                    line.out.push(frame);
                    line
                });
                // The core may have ended meanwhile.
                let _ = tx.send(Event::Linked(to, line));
            });
        }
    }
    fn keep_links(&mut self, members: &[Member]) {
        self.links.retain(|id, _| members.iter().any(|m| m.id == *id));
    }
    fn write(&mut self, batch: WriteBatch) -> bool {
        self.storage_thread.send(batch).is_ok()
    }
    fn ask_standing(&mut self, at: SocketAddr, member: Member, was: bool) {
        let tx = self.tx.clone();
        start_thread(move || {
            let me = member.id;
            // Asked again soon; one that is down is no reason to stop.
            let answer = ask_standing(at, member, was).ok();
            drop(tx.send(Event::Input(Input::JoinResponse(me, at, answer))));
        });
    }
    fn ask_database(
        &mut self,
        service: &ServiceName,
        id: &InstanceId,
        address: SocketAddr,
        ask: DatabaseRequest,
        attempt: Attempt,
    ) -> bool {
        let (tx, service, id) = (self.tx.clone(), service.clone(), id.clone());
        start_thread(move || {
            // Of use only where a dark machine is to be told from a slow one.
            let reached = || {
                if ask == DatabaseRequest::Describe {
                    let (service, id) = (service.clone(), id.clone());
                    let told = Input::DatabaseResponse(
                        service,
                        id,
                        ask,
                        attempt,
                        DatabaseResponse::Connected,
                    );
                    drop(tx.send(Event::Input(told)));
                }
            };
            let told = ask_database(&service, &id, address, ask, reached);
            // The core may have ended meanwhile.
            drop(tx.send(Event::Input(Input::DatabaseResponse(service, id, ask, attempt, told))));
        })
    }
    fn post_failover(
        &mut self,
        provider: SocketAddr,
        holder: &str,
        service: &ServiceName,
        target: &InstanceId,
        attempt: Attempt,
    ) {
        let (tx, holder) = (self.tx.clone(), holder.to_owned());
        let (service, target) = (service.clone(), target.clone());
        let again = (self.tx.clone(), service.clone(), target.clone());
        let started = start_thread(move || {
            let posted = post_failover(provider, &holder, attempt.fence(), &service, &target);
            // The core may have ended meanwhile.
            drop(tx.send(Event::Input(Input::PromotionResponse(service, target, attempt, posted))));
        });
        if !started {
            let (tx, service, target) = again;
            let busy =
                Input::PromotionResponse(service, target, attempt, PromotionResponse::NotAttempted);
            drop(tx.send(Event::Input(busy)));
        }
    }
    fn send(&mut self, conn: u64, frame: Arc<[u8]>) {
        if let Some(line) = self.conns.get_mut(&conn) {
            line.out.push(frame);
            self.pump_conn(conn);
        }
    }
    fn send_first(&mut self, conn: u64, frame: Arc<[u8]>) {
        if let Some(line) = self.conns.get_mut(&conn) {
            line.out.push_first(frame);
        }
    }
    fn waiting(&self, conn: u64) -> Option<usize> {
        self.conns.get(&conn).map(|l| l.out.waiting())
    }
    fn pump(&mut self) -> Vec<u64> {
        for link in self.links.values_mut() {
            if link.line.as_mut().is_some_and(|l| l.pump().is_err()) {
                link.line = None;
            }
        }
        let waiting: Vec<u64> =
            self.conns.iter().filter(|(_, l)| !l.out.is_empty()).map(|(id, _)| *id).collect();
        waiting.iter().for_each(|conn| self.pump_conn(*conn));
        waiting
    }
    fn peers(&self) -> usize {
        self.conns.len()
    }
}
