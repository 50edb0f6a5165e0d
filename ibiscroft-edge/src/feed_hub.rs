//! Distribution of updates and hints to the connections with other gateways.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use ibiscroft_core::Tick;
use ibiscroft_core::fleet::{
    FollowerMessage, GatewayCount, Hint, Position, Revision, Update, UpdateHistory, View,
};
use tokio::sync::broadcast;

use crate::events::event;

/// Capacity of the queue to each follower; one that lags further behind is sent the full view.
const QUEUE_CAPACITY: usize = 64;

/// Age stated in updates whose age is not known; far above the age at which a view is stale.
const UNKNOWN_AGE: Duration = Duration::from_secs(3_600);

/// An update for followers, encoded once for all of them.
#[derive(Clone, Debug)]
pub(crate) struct FeedMessage {
    /// The update, with its age at `created_at`.
    pub(crate) update: Arc<Update>,
    /// The update without its age, in CBOR.
    pub(crate) encoded: Arc<Vec<u8>>,
    /// When the message was created.
    pub(crate) created_at: Tick,
}

impl FeedMessage {
    /// Creates a message at `now`.
    ///
    /// # Errors
    ///
    /// Returns an error if the update cannot be encoded in CBOR.
    pub(crate) fn new(update: Update, now: Tick) -> eyre::Result<Self> {
        let mut encoded = Vec::new();
        ciborium::into_writer(&update, &mut encoded)?;
        Ok(Self { update: Arc::new(update), encoded: Arc::new(encoded), created_at: now })
    }

    /// Creates a message at `now` with hints and without changes, which states the `position` of the
    /// view.
    ///
    /// # Errors
    ///
    /// Returns an error if the hints cannot be encoded in CBOR.
    pub(crate) fn of_hints(position: Position, hints: Vec<Hint>, now: Tick) -> eyre::Result<Self> {
        let update = Update {
            era: position.era,
            since: Revision(0),
            revision: position.revision,
            is_full: false,
            is_difference: false,
            changes: Vec::new(),
            hints,
            age: UNKNOWN_AGE,
        };
        Self::new(update, now)
    }
}

/// A cached message with a full view.
#[derive(Debug)]
struct CachedFullView {
    view: Arc<View>,
    message: FeedMessage,
}

/// Distributes updates to the followers of this gateway, and hints and reports to its source.
#[derive(Clone, Debug)]
pub(crate) struct FeedHub {
    /// Updates for the followers.
    tx: broadcast::Sender<FeedMessage>,
    /// Recent updates, for followers that connect or reconnect.
    history: Arc<Mutex<UpdateHistory<FeedMessage>>>,
    cached_full_view: Arc<Mutex<Option<CachedFullView>>>,
    /// Hints and reports for the source.
    to_source: broadcast::Sender<FollowerMessage>,
    /// Number of gateways that receive updates through each follower, itself included.
    followers: Arc<Mutex<HashMap<SocketAddr, GatewayCount>>>,
    /// Latest instant at which the view was known to match the store, in microseconds of the
    /// clock; 0 if it never was.
    fresh_at_us: Arc<AtomicU64>,
}

impl FeedHub {
    /// Creates a hub without followers and history.
    pub(crate) fn new() -> Self {
        let (tx, _) = broadcast::channel(QUEUE_CAPACITY);
        let (to_source, _) = broadcast::channel(QUEUE_CAPACITY);
        Self {
            tx,
            to_source,
            history: Arc::default(),
            cached_full_view: Arc::default(),
            followers: Arc::default(),
            fresh_at_us: Arc::default(),
        }
    }

    /// Records the latest instant at which the view, as published last, was known to match the
    /// store.
    pub(crate) fn set_fresh_at(&self, fresh_at: Tick) {
        self.fresh_at_us.store(fresh_at.as_micros(), Ordering::Release);
    }

    /// Returns the time since the view was last known to match the store.
    ///
    /// A view or history that is read after this call contains all changes that the store held at
    /// that time.
    pub(crate) fn staleness(&self, now: Tick) -> Duration {
        match Tick::from_micros(self.fresh_at_us.load(Ordering::Acquire)) {
            Tick::ZERO => UNKNOWN_AGE,
            fresh_at => now.since(fresh_at),
        }
    }

    /// Sends an update to all followers and adds its changes to the history.
    pub(crate) fn send(&self, message: FeedMessage) {
        let mut history = self.history();
        let update = &message.update;
        if update.is_full || update.is_difference {
            history.reset(update.position());
        } else {
            // Also without changes: later updates continue at its position.
            history.push(update.position(), message.clone());
        }
        drop(history);
        // Sending fails only if there are no followers.
        let _ = self.tx.send(message);
    }

    /// Sends hints to all followers, in an update without changes that states the `position` of the
    /// view.
    pub(crate) fn send_hints_to_followers(&self, position: Position, hints: Vec<Hint>, now: Tick) {
        match FeedMessage::of_hints(position, hints, now) {
            // Sending fails only if there are no followers.
            Ok(message) => drop(self.tx.send(message)),
            Err(error) => event!(MeshRefused, "reason={:?}", format!("encode hints: {error:#}")),
        }
    }

    /// Sends a message to the gateway that this one follows, if any.
    pub(crate) fn send_to_source(&self, message: FollowerMessage) {
        // Sending fails only if this gateway follows no other one.
        let _ = self.to_source.send(message);
    }

    /// Subscribes to the messages that are to be sent to the source.
    pub(crate) fn subscribe_to_source(&self) -> broadcast::Receiver<FollowerMessage> {
        self.to_source.subscribe()
    }

    /// Subscribes to updates after `position`.
    ///
    /// Returns the past updates, `None` if not all of them are kept, and a receiver of those to
    /// come.
    pub(crate) fn subscribe(
        &self,
        position: Position,
    ) -> (Option<Vec<FeedMessage>>, broadcast::Receiver<FeedMessage>) {
        let history = self.history();
        (history.updates_after(position), self.tx.subscribe())
    }

    /// Returns a message with the full `view`, which is encoded once for all followers.
    ///
    /// # Errors
    ///
    /// Returns an error if the view cannot be encoded in CBOR.
    pub(crate) fn full_view(&self, view: Arc<View>, now: Tick) -> eyre::Result<FeedMessage> {
        let mut cached = self.cached_full_view.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(entry) = &*cached
            && Arc::ptr_eq(&entry.view, &view)
        {
            return Ok(entry.message.clone());
        }
        let message = FeedMessage::new(view.to_full_update(UNKNOWN_AGE), now)?;
        *cached = Some(CachedFullView { view, message: message.clone() });
        Ok(message)
    }

    /// Sets the number of gateways that receive updates through a follower, itself included; zero
    /// removes a follower that has disconnected.
    pub(crate) fn set_follower_count(&self, follower: SocketAddr, count: GatewayCount) {
        let mut followers = self.followers.lock().unwrap_or_else(PoisonError::into_inner);
        if count == GatewayCount(0) {
            followers.remove(&follower);
        } else {
            followers.insert(follower, count);
        }
    }

    /// Returns the number of gateways that receive updates through this one, itself included.
    pub(crate) fn gateway_count(&self) -> GatewayCount {
        let followers = self.followers.lock().unwrap_or_else(PoisonError::into_inner);
        let sum = followers.values().fold(1, |sum: u32, count| sum.saturating_add(count.get()));
        GatewayCount(sum)
    }

    fn history(&self) -> MutexGuard<'_, UpdateHistory<FeedMessage>> {
        self.history.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
