//! The claims of one gateway.

use std::collections::BTreeMap;
use std::time::Duration;

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use rustc_hash::FxHashMap;

use super::page_slot::{Ended, PageSlot, Phase};
use super::pending::{ClaimWait, Pending, Try, Want};
use super::write_budget::WriteBudget;
use super::{
    ClaimAction, ClaimEvent, ClaimId, ClaimLimits, ClaimNonce, ClaimState, ClaimVerdict,
    ClockReading, Fingerprint, Page, PageId, TimedKey, UnixMillis,
};
use crate::copy_data;
use crate::ids::{PerSecond, StoreVersion};
use crate::time::Tick;

copy_data! {
    /// Calls and results since the start.
    #[derive(Default)]
    pub struct ClaimCounters {
        /// Pages read.
        pub reads: u64,
        /// Pages written, refused and lost writes included.
        pub writes: u64,
        /// Writes refused because another gateway wrote first.
        pub conflicts: u64,
        /// Writes whose answer was lost.
        pub lost: u64,
        /// Bytes of the pages written, as bounded by [`Page::encoded_bytes`].
        pub bytes_written: u64,
        /// Orders that may be sent.
        pub confirmed: u64,
        /// Orders refused because their claim was not confirmed in time.
        pub unavailable: u64,
    }
}

/// State machine of the claims of one gateway.
///
/// It reads and writes pages through its actions, with at most one call under way for each page,
/// and decides on each order once.
#[derive(Debug)]
pub struct ClaimCoordinator {
    limits: ClaimLimits,
    nonces: SmallRng,
    budget: WriteBudget,
    pages: BTreeMap<PageId, PageSlot>,
    sent: FxHashMap<ClaimId, (PageId, Try)>,
    counters: ClaimCounters,
    retired_through: u64,
}

impl ClaimCoordinator {
    /// Makes an empty book; `seed` must differ between all processes that share the store.
    #[must_use]
    pub fn new(limits: ClaimLimits, seed: u64) -> Self {
        Self {
            budget: WriteBudget::new(limits.writes_per_second, limits.write_burst),
            limits,
            nonces: SmallRng::seed_from_u64(seed),
            pages: BTreeMap::new(),
            sent: FxHashMap::default(),
            counters: ClaimCounters::default(),
            retired_through: 0,
        }
    }

    /// Changes this gateway's share of the store's writes.
    pub fn set_writes_per_second(&mut self, rate: PerSecond) {
        self.limits.writes_per_second = rate;
        self.budget.set_rate(rate);
    }

    /// Returns the limits.
    #[must_use]
    pub fn limits(&self) -> &ClaimLimits {
        &self.limits
    }

    /// Returns the counters.
    #[must_use]
    pub fn counters(&self) -> ClaimCounters {
        self.counters
    }

    /// Returns the number of orders that wait, run or have an outcome not yet recorded.
    #[must_use]
    pub fn open_claims(&self) -> usize {
        self.sent.len() + self.pages.values().map(|slot| slot.pending.len()).sum::<usize>()
    }

    /// Returns the number of pages in memory.
    #[must_use]
    pub fn pages(&self) -> usize {
        self.pages.len()
    }

    /// Returns whether nothing waits for the store, so that no `Tick` is needed.
    #[must_use]
    pub fn is_idle(&self) -> bool {
        self.pages.values().all(PageSlot::is_idle)
    }

    /// Takes in an event and returns what must be done, in order.
    pub fn handle(&mut self, event: ClaimEvent, at: ClockReading) -> Vec<ClaimAction> {
        let mut actions = Vec::new();
        match event {
            ClaimEvent::Arrived { id, key, fingerprint, deadline } => {
                let verdict = self.arrive(id, &key, fingerprint, deadline, at);
                actions.extend(verdict.map(|verdict| ClaimAction::Decide { id, verdict }));
            }
            ClaimEvent::Cancelled { id } => self.withdraw(id, at.now),
            ClaimEvent::NotRun { id } => self.end_order(id, Want::Release, at.now),
            ClaimEvent::ResponseReceived { id, response } => {
                let due = at.now + self.limits.settle_delay;
                self.end_order(id, Want::Settle(ClaimState::Finished(response)), due);
            }
            ClaimEvent::ResponseLost { id } => {
                self.end_order(id, Want::Settle(ClaimState::Unknown), at.now);
            }
            ClaimEvent::PageRead { page, version, content } => {
                self.on_read(page, version, content, at, &mut actions);
            }
            ClaimEvent::PageReadFailed { page } => self.on_read_failed(page, at.now),
            ClaimEvent::PageWritten { page, version } => {
                self.on_written(page, version, at.now, &mut actions);
            }
            ClaimEvent::PageConflict { page } => self.on_conflict(page),
            ClaimEvent::PageWriteLost { page } => self.on_write_lost(page, at.now),
            ClaimEvent::Retired { through } => {
                self.retired_through = self.retired_through.max(through);
            }
            ClaimEvent::Tick => {}
        }
        self.give_up(at.now, &mut actions);
        self.start_calls(at, &mut actions);
        self.drop_unused_pages(at.now);
        actions
    }

    fn arrive(
        &mut self,
        id: ClaimId,
        key: &TimedKey,
        fingerprint: Fingerprint,
        deadline: Tick,
        at: ClockReading,
    ) -> Option<ClaimVerdict> {
        let is_retired = self.limits.slot_of(key.time()) <= self.retired_through;
        if is_retired || self.limits.is_expired(key.time(), at.wall) {
            return Some(ClaimVerdict::KeyExpired);
        }
        if self.limits.is_ahead(key.time(), at.wall) {
            return Some(ClaimVerdict::KeyAhead);
        }
        if self.open_claims() >= self.limits.max_orders {
            self.counters.unavailable += 1;
            return Some(ClaimVerdict::Unavailable);
        }
        let attempt = Try {
            key: key.key().clone(),
            fingerprint,
            nonce: ClaimNonce(self.nonces.random()),
            expires_at: self.expiry(deadline, at),
        };
        let wait = ClaimWait {
            give_up_at: deadline.min(at.now + self.limits.claim_wait),
            deadline,
            behind_other_try: false,
        };
        let want = Want::Claim(wait);
        let op = Pending { id, attempt, want, due: at.now, uncertain: false };
        self.slot(self.limits.page_of(key), at.now).pending.push(op);
        None
    }

    /// Returns the wall-clock time from which a claim without outcome counts as unknown.
    fn expiry(&self, deadline: Tick, at: ClockReading) -> UnixMillis {
        let span: Duration = deadline.since(at.now) + self.limits.unknown_grace;
        let millis = u64::try_from(span.as_millis()).unwrap_or(u64::MAX);
        UnixMillis(at.wall.get().saturating_add(millis))
    }

    fn slot(&mut self, page: PageId, now: Tick) -> &mut PageSlot {
        let slot = self.pages.entry(page).or_default();
        slot.used_at = now;
        slot
    }

    fn withdraw(&mut self, id: ClaimId, now: Tick) {
        for slot in self.pages.values_mut() {
            for op in &mut slot.pending {
                if op.id != id {
                    continue;
                }
                if let Want::Claim(wait) = &mut op.want {
                    wait.give_up_at = now;
                }
            }
        }
    }

    fn end_order(&mut self, id: ClaimId, want: Want, due: Tick) {
        let Some((page, attempt)) = self.sent.remove(&id) else {
            return;
        };
        let op = Pending { id, attempt, want, due, uncertain: false };
        self.slot(page, due).pending.push(op);
    }

    fn on_read(
        &mut self,
        page: PageId,
        version: StoreVersion,
        content: Page,
        at: ClockReading,
        actions: &mut Vec<ClaimAction>,
    ) {
        let Some(slot) = self.pages.get_mut(&page) else {
            return;
        };
        slot.read_done(version, content, at.now);
        self.write(page, at, actions);
    }

    fn on_read_failed(&mut self, page: PageId, now: Tick) {
        self.budget.give_back();
        if let Some(slot) = self.pages.get_mut(&page) {
            slot.call_failed(now, &self.limits);
        }
    }

    fn on_written(
        &mut self,
        page: PageId,
        version: StoreVersion,
        now: Tick,
        actions: &mut Vec<ClaimAction>,
    ) {
        let Some(slot) = self.pages.get_mut(&page) else {
            return;
        };
        let ended = slot.write_done(version, now);
        self.decide(page, ended, now, actions);
    }

    fn on_conflict(&mut self, page: PageId) {
        self.counters.conflicts += 1;
        if let Some(slot) = self.pages.get_mut(&page) {
            slot.write_conflicted();
        }
    }

    fn on_write_lost(&mut self, page: PageId, now: Tick) {
        self.counters.lost += 1;
        if let Some(slot) = self.pages.get_mut(&page) {
            slot.write_lost(now, &self.limits);
        }
    }

    /// Writes a page when something waits for it; an unused token goes back.
    fn write(&mut self, page: PageId, at: ClockReading, actions: &mut Vec<ClaimAction>) {
        let Some(slot) = self.pages.get_mut(&page) else {
            return;
        };
        let (ended, write) = slot.prepare_write(at, &self.limits);
        self.decide(page, ended, at.now, actions);
        let Some((expected, content)) = write else {
            self.budget.give_back();
            return;
        };
        self.counters.writes += 1;
        self.counters.bytes_written += u64::try_from(content.encoded_bytes()).unwrap_or(0);
        actions.push(ClaimAction::WritePage { page, expected, content });
    }

    /// Hands out the verdicts of operations that ended.
    fn decide(&mut self, page: PageId, ended: Ended, now: Tick, actions: &mut Vec<ClaimAction>) {
        for (op, verdict) in ended {
            let (Some(verdict), Want::Claim(wait)) = (verdict, &op.want) else {
                continue;
            };
            let id = op.id;
            let is_late = now >= wait.give_up_at;
            let verdict = match verdict {
                ClaimVerdict::Proceed if is_late => ClaimVerdict::Unavailable,
                verdict => verdict,
            };
            match verdict {
                ClaimVerdict::Proceed => self.confirm(page, op),
                ClaimVerdict::Unavailable => self.release(page, op, now),
                _ => {}
            }
            actions.push(ClaimAction::Decide { id, verdict });
        }
    }

    fn confirm(&mut self, page: PageId, op: Pending) {
        self.counters.confirmed += 1;
        self.sent.insert(op.id, (page, op.attempt));
    }

    /// Makes sure that no claim of an order that is not sent stays behind.
    fn release(&mut self, page: PageId, mut op: Pending, now: Tick) {
        self.counters.unavailable += 1;
        op.want = Want::Release;
        op.due = now;
        self.slot(page, now).pending.push(op);
    }

    /// Ends the waits that lasted too long.
    fn give_up(&mut self, now: Tick, actions: &mut Vec<ClaimAction>) {
        for slot in self.pages.values_mut() {
            for index in (0..slot.pending.len()).rev() {
                let op = &slot.pending[index];
                let Want::Claim(wait) = &op.want else {
                    continue;
                };
                if now < wait.give_up_at {
                    continue;
                }
                let id = op.id;
                let verdict = if wait.behind_other_try {
                    ClaimVerdict::InProgress
                } else {
                    self.counters.unavailable += 1;
                    ClaimVerdict::Unavailable
                };
                actions.push(ClaimAction::Decide { id, verdict });
                if op.uncertain || slot.is_staged(id) {
                    slot.pending[index].want = Want::Release;
                    slot.pending[index].due = now;
                } else {
                    slot.pending.remove(index);
                }
            }
        }
    }

    /// Starts a call for each page that is due, the longest due first, while the budget lasts.
    fn start_calls(&mut self, at: ClockReading, actions: &mut Vec<ClaimAction>) {
        let mut due: Vec<(Tick, PageId)> = Vec::new();
        for (page, slot) in &self.pages {
            due.extend(slot.due(at.now).map(|since| (since, *page)));
        }
        due.sort_unstable();
        for (_, page) in due {
            if !self.budget.try_take(at.now) {
                return;
            }
            self.start_call(page, at, actions);
        }
    }

    fn start_call(&mut self, page: PageId, at: ClockReading, actions: &mut Vec<ClaimAction>) {
        let limits = self.limits;
        let slot = self.slot(page, at.now);
        if !slot.needs_read(at.now, &limits) {
            self.write(page, at, actions);
            return;
        }
        slot.phase = Phase::Reading;
        self.counters.reads += 1;
        actions.push(ClaimAction::ReadPage { page });
    }

    fn drop_unused_pages(&mut self, now: Tick) {
        let idle = self.limits.page_idle;
        self.pages.retain(|_, slot| !slot.is_idle() || now.since(slot.used_at) < idle);
    }
}
