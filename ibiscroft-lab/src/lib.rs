//! Stand-ins for the platform and for backend servers, load generator, measurements and demo.
//!
//! A stand-in runs as a process (`ibiscroft-lab store`, `ibiscroft-lab backend`) or inside a test.
//! This crate is for development only and is not part of a release.

pub mod added_latency;
pub mod audit;
pub mod backend;
pub mod cli;
pub mod control_cost;
pub mod demo;
pub mod experiment;
pub mod load;
mod measured_fleet;
pub mod process;
pub mod scenario;
pub mod server;
pub mod store;
pub mod warm_up;
