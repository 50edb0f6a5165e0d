//! The difference between two configurations, field by field.

use std::collections::BTreeSet;
use std::fmt;

use serde::Serialize;
use serde_json::Value;

/// Longest value in a text line; JSON output has each value in full.
const MAX_SHOWN_CHARS: usize = 120;

/// One field that differs.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Difference {
    /// Path of the field; items of lists go by their name.
    pub path: String,
    /// Value in force; absent when the field is new.
    pub in_force: Option<Value>,
    /// Value asked for; absent when the field goes.
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

/// Returns the value as one line for people.
fn shortened(value: &Value) -> String {
    let text = value.to_string();
    if text.chars().count() <= MAX_SHOWN_CHARS {
        return text;
    }
    let start: String = text.chars().take(MAX_SHOWN_CHARS).collect();
    format!("{start}...")
}

/// Returns every difference between two documents.
#[must_use]
pub fn differences(in_force: &Value, new: &Value) -> Vec<Difference> {
    let mut found = Vec::new();
    compare("", Some(in_force), Some(new), &mut found);
    found
}

fn compare(path: &str, in_force: Option<&Value>, new: Option<&Value>, found: &mut Vec<Difference>) {
    if in_force == new {
        return;
    }
    let (Some(old_fields), Some(new_fields)) = (in_force.and_then(fields), new.and_then(fields))
    else {
        let difference =
            Difference { path: path.to_string(), in_force: in_force.cloned(), new: new.cloned() };
        found.push(difference);
        return;
    };
    let before = found.len();
    let names: BTreeSet<&str> =
        old_fields.iter().chain(&new_fields).map(|(name, _)| *name).collect();
    for name in names {
        let path = format!("{path}/{name}");
        compare(&path, field(&old_fields, name), field(&new_fields, name), found);
    }
    if found.len() == before {
        // Only the order differs, and order decides which route matches first.
        let order = |fields: &[(&str, &Value)]| {
            Value::from(fields.iter().map(|(name, _)| *name).collect::<Vec<_>>())
        };
        found.push(Difference {
            path: format!("{path} (order)"),
            in_force: Some(order(&old_fields)),
            new: Some(order(&new_fields)),
        });
    }
}

/// Returns the fields of an object, or the items of a list by their name.
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
    fields.iter().find(|(found, _)| *found == name).map(|(_, value)| *value)
}
