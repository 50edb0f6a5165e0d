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

/// Tries to write one change or to learn its outcome.
const MAX_ATTEMPTS: u32 = 5;

/// A record that is changed by compare-and-swap.
pub(crate) trait Register: Serialize + DeserializeOwned {
    /// Key in the store.
    const KEY: &'static str;

    /// Generation of the record.
    fn generation(&self) -> Generation;

    /// Change that wrote the record.
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

/// A record as found in the store.
#[derive(Clone, Debug)]
pub(crate) struct Stored<R> {
    /// Version of the key; 0 means that it does not exist.
    pub(crate) version: StoreVersion,
    /// The record, if the key exists.
    pub(crate) record: Option<R>,
}

impl<R: Register> Stored<R> {
    /// Returns the generation, 0 when nothing was ever written.
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

/// Writes `record` in place of what was found.
///
/// A write whose answer was lost is recognised by reading the key back: the same change id means
/// that it was accepted. While the key still has the expected version the write is repeated,
/// which is safe because only one write can succeed from one version.
pub(crate) async fn replace<R: Register>(
    store: &StoreClient,
    found: &Stored<R>,
    record: &R,
) -> Result<(), OpsError> {
    let value =
        codec::to_json(record).map_err(|error| OpsError::StoreProtocol(error.to_string()))?;
    let mut answer_lost = false;
    let mut cause = "no answer".to_string();
    for _ in 0..MAX_ATTEMPTS {
        match store.write(R::KEY, value.clone(), found.version).await {
            Ok(WriteOutcome::Written) => return Ok(()),
            Ok(WriteOutcome::Conflict) => {}
            Ok(WriteOutcome::Lost) => answer_lost = true,
            Err(error) if !answer_lost => return Err(error),
            Err(error) => cause = error.to_string(),
        }
        match read::<R>(store).await {
            Ok(stored) if stored.version == found.version => {}
            Ok(stored) => return settled(&stored, record, answer_lost),
            Err(error) => cause = error.to_string(),
        }
    }
    Err(OpsError::OutcomeUnknown { change_id: record.change_id(), cause })
}

/// Returns a random change id.
pub(crate) fn fresh_change_id() -> Result<ChangeId, OpsError> {
    let mut bytes = [0; 16];
    OsRng
        .try_fill_bytes(&mut bytes)
        .map_err(|error| OpsError::File { path: "random".to_string(), cause: error.to_string() })?;
    Ok(ChangeId::new(format!("{:032x}", u128::from_be_bytes(bytes))))
}

/// Tells the outcome of a write from what stands in the store now.
fn settled<R: Register>(stored: &Stored<R>, record: &R, answer_lost: bool) -> Result<(), OpsError> {
    let Some(winner) = &stored.record else {
        let cause = "the key was deleted".to_string();
        return Err(OpsError::OutcomeUnknown { change_id: record.change_id(), cause });
    };
    if winner.change_id() == record.change_id() {
        return Ok(());
    }
    if answer_lost && winner.generation() > record.generation() {
        let cause = format!(
            "change {} stands now as generation {}",
            winner.change_id(),
            winner.generation()
        );
        return Err(OpsError::OutcomeUnknown { change_id: record.change_id(), cause });
    }
    Err(OpsError::LostRace { winner: winner.change_id(), generation: winner.generation() })
}
