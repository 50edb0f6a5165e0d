//! Deletes the pages of retired time slots.

use std::ops::RangeInclusive;
use std::time::Duration;

use ibiscroft_core::claims::{
    ClaimLimits, ClockReading, PageId, RetiredSlots, RetirementPlan, RetirementPlanner,
};
use ibiscroft_core::ids::StoreVersion;
use ibiscroft_platform::{StoreClient, StoreError};
use ibiscroft_wire::claim_records::claim_page_key;
use ibiscroft_wire::generated::claims::RetiredSlotsRecord;
use ibiscroft_wire::{codec, keys};

use super::controller::wall_time;
use crate::clock::Clock;

/// Shortest time between two looks at the record; the longest is twice that.
const INTERVAL: Duration = Duration::from_secs(45);
/// Pause between two deletions, so that they stay a small share of the store's calls.
const DELETION_PAUSE: Duration = Duration::from_millis(100);

/// Retires time slots and deletes their pages.
#[derive(Debug)]
pub struct Retirer {
    store: StoreClient,
    limits: ClaimLimits,
    retirement: RetirementPlanner,
}

impl Retirer {
    /// Makes a retirer that has seen nothing yet.
    #[must_use]
    pub fn new(store: StoreClient, limits: ClaimLimits) -> Self {
        Self { store, limits, retirement: RetirementPlanner::default() }
    }

    /// Works until its runtime ends.
    pub async fn run(mut self, clock: Clock) {
        loop {
            let jitter: f64 = rand::random();
            tokio::time::sleep(INTERVAL.mul_f64(1.0 + jitter)).await;
            let at = ClockReading { now: clock.now(), wall: wall_time() };
            if let Err(error) = self.step(at).await {
                log::debug!("claim pages not retired: {error}");
            }
        }
    }

    /// Looks at the record once and does what is due.
    ///
    /// # Errors
    ///
    /// Returns the first call that failed; a later step starts over.
    pub async fn step(&mut self, at: ClockReading) -> Result<(), StoreError> {
        let (found, version) = read_record(&self.store).await?;
        let Some(plan) = self.retirement.plan(found, at, &self.limits) else {
            return Ok(());
        };
        let RetirementPlan { delete, next } = plan;
        delete_pages(&self.store, &self.limits, delete).await?;
        let record = RetiredSlotsRecord { through: next.through, deleted: next.deleted };
        let text =
            codec::to_json(&record).map_err(|error| StoreError::Refused(error.to_string()))?;
        self.store.write(keys::RETIRED_SLOTS, text, version, None).await.map(drop)
    }
}

async fn read_record(
    store: &StoreClient,
) -> Result<(Option<RetiredSlots>, StoreVersion), StoreError> {
    let Some(entry) = store.read(keys::RETIRED_SLOTS).await? else {
        return Ok((None, StoreVersion(0)));
    };
    let record = retired_slots(entry.value.as_deref().unwrap_or_default());
    let record = record.ok_or_else(|| StoreError::Refused("unusable record".to_string()))?;
    Ok((Some(record), StoreVersion(entry.version)))
}

/// Decodes the record of retired slots.
pub(crate) fn retired_slots(text: &str) -> Option<RetiredSlots> {
    let record = codec::from_json::<RetiredSlotsRecord>(text).ok()?;
    Some(RetiredSlots { through: record.through, deleted: record.deleted })
}

async fn delete_pages(
    store: &StoreClient,
    limits: &ClaimLimits,
    slots: RangeInclusive<u64>,
) -> Result<(), StoreError> {
    for slot in slots {
        for shard in 0..limits.shards {
            let key = claim_page_key(PageId { slot, shard });
            tokio::time::sleep(DELETION_PAUSE).await;
            let Some(entry) = store.read(&key).await? else {
                continue;
            };
            store.delete(&key, StoreVersion(entry.version)).await?;
        }
    }
    Ok(())
}
