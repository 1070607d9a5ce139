//! The network: delays, losses, one-way cuts, and the connections on the controllers' peer ports.
use crate::base::ids::MemberId;
use crate::controller::effects::Input;
use crate::simulation::events::Event;
use crate::simulation::schedule::{Way, chance, upto};
use crate::simulation::world::World;
use std::net::SocketAddr;

/// Who speaks: controllers by number, then everybody else.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum End {
    Controller(usize),
    Operator(usize),
    Node(usize),
    Database(usize),
}

impl End {
    /// On which side of a cut one that is no controller stands.
    pub(super) fn side(self, salt: u64) -> bool {
        let (kind, number) = match self {
            End::Controller(n) => (0, n),
            End::Operator(n) => (1, n),
            End::Node(n) => (2, n),
            End::Database(n) => (3, n),
        };
        (salt >> ((kind * 7 + number as u64) % 61)) & 1 == 1
    }
}

pub(super) enum Far {
    Node(usize, u64),
    Join { asker: usize, incarnation: u64, me: MemberId, at: SocketAddr },
}

pub(super) struct Cut {
    pub(super) controller: usize,
    pub(super) way: Way,
    pub(super) until: u64,
    pub(super) salt: u64,
}

impl World {
    pub(super) fn reaches(&self, from: End, to: End) -> bool {
        self.cuts.iter().all(|cut| {
            let within = |end: End| match end {
                End::Controller(n) => n == cut.controller,
                other => other.side(cut.salt),
            };
            let (from, to) = (within(from), within(to));
            let stopped = match cut.way {
                Way::Both => from != to,
                Way::Out => from && !to,
                Way::In => !from && to,
            };
            !stopped || self.now >= cut.until
        })
    }

    pub(super) fn lost(&self) -> bool {
        self.now < self.lossy.0 && chance(self.lossy.1)
    }

    /// When something that leaves now, or once its sender wakes, arrives; none if it never does.
    pub(super) fn arrival(&mut self, from: End, to: End, held: u64) -> Option<u64> {
        if !self.reaches(from, to) || self.lost() {
            return None;
        }
        let late = if !self.healed && chance(2) { upto(900) } else { 0 };
        let at = self.now + held + 1 + upto(4) + late;
        // A connection that ended and was opened anew may overtake.
        let last = self.arrives.entry((from, to)).or_default();
        let at = if chance(2) { at } else { at.max(*last) };
        *last = at;
        Some(at)
    }

    pub(super) fn close(&mut self, conn: u64) {
        let Some((at, far)) = self.conns.remove(&conn) else { return };
        if let Some(controller) = &mut self.machines[at].controller {
            controller.effects.open.remove(&conn);
            let incarnation = self.machines[at].incarnation;
            self.soon(2, Event::Input(at, incarnation, Input::Closed(conn)));
        }
        if let Far::Node(node, incarnation) = far
            && self.nodes[node].incarnation == incarnation
            && self.nodes[node].conn.is_some_and(|(c, _)| c == conn)
        {
            self.nodes[node].conn = None;
        }
    }
}
