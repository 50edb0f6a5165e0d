//! Keeps the daemon's view up to date, from the store or from another gateway.

mod store_reader;

use std::sync::Arc;
use std::time::Duration;

use futures_util::StreamExt;
use ibiscroft_core::Tick;
use ibiscroft_core::fleet::{Change, Feed, Member, Source, Update, View};
use tokio::sync::broadcast;

use crate::events::event;
use crate::mesh::{self, FeedMessage};
use crate::registry::Registry;
use crate::shared::Shared;
use store_reader::StoreReader;

/// Longest time to open a connection to another gateway and to get its view.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);

/// Why a gateway stopped following another.
enum Followed {
    /// Another source ranks before it now.
    Outranked,
    /// It failed for the reason given.
    Failed(String),
}

/// Reads changes and publishes views.
#[derive(Debug)]
pub(crate) struct Feeder<R> {
    shared: Arc<Shared>,
    reader: StoreReader<R>,
    feed: Feed,
    view: View,
    followers: broadcast::Sender<FeedMessage>,
}

impl<R: Registry> Feeder<R> {
    /// Makes a feeder that knows nothing and tells `followers` what it hears.
    pub(crate) fn new(
        shared: Arc<Shared>,
        registry: R,
        followers: broadcast::Sender<FeedMessage>,
    ) -> Self {
        let settings = &shared.settings;
        let feed = Feed::new(settings.instance.clone(), settings.availability_zone.clone());
        let reader = StoreReader::new(Arc::clone(&shared), registry);
        Self { shared, reader, feed, view: View::default(), followers }
    }

    /// Follows the best source until the runtime ends.
    pub(crate) async fn run(mut self) {
        let mut last = None;
        loop {
            let source = self.source();
            if last.as_ref() != Some(&source) {
                let revision = self.view.revision();
                event!(SourceChanged, "source={} revision={revision}", name(&source));
            }
            match &source {
                Source::Store => {
                    self.read_store().await;
                    self.reader.gather().await;
                }
                Source::Peer(peer) => self.follow_once(peer).await,
            }
            last = Some(source);
        }
    }

    fn source(&mut self) -> Source {
        let now = self.shared.clock.now();
        if self.view.member_count() == 0 || self.view.configuration().is_none() {
            return Source::Store;
        }
        self.feed.source(now, self.view.members())
    }

    /// Reads the store once; returns whether it answered.
    async fn read_store(&mut self) -> bool {
        let began = self.shared.clock.now();
        let read = self.reader.read(self.view.revision()).await;
        let now = self.shared.clock.now();
        if read.is_back {
            self.view.note_store_back(now);
        }
        let Some(mut update) = read.update else {
            self.expire();
            return false;
        };
        update.age = now.since(began);
        self.take(update, "store");
        self.expire();
        true
    }

    /// Follows a peer until it fails or another source is better.
    async fn follow_once(&mut self, peer: &Member) {
        if let Followed::Failed(reason) = self.follow(peer).await {
            let age = self.feed.age(self.shared.clock.now());
            event!(SourceLost, "peer={} age_ms={} reason={reason:?}", peer.name, age.as_millis());
            self.feed.note_failed(self.shared.clock.now(), &peer.name);
            self.read_if_stale().await;
        }
    }

    async fn follow(&mut self, peer: &Member) -> Followed {
        let opened = tokio::time::timeout(CONNECT_TIMEOUT, mesh::open(peer.address)).await;
        let mut stream = match opened {
            Ok(Ok(stream)) => stream,
            Ok(Err(error)) => return Followed::Failed(format!("connect: {error:#}")),
            Err(_) => {
                let ms = CONNECT_TIMEOUT.as_millis();
                return Followed::Failed(format!("no connection within {ms} ms"));
            }
        };
        loop {
            let wake = self.feed.stale_at().max(self.shared.clock.now() + self.reader.pause());
            let wake = self.shared.clock.instant(wake);
            match tokio::time::timeout_at(wake, stream.next()).await {
                Ok(Some(Ok(message))) => match mesh::decode(message) {
                    Ok(Some(update)) => self.take(update, "peer"),
                    Ok(None) => {}
                    Err(error) => return Followed::Failed(format!("message: {error:#}")),
                },
                Ok(Some(Err(error))) => return Followed::Failed(error.to_string()),
                Ok(None) => return Followed::Failed("the connection ended".to_string()),
                Err(_) => {
                    if self.read_if_stale().await {
                        return Followed::Failed("it told nothing fresh".to_string());
                    }
                }
            }
            self.expire();
            if self.source() != Source::Peer(peer.clone()) {
                return Followed::Outranked;
            }
        }
    }

    /// Reads the store if the view is old; returns whether it answered.
    async fn read_if_stale(&mut self) -> bool {
        self.shared.clock.now() >= self.feed.stale_at() && self.read_store().await
    }

    fn take(&mut self, update: Update, source: &str) {
        let now = self.shared.clock.now();
        if update.revision >= self.view.revision() {
            self.feed.note_fresh(now, update.age);
        }
        let made = self.view.apply(now, update);
        self.publish(made, source);
    }

    fn expire(&mut self) {
        let made = self.view.expire(self.shared.clock.now());
        if !made.is_empty() {
            self.publish(made, "grace_ended");
        }
    }

    /// Tells the traffic thread and the followers.
    fn publish(&self, made: Vec<Change>, source: &str) {
        let revision = self.view.revision();
        let age = self.feed.age(self.shared.clock.now());
        for change in &made {
            let age = age.as_millis();
            event!(
                BeliefChanged,
                "revision={revision} source={source} age_ms={age} {}",
                describe(change)
            );
        }
        if !made.is_empty() {
            let version = i64::try_from(self.view.version().get()).unwrap_or(i64::MAX);
            self.shared.metrics.configuration_version.set(version);
            self.shared.view.store(Arc::new(self.view.clone()));
            if let Some(configuration) = self.view.configuration() {
                self.shared.local().split.retain(configuration.routes());
            }
        }
        if self.followers.receiver_count() > 0 {
            let update = Update { revision, is_full: false, changes: made, age };
            // Without a receiver there is nobody to tell.
            let _ = self.followers.send(FeedMessage::new(update, self.shared.clock.now()));
        }
    }
}

fn name(source: &Source) -> &str {
    match source {
        Source::Store => "store",
        Source::Peer(peer) => peer.name.as_str(),
    }
}

/// Returns a change as the fields of a log line.
fn describe(change: &Change) -> String {
    match change {
        Change::Configuration(found) => {
            let routes = found.routes().len();
            format!("change=configuration version={} routes={routes}", found.version)
        }
        Change::ZoneOut(zone) => format!("change=zone_out zone={zone}"),
        Change::ZoneIn(zone) => format!("change=zone_in zone={zone}"),
        Change::Target(target) => format!(
            "change=target target={} service={} zone={} state={:?} address={} born={} sequence={} \
             cold_left_ms={}",
            target.name,
            target.service,
            target.zone,
            target.state,
            target.address,
            target.born,
            target.sequence,
            target.cold_left.as_millis(),
        ),
        Change::TargetGone(name) => format!("change=target_gone target={name}"),
        Change::Member(member) => {
            format!("change=gateway gateway={} address={}", member.name, member.address)
        }
        Change::MemberGone(name) => format!("change=gateway_gone gateway={name}"),
    }
}

/// Returns the age that an update has at `now` if it had `age` at `then`.
pub(crate) fn aged(age: Duration, then: Tick, now: Tick) -> Duration {
    age + now.since(then)
}
