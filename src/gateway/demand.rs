//! Measures how much work a node has at the endpoints of a service, for the leader.
//!
//! Pure: the upstreams own one meter for each service; renewals carry what it reports. From it the
//! leader assigns each gateway node a subset of the endpoints.

/// The weight of what was measured before in the moving average.
const HISTORY_WEIGHT: f64 = 0.8;

/// The weight of the latest measurement in the moving average.
const LATEST_WEIGHT: f64 = 0.2;

/// The least change of the reported value that is reported, in hundredths of a request, beside a
/// quarter of the value.
const MIN_REPORTED_CHANGE: u32 = 10;

/// The average number of requests in flight at the endpoints of one service.
#[derive(Clone, Debug, Default)]
pub struct DemandMeter {
    /// Milliseconds that finished attempts took since the last report was due.
    busy_ms: u64,
    mean_in_flight: f64,
    /// What the leader knows, in hundredths of a request; `None` for a new leader.
    reported: Option<u32>,
}

impl DemandMeter {
    /// An attempt that took `ms` milliseconds has ended.
    pub fn record(&mut self, ms: u64) {
        self.busy_ms += ms;
    }

    /// Closes a measurement of `elapsed_ms` milliseconds. Returns the average number of requests in
    /// flight, in hundredths, if it differs enough from what the leader knows.
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

    /// The connection has a new leader, which knows nothing of this node's demand.
    pub(super) fn forget_report(&mut self) {
        self.reported = None;
    }
}
