//! The calls on the admin address, and what becomes of each.
use crate::base::ids::Revision;
use crate::config::configuration::Configuration;
use crate::net::http::{Request, Response};
use crate::state_machine::{Command, CommandOutcome, StateMachine};
use serde_bytes::ByteBuf;

/// A call whose answer tells what is current.
#[derive(Clone, Debug, PartialEq)]
pub enum AdminCall {
    ReadConfiguration,
    Command(Command),
}

/// What becomes of a call.
#[derive(Clone, Debug, PartialEq)]
pub enum CallDecision {
    Answer(Response),
    /// It has to go into the log; what it comes to shows when it is applied.
    Propose(Command),
}

impl AdminCall {
    pub fn judge(self, state_machine: &StateMachine) -> CallDecision {
        let effect = match &self {
            Self::ReadConfiguration if state_machine.configuration_body().is_empty() => {
                return CallDecision::Answer(Response::refusal(404, "no configuration yet"));
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
            Self::Command(change) if effect == CommandOutcome::Applied => {
                CallDecision::Propose(change)
            }
            _ => CallDecision::Answer(judged(&effect)),
        }
    }
}

pub(crate) fn is_word(text: &str) -> bool {
    !text.is_empty()
        && text.len() <= 200
        && !text.contains(|c: char| c.is_whitespace() || c.is_control())
}

pub(crate) fn judged(effect: &CommandOutcome) -> Response {
    match effect {
        CommandOutcome::Applied | CommandOutcome::NoChange => Response::ok(),
        CommandOutcome::StaleBase => Response::refusal(412, "another version is in place"),
        CommandOutcome::RevisionNotAbove => {
            Response::refusal(400, "revision is not above the current one")
        }
        // No clear answer: a 4xx would deny one that may have been taken.
        CommandOutcome::HistoryExpired => {
            Response::refusal(503, "too old to know whether it was taken")
        }
    }
}

pub(crate) fn read_configuration(request: &Request) -> Result<Command, Response> {
    let refuse = |why: &str| Err(Response::refusal(400, why));
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
