//! What this node may use: leases of primaries and its quota of connections.
use crate::base::ids::{DbTerm, InstanceId, Position, ServiceName};
use crate::base::sync::lock;
use crate::base::time::Tick;
use crate::config::route_table::RouteTable;
use crate::pooler::pool::{Held, Pool};
use crate::pooler::replica_reads::ReadWatermarks;
use std::collections::BTreeMap;
use std::net::{Shutdown, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};

/// The connections that this pooler may have to each database of a service, as long as the leader
/// keeps saying so.
#[derive(Debug, Default)]
pub struct ConnectionQuota {
    pub size: u32,
    pub(crate) until: Tick,
    /// What the pools go by.
    pub(crate) laid: u32,
    /// What the leader was last told on this connection.
    pub(crate) told: Option<u32>,
}

impl ConnectionQuota {
    pub fn renew(&mut self, until: Tick) {
        self.until = self.until.max(until);
    }
    /// What the pools are to go by from now on, if it is not what they do.
    pub fn due(&mut self, now: Tick) -> Option<u32> {
        let wanted = if self.until > now { self.size } else { 0 };
        (wanted != self.laid).then(|| {
            self.laid = wanted;
            wanted
        })
    }
    /// What the leader has to be told, if it was not told so before. A smaller share is in force only
    /// once no more connections are open.
    pub fn news(&mut self, open: impl FnOnce() -> u32) -> Option<u32> {
        let shrinks = self.told.is_none_or(|told| told > self.size);
        let held = if shrinks { open().max(self.size) } else { self.size };
        (self.told != Some(held)).then(|| {
            self.told = Some(held);
            held
        })
    }
}

pub(crate) struct ServiceView {
    pub(crate) held: Held,
    /// Terms up to this were taken back; only a renewal asked for after that one may bring them
    /// again, when the alarm was false.
    pub(crate) revoked: Option<(DbTerm, u64)>,
    pub(crate) floors: ReadWatermarks,
    /// The furthest position passed on to a client or seen at the primary.
    pub(crate) highest: Option<Position>,
    pub(crate) share: ConnectionQuota,
    /// When the primary was last lost to this pooler, for saying when to come back.
    pub(crate) unled_since: Option<Tick>,
    /// The databases of the service.
    pub(crate) pools: Vec<Arc<Pool>>,
    /// A newer floor than the leader was told of, and the term of the lease it was seen under.
    pub(crate) news: Option<(DbTerm, Tick, Position)>,
    /// When a read last came that replicas may serve, and how old its rows may be.
    pub(crate) read: Option<(Tick, u64)>,
}

impl Default for ServiceView {
    fn default() -> Self {
        Self {
            held: Held::None,
            revoked: None,
            floors: ReadWatermarks::default(),
            highest: None,
            share: ConnectionQuota::default(),
            unled_since: None,
            pools: Vec::new(),
            news: None,
            read: None,
        }
    }
}

impl ServiceView {
    pub(crate) fn lease(&self, now: Tick) -> Option<(DbTerm, &InstanceId)> {
        match &self.held {
            Held::Led { term, primary, until } if *until > now => Some((*term, primary)),
            _ => None,
        }
    }
    /// How many more connections sessions wait for that may not be opened.
    pub(crate) fn short(&self) -> u32 {
        let short = |p: &Arc<Pool>| lock(&p.inner).admission.unmet_demand();
        self.pools.iter().map(short).max().unwrap_or(0)
    }
    /// Has the pools go by the share as it is now. True if that is news to them.
    pub(crate) fn lay_share(&mut self) -> bool {
        let due = self.share.due(Tick::now());
        if let Some(cap) = due {
            self.pools.iter().for_each(|pool| pool.set_cap(cap));
        }
        due.is_some()
    }
}

#[derive(Default)]
pub(crate) struct View {
    pub(crate) config: Option<Arc<RouteTable>>,
    pub(crate) listed: bool,
    pub(crate) pools: BTreeMap<InstanceId, Arc<Pool>>,
    pub(crate) services: BTreeMap<ServiceName, ServiceView>,
}

/// A session, as others may see and end it.
pub(crate) struct Seen {
    pub(crate) stream: TcpStream,
    pub(crate) came: Tick,
    /// It stayed, and the kernel looks after its connection.
    pub(crate) lasting: AtomicBool,
    /// It has rested before, so that the kernel knows whom to wake.
    pub(crate) watched: AtomicBool,
    /// It has said CONNECT.
    pub(crate) connected: AtomicBool,
    /// When the session began to wait for its client; 0 while it works.
    pub(crate) resting: AtomicU64,
    pub(crate) open: AtomicBool,
}

impl Seen {
    /// Takes nothing more from a client that rests; what was already read is still answered. One
    /// with a transaction open is left alone unless `open_too`.
    pub(crate) fn send_off(&self, open_too: bool) {
        let rests = self.resting.load(Ordering::Relaxed) > 0;
        if rests && (open_too || !self.open.load(Ordering::Relaxed)) {
            drop(self.stream.shutdown(Shutdown::Read));
        }
    }
}

/// With no word from a leader for this long, the share of connections is no longer ours.
pub(crate) const SHARE_KEPT_MS: u64 = 3_000;
