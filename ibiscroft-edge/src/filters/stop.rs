//! Refuses requests that a stopping gateway might not complete.

use std::sync::Arc;
use std::time::Duration;

use super::Handler;
use crate::exchange::Exchange;
use crate::reply::{Failure, FailureKind, Reply};
use crate::shared::Shared;

/// Filter that refuses requests while the gateway stops, unless they complete in time.
#[derive(Debug)]
pub(crate) struct RefuseWhenStopping<H> {
    shared: Arc<Shared>,
    next: H,
}

impl<H> RefuseWhenStopping<H> {
    /// Creates a filter that passes requests to `next`.
    pub(crate) fn new(shared: Arc<Shared>, next: H) -> Self {
        Self { shared, next }
    }
}

impl<H: Handler> Handler for RefuseWhenStopping<H> {
    async fn handle(&self, ex: &Exchange) -> Reply {
        let now = self.shared.clock.now();
        if let Some(stop) = self.shared.stop()
            && !stop.may_send(now, ex.deadline, ex.route.repeatable)
        {
            let detail = format!(
                "the gateway stops in {} ms, the request may take {} ms",
                stop.waits_until().since(now).as_millis(),
                ex.deadline.since(now).as_millis(),
            );
            // Other gateways accept the request at once.
            return Err(Failure::new(FailureKind::Stopping, detail).retry_after(Duration::ZERO));
        }
        self.next.handle(ex).await
    }
}
