//! What must hold: the history of all that was seen, and the checks against it.
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

/// A commit that a node passed on to its client, and when.
#[derive(Clone, Copy)]
pub(super) struct AcknowledgedCommit {
    pub(super) write: Write,
    pub(super) node: usize,
    pub(super) at: u64,
}

/// A configuration that is known to have come into force, in the order in which they did.
pub(super) struct CommittedConfiguration {
    pub(super) revision: Revision,
    pub(super) base: Revision,
    pub(super) body: Vec<u8>,
    pub(super) at: u64,
}

impl World {
    /// Whether all steady clocks run on, which leases rest on.
    pub(super) fn clocks_run(&self) -> bool {
        !self.schedule.faults.iter().any(|t| matches!(t.kind, FaultKind::Suspend(_)))
    }

    /// What does not hold now.
    pub(super) fn violated(&self, description: String) -> Violation {
        Violation { at_ms: self.now, description }
    }

    /// Notes what did not hold; the first one ends the run.
    pub(super) fn report_violation(&mut self, what: String) {
        if self.violation.is_none() {
            self.violation = Some(self.violated(what));
        }
    }

    /// Checks what this controller holds against what any other ever held.
    pub(super) fn check_controller(&mut self, number: usize) {
        let machine = &mut self.machines[number];
        let Some(controller) = &machine.controller else { return };
        let (raft, state_machine) = (controller.raft(), controller.state_machine());
        if raft.state.member_id != machine.member_id {
            machine.member_id = raft.state.member_id;
            (machine.last_checked, machine.last_applied) = (LogIndex(0), LogIndex(0));
        }
        let mut wrong = None;
        if raft.is_leader() {
            let (raft_term, member_id) = (raft.state.term, raft.state.member_id);
            let first = *self.leaders.entry(raft_term).or_insert(member_id);
            if first != member_id {
                wrong = Some(format!("two led term {raft_term}: {first} and {member_id}"));
            }
        }
        for entry in raft.committed_entries_after(machine.last_checked) {
            machine.last_checked = entry.index;
            let first = self.committed_entries.entry(entry.index).or_insert_with(|| entry.clone());
            if *first != entry {
                wrong = Some(format!("entry {} differs at n{number}", entry.index));
            }
        }
        let applied = controller.applied();
        if applied > machine.last_applied {
            machine.last_applied = applied;
            let mut hasher = DefaultHasher::new();
            pack(state_machine).hash(&mut hasher);
            let state = hasher.finish();
            if *self.state_hashes.entry(applied).or_insert(state) != state {
                wrong = Some(format!("the state at entry {applied} differs at n{number}"));
            }
            let newest = self.committed_configurations.last().map_or(Revision(0), |f| f.revision);
            if state_machine.revision() > newest {
                let body = state_machine.configuration_body().to_vec();
                let (revision, at) = (state_machine.revision(), self.now);
                self.committed_configurations.push(CommittedConfiguration {
                    revision,
                    base: newest,
                    body,
                    at,
                });
            }
        }
        if let Some(why) = wrong {
            self.report_violation(why);
        }
    }

    /// How far in `forced` a read that began at `sent` must have come.
    pub(super) fn read_floor(&self, sent: u64) -> usize {
        let before = self.read_floors.iter().filter(|(at, _)| *at <= sent);
        before.map(|(_, place)| *place).max().unwrap_or(0)
    }

    /// The place of a configuration among those that came into force, counted from 1.
    pub(super) fn committed_place(&self, revision: Revision, body: &[u8]) -> Option<usize> {
        self.committed_configurations
            .iter()
            .position(|f| f.revision == revision && f.body == body)
            .map(|at| at + 1)
    }

    /// At any time all valid leases on a service are on one term.
    pub(super) fn check_one_leased_term(&mut self) {
        for service in SERVICES.map(ServiceName::from) {
            let now = self.now;
            let held = self.nodes.iter().filter_map(|n| n.leases.get(&service));
            let terms: BTreeSet<DbTerm> =
                held.filter(|l| now < l.requested_at + LEASE_MS).map(|l| l.term).collect();
            if terms.len() > 1 && self.clocks_run() {
                self.report_violation(format!("{service} is leased in two terms at once"));
            }
        }
    }

    /// With everything well for long, all must agree and be served.
    pub(super) fn check_final_state(&mut self) {
        let leading: Vec<usize> = (0..self.machines.len())
            .filter(|m| {
                let machine = &self.machines[*m];
                let now = Tick(self.now + machine.clock_offset);
                machine.controller.as_ref().is_some_and(|s| s.raft().holds_leader_lease(now))
            })
            .collect();
        let [leader] = leading[..] else {
            return self.report_violation(format!("in the end {} lead", leading.len()));
        };
        let Some(controller) = &self.machines[leader].controller else { return };
        let (revision, applied) = (controller.state_machine().revision(), controller.applied());
        let voters = controller.raft().members().iter().filter(|m| m.voter).count();
        let listed = controller
            .state_machine()
            .instances()
            .keys()
            .find(|id| self.deregistered_databases.contains(*id));
        let behind = self
            .machines
            .iter()
            .position(|m| m.controller.as_ref().is_some_and(|s| s.applied().0 + 40 < applied.0));
        let late = self.nodes.iter().position(|n| {
            let newest = n.route_table.as_ref().map(|c| c.revision);
            let old = self.committed_configurations.iter().rev().find(|f| f.at + 3_000 < self.now);
            newest < old.map(|f| f.revision)
        });
        let wrong = if self.committed_configurations.last().map(|f| f.revision) != Some(revision) {
            Some("in the end not all that was in force is".to_owned())
        } else if let Some(number) = behind {
            Some(format!("n{number} never caught up"))
        } else if let Some(id) = listed {
            Some(format!("{id} said goodbye and is listed again"))
        } else if let Some(number) = late {
            Some(format!("node{number} has an old configuration"))
        } else if voters < 2 * self.schedule.tolerated_losses + 1 {
            Some(format!("in the end {voters} vote"))
        } else if self.report.acknowledged == 0 {
            Some("no order was ever acknowledged".to_owned())
        } else {
            None
        };
        self.report.raft_terms = self.leaders.len() as u64;
        if let Some(why) = wrong {
            self.report_violation(why);
        }
    }
}
