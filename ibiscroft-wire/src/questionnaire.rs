//! Validates a questionnaire and generates the configuration from it.

mod cross_check;

use std::time::Duration;

use ibiscroft_core::config::{ColdLimits, Configuration, Route, Service, Target};
use ibiscroft_core::ids::{
    ChangeId, Connections, Generation, PerSecond, Permille, ServiceName, Slots, TargetName,
    ZoneName,
};

use crate::generated::questionnaire::{Questionnaire, ServiceAnswers, TargetAnswers};
use crate::schema_check::{self, Fault, Faults, Schema};

/// Retries that are allowed, as a share of recent calls.
const RETRY_SHARE: Permille = Permille(100);
/// Part of the callers' wait that a request may spend in the queue for a target, as a divisor. It
/// applies when the questionnaire states no queue wait.
const QUEUE_WAIT_DIVISOR: u32 = 4;
/// Requests that may wait at one gateway, per slot of the service.
const QUEUE_LIMIT_PER_SLOT: u32 = 2;

/// Parses a questionnaire and validates it completely.
///
/// # Errors
///
/// Returns all faults, each with the path of its field.
pub fn read(document: &[u8]) -> Result<Questionnaire, Faults> {
    let value = schema_check::parse(document).map_err(|fault| Faults(vec![fault]))?;
    let mut faults = Schema::Questionnaire.faults(&value)?;
    faults.extend(cross_check::faults(&value));
    if !faults.is_empty() {
        return Err(Faults(faults));
    }
    serde_json::from_value(value).map_err(|error| Faults(vec![Fault::new("", error.to_string())]))
}

/// Generates the configuration from the answers of a validated questionnaire.
///
/// # Errors
///
/// Returns all faults that the schema cannot express; answers returned by [`read`] have none.
pub fn generate(
    answers: &Questionnaire,
    generation: Generation,
    change_id: ChangeId,
) -> Result<Configuration, Faults> {
    let value = serde_json::to_value(answers)
        .map_err(|error| Faults(vec![Fault::new("", error.to_string())]))?;
    let faults = cross_check::faults(&value);
    if !faults.is_empty() {
        return Err(Faults(faults));
    }
    Ok(Configuration {
        generation,
        change_id,
        zones: answers.availability_zones.iter().map(|name| ZoneName::new(name.as_str())).collect(),
        services: answers.services.iter().map(service).collect(),
    })
}

fn service(answers: &ServiceAnswers) -> Service {
    let slots: u32 = answers.targets.iter().map(|target| target.slots).sum();
    let queue_wait = answers.queue_wait_ms.unwrap_or(answers.callers_wait_ms / QUEUE_WAIT_DIVISOR);
    Service {
        name: ServiceName::new(answers.name.as_str()),
        routes: answers
            .routes
            .iter()
            .map(|route| Route {
                host: route.host.as_ref().map(|host| host.to_ascii_lowercase()),
                path_prefix: route.path_prefix.clone().unwrap_or_else(|| "/".to_string()),
            })
            .collect(),
        at_most_once_methods: answers.never_run_twice.iter().map(ToString::to_string).collect(),
        default_deadline: Duration::from_millis(answers.callers_wait_ms.into()),
        queue_wait: Duration::from_millis(queue_wait.into()),
        queue_limit: slots.saturating_mul(QUEUE_LIMIT_PER_SLOT),
        retry_share: RETRY_SHARE,
        cold: ColdLimits {
            concurrency: answers.cold_target_bears,
            warm_up: Duration::from_millis(answers.cold_lasts_ms.into()),
        },
        poll_budget: PerSecond(answers.measuring_per_second),
        targets: answers.targets.iter().filter_map(target).collect(),
    }
}

/// Returns the target; `None` if its address cannot be parsed, which [`read`] rules out.
fn target(answers: &TargetAnswers) -> Option<Target> {
    Some(Target {
        name: TargetName::new(answers.name.as_str()),
        address: answers.address.parse().ok()?,
        zone: ZoneName::new(answers.availability_zone.as_str()),
        slots: Slots(answers.slots),
        connections: Connections(answers.connections),
    })
}
