//! Recent updates, for gateways that follow this one.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use ibiscroft_core::Tick;
use ibiscroft_core::fleet::{GatewayCount, Hint, Revision, Update, UpdateHistory, View};
use tokio::sync::broadcast;

use crate::events::event;

/// Updates that may wait for one follower before it is served anew.
const FOLLOWER_QUEUE: usize = 64;

/// Age stated for a view whose age the sender does not know; any view is stale long before.
const UNKNOWN_AGE: Duration = Duration::from_secs(3_600);

/// An update on its way to followers, encoded once for all of them.
#[derive(Clone, Debug)]
pub(crate) struct FeedMessage {
    /// The update; its age is that at `made_at`.
    pub(crate) update: Arc<Update>,
    /// The update without its age, in CBOR.
    pub(crate) encoded: Arc<Vec<u8>>,
    /// When the update was made.
    pub(crate) made_at: Tick,
}

impl FeedMessage {
    /// Makes a message at `now`.
    ///
    /// # Errors
    ///
    /// Returns why the update cannot be encoded.
    pub(crate) fn new(update: Update, now: Tick) -> eyre::Result<Self> {
        let mut encoded = Vec::new();
        ciborium::into_writer(&update, &mut encoded)?;
        Ok(Self { update: Arc::new(update), encoded: Arc::new(encoded), made_at: now })
    }
}

/// All that a view holds, as a message.
#[derive(Debug)]
struct Everything {
    view: Arc<View>,
    message: FeedMessage,
}

/// Hands updates to followers.
#[derive(Clone, Debug)]
pub(crate) struct FeedHub {
    tx: broadcast::Sender<FeedMessage>,
    history: Arc<Mutex<UpdateHistory<FeedMessage>>>,
    everything: Arc<Mutex<Option<Everything>>>,
    /// Hints on their way to the gateway that this one follows.
    upstream: broadcast::Sender<Hint>,
    /// Gateways that each follower speaks for.
    followers: Arc<Mutex<HashMap<SocketAddr, GatewayCount>>>,
}

impl FeedHub {
    /// Makes a hub without history.
    pub(crate) fn new() -> Self {
        let (tx, _) = broadcast::channel(FOLLOWER_QUEUE);
        let (upstream, _) = broadcast::channel(FOLLOWER_QUEUE);
        Self {
            tx,
            upstream,
            history: Arc::default(),
            everything: Arc::default(),
            followers: Arc::default(),
        }
    }

    /// Hands on an update.
    pub(crate) fn send(&self, message: FeedMessage) {
        let mut history = self.history();
        let update = &message.update;
        if update.is_full {
            history.reset(update.revision);
        } else if !update.changes.is_empty() {
            history.push(update.revision, message.clone());
        }
        drop(history);
        // Without a follower there is nobody to tell.
        let _ = self.tx.send(message);
    }

    /// Hands hints on to the followers.
    pub(crate) fn spread(&self, revision: Revision, hints: Vec<Hint>, now: Tick) {
        let update = Update {
            since: revision,
            revision,
            is_full: false,
            changes: Vec::new(),
            hints,
            age: UNKNOWN_AGE,
        };
        match FeedMessage::new(update, now) {
            // Without a follower there is nobody to tell.
            Ok(message) => drop(self.tx.send(message)),
            Err(error) => event!(MeshRefused, "reason={:?}", format!("encode: {error:#}")),
        }
    }

    /// Hands a hint on to the gateway that this one follows, if any.
    pub(crate) fn tell_upstream(&self, hint: Hint) {
        // A gateway that follows nobody has nobody to tell.
        let _ = self.upstream.send(hint);
    }

    /// Returns the hints to come for the gateway that this one follows.
    pub(crate) fn upstream(&self) -> broadcast::Receiver<Hint> {
        self.upstream.subscribe()
    }

    /// Returns the updates after `revision`, `None` if not all of them are kept, and those to come.
    pub(crate) fn subscribe(
        &self,
        revision: Revision,
    ) -> (Option<Vec<FeedMessage>>, broadcast::Receiver<FeedMessage>) {
        let history = self.history();
        (history.updates_after(revision), self.tx.subscribe())
    }

    /// Returns a message with all that a view holds; it is encoded once for each view.
    ///
    /// # Errors
    ///
    /// Returns why the view cannot be encoded.
    pub(crate) fn everything(&self, view: Arc<View>, now: Tick) -> eyre::Result<FeedMessage> {
        let mut cached = self.everything.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(found) = &*cached
            && Arc::ptr_eq(&found.view, &view)
        {
            return Ok(found.message.clone());
        }
        let message = FeedMessage::new(view.to_full_update(UNKNOWN_AGE), now)?;
        *cached = Some(Everything { view, message: message.clone() });
        Ok(message)
    }

    /// Notes how many gateways a follower speaks for; zero when it is gone.
    pub(crate) fn note_follower(&self, follower: SocketAddr, count: GatewayCount) {
        let mut followers = self.followers.lock().unwrap_or_else(PoisonError::into_inner);
        if count == GatewayCount(0) {
            followers.remove(&follower);
        } else {
            followers.insert(follower, count);
        }
    }

    /// Returns how many gateways this one speaks for, itself included.
    pub(crate) fn gateways(&self) -> GatewayCount {
        let followers = self.followers.lock().unwrap_or_else(PoisonError::into_inner);
        GatewayCount(1 + followers.values().map(|count| count.get()).sum::<u32>())
    }

    fn history(&self) -> MutexGuard<'_, UpdateHistory<FeedMessage>> {
        self.history.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
