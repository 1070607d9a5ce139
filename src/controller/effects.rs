//! What reaches a controller, and what it does to the world outside.
use crate::base::ids::{InstanceId, MemberId, ServiceName};
use crate::base::time::Tick;
use crate::failover::{Attempt, DatabaseRequest, DatabaseResponse, PromotionResponse};
use crate::net::http::{Request, Response};
use crate::net::rpc::Frame;
use crate::net::rpc::raft_messages::{JoinResponse, Member, RaftMessage};
use crate::raft::storage::WriteBatch;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::mpsc::SyncSender;

/// What reaches a controller.
pub enum Input {
    /// What came over a connection on the peer port.
    Frame(u64, Frame),
    /// The layout that a controller reads, ahead of each frame that names it.
    PeerLayout(MemberId, u8),
    Closed(u64),
    Http(Request, SyncSender<Response>),
    DatabaseResponse(ServiceName, InstanceId, DatabaseRequest, Attempt, DatabaseResponse),
    PromotionResponse(ServiceName, InstanceId, Attempt, PromotionResponse),
    /// What a controller said to the wish to join, or to the question whether this id still belongs.
    JoinResponse(MemberId, SocketAddr, Option<JoinResponse>),
    /// The write under way has ended, with its error if it failed.
    Saved(Result<(), String>),
}

/// What a controller does to the world outside. The program does it with sockets, threads and a disk, the
/// model in the tests with queues in virtual time. Nothing here waits.
pub trait Effects {
    /// Sends another controller a consensus message, or drops it: the Raft group asks again for what got lost.
    fn send_raft(&mut self, to: MemberId, address: SocketAddr, message: RaftMessage, now: Tick);
    /// Connections to all others are of no use any more.
    fn keep_links(&mut self, members: &[Member]);
    /// Starts to write; `Input::Saved` follows. False if nothing writes any more.
    fn write(&mut self, batch: WriteBatch) -> bool;
    /// Asks a controller to be taken in, or whether one still belongs; `Input::Standing` follows.
    fn ask_standing(&mut self, at: SocketAddr, member: Member, was: bool);
    /// Asks a database one thing; `Input::Told` follows, unless this is false.
    fn ask_database(
        &mut self,
        service: &ServiceName,
        id: &InstanceId,
        address: SocketAddr,
        ask: DatabaseRequest,
        attempt: Attempt,
    ) -> bool;
    /// Calls the platform; `Input::Posted` follows.
    fn post_failover(
        &mut self,
        provider: SocketAddr,
        holder: &str,
        service: &ServiceName,
        target: &InstanceId,
        attempt: Attempt,
    );
    /// Sends a frame over a connection on the peer port, behind all that waits there.
    fn send(&mut self, conn: u64, frame: Arc<[u8]>);
    /// The same, ahead of all that has not begun to leave.
    fn send_first(&mut self, conn: u64, frame: Arc<[u8]>);
    /// How many bytes wait to leave over a connection; none if it has ended.
    fn waiting(&self, conn: u64) -> Option<usize>;
    /// Goes on with the peers that did not take everything at once; gives the connections among them.
    fn pump(&mut self) -> Vec<u64>;
    /// How many connections there are on the peer port.
    fn peers(&self) -> usize;
}
