//! Selects a target for a request.
//!
//! Control builds an immutable [`Pool`] for each service and publishes it; traffic threads
//! select from it. What changes with each request stands in atomics of [`TargetLoad`], which
//! outlives the pools. A selection allocates nothing and takes no lock.
//!
//! ```
//! use ibiscroft_core::Tick;
//! use ibiscroft_core::config::Target;
//! use ibiscroft_core::ids::{Connections, Slots, TargetName, ZoneName};
//! use ibiscroft_core::selection::{
//!     Candidate, Eligibility, LoadTable, Pool, Selection, Selector, AttemptedTargets, TwoChoices,
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
//! let mut tried = AttemptedTargets::default();
//! let now = Tick::ZERO;
//! let Selection::Warm(index) = TwoChoices::default().select(&pool, &tried, now, &mut rng) else {
//!     panic!("the only target is warm");
//! };
//! let in_flight = pool.candidate(index).load.begin();
//! // Send the request. The target refused it:
//! in_flight.end_shed(now);
//! tried.insert(index);
//! let next = TwoChoices::default().select(&pool, &tried, now, &mut rng);
//! assert_eq!(next, Selection::Exhausted);
//! ```

mod baseline;
mod load;
mod pool;
mod subset;
mod tried;
mod two_choices;

pub use baseline::{MetricWeighted, Random, ReportedTwoChoices, RoundRobin, smoothed_metric};
pub use load::{InFlight, LoadReport, LoadTable, TargetLoad};
pub use pool::{Candidate, Eligibility, Pool, TrialPlacement};
pub use subset::subset;
pub use tried::{AttemptedTargets, MAX_MOVES};
pub use two_choices::TwoChoices;

use rand::Rng;

use crate::{Tick, copy_data};

copy_data! {
    /// Outcome of a selection; indexes are positions in the [`Pool`].
    pub enum Selection {
        /// The request may be sent to this target.
        Warm(usize),
        /// Only cold targets are left; the request needs a permit for this one.
        Cold(usize),
        /// The request was offered to every target it may be offered to.
        Exhausted,
        /// Targets exist, and each of them is waiting out a backoff.
        Unreachable,
        /// No target may receive new requests.
        Empty,
    }
}

/// A way to select a target for a request.
pub trait Selector {
    /// Selects among the candidates of `pool` that are not in `tried`.
    fn select(
        &self,
        pool: &Pool,
        tried: &AttemptedTargets,
        now: Tick,
        rng: &mut impl Rng,
    ) -> Selection;
}
