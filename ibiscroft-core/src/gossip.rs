//! Spreads the newest registers and news among gateways.
//!
//! Each gateway pings a few neighbours. A ping and its pong carry a digest of the registers, and
//! whoever has newer ones sends them. The number of neighbours does not grow with the fleet.

use std::collections::BTreeMap;
use std::time::Duration;

use xxhash_rust::xxh3::xxh3_64;

use crate::ids::{Generation, InstanceName};
use crate::register::Stamp;
use crate::time::Tick;
use crate::{copy_data, data, rendezvous};

/// Time between two pings to each neighbour.
pub const PING_INTERVAL: Duration = Duration::from_millis(500);
/// Neighbours that answer; silent ones are pinged beside them.
pub const MAX_NEIGHBOURS: usize = 5;
/// Time without an answer after which a neighbour counts as silent.
pub const SILENT_AFTER: Duration = Duration::from_millis(1_200);
/// Time a configuration is in force here before it is sent to peers; their own watch, which
/// costs no traffic between gateways, brings it first as a rule.
pub const CONFIGURATION_GRACE: Duration = Duration::from_millis(400);

copy_data! {
    /// What a gateway has in force, in a few bytes.
    pub struct Digest {
        /// Generation of the configuration.
        pub configuration: Generation,
        /// Generation of the zone state.
        pub zones: Generation,
        /// Hash over both change ids; tells equal generations of different changes apart.
        pub check: u64,
    }
}

data! {
    /// What a gateway must send to a peer.
    pub enum GossipAction {
        /// A ping with the current digest.
        Ping {
            /// Receiver.
            to: InstanceName,
            /// Echoed by the pong.
            nonce: u64,
        },
        /// The registers that the peer has only in older generations.
        SendRegisters {
            /// Receiver.
            to: InstanceName,
            /// Whether the configuration is sent.
            configuration: bool,
            /// Whether the zone state is sent.
            zones: bool,
        },
    }

    /// What is known of a peer's answers.
    #[derive(Default)]
    struct Peer {
        asked: Option<(u64, Tick)>,
        unanswered_since: Option<Tick>,
    }
}

impl Digest {
    /// Makes the digest of what is in force.
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

    /// Returns whether a gateway with `other` in force knows nothing newer.
    #[must_use]
    pub fn covers(&self, other: &Self) -> bool {
        let is_tied = self.configuration == other.configuration && self.zones == other.zones;
        let covers = self.configuration >= other.configuration && self.zones >= other.zones;
        covers && (!is_tied || self.check == other.check)
    }
}

/// Pings neighbours and decides who is sent what.
#[derive(Clone, Debug)]
pub struct Gossip {
    own: InstanceName,
    candidates: Vec<InstanceName>,
    neighbours: BTreeMap<InstanceName, Peer>,
    next_ping: Tick,
    next_nonce: u64,
}

impl Gossip {
    /// Starts without neighbours; `first_nonce` is random, so that runs differ.
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

    /// Takes the names of the live gateways and chooses the neighbours among them.
    pub fn set_roster(&mut self, live: &[InstanceName], now: Tick) {
        self.candidates = ranked_neighbours(&self.own, live);
        self.choose(now);
    }

    /// Pings all neighbours when it is time.
    pub fn on_tick(&mut self, now: Tick) -> Vec<GossipAction> {
        if now < self.next_ping {
            return Vec::new();
        }
        self.ping_all(now)
    }

    /// Pings all neighbours at once, because a register changed here.
    pub fn ping_all(&mut self, now: Tick) -> Vec<GossipAction> {
        self.choose(now);
        self.next_ping = now + PING_INTERVAL;
        let mut actions = Vec::with_capacity(self.neighbours.len());
        for (name, peer) in &mut self.neighbours {
            if let Some((_, at)) = peer.asked {
                peer.unanswered_since.get_or_insert(at);
            }
            peer.asked = Some((self.next_nonce, now));
            actions.push(GossipAction::Ping { to: name.clone(), nonce: self.next_nonce });
            self.next_nonce = self.next_nonce.wrapping_add(1);
        }
        actions
    }

    /// Returns when the ping was sent that a pong answers; `None` for any other pong.
    pub fn on_pong(&mut self, from: &InstanceName, nonce: u64) -> Option<Tick> {
        let peer = self.neighbours.get_mut(from)?;
        peer.unanswered_since = None;
        let (_, at) = peer.asked.take_if(|(asked, _)| *asked == nonce)?;
        Some(at)
    }

    /// Compares a peer's digest with what is in force here.
    ///
    /// An older zone state is answered at once. A configuration is large, so a peer that lacks only
    /// the newest gets it when it is in force here since `configuration_since` for a while.
    #[must_use]
    pub fn on_digest(
        &self,
        from: &InstanceName,
        theirs: &Digest,
        ours: &Digest,
        configuration_since: Tick,
        now: Tick,
    ) -> Option<GossipAction> {
        let is_tied = theirs.configuration == ours.configuration && theirs.zones == ours.zones;
        let differs = is_tied && theirs.check != ours.check;
        let zones = theirs.zones < ours.zones || differs;
        let is_settled = now.since(configuration_since) >= CONFIGURATION_GRACE;
        let lacks = ours.configuration.get().saturating_sub(theirs.configuration.get());
        let configuration = lacks > 1 || (lacks == 1 || differs) && is_settled;
        if !zones && !configuration {
            return None;
        }
        Some(GossipAction::SendRegisters { to: from.clone(), configuration, zones })
    }

    /// Returns who is told news: all neighbours but the one it came from.
    pub fn neighbours_except<'a>(
        &'a self,
        from: Option<&'a InstanceName>,
    ) -> impl Iterator<Item = &'a InstanceName> {
        self.neighbours.keys().filter(move |name| Some(*name) != from)
    }

    /// Takes candidates in their order until enough of them answer.
    fn choose(&mut self, now: Tick) {
        let mut chosen = BTreeMap::new();
        let mut answering = 0;
        for name in &self.candidates {
            if answering >= MAX_NEIGHBOURS {
                break;
            }
            let peer = self.neighbours.remove(name).unwrap_or_default();
            let is_silent =
                peer.unanswered_since.is_some_and(|since| now.since(since) >= SILENT_AFTER);
            answering += usize::from(!is_silent);
            chosen.insert(name.clone(), peer);
        }
        self.neighbours = chosen;
    }
}

/// Returns the other live gateways in the order in which `own` takes them as neighbours.
///
/// The two next to it in a ring come first, which keeps the graph connected; the others follow
/// by rendezvous, which keeps it shallow.
#[must_use]
pub fn ranked_neighbours(own: &InstanceName, live: &[InstanceName]) -> Vec<InstanceName> {
    let own = own.as_str();
    let mut others: Vec<&str> =
        live.iter().map(InstanceName::as_str).filter(|name| *name != own).collect();
    if others.is_empty() {
        return Vec::new();
    }
    let place = |name: &str| (rendezvous::weight("ring", name), name.to_string());
    others.sort_by_cached_key(|name| place(name));
    let next = others.partition_point(|name| place(name) < place(own));
    let after = others[next % others.len()];
    let before = others[(next + others.len() - 1) % others.len()];
    let mut ranked = vec![after];
    if before != after {
        ranked.push(before);
    }
    others.retain(|name| *name != after && *name != before);
    ranked.extend(rendezvous::ranked(own, others.iter().copied(), others.len()));
    ranked.into_iter().map(InstanceName::new).collect()
}
