//! A gateway's view of a fleet whose targets register themselves in a shared store, and the
//! decisions based on it.
//!
//! Routes, services, evacuated zones, targets and gateways arrive as [`Change`]s; a [`View`]
//! holds the state that results from them. The other types use a view to decide about a request:
//! which service it goes to, which targets are probed and selected, and whether another attempt is
//! within the retry budget.

mod byte_account;
mod change;
mod cold_target_limiter;
mod configuration;
pub mod configuration_check;
mod connection_reuse;
mod departed_targets;
mod fleet_size;
mod health;
mod hint;
mod hold;
mod leaving_targets;
mod organisation;
mod priority;
mod probe;
mod probe_budget;
mod quota;
mod relay;
mod resting_targets;
mod retry_after;
mod retry_window;
mod route;
mod saturation_slowdown;
mod shared_health;
mod source_monitor;
mod source_selector;
mod stop_schedule;
mod store_backoff;
mod target;
mod traffic_split;
mod update_history;
mod view;

pub use byte_account::{ByteAccount, ByteShare, HolderId, Reservation, STALL_TIME};
pub use change::{Change, Era, Position, Revision, Update};
pub use cold_target_limiter::{ColdTargetLimiter, ColdTargetQuota};
pub use configuration::{CallerLimits, Configuration, ServicePolicy};
pub use connection_reuse::{new_connections, probe_order};
pub use fleet_size::{FleetSize, FleetSizeDebounce};
pub use health::{AttemptOutcome, TargetHealth};
pub use hint::{FollowerMessage, Hint};
pub use hold::Hold;
pub use leaving_targets::{Departure, LeavingTargets};
pub use organisation::{KeyDigest, OrganisationPolicy, Organisations, Quota};
pub use priority::{Rank, RecentRanks, Standing};
pub use probe::{MAX_PROBE_ROUNDS, ProbeDecision, ProbeReport, ProbeSelection};
pub use probe_budget::ProbeBudget;
pub use quota::{
    Demand, LimitedOrganisation, QuotaDecision, QuotaGate, QuotaLedger, QuotaNotice, QuotaReport,
    QuotaStatus, QuotaTolerance,
};
pub use relay::Relay;
pub use resting_targets::{MAX_REST, RestingTargets};
pub use retry_after::{ExpectedCapacity, retry_after_rest};
pub use retry_window::{RetryLimits, RetryWindow};
pub use route::{Repeatable, Route, Share};
pub use saturation_slowdown::SaturationSlowdown;
pub use shared_health::{FindingOrigin, HealthMessages, SharedHealth, TargetFinding};
pub use source_monitor::{SourceCheck, SourceMonitor};
pub use source_selector::{Source, SourceSelector};
pub use stop_schedule::StopSchedule;
pub use store_backoff::{StoreBackoff, StoreCall, StoreCaller};
pub use target::{GatewayCapacity, GatewayCount, Incarnation, Member, Target, TargetState};
pub use traffic_split::TrafficSplit;
pub use update_history::UpdateHistory;
pub use view::View;
