//! Converts errors of the schema library to faults whose messages state what was found and what is
//! allowed.

use jsonschema::ValidationError;
use jsonschema::error::ValidationErrorKind;
use serde_json::Value;

use super::Fault;

/// Converts an error of the schema library to one or more faults.
pub(super) fn faults(error: &ValidationError<'_>, schema: &Value) -> Vec<Fault> {
    let path = error.instance_path.to_string();
    let subschema = subschema_at(schema, &path);
    match &error.kind {
        ValidationErrorKind::AdditionalProperties { unexpected } => {
            let message = format!("unknown field; allowed are {}", field_names(subschema));
            unexpected
                .iter()
                .map(|name| Fault::new(format!("{path}/{name}"), message.clone()))
                .collect()
        }
        ValidationErrorKind::Required { property } => {
            let name = property.as_str().unwrap_or_default();
            let expected = description(&subschema["properties"][name]);
            vec![Fault::new(format!("{path}/{name}"), format!("missing; required: {expected}"))]
        }
        ValidationErrorKind::Enum { options } => {
            let message =
                format!("{} is not allowed; allowed are {}", error.instance, join(options));
            vec![Fault::new(path, message)]
        }
        ValidationErrorKind::Pattern { pattern } => {
            let expected = description(subschema);
            let message =
                format!("{} is not allowed; required: {expected} ({pattern})", error.instance);
            vec![Fault::new(path, message)]
        }
        ValidationErrorKind::UniqueItems => {
            vec![Fault::new(path, format!("{} lists an item twice", error.instance))]
        }
        _ => vec![Fault::new(path, error.to_string())],
    }
}

/// Returns the subschema of the field at `path`, a JSON pointer into the document.
fn subschema_at<'a>(schema: &'a Value, path: &str) -> &'a Value {
    let mut subschema = schema;
    for step in path.split('/').skip(1) {
        subschema = resolve_ref(schema, subschema);
        let is_index = step.parse::<usize>().is_ok() && !subschema["items"].is_null();
        subschema = if is_index { &subschema["items"] } else { &subschema["properties"][step] };
    }
    resolve_ref(schema, subschema)
}

/// Returns the definition that a subschema refers to with `$ref`, or the subschema itself.
fn resolve_ref<'a>(schema: &'a Value, subschema: &'a Value) -> &'a Value {
    let target = subschema["$ref"].as_str().and_then(|target| target.strip_prefix('#'));
    target.and_then(|target| schema.pointer(target)).unwrap_or(subschema)
}

fn field_names(subschema: &Value) -> String {
    let fields = subschema["properties"].as_object();
    fields.map_or_else(String::new, |fields| {
        fields.keys().map(String::as_str).collect::<Vec<_>>().join(", ")
    })
}

fn description(subschema: &Value) -> &str {
    subschema["description"].as_str().unwrap_or_default().trim_end_matches('.')
}

fn join(options: &Value) -> String {
    let options = options.as_array().map(Vec::as_slice).unwrap_or_default();
    options.iter().map(ToString::to_string).collect::<Vec<_>>().join(", ")
}
