//! The commands `answer` and `check`: generate the configuration of a questionnaire, and put it in
//! force or show what it would change.

use std::fmt;

use ibiscroft_core::ids::{ChangeId, Generation, InstanceName};
use ibiscroft_wire::generated::configuration::ConfigurationRecord;
use ibiscroft_wire::{questionnaire, records};
use serde::Serialize;
use serde_json::Value;

use crate::difference::{Difference, differences};
use crate::error::OpsError;
use crate::fleet::{Fleet, registers_message};
use crate::register_client::{self, Stored};
use crate::store_client::StoreClient;
use crate::zone::write_handed_to;

/// Result of `answer`.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct AnswerReport {
    /// Whether a change was written; false if the same configuration is already in force.
    pub changed: bool,
    /// Generation in force.
    pub generation: Generation,
    /// Identifier of the change that produced this generation.
    pub change_id: ChangeId,
    /// Fields that differ from the configuration in force before.
    pub differences: Vec<Difference>,
    /// Gateways that accepted the change directly; the others receive it within seconds.
    pub handed_to: Vec<InstanceName>,
}

/// Result of `check`: what `answer` would do.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct CheckReport {
    /// Generation in force; absent if the store was not read.
    pub in_force: Option<Generation>,
    /// The configuration that would be put in force, without generation and change identifier.
    pub configuration: Value,
    /// Fields that would change; absent if the store was not read.
    pub differences: Option<Vec<Difference>>,
}

/// Validates the questionnaire in the file `path` and puts its configuration in force.
pub(crate) async fn answer(store: &StoreClient, path: &str) -> Result<AnswerReport, OpsError> {
    let document = read_file(path)?;
    let answers = questionnaire::read(&document).map_err(OpsError::Questionnaire)?;
    let stored = register_client::read::<ConfigurationRecord>(store).await?;
    let fleet = Fleet::query(store).await?;
    let newest = stored.generation().max(fleet.configuration_generation());
    let generation = Generation(newest.get() + 1);
    let change_id = register_client::random_change_id()?;
    let cfg = questionnaire::generate(&answers, generation, change_id.clone())
        .map_err(OpsError::Questionnaire)?;
    let record = records::configuration_record(&cfg);
    let differences = content_differences(&stored, &record);
    // If a gateway has a newer generation than the store, the configuration is written in any case.
    let is_unchanged = differences.is_empty() && newest == stored.generation();
    if let (Some(in_force), true) = (&stored.record, is_unchanged) {
        return Ok(AnswerReport {
            changed: false,
            generation: Generation(in_force.generation),
            change_id: ChangeId::new(in_force.change_id.as_str()),
            differences,
            handed_to: Vec::new(),
        });
    }
    register_client::replace(store, &stored, &record).await?;
    let handed_to = fleet.distribute(&registers_message(&record, false)).await;
    Ok(AnswerReport { changed: true, generation, change_id, differences, handed_to })
}

/// Validates the questionnaire in the file `path` and compares its configuration with the one in
/// force, if a store is given.
pub(crate) async fn check(
    store: Option<&StoreClient>,
    path: &str,
) -> Result<CheckReport, OpsError> {
    let document = read_file(path)?;
    let answers = questionnaire::read(&document).map_err(OpsError::Questionnaire)?;
    let stored = match store {
        Some(store) => Some(register_client::read::<ConfigurationRecord>(store).await?),
        None => None,
    };
    let in_force = stored.as_ref().map(Stored::generation);
    let generation = Generation(in_force.map_or(1, |generation| generation.get() + 1));
    let cfg = questionnaire::generate(&answers, generation, ChangeId::new("dry-run"))
        .map_err(OpsError::Questionnaire)?;
    let record = records::configuration_record(&cfg);
    let differences = stored.as_ref().map(|stored| content_differences(stored, &record));
    Ok(CheckReport { in_force, configuration: content(&record), differences })
}

fn read_file(path: &str) -> Result<Vec<u8>, OpsError> {
    std::fs::read(path)
        .map_err(|error| OpsError::File { path: path.to_string(), cause: error.to_string() })
}

/// Returns the fields in which `record` differs from the stored record.
fn content_differences(
    stored: &Stored<ConfigurationRecord>,
    record: &ConfigurationRecord,
) -> Vec<Difference> {
    let in_force =
        stored.record.as_ref().map_or_else(|| Value::Object(Default::default()), content);
    differences(&in_force, &content(record))
}

/// Returns a record as JSON without the fields that differ in every change.
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
            return write!(
                f,
                "the questionnaire is valid; not compared, because no store was given"
            );
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
