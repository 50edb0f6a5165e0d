//! Gateways, peers, a fake store and model backend servers under one clock.

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::time::Duration;

use ibiscroft_core::Tick;
use ibiscroft_core::config::ColdLimits;
use ibiscroft_core::permits::{Controller, PermitId};
use ibiscroft_core::roster::{InstanceRun, Roster};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use super::backend::{Backend, Counters, Way};
use super::node::{Event, Node};
use super::rules::{
    Broken, CLOSE_DELAY, GATEWAYS, RUN_LIMIT, STEP, TARGETS, limits, name, target_name, times,
};
use super::step::{FreezePoint, Step};
use super::store::{Call, Store};

pub(super) enum Travelling {
    Gateway { gateway: usize, incarnation: u32, event: Event },
    Store { gateway: usize, incarnation: u32, call: Call, sent_at: Tick },
    Backend { gateway: usize, incarnation: u32, flight: u64, way: Way, run: u32, target: usize },
}

pub(crate) struct World {
    pub(crate) now: Tick,
    pub(super) broken: Broken,
    pub(super) rng: SmallRng,
    pub(super) nodes: Vec<Node>,
    pub(crate) backends: Vec<Backend>,
    pub(super) store: Store,
    pub(super) travelling: BTreeMap<(Tick, u64), Travelling>,
    pub(super) sequence: u64,
    pub(super) load: u32,
    pub(super) lose_permille: u32,
    pub(super) peer_delay: Duration,
    pub(crate) violation: Option<String>,
}

impl World {
    pub(crate) fn new(seed: u64, broken: Broken) -> Self {
        let backends = [(1, true), (2, true), (1, false)];
        let mut world = Self {
            now: Tick::from_millis(1),
            broken,
            rng: SmallRng::seed_from_u64(seed),
            nodes: Vec::new(),
            backends: backends.map(|(bears, states)| Backend::new(bears, states)).into(),
            store: Store::default(),
            travelling: BTreeMap::new(),
            sequence: 0,
            load: 0,
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

    fn node(&mut self, gateway: usize, incarnation: u32) -> Node {
        let run = InstanceRun::new(format!("{gateway}-{incarnation}"));
        let roster = Roster::new(name(gateway), run, times(self.broken));
        let first_id = PermitId(self.rng.random());
        let mut controller = Controller::new(roster, limits(self.broken), first_id);
        let mut targets = Vec::new();
        for (index, backend) in self.backends.iter().enumerate() {
            let concurrency = u32::try_from(backend.bears).expect("a small number");
            let cold = ColdLimits { concurrency, warm_up: Duration::from_millis(2_000) };
            targets.push((target_name(index), cold));
        }
        controller.set_targets(&targets, self.now);
        Node {
            controller,
            incarnation,
            is_alive: true,
            is_frozen: false,
            freeze_at: None,
            is_cut: false,
            taken: None,
            inbox: VecDeque::new(),
            waiting: BTreeMap::new(),
            prepared: Vec::new(),
            flights: HashMap::new(),
            tripwires: [None; TARGETS],
            told_cold: [Tick::ZERO; TARGETS],
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
            Step::Load { permille } => self.load = permille,
            Step::Freeze { gateway, at: FreezePoint::Now } => self.nodes[gateway].is_frozen = true,
            Step::Freeze { gateway, at } => self.nodes[gateway].freeze_at = Some(at),
            Step::Thaw { gateway } => self.thaw(gateway),
            Step::Kill { gateway } => self.nodes[gateway].is_alive = false,
            Step::Start { gateway } => self.start(gateway),
            Step::Store { down, delay_ms, lose_answers } => {
                self.store.is_down = down;
                self.store.delay = Duration::from_millis(delay_ms);
                self.store.lose_answers = lose_answers;
            }
            Step::Cut { gateway, cut } => self.nodes[gateway].is_cut = cut,
            Step::Restart { target } => self.restart(target),
            Step::FallCold { target } => {
                if self.backends[target].states {
                    self.backends[target].fall_cold(self.now);
                }
            }
            Step::Peers { lose_permille, delay_ms } => {
                self.lose_permille = lose_permille;
                self.peer_delay = Duration::from_millis(delay_ms);
            }
        }
    }

    /// Ends all faults and lets calls go on for `span`.
    pub(crate) fn heal(&mut self, span: Duration) {
        self.apply(&Step::Store { down: false, delay_ms: 0, lose_answers: 0 });
        self.apply(&Step::Peers { lose_permille: 0, delay_ms: 0 });
        self.apply(&Step::Load { permille: 300 });
        for gateway in 0..GATEWAYS {
            self.apply(&Step::Cut { gateway, cut: false });
            self.apply(&Step::Thaw { gateway });
            self.apply(&Step::Start { gateway });
        }
        self.advance(span);
    }

    fn thaw(&mut self, gateway: usize) {
        let node = &mut self.nodes[gateway];
        node.freeze_at = None;
        if !std::mem::take(&mut node.is_frozen) {
            return;
        }
        let taken = node.taken.take();
        for prepared in std::mem::take(&mut node.prepared) {
            self.write(gateway, prepared);
        }
        if let Some((event, at)) = taken {
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
            if self.nodes[gateway].tripwires[target] != Some(ended) {
                continue;
            }
            let delay = self.rng.random_range(Duration::ZERO..CLOSE_DELAY);
            self.post_event(gateway, Event::TripwireClosed { target }, delay);
        }
    }

    fn advance(&mut self, span: Duration) {
        let until = self.now + span;
        while self.now < until && self.violation.is_none() {
            self.now = self.now + STEP;
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

    pub(super) fn post(&mut self, travelling: Travelling, delay: Duration) {
        self.sequence += 1;
        self.travelling.insert((self.now + delay, self.sequence), travelling);
    }

    pub(super) fn post_event(&mut self, gateway: usize, event: Event, delay: Duration) {
        let incarnation = self.nodes[gateway].incarnation;
        self.post(Travelling::Gateway { gateway, incarnation, event }, delay);
    }

    fn deliver(&mut self) {
        while let Some(entry) = self.travelling.first_entry() {
            if entry.key().0 > self.now {
                break;
            }
            match entry.remove() {
                Travelling::Gateway { gateway, incarnation, event } => {
                    let node = &mut self.nodes[gateway];
                    if node.incarnation == incarnation && node.is_alive {
                        node.inbox.push_back(event);
                    }
                }
                Travelling::Store { gateway, incarnation, call, sent_at } => {
                    self.call_store(gateway, incarnation, call, sent_at);
                }
                Travelling::Backend { gateway, incarnation, flight, way, run, target } => {
                    self.reach_backend(gateway, incarnation, flight, way, run, target);
                }
            }
        }
    }

    fn call_store(&mut self, gateway: usize, incarnation: u32, call: Call, sent_at: Tick) {
        let ttl = times(Broken::Nothing).lease_ttl;
        let answer = self.store.handle(&name(gateway), call, sent_at, ttl, self.now);
        let Some(answer) = answer.filter(|_| !self.nodes[gateway].is_cut) else {
            return;
        };
        let event = Event::Store(answer, sent_at);
        let delay = STEP + self.store.delay;
        self.post(Travelling::Gateway { gateway, incarnation, event }, delay);
    }

    fn reach_backend(
        &mut self,
        gateway: usize,
        incarnation: u32,
        flight: u64,
        way: Way,
        run: u32,
        target: usize,
    ) {
        let stuck = self.rng.random_ratio(1, 6);
        let work = Duration::from_millis(self.rng.random_range(10..150));
        let backend = &mut self.backends[target];
        if backend.run != run {
            return;
        }
        let runs_for = if stuck { RUN_LIMIT } else { work };
        if let Err(violation) = backend.receive(way, self.now + runs_for, self.now) {
            self.violation = Some(violation);
        }
        if stuck {
            return;
        }
        let (run, state) = (backend.run_id(), backend.reported());
        let event = Event::Answer { flight, run, state };
        self.post(Travelling::Gateway { gateway, incarnation, event }, work + STEP);
    }
}
