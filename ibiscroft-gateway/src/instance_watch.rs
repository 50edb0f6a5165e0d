//! Reads the platform's list of instances regularly; the list lags behind the instances.

use std::time::Duration;

use ibiscroft_platform::StoreClient;
use tokio::sync::mpsc;

use crate::control::ControlEvent;

/// Shortest interval between reads; new requests to a leaving instance must stop within 3 s.
const MIN_INTERVAL: Duration = Duration::from_secs(1);
/// Share of the control traffic's byte budget for reads of the list, in bytes per second.
const MAX_BYTES_PER_SECOND: u32 = 5_000;
/// Size of one entry of the list, in bytes.
const ENTRY_BYTES: u32 = 64;

/// Forwards each list that was read to the control thread, until that thread ends.
pub(crate) async fn watch(list: StoreClient, events: mpsc::UnboundedSender<ControlEvent>) {
    let mut read_interval = MIN_INTERVAL;
    while !events.is_closed() {
        match list.instances().await {
            Ok(instances) => {
                read_interval = interval_for(instances.instances.len());
                let _ = events.send(ControlEvent::Instances(instances));
            }
            Err(error) => log::debug!("failed to read the instance list: {error}"),
        }
        tokio::time::sleep(read_interval).await;
    }
}

/// Returns the interval at which reads of a list of `entries` stay within the byte budget.
fn interval_for(entries: usize) -> Duration {
    let bytes = u32::try_from(entries).unwrap_or(u32::MAX).saturating_mul(ENTRY_BYTES);
    (Duration::from_secs(1) * bytes / MAX_BYTES_PER_SECOND).max(MIN_INTERVAL)
}
