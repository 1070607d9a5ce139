//! Replication watermarks: log positions known to cover the acknowledged commits of each service.
//!
//! Poolers report the log positions that they observe at primaries. The controller collects them
//! here, uses them to decide when a failover may proceed, and sends them to the poolers that read
//! from replicas.
use crate::base::ids::{Position, ServiceName};
use crate::base::time::Tick;
use crate::net::rpc::pooler_messages::{ObservedPosition, PositionBound};
use crate::state_machine::PrimaryRecord;
use std::collections::BTreeMap;

/// Added to the age of a position bound, in milliseconds, because times are rounded down to whole
/// milliseconds.
const ROUNDING_ALLOWANCE_MS: u64 = 1;

/// A log position that covers every commit acknowledged before a given time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Watermark {
    /// The time, on this leader's clock.
    pub as_of: Tick,
    /// The position in the service's log.
    pub position: Position,
}

/// The latest watermark of each service, whichever pooler reported it.
#[derive(Clone, Debug, Default)]
pub struct ReplicationWatermarks {
    latest: BTreeMap<ServiceName, Watermark>,
}

impl ReplicationWatermarks {
    /// Records a position that a pooler observed at least `observed.sent_after_ms` ms after a
    /// response that this controller sent at `answered_at`. Ignores an observation that is older
    /// than the known one, lies in the future, or is not of the current term of `primary`.
    pub fn observe(
        &mut self,
        primary: Option<&PrimaryRecord>,
        answered_at: Tick,
        observed: &ObservedPosition,
        now: Tick,
    ) {
        let as_of = answered_at.plus(observed.sent_after_ms);
        let is_current_term = primary.is_some_and(|record| record.term == observed.term)
            && observed.position.term <= observed.term;
        let is_newer = self.latest(&observed.service).is_none_or(|known| as_of > known.as_of);
        if is_current_term && is_newer && as_of <= now {
            let watermark = Watermark { as_of, position: observed.position };
            self.latest.insert(observed.service.clone(), watermark);
        }
    }

    /// The latest watermark of a service.
    pub fn latest(&self, service: &ServiceName) -> Option<Watermark> {
        self.latest.get(service).copied()
    }

    /// The latest watermark of a service, as a position bound for a response that is sent now.
    pub fn position_bound(&self, service: &ServiceName, now: Tick) -> Option<PositionBound> {
        let Watermark { as_of, position } = self.latest(service)?;
        let age_ms = now.since(as_of) + ROUNDING_ALLOWANCE_MS;
        Some(PositionBound { service: service.clone(), position, age_ms })
    }
}
