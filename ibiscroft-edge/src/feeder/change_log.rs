//! Log lines of changes to the view.

use std::time::Duration;

use ibiscroft_core::fleet::{Change, Position};

use crate::events::event;

/// Maximum number of changes of one update that are logged individually; of a larger update only
/// their number is logged.
const MAX_LOGGED_CHANGES: usize = 60;

/// Logs each change, or only their number if there are many, as in the first listing.
pub(super) fn log_changes(position: Position, changes: &[Change], source: &str, age: Duration) {
    let age = age.as_millis();
    if changes.len() > MAX_LOGGED_CHANGES {
        let count = changes.len();
        event!(BeliefChanged, "revision={position} source={source} age_ms={age} changes={count}");
        return;
    }
    for change in changes {
        let change = change_fields(change);
        event!(BeliefChanged, "revision={position} source={source} age_ms={age} {change}");
    }
}

/// Formats a change as the fields of a log line.
fn change_fields(change: &Change) -> String {
    match change {
        Change::Configuration(configuration) => {
            let routes = configuration.routes().len();
            format!("change=configuration version={} routes={routes}", configuration.version)
        }
        Change::ZoneOut(zone) => format!("change=zone_out zone={zone}"),
        Change::ZoneIn(zone) => format!("change=zone_in zone={zone}"),
        Change::Target(target) => format!(
            "change=target target={} service={} zone={} state={:?} address={} born={} sequence={} \
             cold_left_ms={}",
            target.name,
            target.service,
            target.zone,
            target.state,
            target.address,
            target.incarnation,
            target.sequence,
            target.cold_left.as_millis(),
        ),
        Change::TargetGone(name) => format!("change=target_gone target={name}"),
        Change::Member(member) => {
            format!("change=gateway gateway={} address={}", member.name, member.address)
        }
        Change::MemberGone(name) => format!("change=gateway_gone gateway={name}"),
        Change::Gateways(count) => format!("change=gateways count={count}"),
    }
}
