//! The simulated network: delays, message loss, partitions in one or both directions, and the
//! connections to the controllers' peer ports.
use crate::base::ids::MemberId;
use crate::controller::effects::Input;
use crate::simulation::events::Event;
use crate::simulation::schedule::{PartitionDirection, chance, random_below};
use crate::simulation::world::World;
use std::net::SocketAddr;

/// A participant that sends and receives messages, by its number among those of its kind.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Endpoint {
    Controller(usize),
    Operator(usize),
    Node(usize),
    Database(usize),
}

/// Whether all messages between the two travel on one connection at a time.
fn shares_one_connection(from: Endpoint, to: Endpoint) -> bool {
    matches!(
        (from, to),
        (Endpoint::Node(_), Endpoint::Controller(_)) | (Endpoint::Controller(_), Endpoint::Node(_))
    )
}

impl Endpoint {
    /// Whether an endpoint that is not a controller is on the side of the isolated controller. The
    /// salt of the partition decides.
    pub(super) fn side(self, salt: u64) -> bool {
        let (kind, number) = match self {
            Endpoint::Controller(n) => (0, n),
            Endpoint::Operator(n) => (1, n),
            Endpoint::Node(n) => (2, n),
            Endpoint::Database(n) => (3, n),
        };
        (salt >> ((kind * 7 + number as u64) % 61)) & 1 == 1
    }
}

/// The remote end of a connection to a controller's peer port.
pub(super) enum RemoteEnd {
    /// A node, by number and incarnation.
    Node(usize, u64),
    /// A controller that asks to join the cluster.
    Join { requester: usize, incarnation: u64, member_id: MemberId, address: SocketAddr },
}

/// The isolation of one controller from the others until a time.
pub(super) struct Partition {
    pub(super) controller: usize,
    pub(super) direction: PartitionDirection,
    pub(super) until: u64,
    /// Decides the side of each endpoint that is not a controller.
    pub(super) salt: u64,
}

impl World {
    pub(super) fn can_reach(&self, from: Endpoint, to: Endpoint) -> bool {
        self.partitions.iter().all(|partition| {
            let inside = |end: Endpoint| match end {
                Endpoint::Controller(n) => n == partition.controller,
                other => other.side(partition.salt),
            };
            let (from, to) = (inside(from), inside(to));
            let stopped = match partition.direction {
                PartitionDirection::Both => from != to,
                PartitionDirection::Outbound => from && !to,
                PartitionDirection::Inbound => !from && to,
            };
            !stopped || self.now >= partition.until
        })
    }

    /// Decides at random whether the next message is lost.
    pub(super) fn is_lost(&self) -> bool {
        self.now < self.packet_loss.0 && chance(self.packet_loss.1)
    }

    /// When a message that is sent now, or after `delay_ms`, arrives; none if it is lost.
    pub(super) fn arrival_time(
        &mut self,
        from: Endpoint,
        to: Endpoint,
        delay_ms: u64,
    ) -> Option<u64> {
        if !self.can_reach(from, to) || self.is_lost() {
            return None;
        }
        let extra_delay_ms = if !self.repaired && chance(2) { random_below(900) } else { 0 };
        let arrival = self.now + delay_ms + 1 + random_below(4) + extra_delay_ms;
        // A message on a connection that was closed and opened again may overtake earlier ones.
        // Those between a node and a controller are dropped with their connection, so that there
        // only the order within one connection matters, which the connection keeps.
        let may_overtake = chance(2) && !shares_one_connection(from, to);
        let last = self.last_arrivals.entry((from, to)).or_default();
        let arrival = if may_overtake { arrival } else { arrival.max(*last) };
        *last = arrival;
        Some(arrival)
    }

    /// Closes a connection at both ends.
    pub(super) fn close(&mut self, connection: u64) {
        let Some((machine, remote)) = self.connections.remove(&connection) else { return };
        if let Some(controller) = &mut self.machines[machine].controller {
            controller.effects.open_connections.remove(&connection);
            let incarnation = self.machines[machine].incarnation;
            self.schedule_after(
                2,
                Event::ControllerInput(machine, incarnation, Input::Closed(connection)),
            );
        }
        if let RemoteEnd::Node(node, incarnation) = remote
            && self.nodes[node].incarnation == incarnation
            && self.nodes[node].connection.is_some_and(|(current, _)| current == connection)
        {
            self.nodes[node].connection = None;
        }
    }
}
