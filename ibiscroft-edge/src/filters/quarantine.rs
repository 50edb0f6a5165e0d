//! Refuses requests that crash the targets that run them.

use std::sync::Arc;

use super::Handler;
use crate::exchange::Exchange;
use crate::reply::{Failure, FailureKind, Reply};
use crate::shared::Shared;

/// Lets a request pass unless it was lost with several targets and never answered.
#[derive(Debug)]
pub(crate) struct Quarantine<H> {
    shared: Arc<Shared>,
    next: H,
}

impl<H> Quarantine<H> {
    /// Makes the filter before `next`.
    pub(crate) fn new(shared: Arc<Shared>, next: H) -> Self {
        Self { shared, next }
    }
}

impl<H: Handler> Handler for Quarantine<H> {
    async fn handle(&self, ex: &Exchange) -> Reply {
        let now = self.shared.clock.now();
        let refused = self.shared.local().suspects.refused_until(now, ex.fingerprint);
        if let Some(until) = refused {
            let detail = format!("request {} ended the targets that ran it", ex.fingerprint);
            let failure = Failure::new(FailureKind::Quarantined, detail);
            return Err(failure.retry_after(until.since(now)));
        }
        let reply = self.next.handle(ex).await;
        if reply.as_ref().is_ok_and(|answer| !answer.status.is_server_error()) {
            let now = self.shared.clock.now();
            let hint = self.shared.local().suspects.note_answered(now, ex.fingerprint);
            self.shared.tell(hint);
        }
        reply
    }
}
