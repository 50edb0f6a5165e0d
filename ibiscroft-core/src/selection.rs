//! Selection of a target for a request.
//!
//! The control thread builds an immutable [`Pool`] for each service and publishes it; traffic
//! threads select from it. State that changes with each request is kept in the atomics of
//! [`TargetLoad`], which outlives the pools. A selection allocates nothing and takes no lock.
//!
//! ```
//! use ibiscroft_core::Tick;
//! use ibiscroft_core::config::Target;
//! use ibiscroft_core::ids::{Connections, Slots, TargetName, ZoneName};
//! use ibiscroft_core::selection::{
//!     AttemptedTargets, Candidate, Eligibility, LoadTable, Pool, Selection, Selector, TwoChoices,
//! };
//! use rand::SeedableRng;
//! use rand::rngs::SmallRng;
//!
//! let mut loads = LoadTable::default();
//! let target = Target {
//!     name: TargetName::new("register-1"),
//!     address: "127.0.0.1:8080".parse().unwrap(),
//!     zone: ZoneName::new("a"),
//!     slots: Slots(6),
//!     connections: Connections(200),
//! };
//! let load = loads.entry(&target.name);
//! let candidate = Candidate { target, eligibility: Eligibility::Warm, load };
//! let pool = Pool::new(&ZoneName::new("a"), vec![candidate]);
//!
//! let mut rng = SmallRng::seed_from_u64(1);
//! let mut attempted = AttemptedTargets::default();
//! let now = Tick::ZERO;
//! let selector = TwoChoices::default();
//! let Selection::Warm(index) = selector.select(&pool, &attempted, now, &mut rng) else {
//!     panic!("the only target is warm");
//! };
//! let in_flight = pool.candidate(index).load.begin_request();
//! // The request is sent here. The target sheds it:
//! in_flight.end_shed(now);
//! attempted.insert(index);
//! let next = selector.select(&pool, &attempted, now, &mut rng);
//! assert_eq!(next, Selection::Exhausted);
//! ```

mod attempted_targets;
mod baseline;
mod load;
mod pool;
mod subset;
mod two_choices;

pub use attempted_targets::{AttemptedTargets, MAX_RETRIES};
pub use baseline::{MetricWeighted, Random, ReportedTwoChoices, RoundRobin, smoothed_metric};
pub use load::{InFlight, LoadReport, LoadTable, TargetLoad};
pub use pool::{Candidate, Eligibility, Pool, TrialPlacement};
pub use subset::subset;
pub use two_choices::TwoChoices;

use rand::Rng;

use crate::{Tick, copy_data};

copy_data! {
    /// Outcome of a selection; indexes are positions in the [`Pool`].
    pub enum Selection {
        /// The request may be sent to this warm target.
        Warm(usize),
        /// Only cold targets are left; the request needs a permit to be sent to this one.
        Cold(usize),
        /// The request was sent to every eligible target, or has no attempts left.
        Exhausted,
        /// Eligible targets are left, but all of them are in a backoff.
        Unreachable,
        /// No target is eligible for new requests.
        Empty,
    }
}

/// A strategy to select a target for a request.
pub trait Selector {
    /// Selects among the candidates of `pool` that are not in `attempted`.
    fn select(
        &self,
        pool: &Pool,
        attempted: &AttemptedTargets,
        now: Tick,
        rng: &mut impl Rng,
    ) -> Selection;
}
