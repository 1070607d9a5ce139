//! The leases that poolers hold on primaries, and their quotas of connections.
use crate::base::ids::{DbTerm, NodeName, Position, ServiceName};
use crate::base::time::Tick;
use crate::net::rpc::pooler_messages::{LeaseGrant, PrimaryStatus};
use std::collections::{BTreeMap, BTreeSet};

/// How long a pooler may use what it was last granted, from when it asked.
pub const LEASE_MS: u64 = 1_800;

/// For what a clock may be off by a little.
const LEASE_SLACK_MS: u64 = 50;

/// Connections of a lost pooler are counted this long: a database drops a dark end after 3 s.
pub(crate) const SHARE_HELD_MS: u64 = 4_500;

/// A lost pooler may have passed on more than it told; others have seen further after this time.
const UNTOLD_MS: u64 = 10_000;

/// What a pooler gets from a new leader that has not heard of any share yet.
const YOUNG_SHARE: u32 = 4;

/// What was lent beyond a pooler's part is taken back when it wanted no more for so long.
const LENT_MS: u64 = 3_000;

/// Connections to each database kept back for the controllers' own questions.
const RESERVE: u32 = 4;

/// One pooler, as the leader accounts for it.
#[derive(Clone, Debug, Default)]
pub struct PoolerLeases {
    pub incarnation: u64,
    pub conn: Option<u64>,
    pub lost: Option<Tick>,
    /// Its connections are counted no more, unless it comes back.
    released: bool,
    /// What it was last told. Whoever leads in here is leased to it as of `granted`.
    pub(crate) told: BTreeMap<ServiceName, LeaseGrant>,
    pub(crate) granted: Tick,
    /// Leases that were not renewed further, and when they were last granted.
    ended: BTreeMap<ServiceName, (DbTerm, Tick)>,
    given_back: BTreeMap<ServiceName, (DbTerm, Option<Position>)>,
    reported: BTreeMap<ServiceName, u32>,
    /// Connections it could use beyond its part, and when it said so.
    wants: BTreeMap<ServiceName, (u32, Tick)>,
    pub(crate) heard: Tick,
}

impl PoolerLeases {
    /// Connections it may have to a database of the service.
    fn holds(&self, service: &ServiceName) -> u32 {
        let told = self.told.get(service).map_or(0, |g| g.quota);
        told.max(self.reported.get(service).copied().unwrap_or(0))
    }
    fn holdings(&self) -> impl Iterator<Item = (&ServiceName, u32)> {
        let names: BTreeSet<&ServiceName> = self.told.keys().chain(self.reported.keys()).collect();
        names.into_iter().map(|name| (name, self.holds(name)))
    }
    /// When this leader last granted it a lease on the service.
    fn leased(&self, service: &ServiceName) -> Option<Tick> {
        let led = |g: &&LeaseGrant| matches!(g.status, PrimaryStatus::Active { .. });
        let now = self.told.get(service).filter(led).map(|_| self.granted);
        now.max(self.ended.get(service).map(|(_, at)| *at))
    }
    /// The lease on this service is renewed no more; it runs out by itself.
    fn end(&mut self, service: &ServiceName) {
        if let Some(LeaseGrant { status: PrimaryStatus::Active { term, .. }, .. }) =
            self.told.get(service)
        {
            self.ended.insert(service.clone(), (*term, self.granted));
        }
    }
}

/// Which pooler may use what until when. A value; the leader keeps one while it leads.
///
/// One lease covers all services of a pooler. An answer to a renewal renews whatever it was told
/// before on the same connection, so only what changed is told.
#[derive(Clone, Debug, Default)]
pub struct LeaseTable {
    pub seats: BTreeMap<NodeName, PoolerLeases>,
    pub(crate) elected: Tick,
    live: u32,
    /// For each service, the connections that all poolers may have.
    held: BTreeMap<ServiceName, u32>,
    /// The most that any pooler said it has.
    most: BTreeMap<ServiceName, u32>,
    /// Until when a pooler whose word will never come may have passed on commits of a service.
    unheard: BTreeMap<ServiceName, Tick>,
}

/// When a lease granted then can be in use no more.
fn lease_end(granted: Tick) -> Tick {
    granted.plus(LEASE_MS + LEASE_SLACK_MS)
}

impl LeaseTable {
    pub fn new(elected: Tick) -> Self {
        Self { elected, ..Self::default() }
    }
    fn count(&mut self, service: &ServiceName, before: u32, now: u32) {
        if before != now {
            let held = self.held.entry(service.clone()).or_default();
            *held = (*held + now).saturating_sub(before);
        }
    }
    fn count_all(&mut self, seat: &PoolerLeases, add: bool) {
        for (service, holds) in seat.holdings() {
            let (before, now) = if add { (0, holds) } else { (holds, 0) };
            self.count(service, before, now);
        }
    }
    pub fn seat(&mut self, node: &NodeName, incarnation: u64, conn: u64, now: Tick) {
        let mut seat = self.seats.remove(node).unwrap_or_default();
        if seat.conn.is_none() {
            self.live += 1;
        }
        if seat.incarnation != incarnation {
            // The old process is gone and its connections with it; what it passed on is not known.
            if !seat.released {
                self.count_all(&seat, false);
            }
            self.never_heard(&seat);
            seat = PoolerLeases { incarnation, ..PoolerLeases::default() };
        } else if seat.released {
            self.count_all(&seat, true);
        }
        // On a new connection everything is told anew.
        let known: Vec<ServiceName> = seat.told.keys().cloned().collect();
        for service in known {
            let before = seat.holds(&service);
            seat.end(&service);
            seat.reported.insert(service, before);
        }
        seat.told.clear();
        (seat.conn, seat.lost, seat.released, seat.heard) = (Some(conn), None, false, now);
        self.seats.insert(node.clone(), seat);
    }
    pub fn lose(&mut self, conn: u64, now: Tick) -> Option<NodeName> {
        let (node, seat) = self.seats.iter_mut().find(|(_, s)| s.conn == Some(conn))?;
        seat.conn = None;
        seat.lost = Some(now);
        self.live = self.live.saturating_sub(1);
        Some(node.clone())
    }
    pub fn leave(&mut self, node: &NodeName) {
        if let Some(seat) = self.seats.get_mut(node) {
            seat.ended.clear();
            for grant in seat.told.values_mut() {
                grant.status = PrimaryStatus::Absent;
            }
        }
    }
    /// Counts the connections of poolers that were lost long ago no more, and forgets the poolers
    /// themselves later. True if some connections are free for others now.
    pub fn forget_old(&mut self, now: Tick) -> bool {
        let over = |s: &PoolerLeases, ms| s.lost.is_some_and(|t| now.since(t) >= ms);
        let names: Vec<NodeName> = self
            .seats
            .iter()
            .filter(|(_, s)| !s.released && over(s, SHARE_HELD_MS))
            .map(|(name, _)| name.clone())
            .collect();
        let freed = !names.is_empty();
        for name in names {
            if let Some(mut seat) = self.seats.remove(&name) {
                self.count_all(&seat, false);
                seat.released = true;
                self.seats.insert(name, seat);
            }
        }
        let old: Vec<NodeName> = self
            .seats
            .iter()
            .filter(|(_, s)| over(s, UNTOLD_MS))
            .map(|(name, _)| name.clone())
            .collect();
        for seat in old.iter().filter_map(|name| self.seats.remove(name)).collect::<Vec<_>>() {
            self.never_heard(&seat);
        }
        freed
    }
    /// What this pooler passed on will not be told any more.
    fn never_heard(&mut self, seat: &PoolerLeases) {
        for service in seat.told.keys().chain(seat.ended.keys()) {
            if let Some(granted) = seat.leased(service) {
                let end = self.unheard.entry(service.clone()).or_default();
                *end = lease_end(granted).max(*end);
            }
        }
    }
    pub fn give_back(
        &mut self,
        node: &NodeName,
        service: &ServiceName,
        term: DbTerm,
        highest: Option<Position>,
    ) {
        if let Some(seat) = self.seats.get_mut(node) {
            seat.given_back.insert(service.clone(), (term, highest));
            // It has dropped what it was told of this service.
            seat.end(service);
            if let Some(grant) = seat.told.get_mut(service) {
                grant.status = PrimaryStatus::Absent;
            }
        }
    }
    /// What a pooler is to be told of a service now; none if that is what it was told last.
    /// `renewed` follows once all services have been through.
    pub fn tell(&mut self, node: &NodeName, grant: LeaseGrant) -> Option<LeaseGrant> {
        let seat = self.seats.get_mut(node)?;
        let service = grant.service.clone();
        // A sealed position is true for the moment it is told in, so it is told each time.
        let sealed = matches!(grant.status, PrimaryStatus::Sealed(_));
        if !sealed && seat.told.get(&service) == Some(&grant) {
            return None;
        }
        let before = seat.holds(&service);
        if seat.told.get(&service).is_none_or(|old| old.status != grant.status) {
            seat.end(&service);
        }
        if matches!(grant.status, PrimaryStatus::Active { .. }) {
            // A false alarm brings the same term again; what was given back before is old news.
            seat.given_back.remove(&service);
        }
        seat.told.insert(service.clone(), grant.clone());
        let now = seat.holds(&service);
        self.count(&service, before, now);
        Some(grant)
    }
    /// The answer leaves: all that is told to lead is leased as of now.
    pub fn renewed(&mut self, node: &NodeName, now: Tick) {
        if let Some(seat) = self.seats.get_mut(node) {
            seat.granted = now;
        }
    }
    /// No lease on `term` or an earlier one can still be in use.
    pub fn gone(&self, service: &ServiceName, term: DbTerm, now: Tick) -> bool {
        let over = |from: Tick| now.since(from) > LEASE_MS + LEASE_SLACK_MS;
        let free = |seat: &PoolerLeases| {
            let ended = seat.ended.get(service);
            let led = match seat.told.get(service).map(|g| &g.status) {
                Some(PrimaryStatus::Active { term, .. }) => Some((*term, seat.granted)),
                _ => None,
            };
            seat.given_back.get(service).is_some_and(|(t, _)| *t >= term)
                || ended.copied().into_iter().chain(led).all(|(held, at)| held > term || over(at))
        };
        over(self.elected) && self.seats.values().all(free)
    }
    /// The furthest position passed on, once it is certain. Each pooler has to have said it, or to be
    /// covered: `seen`, the newest pair of `Freshness`, says that its position covers every commit
    /// acknowledged before its time, so a pooler whose lease had ended by then has passed on nothing
    /// beyond it. The same holds for poolers that are gone, and for those of before the election, of
    /// whom this leader may not even know. With `trusting` it is enough that all that was long ago:
    /// for a service whose replicas vouch for nothing, as there would be no way out otherwise.
    pub fn given_back(
        &self,
        service: &ServiceName,
        term: DbTerm,
        seen: Option<(Tick, Position)>,
        trusting: bool,
        now: Tick,
    ) -> Option<Option<Position>> {
        let covered = |end: Tick| {
            let long_ago = trusting && now.since(end) >= UNTOLD_MS - LEASE_MS;
            long_ago || seen.is_some_and(|(at, _)| at >= end)
        };
        let before = lease_end(self.elected);
        let unheard = self.unheard.get(service).copied();
        if !covered(unheard.unwrap_or_default().max(before)) {
            return None;
        }
        let word = |seat: &PoolerLeases| match seat.given_back.get(service) {
            Some((t, highest)) if *t >= term => Some(*highest),
            _ => covered(seat.leased(service).map_or(before, lease_end)).then_some(None),
        };
        let seen = seen.map(|(_, position)| position);
        self.seats.values().map(word).try_fold(seen, |most, one| Some(most.max(one?)))
    }
    /// A pooler is heard of, with the shares it holds itself to where these changed.
    /// Tells of which services others may get more now.
    pub fn report(
        &mut self,
        node: &NodeName,
        shares: Vec<(ServiceName, u32)>,
        now: Tick,
    ) -> Vec<ServiceName> {
        let mut stirred = Vec::new();
        let Some(seat) = self.seats.get_mut(node) else {
            return stirred;
        };
        seat.heard = now;
        for (service, share) in shares {
            let Some(seat) = self.seats.get_mut(node) else {
                break;
            };
            let before = seat.holds(&service);
            seat.reported.insert(service.clone(), share);
            let after = seat.holds(&service);
            self.count(&service, before, after);
            let most = self.most.entry(service.clone()).or_default();
            let more = share > *most;
            *most = share.max(*most);
            if after < before || more {
                stirred.push(service);
            }
        }
        stirred
    }
    /// A pooler has sessions that wait for more connections than its part.
    pub fn want(&mut self, node: &NodeName, service: &ServiceName, more: u32, now: Tick) {
        if let Some(seat) = self.seats.get_mut(node) {
            let more = more.saturating_add(seat.holds(service));
            seat.wants.insert(service.clone(), (more, now));
        }
    }
    /// The services of which a pooler has more than its part, or wants to. Whatever is lent has to be
    /// looked at until it is back.
    pub fn lent(&self, node: &NodeName) -> impl Iterator<Item = &ServiceName> {
        self.seats.get(node).into_iter().flat_map(|s| s.wants.keys())
    }
    /// Divides `total` among the live poolers; what another still holds is not given twice. What the
    /// division leaves over is lent to those who lately wanted more.
    pub fn share(&mut self, node: &NodeName, service: &ServiceName, total: u32, now: Tick) -> u32 {
        let total = total.saturating_sub(RESERVE.min(total / 4));
        let part = (total / self.live.max(1)).max(1);
        let mut target = part;
        if let Some(seat) = self.seats.get_mut(node)
            && let Some((wanted, at)) = seat.wants.get(service).copied()
        {
            if now.since(at) < LENT_MS {
                let over = |s: &PoolerLeases| s.holds(service).saturating_sub(part);
                let others = self.seats.iter().filter(|(name, _)| *name != node);
                let lent: u32 = others.map(|(_, s)| over(s)).sum();
                let left =
                    total.saturating_sub(part.saturating_mul(self.live)).saturating_sub(lent);
                target = part.saturating_add(left).min(wanted.max(part));
            } else if seat.holds(service) <= part {
                seat.wants.remove(service);
            }
        }
        let own = self.seats.get(node).filter(|s| !s.released).map_or(0, |s| s.holds(service));
        let all = self.held.get(service).copied().unwrap_or(0);
        let share = target.min(total.saturating_sub(all.saturating_sub(own)));
        // A new leader does not know all who hold something. Until it must, nobody gets more than
        // the most that one of them says it has: the leader before gave everyone the same.
        if now.since(self.elected) < SHARE_HELD_MS {
            return share.min(self.most.get(service).copied().unwrap_or(0).max(YOUNG_SHARE));
        }
        share
    }
}
