//! The daemon on each entry instance, between callers and backend servers.

mod backend_client;
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
mod server;
mod service_admission;
mod shared;
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
