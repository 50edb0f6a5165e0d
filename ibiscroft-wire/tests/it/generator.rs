//! Generator of Rust types from the JSON schemas, shared by the tests and the example `generate`.

use std::error::Error;
use std::path::{Path, PathBuf};

use serde_json::Value;

/// Names of the schemas, which are also the names of the generated modules.
pub(crate) const SCHEMAS: [&str; 8] =
    ["claims", "configuration", "peer", "problem", "questionnaire", "roster", "settings", "store"];

/// Returns the path of the generated code of schema `name`.
pub(crate) fn output_path(crate_root: &Path, name: &str) -> PathBuf {
    crate_root.join("src/generated").join(format!("{name}.rs"))
}

/// Returns the generated code of schema `name`.
pub(crate) fn generate(crate_root: &Path, name: &str) -> Result<String, Box<dyn Error>> {
    let path = crate_root.join("schemas").join(format!("{name}.schema.json"));
    let mut document = serde_json::from_str::<Value>(&std::fs::read_to_string(&path)?)?;
    remove_value_limits(&mut document);
    let schema = serde_json::from_value::<schemars::schema::RootSchema>(document)?;
    let mut settings = typify::TypeSpaceSettings::default();
    settings.with_struct_builder(false).with_derive("PartialEq".to_string());
    let mut types = typify::TypeSpace::new(&settings);
    types.add_root_schema(schema)?;
    let file = syn::parse2::<syn::File>(types.to_stream())?;
    Ok(format!("//! Generated from the schema `{name}`.\n\n{}", prettyplease::unparse(&file)))
}

/// Removes limits of values, for which the generator would create a type per field. The schema
/// check enforces these limits.
fn remove_value_limits(value: &mut Value) {
    match value {
        Value::Object(map) => {
            for keyword in ["pattern", "minLength", "maxLength", "minimum", "maximum"] {
                map.retain(|key, value| key != keyword || value.is_object());
            }
            map.values_mut().for_each(remove_value_limits);
        }
        Value::Array(items) => items.iter_mut().for_each(remove_value_limits),
        _ => {}
    }
}
