//! The active configuration, and digests of the accepted ones by which retries are recognized.
use super::commands::CommandOutcome;
use super::validation::StateError;
use crate::base::ids::Revision;
use crate::config::configuration::Configuration;
use serde::{Deserialize, Serialize};
use serde_bytes::{ByteArray, ByteBuf};
use sha2::{Digest as _, Sha256};
use std::collections::BTreeMap;

/// The number of accepted configurations whose digests are retained. A digest takes about 40 bytes
/// of a snapshot.
const MAX_ACCEPTED_DIGESTS: usize = 4096;

/// The operator's configuration, with the digests needed to recognize a retry of an earlier one.
#[derive(Clone, Debug, Default, PartialEq)]
pub(super) struct ConfigurationHistory {
    /// The active configuration, unchanged as it was sent; empty before the first.
    pub(super) body: ByteBuf,
    /// The active revision; 0 before the first.
    pub(super) revision: Revision,
    /// Digests of the accepted configurations, to recognize retries.
    pub(super) accepted: BTreeMap<Revision, BodyDigest>,
}

impl ConfigurationHistory {
    /// The outcome that `Command::PutConfiguration` would have in the current state.
    pub(super) fn evaluate(
        &self,
        base: Revision,
        revision: Revision,
        body: &[u8],
    ) -> CommandOutcome {
        // A retry of an accepted configuration always succeeds, even if a newer one is in force.
        if self.accepted.get(&revision).is_some_and(|digest| digest.matches(body)) {
            CommandOutcome::NoChange
        } else if base != self.revision {
            match self.may_have_expired(revision) {
                true => CommandOutcome::HistoryExpired,
                false => CommandOutcome::StaleBase,
            }
        } else if revision <= self.revision {
            CommandOutcome::RevisionNotAbove
        } else {
            CommandOutcome::Applied
        }
    }

    /// Whether the revision may have been accepted and its digest discarded since.
    fn may_have_expired(&self, revision: Revision) -> bool {
        self.accepted.len() >= MAX_ACCEPTED_DIGESTS
            && self.accepted.first_key_value().is_some_and(|(oldest, _)| revision < *oldest)
    }

    /// Activates a configuration if [`Self::evaluate`] allows it.
    pub(super) fn put(
        &mut self,
        base: Revision,
        revision: Revision,
        body: &ByteBuf,
    ) -> CommandOutcome {
        let outcome = self.evaluate(base, revision, body);
        if outcome == CommandOutcome::Applied {
            self.accepted.insert(revision, BodyDigest::of(body));
            while self.accepted.len() > MAX_ACCEPTED_DIGESTS {
                self.accepted.pop_first();
            }
            self.revision = revision;
            self.body = body.clone();
        }
        outcome
    }

    /// The active configuration; `None` before the first.
    pub(super) fn configuration(&self) -> Result<Option<Configuration>, StateError> {
        if self.body.is_empty() {
            return Ok(None);
        }
        Configuration::read(&self.body)
            .map(Some)
            .map_err(|source| StateError::Configuration { revision: self.revision, source })
    }

    /// Whether the first layout of the stored state can represent all digests.
    pub(super) fn fits_first_layout(&self) -> bool {
        self.accepted.values().all(|digest| matches!(digest, BodyDigest::Fnv(..)))
    }
}

/// A digest of a configuration, to tell a retry from a different body with the same revision.
///
/// Part of the storage format: untagged, so the variants are distinguished by their shape.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(untagged)]
pub(super) enum BodyDigest {
    Sha256(ByteArray<32>),
    /// Length and 64-bit FNV-1a hash, from states written before SHA-256 was used. Stored digests
    /// of this kind are still compared; new ones are not created.
    Fnv(u64, u64),
}

impl BodyDigest {
    fn of(body: &[u8]) -> Self {
        Self::Sha256(ByteArray::new(Sha256::digest(body).into()))
    }

    fn matches(&self, body: &[u8]) -> bool {
        match self {
            Self::Sha256(_) => *self == Self::of(body),
            Self::Fnv(length, hash) => *length == body.len() as u64 && *hash == fnv_1a(body),
        }
    }
}

/// The 64-bit FNV-1a hash.
fn fnv_1a(bytes: &[u8]) -> u64 {
    const OFFSET_BASIS: u64 = 0xcbf2_9ce4_8422_2325;
    const PRIME: u64 = 0x0100_0000_01b3;
    bytes.iter().fold(OFFSET_BASIS, |hash, byte| (hash ^ u64::from(*byte)).wrapping_mul(PRIME))
}
