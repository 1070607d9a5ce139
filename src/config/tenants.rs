//! Tenants: who a client is by its API key, and how much each tenant may use.
//!
//! [`Tenant`] is part of the operator's configuration. Nodes get a [`TenantTable`] with the route
//! table of the same revision, so that routes and keys come in force together.
use crate::base::ids::TenantName;
use crate::config::configuration::Configuration;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use validator::{Validate, ValidationError};

/// A customer of the deployment, with the API keys of its clients.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, Validate)]
pub struct Tenant {
    /// The name that databases are told, without whitespace.
    #[validate(custom(function = "validate_tenant_name"))]
    pub name: TenantName,
    /// The keys by which its clients are recognized. No other tenant may have one of them.
    #[serde(default)]
    pub api_keys: Vec<String>,
    /// The priority of its clients; lower values are served first. It goes before that of a route.
    #[serde(default)]
    pub priority: u8,
    /// How many operations its clients may make per second, over all nodes; 0 for no limit.
    #[serde(default)]
    pub rate_per_s: u32,
    /// How many operations it may make on top of the rate.
    #[serde(default)]
    pub burst_limit: u32,
}

impl Tenant {
    /// The limit of the tenant's operations, if it has one.
    pub fn operation_limit(&self) -> Option<OperationLimit> {
        (self.rate_per_s > 0)
            .then_some(OperationLimit { rate_per_s: self.rate_per_s, burst: self.burst_limit })
    }
}

/// The limit of a tenant's operations over all nodes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OperationLimit {
    /// The sustained rate per second.
    pub rate_per_s: u32,
    /// How many operations are allowed on top of the rate.
    pub burst: u32,
}

fn validate_tenant_name(name: &TenantName) -> Result<(), ValidationError> {
    if name.0.is_empty() || name.0.contains(char::is_whitespace) {
        return Err(ValidationError::new("one_word"));
    }
    Ok(())
}

/// Checks that tenant names are unique, and that no key belongs to two tenants.
pub(super) fn validate_tenants(tenants: &[Tenant]) -> Result<(), ValidationError> {
    let mut names = BTreeSet::new();
    let mut owners = BTreeMap::new();
    for tenant in tenants {
        if !names.insert(&tenant.name) {
            return Err(ValidationError::new("tenant_named_twice"));
        }
        for key in &tenant.api_keys {
            if owners.insert(key, &tenant.name).is_some_and(|owner| *owner != tenant.name) {
                return Err(ValidationError::new("key_of_two_tenants"));
            }
        }
    }
    Ok(())
}

/// What nodes need to know of a tenant. Encoded by the order of its fields.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct TenantEntry {
    /// As [`Tenant::name`].
    pub name: TenantName,
    /// As [`Tenant::priority`].
    pub priority: u8,
    /// Whether the number of its operations is limited, so that each needs a grant of the leader.
    pub limited: bool,
}

/// A key, and the index of its tenant in [`TenantTable::tenants`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
struct KeyEntry {
    key: String,
    tenant: u32,
}

/// A route that needs no key.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
struct PublicRoute {
    hostname: String,
    path_prefix: String,
}

/// The tenants of a configuration, by their keys. Without tenants, no client needs a key. Encoded
/// by the order of its fields.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct TenantTable {
    tenants: Vec<TenantEntry>,
    /// Sorted by key.
    keys: Vec<KeyEntry>,
    /// Sorted.
    public_routes: Vec<PublicRoute>,
}

/// Who a client is, as far as its route demands that to be known.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Identity<'t> {
    /// Any client: there are no tenants, or the route is public and the key is not known.
    Anyone,
    /// A client of a tenant.
    Tenant(&'t TenantEntry),
}

/// The client's key belongs to no tenant, and its route is not public.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("the key belongs to no tenant of the configuration")]
pub struct UnknownKey;

impl TenantTable {
    /// Creates the tenant table of a validated configuration.
    pub fn of(config: &Configuration) -> Self {
        if config.tenants.is_empty() {
            return Self::default();
        }
        let entry = |tenant: &Tenant| TenantEntry {
            name: tenant.name.clone(),
            priority: tenant.priority,
            limited: tenant.operation_limit().is_some(),
        };
        let numbered = || (0..).zip(&config.tenants);
        let mut keys: Vec<KeyEntry> = numbered()
            .flat_map(|(tenant, t)| {
                t.api_keys.iter().map(move |key| KeyEntry { key: key.clone(), tenant })
            })
            .collect();
        keys.sort_by(|a, b| a.key.cmp(&b.key));
        let public = config.route_rules.iter().filter(|route| route.public);
        let mut public_routes: Vec<PublicRoute> = public
            .map(|route| PublicRoute {
                hostname: route.hostname.clone(),
                path_prefix: route.path_prefix.clone(),
            })
            .collect();
        public_routes.sort();
        Self { tenants: config.tenants.iter().map(entry).collect(), keys, public_routes }
    }

    /// Whether the configuration has no tenants.
    pub fn is_empty(&self) -> bool {
        self.tenants.is_empty()
    }

    /// Who the client with this key is on a route.
    ///
    /// # Errors
    /// [`UnknownKey`] if the route demands a key of a tenant and this is none.
    pub fn identify(
        &self,
        key: Option<&str>,
        hostname: &str,
        path_prefix: &str,
    ) -> Result<Identity<'_>, UnknownKey> {
        if self.is_empty() {
            return Ok(Identity::Anyone);
        }
        match key.and_then(|key| self.tenant(key)) {
            Some(tenant) => Ok(Identity::Tenant(tenant)),
            None if self.is_public(hostname, path_prefix) => Ok(Identity::Anyone),
            None => Err(UnknownKey),
        }
    }

    fn tenant(&self, key: &str) -> Option<&TenantEntry> {
        let index = self.keys.binary_search_by(|entry| entry.key.as_str().cmp(key)).ok()?;
        self.tenants.get(self.keys[index].tenant as usize)
    }

    fn is_public(&self, hostname: &str, path_prefix: &str) -> bool {
        let key = (hostname, path_prefix);
        let order =
            |route: &PublicRoute| (route.hostname.as_str(), route.path_prefix.as_str()).cmp(&key);
        self.public_routes.binary_search_by(order).is_ok()
    }
}
