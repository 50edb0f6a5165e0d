//! Differences between two configurations, field by field.

use std::collections::BTreeSet;
use std::fmt;

use serde::Serialize;
use serde_json::Value;

/// Characters after which a value is cut off in text output. JSON output has each value in full.
const MAX_VALUE_CHARS: usize = 120;

/// A field that differs.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Difference {
    /// Path of the field; the path of a list item contains its name instead of its index.
    pub path: String,
    /// Value in force; absent if the field is new.
    pub in_force: Option<Value>,
    /// New value; absent if the field is removed.
    pub new: Option<Value>,
}

impl fmt::Display for Difference {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let path = &self.path;
        match (&self.in_force, &self.new) {
            (Some(old), Some(new)) => {
                write!(f, "~ {path}: {} -> {}", shortened(old), shortened(new))
            }
            (Some(old), None) => write!(f, "- {path}: {}", shortened(old)),
            (None, Some(new)) => write!(f, "+ {path}: {}", shortened(new)),
            (None, None) => write!(f, "  {path}"),
        }
    }
}

/// Returns a value as one line of text, cut off after [`MAX_VALUE_CHARS`].
fn shortened(value: &Value) -> String {
    let text = value.to_string();
    if text.chars().count() <= MAX_VALUE_CHARS {
        return text;
    }
    let prefix: String = text.chars().take(MAX_VALUE_CHARS).collect();
    format!("{prefix}...")
}

/// Returns all differences between two documents.
///
/// Lists whose items all have a name are compared by name, and a change of their order is a
/// difference of its own.
#[must_use]
pub fn differences(in_force: &Value, new: &Value) -> Vec<Difference> {
    let mut differences = Vec::new();
    compare("", Some(in_force), Some(new), &mut differences);
    differences
}

fn compare(
    path: &str,
    in_force: Option<&Value>,
    new: Option<&Value>,
    differences: &mut Vec<Difference>,
) {
    if in_force == new {
        return;
    }
    let (Some(old_fields), Some(new_fields)) = (in_force.and_then(fields), new.and_then(fields))
    else {
        let difference =
            Difference { path: path.to_string(), in_force: in_force.cloned(), new: new.cloned() };
        differences.push(difference);
        return;
    };
    let count_before = differences.len();
    let names: BTreeSet<&str> =
        old_fields.iter().chain(&new_fields).map(|(name, _)| *name).collect();
    for name in names {
        let path = format!("{path}/{name}");
        compare(&path, field(&old_fields, name), field(&new_fields, name), differences);
    }
    if differences.len() == count_before {
        // Only the order differs. It matters, because the first service with a matching route gets
        // a request.
        let order = |fields: &[(&str, &Value)]| {
            Value::from(fields.iter().map(|(name, _)| *name).collect::<Vec<_>>())
        };
        differences.push(Difference {
            path: format!("{path} (order)"),
            in_force: Some(order(&old_fields)),
            new: Some(order(&new_fields)),
        });
    }
}

/// Returns the fields of an object, or the items of a list by their names; `None` for any other
/// value and for a list with an unnamed item.
fn fields(value: &Value) -> Option<Vec<(&str, &Value)>> {
    match value {
        Value::Object(map) => {
            Some(map.iter().map(|(name, value)| (name.as_str(), value)).collect())
        }
        Value::Array(items) => {
            items.iter().map(|item| Some((item.get("name")?.as_str()?, item))).collect()
        }
        _ => None,
    }
}

fn field<'a>(fields: &[(&str, &'a Value)], name: &str) -> Option<&'a Value> {
    fields.iter().find(|(candidate, _)| *candidate == name).map(|(_, value)| *value)
}
