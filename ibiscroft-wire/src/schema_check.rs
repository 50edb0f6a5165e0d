//! Checks JSON documents against the schemas and reports every fault at once.

mod messages;

use std::fmt;

use ibiscroft_core::data;
use serde_json::Value;

data! {
    /// One fault in a document.
    pub struct Fault {
        /// JSON pointer of the field; empty for the whole document.
        pub path: String,
        /// What was found and what is allowed.
        pub message: String,
    }

    /// All faults of a document.
    pub struct Faults(pub Vec<Fault>);
}

impl Fault {
    /// Makes a fault at `path`.
    #[must_use]
    pub fn new(path: impl Into<String>, message: impl Into<String>) -> Self {
        Self { path: path.into(), message: message.into() }
    }
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let path = if self.path.is_empty() { "(document)" } else { &self.path };
        write!(f, "{path}: {}", self.message)
    }
}

impl fmt::Display for Faults {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (index, fault) in self.0.iter().enumerate() {
            if index > 0 {
                writeln!(f)?;
            }
            write!(f, "{fault}")?;
        }
        Ok(())
    }
}

impl std::error::Error for Faults {}

/// Largest document that is read, in bytes.
pub const MAX_DOCUMENT_BYTES: usize = 1 << 20;

/// A schema that documents are checked against.
#[derive(Clone, Copy, Debug)]
pub enum Schema {
    /// The operators' questionnaire.
    Questionnaire,
    /// Settings of a gateway.
    GatewaySettings,
}

impl Schema {
    /// Returns the text of the schema.
    #[must_use]
    pub const fn text(self) -> &'static str {
        match self {
            Self::Questionnaire => include_str!("../schemas/questionnaire.schema.json"),
            Self::GatewaySettings => include_str!("../schemas/settings.schema.json"),
        }
    }

    /// Reads a document and checks it completely.
    ///
    /// # Errors
    ///
    /// Returns every fault found: size, text encoding, JSON syntax, and each field that does
    /// not fit the schema.
    pub fn check(self, document: &[u8]) -> Result<Value, Faults> {
        let value = parse(document).map_err(|fault| Faults(vec![fault]))?;
        let faults = self.faults(&value)?;
        if faults.is_empty() { Ok(value) } else { Err(Faults(faults)) }
    }

    /// Returns each field of a document that does not fit the schema.
    ///
    /// # Errors
    ///
    /// Returns why the schema itself cannot be used.
    pub fn faults(self, value: &Value) -> Result<Vec<Fault>, Faults> {
        let schema: Value = serde_json::from_str(self.text())
            .map_err(|error| Faults(vec![Fault::new("", format!("schema: {error}"))]))?;
        let validator = jsonschema::draft7::new(&schema)
            .map_err(|error| Faults(vec![Fault::new("", format!("schema: {error}"))]))?;
        Ok(validator
            .iter_errors(value)
            .flat_map(|error| messages::faults(&error, &schema))
            .collect())
    }
}

/// Reads the text of a document.
///
/// # Errors
///
/// Says whether size, text encoding or JSON syntax is at fault.
pub fn parse(document: &[u8]) -> Result<Value, Fault> {
    if document.len() > MAX_DOCUMENT_BYTES {
        let message =
            format!("{} bytes; at most {MAX_DOCUMENT_BYTES} bytes are allowed", document.len());
        return Err(Fault::new("", message));
    }
    let text = std::str::from_utf8(document)
        .map_err(|error| Fault::new("", format!("not UTF-8 text: {error}")))?;
    if text.trim().is_empty() {
        return Err(Fault::new("", "empty; a JSON object is required"));
    }
    serde_json::from_str(text).map_err(|error| Fault::new("", format!("not JSON: {error}")))
}
