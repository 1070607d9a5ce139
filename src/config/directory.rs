//! The entries of the directory of databases, as heartbeats bring them and as nodes receive them.
use crate::base::ids::{InstanceId, ServiceName};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// Whether a database may get new work.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Lifecycle {
    /// It gets new work.
    Available,
    /// It finishes its work and is about to shut down.
    Draining,
}

/// What a database says it is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Role {
    /// It accepts writes.
    Primary,
    /// It follows a primary.
    Replica,
}

/// A database as its heartbeats describe it. The sequence number changes with every heartbeat and
/// is kept apart, in [`Heartbeat`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Instance {
    /// The service that it belongs to.
    pub target_service: ServiceName,
    /// Where it accepts connections.
    pub address: SocketAddr,
    /// The zone that it runs in.
    #[serde(default)]
    pub zone: String,
    /// The version of its program.
    #[serde(default)]
    pub revision: String,
    /// How many requests it works on at once; 0 if it does not say.
    #[serde(default)]
    pub capacity: u32,
    /// Whether it may get new work.
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
    /// The number of the heartbeat; a database counts them upwards.
    pub sequence: u64,
}

/// One entry of the directory as nodes receive it: only what they need, as there are hundreds of
/// entries and of nodes. Encoded by the order of the fields.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct DirectoryEntry {
    /// The database.
    pub id: InstanceId,
    /// The service that it belongs to.
    pub service: ServiceName,
    /// Where it accepts connections.
    pub address: SocketAddr,
    /// The zone that it runs in.
    pub zone: String,
    /// Whether it finishes its work and is about to shut down.
    pub draining: bool,
    /// How many requests it works on at once; 0 if it does not say.
    pub capacity: u32,
}

impl DirectoryEntry {
    /// The entry of a database.
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
