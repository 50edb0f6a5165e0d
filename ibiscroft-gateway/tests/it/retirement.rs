//! Deletion of old claim pages from the store.

use std::time::Duration;

use ibiscroft_core::Tick;
use ibiscroft_core::claims::{ClaimLimits, ClockReading, PageId, RETIREMENT_NOTICE, UnixMillis};
use ibiscroft_core::ids::StoreVersion;
use ibiscroft_gateway::claims::Retirer;
use ibiscroft_lab::store::{Store, StoreOptions};
use ibiscroft_platform::StoreClient;
use ibiscroft_wire::claim_records::claim_page_key;
use ibiscroft_wire::keys;
use serde_json::json;

const WALL: UnixMillis = UnixMillis(1_733_270_400_000);
const PAGE: &str = r#"{"claims":[]}"#;

fn clock_reading(since_start: Duration) -> ClockReading {
    ClockReading { now: Tick::ZERO + since_start, wall: WALL }
}

fn page_key(slot: u64) -> String {
    claim_page_key(PageId { slot, shard: 1 })
}

/// Returns for each time slot whether its page is in the store.
async fn pages_exist(store: &StoreClient, slots: &[u64]) -> Vec<bool> {
    let mut exist = Vec::new();
    for slot in slots {
        exist.push(store.read(&page_key(*slot)).await.unwrap().is_some());
    }
    exist
}

#[tokio::test]
async fn pages_are_deleted_one_notice_period_after_the_announcement() {
    let running = Store::start(StoreOptions::default()).await.unwrap();
    let store = StoreClient::new(vec![running.address()], Duration::from_secs(5)).unwrap();
    let limits = ClaimLimits::for_fleet(18);
    let last = limits.last_slot_past_retention(WALL);
    let slots = [last - 2, last - 1, last, last + 1];
    for slot in slots {
        store.write(&page_key(slot), PAGE.to_string(), StoreVersion(0), None).await.unwrap();
    }
    let record = json!({ "through": last - 1, "deleted": last - 3 }).to_string();
    store.write(keys::RETIRED_SLOTS, record, StoreVersion(0), None).await.unwrap();
    let mut retirer = Retirer::new(store.clone(), limits);
    let steps = [
        (Duration::ZERO, [true, true, true, true]),
        (RETIREMENT_NOTICE - Duration::from_millis(1), [true, true, true, true]),
        (RETIREMENT_NOTICE, [false, false, true, true]),
        (RETIREMENT_NOTICE + Duration::from_millis(1), [false, false, true, true]),
        (RETIREMENT_NOTICE * 3, [false, false, false, true]),
        (RETIREMENT_NOTICE * 6, [false, false, false, true]),
    ];
    for (since_start, expected) in steps {
        retirer.step(clock_reading(since_start)).await.unwrap();
        assert_eq!(pages_exist(&store, &slots).await, expected, "after {since_start:?}");
    }
    let record = store.read(keys::RETIRED_SLOTS).await.unwrap().unwrap().value.unwrap();
    let record: serde_json::Value = serde_json::from_str(&record).unwrap();
    assert_eq!(record["through"], last);
}
