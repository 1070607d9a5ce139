//! The change of a service's primary, because it was lost or because it is planned.
//!
//! This module owns the decision when a database stops being the primary of its service and which
//! replica follows it. The leading controller keeps one [`Failover`] for each service and hands it
//! every event with a [`ServiceSnapshot`] and the time; it carries out the [`FailoverAction`]s that
//! come back. The module is pure: it knows no socket, thread or clock, and so the simulation and
//! the tests drive it the same way.
//!
//! It promises that whatever was acknowledged to a client is on the replica that is promoted, as
//! long as `sync_replicas` is at least one; and that all leaders promote the same target, since
//! the intent is committed to the replicated log first.
//!
//! A change goes through the states of [`FailoverState`]: the primary is suspected (`suspicion`),
//! its leases are revoked and the replicas paused (`fencing`, `resume`), one is chosen
//! (`selection`), promoted and recorded (`promotion`). A primary that still serves hands its service
//! over instead (`handover`). `departed` takes care of replicas that left with a part of the log.
//!
//! Before a replica is chosen, the poolers must have stopped to pass on commits of the old term that
//! this replica lacks, and it must have what they passed on until then. What a database or a
//! controller was found to do a moment ago is never enough for that.

mod actions;
mod departed;
mod fencing;
mod handover;
mod promotion;
mod resume;
mod selection;
mod snapshot;
mod state;
mod suspicion;
mod timing;

pub use actions::{Attempt, DatabaseRequest, DatabaseResponse, FailoverAction, PromotionResponse};
pub use fencing::Fencing;
pub use handover::{HandoverProgress, PlannedCause};
pub use promotion::Promotion;
pub use snapshot::ServiceSnapshot;
pub use state::{Failover, FailoverState, LeaseStatus};
