//! Controller of permits and certificates for targets in cold start.

mod codec;

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use ibiscroft_core::Tick;
use ibiscroft_core::config::{ColdLimits, Configuration};
use ibiscroft_core::ids::{InstanceName, StoreVersion, TargetName};
use ibiscroft_core::permits::{
    Action, Controller, Envelope, Outcome, Permit, PermitId, PermitLimits, PermitMessage,
};
use ibiscroft_core::roster::{
    Change, InstanceRun, LeaseId, Member, Roster, RosterTimings, RosterUpdate,
};
use ibiscroft_wire::generated::peer::PeerMessage;
use ibiscroft_wire::generated::roster::RosterEntry;
use ibiscroft_wire::generated::store::{Entry, WatchAnswer};
use ibiscroft_wire::keys;
use serde_json::{Value, json};
use tokio::sync::{mpsc, oneshot};
use tokio::task::JoinHandle;

use crate::control::ControlEvent;
use crate::controllers::peers::Peers;
use crate::controllers::roster::{LEASE_TTL, LeaseEvent, RENEW_INTERVAL};
use crate::events::event;
use crate::liveness_connection::{self, LivenessConnection, LivenessEvent};
use crate::permits::PermitEvent;
use crate::shared::Shared;
use crate::snapshot::WarmRun;

pub(crate) use codec::from_peer;

/// Time limits and queue limits of permits.
pub(crate) const LIMITS: PermitLimits = PermitLimits {
    send_window: Duration::from_millis(200),
    run_limit: Duration::from_secs(3),
    transit_limit: Duration::from_millis(2_500),
    max_waiting_per_target: 64,
    max_open_requests: 256,
};
/// Time for which a view of the roster may be used after it was last confirmed.
///
/// It counts from the sending of the watch that confirmed the view. The age of a view can
/// therefore reach two watch waits before the next watch confirms it.
const VIEW_VALIDITY: Duration = Duration::from_millis(2_500);
/// Time before the expiry of the lease from which it no longer counts as valid.
const LEASE_MARGIN: Duration = Duration::from_millis(500);
/// Time that a new lease holder of a target waits before it grants permits.
///
/// The sum of [`VIEW_VALIDITY`], the longest use of a permit (send window, run limit and transit
/// limit of [`LIMITS`]) and a margin for clocks that run at different rates.
const TAKEOVER_DELAY: Duration = Duration::from_millis(8_500);

const _: () = assert!(
    TAKEOVER_DELAY.as_millis()
        > VIEW_VALIDITY.as_millis()
            + LIMITS.send_window.as_millis()
            + LIMITS.run_limit.as_millis()
            + LIMITS.transit_limit.as_millis()
);

/// Cold start controller of this gateway, with the liveness connections to all targets.
#[derive(Debug)]
pub(crate) struct Permits {
    shared: Arc<Shared>,
    core: Controller,
    pending: HashMap<PermitId, oneshot::Sender<Permit>>,
    connections: HashMap<TargetName, Arc<LivenessConnection>>,
    connection_tasks: HashMap<TargetName, (SocketAddr, JoinHandle<()>)>,
    events: mpsc::UnboundedSender<ControlEvent>,
    changed: bool,
}

impl Permits {
    /// Creates the controller of a gateway that has just started.
    pub(crate) fn new(shared: Arc<Shared>, events: mpsc::UnboundedSender<ControlEvent>) -> Self {
        let timings = RosterTimings {
            lease_ttl: LEASE_TTL,
            lease_margin: LEASE_MARGIN,
            renew_interval: RENEW_INTERVAL,
            view_validity: VIEW_VALIDITY,
            takeover_delay: TAKEOVER_DELAY,
        };
        let run = InstanceRun::new(shared.run.to_string());
        let roster = Roster::new(shared.instance.clone(), run, timings);
        Self {
            core: Controller::new(roster, LIMITS, PermitId(rand::random())),
            shared,
            pending: HashMap::new(),
            connections: HashMap::new(),
            connection_tasks: HashMap::new(),
            events,
            changed: false,
        }
    }

    /// Returns whether a certificate changed since the last call.
    pub(crate) fn take_changed(&mut self) -> bool {
        std::mem::take(&mut self.changed)
    }

    /// Returns the run of a target that is certified as warm.
    pub(crate) fn warm_run(&self, target: &TargetName) -> Option<WarmRun> {
        let run = self.core.certificates().warm_run(target)?.clone();
        let liveness = Arc::clone(self.connections.get(target)?);
        Some(WarmRun { run, liveness })
    }

    /// Handles a configuration that came into force.
    pub(crate) fn on_configuration(&mut self, cfg: &Configuration) {
        let mut limits: Vec<(TargetName, ColdLimits)> = Vec::new();
        let mut addresses = BTreeMap::new();
        for service in &cfg.services {
            for target in &service.targets {
                limits.push((target.name.clone(), service.cold.clone()));
                addresses.insert(target.name.clone(), target.address);
            }
        }
        self.core.set_targets(&limits, self.shared.clock.now());
        self.set_connection_tasks(&addresses);
    }

    /// Handles the response of the store to a watch that was sent at `sent_at`.
    pub(crate) fn on_watch(&mut self, response: &WatchAnswer, is_full: bool, sent_at: Tick) {
        let update = RosterUpdate {
            sent_at,
            revision: StoreVersion(response.revision),
            is_full,
            changes: response.entries.iter().filter_map(roster_change).collect(),
        };
        self.core.roster_mut().on_update(&update, self.shared.clock.now());
    }

    /// Handles a change of this instance's lease.
    pub(crate) fn on_lease(&mut self, lease: &LeaseEvent) {
        let now = self.shared.clock.now();
        let own_lease = self.core.roster_mut().lease_mut();
        match lease {
            LeaseEvent::Held { lease, sent_at } => {
                own_lease.on_confirmed(LeaseId(lease.0), *sent_at, LEASE_TTL);
            }
            LeaseEvent::Lost => {
                if let Some(id) = own_lease.id() {
                    own_lease.on_lost(id, now);
                }
            }
        }
    }

    /// Handles a message from another gateway; ignores it if it does not concern permits.
    pub(crate) fn on_peer(&mut self, from: &InstanceName, message: PeerMessage, peers: &mut Peers) {
        let Some(message) = from_peer(message) else {
            return;
        };
        let now = self.shared.clock.now();
        let cold = match &message {
            PermitMessage::Cold { target, .. } => Some(target.clone()),
            _ => None,
        };
        let is_warm = |core: &Controller, target| core.certificates().warm_run(target).is_some();
        let was_warm = cold.as_ref().is_some_and(|target| is_warm(&self.core, target));
        let actions = self.core.on_message(from, message, now);
        if let Some(target) = cold {
            self.note_warm_change(&target, was_warm);
        }
        self.perform(actions, peers);
    }

    /// Handles a message from a traffic thread.
    pub(crate) fn on_traffic(&mut self, event: PermitEvent, peers: &mut Peers) {
        let now = self.shared.clock.now();
        let actions = match event {
            PermitEvent::Request { target, wait, reply } => {
                let Some((id, actions)) = self.core.request_permit(&target, wait, now) else {
                    return;
                };
                self.pending.insert(id, reply);
                actions
            }
            PermitEvent::Ended(permit, outcome) => self.core.return_permit(&permit, outcome, now),
            PermitEvent::Response(target, response) => {
                let previous_run = self.core.certificates().warm_run(&target).cloned();
                let actions = self.core.on_response(&target, &response, now);
                self.note_warm_change(&target, previous_run.is_some());
                actions
            }
        };
        self.perform(actions, peers);
    }

    /// Handles a change of a liveness connection.
    pub(crate) fn on_liveness_event(&mut self, event: LivenessEvent) {
        let now = self.shared.clock.now();
        match event {
            LivenessEvent::Opened(target, connection) => {
                if !self.connection_tasks.contains_key(&target) {
                    return;
                }
                self.core.on_liveness_connection_opened(&target, now);
                self.connections.insert(target, connection);
            }
            LivenessEvent::Closed(target, connection) => {
                let known = self.connections.get(&target);
                if known.is_none_or(|known| !Arc::ptr_eq(known, &connection)) {
                    return;
                }
                let was_warm = self.core.certificates().warm_run(&target).is_some();
                self.core.on_liveness_connection_closed(&target, now);
                self.connections.remove(&target);
                self.note_warm_change(&target, was_warm);
            }
        }
    }

    /// Expires permit requests and permits, and grants waiting requests.
    pub(crate) fn on_tick(&mut self, peers: &mut Peers) {
        let actions = self.core.tick(self.shared.clock.now());
        self.perform(actions, peers);
    }

    /// Describes the permits and the targets that this gateway holds, for the dump.
    pub(crate) fn dump(&self) -> Value {
        let now = self.shared.clock.now();
        let roster = self.core.roster();
        let mut held = Vec::new();
        for (target, since) in roster.held() {
            held.push(json!({
                "target": target,
                "held_for_ms": now.since(since).as_millis(),
                "may_grant": roster.grant_revision(target, now).is_some(),
                "granted": self.core.holder().granted_count(target),
                "waiting": self.core.holder().waiting_count(target),
                "warm_run": self.core.holder().warm_run(target),
            }));
        }
        json!({
            "active": roster.is_active(now),
            "roster_revision": roster.view().revision(),
            "held": held,
            "tripwires": self.connections.len(),
            "open_requests": self.core.requester().open_count(),
            "in_use": self.core.requester().in_use_count(),
        })
    }

    /// Logs a change of whether a target is certified as warm, and notes that a snapshot is due.
    fn note_warm_change(&mut self, target: &TargetName, was_warm: bool) {
        let is_warm = self.core.certificates().warm_run(target).is_some();
        if is_warm == was_warm {
            return;
        }
        self.changed = true;
        if is_warm {
            event!(TargetWarm, "target {target}");
        } else {
            event!(TargetCold, "target {target}");
        }
    }

    fn perform(&mut self, actions: Vec<Action>, peers: &mut Peers) {
        for action in actions {
            match action {
                Action::Send(Envelope { to, message }) => {
                    peers.send(&to, &codec::to_peer(message));
                }
                Action::Broadcast(message) => peers.broadcast(&codec::to_peer(message)),
                Action::Granted(permit) => self.deliver(permit, peers),
                Action::Refused(id) => {
                    self.pending.remove(&id);
                }
            }
        }
    }

    /// Passes a permit to the request that waits for it, or returns the permit if that request is
    /// gone.
    fn deliver(&mut self, permit: Permit, peers: &mut Peers) {
        let undelivered = match self.pending.remove(&permit.id) {
            Some(reply) => reply.send(permit).err(),
            None => Some(permit),
        };
        if let Some(permit) = undelivered {
            let actions =
                self.core.return_permit(&permit, Outcome::NotSent, self.shared.clock.now());
            self.perform(actions, peers);
        }
    }

    /// Starts and stops the tasks that maintain liveness connections to match `addresses`.
    fn set_connection_tasks(&mut self, addresses: &BTreeMap<TargetName, SocketAddr>) {
        let connections = &mut self.connections;
        self.connection_tasks.retain(|target, (address, task)| {
            let is_configured = addresses.get(target) == Some(address);
            if !is_configured {
                task.abort();
                connections.remove(target);
            }
            is_configured
        });
        for (target, address) in addresses {
            if self.connection_tasks.contains_key(target) {
                continue;
            }
            let now = self.shared.clock.now();
            self.core.on_liveness_connection_closed(target, now);
            let maintained =
                liveness_connection::maintain(target.clone(), *address, self.events.clone());
            self.connection_tasks
                .insert(target.clone(), (*address, tokio::task::spawn_local(maintained)));
        }
    }
}

/// Returns the change of the roster that an entry of the store describes, if it belongs to the
/// roster.
fn roster_change(entry: &Entry) -> Option<Change> {
    let name = InstanceName::new(entry.key.strip_prefix(keys::ROSTER_PREFIX)?);
    let registered = entry.value.as_ref().and_then(|text| parse_member(text, entry.version));
    Some(Change { name, member: registered })
}

fn parse_member(text: &str, version: u64) -> Option<Member> {
    let entry: RosterEntry = serde_json::from_str(text).ok()?;
    Some(Member {
        run: InstanceRun::new(entry.run),
        address: entry.peer.parse().ok()?,
        version: StoreVersion(version),
    })
}
