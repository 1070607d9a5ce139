//! The calls on the admin address: how they are read, decided and answered.
//!
//! The controller's admin handler calls it. Everything here is pure: a decision follows from the
//! call and the applied state alone, so that it can be made again where a command is applied.
use crate::base::ids::Revision;
use crate::config::configuration::Configuration;
use crate::net::http::{Request, Response};
use crate::state_machine::{Command, CommandOutcome, StateMachine};
use serde_bytes::ByteBuf;

/// The longest name that is taken from outside, in bytes.
const MAX_NAME_BYTES: usize = 200;

/// A call whose answer depends on the current state.
#[derive(Clone, Debug, PartialEq)]
pub enum AdminCall {
    /// `GET /configuration`.
    ReadConfiguration,
    /// Any call that changes the state.
    Command(Command),
}

/// What becomes of a call.
#[derive(Clone, Debug, PartialEq)]
pub enum CallDecision {
    /// It is answered at once.
    Answer(Response),
    /// It has to go into the log; its outcome shows when the entry is applied.
    Propose(Command),
}

impl AdminCall {
    /// Decides a call by the applied state: a command that would change nothing, or would be
    /// refused, is answered without going into the log.
    pub fn decide(self, state_machine: &StateMachine) -> CallDecision {
        let outcome = match &self {
            Self::ReadConfiguration if state_machine.configuration_body().is_empty() => {
                return CallDecision::Answer(Response::error(404, "no configuration yet"));
            }
            Self::ReadConfiguration => {
                return CallDecision::Answer(Response::json(
                    200,
                    state_machine.configuration_body().to_vec(),
                ));
            }
            Self::Command(Command::PutConfiguration { base, revision, body }) => {
                state_machine.evaluate_configuration(*base, *revision, body)
            }
            Self::Command(Command::RemoveInstance { id, .. })
                if !state_machine.instances().contains_key(id) =>
            {
                CommandOutcome::NoChange
            }
            Self::Command(_) => CommandOutcome::Applied,
        };
        match self {
            Self::Command(command) if outcome == CommandOutcome::Applied => {
                CallDecision::Propose(command)
            }
            _ => CallDecision::Answer(outcome_response(&outcome)),
        }
    }
}

/// Whether a name from outside can be used: not empty, not too long, without white space or control
/// characters.
pub(crate) fn is_valid_name(text: &str) -> bool {
    !text.is_empty()
        && text.len() <= MAX_NAME_BYTES
        && !text.contains(|c: char| c.is_whitespace() || c.is_control())
}

/// The answer to a command with this outcome.
pub(crate) fn outcome_response(outcome: &CommandOutcome) -> Response {
    match outcome {
        CommandOutcome::Applied | CommandOutcome::NoChange => Response::ok(),
        CommandOutcome::StaleBase => Response::error(412, "another version is in place"),
        CommandOutcome::RevisionNotAbove => {
            Response::error(400, "revision is not above the current one")
        }
        // A 4xx would deny a configuration that may have been applied.
        CommandOutcome::HistoryExpired => {
            Response::error(503, "too old to know whether it was taken")
        }
    }
}

/// Reads a `PUT /configuration` as a command.
///
/// # Errors
/// The refusal to send: the header or the configuration can't be used.
pub(crate) fn read_configuration(request: &Request) -> Result<Command, Response> {
    let refuse = |why: &str| Err(Response::error(400, why));
    let base = match request.if_match.as_deref().map(str::parse) {
        Some(Ok(base)) => Revision(base),
        Some(Err(_)) => return refuse("If-Match is no number"),
        None => return refuse("If-Match is missing"),
    };
    match Configuration::read(&request.body) {
        Ok(config) => Ok(Command::PutConfiguration {
            base,
            revision: config.revision,
            body: ByteBuf::from(request.body.clone()),
        }),
        Err(error) => refuse(&error.to_string()),
    }
}
