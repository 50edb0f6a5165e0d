//! The daemon of an entry instance in a fleet whose targets register themselves in a store.
//!
//! An adapter supplies two things: a [`Registry`], which reads and writes the store in the terms
//! of `ibiscroft_core::fleet`, and a [`Dialect`], which knows the header fields that callers and
//! targets speak. Everything else, decisions, state and recovery, is here and in the core.

mod clock;
mod daemon;
mod dialect;
mod exchange;
mod feed_hub;
mod feeder;
mod filters;
mod link;
mod link_pool;
mod log_sink;
mod membership;
mod mesh;
mod metrics;
mod registry;
mod reply;
mod server;
mod settings;
mod shared;
mod status_server;
mod stop;
mod suspects;

pub mod events;

pub use daemon::run;
pub use dialect::{Dialect, ProbeResponse, Refusal, RequestMetadata, ResponseMetadata};
pub use log_sink::start_log_writer;
pub use registry::{Lease, Registry, RegistryError};
pub use settings::{RetryBudgetSettings, Settings};
