//! Claims of at-most-once requests: the controller that keeps them in the store, and the handle
//! that traffic threads use.
//!
//! The controller runs on the control thread and owns the [`ClaimCoordinator`]. Traffic threads
//! send it messages through a [`ClaimsHandle`]. They hold a guard while a request runs, so that
//! exactly one outcome is reported for each request, even when its task is dropped.
//!
//! [`ClaimCoordinator`]: ibiscroft_core::claims::ClaimCoordinator

mod controller;
mod guard;
mod handle;
mod metrics;
mod page_store;
mod retirement;

pub use controller::ClaimsController;
pub use guard::{ConfirmedClaim, SentRequest};
pub use handle::{ClaimRequest, ClaimsHandle, Decision};
pub use metrics::ClaimMetrics;
pub use retirement::Retirer;
pub(crate) use retirement::decode_retired_slots;
