//! Stand-ins for the platform and for backend servers, load tool and demo of ibiscroft.
//!
//! Each stand-in runs as a process (`ibiscroft-lab store`, `ibiscroft-lab backend`) or inside a
//! test. Nothing here is shipped.

pub mod added_latency;
pub mod backend;
pub mod cli;
pub mod control_cost;
pub mod demo;
pub mod experiment;
pub mod judge;
pub mod load;
mod measured_fleet;
pub mod process;
pub mod scenario;
pub mod server;
pub mod store;
pub mod warm_up;
