//! Checks of a questionnaire that a JSON schema cannot express: unique names and addresses, and
//! relations between fields.
//!
//! The checks work on the JSON document and skip fields that the schema rejects, so that their
//! faults can be reported together with those of the schema.

use std::collections::HashMap;
use std::net::SocketAddr;

use serde_json::Value;

use crate::schema_check::Fault;

/// Values that must be unique, each with the path of its first occurrence.
type Seen<'a> = HashMap<&'a str, String>;

/// Returns all faults of a questionnaire, except those that the schema finds.
pub(super) fn faults(document: &Value) -> Vec<Fault> {
    let zones: Vec<&str> =
        items(&document["availability_zones"]).iter().filter_map(Value::as_str).collect();
    let mut faults = Vec::new();
    let mut services = Seen::new();
    let mut names = Seen::new();
    let mut addresses = Seen::new();
    for (index, service) in items(&document["services"]).iter().enumerate() {
        let path = format!("/services/{index}");
        check_unique(&mut services, &service["name"], format!("{path}/name"), &mut faults);
        for (index, target) in items(&service["targets"]).iter().enumerate() {
            let path = format!("{path}/targets/{index}");
            let address = &target["address"];
            check_unique(&mut names, &target["name"], format!("{path}/name"), &mut faults);
            check_unique(&mut addresses, address, format!("{path}/address"), &mut faults);
            check_zone(&zones, target, &path, &mut faults);
            check_address(address, &path, &mut faults);
            check_connections(target, &path, &mut faults);
        }
    }
    faults
}

fn items(value: &Value) -> &[Value] {
    value.as_array().map(Vec::as_slice).unwrap_or_default()
}

fn check_zone(zones: &[&str], target: &Value, path: &str, faults: &mut Vec<Fault>) {
    let Some(zone) = target["availability_zone"].as_str() else {
        return;
    };
    if zones.contains(&zone) {
        return;
    }
    let message = format!("unknown availability zone {zone:?}; allowed are {}", zones.join(", "));
    faults.push(Fault::new(format!("{path}/availability_zone"), message));
}

/// Checks that the numbers of an address are in range; the schema checks its form.
fn check_address(address: &Value, path: &str, faults: &mut Vec<Fault>) {
    let Some(text) = address.as_str() else {
        return;
    };
    let has_address_form = text.starts_with(|first: char| first.is_ascii_digit() || first == '[');
    let is_valid = text.parse::<SocketAddr>().is_ok_and(|address| address.port() != 0);
    if has_address_form && !is_valid {
        let message = format!("{text:?} is not an IP address with a port from 1 to 65535");
        faults.push(Fault::new(format!("{path}/address"), message));
    }
}

fn check_connections(target: &Value, path: &str, faults: &mut Vec<Fault>) {
    let (Some(slots), Some(connections)) =
        (target["slots"].as_u64(), target["connections"].as_u64())
    else {
        return;
    };
    if connections >= slots {
        return;
    }
    let message =
        format!("{connections} connections; at least as many as the {slots} slots are required");
    faults.push(Fault::new(format!("{path}/connections"), message));
}

fn check_unique<'a>(seen: &mut Seen<'a>, value: &'a Value, path: String, faults: &mut Vec<Fault>) {
    let Some(text) = value.as_str() else {
        return;
    };
    if let Some(first) = seen.get(text) {
        faults.push(Fault::new(path, format!("{text:?} is already used at {first}")));
        return;
    }
    seen.insert(text, path);
}
