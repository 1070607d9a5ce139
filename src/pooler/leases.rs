//! Leases on primaries and connection quotas, which the leader grants to this pooler.
//!
//! The types do no I/O and get the time as a parameter. `cluster_view` holds a lease and a quota
//! for each service, and `leader_messages` renews them from the leader's answers.
use crate::base::ids::{DbTerm, InstanceId};
use crate::base::time::Tick;

/// How long a connection quota is valid after the renewal that confirmed it was sent, in ms.
pub(crate) const QUOTA_VALID_MS: u64 = 3_000;

/// The number of connections that this pooler may open to each database of a service. It expires
/// unless the leader keeps confirming it.
#[derive(Debug, Default)]
pub struct ConnectionQuota {
    /// The quota as the leader last set it.
    pub size: u32,
    expires_at: Tick,
    /// The limit that was last applied to the pools.
    applied: u32,
    /// The quota in force that was last reported on the current connection to the leader.
    reported: Option<u32>,
}

impl ConnectionQuota {
    /// Extends the quota until `expires_at`; an earlier time changes nothing.
    pub fn renew(&mut self, expires_at: Tick) {
        self.expires_at = self.expires_at.max(expires_at);
    }

    /// Takes the limit that has to be applied to the pools now, if it differs from the last one:
    /// the quota, or zero once it has expired.
    pub fn take_limit_change(&mut self, now: Tick) -> Option<u32> {
        let limit = if self.is_valid(now) { self.size } else { 0 };
        (limit != self.applied).then(|| {
            self.applied = limit;
            limit
        })
    }

    /// Takes the quota in force, if it was not reported to the leader yet. A smaller quota is in
    /// force only once no more connections than that are open; `open` counts them.
    pub fn take_report(&mut self, open: impl FnOnce() -> u32) -> Option<u32> {
        let shrinks = self.reported.is_none_or(|reported| reported > self.size);
        let in_force = if shrinks { open().max(self.size) } else { self.size };
        (self.reported != Some(in_force)).then(|| {
            self.reported = Some(in_force);
            in_force
        })
    }

    /// Whether the quota has not expired.
    pub(crate) fn is_valid(&self, now: Tick) -> bool {
        self.expires_at > now
    }

    /// The limit that was last applied to the pools.
    pub(crate) fn applied_limit(&self) -> u32 {
        self.applied
    }

    /// Clears what was reported to the leader, because a new connection to a leader began.
    pub(crate) fn clear_reported(&mut self) {
        self.reported = None;
    }
}

/// The lease on a service's primary, as the leader last granted it.
#[derive(Clone, Debug, Default, PartialEq)]
pub(crate) enum PrimaryLease {
    /// No lease is granted.
    #[default]
    None,
    /// The database `primary` may be used as the primary of `term` until `expires_at`.
    Granted { term: DbTerm, primary: InstanceId, expires_at: Tick },
}

/// A lease that is held now.
pub(crate) struct ActiveLease<'a> {
    pub(crate) term: DbTerm,
    pub(crate) primary: &'a InstanceId,
}

/// A revocation of leases by the leader.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Revocation {
    /// The leases on this term and on all earlier ones are revoked.
    pub(crate) term: DbTerm,
    /// The last renewal that was sent before the revocation. Only the answer to a later one may
    /// grant a lease on such a term again, which happens after a false suspicion.
    pub(crate) last_renewal: u64,
}

impl Revocation {
    /// Whether a lease on `term` in the answer to `renewal` was granted before the revocation.
    pub(crate) fn covers(&self, term: DbTerm, renewal: u64) -> bool {
        term <= self.term && renewal <= self.last_renewal
    }
}

impl PrimaryLease {
    /// The lease, if it has not expired.
    pub(crate) fn active(&self, now: Tick) -> Option<ActiveLease<'_>> {
        match self {
            PrimaryLease::Granted { term, primary, expires_at } if *expires_at > now => {
                Some(ActiveLease { term: *term, primary })
            }
            _ => None,
        }
    }

    /// The primary of the last granted lease, even if the lease has expired.
    pub(crate) fn primary(&self) -> Option<&InstanceId> {
        match self {
            PrimaryLease::Granted { primary, .. } => Some(primary),
            PrimaryLease::None => None,
        }
    }

    /// The term of the last granted lease, even if the lease has expired.
    pub(crate) fn term(&self) -> Option<DbTerm> {
        match self {
            PrimaryLease::Granted { term, .. } => Some(*term),
            PrimaryLease::None => None,
        }
    }

    /// Extends the lease, if there is one, until `until`; an earlier time changes nothing.
    pub(crate) fn renew(&mut self, until: Tick) {
        if let PrimaryLease::Granted { expires_at, .. } = self {
            *expires_at = until.max(*expires_at);
        }
    }

    /// The remaining time of the lease in ms, or 0 if none is held.
    pub(crate) fn remaining_ms(&self, now: Tick) -> u64 {
        match self {
            PrimaryLease::Granted { expires_at, .. } => expires_at.since(now),
            PrimaryLease::None => 0,
        }
    }
}
