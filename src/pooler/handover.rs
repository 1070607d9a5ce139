//! Handovers of a service to another primary, as the leader announces them: from the announcement
//! on, a commit is forwarded to its client only once the target of the handover has received it. So
//! no client is told of a commit that the next primary lacks, whichever replicas the old primary
//! replicates to in the meantime.
use crate::base::ids::ServiceName;
use crate::base::sync::lock;
use crate::net::rpc::pooler_messages::{Handover, ToController};
use crate::pooler::cluster_view::ServiceView;
use crate::pooler::server::Pooler;
use log::info;

impl ServiceView {
    /// Begins a handover that the leader announced, unless it is known already. Returns the
    /// acknowledgement for the leader.
    pub(super) fn begin_handover(
        &mut self,
        service: &ServiceName,
        handover: Handover,
    ) -> ToController {
        let (number, target) = (handover.number, handover.target.clone());
        if self.confirmation.begin_handover(handover) {
            info!(
                target: "lease",
                "{service}: handover {number} to {target} began; commits are held until it has them"
            );
        }
        let (service, highest) = (service.clone(), self.highest_commit);
        ToController::HandOverAck { service, handover: number, highest }
    }
}

impl Pooler {
    /// Begins a handover that the leader announced: from now on commits need a confirmation by its
    /// target.
    pub(super) fn begin_handover(&self, service: &ServiceName, handover: Handover) {
        let acknowledgement = {
            let mut view = lock(&self.view);
            let view = view.services.entry(service.clone()).or_default();
            view.begin_handover(service, handover)
        };
        self.send_to_leader(acknowledgement);
    }
}
