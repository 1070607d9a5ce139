//! The messages between a node and the leading controller.
use crate::base::ids::{DbTerm, InstanceId, NodeName, Position, Revision, ServiceName};
use crate::config::directory::DirectoryEntry;
use crate::config::route_table::{RouteTable, RouteTableDelta};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// Why a pooler believes a database lost.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum SuspicionReason {
    /// Its connections broke or were refused.
    #[serde(rename = "Broken")]
    ConnectionsBroken,
    /// It owes answers and says nothing.
    #[serde(rename = "Silent")]
    NoResponse,
}

#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum ToController {
    Hello {
        node: NodeName,
        /// Drawn anew at every start of the process.
        incarnation: u64,
        revision: Revision,
        zone: String,
    },
    #[serde(rename = "Renew")]
    RenewLeases {
        seq: u64,
        /// The last answer that came on this connection; none yet if 0.
        heard: u64,
        /// The shares of connections this pooler holds itself to, where they changed since it last
        /// said so on this connection.
        shares: Vec<(ServiceName, u32)>,
        /// How many connections more would be used now, where sessions wait for one.
        wants: Vec<(ServiceName, u32)>,
        /// How far primaries were seen, where that moved.
        saw: Vec<ObservedPosition>,
        /// Services whose reads want a newer floor than this pooler has.
        asks: Vec<ServiceName>,
        /// Requests under way at databases of a service, in hundredths, where that changed much.
        busy: Vec<(ServiceName, u32)>,
    },
    Suspect {
        service: ServiceName,
        instance: InstanceId,
        why: SuspicionReason,
    },
    #[serde(rename = "Revoked")]
    RevokeAck {
        service: ServiceName,
        term: DbTerm,
        /// The furthest position this pooler saw acknowledged.
        highest: Option<Position>,
    },
    /// A change came for a version that this pooler does not have: the whole is needed.
    #[serde(rename = "Whole")]
    RequestFullTable,
    /// Leaving in order: no lease is used any more.
    #[serde(rename = "Bye")]
    Goodbye,
}

#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum ToPooler {
    /// Not the leader; perhaps this one is.
    #[serde(rename = "Elsewhere")]
    NotLeader(Option<SocketAddr>),
    Welcome {
        controllers: Vec<SocketAddr>,
    },
    #[serde(rename = "Configured")]
    RouteTable(Box<RouteTable>),
    /// What differs from a version that the pooler has.
    #[serde(rename = "Changed")]
    RouteTableDelta(Box<RouteTableDelta>),
    /// The whole directory, when a connection begins.
    Directory(Vec<DirectoryEntry>),
    /// Changes of the directory, those of a moment at once.
    #[serde(rename = "Moved")]
    DirectoryDelta {
        listed: Vec<DirectoryEntry>,
        gone: Vec<InstanceId>,
    },
    #[serde(rename = "Granted")]
    LeaseGrants {
        seq: u64,
        lease_ms: u64,
        /// The first answer on a connection: nothing holds that is not in it.
        whole: bool,
        /// What changed. All else that was told on this connection is granted again.
        grants: Vec<LeaseGrant>,
        /// The floors that were asked for.
        fresh: Vec<PositionBound>,
        /// The parts of its zone's databases that a gateway's node is to use first.
        subset_ranges: Vec<SubsetRange>,
    },
    Revoke {
        service: ServiceName,
        term: DbTerm,
    },
    /// Something changed that a renewal would tell: ask now.
    #[serde(rename = "Renew")]
    RenewNow,
}

/// A position that the primary of a term told under a lease that still held: it covers every commit
/// acknowledged before its statement was sent.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ObservedPosition {
    pub service: ServiceName,
    pub term: DbTerm,
    pub position: Position,
    /// The statement was sent at least so many ms after the answer that is named as heard.
    pub after: u64,
}

/// A position that covers every commit acknowledged up to `age` ms before the renewal was asked for.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PositionBound {
    pub service: ServiceName,
    pub position: Position,
    pub age: u64,
}

/// A part of a service's databases in a zone, laid out in one order at all nodes, in millionths of
/// what they can work on at once.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct SubsetRange {
    pub service: ServiceName,
    pub from: u32,
    pub upto: u32,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LeaseGrant {
    pub service: ServiceName,
    pub standing: PrimaryStatus,
    /// Connections this pooler may have to each database of the service.
    pub share: u32,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum PrimaryStatus {
    #[serde(rename = "Led")]
    Active { term: DbTerm, primary: InstanceId },
    /// Nobody can commit; every acknowledged commit lies at or before this position.
    Sealed(Position),
    #[serde(rename = "Unled")]
    Absent,
}
