//! Simulation of gateways, their messages, a store and backend servers with one clock.

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::time::Duration;

use ibiscroft_core::Tick;
use ibiscroft_core::config::ColdLimits;
use ibiscroft_core::permits::{Controller, PermitId};
use ibiscroft_core::roster::{InstanceRun, Roster};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use super::backend::{Backend, Counters, SendBasis};
use super::node::{Event, Node};
use super::rules::{
    BrokenRule, CLOCK_STEP, GATEWAYS, MAX_CLOSE_DELAY, RUN_LIMIT, TARGETS, gateway_name,
    permit_limits, roster_timings, target_name,
};
use super::step::{PausePoint, Step};
use super::store::{Call, Store};

/// A message in transit, with its receiver.
pub(super) enum InTransit {
    Gateway {
        gateway: usize,
        incarnation: u32,
        event: Event,
    },
    Store {
        gateway: usize,
        incarnation: u32,
        call: Call,
        sent_at: Tick,
    },
    Backend {
        gateway: usize,
        incarnation: u32,
        request: u64,
        basis: SendBasis,
        run: u32,
        target: usize,
    },
}

/// The simulation.
pub(crate) struct World {
    pub(crate) now: Tick,
    pub(super) broken: BrokenRule,
    pub(super) rng: SmallRng,
    pub(super) nodes: Vec<Node>,
    pub(crate) backends: Vec<Backend>,
    pub(super) store: Store,
    /// Messages in transit by time of arrival and sequence number.
    pub(super) in_transit: BTreeMap<(Tick, u64), InTransit>,
    pub(super) sequence: u64,
    /// Chance that a gateway starts a request to a target in a clock step.
    pub(super) load_permille: u32,
    /// Chance that a message between gateways is lost.
    pub(super) lose_permille: u32,
    pub(super) peer_delay: Duration,
    /// First violation of an invariant.
    pub(crate) violation: Option<String>,
}

impl World {
    pub(crate) fn new(seed: u64, broken: BrokenRule) -> Self {
        let backends = [(1, true), (2, true), (1, false)];
        let mut world = Self {
            now: Tick::from_millis(1),
            broken,
            rng: SmallRng::seed_from_u64(seed),
            nodes: Vec::new(),
            backends: backends
                .map(|(concurrency_limit, reports_state)| {
                    Backend::new(concurrency_limit, reports_state)
                })
                .into(),
            store: Store::default(),
            in_transit: BTreeMap::new(),
            sequence: 0,
            load_permille: 0,
            lose_permille: 0,
            peer_delay: Duration::ZERO,
            violation: None,
        };
        for gateway in 0..GATEWAYS {
            let node = world.node(gateway, 0);
            world.nodes.push(node);
        }
        world
    }

    /// Starts a gateway process.
    fn node(&mut self, gateway: usize, incarnation: u32) -> Node {
        let run = InstanceRun::new(format!("{gateway}-{incarnation}"));
        let roster = Roster::new(gateway_name(gateway), run, roster_timings(self.broken));
        let first_id = PermitId(self.rng.random());
        let mut controller = Controller::new(roster, permit_limits(self.broken), first_id);
        let mut targets = Vec::new();
        for (index, backend) in self.backends.iter().enumerate() {
            let concurrency = u32::try_from(backend.concurrency_limit)
                .expect("the concurrency limit fits in u32");
            let cold = ColdLimits { concurrency, warm_up: Duration::from_millis(2_000) };
            targets.push((target_name(index), cold));
        }
        controller.set_targets(&targets, self.now);
        Node {
            controller,
            incarnation,
            is_alive: true,
            is_paused: false,
            pause_at: None,
            is_cut: false,
            taken_event: None,
            inbox: VecDeque::new(),
            waiting: BTreeMap::new(),
            checked_requests: Vec::new(),
            sent_requests: HashMap::new(),
            liveness_connections: [None; TARGETS],
            notified_cold_at: [Tick::ZERO; TARGETS],
            next_watch: self.now,
            next_register: self.now,
        }
    }

    pub(crate) fn counters(&self) -> Vec<Counters> {
        self.backends.iter().map(|backend| backend.counters.clone()).collect()
    }

    /// Returns whether every gateway has a certificate for every target.
    pub(crate) fn all_warm(&self) -> bool {
        self.nodes.iter().all(|node| {
            let certificates = node.controller.certificates();
            (0..TARGETS).all(|target| certificates.warm_run(&target_name(target)).is_some())
        })
    }

    pub(crate) fn apply(&mut self, step: &Step) {
        match *step {
            Step::Advance { ms } => self.advance(Duration::from_millis(ms)),
            Step::Load { permille } => self.load_permille = permille,
            Step::Pause { gateway, at: PausePoint::Now } => self.nodes[gateway].is_paused = true,
            Step::Pause { gateway, at } => self.nodes[gateway].pause_at = Some(at),
            Step::Resume { gateway } => self.resume(gateway),
            Step::Kill { gateway } => self.nodes[gateway].is_alive = false,
            Step::Start { gateway } => self.start(gateway),
            Step::Store { down, delay_ms, lose_answers } => {
                self.store.is_down = down;
                self.store.delay = Duration::from_millis(delay_ms);
                self.store.responses_to_lose = lose_answers;
            }
            Step::Cut { gateway, cut } => self.nodes[gateway].is_cut = cut,
            Step::Restart { target } => self.restart(target),
            Step::FallCold { target } => {
                if self.backends[target].reports_state {
                    self.backends[target].fall_cold(self.now);
                }
            }
            Step::Peers { lose_permille, delay_ms } => {
                self.lose_permille = lose_permille;
                self.peer_delay = Duration::from_millis(delay_ms);
            }
        }
    }

    /// Ends all faults and continues the simulation under load for `duration`.
    pub(crate) fn recover(&mut self, duration: Duration) {
        self.apply(&Step::Store { down: false, delay_ms: 0, lose_answers: 0 });
        self.apply(&Step::Peers { lose_permille: 0, delay_ms: 0 });
        self.apply(&Step::Load { permille: 300 });
        for gateway in 0..GATEWAYS {
            self.apply(&Step::Cut { gateway, cut: false });
            self.apply(&Step::Resume { gateway });
            self.apply(&Step::Start { gateway });
        }
        self.advance(duration);
    }

    fn resume(&mut self, gateway: usize) {
        let node = &mut self.nodes[gateway];
        node.pause_at = None;
        if !std::mem::take(&mut node.is_paused) {
            return;
        }
        let taken_event = node.taken_event.take();
        for request in std::mem::take(&mut node.checked_requests) {
            self.write_request(gateway, request);
        }
        if let Some((event, at)) = taken_event {
            self.handle(gateway, event, at);
        }
    }

    fn start(&mut self, gateway: usize) {
        if self.nodes[gateway].is_alive {
            return;
        }
        let incarnation = self.nodes[gateway].incarnation + 1;
        self.nodes[gateway] = self.node(gateway, incarnation);
    }

    fn restart(&mut self, target: usize) {
        let ended = self.backends[target].run;
        self.backends[target].restart(self.now);
        for gateway in 0..GATEWAYS {
            if self.nodes[gateway].liveness_connections[target] != Some(ended) {
                continue;
            }
            let delay = self.rng.random_range(Duration::ZERO..MAX_CLOSE_DELAY);
            self.schedule_event(gateway, Event::LivenessClosed { target }, delay);
        }
    }

    fn advance(&mut self, duration: Duration) {
        let until = self.now + duration;
        while self.now < until && self.violation.is_none() {
            self.now = self.now + CLOCK_STEP;
            self.store.tick(self.now);
            for backend in &mut self.backends {
                backend.tick(self.now);
            }
            self.deliver();
            for gateway in 0..GATEWAYS {
                self.run_gateway(gateway);
            }
        }
    }

    pub(super) fn schedule(&mut self, in_transit: InTransit, delay: Duration) {
        self.sequence += 1;
        self.in_transit.insert((self.now + delay, self.sequence), in_transit);
    }

    pub(super) fn schedule_event(&mut self, gateway: usize, event: Event, delay: Duration) {
        let incarnation = self.nodes[gateway].incarnation;
        self.schedule(InTransit::Gateway { gateway, incarnation, event }, delay);
    }

    fn deliver(&mut self) {
        while let Some(entry) = self.in_transit.first_entry() {
            if entry.key().0 > self.now {
                break;
            }
            match entry.remove() {
                InTransit::Gateway { gateway, incarnation, event } => {
                    let node = &mut self.nodes[gateway];
                    if node.incarnation == incarnation && node.is_alive {
                        node.inbox.push_back(event);
                    }
                }
                InTransit::Store { gateway, incarnation, call, sent_at } => {
                    self.handle_store_call(gateway, incarnation, call, sent_at);
                }
                InTransit::Backend { gateway, incarnation, request, basis, run, target } => {
                    self.deliver_to_backend(gateway, incarnation, request, basis, run, target);
                }
            }
        }
    }

    fn handle_store_call(&mut self, gateway: usize, incarnation: u32, call: Call, sent_at: Tick) {
        let ttl = roster_timings(BrokenRule::None).lease_ttl;
        let response = self.store.handle(&gateway_name(gateway), call, sent_at, ttl, self.now);
        let Some(response) = response.filter(|_| !self.nodes[gateway].is_cut) else {
            return;
        };
        let event = Event::Store(response, sent_at);
        let delay = CLOCK_STEP + self.store.delay;
        self.schedule(InTransit::Gateway { gateway, incarnation, event }, delay);
    }

    fn deliver_to_backend(
        &mut self,
        gateway: usize,
        incarnation: u32,
        request: u64,
        basis: SendBasis,
        run: u32,
        target: usize,
    ) {
        // A stuck request runs as long as allowed and gets no response.
        let is_stuck = self.rng.random_ratio(1, 6);
        let work = Duration::from_millis(self.rng.random_range(10..150));
        let backend = &mut self.backends[target];
        if backend.run != run {
            return;
        }
        let runs_for = if is_stuck { RUN_LIMIT } else { work };
        if let Err(violation) = backend.receive(basis, self.now + runs_for, self.now) {
            self.violation = Some(violation);
        }
        if is_stuck {
            return;
        }
        let (run, state) = (backend.run_id(), backend.reported());
        let event = Event::Response { request, run, state };
        self.schedule(InTransit::Gateway { gateway, incarnation, event }, work + CLOCK_STEP);
    }
}
