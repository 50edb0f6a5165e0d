//! Checks a questionnaire and generates the configuration from it.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use ibiscroft_core::config::{ColdLimits, Configuration, Route, Service, Target};
use ibiscroft_core::ids::{
    ChangeId, Connections, Generation, PerSecond, Permille, ServiceName, Slots, TargetName,
    ZoneName,
};

use crate::generated::questionnaire::{Questionnaire, ServiceAnswers, TargetAnswers};
use crate::schema_check::{Fault, Faults, Schema};

/// Share of recent calls that may be retried.
const RETRY_SHARE: Permille = Permille(100);
/// Share of the callers' wait that a request may spend waiting for a target, as a divisor.
const QUEUE_WAIT_DIVISOR: u32 = 4;
/// Waiting requests at one gateway for each slot of the service.
const QUEUE_PER_SLOT: u32 = 2;

/// Reads a questionnaire and checks it completely.
///
/// # Errors
///
/// Returns every fault with the path of its field.
pub fn read(document: &[u8]) -> Result<Questionnaire, Faults> {
    let value = Schema::Questionnaire.check(document)?;
    let answers: Questionnaire = serde_json::from_value(value)
        .map_err(|error| Faults(vec![Fault::new("", error.to_string())]))?;
    let faults = cross_check(&answers);
    if faults.is_empty() { Ok(answers) } else { Err(Faults(faults)) }
}

/// Generates the configuration from checked answers.
///
/// # Errors
///
/// Returns every fault; answers from [`read`] have none.
pub fn generate(
    answers: &Questionnaire,
    generation: Generation,
    change_id: ChangeId,
) -> Result<Configuration, Faults> {
    let faults = cross_check(answers);
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
        queue_limit: slots.saturating_mul(QUEUE_PER_SLOT),
        retry_share: RETRY_SHARE,
        cold: ColdLimits {
            concurrency: answers.cold_target_bears,
            warm_up: Duration::from_millis(answers.cold_lasts_ms.into()),
        },
        measuring_budget: PerSecond(answers.measuring_per_second),
        targets: answers.targets.iter().filter_map(target).collect(),
    }
}

fn target(answers: &TargetAnswers) -> Option<Target> {
    Some(Target {
        name: TargetName::new(answers.name.as_str()),
        address: answers.address.parse().ok()?,
        zone: ZoneName::new(answers.availability_zone.as_str()),
        slots: Slots(answers.slots),
        connections: Connections(answers.connections),
    })
}

/// Finds the faults that no schema can express.
fn cross_check(answers: &Questionnaire) -> Vec<Fault> {
    let mut faults = Vec::new();
    let mut services = HashMap::new();
    let mut names = HashMap::new();
    let mut addresses = HashMap::new();
    for (index, service) in answers.services.iter().enumerate() {
        let path = format!("/services/{index}");
        check_unique(&mut services, &service.name, &format!("{path}/name"), &mut faults);
        for (index, target) in service.targets.iter().enumerate() {
            let path = format!("{path}/targets/{index}");
            check_unique(&mut names, &target.name, &format!("{path}/name"), &mut faults);
            check_unique(&mut addresses, &target.address, &format!("{path}/address"), &mut faults);
            check_target(answers, target, &path, &mut faults);
        }
    }
    faults
}

fn check_target(
    answers: &Questionnaire,
    target: &TargetAnswers,
    path: &str,
    faults: &mut Vec<Fault>,
) {
    if !answers.availability_zones.contains(&target.availability_zone) {
        let message = format!(
            "unknown availability zone {:?}; allowed are {}",
            target.availability_zone,
            answers.availability_zones.join(", ")
        );
        faults.push(Fault::new(format!("{path}/availability_zone"), message));
    }
    let usable = target.address.parse::<SocketAddr>().is_ok_and(|address| address.port() != 0);
    if !usable {
        let message = format!("{:?} is not an IP address with a port", target.address);
        faults.push(Fault::new(format!("{path}/address"), message));
    }
    if target.connections < target.slots {
        let message = format!(
            "{} connections; at least as many as the {} slots are required",
            target.connections, target.slots
        );
        faults.push(Fault::new(format!("{path}/connections"), message));
    }
}

fn check_unique<'a>(
    seen: &mut HashMap<&'a str, String>,
    text: &'a str,
    path: &str,
    faults: &mut Vec<Fault>,
) {
    if let Some(first) = seen.get(text) {
        faults.push(Fault::new(path, format!("{text:?} stands already at {first}")));
        return;
    }
    seen.insert(text, path.to_string());
}
