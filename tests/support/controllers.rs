//! A cluster of machines, each with a Raft node, in simulated time and on a simulated network.
//! Machines can be lost and can return.
use silvertack::base::ids::{LogIndex, MemberId, NodeName};
use silvertack::base::time::Tick;
use silvertack::net::rpc::raft_messages::{
    EntryPayload, Member, RaftMessage, RaftMessageKind, Snapshot,
};
use silvertack::raft::node::RaftNode;
use silvertack::raft::state::{PersistentState, UnsavedChanges};
use std::collections::VecDeque;

/// Milliseconds after its start or return for which a machine still counts as lost (`join_sync_s`).
pub(crate) const SYNC_MS: u64 = 4_000;
/// Milliseconds of silence after which a spare voter may be removed.
pub(crate) const REMOVE_SILENT_AFTER_MS: u64 = 2_000;
/// Milliseconds from the return of a removed member to its request to rejoin.
const REJOIN_AFTER_MS: u64 = 1_500;
/// Milliseconds from the start of a new machine to its join request.
const JOIN_AFTER_MS: u64 = 300;
/// Milliseconds between two ticks.
const TICK_MS: u64 = 50;

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub(crate) enum MachineState {
    Up,
    /// Running, but unreachable from the others.
    Partitioned,
    /// Down, and its disk is lost.
    DiskLost,
}
#[derive(Clone)]
pub(crate) struct Machine {
    pub(crate) id: u64,
    pub(crate) slot: u64,
    pub(crate) state: MachineState,
    pub(crate) returned_at: Tick,
    pub(crate) raft: RaftNode,
}

pub(crate) fn member(id: u64, slot: u64, voter: bool) -> Member {
    Member {
        id: MemberId(id),
        node: NodeName(format!("n{id}")),
        peer: format!("10.0.0.{slot}:1").parse().expect("address"),
        admin: format!("10.0.0.{slot}:2").parse().expect("address"),
        voter,
        can_vote: true,
    }
}
fn raft_node(id: u64, members: Vec<Member>, now: Tick) -> RaftNode {
    const RANDOM_NUMBERS: [fn() -> u64; 5] = [|| 10, || 130, || 250, || 370, || 70];
    let snapshot = Snapshot { members, ..Snapshot::default() };
    let state = PersistentState { member_id: MemberId(id), snapshot, ..PersistentState::default() };
    RaftNode::new(state, false, now, RANDOM_NUMBERS[id as usize % 5])
}

/// A cluster with one machine for each slot of the deployment. A replacement takes the slot of a
/// lost machine.
#[derive(Clone)]
pub(crate) struct TestCluster {
    pub(crate) now: Tick,
    pub(crate) tolerated: usize,
    pub(crate) machines: Vec<Machine>,
    /// The acknowledged commands with their log indexes.
    pub(crate) acknowledged: Vec<(LogIndex, u8)>,
    /// The observed member and the number of entries sent to it. A snapshot counts as 1,000.
    pub(crate) entries_sent: (u64, usize),
    next_id: u64,
}
impl TestCluster {
    pub(crate) fn new(count: u64, tolerated: usize) -> Self {
        let now = Tick(100_000);
        let members: Vec<Member> = (1..=count).map(|i| member(i, i, true)).collect();
        let machines = (1..=count).map(|id| Machine {
            id,
            slot: id,
            state: MachineState::Up,
            returned_at: Tick(0),
            raft: raft_node(id, members.clone(), now),
        });
        let machines = machines.collect();
        Self {
            now,
            tolerated,
            machines,
            acknowledged: Vec::new(),
            entries_sent: (0, 0),
            next_id: count + 1,
        }
    }
    /// Whether the machine is up and no longer counts as lost.
    pub(crate) fn is_synced(&self, at: usize) -> bool {
        let machine = &self.machines[at];
        machine.state == MachineState::Up && self.now.since(machine.returned_at) >= SYNC_MS
    }
    /// The number of machines that count as lost.
    pub(crate) fn lost_machines(&self) -> usize {
        (0..self.machines.len()).filter(|i| !self.is_synced(*i)).count()
    }
    pub(crate) fn leader(&self) -> Option<usize> {
        let leads =
            |m: &Machine| m.state == MachineState::Up && m.raft.holds_leader_lease(self.now);
        self.machines.iter().position(leads)
    }
    /// The member list of the reachable machine with the most recent log.
    pub(crate) fn members(&self) -> &[Member] {
        let reachable = self.machines.iter().filter(|m| m.state == MachineState::Up);
        reachable.map(|m| &m.raft).max_by_key(|r| r.last_position()).map_or(&[], |r| r.members())
    }

    pub(crate) fn lose(&mut self, at: usize, state: MachineState) {
        self.machines[at].state = state;
    }
    /// Returns a machine with its state, or with an empty disk at its old or a new address.
    pub(crate) fn return_machine(&mut self, at: usize, at_new_address: bool) {
        let (now, id) = (self.now, self.next_id);
        let machine = &mut self.machines[at];
        (machine.returned_at, self.next_id) = (now, id + 1);
        if machine.state == MachineState::DiskLost {
            machine.id = id;
            machine.slot = if at_new_address { id } else { machine.slot };
            machine.raft = raft_node(id, Vec::new(), now);
        }
        machine.state = MachineState::Up;
    }

    /// Delivers messages until none is left. All state is persisted before a message is sent.
    pub(crate) fn deliver_all(&mut self) {
        let mut network: VecDeque<(MemberId, RaftMessage)> = VecDeque::new();
        for _ in 0..10_000 {
            for machine in &mut self.machines {
                let raft = &mut machine.raft;
                if std::mem::take(&mut raft.unsaved) != UnsavedChanges::default() {
                    raft.log_persisted(raft.last_position());
                }
                let up = machine.state == MachineState::Up;
                let list = raft.members().to_vec();
                // A machine knows only the addresses of the members in its list.
                let knows_address = |to: MemberId| list.iter().any(|m| m.id == to);
                network.extend(raft.outbox.drain(..).filter(|(to, _)| up && knows_address(*to)));
            }
            let Some((to, message)) = network.pop_front() else { return };
            let now = self.now;
            if to.0 == self.entries_sent.0 {
                self.entries_sent.1 += match &message.kind {
                    RaftMessageKind::AppendEntries { entries, .. } => entries.len(),
                    RaftMessageKind::InstallSnapshot { .. } => 1_000,
                    _ => 0,
                };
            }
            let up = |m: &&mut Machine| m.id == to.0 && m.state == MachineState::Up;
            if let Some(machine) = self.machines.iter_mut().find(up) {
                machine.raft.step(message, now);
            }
        }
        panic!("the Raft nodes still exchange messages after 10,000 deliveries");
    }
    /// Lets the leader propose the next membership change.
    fn reconcile_members(&mut self) {
        let now = self.now;
        let Some(leader) = self.leader() else { return };
        let is_member =
            |m: &Machine| self.machines[leader].raft.members().iter().any(|l| l.id.0 == m.id);
        // A machine that believes that it is a member asks only after losing contact to the leader.
        let joining: Vec<Member> = self
            .machines
            .iter()
            .filter(|m| m.state == MachineState::Up && !is_member(m))
            .filter(|m| {
                let was_member = m.raft.members().iter().any(|l| l.id.0 == m.id);
                now.since(m.returned_at) >= if was_member { REJOIN_AFTER_MS } else { JOIN_AFTER_MS }
            })
            .map(|m| member(m.id, m.slot, false))
            .collect();
        let raft = &mut self.machines[leader].raft;
        if let Some(list) =
            raft.next_membership_change(joining.iter(), self.tolerated, REMOVE_SILENT_AFTER_MS, now)
        {
            raft.propose(EntryPayload::Membership(list), now);
        }
    }
    /// Advances time by one tick.
    pub(crate) fn advance(&mut self) {
        self.now = self.now.plus(TICK_MS);
        let now = self.now;
        for machine in &mut self.machines {
            machine.raft.tick(now);
        }
        self.deliver_all();
        self.reconcile_members();
        self.deliver_all();
    }
    /// Proposes a command and returns whether it was committed.
    pub(crate) fn propose_command(&mut self) -> bool {
        let Some(leader) = self.leader() else { return false };
        let (number, now) = (self.acknowledged.len() as u8, self.now);
        let body = EntryPayload::Command(serde_bytes::ByteBuf::from(vec![number]));
        let index = self.machines[leader].raft.propose(body, now);
        self.deliver_all();
        let Some(index) = index.filter(|i| *i <= self.machines[leader].raft.commit_index) else {
            return false;
        };
        self.acknowledged.push((index, number));
        true
    }
    /// Whether the log of the machine contains this command at this index.
    pub(crate) fn log_contains(&self, at: usize, (index, number): (LogIndex, u8)) -> bool {
        let body = EntryPayload::Command(serde_bytes::ByteBuf::from(vec![number]));
        self.machines[at].raft.state.log.iter().any(|e| e.index == index && e.payload == body)
    }
}
