//! Behaviour of the simulated gateways in one clock step.

use std::time::Duration;

use ibiscroft_core::Tick;
use ibiscroft_core::ids::{InstanceName, StoreVersion};
use ibiscroft_core::permits::{Action, Envelope, Permit, PermitMessage};
use ibiscroft_core::roster::{LeaseAction, Member};
use rand::Rng;

use super::backend::SendBasis;
use super::node::{CheckedRequest, Event, Node, SentRequest};
use super::rules::{
    BrokenRule, CLOCK_STEP, GATEWAYS, MAX_CLOSE_DELAY, PERMIT_WAIT, STORE_TIMEOUT, TARGETS,
    WATCH_INTERVAL, gateway_name, permit_limits, target_name,
};
use super::step::PausePoint;
use super::store::Call;
use super::world::{InTransit, World};

impl World {
    /// Handles the events of a gateway, then its store calls, connections, timers and requests.
    pub(super) fn run_gateway(&mut self, gateway: usize) {
        if !self.nodes[gateway].is_alive || self.nodes[gateway].is_paused {
            return;
        }
        while let Some(event) = self.nodes[gateway].inbox.pop_front() {
            let node = &mut self.nodes[gateway];
            if node.pause_at == Some(PausePoint::Event) {
                node.pause_at = None;
                node.is_paused = true;
                node.taken_event = Some((event, self.now));
                return;
            }
            self.handle(gateway, event, self.now);
            if self.nodes[gateway].is_paused {
                return;
            }
        }
        if self.keeps_view_without_store(gateway) {
            self.nodes[gateway].confirm_without_store(self.now);
        }
        self.send_store_calls(gateway);
        self.open_liveness_connections(gateway);
        let actions = self.nodes[gateway].controller.tick(self.now);
        self.run_actions(gateway, actions, self.now);
        for target in 0..TARGETS {
            if !self.nodes[gateway].is_paused && self.rng.random_ratio(self.load_permille, 1_000) {
                self.start_request(gateway, target);
            }
        }
    }

    /// Returns whether a gateway that cannot reach the store keeps using its last view, which only
    /// broken rules permit.
    fn keeps_view_without_store(&self, gateway: usize) -> bool {
        let is_stale =
            |node: &Node| !node.controller.roster().view().is_valid(self.now, STORE_TIMEOUT);
        let node = &self.nodes[gateway];
        match self.broken {
            BrokenRule::KeepViewAlone => is_stale(node),
            BrokenRule::KeepViewTogether => {
                let members = node.controller.roster().view().members();
                let mut others = (0..GATEWAYS).filter(|other| *other != gateway);
                let names: Vec<&InstanceName> = members.map(|(member, _)| member).collect();
                is_stale(node)
                    && others.all(|other| {
                        let node = &self.nodes[other];
                        let keeps_view = node.is_alive && !node.is_paused && is_stale(node);
                        !names.contains(&&gateway_name(other)) || keeps_view
                    })
            }
            _ => false,
        }
    }

    /// Sends the store calls that are due: lease, registration and watch.
    fn send_store_calls(&mut self, gateway: usize) {
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
            let delay = CLOCK_STEP + self.store.delay;
            self.schedule(InTransit::Store { gateway, incarnation, call, sent_at: now }, delay);
        }
    }

    fn open_liveness_connections(&mut self, gateway: usize) {
        for target in 0..TARGETS {
            let node = &mut self.nodes[gateway];
            if node.liveness_connections[target].is_some() {
                continue;
            }
            node.liveness_connections[target] = Some(self.backends[target].run);
            node.controller.on_liveness_connection_opened(&target_name(target), self.now);
        }
    }

    /// Starts a request to a target: under its certificate, or by requesting a permit.
    fn start_request(&mut self, gateway: usize, target: usize) {
        let name = target_name(target);
        let node = &mut self.nodes[gateway];
        if node.controller.certificates().warm_run(&name).is_some() {
            self.check_and_send(gateway, target, None, self.now);
            return;
        }
        if node.waiting.values().any(|waiting| *waiting == target) {
            return;
        }
        let Some((id, actions)) = node.controller.request_permit(&name, PERMIT_WAIT, self.now)
        else {
            return;
        };
        node.waiting.insert(id, target);
        self.run_actions(gateway, actions, self.now);
    }

    pub(super) fn handle(&mut self, gateway: usize, event: Event, now: Tick) {
        let node = &mut self.nodes[gateway];
        let actions = match event {
            Event::Peer(from, message) => {
                let mut message = message;
                match &mut message {
                    PermitMessage::Cold { target, .. } => node.note_cold(target, self.now),
                    PermitMessage::Grant { valid_for, .. }
                        if self.broken == BrokenRule::PermitValidity =>
                    {
                        *valid_for = Duration::from_secs(60);
                    }
                    _ => {}
                }
                node.controller.on_message(&from, message, now)
            }
            Event::Store(response, sent_at) => {
                node.on_store_response(response, sent_at, now);
                Vec::new()
            }
            Event::Response { request, run, state } => {
                let Some(request) = node.sent_requests.remove(&request) else {
                    return;
                };
                node.on_response(&request, run, state, now)
            }
            Event::LivenessClosed { target } => {
                if self.broken != BrokenRule::LivenessConnection {
                    node.liveness_connections[target] = None;
                    node.controller.on_liveness_connection_closed(&target_name(target), now);
                }
                Vec::new()
            }
        };
        self.run_actions(gateway, actions, now);
    }

    fn run_actions(&mut self, gateway: usize, actions: Vec<Action>, now: Tick) {
        for action in actions {
            match action {
                Action::Send(Envelope { to, message }) => self.send_to_peer(gateway, &to, message),
                Action::Broadcast(message) => {
                    for other in 0..GATEWAYS {
                        if other != gateway {
                            self.send_to_peer(gateway, &gateway_name(other), message.clone());
                        }
                    }
                }
                Action::Granted(permit) => {
                    let node = &mut self.nodes[gateway];
                    let Some(target) = node.waiting.remove(&permit.id) else {
                        panic!("granted permit that no request waits for");
                    };
                    self.check_and_send(gateway, target, Some(permit), now);
                }
                Action::Refused(id) => {
                    self.nodes[gateway].waiting.remove(&id);
                }
            }
        }
    }

    fn send_to_peer(&mut self, gateway: usize, to: &InstanceName, message: PermitMessage) {
        if self.rng.random_ratio(self.lose_permille, 1_000) {
            return;
        }
        let Some(other) = (0..GATEWAYS).find(|other| gateway_name(*other) == *to) else {
            return;
        };
        let max_delay = CLOCK_STEP + self.peer_delay;
        let delay = self.rng.random_range(CLOCK_STEP..=max_delay);
        self.schedule_event(other, Event::Peer(gateway_name(gateway), message), delay);
    }

    /// Connects, checks that the request may be sent, and writes it unless the gateway is paused
    /// in between.
    fn check_and_send(&mut self, gateway: usize, target: usize, permit: Option<Permit>, now: Tick) {
        let is_closed = self.is_close_pending(gateway, target);
        let run = self.backends[target].run;
        let node = &mut self.nodes[gateway];
        let is_allowed = match &permit {
            Some(permit) => permit.may_send(now),
            None => !is_closed || self.broken == BrokenRule::LivenessConnection,
        };
        if !is_allowed {
            return;
        }
        let checked = CheckedRequest { target, run, permit, checked_at: now };
        if node.pause_at == Some(PausePoint::Send) {
            node.pause_at = None;
            node.is_paused = true;
        }
        if node.is_paused {
            node.checked_requests.push(checked);
            return;
        }
        self.write_request(gateway, checked);
    }

    /// Returns whether the kernel of a gateway knows that its liveness connection was closed.
    fn is_close_pending(&self, gateway: usize, target: usize) -> bool {
        self.nodes[gateway].inbox.iter().any(
            |event| matches!(event, Event::LivenessClosed { target: closed } if *closed == target),
        )
    }

    /// Writes a checked request to its connection.
    ///
    /// A violation is a request under a certificate that the gateway should have revoked: it was
    /// notified that the target is cold, or the end of the target's run must have reached it.
    pub(super) fn write_request(&mut self, gateway: usize, checked: CheckedRequest) {
        let CheckedRequest { target, run, permit, checked_at } = checked;
        let backend = &self.backends[target];
        let node = &mut self.nodes[gateway];
        let was_paused = checked_at < self.now;
        let basis = match &permit {
            Some(permit) if permit.may_send(self.now) => SendBasis::Permit,
            Some(_) if was_paused => SendBasis::ExpiredPermit,
            Some(_) => SendBasis::Permit,
            None => SendBasis::Certificate,
        };
        let is_cold_target =
            backend.is_cold && run == backend.run && basis == SendBasis::Certificate;
        if is_cold_target && !was_paused {
            let noticed = node.notified_cold_at[target] > backend.cold_since;
            let overdue = backend.was_restarted && self.now > backend.cold_since + MAX_CLOSE_DELAY;
            if noticed || overdue {
                self.violation = Some(format!(
                    "gateway {gateway} sent a request to cold target {target} without a permit"
                ));
            }
        }
        self.sequence += 1;
        let request = self.sequence;
        node.sent_requests.insert(request, SentRequest { target, sent_at: checked_at, permit });
        let incarnation = node.incarnation;
        let delay =
            self.rng.random_range(CLOCK_STEP..=permit_limits(BrokenRule::None).transit_limit);
        let message = InTransit::Backend { gateway, incarnation, request, basis, run, target };
        self.schedule(message, delay);
    }
}
