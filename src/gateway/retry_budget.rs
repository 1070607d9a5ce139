//! The share of requests that may be sent again, so that retries never multiply an overload.
//!
//! Pure: the gateway's shared state owns one budget; forwarding records requests and takes retries
//! from it.
use crate::base::time::Tick;
use std::collections::VecDeque;

/// Requests are counted in spans of this many milliseconds, which leave the window one by one.
const SPAN_MS: u64 = 500;

/// How many retries this node may send, earned by the requests that it received: over the last
/// window, retries stay below a ratio of requests.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    ratio: f64,
    window_ms: u64,
    spans: VecDeque<BudgetSpan>,
}

#[derive(Clone, Debug)]
struct BudgetSpan {
    began: Tick,
    requests: u64,
    retries: u64,
}

impl RetryBudget {
    /// An empty budget of `ratio` retries for each request of the last `window_ms` milliseconds.
    pub fn new(ratio: f64, window_ms: u64) -> Self {
        Self { ratio, window_ms, spans: VecDeque::new() }
    }

    /// Takes over changed settings; what was counted stays.
    pub(super) fn configure(&mut self, ratio: f64, window_ms: u64) {
        self.ratio = ratio;
        self.window_ms = window_ms;
    }

    /// The span of `now`; spans that left the window are dropped.
    fn current_span(&mut self, now: Tick) -> &mut BudgetSpan {
        while self.spans.front().is_some_and(|span| now.since(span.began) > self.window_ms) {
            self.spans.pop_front();
        }
        if self.spans.back().is_none_or(|span| now.since(span.began) >= SPAN_MS) {
            self.spans.push_back(BudgetSpan { began: now, requests: 0, retries: 0 });
        }
        let last = self.spans.len() - 1;
        &mut self.spans[last]
    }

    /// A client's request was received.
    pub fn record_request(&mut self, now: Tick) {
        self.current_span(now).requests += 1;
    }

    /// Whether one more retry stays within the budget.
    pub fn allows_retry(&mut self, now: Tick) -> bool {
        self.current_span(now);
        let requests: u64 = self.spans.iter().map(|span| span.requests).sum();
        let retries: u64 = self.spans.iter().map(|span| span.retries).sum();
        (retries + 1) as f64 <= self.ratio * requests as f64
    }

    /// Takes one retry from the budget; false if there is none left.
    pub fn try_spend(&mut self, now: Tick) -> bool {
        let allowed = self.allows_retry(now);
        if allowed {
            self.current_span(now).retries += 1;
        }
        allowed
    }
}
