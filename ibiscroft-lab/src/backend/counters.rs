//! Counters of a backend server.

use serde::{Deserialize, Serialize};

/// Counters of a backend server since its start or the last reset.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct BackendCounters {
    /// Name of the server.
    pub name: String,
    /// Id of the current run.
    pub run_id: String,
    /// Announced state: `cold`, `warm` or `draining`.
    pub state: String,
    /// Requests running now.
    pub running: usize,
    /// Requests waiting for a slot now.
    pub waiting: usize,
    /// Requests received, polls excluded.
    pub received: u64,
    /// Requests that started to run.
    pub ran: u64,
    /// Requests that ran to completion.
    pub finished: u64,
    /// Requests refused because all slots and the queue were full.
    pub shed: u64,
    /// Requests whose deadline passed while they waited.
    pub expired_waiting: u64,
    /// Requests whose deadline passed while they ran.
    pub expired_running: u64,
    /// Requests whose caller disconnected while they waited.
    pub cancelled_waiting: u64,
    /// Requests whose caller disconnected while they ran.
    pub cancelled_running: u64,
    /// Requests whose body was cut off; they did not run.
    pub cut_bodies: u64,
    /// Highest number of requests that ran concurrently.
    pub peak_running: usize,
    /// Number of distinct idempotency keys of executed requests.
    pub keys_ran: usize,
    /// Number of idempotency keys that were executed more than once.
    pub doubled: usize,
    /// The first of those keys, at most 20.
    pub doubled_keys: Vec<String>,
    /// How many times the server has been cold.
    pub times_cold: u64,
    /// Requests received while cold.
    pub cold_received: u64,
    /// Highest number of concurrent requests while cold.
    pub cold_peak: usize,
    /// Requests received while cold that exceeded the cold capacity.
    pub cold_violations: u64,
    /// Requests received after the server announced that it is draining.
    pub received_while_draining: u64,
    /// Time between the announcement and the last of them, in milliseconds.
    pub last_while_draining_ms: u64,
    /// Polls of `/load`.
    pub load_polls: u64,
    /// Polls of `/health`.
    pub health_polls: u64,
    /// Highest number of polls within one second.
    pub peak_polls_per_second: usize,
    /// Connections accepted.
    pub connections_accepted: u64,
    /// Connections open now.
    pub connections_open: usize,
    /// Highest number of connections open at the same time.
    pub connections_peak: usize,
    /// Crashes that restarted the server within its process.
    pub crashes: u64,
}
