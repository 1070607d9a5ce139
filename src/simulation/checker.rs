//! Checks the guarantees of the control plane against the recorded history of a run.
use crate::base::ids::{DbTerm, LogIndex, Revision, ServiceName};
use crate::base::time::Tick;
use crate::leases::lease_table::LEASE_MS;
use crate::net::rpc::pack;
use crate::simulation::databases::Write;
use crate::simulation::runner::Violation;
use crate::simulation::schedule::FaultKind;
use crate::simulation::world::{SERVICES, World};
use std::collections::BTreeSet;
use std::hash::{DefaultHasher, Hash, Hasher};

/// A commit whose acknowledgement a node forwarded to its client, and when.
#[derive(Clone, Copy)]
pub(super) struct ForwardedCommit {
    pub(super) write: Write,
    pub(super) node: usize,
    pub(super) forwarded_at: u64,
}

/// A committed configuration, and the revision that it replaced. The history has them in the order
/// of their commits.
pub(super) struct CommittedConfiguration {
    pub(super) revision: Revision,
    pub(super) base: Revision,
    pub(super) body: Vec<u8>,
    pub(super) committed_at: u64,
}

impl World {
    /// Whether no monotonic clock is ever suspended in this schedule; leases depend on that.
    pub(super) fn clocks_reliable(&self) -> bool {
        !self.schedule.faults.iter().any(|fault| matches!(fault.kind, FaultKind::Suspend(_)))
    }

    /// A violation that is detected now.
    pub(super) fn violation_now(&self, description: String) -> Violation {
        Violation { at_ms: self.now, description }
    }

    /// Records a violation; the first one ends the run.
    pub(super) fn report_violation(&mut self, description: String) {
        if self.violation.is_none() {
            self.violation = Some(self.violation_now(description));
        }
    }

    /// Compares a controller's term, log and state with those that any controller had before: there
    /// is one leader a term, and all have the same entries and the same state after each entry.
    pub(super) fn check_controller(&mut self, number: usize) {
        let machine = &mut self.machines[number];
        let Some(controller) = &machine.controller else { return };
        let (raft, state_machine) = (controller.raft(), controller.state_machine());
        if raft.state.member_id != machine.member_id {
            machine.member_id = raft.state.member_id;
            (machine.last_checked, machine.last_applied) = (LogIndex(0), LogIndex(0));
        }
        let mut problem = None;
        if raft.is_leader() {
            let (raft_term, member_id) = (raft.state.term, raft.state.member_id);
            let first = *self.leaders.entry(raft_term).or_insert(member_id);
            if first != member_id {
                problem = Some(format!("two leaders in term {raft_term}: {first} and {member_id}"));
            }
        }
        for entry in raft.committed_entries_after(machine.last_checked) {
            machine.last_checked = entry.index;
            let first = self.committed_entries.entry(entry.index).or_insert_with(|| entry.clone());
            if *first != entry {
                problem = Some(format!(
                    "committed entry {} of n{number} differs from that of other controllers",
                    entry.index
                ));
            }
        }
        let applied = controller.last_applied();
        if applied > machine.last_applied {
            machine.last_applied = applied;
            let mut hasher = DefaultHasher::new();
            pack(state_machine).hash(&mut hasher);
            let state = hasher.finish();
            if *self.state_hashes.entry(applied).or_insert(state) != state {
                problem = Some(format!(
                    "state of n{number} at entry {applied} differs from that of other controllers"
                ));
            }
            let newest = self.committed_configurations.last().map_or(Revision(0), |f| f.revision);
            if state_machine.revision() > newest {
                let body = state_machine.configuration_body().to_vec();
                let (revision, committed_at) = (state_machine.revision(), self.now);
                self.committed_configurations.push(CommittedConfiguration {
                    revision,
                    base: newest,
                    body,
                    committed_at,
                });
            }
        }
        if let Some(description) = problem {
            self.report_violation(description);
        }
    }

    /// The lowest place in `committed_configurations` that a read sent at this time may return.
    pub(super) fn read_floor(&self, sent_at: u64) -> usize {
        let before = self.read_floors.iter().filter(|(at, _)| *at <= sent_at);
        before.map(|(_, place)| *place).max().unwrap_or(0)
    }

    /// The place of a configuration in `committed_configurations`, counted from 1.
    pub(super) fn committed_place(&self, revision: Revision, body: &[u8]) -> Option<usize> {
        self.committed_configurations
            .iter()
            .position(|f| f.revision == revision && f.body == body)
            .map(|index| index + 1)
    }

    /// Checks that all leases on a service that are valid now are for the same term.
    pub(super) fn check_single_leased_term(&mut self) {
        for service in SERVICES.map(ServiceName::from) {
            let now = self.now;
            let held = self.nodes.iter().filter_map(|n| n.leases.get(&service));
            let terms: BTreeSet<DbTerm> =
                held.filter(|l| now < l.requested_at + LEASE_MS).map(|l| l.term).collect();
            if terms.len() > 1 && self.clocks_reliable() {
                self.report_violation(format!("{service}: valid leases for more than one term"));
            }
        }
    }

    /// Checks the state at the end of the run, after the cluster had time to recover: there is one
    /// leader, and all controllers and nodes are up to date.
    pub(super) fn check_final_state(&mut self) {
        let leaders: Vec<usize> = (0..self.machines.len())
            .filter(|m| {
                let machine = &self.machines[*m];
                let now = Tick(self.now + machine.clock_offset);
                machine.controller.as_ref().is_some_and(|s| s.raft().holds_leader_lease(now))
            })
            .collect();
        let [leader] = leaders[..] else {
            return self.report_violation(format!(
                "{} leaders at the end of the run, expected 1",
                leaders.len()
            ));
        };
        let Some(controller) = &self.machines[leader].controller else { return };
        let (revision, applied) =
            (controller.state_machine().revision(), controller.last_applied());
        let voters = controller.raft().members().iter().filter(|m| m.voter).count();
        let registered_again = controller
            .state_machine()
            .instances()
            .keys()
            .find(|id| self.deregistered_databases.contains(*id));
        let behind = self.machines.iter().position(|m| {
            m.controller.as_ref().is_some_and(|s| s.last_applied().0 + 40 < applied.0)
        });
        let outdated = self.nodes.iter().position(|n| {
            let newest = n.route_table.as_ref().map(|c| c.revision);
            let old = self
                .committed_configurations
                .iter()
                .rev()
                .find(|f| f.committed_at + 3_000 < self.now);
            newest < old.map(|f| f.revision)
        });
        let problem = if self.committed_configurations.last().map(|f| f.revision) != Some(revision)
        {
            Some(
                "the last committed configuration is not in force at the end of the run".to_owned(),
            )
        } else if let Some(number) = behind {
            Some(format!("n{number} did not catch up with the leader's log"))
        } else if let Some(id) = registered_again {
            Some(format!("{id} is registered again after its deregistration was acknowledged"))
        } else if let Some(number) = outdated {
            Some(format!("node{number} has an old configuration at the end of the run"))
        } else if voters < 2 * self.schedule.tolerated_losses + 1 {
            Some(format!("{voters} voters at the end of the run, too few for the tolerated losses"))
        } else if self.report.acknowledged == 0 {
            Some("no configuration change was acknowledged".to_owned())
        } else {
            None
        };
        self.report.raft_terms = self.leaders.len() as u64;
        if let Some(description) = problem {
            self.report_violation(description);
        }
    }
}
