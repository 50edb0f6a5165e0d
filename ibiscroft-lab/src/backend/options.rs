//! Options of a backend server.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use super::noise::NoiseOptions;

/// What a request with the crash header does.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CrashMode {
    /// Ends the process with [`BackendOptions::CRASH_EXIT_CODE`].
    Exit,
    /// Closes every connection and begins a new run.
    Restart,
}

/// Options of a backend server.
#[derive(Clone, Debug)]
pub struct BackendOptions {
    /// Address for requests.
    pub listen: SocketAddr,
    /// Address for control and counters.
    pub admin: SocketAddr,
    /// Name in answers.
    pub name: String,
    /// Requests that run at once.
    pub slots: usize,
    /// Requests that wait for a slot; more are refused.
    pub queue: usize,
    /// Requests at once that it bears while cold.
    pub cold_capacity: usize,
    /// Time with traffic until it is warm; zero starts it warm.
    pub warm_up: Duration,
    /// One-way delay from callers, added to each request and each answer.
    pub zone_delay: Duration,
    /// Age that `/load` may have.
    pub load_lag: Duration,
    /// Work of a request that names none.
    pub default_work: Duration,
    /// Random slowdowns.
    pub noise: NoiseOptions,
    /// Seed of the random slowdowns.
    pub seed: u64,
    /// What a request with the crash header does.
    pub crash: CrashMode,
    /// File that records each execution as a JSON line, so that it outlives the process.
    pub journal: Option<PathBuf>,
}

impl BackendOptions {
    /// Exit code after a request with the crash header.
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
