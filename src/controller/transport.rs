//! The controller's effects with real sockets, threads and a disk.
use crate::base::ids::{InstanceId, MemberId, ServiceName};
use crate::base::time::Tick;
use crate::base::worker_pool::start_thread;
use crate::controller::effects::{Effects, Input};
use crate::controller::outgoing_calls::{ask_database, ask_standing, post_failover};
use crate::controller::peer_connections::{PeerConnection, PeerLink, left_out};
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
                info!(target: "peers", "closed a connection that neither read nor sent");
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
                let stream = connect_stream(address, PEER_CONNECT_TIMEOUT, Duration::from_secs(2));
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
    fn retain_peer_links(&mut self, members: &[Member]) {
        self.links.retain(|id, _| members.iter().any(|m| m.id == *id));
    }
    fn start_write(&mut self, batch: WriteBatch) -> bool {
        self.storage_thread.send(batch).is_ok()
    }
    fn request_membership(&mut self, at: SocketAddr, member: Member, was: bool) {
        let tx = self.tx.clone();
        start_thread(move || {
            let me = member.id;
            // Asked again soon; one that is down is no reason to stop.
            let answer = ask_standing(at, member, was).ok();
            drop(tx.send(Event::Input(Input::JoinResponse { requested_id: me, from: at, answer })));
        });
    }
    fn call_database(
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
                    let told = Input::DatabaseResponse {
                        service,
                        instance: id,
                        request: ask,
                        attempt,
                        response: DatabaseResponse::Connected,
                    };
                    drop(tx.send(Event::Input(told)));
                }
            };
            let told = ask_database(&service, &id, address, ask, reached);
            // The core may have ended meanwhile.
            drop(tx.send(Event::Input(Input::DatabaseResponse {
                service,
                instance: id,
                request: ask,
                attempt,
                response: told,
            })));
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
        let (tx, holder) = (self.tx.clone(), holder.to_owned());
        let (service, target) = (service.clone(), target.clone());
        let again = (self.tx.clone(), service.clone(), target.clone());
        let started = start_thread(move || {
            let posted =
                post_failover(provider, &holder, attempt.fencing_token(), &service, &target);
            // The core may have ended meanwhile.
            drop(tx.send(Event::Input(Input::PromotionResponse {
                service,
                target,
                attempt,
                response: posted,
            })));
        });
        if !started {
            let (tx, service, target) = again;
            let busy = Input::PromotionResponse {
                service,
                target,
                attempt,
                response: PromotionResponse::NotAttempted,
            };
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
    fn queued_bytes(&self, conn: u64) -> Option<usize> {
        self.conns.get(&conn).map(|l| l.out.waiting())
    }
    fn flush(&mut self) -> Vec<u64> {
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
    fn connection_count(&self) -> usize {
        self.conns.len()
    }
}
