//! Immutable snapshot of the targets of one service, grouped for selection.

use std::sync::Arc;

use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::load::TargetLoad;
use crate::config::Target;
use crate::copy_data;
use crate::ids::{TargetName, ZoneName};

copy_data! {
    /// Whether a target may receive new requests.
    pub enum Eligibility {
        /// The target may receive requests.
        Warm,
        /// The target may receive a request only with a permit, as it is in warm-up.
        Cold,
        /// The target receives none, as an operator evacuated its availability zone.
        ZoneOut,
        /// The target receives none, as it is about to stop.
        Leaving,
    }
}

copy_data! {
    /// Selects a target for a trial of a suspect request, see [`crate::quarantine`].
    ///
    /// The suspects of one ended run should not be sent to the same target, so each gets a target
    /// of its own while there are enough.
    #[derive(Default)]
    pub struct TrialPlacement {
        /// Seed of the order of the targets. All gateways use the same seed for the suspects
        /// of one ended run.
        pub seed: u64,
        /// Key of the target whose run ended, see [`TrialPlacement::target_key`]. It
        /// receives no trials.
        pub excluded_target: u64,
        /// Position of the request among those that were in flight when the run ended.
        pub position: usize,
    }
}

impl TrialPlacement {
    /// Returns the hash that identifies `target` in [`TrialPlacement::excluded_target`].
    #[must_use]
    pub fn target_key(target: &TargetName) -> u64 {
        xxh3_64_with_seed(target.as_str().as_bytes(), 0)
    }
}

/// A target of a service with its state at this gateway.
#[derive(Clone, Debug)]
pub struct Candidate {
    /// The target as configured.
    pub target: Target,
    /// Whether it may receive new requests.
    pub eligibility: Eligibility,
    /// Its load, shared with earlier and later snapshots of the service.
    pub load: Arc<TargetLoad>,
}

/// Candidates of one service, grouped for selection.
///
/// The groups hold indexes into [`Pool::candidates`].
#[derive(Clone, Debug, Default)]
pub struct Pool {
    candidates: Vec<Candidate>,
    same_zone: Vec<usize>,
    other_zones: Vec<usize>,
    warm: Vec<usize>,
    cold: Vec<usize>,
}

impl Pool {
    /// Groups `candidates` for a gateway in availability zone `zone`.
    #[must_use]
    pub fn new(zone: &ZoneName, candidates: Vec<Candidate>) -> Self {
        let mut pool = Self::default();
        for (index, candidate) in candidates.iter().enumerate() {
            match candidate.eligibility {
                Eligibility::Warm => pool.insert_warm(index, candidate.target.zone == *zone),
                Eligibility::Cold => pool.cold.push(index),
                Eligibility::ZoneOut | Eligibility::Leaving => {}
            }
        }
        pool.candidates = candidates;
        pool
    }

    /// Returns the candidate at `index`.
    ///
    /// # Panics
    ///
    /// Panics when `index` is out of bounds. An index that a [`Selector`](super::Selector)
    /// returned for this pool is valid.
    #[must_use]
    pub fn candidate(&self, index: usize) -> &Candidate {
        &self.candidates[index]
    }

    /// Returns all candidates, those that are not eligible included.
    #[must_use]
    pub fn candidates(&self) -> &[Candidate] {
        &self.candidates
    }

    /// Returns the total number of slots of all warm candidates.
    #[must_use]
    pub fn warm_slots(&self) -> u32 {
        self.warm.iter().map(|index| self.candidates[*index].target.slots.get()).sum()
    }

    /// Returns the indexes of the warm candidates in the gateway's own availability zone.
    #[must_use]
    pub fn same_zone(&self) -> &[usize] {
        &self.same_zone
    }

    /// Returns the indexes of the warm candidates in other availability zones.
    #[must_use]
    pub fn other_zones(&self) -> &[usize] {
        &self.other_zones
    }

    /// Returns the indexes of all warm candidates, in ascending order.
    #[must_use]
    pub fn warm(&self) -> &[usize] {
        &self.warm
    }

    /// Returns the indexes of the cold candidates.
    #[must_use]
    pub fn cold(&self) -> &[usize] {
        &self.cold
    }

    /// Returns the index of the warm candidate for a trial at `placement`.
    ///
    /// The suspects of one ended run get different candidates while there are enough. The
    /// suspect of a candidate that is not warm gets the next warm one; the candidates of the
    /// other suspects do not change.
    #[must_use]
    pub fn trial_target(&self, placement: TrialPlacement) -> Option<usize> {
        let sort_key = |index: usize| {
            let name = self.candidates[index].target.name.as_str();
            (xxh3_64_with_seed(name.as_bytes(), placement.seed), index)
        };
        let is_excluded = |index: &usize| {
            TrialPlacement::target_key(&self.candidates[*index].target.name)
                == placement.excluded_target
        };
        let mut sorted: Vec<(u64, usize)> =
            (0..self.candidates.len()).filter(|index| !is_excluded(index)).map(sort_key).collect();
        sorted.sort_unstable();
        let start = placement.position.checked_rem(sorted.len())?;
        let (before, after) = sorted.split_at(start);
        let is_warm = |index: &usize| self.candidates[*index].eligibility == Eligibility::Warm;
        after.iter().chain(before).map(|(_, index)| *index).find(is_warm)
    }

    fn insert_warm(&mut self, index: usize, is_same_zone: bool) {
        self.warm.push(index);
        if is_same_zone {
            self.same_zone.push(index);
        } else {
            self.other_zones.push(index);
        }
    }
}
