//! Determines which requests explain the runs that ended.

use std::collections::BTreeMap;
use std::time::Duration;

use rustc_hash::{FxHashMap, FxHashSet};

use super::fingerprint::Fingerprint;
use super::state::{LOSS_PROPAGATION_TIME, Loss, QuarantineStatus};
use crate::ids::{RunId, TargetName};
use crate::selection::TrialPlacement;
use crate::{Tick, rendezvous};

/// Minimum number of targets with which a request was lost before it is refused.
const MIN_TARGETS_LOST: usize = 2;
/// Time for which an ended run is taken into account.
const RETENTION: Duration = Duration::from_secs(120);
/// Duration of the first refusal; doubled for each further ended run that the request explains.
const INITIAL_REFUSAL: Duration = Duration::from_secs(30);
/// Maximum number of doublings of the refusal.
const MAX_DOUBLINGS: usize = 6;
/// Maximum number of ended runs kept.
const MAX_RUNS: usize = 512;
/// Maximum number of requests kept for each ended run.
const MAX_REQUESTS_PER_RUN: usize = 64;

/// A run that ended with requests in flight.
#[derive(Debug)]
struct EndedRun {
    target: TargetName,
    run: RunId,
    at: Tick,
    /// Requests in flight, each with whether it is still a suspect.
    requests: BTreeMap<Fingerprint, bool>,
}

impl EndedRun {
    /// Returns the requests that may have caused the end of the run.
    fn suspects(&self) -> impl Iterator<Item = Fingerprint> {
        self.requests.iter().filter(|(_, is_suspect)| **is_suspect).map(|(request, _)| *request)
    }

    fn has_suspect(&self, fingerprint: Fingerprint) -> bool {
        self.requests.get(&fingerprint) == Some(&true)
    }
}

/// Ended runs, oldest first, and the requests refused because of them, each with the end of its
/// refusal.
#[derive(Debug, Default)]
pub(super) struct Evidence {
    runs: Vec<EndedRun>,
    refused: FxHashMap<Fingerprint, Tick>,
}

impl Evidence {
    /// Adds a loss: its request becomes a suspect of the ended run.
    pub(super) fn insert(&mut self, now: Tick, loss: &Loss) {
        self.expire(now);
        let index = self.run_index(now, loss);
        let requests = &mut self.runs[index].requests;
        if requests.len() >= MAX_REQUESTS_PER_RUN || requests.contains_key(&loss.fingerprint) {
            return;
        }
        requests.insert(loss.fingerprint, true);
        self.update_refused();
    }

    /// Clears a request that received a response; returns whether it was a suspect.
    pub(super) fn clear(&mut self, fingerprint: Fingerprint) -> bool {
        let mut was_suspect = false;
        for run in &mut self.runs {
            let Some(is_suspect) = run.requests.get_mut(&fingerprint) else {
                continue;
            };
            was_suspect |= std::mem::replace(is_suspect, false);
        }
        if was_suspect {
            self.update_refused();
        }
        was_suspect
    }

    /// Removes ended runs after the retention period; it starts only at the end of a refusal for
    /// runs with a refused suspect.
    pub(super) fn expire(&mut self, now: Tick) {
        let count = self.runs.len();
        let refused = &self.refused;
        self.runs.retain(|run| {
            let is_refused =
                |request| refused.get(&request).is_some_and(|until| now < *until + RETENTION);
            now.since(run.at) < RETENTION || run.suspects().any(is_refused)
        });
        if self.runs.len() != count {
            self.update_refused();
        }
    }

    /// Returns the suspects of all ended runs.
    pub(super) fn fingerprints(&self) -> impl Iterator<Item = Fingerprint> {
        let all: FxHashSet<Fingerprint> = self.runs.iter().flat_map(EndedRun::suspects).collect();
        all.into_iter()
    }

    pub(super) fn status(&self, now: Tick, fingerprint: Fingerprint) -> QuarantineStatus {
        let last = self.runs.iter().rev().find(|run| run.has_suspect(fingerprint));
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

    /// Returns the index of the run of `loss`; adds the run if it is unknown.
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

    /// Finds the requests that are the only explanation of ended runs. The request that explains
    /// most runs comes first; the runs that it explains are left out for the next ones.
    fn update_refused(&mut self) {
        let mut unexplained: Vec<usize> = (0..self.runs.len()).collect();
        self.refused.clear();
        while let Some(culprit) = self.culprit(&unexplained) {
            let lost_runs = self.runs_lost_with(culprit, &unexplained);
            self.refused.insert(culprit, self.refused_until(&lost_runs));
            unexplained.retain(|index| !lost_runs.contains(index));
        }
    }

    /// Returns a request that explains more of the unexplained runs than any other request that was
    /// in flight with it, and more than half of the unexplained runs that ended in the same period.
    ///
    /// The second condition keeps an outage of many targets, such as that of a rack, from being
    /// attributed to a request that was repeated at some of them.
    fn culprit(&self, unexplained: &[usize]) -> Option<Fingerprint> {
        let mut counts: FxHashMap<Fingerprint, usize> = FxHashMap::default();
        for index in unexplained {
            for fingerprint in self.runs[*index].suspects() {
                *counts.entry(fingerprint).or_default() += 1;
            }
        }
        let mut candidates: Vec<(usize, Fingerprint)> =
            counts.iter().map(|(fingerprint, count)| (*count, *fingerprint)).collect();
        candidates.retain(|(count, _)| *count >= MIN_TARGETS_LOST);
        candidates.sort_unstable_by(|a, b| b.cmp(a));
        candidates
            .into_iter()
            .find(|(count, fingerprint)| {
                self.is_culprit(*fingerprint, *count, unexplained, &counts)
            })
            .map(|(_, fingerprint)| fingerprint)
    }

    /// Returns whether the request meets the conditions of [`Self::culprit`].
    ///
    /// `counts` holds for each suspect the number of unexplained runs that it was lost with;
    /// `count` is that of the request.
    fn is_culprit(
        &self,
        fingerprint: Fingerprint,
        count: usize,
        unexplained: &[usize],
        counts: &FxHashMap<Fingerprint, usize>,
    ) -> bool {
        let lost_runs = self.runs_lost_with(fingerprint, unexplained);
        let targets: FxHashSet<&TargetName> =
            lost_runs.iter().map(|index| &self.runs[*index].target).collect();
        if targets.len() < MIN_TARGETS_LOST {
            return false;
        }
        let has_rival = lost_runs.iter().any(|index| {
            let mut suspects = self.runs[*index].suspects();
            suspects.any(|other| other != fingerprint && counts[&other] >= count)
        });
        let first = self.runs[lost_runs[0]].at;
        let last = self.runs[lost_runs[lost_runs.len() - 1]].at;
        let in_same_period = unexplained
            .iter()
            .filter(|index| (first..=last).contains(&self.runs[**index].at))
            .count();
        !has_rival && 2 * lost_runs.len() > in_same_period
    }

    /// Returns the indexes of the unexplained runs that have the request as a suspect.
    fn runs_lost_with(&self, fingerprint: Fingerprint, unexplained: &[usize]) -> Vec<usize> {
        let is_lost_with = |index: &usize| self.runs[*index].has_suspect(fingerprint);
        unexplained.iter().copied().filter(is_lost_with).collect()
    }

    /// Returns the end of the refusal of a request that explains the runs with the indexes
    /// `lost_runs`.
    fn refused_until(&self, lost_runs: &[usize]) -> Tick {
        let last = lost_runs.iter().map(|index| self.runs[*index].at).max().unwrap_or(Tick::ZERO);
        let doublings = lost_runs.len().saturating_sub(MIN_TARGETS_LOST).min(MAX_DOUBLINGS);
        last + INITIAL_REFUSAL * (1 << doublings)
    }
}
