//! Polls of the targets that are leaving, within the poll budget of their services.

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

/// Rate of the polls of one gateway, for all targets together.
const POLL_RATE: PerSecond = PerSecond(20);

/// Result of a poll.
#[derive(Debug)]
pub(crate) struct PollResult {
    /// The target.
    pub(crate) target: TargetName,
    /// What the response reported; `None` without a usable response.
    pub(crate) report: Option<StateReport>,
}

/// Polls leaving targets, to which no traffic is sent, to detect when they serve again.
#[derive(Debug)]
pub(crate) struct Polls {
    shared: Arc<Shared>,
    scheduler: PollScheduler,
    ownership: PollOwnership,
    http: Client,
    events: mpsc::UnboundedSender<ControlEvent>,
}

impl Polls {
    /// Creates the state of a gateway that polls no targets.
    pub(crate) fn new(
        shared: Arc<Shared>,
        own_name: InstanceName,
        events: mpsc::UnboundedSender<ControlEvent>,
    ) -> Self {
        // Building a client with these settings does not fail; the default client would only lack
        // the limits.
        let http = Client::builder()
            .no_proxy()
            .timeout(POLL_TIMEOUT)
            .pool_max_idle_per_host(0)
            .redirect(reqwest::redirect::Policy::none())
            .build()
            .unwrap_or_default();
        Self {
            shared,
            scheduler: PollScheduler::new(POLL_RATE),
            ownership: PollOwnership::new(own_name),
            http,
            events,
        }
    }

    /// Sets the live gateways, which the store listed in response to a watch sent at `sent_at`.
    pub(crate) fn set_roster(&mut self, live: Vec<InstanceName>, sent_at: Tick) {
        self.ownership.confirm(sent_at, live);
    }

    /// Sets the polled targets: those of the configuration that are leaving.
    pub(crate) fn set_targets(
        &mut self,
        cfg: &Configuration,
        is_leaving: impl Fn(&TargetName) -> bool,
    ) {
        let mut leaving = Vec::new();
        for service in &cfg.services {
            for target in &service.targets {
                if is_leaving(&target.name) {
                    leaving.push((target.name.clone(), service.poll_budget));
                }
            }
        }
        self.scheduler.set_targets(self.shared.clock.now(), leaving);
    }

    /// Starts the polls that are due.
    pub(crate) fn on_tick(&mut self, cfg: &Configuration) {
        let now = self.shared.clock.now();
        while let Some(target) = self.scheduler.next_poll(now, &mut self.ownership) {
            let Some(address) = address(cfg, &target) else {
                self.scheduler.finish(now, &target);
                continue;
            };
            let (http, events) = (self.http.clone(), self.events.clone());
            tokio::task::spawn_local(async move {
                let report = poll(&http, address, now).await;
                let _ = events.send(ControlEvent::Polled(PollResult { target, report }));
            });
        }
    }

    /// Handles the end of a poll of a target.
    pub(crate) fn on_poll_ended(&mut self, target: &TargetName) {
        self.scheduler.finish(self.shared.clock.now(), target);
    }

    /// Returns the counters of the polls, for the dump.
    pub(crate) fn dump(&self) -> Value {
        let counters = self.scheduler.counters();
        json!({
            "sent": counters.sent,
            "timed_out": counters.timed_out,
            "deferred": counters.deferred,
        })
    }
}

/// Polls a target; returns `None` if it does not respond or the response lacks the run or the
/// state.
async fn poll(http: &Client, address: SocketAddr, sent_at: Tick) -> Option<StateReport> {
    let response = http.get(format!("http://{address}/health")).send().await.ok()?;
    let text = |name: &str| response.headers().get(name).and_then(|value| value.to_str().ok());
    let run = RunId::new(text(headers::RUN_ID)?);
    let draining = text(headers::TARGET_STATE)? == "draining";
    Some(StateReport::Response { run, draining, sent_at })
}

fn address(cfg: &Configuration, name: &TargetName) -> Option<SocketAddr> {
    let mut targets = cfg.services.iter().flat_map(|service| &service.targets);
    targets.find(|target| target.name == *name).map(|target| target.address)
}
