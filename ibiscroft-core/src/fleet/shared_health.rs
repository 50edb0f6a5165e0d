//! Targets that cannot be reached, as found by this gateway and by others.
//!
//! A target is tried last after a finding of this gateway or after reports of two others. Meanwhile
//! only a few gateways of the fleet, chosen by hash, try it; a success returns it to use everywhere.

mod entry;
mod outbox;

use std::collections::HashMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use self::entry::{Activity, Entry, Taken};
use self::outbox::{Kind, Outbox};
use super::hint::Hint;
use super::target::{GatewayCount, Incarnation, Target};
use crate::ids::{InstanceName, ServiceName, TargetName, ZoneName};
use crate::{Tick, data, rendezvous};

/// Maximum number of targets with findings; several times the size of a deployment.
const MAX_ENTRIES: usize = 4_096;
/// Maximum number of findings that are taken from one message.
const MAX_FINDINGS: usize = 256;
/// Interval of the trials of a target that is tried last.
const TRIAL_INTERVAL: Duration = Duration::from_millis(400);
/// Expected number of gateways that try such a target in each interval. With 2.5, a target is tried
/// within 1.2 s with a probability of 0.999.
const TRIALS_PER_INTERVAL: f64 = 2.5;
/// Number of targets of a service in a zone up to which each has the shortest interval. Of more,
/// the first that responds tells that the others may respond as well.
const MAX_FREQUENT_TRIALS: usize = 8;
/// Part of a period that is the interval of trials if there are more targets.
const INTERVAL_OF_PERIOD: f64 = 0.4;
/// Interval after another target of the service in the zone has responded again, as trials are
/// likely to succeed then.
const INTERVAL_AFTER_RETURN: Duration = Duration::from_millis(200);
/// Time after a success in which the other targets of the service in the zone have that interval.
const RETURN_RETENTION: Duration = Duration::from_secs(2);
/// Number of reported targets of a service in a zone that a gateway checks before it believes that
/// more than half of them cannot be reached.
const CHECKS: usize = 2;
/// Minimum time between two such checks.
const CHECK_INTERVAL: Duration = Duration::from_millis(500);
/// Time in which the gateways return to a target after a success, one after the other. Longer times
/// leave some targets unused 2 s after their return, as a trial may be late.
const RETURN_TIME: Duration = Duration::from_millis(300);

data! {
    /// Result of a gateway's attempt to connect to a target.
    #[derive(Serialize, Deserialize)]
    pub struct TargetFinding {
        /// Gateway that found it.
        #[serde(rename = "g")]
        pub gateway: InstanceName,
        /// Name of the target.
        #[serde(rename = "t")]
        pub target: TargetName,
        /// Run of the target, according to its registration.
        #[serde(rename = "i")]
        pub incarnation: Incarnation,
    }

    /// Messages that are due.
    #[derive(Default)]
    pub struct HealthMessages {
        /// Hints for the source.
        pub to_source: Vec<Hint>,
        /// Hints for all followers.
        pub to_followers: Vec<Hint>,
    }
}

/// Where findings of other gateways came from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FindingOrigin {
    /// The gateway that this one follows.
    Source,
    /// A follower of this gateway.
    Follower,
}

/// Findings about targets, of this gateway and of others.
#[derive(Debug)]
pub struct SharedHealth {
    instance: InstanceName,
    zone: ZoneName,
    entries: HashMap<TargetName, Entry>,
    /// When targets of a service in a zone were last checked because most are reported.
    checked_at: HashMap<(ServiceName, ZoneName), Tick>,
    outbox: Outbox,
}

/// Targets of one service in one zone.
#[derive(Debug)]
struct Group<'a> {
    service: &'a ServiceName,
    zone: &'a ZoneName,
    targets: usize,
    /// Targets for which a period lasts, by own findings.
    found: Vec<&'a Target>,
    /// Targets for which a period lasts, only by reports.
    reported: Vec<&'a Target>,
    /// Whether a target has responded again recently.
    has_returned: bool,
}

impl SharedHealth {
    /// Creates the state of the gateway `instance` in `zone`, without findings.
    #[must_use]
    pub fn new(instance: InstanceName, zone: ZoneName) -> Self {
        Self {
            instance,
            zone,
            entries: HashMap::new(),
            checked_at: HashMap::new(),
            outbox: Outbox::default(),
        }
    }

    /// Records that `target` refused a connection, or that another target is at its address.
    ///
    /// Returns whether the target is tried last from now on and was not before.
    pub fn note_unreachable(&mut self, now: Tick, target: &Target) -> bool {
        let Some(entry) = self.entry(now, &target.name, target.incarnation) else {
            return false;
        };
        let was_active = entry.is_active(now);
        let is_needed = entry.note_own(now);
        if is_needed {
            let finding = self.finding(target);
            self.outbox.push_own(now, Kind::Down, finding);
        }
        !was_active
    }

    /// Records that `target` responded.
    ///
    /// Returns whether this withdraws findings by which the target was tried last.
    pub fn note_success(&mut self, now: Tick, target: &Target) -> bool {
        let Some(entry) = self.entries.get_mut(&target.name) else {
            return false;
        };
        if entry.incarnation() > target.incarnation {
            return false;
        }
        if !entry.is_active(now) {
            entry.end_return(now);
            return false;
        }
        entry.withdraw(now, Duration::ZERO);
        let finding = self.finding(target);
        self.outbox.push_own(now, Kind::Up, finding);
        true
    }

    /// Takes findings of other gateways that targets cannot be reached.
    ///
    /// Returns the targets that are tried last from now on and were not before.
    pub fn on_down(
        &mut self,
        now: Tick,
        origin: FindingOrigin,
        findings: Vec<TargetFinding>,
    ) -> Vec<TargetName> {
        let mut started = Vec::new();
        for finding in findings.into_iter().take(MAX_FINDINGS) {
            if finding.gateway == self.instance {
                continue;
            }
            let Some(entry) = self.entry(now, &finding.target, finding.incarnation) else {
                continue;
            };
            let was_active = entry.is_active(now);
            if entry.note_report(now, &finding.gateway) == Taken::Known {
                continue;
            }
            if entry.is_active(now) && !was_active {
                started.push(finding.target.clone());
            }
            self.outbox.push_forwarded(Kind::Down, origin, finding);
        }
        started
    }

    /// Takes findings of other gateways that targets respond again.
    ///
    /// Returns the targets that were tried last.
    pub fn on_up(
        &mut self,
        now: Tick,
        origin: FindingOrigin,
        findings: Vec<TargetFinding>,
    ) -> Vec<TargetName> {
        let mut returned = Vec::new();
        for finding in findings.into_iter().take(MAX_FINDINGS) {
            let share =
                fraction(rendezvous::weight(finding.target.as_str(), self.instance.as_str()));
            let Some(entry) = self.entries.get_mut(&finding.target) else {
                continue;
            };
            if finding.gateway == self.instance || entry.incarnation() > finding.incarnation {
                continue;
            }
            // An entry without findings shows that the withdrawal is known already, unless this
            // gateway found it itself and has not told the others.
            if !self.outbox.remove_own_up(&finding.target) && !entry.has_findings(now) {
                continue;
            }
            if entry.is_active(now) {
                returned.push(finding.target.clone());
            }
            entry.withdraw(now, RETURN_TIME.mul_f64(share));
            self.outbox.push_forwarded(Kind::Up, origin, finding);
        }
        returned
    }

    /// Returns whether `target` is to be tried only if no others are left.
    #[must_use]
    pub fn is_tried_last(&self, now: Tick, target: &Target) -> bool {
        let entry = self.entries.get(&target.name);
        entry.is_some_and(|entry| {
            target.incarnation <= entry.incarnation() && entry.is_tried_last(now)
        })
    }

    /// Returns the targets that this gateway is to try now, outside of requests.
    ///
    /// `targets` are all registered ones, and `gateways` is the size of the fleet. Reports take
    /// effect with the first call after they have arrived.
    pub fn due_trials<'a>(
        &mut self,
        now: Tick,
        targets: impl IntoIterator<Item = &'a Target>,
        gateways: GatewayCount,
    ) -> Vec<&'a Target> {
        self.entries.retain(|_, entry| !entry.is_expired(now));
        if !self.entries.values().any(|entry| entry.is_active(now)) {
            self.checked_at.clear();
            return Vec::new();
        }
        // There are few groups, so that a search costs less than a map.
        let mut groups: Vec<Group<'a>> = Vec::new();
        for target in targets {
            let group = group_of(&mut groups, target);
            group.targets += 1;
            let Some(entry) = self.entries.get(&target.name) else {
                continue;
            };
            if target.incarnation > entry.incarnation() {
                continue;
            }
            group.has_returned |= entry.was_withdrawn_within(now, RETURN_RETENTION);
            match entry.activity(now) {
                Activity::None => {}
                Activity::Found => group.found.push(target),
                Activity::Reported => group.reported.push(target),
            }
        }
        let chance = TRIALS_PER_INTERVAL / f64::from(gateways.get().max(1));
        let mut due = Vec::new();
        for group in groups {
            let is_frequent = group.found.len() + group.reported.len() <= MAX_FREQUENT_TRIALS;
            for target in group.found.iter().chain(&group.reported) {
                let Some(entry) = self.entries.get_mut(&target.name) else {
                    continue;
                };
                let interval = if group.has_returned {
                    INTERVAL_AFTER_RETURN
                } else if is_frequent {
                    TRIAL_INTERVAL
                } else {
                    entry.period_length().mul_f64(INTERVAL_OF_PERIOD)
                };
                if is_trial_due(entry, now, &self.instance, target, interval, chance) {
                    due.push(*target);
                }
            }
            self.evaluate(now, group, &mut due);
        }
        due
    }

    /// Returns the messages that are due, `None` if there are none.
    ///
    /// Findings of followers are passed to the source, and all findings to the followers.
    pub fn take_messages(&mut self, now: Tick) -> Option<HealthMessages> {
        self.outbox.take(now)
    }

    /// Returns the number of targets that are tried last.
    #[must_use]
    pub fn tried_last_count(&self, now: Tick) -> usize {
        self.entries.values().filter(|entry| entry.is_tried_last(now)).count()
    }

    /// Decides whether the reports about a group are believed, and adds checks to `due`.
    ///
    /// Targets of other zones are not checked: they are seldom tried, and the requests for which
    /// they are tried check them.
    fn evaluate<'a>(&mut self, now: Tick, mut group: Group<'a>, due: &mut Vec<&'a Target>) {
        let is_believed = group.reported.len() * 2 <= group.targets || group.found.len() >= CHECKS;
        for target in &group.reported {
            if let Some(entry) = self.entries.get_mut(&target.name) {
                entry.set_believed(is_believed);
            }
        }
        let key = (group.service.clone(), group.zone.clone());
        let checked_at = self.checked_at.get(&key);
        if is_believed
            || *group.zone != self.zone
            || checked_at.is_some_and(|at| now.since(*at) < CHECK_INTERVAL)
        {
            return;
        }
        self.checked_at.insert(key, now);
        let instance = self.instance.as_str();
        group.reported.sort_by_cached_key(|t| rendezvous::weight(instance, t.name.as_str()));
        let checks = group.reported.into_iter().rev().take(CHECKS);
        let checks: Vec<&Target> = checks.filter(|check| !due.contains(check)).collect();
        due.extend(checks);
    }

    /// Returns the entry of a run of a target, `None` if a newer run is known or there are too many
    /// entries.
    fn entry(&mut self, now: Tick, target: &TargetName, run: Incarnation) -> Option<&mut Entry> {
        if self.entries.len() >= MAX_ENTRIES && !self.entries.contains_key(target) {
            self.entries.retain(|_, entry| !entry.is_expired(now));
            if self.entries.len() >= MAX_ENTRIES {
                return None;
            }
        }
        let entry = self.entries.entry(target.clone()).or_insert_with(|| Entry::new(run));
        if entry.incarnation() < run {
            *entry = Entry::new(run);
        }
        (entry.incarnation() == run).then_some(entry)
    }

    fn finding(&self, target: &Target) -> TargetFinding {
        TargetFinding {
            gateway: self.instance.clone(),
            target: target.name.clone(),
            incarnation: target.incarnation,
        }
    }
}

/// Returns the group of a target, which is added if there is none yet.
fn group_of<'g, 'a>(groups: &'g mut Vec<Group<'a>>, target: &'a Target) -> &'g mut Group<'a> {
    let (service, zone) = (&target.service, &target.zone);
    let known = groups.iter().position(|group| group.service == service && group.zone == zone);
    let index = known.unwrap_or_else(|| {
        let (found, reported) = (Vec::new(), Vec::new());
        groups.push(Group { service, zone, targets: 0, found, reported, has_returned: false });
        groups.len() - 1
    });
    &mut groups[index]
}

/// Returns whether this gateway tries a target now, once in each interval for which it is chosen.
///
/// A gateway does not know the names of all others, so each compares its own hash with the part of
/// the fleet that is to try the target.
fn is_trial_due(
    entry: &mut Entry,
    now: Tick,
    instance: &InstanceName,
    target: &Target,
    length: Duration,
    chance: f64,
) -> bool {
    let (active_us, length_us) = (entry.active_for(now).as_micros(), length.as_micros());
    let interval = u32::try_from(active_us / length_us).unwrap_or(u32::MAX);
    let key = format!("{} {} {interval}", target.name, entry.period());
    let weight = rendezvous::weight(&key, instance.as_str());
    let offset = length.mul_f64(fraction(weight.rotate_left(32)));
    // The target was tried just before the first interval.
    if interval == 0 || active_us % length_us < offset.as_micros() {
        return false;
    }
    fraction(weight) < chance && entry.start_trial(interval)
}

/// Maps a hash to 0..1.
fn fraction(hash: u64) -> f64 {
    hash as f64 / u64::MAX as f64
}
