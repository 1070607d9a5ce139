//! Estimates from recent response times when a response is late.
//!
//! Pure: one estimator for each service, and one for connecting.

/// The weight of what was seen before in the moving averages.
const HISTORY_WEIGHT: f64 = 0.95;

/// The weight of the latest value in the moving averages.
const LATEST_WEIGHT: f64 = 0.05;

/// Deviations above the mean from which on a response is late.
const LATE_DEVIATIONS: f64 = 4.0;

/// The shortest delay of a hedged request, in milliseconds: less than this is the machine's own
/// scheduling.
const MIN_HEDGE_DELAY_MS: u64 = 20;

/// Moving averages of response times and of their deviation, in milliseconds.
#[derive(Clone, Debug, Default)]
pub(super) struct LatencyEstimator {
    mean_ms: f64,
    deviation_ms: f64,
}

impl LatencyEstimator {
    /// A response took `ms` milliseconds.
    pub(super) fn record(&mut self, ms: u64) {
        let ms = ms as f64;
        if self.mean_ms == 0.0 {
            (self.mean_ms, self.deviation_ms) = (ms, ms / 2.0);
        }
        self.deviation_ms =
            self.deviation_ms * HISTORY_WEIGHT + (ms - self.mean_ms).abs() * LATEST_WEIGHT;
        self.mean_ms = self.mean_ms * HISTORY_WEIGHT + ms * LATEST_WEIGHT;
    }

    /// After how many milliseconds without a response a hedged request is due, for a route with
    /// this latency target. Half of the target is always waited.
    pub(super) fn hedge_delay_ms(&self, target_latency_ms: u64) -> u64 {
        self.late_after_ms(target_latency_ms / 2).max(MIN_HEDGE_DELAY_MS)
    }

    /// After how many milliseconds a response is late, but no fewer than `min_ms`.
    pub(super) fn late_after_ms(&self, min_ms: u64) -> u64 {
        ((self.mean_ms + LATE_DEVIATIONS * self.deviation_ms) as u64).max(min_ms)
    }
}
