//! Chooses a target by asking a few of them right before the send.

mod candidates;

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, HeaderValue, Method, header};
use http_body_util::BodyExt;
use ibiscroft_core::fleet::{
    AttemptOutcome, ColdTargetQuota, GatewayCount, MAX_PROBE_ROUNDS, ProbeDecision, ProbeReport,
    ProbeSelection, Repeatable, SaturationSlowdown, Target, View,
};
use ibiscroft_core::ids::TargetName;
use tokio::sync::mpsc;
use tokio::time::Instant;

use self::candidates::Candidates;
use crate::dialect::{Dialect, ProbeResponse};
use crate::events::event;
use crate::exchange::Exchange;
use crate::link::{self, Link};
use crate::shared::Shared;

/// Wait for answers before further targets are asked: a few round trips between zones and a new
/// connection.
const PATIENCE: Duration = Duration::from_millis(25);
/// Longest wait for a target's answer; longer than a slow link of the gateway's own holds it up.
const ANSWER_LIMIT: Duration = Duration::from_millis(150);
/// Cost of the way to another zone, in units of a request's usual time.
const CROSSING_COST: f64 = 0.4;
/// The same for large answers, whose bytes hold the link between the zones.
const LARGE_CROSSING_COST: f64 = 1.5;

/// A target that was chosen, with the connection on which it answered.
#[derive(Debug)]
pub(super) struct Chosen {
    /// The target.
    pub(super) target: Target,
    /// The connection.
    pub(super) link: Link,
    /// What the target said.
    pub(super) report: ProbeReport,
    /// Expected time, in units of a request's usual time.
    pub(super) cost: f64,
    /// Targets that were asked.
    pub(super) asked: usize,
}

/// Why no target was chosen.
#[derive(Debug)]
pub(super) struct NoneChosen {
    /// Usable targets of the service.
    pub(super) usable: usize,
    /// Targets that were asked.
    pub(super) asked: usize,
}

/// Why a target gave no usable answer.
struct Unreachable {
    /// Whether its process has ended, as far as a refused connection shows.
    is_ended: bool,
    /// What was seen.
    detail: String,
}

impl Unreachable {
    fn silent(detail: String) -> Self {
        Self { is_ended: false, detail }
    }
}

/// What became of a question to a target.
struct Asked {
    index: usize,
    result: Result<(Link, ProbeReport), Unreachable>,
}

/// Chooses the target for a request.
pub(super) async fn select<D: Dialect>(
    shared: &Arc<Shared>,
    ex: &Exchange,
    tried: &[TargetName],
) -> Result<Chosen, NoneChosen> {
    let began = shared.clock.now();
    let view = shared.view.load_full();
    let mut candidates = Candidates::new(shared, &view, ex, tried);
    let usable = candidates.len();
    let mut round = Round::new(shared.local().crowding(&ex.service));
    for number in 0..MAX_PROBE_ROUNDS {
        let asked = candidates.next_round(round.targets.is_empty());
        let is_last = asked.is_empty();
        candidates.put_back(round.ask::<D>(shared, ex, asked));
        round.collect(shared, &view, ex, if is_last { ANSWER_LIMIT } else { PATIENCE }).await;
        if is_last || round.probing.accepts_best(number) {
            break;
        }
    }
    round.close(shared);
    let took = shared.clock.now().since(began);
    shared.metrics.selection.observe(took.as_secs_f64());
    let asked = round.targets.len();
    let chosen = round.into_chosen(shared, &view);
    chosen.ok_or(NoneChosen { usable, asked })
}

/// The targets that one request asked, and their answers.
struct Round {
    targets: Vec<Target>,
    links: Vec<Option<(Link, ProbeReport)>>,
    probing: ProbeSelection,
    tx: mpsc::UnboundedSender<Asked>,
    rx: mpsc::UnboundedReceiver<Asked>,
}

impl Round {
    fn new(crowding: SaturationSlowdown) -> Self {
        let (tx, rx) = mpsc::unbounded_channel();
        let probing = ProbeSelection::new(crowding);
        Self { targets: Vec::new(), links: Vec::new(), probing, tx, rx }
    }

    /// Asks targets, as far as the budget of health checks allows; while none is known that can be
    /// sent to, one in each round always. Returns the targets that were not asked.
    fn ask<D: Dialect>(
        &mut self,
        shared: &Arc<Shared>,
        ex: &Exchange,
        mut targets: Vec<Target>,
    ) -> Vec<Target> {
        let mut is_necessary = self.probing.best().is_none();
        while let Some(target) = targets.pop() {
            if !shared.take_probe(std::mem::take(&mut is_necessary)) {
                targets.push(target);
                break;
            }
            let index = self.targets.len();
            self.targets.push(target.clone());
            self.links.push(None);
            self.probing.note_probe_sent();
            let question = Question {
                shared: Arc::clone(shared),
                index,
                target,
                health_path: ex.health_path.clone(),
                tx: self.tx.clone(),
            };
            tokio::spawn(question.ask::<D>());
        }
        targets
    }

    /// Takes answers until one is good, all have come or `patience` is over.
    async fn collect(&mut self, shared: &Shared, view: &View, ex: &Exchange, patience: Duration) {
        let until = Instant::now() + patience;
        while !self.probing.is_complete() {
            let Ok(Some(asked)) = tokio::time::timeout_at(until, self.rx.recv()).await else {
                return;
            };
            let Asked { index, result } = asked;
            let step = match result {
                Ok((link, report)) => self.note(shared, view, ex, index, link, report),
                Err(_) => self.probing.on_failure(),
            };
            if matches!(step, ProbeDecision::Send(_)) {
                return;
            }
        }
    }

    /// Gives back the connections of answers that came too late to count.
    fn close(&mut self, shared: &Shared) {
        self.rx.close();
        while let Ok(Asked { index, result }) = self.rx.try_recv() {
            if let Ok((link, _)) = result {
                shared.pool.put(&self.targets[index].name, link);
            }
        }
    }

    fn note(
        &mut self,
        shared: &Shared,
        view: &View,
        ex: &Exchange,
        index: usize,
        link: Link,
        report: ProbeReport,
    ) -> ProbeDecision {
        let target = &self.targets[index];
        let now = shared.clock.now();
        let is_far = target.zone != shared.settings.availability_zone;
        let extra = match (is_far, ex.route.repeatable) {
            (false, _) => 0.0,
            (true, Repeatable::Download) => LARGE_CROSSING_COST,
            (true, _) => CROSSING_COST,
        };
        let gateways = shared.gateways();
        let mut local = shared.local();
        let cost = report.cost(local.crowding(&ex.service));
        local.note_cost(now, &target.name, cost);
        let failure_rate = local.health(&target.name).failure_rate(now);
        let may_send = report.cold_left.is_zero()
            || local.cold.allows(now, &target.name, cold_share(shared, view, target, gateways));
        drop(local);
        self.links[index] = Some((link, report));
        if !may_send {
            return self.probing.on_failure();
        }
        self.probing.on_report(index, &report, extra, failure_rate)
    }

    /// Returns the best target and gives the other connections back.
    fn into_chosen(self, shared: &Shared, view: &View) -> Option<Chosen> {
        let best = self.probing.best();
        let asked = self.targets.len();
        let mut chosen = None;
        for (index, (target, found)) in self.targets.into_iter().zip(self.links).enumerate() {
            let Some((link, report)) = found else {
                continue;
            };
            match best {
                Some((cost, best)) if best == index => {
                    chosen = Some(Chosen { target, link, report, cost, asked });
                }
                _ => shared.pool.put(&target.name, link),
            }
        }
        let chosen = chosen.filter(|chosen| may_use(shared, &chosen.target))?;
        let Chosen { target, report, .. } = &chosen;
        let now = shared.clock.now();
        let share = cold_share(shared, view, target, shared.gateways());
        let may_send =
            report.cold_left.is_zero() || shared.local().cold.try_acquire(now, &target.name, share);
        may_send.then_some(chosen)
    }
}

/// Returns whether the newest view still allows a send to a target.
fn may_use(shared: &Shared, target: &Target) -> bool {
    let view = shared.view.load();
    view.target(&target.name).is_some_and(|newest| view.is_usable(newest))
}

/// Returns this gateway's part of what a cold target bears.
fn cold_share(
    shared: &Shared,
    view: &View,
    target: &Target,
    gateways: GatewayCount,
) -> ColdTargetQuota {
    let services = view.configuration().map(|found| &found.services);
    let policy = services.and_then(|services| services.get(&target.service));
    let rate = policy.map_or(0.0, |policy| policy.cold_rate * shared.settings.cold_factor);
    ColdTargetQuota::for_gateway(rate, &target.name, &shared.settings.instance, gateways)
}

/// One question to a target; it goes on when the request needs no more answers, so that its
/// connection stays in use.
struct Question {
    shared: Arc<Shared>,
    index: usize,
    target: Target,
    health_path: String,
    tx: mpsc::UnboundedSender<Asked>,
}

impl Question {
    async fn ask<D: Dialect>(self) {
        let Self { shared, index, target, health_path, tx } = self;
        let question = question::<D>(&shared, &target, &health_path);
        let result = match tokio::time::timeout(ANSWER_LIMIT, question).await {
            Ok(result) => result,
            Err(_) => Err(Unreachable::silent(format!(
                "no answer within {} ms",
                ANSWER_LIMIT.as_millis()
            ))),
        };
        if let Err(reason) = &result {
            let now = shared.clock.now();
            let mut local = shared.local();
            local.note(now, &target.name, AttemptOutcome::Unreachable);
            let hints =
                if reason.is_ended { local.suspects.note_ended(now, &target) } else { Vec::new() };
            drop(local);
            shared.tell(hints);
            let reason = &reason.detail;
            shared.metrics.send_failures.with_label_values(&["probe"]).inc();
            let Target { name, address, .. } = &target;
            event!(TargetUnreachable, "target={name} address={address} reason={reason:?}");
        }
        if let Err(unheard) = tx.send(Asked { index, result })
            && let Ok((link, _)) = unheard.0.result
        {
            shared.pool.put(&target.name, link);
        }
    }
}

/// Asks a target for its load; an idle connection that turns out to be closed is replaced once.
async fn question<D: Dialect>(
    shared: &Shared,
    target: &Target,
    health_path: &str,
) -> Result<(Link, ProbeReport), Unreachable> {
    if let Some(link) = shared.pool.take(&target.name)
        && let Ok(found) = ask_on::<D>(shared, link, target, health_path).await
    {
        return Ok(found);
    }
    shared.metrics.connections_opened.inc();
    let link = Link::open(target.address).await.map_err(|error| Unreachable {
        is_ended: error.kind() == std::io::ErrorKind::ConnectionRefused,
        detail: format!("connect: {error}"),
    })?;
    ask_on::<D>(shared, link, target, health_path).await.map_err(Unreachable::silent)
}

async fn ask_on<D: Dialect>(
    shared: &Shared,
    mut link: Link,
    target: &Target,
    health_path: &str,
) -> Result<(Link, ProbeReport), String> {
    let mut headers = HeaderMap::new();
    let host = HeaderValue::from_str(&target.address.to_string()).map_err(|e| e.to_string())?;
    headers.insert(header::HOST, host);
    let req = link::request(Method::GET, health_path, headers, Bytes::new())
        .map_err(|error| format!("health path {health_path:?}: {error}"))?;
    shared.metrics.probes.inc();
    let res = link.exchange(req).await.map_err(|error| format!("{error:?}"))?;
    let (head, body) = res.into_parts();
    let facts = D::parse_probe_response(head.status, &head.headers, target.slots);
    body.collect().await.map_err(|error| format!("health body: {error}"))?;
    match facts {
        Some(ProbeResponse { target: Some(found), .. }) if found != target.name => {
            Err(format!("the address belongs to {found}"))
        }
        Some(ProbeResponse { report, .. }) => Ok((link, report)),
        None => Err("the answer is not one to a health check".to_string()),
    }
}
