//! The roster of live instances and the lease of this instance.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use ibiscroft_core::Tick;
use ibiscroft_core::ids::{InstanceName, StoreVersion};
use ibiscroft_platform::{LeaseId, StoreClient, StoreError};
use ibiscroft_wire::generated::store::Entry;
use ibiscroft_wire::keys;
use serde_json::{Value, json};
use tokio::sync::mpsc;

use crate::control::ControlEvent;
use crate::events::event;
use crate::settings::Settings;
use crate::shared::Shared;

/// Time to live of an instance's lease.
pub(crate) const LEASE_TTL: Duration = Duration::from_secs(5);
/// Interval between renewals of the lease.
pub(crate) const RENEW_INTERVAL: Duration = Duration::from_millis(1_500);
/// Delay before another attempt to obtain a lease after a failed one.
const RETRY_DELAY: Duration = Duration::from_millis(500);

/// A change of this instance's lease.
#[derive(Clone, Copy, Debug)]
pub(crate) enum LeaseEvent {
    /// The lease was granted or renewed by a call that was sent at `sent_at`.
    Held {
        /// The lease.
        lease: LeaseId,
        /// When the call was sent.
        sent_at: Tick,
    },
    /// The lease ended.
    Lost,
}

/// Live instances as the store lists them, and the lease of this instance.
#[derive(Debug)]
pub(crate) struct Roster {
    store: StoreClient,
    members: BTreeMap<InstanceName, Value>,
    lease: Option<LeaseId>,
    renewed_at: Tick,
    lease_task: tokio::task::JoinHandle<()>,
}

impl Roster {
    /// Starts a task that maintains a lease for this instance.
    pub(crate) fn start(
        settings: Rc<Settings>,
        shared: Arc<Shared>,
        store: StoreClient,
        events: &mpsc::UnboundedSender<ControlEvent>,
    ) -> Self {
        let lease_task = maintain_lease(settings, shared, store.clone(), events.clone());
        Self {
            store,
            members: BTreeMap::new(),
            lease: None,
            renewed_at: Tick::ZERO,
            lease_task: tokio::task::spawn_local(lease_task),
        }
    }

    /// Handles an entry of the store; returns whether it belongs to the roster.
    pub(crate) fn on_entry(&mut self, entry: &Entry) -> bool {
        let Some(name) = entry.key.strip_prefix(keys::ROSTER_PREFIX) else {
            return false;
        };
        let name = InstanceName::new(name);
        match &entry.value {
            Some(text) => {
                let value = serde_json::from_str(text).unwrap_or(Value::Null);
                self.members.insert(name, value);
            }
            None => {
                self.members.remove(&name);
            }
        }
        true
    }

    /// Handles a change of this instance's lease.
    pub(crate) fn on_lease(&mut self, lease: &LeaseEvent) {
        match lease {
            LeaseEvent::Held { lease, sent_at } => {
                self.renewed_at = *sent_at;
                if self.lease != Some(*lease) {
                    event!(LeaseGranted, "lease {}", lease.0);
                }
                self.lease = Some(*lease);
            }
            LeaseEvent::Lost => {
                event!(LeaseLost, "requesting a new lease");
                self.lease = None;
            }
        }
    }

    /// Returns the peer address of each live instance.
    pub(crate) fn members(&self) -> BTreeMap<InstanceName, SocketAddr> {
        let mut members = BTreeMap::new();
        for (name, value) in &self.members {
            let address = value["peer"].as_str().and_then(|text| text.parse().ok());
            if let Some(address) = address {
                members.insert(name.clone(), address);
            }
        }
        members
    }

    /// Revokes the lease, so that other instances remove this one from their rosters at once.
    pub(crate) async fn leave(&mut self) {
        self.lease_task.abort();
        if let Some(lease) = self.lease.take() {
            let _ = self.store.revoke_lease(lease).await;
        }
    }

    /// Describes the roster and the lease, for the dump.
    pub(crate) fn dump(&self) -> Value {
        json!({
            "lease": self.lease.map(|lease| lease.0),
            "renewed_at_us": self.renewed_at.as_micros(),
            "members": self.members,
        })
    }
}

/// Obtains a lease, registers the instance under it and renews it; starts over when it is lost.
async fn maintain_lease(
    settings: Rc<Settings>,
    shared: Arc<Shared>,
    store: StoreClient,
    events: mpsc::UnboundedSender<ControlEvent>,
) {
    loop {
        let sent_at = shared.clock.now();
        shared.metrics.store_calls.with_label_values(&["lease"]).inc_by(2);
        match register(&settings, &shared, &store).await {
            Ok(lease) => {
                let held = LeaseEvent::Held { lease, sent_at };
                let _ = events.send(ControlEvent::Lease(held));
                renew_until_lost(lease, &shared, &store, &events).await;
                let _ = events.send(ControlEvent::Lease(LeaseEvent::Lost));
            }
            Err(_) => tokio::time::sleep(RETRY_DELAY).await,
        }
    }
}

/// Obtains a lease and writes the entry of this instance under it, replacing any other entry.
async fn register(
    settings: &Settings,
    shared: &Shared,
    store: &StoreClient,
) -> Result<LeaseId, StoreError> {
    let lease = store.grant_lease(LEASE_TTL).await?;
    let key = format!("{}{}", keys::ROSTER_PREFIX, settings.instance);
    let value = json!({
        "instance": settings.instance,
        "run": shared.run,
        "availability_zone": settings.zone,
        "peer": settings.peer_listen,
        "operator": settings.operator_listen,
    })
    .to_string();
    let mut expected = StoreVersion(0);
    loop {
        match store.write(&key, value.clone(), expected, Some(lease)).await {
            Ok(_) => return Ok(lease),
            Err(StoreError::Conflict(version)) => expected = version,
            Err(error) => return Err(error),
        }
    }
}

/// Renews the lease at regular intervals until the store no longer has it.
async fn renew_until_lost(
    lease: LeaseId,
    shared: &Shared,
    store: &StoreClient,
    events: &mpsc::UnboundedSender<ControlEvent>,
) {
    loop {
        tokio::time::sleep(RENEW_INTERVAL).await;
        let sent_at = shared.clock.now();
        shared.metrics.store_calls.with_label_values(&["renew"]).inc();
        match store.renew_lease(lease).await {
            Ok(()) => {
                let held = LeaseEvent::Held { lease, sent_at };
                let _ = events.send(ControlEvent::Lease(held));
            }
            Err(StoreError::NotFound) => return,
            Err(_) => {}
        }
    }
}
