//! Decides whether a commit that the primary acknowledged may be forwarded to its client.
//!
//! The primary acknowledges a commit once `sync_replicas` replicas have received it, whether or not
//! the controllers know them. A lost primary is replaced according to the positions of the replicas
//! that the controllers know. So a commit is forwarded only once that many *listed* replicas are
//! known to have received it, and during a handover once its target has received it as well.
//!
//! A replica is first asked for its description, which tells its role. Later it is only asked whether
//! it has a position, by a `BEGIN` behind `WAITFOR`, which takes no slot of the database. It answers
//! that it has not until it has applied the position. So one that applies late is asked for its
//! description again, which tells what it has received. The position in each reply of a replica, also
//! to a client's read, counts as well.
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

/// The pause in ms before a replica that did not reply is queried again. It doubles with each
/// consecutive failure of the replica.
const QUERY_RETRY_MS: u64 = 10;

/// The pause in ms before any replica is queried after one that did not have the commit yet: most
/// replicas apply a commit some milliseconds later. It doubles with each consecutive such reply from
/// the third on.
const LACKING_RETRY_MS: u64 = 8;

/// The timeout and the pauses double at most this many times.
const MAX_DOUBLINGS: u32 = 3;

/// The time in ms for which a commit waits before replicas are asked for their descriptions.
const LATE_AFTER_MS: u64 = 100;

/// The time in ms for which a replica that applied a position late is asked for its description
/// only.
const LATE_REPLICA_MS: u64 = 1_000;

/// A commit that the primary of `term` acknowledged.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AcknowledgedCommit {
    /// The term under which the primary is used.
    pub term: DbTerm,
    /// The position in the primary's reply. A commit without one can't be confirmed.
    pub position: Option<Position>,
    /// When the primary's reply arrived.
    pub acknowledged_at: Tick,
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

/// What a replica is asked.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReplicaQuestion {
    /// For its description of itself, with the position that it has received.
    Describe,
    /// Whether its log has this position.
    HasPosition(Position),
}

/// A replica's reply to a [`ReplicaQuestion`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ReplicaReply {
    /// Its description of itself.
    Description(ServerDescription),
    /// Whether it has applied the position that it was asked for.
    Position {
        /// Whether it has.
        reached: bool,
        /// The position that it has applied.
        applied: Position,
    },
}

/// A query of a replica.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReplicaQuery {
    /// The replica.
    pub replica: InstanceId,
    /// The commit that the query has to confirm.
    pub commit: AcknowledgedCommit,
    /// What the replica is asked.
    pub question: ReplicaQuestion,
    /// The time in ms after which the query is given up.
    pub timeout_ms: u64,
}

/// What is known of one replica.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
struct ReplicaProgress {
    /// It has received all commits up to this position.
    received: Option<Position>,
    /// The newest term in which it described itself as a replica. It can't become the primary of
    /// that term any more, since a promotion begins another one.
    replica_in: Option<DbTerm>,
    /// Until this tick it is only asked for its description, because it applied a position late.
    late_until: Tick,
    /// When the query in flight began.
    queried_at: Option<Tick>,
    /// When it was last queried; of several replicas the one that was queried least recently is next.
    last_queried_at: Tick,
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

    /// Whether it need not describe itself: it is a replica in the commit's term and applies in time.
    fn may_be_asked_briefly(&self, commit: AcknowledgedCommit, now: Tick) -> bool {
        self.replica_in == Some(commit.term)
            && now >= self.late_until
            && now.since(commit.acknowledged_at) < LATE_AFTER_MS
    }

    /// Records that it has received all commits up to a position. Returns whether that is new.
    fn advance(&mut self, received: Option<Position>) -> bool {
        let advanced = received > self.received;
        self.received = self.received.max(received);
        advanced
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
    /// The number of consecutive replies of replicas that did not have the commit.
    lacking_replies: u32,
    /// No query begins before this tick.
    next_query_at: Tick,
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
            _ if now < self.next_query_at => return CommitDecision::Wait,
            Some(target) => self.next_to_query(&[&target], 1, now).cloned(),
            None => self.next_to_query(&lacking, missing, now).cloned(),
        };
        let Some(replica) = replica else { return CommitDecision::Wait };
        self.replicas.retain(|id, progress| progress.queried_at.is_some() || listed.contains(id));
        let question = self.question_for(&replica, commit, now);
        let progress = self.replicas.entry(replica.clone()).or_default();
        progress.queried_at = Some(now);
        progress.last_queried_at = now;
        let timeout_ms = QUERY_TIMEOUT_MS << progress.doublings();
        CommitDecision::Query(ReplicaQuery { replica, commit, question, timeout_ms })
    }

    /// What a replica is asked about a commit. The target of a handover always describes itself: it
    /// may already lead the next term, which began without the commit.
    fn question_for(
        &self,
        replica: &InstanceId,
        commit: AcknowledgedCommit,
        now: Tick,
    ) -> ReplicaQuestion {
        let is_target = self.handover.as_ref().is_some_and(|h| h.target == *replica);
        let known = self.replicas.get(replica);
        let may_be_brief = known.is_some_and(|known| known.may_be_asked_briefly(commit, now));
        match commit.position {
            Some(position) if may_be_brief && !is_target => ReplicaQuestion::HasPosition(position),
            _ => ReplicaQuestion::Describe,
        }
    }

    /// Ends a query that [`CommitDecision::Query`] asked for, and records the replica's reply. It is
    /// `None` if the replica did not reply, or if it is no longer listed or the lease on the term of
    /// the commit is no longer held. Returns whether more is known than before.
    pub fn record_query(
        &mut self,
        query: &ReplicaQuery,
        reply: Option<&ReplicaReply>,
        now: Tick,
    ) -> bool {
        let AcknowledgedCommit { term, position, .. } = query.commit;
        let progress = self.replicas.entry(query.replica.clone()).or_default();
        progress.queried_at = None;
        let advanced = progress.advance(reply.and_then(|reply| received_position(query, reply)));
        let confirmed = progress.has_received(position);
        progress.failures = if advanced || confirmed { 0 } else { progress.failures + 1 };
        match reply {
            Some(ReplicaReply::Description(description)) => {
                // A replica that has described itself before is asked again if it applies late.
                let was_late = progress.replica_in == Some(term) && now >= progress.late_until;
                if was_late && confirmed {
                    progress.late_until = now.plus(LATE_REPLICA_MS);
                }
                let is_replica = !description.primary && description.term <= term;
                progress.replica_in = is_replica.then_some(term);
            }
            Some(ReplicaReply::Position { .. }) => {}
            None => {
                progress.replica_in = None;
                progress.next_query_at = now.plus(QUERY_RETRY_MS << progress.doublings());
            }
        }
        if confirmed {
            self.lacking_replies = 0;
            self.preferred = Some(query.replica.clone());
            return advanced;
        }
        self.preferred.take_if(|preferred| *preferred == query.replica);
        if reply.is_some() {
            self.lacking_replies += 1;
            let doublings = self.lacking_replies.saturating_sub(2).min(MAX_DOUBLINGS);
            self.next_query_at = now.plus(LACKING_RETRY_MS << doublings);
        }
        advanced
    }

    /// Records the position in a replica's reply to a statement that was sent under a lease on
    /// `term`. It counts if the replica has described itself as one in this term. Returns whether
    /// more is known than before.
    pub fn record_position(
        &mut self,
        replica: &InstanceId,
        term: DbTerm,
        applied: Position,
    ) -> bool {
        let progress = self.replicas.get_mut(replica);
        progress
            .filter(|progress| progress.replica_in == Some(term) && applied.term <= term)
            .is_some_and(|progress| progress.advance(Some(applied)))
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
            .min_by_key(|id| {
                let ReplicaProgress { failures, last_queried_at, .. } = progress(id);
                (self.preferred.as_ref() != Some(**id), failures, last_queried_at)
            })
            .copied()
    }
}

/// The position up to which a replica has received all commits, according to its reply. Positions of
/// a primary, and those of a newer term than the commit's, can't be compared with the commit's.
fn received_position(query: &ReplicaQuery, reply: &ReplicaReply) -> Option<Position> {
    let term = query.commit.term;
    match reply {
        ReplicaReply::Description(description) => {
            let comparable = !description.primary && description.received.term <= term;
            comparable.then_some(description.received)
        }
        ReplicaReply::Position { reached, applied } => {
            let asked = query.commit.position.filter(|_| *reached);
            (applied.term <= term).then_some(asked.map_or(*applied, |asked| asked.max(*applied)))
        }
    }
}
