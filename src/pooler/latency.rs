//! Estimates reply timeouts from the measured latency of a database.
//!
//! The estimator does no I/O. `pool` keeps one for each type of route, and `statement_execution`
//! takes reply timeouts from it.

/// Moving averages of the latency and of its mean deviation, as TCP computes them for its
/// retransmission timer (RFC 6298).
#[derive(Clone, Copy, Debug, Default)]
pub struct LatencyEstimator {
    mean_ms: f32,
    deviation_ms: f32,
    samples: u32,
}

/// The number of samples that are needed before the estimate is used.
const MIN_SAMPLES: u32 = 8;

/// The minimum timeout in ms, however low the latency is.
const MIN_TIMEOUT_MS: u64 = 40;

/// The inverse of a new sample's weight in the moving average of the latency.
const MEAN_WINDOW: f32 = 16.0;

/// The inverse of a new sample's weight in the moving average of the deviation.
const DEVIATION_WINDOW: f32 = 8.0;

/// The timeout, as a number of mean deviations above the mean latency: a reply that takes longer is
/// more likely lost than delayed.
const TIMEOUT_DEVIATIONS: f32 = 6.0;

impl LatencyEstimator {
    /// Records the latency of a reply.
    pub fn record(&mut self, latency_ms: u64) {
        let latency = latency_ms as f32;
        if self.samples == 0 {
            (self.mean_ms, self.deviation_ms) = (latency, latency / 2.0);
        } else {
            let deviation = (latency - self.mean_ms).abs();
            self.deviation_ms += (deviation - self.deviation_ms) / DEVIATION_WINDOW;
            self.mean_ms += (latency - self.mean_ms) / MEAN_WINDOW;
        }
        self.samples = self.samples.saturating_add(1);
    }

    /// The time in ms after which a reply is considered lost, at most `max_ms`. Returns `max_ms`
    /// while there are too few samples.
    pub fn timeout_ms(&self, max_ms: u64) -> u64 {
        if self.samples < MIN_SAMPLES {
            return max_ms;
        }
        let estimate = self.mean_ms + TIMEOUT_DEVIATIONS * self.deviation_ms;
        (estimate as u64).max(MIN_TIMEOUT_MS).min(max_ms)
    }
}
