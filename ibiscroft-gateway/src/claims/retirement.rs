//! Retires old time slots and deletes their claim pages from the store.

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

/// Shortest time between two reads of the record of retired slots; the longest is twice that.
const MIN_CHECK_INTERVAL: Duration = Duration::from_secs(45);
/// Delay before the calls for each page, so that they remain a small share of the store's calls.
const DELETION_INTERVAL: Duration = Duration::from_millis(100);

/// Retires time slots of claims and deletes their pages.
#[derive(Debug)]
pub struct Retirer {
    store: StoreClient,
    limits: ClaimLimits,
    planner: RetirementPlanner,
}

impl Retirer {
    /// Creates a retirer that has not read the record of retired slots yet.
    #[must_use]
    pub fn new(store: StoreClient, limits: ClaimLimits) -> Self {
        Self { store, limits, planner: RetirementPlanner::default() }
    }

    /// Takes a step at random intervals until the runtime shuts down.
    pub async fn run(mut self, clock: Clock) {
        loop {
            let jitter: f64 = rand::random();
            tokio::time::sleep(MIN_CHECK_INTERVAL.mul_f64(1.0 + jitter)).await;
            let at = ClockReading { now: clock.now(), wall: wall_time() };
            if let Err(error) = self.step(at).await {
                log::debug!("retirement of claim pages failed: {error}");
            }
        }
    }

    /// Reads the record of retired slots, deletes the pages that are due and writes the new
    /// record.
    ///
    /// # Errors
    ///
    /// Returns the error of the first store call that failed, or an error if the record cannot be
    /// decoded or encoded. The next step starts over.
    pub async fn step(&mut self, at: ClockReading) -> Result<(), StoreError> {
        let (retired, version) = read_record(&self.store).await?;
        let Some(plan) = self.planner.plan(retired, at, &self.limits) else {
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
    let record = decode_retired_slots(entry.value.as_deref().unwrap_or_default());
    let record = record
        .ok_or_else(|| StoreError::Refused("malformed record of retired slots".to_string()))?;
    Ok((Some(record), StoreVersion(entry.version)))
}

/// Decodes the record of retired slots; returns `None` if it is malformed.
pub(crate) fn decode_retired_slots(text: &str) -> Option<RetiredSlots> {
    let record = codec::from_json::<RetiredSlotsRecord>(text).ok()?;
    Some(RetiredSlots { through: record.through, deleted: record.deleted })
}

/// Deletes all pages of `slots` that exist.
async fn delete_pages(
    store: &StoreClient,
    limits: &ClaimLimits,
    slots: RangeInclusive<u64>,
) -> Result<(), StoreError> {
    for slot in slots {
        for shard in 0..limits.shards {
            let key = claim_page_key(PageId { slot, shard });
            tokio::time::sleep(DELETION_INTERVAL).await;
            let Some(entry) = store.read(&key).await? else {
                continue;
            };
            store.delete(&key, StoreVersion(entry.version)).await?;
        }
    }
    Ok(())
}
