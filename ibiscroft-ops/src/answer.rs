//! Puts the configuration of a questionnaire in force, or shows what it would change.

use std::fmt;

use ibiscroft_core::ids::{ChangeId, Generation, InstanceName};
use ibiscroft_wire::generated::configuration::ConfigurationRecord;
use ibiscroft_wire::{questionnaire, records};
use serde::Serialize;
use serde_json::Value;

use crate::difference::{Difference, differences};
use crate::error::OpsError;
use crate::fleet::{Fleet, hand_over_message};
use crate::register_client::{self, Stored};
use crate::store_client::StoreClient;
use crate::zone::write_handed_to;

/// What `answer` did.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct AnswerReport {
    /// Whether a change was written; false when the same configuration is in force already.
    pub changed: bool,
    /// Generation in force.
    pub generation: Generation,
    /// Change that produced it.
    pub change_id: ChangeId,
    /// What changed.
    pub differences: Vec<Difference>,
    /// Gateways that took the change at once; the others follow within seconds.
    pub handed_to: Vec<InstanceName>,
}

/// What `answer` would do.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct CheckReport {
    /// Generation in force; absent when no store was asked.
    pub in_force: Option<Generation>,
    /// The configuration that would be put in force.
    pub configuration: Value,
    /// What would change; absent when no store was asked.
    pub differences: Option<Vec<Difference>>,
}

/// Checks the questionnaire in `path` and puts its configuration in force.
pub(crate) async fn answer(store: &StoreClient, path: &str) -> Result<AnswerReport, OpsError> {
    let document = read_file(path)?;
    let answers = questionnaire::read(&document).map_err(OpsError::Questionnaire)?;
    let found = register_client::read::<ConfigurationRecord>(store).await?;
    let fleet = Fleet::ask(store).await?;
    let newest = found.generation().max(fleet.configuration_generation());
    let generation = Generation(newest.get() + 1);
    let change_id = register_client::fresh_change_id()?;
    let cfg = questionnaire::generate(&answers, generation, change_id.clone())
        .map_err(OpsError::Questionnaire)?;
    let record = records::configuration_record(&cfg);
    let differences = changes(&found, &record);
    let is_unchanged = differences.is_empty() && newest == found.generation();
    if let (Some(in_force), true) = (&found.record, is_unchanged) {
        return Ok(AnswerReport {
            changed: false,
            generation: Generation(in_force.generation),
            change_id: ChangeId::new(in_force.change_id.as_str()),
            differences,
            handed_to: Vec::new(),
        });
    }
    register_client::replace(store, &found, &record).await?;
    let handed_to = fleet.hand_over(&hand_over_message(&record, false)).await;
    Ok(AnswerReport { changed: true, generation, change_id, differences, handed_to })
}

/// Checks the questionnaire in `path` and compares it with what is in force.
pub(crate) async fn check(
    store: Option<&StoreClient>,
    path: &str,
) -> Result<CheckReport, OpsError> {
    let document = read_file(path)?;
    let answers = questionnaire::read(&document).map_err(OpsError::Questionnaire)?;
    let found = match store {
        Some(store) => Some(register_client::read::<ConfigurationRecord>(store).await?),
        None => None,
    };
    let in_force = found.as_ref().map(Stored::generation);
    let generation = Generation(in_force.map_or(1, |generation| generation.get() + 1));
    let cfg = questionnaire::generate(&answers, generation, ChangeId::new("dry-run"))
        .map_err(OpsError::Questionnaire)?;
    let record = records::configuration_record(&cfg);
    let differences = found.as_ref().map(|found| changes(found, &record));
    Ok(CheckReport { in_force, configuration: content(&record), differences })
}

fn read_file(path: &str) -> Result<Vec<u8>, OpsError> {
    std::fs::read(path)
        .map_err(|error| OpsError::File { path: path.to_string(), cause: error.to_string() })
}

fn changes(found: &Stored<ConfigurationRecord>, record: &ConfigurationRecord) -> Vec<Difference> {
    let in_force = found.record.as_ref().map_or_else(|| Value::Object(Default::default()), content);
    differences(&in_force, &content(record))
}

/// Returns a record without the fields that every change sets.
fn content(record: &ConfigurationRecord) -> Value {
    let mut value = serde_json::to_value(record).unwrap_or_default();
    if let Some(fields) = value.as_object_mut() {
        fields.remove("generation");
        fields.remove("change_id");
    }
    value
}

impl fmt::Display for AnswerReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for difference in &self.differences {
            writeln!(f, "{difference}")?;
        }
        let verb = if self.changed { "accepted" } else { "unchanged" };
        let change_id = &self.change_id;
        write!(f, "configuration {verb}: generation {}, change {change_id}", self.generation)?;
        write_handed_to(f, self.changed, &self.handed_to)
    }
}

impl fmt::Display for CheckReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "{:#}", self.configuration)?;
        let (Some(generation), Some(differences)) = (self.in_force, &self.differences) else {
            return write!(f, "the questionnaire is valid; no store was asked");
        };
        for difference in differences {
            writeln!(f, "{difference}")?;
        }
        write!(
            f,
            "the questionnaire is valid; {} differences to generation {generation}",
            differences.len()
        )
    }
}
