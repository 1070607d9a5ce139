//! Encoding and decoding of the replicated state in snapshots.
//!
//! A snapshot is an `rmp-serde` array of the fields of [`StoredState`] in order. A state that the
//! first layout can't represent is preceded by the byte [`STATE_LAYOUT`].
use super::StateMachine;
use super::configuration_history::{BodyDigest, ConfigurationHistory};
use super::directory::{InstanceDirectory, InstanceRecord};
use super::primaries::{DepartedReplicas, Primaries, PrimaryRecord};
use crate::base::ids::{InstanceId, Revision, ServiceName};
use crate::net::rpc::{pack, unpack};
use serde::{Deserialize, Serialize, Serializer};
use serde_bytes::ByteBuf;
use std::borrow::Cow;
use std::collections::{BTreeMap, VecDeque};

/// The number of the layout for states with SHA-256 digests or departed replicas, which the first
/// layout can't represent. Stored as a byte in front of such a state.
pub(crate) const STATE_LAYOUT: u8 = 2;

/// The fields of a stored state. Their order and number are part of the storage format.
#[derive(Serialize, Deserialize)]
struct StoredState<'a> {
    body: Cow<'a, ByteBuf>,
    revision: Revision,
    accepted: Cow<'a, BTreeMap<Revision, BodyDigest>>,
    instances: Cow<'a, BTreeMap<InstanceId, InstanceRecord>>,
    removed: Cow<'a, VecDeque<(InstanceId, u64)>>,
    primaries: Cow<'a, BTreeMap<ServiceName, PrimaryRecord>>,
    #[serde(default, skip_serializing_if = "no_departed_replicas")]
    departed: Cow<'a, BTreeMap<ServiceName, BTreeMap<InstanceId, u64>>>,
}

#[allow(clippy::ptr_arg, reason = "serde passes a reference to the field, which is a Cow")]
fn no_departed_replicas(
    departed: &Cow<'_, BTreeMap<ServiceName, BTreeMap<InstanceId, u64>>>,
) -> bool {
    departed.is_empty()
}

impl Serialize for StateMachine {
    /// Serializes the stored fields, without the layout byte.
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        let stored = StoredState {
            body: Cow::Borrowed(&self.configuration.body),
            revision: self.configuration.revision,
            accepted: Cow::Borrowed(&self.configuration.accepted),
            instances: Cow::Borrowed(self.directory.instances()),
            removed: Cow::Borrowed(self.directory.removed()),
            primaries: Cow::Borrowed(&self.primaries.by_service),
            departed: Cow::Borrowed(&self.departed.by_service),
        };
        stored.serialize(serializer)
    }
}

impl StateMachine {
    /// Decodes the state of a snapshot in either layout.
    ///
    /// # Errors
    /// The bytes are not a state in a layout that this version supports.
    pub fn from_snapshot(bytes: &[u8]) -> std::io::Result<Self> {
        let fields = bytes.strip_prefix(&[STATE_LAYOUT]).unwrap_or(bytes);
        let stored: StoredState<'static> = unpack(fields)?;
        Ok(Self {
            configuration: ConfigurationHistory {
                body: stored.body.into_owned(),
                revision: stored.revision,
                accepted: stored.accepted.into_owned(),
            },
            directory: InstanceDirectory::from_stored(
                stored.instances.into_owned(),
                stored.removed.into_owned(),
            ),
            primaries: Primaries { by_service: stored.primaries.into_owned() },
            departed: DepartedReplicas { by_service: stored.departed.into_owned() },
        })
    }

    /// Encodes the state for a snapshot, in the first layout if that can represent it, so that
    /// older versions can read it.
    pub fn to_snapshot(&self) -> Vec<u8> {
        let first_layout = self.departed.is_empty() && self.configuration.fits_first_layout();
        let prefix: &[u8] = if first_layout { &[] } else { &[STATE_LAYOUT] };
        [prefix, &pack(self)].concat()
    }
}
