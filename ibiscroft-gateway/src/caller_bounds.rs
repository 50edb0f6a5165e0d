//! Enforcement of the bounds on the connections of callers, on each traffic thread.

use std::sync::Arc;
use std::time::Duration;

use ibiscroft_listener::ConnectionRegistry;

use crate::events::event;
use crate::shared::Shared;

/// Interval of the checks.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// Number of checks between two reports of closed connections.
const CHECKS_PER_REPORT: u32 = 10;
/// Longest time from the first byte of a request head to its end.
const HEAD_TIMEOUT: Duration = Duration::from_secs(10);

/// Connections closed so far, by reason.
type Closed = [(&'static str, u64); 3];

/// Enforces the bounds on the connections of one traffic thread periodically.
pub(crate) async fn enforce(shared: Arc<Shared>, connections: Arc<ConnectionRegistry>) {
    let mut timer = tokio::time::interval(CHECK_INTERVAL);
    timer.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    let mut reported = closed(&connections);
    let mut refused = 0;
    for number in 0_u32.. {
        timer.tick().await;
        let targets = shared.view().services.iter().map(|view| view.pool.candidates().len()).sum();
        connections.bounds().set_max_open(shared.limits.thread_connections(targets));
        connections.refuse_late_heads(HEAD_TIMEOUT);
        let refused_before = std::mem::replace(&mut refused, connections.bounds().refused_count());
        if refused > refused_before {
            shared.connection_shortage.note(shared.clock.now());
        }
        if number.is_multiple_of(CHECKS_PER_REPORT) {
            report(&shared, &connections, &mut reported);
        }
    }
}

fn closed(connections: &ConnectionRegistry) -> Closed {
    let bounds = connections.bounds();
    [
        ("evicted", bounds.evicted_count()),
        ("refused", bounds.refused_count()),
        ("head", bounds.refused_head_count()),
    ]
}

/// Counts and logs the connections that were closed since the last report.
fn report(shared: &Shared, connections: &ConnectionRegistry, reported: &mut Closed) {
    let closed = closed(connections);
    if closed == *reported {
        return;
    }
    let mut text = String::new();
    for ((reason, count), (_, before)) in closed.iter().zip(reported.iter()) {
        let count = count - before;
        shared.metrics.callers_closed.with_label_values(&[*reason]).inc_by(count);
        text.push_str(&format!(" {reason}={count}"));
    }
    event!(CallersClosed, "{}", text.trim_start());
    *reported = closed;
}
