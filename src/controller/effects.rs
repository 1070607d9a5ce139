//! The interface of the controller's step function: `Input` is an event that it handles, `Effects`
//! are its side effects. The process implements the effects with sockets, threads and a disk, the
//! simulation and the tests with queues in virtual time.
use crate::base::ids::{InstanceId, MemberId, ServiceName};
use crate::base::time::Tick;
use crate::controller::leader_lease::LeaderLease;
use crate::failover::{Attempt, DatabaseRequest, DatabaseResponse, PromotionResponse};
use crate::net::http::{Request, Response};
use crate::net::rpc::Frame;
use crate::net::rpc::raft_messages::{JoinResponse, Member, RaftMessage};
use crate::raft::storage::StorageError;
use crate::raft::storage::WriteBatch;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::mpsc::SyncSender;

/// An event that a controller handles.
pub enum Input {
    /// A frame received on the peer port, with the number of its connection.
    Frame(u64, Frame),
    /// The newest frame layout that a controller can read. Precedes each frame that names the
    /// controller.
    PeerLayout(MemberId, u8),
    /// The newest frame layout that the node on this connection can read. Precedes its `Hello`.
    NodeLayout(u64, u8),
    /// A connection on the peer port was closed.
    Closed(u64),
    /// A call on the admin address, and the channel for its response.
    AdminRequest(Request, SyncSender<Response>),
    /// The result of `Effects::call_database`.
    DatabaseResponse {
        /// The service of the database.
        service: ServiceName,
        /// The database.
        instance: InstanceId,
        /// The request that was made.
        request: DatabaseRequest,
        /// The failover attempt that made the request.
        attempt: Attempt,
        /// Its response, or the reason why there is none.
        response: DatabaseResponse,
    },
    /// The result of `Effects::request_promotion`.
    PromotionResponse {
        /// The service that needs a new primary.
        service: ServiceName,
        /// The instance to be promoted.
        target: InstanceId,
        /// The failover attempt that made the request.
        attempt: Attempt,
        /// The platform's response, or the reason why there is none.
        response: PromotionResponse,
    },
    /// The result of `Effects::request_membership`.
    JoinResponse {
        /// The member id in the request.
        requested_id: MemberId,
        /// Peer address of the controller to which the request was sent.
        from: SocketAddr,
        /// Its response, or `None` if it could not be reached.
        response: Option<JoinResponse>,
    },
    /// The write in flight has succeeded or failed.
    WriteFinished(Result<(), StorageError>),
}

/// The side effects of a controller. No method blocks.
pub trait Effects {
    /// Sends a Raft message to another controller. The message may be dropped: Raft retries.
    fn send_raft(&mut self, to: MemberId, address: SocketAddr, message: RaftMessage, now: Tick);
    /// Closes the connections to controllers that are not in `members`.
    fn retain_peer_links(&mut self, members: &[Member]);
    /// Starts a write; `Input::WriteFinished` follows. Returns false if the storage thread
    /// has exited.
    fn start_write(&mut self, batch: WriteBatch) -> bool;
    /// Requests membership for `member` from a controller, or with `was_member` asks whether
    /// `member` is still a member. `Input::JoinResponse` follows.
    fn request_membership(&mut self, address: SocketAddr, member: Member, was_member: bool);
    /// Sets the time until which this controller is guaranteed to be the leader, if it is. Requests
    /// made in a term are discarded if its lease has ended when they are about to be sent.
    fn set_leader_lease(&mut self, lease: Option<LeaderLease>);
    /// Sends a request to a database. Returns whether it was started; if so,
    /// `Input::DatabaseResponse` follows.
    fn call_database(
        &mut self,
        service: &ServiceName,
        instance: &InstanceId,
        address: SocketAddr,
        request: DatabaseRequest,
        attempt: Attempt,
    ) -> bool;
    /// Requests the platform to promote `target`, on behalf of the leader `leader_name`.
    /// `Input::PromotionResponse` follows.
    fn request_promotion(
        &mut self,
        platform: SocketAddr,
        leader_name: &str,
        service: &ServiceName,
        target: &InstanceId,
        attempt: Attempt,
    );
    /// Appends a frame to the send queue of a connection on the peer port.
    fn send(&mut self, conn: u64, frame: Arc<[u8]>);
    /// Queues a frame ahead of all queued frames of which no byte has been sent yet.
    fn send_first(&mut self, conn: u64, frame: Arc<[u8]>);
    /// Returns the number of bytes queued on a connection, or `None` if it is closed.
    fn queued_bytes(&self, conn: u64) -> Option<usize>;
    /// Continues sending queued frames. Returns the connections on the peer port that had any.
    fn flush(&mut self) -> Vec<u64>;
    /// Returns the number of connections on the peer port.
    fn connection_count(&self) -> usize;
}
