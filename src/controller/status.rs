//! The status report.
use crate::base::time::Tick;
use crate::controller::core::Controller;
use crate::controller::effects::Effects;
use crate::leases::lease_table::LEASE_MS;
use crate::net::rpc::pooler_messages::PrimaryStatus;

impl<E: Effects> Controller<E> {
    pub(super) fn status(&self, now: Tick) -> serde_json::Value {
        let members: Vec<_> = self
            .raft
            .members()
            .iter()
            .map(|m| serde_json::json!({ "id": m.id.0, "node": m.node, "peer": m.peer, "admin": m.admin, "voter": m.voter }))
            .collect();
        let databases: Vec<_> = self
            .state_machine
            .instances
            .iter()
            .map(|(id, r)| serde_json::json!({ "id": id, "database": r.instance, "sequence": r.sequence }))
            .collect();
        let poolers: Vec<_> = self.leader_state.iter().flat_map(|o| &o.leases.seats).map(|(node, seat)| {
            serde_json::json!({
                "node": node,
                "connected": seat.conn.is_some(),
                "heard_ms_ago": now.since(seat.heard),
                "lease_left_ms": (seat.granted.0 + LEASE_MS).saturating_sub(now.0),
                "services": seat.told.values().map(|g| serde_json::json!({
                    "service": g.service, "connections_allowed": g.quota,
                    "term": match &g.status { PrimaryStatus::Active { term, .. } => Some(term), _ => None },
                })).collect::<Vec<_>>(),
            })
        }).collect();
        let services: Vec<_> = self
            .state_machine
            .leads
            .iter()
            .map(|(service, lead)| {
                let stage = self.leader_state.as_ref().and_then(|o| o.failovers.get(service));
                serde_json::json!({
                    "service": service, "term": lead.term, "primary": lead.primary,
                    "intent": lead.intent, "stage": stage.map(|s| s.state.status_text()),
                })
            })
            .collect();
        serde_json::json!({
            "node": self.settings.node_name,
            "role": "controller",
            "member": self.raft.state.member_id.0,
            "leader": self.leader().map(|m| m.node.0.clone()),
            "leader_admin": self.leads_at().map(|l| l.1),
            "leads": self.raft.holds_leader_lease(now),
            "epoch": self.raft.state.term,
            "entry": self.raft.last_position().index,
            "committed": self.raft.commit_index,
            "members": members,
            "revision": self.state_machine.revision,
            "databases": databases,
            "services": services,
            "stiles": poolers,
            "peers": self.effects.peers(),
            "questions_waiting": self.questions.len(),
        })
    }
}
