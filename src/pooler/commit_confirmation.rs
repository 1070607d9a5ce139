//! Decides whether a commit that the primary acknowledged may be forwarded to its client.
//!
//! The primary acknowledges a commit once `sync_replicas` replicas have received it, whether or not
//! the controllers know them. A lost primary is replaced according to the positions of the replicas
//! that the controllers know. So a commit is forwarded only once that many *listed* replicas are
//! known to have received it, and during a handover once its target has received it as well.
//!
//! The types do no I/O and get the time as a parameter. `commit_forwarding` sends the queries.
use crate::base::ids::{DbTerm, InstanceId, Position};
use crate::base::time::Tick;
use crate::net::rpc::pooler_messages::Handover;
use crate::net::statement_protocol::ServerDescription;
use std::collections::BTreeMap;

/// How long a query may take in ms before another replica is queried as well.
const HEDGE_DELAY_MS: u64 = 50;

/// The timeout in ms of a query, including the wait for a connection. It doubles with each
/// consecutive failure of the replica.
const QUERY_TIMEOUT_MS: u64 = 150;

/// The pause in ms before a replica that does not have the commit is queried again. It doubles with
/// each consecutive failure of the replica.
const QUERY_RETRY_MS: u64 = 10;

/// The timeout and the pause double at most this many times.
const MAX_DOUBLINGS: u32 = 3;

/// A commit that the primary of `term` acknowledged.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AcknowledgedCommit {
    /// The term under which the primary is used.
    pub term: DbTerm,
    /// The position in the primary's reply. A commit without one can't be confirmed.
    pub position: Option<Position>,
}

/// Whether a commit that the primary acknowledged may be forwarded to its client.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CommitDecision {
    /// The commit may be forwarded.
    Forward,
    /// Too few replicas are known to have the commit. The caller has to query this one, and pass
    /// the result to [`CommitConfirmation::record_query`].
    Query(ReplicaQuery),
    /// Too few replicas are known to have the commit. Others are being queried, or none is to be
    /// queried yet.
    Wait,
}

/// A query of a replica for the position that it has received.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReplicaQuery {
    /// The replica.
    pub replica: InstanceId,
    /// The commit that the query has to confirm.
    pub commit: AcknowledgedCommit,
    /// The time in ms after which the query is given up.
    pub timeout_ms: u64,
}

/// What is known of one replica.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
struct ReplicaProgress {
    /// It has received all commits up to this position.
    received: Option<Position>,
    /// When the query in flight began.
    queried_at: Option<Tick>,
    /// No further query begins before this tick.
    next_query_at: Tick,
    /// The number of queries since the last one that was answered with a higher position.
    failures: u32,
}

impl ReplicaProgress {
    fn doublings(&self) -> u32 {
        self.failures.min(MAX_DOUBLINGS)
    }

    fn has_received(&self, position: Option<Position>) -> bool {
        position.is_some() && position <= self.received
    }

    /// Whether a query is in flight that may still be answered soon.
    fn reply_is_expected(&self, now: Tick) -> bool {
        self.queried_at.is_some_and(|at| now.since(at) < HEDGE_DELAY_MS)
    }

    fn may_be_queried(&self, now: Tick) -> bool {
        self.queried_at.is_none() && now >= self.next_query_at
    }
}

/// The replicas of a service that have received its commits, and which of them have to.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct CommitConfirmation {
    /// The number of listed replicas that must have received a commit.
    sync_replicas: u32,
    /// The handover that the leader announced, until it grants a lease without one.
    handover: Option<Handover>,
    replicas: BTreeMap<InstanceId, ReplicaProgress>,
    /// The replica that last confirmed a commit; it is queried first.
    preferred: Option<InstanceId>,
}

impl CommitConfirmation {
    /// Sets the number of listed replicas that must have received a commit before it is forwarded.
    pub fn set_sync_replicas(&mut self, sync_replicas: u32) {
        self.sync_replicas = sync_replicas;
    }

    /// Begins a handover: its target must have received a commit before it is forwarded. Returns
    /// false if it has begun already.
    pub fn begin_handover(&mut self, handover: Handover) -> bool {
        let begins = self.handover.as_ref() != Some(&handover);
        self.handover = Some(handover);
        begins
    }

    /// Ends the handover, if there is one.
    pub fn end_handover(&mut self) {
        self.handover = None;
    }

    /// Decides whether a commit may be forwarded. `listed` are the replicas in the directory, in
    /// the order in which they should be queried.
    pub fn decide(
        &mut self,
        commit: AcknowledgedCommit,
        listed: &[InstanceId],
        now: Tick,
    ) -> CommitDecision {
        let target = self.missing_target(commit);
        let lacking: Vec<&InstanceId> =
            listed.iter().filter(|id| !self.has_received(id, commit.position)).collect();
        let holders = listed.len() - lacking.len();
        let missing = (self.sync_replicas as usize).saturating_sub(holders);
        let replica = match target {
            None if missing == 0 => return CommitDecision::Forward,
            Some(target) => self.next_to_query(&[&target], 1, now).cloned(),
            None => self.next_to_query(&lacking, missing, now).cloned(),
        };
        let Some(replica) = replica else { return CommitDecision::Wait };
        self.replicas.retain(|id, progress| progress.queried_at.is_some() || listed.contains(id));
        let progress = self.replicas.entry(replica.clone()).or_default();
        progress.queried_at = Some(now);
        let timeout_ms = QUERY_TIMEOUT_MS << progress.doublings();
        CommitDecision::Query(ReplicaQuery { replica, commit, timeout_ms })
    }

    /// Ends a query that [`CommitDecision::Query`] asked for, and records the replica's description
    /// of itself. It is `None` if the replica did not reply, or if it is no longer listed or the
    /// lease on the term of the commit is no longer held. Returns whether more is known than before.
    pub fn record_query(
        &mut self,
        query: &ReplicaQuery,
        description: Option<&ServerDescription>,
        now: Tick,
    ) -> bool {
        let AcknowledgedCommit { term, position } = query.commit;
        // Positions of a primary, and those of a newer term, can't be compared with the commit's.
        let replica = description.filter(|d| !d.primary && d.received.term <= term);
        let received = replica.map(|description| description.received);
        let progress = self.replicas.entry(query.replica.clone()).or_default();
        progress.queried_at = None;
        let advanced = received > progress.received;
        progress.received = progress.received.max(received);
        let confirmed = progress.has_received(position);
        progress.failures = if advanced || confirmed { 0 } else { progress.failures + 1 };
        if confirmed {
            progress.next_query_at = now;
            self.preferred = Some(query.replica.clone());
        } else {
            progress.next_query_at = now.plus(QUERY_RETRY_MS << progress.doublings());
            self.preferred.take_if(|preferred| *preferred == query.replica);
        }
        advanced
    }

    /// The target of the handover, if the commit has to wait for it. A handover covers its own term
    /// and all earlier ones.
    fn missing_target(&self, commit: AcknowledgedCommit) -> Option<InstanceId> {
        let handover = self.handover.as_ref().filter(|h| commit.term <= h.term)?;
        let missing = !self.has_received(&handover.target, commit.position);
        missing.then(|| handover.target.clone())
    }

    fn has_received(&self, replica: &InstanceId, position: Option<Position>) -> bool {
        self.replicas.get(replica).is_some_and(|progress| progress.has_received(position))
    }

    /// The candidate to query next, unless the queries in flight may suffice for the number of
    /// replicas that are missing.
    fn next_to_query<'a>(
        &self,
        candidates: &[&'a InstanceId],
        missing: usize,
        now: Tick,
    ) -> Option<&'a InstanceId> {
        let progress = |id: &InstanceId| self.replicas.get(id).cloned().unwrap_or_default();
        let expected = candidates.iter().filter(|id| progress(id).reply_is_expected(now)).count();
        if expected >= missing {
            return None;
        }
        candidates
            .iter()
            .filter(|id| progress(id).may_be_queried(now))
            .min_by_key(|id| (self.preferred.as_ref() != Some(**id), progress(id).failures))
            .copied()
    }
}
