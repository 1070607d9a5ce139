//! The messages between a node (a pooler or a gateway) and the leading controller.
//!
//! Nodes send [`ToController`], the leader answers with [`ToPooler`]; both travel as
//! [`Frame`](crate::net::rpc::Frame) values on the peer port. This module owns the types only. The
//! leader's side is in `controller` and `leases`, the nodes' side in `pooler` and `gateway`.
//!
//! The encoding is part of the wire protocol: `rmp-serde` writes a struct as an array of its fields,
//! so their order and number must not change, and an enum variant by its name, so each renamed
//! variant carries the name it has on the wire in `#[serde(rename)]`. Field names are not written.
use crate::base::ids::{DbTerm, InstanceId, NodeName, Position, Revision, ServiceName};
use crate::config::directory::DirectoryEntry;
use crate::config::route_table::{RouteTable, RouteTableDelta};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// Why a pooler suspects that a database has failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum SuspicionReason {
    /// Connections to it broke or were refused.
    #[serde(rename = "Broken")]
    ConnectionsBroken,
    /// Statements are pending there and nothing was received within the time-out.
    #[serde(rename = "Silent")]
    NoResponse,
}

/// What a node sends to the leading controller.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum ToController {
    /// Opens a connection; the first message on it.
    Hello {
        /// The node's name in its settings.
        node: NodeName,
        /// Drawn at random at every start of the process, so that a restart is told from a reconnect.
        incarnation: u64,
        /// The newest configuration that the node has; 0 if it has none.
        revision: Revision,
        /// The failure domain that the node runs in.
        zone: String,
    },
    /// Asks for a renewal of all leases; answered with [`ToPooler::LeaseGrants`].
    #[serde(rename = "Renew")]
    RenewLeases {
        /// Numbers the renewals of one connection upwards; the answer repeats it.
        seq: u64,
        /// The `seq` of the last answer that arrived on this connection; 0 before the first.
        last_grant_seq: u64,
        /// The connection quotas that the pooler now applies, for the services where they changed
        /// since it last reported them on this connection.
        quotas: Vec<(ServiceName, u32)>,
        /// How many more connections would be used now, for services whose sessions wait for one.
        demand: Vec<(ServiceName, u32)>,
        /// The furthest positions seen at primaries, where they advanced.
        observed: Vec<ObservedPosition>,
        /// Services whose replica reads need a newer [`PositionBound`] than the pooler has.
        bounds_requested: Vec<ServiceName>,
        /// Requests in flight at the databases of a service, in hundredths, where that changed
        /// considerably. Reported by gateways.
        load: Vec<(ServiceName, u32)>,
    },
    /// Reports that a database seems to have failed.
    Suspect {
        /// The service that the database belongs to.
        service: ServiceName,
        /// The suspected database.
        instance: InstanceId,
        /// What was observed.
        reason: SuspicionReason,
    },
    /// Acknowledges a [`ToPooler::Revoke`]: the pooler uses the term no more.
    #[serde(rename = "Revoked")]
    RevokeAck {
        /// The service whose lease was revoked.
        service: ServiceName,
        /// The revoked term.
        term: DbTerm,
        /// The furthest commit that this pooler forwarded to a client; none if it forwarded none.
        highest: Option<Position>,
    },
    /// Acknowledges a handover, told by [`ToPooler::HandOver`] or [`PrimaryStatus::HandingOver`]:
    /// from now on the pooler forwards a commit of the term only once the target has it.
    HandOverAck {
        /// The service that is handed over.
        service: ServiceName,
        /// The number of the handover.
        handover: u64,
        /// The furthest commit that this pooler forwarded to a client; none if it forwarded none.
        highest: Option<Position>,
    },
    /// A [`ToPooler::RouteTableDelta`] arrived for a revision that this node does not have: asks for
    /// the complete table.
    #[serde(rename = "Whole")]
    RequestFullTable,
    /// The node shuts down gracefully. Before that it sends a `RevokeAck` for each lease, with the
    /// furthest commit that it forwarded; for a lease without one, nothing is known.
    #[serde(rename = "Bye")]
    Goodbye,
}

/// What a controller sends to a node.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum ToPooler {
    /// This controller does not lead; the leader's peer address, if it is known.
    #[serde(rename = "Elsewhere")]
    NotLeader(Option<SocketAddr>),
    /// This controller leads. Sent as the first answer on a connection, and again when the
    /// membership changes.
    Welcome {
        /// The peer addresses of all controllers.
        controllers: Vec<SocketAddr>,
    },
    /// The complete configuration.
    #[serde(rename = "Configured")]
    RouteTable(Box<RouteTable>),
    /// The difference to a revision that the node has.
    #[serde(rename = "Changed")]
    RouteTableDelta(Box<RouteTableDelta>),
    /// The complete directory of databases, once at the beginning of a connection.
    Directory(Vec<DirectoryEntry>),
    /// Changes of the directory, those of a short period in one message.
    #[serde(rename = "Moved")]
    DirectoryDelta {
        /// Databases that are new or changed.
        upserted: Vec<DirectoryEntry>,
        /// Databases that left the directory.
        removed: Vec<InstanceId>,
    },
    /// Answers a [`ToController::RenewLeases`] and renews every lease granted on this connection.
    #[serde(rename = "Granted")]
    LeaseGrants {
        /// The number of the renewal that this answers.
        seq: u64,
        /// How long the leases hold, in ms from the moment the renewal was sent.
        lease_ms: u64,
        /// This is the first answer on the connection: a lease that is not in it does not hold.
        complete: bool,
        /// What changed since the last answer. Everything else that was granted on this connection
        /// is granted again.
        grants: Vec<LeaseGrant>,
        /// The position bounds that were requested, as far as they are known.
        position_bounds: Vec<PositionBound>,
        /// Which part of the databases of its zone a gateway is to use first, where that changed.
        subset_ranges: Vec<SubsetRange>,
    },
    /// Withdraws a lease; answered with [`ToController::RevokeAck`].
    Revoke {
        /// The service whose lease is withdrawn.
        service: ServiceName,
        /// This term and all earlier ones must not be used any more.
        term: DbTerm,
    },
    /// Tells that a primary which still serves is about to be replaced; answered with
    /// [`ToController::HandOverAck`]. The lease on the term goes on.
    HandOver {
        /// The service that is handed over.
        service: ServiceName,
        /// What is handed over to whom.
        handover: Handover,
    },
    /// Something changed that the next renewal would bring: the node is to renew now.
    #[serde(rename = "Renew")]
    RenewNow,
}

/// A position that the primary of a term reported under a lease that still held. It covers every
/// commit acknowledged before the statement that asked for it was sent.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ObservedPosition {
    /// The service of the primary.
    pub service: ServiceName,
    /// The term of the lease.
    pub term: DbTerm,
    /// The position that the primary reported.
    pub position: Position,
    /// The statement was sent at least this many ms after the answer `last_grant_seq` arrived.
    pub sent_after_ms: u64,
}

/// A position that covers every commit acknowledged up to `age_ms` before the renewal was sent.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PositionBound {
    /// The service it is valid for.
    pub service: ServiceName,
    /// A replica at or beyond this position has all those commits.
    pub position: Position,
    /// Age in ms, counted back from the moment the renewal was sent.
    pub age_ms: u64,
}

/// A range of the databases of a service in one zone, which every node lays out in the same order, in
/// millionths of their total capacity.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct SubsetRange {
    /// The service it is valid for.
    pub service: ServiceName,
    /// Where the range begins, in millionths.
    pub start: u32,
    /// Where the range ends, in millionths; not included.
    pub end: u32,
}

/// What a pooler may use of a service for as long as its lease holds.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LeaseGrant {
    /// The service.
    pub service: ServiceName,
    /// Whether there is a primary that may be used.
    pub status: PrimaryStatus,
    /// How many connections this pooler may have to each database of the service.
    pub quota: u32,
}

/// A planned change of a primary that still serves.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Handover {
    /// Identifies the handover; a later one has a higher number.
    pub number: u64,
    /// The term of the primary that is replaced.
    pub term: DbTerm,
    /// The replica that is to become the primary.
    pub target: InstanceId,
}

/// Whether a service has a primary.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum PrimaryStatus {
    /// A primary that may be used under this term.
    #[serde(rename = "Led")]
    Active {
        /// The term of the primary, which fences earlier ones.
        term: DbTerm,
        /// The primary.
        primary: InstanceId,
    },
    /// As `Active`, but a commit may be forwarded only once the target of the handover has it;
    /// answered with [`ToController::HandOverAck`].
    HandingOver {
        /// The primary that is replaced.
        primary: InstanceId,
        /// What is handed over to whom.
        handover: Handover,
    },
    /// Nobody can commit; every acknowledged commit is at or before this position.
    Sealed(Position),
    /// No primary may be used.
    #[serde(rename = "Unled")]
    Absent,
}

impl PrimaryStatus {
    /// The term that a lease is granted on, if one is.
    pub fn leased_term(&self) -> Option<DbTerm> {
        match self {
            PrimaryStatus::Active { term, .. } => Some(*term),
            PrimaryStatus::HandingOver { handover, .. } => Some(handover.term),
            PrimaryStatus::Sealed(_) | PrimaryStatus::Absent => None,
        }
    }
}
