//! The operations that this node may make for each tenant, as the leader granted them.
//!
//! Every operation of a tenant with a limit takes one. A node that has none left asks the leader at
//! once, and the client waits for the answer. Poolers and gateways own one [`OperationAllowance`];
//! the caller sends the requests and hands in the answers.
use crate::base::ids::TenantName;
use crate::base::sync::lock;
use crate::base::time::Tick;
use crate::leases::operation_grants::GRANT_VALID_MS;
use crate::net::rpc::pooler_messages::{OperationGrant, OperationRequest};
use crate::node::client_watch::CLIENT_CHECK_INTERVAL_MS;
use std::collections::HashMap;
use std::sync::{Condvar, Mutex, PoisonError};
use std::time::Duration;

/// A request that is not answered for this long is sent again, in milliseconds.
const REQUEST_TIMEOUT_MS: u64 = 300;

/// After how many milliseconds a client may retry if the leader does not answer.
const RETRY_WITHOUT_LEADER_MS: u64 = 100;

/// Permission to make one operation of a tenant.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OperationPermit {
    /// The operation must be sent to a database before this tick.
    pub expires_at: Tick,
}

/// Why an operation is not allowed now.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum OperationRefused {
    /// The tenant is at its limit, or the leader did not answer.
    #[error("the tenant is at its limit; retry after {retry_after_ms} ms")]
    AtLimit {
        /// After how many milliseconds the client may retry.
        retry_after_ms: u64,
    },
    /// The client left while the leader's answer was waited for.
    #[error("the client left while it waited for an operation")]
    ClientLeft,
}

/// How long a client waits for the leader to grant an operation.
pub struct OperationWait<F> {
    /// When to stop waiting.
    pub deadline: Tick,
    /// Whether the client has left, which ends the wait too.
    pub client_left: F,
}

/// A request to the leader that was not answered yet.
#[derive(Clone, Copy, Debug)]
struct SentRequest {
    number: u64,
    at: Tick,
}

/// What this node may do for one tenant.
#[derive(Debug, Default)]
struct TenantAllowance {
    /// Granted operations that are left.
    left: u32,
    expires_at: Tick,
    /// The last request, unless it was answered. Only its answer is used: the age of an answer to an
    /// earlier one is not known.
    unanswered: Option<SentRequest>,
    /// The number of the last request.
    last_number: u64,
    /// The number of clients that wait for the answer.
    waiting: u32,
    /// Nothing is requested before this tick, because the tenant is at its limit.
    refused_until: Tick,
    /// The operations made since `period_start`, and in the period before it.
    made: u32,
    made_before: u32,
    period_start: Tick,
}

impl TenantAllowance {
    /// Takes one of the operations that are left.
    fn take(&mut self, now: Tick) -> Option<OperationPermit> {
        if self.left == 0 || now >= self.expires_at {
            return None;
        }
        self.left -= 1;
        self.record_operation(now);
        Some(OperationPermit { expires_at: self.expires_at })
    }

    fn record_operation(&mut self, now: Tick) {
        let elapsed_ms = now.since(self.period_start);
        if elapsed_ms >= GRANT_VALID_MS {
            self.made_before = if elapsed_ms < 2 * GRANT_VALID_MS { self.made } else { 0 };
            self.made = 0;
            self.period_start = now;
        }
        self.made += 1;
    }

    /// Returns the request that is due, if one is, and records it as sent.
    fn begin_request(&mut self, tenant: &TenantName, now: Tick) -> Option<OperationRequest> {
        if self.unanswered.is_some_and(|sent| now.since(sent.at) < REQUEST_TIMEOUT_MS) {
            return None;
        }
        self.last_number += 1;
        let number = self.last_number;
        self.unanswered = Some(SentRequest { number, at: now });
        // Those that wait, and what a tenant of this rate will need while the grant is valid.
        let count = self.waiting.max(1) + self.made_before.saturating_sub(1);
        Some(OperationRequest { tenant: tenant.clone(), count, number })
    }

    /// Applies the leader's answer, if it is that to the last request.
    fn apply(&mut self, grant: &OperationGrant, now: Tick) {
        let Some(sent) = self.unanswered.filter(|sent| sent.number == grant.number) else { return };
        self.unanswered = None;
        self.left = grant.count;
        self.expires_at = sent.at.plus(GRANT_VALID_MS);
        if grant.count == 0 {
            self.refused_until = now.plus(grant.retry_after_ms);
        }
    }
}

/// The granted operations of all tenants at this node.
#[derive(Default)]
pub struct OperationAllowance {
    tenants: Mutex<HashMap<TenantName, TenantAllowance>>,
    answered: Condvar,
}

impl OperationAllowance {
    /// Takes one operation of a tenant. If none is left, asks the leader with `send` and waits for
    /// its answer.
    ///
    /// # Errors
    /// [`OperationRefused`] if the tenant is at its limit, the leader did not answer in time, or the
    /// client has left.
    pub fn acquire(
        &self,
        tenant: &TenantName,
        wait: &OperationWait<impl Fn() -> bool>,
        send: impl Fn(OperationRequest),
    ) -> Result<OperationPermit, OperationRefused> {
        let mut tenants = lock(&self.tenants);
        let mut waits = false;
        let outcome = loop {
            let now = Tick::now();
            let allowance = match tenants.get_mut(tenant) {
                Some(allowance) => allowance,
                None => tenants.entry(tenant.clone()).or_default(),
            };
            if let Some(permit) = allowance.take(now) {
                break Ok(permit);
            }
            if now < allowance.refused_until {
                let retry_after_ms = allowance.refused_until.since(now);
                break Err(OperationRefused::AtLimit { retry_after_ms });
            }
            if now >= wait.deadline {
                let retry_after_ms = RETRY_WITHOUT_LEADER_MS;
                break Err(OperationRefused::AtLimit { retry_after_ms });
            }
            if (wait.client_left)() {
                break Err(OperationRefused::ClientLeft);
            }
            if !waits {
                waits = true;
                allowance.waiting += 1;
            }
            if let Some(request) = allowance.begin_request(tenant, now) {
                drop(tenants);
                send(request);
                tenants = lock(&self.tenants);
                continue;
            }
            let wait_ms = wait.deadline.since(now).clamp(1, CLIENT_CHECK_INTERVAL_MS);
            let waited = self.answered.wait_timeout(tenants, Duration::from_millis(wait_ms));
            tenants = waited.unwrap_or_else(PoisonError::into_inner).0;
        };
        if waits && let Some(allowance) = tenants.get_mut(tenant) {
            allowance.waiting -= 1;
        }
        outcome
    }

    /// Gives back an operation that was not made, because its client left. One of an earlier grant
    /// is lost.
    pub fn give_back(&self, tenant: &TenantName, permit: OperationPermit) {
        if let Some(allowance) = lock(&self.tenants).get_mut(tenant)
            && allowance.expires_at == permit.expires_at
        {
            allowance.left += 1;
        }
    }

    /// Applies the leader's answer to a request.
    pub fn apply(&self, grants: Vec<OperationGrant>) {
        let now = Tick::now();
        let mut tenants = lock(&self.tenants);
        for grant in grants {
            if let Some(allowance) = tenants.get_mut(&grant.tenant) {
                allowance.apply(&grant, now);
            }
        }
        drop(tenants);
        self.answered.notify_all();
    }

    /// Forgets unanswered requests, because a connection to another leader began.
    pub fn reset_requests(&self) {
        for allowance in lock(&self.tenants).values_mut() {
            allowance.unanswered = None;
        }
        self.answered.notify_all();
    }
}
