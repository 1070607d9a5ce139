//! The messages between a node (a pooler or a gateway) and the leading controller.
//!
//! Nodes send [`ToController`] and controllers send [`ToPooler`], both as
//! [`Frame`](crate::net::rpc::Frame) values on the peer port. This module only defines the types.
//! The leader's side is implemented in `controller` and `leases`, the nodes' side in `pooler` and
//! `gateway`.
//!
//! The encoding is part of the wire protocol. `rmp-serde` writes a struct as an array of its
//! fields, so their order and number must not change; field names are not written. It writes an
//! enum variant by its name, so a renamed variant keeps its name on the wire with
//! `#[serde(rename)]`.
use crate::base::ids::{DbTerm, InstanceId, NodeName, Position, Revision, ServiceName, TenantName};
use crate::config::directory::DirectoryEntry;
use crate::config::route_table::{RouteTable, RouteTableDelta};
use crate::config::tenants::TenantTable;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// Why a pooler suspects that a database has failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum SuspicionReason {
    /// Connections to it failed or were refused.
    #[serde(rename = "Broken")]
    ConnectionsBroken,
    /// Statements are pending there, but nothing was received within the timeout.
    #[serde(rename = "Silent")]
    NoResponse,
}

/// A message from a node to the leading controller.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum ToController {
    /// Identifies the node; the first message on a connection.
    Hello {
        /// The node's name, from its settings.
        node: NodeName,
        /// A random number chosen at every start of the process. It distinguishes a restart from a
        /// reconnect.
        incarnation: u64,
        /// The revision of the configuration that the node has; 0 if it has none.
        revision: Revision,
        /// The zone (failure domain) that the node runs in.
        zone: String,
    },
    /// Requests the renewal of all leases; the response is [`ToPooler::LeaseGrants`].
    #[serde(rename = "Renew")]
    RenewLeases {
        /// The sequence number of the renewal on this connection; the response repeats it.
        seq: u64,
        /// The `seq` of the last response received on this connection; 0 before the first.
        last_grant_seq: u64,
        /// The connection quotas that the pooler applies, for the services whose quota changed
        /// since it was last reported on this connection.
        quotas: Vec<(ServiceName, u32)>,
        /// How many additional connections are needed, for services whose sessions wait for one.
        demand: Vec<(ServiceName, u32)>,
        /// The highest positions observed at primaries, for services where they advanced.
        observed: Vec<ObservedPosition>,
        /// The services whose replica reads need a newer [`PositionBound`] than the pooler has.
        bounds_requested: Vec<ServiceName>,
        /// The requests in flight at the databases of a service, in hundredths, for services where
        /// the number changed considerably. Only gateways report it.
        load: Vec<(ServiceName, u32)>,
    },
    /// Reports that a database seems to have failed.
    Suspect {
        /// The service that the database belongs to.
        service: ServiceName,
        /// The suspected database.
        instance: InstanceId,
        /// The reason for the suspicion.
        reason: SuspicionReason,
    },
    /// Acknowledges a [`ToPooler::Revoke`]: the pooler no longer uses the term.
    #[serde(rename = "Revoked")]
    RevokeAck {
        /// The service whose lease was revoked.
        service: ServiceName,
        /// The revoked term.
        term: DbTerm,
        /// The position of the highest commit that this pooler forwarded to a client, if any.
        highest: Option<Position>,
    },
    /// Acknowledges a handover announced by [`ToPooler::HandOver`] or
    /// [`PrimaryStatus::HandingOver`]: from now on the pooler forwards a commit of the term
    /// only once the target has it.
    HandOverAck {
        /// The service that is handed over.
        service: ServiceName,
        /// The number of the handover.
        handover: u64,
        /// The position of the highest commit that this pooler forwarded to a client, if any.
        highest: Option<Position>,
    },
    /// Requests the complete route table, because a [`ToPooler::RouteTableDelta`] is based on a
    /// revision that the node does not have.
    #[serde(rename = "Whole")]
    RequestFullTable,
    /// Requests operations of tenants; the response is [`ToPooler::GrantOperations`].
    RequestOperations(Vec<OperationRequest>),
    /// Announces that the node shuts down gracefully. Before it, the node sends a `RevokeAck` with
    /// the highest commit that it forwarded for each lease; for a lease without one, that position
    /// is unknown.
    #[serde(rename = "Bye")]
    Goodbye,
}

/// A message from a controller to a node.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum ToPooler {
    /// This controller is not the leader. Contains the leader's peer address, if it is known.
    #[serde(rename = "Elsewhere")]
    NotLeader(Option<SocketAddr>),
    /// This controller is the leader. Sent in response to `Hello`, and again when the membership
    /// changes.
    Welcome {
        /// The peer addresses of all controllers.
        controllers: Vec<SocketAddr>,
    },
    /// The complete configuration.
    #[serde(rename = "Configured")]
    RouteTable(Box<RouteTable>),
    /// The changes from a revision that the node has.
    #[serde(rename = "Changed")]
    RouteTableDelta(Box<RouteTableDelta>),
    /// The complete configuration, if it has tenants.
    TenantRouteTable {
        /// The routes.
        table: Box<RouteTable>,
        /// The tenants of the same revision.
        tenants: Box<TenantTable>,
    },
    /// The changes from a revision that the node has, if that or the new one has tenants.
    TenantRouteTableDelta {
        /// The changes of the routes.
        delta: Box<RouteTableDelta>,
        /// The tenants of the new revision; `None` if they are those of the base.
        tenants: Option<Box<TenantTable>>,
    },
    /// The response to [`ToController::RequestOperations`].
    GrantOperations(Vec<OperationGrant>),
    /// The complete directory of databases. Sent once at the beginning of a connection.
    Directory(Vec<DirectoryEntry>),
    /// Changes of the directory, batched over a short period.
    #[serde(rename = "Moved")]
    DirectoryDelta {
        /// Databases that are new or changed.
        upserted: Vec<DirectoryEntry>,
        /// The databases that departed from the directory.
        removed: Vec<InstanceId>,
    },
    /// The response to [`ToController::RenewLeases`]; renews every lease granted on this
    /// connection.
    #[serde(rename = "Granted")]
    LeaseGrants {
        /// The sequence number of the renewal that this responds to.
        seq: u64,
        /// The duration of the leases in ms, counted from the moment the renewal was sent.
        lease_ms: u64,
        /// Whether this is the first response on the connection: leases that it doesn't contain are
        /// not valid.
        complete: bool,
        /// The grants that changed since the last response. All others of this connection are
        /// renewed.
        grants: Vec<LeaseGrant>,
        /// The requested position bounds, as far as they are known.
        position_bounds: Vec<PositionBound>,
        /// The subset of the databases of its zone that a gateway should prefer, for services where
        /// it changed.
        subset_ranges: Vec<SubsetRange>,
    },
    /// Revokes a lease; the response is [`ToController::RevokeAck`].
    Revoke {
        /// The service whose lease is revoked.
        service: ServiceName,
        /// This term and all earlier ones must not be used any more.
        term: DbTerm,
    },
    /// Announces that a primary that still serves is about to be replaced; the response is
    /// [`ToController::HandOverAck`]. The lease on the term stays valid.
    HandOver {
        /// The service that is handed over.
        service: ServiceName,
        /// The term and the target of the handover.
        handover: Handover,
    },
    /// The number of replicas that must have received a commit before the primary acknowledges it,
    /// for all services where it is not 0. Sent before the first grant on a connection and whenever
    /// a configuration changes it: under a lease, a pooler forwards a commit only once that many
    /// replicas in the directory have received it.
    SyncReplicas(BTreeMap<ServiceName, u32>),
    /// Asks the node to renew its leases immediately, because the response would contain changes.
    #[serde(rename = "Renew")]
    RenewNow,
}

/// A node's request for operations of a tenant.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OperationRequest {
    /// The tenant.
    pub tenant: TenantName,
    /// How many operations the node could make while the grant is valid.
    pub count: u32,
    /// The number of the request, which the grant repeats: the time for which a grant is valid
    /// counts from its request.
    pub number: u64,
}

/// Operations of a tenant that a node may make within
/// [`GRANT_VALID_MS`](crate::leases::operation_grants::GRANT_VALID_MS) of its request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OperationGrant {
    /// The tenant.
    pub tenant: TenantName,
    /// The number of operations; 0 if the tenant is at its limit.
    pub count: u32,
    /// After how many milliseconds the node may ask again, if it got none.
    pub retry_after_ms: u64,
    /// The number of the request.
    pub number: u64,
}

/// A log position that the primary of a term reported under a valid lease. It covers every commit
/// acknowledged before the statement that obtained it was sent.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ObservedPosition {
    /// The service of the primary.
    pub service: ServiceName,
    /// The term of the lease.
    pub term: DbTerm,
    /// The position that the primary reported.
    pub position: Position,
    /// The statement was sent at least this many ms after the response `last_grant_seq` was
    /// received.
    pub sent_after_ms: u64,
}

/// A log position that covers every commit acknowledged until `age_ms` before the renewal was sent.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PositionBound {
    /// The service that the bound is valid for.
    pub service: ServiceName,
    /// A replica at or beyond this position has all these commits.
    pub position: Position,
    /// The age of the bound in ms, counted back from the moment the renewal was sent.
    pub age_ms: u64,
}

/// A range of the databases of a service in one zone, in millionths of their total capacity. Every
/// node arranges the databases in the same order.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct SubsetRange {
    /// The service that the range is valid for.
    pub service: ServiceName,
    /// The start of the range, in millionths.
    pub start: u32,
    /// The exclusive end of the range, in millionths.
    pub end: u32,
}

/// What a pooler may use of a service while its lease is valid.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LeaseGrant {
    /// The service.
    pub service: ServiceName,
    /// The primary that the pooler may use, if there is one.
    pub status: PrimaryStatus,
    /// The number of connections that this pooler may have to each database of the service.
    pub quota: u32,
}

/// A planned replacement of a primary that still serves.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Handover {
    /// Identifies the handover; a later one has a higher number.
    pub number: u64,
    /// The term of the primary to be replaced.
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
    /// Like `Active`, but a commit may be forwarded only once the target of the handover has it;
    /// the response is [`ToController::HandOverAck`].
    HandingOver {
        /// The primary to be replaced.
        primary: InstanceId,
        /// The term and the target of the handover.
        handover: Handover,
    },
    /// No commits are possible; every acknowledged commit is at or before this position.
    Sealed(Position),
    /// No primary may be used.
    #[serde(rename = "Unled")]
    Absent,
}

impl PrimaryStatus {
    /// The term of the granted lease, if there is one.
    pub fn leased_term(&self) -> Option<DbTerm> {
        match self {
            PrimaryStatus::Active { term, .. } => Some(*term),
            PrimaryStatus::HandingOver { handover, .. } => Some(handover.term),
            PrimaryStatus::Sealed(_) | PrimaryStatus::Absent => None,
        }
    }
}
