//! What a backend server received and ran.

use serde::{Deserialize, Serialize};

/// Counters of a backend server since its start or the last reset.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct BackendCounters {
    /// Name of the server.
    pub name: String,
    /// Present run.
    pub run_id: String,
    /// Present state: `cold`, `warm` or `draining`.
    pub state: String,
    /// Requests that run now.
    pub running: usize,
    /// Requests that wait for a slot now.
    pub waiting: usize,
    /// Requests received, polls excluded.
    pub received: u64,
    /// Requests that began to run.
    pub ran: u64,
    /// Requests that ran to their end.
    pub finished: u64,
    /// Requests refused because slots and queue were full.
    pub shed: u64,
    /// Requests whose deadline passed before they ran.
    pub expired_waiting: u64,
    /// Requests whose deadline passed while they ran.
    pub expired_running: u64,
    /// Requests whose caller left before they ran.
    pub cancelled_waiting: u64,
    /// Requests whose caller left while they ran.
    pub cancelled_running: u64,
    /// Requests whose body did not arrive whole; they did not run.
    pub cut_bodies: u64,
    /// Most requests that ran at once.
    pub peak_running: usize,
    /// Idempotency keys that ran.
    pub keys_ran: usize,
    /// Idempotency keys that ran more than once.
    pub doubled: usize,
    /// Some of those keys.
    pub doubled_keys: Vec<String>,
    /// Times in cold start.
    pub times_cold: u64,
    /// Requests received while cold.
    pub cold_received: u64,
    /// Most requests at once while cold.
    pub cold_peak: usize,
    /// Requests received while cold above what the server bears.
    pub cold_violations: u64,
    /// Requests received after the server announced that it leaves.
    pub received_while_draining: u64,
    /// Time between the announcement and the last of them, in milliseconds.
    pub last_while_draining_ms: u64,
    /// Polls of `/load`.
    pub load_polls: u64,
    /// Polls of `/health`.
    pub health_polls: u64,
    /// Most polls in any second.
    pub peak_polls_per_second: usize,
    /// Connections accepted.
    pub connections_accepted: u64,
    /// Connections open now.
    pub connections_open: usize,
    /// Most connections open at once.
    pub connections_peak: usize,
    /// Restarts by a crash.
    pub crashes: u64,
}
