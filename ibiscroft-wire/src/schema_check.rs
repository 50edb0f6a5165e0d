//! Validation of JSON documents against the schemas, which reports all faults at once.

mod messages;

use std::fmt;

use ibiscroft_core::data;
use serde_json::Value;

data! {
    /// A fault in a document.
    pub struct Fault {
        /// JSON pointer to the field; empty for the document as a whole.
        pub path: String,
        /// What was found and what is allowed, for people.
        pub message: String,
    }

    /// All faults of a document; displayed one per line.
    pub struct Faults(pub Vec<Fault>);
}

impl Fault {
    /// Creates a fault of the field at `path`.
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

/// Size limit of a document, in bytes.
pub const MAX_DOCUMENT_BYTES: usize = 1 << 20;

/// A JSON schema that documents are validated against.
#[derive(Clone, Copy, Debug)]
pub enum Schema {
    /// Schema of the questionnaire that operators answer.
    Questionnaire,
    /// Schema of the settings of a gateway.
    GatewaySettings,
}

impl Schema {
    /// Returns the schema as JSON text.
    #[must_use]
    pub const fn text(self) -> &'static str {
        match self {
            Self::Questionnaire => include_str!("../schemas/questionnaire.schema.json"),
            Self::GatewaySettings => include_str!("../schemas/settings.schema.json"),
        }
    }

    /// Parses a document and validates it completely.
    ///
    /// # Errors
    ///
    /// Returns the fault if the document is too large, not UTF-8 or not JSON, and otherwise the
    /// faults of all fields that do not match the schema.
    pub fn check(self, document: &[u8]) -> Result<Value, Faults> {
        let value = parse(document).map_err(|fault| Faults(vec![fault]))?;
        let faults = self.faults(&value)?;
        if faults.is_empty() { Ok(value) } else { Err(Faults(faults)) }
    }

    /// Returns the faults of all fields of a document that do not match the schema.
    ///
    /// # Errors
    ///
    /// Returns the reason if the schema itself is not valid.
    pub fn faults(self, value: &Value) -> Result<Vec<Fault>, Faults> {
        let schema: Value = serde_json::from_str(self.text()).map_err(|error| {
            Faults(vec![Fault::new("", format!("the schema is not valid: {error}"))])
        })?;
        let validator = jsonschema::draft7::new(&schema).map_err(|error| {
            Faults(vec![Fault::new("", format!("the schema is not valid: {error}"))])
        })?;
        Ok(validator
            .iter_errors(value)
            .flat_map(|error| messages::faults(&error, &schema))
            .collect())
    }
}

/// Parses a JSON document.
///
/// # Errors
///
/// Returns a fault if the document is larger than [`MAX_DOCUMENT_BYTES`], not UTF-8, empty or not
/// JSON.
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
