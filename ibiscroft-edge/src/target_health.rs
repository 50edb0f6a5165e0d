//! Findings about targets that gateways share: messages to the others, and trials of targets that
//! are tried last.

use std::sync::Arc;
use std::time::Duration;

use ibiscroft_core::fleet::{FindingOrigin, FollowerMessage, Hint, Target};
use tokio::time::MissedTickBehavior;

use crate::dialect::Dialect;
use crate::events::event;
use crate::feed_hub::FeedHub;
use crate::filters::select::probe_target;
use crate::shared::Shared;

/// Interval at which messages and trials are checked for being due.
const CHECK_INTERVAL: Duration = Duration::from_millis(50);

impl Shared {
    /// Records that a target is not at its address, for the other gateways as well.
    pub(crate) fn note_absent(&self, target: &Target) {
        let now = self.clock.now();
        let mut traffic = self.traffic();
        let Some(health) = &mut traffic.shared_health else {
            return;
        };
        let has_started = health.note_unreachable(now, target);
        drop(traffic);
        if has_started {
            self.metrics.target_findings.with_label_values(&["own_down"]).inc();
            event!(TargetTriedLast, "target={} by=own", target.name);
        }
    }

    /// Records that a target responds, for the other gateways as well if it was tried last.
    pub(crate) fn note_responding(&self, target: &Target) {
        let now = self.clock.now();
        let mut traffic = self.traffic();
        let Some(health) = &mut traffic.shared_health else {
            return;
        };
        if !health.note_success(now, target) {
            return;
        }
        traffic.end_backoff(now, &target.name);
        drop(traffic);
        self.metrics.target_findings.with_label_values(&["own_up"]).inc();
        event!(TargetReturned, "target={} by=own", target.name);
    }
}

/// Takes a hint with findings of other gateways; returns any other hint.
pub(crate) fn take(shared: &Shared, origin: FindingOrigin, hint: Hint) -> Option<Hint> {
    let now = shared.clock.now();
    match hint {
        Hint::TargetDown(findings) => {
            let mut traffic = shared.traffic();
            let health = traffic.shared_health.as_mut()?;
            let started = health.on_down(now, origin, findings);
            drop(traffic);
            for target in started {
                shared.metrics.target_findings.with_label_values(&["reported_down"]).inc();
                event!(TargetTriedLast, "target={target} by=reports");
            }
            None
        }
        Hint::TargetUp(findings) => {
            let mut traffic = shared.traffic();
            let health = traffic.shared_health.as_mut()?;
            let returned = health.on_up(now, origin, findings);
            for target in &returned {
                traffic.end_backoff(now, target);
            }
            drop(traffic);
            for target in returned {
                shared.metrics.target_findings.with_label_values(&["reported_up"]).inc();
                event!(TargetReturned, "target={target} by=reports");
            }
            None
        }
        other => Some(other),
    }
}

/// Sends findings to the source and the followers as they are due.
pub(crate) async fn exchange(shared: Arc<Shared>, hub: FeedHub) {
    if !shared.has_pool_feature {
        return;
    }
    let mut timer = tokio::time::interval(CHECK_INTERVAL);
    timer.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        timer.tick().await;
        let now = shared.clock.now();
        let mut traffic = shared.traffic();
        let messages = traffic.shared_health.as_mut().and_then(|health| health.take_messages(now));
        drop(traffic);
        let Some(messages) = messages else {
            continue;
        };
        for hint in messages.to_source {
            hub.send_to_source(FollowerMessage::Hint(hint));
        }
        if !messages.to_followers.is_empty() {
            let position = shared.view.load().position();
            hub.send_hints_to_followers(position, messages.to_followers, now);
        }
    }
}

/// Tries targets that are tried last, when this gateway is one of the few that do.
pub(crate) async fn try_targets<D: Dialect>(shared: Arc<Shared>) {
    if !shared.has_pool_feature {
        return;
    }
    let mut timer = tokio::time::interval(CHECK_INTERVAL);
    timer.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        timer.tick().await;
        for target in due_trials(&shared) {
            shared.try_take_probe(true);
            tokio::spawn(try_target::<D>(Arc::clone(&shared), target));
        }
    }
}

/// Returns the targets to try now.
fn due_trials(shared: &Shared) -> Vec<Target> {
    let now = shared.clock.now();
    let view = shared.view.load_full();
    let mut traffic = shared.traffic();
    let gateways = traffic.fleet_size.get(now);
    let Some(health) = &mut traffic.shared_health else {
        return Vec::new();
    };
    let due = health.due_trials(now, view.targets(), gateways);
    let tried_last = i64::try_from(health.tried_last_count(now)).unwrap_or(i64::MAX);
    shared.metrics.targets_tried_last.set(tried_last);
    if shared.is_closing() {
        return Vec::new();
    }
    due.into_iter().filter(|target| view.is_usable(target)).cloned().collect()
}

async fn try_target<D: Dialect>(shared: Arc<Shared>, target: Target) {
    let view = shared.view.load_full();
    let policy = view.configuration().and_then(|cfg| cfg.services.get(&target.service));
    let health_path = policy.map_or("/", |policy| policy.health_path.as_str());
    let label = match probe_target::<D>(&shared, &target, health_path).await {
        Ok((connection, _)) => {
            shared.pool.put(&target.name, connection);
            "responded"
        }
        Err(_) => "failed",
    };
    shared.metrics.target_trials.with_label_values(&[label]).inc();
}
