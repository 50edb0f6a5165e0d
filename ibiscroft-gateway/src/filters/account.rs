//! Counts requests and records the time that the gateway adds to them.

use std::sync::Arc;

use http::StatusCode;

use crate::exchange::{Exchange, Reply};
use crate::filters::{Filter, Handler};
use crate::metrics::InFlightGuard;
use crate::shared::Shared;

/// Filter that counts requests in flight and responses by status class, and records the time that
/// the gateway adds.
#[derive(Debug)]
pub(crate) struct Account {
    shared: Arc<Shared>,
}

impl Account {
    /// Creates the filter.
    pub(crate) fn new(shared: Arc<Shared>) -> Self {
        Self { shared }
    }

    /// Counts a response and records the time that the gateway added to it.
    fn count_response(&self, ex: &Exchange, status: StatusCode) {
        let elapsed = self.shared.clock.now().since(ex.received);
        let metrics = &self.shared.metrics;
        metrics.responses.with_label_values(&[status_class(status)]).inc();
        let added = elapsed.saturating_sub(ex.upstream_time);
        metrics.observe_added(added, ex.is_at_most_once());
    }
}

impl Filter for Account {
    async fn apply<H: Handler>(&self, ex: &mut Exchange, next: &H) -> Reply {
        let _in_flight = InFlightGuard::begin(&self.shared.metrics);
        let reply = next.handle(ex).await;
        if let Ok(response) = &reply {
            self.count_response(ex, response.status);
        }
        reply
    }
}

fn status_class(status: StatusCode) -> &'static str {
    match status.as_u16() / 100 {
        1 => "1xx",
        2 => "2xx",
        3 => "3xx",
        4 => "4xx",
        5 => "5xx",
        _ => "other",
    }
}
