//! The operations that the leader grants to nodes out of each tenant's limit.
//!
//! A tenant's limit is a rate and a burst over all nodes. The leader keeps a token bucket for each
//! tenant. A node that serves a tenant asks for operations; each grant takes them out of the bucket
//! and is valid for [`GRANT_VALID_MS`]. The burst that is left shrinks by what was granted and may
//! still be used, so in any window the operations of all nodes together stay within the burst and
//! the rate of that window. A new leader starts with empty buckets, which it begins to fill once the
//! grants of earlier leaders have expired.
use crate::base::ids::TenantName;
use crate::base::time::Tick;
use crate::config::tenants::OperationLimit;
use std::collections::{BTreeMap, VecDeque};

/// How long a node may use granted operations, in milliseconds from when it requested them.
pub const GRANT_VALID_MS: u64 = 400;

/// How long the leader counts granted operations as unused, in milliseconds from when it granted
/// them. Longer than their validity, as clocks may run at slightly different rates.
const GRANT_COUNTED_MS: u64 = GRANT_VALID_MS + 50;

/// After how many milliseconds a node may ask again for a tenant that was granted nothing: at least
/// this, and at most [`MAX_RETRY_AFTER_MS`].
const MIN_RETRY_AFTER_MS: u64 = 50;

/// The longest time for which a node does not ask again for a tenant, in milliseconds.
const MAX_RETRY_AFTER_MS: u64 = 250;

/// What the leader grants on one request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct GrantedOperations {
    /// The number of operations; 0 if the tenant is at its limit.
    pub count: u32,
    /// After how many milliseconds the node may ask again, if it got fewer than it asked for.
    pub retry_after_ms: u64,
}

/// Operations that were granted at one time.
#[derive(Clone, Copy, Debug)]
struct Outstanding {
    granted_at: Tick,
    count: u32,
}

/// The token bucket of one tenant.
#[derive(Clone, Debug)]
struct Bucket {
    tokens: f64,
    filled_at: Tick,
    /// Grants that may still be used, from the oldest to the newest.
    outstanding: VecDeque<Outstanding>,
}

impl Bucket {
    /// Fills the bucket up to `now`.
    fn fill(&mut self, limit: OperationLimit, now: Tick) {
        while self
            .outstanding
            .front()
            .is_some_and(|grant| now.since(grant.granted_at) >= GRANT_COUNTED_MS)
        {
            self.outstanding.pop_front();
        }
        let outstanding: u32 = self.outstanding.iter().map(|grant| grant.count).sum();
        let rate = f64::from(limit.rate_per_s);
        let filled = self.tokens + rate * now.since(self.filled_at) as f64 / 1_000.0;
        self.filled_at = now.max(self.filled_at);
        self.tokens = filled.min((capacity(limit) - f64::from(outstanding)).max(0.0));
    }
}

/// The most operations of a tenant that may be unused at one time, in the bucket and at nodes. Even
/// without a burst, one grant's worth of the rate has to be at the nodes.
fn capacity(limit: OperationLimit) -> f64 {
    let rate = f64::from(limit.rate_per_s);
    f64::from(limit.burst).max(rate * GRANT_COUNTED_MS as f64 / 1_000.0).max(1.0)
}

/// The buckets of all tenants, kept while this controller leads.
#[derive(Clone, Debug)]
pub struct OperationGrants {
    elected_at: Tick,
    buckets: BTreeMap<TenantName, Bucket>,
}

impl OperationGrants {
    /// Creates the empty buckets of a leader elected at `elected_at`.
    pub fn new(elected_at: Tick) -> Self {
        Self { elected_at, buckets: BTreeMap::new() }
    }

    /// Grants up to `wanted` operations of a tenant.
    pub fn grant(
        &mut self,
        tenant: &TenantName,
        limit: OperationLimit,
        wanted: u32,
        now: Tick,
    ) -> GrantedOperations {
        let elected_at = self.elected_at;
        let bucket = self.buckets.entry(tenant.clone()).or_insert_with(|| Bucket {
            tokens: 0.0,
            filled_at: elected_at.plus(GRANT_COUNTED_MS),
            outstanding: VecDeque::new(),
        });
        bucket.fill(limit, now);
        let count = (bucket.tokens as u32).min(wanted);
        if count > 0 {
            bucket.tokens -= f64::from(count);
            bucket.outstanding.push_back(Outstanding { granted_at: now, count });
        }
        let next_token_ms = 1_000 / u64::from(limit.rate_per_s.max(1));
        let retry_after_ms = next_token_ms.clamp(MIN_RETRY_AFTER_MS, MAX_RETRY_AFTER_MS);
        GrantedOperations { count, retry_after_ms }
    }

    /// Forgets the buckets of tenants that are not limited any more.
    pub fn retain(&mut self, is_limited: impl Fn(&TenantName) -> bool) {
        self.buckets.retain(|tenant, _| is_limited(tenant));
    }
}
