//! What a node needs of a configuration, and what differs between two versions.
use crate::base::ids::{Revision, ServiceName};
use crate::config::configuration::{Configuration, Route, RouteType, SessionLimits};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// What a node needs of a route. Links to nodes may be thin, and there may be thousands.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RouteEntry {
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

impl RouteEntry {
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

/// What a node needs of a configuration: a route entry for each host and prefix, in their order.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RouteTable {
    pub revision: Revision,
    entries: Vec<RouteEntry>,
    pub services: Vec<ServiceName>,
    pub limits: SessionLimits,
}

impl RouteTable {
    pub fn of(config: &Configuration) -> Self {
        let places: BTreeMap<&ServiceName, usize> =
            config.services.iter().enumerate().map(|(at, s)| (&s.name, at)).collect();
        // A checked configuration names only services it has, and no place twice.
        let place =
            |(service, weight): (&ServiceName, u32)| Some((*places.get(service)? as u16, weight));
        let entry = |route: &Route| RouteEntry {
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
        let mut entries: Vec<RouteEntry> = config.route_rules.iter().map(entry).collect();
        entries.sort_by(|a, b| a.place().cmp(&b.place()));
        Self {
            revision: config.revision,
            entries,
            services: config.services.iter().map(|s| s.name.clone()).collect(),
            limits: config.limits.clone(),
        }
    }
    /// The route entry of a database name, and the service it leads to. Of several routes with that name,
    /// the one with the first prefix counts.
    pub fn entry_for_hostname(&self, hostname: &str) -> Option<(&RouteEntry, &ServiceName)> {
        let at = self.entries.partition_point(|l| l.hostname.as_str() < hostname);
        let entry = self.entries.get(at).filter(|l| l.hostname == hostname)?;
        Some((entry, self.service(entry, 0)?))
    }
    /// The route entry of a request: of those for its host, the one with the longest prefix of its path.
    pub fn entry_for_path(&self, hostname: &str, path: &str) -> Option<&RouteEntry> {
        let slashes = path.bytes().enumerate().rev().filter(|(_, b)| *b == b'/').map(|(at, _)| at);
        slashes
            .map(|at| &path[..=at])
            .find_map(|prefix| {
                self.entries.binary_search_by(|l| l.place().cmp(&(hostname, prefix))).ok()
            })
            .map(|at| &self.entries[at])
    }
    /// The service that a route entry leads to for one of its requests. The same request is led to the
    /// same service at every node.
    pub fn service(&self, entry: &RouteEntry, request: u64) -> Option<&ServiceName> {
        let sum: u64 = entry.targets.iter().map(|(_, weight)| u64::from(*weight)).sum();
        let mut left = request.checked_rem(sum)?;
        for (service, weight) in &entry.targets {
            match left.checked_sub(u64::from(*weight)) {
                Some(less) => left = less,
                None => return self.services.get(usize::from(*service)),
            }
        }
        None
    }
    /// What has to be known to come here from `base`.
    pub fn since(&self, base: &RouteTable) -> RouteTableDelta {
        RouteTableDelta {
            base: base.revision,
            revision: self.revision,
            entries: runs(&base.entries, &self.entries, RouteEntry::place),
            services: runs(&base.services, &self.services, |s| s.0.as_str()),
            limits: self.limits.clone(),
        }
    }
    /// The version that `changed` leads to from this one; none if it is not meant for this one.
    pub fn with(&self, changed: &RouteTableDelta) -> Option<RouteTable> {
        if changed.base != self.revision {
            return None;
        }
        Some(RouteTable {
            revision: changed.revision,
            entries: laid_out(&self.entries, &changed.entries)?,
            services: laid_out(&self.services, &changed.services)?,
            limits: changed.limits.clone(),
        })
    }
}

/// The way from one version to another.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RouteTableDelta {
    pub base: Revision,
    pub revision: Revision,
    pub entries: Vec<DeltaRun<RouteEntry>>,
    pub services: Vec<DeltaRun<ServiceName>>,
    pub limits: SessionLimits,
}

/// A part of a list: as it stood in the old one, or new.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum DeltaRun<T> {
    Same { from: usize, count: usize },
    New(Vec<T>),
}

fn runs<'a, T: Clone + PartialEq, K: Ord>(
    old: &'a [T],
    new: &'a [T],
    key: impl Fn(&'a T) -> K,
) -> Vec<DeltaRun<T>> {
    let places: BTreeMap<K, usize> = old.iter().enumerate().map(|(i, t)| (key(t), i)).collect();
    let mut runs: Vec<DeltaRun<T>> = Vec::new();
    for item in new {
        let same = places.get(&key(item)).copied().filter(|at| old[*at] == *item);
        match (runs.last_mut(), same) {
            (Some(DeltaRun::Same { from, count }), Some(at)) if *from + *count == at => *count += 1,
            (_, Some(at)) => runs.push(DeltaRun::Same { from: at, count: 1 }),
            (Some(DeltaRun::New(items)), None) => items.push(item.clone()),
            (_, None) => runs.push(DeltaRun::New(vec![item.clone()])),
        }
    }
    runs
}

fn laid_out<T: Clone>(old: &[T], runs: &[DeltaRun<T>]) -> Option<Vec<T>> {
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
