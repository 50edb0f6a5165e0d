//! Emulator of a fleet of gateways that exchange reports and notices, in steps of 5 ms.
//!
//! The decisions are those of the core; the choice of sources and the loss of messages are reduced
//! to what concerns quotas.

mod network;

use std::collections::{BTreeMap, BTreeSet};

use ibiscroft_core::fleet::{
    GatewayCount, OrganisationPolicy, Organisations, Quota, QuotaDecision, QuotaGate, QuotaLedger,
    QuotaNotice, QuotaReport, QuotaTolerance,
};
use ibiscroft_core::ids::OrganisationName;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use super::demand::{ORGANISATIONS, Organisation};
use super::judge::{Record, Verdict};
use crate::support::at;

/// Number of availability zones.
pub(super) const ZONES: usize = 3;
/// Length of a step, in milliseconds.
const STEP_MS: u64 = 5;
/// Part of the admitted requests that no target executes.
const NOT_EXECUTED: f64 = 0.02;
/// Time after which such a request is credited, in milliseconds.
const CREDIT_MS: u64 = 50;
/// Slack of the bound.
const SLACK: f64 = 20.0;
/// How a gateway decides.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Mechanism {
    /// `QuotaGate` and `QuotaLedger`.
    Fleet,
    /// A bucket at each gateway with the limit divided by the number of gateways.
    FixedShares,
}

#[derive(Clone, Debug)]
enum Message {
    Report(QuotaReport),
    Notice(QuotaNotice),
}

struct Gateway {
    gate: QuotaGate,
    ledger: QuotaLedger,
    /// The gateway that this one follows, `None` if it reads the store.
    source: Option<usize>,
    /// Whether a source has been chosen.
    has_chosen: bool,
    choose_at: u64,
    /// When the gateway was frozen, killed or cut off.
    failed_at: Option<u64>,
    is_running: bool,
    /// Tokens of fixed shares and when they were updated.
    fixed: BTreeMap<usize, (f64, u64)>,
    /// Messages that arrived while the gateway was frozen.
    backlog: Vec<(usize, Message)>,
}

/// Fleet, demand and clock.
pub(super) struct Emulator {
    pub(super) now_ms: u64,
    pub(super) organisations: Vec<Organisation>,
    mechanism: Mechanism,
    rng: SmallRng,
    gateways: Vec<Gateway>,
    /// Number of gateways according to the store.
    fleet: u32,
    /// Group of each gateway; gateways of different groups do not reach each other.
    groups: Vec<usize>,
    frozen: BTreeSet<usize>,
    messages: BTreeMap<(u64, u64), (usize, usize, Message)>,
    message_count: u64,
    /// Latest arrival on each connection; messages do not overtake each other.
    arrivals: BTreeMap<(usize, usize), u64>,
    credits: Vec<(u64, usize, usize, u64)>,
    names: Vec<OrganisationName>,
    configuration: Organisations,
    records: Vec<Record>,
    /// Bytes of all messages, as compact JSON, which is larger than CBOR.
    pub(super) bytes: usize,
}

impl Emulator {
    /// Creates a fleet of gateways that have just started.
    pub(super) fn new(mechanism: Mechanism, gateways: usize, seed: u64) -> Self {
        let mut rng = SmallRng::seed_from_u64(seed);
        let organisations: Vec<Organisation> =
            (0..ORGANISATIONS).map(|index| Organisation::new(index, gateways, &mut rng)).collect();
        let records = organisations.iter().map(|org| Record::new(org.quota())).collect();
        let names =
            (0..ORGANISATIONS).map(|index| OrganisationName::new(format!("org-{index}"))).collect();
        let mut emulator = Self {
            now_ms: 0,
            organisations,
            mechanism,
            rng,
            gateways: Vec::new(),
            fleet: gateways as u32,
            groups: Vec::new(),
            frozen: BTreeSet::new(),
            messages: BTreeMap::new(),
            message_count: 0,
            arrivals: BTreeMap::new(),
            credits: Vec::new(),
            names,
            configuration: Organisations::default(),
            records,
            bytes: 0,
        };
        emulator.update_configuration();
        emulator.add_gateways(gateways);
        emulator
    }

    /// Number of gateways.
    pub(super) fn gateway_count(&self) -> usize {
        self.gateways.len()
    }

    /// Starts further gateways, before the number in the store changes.
    pub(super) fn add_gateways(&mut self, count: usize) {
        for _ in 0..count {
            let gateway = self.new_gateway();
            self.gateways.push(gateway);
            self.groups.push(0);
        }
    }

    /// Sets the number of gateways in the store to the present one.
    pub(super) fn publish_gateway_count(&mut self) {
        self.fleet = self.gateways.len() as u32;
    }

    fn new_gateway(&mut self) -> Gateway {
        let tolerance = QuotaTolerance {
            window: std::time::Duration::from_secs(5),
            overage: 0.1,
            slack: SLACK,
        };
        let mut gate = QuotaGate::new(tolerance);
        gate.configure(Some(&self.configuration));
        Gateway {
            gate,
            ledger: QuotaLedger::new(tolerance),
            source: None,
            has_chosen: false,
            choose_at: self.now_ms + self.rng.random_range(0..300),
            failed_at: None,
            is_running: true,
            fixed: BTreeMap::new(),
            backlog: Vec::new(),
        }
    }

    fn update_configuration(&mut self) {
        self.configuration = Organisations::default();
        for (name, record) in self.names.iter().zip(&self.records) {
            let policy = OrganisationPolicy { priority: None, quota: Some(record.quota()) };
            self.configuration.insert(name, policy, []);
        }
        for gateway in &mut self.gateways {
            gateway.gate.configure(Some(&self.configuration));
            gateway.ledger.configure(at(self.now_ms), Some(&self.configuration));
        }
    }

    /// Multiplies the limit of an organisation.
    pub(super) fn scale_quota(&mut self, organisation: usize, factor: f64) {
        let Quota { rate, burst } = self.records[organisation].quota();
        let quota = Quota { rate: rate * factor, burst: burst * factor };
        self.records[organisation].change_quota(self.now_ms, quota);
        self.update_configuration();
    }

    /// Restarts gateways: they lose their state.
    pub(super) fn restart(&mut self, gateways: impl IntoIterator<Item = usize>) {
        for index in gateways {
            self.gateways[index] = self.new_gateway();
        }
    }

    /// Stops gateways for good; callers use the others.
    pub(super) fn kill(&mut self, gateways: impl IntoIterator<Item = usize>) {
        for index in gateways {
            self.gateways[index].is_running = false;
            self.gateways[index].failed_at = Some(self.now_ms);
            self.groups[index] = usize::MAX - index;
        }
    }

    /// Suspends a gateway.
    pub(super) fn freeze(&mut self, index: usize) {
        self.frozen.insert(index);
        self.gateways[index].failed_at = Some(self.now_ms);
    }

    /// Resumes all suspended gateways, which read the messages that arrived meanwhile.
    pub(super) fn thaw(&mut self) {
        for index in std::mem::take(&mut self.frozen) {
            self.gateways[index].failed_at = None;
            for (from, message) in std::mem::take(&mut self.gateways[index].backlog) {
                self.receive(from, index, message);
            }
        }
    }

    /// Cuts each gateway off from those in other groups.
    pub(super) fn set_groups(&mut self, group: impl Fn(usize) -> usize) {
        for index in 0..self.gateways.len() {
            if self.gateways[index].is_running {
                self.groups[index] = group(index);
            }
        }
    }

    /// Returns the gateway that reads the store, if gateways have chosen one.
    pub(super) fn root(&self) -> usize {
        (0..self.gateways.len()).find(|index| self.gateways[*index].is_running).unwrap()
    }

    /// Advances the clock.
    pub(super) fn run(&mut self, millis: u64) {
        let end = self.now_ms + millis;
        while self.now_ms < end {
            self.now_ms += STEP_MS;
            if self.now_ms.is_multiple_of(1_000) {
                self.move_demand();
            }
            self.deliver();
            self.credit();
            self.offer();
            if self.mechanism == Mechanism::Fleet {
                for index in 0..self.gateways.len() {
                    self.step(index);
                }
            }
        }
    }

    fn move_demand(&mut self) {
        let count = self.gateways.len();
        for organisation in &mut self.organisations {
            if organisation.moves {
                organisation.choose_gateways(count, &mut self.rng);
            }
        }
    }

    fn offer(&mut self) {
        for organisation in 0..ORGANISATIONS {
            let seconds = STEP_MS as f64 / 1e3;
            for index in self.organisations[organisation].requests(seconds, &mut self.rng) {
                let index = self.serving(index);
                self.offer_one(organisation, index);
            }
        }
    }

    /// Returns a gateway that accepts connections, `index` if it does.
    fn serving(&mut self, index: usize) -> usize {
        let mut index = index;
        while !self.gateways[index].is_running || self.frozen.contains(&index) {
            index = self.rng.random_range(0..self.gateways.len());
        }
        index
    }

    fn offer_one(&mut self, organisation: usize, index: usize) {
        let now = at(self.now_ms);
        let is_admitted = match self.mechanism {
            Mechanism::FixedShares => self.take_fixed(organisation, index),
            Mechanism::Fleet => {
                let random = self.rng.random();
                let name = &self.names[organisation];
                let fleet = GatewayCount(self.fleet);
                let decision = self.gateways[index].gate.admit(now, name, fleet, random);
                decision == QuotaDecision::Admitted
            }
        };
        self.records[organisation].offer(self.now_ms, is_admitted);
        if is_admitted && self.rng.random_bool(NOT_EXECUTED) {
            self.credits.push((self.now_ms + CREDIT_MS, organisation, index, self.now_ms));
        }
    }

    /// Takes a token from a bucket with a fixed share of the limit, which holds at least one token.
    fn take_fixed(&mut self, organisation: usize, index: usize) -> bool {
        let Quota { rate, burst } = self.records[organisation].quota();
        let fleet = f64::from(self.fleet);
        let depth = (burst / fleet).max(1.0);
        let now_ms = self.now_ms;
        let fixed = &mut self.gateways[index].fixed;
        let (tokens, updated) = fixed.entry(organisation).or_insert((depth, now_ms));
        let earned = (now_ms - *updated) as f64 / 1e3 * rate / fleet;
        *tokens = (*tokens + earned).min(depth);
        *updated = now_ms;
        if *tokens < 1.0 {
            return false;
        }
        *tokens -= 1.0;
        true
    }

    fn credit(&mut self) {
        let now_ms = self.now_ms;
        let due: Vec<_> = self.credits.extract_if(.., |credit| credit.0 <= now_ms).collect();
        for (_, organisation, index, admitted_ms) in due {
            self.records[organisation].withdraw(admitted_ms);
            self.gateways[index].gate.give_back(at(now_ms), &self.names[organisation]);
        }
    }

    /// Judges the requests of each organisation since `from_ms`; the bound is checked from the start.
    pub(super) fn verdicts(&self, from_ms: u64) -> Vec<Verdict> {
        self.records.iter().map(|record| record.verdict(from_ms)).collect()
    }
}
