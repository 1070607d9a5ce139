//! The timing of a graceful shutdown.

/// How long new clients may still be routed to a node after it started draining, in ms. The
/// platform probes readiness every second and requires two failures.
const READINESS_DETECTION_MS: u64 = 2_300;

/// How long before the end of its grace period the process exits, in ms, even with connected
/// clients.
const EXIT_MARGIN_MS: u64 = 300;

/// The progress of the grace period of a process that is shutting down.
#[derive(Clone, Copy, Debug)]
pub(crate) struct GracePeriod {
    /// The time since draining started, in ms.
    pub(crate) elapsed_ms: u64,
    /// The time that the platform grants the process to exit, in ms.
    pub(crate) grace_ms: u64,
}

impl GracePeriod {
    /// Whether new clients may still be routed to the node. Idle clients that it closes now might
    /// reconnect to it.
    pub(crate) fn may_receive_new_clients(self) -> bool {
        self.elapsed_ms < READINESS_DETECTION_MS.min(self.grace_ms / 3)
    }

    /// Whether more than half of the grace period has passed.
    pub(crate) fn is_half_over(self) -> bool {
        self.elapsed_ms > self.grace_ms / 2
    }

    /// Whether the process must exit now, even with connected clients.
    pub(crate) fn is_over(self) -> bool {
        self.elapsed_ms + EXIT_MARGIN_MS > self.grace_ms
    }
}
