//! What the leader lets this pooler use: leases on primaries, and quotas of connections.
//!
//! Pure: time is handed in. `cluster_view` holds a lease and a quota for each service, and
//! `leader_messages` renews them from the leader's answers.
use crate::base::ids::{DbTerm, InstanceId};
use crate::base::time::Tick;

/// The time in ms that a quota of connections holds for after the renewal that confirmed it.
pub(crate) const QUOTA_VALID_MS: u64 = 3_000;

/// The connections that this pooler may have to each database of a service, as long as the leader
/// keeps confirming it.
#[derive(Debug, Default)]
pub struct ConnectionQuota {
    /// The quota as the leader last set it.
    pub size: u32,
    expires_at: Tick,
    /// The limit that was last given to the pools.
    applied: u32,
    /// The quota in force that was last reported on this connection to the leader.
    reported: Option<u32>,
}

impl ConnectionQuota {
    /// The leader confirmed the quota until `expires_at`.
    pub fn renew(&mut self, expires_at: Tick) {
        self.expires_at = self.expires_at.max(expires_at);
    }

    /// The limit that the pools have to be given now, if it differs from what they were given last:
    /// the quota, or zero once it has expired.
    pub fn take_limit_change(&mut self, now: Tick) -> Option<u32> {
        let limit = if self.is_valid(now) { self.size } else { 0 };
        (limit != self.applied).then(|| {
            self.applied = limit;
            limit
        })
    }

    /// The quota in force, if it was not reported to the leader yet. A smaller quota is in force
    /// only once no more connections than that are open; `open` counts them.
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

    /// The limit that was last given to the pools.
    pub(crate) fn applied(&self) -> u32 {
        self.applied
    }

    /// A connection to a leader began: nothing was reported on it yet.
    pub(crate) fn forget_reports(&mut self) {
        self.reported = None;
    }
}

/// The lease on a service's primary, as the leader last granted it.
#[derive(Clone, Debug, Default, PartialEq)]
pub(crate) enum PrimaryLease {
    /// None is granted.
    #[default]
    None,
    /// The database `primary` may be used as the primary of `term` until `expires_at`.
    Granted { term: DbTerm, primary: InstanceId, expires_at: Tick },
}

/// A lease that holds now.
pub(crate) struct ActiveLease<'a> {
    pub(crate) term: DbTerm,
    pub(crate) primary: &'a InstanceId,
}

/// The leader revoked the leases of a term.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Revocation {
    /// The leases of this term and of all before it are revoked.
    pub(crate) term: DbTerm,
    /// The last renewal that was requested before the revocation. Only the answer to a later one
    /// may grant a lease on such a term again, where the suspicion proved false.
    pub(crate) last_renewal: u64,
}

impl Revocation {
    /// Whether a lease on `term` in the answer to `renewal` was granted before the revocation.
    pub(crate) fn covers(&self, term: DbTerm, renewal: u64) -> bool {
        term <= self.term && renewal <= self.last_renewal
    }
}

impl PrimaryLease {
    /// The lease, if it holds now.
    pub(crate) fn active(&self, now: Tick) -> Option<ActiveLease<'_>> {
        match self {
            PrimaryLease::Granted { term, primary, expires_at } if *expires_at > now => {
                Some(ActiveLease { term: *term, primary })
            }
            _ => None,
        }
    }

    /// The primary that was granted last, though the lease may have expired.
    pub(crate) fn primary(&self) -> Option<&InstanceId> {
        match self {
            PrimaryLease::Granted { primary, .. } => Some(primary),
            PrimaryLease::None => None,
        }
    }

    /// The term that was granted last, though the lease may have expired.
    pub(crate) fn term(&self) -> Option<DbTerm> {
        match self {
            PrimaryLease::Granted { term, .. } => Some(*term),
            PrimaryLease::None => None,
        }
    }

    /// The leader confirmed the lease until `expires_at`, if there is one.
    pub(crate) fn renew(&mut self, until: Tick) {
        if let PrimaryLease::Granted { expires_at, .. } = self {
            *expires_at = until.max(*expires_at);
        }
    }

    /// For so many ms from now it still holds.
    pub(crate) fn remaining_ms(&self, now: Tick) -> u64 {
        match self {
            PrimaryLease::Granted { expires_at, .. } => expires_at.since(now),
            PrimaryLease::None => 0,
        }
    }
}
