//! Applies committed log entries to the state machine and reacts to their changes. An entry that
//! can't be decoded stops the controller, which must not continue with stale state.
use crate::base::ids::{InstanceId, Revision};
use crate::base::time::Tick;
use crate::config::configuration::Configuration;
use crate::config::route_table::RouteTable;
use crate::controller::admin_api::outcome_response;
use crate::controller::core::Controller;
use crate::controller::effects::Effects;
use crate::net::http::Response;
use crate::net::rpc::raft_messages::{EntryPayload, Member};
use crate::state_machine::{Command, CommandOutcome, StateError, decode_command, decode_snapshot};
use log::info;
use std::sync::mpsc::SyncSender;

/// Number of route tables kept, including the current one. A node that has one of them is sent a
/// delta, any other node the complete table.
const MAX_ROUTE_TABLES: usize = 8;

/// Maximum number of remembered addresses of departed databases. A departure that still matters to
/// a failover is one of the most recent.
const MAX_DEPARTED_ADDRESSES: usize = 4_096;

impl<E: Effects> Controller<E> {
    /// Applies committed entries that are not applied yet. If one can't be decoded, `unreadable` is
    /// set and no further entry is applied.
    pub(super) fn apply_committed_entries(&mut self, now: Tick) {
        if self.raft.commit_index <= self.last_applied || self.unreadable.is_some() {
            return;
        }
        if let Err(error) = self.apply_readable_entries(now) {
            self.unreadable = Some(error);
        }
    }

    fn apply_readable_entries(&mut self, now: Tick) -> Result<(), StateError> {
        let snapshot = &self.raft.state.snapshot;
        if snapshot.last_included.index > self.last_applied {
            self.state_machine = decode_snapshot(snapshot)?;
            self.directory_frame = None;
            self.last_applied = snapshot.last_included.index;
        }
        let mut new_members = None;
        for entry in self.raft.committed_entries_after(self.last_applied) {
            // Decode first: an entry that can't be decoded must not count as applied.
            let command = match &entry.payload {
                EntryPayload::Command(bytes) => Some(decode_command(entry.index, bytes)?),
                EntryPayload::NoOp | EntryPayload::Membership(_) => None,
            };
            self.last_applied = entry.index;
            let caller = self.pending_proposals.complete(&entry);
            if let EntryPayload::Membership(members) = &entry.payload {
                self.join.remove_members(members);
                self.effects.retain_peer_links(members);
                new_members = Some(members.clone());
            }
            if let Some(command) = command {
                self.apply_command(&command, caller, now);
            }
        }
        if let Some(members) = new_members {
            self.announce_members(&members);
        }
        if self.config.as_ref().map_or(Revision(0), |c| c.revision) != self.state_machine.revision()
        {
            self.activate_configuration(now)?;
        }
        let state_machine = &self.state_machine;
        self.raft.compact_log(self.last_applied, || state_machine.to_snapshot());
        Ok(())
    }

    fn announce_members(&mut self, members: &[Member]) {
        let describe =
            |m: &Member| format!("{}{}", m.node, if m.voter { "" } else { " (learner)" });
        let descriptions: Vec<_> = members.iter().map(describe).collect();
        self.send_controller_list();
        info!(target: "raft", "members: {}", descriptions.join(", "));
    }

    /// Puts the configuration in the state machine in force and sends its route table to all nodes.
    fn activate_configuration(&mut self, now: Tick) -> Result<(), StateError> {
        info!(target: "state", "configuration {} is in force", self.state_machine.revision());
        let config = self.state_machine.configuration()?;
        self.set_configuration(config);
        self.route_tables.extend(self.config.as_ref().map(RouteTable::of));
        if self.route_tables.len() > MAX_ROUTE_TABLES {
            self.route_tables.pop_front();
        }
        let conns: Vec<u64> = self.subscribers.keys().copied().collect();
        for conn in conns {
            self.send_due_updates(conn, now);
        }
        Ok(())
    }

    /// Sets the current configuration and discards data derived from the previous one.
    pub(super) fn set_configuration(&mut self, config: Option<Configuration>) {
        let services = config.iter().flat_map(|c| &c.services);
        self.services = services.map(|s| (s.name.clone(), s.clone())).collect();
        let replicated = self.services.values().filter(|service| service.sync_replicas > 0);
        self.sync_replicas = replicated.map(|s| (s.name.clone(), s.sync_replicas)).collect();
        let tenants = config.iter().flat_map(|c| &c.tenants);
        let limited = tenants.filter_map(|t| Some((t.name.clone(), t.operation_limit()?)));
        self.operation_limits = limited.collect();
        self.config = config;
        self.route_table_frames.clear();
        if let Some(leader_state) = &mut self.leader_state {
            let limits = &self.operation_limits;
            leader_state.operation_grants.retain(|tenant| limits.contains_key(tenant));
            leader_state.pending_updates.mark_all_changed();
        }
    }

    /// Applies a command, replies to the waiting caller and reacts to the changes.
    fn apply_command(
        &mut self,
        command: &Command,
        caller: Option<SyncSender<Response>>,
        now: Tick,
    ) {
        let previous_primary = match command {
            Command::PrimaryReturned { service, .. } => {
                self.state_machine.primaries().get(service).map(|record| record.primary.clone())
            }
            _ => None,
        };
        self.record_departed_address(command);
        let outcome = self.state_machine.apply(command);
        if let Some(reply) = caller {
            let response = match command {
                Command::Heartbeat { .. } => self.heartbeat_response(),
                _ => outcome_response(&outcome),
            };
            // The caller may have stopped waiting.
            drop(reply.try_send(response));
        }
        if outcome != CommandOutcome::Applied {
            return;
        }
        log_applied(command);
        match command {
            Command::Heartbeat { id, instance, .. } => {
                self.record_directory_change(id, now);
                let (service, role) = (&instance.target_service, instance.database_role);
                self.step_failover(service, now, |failover, snapshot| {
                    failover.handle_heartbeat(snapshot, id, role, now)
                });
                self.tick_failover(service, now);
            }
            Command::RemoveInstance { id, .. } => self.record_directory_change(id, now),
            Command::SetPrimary { .. }
            | Command::BeginFailover { .. }
            | Command::AbandonFailover { .. }
            | Command::PrimaryReturned { .. } => {
                self.handle_primary_change(command, previous_primary, now);
            }
            // The configuration is put in force after all committed entries have been applied.
            Command::PutConfiguration { .. } | Command::ForgetDeparted { .. } => {}
        }
    }

    /// Records the address of a database before it is removed from the directory.
    fn record_departed_address(&mut self, command: &Command) {
        let Command::RemoveInstance { id, .. } = command else { return };
        if let Some(record) = self.state_machine.instances().get(id) {
            if self.departed_addresses.len() >= MAX_DEPARTED_ADDRESSES {
                self.departed_addresses.pop_first();
            }
            self.departed_addresses.insert(id.clone(), record.instance.address);
        }
    }

    /// Handles a command that changes the primary of a service or the failover intent for it.
    fn handle_primary_change(
        &mut self,
        command: &Command,
        previous_primary: Option<InstanceId>,
        now: Tick,
    ) {
        let (Command::SetPrimary { service, .. }
        | Command::BeginFailover { service, .. }
        | Command::AbandonFailover { service, .. }
        | Command::PrimaryReturned { service, .. }) = command
        else {
            return;
        };
        // A primary that returned under a new instance id replaces its previous instance record.
        if let Some(previous) = &previous_primary {
            self.record_directory_change(previous, now);
        }
        self.tick_failover(service, now);
        if let Some(leader_state) = &mut self.leader_state {
            leader_state.pending_updates.mark_changed(service);
        }
        self.directory_updates.renewal_due |=
            matches!(command, Command::SetPrimary { .. } | Command::PrimaryReturned { .. });
    }
}

fn log_applied(command: &Command) {
    match command {
        // Logged when the configuration is put in force.
        Command::PutConfiguration { .. } => {}
        Command::Heartbeat { id, instance, .. } => {
            info!(target: "state", "heartbeat of {id} for {}: {:?}, {:?}", instance.target_service,
                instance.database_role, instance.lifecycle_state);
        }
        Command::RemoveInstance { id, .. } => {
            info!(target: "state", "instance {id} removed from the directory")
        }
        Command::SetPrimary { service, term, primary } => {
            info!(target: "failover", "{service}: {primary} leads term {term}");
        }
        Command::BeginFailover { service, target, .. } => {
            info!(target: "failover", "{service}: {target} chosen as the next primary");
        }
        Command::AbandonFailover { service, target } => {
            info!(
                target: "failover",
                "{service}: {target} is not running; choosing another target"
            );
        }
        Command::PrimaryReturned { service, term, primary } => {
            info!(
                target: "failover",
                "{service}: primary of term {term} returned under the new id {primary}"
            );
        }
        Command::ForgetDeparted { service, departed } => {
            let replicas: Vec<String> = departed.keys().map(|id| id.to_string()).collect();
            info!(
                target: "failover",
                "{service}: enough registered replicas hold all commits of departed replicas {}",
                replicas.join(", ")
            );
        }
    }
}
