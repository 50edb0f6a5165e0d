//! Chooses a target by asking a few of them right before the send.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, HeaderValue, Method, header};
use http_body_util::BodyExt;
use ibiscroft_core::fleet::{ColdShare, Probing, Repeatable, Report, Step, Target, Verdict, View};
use ibiscroft_core::ids::TargetName;
use rand::seq::SliceRandom;
use tokio::sync::mpsc;

use crate::dialect::{Dialect, HealthFacts};
use crate::events::event;
use crate::exchange::Exchange;
use crate::link::{self, Link};
use crate::shared::Shared;

/// Targets that are asked at first.
const ASK: usize = 3;
/// Further targets that are asked when the first are slow or silent.
const ASK_AGAIN: usize = 3;
/// Longest wait for a target's word: a few round trips between zones and a new connection.
const ASK_TIMEOUT: Duration = Duration::from_millis(25);
/// Cost above which further targets are asked.
const SLOW_COST: f64 = 1.9;
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
    pub(super) report: Report,
    /// Expected time, in units of a request's usual time.
    pub(super) cost: f64,
}

/// Why no target was chosen.
#[derive(Debug)]
pub(super) struct NoneChosen {
    /// Usable targets of the service.
    pub(super) usable: usize,
    /// Targets that were asked.
    pub(super) asked: usize,
}

/// What became of a question to a target.
struct Asked {
    index: usize,
    result: Result<(Link, Report), String>,
}

/// Chooses the target for a request.
pub(super) async fn select<D: Dialect>(
    shared: &Arc<Shared>,
    ex: &Exchange,
    tried: &[TargetName],
) -> Result<Chosen, NoneChosen> {
    let began = shared.clock.now();
    let view = shared.view.load_full();
    let mut rest = candidates(shared, &view, ex, tried);
    let usable = rest.len();
    let mut round = Round::default();
    for (ask, limit) in [(ASK, SLOW_COST), (ASK_AGAIN, f64::MAX)] {
        let asked = rest.split_off(rest.len().saturating_sub(ask));
        round.ask::<D>(shared, &view, ex, asked).await;
        if round.probing.best().is_some_and(|(cost, _)| cost <= limit) || rest.is_empty() {
            break;
        }
    }
    let took = shared.clock.now().since(began);
    shared.metrics.selection.observe(took.as_secs_f64());
    let asked = round.targets.len();
    let chosen = round.into_chosen(shared, &view);
    chosen.ok_or(NoneChosen { usable, asked })
}

/// Returns the usable targets in the order in which they are asked, the first last.
fn candidates(shared: &Shared, view: &View, ex: &Exchange, tried: &[TargetName]) -> Vec<Target> {
    let now = shared.clock.now();
    let own = &shared.settings.availability_zone;
    let local = shared.local();
    let mut found: Vec<Target> =
        view.usable(&ex.service).filter(|target| !tried.contains(&target.name)).cloned().collect();
    found.shuffle(&mut rand::rng());
    found.sort_by_key(|target| {
        let is_paused = local.health(&target.name).is_paused(now);
        std::cmp::Reverse((is_paused, target.zone != *own))
    });
    found
}

/// The targets that one request asked, and their answers.
#[derive(Default)]
struct Round {
    targets: Vec<Target>,
    links: Vec<Option<(Link, Report)>>,
    probing: Probing,
}

impl Round {
    /// Asks targets until one is good or all have answered.
    async fn ask<D: Dialect>(
        &mut self,
        shared: &Arc<Shared>,
        view: &View,
        ex: &Exchange,
        mut targets: Vec<Target>,
    ) {
        let (tx, mut waiting) = mpsc::unbounded_channel();
        while let Some(target) = targets.pop() {
            if !shared.try_probe(shared.clock.now()) && !self.targets.is_empty() {
                break;
            }
            let index = self.targets.len();
            self.targets.push(target.clone());
            self.links.push(None);
            self.probing.ask();
            let question = Question {
                shared: Arc::clone(shared),
                index,
                target,
                health_path: ex.health_path.clone(),
                tx: tx.clone(),
            };
            tokio::spawn(question.ask::<D>());
        }
        drop(tx);
        while let Some(Asked { index, result }) = waiting.recv().await {
            let step = match result {
                Ok((link, report)) => self.note(shared, view, ex, index, link, report),
                Err(_) => self.probing.on_failure(),
            };
            if matches!(step, Step::Send(_)) {
                break;
            }
        }
        waiting.close();
        while let Ok(Asked { index, result }) = waiting.try_recv() {
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
        report: Report,
    ) -> Step {
        let target = &self.targets[index];
        let now = shared.clock.now();
        let is_far = target.zone != shared.settings.availability_zone;
        let extra = match (is_far, ex.route.repeatable) {
            (false, _) => 0.0,
            (true, Repeatable::Download) => LARGE_CROSSING_COST,
            (true, _) => CROSSING_COST,
        };
        let local = shared.local();
        let failure_rate = local.health(&target.name).failure_rate(now);
        let may_send = report.cold_left.is_zero()
            || local.cold.has_room(now, &target.name, cold_share(shared, view, target));
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
        let mut chosen = None;
        for (index, (target, found)) in self.targets.into_iter().zip(self.links).enumerate() {
            let Some((link, report)) = found else {
                continue;
            };
            match best {
                Some((cost, best)) if best == index => {
                    chosen = Some(Chosen { target, link, report, cost });
                }
                _ => shared.pool.put(&target.name, link),
            }
        }
        let chosen = chosen.filter(|chosen| may_use(shared, &chosen.target))?;
        let Chosen { target, report, .. } = &chosen;
        let now = shared.clock.now();
        let may_send = report.cold_left.is_zero()
            || shared.local().cold.try_send(now, &target.name, cold_share(shared, view, target));
        may_send.then_some(chosen)
    }
}

/// Returns whether the newest view still allows a send to a target.
fn may_use(shared: &Shared, target: &Target) -> bool {
    let view = shared.view.load();
    view.target(&target.name).is_some_and(|newest| view.may_use(newest))
}

/// Returns this gateway's part of what a cold target bears.
fn cold_share(shared: &Shared, view: &View, target: &Target) -> ColdShare {
    let services = view.configuration().map(|found| &found.services);
    let policy = services.and_then(|services| services.get(&target.service));
    let rate = policy.map_or(0.0, |policy| policy.cold_rate * shared.settings.cold_factor);
    let names: Vec<_> = view.members().map(|member| &member.name).collect();
    ColdShare::of(rate, &target.name, &shared.settings.instance, names.into_iter())
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
        let result = match tokio::time::timeout(ASK_TIMEOUT, question).await {
            Ok(result) => result,
            Err(_) => Err(format!("no answer within {} ms", ASK_TIMEOUT.as_millis())),
        };
        if let Err(reason) = &result {
            let now = shared.clock.now();
            shared.local().note(now, &target.name, Verdict::Unreachable);
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
) -> Result<(Link, Report), String> {
    if let Some(link) = shared.pool.take(&target.name)
        && let Ok(found) = ask_on::<D>(shared, link, target, health_path).await
    {
        return Ok(found);
    }
    shared.metrics.connections_opened.inc();
    let link = Link::open(target.address).await.map_err(|error| format!("connect: {error}"))?;
    ask_on::<D>(shared, link, target, health_path).await
}

async fn ask_on<D: Dialect>(
    shared: &Shared,
    mut link: Link,
    target: &Target,
    health_path: &str,
) -> Result<(Link, Report), String> {
    let mut headers = HeaderMap::new();
    let host = HeaderValue::from_str(&target.address.to_string()).map_err(|e| e.to_string())?;
    headers.insert(header::HOST, host);
    let req = link::request(Method::GET, health_path, headers, Bytes::new())
        .map_err(|error| format!("health path {health_path:?}: {error}"))?;
    shared.metrics.probes.inc();
    let res = link.exchange(req).await.map_err(|error| format!("{error:?}"))?;
    let (head, body) = res.into_parts();
    let facts = D::health(head.status, &head.headers, target.slots);
    body.collect().await.map_err(|error| format!("health body: {error}"))?;
    match facts {
        Some(HealthFacts { target: Some(found), .. }) if found != target.name => {
            Err(format!("the address belongs to {found}"))
        }
        Some(HealthFacts { report, .. }) => Ok((link, report)),
        None => Err("the answer is not one to a health check".to_string()),
    }
}
