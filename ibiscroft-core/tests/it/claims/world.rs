//! Several claim books, a store that can fail in every way, and a backend server that counts.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use ibiscroft_core::Tick;
use ibiscroft_core::claims::{
    ClaimAction, ClaimCoordinator, ClaimEvent, ClaimId, ClaimLimits, ClaimVerdict, ClockReading,
    Fingerprint, Page, PageId, StoredResponse, TimedKey, UnixMillis,
};
use ibiscroft_core::ids::StoreVersion;

use super::step::{Order, Step, is_not_run};

/// Gateways in the world.
pub(crate) const GATEWAYS: usize = 4;
/// Wall-clock time at the start.
const START: u64 = 1_733_270_400_000;
/// How far each gateway's wall clock runs ahead, in milliseconds.
const WALL_AHEAD: [u64; GATEWAYS] = [0, 40, 3_000, 9_000];
/// How long callers wait.
const PATIENCE: Duration = Duration::from_secs(5);

#[derive(Debug)]
struct Call {
    gateway: usize,
    run: u64,
    page: PageId,
    write: Option<(StoreVersion, Page)>,
    answer: Option<ClaimEvent>,
    is_awaited: bool,
}

#[derive(Debug)]
struct Gateway {
    coordinator: ClaimCoordinator,
    run: u64,
    is_paused: bool,
    held: Vec<ClaimEvent>,
}

/// The system under test with its surroundings.
#[derive(Debug)]
pub(crate) struct World {
    now: Tick,
    gateways: Vec<Gateway>,
    calls: Vec<Call>,
    pages: BTreeMap<PageId, (StoreVersion, Page)>,
    revision: u64,
    runs_started: u64,
    pub(crate) orders: Vec<Order>,
    /// How often each key ran.
    pub(crate) runs: BTreeMap<usize, u32>,
    /// Body of the order that ran for each key.
    pub(crate) ran_body: BTreeMap<usize, u64>,
    /// Keys whose outcome may be unknown: a connection or a gateway was lost in between.
    pub(crate) doubtful: BTreeSet<usize>,
}

impl World {
    pub(crate) fn new() -> Self {
        let mut world = Self {
            now: Tick::ZERO,
            gateways: Vec::new(),
            calls: Vec::new(),
            pages: BTreeMap::new(),
            revision: 0,
            runs_started: 0,
            orders: Vec::new(),
            runs: BTreeMap::new(),
            ran_body: BTreeMap::new(),
            doubtful: BTreeSet::new(),
        };
        for _ in 0..GATEWAYS {
            let gateway = world.start_gateway();
            world.gateways.push(gateway);
        }
        world
    }

    pub(crate) fn step(&mut self, step: &Step) {
        match *step {
            Step::Submit { gateway, key, body } => self.submit(gateway % GATEWAYS, key, body),
            Step::Withdraw { order } => self.withdraw(order),
            Step::Apply { call } => self.apply(call),
            Step::Deliver { call } => self.deliver(call),
            Step::TimeOut { call } => self.time_out(call),
            Step::Drop { call } => self.drop_call(call),
            Step::Send { order } => self.send(order),
            Step::ConnectFail { order } => self.connect_fail(order),
            Step::Answer { order } => self.end_sent(order, true),
            Step::Lose { order } => self.end_sent(order, false),
            Step::Pause { gateway } => self.gateways[gateway % GATEWAYS].is_paused = true,
            Step::Resume { gateway } => self.resume(gateway % GATEWAYS),
            Step::Kill { gateway } => self.kill(gateway % GATEWAYS),
            Step::Advance { millis } => self.advance(millis),
        }
    }

    /// Lets everything work again until nothing is left to do.
    pub(crate) fn heal(&mut self) {
        for gateway in 0..GATEWAYS {
            self.resume(gateway);
        }
        for _ in 0..400 {
            self.run_calls();
            while let Some(order) = self.pick(0, |order| order.is_ready()) {
                self.send_order(order);
            }
            while let Some(order) = self.pick(0, |order| order.is_running()) {
                self.end_order(order, true);
            }
            self.advance(100);
            let is_decided = self.orders.iter().all(|order| order.is_over);
            if is_decided && self.calls.is_empty() && self.left_over() == 0 {
                return;
            }
        }
    }

    /// Returns the orders and operations that the gateways still hold.
    pub(crate) fn left_over(&self) -> usize {
        self.gateways.iter().map(|gateway| gateway.coordinator.open_claims()).sum()
    }

    /// Sends an order through a gateway while everything works and returns the verdict.
    pub(crate) fn probe(&mut self, gateway: usize, key: usize, body: u64) -> ClaimVerdict {
        let index = self.orders.len();
        self.submit(gateway, key, body);
        self.heal();
        self.orders[index].verdict.clone().expect("a healed world decides")
    }

    fn start_gateway(&mut self) -> Gateway {
        self.runs_started += 1;
        let limits = ClaimLimits::for_fleet(4);
        Gateway {
            coordinator: ClaimCoordinator::new(limits, self.runs_started),
            run: self.runs_started,
            is_paused: false,
            held: Vec::new(),
        }
    }

    fn submit(&mut self, gateway: usize, key: usize, body: u64) {
        let id = ClaimId(u64::try_from(self.orders.len()).unwrap());
        self.orders.push(Order {
            gateway,
            run: self.gateways[gateway].run,
            key,
            body,
            verdict: None,
            is_sent: false,
            told_not_run: false,
            is_over: false,
        });
        let event = ClaimEvent::Arrived {
            id,
            key: timed_key(key),
            fingerprint: Fingerprint(body),
            deadline: self.now + PATIENCE,
        };
        self.feed(gateway, event);
    }

    fn withdraw(&mut self, order: usize) {
        let Some(index) = self.pick(order, |order| order.verdict.is_none()) else {
            return;
        };
        self.feed_order(index, ClaimEvent::Cancelled { id: claim_id(index) });
    }

    fn apply(&mut self, call: usize) {
        let waiting: Vec<usize> =
            (0..self.calls.len()).filter(|index| self.calls[*index].answer.is_none()).collect();
        let Some(index) = nth(&waiting, call) else {
            return;
        };
        let page = self.calls[index].page;
        let found = self.pages.get(&page).cloned().unwrap_or_default();
        let answer = match self.calls[index].write.take() {
            None => ClaimEvent::PageRead { page, version: found.0, content: found.1 },
            Some((expected, _)) if expected != found.0 => ClaimEvent::PageConflict { page },
            Some((_, content)) => {
                self.revision += 1;
                let version = StoreVersion(self.revision);
                self.pages.insert(page, (version, content));
                ClaimEvent::PageWritten { page, version }
            }
        };
        self.calls[index].answer = Some(answer);
        if !self.calls[index].is_awaited {
            self.calls.remove(index);
        }
    }

    fn deliver(&mut self, call: usize) {
        let answered: Vec<usize> =
            (0..self.calls.len()).filter(|index| self.calls[*index].answer.is_some()).collect();
        let Some(index) = nth(&answered, call) else {
            return;
        };
        let call = self.calls.remove(index);
        let event = call.answer.expect("only answered calls were picked");
        self.feed_run(call.gateway, call.run, event);
    }

    fn time_out(&mut self, call: usize) {
        let awaited: Vec<usize> =
            (0..self.calls.len()).filter(|index| self.calls[*index].is_awaited).collect();
        let Some(index) = nth(&awaited, call) else {
            return;
        };
        self.calls[index].is_awaited = false;
        let call = &self.calls[index];
        let (gateway, run, page) = (call.gateway, call.run, call.page);
        let is_write = call.write.is_some()
            || !matches!(call.answer, None | Some(ClaimEvent::PageRead { .. }));
        if call.answer.is_some() || !is_write {
            self.calls.remove(index);
        }
        let event = match is_write {
            true => ClaimEvent::PageWriteLost { page },
            false => ClaimEvent::PageReadFailed { page },
        };
        self.feed_run(gateway, run, event);
    }

    fn drop_call(&mut self, call: usize) {
        let stray: Vec<usize> =
            (0..self.calls.len()).filter(|index| !self.calls[*index].is_awaited).collect();
        if let Some(index) = nth(&stray, call) {
            self.calls.remove(index);
        }
    }

    fn send(&mut self, order: usize) {
        let picked = self.pick(order, |order| order.is_ready());
        let Some(index) = picked.filter(|index| self.is_alive(*index)) else {
            return;
        };
        self.send_order(index);
    }

    fn send_order(&mut self, index: usize) {
        let order = &mut self.orders[index];
        order.is_sent = true;
        *self.runs.entry(order.key).or_default() += 1;
        self.ran_body.insert(order.key, order.body);
    }

    fn connect_fail(&mut self, order: usize) {
        let picked = self.pick(order, |order| order.is_ready());
        let Some(index) = picked.filter(|index| self.is_alive(*index)) else {
            return;
        };
        self.orders[index].told_not_run = true;
        self.orders[index].is_over = true;
        self.feed_order(index, ClaimEvent::NotRun { id: claim_id(index) });
    }

    fn end_sent(&mut self, order: usize, is_answered: bool) {
        if let Some(index) = self.pick(order, |order| order.is_running()) {
            self.end_order(index, is_answered);
        }
    }

    fn end_order(&mut self, index: usize, is_answered: bool) {
        self.orders[index].is_over = true;
        if !is_answered {
            self.doubtful.insert(self.orders[index].key);
        }
        let id = claim_id(index);
        let response = answer_to(self.orders[index].key);
        let event = match is_answered {
            true => ClaimEvent::ResponseReceived { id, response },
            false => ClaimEvent::ResponseLost { id },
        };
        self.feed_order(index, event);
    }

    fn resume(&mut self, gateway: usize) {
        self.gateways[gateway].is_paused = false;
        for event in std::mem::take(&mut self.gateways[gateway].held) {
            self.feed(gateway, event);
        }
    }

    fn kill(&mut self, gateway: usize) {
        self.gateways[gateway] = self.start_gateway();
        let run = self.gateways[gateway].run;
        for order in &mut self.orders {
            let is_gone = order.gateway == gateway && order.run != run;
            order.is_over |= is_gone;
            if order.gateway == gateway {
                self.doubtful.insert(order.key);
            }
        }
        for call in &mut self.calls {
            call.is_awaited &= call.gateway != gateway;
        }
        self.calls.retain(|call| call.is_awaited || call.answer.is_none());
    }

    fn advance(&mut self, millis: u64) {
        self.now = self.now + Duration::from_millis(millis);
        for gateway in 0..GATEWAYS {
            if !self.gateways[gateway].is_paused {
                self.feed(gateway, ClaimEvent::Tick);
            }
        }
    }

    fn run_calls(&mut self) {
        for _ in 0..200 {
            if self.calls.is_empty() {
                return;
            }
            self.apply(0);
            self.deliver(0);
        }
    }

    fn feed_order(&mut self, index: usize, event: ClaimEvent) {
        let (gateway, run) = (self.orders[index].gateway, self.orders[index].run);
        self.feed_run(gateway, run, event);
    }

    fn feed_run(&mut self, gateway: usize, run: u64, event: ClaimEvent) {
        if self.gateways[gateway].run == run {
            self.feed(gateway, event);
        }
    }

    fn feed(&mut self, gateway: usize, event: ClaimEvent) {
        let at = ClockReading { now: self.now, wall: self.wall(gateway) };
        let target = &mut self.gateways[gateway];
        if target.is_paused {
            target.held.push(event);
            return;
        }
        let actions = target.coordinator.handle(event, at);
        for action in actions {
            self.act(gateway, action);
        }
    }

    fn act(&mut self, gateway: usize, action: ClaimAction) {
        let run = self.gateways[gateway].run;
        let (page, write) = match action {
            ClaimAction::ReadPage { page } => (page, None),
            ClaimAction::WritePage { page, expected, content } => (page, Some((expected, content))),
            ClaimAction::Decide { id, verdict } => {
                self.decide(usize::try_from(id.get()).unwrap(), verdict);
                return;
            }
        };
        self.calls.push(Call { gateway, run, page, write, answer: None, is_awaited: true });
    }

    fn decide(&mut self, index: usize, verdict: ClaimVerdict) {
        let order = &mut self.orders[index];
        assert_eq!(order.verdict, None, "order {index} was decided twice");
        order.told_not_run |= is_not_run(&verdict);
        order.is_over = verdict != ClaimVerdict::Proceed;
        order.verdict = Some(verdict);
    }

    fn wall(&self, gateway: usize) -> UnixMillis {
        UnixMillis(START + self.now.as_micros() / 1_000 + WALL_AHEAD[gateway])
    }

    fn is_alive(&self, index: usize) -> bool {
        let gateway = &self.gateways[self.orders[index].gateway];
        gateway.run == self.orders[index].run && !gateway.is_paused
    }

    fn pick(&self, number: usize, wanted: impl Fn(&Order) -> bool) -> Option<usize> {
        let fitting: Vec<usize> =
            (0..self.orders.len()).filter(|index| wanted(&self.orders[*index])).collect();
        nth(&fitting, number)
    }
}

/// Returns the answer of the backend server to the order of `key`.
pub(crate) fn answer_to(key: usize) -> StoredResponse {
    StoredResponse {
        status: 201,
        content_type: String::new(),
        body: Some(format!("stamp {key}").into_bytes()),
    }
}

fn timed_key(key: usize) -> TimedKey {
    format!("{}-{key}", START + u64::try_from(key).unwrap()).parse().unwrap()
}

fn claim_id(index: usize) -> ClaimId {
    ClaimId(u64::try_from(index).unwrap())
}

fn nth(indices: &[usize], number: usize) -> Option<usize> {
    if indices.is_empty() { None } else { Some(indices[number % indices.len()]) }
}
