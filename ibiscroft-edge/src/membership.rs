//! Keeps the instance registered in the store while it runs.

use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use ibiscroft_core::Tick;
use ibiscroft_core::fleet::Member;
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
/// Longest wait for the store at the end of the process.
const LEAVE_TIMEOUT: Duration = Duration::from_millis(300);

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
        while !self.shared.is_closing() {
            let now = self.shared.clock.now();
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
            tokio::time::sleep(CHECK).await;
        }
    }

    /// Ends the registration; gateways then look for another source.
    pub(crate) async fn leave(&self) {
        let Some(lease) = self.held() else {
            return;
        };
        self.set(None);
        let left = tokio::time::timeout(LEAVE_TIMEOUT, self.registry.leave(lease)).await;
        let reason = match left {
            Ok(Ok(())) => return,
            Ok(Err(error)) => error.to_string(),
            Err(_) => format!("no answer within {} ms", LEAVE_TIMEOUT.as_millis()),
        };
        event!(RegistrationFailed, "lease={lease} reason=\"not ended: {reason}\"");
    }

    /// Registers or renews; returns the time until the next call.
    async fn call(&self) -> Duration {
        self.shared.metrics.store_calls.with_label_values(&["lease"]).inc();
        log::debug!("store call=lease held={:?}", self.held());
        let error = match self.held() {
            Some(lease) => match self.registry.renew(lease).await {
                Ok(()) => return RENEW.mul_f64(rand::rng().random_range(0.9..1.0)),
                Err(error) => error,
            },
            None => match self.registry.join(&self.member(), TTL).await {
                Ok(lease) => {
                    event!(Registered, "lease={lease} ttl_s={}", TTL.as_secs());
                    self.set(Some(lease));
                    return RENEW;
                }
                Err(error) => error,
            },
        };
        event!(RegistrationFailed, "reason={:?}", error.to_string());
        if error == RegistryError::LeaseEnded {
            self.set(None);
            return Duration::ZERO;
        }
        PAUSE.mul_f64(rand::rng().random_range(1.0..2.0))
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
            strength: settings.strength(),
        }
    }

    fn held(&self) -> Option<Lease> {
        *self.lease.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn set(&self, lease: Option<Lease>) {
        *self.lease.lock().unwrap_or_else(PoisonError::into_inner) = lease;
    }
}
