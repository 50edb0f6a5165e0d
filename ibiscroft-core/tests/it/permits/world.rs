//! Gateways, peers, a fake store and model backend servers under one clock.

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::time::Duration;

use ibiscroft_core::Tick;
use ibiscroft_core::config::ColdLimits;
use ibiscroft_core::ids::{InstanceName, RunId, StoreVersion, TargetName};
use ibiscroft_core::permits::{
    Action, Answer, Controller, Envelope, Outcome, Permit, PermitId, PermitLimits, PermitMessage,
    PermitProof, ReportedState,
};
use ibiscroft_core::roster::{InstanceRun, LeaseAction, Member, Observation, Roster, RosterTimes};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use super::backend::{Backend, Counters, Way};
use super::store::{self, Call, Store};

pub(crate) const GATEWAYS: usize = 4;
pub(crate) const TARGETS: usize = 3;
/// Resolution of the model's clock.
const STEP: Duration = Duration::from_millis(10);
/// Time between two watches of one gateway.
const WATCH_INTERVAL: Duration = Duration::from_millis(250);
/// Longest time between the end of a run and its notice by the kernel of a gateway.
const CLOSE_DELAY: Duration = Duration::from_millis(30);
/// Time after which an unconfirmed view is no longer used.
const VIEW_LIMIT: Duration = Duration::from_millis(1_000);
/// Time without an answer after which a gateway takes itself to be cut off from the store.
const CUT_OFF: Duration = Duration::from_millis(800);
/// Time a gateway waits for a permit.
const WAIT: Duration = Duration::from_millis(600);

/// A rule that a test breaks on purpose.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Broken {
    Nothing,
    /// A gateway takes no notice of how long a permit is valid.
    Check,
    /// A new holder grants at once.
    Takeover,
    /// A holder goes on alone while it does not reach the store.
    GoOnAlone,
    /// A holder that does not reach the store goes on while every other member of its last view
    /// promises to keep that view and does not reach the store either.
    GoOnTogether,
    /// A request whose gateway is gone is counted for a moment only.
    Hold,
    /// A certificate outlives its tripwire.
    Tripwire,
}

/// Where a gateway freezes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "snake_case")]
pub(crate) enum FreezePoint {
    /// At once.
    Now,
    /// Between taking its next event with the clock, and handling it.
    Event,
    /// Between its next check and the write.
    Send,
}

#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(tag = "do", rename_all = "snake_case")]
pub(crate) enum Step {
    /// Lets time pass.
    Advance { ms: u64 },
    /// Sets the chance of a call per gateway, target and clock step.
    Load { permille: u32 },
    /// Freezes a gateway.
    Freeze { gateway: usize, at: FreezePoint },
    /// Lets a frozen gateway go on.
    Thaw { gateway: usize },
    /// Ends a gateway's process.
    Kill { gateway: usize },
    /// Starts a gateway that was ended.
    Start { gateway: usize },
    /// Makes the store unreachable or reachable again.
    Store { down: bool, delay_ms: u64, lose_answers: u32 },
    /// Cuts one gateway off from the store.
    Cut { gateway: usize, cut: bool },
    /// Restarts a target without warning.
    Restart { target: usize },
    /// Lets a target fall into cold start within one run.
    FallCold { target: usize },
    /// Loses and delays messages between gateways.
    Peers { lose_permille: u32, delay_ms: u64 },
}

/// A request that was checked and is about to be written.
struct Prepared {
    target: usize,
    run: u32,
    permit: Option<Permit>,
    checked_at: Tick,
}

/// A request that was sent.
struct Flight {
    target: usize,
    sent_at: Tick,
    permit: Option<Permit>,
}

enum Event {
    Peer(InstanceName, PermitMessage),
    Store(store::Answer, Tick),
    Answer { flight: u64, run: RunId, state: ReportedState },
    TripwireClosed { target: usize },
}

enum Travelling {
    Gateway { gateway: usize, incarnation: u32, event: Event },
    Store { gateway: usize, incarnation: u32, call: Call, sent_at: Tick },
    Backend { gateway: usize, incarnation: u32, flight: u64, way: Way, run: u32, target: usize },
}

struct Node {
    controller: Controller,
    incarnation: u32,
    is_alive: bool,
    is_frozen: bool,
    freeze_at: Option<FreezePoint>,
    is_cut: bool,
    taken: Option<(Event, Tick)>,
    inbox: VecDeque<Event>,
    waiting: BTreeMap<PermitId, usize>,
    prepared: Vec<Prepared>,
    flights: HashMap<u64, Flight>,
    tripwires: [Option<u32>; TARGETS],
    told_cold: [Tick; TARGETS],
    next_watch: Tick,
    next_register: Tick,
}

pub(crate) struct World {
    pub(crate) now: Tick,
    broken: Broken,
    rng: SmallRng,
    nodes: Vec<Node>,
    pub(crate) backends: Vec<Backend>,
    store: Store,
    travelling: BTreeMap<(Tick, u64), Travelling>,
    sequence: u64,
    load: u32,
    lose_permille: u32,
    peer_delay: Duration,
    pub(crate) violation: Option<String>,
}

fn times(broken: Broken) -> RosterTimes {
    let wait = VIEW_LIMIT + limits(Broken::Nothing).hold() + 5 * STEP;
    RosterTimes {
        lease_ttl: Duration::from_millis(1_500),
        lease_margin: 10 * STEP,
        renew_interval: Duration::from_millis(400),
        view_limit: VIEW_LIMIT,
        takeover_wait: if broken == Broken::Takeover { Duration::ZERO } else { wait },
    }
}

fn limits(broken: Broken) -> PermitLimits {
    let (send_window, transit_limit, run_limit) = match broken {
        Broken::Hold => (100, 50, 100),
        _ => (100, 50, 800),
    };
    PermitLimits {
        send_window: Duration::from_millis(send_window),
        run_limit: Duration::from_millis(run_limit),
        transit_limit: Duration::from_millis(transit_limit),
        waiting_per_target: 8,
        open_requests: 16,
    }
}

/// Longest time that a request under a permit runs at a model backend server.
const RUN_LIMIT: Duration = Duration::from_millis(800);

pub(crate) fn name(gateway: usize) -> InstanceName {
    InstanceName::new(format!("gateway-{gateway}"))
}

fn target_name(target: usize) -> TargetName {
    TargetName::new(format!("target-{target}"))
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

    fn post(&mut self, travelling: Travelling, delay: Duration) {
        self.sequence += 1;
        self.travelling.insert((self.now + delay, self.sequence), travelling);
    }

    fn post_event(&mut self, gateway: usize, event: Event, delay: Duration) {
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

    fn run_gateway(&mut self, gateway: usize) {
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
        let is_registered = roster.view().is_registered(roster.own(), roster.run());
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
            node.controller.tripwire_opened(&target_name(target), self.now);
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
        let Some((id, actions)) = node.controller.ask(&name, WAIT, self.now) else {
            return;
        };
        node.waiting.insert(id, target);
        self.act(gateway, actions, self.now);
    }

    fn handle(&mut self, gateway: usize, event: Event, now: Tick) {
        let node = &mut self.nodes[gateway];
        let actions = match event {
            Event::Peer(from, message) => {
                let mut message = message;
                match &mut message {
                    PermitMessage::Cold { target, .. } => node.hear_cold(target, self.now),
                    PermitMessage::Grant { valid, .. } if self.broken == Broken::Check => {
                        *valid = Duration::from_secs(60);
                    }
                    _ => {}
                }
                node.controller.received(&from, message, now)
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
                    node.controller.tripwire_closed(&target_name(target), now);
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

    fn write(&mut self, gateway: usize, prepared: Prepared) {
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

impl Node {
    /// Goes on as if the store had confirmed the lease and the last view.
    fn pretend_confirmed(&mut self, now: Tick) {
        let roster = self.controller.roster_mut();
        let Some(lease) = roster.lease().id() else {
            return;
        };
        roster.lease_mut().confirmed(lease, now, times(Broken::Nothing).lease_ttl);
        let revision = roster.view().revision();
        let sent_at = Tick::from_micros(now.as_micros() - CUT_OFF.as_micros() as u64);
        let observation = Observation { sent_at, revision, full: false, changes: Vec::new() };
        roster.observe(&observation, now);
    }

    fn hear_cold(&mut self, target: &TargetName, now: Tick) {
        for (index, told) in self.told_cold.iter_mut().enumerate() {
            if target_name(index) == *target {
                *told = now;
            }
        }
    }

    fn store_answered(&mut self, answer: store::Answer, sent_at: Tick, now: Tick) {
        let ttl = times(Broken::Nothing).lease_ttl;
        let roster = self.controller.roster_mut();
        match answer {
            store::Answer::Lease(lease) => roster.lease_mut().confirmed(lease, sent_at, ttl),
            store::Answer::Ended(lease) => roster.lease_mut().ended(lease, now),
            store::Answer::Registered => {}
            store::Answer::Seen(observation) => {
                roster.observe(&observation, now);
            }
        }
    }

    fn answered(
        &mut self,
        flight: &Flight,
        run: RunId,
        state: ReportedState,
        now: Tick,
    ) -> Vec<Action> {
        let target = target_name(flight.target);
        if state == ReportedState::Cold {
            self.hear_cold(&target, now);
        }
        let permit = flight.permit.as_ref();
        let answer = Answer {
            sent_at: flight.sent_at,
            run: Some(run.clone()),
            state,
            permit: permit.map(|permit| PermitProof {
                asked_at: permit.asked_at,
                warm_run: permit.warm_run.clone(),
            }),
        };
        let mut actions = self.controller.answered(&target, &answer, now);
        if let Some(permit) = permit {
            let outcome = Outcome::Served { run: Some(run), state };
            actions.extend(self.controller.end(permit, outcome, now));
        }
        actions
    }
}
