//! The calls on the admin address, and what becomes of each.
use crate::base::ids::Revision;
use crate::config::configuration::Configuration;
use crate::net::http::{Request, Response};
use crate::state_machine::{Almanac, Change, Effect};
use serde_bytes::ByteBuf;

/// A call whose answer tells what is current.
#[derive(Clone, Debug, PartialEq)]
pub enum Call {
    ReadConfiguration,
    Change(Change),
}

/// What becomes of a call.
#[derive(Clone, Debug, PartialEq)]
pub enum Verdict {
    Answer(Response),
    /// It has to go into the log; what it comes to shows when it is applied.
    Propose(Change),
}

impl Call {
    pub fn judge(self, almanac: &Almanac) -> Verdict {
        let effect = match &self {
            Self::ReadConfiguration if almanac.body.is_empty() => {
                return Verdict::Answer(Response::refusal(404, "no configuration yet"));
            }
            Self::ReadConfiguration => {
                return Verdict::Answer(Response::json(200, almanac.body.to_vec()));
            }
            Self::Change(Change::Configure { base, revision, body }) => {
                almanac.judge(*base, *revision, body)
            }
            Self::Change(Change::Gone { id, .. }) if !almanac.instances.contains_key(id) => {
                Effect::Nothing
            }
            Self::Change(_) => Effect::Done,
        };
        match self {
            Self::Change(change) if effect == Effect::Done => Verdict::Propose(change),
            _ => Verdict::Answer(judged(&effect)),
        }
    }
}

pub(crate) fn is_word(text: &str) -> bool {
    !text.is_empty()
        && text.len() <= 200
        && !text.contains(|c: char| c.is_whitespace() || c.is_control())
}

pub(crate) fn judged(effect: &Effect) -> Response {
    match effect {
        Effect::Done | Effect::Nothing => Response::ok(),
        Effect::Outdated => Response::refusal(412, "another version is in place"),
        Effect::NotAbove => Response::refusal(400, "revision is not above the current one"),
        // No clear answer: a 4xx would deny one that may have been taken.
        Effect::Forgotten => Response::refusal(503, "too old to know whether it was taken"),
    }
}

pub(crate) fn read_configuration(request: &Request) -> Result<Change, Response> {
    let refuse = |why: &str| Err(Response::refusal(400, why));
    let base = match request.if_match.as_deref().map(str::parse) {
        Some(Ok(base)) => Revision(base),
        Some(Err(_)) => return refuse("If-Match is no number"),
        None => return refuse("If-Match is missing"),
    };
    match Configuration::read(&request.body) {
        Ok(config) => Ok(Change::Configure {
            base,
            revision: config.revision,
            body: ByteBuf::from(request.body.clone()),
        }),
        Err(why) => refuse(&why),
    }
}
