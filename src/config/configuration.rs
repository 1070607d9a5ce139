//! The operator's configuration in JSON: routes, services and limits.
//!
//! A controller validates a configuration before putting it in force, and again when it reads it from the
//! replicated state.
use crate::base::ids::{Revision, ServiceName};
use crate::config::tenants::{Tenant, validate_tenants};
use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;
use validator::{Validate, ValidationError, ValidationErrors};

/// Why a configuration is rejected. The text is part of the response to the operator.
#[derive(Debug, thiserror::Error)]
pub enum ConfigurationError {
    /// The document is not JSON, or does not have the structure of a configuration.
    #[error("cannot be read: {0}")]
    Unreadable(#[from] serde_json::Error),
    /// A value is out of range, or values contradict each other.
    #[error("{}", .0.to_string().replace('\n', "; "))]
    Invalid(#[from] ValidationErrors),
}

/// The operator's configuration.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, Validate)]
#[validate(schema(function = "validate_references"))]
pub struct Configuration {
    /// The revision number assigned by the operator. A new configuration must have a higher one.
    #[validate(custom(function = "validate_revision"))]
    pub revision: Revision,
    /// The routes by host name and path prefix.
    #[validate(nested)]
    pub route_rules: Vec<Route>,
    /// The services that routes refer to. The limit is far above any deployment; route entries
    /// refer to a service by a 16-bit index.
    #[validate(nested, length(max = 60_000))]
    pub services: Vec<Service>,
    /// Limits of client sessions and requests.
    #[serde(default)]
    #[validate(nested)]
    pub limits: SessionLimits,
    /// The tenants. If there are any, clients need a key on routes that are not public.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    #[validate(nested)]
    pub tenants: Vec<Tenant>,
}

/// How the statements or requests of a route are handled. The first three types are for poolers,
/// the others for gateways.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RouteType {
    /// All statements run on the primary.
    Primary,
    /// Reads may run on a replica that lags by at most `stale_ms`.
    #[serde(alias = "bounded_staleness")]
    Bounded,
    /// Reads may run on a replica that has the session's own writes.
    ReadYourWrites,
    /// A request may be executed more than once.
    Idempotent,
    /// A request is executed at most once per attempt of the client.
    NonIdempotent,
    /// Like `Idempotent`, for large responses.
    Download,
}

impl RouteType {
    /// Whether a request may be retried at another database after it may have been executed.
    pub fn is_idempotent(self) -> bool {
        matches!(self, RouteType::Idempotent | RouteType::Download)
    }
}

/// A route, which maps a host name and a path prefix to one or more services.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, Validate)]
#[validate(schema(function = "validate_targets"))]
pub struct Route {
    /// A name for the operator; nothing refers to it.
    #[validate(length(min = 1))]
    pub name: String,
    /// The host name of requests; at a pooler, the database name in the client's CONNECT.
    #[validate(length(min = 1, max = 255))]
    pub hostname: String,
    /// The prefix of the paths that the route matches. The longest matching prefix wins.
    #[serde(default = "default_path_prefix")]
    pub path_prefix: String,
    /// How statements or requests are handled.
    pub route_type: RouteType,
    /// The timeout of a statement or request, in milliseconds.
    #[validate(range(min = 1))]
    pub timeout_ms: u64,
    /// The latency target, in milliseconds; 0 for none.
    #[serde(default)]
    pub target_latency_ms: u64,
    /// The priority of sessions that wait for a connection; lower values are served first.
    #[serde(default)]
    pub priority: u8,
    /// The target service of the route, unless `weighted_targets` are given.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub target_service: Option<ServiceName>,
    /// Several target services, each with a share of the requests.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    #[validate(length(max = 1_000))]
    pub weighted_targets: Vec<Target>,
    /// The maximum number of attempts of a statement or request.
    #[serde(default = "default_max_attempts")]
    #[validate(range(min = 1))]
    pub max_attempts: u32,
    /// The maximum lag of a replica for reads of a `Bounded` route, in milliseconds.
    #[serde(default, alias = "max_staleness_ms")]
    pub stale_ms: u64,
    /// Whether clients need no key although there are tenants.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub public: bool,
}

impl Route {
    /// The target services of the route with their weights.
    pub(crate) fn targets(&self) -> impl Iterator<Item = (&ServiceName, u32)> {
        let single = self.target_service.iter().map(|service| (service, 1));
        single.chain(self.weighted_targets.iter().map(|t| (&t.target_service, t.weight)))
    }
}

/// One of several target services of a route.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Target {
    /// The service.
    pub target_service: ServiceName,
    /// Its share of the requests, relative to the sum of all weights.
    pub weight: u32,
}

/// A service: a primary database and its replicas, or the equivalent databases behind a gateway.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, Validate)]
pub struct Service {
    /// The name of the service, without whitespace.
    #[validate(custom(function = "validate_service_name"))]
    pub name: ServiceName,
    /// The number of connections that each database of the service accepts.
    #[validate(range(min = 1))]
    pub max_connections: u32,
    /// The number of replicas that must have a commit before it is acknowledged.
    #[serde(default)]
    pub sync_replicas: u32,
}

/// Limits of client sessions and requests.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, Validate)]
#[serde(default)]
pub struct SessionLimits {
    /// How long a transaction may be idle, in milliseconds.
    #[validate(range(min = 1))]
    pub txn_idle_ms: u64,
    /// The maximum size of the head of a request, including the request line.
    #[validate(range(min = 1))]
    pub max_header_bytes: usize,
    /// The maximum size of the body of a request.
    pub max_body_bytes: u64,
    /// How long a client may take to send the head of a request, in milliseconds.
    #[validate(range(min = 1))]
    pub header_timeout_ms: u64,
    /// How long a connection may be idle between two requests, in milliseconds.
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

fn default_path_prefix() -> String {
    "/".to_owned()
}

fn default_max_attempts() -> u32 {
    1
}

// The codes of the validation errors are part of the error messages for operators.

fn validate_revision(revision: &Revision) -> Result<(), ValidationError> {
    if revision.0 == 0 { Err(ValidationError::new("above_zero")) } else { Ok(()) }
}

fn validate_service_name(name: &ServiceName) -> Result<(), ValidationError> {
    if name.0.is_empty() || name.0.contains(char::is_whitespace) {
        return Err(ValidationError::new("one_word"));
    }
    Ok(())
}

/// Checks that a route has either one service or weighted targets, and a target with a positive
/// weight.
fn validate_targets(route: &Route) -> Result<(), ValidationError> {
    if route.target_service.is_some() != route.weighted_targets.is_empty() {
        return Err(ValidationError::new("target_service_or_weighted_targets"));
    }
    if route.targets().all(|(_, weight)| weight == 0) {
        return Err(ValidationError::new("weighted_targets_sum_to_0"));
    }
    Ok(())
}

/// Checks that service names are unique, routes refer to existing services, no two routes have the
/// same host name and path prefix, and no two tenants have the same name or share a key.
fn validate_references(config: &Configuration) -> Result<(), ValidationError> {
    let mut services = BTreeSet::new();
    if !config.services.iter().all(|service| services.insert(&service.name)) {
        return Err(ValidationError::new("service_named_twice"));
    }
    let mut keys = BTreeSet::new();
    for route in &config.route_rules {
        if !route.targets().all(|(service, _)| services.contains(service)) {
            return Err(ValidationError::new("unknown_service"));
        }
        if !keys.insert((&route.hostname, &route.path_prefix)) {
            return Err(ValidationError::new("same_host_and_prefix"));
        }
    }
    validate_tenants(&config.tenants)
}

impl Configuration {
    /// Decodes and validates a configuration in JSON.
    ///
    /// # Errors
    /// [`ConfigurationError`] if the document is not a valid configuration.
    pub fn read(body: &[u8]) -> Result<Self, ConfigurationError> {
        let config: Configuration = serde_json::from_slice(body)?;
        config.validate()?;
        Ok(config)
    }
}
