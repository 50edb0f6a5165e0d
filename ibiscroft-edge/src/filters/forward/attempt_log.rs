//! Log lines of attempts.

use std::time::Duration;

use ibiscroft_core::Tick;
use ibiscroft_core::fleet::ProbeReport;

use super::Progress;
use crate::events::event;
use crate::exchange::Exchange;
use crate::filters::select::SelectedTarget;
use crate::reply::TargetResponse;

/// Logs that a target failed a request which is sent to another one.
pub(super) fn log_error_response(ex: &Exchange, response: &TargetResponse, progress: &Progress) {
    let target = progress.attempted.last().map_or("", |name| name.as_str());
    let status = response.status.as_u16();
    event!(SendFailed, "req={} target={target} reason=failed status={status}", ex.log_id());
}

/// Logs that a request is held.
pub(super) fn log_hold(ex: &Exchange, best: &SelectedTarget, delay: Duration) {
    let SelectedTarget { target, report, cost, probed, .. } = best;
    let ProbeReport { running, waiting, slots, slowness, .. } = report;
    event!(
        RequestHeld,
        "req={} service={} best={} asked={probed} cost={cost:.2} running={running} \
         waiting={waiting} slots={slots} slowness={slowness:.2} for_ms={}",
        ex.log_id(),
        ex.service,
        target.name,
        delay.as_millis(),
    );
}

/// Logs that a request is sent to a target.
pub(super) fn log_attempt(
    ex: &Exchange,
    selected: &SelectedTarget,
    progress: &Progress,
    now: Tick,
) {
    let SelectedTarget { target, report, cost, probed, .. } = selected;
    let ProbeReport { running, waiting, slots, slowness, .. } = report;
    event!(
        RequestSent,
        "req={} route={} priority={} version={} service={} target={} zone={} attempt={} asked={probed} \
         cost={cost:.2} running={running} waiting={waiting} slots={slots} slowness={slowness:.2} \
         waited_ms={} left_ms={}",
        ex.log_id(),
        ex.route.name,
        ex.priority,
        ex.version,
        ex.service,
        target.name,
        target.zone,
        progress.sent + 1,
        now.since(ex.received).as_millis(),
        ex.deadline.since(now).as_millis(),
    );
}
