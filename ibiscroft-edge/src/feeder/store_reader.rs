//! Reads the store at a bounded rate.

use std::sync::Arc;
use std::time::Duration;

use ibiscroft_core::fleet::{GatewayCount, Revision, StoreBackoff, Update};
use rand::Rng;

use crate::events::event;
use crate::registry::{Registry, RegistryError};
use crate::shared::Shared;

/// Longest wait of one call for changes; with `GATHER` it bounds a reader's regular silence.
const WATCH: Duration = Duration::from_millis(250);
/// Time in which changes gather before the store is asked again: a quarter of the time in which
/// a leaving target must be left alone.
const GATHER: Duration = Duration::from_millis(500);
/// Listings that may be old, before the others are taken to be away.
const STALE_READS: u32 = 4;
/// Pause between such listings: a starting fleet registers itself within it.
const STALE_PAUSE: Duration = Duration::from_millis(800);
/// Age given to a listing that may be old.
const STALE_AGE: Duration = Duration::from_secs(3_600);

/// What one call brought.
#[derive(Debug)]
pub(super) struct Read {
    /// Changes, or everything.
    pub(super) update: Option<Update>,
    /// Whether the store answers again after it did not.
    pub(super) is_back: bool,
}

/// Reads the store for one gateway.
#[derive(Debug)]
pub(super) struct StoreReader<R> {
    shared: Arc<Shared>,
    registry: R,
    /// Whether this reader has read the store's present state.
    is_current: bool,
    /// Whether the changes since the last read are no longer kept.
    lost_history: bool,
    is_lost: bool,
    stale_reads: u32,
    pause: StoreBackoff,
    /// Rest of the time in which changes gather, less what a slow call took.
    gather: Duration,
}

impl<R: Registry> StoreReader<R> {
    /// Makes a reader that has read nothing.
    pub(super) fn new(shared: Arc<Shared>, registry: R) -> Self {
        Self {
            shared,
            registry,
            is_current: false,
            lost_history: false,
            is_lost: false,
            stale_reads: 0,
            pause: StoreBackoff::default(),
            gather: GATHER,
        }
    }

    /// Reads the changes after `revision`, or everything if they are not known to be kept.
    ///
    /// A gateway that `knows_nobody` reads a listing that may be old, which is cheap, to find
    /// another gateway to follow.
    pub(super) async fn read(&mut self, revision: Revision, knows_nobody: bool) -> Read {
        let is_stale = knows_nobody && self.stale_reads < STALE_READS;
        let began = self.shared.clock.now();
        let read = if is_stale {
            self.count("stale_list");
            self.stale_reads += 1;
            self.registry.list(true).await
        } else if !self.lost_history && revision > Revision(0) {
            self.count("watch");
            self.registry.watch(revision, WATCH).await
        } else {
            self.count("list");
            self.registry.list(false).await
        };
        match read {
            Ok(mut update) => {
                if is_stale {
                    // Changes since the listing are unknown, so another gateway must tell all.
                    update.revision = Revision(0);
                    update.age = STALE_AGE;
                    return Read { update: Some(update), is_back: false };
                }
                // A watch answers at the end of its wait; what goes beyond it is age.
                update.age = self.shared.clock.now().since(began).saturating_sub(WATCH);
                self.gather = GATHER.saturating_sub(update.age);
                self.is_current = true;
                self.lost_history = false;
                let is_back = std::mem::take(&mut self.is_lost);
                if is_back {
                    event!(StoreBack, "revision={}", update.revision);
                }
                Read { update: Some(update), is_back }
            }
            Err(error) => {
                self.on_error(&error, revision);
                Read { update: None, is_back: false }
            }
        }
    }

    /// Writes the number of gateways; a failure is tried again with the next read.
    pub(super) async fn write_gateway_count(&self, count: GatewayCount) {
        self.count("write");
        if let Err(error) = self.registry.write_gateway_count(count).await {
            event!(StoreLost, "gateways={count} reason={:?}", error.to_string());
        }
    }

    /// Waits until the store may be asked again.
    pub(super) async fn gather(&self, knows_nobody: bool) {
        let pause = if self.is_lost {
            spread(self.pause.reader_delay())
        } else if self.is_current {
            self.gather
        } else if knows_nobody {
            STALE_PAUSE
        } else {
            Duration::ZERO
        };
        tokio::time::sleep(pause).await;
    }

    /// Returns the pause before another call of a gateway that follows another one; zero after
    /// an answer.
    pub(super) fn pause_of_follower(&self) -> Duration {
        spread(self.pause.follower_delay())
    }

    /// Notes that the view is fresh, whoever told: the store answers again, so the next call of
    /// this gateway need not wait.
    pub(super) fn note_fresh(&mut self) {
        self.pause.note_success();
    }

    fn on_error(&mut self, error: &RegistryError, revision: Revision) {
        if *error == RegistryError::HistoryLost {
            self.lost_history = true;
            event!(HistoryLost, "revision={revision}");
            return;
        }
        self.pause.note_failure();
        if !std::mem::replace(&mut self.is_lost, true) {
            event!(StoreLost, "revision={revision} reason={:?}", error.to_string());
        }
    }

    fn count(&self, call: &str) {
        self.shared.metrics.store_calls.with_label_values(&[call]).inc();
        log::debug!("store call={call}");
    }
}

/// Varies a pause, so that gateways that failed together do not call together.
fn spread(pause: Duration) -> Duration {
    pause.mul_f64(rand::rng().random_range(0.75..1.25))
}
