//! The timing of a graceful shutdown.

/// The platform probes readiness each second and needs two failures, so new clients come for so
/// long after draining began, in ms.
const READINESS_NOTICED_MS: u64 = 2_300;

/// The process ends so long before the end of its grace period, in ms, whoever is still connected.
const EXIT_MARGIN_MS: u64 = 300;

/// How far the grace period of a process that is shutting down has passed.
#[derive(Clone, Copy, Debug)]
pub(crate) struct GracePeriod {
    /// The time since draining began, in ms.
    pub(crate) elapsed_ms: u64,
    /// The time that the platform gives the process to end, in ms.
    pub(crate) grace_ms: u64,
}

impl GracePeriod {
    /// Whether new clients may still be sent here: too early to close idle ones, which would only
    /// come back.
    pub(crate) fn clients_still_come(self) -> bool {
        self.elapsed_ms < READINESS_NOTICED_MS.min(self.grace_ms / 3)
    }

    /// Whether more than half of the grace period has passed.
    pub(crate) fn is_half_over(self) -> bool {
        self.elapsed_ms > self.grace_ms / 2
    }

    /// Whether the process has to end now, whoever is still connected.
    pub(crate) fn is_over(self) -> bool {
        self.elapsed_ms + EXIT_MARGIN_MS > self.grace_ms
    }
}
