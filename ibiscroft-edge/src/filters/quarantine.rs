//! Refuses requests that crash targets.

use std::sync::Arc;

use super::Handler;
use crate::exchange::Exchange;
use crate::reply::{Failure, FailureKind, Reply};
use crate::shared::Shared;

/// Filter that refuses a request that was lost when several targets crashed and was not answered
/// recently.
#[derive(Debug)]
pub(crate) struct Quarantine<H> {
    shared: Arc<Shared>,
    next: H,
}

impl<H> Quarantine<H> {
    /// Creates a filter that passes requests to `next`.
    pub(crate) fn new(shared: Arc<Shared>, next: H) -> Self {
        Self { shared, next }
    }
}

impl<H: Handler> Handler for Quarantine<H> {
    async fn handle(&self, ex: &Exchange) -> Reply {
        let now = self.shared.clock.now();
        let refused = self.shared.traffic().suspects.refused_until(now, ex.fingerprint);
        if let Some(until) = refused {
            let detail = format!("request {} ended the targets that ran it", ex.fingerprint);
            let failure = Failure::new(FailureKind::Quarantined, detail);
            return Err(failure.retry_after(until.since(now)));
        }
        let reply = self.next.handle(ex).await;
        if reply.as_ref().is_ok_and(|response| !response.status.is_server_error()) {
            let now = self.shared.clock.now();
            let hint = self.shared.traffic().suspects.record_answered(now, ex.fingerprint);
            self.shared.send_hints(hint);
        }
        reply
    }
}
