//! The candidates of one service in an immutable snapshot.

use std::sync::Arc;

use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::load::TargetLoad;
use crate::config::Target;
use crate::copy_data;
use crate::ids::{TargetName, ZoneName};

copy_data! {
    /// Whether a target may receive new requests.
    pub enum Eligibility {
        /// It may receive requests.
        Warm,
        /// It may receive a request only with a permit.
        Cold,
        /// Its availability zone is out.
        ZoneOut,
        /// It is leaving.
        Leaving,
    }
}

copy_data! {
    /// Where a request is tried that must not meet others of its kind, see
    /// [`crate::quarantine`].
    #[derive(Default)]
    pub struct TrialPlacement {
        /// Orders the targets; the same for all requests that must not meet, at each gateway.
        pub seed: u64,
        /// Key of the target where they met, which has no place.
        pub excluded_target: u64,
        /// Position among the requests that must not meet.
        pub position: usize,
    }
}

impl TrialPlacement {
    /// Returns the key of a target.
    #[must_use]
    pub fn target_key(target: &TargetName) -> u64 {
        xxh3_64_with_seed(target.as_str().as_bytes(), 0)
    }
}

/// A target of a service with its state.
#[derive(Clone, Debug)]
pub struct Candidate {
    /// The target as configured.
    pub target: Target,
    /// Whether it may receive new requests.
    pub eligibility: Eligibility,
    /// Its load, shared with earlier and later pools.
    pub load: Arc<TargetLoad>,
}

/// Candidates of one service, grouped for selection.
#[derive(Clone, Debug, Default)]
pub struct Pool {
    candidates: Vec<Candidate>,
    near: Vec<usize>,
    far: Vec<usize>,
    warm: Vec<usize>,
    cold: Vec<usize>,
}

impl Pool {
    /// Groups `candidates` as seen from availability zone `zone`.
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
    /// Panics when `index` does not come from a selection among this pool.
    #[must_use]
    pub fn candidate(&self, index: usize) -> &Candidate {
        &self.candidates[index]
    }

    /// Returns all candidates.
    #[must_use]
    pub fn candidates(&self) -> &[Candidate] {
        &self.candidates
    }

    /// Returns the slots of all targets that may receive requests without a permit.
    #[must_use]
    pub fn warm_slots(&self) -> u32 {
        self.warm.iter().map(|index| self.candidates[*index].target.slots.get()).sum()
    }

    /// Returns warm candidates in the gateway's own availability zone.
    #[must_use]
    pub fn near(&self) -> &[usize] {
        &self.near
    }

    /// Returns warm candidates in other availability zones.
    #[must_use]
    pub fn far(&self) -> &[usize] {
        &self.far
    }

    /// Returns all warm candidates.
    #[must_use]
    pub fn warm(&self) -> &[usize] {
        &self.warm
    }

    /// Returns cold candidates.
    #[must_use]
    pub fn cold(&self) -> &[usize] {
        &self.cold
    }

    /// Returns the warm candidate at `place`.
    ///
    /// Suspects of one loss get different candidates while there are enough. A candidate that
    /// is not warm leaves its place to the next one and moves no other.
    #[must_use]
    pub fn trial_target(&self, place: TrialPlacement) -> Option<usize> {
        let rank = |index: usize| {
            let name = self.candidates[index].target.name.as_str();
            (xxh3_64_with_seed(name.as_bytes(), place.seed), index)
        };
        let is_excluded = |index: &usize| {
            TrialPlacement::target_key(&self.candidates[*index].target.name)
                == place.excluded_target
        };
        let mut ranks: Vec<(u64, usize)> =
            (0..self.candidates.len()).filter(|index| !is_excluded(index)).map(rank).collect();
        ranks.sort_unstable();
        let start = place.position.checked_rem(ranks.len())?;
        let (before, after) = ranks.split_at(start);
        let is_warm = |index: &usize| self.candidates[*index].eligibility == Eligibility::Warm;
        after.iter().chain(before).map(|(_, index)| *index).find(is_warm)
    }

    fn insert_warm(&mut self, index: usize, is_near: bool) {
        self.warm.push(index);
        if is_near {
            self.near.push(index);
        } else {
            self.far.push(index);
        }
    }
}
