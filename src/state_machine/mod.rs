//! The replicated state machine: configuration, directory, primaries, and the commands that change them.
use crate::base::errors::Fatal;
use crate::base::ids::{DbTerm, InstanceId, LogIndex, Revision, ServiceName};
use crate::config::configuration::Configuration;
use crate::config::directory::Instance;
use crate::net::rpc::raft_messages::{EntryPayload, LogEntry, RaftMessageKind, Snapshot};
use crate::net::rpc::{pack, unpack};
use crate::raft::state::PersistentState;
use serde::{Deserialize, Serialize};
use serde_bytes::{ByteArray, ByteBuf};
use sha2::{Digest as _, Sha256};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// Everything the controllers agree on.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct StateMachine {
    /// The newest configuration, byte for byte as it was sent.
    pub body: ByteBuf,
    pub revision: Revision,
    /// The digest of each configuration ever taken, so that a resend is known again.
    taken: BTreeMap<Revision, Digest>,
    pub instances: BTreeMap<InstanceId, InstanceRecord>,
    /// The same by service; made anew when a state is read.
    #[serde(skip)]
    pub(crate) by_service: BTreeMap<ServiceName, BTreeSet<InstanceId>>,
    /// Databases that left, with their last sequence: a late heartbeat must not bring them back.
    gone: VecDeque<(InstanceId, u64)>,
    pub leads: BTreeMap<ServiceName, PrimaryRecord>,
    /// The same as `gone` by id; made anew when a state is read.
    #[serde(skip)]
    gone_by_id: BTreeMap<InstanceId, u64>,
    /// Databases that left and took a log along that may hold what no listed one has, each with
    /// its last sequence. They count like such that don't answer, until others have it all.
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    departed: BTreeMap<ServiceName, BTreeMap<InstanceId, u64>>,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct InstanceRecord {
    pub instance: Instance,
    pub sequence: u64,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PrimaryRecord {
    pub term: DbTerm,
    pub primary: InstanceId,
    /// Decided but perhaps not yet done; nothing else may be decided before it is settled.
    pub intent: Option<InstanceId>,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Command {
    #[serde(rename = "Configure")]
    PutConfiguration { base: Revision, revision: Revision, body: ByteBuf },
    #[serde(rename = "Beat")]
    Heartbeat { id: InstanceId, instance: Instance, sequence: u64 },
    /// Beats up to `sequence` must not bring it back.
    #[serde(rename = "Gone")]
    RemoveInstance { id: InstanceId, sequence: u64 },
    #[serde(rename = "Led")]
    SetPrimary { service: ServiceName, term: DbTerm, primary: InstanceId },
    #[serde(rename = "Intend")]
    BeginFailover { service: ServiceName, term: DbTerm, target: InstanceId },
    #[serde(rename = "Abandon")]
    AbandonFailover { service: ServiceName, target: InstanceId },
    /// Enough listed replicas have all that was acknowledged before these left.
    #[serde(rename = "Covered")]
    ForgetDeparted { service: ServiceName, departed: BTreeMap<InstanceId, u64> },
    /// The primary of this term crashed and came back with its log under another id.
    #[serde(rename = "Returned")]
    PrimaryReturned { service: ServiceName, term: DbTerm, primary: InstanceId },
}

/// What became of a change.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CommandOutcome {
    Applied,
    NoChange,
    /// Another version is current.
    StaleBase,
    /// Its revision is not above the current one.
    RevisionNotAbove,
    /// So old that it is no longer known whether it was taken.
    HistoryExpired,
}

/// What an entry's change says, if this program can read all of it.
pub(crate) fn read_change(index: LogIndex, bytes: &[u8]) -> Result<Command, String> {
    let unreadable = |e: String| format!("entry {index} can't be read: {e}");
    let change = unpack::<Command>(bytes).map_err(|e| unreadable(e.to_string()))?;
    if let Command::PutConfiguration { body, .. } = &change {
        Configuration::read(body).map_err(unreadable)?;
    }
    Ok(change)
}

/// The state that a snapshot holds; the empty one at the beginning of all logs.
pub(crate) fn read_state(snapshot: &Snapshot) -> Result<StateMachine, String> {
    if snapshot.state.is_empty() && snapshot.last_included.index == LogIndex(0) {
        return Ok(StateMachine::default());
    }
    let unreadable =
        |e| format!("the snapshot at entry {} can't be read: {e}", snapshot.last_included.index);
    let state_machine =
        StateMachine::read(&snapshot.state).map_err(|e| unreadable(e.to_string()))?;
    state_machine.configuration().map_err(unreadable)?;
    Ok(state_machine)
}

fn read_entries(entries: &[LogEntry]) -> Result<(), String> {
    entries.iter().try_for_each(|entry| match &entry.payload {
        EntryPayload::Command(bytes) => read_change(entry.index, bytes).map(drop),
        _ => Ok(()),
    })
}

/// The controller's `Vet`: what it could not apply is not taken.
pub fn readable(kind: &RaftMessageKind) -> Result<(), String> {
    match kind {
        RaftMessageKind::AppendEntries { entries, .. } => read_entries(entries),
        RaftMessageKind::InstallSnapshot { snapshot, .. } => read_state(snapshot).map(drop),
        _ => Ok(()),
    }
}

/// The state of what is on disk, if this program can read all of it.
pub fn read_kept(kept: &PersistentState) -> Result<StateMachine, Fatal> {
    let left = |why| Fatal::State(format!("left as it is: {why}"));
    read_entries(&kept.log).map_err(left)?;
    read_state(&kept.snapshot).map_err(left)
}

/// More than leave while a heartbeat can be under way; a full list takes about 90 KB of a snapshot.
const GONE_KEPT: usize = 4096;

/// Of one service. As many as there are synchronous replicas bar every choice already.
const DEPARTED_KEPT: usize = 64;

const TAKEN_KEPT: usize = 4096;

/// Tells a resend from another body under the same revision.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(untagged)]
enum Digest {
    Sha256(ByteArray<32>),
    /// Length and 64 bits of FNV-1a, from states written before there was the other. A body is
    /// compared in the kind that was kept of it, and nothing is kept in this kind any more.
    Fnv(u64, u64),
}

impl Digest {
    fn of(body: &[u8]) -> Self {
        Self::Sha256(ByteArray::new(Sha256::digest(body).into()))
    }
    fn is_of(&self, body: &[u8]) -> bool {
        match self {
            Self::Sha256(_) => *self == Self::of(body),
            Self::Fnv(length, hash) => {
                let step = |h: u64, b: &u8| (h ^ u64::from(*b)).wrapping_mul(0x0100_0000_01b3);
                *length == body.len() as u64
                    && *hash == body.iter().fold(0xcbf2_9ce4_8422_2325u64, step)
            }
        }
    }
}

/// The layout of a state with digests of orders, or departed databases, that the first one does not
/// know. Stands in front of it.
pub(crate) const STATE_LAYOUT: u8 = 2;

impl StateMachine {
    /// The state that a snapshot holds.
    pub fn read(bytes: &[u8]) -> std::io::Result<Self> {
        let mut state_machine: Self = unpack(bytes.strip_prefix(&[STATE_LAYOUT]).unwrap_or(bytes))?;
        for (id, record) in &state_machine.instances {
            let service = record.instance.target_service.clone();
            state_machine.by_service.entry(service).or_default().insert(id.clone());
        }
        // Files of older programs may name one twice; the newest counts.
        state_machine.gone_by_id = state_machine.gone.iter().cloned().collect();
        Ok(state_machine)
    }
    /// The bytes of a snapshot. As long as there is nothing in it that the first layout has no place
    /// for, they are of that one, so that an older program can go on with them.
    pub fn write(&self) -> Vec<u8> {
        let old = |digest: &Digest| matches!(digest, Digest::Fnv(..));
        let first = self.departed.is_empty() && self.taken.values().all(old);
        let prefix: &[u8] = if first { &[] } else { &[STATE_LAYOUT] };
        [prefix, &pack(self)].concat()
    }
    /// Whether anything was taken yet. Whoever founds a Raft group has to wait for enough controllers
    /// before; afterwards there may be fewer for a moment, while one is exchanged.
    pub fn begun(&self) -> bool {
        !self.body.is_empty() || !self.instances.is_empty()
    }
    /// The configuration in force. One that this program can't read is not the same as none.
    pub fn configuration(&self) -> Result<Option<Configuration>, String> {
        if self.body.is_empty() {
            return Ok(None);
        }
        let unreadable = |e| format!("configuration {} can't be read: {e}", self.revision);
        Configuration::read(&self.body).map(Some).map_err(unreadable)
    }
    fn unlist(&mut self, id: &InstanceId) -> Option<InstanceRecord> {
        let record = self.instances.remove(id)?;
        let service = &record.instance.target_service;
        if let Some(ids) = self.by_service.get_mut(service) {
            ids.remove(id);
            if ids.is_empty() {
                self.by_service.remove(service);
            }
        }
        Some(record)
    }
    fn remember_gone(&mut self, id: &InstanceId, last: u64) {
        if self.gone_by_id.insert(id.clone(), last).is_some() {
            self.gone.retain(|(old, _)| old != id);
        }
        self.gone.push_back((id.clone(), last));
        if self.gone.len() > GONE_KEPT
            && let Some((oldest, _)) = self.gone.pop_front()
        {
            self.gone_by_id.remove(&oldest);
        }
    }
    /// What `Configure` would come to now.
    pub fn judge(&self, base: Revision, revision: Revision, body: &[u8]) -> CommandOutcome {
        // What was taken is acknowledged for ever, also with newer ones in force.
        if self.taken.get(&revision).is_some_and(|d| d.is_of(body)) {
            CommandOutcome::NoChange
        } else if base != self.revision {
            let oldest = self.taken.first_key_value().filter(|_| self.taken.len() >= TAKEN_KEPT);
            // Of those below the oldest that is kept any may have been taken.
            match oldest.is_some_and(|(oldest, _)| revision < *oldest) {
                true => CommandOutcome::HistoryExpired,
                false => CommandOutcome::StaleBase,
            }
        } else if revision <= self.revision {
            CommandOutcome::RevisionNotAbove
        } else {
            CommandOutcome::Applied
        }
    }
    /// Whether a heartbeat tells anything that must be kept.
    pub fn news(&self, id: &InstanceId, instance: &Instance, sequence: u64) -> bool {
        if self.gone_by_id.get(id).is_some_and(|last| sequence <= *last) {
            return false;
        }
        match self.instances.get(id) {
            Some(record) => sequence > record.sequence && record.instance != *instance,
            None => true,
        }
    }
    pub fn apply(&mut self, change: &Command) -> CommandOutcome {
        match change {
            Command::PutConfiguration { base, revision, body } => {
                let effect = self.judge(*base, *revision, body);
                if effect == CommandOutcome::Applied {
                    self.taken.insert(*revision, Digest::of(body));
                    while self.taken.len() > TAKEN_KEPT {
                        self.taken.pop_first();
                    }
                    self.revision = *revision;
                    self.body = body.clone();
                }
                return effect;
            }
            Command::Heartbeat { id, instance, sequence } => {
                if !self.news(id, instance, *sequence) {
                    return CommandOutcome::NoChange;
                }
                self.unlist(id);
                let service = instance.target_service.clone();
                // Back with its log.
                if let Some(departed) = self.departed.get_mut(&service) {
                    departed.remove(id);
                }
                self.by_service.entry(service).or_default().insert(id.clone());
                let record = InstanceRecord { instance: instance.clone(), sequence: *sequence };
                self.instances.insert(id.clone(), record);
            }
            Command::RemoveInstance { id, sequence } => {
                let Some(record) = self.unlist(id) else {
                    return CommandOutcome::NoChange;
                };
                let last = record.sequence.max(*sequence);
                self.remember_gone(id, last);
                let service = record.instance.target_service;
                // Nothing is acknowledged before a service has a lead.
                if self.leads.contains_key(&service) {
                    let departed = self.departed.entry(service).or_default();
                    departed.insert(id.clone(), last);
                    if departed.len() > DEPARTED_KEPT {
                        departed.pop_first();
                    }
                }
            }
            Command::SetPrimary { service, term, primary } => {
                if self.leads.get(service).is_some_and(|l| l.term >= *term) {
                    return CommandOutcome::NoChange;
                }
                let lead = PrimaryRecord { term: *term, primary: primary.clone(), intent: None };
                self.leads.insert(service.clone(), lead);
            }
            Command::BeginFailover { service, term, target } => match self.leads.get_mut(service) {
                Some(lead) if lead.term == *term && lead.intent.is_none() => {
                    lead.intent = Some(target.clone());
                }
                _ => return CommandOutcome::NoChange,
            },
            Command::AbandonFailover { service, target } => match self.leads.get_mut(service) {
                Some(lead) if lead.intent.as_ref() == Some(target) => lead.intent = None,
                _ => return CommandOutcome::NoChange,
            },
            Command::ForgetDeparted { service, departed } => {
                let Some(left) = self.departed.get_mut(service) else {
                    return CommandOutcome::NoChange;
                };
                // One that was back in between has left with more.
                left.retain(|id, last| departed.get(id) != Some(last));
                if left.is_empty() {
                    self.departed.remove(service);
                }
            }
            Command::PrimaryReturned { service, term, primary } => {
                match self.leads.get_mut(service) {
                    Some(lead) if lead.term == *term && lead.intent.is_none() => {
                        // The old id is no other copy, and is never used again.
                        let old = std::mem::replace(&mut lead.primary, primary.clone());
                        self.unlist(&old);
                        self.remember_gone(&old, u64::MAX);
                        if let Some(departed) = self.departed.get_mut(service) {
                            departed.remove(&old);
                        }
                    }
                    _ => return CommandOutcome::NoChange,
                }
            }
        }
        CommandOutcome::Applied
    }
    /// Those of a service that left with a log that may be missing; the primary's is known to be.
    pub fn departed(&self, service: &ServiceName) -> BTreeMap<InstanceId, u64> {
        let mut departed = self.departed.get(service).cloned().unwrap_or_default();
        if let Some(lead) = self.leads.get(service) {
            departed.remove(&lead.primary);
        }
        departed
    }
    pub(crate) fn of_service(
        &self,
        service: &ServiceName,
    ) -> impl Iterator<Item = (&InstanceId, &Instance)> {
        let ids = self.by_service.get(service).into_iter().flatten();
        ids.filter_map(|id| self.instances.get_key_value(id)).map(|(id, r)| (id, &r.instance))
    }
}
