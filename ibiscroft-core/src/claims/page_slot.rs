//! One page as a gateway sees it: its confirmed content, the call under way and what waits.

use super::event::{ClaimId, ClaimVerdict};
use super::pending::{Pending, Resolution, Want};
use super::{ClaimLimits, ClockReading, Page};
use crate::Tick;
use crate::ids::StoreVersion;

/// Doublings of the pause after failed calls in a row.
const MAX_BACKOFF_DOUBLINGS: u32 = 4;

/// Store call under way for a page; there is at most one.
#[derive(Debug, Default)]
pub(crate) enum Phase {
    /// None.
    #[default]
    Idle,
    /// The page is read.
    Reading,
    /// The page is written.
    Writing(Write),
}

/// A write under way.
#[derive(Debug)]
pub(crate) struct Write {
    page: Page,
    staged: Vec<Staged>,
}

/// An operation whose change is part of a write.
#[derive(Debug)]
struct Staged {
    id: ClaimId,
    verdict: Option<ClaimVerdict>,
}

/// Operations that ended, with the verdict for those that have one.
pub(crate) type Ended = Vec<(Pending, Option<ClaimVerdict>)>;

/// A page as a gateway sees it.
#[derive(Debug, Default)]
pub(crate) struct PageSlot {
    pub(crate) phase: Phase,
    pub(crate) pending: Vec<Pending>,
    pub(crate) used_at: Tick,
    confirmed: Option<(StoreVersion, Page)>,
    confirmed_at: Tick,
    /// Whether other gateways write the page too, so that its cached content is stale.
    contended: bool,
    failures: u32,
    blocked_until: Tick,
}

impl PageSlot {
    /// Returns the time at which the page wants a store call, if it may start one at `now`.
    pub(crate) fn due(&self, now: Tick) -> Option<Tick> {
        if !matches!(self.phase, Phase::Idle) || now < self.blocked_until {
            return None;
        }
        self.pending.iter().map(|op| op.due).filter(|due| *due <= now).min()
    }

    /// Returns whether the page must be read before it is written.
    pub(crate) fn needs_read(&self, now: Tick, limits: &ClaimLimits) -> bool {
        let polls = self.pending.iter().any(|op| op.is_behind_other_try() && op.due <= now);
        let is_old = now.since(self.confirmed_at) > limits.cache_trust;
        self.contended || self.confirmed.is_none() || is_old || polls
    }

    /// Returns whether nothing waits and no call is under way.
    pub(crate) fn is_idle(&self) -> bool {
        matches!(self.phase, Phase::Idle) && self.pending.is_empty()
    }

    /// Returns whether the write under way holds a change of `order`.
    pub(crate) fn is_staged(&self, id: ClaimId) -> bool {
        let Phase::Writing(write) = &self.phase else {
            return false;
        };
        write.staged.iter().any(|staged| staged.id == id)
    }

    /// Takes in the content that was read.
    pub(crate) fn read_done(&mut self, version: StoreVersion, page: Page, now: Tick) {
        let seen = self.confirmed.as_ref().map(|(version, _)| *version);
        self.contended = seen.is_some_and(|seen| seen != version);
        self.confirmed = Some((version, page));
        self.confirmed_at = now;
        self.call_done();
    }

    /// Takes in that the write under way was confirmed; returns the operations that ended.
    pub(crate) fn write_done(&mut self, version: StoreVersion, now: Tick) -> Ended {
        let Phase::Writing(write) = std::mem::take(&mut self.phase) else {
            return Ended::new();
        };
        self.confirmed = Some((version, write.page));
        self.confirmed_at = now;
        self.call_done();
        for op in &mut self.pending {
            op.uncertain = false;
        }
        let mut ended = Ended::new();
        for staged in write.staged {
            ended.extend(self.end_staged(staged));
        }
        self.wake_waiters(&ended, now);
        ended
    }

    /// Takes in that the write under way did not take effect because the page had changed.
    pub(crate) fn write_conflicted(&mut self) {
        self.contended = true;
        self.call_done();
    }

    /// Takes in that it is unknown whether the write under way took or takes effect.
    pub(crate) fn write_lost(&mut self, now: Tick, limits: &ClaimLimits) {
        if let Phase::Writing(write) = std::mem::take(&mut self.phase) {
            for staged in write.staged {
                let op = self.pending.iter_mut().find(|op| op.id == staged.id);
                op.into_iter().for_each(|op| op.uncertain = true);
            }
        }
        self.contended = true;
        self.call_failed(now, limits);
    }

    /// Takes in that the call under way failed without effect.
    pub(crate) fn call_failed(&mut self, now: Tick, limits: &ClaimLimits) {
        self.phase = Phase::Idle;
        let doublings = self.failures.min(MAX_BACKOFF_DOUBLINGS);
        self.blocked_until = now + limits.failure_backoff * 2_u32.pow(doublings);
        self.failures += 1;
    }

    /// Resolves what waits against the confirmed content and prepares a write when one is needed.
    pub(crate) fn prepare_write(
        &mut self,
        at: ClockReading,
        limits: &ClaimLimits,
    ) -> (Ended, Option<(StoreVersion, Page)>) {
        let Some((version, confirmed)) = self.confirmed.take() else {
            return (Ended::new(), None);
        };
        let mut page = confirmed.clone();
        let mut staged = Vec::new();
        let mut ended = Ended::new();
        for mut op in std::mem::take(&mut self.pending) {
            match op.resolve(&confirmed, &mut page, at.wall, limits) {
                Resolution::Answer(verdict) => {
                    ended.push((op, Some(verdict)));
                    continue;
                }
                Resolution::Done => {
                    ended.push((op, None));
                    continue;
                }
                Resolution::Staged(verdict) => {
                    op.stop_waiting(at.now, limits);
                    staged.push(Staged { id: op.id, verdict });
                }
                Resolution::Waiting => op.wait_for_other_try(at.now, limits),
            }
            self.pending.push(op);
        }
        self.confirmed = Some((version, confirmed));
        if staged.is_empty() {
            return (ended, None);
        }
        self.phase = Phase::Writing(Write { page: page.clone(), staged });
        (ended, Some((version, page)))
    }

    fn call_done(&mut self) {
        self.phase = Phase::Idle;
        self.failures = 0;
    }

    /// Ends an operation whose change is confirmed, unless it wants something else by now.
    fn end_staged(&mut self, staged: Staged) -> Option<(Pending, Option<ClaimVerdict>)> {
        let index = self.pending.iter().position(|op| op.id == staged.id)?;
        let is_claim = matches!(self.pending[index].want, Want::Claim(_));
        if is_claim != staged.verdict.is_some() {
            return None;
        }
        Some((self.pending.remove(index), staged.verdict))
    }

    /// Lets operations that wait for a key look again once the key's record changed.
    fn wake_waiters(&mut self, ended: &Ended, now: Tick) {
        for op in &mut self.pending {
            let changed = ended.iter().any(|(other, _)| other.attempt.key == op.attempt.key);
            if changed {
                op.due = op.due.min(now);
            }
        }
    }
}
