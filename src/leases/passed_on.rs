//! How far commits of a service may have been passed on to clients. A promotion rests on this and on
//! the log of its target alone: only through poolers does a client hear of a commit.
use crate::base::ids::Position;

/// What is known of the commits that poolers passed on to clients, up to the moment from which they
/// pass on none that the next primary might lack: their leases are over, or they confirm each
/// commit at the target of a handover.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PassedOn {
    /// The furthest commit that a pooler reported; none if none reported any.
    pub reported: Option<Position>,
    /// What is known of the poolers that reported nothing.
    pub unreported: UnreportedCommits,
}

/// What is known of the commits passed on by poolers that reported nothing.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum UnreportedCommits {
    /// They may have passed on any commit, and may still do so.
    #[default]
    Unknown,
    /// They passed on none.
    Nothing,
    /// They passed on none beyond this position.
    UpTo(Position),
}

impl PassedOn {
    /// Whether a database that received this position certainly has every commit that was passed on.
    pub fn is_covered_by(&self, received: Position) -> bool {
        let unreported = match self.unreported {
            UnreportedCommits::Unknown => false,
            UnreportedCommits::Nothing => true,
            UnreportedCommits::UpTo(position) => received >= position,
        };
        unreported && !self.exceeds(received)
    }

    /// Whether a database that received this position certainly lacks a commit that was passed on.
    pub fn exceeds(&self, received: Position) -> bool {
        self.reported > Some(received)
    }
}
