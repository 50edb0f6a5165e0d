//! State machine that claims keys and records outcomes for one gateway.

use std::collections::BTreeMap;
use std::time::Duration;

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use rustc_hash::FxHashMap;

use super::operation::{Change, Claim, ClaimWait, Operation};
use super::page_state::{EndedOperations, PageState, Phase};
use super::write_budget::WriteBudget;
use super::{
    ClaimAction, ClaimEvent, ClaimId, ClaimLimits, ClaimNonce, ClaimState, ClaimVerdict,
    ClockReading, Fingerprint, Page, PageId, TimedKey, UnixMillis,
};
use crate::copy_data;
use crate::ids::{PerSecond, StoreVersion};
use crate::time::Tick;

copy_data! {
    /// Store calls and verdicts since the start of the gateway.
    #[derive(Default)]
    pub struct ClaimCounters {
        /// Pages read.
        pub reads: u64,
        /// Pages written, including rejected and lost writes.
        pub writes: u64,
        /// Writes that the store rejected because another gateway had changed the page.
        pub conflicts: u64,
        /// Writes whose result is unknown because the response was lost or late.
        pub lost: u64,
        /// Bytes of the pages written, estimated by [`Page::encoded_bytes`].
        pub bytes_written: u64,
        /// Requests whose claim was confirmed.
        pub confirmed: u64,
        /// Requests with the verdict [`ClaimVerdict::Unavailable`], including those whose caller
        /// disconnected.
        pub unavailable: u64,
    }
}

/// State machine that claims keys and records outcomes for one gateway.
///
/// It reads and writes pages through its actions, with at most one store call in progress for each
/// page, and gives exactly one verdict on each request.
#[derive(Debug)]
pub struct ClaimCoordinator {
    limits: ClaimLimits,
    nonce_rng: SmallRng,
    budget: WriteBudget,
    pages: BTreeMap<PageId, PageState>,
    /// Claims of requests that may be sent and have not ended yet.
    confirmed: FxHashMap<ClaimId, (PageId, Claim)>,
    counters: ClaimCounters,
    /// Last time slot whose keys are refused because the slot is retired.
    retired_through: u64,
}

impl ClaimCoordinator {
    /// Creates a coordinator without claims.
    ///
    /// `seed` must differ between all processes that share the store, because claims are
    /// distinguished by random nonces.
    #[must_use]
    pub fn new(limits: ClaimLimits, seed: u64) -> Self {
        Self {
            budget: WriteBudget::new(limits.writes_per_second, limits.write_burst),
            limits,
            nonce_rng: SmallRng::seed_from_u64(seed),
            pages: BTreeMap::new(),
            confirmed: FxHashMap::default(),
            counters: ClaimCounters::default(),
            retired_through: 0,
        }
    }

    /// Sets the page writes per second that this gateway may send to the store.
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

    /// Returns the number of claims that are waiting, running or without a recorded outcome.
    #[must_use]
    pub fn open_claims(&self) -> usize {
        self.confirmed.len() + self.pages.values().map(|state| state.pending.len()).sum::<usize>()
    }

    /// Returns the number of pages in memory.
    #[must_use]
    pub fn pages(&self) -> usize {
        self.pages.len()
    }

    /// Returns whether no operation and no store call is pending, so that no `Tick` is needed.
    #[must_use]
    pub fn is_idle(&self) -> bool {
        self.pages.values().all(PageState::is_idle)
    }

    /// Handles an event and returns the actions to carry out, in order.
    pub fn handle(&mut self, event: ClaimEvent, at: ClockReading) -> Vec<ClaimAction> {
        let mut actions = Vec::new();
        match event {
            ClaimEvent::Arrived { id, key, fingerprint, deadline } => {
                let verdict = self.on_arrived(id, &key, fingerprint, deadline, at);
                actions.extend(verdict.map(|verdict| ClaimAction::Decide { id, verdict }));
            }
            ClaimEvent::Cancelled { id } => self.on_cancelled(id, at.now),
            ClaimEvent::NotRun { id } => self.on_request_ended(id, Change::Release, at.now),
            ClaimEvent::ResponseReceived { id, response } => {
                let due = at.now + self.limits.outcome_write_delay;
                self.on_request_ended(
                    id,
                    Change::RecordOutcome(ClaimState::Finished(response)),
                    due,
                );
            }
            ClaimEvent::ResponseLost { id } => {
                self.on_request_ended(id, Change::RecordOutcome(ClaimState::Unknown), at.now);
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
        self.expire_waits(at.now, &mut actions);
        self.start_calls(at, &mut actions);
        self.drop_unused_pages(at.now);
        actions
    }

    fn on_arrived(
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
        if self.open_claims() >= self.limits.max_open_claims {
            self.counters.unavailable += 1;
            return Some(ClaimVerdict::Unavailable);
        }
        let claim = Claim {
            key: key.key().clone(),
            fingerprint,
            nonce: ClaimNonce(self.nonce_rng.random()),
            expires_at: self.expiry(deadline, at),
        };
        let wait = ClaimWait {
            wait_until: deadline.min(at.now + self.limits.claim_timeout),
            deadline,
            is_blocked: false,
        };
        let change = Change::Claim(wait);
        let op = Operation { id, claim, change, due: at.now, has_uncertain_write: false };
        self.page_state(self.limits.page_of(key), at.now).pending.push(op);
        None
    }

    /// Returns the wall-clock time from which the outcome of a claim counts as unknown if none was
    /// recorded.
    fn expiry(&self, deadline: Tick, at: ClockReading) -> UnixMillis {
        let span: Duration = deadline.since(at.now) + self.limits.unknown_grace_period;
        let millis = u64::try_from(span.as_millis()).unwrap_or(u64::MAX);
        UnixMillis(at.wall.get().saturating_add(millis))
    }

    /// Returns the state of a page and marks the page as used.
    fn page_state(&mut self, page: PageId, now: Tick) -> &mut PageState {
        let state = self.pages.entry(page).or_default();
        state.last_used_at = now;
        state
    }

    /// Ends the wait of a request; its verdict follows at the end of [`Self::handle`].
    fn on_cancelled(&mut self, id: ClaimId, now: Tick) {
        for state in self.pages.values_mut() {
            for op in &mut state.pending {
                if op.id != id {
                    continue;
                }
                if let Change::Claim(wait) = &mut op.change {
                    wait.wait_until = now;
                }
            }
        }
    }

    /// Queues the change that follows from the end of a sent request.
    fn on_request_ended(&mut self, id: ClaimId, change: Change, due: Tick) {
        let Some((page, claim)) = self.confirmed.remove(&id) else {
            return;
        };
        let op = Operation { id, claim, change, due, has_uncertain_write: false };
        self.page_state(page, due).pending.push(op);
    }

    fn on_read(
        &mut self,
        page: PageId,
        version: StoreVersion,
        content: Page,
        at: ClockReading,
        actions: &mut Vec<ClaimAction>,
    ) {
        let Some(state) = self.pages.get_mut(&page) else {
            return;
        };
        state.read_done(version, content, at.now);
        self.write_page(page, at, actions);
    }

    fn on_read_failed(&mut self, page: PageId, now: Tick) {
        self.budget.give_back();
        if let Some(state) = self.pages.get_mut(&page) {
            state.call_failed(now, &self.limits);
        }
    }

    fn on_written(
        &mut self,
        page: PageId,
        version: StoreVersion,
        now: Tick,
        actions: &mut Vec<ClaimAction>,
    ) {
        let Some(state) = self.pages.get_mut(&page) else {
            return;
        };
        let ended = state.write_done(version, now);
        self.emit_verdicts(page, ended, now, actions);
    }

    fn on_conflict(&mut self, page: PageId) {
        self.counters.conflicts += 1;
        if let Some(state) = self.pages.get_mut(&page) {
            state.write_conflicted();
        }
    }

    fn on_write_lost(&mut self, page: PageId, now: Tick) {
        self.counters.lost += 1;
        if let Some(state) = self.pages.get_mut(&page) {
            state.write_lost(now, &self.limits);
        }
    }

    /// Writes a page if an operation changes it; otherwise returns the token that was taken for the
    /// write to the budget.
    fn write_page(&mut self, page: PageId, at: ClockReading, actions: &mut Vec<ClaimAction>) {
        let Some(state) = self.pages.get_mut(&page) else {
            return;
        };
        let (ended, write) = state.prepare_write(at, &self.limits);
        self.emit_verdicts(page, ended, at.now, actions);
        let Some((expected, content)) = write else {
            self.budget.give_back();
            return;
        };
        self.counters.writes += 1;
        self.counters.bytes_written += u64::try_from(content.encoded_bytes()).unwrap_or(0);
        actions.push(ClaimAction::WritePage { page, expected, content });
    }

    /// Emits the verdicts of claims whose operation ended.
    ///
    /// A claim that was confirmed after the end of its wait is released.
    fn emit_verdicts(
        &mut self,
        page: PageId,
        ended: EndedOperations,
        now: Tick,
        actions: &mut Vec<ClaimAction>,
    ) {
        for (op, verdict) in ended {
            let (Some(verdict), Change::Claim(wait)) = (verdict, &op.change) else {
                continue;
            };
            let id = op.id;
            let is_late = now >= wait.wait_until;
            let verdict = match verdict {
                ClaimVerdict::Proceed if is_late => ClaimVerdict::Unavailable,
                verdict => verdict,
            };
            match verdict {
                ClaimVerdict::Proceed => self.confirm_claim(page, op),
                ClaimVerdict::Unavailable => self.release_claim(page, op, now),
                _ => {}
            }
            actions.push(ClaimAction::Decide { id, verdict });
        }
    }

    fn confirm_claim(&mut self, page: PageId, op: Operation) {
        self.counters.confirmed += 1;
        self.confirmed.insert(op.id, (page, op.claim));
    }

    /// Queues the removal of the claim of a request that is not sent.
    fn release_claim(&mut self, page: PageId, mut op: Operation, now: Tick) {
        self.counters.unavailable += 1;
        op.change = Change::Release;
        op.due = now;
        self.page_state(page, now).pending.push(op);
    }

    /// Refuses requests whose wait is over and releases the claims that may have been written.
    fn expire_waits(&mut self, now: Tick, actions: &mut Vec<ClaimAction>) {
        for state in self.pages.values_mut() {
            for index in (0..state.pending.len()).rev() {
                let op = &state.pending[index];
                let Change::Claim(wait) = &op.change else {
                    continue;
                };
                if now < wait.wait_until {
                    continue;
                }
                let id = op.id;
                let verdict = if wait.is_blocked {
                    ClaimVerdict::InProgress
                } else {
                    self.counters.unavailable += 1;
                    ClaimVerdict::Unavailable
                };
                actions.push(ClaimAction::Decide { id, verdict });
                if op.has_uncertain_write || state.is_staged(id) {
                    state.pending[index].change = Change::Release;
                    state.pending[index].due = now;
                } else {
                    state.pending.remove(index);
                }
            }
        }
    }

    /// Starts a store call for each page that is due, in the order of due times, until the write
    /// budget is used up.
    ///
    /// A read also takes a token, for the write that usually follows it.
    fn start_calls(&mut self, at: ClockReading, actions: &mut Vec<ClaimAction>) {
        let mut due: Vec<(Tick, PageId)> = Vec::new();
        for (page, state) in &self.pages {
            due.extend(state.due_since(at.now).map(|since| (since, *page)));
        }
        due.sort_unstable();
        for (_, page) in due {
            if !self.budget.try_take(at.now) {
                return;
            }
            self.start_call(page, at, actions);
        }
    }

    /// Reads a page, or writes it at once when its cached content is valid.
    fn start_call(&mut self, page: PageId, at: ClockReading, actions: &mut Vec<ClaimAction>) {
        let limits = self.limits;
        let state = self.page_state(page, at.now);
        if !state.needs_read(at.now, &limits) {
            self.write_page(page, at, actions);
            return;
        }
        state.phase = Phase::Reading;
        self.counters.reads += 1;
        actions.push(ClaimAction::ReadPage { page });
    }

    fn drop_unused_pages(&mut self, now: Tick) {
        let idle = self.limits.idle_page_retention;
        self.pages.retain(|_, state| !state.is_idle() || now.since(state.last_used_at) < idle);
    }
}
