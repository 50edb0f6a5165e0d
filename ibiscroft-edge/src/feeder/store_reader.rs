//! Rate-limited reads of the store.

use std::sync::Arc;
use std::time::Duration;

use ibiscroft_core::Tick;
use ibiscroft_core::fleet::{GatewayCount, Position, StoreBackoff, StoreCall, StoreCaller, Update};
use rand::Rng;
use tokio::task::JoinHandle;

use crate::events::event;
use crate::registry::{Registry, RegistryError};
use crate::shared::Shared;

/// Time for which the store waits for changes in one watch call. The sum of this and
/// `READ_INTERVAL` bounds the regular time between two updates of a reader.
const WATCH_TIMEOUT: Duration = Duration::from_millis(250);
/// Time beyond the wait of a watch within which its response is expected; allows for a store that
/// is many times slower than usual, and leaves time to list everything before followers become
/// stale.
const WATCH_RESPONSE_TIMEOUT: Duration = Duration::from_millis(300);
/// Staleness up to which a watch may wait for changes; above the regular one of a reader.
const MAX_STALENESS_FOR_WAIT: Duration = Duration::from_millis(800);
/// Interval between reads, in which changes accumulate; a quarter of the time within which gateways
/// must stop sending to a leaving target.
const READ_INTERVAL: Duration = Duration::from_millis(500);
/// Number of stale listings without another gateway after which the gateway reads the current
/// state, because it takes the others to be down.
const MAX_STALE_LISTINGS: u32 = 4;
/// Interval between stale listings; the gateways of a starting fleet register within it.
const STALE_LISTING_INTERVAL: Duration = Duration::from_millis(800);
/// Shortest time between the end of a call that took long and the next one of a follower.
const MIN_CALL_PAUSE: Duration = Duration::from_millis(100);
/// Age assigned to a stale listing.
const STALE_LISTING_AGE: Duration = Duration::from_secs(3_600);

/// Result of one call.
#[derive(Debug)]
pub(super) enum ReadResult {
    /// Changes or a full listing.
    Updated {
        update: Update,
        /// Whether this is the first successful read after failed ones.
        has_store_recovered: bool,
    },
    /// The store responded to a check and may be read.
    Reachable,
    /// The call failed.
    Failed,
}

/// What a read asks the store for.
#[derive(Clone, Copy, Debug)]
enum ReadKind {
    /// Nothing, only whether it responds.
    Check,
    /// A stale listing to serve callers with.
    Sample,
    /// A stale listing of the gateways.
    Gateways,
    /// The changes, for which the store waits at most for this time.
    Watch { wait: Duration },
    /// Everything.
    List,
}

/// The store's response to a read.
#[derive(Debug)]
pub(super) struct ReadResponse {
    /// Position after which changes were read.
    position: Position,
    /// Whether the listing may be outdated.
    is_stale: bool,
    /// Maximum time since the store was in the state that the response describes.
    age: Duration,
    /// When the call began.
    begun_at: Tick,
    /// What was read, `None` after a check.
    result: Result<Option<Update>, RegistryError>,
}

/// A read whose response is awaited; dropping it cancels the read.
#[derive(Debug)]
pub(super) struct PendingRead {
    position: Position,
    begun_at: Tick,
    task: JoinHandle<ReadResponse>,
}

impl Drop for PendingRead {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl PendingRead {
    /// Waits for the response.
    pub(super) async fn response(&mut self) -> ReadResponse {
        match (&mut self.task).await {
            Ok(response) => response,
            Err(error) => ReadResponse {
                position: self.position,
                is_stale: false,
                age: Duration::ZERO,
                begun_at: self.begun_at,
                result: Err(RegistryError::Unavailable(format!("read: {error}"))),
            },
        }
    }
}

/// The calls of one read.
struct ReadTask<R> {
    shared: Arc<Shared>,
    registry: R,
    position: Position,
}

impl<R: Registry> ReadTask<R> {
    async fn run(self, kind: ReadKind) -> ReadResponse {
        let begun_at = self.shared.clock.now();
        let mut started = begun_at;
        let (mut allowed_wait, mut is_stale) = (Duration::ZERO, false);
        let result = match kind {
            ReadKind::Check => {
                self.count("check");
                self.registry.check().await.map(|()| None)
            }
            ReadKind::Sample => {
                is_stale = true;
                self.list_sample().await.map(Some)
            }
            ReadKind::Gateways => {
                is_stale = true;
                self.count("list_gateways");
                self.registry.list_gateways().await.map(Some)
            }
            ReadKind::Watch { wait } => match self.watch(wait).await {
                Some(result) => {
                    // A watch without changes returns after its wait; time beyond that counts as
                    // the age of the update.
                    allowed_wait = wait;
                    result.map(Some)
                }
                None => {
                    started = self.shared.clock.now();
                    self.list().await.map(Some)
                }
            },
            ReadKind::List => self.list().await.map(Some),
        };
        let age = self.shared.clock.now().since(started).saturating_sub(allowed_wait);
        ReadResponse { position: self.position, is_stale, age, begun_at, result }
    }

    /// Reads the changes; `None` if the store does not respond in time, or if its response is of a
    /// later era and everything is to be listed.
    ///
    /// Watches may stay without a response while other calls get one, as before the store drops its
    /// history.
    async fn watch(&self, wait: Duration) -> Option<Result<Update, RegistryError>> {
        self.count("watch");
        let watch = self.registry.watch(self.position, wait);
        let result = tokio::time::timeout(wait + WATCH_RESPONSE_TIMEOUT, watch).await.ok()?;
        let is_of_later_era = result.as_ref().is_ok_and(|update| update.era > self.position.era);
        (!is_of_later_era).then_some(result)
    }

    async fn list(&self) -> Result<Update, RegistryError> {
        self.count("list");
        self.registry.list(false).await
    }

    async fn list_sample(&self) -> Result<Update, RegistryError> {
        self.count("sample");
        let sample = self.registry.list_sample(rand::random()).await?;
        self.shared.traffic().listed_fraction = sample.fraction;
        Ok(sample.update)
    }

    /// Counts a call to the store by its kind.
    fn count(&self, call: &str) {
        count_call(&self.shared, call);
    }
}

/// Reads the store for this gateway.
#[derive(Debug)]
pub(super) struct StoreReader<R> {
    shared: Arc<Shared>,
    registry: R,
    /// Whether a read has returned the current state of the store.
    is_current: bool,
    /// Whether the store no longer keeps the changes since the last read.
    is_history_lost: bool,
    /// Whether the last read failed.
    is_store_lost: bool,
    /// Number of stale listings read.
    stale_listings: u32,
    backoff: StoreBackoff,
    /// Whether other gateways receive updates through this one.
    has_followers: bool,
    /// When a gateway that follows another one may call the store after a failed call.
    next_follower_call: Tick,
    /// Delay before the next read: `READ_INTERVAL` less the delay of the last call.
    next_read_delay: Duration,
}

impl<R: Registry> StoreReader<R> {
    /// Creates a reader that has read nothing yet.
    pub(super) fn new(shared: Arc<Shared>, registry: R) -> Self {
        Self {
            shared,
            registry,
            is_current: false,
            is_history_lost: false,
            is_store_lost: false,
            stale_listings: 0,
            backoff: StoreBackoff::default(),
            has_followers: false,
            next_follower_call: Tick::ZERO,
            next_read_delay: READ_INTERVAL,
        }
    }

    /// Begins to read the changes after `position`, or to list everything if there is no such
    /// position or the store no longer keeps the changes; after a failed read, begins to check
    /// whether the store responds. The response is passed to [`Self::finish`].
    ///
    /// A gateway that `knows_no_gateways` first reads stale listings, which are cheap, to find
    /// another gateway to follow. The store waits for changes only if the view, known to match the
    /// store up to `staleness` ago, is not about to become stale.
    pub(super) fn begin(
        &mut self,
        position: Position,
        knows_no_gateways: bool,
        staleness: Duration,
    ) -> PendingRead {
        let wait = if staleness > MAX_STALENESS_FOR_WAIT { Duration::ZERO } else { WATCH_TIMEOUT };
        let kind = if self.backoff.next_call() == StoreCall::Check {
            ReadKind::Check
        } else if knows_no_gateways && self.stale_listings < MAX_STALE_LISTINGS {
            self.stale_listings += 1;
            if self.stale_listings == 1 { ReadKind::Sample } else { ReadKind::Gateways }
        } else if !self.is_history_lost && position.is_known() {
            ReadKind::Watch { wait }
        } else {
            ReadKind::List
        };
        let task = ReadTask {
            shared: Arc::clone(&self.shared),
            registry: self.registry.clone(),
            position,
        };
        let begun_at = self.shared.clock.now();
        PendingRead { position, begun_at, task: tokio::spawn(task.run(kind)) }
    }

    /// Evaluates the response to a read.
    pub(super) fn finish(&mut self, response: ReadResponse) -> ReadResult {
        let ReadResponse { position, is_stale, age, begun_at, result } = response;
        let mut update = match result {
            Ok(Some(update)) => update,
            Ok(None) => {
                self.on_reachable(position, begun_at);
                return ReadResult::Reachable;
            }
            Err(error) => {
                self.on_error(&error, position, begun_at);
                return ReadResult::Failed;
            }
        };
        if is_stale {
            // The changes since the listing are unknown. An unknown position makes the gateway that
            // is followed next send its full view.
            (update.era, update.revision) = (Position::UNKNOWN.era, Position::UNKNOWN.revision);
            update.age = STALE_LISTING_AGE;
            return ReadResult::Updated { update, has_store_recovered: false };
        }
        update.age = age;
        self.next_read_delay = READ_INTERVAL.saturating_sub(age);
        self.is_current = true;
        self.is_history_lost = false;
        let has_store_recovered = std::mem::take(&mut self.is_store_lost);
        if has_store_recovered {
            event!(StoreBack, "revision={}", update.position());
        }
        ReadResult::Updated { update, has_store_recovered }
    }

    /// Writes the number of gateways to the store; a failed write is repeated after the next read.
    pub(super) async fn write_gateway_count(&self, count: GatewayCount) {
        count_call(&self.shared, "write");
        if let Err(error) = self.registry.write_gateway_count(count).await {
            event!(StoreLost, "gateways={count} reason={:?}", error.to_string());
        }
    }

    /// Waits until the next read is due.
    pub(super) async fn wait_for_next_read(&self, knows_no_gateways: bool) {
        let delay = if self.is_store_lost {
            jitter(self.backoff.delay(StoreCaller::Reader))
        } else if self.is_current {
            self.next_read_delay
        } else if knows_no_gateways {
            STALE_LISTING_INTERVAL
        } else {
            Duration::ZERO
        };
        tokio::time::sleep(delay).await;
    }

    /// Sets whether other gateways receive updates through this one; they wait for it, so it calls
    /// a store that does not respond more often.
    pub(super) fn set_has_followers(&mut self, has_followers: bool) {
        self.has_followers = has_followers;
    }

    /// Returns when a gateway that follows another one may call the store again after a failed
    /// call.
    pub(super) fn next_follower_call(&self) -> Tick {
        self.next_follower_call
    }

    /// Ends the backoff after a fresh update from any source: the store evidently responds, so the
    /// next call of this gateway need not wait.
    pub(super) fn reset_backoff(&mut self) {
        self.backoff.note_success();
        self.next_follower_call = Tick::ZERO;
    }

    /// Records that the store responded to a check that began at `begun_at`.
    fn on_reachable(&mut self, position: Position, begun_at: Tick) {
        self.backoff.note_reachable();
        let source_grace = self.schedule_follower_call(begun_at);
        event!(StoreReachable, "revision={position} source_grace_ms={}", source_grace.as_millis());
    }

    /// Sets when this gateway, if it follows another one, makes the call after the one that began at
    /// `begun_at`; returns the delay from then.
    fn schedule_follower_call(&mut self, begun_at: Tick) -> Duration {
        let caller = if self.has_followers { StoreCaller::Leader } else { StoreCaller::Follower };
        let delay = jitter(self.backoff.delay(caller));
        let earliest = self.shared.clock.now() + MIN_CALL_PAUSE;
        self.next_follower_call = earliest.max(begun_at + delay);
        delay
    }

    /// Records a failed call that began at `begun_at`; if several fail in a row, only the first is
    /// logged.
    fn on_error(&mut self, error: &RegistryError, position: Position, begun_at: Tick) {
        if *error == RegistryError::HistoryLost {
            self.is_history_lost = true;
            event!(HistoryLost, "revision={position}");
            return;
        }
        self.backoff.note_failure();
        let delay = self.schedule_follower_call(begun_at);
        if !std::mem::replace(&mut self.is_store_lost, true) {
            let (ms, reason) = (delay.as_millis(), error.to_string());
            event!(StoreLost, "revision={position} next_call_ms={ms} reason={reason:?}");
        }
    }
}

/// Randomizes a delay, so that gateways whose calls failed together do not repeat them together.
fn jitter(delay: Duration) -> Duration {
    delay.mul_f64(rand::rng().random_range(0.75..1.25))
}

/// Counts a call to the store by its kind.
fn count_call(shared: &Shared, call: &str) {
    shared.metrics.store_calls.with_label_values(&[call]).inc();
    log::debug!("store call={call}");
}
