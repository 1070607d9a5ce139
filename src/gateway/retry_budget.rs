//! The retry budgets: limit the retries to a share of the requests of each service, so that retries
//! don't multiply the load on endpoints that are overloaded.
//!
//! Pure logic without I/O or a clock. The gateway's shared state owns the budgets. Forwarding
//! records each request whose first attempt was sent, and spends one retry for each further time
//! that a request is sent to an endpoint, whether the same or another.
use crate::base::ids::ServiceName;
use std::collections::HashMap;

/// How many unspent retries a service's budget holds at most. The deployment allows all nodes
/// together a fixed number of retries beyond the ratio (`retry_slack`), and each node may spend
/// what it has saved in the same moment.
const MAX_SAVED_RETRIES: f64 = 2.0;

/// Absorbs the rounding of sums of the ratio, so that a whole retry is recognised as one.
const ROUNDING: f64 = 1e-6;

/// How many retries this node may send to each service: a token bucket, which every request fills
/// by the ratio. In any period, the retries of a service exceed the ratio of its requests by at
/// most two.
#[derive(Clone, Debug)]
pub struct RetryBudgets {
    ratio: f64,
    saved: HashMap<ServiceName, f64>,
}

impl RetryBudgets {
    /// Creates empty budgets of `ratio` retries for each request of a service.
    pub fn new(ratio: f64) -> Self {
        Self { ratio, saved: HashMap::new() }
    }

    /// Applies a changed ratio to the requests from now on.
    pub(super) fn set_ratio(&mut self, ratio: f64) {
        self.ratio = ratio;
    }

    /// Records a request that was sent to an endpoint of the service for the first time.
    pub fn record_request(&mut self, service: &ServiceName) {
        let saved = match self.saved.get_mut(service) {
            Some(saved) => saved,
            None => self.saved.entry(service.clone()).or_default(),
        };
        *saved = (*saved + self.ratio).min(MAX_SAVED_RETRIES);
    }

    /// Whether the budget of the service allows one more retry.
    pub fn allows_retry(&self, service: &ServiceName) -> bool {
        self.saved.get(service).is_some_and(|saved| *saved + ROUNDING >= 1.0)
    }

    /// Spends one retry of the service. Returns false if its budget is spent.
    pub fn try_spend(&mut self, service: &ServiceName) -> bool {
        let allowed = self.allows_retry(service);
        if let Some(saved) = self.saved.get_mut(service).filter(|_| allowed) {
            *saved -= 1.0;
        }
        allowed
    }

    /// Gives back a retry that was spent and not sent.
    pub fn give_back(&mut self, service: &ServiceName) {
        if let Some(saved) = self.saved.get_mut(service) {
            *saved = (*saved + 1.0).min(MAX_SAVED_RETRIES);
        }
    }
}
