//! Which subset of a zone's databases each gateway node uses first.
use crate::base::ids::{NodeName, ServiceName};
use crate::base::time::Tick;
use crate::net::rpc::pooler_messages::SubsetRange;
use std::collections::BTreeMap;

/// Which part of its zone's databases each node of a gateway uses first. Where one node sees most of
/// a database's load, its own count of requests under way is nearly the truth. A hint: nothing breaks
/// where two nodes believe different things. A value; kept while this one leads.
#[derive(Clone, Debug)]
pub struct SubsetAssignments {
    elected: Tick,
    divided: Tick,
    claims: BTreeMap<(String, ServiceName), BTreeMap<NodeName, SubsetClaim>>,
}

#[derive(Clone, Debug, Default)]
struct SubsetClaim {
    /// Requests under way, in hundredths.
    busy: u32,
    subset_range: (u32, u32),
    told: Option<(u32, u32)>,
}

/// How often the databases are divided anew.
const DIVIDE_MS: u64 = 1_000;

/// A new leader hears of all demands first.
const CLAIMS_COME_MS: u64 = 2_500;

/// Where nodes want little, they still have a part of what they would have if all wanted the same.
const LEAST_PART: f64 = 0.3;

/// All of a zone's databases of a service.
const WHOLE_PLOT: f64 = 1e6;

impl SubsetAssignments {
    pub fn new(elected: Tick) -> Self {
        Self { elected, divided: elected, claims: BTreeMap::new() }
    }
    pub fn report(&mut self, node: &NodeName, zone: &str, service: ServiceName, busy: u32) {
        let claims = self.claims.entry((zone.to_owned(), service)).or_default();
        claims.entry(node.clone()).or_default().busy = busy;
    }
    /// Divides the databases by demand among the nodes that are there, now and then.
    pub fn divide(&mut self, there: impl Fn(&NodeName) -> bool, now: Tick) {
        if now.since(self.elected) < CLAIMS_COME_MS || now.since(self.divided) < DIVIDE_MS {
            return;
        }
        self.divided = now;
        for claims in self.claims.values_mut() {
            claims.retain(|node, _| there(node));
            let mean =
                claims.values().map(|c| f64::from(c.busy)).sum::<f64>() / claims.len() as f64;
            let weight = |c: &SubsetClaim| f64::from(c.busy).max(mean * LEAST_PART).max(1.0);
            let all: f64 = claims.values().map(weight).sum();
            let mut upto = 0.0;
            for claim in claims.values_mut() {
                let from = upto;
                upto += weight(claim) / all * WHOLE_PLOT;
                claim.subset_range = (from as u32, upto as u32);
            }
        }
        self.claims.retain(|_, claims| !claims.is_empty());
    }
    /// The plots that a node is to be told of: those that moved by a good part of themselves, or all.
    pub fn due(&mut self, node: &NodeName, all: bool) -> Vec<SubsetRange> {
        let mut due = Vec::new();
        for ((_, service), claims) in &mut self.claims {
            let Some(claim) = claims.get_mut(node) else { continue };
            let (from, upto) = claim.subset_range;
            let moved =
                |(f, u): (u32, u32)| f.abs_diff(from).max(u.abs_diff(upto)) * 4 > upto - from;
            if upto > from && (all || claim.told.is_none_or(moved)) {
                claim.told = Some(claim.subset_range);
                due.push(SubsetRange { service: service.clone(), start: from, end: upto });
            }
        }
        due
    }
}
