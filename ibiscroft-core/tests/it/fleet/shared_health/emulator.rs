//! Gateways and targets on a simulated clock, in steps of 10 ms.
//!
//! The decisions about targets are those of the core. Requests, probes, the mesh and the order of
//! the candidates are emulated like those of the daemon.

use std::collections::{HashMap, HashSet};
use std::rc::Rc;
use std::time::Duration;

use ibiscroft_core::fleet::{
    AttemptOutcome, FindingOrigin, GatewayCount, Hint, Incarnation, MAX_PROBE_ROUNDS, SharedHealth,
    Target, TargetHealth,
};
use ibiscroft_core::ids::{InstanceName, ServiceName, TargetName, ZoneName};
use ibiscroft_core::{Tick, rendezvous};
use rand::rngs::StdRng;
use rand::seq::SliceRandom;
use rand::{Rng, SeedableRng};

use crate::fleet::world::target;

pub(super) const GATEWAYS: usize = 136;
pub(super) const ZONES: usize = 3;
pub(super) const SERVICES: usize = 3;
pub(super) const TARGETS: usize = 378;
/// Requests a second at all gateways together.
const REQUESTS_PER_S: f64 = 924.0;
/// Duration of a step, also the latency of a message between gateways.
const STEP: Duration = Duration::from_millis(10);
/// Interval at which a gateway sends messages and tries targets.
const TIMER_MS: u64 = 50;
/// Time after which a follower has replaced a source that is silent.
const SELECT_TIME: Duration = Duration::from_millis(1_100);
/// Number of targets that a gateway prefers in each list.
const SUBSET: usize = 10;

/// What gateways use to avoid targets that cannot be reached.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Mechanism {
    /// Each relies on its own findings.
    Own,
    /// They share their findings.
    Shared,
}

struct Gateway {
    zone: usize,
    health: HashMap<usize, TargetHealth>,
    shared: SharedHealth,
    /// Source in the mesh, `None` at the root.
    source: Option<usize>,
    is_cut_off: bool,
    reports_all: bool,
}

/// Number of attempts to connect to targets that do not respond.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Tries {
    /// For requests.
    pub(super) by_requests: usize,
    /// Apart from requests.
    pub(super) by_trials: usize,
}

impl Tries {
    pub(super) fn total(self) -> usize {
        self.by_requests + self.by_trials
    }
}

pub(super) struct Emulator {
    pub(super) now: Tick,
    pub(super) targets: Rc<Vec<Target>>,
    pub(super) is_dead: Vec<bool>,
    pub(super) tries: Tries,
    /// Requests that no target responded to.
    pub(super) failed: usize,
    pub(super) requests: usize,
    /// When each target last responded to a probe for a request.
    pub(super) used_at: Vec<Tick>,
    /// Largest number of messages that a gateway sent to its followers in one second.
    pub(super) max_messages: usize,
    /// Largest number of own findings that one gateway sent in one second.
    pub(super) max_own: usize,
    sent: Vec<Vec<(Tick, usize)>>,
    mechanism: Mechanism,
    gateways: Vec<Gateway>,
    messages: Vec<(usize, FindingOrigin, Vec<Hint>)>,
    /// When the followers of a gateway that is cut off select another source.
    selects_at: Tick,
    index: HashMap<TargetName, usize>,
    rng: StdRng,
}

impl Emulator {
    pub(super) fn new(mechanism: Mechanism, seed: u64) -> Self {
        let targets: Vec<Target> = (0..TARGETS)
            .map(|index| Target {
                service: ServiceName::new(format!("s{}", index / ZONES % SERVICES)),
                ..target(&format!("t{index}"), &format!("z{}", index % ZONES))
            })
            .collect();
        let gateways = (0..GATEWAYS).map(|index| Gateway {
            zone: index % ZONES,
            health: HashMap::new(),
            shared: SharedHealth::new(
                InstanceName::new(format!("g{index}")),
                ZoneName::new(format!("z{}", index % ZONES)),
            ),
            source: match index {
                0 => None,
                _ if index < ZONES => Some(0),
                _ => Some(index % ZONES),
            },
            is_cut_off: false,
            reports_all: false,
        });
        Self {
            now: Tick::from_millis(10_000),
            is_dead: vec![false; TARGETS],
            tries: Tries::default(),
            failed: 0,
            requests: 0,
            used_at: vec![Tick::ZERO; TARGETS],
            max_messages: 0,
            max_own: 0,
            sent: vec![Vec::new(); GATEWAYS],
            mechanism,
            gateways: gateways.collect(),
            messages: Vec::new(),
            selects_at: Tick::ZERO,
            index: targets.iter().enumerate().map(|(i, t)| (t.name.clone(), i)).collect(),
            targets: Rc::new(targets),
            rng: StdRng::seed_from_u64(seed),
        }
    }

    pub(super) fn set_zone_dead(&mut self, zone: usize, is_dead: bool) {
        for index in (zone..TARGETS).step_by(ZONES) {
            self.is_dead[index] = is_dead;
        }
    }

    /// Cuts a gateway off from the others; its followers select the root after `SELECT_TIME`.
    pub(super) fn cut_off(&mut self, gateway: usize) {
        self.gateways[gateway].is_cut_off = true;
        self.selects_at = self.now + SELECT_TIME;
    }

    /// Makes a gateway report all targets, whatever it finds.
    pub(super) fn report_all(&mut self, gateway: usize) {
        self.gateways[gateway].reports_all = true;
    }

    /// Starts a target anew, as all gateways know at once.
    pub(super) fn restart(&mut self, index: usize) {
        let target = &mut Rc::make_mut(&mut self.targets)[index];
        target.incarnation = Incarnation(target.incarnation.get() + 1);
    }

    pub(super) fn run(&mut self, millis: u64) {
        for _ in 0..millis / STEP.as_millis() as u64 {
            self.step();
        }
    }

    /// Returns the numbers of gateways that try each target last because of shared findings.
    pub(super) fn tried_last(&self) -> Vec<usize> {
        let count = |target| {
            let is_tried_last = |g: &&Gateway| g.shared.is_tried_last(self.now, target);
            self.gateways.iter().filter(is_tried_last).count()
        };
        self.targets.iter().map(count).collect()
    }

    /// Returns the numbers of gateways that try each target last for any reason.
    pub(super) fn excluded(&self) -> Vec<usize> {
        let count = |index: usize| {
            let is_excluded = |g: &&Gateway| {
                g.shared.is_tried_last(self.now, &self.targets[index])
                    || g.health.get(&index).is_some_and(|health| health.is_excluded(self.now))
            };
            self.gateways.iter().filter(is_excluded).count()
        };
        (0..TARGETS).map(count).collect()
    }

    /// Returns whether a gateway tries a target last because of shared findings.
    pub(super) fn is_tried_last_by(&self, gateway: usize, target: usize) -> bool {
        self.gateways[gateway].shared.is_tried_last(self.now, &self.targets[target])
    }

    fn step(&mut self) {
        self.now = self.now + STEP;
        if self.now == self.selects_at {
            self.replace_sources();
        }
        for (to, origin, hints) in std::mem::take(&mut self.messages) {
            for hint in hints {
                self.deliver(to, origin, hint);
            }
        }
        let chance = REQUESTS_PER_S / GATEWAYS as f64 * STEP.as_secs_f64();
        for gateway in 0..GATEWAYS {
            if self.rng.random_bool(chance) {
                self.request(gateway);
            }
            // The timers of the gateways do not fire at the same moment.
            let offset = gateway as u64 % 5 * 10;
            let is_due = (self.now.as_micros() / 1_000 + offset).is_multiple_of(TIMER_MS);
            if self.mechanism == Mechanism::Shared && is_due {
                self.on_timer(gateway);
            }
        }
    }

    fn replace_sources(&mut self) {
        for index in ZONES..GATEWAYS {
            let source = self.gateways[index].source;
            if source.is_some_and(|source| self.gateways[source].is_cut_off) {
                self.gateways[index].source = Some(0);
            }
        }
    }

    fn deliver(&mut self, to: usize, origin: FindingOrigin, hint: Hint) {
        let gateway = &mut self.gateways[to];
        match hint {
            Hint::TargetDown(findings) => {
                gateway.shared.on_down(self.now, origin, findings);
            }
            Hint::TargetUp(findings) => {
                for name in gateway.shared.on_up(self.now, origin, findings) {
                    gateway.health.entry(self.index[&name]).or_default().end_backoff(self.now);
                }
            }
            _ => unreachable!("only findings are sent"),
        }
    }

    fn on_timer(&mut self, gateway: usize) {
        let fleet = GatewayCount(GATEWAYS as u32);
        let targets = Rc::clone(&self.targets);
        for target in self.gateways[gateway].shared.due_trials(self.now, &*targets, fleet) {
            let index = self.index[&target.name];
            self.tries.by_trials += usize::from(self.is_dead[index]);
            self.probe(gateway, index);
        }
        if self.gateways[gateway].reports_all {
            let reported: Vec<usize> = (0..TARGETS).filter(|_| self.rng.random_bool(0.1)).collect();
            for index in reported {
                self.gateways[gateway].shared.note_unreachable(self.now, &targets[index]);
            }
        }
        let Some(messages) = self.gateways[gateway].shared.take_messages(self.now) else {
            return;
        };
        self.measure(gateway, &messages.to_followers);
        if self.gateways[gateway].is_cut_off {
            return;
        }
        let source = self.gateways[gateway].source;
        if let Some(source) = source.filter(|source| !self.gateways[*source].is_cut_off) {
            self.messages.push((source, FindingOrigin::Follower, messages.to_source));
        }
        for follower in 0..GATEWAYS {
            let Gateway { source, is_cut_off, .. } = self.gateways[follower];
            if source == Some(gateway) && !is_cut_off {
                let hints = messages.to_followers.clone();
                self.messages.push((follower, FindingOrigin::Source, hints));
            }
        }
    }

    fn measure(&mut self, gateway: usize, hints: &[Hint]) {
        let name = InstanceName::new(format!("g{gateway}"));
        let own = hints.iter().map(|hint| match hint {
            Hint::TargetDown(list) | Hint::TargetUp(list) => {
                list.iter().filter(|finding| finding.gateway == name).count()
            }
            _ => 0,
        });
        let sent = &mut self.sent[gateway];
        sent.push((self.now, own.sum()));
        let now = self.now;
        sent.retain(|(at, _)| now.since(*at) < Duration::from_secs(1));
        self.max_messages = self.max_messages.max(sent.len());
        self.max_own = self.max_own.max(sent.iter().map(|(_, own)| own).sum());
    }

    /// Probes a target; returns whether it responds.
    fn probe(&mut self, gateway: usize, index: usize) -> bool {
        let Gateway { health, shared, .. } = &mut self.gateways[gateway];
        let health = health.entry(index).or_default();
        if self.is_dead[index] {
            health.note(self.now, AttemptOutcome::Unreachable);
            if self.mechanism == Mechanism::Shared {
                shared.note_unreachable(self.now, &self.targets[index]);
            }
        } else {
            health.note(self.now, AttemptOutcome::Succeeded);
            if shared.note_success(self.now, &self.targets[index]) {
                health.end_backoff(self.now);
            }
        }
        !self.is_dead[index]
    }

    /// Probes targets for a request in rounds like the daemon, until one responds.
    fn request(&mut self, gateway: usize) {
        self.requests += 1;
        let service = self.rng.random_range(0..SERVICES);
        let mut lists: [Vec<usize>; 3] = Default::default();
        for index in 0..TARGETS {
            if index / ZONES % SERVICES != service {
                continue;
            }
            let Gateway { zone, health, shared, .. } = &self.gateways[gateway];
            let is_excluded = health.get(&index).is_some_and(|h| h.is_excluded(self.now))
                || shared.is_tried_last(self.now, &self.targets[index]);
            let list = if is_excluded { 2 } else { usize::from(index % ZONES != *zone) };
            lists[list].push(index);
        }
        let instance = format!("g{gateway}");
        for list in &mut lists {
            list.sort_by_cached_key(|i| rendezvous::weight(&instance, &format!("t{i}")));
            let subset = list.len().saturating_sub(SUBSET);
            list[..subset].shuffle(&mut self.rng);
            list[subset..].shuffle(&mut self.rng);
        }
        for round in 0..MAX_PROBE_ROUNDS {
            if self.probe_round(gateway, &mut lists, round == 0) {
                return;
            }
        }
        self.failed += 1;
    }

    fn probe_round(
        &mut self,
        gateway: usize,
        [own, other, excluded]: &mut [Vec<usize>; 3],
        is_first: bool,
    ) -> bool {
        let (from_own, from_other) = if is_first { (2, 2) } else { (3, 1) };
        let mut round = own.split_off(own.len().saturating_sub(from_own));
        let from_other = if is_first { from_other - round.len() } else { from_other };
        round.extend(other.split_off(other.len().saturating_sub(from_other)));
        if round.is_empty() {
            round = excluded.split_off(excluded.len().saturating_sub(2));
        }
        let mut responding = HashSet::new();
        for index in round {
            self.tries.by_requests += usize::from(self.is_dead[index]);
            if self.probe(gateway, index) {
                responding.insert(index);
                self.used_at[index] = self.now;
            }
        }
        !responding.is_empty()
    }
}
