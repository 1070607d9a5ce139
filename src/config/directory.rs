//! The entries of the directory of databases.
use crate::base::ids::{InstanceId, ServiceName};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Lifecycle {
    Available,
    Draining,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Role {
    Primary,
    Replica,
}

/// A database as its heartbeats tell of it. What changes with every heartbeat is kept apart, in `Heartbeat`.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Instance {
    pub target_service: ServiceName,
    pub address: SocketAddr,
    #[serde(default)]
    pub zone: String,
    #[serde(default)]
    pub revision: String,
    #[serde(default)]
    pub capacity: u32,
    pub lifecycle_state: Lifecycle,
    #[serde(default = "replica")]
    pub database_role: Role,
}

fn replica() -> Role {
    Role::Replica
}

/// The body of `PUT /instances/ID`.
#[derive(Clone, Debug, Deserialize)]
pub struct Heartbeat {
    #[serde(flatten)]
    pub instance: Instance,
    pub sequence: u64,
}

/// One entry of the directory as nodes are told of it: no more than they need, as there are hundreds
/// of either.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct DirectoryEntry {
    pub id: InstanceId,
    pub service: ServiceName,
    pub address: SocketAddr,
    pub zone: String,
    pub draining: bool,
    /// How many requests it works on at once; 0 if it did not say.
    pub capacity: u32,
}

impl DirectoryEntry {
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
