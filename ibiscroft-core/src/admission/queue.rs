//! Requests that run and requests that wait.

use std::collections::VecDeque;
use std::time::Duration;

use super::concurrency::ConcurrencyLimit;
use super::departures::Departures;
use super::{AdmissionRequest, CompletedRequest, Limits, RequestClass};
use crate::Tick;

/// Shortest time after which a refused caller is asked to come back.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(50);
/// Longest time after which a refused caller is asked to come back.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(10);
/// Part of the allowed wait that is left while a line has stood for longer than that wait.
const STANDING_DIVISOR: u32 = 5;
/// Requests sent at once for each batch one among them.
const BATCH_SHARE: u32 = 4;

/// What becomes of an arriving request.
#[derive(Debug, PartialEq, Eq)]
pub enum AdmissionDecision<W> {
    /// It may be sent now.
    Run(W),
    /// It waits; [`Admission::next`] returns its waiter later.
    Queued,
    /// It is refused: too many wait, or it would wait too long.
    Refused {
        /// The waiter that was passed in.
        waiter: W,
        /// When the caller may come back, from the measured rate of answers.
        retry_after: Duration,
    },
}

/// What becomes of a waiting request.
#[derive(Debug, PartialEq, Eq)]
pub enum Dequeued<W> {
    /// It may be sent now.
    Run(W),
    /// It waited too long and is refused.
    Expired(W),
    /// No waiting request changes its state now.
    None,
}

#[derive(Debug)]
struct Waiting<W> {
    until: Tick,
    waiter: W,
}

/// Bounds the requests of one service that a gateway sends at once and lets wait.
///
/// `W` identifies a waiting request to the embedding program, for instance the sender of a
/// one-shot channel. A request that got [`AdmissionDecision::Run`] or [`Dequeued::Run`] must be ended with
/// [`Admission::release`], and [`Admission::next`] called until it returns [`Dequeued::None`].
#[derive(Debug)]
pub struct Admission<W> {
    running: u32,
    running_batch: u32,
    concurrency: ConcurrencyLimit,
    departures: Departures,
    queue: VecDeque<Waiting<W>>,
    batch: VecDeque<Waiting<W>>,
    /// Since when `queue` was never empty.
    standing_since: Tick,
}

impl<W> Admission<W> {
    /// Makes an admission without requests.
    #[must_use]
    pub fn new() -> Self {
        Self {
            running: 0,
            running_batch: 0,
            concurrency: ConcurrencyLimit::new(),
            departures: Departures::default(),
            queue: VecDeque::new(),
            batch: VecDeque::new(),
            standing_since: Tick::ZERO,
        }
    }

    /// Returns the requests that were sent and did not end yet.
    #[must_use]
    pub fn running(&self) -> u32 {
        self.running
    }

    /// Returns the requests that wait, batch ones not counted.
    #[must_use]
    pub fn waiting(&self) -> usize {
        self.queue.len()
    }

    /// Returns the batch requests that wait.
    #[must_use]
    pub fn waiting_batch(&self) -> usize {
        self.batch.len()
    }

    /// Returns how many requests may be sent at once at present.
    #[must_use]
    pub fn concurrency(&self, limits: &Limits) -> u32 {
        self.concurrency.current(limits.slots)
    }

    /// Decides on a request that arrives.
    pub fn arrive(
        &mut self,
        limits: &Limits,
        now: Tick,
        ticket: AdmissionRequest,
        waiter: W,
    ) -> AdmissionDecision<W> {
        match ticket.class {
            RequestClass::Interactive => {
                self.arrive_interactive(limits, now, ticket.deadline, waiter)
            }
            RequestClass::Batch => self.arrive_batch(limits, now, ticket.deadline, waiter),
        }
    }

    /// Ends a request that ran.
    pub fn release(&mut self, limits: &Limits, now: Tick, ended: &CompletedRequest) {
        self.concurrency.adjust(limits.slots, self.running, ended.outcome);
        self.departures.note_departure(now, ended.started);
        self.running = self.running.saturating_sub(1);
        if ended.class == RequestClass::Batch {
            self.running_batch = self.running_batch.saturating_sub(1);
        }
    }

    /// Decides on a request that each target refused, after its [`Admission::release`].
    ///
    /// It waits ahead of the others until `until`, the end of its first wait, and is refused
    /// when that has passed. `until` is also the bound of all its waits together.
    pub fn requeue(
        &mut self,
        limits: &Limits,
        now: Tick,
        until: Tick,
        waiter: W,
    ) -> AdmissionDecision<W> {
        let places = self.concurrency(limits);
        if now + self.departures.expected(now, 1, places) >= until {
            return refused(waiter, self.departures.expected(now, self.queue.len() + 1, places));
        }
        self.queue.push_front(Waiting { until, waiter });
        AdmissionDecision::Queued
    }

    /// Returns a waiting request that may be sent or waited too long.
    pub fn next(&mut self, limits: &Limits, now: Tick) -> Dequeued<W> {
        if let Some(expired) = pop_expired(&mut self.queue, now) {
            return Dequeued::Expired(expired);
        }
        if let Some(expired) = pop_expired(&mut self.batch, now) {
            return Dequeued::Expired(expired);
        }
        if self.has_capacity(limits)
            && let Some(waiting) = self.queue.pop_front()
        {
            self.start(now);
            return Dequeued::Run(waiting.waiter);
        }
        if self.has_batch_capacity(limits)
            && let Some(waiting) = self.batch.pop_front()
        {
            self.start_batch(now);
            return Dequeued::Run(waiting.waiter);
        }
        Dequeued::None
    }

    fn arrive_interactive(
        &mut self,
        limits: &Limits,
        now: Tick,
        deadline: Tick,
        waiter: W,
    ) -> AdmissionDecision<W> {
        if self.queue.is_empty() && self.has_capacity(limits) {
            self.start(now);
            return AdmissionDecision::Run(waiter);
        }
        let wait = self.departures.expected(now, self.queue.len() + 1, self.concurrency(limits));
        let allowed = self.allowed_wait(limits, now).min(deadline.since(now));
        if self.queue.len() >= limits.queue as usize || wait > allowed {
            return refused(waiter, wait);
        }
        self.queue.push_back(Waiting { until: now + allowed, waiter });
        AdmissionDecision::Queued
    }

    /// A burst may fill the line; one that never empties only adds its length to each wait.
    fn allowed_wait(&mut self, limits: &Limits, now: Tick) -> Duration {
        if self.queue.is_empty() {
            self.standing_since = now;
        }
        let is_standing = now.since(self.standing_since) > limits.queue_wait;
        if is_standing { limits.queue_wait / STANDING_DIVISOR } else { limits.queue_wait }
    }

    fn arrive_batch(
        &mut self,
        limits: &Limits,
        now: Tick,
        deadline: Tick,
        waiter: W,
    ) -> AdmissionDecision<W> {
        if self.batch.is_empty() && self.has_batch_capacity(limits) {
            self.start_batch(now);
            return AdmissionDecision::Run(waiter);
        }
        if self.batch.len() >= limits.batch_queue as usize || deadline <= now {
            let wait =
                self.departures.expected(now, self.batch.len() + 1, self.concurrency(limits));
            return refused(waiter, wait);
        }
        self.batch.push_back(Waiting { until: deadline, waiter });
        AdmissionDecision::Queued
    }

    fn has_capacity(&self, limits: &Limits) -> bool {
        self.running < self.concurrency(limits)
    }

    /// Patient requests use room that nobody waits for, and only a share of it.
    fn has_batch_capacity(&self, limits: &Limits) -> bool {
        let share = (self.concurrency(limits) / BATCH_SHARE).max(1);
        self.queue.is_empty() && self.has_capacity(limits) && self.running_batch < share
    }

    fn start(&mut self, now: Tick) {
        if self.running == 0 {
            self.departures.note_busy(now);
        }
        self.running += 1;
    }

    fn start_batch(&mut self, now: Tick) {
        self.start(now);
        self.running_batch += 1;
    }
}

impl<W> Default for Admission<W> {
    fn default() -> Self {
        Self::new()
    }
}

fn refused<W>(waiter: W, wait: Duration) -> AdmissionDecision<W> {
    AdmissionDecision::Refused { waiter, retry_after: wait.clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER) }
}

/// Removes the oldest request if it waited too long.
fn pop_expired<W>(queue: &mut VecDeque<Waiting<W>>, now: Tick) -> Option<W> {
    let is_expired = queue.front().is_some_and(|waiting| waiting.until <= now);
    if is_expired { queue.pop_front().map(|waiting| waiting.waiter) } else { None }
}
