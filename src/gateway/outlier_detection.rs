//! Outlier detection: ejects an endpoint that fails from load balancing for some time.
//!
//! Pure logic without I/O or a clock. The upstreams own one detector for each endpoint. An ejected
//! endpoint is chosen only if no other is available.
use crate::base::time::Tick;

/// The duration of the first ejection after a fault, in milliseconds. It doubles with each
/// consecutive ejection.
const FAULT_EJECTION_MS: u64 = 2_000;

/// The longest ejection, in milliseconds.
const MAX_EJECTION_MS: u64 = 16_000;

/// The duration of the first ejection after a connect timeout, in milliseconds. It is short
/// because the endpoint may only be busy; consecutive timeouts double it.
const CONNECT_TIMEOUT_EJECTION_MS: u64 = 300;

/// The duration of an ejection of an endpoint that had no free capacity, in milliseconds.
const OVERLOAD_EJECTION_MS: u64 = 150;

/// The most times that the duration is doubled, so that the shift can't overflow. The longest
/// ejection is reached before.
const MAX_DOUBLINGS: u32 = 8;

/// The count of recent error responses at which an endpoint is ejected. It is above one because a
/// single error may be caused by the request.
const MAX_FAILED_RESPONSES: f64 = 1.5;

/// The weight of earlier values in a moving average.
const HISTORY_WEIGHT: f64 = 0.8;

/// The weight of the latest value in a moving average.
const LATEST_WEIGHT: f64 = 0.2;

/// The latency and faults of an endpoint as this node observed them, and its ejection.
#[derive(Clone, Debug, Default)]
pub struct OutlierDetector {
    /// The moving average of response latencies, in milliseconds; 0 before the first response.
    latency_ms: f64,
    ejected_until: Tick,
    consecutive_ejections: u32,
    /// The count of recent error responses, which each success reduces.
    failed_responses: f64,
}

impl OutlierDetector {
    /// Records a successful response after `took_ms` milliseconds.
    pub fn record_success(&mut self, took_ms: u64) {
        let latency_ms = took_ms.max(1) as f64;
        self.latency_ms = if self.latency_ms == 0.0 {
            latency_ms
        } else {
            self.latency_ms * HISTORY_WEIGHT + latency_ms * LATEST_WEIGHT
        };
        self.consecutive_ejections = 0;
        self.failed_responses *= HISTORY_WEIGHT;
    }

    /// Records a fault: the endpoint could not be reached, closed the connection, was too slow or
    /// sent an invalid response.
    pub fn record_fault(&mut self, now: Tick) {
        self.eject(FAULT_EJECTION_MS, now);
    }

    /// Records an error response.
    pub fn record_failed_response(&mut self, now: Tick) {
        self.failed_responses += 1.0;
        if self.failed_responses >= MAX_FAILED_RESPONSES {
            self.failed_responses = 0.0;
            self.record_fault(now);
        }
    }

    /// Records that no connection was established within the timeout.
    pub(super) fn record_connect_timeout(&mut self, now: Tick) {
        self.eject(CONNECT_TIMEOUT_EJECTION_MS, now);
    }

    /// Records that the endpoint did not execute a request, most likely for lack of capacity.
    pub(super) fn record_overload(&mut self, now: Tick) {
        self.ejected_until = self.ejected_until.max(now.plus(OVERLOAD_EJECTION_MS));
    }

    /// Ejects the endpoint for `first_ms` milliseconds, doubled for each consecutive ejection
    /// before.
    fn eject(&mut self, first_ms: u64, now: Tick) {
        let doublings = self.consecutive_ejections.min(MAX_DOUBLINGS);
        let ejection_ms = (first_ms << doublings).min(MAX_EJECTION_MS);
        self.ejected_until = self.ejected_until.max(now.plus(ejection_ms));
        self.consecutive_ejections += 1;
    }

    /// Whether the endpoint is ejected at `now`.
    pub fn is_ejected(&self, now: Tick) -> bool {
        self.ejected_until > now
    }

    /// The moving average of response latencies, in milliseconds; 0 before the first response.
    pub(super) fn latency_ms(&self) -> f64 {
        self.latency_ms
    }

    /// Ends the ejection after an update of the endpoint in the directory, because the reason for
    /// the ejection may be gone.
    pub(super) fn reset(&mut self) {
        self.ejected_until = Tick(0);
        self.consecutive_ejections = 0;
        self.failed_responses = 0.0;
    }
}
