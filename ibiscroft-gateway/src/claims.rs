//! Claims on orders: the controller that keeps them in the store, and the handle for traffic.
//!
//! The controller runs on the control thread and owns the [`ClaimCoordinator`]. Traffic threads ask it
//! through a [`ClaimsHandle`] and hold a guard while an order runs, so that each order ends with
//! exactly one outcome even when its task is dropped.
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
pub(crate) use retirement::retired_slots;
