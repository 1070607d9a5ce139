//! Which commits of a service may have been acknowledged to clients.
//!
//! Clients receive acknowledgements only through poolers, which forward those of the primary. A
//! promotion is therefore safe if the log of its target has every commit described here.
use crate::base::ids::Position;

/// What is known of the commits that poolers forwarded to clients.
///
/// Covers all commits that the next primary might lack: later ones are forwarded only after
/// their pooler has confirmed them at the target of a handover, or not at all, as its lease has
/// ended.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct AcknowledgedCommits {
    /// The furthest forwarded commit that a pooler reported; `None` if none reported any.
    pub reported: Option<Position>,
    /// What is known of the commits forwarded by poolers that didn't report.
    pub unreported: UnreportedCommits,
}

/// What is known of the commits forwarded by poolers that didn't report.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum UnreportedCommits {
    /// Any commit may have been forwarded, and more may follow.
    #[default]
    Unknown,
    /// No commit was forwarded.
    Nothing,
    /// No commit beyond this position was forwarded.
    UpTo(Position),
}

impl AcknowledgedCommits {
    /// Whether a database that received the log up to this position has every acknowledged commit.
    pub fn is_covered_by(&self, received: Position) -> bool {
        let unreported = match self.unreported {
            UnreportedCommits::Unknown => false,
            UnreportedCommits::Nothing => true,
            UnreportedCommits::UpTo(position) => received >= position,
        };
        unreported && !self.exceeds(received)
    }

    /// Whether a database that received the log up to this position certainly lacks an acknowledged
    /// commit.
    pub fn exceeds(&self, received: Position) -> bool {
        self.reported > Some(received)
    }
}
