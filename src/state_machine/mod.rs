//! The replicated state machine: the operator's configuration, the directory of databases, the
//! primaries of the services, and the commands that change them.
//!
//! Every controller applies the committed log entries to its [`StateMachine`] in log order, so the
//! same entries produce the same state everywhere. Only the controller changes it. The code here
//! does no I/O and doesn't read the clock.
mod commands;
mod configuration_history;
mod directory;
mod primaries;
mod snapshot_codec;
mod validation;

pub use commands::{Command, CommandOutcome};
pub use directory::InstanceRecord;
pub use primaries::PrimaryRecord;
pub(crate) use snapshot_codec::STATE_LAYOUT;
pub use validation::{StateError, decode_persistent_state, validate_message};
pub(crate) use validation::{decode_command, decode_snapshot};

use crate::base::ids::{DbTerm, InstanceId, Revision, ServiceName};
use crate::config::configuration::Configuration;
use crate::config::directory::Instance;
use configuration_history::ConfigurationHistory;
use directory::InstanceDirectory;
use primaries::{DepartedReplicas, Primaries};
use serde_bytes::ByteBuf;
use std::collections::BTreeMap;

/// The state that the controllers replicate through the Raft log.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct StateMachine {
    configuration: ConfigurationHistory,
    directory: InstanceDirectory,
    primaries: Primaries,
    departed: DepartedReplicas,
}

impl StateMachine {
    /// Applies a committed command.
    pub fn apply(&mut self, command: &Command) -> CommandOutcome {
        match command {
            Command::PutConfiguration { base, revision, body } => {
                self.configuration.put(*base, *revision, body)
            }
            Command::Heartbeat { id, instance, sequence } => {
                self.apply_heartbeat(id, instance, *sequence)
            }
            Command::RemoveInstance { id, sequence } => self.remove_instance(id, *sequence),
            Command::SetPrimary { service, term, primary } => {
                self.primaries.set(service, *term, primary)
            }
            Command::BeginFailover { service, term, target } => {
                self.primaries.begin_failover(service, *term, target)
            }
            Command::AbandonFailover { service, target } => {
                self.primaries.abandon_failover(service, target)
            }
            Command::ForgetDeparted { service, departed } => {
                self.departed.forget(service, departed)
            }
            Command::PrimaryReturned { service, term, primary } => {
                self.replace_primary_id(service, *term, primary)
            }
        }
    }

    fn apply_heartbeat(
        &mut self,
        id: &InstanceId,
        instance: &Instance,
        sequence: u64,
    ) -> CommandOutcome {
        if !self.accepts_heartbeat(id, instance, sequence) {
            return CommandOutcome::NoChange;
        }
        // The log of a departed replica is available again once the replica is registered again.
        self.departed.remove(&instance.target_service, id);
        self.directory.insert(id, instance, sequence);
        CommandOutcome::Applied
    }

    fn remove_instance(&mut self, id: &InstanceId, sequence: u64) -> CommandOutcome {
        let Some(record) = self.directory.remove(id) else {
            return CommandOutcome::NoChange;
        };
        let last_sequence = record.sequence.max(sequence);
        self.directory.remember_removed(id, last_sequence);
        let service = record.instance.target_service;
        // A service that never had a primary has no acknowledged commits that could be lost.
        if self.primaries.by_service.contains_key(&service) {
            self.departed.insert(service, id, last_sequence);
        }
        CommandOutcome::Applied
    }

    fn replace_primary_id(
        &mut self,
        service: &ServiceName,
        term: DbTerm,
        primary: &InstanceId,
    ) -> CommandOutcome {
        let Some(old) = self.primaries.replace_primary_id(service, term, primary) else {
            return CommandOutcome::NoChange;
        };
        // The old id stands for the same log, not for another replica, and is never used again.
        self.directory.remove(&old);
        self.directory.remember_removed(&old, u64::MAX);
        self.departed.remove(service, &old);
        CommandOutcome::Applied
    }

    /// The outcome that `Command::PutConfiguration` would have in the current state.
    pub fn evaluate_configuration(
        &self,
        base: Revision,
        revision: Revision,
        body: &[u8],
    ) -> CommandOutcome {
        self.configuration.evaluate(base, revision, body)
    }

    /// Whether a heartbeat changes the directory and therefore has to be recorded.
    pub fn accepts_heartbeat(&self, id: &InstanceId, instance: &Instance, sequence: u64) -> bool {
        self.directory.accepts(id, instance, sequence)
    }

    /// Whether a configuration or a database has been recorded. Until then, the controller that
    /// bootstraps the Raft group waits for enough other controllers; afterwards there may be fewer
    /// for a short time, while one is replaced.
    pub fn is_initialized(&self) -> bool {
        !self.configuration.body.is_empty() || !self.directory.instances().is_empty()
    }

    /// The active configuration; `None` before the first.
    ///
    /// # Errors
    /// The active configuration is invalid for this version.
    pub fn configuration(&self) -> Result<Option<Configuration>, StateError> {
        self.configuration.configuration()
    }

    /// The active configuration, unchanged as the operator sent it; empty before the first.
    pub fn configuration_body(&self) -> &ByteBuf {
        &self.configuration.body
    }

    /// The revision of the active configuration; 0 before the first.
    pub fn revision(&self) -> Revision {
        self.configuration.revision
    }

    /// The registered databases.
    pub fn instances(&self) -> &BTreeMap<InstanceId, InstanceRecord> {
        self.directory.instances()
    }

    /// The registered databases of a service.
    pub(crate) fn instances_of(
        &self,
        service: &ServiceName,
    ) -> impl Iterator<Item = (&InstanceId, &Instance)> {
        self.directory.of_service(service)
    }

    /// The services that have at least one registered database.
    pub(crate) fn services_with_instances(&self) -> impl Iterator<Item = &ServiceName> {
        self.directory.services()
    }

    /// The current or last primary of each service that ever had one.
    pub fn primaries(&self) -> &BTreeMap<ServiceName, PrimaryRecord> {
        &self.primaries.by_service
    }

    /// The departed replicas of a service, which may hold commits that no registered replica has,
    /// each with its last heartbeat sequence number. Excludes the primary, whose log is known to be
    /// missing.
    pub fn departed_replicas(&self, service: &ServiceName) -> BTreeMap<InstanceId, u64> {
        let mut departed = self.departed.of_service(service);
        if let Some(record) = self.primaries.by_service.get(service) {
            departed.remove(&record.primary);
        }
        departed
    }
}
