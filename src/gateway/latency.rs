//! Estimates from recent latencies when a response, or an attempt to connect, is late.
//!
//! Pure logic without I/O or a clock. The upstreams own one estimator for each service, and one for
//! connecting to endpoints.

/// The weight of earlier values in the moving averages.
const HISTORY_WEIGHT: f64 = 0.95;

/// The weight of the latest value in the moving averages.
const LATEST_WEIGHT: f64 = 0.05;

/// A response is late once its latency exceeds the mean by this many mean deviations.
const LATE_DEVIATIONS: f64 = 4.0;

/// The shortest delay of a hedged request, in milliseconds. Shorter delays can be due to scheduling
/// on the machine.
const MIN_HEDGE_DELAY_MS: u64 = 20;

/// Moving averages of latencies and of their deviation from the mean, in milliseconds.
#[derive(Clone, Debug, Default)]
pub(super) struct LatencyEstimator {
    mean_ms: f64,
    deviation_ms: f64,
}

impl LatencyEstimator {
    /// Records a latency of `took_ms` milliseconds.
    pub(super) fn record(&mut self, took_ms: u64) {
        let latency_ms = took_ms as f64;
        if self.mean_ms == 0.0 {
            (self.mean_ms, self.deviation_ms) = (latency_ms, latency_ms / 2.0);
        }
        self.deviation_ms =
            self.deviation_ms * HISTORY_WEIGHT + (latency_ms - self.mean_ms).abs() * LATEST_WEIGHT;
        self.mean_ms = self.mean_ms * HISTORY_WEIGHT + latency_ms * LATEST_WEIGHT;
    }

    /// The time without a response after which a hedged request is due, in milliseconds, for a
    /// route with this latency target. It is at least half of the target.
    pub(super) fn hedge_delay_ms(&self, target_latency_ms: u64) -> u64 {
        self.late_after_ms(target_latency_ms / 2).max(MIN_HEDGE_DELAY_MS)
    }

    /// The time after which a response is late, in milliseconds; at least `min_ms`.
    pub(super) fn late_after_ms(&self, min_ms: u64) -> u64 {
        ((self.mean_ms + LATE_DEVIATIONS * self.deviation_ms) as u64).max(min_ms)
    }
}
