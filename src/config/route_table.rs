//! The route table: the part of a configuration that nodes need, and deltas between two versions.
//!
//! The controller sends a [`RouteTable`] to each node that connects, or a [`RouteTableDelta`] if
//! the node has an earlier version. Both are encoded by the order of their fields.
use crate::base::ids::{Revision, ServiceName};
use crate::config::configuration::{Configuration, Route, RouteType, SessionLimits};
use crate::config::tenants::{Identity, TenantTable, UnknownKey};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::sync::Arc;

/// The part of a route that nodes need. There may be thousands of routes, and links to nodes may be
/// slow.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RouteEntry {
    /// As [`Route::hostname`].
    pub hostname: String,
    /// As [`Route::path_prefix`].
    pub path_prefix: String,
    /// As [`Route::route_type`].
    #[serde(with = "route_type_number")]
    pub route_type: RouteType,
    /// As [`Route::timeout_ms`].
    pub timeout_ms: u64,
    /// As [`Route::target_latency_ms`].
    pub target_latency_ms: u64,
    /// As [`Route::priority`].
    pub priority: u8,
    /// As [`Route::max_attempts`].
    pub max_attempts: u32,
    /// As [`Route::stale_ms`].
    pub stale_ms: u64,
    targets: Vec<WeightedService>,
}

/// A target of a route. Encoded as an array of two numbers.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
struct WeightedService {
    /// The index of the service in [`RouteTable::services`].
    index: u16,
    weight: u32,
}

impl RouteEntry {
    /// The sort key of the entry, which is unique within a table.
    fn key(&self) -> (&str, &str) {
        (&self.hostname, &self.path_prefix)
    }
}

/// Encodes a route type as its number.
mod route_type_number {
    use super::RouteType;
    use serde::de::Error;
    use serde::{Deserialize, Deserializer, Serializer};

    /// The route types in the order of their numbers.
    const ALL: [RouteType; 6] = [
        RouteType::Primary,
        RouteType::Bounded,
        RouteType::ReadYourWrites,
        RouteType::Idempotent,
        RouteType::NonIdempotent,
        RouteType::Download,
    ];

    pub(super) fn serialize<S: Serializer>(
        route_type: &RouteType,
        serializer: S,
    ) -> Result<S::Ok, S::Error> {
        serializer.serialize_u8(*route_type as u8)
    }

    pub(super) fn deserialize<'de, D: Deserializer<'de>>(
        deserializer: D,
    ) -> Result<RouteType, D::Error> {
        let number = u8::deserialize(deserializer)?;
        ALL.get(usize::from(number)).copied().ok_or_else(|| D::Error::custom("unknown route type"))
    }
}

/// The part of a configuration that nodes need.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RouteTable {
    /// The revision of the configuration.
    pub revision: Revision,
    /// The routes, sorted by host name and path prefix.
    entries: Vec<RouteEntry>,
    /// The names of the services, in the order of the configuration.
    pub services: Vec<ServiceName>,
    /// Limits of client sessions and requests.
    pub limits: SessionLimits,
    /// The tenants of the same configuration. Encoded by itself, see
    /// [`ToPooler::TenantRouteTable`](crate::net::rpc::pooler_messages::ToPooler::TenantRouteTable).
    #[serde(skip)]
    pub tenants: Arc<TenantTable>,
}

impl RouteTable {
    /// Creates the route table of a validated configuration.
    pub fn of(config: &Configuration) -> Self {
        let indexes: BTreeMap<&ServiceName, usize> =
            config.services.iter().enumerate().map(|(index, s)| (&s.name, index)).collect();
        // Validation guarantees that targets refer to existing services, and that their number fits
        // into 16 bits.
        let target = |(service, weight): (&ServiceName, u32)| {
            Some(WeightedService { index: *indexes.get(service)? as u16, weight })
        };
        let entry = |route: &Route| RouteEntry {
            hostname: route.hostname.clone(),
            path_prefix: route.path_prefix.clone(),
            route_type: route.route_type,
            timeout_ms: route.timeout_ms,
            target_latency_ms: route.target_latency_ms,
            priority: route.priority,
            max_attempts: route.max_attempts,
            stale_ms: route.stale_ms,
            targets: route.targets().filter_map(target).collect(),
        };
        let mut entries: Vec<RouteEntry> = config.route_rules.iter().map(entry).collect();
        entries.sort_by(|a, b| a.key().cmp(&b.key()));
        Self {
            revision: config.revision,
            entries,
            services: config.services.iter().map(|s| s.name.clone()).collect(),
            limits: config.limits.clone(),
            tenants: Arc::new(TenantTable::of(config)),
        }
    }

    /// Returns this table with other tenants.
    pub fn with_tenants(self, tenants: TenantTable) -> Self {
        Self { tenants: Arc::new(tenants), ..self }
    }

    /// Who the client with this key is on a route of the table.
    ///
    /// # Errors
    /// [`UnknownKey`] if the route demands a key of a tenant and this is none.
    pub fn identify(
        &self,
        entry: &RouteEntry,
        key: Option<&str>,
    ) -> Result<Identity<'_>, UnknownKey> {
        self.tenants.identify(key, &entry.hostname, &entry.path_prefix)
    }

    /// The route entry of a database name, and its service. If several routes have that name, the
    /// one whose path prefix sorts first is used.
    pub fn entry_for_hostname(&self, hostname: &str) -> Option<(&RouteEntry, &ServiceName)> {
        let index = self.entries.partition_point(|entry| entry.hostname.as_str() < hostname);
        let entry = self.entries.get(index).filter(|entry| entry.hostname == hostname)?;
        Some((entry, self.service(entry, 0)?))
    }

    /// The route entry of a request: among those of its host, the one with the longest matching
    /// path prefix. Prefixes end with a slash.
    pub fn entry_for_path(&self, hostname: &str, path: &str) -> Option<&RouteEntry> {
        let bytes = path.bytes().enumerate().rev();
        let slashes = bytes.filter(|(_, byte)| *byte == b'/').map(|(at, _)| at);
        slashes
            .map(|at| &path[..=at])
            .find_map(|prefix| {
                self.entries.binary_search_by(|entry| entry.key().cmp(&(hostname, prefix))).ok()
            })
            .map(|index| &self.entries[index])
    }

    /// The target service of a request, chosen by the weights of the route entry. The same request
    /// number selects the same service at every node.
    pub fn service(&self, entry: &RouteEntry, request: u64) -> Option<&ServiceName> {
        let sum: u64 = entry.targets.iter().map(|target| u64::from(target.weight)).sum();
        let mut rest = request.checked_rem(sum)?;
        for target in &entry.targets {
            match rest.checked_sub(u64::from(target.weight)) {
                Some(less) => rest = less,
                None => return self.services.get(usize::from(target.index)),
            }
        }
        None
    }

    /// The delta from `base` to this version.
    pub fn delta_from(&self, base: &RouteTable) -> RouteTableDelta {
        RouteTableDelta {
            base: base.revision,
            revision: self.revision,
            entries: delta_runs(&base.entries, &self.entries, RouteEntry::key),
            services: delta_runs(&base.services, &self.services, |s| s.0.as_str()),
            limits: self.limits.clone(),
        }
    }

    /// Applies a delta to this version, with the tenants of the new version if they have changed;
    /// `None` if the delta is based on another version or is not valid.
    pub fn apply_with_tenants(
        &self,
        delta: &RouteTableDelta,
        tenants: Option<TenantTable>,
    ) -> Option<RouteTable> {
        let applied = self.apply(delta)?;
        Some(match tenants {
            Some(tenants) => applied.with_tenants(tenants),
            None => applied,
        })
    }

    /// Applies a delta to this version; `None` if the delta is based on another version or is not
    /// valid.
    pub fn apply(&self, delta: &RouteTableDelta) -> Option<RouteTable> {
        if delta.base != self.revision {
            return None;
        }
        Some(RouteTable {
            revision: delta.revision,
            entries: apply_runs(&self.entries, &delta.entries)?,
            services: apply_runs(&self.services, &delta.services)?,
            limits: delta.limits.clone(),
            tenants: Arc::clone(&self.tenants),
        })
    }
}

/// The delta from one version of the route table to another.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RouteTableDelta {
    /// The revision that the delta applies to.
    pub base: Revision,
    /// The revision that results from it.
    pub revision: Revision,
    /// The runs that produce the new entries from the old ones.
    pub entries: Vec<DeltaRun<RouteEntry>>,
    /// The runs that produce the new services from the old ones.
    pub services: Vec<DeltaRun<ServiceName>>,
    /// The new limits.
    pub limits: SessionLimits,
}

/// A run of consecutive items in a new list.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum DeltaRun<T> {
    /// Items copied from the old list.
    Same {
        /// The index of the first item in the old list.
        from: usize,
        /// The number of items.
        count: usize,
    },
    /// Items that are not in the old list.
    New(Vec<T>),
}

/// Computes the runs that produce the list `new` from `old`.
fn delta_runs<'a, T: Clone + PartialEq, K: Ord>(
    old: &'a [T],
    new: &'a [T],
    key: impl Fn(&'a T) -> K,
) -> Vec<DeltaRun<T>> {
    let indexes: BTreeMap<K, usize> = old.iter().enumerate().map(|(i, t)| (key(t), i)).collect();
    let mut runs: Vec<DeltaRun<T>> = Vec::new();
    for item in new {
        let same = indexes.get(&key(item)).copied().filter(|index| old[*index] == *item);
        match (runs.last_mut(), same) {
            (Some(DeltaRun::Same { from, count }), Some(index)) if *from + *count == index => {
                *count += 1;
            }
            (_, Some(index)) => runs.push(DeltaRun::Same { from: index, count: 1 }),
            (Some(DeltaRun::New(items)), None) => items.push(item.clone()),
            (_, None) => runs.push(DeltaRun::New(vec![item.clone()])),
        }
    }
    runs
}

/// Produces the new list from `old`; `None` if the runs refer to items that `old` doesn't have.
fn apply_runs<T: Clone>(old: &[T], runs: &[DeltaRun<T>]) -> Option<Vec<T>> {
    let mut new = Vec::new();
    for run in runs {
        match run {
            DeltaRun::Same { from, count } => {
                new.extend_from_slice(old.get(*from..from.checked_add(*count)?)?);
            }
            DeltaRun::New(items) => new.extend_from_slice(items),
        }
    }
    Some(new)
}
