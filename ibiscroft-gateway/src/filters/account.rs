//! Counts requests and the time that the gateway adds to them.

use std::sync::Arc;

use http::StatusCode;

use crate::exchange::{Exchange, Reply};
use crate::filters::{Filter, Handler};
use crate::metrics::InFlightGuard;
use crate::shared::Shared;

/// Counts requests in flight, answers by status class, and added time.
#[derive(Debug)]
pub(crate) struct Account {
    shared: Arc<Shared>,
}

impl Account {
    /// Makes the filter.
    pub(crate) fn new(shared: Arc<Shared>) -> Self {
        Self { shared }
    }

    fn count_answer(&self, ex: &Exchange, status: StatusCode) {
        let total = self.shared.clock.now().since(ex.received);
        let metrics = &self.shared.metrics;
        metrics.responses.with_label_values(&[status_class(status)]).inc();
        let added = total.saturating_sub(ex.upstream_time);
        metrics.observe_added(added, ex.is_at_most_once());
    }
}

impl Filter for Account {
    async fn apply<H: Handler>(&self, ex: &mut Exchange, next: &H) -> Reply {
        let _in_flight = InFlightGuard::begin(&self.shared.metrics);
        let reply = next.handle(ex).await;
        if let Ok(answer) = &reply {
            self.count_answer(ex, answer.status);
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
