//! Schedules polls of targets within their poll budget.
//!
//! Calls show the state of the targets that they reach. Each other target is polled by one gateway,
//! its owner in the rendezvous order of the roster, which publishes the results to its peers. The
//! budget of a target, in polls per second, applies to all gateways together: in any
//! [`BUDGET_WINDOW`], the target receives at most as many polls as the budget allows for that time,
//! even if gateways are paused, cut off or disagree on the roster.
//!
//! ```
//! use std::time::Duration;
//!
//! use ibiscroft_core::Tick;
//! use ibiscroft_core::ids::{InstanceName, PerSecond, TargetName};
//! use ibiscroft_core::polling::{HANDOVER_DELAY, PollOwnership, PollScheduler};
//!
//! let own = InstanceName::new("gw-1");
//! let mut ownership = PollOwnership::new(own.clone());
//! let target = TargetName::new("register-1");
//! let mut scheduler = PollScheduler::new(PerSecond(20));
//! scheduler.set_targets(Tick::ZERO, [(target.clone(), PerSecond(1))]);
//!
//! let mut now = Tick::ZERO;
//! let mut polled = None;
//! while polled.is_none() {
//!     ownership.confirm(now, vec![own.clone()]);
//!     polled = scheduler.next_poll(now, &mut ownership);
//!     now = now + Duration::from_millis(100);
//! }
//! assert_eq!(polled, Some(target));
//! assert!(now.since(Tick::ZERO) > HANDOVER_DELAY);
//! ```

mod ownership;
mod polls;

pub use ownership::{HANDOVER_DELAY, PollOwnership, VIEW_VALIDITY};
pub use polls::{BUDGET_WINDOW, POLL_TIMEOUT, PollCounters, PollScheduler};
