//! Keeps measuring requests within their budget.
//!
//! Traffic measures the targets it reaches. The others are polled by one gateway, the owner
//! by rendezvous among the roster, and the owner tells its peers what it found. The budget
//! of a target holds for all gateways together: at most ten seconds' worth in any
//! [`BUDGET_WINDOW`], whatever gateways are paused, cut off or disagree on the roster.
//!
//! ```
//! use std::time::Duration;
//!
//! use ibiscroft_core::Tick;
//! use ibiscroft_core::ids::{InstanceName, PerSecond, TargetName};
//! use ibiscroft_core::measuring::{HANDOVER, PollScheduler, PollOwnership};
//!
//! let me = InstanceName::new("gw-1");
//! let mut ownership = PollOwnership::new(me.clone());
//! let target = TargetName::new("register-1");
//! let mut scheduler = PollScheduler::new(PerSecond(20));
//! scheduler.set_targets(Tick::ZERO, [(target.clone(), PerSecond(1))]);
//!
//! let mut now = Tick::ZERO;
//! let mut first = None;
//! while first.is_none() {
//!     ownership.confirm(now, vec![me.clone()]);
//!     first = scheduler.next_poll(now, &mut ownership);
//!     now = now + Duration::from_millis(100);
//! }
//! assert_eq!(first, Some(target));
//! assert!(now.since(Tick::ZERO) > HANDOVER);
//! ```

mod ownership;
mod polls;

pub use ownership::{HANDOVER, PollOwnership, VIEW_VALID};
pub use polls::{BUDGET_WINDOW, POLL_TIMEOUT, PollCounters, PollScheduler};
