//! The control thread: owns every controller and publishes snapshots.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use ibiscroft_core::Tick;
use ibiscroft_core::ids::{InstanceName, TargetName};
use ibiscroft_platform::{StoreClient, StoreError};
use ibiscroft_wire::generated::peer::PeerMessage;
use ibiscroft_wire::generated::store::WatchAnswer;
use ibiscroft_wire::keys;
use serde_json::{Value, json};
use tokio::sync::{mpsc, oneshot};

use crate::claims::{ClaimsHandle, retired_slots};
use crate::controllers::peers::{PeerEvent, Peers};
use crate::controllers::registers::Registers;
use crate::controllers::roster::{LeaseEvent, Roster};
use crate::controllers::targets::Targets;
use crate::events::event;
use crate::observation::Observation;
use crate::settings::Settings;
use crate::shared::Shared;

/// Interval of periodic work.
const TICK: Duration = Duration::from_millis(250);
/// Interval of pings to other gateways.
const PING_INTERVAL: Duration = Duration::from_secs(1);

/// Something that happened outside the control thread's own state.
#[derive(Debug)]
pub(crate) enum ControlEvent {
    /// The store answered a watch.
    Watch(WatchAnswer),
    /// A watch failed.
    WatchFailed(StoreError),
    /// The instance's own lease changed.
    Lease(LeaseEvent),
    /// Something happened between gateways.
    Peer(PeerEvent),
}

/// A request to the control thread that expects an answer.
#[derive(Debug)]
pub(crate) enum ControlCommand {
    /// Describes the state of the process.
    Dump(oneshot::Sender<Value>),
    /// Gives up the lease before a planned stop.
    Leave(oneshot::Sender<()>),
}

/// Receiving ends of everything the control thread listens to.
#[derive(Debug)]
pub(crate) struct ControlInputs {
    /// From tasks of the control thread.
    pub(crate) events: mpsc::UnboundedReceiver<ControlEvent>,
    /// From traffic threads.
    pub(crate) observations: mpsc::Receiver<Observation>,
    /// From the operators' listener and the daemon.
    pub(crate) commands: mpsc::Receiver<ControlCommand>,
}

/// All control state of one gateway.
#[derive(Debug)]
pub(crate) struct Control {
    shared: Arc<Shared>,
    settings: Rc<Settings>,
    registers: Registers,
    targets: Targets,
    roster: Roster,
    peers: Peers,
    claims: ClaimsHandle,
    store_lost: bool,
    next_ping: Tick,
}

impl Control {
    /// Makes the control state; nothing is in force yet.
    pub(crate) fn new(
        shared: Arc<Shared>,
        settings: Rc<Settings>,
        store: StoreClient,
        claims: ClaimsHandle,
        events: mpsc::UnboundedSender<ControlEvent>,
    ) -> Self {
        Self {
            registers: Registers::default(),
            targets: Targets::default(),
            roster: Roster::start(Rc::clone(&settings), Arc::clone(&shared), store, &events),
            peers: Peers::new(Arc::clone(&shared), settings.instance.clone(), events),
            claims,
            shared,
            settings,
            store_lost: false,
            next_ping: Tick::ZERO,
        }
    }

    /// Works until all inputs are closed.
    pub(crate) async fn run(mut self, mut inputs: ControlInputs) {
        let mut timer = tokio::time::interval(TICK);
        timer.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Skip);
        loop {
            tokio::select! {
                Some(event) = inputs.events.recv() => self.on_event(event),
                Some(seen) = inputs.observations.recv() => self.on_observation(&seen),
                Some(command) = inputs.commands.recv() => self.on_command(command).await,
                _ = timer.tick() => self.on_tick(),
                else => return,
            }
            self.publish_if_changed();
        }
    }

    fn on_event(&mut self, event: ControlEvent) {
        match event {
            ControlEvent::Watch(answer) => self.on_watch(&answer),
            ControlEvent::WatchFailed(error) => self.on_watch_failed(&error),
            ControlEvent::Lease(lease) => self.roster.on_lease(&lease),
            ControlEvent::Peer(peer) => self.on_peer(peer),
        }
    }

    fn on_watch(&mut self, answer: &WatchAnswer) {
        if std::mem::take(&mut self.store_lost) {
            event!(StoreBack, "revision {}", answer.revision);
        }
        for entry in &answer.entries {
            if self.roster.on_entry(entry) {
                continue;
            }
            let Some(value) = &entry.value else {
                continue;
            };
            if entry.key == keys::RETIRED_SLOTS {
                retired_slots(value).into_iter().for_each(|slots| self.claims.retire(slots));
                continue;
            }
            self.registers.on_entry(&entry.key, value);
        }
        let members = self.roster.members();
        if !members.is_empty() {
            self.claims.set_gateways(members.len());
        }
        self.peers.set_roster(members);
    }

    fn on_watch_failed(&mut self, error: &StoreError) {
        if !std::mem::replace(&mut self.store_lost, true) {
            event!(StoreLost, "{error}");
        }
    }

    fn on_peer(&mut self, peer: PeerEvent) {
        match peer {
            PeerEvent::Up { instance, link } => self.peers.on_up(instance, link),
            PeerEvent::Down { instance, id } => self.peers.on_down(&instance, id),
            PeerEvent::Message { instance, message } => self.on_message(&instance, message),
        }
    }

    fn on_message(&mut self, from: &InstanceName, message: PeerMessage) {
        match message {
            PeerMessage::Ping { nonce, configuration, zones } => {
                let pong = PeerMessage::Pong {
                    nonce,
                    configuration: self.registers.configuration_generation().get(),
                    zones: self.registers.zones_generation().get(),
                };
                self.peers.send(from, &pong);
                self.send_newer_registers(from, configuration, zones);
            }
            PeerMessage::Pong { configuration, zones, .. } => {
                self.send_newer_registers(from, configuration, zones);
            }
            PeerMessage::Registers { configuration, zones } => {
                self.registers.on_peer_records(&configuration, &zones);
            }
            PeerMessage::TargetLeaving { target, .. } => {
                self.targets.on_leaving(&TargetName::new(target));
            }
            _ => {}
        }
    }

    /// Sends the records that are newer here than at a peer.
    fn send_newer_registers(&mut self, to: &InstanceName, configuration: u64, zones: u64) {
        if let Some(message) = self.registers.newer_than(configuration, zones) {
            self.peers.send(to, &message);
        }
    }

    fn on_observation(&mut self, seen: &Observation) {
        match seen {
            Observation::Draining { target } => {
                if !self.targets.on_leaving(target) {
                    return;
                }
                let message =
                    PeerMessage::TargetLeaving { target: target.to_string(), run: String::new() };
                self.peers.broadcast(&message);
            }
        }
    }

    async fn on_command(&mut self, command: ControlCommand) {
        match command {
            ControlCommand::Dump(answer) => {
                let mut state = self.dump();
                state["claims"] = self.claims.dump().await;
                let _ = answer.send(state);
            }
            ControlCommand::Leave(done) => {
                self.roster.leave().await;
                let _ = done.send(());
            }
        }
    }

    fn on_tick(&mut self) {
        let now = self.shared.clock.now();
        if now < self.next_ping {
            return;
        }
        self.next_ping = now + PING_INTERVAL;
        let ping = PeerMessage::Ping {
            nonce: now.as_micros(),
            configuration: self.registers.configuration_generation().get(),
            zones: self.registers.zones_generation().get(),
        };
        self.peers.broadcast(&ping);
    }

    fn publish_if_changed(&mut self) {
        let registers_changed = self.registers.take_changed();
        let targets_changed = self.targets.take_changed();
        if !registers_changed && !targets_changed {
            return;
        }
        let snapshot = self.targets.snapshot(&self.registers, &self.settings.zone);
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
            "ready": self.shared.view().generation.get() > 0,
            "store_lost": self.store_lost,
            "configuration": self.registers.dump_configuration(),
            "zones": self.registers.dump_zones(),
            "targets": self.targets.dump(&self.shared.view()),
            "roster": self.roster.dump(),
            "peers": self.peers.dump(),
        })
    }
}

fn gauge(value: u64) -> i64 {
    i64::try_from(value).unwrap_or(i64::MAX)
}
