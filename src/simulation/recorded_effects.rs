//! What a controller wants done, recorded until the world does it.
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

/// What a controller wants done, until the world does it.
#[derive(Default)]
pub(super) struct RecordedEffects {
    pub(super) raft: Vec<(SocketAddr, MemberId, RaftMessage)>,
    pub(super) batch: Option<WriteBatch>,
    pub(super) standing: Vec<(SocketAddr, Member, bool)>,
    pub(super) asks: Vec<(ServiceName, InstanceId, DatabaseRequest, Attempt)>,
    pub(super) posts: Vec<(ServiceName, InstanceId, Attempt)>,
    pub(super) frames: VecDeque<(u64, Arc<[u8]>)>,
    pub(super) open: BTreeSet<u64>,
    pub(super) leader_lease: Option<LeaderLease>,
}

impl Effects for RecordedEffects {
    fn send_raft(&mut self, to: MemberId, address: SocketAddr, message: RaftMessage, _: Tick) {
        self.raft.push((address, to, message));
    }
    fn retain_peer_links(&mut self, _: &[Member]) {}
    fn start_write(&mut self, batch: WriteBatch) -> bool {
        self.batch = Some(batch);
        true
    }
    fn request_membership(&mut self, at: SocketAddr, member: Member, was: bool) {
        self.standing.push((at, member, was));
    }
    fn set_leader_lease(&mut self, lease: Option<LeaderLease>) {
        self.leader_lease = lease;
    }
    fn call_database(
        &mut self,
        service: &ServiceName,
        id: &InstanceId,
        _: SocketAddr,
        ask: DatabaseRequest,
        attempt: Attempt,
    ) -> bool {
        self.asks.push((service.clone(), id.clone(), ask, attempt));
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
        self.posts.push((service.clone(), target.clone(), attempt));
    }
    fn send(&mut self, conn: u64, frame: Arc<[u8]>) {
        self.frames.push_back((conn, frame));
    }
    fn send_first(&mut self, conn: u64, frame: Arc<[u8]>) {
        self.frames.push_front((conn, frame));
    }
    fn queued_bytes(&self, conn: u64) -> Option<usize> {
        self.open.contains(&conn).then_some(0)
    }
    fn flush(&mut self) -> Vec<u64> {
        Vec::new()
    }
    fn connection_count(&self) -> usize {
        self.open.len()
    }
}
