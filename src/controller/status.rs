//! The status report returned by `GET /status` on each controller, whether or not it is the leader.
//!
//! The keys are an interface for operators' tools and are checked by `tests/interfaces.rs`. Some
//! differ from the terms in the code: `stiles` are the poolers and gateways, `epoch` is the Raft
//! term, `entry` is the last log index, and `questions_waiting` is the number of queued database
//! requests.
use crate::base::time::Tick;
use crate::controller::core::Controller;
use crate::controller::effects::Effects;
use crate::leases::lease_table::LEASE_MS;
use crate::net::rpc::pooler_messages::{LeaseGrant, PrimaryStatus};
use serde_json::{Value, json};

impl<E: Effects> Controller<E> {
    /// Builds the status report.
    pub(super) fn status(&self, now: Tick) -> Value {
        json!({
            "node": self.settings.node_name,
            "role": "controller",
            "member": self.raft.state.member_id.0,
            "leader": self.leader().map(|m| m.node.0.clone()),
            "leader_admin": self.leader_address().map(|l| l.admin),
            "leads": self.raft.holds_leader_lease(now),
            "epoch": self.raft.state.term,
            "entry": self.raft.last_position().index,
            "committed": self.raft.commit_index,
            "members": self.member_statuses(),
            "revision": self.state_machine.revision(),
            "databases": self.database_statuses(),
            "services": self.service_statuses(),
            "stiles": self.pooler_statuses(now),
            "peers": self.effects.connection_count(),
            "questions_waiting": self.database_requests.queued(),
        })
    }

    fn member_statuses(&self) -> Vec<Value> {
        let members = self.raft.members().iter();
        members
            .map(|m| {
                json!({
                    "id": m.id.0, "node": m.node, "peer": m.peer, "admin": m.admin,
                    "voter": m.voter,
                })
            })
            .collect()
    }

    fn database_statuses(&self) -> Vec<Value> {
        let instances = self.state_machine.instances().iter();
        instances
            .map(|(id, r)| json!({ "id": id, "database": r.instance, "sequence": r.sequence }))
            .collect()
    }

    fn service_statuses(&self) -> Vec<Value> {
        let records = self.state_machine.primaries().iter();
        records
            .map(|(service, record)| {
                let leader_state = self.leader_state.as_ref();
                let failover = leader_state.and_then(|l| l.failovers.get(service));
                json!({
                    "service": service, "term": record.term, "primary": record.primary,
                    "intent": record.intent, "stage": failover.map(|f| f.state.status_text()),
                })
            })
            .collect()
    }

    fn pooler_statuses(&self, now: Tick) -> Vec<Value> {
        let poolers = self.leader_state.iter().flat_map(|l| &l.leases.poolers);
        poolers
            .map(|(node, leases)| {
                json!({
                    "node": node,
                    "connected": leases.connection.is_some(),
                    "heard_ms_ago": now.since(leases.last_contact),
                    "lease_left_ms": (leases.granted_at.0 + LEASE_MS).saturating_sub(now.0),
                    "services": leases.grants.values().map(grant_status).collect::<Vec<_>>(),
                })
            })
            .collect()
    }
}

fn grant_status(grant: &LeaseGrant) -> Value {
    let term = match &grant.status {
        PrimaryStatus::Active { term, .. } => Some(term),
        _ => None,
    };
    json!({ "service": grant.service, "connections_allowed": grant.quota, "term": term })
}
