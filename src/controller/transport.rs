//! The controller's effects with real sockets, threads and a disk, and the queue of its events.
//!
//! The process makes one `SocketTransport` for its controller and feeds that with `Event`s. The
//! controller sees only the `Effects` trait, which the simulation implements as well.
use crate::base::ids::{InstanceId, MemberId, ServiceName};
use crate::base::time::Tick;
use crate::base::worker_pool::start_thread;
use crate::controller::effects::{Effects, Input};
use crate::controller::leader_lease::{LeaderLease, SharedLeaderLease};
use crate::controller::outgoing_calls::{
    DatabaseCall, PromotionCall, ask_database, request_join, request_promotion,
};
use crate::controller::peer_connections::{PeerConnection, PeerLink, exceeds_backlog};
use crate::failover::{Attempt, DatabaseRequest, DatabaseResponse, PromotionResponse};
use crate::net::http::{Request, Response};
use crate::net::rpc::raft_messages::{Member, RaftMessage};
use crate::net::rpc::{Frame, encode};
use crate::net::sockets::{PEER_CONNECT_TIMEOUT, connect_stream};
use crate::raft::storage::WriteBatch;
use log::info;
use std::collections::HashMap;
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::sync::mpsc::{Sender, sync_channel};
use std::time::Duration;

/// Time for the controller to answer an HTTP call; callers give up some time after.
const ANSWER_LIMIT: Duration = Duration::from_secs(4);

/// Milliseconds from one attempt to connect to a controller to the next.
const DIAL_INTERVAL_MS: u64 = 100;

/// TCP gives a link up after unacknowledged bytes of so long.
const UNREACHABLE_LIMIT: Duration = Duration::from_secs(2);

/// Hands an HTTP request to the controller's thread and waits for its answer.
pub(crate) fn ask_core(events: &Sender<Event>, request: Request) -> Response {
    let (reply, answer) = sync_channel(1);
    if events.send(Event::Input(Input::Http(request, reply))).is_err() {
        return Response::error(503, "stopping");
    }
    answer.recv_timeout(ANSWER_LIMIT).unwrap_or_else(|_| Response::error(503, "no quorum in time"))
}

/// What reaches the controller's thread.
pub(crate) enum Event {
    /// An input of the controller itself.
    Input(Input),
    /// A connection was accepted on the peer port: its number, and a handle to write to it.
    Opened(u64, TcpStream),
    /// An attempt to connect to another controller has ended; none if it failed.
    Linked(MemberId, Option<PeerConnection>),
}

/// The controller's effects with real sockets, threads and a disk.
///
/// Nothing here blocks the controller's thread, which owns it. Calls that take time run on the
/// worker pool and report to the event queue; they end by their own time limits, so that nobody
/// joins them. Their reports are dropped if the controller has ended meanwhile.
pub(crate) struct SocketTransport {
    /// Accepted connections by number.
    connections: HashMap<u64, PeerConnection>,
    /// Outgoing connections to other controllers.
    links: HashMap<MemberId, PeerLink>,
    /// Where the storage thread takes its writes from.
    storage: Sender<WriteBatch>,
    /// The controller's event queue.
    events: Sender<Event>,
    /// For the threads that call databases and the platform.
    leader_lease: SharedLeaderLease,
}

impl SocketTransport {
    /// A transport without connections. `storage` leads to the storage thread, `events` to the
    /// controller's thread.
    pub(crate) fn new(storage: Sender<WriteBatch>, events: Sender<Event>) -> Self {
        let leader_lease = SharedLeaderLease::default();
        Self { connections: HashMap::new(), links: HashMap::new(), storage, events, leader_lease }
    }
    /// Takes over a connection that was accepted on the peer port.
    pub(crate) fn add_connection(&mut self, conn: u64, stream: TcpStream, now: Tick) {
        self.connections.insert(conn, PeerConnection::new(stream, now));
    }
    /// Forgets an accepted connection that has ended.
    pub(crate) fn remove_connection(&mut self, conn: u64) {
        self.connections.remove(&conn);
    }
    /// Records that a frame came over an accepted connection.
    pub(crate) fn frame_received(&mut self, conn: u64, now: Tick) {
        if let Some(connection) = self.connections.get_mut(&conn) {
            connection.received(now);
        }
    }
    /// Takes over the outcome of an attempt to connect to another controller, if that is still a
    /// member.
    pub(crate) fn finish_dial(&mut self, member: MemberId, connection: Option<PeerConnection>) {
        if let Some(link) = self.links.get_mut(&member) {
            link.dialing = false;
            link.connection = connection;
        }
    }
    /// Whether frames wait for a socket that did not take them at once.
    pub(crate) fn has_pending_writes(&self) -> bool {
        let pending = |connection: &PeerConnection| !connection.queue.is_empty();
        self.connections.values().any(pending)
            || self.links.values().any(|link| link.connection.as_ref().is_some_and(pending))
    }
    /// Closes accepted connections that make no progress. `sends_regularly` says of a connection
    /// whether frames have to go on coming over it.
    pub(crate) fn close_stalled(&mut self, sends_regularly: impl Fn(u64) -> bool, now: Tick) {
        for (conn, connection) in &mut self.connections {
            if connection.is_stalled(sends_regularly(*conn), now) {
                info!(target: "peers", "closed a connection that neither read nor sent");
                connection.close();
            }
        }
    }
    /// Writes what an accepted connection takes; a broken one is closed, and its reader reports it.
    fn flush_connection(&mut self, conn: u64) {
        if let Some(connection) = self.connections.get_mut(&conn)
            && connection.flush().is_err()
        {
            connection.close();
        }
    }
    /// Starts to connect to another controller; `first` is the first frame to be sent there.
    ///
    /// False if there is no thread for it.
    fn dial_controller(&self, to: MemberId, address: SocketAddr, first: Arc<[u8]>) -> bool {
        let events = self.events.clone();
        start_thread(move || {
            let stream = connect_stream(address, PEER_CONNECT_TIMEOUT, UNREACHABLE_LIMIT);
            let connection = stream.ok().map(|stream| {
                let mut connection = PeerConnection::new(stream, Tick::now());
                connection.queue.push(first);
                connection
            });
            let _ = events.send(Event::Linked(to, connection));
        })
    }
}

impl Effects for SocketTransport {
    fn send_raft(&mut self, to: MemberId, address: SocketAddr, message: RaftMessage, now: Tick) {
        let link = self.links.entry(to).or_insert_with(|| PeerLink::new(now));
        let backlog = link.connection.as_ref().map(|c| c.queue.pending_bytes());
        if backlog.is_some_and(|pending| exceeds_backlog(&message.kind, pending)) {
            return;
        }
        let may_dial = !link.dialing && now >= link.next_attempt;
        if backlog.is_none() && !may_dial {
            return;
        }
        let frame = encode(&Frame::Raft { to, message: Box::new(message) });
        if let Some(connection) = &mut link.connection {
            connection.queue.push(frame);
            link.flush();
            return;
        }
        link.next_attempt = now.plus(DIAL_INTERVAL_MS);
        let dialing = self.dial_controller(to, address, frame);
        if let Some(link) = self.links.get_mut(&to) {
            link.dialing = dialing;
        }
    }
    fn retain_peer_links(&mut self, members: &[Member]) {
        self.links.retain(|id, _| members.iter().any(|m| m.id == *id));
    }
    fn start_write(&mut self, batch: WriteBatch) -> bool {
        self.storage.send(batch).is_ok()
    }
    fn request_membership(&mut self, at: SocketAddr, member: Member, was: bool) {
        let events = self.events.clone();
        start_thread(move || {
            let id = member.id;
            // A failure is no answer: the controller asks again soon.
            let answer = request_join(at, member, was).ok();
            drop(events.send(Event::Input(Input::JoinResponse {
                requested_id: id,
                from: at,
                answer,
            })));
        });
    }
    fn set_leader_lease(&mut self, lease: Option<LeaderLease>) {
        self.leader_lease.set(lease);
    }
    fn call_database(
        &mut self,
        service: &ServiceName,
        id: &InstanceId,
        address: SocketAddr,
        ask: DatabaseRequest,
        attempt: Attempt,
    ) -> bool {
        let (events, service, id) = (self.events.clone(), service.clone(), id.clone());
        let leader_lease = self.leader_lease.clone();
        start_thread(move || {
            let leads = || leader_lease.covers(attempt.raft_term, Tick::now());
            let report = |response| {
                let (service, id) = (service.clone(), id.clone());
                let input = Input::DatabaseResponse {
                    service,
                    instance: id,
                    request: ask,
                    attempt,
                    response,
                };
                drop(events.send(Event::Input(input)));
            };
            // Only a description has to tell an unreachable machine from a slow database.
            let connected = || {
                if ask == DatabaseRequest::Describe {
                    report(DatabaseResponse::Connected);
                }
            };
            let database = DatabaseCall { service: &service, id: &id, address, request: ask };
            report(ask_database(&database, connected, leads));
        })
    }
    fn request_promotion(
        &mut self,
        provider: SocketAddr,
        holder: &str,
        service: &ServiceName,
        target: &InstanceId,
        attempt: Attempt,
    ) {
        let (events, holder) = (self.events.clone(), holder.to_owned());
        let (service, target) = (service.clone(), target.clone());
        let report = move |service, target, response| {
            let input = Input::PromotionResponse { service, target, attempt, response };
            drop(events.send(Event::Input(input)));
        };
        let (not_started, names) = (report.clone(), (service.clone(), target.clone()));
        let leader_lease = self.leader_lease.clone();
        let started = start_thread(move || {
            let leads = || leader_lease.covers(attempt.raft_term, Tick::now());
            let fence = attempt.fencing_token();
            let call = PromotionCall { platform: provider, holder: &holder, fence };
            let response = request_promotion(&call, &service, &target, leads);
            report(service, target, response);
        });
        if !started {
            not_started(names.0, names.1, PromotionResponse::NotAttempted);
        }
    }
    fn send(&mut self, conn: u64, frame: Arc<[u8]>) {
        if let Some(connection) = self.connections.get_mut(&conn) {
            connection.queue.push(frame);
            self.flush_connection(conn);
        }
    }
    fn send_first(&mut self, conn: u64, frame: Arc<[u8]>) {
        if let Some(connection) = self.connections.get_mut(&conn) {
            connection.queue.push_first(frame);
        }
    }
    fn queued_bytes(&self, conn: u64) -> Option<usize> {
        self.connections.get(&conn).map(|connection| connection.queue.pending_bytes())
    }
    fn flush(&mut self) -> Vec<u64> {
        self.links.values_mut().for_each(PeerLink::flush);
        let pending =
            self.connections.iter().filter(|(_, connection)| !connection.queue.is_empty());
        let pending: Vec<u64> = pending.map(|(conn, _)| *conn).collect();
        pending.iter().for_each(|conn| self.flush_connection(*conn));
        pending
    }
    fn connection_count(&self) -> usize {
        self.connections.len()
    }
}
