//! What an attempt takes from the limits before it is sent: an operation of its tenant and, if the
//! request is sent once more, retry budget.
//!
//! Forwarding reserves before it seeks an endpoint, and gives back what was reserved if the client
//! leaves before a byte was sent.
use crate::base::sync::lock;
use crate::base::time::Tick;
use crate::gateway::request_context::{MIN_OPERATION_WAIT_MS, RequestContext};
use crate::gateway::server::Gateway;
use crate::net::rpc::pooler_messages::ToController;
use crate::node::client_watch::ClientLeft;
use crate::node::operation_allowance::{OperationPermit, OperationRefused, OperationWait};

/// What was taken from the limits for one attempt.
#[derive(Default)]
pub(super) struct Reservation {
    /// The operation of a tenant with a limit.
    operation: Option<OperationPermit>,
    /// Whether retry budget was spent.
    retry: bool,
}

impl Reservation {
    /// Whether it is for sending a request once more.
    pub(super) fn is_retry(&self) -> bool {
        self.retry
    }
}

/// Why nothing was taken from the limits.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub(super) enum ReservationError {
    /// The tenant is at its limit.
    #[error("the tenant is at its limit; retry after {retry_after_ms} ms")]
    TenantAtLimit {
        /// After how many milliseconds the client may retry.
        retry_after_ms: u64,
    },
    /// The retry budget is spent.
    #[error("the retry budget of the service is spent")]
    NoRetryBudget,
    /// The client has left.
    #[error(transparent)]
    ClientLeft(#[from] ClientLeft),
}

impl Gateway {
    /// Reserves for the first attempt at a request. Waits for an operation of its tenant.
    pub(super) fn reserve_first_attempt(
        &self,
        request: &RequestContext<'_>,
    ) -> Result<Reservation, ReservationError> {
        let operation = self.reserve_operation(request, request.operation_wait_ms())?;
        Ok(Reservation { operation, retry: false })
    }

    /// Reserves for sending a request once more, which spends retry budget and counts once more for
    /// the limit of its tenant.
    pub(super) fn reserve_retry(
        &self,
        request: &RequestContext<'_>,
    ) -> Result<Reservation, ReservationError> {
        request.client.ensure_present()?;
        if !lock(&self.retry_budgets).allows_retry(request.service) {
            return Err(ReservationError::NoRetryBudget);
        }
        let operation = self.reserve_operation(request, MIN_OPERATION_WAIT_MS)?;
        if !lock(&self.retry_budgets).try_spend(request.service) {
            self.give_back(request, Reservation { operation, retry: false });
            return Err(ReservationError::NoRetryBudget);
        }
        Ok(Reservation { operation, retry: true })
    }

    /// Gives back what was reserved for an attempt of which nothing was sent.
    pub(super) fn give_back(&self, request: &RequestContext<'_>, reservation: Reservation) {
        if reservation.retry {
            lock(&self.retry_budgets).give_back(request.service);
        }
        if let Some(tenant) = request.limited_tenant()
            && let Some(operation) = reservation.operation
        {
            self.allowance.give_back(&tenant.name, operation);
        }
    }

    /// Takes one operation of the tenant's limit, if it has one. Waits for at most `wait_ms`
    /// milliseconds.
    fn reserve_operation(
        &self,
        request: &RequestContext<'_>,
        wait_ms: u64,
    ) -> Result<Option<OperationPermit>, ReservationError> {
        let Some(tenant) = request.limited_tenant() else { return Ok(None) };
        let wait = OperationWait {
            deadline: Tick::now().plus(wait_ms).min(request.deadline),
            client_left: || request.client.has_left(),
        };
        let acquired = self.allowance.acquire(&tenant.name, &wait, |operations| {
            self.leader.send(ToController::RequestOperations(vec![operations]));
        });
        acquired.map(Some).map_err(|refused| match refused {
            OperationRefused::AtLimit { retry_after_ms } => {
                ReservationError::TenantAtLimit { retry_after_ms }
            }
            OperationRefused::ClientLeft => ReservationError::ClientLeft(ClientLeft),
        })
    }
}
