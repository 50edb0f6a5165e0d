//! The control thread, which owns all controllers and publishes snapshots of their state.

mod state_reports;

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use ibiscroft_core::Tick;
use ibiscroft_core::ids::{InstanceName, RunId, TargetName};
use ibiscroft_core::leaving::StateReport;
use ibiscroft_platform::{StoreClient, StoreError};
use ibiscroft_wire::generated::peer::PeerMessage;
use ibiscroft_wire::generated::store::{Entry, InstanceList, WatchAnswer};
use ibiscroft_wire::keys;
use serde_json::{Value, json};
use tokio::sync::{mpsc, oneshot};

use crate::claims::{ClaimsHandle, decode_retired_slots};
use crate::controllers::peers::{PeerEvent, Peers};
use crate::controllers::permits::Permits;
use crate::controllers::polls::{PollResult, Polls};
use crate::controllers::registers::Registers;
use crate::controllers::roster::{LeaseEvent, Roster};
use crate::controllers::targets::Targets;
use crate::events::event;
use crate::liveness_connection::LivenessEvent;
use crate::observation::Observation;
use crate::permits::PermitEvent;
use crate::settings::Settings;
use crate::shared::Shared;
use state_reports::{target_leaving, target_serving};

/// Interval of the periodic work of the controllers.
const TICK: Duration = Duration::from_millis(50);

/// Name of the sender of registers that an operator submitted; no instance has this name.
const OPERATOR_SENDER: &str = "(operator)";

/// Longest time between a peer's poll of a target and the arrival of its notification.
///
/// The request behind a notification is taken to have been sent this long ago.
const MAX_NOTIFICATION_AGE: Duration = Duration::from_secs(2);

/// An event that a task of the control thread reports.
#[derive(Debug)]
pub(crate) enum ControlEvent {
    /// The store responded to a watch.
    Watch {
        /// The response.
        response: WatchAnswer,
        /// Whether it lists all keys instead of changes.
        is_full: bool,
        /// When the watch was sent.
        sent_at: Tick,
    },
    /// A watch failed.
    WatchFailed(StoreError),
    /// The lease of this instance changed.
    Lease(LeaseEvent),
    /// A connection to another gateway changed or received a message.
    Peer(PeerEvent),
    /// The platform's list of instances was read.
    Instances(InstanceList),
    /// A poll of a target ended.
    Polled(PollResult),
    /// A liveness connection was opened or ended.
    Liveness(LivenessEvent),
}

/// A command to the control thread, which sends a reply.
#[derive(Debug)]
pub(crate) enum ControlCommand {
    /// Requests a description of the state of the process.
    Dump(oneshot::Sender<Value>),
    /// Submits registers for an operator and requests a description of the values then in force.
    Registers {
        /// The registers.
        message: PeerMessage,
        /// Where to send the description.
        reply: oneshot::Sender<Value>,
    },
    /// Requests that the lease be revoked before a planned stop, and a notification afterwards.
    Leave(oneshot::Sender<()>),
}

/// Receivers of all inputs of the control thread.
#[derive(Debug)]
pub(crate) struct ControlInputs {
    /// Events from tasks of the control thread.
    pub(crate) events: mpsc::UnboundedReceiver<ControlEvent>,
    /// Observations from traffic threads.
    pub(crate) observations: mpsc::Receiver<Observation>,
    /// Permit requests and reports from traffic threads.
    pub(crate) permits: mpsc::Receiver<PermitEvent>,
    /// Commands from the operator endpoint and the daemon.
    pub(crate) commands: mpsc::Receiver<ControlCommand>,
}

/// The complete control state of a gateway.
#[derive(Debug)]
pub(crate) struct Control {
    shared: Arc<Shared>,
    settings: Rc<Settings>,
    registers: Registers,
    targets: Targets,
    roster: Roster,
    peers: Peers,
    polls: Polls,
    permits: Permits,
    claims: ClaimsHandle,
    is_store_lost: bool,
    next_notification_repeat: Tick,
}

impl Control {
    /// Creates the control state of a gateway with nothing in force.
    pub(crate) fn new(
        shared: Arc<Shared>,
        settings: Rc<Settings>,
        store: StoreClient,
        claims: ClaimsHandle,
        events: mpsc::UnboundedSender<ControlEvent>,
    ) -> Self {
        Self {
            registers: Registers::new(
                Arc::clone(&shared),
                store.clone(),
                settings.instance.clone(),
            ),
            targets: Targets::new(shared.clock),
            roster: Roster::start(Rc::clone(&settings), Arc::clone(&shared), store, &events),
            permits: Permits::new(Arc::clone(&shared), events.clone()),
            polls: Polls::new(Arc::clone(&shared), settings.instance.clone(), events.clone()),
            peers: Peers::new(Arc::clone(&shared), settings.instance.clone(), events),
            claims,
            shared,
            settings,
            is_store_lost: false,
            next_notification_repeat: Tick::ZERO,
        }
    }

    /// Handles inputs until all of them are closed.
    pub(crate) async fn run(mut self, mut inputs: ControlInputs) {
        self.peers.dial_seeds(&self.settings.peers);
        let mut timer = tokio::time::interval(TICK);
        timer.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Skip);
        loop {
            tokio::select! {
                Some(event) = inputs.events.recv() => self.on_event(event),
                Some(observation) = inputs.observations.recv() => self.on_observation(&observation),
                Some(event) = inputs.permits.recv() => {
                    self.permits.on_traffic(event, &mut self.peers);
                }
                Some(command) = inputs.commands.recv() => self.on_command(command).await,
                _ = timer.tick() => self.on_tick(),
                else => return,
            }
            self.publish_if_changed();
        }
    }

    fn on_event(&mut self, event: ControlEvent) {
        match event {
            ControlEvent::Watch { response, is_full, sent_at } => {
                self.on_watch(&response, is_full, sent_at);
                self.permits.on_watch(&response, is_full, sent_at);
            }
            ControlEvent::WatchFailed(error) => self.on_watch_failed(&error),
            ControlEvent::Lease(lease) => {
                self.roster.on_lease(&lease);
                self.permits.on_lease(&lease);
            }
            ControlEvent::Peer(peer) => self.on_peer(peer),
            ControlEvent::Instances(list) => self.on_instances(&list),
            ControlEvent::Polled(result) => self.on_polled(&result),
            ControlEvent::Liveness(event) => self.permits.on_liveness_event(event),
        }
    }

    fn on_watch(&mut self, response: &WatchAnswer, is_full: bool, sent_at: Tick) {
        if std::mem::take(&mut self.is_store_lost) {
            event!(StoreBack, "revision {}", response.revision);
        }
        for entry in &response.entries {
            self.roster.on_entry(entry);
            self.on_retired_slots(entry);
        }
        let members = self.roster.members();
        if !members.is_empty() {
            self.claims.set_gateways(members.len());
        }
        let live: Vec<InstanceName> = members.keys().cloned().collect();
        self.polls.set_roster(live.clone(), sent_at);
        self.registers.set_roster(live);
        self.peers.set_roster(members);
        self.registers.on_watch(&response.entries, is_full, sent_at, &mut self.peers);
    }

    /// Passes the retired time slots of claims to the claims controller.
    fn on_retired_slots(&self, entry: &Entry) {
        if entry.key != keys::RETIRED_SLOTS {
            return;
        }
        if let Some(slots) = entry.value.as_deref().and_then(decode_retired_slots) {
            self.claims.retire(slots);
        }
    }

    fn on_watch_failed(&mut self, error: &StoreError) {
        self.registers.on_store_lost();
        if !std::mem::replace(&mut self.is_store_lost, true) {
            event!(StoreLost, "{error}");
        }
    }

    fn on_peer(&mut self, peer: PeerEvent) {
        match peer {
            PeerEvent::Up { instance, link } => {
                self.peers.on_up(instance.clone(), link);
                self.use_connected_as_roster();
                for (target, run) in self.targets.draining() {
                    self.peers.send(&instance, &target_leaving(target, run));
                }
            }
            PeerEvent::Down { instance, id } => self.peers.on_down(&instance, id),
            PeerEvent::Message { instance, message } => self.on_message(&instance, message),
        }
    }

    /// Uses the connected gateways as the roster of the registers until the store lists one.
    fn use_connected_as_roster(&mut self) {
        if self.roster.members().is_empty() {
            self.registers.set_roster(self.peers.connected());
        }
    }

    fn on_message(&mut self, from: &InstanceName, message: PeerMessage) {
        if self.registers.on_message(from, &message, &mut self.peers) {
            return;
        }
        match message {
            PeerMessage::TargetLeaving { target, run } => {
                let target = TargetName::new(target);
                let report = StateReport::PeerNotification { run: RunId::new(run) };
                self.on_state_report(&target, &report, Some(from));
                if let Some(run) = self.targets.serving_run(&target) {
                    self.peers.send(from, &target_serving(&target, run));
                }
            }
            PeerMessage::TargetServing { target, run } => {
                let sent_at = self.shared.clock.now().before(MAX_NOTIFICATION_AGE);
                let run = RunId::new(run);
                let report = StateReport::Response { run, draining: false, sent_at };
                self.on_state_report(&TargetName::new(target), &report, Some(from));
            }
            message => self.permits.on_peer(from, message, &mut self.peers),
        }
    }

    fn on_observation(&mut self, observation: &Observation) {
        match observation {
            Observation::Draining { target, run, sent_at } => {
                let (run, sent_at) = (run.clone(), *sent_at);
                let report = StateReport::Response { run, draining: true, sent_at };
                self.on_state_report(target, &report, None);
            }
        }
    }

    async fn on_command(&mut self, command: ControlCommand) {
        match command {
            ControlCommand::Dump(reply) => {
                let mut state = self.dump();
                state["claims"] = self.claims.dump().await;
                let _ = reply.send(state);
            }
            ControlCommand::Registers { message, reply } => {
                let operator = InstanceName::new(OPERATOR_SENDER);
                self.registers.on_message(&operator, &message, &mut self.peers);
                let _ = reply.send(json!({
                    "configuration": self.registers.dump_configuration(),
                    "zones": self.registers.dump_zones(),
                }));
            }
            ControlCommand::Leave(done) => {
                self.permits.on_lease(&LeaseEvent::Lost);
                self.roster.leave().await;
                let _ = done.send(());
            }
        }
    }

    fn on_tick(&mut self) {
        self.registers.on_tick(&mut self.peers);
        self.permits.on_tick(&mut self.peers);
        self.polls.on_tick(self.registers.configuration());
        self.repeat_notifications();
    }

    /// Publishes a new snapshot if a value in force, a target or a certificate has changed.
    fn publish_if_changed(&mut self) {
        let registers_changed = self.registers.take_changed();
        let targets_changed = self.targets.take_changed();
        if registers_changed {
            self.permits.on_configuration(self.registers.configuration());
        }
        let permits_changed = self.permits.take_changed();
        if !registers_changed && !targets_changed && !permits_changed {
            return;
        }
        let zone = &self.settings.zone;
        if registers_changed || targets_changed {
            let targets = &self.targets;
            self.polls
                .set_targets(self.registers.configuration(), |target| targets.is_leaving(target));
        }
        let snapshot = self.targets.snapshot(&self.registers, &self.permits, zone);
        let metrics = &self.shared.metrics;
        metrics
            .configuration_generation
            .set(gauge(self.registers.configuration_generation().get()));
        metrics.zones_generation.set(gauge(self.registers.zones_generation().get()));
        self.shared.snapshot.store(Arc::new(snapshot));
    }

    fn dump(&self) -> Value {
        json!({
            "instance": self.settings.instance,
            "availability_zone": self.settings.zone,
            "run": self.shared.run,
            "ready": self.registers.is_ready(),
            "store_lost": self.is_store_lost,
            "configuration": self.registers.dump_configuration(),
            "zones": self.registers.dump_zones(),
            "freshness": self.registers.dump_freshness(),
            "targets": self.targets.dump(&self.shared.view()),
            "services": Targets::dump_services(&self.shared.view()),
            "roster": self.roster.dump(),
            "peers": self.peers.dump(),
            "permits": self.permits.dump(),
            "polls": self.polls.dump(),
        })
    }
}

fn gauge(value: u64) -> i64 {
    i64::try_from(value).unwrap_or(i64::MAX)
}
