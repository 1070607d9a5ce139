//! Commit acknowledgements to clients: a node forwards one if its lease is valid, and during a
//! handover once the target of the handover has the commit.
use crate::base::ids::{DbTerm, InstanceId, Position, ServiceName};
use crate::net::statement_protocol::ServerDescription;
use crate::pooler::handover::CommitDecision;
use crate::simulation::checker::AcknowledgedCommit;
use crate::simulation::databases::Write;
use crate::simulation::events::Event;
use crate::simulation::network::Endpoint;
use crate::simulation::nodes::ObservedCommit;
use crate::simulation::schedule::random_below;
use crate::simulation::world::World;

/// The delay in ms before a node decides again whether to forward a commit.
const COMMIT_RETRY_MS: u64 = 10;
/// The time in ms after which a query to the target of a handover that gets no reply times out.
const TARGET_QUERY_TIMEOUT_MS: u64 = 300;

/// A commit that the primary acknowledged to a node.
#[derive(Clone)]
pub(super) struct Commit {
    pub(super) service: ServiceName,
    pub(super) write: Write,
    pub(super) position: Position,
    /// When the node sent the statement.
    pub(super) sent_at: u64,
}

/// A node's query to the target of a handover, and the reply if there was one.
pub(super) struct TargetQuery {
    node: usize,
    incarnation: u64,
    commit: Commit,
    target: InstanceId,
    reply: Option<ServerDescription>,
}

impl World {
    /// Handles the primary's acknowledgement of a commit: the node forwards it if its lease is
    /// still valid. During a handover the node first asks the target whether it has the commit.
    pub(super) fn handle_commit_ack(&mut self, number: usize, incarnation: u64, commit: Commit) {
        let node = &mut self.nodes[number];
        if node.incarnation != incarnation || !node.holds_lease(&commit, self.now) {
            return;
        }
        let decision = match node.commit_confirmations.get_mut(&commit.service) {
            Some(confirmation) => confirmation.decide(commit.write.term, Some(commit.position)),
            None => CommitDecision::Forward,
        };
        match decision {
            CommitDecision::Forward => self.forward_commit(number, commit),
            CommitDecision::QueryTarget(target) => {
                self.query_handover_target(number, incarnation, target, commit);
            }
            CommitDecision::AwaitQuery => {
                self.schedule_after(COMMIT_RETRY_MS, Event::CommitAck(number, incarnation, commit));
            }
        }
    }

    fn query_handover_target(
        &mut self,
        number: usize,
        incarnation: u64,
        target: InstanceId,
        commit: Commit,
    ) {
        let to = self.databases.iter().position(|database| database.id == target);
        let query = |reply| TargetQuery { node: number, incarnation, commit, target, reply };
        let arrival = to.and_then(|to| {
            self.arrival_time(Endpoint::Node(number), Endpoint::Database(to), random_below(5))
        });
        match (arrival, to) {
            (Some(time), Some(to)) => {
                self.schedule_at(time, Event::TargetQuery(to, query(None)));
            }
            _ => self.schedule_after(TARGET_QUERY_TIMEOUT_MS, Event::TargetReply(query(None))),
        }
    }

    /// Answers a node's query with the description of the handover's target.
    pub(super) fn handle_target_query(&mut self, number: usize, query: TargetQuery) {
        let database = &self.databases[number];
        let description = database.up.then(|| database.description());
        let back = self.arrival_time(Endpoint::Database(number), Endpoint::Node(query.node), 0);
        match (back, description) {
            (Some(time), Some(description)) => {
                let replied = TargetQuery { reply: Some(description), ..query };
                self.schedule_at(time, Event::TargetReply(replied));
            }
            _ => self.schedule_after(TARGET_QUERY_TIMEOUT_MS, Event::TargetReply(query)),
        }
    }

    /// Handles the reply of a handover's target, or the time-out of the query, and schedules
    /// another decision about the commit.
    pub(super) fn handle_target_reply(&mut self, query: TargetQuery) {
        let TargetQuery { node: number, incarnation, commit, target, reply } = query;
        let node = &mut self.nodes[number];
        if node.incarnation == incarnation
            && let Some(confirmation) = node.commit_confirmations.get_mut(&commit.service)
            && *confirmation.target() == target
        {
            confirmation.record_description(reply.as_ref());
        }
        self.schedule_after(COMMIT_RETRY_MS, Event::CommitAck(number, incarnation, commit));
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
        self.acknowledged_commits.entry(service).or_default().push(AcknowledgedCommit {
            write,
            node: number,
            forwarded_at: now,
        });
        if std::mem::take(&mut self.nodes[number].shuts_down_after_commit) {
            self.shut_down_node(number);
        }
    }
}
