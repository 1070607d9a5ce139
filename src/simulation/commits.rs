//! Commit acknowledgements to clients: a node forwards one if its lease is valid, once enough
//! listed replicas have the commit, and during a handover once its target has it.
use crate::base::ids::{DbTerm, Position, ServiceName};
use crate::base::time::Tick;
use crate::pooler::commit_confirmation::{
    AcknowledgedCommit, CommitDecision, ReplicaQuery, ReplicaQuestion, ReplicaReply,
};
use crate::simulation::checker::ForwardedCommit;
use crate::simulation::databases::{Database, Write};
use crate::simulation::events::Event;
use crate::simulation::network::Endpoint;
use crate::simulation::nodes::ObservedCommit;
use crate::simulation::schedule::random_below;
use crate::simulation::world::World;

/// The delay in ms before a node decides again whether to forward a commit.
const COMMIT_RETRY_MS: u64 = 10;

/// A commit that the primary acknowledged to a node.
#[derive(Clone)]
pub(super) struct Commit {
    pub(super) service: ServiceName,
    pub(super) write: Write,
    pub(super) position: Position,
    /// When the node sent the statement.
    pub(super) sent_at: u64,
}

/// A node's query to a replica for its position, and the reply if there was one.
pub(super) struct NodeQuery {
    node: usize,
    incarnation: u64,
    commit: Commit,
    query: ReplicaQuery,
    reply: Option<ReplicaReply>,
}

impl Database {
    /// Answers a node's question. As in a database, a position is compared with the end of the log,
    /// whatever the log has at that position.
    fn answer(&self, question: ReplicaQuestion) -> ReplicaReply {
        match question {
            ReplicaQuestion::Describe => ReplicaReply::Description(self.description()),
            ReplicaQuestion::HasPosition(position) => {
                let applied = self.position();
                ReplicaReply::Position { reached: applied >= position, applied }
            }
        }
    }
}

impl World {
    /// Handles the primary's acknowledgement of a commit: the node forwards it if its lease is
    /// still valid and enough replicas are known to have the commit. Otherwise it queries one.
    pub(super) fn handle_commit_ack(&mut self, number: usize, incarnation: u64, commit: Commit) {
        let now = self.now;
        let node = &mut self.nodes[number];
        if node.incarnation != incarnation || !node.holds_lease(&commit, now) {
            return;
        }
        let listed = node.listed_replicas(&commit.service);
        let confirmation = node.commit_confirmations.entry(commit.service.clone()).or_default();
        let acknowledged = AcknowledgedCommit {
            term: commit.write.term,
            position: Some(commit.position),
            acknowledged_at: Tick(commit.sent_at),
        };
        match confirmation.decide(acknowledged, &listed, Tick(now)) {
            CommitDecision::Forward => self.forward_commit(number, commit),
            CommitDecision::Query(query) => {
                self.query_replica(NodeQuery {
                    node: number,
                    incarnation,
                    commit,
                    query,
                    reply: None,
                });
            }
            CommitDecision::Wait => {
                self.schedule_after(COMMIT_RETRY_MS, Event::CommitAck(number, incarnation, commit));
            }
        }
    }

    fn query_replica(&mut self, query: NodeQuery) {
        let to = self.databases.iter().position(|database| database.id == query.query.replica);
        let arrival = to.and_then(|to| {
            self.arrival_time(Endpoint::Node(query.node), Endpoint::Database(to), random_below(5))
        });
        match (arrival, to) {
            (Some(time), Some(to)) => self.schedule_at(time, Event::ReplicaQuery(to, query)),
            _ => self.schedule_after(query.query.timeout_ms, Event::ReplicaReply(query)),
        }
    }

    /// Answers a node's query.
    pub(super) fn handle_replica_query(&mut self, number: usize, query: NodeQuery) {
        let database = &self.databases[number];
        let reply = database.up.then(|| database.answer(query.query.question));
        let back = self.arrival_time(Endpoint::Database(number), Endpoint::Node(query.node), 0);
        match (back, reply) {
            (Some(time), Some(reply)) => {
                let replied = NodeQuery { reply: Some(reply), ..query };
                self.schedule_at(time, Event::ReplicaReply(replied));
            }
            _ => self.schedule_after(query.query.timeout_ms, Event::ReplicaReply(query)),
        }
    }

    /// Handles a replica's reply, or the time-out of the query, and decides again about the
    /// commit.
    pub(super) fn handle_replica_reply(&mut self, query: NodeQuery) {
        let NodeQuery { node: number, incarnation, commit, query, reply } = query;
        let now = self.now;
        let node = &mut self.nodes[number];
        if node.incarnation != incarnation {
            return;
        }
        let listed = node.listed_databases.contains_key(&query.replica);
        let valid = reply.filter(|_| listed && node.holds_lease(&commit, now));
        let confirmation = node.commit_confirmations.entry(commit.service.clone()).or_default();
        confirmation.record_query(&query, valid.as_ref(), Tick(now));
        self.schedule_after(0, Event::CommitAck(number, incarnation, commit));
    }

    /// A node forwards a commit to its client. Checks that no primary of a later term lacks it.
    fn forward_commit(&mut self, number: usize, commit: Commit) {
        let Commit { service, write, position, sent_at } = commit;
        let now = self.now;
        let node = &mut self.nodes[number];
        let highest = node.highest_positions.entry(service.clone()).or_insert(position);
        *highest = position.max(*highest);
        let observed = ObservedCommit { term: write.term, position, sent_at };
        node.unreported_commits.insert(service.clone(), observed);
        self.report.acknowledged_commits += 1;
        let newer = self.promotions.get(&service).into_iter().flatten();
        let lacks_commit =
            |(term, log): &&(DbTerm, Vec<Write>)| *term > write.term && !log.contains(&write);
        if let Some((term, _)) = newer.clone().find(lacks_commit)
            && self.clocks_reliable()
        {
            let description = format!(
                "{service}: commit of term {} forwarded to a client, \
                 but the primary of term {term} lacks it",
                write.term
            );
            return self.report_violation(description);
        }
        let forwarded = ForwardedCommit { write, node: number, forwarded_at: now };
        self.acknowledged_commits.entry(service.clone()).or_default().push(forwarded);
        self.crash_holders_of(number, &service, &write);
        if std::mem::take(&mut self.nodes[number].shuts_down_after_commit) {
            self.shut_down_node(number);
        }
    }
}
