//! Records the effects that a controller requests, until the simulation performs them.
use crate::base::ids::{InstanceId, MemberId, ServiceName};
use crate::base::time::Tick;
use crate::controller::effects::Effects;
use crate::controller::leader_lease::LeaderLease;
use crate::failover::{Attempt, DatabaseRequest};
use crate::net::rpc::raft_messages::{Member, RaftMessage};
use crate::raft::storage::WriteBatch;
use std::collections::{BTreeSet, VecDeque};
use std::net::SocketAddr;
use std::sync::Arc;

/// The effects that a controller requested in a step and that the simulation has yet to perform.
#[derive(Default)]
pub(super) struct RecordedEffects {
    pub(super) raft_messages: Vec<(SocketAddr, MemberId, RaftMessage)>,
    pub(super) write_batch: Option<WriteBatch>,
    /// The address to ask, the member that asks, and whether it was a member before.
    pub(super) join_requests: Vec<(SocketAddr, Member, bool)>,
    pub(super) database_requests: Vec<(ServiceName, InstanceId, DatabaseRequest, Attempt)>,
    pub(super) promotion_requests: Vec<(ServiceName, InstanceId, Attempt)>,
    /// Encoded frames to send, each with its connection.
    pub(super) frames: VecDeque<(u64, Arc<[u8]>)>,
    /// The connections that are open now; kept from step to step.
    pub(super) open_connections: BTreeSet<u64>,
    pub(super) leader_lease: Option<LeaderLease>,
}

impl Effects for RecordedEffects {
    fn send_raft(&mut self, to: MemberId, address: SocketAddr, message: RaftMessage, _: Tick) {
        self.raft_messages.push((address, to, message));
    }
    fn retain_peer_links(&mut self, _: &[Member]) {}
    fn start_write(&mut self, batch: WriteBatch) -> bool {
        self.write_batch = Some(batch);
        true
    }
    fn request_membership(&mut self, address: SocketAddr, member: Member, was_member: bool) {
        self.join_requests.push((address, member, was_member));
    }
    fn set_leader_lease(&mut self, lease: Option<LeaderLease>) {
        self.leader_lease = lease;
    }
    fn call_database(
        &mut self,
        service: &ServiceName,
        id: &InstanceId,
        _: SocketAddr,
        request: DatabaseRequest,
        attempt: Attempt,
    ) -> bool {
        self.database_requests.push((service.clone(), id.clone(), request, attempt));
        true
    }
    fn request_promotion(
        &mut self,
        _: SocketAddr,
        _: &str,
        service: &ServiceName,
        target: &InstanceId,
        attempt: Attempt,
    ) {
        self.promotion_requests.push((service.clone(), target.clone(), attempt));
    }
    fn send(&mut self, connection: u64, frame: Arc<[u8]>) {
        self.frames.push_back((connection, frame));
    }
    fn send_first(&mut self, connection: u64, frame: Arc<[u8]>) {
        self.frames.push_front((connection, frame));
    }
    fn queued_bytes(&self, connection: u64) -> Option<usize> {
        self.open_connections.contains(&connection).then_some(0)
    }
    fn flush(&mut self) -> Vec<u64> {
        Vec::new()
    }
    fn connection_count(&self) -> usize {
        self.open_connections.len()
    }
}
