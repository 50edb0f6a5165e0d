//! Registration of this gateway in the store, as a source of updates for others.

use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use ibiscroft_core::Tick;
use ibiscroft_core::fleet::{Era, Member, SourceSelector};
use rand::Rng;

use crate::events::event;
use crate::registry::{Lease, Registry, RegistryError};
use crate::shared::Shared;

/// Time to live of the registration's lease.
const LEASE_TTL: Duration = Duration::from_secs(24);
/// Interval between renewals of the lease; two may fail before the registration ends.
const RENEWAL_INTERVAL: Duration = Duration::from_secs(8);
/// Interval at which the view is checked for the registration.
const CHECK_INTERVAL: Duration = Duration::from_millis(500);
/// Time within which a registration appears in the view of a gateway that receives updates.
const VISIBILITY_DELAY: Duration = Duration::from_secs(4);
/// Minimum delay before a failed call is repeated; the maximum is twice as long.
const RETRY_DELAY: Duration = Duration::from_secs(1);

/// Registration of this gateway.
#[derive(Clone, Debug)]
pub(crate) struct Membership<R> {
    shared: Arc<Shared>,
    registry: R,
    lease: Arc<Mutex<Option<Lease>>>,
}

impl<R: Registry> Membership<R> {
    /// Creates the state of a gateway that is not registered.
    pub(crate) fn new(shared: Arc<Shared>, registry: R) -> Self {
        Self { shared, registry, lease: Arc::default() }
    }

    /// Registers the gateway while it is needed as a source and renews its lease, until a graceful
    /// shutdown begins.
    pub(crate) async fn run(self) {
        let mut next_call = Tick::ZERO;
        let mut registered_at = Tick::ZERO;
        let delay = SourceSelector::registration_delay(&self.member());
        let mut needed_since = None;
        let mut era = Era(0);
        while !self.shared.is_closing() {
            tokio::time::sleep(CHECK_INTERVAL).await;
            let now = self.shared.clock.now();
            if !self.is_needed() {
                if self.lease().is_some() {
                    event!(
                        RegistrationFailed,
                        "reason=\"not needed as a source; lease is left to expire\""
                    );
                }
                self.set_lease(None);
                needed_since = None;
                continue;
            }
            let since = *needed_since.get_or_insert(now);
            if self.lease().is_none() && now.since(since) < delay {
                continue;
            }
            // A lease belongs to its era: the store has lost it, and may have given out its number
            // again.
            let current_era = self.shared.view.load().position().era;
            let begins_era = std::mem::replace(&mut era, current_era) < current_era;
            if begins_era && self.lease().is_some() {
                event!(RegistrationFailed, "reason=\"the store has begun era {era}\"");
                self.set_lease(None);
                next_call = now;
            }
            if self.was_removed(now, registered_at) {
                event!(RegistrationFailed, "reason=\"registration is missing from the view\"");
                self.set_lease(None);
                next_call = now;
            }
            if now >= next_call {
                let was_registered = self.lease().is_some();
                next_call = now + self.register_or_renew().await;
                if !was_registered && self.lease().is_some() {
                    registered_at = self.shared.clock.now();
                }
            }
        }
    }

    /// Registers the gateway or renews its lease; returns the time until the next call.
    async fn register_or_renew(&self) -> Duration {
        self.shared.metrics.store_calls.with_label_values(&["lease"]).inc();
        log::debug!("store call=lease held={:?}", self.lease());
        let error = match self.lease() {
            Some(lease) => match self.registry.renew_lease(lease).await {
                Ok(()) => return RENEWAL_INTERVAL.mul_f64(rand::rng().random_range(0.9..1.0)),
                Err(error) => error,
            },
            None => match self.registry.register(&self.member(), LEASE_TTL).await {
                Ok(lease) => {
                    event!(Registered, "lease={lease} ttl_s={}", LEASE_TTL.as_secs());
                    self.set_lease(Some(lease));
                    return RENEWAL_INTERVAL;
                }
                Err(error) => error,
            },
        };
        event!(RegistrationFailed, "reason={:?}", error.to_string());
        if error == RegistryError::LeaseExpired {
            self.set_lease(None);
            return Duration::ZERO;
        }
        RETRY_DELAY.mul_f64(rand::rng().random_range(1.0..2.0))
    }

    /// Returns whether the gateway is needed as a source, because too few gateways of its zone that
    /// rank before it are registered.
    fn is_needed(&self) -> bool {
        SourceSelector::should_register(&self.member(), self.shared.view.load().members())
    }

    /// Returns whether the registration is missing from the view although it is old enough to
    /// appear there.
    fn was_removed(&self, now: Tick, registered_at: Tick) -> bool {
        let is_due = self.lease().is_some() && now.since(registered_at) > VISIBILITY_DELAY;
        let own = &self.shared.settings.instance;
        is_due && !self.shared.view.load().members().any(|member| member.name == *own)
    }

    /// Returns the entry to register.
    fn member(&self) -> Member {
        let settings = &self.shared.settings;
        Member {
            name: settings.instance.clone(),
            zone: settings.availability_zone.clone(),
            address: settings.mesh_listen,
            capacity: settings.capacity(),
        }
    }

    fn lease(&self) -> Option<Lease> {
        *self.lease.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn set_lease(&self, lease: Option<Lease>) {
        *self.lease.lock().unwrap_or_else(PoisonError::into_inner) = lease;
    }
}
