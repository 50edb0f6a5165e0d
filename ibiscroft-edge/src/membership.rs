//! Keeps the instance registered in the store while others need it as a source.

use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use ibiscroft_core::Tick;
use ibiscroft_core::fleet::{Member, SourceSelector};
use rand::Rng;

use crate::events::event;
use crate::registry::{Lease, Registry, RegistryError};
use crate::shared::Shared;

/// Time to live of the registration.
const TTL: Duration = Duration::from_secs(24);
/// Interval of renewals; two may fail before the registration ends.
const RENEW: Duration = Duration::from_secs(8);
/// Interval in which the view is checked for the registration.
const CHECK: Duration = Duration::from_millis(500);
/// Time in which a registration shows in the view of a gateway that is told of changes.
const SHOWS_WITHIN: Duration = Duration::from_secs(4);
/// Pause after a failed call.
const PAUSE: Duration = Duration::from_secs(1);
/// Longest wait of a gateway that sees too few others registered; those that rank before it
/// register meanwhile.
const SPREAD: Duration = Duration::from_secs(3);

/// The registration of one instance.
#[derive(Clone, Debug)]
pub(crate) struct Membership<R> {
    shared: Arc<Shared>,
    registry: R,
    lease: Arc<Mutex<Option<Lease>>>,
}

impl<R: Registry> Membership<R> {
    /// Makes an instance that is not registered.
    pub(crate) fn new(shared: Arc<Shared>, registry: R) -> Self {
        Self { shared, registry, lease: Arc::default() }
    }

    /// Registers the instance and renews the registration until a planned stop begins.
    pub(crate) async fn keep(self) {
        let mut next_call = Tick::ZERO;
        let mut joined_at = Tick::ZERO;
        let wait = SPREAD.mul_f64(rand::random());
        let mut wanted_since = None;
        while !self.shared.is_closing() {
            tokio::time::sleep(CHECK).await;
            let now = self.shared.clock.now();
            if !self.is_wanted() {
                if self.held().is_some() {
                    event!(RegistrationFailed, "reason=\"others rank before it; it lapses\"");
                }
                self.set(None);
                wanted_since = None;
                continue;
            }
            let since = *wanted_since.get_or_insert(now);
            if self.held().is_none() && now.since(since) < wait {
                continue;
            }
            if self.was_removed(now, joined_at) {
                event!(RegistrationFailed, "reason=\"the store no longer shows it\"");
                self.set(None);
                next_call = now;
            }
            if now >= next_call {
                let was_held = self.held().is_some();
                next_call = now + self.call().await;
                if !was_held && self.held().is_some() {
                    joined_at = self.shared.clock.now();
                }
            }
        }
    }

    /// Registers or renews; returns the time until the next call.
    async fn call(&self) -> Duration {
        self.shared.metrics.store_calls.with_label_values(&["lease"]).inc();
        log::debug!("store call=lease held={:?}", self.held());
        let error = match self.held() {
            Some(lease) => match self.registry.renew_lease(lease).await {
                Ok(()) => return RENEW.mul_f64(rand::rng().random_range(0.9..1.0)),
                Err(error) => error,
            },
            None => match self.registry.register(&self.member(), TTL).await {
                Ok(lease) => {
                    event!(Registered, "lease={lease} ttl_s={}", TTL.as_secs());
                    self.set(Some(lease));
                    return RENEW;
                }
                Err(error) => error,
            },
        };
        event!(RegistrationFailed, "reason={:?}", error.to_string());
        if error == RegistryError::LeaseExpired {
            self.set(None);
            return Duration::ZERO;
        }
        PAUSE.mul_f64(rand::rng().random_range(1.0..2.0))
    }

    /// Returns whether the gateway is needed as a source for others.
    fn is_wanted(&self) -> bool {
        SourceSelector::should_register(&self.member(), self.shared.view.load().members())
    }

    /// Returns whether the registration should show in the view and does not.
    fn was_removed(&self, now: Tick, joined_at: Tick) -> bool {
        let is_due = self.held().is_some() && now.since(joined_at) > SHOWS_WITHIN;
        let own = &self.shared.settings.instance;
        is_due && !self.shared.view.load().members().any(|member| member.name == *own)
    }

    fn member(&self) -> Member {
        let settings = &self.shared.settings;
        Member {
            name: settings.instance.clone(),
            zone: settings.availability_zone.clone(),
            address: settings.mesh_listen,
            capacity: settings.strength(),
        }
    }

    fn held(&self) -> Option<Lease> {
        *self.lease.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn set(&self, lease: Option<Lease>) {
        *self.lease.lock().unwrap_or_else(PoisonError::into_inner) = lease;
    }
}
