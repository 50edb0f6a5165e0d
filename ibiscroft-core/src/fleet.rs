//! What a gateway believes of a fleet whose targets register themselves in a shared store.
//!
//! Routes, services, evacuated zones, targets and gateways arrive as [`Change`]s; [`View`] is the
//! state that they add up to. The other parts decide on a request with such a view: where it may
//! go, which target is asked, whether another try may be spent on it.

mod change;
mod cold_target_limiter;
mod configuration;
mod fleet_size;
mod health;
mod hint;
mod hold;
mod probe;
mod probe_budget;
mod relay;
mod retry_after;
mod retry_window;
mod route;
mod saturation_slowdown;
mod source_selector;
mod store_backoff;
mod target;
mod traffic_split;
mod update_history;
mod view;

pub use change::{Change, Revision, Update};
pub use cold_target_limiter::{ColdTargetLimiter, ColdTargetQuota};
pub use configuration::{CallerLimits, Configuration, ServicePolicy};
pub use fleet_size::{FleetSize, FleetSizeDebounce};
pub use health::{AttemptOutcome, TargetHealth};
pub use hint::{FollowerMessage, Hint};
pub use hold::Hold;
pub use probe::{MAX_PROBE_ROUNDS, ProbeDecision, ProbeReport, ProbeSelection};
pub use probe_budget::ProbeBudget;
pub use relay::Relay;
pub use retry_after::ExpectedCapacity;
pub use retry_window::{RetryLimits, RetryWindow};
pub use route::{Repeatable, Route, Share};
pub use saturation_slowdown::SaturationSlowdown;
pub use source_selector::{Source, SourceSelector};
pub use store_backoff::StoreBackoff;
pub use target::{GatewayCapacity, GatewayCount, Incarnation, Member, Target, TargetState};
pub use traffic_split::TrafficSplit;
pub use update_history::UpdateHistory;
pub use view::View;
