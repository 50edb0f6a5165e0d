//! Permits and certificates for targets in cold start.

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
use crate::snapshot::WarmProof;

pub(crate) use codec::from_peer;

/// Limits of permits.
pub(crate) const LIMITS: PermitLimits = PermitLimits {
    send_window: Duration::from_millis(200),
    run_limit: Duration::from_secs(3),
    transit_limit: Duration::from_millis(2_500),
    max_waiting_per_target: 64,
    max_open_requests: 256,
};
/// Time after which a view of the roster that was not confirmed again is no longer used.
///
/// A view counts from the sending of a watch, so two waits of a watch pass between the moments
/// that confirm it.
const VIEW_LIMIT: Duration = Duration::from_millis(2_500);
/// Time before the end of the lease at which it no longer counts.
const LEASE_MARGIN: Duration = Duration::from_millis(500);
/// Time a new holder waits before it grants: `VIEW_LIMIT`, the longest use of a permit, and a
/// margin for clocks of different rates.
const TAKEOVER_WAIT: Duration = Duration::from_millis(8_500);

const _: () = assert!(
    TAKEOVER_WAIT.as_millis()
        > VIEW_LIMIT.as_millis()
            + LIMITS.send_window.as_millis()
            + LIMITS.run_limit.as_millis()
            + LIMITS.transit_limit.as_millis()
);

/// The cold start controller of this gateway with its tripwires.
#[derive(Debug)]
pub(crate) struct Permits {
    shared: Arc<Shared>,
    core: Controller,
    waiting: HashMap<PermitId, oneshot::Sender<Permit>>,
    connections: HashMap<TargetName, Arc<LivenessConnection>>,
    keepers: HashMap<TargetName, (SocketAddr, JoinHandle<()>)>,
    events: mpsc::UnboundedSender<ControlEvent>,
    changed: bool,
}

impl Permits {
    /// Makes the controller of a gateway that just started.
    pub(crate) fn new(shared: Arc<Shared>, events: mpsc::UnboundedSender<ControlEvent>) -> Self {
        let times = RosterTimings {
            lease_ttl: LEASE_TTL,
            lease_margin: LEASE_MARGIN,
            renew_interval: RENEW_INTERVAL,
            view_validity: VIEW_LIMIT,
            takeover_delay: TAKEOVER_WAIT,
        };
        let run = InstanceRun::new(shared.run.to_string());
        let roster = Roster::new(shared.instance.clone(), run, times);
        Self {
            core: Controller::new(roster, LIMITS, PermitId(rand::random())),
            shared,
            waiting: HashMap::new(),
            connections: HashMap::new(),
            keepers: HashMap::new(),
            events,
            changed: false,
        }
    }

    /// Returns whether a certificate changed since the last call.
    pub(crate) fn take_changed(&mut self) -> bool {
        std::mem::take(&mut self.changed)
    }

    /// Returns the proof that a target is warm.
    pub(crate) fn proof(&self, target: &TargetName) -> Option<WarmProof> {
        let run = self.core.certificates().warm_run(target)?.clone();
        let liveness = Arc::clone(self.connections.get(target)?);
        Some(WarmProof { run, liveness })
    }

    /// Takes in a configuration.
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
        self.set_keepers(&addresses);
    }

    /// Takes in an answer of the store to a watch that was sent at `sent_at`.
    pub(crate) fn on_watch(&mut self, answer: &WatchAnswer, is_full: bool, sent_at: Tick) {
        let update = RosterUpdate {
            sent_at,
            revision: StoreVersion(answer.revision),
            is_full,
            changes: answer.entries.iter().filter_map(change).collect(),
        };
        self.core.roster_mut().on_update(&update, self.shared.clock.now());
    }

    /// Takes in a change of the own lease.
    pub(crate) fn on_lease(&mut self, lease: &LeaseEvent) {
        let now = self.shared.clock.now();
        let own = self.core.roster_mut().lease_mut();
        match lease {
            LeaseEvent::Held { lease, sent } => {
                own.on_confirmed(LeaseId(lease.0), *sent, LEASE_TTL);
            }
            LeaseEvent::Lost => {
                if let Some(id) = own.id() {
                    own.on_lost(id, now);
                }
            }
        }
    }

    /// Takes in a message of another gateway.
    pub(crate) fn on_peer(&mut self, from: &InstanceName, message: PeerMessage, peers: &mut Peers) {
        let Some(message) = from_peer(message) else {
            return;
        };
        let now = self.shared.clock.now();
        let cold = match &message {
            PermitMessage::Cold { target, .. } => Some(target.clone()),
            _ => None,
        };
        let was_warm = |core: &Controller, target| core.certificates().warm_run(target).is_some();
        let before = cold.as_ref().is_some_and(|target| was_warm(&self.core, target));
        let actions = self.core.on_message(from, message, now);
        if let Some(target) = cold {
            self.note_change(&target, before);
        }
        self.act(actions, peers);
    }

    /// Takes in what a traffic thread asks or tells.
    pub(crate) fn on_traffic(&mut self, event: PermitEvent, peers: &mut Peers) {
        let now = self.shared.clock.now();
        let actions = match event {
            PermitEvent::Ask { target, wait, reply } => {
                let Some((id, actions)) = self.core.request_permit(&target, wait, now) else {
                    return;
                };
                self.waiting.insert(id, reply);
                actions
            }
            PermitEvent::End(permit, outcome) => self.core.return_permit(&permit, outcome, now),
            PermitEvent::Answered(target, answer) => {
                let before = self.core.certificates().warm_run(&target).cloned();
                let actions = self.core.on_response(&target, &answer, now);
                self.note_change(&target, before.is_some());
                actions
            }
        };
        self.act(actions, peers);
    }

    /// Takes in what happened to a tripwire.
    pub(crate) fn on_liveness_event(&mut self, event: LivenessEvent) {
        let now = self.shared.clock.now();
        match event {
            LivenessEvent::Opened(target, connection) => {
                if !self.keepers.contains_key(&target) {
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
                self.note_change(&target, was_warm);
            }
        }
    }

    /// Handles the passing of time.
    pub(crate) fn on_tick(&mut self, peers: &mut Peers) {
        let actions = self.core.tick(self.shared.clock.now());
        self.act(actions, peers);
    }

    /// Describes permits, certificates and what this gateway holds.
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

    fn note_change(&mut self, target: &TargetName, was_warm: bool) {
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

    fn act(&mut self, actions: Vec<Action>, peers: &mut Peers) {
        for action in actions {
            match action {
                Action::Send(Envelope { to, message }) => {
                    peers.send(&to, &codec::to_peer(message));
                }
                Action::Broadcast(message) => peers.broadcast(&codec::to_peer(message)),
                Action::Granted(permit) => self.hand_over(permit, peers),
                Action::Refused(id) => {
                    self.waiting.remove(&id);
                }
            }
        }
    }

    /// Hands a permit to the request that waits; gives it back when its caller left.
    fn hand_over(&mut self, permit: Permit, peers: &mut Peers) {
        let unused = match self.waiting.remove(&permit.id) {
            Some(reply) => reply.send(permit).err(),
            None => Some(permit),
        };
        if let Some(permit) = unused {
            let actions =
                self.core.return_permit(&permit, Outcome::NotSent, self.shared.clock.now());
            self.act(actions, peers);
        }
    }

    /// Starts and ends the tasks that keep tripwires.
    fn set_keepers(&mut self, addresses: &BTreeMap<TargetName, SocketAddr>) {
        let connections = &mut self.connections;
        self.keepers.retain(|target, (address, task)| {
            let is_wanted = addresses.get(target) == Some(address);
            if !is_wanted {
                task.abort();
                connections.remove(target);
            }
            is_wanted
        });
        for (target, address) in addresses {
            if self.keepers.contains_key(target) {
                continue;
            }
            let now = self.shared.clock.now();
            self.core.on_liveness_connection_closed(target, now);
            let keep = liveness_connection::keep(target.clone(), *address, self.events.clone());
            self.keepers.insert(target.clone(), (*address, tokio::task::spawn_local(keep)));
        }
    }
}

/// Returns the change of the roster that an entry of the store tells.
fn change(entry: &Entry) -> Option<Change> {
    let name = InstanceName::new(entry.key.strip_prefix(keys::ROSTER_PREFIX)?);
    let found = entry.value.as_ref().and_then(|text| member(text, entry.version));
    Some(Change { name, member: found })
}

fn member(text: &str, version: u64) -> Option<Member> {
    let entry: RosterEntry = serde_json::from_str(text).ok()?;
    Some(Member {
        run: InstanceRun::new(entry.run),
        address: entry.peer.parse().ok()?,
        version: StoreVersion(version),
    })
}
