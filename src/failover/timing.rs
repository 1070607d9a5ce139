//! The waiting times and limits of a failover. Times are in milliseconds.

/// Poolers that must report an unanswered request before a primary that hasn't answered the
/// leader yet is treated as lost or slow: one or two may have trouble of their own.
pub(super) const SILENT_REPORTERS_NEEDED: usize = 3;

/// A reachable machine accepts a connection well within this time, even a busy one.
pub(super) const CONNECT_WINDOW_MS: u64 = 25;

/// An unanswered request to a database is sent again after this time.
pub(super) const REQUEST_RETRY_MS: u64 = 400;

/// The first primary is asked again at its next heartbeat if it hasn't answered within this time.
pub(super) const FIRST_PRIMARY_TIMEOUT_MS: u64 = 2 * REQUEST_RETRY_MS;

/// A suspicion ends without a result if the primary's answer hasn't come within this time.
pub(super) const SUSPICION_TIMEOUT_MS: u64 = 4 * REQUEST_RETRY_MS;

/// While the replicas are being paused, a primary that is still listed is asked again after this
/// time: the alarm may have been false.
pub(super) const PRIMARY_RECHECK_AFTER_MS: u64 = 2 * REQUEST_RETRY_MS;

/// A departed replica is asked this often whether it still runs: it may serve on, and receive, for
/// many seconds after its goodbye.
pub(super) const DEPARTED_PROBE_INTERVAL_MS: u64 = 500;

/// A departed replica that neither answers nor refuses is taken for ended after this time, as one
/// whose heartbeats don't come is.
pub(super) const DEPARTED_SILENT_MS: u64 = 60_000;

/// How long the replicas may take to reach the primary's position in one departed replica check.
pub(super) const DEPARTED_CHECK_TIMEOUT_MS: u64 = 1_500;

/// The first pause between two departed replica checks; it doubles with each that fails.
pub(super) const DEPARTED_CHECK_BACKOFF_MS: u64 = 1_000;

/// The longest pause between two departed replica checks.
pub(super) const DEPARTED_CHECK_MAX_BACKOFF_MS: u64 = 16_000;

/// A promotion call that ended without being accepted is repeated this long after it was made.
pub(super) const PROMOTION_RETRY_MS: u64 = 300;

/// A promotion call that was answered, or got no answer, has taken effect by then if it ever will.
pub(super) const PROMOTION_EFFECT_MS: u64 = 2_000;

/// A promotion call has ended by then, with an answer or without: the client of the platform gives
/// up earlier.
pub(super) const PROMOTION_CALL_TIMEOUT_MS: u64 = 3_000;

/// A target that may have been promoted is asked for its state this often.
pub(super) const PROMOTED_TARGET_POLL_MS: u64 = 500;

/// Replicas that haven't confirmed their resumption are asked again after this time.
pub(super) const RESUME_RETRY_MS: u64 = 1_000;

/// A request that wasn't answered within this time isn't carried out any more: its connection
/// timed out long before.
pub(super) const REQUEST_EXPIRED_MS: u64 = 3_000;

/// A slow or unsteady primary is replaced at most this often, so that two slow databases don't
/// hand the service to and fro.
pub(super) const SLOW_REPLACEMENT_INTERVAL_MS: u64 = 5_000;

/// A database that is able to work describes itself within this time.
pub(super) const SLOW_ANSWER_MS: u64 = 150;

/// A primary found slow twice within this time is slow; once may be a moment's queue.
pub(super) const SLOW_TWICE_WITHIN_MS: u64 = 2_000;

/// A second unanswered request within this time shows that the first was no lost packet.
pub(super) const UNANSWERED_TWICE_WITHIN_MS: u64 = 1_500;

/// Broken connections within `BROKEN_CONNECTIONS_WITHIN_MS` that make a primary unsteady.
pub(super) const BROKEN_CONNECTIONS_NEEDED: usize = 5;

/// Poolers that must have reported them: a single one may have a bad link.
pub(super) const BROKEN_CONNECTION_REPORTERS_NEEDED: usize = 3;

/// The period over which broken connections are counted.
pub(super) const BROKEN_CONNECTIONS_WITHIN_MS: u64 = 1_500;

/// Reports of broken connections that are stored at most; more than are ever needed.
pub(super) const BROKEN_CONNECTIONS_STORED: usize = 32;

/// A planned change away from a draining primary is called off after this time.
pub(super) const PLANNED_CHANGE_TIMEOUT_MS: u64 = 3_000;

/// A planned change away from a primary that is only slow is called off after this time.
pub(super) const SLOW_PRIMARY_HANDOVER_TIMEOUT_MS: u64 = 600;

/// For this long the replicas' own answers are waited for before what the poolers report is
/// relied on instead.
pub(super) const PREFER_REPLICAS_MS: u64 = 300;

/// In a planned change the target is asked this often how far it is.
pub(super) const TARGET_POLL_MS: u64 = 100;

/// A primary that just described itself isn't suspected again by a pooler's report for this long.
pub(super) const REPORTS_IGNORED_MS: u64 = 300;

/// A primary that just described itself isn't suspected for missing heartbeats for this long.
pub(super) const MISSING_HEARTBEATS_IGNORED_MS: u64 = 2_000;

/// After a change was called off, the next one is planned no sooner than this.
pub(super) const PLANNED_CHANGE_RETRY_MS: u64 = 1_000;

/// A former primary is asked to step down at most this often.
pub(super) const STEP_DOWN_RETRY_MS: u64 = 1_000;

/// An intent that wasn't seen committed is proposed again after this time.
pub(super) const INTENT_RETRY_MS: u64 = 1_000;
