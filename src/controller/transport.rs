//! The production implementation of the controller's effects, with sockets, threads and a disk, and
//! the events of the controller's thread.
//!
//! The process creates one `SocketTransport` for its controller. The controller uses it only
//! through the `Effects` trait, which the simulation also implements.
use crate::base::ids::{InstanceId, MemberId, ServiceName};
use crate::base::time::Tick;
use crate::base::worker_pool::start_thread;
use crate::controller::effects::{Effects, Input};
use crate::controller::leader_lease::{LeaderLease, SharedLeaderLease};
use crate::controller::outgoing_calls::{
    DatabaseCall, PromotionCall, call_database, request_join, request_promotion,
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

/// Time-out for the controller's response to an HTTP request. Callers wait somewhat longer.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(4);

/// Milliseconds between two attempts to connect to a controller.
const DIAL_RETRY_INTERVAL_MS: u64 = 100;

/// Time after which TCP drops a link with unacknowledged data.
const UNACKNOWLEDGED_TIMEOUT: Duration = Duration::from_secs(2);

/// Passes an admin request to the controller's thread and waits for the response.
pub(crate) fn submit_admin_request(events: &Sender<Event>, request: Request) -> Response {
    let (reply, response) = sync_channel(1);
    if events.send(Event::Input(Input::AdminRequest(request, reply))).is_err() {
        return Response::error(503, "stopping");
    }
    response
        .recv_timeout(RESPONSE_TIMEOUT)
        .unwrap_or_else(|_| Response::error(503, "no quorum in time"))
}

/// An event for the controller's thread.
pub(crate) enum Event {
    /// An input for the controller itself.
    Input(Input),
    /// A connection was accepted on the peer port: its number and a handle for writing to it.
    Accepted(u64, TcpStream),
    /// An attempt to connect to another controller has ended. `None` if it failed.
    DialFinished(MemberId, Option<PeerConnection>),
}

/// The controller's effects with sockets, threads and a disk.
///
/// The controller's thread owns this value, and no method blocks it. Slow calls run on the worker
/// pool and report to the event queue. They are never joined, as their time-outs end them; their
/// reports are dropped if the controller has ended.
pub(crate) struct SocketTransport {
    /// Accepted connections by number.
    connections: HashMap<u64, PeerConnection>,
    /// Outgoing connections to other controllers.
    links: HashMap<MemberId, PeerLink>,
    /// The queue of writes for the storage thread.
    storage: Sender<WriteBatch>,
    /// The controller's event queue.
    events: Sender<Event>,
    /// Shared with the threads that call databases and the platform.
    leader_lease: SharedLeaderLease,
}

impl SocketTransport {
    /// Creates a transport without connections. `storage` sends to the storage thread, `events` to
    /// the controller's thread.
    pub(crate) fn new(storage: Sender<WriteBatch>, events: Sender<Event>) -> Self {
        let leader_lease = SharedLeaderLease::default();
        Self { connections: HashMap::new(), links: HashMap::new(), storage, events, leader_lease }
    }
    /// Adds a connection accepted on the peer port.
    pub(crate) fn add_connection(&mut self, conn: u64, stream: TcpStream, now: Tick) {
        self.connections.insert(conn, PeerConnection::new(stream, now));
    }
    /// Removes an accepted connection that has ended.
    pub(crate) fn remove_connection(&mut self, conn: u64) {
        self.connections.remove(&conn);
    }
    /// Records that a frame was received on an accepted connection.
    pub(crate) fn frame_received(&mut self, conn: u64, now: Tick) {
        if let Some(connection) = self.connections.get_mut(&conn) {
            connection.received(now);
        }
    }
    /// Records the result of an attempt to connect to another controller, if that is still a
    /// member.
    pub(crate) fn finish_dial(&mut self, member: MemberId, connection: Option<PeerConnection>) {
        if let Some(link) = self.links.get_mut(&member) {
            link.dialing = false;
            link.connection = connection;
        }
    }
    /// Whether any frames are queued because a socket did not accept them immediately.
    pub(crate) fn has_pending_writes(&self) -> bool {
        let pending = |connection: &PeerConnection| !connection.queue.is_empty();
        self.connections.values().any(pending)
            || self.links.values().any(|link| link.connection.as_ref().is_some_and(pending))
    }
    /// Closes accepted connections that make no progress. `sends_regularly` tells whether the peer
    /// on a connection has to keep sending frames.
    pub(crate) fn close_stalled(&mut self, sends_regularly: impl Fn(u64) -> bool, now: Tick) {
        for (conn, connection) in &mut self.connections {
            if connection.is_stalled(sends_regularly(*conn), now) {
                info!(
                    target: "peers",
                    "closed connection {conn}: the peer neither read nor sent for too long"
                );
                connection.close();
            }
        }
    }
    /// Writes what an accepted connection can take. A broken connection is closed, which its reader
    /// thread reports.
    fn flush_connection(&mut self, conn: u64) {
        if let Some(connection) = self.connections.get_mut(&conn)
            && connection.flush().is_err()
        {
            connection.close();
        }
    }
    /// Starts to connect to another controller. `first` is the first frame to send.
    ///
    /// Returns false if no thread is available.
    fn dial_controller(&self, to: MemberId, address: SocketAddr, first: Arc<[u8]>) -> bool {
        let events = self.events.clone();
        start_thread(move || {
            let stream = connect_stream(address, PEER_CONNECT_TIMEOUT, UNACKNOWLEDGED_TIMEOUT);
            let connection = stream.ok().map(|stream| {
                let mut connection = PeerConnection::new(stream, Tick::now());
                connection.queue.push(first);
                connection
            });
            let _ = events.send(Event::DialFinished(to, connection));
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
        let may_dial = !link.dialing && now >= link.next_dial_at;
        if backlog.is_none() && !may_dial {
            return;
        }
        let frame = encode(&Frame::Raft { to, message: Box::new(message) });
        if let Some(connection) = &mut link.connection {
            connection.queue.push(frame);
            link.flush();
            return;
        }
        link.next_dial_at = now.plus(DIAL_RETRY_INTERVAL_MS);
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
    fn request_membership(&mut self, address: SocketAddr, member: Member, was_member: bool) {
        let events = self.events.clone();
        start_thread(move || {
            let id = member.id;
            // A failed request counts as unanswered: the controller soon retries.
            let response = request_join(address, member, was_member).ok();
            drop(events.send(Event::Input(Input::JoinResponse {
                requested_id: id,
                from: address,
                response,
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
        request: DatabaseRequest,
        attempt: Attempt,
    ) -> bool {
        let (events, service, id) = (self.events.clone(), service.clone(), id.clone());
        let leader_lease = self.leader_lease.clone();
        start_thread(move || {
            let leads = || leader_lease.covers(attempt.raft_term, Tick::now());
            let report = |response| {
                let (service, id) = (service.clone(), id.clone());
                let input =
                    Input::DatabaseResponse { service, instance: id, request, attempt, response };
                drop(events.send(Event::Input(input)));
            };
            // Only for a description does it matter whether the machine is unreachable or the
            // database is slow.
            let connected = || {
                if request == DatabaseRequest::Describe {
                    report(DatabaseResponse::Connected);
                }
            };
            let call = DatabaseCall { service: &service, id: &id, address, request };
            report(call_database(&call, connected, leads));
        })
    }
    fn request_promotion(
        &mut self,
        platform: SocketAddr,
        leader_name: &str,
        service: &ServiceName,
        target: &InstanceId,
        attempt: Attempt,
    ) {
        let (events, leader_name) = (self.events.clone(), leader_name.to_owned());
        let (service, target) = (service.clone(), target.clone());
        let report = move |service, target, response| {
            let input = Input::PromotionResponse { service, target, attempt, response };
            drop(events.send(Event::Input(input)));
        };
        let (report_not_started, names) = (report.clone(), (service.clone(), target.clone()));
        let leader_lease = self.leader_lease.clone();
        let started = start_thread(move || {
            let leads = || leader_lease.covers(attempt.raft_term, Tick::now());
            let fencing_token = attempt.fencing_token();
            let call = PromotionCall { platform, leader_name: &leader_name, fencing_token };
            let response = request_promotion(&call, &service, &target, leads);
            report(service, target, response);
        });
        if !started {
            report_not_started(names.0, names.1, PromotionResponse::NotAttempted);
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
