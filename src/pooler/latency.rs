//! How long a database takes to answer, and from when on an answer counts as lost.
//!
//! Pure; `pool` keeps one estimator for each type of route, and `statement_execution` asks it.

/// A running mean of answer times and of their deviation from it, as TCP keeps them for its
/// retransmission timer (RFC 6298).
#[derive(Clone, Copy, Debug, Default)]
pub struct LatencyEstimator {
    mean_ms: f32,
    deviation_ms: f32,
    samples: u32,
}

/// Samples before the estimate is used.
const MIN_SAMPLES: u32 = 8;

/// The shortest timeout in ms, however quick the answers are.
const MIN_TIMEOUT_MS: u64 = 40;

/// A new sample moves the mean by one part in so many.
const MEAN_WINDOW: f32 = 16.0;

/// A new sample moves the deviation by one part in so many.
const DEVIATION_WINDOW: f32 = 8.0;

/// Deviations above the mean from which on an answer is more likely lost than under way.
const TIMEOUT_DEVIATIONS: f32 = 6.0;

impl LatencyEstimator {
    /// Takes in the time that an answer took.
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

    /// The time in ms after which an answer is more likely lost than under way, `max_ms` at most.
    pub fn timeout_ms(&self, max_ms: u64) -> u64 {
        if self.samples < MIN_SAMPLES {
            return max_ms;
        }
        let estimate = self.mean_ms + TIMEOUT_DEVIATIONS * self.deviation_ms;
        (estimate as u64).max(MIN_TIMEOUT_MS).min(max_ms)
    }
}
