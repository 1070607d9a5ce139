//! Ejects an endpoint that fails for a while, and lets it be tried again later.
//!
//! Pure: one detector for each endpoint, owned by the upstreams. An ejected endpoint is chosen
//! only where no other is left.
use crate::base::time::Tick;

/// How long an endpoint that failed is ejected, in milliseconds; doubled each time in a row.
const EJECTION_MS: u64 = 2_000;

/// The longest ejection, in milliseconds.
const MAX_EJECTION_MS: u64 = 16_000;

/// The first ejection after a connect time-out, in milliseconds: the endpoint may only be busy,
/// and counts as unreachable only when it happens again and again.
const CONNECT_TIMEOUT_EJECTION_MS: u64 = 300;

/// How long an endpoint is ejected that had no capacity, in milliseconds.
const OVERLOAD_EJECTION_MS: u64 = 150;

/// The most times that an ejection is doubled; the maximum is reached long before.
const MAX_DOUBLINGS: u32 = 8;

/// Recent error responses that eject an endpoint. One alone may be the request's own fault.
const MAX_FAILED_RESPONSES: f64 = 1.5;

/// The weight of what was seen before in a moving average.
const HISTORY_WEIGHT: f64 = 0.8;

/// The weight of the latest value in a moving average.
const LATEST_WEIGHT: f64 = 0.2;

/// What this node has seen of an endpoint, and until when the endpoint is ejected.
#[derive(Clone, Debug, Default)]
pub struct OutlierDetector {
    /// Moving average of response times, in milliseconds; 0 before the first response.
    latency_ms: f64,
    ejected_until: Tick,
    consecutive_ejections: u32,
    /// Recent error responses; each success lets them count for less.
    failed_responses: f64,
}

impl OutlierDetector {
    /// The endpoint responded with success after `ms` milliseconds.
    pub fn record_success(&mut self, ms: u64) {
        let ms = ms.max(1) as f64;
        self.latency_ms = if self.latency_ms == 0.0 {
            ms
        } else {
            self.latency_ms * HISTORY_WEIGHT + ms * LATEST_WEIGHT
        };
        self.consecutive_ejections = 0;
        self.failed_responses *= HISTORY_WEIGHT;
    }

    /// The endpoint could not be reached, closed the connection, or sent what is no response.
    pub fn record_fault(&mut self, now: Tick) {
        self.eject(EJECTION_MS, now);
    }

    /// The endpoint responded with an error.
    pub fn record_failed_response(&mut self, now: Tick) {
        self.failed_responses += 1.0;
        if self.failed_responses >= MAX_FAILED_RESPONSES {
            self.failed_responses = 0.0;
            self.record_fault(now);
        }
    }

    /// No connection was established in time.
    pub(super) fn record_connect_timeout(&mut self, now: Tick) {
        self.eject(CONNECT_TIMEOUT_EJECTION_MS, now);
    }

    /// The endpoint did not execute a request, most likely for lack of capacity.
    pub(super) fn record_overload(&mut self, now: Tick) {
        self.ejected_until = self.ejected_until.max(now.plus(OVERLOAD_EJECTION_MS));
    }

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

    /// Moving average of response times, in milliseconds; 0 before the first response.
    pub(super) fn latency_ms(&self) -> f64 {
        self.latency_ms
    }

    /// The directory has an update of the endpoint: the reason for its ejection may be over.
    pub(super) fn reset(&mut self) {
        self.ejected_until = Tick(0);
        self.consecutive_ejections = 0;
        self.failed_responses = 0.0;
    }
}
