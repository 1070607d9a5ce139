//! The commands of the replicated log and the outcome of applying one.
use crate::base::ids::{DbTerm, InstanceId, Revision, ServiceName};
use crate::config::directory::Instance;
use serde::{Deserialize, Serialize};
use serde_bytes::ByteBuf;
use std::collections::BTreeMap;

/// A change of the replicated state, as it is stored in a log entry.
///
/// Variant names and the order of the fields are part of the stored form.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Command {
    /// Replaces the operator's configuration.
    #[serde(rename = "Configure")]
    PutConfiguration {
        /// The revision that must be in force for the command to apply.
        base: Revision,
        /// The new revision.
        revision: Revision,
        /// The configuration, byte for byte as the operator sent it.
        body: ByteBuf,
    },
    /// Adds or updates a database in the directory.
    #[serde(rename = "Beat")]
    Heartbeat {
        /// The database that sent the heartbeat.
        id: InstanceId,
        /// What the heartbeat says about the database.
        instance: Instance,
        /// The number of the heartbeat; a database counts them upwards.
        sequence: u64,
    },
    /// Removes a database from the directory.
    #[serde(rename = "Gone")]
    RemoveInstance {
        /// The database.
        id: InstanceId,
        /// Heartbeats up to this sequence number must not add the database again.
        sequence: u64,
    },
    /// Records the primary of a term.
    #[serde(rename = "Led")]
    SetPrimary {
        /// The service.
        service: ServiceName,
        /// The term in which the primary writes.
        term: DbTerm,
        /// The primary.
        primary: InstanceId,
    },
    /// Records the decision to promote a replica, before the replica is asked to.
    #[serde(rename = "Intend")]
    BeginFailover {
        /// The service.
        service: ServiceName,
        /// The term that must be current for the command to apply.
        term: DbTerm,
        /// The replica that is to become primary.
        target: InstanceId,
    },
    /// Withdraws the decision to promote `target`.
    #[serde(rename = "Abandon")]
    AbandonFailover {
        /// The service.
        service: ServiceName,
        /// The replica that was to become primary.
        target: InstanceId,
    },
    /// Enough listed replicas have every commit that was acknowledged before these replicas left.
    #[serde(rename = "Covered")]
    ForgetDeparted {
        /// The service.
        service: ServiceName,
        /// The departed replicas, each with its last heartbeat sequence number.
        departed: BTreeMap<InstanceId, u64>,
    },
    /// The primary of this term crashed and returned with its log under another id.
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
    /// The state has changed.
    Applied,
    /// The state already was as the command asks, or the command no longer applies.
    NoChange,
    /// The configuration that the command is based on is not the one in force.
    StaleBase,
    /// The new revision is not above the one in force.
    RevisionNotAbove,
    /// The revision is older than the history of accepted configurations reaches, so it is not
    /// known whether it was accepted once.
    HistoryExpired,
}
