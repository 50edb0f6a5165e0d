//! The gateway: the daemon on each entry instance, which forwards callers' requests to backend
//! servers.
//!
//! One control thread owns the state of the gateway and publishes snapshots of it. Several traffic
//! threads serve callers by the latest snapshot.

mod backend_client;
mod body_budget;
mod caller_bounds;
mod caller_limits;
mod clock;
mod connect_guard;
mod control;
mod controllers;
mod daemon;
mod exchange;
mod filters;
mod instance_watch;
mod liveness_connection;
mod metrics;
mod observation;
mod operator_server;
mod peer_link;
mod permits;
mod problem;
mod response_flow;
mod server;
mod service_admission;
mod shared;
mod shortage;
mod snapshot;
mod stop_signals;
mod store_watch;
mod traffic;
mod validity;

pub mod claims;
pub mod events;
pub mod settings;

pub use clock::Clock;
pub use daemon::run;
pub use settings::Settings;
