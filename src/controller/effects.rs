//! The boundary of the controller's step: `Input` is what reaches a controller, `Effects` what it
//! does to the world outside. The process carries effects out with sockets, threads and a disk, the
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

/// What reaches a controller.
pub enum Input {
    /// A frame from a connection on the peer port, and the number of the connection.
    Frame(u64, Frame),
    /// The newest frame layout that a controller can read, ahead of each frame that names it.
    PeerLayout(MemberId, u8),
    /// The newest frame layout that the node on this connection can read, ahead of its greeting.
    NodeLayout(u64, u8),
    /// A connection on the peer port has ended.
    Closed(u64),
    /// A call on the admin address, and where its answer goes.
    Http(Request, SyncSender<Response>),
    /// What came of `Effects::call_database`.
    DatabaseResponse {
        /// The service of the database.
        service: ServiceName,
        /// The database.
        instance: InstanceId,
        /// What it was asked.
        request: DatabaseRequest,
        /// The failover attempt that asked.
        attempt: Attempt,
        /// What it answered, or why it did not.
        response: DatabaseResponse,
    },
    /// What came of `Effects::request_promotion`.
    PromotionResponse {
        /// The service that is to get a new primary.
        service: ServiceName,
        /// The instance to be promoted.
        target: InstanceId,
        /// The failover attempt that asked.
        attempt: Attempt,
        /// What the platform answered, or that it did not.
        response: PromotionResponse,
    },
    /// What came of `Effects::request_membership`.
    JoinResponse {
        /// The member id that the request named.
        requested_id: MemberId,
        /// Peer address of the controller that was asked.
        from: SocketAddr,
        /// Its answer; none if it could not be reached.
        answer: Option<JoinResponse>,
    },
    /// The write in flight has ended, with its error if it failed.
    Saved(Result<(), StorageError>),
}

/// What a controller does to the world outside. No method waits.
pub trait Effects {
    /// Sends a Raft message to another controller, or drops it: Raft retries what gets lost.
    fn send_raft(&mut self, to: MemberId, address: SocketAddr, message: RaftMessage, now: Tick);
    /// Closes the connections to controllers that are not in `members`.
    fn retain_peer_links(&mut self, members: &[Member]);
    /// Starts a write; `Input::Saved` follows. False if the storage thread has ended.
    fn start_write(&mut self, batch: WriteBatch) -> bool;
    /// Asks a controller for membership, or with `was_member` whether `member` still is one;
    /// `Input::JoinResponse` follows.
    fn request_membership(&mut self, address: SocketAddr, member: Member, was_member: bool);
    /// Sets until when this controller certainly leads, if it does. What is called for in a term is
    /// given up if that has ended when the bytes would leave.
    fn set_leader_lease(&mut self, lease: Option<LeaderLease>);
    /// Sends a database a request; `Input::DatabaseResponse` follows, unless this is false.
    fn call_database(
        &mut self,
        service: &ServiceName,
        instance: &InstanceId,
        address: SocketAddr,
        request: DatabaseRequest,
        attempt: Attempt,
    ) -> bool;
    /// Calls the platform at `provider` to promote `target`, in the name of `holder`;
    /// `Input::PromotionResponse` follows.
    fn request_promotion(
        &mut self,
        provider: SocketAddr,
        holder: &str,
        service: &ServiceName,
        target: &InstanceId,
        attempt: Attempt,
    );
    /// Queues a frame on a connection of the peer port, behind all that is queued there.
    fn send(&mut self, conn: u64, frame: Arc<[u8]>);
    /// Queues a frame ahead of all of which no byte has been sent.
    fn send_first(&mut self, conn: u64, frame: Arc<[u8]>);
    /// Bytes queued on a connection; none if it has ended.
    fn queued_bytes(&self, conn: u64) -> Option<usize>;
    /// Sends more of what is queued; returns the connections of the peer port that had any.
    fn flush(&mut self) -> Vec<u64>;
    /// The number of connections on the peer port.
    fn connection_count(&self) -> usize;
}
