//! What a failover asks the controller to do, and what comes back.

use crate::base::ids::{DbTerm, InstanceId, Term};
use crate::net::rpc::pooler_messages::Handover;
use crate::net::statement_protocol::ServerDescription;
use crate::state_machine::Command;

/// A request of the controller to a database.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DatabaseRequest {
    /// Describe yourself: role, term and the last position received.
    Describe,
    /// Receive no further commits from a primary of a term before this one.
    Pause(DbTerm),
    /// Receive commits again.
    Continue,
    /// Give up the primary role if you hold it in a term before this one.
    StepDown(DbTerm),
}

/// What came of a request to a database.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum DatabaseResponse {
    /// It described itself; a pause or a resumption has then been carried out.
    Description(ServerDescription),
    /// Its machine accepted the connection; the answer may follow.
    Connected,
    /// It answered, so it is alive, but without a description.
    NoDescription,
    /// The connection was refused or closed, or another database listens at that address.
    Unavailable,
    /// No answer came in time. The request may still be carried out.
    TimedOut,
    /// The leader that made the request did not lead any more when it would have left.
    NotSent,
}

/// What the platform answered to a call that promotes a database.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PromotionResponse {
    /// The platform promotes the database.
    Accepted,
    /// The named database is not running.
    NotRunning,
    /// The call certainly had no effect; it may be repeated.
    NotAttempted,
    /// The call may have had an effect.
    Unknown,
}

/// Identifies one attempt at a step, so that an answer to an earlier attempt isn't taken for an
/// answer to a later one. Requests to databases and calls to the platform carry it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Attempt {
    /// The term in which the leader that made the attempt was elected. It tells apart the times
    /// that one process led.
    pub raft_term: Term,
    /// Rises with each attempt of that leader for the service.
    pub number: u64,
}

/// Bits of a fencing token that number the attempts of one leader.
const ATTEMPT_BITS: u32 = 20;

impl Attempt {
    /// The fencing token for the platform. It rises with the leader's term and with each call of
    /// one leader, so that the platform recognizes a delayed call as older than one made since.
    pub fn fencing_token(self) -> u64 {
        (self.raft_term.0 << ATTEMPT_BITS) | self.number.min((1 << ATTEMPT_BITS) - 1)
    }
}

/// What the controller is to do. Requests and calls belong to the attempt that is under way when
/// the step ends (`Failover::attempt`).
#[derive(Clone, Debug, PartialEq)]
pub enum FailoverAction {
    /// Sends a request to a database; the answer goes to `Failover::handle_response`.
    SendRequest(InstanceId, DatabaseRequest),
    /// Calls the platform to promote a database; the answer goes to
    /// `Failover::handle_promotion_response`.
    Promote(InstanceId),
    /// Proposes a command to the replicated log.
    Propose(Command),
    /// Revokes all leases on this term of the service.
    RevokeLeases(DbTerm),
    /// Tells the poolers that the service is handed over.
    HandOver(Handover),
}
