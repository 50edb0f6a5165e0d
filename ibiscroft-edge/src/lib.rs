//! The gateway daemon for a fleet whose targets register themselves in a shared store.
//!
//! The daemon accepts requests from callers, selects a target for each and forwards it. The
//! crate itself knows neither the store's protocol nor the header fields that callers and targets
//! use: an adapter supplies a [`Registry`], which reads and writes the store in the types of
//! `ibiscroft_core::fleet`, and a [`Dialect`], which parses and sets the header fields.
//!
//! The traffic thread serves callers. The control thread keeps the
//! [view](ibiscroft_core::fleet::View) of the fleet up to date, from the store or from another
//! gateway, and passes updates on to the gateways that follow this one. A third thread writes the
//! log.

mod byte_budget;
mod caller_bounds;
mod clock;
mod connection;
mod connection_pool;
mod daemon;
mod dialect;
mod exchange;
mod feed_hub;
mod feeder;
mod filters;
mod log_sink;
mod membership;
mod mesh;
mod metrics;
mod quotas;
mod registry;
mod reply;
mod segments;
mod server;
mod settings;
mod shared;
mod signals;
mod status_server;
mod suspects;
mod target_health;

pub mod events;

pub use daemon::run;
pub use dialect::{
    Credential, Dialect, ProbeResponse, Refusal, RequestMetadata, ResponseMetadata, TargetWish,
};
pub use log_sink::start_log_writer;
pub use registry::{Lease, ListingSample, Registry, RegistryError};
pub use settings::{QuotaSettings, RetryBudgetSettings, Settings};
