//! The network: delays, losses, one-direction cuts, and the connections on the controllers' peer ports.
use crate::base::ids::MemberId;
use crate::controller::effects::Input;
use crate::simulation::events::Event;
use crate::simulation::schedule::{PartitionDirection, chance, random_below};
use crate::simulation::world::World;
use std::net::SocketAddr;

/// Who speaks: controllers by number, then everybody else.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Party {
    Controller(usize),
    Operator(usize),
    Node(usize),
    Database(usize),
}

impl Party {
    /// On which side of a cut one that is no controller stands.
    pub(super) fn side(self, salt: u64) -> bool {
        let (kind, number) = match self {
            Party::Controller(n) => (0, n),
            Party::Operator(n) => (1, n),
            Party::Node(n) => (2, n),
            Party::Database(n) => (3, n),
        };
        (salt >> ((kind * 7 + number as u64) % 61)) & 1 == 1
    }
}

pub(super) enum RemoteEnd {
    Node(usize, u64),
    Join { asker: usize, incarnation: u64, me: MemberId, at: SocketAddr },
}

pub(super) struct Partition {
    pub(super) controller: usize,
    pub(super) direction: PartitionDirection,
    pub(super) until: u64,
    pub(super) salt: u64,
}

impl World {
    pub(super) fn can_reach(&self, from: Party, to: Party) -> bool {
        self.partitions.iter().all(|cut| {
            let within = |end: Party| match end {
                Party::Controller(n) => n == cut.controller,
                other => other.side(cut.salt),
            };
            let (from, to) = (within(from), within(to));
            let stopped = match cut.direction {
                PartitionDirection::Both => from != to,
                PartitionDirection::Outbound => from && !to,
                PartitionDirection::Inbound => !from && to,
            };
            !stopped || self.now >= cut.until
        })
    }

    /// Whether the next message is lost.
    pub(super) fn is_lost(&self) -> bool {
        self.now < self.packet_loss.0 && chance(self.packet_loss.1)
    }

    /// When something that leaves now, or once its sender wakes, arrives; none if it never does.
    pub(super) fn arrival_time(&mut self, from: Party, to: Party, held: u64) -> Option<u64> {
        if !self.can_reach(from, to) || self.is_lost() {
            return None;
        }
        let late = if !self.repaired && chance(2) { random_below(900) } else { 0 };
        let at = self.now + held + 1 + random_below(4) + late;
        // A connection that ended and was opened anew may overtake.
        let last = self.last_arrivals.entry((from, to)).or_default();
        let at = if chance(2) { at } else { at.max(*last) };
        *last = at;
        Some(at)
    }

    /// Ends a connection at both ends.
    pub(super) fn close(&mut self, conn: u64) {
        let Some((at, far)) = self.connections.remove(&conn) else { return };
        if let Some(controller) = &mut self.machines[at].controller {
            controller.effects.open.remove(&conn);
            let incarnation = self.machines[at].incarnation;
            self.schedule_after(2, Event::ControllerInput(at, incarnation, Input::Closed(conn)));
        }
        if let RemoteEnd::Node(node, incarnation) = far
            && self.nodes[node].incarnation == incarnation
            && self.nodes[node].conn.is_some_and(|(c, _)| c == conn)
        {
            self.nodes[node].conn = None;
        }
    }
}
