//! The requests of a failover that the controller carries out, and the responses to them.

use crate::base::ids::{DbTerm, InstanceId, Term};
use crate::net::rpc::pooler_messages::Handover;
use crate::net::statement_protocol::ServerDescription;
use crate::state_machine::Command;

/// A request of the controller to a database.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DatabaseRequest {
    /// Asks the database for its role, its term and the last position that it received.
    Describe,
    /// Asks a replica to receive no further commits from a primary of a term before this one.
    Pause(DbTerm),
    /// Asks a paused replica to receive commits again.
    Continue,
    /// Asks the database to give up the primary role if it holds it in a term before this one.
    StepDown(DbTerm),
}

/// The outcome of a request to a database.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum DatabaseResponse {
    /// The database described itself, which also confirms that a pause or resumption was carried
    /// out.
    Description(ServerDescription),
    /// The database's machine accepted the connection; a further response may follow.
    Connected,
    /// The database responded without a description: it is running.
    NoDescription,
    /// The connection was refused: nothing listens at the database's address.
    ConnectionRefused,
    /// Another database responded at this address.
    AddressReassigned,
    /// The connection could not be established for another reason, or it ended or broke after it
    /// was accepted. The database may be running, and may still carry out the request.
    ConnectionFailed,
    /// No response arrived in time. The request may still be carried out.
    TimedOut,
    /// The request was dropped, because the controller no longer led when it was to be sent.
    NotSent,
}

impl DatabaseResponse {
    /// Whether the response shows that the database's process has stopped.
    pub fn shows_stopped_process(&self) -> bool {
        matches!(self, Self::ConnectionRefused | Self::AddressReassigned)
    }

    /// Whether the request may still be carried out although no response to it arrived.
    pub(super) fn leaves_request_open(&self) -> bool {
        matches!(self, Self::Connected | Self::TimedOut | Self::ConnectionFailed)
    }
}

/// The platform's response to a call that promotes a database.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PromotionResponse {
    /// The platform has started to promote the database.
    Accepted,
    /// The named database is not running.
    NotRunning,
    /// The call certainly had no effect; it may be repeated.
    NotAttempted,
    /// The call may have had an effect.
    Unknown,
}

/// Identifies one attempt at a step of the failover, so that a response to an earlier attempt is
/// not mistaken for one to a later attempt. Requests to databases and calls to the platform carry
/// it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Attempt {
    /// The Raft term in which the leader that made the attempt was elected. It also distinguishes
    /// successive leaderships of the same process.
    pub raft_term: Term,
    /// The number of the attempt; it rises with each attempt of that leader for the service.
    pub number: u64,
}

/// Number of low bits of a fencing token that hold the attempt number; the Raft term is above.
const ATTEMPT_BITS: u32 = 20;

impl Attempt {
    /// The fencing token for the platform. It rises with the leader's term and with each promotion
    /// call of one leader, so that the platform recognizes a delayed call that was made before a
    /// later one.
    pub fn fencing_token(self) -> u64 {
        (self.raft_term.0 << ATTEMPT_BITS) | self.number.min((1 << ATTEMPT_BITS) - 1)
    }
}

/// An action that the controller carries out for a failover. Requests and calls belong to the
/// attempt that is current when the step ends (`Failover::attempt`).
#[derive(Clone, Debug, PartialEq)]
pub enum FailoverAction {
    /// Sends a request to a database; the response goes to `Failover::handle_response`.
    SendRequest(InstanceId, DatabaseRequest),
    /// Calls the platform to promote a database; the response goes to
    /// `Failover::handle_promotion_response`.
    Promote(InstanceId),
    /// Proposes a command to the replicated log.
    Propose(Command),
    /// Revokes all leases on the service in this term.
    RevokeLeases(DbTerm),
    /// Announces a handover of the service to the poolers.
    HandOver(Handover),
}
