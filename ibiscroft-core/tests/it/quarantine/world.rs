//! Model of gateways with a quarantine each, of targets that a request can crash, and of callers.

use std::collections::BTreeSet;

use ibiscroft_core::Tick;
use ibiscroft_core::ids::{RunId, TargetName};
use ibiscroft_core::quarantine::{
    Fingerprint, LOSS_PROPAGATION_TIME, Loss, Quarantine, QuarantineStatus, Trial,
};
use ibiscroft_core::selection::{Candidate, Eligibility, LoadTable, Pool};
use serde::{Deserialize, Serialize};

use crate::support::{at, ms, target, zone};
use crate::trace::Replay;

pub(crate) const GATEWAYS: usize = 4;
pub(crate) const TARGETS: usize = 8;
/// Requests with this number or a higher one crash each target that processes them.
pub(crate) const FIRST_CULPRIT: u64 = 100;
/// Maximum number of requests in flight at a target.
const TARGET_CAPACITY: usize = 6;

#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub(crate) enum Step {
    /// A caller sends a request, which goes to `target` unless it is a suspect.
    Send { gateway: usize, request: u64, target: usize },
    /// The target processes its requests in flight; its run ends if one of them is a culprit.
    Work { target: usize },
    /// The platform ends the run of the target.
    Kill { target: usize },
    /// A connection is cut while the run of its target continues.
    Cut { target: usize },
    /// A restarted target is warm again.
    Warm { target: usize },
    /// A message between gateways arrives.
    Deliver { message: usize },
    /// A message between gateways is lost.
    Drop { message: usize },
    /// All messages arrive.
    DeliverAll,
    /// Time passes.
    Advance { millis: u64 },
}

/// What happened so far.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Outcome {
    /// Number of runs ended by culprits.
    pub(crate) crashes: usize,
    /// Requests refused by a gateway at least once.
    pub(crate) refused: BTreeSet<u64>,
    /// Number of responses.
    pub(crate) answered: usize,
}

#[derive(Debug)]
struct Running {
    gateway: usize,
    request: u64,
    _trial: Option<Trial>,
}

#[derive(Clone, Debug)]
enum Notification {
    Lost(Loss),
    Answered(Fingerprint),
}

#[derive(Clone, Debug)]
struct Message {
    to: usize,
    sent_at: Tick,
    notification: Notification,
}

#[derive(Debug, Default)]
struct Server {
    run: u64,
    is_cold: bool,
    running: Vec<Running>,
}

pub(crate) struct World {
    now: Tick,
    gateways: Vec<Quarantine>,
    servers: Vec<Server>,
    messages: Vec<Message>,
    outcome: Outcome,
    first_crash: Option<Tick>,
    /// Targets and runs that a culprit was sent to after all gateways were notified of the first
    /// crash.
    pub(crate) late_runs: BTreeSet<(usize, u64)>,
    /// Innocent requests in flight at each crash that have received no response since.
    crash_groups: Vec<BTreeSet<u64>>,
    /// Number of crashes after which an innocent request had been in flight at every crash so far.
    pub(crate) ambiguous_crashes: usize,
    /// Whether messages arrive within the propagation time.
    pub(crate) is_delivery_prompt: bool,
    /// Requests that were in flight when the platform ended the run of their target.
    pub(crate) killed_with: BTreeSet<u64>,
}

impl Default for World {
    fn default() -> Self {
        Self {
            now: at(1_000),
            gateways: (0..GATEWAYS).map(|_| Quarantine::default()).collect(),
            servers: (0..TARGETS).map(|_| Server::default()).collect(),
            messages: Vec::new(),
            outcome: Outcome::default(),
            first_crash: None,
            late_runs: BTreeSet::new(),
            crash_groups: Vec::new(),
            ambiguous_crashes: 0,
            is_delivery_prompt: true,
            killed_with: BTreeSet::new(),
        }
    }
}

impl Replay for World {
    type Step = Step;
    type Outcome = Outcome;

    fn step(&mut self, step: &Step) {
        match *step {
            Step::Send { gateway, request, target } => self.send(gateway, request, target),
            Step::Work { target } => self.work(target),
            Step::Kill { target } => {
                let killed = self.servers[target].running.iter().map(|running| running.request);
                self.killed_with.extend(killed);
                self.end_run(target);
            }
            Step::Cut { target } => self.cut(target),
            Step::Warm { target } => self.servers[target].is_cold = false,
            Step::Deliver { message } => {
                if let Some(message) = self.take_message(message) {
                    self.deliver(message);
                }
            }
            Step::Drop { message } => drop(self.take_message(message)),
            Step::DeliverAll => {
                for message in std::mem::take(&mut self.messages) {
                    self.deliver(message);
                }
            }
            Step::Advance { millis } => self.advance(millis),
        }
    }

    fn outcome(&self) -> Outcome {
        self.outcome.clone()
    }
}

impl World {
    /// Returns the status of `request` at `gateway`.
    pub(crate) fn status(&self, gateway: usize, request: u64) -> QuarantineStatus {
        self.gateways[gateway].status(self.now, fingerprint(request))
    }

    fn send(&mut self, gateway: usize, request: u64, chosen: usize) {
        let fingerprint = fingerprint(request);
        let status = self.gateways[gateway].status(self.now, fingerprint);
        let snapshot = self.gateways[gateway].snapshot(self.now);
        let snapshot_status = snapshot.status(self.now, fingerprint);
        assert!(
            snapshot_status == status || snapshot_status == QuarantineStatus::Clear,
            "the snapshot has {snapshot_status:?} instead of {status:?}"
        );
        let mut trial = None;
        let target = match status {
            QuarantineStatus::Refused { .. } => {
                self.outcome.refused.insert(request);
                return;
            }
            QuarantineStatus::Held { .. } => return,
            QuarantineStatus::Suspect(placement) => {
                trial = snapshot.begin_trial(fingerprint);
                self.pool().trial_target(placement).filter(|_| trial.is_some())
            }
            QuarantineStatus::Clear => Some(chosen).filter(|target| !self.servers[*target].is_cold),
        };
        if let Some(target) = target
            && self.servers[target].running.len() < TARGET_CAPACITY
        {
            self.servers[target].running.push(Running { gateway, request, _trial: trial });
            let is_late = self.first_crash.is_some_and(|at| self.now >= at + LOSS_PROPAGATION_TIME);
            if is_late && request >= FIRST_CULPRIT {
                self.late_runs.insert((target, self.servers[target].run));
            }
        }
    }

    fn advance(&mut self, millis: u64) {
        let now = self.now + ms(millis);
        if self.is_delivery_prompt {
            let is_due = |message: &mut Message| now >= message.sent_at + LOSS_PROPAGATION_TIME;
            let due: Vec<Message> = self.messages.extract_if(.., is_due).collect();
            due.into_iter().for_each(|message| self.deliver(message));
        }
        self.now = now;
        self.gateways.iter_mut().for_each(|gateway| gateway.expire(now));
    }

    fn work(&mut self, target: usize) {
        let is_culprit = |running: &Running| running.request >= FIRST_CULPRIT;
        if self.servers[target].running.iter().any(is_culprit) {
            self.outcome.crashes += 1;
            self.note_crash(target);
            return self.end_run(target);
        }
        for Running { gateway, request, .. } in std::mem::take(&mut self.servers[target].running) {
            self.outcome.answered += 1;
            for group in &mut self.crash_groups {
                group.remove(&request);
            }
            let name = target_name(target);
            let run = self.run(target);
            self.gateways[gateway].note_run_alive(&name, &run);
            if self.gateways[gateway].note_response(fingerprint(request)) {
                self.broadcast(gateway, &Notification::Answered(fingerprint(request)));
            }
        }
    }

    fn note_crash(&mut self, target: usize) {
        self.first_crash.get_or_insert(self.now);
        let group = self.servers[target].running.iter().map(|running| running.request);
        self.crash_groups.push(group.filter(|request| *request < FIRST_CULPRIT).collect());
        let (first, rest) = self.crash_groups.split_first().expect("a group was pushed above");
        let mut shared = first.clone();
        rest.iter().for_each(|group| shared.retain(|request| group.contains(request)));
        self.ambiguous_crashes += usize::from(!rest.is_empty() && !shared.is_empty());
    }

    fn end_run(&mut self, target: usize) {
        let (name, run) = (target_name(target), self.run(target));
        for Running { gateway, request, .. } in std::mem::take(&mut self.servers[target].running) {
            let loss =
                Loss { fingerprint: fingerprint(request), target: name.clone(), run: run.clone() };
            self.gateways[gateway].note_connection_lost(self.now, loss);
        }
        for gateway in 0..GATEWAYS {
            for loss in self.gateways[gateway].note_run_ended(self.now, &name, &run) {
                self.broadcast(gateway, &Notification::Lost(loss));
            }
        }
        self.servers[target].run += 1;
        self.servers[target].is_cold = true;
    }

    fn cut(&mut self, target: usize) {
        let (name, run) = (target_name(target), self.run(target));
        let Some(Running { gateway, request, .. }) = self.servers[target].running.pop() else {
            return;
        };
        let loss =
            Loss { fingerprint: fingerprint(request), target: name.clone(), run: run.clone() };
        self.gateways[gateway].note_connection_lost(self.now, loss);
        self.gateways[gateway].note_run_alive(&name, &run);
    }

    fn broadcast(&mut self, from: usize, notification: &Notification) {
        let others = (0..GATEWAYS).filter(|gateway| *gateway != from);
        let sent_at = self.now;
        self.messages.extend(others.map(|to| Message {
            to,
            sent_at,
            notification: notification.clone(),
        }));
    }

    fn deliver(&mut self, message: Message) {
        let gateway = &mut self.gateways[message.to];
        match message.notification {
            Notification::Lost(loss) => gateway.note_peer_loss(self.now, &loss),
            Notification::Answered(fingerprint) => gateway.note_peer_response(fingerprint),
        }
    }

    fn take_message(&mut self, index: usize) -> Option<Message> {
        let index = index.checked_rem(self.messages.len())?;
        Some(self.messages.swap_remove(index))
    }

    fn run(&self, target: usize) -> RunId {
        RunId::new(format!("run-{}", self.servers[target].run))
    }

    fn pool(&self) -> Pool {
        let mut loads = LoadTable::default();
        let mut candidates = Vec::new();
        for (index, server) in self.servers.iter().enumerate() {
            let target = target(index);
            let load = loads.entry(&target.name);
            let eligibility = if server.is_cold { Eligibility::Cold } else { Eligibility::Warm };
            candidates.push(Candidate { target, eligibility, load });
        }
        Pool::new(&zone(0), candidates)
    }
}

/// Hashes the number, so that culprits do not always sort last.
fn fingerprint(request: u64) -> Fingerprint {
    Fingerprint::new([request.to_le_bytes()])
}

fn target_name(index: usize) -> TargetName {
    target(index).name
}
