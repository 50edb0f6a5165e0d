//! Division of the descriptors of the process, and enforcement of the bounds on callers.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use ibiscroft_core::fleet::STALL_TIME;
use ibiscroft_listener::ConnectionRegistry;
use tokio::sync::Semaphore;

use crate::connection_pool::MIN_IDLE_CONNECTIONS;
use crate::events::event;
use crate::filters::identify::currency::is_current;
use crate::shared::Shared;

/// Interval at which a stalled body is looked for. When many chunked bodies fill the account and
/// wait for each other, each check frees only what one of them holds.
const STALL_CHECK_INTERVAL: Duration = Duration::from_millis(50);
/// Number of those intervals between two looks for late request heads.
const INTERVALS_PER_CHECK: u32 = 4;
/// Number of those intervals between two reports of closed connections.
const INTERVALS_PER_REPORT: u32 = 20;
/// Descriptors kept for everything but the connections of callers: files, listeners, the store, and
/// connections to targets on which requests are in flight.
const RESERVED_DESCRIPTORS: u32 = 200;
/// Part of the reserve that is not for requests in flight.
const FIXED_DESCRIPTORS: u32 = 60;
/// Number of connections to targets that a request uses at the same time, with its probes.
const DESCRIPTORS_PER_REQUEST: u32 = 3;
/// Divisor of the descriptors beside the reserve that gives the part of requests in flight, and the
/// largest part of idle connections to targets.
const PART_DIVISOR: u32 = 4;
/// Smallest number of connections of callers, however small the process or large the fleet.
const MIN_CALLER_CONNECTIONS: usize = 16;

/// Bytes in a megabyte of the settings.
const MEGABYTE: f64 = 1e6;
/// Part of the memory for what connections receive while their requests are processed.
const READ_AHEAD_FRACTION: f64 = 1.0 / 32.0;

/// Part of the memory for the connections of callers, beside the account of bytes.
const CONNECTIONS_FRACTION: f64 = 1.0 / 3.0;
/// Memory that a connection of a caller takes at most, in bytes: 80 KiB for the buffers and tasks of
/// the server and of its request to a target, and 32 KiB that have arrived and are not read yet.
const CONNECTION_BYTES: f64 = 114_688.0;

/// Returns the number of requests that may use connections to targets at the same time.
pub(crate) fn request_slots(max_fds: u32) -> Arc<Semaphore> {
    let descriptors = part(max_fds) + RESERVED_DESCRIPTORS - FIXED_DESCRIPTORS;
    Arc::new(Semaphore::new((descriptors / DESCRIPTORS_PER_REQUEST) as usize))
}

const fn part(max_fds: u32) -> u32 {
    max_fds.saturating_sub(RESERVED_DESCRIPTORS) / PART_DIVISOR
}

/// Returns the maximum number of idle connections to targets.
fn max_idle_connections(max_fds: u32, targets: usize) -> usize {
    targets.min(part(max_fds) as usize).max(MIN_IDLE_CONNECTIONS)
}

/// Returns the maximum number of connections of callers in a fleet with this number of targets and
/// of gateways, each of which may have a connection to this process.
fn max_caller_connections(max_fds: u32, targets: usize, gateways: usize) -> usize {
    let left = max_fds.saturating_sub(RESERVED_DESCRIPTORS + part(max_fds)) as usize;
    let others = max_idle_connections(max_fds, targets) + gateways;
    left.saturating_sub(others).max(MIN_CALLER_CONNECTIONS)
}

/// Returns the maximum number of connections of callers in this memory, in megabytes.
fn max_connections_in(memory_mb: f64) -> usize {
    let count = memory_mb * MEGABYTE * CONNECTIONS_FRACTION / CONNECTION_BYTES;
    (count as usize).max(MIN_CALLER_CONNECTIONS)
}

/// Counts of closed connections so far.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct Closed {
    evicted: u64,
    refused: u64,
    heads: u64,
    stalled: u64,
    unhandled: u64,
}

/// Enforces the bounds periodically, by the configuration in force.
pub(crate) async fn enforce(shared: Arc<Shared>, connections: Arc<ConnectionRegistry>) {
    let mut timer = tokio::time::interval(STALL_CHECK_INTERVAL);
    timer.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    let mut reported = Closed::default();
    let max_in_memory = shared.settings.memory_mb.map_or(usize::MAX, max_connections_in);
    connections.bounds().set_max_open(max_in_memory);
    if let Some(memory_mb) = shared.settings.memory_mb {
        let read_ahead = memory_mb * MEGABYTE * READ_AHEAD_FRACTION;
        connections.bounds().set_max_read_ahead(read_ahead as usize);
    }
    for number in 0_u32.. {
        timer.tick().await;
        shared.bytes.end_stalled();
        if !number.is_multiple_of(INTERVALS_PER_CHECK) {
            continue;
        }
        // Read before the view, which is then at least as recent.
        let staleness = shared.staleness();
        let view = shared.view.load_full();
        if let Some(max_fds) = shared.settings.max_fds {
            let (targets, gateways) = (view.targets().count(), view.member_count());
            let max_open = max_caller_connections(max_fds, targets, gateways);
            connections.bounds().set_max_open(max_open.min(max_in_memory));
            shared.pool.set_max_idle(max_idle_connections(max_fds, targets));
        }
        // At the start the view becomes current between two of these checks.
        let was_current = shared.has_been_current.load(Ordering::Relaxed);
        connections.bounds().set_head_limit_current(!was_current || is_current(staleness));
        if let Some(configuration) = view.configuration() {
            connections.bounds().set_max_head_bytes(configuration.limits.header_bytes);
            connections.refuse_late_heads(configuration.limits.header_timeout);
        }
        if shared.request_slots.as_ref().is_some_and(|slots| slots.available_permits() == 0) {
            connections.close_unread(STALL_TIME);
        }
        let metrics = &shared.metrics;
        let (bytes, waiting) = shared.bytes.usage();
        metrics.bytes_held.set(bytes.cast_signed());
        metrics.bodies_waiting.set(waiting as i64);
        metrics.caller_connections.set(connections.open_count() as i64);
        if number.is_multiple_of(INTERVALS_PER_REPORT) {
            report(&shared, &connections, &mut reported);
        }
    }
}

/// Counts and logs the connections that were closed since the last report.
fn report(shared: &Shared, connections: &ConnectionRegistry, reported: &mut Closed) {
    let bounds = connections.bounds();
    let closed = Closed {
        evicted: bounds.evicted_count(),
        refused: bounds.refused_count(),
        heads: bounds.refused_head_count(),
        stalled: shared.bytes.ended_count() + bounds.unread_count(),
        unhandled: bounds.unhandled_count(),
    };
    if closed == *reported {
        return;
    }
    let evicted = closed.evicted - reported.evicted;
    let refused = closed.refused - reported.refused;
    let heads = closed.heads - reported.heads;
    let stalled = closed.stalled - reported.stalled;
    let unhandled = closed.unhandled - reported.unhandled;
    let counts = [
        ("evicted", evicted),
        ("refused", refused),
        ("head", heads),
        ("stalled", stalled),
        ("unhandled", unhandled),
    ];
    for (reason, count) in counts {
        shared.metrics.callers_closed.with_label_values(&[reason]).inc_by(count);
    }
    event!(
        CallersClosed,
        "evicted={evicted} refused={refused} heads={heads} stalled={stalled} unhandled={unhandled}"
    );
    *reported = closed;
}
