//! Replication watermarks: how far each service's log is known to cover acknowledged commits.
//!
//! Poolers report the positions that they observe at primaries; the controller collects them here,
//! uses them to decide when a failover may end, and passes them to the poolers that read from
//! replicas.
use crate::base::ids::{Position, ServiceName};
use crate::base::time::Tick;
use crate::net::rpc::pooler_messages::{ObservedPosition, PositionBound};
use crate::state_machine::PrimaryRecord;
use std::collections::BTreeMap;

/// Times are rounded down to whole milliseconds; the age of a bound is given this much longer, in
/// milliseconds.
const ROUNDING_MS: u64 = 1;

/// A position that covers every commit acknowledged before a time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Watermark {
    /// The time, on this leader's clock.
    pub as_of: Tick,
    /// The position in the log of the service.
    pub position: Position,
}

/// The latest watermark of each service, from whichever pooler observed its primary last.
#[derive(Clone, Debug, Default)]
pub struct ReplicationWatermarks {
    latest: BTreeMap<ServiceName, Watermark>,
}

impl ReplicationWatermarks {
    /// Takes in what a pooler observed at least `observed.sent_after_ms` ms after an answer that this
    /// controller sent at `answered_at`. An observation that can't be true yet, or of a term whose
    /// primary is not `primary`, changes nothing.
    pub fn observe(
        &mut self,
        primary: Option<&PrimaryRecord>,
        answered_at: Tick,
        observed: &ObservedPosition,
        now: Tick,
    ) {
        let as_of = answered_at.plus(observed.sent_after_ms);
        let current_term = primary.is_some_and(|record| record.term == observed.term)
            && observed.position.term <= observed.term;
        let later = self.latest(&observed.service).is_none_or(|known| as_of > known.as_of);
        if current_term && later && as_of <= now {
            let watermark = Watermark { as_of, position: observed.position };
            self.latest.insert(observed.service.clone(), watermark);
        }
    }

    /// The latest watermark of a service.
    pub fn latest(&self, service: &ServiceName) -> Option<Watermark> {
        self.latest.get(service).copied()
    }

    /// The latest watermark of a service, for an answer that is sent now.
    pub fn bound(&self, service: &ServiceName, now: Tick) -> Option<PositionBound> {
        let Watermark { as_of, position } = self.latest(service)?;
        let age_ms = now.since(as_of) + ROUNDING_MS;
        Some(PositionBound { service: service.clone(), position, age_ms })
    }
}
