//! Exchange of registers between neighbouring gateways.
//!
//! Each gateway pings a few neighbours. A ping and its pong carry a digest of the registers in
//! force, and the side that has newer registers sends them. The number of neighbours does not grow
//! with the number of gateways.

use std::collections::BTreeMap;
use std::time::Duration;

use xxhash_rust::xxh3::xxh3_64;

use crate::ids::{Generation, InstanceName};
use crate::register::Stamp;
use crate::time::Tick;
use crate::{copy_data, data, rendezvous};

/// Time between two pings to the same neighbour.
pub const PING_INTERVAL: Duration = Duration::from_millis(500);
/// Number of responsive neighbours; unresponsive ones are pinged in addition.
pub const MAX_RESPONSIVE_NEIGHBOURS: usize = 5;
/// Time without a pong after which a neighbour counts as unresponsive.
pub const NEIGHBOUR_TIMEOUT: Duration = Duration::from_millis(1_200);
/// Time for which a configuration must be in force before it is sent to a peer.
///
/// Peers usually receive it before that from their own watch of the store, which causes no traffic
/// between gateways.
pub const CONFIGURATION_GRACE: Duration = Duration::from_millis(400);

copy_data! {
    /// Summary of the registers in force on a gateway.
    pub struct Digest {
        /// Generation of the configuration.
        pub configuration: Generation,
        /// Generation of the zone state.
        pub zones: Generation,
        /// Hash of both change ids, which distinguishes changes of the same generation.
        pub check: u64,
    }
}

data! {
    /// A message that the gateway must send to a peer.
    pub enum GossipAction {
        /// A ping with the current digest.
        Ping {
            /// Receiver.
            to: InstanceName,
            /// Number that the pong repeats.
            nonce: u64,
        },
        /// Registers of which the peer has only older generations.
        SendRegisters {
            /// Receiver.
            to: InstanceName,
            /// Whether the configuration is sent.
            configuration: bool,
            /// Whether the zone state is sent.
            zones: bool,
        },
    }

    /// Pings and pongs of one neighbour.
    #[derive(Default)]
    struct Peer {
        /// Nonce of the last ping and when it was sent, until its pong arrives.
        pending_ping: Option<(u64, Tick)>,
        /// When the oldest ping without a pong was sent; set when a later ping is sent.
        unanswered_since: Option<Tick>,
    }
}

impl Digest {
    /// Creates the digest of the registers in force.
    #[must_use]
    pub fn new(configuration: Option<&Stamp>, zones: Option<&Stamp>) -> Self {
        let generation =
            |stamp: Option<&Stamp>| stamp.map_or(Generation(0), |stamp| stamp.generation);
        let change = |stamp: Option<&Stamp>| {
            stamp.map_or_else(String::new, |stamp| stamp.change_id.to_string())
        };
        let changes = format!("{}/{}", change(configuration), change(zones));
        Self {
            configuration: generation(configuration),
            zones: generation(zones),
            check: xxh3_64(changes.as_bytes()),
        }
    }

    /// Returns whether a gateway with the digest `other` has nothing newer in force.
    ///
    /// Different changes of the same generations do not cover each other, because the digest does
    /// not show which one is newer.
    #[must_use]
    pub fn covers(&self, other: &Self) -> bool {
        let is_same_generation =
            self.configuration == other.configuration && self.zones == other.zones;
        let is_at_least_as_new =
            self.configuration >= other.configuration && self.zones >= other.zones;
        is_at_least_as_new && (!is_same_generation || self.check == other.check)
    }
}

/// Chooses and pings neighbours, and decides which registers to send them.
#[derive(Clone, Debug)]
pub struct Gossip {
    own: InstanceName,
    candidates: Vec<InstanceName>,
    neighbours: BTreeMap<InstanceName, Peer>,
    next_ping: Tick,
    next_nonce: u64,
}

impl Gossip {
    /// Creates the state of the gateway `own`, without neighbours.
    ///
    /// Choose `first_nonce` at random, so that the nonces of different runs differ.
    #[must_use]
    pub const fn new(own: InstanceName, first_nonce: u64, now: Tick) -> Self {
        Self {
            own,
            candidates: Vec::new(),
            neighbours: BTreeMap::new(),
            next_ping: now,
            next_nonce: first_nonce,
        }
    }

    /// Returns the names of the neighbours.
    pub fn neighbours(&self) -> impl Iterator<Item = &InstanceName> {
        self.neighbours.keys()
    }

    /// Sets the names of the live gateways and chooses neighbours among them.
    pub fn set_roster(&mut self, live: &[InstanceName], now: Tick) {
        self.candidates = ranked_neighbours(&self.own, live);
        self.choose_neighbours(now);
    }

    /// Pings all neighbours if [`PING_INTERVAL`] has elapsed.
    pub fn on_tick(&mut self, now: Tick) -> Vec<GossipAction> {
        if now < self.next_ping {
            return Vec::new();
        }
        self.ping_all(now)
    }

    /// Pings all neighbours immediately, because a register changed on this gateway.
    pub fn ping_all(&mut self, now: Tick) -> Vec<GossipAction> {
        self.choose_neighbours(now);
        self.next_ping = now + PING_INTERVAL;
        let mut actions = Vec::with_capacity(self.neighbours.len());
        for (name, peer) in &mut self.neighbours {
            if let Some((_, at)) = peer.pending_ping {
                peer.unanswered_since.get_or_insert(at);
            }
            peer.pending_ping = Some((self.next_nonce, now));
            actions.push(GossipAction::Ping { to: name.clone(), nonce: self.next_nonce });
            self.next_nonce = self.next_nonce.wrapping_add(1);
        }
        actions
    }

    /// Handles a pong; returns when its ping was sent.
    ///
    /// Returns `None` if the nonce is not that of the last ping, or its pong was received before.
    /// Any pong of a neighbour shows that it is responsive.
    pub fn on_pong(&mut self, from: &InstanceName, nonce: u64) -> Option<Tick> {
        let peer = self.neighbours.get_mut(from)?;
        peer.unanswered_since = None;
        let (_, at) = peer.pending_ping.take_if(|(pending, _)| *pending == nonce)?;
        Some(at)
    }

    /// Compares a peer's digest with the registers in force, and returns what to send to the peer.
    ///
    /// The zone state is sent at once if the peer's is older. A configuration is large, so a peer
    /// that lacks only the newest generation receives it only once it has been in force here, since
    /// `configuration_since`, for [`CONFIGURATION_GRACE`].
    #[must_use]
    pub fn on_digest(
        &self,
        from: &InstanceName,
        theirs: &Digest,
        ours: &Digest,
        configuration_since: Tick,
        now: Tick,
    ) -> Option<GossipAction> {
        let is_same_generation =
            theirs.configuration == ours.configuration && theirs.zones == ours.zones;
        let is_conflict = is_same_generation && theirs.check != ours.check;
        let zones = theirs.zones < ours.zones || is_conflict;
        let is_grace_over = now.since(configuration_since) >= CONFIGURATION_GRACE;
        let generations_behind =
            ours.configuration.get().saturating_sub(theirs.configuration.get());
        let configuration =
            generations_behind > 1 || (generations_behind == 1 || is_conflict) && is_grace_over;
        if !zones && !configuration {
            return None;
        }
        Some(GossipAction::SendRegisters { to: from.clone(), configuration, zones })
    }

    /// Returns all neighbours except `from`, to forward a message that was received from it.
    pub fn neighbours_except<'a>(
        &'a self,
        from: Option<&'a InstanceName>,
    ) -> impl Iterator<Item = &'a InstanceName> {
        self.neighbours.keys().filter(move |name| Some(*name) != from)
    }

    /// Chooses candidates in ranked order until enough of them are responsive.
    fn choose_neighbours(&mut self, now: Tick) {
        let mut chosen = BTreeMap::new();
        let mut responsive = 0;
        for name in &self.candidates {
            if responsive >= MAX_RESPONSIVE_NEIGHBOURS {
                break;
            }
            let peer = self.neighbours.remove(name).unwrap_or_default();
            let is_unresponsive =
                peer.unanswered_since.is_some_and(|since| now.since(since) >= NEIGHBOUR_TIMEOUT);
            responsive += usize::from(!is_unresponsive);
            chosen.insert(name.clone(), peer);
        }
        self.neighbours = chosen;
    }
}

/// Returns the other live gateways in the order in which `own` chooses them as neighbours.
///
/// The two adjacent gateways in a ring of all gateways come first, which keeps the graph connected.
/// The others follow in rendezvous order, which keeps its diameter small.
#[must_use]
pub fn ranked_neighbours(own: &InstanceName, live: &[InstanceName]) -> Vec<InstanceName> {
    let own = own.as_str();
    let mut others: Vec<&str> =
        live.iter().map(InstanceName::as_str).filter(|name| *name != own).collect();
    if others.is_empty() {
        return Vec::new();
    }
    let ring_position = |name: &str| (rendezvous::weight("ring", name), name.to_string());
    others.sort_by_cached_key(|name| ring_position(name));
    let index = others.partition_point(|name| ring_position(name) < ring_position(own));
    let successor = others[index % others.len()];
    let predecessor = others[(index + others.len() - 1) % others.len()];
    let mut ranked = vec![successor];
    if predecessor != successor {
        ranked.push(predecessor);
    }
    others.retain(|name| *name != successor && *name != predecessor);
    ranked.extend(rendezvous::ranked(own, others.iter().copied(), others.len()));
    ranked.into_iter().map(InstanceName::new).collect()
}
