//! The configuration that the operator sends: routes, services and limits.
use crate::base::ids::{Revision, ServiceName};
use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;
use validator::{Validate, ValidationError, ValidationErrors};

/// Why a configuration is not accepted. The operator is shown the text.
#[derive(Debug, thiserror::Error)]
pub enum ConfigurationError {
    /// Not JSON, or not of the form of a configuration.
    #[error("cannot be read: {0}")]
    Unreadable(#[from] serde_json::Error),
    /// A value is out of its range, or values contradict each other.
    #[error("{}", .0.to_string().replace('\n', "; "))]
    Invalid(#[from] ValidationErrors),
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, Validate)]
#[validate(schema(function = "whole"))]
pub struct Configuration {
    #[validate(custom(function = "above_zero"))]
    pub revision: Revision,
    #[validate(nested)]
    pub route_rules: Vec<Route>,
    // Far more than any deployment has; a route entry counts them with 16 bits.
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
    pub(crate) fn targets(&self) -> impl Iterator<Item = (&ServiceName, u32)> {
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

pub(crate) fn one() -> u32 {
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
    /// Decodes and validates a configuration as the operator sent it, in JSON.
    ///
    /// # Errors
    /// The bytes are not a configuration, or one that can't be put in force.
    pub fn read(body: &[u8]) -> Result<Self, ConfigurationError> {
        let config: Configuration = serde_json::from_slice(body)?;
        config.validate()?;
        Ok(config)
    }
}
