//! All registers of one gateway with gossip and freshness: what is in force, and whether it may
//! be relied on.

use std::time::Duration;

use crate::config::{Configuration, ZoneState};
use crate::freshness::{Freshness, FreshnessStatus};
use crate::gossip::{Digest, Gossip, GossipAction};
use crate::ids::{InstanceName, StoreVersion};
use crate::register::{Register, Repair};
use crate::time::Tick;
use crate::{copy_data, data, rendezvous};

/// Longest time a starting gateway waits for a peer's word before it trusts the store alone.
pub const START_WAIT: Duration = Duration::from_millis(1_500);
/// The same for a gateway that was paused; its connections are still there as a rule.
pub const RESUME_WAIT: Duration = Duration::from_millis(300);

data! {
    /// A register as read from the store.
    pub struct StoredValue<T> {
        /// Value; `None` when the key does not exist.
        pub value: Option<T>,
        /// Version of the key; 0 when it does not exist.
        pub version: StoreVersion,
    }

    /// A message between two gateways about registers.
    pub enum RegisterMessage {
        /// Asks for a pong.
        Ping {
            /// Echoed by the pong.
            nonce: u64,
            /// What the sender has in force.
            digest: Digest,
        },
        /// Answers a ping.
        Pong {
            /// Nonce of the ping.
            nonce: u64,
            /// What the sender has in force.
            digest: Digest,
            /// How long the sender has run without a pause.
            running_for: Duration,
        },
        /// Registers that the receiver has only in older generations.
        Registers {
            /// The configuration, when it is newer.
            configuration: Option<Configuration>,
            /// The zone state, when it is newer.
            zones: Option<ZoneState>,
        },
    }

    /// What a gateway must do for its registers.
    pub enum RegisterAction {
        /// Sends a message to a peer.
        Send {
            /// Receiver.
            to: InstanceName,
            /// Message.
            message: RegisterMessage,
        },
        /// Writes the configuration to the store by compare-and-swap.
        RepairConfiguration(Repair<Configuration>),
        /// Writes the zone state to the store by compare-and-swap.
        RepairZones(Repair<ZoneState>),
    }
}

impl<T> Default for StoredValue<T> {
    fn default() -> Self {
        Self { value: None, version: StoreVersion(0) }
    }
}

copy_data! {
    /// Whether a peer confirmed the state since this gateway started or was paused.
    enum PeerWord {
        /// Not yet; the store alone is trusted after `until`.
        Awaited {
            /// End of the wait.
            until: Tick,
        },
        /// A peer confirmed it, or the wait ended.
        Settled,
    }
}

/// The registers of one gateway.
///
/// A store that came back with older data must not mislead a gateway that starts or was paused,
/// so an answer of the store counts there only beside a peer's word, if there are peers.
#[derive(Clone, Debug)]
pub struct Registers {
    own: InstanceName,
    live: Vec<InstanceName>,
    configuration: Register<Configuration>,
    zones: Register<ZoneState>,
    gossip: Gossip,
    freshness: Freshness,
    configuration_since: Tick,
    peer_word: PeerWord,
    store_proof: Option<Tick>,
}

impl Registers {
    /// Starts without anything in force; `first_nonce` is random.
    #[must_use]
    pub fn new(own: InstanceName, first_nonce: u64, now: Tick) -> Self {
        Self {
            gossip: Gossip::new(own.clone(), first_nonce, now),
            own,
            live: Vec::new(),
            configuration: Register::default(),
            zones: Register::default(),
            freshness: Freshness::new(now),
            configuration_since: now,
            peer_word: PeerWord::Awaited { until: now + START_WAIT },
            store_proof: None,
        }
    }

    /// Returns the configuration in force.
    #[must_use]
    pub const fn configuration(&self) -> Option<&Configuration> {
        self.configuration.value()
    }

    /// Returns the zone state in force.
    #[must_use]
    pub const fn zones(&self) -> Option<&ZoneState> {
        self.zones.value()
    }

    /// Returns the instant after which no new work may be sent on the state in force.
    #[must_use]
    pub const fn deadline(&self) -> Tick {
        self.freshness.deadline()
    }

    /// Returns whether the state in force may be relied on.
    #[must_use]
    pub fn freshness(&self, now: Tick) -> FreshnessStatus {
        self.freshness.status(now)
    }

    /// Returns the gateways that this one exchanges pings with.
    #[must_use]
    pub const fn gossip(&self) -> &Gossip {
        &self.gossip
    }

    /// Returns whether this gateway may serve callers: it has a configuration that was proven.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        self.configuration.value().is_some() && self.freshness.is_proven_once()
    }

    /// Takes the names of the live gateways.
    pub fn set_roster(&mut self, live: Vec<InstanceName>, now: Tick) {
        self.gossip.set_roster(&live, now);
        self.live = live;
    }

    /// Takes the registers that the store holds, read by a call made at `asked_at`.
    pub fn on_store(
        &mut self,
        configuration: &StoredValue<Configuration>,
        zones: &StoredValue<ZoneState>,
        asked_at: Tick,
        now: Tick,
    ) -> Vec<RegisterAction> {
        self.observe(now);
        let is_new_configuration =
            self.configuration.on_store(configuration.value.as_ref(), configuration.version);
        let is_new_zones = self.zones.on_store(zones.value.as_ref(), zones.version);
        self.on_store_proof(asked_at, now);
        self.announce(is_new_configuration, is_new_zones, now)
    }

    /// Notes that the store confirmed by a call made at `asked_at` that nothing changed.
    pub fn on_store_unchanged(&mut self, asked_at: Tick, now: Tick) {
        self.observe(now);
        self.on_store_proof(asked_at, now);
    }

    /// Notes that the store can't be reached.
    pub fn on_store_lost(&mut self) {
        self.configuration.on_store_lost();
        self.zones.on_store_lost();
    }

    /// Takes a message of a peer.
    pub fn on_message(
        &mut self,
        from: &InstanceName,
        message: &RegisterMessage,
        now: Tick,
    ) -> Vec<RegisterAction> {
        self.observe(now);
        match message {
            RegisterMessage::Ping { nonce, digest } => {
                let (nonce, running_for) = (*nonce, self.freshness.awake_for(now));
                let pong = RegisterMessage::Pong { nonce, digest: self.digest(), running_for };
                let mut actions = vec![RegisterAction::Send { to: from.clone(), message: pong }];
                actions.extend(self.compare(from, digest, now));
                actions
            }
            RegisterMessage::Pong { nonce, digest, running_for } => {
                let Some(asked_at) = self.gossip.on_pong(from, *nonce) else {
                    return Vec::new();
                };
                if !self.digest().covers(digest) {
                    self.await_newer(now);
                } else {
                    if asked_at >= self.freshness.awake_since() {
                        self.peer_word = PeerWord::Settled;
                    }
                    self.freshness.on_peer_proof(asked_at, now, *running_for);
                }
                self.compare(from, digest, now).into_iter().collect()
            }
            RegisterMessage::Registers { configuration, zones } => {
                let is_new_configuration =
                    configuration.as_ref().is_some_and(|cfg| self.configuration.offer(cfg));
                let is_new_zones = zones.as_ref().is_some_and(|zones| self.zones.offer(zones));
                self.announce(is_new_configuration, is_new_zones, now)
            }
        }
    }

    /// Does what is due.
    pub fn on_tick(&mut self, now: Tick) -> Vec<RegisterAction> {
        self.observe(now);
        let pings = self.gossip.on_tick(now);
        let mut actions = self.to_messages(pings);
        let rank = self.rank("configuration");
        if let Some(repair) = self.configuration.poll_repair(rank, now) {
            actions.push(RegisterAction::RepairConfiguration(repair));
        }
        let rank = self.rank("zones");
        if let Some(repair) = self.zones.poll_repair(rank, now) {
            actions.push(RegisterAction::RepairZones(repair));
        }
        actions
    }

    /// Returns the digest of what is in force.
    #[must_use]
    pub fn digest(&self) -> Digest {
        Digest::new(self.configuration.stamp().as_ref(), self.zones.stamp().as_ref())
    }

    /// Notes that time passed, before any other event is taken in.
    fn observe(&mut self, now: Tick) {
        if self.freshness.on_tick(now) {
            let is_starting = !self.freshness.is_proven_once();
            let wait = if is_starting { START_WAIT } else { RESUME_WAIT };
            self.peer_word = PeerWord::Awaited { until: now + wait };
        }
        if let PeerWord::Awaited { until } = self.peer_word
            && now >= until
        {
            self.peer_word = PeerWord::Settled;
        }
        let has_peers = self.gossip.neighbours().next().is_some();
        if self.peer_word != PeerWord::Settled && has_peers {
            return;
        }
        if let Some(asked_at) = self.store_proof.take() {
            self.freshness.on_store_proof(asked_at, now);
        }
    }

    /// Goes on waiting for a peer's word, because a peer has something newer.
    fn await_newer(&mut self, now: Tick) {
        if let PeerWord::Awaited { until } = &mut self.peer_word {
            *until = (*until).max(now + RESUME_WAIT);
        }
    }

    fn on_store_proof(&mut self, asked_at: Tick, now: Tick) {
        self.store_proof = Some(asked_at);
        self.observe(now);
    }

    /// Tells the neighbours at once when something new is in force.
    fn announce(
        &mut self,
        is_new_configuration: bool,
        is_new_zones: bool,
        now: Tick,
    ) -> Vec<RegisterAction> {
        if is_new_configuration {
            self.configuration_since = now;
        }
        if !is_new_configuration && !is_new_zones {
            return Vec::new();
        }
        let pings = self.gossip.ping_all(now);
        self.to_messages(pings)
    }

    fn compare(&self, from: &InstanceName, theirs: &Digest, now: Tick) -> Option<RegisterAction> {
        let ours = self.digest();
        let action = self.gossip.on_digest(from, theirs, &ours, self.configuration_since, now)?;
        Some(self.to_message(action))
    }

    fn to_messages(&self, actions: Vec<GossipAction>) -> Vec<RegisterAction> {
        actions.into_iter().map(|action| self.to_message(action)).collect()
    }

    fn to_message(&self, action: GossipAction) -> RegisterAction {
        match action {
            GossipAction::Ping { to, nonce } => {
                let message = RegisterMessage::Ping { nonce, digest: self.digest() };
                RegisterAction::Send { to, message }
            }
            GossipAction::SendRegisters { to, configuration, zones } => {
                let configuration = self.configuration.value().filter(|_| configuration).cloned();
                let zones = self.zones.value().filter(|_| zones).cloned();
                let message = RegisterMessage::Registers { configuration, zones };
                RegisterAction::Send { to, message }
            }
        }
    }

    /// Returns this gateway's place among the live ones for writing a register.
    fn rank(&self, register: &str) -> u32 {
        let own = rendezvous::weight(register, self.own.as_str());
        let higher = self
            .live
            .iter()
            .filter(|name| rendezvous::weight(register, name.as_str()) > own)
            .count();
        u32::try_from(higher).unwrap_or(u32::MAX)
    }
}
