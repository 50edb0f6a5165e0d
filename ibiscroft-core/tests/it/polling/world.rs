//! Gateways that poll targets, a store with the roster, and targets that count polls.

use std::collections::BTreeMap;
use std::time::Duration;

use ibiscroft_core::Tick;
use ibiscroft_core::ids::{InstanceName, PerSecond, TargetName};
use ibiscroft_core::polling::{BUDGET_WINDOW, POLL_TIMEOUT, PollOwnership, PollScheduler};
use serde::{Deserialize, Serialize};

use crate::support::{at, ms, target};
use crate::trace::Replay;

pub(crate) const GATEWAYS: usize = 5;
pub(crate) const TARGETS: usize = 3;
/// Polls per second that a target may receive from all gateways together.
pub(crate) const BUDGET: u32 = 1;
/// Time between two runs of a gateway.
const TICK: Duration = Duration::from_millis(250);
/// Time for which the store keeps the registration of a gateway that does not renew its lease.
const LEASE_TTL: Duration = Duration::from_secs(10);

/// An event or a fault; gateways and targets are given by their index.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub(crate) enum Step {
    /// Lets the given number of ticks pass.
    Advance { ticks: u64 },
    /// Pauses a gateway, as SIGSTOP does.
    Pause { gateway: usize },
    /// Resumes a gateway.
    Resume { gateway: usize },
    /// Kills a gateway.
    Kill { gateway: usize },
    /// Starts a gateway that is not running.
    Start { gateway: usize },
    /// Makes the store unavailable or available.
    Store { is_down: bool },
    /// Delays responses of the store by the given number of ticks.
    Slow { ticks: u64 },
    /// Cuts a gateway off from the store or connects it.
    Cut { gateway: usize, is_cut: bool },
    /// Sends a call to a target through a gateway.
    Traffic { gateway: usize, target: usize },
}

/// Polls counted so far.
#[derive(Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Outcome {
    /// Polls that each target received.
    pub(crate) polls: Vec<usize>,
    /// Largest number of polls that one target received within the window.
    pub(crate) most_in_window: usize,
}

#[derive(Debug)]
struct Gateway {
    name: InstanceName,
    ownership: PollOwnership,
    scheduler: PollScheduler,
    is_paused: bool,
    is_cut: bool,
    /// Responses of the store in transit: time of arrival, time of the request, and roster.
    responses: Vec<(Tick, Tick, Vec<InstanceName>)>,
    /// Polls in flight: time of the response, and target.
    polls: Vec<(Tick, TargetName)>,
}

pub(crate) struct World {
    now: Tick,
    gateways: Vec<Option<Gateway>>,
    start_count: usize,
    /// When each gateway last renewed its lease, by name.
    leases: BTreeMap<String, Tick>,
    is_store_down: bool,
    store_delay: Duration,
    /// When each target received its polls.
    received: Vec<Vec<Tick>>,
}

impl Default for World {
    fn default() -> Self {
        let mut world = Self {
            now: at(1_000),
            gateways: (0..GATEWAYS).map(|_| None).collect(),
            start_count: 0,
            leases: BTreeMap::new(),
            is_store_down: false,
            store_delay: Duration::ZERO,
            received: vec![Vec::new(); TARGETS],
        };
        (0..GATEWAYS).for_each(|gateway| world.start(gateway));
        world
    }
}

impl Replay for World {
    type Step = Step;
    type Outcome = Outcome;

    fn step(&mut self, step: &Step) {
        match *step {
            Step::Advance { ticks } => (0..ticks).for_each(|_| self.tick()),
            Step::Pause { gateway } => self.with(gateway, |gateway| gateway.is_paused = true),
            Step::Resume { gateway } => self.with(gateway, |gateway| gateway.is_paused = false),
            Step::Kill { gateway } => self.gateways[gateway] = None,
            Step::Start { gateway } => self.start(gateway),
            Step::Store { is_down } => self.is_store_down = is_down,
            Step::Slow { ticks } => self.store_delay = TICK * u32::try_from(ticks).unwrap(),
            Step::Cut { gateway, is_cut } => self.with(gateway, |gateway| gateway.is_cut = is_cut),
            Step::Traffic { gateway, target: index } => {
                let now = self.now;
                let name = target(index).name;
                self.with(gateway, |gateway| gateway.scheduler.on_call(now, &name));
            }
        }
    }

    fn outcome(&self) -> Outcome {
        Outcome {
            polls: self.received.iter().map(Vec::len).collect(),
            most_in_window: self.most_in_window(),
        }
    }
}

impl World {
    /// Returns the largest number of polls that one target received within the window.
    pub(crate) fn most_in_window(&self) -> usize {
        let mut most = 0;
        for received in &self.received {
            for (index, first) in received.iter().enumerate() {
                let in_window = |instant: &&Tick| instant.since(*first) < BUDGET_WINDOW;
                most = most.max(received[index..].iter().take_while(in_window).count());
            }
        }
        most
    }

    fn with(&mut self, gateway: usize, change: impl FnOnce(&mut Gateway)) {
        if let Some(gateway) = &mut self.gateways[gateway] {
            change(gateway);
        }
    }

    fn start(&mut self, index: usize) {
        if self.gateways[index].is_some() {
            return;
        }
        self.start_count += 1;
        let name = InstanceName::new(format!("gw-{index}-{}", self.start_count));
        let mut scheduler = PollScheduler::new(PerSecond(100));
        let targets = (0..TARGETS).map(|index| (target(index).name, PerSecond(BUDGET)));
        scheduler.set_targets(self.now, targets);
        self.gateways[index] = Some(Gateway {
            ownership: PollOwnership::new(name.clone()),
            name,
            scheduler,
            is_paused: false,
            is_cut: false,
            responses: Vec::new(),
            polls: Vec::new(),
        });
    }

    fn tick(&mut self) {
        self.now = self.now + TICK;
        let now = self.now;
        self.leases.retain(|_, renewed| now.since(*renewed) < LEASE_TTL);
        for index in 0..GATEWAYS {
            let Some(mut gateway) = self.gateways[index].take() else {
                continue;
            };
            if !gateway.is_paused {
                self.run_gateway(&mut gateway);
            }
            self.gateways[index] = Some(gateway);
        }
    }

    fn run_gateway(&mut self, gateway: &mut Gateway) {
        let now = self.now;
        self.call_store(gateway);
        for (_, sent_at, roster) in gateway.responses.extract_if(.., |response| response.0 <= now) {
            gateway.ownership.confirm(sent_at, roster);
        }
        for (_, name) in gateway.polls.extract_if(.., |poll| poll.0 <= now) {
            gateway.scheduler.finish(now, &name);
        }
        while let Some(name) = gateway.scheduler.next_poll(now, &mut gateway.ownership) {
            let index = (0..TARGETS).find(|index| target(*index).name == name).unwrap();
            self.received[index].push(now);
            gateway.polls.push((now + POLL_TIMEOUT / 4, name));
        }
    }

    /// Renews the gateway's lease and reads the roster, if the gateway reaches the store.
    fn call_store(&mut self, gateway: &mut Gateway) {
        if self.is_store_down || gateway.is_cut {
            return;
        }
        self.leases.insert(gateway.name.to_string(), self.now);
        let roster = self.leases.keys().map(InstanceName::new).collect();
        gateway.responses.push((self.now + self.store_delay, self.now, roster));
    }
}

/// Returns the number of polls that the budget allows within the window.
pub(crate) fn window_budget() -> usize {
    BUDGET as usize * usize::try_from(BUDGET_WINDOW.as_secs()).unwrap()
}

/// Returns a step that lets `millis` milliseconds pass.
pub(crate) fn advance_ms(millis: u64) -> Step {
    Step::Advance { ticks: u64::try_from(ms(millis).as_millis() / TICK.as_millis()).unwrap() }
}
