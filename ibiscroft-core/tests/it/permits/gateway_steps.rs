//! What the gateways of the model do in one step of its clock.

use std::time::Duration;

use ibiscroft_core::Tick;
use ibiscroft_core::ids::{InstanceName, StoreVersion};
use ibiscroft_core::permits::{Action, Envelope, Permit, PermitMessage};
use ibiscroft_core::roster::{LeaseAction, Member};
use rand::Rng;

use super::backend::Way;
use super::node::{Event, Flight, Node, Prepared};
use super::rules::{
    Broken, CLOSE_DELAY, CUT_OFF, GATEWAYS, STEP, TARGETS, WAIT, WATCH_INTERVAL, limits, name,
    target_name,
};
use super::step::FreezePoint;
use super::store::Call;
use super::world::{Travelling, World};

impl World {
    pub(super) fn run_gateway(&mut self, gateway: usize) {
        if !self.nodes[gateway].is_alive || self.nodes[gateway].is_frozen {
            return;
        }
        while let Some(event) = self.nodes[gateway].inbox.pop_front() {
            let node = &mut self.nodes[gateway];
            if node.freeze_at == Some(FreezePoint::Event) {
                node.freeze_at = None;
                node.is_frozen = true;
                node.taken = Some((event, self.now));
                return;
            }
            self.handle(gateway, event, self.now);
            if self.nodes[gateway].is_frozen {
                return;
            }
        }
        if self.goes_on(gateway) {
            self.nodes[gateway].pretend_confirmed(self.now);
        }
        self.call_due(gateway);
        self.open_tripwires(gateway);
        let actions = self.nodes[gateway].controller.tick(self.now);
        self.act(gateway, actions, self.now);
        for target in 0..TARGETS {
            if !self.nodes[gateway].is_frozen && self.rng.random_ratio(self.load, 1_000) {
                self.call(gateway, target);
            }
        }
    }

    /// Returns whether a gateway without the store takes its last view for good.
    fn goes_on(&self, gateway: usize) -> bool {
        let is_stale = |node: &Node| !node.controller.roster().view().is_valid(self.now, CUT_OFF);
        let node = &self.nodes[gateway];
        match self.broken {
            Broken::GoOnAlone => is_stale(node),
            Broken::GoOnTogether => {
                let members = node.controller.roster().view().members();
                let mut others = (0..GATEWAYS).filter(|other| *other != gateway);
                let names: Vec<&InstanceName> = members.map(|(member, _)| member).collect();
                is_stale(node)
                    && others.all(|other| {
                        let node = &self.nodes[other];
                        let promises = node.is_alive && !node.is_frozen && is_stale(node);
                        !names.contains(&&name(other)) || promises
                    })
            }
            _ => false,
        }
    }

    fn call_due(&mut self, gateway: usize) {
        let now = self.now;
        let node = &mut self.nodes[gateway];
        let roster = node.controller.roster_mut();
        let mut calls = Vec::new();
        match roster.lease_mut().poll(now) {
            Some(LeaseAction::Create) => calls.push(Call::Create),
            Some(LeaseAction::Renew(lease)) => calls.push(Call::Renew(lease)),
            None => {}
        }
        let is_registered = roster.view().is_registered(roster.own_name(), roster.run());
        if let Some(lease) = roster.lease().id()
            && !is_registered
            && node.next_register <= now
        {
            node.next_register = now + WATCH_INTERVAL;
            let address = std::net::SocketAddr::from(([127, 0, 0, 1], 1));
            let member = Member { run: roster.run().clone(), address, version: StoreVersion(0) };
            calls.push(Call::Register(lease, member));
        }
        if node.next_watch <= now {
            node.next_watch = now + WATCH_INTERVAL;
            calls.push(Call::Watch(roster.view().revision()));
        }
        let incarnation = node.incarnation;
        if node.is_cut {
            return;
        }
        for call in calls {
            let delay = STEP + self.store.delay;
            self.post(Travelling::Store { gateway, incarnation, call, sent_at: now }, delay);
        }
    }

    fn open_tripwires(&mut self, gateway: usize) {
        for target in 0..TARGETS {
            let node = &mut self.nodes[gateway];
            if node.tripwires[target].is_some() {
                continue;
            }
            node.tripwires[target] = Some(self.backends[target].run);
            node.controller.on_liveness_connection_opened(&target_name(target), self.now);
        }
    }

    fn call(&mut self, gateway: usize, target: usize) {
        let name = target_name(target);
        let node = &mut self.nodes[gateway];
        if node.controller.certificates().warm_run(&name).is_some() {
            self.check(gateway, target, None, self.now);
            return;
        }
        if node.waiting.values().any(|waiting| *waiting == target) {
            return;
        }
        let Some((id, actions)) = node.controller.request_permit(&name, WAIT, self.now) else {
            return;
        };
        node.waiting.insert(id, target);
        self.act(gateway, actions, self.now);
    }

    pub(super) fn handle(&mut self, gateway: usize, event: Event, now: Tick) {
        let node = &mut self.nodes[gateway];
        let actions = match event {
            Event::Peer(from, message) => {
                let mut message = message;
                match &mut message {
                    PermitMessage::Cold { target, .. } => node.hear_cold(target, self.now),
                    PermitMessage::Grant { valid_for, .. } if self.broken == Broken::Check => {
                        *valid_for = Duration::from_secs(60);
                    }
                    _ => {}
                }
                node.controller.on_message(&from, message, now)
            }
            Event::Store(answer, sent_at) => {
                node.store_answered(answer, sent_at, now);
                Vec::new()
            }
            Event::Answer { flight, run, state } => {
                let Some(flight) = node.flights.remove(&flight) else {
                    return;
                };
                node.answered(&flight, run, state, now)
            }
            Event::TripwireClosed { target } => {
                if self.broken != Broken::Tripwire {
                    node.tripwires[target] = None;
                    node.controller.on_liveness_connection_closed(&target_name(target), now);
                }
                Vec::new()
            }
        };
        self.act(gateway, actions, now);
    }

    fn act(&mut self, gateway: usize, actions: Vec<Action>, now: Tick) {
        for action in actions {
            match action {
                Action::Send(Envelope { to, message }) => self.send_peer(gateway, &to, message),
                Action::Broadcast(message) => {
                    for other in 0..GATEWAYS {
                        if other != gateway {
                            self.send_peer(gateway, &name(other), message.clone());
                        }
                    }
                }
                Action::Granted(permit) => {
                    let node = &mut self.nodes[gateway];
                    let Some(target) = node.waiting.remove(&permit.id) else {
                        panic!("a permit for nobody");
                    };
                    self.check(gateway, target, Some(permit), now);
                }
                Action::Refused(id) => {
                    self.nodes[gateway].waiting.remove(&id);
                }
            }
        }
    }

    fn send_peer(&mut self, gateway: usize, to: &InstanceName, message: PermitMessage) {
        if self.rng.random_ratio(self.lose_permille, 1_000) {
            return;
        }
        let Some(other) = (0..GATEWAYS).find(|other| name(*other) == *to) else {
            return;
        };
        let most = STEP + self.peer_delay;
        let delay = self.rng.random_range(STEP..=most);
        self.post_event(other, Event::Peer(name(gateway), message), delay);
    }

    /// Connects, checks that the request may be sent, and writes it unless frozen in between.
    fn check(&mut self, gateway: usize, target: usize, permit: Option<Permit>, now: Tick) {
        let is_closed = self.is_close_pending(gateway, target);
        let run = self.backends[target].run;
        let node = &mut self.nodes[gateway];
        let is_allowed = match &permit {
            Some(permit) => permit.may_send(now),
            None => !is_closed || self.broken == Broken::Tripwire,
        };
        if !is_allowed {
            return;
        }
        let prepared = Prepared { target, run, permit, checked_at: now };
        if node.freeze_at == Some(FreezePoint::Send) {
            node.freeze_at = None;
            node.is_frozen = true;
        }
        if node.is_frozen {
            node.prepared.push(prepared);
            return;
        }
        self.write(gateway, prepared);
    }

    /// Returns whether the kernel of a gateway knows that its tripwire was closed.
    fn is_close_pending(&self, gateway: usize, target: usize) -> bool {
        self.nodes[gateway].inbox.iter().any(
            |event| matches!(event, Event::TripwireClosed { target: closed } if *closed == target),
        )
    }

    pub(super) fn write(&mut self, gateway: usize, prepared: Prepared) {
        let Prepared { target, run, permit, checked_at } = prepared;
        let backend = &self.backends[target];
        let node = &mut self.nodes[gateway];
        let was_frozen = checked_at < self.now;
        let way = match &permit {
            Some(permit) if permit.may_send(self.now) => Way::Permit,
            Some(_) if was_frozen => Way::Late,
            Some(_) => Way::Permit,
            None => Way::Certificate,
        };
        let fell_cold = backend.is_cold && run == backend.run && way == Way::Certificate;
        if fell_cold && !was_frozen {
            let noticed = node.told_cold[target] > backend.cold_since;
            let overdue = backend.was_restarted && self.now > backend.cold_since + CLOSE_DELAY;
            if noticed || overdue {
                self.violation = Some(format!("{gateway} sent to cold {target} under no permit"));
            }
        }
        self.sequence += 1;
        let flight = self.sequence;
        node.flights.insert(flight, Flight { target, sent_at: checked_at, permit });
        let incarnation = node.incarnation;
        let delay = self.rng.random_range(STEP..=limits(Broken::Nothing).transit_limit);
        let reach = Travelling::Backend { gateway, incarnation, flight, way, run, target };
        self.post(reach, delay);
    }
}
