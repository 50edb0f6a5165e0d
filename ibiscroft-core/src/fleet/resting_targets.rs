//! Targets that asked a gateway to send nothing for some time.

use std::collections::HashMap;
use std::time::Duration;

use super::target::{Incarnation, Target};
use crate::Tick;
use crate::ids::TargetName;

/// Longest rest that a target may ask for. A target that needs longer asks again with the first
/// request after it.
pub const MAX_REST: Duration = Duration::from_secs(300);

/// The rest of one run of a target.
#[derive(Clone, Copy, Debug)]
struct Rest {
    incarnation: Incarnation,
    until: Tick,
}

/// Targets that turned a request of this gateway away and asked it to send nothing for some time:
/// neither requests nor probes.
///
/// A rest applies to one run of a target; the next run may be used at once.
#[derive(Clone, Debug, Default)]
pub struct RestingTargets {
    rests: HashMap<TargetName, Rest>,
}

impl RestingTargets {
    /// Records that `target` asked for a rest of `duration`, at most [`MAX_REST`]; returns when it
    /// ends.
    ///
    /// A rest that a target asked for earlier and that ends later remains in force.
    pub fn note(&mut self, now: Tick, target: &Target, duration: Duration) -> Tick {
        let until = now + duration.min(MAX_REST);
        let rest = Rest { incarnation: target.incarnation, until };
        let known = self.rests.entry(target.name.clone()).or_insert(rest);
        if known.incarnation < rest.incarnation || known.until <= now {
            *known = rest;
        } else if known.incarnation == rest.incarnation {
            known.until = known.until.max(until);
        }
        known.until
    }

    /// Returns when the rest of `target` ends, `None` if requests may be sent to it.
    #[must_use]
    pub fn until(&self, now: Tick, target: &Target) -> Option<Tick> {
        let rest = self.rests.get(&target.name)?;
        (target.incarnation <= rest.incarnation && now < rest.until).then_some(rest.until)
    }

    /// Returns the number of targets that are resting.
    #[must_use]
    pub fn count(&self, now: Tick) -> usize {
        self.rests.values().filter(|rest| now < rest.until).count()
    }

    /// Removes rests that have ended.
    pub fn expire(&mut self, now: Tick) {
        self.rests.retain(|_, rest| now < rest.until);
    }
}
