//! One service in virtual time: callers, gateways that run the core, and targets.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, VecDeque};
use std::time::Duration;

use ibiscroft_core::Tick;
use ibiscroft_core::admission::{
    Admission, AdmissionDecision, AdmissionRequest, CompletedRequest, Dequeued, Limits, Outcome,
    RequestClass,
};
use ibiscroft_core::budget::{AttemptFailure, ServiceRetryBudget};
use ibiscroft_core::ids::Permille;
use ibiscroft_core::selection::{
    AttemptedTargets, Candidate, Eligibility, InFlight, LoadTable, Pool, Selection, Selector,
    TwoChoices,
};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use crate::support::{ms, target, zone};

const SLOTS: usize = 6;
const WORK: Duration = Duration::from_millis(5);
const NEAR: Duration = Duration::from_micros(100);
const FAR: Duration = Duration::from_micros(1_400);

/// What is simulated.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Setup {
    pub(crate) gateways: usize,
    pub(crate) targets: usize,
    /// Requests that wait at a target before it refuses.
    pub(crate) target_queue: usize,
    /// Arrivals in thousandths of the capacity.
    pub(crate) load: u64,
    /// When all targets stop and go on.
    pub(crate) stall: Option<(Tick, Tick)>,
    pub(crate) length: Duration,
    pub(crate) deadline: Duration,
    pub(crate) queue_wait: Duration,
    pub(crate) seed: u64,
}

/// What callers and targets saw, in bins of 100 ms by arrival.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Bin {
    pub(crate) arrived: u64,
    pub(crate) in_time: u64,
    pub(crate) refused: u64,
    pub(crate) timed_out: u64,
    /// Longest time from arrival to refusal.
    pub(crate) refusal_wait: Duration,
    /// Sum of the times from arrival to refusal.
    pub(crate) refusal_waits: Duration,
    /// Requests that reached targets, by the time they did.
    pub(crate) offers: u64,
}

/// The outcome of a simulation.
pub(crate) struct Run {
    pub(crate) bins: Vec<Bin>,
    /// Times from arrival to answer, in ascending order.
    pub(crate) latencies: Vec<Duration>,
}

impl Run {
    /// Returns the latency that `permille` of the answers stay within.
    pub(crate) fn latency(&self, permille: usize) -> Duration {
        self.latencies[(self.latencies.len() - 1) * permille / 1_000]
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrive,
    Reach { call: usize, target: usize, attempt: usize },
    Done { call: usize, target: usize, attempt: usize },
    Answer { call: usize, attempt: usize, is_congested: bool },
    Refuse { call: usize, attempt: usize },
    GiveUp { call: usize },
    Expire { gateway: usize },
}

#[derive(Debug)]
struct Call {
    gateway: usize,
    arrived: Tick,
    started: Tick,
    tried: AttemptedTargets,
    in_flight: Option<InFlight>,
    is_over: bool,
}

struct Gateway {
    admission: Admission<usize>,
    budget: ServiceRetryBudget,
    pool: Pool,
}

#[derive(Default)]
struct Server {
    running: usize,
    waiting: VecDeque<(usize, usize)>,
}

/// The simulation.
pub(crate) struct World {
    setup: Setup,
    now: Tick,
    rng: SmallRng,
    events: BinaryHeap<Reverse<(Tick, u64, Event)>>,
    sequence: u64,
    calls: Vec<Call>,
    gateways: Vec<Gateway>,
    servers: Vec<Server>,
    bins: Vec<Bin>,
    latencies: Vec<Duration>,
}

impl World {
    /// Runs `setup` to its end.
    pub(crate) fn run(setup: Setup) -> Run {
        let count = (setup.length.as_millis() / 100) as usize + 20;
        let mut world = Self {
            setup,
            now: Tick::ZERO,
            rng: SmallRng::seed_from_u64(setup.seed),
            events: BinaryHeap::new(),
            sequence: 0,
            calls: Vec::new(),
            gateways: (0..setup.gateways).map(|index| gateway(index, setup.targets)).collect(),
            servers: (0..setup.targets).map(|_| Server::default()).collect(),
            bins: vec![Bin::default(); count],
            latencies: Vec::new(),
        };
        world.push(Duration::ZERO, Event::Arrive);
        while let Some(Reverse((now, _, event))) = world.events.pop() {
            world.now = now;
            world.handle(event);
        }
        world.latencies.sort_unstable();
        Run { bins: world.bins, latencies: world.latencies }
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrive => self.arrive(),
            Event::Reach { call, target, attempt } => self.reach(call, target, attempt),
            Event::Done { call, target, attempt } => self.done(call, target, attempt),
            Event::Answer { call, attempt, is_congested } => {
                if self.is_current(call, attempt) {
                    let outcome = if is_congested { Outcome::Congested } else { Outcome::Answered };
                    self.finish(call, outcome);
                }
            }
            Event::Refuse { call, attempt } => {
                if self.is_current(call, attempt) {
                    self.refused_by_target(call);
                }
            }
            Event::GiveUp { call } => {
                if !self.calls[call].is_over && self.calls[call].in_flight.is_some() {
                    self.finish(call, Outcome::TimedOut);
                }
            }
            Event::Expire { gateway } => self.drain(gateway),
        }
    }

    fn arrive(&mut self) {
        if self.now >= Tick::ZERO + self.setup.length {
            return;
        }
        let capacity = (self.setup.targets * SLOTS) as f64 / WORK.as_micros() as f64;
        let rate = capacity * self.setup.load as f64 / 1_000.0;
        let gap = self.exponential(1.0 / rate);
        self.push(gap, Event::Arrive);
        let gateway = self.rng.random_range(0..self.setup.gateways);
        let call = self.calls.len();
        let tried = AttemptedTargets::default();
        let arrived = self.now;
        self.calls.push(Call {
            gateway,
            arrived,
            started: arrived,
            tried,
            in_flight: None,
            is_over: false,
        });
        self.bin(arrived).arrived += 1;
        let limits = self.limits();
        let ticket = AdmissionRequest {
            deadline: arrived + self.setup.deadline,
            class: RequestClass::Interactive,
        };
        match self.gateways[gateway].admission.arrive(&limits, arrived, ticket, call) {
            AdmissionDecision::Run(call) => self.start(call),
            AdmissionDecision::Queued => {
                self.push(self.setup.queue_wait, Event::Expire { gateway });
            }
            AdmissionDecision::Refused { waiter, .. } => self.refuse(waiter),
        }
    }

    fn start(&mut self, call: usize) {
        self.calls[call].started = self.now;
        self.gateways[self.calls[call].gateway].budget.record_call();
        let left = (self.calls[call].arrived + self.setup.deadline).since(self.now);
        self.push(left, Event::GiveUp { call });
        self.offer(call);
    }

    fn offer(&mut self, call: usize) {
        let Call { gateway, tried, .. } = self.calls[call];
        let pool = &self.gateways[gateway].pool;
        let selected = TwoChoices::default().select(pool, &tried, self.now, &mut self.rng);
        let Selection::Warm(target) = selected else {
            return self.finish(call, Outcome::Shed);
        };
        let in_flight = pool.candidate(target).load.begin();
        self.calls[call].in_flight = Some(in_flight);
        self.calls[call].tried.insert(target);
        let attempt = self.calls[call].tried.len();
        let delay = delay(gateway, target);
        self.push(delay, Event::Reach { call, target, attempt });
    }

    fn reach(&mut self, call: usize, target: usize, attempt: usize) {
        let now = self.now;
        self.bin(now).offers += 1;
        let server = &mut self.servers[target];
        if server.running < SLOTS {
            server.running += 1;
            return self.work(call, target, attempt);
        }
        if server.waiting.len() < self.setup.target_queue {
            return server.waiting.push_back((call, attempt));
        }
        let back = delay(self.calls[call].gateway, target);
        self.push(back, Event::Refuse { call, attempt });
    }

    fn work(&mut self, call: usize, target: usize, attempt: usize) {
        let mut span = self.exponential(WORK.as_micros() as f64);
        if let Some((from, until)) = self.setup.stall {
            let end = self.now + span;
            if end >= from && self.now < until {
                span += until.since(from.max(self.now));
            }
        }
        self.push(span, Event::Done { call, target, attempt });
    }

    fn done(&mut self, call: usize, target: usize, attempt: usize) {
        self.servers[target].running -= 1;
        while let Some((next, next_attempt)) = self.servers[target].waiting.pop_front() {
            if self.is_current(next, next_attempt) {
                self.servers[target].running += 1;
                self.work(next, target, next_attempt);
                break;
            }
        }
        let back = delay(self.calls[call].gateway, target);
        let is_congested = self.servers[target].waiting.len() > SLOTS;
        self.push(back, Event::Answer { call, attempt, is_congested });
    }

    fn refused_by_target(&mut self, call: usize) {
        let now = self.now;
        if let Some(in_flight) = self.calls[call].in_flight.take() {
            in_flight.end_shed(now);
        }
        let budget = &self.gateways[self.calls[call].gateway].budget;
        if budget.try_retry(AttemptFailure::Shed, true, now) {
            return self.offer(call);
        }
        self.finish(call, Outcome::Shed);
    }

    fn finish(&mut self, call: usize, outcome: Outcome) {
        let now = self.now;
        let Call { gateway, arrived, started, .. } = self.calls[call];
        if let Some(in_flight) = self.calls[call].in_flight.take()
            && outcome != Outcome::TimedOut
        {
            in_flight.end_answered(now);
        }
        match outcome {
            Outcome::Shed => {}
            Outcome::TimedOut => {
                self.calls[call].is_over = true;
                self.bin(arrived).timed_out += 1;
            }
            _ => {
                self.calls[call].is_over = true;
                self.bin(arrived).in_time += 1;
                self.latencies.push(now.since(arrived));
            }
        }
        let limits = self.limits();
        let admission = &mut self.gateways[gateway].admission;
        let ended = CompletedRequest { started, class: RequestClass::Interactive, outcome };
        admission.release(&limits, now, &ended);
        if outcome == Outcome::Shed {
            let until = arrived + self.setup.queue_wait;
            match admission.requeue(&limits, now, until, call) {
                AdmissionDecision::Refused { waiter, .. } => self.refuse(waiter),
                _ => self.calls[call].tried = AttemptedTargets::default(),
            }
        }
        self.drain(gateway);
    }

    fn drain(&mut self, gateway: usize) {
        let limits = self.limits();
        loop {
            match self.gateways[gateway].admission.next(&limits, self.now) {
                Dequeued::Run(call) => self.start(call),
                Dequeued::Expired(call) => self.refuse(call),
                Dequeued::None => return,
            }
        }
    }

    fn refuse(&mut self, call: usize) {
        let arrived = self.calls[call].arrived;
        let wait = self.now.since(arrived);
        self.calls[call].is_over = true;
        let bin = self.bin(arrived);
        bin.refused += 1;
        bin.refusal_wait = bin.refusal_wait.max(wait);
        bin.refusal_waits += wait;
    }

    fn is_current(&self, call: usize, attempt: usize) -> bool {
        let call = &self.calls[call];
        !call.is_over && call.in_flight.is_some() && call.tried.len() == attempt
    }

    fn limits(&self) -> Limits {
        let slots = (self.setup.targets * SLOTS) as u32;
        Limits { slots, queue: 2 * slots, batch_queue: 0, queue_wait: self.setup.queue_wait }
    }

    fn bin(&mut self, instant: Tick) -> &mut Bin {
        let index = (instant.as_micros() / 100_000) as usize;
        let last = self.bins.len() - 1;
        &mut self.bins[index.min(last)]
    }

    fn exponential(&mut self, mean_us: f64) -> Duration {
        let uniform: f64 = self.rng.random_range(f64::MIN_POSITIVE..1.0);
        Duration::from_micros((-uniform.ln() * mean_us) as u64)
    }

    fn push(&mut self, delay: Duration, event: Event) {
        self.sequence += 1;
        self.events.push(Reverse((self.now + delay, self.sequence, event)));
    }
}

fn gateway(index: usize, targets: usize) -> Gateway {
    let mut loads = LoadTable::default();
    let mut candidates = Vec::new();
    for target in (0..targets).map(target) {
        let load = loads.entry(&target.name);
        candidates.push(Candidate { target, eligibility: Eligibility::Warm, load });
    }
    let pool = Pool::new(&zone(index), candidates);
    let budget = ServiceRetryBudget::new(Permille(100));
    Gateway { admission: Admission::new(), budget, pool }
}

fn delay(gateway: usize, target: usize) -> Duration {
    if gateway % 3 == target % 3 { NEAR } else { FAR }
}

impl Default for Setup {
    /// The Verband's register at the given load without a stall.
    fn default() -> Self {
        Self {
            gateways: 18,
            targets: 10,
            target_queue: 3,
            load: 750,
            stall: None,
            length: ms(3_000),
            deadline: ms(500),
            queue_wait: ms(125),
            seed: 1,
        }
    }
}
