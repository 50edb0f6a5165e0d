//! State that a gateway keeps for one page: cached content, store call and pending operations.

use super::event::{ClaimId, ClaimVerdict};
use super::operation::{Change, Operation, Resolution};
use super::{ClaimLimits, ClockReading, Page};
use crate::Tick;
use crate::ids::StoreVersion;

/// Largest number of times that consecutive failures double the backoff.
const MAX_BACKOFF_DOUBLINGS: u32 = 4;

/// Store call in progress for a page; there is at most one.
#[derive(Debug, Default)]
pub(crate) enum Phase {
    /// None.
    #[default]
    Idle,
    /// The page is being read.
    Reading,
    /// The page is being written.
    Writing(PendingWrite),
}

/// A write in progress.
#[derive(Debug)]
pub(crate) struct PendingWrite {
    page: Page,
    staged: Vec<StagedOperation>,
}

/// An operation whose change is part of a write, with its verdict if the write is confirmed.
#[derive(Debug)]
struct StagedOperation {
    id: ClaimId,
    verdict: Option<ClaimVerdict>,
}

/// Operations that ended, each with its verdict if it has one.
pub(crate) type EndedOperations = Vec<(Operation, Option<ClaimVerdict>)>;

/// State that a gateway keeps for one page.
#[derive(Debug, Default)]
pub(crate) struct PageState {
    pub(crate) phase: Phase,
    pub(crate) pending: Vec<Operation>,
    pub(crate) last_used_at: Tick,
    /// Content last read or written, with its version.
    confirmed: Option<(StoreVersion, Page)>,
    confirmed_at: Tick,
    /// Whether other gateways write the page too, or a write was lost, so that it must be read
    /// before the next write.
    is_contended: bool,
    consecutive_failures: u32,
    backoff_until: Tick,
}

impl PageState {
    /// Returns since when a store call has been due, if one may start at `now`.
    pub(crate) fn due_since(&self, now: Tick) -> Option<Tick> {
        if !matches!(self.phase, Phase::Idle) || now < self.backoff_until {
            return None;
        }
        self.pending.iter().map(|op| op.due).filter(|due| *due <= now).min()
    }

    /// Returns whether the page must be read before it is written.
    pub(crate) fn needs_read(&self, now: Tick, limits: &ClaimLimits) -> bool {
        let is_poll_due = self.pending.iter().any(|op| op.is_blocked() && op.due <= now);
        let is_outdated = now.since(self.confirmed_at) > limits.cache_validity;
        self.is_contended || self.confirmed.is_none() || is_outdated || is_poll_due
    }

    /// Returns whether no operation is pending and no store call is in progress.
    pub(crate) fn is_idle(&self) -> bool {
        matches!(self.phase, Phase::Idle) && self.pending.is_empty()
    }

    /// Returns whether the write in progress includes a change of operation `id`.
    pub(crate) fn is_staged(&self, id: ClaimId) -> bool {
        let Phase::Writing(write) = &self.phase else {
            return false;
        };
        write.staged.iter().any(|staged| staged.id == id)
    }

    /// Stores the content that was read.
    pub(crate) fn read_done(&mut self, version: StoreVersion, page: Page, now: Tick) {
        let previous = self.confirmed.as_ref().map(|(version, _)| *version);
        self.is_contended = previous.is_some_and(|previous| previous != version);
        self.confirmed = Some((version, page));
        self.confirmed_at = now;
        self.finish_call();
    }

    /// Handles the confirmation of the write in progress; returns the operations that ended.
    pub(crate) fn write_done(&mut self, version: StoreVersion, now: Tick) -> EndedOperations {
        let Phase::Writing(write) = std::mem::take(&mut self.phase) else {
            return EndedOperations::new();
        };
        self.confirmed = Some((version, write.page));
        self.confirmed_at = now;
        self.finish_call();
        for op in &mut self.pending {
            op.has_uncertain_write = false;
        }
        let mut ended = EndedOperations::new();
        for staged in write.staged {
            ended.extend(self.end_staged(staged));
        }
        self.wake_blocked(&ended, now);
        ended
    }

    /// Handles the rejection of the write in progress: the page had another version.
    pub(crate) fn write_conflicted(&mut self) {
        self.is_contended = true;
        self.finish_call();
    }

    /// Handles the loss of the write in progress, which may have taken effect or still do so.
    pub(crate) fn write_lost(&mut self, now: Tick, limits: &ClaimLimits) {
        if let Phase::Writing(write) = std::mem::take(&mut self.phase) {
            for staged in write.staged {
                let op = self.pending.iter_mut().find(|op| op.id == staged.id);
                op.into_iter().for_each(|op| op.has_uncertain_write = true);
            }
        }
        self.is_contended = true;
        self.call_failed(now, limits);
    }

    /// Ends the call in progress as failed and starts the backoff.
    pub(crate) fn call_failed(&mut self, now: Tick, limits: &ClaimLimits) {
        self.phase = Phase::Idle;
        let doublings = self.consecutive_failures.min(MAX_BACKOFF_DOUBLINGS);
        self.backoff_until = now + limits.failure_backoff * 2_u32.pow(doublings);
        self.consecutive_failures += 1;
    }

    /// Applies the pending operations to the confirmed content.
    ///
    /// Returns the operations that ended and, if the page must be written, the version to expect
    /// and the new content.
    pub(crate) fn prepare_write(
        &mut self,
        at: ClockReading,
        limits: &ClaimLimits,
    ) -> (EndedOperations, Option<(StoreVersion, Page)>) {
        let Some((version, confirmed)) = self.confirmed.take() else {
            return (EndedOperations::new(), None);
        };
        let mut page = confirmed.clone();
        let mut staged = Vec::new();
        let mut ended = EndedOperations::new();
        for mut op in std::mem::take(&mut self.pending) {
            match op.resolve(&confirmed, &mut page, at.wall, limits) {
                Resolution::Decided(verdict) => {
                    ended.push((op, Some(verdict)));
                    continue;
                }
                Resolution::Done => {
                    ended.push((op, None));
                    continue;
                }
                Resolution::Staged(verdict) => {
                    op.unblock(at.now, limits);
                    staged.push(StagedOperation { id: op.id, verdict });
                }
                Resolution::Blocked => op.block(at.now, limits),
            }
            self.pending.push(op);
        }
        self.confirmed = Some((version, confirmed));
        if staged.is_empty() {
            return (ended, None);
        }
        self.phase = Phase::Writing(PendingWrite { page: page.clone(), staged });
        (ended, Some((version, page)))
    }

    fn finish_call(&mut self) {
        self.phase = Phase::Idle;
        self.consecutive_failures = 0;
    }

    /// Ends an operation whose change is confirmed, unless its change was replaced meanwhile.
    fn end_staged(&mut self, staged: StagedOperation) -> Option<(Operation, Option<ClaimVerdict>)> {
        let index = self.pending.iter().position(|op| op.id == staged.id)?;
        let is_claim = matches!(self.pending[index].change, Change::Claim(_));
        if is_claim != staged.verdict.is_some() {
            return None;
        }
        Some((self.pending.remove(index), staged.verdict))
    }

    /// Makes each operation due at `now` if an operation in `ended` has changed the record of its
    /// key.
    fn wake_blocked(&mut self, ended: &EndedOperations, now: Tick) {
        for op in &mut self.pending {
            let changed = ended.iter().any(|(other, _)| other.claim.key == op.claim.key);
            if changed {
                op.due = op.due.min(now);
            }
        }
    }
}
