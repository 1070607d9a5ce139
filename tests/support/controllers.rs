//! Machines with a controller each, whose time and network are the test's; they are lost and come back.
use silvertack::base::ids::{LogIndex, MemberId, NodeName};
use silvertack::base::time::Tick;
use silvertack::net::rpc::raft_messages::{
    EntryPayload, Member, RaftMessage, RaftMessageKind, Snapshot,
};
use silvertack::raft::node::RaftNode;
use silvertack::raft::state::{PersistentState, UnsavedChanges};
use std::collections::VecDeque;

/// How long after its return or its start a machine still counts as lost (`join_sync_s`).
pub const SYNC_MS: u64 = 4_000;
/// A voter that is silent for so long may be removed as a spare one.
pub const GIVEN_UP_MS: u64 = 2_000;
/// How long one that was removed needs to ask to be taken in again, and one that is new to ask.
const TOLD_MS: u64 = 1_500;
const ASK_MS: u64 = 300;
const TURN_MS: u64 = 50;

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum State {
    Up,
    /// Cut off, with all it knows.
    Cut,
    /// Down, and its disk is lost.
    Gone,
}
#[derive(Clone)]
pub struct Machine {
    pub id: u64,
    pub place: u64,
    pub state: State,
    pub back: Tick,
    pub raft: RaftNode,
}

pub fn member(id: u64, place: u64, voter: bool) -> Member {
    Member {
        id: MemberId(id),
        node: NodeName(format!("n{id}")),
        peer: format!("10.0.0.{place}:1").parse().expect("address"),
        admin: format!("10.0.0.{place}:2").parse().expect("address"),
        voter,
        can_vote: true,
    }
}
fn controller(id: u64, members: Vec<Member>, now: Tick) -> RaftNode {
    const SPREADS: [fn() -> u64; 5] = [|| 10, || 130, || 250, || 370, || 70];
    let snapshot = Snapshot { members, ..Snapshot::default() };
    let kept = PersistentState { member_id: MemberId(id), snapshot, ..PersistentState::default() };
    RaftNode::new(kept, false, now, SPREADS[id as usize % 5])
}

/// One machine for each place in the deployment: a replacement takes the place of a lost one.
#[derive(Clone)]
pub struct Orchard {
    pub now: Tick,
    pub bears: usize,
    pub machines: Vec<Machine>,
    /// What was acknowledged, by place in the log.
    pub acked: Vec<(LogIndex, u8)>,
    /// Entries and folds that were sent to this member since it was named.
    pub sent_to: (u64, usize),
    next: u64,
}
impl Orchard {
    pub fn new(count: u64, bears: usize) -> Self {
        let now = Tick(100_000);
        let members: Vec<Member> = (1..=count).map(|i| member(i, i, true)).collect();
        let machines = (1..=count).map(|id| Machine {
            id,
            place: id,
            state: State::Up,
            back: Tick(0),
            raft: controller(id, members.clone(), now),
        });
        let machines = machines.collect();
        Self { now, bears, machines, acked: Vec::new(), sent_to: (0, 0), next: count + 1 }
    }
    pub fn settled(&self, at: usize) -> bool {
        let machine = &self.machines[at];
        machine.state == State::Up && self.now.since(machine.back) >= SYNC_MS
    }
    pub fn lost(&self) -> usize {
        (0..self.machines.len()).filter(|i| !self.settled(*i)).count()
    }
    pub fn leader(&self) -> Option<usize> {
        let leads = |m: &Machine| m.state == State::Up && m.raft.holds_leader_lease(self.now);
        self.machines.iter().position(leads)
    }
    /// The members, as the one with the newest log among those that can be reached has them.
    pub fn members(&self) -> &[Member] {
        let there = self.machines.iter().filter(|m| m.state == State::Up);
        there.map(|m| &m.raft).max_by_key(|h| h.last_position()).map_or(&[], |h| h.members())
    }

    pub fn lose(&mut self, at: usize, state: State) {
        self.machines[at].state = state;
    }
    /// Comes back with all it knows, or empty, at its own address or another one.
    pub fn back(&mut self, at: usize, elsewhere: bool) {
        let (now, id) = (self.now, self.next);
        let machine = &mut self.machines[at];
        (machine.back, self.next) = (now, id + 1);
        if machine.state == State::Gone {
            machine.id = id;
            machine.place = if elsewhere { id } else { machine.place };
            machine.raft = controller(id, Vec::new(), now);
        }
        machine.state = State::Up;
    }

    /// Delivers until all are at rest. Whatever goes out is on disk before.
    pub fn settle(&mut self) {
        let mut wire: VecDeque<(MemberId, RaftMessage)> = VecDeque::new();
        for _ in 0..10_000 {
            for machine in &mut self.machines {
                let raft = &mut machine.raft;
                if std::mem::take(&mut raft.unsaved) != UnsavedChanges::default() {
                    raft.log_persisted(raft.last_position());
                }
                let up = machine.state == State::Up;
                let list = raft.members().to_vec();
                // Whoever is not in its list has no address that it knows.
                let knows = |to: MemberId| list.iter().any(|m| m.id == to);
                wire.extend(raft.outbox.drain(..).filter(|(to, _)| up && knows(*to)));
            }
            let Some((to, message)) = wire.pop_front() else { return };
            let now = self.now;
            if to.0 == self.sent_to.0 {
                self.sent_to.1 += match &message.kind {
                    RaftMessageKind::AppendEntries { entries, .. } => entries.len(),
                    RaftMessageKind::InstallSnapshot { .. } => 1_000,
                    _ => 0,
                };
            }
            let up = |m: &&mut Machine| m.id == to.0 && m.state == State::Up;
            if let Some(machine) = self.machines.iter_mut().find(up) {
                machine.raft.step(message, now);
            }
        }
        panic!("the controllers never come to rest");
    }
    fn reconcile(&mut self) {
        let now = self.now;
        let Some(leader) = self.leader() else { return };
        let listed =
            |m: &Machine| self.machines[leader].raft.members().iter().any(|l| l.id.0 == m.id);
        // One that believes that it is a member asks only once it has heard no leader for a while.
        let asks: Vec<Member> = self
            .machines
            .iter()
            .filter(|m| m.state == State::Up && !listed(m))
            .filter(|m| {
                let was = m.raft.members().iter().any(|l| l.id.0 == m.id);
                now.since(m.back) >= if was { TOLD_MS } else { ASK_MS }
            })
            .map(|m| member(m.id, m.place, false))
            .collect();
        let raft = &mut self.machines[leader].raft;
        if let Some(list) = raft.next_membership_change(asks.iter(), self.bears, GIVEN_UP_MS, now) {
            raft.propose(EntryPayload::Membership(list), now);
        }
    }
    pub fn turn(&mut self) {
        self.now = self.now.plus(TURN_MS);
        let now = self.now;
        for machine in &mut self.machines {
            machine.raft.tick(now);
        }
        self.settle();
        self.reconcile();
        self.settle();
    }
    /// Has something acknowledged, if there is somebody to do so.
    pub fn order(&mut self) -> bool {
        let Some(leader) = self.leader() else { return false };
        let (number, now) = (self.acked.len() as u8, self.now);
        let body = EntryPayload::Command(serde_bytes::ByteBuf::from(vec![number]));
        let index = self.machines[leader].raft.propose(body, now);
        self.settle();
        let Some(index) = index.filter(|i| *i <= self.machines[leader].raft.commit_index) else {
            return false;
        };
        self.acked.push((index, number));
        true
    }
    /// What stands at this place of a controller's log.
    pub fn holds(&self, at: usize, (index, number): (LogIndex, u8)) -> bool {
        let body = EntryPayload::Command(serde_bytes::ByteBuf::from(vec![number]));
        self.machines[at].raft.state.log.iter().any(|e| e.index == index && e.payload == body)
    }
}
