//! The entries of the directory of databases, as contained in heartbeats and as sent to nodes.
use crate::base::ids::{InstanceId, ServiceName};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// Whether a database accepts new work.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Lifecycle {
    /// It accepts new work.
    Available,
    /// It completes the work in progress and is about to shut down.
    Draining,
}

/// The role that a database reports.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Role {
    /// It accepts writes.
    Primary,
    /// It replicates from a primary.
    Replica,
}

/// A database as described by its heartbeats. The sequence number changes with every heartbeat and
/// is therefore not part of this type, see [`Heartbeat`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Instance {
    /// The service that the database belongs to.
    pub target_service: ServiceName,
    /// The address at which it accepts connections.
    pub address: SocketAddr,
    /// The zone that it runs in.
    #[serde(default)]
    pub zone: String,
    /// The version of the database software.
    #[serde(default)]
    pub revision: String,
    /// The number of requests that it processes concurrently; 0 if it does not report one.
    #[serde(default)]
    pub capacity: u32,
    /// Whether it accepts new work.
    pub lifecycle_state: Lifecycle,
    /// Whether it is a primary or a replica.
    #[serde(default = "default_role")]
    pub database_role: Role,
}

fn default_role() -> Role {
    Role::Replica
}

/// The body of `PUT /instances/ID`.
#[derive(Clone, Debug, Deserialize)]
pub struct Heartbeat {
    /// The database.
    #[serde(flatten)]
    pub instance: Instance,
    /// The sequence number of the heartbeat, which increases with every heartbeat of the database.
    pub sequence: u64,
}

/// An entry of the directory as sent to nodes. Contains only what nodes need, since there are
/// hundreds of entries and hundreds of nodes. Encoded by the order of the fields.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct DirectoryEntry {
    /// The id of the database.
    pub id: InstanceId,
    /// The service that it belongs to.
    pub service: ServiceName,
    /// The address at which it accepts connections.
    pub address: SocketAddr,
    /// The zone that it runs in.
    pub zone: String,
    /// Whether it is draining: it completes the work in progress and is about to shut down.
    pub draining: bool,
    /// The number of requests that it processes concurrently; 0 if it does not report one.
    pub capacity: u32,
}

impl DirectoryEntry {
    /// Creates the entry of a database.
    pub fn of(id: &InstanceId, instance: &Instance) -> Self {
        Self {
            id: id.clone(),
            service: instance.target_service.clone(),
            address: instance.address,
            zone: instance.zone.clone(),
            draining: instance.lifecycle_state == Lifecycle::Draining,
            capacity: instance.capacity,
        }
    }
}
