//! The candidates of one service in an immutable snapshot.

use std::sync::Arc;

use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::load::TargetLoad;
use crate::config::Target;
use crate::copy_data;
use crate::ids::ZoneName;

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

    /// Returns the warm candidate at a place that gateways with the same pool agree on.
    ///
    /// Requests with the same `seed` and different positions get different candidates while
    /// there are enough. Used for requests that must not meet, see [`crate::quarantine`].
    #[must_use]
    pub fn placed(&self, seed: u64, position: usize) -> Option<usize> {
        let skipped = position.checked_rem(self.warm.len())?;
        let rank = |index: &usize| {
            let name = self.candidates[*index].target.name.as_str();
            (xxh3_64_with_seed(name.as_bytes(), seed), *index)
        };
        let mut bound = None;
        for _ in 0..=skipped {
            let ranks = self.warm.iter().map(rank);
            bound = ranks.filter(|rank| bound.is_none_or(|bound| *rank > bound)).min();
        }
        bound.map(|(_, index)| index)
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
