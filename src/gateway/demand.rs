//! Measures a node's demand for a service: the average number of its requests in flight.
//!
//! Pure logic without I/O or a clock. The upstreams own one meter for each service, and renewals
//! report its value to the leader, which assigns each gateway node a subset of the endpoints by
//! demand.

/// The weight of earlier measurements in the moving average.
const HISTORY_WEIGHT: f64 = 0.8;

/// The weight of the latest measurement in the moving average.
const LATEST_WEIGHT: f64 = 0.2;

/// A change of the demand is reported if it exceeds this, in hundredths of a request, plus a
/// quarter of the reported value.
const MIN_REPORTED_CHANGE: u32 = 10;

/// The average number of requests in flight at the endpoints of one service.
#[derive(Clone, Debug, Default)]
pub struct DemandMeter {
    /// The total duration of the attempts that ended since the last measurement, in milliseconds.
    busy_ms: u64,
    mean_in_flight: f64,
    /// The value that was last reported to the leader, in hundredths of a request; `None` for a new
    /// leader.
    reported: Option<u32>,
}

impl DemandMeter {
    /// Records the end of an attempt that took `took_ms` milliseconds.
    pub fn record(&mut self, took_ms: u64) {
        self.busy_ms += took_ms;
    }

    /// Ends a measurement of `elapsed_ms` milliseconds. Returns the average number of requests in
    /// flight, in hundredths, if it differs enough from the value that was last reported.
    pub fn next_report(&mut self, elapsed_ms: u64) -> Option<u32> {
        let in_flight = std::mem::take(&mut self.busy_ms) as f64 / elapsed_ms.max(1) as f64;
        self.mean_in_flight = if self.reported.is_none() {
            in_flight
        } else {
            self.mean_in_flight * HISTORY_WEIGHT + in_flight * LATEST_WEIGHT
        };
        let hundredths = (self.mean_in_flight * 100.0) as u32;
        let changed = self.reported.is_none_or(|reported| {
            hundredths.abs_diff(reported) > reported / 4 + MIN_REPORTED_CHANGE
        });
        changed.then(|| {
            self.reported = Some(hundredths);
            hundredths
        })
    }

    /// Clears the value that was last reported, because a connection to a new leader began.
    pub(super) fn clear_reported(&mut self) {
        self.reported = None;
    }
}
