//! The configuration and zone state in force on one gateway, and whether they are recent.
//!
//! Combines one [`Register`] for each value with [`Gossip`] and [`Freshness`].

use std::time::Duration;

use crate::config::{Configuration, ZoneState};
use crate::freshness::{Freshness, FreshnessStatus};
use crate::gossip::{Digest, Gossip, GossipAction};
use crate::ids::{InstanceName, StoreVersion};
use crate::register::{Register, Repair};
use crate::time::Tick;
use crate::{copy_data, data, rendezvous};

/// Longest time that a starting gateway waits for a peer before it relies on the store alone.
pub const START_PEER_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Longest time that a gateway waits for a peer after a pause before it relies on the store alone.
///
/// Shorter than at the start, because its connections to peers usually still exist.
pub const RESUME_PEER_TIMEOUT: Duration = Duration::from_millis(300);

data! {
    /// The value and version of a key, as read from the store.
    pub struct StoredValue<T> {
        /// Value; `None` when the key does not exist.
        pub value: Option<T>,
        /// Version of the key; 0 when it does not exist.
        pub version: StoreVersion,
    }

    /// A message between two gateways about registers.
    pub enum RegisterMessage {
        /// Requests a pong.
        Ping {
            /// Number that the pong repeats.
            nonce: u64,
            /// What the sender has in force.
            digest: Digest,
        },
        /// Responds to a ping.
        Pong {
            /// Nonce of the ping.
            nonce: u64,
            /// What the sender has in force.
            digest: Digest,
            /// How long the sender has run without a pause.
            running_for: Duration,
        },
        /// Registers of which the receiver has only older generations.
        Registers {
            /// The configuration, if the receiver's is older.
            configuration: Option<Configuration>,
            /// The zone state, if the receiver's is older.
            zones: Option<ZoneState>,
        },
    }

    /// An action that the gateway must perform.
    pub enum RegisterAction {
        /// Send a message to a peer.
        Send {
            /// Receiver.
            to: InstanceName,
            /// Message.
            message: RegisterMessage,
        },
        /// Write the configuration to the store by compare-and-swap.
        RepairConfiguration(Repair<Configuration>),
        /// Write the zone state to the store by compare-and-swap.
        RepairZones(Repair<ZoneState>),
    }
}

impl<T> Default for StoredValue<T> {
    fn default() -> Self {
        Self { value: None, version: StoreVersion(0) }
    }
}

copy_data! {
    /// Whether a peer has confirmed the state since this gateway started or was paused.
    enum PeerConfirmation {
        /// Not yet; from `until` on, the store alone is sufficient.
        Pending {
            /// End of the wait.
            until: Tick,
        },
        /// A peer confirmed the state, or the wait ended.
        Done,
    }
}

/// The registers of one gateway.
///
/// The store may come back with older data, which must not mislead a gateway that starts or was
/// paused. If the gateway has neighbours, it therefore accepts a confirmation of the store only
/// after a peer has confirmed the state too, or after the wait for one has timed out.
#[derive(Clone, Debug)]
pub struct Registers {
    own: InstanceName,
    live: Vec<InstanceName>,
    configuration: Register<Configuration>,
    zones: Register<ZoneState>,
    gossip: Gossip,
    freshness: Freshness,
    configuration_since: Tick,
    peer_confirmation: PeerConfirmation,
    /// When the request was sent whose response confirmed the state, if it was not accepted yet.
    store_confirmation: Option<Tick>,
}

impl Registers {
    /// Creates the registers of the gateway `own`, with nothing in force.
    ///
    /// `first_nonce` is the nonce of the first ping; choose it at random.
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
            peer_confirmation: PeerConfirmation::Pending { until: now + START_PEER_TIMEOUT },
            store_confirmation: None,
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

    /// Returns the instant after which no new work may be sent based on the state in force.
    #[must_use]
    pub const fn deadline(&self) -> Tick {
        self.freshness.deadline()
    }

    /// Returns whether the state in force is recent enough to act on.
    #[must_use]
    pub fn freshness(&self, now: Tick) -> FreshnessStatus {
        self.freshness.status(now)
    }

    /// Returns the gossip state, which knows the neighbours of this gateway.
    #[must_use]
    pub const fn gossip(&self) -> &Gossip {
        &self.gossip
    }

    /// Returns whether this gateway may serve callers.
    ///
    /// This requires a configuration, and a state that was confirmed at least once.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        self.configuration.value().is_some() && self.freshness.was_confirmed()
    }

    /// Sets the names of the live gateways.
    pub fn set_roster(&mut self, live: Vec<InstanceName>, now: Tick) {
        self.gossip.set_roster(&live, now);
        self.live = live;
    }

    /// Handles a response of the store with both registers; the request was sent at `sent_at`.
    pub fn on_store(
        &mut self,
        configuration: &StoredValue<Configuration>,
        zones: &StoredValue<ZoneState>,
        sent_at: Tick,
        now: Tick,
    ) -> Vec<RegisterAction> {
        self.advance(now);
        let is_new_configuration =
            self.configuration.on_store(configuration.value.as_ref(), configuration.version);
        let is_new_zones = self.zones.on_store(zones.value.as_ref(), zones.version);
        self.on_store_confirmation(sent_at, now);
        self.announce(is_new_configuration, is_new_zones, now)
    }

    /// Handles a response of the store that nothing changed; the request was sent at `sent_at`.
    pub fn on_store_unchanged(&mut self, sent_at: Tick, now: Tick) {
        self.advance(now);
        self.on_store_confirmation(sent_at, now);
    }

    /// Handles that the store can't be reached.
    pub fn on_store_lost(&mut self) {
        self.configuration.on_store_lost();
        self.zones.on_store_lost();
    }

    /// Handles a message of a peer.
    pub fn on_message(
        &mut self,
        from: &InstanceName,
        message: &RegisterMessage,
        now: Tick,
    ) -> Vec<RegisterAction> {
        self.advance(now);
        match message {
            RegisterMessage::Ping { nonce, digest } => {
                let (nonce, running_for) = (*nonce, self.freshness.running_for(now));
                let pong = RegisterMessage::Pong { nonce, digest: self.digest(), running_for };
                let mut actions = vec![RegisterAction::Send { to: from.clone(), message: pong }];
                actions.extend(self.send_newer_registers(from, digest, now));
                actions
            }
            RegisterMessage::Pong { nonce, digest, running_for } => {
                let Some(sent_at) = self.gossip.on_pong(from, *nonce) else {
                    return Vec::new();
                };
                if !self.digest().covers(digest) {
                    self.extend_peer_wait(now);
                } else {
                    if sent_at >= self.freshness.running_since() {
                        self.peer_confirmation = PeerConfirmation::Done;
                    }
                    self.freshness.on_peer_confirmation(sent_at, now, *running_for);
                }
                self.send_newer_registers(from, digest, now).into_iter().collect()
            }
            RegisterMessage::Registers { configuration, zones } => {
                let is_new_configuration = configuration
                    .as_ref()
                    .is_some_and(|cfg| self.configuration.accept_if_newer(cfg));
                let is_new_zones =
                    zones.as_ref().is_some_and(|zones| self.zones.accept_if_newer(zones));
                self.announce(is_new_configuration, is_new_zones, now)
            }
        }
    }

    /// Sends the pings and repairs the registers in the store that are due at `now`.
    pub fn on_tick(&mut self, now: Tick) -> Vec<RegisterAction> {
        self.advance(now);
        let pings = self.gossip.on_tick(now);
        let mut actions = self.to_register_actions(pings);
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

    /// Advances the time to `now`, before any other event is handled.
    ///
    /// Restarts the wait for a peer after a pause. Accepts a pending confirmation of the store
    /// once a peer has confirmed the state, the wait has ended, or there are no neighbours.
    fn advance(&mut self, now: Tick) {
        if self.freshness.on_tick(now) {
            let is_starting = !self.freshness.was_confirmed();
            let timeout = if is_starting { START_PEER_TIMEOUT } else { RESUME_PEER_TIMEOUT };
            self.peer_confirmation = PeerConfirmation::Pending { until: now + timeout };
        }
        if let PeerConfirmation::Pending { until } = self.peer_confirmation
            && now >= until
        {
            self.peer_confirmation = PeerConfirmation::Done;
        }
        let has_neighbours = self.gossip.neighbours().next().is_some();
        if self.peer_confirmation != PeerConfirmation::Done && has_neighbours {
            return;
        }
        if let Some(sent_at) = self.store_confirmation.take() {
            self.freshness.on_store_confirmation(sent_at, now);
        }
    }

    /// Extends the wait for a peer, because a peer has newer registers.
    fn extend_peer_wait(&mut self, now: Tick) {
        if let PeerConfirmation::Pending { until } = &mut self.peer_confirmation {
            *until = (*until).max(now + RESUME_PEER_TIMEOUT);
        }
    }

    fn on_store_confirmation(&mut self, sent_at: Tick, now: Tick) {
        self.store_confirmation = Some(sent_at);
        self.advance(now);
    }

    /// Pings all neighbours at once if a register changed.
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
        self.to_register_actions(pings)
    }

    /// Returns the message that sends the peer `from` the registers that are older there according
    /// to its digest `theirs`, if any.
    fn send_newer_registers(
        &self,
        from: &InstanceName,
        theirs: &Digest,
        now: Tick,
    ) -> Option<RegisterAction> {
        let ours = self.digest();
        let action = self.gossip.on_digest(from, theirs, &ours, self.configuration_since, now)?;
        Some(self.to_register_action(action))
    }

    fn to_register_actions(&self, actions: Vec<GossipAction>) -> Vec<RegisterAction> {
        actions.into_iter().map(|action| self.to_register_action(action)).collect()
    }

    fn to_register_action(&self, action: GossipAction) -> RegisterAction {
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

    /// Returns how many live gateways precede this one in the rendezvous order of `register`.
    ///
    /// The gateway with rank 0 repairs the register in the store first.
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
