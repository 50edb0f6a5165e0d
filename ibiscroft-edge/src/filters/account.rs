//! Counts requests and logs the outcome of each.

use std::sync::Arc;

use ibiscroft_core::Tick;

use super::Handler;
use crate::events::event;
use crate::exchange::Exchange;
use crate::reply::{Failure, Reply};
use crate::shared::Shared;

/// Filter that counts and logs the requests that pass through it.
#[derive(Debug)]
pub(crate) struct Account<H> {
    shared: Arc<Shared>,
    next: H,
}

impl<H> Account<H> {
    /// Creates a filter that passes requests to `next`.
    pub(crate) fn new(shared: Arc<Shared>, next: H) -> Self {
        Self { shared, next }
    }
}

/// Counts a request as in flight until dropped; logs it as abandoned if it has not completed by
/// then.
struct InFlight<'a> {
    shared: &'a Shared,
    ex: &'a Exchange,
    has_completed: bool,
}

impl Drop for InFlight<'_> {
    fn drop(&mut self) {
        self.shared.metrics.in_flight.dec();
        if !self.has_completed {
            let age = self.shared.clock.now().since(self.ex.received);
            self.shared.metrics.requests.with_label_values(&["abandoned"]).inc();
            event!(RequestAbandoned, "req={} after_ms={}", self.ex.log_id(), age.as_millis());
        }
    }
}

impl<H: Handler> Handler for Account<H> {
    async fn handle(&self, ex: &Exchange) -> Reply {
        self.shared.metrics.in_flight.inc();
        let mut in_flight = InFlight { shared: &self.shared, ex, has_completed: false };
        let reply = self.next.handle(ex).await;
        in_flight.has_completed = true;
        let now = self.shared.clock.now();
        self.shared.metrics.latency.observe(now.since(ex.received).as_secs_f64());
        match &reply {
            Ok(response) => {
                self.shared.metrics.requests.with_label_values(&["answered"]).inc();
                event!(
                    RequestAnswered,
                    "req={} organisation={} route={} service={} status={} ms={}",
                    ex.log_id(),
                    ex.log_organisation(),
                    ex.route.name,
                    ex.service,
                    response.status.as_u16(),
                    now.since(ex.received).as_millis(),
                );
            }
            Err(failure) => log_failure(&self.shared, ex, failure, now),
        }
        reply
    }
}

/// Counts and logs a request that got no response from a target.
fn log_failure(shared: &Shared, ex: &Exchange, failure: &Failure, now: Tick) {
    let ms = now.since(ex.received).as_millis();
    let name = failure.kind.name();
    shared.metrics.requests.with_label_values(&[name]).inc();
    let Exchange { route, service, version, .. } = ex;
    let request_id = ex.log_id();
    let organisation = ex.log_organisation();
    let route = &route.name;
    let detail = &failure.detail;
    if failure.kind.guarantees_not_run() {
        let retry_after_ms = failure.retry_after.unwrap_or_default().as_millis();
        event!(
            RequestRefused,
            "req={request_id} organisation={organisation} route={route} service={service} \
             version={version} kind={name} ms={ms} retry_after_ms={retry_after_ms} detail={detail:?}"
        );
    } else {
        event!(
            RequestFailed,
            "req={request_id} organisation={organisation} route={route} service={service} \
             version={version} kind={name} ms={ms} detail={detail:?}"
        );
    }
}
