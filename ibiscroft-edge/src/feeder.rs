//! Keeps the daemon's view up to date, from the store or from another gateway.

mod store_reader;

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use eyre::WrapErr;
use futures_util::{SinkExt, StreamExt};
use ibiscroft_core::fleet::{
    Change, FleetSizeDebounce, FollowerMessage, GatewayCount, Hint, Member, Relay, Revision,
    Source, SourceSelector, Update, View,
};
use tokio::net::TcpStream;
use tokio_tungstenite::WebSocketStream;

use crate::events::event;
use crate::feed_hub::{FeedHub, FeedMessage};
use crate::mesh;
use crate::registry::Registry;
use crate::shared::Shared;
use store_reader::StoreReader;

/// Longest time to open a connection to another gateway and to get its view.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
/// Longest wait of a gateway that just started for the first word of how fresh its source is;
/// above the regular silence of a reader.
const FIRST_WORD: Duration = Duration::from_millis(1_000);
/// Longest time to hand a message to a connection; a fraction of the time after which a view is
/// stale.
const TELL_TIMEOUT: Duration = Duration::from_millis(100);
/// Age up to which the view counts as current.
const CURRENT: Duration = Duration::from_secs(1);
/// Age from which an update does not make the view fresh.
const WORTHLESS_AGE: Duration = Duration::from_secs(60);
/// Changes of one update that are logged one by one; the others are counted.
const MAX_LOGGED: usize = 60;

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
    feed: SourceSelector,
    view: View,
    hub: FeedHub,
    relay: Relay,
    keeper: FleetSizeDebounce,
}

impl<R: Registry> Feeder<R> {
    /// Makes a feeder that knows nothing and tells `hub` what it hears.
    pub(crate) fn new(shared: Arc<Shared>, registry: R, hub: FeedHub) -> Self {
        let settings = &shared.settings;
        let feed =
            SourceSelector::new(settings.instance.clone(), settings.availability_zone.clone());
        let reader = StoreReader::new(Arc::clone(&shared), registry);
        Self {
            shared,
            reader,
            feed,
            view: View::default(),
            hub,
            relay: Relay::default(),
            keeper: FleetSizeDebounce::default(),
        }
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
                    self.write_gateway_count().await;
                    self.reader.gather(self.view.member_count() == 0).await;
                }
                Source::Peer(peer) => self.follow_once(peer).await,
            }
            last = Some(source);
        }
    }

    fn source(&mut self) -> Source {
        let now = self.shared.clock.now();
        self.feed.select(now, self.view.members())
    }

    /// Reads the store once; returns whether it answered.
    async fn read_store(&mut self) -> bool {
        let knows_nobody = self.view.member_count() == 0;
        let read = self.reader.read(self.view.revision(), knows_nobody).await;
        if read.is_back {
            self.view.note_store_recovered(self.shared.clock.now());
        }
        let Some(update) = read.update else {
            self.expire();
            return false;
        };
        self.take(update, "store");
        self.expire();
        true
    }

    /// Writes the number of gateways if it has changed.
    async fn write_gateway_count(&mut self) {
        let now = self.shared.clock.now();
        let sum = self.hub.gateways();
        let is_current = self.feed.staleness(now) < CURRENT && self.view.member_count() > 0;
        if !is_current || !self.keeper.is_due(now, self.view.gateway_count(), sum) {
            return;
        }
        self.reader.write_gateway_count(sum).await;
    }

    /// Follows a peer until it fails or another source is better.
    async fn follow_once(&mut self, peer: &Member) {
        if let Followed::Failed(reason) = self.follow(peer).await {
            let age = self.feed.staleness(self.shared.clock.now());
            event!(SourceLost, "peer={} age_ms={} reason={reason:?}", peer.name, age.as_millis());
            self.feed.note_source_failed(self.shared.clock.now(), &peer.name);
            self.read_if_stale().await;
        }
    }

    async fn follow(&mut self, peer: &Member) -> Followed {
        let opened =
            tokio::time::timeout(CONNECT_TIMEOUT, mesh::open(peer.address, self.view.revision()))
                .await;
        let mut stream = match opened {
            Ok(Ok(stream)) => stream,
            Ok(Err(error)) => return Followed::Failed(format!("connect: {error:#}")),
            Err(_) => {
                let ms = CONNECT_TIMEOUT.as_millis();
                return Followed::Failed(format!("no connection within {ms} ms"));
            }
        };
        let opened_at = self.shared.clock.now();
        let mut told = GatewayCount(0);
        let mut hints = self.hub.upstream();
        loop {
            let gateways = self.hub.gateways();
            if gateways != told {
                told = gateways;
                if let Err(error) = tell(&mut stream, FollowerMessage::Gateways(gateways)).await {
                    return Followed::Failed(format!("count of gateways: {error:#}"));
                }
            }
            let wake = if self.was_current() {
                self.feed.stale_at().max(self.shared.clock.now() + self.reader.pause_of_follower())
            } else {
                opened_at + FIRST_WORD
            };
            let wake = self.shared.clock.instant(wake);
            let next = tokio::select! {
                next = tokio::time::timeout_at(wake, stream.next()) => next,
                Ok(hint) = hints.recv() => {
                    if let Err(error) = tell(&mut stream, FollowerMessage::Hint(hint)).await {
                        return Followed::Failed(format!("hint: {error:#}"));
                    }
                    continue;
                }
            };
            match next {
                Ok(Some(Ok(message))) => match mesh::decode(message) {
                    Ok(Some(update)) if !self.view.is_contiguous_with(&update) => {
                        let (own, since) = (self.view.revision(), update.since);
                        let gap = format!("changes after {own} and up to {since} are missing");
                        return Followed::Failed(gap);
                    }
                    Ok(Some(update)) => self.take(update, "peer"),
                    Ok(None) => {}
                    Err(error) => return Followed::Failed(format!("message: {error:#}")),
                },
                Ok(Some(Err(error))) => return Followed::Failed(error.to_string()),
                Ok(None) => return Followed::Failed("the connection ended".to_string()),
                Err(_) => {
                    if !self.was_current() || self.read_if_stale().await {
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

    /// Reads the store if the view has become old; returns whether it answered.
    ///
    /// A gateway whose view never was current tries the other sources first.
    async fn read_if_stale(&mut self) -> bool {
        let is_stale = self.shared.clock.now() >= self.feed.stale_at();
        self.was_current() && is_stale && self.read_store().await
    }

    /// Returns whether the view was as new as the store at some time.
    fn was_current(&self) -> bool {
        self.shared.is_current.load(Ordering::Relaxed)
    }

    fn take(&mut self, update: Update, source: &str) {
        let now = self.shared.clock.now();
        let before = self.view.revision();
        if !update.hints.is_empty() {
            self.on_hints(update.hints);
            return;
        }
        if update.revision >= before && update.age < WORTHLESS_AGE {
            self.feed.note_fresh(now, update.age);
            self.reader.note_fresh();
            self.shared.is_current.store(true, Ordering::Relaxed);
        }
        let made = self.view.apply(now, update.clone());
        let told = self.relay.changes_to_forward(&update, &made);
        self.publish(before, &made, told, source);
    }

    /// Uses hints of the gateway that this one follows and hands them on.
    fn on_hints(&self, hints: Vec<Hint>) {
        let now = self.shared.clock.now();
        for hint in &hints {
            event!(HintTaken, "source=peer {hint:?}");
            self.shared.local().suspects.note_hint(now, hint);
        }
        self.hub.spread(self.view.revision(), hints, now);
    }

    fn expire(&mut self) {
        let before = self.view.revision();
        let made = self.view.expire(self.shared.clock.now());
        if !made.is_empty() {
            self.publish(before, &made, made.clone(), "grace_ended");
        }
    }

    /// Tells the traffic thread and the followers.
    fn publish(&self, before: Revision, made: &[Change], told: Vec<Change>, source: &str) {
        let now = self.shared.clock.now();
        let revision = self.view.revision();
        let age = self.feed.staleness(now);
        log_changes(revision, made, source, age);
        if !made.is_empty() {
            let version =
                i64::try_from(self.view.configuration_version().get()).unwrap_or(i64::MAX);
            self.shared.metrics.configuration_version.set(version);
            self.shared.view.store(Arc::new(self.view.clone()));
            if let Some(count) = self.view.gateway_count() {
                self.shared.local().gateways.note(now, count);
            }
            if let Some(configuration) = self.view.configuration() {
                self.shared.has_configuration.send_replace(true);
                self.shared.local().retain_routes(configuration.routes());
            }
        }
        if revision == Revision(0) {
            // What may be old is of no use to others.
            return;
        }
        let update = if before == Revision(0) {
            self.view.to_full_update(age)
        } else {
            let hints = Vec::new();
            Update { since: before, revision, is_full: false, changes: told, hints, age }
        };
        match FeedMessage::new(update, now) {
            Ok(message) => self.hub.send(message),
            Err(error) => event!(MeshRefused, "reason={:?}", format!("encode: {error:#}")),
        }
    }
}

/// Logs each change, or their number if there are many, as in the first listing.
fn log_changes(revision: Revision, made: &[Change], source: &str, age: Duration) {
    let age = age.as_millis();
    if made.len() > MAX_LOGGED {
        let count = made.len();
        event!(BeliefChanged, "revision={revision} source={source} age_ms={age} changes={count}");
        return;
    }
    for change in made {
        let change = describe(change);
        event!(BeliefChanged, "revision={revision} source={source} age_ms={age} {change}");
    }
}

/// Tells the gateway that is followed something; a connection that does not take the message in
/// time is silent.
async fn tell(stream: &mut WebSocketStream<TcpStream>, told: FollowerMessage) -> eyre::Result<()> {
    let send = stream.send(mesh::tell(&told)?);
    Ok(tokio::time::timeout(TELL_TIMEOUT, send).await.wrap_err("the connection is silent")??)
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
            target.incarnation,
            target.sequence,
            target.cold_left.as_millis(),
        ),
        Change::TargetGone(name) => format!("change=target_gone target={name}"),
        Change::Member(member) => {
            format!("change=gateway gateway={} address={}", member.name, member.address)
        }
        Change::MemberGone(name) => format!("change=gateway_gone gateway={name}"),
        Change::Gateways(count) => format!("change=gateways count={count}"),
    }
}
