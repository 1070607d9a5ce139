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
    /// At a gateway: may run more than once.
    Idempotent,
    /// At a gateway: at most once for each try of a client.
    NonIdempotent,
    /// At a gateway: as idempotent, with a large answer.
    Download,
}
impl RouteType {
    /// Whether a request may run a second time.
    pub fn repeatable(self) -> bool {
        matches!(self, RouteType::Idempotent | RouteType::Download)
    }
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, Validate)]
#[validate(schema(function = "aimed"))]
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
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub target_service: Option<ServiceName>,
    /// Instead of one service: several, each with a part of the requests.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    #[validate(length(max = 1_000))]
    pub weighted_targets: Vec<Target>,
    #[serde(default = "one")]
    #[validate(range(min = 1))]
    pub max_attempts: u32,
    #[serde(default)]
    pub stale_ms: u64,
}
impl Route {
    /// The services that it leads to, with their weights.
    fn targets(&self) -> impl Iterator<Item = (&ServiceName, u32)> {
        let one = self.target_service.iter().map(|service| (service, 1));
        one.chain(self.weighted_targets.iter().map(|t| (&t.target_service, t.weight)))
    }
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Target {
    pub target_service: ServiceName,
    pub weight: u32,
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
    /// The head of a request, its first line counted.
    #[validate(range(min = 1))]
    pub max_header_bytes: usize,
    pub max_body_bytes: u64,
    /// How long a client may take to send a head.
    #[validate(range(min = 1))]
    pub header_timeout_ms: u64,
    /// How long a connection may rest between two requests.
    #[validate(range(min = 1))]
    pub idle_timeout_ms: u64,
}
impl Default for SessionLimits {
    fn default() -> Self {
        Self {
            txn_idle_ms: 3_000,
            max_header_bytes: 16 << 10,
            max_body_bytes: 64 << 20,
            header_timeout_ms: 3_000,
            idle_timeout_ms: 15_000,
        }
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
fn aimed(route: &Route) -> Result<(), ValidationError> {
    if route.target_service.is_some() != route.weighted_targets.is_empty() {
        return Err(ValidationError::new("target_service_or_weighted_targets"));
    }
    if route.targets().all(|(_, weight)| weight == 0) {
        return Err(ValidationError::new("weighted_targets_sum_to_0"));
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
        if !route.targets().all(|(service, _)| services.contains(service)) {
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

/// What a node needs of a route. Links to nodes may be thin, and there may be thousands.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Lane {
    pub hostname: String,
    pub path_prefix: String,
    #[serde(with = "numbered")]
    pub route_type: RouteType,
    pub timeout_ms: u64,
    pub target_latency_ms: u64,
    pub priority: u8,
    pub max_attempts: u32,
    pub stale_ms: u64,
    /// The places of its services among all, and their weights.
    targets: Vec<(u16, u32)>,
}
impl Lane {
    fn place(&self) -> (&str, &str) {
        (&self.hostname, &self.path_prefix)
    }
}
mod numbered {
    use super::RouteType;
    use serde::{Deserialize, Deserializer, Serializer, de::Error};
    const ALL: [RouteType; 6] = [
        RouteType::Primary,
        RouteType::Bounded,
        RouteType::ReadYourWrites,
        RouteType::Idempotent,
        RouteType::NonIdempotent,
        RouteType::Download,
    ];
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

/// What a node needs of a configuration: a lane for each host and prefix, in their order.
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
        // A checked configuration names only services it has, and no place twice.
        let place =
            |(service, weight): (&ServiceName, u32)| Some((*places.get(service)? as u16, weight));
        let lane = |route: &Route| Lane {
            hostname: route.hostname.clone(),
            path_prefix: route.path_prefix.clone(),
            route_type: route.route_type,
            timeout_ms: route.timeout_ms,
            target_latency_ms: route.target_latency_ms,
            priority: route.priority,
            max_attempts: route.max_attempts,
            stale_ms: route.stale_ms,
            targets: route.targets().filter_map(place).collect(),
        };
        let mut lanes: Vec<Lane> = config.route_rules.iter().map(lane).collect();
        lanes.sort_by(|a, b| a.place().cmp(&b.place()));
        Self {
            revision: config.revision,
            lanes,
            services: config.services.iter().map(|s| s.name.clone()).collect(),
            limits: config.limits.clone(),
        }
    }
    /// The lane of a database name, and the service it leads to. Of several routes with that name,
    /// the one with the first prefix counts.
    pub fn lane(&self, hostname: &str) -> Option<(&Lane, &ServiceName)> {
        let at = self.lanes.partition_point(|l| l.hostname.as_str() < hostname);
        let lane = self.lanes.get(at).filter(|l| l.hostname == hostname)?;
        Some((lane, self.service(lane, 0)?))
    }
    /// The lane of a request: of those for its host, the one with the longest prefix of its path.
    pub fn route(&self, hostname: &str, path: &str) -> Option<&Lane> {
        let slashes = path.bytes().enumerate().rev().filter(|(_, b)| *b == b'/').map(|(at, _)| at);
        slashes
            .map(|at| &path[..=at])
            .find_map(|prefix| {
                self.lanes.binary_search_by(|l| l.place().cmp(&(hostname, prefix))).ok()
            })
            .map(|at| &self.lanes[at])
    }
    /// The service that a lane leads to for one of its requests. The same request is led to the
    /// same service at every node.
    pub fn service(&self, lane: &Lane, request: u64) -> Option<&ServiceName> {
        let sum: u64 = lane.targets.iter().map(|(_, weight)| u64::from(*weight)).sum();
        let mut left = request.checked_rem(sum)?;
        for (service, weight) in &lane.targets {
            match left.checked_sub(u64::from(*weight)) {
                Some(less) => left = less,
                None => return self.services.get(usize::from(*service)),
            }
        }
        None
    }
    /// What has to be known to come here from `base`.
    pub fn since(&self, base: &Lanes) -> Changed {
        Changed {
            base: base.revision,
            revision: self.revision,
            lanes: runs(&base.lanes, &self.lanes, Lane::place),
            services: runs(&base.services, &self.services, |s| s.0.as_str()),
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

fn runs<'a, T: Clone + PartialEq, K: Ord>(
    old: &'a [T],
    new: &'a [T],
    key: impl Fn(&'a T) -> K,
) -> Vec<Run<T>> {
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

/// One entry of the directory as nodes are told of it: no more than they need, as there are hundreds
/// of either.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Listed {
    pub id: InstanceId,
    pub service: ServiceName,
    pub address: SocketAddr,
    pub zone: String,
    pub draining: bool,
    /// How many requests it works on at once; 0 if it did not say.
    pub capacity: u32,
}
impl Listed {
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
