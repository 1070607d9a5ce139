//! Replaces the primary database of a service: by a failover after the primary was lost, or by a
//! planned handover while it still serves.
//!
//! This module decides when a database stops being the primary of its service and which replica
//! is promoted in its place. The leading controller keeps one [`Failover`] for each service. It
//! passes in every event together with a [`ServiceSnapshot`] and the time, and carries out the
//! [`FailoverAction`]s that are returned. The module is a pure state machine without sockets,
//! threads or clocks, so the simulation and the tests drive it exactly as the controller does.
//!
//! Guarantees:
//!
//! - As long as `sync_replicas` is at least one, the promoted replica has every commit that was
//!   acknowledged to a client.
//! - All leaders promote the same target, because the intent to promote it is committed to the
//!   replicated log first.
//!
//! The states are those of [`FailoverState`]. The primary is suspected (`suspicion`), its leases
//! are revoked and the replicas paused (`fencing`, `resume`), a replica is chosen (`selection`),
//! promoted and recorded as the primary (`promotion`). A primary that still serves hands its
//! service over instead (`handover`). `departed` tracks departed replicas, which have left the
//! directory and may hold the only copy of a commit.
//!
//! A pooler *forwards* a commit when it sends the primary's acknowledgement on to the client.
//! Before a replica is chosen, the poolers must have stopped forwarding commits of the old term
//! that this replica lacks, and the replica must have every commit that they forwarded before. An
//! earlier observation of a database or a controller never proves that.

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
pub use handover::{HandoverCause, HandoverProgress};
pub use promotion::Promotion;
pub use snapshot::ServiceSnapshot;
pub use state::{Failover, FailoverState, LeaseStatus};
