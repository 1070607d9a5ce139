//! How far each service's log is known to cover acknowledged commits.
use crate::base::ids::{Position, ServiceName};
use crate::base::time::Tick;
use crate::net::rpc::pooler_messages::{ObservedPosition, PositionBound};
use crate::state_machine::PrimaryRecord;
use std::collections::BTreeMap;

/// How far the primaries were seen, by whichever pooler saw it last: a pair (s, p) says that p covers
/// every commit acknowledged before s, on this leader's clock. A value; kept while this one leads.
#[derive(Clone, Debug, Default)]
pub struct ReplicationWatermarks {
    newest: BTreeMap<ServiceName, (Tick, Position)>,
}

impl ReplicationWatermarks {
    /// A pooler saw something at least `saw.sent_after_ms` ms after an answer that left here at `answered`.
    /// What can't be, or is of a term that does not lead, changes nothing.
    pub fn learn(
        &mut self,
        lead: Option<&PrimaryRecord>,
        answered: Tick,
        saw: &ObservedPosition,
        now: Tick,
    ) {
        let seen = answered.plus(saw.sent_after_ms);
        let fits = lead.is_some_and(|l| l.term == saw.term) && saw.position.term <= saw.term;
        let newer = self.newest.get(&saw.service).is_none_or(|(at, _)| seen > *at);
        if fits && newer && seen <= now {
            self.newest.insert(saw.service.clone(), (seen, saw.position));
        }
    }
    /// The newest pair of a service.
    pub fn newest(&self, service: &ServiceName) -> Option<(Tick, Position)> {
        self.newest.get(service).copied()
    }
    /// For an answer that leaves now, to a pooler that asked before.
    pub fn tell(&self, service: &ServiceName, now: Tick) -> Option<PositionBound> {
        let (seen, position) = *self.newest.get(service)?;
        // Times are cut to whole milliseconds, so one is kept in hand.
        Some(PositionBound { service: service.clone(), position, age_ms: now.since(seen) + 1 })
    }
}
