//! The retry budget: limits retries to a share of the requests, so that retries don't multiply the
//! load on endpoints that are overloaded.
//!
//! Pure logic without I/O or a clock. The gateway's shared state owns one budget; request handling
//! records requests, and forwarding spends retries.
use crate::base::time::Tick;
use std::collections::VecDeque;

/// The width of the buckets in which requests are counted, in milliseconds. The window slides by
/// one bucket at a time.
const BUCKET_MS: u64 = 500;

/// How many retries this node may send: over a sliding window, retries stay within a ratio of the
/// requests that the node received.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    ratio: f64,
    window_ms: u64,
    buckets: VecDeque<Bucket>,
}

#[derive(Clone, Debug)]
struct Bucket {
    started_at: Tick,
    requests: u64,
    retries: u64,
}

impl RetryBudget {
    /// Creates an empty budget of `ratio` retries for each request of the last `window_ms`
    /// milliseconds.
    pub fn new(ratio: f64, window_ms: u64) -> Self {
        Self { ratio, window_ms, buckets: VecDeque::new() }
    }

    /// Applies changed settings, and keeps the counts.
    pub(super) fn configure(&mut self, ratio: f64, window_ms: u64) {
        self.ratio = ratio;
        self.window_ms = window_ms;
    }

    /// Returns the bucket of `now`, and drops the buckets that have left the window.
    fn current_bucket(&mut self, now: Tick) -> &mut Bucket {
        while self
            .buckets
            .front()
            .is_some_and(|bucket| now.since(bucket.started_at) > self.window_ms)
        {
            self.buckets.pop_front();
        }
        if self.buckets.back().is_none_or(|bucket| now.since(bucket.started_at) >= BUCKET_MS) {
            self.buckets.push_back(Bucket { started_at: now, requests: 0, retries: 0 });
        }
        let last = self.buckets.len() - 1;
        &mut self.buckets[last]
    }

    /// Records a request from a client.
    pub fn record_request(&mut self, now: Tick) {
        self.current_bucket(now).requests += 1;
    }

    /// Whether the budget allows one more retry.
    pub fn allows_retry(&mut self, now: Tick) -> bool {
        self.current_bucket(now);
        let requests: u64 = self.buckets.iter().map(|bucket| bucket.requests).sum();
        let retries: u64 = self.buckets.iter().map(|bucket| bucket.retries).sum();
        (retries + 1) as f64 <= self.ratio * requests as f64
    }

    /// Spends one retry. Returns false if the budget is spent.
    pub fn try_spend(&mut self, now: Tick) -> bool {
        let allowed = self.allows_retry(now);
        if allowed {
            self.current_bucket(now).retries += 1;
        }
        allowed
    }
}
