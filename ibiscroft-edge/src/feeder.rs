//! Keeps the daemon's view up to date, from the store or from another gateway, and passes updates
//! on to followers.

mod change_log;
mod reading;
mod store_reader;

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::Bytes;
use futures_util::StreamExt;
use ibiscroft_core::Tick;
use ibiscroft_core::fleet::{
    Change, FindingOrigin, FleetSizeDebounce, FollowerMessage, GatewayCount, Hint, Member,
    Position, Relay, Source, SourceCheck, SourceMonitor, SourceSelector, Update, View,
};
use tokio_tungstenite::tungstenite::Message;

use crate::events::event;
use crate::feed_hub::{FeedHub, FeedMessage};
use crate::mesh;
use crate::registry::Registry;
use crate::shared::Shared;
use crate::target_health;
use change_log::log_changes;
use reading::ReadProgress;
use store_reader::{PendingRead, ReadResponse, StoreReader};

/// Timeout for opening a connection to another gateway, including the handshake.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
/// Time for which a gateway whose view has never been current waits for a fresh update of its
/// source; above the regular interval between two updates of a reader.
const FIRST_FRESH_UPDATE_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Age from which an update no longer counts as fresh; updates of unknown age state a far higher
/// one.
const MAX_FRESH_UPDATE_AGE: Duration = Duration::from_secs(60);

/// Why this gateway stopped following its source.
enum FollowEnd {
    /// Another source ranks higher now.
    Outranked,
    /// The changes of the source do not apply to this view, and its full view is needed: the source
    /// has read a later era of the store, or has listed it while this gateway was ahead of it.
    NeedsFullView,
    /// The connection or the source failed, for the reason given.
    Failed(String),
}

/// Applies updates of the current source to the view, and publishes the view to the traffic thread
/// and the updates to followers.
#[derive(Debug)]
pub(crate) struct Feeder<R> {
    shared: Arc<Shared>,
    reader: StoreReader<R>,
    source_selector: SourceSelector,
    view: View,
    hub: FeedHub,
    relay: Relay,
    size_debounce: FleetSizeDebounce,
}

impl<R: Registry> Feeder<R> {
    /// Creates a feeder with an empty view that passes updates on to `hub`.
    pub(crate) fn new(shared: Arc<Shared>, registry: R, hub: FeedHub) -> Self {
        let settings = &shared.settings;
        let source_selector =
            SourceSelector::new(settings.instance.clone(), settings.availability_zone.clone());
        let reader = StoreReader::new(Arc::clone(&shared), registry);
        Self {
            shared,
            reader,
            source_selector,
            view: View::default(),
            hub,
            relay: Relay::default(),
            size_debounce: FleetSizeDebounce::default(),
        }
    }

    /// Receives updates from the best source until the runtime stops.
    pub(crate) async fn run(mut self) {
        let mut last = None;
        loop {
            let source = self.select_source();
            if last.as_ref() != Some(&source) {
                let revision = self.view.position();
                event!(SourceChanged, "source={} revision={revision}", source_name(&source));
            }
            self.shared.quotas.set_root(source == Source::Store);
            match &source {
                Source::Store => {
                    self.read_store().await;
                    self.write_gateway_count().await;
                    self.reader.wait_for_next_read(self.view.member_count() == 0).await;
                }
                Source::Peer(peer) => self.follow_once(peer).await,
            }
            last = Some(source);
        }
    }

    fn select_source(&mut self) -> Source {
        let now = self.shared.clock.now();
        self.source_selector.select(now, self.view.members())
    }

    /// Follows a peer until it fails or another source ranks higher; records a failure.
    async fn follow_once(&mut self, peer: &Member) {
        let mut end = self.follow(peer).await;
        if matches!(end, FollowEnd::NeedsFullView) {
            end = self.follow(peer).await;
        }
        let reason = match end {
            FollowEnd::Outranked => None,
            FollowEnd::NeedsFullView => Some("no full view from the source".to_string()),
            FollowEnd::Failed(reason) => Some(reason),
        };
        if let Some(reason) = reason {
            let age = self.source_selector.staleness(self.shared.clock.now());
            event!(SourceLost, "peer={} age_ms={} reason={reason:?}", peer.name, age.as_millis());
            self.source_selector.note_source_failed(self.shared.clock.now(), &peer.name);
            self.read_if_stale().await;
        }
    }

    /// Connects to a peer and applies its updates; sends it hints and the number of gateways that
    /// receive updates through this one.
    async fn follow(&mut self, peer: &Member) -> FollowEnd {
        let connected = tokio::time::timeout(
            CONNECT_TIMEOUT,
            mesh::connect(peer.address, self.view.position()),
        )
        .await;
        let mut stream = match connected {
            Ok(Ok(stream)) => stream,
            Ok(Err(error)) => return FollowEnd::Failed(format!("connect: {error:#}")),
            Err(_) => {
                let ms = CONNECT_TIMEOUT.as_millis();
                return FollowEnd::Failed(format!("connect: timed out after {ms} ms"));
            }
        };
        let connected_at = self.shared.clock.now();
        let mut monitor = SourceMonitor::new(connected_at);
        let mut pending_read = None;
        let mut sent_count = GatewayCount(0);
        let mut messages = self.hub.subscribe_to_source();
        let lasting_hints = self.shared.traffic().lasting_hints();
        for hint in lasting_hints {
            if let Err(error) = mesh::send_encoded(&mut stream, &FollowerMessage::Hint(hint)).await
            {
                return FollowEnd::Failed(format!("send hint: {error:#}"));
            }
        }
        loop {
            let count = self.hub.gateway_count();
            if count != sent_count {
                sent_count = count;
                let message = FollowerMessage::Gateways(count);
                if let Err(error) = mesh::send_encoded(&mut stream, &message).await {
                    return FollowEnd::Failed(format!("send number of gateways: {error:#}"));
                }
            }
            let check_at = match monitor.check(self.shared.clock.now()) {
                SourceCheck::WaitUntil(until) if pending_read.is_some() => until,
                SourceCheck::WaitUntil(until) => until.min(self.check_freshness_at(connected_at)),
                SourceCheck::Ask => {
                    if let Err(error) = mesh::send(&mut stream, Message::Ping(Bytes::new())).await {
                        return FollowEnd::Failed(format!("ask whether it responds: {error:#}"));
                    }
                    continue;
                }
                SourceCheck::GiveUp => {
                    return FollowEnd::Failed("source does not respond".to_string());
                }
            };
            let check_at = self.shared.clock.instant(check_at);
            let next = tokio::select! {
                next = tokio::time::timeout_at(check_at, stream.next()) => next,
                response = response_to(&mut pending_read) => {
                    pending_read = None;
                    if self.on_store_response(response) == ReadProgress::Read {
                        return FollowEnd::Failed("no fresh update from the source".to_string());
                    }
                    continue;
                }
                Ok(message) = messages.recv() => {
                    if let Err(error) = mesh::send_encoded(&mut stream, &message).await {
                        return FollowEnd::Failed(format!("send hint or report: {error:#}"));
                    }
                    continue;
                }
            };
            if matches!(next, Ok(Some(Ok(_)))) {
                monitor.note_heard(self.shared.clock.now());
            }
            match next {
                Ok(Some(Ok(message))) => match mesh::decode_update(message) {
                    Ok(Some(update)) if !self.view.is_contiguous_with(&update) => {
                        let (own, since) = (self.view.position(), update.since_position());
                        if since.era > own.era || update.is_difference {
                            return FollowEnd::NeedsFullView;
                        }
                        let reason = format!("changes after {own} and up to {since} are missing");
                        return FollowEnd::Failed(reason);
                    }
                    Ok(Some(update)) => self.apply_update(update, "peer"),
                    Ok(None) => {}
                    Err(error) => return FollowEnd::Failed(format!("invalid message: {error:#}")),
                },
                Ok(Some(Err(error))) => return FollowEnd::Failed(error.to_string()),
                Ok(None) => return FollowEnd::Failed("source closed the connection".to_string()),
                Err(_) if self.is_update_overdue(connected_at) => {
                    return FollowEnd::Failed("no fresh update from the source".to_string());
                }
                Err(_) => {}
            }
            // The source is listened to while the store is read.
            if !self.is_read_due() {
                pending_read = None;
            } else if pending_read.is_none() {
                pending_read = Some(self.begin_read());
            }
            self.expire();
            if self.select_source() != Source::Peer(peer.clone()) {
                return FollowEnd::Outranked;
            }
        }
    }

    /// Returns when a follower that hears nothing fresh from its source, to which it connected at
    /// `connected_at`, reads the store or gives the source up.
    fn check_freshness_at(&self, connected_at: Tick) -> Tick {
        if self.has_been_current() {
            self.source_selector.stale_at().max(self.reader.next_follower_call())
        } else {
            connected_at + FIRST_FRESH_UPDATE_TIMEOUT
        }
    }

    /// Returns whether the view has never been current and the source has had time to change that.
    fn is_update_overdue(&self, connected_at: Tick) -> bool {
        let is_late = self.shared.clock.now() >= connected_at + FIRST_FRESH_UPDATE_TIMEOUT;
        !self.has_been_current() && is_late
    }

    /// Returns whether the view has matched the current state of the store at some time.
    fn has_been_current(&self) -> bool {
        self.shared.has_been_current.load(Ordering::Relaxed)
    }

    /// Applies an update to the view and publishes the result, or handles its hints.
    fn apply_update(&mut self, update: Update, source: &str) {
        let now = self.shared.clock.now();
        let before = self.view.position();
        if !update.hints.is_empty() {
            self.on_hints(update.hints);
            return;
        }
        if !self.view.accepts(&update) {
            return;
        }
        if update.age < MAX_FRESH_UPDATE_AGE {
            self.source_selector.note_fresh(now, update.age);
            self.reader.reset_backoff();
            self.shared.has_been_current.store(true, Ordering::Relaxed);
        }
        let applied = self.view.apply(now, update.clone());
        let is_difference = update.is_full || update.is_difference;
        if before.is_known() && self.view.position().era > before.era {
            let (revision, kept) = (self.view.position(), self.view.lost_evacuations().count());
            event!(
                StoreRestored,
                "revision={revision} before={before} source={source} lost_evacuations={kept}"
            );
        }
        let forwarded = self.relay.changes_to_forward(&self.view, &update, &applied);
        self.publish(before, is_difference, &applied, forwarded, source);
    }

    /// Applies hints of the source and forwards those that the followers need.
    fn on_hints(&self, hints: Vec<Hint>) {
        let now = self.shared.clock.now();
        let mut forwarded = Vec::new();
        for hint in hints {
            let taken = target_health::take(&self.shared, FindingOrigin::Source, hint);
            let Some(hint) = taken else {
                continue;
            };
            if let Hint::Quota(notice) = &hint {
                self.shared.quotas.on_notice(&self.shared, notice);
                forwarded.push(hint);
                continue;
            }
            if self.shared.traffic().on_hint(now, &hint) {
                event!(HintTaken, "source=peer {hint:?}");
                forwarded.push(hint);
            }
        }
        if !forwarded.is_empty() {
            self.hub.send_hints_to_followers(self.view.position(), forwarded, now);
        }
    }

    /// Removes targets whose grace period has ended, and publishes the result.
    fn expire(&mut self) {
        let before = self.view.position();
        let expired = self.view.expire(self.shared.clock.now());
        if !expired.is_empty() {
            self.publish(before, false, &expired, expired.clone(), "grace_ended");
        }
    }

    /// Publishes the view to the traffic thread, and an update to the followers.
    ///
    /// `before` is the view's position before the update, `is_difference` says whether the update was
    /// a listing or a difference, `applied` are the changes that made a difference to the view, and
    /// `forwarded` those that followers receive.
    fn publish(
        &self,
        before: Position,
        is_difference: bool,
        applied: &[Change],
        forwarded: Vec<Change>,
        source: &str,
    ) {
        let now = self.shared.clock.now();
        let position = self.view.position();
        let age = self.source_selector.staleness(now);
        log_changes(position, applied, source, age);
        let begins_era = position.era > before.era;
        // Also without changes: new followers get this view, and later updates continue at its
        // position.
        if !applied.is_empty() || position != before {
            self.shared.view.store(Arc::new(self.view.clone()));
        }
        if !applied.is_empty() {
            let version =
                i64::try_from(self.view.configuration_version().get()).unwrap_or(i64::MAX);
            self.shared.metrics.configuration_version.set(version);
            if let Some(count) = self.view.gateway_count() {
                self.shared.traffic().fleet_size.note(now, count);
            }
            if let Some(configuration) = self.view.configuration() {
                self.shared.has_configuration.send_replace(true);
                self.shared.traffic().retain_routes(configuration.routes());
                self.shared.quotas.configure(configuration);
            }
        }
        self.shared.set_fresh_at(self.source_selector.fresh_at());
        if !position.is_known() {
            // The view comes from a stale listing and is of no use to followers.
            return;
        }
        self.hub.set_fresh_at(self.source_selector.fresh_at());
        let is_listing_in_grace = is_difference && self.view.is_in_grace_of_era();
        let update = if !before.is_known() || begins_era || is_listing_in_grace {
            self.view.to_full_update(age)
        } else {
            let hints = Vec::new();
            let (since, revision) = (before.revision, position.revision);
            let (era, changes) = (position.era, forwarded);
            Update { era, since, revision, is_full: false, is_difference, changes, hints, age }
        };
        match FeedMessage::new(update, now) {
            Ok(message) => self.hub.send(message),
            Err(error) => event!(MeshRefused, "reason={:?}", format!("encode update: {error:#}")),
        }
    }
}

/// Waits for the response to a read; forever if there is none.
async fn response_to(read: &mut Option<PendingRead>) -> ReadResponse {
    match read {
        Some(read) => read.response().await,
        None => std::future::pending().await,
    }
}

/// Returns the name of a source in log lines.
fn source_name(source: &Source) -> &str {
    match source {
        Source::Store => "store",
        Source::Peer(peer) => peer.name.as_str(),
    }
}
