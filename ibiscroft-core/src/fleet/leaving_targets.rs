//! Targets that announced in a response that they are leaving.

use std::collections::HashMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::target::{Incarnation, Target};
use crate::ids::TargetName;
use crate::{Tick, data};

/// Time for which an announcement is kept while the target is not registered. An outdated listing
/// or a registration that lapsed with an outage of the store may bring the entry back within it.
const UNREGISTERED_RETENTION: Duration = Duration::from_secs(60);

data! {
    /// Announcement of a target that it is leaving.
    #[derive(Serialize, Deserialize)]
    pub struct Departure {
        /// Name of the target.
        pub target: TargetName,
        /// Run of the target that is leaving.
        pub incarnation: Incarnation,
    }
}

impl Departure {
    /// Returns the announcement of the run that `target` is registered with.
    #[must_use]
    pub fn of(target: &Target) -> Self {
        Self { target: target.name.clone(), incarnation: target.incarnation }
    }
}

/// An announcement and when its target was last registered.
#[derive(Clone, Copy, Debug)]
struct Entry {
    incarnation: Incarnation,
    registered_at: Tick,
}

/// Targets that announced that they are leaving, by this gateway's own responses or those of
/// others.
///
/// An announcement applies to one run of a target. It outlives every registration of this run, also
/// one that still reports the target as ready, and ends with the start of the next run.
#[derive(Clone, Debug, Default)]
pub struct LeavingTargets {
    entries: HashMap<TargetName, Entry>,
}

impl LeavingTargets {
    /// Records an announcement; returns whether it is new.
    ///
    /// An announcement of a run before the latest known one has no effect.
    pub fn note(&mut self, now: Tick, departure: &Departure) -> bool {
        let Departure { target, incarnation } = departure;
        if self.entries.get(target).is_some_and(|known| known.incarnation >= *incarnation) {
            return false;
        }
        let entry = Entry { incarnation: *incarnation, registered_at: now };
        self.entries.insert(target.clone(), entry);
        true
    }

    /// Returns whether the run that `target` is registered with, or a later one, is leaving.
    #[must_use]
    pub fn contains(&self, target: &Target) -> bool {
        let entry = self.entries.get(&target.name);
        entry.is_some_and(|entry| target.incarnation <= entry.incarnation)
    }

    /// Returns all announcements, for a gateway that may have missed some.
    pub fn departures(&self) -> impl Iterator<Item = Departure> + '_ {
        self.entries.iter().map(|(target, entry)| Departure {
            target: target.clone(),
            incarnation: entry.incarnation,
        })
    }

    /// Removes announcements of targets that have not been registered for a while.
    pub fn expire(&mut self, now: Tick, is_registered: impl Fn(&TargetName) -> bool) {
        self.entries.retain(|name, entry| {
            if is_registered(name) {
                entry.registered_at = now;
            }
            now.since(entry.registered_at) < UNREGISTERED_RETENTION
        });
    }
}
