//! Simulation of one service in virtual time: callers, gateways that use the code under test,
//! and targets.

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

const SLOTS_PER_TARGET: usize = 6;
/// Mean of the exponentially distributed time that a request takes at a target.
const MEAN_SERVICE_TIME: Duration = Duration::from_millis(5);
/// One-way network delay within an availability zone.
const SAME_ZONE_DELAY: Duration = Duration::from_micros(100);
/// One-way network delay between availability zones.
const OTHER_ZONE_DELAY: Duration = Duration::from_micros(1_400);

/// Parameters of a simulation.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Setup {
    pub(crate) gateways: usize,
    pub(crate) targets: usize,
    /// Requests that may wait at a target; it sheds the others.
    pub(crate) target_queue: usize,
    /// Rate of arriving calls, in thousandths of the capacity of the targets.
    pub(crate) load: u64,
    /// Start and end of a time in which no target makes progress.
    pub(crate) stall: Option<(Tick, Tick)>,
    /// Time in which calls arrive.
    pub(crate) length: Duration,
    pub(crate) deadline: Duration,
    pub(crate) queue_wait: Duration,
    pub(crate) seed: u64,
}

/// Counts for the calls that arrived within one period of 100 ms.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Bin {
    pub(crate) arrived: u64,
    /// Calls with a response before the deadline.
    pub(crate) in_time: u64,
    pub(crate) rejected: u64,
    pub(crate) timed_out: u64,
    /// Longest time from arrival to rejection.
    pub(crate) longest_rejection_wait: Duration,
    /// Sum of the times from arrival to rejection.
    pub(crate) total_rejection_wait: Duration,
    /// Attempts that reached a target within the period, of whichever calls.
    pub(crate) attempts: u64,
}

/// Result of a simulation.
pub(crate) struct RunResult {
    pub(crate) bins: Vec<Bin>,
    /// Times from arrival to response, in ascending order.
    pub(crate) latencies: Vec<Duration>,
}

impl RunResult {
    /// Returns the latency that `permille` thousandths of the responses do not exceed.
    pub(crate) fn latency(&self, permille: usize) -> Duration {
        self.latencies[(self.latencies.len() - 1) * permille / 1_000]
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    /// A new call arrives at a gateway.
    CallArrival,
    /// An attempt arrives at its target.
    AttemptStart { call: usize, target: usize, attempt: usize },
    /// The target completes the attempt.
    AttemptEnd { call: usize, target: usize, attempt: usize },
    /// A response arrives at the gateway.
    Response { call: usize, attempt: usize, is_congested: bool },
    /// The gateway receives the response of a target that shed the attempt.
    ShedResponse { call: usize, attempt: usize },
    /// The caller stops waiting.
    Deadline { call: usize },
    /// The longest wait of a call that was queued at the gateway ends.
    QueueTimeout { gateway: usize },
}

/// A call of a caller, identified by its index.
#[derive(Debug)]
struct Call {
    gateway: usize,
    arrived: Tick,
    started: Tick,
    attempted: AttemptedTargets,
    /// Guard of the present attempt.
    in_flight: Option<InFlight>,
    /// Whether the call was answered, rejected or timed out.
    is_over: bool,
}

struct Gateway {
    admission: Admission<usize>,
    budget: ServiceRetryBudget,
    pool: Pool,
}

/// A target.
#[derive(Default)]
struct Server {
    running: usize,
    /// Waiting attempts: call and number of the attempt.
    waiting: VecDeque<(usize, usize)>,
}

/// State of a simulation.
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
    /// Simulates `setup` until no event is left.
    pub(crate) fn run(setup: Setup) -> RunResult {
        let count = (setup.length.as_millis() / 100) as usize + 20;
        let mut world = Self {
            setup,
            now: Tick::ZERO,
            rng: SmallRng::seed_from_u64(setup.seed),
            events: BinaryHeap::new(),
            sequence: 0,
            calls: Vec::new(),
            gateways: (0..setup.gateways).map(|index| make_gateway(index, setup.targets)).collect(),
            servers: (0..setup.targets).map(|_| Server::default()).collect(),
            bins: vec![Bin::default(); count],
            latencies: Vec::new(),
        };
        world.schedule(Duration::ZERO, Event::CallArrival);
        while let Some(Reverse((now, _, event))) = world.events.pop() {
            world.now = now;
            world.handle(event);
        }
        world.latencies.sort_unstable();
        RunResult { bins: world.bins, latencies: world.latencies }
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::CallArrival => self.on_call(),
            Event::AttemptStart { call, target, attempt } => self.on_attempt(call, target, attempt),
            Event::AttemptEnd { call, target, attempt } => self.on_end(call, target, attempt),
            Event::Response { call, attempt, is_congested } => {
                if self.is_current(call, attempt) {
                    let outcome = if is_congested { Outcome::Congested } else { Outcome::Answered };
                    self.complete(call, outcome);
                }
            }
            Event::ShedResponse { call, attempt } => {
                if self.is_current(call, attempt) {
                    self.on_shed(call);
                }
            }
            Event::Deadline { call } => {
                if !self.calls[call].is_over && self.calls[call].in_flight.is_some() {
                    self.complete(call, Outcome::TimedOut);
                }
            }
            Event::QueueTimeout { gateway } => self.dequeue(gateway),
        }
    }

    fn on_call(&mut self) {
        if self.now >= Tick::ZERO + self.setup.length {
            return;
        }
        let capacity =
            (self.setup.targets * SLOTS_PER_TARGET) as f64 / MEAN_SERVICE_TIME.as_micros() as f64;
        let rate = capacity * self.setup.load as f64 / 1_000.0;
        let gap = self.exponential(1.0 / rate);
        self.schedule(gap, Event::CallArrival);
        let gateway = self.rng.random_range(0..self.setup.gateways);
        let call = self.calls.len();
        let attempted = AttemptedTargets::default();
        let arrived = self.now;
        self.calls.push(Call {
            gateway,
            arrived,
            started: arrived,
            attempted,
            in_flight: None,
            is_over: false,
        });
        self.bin(arrived).arrived += 1;
        let limits = self.limits();
        let request = AdmissionRequest {
            deadline: arrived + self.setup.deadline,
            class: RequestClass::Interactive,
        };
        match self.gateways[gateway].admission.arrive(&limits, arrived, request, call) {
            AdmissionDecision::Run(call) => self.start(call),
            AdmissionDecision::Queued => {
                self.schedule(self.setup.queue_wait, Event::QueueTimeout { gateway });
            }
            AdmissionDecision::Refused { waiter, .. } => self.reject(waiter),
        }
    }

    fn start(&mut self, call: usize) {
        self.calls[call].started = self.now;
        self.gateways[self.calls[call].gateway].budget.record_call();
        let left = (self.calls[call].arrived + self.setup.deadline).since(self.now);
        self.schedule(left, Event::Deadline { call });
        self.attempt(call);
    }

    fn attempt(&mut self, call: usize) {
        let Call { gateway, attempted, .. } = self.calls[call];
        let pool = &self.gateways[gateway].pool;
        let selected = TwoChoices::default().select(pool, &attempted, self.now, &mut self.rng);
        let Selection::Warm(target) = selected else {
            return self.complete(call, Outcome::Shed);
        };
        let in_flight = pool.candidate(target).load.begin_request();
        self.calls[call].in_flight = Some(in_flight);
        self.calls[call].attempted.insert(target);
        let attempt = self.calls[call].attempted.len();
        let delay = network_delay(gateway, target);
        self.schedule(delay, Event::AttemptStart { call, target, attempt });
    }

    fn on_attempt(&mut self, call: usize, target: usize, attempt: usize) {
        let now = self.now;
        self.bin(now).attempts += 1;
        let server = &mut self.servers[target];
        if server.running < SLOTS_PER_TARGET {
            server.running += 1;
            return self.run_attempt(call, target, attempt);
        }
        if server.waiting.len() < self.setup.target_queue {
            return server.waiting.push_back((call, attempt));
        }
        let return_delay = network_delay(self.calls[call].gateway, target);
        self.schedule(return_delay, Event::ShedResponse { call, attempt });
    }

    fn run_attempt(&mut self, call: usize, target: usize, attempt: usize) {
        let mut service_time = self.exponential(MEAN_SERVICE_TIME.as_micros() as f64);
        if let Some((from, until)) = self.setup.stall {
            let end = self.now + service_time;
            if end >= from && self.now < until {
                service_time += until.since(from.max(self.now));
            }
        }
        self.schedule(service_time, Event::AttemptEnd { call, target, attempt });
    }

    fn on_end(&mut self, call: usize, target: usize, attempt: usize) {
        self.servers[target].running -= 1;
        while let Some((next, next_attempt)) = self.servers[target].waiting.pop_front() {
            if self.is_current(next, next_attempt) {
                self.servers[target].running += 1;
                self.run_attempt(next, target, next_attempt);
                break;
            }
        }
        let return_delay = network_delay(self.calls[call].gateway, target);
        let is_congested = self.servers[target].waiting.len() > SLOTS_PER_TARGET;
        self.schedule(return_delay, Event::Response { call, attempt, is_congested });
    }

    fn on_shed(&mut self, call: usize) {
        let now = self.now;
        if let Some(in_flight) = self.calls[call].in_flight.take() {
            in_flight.end_shed(now);
        }
        let budget = &self.gateways[self.calls[call].gateway].budget;
        if budget.try_retry(AttemptFailure::Shed, true, now) {
            return self.attempt(call);
        }
        self.complete(call, Outcome::Shed);
    }

    fn complete(&mut self, call: usize, outcome: Outcome) {
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
        let completed = CompletedRequest { started, class: RequestClass::Interactive, outcome };
        admission.release(&limits, now, &completed);
        if outcome == Outcome::Shed {
            let until = arrived + self.setup.queue_wait;
            match admission.requeue(&limits, now, until, call) {
                AdmissionDecision::Refused { waiter, .. } => self.reject(waiter),
                _ => self.calls[call].attempted = AttemptedTargets::default(),
            }
        }
        self.dequeue(gateway);
    }

    /// Starts or rejects waiting calls until none may be sent or has expired.
    fn dequeue(&mut self, gateway: usize) {
        let limits = self.limits();
        loop {
            match self.gateways[gateway].admission.next(&limits, self.now) {
                Dequeued::Run(call) => self.start(call),
                Dequeued::Expired(call) => self.reject(call),
                Dequeued::None => return,
            }
        }
    }

    fn reject(&mut self, call: usize) {
        let arrived = self.calls[call].arrived;
        let wait = self.now.since(arrived);
        self.calls[call].is_over = true;
        let bin = self.bin(arrived);
        bin.rejected += 1;
        bin.longest_rejection_wait = bin.longest_rejection_wait.max(wait);
        bin.total_rejection_wait += wait;
    }

    /// Returns whether `attempt` is the last attempt of `call` and its outcome still matters.
    fn is_current(&self, call: usize, attempt: usize) -> bool {
        let call = &self.calls[call];
        !call.is_over && call.in_flight.is_some() && call.attempted.len() == attempt
    }

    fn limits(&self) -> Limits {
        let slots = (self.setup.targets * SLOTS_PER_TARGET) as u32;
        Limits { slots, queue: 2 * slots, batch_queue: 0, queue_wait: self.setup.queue_wait }
    }

    /// Returns the bin of `instant`; later ones share the last bin.
    fn bin(&mut self, instant: Tick) -> &mut Bin {
        let index = (instant.as_micros() / 100_000) as usize;
        let last = self.bins.len() - 1;
        &mut self.bins[index.min(last)]
    }

    /// Returns an exponentially distributed duration.
    fn exponential(&mut self, mean_us: f64) -> Duration {
        let uniform: f64 = self.rng.random_range(f64::MIN_POSITIVE..1.0);
        Duration::from_micros((-uniform.ln() * mean_us) as u64)
    }

    fn schedule(&mut self, delay: Duration, event: Event) {
        self.sequence += 1;
        self.events.push(Reverse((self.now + delay, self.sequence, event)));
    }
}

fn make_gateway(index: usize, targets: usize) -> Gateway {
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

fn network_delay(gateway: usize, target: usize) -> Duration {
    if gateway % 3 == target % 3 { SAME_ZONE_DELAY } else { OTHER_ZONE_DELAY }
}

impl Default for Setup {
    /// 18 gateways and 10 targets at 75 % of the capacity, without a stall.
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
