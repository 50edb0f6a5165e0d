//! Says what was found and what is allowed for each fault of the schema library.

use jsonschema::ValidationError;
use jsonschema::error::ValidationErrorKind;
use serde_json::Value;

use super::Fault;

/// Returns the faults of one error of the schema library.
pub(super) fn faults(error: &ValidationError<'_>, schema: &Value) -> Vec<Fault> {
    let path = error.instance_path.to_string();
    let rule = rule_at(schema, &path);
    match &error.kind {
        ValidationErrorKind::AdditionalProperties { unexpected } => {
            let message = format!("unknown field; allowed are {}", field_names(rule));
            unexpected
                .iter()
                .map(|name| Fault::new(format!("{path}/{name}"), message.clone()))
                .collect()
        }
        ValidationErrorKind::Required { property } => {
            let name = property.as_str().unwrap_or_default();
            let wanted = description(&rule["properties"][name]);
            vec![Fault::new(format!("{path}/{name}"), format!("missing; required is: {wanted}"))]
        }
        ValidationErrorKind::Enum { options } => {
            let message =
                format!("{} is not allowed; allowed are {}", error.instance, list(options));
            vec![Fault::new(path, message)]
        }
        ValidationErrorKind::Pattern { pattern } => {
            let wanted = description(rule);
            let message =
                format!("{} is not allowed; required is: {wanted} ({pattern})", error.instance);
            vec![Fault::new(path, message)]
        }
        ValidationErrorKind::UniqueItems => {
            vec![Fault::new(path, format!("{} names an item twice", error.instance))]
        }
        _ => vec![Fault::new(path, error.to_string())],
    }
}

/// Returns the part of the schema that holds for the field at `path`.
fn rule_at<'a>(schema: &'a Value, path: &str) -> &'a Value {
    let mut rule = schema;
    for step in path.split('/').skip(1) {
        rule = resolved(schema, rule);
        let is_index = step.parse::<usize>().is_ok() && !rule["items"].is_null();
        rule = if is_index { &rule["items"] } else { &rule["properties"][step] };
    }
    resolved(schema, rule)
}

fn resolved<'a>(schema: &'a Value, rule: &'a Value) -> &'a Value {
    let target = rule["$ref"].as_str().and_then(|target| target.strip_prefix('#'));
    target.and_then(|target| schema.pointer(target)).unwrap_or(rule)
}

fn field_names(rule: &Value) -> String {
    let fields = rule["properties"].as_object();
    fields.map_or_else(String::new, |fields| {
        fields.keys().map(String::as_str).collect::<Vec<_>>().join(", ")
    })
}

fn description(rule: &Value) -> &str {
    rule["description"].as_str().unwrap_or_default().trim_end_matches('.')
}

fn list(options: &Value) -> String {
    let options = options.as_array().map(Vec::as_slice).unwrap_or_default();
    options.iter().map(ToString::to_string).collect::<Vec<_>>().join(", ")
}
