//! Which requests explain the losses.

use std::collections::BTreeMap;
use std::time::Duration;

use rustc_hash::{FxHashMap, FxHashSet};

use super::fingerprint::Fingerprint;
use super::state::{LOSS_PROPAGATION_TIME, Loss, QuarantineStatus};
use crate::ids::{RunId, TargetName};
use crate::selection::TrialPlacement;
use crate::{Tick, rendezvous};

/// Targets that a request must have been lost with before it is refused.
const TARGETS_TO_REFUSE: usize = 2;
/// Time after which a loss no longer counts.
const MEMORY: Duration = Duration::from_secs(120);
/// Length of the first refusal; it doubles with each further target.
const FIRST_REFUSAL: Duration = Duration::from_secs(30);
/// Doublings of the refusal.
const MAX_DOUBLINGS: usize = 6;
/// Ended runs that are remembered.
const MAX_RUNS: usize = 512;
/// Requests that are remembered for one ended run.
const MAX_REQUESTS_OF_RUN: usize = 64;

/// A run that ended with requests in flight.
#[derive(Debug)]
struct EndedRun {
    target: TargetName,
    run: RunId,
    at: Tick,
    /// Requests in flight, each with whether it is still under suspicion.
    requests: BTreeMap<Fingerprint, bool>,
}

impl EndedRun {
    /// Returns the requests that may have ended the run.
    fn suspects(&self) -> impl Iterator<Item = Fingerprint> {
        self.requests.iter().filter(|(_, is_suspect)| **is_suspect).map(|(request, _)| *request)
    }

    fn suspects_contain(&self, fingerprint: Fingerprint) -> bool {
        self.requests.get(&fingerprint) == Some(&true)
    }
}

/// Ended runs, oldest first, and the requests refused for them.
#[derive(Debug, Default)]
pub(super) struct Evidence {
    runs: Vec<EndedRun>,
    refused: FxHashMap<Fingerprint, Tick>,
}

impl Evidence {
    pub(super) fn insert(&mut self, now: Tick, loss: &Loss) {
        self.expire(now);
        let index = self.run_index(now, loss);
        let requests = &mut self.runs[index].requests;
        if requests.len() >= MAX_REQUESTS_OF_RUN || requests.contains_key(&loss.fingerprint) {
            return;
        }
        requests.insert(loss.fingerprint, true);
        self.judge();
    }

    /// Forgets an innocent request; returns whether it was known.
    pub(super) fn clear(&mut self, fingerprint: Fingerprint) -> bool {
        let mut is_known = false;
        for run in &mut self.runs {
            let Some(is_suspect) = run.requests.get_mut(&fingerprint) else {
                continue;
            };
            is_known |= std::mem::replace(is_suspect, false);
        }
        if is_known {
            self.judge();
        }
        is_known
    }

    pub(super) fn expire(&mut self, now: Tick) {
        let count = self.runs.len();
        let refused = &self.refused;
        self.runs.retain(|run| {
            let is_refused =
                |request| refused.get(&request).is_some_and(|until| now < *until + MEMORY);
            now.since(run.at) < MEMORY || run.suspects().any(is_refused)
        });
        if self.runs.len() != count {
            self.judge();
        }
    }

    pub(super) fn fingerprints(&self) -> impl Iterator<Item = Fingerprint> {
        let all: FxHashSet<Fingerprint> = self.runs.iter().flat_map(EndedRun::suspects).collect();
        all.into_iter()
    }

    pub(super) fn status(&self, now: Tick, fingerprint: Fingerprint) -> QuarantineStatus {
        let last = self.runs.iter().rev().find(|run| run.suspects_contain(fingerprint));
        let Some(run) = last else {
            return QuarantineStatus::Clear;
        };
        if now < run.at + LOSS_PROPAGATION_TIME {
            return QuarantineStatus::Held { until: run.at + LOSS_PROPAGATION_TIME };
        }
        if let Some(until) = self.refused.get(&fingerprint)
            && now < *until
        {
            return QuarantineStatus::Refused { until: *until };
        }
        let position = run.requests.range(..fingerprint).count();
        let seed = rendezvous::weight(run.target.as_str(), run.run.as_str());
        QuarantineStatus::Suspect(TrialPlacement {
            seed,
            excluded_target: TrialPlacement::target_key(&run.target),
            position,
        })
    }

    fn run_index(&mut self, now: Tick, loss: &Loss) -> usize {
        let known =
            self.runs.iter().position(|run| run.target == loss.target && run.run == loss.run);
        if let Some(index) = known {
            return index;
        }
        if self.runs.len() >= MAX_RUNS {
            self.runs.remove(0);
        }
        self.runs.push(EndedRun {
            target: loss.target.clone(),
            run: loss.run.clone(),
            at: now,
            requests: BTreeMap::new(),
        });
        self.runs.len() - 1
    }

    /// Finds the requests that alone explain losses, the strongest explanation first.
    fn judge(&mut self) {
        let mut unexplained: Vec<usize> = (0..self.runs.len()).collect();
        self.refused.clear();
        while let Some(culprit) = self.culprit(&unexplained) {
            let lost_with = self.lost_with(culprit, &unexplained);
            self.refused.insert(culprit, self.refused_until(&lost_with));
            unexplained.retain(|index| !lost_with.contains(index));
        }
    }

    /// Returns a request that explains more of the unexplained runs than any request beside
    /// it, and more than half of all that ended in the same time.
    fn culprit(&self, unexplained: &[usize]) -> Option<Fingerprint> {
        let mut counts: FxHashMap<Fingerprint, usize> = FxHashMap::default();
        for index in unexplained {
            for fingerprint in self.runs[*index].suspects() {
                *counts.entry(fingerprint).or_default() += 1;
            }
        }
        let mut candidates: Vec<(usize, Fingerprint)> =
            counts.iter().map(|(fingerprint, count)| (*count, *fingerprint)).collect();
        candidates.retain(|(count, _)| *count >= TARGETS_TO_REFUSE);
        candidates.sort_unstable_by(|a, b| b.cmp(a));
        candidates
            .into_iter()
            .find(|(count, fingerprint)| {
                self.is_culprit(*fingerprint, *count, unexplained, &counts)
            })
            .map(|(_, fingerprint)| fingerprint)
    }

    fn is_culprit(
        &self,
        fingerprint: Fingerprint,
        count: usize,
        unexplained: &[usize],
        counts: &FxHashMap<Fingerprint, usize>,
    ) -> bool {
        let lost_with = self.lost_with(fingerprint, unexplained);
        let targets: FxHashSet<&TargetName> =
            lost_with.iter().map(|index| &self.runs[*index].target).collect();
        if targets.len() < TARGETS_TO_REFUSE {
            return false;
        }
        let is_rivalled = lost_with.iter().any(|index| {
            let mut beside = self.runs[*index].suspects();
            beside.any(|other| other != fingerprint && counts[&other] >= count)
        });
        let first = self.runs[lost_with[0]].at;
        let last = self.runs[lost_with[lost_with.len() - 1]].at;
        let in_same_time = unexplained
            .iter()
            .filter(|index| (first..=last).contains(&self.runs[**index].at))
            .count();
        !is_rivalled && 2 * lost_with.len() > in_same_time
    }

    /// Returns the unexplained runs that ended with the request in flight.
    fn lost_with(&self, fingerprint: Fingerprint, unexplained: &[usize]) -> Vec<usize> {
        let is_lost_with = |index: &usize| self.runs[*index].suspects_contain(fingerprint);
        unexplained.iter().copied().filter(is_lost_with).collect()
    }

    fn refused_until(&self, lost_with: &[usize]) -> Tick {
        let last = lost_with.iter().map(|index| self.runs[*index].at).max().unwrap_or(Tick::ZERO);
        let doublings = lost_with.len().saturating_sub(TARGETS_TO_REFUSE).min(MAX_DOUBLINGS);
        last + FIRST_REFUSAL * (1 << doublings)
    }
}
