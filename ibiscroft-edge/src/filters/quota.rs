//! Refuses requests beyond the quota of their organisation.

use std::sync::Arc;
use std::time::Duration;

use ibiscroft_core::fleet::QuotaDecision;
use ibiscroft_core::ids::OrganisationName;

use super::Handler;
use crate::exchange::Exchange;
use crate::reply::{Failure, FailureKind, Reply};
use crate::shared::Shared;

/// Longest time for which a request waits for a notice; most gateways are in contact again within
/// it after the gateway that reads the store has been replaced.
const MAX_NOTICE_WAIT: Duration = Duration::from_secs(1);
/// Part of the time left until the deadline for which a request waits for a notice.
const NOTICE_WAIT_PART: u32 = 3;

/// Filter that admits requests of organisations with a quota, each caller attempt once.
#[derive(Debug)]
pub(crate) struct LimitByQuota<H> {
    shared: Arc<Shared>,
    next: H,
}

impl<H> LimitByQuota<H> {
    /// Creates a filter that passes admitted requests to `next`.
    pub(crate) fn new(shared: Arc<Shared>, next: H) -> Self {
        Self { shared, next }
    }

    /// Decides about a request; waits for the next notice if this gateway has none and its share is
    /// used up, as shortly after a start.
    async fn decide(&self, ex: &Exchange, organisation: &OrganisationName) -> QuotaDecision {
        let left = ex.deadline.since(self.shared.clock.now());
        let wait = MAX_NOTICE_WAIT.min(left / NOTICE_WAIT_PART);
        let quotas = &self.shared.quotas;
        let decision = quotas.admit(&self.shared, organisation);
        let is_unknown = matches!(decision, QuotaDecision::Unknown { .. });
        if is_unknown && quotas.wait_for_notice(wait).await {
            quotas.retract_offered(organisation);
            return quotas.admit(&self.shared, organisation);
        }
        decision
    }
}

impl<H: Handler> Handler for LimitByQuota<H> {
    async fn handle(&self, ex: &Exchange) -> Reply {
        let Some(organisation) = &ex.organisation else {
            return self.next.handle(ex).await;
        };
        match self.decide(ex, organisation).await {
            QuotaDecision::Unlimited => self.next.handle(ex).await,
            QuotaDecision::Admitted => {
                let reply = self.next.handle(ex).await;
                if reply.as_ref().is_err_and(|failure| failure.kind.guarantees_not_run()) {
                    self.shared.quotas.give_back(&self.shared, organisation);
                }
                reply
            }
            QuotaDecision::OverQuota { fraction, retry_after } => {
                let detail = format!("{fraction:.3} of the requests of {organisation} is admitted");
                Err(Failure::new(FailureKind::OverQuota, detail).retry_after(retry_after))
            }
            QuotaDecision::Unknown { retry_after } => {
                let detail = format!(
                    "the use of the quota of {organisation} is not known here, and this gateway's \
                     share is used up"
                );
                Err(Failure::new(FailureKind::QuotaUnknown, detail).retry_after(retry_after))
            }
        }
    }
}
