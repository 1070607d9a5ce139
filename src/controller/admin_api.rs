//! The admin API: parsing calls, deciding them and building the responses.
//!
//! The controller's admin handler calls this module. All functions are pure: a decision depends
//! only on the call and the applied state, so it can be repeated when a command is applied.
use crate::base::ids::Revision;
use crate::config::configuration::Configuration;
use crate::net::http::{Request, Response};
use crate::state_machine::{Command, CommandOutcome, StateMachine};
use serde_bytes::ByteBuf;

/// Maximum length of a name in a request, in bytes.
const MAX_NAME_BYTES: usize = 200;

/// A call whose response depends on the replicated state.
#[derive(Clone, Debug, PartialEq)]
pub enum AdminCall {
    /// `GET /configuration`.
    ReadConfiguration,
    /// Any call that changes the state.
    Command(Command),
}

/// The decision on a call.
#[derive(Clone, Debug, PartialEq)]
pub enum CallDecision {
    /// Send this response immediately.
    Answer(Response),
    /// Append this command to the Raft log. The outcome is known once the entry is applied.
    Propose(Command),
}

impl AdminCall {
    /// Decides a call on the applied state. A command that would change nothing or be refused is
    /// answered without a log entry.
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

/// Whether a name in a request is valid: neither empty nor too long, and without white space and
/// control characters.
pub(crate) fn is_valid_name(text: &str) -> bool {
    !text.is_empty()
        && text.len() <= MAX_NAME_BYTES
        && !text.contains(|c: char| c.is_whitespace() || c.is_control())
}

/// Returns the response to a command with this outcome.
pub(crate) fn outcome_response(outcome: &CommandOutcome) -> Response {
    match outcome {
        CommandOutcome::Applied | CommandOutcome::NoChange => Response::ok(),
        CommandOutcome::StaleBase => Response::error(412, "another version is in place"),
        CommandOutcome::RevisionNotAbove => {
            Response::error(400, "revision is not above the current one")
        }
        // Not a 4xx status, which would deny a configuration that may have been applied.
        CommandOutcome::HistoryExpired => {
            Response::error(503, "too old to know whether it was taken")
        }
    }
}

/// Parses a `PUT /configuration` request into a command.
///
/// # Errors
/// The response that refuses a request with an invalid header or configuration.
pub(crate) fn read_configuration(request: &Request) -> Result<Command, Response> {
    let refuse = |reason: &str| Err(Response::error(400, reason));
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
