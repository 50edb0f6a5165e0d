//! Keeps the daemon's view up to date from the store.

use std::sync::Arc;
use std::time::Duration;

use ibiscroft_core::fleet::{Change, Member, Update, View};
use rand::Rng;

use crate::events::event;
use crate::registry::{Lease, Registry, RegistryError};
use crate::shared::Shared;

/// Longest wait of one call for changes; targets register every few seconds at most, so a longer
/// silence means that the connection or the store is gone.
const WATCH: Duration = Duration::from_millis(1_000);
/// Time in which changes gather before the store is asked again.
const GATHER: Duration = Duration::from_millis(400);
/// Pause after a failed call, up to half as much again.
const PAUSE: Duration = Duration::from_millis(200);
/// Time to live of the instance's registration.
const MEMBER_TTL: Duration = Duration::from_secs(12);
/// Interval of renewals.
const RENEW: Duration = Duration::from_secs(4);

/// Reads the store and publishes views.
#[derive(Debug)]
pub(crate) struct Feeder<R> {
    shared: Arc<Shared>,
    registry: R,
    view: View,
    is_lost: bool,
}

impl<R: Registry> Feeder<R> {
    /// Makes a feeder that knows nothing.
    pub(crate) fn new(shared: Arc<Shared>, registry: R) -> Self {
        Self { shared, registry, view: View::default(), is_lost: false }
    }

    /// Reads the store until the runtime ends.
    pub(crate) async fn run(mut self) {
        let mut is_current = false;
        loop {
            let read = if is_current {
                self.count("watch");
                self.registry.changes(self.view.revision(), WATCH).await
            } else {
                self.count("list");
                self.registry.list().await
            };
            match read {
                Ok(update) => {
                    is_current = true;
                    self.on_update(update);
                    tokio::time::sleep(GATHER).await;
                }
                Err(RegistryError::HistoryLost) => {
                    is_current = false;
                    event!(HistoryLost, "revision={}", self.view.revision());
                }
                Err(error) => {
                    self.on_lost(&error);
                    tokio::time::sleep(jittered(PAUSE)).await;
                }
            }
            let made = self.view.expire(self.shared.clock.now());
            self.publish(&made, "grace_ended");
        }
    }

    fn count(&self, call: &str) {
        self.shared.metrics.store_calls.with_label_values(&[call]).inc();
    }

    fn on_update(&mut self, update: Update) {
        let now = self.shared.clock.now();
        if std::mem::take(&mut self.is_lost) {
            self.view.note_store_back(now);
            event!(StoreBack, "revision={}", update.revision);
        }
        let made = self.view.apply(now, update);
        self.publish(&made, "store");
    }

    fn on_lost(&mut self, error: &RegistryError) {
        if !std::mem::replace(&mut self.is_lost, true) {
            event!(StoreLost, "revision={} reason={error:?}", self.view.revision());
        }
    }

    fn publish(&self, made: &[Change], source: &str) {
        if made.is_empty() {
            return;
        }
        for change in made {
            let revision = self.view.revision();
            event!(BeliefChanged, "revision={revision} source={source} {}", describe(change));
        }
        let version = i64::try_from(self.view.version().get()).unwrap_or(i64::MAX);
        self.shared.metrics.configuration_version.set(version);
        self.shared.view.store(Arc::new(self.view.clone()));
        if let Some(configuration) = self.view.configuration() {
            self.shared.local().split.retain(configuration.routes());
        }
    }
}

/// Registers the instance and keeps its lease until the runtime ends.
pub(crate) async fn keep_registered<R: Registry>(
    shared: Arc<Shared>,
    registry: R,
    lease: Arc<std::sync::Mutex<Option<Lease>>>,
) {
    let member = Member {
        name: shared.settings.instance.clone(),
        zone: shared.settings.availability_zone.clone(),
        address: shared.settings.mesh_listen,
    };
    let mut held: Option<Lease> = None;
    while !shared.is_closing() {
        let kept = match held {
            Some(lease) => registry.renew(lease).await.map(|()| lease),
            None => registry.join(&member, MEMBER_TTL).await.inspect(|lease| {
                event!(Registered, "lease={lease} ttl_s={}", MEMBER_TTL.as_secs());
            }),
        };
        shared.metrics.store_calls.with_label_values(&["lease"]).inc();
        let pause = match kept {
            Ok(found) => {
                held = Some(found);
                RENEW
            }
            Err(RegistryError::LeaseEnded) => {
                held = None;
                event!(RegistrationFailed, "reason=\"the lease has ended\"");
                jittered(PAUSE)
            }
            Err(error) => {
                event!(RegistrationFailed, "reason={:?}", error.to_string());
                jittered(PAUSE * 5)
            }
        };
        *lease.lock().unwrap_or_else(std::sync::PoisonError::into_inner) = held;
        tokio::time::sleep(pause).await;
    }
}

fn jittered(span: Duration) -> Duration {
    span.mul_f64(rand::rng().random_range(1.0..1.5))
}

/// Returns a change as the fields of a log line.
fn describe(change: &Change) -> String {
    match change {
        Change::Configuration(found) => {
            format!(
                "change=configuration version={} routes={}",
                found.version,
                found.routes().len()
            )
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
