//! Admission of requests and the queues of those that wait.

use std::collections::VecDeque;
use std::time::Duration;

use super::concurrency::ConcurrencyLimit;
use super::wait_estimator::WaitEstimator;
use super::{AdmissionRequest, CompletedRequest, Limits, RequestClass};
use crate::Tick;

/// Shortest retry delay that is given to a rejected caller.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(50);
/// Longest retry delay that is given to a rejected caller.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(10);
/// Divisor of the longest wait while the queue is a standing one, that is, has not been empty for
/// longer than that wait.
const STANDING_QUEUE_DIVISOR: u32 = 5;
/// Divisor of the concurrency that gives the number of batch requests sent at once.
const BATCH_SHARE_DIVISOR: u32 = 4;

/// Decision on an arriving request.
#[derive(Debug, PartialEq, Eq)]
pub enum AdmissionDecision<W> {
    /// The request may be sent now.
    Run(W),
    /// The request waits; [`Admission::next`] returns its waiter later.
    Queued,
    /// The request is rejected because too many requests wait or it would wait too long.
    Refused {
        /// The waiter that was passed in.
        waiter: W,
        /// Delay after which the caller may retry, from the measured duration of requests.
        retry_after: Duration,
    },
}

/// Decision on a waiting request.
#[derive(Debug, PartialEq, Eq)]
pub enum Dequeued<W> {
    /// The request may be sent now.
    Run(W),
    /// The request waited too long and is rejected.
    Expired(W),
    /// No waiting request may be sent or has expired.
    None,
}

/// A waiting request.
#[derive(Debug)]
struct QueuedRequest<W> {
    expires_at: Tick,
    waiter: W,
}

/// Bounds the requests of one service that a gateway sends at once, and those that wait.
///
/// `W` identifies a waiting request to the embedding program, for instance the sender of a
/// one-shot channel. For each request that got [`AdmissionDecision::Run`] or
/// [`Dequeued::Run`] the program must call [`Admission::release`] when it ends, and then
/// [`Admission::next`] until that returns [`Dequeued::None`].
#[derive(Debug)]
pub struct Admission<W> {
    running: u32,
    running_batch: u32,
    concurrency: ConcurrencyLimit,
    wait_estimator: WaitEstimator,
    queue: VecDeque<QueuedRequest<W>>,
    batch_queue: VecDeque<QueuedRequest<W>>,
    /// When `queue` became non-empty last.
    non_empty_since: Tick,
}

impl<W> Admission<W> {
    /// Creates an instance without running or waiting requests.
    #[must_use]
    pub fn new() -> Self {
        Self {
            running: 0,
            running_batch: 0,
            concurrency: ConcurrencyLimit::new(),
            wait_estimator: WaitEstimator::default(),
            queue: VecDeque::new(),
            batch_queue: VecDeque::new(),
            non_empty_since: Tick::ZERO,
        }
    }

    /// Returns the number of requests that were sent and have not ended, both classes together.
    #[must_use]
    pub fn running(&self) -> u32 {
        self.running
    }

    /// Returns the number of interactive requests that wait.
    #[must_use]
    pub fn waiting(&self) -> usize {
        self.queue.len()
    }

    /// Returns the number of batch requests that wait.
    #[must_use]
    pub fn waiting_batch(&self) -> usize {
        self.batch_queue.len()
    }

    /// Returns the present limit on the requests that are sent at once.
    #[must_use]
    pub fn concurrency(&self, limits: &Limits) -> u32 {
        self.concurrency.current(limits.slots)
    }

    /// Decides whether an arriving request is sent, waits or is rejected.
    pub fn arrive(
        &mut self,
        limits: &Limits,
        now: Tick,
        request: AdmissionRequest,
        waiter: W,
    ) -> AdmissionDecision<W> {
        match request.class {
            RequestClass::Interactive => {
                self.admit_interactive(limits, now, request.deadline, waiter)
            }
            RequestClass::Batch => self.admit_batch(limits, now, request.deadline, waiter),
        }
    }

    /// Ends a request that was sent, and adapts the concurrency limit to its outcome.
    pub fn release(&mut self, limits: &Limits, now: Tick, completed: &CompletedRequest) {
        self.concurrency.adjust(limits.slots, self.running, completed.outcome);
        self.wait_estimator.record_departure(now, completed.started);
        self.running = self.running.saturating_sub(1);
        if completed.class == RequestClass::Batch {
            self.running_batch = self.running_batch.saturating_sub(1);
        }
    }

    /// Decides on an interactive request that all attempted targets shed, after its
    /// [`Admission::release`].
    ///
    /// The request waits ahead of the others, at most until `expires_at`, the end that was set
    /// for its first wait. This instant therefore bounds all its waits together. The request is
    /// rejected if it is expected to wait longer.
    pub fn requeue(
        &mut self,
        limits: &Limits,
        now: Tick,
        expires_at: Tick,
        waiter: W,
    ) -> AdmissionDecision<W> {
        let concurrency = self.concurrency(limits);
        if now + self.wait_estimator.expected_wait(now, 1, concurrency) >= expires_at {
            return reject(
                waiter,
                self.wait_estimator.expected_wait(now, self.queue.len() + 1, concurrency),
            );
        }
        self.queue.push_front(QueuedRequest { expires_at, waiter });
        AdmissionDecision::Queued
    }

    /// Removes and returns a waiting request that may be sent or has waited too long.
    pub fn next(&mut self, limits: &Limits, now: Tick) -> Dequeued<W> {
        if let Some(expired) = pop_expired(&mut self.queue, now) {
            return Dequeued::Expired(expired);
        }
        if let Some(expired) = pop_expired(&mut self.batch_queue, now) {
            return Dequeued::Expired(expired);
        }
        if self.has_capacity(limits)
            && let Some(waiting) = self.queue.pop_front()
        {
            self.start(now);
            return Dequeued::Run(waiting.waiter);
        }
        if self.has_batch_capacity(limits)
            && let Some(waiting) = self.batch_queue.pop_front()
        {
            self.start_batch(now);
            return Dequeued::Run(waiting.waiter);
        }
        Dequeued::None
    }

    fn admit_interactive(
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
        let wait =
            self.wait_estimator.expected_wait(now, self.queue.len() + 1, self.concurrency(limits));
        let allowed = self.allowed_wait(limits, now).min(deadline.since(now));
        if self.queue.len() >= limits.queue as usize || wait > allowed {
            return reject(waiter, wait);
        }
        self.queue.push_back(QueuedRequest { expires_at: now + allowed, waiter });
        AdmissionDecision::Queued
    }

    /// Returns the longest time that an arriving interactive request may wait.
    ///
    /// A burst may use the full wait of the limits. A standing queue gets a shorter one: it
    /// absorbs no burst and only adds its length to the wait of each request.
    fn allowed_wait(&mut self, limits: &Limits, now: Tick) -> Duration {
        if self.queue.is_empty() {
            self.non_empty_since = now;
        }
        let is_standing = now.since(self.non_empty_since) > limits.queue_wait;
        if is_standing { limits.queue_wait / STANDING_QUEUE_DIVISOR } else { limits.queue_wait }
    }

    fn admit_batch(
        &mut self,
        limits: &Limits,
        now: Tick,
        deadline: Tick,
        waiter: W,
    ) -> AdmissionDecision<W> {
        if self.batch_queue.is_empty() && self.has_batch_capacity(limits) {
            self.start_batch(now);
            return AdmissionDecision::Run(waiter);
        }
        if self.batch_queue.len() >= limits.batch_queue as usize || deadline <= now {
            let wait = self.wait_estimator.expected_wait(
                now,
                self.batch_queue.len() + 1,
                self.concurrency(limits),
            );
            return reject(waiter, wait);
        }
        self.batch_queue.push_back(QueuedRequest { expires_at: deadline, waiter });
        AdmissionDecision::Queued
    }

    /// Returns whether the concurrency limit allows another request.
    fn has_capacity(&self, limits: &Limits) -> bool {
        self.running < self.concurrency(limits)
    }

    /// Returns whether a batch request may be sent: no interactive request waits, and batch
    /// requests use less than their share of the concurrency.
    fn has_batch_capacity(&self, limits: &Limits) -> bool {
        let share = (self.concurrency(limits) / BATCH_SHARE_DIVISOR).max(1);
        self.queue.is_empty() && self.has_capacity(limits) && self.running_batch < share
    }

    fn start(&mut self, now: Tick) {
        if self.running == 0 {
            self.wait_estimator.record_busy(now);
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

/// Rejects a request; `wait` is the wait that was expected for it.
fn reject<W>(waiter: W, wait: Duration) -> AdmissionDecision<W> {
    AdmissionDecision::Refused { waiter, retry_after: wait.clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER) }
}

/// Removes and returns the request at the front of `queue` if it has waited too long.
fn pop_expired<W>(queue: &mut VecDeque<QueuedRequest<W>>, now: Tick) -> Option<W> {
    let is_expired = queue.front().is_some_and(|waiting| waiting.expires_at <= now);
    if is_expired { queue.pop_front().map(|waiting| waiting.waiter) } else { None }
}
