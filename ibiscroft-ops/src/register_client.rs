//! Reads and changes the registers (configuration and zone state) in the store.

use ibiscroft_core::ids::{ChangeId, Generation, StoreVersion};
use ibiscroft_wire::generated::configuration::{ConfigurationRecord, ZoneStateRecord};
use ibiscroft_wire::{codec, keys};
use rand::TryRngCore;
use rand::rngs::OsRng;
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::error::OpsError;
use crate::store_client::{StoreClient, WriteOutcome};

/// Number of attempts to write a change or to read its outcome, after which the outcome counts as
/// unknown.
const MAX_ATTEMPTS: u32 = 5;

/// A record that is changed by compare-and-swap.
pub(crate) trait Register: Serialize + DeserializeOwned {
    /// Key in the store.
    const KEY: &'static str;

    /// Generation of the record.
    fn generation(&self) -> Generation;

    /// Identifier of the change that wrote the record.
    fn change_id(&self) -> ChangeId;
}

impl Register for ConfigurationRecord {
    const KEY: &'static str = keys::CONFIGURATION;

    fn generation(&self) -> Generation {
        Generation(self.generation)
    }

    fn change_id(&self) -> ChangeId {
        ChangeId::new(self.change_id.as_str())
    }
}

impl Register for ZoneStateRecord {
    const KEY: &'static str = keys::ZONES;

    fn generation(&self) -> Generation {
        Generation(self.generation)
    }

    fn change_id(&self) -> ChangeId {
        ChangeId::new(self.change_id.as_str())
    }
}

/// A record as read from the store.
#[derive(Clone, Debug)]
pub(crate) struct Stored<R> {
    /// Version of the key; 0 means that it does not exist.
    pub(crate) version: StoreVersion,
    /// The record, if the key exists.
    pub(crate) record: Option<R>,
}

impl<R: Register> Stored<R> {
    /// Returns the generation; 0 if the key does not exist.
    pub(crate) fn generation(&self) -> Generation {
        self.record.as_ref().map_or(Generation(0), Register::generation)
    }
}

/// Reads a register.
pub(crate) async fn read<R: Register>(store: &StoreClient) -> Result<Stored<R>, OpsError> {
    let Some(entry) = store.read(R::KEY).await? else {
        return Ok(Stored { version: StoreVersion(0), record: None });
    };
    let Some(value) = entry.value else {
        return Ok(Stored { version: StoreVersion(0), record: None });
    };
    let record = codec::from_json(&value)
        .map_err(|error| OpsError::StoreProtocol(format!("key {}: {error}", R::KEY)))?;
    Ok(Stored { version: StoreVersion(entry.version), record: Some(record) })
}

/// Writes `record` if the key still has the version of `expected`, which was read before.
///
/// If the response to a write is lost, the key is read: a record with the same change identifier
/// shows that the write was accepted. While the key still has the expected version the write is
/// repeated, which is safe because at most one write per version can succeed.
///
/// # Errors
///
/// Returns [`OpsError::LostRace`] if another change was accepted first, and
/// [`OpsError::OutcomeUnknown`] if it is not known whether the write was accepted.
pub(crate) async fn replace<R: Register>(
    store: &StoreClient,
    expected: &Stored<R>,
    record: &R,
) -> Result<(), OpsError> {
    let value =
        codec::to_json(record).map_err(|error| OpsError::StoreProtocol(error.to_string()))?;
    let mut response_lost = false;
    let mut cause = "no response to the write".to_string();
    for _ in 0..MAX_ATTEMPTS {
        match store.write(R::KEY, value.clone(), expected.version).await {
            Ok(WriteOutcome::Written) => return Ok(()),
            Ok(WriteOutcome::Conflict) => {}
            Ok(WriteOutcome::Lost) => response_lost = true,
            Err(error) if !response_lost => return Err(error),
            Err(error) => cause = error.to_string(),
        }
        match read::<R>(store).await {
            Ok(stored) if stored.version == expected.version => {}
            Ok(stored) => return write_outcome(&stored, record, response_lost),
            Err(error) => cause = error.to_string(),
        }
    }
    Err(OpsError::OutcomeUnknown { change_id: record.change_id(), cause })
}

/// Returns a random change identifier.
pub(crate) fn random_change_id() -> Result<ChangeId, OpsError> {
    let mut bytes = [0; 16];
    OsRng
        .try_fill_bytes(&mut bytes)
        .map_err(|error| OpsError::File { path: "random".to_string(), cause: error.to_string() })?;
    Ok(ChangeId::new(format!("{:032x}", u128::from_be_bytes(bytes))))
}

/// Determines the outcome of a write from the record that is in the store afterwards.
///
/// A newer generation of another change may have replaced a write whose response was lost, so the
/// outcome is unknown then.
fn write_outcome<R: Register>(
    stored: &Stored<R>,
    record: &R,
    response_lost: bool,
) -> Result<(), OpsError> {
    let Some(winner) = &stored.record else {
        let cause = "the key was deleted".to_string();
        return Err(OpsError::OutcomeUnknown { change_id: record.change_id(), cause });
    };
    if winner.change_id() == record.change_id() {
        return Ok(());
    }
    if response_lost && winner.generation() > record.generation() {
        let cause = format!(
            "the store now has change {} as generation {}",
            winner.change_id(),
            winner.generation()
        );
        return Err(OpsError::OutcomeUnknown { change_id: record.change_id(), cause });
    }
    Err(OpsError::LostRace { winner: winner.change_id(), generation: winner.generation() })
}
