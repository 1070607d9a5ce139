//! Commands stored in the replicated log, and the outcomes of applying them.
use crate::base::ids::{DbTerm, InstanceId, Revision, ServiceName};
use crate::config::directory::Instance;
use serde::{Deserialize, Serialize};
use serde_bytes::ByteBuf;
use std::collections::BTreeMap;

/// A change of the replicated state, as stored in a log entry.
///
/// The serialized variant names and the order of the fields are part of the storage format.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Command {
    /// Replaces the active configuration with one that the operator sent.
    #[serde(rename = "Configure")]
    PutConfiguration {
        /// The revision that must be active for the command to apply.
        base: Revision,
        /// The new revision.
        revision: Revision,
        /// The configuration, unchanged as the operator sent it.
        body: ByteBuf,
    },
    /// Adds or updates a database in the directory.
    #[serde(rename = "Beat")]
    Heartbeat {
        /// The database that sent the heartbeat.
        id: InstanceId,
        /// The properties of the database that the heartbeat reports.
        instance: Instance,
        /// The sequence number of the heartbeat; it grows with each heartbeat of the database.
        sequence: u64,
    },
    /// Removes a database from the directory.
    #[serde(rename = "Gone")]
    RemoveInstance {
        /// The database to remove.
        id: InstanceId,
        /// Heartbeats up to this sequence number are ignored, so that a delayed one does not add
        /// the database again.
        sequence: u64,
    },
    /// Records the primary of a new term.
    #[serde(rename = "Led")]
    SetPrimary {
        /// The service.
        service: ServiceName,
        /// The term in which the primary accepts writes.
        term: DbTerm,
        /// The primary.
        primary: InstanceId,
    },
    /// Records the decision to promote a replica, before its promotion is requested.
    #[serde(rename = "Intend")]
    BeginFailover {
        /// The service.
        service: ServiceName,
        /// The term that must be current for the command to apply.
        term: DbTerm,
        /// The replica to promote.
        target: InstanceId,
    },
    /// Withdraws the decision to promote `target`.
    #[serde(rename = "Abandon")]
    AbandonFailover {
        /// The service.
        service: ServiceName,
        /// The replica that was to be promoted.
        target: InstanceId,
    },
    /// Forgets departed replicas: enough registered replicas have every commit that was
    /// acknowledged before these departed.
    #[serde(rename = "Covered")]
    ForgetDeparted {
        /// The service.
        service: ServiceName,
        /// The departed replicas, each with its last heartbeat sequence number.
        departed: BTreeMap<InstanceId, u64>,
    },
    /// Replaces the id of a primary that crashed and came back with its log under a new id.
    #[serde(rename = "Returned")]
    PrimaryReturned {
        /// The service.
        service: ServiceName,
        /// The term that must be current for the command to apply.
        term: DbTerm,
        /// The new id of the primary.
        primary: InstanceId,
    },
}

/// The outcome of applying a [`Command`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CommandOutcome {
    /// The command changed the state.
    Applied,
    /// The state was already as the command requests, or the command no longer applies.
    NoChange,
    /// The configuration that the command is based on is not the active one.
    StaleBase,
    /// The new revision is not above the active one.
    RevisionNotAbove,
    /// The revision precedes the retained history of accepted configurations, so it is unknown
    /// whether it was accepted before.
    HistoryExpired,
}
