//! Time-outs, intervals and thresholds of failovers and handovers. Times are in milliseconds.

use crate::leases::lease_table::LEASE_USE_MS;

/// Poolers that must report an unanswered request before a primary that has not responded to the
/// leader either is treated as lost or slow. One or two poolers may have network faults of their
/// own.
pub(super) const NO_RESPONSE_REPORTERS_NEEDED: usize = 3;

/// Time within which a reachable machine accepts a connection, even under load.
pub(super) const CONNECT_WINDOW_MS: u64 = 25;

/// Time after which an unanswered request to a database is sent again.
pub(super) const REQUEST_RETRY_MS: u64 = 400;

/// Time that a database which reports to be the service's first primary has to describe itself.
/// After that its next heartbeat starts the discovery again.
pub(super) const FIRST_PRIMARY_TIMEOUT_MS: u64 = 2 * REQUEST_RETRY_MS;

/// Time after which a suspicion ends without a result if the primary has not responded.
pub(super) const SUSPICION_TIMEOUT_MS: u64 = 4 * REQUEST_RETRY_MS;

/// Duration of fencing after which a primary that is still registered is asked again, because the
/// suspicion may have been wrong.
pub(super) const PRIMARY_RECHECK_AFTER_MS: u64 = 2 * REQUEST_RETRY_MS;

/// Interval at which a departed replica is probed. It may run on and receive commits for many
/// seconds after it departed.
pub(super) const DEPARTED_PROBE_INTERVAL_MS: u64 = 500;

/// Time after which a departed replica that neither responds nor refuses connections is assumed
/// to have stopped. A registered database without heartbeats is removed after the same time.
pub(super) const DEPARTED_ASSUMED_STOPPED_MS: u64 = 60_000;

/// Time after which no pooler counts a departed replica as listed any more. Until then one may use a
/// lease that it was granted before it was told of the departure. An update may be unsent for as
/// long as a leader's own lease lasts, if its process stands still.
pub(super) const DEPARTED_LISTED_MS: u64 = LEASE_USE_MS + 650;

/// Time that the replicas have to reach the primary's position in one departed replica check.
pub(super) const DEPARTED_CHECK_TIMEOUT_MS: u64 = 1_500;

/// Initial backoff between two departed replica checks; it doubles with each failed check.
pub(super) const DEPARTED_CHECK_BACKOFF_MS: u64 = 1_000;

/// Longest backoff between two departed replica checks.
pub(super) const DEPARTED_CHECK_MAX_BACKOFF_MS: u64 = 16_000;

/// Time after which a promotion call that ended without being accepted is repeated, counted from
/// the call.
pub(super) const PROMOTION_RETRY_MS: u64 = 300;

/// Time within which a promotion call takes effect, if it ever does. It is counted from the
/// platform's response or from the time-out of the call.
pub(super) const PROMOTION_EFFECT_MS: u64 = 2_000;

/// Time after which a promotion call without a response is treated as ended. The HTTP client of the
/// platform gives up earlier.
pub(super) const PROMOTION_CALL_TIMEOUT_MS: u64 = 3_000;

/// Interval at which a target that may have been promoted is asked for its state.
pub(super) const PROMOTED_TARGET_POLL_MS: u64 = 500;

/// Interval at which replicas that have not confirmed their resumption are asked again.
pub(super) const RESUME_RETRY_MS: u64 = 1_000;

/// Time after which an unanswered request can no longer be carried out: its connection timed out
/// long before.
pub(super) const REQUEST_EXPIRED_MS: u64 = 3_000;

/// Least time between two replacements of a slow or unstable primary, so that the service does not
/// alternate between two slow databases.
pub(super) const SLOW_REPLACEMENT_INTERVAL_MS: u64 = 5_000;

/// Time within which a healthy database describes itself.
pub(super) const SLOW_RESPONSE_MS: u64 = 150;

/// A primary is treated as slow if it is found slow twice within this time. A single slow response
/// may be due to a short queue.
pub(super) const REPEATED_SLOW_WINDOW_MS: u64 = 2_000;

/// A second time-out within this time shows that the first was not caused by a lost packet.
pub(super) const REPEATED_TIMEOUT_WINDOW_MS: u64 = 1_500;

/// Broken connections within `BROKEN_CONNECTION_WINDOW_MS` that make a primary unstable.
pub(super) const BROKEN_CONNECTIONS_NEEDED: usize = 5;

/// Poolers that must have reported those broken connections. A single pooler may have a bad link.
pub(super) const BROKEN_CONNECTION_REPORTERS_NEEDED: usize = 3;

/// Period over which broken connections are counted.
pub(super) const BROKEN_CONNECTION_WINDOW_MS: u64 = 1_500;

/// Reports of broken connections that are stored at most; a decision never needs more.
pub(super) const MAX_STORED_BROKEN_CONNECTIONS: usize = 32;

/// Time after which a handover from a draining primary is cancelled.
pub(super) const DRAINING_HANDOVER_TIMEOUT_MS: u64 = 3_000;

/// Time after which a handover from a slow primary is cancelled.
pub(super) const SLOW_HANDOVER_TIMEOUT_MS: u64 = 600;

/// Time that the selection waits for the replicas' own responses before it relies on the poolers'
/// reports alone.
pub(super) const REPLICA_RESPONSE_WAIT_MS: u64 = 300;

/// Interval at which the target of a handover is asked for its position.
pub(super) const HANDOVER_POLL_MS: u64 = 100;

/// Time for which poolers' reports against a primary that just described itself are ignored.
pub(super) const REPORTS_IGNORED_MS: u64 = 300;

/// Time for which missing heartbeats of a primary that just described itself are ignored.
pub(super) const MISSING_HEARTBEATS_IGNORED_MS: u64 = 2_000;

/// Time after a cancelled failover or handover before a handover from a draining primary is
/// started.
pub(super) const HANDOVER_RETRY_MS: u64 = 1_000;

/// Least time between two requests to a former primary to step down.
pub(super) const STEP_DOWN_RETRY_MS: u64 = 1_000;

/// Time after which a proposed intent that was not seen committed is proposed again.
pub(super) const INTENT_RETRY_MS: u64 = 1_000;
