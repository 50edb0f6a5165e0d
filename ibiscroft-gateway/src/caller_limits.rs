//! Division of the memory and descriptors of the process.

use crate::backend_client::MAX_IDLE;
use crate::settings::Settings;

/// Memory of the process if the settings give none, in megabytes.
const DEFAULT_MEMORY_MB: u32 = 1_000;
/// Descriptors of the process if neither the settings nor the system give a limit.
const DEFAULT_MAX_FDS: usize = 1_024;
/// Table of the limits that the system sets for this process.
const SYSTEM_LIMITS: &str = "/proc/self/limits";
/// Bytes in a megabyte of the settings.
const MEGABYTE: usize = 1_000_000;
/// Memory that one connection can occupy beside bodies, in bytes: a request head or bytes received
/// ahead in the buffers of the listener and the HTTP server, the write buffer, and tasks.
const CONNECTION_BYTES: usize = 192 << 10;
/// Memory that one large response can occupy, in bytes: three read buffers of the HTTP client.
const LARGE_RESPONSE_BYTES: usize = 3 * (400 << 10);
/// Smallest number of large responses that are passed on at once.
const MIN_LARGE_RESPONSES: usize = 4;
/// Descriptors kept for runtimes, listeners, files, the store and other gateways.
const RESERVED_FDS: usize = 100;
/// Smallest number of connections of callers on one traffic thread.
const MIN_THREAD_CONNECTIONS: usize = 8;

/// What callers may occupy at most.
///
/// Of the memory, three eighths are for request bodies, a quarter for connections and an eighth for
/// large responses; the rest is for the process itself and the allocator.
#[derive(Clone, Copy, Debug)]
pub(crate) struct CallerLimits {
    /// Bytes of request bodies.
    pub(crate) body_bytes: usize,
    /// Large responses that are passed on at once.
    pub(crate) large_responses: usize,
    /// Connections of callers that the memory allows.
    memory_connections: usize,
    max_fds: usize,
    threads: usize,
}

impl CallerLimits {
    /// Returns the limits of a process with these settings.
    pub(crate) fn new(settings: &Settings) -> Self {
        let memory = settings.memory_mb.unwrap_or(DEFAULT_MEMORY_MB) as usize * MEGABYTE;
        let max_fds = settings.max_fds.map(|count| count as usize);
        Self {
            body_bytes: memory / 8 * 3,
            large_responses: (memory / 8 / LARGE_RESPONSE_BYTES).max(MIN_LARGE_RESPONSES),
            memory_connections: memory / 4 / CONNECTION_BYTES,
            max_fds: max_fds.or_else(system_max_fds).unwrap_or(DEFAULT_MAX_FDS),
            threads: settings.traffic_threads,
        }
    }

    /// Returns the maximum number of callers' connections on one traffic thread of a process with
    /// this number of targets.
    ///
    /// Each connection counts with one to a target. Idle connections to targets take at most half
    /// of the descriptors.
    pub(crate) fn thread_connections(&self, targets: usize) -> usize {
        let free = self.max_fds.saturating_sub(RESERVED_FDS);
        let idle = targets.saturating_mul(MAX_IDLE * self.threads + 1).min(free / 2);
        let connections = ((free - idle) / 2).min(self.memory_connections);
        (connections / self.threads).max(MIN_THREAD_CONNECTIONS)
    }
}

/// Returns the number of descriptors that the system allows this process.
fn system_max_fds() -> Option<usize> {
    let limits = std::fs::read_to_string(SYSTEM_LIMITS).ok()?;
    let line = limits.lines().find_map(|line| line.strip_prefix("Max open files"))?;
    line.split_whitespace().next()?.parse().ok()
}
