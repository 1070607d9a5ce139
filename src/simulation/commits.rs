//! Commits on their way to clients: a node passes one on if its lease holds, and during a handover once
//! the target has it.
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

/// The pause in ms before a commit is judged again.
const RETRY_MS: u64 = 10;
/// A question to the target of a handover that gets no answer is given up after this time, in ms.
const QUESTION_MS: u64 = 300;

/// A commit that the primary acknowledged to a node.
#[derive(Clone)]
pub(super) struct Commit {
    pub(super) service: ServiceName,
    pub(super) write: Write,
    pub(super) position: Position,
    /// When the node sent the statement.
    pub(super) sent_at: u64,
}

/// A node's question to the target of a handover, and the answer once there is one.
pub(super) struct TargetQuestion {
    node: usize,
    incarnation: u64,
    commit: Commit,
    target: InstanceId,
    answer: Option<ServerDescription>,
}

impl World {
    /// The primary acknowledged a commit of a node, which passes it on if its lease still holds. During
    /// a handover it first asks the target whether that has the commit.
    pub(super) fn handle_commit_ack(&mut self, number: usize, incarnation: u64, commit: Commit) {
        let node = &mut self.nodes[number];
        if node.incarnation != incarnation || !node.holds_lease(&commit, self.now) {
            return;
        }
        let verdict = match node.commit_confirmations.get_mut(&commit.service) {
            Some(confirmation) => confirmation.decide(commit.write.term, Some(commit.position)),
            None => CommitDecision::Forward,
        };
        match verdict {
            CommitDecision::Forward => self.pass_on_commit(number, commit),
            CommitDecision::QueryTarget(target) => {
                self.ask_handover_target(number, incarnation, target, commit);
            }
            CommitDecision::AwaitQuery => {
                self.schedule_after(RETRY_MS, Event::CommitAck(number, incarnation, commit));
            }
        }
    }

    fn ask_handover_target(
        &mut self,
        number: usize,
        incarnation: u64,
        target: InstanceId,
        commit: Commit,
    ) {
        let to = self.databases.iter().position(|database| database.id == target);
        let question =
            |answer| TargetQuestion { node: number, incarnation, commit, target, answer };
        let arrival = to.and_then(|to| {
            self.arrival_time(Endpoint::Node(number), Endpoint::Database(to), random_below(5))
        });
        match (arrival, to) {
            (Some(time), Some(to)) => {
                self.schedule_at(time, Event::TargetQuestion(to, question(None)));
            }
            _ => self.schedule_after(QUESTION_MS, Event::TargetAnswer(question(None))),
        }
    }

    /// The target of a handover is asked how far it is.
    pub(super) fn answer_target_question(&mut self, number: usize, question: TargetQuestion) {
        let database = &self.databases[number];
        let description = database.up.then(|| database.description());
        let back = self.arrival_time(Endpoint::Database(number), Endpoint::Node(question.node), 0);
        match (back, description) {
            (Some(time), Some(description)) => {
                let answer = TargetQuestion { answer: Some(description), ..question };
                self.schedule_at(time, Event::TargetAnswer(answer));
            }
            _ => self.schedule_after(QUESTION_MS, Event::TargetAnswer(question)),
        }
    }

    /// A node takes the answer of a handover's target, or goes without, and judges its commit again.
    pub(super) fn handle_target_answer(&mut self, question: TargetQuestion) {
        let TargetQuestion { node: number, incarnation, commit, target, answer } = question;
        let node = &mut self.nodes[number];
        if node.incarnation == incarnation
            && let Some(confirmation) = node.commit_confirmations.get_mut(&commit.service)
            && *confirmation.target() == target
        {
            confirmation.record_description(answer.as_ref());
        }
        self.schedule_after(RETRY_MS, Event::CommitAck(number, incarnation, commit));
    }

    /// A node passes a commit on to its client; no later primary may lack it.
    fn pass_on_commit(&mut self, number: usize, commit: Commit) {
        let Commit { service, write, position, sent_at } = commit;
        let now = self.now;
        let node = &mut self.nodes[number];
        let highest = node.highest_positions.entry(service.clone()).or_insert(position);
        *highest = position.max(*highest);
        let observed = ObservedCommit { term: write.term, position, sent_at };
        node.unreported_commits.insert(service.clone(), observed);
        self.report.acknowledged_commits += 1;
        let newer = self.promotions.get(&service).into_iter().flatten();
        let lacks =
            |(term, log): &&(DbTerm, Vec<Write>)| *term > write.term && !log.contains(&write);
        if let Some((term, _)) = newer.clone().find(lacks)
            && self.clocks_run()
        {
            let why =
                format!("{service} has a commit of {} passed on that {term} lacks", write.term);
            return self.report_violation(why);
        }
        self.acknowledged_commits.entry(service).or_default().push(AcknowledgedCommit {
            write,
            node: number,
            at: now,
        });
        if std::mem::take(&mut self.nodes[number].stops_after_commit) {
            self.stop_node(number);
        }
    }
}
