//! Options of a backend server.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use super::noise::NoiseOptions;

/// Effect of a crash.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CrashMode {
    /// Ends the process with [`BackendOptions::CRASH_EXIT_CODE`].
    Exit,
    /// Closes every connection and starts a new run within the process.
    Restart,
}

/// Options of a backend server.
#[derive(Clone, Debug)]
pub struct BackendOptions {
    /// Address for requests.
    pub listen: SocketAddr,
    /// Address of the admin listener, for control and counters.
    pub admin: SocketAddr,
    /// Name in the counters.
    pub name: String,
    /// Number of requests that run concurrently.
    pub slots: usize,
    /// Number of requests that may wait for a slot; further requests are refused.
    pub queue: usize,
    /// Number of concurrent requests that the server can take while it is cold.
    pub cold_capacity: usize,
    /// Time from the first request until the server is warm; it starts warm if this is zero.
    pub warm_up: Duration,
    /// One-way network delay from callers, simulated for each request and each response.
    pub zone_delay: Duration,
    /// Maximum age of the load that `/load` returns.
    pub load_lag: Duration,
    /// Work of a request that sets none.
    pub default_work: Duration,
    /// Random slowdowns.
    pub noise: NoiseOptions,
    /// Seed of the random slowdowns.
    pub seed: u64,
    /// Effect of a crash, caused by the crash header or an injected fault.
    pub crash: CrashMode,
    /// File to which each execution is appended, readable after the process was killed.
    pub journal: Option<PathBuf>,
}

impl BackendOptions {
    /// Exit code of the process after a crash: that of a process killed by SIGKILL (128 + 9).
    pub const CRASH_EXIT_CODE: i32 = 137;
}

impl Default for BackendOptions {
    fn default() -> Self {
        let any_port = SocketAddr::from(([127, 0, 0, 1], 0));
        Self {
            listen: any_port,
            admin: any_port,
            name: "backend".to_string(),
            slots: 6,
            queue: 3,
            cold_capacity: 2,
            warm_up: Duration::ZERO,
            zone_delay: Duration::ZERO,
            load_lag: Duration::ZERO,
            default_work: Duration::ZERO,
            noise: NoiseOptions::default(),
            seed: 1,
            crash: CrashMode::Restart,
            journal: None,
        }
    }
}
