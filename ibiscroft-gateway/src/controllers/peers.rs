//! Connections to the other gateways of the roster.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::sync::Arc;

use ibiscroft_core::ids::InstanceName;
use ibiscroft_wire::codec;
use ibiscroft_wire::generated::peer::PeerMessage;
use serde_json::{Value, json};
use tokio::sync::mpsc;

use crate::control::ControlEvent;
use crate::events::event;
use crate::peer_link::{self, Link};
use crate::shared::Shared;

/// An event of a connection to another gateway.
#[derive(Debug)]
pub(crate) enum PeerEvent {
    /// A connection was established.
    Up {
        /// The other gateway.
        instance: InstanceName,
        /// Sends messages to it.
        link: Link,
    },
    /// A connection ended.
    Down {
        /// The other gateway.
        instance: InstanceName,
        /// Identifier of the connection.
        id: u64,
    },
    /// A message arrived.
    Message {
        /// The sender.
        instance: InstanceName,
        /// The message.
        message: PeerMessage,
    },
}

/// Connections to all live gateways.
#[derive(Debug)]
pub(crate) struct Peers {
    shared: Arc<Shared>,
    own_name: InstanceName,
    events: mpsc::UnboundedSender<ControlEvent>,
    links: HashMap<InstanceName, Link>,
    dialers: HashMap<InstanceName, (SocketAddr, tokio::task::JoinHandle<()>)>,
    seed_dialers: Vec<tokio::task::JoinHandle<()>>,
}

impl Peers {
    /// Creates the state of a gateway without connections.
    pub(crate) fn new(
        shared: Arc<Shared>,
        own_name: InstanceName,
        events: mpsc::UnboundedSender<ControlEvent>,
    ) -> Self {
        Self {
            shared,
            own_name,
            events,
            links: HashMap::new(),
            dialers: HashMap::new(),
            seed_dialers: Vec::new(),
        }
    }

    /// Connects to the gateways at the addresses `seeds`, until the roster is known.
    pub(crate) fn dial_seeds(&mut self, seeds: &[SocketAddr]) {
        for address in seeds {
            let dial = peer_link::dial(
                InstanceName::new(address.to_string()),
                *address,
                Arc::clone(&self.shared),
                self.events.clone(),
            );
            self.seed_dialers.push(tokio::task::spawn_local(dial));
        }
    }

    /// Returns the names of the connected gateways.
    pub(crate) fn connected(&self) -> Vec<InstanceName> {
        self.links.keys().cloned().collect()
    }

    /// Connects to the members with a greater name than this gateway; the others connect to it.
    ///
    /// Stops connecting to seeds once there are members.
    pub(crate) fn set_roster(&mut self, members: BTreeMap<InstanceName, SocketAddr>) {
        if !members.is_empty() {
            for dialer in self.seed_dialers.drain(..) {
                dialer.abort();
            }
        }
        let own_name = &self.own_name;
        self.dialers.retain(|name, (address, task)| {
            let is_member = members.get(name) == Some(address);
            if !is_member {
                task.abort();
            }
            is_member
        });
        for (name, address) in members {
            if name <= *own_name || self.dialers.contains_key(&name) {
                continue;
            }
            let dial = peer_link::dial(
                name.clone(),
                address,
                Arc::clone(&self.shared),
                self.events.clone(),
            );
            self.dialers.insert(name, (address, tokio::task::spawn_local(dial)));
        }
    }

    /// Handles an established connection.
    pub(crate) fn on_up(&mut self, instance: InstanceName, link: Link) {
        event!(PeerUp, "instance {instance}");
        self.links.insert(instance, link);
    }

    /// Handles the end of a connection; ignores it if a newer connection has replaced that one.
    pub(crate) fn on_down(&mut self, instance: &InstanceName, id: u64) {
        if self.links.get(instance).is_none_or(|link| link.id() != id) {
            return;
        }
        event!(PeerDown, "instance {instance}");
        self.links.remove(instance);
    }

    /// Sends a message to one gateway; drops it if there is no connection.
    pub(crate) fn send(&mut self, to: &InstanceName, message: &PeerMessage) {
        let Some(link) = self.links.get(to) else {
            return;
        };
        if let Ok(frame) = codec::to_cbor(message) {
            link.send(frame.into());
        }
    }

    /// Sends a message to all connected gateways.
    pub(crate) fn broadcast(&mut self, message: &PeerMessage) {
        let Ok(frame) = codec::to_cbor(message) else {
            return;
        };
        let frame = bytes::Bytes::from(frame);
        for link in self.links.values() {
            link.send(frame.clone());
        }
    }

    /// Returns the sorted names of the connected gateways, for the dump.
    pub(crate) fn dump(&self) -> Value {
        let mut names: Vec<&InstanceName> = self.links.keys().collect();
        names.sort();
        json!(names)
    }
}
