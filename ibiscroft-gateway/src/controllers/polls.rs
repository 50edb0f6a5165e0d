//! Polls of targets that traffic does not reach, within their poll budget.

use std::net::SocketAddr;
use std::sync::Arc;

use ibiscroft_core::Tick;
use ibiscroft_core::config::Configuration;
use ibiscroft_core::ids::{InstanceName, PerSecond, RunId, TargetName};
use ibiscroft_core::leaving::StateReport;
use ibiscroft_core::polling::{POLL_TIMEOUT, PollOwnership, PollScheduler};
use ibiscroft_wire::headers;
use reqwest::Client;
use serde_json::{Value, json};
use tokio::sync::mpsc;

use crate::control::ControlEvent;
use crate::shared::Shared;

/// Polls of one gateway, over all targets.
const DAEMON_RATE: PerSecond = PerSecond(20);

/// A poll that ended.
#[derive(Debug)]
pub(crate) struct PollEnd {
    /// The target.
    pub(crate) target: TargetName,
    /// What its answer showed.
    pub(crate) sighting: Option<StateReport>,
}

/// Polls leaving targets, so that one that serves again is noticed.
#[derive(Debug)]
pub(crate) struct Polls {
    shared: Arc<Shared>,
    scheduler: PollScheduler,
    ownership: PollOwnership,
    http: Client,
    events: mpsc::UnboundedSender<ControlEvent>,
}

impl Polls {
    /// Makes polls without targets.
    pub(crate) fn new(
        shared: Arc<Shared>,
        own: InstanceName,
        events: mpsc::UnboundedSender<ControlEvent>,
    ) -> Self {
        // A client with these settings is always made; the default one only lacks the limits.
        let http = Client::builder()
            .no_proxy()
            .timeout(POLL_TIMEOUT)
            .pool_max_idle_per_host(0)
            .redirect(reqwest::redirect::Policy::none())
            .build()
            .unwrap_or_default();
        Self {
            shared,
            scheduler: PollScheduler::new(DAEMON_RATE),
            ownership: PollOwnership::new(own),
            http,
            events,
        }
    }

    /// Takes the live gateways from an answer of the store to a watch sent at `sent_at`.
    pub(crate) fn set_roster(&mut self, live: Vec<InstanceName>, sent_at: Tick) {
        self.ownership.confirm(sent_at, live);
    }

    /// Replaces the polled targets by the leaving ones of a configuration.
    pub(crate) fn set_targets(
        &mut self,
        cfg: &Configuration,
        is_leaving: impl Fn(&TargetName) -> bool,
    ) {
        let mut polled = Vec::new();
        for service in &cfg.services {
            for target in &service.targets {
                if is_leaving(&target.name) {
                    polled.push((target.name.clone(), service.poll_budget));
                }
            }
        }
        self.scheduler.set_targets(self.shared.clock.now(), polled);
    }

    /// Begins the polls that are due.
    pub(crate) fn on_tick(&mut self, cfg: &Configuration) {
        let now = self.shared.clock.now();
        while let Some(target) = self.scheduler.next_poll(now, &mut self.ownership) {
            let Some(address) = address(cfg, &target) else {
                self.scheduler.finish(now, &target);
                continue;
            };
            let (http, events) = (self.http.clone(), self.events.clone());
            tokio::task::spawn_local(async move {
                let sighting = poll(&http, address, now).await;
                let _ = events.send(ControlEvent::Polled(PollEnd { target, sighting }));
            });
        }
    }

    /// Notes that a poll ended.
    pub(crate) fn on_end(&mut self, target: &TargetName) {
        self.scheduler.finish(self.shared.clock.now(), target);
    }

    /// Describes the polls.
    pub(crate) fn dump(&self) -> Value {
        let counters = self.scheduler.counters();
        json!({
            "sent": counters.sent,
            "timed_out": counters.timed_out,
            "deferred": counters.deferred,
        })
    }
}

/// Asks a target; an answer that names neither run nor state shows nothing.
async fn poll(http: &Client, address: SocketAddr, sent_at: Tick) -> Option<StateReport> {
    let answer = http.get(format!("http://{address}/health")).send().await.ok()?;
    let text = |name: &str| answer.headers().get(name).and_then(|value| value.to_str().ok());
    let run = RunId::new(text(headers::RUN_ID)?);
    let draining = text(headers::TARGET_STATE)? == "draining";
    Some(StateReport::Response { run, draining, sent_at })
}

fn address(cfg: &Configuration, name: &TargetName) -> Option<SocketAddr> {
    let mut targets = cfg.services.iter().flat_map(|service| &service.targets);
    targets.find(|target| target.name == *name).map(|target| target.address)
}
