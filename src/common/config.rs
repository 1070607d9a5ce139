//! The operator's configuration and the directory's records.
use super::ids::{InstanceId, Revision, ServiceName};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use validator::{Validate, ValidationError};

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, Validate)]
#[validate(schema(function = "whole"))]
pub struct Configuration {
    #[validate(custom(function = "above_zero"))]
    pub revision: Revision,
    #[validate(nested)]
    pub route_rules: Vec<Route>,
    // Far more than any deployment has; a lane counts them with 16 bits.
    #[validate(nested, length(max = 60_000))]
    pub services: Vec<Service>,
    #[serde(default)]
    #[validate(nested)]
    pub limits: SessionLimits,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RouteType {
    Primary,
    Bounded,
    ReadYourWrites,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, Validate)]
pub struct Route {
    #[validate(length(min = 1))]
    pub name: String,
    #[validate(length(min = 1, max = 255))]
    pub hostname: String,
    #[serde(default = "slash")]
    pub path_prefix: String,
    pub route_type: RouteType,
    #[validate(range(min = 1))]
    pub timeout_ms: u64,
    #[serde(default)]
    pub target_latency_ms: u64,
    #[serde(default)]
    pub priority: u8,
    pub target_service: ServiceName,
    #[serde(default = "one")]
    pub max_attempts: u32,
    #[serde(default)]
    pub stale_ms: u64,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, Validate)]
pub struct Service {
    #[validate(custom(function = "named"))]
    pub name: ServiceName,
    #[validate(range(min = 1))]
    pub max_connections: u32,
    #[serde(default)]
    pub sync_replicas: u32,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, Validate)]
#[serde(default)]
pub struct SessionLimits {
    #[validate(range(min = 1))]
    pub txn_idle_ms: u64,
}
impl Default for SessionLimits {
    fn default() -> Self {
        Self { txn_idle_ms: 3000 }
    }
}

fn slash() -> String {
    "/".to_owned()
}
fn one() -> u32 {
    1
}
fn above_zero(revision: &Revision) -> Result<(), ValidationError> {
    if revision.0 == 0 { Err(ValidationError::new("above_zero")) } else { Ok(()) }
}
fn named(name: &ServiceName) -> Result<(), ValidationError> {
    if name.0.is_empty() || name.0.contains(char::is_whitespace) {
        return Err(ValidationError::new("one_word"));
    }
    Ok(())
}
fn whole(config: &Configuration) -> Result<(), ValidationError> {
    let mut services = BTreeSet::new();
    if !config.services.iter().all(|s| services.insert(&s.name)) {
        return Err(ValidationError::new("service_named_twice"));
    }
    let mut places = BTreeSet::new();
    for route in &config.route_rules {
        if !services.contains(&route.target_service) {
            return Err(ValidationError::new("unknown_service"));
        }
        if !places.insert((&route.hostname, &route.path_prefix)) {
            return Err(ValidationError::new("same_host_and_prefix"));
        }
    }
    Ok(())
}

impl Configuration {
    /// Reads and checks the bytes an operator sent; the text says what is wrong.
    pub fn read(body: &[u8]) -> Result<Self, String> {
        let config: Configuration =
            serde_json::from_slice(body).map_err(|e| format!("cannot be read: {e}"))?;
        config.validate().map_err(|e| e.to_string().replace('\n', "; "))?;
        Ok(config)
    }
}

/// What a stile needs of a route. Links to stiles may be thin, and there may be thousands.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Lane {
    pub hostname: String,
    #[serde(with = "numbered")]
    pub route_type: RouteType,
    pub timeout_ms: u64,
    pub priority: u8,
    pub stale_ms: u64,
    /// Its place among the services.
    service: u16,
}
mod numbered {
    use super::RouteType;
    use serde::{Deserialize, Deserializer, Serializer, de::Error};
    const ALL: [RouteType; 3] = [RouteType::Primary, RouteType::Bounded, RouteType::ReadYourWrites];
    pub fn serialize<S: Serializer>(kind: &RouteType, to: S) -> Result<S::Ok, S::Error> {
        to.serialize_u8(*kind as u8)
    }
    pub fn deserialize<'de, D: Deserializer<'de>>(from: D) -> Result<RouteType, D::Error> {
        let number = u8::deserialize(from)?;
        ALL.get(usize::from(number))
            .copied()
            .ok_or_else(|| D::Error::custom("no such type of route"))
    }
}

/// What a stile needs of a configuration: a lane for each database name, in their order.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Lanes {
    pub revision: Revision,
    lanes: Vec<Lane>,
    pub services: Vec<ServiceName>,
    pub limits: SessionLimits,
}
impl Lanes {
    pub fn of(config: &Configuration) -> Self {
        let places: BTreeMap<&ServiceName, usize> =
            config.services.iter().enumerate().map(|(at, s)| (&s.name, at)).collect();
        let mut by_name: BTreeMap<&str, Lane> = BTreeMap::new();
        for route in &config.route_rules {
            let Some(service) = places.get(&route.target_service) else {
                continue;
            };
            // Of several routes with a name, the first counts.
            by_name.entry(&route.hostname).or_insert_with(|| Lane {
                hostname: route.hostname.clone(),
                route_type: route.route_type,
                timeout_ms: route.timeout_ms,
                priority: route.priority,
                stale_ms: route.stale_ms,
                service: *service as u16,
            });
        }
        Self {
            revision: config.revision,
            lanes: by_name.into_values().collect(),
            services: config.services.iter().map(|s| s.name.clone()).collect(),
            limits: config.limits.clone(),
        }
    }
    /// The lane of a database name, and the service it leads to.
    pub fn lane(&self, hostname: &str) -> Option<(&Lane, &ServiceName)> {
        let at = self.lanes.binary_search_by(|l| l.hostname.as_str().cmp(hostname)).ok()?;
        let lane = &self.lanes[at];
        Some((lane, self.services.get(usize::from(lane.service))?))
    }
    /// What has to be known to come here from `base`.
    pub fn since(&self, base: &Lanes) -> Changed {
        Changed {
            base: base.revision,
            revision: self.revision,
            lanes: runs(&base.lanes, &self.lanes, |l| l.hostname.clone()),
            services: runs(&base.services, &self.services, |s| s.clone()),
            limits: self.limits.clone(),
        }
    }
    /// The version that `changed` leads to from this one; none if it is not meant for this one.
    pub fn with(&self, changed: &Changed) -> Option<Lanes> {
        if changed.base != self.revision {
            return None;
        }
        Some(Lanes {
            revision: changed.revision,
            lanes: laid_out(&self.lanes, &changed.lanes)?,
            services: laid_out(&self.services, &changed.services)?,
            limits: changed.limits.clone(),
        })
    }
}

/// The way from one version to another.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Changed {
    pub base: Revision,
    pub revision: Revision,
    pub lanes: Vec<Run<Lane>>,
    pub services: Vec<Run<ServiceName>>,
    pub limits: SessionLimits,
}
/// A part of a list: as it stood in the old one, or new.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Run<T> {
    Same { from: usize, count: usize },
    New(Vec<T>),
}

fn runs<T: Clone + PartialEq, K: Ord>(old: &[T], new: &[T], key: impl Fn(&T) -> K) -> Vec<Run<T>> {
    let places: BTreeMap<K, usize> = old.iter().enumerate().map(|(i, t)| (key(t), i)).collect();
    let mut runs: Vec<Run<T>> = Vec::new();
    for item in new {
        let same = places.get(&key(item)).copied().filter(|at| old[*at] == *item);
        match (runs.last_mut(), same) {
            (Some(Run::Same { from, count }), Some(at)) if *from + *count == at => *count += 1,
            (_, Some(at)) => runs.push(Run::Same { from: at, count: 1 }),
            (Some(Run::New(items)), None) => items.push(item.clone()),
            (_, None) => runs.push(Run::New(vec![item.clone()])),
        }
    }
    runs
}
fn laid_out<T: Clone>(old: &[T], runs: &[Run<T>]) -> Option<Vec<T>> {
    let mut new = Vec::new();
    for run in runs {
        match run {
            Run::Same { from, count } => {
                new.extend_from_slice(old.get(*from..from.checked_add(*count)?)?);
            }
            Run::New(items) => new.extend_from_slice(items),
        }
    }
    Some(new)
}

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

/// A database as its beats tell of it. What changes with every beat is kept apart, in `Beat`.
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
pub struct Beat {
    #[serde(flatten)]
    pub instance: Instance,
    pub sequence: u64,
}

/// One entry of the directory as stiles are told of it: no more than they need, as there are hundreds
/// of either.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Listed {
    pub id: InstanceId,
    pub service: ServiceName,
    pub address: SocketAddr,
    pub zone: String,
    pub draining: bool,
}
impl Listed {
    pub fn of(id: &InstanceId, instance: &Instance) -> Self {
        Self {
            id: id.clone(),
            service: instance.target_service.clone(),
            address: instance.address,
            zone: instance.zone.clone(),
            draining: instance.lifecycle_state == Lifecycle::Draining,
        }
    }
}
