//! Simulation of gateways with claim coordinators, a faulty store and a backend server.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use ibiscroft_core::Tick;
use ibiscroft_core::claims::{
    ClaimAction, ClaimCoordinator, ClaimEvent, ClaimId, ClaimLimits, ClaimVerdict, ClockReading,
    Fingerprint, Page, PageId, StoredResponse, TimedKey, UnixMillis,
};
use ibiscroft_core::ids::StoreVersion;

use super::step::{Request, Step, means_not_run};

/// Number of gateways.
pub(crate) const GATEWAYS: usize = 4;
/// Wall-clock time at the start, in milliseconds since the Unix epoch.
const START_UNIX_MS: u64 = 1_733_270_400_000;
/// How far the wall clock of each gateway is ahead, in milliseconds.
const WALL_CLOCK_AHEAD_MS: [u64; GATEWAYS] = [0, 40, 3_000, 9_000];
/// Time from the arrival of a request to its deadline.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(5);

/// A store call: a write if `write` is set when the call is sent, otherwise a read.
#[derive(Debug)]
struct Call {
    gateway: usize,
    run: u64,
    page: PageId,
    /// Expected version and new content of a write, until the write takes effect.
    write: Option<(StoreVersion, Page)>,
    /// Result, once the call took effect.
    response: Option<ClaimEvent>,
    /// Whether the gateway run that sent the call still waits for the response.
    is_awaited: bool,
}

#[derive(Debug)]
struct Gateway {
    coordinator: ClaimCoordinator,
    /// Number of the gateway's run, unique among all gateways.
    run: u64,
    is_paused: bool,
    queued_events: Vec<ClaimEvent>,
}

/// The coordinators under test and their simulated environment.
#[derive(Debug)]
pub(crate) struct World {
    now: Tick,
    gateways: Vec<Gateway>,
    calls: Vec<Call>,
    pages: BTreeMap<PageId, (StoreVersion, Page)>,
    /// Version of the last page write.
    revision: u64,
    runs_started: u64,
    pub(crate) requests: Vec<Request>,
    /// Number of executions of each key.
    pub(crate) executions: BTreeMap<usize, u32>,
    /// Body of the request that ran, for each key.
    pub(crate) executed_body: BTreeMap<usize, u64>,
    /// Keys whose outcome may be unknown, because a connection or a gateway was lost.
    pub(crate) uncertain_keys: BTreeSet<usize>,
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
            requests: Vec::new(),
            executions: BTreeMap::new(),
            executed_body: BTreeMap::new(),
            uncertain_keys: BTreeSet::new(),
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
            Step::Withdraw { order } => self.cancel(order),
            Step::Apply { call } => self.apply(call),
            Step::Deliver { call } => self.deliver(call),
            Step::TimeOut { call } => self.time_out(call),
            Step::Drop { call } => self.drop_abandoned_call(call),
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

    /// Resumes all gateways and runs the simulation without faults until every request is
    /// finished and no claim is open.
    pub(crate) fn recover(&mut self) {
        for gateway in 0..GATEWAYS {
            self.resume(gateway);
        }
        for _ in 0..400 {
            self.run_calls();
            while let Some(request) = self.pick(0, |request| request.is_ready()) {
                self.run_request(request);
            }
            while let Some(request) = self.pick(0, |request| request.is_running()) {
                self.end_request(request, true);
            }
            self.advance(100);
            let all_finished = self.requests.iter().all(|request| request.is_finished);
            if all_finished && self.calls.is_empty() && self.open_claims() == 0 {
                return;
            }
        }
    }

    /// Returns the number of open claims at all gateways.
    pub(crate) fn open_claims(&self) -> usize {
        self.gateways.iter().map(|gateway| gateway.coordinator.open_claims()).sum()
    }

    /// Sends a request through a gateway without faults and returns the verdict.
    pub(crate) fn submit_and_recover(
        &mut self,
        gateway: usize,
        key: usize,
        body: u64,
    ) -> ClaimVerdict {
        let index = self.requests.len();
        self.submit(gateway, key, body);
        self.recover();
        self.requests[index].verdict.clone().expect("a verdict after recovery")
    }

    fn start_gateway(&mut self) -> Gateway {
        self.runs_started += 1;
        let limits = ClaimLimits::for_fleet(4);
        Gateway {
            coordinator: ClaimCoordinator::new(limits, self.runs_started),
            run: self.runs_started,
            is_paused: false,
            queued_events: Vec::new(),
        }
    }

    fn submit(&mut self, gateway: usize, key: usize, body: u64) {
        let id = ClaimId(u64::try_from(self.requests.len()).unwrap());
        self.requests.push(Request {
            gateway,
            run: self.gateways[gateway].run,
            key,
            body,
            verdict: None,
            is_sent: false,
            reported_not_run: false,
            is_finished: false,
        });
        let event = ClaimEvent::Arrived {
            id,
            key: timed_key(key),
            fingerprint: Fingerprint(body),
            deadline: self.now + REQUEST_TIMEOUT,
        };
        self.feed(gateway, event);
    }

    fn cancel(&mut self, request: usize) {
        let Some(index) = self.pick(request, |request| request.verdict.is_none()) else {
            return;
        };
        self.feed_request(index, ClaimEvent::Cancelled { id: claim_id(index) });
    }

    fn apply(&mut self, call: usize) {
        let waiting: Vec<usize> =
            (0..self.calls.len()).filter(|index| self.calls[*index].response.is_none()).collect();
        let Some(index) = nth(&waiting, call) else {
            return;
        };
        let page = self.calls[index].page;
        let stored = self.pages.get(&page).cloned().unwrap_or_default();
        let response = match self.calls[index].write.take() {
            None => ClaimEvent::PageRead { page, version: stored.0, content: stored.1 },
            Some((expected, _)) if expected != stored.0 => ClaimEvent::PageConflict { page },
            Some((_, content)) => {
                self.revision += 1;
                let version = StoreVersion(self.revision);
                self.pages.insert(page, (version, content));
                ClaimEvent::PageWritten { page, version }
            }
        };
        self.calls[index].response = Some(response);
        if !self.calls[index].is_awaited {
            self.calls.remove(index);
        }
    }

    fn deliver(&mut self, call: usize) {
        let responded: Vec<usize> =
            (0..self.calls.len()).filter(|index| self.calls[*index].response.is_some()).collect();
        let Some(index) = nth(&responded, call) else {
            return;
        };
        let call = self.calls.remove(index);
        let event = call.response.expect("the call has a response");
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
            || !matches!(call.response, None | Some(ClaimEvent::PageRead { .. }));
        if call.response.is_some() || !is_write {
            self.calls.remove(index);
        }
        let event = match is_write {
            true => ClaimEvent::PageWriteLost { page },
            false => ClaimEvent::PageReadFailed { page },
        };
        self.feed_run(gateway, run, event);
    }

    fn drop_abandoned_call(&mut self, call: usize) {
        let abandoned: Vec<usize> =
            (0..self.calls.len()).filter(|index| !self.calls[*index].is_awaited).collect();
        if let Some(index) = nth(&abandoned, call) {
            self.calls.remove(index);
        }
    }

    fn send(&mut self, request: usize) {
        let picked = self.pick(request, |request| request.is_ready());
        let Some(index) = picked.filter(|index| self.is_alive(*index)) else {
            return;
        };
        self.run_request(index);
    }

    fn run_request(&mut self, index: usize) {
        let request = &mut self.requests[index];
        request.is_sent = true;
        *self.executions.entry(request.key).or_default() += 1;
        self.executed_body.insert(request.key, request.body);
    }

    fn connect_fail(&mut self, request: usize) {
        let picked = self.pick(request, |request| request.is_ready());
        let Some(index) = picked.filter(|index| self.is_alive(*index)) else {
            return;
        };
        self.requests[index].reported_not_run = true;
        self.requests[index].is_finished = true;
        self.feed_request(index, ClaimEvent::NotRun { id: claim_id(index) });
    }

    fn end_sent(&mut self, request: usize, has_response: bool) {
        if let Some(index) = self.pick(request, |request| request.is_running()) {
            self.end_request(index, has_response);
        }
    }

    fn end_request(&mut self, index: usize, has_response: bool) {
        self.requests[index].is_finished = true;
        if !has_response {
            self.uncertain_keys.insert(self.requests[index].key);
        }
        let id = claim_id(index);
        let response = response_for(self.requests[index].key);
        let event = match has_response {
            true => ClaimEvent::ResponseReceived { id, response },
            false => ClaimEvent::ResponseLost { id },
        };
        self.feed_request(index, event);
    }

    fn resume(&mut self, gateway: usize) {
        self.gateways[gateway].is_paused = false;
        for event in std::mem::take(&mut self.gateways[gateway].queued_events) {
            self.feed(gateway, event);
        }
    }

    fn kill(&mut self, gateway: usize) {
        self.gateways[gateway] = self.start_gateway();
        let run = self.gateways[gateway].run;
        for request in &mut self.requests {
            let is_gone = request.gateway == gateway && request.run != run;
            request.is_finished |= is_gone;
            if request.gateway == gateway {
                self.uncertain_keys.insert(request.key);
            }
        }
        for call in &mut self.calls {
            call.is_awaited &= call.gateway != gateway;
        }
        self.calls.retain(|call| call.is_awaited || call.response.is_none());
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

    fn feed_request(&mut self, index: usize, event: ClaimEvent) {
        let (gateway, run) = (self.requests[index].gateway, self.requests[index].run);
        self.feed_run(gateway, run, event);
    }

    /// Passes an event to a gateway if that is still in its run `run`.
    fn feed_run(&mut self, gateway: usize, run: u64, event: ClaimEvent) {
        if self.gateways[gateway].run == run {
            self.feed(gateway, event);
        }
    }

    /// Passes an event to a gateway, or queues it while the gateway is paused.
    fn feed(&mut self, gateway: usize, event: ClaimEvent) {
        let at = ClockReading { now: self.now, wall: self.wall(gateway) };
        let target = &mut self.gateways[gateway];
        if target.is_paused {
            target.queued_events.push(event);
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
        self.calls.push(Call { gateway, run, page, write, response: None, is_awaited: true });
    }

    fn decide(&mut self, index: usize, verdict: ClaimVerdict) {
        let request = &mut self.requests[index];
        assert_eq!(request.verdict, None, "request {index} was decided twice");
        request.reported_not_run |= means_not_run(&verdict);
        request.is_finished = verdict != ClaimVerdict::Proceed;
        request.verdict = Some(verdict);
    }

    fn wall(&self, gateway: usize) -> UnixMillis {
        UnixMillis(START_UNIX_MS + self.now.as_micros() / 1_000 + WALL_CLOCK_AHEAD_MS[gateway])
    }

    /// Returns whether the gateway run of a request still exists and is not paused.
    fn is_alive(&self, index: usize) -> bool {
        let gateway = &self.gateways[self.requests[index].gateway];
        gateway.run == self.requests[index].run && !gateway.is_paused
    }

    /// Returns the index of the `number`th request that matches, modulo the number of matches.
    fn pick(&self, number: usize, matches: impl Fn(&Request) -> bool) -> Option<usize> {
        let matching: Vec<usize> =
            (0..self.requests.len()).filter(|index| matches(&self.requests[*index])).collect();
        nth(&matching, number)
    }
}

/// Returns the response of the backend server to a request with `key`.
pub(crate) fn response_for(key: usize) -> StoredResponse {
    StoredResponse {
        status: 201,
        content_type: String::new(),
        body: Some(format!("stamp {key}").into_bytes()),
    }
}

fn timed_key(key: usize) -> TimedKey {
    format!("{}-{key}", START_UNIX_MS + u64::try_from(key).unwrap()).parse().unwrap()
}

fn claim_id(index: usize) -> ClaimId {
    ClaimId(u64::try_from(index).unwrap())
}

fn nth(indices: &[usize], number: usize) -> Option<usize> {
    if indices.is_empty() { None } else { Some(indices[number % indices.len()]) }
}
