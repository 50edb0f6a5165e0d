//! Order of the requests of a service by their priority.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::{Tick, copy_data};

/// Time for which a priority counts as present after a request with it.
const RETENTION: Duration = Duration::from_secs(5);

copy_data! {
    /// Priority of a request: that of its organisation goes before that of its route. Lower values
    /// are more urgent.
    #[derive(PartialOrd, Ord)]
    pub struct Rank {
        /// Priority of the organisation, or of the route if the organisation has none.
        pub organisation: u32,
        /// Priority of the route.
        pub route: u32,
    }
}

copy_data! {
    /// How a request compares with the other recent requests of its service.
    pub enum Standing {
        /// All have the same priority.
        Equal,
        /// Some are less urgent, none is more urgent.
        MostUrgent,
        /// Some are more urgent.
        LessUrgent,
    }
}

/// Priorities of the recent requests of one service.
#[derive(Clone, Debug, Default)]
pub struct RecentRanks {
    seen: BTreeMap<Rank, Tick>,
}

impl RecentRanks {
    /// Records a request and returns how it compares with the others.
    pub fn note(&mut self, now: Tick, rank: Rank) -> Standing {
        self.seen.insert(rank, now);
        self.seen.retain(|_, at| now.since(*at) < RETENTION);
        let is_most_urgent = self.seen.first_key_value().is_some_and(|(first, _)| *first == rank);
        match (is_most_urgent, self.seen.len()) {
            (true, 1) => Standing::Equal,
            (true, _) => Standing::MostUrgent,
            (false, _) => Standing::LessUrgent,
        }
    }
}
